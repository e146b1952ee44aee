#include "store/store.h"

#include <gtest/gtest.h>

#include <utility>

#include <deque>
#include <set>

namespace laurelhoist {
namespace {

/** A store that records list and watch calls, which the test completes explicitly. */
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
                {[this](const objects_by_name& objects) { take(objects); },
                 [this](time_point as_of) {
                     throw_if_asked();
                     confirmed = as_of;
                 },
                 [this](bool is_lost) {
                     throw_if_asked();
                     reachability.push_back(is_lost);
                 },
                 [this] {
                     throw_if_asked();
                     ++histories_gone;
                 }}} {
        watch.start();
    }

    /** Throws once for each time that \ref throws_once was set. */
    void throw_if_asked() {
        if (std::exchange(throws_once, false)) {
            throw std::runtime_error("the report cannot be handled");
        }
    }

    void take(const objects_by_name& objects) {
        if (throws) {
            throw std::runtime_error("the change cannot be handled");
        }
        held = objects;
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
    /** Runs the loop for 1 ms, so that the next call is made; after changes it is posted with a delay of 0.
     */
    void settle() {
        loop.after(milliseconds(1), [this] { loop.stop(); });
        loop.run();
    }

    event_loop loop;
    scripted_store store;
    object_watch watch;
    objects_by_name held;
    bool throws = false;
    bool throws_once =
        false; ///< the next report of a confirmation, a loss, a return or a dropped history fails
    std::optional<time_point> confirmed;
    std::vector<bool> reachability;
    int histories_gone = 0;
};

// Objects may change while later pages are read. A watch that followed from the revision of the last page
// would miss the changes to objects of the earlier pages.
TEST(object_watch, lists_all_pages_and_follows_from_the_first) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 3)}, true, 7, {}, "a"});
    ASSERT_EQ(copy.store.lists.size(), 1U);
    EXPECT_EQ(copy.store.lists.front().after, "a");
    copy.answer_list(object_page{{object("b", 8)}, false, 9});
    EXPECT_EQ(copy.held.size(), 2U);
    ASSERT_EQ(copy.store.watches.size(), 1U);
    EXPECT_EQ(copy.store.watches.front().revision, 7);
}

// Guards against endpoints that are missing at every host because the last entries of a page are unreadable.
TEST(object_watch, a_page_of_unreadable_objects_does_not_end_the_listing) {
    watch_fixture copy;
    copy.answer_list(object_page{{}, true, 7, {}, "unreadable"});
    ASSERT_EQ(copy.store.lists.size(), 1U);
    EXPECT_EQ(copy.store.lists.front().after, "unreadable");
    copy.answer_list(object_page{{object("z", 8)}, false, 9, {}, "z"});
    EXPECT_EQ(copy.held.size(), 1U);
}

// Guards against accepted orders that are undone when another writer makes their objects unreadable.
TEST(last_readable, an_unreadable_object_keeps_its_last_value) {
    last_readable<std::string> known;
    std::vector<std::int64_t> refused;
    const auto update = [&](const objects_by_name& objects) {
        known.update(
            objects,
            [](const stored_object& object) -> outcome<std::string> {
                if (object.spec.is_string()) {
                    return object.spec.get<std::string>();
                }
                return error{error_kind::invalid_request, "give a string"};
            },
            [&](const stored_object& object, const error&) { refused.push_back(object.revision); });
        return known.values();
    };
    const stored_object sound{"a", 3, "order", {}};
    const stored_object unreadable{"a", 4, 7, {}};
    const stored_object never_readable{"b", 5, 8, {}};
    using values = std::vector<std::string>;
    EXPECT_EQ(update({{"a", sound}}), values{"order"});
    EXPECT_EQ(update({{"a", unreadable}, {"b", never_readable}}), values{"order"});
    EXPECT_EQ(update({{"a", unreadable}, {"b", never_readable}}), values{"order"});
    EXPECT_EQ(refused, (std::vector<std::int64_t>{4, 5}));
    EXPECT_EQ(update({{"b", never_readable}}), values{});
    EXPECT_EQ(update({{"a", unreadable}}), values{});
}

// Guards against a core that is kept busy by listing the same page again and again.
TEST(object_watch, a_listing_that_makes_no_progress_backs_off) {
    for (const char* name : {"", "a"}) {
        watch_fixture copy;
        copy.answer_list(object_page{{object("a", 3)}, true, 7, {}, "a"});
        copy.answer_list(object_page{{object("a", 3)}, true, 7, {}, name});
        EXPECT_EQ(copy.store.lists.size(), 0U) << name;
        EXPECT_TRUE(copy.held.empty());
    }
}

