/** \file
 * Defines the answer to "which entry hosts should I use".
 */
#pragma once

#include "base/base.h"

#include <vector>

namespace laurelhoist {

/** An entry as the stewards see it. */
struct entry_record {
    std::string name;
    std::string incarnation;
    std::string address;
    std::string domain;
    std::string state = "serving"; ///< "serving", "leaving" or "draining"
    std::int64_t revision = 0;     ///< the configuration it has in force
};
LAUREL_VALUE_TYPE(entry_record, name, incarnation, address, domain, state, revision)

/** One line of the answer to callers. */
struct entry_choice {
    std::string address;
    std::string domain;
};
LAUREL_VALUE_TYPE(entry_choice, address, domain)

/** Orders the serving entries for one session: the same session gets the same first entry from any host
 * that is asked (so that its prompt prefix stays cached), neighbours in the answer lie in different
 * failure domains, and a host that comes or goes moves only the sessions it had.
 * \return at most \p limit entries, best first */
std::vector<entry_choice> choose_entries(const std::string& session, const std::vector<entry_record>& entries,
                                         std::size_t limit);

} // namespace laurelhoist
