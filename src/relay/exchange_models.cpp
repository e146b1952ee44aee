// The part of an exchange that decides whether the load of the engines allows a larger model.
#include "relay/exchange.h"

namespace laurelhoist {

bool exchange::yields_larger_model(time_point now) {
    if (!state_.settings.in_use.yields_models) {
        return false;
    }
    model_load& load = state_.model_loads[service_];
    if (load.is_due(now) && load.observe(state_.endpoints.saturated_share(service_, now), now)) {
        state_.measured.count("model_levels_changed");
        log_info(
            "models_yield",
            {{"service", service_}, {"level", load.level()}, {"saturated_share", load.saturated_share()}});
    }
    if (load.may_step_up(route_->priority)) {
        return false;
    }
    state_.measured.count("steps_up_yielded");
    return true;
}

} // namespace laurelhoist
