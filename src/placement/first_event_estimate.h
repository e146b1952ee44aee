/** \file
 * Estimates each model's time to the first event of an answer, learned from answers.
 *
 * Engines read (prefill) prompts in chunks, interleaved with the generation of tokens for other requests, so
 * a prompt for a fast model waits for only a part of the backlog ahead of it. If the backlog counted in full,
 * an engine that reads a long prompt for the large model would look busy to every chat for half a second, and
 * chats would leave the engines that hold their shared prompt part. Chats that stay wait for a third of it,
 * as measured on 2,641 first attempts of the small and 1,357 of the large model.
 */
#pragma once

#include "base/base.h"

#include <map>
#include <string>

namespace laurelhoist {

/** The coefficients of a model's time to the first event. */
struct first_event_costs {
    double read_ms_per_token = 0; ///< ms for each prompt token that the engine has to read
    double backlog_share = 1;     ///< ms for each ms that the engine needs to read the prompts ahead
};

/** A measured time to the first event. */
struct first_event_sample {
    double unread_tokens = 0; ///< prompt tokens that the engine had to read
    double backlog_ms = 0;    ///< time that the engine needed to read the prompts ahead
    double took_ms = 0;       ///< time to the first event, without the part that depends on neither
};

/** Fits the coefficients of each model by least squares with exponentially decaying weights. */
class first_event_estimate {
public:
    /** \param learns if false, the initial costs are used throughout */
    explicit first_event_estimate(bool learns = true) : learns_{learns} {}

    /** \param rank how many models of the route are smaller; selects the initial costs */
    first_event_costs costs(const std::string& model, std::size_t rank) const;
    void observe(const std::string& model, std::size_t rank, const first_event_sample& sample);

private:
    /// The weighted sums of products from which the normal equations are solved.
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
