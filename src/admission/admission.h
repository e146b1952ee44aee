/** \file
 * The public header of the admission library, which decides under load whether a request is accepted, how
 * urgent it is, and when a refused caller may return.
 */
#pragma once

#include "admission/admission_decision.h"
#include "admission/admission_state.h"
#include "admission/service_pressure.h"
#include "admission/team_usage.h"
