#include "bundle/fleet_head.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/** Applies one command to a copy of the head; each kind of command has one member function. */
class head_editor {
public:
    head_editor(fleet_head head, const fleet_command& command, const chart& lifecycle)
        : head_{std::move(head)}, command_{command}, lifecycle_{lifecycle} {}

    outcome<fleet_head> run();

private:
    using command_function = void (head_editor::*)();
    struct command_entry {
        command_kind kind;
        command_function apply;
    };

    void submit();
    void sign_off();
    void roll();
    void step();
    void pause() { apply_event("pause"); }
    void resume();
    void finish();
    void withdraw_bundle();
    void withdraw_version() { block_versions(head_.withdrawn); }
    void brake();
    void add_steward();
    void remove_steward();

    void apply_event(const std::string& event);
    void block_versions(std::map<version_name, version_stop>& stopped);
    void record_change();
    void fail(const std::string& message);
    bundle_status& status() { return head_.bundles[command_.bundle_id]; }

    fleet_head head_;
    const fleet_command& command_;
    const chart& lifecycle_;
    std::optional<error> failure_;
};

void head_editor::fail(const std::string& message) {
    if (!failure_) {
        failure_ = error{error_kind::conflict, message};
    }
}

void head_editor::apply_event(const std::string& event) {
    const auto found = head_.bundles.find(command_.bundle_id);
    if (found == head_.bundles.end()) {
        failure_ = error{error_kind::not_found, "there is no bundle \"" + command_.bundle_id +
                                                    "\"; submit it first, or see laurelctl status"};
        return;
    }
    const outcome<std::string> next = lifecycle_.next(found->second.state, event);
    if (const error* refusal = error_of(next)) {
        fail("bundle \"" + command_.bundle_id + "\": " + refusal->message);
        return;
    }
    found->second.state = *value_of(next);
}

void head_editor::submit() {
    const auto found = head_.bundles.find(command_.bundle_id);
    if (found != head_.bundles.end() && found->second.sha256 != command_.sha256) {
        fail("a bundle \"" + command_.bundle_id + "\" with different content already exists; use a new id");
        return;
    }
    if (found == head_.bundles.end()) {
        head_.bundles[command_.bundle_id] = {command_.sha256, lifecycle_.initial(), "", -1, 0.0, 0};
    }
}

void head_editor::sign_off() {
    const auto found = head_.bundles.find(command_.bundle_id);
    if (found != head_.bundles.end() && found->second.sha256 != command_.sha256) {
        fail("the submitted content has the hash " + found->second.sha256 + ", not " + command_.sha256 +
             "; review it again before signing off");
        return;
    }
    apply_event("sign_off");
    if (!failure_) {
        status().signed_by = command_.by;
    }
}

void head_editor::roll() {
    if (!head_.rolling.empty() && head_.rolling != command_.bundle_id) {
        fail("bundle \"" + head_.rolling + "\" is being rolled out; finish or withdraw it first");
        return;
    }
    apply_event("roll");
    if (failure_) {
        return;
    }
    status().step = -1;
    status().share = 0.0;
    ++status().epoch;
    head_.rolling = command_.bundle_id;
    if (head_.established.empty()) {
        finish();
    }
}

void head_editor::step() {
    if (command_.share <= status().share || command_.step <= status().step) {
        fail("the roll-out has already reached this step");
        return;
    }
    apply_event("step");
    status().step = command_.step;
    status().share = command_.share;
}

void head_editor::resume() {
    apply_event("resume");
    if (failure_) {
        return;
    }
    ++status().epoch;
    for (const version_name& version : command_.versions) {
        head_.braked.erase(version);
    }
}

void head_editor::finish() {
    apply_event("finish");
    if (failure_) {
        return;
    }
    const auto previous = head_.bundles.find(head_.established);
    if (previous != head_.bundles.end()) {
        previous->second.state = "superseded";
    }
    status().share = 1.0;
    head_.established = command_.bundle_id;
    head_.rolling.clear();
}

void head_editor::withdraw_bundle() {
    apply_event("withdraw");
    if (failure_) {
        return;
    }
    status().share = 0.0;
    if (head_.rolling == command_.bundle_id) {
        head_.rolling.clear();
    }
}

