/** \file
 * Updates of entries and peers by the steward: configuration, confirmations, the fleet, the steward list.
 */
#include "node/steward_core.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration peer_ask_interval = milliseconds(700);
constexpr duration fleet_check_interval = milliseconds(300);
constexpr int asks_between_full = 15;
constexpr duration push_repeat_interval = milliseconds(700);
constexpr duration entry_silence_limit = seconds(3);
constexpr duration peer_silence_limit = seconds(3);
constexpr duration steward_absence_limit = seconds(20);
constexpr duration leaving_retention = seconds(60);

} // namespace

bool steward_core::is_alive(const peer_link& link, time_point now) {
    return now - link.last_heard < peer_silence_limit;
}

// ---- entries ----

void steward_core::on_entry_ask(const std::string& incarnation, entry_link& link, const entry_ask& ask) {
    if (!ask.entry.empty()) {
        link.record = ask.entry.front();
    }
    link.record.revision = std::max(link.record.revision, ask.revision);
    link.last_ask = now_;
    evidence_.merge(incarnation, ask.counts);
    add_team_counts(incarnation, ask.teams);
    const std::optional<time_point> as_of = confirmed_as_of(now_);
    if (as_of && host_state_ != "stopped") {
        port_.send_to_entry(incarnation,
                            entry_confirm{ask.asked_at, (now_ - *as_of).count(), view_->revision()});
    }
    if (ask.revision < view_->revision()) {
        push_config_to_entry(incarnation, link);
    }
}

void steward_core::push_config_to_entry(const std::string& incarnation, entry_link& link) {
    const bool is_recently_pushed =
        link.pushed_revision == view_->revision() && now_ - link.pushed_at < push_repeat_interval;
    if (is_recently_pushed || view_->revision() == 0) {
        return;
    }
    link.pushed_revision = view_->revision();
    link.pushed_at = now_;
    port_.send_to_entry(incarnation, history_.update_from(link.record.revision));
}

void steward_core::push_config() {
    for (auto& [incarnation, link] : entry_links_) {
        if (link.record.revision < view_->revision() && link.last_ask != time_point{}) {
            push_config_to_entry(incarnation, link);
        }
    }
    for (auto& [incarnation, link] : peers_) {
        if (link.revision < view_->revision()) {
            push_config_to_peer(incarnation, link);
        }
    }
}

std::vector<entry_record> steward_core::entries(time_point now) const {
    std::map<std::string, entry_record> by_name;
    const auto take = [&by_name](const entry_record& record) {
        const auto held = by_name.find(record.name);
        if (held == by_name.end() || held->second.revision <= record.revision) {
            by_name[record.name] = record;
        }
    };
    for (const auto& [peer, link] : peers_) {
        if (!is_alive(link, now)) {
            continue;
        }
        for (const auto& [incarnation, record] : link.entries) {
            take(record);
        }
    }
    for (const auto& [incarnation, link] : entry_links_) {
        if (link.last_ask != time_point{} && now - link.last_ask < entry_silence_limit) {
            take(link.record);
        }
    }
    std::vector<entry_record> all;
    for (const auto& [name, record] : by_name) {
        all.push_back(record);
    }
    return all;
}

std::vector<std::string> steward_core::current_leaving_endpoints() const {
    std::vector<std::string> names;
    for (const auto& [name, since] : leaving_since_) {
        if (now_ - since < leaving_retention) {
            names.push_back(name);
        }
    }
    return names;
}

// Fleet updates are rebuilt only when their inputs have changed: with hundreds of entries and thousands of
// endpoints, rebuilding them just to find no difference would be most of a steward's work.
void steward_core::push_fleet() {
    if (endpoints_.empty() ||
        (last_fleet_check_ != time_point{} && now_ - last_fleet_check_ < fleet_check_interval)) {
        return; // An empty list has not been read yet; sending it would remove every endpoint.
    }
    last_fleet_check_ = now_;
    fleet_update shared;
    shared.entries = entries(now_);
    for (entry_record& entry : shared.entries) {
        entry.revision = 0; // Not needed to choose an entry, and it would make every update differ.
    }
    shared.leaving = current_leaving_endpoints();
    shared.stewards = view_->head().stewards;
    const std::string fingerprint = json(shared).dump() + std::to_string(endpoints_version_);
    for (auto& [incarnation, link] : entry_links_) {
        if (link.sent_fingerprint != fingerprint && link.last_ask != time_point{}) {
            link.sent_fingerprint = fingerprint;
            push_fleet_to(incarnation, link, shared);
        }
    }
}

