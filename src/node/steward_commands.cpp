/** \file
 * Changes of the fleet head by the steward: one command at a time, each a conditional update. If the answer
 * to an update is lost, the head is read back to learn whether it took effect.
 *
 * Every round of a command begins with a read of the head. If the head's list of changes has the command's
 * nonce, an earlier write took effect and the command is done; if not, the write is sent (again) against the
 * version just read. A write that is still in flight names an older version and cannot take effect once
 * another one has, so no change is made twice.
 */
#include "node/steward_core.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration command_time_limit = seconds(8);
constexpr duration replication_time_limit = seconds(4);
constexpr duration retry_interval = milliseconds(250);
constexpr const char* head_key = "head";

} // namespace

void steward_core::on_command(const std::string& operation, const fleet_command& command,
                              const std::optional<bundle>& document, time_point now) {
    now_ = now;
    pending_command pending;
    pending.operation = operation;
    pending.command = command;
    pending.document = document;
    pending.phase = document ? command_phase::store_document : command_phase::write;
    pending.deadline = now + command_time_limit;
    commands_.push_back(std::move(pending));
    advance_command();
}

void steward_core::start_own_command(fleet_command command) {
    command.by = "steward " + settings_.name;
    command.nonce = random_.identifier("n-");
    command.at_ms = port_.wall_clock_ms();
    command.expected_revision = view_->revision();
    on_command("", command, std::nullopt, now_);
}

bool steward_core::has_own_command(command_kind kind) const {
    return std::any_of(commands_.begin(), commands_.end(), [kind](const pending_command& pending) {
        return pending.operation.empty() && pending.command.kind == kind;
    });
}

void steward_core::advance_command() {
    if (commands_.empty()) {
        return;
    }
    pending_command& pending = commands_.front();
    if (pending.is_awaiting_platform || now_ < pending.retry_at ||
        pending.phase == command_phase::replicate) {
        return;
    }
    if (now_ >= pending.deadline) {
        const error unknown{
            error_kind::outcome_unknown,
            "the platform gave no answer to the write; it may have taken effect: see laurelctl status",
            ran_state::unknown, 1000};
        const error unavailable{error_kind::platform_unavailable,
                                "the platform does not answer; nothing was changed; retry later",
                                ran_state::no, 1000};
        finish_command(pending.may_have_taken_effect ? unknown : unavailable);
        return;
    }
    pending.is_awaiting_platform = true;
    if (pending.phase == command_phase::store_document) {
        store_document();
    } else {
        read_back();
    }
}

void steward_core::store_document() {
    const pending_command& pending = commands_.front();
    const std::string key = "bundle/" + pending.document->id + "/" + pending.command.sha256;
    call({"", platform_request::action::create, key, 0, json(*pending.document)},
         [this](const platform_reply& reply) {
             pending_command& front = commands_.front();
             front.is_awaiting_platform = false;
             // A conflict means that an earlier try stored the same content, since the key has its hash.
             const bool is_stored =
                 reply.what == platform_reply::result::ok || reply.what == platform_reply::result::conflict;
             if (is_stored) {
                 front.phase = command_phase::write;
             } else {
                 front.retry_at = now_ + retry_interval;
             }
             advance_command();
         });
}

void steward_core::read_back() {
    const time_point asked_at = now_;
    call({"", platform_request::action::get, head_key, 0, {}}, [this, asked_at](const platform_reply& reply) {
        on_head(reply, asked_at);
        on_read_back(reply);
    });
}

