/** \file
 * Defines the datagrams between entry hosts (CBOR). A field that is missing takes its default, so that an
 * older and a newer host understand each other. On the wire each field goes by a short
 * code: bytes between failure domains cost, and most names are longer than what they name.
 */
#pragma once

#include "membership/membership.h"
#include "placement/placement.h"
#include "recovery/recovery.h"
#include "rollout/release_rollout.h"

namespace laurelhoist {

/** Work in flight at one endpoint, by the sender. */
struct load_entry {
    std::string endpoint;
    std::int64_t reading_ms = 0; ///< \see endpoint_load::reading_ms; whole, which takes a third of the bytes
    int running = 0;
};
LAUREL_VALUE_TYPE(load_entry, endpoint, reading_ms, running)

/** An endpoint at which nothing listened. */
struct refused_endpoint {
    std::string endpoint;
    std::int64_t age_ms = 0; ///< since it was tried
};
LAUREL_VALUE_TYPE(refused_endpoint, endpoint, age_ms)

/** What a host tells a few others, a few times a second. */
struct peer_news {
    std::vector<host_status> statuses; ///< the sender's first
    std::vector<load_entry> load;
    std::vector<release_counts> counts;
    std::vector<rollout_gossip> rollouts;
    std::string beats{};   ///< \ref encode_beats
    bool is_round = false; ///< part of a round: the beats are of all that the sender knows
    std::vector<refused_endpoint> refused{};
    std::vector<crash_notice> crashes{}; ///< \ref crash_quarantine::known
    std::vector<limit_notice> limits{};  ///< \ref rate_limits::next_known
};
LAUREL_VALUE_TYPE(peer_news, statuses, load, counts, rollouts, beats, is_round, refused, crashes, limits)

/** Asks a peer how recently it knows its configuration to be the newest. */
struct freshness_question {
    std::int64_t nonce = 0;
};
LAUREL_VALUE_TYPE(freshness_question, nonce)

/** The peer's answer; the age counts from when it was given, so the asker adds it to the moment of asking. */
struct freshness_answer {
    std::int64_t nonce = 0;
    std::int64_t config_revision = 0;
    std::int64_t age_us = 0;
};
LAUREL_VALUE_TYPE(freshness_answer, nonce, config_revision, age_us)

/** Work in flight at the endpoints, by the sender, as far as it has changed since the message before; all of
 * it comes with \ref peer_news. */
struct load_news {
    std::string sender;
    std::vector<load_entry> load;
};
LAUREL_VALUE_TYPE(load_news, sender, load)

/** Says how new the sender's copies of the store are; whoever holds older ones asks the sender for them. */
struct copy_notice {
    std::int64_t config_revision = 0;
    std::int64_t endpoint_revision = 0;
    std::int64_t rollout_revision = 0;
    std::int64_t evacuation_revision = 0;
};
LAUREL_VALUE_TYPE(copy_notice, config_revision, endpoint_revision, rollout_revision, evacuation_revision)

/** Says which sessions the sender has served on an old release lately. */
struct session_news {
    std::vector<session_use> uses;
};
LAUREL_VALUE_TYPE(session_news, uses)

/** What a host of a large fleet has seen of releases, for those that decide on roll-outs. */
struct count_news {
    std::string reporter; ///< name and incarnation of the sender
    std::vector<release_counts> counts;
};
LAUREL_VALUE_TYPE(count_news, reporter, counts)

/** Endpoints that were found to have ended: when they are back they are cold. */
struct refusal_news {
    std::vector<refused_endpoint> refused;
};
LAUREL_VALUE_TYPE(refusal_news, refused)

/** A report on a roll-out that the sender, which decides, cannot write: the store does not serve it. */
struct report_handover {
    std::string service;
    std::string release;
    rollout_state state = rollout_state::running;
    std::int64_t revision = 0; ///< \ref rollout_order::revision
};
LAUREL_VALUE_TYPE(report_handover, service, release, state, revision)

/** Requests under which endpoints ended, as soon as it is known. */
struct crash_news {
    std::vector<crash_notice> crashes;
};
LAUREL_VALUE_TYPE(crash_news, crashes)

/** Limits of endpoints, as soon as an answer has named or lifted them. */
struct limit_news {
    std::vector<limit_notice> limits;
};
LAUREL_VALUE_TYPE(limit_news, limits)

using peer_message =
    std::variant<peer_news, freshness_question, freshness_answer, copy_notice, load_news, session_news,
                 count_news, refusal_news, report_handover, crash_news, limit_news>;

/** \return the bytes of \p message. */
std::string encode_peer_message(const peer_message& message);
/** \return the message in \p bytes, or nothing if they are none. */
std::optional<peer_message> decode_peer_message(const std::string& bytes);

} // namespace laurelhoist
