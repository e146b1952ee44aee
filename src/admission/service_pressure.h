/** \file
 * Observes how busy a service is for the requests of this host.
 *
 * Load pattern: a burst of twice the capacity for six seconds. The queues of the engines outlast it by ten
 * seconds, in which requests with a short time limit are read by engines and abandoned.
 */
#pragma once

#include "base/base.h"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace laurelhoist {

/** A sum whose terms lose weight over time. */
class decayed_sum {
public:
    explicit decayed_sum(duration time_constant) : time_constant_{time_constant} {}
    void add(double value, time_point now);
    double at(time_point now) const;

private:
    duration time_constant_;
    double sum_ = 0;
    time_point at_;
};

/** The mean of recent values and of their deviations from it. Both tend to 0 as the values become old. */
class recent_mean {
public:
    explicit recent_mean(duration time_constant)
        : weight_{time_constant}, sum_{time_constant}, deviations_{time_constant} {}
    void add(double value, time_point now);
    double mean(time_point now) const;
    /** \return the mean less the mean deviation, at least 0: nearly always exceeded. */
    double low(time_point now) const;

private:
    decayed_sum weight_;
    decayed_sum sum_;
    decayed_sum deviations_;
};

/** How busy one service is. */
class service_pressure {
public:
    static constexpr std::size_t urgencies = 10; ///< \ref dispatch_terms::urgency is 0 to 9

    /** Records an accepted request, which counts as work ahead until \ref on_left.
     * \param objective of its route for the first event; 0 if there is none */
    void on_accepted(int urgency, duration objective, time_point now);
    /** Records that a request is no longer ahead of others: its answer has begun, or it has ended.
     * \param is_answered whether its answer has begun */
    void on_left(int urgency, bool is_answered, time_point now);
    /** Records a time to the first event, or the time without one until the request ended.
     * \param kind route and urgency
     * \param took time from arrival
     * \param predicted_ms prediction at the last placement
     * \param objective of the route; 0 if there is none */
    void on_first_event(const std::string& kind, duration took, double predicted_ms, duration objective,
                        time_point now);
    /** Records the time from the first event to the end of a complete answer. */
    void on_answered(const std::string& kind, duration after_first_event, time_point now);
    /** Records a request that an endpoint rejected because it is full. */
    void on_rejected(time_point now) { rejected_.add(1, now); }

    /** Reconsiders the state. \return whether it has changed */
    bool update(time_point now);
    bool is_pressed() const { return is_pressed_; }
    /** \return recent times to the first event, or the time in which the work ahead is answered if that is
     * longer, in relation to their objectives. */
    double ratio(time_point now) const;
    /** \return the number of requests of this host that wait here or at endpoints. */
    int ahead() const;
    /** \return how many of them begin to be answered in a second. */
    double drain_per_s(time_point now) const { return drained_.at(now); }
    /** \return the time in which the work ahead is answered; nothing if too little is known. */
    std::optional<duration> drain_time(time_point now) const;
    /** \return a lower estimate of the time in which a request that arrives now is answered completely.
     * \param predicted_ms predicted time to the first event at the best endpoint */
    double answered_within_ms(const std::string& kind, int urgency, double predicted_ms,
                              time_point now) const;

private:
    struct answer_times {
        recent_mean beyond_prediction_ms{seconds(2)};
        recent_mean after_first_event_ms{seconds(10)};
    };
    static std::size_t index(int urgency);
    answer_times* times_of(const std::string& kind);
    double queue_ms(int urgency, time_point now) const;

    bool is_pressed_ = false;
    time_point last_busy_at_;
    std::array<int, urgencies> ahead_{};
    std::array<decayed_sum, urgencies> arrived_;
    decayed_sum drained_{seconds(1)};
    decayed_sum rejected_{seconds(1)};
    decayed_sum accepted_{seconds(1)};
    decayed_sum objectives_ms_{seconds(1)}; ///< of the accepted requests
    recent_mean ratio_{seconds(1)};
    std::map<std::string, answer_times> times_; ///< by route and urgency

public:
    service_pressure();
};

} // namespace laurelhoist
