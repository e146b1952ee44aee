/** \file
 * Defines the exchange: one request of a caller from its arrival to its answer, including all attempts at
 * endpoints.
 */
#pragma once

#include "relay/attempt_rules.h"
#include "relay/event_stream.h"
#include "relay/relay.h"

#include <limits>

namespace laurelhoist {

/** \return the distinct digests of the parts of the prompt but the last, which belongs to one request only.
 */
std::vector<part_digest> digests_of_shared_parts(const request_terms& terms);

/** One request in progress.
 *
 * Its states are defined in charts/relay.scxml: waiting (for an endpoint that accepts work), connecting,
 * asked (sent, nothing forwarded yet), answering (the caller has received part of the answer), finished. */
class exchange : public connection_observer, public std::enable_shared_from_this<exchange> {
public:
    exchange(relay& owner, std::shared_ptr<caller_connection> caller, caller_request request);

    /** Reads the request, decides whether it may run, and sends it to an endpoint. */
    void start();
    /** Checks time limits; called every 50 ms. */
    void on_tick(time_point now);
    /** \return the bytes that the present endpoint has sent and this host has not read. */
    std::size_t unread_bytes() const { return connection_ ? connection_->unread_bytes() : 0; }
    /** Ends the present attempt if it was sent to an earlier process of \p endpoint. */
    void on_endpoint_restarted(const endpoint_record& endpoint);
    /** Refuses this request if it waits for an endpoint and cannot be answered before the host stops.
     * \return whether it has ended */
    bool stop_if_hopeless(time_point now);
    /** Ends the request because the process ends before it, and logs what it was doing. A caller without a
     * part of an answer gets a failure; a begun answer is cut off when the process ends. */
    void end_with_process();
    /** Ends the request after an exception in its handling. The caller's connection is reset, as it is
     * unknown whether the request has run. Whatever throws in the course of it, the request is no longer
     * among the active ones and its connections are closed. \param what the text of the exception */
    void end_after_exception(const std::string& what);
    /** \return for whom and how long this request has waited for an endpoint; nothing if it does not wait. */
    std::optional<waiting_time> waiting(time_point now) const;
    /** Places this waiting request if an endpoint takes it, or answers it if it cannot be served any more.
     * \return whether it has left its place in the waiting room */
    bool leave_room_if_served();
    /** Records that the endpoints with room do not suit this waiting request. */
    void on_passed_over() { is_passed_over_ = true; }

    /** Checks whether this request is now quarantined; if so, refuses it unless its answer has begun, it is
     * the trial attempt, or it has been sent and may not be repeated. */
    void on_quarantine_changed();
    /** Ends an attempt that waits for an endpoint of \p service which this host has found unreachable. */
    void on_service_lost(const std::string& service, time_point now);

    void on_connected() override;
    void on_connect_failed(connect_failure why) override;
    void on_received(std::string_view bytes) override;
    void on_closed(connection_end end) override;

private:
    /** The present attempt at an endpoint. */
    struct attempt {
        placement chosen;
        endpoint_criteria criteria;
        std::string model;
        std::size_t model_rank = 0; ///< index in the route's models, smallest first
        time_point sent_at;         ///< when the attempt was placed, before its connection was made
        time_point heard_at;        ///< when data last arrived
        std::int64_t events_before_attempt = 0; ///< last event id that the caller had before this attempt
        std::string peer; ///< host to which the request is forwarded; empty: sent to an endpoint
        bool is_new_connection = false; ///< not one of the idle connections
        bool is_settled = false;        ///< its end is counted
        bool lacked_means = false;      ///< this host had no descriptor, buffer or port for its connection
        bool is_link_recorded = false;  ///< \ref relay::record_link was called for its connection
        bool has_first_byte = false;
        bool has_head = false;     ///< the answer's head has arrived and its endpoint statement is recorded
        bool is_trial = false;     ///< the trial attempt of a quarantined request
        const char* slowness = ""; ///< in what the answer was slow; empty: it was not
        bool is_paced = false;     ///< how fast its events came has been compared, or cannot be
        time_point first_event_at; ///< when its first event was forwarded
        std::int64_t first_events = 0; ///< number of events forwarded at that time
        bool is_accepted = false;      ///< the answer has begun and is good enough to be forwarded
        bool has_paused = false;       ///< reading was paused at least once because of a slow caller
        bool has_deferred = false;     ///< reading was deferred to the next tick at least once
        answer_work work;
        std::size_t unspent_work = 0; ///< of the bytes that are being read, not yet part of \ref work
        /** \return whether the answer came late because this host did not read it. */
        bool has_waited() const { return has_paused || has_deferred; }

        bool has_reached_no_endpoint = false; ///< the other host refused the request and sent it nowhere
        bool is_forwarded() const { return !peer.empty(); }
        bool is_slow() const { return *slowness != '\0'; }
    };

