/** \file
 * Defines the comparison of how fast streams proceed after their first event.
 *
 * A stream may begin in time and then proceed several times as slowly as usual. The time for each event
 * depends on the model and on how full the endpoint is, so a stream is compared with the mean of the
 * established release for the same model.
 */
#pragma once

#include "base/base.h"
#include "rollout/usual_times.h"

#include <optional>
#include <string>

namespace laurelhoist {

/** How fast one attempt has sent its events. */
struct stream_pace {
    std::string model;      ///< the model that answers; empty: the service has only one
    duration elapsed{};     ///< time from the first event of the attempt to the last one counted
    int intervals = 0;      ///< number of events counted after the first one
    std::string endpoint{}; ///< that made them; empty: it does not show whether endpoints are alike
};

/** Mean time for each event of the established release of each service, by model. */
class pace_baseline {
public:
    /** Fewer intervals are not measured: one long prompt that the endpoint reads meanwhile doubles them. */
    static constexpr int min_intervals = 2;
    /** A stream is measured once, when it has made this many intervals or has ended. */
    static constexpr int measured_intervals = 16;

    pace_baseline();
    /** Includes a stream of the established release in the mean. */
    void observe(const std::string& service, const stream_pace& pace);
    /** \return whether \p pace is several times as slow as the mean; nothing while the mean is unknown or
     * \p pace has too few intervals. */
    std::optional<bool> compare(const std::string& service, const stream_pace& pace) const;
    /** \return whether \p pace is known to be several times as slow as the mean. */
    bool is_slow(const std::string& service, const stream_pace& pace) const {
        return compare(service, pace).value_or(false);
    }
    /** Mean times for each event in ms, by model. */
    usual_times& times() { return times_; }
    const usual_times& times() const { return times_; }

private:
    usual_times times_;
};

} // namespace laurelhoist
