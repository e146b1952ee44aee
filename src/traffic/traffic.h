/** \file
 * The one public header of the traffic library: the configuration that the relay serves by, its lookups and
 * the fence against withdrawn keys.
 */
#pragma once

#include "traffic/config_fence.h"
#include "traffic/routing_table.h"
#include "traffic/traffic_types.h"