    static constexpr int status_bad_request = 400;
    static constexpr int status_bad_gateway = 502;
    static constexpr int status_unavailable = 503;
    static constexpr int status_gateway_timeout = 504;
    static constexpr int status_class = 100; ///< status codes of a kind share what remains if divided by this

    /** Sends the request on the connection that was made for it. */
    void send_on_connection();
    void end_unconnected(connect_failure why);
    void end_with_connection(connection_end end);
    void await_configuration(time_point now);
    void begin();
    void apply_event(const char* event);
    bool is_in_state(const char* state) const { return exchange_state_ == state; }
    bool admit();
    bool admit_team();
    void pick_service();
    void dispatch();
    /** \return whether a request that has just arrived may be placed; otherwise it has been refused. */
    bool admit_load();
    /** \return whether there was room for the request's body; otherwise the request has been refused. */
    bool admit_body();
    /** \return whether the host has room for an answer as long as the route's last one; otherwise the request
     * has been refused. */
    bool admit_answer();
    load_key key_of_load() const;
    /** \return whether a served request missed an objective of its route. */
    bool is_late(duration took) const;
    /** Counts the end of the request for operators. */
    void record_load(const std::string& outcome, int status, duration took);
    /** \return the priority of the team, or of the route if the team has none; 0 is the most urgent. */
    int priority() const;
    /** \return the urgency that engines order their queues by, 0 is the most urgent. */
    int urgency() const;
    /** Records what this request shows about the usage of teams and the pressure of the service. */
    void observe_arrival(time_point now);
    admission_inputs make_admission_inputs(time_point now) const;
    /** \return a lower estimate of the time in which this request is answered. */
    double answered_within_ms(double time_left_ms, time_point now);
    void refuse_for_load(const rejected& refusal, const admission_inputs& inputs);
    /** Records that the answer to this request has begun. */
    void observe_first_event(time_point now);
    /** Records that this request has ended, at its time limit or otherwise. */
    void observe_end(time_point now, bool is_served, bool is_out_of_time);
    bool observes_load() const;
    /** \return the route and the urgency, between which times to the first event differ under load. */
    std::string load_kind() const;
    /** \return the Retry-After for a service whose endpoints are all full. */
    duration time_to_room(time_point now) const;
    /** How a wait for an endpoint ended. */
    enum class wait_end { placed, refused, left };
    static const char* name_of(wait_end end);
    /** Keeps the request until an endpoint has room for it. */
    void wait_for_room(time_point now);
    /** Refuses a waiting request once it has waited for too long. */
    void check_waiting(time_point now);
    /** \return whether the request has to enter the waiting room behind others. */
    bool is_behind_others() const;
    /** Leaves the waiting room, if the request is there, and records the time that it has waited. */
    void end_wait(wait_end end);
    void log_wait(wait_end end, duration waited, std::size_t still_waiting) const;
    /** \return whether a request that has waited for half of its objective may go on waiting. */
    bool may_wait_on(time_point now);
    /** \return the time that the answer takes, by the route's objectives. */
    duration time_to_answer() const;
    /** The models that could answer and, at the same index, the placement of each. */
    struct model_placements {
        std::vector<model_option> options;
        std::vector<placement> placements;
    };
    routed_request make_routed_request() const;
    endpoint_criteria make_placement_criteria() const;
    static constexpr std::size_t no_size_limit = std::numeric_limits<std::size_t>::max();
    /** \return the placements of at most \p max_count of the route's models, from index \p min_size on. */
    model_placements placements_from(std::size_t min_size, std::size_t max_count,
                                     const endpoint_criteria& criteria, time_point now);
    bool choose(time_point now);
    /** \return the time left of the latency objective for the first event of a larger model. */
    double step_up_budget_ms(time_point now) const;
    /** \return the part of its budget within which the route asks a larger model while engines are saturated.
     */
    double larger_model_share(time_point now);
    bool is_good_enough(const answer_terms& given);
    /** \return the Retry-After for a service of which no endpoint accepts work, with jitter. */
    duration time_to_capacity(time_point now) const;
    void log_excluded_endpoints(time_point now);
    /** Forwards the request to another host if this one has lost the service and that one has not.
     * \return whether it is forwarded */
    bool forward_to_peer(time_point now);
    void open_connection();
    /** Counts the endpoints to which another host has sent the forwarded request. */
    void count_attempts_of_peer(attempt_end end);
    void connect_to(const std::string& address, time_point now);
    /** Records once whether the attempt's new connection was made. */
    void record_link(bool is_reachable);
    void send_request();
    void cancel_and_redispatch();
    void read_answer(std::string_view bytes);
    void start_reader();
    /** Releases what is held of the present answer. */
    void drop_answer();
    /** Counts what is held of the answer. \return whether the host may hold as much; otherwise the attempt
     * has ended */
    bool hold_answer();
    /** The same for what is no body. */
    bool hold_framing();
    /** \return whether the buffer has room for what is held of answers. */
    bool has_room_for_answers() const;
    void on_invalid_answer();
    /** \return whether the answer that is being received, which is no stream, may be passed on before it is
     * complete: its head decides that it is the one for the caller. */
    bool may_pass_on();
    /** \return the length of the answer's body, in bytes; nothing if its head does not state it. */
    std::optional<std::size_t> stated_length() const;
    /** Sends the head of an answer that is passed on. */
    void begin_passing_on();
    void write_chunk(byte_blocks&& bytes);
    /** Passes on what has been received of an answer that is no stream; the rest follows as it arrives. */
    void pass_on();
    /** Records how long a complete answer of the route is, for \ref admit_answer. */
    void record_answer_size();
    /** Stops reading from the endpoint if the caller has much to read. */
    void pause_for_caller();
    /** Ends the attempt, as its endpoint sends more than an answer may have. */
    void refuse_answer(const char* reason, std::size_t bytes, std::size_t limit);
    /** \return the fields of the answer's head, decoded on first use; the head must have arrived. */
    const answer_terms& answer();
    bool is_event_stream() const;
    bool is_stray_answer();
    void record_first_byte();
    void record_forwarded_event();
    /// \return the name of the endpoint unless it is cold.
    std::string warm_endpoint(time_point now) const;
    /// Compares the pace of a stream whose next event is overdue.
    void record_overdue_pace(time_point now);
    /** Compares how fast the attempt's events came with the established release, once in each attempt.
     * \param min_intervals fewer intervals between events are not compared yet */
    void record_pace(std::int64_t min_intervals);
    /** Records how fast the attempt's endpoint makes events. */
    void record_endpoint_pace(duration elapsed, std::int64_t intervals);
    void notify_load_changed();
    void record_endpoint_statement();
    /** Decides whether the answer is good enough to be forwarded, once its first event has arrived.
     * \return whether it is; otherwise it has been declined */
    bool accept_answer();
    /** Forwards the events that \p part of the body completes. \return whether the attempt continues */
    bool forward_events(std::string_view part);
    /** \return whether the answer claims to be a success without its endpoint's receipt. */
    bool lacks_receipt();
    /** Moves what is held of the stream to the events. \return whether no event is missing */
    bool join_held_events(byte_blocks& complete);
    void write_events(byte_blocks&& events);
    /** Reads on from the endpoint once the caller has received enough of what was forwarded. */
    void on_caller_progress();
    /** \return whether the attempt makes no progress because the caller does not read. */
    bool is_waiting_for_caller() const { return connection_ && connection_->is_reading_paused(); }
    /** Reads no more of the answer until the next tick if it has caused its share of work in this one. */
    void bound_answer_work();
    void resume_deferred(time_point now);
    /** Ends a request whose time limit has passed while its caller did not read. */
    void give_up_on_caller();
    /** \return whether the events received so far, if nothing follows them, are those of a run that broke
     * off. */
    bool is_broken_off();
    void on_answer_complete();
    void complete_stream();
    /** Handles the complete answer of another host to a forwarded request. */
    void on_forwarded_answer_complete();
    void send_complete_answer(const char* outcome);
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
    /** \return the digest that identifies repeats of this request; computed on first use. */
    request_digest digest();
    /** \return what an endpoint's end during this request can be blamed on. */
    crash_causes causes();
    /** \return what a quarantine can hold against the next attempt. */
    crash_causes causes_in_question();
    /** \return the first of the prompt's parts but the last, for the log. */
    std::string shared_parts_text() const;
    std::string team_name() const { return team_ == nullptr ? std::string{} : team_->name; }
    /** \return the number of events that the present attempt has forwarded. */
    std::int64_t events_of_attempt() const { return events_.last_id() - attempt_.events_before_attempt; }
    /** How a caller sees where the body of an answer ends. */
    enum class body_framing { length, chunks, end_of_connection };
    std::string answer_head(int status, const header_list& headers, body_framing framing,
                            std::size_t length) const;
    bool keeps_caller_connection() const;
    duration time_left(time_point now) const { return expires_at_ - now; }
    duration silence_limit() const;
    bool has_stalled(time_point now) const;
    bool is_overdue(time_point now) const;
    duration max_queue_time() const;
    /** \return whether the host stops before a request that is sent to an endpoint now is answered. */
    bool would_outlast_stop(time_point now) const;
    /** \return whether a request that has just arrived may go on; otherwise it has been refused, because the
     * host stops. */
    bool admit_to_stopping_host();
    /** Answers that the host stops: 502 if the request may have run, otherwise 503. A begun answer is cut. */
    void refuse_for_stop(const stop_prospect& prospect);
    /** \param wait expected wait for an endpoint */
    stop_prospect make_stop_prospect(duration wait, time_point now) const;
    /** \return the time until this waiting request is placed; 0 if it does not wait or too little is known.
     */
    duration expected_wait(time_point now) const;
    /** \return the time that an endpoint takes for the answer, or for what is left of it. */
    duration expected_answer_time(time_point now) const;
    /** Records how long the complete answer took, unless only a part of it was made or its caller was slow.
     */
    void record_answer_time(time_point now);
    void log_cut_by_stop() const;
    bool is_quarantined(time_point now);
    void answer_quarantined();
    /// A request whose stream has forwarded events was running, so it is not suspected of ending the endpoint
    /// when it starts to run.
    bool may_have_ended_endpoint() const { return events_of_attempt() == 0; }
    suspected_end make_suspected_end();
    /** Clears the parts of the prompt, as an answer to it has begun. */
    void clear_parts();
    /** Clears the request and its parts after a complete answer. */
    void clear_suspicion();
    retry_context make_retry_context() const;
    release_route release_key() const;

