/** \file
 * Defines which hosts read the store themselves. Its calls are rationed for all hosts together, so on a large
 * fleet a few read and the others go by their copies.
 *
 * Load pattern: the store is down for eight seconds. No host is confirmed any more, and each tries for
 * itself: 74 hosts with three watches that try four times a second made 6,000 calls, all refused. So a host
 * that is not among the readers asks for the configuration alone, and seldom; the rest follows once it is
 * answered. They begin one after another in the order of readers: where the store serves some, the first of
 * these vouch for the others before those have asked.
 *
 * Load pattern: 295 hosts start at once, or half of them again after a failure. Each that lists and follows
 * everything until it knows the others makes seven calls. So a host that has just started reads the
 * configuration once, takes a listing that may lag of the rest, and follows nothing for a second.
 */
#pragma once

#include "membership/host_gossip.h"

namespace laurelhoist {

enum class reading_mode {
    listening,  ///< has just started: has asked once for everything, and waits to hear who the others are
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

/// Hosts of each failure domain that pass on to the others there what the readers tell them: with 50 hosts to
/// a domain, each sends sixteen copies of 60 KB over its 20 Mbit/s when a release brings 190 endpoints.
constexpr std::size_t relays_of_domain = 3;

/** Where a host stands in the order of readers. It begins with one host of each failure domain, so that what
 * takes one domain away leaves a reader. */
struct reader_place {
    std::size_t in_domain = 0; ///< hosts of its own domain that come before it
    std::size_t overall = 0;   ///< hosts that come before it
};
LAUREL_VALUE_TYPE(reader_place, in_domain, overall)

/** \return the place of the host \p name among \p hosts. */
reader_place place_among_readers(const std::string& name, const std::vector<host_status>& hosts);
/** \return the relays of all domains, in the order of readers. */
std::vector<host_status> relays_among(const std::vector<host_status>& hosts);
/** \return the hosts that read, of a large fleet. */
std::vector<host_status> readers_among(const std::vector<host_status>& hosts);

/** \return what this host reads from now on. */
reading_mode choose_reading(const reading_view& view);

} // namespace laurelhoist
