/** \file
 * Defines the retry budget: a token bucket that first attempts fill, so that retries cannot multiply the load
 * of a pool.
 */
#pragma once

#include <algorithm>

namespace laurelhoist {

/** How many retries are allowed. */
struct retry_allowance {
    double per_first_attempt = 0.2; ///< tokens per first attempt: the retry ratio under steady load
    double burst = 20.0;            ///< capacity of the bucket: retries in a burst
};

/** Token bucket of retries; starts full. */
class retry_budget {
public:
    explicit retry_budget(const retry_allowance& allowance = {})
        : allowance_{allowance}, tokens_{allowance.burst} {}

    void on_first_attempt() { tokens_ = std::min(allowance_.burst, tokens_ + allowance_.per_first_attempt); }
    bool has_token() const { return tokens_ >= 1.0; }
    /** Takes a token if there is one. \return whether a retry may be made now. */
    bool try_take() {
        if (!has_token()) {
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
