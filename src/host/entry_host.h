/** \file
 * Defines an entry host: the relay with everything that tells it what to do. It keeps copies of what the
 * store holds, gossips with the other hosts, carries out roll-outs, answers which hosts callers should use,
 * and stops without cutting a request.
 */
#pragma once

#include "host/peer_messages.h"
#include "relay/relay.h"
#include "store/store.h"
#include "transport/transport.h"

namespace laurelhoist {

/// What a reader, or a host of a small fleet, reads: one call waits so long for news. The configuration's
/// bounds how old the proof is that keys are in force; the others only cost calls.
constexpr duration config_wait = milliseconds(2000);
constexpr duration endpoint_wait = milliseconds(8000);
constexpr duration rollout_wait = milliseconds(8000);
/// Well under the time for which the store keeps its history, 20 s.
constexpr duration evacuation_wait = milliseconds(15000);
/// After news, before the next call. What is gathered is in force well within the 2 s that a change or a
/// leaving endpoint may take.
constexpr duration config_gathering = milliseconds(200);
constexpr duration endpoint_gathering = milliseconds(250);
constexpr duration rollout_gathering = milliseconds(300);

/** Decodes what the store holds, and encodes what is written there. */
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
    /** \return the failure domain to evacuate */
    virtual outcome<std::string> evacuation(const stored_object& object) const = 0;
    virtual json rollout_status(const rollout_order& order, rollout_state state) const = 0;
};

struct entry_host_settings {
    std::string name;
    std::string failure_domain;
    socket_address callers;         ///< where requests are taken
    socket_address peers;           ///< datagrams and the configuration, between entry hosts
    std::vector<std::string> seeds; ///< peers' addresses to begin with
    duration revoke_bound = seconds(5);
    duration stop_grace = seconds(8);
    cascade_settings cascade;
    rollout_settings rollouts;
    mechanisms in_use;
    bool hears_evacuations = false; ///< operators of this deployment may order some
    cold_bound cold;
    std::string cold_sharing = "sponsors"; ///< \see cold_sharing_names
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
    /** Begins the planned stop; \ref event_loop::stop is called when it is over. */
    void begin_stop();
    void set_seeds(const std::vector<std::string>& seeds);

