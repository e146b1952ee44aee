/** \file
 * The one public header of the transport library: the event loop, HTTP in both directions (Boost.Beast)
 * and the links between our own processes (websocketpp). No decision is taken here.
 */
#pragma once

#include "transport/datagram.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/link.h"
#include "transport/retry_after.h"
