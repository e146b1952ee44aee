// How the relay places waiting requests when an endpoint may have room.
#include "relay/exchange.h"
#include "relay/relay.h"

#include <utility>

namespace laurelhoist {

namespace {

/// Requests that one step passes over because the endpoints with room do not suit them, such as those of a
/// session that stays with one release.
constexpr std::size_t max_passed_over = 16;

} // namespace

// Posted, because the change is noticed in the middle of another exchange's work, and several changes in one
// turn of the loop are then answered at once.
void relay::wake_waiting(const std::string& service) {
    const auto room = state_.waiting.find(service);
    if (room == state_.waiting.end() || room->second.size() == 0) {
        return;
    }
    if (woken_.empty()) {
        state_.loop.post([this] { serve_woken(); });
    }
    woken_.insert(service);
}

void relay::wake_all_waiting() {
    for (const auto& [service, room] : state_.waiting) {
        wake_waiting(service);
    }
}

void relay::serve_woken() {
    const std::set<std::string> services = std::exchange(woken_, {});
    for (const std::string& service : services) {
        serve_waiting(service);
    }
}

bool relay::has_room(const std::string& service) {
    endpoint_criteria any;
    any.pool = service;
    return state_.endpoints.choose(any, {}, {}, monotonic_now()).has_value();
}

bool relay::place_waiting(const std::string& service, std::set<std::string>& passed_over) {
    waiting_room& room = state_.waiting.at(service);
    waiting_room::selection allowed;
    allowed.may_place = [&passed_over](const std::string& id) { return passed_over.count(id) == 0; };
    for (std::size_t passed = 0; passed < max_passed_over;) {
        const waiting_request* next = room.next(monotonic_now(), allowed);
        if (next == nullptr) {
            return false;
        }
        const std::string id = next->id;
        const auto found = waiting_.find(id);
        const std::shared_ptr<exchange> head = found == waiting_.end() ? nullptr : found->second.lock();
        if (head == nullptr) {
            room.remove(id);
            waiting_.erase(id);
            continue;
        }
        bool has_left = true; // An exception ends the request, which leaves its place, too.
        run_guarded(*head, [&] { has_left = head->leave_room_if_served(); });
        if (has_left) {
            continue;
        }
        if (!has_room(service)) {
            return false;
        }
        head->on_passed_over();
        passed_over.insert(id);
        ++passed;
    }
    return true;
}

// The first are tried in each turn, as a change may have made room for them. The others are tried some at a
// time, so that a turn of the loop stays short however many wait.
void relay::serve_waiting(const std::string& service) {
    std::set<std::string> first;
    bool has_more = place_waiting(service, first);
    if (has_more) {
        std::set<std::string>& passed_over = passed_over_[service];
        passed_over.merge(first);
        has_more = place_waiting(service, passed_over);
    }
    if (has_more) {
        wake_waiting(service);
    } else {
        passed_over_.erase(service);
    }
}

} // namespace laurelhoist
