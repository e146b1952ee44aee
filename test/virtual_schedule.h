/** \file
 * Defines a schedule of tasks in virtual time, for simulations of several hosts. Times are in ms.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <queue>
#include <tuple>
#include <vector>

namespace laurelhoist {

/** Runs tasks in the order of their times, and those of the same time in the order in which they were added.
 */
class virtual_schedule {
public:
    std::int64_t now() const { return now_; }
    void at(std::int64_t time, std::function<void()> run) { tasks_.push({time, ++added_, std::move(run)}); }
    void after(std::int64_t delay, std::function<void()> run) { at(now_ + delay, std::move(run)); }

    /** Runs all tasks up to \p end, also those that they add. */
    void run(std::int64_t end = std::numeric_limits<std::int64_t>::max()) {
        while (!tasks_.empty() && tasks_.top().at <= end) {
            const task next = tasks_.top();
            tasks_.pop();
            now_ = next.at;
            next.run();
        }
    }

private:
    struct task {
        std::int64_t at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const task& other) const {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    std::priority_queue<task> tasks_;
    std::uint64_t added_ = 0;
    std::int64_t now_ = 0;
};

} // namespace laurelhoist
