/** \file
 * Defines the steward's side of billing: records wait in memory and are written to the platform as
 * sealed segments, many records a write.
 */
#pragma once

#include "ledger/bill_types.h"

#include <map>
#include <optional>
#include <set>

namespace laurelhoist {

constexpr std::size_t max_segment_records = 2000;   ///< some 400 KB of JSON, below the platform's 1 MB
constexpr std::size_t max_waiting_records = 200000; ///< bounds a steward's memory in a long outage

/** A segment on its way to the platform: an immutable object under its own name. */
struct ledger_segment {
    std::string name;
    std::vector<bill_record> records;
};
LAUREL_VALUE_TYPE(ledger_segment, name, records)

/** The undrained records of one steward. */
class segment_buffer {
public:
    /** \param incarnation makes segment names that no other steward or start can use */
    explicit segment_buffer(std::string incarnation) : incarnation_{std::move(incarnation)} {}

    /** Holds \p record. \return false, holding nothing, if the buffer is full. */
    bool add(const bill_record& record);
    /** \return the segment that is being written, sealing a new one if none is and records wait. The same
     * segment is returned until \ref on_written, so that a write whose answer was lost is repeated with
     * the same name and content. */
    std::optional<ledger_segment> current();
    /** Notes that the platform holds the segment \p name. \return the records now drained. */
    std::vector<bill_record> on_written(const std::string& name);

    std::size_t waiting() const { return waiting_.size() + (sealed_ ? sealed_->records.size() : 0); }
    bool is_empty() const { return waiting() == 0; }

private:
    std::string incarnation_;
    std::int64_t next_number_ = 1;
    std::map<bill_key, bill_record> waiting_;
    std::optional<ledger_segment> sealed_;
    std::set<bill_key> recently_drained_;
};

} // namespace laurelhoist
