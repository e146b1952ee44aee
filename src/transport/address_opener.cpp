#include "transport/address_opener.h"

namespace laurelhoist {

namespace {

std::string remedy_for(const std::error_code& failure) {
    return is_transient_listen_failure(failure) ? "none is needed if a process that ends still holds it; "
                                                  "otherwise end the process that uses it, "
                                                  "or give a free address of this host"
                                                : "give a free address of this host";
}

} // namespace

struct address_opener::state : std::enable_shared_from_this<state> {
    state(event_loop& its_loop, listen_target its_target, attempt its_open)
        : loop{its_loop}, target{std::move(its_target)}, open{std::move(its_open)}, attempts{target.need} {}

    std::string address_text() const {
        return target.address.host + ":" + std::to_string(target.address.port);
    }

    void try_once() {
        const std::error_code failure = open();
        if (failure) {
            on_failed(failure);
            return;
        }
        is_open = true;
        if (const std::optional<duration> lasted = attempts.on_succeeded(monotonic_now())) {
            log_info(
                "listen_succeeded",
                {{"setting", target.setting}, {"address", address_text()}, {"after_ms", to_ms(*lasted)}});
        }
    }

    void on_failed(const std::error_code& failure) {
        const listen_reaction reaction = attempts.on_failed(failure, monotonic_now());
        if (reaction == listen_reaction::give_up) {
            refuse_setting(target.setting, address_text(),
                           "cannot listen on this address (" + failure.message() + "); " +
                               remedy_for(failure));
        }
        if (reaction == listen_reaction::log_and_retry) {
            log_warning("listen_failed", {{"setting", target.setting},
                                          {"address", address_text()},
                                          {"reason", failure.message()},
                                          {"remedy", remedy_for(failure)}});
        }
    }

    void try_until_open() {
        loop.after(listen_retry_interval, [weak = weak_from_this()] {
            const std::shared_ptr<state> self = weak.lock();
            if (self && !self->is_open) {
                self->try_until_open(); // First, as an exception would otherwise end the attempts.
                self->try_once();
            }
        });
    }

    event_loop& loop;
    listen_target target;
    attempt open;
    listen_attempts attempts;
    bool is_open = false;
};

address_opener::address_opener(event_loop& loop, listen_target target, attempt open)
    : state_{std::make_shared<state>(loop, std::move(target), std::move(open))} {
    state_->try_once();
    if (!state_->is_open) {
        state_->try_until_open();
    }
}

address_opener::~address_opener() = default;

bool address_opener::is_open() const {
    return state_->is_open;
}

} // namespace laurelhoist
