#include "base/base.h"
#include "base/library_assertion.h"
#include "base/line_limiter.h"
#include "base/settings_file.h"

#include <boost/assert.hpp>
#include <gflags/gflags.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

DEFINE_uint32(test_count, 1, "a flag that this program has");
DEFINE_bool(test_switch, false, "another");
DEFINE_string(test_text, "default", "a third");

namespace laurelhoist {

TEST(digest, sha256_matches_the_published_vector) {
    EXPECT_EQ(sha256_hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(digest, hmac_matches_rfc_4231_case_2) {
    EXPECT_EQ(hmac_hex("Jefe", "what do ya want for nothing?"),
              "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

RC_GTEST_PROP(digest, base64url_round_trip, (const std::string& text)) {
    RC_ASSERT(base64url_decode(base64url_encode(text)) == text);
}

RC_GTEST_PROP(digest, unit_hash_is_in_range_and_stable, (const std::string& text)) {
    const double unit = unit_hash(text);
    RC_ASSERT(unit >= 0.0 && unit < 1.0);
    RC_ASSERT(unit == unit_hash(text));
}

TEST(digest, invalid_base64_is_rejected) {
    EXPECT_EQ(base64url_decode("not base64!"), "");
}

TEST(settings, an_address_is_an_ip_number_with_a_port) {
    const outcome<socket_address> good = parse_address("127.0.0.1:8080");
    ASSERT_NE(value_of(good), nullptr);
    EXPECT_EQ(value_of(good)->port, 8080);
    for (const char* bad :
         {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", ":80"}) {
        EXPECT_NE(error_of(parse_address(bad)), nullptr) << bad;
    }
}

// Guards against a host that does not start because its settings file has a field of another release.
TEST(settings_file, flags_of_another_release_and_flags_without_their_value_are_apart) {
    const settings_lines lines = parse_settings_file(
        "# a comment\n--test_count=2\n--to_come=1\n--test_switch\n\nthird = 3\n--test_count\n");
    EXPECT_EQ(lines.known, (std::vector<std::string>{"--test_count=2", "--test_switch"}));
    EXPECT_EQ(lines.unknown, (std::vector<std::string>{"--to_come", "--test_count"}));
    EXPECT_TRUE(lines.is_ended);
    EXPECT_FALSE(parse_settings_file("--test_count=2").is_ended);
    EXPECT_FALSE(parse_settings_file("").is_ended);
    EXPECT_TRUE(parse_settings_file("").known.empty());
}

// Guards against a host that does not start because a field that its settings are made of has no value.
TEST(settings_file, a_flag_without_a_value_keeps_its_default) {
    const settings_lines lines =
        parse_settings_file("--test_count=\n--to_come=\n--test_text=\n--test_switch\n");
    EXPECT_EQ(lines.known, (std::vector<std::string>{"--test_text=", "--test_switch"}));
    EXPECT_EQ(lines.empty, std::vector<std::string>{"--test_count"});
    EXPECT_EQ(lines.unknown, std::vector<std::string>{"--to_come"});
}

// Guards against a process that ends because bytes of an outsider break an assertion of a library.
TEST(library_assertion, a_failed_assertion_is_an_exception) {
    const bool holds = false;
    EXPECT_THROW(BOOST_ASSERT(holds), library_assertion);
    EXPECT_THROW(BOOST_ASSERT_MSG(holds, "why"), library_assertion);
}

// Guards against a host that takes a file that is cut for a complete one.
TEST(settings_file, what_a_file_lacks_is_named) {
    const required_settings required{{"host"}, {"peers", "store"}};
    EXPECT_EQ(missing_settings({"--host=h", "--peers=127.0.0.1:1", "--store=127.0.0.1:2"}, required), "");
    EXPECT_EQ(missing_settings({"--host=h", "--peers=127.0.0.1:1", "--store=127.0."}, required), "--store");
    EXPECT_EQ(missing_settings({"--host=", "--peers", "--store=127.0.0.1:2"}, required), "--host --peers");
    EXPECT_EQ(missing_settings({"--host=h", "--host=", "--peers=127.0.0.1:1", "--store=1.2.3.4:5"}, required),
              "--host");
}

// Guards against a host that does not start because a whole number is written as 5000.0.
TEST(settings_file, a_fraction_of_zeros_is_no_part_of_a_whole_number) {
    const std::map<std::string, std::string> normal{
        {"5000.0", "5000"},  {"5000.000", "5000"}, {"-3.0", "-3"}, {"5000", "5000"}, {"5000.5", "5000.5"},
        {"5000.", "5000."},  {".0", ".0"},         {"-.0", "-.0"}, {"", ""},         {"1.0.0", "1.0.0"},
        {"many.0", "many.0"}};
    for (const auto& [written, read] : normal) {
        EXPECT_EQ(without_zero_fraction(written), read) << written;
    }
}

// Callers decide from this body whether and when to retry.
TEST(error, body_contains_kind_delay_and_whether_the_request_ran) {
    const json body = to_error_body({error_kind::queue_full, "try again later", ran_state::no, 250}, "req-1");
    EXPECT_EQ(body["error"]["kind"], "queue_full");
    EXPECT_EQ(body["error"]["ran"], "no");
    EXPECT_EQ(body["error"]["retry_after_ms"], 250);
    EXPECT_EQ(http_status(error_kind::queue_full), 429);
}

// Guards against a byte of a caller that ends the process, because JSON text must be UTF-8.
TEST(json_text, bytes_that_are_not_utf8_are_replaced) {
    EXPECT_EQ(to_json_text({{"id", "caf\xe9-1"}}), "{\"id\":\"caf\xef\xbf\xbd-1\"}");
}

// Guards against one value of another writer that makes a whole document unreadable.
TEST(json_text, a_value_that_the_parser_rejects_affects_no_other) {
    const std::string replacement = "\xef\xbf\xbd";
    const auto parsed = [](const std::string& value) {
        const json document =
            parse_foreign_json(R"({"before":[1,"\\u"],"it":)" + value + R"(,"after":-2.5e3})");
        EXPECT_EQ(document["before"], json::parse(R"([1,"\\u"])")) << value;
        EXPECT_EQ(document["after"], -2500) << value;
        return document["it"];
    };
    EXPECT_EQ(parsed(R"("a\udce9\"b")"), "a" + replacement + "\"b");
    EXPECT_EQ(parsed(R"("\ud83d")"), replacement);
    EXPECT_EQ(parsed(R"("\uD83D\ud83d\ude00 1e999")"), replacement + "\xf0\x9f\x98\x80 1e999");
    EXPECT_EQ(parsed(R"("\ud83d\\udc00")"), replacement + "\\udc00");
    EXPECT_EQ(parsed("-1e999"), json());
    EXPECT_EQ(parsed("\"\xff\""), "?");
}

// Guards against a repair that takes text for a document which is none.
TEST(json_text, what_is_no_json_is_an_error) {
    for (const char* text : {"", "{", R"("\u12)", R"("\)", R"("\udce9)", R"({"a":1e999)", "[1,]"}) {
        EXPECT_THROW(parse_foreign_json(text), json::exception) << text;
    }
}

std::string nested(std::size_t depth, const std::string& open, const std::string& close) {
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += open;
    }
    text += "1";
    for (std::size_t i = 0; i < depth; ++i) {
        text += close;
    }
    return text;
}

// Guards against a value that exhausts the stack of code which copies, compares or writes it.
TEST(json_text, a_value_nested_too_deep_affects_no_other) {
    constexpr std::size_t depth = 400'000;
    for (const std::string& value : {nested(depth, "[", "]"), nested(depth, R"({"a":)", "}"),
                                     nested(depth, R"([1e999,{"\udce9":)", "}]")}) {
        const json document = parse_foreign_json(R"({"before":[1],"it":)" + value + R"(,"after":[{"a":2}]})");
        json copy = document;
        EXPECT_TRUE(copy == document);
        copy["changed"] = true; // A copy that changes cannot be left out.
        EXPECT_LT(to_json_text(copy).size(), 1000U);
        EXPECT_EQ(copy["before"], json::array({1}));
        EXPECT_EQ(copy["after"][0]["a"], 2);
    }
    EXPECT_THROW(parse_foreign_json(std::string(depth, '[')), json::exception);
}

// Guards against a list of many small values, each inside its bounds, that fills the memory together.
TEST(json_text, a_list_of_more_values_than_a_document_may_keep_is_refused) {
    constexpr std::size_t max_total = 1000;
    const element_bounds bounds{2, 3, 10, max_total};
    const auto list_of = [](const std::string& element, std::size_t count) {
        std::string text = R"({"items":[)" + element;
        for (std::size_t i = 1; i < count; ++i) {
            text += "," + element;
        }
        return text + "]}";
    };
    constexpr std::size_t around = 2; // The document and its list.
    for (const std::string element : {"0", "[]", "{}", "null", R"("")"}) {
        EXPECT_THROW(parse_foreign_json(list_of(element, max_total - around + 1), {}, bounds),
                     std::length_error);
        EXPECT_EQ(parse_foreign_json(list_of(element, max_total - around), {}, bounds).at("items").size(),
                  max_total - around);
    }
    // What is left out takes no memory.
    const std::string large = "[[" + list_of("0", 2 * max_total) + "]]";
    EXPECT_NO_THROW(parse_foreign_json(list_of(large, 2), {}, bounds));
}

RC_GTEST_PROP(json_text, any_bytes_are_parsed_or_refused, (const std::string& bytes)) {
    const json document = parse_foreign_json(to_json_text({{"text", bytes}}));
    RC_ASSERT(document["text"].is_string());
    try {
        parse_foreign_json(bytes);
    } catch (const json::exception&) {
        RC_SUCCEED("refused");
    }
}

// Production continues after a violation, whereas tests stop at it.
TEST(invariant, a_violation_is_counted_and_can_throw) {
    invariant_registry& registry = invariant_registry::instance();
    const std::uint64_t before = registry.broken();
    EXPECT_FALSE(invariant("test_promise", false, [] { return json{{"a", 1}}; }));
    EXPECT_EQ(registry.broken(), before + 1);
    registry.throw_on_failure(true);
    EXPECT_THROW(invariant("test_promise", false, [] { return json(); }), invariant_failure);
    registry.throw_on_failure(false);
}

// The quantiles are estimates, so the exact values are compared with a tolerance.
TEST(metrics, quantiles_of_a_known_distribution) {
    distribution values;
    for (int i = 1; i <= 10000; ++i) {
        values.add(i % 1000);
    }
    EXPECT_NEAR(values.quantile(0.5), 500, 25);
    EXPECT_NEAR(values.quantile(0.95), 950, 25);
    EXPECT_EQ(values.count(), 10000U);
}

// A misspelled name must be rejected: an experiment would otherwise run with all mechanisms enabled.
TEST(mechanisms, mechanisms_are_disabled_by_name) {
    const std::optional<mechanisms> made = without_mechanisms("vouches,shared_homes");
    ASSERT_TRUE(made);
    EXPECT_FALSE(made->vouches);
    EXPECT_FALSE(made->shared_homes);
    EXPECT_TRUE(made->steps_up);
    EXPECT_FALSE(without_mechanisms("vouches,flying"));
    EXPECT_TRUE(without_mechanisms(""));
    const std::optional<mechanisms> none = without_mechanisms(mechanism_names());
    ASSERT_TRUE(none) << "a listed name is not accepted";
    EXPECT_FALSE(none->suspects_releases);
    EXPECT_FALSE(none->proves_load);
    EXPECT_FALSE(none->stops_bad_releases);
}

// Guards against a log that a stranger fills, and against lines that are left out without a trace.
TEST(line_limiter, lets_one_line_through_in_each_interval_and_tells_the_number_of_the_others) {
    line_limiter lines;
    const time_point start = monotonic_now();
    EXPECT_EQ(lines.admit(start), std::uint64_t{0});
    EXPECT_EQ(lines.admit(start), std::nullopt);
    EXPECT_EQ(lines.admit(start + line_limiter::interval - milliseconds(1)), std::nullopt);
    EXPECT_EQ(lines.admit(start + line_limiter::interval), std::uint64_t{2});
    EXPECT_EQ(lines.admit(start + line_limiter::interval), std::nullopt);
    EXPECT_EQ(lines.admit(start + 2 * line_limiter::interval), std::uint64_t{1});
    EXPECT_EQ(lines.admit(start + 3 * line_limiter::interval), std::uint64_t{0});
}

// Guards against a host that is killed for its memory days after the reader of its log has stopped reading.
TEST(log_buffer, stays_bounded_while_nobody_reads) {
    constexpr std::size_t flushes_of_a_day = std::size_t{24} * 3600 * 4;
    log_buffer buffer;
    const std::string line(200, 'x');
    std::size_t added = 0;
    for (std::size_t i = 0; i < flushes_of_a_day; ++i) {
        buffer.add(line);
        ++added;
        (void)buffer.waiting();
        ASSERT_LE(buffer.size(), log_buffer::max_bytes) << "after flush " << i;
    }
    std::string read;
    for (std::string_view lines = buffer.waiting(); !lines.empty(); lines = buffer.waiting()) {
        read += lines.substr(0, 1000);
        buffer.remove(std::min<std::size_t>(lines.size(), 1000));
    }
    const std::size_t kept = std::count(read.begin(), read.end(), 'x') / line.size();
    std::size_t dropped = 0;
    for (const std::string& each : split_list(read, '\n')) {
        if (each != line) {
            const json told = json::parse(each);
            ASSERT_EQ(told.at("event"), "log_lines_dropped");
            dropped += told.at("count").get<std::size_t>();
        }
    }
    EXPECT_GT(kept, 1000U);
    EXPECT_EQ(dropped, added - kept);
}

} // namespace laurelhoist
