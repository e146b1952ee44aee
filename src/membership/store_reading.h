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
struct reading_inputs {
    reading_mode mode = reading_mode::all;
    duration in_mode{};            ///< since it was chosen
    duration since_start{};        ///< of the process
    duration config_age{};         ///< since the configuration was last known to be the newest
    duration copy_overdue{};       ///< since a configuration was heard of that is newer than the one held
    bool is_config_large = false;  ///< too large for the links of the hosts that read
    bool holds_copies = false;     ///< has read or been given all kinds of object
    bool has_store_answered = false; ///< the store has answered this host since the mode was chosen
    std::size_t hosts = 1;         ///< live ones, this one included
    std::size_t hosts_before = 0;  ///< that come before this one in the order of readers
};

/// Hosts of each failure domain that the readers tell of a change; one may be lost.
constexpr std::size_t relays_per_domain = 2;
/// Hosts that one host tells of a change at once. Each asks for a copy, of up to 80 KB when a release brings
/// 190 endpoints: four of them take a link of 20 Mbit/s an eighth of a second.
constexpr std::size_t change_notice_fanout = 4;

/** Where a host stands in the order of readers. It begins with one host of each failure domain, so that what
 * takes one domain away leaves a reader. */
struct reader_position {
    std::size_t in_domain = 0; ///< hosts of its own domain that come before it
    std::size_t overall = 0;   ///< hosts that come before it
};
LAUREL_VALUE_TYPE(reader_position, in_domain, overall)

/** \return the place of the host \p name among \p hosts. */
reader_position find_reader_position(const std::string& name, const std::vector<host_status>& hosts);
/** \return the relays of all domains, in the order of readers. */
std::vector<host_status> select_relays(const std::vector<host_status>& hosts);
/** \return the hosts that read, of a large fleet. */
std::vector<host_status> select_readers(const std::vector<host_status>& hosts);

/** Whom the host \p name tells at once of a change: the hosts of a failure domain tell one another as a tree,
 * in the order of readers; a reader tells the relays as well.
 *
 * Load pattern: a release brings 190 endpoints to a fleet of 295 hosts. Three relays for each domain sent
 * sixteen copies or more each, on an eighth of a core and 20 Mbit/s, and for 2.5 s passed on requests after
 * their callers had left.
 *
 * \return at most \ref change_notice_fanout, of a reader the relays besides */
std::vector<host_status> change_notice_targets(const std::string& name, bool is_reader,
                                      const std::vector<host_status>& hosts);

/** \return what this host reads from now on. */
reading_mode choose_reading_mode(const reading_inputs& inputs);

} // namespace laurelhoist
