#include "base/metrics.h"

#include "base/invariant.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <sstream>
#include <string_view>

namespace laurelhoist {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> tracked_quantiles{0.5, 0.95, 0.99};

using accumulator =
    accumulators::accumulator_set<double,
                                  accumulators::stats<accumulators::tag::count, accumulators::tag::mean,
                                                      accumulators::tag::extended_p_square_quantile>>;

} // namespace

struct distribution::state {
    accumulator values{accumulators::extended_p_square_probabilities = tracked_quantiles};
};

distribution::distribution() : state_{std::make_unique<state>()} {}
distribution::~distribution() = default;
distribution::distribution(distribution&&) noexcept = default;
distribution& distribution::operator=(distribution&&) noexcept = default;

void distribution::add(double value) {
    state_->values(value);
}

std::uint64_t distribution::count() const {
    return accumulators::count(state_->values);
}

double distribution::mean() const {
    return count() == 0 ? 0.0 : accumulators::mean(state_->values);
}

double distribution::quantile(double probability) const {
    if (count() == 0) {
        return 0.0;
    }
    return accumulators::quantile(state_->values, accumulators::quantile_probability = probability);
}

std::uint64_t metrics::counter(const std::string& name) const {
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

std::string metrics::to_text() const {
    std::ostringstream text;
    for (const auto& [name, value] : counters_) {
        text << "laurel_" << name << "_total " << value << '\n';
    }
    for (const auto& [name, value] : gauges_) {
        text << "laurel_" << name << ' ' << value << '\n';
    }
    for (const auto& [name, values] : distributions_) {
        text << "laurel_" << name << "_ms_count " << values.count() << '\n';
        for (const double probability : tracked_quantiles) {
            text << "laurel_" << name << "_ms{quantile=\"" << probability << "\"} "
                 << values.quantile(probability) << '\n';
        }
    }
    for (const auto& [promise, count] : invariant_registry::instance().all()) {
        text << "laurel_invariant_checked_total{promise=\"" << promise << "\"} " << count.checked << '\n';
        text << "laurel_invariant_broken_total{promise=\"" << promise << "\"} " << count.broken << '\n';
    }
    text << "laurel_process_cpu_seconds " << process_cpu_seconds() << '\n';
    text << "laurel_process_resident_bytes " << process_resident_bytes() << '\n';
    return text.str();
}

double quantile_of(std::vector<double> values, double probability) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(values.size())));
    return values[std::min(values.size() - 1, rank == 0 ? 0 : rank - 1)];
}

double process_cpu_seconds() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double micros = 1e-6;
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
           static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) * micros;
}

std::uint64_t process_resident_bytes() {
    std::ifstream file("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t process_peak_resident_bytes() {
    constexpr std::string_view peak_field = "VmHWM:";
    constexpr std::uint64_t bytes_per_kb = 1024;
    std::ifstream file("/proc/self/status");
    std::string field;
    while (file >> field) {
        std::uint64_t peak_kb = 0;
        if (field == peak_field && file >> peak_kb) {
            return peak_kb * bytes_per_kb;
        }
    }
    return 0;
}

} // namespace laurelhoist
