#include "base/start_signals.h"

#include <csignal>

namespace laurelhoist {

namespace {

sigset_t stop_signals() {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void hold_signals_of_start() {
    std::signal(SIGHUP, SIG_IGN); // Changes of the settings file are found without a signal.
    std::signal(SIGPIPE, SIG_IGN);
    const sigset_t signals = stop_signals();
    (void)sigprocmask(SIG_BLOCK, &signals, nullptr);
}

bool has_held_stop_signal() {
    sigset_t pending{};
    (void)sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

void accept_stop_signals() {
    const sigset_t signals = stop_signals();
    (void)sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace laurelhoist
