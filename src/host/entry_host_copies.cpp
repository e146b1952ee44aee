// How entry hosts share copies of the store's objects. All hosts share one rate limit for calls of the store,
// and each change completes the waiting call of every host. On a large fleet a few hosts read the store and
// the others use their copies; a host whose copies are overdue or unconfirmed reads the store itself.
#include "base/bounded.h"
#include "host/entry_host.h"
#include "relay/http_codec.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// A reader must notice the store's return soon, because the other hosts depend on its copies. The other
/// hosts may notice it later.
constexpr duration reader_max_backoff = milliseconds(250);
constexpr duration non_reader_max_backoff = milliseconds(2500);
/// Other hosts count a configuration's age from when a reader confirmed it, and API keys expire after 5 s.
constexpr duration reader_config_wait = milliseconds(1000);
/// A leaving endpoint may still get requests for 3 s or more; the rest of that time is for propagation to the
/// last host. With 0.25 s, each of 200 changing endpoints costs two calls of its own.
constexpr duration reader_batch_delay = milliseconds(800);
/// Routes in a configuration of about 100 KB. Copying a larger one over the links of the few readers takes
/// longer than reading it from the store on every host.
constexpr std::size_t large_config_routes = 300;
constexpr std::size_t copy_notice_peers = 4; ///< recipients of a copy notice in each gossip round
constexpr std::size_t copy_notice_peers_in_other_domains = 1; ///< of them, in other failure domains
constexpr duration copy_timeout =
    milliseconds(400); ///< short, so that an unreachable peer does not delay a request to another peer
/// A first copy of a long list has 2 MB and takes a host with an eighth of a core a second to encode.
constexpr duration first_copy_timeout = seconds(2);
/// A view that has not grown by a tenth for this long is considered complete; it takes more than one gossip
/// round.
constexpr duration view_settling_time = milliseconds(700);
/// Time between two copies of a divided list that only add endpoints. While 10,000 endpoints register at 330
/// a second, notices of a newer list arrive continuously for half a minute.
constexpr duration time_between_additions = seconds(2);
/// The same if endpoints have left or changed.
constexpr duration time_between_departures = milliseconds(200);
constexpr duration max_propagation_time = milliseconds(700); ///< of a change, from a reader to the last host
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

duration min_time_between_lists(bool has_departures, bool is_divided) {
    if (!is_divided) {
        return duration::zero();
    }
    return has_departures ? time_between_departures : time_between_additions;
}

/** Decides whether an object is part of the copy for one host. */
using object_filter = std::function<bool(const stored_object&)>;

// Adds only the objects that the requesting host lacks, and the names of all objects. A full list of 229
// endpoints has 90 KB, which takes a host on a 10 Mbit/s link 70 ms for each request.
void add_objects(peer_copy& copy, const object_watch& watch, std::int64_t since,
                 const object_filter& is_included = nullptr) {
    for (const auto& [name, object] : watch.objects()) {
        if (is_included && !is_included(object)) {
            continue;
        }
        copy.names.push_back(name);
        if (object.revision > since) {
            copy.objects.push_back({name, object.revision, object.spec, object.status});
        }
    }
}

} // namespace

reading_inputs entry_host::current_reading_inputs(time_point now) const {
    const std::vector<host_status>& hosts = gossip_.live(now);
    reading_inputs inputs;
    inputs.mode = reading_;
    inputs.in_mode = now - reading_since_;
    inputs.since_start = now - started_at_;
    inputs.config_age = relay_.state().freshness.age(now);
    if (inputs.config_age == duration::max()) {
        // No configuration has been confirmed yet; peers will confirm it once the readers have one. If it
        // counted as stale, at a fleet's first start each host would keep asking the store until there is a
        // configuration, and would ask once more when its copy arrives.
        inputs.config_age = now - std::max(store_confirmed_at_.value_or(started_at_), config_since_);
    }
    inputs.has_store_answered = store_confirmed_at_ && *store_confirmed_at_ >= reading_since_;
    inputs.copy_overdue = behind_since_ ? now - *behind_since_ : duration::zero();
    inputs.is_config_large =
        relay_.state().routing && relay_.state().routing->config().routes.size() > large_config_routes;
    inputs.holds_copies = std::all_of(watches().begin(), watches().end(),
                                      [](const object_watch* watch) { return watch->is_listed(); });
    inputs.is_list_long = endpoint_watch_.is_listing_stopped();
    inputs.expects_others =
        std::any_of(settings_.seeds.begin(), settings_.seeds.end(),
                    [this](const std::string& seed) { return seed != gossip_.self().gossip_address; });
    inputs.is_view_growing = now - view_grew_at_ < view_settling_time;
    inputs.hosts = hosts.size();
    const reader_position position = find_reader_position(settings_.name, hosts);
    inputs.hosts_before = position.overall;
    inputs.lost_before = position.lost;
    inputs.store_lost_for = store_lost_since_ ? now - *store_lost_since_ : duration::zero();
    return inputs;
}

