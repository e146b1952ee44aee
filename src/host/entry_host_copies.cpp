// How entry hosts share copies of the store's objects. All hosts share one rate limit for calls of the store,
// and each change completes the waiting call of every host. On a large fleet a few hosts read the store and
// the others use their copies; a host whose copies are overdue or unconfirmed reads the store itself.
#include "host/entry_host.h"
#include "relay/http_codec.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// A reader must notice the store's return soon, because the other hosts depend on its copies; they need not.
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
constexpr duration max_propagation_time = milliseconds(700); ///< of a change, from a reader to the last host
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

// Encodes only the objects that the requesting host lacks, and the names of all objects. A full list of 229
// endpoints has 90 KB, which takes a host on a 10 Mbit/s link 70 ms for each request.
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
    const json body = {{"revision", watch.last_changed_revision()},
                       {"grace_ms", to_ms(grace)},
                       {"names", names},
                       {"objects", objects}};
    std::string bytes;
    json::to_cbor(body, bytes);
    return bytes;
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
    inputs.hosts = hosts.size();
    inputs.hosts_before = find_reader_position(settings_.name, hosts).overall;
    return inputs;
}

void entry_host::update_reading_mode() {
    const time_point now = monotonic_now();
    const reading_inputs inputs = current_reading_inputs(now);
    const reading_mode mode = choose_reading_mode(inputs);
    const bool is_large = is_large_fleet(now);
    config_watch_.set_wait(is_large ? reader_config_wait : config_wait);
    endpoint_watch_.set_batch_delay(is_large ? reader_batch_delay : endpoint_batch_delay);
    rollout_watch_.set_batch_delay(is_large ? reader_batch_delay : rollout_batch_delay);
    if (mode == reading_) {
        return;
    }
    reading_ = mode;
    reading_since_ = now;
    log_info("store_reading", {{"reads", to_string(mode)},
                               {"config_age_ms", std::min(to_ms(inputs.config_age), 1e9)},
                               {"hosts", inputs.hosts},
                               {"hosts_before", inputs.hosts_before}});
    if (mode == reading_mode::copies) {
        roster_.on_reading_ended();
    }
    config_watch_.set_max_backoff(mode == reading_mode::all ? reader_max_backoff : non_reader_max_backoff);
    for (object_watch* watch : watches()) {
        const bool is_wanted = watch == &config_watch_ && mode != reading_mode::copies;
        if (mode == reading_mode::all || is_wanted) {
            watch->resume();
        } else {
            watch->pause();
        }
    }
}

void entry_host::send_copy_notice(notice_scope scope) {
    const time_point now = monotonic_now();
    if (!is_large_fleet(now)) {
        return;
    }
    const copy_notice notice{config_watch_.last_changed_revision(), endpoint_watch_.last_changed_revision(),
                             rollout_watch_.last_changed_revision(),
                             evacuation_watch_.last_changed_revision()};
    // Changes are also sent directly: by gossip rounds alone, the simultaneous departure of 112 endpoints
    // took 1.3 s to reach the last host, and requests were sent to them meanwhile.
    send_to_others(
        scope == notice_scope::change
            ? change_notice_targets(settings_.name, reads_everything(), gossip_.live(now))
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

// Hosts that were notified of the same change request the same copy, so it is encoded once.
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
    if (value_of(address) == nullptr || !fetches_in_flight_.insert(kind).second) {
        return;
    }
    http_call call;
    call.address = *value_of(address);
    call.target = "/copy?kind=" + kind + "&since=" + std::to_string(watch.last_changed_revision());
    call.timeout = copy_timeout;
    call.connect_timeout = copy_timeout / 2;
    call.is_large = true;
    peer_client_.send(call, [this, peer, kind, &watch](const http_answer& answer) {
        fetches_in_flight_.erase(kind);
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
    // Endpoints that lapsed in an outage are kept here as long as on the peer. The longest propagation time
    // is subtracted: the grace period is sent as a duration, so it would otherwise begin anew at each host
    // that forwards it, and no endpoint would ever be dropped.
    const duration grace =
        milliseconds(static_cast<std::int64_t>(copy.value("grace_ms", 0.0))) - max_propagation_time;
    roster_.keep_lapsed_until(monotonic_now() + grace);
    const std::int64_t revision = copy.value("revision", std::int64_t{0});
    if (watch.take_copy(std::move(objects), revision)) {
        log_info("peer_copy_taken", {{"kind", kind}, {"revision", revision}});
    }
}

} // namespace laurelhoist
