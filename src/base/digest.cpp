#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <cmath>

namespace laurelhoist {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr std::string_view base64_alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

std::string to_hex(const unsigned char* bytes, std::size_t count) {
    std::string text;
    text.reserve(count * 2);
    for (std::size_t i = 0; i < count; ++i) {
        text += hex_digits[bytes[i] >> 4U];
        text += hex_digits[bytes[i] & 15U];
    }
    return text;
}

const unsigned char* as_bytes(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(as_bytes(text), text.size(), digest.data());
    return to_hex(digest.data(), digest.size());
}

std::string hmac_hex(std::string_view key, std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), as_bytes(text), text.size(), digest.data(),
         &length);
    return to_hex(digest.data(), length);
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string base64url_encode(std::string_view text) {
    std::string encoded;
    std::uint32_t bits = 0;
    int bit_count = 0;
    for (const char c : text) {
        bits = (bits << 8U) | static_cast<unsigned char>(c);
        bit_count += 8;
        while (bit_count >= 6) {
            bit_count -= 6;
            encoded += base64_alphabet[(bits >> static_cast<unsigned>(bit_count)) & 63U];
        }
    }
    if (bit_count > 0) {
        encoded += base64_alphabet[(bits << static_cast<unsigned>(6 - bit_count)) & 63U];
    }
    return encoded;
}

std::string base64url_decode(std::string_view text) {
    std::string decoded;
    std::uint32_t bits = 0;
    int bit_count = 0;
    for (const char c : text) {
        const std::size_t digit = base64_alphabet.find(c);
        if (digit == std::string_view::npos) {
            return {};
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(digit);
        bit_count += 6;
        if (bit_count >= 8) {
            bit_count -= 8;
            decoded += static_cast<char>((bits >> static_cast<unsigned>(bit_count)) & 255U);
        }
    }
    return decoded;
}

std::uint64_t placement_hash(std::string_view text, std::uint64_t seed) {
    return XXH64(text.data(), text.size(), seed);
}

double unit_hash(std::string_view text) {
    constexpr int mantissa_bits = 53;
    return std::ldexp(static_cast<double>(placement_hash(text) >> (64 - mantissa_bits)), -mantissa_bits);
}

} // namespace laurelhoist
