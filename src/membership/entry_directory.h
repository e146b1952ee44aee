/** \file
 * Defines which entry hosts a caller is told to use.
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
    std::int64_t revision = 0;     ///< of the configuration that the entry has in force
};
LAUREL_VALUE_TYPE(entry_record, name, incarnation, address, domain, state, revision)

/** One entry host in the answer to a caller. */
struct entry_choice {
    std::string address;
    std::string domain;
};
LAUREL_VALUE_TYPE(entry_choice, address, domain)

/** Orders the serving entries for one session by rendezvous hashing. Every host that is asked gives the same
 * first entry for a session, so that the session's prompt prefix stays cached. The answer takes one entry
 * from each failure domain before it takes a second one from any. A host that joins or leaves moves only
 * the sessions whose first entry it is.
 * \return at most \p limit entries, best first */
std::vector<entry_choice> choose_entries(const std::string& session, const std::vector<entry_record>& entries,
                                         std::size_t limit);

} // namespace laurelhoist
