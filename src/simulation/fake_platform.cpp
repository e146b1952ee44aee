#include "simulation/fake_platform.h"

namespace laurelhoist {

namespace {

constexpr duration unknown_answer_delay = seconds(2);
constexpr duration watch_timeout = seconds(10);

bool is_write(const platform_request& request) {
    return request.what == platform_request::action::create ||
           request.what == platform_request::action::replace;
}

} // namespace

const platform_object* fake_platform::find(const std::string& key) const {
    const auto found = objects_.find(key);
    return found == objects_.end() ? nullptr : &found->second;
}

std::vector<platform_object> fake_platform::list(const std::string& prefix) const {
    std::vector<platform_object> items;
    for (auto item = objects_.lower_bound(prefix);
         item != objects_.end() && item->first.rfind(prefix, 0) == 0; ++item) {
        items.push_back(item->second);
    }
    return items;
}

platform_reply fake_platform::apply(const platform_request& request) {
    platform_reply reply;
    reply.operation = request.operation;
    reply.object.key = request.key;
    const auto found = objects_.find(request.key);
    const bool exists = found != objects_.end();
    const bool is_refused = (request.what == platform_request::action::create && exists) ||
                            (request.what == platform_request::action::replace &&
                             (!exists || found->second.version != request.expected_version));
    if (is_refused) {
        reply.what = platform_reply::result::conflict;
        return reply;
    }
    put(request.key, request.value);
    reply.what = platform_reply::result::ok;
    reply.object.version = version_;
    return reply;
}

void fake_platform::write(const platform_request& request, const reply_handler& on_answer) {
    ++writes;
    platform_reply unknown;
    unknown.operation = request.operation;
    unknown.what = platform_reply::result::unknown;
    if (random_.chance(faults.late_writes)) {
        constexpr double mean_lateness_ms = 4000;
        clock_.after(milliseconds(static_cast<int>(random_.exponential(mean_lateness_ms))),
                     [this, request] { apply(request); });
        clock_.after(unknown_answer_delay, [on_answer, unknown] { on_answer(unknown); });
        return;
    }
    const platform_reply reply = apply(request);
    if (random_.chance(faults.lost_answers)) {
        clock_.after(unknown_answer_delay, [on_answer, unknown] { on_answer(unknown); });
        return;
    }
    clock_.after(faults.delay, [on_answer, reply] { on_answer(reply); });
}

void fake_platform::call(const platform_request& request, reply_handler on_answer) {
    clock_.after(faults.delay, [this, request, on_answer = std::move(on_answer)] {
        platform_reply reply;
        reply.operation = request.operation;
        if (faults.is_down) {
            reply.what = platform_reply::result::unavailable;
            on_answer(reply);
            return;
        }
        if (is_write(request)) {
            write(request, on_answer);
            return;
        }
        ++reads;
        const platform_object* found = find(request.key);
        const bool is_watch = request.what == platform_request::action::watch;
        if (is_watch && (found == nullptr || found->version <= request.expected_version)) {
            reply.what = platform_reply::result::not_found;
            clock_.after(watch_timeout, [on_answer, reply] { on_answer(reply); });
            return;
        }
        const bool is_unchanged = found != nullptr && request.what == platform_request::action::get &&
                                  request.expected_version == found->version;
        reply.what = found == nullptr ? platform_reply::result::not_found : platform_reply::result::ok;
        if (is_unchanged) {
            reply.what = platform_reply::result::unchanged;
        } else if (found != nullptr) {
            reply.object = *found;
        }
        clock_.after(faults.delay, [on_answer, reply] { on_answer(reply); });
    });
}

} // namespace laurelhoist
