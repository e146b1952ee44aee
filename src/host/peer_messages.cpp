#include "host/peer_messages.h"

#include <map>

namespace laurelhoist {

namespace {

struct field_code {
    const char* field;
    const char* code;
};

/// A code is never reused for another field. A field without a code is sent under its name.
constexpr field_code field_codes[] = {{"statuses", "s"},
                                      {"load", "l"},
                                      {"counts", "c"},
                                      {"rollouts", "r"},
                                      {"name", "n"},
                                      {"gossip_address", "g"},
                                      {"entry_address", "e"},
                                      {"domain", "d"},
                                      {"incarnation", "i"},
                                      {"beat", "b"},
                                      {"state", "t"},
                                      {"config_revision", "v"},
                                      {"endpoint", "p"},
                                      {"reading_ms", "m"},
                                      {"running", "u"},
                                      {"service", "a"},
                                      {"release", "f"},
                                      {"route", "o"},
                                      {"good", "k"},
                                      {"bad", "x"},
                                      {"sent_in_rollout", "q"},
                                      {"age_ms", "h"},
                                      {"is_braked", "j"},
                                      {"trial_share", "w"},
                                      {"has_moved", "y"},
                                      {"sender", "z"},
                                      {"uses", "1"},
                                      {"session", "2"},
                                      {"beats", "3"},
                                      {"reporter", "4"},
                                      {"is_round", "5"},
                                      {"refused", "6"},
                                      {"evacuation_revision", "7"},
                                      {"crashes", "8"},
                                      {"digest", "9"},
                                      {"ends", "A"},
                                      {"process", "B"},
                                      {"sent_age_ms", "C"},
                                      {"ended_age_ms", "D"},
                                      {"cleared_age_ms", "E"},
                                      {"limits", "F"},
                                      {"requests_per_s", "G"},
                                      {"heard_age_ms", "H"},
                                      {"target", "I"},
                                      {"capacity", "J"},
                                      {"copies", "K"},
                                      {"endpoint_revision", "L"},
                                      {"rollout_revision", "M"},
                                      {"is_divided", "N"},
                                      {"departure_revision", "O"},
                                      {"has_lost_store", "P"},
                                      {"first_sent_in_rollout", "Q"},
                                      {"is_at_peak", "R"},
                                      {"lost_pools", "S"},
                                      {"status", "T"},
                                      {"kind", "U"},
                                      {"request", "V"},
                                      {"times", "W"},
                                      {"mean", "X"},
                                      {"answers", "Y"},
                                      {"tallies", "aa"},
                                      {"is_stopped", "ab"},
                                      {"evidence_share", "ac"},
                                      {"paces", "pa"},
                                      {"percent", "pb"},
                                      {"streams", "pc"},
                                      {"usage", "ad"},
                                      {"team", "ae"},
                                      {"tenths", "af"}};

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
        std::optional<peer_message> decoded =
            decode_kind(message.at(0).get<std::size_t>(), renamed(message.at(1), fields_by_code()));
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
        return parse_foreign_cbor(bytes).get<peer_copy>();
    } catch (const std::exception& failure) {
        return error{error_kind::platform_unavailable, std::string("the copy cannot be decoded (") +
                                                           failure.what() +
                                                           "); run the same release on both hosts"};
    }
}

} // namespace laurelhoist
