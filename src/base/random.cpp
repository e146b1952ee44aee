#include "base/random.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace laurelhoist {

std::size_t random_source::below(std::size_t bound) {
    if (bound == 0) {
        return 0;
    }
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(engine_);
}

std::string random_source::identifier(const std::string& prefix) {
    std::array<char, 32> digits{};
    std::snprintf(digits.data(), digits.size(), "%016" PRIx64 "%08" PRIx64, engine_(), engine_() >> 32U);
    return prefix + digits.data();
}

std::uint64_t entropy_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace laurelhoist
