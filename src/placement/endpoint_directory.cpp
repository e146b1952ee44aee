#include "placement/endpoint_directory.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// Hosts exchange their loads every 0.4 s, so an older load is that of a host that is gone or partitioned
/// off, or one that its full rounds no longer name.
constexpr duration peer_load_ttl = seconds(2);
/// How long a part counts as cached after this host sent it. At the planned loads an engine's cache holds
/// parts for longer; after this time the part may have been evicted.
constexpr duration sent_part_ttl = seconds(30);
constexpr std::size_t max_parts_per_engine = 512; ///< 16 KB for each endpoint
/// An endpoint is saturated if the prompts that wait there take longer to read than this, in ms, or if
/// streams use more than this share of its slots.
constexpr double max_carried_reading_ms = 500;
constexpr double max_running_share = 0.9;
/// A request may wait for an endpoint whose exclusion ends within this time.
constexpr duration max_endpoint_wait = milliseconds(500);
/// Penalty in ms for an endpoint in another failure domain. Crossing takes under 4 ms, but each caller's
/// prompt and answer cross as well, and a smaller predicted advantage is due to chance about half of the
/// time. The penalty is worth 0.008 and 0.005 at two sites of 7 and 6 hosts. At 75 ms the streams of a third
/// site take longer while engines of one domain are lost.
constexpr double cross_domain_ms = 30.0;
constexpr double min_reading_ms = 0.001; ///< smaller sums are rounding errors of additions and subtractions
/// Penalty in ms for an endpoint of another domain whose load is unknown: about the load of an endpoint under
/// usual traffic.
constexpr double unknown_domain_load_ms = 120.0;
/// A shared part of at least this size has one home in the whole fleet and not one in each domain. With a
/// home in each of six domains, documents of 4,900 tokens that are requested seven times a minute are read
/// again nearly every time. Reading 1,500 tokens occupies an engine for as long as the penalty for crossing
/// domains. On a large fleet in a burst, 30 M shared tokens are read again instead of 58 M.
constexpr std::int64_t min_tokens_for_fleet_home = 1500;
/// Cost to the fleet of reading a shared token again, beyond this request's own wait: the engine's time for
/// its other requests and the cache space of a second copy. Without this cost the small model, which reads
/// fast, reads shared parts at whichever engine is idle: 18 engines at low load read 2.8 M shared tokens
/// again without it and 2.3 M with it.
constexpr double reread_ms_per_token = 0.02;

/// Recipients of a load announcement up to which it is sent at once whatever the backlog, and the backlog in
/// ms that each further one requires. Receiving a message takes a host with an eighth of a core about 1 ms.
constexpr std::size_t free_recipients = 24;
constexpr double backlog_ms_per_recipient = 1.0;

std::uint64_t cache_key(std::uint64_t part, const std::string& model) {
    return part ^ placement_hash(model);
}

} // namespace

double min_announced_backlog_ms(std::size_t recipients) {
    return recipients <= free_recipients
               ? 0.0
               : static_cast<double>(recipients - free_recipients) * backlog_ms_per_recipient;
}

double endpoint_directory::backlog_ms(const std::string& endpoint) const {
    const endpoint_load load = load_of(endpoint);
    return load.reading_ms + load.running * running_stream_ms;
}

endpoint_directory::endpoint_directory(chart endpoint_chart, std::uint64_t seed, std::string domain,
                                       const mechanisms& in_use, send_allowance allowance)
    : table_{std::move(endpoint_chart), seed, endpoint_policy::least_in_flight},
      random_{seed},
      allowance_{std::move(allowance)},
      domain_{std::move(domain)},
      in_use_{in_use} {}

void endpoint_directory::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    table_.update(endpoints, now);
    allowance_.update(endpoints, now);
    pace_.update(endpoints);
    for (const endpoint_record& endpoint : restarted_among(endpoints)) {
        engine_caches_.erase(endpoint.name); // A new process has an empty cache.
    }
    std::set<std::string> listed;
    for (const endpoint_record& endpoint : endpoints) {
        listed.insert(endpoint.name);
        started_at_ms_[endpoint.name] = endpoint.started_at_ms;
    }
    for (auto item = started_at_ms_.begin(); item != started_at_ms_.end();) {
        item = listed.count(item->first) > 0 ? std::next(item) : started_at_ms_.erase(item);
    }
    for (auto item = engine_caches_.begin(); item != engine_caches_.end();) {
        item = listed.count(item->first) > 0 ? std::next(item) : engine_caches_.erase(item);
    }
}

