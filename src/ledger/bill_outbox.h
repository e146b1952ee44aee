/** \file
 * Defines the outbox of billing records: a record is kept until the platform has stored it (drained), and
 * sent again to stewards until enough failure domains have acknowledged a copy. An entry releases an answer
 * only then; a steward uses an outbox to hand its records to other stewards before it stops.
 */
#pragma once

#include "ledger/bill_types.h"

#include <map>
#include <set>

namespace laurelhoist {

/// Failure domains that should hold a copy, so that a record survives the loss of any one of them.
constexpr std::size_t target_bill_copies = 2;

/** The records of one host that are not yet known to be stored in the platform. */
class bill_outbox {
public:
    /** Adds a record, unless one with the same key is present. */
    void add(const bill_record& record, time_point now);
    /** Records that the steward \p holder in \p domain has acknowledged a copy of the record \p key. */
    void on_copy_stored(const bill_key& key, const std::string& holder, const std::string& domain);
    /** Discards the copies of the lost steward \p holder, so that their records are sent again. */
    void on_holder_lost(const std::string& holder);
    /** Removes the record \p key, which the platform has stored. */
    void on_drained(const bill_key& key);

    /** \return how many failure domains hold a copy of \p key; \ref target_bill_copies if it is not (or no
     * longer) in the outbox. */
    std::size_t copies(const bill_key& key) const;
    bool contains(const bill_key& key) const { return entries_.count(key) > 0; }
    /** Selects the records that have fewer than \ref target_bill_copies copies, have been here for at least
     * \p min_age, are not acknowledged by \p holder, and were never sent to it or at least \p resend_after
     * ago. Marks them as sent at \p now. \return the records to send to \p holder. */
    std::vector<bill_record> take_records_to_send(const std::string& holder, time_point now,
                                                  duration resend_after, duration min_age = duration::zero());
    /** \return the lowest number of copies of any record, at most \ref target_bill_copies, which is also the
     * value for an empty outbox. */
    std::size_t min_copies() const;
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        bill_record record;
        time_point added;
        std::map<std::string, std::string> domain_by_holder;
        std::map<std::string, time_point> sent_at;
    };
    std::map<bill_key, entry> entries_;
};

} // namespace laurelhoist
