/** \file
 * The public header of the recovery library, which recognizes repeated requests and quarantines those that
 * end endpoints.
 */
#pragma once

#include "recovery/crash_quarantine.h"
#include "recovery/request_digest.h"
