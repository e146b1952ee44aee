/** \file
 * The only public header of the simulation library. It runs several entries and stewards in one process under
 * a virtual clock, with fakes at their interfaces and seeded faults. The random runs, the trace replay and
 * the experiments of laurel-bench use it.
 */
#pragma once

#include "simulation/fake_endpoint.h"
#include "simulation/fake_platform.h"
#include "simulation/replay.h"
#include "simulation/trace.h"
#include "simulation/virtual_clock.h"
#include "simulation/world.h"
