/** \file
 * Defines the steward: everything shared or lasting, as a state machine without I/O. Any steward may do
 * any of it at any time; what keeps that safe are conditional updates of the platform, never a role.
 */
#pragma once

#include "node/config_delta.h"
#include "node/steward_port.h"

#include <functional>

namespace laurelhoist {

/** What a steward is told at its start. */
struct steward_settings {
    std::string name;
    std::string incarnation;
    std::string address; ///< where entries and peers reach it
    std::string domain;
    std::size_t endpoint_subset = 24; ///< endpoints of a pool that one entry uses
};

class steward_core {
public:
    steward_core(steward_settings settings, chart bundle_life, chart host_life, steward_port& port,
                 metrics& numbers, std::uint64_t seed, disabled_guards disabled = {});

    void on_tick(time_point now);
    void on_platform_reply(const platform_reply& reply, time_point now);

    void on_entry_up(const hello_message& hello, time_point now);
    void on_entry_down(const std::string& incarnation, time_point now);
    void on_entry_message(const std::string& incarnation, const node_message& message, time_point now);

    void on_peer_up(const hello_message& hello, time_point now);
    void on_peer_down(const std::string& incarnation, time_point now);
    void on_peer_message(const std::string& incarnation, const node_message& message, time_point now);

    /** \param reachable false: the engine did not answer */
    void on_engine_status(const std::string& endpoint, bool reachable,
                          const std::vector<version_name>& loaded, time_point now);

    /** Carries out an operator's command; the answer comes through the port.
     * \param document the bundle of a submit */
    void on_command(const std::string& operation, const fleet_command& command,
                    const std::optional<bundle>& document, time_point now);

    void begin_stop(time_point now);
    bool is_stopped() const { return host_state_ == "stopped"; }

    const fleet_view& view() const { return *view_; }
    /** \return the time as of which the configuration is known to be the latest, if it is. */
    std::optional<time_point> confirmed_as_of(time_point now) const;
    /** \return whether this steward counts when a majority is asked. */
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
        std::string sent_signature; ///< of what the last fleet update was made from
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
        std::map<std::string, entry_record> entries; ///< that this peer hears from
        std::int64_t entries_as_of = 0;
    };
    enum class command_phase { store_document, write, read_back, spread };
    struct pending_command {
        std::string operation; ///< empty for a steward's own
        fleet_command command;
        std::optional<bundle> document;
        command_phase phase = command_phase::store_document;
        time_point deadline;
        shared_view next;
        std::int64_t base_version = 0;
        bool is_waiting = false; ///< for the platform
        bool may_have_taken_effect = false;
        time_point retry_at;
    };
    struct claim_work {
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
    void fetch_documents(const fleet_head& head, std::int64_t version);
    void adopt(const shared_view& next, std::int64_t platform_version);

    // Commands (steward_commands.cpp).
    void advance_command();
    void store_document();
    void write_head();
    void on_write_reply(const platform_reply& reply);
    void read_back();
    void on_read_back(const platform_reply& reply);
    void finish_command(const std::optional<error>& failure);
    void check_spread();
    void start_own_command(fleet_command command);
    bool has_own_command(command_kind kind) const;
    outcome<shared_view> view_after(const fleet_head& head) const;
    void fetch_for_command(const fleet_head& head);

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
    void add_entries(peer_link& link, peer_ask& ask);
    static void take_entries(peer_link& link, const peer_ask& ask);
    void keep_steward_list();
    void on_revision_of_peer(const std::string& incarnation, std::int64_t revision);
    void note_leaving(const std::vector<std::string>& names);
    std::vector<std::string> leaving_now() const;

    // Ledger and claims (steward_ledger.cpp).
    void hold_bills(const std::string& from, bool is_entry, const bill_batch& batch);
    void drain_bills();
    void create_claim(const claim_work& work);
    void on_claim_conflict(const claim_work& work, const platform_reply& found);
    void answer_claim(const claim_work& work, const std::string& result, const claim_record& claim);
    void note_finished_claim(const claim_record& claim);
    void write_finished_claims();
    void write_finished_claim(const claim_record& claim);
    void look_up(const std::string& entry, const lookup_request& message);
    void count_teams(const std::string& entry, const std::map<std::string, team_counts>& teams);
    void write_counts();
    void advance_stop();
    void hand_over_bills();

    // Roll-out (steward_rollout.cpp).
    void watch_rollout();
    void apply_brake(const std::vector<version_name>& bad);
    std::vector<version_name> bad_versions(const std::vector<version_assessment>& standings) const;
    std::vector<version_assessment> standings() const;
    std::vector<model_entry> established_models() const;
    void take_step(step_action action);
    bool is_my_turn(duration waited) const;
    void tend_engines();
    bool is_mine(const std::string& endpoint) const;
    std::vector<version_name> wanted_versions(const endpoint_record& endpoint) const;
    std::size_t wanted_count(double share, std::size_t endpoints) const;
    bool is_loaded_for_next_step() const;
    std::vector<std::string> placement_of(const version_name& version) const;
    double next_share() const;

    steward_settings settings_;
    chart bundle_life_;
    chart host_chart_;
    steward_port& port_;
    metrics& numbers_;
    random_source random_;
    disabled_guards disabled_;
    time_point now_;
    std::string host_state_;

    shared_view view_;
    std::int64_t head_version_ = 0; ///< the platform's version of the head object that \c view_ came from
    config_history history_;
    std::map<std::string, bundle> fetched_;
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
    std::int64_t hosts_version_ = 0;     ///< the platform's, of the list last read
    std::int64_t endpoints_version_ = 0; ///< grows when the endpoints differ
    time_point last_fleet_check_;
    std::map<std::string, time_point> leaving_;

    std::deque<pending_command> commands_;
    segment_buffer buffer_;
    bool is_draining_bills_ = false;
    time_point last_drain_;
    std::map<std::string, claim_record> finished_claims_;
    std::set<std::string> claims_in_write_;
    std::set<std::string> voided_attempts_;

    std::map<std::string, std::map<std::string, team_counts>> seen_counts_;
    std::map<std::string, team_counts> minute_counts_;
    std::int64_t minute_ = 0;
    bool is_writing_counts_ = false;

    evidence_pool evidence_;
    bake_timer step_watch_;
    time_point wish_since_;
    std::string wish_;
    std::map<std::string, std::vector<version_name>> loaded_;
    std::map<std::string, std::vector<version_name>> own_loaded_;
    std::map<std::string, time_point> ordered_at_;
    std::map<std::string, time_point> asked_engine_at_;
    time_point last_engines_look_;
    time_point stop_began_;
    bill_outbox hand_over_;
};

} // namespace laurelhoist
