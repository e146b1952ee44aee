#include "membership/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace laurelhoist {

namespace {

const time_point begin{seconds(100)};

std::vector<endpoint_record> make_endpoints(int count, int domains) {
    std::vector<endpoint_record> all;
    for (int i = 0; i < count; ++i) {
        all.push_back({"e" + std::to_string(i), "", "d" + std::to_string(i % domains), "pool", "live"});
    }
    return all;
}

steward_record steward(const std::string& name) {
    return {name + "#1", name, "", ""};
}

} // namespace

TEST(freshness, an_older_confirmation_never_lengthens_it) {
    freshness fresh;
    EXPECT_FALSE(fresh.is_fresh(begin, 5));
    fresh.on_confirmation(begin, milliseconds(200), 5);
    EXPECT_TRUE(fresh.is_fresh(begin + freshness_limit - milliseconds(200), 5));
    EXPECT_FALSE(fresh.is_fresh(begin + freshness_limit, 5));
    fresh.on_confirmation(begin - seconds(2), milliseconds(0), 5);
    EXPECT_FALSE(fresh.is_fresh(begin + freshness_limit, 5));
}

// A steward confirms revision 6 while this entry still holds 5: it must stop serving 5 at once, although
// the confirmation is as fresh as can be.
TEST(freshness, a_later_revision_known_ends_it) {
    freshness fresh;
    fresh.on_confirmation(begin, duration{}, 6);
    EXPECT_FALSE(fresh.is_fresh(begin, 5));
    EXPECT_TRUE(fresh.is_fresh(begin, 6));
}

TEST(freshness, a_revision_heard_of_elsewhere_ends_it) {
    freshness fresh;
    fresh.on_confirmation(begin, duration{}, 5);
    fresh.on_known_revision(6);
    EXPECT_FALSE(fresh.is_fresh(begin, 5));
    EXPECT_TRUE(fresh.is_fresh(begin, 6));
}

// The platform is dark and a steward can ask only one of two others: the majority of three (it and that
// one) is enough; alone it must not confirm, since the other two may have accepted a withdrawal.
TEST(revision_evidence, a_majority_confirms_while_the_platform_is_dark) {
    const std::vector<steward_record> list{steward("a"), steward("b"), steward("c")};
    revision_evidence evidence("a#1");
    EXPECT_FALSE(evidence.confirmed_as_of(begin, 3, list).has_value());
    evidence.on_peer_answer("b#1", begin, 3);
    EXPECT_EQ(evidence.confirmed_as_of(begin + seconds(1), 3, list), begin);
    evidence.on_peer_answer("c#1", begin + seconds(1), 4);
    EXPECT_FALSE(evidence.confirmed_as_of(begin + seconds(1), 3, list).has_value());
}

// A steward that was restarted has forgotten what it held. Its name is on the list but its incarnation is
// new, and its answer must not count.
TEST(revision_evidence, a_restarted_steward_does_not_count) {
    const std::vector<steward_record> list{steward("a"), steward("b"), steward("c")};
    revision_evidence evidence("a#1");
    evidence.on_peer_answer("b#2", begin, 0);
    EXPECT_FALSE(evidence.confirmed_as_of(begin, 3, list).has_value());
    EXPECT_EQ(evidence.holders(3, 3, list), 1U);
}

// Any two majorities of one list share a steward, so a majority that knows of nothing later proves it.
RC_GTEST_PROP(revision_evidence, an_accepted_revision_is_never_missed, ()) {
    const auto count = *rc::gen::inRange<std::size_t>(3, 9);
    std::vector<steward_record> list;
    for (std::size_t i = 0; i < count; ++i) {
        list.push_back(steward("s" + std::to_string(i)));
    }
    const auto held = *rc::gen::inRange(majority_of(count), count);
    const auto first = *rc::gen::inRange<std::size_t>(0, count - 1);
    std::vector<bool> holders(count, false);
    for (std::size_t i = 0; i < held; ++i) {
        holders[1 + (first + i) % (count - 1)] = true;
    }
    const auto answers = *rc::gen::container<std::vector<bool>>(count, rc::gen::arbitrary<bool>());
    revision_evidence evidence("s0#1"); // Holds revision 1 while the majority holds 2.
    for (std::size_t i = 1; i < count; ++i) {
        if (answers[i]) {
            evidence.on_peer_answer(list[i].incarnation, begin, holders[i] ? 2 : 1);
        }
    }
    RC_ASSERT(!evidence.confirmed_as_of(begin, 1, list).has_value());
}

