#include "simulation/nodes.h"

#include <cstdlib>

namespace laurelhoist {

namespace {

constexpr duration entry_tick_interval = milliseconds(50);
constexpr duration steward_tick_interval = milliseconds(100);
constexpr duration call_timeout_check_interval = milliseconds(100);
constexpr duration reply_delay = std::chrono::microseconds(500);
const std::string platform_name = "platform";

} // namespace

const chart& cached_chart(const std::string& name) {
    static std::map<std::string, chart> loaded;
    const auto found = loaded.find(name);
    if (found != loaded.end()) {
        return found->second;
    }
    const char* directory = std::getenv("LAUREL_CHARTS");
    return loaded
        .emplace(name, load_chart_or_exit(directory == nullptr ? LAUREL_CHART_DIRECTORY : directory, name))
        .first->second;
}

// ---- the base of all nodes ----

void simulated_node::begin_incarnation() {
    ++incarnation_number_;
    is_up_ = true;
    incarnation_ = name_ + "#" + std::to_string(incarnation_number_);
    paused_until_ = world_.clock.now();
}

void simulated_node::run_in_incarnation(std::function<void()> work) {
    if (!is_up_) {
        return;
    }
    if (is_paused()) {
        const int number = incarnation_number_;
        world_.clock.at(paused_until_, [this, number, work = std::move(work)]() mutable {
            if (number == incarnation_number_) {
                run_in_incarnation(std::move(work));
            }
        });
        return;
    }
    work();
}

// ---- entries ----

entry_node::entry_node(world& owner, std::size_t index, const std::string& domain, duration skew)
    : simulated_node{owner, "entry-" + std::to_string(index), domain, skew}, index_{index} {}

void entry_node::start() {
    begin_incarnation();
    links.clear();
    link_cut_since.clear();
    calls_.clear();
    entry_settings settings{
        name_, incarnation_, name_, domain_, "session-key-of-the-world", milliseconds(1500)};
    const entry_charts charts{cached_chart("request"), cached_chart("endpoint"), cached_chart("host")};
    const std::uint64_t seed = placement_hash(incarnation_, world_.options_.seed);
    core = std::make_unique<entry_core>(settings, charts, *this, node_metrics, seed, world_.options_.policies,
                                        world_.options_.disabled);
    const int number = incarnation_number_;
    world_.clock.after(entry_tick_interval, [this, number] {
        if (number == incarnation_number_ && is_up_) {
            tick();
        }
    });
}

void entry_node::tick() {
    const int number = incarnation_number_;
    run_in_incarnation([this] {
        core->on_tick(local_now());
        node_metrics.gauge("open", static_cast<double>(core->open_requests()));
    });
    world_.clock.after(entry_tick_interval, [this, number] {
        if (number == incarnation_number_ && is_up_) {
            tick();
        }
    });
}

void entry_node::kill() {
    if (!is_up_) {
        return;
    }
    end_incarnation();
    core.reset();
    world_.on_entry_lost(incarnation_);
}

void entry_node::call_endpoint(const endpoint_call& call) {
    world_.check_dispatch(index_, call);
    std::size_t target = world_.endpoints.size();
    for (std::size_t i = 0; i < world_.endpoints.size(); ++i) {
        if (world_.endpoints[i]->record.name == call.endpoint.name) {
            target = i;
        }
    }
    calls_[call.call_id] = {target, world_.clock.now(), call.timeout, call.stream};
    check_call_timeout(call.call_id);
    if (target == world_.endpoints.size() || !world_.can_reach(name_, call.endpoint.name)) {
        // A connection attempt to an unreachable endpoint times out after 1 s; nothing has been sent.
        endpoint_answer not_sent;
        not_sent.result = call_result::refused_not_run;
        world_.clock.after(seconds(1), [this, id = call.call_id, not_sent] { deliver_answer(id, not_sent); });
        return;
    }
    fake_endpoint::handlers handlers;
    handlers.on_part = [this, id = call.call_id](int index, const std::string& text) {
        world_.clock.after(world_.options_.domain_latency, [this, id, index, text] {
            const auto open = calls_.find(id);
            if (open == calls_.end() ||
                !world_.can_reach(name_, world_.endpoints[open->second.endpoint]->record.name)) {
                return;
            }
            open->second.last_activity = world_.clock.now();
            run_in_incarnation(
                [this, id, index, text] { core->on_endpoint_part(id, index, text, local_now()); });
        });
    };
    handlers.on_answer = [this, id = call.call_id](const endpoint_answer& answer) {
        world_.clock.after(world_.options_.domain_latency,
                           [this, id, answer] { deliver_answer(id, answer); });
    };
    world_.clock.after(world_.options_.domain_latency,
                       [this, target, call, handlers] { world_.endpoints[target]->call(call, handlers); });
}

void entry_node::deliver_answer(const std::string& call_id, const endpoint_answer& answer) {
    const auto open = calls_.find(call_id);
    const bool was_sent = answer.result != call_result::refused_not_run;
    if (open == calls_.end() ||
        (was_sent && !world_.can_reach(name_, world_.endpoints[open->second.endpoint]->record.name))) {
        return;
    }
    calls_.erase(open);
    run_in_incarnation([this, call_id, answer] { core->on_endpoint_answer(call_id, answer, local_now()); });
}

void entry_node::check_call_timeout(const std::string& call_id) {
    const int number = incarnation_number_;
    world_.clock.after(call_timeout_check_interval, [this, call_id, number] {
        const auto open = calls_.find(call_id);
        if (number != incarnation_number_ || !is_up_ || open == calls_.end()) {
            return;
        }
        if (world_.clock.now() - open->second.last_activity < open->second.timeout) {
            check_call_timeout(call_id);
            return;
        }
        calls_.erase(open);
        endpoint_answer silent;
        silent.result = call_result::failed;
        silent.is_silent = true;
        run_in_incarnation(
            [this, call_id, silent] { core->on_endpoint_answer(call_id, silent, local_now()); });
    });
}

void entry_node::cancel_call(const std::string& call_id) {
    const auto open = calls_.find(call_id);
    if (open == calls_.end()) {
        return;
    }
    if (open->second.endpoint < world_.endpoints.size()) {
        world_.endpoints[open->second.endpoint]->cancel(call_id);
    }
    calls_.erase(open);
}

void entry_node::request_rating(const rating_request& request) {
    const std::size_t at = request.answer.rfind("score=");
    std::optional<double> score;
    if (!world_.rater_is_down && at != std::string::npos) {
        score = std::atof(request.answer.c_str() + at + std::string("score=").size());
    }
    const duration delay = world_.rater_is_down ? duration(seconds(2)) : world_.rater_delay;
    const int number = incarnation_number_;
    world_.clock.after(delay, [this, id = request.call_id, score, number] {
        if (number == incarnation_number_) {
            run_in_incarnation([this, id, score] { core->on_rating(id, score, local_now()); });
        }
    });
}

void entry_node::send_to_steward(const std::string& incarnation, const node_message& message) {
    const auto link = links.find(incarnation);
    if (link == links.end()) {
        return;
    }
    steward_node& steward = *world_.stewards_[link->second];
    world_.send(name_, steward.name(), message,
                [&steward, incarnation, from = incarnation_](const node_message& arrived) {
                    if (steward.incarnation() == incarnation) {
                        steward.run_in_incarnation([&steward, from, arrived] {
                            steward.core->on_entry_message(from, arrived, steward.local_now());
                        });
                    }
                });
}

void entry_node::reply(const caller_reply& reply) {
    const int number = incarnation_number_;
    world_.clock.after(reply_delay, [this, reply, number] {
        if (number == incarnation_number_ && is_up_) {
            world_.on_reply(reply);
        }
    });
}

void entry_node::stream(const stream_part& part) {
    const int number = incarnation_number_;
    world_.clock.after(reply_delay, [this, part, number] {
        if (number == incarnation_number_ && is_up_) {
            world_.on_stream(part);
        }
    });
}

// ---- stewards ----

steward_node::steward_node(world& owner, std::size_t index, const std::string& domain, duration skew)
    : simulated_node{owner, "steward-" + std::to_string(index), domain, skew} {}

void steward_node::start() {
    begin_incarnation();
    peers.clear();
    entries.clear();
    const steward_settings settings{name_, incarnation_, name_, domain_, 24};
    core = std::make_unique<steward_core>(settings, cached_chart("bundle"), cached_chart("host"), *this,
                                          node_metrics, placement_hash(incarnation_, world_.options_.seed),
                                          world_.options_.disabled);
    tick();
}

void steward_node::tick() {
    const int number = incarnation_number_;
    run_in_incarnation([this] { core->on_tick(local_now()); });
    world_.clock.after(steward_tick_interval, [this, number] {
        if (number == incarnation_number_ && is_up_) {
            tick();
        }
    });
}

void steward_node::kill() {
    if (!is_up_) {
        return;
    }
    end_incarnation();
    core.reset();
}

void steward_node::call_platform(const platform_request& request) {
    const int number = incarnation_number_;
    if (!world_.can_reach(name_, platform_name)) {
        platform_reply unavailable;
        unavailable.operation = request.operation;
        unavailable.what = platform_reply::result::unavailable;
        world_.clock.after(seconds(1), [this, unavailable, number] {
            if (number == incarnation_number_) {
                run_in_incarnation(
                    [this, unavailable] { core->on_platform_reply(unavailable, local_now()); });
            }
        });
        return;
    }
    world_.platform->call(request, [this, number](const platform_reply& reply) {
        if (number == incarnation_number_) {
            run_in_incarnation([this, reply] { core->on_platform_reply(reply, local_now()); });
        }
    });
}

void steward_node::send_to_entry(const std::string& incarnation, const node_message& message) {
    const auto link = entries.find(incarnation);
    if (link == entries.end()) {
        return;
    }
    entry_node& entry = *world_.entries_[link->second];
    world_.send(name_, entry.name(), message,
                [&entry, incarnation, from = incarnation_](const node_message& arrived) {
                    if (entry.incarnation() == incarnation) {
                        entry.run_in_incarnation([&entry, from, arrived] {
                            entry.core->on_steward_message(from, arrived, entry.local_now());
                        });
                    }
                });
}

void steward_node::send_to_peer(const std::string& incarnation, const node_message& message) {
    const auto link = peers.find(incarnation);
    if (link == peers.end()) {
        return;
    }
    steward_node& peer = *world_.stewards_[link->second];
    world_.send(name_, peer.name(), message,
                [&peer, incarnation, from = incarnation_](const node_message& arrived) {
                    if (peer.incarnation() == incarnation) {
                        peer.run_in_incarnation([&peer, from, arrived] {
                            peer.core->on_peer_message(from, arrived, peer.local_now());
                        });
                    }
                });
}

void steward_node::ask_engine(const endpoint_record& endpoint) {
    const int number = incarnation_number_;
    for (const auto& candidate : world_.endpoints) {
        if (candidate->record.name != endpoint.name) {
            continue;
        }
        world_.clock.after(world_.options_.domain_latency, [this, number, engine = candidate.get()] {
            const std::vector<version_name> loaded(engine->loaded.begin(), engine->loaded.end());
            const bool is_reachable = !engine->is_dead && !engine->is_silent;
            if (number == incarnation_number_) {
                run_in_incarnation([this, name = engine->record.name, is_reachable, loaded] {
                    core->on_engine_status(name, is_reachable, loaded, local_now());
                });
            }
        });
    }
}

void steward_node::order_engine(const engine_order& order) {
    for (const auto& candidate : world_.endpoints) {
        if (candidate->record.name == order.endpoint && !candidate->is_dead) {
            world_.clock.after(world_.options_.domain_latency,
                               [engine = candidate.get(), order] { engine->order(order); });
        }
    }
}

void steward_node::answer_operator(const command_reply& reply) {
    world_.on_command_reply(reply);
}

} // namespace laurelhoist