void entry_host::note_view_growth(time_point now) {
    constexpr double significant_growth = 1.1;
    const std::size_t hosts = gossip_.live(now).size();
    if (is_large_fleet(now) &&
        static_cast<double>(hosts) > significant_growth * static_cast<double>(hosts_at_growth_)) {
        view_grew_at_ = now;
        hosts_at_growth_ = hosts;
    }
}

void entry_host::update_reading_mode() {
    const time_point now = monotonic_now();
    note_view_growth(now);
    const bool may_hold_part = division_.is_divided() || !endpoint_watch_.is_listed();
    is_list_holder_ = may_hold_part && is_whole_list_holder(settings_.name, gossip_.live(now));
    const reading_inputs inputs = current_reading_inputs(now);
    const reading_mode mode = choose_reading_mode(inputs);
    const bool is_large = is_large_fleet(now);
    config_watch_.set_wait(is_large ? reader_config_wait : config_wait);
    endpoint_watch_.set_batch_delay(is_large ? reader_batch_delay : endpoint_batch_delay);
    rollout_watch_.set_batch_delay(is_large ? reader_batch_delay : rollout_batch_delay);
    announce_store_loss(announces_lost_store(inputs), now);
    if (mode == reading_) {
        return;
    }
    log_info("store_reading", {{"reads", to_string(mode)},
                               {"config_age_ms", std::min(to_ms(inputs.config_age), 1e9)},
                               {"hosts", inputs.hosts},
                               {"hosts_before", inputs.hosts_before},
                               {"lost_before", inputs.lost_before},
                               {"store_lost_ms", to_ms(inputs.store_lost_for)}});
    set_reading_mode(mode, inputs.hosts_before < large_fleet_readers, now);
}

// By gossip rounds alone the news takes up to 1.6 s to reach all of 77 hosts.
void entry_host::announce_store_loss(bool has_lost_store, time_point now) {
    if (gossip_.self().has_lost_store == has_lost_store || !is_large_fleet(now)) {
        return;
    }
    gossip_.set_has_lost_store(has_lost_store);
    log_warning("store_loss_announced", {{"has_lost_store", has_lost_store}});
    (void)gossip_.next_targets(now); // Raises the heartbeat counter, without which the news counts as old.
    send_to_others(select_substitute_readers(settings_.name, gossip_.live(now)),
                   encode_peer_message(make_gossip_message(now)));
}

void entry_host::set_reading_mode(reading_mode mode, bool is_first_reader, time_point now) {
    if (mode == reading_mode::copies) {
        roster_.on_reading_ended();
        store_lost_since_.reset();
    } else if (reading_ == reading_mode::copies && !config_watch_.is_reachable()) {
        store_lost_since_ = now; // The watch stopped after a failure and reports only changes.
    }
    reading_ = mode;
    reading_since_ = now;
    // A reader that has lost the store notices its return as soon as one that reads everything.
    const bool retries_often = mode == reading_mode::all || is_first_reader;
    config_watch_.set_max_backoff(retries_often ? reader_max_backoff : non_reader_max_backoff);
    for (object_watch* watch : watches()) {
        const bool is_wanted = watch == &config_watch_ && mode != reading_mode::copies;
        if (mode == reading_mode::all || is_wanted) {
            watch->resume();
        } else {
            watch->pause();
        }
    }
}

copy_notice entry_host::own_copies() const {
    return {config_watch_.last_changed_revision(),
            endpoint_watch_.last_changed_revision(),
            rollout_watch_.last_changed_revision(),
            evacuation_watch_.last_changed_revision(),
            division_.is_divided(),
            departure_revision_};
}

void entry_host::send_copy_notice(notice_scope scope, list_holding holding) {
    const time_point now = monotonic_now();
    if (!is_large_fleet(now)) {
        return;
    }
    const copy_notice notice = own_copies();
    // Changes are also sent directly: by gossip rounds alone, the simultaneous departure of 112 endpoints
    // took 1.3 s to reach the last host, and requests were sent to them meanwhile.
    send_to_others(
        scope == notice_scope::change
            ? change_notice_targets(settings_.name, reads_everything(), gossip_.live(now), holding)
            : gossip_.random_peers_by_domain(copy_notice_peers - copy_notice_peers_in_other_domains,
                                             copy_notice_peers_in_other_domains, now),
        encode_peer_message(notice));
}

