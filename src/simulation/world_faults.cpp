/** \file
 * Injects faults, named and random, and issues the operators' commands.
 */
#include "simulation/nodes.h"
#include "simulation/world.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration min_kill_spacing = seconds(10);

} // namespace

// ---- nodes ----

void world::kill_entry(std::size_t index, duration down_for) {
    entry_node& node = *entries_[index];
    last_entry_kill_ = clock.now();
    node.kill();
    clock.after(down_for, [&node] {
        if (!node.is_up()) {
            node.start();
        }
    });
}

void world::kill_steward(std::size_t index, duration down_for) {
    steward_node& node = *stewards_[index];
    last_steward_kill_ = clock.now();
    steward_kills_while_platform_down_ += platform->faults.is_down ? 1 : 0;
    node.kill();
    clock.after(down_for, [&node] {
        if (!node.is_up()) {
            node.start();
        }
    });
}

void world::pause_entry(std::size_t index, duration span) {
    entries_[index]->pause(span);
}

void world::pause_steward(std::size_t index, duration span) {
    stewards_[index]->pause(span);
}

template <class Node>
void world::run_when_stopped(Node& node, const std::string& incarnation, std::function<void()> work) {
    clock.after(milliseconds(100), [this, &node, incarnation, work = std::move(work)] {
        if (!node.is_up() || node.incarnation() != incarnation) {
            return; // The node was killed before it stopped.
        }
        if (node.core->is_stopped()) {
            work();
        } else {
            run_when_stopped(node, incarnation, work);
        }
    });
}

void world::stop_entry(std::size_t index, duration down_for) {
    entry_node& node = *entries_[index];
    if (!node.is_up()) {
        return;
    }
    node.run_in_incarnation([&node] { node.core->begin_stop(node.local_now()); });
    run_when_stopped(node, node.incarnation(), [this, &node, index, down_for] {
        const bool has_open = std::any_of(operations_.begin(), operations_.end(), [&node](const auto& item) {
            return item.second.entry_incarnation == node.incarnation() && item.second.parts > 0;
        });
        invariant("planned_stop_cuts_nothing", !has_open, [&] {
            return json{{"entry", node.incarnation()}};
        });
        kill_entry(index, down_for);
    });
}

void world::stop_steward(std::size_t index, duration down_for) {
    steward_node& node = *stewards_[index];
    if (!node.is_up()) {
        return;
    }
    node.run_in_incarnation([&node] { node.core->begin_stop(node.local_now()); });
    run_when_stopped(node, node.incarnation(), [this, &node, down_for] {
        node.kill();
        clock.after(down_for, [&node] {
            if (!node.is_up()) {
                node.start();
            }
        });
    });
}

// ---- network ----

void world::cut(const std::string& one, const std::string& other, duration span) {
    cuts_.push_back({one, other, clock.now() + span});
}

void world::isolate(const std::string& name, duration span, bool with_platform) {
    if (with_platform) {
        cut(name, "", span);
        return;
    }
    for (const auto& node : entries_) {
        cut(name, node->name(), span);
    }
    for (const auto& node : stewards_) {
        cut(name, node->name(), span);
    }
}

void world::lose_domain(const std::string& domain, duration span) {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i]->domain() == domain) {
            kill_entry(i, span);
        }
    }
    for (std::size_t i = 0; i < stewards_.size(); ++i) {
        if (stewards_[i]->domain() == domain) {
            kill_steward(i, span);
        }
    }
    for (const auto& endpoint : endpoints) {
        if (endpoint->record.domain == domain) {
            endpoint->is_dead = true;
            clock.after(span, [&endpoint = *endpoint] { endpoint.is_dead = false; });
        }
    }
}

// ---- operators ----

version_name world::roll_bundle(double skill, duration pause_between) {
    const int number = ++last_bundle_;
    version_name version = "cheap@" + std::to_string(number);
    skills_[version] = skill;
    version_behaviour behaviour = options_.cheap;
    behaviour.skill = skill;
    constexpr double tolerated_loss = 0.25;
    if (skill < options_.cheap.skill - tolerated_loss) {
        bad_versions_.insert(version);
    }
    for (const auto& endpoint : endpoints) {
        endpoint->behaviours[version] = behaviour;
    }
    const bundle document = make_bundle(number, number);
    duration delay{};
    for (const command_kind kind : {command_kind::submit, command_kind::sign_off, command_kind::roll}) {
        clock.after(delay, [this, kind, document] {
            fleet_command new_command;
            new_command.kind = kind;
            new_command.bundle_id = document.id;
            new_command.sha256 = content_hash(document);
            command(new_command, kind == command_kind::submit ? std::optional(document) : std::nullopt,
                    random_.below(stewards_.size()));
        });
        delay += pause_between;
    }
    return version;
}

