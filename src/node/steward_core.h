/** \file
 * Defines the steward, which manages all shared or persistent state, as a state machine without I/O. Stewards
 * have no leader: any of them may do any of the work at any time, and conditional updates of the platform
 * keep that safe.
 */
#pragma once

#include "node/config_delta.h"
#include "node/steward_port.h"

#include <functional>

namespace laurelhoist {

/** The settings of a steward, fixed at its start. */
struct steward_settings {
    std::string name;
    std::string incarnation;
    std::string address; ///< address that entries and peers connect to
    std::string domain;
    std::size_t endpoint_subset = 24; ///< number of endpoints of a pool that one entry uses
};

class steward_core {
public:
    steward_core(steward_settings settings, chart bundle_chart, chart host_chart, steward_port& port,
                 metrics& registry, std::uint64_t seed, disabled_guards disabled = {});

    void on_tick(time_point now);
    void on_platform_reply(const platform_reply& reply, time_point now);

    void on_entry_up(const hello_message& hello, time_point now);
    void on_entry_down(const std::string& incarnation, time_point now);
    void on_entry_message(const std::string& incarnation, const node_message& message, time_point now);

    void on_peer_up(const hello_message& hello, time_point now);
    void on_peer_down(const std::string& incarnation, time_point now);
    void on_peer_message(const std::string& incarnation, const node_message& message, time_point now);

    /** \param reachable whether the engine answered */
    void on_engine_status(const std::string& endpoint, bool reachable,
                          const std::vector<version_name>& loaded, time_point now);

    /** Carries out an operator's command; the reply is sent through the port.
     * \param document the bundle of a submit command */
    void on_command(const std::string& operation, const fleet_command& command,
                    const std::optional<bundle>& document, time_point now);

    void begin_stop(time_point now);
    bool is_stopped() const { return host_state_ == "stopped"; }

    const fleet_view& view() const { return *view_; }
    /** \return the latest time as of which the configuration is known to be the latest, if it is known. */
    std::optional<time_point> confirmed_as_of(time_point now) const;
    /** \return whether this steward is on the list whose majority confirms revisions. */
    bool is_listed() const;
    std::vector<entry_record> entries(time_point now) const;
    std::size_t waiting_bills() const { return buffer_.waiting(); }
    const evidence_pool& evidence() const { return evidence_; }
    const std::vector<endpoint_record>& endpoints() const { return endpoints_; }
    const std::map<std::string, std::vector<version_name>>& loaded() const { return loaded_; }

private:
    using reply_handler = std::function<void(const platform_reply&)>;
    struct open_call {
        time_point asked_at;
        reply_handler handler;
    };
    struct entry_link {
        hello_message hello;
        entry_record record;
        std::int64_t pushed_revision = 0;
        time_point pushed_at;
        time_point last_ask;
        fleet_update sent_fleet;
        std::string sent_fingerprint; ///< of the data that the last fleet update was made from
    };
    struct peer_link {
        hello_message hello;
        time_point last_heard;
        std::int64_t revision = 0;
        std::int64_t pushed_revision = 0;
        time_point pushed_at;
        std::map<std::string, counts_by_version> sent_counts;
        std::map<std::string, std::vector<version_name>> sent_loaded;
        std::map<std::string, entry_record> sent_entries;
        int asks_since_full = 0;
        std::map<std::string, entry_record> entries; ///< entries that this peer hears from
        std::int64_t entries_as_of = 0;
    };
    enum class command_phase { store_document, write, read_back, replicate };
    struct pending_command {
        std::string operation; ///< empty for a command of this steward itself
        fleet_command command;
        std::optional<bundle> document;
        command_phase phase = command_phase::store_document;
        time_point deadline;
        shared_view next;
        std::int64_t base_version = 0;
        bool is_awaiting_platform = false; ///< a call of the platform is in progress
        bool may_have_taken_effect = false;
        time_point retry_at;
    };
    struct claim_task {
        std::string entry;
        std::string operation;
        claim_record claim;
        int tries = 0;
    };

    // The platform (steward_platform.cpp).
    void call(platform_request request, reply_handler handler);
    void read_head();
    void watch_head();
    void read_hosts();
    void on_head(const platform_reply& reply, time_point asked_at);
    void adopt_or_fetch(const fleet_head& head, std::int64_t version);
    void adopt(const shared_view& next, std::int64_t platform_version);

    // Commands (steward_commands.cpp).
    void advance_command();
    void store_document();
    void write_head();
    void on_write_reply(const platform_reply& reply);
    void read_back();
    void on_read_back(const platform_reply& reply);
    void finish_command(const std::optional<error>& failure);
    void check_replication();
    void start_own_command(fleet_command command);
    bool has_own_command(command_kind kind) const;
    outcome<shared_view> make_view(const fleet_head& head) const;
    void fetch_missing_bundles(const fleet_head& head);

