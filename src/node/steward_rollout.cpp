/** \file
 * Roll-outs in the steward: the brake, the steps, and the orders that load versions on engines.
 */
#include "node/steward_core.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

constexpr duration turn_length = milliseconds(700);
constexpr duration engine_check_interval = milliseconds(500);
constexpr duration busy_status_interval = milliseconds(500);
constexpr duration idle_status_interval = seconds(10);
constexpr duration order_repeat_interval = seconds(2);
constexpr duration max_order_evidence_age = seconds(2);

} // namespace

std::vector<version_assessment> steward_core::assessments() const {
    std::vector<version_assessment> all;
    for (const version_name& version : view_->versions_under_rollout()) {
        const model_entry* model = view_->model(version);
        version_counts established;
        for (const model_entry& candidate : established_models()) {
            if (candidate.name == model->name) {
                established = evidence_.total(full_name(candidate));
            }
        }
        const version_counts counts = evidence_.total(evidence_key(*view_, version));
        const brake_hypotheses limits =
            hypotheses_for(model->prior_quality, established, view_->rolling()->rollout);
        all.push_back({evaluate(counts, limits), counts.rated + counts.failed});
    }
    return all;
}

std::vector<model_entry> steward_core::established_models() const {
    return view_->established() == nullptr ? std::vector<model_entry>{} : view_->established()->models;
}

std::vector<version_name>
steward_core::bad_versions(const std::vector<version_assessment>& assessments) const {
    std::vector<version_name> bad;
    const std::vector<version_name> versions = view_->versions_under_rollout();
    for (std::size_t i = 0; i < versions.size(); ++i) {
        if (assessments[i].verdict == brake_verdict::braked && !view_->is_stopped(versions[i])) {
            bad.push_back(versions[i]);
        }
    }
    return bad;
}

// Any steward may write the change, and the conditional update lets one succeed. Taking turns only saves the
// platform writes that would fail.
bool steward_core::is_my_turn(duration waited) const {
    std::size_t rank = 0;
    const std::string salt = std::to_string(view_->revision());
    const std::uint64_t own = placement_hash(settings_.incarnation + salt);
    for (const auto& [incarnation, link] : peers_) {
        rank += is_alive(link, now_) && placement_hash(incarnation + salt) < own ? 1 : 0;
    }
    return waited >= turn_length * static_cast<int>(rank);
}

void steward_core::advance_rollout() {
    bake_timer_.observe(view_->head(), now_);
    if (view_->rolling() == nullptr || host_state_ != "serving") {
        return;
    }
    const std::vector<version_assessment> known = assessments();
    const std::vector<version_name> bad = bad_versions(known);
    const bundle_status& status = view_->head().bundles.at(view_->head().rolling);
    const step_action action =
        next_step(*view_->rolling(), status, bake_timer_.elapsed(now_), is_loaded_for_next_step(), known);
    const std::string action_name = !bad.empty() ? "brake" : action == step_action::wait ? "" : "step";
    const std::string action_key = action_name.empty() ? "" : action_name + std::to_string(view_->revision());
    if (action_key != pending_action_) {
        pending_action_ = action_key;
        pending_action_since_ = now_;
    }
    if (!bad.empty()) {
        apply_brake(bad);
    } else if (action != step_action::wait && is_my_turn(now_ - pending_action_since_)) {
        start_rollout_command(action);
    }
}

// The notice takes effect at once, even while the platform is unavailable; the write makes it permanent.
void steward_core::apply_brake(const std::vector<version_name>& bad) {
    const std::string& rolling = view_->head().rolling;
    const brake_notice notice{rolling, view_->head().bundles.at(rolling).epoch, bad};
    for (const auto& [incarnation, link] : entry_links_) {
        port_.send_to_entry(incarnation, notice);
    }
    for (const auto& [incarnation, link] : peers_) {
        port_.send_to_peer(incarnation, notice);
    }
    if (has_own_command(command_kind::brake) || !is_my_turn(now_ - pending_action_since_)) {
        return;
    }
    log_warning("brake", {{"versions", bad}, {"bundle", view_->head().rolling}});
    fleet_command command;
    command.kind = command_kind::brake;
    command.bundle_id = view_->head().rolling;
    command.versions = bad;
    command.reason = "ratings below the team's score";
    start_own_command(command);
}

void steward_core::start_rollout_command(step_action action) {
    const command_kind kind = action == step_action::step ? command_kind::step : command_kind::finish;
    if (has_own_command(kind)) {
        return;
    }
    const bundle_status& status = view_->head().bundles.at(view_->head().rolling);
    fleet_command command;
    command.kind = kind;
    command.bundle_id = view_->head().rolling;
    if (action == step_action::step) {
        command.step = status.step + 1;
        command.share = view_->rolling()->rollout.steps[static_cast<std::size_t>(command.step)].share;
    }
    start_own_command(command);
}

// ---- engines ----

bool steward_core::is_responsible_for(const std::string& name) const {
    const std::uint64_t own = placement_hash(settings_.incarnation + name);
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
        return is_alive(peer.second, now_) && placement_hash(peer.first + name) < own;
    });
}

std::size_t steward_core::wanted_count(double share, std::size_t endpoints) const {
    return std::min(endpoints, static_cast<std::size_t>(std::ceil(share * static_cast<double>(endpoints))));
}

