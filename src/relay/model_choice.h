/** \file
 * Defines which model size a request is sent to.
 *
 * The largest model answers every request; smaller ones are quicker and answer only the easier ones. Load
 * pattern: at a usual load the largest keeps to the objective of every request; when engines are lost or a
 * team sends many times its usual, it does not, and an answer by a smaller model in time is worth more than
 * one by the largest that is late or refused.
 */
#pragma once

#include "placement/placement.h"

namespace laurelhoist {

/** What one model would give a request now. */
struct model_option {
    std::size_t size = 0;    ///< index in the route's models, smallest first
    double predicted_ms = 0; ///< to the first token at the endpoint that would be chosen
};

/** \param options one for each size that has an endpoint, smallest first; not empty
 * \param objective_ms to the first token
 * \return the index in \p options of the largest model that is predicted to keep well within the objective;
 * the smallest if none does */
std::size_t choose_model(const std::vector<model_option>& options, double objective_ms);

/** The time that a model takes to read one prompt token, learned from times to the first token. */
class read_time_estimate {
public:
    /** \return the estimate for \p model, of which \p rank models of its route are smaller. */
    double ms_per_token(const std::string& model, std::size_t rank) const;
    /** Notes that a prompt of which \p tokens had to be read gave its first token after \p took, with
     * nothing known ahead of it. */
    void observe(const std::string& model, std::int64_t tokens, duration took, std::size_t rank);

private:
    std::map<std::string, double> by_model_;
};

} // namespace laurelhoist
