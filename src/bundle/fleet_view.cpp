#include "bundle/fleet_view.h"

#include <algorithm>

namespace laurelhoist {

fleet_view::fleet_view(fleet_head head, std::map<std::string, bundle> documents)
    : head_{std::move(head)}, documents_{std::move(documents)} {}

const bundle* fleet_view::document(const std::string& id) const {
    const auto found = documents_.find(id);
    return found == documents_.end() ? nullptr : &found->second;
}

std::set<std::string> fleet_view::needed_documents(const fleet_head& head) {
    std::set<std::string> needed;
    for (const std::string& id : {head.established, head.rolling}) {
        if (!id.empty()) {
            needed.insert(id);
        }
    }
    return needed;
}

std::vector<const bundle*> fleet_view::active_bundles() const {
    std::vector<const bundle*> documents;
    for (const bundle* candidate : {established(), rolling()}) {
        if (candidate != nullptr) {
            documents.push_back(candidate);
        }
    }
    return documents;
}

const team_entry* fleet_view::team_by_key(const std::string& key_sha256) const {
    for (const bundle* candidate : active_bundles()) {
        for (const team_entry& team : candidate->teams) {
            if (equal_in_constant_time(team.key_sha256, key_sha256)) {
                return &team;
            }
        }
    }
    return nullptr;
}

bool fleet_view::is_in_rollout(double session_hash) const {
    const auto found = head_.bundles.find(head_.rolling);
    if (found == head_.bundles.end() || rolling() == nullptr) {
        return false;
    }
    const bundle_status& status = found->second;
    const bool takes_sessions = status.state == "rolling" || status.state == "paused";
    return takes_sessions && session_hash < status.share;
}

const bundle* fleet_view::bundle_for(double session_hash) const {
    return is_in_rollout(session_hash) ? rolling() : established();
}

bool fleet_view::is_stopped(const version_name& version) const {
    return is_withdrawn(version) || head_.braked.count(version) > 0;
}

bool fleet_view::is_allowed(const std::string& team, const version_name& version) const {
    if (is_stopped(version)) {
        return false;
    }
    const std::vector<const bundle*> documents = active_bundles();
    return std::any_of(documents.begin(), documents.end(), [&](const bundle* candidate) {
        const team_entry* entry = find_team(*candidate, team);
        return entry != nullptr && may_use_version(*entry, version);
    });
}

const model_entry* fleet_view::model(const version_name& version) const {
    for (const bundle* candidate : active_bundles()) {
        if (const model_entry* found = find_model(*candidate, version)) {
            return found;
        }
    }
    return nullptr;
}

const pool_entry* fleet_view::pool(const std::string& name) const {
    for (const bundle* candidate : active_bundles()) {
        if (const pool_entry* found = find_pool(*candidate, name)) {
            return found;
        }
    }
    return nullptr;
}

std::vector<version_name> fleet_view::versions_under_rollout() const {
    std::vector<version_name> added;
    if (rolling() == nullptr) {
        return added;
    }
    for (const model_entry& candidate : rolling()->models) {
        const version_name version = full_name(candidate);
        if (established() == nullptr || find_model(*established(), version) == nullptr) {
            added.push_back(version);
        }
    }
    return added;
}

} // namespace laurelhoist
