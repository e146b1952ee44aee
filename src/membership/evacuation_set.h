/** \file
 * Defines the failure domains that operators have ordered to be evacuated.
 */
#pragma once

#include "base/base.h"

#include <set>

namespace laurelhoist {

/** Failure domains whose endpoints get no new requests until operators withdraw the order. Requests that
 * already run there finish. Requests that are queued, retried or resumed elsewhere count as new. */
struct evacuation_set {
    std::set<std::string> domains;
    bool contains(const std::string& domain) const { return domains.count(domain) > 0; }
};
LAUREL_VALUE_TYPE(evacuation_set, domains)

} // namespace laurelhoist
