/** \file
 * Defines a fake endpoint (a model engine or a plain service) under the virtual clock. It models slots, a
 * queue, a prefix cache, delayed load reports, load and unload orders, and faults.
 */
#pragma once

#include "node/node.h"
#include "simulation/virtual_clock.h"

#include <deque>
#include <list>

namespace laurelhoist {

/** The answer quality and the speed of a model version. */
struct version_behaviour {
    double skill = 0.9; ///< requests of a lower difficulty get a good answer
    double first_token_ms = 100;
    double token_ms = 5;
    double noise = 0.02; ///< probability that a request within the skill gets a bad answer
};

/** Callbacks through which the world observes the calls that an endpoint runs. */
struct endpoint_observer {
    std::function<void(const endpoint_call&, const endpoint_record&)> on_begin;
};

class fake_endpoint {
public:
    struct handlers {
        std::function<void(int, const std::string&)> on_part;
        std::function<void(const endpoint_answer&)> on_answer;
    };

    fake_endpoint(virtual_clock& clock, endpoint_record record, int slots, std::uint64_t seed);

    void call(const endpoint_call& call, const handlers& to);
    void cancel(const std::string& call_id);
    void order(const engine_order& order);

    endpoint_record record;
    std::map<version_name, version_behaviour> behaviours;
    std::set<version_name> loaded;
    endpoint_observer observer;
    bool checks_fence = true;
    bool is_dead = false;     ///< the process is down and refuses connections
    std::string crash_marker; ///< marker of the requests that crash this endpoint; empty: none
    bool is_silent = false;   ///< accepts calls but never answers
    bool is_leaving = false;  ///< refuses new calls and names the reason
    /// Sent with each answer; while it asks for a back-off, every call is refused.
    endpoint_statement statement;
    std::vector<time_point> arrivals; ///< arrival time of each call that finds the process up
    bool names_wrong_version = false;
    bool mixes_answers = false; ///< answers some calls with another request's answer
    double slow_factor = 1.0;
    double duplicate_part_share = 0.0; ///< share of a stream's parts that are sent twice
    double cut_answer_share = 0.0;     ///< share of answers whose connection breaks after the call has run
    duration report_lag = milliseconds(0);
    duration load_time = seconds(2);
    std::uint64_t prefix_hits = 0;
    std::uint64_t begun = 0;         ///< calls that have begun to run
    std::uint64_t fenced_orders = 0; ///< orders refused because of an outdated fencing token

private:
    struct job {
        endpoint_call call;
        handlers to;
        bool is_cancelled = false;
        int next_part = 0;
    };
    using shared_job = std::shared_ptr<job>;

    void begin_next();
    void run(const shared_job& work);
    void end_process();
    void send_part(const shared_job& work, double token_ms);
    void end(const shared_job& work, bool with_answer);
    double first_token_ms(const shared_job& work);
    endpoint_answer answer_of(const shared_job& work);
    load_report report() const;
    void record_load_sample();
    static endpoint_answer refusal(call_result result);

    struct load_sample {
        time_point at;
        int running = 0;
        int queued = 0;
    };

    virtual_clock& clock_;
    random_source random_;
    int slots_;
    int running_ = 0;
    std::deque<shared_job> queue_;
    std::map<std::string, shared_job> jobs_;
    std::list<std::string> prefixes_;
    std::deque<load_sample> samples_;
    std::int64_t highest_fence_ = 0;
};

} // namespace laurelhoist
