/** \file
 * Defines the fleet head: the one small object in the platform that says what is in force, and the
 * commands that change it.
 *
 * Everything mutable stands in this one object, so that a change is one conditional update, revisions are
 * totally ordered, and no reader can ever see half of a change. Bundles are immutable objects that the
 * head names by content hash.
 */
#pragma once

#include "bundle/bundle_types.h"
#include "chart/chart.h"

#include <map>
#include <set>

namespace laurelhoist {

/** Who changed something, and which write it was. */
struct change_record {
    std::int64_t revision = 0;
    std::string by;
    std::int64_t at_ms = 0; ///< wall clock, for people
    std::string what;
    std::string nonce; ///< identifies the write, so that a lost answer can be settled by reading back
};
LAUREL_VALUE_TYPE(change_record, revision, by, at_ms, what, nonce)

/** Where a bundle is in its lifecycle (charts/bundle.scxml). */
struct bundle_status {
    std::string sha256;
    std::string state;
    std::string signed_by;
    int step = -1;      ///< index of the roll-out step in force; -1: capacity is being loaded
    double share = 0.0; ///< of the sessions, while rolling or paused
    int epoch = 0;      ///< grows at each roll and resume; evidence of an earlier epoch does not count
};
LAUREL_VALUE_TYPE(bundle_status, sha256, state, signed_by, step, share, epoch)

/** Why a version may not be used. */
struct version_stop {
    std::string by;
    std::int64_t at_ms = 0;
    std::string reason;
};
LAUREL_VALUE_TYPE(version_stop, by, at_ms, reason)

/** A steward that counts when a majority is asked. */
struct steward_record {
    std::string incarnation; ///< new at each start: a restarted steward has forgotten and must not count
    std::string name;
    std::string address;
    std::string domain;
};
LAUREL_VALUE_TYPE(steward_record, incarnation, name, address, domain)

/** What is in force. */
struct fleet_head {
    std::int64_t revision = 0;
    std::vector<change_record> changes; ///< the latest first, at most \ref max_kept_changes
    std::map<std::string, bundle_status> bundles;
    std::string established;                        ///< id of the bundle that serves what no roll-out takes
    std::string rolling;                            ///< id of the bundle under roll-out, or empty
    std::map<version_name, version_stop> withdrawn; ///< grows only
    std::map<version_name, version_stop> braked;
    std::vector<steward_record> stewards;
};
LAUREL_VALUE_TYPE(fleet_head, revision, changes, bundles, established, rolling, withdrawn, braked, stewards)

constexpr std::size_t max_kept_changes = 32;

/** What a command does. */
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

/** A change that an operator or a steward asks for. */
struct fleet_command {
    command_kind kind = command_kind::submit;
    std::string by;
    std::string nonce;
    std::int64_t at_ms = 0;
    /** The revision that the decision was taken on; the command fails if the head has moved on. */
    std::int64_t expected_revision = 0;
    std::string bundle_id;
    std::string sha256;                 ///< submit, sign_off
    std::vector<version_name> versions; ///< withdraw_version, brake
    std::string reason;
    int step = 0;           ///< step
    double share = 0.0;     ///< step
    steward_record steward; ///< add_steward, remove_steward (by incarnation)
};
LAUREL_VALUE_TYPE(fleet_command, kind, by, nonce, at_ms, expected_revision, bundle_id, sha256, versions,
                  reason, step, share, steward)

/** Works out the head after \p command, without side effects.
 * \param lifecycle the chart of a bundle's lifecycle (charts/bundle.scxml)
 * \return the next head, or a conflict that shows the other change, or why the command is not possible */
outcome<fleet_head> apply_command(const fleet_head& head, const fleet_command& command,
                                  const chart& lifecycle);

/** \return whether the write with \p nonce is among the changes that \p head remembers. */
bool contains_change(const fleet_head& head, const std::string& nonce);

/** \return whether moving from \p from to \p to keeps the promises of configuration: a higher revision,
 * and no withdrawal taken back. */
bool is_successor(const fleet_head& from, const fleet_head& to);

} // namespace laurelhoist
