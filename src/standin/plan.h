/** \file
 * Defines the plan of laurel-standin: which stand-ins it runs, and at which addresses.
 */
#pragma once

#include "standin/answer_model.h"

#include <vector>

namespace laurelhoist {

/** One group of endpoints of a pool. */
struct pool_plan {
    std::string name;
    std::string kind = "engine";
    std::string address = "127.0.0.1"; ///< IP number; endpoint i listens on first_port + i
    int first_port = 0;
    int count = 0;
    std::vector<std::string> domains; ///< failure domains, assigned to the endpoints in turn
    int slots = 8;
    bool checks_fence = true;
    std::vector<std::string> loaded;
};
LAUREL_VALUE_TYPE(pool_plan, name, kind, address, first_port, count, domains, slots, checks_fence, loaded)

struct standin_plan {
    std::string platform;
    std::string rater;
    std::string control;
    std::vector<std::string> hosts;
    std::map<std::string, version_skill> versions;
    std::vector<pool_plan> pools;
    int host_list_lag_ms = 1000;
};
LAUREL_VALUE_TYPE(standin_plan, platform, rater, control, hosts, versions, pools, host_list_lag_ms)

} // namespace laurelhoist
