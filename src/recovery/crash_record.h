/** \file
 * Defines the evidence against one possible cause of ends of endpoints, and what follows from it: whether the
 * cause is quarantined, and when it is tried again.
 *
 * Which ends count differs by kind. A request's attempts follow one another, so its ends count in a row
 * (\ref consecutive_ends), and three quarantine it. A part of prompts is in many requests at once: its ends
 * count if they follow one another or are apart in time (\ref separate_ends), so that the loss of a failure
 * domain counts once, and three quarantine it if they happened under two requests or more; otherwise one
 * request is to blame.
 */
#pragma once

#include "base/base.h"
#include "recovery/crash_cause.h"

#include <functional>
#include <optional>
#include <vector>

namespace laurelhoist {

/// Number of counted ends that quarantine a cause. Where many engines end for other reasons, an innocent
/// request is often in flight at one end, sometimes at two consecutive ones, and hardly ever at three.
constexpr int ends_to_quarantine = 3;
/// Ends of one cause that are remembered, the latest ones.
constexpr std::size_t max_ends = 16;

/** The end of an endpoint's process while an attempt was in flight there. */
struct endpoint_end {
    std::uint32_t process = 0; ///< \ref process_hash of the endpoint
    time_point sent_at;        ///< when the attempt was sent
    time_point ended_at;
    std::uint32_t request = 0; ///< the low bits of the attempt's request digest
};

/// How long after an attempt was sent it is known what else ended meanwhile.
constexpr duration weighing_time = seconds(9);

/** \return whether ends that happened while the attempt of \p end was in flight may be forgotten, so that
 * they cannot raise its weight. */
bool is_settled(const endpoint_end& end, time_point now);

/** How an end counts against a cause, by the other ends that came with it. */
enum class end_weight {
    full,   ///< it came alone
    in_row, ///< it came with others, and the cause was in flight at many: counts if sent after the end before
    none,   ///< it came with others, or the process had ended before the attempt was sent
};

/** An end and how it counts. */
struct weighed_end {
    endpoint_end end;
    end_weight weight = end_weight::full;
};

/** \return the longest sequence of \p ends in which each attempt was sent at or after the end before it
 * \param ends ordered by end time */
std::vector<endpoint_end> consecutive_ends(const std::vector<weighed_end>& ends);

/** \return the longest sequence of \p ends in which each attempt was sent at or after the end before it, or
 * ended alone and some time after it \param ends ordered by end time */
std::vector<endpoint_end> separate_ends(const std::vector<weighed_end>& ends);

/** The ends under one cause, and when it was last cleared. */
class crash_record {
public:
    crash_record(cause_kind kind, time_point now) : kind_{kind}, changed_at_{now} {}

    /** Adds an end that this host or another one has detected. \return whether it changes the record */
    bool add_end(const endpoint_end& end, time_point now);
    /** Weighs all ends again, because more is known of what else ended; the weight of one that \ref
     * is_settled does not rise. \return whether that changes what counts */
    bool weigh(const std::function<end_weight(const endpoint_end&)>& weight_of, time_point now);
    /** \return at how many processes the cause was in flight that ended from \p first to \p last. */
    int processes_ended(time_point first, time_point last) const;
    /** Drops the ends up to \p cleared_at. \return whether other hosts may need to know */
    bool clear_before(time_point cleared_at, time_point now);
    /** Records that this host sends the trial of the quarantined cause, or that the trial was not run. */
    void set_tried_at(std::optional<time_point> tried_at) { tried_at_ = tried_at; }

    bool is_quarantined() const { return is_quarantined_; }
    bool has_ends() const { return !ends_.empty(); }
    int counted_ends() const { return counted_ends_; }
    /** \return the number of requests under which the counted ends happened. */
    int requests() const;
    /** \return the number of ends that do not count because of what ended with them. */
    int ends_without_weight() const;
    /** \return the ends that count, in order. */
    std::vector<endpoint_end> counted() const;
    std::optional<time_point> cleared_at() const { return cleared_at_; }
    time_point changed_at() const { return changed_at_; }
    /** \return when the cause, which is quarantined, may be tried again. */
    time_point trial_due() const;
    /** \return whether a trial of this host may still be in flight. */
    bool is_being_tried(time_point now) const;
    bool is_expired(time_point now) const;

private:
    void recount(time_point now);
    /** \return how many ends came long after the quarantine had taken effect, under trials. */
    int failed_trials() const;

    cause_kind kind_;
    std::vector<weighed_end> ends_; ///< bounded, ordered by end time
    std::optional<time_point> cleared_at_;
    std::optional<time_point> tried_at_; ///< when this host last sent it as a trial
    time_point changed_at_;
    int counted_ends_ = 0;
    bool is_quarantined_ = false;
};

} // namespace laurelhoist
