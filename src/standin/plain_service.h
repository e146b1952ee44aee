/** \file
 * Defines the stand-in for a plain service. It runs each call and counts the runs by the call's reference, so
 * that a call that ran twice can be detected.
 */
#pragma once

#include "transport/transport.h"

namespace laurelhoist {

/** The number of runs on all endpoints of all services, by the reference in the call's body. */
using calls_by_reference = std::map<std::string, std::int64_t>;

struct service_faults {
    /// "", "silent" (runs the call, never answers), "leaving" or "cut" (runs the call, breaks the connection)
    std::string mode;
};
LAUREL_VALUE_TYPE(service_faults, mode)

class plain_service {
public:
    plain_service(event_loop& loop, const socket_address& address, std::string name,
                  calls_by_reference& run_counts);
    void set_faults(const service_faults& faults) { faults_ = faults; }
    const std::string& name() const { return name_; }

private:
    void on_request(const http_request& request, const std::shared_ptr<http_responder>& responder);

    event_loop& loop_;
    std::string name_;
    calls_by_reference& run_counts_;
    service_faults faults_;
    std::unique_ptr<http_server> server_;
};

} // namespace laurelhoist
