/** \file
 * The public header of the routing library, which decides about one request at a time. It does no I/O and
 * reads no clock: each decision depends on its arguments and on the events passed in before.
 */
#pragma once

#include "routing/endpoint_table.h"
#include "routing/quality_estimator.h"
#include "routing/retry_budget.h"
#include "routing/session_token.h"
#include "routing/tier_choice.h"
#include "routing/waiting_room.h"
