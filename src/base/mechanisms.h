/** \file
 * Defines which mechanisms of routing are enabled. All are, except in experiments that disable one to
 * measure its effect.
 */
#pragma once

#include <optional>
#include <string>

namespace laurelhoist {

/** One switch per mechanism; constant after the start of a host. */
struct mechanisms {
    bool steps_up = true;     ///< retries with a larger model if a small model's answer has low confidence
    bool keeps_time = true;   ///< steps up only to a model that is predicted to meet the latency objective
    bool shared_homes = true; ///< each shared prompt prefix has a home engine, chosen by hashing
    bool prices_rereading = true;    ///< placement adds a cost for processing a shared prompt part again
    bool remembers_parts = true;     ///< placement uses which prompt parts this host has sent to an engine
    bool hears_peer_load = true;     ///< placement includes the load in flight from other hosts
    bool learns_reading_time = true; ///< estimates a model's costs by least squares instead of constants
    bool keeps_to_domain = true;     ///< prefers endpoints in the host's own failure domain
    bool resumes_silent = true;      ///< moves a stalled request to another endpoint before its timeout
    bool vouches = true;             ///< asks peers to confirm that the configuration is current
    bool tries_few_endpoints = true; ///< sends trial traffic of a release to few endpoints, at full load
    bool bounds_repeats = true;      ///< keeps repeats within this host's part of the budget of all hosts
    bool suspects_releases = true;   ///< delays cut-over and completion while a release looks bad
    bool stops_bad_releases = true;  ///< refuses requests of a service whose completed release turns bad
    bool requires_evidence = true;   ///< delays completion until the answers speak for a release
    bool proves_load = true;         ///< delays completion until a release has carried the load to come
    bool forwards_requests = true;   ///< forwards requests of services whose endpoints this host has lost
    bool leaves_directory = true;    ///< hosts that have lost a service are not named to callers
    bool weighs_joint_ends = true;   ///< ends of endpoints that come together are not blamed on requests
    bool orders_waiting = true;      ///< places waiting requests by priority, team and objective
    bool refuses_hopeless = true;    ///< refuses on arrival what cannot be answered within its time limit
    bool protects_shares = true;     ///< serves load beyond a team's usual share after that of others
    bool knows_pace = true;          ///< placement includes how fast each engine makes events
    bool yields_models = true;       ///< uses larger models less while engines are saturated
};

/** \param text comma-separated names of the mechanisms to disable, which are the names of the members
 * \return all mechanisms enabled but these, or nothing if a name is unknown */
std::optional<mechanisms> without_mechanisms(const std::string& text);

/** \return the names of all mechanisms, separated by commas. */
std::string mechanism_names();

} // namespace laurelhoist
