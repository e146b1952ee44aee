/** \file
 * Defines an entry host: the relay of requests, and everything that configures it. An entry host keeps copies
 * of the store's objects, gossips with the other hosts, carries out roll-outs, tells callers which hosts to
 * use, and stops without interrupting a request.
 */
#pragma once

#include "host/memory_watch.h"
#include "host/peer_messages.h"
#include "relay/relay.h"
#include "store/store.h"
#include "transport/transport.h"

namespace laurelhoist {

/// How long one watch call waits for a change, by kind of object. The value for the configuration, which is
/// shorter on a large fleet, bounds the age of the confirmation that API keys are valid; the other values
/// only determine the number of calls.
constexpr duration config_wait = milliseconds(2000);
constexpr duration endpoint_wait = milliseconds(8000);
constexpr duration rollout_wait = milliseconds(8000);
/// Well below the 20 s for which the store keeps its history.
constexpr duration evacuation_wait = milliseconds(15000);
/// Delay between a change and the next watch call, so that several changes arrive in one call. Batched
/// changes are in force well within the 2 s that a change or a leaving endpoint may take.
constexpr duration config_batch_delay = milliseconds(200);
constexpr duration endpoint_batch_delay = milliseconds(250);
constexpr duration rollout_batch_delay = milliseconds(300);

/** Decodes objects of the store, and encodes what is written there. */
class object_codec {
public:
    object_codec() = default;
    object_codec(const object_codec&) = delete;
    object_codec& operator=(const object_codec&) = delete;
    virtual ~object_codec() = default;

    virtual std::string config_kind() const = 0;
    virtual std::string config_name() const = 0;
    virtual std::string endpoint_kind() const = 0;
    virtual std::string rollout_kind() const = 0;
    virtual std::string evacuation_kind() const = 0;
    virtual outcome<traffic_config> config(const stored_object& object) const = 0;
    virtual outcome<endpoint_record> endpoint(const stored_object& object) const = 0;
    virtual outcome<rollout_order> rollout(const stored_object& object) const = 0;
    /** \return the failure domain to evacuate. */
    virtual outcome<std::string> evacuation(const stored_object& object) const = 0;
    virtual json rollout_status(const rollout_order& order, rollout_state state) const = 0;
};

struct entry_host_settings {
    std::string name;
    std::string failure_domain;
    socket_address callers; ///< address on which callers' requests are accepted
    socket_address peers;   ///< address for datagrams and copies of the store between entry hosts
    /// Address on which requests are accepted that other hosts forward; the port is the same on all hosts.
    socket_address forwarding;
    std::vector<std::string> seeds; ///< addresses of some peers to contact first
    duration revoke_bound = seconds(5);
    duration stop_grace = seconds(8);
    int capacity = 0;               ///< \ref host_status::capacity
    std::uint64_t memory_bytes = 0; ///< memory that the platform allows this process; 0: unknown
    std::size_t caller_buffer_bytes = relay_settings{}.caller_buffer_bytes;
    std::size_t request_buffer_bytes = relay_settings{}.request_buffer_bytes;
    std::size_t answer_buffer_bytes = relay_settings{}.answer_buffer_bytes;
    std::size_t max_answer_bytes = relay_settings{}.max_answer_bytes;
    std::size_t receive_buffer_bytes = relay_settings{}.receive_buffer_bytes;
    cascade_settings cascade;
    rollout_settings rollouts;
    mechanisms in_use;
    bool evacuations_enabled = false; ///< operators of this deployment may order evacuations
    cold_bound cold;
    repeat_bound repeats;
    std::string cold_sharing = "sponsors"; ///< \see cold_sharing_names
    descriptor_shares connections;         ///< accepted connections that are open at once
};

/** The charts that an entry host interprets. */
struct entry_host_charts {
    chart endpoint;
    chart relay;
    chart watch;
};

class entry_host {
public:
    entry_host(event_loop& loop, object_store& store, const object_codec& codec, const wire_dialect& dialect,
               const entry_host_charts& charts, const entry_host_settings& settings);
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    void start();
    /** Begins the planned stop. When it is complete, \ref event_loop::stop is called. */
    void begin_stop();
    void set_seeds(const std::vector<std::string>& seeds);

