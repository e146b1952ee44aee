/** \file
 * Defines how the entry hosts know of one another: each passes on what it knows to a few others at random, a
 * few times a second. No host is special, and any that lives can bring a new one in.
 *
 * A host is alive while its beat goes on rising. A host that stops says so itself and is out of every answer
 * to callers at once; one that dies without a word is out after \ref silence_of_dead.
 */
#pragma once

#include "membership/entry_directory.h"

#include <optional>

namespace laurelhoist {

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

/// A beat rises at least every 0.4 s and reaches everybody within three rounds; this allows for lost ones.
constexpr duration silence_of_dead = milliseconds(2500);

class host_gossip {
public:
    host_gossip(host_status self, std::uint64_t seed);

    /** Sets gossip addresses to try when nobody is known. */
    void set_seeds(std::vector<std::string> addresses) { seeds_ = std::move(addresses); }
    void set_state(const std::string& state) { self_.state = state; }
    void set_config_revision(std::int64_t revision) { self_.config_revision = revision; }

    /** Raises the beat and picks whom to tell. \return gossip addresses */
    std::vector<std::string> next_targets(time_point now);
    /** \return this host and a random part of the others, for one message. */
    std::vector<host_status> statuses_to_send(time_point now);
    void take(const std::vector<host_status>& statuses, time_point now);
    /** \return whether this incarnation of a host has been heard of. */
    bool knows(const host_status& status) const;
    /** \return all live hosts in messages of the usual size, each with this host first: for one that has just
     * started and must not wait until somebody picks it at random. */
    std::vector<std::vector<host_status>> introduction(time_point now) const;

    const host_status& self() const { return self_; }
    /** \return the live hosts, this one included, by name. */
    std::vector<host_status> live(time_point now) const;
    /** \return live hosts other than this one, in random order. */
    std::vector<host_status> random_peers(std::size_t most, time_point now);

private:
    struct held_status {
        host_status status;
        time_point heard_at; ///< when its beat last rose here
    };
    void outdo(const host_status& past);

    host_status self_;
    random_source random_;
    std::vector<std::string> seeds_;
    std::map<std::string, held_status> others_;
    std::uint64_t rounds_ = 0;
};

/** Picks the addresses for a caller in \p domain, who will use one of them at random: the serving hosts of
 * its own failure domain if there are at least two, because bytes between domains cost and one alone is no
 * alternative; otherwise all serving hosts. Never empty while a host serves.
 * \return at most \p most addresses */
std::vector<std::string> entries_for(const std::string& domain, const std::vector<host_status>& hosts,
                                     std::size_t most);

} // namespace laurelhoist
