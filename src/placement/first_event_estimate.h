/** \file
 * Defines the estimate of how long a model takes to give its first event, learned from answers.
 *
 * Engines read prompts in chunks between the tokens of others, so a prompt for a fast model waits for only a
 * part of what is ahead of it. Counted in full, an engine that read a long prompt for the large model looked
 * busy to every chat for half a second: chats left the engines that current their shared part, though those that
 * stayed waited for a third of it (measured on 2,641 first attempts by the small and 1,357 by the large
 * model).
 */
#pragma once

#include "base/base.h"

#include <map>
#include <string>

namespace laurelhoist {

/** What a model's time to the first event grows with. */
struct first_event_costs {
    double read_ms_per_token = 0; ///< of the prompt, for each token that has to be read
    double backlog_share = 1;     ///< for each ms that prompts ahead of it take to read
};

/** One answer that has begun. */
struct first_event_sample {
    double unread_tokens = 0;
    double backlog_ms = 0;
    double took_ms = 0; ///< without what does not grow with either
};

/** Least squares over the answers of each model; older ones count less and less. */
class first_event_estimate {
public:
    /** \param learns without it the initial costs hold for ever */
    explicit first_event_estimate(bool learns = true) : learns_{learns} {}

    /** \param rank how many models of the route are smaller; decides until answers have been seen */
    first_event_costs costs(const std::string& model, std::size_t rank) const;
    void observe(const std::string& model, std::size_t rank, const first_event_sample& sample);

private:
    /// Sums of products, each weighted by how much the sample counts.
    struct sums {
        double tokens_tokens = 0;
        double tokens_backlog = 0;
        double backlog_backlog = 0;
        double tokens_took = 0;
        double backlog_took = 0;
    };
    static void add(sums& total, const first_event_sample& sample, double weight);
    static sums prior(std::size_t rank);
    static first_event_costs solve(const sums& total, std::size_t rank);

    bool learns_;
    std::map<std::string, sums> by_model_;
};

} // namespace laurelhoist
