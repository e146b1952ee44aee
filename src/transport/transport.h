/** \file
 * The one public header of the transport library: the event loop, HTTP client and server (Boost.Beast), and
 * datagrams and links (websocketpp) between the processes of this project. It contains no routing decisions.
 */
#pragma once

#include "transport/byte_account.h"
#include "transport/datagram.h"
#include "transport/event_loop.h"
#include "transport/header_list.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/link.h"
#include "transport/message_parser.h"
#include "transport/parser_input.h"
#include "transport/receive_share.h"
#include "transport/request_reader.h"
#include "transport/request_room.h"
#include "transport/retry_after.h"
