#include "bundle/bundle_check.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <memory>
#include <set>

namespace laurelhoist {

namespace {

using faults = std::vector<bundle_fault>;

std::unique_ptr<valijson::Schema> load_schema() {
    const json document = json::parse(bundle_schema_text());
    auto schema = std::make_unique<valijson::Schema>();
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(document), *schema);
    return schema;
}

std::string join_path(const std::vector<std::string>& context) {
    std::string path;
    for (const std::string& part : context) {
        path += part;
    }
    return path;
}

faults check_structure(const json& document) {
    static const std::unique_ptr<valijson::Schema> schema = load_schema();
    valijson::Validator validator;
    valijson::ValidationResults results;
    faults found;
    if (validator.validate(*schema, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
        return found;
    }
    valijson::ValidationResults::Error failure;
    while (results.popError(failure)) {
        found.push_back({join_path(failure.context), failure.description,
                         "see schema/bundle.schema.json for the permitted content"});
    }
    return found;
}

template <class Items, class Name>
void check_unique(const Items& items, const std::string& path, Name name_of, faults& found) {
    std::set<std::string> seen;
    for (const auto& item : items) {
        if (!seen.insert(name_of(item)).second) {
            found.push_back(
                {path, "\"" + name_of(item) + "\" occurs more than once", "remove the duplicates"});
        }
    }
}

void check_pool_name(const bundle& document, const std::string& pool, const std::string& kind,
                     const std::string& path, faults& found) {
    const pool_entry* entry = find_pool(document, pool);
    if (entry == nullptr) {
        found.push_back(
            {path, "there is no pool \"" + pool + "\"", "add it under /pools or correct the name"});
    } else if (entry->kind != kind) {
        found.push_back(
            {path, "pool \"" + pool + "\" is of kind " + entry->kind, "use a pool of kind " + kind});
    }
}

void check_versions(const bundle& document, const std::vector<version_name>& versions,
                    const std::string& path, faults& found) {
    for (std::size_t i = 0; i < versions.size(); ++i) {
        if (find_model(document, versions[i]) == nullptr) {
            found.push_back({path + "/" + std::to_string(i), "there is no model \"" + versions[i] + "\"",
                             "add it under /models or use an existing model@version"});
        }
    }
}

void check_ladder_order(const bundle& document, const team_entry& team, const std::string& path,
                        faults& found) {
    double last_cost = 0;
    for (const version_name& version : team.ladder) {
        const model_entry* model = find_model(document, version);
        if (model == nullptr) {
            continue;
        }
        if (model->cost_per_1k_tokens < last_cost) {
            found.push_back({path, "\"" + version + "\" costs less than the version before it",
                             "order the ladder by increasing cost"});
        }
        last_cost = model->cost_per_1k_tokens;
    }
}

void check_team(const bundle& document, std::size_t index, faults& found) {
    const team_entry& team = document.teams[index];
    const std::string path = "/teams/" + std::to_string(index);
    check_versions(document, team.ladder, path + "/ladder", found);
    check_versions(document, team.allow, path + "/allow", found);
    check_ladder_order(document, team, path + "/ladder", found);
    if (team.ladder.empty() && team.services.empty()) {
        found.push_back({path, "the team has neither a ladder nor services", "add a ladder or services"});
    }
    for (const std::string& service : team.services) {
        if (find_service(document, service) == nullptr) {
            found.push_back({path + "/services", "there is no service \"" + service + "\"",
                             "add it under /services or correct the name"});
        }
    }
}

void check_rollout(const rollout_plan& plan, faults& found) {
    double last_share = 0;
    for (const rollout_step& step : plan.steps) {
        if (step.share <= last_share) {
            found.push_back(
                {"/rollout/steps", "the shares do not increase", "order the steps by increasing share"});
        }
        last_share = step.share;
    }
    if (last_share != 1.0) {
        found.push_back({"/rollout/steps", "the last share is not 1", "end with a step of share 1"});
    }
    if (plan.tolerated_drop >= plan.braked_drop) {
        found.push_back(
            {"/rollout", "tolerated_drop is not below braked_drop",
             "set tolerated_drop below braked_drop: the brake needs the gap to tell good versions "
             "from bad ones"});
    }
}

void check_objectives(const bundle& document, faults& found) {
    for (std::size_t i = 0; i < document.objectives.size(); ++i) {
        if (find_team(document, document.objectives[i].team) == nullptr) {
            found.push_back({"/objectives/" + std::to_string(i) + "/team",
                             "there is no team \"" + document.objectives[i].team + "\"",
                             "add it under /teams or correct the name"});
        }
    }
}

faults check_semantics(const bundle& document) {
    faults found;
    const auto name_of = [](const auto& item) { return item.name; };
    check_unique(document.pools, "/pools", name_of, found);
    check_unique(
        document.models, "/models", [](const model_entry& m) { return full_name(m); }, found);
    check_unique(document.services, "/services", name_of, found);
    check_unique(document.teams, "/teams", name_of, found);
    check_unique(
        document.teams, "/teams", [](const team_entry& t) { return t.key_sha256; }, found);
    for (std::size_t i = 0; i < document.models.size(); ++i) {
        check_pool_name(document, document.models[i].pool, "engine", "/models/" + std::to_string(i) + "/pool",
                        found);
    }
    for (std::size_t i = 0; i < document.services.size(); ++i) {
        check_pool_name(document, document.services[i].pool, "service",
                        "/services/" + std::to_string(i) + "/pool", found);
    }
    for (std::size_t i = 0; i < document.teams.size(); ++i) {
        check_team(document, i, found);
    }
    check_rollout(document.rollout, found);
    check_objectives(document, found);
    return found;
}

} // namespace

std::vector<bundle_fault> check_bundle(const json& document) {
    faults found = check_structure(document);
    if (!found.empty()) {
        return found;
    }
    return check_semantics(document.get<bundle>());
}

outcome<bundle> parse_bundle(const json& document) {
    const faults found = check_bundle(document);
    if (found.empty()) {
        return document.get<bundle>();
    }
    std::string message = "the bundle has " + std::to_string(found.size()) + " error(s):";
    for (const bundle_fault& fault : found) {
        message += "\n  " + fault.path + ": " + fault.message + "; " + fault.remedy;
    }
    return error{error_kind::invalid_bundle, message};
}

} // namespace laurelhoist
