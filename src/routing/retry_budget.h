/** \file
 * Defines the bound on second runs: a token bucket that first attempts fill, so that second runs cannot
 * multiply the load of a pool.
 */
#pragma once

#include <algorithm>

namespace laurelhoist {

/** How many second runs are allowed. */
struct retry_allowance {
    double per_first_attempt = 0.2; ///< in a steady stream, of the first attempts
    double burst = 20.0;            ///< the bucket size
};

class retry_budget {
public:
    explicit retry_budget(const retry_allowance& allowance = {})
        : allowance_{allowance}, tokens_{allowance.burst} {}

    void on_first_attempt() { tokens_ = std::min(allowance_.burst, tokens_ + allowance_.per_first_attempt); }
    /** \return whether a second run may be made now; takes its token. */
    bool try_take() {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    retry_allowance allowance_;
    double tokens_;
};

} // namespace laurelhoist
