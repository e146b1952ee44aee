#include "simulation/world.h"

#include "simulation/nodes.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

constexpr duration link_check_interval = milliseconds(250);
constexpr duration in_force_check_interval = milliseconds(50);
constexpr duration link_timeout = seconds(3);
constexpr duration max_clock_skew = seconds(500);
constexpr std::size_t links_per_entry = 3;
const std::string platform_name = "platform";

} // namespace

world_options options_for(const std::string& site) {
    world_options options;
    if (site == "consorzio") {
        options.domains = {"pa-nord", "pa-sud", "pa-porto", "pa-monreale"};
        options.domain_latency = std::chrono::microseconds(500);
        options.engines = 12;
        options.cheap = {0.85, 40, 3, 0.02};
        options.latency_budget_ms = 6000;
    }
    return options;
}

world::world(world_options options)
    : platform{std::make_unique<fake_platform>(clock, options.seed + 11)},
      options_{std::move(options)},
      random_{options_.seed} {
    build_endpoints();
    const auto skew = [this] {
        return std::chrono::duration_cast<duration>(max_clock_skew * random_.uniform());
    };
    for (std::size_t i = 0; i < options_.stewards; ++i) {
        stewards_.push_back(
            std::make_unique<steward_node>(*this, i, options_.domains[i % options_.domains.size()], skew()));
    }
    for (std::size_t i = 0; i < options_.entries; ++i) {
        entries_.push_back(
            std::make_unique<entry_node>(*this, i, options_.domains[i % options_.domains.size()], skew()));
    }
    sessions_.resize(static_cast<std::size_t>(options_.teams));
    for (std::size_t team = 0; team < sessions_.size(); ++team) {
        for (std::size_t i = 0; i < options_.sessions_per_team; ++i) {
            sessions_[team].push_back({"session-" + std::to_string(team) + "-" + std::to_string(i), "", {}});
        }
    }
}

world::~world() = default;

void world::build_endpoints() {
    skills_["cheap@1"] = options_.cheap.skill;
    const auto add = [this](const std::string& pool, int count, int slots) {
        for (int i = 0; i < count; ++i) {
            const std::string name = pool + "-" + std::to_string(i);
            const std::string& domain =
                options_.domains[static_cast<std::size_t>(i) % options_.domains.size()];
            endpoints.push_back(
                std::make_unique<fake_endpoint>(clock, endpoint_record{name, name, domain, pool, "live"},
                                                slots, placement_hash(name, options_.seed)));
            fake_endpoint& endpoint = *endpoints.back();
            endpoint.report_lag = options_.report_lag;
            endpoint.checks_fence = options_.engines_check_fence;
            endpoint.observer.on_begin = [this](const endpoint_call& call, const endpoint_record&) {
                record_run(call);
            };
            endpoint.loaded = {"cheap@1", "costly@1"};
            endpoint.behaviours = {{"cheap@1", options_.cheap}, {"costly@1", options_.costly}};
        }
    };
    add("engines", options_.engines, options_.slots);
    add("bookings", options_.services, 2 * options_.slots);
}

void world::publish_hosts() {
    if (platform->faults.is_down) {
        // While the platform is down no node can read the host list, so the time that nodes have to stop
        // using a leaving endpoint starts anew. The endpoint itself still refuses calls without running them.
        for (auto& [name, since] : leaving_since_) {
            since = clock.now();
        }
    }
    json list = json::array();
    for (const auto& endpoint : endpoints) {
        list.push_back(endpoint->record);
    }
    std::vector<std::string> hosts;
    for (const auto& steward : stewards_) {
        hosts.push_back(steward->name());
    }
    const json next = {{"endpoints", list}, {"hosts", hosts}};
    const platform_object* held = platform->find("hosts");
    if (held == nullptr || held->value != next) {
        platform->put("hosts", next);
    }
}

void world::repeat(duration interval, std::function<void()> work) {
    clock.after(interval, [this, interval, work = std::move(work)]() mutable {
        work();
        repeat(interval, std::move(work));
    });
}

