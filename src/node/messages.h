/** \file
 * Defines the messages between entries and stewards and among stewards, and their CBOR form:
 * `[protocol version, type name, body]`.
 */
#pragma once

#include "ledger/ledger.h"
#include "membership/membership.h"
#include "rollout/rollout.h"

namespace laurelhoist {

constexpr int protocol_version = 1;

/** First message on a link, in both directions. \c proof is an HMAC of the other fields under the fleet key:
 * a process without the key can neither confirm configurations nor take claims. */
struct hello_message {
    std::string role; ///< "entry" or "steward"
    std::string name;
    std::string incarnation;
    std::string domain;
    std::string address;
    std::int64_t at_ms = 0;
    std::string proof;
};
LAUREL_VALUE_TYPE(hello_message, role, name, incarnation, domain, address, at_ms, proof)

/** Entry to steward, about once a second: asks whether the configuration in force is still the latest, and
 * reports the counts that have changed. */
struct entry_ask {
    std::int64_t asked_at = 0; ///< sending time in us on the entry's monotonic clock; echoed in the answer
    std::int64_t revision = 0; ///< of the configuration in force at the entry
    std::vector<entry_record> entry; ///< the entry's own record, when it has changed and at intervals
    counts_by_version counts;        ///< counts that have changed since the last message
    std::map<std::string, team_counts> teams; ///< team counts that have changed since the last message
};
LAUREL_VALUE_TYPE(entry_ask, asked_at, revision, entry, counts, teams)

/** Steward to entry: \c revision was known to be the latest one \c evidence_age before this answer. */
struct entry_confirm {
    std::int64_t asked_at = 0;     ///< copied from the \ref entry_ask that is answered
    std::int64_t evidence_age = 0; ///< age of the steward's evidence in us
    std::int64_t revision = 0;
};
LAUREL_VALUE_TYPE(entry_confirm, asked_at, evidence_age, revision)

/** A configuration: a delta against \c base_revision, or complete if that is 0. */
struct config_update {
    std::int64_t revision = 0;
    std::int64_t base_revision = 0;
    json head;                     ///< JSON Patch against the head of the base revision, or the complete head
    std::vector<bundle> documents; ///< bundles that the head names and the receiver lacks
};
LAUREL_VALUE_TYPE(config_update, revision, base_revision, head, documents)

/** Steward to entry: the entries that stewards hear from, and the endpoints of the receiver's subset. */
struct fleet_update {
    std::vector<entry_record> entries;
    std::vector<endpoint_record> endpoints;
    std::vector<std::string> leaving;     ///< names of endpoints that have announced that they are leaving
    std::vector<steward_record> stewards; ///< the stewards to connect to
    std::map<std::string, std::size_t> sharers; ///< by pool: mean number of entries per endpoint, rounded up
};
LAUREL_VALUE_TYPE(fleet_update, entries, endpoints, leaving, stewards, sharers)

/** Entry to steward, or steward to peer: bills to hold until the platform has them. */
struct bill_batch {
    std::vector<bill_record> records;
};
LAUREL_VALUE_TYPE(bill_batch, records)

/** Answer to a \ref bill_batch: the steward holds these records in memory. */
struct bill_held {
    std::vector<bill_key> keys;
};
LAUREL_VALUE_TYPE(bill_held, keys)

/** Steward to entry: these records are written to the platform. */
struct bill_drained {
    std::vector<bill_key> keys;
};
LAUREL_VALUE_TYPE(bill_drained, keys)

/** Entry to steward: asks it to create \c claim in the platform. */
struct claim_request {
    std::string operation; ///< echoed in \ref claim_reply
    claim_record claim;
};
LAUREL_VALUE_TYPE(claim_request, operation, claim)

/** Steward to entry. \c result is "created", "taken" (then \c claim is the existing one) or "unavailable". */
struct claim_reply {
    std::string operation;
    std::string result;
    claim_record claim;
};
LAUREL_VALUE_TYPE(claim_reply, operation, result, claim)

/** Entry to steward: the claim is done or voided. */
struct claim_finish {
    claim_record claim;
};
LAUREL_VALUE_TYPE(claim_finish, claim)

/** Entry to steward: asks for the claim under a caller's idempotency key. */
struct lookup_request {
    std::string operation; ///< echoed in \ref lookup_reply
    std::string team;
    std::string key;
};
LAUREL_VALUE_TYPE(lookup_request, operation, team, key)

/** Steward to entry. \c result is "found", "none" or "unavailable". */
struct lookup_reply {
    std::string operation;
    std::string result;
    claim_record claim;
};
LAUREL_VALUE_TYPE(lookup_reply, operation, result, claim)

/** Entry to steward, or steward to entries and peers: endpoints that have announced that they are leaving. */
struct endpoints_leaving {
    std::vector<std::string> names;
};
LAUREL_VALUE_TYPE(endpoints_leaving, names)

/** Versions to stop at once, before the brake is written to the platform. The notice applies to one epoch of
 * one roll-out. If it applied to a revision, any other change of configuration would lift it until the next
 * notice, and the bad version would receive requests in between. */
struct brake_notice {
    std::string bundle_id;
    int epoch = 0;
    std::vector<version_name> versions;
};
LAUREL_VALUE_TYPE(brake_notice, bundle_id, epoch, versions)

/** Steward to steward, about once a second. Entries are sent as changes, and completely at intervals, so that
 * the traffic among stewards does not grow with the number of entries. */
struct peer_ask {
    std::int64_t asked_at = 0; ///< sending time in us on the sender's monotonic clock; echoed
    std::string incarnation;
    std::int64_t revision = 0;
    bool is_full = false;              ///< \c entries is complete and replaces all that was sent before
    std::vector<entry_record> entries; ///< entries with a link to the sender: changed ones, or all
    std::vector<std::string> gone;     ///< incarnations that the sender no longer hears from
    std::vector<std::string> lagging;  ///< incarnations of entries that do not have \c revision in force
    std::map<std::string, counts_by_version> counts; ///< counts that have changed, by entry incarnation
    std::map<std::string, std::vector<std::string>> loaded; ///< loaded versions by engine, if changed
};
LAUREL_VALUE_TYPE(peer_ask, asked_at, incarnation, revision, is_full, entries, gone, lagging, counts, loaded)

/** Steward to steward: the revision that the sender holds, after a \ref peer_ask or a \ref config_update. */
struct peer_answer {
    std::int64_t asked_at = 0; ///< copied from the \ref peer_ask; 0 after a \ref config_update
    std::string incarnation;
    std::int64_t revision = 0;
};
LAUREL_VALUE_TYPE(peer_answer, asked_at, incarnation, revision)

using node_message =
    std::variant<hello_message, entry_ask, entry_confirm, config_update, fleet_update, bill_batch, bill_held,
                 bill_drained, claim_request, claim_reply, claim_finish, lookup_request, lookup_reply,
                 endpoints_leaving, brake_notice, peer_ask, peer_answer>;

/** \return \p message as CBOR. */
std::string encode(const node_message& message);
/** \return the message in \p bytes, or an error if they are malformed or of another protocol version. */
outcome<node_message> decode(const std::string& bytes);

/** \return the HMAC of the fields of \p hello other than \c proof under \p fleet_key, in hexadecimal. */
std::string compute_proof(const hello_message& hello, const std::string& fleet_key);
/** \return whether \p hello was made with \p fleet_key, less than a minute from \p now_ms (wall clock). */
bool has_valid_proof(const hello_message& hello, const std::string& fleet_key, std::int64_t now_ms);

} // namespace laurelhoist
