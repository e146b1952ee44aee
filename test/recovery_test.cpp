#include "recovery/recovery.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

TEST(request_digest, two_tries_of_a_request_have_the_same) {
    const request_identity request{"POST", "/drafts/1", "osijek", "a long prompt"};
    EXPECT_EQ(digest_of(request), digest_of(request));
    EXPECT_EQ(to_text(0xab), "00000000000000ab");
}

TEST(request_digest, what_differs_in_one_point_has_another) {
    const request_digest digest = digest_of({"POST", "/drafts/1", "osijek", "body"});
    EXPECT_NE(digest, digest_of({"PUT", "/drafts/1", "osijek", "body"}));
    EXPECT_NE(digest, digest_of({"POST", "/drafts/2", "osijek", "body"}));
    EXPECT_NE(digest, digest_of({"POST", "/drafts/1", "vukovar", "body"}));
    EXPECT_NE(digest, digest_of({"POST", "/drafts/1", "osijek", "other"}));
    EXPECT_NE(digest, digest_of({"POST", "/drafts/1", "osijekb", "ody"})) << "fields do not run together";
}

} // namespace
} // namespace laurelhoist
