/** \file
 * Defines the session token: the pins of a session travel with the caller, signed, so that a session
 * keeps its versions on any entry host and through the loss of every one of them.
 */
#pragma once

#include "bundle/bundle.h"

namespace laurelhoist {

/** A session and the versions it stays on. */
struct session_pins {
    std::string team;
    std::string session;
    std::map<std::string, std::string> version_by_model;
    /// The configuration that the pins were made under. An entry that holds an older one does not know the
    /// versions pinned by a later, and would move the session; it waits until it has caught up.
    std::int64_t revision = 0;
};
LAUREL_VALUE_TYPE(session_pins, team, session, version_by_model, revision)

/** \return the token that carries \p pins, signed with \p key. */
std::string encode_session(const session_pins& pins, const std::string& key);

/** Reads what a caller sent as its session: a token of ours for the same team, or, failing that, a plain
 * session id of the caller's own without pins. A token that was altered, or is another team's, is taken
 * as a plain id: it can pin nothing.
 * \param header the caller's text; empty for a new session, which gets \p new_session_id */
session_pins read_session(const std::string& header, const std::string& team, const std::string& key,
                          const std::string& new_session_id);

/** \return the versions that the session may be served by, from cheap to costly: the pinned version of
 * each model of its ladder while it is allowed, else the ladder's, else the established ladder's. */
std::vector<version_name> resolve_ladder(const fleet_view& view, const session_pins& pins);

/** \return `model` of `model@version`. */
std::string model_of(const version_name& version);
/** \return `version` of `model@version`. */
std::string version_of(const version_name& version);

} // namespace laurelhoist
