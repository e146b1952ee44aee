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

// A delayed confirmation of an older question must not let an entry serve longer than the newest confirmation
// allows.
TEST(freshness, an_older_confirmation_does_not_extend_freshness) {
    freshness fresh;
    EXPECT_FALSE(fresh.is_fresh(begin, 5));
    fresh.on_confirmation(begin, milliseconds(200), 5);
    EXPECT_TRUE(fresh.is_fresh(begin + freshness_limit - milliseconds(200), 5));
    EXPECT_FALSE(fresh.is_fresh(begin + freshness_limit, 5));
    fresh.on_confirmation(begin - seconds(2), milliseconds(0), 5);
    EXPECT_FALSE(fresh.is_fresh(begin + freshness_limit, 5));
}

// A steward confirms revision 6 while this entry still holds 5. The entry must stop serving 5 at once,
// although the confirmation is recent.
TEST(freshness, a_confirmed_later_revision_ends_freshness) {
    freshness fresh;
    fresh.on_confirmation(begin, duration{}, 6);
    EXPECT_FALSE(fresh.is_fresh(begin, 5));
    EXPECT_TRUE(fresh.is_fresh(begin, 6));
}

// A host that learns of a later revision must stop serving the older one at once, not when its confirmation
// expires.
TEST(freshness, a_later_revision_from_another_source_ends_freshness) {
    freshness fresh;
    fresh.on_confirmation(begin, duration{}, 5);
    fresh.on_known_revision(6);
    EXPECT_FALSE(fresh.is_fresh(begin, 5));
    EXPECT_TRUE(fresh.is_fresh(begin, 6));
}

// The platform is unreachable and a steward reaches only one of the two others. These two are a majority of
// three and may confirm. A steward alone must not, because the other two may have accepted a withdrawal.
TEST(revision_evidence, a_majority_confirms_while_the_platform_is_unreachable) {
    const std::vector<steward_record> list{steward("a"), steward("b"), steward("c")};
    revision_evidence evidence("a#1");
    EXPECT_FALSE(evidence.confirmed_as_of(begin, 3, list).has_value());
    evidence.on_peer_answer("b#1", begin, 3);
    EXPECT_EQ(evidence.confirmed_as_of(begin + seconds(1), 3, list), begin);
    evidence.on_peer_answer("c#1", begin + seconds(1), 4);
    EXPECT_FALSE(evidence.confirmed_as_of(begin + seconds(1), 3, list).has_value());
}

// A restarted steward has lost the revision that it held. Its name is on the list, but its incarnation is
// new, and its answer must not count.
TEST(revision_evidence, a_restarted_steward_does_not_count) {
    const std::vector<steward_record> list{steward("a"), steward("b"), steward("c")};
    revision_evidence evidence("a#1");
    evidence.on_peer_answer("b#2", begin, 0);
    EXPECT_FALSE(evidence.confirmed_as_of(begin, 3, list).has_value());
    EXPECT_EQ(evidence.holders(3, 3, list), 1U);
}

// Any two majorities of one list share a steward, so a steward that holds an older revision than a majority
// accepted must not find another majority that confirms it.
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

// A subset that lies mostly in one failure domain would leave the entry few endpoints when that domain is
// lost, and one that changes from call to call would make the entry switch endpoints.
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

// Entries choose their subsets independently. An uneven choice would overload some endpoints and leave others
// unused.
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

// Guards against a restart of one endpoint that ends the requests at all that started before it.
TEST(host_list, a_newer_process_of_another_endpoint_is_no_restart) {
    const endpoint_record first{"e1", "a1", "d1", "claims", "live", "v1", 1000};
    const endpoint_record first_again{"e1", "a1", "d1", "claims", "live", "v1", 2000};
    const endpoint_record second{"e2", "a2", "d1", "claims", "live", "v1", 2000};
    EXPECT_TRUE(is_restart_of(first_again, first));
    EXPECT_FALSE(is_restart_of(second, first));
    EXPECT_FALSE(is_restart_of(first, first_again)) << "an entry of the earlier process";
    EXPECT_FALSE(is_restart_of(first, first));
}

