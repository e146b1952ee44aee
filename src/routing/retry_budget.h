/** \file
 * Defines the retry budget: a token bucket that first attempts fill, so that retries cannot multiply the
 * load of a pool that is failing.
 */
#pragma once

#include <algorithm>

namespace laurelhoist {

class retry_budget {
public:
    void on_first_attempt() { tokens_ = std::min(most_tokens, tokens_ + tokens_per_attempt); }
    /** \return whether a retry may be made now; takes its token. */
    bool try_take() {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    static constexpr double tokens_per_attempt = 0.2;
    static constexpr double most_tokens = 20.0;
    double tokens_ = most_tokens;
};

} // namespace laurelhoist
