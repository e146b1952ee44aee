/** \file
 * Defines the configuration that operators write: a bundle of models, pools, teams, services, the
 * roll-out plan and the service-level objectives. All are immutable values once signed off.
 */
#pragma once

#include "base/base.h"

#include <optional>
#include <string>
#include <vector>

namespace laurelhoist {

/** A model at a version, written `model@version`. */
using version_name = std::string;

/** A set of endpoints of one kind. */
struct pool_entry {
    std::string name;
    std::string kind = "engine"; ///< "engine" or "service"
    bool checks_fence = false;   ///< whether its engines refuse an order with an old fencing number
    int slots = 8;               ///< requests that one endpoint runs at a time before it slows down
};
LAUREL_VALUE_TYPE(pool_entry, name, kind, checks_fence, slots)

/** One model at one version, with what is known of it before any rating arrives. */
struct model_entry {
    std::string name;
    std::string version;
    std::string pool;
    double cost_per_1k_tokens = 1.0; ///< in the operators' currency
    double prior_quality = 0.9;      ///< chance that an answer meets the score, before ratings
    int first_token_ms = 200;
    int token_ms = 20;
};
LAUREL_VALUE_TYPE(model_entry, name, version, pool, cost_per_1k_tokens, prior_quality, first_token_ms,
                  token_ms)

/** \return the `model@version` of \p model. */
version_name full_name(const model_entry& model);

/** An answer counts when it is rated at \c score or better; \c share of the answers must count. */
struct quality_target {
    double score = 0.7;
    double share = 0.95;
};
LAUREL_VALUE_TYPE(quality_target, score, share)

/** What one team may use and expects. */
struct team_entry {
    std::string name;
    std::string key_sha256;            ///< the SHA-256 of the team's key; the key itself is never kept
    std::vector<version_name> ladder;  ///< from cheap to costly
    std::vector<version_name> allow;   ///< versions that sessions may stay on beside the ladder's
    std::vector<std::string> services; ///< plain services it may call
    quality_target quality;
    int latency_budget_ms = 30000;
    int weight = 1;                      ///< share of a full pool, beside other teams
    int max_in_flight = 64;              ///< on one entry host
    int max_queued = 128;                ///< on one entry host
    bool rate_answers = true;            ///< whether whole answers are rated before release
    std::string on_withdrawal = "rerun"; ///< "rerun" or "finish" a stream whose version is withdrawn
};
LAUREL_VALUE_TYPE(team_entry, name, key_sha256, ladder, allow, services, quality, latency_budget_ms, weight,
                  max_in_flight, max_queued, rate_answers, on_withdrawal)

/** One call of a plain service. */
struct service_call {
    std::string path;
    bool idempotent = false; ///< whether it may be repeated
};
LAUREL_VALUE_TYPE(service_call, path, idempotent)

/** A plain service and its calls. */
struct service_entry {
    std::string name;
    std::string pool;
    double cost_per_call = 0.0;
    std::vector<service_call> calls;
};
LAUREL_VALUE_TYPE(service_entry, name, pool, cost_per_call, calls)

/** One step of a roll-out: the share of sessions and how long it is watched. */
struct rollout_step {
    double share = 1.0;
    int bake_ms = 60000;
};
LAUREL_VALUE_TYPE(rollout_step, share, bake_ms)

/** How a bundle is rolled and when its brake falls. */
struct rollout_plan {
    std::vector<rollout_step> steps;
    /// How much the share of answers below the score may exceed the baseline in a good version.
    double tolerated_drop = 0.02;
    /// By how much it exceeds the baseline in a version that must be braked.
    double braked_drop = 0.3;
    /// Rated answers of each new version before a step after the first. Sessions stay on their version, so
    /// without new sessions time alone shows nothing of the new one.
    int min_rated = 30;
};
LAUREL_VALUE_TYPE(rollout_plan, steps, tolerated_drop, braked_drop, min_rated)

/** A service-level objective of one team. */
struct objective_entry {
    std::string team;
    int latency_ms = 5000;        ///< an answer within this time is in time
    double latency_share = 0.95;  ///< share of answers in time
    double quality_share = 0.95;  ///< share of rated answers at the score
    double availability = 0.999;  ///< share of requests that got a whole answer
    double exposure_share = 0.01; ///< largest share of answers from versions that were later braked
};
LAUREL_VALUE_TYPE(objective_entry, team, latency_ms, latency_share, quality_share, availability,
                  exposure_share)

/** The versioned document that operators submit, sign off and roll. */
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

/** \return the SHA-256 over the canonical text of \p document; what signing off signs. */
std::string content_hash(const bundle& document);

const team_entry* find_team(const bundle& document, const std::string& name);
const model_entry* find_model(const bundle& document, const version_name& version);
const service_entry* find_service(const bundle& document, const std::string& name);
const service_call* find_call(const service_entry& service, const std::string& path);
const pool_entry* find_pool(const bundle& document, const std::string& name);
/** \return whether \p team may use \p version by its ladder or its allowed versions. */
bool may_use_version(const team_entry& team, const version_name& version);

} // namespace laurelhoist
