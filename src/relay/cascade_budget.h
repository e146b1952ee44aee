/** \file
 * Defines the bound on second runs by a larger model. They draw on the same allowance as retries, 0.9 of the
 * requests to a service over all hosts; what is left above this share is for failures.
 */
#pragma once

#include <algorithm>

namespace laurelhoist {

class cascade_budget {
public:
    void on_first_attempt() { tokens_ = std::min(most_tokens, tokens_ + tokens_per_attempt); }
    /** \return whether a larger model may be asked now; takes its token. */
    bool try_take() {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    static constexpr double tokens_per_attempt = 0.65;
    static constexpr double most_tokens = 6.0; ///< a burst, on each of up to some tens of hosts
    double tokens_ = most_tokens;
};

} // namespace laurelhoist