// Guards against a delayed response restoring an old object: if it replaced the newer one, a key that an
// operator has withdrawn would be accepted again by this host.
TEST(object_watch, ignores_an_event_older_than_the_object_held) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("main", 5)}, false, 5});
    copy.answer_watch(object_events{{{object("main", 9), false}}, 9});
    copy.answer_watch(object_events{{{object("main", 7), false}}, 9});
    EXPECT_EQ(copy.held.at("main").revision, 9);
}

// Guards against a change whose handling throws: the host would follow no later change, or confirm what it
// does not use.
TEST(object_watch, a_change_that_cannot_be_handled_is_reported_again_and_not_confirmed) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("main", 5)}, false, 5});
    copy.confirmed.reset();
    copy.throws = true;
    copy.answer_watch(object_events{{{object("main", 9), false}}, 9});
    EXPECT_EQ(copy.confirmed, std::nullopt);
    ASSERT_EQ(copy.store.watches.size(), 1U);
    copy.throws = false;
    copy.answer_watch(object_events{{}, 9});
    EXPECT_EQ(copy.held.at("main").revision, 9);
    EXPECT_TRUE(copy.confirmed.has_value());
}

// Guards against a copy that is never updated again because the report of its confirmation has thrown.
TEST(object_watch, follows_on_after_the_report_of_a_confirmation_has_thrown) {
    watch_fixture copy;
    copy.throws_once = true;
    EXPECT_NO_THROW(copy.answer_list(object_page{{object("main", 5)}, false, 5}));
    ASSERT_EQ(copy.store.watches.size(), 1U);
    copy.throws_once = true;
    EXPECT_NO_THROW(copy.answer_watch(object_events{{{object("main", 9), false}}, 9}));
    ASSERT_EQ(copy.store.watches.size(), 1U);
    copy.answer_watch(object_events{{}, 9});
    EXPECT_TRUE(copy.confirmed.has_value());
    EXPECT_EQ(copy.held.at("main").revision, 9);
}

// Guards against a store that is never called again, or counts as lost for good, because the report of its
// loss or of its return has thrown.
TEST(object_watch, a_report_of_reachability_that_has_thrown_is_made_again) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("main", 5)}, false, 5});
    copy.throws_once = true;
    EXPECT_NO_THROW(copy.answer_watch(store_failure::refused));
    copy.watch.restart_call();
    ASSERT_EQ(copy.store.watches.size(), 1U);
    copy.answer_watch(store_failure::refused);
    EXPECT_EQ(copy.reachability, std::vector<bool>({true}));
    copy.watch.restart_call();
    ASSERT_EQ(copy.store.watches.size(), 1U);
    copy.throws_once = true;
    EXPECT_NO_THROW(copy.answer_watch(object_events{{}, 5}));
    ASSERT_EQ(copy.store.watches.size(), 1U);
    copy.answer_watch(object_events{{}, 5});
    EXPECT_EQ(copy.reachability, std::vector<bool>({true, false}));
}

// Guards against an exception that leaves the watch when the store has dropped its history.
TEST(object_watch, lists_again_after_the_report_of_a_dropped_history_has_thrown) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("main", 5)}, false, 5});
    copy.throws_once = true;
    EXPECT_NO_THROW(copy.answer_watch(store_failure::history_gone));
    ASSERT_EQ(copy.store.lists.size(), 1U);
    copy.answer_list(object_page{{object("main", 9)}, false, 9});
    EXPECT_EQ(copy.held.at("main").revision, 9);
}

// Guards against a stale listing: after dropping its history, the store may return a listing from before the
// latest change, which would restore the old configuration on this host.
TEST(object_watch, ignores_a_listing_older_than_the_copy) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("main", 9)}, false, 9});
    copy.answer_watch(store_failure::history_gone);
    EXPECT_EQ(copy.histories_gone, 1);
    copy.answer_list(object_page{{object("main", 5)}, false, 6});
    EXPECT_EQ(copy.held.at("main").revision, 9);
    EXPECT_EQ(copy.store.watches.front().revision, 9);
}

// A stale listing may still contain an endpoint that has left. The watch must follow from the revision of the
// copy, so that the removal arrives, and a newer copy from a peer must take precedence over the listing.
TEST(object_watch, a_stale_listing_does_not_replace_a_newer_copy_from_a_peer) {
    watch_fixture copy;
    copy.store.lists.clear();
    copy.watch.pause();
    copy.watch.start(listing_freshness::lagging);
    ASSERT_EQ(copy.store.lagging_lists, 1);
    ASSERT_TRUE(copy.watch.take_copy({{"a", object("a", 8)}}, 8));
    copy.answer_list(object_page{{object("a", 3), object("b", 4)}, false, 5});
    EXPECT_EQ(copy.held.size(), 1U);
    EXPECT_TRUE(copy.store.watches.empty()) << "a paused watch makes no calls";
    copy.watch.resume();
    ASSERT_EQ(copy.store.watches.size(), 1U);
    EXPECT_EQ(copy.store.watches.front().revision, 8);
}

