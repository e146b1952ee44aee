#include "store/store.h"

#include <gtest/gtest.h>

#include <deque>
#include <set>

namespace laurelhoist {
namespace {

/** A store whose answers the test gives by hand. */
class scripted_store : public object_store {
public:
    struct list_call {
        std::string after;
        page_handler done;
    };
    struct watch_call {
        std::int64_t revision = 0;
        duration wait{};
        events_handler done;
    };

    void list(const std::string&, const std::string& after, page_handler done) override {
        lists.push_back({after, std::move(done)});
    }
    void list_lagging(const std::string& kind, const std::string& after, page_handler done) override {
        ++lagging_lists;
        list(kind, after, std::move(done));
    }
    void watch(const std::string&, std::int64_t revision, duration wait, events_handler done) override {
        watches.push_back({revision, wait, std::move(done)});
    }
    void create(const std::string&, const std::string&, const json&, object_handler) override {}
    void replace_status(const std::string&, const std::string&, std::int64_t, const json&,
                        object_handler) override {}
    void replace(const std::string&, const std::string&, const json&, object_handler) override {}
    void remove(const std::string&, const std::string&, object_handler) override {}

    std::deque<list_call> lists;
    std::deque<watch_call> watches;
    int lagging_lists = 0;
};

stored_object object(const std::string& name, std::int64_t revision) {
    return {name, revision, json{{"revision", revision}}, json()};
}

struct watch_fixture {
    watch_fixture()
        : watch{loop,
                store,
                load_chart_or_exit(LAUREL_SOURCE_DIR "/charts", "object_watch"),
                "config",
                {seconds(2), duration::zero()},
                {[this](const objects_by_name& objects) { held = objects; },
                 [this](time_point as_of) { confirmed = as_of; },
                 [this](bool is_lost) { reachability.push_back(is_lost); }, [this] { ++histories_gone; }}} {
        watch.start();
    }

    void answer_list(const store_result<object_page>& page) {
        const auto done = store.lists.front().done;
        store.lists.pop_front();
        done(page);
    }
    void answer_watch(const store_result<object_events>& events) {
        const auto done = store.watches.front().done;
        store.watches.pop_front();
        done(events);
        settle();
    }
    /** Lets the next call go out, which follows news after a moment. */
    void settle() {
        loop.after(milliseconds(1), [this] { loop.stop(); });
        loop.run();
    }

    event_loop loop;
    scripted_store store;
    object_watch watch;
    objects_by_name held;
    std::optional<time_point> confirmed;
    std::vector<bool> reachability;
    int histories_gone = 0;
};

TEST(object_watch, lists_every_page_and_follows_from_the_first) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 3)}, true, 7});
    ASSERT_EQ(copy.store.lists.size(), 1U);
    EXPECT_EQ(copy.store.lists.front().after, "a");
    copy.answer_list(object_page{{object("b", 8)}, false, 9});
    EXPECT_EQ(copy.held.size(), 2U);
    ASSERT_EQ(copy.store.watches.size(), 1U);
    EXPECT_EQ(copy.store.watches.front().revision, 7);
}

// An operator withdraws a key and the store confirms it. An answer that was given before, and was long on its
// way, arrives after; were it taken, the key would work again on this host.
TEST(object_watch, an_older_object_never_replaces_a_newer_one) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("main", 5)}, false, 5});
    copy.answer_watch(object_events{{{object("main", 9), false}}, 9});
    copy.answer_watch(object_events{{{object("main", 7), false}}, 9});
    EXPECT_EQ(copy.held.at("main").revision, 9);
}

// The store drops its history and then answers a listing from before the newest change. Callers of this host
// would see the old configuration come back.
TEST(object_watch, a_listing_that_lags_behind_what_is_held_changes_nothing) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("main", 9)}, false, 9});
    copy.answer_watch(store_failure::history_gone);
    EXPECT_EQ(copy.histories_gone, 1);
    copy.answer_list(object_page{{object("main", 5)}, false, 6});
    EXPECT_EQ(copy.held.at("main").revision, 9);
    EXPECT_EQ(copy.store.watches.front().revision, 9);
}