RC_GTEST_PROP(host_list, subsets_are_even_over_domains_and_stable, ()) {
    const auto domains = *rc::gen::inRange(1, 10);
    const auto count = *rc::gen::inRange(domains, 200);
    const auto size = *rc::gen::inRange<std::size_t>(1, 40);
    const std::vector<endpoint_record> all = make_endpoints(count, domains);
    const std::vector<endpoint_record> subset = choose_subset("entry-7", all, size);
    RC_ASSERT(subset.size() == std::min(size, all.size()));
    RC_ASSERT(subset == choose_subset("entry-7", all, size));
    std::map<std::string, std::size_t> by_domain;
    for (const endpoint_record& endpoint : subset) {
        ++by_domain[endpoint.domain];
    }
    if (size < all.size() && count % domains == 0) {
        for (const auto& [domain, taken] : by_domain) {
            RC_ASSERT(taken <= size / static_cast<std::size_t>(domains) + 1);
        }
    }
}

TEST(host_list, subsets_share_out_the_endpoints) {
    const std::vector<endpoint_record> all = make_endpoints(6100, 9);
    std::map<std::string, int> users;
    for (int entry = 0; entry < 400; ++entry) {
        for (const endpoint_record& endpoint : choose_subset("entry-" + std::to_string(entry), all, 64)) {
            ++users[endpoint.name];
        }
    }
    int most = 0;
    for (const auto& [name, count] : users) {
        most = std::max(most, count);
    }
    EXPECT_GT(users.size(), 5900U);
    EXPECT_LT(most, 20);
}

TEST(entry_directory, the_same_session_gets_the_same_entry_and_leavers_move_only_their_own) {
    std::vector<entry_record> entries;
    for (int i = 0; i < 7; ++i) {
        entries.push_back({"e" + std::to_string(i), "", "a" + std::to_string(i), "d" + std::to_string(i % 4),
                           "serving", 1});
    }
    std::vector<entry_record> with_leaving = entries;
    with_leaving[2].state = "leaving";
    int moved = 0;
    for (int i = 0; i < 500; ++i) {
        const std::string session = "s" + std::to_string(i);
        const std::vector<entry_choice> before = choose_entries(session, entries, 3);
        const std::vector<entry_choice> after = choose_entries(session, with_leaving, 3);
        ASSERT_EQ(before.size(), 3U);
        EXPECT_NE(before[0].domain, before[1].domain);
        EXPECT_NE(after[0].address, "a2");
        moved += before[0].address != after[0].address ? 1 : 0;
        EXPECT_TRUE(before[0].address == after[0].address || before[0].address == "a2");
    }
    EXPECT_LT(moved, 120);
}

} // namespace laurelhoist