// A session that changes its entry loses its cached prompt prefix, so a leaving entry must not move other
// sessions.
TEST(entry_directory, a_session_keeps_its_entry_and_a_leaving_entry_moves_only_its_own_sessions) {
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

// While the store is reachable, an endpoint that it no longer lists has left, and requests to it would fail.
TEST(endpoint_roster, an_endpoint_that_is_no_longer_listed_has_left) {
    endpoint_roster roster;
    const time_point now = time_point{} + seconds(50);
    roster.update({make_live_endpoint("a"), make_live_endpoint("b")}, now);
    roster.update({make_live_endpoint("a")}, now);
    EXPECT_EQ(roster.current(now).size(), 1U);
}

// An engine crashes and restarts under its name. A write of its earlier process, which marks it as leaving,
// takes effect in the store a second later. If it counted, the healthy, idle engine would get no requests, or
// requests would go to its old address.
TEST(endpoint_roster, a_late_entry_of_an_earlier_process_is_ignored) {
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

// The clock of an engine's machine jumped back between two starts, so its entries name an earlier start than
// those of the previous process. An entry that marks it as leaving must take effect nevertheless.
TEST(endpoint_roster, an_entry_with_an_earlier_start_is_accepted_after_the_timeout) {
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

// Registrations expire during a store outage, and the store returns with an empty list. A host that used this
// list would refuse all requests although all endpoints are alive and register again within two seconds.
TEST(endpoint_roster, registrations_that_lapsed_in_an_outage_are_kept_for_the_reregistration_time) {
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

// A host loses its link to the store for a time. It keeps endpoints that disappeared for two seconds and
// forwards that grace period with its copies. If each recipient began the two seconds anew and forwarded them
// in turn, endpoints that have left would get requests for ever.
TEST(endpoint_roster, a_grace_period_that_hosts_forward_to_each_other_ends) {
    endpoint_roster rosters[2];
    time_point now = time_point{} + seconds(50);
    rosters[0].update({make_live_endpoint("a")}, now);
    rosters[1].update({make_live_endpoint("a")}, now);
    rosters[0].on_store_lost();
    rosters[0].on_store_regained(now);
    for (int turn = 0; turn < 20; ++turn) {
        now += milliseconds(200);
        endpoint_roster& sender = rosters[turn % 2];
        endpoint_roster& recipient = rosters[1 - turn % 2];
        recipient.keep_lapsed_until(now + sender.grace_left(now));
        recipient.update({}, now);
    }
    EXPECT_TRUE(rosters[0].current(now).empty());
    EXPECT_TRUE(rosters[1].current(now).empty());
}

// A host is partitioned, reads the store itself because no copies arrive, and uses copies again after the
// partition. If it still counted the store as lost, because it never saw the store's return, an endpoint that
// left 4 s ago would get requests.
TEST(endpoint_roster, a_host_that_uses_copies_again_keeps_no_lapsed_endpoints) {
    endpoint_roster roster;
    const time_point now = time_point{} + seconds(50);
    roster.update({make_live_endpoint("a")}, now);
    roster.on_store_lost();
    roster.on_reading_ended();
    roster.update({}, now + seconds(3));
    EXPECT_TRUE(roster.current(now + seconds(3)).empty());
}

// An endpoint that announced its leaving before a store outage has left, and requests to it would fail.
TEST(endpoint_roster, an_endpoint_that_announced_its_leaving_is_not_kept) {
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

// Peers go on forwarding the last status of a dead host, which must not count as a sign that the host is
// alive.
TEST(host_gossip, a_host_is_alive_while_its_heartbeat_counter_rises) {
    host_gossip gossip(make_status("a", 0), 1);
    const time_point now = time_point{} + seconds(50);
    gossip.merge({make_status("b", 1)}, now);
    EXPECT_EQ(gossip.live(now).size(), 2U);
    gossip.merge({make_status("b", 1)}, now + seconds(2));
    EXPECT_EQ(gossip.live(now + seconds(3)).size(), 1U)
        << "an old heartbeat that is forwarded again does not show that the host is alive";
    gossip.merge({make_status("b", 2)}, now + seconds(3));
    EXPECT_EQ(gossip.live(now + seconds(3)).size(), 2U);
}

// A restarted host counts its heartbeats from zero again. A forwarded status of its earlier process has a
// higher beat but must not replace that of the new process.
TEST(host_gossip, the_status_of_a_restarted_host_replaces_that_of_its_earlier_process) {
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

// Hosts that know only one seed at their start must find each other through gossip.
RC_GTEST_PROP(host_gossip, all_hosts_know_all_others_within_forty_rounds, ()) {
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
            for (const gossip_target& target : host->next_targets(now)) {
                const auto index = static_cast<std::size_t>(std::stoi(target.address.substr(1)));
                hosts[index]->merge(host->statuses_to_send(now), now);
            }
        }
    }
    for (const auto& host : hosts) {
        RC_ASSERT(host->live(now).size() == static_cast<std::size_t>(count));
    }
}

// Guards against sending callers to hosts without links, and against leaving no host for them.
TEST(entries_for, hosts_that_have_lost_a_pool_are_left_out_unless_they_are_most) {
    std::vector<host_status> hosts(4);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        hosts[i].name = "h" + std::to_string(i);
        hosts[i].state = "serving";
    }
    hosts[0].lost_pools = {"claims"};
    hosts[1].lost_pools = {"claims"};
    EXPECT_EQ(without_lost_hosts(hosts).size(), 2U);
    hosts[2].lost_pools = {"claims"};
    EXPECT_EQ(without_lost_hosts(hosts).size(), 4U);
}

// Traffic between failure domains costs money, but a single host of its own domain leaves a caller no
// alternative.
TEST(entries_for, prefers_the_callers_own_domain_if_it_has_two_hosts) {
    const std::vector<host_status> hosts = {make_status("a", 1, "d1"), make_status("b", 1, "d1"),
                                            make_status("c", 1, "d2")};
    EXPECT_EQ(entries_for("d1", hosts, 16), std::vector<std::string>({"a:2", "b:2"}));
    EXPECT_EQ(entries_for("d2", hosts, 16).size(), 3U);
    EXPECT_EQ(entries_for("elsewhere", hosts, 2).size(), 2U);
}

// Guards against hosts that no caller is told of: callers accept 64 addresses, and a domain may have 160
// hosts.
TEST(entries_for, every_host_of_a_large_domain_is_named_and_a_strong_one_more_often) {
    constexpr std::size_t limit = 64;
    std::vector<host_status> hosts;
    for (int i = 0; i < 160; ++i) {
        hosts.push_back(make_status("h" + std::to_string(i), 1, "d1"));
        hosts.back().capacity = i < 10 ? 100 : 12;
    }
    std::map<std::string, int> named;
    for (const host_status& answering : hosts) {
        const std::vector<std::string> answer = entries_for("d1", hosts, limit, answering.name);
        EXPECT_EQ(answer.size(), limit);
        for (const std::string& address : answer) {
            ++named[address];
        }
    }
    EXPECT_EQ(named.size(), hosts.size());
    EXPECT_GT(named["h0:2"], 2 * named["h100:2"]);
}

// Callers that still choose a host that is about to stop would lose their connection to it.
TEST(entries_for, a_leaving_host_is_left_out) {
    std::vector<host_status> hosts = {make_status("a", 1), make_status("b", 1)};
    hosts.front().state = "leaving";
    EXPECT_EQ(entries_for("d1", hosts, 16), std::vector<std::string>({"b:2"}));
}

} // namespace
namespace {

/** \return the inputs of one of 74 hosts that was started long ago and uses up-to-date copies. */
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

// A host's wall clock jumps back and its process restarts with a lower incarnation than the earlier process
// had. If its statuses were ignored, it would get no callers for half a minute, until its peers forget the
// earlier process.
TEST(host_gossip, a_restarted_host_whose_clock_jumped_back_is_accepted) {
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

// A host restarts with a lower incarnation after five seconds of silence, when no peer sends it the status of
// its earlier process any more. Its statuses must be accepted nevertheless.
TEST(host_gossip, a_silent_host_is_replaced_by_any_process_of_its_name) {
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

// Guards against a host whose messages all others refuse because a peer has named the highest incarnation or
// heartbeat, which the host then raised.
TEST(host_gossip, incarnations_and_heartbeats_are_raised_no_further_than_others_accept) {
    host_status earlier;
    earlier.name = "h1";
    earlier.incarnation = max_incarnation;
    host_status self = earlier;
    self.incarnation = 3'000;
    host_gossip own(self, 1);
    own.merge({earlier}, begin);
    EXPECT_EQ(own.self().incarnation, max_incarnation);
    host_status peer;
    peer.name = "h2";
    peer.beat = max_beat - 1;
    own.merge({peer}, begin);
    own.merge_heartbeats({{host_name_hash("h2"), 0, 9}}, begin);
    EXPECT_EQ(own.statuses_to_send(begin).back().beat, max_beat);
}

// All hosts share one rate limit for calls of the store, which a large fleet would exceed if every host read
// it.
TEST(store_reading, only_two_hosts_of_a_large_fleet_read) {
    reading_inputs inputs = inputs_of_non_reader();
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.hosts_before = 1;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.hosts_before = 2;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.hosts = 10;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
}

// Operators add 1,800 routes. Fifty hosts request half a megabyte each from six hosts over 10 Mbit/s links.
// The copies time out one after another, and callers of the new routes get 404 for four seconds.
TEST(store_reading, an_overdue_copy_is_read_from_the_store) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.copy_overdue = milliseconds(400);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.is_config_large = true;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::fetching)
        << "a large configuration is read from the store at its next change";
    inputs.is_config_large = false;
    inputs.copy_overdue = milliseconds(900);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::fetching);
    inputs.mode = reading_mode::fetching;
    inputs.copy_overdue = duration::zero();
    inputs.has_store_answered = true;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
}

// Forty hosts of a large fleet are killed and restart. Each would read the store for 1.5 s, although it has
// listed everything and knows the other hosts within 50 ms.
TEST(store_reading, a_starting_host_reads_until_it_holds_all_objects_and_knows_the_fleet) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.mode = reading_mode::all;
    inputs.since_start = inputs.in_mode = milliseconds(250);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.holds_copies = true;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.hosts = 3;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
}

// A host that has just started must learn of all live hosts at once, in messages of the usual size.
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

// The store is down for eight seconds. If every host of a large fleet retried all its watches four times a
// second, 6,000 refused calls would use up the rate limit that is needed when the store returns.
TEST(store_reading, in_an_outage_non_readers_ask_for_the_configuration_only) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.config_age = seconds(4);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::confirming);
    inputs.mode = reading_mode::confirming;
    inputs.in_mode = seconds(3);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::confirming);
    inputs.config_age = milliseconds(300); // A peer has confirmed the configuration.
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
}

