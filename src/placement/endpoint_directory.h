/** \file
 * Defines which endpoint a request goes to.
 *
 * Plain services: the endpoint with the fewest requests in flight. Engines: the endpoint that is predicted to
 * give the first token soonest, from the time that prompts there still take to read, the streams that run
 * there, and the part of the prompt that it has read before. Load pattern: prompts of 6,000 to 50,000 tokens
 * arrive among chats of 800; counted by requests, two endpoints look alike where one is a second behind.
 *
 * The shared part of a prompt has a home for each model, the same on every host by rendezvous hashing, so
 * that it is read once and not once for each host; a busy home is passed over once its backlog costs more
 * than reading the part again. Engines keep what each model has read apart: what the small one has read saves
 * the large one nothing.
 */
#pragma once

#include "membership/membership.h"
#include "placement/first_event_estimate.h"
#include "placement/send_allowance.h"
#include "routing/routing.h"

#include <unordered_map>

namespace laurelhoist {

/** The prompt of a request, for placement. */
struct prompt_shape {
    std::int64_t input_tokens = 0;
    std::vector<std::uint64_t> parts; ///< hashes of its parts, in order
    std::vector<std::int64_t> tokens; ///< of the parts
    bool is_empty() const { return input_tokens == 0; }
};

/** The model that is meant to answer a request. */
struct model_demand {
    std::string name; ///< empty: of a plain service
    first_event_costs costs;
};

/** Work in flight at one endpoint. */
struct endpoint_load {
    /// That prompts without a first token take to read, each by its own model. Counted in tokens, what waits
    /// for a large model would look ten times smaller to a request for a small one.
    double reading_ms = 0;
    int running = 0; ///< requests whose answer has begun, or of a plain service: in flight
};

/** Load by endpoint name, as hosts tell one another. */
using load_by_endpoint = std::map<std::string, endpoint_load>;

/** A chosen endpoint and what the choice rests on. */
struct placement {
    endpoint_record endpoint;
    std::string model;              ///< \see model_demand::name
    std::int64_t unread_tokens = 0; ///< that the endpoint has to read for this request
    double reading_ms = 0;          ///< that it takes to read them
    double backlog_ms = 0;          ///< that the prompts of others there still take to read
    double predicted_ms = 0;        ///< to the first token, or of a plain service 0
};

class endpoint_directory {
public:
    /** \param life charts/endpoint.scxml \param domain the failure domain of this host
     * \param allowance of this host */
    endpoint_directory(chart life, std::uint64_t seed, std::string domain, const mechanisms& in_use = {},
                       send_allowance allowance = {"", {"", {}}});

    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** \return those of \p endpoints whose process is another than the one known here. */
    std::vector<endpoint_record> restarted_among(const std::vector<endpoint_record>& endpoints) const;
    /** Sets how many requests one endpoint of \p service runs, and how many hosts share it. */
    void set_slots(const std::string& service, int slots, std::size_t sharers);
    /** Sets whether another failure domain's endpoints are used only when this one's are busy: on a large
     * fleet hosts know the load of those in their own domain alone. */
    void prefer_own_domain(bool is_preferred) { prefers_own_domain_ = is_preferred; }
    /** Takes what \p host has in flight; it counts for \ref peer_load_memory. */
    void set_peer_load(const std::string& host, load_by_endpoint load, time_point now);
    /** Takes what has changed of it: the endpoints in \p changes, the others stay. */
    void change_peer_load(const std::string& host, const load_by_endpoint& changes, time_point now);
    const load_by_endpoint& own_load() const { return own_; }
    send_allowance& allowance() { return allowance_; }
    const send_allowance& allowance() const { return allowance_; }

    /** \return the endpoint to send to, or nothing if none takes work now */
    std::optional<placement> choose(const endpoint_criteria& wish, const prompt_shape& prompt,
                                    const model_demand& model, time_point now);
    /** \return whether some endpoint of \p service takes requests of this host now or very soon. */
    bool could_serve(const std::string& service, time_point now) const;
    /** \return how many endpoints of \p service that take work get none of this host now, by the reason */
    std::map<send_bar, int> bars_of(const std::string& service, time_point now) const;
    std::size_t size() const { return table_.size(); }

    void on_sent(const placement& chosen, const prompt_shape& prompt, const endpoint_criteria& wish,
                 time_point now);
    /** The answer's first byte has come. */
    void on_first_byte(const placement& chosen);
    /** The attempt has ended. \param had_first_byte whether \ref on_first_byte was called for it */
    void on_ended(const placement& chosen, bool had_first_byte, call_result result, duration took,
                  time_point now);

private:
    struct peer_state {
        load_by_endpoint load;
        time_point at;
    };
    struct engine_memory {
        std::unordered_map<std::uint64_t, time_point> parts; ///< sent there by this host, by \ref cache_key
    };

    endpoint_load load_of(const std::string& endpoint) const;
    void count_peer_load(const load_by_endpoint& load, int sign);
    void drop_silent_peers(time_point now);
    /// What one endpoint would have to read of a prompt.
    struct unread_prompt {
        std::int64_t tokens = 0;
        std::int64_t shared_tokens = 0; ///< of these, of parts that other requests have as well
    };
    unread_prompt unread_at(const endpoint_record& endpoint, const prompt_shape& prompt,
                            const std::string& model, const std::string& home, time_point now) const;
    std::string home_of(const std::vector<endpoint_record>& candidates, const prompt_shape& prompt,
                        const std::string& model) const;
    /** \param home of the prompt's shared part: its load is shared evenly, so that not knowing it matters
     * less */
    double domain_penalty_ms(const endpoint_record& endpoint, const std::string& home) const;
    void forget_old_parts(engine_memory& memory, time_point now);

    endpoint_table table_;
    random_source random_;
    send_allowance allowance_;
    std::string domain_;
    mechanisms in_use_;
    bool prefers_own_domain_ = false;
    load_by_endpoint own_;
    std::map<std::string, peer_state> peers_;
    /// The sum of what \ref peers_ hold. Summed up for each choice, it took a look-up by name for each of
    /// some 64 peers and 192 endpoints.
    std::unordered_map<std::string, endpoint_load> heard_;
    std::map<std::string, engine_memory> memory_;
    std::map<std::string, std::int64_t> started_at_ms_; ///< by endpoint
};

} // namespace laurelhoist
