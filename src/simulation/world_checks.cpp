/** \file
 * The checks that need a view of all nodes, besides the invariants in the program.
 */
#include "simulation/nodes.h"
#include "simulation/world.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/** Allowance beyond the freshness limit, for a request that was sent just before the limit. */
constexpr duration in_force_slack = milliseconds(50);
constexpr duration leaving_grace = seconds(6);
constexpr duration quiesce_timeout = seconds(120);

} // namespace

void world::check_dispatch(std::size_t index, const endpoint_call& call) {
    const time_point now = clock.now();
    const entry_node& entry = *entries_[index];
    for (const accepted_change& change : accepted_) {
        if (now < change.at + freshness_limit + in_force_slack) {
            continue;
        }
        invariant("configuration_in_force", entry.core->revision() >= change.revision, [&] {
            return json{
                {"entry", entry.name()}, {"has", entry.core->revision()}, {"accepted", change.revision}};
        });
        const bool is_withdrawal = change.command.kind == command_kind::withdraw_version;
        const bool names_it = std::find(change.command.versions.begin(), change.command.versions.end(),
                                        call.version) != change.command.versions.end();
        invariant("withdrawn_gets_no_work", !is_withdrawal || !names_it, [&] {
            return json{
                {"entry", entry.name()}, {"version", call.version}, {"late_ms", to_ms(now - change.at)}};
        });
    }
    const auto leaving = leaving_since_.find(call.endpoint.name);
    invariant("leaving_gets_no_work",
              leaving == leaving_since_.end() || now - leaving->second < leaving_grace, [&] {
                  return json{{"entry", entry.name()}, {"endpoint", call.endpoint.name}};
              });
}

void world::record_run(const endpoint_call& call) {
    run_requests_.insert(call.request_id);
    invariant("not_run_is_true", refused_requests_.count(call.request_id) == 0, [&] {
        return json{{"request", call.request_id}, {"ran_after", "it was refused as not run"}};
    });
    const std::string marker = call.body.value("marker", "");
    const std::int64_t runs = ++runs_by_marker_[marker];
    const bool is_at_most_once = at_most_once_markers_.count(marker) > 0;
    report_.doubled_calls += is_at_most_once && runs == 2 ? 1 : 0;
    invariant("at_most_once", !is_at_most_once || runs <= 1, [&] {
        return json{{"marker", marker}, {"runs", runs}};
    });
}

void world::command(fleet_command command, const std::optional<bundle>& document, std::size_t steward) {
    steward_node* node = nullptr;
    for (std::size_t i = 0; i < stewards_.size() && node == nullptr; ++i) {
        steward_node& candidate = *stewards_[(steward + i) % stewards_.size()];
        node = candidate.is_up() && !candidate.is_paused() ? &candidate : nullptr;
    }
    if (node == nullptr) {
        return;
    }
    if (command.expected_revision == 0) {
        command.expected_revision = node->core->view().revision();
    }
    command.by = command.by.empty() ? "operator" : command.by;
    command.nonce = "nonce-" + std::to_string(++last_command_);
    const std::string name = "command-" + std::to_string(last_command_);
    open_commands_[name] = command;
    node->run_in_incarnation([node, name, command, document] {
        node->core->on_command(name, command, document, node->local_now());
    });
}

void world::on_command_reply(const command_reply& reply) {
    const auto found = open_commands_.find(reply.operation);
    if (found == open_commands_.end()) {
        return;
    }
    const fleet_command command = found->second;
    open_commands_.erase(found);
    if (reply.failure) {
        const bool is_in_platform = contains_change(head_in_platform(), command.nonce);
        invariant("refused_command_has_no_effect", reply.failure->ran != ran_state::no || !is_in_platform,
                  [&] {
                      return json{{"command", command.nonce}, {"error", reply.failure->message}};
                  });
        return;
    }
    if (reply.is_accepted) {
        ++report_.commands_accepted;
        accepted_.push_back({clock.now(), reply.revision, command, false});
    }
}