// The store refuses all readers and serves this host. If the host only confirmed its configuration, no host
// would learn of leaving endpoints.
TEST(store_reading, a_host_that_the_store_serves_reads_for_those_that_it_refuses) {
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

// The store refuses both readers and serves this host. If it waited until its configuration is stale, no host
// would learn for 3.4 s that an endpoint has left.
TEST(store_reading, a_host_substitutes_for_readers_that_have_lost_the_store) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.hosts_before = 3;
    inputs.lost_before = 1;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.lost_before = 2;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::confirming) << "it asks for the configuration first";
    inputs.mode = reading_mode::confirming;
    inputs.has_store_answered = true;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.mode = reading_mode::all;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all) << "as long as the readers are not served";
    inputs.lost_before = 1;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.hosts_before = inputs.lost_before = 48;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies) << "the store may be down for all hosts";
}

// A reader that the store refuses must not go on as if it read everything: it would take no copies of the
// hosts that read in its place.
TEST(store_reading, a_reader_that_has_lost_the_store_steps_back_until_it_is_served) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.mode = reading_mode::all;
    inputs.hosts_before = 1;
    inputs.store_lost_for = milliseconds(100);
    EXPECT_FALSE(announces_lost_store(inputs)) << "a single lost answer";
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.store_lost_for = milliseconds(400);
    EXPECT_TRUE(announces_lost_store(inputs));
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::confirming);
    inputs.mode = reading_mode::confirming;
    EXPECT_TRUE(announces_lost_store(inputs));
    inputs.store_lost_for = duration::zero();
    EXPECT_FALSE(announces_lost_store(inputs));
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.hosts = 10;
    inputs.store_lost_for = seconds(1);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all) << "every host of a small fleet reads";
}

