/** \file
 * Public header of the base library: results, errors, time, identifiers, hashes, invariants, metrics, logs,
 * settings and the end of the process, which all other libraries use.
 */
#pragma once

#include "base/allocator.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/foreign_cbor.h"
#include "base/invariant.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/log_buffer.h"
#include "base/mechanisms.h"
#include "base/metrics.h"
#include "base/process_end.h"
#include "base/random.h"
#include "base/settings.h"
#include "base/start_signals.h"
#include "base/value_type.h"
