/** \file
 * The one public header of the ledger library: what is billed, how a record survives until the platform
 * has it, and how claims make a non-idempotent request run at most once.
 *
 * The ledger is a set of records keyed by team and request. Adding a record twice changes nothing, so
 * every hand-over may be repeated after a lost answer, and "exactly once" needs only "at least once".
 */
#pragma once

#include "ledger/bill_outbox.h"
#include "ledger/bill_types.h"
#include "ledger/claim.h"
#include "ledger/ledger_book.h"
#include "ledger/segment_buffer.h"