double steward_core::next_share() const {
    const bundle* rolling = view_->rolling();
    if (rolling == nullptr) {
        return 0.0;
    }
    const bundle_status& status = view_->head().bundles.at(rolling->id);
    const std::vector<rollout_step>& steps = rolling->rollout.steps;
    const auto next = static_cast<std::size_t>(status.step) + 1;
    return next < steps.size() ? steps[next].share : 1.0;
}

std::vector<std::string> steward_core::endpoints_to_load(const version_name& version) const {
    const model_entry* model = view_->model(version);
    std::vector<std::string> names;
    for (const endpoint_record& endpoint : endpoints_) {
        if (endpoint.pool == model->pool && endpoint.state == "live") {
            names.push_back(endpoint.name);
        }
    }
    std::sort(names.begin(), names.end(), [&version](const std::string& l, const std::string& r) {
        return placement_hash(version + l) < placement_hash(version + r);
    });
    names.resize(wanted_count(next_share(), names.size()));
    return names;
}

std::vector<version_name> steward_core::wanted_versions(const endpoint_record& endpoint) const {
    std::vector<version_name> wanted;
    for (const model_entry& model : established_models()) {
        if (model.pool == endpoint.pool && !view_->is_withdrawn(full_name(model))) {
            wanted.push_back(full_name(model));
        }
    }
    for (const version_name& version : view_->versions_under_rollout()) {
        const std::vector<std::string> places = endpoints_to_load(version);
        const bool is_placed = std::find(places.begin(), places.end(), endpoint.name) != places.end();
        if (is_placed && !view_->is_withdrawn(version) && view_->model(version)->pool == endpoint.pool) {
            wanted.push_back(version);
        }
    }
    return wanted;
}

bool steward_core::is_loaded_for_next_step() const {
    const std::vector<version_name> versions = view_->versions_under_rollout();
    return std::all_of(versions.begin(), versions.end(), [this](const version_name& version) {
        const std::vector<std::string> places = endpoints_to_load(version);
        return !places.empty() && std::all_of(places.begin(), places.end(), [&](const std::string& name) {
            const auto found = loaded_.find(name);
            return found != loaded_.end() &&
                   std::find(found->second.begin(), found->second.end(), version) != found->second.end();
        });
    });
}

void steward_core::reconcile_engines() {
    if (view_->established() == nullptr || host_state_ != "serving") {
        return;
    }
    if (now_ - last_engine_check_ < engine_check_interval) {
        return; // Computing the wanted versions of thousands of engines is expensive.
    }
    last_engine_check_ = now_;
    const bool is_busy = view_->rolling() != nullptr;
    for (const endpoint_record& endpoint : endpoints_) {
        const pool_entry* pool = view_->pool(endpoint.pool);
        if (pool == nullptr || pool->kind != "engine" || endpoint.state != "live" ||
            !is_responsible_for(endpoint.name)) {
            own_loaded_.erase(endpoint.name);
            continue;
        }
        const auto known = own_loaded_.find(endpoint.name);
        const bool is_unsettled = known == own_loaded_.end() || known->second != wanted_versions(endpoint);
        const duration interval = is_busy || is_unsettled ? busy_status_interval : idle_status_interval;
        time_point& asked = asked_engine_at_[endpoint.name];
        if (asked == time_point{} || now_ - asked >= interval) {
            asked = now_;
            port_.ask_engine(endpoint);
        }
    }
}

// Not every engine checks the fencing token. An order is therefore derived only from a configuration that was
// confirmed within \c max_order_evidence_age, and the loaded versions are read back and corrected: an order
// from a steward that had been paused is undone after the next read. No request relies on this, because the
// engine names its version in each answer.
void steward_core::on_engine_status(const std::string& name, bool reachable,
                                    const std::vector<version_name>& loaded, time_point now) {
    now_ = now;
    const auto endpoint = std::find_if(endpoints_.begin(), endpoints_.end(),
                                       [&name](const endpoint_record& e) { return e.name == name; });
    if (!reachable || endpoint == endpoints_.end() || view_->established() == nullptr) {
        return;
    }
    std::vector<version_name> wanted = wanted_versions(*endpoint);
    std::vector<version_name> sorted = loaded;
    std::sort(sorted.begin(), sorted.end());
    std::vector<version_name> wanted_sorted = wanted;
    std::sort(wanted_sorted.begin(), wanted_sorted.end());
    own_loaded_[name] = sorted == wanted_sorted ? wanted : loaded;
    loaded_[name] = loaded;
    const std::optional<time_point> as_of = confirmed_as_of(now);
    const bool is_recently_confirmed = as_of && now - *as_of < max_order_evidence_age;
    const auto ordered = ordered_at_.find(name);
    const bool is_order_pending =
        ordered != ordered_at_.end() && now - ordered->second < order_repeat_interval;
    if (!is_recently_confirmed || is_order_pending || sorted == wanted_sorted) {
        return;
    }
    const auto order = [&](const std::string& action, const version_name& version) {
        ordered_at_[name] = now;
        metrics_.count("engine_orders");
        log_info("engine_order", {{"endpoint", name}, {"action", action}, {"version", version}});
        port_.order_engine({name, endpoint->address, action, version, view_->revision()});
    };
    for (const version_name& version : wanted) {
        if (!std::binary_search(sorted.begin(), sorted.end(), version)) {
            order("load", version);
        }
    }
    for (const version_name& version : sorted) {
        if (!std::binary_search(wanted_sorted.begin(), wanted_sorted.end(), version)) {
            order("unload", version);
        }
    }
}

} // namespace laurelhoist
