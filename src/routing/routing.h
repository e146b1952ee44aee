/** \file
 * The one public header of the routing library: the decisions about one request. No I/O, no clock of its
 * own: every decision is a function of its arguments and of state that events have built up.
 */
#pragma once

#include "routing/endpoint_table.h"
#include "routing/fair_queue.h"
#include "routing/quality_estimator.h"
#include "routing/retry_budget.h"
#include "routing/session_token.h"
#include "routing/tier_choice.h"
