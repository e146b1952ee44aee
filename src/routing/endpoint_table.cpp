#include "routing/endpoint_table.h"

#include "base/log.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

constexpr int failures_to_eject = 3;            ///< consecutive failures that eject an endpoint
constexpr duration first_ejection = seconds(2); ///< doubled with each further failure
constexpr duration max_ejection = seconds(30);
/// A sound endpoint may pause for about a second; unanswered calls eject only if they span more than this.
constexpr duration longest_pause = milliseconds(1500);
constexpr duration missing_version_ttl = seconds(2);
constexpr duration report_ttl = seconds(5);
constexpr duration prefix_ttl = seconds(300);
constexpr std::size_t max_prefixes = 64;
constexpr std::size_t candidates_compared = 3;
constexpr double smoothing = 0.2;
constexpr double limit_step = 0.5;
constexpr double limit_decrease_factor = 0.8;  ///< applied to the concurrency limit at a failure
constexpr double prefix_hit_cost_factor = 0.7; ///< applied to the expected time if the prefix is cached
/// An endpoint whose ejection ends within this counts as able to serve.
constexpr duration reinstatement_lookahead = milliseconds(500);
constexpr duration leaving_override_time = seconds(60); ///< a "leaving" mark outweighs the list for this long

} // namespace

endpoint_table::endpoint_table(chart lifecycle, std::uint64_t seed, endpoint_policy policy)
    : lifecycle_{std::move(lifecycle)}, random_{seed}, policy_{policy} {}

void endpoint_table::apply_event(endpoint_state& endpoint, const std::string& event) {
    const outcome<std::string> next = lifecycle_.next(endpoint.state, event);
    if (const std::string* state = value_of(next)) {
        endpoint.state = *state;
    }
}

void endpoint_table::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    std::set<std::string> listed;
    for (const endpoint_record& record : endpoints) {
        listed.insert(record.name);
        const bool is_new = endpoints_.count(record.name) == 0;
        endpoint_state& endpoint = endpoints_[record.name];
        const bool is_restarted = !is_new && is_restart_of(record, endpoint.record);
        if (is_restarted) {
            // Drops the state of the earlier process: its failures would keep a healthy endpoint ejected for
            // up to 30 s after a restart.
            const int in_flight = endpoint.in_flight;
            endpoint = endpoint_state{};
            endpoint.in_flight = in_flight;
        }
        if (is_new || is_restarted) {
            endpoint.state = lifecycle_.initial();
            endpoint.limit = limits_of(record.pool).initial;
        }
        endpoint.record = record;
        if (record.state == "leaving") {
            mark_leaving(record.name, now);
        } else if (endpoint.state == "gone" ||
                   (endpoint.state == "leaving" && now - endpoint.leaving_since > leaving_override_time)) {
            // The list lags, so "live" shortly after the endpoint itself said "leaving" is ignored.
            apply_event(endpoint, "returned");
        }
    }
    for (auto item = endpoints_.begin(); item != endpoints_.end();) {
        if (listed.count(item->first) > 0) {
            ++item;
            continue;
        }
        apply_event(item->second, "gone");
        item = item->second.in_flight == 0 ? endpoints_.erase(item) : std::next(item);
    }
}

void endpoint_table::set_slots(const std::string& pool, int slots, std::size_t sharers) {
    // Each entry starts with twice its even share of an endpoint's slots; the limit then adapts to the queues
    // that the endpoint reports and to its failures.
    const double fair =
        std::max(1.0, std::floor(slots / static_cast<double>(std::max<std::size_t>(1, sharers))));
    const limit_range range{fair, std::min<double>(slots, 2 * fair), static_cast<double>(slots)};
    const bool is_unchanged =
        limits_.count(pool) > 0 && limits_[pool].fair == fair && limits_[pool].largest == slots;
    limits_[pool] = range;
    if (is_unchanged) {
        return;
    }
    for (auto& [name, endpoint] : endpoints_) {
        if (endpoint.record.pool == pool) {
            endpoint.limit = range.initial;
        }
    }
}

endpoint_table::limit_range endpoint_table::limits_of(const std::string& pool) const {
    const auto found = limits_.find(pool);
    return found == limits_.end() ? limit_range{} : found->second;
}

void endpoint_table::mark_leaving(const std::string& name, time_point now) {
    const auto found = endpoints_.find(name);
    if (found != endpoints_.end() && found->second.state != "leaving") {
        apply_event(found->second, "leaving");
        found->second.leaving_since = now;
    }
}