bool endpoint_directory::could_serve(const std::string& service, time_point now) const {
    return table_.could_serve(service, "", now, [&](const endpoint_record& endpoint) {
        return allowance_.exclusion_of(endpoint, max_endpoint_wait, now) == exclusion::none;
    });
}

std::map<exclusion, int> endpoint_directory::count_exclusions(const std::string& service,
                                                              time_point now) const {
    std::map<exclusion, int> counts;
    (void)table_.could_serve(service, "", now, [&](const endpoint_record& endpoint) {
        const exclusion reason = allowance_.exclusion_of(endpoint, max_endpoint_wait, now);
        counts[reason] += reason == exclusion::none ? 0 : 1;
        return false; // Continues with the next endpoint.
    });
    counts.erase(exclusion::none);
    return counts;
}

std::vector<endpoint_record>
endpoint_directory::restarted_among(const std::vector<endpoint_record>& endpoints) const {
    std::vector<endpoint_record> restarted;
    for (const endpoint_record& endpoint : endpoints) {
        const auto known = started_at_ms_.find(endpoint.name);
        const bool is_known = known != started_at_ms_.end() && known->second != 0;
        if (is_known && endpoint.started_at_ms > known->second) {
            restarted.push_back(endpoint);
        }
    }
    return restarted;
}

void endpoint_directory::set_slots(const std::string& service, int slots, std::size_t sharers) {
    table_.set_slots(service, slots, sharers);
    slots_[service] = slots;
}

double endpoint_directory::saturated_share(const std::string& service, time_point now) const {
    const auto known = slots_.find(service);
    const double max_running = known == slots_.end() ? 0.0 : known->second * max_running_share;
    int usable = 0;
    int saturated = 0;
    (void)table_.could_serve(service, "", now, [&](const endpoint_record& endpoint) {
        if (allowance_.exclusion_of(endpoint, max_endpoint_wait, now) == exclusion::none) {
            const endpoint_load load = load_of(endpoint.name);
            ++usable;
            saturated += load.reading_ms * pace_of(endpoint.name, now) > max_carried_reading_ms ||
                                 (max_running > 0 && load.running > max_running)
                             ? 1
                             : 0;
        }
        return false; // Continues with the next endpoint.
    });
    return usable == 0 ? 0.0 : static_cast<double>(saturated) / usable;
}

void endpoint_directory::add_peer_load(const load_by_endpoint& load, int sign) {
    for (const auto& [endpoint, each] : load) {
        endpoint_load& total = peer_load_[endpoint];
        total.reading_ms += sign * each.reading_ms;
        total.running += sign * each.running;
        if (total.running <= 0 && total.reading_ms < min_reading_ms) {
            peer_load_.erase(endpoint);
        }
    }
}

void endpoint_directory::drop_silent_peers(time_point now) {
    for (auto item = peers_.begin(); item != peers_.end();) {
        if (now - item->second.at < peer_load_ttl) {
            ++item;
            continue;
        }
        add_peer_load(item->second.load, -1);
        item = peers_.erase(item);
    }
}

void endpoint_directory::set_peer_load(const std::string& host, load_by_endpoint load, time_point now) {
    peer_state& peer = peers_[host];
    add_peer_load(peer.load, -1);
    peer = {std::move(load), {}, now};
    for (const auto& [endpoint, each] : peer.load) {
        peer.named_at[endpoint] = now;
    }
    add_peer_load(peer.load, 1);
}

void endpoint_directory::set_round_load(const std::string& host, const load_by_endpoint& named,
                                        time_point now) {
    if (!may_leave_out_loads(named.size())) {
        set_peer_load(host, named, now);
        return;
    }
    update_peer_load(host, named, now);
    load_by_endpoint old;
    peer_state& peer = peers_[host];
    for (auto item = peer.named_at.begin(); item != peer.named_at.end();) {
        if (now - item->second < peer_load_ttl) {
            ++item;
            continue;
        }
        old.insert(peer.load.extract(item->first));
        item = peer.named_at.erase(item);
    }
    add_peer_load(old, -1);
}

