/** \file
 * Defines how a host finds out whether an endpoint's process has ended when a connection to it breaks: it
 * connects once more. A process that has ended leaves nothing that listens there. One that resets a
 * connection above its bound, loses an answer or is cut off is not refused in that way, and its requests are
 * not to blame for an end.
 */
#pragma once

#include "recovery/recovery.h"
#include "relay/endpoint_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace laurelhoist {

/** A request under which an endpoint may have ended. */
struct suspected_end {
    request_digest digest = 0;
    endpoint_end end;
    std::string endpoint;
    std::string request; ///< its id, for the log
    std::string team;
};

class end_confirmation {
public:
    /** \param on_ended called with all that was suspected at an endpoint once its end is certain */
    end_confirmation(connection_pool& pool, std::function<void(const std::vector<suspected_end>&)> on_ended)
        : pool_{pool}, on_ended_{std::move(on_ended)} {}

    /** A connection to the endpoint at \p address broke under a request. One probe is asked for all that
     * break together. */
    void probe_endpoint(const std::string& address, const suspected_end& suspected, time_point now);
    /** Gives up questions without an answer; to be called a few times a second. */
    void expire(time_point now);

private:
    class probe;

    void resolve(const std::string& address, bool has_ended);

    connection_pool& pool_;
    std::function<void(const std::vector<suspected_end>&)> on_ended_;
    std::map<std::string, std::shared_ptr<probe>> probes_; ///< by address
};

} // namespace laurelhoist