bool endpoint_table::has_version(const endpoint_state& endpoint, const version_name& version,
                                 time_point now) const {
    if (version.empty()) {
        return true;
    }
    const auto missing = endpoint.missing_until.find(version);
    if (missing != endpoint.missing_until.end() && now < missing->second) {
        return false;
    }
    const std::vector<std::string>& loaded = endpoint.report.versions;
    const bool is_recent = now - endpoint.reported_at < report_ttl;
    return loaded.empty() || !is_recent || std::find(loaded.begin(), loaded.end(), version) != loaded.end();
}

bool endpoint_table::has_prefix(const endpoint_state& endpoint, const std::string& prefix,
                                time_point now) const {
    if (prefix.empty()) {
        return false;
    }
    const std::uint64_t hash = placement_hash(prefix);
    return std::any_of(endpoint.prefixes.begin(), endpoint.prefixes.end(), [&](const prefix_hint& hint) {
        return hint.prefix == hash && now - hint.used_at < prefix_ttl;
    });
}

bool endpoint_table::takes_work(const std::string& name) const {
    const auto found = endpoints_.find(name);
    return found != endpoints_.end() && (found->second.state == "live" || found->second.state == "probing");
}

bool endpoint_table::could_serve(const std::string& pool, const version_name& version, time_point now,
                                 const endpoint_filter& may_be_used) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& item) {
        const endpoint_state& endpoint = item.second;
        const bool is_active = endpoint.state == "live" || endpoint.state == "probing";
        const bool is_active_soon =
            endpoint.state == "ejected" && endpoint.ejected_until - now < reinstatement_lookahead;
        return endpoint.record.pool == pool && (is_active || is_active_soon) &&
               has_version(endpoint, version, now) && (!may_be_used || may_be_used(endpoint.record));
    });
}

bool endpoint_table::is_eligible(endpoint_state& endpoint, const endpoint_criteria& criteria,
                                 time_point now) {
    if (endpoint.record.pool != criteria.pool || criteria.avoided.count(endpoint.record.name) > 0) {
        return false;
    }
    const std::string& release = endpoint.record.release;
    if ((!criteria.release.empty() && release != criteria.release) ||
        (!criteria.excluded_release.empty() && release == criteria.excluded_release)) {
        return false;
    }
    if (endpoint.state == "ejected" && now >= endpoint.ejected_until) {
        apply_event(endpoint, "rested");
    }
    const bool is_probe = endpoint.state == "probing";
    if (endpoint.state != "live" && !is_probe) {
        return false;
    }
    const double limit = is_probe ? 1.0 : std::max(1.0, std::floor(endpoint.limit));
    return endpoint.in_flight < limit && has_version(endpoint, criteria.version, now);
}

double endpoint_table::expected_latency_ms(const endpoint_state& endpoint, time_point now) const {
    double others = 0;
    if (endpoint.report.running >= 0 && now - endpoint.reported_at < report_ttl) {
        others = std::max(0, endpoint.report.running + endpoint.report.queued - endpoint.in_flight_at_report);
    }
    const double typical = endpoint.average_latency_ms > 0 ? endpoint.average_latency_ms
                                                           : lowest_average_latency_ms(endpoint.record.pool);
    return std::max(1.0, typical) * (1.0 + endpoint.in_flight + others);
}

endpoint_table::endpoint_state*
endpoint_table::choose_by_expected_latency(const std::vector<endpoint_state*>& eligible,
                                           const endpoint_criteria& criteria, time_point now) {
    std::vector<endpoint_state*> compared;
    for (endpoint_state* endpoint : eligible) {
        if (has_prefix(*endpoint, criteria.prefix, now)) {
            compared.push_back(endpoint);
        }
    }
    for (std::size_t i = 0; i < candidates_compared; ++i) {
        compared.push_back(eligible[random_.below(eligible.size())]);
    }
    const auto cost = [&](const endpoint_state* endpoint) {
        const double expected = expected_latency_ms(*endpoint, now);
        return has_prefix(*endpoint, criteria.prefix, now) ? expected * prefix_hit_cost_factor : expected;
    };
    return *std::min_element(compared.begin(), compared.end(),
                             [&](const auto* l, const auto* r) { return cost(l) < cost(r); });
}

