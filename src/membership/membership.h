/** \file
 * The one public header of the membership library: the live hosts, how recently a node's configuration was
 * confirmed, which entries callers should use, and which endpoints an entry uses.
 */
#pragma once

#include "membership/endpoint_reach.h"
#include "membership/endpoint_roster.h"
#include "membership/endpoint_scope.h"
#include "membership/entry_directory.h"
#include "membership/evacuation_set.h"
#include "membership/freshness.h"
#include "membership/host_gossip.h"
#include "membership/host_list.h"
#include "membership/reader_order.h"
#include "membership/revision_evidence.h"
#include "membership/store_reading.h"
