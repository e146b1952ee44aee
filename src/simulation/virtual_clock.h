/** \file
 * Defines the virtual clock. It runs events in order of time; events of equal time run in the order in which
 * they were scheduled.
 */
#pragma once

#include "base/base.h"

#include <functional>
#include <queue>
#include <vector>

namespace laurelhoist {

class virtual_clock {
public:
    time_point now() const { return now_; }
    void at(time_point when, std::function<void()> work) {
        events_.push({std::max(when, now_), next_number_++, std::move(work)});
    }
    void after(duration delay, std::function<void()> work) { at(now_ + delay, std::move(work)); }
    /** Runs every event up to \p end. */
    void run_until(time_point end) {
        while (!events_.empty() && events_.top().when <= end) {
            const event next = events_.top();
            events_.pop();
            now_ = next.when;
            ++events_run_;
            next.work();
        }
        now_ = end;
    }
    std::uint64_t events_run() const { return events_run_; }

private:
    struct event {
        time_point when;
        std::uint64_t number = 0;
        std::function<void()> work;
        friend bool operator<(const event& left, const event& right) {
            return std::tie(right.when, right.number) < std::tie(left.when, left.number);
        }
    };
    std::priority_queue<event> events_;
    time_point now_{seconds(1000)};
    std::uint64_t next_number_ = 0;
    std::uint64_t events_run_ = 0;
};

} // namespace laurelhoist
