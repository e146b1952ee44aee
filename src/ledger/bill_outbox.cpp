#include "ledger/bill_outbox.h"

#include <algorithm>

namespace laurelhoist {

void bill_outbox::add(const bill_record& record, time_point now) {
    entries_.emplace(key_of(record), entry{record, now, {}, {}});
}

void bill_outbox::on_copy_stored(const bill_key& key, const std::string& holder, const std::string& domain) {
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        found->second.domain_by_holder[holder] = domain;
    }
}

void bill_outbox::on_holder_lost(const std::string& holder) {
    for (auto& [key, pending] : entries_) {
        pending.domain_by_holder.erase(holder);
        pending.sent_at.erase(holder);
    }
}

void bill_outbox::on_drained(const bill_key& key) {
    entries_.erase(key);
}

std::size_t bill_outbox::copies(const bill_key& key) const {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return target_bill_copies;
    }
    std::set<std::string> domains;
    for (const auto& [holder, domain] : found->second.domain_by_holder) {
        domains.insert(domain);
    }
    return domains.size();
}

std::size_t bill_outbox::min_copies() const {
    std::size_t fewest = target_bill_copies;
    for (const auto& [key, pending] : entries_) {
        fewest = std::min(fewest, copies(key));
    }
    return fewest;
}

std::vector<bill_record> bill_outbox::take_records_to_send(const std::string& holder, time_point now,
                                                           duration resend_after, duration min_age) {
    std::vector<bill_record> unsent;
    for (auto& [key, pending] : entries_) {
        const bool needs_copy = copies(key) < target_bill_copies && now - pending.added >= min_age;
        if (!needs_copy || pending.domain_by_holder.count(holder) > 0) {
            continue;
        }
        const auto sent = pending.sent_at.find(holder);
        if (sent != pending.sent_at.end() && now - sent->second < resend_after) {
            continue;
        }
        pending.sent_at[holder] = now;
        unsent.push_back(pending.record);
    }
    return unsent;
}

} // namespace laurelhoist
