/** \file
 * Defines what operators see of the load: requests, refusals and waits by service, route and team, over the
 * last seconds and since the start of the process.
 */
#pragma once

#include "base/clock.h"
#include "base/value_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laurelhoist {

/** For whom a request was served. Fields are empty where they are not known, for example the team of a
 * request without a key. */
struct load_key {
    std::string service;
    std::string route;
    std::string team;
};
LAUREL_VALUE_TYPE(load_key, service, route, team)
bool operator<(const load_key& left, const load_key& right);

/** Counts of one kind of end by its cause; the causes are the outcomes in the log line `request_ended`. */
using counts_by_cause = std::map<std::string, std::uint64_t>;

/** The durations of waits for a first event, counted in classes whose bounds grow by a fifth each. */
class wait_histogram {
public:
    void add(duration wait);
    void add(const wait_histogram& other);
    /** \param probability 0 to 1
     * \return the upper bound in ms of the class of the wait that this part of the waits does not exceed, so
     * up to a fifth above that wait; 0 if there are none */
    double quantile_ms(double probability) const;

private:
    static constexpr std::size_t class_count = 64; ///< the last one begins at 97 s
    std::array<std::uint32_t, class_count> classes_{};
};

/** A request that has ended. */
struct ended_request {
    load_key key;
    std::string outcome; ///< as in the log line `request_ended`
    int status = 0;      ///< 0: the answer was cut, or the caller was gone
    bool is_late =
        false; ///< served, but its first event or a later one took longer than the route's objective
    std::optional<duration>
        first_event; ///< wait for the first event or the complete answer; nothing: none came
};

/** A request that waits for an endpoint with room. */
struct waiting_time {
    load_key key;
    duration wait{};
};

/** What ended in some time. Each request counts once in \c served, \c cut, \c left, \c refused or
 * \c failed. */
struct load_counts {
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t late = 0;  ///< of the served ones
    std::uint64_t cut = 0;   ///< streams that had begun and could not go on
    std::uint64_t left = 0;  ///< the caller disconnected, or did not read
    counts_by_cause refused; ///< certainly not run
    counts_by_cause failed;  ///< answered with a failure; may have run
    wait_histogram waits;

    void add(const ended_request& request);
    void add(const load_counts& other);
};
void to_json(json& document, const load_counts& counts);

/** Which rows are reported; an empty field stands for all. */
struct load_filter {
    std::string route;
    std::string team;
};

/** Counts the ends of requests by \ref load_key. Holds at most \ref max_rows keys: a key without requests in
 * the window makes room for a new one, and what finds no room is summed under "other". */
class load_summary {
public:
    static constexpr std::size_t max_rows = 64;
    static constexpr int window_s = 10;

    void on_ended(const ended_request& request, time_point now);
    /** \param waiting the requests that wait now; of those without a row, the sum is reported under "other"
     * \return a JSON object with `window_s`, `rows` (each with its key, `last`, `since_start`, `waiting` and
     * `longest_wait_ms`) and `other`, which no filter applies to */
    json report(const std::vector<waiting_time>& waiting, const load_filter& filter, time_point now) const;

private:
    /// The counts of one second.
    struct slice {
        std::int64_t second = -1; ///< since the epoch of the clock
        load_counts counts;
    };
    struct row {
        std::array<slice, window_s> slices;
        load_counts total;
        std::int64_t last_second = 0;

        void add(const ended_request& request, std::int64_t second);
        load_counts in_window(std::int64_t second) const;
    };
    row& row_for(const load_key& key, std::int64_t second);
    static json to_report(const row& of, const std::vector<duration>& waits, std::int64_t second);

    std::map<load_key, row> rows_;
    row other_;
};

} // namespace laurelhoist
