/** \file
 * The one public header of the base library: results, errors, time, ids, hashes, invariants, metrics,
 * logs and settings that every other library builds on.
 */
#pragma once

#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/invariant.h"
#include "base/log.h"
#include "base/mechanisms.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/settings.h"
#include "base/value_type.h"