// A host starts and takes a cheap listing, from which an endpoint that has left since is not yet missing.
// What it then follows must bring the removal, and a copy of a peer that is newer must go before the listing.
TEST(object_watch, a_listing_that_may_lag_is_made_good_by_what_follows) {
    watch_fixture copy;
    copy.store.lists.clear();
    copy.watch.pause();
    copy.watch.start(listing_freshness::lagging);
    ASSERT_EQ(copy.store.lagging_lists, 1);
    ASSERT_TRUE(copy.watch.take_copy({{"a", object("a", 8)}}, 8));
    copy.answer_list(object_page{{object("a", 3), object("b", 4)}, false, 5});
    EXPECT_EQ(copy.held.size(), 1U);
    EXPECT_TRUE(copy.store.watches.empty()) << "it is paused";
    copy.watch.resume();
    ASSERT_EQ(copy.store.watches.size(), 1U);
    EXPECT_EQ(copy.store.watches.front().revision, 8);
}

TEST(object_watch, a_removed_object_is_forgotten) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1), object("b", 2)}, false, 2});
    copy.answer_watch(object_events{{{object("a", 3), true}}, 3});
    EXPECT_EQ(copy.held.count("a"), 0U);
    EXPECT_EQ(copy.held.count("b"), 1U);
}

TEST(object_watch, a_lost_store_is_told_once_and_so_is_its_return) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    copy.answer_watch(store_failure::unanswered);
    EXPECT_EQ(copy.reachability, std::vector<bool>({true}));
    copy.loop.after(milliseconds(120), [&] { copy.loop.stop(); });
    copy.loop.run();
    ASSERT_FALSE(copy.store.watches.empty());
    copy.answer_watch(object_events{{}, 1});
    EXPECT_EQ(copy.reachability, std::vector<bool>({true, false}));
}

// A host is cut off, and the cut heals. Its first call waited two seconds for news before the store's return
// was known; endpoints that had left meanwhile were kept that much longer and got new requests.
TEST(object_watch, the_first_call_after_a_failure_does_not_wait) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    EXPECT_EQ(copy.store.watches.back().wait, seconds(2));
    copy.answer_watch(store_failure::unanswered);
    copy.loop.after(milliseconds(80), [&] { copy.loop.stop(); });
    copy.loop.run();
    ASSERT_FALSE(copy.store.watches.empty());
    EXPECT_EQ(copy.store.watches.back().wait, duration::zero());
    copy.answer_watch(object_events{{}, 1});
    EXPECT_EQ(copy.store.watches.back().wait, seconds(2));
}

// On a large fleet most hosts go by the copies of a few. Each change in the store raises its revision for
// every kind; the whole configuration was copied again with each endpoint that came or went.
TEST(object_watch, a_copy_counts_by_its_last_change) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 5});
    copy.answer_watch(object_events{{}, 9});
    EXPECT_EQ(copy.watch.last_changed_revision(), 5);
    EXPECT_FALSE(copy.watch.take_copy({{"a", object("a", 1)}}, 5));
    EXPECT_TRUE(copy.watch.take_copy({{"b", object("b", 11)}}, 11));
    EXPECT_EQ(copy.held.count("b"), 1U);
    EXPECT_EQ(copy.watch.last_changed_revision(), 11);
}

TEST(object_watch, a_paused_watch_makes_no_further_calls) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    copy.watch.pause();
    copy.answer_watch(object_events{{}, 1});
    EXPECT_TRUE(copy.store.watches.empty());
    copy.watch.resume();
    EXPECT_EQ(copy.store.watches.size(), 1U);
}

