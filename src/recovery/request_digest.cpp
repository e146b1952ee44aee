#include "recovery/request_digest.h"

#include "base/base.h"

#include <charconv>
#include <cstdio>

namespace laurelhoist {

namespace {

constexpr int hex_digits = 16;

void append_field(std::string& text, std::string_view field) {
    text.append(std::to_string(field.size())).append(":").append(field);
}

} // namespace

request_digest digest_of(const request_identity& request) {
    std::string text;
    text.reserve(request.body.size() + request.target.size() + request.team.size() + 64);
    for (const std::string_view field : {request.method, request.target, request.team, request.body}) {
        append_field(text,
                     field); // Prefixed with its length, so that different fields never give the same text.
    }
    return std::stoull(sha256_hex(text).substr(0, hex_digits), nullptr, hex_digits);
}

std::optional<request_digest> digest_from_text(std::string_view text) {
    request_digest digest = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), digest, hex_digits);
    const bool is_whole = text.size() == hex_digits && end == text.data() + text.size();
    return failure == std::errc{} && is_whole ? std::optional(digest) : std::nullopt;
}

std::string to_text(request_digest digest) {
    char text[hex_digits + 1];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(digest));
    return text;
}

} // namespace laurelhoist
