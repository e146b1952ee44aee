/** \file
 * Defines the relay, which accepts callers' requests, decides whether they may run, and handles each in an
 * \ref exchange with endpoints.
 */
#pragma once

#include "admission/admission.h"
#include "base/line_limiter.h"
#include "recovery/recovery.h"
#include "relay/answer_room.h"
#include "relay/answer_work.h"
#include "relay/caller_connection.h"
#include "relay/end_confirmation.h"
#include "relay/endpoint_connection.h"
#include "relay/endpoint_probes.h"
#include "relay/load_report.h"
#include "relay/model_choice.h"
#include "relay/model_load.h"
#include "relay/peer_forwarding.h"
#include "relay/planned_stop.h"
#include "relay/repeat_allowance.h"
#include "relay/wire_dialect.h"
#include "rollout/release_rollout.h"
#include "transport/descriptor_shares.h"
#include "transport/request_room.h"
#include "transport/tcp_listener.h"

#include <functional>
#include <list>
#include <set>
#include <unordered_set>

namespace laurelhoist {

class exchange;

struct relay_settings {
    std::string host;
    std::string failure_domain;
    duration revoke_bound = seconds(5);      ///< how long a withdrawn key may still be accepted
    duration stop_time = milliseconds(7500); ///< from the start of the planned stop to the end of the process
    cascade_settings cascade;
    mechanisms in_use;
    cold_bound cold;
    repeat_bound repeats;
    /// Bytes of answers that the host holds at most for callers that read slowly.
    std::size_t caller_buffer_bytes = std::size_t{16} << 20;
    /// Bytes of requests that the host holds before it refuses requests with bodies; see \ref
    /// relay_state::held_for_requests.
    std::size_t request_buffer_bytes = std::size_t{32} << 20;
    /// Bytes of answers that are no streams, and of events that have not ended, that the host holds at most.
    std::size_t answer_buffer_bytes = std::size_t{24} << 20;
    /// Bytes of one of them at most, also while the host holds no other.
    std::size_t max_answer_bytes = std::size_t{20} << 20;
    /// Memory of the system for bytes that have arrived and have not been read: of callers and forwarding
    /// hosts, and as much again of endpoints. See \ref receive_share.
    std::size_t receive_buffer_bytes = std::size_t{64} << 20;
    std::string cold_sharing = "sponsors"; ///< \see cold_sharing_names
    descriptor_shares connections;         ///< accepted connections that are open at once
};

/** The state shared by all exchanges of a relay. */
struct relay_state {
    relay_state(event_loop& event_loop_in, const wire_dialect& wire, rollout_tracker& tracker,
                chart endpoint_chart, chart request_chart_in, const relay_settings& relay_settings_in)
        : loop{event_loop_in},
          dialect{wire},
          releases{tracker},
          settings{relay_settings_in},
          request_chart{std::move(request_chart_in)},
          endpoints{std::move(endpoint_chart), placement_hash(relay_settings_in.host),
                    relay_settings_in.failure_domain, relay_settings_in.in_use,
                    send_allowance{relay_settings_in.host,
                                   cold_endpoints{relay_settings_in.host, relay_settings_in.cold,
                                                  relay_settings_in.cold_sharing}}},
          pool{event_loop_in.context(), relay_settings_in.receive_buffer_bytes},
          peers{relay_settings_in.host, relay_settings_in.failure_domain,
                placement_hash(relay_settings_in.host)},
          quarantine{relay_settings_in.host, relay_settings_in.in_use.weighs_joint_ends},
          freshness{relay_settings_in.revoke_bound, freshness_margin},
          first_events{relay_settings_in.in_use.learns_reading_time} {}

    /// Part of the revocation bound that is reserved for the delay of the caller's link and for differences
    /// between clock rates.
    static constexpr duration freshness_margin = milliseconds(300);

