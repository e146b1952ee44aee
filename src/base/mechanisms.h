/** \file
 * Defines which mechanisms of the decisions are in use. All are, but in experiments that switch one off to
 * see what it is worth.
 */
#pragma once

#include <optional>
#include <string>

namespace laurelhoist {

/** One switch a mechanism; immutable once the host has started. */
struct mechanisms {
    bool steps_up = true;            ///< a larger model is asked where a small one's answer is unsure
    bool keeps_time = true;          ///< only a model that is predicted to be in time is stepped up to
    bool shared_homes = true;        ///< shared parts of prompts have a home on one engine
    bool prices_rereading = true;    ///< placement counts what reading a shared part again costs others
    bool remembers_parts = true;     ///< placement counts what this host has sent to an engine before
    bool hears_peer_load = true;     ///< placement counts what other hosts have in flight
    bool learns_reading_time = true; ///< costs of a model by least squares, in place of the initial ones
    bool keeps_to_domain = true;     ///< endpoints of the own failure domain first
    bool resumes_silent = true;      ///< a silent stream goes on at another endpoint before its time limit
    bool vouches = true;             ///< peers say how fresh the configuration is
    bool tries_few_endpoints = true; ///< a release on trial goes to few endpoints, under their full load
    bool suspects_releases = true;   ///< nothing is reported complete while bad answers stand against it
};

/** \param text names of mechanisms that are off, as their members are called, separated by commas
 * \return the switches, or nothing if a name is unknown */
std::optional<mechanisms> without_mechanisms(const std::string& text);

/** \return the names of all mechanisms, separated by commas. */
std::string mechanism_names();

} // namespace laurelhoist
