/** \file
 * Public header of the traffic library: the configuration of the relay, its lookups, and the freshness check
 * that bounds the use of withdrawn keys.
 */
#pragma once

#include "traffic/config_fence.h"
#include "traffic/routing_table.h"
#include "traffic/traffic_types.h"
