#include "routing/routing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {

namespace {

const time_point begin{seconds(100)};

/** What became of one team's requests. */
struct served_team {
    int sent = 0;
    int served = 0;
    duration longest_wait{};
};

using teams_served = std::map<std::string, served_team>;
/** Takes the request that is served next from those that wait. */
using order = std::function<std::string(time_point)>;

struct burst_request {
    std::string team;
    time_point arrived;
};

constexpr duration objective = seconds(2);
constexpr duration max_wait = objective / 2;

/** Replays 10 s in which "flood" sends 32 requests a second and "small" 4, to a service that takes 20.
 * \param by_order whether the waiting room chooses, or one of those that wait by chance */
teams_served replay_burst(bool by_order) {
    waiting_room room;
    random_source random(7);
    std::map<std::string, burst_request> waiting;
    teams_served result;
    for (int step = 0; step < 200; ++step) {
        const time_point now = begin + step * milliseconds(50);
        for (int i = 0; i < (step % 5 == 0 ? 9 : 0); ++i) {
            const std::string team = i == 8 ? "small" : "flood";
            const std::string id = std::to_string(step) + "." + std::to_string(i);
            waiting[id] = {team, now};
            ++result[team].sent;
            room.push({id, team, 0, now + objective, now + 5 * objective}, now);
        }
        for (auto item = waiting.begin(); item != waiting.end();) {
            const bool is_refused = now - item->second.arrived > max_wait;
            if (is_refused) {
                room.remove(item->first);
            }
            item = is_refused ? waiting.erase(item) : std::next(item);
        }
        if (waiting.empty()) {
            continue;
        }
        const auto by_chance = std::next(waiting.begin(), static_cast<int>(random.below(waiting.size())));
        const std::string id = by_order ? room.pop(now, {})->id : by_chance->first;
        served_team& team = result[waiting.at(id).team];
        ++team.served;
        team.longest_wait = std::max(team.longest_wait, now - waiting.at(id).arrived);
        waiting.erase(id);
    }
    return result;
}

} // namespace

// Guards against a team of usual size that is refused because another one sends eight times as much.
TEST(waiting_room, a_burst_of_one_team_waits_behind_its_own_requests) {
    teams_served polled = replay_burst(false);
    EXPECT_LT(polled["small"].served, polled["small"].sent) << "the load does not press";
    teams_served ordered = replay_burst(true);
    EXPECT_GE(ordered["small"].served, ordered["small"].sent - 1); // The last one may arrive at the end.
    EXPECT_LT(ordered["small"].longest_wait, max_wait);
    EXPECT_EQ(ordered["small"].served + ordered["flood"].served,
              polled["small"].served + polled["flood"].served);
}

// Guards against an urgent team that waits behind others, and against others that never get a turn.
TEST(waiting_room, three_in_four_are_taken_by_priority) {
    waiting_room room;
    std::map<std::string, int> taken;
    for (int i = 0; i < 200; ++i) {
        room.push({"u" + std::to_string(i), "urgent", 0}, begin);
        room.push({"p" + std::to_string(i), "patient", 5}, begin);
    }
    for (int i = 0; i < 96; ++i) {
        ++taken[room.pop(begin, {})->team];
    }
    EXPECT_EQ(taken["patient"], 12); // Every other of the 24 reserved turns.
}

// Guards against requests of one team that are served in the wrong order: a retry first, then by objective
// while it can be met, then those that are late by arrival.
RC_GTEST_PROP(waiting_room, a_team_is_served_by_objective, ()) {
    waiting_room room;
    std::vector<std::tuple<int, std::int64_t, int, std::string>> expected;
    const auto due_ms = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-5, 5));
    for (int i = 0; i < static_cast<int>(due_ms.size()); ++i) {
        const std::string id = std::to_string(i);
        const int due = due_ms[static_cast<std::size_t>(i)];
        const waiting_request request{id, "t", 0, begin + milliseconds(due), begin + seconds(9)};
        if (*rc::gen::inRange(0, 5) == 0) {
            room.push_front(request, begin);
            expected.emplace_back(0, -i, i, id);
        } else {
            room.push(request, begin - seconds(1));
            expected.emplace_back(due > 0 ? 1 : 2, due > 0 ? due : 0, i, id);
        }
    }
    std::sort(expected.begin(), expected.end());
    for (const auto& each : expected) {
        RC_ASSERT(room.pop(begin, {})->id == std::get<3>(each));
    }
}