bundle world::make_bundle(int number, int cheap_version) const {
    bundle document;
    document.id = "bundle-" + std::to_string(number);
    document.pools = {{"engines", "engine", options_.engines_check_fence, options_.slots},
                      {"bookings", "service", true, 2 * options_.slots}};
    const std::string version = std::to_string(cheap_version);
    const auto first = static_cast<int>(options_.cheap.first_token_ms);
    const auto token = static_cast<int>(options_.cheap.token_ms);
    document.models = {{"cheap", version, "engines", 1.0, 0.8, first, token},
                       {"costly", "1", "engines", options_.costly_price, 0.97,
                        static_cast<int>(options_.costly.first_token_ms),
                        static_cast<int>(options_.costly.token_ms)}};
    if (cheap_version > 1) {
        // Sessions may stay on the previous version.
        model_entry before = document.models.front();
        before.version = std::to_string(cheap_version - 1);
        document.models.push_back(before);
    }
    document.services = {{"booking", "bookings", 0.01, {{"book", false}, {"free", true}}}};
    for (int i = 0; i < options_.teams; ++i) {
        team_entry team;
        team.name = team_name(i);
        team.key_sha256 = team_key_hash(team.name + "-key");
        team.ladder = {"cheap@" + version, "costly@1"};
        if (cheap_version > 1) {
            team.allow = {"cheap@" + std::to_string(cheap_version - 1)};
        }
        team.services = {"booking"};
        team.latency_budget_ms = options_.latency_budget_ms;
        team.weight = i < 2 ? 3 : 1;
        team.rate_answers = options_.rates_answers;
        document.teams.push_back(team);
    }
    document.rollout.steps = options_.steps.empty() ? std::vector<rollout_step>{{0.1, options_.bake_ms},
                                                                                {0.5, options_.bake_ms},
                                                                                {1.0, options_.bake_ms / 2}}
                                                    : options_.steps;
    return document;
}

void world::start() {
    publish_hosts();
    for (const auto& node : stewards_) {
        node->start();
    }
    for (const auto& node : entries_) {
        node->start();
    }
    update_links();
    repeat(link_check_interval, [this] { update_links(); });
    repeat(in_force_check_interval, [this] { update_changes_in_force(); });
    repeat(seconds(1), [this] { publish_hosts(); });
    run_for(seconds(4));
    const bundle first = make_bundle(1, 1);
    for (const command_kind kind : {command_kind::submit, command_kind::sign_off, command_kind::roll}) {
        fleet_command new_command;
        new_command.kind = kind;
        new_command.bundle_id = first.id;
        new_command.sha256 = content_hash(first);
        command(new_command, kind == command_kind::submit ? std::optional(first) : std::nullopt);
        run_for(seconds(1));
    }
    run_for(seconds(2));
    set_load(options_.requests_per_second);
}

void world::run_for(duration span) {
    clock.run_until(clock.now() + span);
}

entry_core* world::entry(std::size_t index) {
    return entries_[index]->core.get();
}

steward_core* world::steward(std::size_t index) {
    return stewards_[index]->core.get();
}

time_point world::entry_time(std::size_t index) const {
    return entries_[index]->local_now();
}

const metrics& world::entry_metrics(std::size_t index) const {
    return entries_[index]->node_metrics;
}

// ---- the network ----

bool world::can_reach(const std::string& one, const std::string& other) const {
    return std::none_of(cuts_.begin(), cuts_.end(), [&](const cut_pair& cut) {
        if (clock.now() >= cut.until) {
            return false;
        }
        const bool is_pair = (cut.one == one && cut.other == other) || (cut.one == other && cut.other == one);
        const bool is_isolated = cut.other.empty() && (cut.one == one || cut.one == other);
        return is_pair || is_isolated;
    });
}

void world::send(const std::string& from, const std::string& to, const node_message& message,
                 std::function<void(const node_message&)> deliver) {
    ++control_messages_;
    if (counts_control_bytes) {
        control_bytes_ += static_cast<std::int64_t>(encode(message).size());
    }
    if (!can_reach(from, to)) {
        return;
    }
    constexpr double mean_delay_ms = 800;
    const auto deliver_after = [&](duration delay) {
        clock.after(delay, [this, from, to, message, deliver] {
            if (can_reach(from, to)) {
                deliver(message);
            }
        });
    };
    duration delay = options_.domain_latency + std::chrono::microseconds(random_.below(500));
    if (random_.chance(message_delay_share)) {
        delay += milliseconds(static_cast<int>(random_.exponential(mean_delay_ms)));
    }
    deliver_after(delay);
    if (random_.chance(message_duplication_share)) {
        deliver_after(delay + milliseconds(static_cast<int>(random_.exponential(mean_delay_ms))));
    }
}

