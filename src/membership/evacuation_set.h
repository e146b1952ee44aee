/** \file
 * Defines the failure domains that operators have ordered to be evacuated.
 */
#pragma once

#include "base/base.h"

#include <set>

namespace laurelhoist {

/** Failure domains whose endpoints get no requests until operators take the order back. What runs there
 * finishes; what waits, is repeated or goes on elsewhere counts as new. */
struct evacuation_set {
    std::set<std::string> domains;
    bool contains(const std::string& domain) const { return domains.count(domain) > 0; }
};
LAUREL_VALUE_TYPE(evacuation_set, domains)

} // namespace laurelhoist
