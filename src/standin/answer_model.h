/** \file
 * Defines the score of an answer of a stand-in model. It depends on the skill of the version and the
 * difficulty of the request, and is the same in every run.
 */
#pragma once

#include "base/base.h"

namespace laurelhoist {

/** One version that the stand-in engines can load. */
struct version_skill {
    double skill = 0.9; ///< share of the requests that it answers well, apart from noise
    int first_token_ms = 20;
    int token_ms = 1;
    int load_ms = 300;
};
LAUREL_VALUE_TYPE(version_skill, skill, first_token_ms, token_ms, load_ms)

/** \return the score of an answer: 0.9 if the version's skill is above the request's difficulty, else 0.3.
 * The difficulty is a hash of the request's text, uniform in [0, 1). 3 percent of the answers within the
 * skill score 0.3 too. */
inline double answer_score(const version_skill& version, const std::string& version_name,
                           const json& request) {
    constexpr double noise_share = 0.03;
    const std::string text = request.value("messages", json::array()).dump();
    const double difficulty = unit_hash("difficulty " + text);
    const bool is_noisy = unit_hash(version_name + text) < noise_share;
    const bool is_good = difficulty < version.skill && !is_noisy;
    return is_good ? 0.9 : 0.3;
}

} // namespace laurelhoist
