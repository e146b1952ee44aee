#include "standin/engine.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr std::size_t max_cached_prefixes = 64;
constexpr double cached_prefix_time_factor =
    0.3; ///< remaining share of the time to the first token if the prefix is cached
constexpr std::size_t max_queue_length = 64;
constexpr int default_tokens = 20;
constexpr int max_tokens_per_answer = 400;

int tokens_of(const json& body) {
    return std::clamp(body.value("max_tokens", default_tokens), 1, max_tokens_per_answer);
}

} // namespace

void weight_store::load(duration load_time, std::function<void()> done) {
    waiting_.emplace_back(load_time, std::move(done));
    begin_next();
}

void weight_store::begin_next() {
    if (waiting_.empty() || running_ >= max_concurrent_loads) {
        return;
    }
    ++running_;
    const auto [load_time, done] = waiting_.front();
    waiting_.pop_front();
    loop_.after(load_time, [this, done = done] {
        --running_;
        done();
        begin_next();
    });
}

stand_in_engine::stand_in_engine(event_loop& loop, const socket_address& address, engine_settings settings,
                                 weight_store& weights)
    : loop_{loop},
      settings_{std::move(settings)},
      weights_{weights},
      loaded_{settings_.loaded.begin(), settings_.loaded.end()} {
    server_ = std::make_unique<http_server>(
        loop, listen_target{"--config", address}, http_limits{},
        [this](const http_request& request, const std::shared_ptr<http_responder>& responder) {
            on_request(request, responder);
        });
}

void stand_in_engine::on_request(const http_request& request,
                                 const std::shared_ptr<http_responder>& responder) {
    if (faults_.mode == "silent") {
        return; // Neither answers nor closes, like a connection that was lost without a reset.
    }
    if (request.path == "/admin/status") {
        responder->reply(
            200, {}, json{{"versions", loaded_}, {"running", running_}, {"queued", queue_.size()}}.dump());
    } else if (request.path == "/admin/load" || request.path == "/admin/unload") {
        on_order(request.path.substr(std::string("/admin/").size()), request, responder);
    } else if (request.path == "/v1/chat/completions") {
        on_completion(request, responder);
    } else {
        responder->reply(404, {}, "{}");
    }
}

void stand_in_engine::on_order(const std::string& action, const http_request& request,
                               const std::shared_ptr<http_responder>& responder) {
    const json body = json::parse(request.body, nullptr, false);
    const std::int64_t fence = body.value("fence", std::int64_t{0});
    const std::string version = body.value("version", "");
    if (settings_.checks_fence && fence < highest_fence_) {
        ++counts_["orders_fenced"];
        responder->reply(412, {}, R"({"error":"old fencing number"})");
        return;
    }
    highest_fence_ = std::max(highest_fence_, fence);
    ++counts_["orders"];
    const auto skill = settings_.versions.find(version);
    if (action == "unload") {
        loaded_.erase(version);
    } else if (skill != settings_.versions.end() && !is_loaded(version) && loading_.insert(version).second) {
        weights_.load(milliseconds(skill->second.load_ms), [this, version] {
            loading_.erase(version);
            loaded_.insert(version);
        });
    }
    responder->reply(200, {}, "{}");
}

void stand_in_engine::on_completion(const http_request& request,
                                    const std::shared_ptr<http_responder>& responder) {
    auto work = std::make_shared<job>();
    work->request_id = request.header("x-request-id");
    work->body = json::parse(request.body, nullptr, false);
    work->version = work->body.value("model", "");
    work->is_stream = work->body.value("stream", false);
    work->resume_from = std::atoi(request.header("x-resume-from").c_str());
    work->next_part = work->resume_from;
    work->responder = responder;
    http_headers headers = headers_for(work);
    if (faults_.mode == "leaving") {
        headers["X-Not-Run"] = "1";
        headers["X-Leaving"] = "1";
        responder->reply(503, headers, R"({"error":"leaving"})");
    } else if (faults_.mode == "error") {
        responder->reply(500, headers, R"({"error":"broken"})");
    } else if (!is_loaded(work->version)) {
        headers["X-Not-Run"] = "1";
        headers["X-Version-Missing"] = "1";
        responder->reply(409, headers, R"({"error":"not loaded"})");
    } else if (queue_.size() >= max_queue_length) {
        headers["X-Not-Run"] = "1";
        responder->reply(429, headers, R"({"error":"busy"})");
    } else {
        responder->on_disconnect([work] { work->is_cancelled = true; });
        queue_.push_back(work);
        begin_next();
    }
}

