#include "base/start_signals.h"

#include <fcntl.h>
#include <unistd.h>

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

// A socket opened later would otherwise become standard output and receive the lines of the log.
void open_missing_standard_descriptors() {
    for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO; ++descriptor) {
        if (::fcntl(descriptor, F_GETFD) < 0) {
            (void)::open("/dev/null", O_RDWR); // Takes the lowest free descriptor, which is this one.
        }
    }
}

} // namespace

void hold_signals_of_start() {
    open_missing_standard_descriptors();
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