// All 295 hosts start within a third of a second. If each listed and followed everything until it knows the
// others, they would make seven calls each, 2,000 in total, which is most of a day's calls.
TEST(store_reading, a_starting_host_follows_nothing_until_gossip_has_named_the_others) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.mode = reading_mode::listening;
    inputs.since_start = inputs.in_mode = milliseconds(500);
    inputs.hosts = 2;
    inputs.holds_copies = true;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::listening);
    inputs.since_start = inputs.in_mode = milliseconds(1000);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all) << "the fleet is small";
    inputs.hosts = 295;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.holds_copies = false;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all) << "its first listing has failed";
}

// The store refuses both readers. If all 293 other hosts asked it within the same quarter of a second, most
// calls would be wasted: the first host that is answered can confirm the configuration for the others.
TEST(store_reading, hosts_without_confirmation_ask_the_store_one_after_another) {
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

// The loss of one failure domain must not take away both hosts that read the store for all others.
TEST(store_reading, readers_are_in_different_domains) {
    const std::vector<host_status> hosts = make_fleet(295, 6);
    const std::vector<host_status> readers = select_readers(hosts);
    ASSERT_EQ(readers.size(), 2U);
    EXPECT_NE(readers[0].domain, readers[1].domain);
    EXPECT_EQ(find_reader_position(readers[1].name, hosts), (reader_position{0, 1}));
    EXPECT_EQ(select_relays(hosts).size(), 12U);
}

// A release adds 190 endpoints. If three hosts in each domain sent copies to all others of their domain,
// their callers would wait for 2.5 s, and some requests would reach an endpoint after their callers have
// left.
TEST(store_reading, a_change_reaches_every_host_and_no_host_notifies_many) {
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

/** \return the number of hosts that learn of a change from the readers, and in \p most the largest number
 * that one host notifies. */
std::size_t hosts_reached(const std::vector<host_status>& hosts, list_holding holding, std::size_t& most) {
    std::set<std::string> reached;
    std::vector<std::string> newly_reached;
    for (const host_status& reader : select_readers(hosts)) {
        reached.insert(reader.name);
        newly_reached.push_back(reader.name);
    }
    bool is_reader = true;
    while (!newly_reached.empty()) {
        std::vector<std::string> next;
        for (const std::string& name : newly_reached) {
            const auto targets = change_notice_targets(name, is_reader, hosts, holding);
            most = std::max(most, targets.size());
            for (const host_status& each : targets) {
                if (reached.insert(each.name).second) {
                    next.push_back(each.name);
                }
            }
        }
        newly_reached = std::move(next);
        is_reader = false;
    }
    return reached.size();
}

// Guards against hosts that no change of a divided list reaches, and against a holder that serves more hosts
// the larger the fleet is.
TEST(store_reading, a_change_of_a_divided_list_reaches_every_host_at_any_size) {
    for (const int count : {60, 300, 985, 2000}) {
        const std::vector<host_status> hosts = make_fleet(count, 6);
        std::size_t most = 0;
        EXPECT_EQ(hosts_reached(hosts, list_holding::divided, most), hosts.size()) << count;
        constexpr std::size_t hosts_per_holder = 16;
        EXPECT_LE(most, select_relays(hosts).size() + change_notice_fanout + hosts_per_holder) << count;
    }
}

// Guards against a host whose holder is lost and that finds no other.
TEST(store_reading, every_host_finds_another_holder_after_a_failure) {
    const std::vector<host_status> hosts = make_fleet(985, 6);
    for (const host_status& host : hosts) {
        if (is_whole_list_holder(host.name, hosts)) {
            continue;
        }
        const std::optional<host_status> first = holder_for(host.name, hosts, 0);
        const std::optional<host_status> second = holder_for(host.name, hosts, 1);
        ASSERT_TRUE(first && second) << host.name;
        EXPECT_TRUE(is_whole_list_holder(first->name, hosts));
        EXPECT_EQ(first->domain, host.domain);
        EXPECT_NE(first->name, second->name);
    }
}

// Guards against copies of the whole list being sent over the slow link of a small host.
TEST(store_reading, hosts_with_more_capacity_read_and_hold_the_list) {
    std::vector<host_status> hosts = make_fleet(985, 6);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        hosts[i].capacity = i % 97 < 6 ? 100 : 12;
    }
    for (const host_status& relay : select_relays(hosts)) {
        EXPECT_EQ(relay.capacity, 100);
    }
}

// Guards against 985 hosts that each read 49 pages of the list when the fleet starts, and against a host that
// waits for ever if no holder has a copy.
TEST(store_reading, a_long_list_is_left_to_the_readers) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.mode = reading_mode::listening;
    inputs.hosts = 985;
    inputs.is_list_long = true;
    inputs.since_start = milliseconds(1200);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
    inputs.since_start = milliseconds(4100);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.hosts_before = 300;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::copies);
}

