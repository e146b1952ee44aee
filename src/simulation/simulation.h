/** \file
 * The one public header of the simulation library: several entries and stewards in one process under a
 * virtual clock, with small fakes at their interfaces and seeded faults. The long random runs, the replay
 * of traces and the experiments of laurel-bench all use it.
 */
#pragma once

#include "simulation/fake_endpoint.h"
#include "simulation/fake_platform.h"
#include "simulation/replay.h"
#include "simulation/trace.h"
#include "simulation/virtual_clock.h"
#include "simulation/world.h"
