#include "host/peer_messages.h"

#include "base/bounded.h"

#include <algorithm>
#include <limits>
#include <map>
#include <stdexcept>

namespace laurelhoist {

namespace {

enum class number_kind {
    none,    ///< the field holds no number, or its type is bounded where it is used
    whole,   ///< an integer: the conversion of a fraction out of range differs between processors
    decimal, ///< an integer or a fraction
    hash,    ///< any integer from 0 on
};

/** The numbers that a field may hold. With those of all peers added to them, nothing overflows. */
struct number_range {
    number_kind kind = number_kind::none;
    double least = 0;
    double most = 0;
};

constexpr double most_of_32_bits = 4294967295.0;
constexpr double most_of_a_small_count = 2147483647.0;
constexpr double most_exact = 9007199254740992.0; ///< 2^53, up to which a double holds each integer
constexpr double most_of_an_integer = 9223372036854774784.0; ///< the last double below 2^63
constexpr double limit_ms = std::chrono::duration<double, std::milli>(max_foreign_time).count();
constexpr double us_in_ms = 1000.0;
constexpr double most_of_a_revision = 4611686018427387392.0; ///< the last double below 2^62
constexpr double most_requests_in_flight = 1 << 20; ///< at one host; sums of 1,000 hosts fit into 32 bits

constexpr number_range no_numbers{};
constexpr number_range any_integers{number_kind::whole, -most_of_an_integer, most_of_an_integer};
/// Negative if the clock of the host is before 1970.
constexpr number_range incarnations{number_kind::whole, -static_cast<double>(max_incarnation),
                                    static_cast<double>(max_incarnation)};
constexpr number_range heartbeats{number_kind::whole, 0, static_cast<double>(max_beat)};
/// As in the store's responses: no later revision could replace a higher one.
constexpr number_range revisions{number_kind::whole, 0, most_of_a_revision};
constexpr number_range hashes_of_32_bits{number_kind::whole, 0, most_of_32_bits};
constexpr number_range hashes_of_64_bits{number_kind::hash};
/// Bounded again where it is used, as a host passes on ages that have grown since it heard of them.
constexpr number_range ages_ms{number_kind::whole, -most_exact, most_exact};
constexpr number_range loads_ms{number_kind::whole, -static_cast<double>(max_reading_ms),
                                static_cast<double>(max_reading_ms)};
/// A confirmation of the future would be taken for recent for ever.
constexpr number_range confirmation_ages_us{number_kind::whole, 0, limit_ms* us_in_ms};
/// Of one host; negative for a moment, while the events of a request arrive in another order.
constexpr number_range requests_in_flight{number_kind::whole, -most_requests_in_flight,
                                          most_requests_in_flight};
constexpr number_range answer_counts{number_kind::whole, 0, static_cast<double>(max_answers_counted)};
/// Endpoints of one release; sums of 1,000 releases fit into 32 bits.
constexpr number_range endpoint_counts{number_kind::whole, 0, 1 << 20};
constexpr number_range small_counts{number_kind::whole, 0, most_of_a_small_count};
constexpr number_range shares{number_kind::decimal, 0, 1};
constexpr number_range means{number_kind::decimal, 0, limit_ms};
constexpr number_range rates{number_kind::decimal, -std::numeric_limits<double>::max(),
                             std::numeric_limits<double>::max()};

/** A field and its code, see the head of the header. */
struct field_code {
    const char* field;
    const char* code;
    number_range numbers; ///< that the field may hold, itself or in its arrays
};

/// A code is never reused for another field. A field without a code is sent under its name.
constexpr field_code field_codes[] = {{"statuses", "s", no_numbers},
                                      {"load", "l", no_numbers},
                                      {"counts", "c", no_numbers},
                                      {"rollouts", "r", no_numbers},
                                      {"name", "n", no_numbers},
                                      {"gossip_address", "g", no_numbers},
                                      {"entry_address", "e", no_numbers},
                                      {"domain", "d", no_numbers},
                                      {"incarnation", "i", incarnations},
                                      {"beat", "b", heartbeats},
                                      {"state", "t", small_counts},
                                      {"config_revision", "v", revisions},
                                      {"endpoint", "p", hashes_of_32_bits},
                                      {"reading_ms", "m", loads_ms},
                                      {"running", "u", requests_in_flight},
                                      {"service", "a", no_numbers},
                                      {"release", "f", no_numbers},
                                      {"route", "o", no_numbers},
                                      {"good", "k", answer_counts},
                                      {"bad", "x", answer_counts},
                                      {"sent_in_rollout", "q", answer_counts},
                                      {"age_ms", "h", ages_ms},
                                      {"is_braked", "j", no_numbers},
                                      {"trial_share", "w", shares},
                                      {"has_moved", "y", no_numbers},
                                      {"sender", "z", no_numbers},
                                      {"uses", "1", no_numbers},
                                      {"session", "2", hashes_of_64_bits},
                                      {"beats", "3", no_numbers},
                                      {"reporter", "4", no_numbers},
                                      {"is_round", "5", no_numbers},
                                      {"refused", "6", no_numbers},
                                      {"evacuation_revision", "7", revisions},
                                      {"crashes", "8", no_numbers},
                                      {"digest", "9", hashes_of_64_bits},
                                      {"ends", "A", no_numbers},
                                      {"process", "B", hashes_of_32_bits},
                                      {"sent_age_ms", "C", ages_ms},
                                      {"ended_age_ms", "D", ages_ms},
                                      {"cleared_age_ms", "E", ages_ms},
                                      {"limits", "F", no_numbers},
                                      {"requests_per_s", "G", rates},
                                      {"heard_age_ms", "H", ages_ms},
                                      {"target", "I", no_numbers},
                                      {"capacity", "J", small_counts},
                                      {"copies", "K", no_numbers},
                                      {"endpoint_revision", "L", revisions},
                                      {"rollout_revision", "M", revisions},
                                      {"is_divided", "N", no_numbers},
                                      {"departure_revision", "O", revisions},
                                      {"has_lost_store", "P", no_numbers},
                                      {"first_sent_in_rollout", "Q", answer_counts},
                                      {"is_at_peak", "R", no_numbers},
                                      {"lost_pools", "S", no_numbers},
                                      {"status", "T", no_numbers},
                                      {"kind", "U", small_counts},
                                      {"request", "V", hashes_of_32_bits},
                                      {"times", "W", no_numbers},
                                      {"mean", "X", means},
                                      {"answers", "Y", answer_counts},
                                      {"tallies", "aa", no_numbers},
                                      {"is_stopped", "ab", no_numbers},
                                      {"evidence_share", "ac", shares},
                                      {"paces", "pa", no_numbers},
                                      {"percent", "pb", small_counts},
                                      {"streams", "pc", small_counts},
                                      {"usage", "ad", no_numbers},
                                      {"team", "ae", no_numbers},
                                      {"tenths", "af", answer_counts},
                                      // Sent under their names.
                                      {"revision", "revision", revisions},
                                      {"age_us", "age_us", confirmation_ages_us},
                                      {"nonce", "nonce", any_integers},
                                      {"time_classes", "time_classes", answer_counts},
                                      {"parts", "parts", small_counts}};

using field_map = std::map<std::string, std::string>;

const field_map& codes_by_field() {
    static const field_map codes = [] {
        field_map made;
        for (const field_code& each : field_codes) {
            made[each.field] = each.code;
        }
        return made;
    }();
    return codes;
}

/** \return whether \p number is in \p range. */
bool is_within(const json& number, const number_range& range) {
    const auto value = number.get<double>();
    const bool is_in_bounds = value >= range.least && value <= range.most; // Not if it is not a number.
    switch (range.kind) {
    case number_kind::none:
        return true;
    case number_kind::whole:
        return number.is_number_integer() && is_in_bounds;
    case number_kind::decimal:
        return is_in_bounds;
    case number_kind::hash:
        return number.is_number_unsigned();
    }
    return false;
}

/** \throws std::out_of_range unless all numbers in \p value, itself a number or arrays of them, are in
 * \p range. */
void require_numbers(const char* field, const json& value, const number_range& range) {
    if (value.is_array()) {
        for (const json& item : value) {
            require_numbers(field, item, range);
        }
    } else if (value.is_number() && !is_within(value, range)) {
        throw std::out_of_range(std::string("the number in the field ") + field + " is out of range");
    }
}

/** Checks the numbers in the fields of \p value, at any depth, that this release knows.
 * \throws std::out_of_range if one is not in the range of its field */
void require_known_numbers(const json& value) {
    static const std::map<std::string, number_range> ranges = [] {
        std::map<std::string, number_range> made;
        for (const field_code& each : field_codes) {
            made[each.field] = each.numbers;
        }
        return made;
    }();
    if (value.is_array()) {
        std::for_each(value.begin(), value.end(), require_known_numbers);
    }
    if (!value.is_object()) {
        return;
    }
    for (const auto& [field, item] : value.items()) {
        const auto found = ranges.find(field);
        if (found != ranges.end()) {
            require_numbers(field.c_str(), item, found->second);
        }
        require_known_numbers(item);
    }
}

/** As \ref require_known_numbers for a \ref peer_copy. What its objects hold is bounded where they are
 * decoded, as if the store had sent them. */
void require_copy_numbers(const json& copy) {
    const auto require = [](const json& object, const char* field, const number_range& range) {
        if (object.is_object() && object.contains(field)) {
            require_numbers(field, object.at(field), range);
        }
    };
    require(copy, "revision", revisions);
    require(copy, "departure_revision", revisions);
    require(copy, "grace_ms", means);
    require_known_numbers(copy.value("division", json::array()));
    for (const json& of_service : copy.value("releases", json::object())) {
        for (const json& endpoints : of_service) {
            require_numbers("releases", endpoints, endpoint_counts);
        }
    }
    for (const json& object : copy.value("objects", json::array())) {
        require(object, "revision", revisions);
    }
}

const field_map& fields_by_code() {
    static const field_map fields = [] {
        field_map made;
        for (const field_code& each : field_codes) {
            made[each.code] = each.field;
        }
        return made;
    }();
    return fields;
}

/** \return \p value with the fields of its objects, at any depth, renamed by \p names. */
json renamed(const json& value, const field_map& names) {
    if (value.is_array()) {
        json items = json::array();
        for (const json& item : value) {
            items.push_back(renamed(item, names));
        }
        return items;
    }
    if (!value.is_object()) {
        return value;
    }
    json fields = json::object();
    for (const auto& [field, item] : value.items()) {
        const auto found = names.find(field);
        fields[found == names.end() ? field : found->second] = renamed(item, names);
    }
    return fields;
}

template <std::size_t index = 0>
std::optional<peer_message> decode_kind(std::size_t kind, const json& body) {
    if constexpr (index < std::variant_size_v<peer_message>) {
        if (kind == index) {
            return peer_message(body.get<std::variant_alternative_t<index, peer_message>>());
        }
        return decode_kind<index + 1>(kind, body);
    }
    return std::nullopt;
}

} // namespace

const char* peer_message_name(const peer_message& message) {
    static constexpr const char* names[] = {
        "gossip",         "freshness_question", "freshness_answer", "copy_notice",     "load_update",
        "session_update", "count_update",       "refusal_update",   "report_handover", "crash_update",
        "limit_update",   "forwarded_message",  "status_update"};
    static_assert(std::size(names) == std::variant_size_v<peer_message>);
    return names[message.index()];
}

std::string encode_peer_message(const peer_message& message) {
    const json body = std::visit([](const auto& typed) { return json(typed); }, message);
    std::string bytes;
    json::to_cbor(json::array({message.index(), renamed(body, codes_by_field())}), bytes);
    return bytes;
}

std::optional<peer_message> decode_peer_message(const std::string& bytes, std::string* reason) {
    std::string wrong = "its kind is unknown";
    try {
        const json message = parse_foreign_cbor(bytes);
        const json body = renamed(message.at(1), fields_by_code());
        require_known_numbers(body);
        std::optional<peer_message> decoded = decode_kind(message.at(0).get<std::size_t>(), body);
        if (decoded) {
            return decoded;
        }
    } catch (const std::exception& failure) {
        wrong = failure.what();
    }
    if (reason != nullptr) {
        *reason = wrong;
    }
    return std::nullopt;
}

std::string encode_peer_copy(const peer_copy& copy) {
    std::string bytes;
    json::to_cbor(json(copy), bytes);
    return bytes;
}

outcome<peer_copy> decode_peer_copy(const std::string& bytes) {
    try {
        const json copy = parse_foreign_cbor(bytes);
        require_copy_numbers(copy);
        return copy.get<peer_copy>();
    } catch (const std::exception& failure) {
        return error{error_kind::platform_unavailable, std::string("the copy cannot be decoded (") +
                                                           failure.what() +
                                                           "); run the same release on both hosts"};
    }
}

} // namespace laurelhoist
