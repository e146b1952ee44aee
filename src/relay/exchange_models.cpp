// The part of an exchange that decides whether the load of the engines allows a larger model.
#include "relay/exchange.h"

namespace laurelhoist {

double exchange::larger_model_share(time_point now) {
    if (!state_.settings.in_use.yields_models) {
        return 1.0;
    }
    model_load& load = state_.model_loads[service_];
    if (load.is_due(now) && load.observe(state_.endpoints.saturated_share(service_, now), now)) {
        state_.measured.count("model_levels_changed");
        log_info(
            "models_yield",
            {{"service", service_}, {"level", load.level()}, {"saturated_share", load.saturated_share()}});
    }
    const double share = load.step_up_share(route_->priority);
    if (share < 1) {
        state_.measured.count(share > 0 ? "steps_up_limited" : "steps_up_yielded");
    }
    return share;
}

} // namespace laurelhoist
