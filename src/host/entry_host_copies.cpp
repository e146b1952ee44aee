// How entry hosts share what they read from the store. Calls of the store are rationed for all hosts
// together, and each change answers everybody's. On a large fleet a few hosts read and the others go by their
// copies; any of them reads itself as soon as it hears too little.
#include "host/entry_host.h"
#include "relay/http_codec.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// A reader must notice the store's return soon, as the others go by it; the others need not.
constexpr duration readers_rest = milliseconds(250);
constexpr duration others_rest = milliseconds(2500);
/// Others count a configuration's age from when a reader confirmed it, and keys expire after 5 s.
constexpr duration config_wait_of_readers = milliseconds(1000);
/// A leaving endpoint may still get requests for 3 s or more; the rest is for the way to the last host. With
/// 0.25 s each change of 200 endpoints costs two calls of its own.
constexpr duration gathering_of_readers = milliseconds(800);
/// Some 100 KB; larger ones take the links of the few hosts that read longer than the store takes for
/// everybody.
constexpr std::size_t routes_of_large_config = 300;
constexpr std::size_t peers_told = 4;
constexpr std::size_t far_peers_told = 1; ///< of these, in other failure domains
constexpr duration copy_limit =
    milliseconds(400); ///< a cut-off peer must not keep this host from asking another
constexpr duration longest_way = milliseconds(700); ///< of news from a reading host to the last one
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

// Only what the asker lacks, and the names of all: a list of 229 endpoints is 90 KB, which takes a host with
// 10 Mbit/s 70 ms for each of those that ask it.
std::string encode_copy(const object_watch& watch, std::int64_t since, duration grace) {
    json names = json::array();
    json objects = json::array();
    for (const auto& [name, object] : watch.objects()) {
        names.push_back(name);
        if (object.revision > since) {
            objects.push_back({{"name", name},
                               {"revision", object.revision},
                               {"spec", object.spec},
                               {"status", object.status}});
        }
    }
    const json body = {
        {"revision", watch.last_changed_revision()}, {"grace_ms", to_ms(grace)}, {"names", names}, {"objects", objects}};
    std::string bytes;
    json::to_cbor(body, bytes);
    return bytes;
}

} // namespace

reading_view entry_host::view_of_reading(time_point now) const {
    const std::vector<host_status>& hosts = gossip_.live(now);
    reading_view view;
    view.mode = reading_;
    view.in_mode = now - reading_since_;
    view.since_start = now - started_at_;
    view.config_age = relay_.state().fence.age(now);
    if (view.config_age == duration::max()) {
        // None has been confirmed yet, and peers will do so once the readers have one. Counted as stale, at a
        // fleet's first start each host went on asking until there was a configuration, and once more when
        // its copy came.
        view.config_age = now - std::max(heard_store_at_.value_or(started_at_), config_since_);
    }
    view.has_heard_itself = heard_store_at_ && *heard_store_at_ >= reading_since_;
    view.copy_overdue = behind_since_ ? now - *behind_since_ : duration::zero();
    view.is_config_large =
        relay_.state().routing && relay_.state().routing->config().routes.size() > routes_of_large_config;
    view.holds_copies = std::all_of(watches().begin(), watches().end(),
                                    [](const object_watch* watch) { return watch->is_listed(); });
    view.hosts = hosts.size();
    view.hosts_before = place_among_readers(settings_.name, hosts).overall;
    return view;
}

void entry_host::share_reading() {
    const time_point now = monotonic_now();
    const reading_view view = view_of_reading(now);
    const reading_mode mode = choose_reading(view);
    const bool is_large = is_large_fleet(now);
    config_watch_.set_wait(is_large ? config_wait_of_readers : config_wait);
    endpoint_watch_.set_batch_delay(is_large ? gathering_of_readers : endpoint_gathering);
    rollout_watch_.set_batch_delay(is_large ? gathering_of_readers : rollout_gathering);
    if (mode == reading_) {
        return;
    }
    reading_ = mode;
    reading_since_ = now;
    log_info("store_reading", {{"reads", to_string(mode)},
                               {"config_age_ms", std::min(to_ms(view.config_age), 1e9)},
                               {"hosts", view.hosts},
                               {"hosts_before", view.hosts_before}});
    if (mode == reading_mode::copies) {
        roster_.on_reading_ended();
    }
    config_watch_.set_max_backoff(mode == reading_mode::all ? readers_rest : others_rest);
    for (object_watch* watch : watches()) {
        const bool is_wanted = watch == &config_watch_ && mode != reading_mode::copies;
        if (mode == reading_mode::all || is_wanted) {
            watch->resume();
        } else {
            watch->pause();
        }
    }
}

