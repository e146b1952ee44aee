/** \file
 * Defines the claim, by which a non-idempotent request with an idempotency key runs at most once.
 *
 * A claim is an object that is created by a conditional write before the request is sent. Only its creator
 * may send the request. The states of a claim: claimed (the request may have run), voided (it will never run
 * under this attempt, so another attempt may claim it), done (it has run and the answer is stored).
 */
#pragma once

#include "base/base.h"

namespace laurelhoist {

/** The claim of one idempotency key of one team, as it is stored in the platform. */
struct claim_record {
    std::string team;
    std::string key;
    std::string attempt; ///< id of the only attempt that may run; unique to each attempt of a caller
    std::string state = "claimed";
    std::string request_digest; ///< detects the reuse of a key for a different request
    json answer;                ///< answer that is stored in the state done
    int status = 0;             ///< HTTP status of the stored answer
};
LAUREL_VALUE_TYPE(claim_record, team, key, attempt, state, request_digest, answer, status)

/** \return the name of the platform object that holds the claim of \p key by \p team. */
inline std::string claim_name(const std::string& team, const std::string& key) {
    return "claim/" + team + "/" + sha256_hex(key);
}

} // namespace laurelhoist