// Guards against a host that reads a long list although others read it for the fleet, and against one that
// never reads it when no copy comes.
TEST(object_watch, a_paused_listing_stops_after_its_page_and_begins_again) {
    watch_fixture copy;
    copy.watch.pause();
    copy.answer_list(object_page{{object("a", 3)}, true, 7, {}, "a"});
    EXPECT_TRUE(copy.store.lists.empty());
    EXPECT_TRUE(copy.watch.is_listing_stopped());
    EXPECT_FALSE(copy.watch.is_listed());
    copy.watch.resume();
    ASSERT_EQ(copy.store.lists.size(), 1U);
    EXPECT_EQ(copy.store.lists.front().after, "");
}

// Guards against a host that holds a part of the list and then follows only changes, so that it never learns
// of the other endpoints when it has to read for the fleet.
TEST(object_watch, a_host_with_a_part_lists_everything_before_it_follows) {
    watch_fixture copy;
    copy.watch.pause();
    copy.answer_list(object_page{{object("a", 3)}, true, 7, {}, "a"});
    ASSERT_TRUE(copy.watch.take_copy({{"b", object("b", 8)}}, 8, object_watch::copy_extent::part));
    EXPECT_TRUE(copy.watch.is_listed());
    EXPECT_TRUE(copy.store.watches.empty());
    copy.watch.resume();
    EXPECT_TRUE(copy.store.watches.empty()) << "the part is completed first";
    copy.answer_list(object_page{{object("a", 3), object("b", 8)}, false, 9});
    EXPECT_EQ(copy.held.size(), 2U);
    EXPECT_FALSE(copy.watch.is_partial());
    EXPECT_EQ(copy.store.watches.size(), 1U);
}

// Guards against a host that keeps a part of the list although it is to serve the whole list to others.
TEST(object_watch, a_whole_copy_of_the_same_revision_replaces_a_part) {
    watch_fixture copy;
    copy.watch.pause();
    copy.answer_list(object_page{{object("a", 3)}, false, 7});
    ASSERT_TRUE(copy.watch.take_copy({{"b", object("b", 8)}}, 8, object_watch::copy_extent::part));
    EXPECT_FALSE(copy.watch.take_copy({{"b", object("b", 8)}}, 8, object_watch::copy_extent::part));
    EXPECT_TRUE(copy.watch.take_copy({{"a", object("a", 3)}, {"b", object("b", 8)}}, 8));
    EXPECT_FALSE(copy.watch.is_partial());
}

// Guards against a reader that falls behind: 10,000 endpoints register within three seconds, and each answer
// of the store names 500 of them.
TEST(object_watch, a_full_answer_is_followed_at_once) {
    watch_fixture copy;
    copy.watch.set_batch_delay(seconds(1));
    copy.answer_list(object_page{{object("a", 3)}, false, 7});
    object_events full;
    for (std::int64_t i = 0; i < 500; ++i) {
        full.events.push_back({object("e" + std::to_string(i), 8 + i), false});
    }
    full.as_of_revision = 508;
    copy.answer_watch(full);
    EXPECT_EQ(copy.store.watches.size(), 1U);
    copy.answer_watch(object_events{{{object("a", 600), false}}, 600});
    EXPECT_TRUE(copy.store.watches.empty()) << "single changes are batched";
}

TEST(object_watch, removes_an_object_on_a_removal_event) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1), object("b", 2)}, false, 2});
    copy.answer_watch(object_events{{{object("a", 3), true}}, 3});
    EXPECT_EQ(copy.held.count("a"), 0U);
    EXPECT_EQ(copy.held.count("b"), 1U);
}

