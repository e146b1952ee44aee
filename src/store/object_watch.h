/** \file
 * Defines the watch over all objects of one kind: list, then follow, and start over when the history is gone.
 */
#pragma once

#include "base/base.h"
#include "chart/chart.h"
#include "store/object_store.h"
#include "transport/event_loop.h"

namespace laurelhoist {

using objects_by_name = std::map<std::string, stored_object>;

/** What a watch begins with. */
enum class listing_freshness {
    newest,
    lagging, ///< cheap, and may be seconds old; the calls that follow make up for it
};

/** How a kind of object is followed. */
struct watch_timing {
    duration wait{};      ///< one call waits so long for news; what is held is confirmed at least this often
    duration batch_delay{}; ///< after news, before the next call, so that a series costs few calls
    /// Between calls that fail one after another, from the fourth on.
    duration max_backoff = milliseconds(250);
    /// Seed by which each call waits up to a quarter more or less: hosts that follow in step know the same
    /// moment, and none could vouch for another when the store goes. 0: no spread.
    std::uint64_t jitter_seed = 0;
};

/// For up to a second before a store drops its history, its watches may miss changes.
constexpr duration event_loss_window = milliseconds(1100);

/** Keeps a copy of the objects of one kind.
 *
 * Its states stand in charts/object_watch.scxml: listing, following, resting (after a failure). Revisions
 * only rise: a page or event that is older than what is held is left out, so that a reading that was delayed
 * on its way never puts an old object back. */
class object_watch {
public:
    struct handlers {
        /// The copy has changed.
        std::function<void(const objects_by_name&)> on_change;
        /// What is held was complete and current at \c as_of.
        std::function<void(time_point as_of)> on_confirmed;
        /// Calls fail (true) or succeed again (false).
        std::function<void(bool is_lost)> on_reachability;
        /// The store has dropped the history that the watch went by.
        std::function<void()> on_history_gone;
    };

    object_watch(event_loop& loop, object_store& store, chart states, std::string kind, watch_timing timing,
                 handlers events);

    void start(listing_freshness first = listing_freshness::newest);
    /** Asks again now: a call under way may wait on a connection that was lost without a sign, as another
     * one to the same store was; and one that rests after a failure need not, as the store answers. */
    void restart_call();
    void set_max_backoff(duration longest) { max_backoff_ = longest; }
    void set_batch_delay(duration batch_delay) { batch_delay_ = batch_delay; }
    void set_wait(duration wait) { wait_ = wait; }
    /** Lists anew now. When the store drops its history, a watch of another kind may go on waiting to its
     * end without hearing what has happened meanwhile. */
    void relist();
    /** Makes no further calls until \ref resume; a call under way is heard to its end. */
    void pause() { is_paused_ = true; }
    void resume();
    /** Takes what another host holds, if it is newer.
     * \param last_changed_revision the \ref last_changed_revision of that host \return whether it was */
    bool take_copy(objects_by_name objects, std::int64_t last_changed_revision);
    /** \return the store's revision when what is held last changed. */
    std::int64_t last_changed_revision() const { return last_changed_revision_; }
    const objects_by_name& objects() const { return objects_; }
    bool is_listed() const { return is_listed_; }

private:
    void transition(const char* event);
    void list_from(const std::string& after);
    void on_page(const store_result<object_page>& result);
    void follow();
    void follow_after_events();
    void on_events(const store_result<object_events>& result, time_point sent_at);
    duration confirmed_wait(const object_events& heard, duration took) const;
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
    duration current_wait_{}; ///< of the call under way
    std::optional<random_source> jitter_;
    duration batch_delay_;
    duration max_backoff_;
    handlers events_;
    objects_by_name objects_;
    objects_by_name listed_objects_; ///< pages of a listing under way
    std::int64_t listing_revision_ = 0;
    std::int64_t revision_ = 0;
    std::int64_t last_changed_revision_ = 0;
    time_point listing_started_at_;
    listing_freshness listing_freshness_ = listing_freshness::newest; ///< the one under way
    int failures_ = 0;
    std::uint64_t current_call_ = 0; ///< the one whose answer counts
    bool is_listed_ = false;
    bool is_reachable_ = true;
    bool is_paused_ = false;
    bool is_idle_ = false;  ///< paused, with no call under way
    bool skips_next_wait_ = false; ///< the next call does not wait for news
};

} // namespace laurelhoist
