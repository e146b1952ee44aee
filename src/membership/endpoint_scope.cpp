#include "membership/endpoint_scope.h"

namespace laurelhoist {

namespace {

/// Endpoints of a group in one part: 32 to 64 after a division. The number of parts is kept while a part has
/// 24 to 96.
constexpr std::uint64_t wanted_part_size = 32;
constexpr std::uint64_t smallest_part_size = 24;
constexpr std::uint64_t largest_part_size = 96;
/// Parts that make up one part for hosts of the endpoints' own failure domain.
constexpr std::uint64_t parts_of_own_domain = 4;

std::uint64_t division_of(std::uint64_t endpoints) {
    std::uint64_t parts = 1;
    while (parts * 2 * wanted_part_size <= endpoints) {
        parts *= 2;
    }
    return parts;
}

bool still_suits(std::uint64_t parts, std::uint64_t endpoints) {
    return endpoints <= parts * largest_part_size && (parts == 1 || endpoints >= parts * smallest_part_size);
}

std::uint64_t part_of(const std::string& name, std::uint64_t parts) {
    return placement_hash("part/" + name) % parts;
}

} // namespace

void endpoint_division::update(const std::vector<endpoint_record>& endpoints) {
    std::map<group, std::uint64_t> counts;
    for (const endpoint_record& endpoint : endpoints) {
        ++counts[{endpoint.pool, endpoint.domain}];
    }
    if (endpoints.size() < (is_divided() ? min_divided_list / 2 : min_divided_list)) {
        counts.clear();
    }
    std::map<group, std::uint64_t> parts;
    for (const auto& [each, count] : counts) {
        const auto held = parts_.find(each);
        const bool is_kept = held != parts_.end() && still_suits(held->second, count);
        parts[each] = is_kept ? held->second : division_of(count);
    }
    set_parts(std::move(parts));
}

void endpoint_division::set_groups(const std::vector<endpoint_parts>& groups) {
    std::map<group, std::uint64_t> parts;
    for (const endpoint_parts& each : groups) {
        parts[{each.pool, each.domain}] = std::max<std::uint64_t>(1, each.parts);
    }
    set_parts(std::move(parts));
}

std::vector<endpoint_parts> endpoint_division::groups() const {
    std::vector<endpoint_parts> groups;
    for (const auto& [each, parts] : parts_) {
        groups.push_back({each.first, each.second, parts});
    }
    return groups;
}

void endpoint_division::set_parts(std::map<group, std::uint64_t> parts) {
    if (parts == parts_) {
        return;
    }
    parts_ = std::move(parts);
    std::string text;
    for (const auto& [each, count] : parts_) {
        text += each.first + "/" + each.second + "=" + std::to_string(count) + ";";
    }
    id_ = text.empty() ? text : std::to_string(placement_hash(text));
}

bool endpoint_division::is_common(const endpoint_record& endpoint) const {
    const auto found = parts_.find({endpoint.pool, endpoint.domain});
    return found == parts_.end() || part_of(endpoint.name, found->second) == 0;
}

bool endpoint_division::holds(const std::string& host, const std::string& domain,
                              const endpoint_record& endpoint) const {
    if (is_common(endpoint)) {
        return true;
    }
    if (endpoint.domain != domain) {
        return false;
    }
    const std::uint64_t parts =
        std::max<std::uint64_t>(1, parts_.at({endpoint.pool, endpoint.domain}) / parts_of_own_domain);
    return part_of(endpoint.name, parts) == part_of(host, parts);
}

} // namespace laurelhoist