void entry_host::note_config_revision(std::int64_t revision) {
    newest_known_config_ = std::max(newest_known_config_, revision);
    if (config_watch_.last_changed_revision() >= newest_known_config_) {
        behind_since_.reset();
    } else if (!behind_since_) {
        behind_since_ = monotonic_now();
    }
}

void entry_host::handle(const std::string& from, const copy_notice& notice) {
    note_config_revision(notice.config_revision);
    if (reads_everything()) {
        return; // This host reads changes from the store directly.
    }
    const auto fetch_if_newer = [&](object_watch& watch, std::int64_t revision, const std::string& kind) {
        if (revision > watch.last_changed_revision()) {
            fetch_copy(from, watch, kind);
        }
    };
    // In any other mode the configuration is read from the store, which a concurrent copy would only delay.
    if (reading_ == reading_mode::copies) {
        fetch_if_newer(config_watch_, notice.config_revision, codec_.config_kind());
    }
    fetch_endpoints(from, notice);
    fetch_if_newer(rollout_watch_, notice.rollout_revision, codec_.rollout_kind());
    fetch_if_newer(evacuation_watch_, notice.evacuation_revision, codec_.evacuation_kind());
}

bool entry_host::holds_whole_list(const std::string& address) const {
    const std::vector<host_status>& hosts = gossip_.live(monotonic_now());
    const auto found = std::find_if(hosts.begin(), hosts.end(),
                                    [&](const host_status& host) { return host.gossip_address == address; });
    return found != hosts.end() && is_whole_list_holder(found->name, hosts);
}

// A host that holds a part of the list can serve neither another part nor the whole list, so a divided list
// is fetched from the holders only.
void entry_host::fetch_endpoints(const std::string& notifier, const copy_notice& notice) {
    const time_point now = monotonic_now();
    const bool is_newer = notice.endpoint_revision > endpoint_watch_.last_changed_revision();
    const bool is_holder = notice.is_divided && is_list_holder_;
    const bool is_wanted = is_newer || (is_holder && endpoint_watch_.is_partial());
    const bool has_departures = notice.departure_revision > endpoint_watch_.last_changed_revision();
    if (!is_wanted || now - list_fetched_at_ < min_time_between_lists(has_departures, notice.is_divided)) {
        return;
    }
    list_fetched_at_ = now;
    std::string source = notifier;
    if (notice.is_divided && !(is_holder && holds_whole_list(notifier))) {
        const std::optional<host_status> holder =
            holder_for(settings_.name, gossip_.live(now), failed_holders_ + (is_holder ? 1 : 0));
        source = holder ? holder->gossip_address : notifier;
    }
    fetch_copy(source, endpoint_watch_, codec_.endpoint_kind(),
               notice.is_divided && !is_holder ? object_watch::copy_extent::part
                                               : object_watch::copy_extent::whole);
}

std::string entry_host::part_for(const http_request& request, std::int64_t since) const {
    const std::string host = request.parameter("host");
    const std::string domain = request.parameter("domain");
    const bool is_same_part = request.parameter("division") == division_.id();
    const auto is_included = [&](const stored_object& object) {
        const auto found = decoded_endpoints_.find(object.name);
        return found != decoded_endpoints_.end() && found->second.record &&
               division_.holds(host, domain, *found->second.record);
    };
    peer_copy copy;
    copy.revision = endpoint_watch_.last_changed_revision();
    copy.grace_ms = to_ms(roster_.grace_left(monotonic_now()));
    copy.division = division_.groups();
    copy.releases = fleet_releases_;
    copy.departure_revision = departure_revision_;
    add_objects(copy, endpoint_watch_, is_same_part ? since : 0, is_included);
    return encode_peer_copy(copy);
}

void entry_host::serve_copy(const http_request& request, const std::shared_ptr<http_responder>& responder) {
    const std::string kind = request.parameter("kind");
    const object_watch& watch = kind == codec_.endpoint_kind()     ? endpoint_watch_
                                : kind == codec_.rollout_kind()    ? rollout_watch_
                                : kind == codec_.evacuation_kind() ? evacuation_watch_
                                                                   : config_watch_;
    const std::int64_t since = parse_number(request.parameter("since")).value_or(0);
    if (!watch.is_listed() || watch.is_partial()) {
        responder->reply(status_unavailable, {}, "");
    } else if (!request.parameter("host").empty() && division_.is_divided()) {
        responder->reply(status_ok, {}, part_for(request, since));
    } else {
        responder->reply(status_ok, {}, copy_since(watch, kind, since));
    }
}