    event_loop& loop;
    const wire_dialect& dialect;
    rollout_tracker& releases;
    relay_settings settings;
    chart request_chart; ///< charts/relay.scxml
    endpoint_directory endpoints;
    connection_pool pool;
    peer_forwarding peers;
    crash_quarantine quarantine;
    config_freshness freshness;
    first_event_estimate first_events;
    admission_state admission;
    std::map<std::string, repeat_allowance> repeats;        ///< by service
    std::map<std::string, model_load> model_loads;          ///< by service
    std::map<std::string, waiting_room> waiting;            ///< by service: requests that no endpoint takes
    std::map<std::string, answer_times> route_answer_times; ///< by route, those with recent answers
    /// The weight of a team among those that wait; unset: all weigh the same.
    waiting_room::weight_function team_weight;
    std::size_t hosts = 1; ///< live hosts, this one included
    load_summary load;
    byte_account answer_bytes;         ///< answers of endpoints that have not been forwarded yet
    byte_account answer_framing_bytes; ///< what is held of unfinished answers and is no body
    byte_account caller_bytes;         ///< answers, or parts of them, that callers have not read
    byte_account request_bytes;        ///< requests that are being received or in progress, at all ports

    answer_work_budget answer_work; ///< of the present tick

    std::size_t passed_on = 0; ///< answers that are no streams and are passed on as they arrive
    /// By route: bytes of its last answer that was no stream, for routes with long ones.
    std::map<std::string, std::size_t> long_answers;

    /** \return what is held of answers, for one of which \p own_bytes are held. */
    answer_holdings held_for_answers(std::size_t own_bytes) const {
        return {settings.answer_buffer_bytes, answer_bytes.held(), own_bytes, caller_bytes.held(),
                settings.caller_buffer_bytes};
    }
    /** \return the bytes of requests that this host holds: as they were received, and what endpoints have not
     * read yet. */
    std::size_t held_for_requests() const { return request_bytes.held() + pool.unsent_bytes(); }
    request_buffer requests_held() const { return {held_for_requests(), settings.request_buffer_bytes}; }

    repeat_allowance& repeats_of(const std::string& service) {
        repeat_allowance& found =
            repeats.try_emplace(service, settings.repeats, settings.in_use, monotonic_now()).first->second;
        found.set_hosts(hosts);
        return found;
    }
    metrics measured;
    bool are_endpoints_known = false;      ///< the endpoints have been listed, even if the list was empty
    routing_snapshot routing;              ///< the configuration in force; null until one has been read
    std::function<void()> on_load_changed; ///< called when a long prompt changes this host's load
    /// Called when an endpoint is first found to refuse connections.
    std::function<void(const std::string& endpoint)> on_connection_refused;
    /// Called when an answer changes the known rate limit of an endpoint.
    std::function<void()> on_limits_changed;
    /// Called when the endpoints of a pool are lost to this host, or reached again.
    std::function<void()> on_links_changed;
    /// Called when \ref quarantine has changed and other hosts may need to know.
    std::function<void()> on_crash_notices_changed;
    bool is_stopping = false;
    time_point stopping_since;

