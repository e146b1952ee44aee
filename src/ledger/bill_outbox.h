/** \file
 * Defines the entry's side of billing: a record is kept, and sent again, until a steward says that the
 * platform holds it; an answer may be released once enough hosts in other failure domains hold a copy.
 */
#pragma once

#include "ledger/bill_types.h"

#include <map>
#include <set>

namespace laurelhoist {

constexpr std::size_t target_bill_copies = 2;

/** The records of one entry that are not yet known to be in the platform. */
class bill_outbox {
public:
    /** Adds a record; nothing happens if its key is already here. */
    void add(const bill_record& record, time_point now);
    /** Notes that the steward \p holder in \p domain holds the record \p key. */
    void on_copy_stored(const bill_key& key, const std::string& holder, const std::string& domain);
    /** Forgets copies that died with the steward \p holder, so that the records are sent again. */
    void on_holder_lost(const std::string& holder);
    /** Notes that the platform holds the record; it is dropped here. */
    void on_drained(const bill_key& key);

    /** \return how many failure domains hold a copy of \p key; a drained one counts as safe. */
    std::size_t copies(const bill_key& key) const;
    bool contains(const bill_key& key) const { return entries_.count(key) > 0; }
    /** \return records that \p holder has not acknowledged, that still want copies, that are at least
     * \p min_age old, and that were last sent to it \p resend_after ago; marks them as sent now. */
    std::vector<bill_record> take_records_to_send(const std::string& holder, time_point now,
                                                  duration resend_after, duration min_age = duration::zero());
    /** \return the copies of the record that has fewest; the wanted number if there is none. */
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
