#include "store/object_watch.h"

namespace laurelhoist {

namespace {

/// Rests after the first failures in a row, most of which are of one call alone. Calls are rationed for all
/// hosts together, refused ones too.
constexpr duration first_rests[] = {milliseconds(50), milliseconds(150), milliseconds(250)};

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

object_watch::object_watch(event_loop& loop, object_store& store, chart life, std::string kind,
                           watch_timing timing, handlers events)
    : loop_{loop},
      store_{store},
      life_{std::move(life)},
      state_{life_.initial()},
      kind_{std::move(kind)},
      wait_{timing.wait},
      spread_{timing.spread_seed == 0 ? std::nullopt : std::optional<random_source>(timing.spread_seed)},
      gathering_{timing.gathering},
      longest_rest_{timing.longest_rest},
      events_{std::move(events)} {}

void object_watch::move(const char* event) {
    const outcome<std::string> next = life_.next(state_, event);
    const std::string* target = value_of(next);
    if (invariant("watch_follows_its_chart", target != nullptr, [&] {
            return json{{"state", state_}, {"event", event}, {"kind", kind_}};
        })) {
        state_ = *target;
    }
}

void object_watch::start(first_listing first) {
    listing_ = first;
    listed_.clear();
    listing_since_ = monotonic_now();
    list_from("");
}

void object_watch::ask_again() {
    if (state_ == "following" && !is_resting_) {
        follow();
    } else if (state_ == "resting" || state_ == "resting_unlisted") {
        ++call_; // The rest that was begun ends here.
        end_rest();
    }
}

void object_watch::list_again() {
    if (state_ == "following" && !is_resting_) {
        ++call_; // The answer of the call that waits counts no more.
        move("history_gone");
        start();
    }
}

void object_watch::list_from(const std::string& after) {
    const auto call = listing_ == first_listing::lagging ? &object_store::list_lagging : &object_store::list;
    (store_.*call)(kind_, after, [this](const auto& result) { on_page(result); });
}

void object_watch::on_page(const store_result<object_page>& result) {
    if (const store_failure* failure = std::get_if<store_failure>(&result)) {
        on_failure(*failure);
        return;
    }
    const object_page& page = std::get<object_page>(result);
    if (listed_.empty()) {
        // Followed from the first page: what changed while the others were read comes again as events.
        listing_revision_ = page.as_of_revision;
    }
    for (const stored_object& item : page.items) {
        listed_[item.name] = item;
    }
    if (page.has_more && !page.items.empty()) {
        list_from(page.items.back().name);
        return;
    }
    note_reachable(true);
    move("listed");
    // A listing older than what is held comes from a store that lags; what is held stays.
    if (listing_revision_ >= revision_) {
        objects_ = std::move(listed_);
        revision_ = listing_revision_;
        changed_at_ = listing_revision_;
        is_listed_ = true;
        events_.on_change(objects_);
        events_.on_confirmed(listing_since_);
    }
    listed_.clear();
    follow();
}

void object_watch::resume() {
    is_paused_ = false;
    if (is_resting_) {
        is_resting_ = false;
        is_to_hurry_ = true; // What others have vouched for is old by now.
        follow();
    }
}

bool object_watch::take_copy(objects_by_name objects, std::int64_t changed_at) {
    if (changed_at <= changed_at_) {
        return false;
    }
    objects_ = std::move(objects);
    changed_at_ = changed_at;
    revision_ = std::max(revision_, changed_at);
    is_listed_ = true;
    events_.on_change(objects_);
    return true;
}

duration object_watch::next_wait() {
    constexpr double shortest = 0.75;
    constexpr double range = 0.5;
    if (!spread_) {
        return wait_;
    }
    return std::chrono::duration_cast<duration>(wait_ * (shortest + range * spread_->uniform()));
}

void object_watch::follow() {
    if (is_paused_) {
        is_resting_ = true;
        return;
    }
    const time_point sent_at = monotonic_now();
    const std::uint64_t call = ++call_;
    // The first call after a failure does not wait: that the store is back must be known at once, because the
    // time for which vanished endpoints are kept runs from there.
    waiting_ = is_reachable_ && !is_to_hurry_ ? next_wait() : duration::zero();
    is_to_hurry_ = false;
    store_.watch(kind_, revision_, waiting_, [this, sent_at, call](const auto& result) {
        if (call == call_) {
            on_events(result, sent_at);
        }
    });
}

// Changes come in groups: a release replaces endpoints one after another, an operator edits in series. Asked
// again at once, each change would cost a call by every host.
void object_watch::follow_after_events() {
    const std::uint64_t call = ++call_;
    loop_.after(gathering_, [this, call] {
        if (call == call_) {
            follow();
        }
    });
}

bool object_watch::take(const object_event& event) {
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

// An answer proves what was current when the call was sent. One that says, after the whole wait, that nothing
// happened proves more, but for the time in which a store that reorganises its history may hear nothing.
duration object_watch::proven_wait(const object_events& heard, duration took) const {
    if (!heard.events.empty() || took < waiting_) {
        return duration::zero();
    }
    return std::max<duration>(duration::zero(), waiting_ - deaf_time);
}

void object_watch::on_events(const store_result<object_events>& result, time_point sent_at) {
    if (const store_failure* failure = std::get_if<store_failure>(&result)) {
        on_failure(*failure);
        return;
    }
    note_reachable(true);
    move("heard");
    const object_events& heard = std::get<object_events>(result);
    bool has_changed = false;
    for (const object_event& event : heard.events) {
        has_changed = take(event) || has_changed;
    }
    revision_ = std::max(revision_, heard.as_of_revision);
    if (has_changed) {
        changed_at_ = revision_;
        events_.on_change(objects_);
    }
    events_.on_confirmed(sent_at + proven_wait(heard, monotonic_now() - sent_at));
    if (heard.events.empty()) {
        follow();
    } else {
        follow_after_events();
    }
}

void object_watch::on_failure(store_failure failure) {
    if (failure == store_failure::history_gone) {
        log_warning("store_history_gone", {{"kind", kind_}, {"revision", revision_}});
        move("history_gone");
        start();
        events_.on_history_gone();
        return;
    }
    // A paused watch makes no further call, so it would hold a store for lost until it is resumed, and its
    // host would keep endpoints that have left: it leaves that judgement to the hosts that read.
    if (!is_paused_) {
        note_reachable(false);
    }
    log_warning("store_call_failed",
                {{"kind", kind_}, {"reason", to_string(failure)}, {"in_a_row", failures_}});
    move("failed");
    rest();
}

void object_watch::rest() {
    const auto step = static_cast<std::size_t>(failures_++);
    const duration length = step < std::size(first_rests) ? first_rests[step] : longest_rest_;
    const std::uint64_t call = ++call_;
    loop_.after(length, [this, call] {
        if (call == call_) {
            end_rest();
        }
    });
}

void object_watch::end_rest() {
    move("rested");
    if (state_ == "following") {
        follow();
    } else {
        start();
    }
}

void object_watch::note_reachable(bool is_reachable) {
    if (is_reachable) {
        failures_ = 0;
    }
    if (is_reachable != is_reachable_) {
        is_reachable_ = is_reachable;
        log_warning(is_reachable ? "store_regained" : "store_lost", {{"kind", kind_}});
        events_.on_reachability(!is_reachable);
    }
}

} // namespace laurelhoist
