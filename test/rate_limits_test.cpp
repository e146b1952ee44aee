#include "placement/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace laurelhoist {
namespace {

const time_point start = time_point{} + seconds(100);

endpoint_record engine(const std::string& name, std::int64_t started_at_ms = 1000) {
    endpoint_record made{name, "10.0.0.1:9000", "hall0", "pool", "live", "v1"};
    made.started_at_ms = started_at_ms;
    return made;
}

/** A statement of an answer that took 100 ms from request to head, which came \p at after the start. */
limit_statement said(std::optional<double> limit, duration at) {
    return {limit, start + at - milliseconds(100), start + at};
}

rate_limits knowing(const std::string& host) {
    rate_limits made(host);
    made.update({engine("e")}, start);
    return made;
}

bool hear(rate_limits& limits, const limit_statement& statement) {
    return limits.note(engine("e"), statement, statement.heard_at);
}

// Guards against a limit that is lifted by an answer which was made before it was named.
TEST(rate_limits, an_overtaken_answer_lifts_nothing) {
    rate_limits limits = knowing("host0");
    EXPECT_TRUE(hear(limits, said(2.0, milliseconds(1000))));
    EXPECT_FALSE(hear(limits, said(std::nullopt, milliseconds(1050))));
    EXPECT_FALSE(hear(limits, said(5.0, milliseconds(1050))));
    EXPECT_EQ(limits.limit_of("e"), 2.0);
    EXPECT_TRUE(hear(limits, said(std::nullopt, milliseconds(1200))));
    EXPECT_EQ(limits.limit_of("e"), std::nullopt);
}

// Guards against a stricter limit that is taken for old news.
TEST(rate_limits, a_stricter_limit_holds_at_once) {
    rate_limits limits = knowing("host0");
    hear(limits, said(5.0, milliseconds(1000)));
    EXPECT_TRUE(hear(limits, said(2.0, milliseconds(980))));
    EXPECT_EQ(limits.limit_of("e"), 2.0);
    EXPECT_FALSE(hear(limits, said(1.0, milliseconds(500)))) << "that was before both";
}

// Guards against a new process that is held to the limit of the one before.
TEST(rate_limits, a_restart_clears_the_limit) {
    rate_limits limits = knowing("host0");
    hear(limits, said(2.0, milliseconds(1000)));
    limits.update({engine("e")}, start);
    EXPECT_EQ(limits.limit_of("e"), 2.0);
    limits.update({engine("e", 9000)}, start);
    EXPECT_EQ(limits.limit_of("e"), std::nullopt);
}

// Guards against a host that hears of an older state after a newer one and believes it.
TEST(rate_limits, a_lifted_limit_does_not_come_back_with_late_news) {
    rate_limits told = knowing("host0");
    hear(told, said(2.0, milliseconds(1000)));
    const std::vector<limit_notice> limited = told.take_untold(start + milliseconds(1010));
    hear(told, said(std::nullopt, milliseconds(1500)));
    const std::vector<limit_notice> lifted = told.take_untold(start + milliseconds(1510));
    rate_limits other = knowing("host1");
    EXPECT_EQ(other.merge(limited, start + milliseconds(1010)), std::vector<std::string>{"e"});
    EXPECT_EQ(other.merge(lifted, start + milliseconds(1510)), std::vector<std::string>{"e"});
    EXPECT_TRUE(other.merge({{limited[0].process, 2.0, 620, 520}}, start + milliseconds(1520)).empty());
    EXPECT_EQ(other.limit_of("e"), std::nullopt);
}

// Guards against a request that is sent although the limit came while its connection was made.
TEST(rate_limits, what_was_chosen_before_a_limit_is_known_by_its_time) {
    rate_limits limits = knowing("host0");
    hear(limits, said(2.0, milliseconds(1000)));
    EXPECT_TRUE(limits.has_tightened_since("e", start + milliseconds(990)));
    EXPECT_FALSE(limits.has_tightened_since("e", start + milliseconds(1010)));
    hear(limits, said(std::nullopt, milliseconds(1200)));
    EXPECT_FALSE(limits.has_tightened_since("e", start + milliseconds(1100)));
}

// Guards against news that come before the list of endpoints.
TEST(rate_limits, news_of_an_endpoint_that_is_not_listed_yet_are_kept) {
    rate_limits limits("host0");
    limits.merge({{process_code("e", 1000), 2.0, 100, 0}}, start);
    limits.update({engine("e")}, start + seconds(1));
    EXPECT_EQ(limits.limit_of("e"), 2.0);
}

// Guards against values that no endpoint means: the time to the next request must stay a time.
RC_GTEST_PROP(rate_limits, any_limit_leaves_room_now_and_then, (double limit, std::int64_t age)) {
    rate_limits limits = knowing("host0");
    host_status alone;
    alone.name = "host0";
    alone.state = "serving";
    limits.merge({{process_code("e", 1000), limit, age, age}}, start);
    limits.set_hosts({{alone}, true}, start);
    RC_ASSERT(limits.may_send_within("e", seconds(5), start));
}

// Guards against a part of the limit that stays as it was when more hosts come to use the endpoint.
TEST(rate_limits, a_known_number_of_sharers_take_even_parts) {
    rate_limits limits = knowing("host0");
    const auto sent_in_20_s = [&limits](time_point since) {
        int sent = 0;
        for (time_point now = since; now < since + seconds(20); now += milliseconds(50)) {
            if (limits.may_send_within("e", duration::zero(), now)) {
                limits.on_sent("e", now);
                ++sent;
            }
        }
        return sent;
    };
    limits.set_sharers("pool", 1);
    limits.set_hosts({{}, true}, start);
    hear(limits, said(4.0, milliseconds(0)));
    EXPECT_NEAR(sent_in_20_s(start), 80, 4);
    limits.set_sharers("pool", 4);
    limits.set_hosts({{}, true}, start + seconds(20));
    EXPECT_NEAR(sent_in_20_s(start + seconds(20)), 20, 2);
}

/** Hosts before one endpoint that names a limit with each answer. Work waits at every host all the time. */
class limited_fleet {
public:
    limited_fleet(std::size_t hosts, double limit, unsigned seed) : limit_{limit}, random_{seed} {
        for (std::size_t i = 0; i < hosts; ++i) {
            host_status status;
            status.name = "host" + std::to_string(i);
            status.domain = "hall" + std::to_string(i % 4);
            status.state = "serving";
            statuses_.push_back(status);
        }
        for (const host_status& status : statuses_) {
            hosts_.push_back(member{knowing(status.name), statuses_, {}, {}, true});
        }
    }

