/** \file
 * Defines the simulated entries and stewards. They can be killed, paused and restarted without their memory,
 * and each sees the virtual clock with a skew of its own.
 */
#pragma once

#include "simulation/world.h"

namespace laurelhoist {

/** The base of the simulated nodes: name, failure domain, incarnation, pauses and clock skew. */
class simulated_node {
public:
    simulated_node(world& owner, std::string name, std::string domain, duration skew)
        : world_{owner}, name_{std::move(name)}, domain_{std::move(domain)}, skew_{skew} {}

    const std::string& name() const { return name_; }
    const std::string& domain() const { return domain_; }
    const std::string& incarnation() const { return incarnation_; }
    bool is_up() const { return is_up_; }
    bool is_paused() const { return world_.clock.now() < paused_until_; }
    time_point local_now() const { return world_.clock.now() + skew_; }
    void pause(duration span) { paused_until_ = std::max(paused_until_, world_.clock.now() + span); }
    void resume() { paused_until_ = world_.clock.now(); }
    std::int64_t virtual_wall_clock_ms() const {
        return world_.clock.now().time_since_epoch() / milliseconds(1);
    }

    /** Runs \p work at once, or when the current pause ends. Drops it if the node is down or is killed
     * before then. */
    void run_in_incarnation(std::function<void()> work);

protected:
    void begin_incarnation();
    void end_incarnation() { is_up_ = false; }

    world& world_;
    std::string name_;
    std::string domain_;
    duration skew_;
    std::string incarnation_;
    int incarnation_number_ = 0;
    bool is_up_ = false;
    time_point paused_until_;
};

class entry_node : public simulated_node, public entry_port {
public:
    entry_node(world& owner, std::size_t index, const std::string& domain, duration skew);

    void start();
    void kill();
    void tick();

    void call_endpoint(const endpoint_call& call) override;
    void cancel_call(const std::string& call_id) override;
    void request_rating(const rating_request& request) override;
    void send_to_steward(const std::string& incarnation, const node_message& message) override;
    void reply(const caller_reply& reply) override;
    void stream(const stream_part& part) override;
    std::int64_t wall_clock_ms() const override { return virtual_wall_clock_ms(); }

    std::unique_ptr<entry_core> core;
    metrics node_metrics;
    std::map<std::string, std::size_t> links; ///< steward incarnation -> index of the steward
    std::map<std::string, time_point> link_cut_since;

private:
    struct open_call {
        std::size_t endpoint = 0;
        time_point last_activity;
        duration timeout{};
        bool is_stream = false;
    };
    void check_call_timeout(const std::string& call_id);
    void deliver_answer(const std::string& call_id, const endpoint_answer& answer);

    std::size_t index_;
    std::map<std::string, open_call> calls_;
};

class steward_node : public simulated_node, public steward_port {
public:
    steward_node(world& owner, std::size_t index, const std::string& domain, duration skew);

    void start();
    void kill();
    void tick();

    void call_platform(const platform_request& request) override;
    void send_to_entry(const std::string& incarnation, const node_message& message) override;
    void send_to_peer(const std::string& incarnation, const node_message& message) override;
    void ask_engine(const endpoint_record& endpoint) override;
    void order_engine(const engine_order& order) override;
    void answer_operator(const command_reply& reply) override;
    std::int64_t wall_clock_ms() const override { return virtual_wall_clock_ms(); }

    std::unique_ptr<steward_core> core;
    metrics node_metrics;
    std::map<std::string, std::size_t> peers; ///< steward incarnation -> index of the steward
    std::map<std::string, std::size_t> entries;
};

/** \return the chart \p name from the directory in LAUREL_CHARTS or, if that is not set, from the source
 * tree. Each chart is loaded once. An invalid chart ends the process. */
const chart& cached_chart(const std::string& name);

} // namespace laurelhoist
