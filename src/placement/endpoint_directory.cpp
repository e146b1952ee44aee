#include "placement/endpoint_directory.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// Loads older than this are of a host that has gone or is cut off; hosts tell one another every 0.4 s.
constexpr duration peer_load_memory = seconds(2);
/// An engine's cache outlasts this at the loads planned for; beyond it the part may have been displaced.
constexpr duration part_memory = seconds(30);
constexpr std::size_t most_parts = 512; ///< remembered for each endpoint: 16 KB
/// A request may wait for a cold or limited endpoint that takes another one within this time.
constexpr duration longest_patience = milliseconds(500);
/// Each running stream lengthens every step of its engine; measured from 0.02 to 0.07 ms a token.
constexpr double running_ms = 2.0;
/// Worth of staying in the failure domain: the crossings themselves take under 4 ms, but each caller's prompt
/// and answer cross with them, and an engine elsewhere that is sooner by less than this is sooner by chance
/// as often as not. Worth 0.008 and 0.005 at two sites of 7 and 6 hosts. At 75 ms streams of a third one took
/// longer while engines of one domain were lost.
constexpr double other_domain_ms = 30.0;
constexpr double least_reading_ms = 0.001; ///< less is what rounding left of sums and differences
/// The load of another domain that is not known: about that of an endpoint at the usual load.
constexpr double unseen_domain_ms = 120.0;
/// A shared part from this size on has one home in the whole fleet: read once in each of six domains,
/// documents of 4,900 tokens that are asked for seven times a minute were read again nearly every time. To
/// read 1,500 tokens keeps an engine from others as long as a crossing is worth. On a large fleet in a burst
/// 30 M of them were read again in place of 58 M.
constexpr std::int64_t least_tokens_worth_the_way = 1500;
/// What reading a shared token again costs the fleet beside this request's own wait: the engine's time for
/// all others that run there, and the memory of what yields to a second copy. Without it the small model,
/// which reads fast, reads shared parts at whichever engine is idle: on a calm day of 18 engines 2.8 M tokens
/// of them again, with it 2.3 M.
constexpr double reread_ms_per_token = 0.02;

std::uint64_t cache_key(std::uint64_t part, const std::string& model) {
    return part ^ placement_hash(model);
}

} // namespace

endpoint_directory::endpoint_directory(chart life, std::uint64_t seed, std::string domain,
                                       const mechanisms& in_use, send_allowance allowance)
    : table_{std::move(life), seed, endpoint_policy::least_in_flight},
      random_{seed},
      allowance_{std::move(allowance)},
      domain_{std::move(domain)},
      in_use_{in_use} {}

void endpoint_directory::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    table_.update(endpoints, now);
    allowance_.update(endpoints, now);
    for (const endpoint_record& endpoint : restarted_among(endpoints)) {
        memory_.erase(endpoint.name); // It holds no part of a prompt.
    }
    std::set<std::string> listed;
    for (const endpoint_record& endpoint : endpoints) {
        listed.insert(endpoint.name);
        started_at_ms_[endpoint.name] = endpoint.started_at_ms;
    }
    for (auto item = started_at_ms_.begin(); item != started_at_ms_.end();) {
        item = listed.count(item->first) > 0 ? std::next(item) : started_at_ms_.erase(item);
    }
    for (auto item = memory_.begin(); item != memory_.end();) {
        item = listed.count(item->first) > 0 ? std::next(item) : memory_.erase(item);
    }
}

bool endpoint_directory::could_serve(const std::string& service, time_point now) const {
    return table_.could_serve(service, "", now, [&](const endpoint_record& endpoint) {
        return allowance_.bar(endpoint, longest_patience, now) == send_bar::none;
    });
}