    /** \return how long the process still serves, while \ref is_stopping. */
    duration time_until_stop(time_point now) const { return stopping_since + settings.stop_time - now; }
    /** \return whether the configuration and the endpoints are known, so that requests can be placed. */
    bool can_route() const { return routing != nullptr && are_endpoints_known; }
};

/** Accepts callers and owns their exchanges. */
class relay {
public:
    relay(event_loop& loop, const wire_dialect& dialect, rollout_tracker& releases, chart endpoint_chart,
          chart request_chart, const relay_settings& settings);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /** Starts to accept callers at \p address, as soon as it can listen there (\ref address_opener). Port 0
     * stands for any free port. */
    void listen(const socket_address& address);
    /** Starts to accept requests that other hosts forward at \p address, as soon as it can listen there. */
    void listen_for_peers(const socket_address& address);
    /** \return whether callers and requests of other hosts are accepted. */
    bool is_listening() const;
    /** \return the port at which callers are accepted, after \ref listen; 0 while it cannot listen. */
    std::uint16_t listening_port() const;
    /** \return the port at which forwarded requests are accepted, after \ref listen_for_peers; 0 while it
     * cannot listen. */
    std::uint16_t peer_port() const;
    /** Puts a configuration in force for all requests that arrive from now on. */
    void set_routing(routing_snapshot routing, std::size_t hosts);
    /** Sets the number of live hosts, among which bounds that hold for all of them are divided. */
    void set_hosts(std::size_t hosts) { state_.hosts = std::max<std::size_t>(1, hosts); }
    void set_endpoints(const std::vector<endpoint_record>& endpoints);
    /** Merges another host's notices about what endpoints ended under. */
    void merge_crash_notices(const std::vector<crash_notice>& notices);
    /** Records that \p endpoint refused a connection of another host \p age ago. */
    void merge_refusal(const std::string& endpoint, duration age);
    /** Merges another host's notices about the rate limits of endpoints. */
    void merge_limit_notices(const std::vector<limit_notice>& notices);
    /** Places waiting requests of \p service once the present work of the loop is done, because an endpoint
     * may have room now. */
    void wake_waiting(const std::string& service);
    /** The same for all services. */
    void wake_all_waiting();
    /** Merges what another host has measured of the pace of endpoints. */
    void merge_pace_notices(const std::string& sender, const std::vector<pace_notice>& notices);
    /** Erases the pace of endpoints without recent evidence; to be called in each gossip round. */
    void end_old_paces();
    /** Clears a request or a part of prompts, by order of an operator. */
    void lift_quarantine(const crash_cause& cause);
    relay_state& state() { return state_; }
    const relay_state& state() const { return state_; }

    /** Begins the planned stop: answers announce that the connection closes; requests continue that can be
     * answered in time, and the others that wait are refused. */
    void begin_stop();
    /** Closes idle callers' connections. \return whether no request and no connection is left */
    bool close_idle();
    std::size_t active() const { return active_.size(); }
    /** Answers the requests whose answers have not begun, because the process ends. */
    void end_requests();
    /** \return the bytes of answers that wait for their callers to read. */
    std::size_t unsent_bytes() const;
    /** \return the bytes that callers and endpoints have sent and this host has not read. Costs a system call
     * for each connection. */
    std::size_t unread_bytes() const;
    /** \return what operators see of the load, as of \ref load_summary::report. */
    json report_load(const load_filter& filter) const;
    /** \return the unsent bytes of one caller from which on no more of its answer is read: an even share of
     * the host's buffer. */
    std::size_t max_unsent_bytes_per_caller() const;

private:
    friend class exchange;
    std::unique_ptr<tcp_listener> accept_at(const listen_target& target, request_source source);
    /** \return whether one more connection of \p source may be open; idle ones are closed for it. */
    bool make_room(request_source source);
    /** Closes at most \p count connections of \p source, those that have been idle longest. */
    void close_longest_idle(request_source source, std::size_t count);
    void on_accepted(boost::asio::ip::tcp::socket socket, request_source source);
    void on_caller_closed(const std::shared_ptr<caller_connection>& caller);
    void on_request(const std::shared_ptr<caller_connection>& caller, caller_request request);
    void end_after_exception(exchange& of, const std::string& what);
    /** Calls \p work, which belongs to \p of; an exception ends that request only. */
    template <class Work>
    void run_guarded(exchange& of, const Work& work);
    /** Calls \p visit with each exchange that is still in progress when its turn comes. */
    template <class Visit>
    void for_each_active(const Visit& visit);
    void start_ticking();
    void on_tick();
    void sweep();
    void forget_old_answer_times(time_point now);
    void set_slots(std::size_t hosts);
    void set_cold_services();
    void report_connection_refused(const std::string& endpoint);
    /** Records whether a new connection to \p endpoint was made, for \ref endpoint_reach. */
    void record_link(const std::string& endpoint, bool is_reachable);
    /** Records that \p endpoint broke off or was silent before its answer. */
    void suspect_link(const std::string& endpoint);
    /** Decides which pools are lost to this host, and begins the probes that are due. */
    void check_links(time_point now);
    void on_links_changed(const reach_change& change);
    /** Ends the attempts that wait for unreachable endpoints of \p service, so that they are forwarded. */
    void move_off(const std::string& service);
    void begin_probes(time_point now);
    /** \return whether this process was paused just now, so that elapsed time shows nothing about others. */
    bool was_paused() const { return was_paused_; }
    /** Logs that the answer to \p request has caused \p work units of work and is read more slowly. */
    void report_deferred(const std::string& request, const std::string& endpoint, std::size_t work);
    /** Logs endpoints that have become slow or are no longer. */
    void report_paces(const std::vector<pace_change>& changes);
    /** Records what \p endpoint stated about itself in its answer to \p request. */
    void record_statement(const endpoint_record& endpoint, const endpoint_statement& statement,
                          time_point sent_at, const std::string& request);
    void on_endpoint_ended(const std::vector<suspected_end>& suspects);
    /** \return for the log, how many ends count against each of \p parts. */
    json ends_by_part(const std::vector<part_digest>& parts) const;
    void clear_suspicion(request_digest digest);
    void clear_parts(const std::vector<part_digest>& parts);
    void on_quarantine_changed();
    /** Counts the ends that the quarantine found not to count because of what ended with them. */
    void count_ends_not_counted();
    void on_restarted(const endpoint_record& endpoint);
    /** Places the waiting requests of \p service in order until none has an endpoint, over several turns of
     * the loop if many do not suit the endpoints with room. */
    void serve_waiting(const std::string& service);
    /** Places waiting requests in order, except \p passed_over, to which it adds those that no endpoint with
     * room suits.
     * \return whether there is room and there may be requests that were not tried */
    bool place_waiting(const std::string& service, std::set<std::string>& passed_over);
    void serve_woken();
    /** \return whether an endpoint of \p service takes a request of any kind now. */
    bool has_room(const std::string& service);