void steward_core::push_fleet_to(const std::string& incarnation, entry_link& link,
                                 const fleet_update& shared) {
    std::map<std::string, std::vector<endpoint_record>> by_pool;
    for (const endpoint_record& endpoint : endpoints_) {
        by_pool[endpoint.pool].push_back(endpoint);
    }
    fleet_update update = shared;
    for (const auto& [pool, members] : by_pool) {
        for (const endpoint_record& chosen :
             choose_subset(link.hello.name, members, settings_.endpoint_subset)) {
            update.endpoints.push_back(chosen);
        }
    }
    for (const auto& [pool, members] : by_pool) {
        const std::size_t used = std::min(settings_.endpoint_subset, members.size());
        update.sharers[pool] = (update.entries.size() * used + members.size() - 1) / members.size();
    }
    if (update != link.sent_fleet) {
        link.sent_fleet = update;
        port_.send_to_entry(incarnation, update);
    }
}

void steward_core::record_leaving_endpoints(const std::vector<std::string>& names) {
    std::vector<std::string> fresh;
    for (const std::string& name : names) {
        const auto found = leaving_since_.find(name);
        if (found == leaving_since_.end() || now_ - found->second > leaving_retention) {
            fresh.push_back(name);
            leaving_since_[name] = now_;
        }
    }
    if (fresh.empty()) {
        return;
    }
    log_info("endpoints_leaving", {{"endpoints", fresh}});
    for (const auto& [incarnation, link] : entry_links_) {
        port_.send_to_entry(incarnation, endpoints_leaving{fresh});
    }
    for (const auto& [incarnation, link] : peers_) {
        port_.send_to_peer(incarnation, endpoints_leaving{fresh});
    }
}

// ---- peers ----

void steward_core::ask_peers() {
    if (last_peer_ask_ != time_point{} && now_ - last_peer_ask_ < peer_ask_interval) {
        return;
    }
    last_peer_ask_ = now_;
    for (auto& [incarnation, link] : peers_) {
        peer_ask ask;
        ask.asked_at = to_micros(now_);
        ask.incarnation = settings_.incarnation;
        ask.revision = view_->revision();
        add_changed_entries(link, ask);
        for (const auto& [entry, heard] : entry_links_) {
            const auto counts = evidence_.by_reporter().find(entry);
            if (counts != evidence_.by_reporter().end() && link.sent_counts[entry] != counts->second) {
                ask.counts[entry] = counts->second;
                link.sent_counts[entry] = counts->second;
            }
        }
        for (const auto& [endpoint, versions] : own_loaded_) {
            const auto sent = link.sent_loaded.find(endpoint);
            if (sent == link.sent_loaded.end() || sent->second != versions) {
                ask.loaded[endpoint] = versions;
                link.sent_loaded[endpoint] = versions;
            }
        }
        port_.send_to_peer(incarnation, ask);
    }
}

void steward_core::add_changed_entries(peer_link& link, peer_ask& ask) {
    ask.is_full = ++link.asks_since_full >= asks_between_full;
    if (ask.is_full) {
        link.asks_since_full = 0;
        link.sent_entries.clear();
    }
    std::map<std::string, entry_record> heard;
    for (const auto& [incarnation, entry] : entry_links_) {
        if (entry.last_ask == time_point{} || now_ - entry.last_ask >= entry_silence_limit) {
            continue;
        }
        entry_record& record = heard[incarnation] = entry.record;
        if (record.revision < view_->revision()) {
            ask.lagging.push_back(incarnation);
        }
        record.revision = 0;
        const auto sent = link.sent_entries.find(incarnation);
        if (sent == link.sent_entries.end() || sent->second != record) {
            ask.entries.push_back(record);
        }
    }
    for (const auto& [incarnation, record] : link.sent_entries) {
        if (heard.count(incarnation) == 0) {
            ask.gone.push_back(incarnation);
        }
    }
    link.sent_entries = std::move(heard);
}

void steward_core::apply_peer_entries(peer_link& link, const peer_ask& ask) {
    if (ask.asked_at <= link.entries_as_of) {
        return; // Duplicate or late: a later message has replaced its content.
    }
    link.entries_as_of = ask.asked_at;
    if (ask.is_full) {
        link.entries.clear();
    }
    for (const entry_record& entry : ask.entries) {
        link.entries[entry.incarnation] = entry;
    }
    for (const std::string& incarnation : ask.gone) {
        link.entries.erase(incarnation);
    }
    for (auto& [incarnation, record] : link.entries) {
        const bool is_lagging =
            std::find(ask.lagging.begin(), ask.lagging.end(), incarnation) != ask.lagging.end();
        record.revision = is_lagging ? 0 : ask.revision;
    }
}

