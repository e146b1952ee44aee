/** \file
 * The only public header of the standin library: stand-ins for the systems that laurelhoist uses, reached
 * over their published protocols. For tests and the demo only.
 */
#pragma once

#include "standin/engine.h"
#include "standin/object_store.h"
#include "standin/plain_service.h"
#include "standin/plan.h"
#include "standin/rater.h"
