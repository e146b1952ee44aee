/** \file
 * Defines counters, gauges and latency distributions (using Boost.Accumulators) and their text form for
 * /metrics.
 */
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laurelhoist {

/** Running statistics of a series of measurements: count, mean and estimates of p50, p95 and p99. */
class distribution {
public:
    distribution();
    ~distribution();
    distribution(distribution&&) noexcept;
    distribution& operator=(distribution&&) noexcept;
    distribution(const distribution&) = delete;
    distribution& operator=(const distribution&) = delete;

    void add(double value);
    std::uint64_t count() const;
    double mean() const;
    /** \param probability one of 0.5, 0.95, 0.99. \return the estimated quantile; 0 if there are no values.
     */
    double quantile(double probability) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/** The counters, gauges and distributions of one process. */
class metrics {
public:
    void count(const std::string& name, std::uint64_t amount = 1) { counters_[name] += amount; }
    void gauge(const std::string& name, double value) { gauges_[name] = value; }
    void time(const std::string& name, duration span) { distributions_[name].add(to_ms(span)); }

    std::uint64_t counter(const std::string& name) const;
    /** \return all metrics, including the counts of invariants, as lines of `name value`. */
    std::string to_text() const;

private:
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, distribution> distributions_;
};

/** \return the exact quantile of \p values at \p probability; 0 if there are none. For reports, which keep
 * all values. */
double quantile_of(std::vector<double> values, double probability);

/** \return this process's processor time in seconds, user and system. */
double process_cpu_seconds();
/** \return this process's resident memory in bytes. */
std::uint64_t process_resident_bytes();
/** \return the most resident memory that this process has had, in bytes; 0 if the system does not say. */
std::uint64_t process_peak_resident_bytes();

} // namespace laurelhoist
