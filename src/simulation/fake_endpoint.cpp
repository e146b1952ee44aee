#include "simulation/fake_endpoint.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr std::size_t max_cached_prefixes = 40;
constexpr double cached_prefix_time_factor = 0.35;
constexpr std::size_t max_queue_length = 200;
constexpr double service_ms = 20;
constexpr std::size_t max_load_samples = 200;

duration from_ms(double ms) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

fake_endpoint::fake_endpoint(virtual_clock& clock, endpoint_record endpoint, int slots, std::uint64_t seed)
    : record{std::move(endpoint)}, clock_{clock}, random_{seed}, slots_{slots} {}

endpoint_answer fake_endpoint::refusal(call_result result) {
    endpoint_answer answer;
    answer.result = result;
    return answer;
}

void fake_endpoint::call(const endpoint_call& call, const handlers& to) {
    if (is_dead) {
        to.on_answer(refusal(call_result::refused_not_run));
        return;
    }
    arrivals.push_back(clock_.now());
    if (statement.back_off) {
        endpoint_answer back_off_refusal = refusal(call_result::refused_not_run);
        back_off_refusal.statement = statement;
        to.on_answer(back_off_refusal);
        return;
    }
    if (is_leaving) {
        to.on_answer(refusal(call_result::leaving));
        return;
    }
    if (!call.version.empty() && loaded.count(call.version) == 0) {
        endpoint_answer missing = refusal(call_result::refused_not_run);
        missing.version_missing = true;
        missing.report = report();
        to.on_answer(missing);
        return;
    }
    if (queue_.size() >= max_queue_length) {
        to.on_answer(refusal(call_result::refused_not_run));
        return;
    }
    auto work = std::make_shared<job>();
    work->call = call;
    work->to = to;
    work->next_part = call.resume_from;
    jobs_[call.call_id] = work;
    queue_.push_back(work);
    record_load_sample();
    begin_next();
}

void fake_endpoint::cancel(const std::string& call_id) {
    const auto found = jobs_.find(call_id);
    if (found != jobs_.end()) {
        found->second->is_cancelled = true;
    }
}

void fake_endpoint::order(const engine_order& order) {
    if (checks_fence && order.fence < highest_fence_) {
        ++fenced_orders;
        return;
    }
    highest_fence_ = std::max(highest_fence_, order.fence);
    if (order.action == "unload") {
        loaded.erase(order.version);
        return;
    }
    clock_.after(load_time, [this, version = order.version] { loaded.insert(version); });
}

void fake_endpoint::begin_next() {
    while (running_ < slots_ && !queue_.empty()) {
        const shared_job work = queue_.front();
        queue_.pop_front();
        if (work->is_cancelled) {
            jobs_.erase(work->call.call_id);
            continue;
        }
        ++running_;
        ++begun;
        record_load_sample();
        if (observer.on_begin) {
            observer.on_begin(work->call, record);
        }
        run(work);
    }
}

double fake_endpoint::first_token_ms(const shared_job& work) {
    const std::string prefix = work->call.body.value("prefix", "");
    const auto cached = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    const bool is_hit = !prefix.empty() && cached != prefixes_.end();
    if (is_hit) {
        ++prefix_hits;
        prefixes_.erase(cached);
    }
    if (!prefix.empty()) {
        prefixes_.push_front(prefix);
    }
    if (prefixes_.size() > max_cached_prefixes) {
        prefixes_.pop_back();
    }
    const double full = behaviours[work->call.version].first_token_ms;
    return slow_factor * (is_hit ? full * cached_prefix_time_factor : full);
}

// Every running and queued call fails when the process ends.
void fake_endpoint::end_process() {
    is_dead = true;
    running_ = 0;
    queue_.clear();
    std::map<std::string, shared_job> lost;
    lost.swap(jobs_);
    record_load_sample();
    for (const auto& [call_id, work] : lost) {
        if (!work->is_cancelled) {
            work->is_cancelled = true;
            work->to.on_answer(refusal(call_result::failed));
        }
    }
}