    void run(duration time) {
        for (const time_point end = now_ + time; now_ < end; now_ += tick) {
            ++ticks_;
            deliver_answers();
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                step(i);
            }
        }
    }

    /** The share of datagrams that are lost from now on. */
    void lose(double share) { loss_ = share; }
    /** Host \p number dies; each other host takes it for live for up to 2.5 s more. */
    void kill(std::size_t number) {
        hosts_[number].is_alive = false;
        for (member& each : hosts_) {
            each.forgets = {now_ + milliseconds(random_.below(2500)), statuses_[number].name};
        }
    }
    /** Host \p number starts anew and knows nothing. */
    void restart(std::size_t number) {
        hosts_[number] = member{knowing(statuses_[number].name), statuses_, {}, {}, true};
        hosts_[number].started_at = now_;
    }

    /** \return the most that hosts which had passed on the limit sent within 4 s. */
    std::size_t most_in_window() const { return most_in_window_; }
    std::size_t sent_since(time_point since) const {
        return static_cast<std::size_t>(
            std::count_if(sent_.begin(), sent_.end(), [since](time_point at) { return at >= since; }));
    }
    time_point now() const { return now_; }

    static constexpr duration tick = milliseconds(50);
    static constexpr duration window = seconds(4);
    static constexpr duration until_it_binds = seconds(3); ///< from the endpoint's first word of it

private:
    struct forgotten {
        time_point at;
        std::string host;
    };
    struct member {
        rate_limits limits;
        std::vector<host_status> view;
        std::optional<time_point> told_at;
        forgotten forgets;
        bool is_alive = true;
        time_point started_at{};
    };
    struct answer {
        std::size_t host;
        time_point sent_at;
        time_point due;
    };

    void deliver_answers() {
        while (!answers_.empty() && answers_.front().due <= now_) {
            const answer given = answers_.front();
            answers_.erase(answers_.begin());
            member& host = hosts_[given.host];
            if (!host.is_alive || given.sent_at < host.started_at) {
                continue;
            }
            host.told_at = host.told_at.value_or(now_);
            if (host.limits.note(engine("e"), {limit_, given.sent_at, now_}, now_)) {
                const std::vector<limit_notice> news = host.limits.take_untold(now_);
                for (std::size_t other = 0; other < hosts_.size(); ++other) {
                    tell(other, news);
                }
            }
        }
    }

