/** \file
 * Defines the usual times of a service's answers, with which those of a new release are compared.
 *
 * A host of a large fleet sees few answers of a rarely asked service, and one that has just started none. The
 * hosts that receive the counts of all therefore combine what each has measured, and every host uses the
 * value that is based on the most answers.
 */
#pragma once

#include "base/value_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laurelhoist {

/// Answers that one host counts, and the most that \ref usual_time::answers holds: no host gives as many in
/// years, and sums over all hosts fit into 64 bits.
constexpr std::int64_t max_answers_counted = std::int64_t{1} << 40;

/** The mean of a time, or of its ratio to the predicted one, over answers of the established release. */
struct usual_time {
    std::string service;
    std::string name; ///< what is timed: a route, or a model
    double mean = 0;
    std::int64_t answers = 0;
};
LAUREL_VALUE_TYPE(usual_time, service, name, mean, answers)

/** The usual times that a host has measured, and those that it has heard of. */
class usual_times {
public:
    /** \param min_answers fewer do not make a mean
     * \param outlier_factor a longer time, relative to the mean, counts as this multiple of it: a connection
     *        over a link that loses packets takes twenty times as long, and would hide slow answers. Until
     *        there are \p min_answers the median stands for the mean */
    usual_times(std::int64_t min_answers, double outlier_factor)
        : min_answers_{min_answers}, outlier_factor_{outlier_factor} {}

    /** Includes an answer of the established release. */
    void observe(const std::string& service, const std::string& name, double measured);
    /** \return the mean over the answers that \p of_hosts have measured of one thing. The few answers of a
     * host may all be outliers. */
    usual_time combine(const std::vector<usual_time>& of_hosts) const;
    /** Takes a mean over the answers of several hosts. */
    void hear(const usual_time& combined);
    /** \return the mean over the most answers; nothing if there are too few. */
    std::optional<double> find(const std::string& service, const std::string& name) const;

    /** \return what this host has measured for \p service. */
    std::vector<usual_time> own(const std::string& service) const { return of(own_, service); }
    /** \return what this host has heard of \p service. */
    std::vector<usual_time> heard(const std::string& service) const { return of(heard_, service); }

private:
    using times_by_name = std::map<std::pair<std::string, std::string>, usual_time>;
    static std::vector<usual_time> of(const times_by_name& times, const std::string& service);

    std::int64_t min_answers_;
    double outlier_factor_;
    times_by_name own_;
    /// Answers until there are \ref min_answers_.
    std::map<std::pair<std::string, std::string>, std::vector<usual_time>> first_;
    times_by_name heard_;
};

} // namespace laurelhoist
