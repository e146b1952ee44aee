/** \file
 * Defines the entry: every decision about a caller's request from its arrival to its one answer, as a
 * state machine without I/O. Events arrive as method calls with the current time; effects go out through the
 * port.
 */
#pragma once

#include "chart/chart.h"
#include "node/config_delta.h"
#include "node/request_context.h"
#include "recovery/recovery.h"

#include <list>
#include <unordered_map>

namespace laurelhoist {

/** The settings of an entry, fixed at its start. */
struct entry_settings {
    std::string name;
    std::string incarnation;
    std::string address; ///< address that callers connect to
    std::string domain;
    std::string session_key;                     ///< signs session tokens; the same on every entry
    duration entry_list_cache_time = seconds(5); ///< how long callers may cache the response of /v1/entries
};

/** The state charts that an entry interprets. */
struct entry_charts {
    chart request;
    chart endpoint;
    chart host;
};

/** How tiers are chosen. \c ours is the policy of production; laurel_bench compares the others with it. */
enum class tier_policy { ours, always_cheap, always_costly, fixed_ladder };

/** Policies that laurel_bench varies; the defaults are those of production. */
struct entry_policies {
    tier_policy tier = tier_policy::ours;
    endpoint_policy endpoint = endpoint_policy::least_expected_latency;
};

class entry_core {
public:
    entry_core(entry_settings settings, const entry_charts& charts, entry_port& port, metrics& registry,
               std::uint64_t seed, entry_policies policies = {}, disabled_guards disabled = {});

    // Callers.
    void on_request(const caller_request& incoming, time_point now);
    void on_caller_gone(caller_handle caller, time_point now);
    /** \return the entries that the caller should use, best first. */
    std::vector<entry_choice> entries_for(const std::string& session) const;
    /** Reports the state of an earlier request, at once if this entry knows it, else from a steward. */
    void on_lookup(caller_handle caller, const std::string& team_key, const std::string& key, time_point now);

    // Endpoints and the rating service.
    void on_endpoint_answer(const std::string& call_id, const endpoint_answer& answer, time_point now);
    /** \param index number of the part within the whole answer, from 0 */
    void on_endpoint_part(const std::string& call_id, int index, const std::string& text, time_point now);
    /** \param score no value if the rating service did not answer in time */
    void on_rating(const std::string& call_id, std::optional<double> score, time_point now);

    // Stewards, by incarnation.
    void on_steward_up(const std::string& incarnation, const std::string& domain, time_point now);
    void on_steward_down(const std::string& incarnation, time_point now);
    void on_steward_message(const std::string& incarnation, const node_message& message, time_point now);

    /** Must be called at least every 100 ms. */
    void on_tick(time_point now);
    /** Begins a planned stop. */
    void begin_stop(time_point now);

    /** \return whether the planned stop is complete: no request is open and every bill has its copies. */
    bool is_stopped() const { return host_state_ == "stopped"; }
    bool is_ready(time_point now) const;
    std::size_t open_requests() const { return requests_.size(); }
    std::int64_t revision() const { return base_view_->revision(); }
    const fleet_view& view() const { return *view_; }
    const std::vector<steward_record>& stewards() const { return stewards_; }
    std::size_t undrained_bills() const { return outbox_.size(); }

private:
    using context = request_context;
    using request_chart = bound_chart<entry_core, context>;

    struct steward_link {
        std::string domain;
        counts_by_version sent_counts;
        std::map<std::string, team_counts> sent_teams;
        entry_record sent_record;
        int asks_since_record = 0;
    };
    struct cached_reply {
        caller_reply reply;
        std::string request_digest;
        time_point at;
    };
    struct background_rating {
        quality_estimator::subject subject;
        version_name version;
        double required_score = 0;
        double prior = 0;
    };

    static request_chart bind_request_chart(const chart& definition);

    // Guards of the request chart.
    bool needs_claim(const context& request) const;
    bool wants_rating(const context& request) const;
    bool may_send_again(const context& request) const;
    bool may_retry(const context& request) const;
    bool is_rerun_on_stop(const context& request) const;
    bool is_cancellable(const context& request) const;
    bool should_step_up(const context& request) const;
    bool has_earlier_answer(const context& request) const;

    // Actions of the request chart.
    void enqueue(context& request);
    void enqueue_first(context& request);
    void ask_claim(context& request);
    void dispatch(context& request);
    void ask_rating(context& request);
    void retry(context& request);
    /** \return a filter for the endpoints that may get a request of this entry within \p patience, by the
     * rate limits, back-offs and departures that they have announced. */
    endpoint_filter allowed_within(duration patience) const;
    void apply_statement(const context& request, const endpoint_statement& statement);
    void update_rate_limit_shares();
    /** \return the time in ms until an endpoint of the request's pool may be used again; 0: unknown */
    int retry_after_ms(const context& request) const;
    static request_digest quarantine_key(const context& request);
    std::optional<error> check_quarantine(const context& request) const;
    void record_broken_call(const context& request, const endpoint_answer& answer);
    void refuse_queued_requests(request_digest key);
    void rerun(context& request);
    void step_up(context& request);
    void bill(context& request);
    void bill_earlier(context& request);
    void release(context& request);
    void answer_error(context& request);
    void answer_from_claim(context& request);
    void give_up(context& request);
    void fail(context& request);
    void fail_unbilled(context& request);
    void abandon(context& request);