std::map<send_bar, int> endpoint_directory::bars_of(const std::string& service, time_point now) const {
    std::map<send_bar, int> bars;
    (void)table_.could_serve(service, "", now, [&](const endpoint_record& endpoint) {
        const send_bar bar = allowance_.bar(endpoint, longest_patience, now);
        bars[bar] += bar == send_bar::none ? 0 : 1;
        return false; // Goes on to the next.
    });
    bars.erase(send_bar::none);
    return bars;
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
}

void endpoint_directory::count_peer_load(const load_by_endpoint& load, int sign) {
    for (const auto& [endpoint, each] : load) {
        endpoint_load& total = heard_[endpoint];
        total.reading_ms += sign * each.reading_ms;
        total.running += sign * each.running;
        if (total.running <= 0 && total.reading_ms < least_reading_ms) {
            heard_.erase(endpoint);
        }
    }
}

void endpoint_directory::drop_silent_peers(time_point now) {
    for (auto item = peers_.begin(); item != peers_.end();) {
        if (now - item->second.at < peer_load_memory) {
            ++item;
            continue;
        }
        count_peer_load(item->second.load, -1);
        item = peers_.erase(item);
    }
}

void endpoint_directory::set_peer_load(const std::string& host, load_by_endpoint load, time_point now) {
    peer_state& peer = peers_[host];
    count_peer_load(peer.load, -1);
    peer = {std::move(load), now};
    count_peer_load(peer.load, 1);
}

void endpoint_directory::change_peer_load(const std::string& host, const load_by_endpoint& changes,
                                          time_point now) {
    peer_state& peer = peers_[host];
    count_peer_load(peer.load, -1);
    if (now - peer.at >= peer_load_memory) {
        peer.load.clear(); // What did not change is as old as the last message.
    }
    for (const auto& [endpoint, load] : changes) {
        peer.load[endpoint] = load;
    }
    peer.at = now;
    count_peer_load(peer.load, 1);
}

endpoint_load endpoint_directory::load_of(const std::string& endpoint) const {
    endpoint_load total;
    const auto add = [&](const endpoint_load& load) {
        total.reading_ms += load.reading_ms;
        total.running += load.running;
    };
    if (const auto own = own_.find(endpoint); own != own_.end()) {
        add(own->second);
    }
    if (const auto heard = heard_.find(endpoint); heard != heard_.end() && in_use_.hears_peer_load) {
        add(heard->second);
    }
    return total;
}