void endpoint_directory::update_peer_load(const std::string& host, const load_by_endpoint& changes,
                                          time_point now) {
    peer_state& peer = peers_[host];
    add_peer_load(peer.load, -1);
    if (now - peer.at >= peer_load_ttl) {
        peer.load.clear(); // Loads that are not in the changes are as old as the last message.
        peer.named_at.clear();
    }
    for (const auto& [endpoint, load] : changes) {
        peer.load[endpoint] = load;
        peer.named_at[endpoint] = now;
    }
    peer.at = now;
    add_peer_load(peer.load, 1);
}

endpoint_load endpoint_directory::load_of(const std::string& endpoint) const {
    endpoint_load total;
    const auto add = [&](const endpoint_load& load) {
        total.reading_ms += load.reading_ms;
        total.running += load.running;
    };
    if (const auto own = own_load_.find(endpoint); own != own_load_.end()) {
        add(own->second);
    }
    if (const auto peer = peer_load_.find(endpoint); peer != peer_load_.end() && in_use_.hears_peer_load) {
        add(peer->second);
    }
    return total;
}

std::string endpoint_directory::home_of(const std::vector<endpoint_record>& candidates,
                                        const prompt_shape& prompt, const std::string& model) const {
    constexpr std::size_t min_parts = 2; // The last part belongs to this request only.
    if (prompt.parts.size() < min_parts || !in_use_.shared_homes) {
        return {};
    }
    const std::size_t shared = prompt.parts.size() - min_parts;
    // Hosts that prefer their own domain would hardly ever use a home in another one, except for a part that
    // is large enough.
    const bool has_local = std::any_of(candidates.begin(), candidates.end(),
                                       [this](const auto& each) { return each.domain == domain_; });
    const bool is_local_only =
        prefers_own_domain_ && has_local && prompt.tokens[shared] < min_tokens_for_fleet_home;
    const std::string key = std::to_string(cache_key(prompt.parts[shared], model)) + "/";
    std::string home;
    std::uint64_t least = 0;
    for (const endpoint_record& candidate : candidates) {
        // Hosts that hold different parts of the list agree on a home only among the common endpoints.
        if (!candidate.is_common || (is_local_only && candidate.domain != domain_)) {
            continue;
        }
        const std::uint64_t rank = placement_hash(key + candidate.name);
        if (home.empty() || rank < least) {
            home = candidate.name;
            least = rank;
        }
    }
    return home;
}

endpoint_directory::unread_prompt
endpoint_directory::unread_at(const endpoint_record& endpoint, const prompt_shape& prompt,
                              const std::string& model, const std::string& home, time_point now) const {
    const auto cache = engine_caches_.find(endpoint.name);
    unread_prompt unread{prompt.input_tokens, 0};
    bool is_known = true;
    for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
        const bool is_own_part = i + 1 == prompt.parts.size();
        bool is_held = endpoint.name == home && !is_own_part;
        if (!is_held && cache != engine_caches_.end() && in_use_.remembers_parts) {
            const auto sent = cache->second.parts.find(cache_key(prompt.parts[i], model));
            is_held = sent != cache->second.parts.end() && now - sent->second < sent_part_ttl;
        }
        is_known = is_known && is_held; // A part counts only if all parts before it are cached.
        if (is_known) {
            unread.tokens -= prompt.tokens[i];
        } else if (!is_own_part) {
            unread.shared_tokens += prompt.tokens[i];
        }
    }
    unread.tokens = std::max<std::int64_t>(1, unread.tokens);
    return unread;
}

double endpoint_directory::domain_penalty_ms(const endpoint_record& endpoint, const std::string& home) const {
    if (endpoint.domain == domain_ || !in_use_.keeps_to_domain) {
        return 0.0;
    }
    return prefers_own_domain_ && endpoint.name != home ? unknown_domain_load_ms : cross_domain_ms;
}

double endpoint_directory::pause_cost(const prompt_shape& prompt, const endpoint_load& load,
                                      double reading_ms, double pace) const {
    if (!in_use_.knows_pace || prompt.is_empty()) {
        return 0.0;
    }
    return pause_cost_ms({load.reading_ms * pace + reading_ms, load.running, prompt.gap_objective_ms});
}

