/** \file
 * Defines invariant checks that are also enabled in production. A violation is counted and logged with its
 * values; tests can make it throw.
 */
#pragma once

#include "base/value_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

namespace laurelhoist {

/** Thrown for a violated invariant while \ref invariant_registry::throw_on_failure is set. */
class invariant_failure : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/** The process-wide counts of invariant checks and violations, by the name of the promise. */
class invariant_registry {
public:
    struct counts {
        std::uint64_t checked = 0;
        std::uint64_t broken = 0;
    };

    static invariant_registry& instance();

    /** Counts one check of \p promise; logs \p values if it is violated. \return \p holds */
    bool check(const char* promise, bool holds, const json& values);
    /** Sets whether a violation throws \ref invariant_failure; for tests and long randomized runs. */
    void throw_on_failure(bool enabled) { throws_ = enabled; }

    const std::map<std::string, counts>& all() const { return counts_; }
    /** \return the number of violations of all promises. */
    std::uint64_t broken() const;

private:
    std::map<std::string, counts> counts_;
    bool throws_ = false;
};

/** Names of safeguards that a test disables, to show that their absence is detected. Empty in production. */
using disabled_guards = std::set<std::string>;

/** Checks that \p holds is true. The values are computed only if it is not.
 * \param promise the promise's name in docs/PROMISES.md
 * \param values a callable that returns the JSON values to log
 * \return \p holds, so that the caller can stop the operation */
template <class Values>
bool invariant(const char* promise, bool holds, Values&& values) {
    return invariant_registry::instance().check(promise, holds, holds ? json() : json(values()));
}

} // namespace laurelhoist