void world::withdraw(const version_name& version, std::size_t steward) {
    fleet_command new_command;
    new_command.kind = command_kind::withdraw_version;
    new_command.versions = {version};
    new_command.reason = "bad in production";
    command(new_command, std::nullopt, steward);
}

// ---- events of traces ----

void world::apply_event(const trace_event& event) {
    const auto span = milliseconds(static_cast<int>(event.value));
    const auto number = [&event] { return static_cast<std::size_t>(std::atoi(event.target.c_str())); };
    const auto endpoint_named = [this, &event]() -> fake_endpoint& {
        for (const auto& endpoint : endpoints) {
            if (endpoint->record.name == event.target) {
                return *endpoint;
            }
        }
        throw std::invalid_argument("endpoint \"" + event.target +
                                    "\" does not exist in the world of this trace");
    };
    using action = std::function<void()>;
    const std::map<std::string, action> actions{
        {"roll", [&] { roll_bundle(event.value); }},
        {"withdraw", [&] { withdraw(event.target); }},
        {"store_down", [&] { platform->faults.is_down = true; }},
        {"store_up", [&] { platform->faults = {}; }},
        {"store_loses_answers", [&] { platform->faults.lost_answers = event.value; }},
        {"kill_entry", [&] { kill_entry(number(), span); }},
        {"stop_entry", [&] { stop_entry(number(), span); }},
        {"pause_entry", [&] { pause_entry(number(), span); }},
        {"kill_steward", [&] { kill_steward(number(), span); }},
        {"pause_steward", [&] { pause_steward(number(), span); }},
        {"lose_domain", [&] { lose_domain(event.target, span); }},
        {"silence_endpoint", [&] { endpoint_named().is_silent = true; }},
        {"slow_endpoint", [&] { endpoint_named().slow_factor = event.value; }},
        {"kill_endpoint", [&] { endpoint_named().is_dead = true; }},
        {"rater_down", [&] { rater_is_down = true; }},
        {"rater_up", [&] { rater_is_down = false; }},
    };
    const auto found = actions.find(event.action);
    if (found == actions.end()) {
        throw std::invalid_argument("unknown trace action \"" + event.action + "\"; see docs/INTERFACES.md");
    }
    found->second();
}

// ---- random disturbances ----