void steward_core::on_peer_ask(const std::string& incarnation, const peer_ask& ask) {
    apply_peer_entries(peers_.at(incarnation), ask);
    for (const auto& [entry, counts] : ask.counts) {
        evidence_.merge(entry, counts);
    }
    for (const auto& [endpoint, versions] : ask.loaded) {
        loaded_[endpoint] = versions;
    }
    port_.send_to_peer(incarnation, peer_answer{ask.asked_at, settings_.incarnation, view_->revision()});
    on_revision_of_peer(incarnation, ask.revision);
}

void steward_core::on_revision_of_peer(const std::string& incarnation, std::int64_t revision) {
    peer_link& link = peers_.at(incarnation);
    link.revision = std::max(link.revision, revision);
    if (revision < view_->revision()) {
        push_config_to_peer(incarnation, link);
    }
}

void steward_core::push_config_to_peer(const std::string& incarnation, peer_link& link) {
    const bool is_recently_pushed =
        link.pushed_revision == view_->revision() && now_ - link.pushed_at < push_repeat_interval;
    if (is_recently_pushed || view_->revision() == 0) {
        return;
    }
    link.pushed_revision = view_->revision();
    link.pushed_at = now_;
    port_.send_to_peer(incarnation, history_.update_from(link.revision));
}

void steward_core::on_peer_config(const std::string& incarnation, const config_update& update) {
    if (update.revision > view_->revision()) {
        const outcome<shared_view> next = apply_update(*view_, update);
        if (const shared_view* whole = value_of(next)) {
            adopt(*whole, 0);
        }
    }
    port_.send_to_peer(incarnation,
                       peer_answer{to_micros(time_point{}), settings_.incarnation, view_->revision()});
}

// ---- the list of stewards ----

bool steward_core::is_listed() const {
    const std::vector<steward_record>& list = view_->head().stewards;
    return std::any_of(list.begin(), list.end(),
                       [this](const steward_record& s) { return s.incarnation == settings_.incarnation; });
}

// The list decides whose answers make a majority while the platform is unavailable. A steward that starts
// under a listed name replaces the one before, which has lost its memory and no longer answers. A new name
// joins only when a majority holds the current list: then every majority of an older list includes a steward
// that knows of the current one. A silent steward whose host has left the platform's list is removed.
void steward_core::update_steward_list() {
    const std::vector<steward_record>& list = view_->head().stewards;
    const std::optional<time_point> as_of = confirmed_as_of(now_);
    if (!as_of || now_ - *as_of > peer_silence_limit || host_state_ != "serving") {
        if (host_state_ == host_chart_.initial() && as_of) {
            host_state_ = *value_of(host_chart_.next(host_state_, "ready"));
        }
        return;
    }
    const steward_record self{settings_.incarnation, settings_.name, settings_.address, settings_.domain};
    const bool is_replacing =
        std::any_of(list.begin(), list.end(), [&](const steward_record& s) { return s.name == self.name; });
    const bool is_held_by_majority =
        revisions_.holders(view_->revision(), view_->revision(), list) >= majority_of(list.size());
    if (!is_listed() && !has_own_command(command_kind::add_steward) &&
        (list.empty() || is_replacing || is_held_by_majority)) {
        fleet_command command;
        command.kind = command_kind::add_steward;
        command.steward = self;
        start_own_command(command);
        return;
    }
    if (!is_listed() || has_own_command(command_kind::remove_steward)) {
        return;
    }
    for (const steward_record& steward : list) {
        const auto peer = peers_.find(steward.incarnation);
        const bool is_heard = peer != peers_.end() && now_ - peer->second.last_heard < steward_absence_limit;
        const bool is_host_listed = std::find(hosts_.begin(), hosts_.end(), steward.name) != hosts_.end();
        if (steward.incarnation == settings_.incarnation || is_heard || is_host_listed || hosts_.empty()) {
            continue;
        }
        fleet_command command;
        command.kind = command_kind::remove_steward;
        command.steward = steward;
        start_own_command(command);
        return;
    }
}

} // namespace laurelhoist
