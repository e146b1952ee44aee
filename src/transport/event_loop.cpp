#include "transport/event_loop.h"

#include <boost/asio.hpp>

#include <csignal>
#include <exception>
#include <vector>

namespace laurelhoist {

namespace asio = boost::asio;

namespace {

/// Exceptions logged within a second; one that a periodic handler throws would otherwise fill the log.
constexpr int max_failures_logged_per_second = 5;

/** Logs exceptions that no handler has caught. */
class failure_log {
public:
    void note(const char* what) {
        const auto second = std::chrono::duration_cast<seconds>(monotonic_now().time_since_epoch()).count();
        logged_ = second == second_ ? logged_ + 1 : 1;
        second_ = second;
        if (logged_ <= max_failures_logged_per_second) {
            log_error("handler_failed", {{"what", what}});
        }
    }

private:
    std::int64_t second_ = 0;
    int logged_ = 0;
};

} // namespace

struct event_loop::state {
    /** Runs \p work. An exception ends this piece of work only: it must not end the process, which serves
     * many other callers. */
    template <class Work>
    void run_guarded(const Work& work) {
        try {
            work();
        } catch (const std::exception& failure) {
            failures.note(failure.what());
        } catch (...) {
            failures.note("not a std::exception");
        }
    }

    asio::io_context context{1};
    std::unique_ptr<asio::signal_set> signals;
    failure_log failures;
};

event_loop::event_loop() : state_{std::make_unique<state>()} {}
event_loop::~event_loop() = default;

void event_loop::run() {
    state_->context.restart();
    const auto guard = asio::make_work_guard(state_->context);
    // An exception that leaves a handler of a socket ends run().
    for (bool has_ended = false; !has_ended;) {
        state_->run_guarded([&] {
            state_->context.run();
            has_ended = true;
        });
    }
}

void event_loop::stop() {
    state_->context.stop();
}

void event_loop::post(std::function<void()> work) {
    asio::post(state_->context, std::move(work));
}

void event_loop::after(duration delay, std::function<void()> work) {
    auto timer = std::make_shared<asio::steady_timer>(state_->context, delay);
    timer->async_wait([timer, work = std::move(work)](const boost::system::error_code& failure) {
        if (!failure) {
            work();
        }
    });
}

void event_loop::every(duration interval, std::function<void()> work) {
    after(interval, [this, interval, work = std::move(work)]() mutable {
        state_->run_guarded(work);
        every(interval, std::move(work));
    });
}

void event_loop::on_stop_signal(std::function<void()> work) {
    state_->signals = std::make_unique<asio::signal_set>(state_->context, SIGTERM, SIGINT);
    state_->signals->async_wait([work = std::move(work)](const boost::system::error_code& failure, int) {
        if (!failure) {
            work();
        }
    });
}

asio::io_context& event_loop::context() {
    return state_->context;
}

} // namespace laurelhoist
