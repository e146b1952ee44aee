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

/** The statement in an answer whose head arrived \p at after the start, 100 ms after the request was sent. */
limit_statement answer_with(std::optional<double> limit, duration at) {
    return {limit, start + at - milliseconds(100), start + at};
}

rate_limits make_rate_limits(const std::string& host) {
    rate_limits made(host);
    made.update({engine("e")}, start);
    return made;
}

bool on_answer(rate_limits& limits, const limit_statement& statement) {
    return limits.note(engine("e"), statement, statement.heard_at);
}

// Guards against a limit that is lifted or loosened by an answer that may have been made before the limit.
TEST(rate_limits, an_overtaken_answer_does_not_lift_a_limit) {
    rate_limits limits = make_rate_limits("host0");
    EXPECT_TRUE(on_answer(limits, answer_with(2.0, milliseconds(1000))));
    EXPECT_FALSE(on_answer(limits, answer_with(std::nullopt, milliseconds(1050))));
    EXPECT_FALSE(on_answer(limits, answer_with(5.0, milliseconds(1050))));
    EXPECT_EQ(limits.limit_of("e"), 2.0);
    EXPECT_TRUE(on_answer(limits, answer_with(std::nullopt, milliseconds(1200))));
    EXPECT_EQ(limits.limit_of("e"), std::nullopt);
}

// Guards against a stricter limit that is discarded as outdated although it may be newer.
TEST(rate_limits, a_stricter_limit_takes_effect_at_once) {
    rate_limits limits = make_rate_limits("host0");
    on_answer(limits, answer_with(5.0, milliseconds(1000)));
    EXPECT_TRUE(on_answer(limits, answer_with(2.0, milliseconds(980))));
    EXPECT_EQ(limits.limit_of("e"), 2.0);
    EXPECT_FALSE(on_answer(limits, answer_with(1.0, milliseconds(500))))
        << "this statement is older than both";
}

// Guards against hosts that hold different limits of one endpoint because its overlapping answers reached
// them in different orders: some would send five requests a second, others none.
TEST(rate_limits, the_order_of_overlapping_statements_makes_no_difference) {
    const auto at = [](int ms) { return start + milliseconds(ms); };
    std::vector<limit_statement> statements = {
        {2.0, at(1000), at(1100)}, {5.0, at(1050), at(1150)}, {std::nullopt, at(1120), at(1200)}};
    std::vector<int> order = {0, 1, 2};
    do {
        rate_limits limits = make_rate_limits("host0");
        limits.note(engine("e"), {9.0, at(100), at(200)}, at(200)); // Makes the endpoint known as limited.
        for (const int each : order) {
            limits.note(engine("e"), statements[static_cast<std::size_t>(each)], at(1300));
        }
        EXPECT_EQ(limits.limit_of("e"), 5.0) << order[0] << order[1] << order[2];
    } while (std::next_permutation(order.begin(), order.end()));
}

// The same for any statements and any order, received from the endpoint or through another host.
RC_GTEST_PROP(rate_limits, hosts_agree_whatever_the_order_of_statements, ()) {
    const auto statement = rc::gen::exec([] {
        const int sent = *rc::gen::inRange(0, 400);
        const auto limit = *rc::gen::element<std::optional<double>>(std::nullopt, 1.0, 2.0, 5.0);
        const int heard = sent + *rc::gen::inRange(1, 200);
        return limit_statement{limit, start + milliseconds(sent), start + milliseconds(heard)};
    });
    const auto statements = *rc::gen::container<std::vector<limit_statement>>(statement);
    const time_point now = start + seconds(1);
    const limit_statement first{9.0, start - milliseconds(200), start - milliseconds(100)};
    rate_limits in_order = make_rate_limits("host0");
    rate_limits reversed = make_rate_limits("host1");
    rate_limits half = make_rate_limits("host2");
    for (rate_limits* each : {&in_order, &reversed, &half}) {
        each->note(engine("e"), first, now);
    }
    for (std::size_t i = 0; i < statements.size(); ++i) {
        in_order.note(engine("e"), statements[i], now);
        reversed.note(engine("e"), statements[statements.size() - 1 - i], now);
        if (i % 2 == 0) {
            half.note(engine("e"), statements[i], now);
        }
    }
    RC_ASSERT(in_order.limit_of("e") == reversed.limit_of("e"));
    constexpr std::size_t enough = 100;
    half.merge(in_order.next_to_gossip(enough, now), now);
    RC_ASSERT(half.limit_of("e") == in_order.limit_of("e"));
}

