/** \file
 * Defines how a configuration travels: as the difference to what the receiver holds, with the bundles it
 * lacks, and whole when the difference is not known any more.
 */
#pragma once

#include "node/messages.h"

#include <deque>

namespace laurelhoist {

/** The latest configurations of a steward, to make differences from. */
class config_history {
public:
    void add(const shared_view& view);
    /** \return the update that brings a holder of \p held_revision to the latest configuration. */
    config_update update_from(std::int64_t held_revision) const;

private:
    std::deque<shared_view> views_;
};

/** Applies \p update to \p base, checking each bundle's content against the hash in the head.
 * \return the next configuration, or why it cannot be made (a base that is not held, half a
 * configuration, a wrong hash): then nothing changes, and the sender is told what is held */
outcome<shared_view> apply_update(const fleet_view& base, const config_update& update);

} // namespace laurelhoist
