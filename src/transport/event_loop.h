/** \file
 * Defines the event loop of a process, which runs on a single thread.
 */
#pragma once

#include "base/base.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace laurelhoist {

class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Runs until \ref stop; may be called again. An exception that leaves a handler is logged as
     * `handler_failed` and ends that handler only. */
    void run();
    void stop();
    /** Queues \p work, which never runs before this function returns. */
    void post(std::function<void()> work);
    /** Runs \p work once after \p delay. */
    void after(duration delay, std::function<void()> work);
    /** Runs \p work every \p interval until the loop stops. */
    void every(duration interval, std::function<void()> work);
    /** Runs \p work once, on the first SIGTERM or SIGINT. */
    void on_stop_signal(std::function<void()> work);

    /** \return the Asio context, for use within the transport library only. */
    boost::asio::io_context& context();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace laurelhoist
