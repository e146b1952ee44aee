/** \file
 * The public header of the recovery library, which recognizes repeated requests, bounds how many are made,
 * and quarantines requests and parts of prompts that end endpoints.
 */
#pragma once

#include "recovery/crash_cause.h"
#include "recovery/crash_quarantine.h"
#include "recovery/crash_record.h"
#include "recovery/ended_processes.h"
#include "recovery/repeat_bucket.h"
#include "recovery/request_digest.h"