void world::update_changes_in_force() {
    for (accepted_change& change : accepted_) {
        if (change.is_in_force) {
            continue;
        }
        change.is_in_force = std::all_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
            return !entry->is_up() || entry->core->revision() >= change.revision;
        });
        if (change.is_in_force) {
            report_.in_force_ms.push_back(to_ms(clock.now() - change.at));
        }
    }
}

fleet_head world::head_in_platform() const {
    const platform_object* object = platform->find("head");
    return object == nullptr ? fleet_head{} : object->value.get<fleet_head>();
}

void world::quiesce() {
    set_load(0);
    cuts_.clear();
    platform->faults = {};
    rater_is_down = false;
    rater_delay = milliseconds(20);
    message_duplication_share = 0;
    message_delay_share = 0;
    for (const auto& endpoint : endpoints) {
        endpoint->is_dead = false;
        endpoint->is_silent = false;
        endpoint->cut_answer_share = 0;
        endpoint->duplicate_part_share = 0;
        endpoint->slow_factor = 1;
        endpoint->names_wrong_version = false;
        endpoint->mixes_answers = false;
    }
    for (const auto& node : entries_) {
        node->resume();
    }
    for (const auto& node : stewards_) {
        node->resume();
    }
    const time_point limit = clock.now() + quiesce_timeout;
    const auto is_quiet = [this] {
        const bool are_entries_quiet = std::all_of(entries_.begin(), entries_.end(), [](const auto& node) {
            return !node->is_up() || (node->core->open_requests() == 0 && node->core->undrained_bills() == 0);
        });
        const bool are_stewards_quiet = std::all_of(stewards_.begin(), stewards_.end(), [](const auto& node) {
            return !node->is_up() || node->core->waiting_bills() == 0;
        });
        return are_entries_quiet && are_stewards_quiet && operations_.empty();
    };
    do {
        run_for(seconds(2));
    } while (!is_quiet() && clock.now() < limit);
    run_for(seconds(5));
}

void world::check_bills() {
    ledger_book book;
    for (const platform_object& object : platform->list("ledger/")) {
        book.add(object.value.get<ledger_segment>());
    }
    report_.billed = book.records().size();
    report_.cost_micro = 0;
    for (const auto& [key, record] : book.records()) {
        report_.cost_micro += record.cost_micro;
    }
    for (const bill_key& key : answered_bills_) {
        const bool is_billed = book.records().count(key) > 0;
        report_.unbilled += is_billed ? 0 : 1;
        invariant("billed_exactly_once", is_billed, [&] {
            return json{{"team", key.team}, {"request", key.request_id}};
        });
    }
    for (const std::string& request : refused_requests_) {
        const bool is_billed =
            std::any_of(book.records().begin(), book.records().end(),
                        [&request](const auto& item) { return item.first.request_id == request; });
        invariant("billed_exactly_once", !is_billed, [&] { return json{{"billed_but_not_run", request}}; });
    }
}

const world_report& world::report() {
    return report_;
}

void world::check_final() {
    check_bills();
    report_.lost = operations_.size();
    invariant("own_whole_answer", operations_.empty(), [&] {
        json open = json::array();
        for (const auto& [id, op] : operations_) {
            open.push_back({{"operation", id}, {"entry", op.entry_incarnation}, {"tries", op.tries}});
        }
        return json{{"callers_without_any_answer", open}};
    });
    const std::int64_t latest = head_in_platform().revision;
    for (const auto& entry : entries_) {
        invariant("configuration_in_force", !entry->is_up() || entry->core->revision() == latest, [&] {
            return json{{"entry", entry->name()}, {"has", entry->core->revision()}, {"platform", latest}};
        });
    }
    for (const accepted_change& change : accepted_) {
        invariant("accepted_change_lasts", latest >= change.revision, [&] {
            return json{{"revision", change.revision}};
        });
    }
}

} // namespace laurelhoist