    // Admission (entry_admission.cpp).
    std::optional<error> check_caller(const caller_request& incoming, const team_entry*& team) const;
    std::optional<error> prepare_model_request(context& request);
    std::optional<error> prepare_service_request(context& request);
    int weight_of(const std::string& team) const;
    std::optional<error> check_queue(const context& request) const;
    bool answer_from_reply_cache(const caller_request& incoming, const team_entry& team);
    void choose_tier(context& request);
    std::vector<tier_option> tier_options(const context& request, std::size_t first) const;
    quality_estimator::subject subject_of(const context& request, const version_name& version) const;

    // Control (entry_control.cpp).
    void on(const std::string& from, const hello_message& message);
    void on(const std::string& from, const entry_ask& message);
    void on(const std::string& from, const entry_confirm& message);
    void on(const std::string& from, const config_update& message);
    void on(const std::string& from, const fleet_update& message);
    void on(const std::string& from, const bill_batch& message);
    void on(const std::string& from, const bill_held& message);
    void on(const std::string& from, const bill_drained& message);
    void on(const std::string& from, const claim_request& message);
    void on(const std::string& from, const claim_reply& message);
    void on(const std::string& from, const claim_finish& message);
    void on(const std::string& from, const lookup_request& message);
    void on(const std::string& from, const lookup_reply& message);
    void on(const std::string& from, const endpoints_leaving& message);
    void on(const std::string& from, const brake_notice& message);
    void on(const std::string& from, const peer_ask& message);
    void on(const std::string& from, const peer_answer& message);
    void apply_config(shared_view next);
    bool is_brake_notice_current() const;
    void apply_brake_notice();
    void reroute_open_requests();
    void reroute_queued(context& request);
    void ask_stewards();
    void send_bills();
    void advance_stop();
    bool are_bills_handed_over() const;
    std::size_t wanted_copies() const;
    void update_slot_limits();
    void announce_leaving_endpoint(const std::string& endpoint);

    // Calls and queues.
    void fire(std::string request_id, const std::string& event);
    void finish(const std::string& request_id);
    void push_to_queue(context& request, bool first);
    void remove_from_queue(context& request);
    void dispatch_queues();
    void dispatch_queue(const std::string& queue_name);
    bool try_dispatch_next(const std::string& queue_name);
    void start_call(context& request, const endpoint_record& endpoint);
    endpoint_criteria criteria_for(const context& request) const;
    void end_call(context& request, call_result result);
    bool is_rater_unavailable() const { return missed_ratings_ >= max_missed_ratings; }
    void record_answer(context& request, const endpoint_answer& answer);
    void check_timeouts(context& request);
    void check_bill_copies(context& request);
    void reroute_or_refuse(context& request);
    bool is_fresh() const;
    bool is_usable(const std::string& team, const version_name& version) const;
    duration call_timeout(const context& request) const;
    bool is_disabled(const char* guard) const { return disabled_.count(guard) > 0; }

    // Answers (entry_replies.cpp).
    caller_reply make_reply(const context& request) const;
    void send_error(const context& request, const error& failure);
    error refusal_of(const context& request) const;
    void count_release(const context& request);
    void check_release(const context& request);
    void check_version_not_stopped(const context& request) const;
    void finish_claim(const context& request, const std::string& state);
    void cache_reply(const context& request, const caller_reply& reply);
    void rate_in_background(const context& request);
    void record_rating(const quality_estimator::subject& subject, const version_name& version, double score,
                       double required_score, double prior);
    version_counts& counts_of(const version_name& version);

    entry_settings settings_;
    request_chart chart_;
    chart host_chart_;
    entry_port& port_;
    metrics& metrics_;
    random_source random_;
    entry_policies policies_;
    disabled_guards disabled_;
    time_point now_;

    std::string host_state_;
    time_point stop_began_;
    shared_view base_view_; ///< the accepted configuration
    shared_view view_;      ///< \ref base_view_ with the versions of the brake notice stopped
    freshness freshness_;
    std::map<std::string, steward_link> links_;
    std::vector<steward_record> stewards_;
    std::vector<entry_record> entries_;
    std::map<std::string, std::size_t> sharers_; ///< by pool: entries that share each endpoint, rounded up
    brake_notice brake_notice_;
    time_point last_ask_;

    endpoint_table endpoints_;
    send_allowance allowance_;
    std::map<std::string, waiting_room> queues_;
    std::map<std::string, int> team_in_flight_;
    std::map<std::string, int> team_queued_;
    retry_budget retries_;
    crash_quarantine quarantine_;
    quality_estimator quality_;
    quality_credit credit_;
    counts_by_version counts_;
    std::map<std::string, team_counts> team_counts_;

    std::unordered_map<std::string, context> requests_;
    std::unordered_map<std::string, std::string> request_by_call_;
    std::unordered_map<std::string, background_rating> background_ratings_;
    std::unordered_map<caller_handle, std::string> request_by_caller_;
    std::map<bill_key, std::string> request_by_key_;
    std::map<bill_key, cached_reply> reply_cache_;
    std::list<bill_key> reply_cache_order_;
    std::map<std::string, caller_handle> lookups_;
    bill_outbox outbox_;
    std::map<bill_key, std::string> request_by_bill_; ///< requests that wait for copies of their bills
    bool is_dispatching_ = false;
    static constexpr int max_missed_ratings = 3;
    int missed_ratings_ = 0; ///< ratings that failed to arrive since the last one that did
    time_point next_rater_probe_;
};

/** \return the lower-case hexadecimal SHA-256 of \p key; configurations hold this hash, never the key. */
std::string team_key_hash(const std::string& key);

} // namespace laurelhoist
