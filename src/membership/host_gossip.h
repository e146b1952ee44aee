/** \file
 * Defines the gossip protocol by which entry hosts learn of one another: each host sends what it knows to a
 * few randomly chosen peers a few times a second. All hosts are equal, and any live host can introduce a new
 * one.
 *
 * Load pattern: 295 hosts. If a message describes twelve hosts, news of a given host arrives every 3.3 s,
 * which is longer than the failure timeout, and at any moment every host considers half of the others dead.
 * On a large fleet a message therefore carries an eight-byte heartbeat of every live host, and the full
 * status only of hosts whose status has changed recently and of a few others.
 *
 * Load pattern: 985 hosts in six failure domains. A heartbeat of every host in every message makes 60 KB/s
 * for each host, a third of it between domains, and both grow with the fleet. News also takes more rounds to
 * reach the last host than the failure timeout allows, so that hosts count live ones as dead. In a large
 * failure domain a host therefore knows all hosts of its own domain, and of each other domain only the first
 * ones in its order, which speak for the others (\ref whole_list_holders). Only these send to other domains.
 *
 * A host is alive while its heartbeat counter rises. A host that stops announces it and is removed from
 * answers to callers at once; a host that crashes is removed after \ref failure_timeout.
 */
#pragma once

#include "membership/entry_directory.h"

#include <algorithm>
#include <optional>
#include <set>
#include <unordered_map>

namespace laurelhoist {

/** Up to this many hosts, each host hears from the others directly or almost directly. A larger fleet uses
 * heartbeats and lets a few hosts read the store for all. */
constexpr std::size_t max_small_fleet_hosts = 10;

/** Up to this many hosts of its own failure domain, a host knows all hosts of all domains. */
constexpr std::size_t max_flat_domain_hosts = 40;

/// Bounds of what hosts announce. A host that is told of an incarnation of its own name, or counts
/// heartbeats, raises numbers no further, so that its messages never hold what others refuse.
constexpr std::int64_t max_incarnation = std::int64_t{1} << 62;
constexpr std::int64_t max_beat = std::int64_t{1} << 62;

/** What a host announces about itself. The status with the higher incarnation is newer; of two statuses with
 * the same incarnation, the one with the higher beat is newer. */
struct host_status {
    std::string name;
    std::string gossip_address; ///< for datagrams from other hosts, ip:port
    std::string entry_address;  ///< for callers, ip:port
    std::string domain;
    std::int64_t incarnation = 0;   ///< of its process; normally higher after a restart
    std::int64_t beat = 0;          ///< heartbeat counter, raised in each gossip round
    std::string state = "starting"; ///< "starting", "serving" or "leaving"
    std::int64_t config_revision = 0;
    int capacity = 0;            ///< of its processor, in hundredths of a core; 0: unknown
    bool has_lost_store = false; ///< it reads the store, and its calls fail
    /// Pools of which it reaches hardly any endpoint, see \ref endpoint_reach; sorted.
    std::vector<std::string> lost_pools{};

