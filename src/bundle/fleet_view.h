/** \file
 * Defines the immutable view of the configuration that decisions read: a head with the bundles it names.
 */
#pragma once

#include "bundle/fleet_head.h"

#include <memory>
#include <set>

namespace laurelhoist {

/** One revision of the configuration, whole. Shared by value; a change makes a new view. */
class fleet_view {
public:
    fleet_view() = default;
    /** \param documents every bundle that \p head names as established or rolling */
    fleet_view(fleet_head head, std::map<std::string, bundle> documents);

    const fleet_head& head() const { return head_; }
    std::int64_t revision() const { return head_.revision; }
    const bundle* established() const { return document(head_.established); }
    const bundle* rolling() const { return document(head_.rolling); }
    const bundle* document(const std::string& id) const;
    /** \return ids of bundles that the head needs and \p documents lacks. */
    static std::set<std::string> needed_documents(const fleet_head& head);

    /** \return the team whose key hashes to \p key_sha256 in the established or rolling bundle, or null. */
    const team_entry* team_by_key(const std::string& key_sha256) const;

    /** \return whether the roll-out has taken the session that hashes to \p session_hash (in [0, 1)).
     * Monotone: a session once taken stays taken while the share grows. */
    bool is_in_rollout(double session_hash) const;
    /** \return the bundle that serves the session, or null before the first roll-out. */
    const bundle* bundle_for(double session_hash) const;

    /** \return whether \p version is withdrawn or braked. */
    bool is_stopped(const version_name& version) const;
    bool is_withdrawn(const version_name& version) const { return head_.withdrawn.count(version) > 0; }
    /** \return whether \p team may be served by \p version now. */
    bool is_allowed(const std::string& team, const version_name& version) const;
    /** \return the model entry of \p version in the rolling or established bundle, or null. */
    const model_entry* model(const version_name& version) const;
    const pool_entry* pool(const std::string& name) const;
    /** \return versions that the rolling bundle brings and the established one lacks. */
    std::vector<version_name> versions_under_rollout() const;

private:
    std::vector<const bundle*> active_bundles() const;

    fleet_head head_;
    std::map<std::string, bundle> documents_;
};

using shared_view = std::shared_ptr<const fleet_view>;

} // namespace laurelhoist
