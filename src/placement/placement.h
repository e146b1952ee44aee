/** \file
 * The public header of the placement library, which chooses the endpoint for a request.
 */
#pragma once

#include "placement/back_offs.h"
#include "placement/brittle_endpoints.h"
#include "placement/cold_endpoints.h"
#include "placement/endpoint_directory.h"
#include "placement/endpoint_pace.h"
#include "placement/first_event_estimate.h"
#include "placement/leaving_endpoints.h"
#include "placement/load_announcer.h"
#include "placement/pause_cost.h"
#include "placement/rate_limits.h"
#include "placement/send_allowance.h"
#include "placement/sponsors.h"
