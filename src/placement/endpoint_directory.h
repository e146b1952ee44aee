/** \file
 * Chooses the endpoint for a request.
 *
 * A request of a plain service goes to the endpoint with the fewest requests in flight, with a preference for
 * this host's failure domain. A request of an engine goes to the endpoint with the lowest predicted time to
 * the first token, computed from the time that the prompts waiting there take to read (prefill), the number
 * of running streams, and the parts of the prompt in the engine's cache. Load pattern: prompts of 6,000 to
 * 50,000 tokens arrive among chats of 800; by the number of requests, two endpoints look equally loaded while
 * one is a second behind.
 *
 * The shared part of a prompt has a home endpoint for each model, the same on every host by rendezvous
 * hashing, so that it is read once and not once for each host. Another endpoint is chosen once the backlog of
 * the home costs more than reading the part again. Engines cache prompts per model: a part that the small
 * model has read has to be read again for the large one.
 */
#pragma once

#include "membership/membership.h"
#include "placement/endpoint_pace.h"
#include "placement/first_event_estimate.h"
#include "placement/load_announcer.h"
#include "placement/pause_cost.h"
#include "placement/send_allowance.h"
#include "routing/routing.h"

#include <unordered_map>

namespace laurelhoist {

/** The size and the parts of a request's prompt, for placement. */
struct prompt_shape {
    std::int64_t input_tokens = 0;
    std::vector<std::uint64_t> parts; ///< hashes of the prompt's parts, in order
    std::vector<std::int64_t> tokens; ///< number of tokens of each part
    /// Aim of the route for the longest pause between two events of a stream; 0: none.
    double gap_objective_ms = 0;
    bool is_empty() const { return input_tokens == 0; }
};

/** The model that is to answer a request. */
struct target_model {
    std::string name; ///< empty for a plain service
    first_event_costs costs;
};

/** A chosen endpoint and the estimates behind the choice. */
struct placement {
    endpoint_record endpoint;
    std::string model;              ///< \see target_model::name
    std::int64_t unread_tokens = 0; ///< prompt tokens that the endpoint has to read for this request
    double reading_ms = 0;          ///< time that it takes to read them
    double backlog_ms = 0;          ///< time that the prompts of other requests there still take to read
    double predicted_ms = 0;        ///< time to the first token; for a plain service, only a measure of load
    double pace = 1;                ///< \ref endpoint_pace::factor; the two times above are without it
};

/** \return the backlog of an endpoint in ms from which on a change of this host's load there is announced to
 * \p recipients hosts at once, and not only in the next gossip round.
 *
 * Load pattern: 985 hosts, of which each places one request a second on engines that are mostly idle. If each
 * change is sent to the 163 other hosts of the domain, a host with an eighth of a core receives 200 messages
 * a second that change no choice. The delay that an announcement may avoid has to outweigh the time that its
 * recipients spend on it. */
double min_announced_backlog_ms(std::size_t recipients);

class endpoint_directory {
public:
    /** \param endpoint_chart charts/endpoint.scxml
     * \param domain failure domain of this host
     * \param in_use mechanisms that are switched on
     * \param allowance decides to which endpoints this host may send */
    endpoint_directory(chart endpoint_chart, std::uint64_t seed, std::string domain,
                       const mechanisms& in_use = {}, send_allowance allowance = {"", {"", {}}});

    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** \return those of \p endpoints whose process is a later one than the one known here. */
    std::vector<endpoint_record> restarted_among(const std::vector<endpoint_record>& endpoints) const;
    /** Sets how many requests one endpoint of \p service runs at once, and how many hosts share it. */
    void set_slots(const std::string& service, int slots, std::size_t sharers);
    /** Sets whether endpoints of other failure domains are used only when those of this domain are busy. To
     * be set on a large fleet, where hosts know the load of the endpoints in their own domain only. */
    void prefer_own_domain(bool is_preferred) { prefers_own_domain_ = is_preferred; }
    /** Sets the load that \p host has in flight. It counts until nothing is heard of it for 2 s. */
    void set_peer_load(const std::string& host, load_by_endpoint load, time_point now);
    /** Takes what a gossip round of \p host names. A full round may have left out endpoints: the load at
     * those stays for as long as it has been heard of lately. */
    void set_round_load(const std::string& host, const load_by_endpoint& named, time_point now);
    /** Sets the load of \p host at the endpoints in \p changes; its load at other endpoints stays. */
    void update_peer_load(const std::string& host, const load_by_endpoint& changes, time_point now);
    const load_by_endpoint& own_load() const { return own_load_; }
    /** \return the time that a prompt sent to \p endpoint now would wait for the work of all known hosts. */
    double backlog_ms(const std::string& endpoint) const;
    send_allowance& allowance() { return allowance_; }
    const send_allowance& allowance() const { return allowance_; }
    endpoint_pace& pace() { return pace_; }