    bool has_lost(const std::string& pool) const {
        return std::binary_search(lost_pools.begin(), lost_pools.end(), pool);
    }
};
LAUREL_VALUE_TYPE(host_status, name, gossip_address, entry_address, domain, incarnation, beat, state,
                  config_revision, capacity, has_lost_store, lost_pools)

/// A host counts as dead when its heartbeat counter has not risen for this long. The counter rises at least
/// every 0.4 s, and a newer value reaches every host in nearly every round; the rest allows for lost messages
/// and for hosts that are slow for a moment.
constexpr duration failure_timeout = milliseconds(2500);
/// The same for a host of another domain, if this host's domain is large. Its heartbeats spread among the
/// speakers of the domains first, and within this one after that.
constexpr duration other_domain_failure_timeout = milliseconds(3500);

/** Says in eight bytes that a host is alive, to a recipient that already holds its \ref host_status. */
struct host_heartbeat {
    std::uint32_t host = 0;        ///< \ref host_name_hash of its name
    std::uint16_t incarnation = 0; ///< lowest 16 bits of \ref host_status::incarnation
    std::uint16_t beat = 0;        ///< lowest 16 bits of \ref host_status::beat
};
LAUREL_VALUE_TYPE(host_heartbeat, host, incarnation, beat)

/** \return the hash that identifies the host \p name in a heartbeat. */
std::uint32_t host_name_hash(const std::string& name);
/** \return \p beats as bytes, for one field of a message. */
std::string encode_heartbeats(const std::vector<host_heartbeat>& beats);
/** \return the heartbeats in \p bytes; an incomplete one at the end is ignored. */
std::vector<host_heartbeat> decode_heartbeats(const std::string& bytes);

/** The recipients of a message, which determine the hosts that it describes. */
enum class gossip_scope {
    all,           ///< the own failure domain, or every domain if the own one is not large
    other_domains, ///< from a large domain to another one
};

/** A recipient of a gossip round. */
struct gossip_target {
    std::string address;
    gossip_scope scope = gossip_scope::all;
};
LAUREL_VALUE_TYPE(gossip_target, address, scope)

class host_gossip {
public:
    host_gossip(host_status self, std::uint64_t seed);

    /** Sets gossip addresses to contact while few hosts are known, and in every eighth round. */
    void set_seeds(std::vector<std::string> addresses) { seeds_ = std::move(addresses); }
    void set_state(const std::string& state) { self_.state = state; }
    void set_has_lost_store(bool has_lost_store) { self_.has_lost_store = has_lost_store; }
    void set_lost_pools(const std::vector<std::string>& pools) { self_.lost_pools = pools; }
    void set_config_revision(std::int64_t revision) { self_.config_revision = revision; }

    /** Begins a gossip round: raises the heartbeat counter and picks the recipients.
     * \return the recipients */
    std::vector<gossip_target> next_targets(time_point now);
    /** \return the statuses of this host and of some random live peers, for one message. On a large fleet,
     * peers whose status has been sent least often since it changed come first. */
    std::vector<host_status> statuses_to_send(time_point now, gossip_scope scope = gossip_scope::all);
    /** \return the heartbeats of all other live hosts that \p scope covers, for one message; empty on a small
     * fleet, where \ref statuses_to_send covers enough hosts. */
    std::vector<host_heartbeat> heartbeats_to_send(time_point now,
                                                   gossip_scope scope = gossip_scope::all) const;
    /** \return this host's status and those of some live hosts that are missing in \p beats, for one message
     * in reply. Empty if none is missing, and on a small fleet.
     * \param beats all hosts that \p recipient knows
     * \param recipient name of the host that sent \p beats */
    std::vector<host_status> statuses_missing_in(const std::vector<host_heartbeat>& beats,
                                                 const std::string& recipient, time_point now);
    /** Takes over the statuses that are newer than those held. A status of this host's own name that has a
     * higher incarnation makes this host raise its own. */
    void merge(const std::vector<host_status>& statuses, time_point now);
    /** Takes over the heartbeats of known hosts that are newer than those held, and ignores the others. */
    void merge_heartbeats(const std::vector<host_heartbeat>& beats, time_point now);
    /** \return whether the incarnation that \p status names is the one held for this host. */
    bool knows(const host_status& status) const;
    /** \return the statuses of all live hosts, split into messages of the usual size that each begin with
     * this host. They are sent to a host that has just started, which must not wait until a peer happens to
     * pick it. */
    std::vector<std::vector<host_status>> introduction_messages(time_point now) const;