namespace {

/// With at least this many endpoints per failure domain, the kept share includes one of every domain.
constexpr std::size_t min_endpoints_per_domain = 8;

/** Reorders the records round-robin over their failure domains: the first of each, then the second of each.
 * \return the number of domains */
std::size_t interleave_domains(std::vector<endpoint_record>& records) {
    std::map<std::string, std::size_t> placed;
    std::vector<std::pair<std::size_t, endpoint_record>> rounds;
    for (endpoint_record& record : records) {
        const std::size_t round = placed[record.domain]++;
        rounds.emplace_back(round, std::move(record));
    }
    std::stable_sort(rounds.begin(), rounds.end(),
                     [](const auto& l, const auto& r) { return l.first < r.first; });
    std::transform(rounds.begin(), rounds.end(), records.begin(),
                   [](auto& each) { return std::move(each.second); });
    return placed.size();
}

// Keeps a share of the endpoints, chosen by rendezvous hash, so that hosts whose lists differ for a moment
// still choose nearly the same ones.
//
// On a large fleet the share includes an endpoint of each failure domain, because hosts of one domain know
// each other's load and those of different domains do not. With a single endpoint, 295 hosts of six domains
// sent one hundredth of the requests for a release of 96 endpoints to it: seven of 20 answers took four times
// as long as usual, and a good release was braked.
void keep_endpoint_share(std::vector<endpoint_record>& records, const endpoint_criteria& criteria) {
    if (criteria.endpoint_share >= 1.0 || records.empty()) {
        return;
    }
    const auto rank_of = [&](const endpoint_record& record) {
        return placement_hash(criteria.release + "/" + record.name);
    };
    std::sort(records.begin(), records.end(),
              [&](const auto& l, const auto& r) { return rank_of(l) < rank_of(r); });
    if (criteria.uses_single_endpoint) {
        records.resize(1);
        return;
    }
    auto wanted = static_cast<std::size_t>(
        std::max(1.0, std::ceil(static_cast<double>(records.size()) * criteria.endpoint_share)));
    std::vector<endpoint_record> ordered = records;
    const std::size_t domains = interleave_domains(ordered);
    if (records.size() >= domains * min_endpoints_per_domain) {
        records = std::move(ordered);
        wanted = std::max(wanted, domains);
    }
    records.resize(std::min(records.size(), wanted));
}

} // namespace

std::optional<endpoint_record> endpoint_table::choose(const endpoint_criteria& criteria, time_point now,
                                                      const endpoint_filter& may_be_used) {
    std::vector<endpoint_state*> eligible;
    for (auto& [name, endpoint] : endpoints_) {
        if (is_eligible(endpoint, criteria, now) && (!may_be_used || may_be_used(endpoint.record))) {
            eligible.push_back(&endpoint);
        }
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    const auto by_in_flight = [](const auto* l, const auto* r) { return l->in_flight < r->in_flight; };
    switch (policy_) {
    case endpoint_policy::round_robin:
        return eligible[round_robin_index_++ % eligible.size()]->record;
    case endpoint_policy::random:
        return eligible[random_.below(eligible.size())]->record;
    case endpoint_policy::least_in_flight:
        return (*std::min_element(eligible.begin(), eligible.end(), by_in_flight))->record;
    case endpoint_policy::least_expected_latency:
        break;
    }
    return choose_by_expected_latency(eligible, criteria, now)->record;
}

std::vector<endpoint_record> endpoint_table::eligible(const endpoint_criteria& criteria, time_point now,
                                                      const endpoint_filter& may_be_used) {
    std::vector<endpoint_record> records;
    for (auto& [name, endpoint] : endpoints_) {
        if (is_eligible(endpoint, criteria, now) && (!may_be_used || may_be_used(endpoint.record))) {
            records.push_back(endpoint.record);
        }
    }
    keep_endpoint_share(records, criteria);
    return records;
}

void endpoint_table::on_call_started(const std::string& name, const endpoint_criteria& criteria,
                                     time_point now) {
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end()) {
        return;
    }
    endpoint_state& endpoint = found->second;
    ++endpoint.in_flight;
    if (criteria.prefix.empty()) {
        return;
    }
    endpoint.prefixes.push_front({placement_hash(criteria.prefix), now});
    if (endpoint.prefixes.size() > max_prefixes) {
        endpoint.prefixes.pop_back();
    }
}

void endpoint_table::record_failure(endpoint_state& endpoint, call_result result, duration took,
                                    time_point now) {
    if (endpoint.failures == 0) {
        endpoint.silent_since = now - took;
    }
    ++endpoint.failures;
    const bool may_be_paused =
        result == call_result::unanswered && now - endpoint.silent_since < longest_pause;
    const bool is_enough = endpoint.failures >= failures_to_eject || endpoint.state == "probing";
    if (is_enough && !may_be_paused) {
        eject(endpoint, now);
    }
}

void endpoint_table::eject(endpoint_state& endpoint, time_point now) {
    const int doublings = std::min(4, endpoint.failures - failures_to_eject);
    const duration ejection_time = first_ejection * (1 << std::max(0, doublings));
    endpoint.ejected_until = now + std::min(ejection_time, max_ejection);
    apply_event(endpoint, "failed");
    log_info("endpoint_ejected", {{"endpoint", endpoint.record.name},
                                  {"service", endpoint.record.pool},
                                  {"failures", endpoint.failures},
                                  {"for_ms", to_ms(endpoint.ejected_until - now)}});
}

