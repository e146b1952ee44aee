/** \file
 * The one public header of the rollout library: the evidence about versions, the brake, and the steps of
 * a roll-out that any steward can continue.
 */
#pragma once

#include "rollout/brake.h"
#include "rollout/evidence.h"
#include "rollout/release_rollout.h"
#include "rollout/step_plan.h"