// Guards against eighty readers in a starting fleet of 985 hosts, because each host knows only few others.
TEST(store_reading, a_starting_host_listens_while_it_learns_of_more_hosts) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.mode = reading_mode::listening;
    inputs.hosts = 24;
    inputs.hosts_before = 1;
    inputs.is_view_growing = true;
    inputs.since_start = milliseconds(3000);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::listening);
    inputs.since_start = milliseconds(5100);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.since_start = milliseconds(3000);
    inputs.is_view_growing = false;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
}

/** \return \p count engines in \p domains failure domains. */
std::vector<endpoint_record> make_engines(int count, int domains) {
    std::vector<endpoint_record> engines;
    for (int i = 0; i < count; ++i) {
        endpoint_record engine;
        engine.name = "i-" + std::to_string(placement_hash(std::to_string(i)));
        engine.domain = "d" + std::to_string(i % domains);
        engine.pool = "engines";
        engines.push_back(engine);
    }
    return engines;
}

// Guards against 985 hosts that each consider themselves alone a second after they all started, and so all
// read the store.
TEST(store_reading, a_host_that_expects_others_listens_until_it_hears_of_one) {
    reading_inputs inputs = inputs_of_non_reader();
    inputs.mode = reading_mode::listening;
    inputs.hosts = 1;
    inputs.hosts_before = 0;
    inputs.since_start = milliseconds(1200);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
    inputs.expects_others = true;
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::listening);
    inputs.since_start = milliseconds(2600);
    EXPECT_EQ(choose_reading_mode(inputs), reading_mode::all);
}

