/** \file
 * The one public header of the host library: an entry host on the users' platform, and the messages between
 * entry hosts.
 */
#pragma once

#include "host/entry_host.h"
#include "host/memory_watch.h"
#include "host/peer_messages.h"
