/** \file
 * Defines the datagrams between entry hosts, encoded as CBOR. A missing field takes its default, so that
 * hosts of different releases understand each other. On the wire each field name is replaced by a short code,
 * because traffic between failure domains costs money and most field names are longer than their values.
 */
#pragma once

#include "admission/admission.h"
#include "membership/membership.h"
#include "placement/placement.h"
#include "recovery/recovery.h"
#include "rollout/release_rollout.h"

namespace laurelhoist {

/// Longest time to read prompts that a host announces of one endpoint. Sums and differences of such times
/// over all hosts are exact to a fraction of a millisecond.
constexpr std::int64_t max_reading_ms = std::int64_t{1} << 34;

/** The sender's requests in flight at one endpoint. */
struct load_entry {
    std::string endpoint;
    std::int64_t reading_ms = 0; ///< \ref endpoint_load::reading_ms, rounded: takes a third of the bytes
    int running = 0;
};
LAUREL_VALUE_TYPE(load_entry, endpoint, reading_ms, running)

/** An endpoint that refused a connection because nothing listened at its address. */
struct refused_endpoint {
    std::string endpoint;
    std::int64_t age_ms = 0; ///< time since the refused attempt
};
LAUREL_VALUE_TYPE(refused_endpoint, endpoint, age_ms)

/** The revisions of the sender's copies of the store. A recipient with older copies fetches the sender's. */
struct copy_notice {
    std::int64_t config_revision = 0;
    std::int64_t endpoint_revision = 0;
    std::int64_t rollout_revision = 0;
    std::int64_t evacuation_revision = 0;
    bool is_divided = false; ///< the list of endpoints is divided, see \ref endpoint_division
    /// Last revision in which an endpoint left or changed. Later changes only added endpoints.
    std::int64_t departure_revision = 0;
};
LAUREL_VALUE_TYPE(copy_notice, config_revision, endpoint_revision, rollout_revision, evacuation_revision,
                  is_divided, departure_revision)

/** The gossip message that a host sends to a few others a few times a second. */
struct gossip_message {
    std::vector<host_status> statuses; ///< the sender's own status comes first
    std::vector<load_entry> load;
    std::vector<release_counts> counts;
    std::vector<rollout_gossip> rollouts;
    std::string beats{};   ///< heartbeats, encoded by \ref encode_heartbeats
    bool is_round = false; ///< sent in a gossip round: \ref beats names all hosts that the sender knows
    std::vector<refused_endpoint> refused{};
    std::vector<crash_notice> crashes{}; ///< from \ref crash_quarantine::known
    std::vector<limit_notice> limits{};  ///< from \ref rate_limits::next_to_gossip
    std::vector<copy_notice> copies{}; ///< in a large domain: the sender's, in place of a message of its own
    std::vector<pace_notice> paces{};  ///< from \ref endpoint_pace::next_to_gossip
    std::vector<team_sample> usage{};  ///< from \ref team_usage::samples_to_gossip
};
LAUREL_VALUE_TYPE(gossip_message, statuses, load, counts, rollouts, beats, is_round, refused, crashes, limits,
                  copies, paces, usage)

/** Asks a peer how recently its configuration was confirmed to be the newest. */
struct freshness_question {
    std::int64_t nonce = 0;
};
LAUREL_VALUE_TYPE(freshness_question, nonce)

/** The answer to a \ref freshness_question. The age counts from when the peer answered. The asker subtracts
 * it from the time at which it asked, which is earlier, so that the result is never too recent. */
struct freshness_answer {
    std::int64_t nonce = 0;
    std::int64_t config_revision = 0;
    std::int64_t age_us = 0;
};
LAUREL_VALUE_TYPE(freshness_answer, nonce, config_revision, age_us)

/** The sender's requests in flight at the endpoints where they have changed since its previous message. A
 * \ref gossip_message carries those at all endpoints. */
struct load_update {
    std::string sender;
    std::vector<load_entry> load;
};
LAUREL_VALUE_TYPE(load_update, sender, load)

/** The sessions that the sender has recently served on an old release. */
struct session_update {
    std::vector<session_use> uses;
};
LAUREL_VALUE_TYPE(session_update, uses)

/** The answers that a host of a large fleet has counted for each release, for the hosts that decide on
 * roll-outs. */
struct count_update {
    std::string reporter; ///< name and incarnation of the sender, "name/incarnation"
    std::vector<release_counts> counts;
};
LAUREL_VALUE_TYPE(count_update, reporter, counts)

/** Endpoints whose processes were found to have ended. They are cold when they return. */
struct refusal_update {
    std::vector<refused_endpoint> refused;
};
LAUREL_VALUE_TYPE(refusal_update, refused)

/** A report on a roll-out that the sender has decided on but cannot write, because the store does not serve
 * the sender. */
struct report_handover {
    std::string service;
    std::string release;
    rollout_state state = rollout_state::running;
    std::int64_t revision = 0; ///< \ref rollout_order::revision, for the conditional write
};
LAUREL_VALUE_TYPE(report_handover, service, release, state, revision)

/** Requests during which endpoints crashed, sent as soon as that is known. */
struct crash_update {
    std::vector<crash_notice> crashes;
};
LAUREL_VALUE_TYPE(crash_update, crashes)

/** Rate limits of endpoints, sent as soon as an answer has stated or lifted them. */
struct limit_update {
    std::vector<limit_notice> limits;
};
LAUREL_VALUE_TYPE(limit_update, limits)

/** The sender's status, sent at once when the pools that it has lost change. */
struct status_update {
    host_status status;
};
LAUREL_VALUE_TYPE(status_update, status)

/** A message from another failure domain that the recipient passes on to all hosts of its own domain. */
struct forwarded_message {
    std::string bytes; ///< from \ref encode_peer_message
};
LAUREL_VALUE_TYPE(forwarded_message, bytes)

using peer_message = std::variant<gossip_message, freshness_question, freshness_answer, copy_notice,
                                  load_update, session_update, count_update, refusal_update, report_handover,
                                  crash_update, limit_update, forwarded_message, status_update>;

/** One object of a \ref peer_copy. */
struct peer_object {
    std::string name;
    std::int64_t revision = 0;
    json spec;
    json status;
};
LAUREL_VALUE_TYPE(peer_object, name, revision, spec, status)

/** Number of endpoints by service and release. */
using endpoints_by_release = std::map<std::string, std::map<std::string, int>>;

/** A host's copy of the store's objects of one kind, in answer to the request of another. */
struct peer_copy {
    std::int64_t revision = 0;              ///< \ref object_watch::last_changed_revision
    double grace_ms = 0;                    ///< \ref endpoint_roster::grace_left
    std::vector<endpoint_parts> division{}; ///< of the whole list, if the copy is a part of it
    endpoints_by_release releases{};        ///< live endpoints of the whole list, if the copy is a part
    std::int64_t departure_revision = 0;    ///< \ref copy_notice::departure_revision
    std::vector<std::string> names;         ///< of all objects of the copy
    std::vector<peer_object> objects;       ///< those that are newer than what the requesting host holds
};
LAUREL_VALUE_TYPE(peer_copy, revision, grace_ms, division, releases, departure_revision, names, objects)

/** \return the bytes of \p copy. */
std::string encode_peer_copy(const peer_copy& copy);
/** \return the copy in \p bytes, or an error that says what is wrong with it. */
outcome<peer_copy> decode_peer_copy(const std::string& bytes);

/** \return the name of the kind of \p message, for metrics. */
const char* peer_message_name(const peer_message& message);
/** \return the bytes of \p message. */
std::string encode_peer_message(const peer_message& message);
/** \param reason is set to what is wrong with \p bytes, unless it is null
 * \return the message in \p bytes, or nothing if they are not a valid message. */
std::optional<peer_message> decode_peer_message(const std::string& bytes, std::string* reason = nullptr);

} // namespace laurelhoist