// Guards against what each host holds growing with the fleet, and against an endpoint that no host of its
// domain holds.
TEST(endpoint_division, a_host_holds_a_bounded_part_at_any_size) {
    for (const int count : {1200, 3000, 9696, 20'000}) {
        const std::vector<endpoint_record> engines = make_engines(count, 6);
        endpoint_division division;
        division.update(engines);
        ASSERT_TRUE(division.is_divided());
        std::set<std::string> held_in_domain;
        std::size_t most = 0;
        for (int host = 0; host < 160; ++host) {
            std::size_t held = 0;
            for (const endpoint_record& engine : engines) {
                if (division.holds("h" + std::to_string(host), "d1", engine)) {
                    ++held;
                    if (engine.domain == "d1") {
                        held_in_domain.insert(engine.name);
                    }
                }
            }
            most = std::max(most, held);
        }
        constexpr std::size_t own_domain = 256;
        constexpr std::size_t common = 384; // 64 in each of six domains
        EXPECT_LE(most, (own_domain + common) * 5 / 4) << count;
        const auto in_domain = std::count_if(engines.begin(), engines.end(),
                                             [](const auto& engine) { return engine.domain == "d1"; });
        EXPECT_EQ(held_in_domain.size(), static_cast<std::size_t>(in_domain)) << count;
    }
}

// Guards against hosts that send a shared part of a prompt to different homes because they hold different
// endpoints.
TEST(endpoint_division, all_hosts_hold_the_common_endpoints) {
    const std::vector<endpoint_record> engines = make_engines(9696, 6);
    endpoint_division division;
    division.update(engines);
    endpoint_division taken;
    taken.set_groups(division.groups());
    EXPECT_EQ(taken.id(), division.id());
    std::map<std::string, int> common;
    for (const endpoint_record& engine : engines) {
        if (taken.is_common(engine)) {
            ++common[engine.domain];
            EXPECT_TRUE(division.holds("h1", "d1", engine) && division.holds("h2", "elsewhere", engine));
        }
    }
    EXPECT_EQ(common.size(), 6U);
    for (const auto& [domain, count] : common) {
        EXPECT_GE(count, 24) << domain;
    }
}

// Guards against every host fetching its part anew whenever a few endpoints come or go.
TEST(endpoint_division, the_division_changes_only_with_large_changes) {
    endpoint_division division;
    division.update(make_engines(9696, 6));
    const std::string id = division.id();
    division.update(make_engines(8200, 6));
    EXPECT_EQ(division.id(), id);
    division.update(make_engines(19'000, 6));
    EXPECT_NE(division.id(), id);
    division.update(make_engines(100, 6));
    EXPECT_FALSE(division.is_divided());
    EXPECT_TRUE(division.holds("h1", "d1", make_engines(1, 1).front()));
}

// The store returns after eight seconds. Not all of 295 hosts may read everything at once, because the
// readers' copies reach the others within a moment.
TEST(store_reading, after_an_outage_only_few_hosts_read_everything) {
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

namespace {

/** Hosts of which the store refuses some. Every 250 ms each host chooses what it reads; news of a lost store
 * takes 100 ms to the hosts that are told of it and a second to all others. */
class partly_served_fleet {
public:
    explicit partly_served_fleet(int count) : hosts_{make_fleet(count, 4)}, members_(hosts_.size()) {}

    void refuse(std::size_t number) { members_[number].is_refused = true; }
    void serve_all() {
        for (member& each : members_) {
            each.is_refused = false;
        }
    }
    void run(duration time) {
        for (const time_point end = now_ + time; now_ < end; now_ += milliseconds(50)) {
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                call_store(i);
                if (to_ms(now_.time_since_epoch()) == 0 || (ticks_ + i) % 5 == 0) {
                    choose(i);
                }
            }
            ++ticks_;
        }
    }
    std::size_t served_readers() const {
        return static_cast<std::size_t>(
            std::count_if(members_.begin(), members_.end(), [](const member& each) {
                return each.inputs.mode == reading_mode::all && !each.is_refused;
            }));
    }
    std::size_t hosts_calling() const {
        return static_cast<std::size_t>(
            std::count_if(members_.begin(), members_.end(),
                          [](const member& each) { return each.inputs.mode != reading_mode::copies; }));
    }

private:
    struct member {
        reading_inputs inputs = inputs_of_non_reader();
        bool is_refused = false;
        std::optional<time_point> lost_since;
        std::map<std::string, std::pair<time_point, bool>>
            news; ///< by host: when it arrives, and what it says
    };

    void call_store(std::size_t number) {
        member& host = members_[number];
        if (host.inputs.mode == reading_mode::copies) {
            host.lost_since.reset();
        } else if (!host.is_refused) {
            host.lost_since.reset();
            host.inputs.has_store_answered = true;
        } else if (!host.lost_since) {
            host.lost_since = now_;
        }
    }

    void choose(std::size_t number) {
        member& host = members_[number];
        std::vector<host_status> view = hosts_;
        for (host_status& each : view) {
            const auto news = host.news.find(each.name);
            each.has_lost_store =
                news != host.news.end() && news->second.first <= now_ && news->second.second;
        }
        const reader_position position = find_reader_position(hosts_[number].name, view);
        host.inputs.hosts = hosts_.size();
        host.inputs.hosts_before = position.overall;
        host.inputs.lost_before = position.lost;
        host.inputs.store_lost_for = host.lost_since ? now_ - *host.lost_since : duration::zero();
        announce(number, announces_lost_store(host.inputs), view);
        const reading_mode mode = choose_reading_mode(host.inputs);
        if (mode != host.inputs.mode) {
            host.inputs.mode = mode;
            host.inputs.has_store_answered = false;
            host.inputs.in_mode = duration::zero();
        }
        host.inputs.in_mode += milliseconds(250);
    }

    void announce(std::size_t number, bool has_lost_store, const std::vector<host_status>& view) {
        if (hosts_[number].has_lost_store == has_lost_store) {
            return;
        }
        hosts_[number].has_lost_store = has_lost_store;
        std::set<std::string> told;
        for (const host_status& each : select_substitute_readers(hosts_[number].name, view)) {
            told.insert(each.name);
        }
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            const duration delay = told.count(hosts_[i].name) > 0 ? milliseconds(100) : seconds(1);
            members_[i].news[hosts_[number].name] = {now_ + delay, has_lost_store};
        }
    }

    std::vector<host_status> hosts_;
    std::vector<member> members_;
    time_point now_ = time_point{} + seconds(100);
    std::size_t ticks_ = 0;
};

} // namespace

// Guards against a fleet in which nobody reads the store because it refuses the readers: leaving endpoints go
// on to get requests. Whichever third of the hosts is refused, others must read within the 3 s after which an
// endpoint that leaves may get nothing, and go on until the readers are served again.
RC_GTEST_PROP(store_reading, someone_reads_whichever_hosts_the_store_refuses, ()) {
    constexpr int hosts = 77;
    constexpr int refused = 25;
    partly_served_fleet fleet(hosts);
    fleet.run(seconds(2));
    RC_ASSERT(fleet.served_readers() == 2U);
    for (const std::size_t each :
         *rc::gen::unique<std::vector<std::size_t>>(refused, rc::gen::inRange<std::size_t>(0, hosts))) {
        fleet.refuse(each);
    }
    fleet.run(milliseconds(2700));
    for (int i = 0; i < 50; ++i) {
        RC_ASSERT(fleet.served_readers() >= 1U);
        RC_ASSERT(fleet.hosts_calling() <= 48U);
        fleet.run(milliseconds(100));
    }
    fleet.serve_all();
    fleet.run(seconds(3));
    RC_ASSERT(fleet.served_readers() == 2U);
    RC_ASSERT(fleet.hosts_calling() == 2U);
}

// A whole fleet starts before there is a configuration. If only serving hosts were ranked, every host would
// consider itself the first reader and read everything, and would do so again when the first few hosts serve.
TEST(store_reading, two_hosts_of_a_starting_fleet_read) {
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
    EXPECT_EQ(select_readers(hosts).front().name, readers.back().name) << "a leaving host is not a reader";
}

namespace {

/** A simulated fleet. In each gossip round of 0.4 s every host sends what it knows to its targets. */
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
        for (const gossip_target& target : from.next_targets(now)) {
            const auto index = static_cast<std::size_t>(std::stoi(target.address.substr(1)));
            const auto statuses = from.statuses_to_send(now, target.scope);
            const std::string beats = encode_heartbeats(from.heartbeats_to_send(now, target.scope));
            most_bytes = std::max(most_bytes, beats.size());
            cross_domain_bytes += hosts[index]->self().domain == from.self().domain ? 0 : beats.size();
            if (dead.count(index) == 0) {
                hosts[index]->merge(statuses, now);
                hosts[index]->merge_heartbeats(decode_heartbeats(beats), now);
                from.merge(hosts[index]->statuses_missing_in(decode_heartbeats(beats), from.self().name, now),
                           now);
            }
        }
    }
    /** \return the hosts that \p observer must consider alive: all of its own domain, and those that speak
     * for the other domains. */
    std::set<std::string> expected_by(const host_status& observer) const {
        std::map<std::string, std::vector<host_status>> by_domain;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (dead.count(i) == 0) {
                by_domain[hosts[i]->self().domain].push_back(hosts[i]->self());
            }
        }
        std::set<std::string> names;
        for (auto& [domain, members] : by_domain) {
            std::sort(members.begin(), members.end(), precedes_in_domain);
            const bool is_flat = members.size() <= max_flat_domain_hosts || domain == observer.domain;
            members.resize(is_flat ? members.size() : whole_list_holders(members.size()));
            std::for_each(members.begin(), members.end(), [&](const auto& each) { names.insert(each.name); });
        }
        return names;
    }
    /** \return how often a live host considers a host dead that it must know to be alive, or a dead host
     * alive.
     */
    std::size_t misjudgements() const {
        std::set<std::string> dead_names;
        for (const std::size_t i : dead) {
            dead_names.insert(hosts[i]->self().name);
        }
        std::size_t count = 0;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (dead.count(i) > 0) {
                continue;
            }
            std::set<std::string> missing = expected_by(hosts[i]->self());
            for (const host_status& each : hosts[i]->live(now)) {
                missing.erase(each.name);
                count += dead_names.count(each.name);
            }
            count += missing.size();
        }
        return count;
    }
    std::vector<std::unique_ptr<host_gossip>> hosts;
    std::set<std::size_t> dead;
    std::size_t most_bytes = 0;         ///< of the heartbeats in one message
    std::size_t cross_domain_bytes = 0; ///< of the heartbeats in messages to other domains
    time_point now = time_point{} + seconds(50);
};

} // namespace

