/** \file
 * Opens connections to endpoints only to find out whether they can be made.
 */
#pragma once

#include "relay/endpoint_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace laurelhoist {

/** The probes in progress, at most one for each endpoint. */
class endpoint_probes {
public:
    /** \param pool creates the connections
     * \param on_result called with the endpoint's name and whether the connection was made */
    endpoint_probes(connection_pool& pool,
                    std::function<void(const std::string& endpoint, bool is_reachable)> on_result)
        : pool_{pool}, on_result_{std::move(on_result)} {}

    /** Begins to connect to \p endpoint at \p address, unless a probe of it is in progress. */
    void begin(const std::string& endpoint, const std::string& address, time_point now);
    /** Ends the probes that take longer than \p timeout as failed; to be called a few times a second. */
    void expire(duration timeout, time_point now);

private:
    class probe;

    void resolve(const std::string& endpoint, bool is_reachable);

    connection_pool& pool_;
    std::function<void(const std::string&, bool)> on_result_;
    std::map<std::string, std::shared_ptr<probe>> probes_; ///< by endpoint name
};

} // namespace laurelhoist
