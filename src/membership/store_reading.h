/** \file
 * Defines which hosts read the store themselves. All hosts share one rate limit for calls of the store, so on
 * a large fleet a few hosts (the readers) read it and the others use the readers' copies.
 *
 * Load pattern: the store is down for eight seconds. No host gets a confirmation of its configuration, and
 * each tries to get one itself: 74 hosts with three watches that retry four times a second made 6,000 calls,
 * all refused. A host that is not a reader therefore asks for the configuration only, and seldom, and reads
 * the rest once the store has answered. These hosts begin one after another in the reader order: if the store
 * serves some of them, the first ones confirm the configuration for the others before those have asked.
 *
 * Load pattern: the store refuses 21 of 77 hosts, both readers among them, and a release replaces endpoints
 * meanwhile. If the readers keep their duty, the others read nothing until their configuration is stale,
 * every 3.4 s, and send requests to endpoints that left 3.3 s before. A reader that the store refuses
 * therefore says so, and the next hosts in the reader order read in its place until it is served again.
 *
 * Load pattern: 295 hosts start at once, or half of them restart after a failure. A host that lists and
 * follows everything until it knows the others makes seven calls. A host that has just started therefore
 * reads the configuration once, takes a possibly outdated listing of the rest, and follows nothing for a
 * second.
 *
 * Load pattern: 985 hosts start at once and the list of 9,696 endpoints has 49 pages. If each host reads it,
 * the store sends 3 GB. A host that has just started therefore reads the first page only and leaves the rest
 * of a long list to the readers.
 */
#pragma once

#include "membership/reader_order.h"

namespace laurelhoist {

enum class reading_mode {
    listening,  ///< has just started: has listed the first page of everything and waits until gossip names
                ///< the live hosts
    copies,     ///< makes no calls and uses the copies of hosts that read
    fetching,   ///< reads the configuration only, because a peer's copy of it is overdue
    confirming, ///< asks the store whether its configuration is the newest, because no peer could confirm it
    all,        ///< follows everything in the store
};

const char* to_string(reading_mode mode);

/** Inputs of \ref choose_reading_mode. */
struct reading_inputs {
    reading_mode mode = reading_mode::all;
    duration in_mode{};              ///< time since \ref mode was chosen
    duration since_start{};          ///< time since the process started
    duration config_age{};           ///< time since the configuration was last confirmed to be the newest
    duration copy_overdue{};         ///< time since a newer configuration than the one held became known
    bool is_config_large = false;    ///< too large to be copied to all hosts over the readers' links
    bool holds_copies = false;       ///< has read, or received from a peer, objects of all kinds
    bool is_list_long = false;       ///< a listing has more than one page and was left to the readers
    bool has_store_answered = false; ///< the store has answered this host since \ref mode was chosen
    bool expects_others = false;     ///< was told of other hosts in its settings
    bool is_view_growing = false;    ///< many hosts have become known within the last moment
    std::size_t hosts = 1;           ///< live hosts, this one included
    std::size_t hosts_before = 0;    ///< hosts that precede this one in the reader order
    std::size_t lost_before = 0;     ///< those of \ref hosts_before that have lost the store
    duration store_lost_for{}; ///< time since this host's calls of the store have failed; 0: they do not
};

/// Hosts of a large fleet that read the store for all. One of them may be lost together with its failure
/// domain. Each additional reader costs one call for every change of an endpoint.
constexpr std::size_t large_fleet_readers = 2;
/// Hosts of each failure domain that the readers notify of a change directly; one of them may be lost.
constexpr std::size_t relays_per_domain = 2;
/// Hosts that one host notifies of a change at once. Each of them requests a copy, of up to 80 KB when
/// a release adds 190 endpoints; four copies occupy a 20 Mbit/s link for an eighth of a second.
constexpr std::size_t change_notice_fanout = 4;

/** The position of a host in the reader order. The order begins with one host of each failure domain, so that
 * the loss of one domain leaves a reader. Within a domain, hosts with more capacity come first: sending
 * copies to others takes a host with an eighth of a core seconds. */
struct reader_position {
    std::size_t in_domain = 0; ///< hosts of its own domain that precede it
    std::size_t overall = 0;   ///< hosts of all domains that precede it
    std::size_t lost = 0;      ///< those of \ref overall that have lost the store
};
LAUREL_VALUE_TYPE(reader_position, in_domain, overall, lost)

/** \return the position of the host \p name in the reader order of \p hosts. */
reader_position find_reader_position(const std::string& name, const std::vector<host_status>& hosts);
/** \return the relays of all domains, which the readers notify of changes directly, in the reader order. */
std::vector<host_status> select_relays(const std::vector<host_status>& hosts);
/** \return whether a host with \p inputs tells the others that it has lost the store. */
bool announces_lost_store(const reading_inputs& inputs);
/** \return the hosts that the host \p name tells at once that it has lost the store: the first ones in the
 * reader order that may read in its place. */
std::vector<host_status> select_substitute_readers(const std::string& name,
                                                   const std::vector<host_status>& hosts);
/** \return the hosts of a large fleet that read the store for all. */
std::vector<host_status> select_readers(const std::vector<host_status>& hosts);

/** How the list of endpoints is held by the hosts. \see endpoint_division */
enum class list_holding {
    whole,   ///< every host holds the whole list
    divided, ///< the holders of each domain hold the whole list, the other hosts a part of it
};

/** \return whether the host \p name holds the whole list of endpoints although the list is divided. */
bool is_whole_list_holder(const std::string& name, const std::vector<host_status>& hosts);
/** \return the holder from which the host \p name fetches its part of the list, or nothing if its domain has
 * no other holder. Hosts are spread evenly over the holders.
 * \param attempt number of holders that have failed before */
std::optional<host_status> holder_for(const std::string& name, const std::vector<host_status>& hosts,
                                      std::size_t attempt);

/** Chooses the hosts that the host \p name notifies of a change at once. Within a failure domain notices
 * spread along a tree in the reader order; a reader also notifies the relays of all domains. If the list of
 * endpoints is divided, the tree consists of the holders, and each holder notifies the hosts that fetch their
 * part from it.
 *
 * Load pattern: a release adds 190 endpoints to a fleet of 295 hosts. When three relays in each domain sent
 * copies to all other hosts of the domain, each relay sent sixteen or more with an eighth of a core and a
 * 20 Mbit/s link. For 2.5 s it forwarded requests whose callers had already left.
 *
 * \return at most \ref change_notice_fanout hosts and, for a reader, the relays in addition; for a holder,
 * the hosts that fetch from it in addition */
std::vector<host_status> change_notice_targets(const std::string& name, bool is_reader,
                                               const std::vector<host_status>& hosts,
                                               list_holding holding = list_holding::whole);

/** \return what this host reads from the store from now on. */
reading_mode choose_reading_mode(const reading_inputs& inputs);

} // namespace laurelhoist