std::optional<placement> endpoint_directory::choose(const endpoint_criteria& criteria,
                                                    const prompt_shape& prompt, const target_model& model,
                                                    time_point now) {
    const std::vector<endpoint_record> candidates =
        table_.eligible(criteria, now, [&](const endpoint_record& endpoint) {
            return allowance_.exclusion_of(endpoint, duration::zero(), now) == exclusion::none;
        });
    if (candidates.empty()) {
        return std::nullopt;
    }
    drop_silent_peers(now);
    const std::string home = home_of(candidates, prompt, model.name);
    std::optional<placement> best;
    double lowest_cost = 0;
    // Starts at a random candidate, so that endpoints with equal cost share the work.
    const std::size_t first = random_.below(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const endpoint_record& endpoint = candidates[(first + i) % candidates.size()];
        const unread_prompt unread =
            prompt.is_empty() ? unread_prompt{} : unread_at(endpoint, prompt, model.name, home, now);
        const endpoint_load load = load_of(endpoint.name);
        const double reading = static_cast<double>(unread.tokens) * model.costs.read_ms_per_token;
        const double waiting = load.reading_ms * model.costs.backlog_share + load.running * running_stream_ms;
        const double pace = pace_of(endpoint.name, now);
        const double predicted = (reading + waiting) * pace + domain_penalty_ms(endpoint, home);
        const double pausing = pause_cost(prompt, load, reading * pace, pace);
        const double rereading = in_use_.prices_rereading ? reread_ms_per_token : 0.0;
        const double cost = predicted + pausing + static_cast<double>(unread.shared_tokens) * rereading;
        if (!best || cost < lowest_cost) {
            best = placement{endpoint, model.name, unread.tokens, reading, load.reading_ms, predicted, pace};
            lowest_cost = cost;
        }
    }
    return best;
}

void endpoint_directory::on_sent(const placement& chosen, const prompt_shape& prompt,
                                 const endpoint_criteria& criteria, time_point now) {
    const std::string& name = chosen.endpoint.name;
    table_.on_call_started(name, criteria, now);
    allowance_.on_sent(name, now);
    own_load_[name].reading_ms += chosen.reading_ms;
    if (prompt.is_empty()) {
        ++own_load_[name].running;
        return;
    }
    engine_cache& cache = engine_caches_[name];
    for (const std::uint64_t part : prompt.parts) {
        cache.parts[cache_key(part, chosen.model)] = now;
    }
    forget_old_parts(cache, now);
}

void endpoint_directory::forget_old_parts(engine_cache& cache, time_point now) {
    if (cache.parts.size() <= max_parts_per_engine) {
        return;
    }
    const duration kept = sent_part_ttl / 2;
    for (auto item = cache.parts.begin(); item != cache.parts.end();) {
        item = now - item->second > kept ? cache.parts.erase(item) : std::next(item);
    }
    if (cache.parts.size() > max_parts_per_engine) {
        cache.parts.clear();
    }
}

// The time that an engine takes beyond the prediction is not learned for each engine. Learning it moves
// prompts between engines by chance (0.025 of worth at the smallest site, 0.003 at two larger ones), and
// engines that are five times as slow are detected little sooner than by their backlogs (0.002 to 0.011).
void endpoint_directory::on_first_byte(const placement& chosen) {
    allowance_.on_answered(chosen.endpoint.name);
    endpoint_load& load = own_load_[chosen.endpoint.name];
    load.reading_ms -= chosen.reading_ms;
    if (chosen.unread_tokens > 0) {
        ++load.running;
    }
}

void endpoint_directory::on_ended(const placement& chosen, bool had_first_byte, call_result result,
                                  duration took, time_point now) {
    table_.on_call_ended(chosen.endpoint.name, result, took, now);
    if (!had_first_byte) {
        allowance_.on_answered(chosen.endpoint.name);
    }
    const auto found = own_load_.find(chosen.endpoint.name);
    if (found == own_load_.end()) {
        return;
    }
    endpoint_load& load = found->second;
    const bool is_engine_call = chosen.unread_tokens > 0;
    if (is_engine_call && !had_first_byte) {
        load.reading_ms -= chosen.reading_ms;
    } else {
        --load.running;
    }
    if (load.running <= 0 && load.reading_ms < min_reading_ms) {
        own_load_.erase(found);
    }
}

} // namespace laurelhoist
