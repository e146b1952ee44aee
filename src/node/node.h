/** \file
 * The one public header of the node library: the decisions of an entry and of a steward as state machines
 * that take events and act through a port, and the messages between them.
 */
#pragma once

#include "node/config_delta.h"
#include "node/entry_core.h"
#include "node/entry_port.h"
#include "node/messages.h"
#include "node/steward_core.h"
#include "node/steward_port.h"
