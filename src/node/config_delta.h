/** \file
 * Defines updates of the configuration: a delta against the revision that the receiver holds, with the
 * bundles that it lacks, or the complete configuration if that revision has left the history.
 */
#pragma once

#include "node/messages.h"

#include <deque>

namespace laurelhoist {

/** The latest configurations of a steward, from which deltas are made. */
class config_history {
public:
    void add(const shared_view& view);
    /** \return the update that brings a holder of \p held_revision to the latest configuration. */
    config_update update_from(std::int64_t held_revision) const;

private:
    std::deque<shared_view> views_;
};

/** Applies \p update to \p base, checking each bundle's content against the hash in the head.
 * \return the next configuration, or an error if the base is not held, a bundle is missing or a hash is
 * wrong; then nothing changes, and the receiver's next message tells the sender which revision is held */
outcome<shared_view> apply_update(const fleet_view& base, const config_update& update);

} // namespace laurelhoist