    // Fleet (steward_fleet.cpp).
    static bool is_alive(const peer_link& link, time_point now);
    void on_entry_ask(const std::string& incarnation, entry_link& link, const entry_ask& ask);
    void on_peer_ask(const std::string& incarnation, const peer_ask& ask);
    void on_peer_config(const std::string& incarnation, const config_update& update);
    void ask_peers();
    void push_config();
    void push_config_to_entry(const std::string& incarnation, entry_link& link);
    void push_config_to_peer(const std::string& incarnation, peer_link& link);
    void push_fleet();
    void push_fleet_to(const std::string& incarnation, entry_link& link, const fleet_update& shared);
    void add_changed_entries(peer_link& link, peer_ask& ask);
    static void apply_peer_entries(peer_link& link, const peer_ask& ask);
    void update_steward_list();
    void on_revision_of_peer(const std::string& incarnation, std::int64_t revision);
    void record_leaving_endpoints(const std::vector<std::string>& names);
    std::vector<std::string> current_leaving_endpoints() const;

    // Ledger and claims (steward_ledger.cpp).
    void hold_bills(const std::string& from, bool is_entry, const bill_batch& batch);
    void drain_bills();
    void create_claim(const claim_task& task);
    void on_claim_conflict(const claim_task& task, const platform_reply& found);
    void answer_claim(const claim_task& task, const std::string& result, const claim_record& claim);
    void record_finished_claim(const claim_record& claim);
    void write_finished_claims();
    void write_finished_claim(const claim_record& claim);
    void look_up_claim(const std::string& entry, const lookup_request& message);
    void add_team_counts(const std::string& entry, const std::map<std::string, team_counts>& teams);
    void write_counts();
    void advance_stop();
    void hand_over_bills();

    // Roll-out (steward_rollout.cpp).
    void advance_rollout();
    void apply_brake(const std::vector<version_name>& bad);
    std::vector<version_name> bad_versions(const std::vector<version_assessment>& assessments) const;
    std::vector<version_assessment> assessments() const;
    std::vector<model_entry> established_models() const;
    void start_rollout_command(step_action action);
    bool is_my_turn(duration waited) const;
    void reconcile_engines();
    bool is_responsible_for(const std::string& endpoint) const;
    std::vector<version_name> wanted_versions(const endpoint_record& endpoint) const;
    std::size_t wanted_count(double share, std::size_t endpoints) const;
    bool is_loaded_for_next_step() const;
    std::vector<std::string> endpoints_to_load(const version_name& version) const;
    double next_share() const;

    steward_settings settings_;
    chart bundle_chart_;
    chart host_chart_;
    steward_port& port_;
    metrics& metrics_;
    random_source random_;
    disabled_guards disabled_;
    time_point now_;
    std::string host_state_;

    shared_view view_;
    std::int64_t head_version_ = 0; ///< platform version of the head in \ref view_; 0: from a peer
    config_history history_;
    std::map<std::string, bundle> fetched_bundles_;
    revision_evidence revisions_;
    std::map<std::string, open_call> calls_;
    bool is_reading_head_ = false;
    bool is_watching_ = false;
    bool is_reading_hosts_ = false;
    time_point last_head_read_;
    time_point last_watch_;
    time_point last_hosts_read_;
    time_point last_peer_ask_;

    std::map<std::string, entry_link> entry_links_;
    std::map<std::string, peer_link> peers_;
    std::vector<endpoint_record> endpoints_;
    std::vector<std::string> hosts_;
    std::int64_t hosts_version_ = 0;     ///< platform version of the host list that was read last
    std::int64_t endpoints_version_ = 0; ///< incremented when the list of endpoints changes
    time_point last_fleet_check_;
    std::map<std::string, time_point> leaving_since_;

    std::deque<pending_command> commands_;
    segment_buffer buffer_;
    bool is_draining_bills_ = false;
    time_point last_drain_;
    std::map<std::string, claim_record> finished_claims_;
    std::set<std::string> claims_being_written_;
    std::set<std::string> voided_attempts_;

    std::map<std::string, std::map<std::string, team_counts>> last_counts_;
    std::map<std::string, team_counts> minute_counts_;
    std::int64_t minute_ = 0;
    bool is_writing_counts_ = false;

    evidence_pool evidence_;
    bake_timer bake_timer_;
    time_point pending_action_since_;
    std::string pending_action_;
    std::map<std::string, std::vector<version_name>> loaded_;     ///< by endpoint, read by any steward
    std::map<std::string, std::vector<version_name>> own_loaded_; ///< by endpoint, read by this steward
    std::map<std::string, time_point> ordered_at_;
    std::map<std::string, time_point> asked_engine_at_;
    time_point last_engine_check_;
    time_point stop_began_;
    bill_outbox hand_over_outbox_;
};

} // namespace laurelhoist
