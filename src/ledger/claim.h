/** \file
 * Defines the claim that lets a non-idempotent request with a caller's key run at most once.
 *
 * A claim is an object created by a conditional write before the request is sent. Whoever created it, and
 * nobody else, may send the request. Its states: claimed (may have run), voided (will never run under
 * this attempt, so another may claim), done (ran; the answer is kept).
 */
#pragma once

#include "base/base.h"

namespace laurelhoist {

struct claim_record {
    std::string team;
    std::string key;
    std::string attempt; ///< the one attempt that may run; new for each try of a caller
    std::string state = "claimed";
    std::string request_digest; ///< so that a key reused for another request is noticed
    json answer;                ///< of a request that is done
    int status = 0;
};
LAUREL_VALUE_TYPE(claim_record, team, key, attempt, state, request_digest, answer, status)

/** \return the platform's name for the claim of \p key by \p team. */
inline std::string claim_name(const std::string& team, const std::string& key) {
    return "claim/" + team + "/" + sha256_hex(key);
}

} // namespace laurelhoist