void stand_in_engine::begin_next() {
    while (!queue_.empty() && running_ < settings_.slots) {
        const shared_job work = queue_.front();
        queue_.pop_front();
        if (!work->is_cancelled) {
            ++running_;
            ++counts_["begun"];
            run(work);
        }
    }
}

duration stand_in_engine::time_to_first_token(const shared_job& work) {
    const json& first = work->body["messages"][0];
    const std::string prefix = first.is_object() ? first.value("content", "") : "";
    const auto cached = std::find(cached_prefixes_.begin(), cached_prefixes_.end(), prefix);
    const bool is_cached = cached != cached_prefixes_.end();
    if (is_cached) {
        ++counts_["prefix_hits"];
        cached_prefixes_.erase(cached);
    }
    cached_prefixes_.push_front(prefix);
    if (cached_prefixes_.size() > max_cached_prefixes) {
        cached_prefixes_.pop_back();
    }
    const double base_ms = settings_.versions[work->version].first_token_ms * faults_.slow_factor;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(is_cached ? base_ms * cached_prefix_time_factor : base_ms));
}

void stand_in_engine::run(const shared_job& work) {
    const duration first = time_to_first_token(work);
    const auto token_ms = static_cast<int>(settings_.versions[work->version].token_ms * faults_.slow_factor);
    if (work->is_stream) {
        loop_.after(first, [this, work] {
            http_headers headers = headers_for(work);
            headers["Content-Type"] = "text/event-stream";
            work->responder->begin_stream(200, headers);
            send_part(work);
        });
        return;
    }
    loop_.after(first + milliseconds(token_ms * tokens_of(work->body)), [this, work] { send_whole(work); });
}

std::string stand_in_engine::answer_of(const shared_job& work) const {
    const version_skill& skill = settings_.versions.at(work->version);
    return "answer to " + work->request_id + " by " + work->version +
           " score=" + json(answer_score(skill, work->version, work->body)).dump();
}

http_headers stand_in_engine::headers_for(const shared_job& work) const {
    std::string versions;
    for (const std::string& version : loaded_) {
        versions += (versions.empty() ? "" : ",") + version;
    }
    return {{"X-Request-Id", work->request_id},
            {"X-Served-Version", faults_.mode == "wrong_version" ? "other@0" : work->version},
            {"X-Load-Running", std::to_string(running_)},
            {"X-Load-Queued", std::to_string(queue_.size())},
            {"X-Loaded-Versions", versions}};
}

void stand_in_engine::send_whole(const shared_job& work) {
    if (!work->is_cancelled && faults_.mode == "cut") {
        work->responder->abort();
    } else if (!work->is_cancelled) {
        const json body = {
            {"id", work->request_id},
            {"model", work->version},
            {"choices", json::array({{{"index", 0},
                                      {"message", {{"role", "assistant"}, {"content", answer_of(work)}}}}})},
            {"usage", {{"completion_tokens", tokens_of(work->body)}}}};
        work->responder->reply(200, headers_for(work), body.dump());
    }
    end(work);
}

void stand_in_engine::send_part(const shared_job& work) {
    const int tokens = tokens_of(work->body);
    if (work->is_cancelled || faults_.mode == "silent") {
        end(work);
        return;
    }
    if (faults_.mode == "cut" && work->next_part > 0) {
        work->responder->abort();
        end(work);
        return;
    }
    if (work->next_part >= tokens) {
        work->responder->write("data: [DONE]\n\n");
        work->responder->end_stream();
        end(work);
        return;
    }
    const bool is_last = work->next_part + 1 == tokens;
    const std::string text = is_last ? " " + answer_of(work) : "w" + std::to_string(work->next_part) + " ";
    const std::string named = faults_.mode == "wrong_version" ? "other@0" : work->version;
    work->responder->write(
        "data: " +
        json{{"id", work->request_id}, {"model", named}, {"index", work->next_part}, {"text", text}}.dump() +
        "\n\n");
    ++work->next_part;
    const auto token_ms = static_cast<int>(settings_.versions[work->version].token_ms * faults_.slow_factor);
    loop_.after(milliseconds(token_ms), [this, work] { send_part(work); });
}

void stand_in_engine::end(const shared_job& /*work*/) {
    --running_;
    ++counts_["ended"];
    begin_next();
}

json stand_in_engine::statistics() const {
    json statistics = counts_;
    statistics["running"] = running_;
    statistics["loaded"] = loaded_;
    return statistics;
}

} // namespace laurelhoist
