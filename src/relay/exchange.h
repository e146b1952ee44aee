/** \file
 * Defines the exchange: one request of a caller from its arrival to its answer, over one endpoint or several.
 */
#pragma once

#include "relay/attempt_rules.h"
#include "relay/event_stream.h"
#include "relay/relay.h"

#include <limits>

namespace laurelhoist {

/** One request under way.
 *
 * Its states stand in charts/relay.scxml: waiting (for an endpoint that takes work), connecting, asked (sent,
 * no answer yet), answering (the caller has received a part), finished. */
class exchange : public connection_observer, public std::enable_shared_from_this<exchange> {
public:
    exchange(relay& owner, std::shared_ptr<caller_connection> caller, caller_request request);

    /** Decides whether the request may run, and sends it. */
    void start();
    /** Called some twenty times a second: time limits, and another try for one that waits. */
    void on_tick(time_point now);
    /** \p endpoint is a new process under a known name: what the earlier one was asked will not be answered.
     */
    void on_endpoint_restarted(const endpoint_record& endpoint);

    /** Requests may have been quarantined: stops if this is one that no endpoint has begun to answer. */
    void on_quarantine_changed();

    void on_connected() override;
    void on_connect_failed(connect_failure why) override;
    void on_received(std::string_view bytes) override;
    void on_closed(connection_end end) override;

private:
    struct attempt {
        placement chosen;
        endpoint_criteria wish;
        std::string model;
        std::size_t model_rank = 0;
        time_point sent_at;
        time_point heard_at;
        std::int64_t events_before = 0; ///< that the caller had when it was sent
        bool has_first_byte = false;
        bool has_head = false;       ///< of the answer, and what it says of the endpoint is noted
        bool is_trial = false;       ///< of a quarantined request
        bool is_judged_slow = false; ///< counted against the release already
        bool is_accepted = false;    ///< the answer is good enough to be passed on
    };

    static constexpr int status_bad_gateway = 502;
    static constexpr int status_unavailable = 503;

    void await_configuration(time_point now);
    void begin();
    void move(const char* event);
    bool is_in(const char* phase) const { return phase_ == phase; }
    bool admit();
    bool admit_team();
    void pick_service();
    void dispatch();
    struct model_placements {
        std::vector<model_option> options;
        std::vector<placement> placements;
    };
    endpoint_criteria make_wish() const;
    static constexpr std::size_t most_sizes = std::numeric_limits<std::size_t>::max();
    /** \return where models of the route could answer, from \p least_size on, at most \p most of them. */
    model_placements placements_from(std::size_t least_size, std::size_t most, const endpoint_criteria& wish,
                                     time_point now);
    bool choose(time_point now);
    /** \return what is left of the objective for the first event of a larger model. */
    double step_up_time_ms(time_point now) const;
    bool is_good_enough(const answer_terms& given);
    /** \return when to come back to a service of which no endpoint takes work. */
    duration time_to_room(time_point now) const;
    void note_bars(time_point now);
    void open_connection();
    void send_request();
    void place_again();
    void read_answer(std::string_view bytes);
    void start_reader();
    /** \return what the answer's head says, read once; only once the head is there. */
    const answer_terms& answer();
    bool is_event_stream() const;
    bool is_stray_answer();
    void note_first_byte();
    void note_event_passed_on();
    void note_load_change();
    void note_statements();
    /** \return whether the attempt goes on. */
    bool pass_on_events();
    void on_answer_complete();
    void complete_stream();
    void deliver_whole(const char* outcome);
    void begin_stream_answer();
    void end_attempt(attempt_end end);
    void settle_attempt(call_result result, release_evidence evidence);
    void release_connection(bool is_reusable);
    duration idle_time() const;
    void follow_up(attempt_end end);
    void answer_failure(int status, const char* reason, const char* remedy, duration retry_after);
    void on_caller_gone();
    void finish(const char* outcome, int status);
    void log_attempt(attempt_end end);
    /** \return by what this request is known again; worked out once, when it is first asked for. */
    request_digest digest();
    std::string team_name() const { return team_ == nullptr ? std::string{} : team_->name; }
    /** \return the events that the present attempt has passed on. */
    std::int64_t events_of_attempt() const { return events_.last_id() - attempt_.events_before; }
    std::string answer_head(int status, const header_list& headers, bool is_chunked,
                            std::size_t length) const;
    bool keeps_caller() const;
    duration time_left(time_point now) const { return expires_at_ - now; }
    duration silence_limit() const;
    bool has_stalled(time_point now) const;
    duration longest_wait() const;
    bool starts_too_late_to_stop() const;
    bool is_quarantined(time_point now);
    void answer_quarantined();
    /// A stream that has passed something on is not what ends its endpoint by beginning.
    bool may_have_ended_endpoint() const { return events_of_attempt() == 0; }
    suspected_end end_under_this();
    void note_answered();
    attempt_record record() const;
    release_route release_key() const;

    relay& owner_;
    relay_state& state_;
    std::shared_ptr<caller_connection> caller_;
    caller_request request_;
    request_terms terms_;
    prompt_shape prompt_;
    routing_snapshot routing_;
    const traffic_route* route_ = nullptr;
    const traffic_team* team_ = nullptr;
    std::string service_;
    time_point arrived_at_;
    time_point expires_at_;
    time_point waiting_since_;

    std::string phase_; ///< a state of charts/relay.scxml
    attempt attempt_;
    std::shared_ptr<endpoint_connection> connection_;
    std::optional<answer_reader> reader_;
    std::optional<answer_terms> answer_; ///< \see answer
    std::string body_;
    event_joiner events_{0};
    std::set<std::string> tried_;
    std::size_t least_size_ = 0; ///< of the model; raised when a smaller one's answer was not good enough
    duration config_age_{};      ///< at arrival
    std::optional<request_digest> digest_;
    int confidence_ = -1;      ///< of the answer; -1: none said
    int first_event_ms_ = -1;  ///< from arrival until it was passed on; -1: none was
    int longest_gap_ms_ = -1;  ///< between two events passed on; -1: fewer than two were
    time_point last_event_at_; ///< when the last one was passed on
    int attempts_ = 0;
    int detours_ = 0;        ///< attempts at endpoints that had gone
    bool has_begun_ = false; ///< it has been decided whether the request may run
    bool may_have_run_ = false;
    bool has_begun_answer_ = false;
    bool is_caller_gone_ = false;
    bool has_surplus_ = false; ///< the connection carried bytes that belong to no answer of ours
};

} // namespace laurelhoist
