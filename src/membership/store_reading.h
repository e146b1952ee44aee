/** \file
 * Defines which hosts read the store themselves. Its calls are rationed for all hosts together, so on a large
 * fleet a few read and the others go by their copies.
 *
 * Load pattern: the store is down for eight seconds. No host is confirmed any more, and each tries for
 * itself: 74 hosts with three watches that try four times a second made 6,000 calls, all refused. So a host
 * that is not among the readers asks for the configuration alone, and seldom; the rest follows once it is
 * answered.
 */
#pragma once

#include "base/base.h"

namespace laurelhoist {

/** Up to so many hosts all read: what copies would save is not worth their delay. */
constexpr std::size_t hosts_of_small_fleet = 10;

enum class reading_mode {
    copies,     ///< makes no calls: goes by the copies of those that read
    fetching,   ///< asks for the configuration alone, as its copy does not come
    confirming, ///< asks whether its configuration is the newest, as nobody can say
    all,        ///< follows everything in the store
};

const char* to_string(reading_mode mode);

/** What the choice rests on. */
struct reading_view {
    reading_mode mode = reading_mode::all;
    duration in_mode{};            ///< since it was chosen
    duration since_start{};        ///< of the process
    duration config_age{};         ///< since the configuration was last known to be the newest
    duration copy_overdue{};       ///< since a configuration was heard of that is newer than the one held
    bool is_config_large = false;  ///< too large for the links of the hosts that read
    bool holds_copies = false;     ///< has read or been given all kinds of object
    bool has_heard_itself = false; ///< the store has answered this host since the mode was chosen
    std::size_t hosts = 1;         ///< live ones, this one included
    std::size_t hosts_before = 0;  ///< that come before this one in the order of readers
};

/** \return what this host reads from now on. */
reading_mode choose_reading(const reading_view& view);

} // namespace laurelhoist
