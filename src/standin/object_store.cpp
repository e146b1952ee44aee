#include "standin/object_store.h"

namespace laurelhoist {

namespace {

constexpr std::size_t max_value_bytes = 1 << 20;
const std::string objects_path = "/objects/";
const std::string watch_path = "/watch/";

http_headers version_header(std::int64_t version) {
    return {{"ETag", std::to_string(version)}};
}

} // namespace

object_store::object_store(event_loop& loop, const socket_address& address) : loop_{loop} {
    http_limits limits;
    limits.body_bytes = max_value_bytes;
    server_ = std::make_unique<http_server>(
        loop, listen_target{"--config", address}, limits,
        [this](const http_request& request, const std::shared_ptr<http_responder>& responder) {
            if (faults_.slow_ms == 0) {
                on_request(request, responder);
                return;
            }
            loop_.after(milliseconds(faults_.slow_ms),
                        [this, request, responder] { on_request(request, responder); });
        });
}

void object_store::on_request(const http_request& request, const std::shared_ptr<http_responder>& responder) {
    if (faults_.down) {
        ++counts_["refused_while_down"];
        responder->reply(503, {}, "{}");
    } else if (request.path == "/objects") {
        ++counts_["lists"];
        responder->reply(200, {}, list(request.parameter("prefix")).dump());
    } else if (request.path.rfind(watch_path, 0) == 0) {
        on_watch(request.path.substr(watch_path.size()), request, responder);
    } else if (request.path.rfind(objects_path, 0) != 0) {
        responder->reply(404, {}, "{}");
    } else if (request.method == "GET") {
        const std::string key = request.path.substr(objects_path.size());
        const auto found = objects_.find(key);
        const std::string held = request.header("if-none-match");
        if (found != objects_.end() && std::to_string(found->second.version) == held) {
            ++counts_["reads"];
            responder->reply(304, version_header(found->second.version), "");
            return;
        }
        on_get(key, responder);
    } else if (request.method == "PUT") {
        on_put(request.path.substr(objects_path.size()), request, responder);
    } else {
        responder->reply(405, {}, "{}");
    }
}

void object_store::on_get(const std::string& key, const std::shared_ptr<http_responder>& responder) {
    ++counts_["reads"];
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
        responder->reply(404, {}, "{}");
        return;
    }
    responder->reply(200, version_header(found->second.version), found->second.value.dump());
}

void object_store::on_put(const std::string& key, const http_request& request,
                          const std::shared_ptr<http_responder>& responder) {
    ++counts_["writes"];
    const auto found = objects_.find(key);
    const bool must_be_new = request.header("if-none-match") == "*";
    const std::string expected = request.header("if-match");
    const bool has_conflict =
        (must_be_new && found != objects_.end()) ||
        (!expected.empty() && (found == objects_.end() || std::to_string(found->second.version) != expected));
    if (has_conflict) {
        ++counts_["conflicts"];
        responder->reply(412, {}, "{}");
        return;
    }
    put(key, json::parse(request.body, nullptr, false));
    if (random_.chance(faults_.lose_answers)) {
        ++counts_["answers_lost"];
        responder->abort();
        return;
    }
    responder->reply(200, version_header(version_), "{}");
}

void object_store::put(const std::string& key, const json& value) {
    objects_[key] = {++version_, value};
    notify_watches(key);
}

void object_store::on_watch(const std::string& key, const http_request& request,
                            const std::shared_ptr<http_responder>& responder) {
    ++counts_["watches"];
    const std::int64_t since = std::atoll(request.parameter("since").c_str());
    const auto found = objects_.find(key);
    if (found != objects_.end() && found->second.version > since) {
        on_get(key, responder);
        return;
    }
    const int wait_ms = std::atoi(request.parameter("wait_ms").c_str());
    const auto position = watches_.insert(watches_.end(), {key, since, responder});
    loop_.after(milliseconds(std::max(1, wait_ms)), [position, responder] {
        if (position->responder == responder) {
            responder->reply(404, {}, "{}");
            position->responder.reset();
        }
    });
}

void object_store::notify_watches(const std::string& key) {
    for (pending_watch& watch : watches_) {
        if (watch.key == key && watch.responder) {
            on_get(key, watch.responder);
            watch.responder.reset();
        }
    }
}

json object_store::list(const std::string& prefix) const {
    json items = json::array();
    for (auto item = objects_.lower_bound(prefix);
         item != objects_.end() && item->first.rfind(prefix, 0) == 0; ++item) {
        items.push_back(
            {{"key", item->first}, {"version", item->second.version}, {"value", item->second.value}});
    }
    return {{"items", items}};
}

json object_store::statistics() const {
    json statistics = counts_;
    statistics["objects"] = objects_.size();
    return statistics;
}

} // namespace laurelhoist