void steward_core::on_read_back(const platform_reply& reply) {
    pending_command& pending = commands_.front();
    pending.is_awaiting_platform = false;
    const bool is_read =
        reply.what == platform_reply::result::ok || reply.what == platform_reply::result::not_found;
    if (!is_read) {
        pending.retry_at = now_ + retry_interval;
        return;
    }
    const bool exists = reply.what == platform_reply::result::ok;
    const fleet_head head = exists ? reply.object.value.get<fleet_head>() : fleet_head{};
    if (contains_change(head, pending.command.nonce)) {
        const outcome<shared_view> next = make_view(head);
        if (value_of(next) == nullptr) {
            fetch_missing_bundles(head);
            pending.retry_at = now_ + retry_interval;
            return;
        }
        pending.next = *value_of(next);
        pending.phase = command_phase::replicate;
        pending.deadline = now_ + replication_time_limit;
        adopt(pending.next, reply.object.version);
        check_replication();
        return;
    }
    const outcome<fleet_head> changed = apply_command(head, pending.command, bundle_chart_);
    if (const error* refusal = error_of(changed)) {
        finish_command(*refusal);
        return;
    }
    const outcome<shared_view> next = make_view(*value_of(changed));
    if (value_of(next) == nullptr) {
        fetch_missing_bundles(*value_of(changed));
        pending.retry_at = now_ + retry_interval;
        return;
    }
    pending.next = *value_of(next);
    pending.base_version = exists ? reply.object.version : 0;
    write_head();
}

void steward_core::write_head() {
    pending_command& pending = commands_.front();
    pending.is_awaiting_platform = true;
    const auto action =
        pending.base_version == 0 ? platform_request::action::create : platform_request::action::replace;
    call({"", action, head_key, pending.base_version, json(pending.next->head())},
         [this](const platform_reply& reply) { on_write_reply(reply); });
}

void steward_core::on_write_reply(const platform_reply& reply) {
    pending_command& pending = commands_.front();
    pending.is_awaiting_platform = false;
    if (reply.what == platform_reply::result::ok) {
        pending.phase = command_phase::replicate;
        pending.deadline = now_ + replication_time_limit;
        adopt(pending.next, reply.object.version);
        check_replication();
        return;
    }
    if (reply.what == platform_reply::result::unknown && disabled_.count("settle_lost_write") == 0) {
        pending.may_have_taken_effect = true;
    }
    pending.retry_at = reply.what == platform_reply::result::conflict ? now_ : now_ + retry_interval;
    if (reply.what == platform_reply::result::unknown && disabled_.count("settle_lost_write") > 0) {
        finish_command(error{error_kind::platform_unavailable, "nothing was changed", ran_state::no, 0});
    }
}

// A change is accepted once no steward can confirm an older revision any more, even while the platform is
// unavailable: any majority that a steward could ask shares a steward with the majority that holds the
// change.
void steward_core::check_replication() {
    if (commands_.empty() || commands_.front().phase != command_phase::replicate) {
        return;
    }
    const pending_command& pending = commands_.front();
    const std::vector<steward_record>& list = view_->head().stewards;
    const std::size_t holders = revisions_.holders(pending.next->revision(), view_->revision(), list);
    const bool is_held =
        holders >= majority_of(list.size()) || list.empty() || disabled_.count("majority") > 0;
    if (is_held || now_ >= pending.deadline || pending.operation.empty()) {
        finish_command(std::nullopt);
    }
}

void steward_core::finish_command(const std::optional<error>& failure) {
    const pending_command done = commands_.front();
    commands_.pop_front();
    const std::string what = json(done.command.kind).get<std::string>();
    if (failure) {
        log_warning("command_refused",
                    {{"command", what}, {"by", done.command.by}, {"reason", failure->message}});
    } else {
        log_info("command_done",
                 {{"command", what}, {"by", done.command.by}, {"revision", done.next->revision()}});
    }
    if (!done.operation.empty()) {
        command_reply reply;
        reply.operation = done.operation;
        reply.failure = failure;
        reply.revision = failure ? view_->revision() : done.next->revision();
        reply.stewards = view_->head().stewards.size();
        reply.holders = revisions_.holders(reply.revision, view_->revision(), view_->head().stewards);
        reply.is_accepted =
            !failure && (reply.holders >= majority_of(reply.stewards) || disabled_.count("majority") > 0);
        port_.answer_operator(reply);
    }
    advance_command();
}

} // namespace laurelhoist
