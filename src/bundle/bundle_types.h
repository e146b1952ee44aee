/** \file
 * Defines the configuration that operators write: a bundle of models, pools, teams, services, the
 * roll-out plan and the service-level objectives. A bundle is immutable once it is signed off.
 */
#pragma once

#include "base/base.h"

#include <optional>
#include <string>
#include <vector>

namespace laurelhoist {

/** A model at a version, written `model@version`. */
using version_name = std::string;

/** A pool of endpoints of one kind. */
struct pool_entry {
    std::string name;
    std::string kind = "engine"; ///< "engine" or "service"
    bool checks_fence = false;   ///< whether its engines reject orders with an outdated fencing token
    int slots = 8;               ///< concurrent requests that one endpoint runs without slowing down
};
LAUREL_VALUE_TYPE(pool_entry, name, kind, checks_fence, slots)

/** One model at one version, with the estimates that are used until ratings arrive. */
struct model_entry {
    std::string name;
    std::string version;
    std::string pool;
    double cost_per_1k_tokens = 1.0; ///< in the operators' currency
    double prior_quality = 0.9;      ///< prior probability that an answer meets the score
    int first_token_ms = 200;        ///< expected time to the first token
    int token_ms = 20;               ///< expected time per token
};
LAUREL_VALUE_TYPE(model_entry, name, version, pool, cost_per_1k_tokens, prior_quality, first_token_ms,
                  token_ms)

/** \return the `model@version` of \p model. */
version_name full_name(const model_entry& model);

/** A quality requirement: at least \c share of the answers must be rated \c score or better. */
struct quality_target {
    double score = 0.7;
    double share = 0.95;
};
LAUREL_VALUE_TYPE(quality_target, score, share)

/** The permissions, limits and requirements of one team. */
struct team_entry {
    std::string name;
    std::string key_sha256;            ///< SHA-256 of the team's API key; the key itself is never stored
    std::vector<version_name> ladder;  ///< versions to try, in order of increasing cost
    std::vector<version_name> allow;   ///< further versions that sessions may stay on
    std::vector<std::string> services; ///< plain services that the team may call
    quality_target quality;
    int latency_budget_ms = 30000;       ///< time from the arrival of a request to its deadline
    int weight = 1;                      ///< weight in the fair sharing of a full pool
    int max_in_flight = 64;              ///< concurrent requests on one entry host
    int max_queued = 128;                ///< queued requests on one entry host
    bool rate_answers = true;            ///< whether complete answers are rated before release
    std::string on_withdrawal = "rerun"; ///< "rerun" or "finish" streams of a withdrawn version
};
LAUREL_VALUE_TYPE(team_entry, name, key_sha256, ladder, allow, services, quality, latency_budget_ms, weight,
                  max_in_flight, max_queued, rate_answers, on_withdrawal)

/** One operation of a plain service. */
struct service_call {
    std::string path;
    bool idempotent = false; ///< whether it may be retried
};
LAUREL_VALUE_TYPE(service_call, path, idempotent)

/** A plain service and the operations it offers. */
struct service_entry {
    std::string name;
    std::string pool;
    double cost_per_call = 0.0;
    std::vector<service_call> calls;
};
LAUREL_VALUE_TYPE(service_entry, name, pool, cost_per_call, calls)

/** One step of a roll-out: the share of sessions and how long the step is observed. */
struct rollout_step {
    double share = 1.0;
    int bake_ms = 60000;
};
LAUREL_VALUE_TYPE(rollout_step, share, bake_ms)

/** The steps of a roll-out and the criteria of the brake that stops a bad version automatically. */
struct rollout_plan {
    std::vector<rollout_step> steps;
    /// How far the share of answers below the score may exceed the baseline in an acceptable version.
    double tolerated_drop = 0.02;
    /// How far the share of answers below the score exceeds the baseline in a version that must be stopped.
    double braked_drop = 0.3;
    /// Rated answers that each new version needs before any step after the first. Sessions stay on their
    /// version, so the bake time yields no evidence about a new version while no new sessions arrive.
    int min_rated = 30;
};
LAUREL_VALUE_TYPE(rollout_plan, steps, tolerated_drop, braked_drop, min_rated)

/** A service-level objective of one team. */
struct objective_entry {
    std::string team;
    int latency_ms = 5000;        ///< an answer within this time meets the latency objective
    double latency_share = 0.95;  ///< share of answers within \c latency_ms
    double quality_share = 0.95;  ///< share of rated answers that reach the required score
    double availability = 0.999;  ///< share of requests with a complete answer
    double exposure_share = 0.01; ///< largest share of answers from versions that were later braked
};
LAUREL_VALUE_TYPE(objective_entry, team, latency_ms, latency_share, quality_share, availability,
                  exposure_share)

/** The configuration document that operators submit, sign off and roll out. */
struct bundle {
    std::string id;
    std::vector<pool_entry> pools;
    std::vector<model_entry> models;
    std::vector<service_entry> services;
    std::vector<team_entry> teams;
    rollout_plan rollout;
    std::vector<objective_entry> objectives;
};
LAUREL_VALUE_TYPE(bundle, id, pools, models, services, teams, rollout, objectives)

/** \return the SHA-256 of the canonical JSON text of \p document, which a sign-off refers to. */
std::string content_hash(const bundle& document);

// Lookups; each returns null if there is no such entry.
const team_entry* find_team(const bundle& document, const std::string& name);
const model_entry* find_model(const bundle& document, const version_name& version);
const service_entry* find_service(const bundle& document, const std::string& name);
const service_call* find_call(const service_entry& service, const std::string& path);
const pool_entry* find_pool(const bundle& document, const std::string& name);
/** \return whether \p team may use \p version by its ladder or its allowed versions. */
bool may_use_version(const team_entry& team, const version_name& version);

} // namespace laurelhoist
