/** \file
 * The public header of the node library: the entry and the steward as state machines that receive events and
 * act through ports, and the messages between them.
 */
#pragma once

#include "node/config_delta.h"
#include "node/entry_core.h"
#include "node/entry_port.h"
#include "node/messages.h"
#include "node/steward_core.h"
#include "node/steward_port.h"