    void tell(std::size_t other, const std::vector<limit_notice>& news) {
        if (hosts_[other].is_alive && random_.uniform() >= loss_) {
            hosts_[other].limits.merge(news, now_);
        }
    }

    void step(std::size_t number) {
        member& host = hosts_[number];
        if (!host.is_alive) {
            return;
        }
        constexpr std::uint64_t ticks_of_upkeep = 5;
        constexpr std::uint64_t ticks_of_round = 8;
        if ((ticks_ + number) % ticks_of_upkeep == 0) {
            if (!host.forgets.host.empty() && now_ >= host.forgets.at) {
                host.view.erase(
                    std::remove_if(host.view.begin(), host.view.end(),
                                   [&](const auto& each) { return each.name == host.forgets.host; }),
                    host.view.end());
            }
            const bool knows_others = host.started_at == time_point{} || now_ - host.started_at > seconds(3);
            host.limits.set_hosts({host.view, knows_others}, now_);
        }
        if ((ticks_ + number) % ticks_of_round == 0) {
            for (int i = 0; i < 3; ++i) {
                tell(random_.below(hosts_.size()), host.limits.next_known(8, now_));
            }
        }
        if (host.limits.may_send_within("e", duration::zero(), now_)) {
            send(number);
        }
    }

    void send(std::size_t number) {
        member& host = hosts_[number];
        host.limits.on_sent("e", now_);
        answers_.push_back({number, now_, now_ + milliseconds(100)});
        sent_.push_back(now_);
        const bool is_told = host.told_at && now_ - *host.told_at >= milliseconds(500);
        if (!is_told || now_ < start + until_it_binds) {
            return;
        }
        counted_.push_back(now_);
        while (now_ - counted_.front() >= window) {
            counted_.erase(counted_.begin());
        }
        most_in_window_ = std::max(most_in_window_, counted_.size());
    }

    double limit_;
    random_source random_;
    std::vector<host_status> statuses_;
    std::vector<member> hosts_;
    std::vector<answer> answers_;
    std::vector<time_point> sent_;
    std::vector<time_point> counted_;
    std::size_t most_in_window_ = 0;
    double loss_ = 0;
    std::uint64_t ticks_ = 0;
    time_point now_ = start;
};

double bound_of(double limit) {
    return 1.5 * 4 * limit + 5;
}

// Guards against hosts that each keep the limit for themselves, and against views of the fleet that differ:
// news are lost, hosts die and start anew.
RC_GTEST_PROP(rate_limits, no_four_seconds_hold_more_than_the_bound, ()) {
    const auto hosts = *rc::gen::inRange<std::size_t>(3, 41);
    const double limit = *rc::gen::element(0.0, 0.3, 1.0, 1.7, 2.3, 5.0, 12.0);
    limited_fleet fleet(hosts, limit, *rc::gen::inRange(0U, 1000000U));
    fleet.lose(*rc::gen::element(0.0, 0.05, 0.5));
    fleet.run(milliseconds(*rc::gen::inRange(2000, 6000)));
    fleet.kill(*rc::gen::inRange<std::size_t>(0, hosts));
    fleet.run(milliseconds(*rc::gen::inRange(0, 4000)));
    fleet.restart(*rc::gen::inRange<std::size_t>(0, hosts));
    fleet.run(seconds(8));
    RC_ASSERT(static_cast<double>(fleet.most_in_window()) <= bound_of(limit));
}

// Guards against a bound that holds on small fleets only, and against one that starves the endpoint.
TEST(rate_limits, a_limit_is_kept_and_used_at_every_size) {
    constexpr double least_use = 0.8;
    for (const std::size_t hosts : {3U, 30U, 100U, 300U, 400U}) {
        for (const double limit : {1.7, 4.0}) {
            limited_fleet fleet(hosts, limit, 7);
            fleet.run(seconds(4));
            const time_point since = fleet.now();
            fleet.run(seconds(20));
            const double used = static_cast<double>(fleet.sent_since(since)) / (20 * limit);
            RecordProperty("use_by_" + std::to_string(hosts), std::to_string(used));
            EXPECT_LE(static_cast<double>(fleet.most_in_window()), bound_of(limit)) << hosts;
            EXPECT_GE(used, least_use) << hosts << " hosts, limit " << limit;
        }
    }
}

} // namespace
} // namespace laurelhoist
