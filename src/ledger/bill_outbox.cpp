#include "ledger/bill_outbox.h"

#include <algorithm>

namespace laurelhoist {

void bill_outbox::add(const bill_record& record, time_point now) {
    entries_.emplace(key_of(record), entry{record, now, {}, {}});
}

void bill_outbox::on_held(const bill_key& key, const std::string& holder, const std::string& domain) {
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        found->second.domain_by_holder[holder] = domain;
    }
}

void bill_outbox::on_holder_lost(const std::string& holder) {
    for (auto& [key, held] : entries_) {
        held.domain_by_holder.erase(holder);
        held.sent_at.erase(holder);
    }
}

void bill_outbox::on_drained(const bill_key& key) {
    entries_.erase(key);
}

std::size_t bill_outbox::copies(const bill_key& key) const {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return wanted_bill_copies;
    }
    std::set<std::string> domains;
    for (const auto& [holder, domain] : found->second.domain_by_holder) {
        domains.insert(domain);
    }
    return domains.size();
}

std::size_t bill_outbox::least_copies() const {
    std::size_t least = wanted_bill_copies;
    for (const auto& [key, held] : entries_) {
        least = std::min(least, copies(key));
    }
    return least;
}

std::vector<bill_record> bill_outbox::take_unsent(const std::string& holder, time_point now,
                                                  duration resend_after, duration least_age) {
    std::vector<bill_record> unsent;
    for (auto& [key, held] : entries_) {
        const bool is_wanted = copies(key) < wanted_bill_copies && now - held.added >= least_age;
        if (!is_wanted || held.domain_by_holder.count(holder) > 0) {
            continue;
        }
        const auto sent = held.sent_at.find(holder);
        if (sent != held.sent_at.end() && now - sent->second < resend_after) {
            continue;
        }
        held.sent_at[holder] = now;
        unsent.push_back(held.record);
    }
    return unsent;
}

} // namespace laurelhoist