    const host_status& self() const { return self_; }
    /** \return the live hosts, this one included, sorted by name. The reference is valid until the next call
     * of a member function. */
    const std::vector<host_status>& live(time_point now) const;
    bool is_large_fleet(time_point now) const { return live(now).size() > max_small_fleet_hosts; }
    /** \return whether the own failure domain is so large that this host knows only the first hosts of each
     * other domain. */
    bool is_in_large_domain(time_point now) const;
    /** \return the number of live hosts; in a large domain an estimate, for which the others are of the same
     * size. */
    std::size_t count_hosts(time_point now) const;
    /** \return at most \p count live hosts other than this one, in random order. */
    std::vector<host_status> random_peers(std::size_t count, time_point now);
    /** Picks random live peers: on a large fleet \p own_domain hosts of this host's failure domain, within
     * which messages cost nothing, and \p other_domains hosts of the other domains, which would otherwise not
     * hear of this one. Hosts of other domains also fill up what the own domain lacks. On a small fleet the
     * peers are picked regardless of their domain. */
    std::vector<host_status> random_peers_by_domain(std::size_t own_domain, std::size_t other_domains,
                                                    time_point now);

private:
    struct peer_status {
        host_status status;
        std::uint32_t name_hash = 0; ///< \ref host_name_hash
        time_point heard_at;         ///< when this host last saw its heartbeat counter rise
        std::size_t times_sent = 0;  ///< messages that carried it since \ref has_changed held
    };
    using peers_by_name = std::map<std::string, peer_status>;

    void raise_incarnation_above(const host_status& earlier_process);
    /** \return whether \p later differs from \p held in what the other hosts have to hear soon. */
    static bool has_changed(const host_status& held, const host_status& later);
    void update_peer(const host_status& status, time_point now);
    void mark_heard(peer_status& peer, time_point now);
    void forget_dead(time_point now);
    bool is_live(const peer_status& peer, time_point now) const;
    duration timeout_of(const peer_status& peer) const;
    bool is_covered(const host_status& host, gossip_scope scope) const;
    bool speaks_for_domain(time_point now) const;
    std::vector<host_status> random_sample(const std::vector<const host_status*>& hosts, std::size_t count);

    host_status self_;
    random_source random_;
    std::vector<std::string> seeds_; ///< gossip addresses, set by \ref set_seeds
    peers_by_name others_;
    std::unordered_map<std::uint32_t, peers_by_name::iterator> by_name_hash_;
    std::uint64_t rounds_ = 0;
    /// Cached result of \ref live, which is called about thirty times a second and returns up to 1,000
    /// statuses with five strings each. It holds until a peer changes its state, or may have become silent.
    mutable std::vector<host_status> live_;
    mutable time_point live_at_;
    mutable time_point live_until_;     ///< when the first of the listed hosts is dead unless it is heard of
    mutable std::size_t own_index_ = 0; ///< index of this host in \ref live_
    mutable bool is_live_current_ = false;
    /// Names of the hosts that speak for their domains; empty unless this host's is large. Part of \ref live.
    mutable std::set<std::string> speakers_;
};

/** \return \p hosts without those that have lost a pool, or all of them if these are most of the serving
 * ones: the rest could not take their callers. */
std::vector<host_status> without_lost_hosts(const std::vector<host_status>& hosts);

/** Picks entry addresses for a caller in \p domain, which uses one of them at random. These are the serving
 * hosts of the caller's own failure domain if there are at least two, because traffic between domains costs
 * money and a single host leaves the caller no alternative; otherwise all serving hosts.
 *
 * Load pattern: 160 hosts in each domain, of which callers accept 64 addresses. If every answer names the
 * same hosts, the others get no callers. Each answering host therefore names hosts of its own choice, by
 * rendezvous hashing, in which a host with more capacity is more likely to be named.
 *
 * \param answering_host name of the host that answers the caller
 * \return at most \p limit addresses; not empty while a host serves */
std::vector<std::string> entries_for(const std::string& domain, const std::vector<host_status>& hosts,
                                     std::size_t limit, const std::string& answering_host = "");

} // namespace laurelhoist
