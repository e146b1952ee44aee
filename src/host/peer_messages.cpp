#include "host/peer_messages.h"

namespace laurelhoist {

namespace {

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

std::string encode_peer_message(const peer_message& message) {
    const json body = std::visit([](const auto& typed) { return json(typed); }, message);
    std::string bytes;
    json::to_cbor(json::array({message.index(), body}), bytes);
    return bytes;
}

std::optional<peer_message> decode_peer_message(const std::string& bytes) {
    try {
        const json message = json::from_cbor(bytes);
        return decode_kind(message.at(0).get<std::size_t>(), message.at(1));
    } catch (const std::exception& failure) {
        log_warning("peer_message_unreadable", {{"reason", failure.what()}, {"bytes", bytes.size()}});
        return std::nullopt;
    }
}

} // namespace laurelhoist
