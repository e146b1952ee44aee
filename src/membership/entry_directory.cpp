#include "membership/entry_directory.h"

#include <algorithm>
#include <map>

namespace laurelhoist {

namespace {

struct ranked_entry {
    std::size_t domain_rank = 0; ///< rank within its failure domain
    std::uint64_t score = 0;
    const entry_record* entry = nullptr;
};

} // namespace

std::vector<entry_choice> choose_entries(const std::string& session, const std::vector<entry_record>& entries,
                                         std::size_t limit) {
    std::vector<ranked_entry> ranked;
    for (const entry_record& entry : entries) {
        if (entry.state == "serving") {
            ranked.push_back({0, placement_hash(session + "/" + entry.name), &entry});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& l, const auto& r) { return l.score < r.score; });
    std::map<std::string, std::size_t> taken;
    for (ranked_entry& candidate : ranked) {
        candidate.domain_rank = taken[candidate.entry->domain]++;
    }
    std::sort(ranked.begin(), ranked.end(), [](const ranked_entry& l, const ranked_entry& r) {
        return std::tie(l.domain_rank, l.score) < std::tie(r.domain_rank, r.score);
    });
    std::vector<entry_choice> choices;
    for (const ranked_entry& candidate : ranked) {
        if (choices.size() < limit) {
            choices.push_back({candidate.entry->address, candidate.entry->domain});
        }
    }
    return choices;
}

} // namespace laurelhoist
