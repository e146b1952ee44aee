/** \file
 * Defines the routing table: an immutable, indexed form of one \ref traffic_config. A request uses the table
 * it was admitted under until it ends, so that it never sees two configurations.
 */
#pragma once

#include "traffic/traffic_types.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace laurelhoist {

/** Lookups of routes, teams and services in one configuration. */
class routing_table {
public:
    explicit routing_table(traffic_config config);

    const traffic_config& config() const { return config_; }
    /** \return the route of \p host with the longest prefix of \p path, or null. The port and the letter case
     * of \p host are ignored. */
    const traffic_route* find_route(std::string_view host, std::string_view path) const;
    /** \return the team that \p key belongs to, or null. */
    const traffic_team* find_team(const std::string& key) const;
    const traffic_service* find_service(const std::string& name) const;
    /** \return whether requests need a key, except on routes that allow anonymous requests. */
    bool requires_key() const { return !config_.teams.empty(); }

private:
    traffic_config config_;
    std::unordered_map<std::string, std::vector<std::size_t>>
        routes_by_host_; ///< indices of routes, longest prefix first
    std::unordered_map<std::string, std::size_t> team_by_key_;
    std::unordered_map<std::string, std::size_t> service_by_name_;
};

using routing_snapshot = std::shared_ptr<const routing_table>;

} // namespace laurelhoist