namespace laurelhoist {
namespace {

endpoint_record make_live_endpoint(const std::string& name) {
    return {name, "10.0.0.1:80", "d1", "pool", "live", "v1"};
}

TEST(endpoint_roster, an_endpoint_that_is_no_longer_listed_has_left) {
    endpoint_roster roster;
    const time_point now = time_point{} + seconds(50);
    roster.update({make_live_endpoint("a"), make_live_endpoint("b")}, now);
    roster.update({make_live_endpoint("a")}, now);
    EXPECT_EQ(roster.current(now).size(), 1U);
}

// An engine crashes and starts again under its name. The word of its earlier process that it leaves takes
// effect in the store a second later, and the engine, idle and sound, gets nothing; or requests go to its old
// address.
TEST(endpoint_roster, a_late_entry_of_an_earlier_process_changes_nothing) {
    endpoint_roster roster;
    const time_point now{seconds(10)};
    endpoint_record first = make_live_endpoint("a");
    first.started_at_ms = 1000;
    endpoint_record second = first;
    second.started_at_ms = 9000;
    second.address = "10.0.0.9:80";
    endpoint_record late = first;
    late.state = "leaving";
    roster.update({first}, now);
    roster.update({second}, now + seconds(1));
    roster.update({late}, now + seconds(2));
    EXPECT_EQ(roster.current(now + seconds(2)).front(), second);
    roster.update({second}, now + seconds(3));
    EXPECT_EQ(roster.current(now + seconds(9)).front(), second);
}

// The clock of an engine's machine jumped back between two starts. Its entries name an earlier start than
// those before, and the word that it leaves must count all the same.
TEST(endpoint_roster, an_earlier_start_that_stays_is_believed) {
    endpoint_roster roster;
    const time_point now{seconds(10)};
    endpoint_record first = make_live_endpoint("a");
    first.started_at_ms = 9000;
    endpoint_record second = first;
    second.started_at_ms = 8000;
    second.state = "leaving";
    roster.update({first}, now);
    roster.update({second}, now + seconds(1));
    EXPECT_EQ(roster.current(now + seconds(1)).front().state, "live");
    EXPECT_EQ(roster.current(now + milliseconds(2600)).front().state, "leaving");
}

// While the store is away, registrations lapse. It comes back with an empty list, and every caller is turned
// away although all endpoints live. Two seconds later all are registered again.
TEST(endpoint_roster, registrations_that_lapsed_in_an_outage_are_kept_until_they_could_be_back) {
    endpoint_roster roster;
    const time_point now = time_point{} + seconds(50);
    roster.update({make_live_endpoint("a"), make_live_endpoint("b")}, now);
    roster.on_store_lost();
    roster.on_store_regained(now + seconds(5));
    roster.update({}, now + seconds(5));
    EXPECT_EQ(roster.current(now + seconds(5)).size(), 2U);
    roster.update({make_live_endpoint("a")}, now + seconds(6));
    EXPECT_EQ(roster.current(now + seconds(6)).size(), 2U);
    const auto after = roster.current(now + milliseconds(7100));
    ASSERT_EQ(after.size(), 1U);
    EXPECT_EQ(after.front().name, "a");
}

// One host's link to the store is cut and heals. It keeps vanished endpoints for two seconds and says so to
// hosts that go by its copies; each of them kept them for two seconds from then and said so in turn.
// Endpoints that had left for good got requests for ever.
TEST(endpoint_roster, what_hosts_pass_on_to_one_another_comes_to_an_end) {
    endpoint_roster rosters[2];
    time_point now = time_point{} + seconds(50);
    rosters[0].update({make_live_endpoint("a")}, now);
    rosters[1].update({make_live_endpoint("a")}, now);
    rosters[0].on_store_lost();
    rosters[0].on_store_regained(now);
    for (int turn = 0; turn < 20; ++turn) {
        now += milliseconds(200);
        endpoint_roster& teller = rosters[turn % 2];
        endpoint_roster& listener = rosters[1 - turn % 2];
        listener.keep_lapsed_until(now + teller.grace_left(now));
        listener.update({}, now);
    }
    EXPECT_TRUE(rosters[0].current(now).empty());
    EXPECT_TRUE(rosters[1].current(now).empty());
}

// A host is cut off, reads the store itself for want of news, and goes by copies again once the cut has
// healed. It had noted the store as lost and never its return: an endpoint that left 4 s ago still got
// requests.
TEST(endpoint_roster, a_host_that_goes_by_copies_again_keeps_nothing) {
    endpoint_roster roster;
    const time_point now = time_point{} + seconds(50);
    roster.update({make_live_endpoint("a")}, now);
    roster.on_store_lost();
    roster.on_reading_ended();
    roster.update({}, now + seconds(3));
    EXPECT_TRUE(roster.current(now + seconds(3)).empty());
}

TEST(endpoint_roster, one_that_said_it_was_leaving_is_not_kept) {
    endpoint_roster roster;
    const time_point now = time_point{} + seconds(50);
    endpoint_record leaving = make_live_endpoint("a");
    leaving.state = "leaving";
    roster.update({leaving}, now);
    roster.on_store_lost();
    roster.on_store_regained(now);
    roster.update({}, now);
    EXPECT_TRUE(roster.current(now).empty());
}

host_status make_status(const std::string& name, std::int64_t beat, const std::string& domain = "d1") {
    host_status status;
    status.name = name;
    status.gossip_address = name + ":1";
    status.entry_address = name + ":2";
    status.domain = domain;
    status.incarnation = 1;
    status.beat = beat;
    status.state = "serving";
    return status;
}

TEST(host_gossip, a_host_is_alive_while_its_beat_rises) {
    host_gossip gossip(make_status("a", 0), 1);
    const time_point now = time_point{} + seconds(50);
    gossip.merge({make_status("b", 1)}, now);
    EXPECT_EQ(gossip.live(now).size(), 2U);
    gossip.merge({make_status("b", 1)}, now + seconds(2));
    EXPECT_EQ(gossip.live(now + seconds(3)).size(), 1U)
        << "an old beat that is passed on again is no sign of life";
    gossip.merge({make_status("b", 2)}, now + seconds(3));
    EXPECT_EQ(gossip.live(now + seconds(3)).size(), 2U);
}

TEST(host_gossip, a_restarted_host_goes_before_its_former_self) {
    host_gossip gossip(make_status("a", 0), 1);
    const time_point now = time_point{} + seconds(50);
    gossip.merge({make_status("b", 900)}, now);
    host_status restarted = make_status("b", 1);
    restarted.incarnation = 2;
    restarted.state = "starting";
    gossip.merge({restarted}, now);
    gossip.merge({make_status("b", 901)}, now);
    EXPECT_EQ(gossip.live(now).back().state, "starting");
}

RC_GTEST_PROP(host_gossip, everybody_soon_knows_everybody, ()) {
    const int count = *rc::gen::inRange(2, 30);
    std::vector<std::unique_ptr<host_gossip>> hosts;
    for (int i = 0; i < count; ++i) {
        hosts.push_back(std::make_unique<host_gossip>(make_status("h" + std::to_string(i), 0), i + 1));
        hosts.back()->set_seeds({"h0:1"});
    }
    time_point now = time_point{} + seconds(50);
    constexpr int rounds = 40;
    for (int round = 0; round < rounds; ++round) {
        now += milliseconds(50);
        for (auto& host : hosts) {
            for (const std::string& target : host->next_targets(now)) {
                const auto index = static_cast<std::size_t>(std::stoi(target.substr(1)));
                hosts[index]->merge(host->statuses_to_send(now), now);
            }
        }
    }
    for (const auto& host : hosts) {
        RC_ASSERT(host->live(now).size() == static_cast<std::size_t>(count));
    }
}

TEST(entries_for, prefers_the_callers_own_domain_if_it_has_two) {
    const std::vector<host_status> hosts = {make_status("a", 1, "d1"), make_status("b", 1, "d1"),
                                            make_status("c", 1, "d2")};
    EXPECT_EQ(entries_for("d1", hosts, 16), std::vector<std::string>({"a:2", "b:2"}));
    EXPECT_EQ(entries_for("d2", hosts, 16).size(), 3U);
    EXPECT_EQ(entries_for("elsewhere", hosts, 2).size(), 2U);
}

TEST(entries_for, a_host_that_stops_is_out_at_once) {
    std::vector<host_status> hosts = {make_status("a", 1), make_status("b", 1)};
    hosts.front().state = "leaving";
    EXPECT_EQ(entries_for("d1", hosts, 16), std::vector<std::string>({"b:2"}));
}

} // namespace
namespace {

/** One of 74 hosts, long started, that goes by copies which are up to date. */
reading_inputs inputs_of_non_reader() {
    reading_inputs inputs;
    inputs.mode = reading_mode::copies;
    inputs.in_mode = seconds(30);
    inputs.since_start = seconds(60);
    inputs.config_age = milliseconds(900);
    inputs.hosts = 74;
    inputs.hosts_before = 40;
    return inputs;
}

} // namespace

// A host's time of day jumps back and its process is restarted: it takes itself for older than the one that
// ended. Callers were not sent there for half a minute, until the others had forgotten the one before.
TEST(host_gossip, a_restarted_host_whose_clock_went_back_is_heard) {
    host_status before;
    before.name = "h1";
    before.incarnation = 5'000;
    before.state = "serving";
    host_status restarted = before;
    restarted.incarnation = 3'000;
    host_gossip own(restarted, 1);
    host_status neighbour;
    neighbour.name = "h2";
    host_gossip other(neighbour, 2);
    other.merge({before}, begin);
    own.merge(other.statuses_to_send(begin), begin);
    own.set_state("serving");
    other.merge({own.statuses_to_send(begin).front()}, begin + seconds(2));
    const auto live = other.live(begin + seconds(4));
    ASSERT_EQ(live.size(), 2U);
    EXPECT_GT(live.front().incarnation, before.incarnation);
}

// The same, but the host was away for five seconds: nobody tells it of its past any more.
TEST(host_gossip, a_silent_host_is_replaced_by_whatever_speaks_in_its_name) {
    host_status before;
    before.name = "h1";
    before.incarnation = 5'000;
    host_status restarted = before;
    restarted.incarnation = 3'000;
    host_status neighbour;
    neighbour.name = "h2";
    host_gossip other(neighbour, 2);
    other.merge({before}, begin);
    other.merge({restarted}, begin + seconds(1));
    EXPECT_EQ(other.live(begin + seconds(1)).front().incarnation, 5'000);
    other.merge({restarted}, begin + seconds(5));
    ASSERT_EQ(other.live(begin + seconds(5)).size(), 2U);
    EXPECT_EQ(other.live(begin + seconds(5)).front().incarnation, 3'000);
}

TEST(store_reading, few_hosts_of_a_large_fleet_read) {
    reading_inputs inputs = inputs_of_non_reader();
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.hosts_before = 1;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.hosts_before = 2;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.hosts = 10;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
}

// Operators add 1,800 routes. Fifty hosts ask six for half a megabyte each, over links of 10 Mbit/s; the
// copies time out one after another, and callers of the new routes get 404 for four seconds.
TEST(store_reading, a_copy_that_does_not_come_is_read_from_the_store) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.copy_overdue = milliseconds(400);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.is_config_large = true;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::fetching)
        << "the next change of one that is known to be large";
    inputs.is_config_large = false;
    inputs.copy_overdue = milliseconds(900);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::fetching);
    inputs.mode = reading_mode::fetching;
    inputs.copy_overdue = duration::zero();
    inputs.has_store_answered = true;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
}

