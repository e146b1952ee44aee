/** \file
 * Defines the stand-in for the service that rates answers.
 */
#pragma once

#include "transport/transport.h"

namespace laurelhoist {

struct rater_faults {
    bool down = false;
    int slow_ms = 5;
};
LAUREL_VALUE_TYPE(rater_faults, down, slow_ms)

/** Rates an answer with the score that a stand-in engine wrote into it. */
class stand_in_rater {
public:
    stand_in_rater(event_loop& loop, const socket_address& address);
    void set_faults(const rater_faults& faults) { faults_ = faults; }

private:
    event_loop& loop_;
    rater_faults faults_;
    std::unique_ptr<http_server> server_;
};

/** \return the score written into \p answer, or a negative number. */
double parse_score(const std::string& answer);

} // namespace laurelhoist
