/** \file
 * Defines the session token: the caller carries the versions that its session is pinned to, signed, so that
 * the session keeps them on any entry host and even when all of them restart.
 */
#pragma once

#include "bundle/bundle.h"

namespace laurelhoist {

/** A session and the versions that it is pinned to. */
struct session_pins {
    std::string team;
    std::string session;
    std::map<std::string, std::string> version_by_model;
    /// Revision of the configuration under which the pins were made. An entry with an older configuration
    /// may not know the pinned versions and would move the session, so it waits until it has caught up.
    std::int64_t revision = 0;
};
LAUREL_VALUE_TYPE(session_pins, team, session, version_by_model, revision)

/** \return the token that carries \p pins, signed with \p key. */
std::string encode_session(const session_pins& pins, const std::string& key);

/** Reads the session header of a request: a token signed with \p key for the same team, or else a session id
 * of the caller's choice without pins. A token that was altered or belongs to another team is taken as such
 * an id, so it pins nothing.
 * \param header the header's value; empty for a new session, which gets \p new_session_id */
session_pins read_session(const std::string& header, const std::string& team, const std::string& key,
                          const std::string& new_session_id);

/** \return the versions that may serve the session, in the order of its team's ladder from cheap to costly.
 * For each model it is the pinned version if that is allowed, else the ladder's, else that of the established
 * bundle's ladder; a model with no allowed version is left out. */
std::vector<version_name> resolve_ladder(const fleet_view& view, const session_pins& pins);

/** \return `model` of `model@version`. */
std::string model_of(const version_name& version);
/** \return `version` of `model@version`. */
std::string version_of(const version_name& version);

} // namespace laurelhoist