// Forty hosts of a large fleet are killed and start again. Each read the store for one and a half seconds,
// though it had listed everything, and had been told of the others, within fifty milliseconds.
TEST(store_reading, a_host_that_has_just_started_reads_until_it_knows_the_others) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.mode = reading_mode::all;
    inputs.since_start = inputs.in_mode = milliseconds(250);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.holds_copies = true;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.hosts = 3;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
}

TEST(host_gossip, an_introduction_names_every_live_host) {
    host_status self;
    self.name = "h0";
    host_gossip gossip(self, 3);
    std::vector<host_status> others;
    for (int i = 1; i <= 40; ++i) {
        host_status other;
        other.name = "h" + std::to_string(i);
        others.push_back(other);
    }
    gossip.merge(others, begin);
    std::set<std::string> named;
    for (const auto& message : gossip.introduction_messages(begin)) {
        EXPECT_EQ(message.front().name, "h0");
        EXPECT_LE(message.size(), 12U);
        for (const host_status& host : message) {
            named.insert(host.name);
        }
    }
    EXPECT_EQ(named.size(), 41U);
    EXPECT_TRUE(gossip.knows(others.front()));
    others.front().incarnation = 7;
    EXPECT_FALSE(gossip.knows(others.front()));
}

// The store is down for eight seconds. Every host of a large fleet tries all its watches four times a second;
// 6,000 refused calls use up the allowance that is needed at its return.
TEST(store_reading, in_an_outage_the_others_ask_for_the_configuration_alone) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.config_age = seconds(4);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::confirming);
    inputs.mode = reading_mode::confirming;
    inputs.in_mode = seconds(3);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::confirming);
    inputs.config_age = milliseconds(300); // A peer vouches again.
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
}

