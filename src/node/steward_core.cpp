/** \file
 * Dispatch of events to the parts of the steward.
 */
#include "node/steward_core.h"

namespace laurelhoist {

steward_core::steward_core(steward_settings settings, chart bundle_chart, chart host_chart,
                           steward_port& port, metrics& registry, std::uint64_t seed,
                           disabled_guards disabled)
    : settings_{std::move(settings)},
      bundle_chart_{std::move(bundle_chart)},
      host_chart_{std::move(host_chart)},
      port_{port},
      metrics_{registry},
      random_{seed},
      disabled_{std::move(disabled)},
      host_state_{host_chart_.initial()},
      view_{std::make_shared<fleet_view>()},
      revisions_{settings_.incarnation},
      buffer_{settings_.incarnation} {
    history_.add(view_);
}

void steward_core::on_tick(time_point now) {
    now_ = now;
    read_head();
    watch_head();
    read_hosts();
    ask_peers();
    push_config();
    push_fleet();
    update_steward_list();
    advance_command();
    check_replication();
    drain_bills();
    write_finished_claims();
    write_counts();
    advance_rollout();
    reconcile_engines();
    advance_stop();
    metrics_.gauge("revision", static_cast<double>(view_->revision()));
    metrics_.gauge("bills_waiting", static_cast<double>(buffer_.waiting()));
}

void steward_core::on_entry_up(const hello_message& hello, time_point now) {
    now_ = now;
    entry_link& link = entry_links_[hello.incarnation];
    link = {};
    link.hello = hello;
}

void steward_core::on_entry_down(const std::string& incarnation, time_point now) {
    now_ = now;
    entry_links_.erase(incarnation);
}

void steward_core::on_entry_message(const std::string& incarnation, const node_message& message,
                                    time_point now) {
    now_ = now;
    const auto found = entry_links_.find(incarnation);
    if (found == entry_links_.end()) {
        return;
    }
    if (const auto* ask = std::get_if<entry_ask>(&message)) {
        on_entry_ask(incarnation, found->second, *ask);
    } else if (const auto* batch = std::get_if<bill_batch>(&message)) {
        hold_bills(incarnation, true, *batch);
    } else if (const auto* claim = std::get_if<claim_request>(&message)) {
        create_claim({incarnation, claim->operation, claim->claim, 0});
    } else if (const auto* finished = std::get_if<claim_finish>(&message)) {
        record_finished_claim(finished->claim);
    } else if (const auto* lookup = std::get_if<lookup_request>(&message)) {
        look_up_claim(incarnation, *lookup);
    } else if (const auto* leaving = std::get_if<endpoints_leaving>(&message)) {
        record_leaving_endpoints(leaving->names);
    }
}

void steward_core::on_peer_up(const hello_message& hello, time_point now) {
    now_ = now;
    peer_link& link = peers_[hello.incarnation];
    link = {};
    link.hello = hello;
    link.last_heard = now;
}

void steward_core::on_peer_down(const std::string& incarnation, time_point now) {
    now_ = now;
    peers_.erase(incarnation);
    hand_over_outbox_.on_holder_lost(incarnation);
}

void steward_core::on_peer_message(const std::string& incarnation, const node_message& message,
                                   time_point now) {
    now_ = now;
    const auto found = peers_.find(incarnation);
    if (found == peers_.end()) {
        return;
    }
    found->second.last_heard = now;
    if (const auto* ask = std::get_if<peer_ask>(&message)) {
        on_peer_ask(incarnation, *ask);
    } else if (const auto* answer = std::get_if<peer_answer>(&message)) {
        revisions_.on_peer_answer(answer->incarnation, from_micros(answer->asked_at), answer->revision);
        on_revision_of_peer(incarnation, answer->revision);
        check_replication();
    } else if (const auto* update = std::get_if<config_update>(&message)) {
        on_peer_config(incarnation, *update);
    } else if (const auto* leaving = std::get_if<endpoints_leaving>(&message)) {
        record_leaving_endpoints(leaving->names);
    } else if (const auto* notice = std::get_if<brake_notice>(&message)) {
        for (const auto& [entry, link] : entry_links_) {
            port_.send_to_entry(entry, *notice);
        }
    } else if (const auto* batch = std::get_if<bill_batch>(&message)) {
        hold_bills(incarnation, false, *batch);
    } else if (const auto* held = std::get_if<bill_held>(&message)) {
        for (const bill_key& key : held->keys) {
            hand_over_outbox_.on_copy_stored(key, incarnation, found->second.hello.domain);
        }
    }
}

} // namespace laurelhoist
