/** \file
 * Defines the immutable snapshot of the configuration that routing decisions read: a head with its bundles.
 */
#pragma once

#include "bundle/fleet_head.h"

#include <memory>
#include <set>

namespace laurelhoist {

/** A complete snapshot of one revision of the configuration. A change creates a new view. */
class fleet_view {
public:
    fleet_view() = default;
    /** \param documents the established and the rolling bundle of \p head, by id */
    fleet_view(fleet_head head, std::map<std::string, bundle> documents);

    const fleet_head& head() const { return head_; }
    std::int64_t revision() const { return head_.revision; }
    const bundle* established() const { return document(head_.established); }
    const bundle* rolling() const { return document(head_.rolling); }
    const bundle* document(const std::string& id) const;
    /** \return the ids of the established and the rolling bundle of \p head, as far as they are set. */
    static std::set<std::string> needed_documents(const fleet_head& head);

    /** \return the team whose key hashes to \p key_sha256 in the established or rolling bundle, or null. */
    const team_entry* team_by_key(const std::string& key_sha256) const;

    /** \return whether the session that hashes to \p session_hash (in [0, 1)) is part of the roll-out.
     * Monotonic: a session that is part of it remains so while the share grows. */
    bool is_in_rollout(double session_hash) const;
    /** \return the bundle that serves the session, or null if there is none, as before the first roll-out. */
    const bundle* bundle_for(double session_hash) const;

    /** \return whether \p version is withdrawn or braked. */
    bool is_stopped(const version_name& version) const;
    bool is_withdrawn(const version_name& version) const { return head_.withdrawn.count(version) > 0; }
    /** \return whether the ladder or the allowed versions of \p team contain \p version, and it is not
     * stopped. */
    bool is_allowed(const std::string& team, const version_name& version) const;
    /** \return the model entry of \p version in the established or rolling bundle, or null. */
    const model_entry* model(const version_name& version) const;
    const pool_entry* pool(const std::string& name) const;
    /** \return the versions in the rolling bundle that the established one does not have. */
    std::vector<version_name> versions_under_rollout() const;

private:
    std::vector<const bundle*> active_bundles() const;

    fleet_head head_;
    std::map<std::string, bundle> documents_;
};

using shared_view = std::shared_ptr<const fleet_view>;

} // namespace laurelhoist