void world::update_links() {
    cuts_.erase(
        std::remove_if(cuts_.begin(), cuts_.end(),
                       [this](const cut_pair& cut) { return clock.now() >= cut.until + link_timeout; }),
        cuts_.end());
    link_entries();
    link_stewards();
}

void world::link_entries() {
    for (const auto& node : entries_) {
        if (!node->is_up()) {
            continue;
        }
        for (auto link = node->links.begin(); link != node->links.end();) {
            steward_node& steward = *stewards_[link->second];
            const bool is_gone = !steward.is_up() || steward.incarnation() != link->first;
            const bool is_cut = !can_reach(node->name(), steward.name());
            time_point& since = node->link_cut_since[link->first];
            since = !is_cut ? time_point{} : since == time_point{} ? clock.now() : since;
            if (is_gone || (is_cut && clock.now() - since >= link_timeout)) {
                const std::string incarnation = link->first;
                link = node->links.erase(link);
                node->link_cut_since.erase(incarnation);
                node->run_in_incarnation([&node = *node, incarnation] {
                    node.core->on_steward_down(incarnation, node.local_now());
                });
                if (!is_gone) {
                    steward.entries.erase(node->incarnation());
                    steward.run_in_incarnation([&steward, lost = node->incarnation()] {
                        steward.core->on_entry_down(lost, steward.local_now());
                    });
                }
                continue;
            }
            ++link;
        }
        for (std::size_t tried = 0; tried < stewards_.size() && node->links.size() < links_per_entry;
             ++tried) {
            const std::size_t index = random_.below(stewards_.size());
            steward_node& steward = *stewards_[index];
            const bool is_possible = steward.is_up() && !steward.is_paused() &&
                                     can_reach(node->name(), steward.name()) &&
                                     node->links.count(steward.incarnation()) == 0;
            if (!is_possible) {
                continue;
            }
            node->links[steward.incarnation()] = index;
            steward.entries[node->incarnation()] = static_cast<std::size_t>(&node - entries_.data());
            const hello_message hello{
                "entry", node->name(), node->incarnation(), node->domain(), node->name(), 0, ""};
            steward.run_in_incarnation(
                [&steward, hello] { steward.core->on_entry_up(hello, steward.local_now()); });
            node->run_in_incarnation([&node = *node, up = steward.incarnation(), domain = steward.domain()] {
                node.core->on_steward_up(up, domain, node.local_now());
            });
        }
    }
    for (const auto& steward : stewards_) {
        for (auto link = steward->entries.begin(); link != steward->entries.end();) {
            const entry_node& entry = *entries_[link->second];
            const bool is_gone = !entry.is_up() || entry.incarnation() != link->first;
            if (is_gone && steward->is_up()) {
                steward->run_in_incarnation([&node = *steward, lost = link->first] {
                    node.core->on_entry_down(lost, node.local_now());
                });
            }
            link = is_gone ? steward->entries.erase(link) : std::next(link);
        }
    }
}

void world::link_stewards() {
    for (const auto& node : stewards_) {
        if (!node->is_up()) {
            continue;
        }
        for (auto link = node->peers.begin(); link != node->peers.end();) {
            const steward_node& peer = *stewards_[link->second];
            const bool is_gone = !peer.is_up() || peer.incarnation() != link->first;
            if (is_gone) {
                node->run_in_incarnation(
                    [&node = *node, lost = link->first] { node.core->on_peer_down(lost, node.local_now()); });
            }
            link = is_gone ? node->peers.erase(link) : std::next(link);
        }
        for (std::size_t index = 0; index < stewards_.size(); ++index) {
            const steward_node& peer = *stewards_[index];
            const bool is_possible = &peer != node.get() && peer.is_up() &&
                                     can_reach(node->name(), peer.name()) &&
                                     node->peers.count(peer.incarnation()) == 0;
            if (is_possible) {
                node->peers[peer.incarnation()] = index;
                const hello_message hello{
                    "steward", peer.name(), peer.incarnation(), peer.domain(), peer.name(), 0, ""};
                node->run_in_incarnation(
                    [&node = *node, hello] { node.core->on_peer_up(hello, node.local_now()); });
            }
        }
    }
}

} // namespace laurelhoist
