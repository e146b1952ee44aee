/** \file
 * Defines how the entry hosts know of one another: each passes on what it knows to a few others at random, a
 * few times a second. No host is special, and any that lives can bring a new one in.
 *
 * Load pattern: 295 hosts. A message that speaks of twelve of them brings news of a given one every 3.3 s,
 * more than the silence after which it counts as dead, so every host took half of the others for dead at any
 * moment. So on a large fleet a message carries everybody's beat in eight bytes each, and in full only those
 * of whom there is something to tell.
 *
 * A host is alive while its beat goes on rising. A host that stops says so itself and is out of every answer
 * to callers at once; one that dies without a word is out after \ref failure_timeout.
 */
#pragma once

#include "membership/entry_directory.h"

#include <optional>
#include <unordered_map>

namespace laurelhoist {

/** Up to so many hosts know everything of one another at first hand, or as good as. */
constexpr std::size_t max_small_fleet_hosts = 10;

/** What a host says of itself. A later incarnation goes before an earlier, a higher beat before a lower. */
struct host_status {
    std::string name;
    std::string gossip_address; ///< datagrams, ip:port
    std::string entry_address;  ///< callers, ip:port
    std::string domain;
    std::int64_t incarnation = 0;
    std::int64_t beat = 0;
    std::string state = "starting"; ///< "starting", "serving" or "leaving"
    std::int64_t config_revision = 0;
};
LAUREL_VALUE_TYPE(host_status, name, gossip_address, entry_address, domain, incarnation, beat, state,
                  config_revision)

/// A beat rises at least every 0.4 s, and some newer one reaches everybody in nearly every round; this allows
/// for lost ones and for a host that is slow for a moment.
constexpr duration failure_timeout = milliseconds(2500);

/** That a host lives, in eight bytes: enough for one that holds its \ref host_status already. */
struct host_heartbeat {
    std::uint32_t host = 0;        ///< \ref host_name_hash of its name
    std::uint16_t incarnation = 0; ///< lowest bits
    std::uint16_t beat = 0;        ///< lowest bits
};
LAUREL_VALUE_TYPE(host_heartbeat, host, incarnation, beat)

/** \return by what a beat names the host \p name */
std::uint32_t host_name_hash(const std::string& name);
/** \return \p beats as bytes, to go in one field of a message */
std::string encode_heartbeats(const std::vector<host_heartbeat>& beats);
/** \return the beats in \p bytes; of bytes that are none, as many as are whole */
std::vector<host_heartbeat> decode_heartbeats(const std::string& bytes);

class host_gossip {
public:
    host_gossip(host_status self, std::uint64_t seed);

    /** Sets gossip addresses to try when nobody is known. */
    void set_seeds(std::vector<std::string> addresses) { seeds_ = std::move(addresses); }
    void set_state(const std::string& state) { self_.state = state; }
    void set_config_revision(std::int64_t revision) { self_.config_revision = revision; }

    /** Raises the beat and picks whom to tell. \return gossip addresses */
    std::vector<std::string> next_targets(time_point now);
    /** \return this host and some of the others, for one message: first those that have been told least often
     * since they last changed. */
    std::vector<host_status> statuses_to_send(time_point now);
    /** \return on a large fleet the beats of all live hosts, for one message; empty on a small one, where
     * \ref statuses_to_send carries enough of them. */
    std::vector<host_heartbeat> heartbeats_to_send(time_point now) const;
    /** \return this host and some live ones that \p beats, all that another host knows of, leaves out: for
     * one message in answer. Empty if there are none, and on a small fleet. */
    std::vector<host_status> statuses_missing_in(const std::vector<host_heartbeat>& beats,
                                                 const std::string& recipient, time_point now);
    void merge(const std::vector<host_status>& statuses, time_point now);
    /** Takes beats of hosts that are known; the others are left out. */
    void merge_heartbeats(const std::vector<host_heartbeat>& beats, time_point now);
    /** \return whether this incarnation of a host has been heard of. */
    bool knows(const host_status& status) const;
    /** \return all live hosts in messages of the usual size, each with this host first: for one that has just
     * started and must not wait until somebody picks it at random. */
    std::vector<std::vector<host_status>> introduction_messages(time_point now) const;

    const host_status& self() const { return self_; }
    /** \return the live hosts, this one included, by name; valid until the next call of a member. */
    const std::vector<host_status>& live(time_point now) const;
    bool is_large_fleet(time_point now) const { return live(now).size() > max_small_fleet_hosts; }
    /** \return live hosts other than this one, in random order. */
    std::vector<host_status> random_peers(std::size_t count, time_point now);
    /** \return \p near live hosts of this one's failure domain, whose messages cost nothing, and \p any from
     * everywhere, without which the domains would not hear of one another. On a small fleet all may be from
     * everywhere. */
    std::vector<host_status> random_peers_by_domain(std::size_t own_domain, std::size_t other_domains, time_point now);

private:
    struct peer_status {
        host_status status;
        std::uint32_t name_hash = 0; ///< \ref host_name_hash
        time_point heard_at;    ///< when its beat last rose here
        std::size_t times_sent = 0;   ///< messages that have carried it since its state or incarnation changed
    };
    using peers_by_name = std::map<std::string, peer_status>;

    void raise_incarnation_above(const host_status& earlier_process);
    void update_peer(const host_status& status, time_point now);
    void mark_heard(peer_status& peer, time_point now);
    void forget_dead(time_point now);
    std::vector<host_status> random_sample(const std::vector<const host_status*>& hosts, std::size_t count);

    host_status self_;
    random_source random_;
    std::vector<std::string> seeds_;
    peers_by_name others_;
    std::unordered_map<std::uint32_t, peers_by_name::iterator> by_name_hash_;
    std::uint64_t rounds_ = 0;
    /// What \ref live gave last: asked for some thirty times a second, it is up to 400 statuses of five
    /// strings.
    mutable std::vector<host_status> live_;
    mutable time_point live_at_;
    mutable std::size_t own_index_ = 0; ///< in \ref live_
    mutable bool is_live_current_ = false;
};

/** Picks the addresses for a caller in \p domain, who will use one of them at random: the serving hosts of
 * its own failure domain if there are at least two, because bytes between domains cost and one alone is no
 * alternative; otherwise all serving hosts. Never empty while a host serves.
 * \return at most \p most addresses */
std::vector<std::string> entries_for(const std::string& domain, const std::vector<host_status>& hosts,
                                     std::size_t limit);

} // namespace laurelhoist