// The store turns every reader away and serves this host. Were it only to confirm its configuration, nobody
// would hear of endpoints that leave.
TEST(store_reading, a_host_that_is_served_reads_for_those_that_are_not) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.mode = reading_mode::confirming;
    inputs.in_mode = milliseconds(250);
    inputs.config_age = milliseconds(10);
    inputs.has_store_answered = true;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.mode = reading_mode::all;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.in_mode = seconds(1);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
}

// All 295 hosts start within a third of a second. Each lists and follows everything until it knows the
// others: seven calls each, 2,000 in all, which are most of the day's.
TEST(store_reading, a_host_that_starts_follows_nothing_until_it_has_heard_who_the_others_are) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.mode = reading_mode::listening;
    inputs.since_start = inputs.in_mode = milliseconds(500);
    inputs.hosts = 2;
    inputs.holds_copies = true;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::listening);
    inputs.since_start = inputs.in_mode = milliseconds(1000);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all) << "there are no others";
    inputs.hosts = 295;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.holds_copies = false;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all) << "nothing came of what it asked for";
}

// The store turns both readers away. All 293 others ask for themselves in the same quarter of a second,
// though the first that is answered could vouch for them.
TEST(store_reading, hosts_that_nobody_vouches_for_ask_one_after_another) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.hosts = 295;
    inputs.config_age = milliseconds(3700);
    inputs.hosts_before = 20;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::confirming);
    inputs.hosts_before = 100;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.config_age = milliseconds(4650);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::confirming);
}

