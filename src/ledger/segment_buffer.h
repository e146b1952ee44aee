/** \file
 * Defines the buffer in which a steward collects billing records before it writes them to the platform in
 * batches, called segments.
 */
#pragma once

#include "ledger/bill_types.h"

#include <map>
#include <optional>
#include <set>

namespace laurelhoist {

constexpr std::size_t max_segment_records =
    2000; ///< about 400 KB of JSON, below the platform's limit of 1 MB
constexpr std::size_t max_waiting_records =
    200000; ///< bounds the memory of a steward during a long platform outage

/** A batch of records that is written to the platform as one immutable object. */
struct ledger_segment {
    std::string name;
    std::vector<bill_record> records;
};
LAUREL_VALUE_TYPE(ledger_segment, name, records)

/** The records of one steward that the platform has not stored yet. */
class segment_buffer {
public:
    /** \param incarnation part of the segment names, which makes them unique across stewards and restarts */
    explicit segment_buffer(std::string incarnation) : incarnation_{std::move(incarnation)} {}

    /** Buffers \p record, unless it is buffered or was drained recently.
     * \return false if the buffer is full and does not accept it */
    bool add(const bill_record& record);
    /** \return the segment that is being written; if there is none, a new one of the waiting records, or
     * nothing if none wait. The same segment is returned until \ref on_written, so that a write whose
     * response was lost is retried with the same name and content. */
    std::optional<ledger_segment> current();
    /** Records that the platform has stored the segment \p name. \return the records in it. */
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