    relay_state state_;
    end_confirmation end_confirmation_;
    endpoint_probes probes_;
    caller_connection::handlers caller_events_;
    line_limiter not_reading_lines_; ///< about callers that do not read
    line_limiter deferred_lines_;    ///< about answers that are read more slowly
    line_limiter no_room_lines_;     ///< about requests that are not read as the host holds too much
    std::unique_ptr<tcp_listener> listener_;
    std::unique_ptr<tcp_listener> peer_listener_;
    std::unordered_set<std::shared_ptr<caller_connection>> callers_;
    std::map<request_source, std::size_t> open_; ///< number of \ref callers_ by what they are
    line_limiter closed_for_room_lines_;
    std::set<std::shared_ptr<exchange>> active_;
    std::unordered_map<std::string, std::weak_ptr<exchange>> waiting_; ///< by their id in the waiting rooms
    std::set<std::string> woken_; ///< services that are served in the next turn of the loop
    /// By service: waiting requests that were tried since the room was last tried from its beginning.
    std::map<std::string, std::set<std::string>> passed_over_;
    std::uint64_t last_waiting_id_ = 0; ///< ids that callers give may repeat
    bool is_ticking_ = false;           ///< the next tick is scheduled
    time_point tick_due_;               ///< when the next tick is scheduled
    bool was_paused_ = false;           ///< the present tick is late
};

template <class Work>
void relay::run_guarded(exchange& of, const Work& work) {
    try {
        work();
    } catch (const std::exception& failure) {
        end_after_exception(of, failure.what());
    }
}

// Iterates over a copy, because \p visit may end this exchange or another one.
template <class Visit>
void relay::for_each_active(const Visit& visit) {
    const std::vector<std::shared_ptr<exchange>> active(active_.begin(), active_.end());
    for (const auto& each : active) {
        if (active_.count(each) > 0) {
            run_guarded(*each, [&] { visit(*each); });
        }
    }
}

} // namespace laurelhoist
