#include "base/process_end.h"

#include "base/clock.h"
#include "base/json_text.h"
#include "base/log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string_view>

namespace laurelhoist {

namespace {

/// Faults of the program, and signals that nobody should send it; all of them end a process by default.
constexpr int ending_signals[] = {SIGSEGV, SIGBUS,  SIGFPE,  SIGILL,  SIGABRT, SIGQUIT,
                                  SIGALRM, SIGUSR1, SIGUSR2, SIGXCPU, SIGXFSZ};
/// For the handler, because the signal may come from an exhausted stack.
constexpr std::size_t handler_stack_bytes = std::size_t{64} << 10;
constexpr std::size_t max_line_bytes = 512;

/** What the handler of signals needs; it may call neither the allocator nor the log. */
struct signal_handler_state {
    std::array<char, max_line_bytes> identity{}; ///< the fields of the line that are known from the start
    std::size_t identity_length = 0;
    time_point started_at;
    std::array<char, handler_stack_bytes> stack{};
};

signal_handler_state& handler_state() {
    static signal_handler_state instance;
    return instance;
}

/** A line of text in a buffer of fixed size; what does not fit is left out. */
class fixed_line {
public:
    void append(std::string_view text) {
        for (const char each : text) {
            if (length_ < bytes_.size()) {
                bytes_[length_++] = each;
            }
        }
    }

    void append(std::int64_t number) {
        std::array<char, 20> digits{};
        std::size_t first = digits.size();
        constexpr std::int64_t decimal = 10;
        do {
            digits[--first] = static_cast<char>('0' + number % decimal);
            number /= decimal;
        } while (number > 0);
        append(std::string_view(&digits[first], digits.size() - first));
    }

    void write_to_stdout() const {
        // If the reader is slow the line is lost, as a process that is about to end must not wait.
        const ssize_t written = ::write(STDOUT_FILENO, bytes_.data(), length_);
        (void)written;
    }

private:
    std::array<char, max_line_bytes> bytes_{};
    std::size_t length_ = 0;
};

std::int64_t realtime_ms() {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    constexpr std::int64_t ms_in_second = 1000;
    constexpr std::int64_t ns_in_ms = 1000000;
    return now.tv_sec * ms_in_second + now.tv_nsec / ns_in_ms;
}

std::int64_t ms_since_start() {
    return std::chrono::duration_cast<milliseconds>(monotonic_now() - handler_state().started_at).count();
}

void on_ending_signal(int number) {
    fixed_line line;
    line.append("{\"at_ms\":");
    line.append(realtime_ms());
    line.append(std::string_view(handler_state().identity.data(), handler_state().identity_length));
    line.append(",\"reason\":\"signal\",\"signal\":");
    line.append(std::int64_t{number});
    line.append(",\"after_ms\":");
    line.append(ms_since_start());
    line.append("}\n");
    line.write_to_stdout();
    std::signal(number, SIG_DFL);
    std::raise(number);
}

[[noreturn]] void on_terminate() {
    json fields = {{"reason", "exception"}, {"after_ms", ms_since_start()}};
    try {
        if (const std::exception_ptr current = std::current_exception()) {
            std::rethrow_exception(current);
        }
    } catch (const std::exception& failure) {
        fields["what"] = failure.what();
    } catch (...) {
        fields["what"] = "not a std::exception";
    }
    log_error("process_ended", fields);
    flush_log();
    std::signal(SIGABRT, SIG_DFL); // The end is logged already.
    std::abort();
}

/** Sets the handler unless somebody else, such as a sanitizer, has set one. */
void handle_ending_signal(int number) {
    struct sigaction held {};
    if (sigaction(number, nullptr, &held) != 0 || held.sa_handler != SIG_DFL) {
        return;
    }
    struct sigaction own {};
    own.sa_handler = on_ending_signal;
    own.sa_flags = SA_ONSTACK | SA_NODEFER;
    sigemptyset(&own.sa_mask);
    (void)sigaction(number, &own, nullptr);
}

} // namespace

void log_process_end(const std::string& program, const std::string& host) {
    signal_handler_state& own = handler_state();
    if (own.identity_length == 0) {
        own.started_at = monotonic_now();
    }
    const std::string known = ",\"level\":\"error\",\"program\":" + to_json_text(program) +
                              ",\"event\":\"process_ended\",\"host\":" + to_json_text(host);
    own.identity_length = std::min(known.size(), own.identity.size() / 2);
    std::copy_n(known.begin(), own.identity_length, own.identity.begin());
    stack_t stack{};
    stack.ss_sp = own.stack.data();
    stack.ss_size = own.stack.size();
    (void)sigaltstack(&stack, nullptr);
    for (const int number : ending_signals) {
        handle_ending_signal(number);
    }
    std::set_terminate(on_terminate);
}

} // namespace laurelhoist
