/** \file
 * Defines how a host determines whether an endpoint's process has ended after a connection to it broke: it
 * opens a probe connection. If the process has ended, nothing listens at the address and the connection is
 * refused. A process that is alive but reset a connection above its limit, lost an answer or is behind a
 * network partition does not refuse the probe, so the requests on the broken connection are not counted as
 * having ended it.
 */
#pragma once

#include "recovery/recovery.h"
#include "relay/endpoint_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace laurelhoist {

/** A request that an endpoint was running when its process may have ended. */
struct suspected_end {
    crash_causes causes;
    endpoint_end end;
    std::string endpoint;
    std::string request; ///< request id, for the log
    std::string team;
};

/** Probes endpoints whose connections broke and reports those whose process has ended. */
class end_confirmation {
public:
    /** \param pool creates the probe connections
     * \param on_ended called with the requests suspected at an endpoint once a probe shows its end */
    end_confirmation(connection_pool& pool, std::function<void(const std::vector<suspected_end>&)> on_ended)
        : pool_{pool}, on_ended_{std::move(on_ended)} {}

    /** Probes the endpoint at \p address after its connection for a request broke. All connections to it that
     * break while the probe is under way share that probe. */
    void probe_endpoint(const std::string& address, const suspected_end& suspected, time_point now);
    /** Cancels probes that have timed out; to be called a few times a second. */
    void expire(time_point now);

private:
    class probe;

    void resolve(const std::string& address, bool has_ended);

    connection_pool& pool_;
    std::function<void(const std::vector<suspected_end>&)> on_ended_;
    std::map<std::string, std::shared_ptr<probe>> probes_; ///< by endpoint address
};

} // namespace laurelhoist
