#include "transport/event_loop.h"

#include <boost/asio.hpp>

#include <csignal>
#include <vector>

namespace laurelhoist {

namespace asio = boost::asio;

struct event_loop::state {
    asio::io_context context{1};
    std::unique_ptr<asio::signal_set> signals;
};

event_loop::event_loop() : state_{std::make_unique<state>()} {}
event_loop::~event_loop() = default;

void event_loop::run() {
    state_->context.restart();
    const auto guard = asio::make_work_guard(state_->context);
    state_->context.run();
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
        work();
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
