/** \file
 * Defines recorded traces and their expected outcomes. A trace is a file of JSON lines: a header with the
 * world, the faults and the expected outcome, then one line for each request (trace_line).
 */
#pragma once

#include "node/node.h"

namespace laurelhoist {

/** A fault or an operator's command at a point in time of the trace. */
struct trace_event {
    std::int64_t at_ms = 0;
    std::string action; ///< name of the action, as listed in world::apply_event
    std::string target;
    double value = 0.0;
};
LAUREL_VALUE_TYPE(trace_event, at_ms, action, target, value)

/** The bounds that the result of a replay must keep; a negative bound is not checked. */
struct trace_outcome {
    double least_whole_share = 0.99;    ///< minimum share of requests with a complete answer
    std::int64_t most_doubled = 0;      ///< maximum number of non-idempotent calls that ran twice
    std::int64_t most_unbilled = 0;     ///< maximum number of released answers without a bill
    std::int64_t most_bad_answers = -1; ///< maximum number of bad answers released from bad versions
    double least_quality_share = -1;
    double most_p95_ms = -1;
    std::string final_bundle; ///< bundle that must be established at the end; empty: not checked
};
LAUREL_VALUE_TYPE(trace_outcome, least_whole_share, most_doubled, most_unbilled, most_bad_answers,
                  least_quality_share, most_p95_ms, final_bundle)

struct trace_header {
    std::string name;
    std::string site = "brazda"; ///< site that sets the sizes and failure domains, see options_for
    std::uint64_t seed = 1;
    std::int64_t length_ms = 60000;
    std::vector<trace_event> events;
    trace_outcome outcome;
};
LAUREL_VALUE_TYPE(trace_header, name, site, seed, length_ms, events, outcome)

struct trace {
    trace_header header;
    std::vector<trace_line> lines;
};

/** Reads a trace file. */
outcome<trace> read_trace(const std::string& path);
/** Writes \p recorded to \p path. \return whether it could be written */
bool write_trace(const trace& recorded, const std::string& path);

} // namespace laurelhoist