void head_editor::block_versions(std::map<version_name, version_stop>& stopped) {
    if (command_.versions.empty()) {
        fail("no version is given; write it as model@version");
    }
    for (const version_name& version : command_.versions) {
        stopped.emplace(version, version_stop{command_.by, command_.at_ms, command_.reason});
    }
}

void head_editor::brake() {
    block_versions(head_.braked);
    const auto found = head_.bundles.find(head_.rolling);
    if (found == head_.bundles.end()) {
        return;
    }
    const outcome<std::string> next = lifecycle_.next(found->second.state, "brake");
    if (const std::string* state = value_of(next)) {
        found->second.state = *state;
    }
}

void head_editor::add_steward() {
    // Each revision adds, replaces or removes at most one steward, so that any majority of the old list has a
    // member in common with any majority of the new list.
    std::vector<steward_record>& list = head_.stewards;
    const auto same = std::find_if(list.begin(), list.end(), [this](const steward_record& s) {
        return s.name == command_.steward.name;
    });
    if (same != list.end()) {
        *same = command_.steward;
        return;
    }
    list.push_back(command_.steward);
}

void head_editor::remove_steward() {
    std::vector<steward_record>& list = head_.stewards;
    const auto kept = std::remove_if(list.begin(), list.end(), [this](const steward_record& s) {
        return s.incarnation == command_.steward.incarnation;
    });
    if (kept == list.end()) {
        fail("steward " + command_.steward.name + " is not in the list of stewards");
    }
    list.erase(kept, list.end());
}

void head_editor::record_change() {
    ++head_.revision;
    const std::string what = json(command_.kind).get<std::string>() + " " + command_.bundle_id +
                             (command_.versions.empty() ? "" : " " + json(command_.versions).dump()) +
                             (command_.steward.name.empty() ? "" : " " + command_.steward.name);
    head_.changes.insert(head_.changes.begin(),
                         {head_.revision, command_.by, command_.at_ms, what, command_.nonce});
    if (head_.changes.size() > max_kept_changes) {
        head_.changes.resize(max_kept_changes);
    }
}

outcome<fleet_head> head_editor::run() {
    static const std::vector<command_entry> table{
        {command_kind::submit, &head_editor::submit},
        {command_kind::sign_off, &head_editor::sign_off},
        {command_kind::roll, &head_editor::roll},
        {command_kind::step, &head_editor::step},
        {command_kind::pause, &head_editor::pause},
        {command_kind::resume, &head_editor::resume},
        {command_kind::finish, &head_editor::finish},
        {command_kind::withdraw_bundle, &head_editor::withdraw_bundle},
        {command_kind::withdraw_version, &head_editor::withdraw_version},
        {command_kind::brake, &head_editor::brake},
        {command_kind::add_steward, &head_editor::add_steward},
        {command_kind::remove_steward, &head_editor::remove_steward},
    };
    for (const command_entry& entry : table) {
        if (entry.kind == command_.kind) {
            (this->*entry.apply)();
        }
    }
    if (failure_) {
        return *failure_;
    }
    record_change();
    return head_;
}

error make_conflict_error(const fleet_head& head, const fleet_command& command) {
    std::string other = "another change";
    if (!head.changes.empty()) {
        const change_record& last = head.changes.front();
        other = "\"" + last.what + "\" by " + last.by + " at " + std::to_string(last.at_ms) +
                " ms (revision " + std::to_string(last.revision) + ")";
    }
    return {error_kind::conflict, "the command is based on revision " +
                                      std::to_string(command.expected_revision) + ", but " + other +
                                      " was applied first; check laurelctl status and try again"};
}

} // namespace

outcome<fleet_head> apply_command(const fleet_head& head, const fleet_command& command,
                                  const chart& lifecycle) {
    if (command.expected_revision != head.revision) {
        return make_conflict_error(head, command);
    }
    return head_editor{head, command, lifecycle}.run();
}

bool contains_change(const fleet_head& head, const std::string& nonce) {
    return std::any_of(head.changes.begin(), head.changes.end(),
                       [&nonce](const change_record& change) { return change.nonce == nonce; });
}

bool is_successor(const fleet_head& from, const fleet_head& to) {
    if (to.revision <= from.revision) {
        return false;
    }
    return std::all_of(from.withdrawn.begin(), from.withdrawn.end(),
                       [&to](const auto& entry) { return to.withdrawn.count(entry.first) > 0; });
}

} // namespace laurelhoist
