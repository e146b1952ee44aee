/** \file
 * The one public header of the recovery library: how requests are known again, and which of them must not be
 * repeated any more.
 */
#pragma once

#include "recovery/crash_quarantine.h"
#include "recovery/request_digest.h"
