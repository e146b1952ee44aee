/** \file
 * Defines the world of a simulation run: nodes, network, fakes, callers and operators under one virtual
 * clock. Besides the invariants in the program it checks properties that need a view of all nodes.
 */
#pragma once

#include "simulation/fake_endpoint.h"
#include "simulation/fake_platform.h"
#include "simulation/trace.h"

#include <unordered_map>
#include <unordered_set>

namespace laurelhoist {

/** The size and load of a world. */
struct world_options {
    std::uint64_t seed = 1;
    std::size_t entries = 3;
    std::size_t stewards = 3;
    std::vector<std::string> domains{"osk-hall1", "osk-hall2", "vuk-hall1", "sb-hall1"};
    duration domain_latency = std::chrono::microseconds(1500); ///< one-way latency between nodes
    int engines = 18;
    int services = 4;
    int slots = 8;
    int teams = 10;
    double requests_per_second = 60;
    double flood_factor = 1.0; ///< load of team 0 relative to that of each other team
    double stream_share = 0.2;
    double service_share = 0.2;
    std::size_t sessions_per_team = 12;
    double session_length = 25; ///< mean number of requests before a new session replaces a session
    int latency_budget_ms = 10000;
    bool rates_answers = true;
    int bake_ms = 3000;
    std::vector<rollout_step> steps; ///< steps of a rollout; empty: 10, 50 and 100 percent
    duration report_lag = milliseconds(0);
    version_behaviour cheap{0.8, 60, 4, 0.02};
    version_behaviour costly{0.99, 150, 6, 0.01};
    double costly_price = 20;
    bool callers_retry = true;
    bool engines_check_fence = true;
    entry_policies policies;
    disabled_guards disabled;
};

/** \return options with the sizes of "brazda" or "consorzio". */
world_options options_for(const std::string& site);

/** One request of a caller, with all its tries. */
struct operation {
    std::uint64_t id = 0;
    int team = 0;
    std::size_t session = 0;
    std::string session_id;
    bool is_service = false;
    bool is_idempotent = true;
    bool stream = false;
    std::string service_path;
    std::string key; ///< idempotency key; empty: none
    std::string marker;
    std::string kind;
    double difficulty = 0;
    int tokens = 20;
    time_point began;
    int tries = 0;
    std::size_t entry = 0;
    std::string entry_incarnation;
    std::string text; ///< text of the stream received so far
    bool has_first_part = false;
    int parts = 0;
};

/** The counts and samples of a run. */
struct world_report {
    std::uint64_t asked = 0;
    std::uint64_t whole = 0;
    std::uint64_t refused = 0; ///< operations given up as not run, after all tries
    std::uint64_t failed = 0;  ///< operations that ended in an error and may have run
    std::uint64_t lost = 0;    ///< operations without a final answer at the end of the run
    std::uint64_t service_calls = 0;
    std::uint64_t doubled_calls = 0;
    std::uint64_t unbilled = 0;
    std::uint64_t billed = 0;
    std::uint64_t bad_version_answers = 0;  ///< answers below the good score from a bad version
    std::uint64_t bad_version_released = 0; ///< all answers released from a bad version
    std::uint64_t good_model_answers = 0;   ///< model answers that reach the good score
    std::uint64_t model_answers = 0;
    std::int64_t cost_micro = 0;
    double oracle_cost = 0; ///< cost if each request went to the cheapest model that answers it well
    std::uint64_t commands_accepted = 0;
    std::uint64_t stream_restarts = 0;
    std::vector<double> latency_ms;
    std::vector<double> first_token_ms;
    std::map<int, std::vector<double>> latency_by_team;
    std::vector<double> in_force_ms; ///< time from acceptance of a change until all running entries have it
};

class world {
public:
    explicit world(world_options options);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    /** Starts all nodes, rolls out the first bundle and starts the load. */
    void start();
    void run_for(duration span);
    /** Sets the callers' random load; 0 stops it. */
    void set_load(double requests_per_second);
    /** Injects one random fault or operator's command. */
    void inject_disturbance();
    /** Ends the faults, stops the load and runs until every operation is answered and every bill is written,
     * for two minutes at most, and then for 5 s more. */
    void quiesce();
    /** Checks the invariants of the whole run; to be called after \ref quiesce. */
    void check_final();

    // Named faults, which the random runs, the traces and the focused tests share.
    void kill_entry(std::size_t index, duration down_for);
    void kill_steward(std::size_t index, duration down_for);
    void pause_entry(std::size_t index, duration span);
    void pause_steward(std::size_t index, duration span);
    void stop_entry(std::size_t index, duration down_for);
    void stop_steward(std::size_t index, duration down_for);
    /** Drops all messages between two nodes for \p span; neither is told. */
    void cut(const std::string& one, const std::string& other, duration span);
    /** Cuts \p name off from all entries and stewards or, if \p with_platform, from everything, the platform
     * and the endpoints included. */
    void isolate(const std::string& name, duration span, bool with_platform = true);
    void lose_domain(const std::string& domain, duration span);
    void apply_event(const trace_event& event);

