/** \file
 * Defines the watch over all objects of one kind: it lists them, follows their changes, and lists again when
 * the store has dropped the history of changes.
 */
#pragma once

#include "base/base.h"
#include "chart/chart.h"
#include "store/object_store.h"
#include "store/response_check.h"
#include "transport/event_loop.h"

namespace laurelhoist {

using objects_by_name = std::map<std::string, stored_object>;

/** How current the listing must be with which a watch begins. */
enum class listing_freshness {
    newest,
    lagging, ///< costs less and may be seconds old; the watch calls that follow bring the missing changes
};

/** Wait times and delays of the calls with which a kind of object is watched. */
struct watch_timing {
    duration wait{};        ///< wait of a watch call for changes; roughly the interval of confirmations
    duration batch_delay{}; ///< delay after a call that returned changes, so that a series costs few calls
    /// Delay after a failed call, from the fourth consecutive failure on.
    duration max_backoff = milliseconds(250);
    /// Seed of the jitter, which varies the wait of each call by up to a quarter. Without it, hosts whose
    /// calls run in step were all last confirmed at the same time, so that none has a fresher confirmation
    /// for its peers when the store becomes unreachable. 0: no jitter.
    std::uint64_t jitter_seed = 0;
};

/// Before the store drops its history, its watches may miss changes for up to a second. This window is
/// slightly longer.
constexpr duration event_loss_window = milliseconds(1100);

/** Keeps a local copy of the objects of one kind.
 *
 * Its states are defined in charts/object_watch.scxml: listing, following, and resting (backoff after a
 * failure). Revisions only increase: a listing or event that is older than the copy is ignored, so that a
 * delayed response never restores an old object. */
class object_watch {
public:
    struct handlers {
        /// The copy has changed.
        std::function<void(const objects_by_name&)> on_change;
        /// The copy was complete and current at \c as_of.
        std::function<void(time_point as_of)> on_confirmed;
        /// Calls have begun to fail (true) or succeed again (false).
        std::function<void(bool is_lost)> on_reachability;
        /// The store has dropped the history from which the watch was following.
        std::function<void()> on_history_gone;
    };

    object_watch(event_loop& loop, object_store& store, chart states, std::string kind, watch_timing timing,
                 handlers events);

    void start(listing_freshness first = listing_freshness::newest);
    /** Replaces the call in progress by a new one, or ends the backoff after a failure. Used once another
     * watch finds the store reachable: the call in progress may be waiting on a connection that was lost
     * without an error, and a backoff is no longer needed. */
    void restart_call();
    /** Notes that the store is at \p revision, as the watch of another kind was told. If the call in progress
     * brings nothing of it in time, it is made anew: its response may have been lost. */
    void note_store_revision(std::int64_t revision);
    void set_max_backoff(duration longest) { max_backoff_ = longest; }
    void set_batch_delay(duration batch_delay) { batch_delay_ = batch_delay; }
    void set_wait(duration wait) { wait_ = wait; }
    /** Abandons the call in progress and lists all objects again. When the store drops its history, the watch
     * calls of other kinds may wait to their end without receiving the changes made meanwhile. */
    void relist();
    /** Makes no further calls until \ref resume; the result of a call in progress is still processed. A
     * listing in progress stops after the current page and begins again at \ref resume. */
    void pause() { is_paused_ = true; }
    void resume();
    /** Which objects a copy of another host holds. */
    enum class copy_extent { whole, part };
    /** Replaces the copy by that of another host if that one is newer, or whole and the one held is not.
     * \param last_changed_revision the \ref last_changed_revision of the other host's copy
     * \return whether the copy was replaced */
    bool take_copy(objects_by_name objects, std::int64_t last_changed_revision,
                   copy_extent extent = copy_extent::whole);
    /** \return whether the copy held is a part of the objects. */
    bool is_partial() const { return extent_ == copy_extent::part; }
    /** \return whether a listing was stopped by \ref pause before its last page. */
    bool is_listing_stopped() const { return is_listing_stopped_; }
    /** \return the store's revision at the last change of the copy. */
    std::int64_t last_changed_revision() const { return last_changed_revision_; }
    /** \return the store's revision up to which the copy is complete. */
    std::int64_t revision() const { return revision_; }
    const objects_by_name& objects() const { return objects_; }
    bool is_listed() const { return is_listed_; }
    /** \return whether the last call succeeded, or none has been made. */
    bool is_reachable() const { return is_reachable_; }

private:
    void transition(const char* event);
    void list_from(const std::string& after);
    void on_page(const store_result<object_page>& result);
    void stop_listing();
    void follow();
    void follow_after_events();
    void on_events(const store_result<object_events>& result, time_point sent_at);
    duration confirmed_wait(const object_events& heard, duration took) const;
    /** \return whether \p handler, which is called, ended without an exception. Logs one. */
    bool report(const std::function<void()>& handler);
    void report_change();
    void confirm(time_point as_of);
    void on_failure(store_failure failure);
    void back_off();
    void end_backoff();
    void set_reachable(bool is_reachable);
    bool apply(const object_event& event);

    event_loop& loop_;
    object_store& store_;
    chart chart_;
    std::string state_;
    std::string kind_;
    duration next_wait();

    duration wait_;
    duration current_wait_{}; ///< wait time of the call in progress
    std::optional<random_source> jitter_;
    duration batch_delay_;
    duration max_backoff_;
    handlers events_;
    objects_by_name objects_;
    objects_by_name listed_objects_; ///< objects received so far by the listing in progress
    std::string listed_until_;       ///< the name after which its current page begins
    std::int64_t listing_revision_ = 0;
    std::int64_t revision_ = 0;
    std::int64_t last_changed_revision_ = 0;
    time_point listing_started_at_;
    listing_freshness listing_freshness_ = listing_freshness::newest; ///< of the listing in progress
    int failures_ = 0;
    std::uint64_t current_call_ = 0; ///< call or backoff in progress; results of earlier ones are ignored
    response_check response_;
    bool is_listed_ = false;
    bool is_reachable_ = true;
    bool has_unhandled_change_ = false;       ///< the last report of a change ended in an exception
    bool has_unhandled_reachability_ = false; ///< the same of a loss or a return of the store
    bool is_paused_ = false;
    bool is_idle_ = false; ///< paused, with no call in progress
    bool is_listing_stopped_ = false;
    copy_extent extent_ = copy_extent::whole;
    bool skips_next_wait_ = false; ///< the next watch call returns at once instead of waiting for changes
};

} // namespace laurelhoist