std::string endpoint_directory::home_of(const std::vector<endpoint_record>& candidates,
                                        const prompt_shape& prompt, const std::string& model) const {
    constexpr std::size_t least_parts = 2; // The last part is the request's own.
    if (prompt.parts.size() < least_parts || !in_use_.shared_homes) {
        return {};
    }
    const std::size_t shared = prompt.parts.size() - least_parts;
    // Where hosts keep to their own domain, a home in another one would hardly ever be used, but for a part
    // that is worth the way.
    const bool has_near = std::any_of(candidates.begin(), candidates.end(),
                                      [this](const auto& each) { return each.domain == domain_; });
    const bool is_near_only =
        prefers_own_domain_ && has_near && prompt.tokens[shared] < least_tokens_worth_the_way;
    const std::string key = std::to_string(cache_key(prompt.parts[shared], model)) + "/";
    std::string home;
    std::uint64_t least = 0;
    for (const endpoint_record& candidate : candidates) {
        if (is_near_only && candidate.domain != domain_) {
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
    const auto memory = memory_.find(endpoint.name);
    unread_prompt unread{prompt.input_tokens, 0};
    bool is_known = true;
    for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
        const bool is_own_part = i + 1 == prompt.parts.size();
        bool is_held = endpoint.name == home && !is_own_part;
        if (!is_held && memory != memory_.end() && in_use_.remembers_parts) {
            const auto sent = memory->second.parts.find(cache_key(prompt.parts[i], model));
            is_held = sent != memory->second.parts.end() && now - sent->second < part_memory;
        }
        is_known = is_known && is_held; // A part counts only if all before it are there.
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
    return prefers_own_domain_ && endpoint.name != home ? unseen_domain_ms : other_domain_ms;
}

std::optional<placement> endpoint_directory::choose(const endpoint_criteria& wish, const prompt_shape& prompt,
                                                    const model_demand& model, time_point now) {
    const std::vector<endpoint_record> candidates =
        table_.eligible(wish, now, [&](const endpoint_record& endpoint) {
            return allowance_.bar(endpoint, duration::zero(), now) == send_bar::none;
        });
    if (candidates.empty()) {
        return std::nullopt;
    }
    drop_silent_peers(now);
    const std::string home = home_of(candidates, prompt, model.name);
    std::optional<placement> best;
    double least_cost = 0;
    // Started at a random one, so that equal endpoints share the work.
    const std::size_t first = random_.below(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const endpoint_record& endpoint = candidates[(first + i) % candidates.size()];
        const unread_prompt unread =
            prompt.is_empty() ? unread_prompt{} : unread_at(endpoint, prompt, model.name, home, now);
        const endpoint_load load = load_of(endpoint.name);
        const double reading = static_cast<double>(unread.tokens) * model.costs.read_ms_per_token;
        const double waiting = load.reading_ms * model.costs.backlog_share + load.running * running_ms;
        const double predicted = reading + waiting + domain_penalty_ms(endpoint, home);
        const double rereading = in_use_.prices_rereading ? reread_ms_per_token : 0.0;
        const double cost = predicted + static_cast<double>(unread.shared_tokens) * rereading;
        if (!best || cost < least_cost) {
            best = placement{endpoint, model.name, unread.tokens, reading, load.reading_ms, predicted};
            least_cost = cost;
        }
    }
    return best;
}

void endpoint_directory::on_sent(const placement& chosen, const prompt_shape& prompt,
                                 const endpoint_criteria& wish, time_point now) {
    const std::string& name = chosen.endpoint.name;
    table_.on_call_started(name, wish, now);
    allowance_.on_sent(name, now);
    own_[name].reading_ms += chosen.reading_ms;
    if (prompt.is_empty()) {
        ++own_[name].running;
        return;
    }
    engine_memory& memory = memory_[name];
    for (const std::uint64_t part : prompt.parts) {
        memory.parts[cache_key(part, chosen.model)] = now;
    }
    forget_old_parts(memory, now);
}

void endpoint_directory::forget_old_parts(engine_memory& memory, time_point now) {
    if (memory.parts.size() <= most_parts) {
        return;
    }
    const duration kept = part_memory / 2;
    for (auto item = memory.parts.begin(); item != memory.parts.end();) {
        item = now - item->second > kept ? memory.parts.erase(item) : std::next(item);
    }
    if (memory.parts.size() > most_parts) {
        memory.parts.clear();
    }
}

// What an engine takes beyond the prediction is not remembered against it: learned for each engine, that
// drove prompts from engine to engine by chance (0.025 of worth at the smallest site, 0.003 at two larger
// ones), and engines five times as slow were found little sooner than by their backlogs (0.002 to 0.011).
void endpoint_directory::on_first_byte(const placement& chosen) {
    endpoint_load& load = own_[chosen.endpoint.name];
    load.reading_ms -= chosen.reading_ms;
    if (chosen.unread_tokens > 0) {
        ++load.running;
    }
}

void endpoint_directory::on_ended(const placement& chosen, bool had_first_byte, call_result result,
                                  duration took, time_point now) {
    table_.on_call_ended(chosen.endpoint.name, result, took, now);
    const auto found = own_.find(chosen.endpoint.name);
    if (found == own_.end()) {
        return;
    }
    endpoint_load& load = found->second;
    const bool is_engine_call = chosen.unread_tokens > 0;
    if (is_engine_call && !had_first_byte) {
        load.reading_ms -= chosen.reading_ms;
    } else {
        --load.running;
    }
    if (load.running <= 0 && load.reading_ms < least_reading_ms) {
        own_.erase(found);
    }
}

} // namespace laurelhoist