    // Operators.
    void command(fleet_command command, const std::optional<bundle>& document = std::nullopt,
                 std::size_t steward = 0);
    /** Submits, signs off and rolls out a bundle whose cheap version has \p skill. \return that version */
    version_name roll_bundle(double skill, duration pause_between = milliseconds(600));
    void withdraw(const version_name& version, std::size_t steward = 0);
    bundle make_bundle(int number, int cheap_version) const;

    // The world, for focused tests.
    virtual_clock clock;
    std::unique_ptr<fake_platform> platform;
    std::vector<std::unique_ptr<fake_endpoint>> endpoints;
    bool rater_is_down = false;
    duration rater_delay = milliseconds(20);
    double message_duplication_share = 0.0;
    double message_delay_share = 0.0;

    entry_core* entry(std::size_t index);
    steward_core* steward(std::size_t index);
    /** \return the local time of the entry \p index, which includes its clock skew. */
    time_point entry_time(std::size_t index) const;
    const metrics& entry_metrics(std::size_t index) const;
    const world_report& report();
    fleet_head head_in_platform() const;
    /** Sends one request to the entry \p index, besides the random load. \return the id of its operation */
    std::uint64_t ask(std::size_t index, const operation& op);
    /** Sends one request to the entry \p index with \p token as the session token. */
    std::uint64_t ask_with_token(std::size_t index, const operation& op, const std::string& token);
    /** Sends one request to an entry chosen as in the random load. */
    std::uint64_t ask_any(const operation& op);
    bool is_open(std::uint64_t operation_id) const { return operations_.count(operation_id) > 0; }
    /** \return the last reply to the operation. */
    const caller_reply* reply_to(std::uint64_t operation_id) const;
    std::int64_t run_count(const std::string& marker) const;
    std::string team_name(int team) const { return "team-" + std::to_string(team); }
    std::int64_t control_messages() const { return control_messages_; }
    std::int64_t control_bytes() const { return control_bytes_; }
    bool counts_control_bytes = false;

private:
    friend class entry_node;
    friend class steward_node;

    struct session_state {
        std::string id;
        std::string token;
        std::map<std::string, version_name> version_by_model;
    };
    struct cut_pair {
        std::string one;
        std::string other; ///< the other node; empty: everything
        time_point until;
    };
    struct accepted_change {
        time_point at;
        std::int64_t revision = 0;
        fleet_command command;
        bool is_in_force = false;
    };

    // Network (world.cpp).
    bool can_reach(const std::string& one, const std::string& other) const;
    void send(const std::string& from, const std::string& to, const node_message& message,
              std::function<void(const node_message&)> deliver);
    void update_links();
    void link_entries();
    void link_stewards();
    void build_endpoints();
    void publish_hosts();
    void repeat(duration interval, std::function<void()> work);
    template <class Node>
    void run_when_stopped(Node& node, const std::string& incarnation, std::function<void()> work);

    // Callers (world_callers.cpp).
    void schedule_next_arrival();
    void start_random_operation();
    std::uint64_t begin_operation(operation op);
    void issue(std::uint64_t id);
    void issue_to(std::uint64_t id, std::size_t entry);
    std::optional<std::size_t> choose_entry(const operation& op);
    void on_reply(const caller_reply& reply);
    void on_stream(const stream_part& part);
    void on_complete_answer(const operation& done, const caller_reply& reply, const std::string& text);
    void on_error_reply(std::uint64_t id, const caller_reply& reply);
    void on_entry_lost(const std::string& incarnation);
    void retry_later(std::uint64_t id, duration delay);
    void check_session(const operation& done, const caller_reply& reply);

    // Checks (world_checks.cpp).
    void check_dispatch(std::size_t entry, const endpoint_call& call);
    void record_run(const endpoint_call& call);
    void on_command_reply(const command_reply& reply);
    void update_changes_in_force();
    void check_bills();

    world_options options_;
    random_source random_;
    std::vector<std::unique_ptr<class entry_node>> entries_;
    std::vector<std::unique_ptr<class steward_node>> stewards_;
    std::map<std::string, time_point> leaving_since_;
    std::vector<cut_pair> cuts_;

    double load_ = 0;
    std::uint64_t load_generation_ = 0;
    std::uint64_t last_operation_ = 0;
    std::uint64_t last_session_ = 1000;
    std::unordered_map<std::uint64_t, operation> operations_;
    std::unordered_map<std::uint64_t, caller_reply> replies_;
    std::vector<std::vector<session_state>> sessions_;
    std::map<std::string, time_point> session_changed_;
    std::unordered_map<std::string, std::int64_t> runs_by_marker_;
    std::unordered_set<std::string> run_requests_;
    std::unordered_set<std::string> refused_requests_;
    std::set<bill_key> answered_bills_;
    std::set<std::string> at_most_once_markers_;

    std::map<std::string, fleet_command> open_commands_;
    std::vector<accepted_change> accepted_;
    std::uint64_t last_command_ = 0;
    std::map<version_name, double> skills_;
    std::set<version_name> bad_versions_;
    int last_bundle_ = 1;
    time_point last_entry_kill_;
    time_point last_steward_kill_;
    int steward_kills_while_platform_down_ = 0;
    std::int64_t control_messages_ = 0;
    std::int64_t control_bytes_ = 0;
    world_report report_;
};

} // namespace laurelhoist