void endpoint_table::reinstate(endpoint_state& endpoint) {
    endpoint.failures = 0;
    if (endpoint.state == "probing") {
        apply_event(endpoint, "answered");
        log_info("endpoint_reinstated",
                 {{"endpoint", endpoint.record.name}, {"service", endpoint.record.pool}});
    }
}

double endpoint_table::lowest_average_latency_ms(const std::string& pool) const {
    double best = 0;
    for (const auto& [name, endpoint] : endpoints_) {
        if (endpoint.record.pool == pool && endpoint.average_latency_ms > 0) {
            best = best == 0 ? endpoint.average_latency_ms : std::min(best, endpoint.average_latency_ms);
        }
    }
    return best;
}

// Lowers the limit while the endpoint reports a queue, and raises it otherwise. Answer times do not show
// overload: they vary several times over with the length of the answer and with a cached prefix.
void endpoint_table::adapt_limit(endpoint_state& endpoint) {
    const limit_range range = limits_of(endpoint.record.pool);
    if (endpoint.report.queued > 0) {
        endpoint.limit = std::max(range.fair, endpoint.limit - limit_step);
    } else {
        endpoint.limit = std::min(range.largest, endpoint.limit + limit_step / endpoint.limit);
    }
}

void endpoint_table::on_call_progress(const std::string& name, duration took) {
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end() || found->second.state != "probing") {
        return;
    }
    const double usual_ms = average_latency_ms(found->second.record.pool);
    if (usual_ms > 0 && to_ms(took) >= usual_ms) {
        reinstate(found->second);
    }
}

void endpoint_table::on_call_ended(const std::string& name, call_result result, duration took,
                                   time_point now) {
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end()) {
        return;
    }
    endpoint_state& endpoint = found->second;
    endpoint.in_flight = std::max(0, endpoint.in_flight - 1);
    if (result == call_result::leaving) {
        mark_leaving(name, now);
    } else if (result == call_result::answered) {
        reinstate(endpoint);
        const double ms = to_ms(took);
        endpoint.average_latency_ms = endpoint.average_latency_ms == 0
                                          ? ms
                                          : endpoint.average_latency_ms * (1 - smoothing) + ms * smoothing;
        adapt_limit(endpoint);
    } else if (result != call_result::cancelled) {
        endpoint.limit = std::max(1.0, endpoint.limit * limit_decrease_factor);
        // What was under way at the ejection shows the same fault, and must not double its time once for
        // each.
        if (endpoint.state != "ejected") {
            record_failure(endpoint, result, took, now);
        }
    }
    if (endpoint.state == "gone" && endpoint.in_flight == 0) {
        endpoints_.erase(found);
    }
}

void endpoint_table::end_ejections(const std::string& pool, time_point now) {
    for (auto& [name, endpoint] : endpoints_) {
        if (endpoint.record.pool == pool && endpoint.state == "ejected") {
            endpoint.ejected_until = now;
            endpoint.failures = 0;
        }
    }
}

void endpoint_table::on_load_report(const std::string& name, const load_report& report, time_point now) {
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end() || report.running < 0) {
        return;
    }
    found->second.report = report;
    found->second.reported_at = now;
    found->second.in_flight_at_report = found->second.in_flight;
}

void endpoint_table::on_version_missing(const std::string& name, const version_name& version,
                                        time_point now) {
    const auto found = endpoints_.find(name);
    if (found != endpoints_.end()) {
        found->second.missing_until[version] = now + missing_version_ttl;
    }
}

int endpoint_table::in_flight(const std::string& pool) const {
    int total = 0;
    for (const auto& [name, endpoint] : endpoints_) {
        total += endpoint.record.pool == pool ? endpoint.in_flight : 0;
    }
    return total;
}

double endpoint_table::capacity(const std::string& pool) const {
    double total = 0;
    for (const auto& [name, endpoint] : endpoints_) {
        const bool counts = endpoint.state == "live" || endpoint.state == "probing";
        total += counts && endpoint.record.pool == pool ? std::max(1.0, std::floor(endpoint.limit)) : 0;
    }
    return total;
}

double endpoint_table::average_latency_ms(const std::string& pool) const {
    double sum = 0;
    int known = 0;
    for (const auto& [name, endpoint] : endpoints_) {
        if (endpoint.record.pool == pool && endpoint.average_latency_ms > 0) {
            sum += endpoint.average_latency_ms;
            ++known;
        }
    }
    return known == 0 ? 0 : sum / known;
}

} // namespace laurelhoist