// Hosts that were notified of the same change request the same copy, so it is encoded once.
const std::string& entry_host::copy_since(const object_watch& watch, const std::string& kind,
                                          std::int64_t since) {
    const duration grace = roster_.grace_left(monotonic_now());
    encoded_copy& held = encoded_copies_[kind];
    const bool is_same = held.since == since && held.last_changed_revision == watch.last_changed_revision();
    if (!is_same || grace > duration::zero() || held.bytes.empty()) {
        peer_copy copy;
        copy.revision = watch.last_changed_revision();
        copy.grace_ms = to_ms(grace);
        copy.departure_revision = departure_revision_;
        add_objects(copy, watch, since);
        held = {since, watch.last_changed_revision(), encode_peer_copy(copy)};
    }
    return held.bytes;
}

void entry_host::fetch_copy(const std::string& peer, object_watch& watch, const std::string& kind,
                            object_watch::copy_extent extent) {
    const outcome<socket_address> address = parse_address(peer);
    if (value_of(address) == nullptr || !fetches_in_flight_.insert(kind).second) {
        return;
    }
    const bool is_part = extent == object_watch::copy_extent::part;
    const std::int64_t held = watch.is_partial() != is_part ? 0 : watch.last_changed_revision();
    http_call call;
    call.address = *value_of(address);
    call.target = "/copy?kind=" + kind + "&since=" + std::to_string(held);
    if (is_part) {
        call.target += "&host=" + settings_.name + "&domain=" + settings_.failure_domain +
                       "&division=" + (watch.is_partial() ? division_.id() : "");
    }
    call.timeout = held == 0 ? first_copy_timeout : copy_timeout;
    call.connect_timeout = copy_timeout / 2;
    call.is_large = true;
    peer_client_.send(call, [this, peer, kind, &watch](const http_answer& answer) {
        fetches_in_flight_.erase(kind);
        if (answer.what != http_answer::result::answered || answer.status != status_ok ||
            !take_copy(watch, kind, answer.body)) {
            log_warning("peer_copy_unavailable", {{"peer", peer}, {"kind", kind}});
            failed_holders_ += &watch == &endpoint_watch_ ? 1 : 0;
        } else if (&watch == &endpoint_watch_) {
            failed_holders_ = 0;
        }
    });
}

// A peer of another release, or one whose answer was damaged on the way, may send anything.
bool entry_host::take_copy(object_watch& watch, const std::string& kind, const std::string& bytes) {
    const outcome<peer_copy> decoded = decode_peer_copy(bytes);
    if (const error* failure = error_of(decoded)) {
        log_warning("peer_copy_unreadable", {{"kind", kind}, {"remedy", failure->message}});
        return false;
    }
    const peer_copy& copy = *value_of(decoded);
    objects_by_name objects;
    for (const std::string& name : copy.names) {
        const auto held = watch.objects().find(name);
        if (held != watch.objects().end()) {
            objects.insert(*held);
        }
    }
    for (const peer_object& item : copy.objects) {
        objects[item.name] = {item.name, item.revision, item.spec, item.status};
    }
    // Endpoints that lapsed in an outage are kept here as long as on the peer. The longest propagation time
    // is subtracted: the grace period is sent as a duration, so it would otherwise begin anew at each host
    // that forwards it, and no endpoint would ever be dropped.
    const duration grace = foreign_time(copy.grace_ms) - max_propagation_time;
    roster_.keep_lapsed_until(monotonic_now() + grace);
    if (&watch == &endpoint_watch_ && copy.grace_ms == 0) {
        roster_.on_reading_ended(); // The store serves the peer, so what is missing in the copy has left.
    }
    const endpoint_division earlier_division = division_;
    if (&watch == &endpoint_watch_ && !copy.division.empty()) {
        division_.set_groups(copy.division);
        fleet_releases_ = copy.releases;
    }
    const auto extent =
        copy.division.empty() ? object_watch::copy_extent::whole : object_watch::copy_extent::part;
    const bool is_taken = watch.take_copy(std::move(objects), copy.revision, extent);
    if (&watch == &endpoint_watch_ && is_taken) {
        departure_revision_ = copy.departure_revision; // A part does not show the departures from the others.
    } else if (&watch == &endpoint_watch_) {
        division_ = earlier_division; // The next copy would otherwise lack what the new division adds.
    }
    if (is_taken) {
        log_info("peer_copy_taken", {{"kind", kind}, {"revision", copy.revision}});
    }
    return true;
}

} // namespace laurelhoist
