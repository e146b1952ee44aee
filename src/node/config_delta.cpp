#include "node/config_delta.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr std::size_t max_kept_views = 16;

error refused(const std::string& why) {
    return {error_kind::conflict, why + "; the update is ignored until the sender repeats it"};
}

} // namespace

void config_history::add(const shared_view& view) {
    views_.push_front(view);
    if (views_.size() > max_kept_views) {
        views_.pop_back();
    }
}

config_update config_history::update_from(std::int64_t held_revision) const {
    const fleet_view& latest = *views_.front();
    const auto base = std::find_if(views_.begin(), views_.end(), [held_revision](const shared_view& view) {
        return view->revision() == held_revision;
    });
    config_update update;
    update.revision = latest.revision();
    const bool is_known = held_revision > 0 && base != views_.end();
    update.base_revision = is_known ? held_revision : 0;
    update.head = is_known ? json::diff(json((*base)->head()), json(latest.head())) : json(latest.head());
    for (const std::string& id : fleet_view::needed_documents(latest.head())) {
        if (!is_known || (*base)->document(id) == nullptr) {
            update.documents.push_back(*latest.document(id));
        }
    }
    return update;
}

outcome<shared_view> apply_update(const fleet_view& base, const config_update& update) {
    if (update.base_revision != 0 && update.base_revision != base.revision()) {
        return refused("delta against revision " + std::to_string(update.base_revision) +
                       ", but the revision held is " + std::to_string(base.revision()));
    }
    fleet_head head;
    try {
        const json after = update.base_revision == 0 ? update.head : json(base.head()).patch(update.head);
        head = after.get<fleet_head>();
    } catch (const json::exception& failure) {
        return refused(failure.what());
    }
    std::map<std::string, bundle> documents;
    for (const std::string& id : fleet_view::needed_documents(head)) {
        const auto sent = std::find_if(update.documents.begin(), update.documents.end(),
                                       [&id](const bundle& document) { return document.id == id; });
        const bundle* held = base.document(id);
        if (sent == update.documents.end() && held == nullptr) {
            return refused("bundle \"" + id + "\" is missing");
        }
        const bundle& document = sent == update.documents.end() ? *held : *sent;
        if (content_hash(document) != head.bundles[id].sha256) {
            return refused("bundle \"" + id + "\" does not have the hash that was signed off");
        }
        documents.emplace(id, document);
    }
    return std::make_shared<const fleet_view>(std::move(head), std::move(documents));
}

} // namespace laurelhoist
