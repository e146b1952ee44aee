/** \file
 * Defines when a release that serves a service alone gets no more requests.
 *
 * A release may turn bad after its roll-out is complete, when no established endpoint is left to fall back
 * to. Operators forbid requests to a release that is known to be bad, so its service refuses them until
 * another release is ordered. A fault of some endpoints must not do that: it is a fault of the release only
 * if nearly all of its endpoints fail, and fail alike.
 *
 * Example: 45 failures among 90 answers of 18 endpoints. 17 of them have failed in a quarter of their answers
 * or more, which is half of the common share.
 */
#pragma once

#include "base/base.h"
#include "base/value_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laurelhoist {

/** Answers of one endpoint of a release since the release last looked good. */
struct endpoint_tally {
    std::uint32_t endpoint = 0; ///< hash of its name
    std::int64_t good = 0;
    std::int64_t bad = 0;
};
LAUREL_VALUE_TYPE(endpoint_tally, endpoint, good, bad)

/** Counts an answer of \p endpoint in \p tallies. Of a release with many endpoints only some are counted, the
 * same ones by all hosts. \param endpoints how many run the release */
void count_answer(std::vector<endpoint_tally>& tallies, const std::string& endpoint, bool is_good,
                  int endpoints);

/** The tallies of all hosts, added up by endpoint. */
class failure_spread {
public:
    void add(const std::vector<endpoint_tally>& tallies);
    /** \return the part of the endpoints that fail about as often as all together. */
    double failed_part() const;
    /** \return how many endpoints have had bad answers, relative to how many would have if all were bad
     * alike. Few answers of each suffice. */
    double relative_failed_part() const;

private:
    endpoint_tally sum() const;

    std::map<std::uint32_t, endpoint_tally> by_endpoint_;
};

/** What all hosts have seen of a release since it last looked good. */
struct release_failures {
    double evidence = 0; ///< log likelihood ratio of bad to good
    std::int64_t bad = 0;
    failure_spread spread;
};

constexpr double min_failed_part = 0.8; ///< of the endpoints of a release that fails

/** \return whether there is enough evidence to end a service, whatever the endpoints. */
bool is_bad_enough(const release_failures& failures);
/** \return whether a release with \p failures gets no more requests. */
bool must_stop(const release_failures& failures);

} // namespace laurelhoist