void world::inject_disturbance() {
    const auto some = [this](int low_ms, int high_ms) {
        return milliseconds(low_ms +
                            static_cast<int>(random_.below(static_cast<std::size_t>(high_ms - low_ms))));
    };
    const auto any_entry = [this] { return random_.below(entries_.size()); };
    const auto any_steward = [this] { return random_.below(stewards_.size()); };
    const auto any_endpoint = [this]() -> fake_endpoint& {
        return *endpoints[random_.below(endpoints.size())];
    };
    const auto any_node = [&] {
        return random_.chance(0.5) ? entries_[any_entry()]->name() : stewards_[any_steward()]->name();
    };
    const auto undo_after = [this](duration span, std::function<void()> undo) {
        clock.after(span, std::move(undo));
    };
    // Until a record is in the platform, two stewards and its entry hold it. Losing all three is the only
    // loss that docs/PROMISES.md lists as not covered. The random runs avoid it: they kill no node within
    // ten seconds of another kill, and none after a steward was killed during an outage of the platform,
    // until the outage ends.
    const bool may_kill_node = clock.now() - last_entry_kill_ > min_kill_spacing &&
                               clock.now() - last_steward_kill_ > min_kill_spacing &&
                               (!platform->faults.is_down || steward_kills_while_platform_down_ == 0);
    switch (random_.below(23)) {
    case 0:
        if (may_kill_node) {
            kill_entry(any_entry(), some(300, 6000));
        }
        break;
    case 1:
        if (may_kill_node) {
            kill_steward(any_steward(), some(300, 8000));
        }
        break;
    case 2:
        pause_entry(any_entry(), some(100, 9000));
        break;
    case 3:
        pause_steward(any_steward(), some(100, 12000));
        break;
    case 4:
        cut(any_node(), any_node(), some(500, 15000));
        break;
    case 5:
        isolate(any_node(), some(500, 12000), random_.chance(0.5));
        break;
    case 6:
        if (!platform->faults.is_down) {
            platform->faults.is_down = true;
            steward_kills_while_platform_down_ = 0;
            undo_after(some(500, 25000), [this] { platform->faults.is_down = false; });
        }
        break;
    case 7:
        platform->faults.delay = some(3, 1500);
        undo_after(some(500, 10000), [this] { platform->faults.delay = milliseconds(3); });
        break;
    case 8:
        platform->faults.lost_answers = random_.uniform() * 0.7;
        undo_after(some(500, 15000), [this] { platform->faults.lost_answers = 0; });
        break;
    case 9:
        platform->faults.late_writes = random_.uniform() * 0.5;
        undo_after(some(500, 15000), [this] { platform->faults.late_writes = 0; });
        break;
    case 10: {
        fake_endpoint& endpoint = any_endpoint();
        endpoint.is_dead = true;
        undo_after(some(500, 20000), [&endpoint] { endpoint.is_dead = false; });
        break;
    }
    case 11: {
        fake_endpoint& endpoint = any_endpoint();
        endpoint.is_silent = true;
        undo_after(some(500, 20000), [&endpoint] { endpoint.is_silent = false; });
        break;
    }
    case 12: {
        fake_endpoint& endpoint = any_endpoint();
        double& fault = random_.chance(0.5) ? endpoint.cut_answer_share : endpoint.duplicate_part_share;
        fault = random_.uniform();
        undo_after(some(500, 20000), [&fault] { fault = 0; });
        break;
    }
    case 13: {
        fake_endpoint& endpoint = any_endpoint();
        bool& fault = random_.chance(0.5) ? endpoint.names_wrong_version : endpoint.mixes_answers;
        fault = true;
        undo_after(some(500, 10000), [&fault] { fault = false; });
        break;
    }
    case 14: {
        // The endpoint leaves: it refuses calls at once, the host list follows after 0.2 s to 2 s, and it is
        // live again after 70 s.
        fake_endpoint& endpoint = any_endpoint();
        const auto staying =
            std::count_if(endpoints.begin(), endpoints.end(), [&endpoint](const auto& other) {
                return other->record.pool == endpoint.record.pool && !other->is_leaving;
            });
        if (staying > 2 && !endpoint.is_leaving) {
            endpoint.is_leaving = true;
            clock.after(some(200, 2000), [this, &endpoint] {
                endpoint.record.state = "leaving";
                leaving_since_[endpoint.record.name] = clock.now();
            });
            clock.after(seconds(70), [this, &endpoint] {
                endpoint.record.state = "live";
                endpoint.is_leaving = false;
                leaving_since_.erase(endpoint.record.name);
            });
        }
        break;
    }
    case 15:
        rater_is_down = random_.chance(0.5);
        rater_delay = some(20, 1500);
        undo_after(some(500, 15000), [this] {
            rater_is_down = false;
            rater_delay = milliseconds(20);
        });
        break;
    case 16:
        message_duplication_share = random_.uniform() * 0.3;
        message_delay_share = random_.uniform() * 0.2;
        undo_after(some(500, 15000), [this] {
            message_duplication_share = 0;
            message_delay_share = 0;
        });
        break;
    case 17:
        if (head_in_platform().rolling.empty()) {
            roll_bundle(random_.chance(0.4) ? 0.3 : 0.85);
        }
        break;
    case 18: {
        const fleet_head head = head_in_platform();
        if (!head.rolling.empty()) {
            fleet_command new_command;
            const command_kind kinds[] = {command_kind::pause, command_kind::resume,
                                          command_kind::withdraw_bundle};
            new_command.kind = kinds[random_.below(3)];
            new_command.bundle_id = head.rolling;
            command(new_command, std::nullopt, any_steward());
        }
        break;
    }
    case 19: {
        // Concurrent operators: two changes based on the same revision, through randomly chosen stewards.
        const fleet_head head = head_in_platform();
        for (const char* by : {"ana", "bruno"}) {
            fleet_command new_command;
            new_command.kind = head.rolling.empty() ? command_kind::withdraw_version : command_kind::pause;
            new_command.bundle_id = head.rolling;
            new_command.versions = {"cheap@0"};
            new_command.by = by;
            new_command.expected_revision = head.revision;
            command(new_command, std::nullopt, any_steward());
        }
        break;
    }
    case 20: {
        const fleet_head head = head_in_platform();
        if (!head.rolling.empty()) {
            withdraw("cheap@" + head.rolling.substr(head.rolling.find('-') + 1), any_steward());
        }
        break;
    }
    case 21: {
        // The worst case: a withdrawal through a steward that is cut off from its peers, and a platform that
        // goes down 15 ms after the command, when the withdrawal has just been written.
        const std::size_t isolated = any_steward();
        for (const auto& peer : stewards_) {
            cut(stewards_[isolated]->name(), peer->name(), seconds(12));
        }
        withdraw("cheap@" + std::to_string(last_bundle_), isolated);
        clock.after(milliseconds(15), [this] {
            platform->faults.is_down = true;
            steward_kills_while_platform_down_ = 0;
        });
        undo_after(some(3000, 15000), [this] { platform->faults.is_down = false; });
        break;
    }
    default:
        if (may_kill_node) {
            random_.chance(0.6) ? stop_entry(any_entry(), some(300, 3000))
                                : stop_steward(any_steward(), some(300, 3000));
        }
        break;
    }
}

} // namespace laurelhoist
