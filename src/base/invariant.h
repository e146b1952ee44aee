/** \file
 * Defines the always-on checks of what must hold. A broken one is counted, logged with its values, and
 * in tests ends the run.
 */
#pragma once

#include "base/value_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

namespace laurelhoist {

/** Thrown for a broken invariant while \ref invariant_registry::throw_on_failure is set. */
class invariant_failure : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/** The process-wide record of checks made and broken, by promise. */
class invariant_registry {
public:
    struct counts {
        std::uint64_t checked = 0;
        std::uint64_t broken = 0;
    };

    static invariant_registry& instance();

    /** Records one check of \p promise; on failure logs \p values. \return \p holds */
    bool check(const char* promise, bool holds, const json& values);
    /** Makes a broken invariant throw \ref invariant_failure; for tests and long random runs. */
    void throw_on_failure(bool enabled) { throws_ = enabled; }

    const std::map<std::string, counts>& all() const { return counts_; }
    std::uint64_t broken() const;

private:
    std::map<std::string, counts> counts_;
    bool throws_ = false;
};

/** Guards that a test has switched off, to show that their loss is noticed. Empty in production. */
using disabled_guards = std::set<std::string>;

/** Checks that \p holds. The values are made only on failure.
 * \param promise the promise's name in docs/PROMISES.md
 * \param values a callable that returns the JSON values to log
 * \return \p holds, so that the caller can refuse to go on */
template <class Values>
bool invariant(const char* promise, bool holds, Values&& values) {
    return invariant_registry::instance().check(promise, holds, holds ? json() : json(values()));
}

} // namespace laurelhoist
