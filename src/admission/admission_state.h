/** \file
 * Defines what a host knows for its decisions under load.
 */
#pragma once

#include "admission/service_pressure.h"
#include "admission/team_usage.h"

namespace laurelhoist {

/** The usage of all teams and the pressure of all services. */
class admission_state {
public:
    team_usage teams;

    service_pressure& service(const std::string& name) { return services_[name]; }
    /** \return whether \p team may be logged again: at most once a second. */
    bool may_log(const std::string& team, time_point now) {
        time_point& last = logged_at_[team];
        if (now - last < seconds(1)) {
            return false;
        }
        last = now;
        return true;
    }

private:
    // Both are bounded by the configuration, which names all services and teams.
    std::map<std::string, service_pressure> services_;
    std::map<std::string, time_point> logged_at_;
};

} // namespace laurelhoist
