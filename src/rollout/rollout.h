/** \file
 * The public header of the rollout library: the evidence about versions, the brake, the steps of a bundle's
 * roll-out, and the roll-out of a new release of a service's endpoints.
 */
#pragma once

#include "rollout/brake.h"
#include "rollout/evidence.h"
#include "rollout/release_rollout.h"
#include "rollout/step_plan.h"
