/** \file
 * The one public header of the store library: the interface to the platform's store of objects, and the watch
 * that keeps a local copy of the objects of one kind.
 */
#pragma once

#include "store/last_readable.h"
#include "store/object_store.h"
#include "store/object_watch.h"
#include "store/response_check.h"
