/** \file
 * Public header of the bundle library: the configuration documents that operators sign off (bundles), the
 * object that records what is in force (the fleet head), the commands that change it, and the read-only view
 * that routing decisions use.
 */
#pragma once

#include "bundle/bundle_check.h"
#include "bundle/bundle_types.h"
#include "bundle/fleet_head.h"
#include "bundle/fleet_view.h"
