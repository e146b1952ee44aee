/** \file
 * Defines the seeded random source of all randomized decisions, which makes runs reproducible.
 */
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace laurelhoist {

/** A seeded source of random numbers and identifiers. */
class random_source {
public:
    explicit random_source(std::uint64_t seed) : engine_{seed} {}

    /** \return a uniformly distributed number in [0, 1). */
    double uniform() { return std::uniform_real_distribution<double>{0.0, 1.0}(engine_); }
    /** \return a uniformly distributed integer in [0, \p bound); 0 if \p bound is 0. */
    std::size_t below(std::size_t bound);
    /** \return true with probability \p probability. */
    bool chance(double probability) { return uniform() < probability; }
    /** \return an exponentially distributed number with the given mean. */
    double exponential(double mean) { return std::exponential_distribution<double>{1.0 / mean}(engine_); }
    /** \return an identifier of 24 hexadecimal digits after \p prefix. */
    std::string identifier(const std::string& prefix);

    std::mt19937_64& engine() { return engine_; }

private:
    std::mt19937_64 engine_;
};

/** \return a random seed from the operating system. */
std::uint64_t entropy_seed();

} // namespace laurelhoist