void fake_endpoint::run(const shared_job& work) {
    if (!crash_marker.empty() && work->call.body.value("marker", "") == crash_marker) {
        constexpr double end_ms = 30;
        clock_.after(from_ms(end_ms), [this] {
            if (!is_dead) {
                end_process();
            }
        });
        return;
    }
    if (work->call.version.empty()) {
        clock_.after(from_ms(service_ms * slow_factor), [this, work] { end(work, true); });
        return;
    }
    const double token_ms = behaviours[work->call.version].token_ms * slow_factor;
    const int tokens = work->call.body.value("tokens", 20);
    const double first = first_token_ms(work);
    if (work->call.stream) {
        clock_.after(from_ms(first), [this, work, token_ms] { send_part(work, token_ms); });
        return;
    }
    clock_.after(from_ms(first + token_ms * tokens), [this, work] { end(work, true); });
}

void fake_endpoint::send_part(const shared_job& work, double token_ms) {
    const int tokens = work->call.body.value("tokens", 20);
    if (work->is_cancelled || is_silent || is_dead) {
        end(work, false);
        return;
    }
    if (work->next_part >= tokens) {
        end(work, true);
        return;
    }
    const std::string marker = work->call.body.value("marker", "");
    const std::string text = marker + "/" + std::to_string(work->next_part) + " ";
    work->to.on_part(work->next_part, text);
    if (random_.chance(duplicate_part_share)) {
        work->to.on_part(work->next_part, text);
    }
    ++work->next_part;
    clock_.after(from_ms(token_ms), [this, work, token_ms] { send_part(work, token_ms); });
}

endpoint_answer fake_endpoint::answer_of(const shared_job& work) {
    endpoint_answer answer;
    answer.result = call_result::answered;
    answer.request_id = work->call.request_id;
    answer.status = 200;
    answer.report = report();
    answer.statement = statement;
    std::string marker = work->call.body.value("marker", "");
    if (mixes_answers && random_.chance(0.3)) {
        answer.request_id = "req-of-another";
        marker = "answer-of-another";
    }
    if (work->call.version.empty()) {
        answer.body = {{"done", marker}};
        return answer;
    }
    const version_behaviour& behaviour = behaviours[work->call.version];
    const bool is_good =
        work->call.body.value("difficulty", 0.5) < behaviour.skill && !random_.chance(behaviour.noise);
    answer.version = names_wrong_version ? "other@0" : work->call.version;
    answer.tokens = work->call.body.value("tokens", 20);
    answer.text = marker + (is_good ? " score=0.9" : " score=0.3");
    return answer;
}

void fake_endpoint::end(const shared_job& work, bool with_answer) {
    if (jobs_.erase(work->call.call_id) == 0) {
        return; // The call failed when the process ended.
    }
    --running_;
    record_load_sample();
    if (with_answer && !work->is_cancelled && !is_silent && !is_dead) {
        work->to.on_answer(random_.chance(cut_answer_share) ? refusal(call_result::failed) : answer_of(work));
    } else if (is_dead && !work->is_cancelled) {
        work->to.on_answer(refusal(call_result::failed));
    }
    begin_next();
}

void fake_endpoint::record_load_sample() {
    samples_.push_back({clock_.now(), running_, static_cast<int>(queue_.size())});
    if (samples_.size() > max_load_samples) {
        samples_.pop_front();
    }
}

load_report fake_endpoint::report() const {
    load_report report;
    report.versions.assign(loaded.begin(), loaded.end());
    report.running = 0;
    for (const load_sample& sample : samples_) {
        if (sample.at + report_lag <= clock_.now()) {
            report.running = sample.running;
            report.queued = sample.queued;
        }
    }
    return report;
}

} // namespace laurelhoist