// With three messages in 0.4 s that describe twelve hosts each, news of a given one of 295 hosts arrives
// every 3.3 s. Every host then considers half of the others dead: callers learn of half of the fleet, hosts
// that are no readers consider themselves readers, and changes are sent to half of the hosts.
TEST(host_gossip, every_host_of_a_large_fleet_knows_all_live_hosts) {
    for (const int count : {200, 985}) {
        gossiping_fleet fleet(count);
        fleet.run_rounds(25);
        EXPECT_EQ(fleet.misjudgements(), 0U) << count << " hosts, ten seconds after the start of all hosts";
        fleet.run_rounds(8);
        EXPECT_EQ(fleet.misjudgements(), 0U) << count << " hosts, three seconds later";
    }
}

// A third of the hosts lose power at once, among them two whole domains. They must be removed from answers to
// callers soon, and no live host may be considered dead.
TEST(host_gossip, the_loss_of_a_third_of_a_large_fleet_is_detected_within_six_seconds) {
    for (const std::size_t count : {200, 300, 600}) {
        gossiping_fleet fleet(static_cast<int>(count));
        fleet.run_rounds(25);
        for (std::size_t i = 0; i < count; i += 3) {
            fleet.dead.insert(i);
        }
        fleet.run_rounds(15);
        EXPECT_EQ(fleet.misjudgements(), 0U) << count;
    }
}

