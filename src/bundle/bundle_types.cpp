#include "bundle/bundle_types.h"

#include <algorithm>

namespace laurelhoist {

namespace {

template <class Items, class Predicate>
auto find_in(const Items& items, Predicate matches) -> const typename Items::value_type* {
    const auto found = std::find_if(items.begin(), items.end(), matches);
    return found == items.end() ? nullptr : &*found;
}

template <class Items>
auto find_by_name(const Items& items, const std::string& name) {
    return find_in(items, [&name](const auto& item) { return item.name == name; });
}

bool contains(const std::vector<std::string>& items, const std::string& item) {
    return std::find(items.begin(), items.end(), item) != items.end();
}

} // namespace

version_name full_name(const model_entry& model) {
    return model.name + "@" + model.version;
}

std::string content_hash(const bundle& document) {
    return sha256_hex(json(document).dump());
}

const team_entry* find_team(const bundle& document, const std::string& name) {
    return find_by_name(document.teams, name);
}

const model_entry* find_model(const bundle& document, const version_name& version) {
    return find_in(document.models, [&version](const model_entry& m) { return full_name(m) == version; });
}

const service_entry* find_service(const bundle& document, const std::string& name) {
    return find_by_name(document.services, name);
}

const service_call* find_call(const service_entry& service, const std::string& path) {
    return find_in(service.calls, [&path](const service_call& call) { return call.path == path; });
}

const pool_entry* find_pool(const bundle& document, const std::string& name) {
    return find_by_name(document.pools, name);
}

bool may_use_version(const team_entry& team, const version_name& version) {
    return contains(team.ladder, version) || contains(team.allow, version);
}

} // namespace laurelhoist
