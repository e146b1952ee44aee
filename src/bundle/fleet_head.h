/** \file
 * Defines the fleet head, the small object in the platform that records which configuration is in force,
 * and the commands that change it.
 *
 * All mutable state is in this one object, so that every change is a single conditional update, revisions
 * are totally ordered, and no reader sees a partial change. Bundles are immutable objects that the head
 * refers to by content hash.
 */
#pragma once

#include "bundle/bundle_types.h"
#include "chart/chart.h"

#include <map>
#include <set>

namespace laurelhoist {

/** The author, time and description of one change, and the identity of its write. */
struct change_record {
    std::int64_t revision = 0;
    std::string by;
    std::int64_t at_ms = 0; ///< wall clock, for display only
    std::string what;
    std::string nonce; ///< identifies the write: after a lost response, a read shows whether it succeeded
};
LAUREL_VALUE_TYPE(change_record, revision, by, at_ms, what, nonce)

/** The state of a bundle in its lifecycle (charts/bundle.scxml) and in its roll-out. */
struct bundle_status {
    std::string sha256;
    std::string state;
    std::string signed_by;
    int step = -1; ///< index of the current roll-out step; -1 before the first, while engines load its models
    double share = 0.0; ///< share of the sessions that the bundle serves while rolling or paused
    int epoch = 0;      ///< incremented at each roll and resume; evidence of earlier epochs is ignored
};
LAUREL_VALUE_TYPE(bundle_status, sha256, state, signed_by, step, share, epoch)

/** Who stopped the use of a version, when and why. */
struct version_stop {
    std::string by;
    std::int64_t at_ms = 0;
    std::string reason;
};
LAUREL_VALUE_TYPE(version_stop, by, at_ms, reason)

/** A steward that is a member of the quorum. */
struct steward_record {
    std::string incarnation; ///< new at each start: a restarted steward has lost its state and must not count
    std::string name;
    std::string address;
    std::string domain;
};
LAUREL_VALUE_TYPE(steward_record, incarnation, name, address, domain)

/** The configuration in force and the most recent changes. */
struct fleet_head {
    std::int64_t revision = 0;
    std::vector<change_record> changes; ///< latest first, at most \ref max_kept_changes
    std::map<std::string, bundle_status> bundles;
    std::string established; ///< id of the bundle that serves all sessions outside a roll-out
    std::string rolling;     ///< id of the bundle that is being rolled out, or empty
    std::map<version_name, version_stop>
        withdrawn; ///< versions withdrawn permanently; entries are never removed
    std::map<version_name, version_stop>
        braked; ///< versions stopped by the brake; a resume may remove entries
    std::vector<steward_record> stewards;
};
LAUREL_VALUE_TYPE(fleet_head, revision, changes, bundles, established, rolling, withdrawn, braked, stewards)

constexpr std::size_t max_kept_changes = 32;

/** The kinds of commands. */
enum class command_kind {
    submit,
    sign_off,
    roll,
    step,
    pause,
    resume,
    finish,
    withdraw_bundle,
    withdraw_version,
    brake,
    add_steward,
    remove_steward,
};
NLOHMANN_JSON_SERIALIZE_ENUM(command_kind, {{command_kind::submit, "submit"},
                                            {command_kind::sign_off, "sign_off"},
                                            {command_kind::roll, "roll"},
                                            {command_kind::step, "step"},
                                            {command_kind::pause, "pause"},
                                            {command_kind::resume, "resume"},
                                            {command_kind::finish, "finish"},
                                            {command_kind::withdraw_bundle, "withdraw_bundle"},
                                            {command_kind::withdraw_version, "withdraw_version"},
                                            {command_kind::brake, "brake"},
                                            {command_kind::add_steward, "add_steward"},
                                            {command_kind::remove_steward, "remove_steward"}})

/** A change requested by an operator or a steward. */
struct fleet_command {
    command_kind kind = command_kind::submit;
    std::string by;
    std::string nonce;
    std::int64_t at_ms = 0;
    /** The revision that the decision is based on; the command fails if the head has another one. */
    std::int64_t expected_revision = 0;
    std::string bundle_id;
    std::string sha256;                 ///< content hash of the bundle, for submit and sign_off
    std::vector<version_name> versions; ///< versions to withdraw or brake, or whose brake a resume lifts
    std::string reason;
    int step = 0;       ///< for the kind step: index of the new step in the roll-out plan
    double share = 0.0; ///< for the kind step: the new share of sessions
    /// The steward to add, which replaces one of the same name, or to remove, which is matched by
    /// incarnation.
    steward_record steward;
};
LAUREL_VALUE_TYPE(fleet_command, kind, by, nonce, at_ms, expected_revision, bundle_id, sha256, versions,
                  reason, step, share, steward)

/** Computes the head that results from \p command, without side effects.
 * \param lifecycle the state chart of a bundle (charts/bundle.scxml)
 * \return the next head, or a conflict error that names the other change or why the command is not possible
 */
outcome<fleet_head> apply_command(const fleet_head& head, const fleet_command& command,
                                  const chart& lifecycle);

/** \return whether the write with \p nonce is among the recorded changes of \p head. */
bool contains_change(const fleet_head& head, const std::string& nonce);

/** \return whether \p to is a valid successor of \p from: it has a higher revision and keeps every
 * withdrawal. */
bool is_successor(const fleet_head& from, const fleet_head& to);

} // namespace laurelhoist
