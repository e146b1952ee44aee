#include "store/object_watch.h"

namespace laurelhoist {

namespace {

/// Backoff after the first consecutive failures. Most failures affect a single call, so these delays are
/// short. Calls are not repeated at once because all hosts share a rate limit, which counts refused calls
/// too.
constexpr duration initial_backoffs[] = {milliseconds(50), milliseconds(150), milliseconds(250)};

/// The store returns about 500 events at most in one answer. After an answer of this size the next call is
/// made at once: with 0.8 s between calls a reader follows no more than 600 changes a second, and 10,000
/// endpoints that register take 16 s to become known.
constexpr std::size_t full_batch = 100;

} // namespace

const char* to_string(store_failure failure) {
    switch (failure) {
    case store_failure::refused:
        return "refused";
    case store_failure::unanswered:
        return "unanswered";
    case store_failure::conflict:
        return "conflict";
    case store_failure::missing:
        return "missing";
    case store_failure::history_gone:
        return "history_gone";
    case store_failure::unreadable:
        return "unreadable";
    }
    return "unknown";
}

object_watch::object_watch(event_loop& loop, object_store& store, chart states, std::string kind,
                           watch_timing timing, handlers events)
    : loop_{loop},
      store_{store},
      chart_{std::move(states)},
      state_{chart_.initial()},
      kind_{std::move(kind)},
      wait_{timing.wait},
      jitter_{timing.jitter_seed == 0 ? std::nullopt : std::optional<random_source>(timing.jitter_seed)},
      batch_delay_{timing.batch_delay},
      max_backoff_{timing.max_backoff},
      events_{std::move(events)} {}

void object_watch::transition(const char* event) {
    const outcome<std::string> next = chart_.next(state_, event);
    const std::string* target = value_of(next);
    if (invariant("watch_follows_its_chart", target != nullptr, [&] {
            return json{{"state", state_}, {"event", event}, {"kind", kind_}};
        })) {
        state_ = *target;
    }
}

// An exception must not end the following of all later changes.
bool object_watch::report(const std::function<void()>& handler) {
    try {
        handler();
        return true;
    } catch (const std::exception& failure) {
        log_error("change_handler_failed", {{"kind", kind_}, {"what", failure.what()}});
        return false;
    }
}

// A change whose handling failed is reported again with the next response.
void object_watch::report_change() {
    has_unhandled_change_ = !report([this] { events_.on_change(objects_); });
}

void object_watch::confirm(time_point as_of) {
    if (!has_unhandled_change_) { // What is in use is otherwise older than the copy.
        report([this, as_of] { events_.on_confirmed(as_of); });
    }
}

void object_watch::start(listing_freshness first) {
    response_.end_call();
    listing_freshness_ = first;
    listed_objects_.clear();
    listing_started_at_ = monotonic_now();
    list_from("");
}

void object_watch::restart_call() {
    if (state_ == "following" && !is_idle_) {
        follow();
    } else if (state_ == "resting" || state_ == "resting_unlisted") {
        ++current_call_; // Invalidates the timer of the backoff in progress.
        end_backoff();
    }
}

void object_watch::note_store_revision(std::int64_t revision) {
    if (is_paused_ || !response_.note(revision, revision_, monotonic_now())) {
        return;
    }
    const std::uint64_t call = current_call_;
    loop_.after(response_check::response_slack, [this, call] {
        if (call == current_call_ && state_ == "following" && !is_paused_ &&
            response_.is_overdue(monotonic_now())) {
            log_info("watch_call_repeated", {{"kind", kind_}, {"revision", revision_}});
            follow();
        }
    });
}

void object_watch::relist() {
    if (state_ == "following" && !is_idle_) {
        ++current_call_; // Ignores the result of the call in progress.
        transition("history_gone");
        start();
    }
}

void object_watch::list_from(const std::string& after) {
    listed_until_ = after;
    const auto call =
        listing_freshness_ == listing_freshness::lagging ? &object_store::list_lagging : &object_store::list;
    (store_.*call)(kind_, after, [this](const auto& result) { on_page(result); });
}

void object_watch::on_page(const store_result<object_page>& result) {
    if (const store_failure* failure = std::get_if<store_failure>(&result)) {
        on_failure(*failure);
        return;
    }
    const object_page& page = std::get<object_page>(result);
    if (listed_objects_.empty()) {
        // The watch follows from the revision of the first page: changes made while the other pages were read
        // arrive again as events.
        listing_revision_ = page.as_of_revision;
    }
    for (const stored_object& item : page.items) {
        listed_objects_[item.name] = item;
    }
    if (page.has_more) {
        if (is_paused_) {
            stop_listing();
        } else if (page.last_name.empty() || page.last_name == listed_until_) {
            on_failure(store_failure::unreadable); // The next page would be this one again.
        } else {
            list_from(page.last_name);
        }
        return;
    }
    set_reachable(true);
    transition("listed");
    // A listing older than the copy comes from a store that lags behind; the copy is kept.
    if (listing_revision_ >= revision_) {
        objects_ = std::move(listed_objects_);
        extent_ = copy_extent::whole;
        revision_ = listing_revision_;
        last_changed_revision_ = listing_revision_;
        is_listed_ = true;
        report_change();
        confirm(listing_started_at_);
    }
    listed_objects_.clear();
    follow();
}

void object_watch::stop_listing() {
    set_reachable(true);
    listed_objects_.clear();
    is_listing_stopped_ = !is_listed_;
    if (is_listed_) { // A copy of another host has arrived meanwhile.
        transition("listed");
        follow();
    }
}

void object_watch::resume() {
    is_paused_ = false;
    if (is_listing_stopped_) {
        is_listing_stopped_ = false;
        start(listing_freshness_);
    } else if (is_idle_) {
        is_idle_ = false;
        skips_next_wait_ = true; // Confirmations received from other hosts are out of date by now.
        follow();
    } else if (is_partial()) {
        restart_call();
    }
}

bool object_watch::take_copy(objects_by_name objects, std::int64_t last_changed_revision,
                             copy_extent extent) {
    const bool is_newer = last_changed_revision > last_changed_revision_;
    const bool completes =
        is_partial() && extent == copy_extent::whole && last_changed_revision == last_changed_revision_;
    if (!is_newer && !completes) {
        return false;
    }
    objects_ = std::move(objects);
    extent_ = extent;
    last_changed_revision_ = last_changed_revision;
    revision_ = std::max(revision_, last_changed_revision);
    is_listed_ = true;
    if (is_listing_stopped_) {
        is_listing_stopped_ = false;
        transition("listed");
        follow();
    }
    report_change();
    return true;
}

duration object_watch::next_wait() {
    constexpr double shortest = 0.75;
    constexpr double range = 0.5;
    if (!jitter_) {
        return wait_;
    }
    return std::chrono::duration_cast<duration>(wait_ * (shortest + range * jitter_->uniform()));
}

void object_watch::follow() {
    if (is_paused_) {
        is_idle_ = true;
        return;
    }
    if (is_partial()) {
        // Events would not bring the objects that the part lacks.
        ++current_call_;
        transition("incomplete");
        start();
        return;
    }
    const time_point sent_at = monotonic_now();
    const std::uint64_t call = ++current_call_;
    // The first call after a failure does not wait: the return of the store must be noticed at once, because
    // the time for which endpoints that have disappeared are kept begins with it.
    current_wait_ = is_reachable_ && !skips_next_wait_ ? next_wait() : duration::zero();
    skips_next_wait_ = false;
    response_.begin_call();
    store_.watch(kind_, revision_, current_wait_, [this, sent_at, call](const auto& result) {
        if (call == current_call_) {
            on_events(result, sent_at);
        }
    });
}

// Changes come in series: a release replaces endpoints one after another, and operators make several edits in
// a row. Without the delay, each change would cost a call by every host.
void object_watch::follow_after_events() {
    const std::uint64_t call = ++current_call_;
    loop_.after(batch_delay_, [this, call] {
        if (call == current_call_) {
            follow();
        }
    });
}

bool object_watch::apply(const object_event& event) {
    const auto held = objects_.find(event.object.name);
    if (event.is_removed) {
        if (held != objects_.end()) {
            objects_.erase(held);
            return true;
        }
        return false;
    }
    if (held != objects_.end() && held->second.revision >= event.object.revision) {
        return false;
    }
    objects_[event.object.name] = event.object;
    return true;
}

// A response confirms the copy as of the time the call was sent. An empty response after the whole wait
// confirms it for the time of the wait as well, less the window in which a store that is about to drop its
// history may miss changes.
duration object_watch::confirmed_wait(const object_events& heard, duration took) const {
    if (!heard.events.empty() || took < current_wait_) {
        return duration::zero();
    }
    return std::max<duration>(duration::zero(), current_wait_ - event_loss_window);
}

void object_watch::on_events(const store_result<object_events>& result, time_point sent_at) {
    response_.end_call();
    if (const store_failure* failure = std::get_if<store_failure>(&result)) {
        on_failure(*failure);
        return;
    }
    set_reachable(true);
    transition("heard");
    const object_events& heard = std::get<object_events>(result);
    bool has_changed = false;
    for (const object_event& event : heard.events) {
        has_changed = apply(event) || has_changed;
    }
    revision_ = std::max(revision_, heard.as_of_revision);
    if (has_changed) {
        last_changed_revision_ = revision_;
    }
    if (has_changed || has_unhandled_change_) {
        report_change();
    }
    confirm(sent_at + confirmed_wait(heard, monotonic_now() - sent_at));
    const bool may_have_more = heard.events.size() >= full_batch;
    if (heard.events.empty() || may_have_more) {
        follow();
    } else {
        follow_after_events();
    }
}

void object_watch::on_failure(store_failure failure) {
    if (failure == store_failure::history_gone) {
        log_warning("store_history_gone", {{"kind", kind_}, {"revision", revision_}});
        transition("history_gone");
        start();
        report(events_.on_history_gone); // If it fails, the watches of other kinds hear of it themselves.
        return;
    }
    // A paused watch makes no further call, so it would consider the store lost until it is resumed, and its
    // host would keep endpoints that have left. Whether the store is lost is decided by the hosts that read
    // it.
    if (!is_paused_) {
        set_reachable(false);
    }
    log_warning("store_call_failed",
                {{"kind", kind_}, {"reason", to_string(failure)}, {"in_a_row", failures_}});
    transition("failed");
    back_off();
}

void object_watch::back_off() {
    const auto step = static_cast<std::size_t>(failures_++);
    const duration length = step < std::size(initial_backoffs) ? initial_backoffs[step] : max_backoff_;
    const std::uint64_t call = ++current_call_;
    loop_.after(length, [this, call] {
        if (call == current_call_) {
            end_backoff();
        }
    });
}

void object_watch::end_backoff() {
    transition("rested");
    if (state_ == "following") {
        follow();
    } else {
        start();
    }
}

void object_watch::set_reachable(bool is_reachable) {
    if (is_reachable) {
        failures_ = 0;
    }
    if (is_reachable != is_reachable_) {
        is_reachable_ = is_reachable;
        has_unhandled_reachability_ = true;
        log_warning(is_reachable ? "store_regained" : "store_lost", {{"kind", kind_}});
    }
    if (has_unhandled_reachability_) { // As a change, it is reported until it has been handled.
        has_unhandled_reachability_ =
            !report([this, is_reachable] { events_.on_reachability(!is_reachable); });
    }
}

} // namespace laurelhoist