namespace {

std::vector<host_status> make_fleet(int count, int domains) {
    std::vector<host_status> hosts;
    for (int i = 0; i < count; ++i) {
        hosts.push_back(make_status("h" + std::to_string(i), 1, "d" + std::to_string(i % domains)));
    }
    return hosts;
}

} // namespace

// A failure domain is lost, and with it both hosts that read the store for all others.
TEST(store_reading, readers_stand_in_different_domains) {
    const std::vector<host_status> hosts = make_fleet(295, 6);
    const std::vector<host_status> readers = select_readers(hosts);
    ASSERT_EQ(readers.size(), 2U);
    EXPECT_NE(readers[0].domain, readers[1].domain);
    EXPECT_EQ(find_reader_position(readers[1].name, hosts), (reader_position{0, 1}));
    EXPECT_EQ(select_relays(hosts).size(), 12U);
}

// A release brings 190 endpoints. Callers of three hosts in each domain wait for 2.5 s, and some of their
// requests reach an endpoint after they have left: these hosts sent copies to all others of their domain.
TEST(store_reading, a_change_reaches_every_host_and_no_host_tells_many) {
    const std::vector<host_status> hosts = make_fleet(400, 6);
    const std::vector<host_status> readers = select_readers(hosts);
    std::set<std::string> reached;
    std::vector<std::string> newly_reached;
    for (const host_status& reader : readers) {
        reached.insert(reader.name);
        const std::vector<host_status> targets = change_notice_targets(reader.name, true, hosts);
        EXPECT_LE(targets.size(), select_relays(hosts).size() + change_notice_fanout);
        for (const host_status& each : targets) {
            if (reached.insert(each.name).second) {
                newly_reached.push_back(each.name);
            }
        }
    }
    int hops = 0;
    for (; !newly_reached.empty(); ++hops) {
        std::vector<std::string> next;
        for (const std::string& name : newly_reached) {
            const std::vector<host_status> targets = change_notice_targets(name, false, hosts);
            EXPECT_LE(targets.size(), change_notice_fanout);
            for (const host_status& each : targets) {
                if (reached.insert(each.name).second) {
                    next.push_back(each.name);
                }
            }
        }
        newly_reached = std::move(next);
    }
    EXPECT_EQ(reached.size(), hosts.size());
    EXPECT_LE(hops, 4);
}

// The store is back after eight seconds. All 295 hosts look at everything at once, though the copies of those
// that read are with the others in a moment.
TEST(store_reading, after_an_outage_few_hosts_look_at_everything) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.hosts = 295;
    inputs.mode = reading_mode::confirming;
    inputs.config_age = milliseconds(10);
    inputs.has_store_answered = true;
    inputs.hosts_before = 47;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.hosts_before = 48;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
}

// A fleet starts as a whole, before it has a configuration. Where only hosts that serve counted, every host
// took itself for the first of the readers and asked for everything, and again when the first few served.
TEST(store_reading, of_hosts_that_all_start_two_read) {
    std::vector<host_status> hosts = make_fleet(295, 6);
    for (host_status& host : hosts) {
        host.state = "starting";
    }
    const std::vector<host_status> readers = select_readers(hosts);
    EXPECT_EQ(readers.size(), 2U);
    hosts[7].state = "serving";
    EXPECT_EQ(select_readers(hosts).front().name, readers.front().name);
    for (host_status& host : hosts) {
        host.state = host.name == readers.front().name ? "leaving" : "serving";
    }
    EXPECT_EQ(select_readers(hosts).front().name, readers.back().name)
        << "one that stops does not read for others";
}

