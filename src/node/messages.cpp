#include "node/messages.h"

#include <array>
#include <cstdlib>

namespace laurelhoist {

namespace {

constexpr std::array type_names{
    "hello",        "entry_ask",         "entry_confirm", "config_update", "fleet_update", "bill_batch",
    "bill_held",    "bill_drained",      "claim_request", "claim_reply",   "claim_finish", "lookup_request",
    "lookup_reply", "endpoints_leaving", "brake_notice",  "peer_ask",      "peer_answer"};
static_assert(type_names.size() == std::variant_size_v<node_message>);

constexpr std::int64_t max_hello_age_ms = 60000;

using body_decoder = node_message (*)(const json&);

template <std::size_t Index>
node_message decode_body(const json& body) {
    return body.get<std::variant_alternative_t<Index, node_message>>();
}

template <std::size_t... Indices>
constexpr auto make_decoders(std::index_sequence<Indices...>) {
    return std::array<body_decoder, sizeof...(Indices)>{&decode_body<Indices>...};
}

constexpr auto decoders = make_decoders(std::make_index_sequence<std::variant_size_v<node_message>>{});

error bad_message(const std::string& why) {
    return {error_kind::invalid_request, "message refused: " + why + "; run the same release on every host"};
}

} // namespace

std::string encode(const node_message& message) {
    const json body = std::visit([](const auto& typed) { return json(typed); }, message);
    const json document = json::array({protocol_version, type_names[message.index()], body});
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

namespace {

json read_cbor(const std::string& bytes) {
    try {
        return parse_foreign_cbor(bytes);
    } catch (const std::exception&) {
        return json(json::value_t::discarded);
    }
}

} // namespace

outcome<node_message> decode(const std::string& bytes) {
    const json document = read_cbor(bytes);
    if (!document.is_array() || document.size() != 3 || !document[1].is_string()) {
        return bad_message("not a message");
    }
    if (document[0] != protocol_version) {
        return bad_message("protocol version " + to_json_text(document[0]));
    }
    for (std::size_t i = 0; i < type_names.size(); ++i) {
        if (document[1] != type_names[i]) {
            continue;
        }
        try {
            return decoders[i](document[2]);
        } catch (const json::exception& failure) {
            return bad_message(failure.what());
        }
    }
    return bad_message("unknown type " + to_json_text(document[1]));
}

std::string compute_proof(const hello_message& hello, const std::string& fleet_key) {
    hello_message unproven = hello;
    unproven.proof.clear();
    return hmac_hex(fleet_key, json(unproven).dump());
}

bool has_valid_proof(const hello_message& hello, const std::string& fleet_key, std::int64_t now_ms) {
    return std::abs(now_ms - hello.at_ms) < max_hello_age_ms &&
           equal_in_constant_time(hello.proof, compute_proof(hello, fleet_key));
}

} // namespace laurelhoist
