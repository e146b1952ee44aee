#include "membership/store_reading.h"

namespace laurelhoist {

namespace {

constexpr duration reading_after_start = milliseconds(1500); ///< unless the other hosts are known before
constexpr duration own_reading_after = milliseconds(3800);   ///< without confirmation, before keys expire
/// A host that the store answers while the readers are turned away looks at everything once; the calls that
/// it has under way at the end of this go on waiting for news. With 4 s, hosts that were stale for a moment
/// made 1,700 calls more in 48 s.
constexpr duration reading_for_others = milliseconds(500);
/// A usual configuration comes from a peer within 100 ms. One of 1,800 routes (0.5 MB) that fifty hosts ask
/// of six takes seconds over links of 10 Mbit/s; the store gives it at once. With 300 ms, 55 of 74 hosts
/// asked the store at each change: on hosts with an eighth of a core copies take that long now and then.
constexpr duration most_copy_delay = milliseconds(500);
constexpr std::size_t readers_of_large_fleet = 6; ///< so that those asked at random include a live one

} // namespace

const char* to_string(reading_mode mode) {
    switch (mode) {
    case reading_mode::copies:
        return "copies";
    case reading_mode::fetching:
        return "fetching";
    case reading_mode::confirming:
        return "confirming";
    case reading_mode::all:
        return "all";
    }
    return "unknown";
}

reading_mode choose_reading(const reading_view& view) {
    const bool is_reader = view.hosts <= hosts_of_small_fleet || view.hosts_before < readers_of_large_fleet;
    const bool knows_too_little = view.since_start < reading_after_start && !view.holds_copies;
    if (is_reader || knows_too_little) {
        return reading_mode::all;
    }
    if (view.mode == reading_mode::confirming && view.has_heard_itself) {
        return reading_mode::all;
    }
    if (view.mode == reading_mode::all && view.has_heard_itself && view.in_mode < reading_for_others) {
        return reading_mode::all;
    }
    if (view.config_age > own_reading_after) {
        return reading_mode::confirming;
    }
    const duration patience = view.is_config_large ? duration::zero() : most_copy_delay;
    return view.copy_overdue > patience ? reading_mode::fetching : reading_mode::copies;
}

} // namespace laurelhoist
