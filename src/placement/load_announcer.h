/** \file
 * Chooses which of a host's loads a message to other hosts names.
 *
 * A message is bounded, and a host may have requests at more endpoints than one holds. The most loaded ones
 * matter most, because the others are chosen whether their load is known or not. A round therefore names the
 * most loaded endpoints each time and the remaining ones in turn. A round that holds as many loads as it may
 * does not say that the host has no load elsewhere; it therefore also names endpoints whose load has ended.
 */
#pragma once

#include "base/base.h"

#include <map>
#include <set>
#include <string>

namespace laurelhoist {

/** Work in flight at one endpoint. */
struct endpoint_load {
    /// Time to read the prompts that have no first token yet, each with its own model. If it were counted in
    /// tokens, prompts for a large model would look ten times smaller to a request for a small one.
    double reading_ms = 0;
    int running = 0; ///< requests whose answer has begun; for a plain service, requests in flight
};
inline bool operator==(const endpoint_load& left, const endpoint_load& right) {
    return left.reading_ms == right.reading_ms && left.running == right.running;
}
inline bool operator!=(const endpoint_load& left, const endpoint_load& right) {
    return !(left == right);
}

/** Load by endpoint name, as hosts exchange it. */
using load_by_endpoint = std::map<std::string, endpoint_load>;

/// Cost of a running stream in ms: each one lengthens every step of its engine, by 0.02 to 0.07 ms per token.
constexpr double running_stream_ms = 2.0;

/// Loads in one gossip round. At 22 bytes each and 7.5 messages a second they take 2.6 KB/s.
constexpr std::size_t max_loads_per_round = 16;
constexpr std::size_t max_loads_per_update = 16; ///< in a message sent outside the gossip rounds

/** \return whether a round that names \p count loads may have left out others. */
constexpr bool may_leave_out_loads(std::size_t count) {
    return count >= max_loads_per_round;
}

/** What a host tells others of its load. No I/O. */
class load_announcer {
public:
    /** \return the loads that the next gossip round names, with times in whole ms. */
    load_by_endpoint next_round(const load_by_endpoint& own);
    /** \return the changes since the last call, the largest first if there are too many for one message, with
     * times in whole ms. An endpoint without load any more is named with none.
     * \param announced those of this host's loads that are to be announced at once */
    load_by_endpoint take_changes(const load_by_endpoint& announced);

private:
    /** Moves those of \ref named_ that are not in \p own to \ref ended_. */
    void note_ended(const load_by_endpoint& own);
    /** Adds endpoints whose load has ended to those that a round names. */
    void name_ended(load_by_endpoint& named);

    std::set<std::string> named_;      ///< endpoints that rounds named with a load
    std::map<std::string, int> ended_; ///< those whose load has ended, with the rounds still to name them
    std::string last_in_turn_;         ///< last endpoint that a round named in its turn
    load_by_endpoint announced_;       ///< as the last changes left it
};

} // namespace laurelhoist
