/** \file
 * Defines which endpoints a host of a large fleet holds.
 *
 * Load pattern: 985 hosts and 9,696 endpoints, of which each host uses about one a second. If every host
 * holds the whole list, it takes 40 MB on each, every change is sent to every host, and each of the frequent
 * passes over the list takes a host with an eighth of a core several percent of its time. All three grow with
 * the number of endpoints on every host.
 *
 * The endpoints of each pool and failure domain are therefore divided into parts by a hash of their names.
 * All hosts hold the same one part, the common endpoints, which include the homes of the shared parts of
 * prompts. In addition, a host holds one of a few larger parts of the endpoints in its own failure domain, to
 * which requests go when the common endpoints are busy or lost. The number of parts is a power of two and
 * grows with the number of endpoints, so that what one host holds stays within fixed bounds. A list that is
 * short enough is not divided.
 *
 * Example: 1,616 engines in each of six failure domains are divided into 32 parts. A host holds the 303
 * common engines of all domains and about 202 others of its own domain.
 */
#pragma once

#include "membership/host_list.h"

#include <map>

namespace laurelhoist {

/// A list with fewer endpoints is not divided.
constexpr std::size_t min_divided_list = 1000;

/** The number of parts into which the endpoints of one pool in one failure domain are divided. */
struct endpoint_parts {
    std::string pool;
    std::string domain;
    std::uint64_t parts = 1;
};
LAUREL_VALUE_TYPE(endpoint_parts, pool, domain, parts)

/** How the list of endpoints is divided among the hosts. */
class endpoint_division {
public:
    /** Divides the list \p endpoints. The number of parts changes only when it no longer suits the endpoints
     * by a wide margin, because a change makes every host fetch its part anew. */
    void update(const std::vector<endpoint_record>& endpoints);
    /** Takes the division that another host has computed from the whole list. */
    void set_groups(const std::vector<endpoint_parts>& groups);
    std::vector<endpoint_parts> groups() const;

    /** \return whether hosts hold only a part of the list. */
    bool is_divided() const { return !parts_.empty(); }
    /** \return a text that identifies the division; empty if the list is not divided. */
    const std::string& id() const { return id_; }
    /** \return whether every host holds \p endpoint. */
    bool is_common(const endpoint_record& endpoint) const;
    /** \return whether the host \p host in the failure domain \p domain holds \p endpoint. */
    bool holds(const std::string& host, const std::string& domain, const endpoint_record& endpoint) const;

private:
    /// Pool and failure domain.
    using group = std::pair<std::string, std::string>;
    void set_parts(std::map<group, std::uint64_t> parts);

    std::map<group, std::uint64_t> parts_;
    std::string id_;
};

} // namespace laurelhoist
