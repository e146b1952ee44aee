/** \file
 * Declares the experiment of laurel-bench that measures what the order of waiting requests costs.
 */
#pragma once

namespace laurelhoist {

/** Prints the time in ns that one push and one pop of a waiting room take, by the number that wait. */
void print_waiting_room_costs();

} // namespace laurelhoist
