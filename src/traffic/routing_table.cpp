#include "traffic/routing_table.h"

#include <algorithm>
#include <cctype>

namespace laurelhoist {

namespace {

std::string normalized_host(std::string_view host) {
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    return name;
}

} // namespace

routing_table::routing_table(traffic_config config) : config_{std::move(config)} {
    for (std::size_t i = 0; i < config_.routes.size(); ++i) {
        routes_by_host_[normalized_host(config_.routes[i].host)].push_back(i);
    }
    for (auto& [host, indices] : routes_by_host_) {
        std::stable_sort(indices.begin(), indices.end(), [this](std::size_t left, std::size_t right) {
            return config_.routes[left].path_prefix.size() > config_.routes[right].path_prefix.size();
        });
    }
    for (std::size_t i = 0; i < config_.teams.size(); ++i) {
        for (const std::string& key : config_.teams[i].keys) {
            team_by_key_.emplace(key, i);
        }
    }
    for (std::size_t i = 0; i < config_.services.size(); ++i) {
        service_by_name_.emplace(config_.services[i].name, i);
    }
}

const traffic_route* routing_table::find_route(std::string_view host, std::string_view path) const {
    const auto found = routes_by_host_.find(normalized_host(host));
    if (found == routes_by_host_.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        const traffic_route& candidate = config_.routes[index];
        if (path.substr(0, candidate.path_prefix.size()) == candidate.path_prefix) {
            return &candidate;
        }
    }
    return nullptr;
}

const traffic_team* routing_table::find_team(const std::string& key) const {
    const auto found = team_by_key_.find(key);
    return found == team_by_key_.end() ? nullptr : &config_.teams[found->second];
}

const traffic_service* routing_table::find_service(const std::string& name) const {
    const auto found = service_by_name_.find(name);
    return found == service_by_name_.end() ? nullptr : &config_.services[found->second];
}

} // namespace laurelhoist
