#include "rollout/evidence.h"

#include <algorithm>

namespace laurelhoist {

namespace {

using count_member = std::int64_t version_counts::*;
constexpr count_member count_members[] = {&version_counts::answers,  &version_counts::rated,
                                          &version_counts::below,    &version_counts::failed,
                                          &version_counts::released, &version_counts::released_below};

} // namespace

std::string evidence_key(const fleet_view& view, const version_name& version) {
    const std::vector<version_name> new_versions = view.versions_under_rollout();
    if (std::find(new_versions.begin(), new_versions.end(), version) == new_versions.end()) {
        return version;
    }
    return version + "#" + view.head().rolling + "/" +
           std::to_string(view.head().bundles.at(view.head().rolling).epoch);
}

void evidence_pool::merge(const std::string& reporter, const counts_by_version& counts) {
    counts_by_version& kept = by_reporter_[reporter];
    for (const auto& [version, reported] : counts) {
        version_counts& held = kept[version];
        for (const count_member member : count_members) {
            held.*member = std::max(held.*member, reported.*member);
        }
    }
}

version_counts evidence_pool::total(const version_name& version) const {
    version_counts sum;
    for (const auto& [reporter, counts] : by_reporter_) {
        const auto found = counts.find(version);
        if (found == counts.end()) {
            continue;
        }
        for (const count_member member : count_members) {
            sum.*member += found->second.*member;
        }
    }
    return sum;
}

} // namespace laurelhoist