// Guards against the limit of an earlier process being applied to a new one under the same name.
TEST(rate_limits, a_restart_clears_the_limit) {
    rate_limits limits = make_rate_limits("host0");
    on_answer(limits, answer_with(2.0, milliseconds(1000)));
    limits.update({engine("e")}, start);
    EXPECT_EQ(limits.limit_of("e"), 2.0);
    limits.update({engine("e", 9000)}, start);
    EXPECT_EQ(limits.limit_of("e"), std::nullopt);
}

// Guards against a host that takes an older notice after a newer one and limits the endpoint again.
TEST(rate_limits, late_notices_do_not_restore_a_lifted_limit) {
    rate_limits source = make_rate_limits("host0");
    on_answer(source, answer_with(2.0, milliseconds(1000)));
    const std::vector<limit_notice> limited = source.take_pending(start + milliseconds(1010));
    on_answer(source, answer_with(std::nullopt, milliseconds(1500)));
    const std::vector<limit_notice> lifted = source.take_pending(start + milliseconds(1510));
    rate_limits other = make_rate_limits("host1");
    EXPECT_EQ(other.merge(limited, start + milliseconds(1010)), std::vector<std::string>{"e"});
    EXPECT_EQ(other.merge(lifted, start + milliseconds(1510)), std::vector<std::string>{"e"});
    EXPECT_TRUE(other.merge({{limited[0].process, 2.0, 620, 520}}, start + milliseconds(1520)).empty());
    EXPECT_EQ(other.limit_of("e"), std::nullopt);
}

// Guards against a request that is sent although the limit arrived while its connection was being made.
TEST(rate_limits, a_limit_learned_after_the_choice_is_detected) {
    rate_limits limits = make_rate_limits("host0");
    on_answer(limits, answer_with(2.0, milliseconds(1000)));
    EXPECT_TRUE(limits.has_changed_since("e", start + milliseconds(990)));
    EXPECT_FALSE(limits.has_changed_since("e", start + milliseconds(1010)));
    on_answer(limits, answer_with(std::nullopt, milliseconds(1200)));
    EXPECT_FALSE(limits.has_changed_since("e", start + milliseconds(1100)));
}

// Guards against the loss of notices that arrive before the list of endpoints.
TEST(rate_limits, notices_of_unlisted_endpoints_are_kept) {
    rate_limits limits("host0");
    limits.merge({{process_hash("e", 1000), 2.0, 100, 0}}, start);
    limits.update({engine("e")}, start + seconds(1));
    EXPECT_EQ(limits.limit_of("e"), 2.0);
}

// Guards against absurd limits and ages in a notice: the interval to the next request must stay finite.
RC_GTEST_PROP(rate_limits, every_limit_allows_a_request_within_five_seconds,
              (double limit, std::int64_t age)) {
    rate_limits limits = make_rate_limits("host0");
    host_status alone;
    alone.name = "host0";
    alone.state = "serving";
    limits.merge({{process_hash("e", 1000), limit, age, age}}, start);
    limits.set_hosts({{alone}, true}, start);
    RC_ASSERT(limits.may_send_within("e", seconds(5), start));
}

