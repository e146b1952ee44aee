/** \file
 * Defines what the end of an endpoint's process can be blamed on: a whole request, or one part of its prompt.
 */
#pragma once

#include "recovery/request_digest.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laurelhoist {

/** The kinds of causes. The values are sent to other hosts, so they keep their meaning. */
enum class cause_kind {
    request = 0,     ///< repeats of one request, known by their \ref request_digest
    prompt_part = 1, ///< all requests with one part of their prompts, known by its \ref part_digest
};
constexpr std::size_t cause_kinds = 2;
constexpr cause_kind all_cause_kinds[cause_kinds] = {cause_kind::request, cause_kind::prompt_part};

/** \return the name of \p kind in logs and lists. */
const char* to_string(cause_kind kind);

/** Identifies a part of a prompt. Unlike a request's, the digest of an id of at most 16 hexadecimal digits is
 * its value, so that operators recognize it. A collision lets a caller do no more than naming the other id
 * would. */
using part_digest = std::uint64_t;

/** \return the digest of the part called \p id. Ids that differ only in case, or in zeros or blanks around
 * them, have the same digest. */
part_digest digest_of_part(std::string_view id);

/** One possible cause of ends. */
struct crash_cause {
    /// A request; implicit, because most callers know of no other kind.
    crash_cause(request_digest request) : digest{request} {}
    crash_cause(cause_kind kind_in, std::uint64_t digest_in) : kind{kind_in}, digest{digest_in} {}

    cause_kind kind = cause_kind::request;
    std::uint64_t digest = 0;
};

/** Everything that the end of an endpoint can be blamed on if an attempt at \c request was in flight there.
 */
struct crash_causes {
    /// A request without a prompt, or whose prompt has one part only.
    crash_causes(request_digest request_in) : request{request_in} {}
    crash_causes(request_digest request_in, std::vector<part_digest> parts_in)
        : request{request_in}, parts{std::move(parts_in)} {}

    /** \return the request and its parts, as single causes. */
    std::vector<crash_cause> all() const;

    request_digest request = 0;
    std::vector<part_digest> parts; ///< distinct; without the last part, which is the request's own
};

} // namespace laurelhoist