TEST(object_watch, reports_loss_and_return_of_the_store_once_each) {
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

// Guards against noticing the return of the store late: if the first call after a partition waits two seconds
// for changes, endpoints that have left are kept for that much longer and receive new requests.
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

// On a large fleet most hosts use the copies of a few. Each change in the store raises the revision for every
// kind, so comparing copies by revision would transfer the whole configuration whenever an endpoint changes.
TEST(object_watch, compares_copies_by_their_last_change) {
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

// A call that is in progress when the watch is paused may fail afterwards. If that marked the store as lost,
// no later call would correct it, and the host would send requests to endpoints that have left until
// restarted.
TEST(object_watch, ignores_a_failure_after_a_pause) {
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

// While the store is unreachable, one of three watches checks for its return and the others back off for
// long. When it returns, restart_call must end their backoff.
TEST(object_watch, restart_call_ends_the_backoff) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    copy.watch.set_max_backoff(seconds(60));
    copy.answer_watch(store_failure::unanswered);
    copy.watch.restart_call();
    ASSERT_EQ(copy.store.watches.size(), 1U);
    copy.loop.after(milliseconds(120), [&] { copy.loop.stop(); });
    copy.loop.run();
    EXPECT_EQ(copy.store.watches.size(), 1U) << "the timer of the ended backoff makes another call";
}

// A device on the path to the store may drop its state of one connection while another works, and the call on
// the first waits for its whole timeout. Its response, if it arrives after restart_call, must be ignored.
TEST(object_watch, restart_call_ignores_the_response_of_the_earlier_call) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    copy.watch.restart_call();
    ASSERT_EQ(copy.store.watches.size(), 2U);
    copy.answer_watch(object_events{{{object("a", 2), false}}, 2});
    EXPECT_EQ(copy.held.at("a").revision, 1);
    copy.answer_watch(object_events{{{object("a", 3), false}}, 3});
    EXPECT_EQ(copy.held.at("a").revision, 3);
}

// When the store drops its history, only one watch may be notified. Guards against the watch of roll-outs
// waiting on without receiving changes: the order of a roll-out was noticed eight seconds late.
TEST(object_watch, relist_ignores_the_response_of_the_call_in_progress) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    copy.watch.relist();
    ASSERT_EQ(copy.store.lists.size(), 1U);
    copy.answer_watch(object_events{{}, 1});
    copy.answer_list(object_page{{object("a", 1), object("b", 4)}, false, 4});
    EXPECT_EQ(copy.held.size(), 2U);
    EXPECT_EQ(copy.store.watches.back().revision, 4);
}

// For a second before the store drops its history, watches may miss changes. If an empty response that
// arrives early confirmed more than the time of the call, a withdrawn key would be accepted for too long.
TEST(object_watch, an_early_empty_response_confirms_only_the_time_of_the_call) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 1});
    const time_point before = monotonic_now();
    copy.answer_watch(object_events{{}, 1});
    ASSERT_TRUE(copy.confirmed);
    EXPECT_LE(*copy.confirmed, before);
}

// Guards against hosts that call in step: when the store becomes unreachable for all, they were all last
// confirmed at the same, oldest possible time. No peer then has a fresher confirmation, and callers were
// refused a second sooner.
TEST(object_watch, different_jitter_seeds_give_different_waits) {
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

// Guards against a watch that waits until its limit on a connection that lost a response, while another watch
// is told of later revisions: endpoints that left meanwhile still got requests.
TEST(response_check, a_call_that_does_not_bring_a_known_revision_is_made_anew_once) {
    const time_point begin{seconds(100)};
    const time_point due = begin + response_check::response_slack;
    response_check response;
    response.begin_call();
    EXPECT_TRUE(response.note(7, 5, begin));
    EXPECT_FALSE(response.note(8, 5, begin + milliseconds(100))) << "the call is in doubt since the first";
    EXPECT_FALSE(response.is_overdue(due - milliseconds(1)));
    EXPECT_TRUE(response.is_overdue(due));
    response.begin_call();
    EXPECT_FALSE(response.note(8, 5, due)) << "this call was sent after the store had reached the revision";
    EXPECT_FALSE(response.is_overdue(due + seconds(8)));
    EXPECT_TRUE(response.note(9, 5, due + seconds(1)));
}

TEST(response_check, a_call_that_responds_in_time_or_is_up_to_date_is_kept) {
    const time_point begin{seconds(100)};
    response_check response;
    EXPECT_FALSE(response.note(7, 5, begin)) << "no call is waiting";
    response.begin_call();
    EXPECT_FALSE(response.note(9, 9, begin));
    EXPECT_TRUE(response.note(10, 9, begin));
    response.end_call();
    EXPECT_FALSE(response.is_overdue(begin + seconds(8)));
}

// Guards against the same in a watch: its next call must go out soon, and follow from the copy that it holds.
TEST(object_watch, a_call_that_lost_its_response_is_made_anew) {
    watch_fixture copy;
    copy.answer_list(object_page{{object("a", 1)}, false, 5});
    ASSERT_EQ(copy.store.watches.size(), 1U);
    copy.watch.note_store_revision(5);
    copy.watch.note_store_revision(7);
    copy.loop.after(response_check::response_slack + milliseconds(50), [&] { copy.loop.stop(); });
    copy.loop.run();
    ASSERT_EQ(copy.store.watches.size(), 2U);
    EXPECT_EQ(copy.store.watches.back().revision, 5);
    copy.watch.note_store_revision(7);
    copy.loop.after(response_check::response_slack + milliseconds(50), [&] { copy.loop.stop(); });
    copy.loop.run();
    EXPECT_EQ(copy.store.watches.size(), 2U) << "one more call for one revision";
    copy.store.watches.pop_front();
    copy.answer_watch(object_events{{{object("a", 7), true}}, 7});
    EXPECT_TRUE(copy.held.empty());
}

} // namespace
} // namespace laurelhoist