// Guards against a host that keeps its share of the limit when more hosts begin to use the endpoint.
TEST(rate_limits, sharers_send_even_shares) {
    rate_limits limits = make_rate_limits("host0");
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
    on_answer(limits, answer_with(4.0, milliseconds(0)));
    EXPECT_NEAR(sent_in_20_s(start), 80, 4);
    limits.set_sharers("pool", 4);
    limits.set_hosts({{}, true}, start + seconds(20));
    EXPECT_NEAR(sent_in_20_s(start + seconds(20)), 20, 2);
}

/** Hosts that send to one endpoint, which states a limit in each answer. Every host always has work. */
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
            hosts_.push_back(member{make_rate_limits(status.name), statuses_, {}, {}, true});
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

    /** Sets the share of datagrams that are lost from now on. */
    void lose(double share) { loss_ = share; }
    /** Stops host \p number without notice; each other host removes it from its view up to 2.5 s later. */
    void kill(std::size_t number) {
        hosts_[number].is_alive = false;
        for (member& each : hosts_) {
            each.removes = {now_ + milliseconds(random_.below(2500)), statuses_[number].name};
        }
    }
    /** Restarts host \p number without any state. */
    void restart(std::size_t number) {
        hosts_[number] = member{make_rate_limits(statuses_[number].name), statuses_, {}, {}, true};
        hosts_[number].started_at = now_;
    }

    /** \return the most requests within 4 s from hosts that had heard of the limit for at least 0.5 s. */
    std::size_t most_in_window() const { return most_in_window_; }
    std::size_t sent_since(time_point since) const {
        return static_cast<std::size_t>(
            std::count_if(sent_.begin(), sent_.end(), [since](time_point at) { return at >= since; }));
    }
    time_point now() const { return now_; }

    static constexpr duration tick = milliseconds(50);
    static constexpr duration window = seconds(4);
    static constexpr duration limit_grace = seconds(3); ///< time after the start that does not count

private:
    struct removal {
        time_point at;
        std::string host;
    };
    struct member {
        rate_limits limits;
        std::vector<host_status> view;
        std::optional<time_point> first_told_at;
        removal removes;
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
            host.first_told_at = host.first_told_at.value_or(now_);
            if (host.limits.note(engine("e"), {limit_, given.sent_at, now_}, now_)) {
                const std::vector<limit_notice> notices = host.limits.take_pending(now_);
                for (std::size_t other = 0; other < hosts_.size(); ++other) {
                    send_notices(other, notices);
                }
            }
        }
    }

    void send_notices(std::size_t other, const std::vector<limit_notice>& notices) {
        if (hosts_[other].is_alive && random_.uniform() >= loss_) {
            hosts_[other].limits.merge(notices, now_);
        }
    }

    void step(std::size_t number) {
        member& host = hosts_[number];
        if (!host.is_alive) {
            return;
        }
        constexpr std::uint64_t ticks_per_update = 5;
        constexpr std::uint64_t ticks_per_gossip_round = 8;
        if ((ticks_ + number) % ticks_per_update == 0) {
            if (!host.removes.host.empty() && now_ >= host.removes.at) {
                host.view.erase(
                    std::remove_if(host.view.begin(), host.view.end(),
                                   [&](const auto& each) { return each.name == host.removes.host; }),
                    host.view.end());
            }
            const bool has_full_view = host.started_at == time_point{} || now_ - host.started_at > seconds(3);
            host.limits.set_hosts({host.view, has_full_view}, now_);
        }
        if ((ticks_ + number) % ticks_per_gossip_round == 0) {
            for (int i = 0; i < 3; ++i) {
                send_notices(random_.below(hosts_.size()), host.limits.next_to_gossip(8, now_));
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
        const bool is_told = host.first_told_at && now_ - *host.first_told_at >= milliseconds(500);
        if (!is_told || now_ < start + limit_grace) {
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

// Guards against hosts that each use the whole limit, and against an exceeded limit while their views of the
// fleet differ because notices are lost, hosts stop without notice and hosts restart.
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

// Guards against a bound that holds on small fleets only, and against sponsors that use too little of it.
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
