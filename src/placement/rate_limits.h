/** \file
 * Defines what endpoints say of the rate at which they take requests, and which statement holds.
 *
 * An endpoint in need names a limit with each answer, for all hosts together and for as long as it goes on
 * saying so. Answers overtake one another, so a statement is known by the time in which it was made: between
 * the sending of the request and the arrival of the answer's head. A stricter one holds at once, a looser one
 * only when it is certainly newer.
 */
#pragma once

#include "membership/host_list.h"

#include <map>
#include <optional>
#include <string>

namespace laurelhoist {

/** What one answer says of its endpoint's limit. */
struct limit_statement {
    std::optional<double> requests_per_s; ///< from all hosts together; nothing: no limit
    time_point sent_at;                   ///< when the request was sent: the statement is no older
    time_point heard_at;                  ///< when the answer began to arrive: the statement is no newer
};

/** The limits of the endpoints, as one host knows them. No I/O; the time is an argument. */
class rate_limits {
public:
    /** Takes the endpoints as the store lists them; a new process under a known name has named no limit. */
    void update(const std::vector<endpoint_record>& endpoints);
    /** Takes what an answer of \p endpoint says. \return whether another limit holds now */
    bool note(const endpoint_record& endpoint, const limit_statement& said);
    /** \return requests a second that \p endpoint takes from all hosts together; nothing: no limit */
    std::optional<double> limit_of(const std::string& endpoint) const;

private:
    struct belief {
        endpoint_record endpoint;
        limit_statement said;
    };
    static bool take(limit_statement& held, const limit_statement& said);

    std::map<std::string, belief> beliefs_; ///< by endpoint
};

} // namespace laurelhoist