    bool is_ready() const;
    /** \return the limits of the servers of this host's own pages, whose requests count with those of
     * callers. */
    http_limits page_limits() const;
    /** \return the addresses that a caller in \p domain may use. */
    std::vector<std::string> entries_for_caller(const std::string& domain) const;
    std::string metrics_text();
    /** \return what operators see of the load, as of \ref load_summary::report. */
    json report_load(const load_filter& filter) const { return relay_.report_load(filter); }
    /** \return the requests and parts of prompts that are quarantined because endpoints crashed under them.
     */
    std::vector<quarantined_cause> quarantined() const;
    /** Lifts the quarantine of a request or a part of prompts on all hosts, by an operator's order. */
    void lift_quarantine(const crash_cause& cause) { relay_.lift_quarantine(cause); }
    metrics& measured() { return relay_.state().measured; }

private:
    /** \return whether callers and other hosts can reach this one at all of its addresses. */
    bool is_listening() const;
    /// An endpoint as it was last decoded, so that a change of one endpoint does not decode the whole list.
    struct decoded_endpoint {
        std::int64_t revision = 0;
        std::optional<endpoint_record> record; ///< nothing: cannot be decoded
    };
    void note_reachability(bool is_lost);
    void on_store_reachability(bool is_lost);
    /** Tells the other watches the revision that the watch of the configuration was told. */
    void check_other_watches();
    void on_history_gone();
    void on_config(const objects_by_name& objects);
    bool apply_config(const stored_object& object);
    void on_endpoints(const objects_by_name& objects);
    std::vector<endpoint_record> decode_endpoints(const objects_by_name& objects);
    void update_division(const std::vector<endpoint_record>& listed);
    void log_invalid_endpoint(const stored_object& object, const std::string& remedy);
    bool knows_endpoints() const;
    void refresh_endpoints();
    void on_rollouts(const objects_by_name& objects);
    void on_evacuations(const objects_by_name& objects);
    /** \return the watches in use; the configuration's comes first. */
    const std::vector<object_watch*>& watches() const { return watches_; }
    void on_datagram(const std::string& from, const std::string& bytes);
    /** \return the message in \p bytes; nothing if they are none, which is counted and logged. */
    std::optional<peer_message> read_message(const std::string& from, const std::string& bytes);
    void handle(const std::string& from, const gossip_message& message);
    void handle(const std::string& from, const freshness_question& question);
    void handle(const std::string& from, const freshness_answer& answer);
    void handle(const std::string& from, const load_update& message);
    void handle(const std::string& from, const session_update& message);
    void send_session_update(time_point now);
    void send_introduction(const std::string& newcomer, time_point now);
    void send_missing_statuses(const std::string& recipient_address, const std::string& recipient,
                               const std::vector<host_heartbeat>& beats, time_point now);
    std::vector<load_entry> take_load_changes(std::size_t recipients);
    void on_load_changed();
    void on_refused(const std::string& endpoint);
    void schedule_refusal_update(duration delay);
    void send_refusal_update();
    /** Forgets the refusals that show only that this host has lost its links; delays those that may.
     * \return whether some are delayed */
    bool drop_refusals_of_lost_links();
    bool is_reached_by_others(const std::string& endpoint) const;
    void handle(const std::string& from, const refusal_update& message);
    void merge_refusals(const std::vector<refused_endpoint>& refused);
    std::vector<refused_endpoint> known_refusals(time_point now);
    void assign_sponsored_endpoints(time_point now);
    std::vector<host_status> hosts_known_to_all(time_point now) const;
    void assign_trials(time_point now);
    void schedule_crash_updates();
    void send_crash_updates();
    void handle(const std::string& from, const crash_update& message);
    void schedule_limit_updates();
    void send_limit_updates();
    void handle(const std::string& from, const limit_update& message);
    /** Tells all hosts which pools this host has lost. */
    void announce_lost_pools();
    void update_forwarding_peers();
    void handle(const std::string& from, const status_update& message);
    void send_load_update();
    void gossip_round();
    gossip_message make_gossip_message(time_point now, gossip_scope scope = gossip_scope::all);
    void send_to_all(const peer_message& message);
    bool is_in_own_domain(const host_status& host) const;
    void send_to_own_domain(const std::string& bytes, time_point now);
    void handle(const std::string& from, const forwarded_message& message);
    void handle(const std::string& from, const copy_notice& notice);
    void check_freshness();
    void check_memory(time_point now);
    void note_view_growth(time_point now);
    void update_reading_mode();
    /** \param is_first_reader whether this host is one of the first readers in the reader order */
    void set_reading_mode(reading_mode mode, bool is_first_reader, time_point now);
    /** Tells the hosts that would read in place of this one whether it has lost the store. */
    void announce_store_loss(bool has_lost_store, time_point now);
    reading_inputs current_reading_inputs(time_point now) const;
    bool reads_everything() const { return reading_ == reading_mode::all; }
    bool is_large_fleet(time_point now) const { return gossip_.is_large_fleet(now); }
    copy_notice own_copies() const;
    /// Recipients of a copy notice: those of \ref change_notice_targets after a change, and random peers in a
    /// gossip round.
    enum class notice_scope { change, round };
    /** \param holding of the kind of object that has changed: only the list of endpoints may be divided */
    void send_copy_notice(notice_scope scope, list_holding holding = list_holding::whole);
    void send_to_others(const std::vector<host_status>& peers, const std::string& bytes);
    void handle(const std::string& from, const count_update& message);
    void send_counts_when_due(time_point now);
    void send_counts_while_settling(time_point now);
    void send_counts(const std::vector<release_counts>& counts, time_point now);
    void send_new_decisions(time_point now);
    void update_deciding_role(time_point now);
    /// The copy of one kind of object that was last encoded for peers.
    struct encoded_copy {
        std::int64_t since = 0; ///< revision that the requesting host held
        std::int64_t last_changed_revision =
            0; ///< \ref object_watch::last_changed_revision when it was encoded
        std::string bytes;
    };
    const std::string& copy_since(const object_watch& watch, const std::string& kind, std::int64_t since);
    std::string part_for(const http_request& request, std::int64_t since) const;
    void serve_copy(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void fetch_copy(const std::string& peer, object_watch& watch, const std::string& kind,
                    object_watch::copy_extent extent = object_watch::copy_extent::whole);
    void fetch_endpoints(const std::string& notifier, const copy_notice& notice);
    bool holds_whole_list(const std::string& address) const;
    void note_config_revision(std::int64_t revision);
    bool take_copy(object_watch& watch, const std::string& kind, const std::string& bytes);
    void advance_rollouts();
    std::size_t reporter_position(time_point now) const;
    void report(const rollout_report& due);
    void write_report(const rollout_order& order, rollout_state state,
                      std::function<void(const store_result<stored_object>&)> done);
    void hand_over_report(const rollout_report& due);
    void handle(const std::string& from, const report_handover& handover);
    void advance_stop();

    event_loop& loop_;
    object_store& store_;
    const object_codec& codec_;
    entry_host_settings settings_;
    rollout_tracker rollouts_;
    relay relay_;
    host_gossip gossip_;
    endpoint_roster roster_;
    endpoint_division division_;          ///< of the list of endpoints
    std::size_t hosts_at_growth_ = 0;     ///< live hosts when their number last grew significantly
    time_point view_grew_at_;             ///< when that was
    time_point list_fetched_at_;          ///< when a copy of the list of endpoints was last requested
    std::int64_t departure_revision_ = 0; ///< \ref copy_notice::departure_revision
    bool is_list_holder_ = false;         ///< \ref is_whole_list_holder, renewed with the reading mode
    std::size_t failed_holders_ = 0;      ///< consecutive failures to fetch from a holder
    endpoints_by_release fleet_releases_; ///< live endpoints of the whole list
    std::map<std::string, decoded_endpoint> decoded_endpoints_; ///< by name
    object_watch config_watch_;
    object_watch endpoint_watch_;
    object_watch rollout_watch_;
    last_readable<rollout_order> rollout_orders_;
    object_watch evacuation_watch_;
    std::vector<object_watch*> watches_;
    evacuation_set evacuated_;
    datagram_socket datagrams_;
    line_limiter unreadable_lines_; ///< anybody may send what is no message of a host
    std::unique_ptr<http_server> peer_server_;
    http_client peer_client_;
    memory_watch memory_;
    time_point memory_checked_at_;
    std::int64_t config_revision_ = 0; ///< revision of the configuration in force
    time_point config_since_;          ///< when the configuration in force took effect here
    bool is_config_readable_ = false;  ///< whether the newest configuration could be decoded
    std::map<std::int64_t, time_point>
        open_questions_; ///< when each \ref freshness_question was sent, by nonce
    std::int64_t last_nonce_ = 0;
    time_point introductions_since_;            ///< start of the current \c introduction_window
    std::size_t introductions_ = 0;             ///< newcomers that have asked for an introduction in it
    std::uint64_t rounds_ = 0;                  ///< gossip rounds so far
    std::optional<time_point> history_gone_at_; ///< when the store last reported that its history is gone
    bool has_ended_requests_ = false;           ///< at the end of the planned stop
    bool is_load_update_scheduled_ = false;
    bool is_crash_update_scheduled_ = false;
    bool is_limit_update_scheduled_ = false;
    bool has_delayed_refusals_ = false;
    std::set<std::string> unsent_refusals_; ///< endpoints whose refusal is not sent yet
    load_announcer load_announcer_;
    std::optional<time_point>
        store_lost_since_; ///< since when calls of the configuration's watch have failed
    std::map<std::string, encoded_copy> encoded_copies_; ///< by kind of object
    std::set<std::string> fetches_in_flight_;            ///< kinds of object of which a copy is being fetched
    time_point started_at_;
    std::int64_t newest_known_config_ = 0;   ///< highest revision named by a peer or the store
    std::optional<time_point> behind_since_; ///< since when a newer configuration is known than is held
    reading_mode reading_ = reading_mode::listening;
    time_point reading_since_;
    std::vector<release_counts> last_sent_counts_;    ///< content of the last count update
    std::optional<time_point> hears_all_since_;       ///< since when all hosts send their counts to this one
    std::vector<rollout_gossip> last_sent_decisions_; ///< last sent to all hosts, with ages set to 0
    std::optional<time_point>
        store_confirmed_at_; ///< when the store last confirmed the configuration to this host
    std::map<std::string, time_point>
        due_since_; ///< when reports that are not confirmed yet became due, by service and state
    std::set<std::string> reports_in_flight_; ///< services for which a report is being written
    std::set<std::int64_t> handed_over_;      ///< revisions of orders whose report was handed over
    std::map<std::string, std::int64_t>
        logged_invalid_endpoints_; ///< revision last logged as invalid, by endpoint name
};

} // namespace laurelhoist