// Guards against a team that starves, whatever the priorities and weights of the others: of n teams that
// wait, each gets a quarter of the mean rate.
RC_GTEST_PROP(waiting_room, no_waiting_team_gets_less_than_a_quarter_of_the_mean_rate, ()) {
    const int teams = *rc::gen::inRange(2, 8);
    waiting_room room;
    std::map<std::string, double> weights;
    std::map<std::string, int> last_taken;
    const int window = 4 * teams;
    for (int i = 0; i < teams; ++i) {
        const std::string team = std::to_string(i);
        weights[team] = *rc::gen::inRange(1, 50);
        last_taken[team] = 0;
        for (int k = 0; k < 10 * window; ++k) {
            room.push({team + "." + std::to_string(k), team, *rc::gen::inRange(0, 4)}, begin);
        }
    }
    for (int taken = 1; taken <= 10 * window; ++taken) {
        last_taken[room.pop(begin, [&](const std::string& team) { return weights.at(team); })->team] = taken;
        for (const auto& [team, last] : last_taken) {
            RC_ASSERT(taken - last < window);
        }
    }
}

// Guards against a request that is kept although it may be taken, or taken although it has left.
RC_GTEST_PROP(waiting_room, nothing_is_lost_and_nothing_is_held_back, ()) {
    waiting_room room;
    std::map<std::string, std::string> model; // id to team
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (const int step : steps) {
        const std::string id = std::to_string(step % 20);
        const std::string team = std::to_string(step % 3);
        if (step % 7 < 4) {
            room.push({id, team, step % 2, begin + milliseconds(step)}, begin);
            model[id] = team;
        } else if (step % 7 == 4) {
            RC_ASSERT(room.remove(id) == (model.erase(id) > 0));
        } else {
            const auto may_take = [&](const std::string& each) { return each != team; };
            const auto may_place = [&](const std::string& each) { return each != id; };
            const bool is_any = std::any_of(model.begin(), model.end(), [&](const auto& each) {
                return may_place(each.first) && may_take(each.second);
            });
            const auto taken = room.pop(begin + milliseconds(step), {}, {may_take, may_place});
            RC_ASSERT(taken.has_value() == is_any);
            RC_ASSERT(!taken || (model.erase(taken->id) == 1 && may_take(taken->team)));
        }
        RC_ASSERT(room.size() == model.size());
        RC_ASSERT(room.size_of("0") + room.size_of("1") + room.size_of("2") == model.size());
        RC_ASSERT(room.oldest_wait(begin + seconds(1)) == (model.empty() ? seconds(0) : seconds(1)));
    }
}

// Guards against a request that waits although it cannot be answered within its time limit any more, and
// against one that is refused although it can.
TEST(waiting_room, the_rate_of_taking_tells_whether_a_request_can_be_answered) {
    waiting_room room;
    for (int i = 0; i < 20; ++i) {
        room.push({std::to_string(i), "t", 0, begin, begin + seconds(2 + i % 2)}, begin);
    }
    EXPECT_FALSE(room.can_be_answered("19", seconds(0), begin, {})) << "no rate is known";
    for (int i = 0; i < 10; ++i) {
        room.pop(begin + milliseconds(100 * i), {});
    }
    const time_point now = begin + seconds(1);
    EXPECT_EQ(room.ahead_of("18", {}), 8U);
    EXPECT_EQ(room.expected_wait("18", now, {}), milliseconds(900));
    EXPECT_TRUE(room.can_be_answered("18", milliseconds(100), now, {}));
    EXPECT_FALSE(room.can_be_answered("18", milliseconds(200), now, {}));
    EXPECT_TRUE(room.can_be_answered("19", milliseconds(200), now, {}));
}

} // namespace laurelhoist
