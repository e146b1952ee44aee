/** \file
 * The one public header of the bundle library: what operators sign off (bundles), what is in force (the
 * fleet head), the commands that change it, and the view that decisions read.
 */
#pragma once

#include "bundle/bundle_check.h"
#include "bundle/bundle_types.h"
#include "bundle/fleet_head.h"
#include "bundle/fleet_view.h"
