#include "ledger/ledger_book.h"

namespace laurelhoist {

namespace {

// Two records with the same key differ only if two entries ran the request of that key, which is allowed for
// idempotent requests. Every reader must then choose the same record, regardless of the reading order.
bool is_preferred(const bill_record& candidate, const bill_record& kept) {
    return std::tie(candidate.cost_micro, candidate.at_ms, candidate.entry) <
           std::tie(kept.cost_micro, kept.at_ms, kept.entry);
}

} // namespace

void ledger_book::add(const ledger_segment& segment) {
    for (const bill_record& record : segment.records) {
        const auto [position, inserted] = records_.emplace(key_of(record), record);
        if (inserted) {
            continue;
        }
        ++duplicates_;
        if (is_preferred(record, position->second)) {
            position->second = record;
        }
    }
}

std::map<std::string, team_total> ledger_book::totals() const {
    std::map<std::string, team_total> totals;
    for (const auto& [key, record] : records_) {
        team_total& total = totals[key.team];
        ++total.requests;
        total.tokens += record.tokens;
        total.cost_micro += record.cost_micro;
    }
    return totals;
}

} // namespace laurelhoist