    relay& owner_;
    relay_state& state_;
    std::shared_ptr<caller_connection> caller_;
    caller_request request_;
    byte_hold held_request_;
    byte_hold held_answer_;           ///< bytes of the answer, or of its present event
    byte_hold held_framing_;          ///< what is held of the present answer and is no body
    std::size_t passed_on_bytes_ = 0; ///< of the body of an answer that is no stream
    std::size_t stray_bytes_ = 0;     ///< of answers to other requests, in the present attempt
    request_terms terms_;
    prompt_shape prompt_;
    routing_snapshot routing_;
    const traffic_route* route_ = nullptr;
    const traffic_team* team_ = nullptr;
    std::string service_;
    time_point arrived_at_;
    time_point expires_at_;
    time_point started_at_; ///< when the configuration was known, at \ref arrived_at_ or later
    time_point waiting_since_;
    std::string waiting_id_;         ///< in the waiting room of \ref service_; empty: not there
    std::size_t ahead_at_entry_ = 0; ///< requests that were ahead of it when it entered the room
    bool is_passed_over_ = false;    ///< in the present wait, while there was room for others
    time_point judged_at_;           ///< when it is decided whether it waits any longer
    duration waited_{};              ///< in all waits for an endpoint
    bool is_being_served_ = false;   ///< it is its turn

