/** \file
 * Reads of the platform by the steward: the head, the bundles that it names, and the list of hosts.
 */
#include "node/steward_core.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration head_read_interval = milliseconds(500);
constexpr duration watch_interval = milliseconds(500); ///< pause between two watches
constexpr duration hosts_read_interval = seconds(2);
constexpr const char* head_key = "head";
constexpr const char* hosts_key = "hosts";

} // namespace

void steward_core::call(platform_request request, reply_handler handler) {
    request.operation = random_.identifier("op-");
    calls_[request.operation] = {now_, std::move(handler)};
    metrics_.count("platform_calls");
    port_.call_platform(request);
}

void steward_core::on_platform_reply(const platform_reply& reply, time_point now) {
    now_ = now;
    const auto found = calls_.find(reply.operation);
    if (found == calls_.end()) {
        return;
    }
    const open_call open = found->second;
    calls_.erase(found);
    open.handler(reply);
}

void steward_core::read_head() {
    if (is_reading_head_ ||
        (last_head_read_ != time_point{} && now_ - last_head_read_ < head_read_interval)) {
        return;
    }
    is_reading_head_ = true;
    last_head_read_ = now_;
    const time_point asked_at = now_;
    call({"", platform_request::action::get, head_key, head_version_, {}},
         [this, asked_at](const platform_reply& reply) {
             is_reading_head_ = false;
             on_head(reply, asked_at);
         });
}

// The watch only signals a change; the head itself is always read.
void steward_core::watch_head() {
    if (is_watching_ || now_ - last_watch_ < watch_interval) {
        return;
    }
    is_watching_ = true;
    call({"", platform_request::action::watch, head_key, head_version_, {}},
         [this](const platform_reply& reply) {
             is_watching_ = false;
             last_watch_ = now_;
             if (reply.what == platform_reply::result::ok && reply.object.version > head_version_) {
                 last_head_read_ = {};
                 read_head();
             }
         });
}

void steward_core::on_head(const platform_reply& reply, time_point asked_at) {
    if (reply.what == platform_reply::result::not_found) {
        revisions_.on_platform_read(asked_at, 0);
        return;
    }
    if (reply.what == platform_reply::result::unchanged) {
        // The platform still has the revision held when the read was sent; the view can only be later.
        revisions_.on_platform_read(asked_at, view_->revision());
        return;
    }
    if (reply.what != platform_reply::result::ok) {
        metrics_.count("platform_reads_failed");
        return;
    }
    const auto head = reply.object.value.get<fleet_head>();
    revisions_.on_platform_read(asked_at, head.revision);
    if (head.revision == view_->revision()) {
        head_version_ = reply.object.version;
    } else if (head.revision > view_->revision()) {
        adopt_or_fetch(head, reply.object.version);
    }
}

void steward_core::adopt_or_fetch(const fleet_head& head, std::int64_t version) {
    const outcome<shared_view> next = make_view(head);
    if (const shared_view* whole = value_of(next)) {
        adopt(*whole, version);
        return;
    }
    fetch_missing_bundles(head);
}

// Requests the bundles that \p head names and that are not held; when one arrives, the head is read again.
void steward_core::fetch_missing_bundles(const fleet_head& head) {
    for (const std::string& id : fleet_view::needed_documents(head)) {
        const std::string hash = head.bundles.at(id).sha256;
        const auto held = fetched_bundles_.find(id);
        if (held != fetched_bundles_.end() && content_hash(held->second) == hash) {
            continue;
        }
        call({"", platform_request::action::get, "bundle/" + id + "/" + hash, 0, {}},
             [this, id, hash](const platform_reply& reply) {
                 if (reply.what != platform_reply::result::ok) {
                     return;
                 }
                 const auto document = reply.object.value.get<bundle>();
                 if (content_hash(document) == hash) {
                     fetched_bundles_[id] = document;
                     last_head_read_ = {};
                     read_head();
                 }
             });
    }
}

outcome<shared_view> steward_core::make_view(const fleet_head& head) const {
    std::map<std::string, bundle> documents;
    for (const std::string& id : fleet_view::needed_documents(head)) {
        const auto fetched = fetched_bundles_.find(id);
        const bundle* held = view_->document(id);
        const std::string& hash = head.bundles.at(id).sha256;
        if (fetched != fetched_bundles_.end() && content_hash(fetched->second) == hash) {
            documents.emplace(id, fetched->second);
        } else if (held != nullptr && content_hash(*held) == hash) {
            documents.emplace(id, *held);
        } else {
            return error{error_kind::platform_unavailable,
                         "bundle \"" + id + "\" could not be read; retry later"};
        }
    }
    return std::make_shared<const fleet_view>(head, std::move(documents));
}

void steward_core::adopt(const shared_view& next, std::int64_t platform_version) {
    if (next->revision() <= view_->revision()) {
        return;
    }
    const bool is_forward =
        invariant("configuration_never_reverts", is_successor(view_->head(), next->head()), [&] {
            return json{{"from", view_->revision()}, {"to", next->revision()}};
        });
    if (!is_forward) {
        return;
    }
    view_ = next;
    head_version_ = platform_version;
    history_.add(view_);
    fetched_bundles_.clear();
    log_info("configuration_adopted",
             {{"revision", view_->revision()},
              {"change", view_->head().changes.empty() ? "" : view_->head().changes[0].what}});
    push_config();
}

std::optional<time_point> steward_core::confirmed_as_of(time_point now) const {
    return revisions_.confirmed_as_of(now, view_->revision(), view_->head().stewards);
}

void steward_core::read_hosts() {
    if (is_reading_hosts_ ||
        (last_hosts_read_ != time_point{} && now_ - last_hosts_read_ < hosts_read_interval)) {
        return;
    }
    is_reading_hosts_ = true;
    last_hosts_read_ = now_;
    call({"", platform_request::action::get, hosts_key, hosts_version_, {}},
         [this](const platform_reply& reply) {
             is_reading_hosts_ = false;
             if (reply.what != platform_reply::result::ok) {
                 return;
             }
             hosts_version_ = reply.object.version;
             auto listed = reply.object.value.value("endpoints", std::vector<endpoint_record>{});
             if (listed != endpoints_) {
                 endpoints_ = std::move(listed);
                 ++endpoints_version_;
                 last_fleet_check_ = {};
             }
             hosts_ = reply.object.value.value("hosts", std::vector<std::string>{});
             push_fleet();
         });
}

} // namespace laurelhoist
