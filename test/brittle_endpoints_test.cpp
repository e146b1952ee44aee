#include "placement/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

std::vector<host_status> serving_hosts(std::size_t count) {
    std::vector<host_status> hosts(count);
    for (std::size_t i = 0; i < count; ++i) {
        hosts[i].name = "h" + std::to_string(i);
        hosts[i].domain = "d" + std::to_string(i % 3);
        hosts[i].state = "serving";
    }
    return hosts;
}

std::vector<endpoint_record> endpoints_of(std::size_t count) {
    std::vector<endpoint_record> endpoints;
    for (std::size_t i = 0; i < count; ++i) {
        endpoints.push_back(
            {"e" + std::to_string(i), "10.0.0.1:" + std::to_string(i), "d" + std::to_string(i % 3), "pool"});
    }
    return endpoints;
}

time_point at_ms(std::int64_t ms) {
    return time_point(seconds(100) + milliseconds(ms));
}

/** An endpoint that runs a few requests, rejects all others and ends when it has rejected too many. */
class brittle_standin {
public:
    brittle_standin(std::size_t slots, int borne) : slots_{slots}, borne_{borne} {}

    /** \return whether the request runs, until \p until. */
    bool take(std::int64_t now, std::int64_t until) {
        ended_.erase(std::remove_if(ended_.begin(), ended_.end(), [now](auto at) { return at <= now; }),
                     ended_.end());
        if (ended_.size() < slots_) {
            ended_.push_back(until);
            return true;
        }
        constexpr std::int64_t window_ms = 1000;
        rejected_.push_back(now);
        while (rejected_.front() <= now - window_ms) {
            rejected_.pop_front();
        }
        if (static_cast<int>(rejected_.size()) > borne_) {
            ++falls_;
            rejected_.clear();
        }
        return false;
    }
    int falls() const { return falls_; }

private:
    std::size_t slots_;
    int borne_;
    std::vector<std::int64_t> ended_; ///< when the running requests end
    std::deque<std::int64_t> rejected_;
    int falls_ = 0;
};

// Guards against endpoints that end because all hosts together have too many requests rejected, at any load.
RC_GTEST_PROP(brittle_endpoints, endpoints_do_not_fall_over_at_3_to_400_hosts, ()) {
    const auto hosts = *rc::gen::element<std::size_t>(3, 7, 20, 89, 400);
    const auto size = *rc::gen::inRange<std::size_t>(3, 10);
    const int borne = *rc::gen::inRange(1, 40);
    const auto slots = *rc::gen::inRange<std::size_t>(1, 8);
    const int work_ms = *rc::gen::inRange(10, 400);
    const std::vector<endpoint_record> endpoints = endpoints_of(size);
    std::vector<brittle_standin> standins(size, brittle_standin(slots, borne));
    std::vector<brittle_endpoints> views;
    for (const host_status& host : serving_hosts(hosts)) {
        views.emplace_back(host.name);
        views.back().update(endpoints);
        views.back().set_hosts({serving_hosts(hosts), true});
        views.back().note("pool", borne, at_ms(0), at_ms(0));
    }
    struct answer {
        std::size_t host;
        std::size_t endpoint;
        bool is_rejected;
    };
    std::multimap<std::int64_t, answer> answers; // by the time at which they arrive
    constexpr int step_ms = 10;
    for (std::int64_t now = 0; now < 2500; now += step_ms) {
        for (; !answers.empty() && answers.begin()->first <= now; answers.erase(answers.begin())) {
            const answer& each = answers.begin()->second;
            views[each.host].on_answered(endpoints[each.endpoint].name);
            if (each.is_rejected) {
                views[each.host].on_rejected(endpoints[each.endpoint].name, at_ms(now));
            }
        }
        for (std::size_t host = 0; host < hosts; ++host) { // Each host has requests for every endpoint.
            for (std::size_t i = 0; i < size; ++i) {
                if (!views[host].may_send(endpoints[i], false, at_ms(now))) {
                    continue;
                }
                views[host].on_sent(endpoints[i].name);
                const bool runs = standins[i].take(now, now + work_ms);
                answers.emplace(now + (runs ? work_ms : step_ms), answer{host, i, !runs});
            }
        }
    }
    for (const brittle_standin& each : standins) {
        RC_ASSERT(each.falls() == 0);
    }
}

// Guards against hosts that can serve nobody because all permits are held by others.
TEST(brittle_endpoints, a_host_without_permits_names_the_sponsors) {
    std::size_t without = 0;
    for (const host_status& host : serving_hosts(89)) {
        brittle_endpoints view(host.name);
        view.update(endpoints_of(4));
        view.set_hosts({serving_hosts(89), true});
        view.note("pool", 5, at_ms(0), at_ms(0));
        const std::set<std::string> sponsors = view.sponsors_instead_of_this_host("pool");
        without += sponsors.empty() ? 0 : 1;
        EXPECT_LE(sponsors.size(), 16U);
        EXPECT_EQ(sponsors.count(host.name), 0U);
    }
    EXPECT_GE(without, 89U - 16U);
}

// Guards against caution that stays when the endpoints are sound again.
TEST(brittle_endpoints, a_later_answer_without_the_statement_ends_the_brittle_time) {
    brittle_endpoints view("h0");
    view.note("pool", 3, at_ms(0), at_ms(100));
    view.note("pool", std::nullopt, at_ms(500), at_ms(600));
    EXPECT_TRUE(view.is_brittle("pool"));
    view.note("pool", std::nullopt, at_ms(1200), at_ms(1300));
    EXPECT_FALSE(view.is_brittle("pool"));
    EXPECT_TRUE(view.may_send(endpoints_of(1).front(), false, at_ms(1300)));
}

// Guards against odd statements that stop all requests, or are taken for a bound that is none.
TEST(brittle_endpoints, odd_numbers_leave_at_least_one_permit) {
    for (const double borne : {0.0, 0.3, -4.0, 1e300}) {
        brittle_endpoints view("h0");
        view.update(endpoints_of(1));
        view.set_hosts({serving_hosts(1), true});
        view.note("pool", borne, at_ms(0), at_ms(0));
        EXPECT_TRUE(view.may_send(endpoints_of(1).front(), false, at_ms(10))) << borne;
    }
}

} // namespace
} // namespace laurelhoist