void entry_host::tell_copies(notice_scope scope) {
    const time_point now = monotonic_now();
    if (!is_large_fleet(now)) {
        return;
    }
    const copy_notice notice{config_watch_.last_changed_revision(), endpoint_watch_.last_changed_revision(),
                             rollout_watch_.last_changed_revision(), evacuation_watch_.last_changed_revision()};
    // From hand to hand alone, news of 112 endpoints that left at once took 1.3 s to the last host, and
    // requests went to them meanwhile.
    send_to_others(scope == notice_scope::change
                       ? told_at_once(settings_.name, reads_everything(), gossip_.live(now))
                       : gossip_.mostly_near_peers(peers_told - far_peers_told, far_peers_told, now),
                   encode_peer_message(notice));
}

void entry_host::note_config_heard(std::int64_t revision) {
    newest_config_heard_ = std::max(newest_config_heard_, revision);
    if (config_watch_.last_changed_revision() >= newest_config_heard_) {
        behind_since_.reset();
    } else if (!behind_since_) {
        behind_since_ = monotonic_now();
    }
}

void entry_host::take(const std::string& from, const copy_notice& notice) {
    note_config_heard(notice.config_revision);
    if (reads_everything()) {
        return; // It hears of changes itself, and at first hand.
    }
    const auto fetch_if_newer = [&](object_watch& watch, std::int64_t revision, const std::string& kind) {
        if (revision > watch.last_changed_revision()) {
            fetch_copy(from, watch, kind);
        }
    };
    // In any other mode it comes from the store, and a copy beside it would only delay it.
    if (reading_ == reading_mode::copies) {
        fetch_if_newer(config_watch_, notice.config_revision, codec_.config_kind());
    }
    fetch_if_newer(endpoint_watch_, notice.endpoint_revision, codec_.endpoint_kind());
    fetch_if_newer(rollout_watch_, notice.rollout_revision, codec_.rollout_kind());
    fetch_if_newer(evacuation_watch_, notice.evacuation_revision, codec_.evacuation_kind());
}

void entry_host::serve_copy(const http_request& request, const std::shared_ptr<http_responder>& responder) {
    const std::string kind = request.parameter("kind");
    const object_watch& watch = kind == codec_.endpoint_kind()     ? endpoint_watch_
                                : kind == codec_.rollout_kind()    ? rollout_watch_
                                : kind == codec_.evacuation_kind() ? evacuation_watch_
                                                                   : config_watch_;
    const std::int64_t since = parse_number(request.parameter("since")).value_or(0);
    responder->reply(watch.is_listed() ? status_ok : status_unavailable, {}, copy_since(watch, kind, since));
}

// Hosts that were told of the same change ask for the same copy, so it is encoded once.
const std::string& entry_host::copy_since(const object_watch& watch, const std::string& kind,
                                          std::int64_t since) {
    const duration grace = roster_.grace_left(monotonic_now());
    encoded_copy& held = encoded_copies_[kind];
    const bool is_same = held.since == since && held.last_changed_revision == watch.last_changed_revision();
    if (!is_same || grace > duration::zero() || held.bytes.empty()) {
        held = {since, watch.last_changed_revision(), encode_copy(watch, since, grace)};
    }
    return held.bytes;
}

void entry_host::fetch_copy(const std::string& peer, object_watch& watch, const std::string& kind) {
    const outcome<socket_address> address = parse_address(peer);
    if (value_of(address) == nullptr || !fetching_.insert(kind).second) {
        return;
    }
    http_call call;
    call.address = *value_of(address);
    call.target = "/copy?kind=" + kind + "&since=" + std::to_string(watch.last_changed_revision());
    call.timeout = copy_limit;
    call.connect_timeout = copy_limit / 2;
    call.is_large = true;
    peer_client_.send(call, [this, peer, kind, &watch](const http_answer& answer) {
        fetching_.erase(kind);
        const json copy = json::from_cbor(answer.body, true, false);
        if (answer.what != http_answer::result::answered || answer.status != status_ok || !copy.is_object()) {
            log_warning("peer_copy_unavailable", {{"peer", peer}, {"kind", kind}});
            return;
        }
        take_copy(watch, kind, copy);
    });
}

void entry_host::take_copy(object_watch& watch, const std::string& kind, const json& copy) {
    objects_by_name objects;
    for (const json& name : copy.value("names", json::array())) {
        const auto held = watch.objects().find(name.get<std::string>());
        if (held != watch.objects().end()) {
            objects.insert(*held);
        }
    }
    for (const json& item : copy.value("objects", json::array())) {
        stored_object object{item.value("name", ""), item.value("revision", std::int64_t{0}),
                             item.value("spec", json()), item.value("status", json())};
        const std::string name = object.name;
        objects[name] = std::move(object);
    }
    // Endpoints that lapsed in an outage are kept here as long as there, less what the copy may have been
    // under way: told as a length of time from now, every hand would pass it on afresh, and none would ever
    // be dropped.
    const duration grace = milliseconds(static_cast<std::int64_t>(copy.value("grace_ms", 0.0))) - longest_way;
    roster_.keep_lapsed_until(monotonic_now() + grace);
    const std::int64_t revision = copy.value("revision", std::int64_t{0});
    if (watch.take_copy(std::move(objects), revision)) {
        log_info("peer_copy_taken", {{"kind", kind}, {"revision", revision}});
    }
}

} // namespace laurelhoist
