/** \file
 * The part of the steward that keeps entries and peers up to date: configuration, confirmations, the
 * fleet, the list of stewards.
 */
#include "node/steward_core.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration peer_ask_interval = milliseconds(500);
constexpr duration push_repeat = milliseconds(700);
constexpr duration entry_silence_limit = seconds(3);
constexpr duration peer_silence_limit = seconds(3);
constexpr duration steward_absence_limit = seconds(20);
constexpr duration leaving_memory = seconds(60);

} // namespace

// ---- entries ----

void steward_core::on_entry_ask(const std::string& incarnation, entry_link& link, const entry_ask& ask) {
    link.record = ask.entry;
    link.last_ask = now_;
    evidence_.merge(incarnation, ask.counts);
    count_teams(incarnation, ask.teams);
    const std::optional<time_point> as_of = confirmed_as_of(now_);
    if (as_of && host_state_ != "stopped") {
        port_.send_to_entry(incarnation,
                            entry_confirm{ask.asked_at, (now_ - *as_of).count(), view_->revision()});
    }
    if (ask.entry.revision < view_->revision()) {
        push_config_to_entry(incarnation, link);
    }
}

void steward_core::push_config_to_entry(const std::string& incarnation, entry_link& link) {
    const bool is_pushed = link.pushed_revision == view_->revision() && now_ - link.pushed_at < push_repeat;
    if (is_pushed || view_->revision() == 0) {
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
    for (const auto& [incarnation, heard] : heard_) {
        if (now - heard.at < entry_silence_limit) {
            take(heard.record);
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

std::vector<std::string> steward_core::leaving_now() const {
    std::vector<std::string> names;
    for (const auto& [name, since] : leaving_) {
        if (now_ - since < leaving_memory) {
            names.push_back(name);
        }
    }
    return names;
}

void steward_core::push_fleet() {
    for (auto& [incarnation, link] : entry_links_) {
        push_fleet_to(incarnation, link);
    }
}

void steward_core::push_fleet_to(const std::string& incarnation, entry_link& link) {
    if (endpoints_.empty()) {
        return; // Nothing read yet: an empty list would make every endpoint look gone.
    }
    std::map<std::string, std::vector<endpoint_record>> by_pool;
    for (const endpoint_record& endpoint : endpoints_) {
        by_pool[endpoint.pool].push_back(endpoint);
    }
    fleet_update update;
    for (const auto& [pool, members] : by_pool) {
        for (const endpoint_record& chosen :
             choose_subset(link.hello.name, members, settings_.endpoint_subset)) {
            update.endpoints.push_back(chosen);
        }
    }
    update.entries = entries(now_);
    for (const auto& [pool, members] : by_pool) {
        const std::size_t used = std::min(settings_.endpoint_subset, members.size());
        update.sharers[pool] = (update.entries.size() * used + members.size() - 1) / members.size();
    }
    for (entry_record& entry : update.entries) {
        entry.revision = 0; // Callers' choice does not depend on it, and it would make every push differ.
    }
    update.leaving = leaving_now();
    update.stewards = view_->head().stewards;
    const std::string text = json(update).dump();
    if (text == link.sent_fleet) {
        return;
    }
    link.sent_fleet = text;
    port_.send_to_entry(incarnation, update);
}

void steward_core::note_leaving(const std::vector<std::string>& names) {
    std::vector<std::string> fresh;
    for (const std::string& name : names) {
        const auto found = leaving_.find(name);
        if (found == leaving_.end() || now_ - found->second > leaving_memory) {
            fresh.push_back(name);
            leaving_[name] = now_;
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
        for (const auto& [entry, heard] : entry_links_) {
            if (heard.last_ask != time_point{} && now_ - heard.last_ask < entry_silence_limit) {
                ask.entries.push_back(heard.record);
            }
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

void steward_core::on_peer_ask(const std::string& incarnation, const peer_ask& ask) {
    for (const entry_record& entry : ask.entries) {
        heard_[entry.incarnation] = {entry, now_};
    }
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
    const bool is_pushed = link.pushed_revision == view_->revision() && now_ - link.pushed_at < push_repeat;
    if (is_pushed || view_->revision() == 0) {
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

// The list decides whose answers make a majority while the platform is dark. A start under the name of a
// listed steward replaces it: the one before has forgotten and answers no more. A new name joins only when
// a majority holds the present list, so that nobody with an older list can find a majority without
// somebody who knows better. A steward whose host has left the platform's list is dropped.
void steward_core::keep_steward_list() {
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
    const bool is_spread =
        revisions_.holders(view_->revision(), view_->revision(), list) >= majority_of(list.size());
    if (!is_listed() && !has_own_command(command_kind::add_steward) &&
        (list.empty() || is_replacing || is_spread)) {
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