namespace {

/** A fleet of which each host passes on what it knows three times in 1.2 s. */
struct gossiping_fleet {
    explicit gossiping_fleet(int count) {
        for (const host_status& status : make_fleet(count, 6)) {
            hosts.push_back(std::make_unique<host_gossip>(status, hosts.size() + 1));
            hosts.back()->set_seeds({"h0:1", "h1:1", "h2:1"});
        }
    }
    void run_rounds(int rounds) {
        for (int round = 0; round < rounds; ++round) {
            now += milliseconds(400);
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                if (dead.count(i) == 0) {
                    gossip_from(*hosts[i]);
                }
            }
        }
    }
    void gossip_from(host_gossip& from) {
        const std::vector<std::string> targets = from.next_targets(now);
        const auto statuses = from.statuses_to_send(now);
        const std::string beats = encode_heartbeats(from.heartbeats_to_send(now));
        for (const std::string& target : targets) {
            const auto index = static_cast<std::size_t>(std::stoi(target.substr(1)));
            if (dead.count(index) == 0) {
                hosts[index]->merge(statuses, now);
                hosts[index]->merge_heartbeats(decode_heartbeats(beats), now);
                from.merge(hosts[index]->statuses_missing_in(decode_heartbeats(beats), from.self().name, now), now);
            }
        }
    }
    /** \return the smallest and the largest number of live hosts that a live host believes in. */
    std::pair<std::size_t, std::size_t> live_count_range() const {
        std::pair<std::size_t, std::size_t> range{hosts.size(), 0};
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (dead.count(i) == 0) {
                const std::size_t count = hosts[i]->live(now).size();
                range = {std::min(range.first, count), std::max(range.second, count)};
            }
        }
        return range;
    }
    std::vector<std::unique_ptr<host_gossip>> hosts;
    std::set<std::size_t> dead;
    time_point now = time_point{} + seconds(50);
};

} // namespace

// At 295 hosts every host takes half of the others for dead at any moment: callers are told of half of the
// fleet, hosts that are no readers merge themselves for one and read the store, and a change is told to half
// of them. Three messages in 0.4 s that speak of twelve hosts each bring news of a given one every 3.3 s.
TEST(host_gossip, every_host_of_a_large_fleet_knows_all_that_live) {
    gossiping_fleet fleet(400);
    fleet.run_rounds(25);
    EXPECT_EQ(fleet.live_count_range().first, 400U) << "ten seconds after all have started";
    fleet.run_rounds(8);
    EXPECT_EQ(fleet.live_count_range().first, 400U) << "and goes on knowing them";
}

// A third of the hosts lose power at once. Callers must not be sent there for long, nor may those that live
// be lost with them.
TEST(host_gossip, a_third_of_a_large_fleet_dies_and_the_rest_knows_it_within_six_seconds) {
    gossiping_fleet fleet(300);
    fleet.run_rounds(25);
    for (std::size_t i = 0; i < 300; i += 3) {
        fleet.dead.insert(i);
    }
    fleet.run_rounds(15);
    EXPECT_EQ(fleet.live_count_range(), (std::pair<std::size_t, std::size_t>{200, 200}));
}

TEST(host_gossip, beats_survive_their_way) {
    const std::vector<host_heartbeat> beats{{4'000'000'001U, 65'535, 0}, {7, 1, 40'000}};
    EXPECT_EQ(decode_heartbeats(encode_heartbeats(beats)), beats);
    EXPECT_EQ(decode_heartbeats(encode_heartbeats(beats) + "half").size(), 2U);
}

// A host that has restarted has a low beat again; a beat of its earlier process, still on its way, must not
// make the new one look older or newer than it is.
TEST(host_gossip, a_beat_of_another_process_changes_nothing) {
    gossiping_fleet fleet(20);
    fleet.run_rounds(20);
    const host_status known = fleet.hosts[1]->self();
    host_gossip& own = *fleet.hosts[0];
    own.merge_heartbeats({{host_name_hash("h1"), 99, 9'999}}, fleet.now + seconds(5));
    own.merge_heartbeats({{host_name_hash("nobody"), 1, 1}}, fleet.now + seconds(5));
    EXPECT_EQ(own.live(fleet.now + seconds(5)).size(), 1U);
    const auto later = static_cast<std::uint16_t>(known.beat + 1);
    own.merge_heartbeats({{host_name_hash("h1"), 1, later}}, fleet.now + seconds(5));
    EXPECT_EQ(own.live(fleet.now + seconds(5)).size(), 2U);
}

} // namespace laurelhoist