    std::string exchange_state_; ///< state name in charts/relay.scxml
    attempt attempt_;
    std::shared_ptr<endpoint_connection> connection_;
    std::optional<answer_reader> reader_;
    std::optional<answer_terms> answer_; ///< \see answer
    byte_blocks body_; ///< what is held of the answer; of an event stream, until it is accepted
    event_joiner events_{0};
    event_scanner first_event_;      ///< of an event stream that is not accepted yet, in \ref body_
    std::set<std::string> tried_;    ///< endpoints of failed attempts, which placement avoids
    std::size_t min_model_size_ = 0; ///< index of the smallest model to use; raised for each step up
    duration config_age_{};          ///< time since the configuration was confirmed, when the request arrived
    std::optional<request_digest> digest_;
    std::vector<part_digest> shared_parts_; ///< distinct parts of the prompt but the last
    int confidence_ = -1;                   ///< stated confidence of the answer; -1 if none
    int first_event_ms_ = -1;  ///< from the request's arrival to the first forwarded event; -1 if none
    int longest_gap_ms_ = -1;  ///< longest pause between forwarded events; -1 if fewer than two
    time_point last_event_at_; ///< when an event was last forwarded
    int demotion_ = 0;         ///< steps by which the request is less urgent than its priority says
    bool is_ahead_ = false;    ///< counts in \ref service_pressure::ahead
    int attempts_ = 0;
    int unreachable_endpoints_ = 0; ///< attempts that could not connect or reached another instance
    bool has_started_ = false;      ///< \ref begin has been called
    bool is_first_attempt_ = true;  ///< no attempt has been placed yet
    int forwards_ = 0;              ///< times that the request was forwarded to another host
    bool may_have_run_ = false;
    bool has_begun_answer_ = false;
    bool is_passed_on_ = false;     ///< the answer, which is no stream, is passed on as it arrives
    bool passes_in_chunks_ = false; ///< the answer is passed on in chunks, as its length is not known
    bool is_clearing_ = false;      ///< an answer of this request is clearing what it was suspected of
    bool is_caller_gone_ = false;
    bool has_excess_bytes_ = false; ///< bytes arrived that are not part of this request's answer
};

} // namespace laurelhoist