// A host reads the store itself for a moment while it is cut off, and stops again. The call that was under
// way fails a second later; the host took the store for lost, never looked again, and went on sending
// requests to endpoints that had left, until it was restarted.
TEST(object_watch, what_fails_after_a_pause_says_nothing_of_the_store) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    copy.watch.pause();
    copy.answer_watch(store_failure::unanswered);
    EXPECT_TRUE(copy.reachability.empty());
    copy.loop.after(milliseconds(80), [&] { copy.loop.stop(); });
    copy.loop.run();
    EXPECT_TRUE(copy.store.watches.empty());
    copy.watch.resume();
    copy.answer_watch(store_failure::unanswered);
    EXPECT_EQ(copy.reachability, std::vector<bool>({true}));
}

// The store is away for seconds. Of three watches one looks for its return; the others rest long, and are
// woken.
TEST(object_watch, one_that_rests_can_be_woken) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    copy.watch.set_max_backoff(seconds(60));
    copy.answer_watch(store_failure::unanswered);
    copy.watch.restart_call();
    ASSERT_EQ(copy.store.watches.size(), 1U);
    copy.loop.after(milliseconds(120), [&] { copy.loop.stop(); });
    copy.loop.run();
    EXPECT_EQ(copy.store.watches.size(), 1U) << "the rest that was ended asks once more";
}

// Something between this host and the store has lost track of one connection; another still works. The call
// on the first would wait for its whole time. Its answer, should it come, must not count twice.
TEST(object_watch, asking_again_leaves_the_answer_of_the_call_before_out) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    copy.watch.restart_call();
    ASSERT_EQ(copy.store.watches.size(), 2U);
    copy.answer_watch(object_events{{{object("a", 2), false}}, 2});
    EXPECT_EQ(copy.held.at("a").revision, 1);
    copy.answer_watch(object_events{{{object("a", 3), false}}, 3});
    EXPECT_EQ(copy.held.at("a").revision, 3);
}

// The store drops its history, and one watch is told. That of the roll-outs went on waiting for eight seconds
// in which it heard nothing: the order of a roll-out was seen eight seconds late.
TEST(object_watch, listing_again_leaves_a_deaf_call_behind) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    copy.watch.relist();
    ASSERT_EQ(copy.store.lists.size(), 1U);
    copy.answer_watch(object_events{{}, 1});
    copy.answer_list(object_page{{object("a", 1), object("b", 4)}, false, 4});
    EXPECT_EQ(copy.held.size(), 2U);
    EXPECT_EQ(copy.store.watches.back().revision, 4);
}

// Before a store drops its history, its watches may hear nothing of changes for a second. An empty answer
// that came early, or that is taken for more than it proves, would keep a withdrawn key alive.
TEST(object_watch, an_empty_answer_that_came_early_proves_only_its_sending) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    const time_point before = monotonic_now();
    copy.answer_watch(object_events{{}, 1});
    ASSERT_TRUE(copy.confirmed);
    EXPECT_LE(*copy.confirmed, before);
}

// The store goes away for everybody. Hosts that had all asked in step were all confirmed at the same moment,
// the oldest possible one, so that no peer could vouch for another and every caller was refused a second
// sooner.
TEST(object_watch, hosts_with_unlike_seeds_wait_for_unlike_times) {
    std::set<duration::rep> waits;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        event_loop loop;
        scripted_store store;
        watch_timing timing{seconds(2), duration::zero()};
        timing.jitter_seed = seed;
        object_watch watch(loop, store, load_chart_or_exit(LAUREL_SOURCE_DIR "/charts", "object_watch"),
                           "config", timing,
                           {[](const objects_by_name&) {}, [](time_point) {}, [](bool) {}, [] {}});
        watch.start();
        store.lists.front().done(object_page{{}, false, 5});
        ASSERT_EQ(store.watches.size(), 1U);
        EXPECT_GE(store.watches.front().wait, milliseconds(1500));
        EXPECT_LE(store.watches.front().wait, milliseconds(2500));
        waits.insert(store.watches.front().wait.count());
    }
    EXPECT_EQ(waits.size(), 8U);
}

} // namespace
} // namespace laurelhoist
