/** \file
 * Public header of the ledger library: billing records, their replication until the platform has stored
 * them, and the claims by which a non-idempotent request runs at most once.
 *
 * The ledger is a set of records keyed by team and request. Adding a record twice has no effect, so every
 * transfer may be retried after a lost acknowledgement: at-least-once delivery gives exactly-once billing.
 */
#pragma once

#include "ledger/bill_outbox.h"
#include "ledger/bill_types.h"
#include "ledger/claim.h"
#include "ledger/ledger_book.h"
#include "ledger/segment_buffer.h"
