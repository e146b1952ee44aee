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

/** First message on a link, in both directions. \c proof is an HMAC over the other fields under the
 * fleet key, so that a process without the key can neither confirm nor claim. */
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

/** Entry to steward, about once a second: is my configuration still the latest? */
struct entry_ask {
    std::int64_t asked_at = 0; ///< the entry's monotonic clock, echoed
    std::int64_t revision = 0;
    std::vector<entry_record> entry;          ///< itself, if it changed or was not said for a while
    counts_by_version counts;                 ///< those that changed since the last ask on this link
    std::map<std::string, team_counts> teams; ///< the same, by team
};
LAUREL_VALUE_TYPE(entry_ask, asked_at, revision, entry, counts, teams)

/** Steward to entry: the latest revision is \c revision, as far as \c evidence_age ago. */
struct entry_confirm {
    std::int64_t asked_at = 0;
    std::int64_t evidence_age = 0; ///< microseconds
    std::int64_t revision = 0;
};
LAUREL_VALUE_TYPE(entry_confirm, asked_at, evidence_age, revision)

/** A configuration: the difference to \c base_revision, or whole if that is 0. */
struct config_update {
    std::int64_t revision = 0;
    std::int64_t base_revision = 0;
    json head; ///< a JSON Patch against the base, or the whole head
    std::vector<bundle> documents;
};
LAUREL_VALUE_TYPE(config_update, revision, base_revision, head, documents)

/** Steward to entry: the serving entries, and the endpoints of the entry's subset. */
struct fleet_update {
    std::vector<entry_record> entries;
    std::vector<endpoint_record> endpoints;
    std::vector<std::string> leaving;           ///< endpoints that said themselves that they leave
    std::vector<steward_record> stewards;       ///< to connect to
    std::map<std::string, std::size_t> sharers; ///< entries that use one endpoint of a pool
};
LAUREL_VALUE_TYPE(fleet_update, entries, endpoints, leaving, stewards, sharers)

struct bill_batch {
    std::vector<bill_record> records;
};
LAUREL_VALUE_TYPE(bill_batch, records)

/** Steward to entry: these records are held in memory. */
struct bill_held {
    std::vector<bill_key> keys;
};
LAUREL_VALUE_TYPE(bill_held, keys)

/** Steward to entry: these records are in the platform. */
struct bill_drained {
    std::vector<bill_key> keys;
};
LAUREL_VALUE_TYPE(bill_drained, keys)

/** Entry to steward: create this claim. */
struct claim_request {
    std::string operation;
    claim_record claim;
};
LAUREL_VALUE_TYPE(claim_request, operation, claim)

/** \c result: "created", "taken" (\c claim is the other's) or "unavailable". */
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

/** Entry to steward: what is known of this caller's key? */
struct lookup_request {
    std::string operation;
    std::string team;
    std::string key;
};
LAUREL_VALUE_TYPE(lookup_request, operation, team, key)

/** \c result: "found", "none" or "unavailable". */
struct lookup_reply {
    std::string operation;
    std::string result;
    claim_record claim;
};
LAUREL_VALUE_TYPE(lookup_reply, operation, result, claim)

/** Endpoints that said they are leaving, or refused a connection after the list called them leaving. */
struct endpoints_leaving {
    std::vector<std::string> names;
};
LAUREL_VALUE_TYPE(endpoints_leaving, names)

/** Versions to stop at once, before the brake is written to the platform. The notice counts for one epoch
 * of one roll-out: were it bound to a revision, any other change of configuration would lift it for the
 * moment until it is given again, and the bad version would get work in between. */
struct brake_notice {
    std::string bundle_id;
    int epoch = 0;
    std::vector<version_name> versions;
};
LAUREL_VALUE_TYPE(brake_notice, bundle_id, epoch, versions)

/** Steward to steward, about once a second. What it hears of entries travels as changes, and whole now and
 * then, so that the traffic among stewards does not grow with the number of entries. */
struct peer_ask {
    std::int64_t asked_at = 0; ///< the sender's monotonic clock, echoed; grows from ask to ask
    std::string incarnation;
    std::int64_t revision = 0;
    bool is_full = false;                            ///< \c entries is everything, not what changed
    std::vector<entry_record> entries;               ///< that the sender hears from itself
    std::vector<std::string> gone;                   ///< incarnations that it hears no more
    std::vector<std::string> lagging;                ///< incarnations that do not have \c revision in force
    std::map<std::string, counts_by_version> counts; ///< by entry incarnation, those that changed
    std::map<std::string, std::vector<std::string>> loaded; ///< endpoint -> versions, of those it watches
};
LAUREL_VALUE_TYPE(peer_ask, asked_at, incarnation, revision, is_full, entries, gone, lagging, counts, loaded)

struct peer_answer {
    std::int64_t asked_at = 0;
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
/** \return the message in \p bytes, or an error if it is not one or of another protocol version. */
outcome<node_message> decode(const std::string& bytes);

/** \return the proof of \p hello under \p fleet_key. */
std::string compute_proof(const hello_message& hello, const std::string& fleet_key);
/** \return whether \p hello was made with \p fleet_key and lately by the wall clock. */
bool has_valid_proof(const hello_message& hello, const std::string& fleet_key, std::int64_t now_ms);

} // namespace laurelhoist