// Guards against heartbeats whose bytes between failure domains grow with the square of the fleet: with all
// hosts in each message they were 20 KB/s for each of 985 hosts.
TEST(host_gossip, heartbeats_between_domains_grow_slower_than_the_fleet) {
    const auto bytes_per_host_and_s = [](int count) {
        gossiping_fleet fleet(count);
        fleet.run_rounds(30);
        fleet.cross_domain_bytes = 0;
        constexpr int rounds_in_4_s = 10;
        fleet.run_rounds(rounds_in_4_s);
        constexpr std::size_t measured_s = 4;
        return fleet.cross_domain_bytes / measured_s / static_cast<std::size_t>(count);
    };
    const std::size_t at_300 = bytes_per_host_and_s(300);
    const std::size_t at_600 = bytes_per_host_and_s(600);
    constexpr std::size_t control_bytes_per_s = 6000;
    EXPECT_LT(at_600, control_bytes_per_s / 10);
    EXPECT_LT(at_600, 3 * at_300);
}

// Heartbeats travel as packed bytes, of which an incomplete one at the end must be ignored.
TEST(host_gossip, heartbeats_are_decoded_as_they_were_encoded) {
    const std::vector<host_heartbeat> beats{{4'000'000'001U, 65'535, 0}, {7, 1, 40'000}};
    EXPECT_EQ(decode_heartbeats(encode_heartbeats(beats)), beats);
    EXPECT_EQ(decode_heartbeats(encode_heartbeats(beats) + "half").size(), 2U);
}

// A restarted host counts its heartbeats from zero again. A delayed heartbeat of its earlier process must not
// count for the new one.
TEST(host_gossip, a_heartbeat_of_another_process_is_ignored) {
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