    bool is_ready() const;
    /** \return the addresses that a caller in \p domain may use. */
    std::vector<std::string> entries_for_caller(const std::string& domain) const;
    std::string metrics_text();
    /** \return the requests that are not sent because endpoints ended under them. */
    std::vector<quarantined_request> quarantined() const;
    /** An operator trusts the request again, at all hosts. */
    void lift_quarantine(request_digest digest) { relay_.lift_quarantine(digest); }
    metrics& measured() { return relay_.state().measured; }

private:
    void note_reachability(bool is_lost);
    void on_store_reachability(bool is_lost);
    void on_history_gone();
    void on_config(const objects_by_name& objects);
    bool apply_config(const stored_object& object);
    void on_endpoints(const objects_by_name& objects);
    void note_refused_endpoint(const stored_object& object, const std::string& remedy);
    bool knows_endpoints() const;
    void refresh_endpoints();
    void on_rollouts(const objects_by_name& objects);
    void on_evacuations(const objects_by_name& objects);
    /** The watches in use, that of the configuration first. */
    const std::vector<object_watch*>& watches() const { return watches_; }
    void on_datagram(const std::string& from, const std::string& bytes);
    void take(const std::string& from, const peer_news& news);
    void take(const std::string& from, const freshness_question& question);
    void take(const std::string& from, const freshness_answer& answer);
    void take(const std::string& from, const load_news& news);
    void take(const std::string& from, const session_news& news);
    void tell_sessions(time_point now);
    void introduce(const std::string& newcomer, time_point now);
    void answer_with_missing(const std::string& reader_address, const std::string& reader,
                             const std::vector<host_beat>& beats, time_point now);
    std::vector<load_entry> own_load() const;
    std::vector<load_entry> take_load_changes();
    void on_load_changed();
    void on_refused(const std::string& endpoint);
    void tell_refusals();
    void take(const std::string& from, const refusal_news& news);
    void take_refusals(const std::vector<refused_endpoint>& refused);
    std::vector<refused_endpoint> known_refusals(time_point now) const;
    void assign_sponsored_endpoints(time_point now);
    void assign_trials(time_point now);
    void on_crash_news();
    void tell_crashes();
    void take(const std::string& from, const crash_news& news);
    void on_limit_news();
    void tell_limits();
    void take(const std::string& from, const limit_news& news);
    void tell_load();
    void gossip_round();
    peer_news make_news(time_point now);
    void take(const std::string& from, const copy_notice& notice);
    void check_freshness();
    void share_reading();
    reading_view view_of_reading(time_point now) const;
    bool reads_everything() const { return reading_ == reading_mode::all; }
    bool is_large_fleet(time_point now) const { return gossip_.is_large_fleet(now); }
    enum class notice_scope { change, round };
    void tell_copies(notice_scope scope);
    void send_to_others(const std::vector<host_status>& peers, const std::string& bytes);
    void take(const std::string& from, const count_news& news);
    void tell_counts(time_point now);
    void tell_counts_of_settling(time_point now);
    void send_counts(const std::vector<release_counts>& counts, time_point now);
    void tell_decisions(time_point now);
    void note_who_decides(time_point now);
    /// What was last served of one kind of object.
    struct encoded_copy {
        std::int64_t since = 0;      ///< revision that the asker held
        std::int64_t last_changed_revision = 0; ///< \ref object_watch::last_changed_revision
        std::string bytes;
    };
    const std::string& copy_since(const object_watch& watch, const std::string& kind, std::int64_t since);
    void serve_copy(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void fetch_copy(const std::string& peer, object_watch& watch, const std::string& kind);
    void note_config_heard(std::int64_t revision);
    void take_copy(object_watch& watch, const std::string& kind, const json& copy);
    void advance_rollouts();
    std::size_t place_among_reporters(time_point now) const;
    void report(const rollout_report& due);
    void write_report(const rollout_order& order, rollout_state state,
                      std::function<void(const store_result<stored_object>&)> done);
    void hand_over(const rollout_report& due);
    void take(const std::string& from, const report_handover& errand);
    void advance_stop();

    event_loop& loop_;
    object_store& store_;
    const object_codec& codec_;
    entry_host_settings settings_;
    rollout_tracker rollouts_;
    relay relay_;
    host_gossip gossip_;
    endpoint_roster roster_;
    object_watch config_watch_;
    object_watch endpoint_watch_;
    object_watch rollout_watch_;
    object_watch evacuation_watch_;
    std::vector<object_watch*> watches_;
    evacuation_set evacuated_;
    datagram_socket datagrams_;
    std::unique_ptr<http_server> peer_server_;
    http_client peer_client_;
    std::int64_t config_revision_ = 0;             ///< of the configuration in force
    time_point config_since_;                      ///< when that was put in force here
    bool is_config_readable_ = false;              ///< the newest one could be decoded
    std::map<std::int64_t, time_point> questions_; ///< asked of peers, by nonce
    std::int64_t last_nonce_ = 0;
    std::uint64_t rounds_ = 0;                  ///< of gossip
    std::optional<time_point> history_gone_at_; ///< when the store last dropped its history
    bool is_load_to_tell_ = false;
    bool are_crashes_to_tell_ = false;
    bool are_limits_to_tell_ = false;
    std::set<std::string> refusals_to_tell_;             ///< endpoints
    std::map<std::string, load_entry> told_load_;        ///< what the last load news said, by endpoint
    bool is_store_lost_ = false;                         ///< the configuration's watch fails
    std::map<std::string, encoded_copy> encoded_copies_; ///< by kind
    std::set<std::string> fetching_;                     ///< kinds of which a peer's copy is on its way
    time_point started_at_;
    std::int64_t newest_config_heard_ = 0;   ///< revision; of peers or of the store
    std::optional<time_point> behind_since_; ///< a newer configuration was heard of than is held
    reading_mode reading_ = reading_mode::listening;
    time_point reading_since_;
    std::vector<release_counts> told_counts_;   ///< what the last count news said
    std::optional<time_point> hears_all_since_; ///< since when the counts of all hosts come here
    std::vector<rollout_news> told_decisions_;  ///< what all hosts were told last, but for ages
    std::optional<time_point> heard_store_at_;  ///< when the store last confirmed the configuration here
    std::map<std::string, time_point>
        due_since_;                      ///< reports not yet shown by the store, by service and state
    std::set<std::string> writing_;      ///< services with a write under way
    std::set<std::int64_t> handed_over_; ///< revisions of orders; one goes over once
    std::map<std::string, std::int64_t>
        refused_endpoints_; ///< revision of the entry that was logged, by name
};

} // namespace laurelhoist
