// How the relay places waiting requests when an endpoint may have room.
#include "relay/exchange.h"
#include "relay/relay.h"

#include <utility>

namespace laurelhoist {

namespace {

/// Requests that one turn passes over because the endpoints with room do not suit them, such as those of a
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

void relay::serve_waiting(const std::string& service) {
    waiting_room& room = state_.waiting.at(service);
    std::set<std::string> passed_over;
    waiting_room::selection allowed;
    allowed.may_place = [&passed_over](const std::string& id) { return passed_over.count(id) == 0; };
    while (passed_over.size() < max_passed_over) {
        const waiting_request* next = room.next(monotonic_now(), allowed);
        if (next == nullptr) {
            return;
        }
        const std::string id = next->id;
        const std::shared_ptr<exchange> head = waiting_.at(id).lock();
        if (head->leave_room_if_served()) {
            continue;
        }
        if (!has_room(service)) {
            return;
        }
        passed_over.insert(id);
    }
}

} // namespace laurelhoist