    /** \return the endpoint to send to, or nothing if no endpoint takes the request now */
    std::optional<placement> choose(const endpoint_criteria& criteria, const prompt_shape& prompt,
                                    const target_model& model, time_point now);
    /** \return whether some endpoint of \p service takes requests of this host now or within 0.5 s. */
    bool could_serve(const std::string& service, time_point now) const;
    /** \return how many endpoints of \p service that take work get no request of this host now or within
     * 0.5 s, by reason */
    std::map<exclusion, int> count_exclusions(const std::string& service, time_point now) const;
    /** \return the share of the endpoints of \p service which this host may use that have more prompts to
     * read or streams to run than they carry, 0 to 1. */
    double saturated_share(const std::string& service, time_point now) const;
    std::size_t size() const { return table_.size(); }
    /** \see endpoint_table::end_ejections */
    void end_ejections(const std::string& service, time_point now) { table_.end_ejections(service, now); }

    void on_sent(const placement& chosen, const prompt_shape& prompt, const endpoint_criteria& criteria,
                 time_point now);
    /** Moves the request from waiting to running once the first byte of its answer has arrived. */
    void on_first_byte(const placement& chosen);
    /** Records that an event of a streamed answer has arrived. \param took time since the request was sent */
    void on_event(const placement& chosen, duration took) {
        table_.on_call_progress(chosen.endpoint.name, took);
    }
    /** Removes the load of an attempt that has ended.
     * \param had_first_byte whether \ref on_first_byte was called for it */
    void on_ended(const placement& chosen, bool had_first_byte, call_result result, duration took,
                  time_point now);

private:
    struct peer_state {
        load_by_endpoint load;
        std::map<std::string, time_point> named_at; ///< when the peer last named each of \ref load
        time_point at;
    };
    struct engine_cache {
        std::unordered_map<std::uint64_t, time_point> parts; ///< time last sent, by \ref cache_key
    };

    double pace_of(const std::string& endpoint, time_point now) const {
        return in_use_.knows_pace ? pace_.factor(endpoint, now) : 1.0;
    }
    endpoint_load load_of(const std::string& endpoint) const;
    void add_peer_load(const load_by_endpoint& load, int sign);
    void drop_silent_peers(time_point now);
    /// The tokens of a prompt that one endpoint would have to read.
    struct unread_prompt {
        std::int64_t tokens = 0;
        std::int64_t shared_tokens = 0; ///< those of them in parts that other requests share
    };
    unread_prompt unread_at(const endpoint_record& endpoint, const prompt_shape& prompt,
                            const std::string& model, const std::string& home, time_point now) const;
    std::string home_of(const std::vector<endpoint_record>& candidates, const prompt_shape& prompt,
                        const std::string& model) const;
    /** \return the penalty for an endpoint in another failure domain; 0 for this host's domain
     * \param home home endpoint of the prompt's shared part, or empty. The penalty for an unknown load does
     * not apply to it, because homes are evenly distributed. */
    double domain_penalty_ms(const endpoint_record& endpoint, const std::string& home) const;
    /** \see pause_cost_ms
     * \param reading_ms time that the endpoint takes to read the prompt */
    double pause_cost(const prompt_shape& prompt, const endpoint_load& load, double reading_ms,
                      double pace) const;
    void forget_old_parts(engine_cache& cache, time_point now);

    endpoint_table table_;
    random_source random_;
    send_allowance allowance_;
    endpoint_pace pace_;
    std::string domain_;
    mechanisms in_use_;
    bool prefers_own_domain_ = false;
    std::map<std::string, int> slots_; ///< by service
    load_by_endpoint own_load_;
    std::map<std::string, peer_state> peers_;
    /// The sum of the loads in \ref peers_, kept up to date because summing for each choice takes a lookup by
    /// name for each of some 64 peers and 192 endpoints.
    std::unordered_map<std::string, endpoint_load> peer_load_;
    std::map<std::string, engine_cache> engine_caches_;
    std::map<std::string, std::int64_t> started_at_ms_; ///< start time of the known process, by endpoint name
};

} // namespace laurelhoist
