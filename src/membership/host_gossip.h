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
 * to callers at once; one that dies without a word is out after \ref silence_of_dead.
 */
#pragma once

#include "membership/entry_directory.h"

#include <optional>
#include <unordered_map>

namespace laurelhoist {

/** Up to so many hosts know everything of one another at first hand, or as good as. */
constexpr std::size_t hosts_of_small_fleet = 10;

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
constexpr duration silence_of_dead = milliseconds(2500);

/** That a host lives, in eight bytes: enough for one that holds its \ref host_status already. */
struct host_beat {
    std::uint32_t host = 0;        ///< \ref beat_code of its name
    std::uint16_t incarnation = 0; ///< lowest bits
    std::uint16_t beat = 0;        ///< lowest bits
};
LAUREL_VALUE_TYPE(host_beat, host, incarnation, beat)

/** \return by what a beat names the host \p name */
std::uint32_t beat_code(const std::string& name);
/** \return \p beats as bytes, to go in one field of a message */
std::string encode_beats(const std::vector<host_beat>& beats);
/** \return the beats in \p bytes; of bytes that are none, as many as are whole */
std::vector<host_beat> decode_beats(const std::string& bytes);

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
    std::vector<host_beat> beats_to_send(time_point now) const;
    /** \return this host and some live ones that \p beats, all that another host knows of, leaves out: for
     * one message in answer. Empty if there are none, and on a small fleet. */
    std::vector<host_status> statuses_missing_in(const std::vector<host_beat>& beats,
                                                 const std::string& reader, time_point now);
    void take(const std::vector<host_status>& statuses, time_point now);
    /** Takes beats of hosts that are known; the others are left out. */
    void take_beats(const std::vector<host_beat>& beats, time_point now);
    /** \return whether this incarnation of a host has been heard of. */
    bool knows(const host_status& status) const;
    /** \return all live hosts in messages of the usual size, each with this host first: for one that has just
     * started and must not wait until somebody picks it at random. */
    std::vector<std::vector<host_status>> introduction(time_point now) const;

    const host_status& self() const { return self_; }
    /** \return the live hosts, this one included, by name; valid until the next call of a member. */
    const std::vector<host_status>& live(time_point now) const;
    bool is_large_fleet(time_point now) const { return live(now).size() > hosts_of_small_fleet; }
    /** \return live hosts other than this one, in random order. */
    std::vector<host_status> random_peers(std::size_t most, time_point now);
    /** \return \p near live hosts of this one's failure domain, whose messages cost nothing, and \p any from
     * everywhere, without which the domains would not hear of one another. On a small fleet all may be from
     * everywhere. */
    std::vector<host_status> mostly_near_peers(std::size_t near, std::size_t any, time_point now);

private:
    struct held_status {
        host_status status;
        std::uint32_t code = 0; ///< \ref beat_code
        time_point heard_at;    ///< when its beat last rose here
        std::size_t told = 0;   ///< messages that have carried it since its state or incarnation changed
    };
    using held_by_name = std::map<std::string, held_status>;

    void outdo(const host_status& past);
    void hold(const host_status& status, time_point now);
    void note_heard(held_status& held, time_point now);
    void forget_dead(time_point now);
    std::vector<host_status> random_of(const std::vector<const host_status*>& hosts, std::size_t most);

    host_status self_;
    random_source random_;
    std::vector<std::string> seeds_;
    held_by_name others_;
    std::unordered_map<std::uint32_t, held_by_name::iterator> by_code_;
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
                                     std::size_t most);

} // namespace laurelhoist
