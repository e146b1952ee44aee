/** \file
 * The one public header of the store library: the platform's store of objects, and a kept copy of one kind.
 */
#pragma once

#include "store/object_store.h"
#include "store/object_watch.h"
