#include "base/log.h"

#include "base/clock.h"
#include "base/json_text.h"
#include "base/log_buffer.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

namespace laurelhoist {

namespace {

struct log_context {
    std::string program = "laurelhoist";
    std::string host;
};

log_context& context() {
    static log_context current;
    return current;
}

/// Buffered lines are written when they reach this size, which avoids one system call per line.
constexpr std::size_t flush_threshold_bytes = 4 << 10;
/// Rate limit of informational lines; warnings and errors are exempt.
constexpr std::uint64_t max_info_lines_per_second = 400;

/** Buffers lines and writes them to standard output without blocking. */
class stdout_sink : public google::LogSink {
public:
    void send(google::LogSeverity severity, const char*, const char*, int, const struct ::tm*,
              const char* message, std::size_t length) override {
        if (severity == google::GLOG_INFO && !allow_info_line()) {
            buffer_.count_dropped();
            return;
        }
        buffer_.add({message, length});
        if (buffer_.size() >= flush_threshold_bytes || severity != google::GLOG_INFO) {
            flush();
        }
    }

    void flush() {
        for (std::string_view lines = buffer_.waiting(); !lines.empty(); lines = buffer_.waiting()) {
            const ssize_t written = ::write(STDOUT_FILENO, lines.data(), lines.size());
            if (written <= 0) {
                return; // The reader is slow; the lines stay in the buffer until the next call.
            }
            buffer_.remove(static_cast<std::size_t>(written));
        }
    }

private:
    bool allow_info_line() {
        const std::int64_t second = wall_clock_ms() / 1000;
        if (second != second_) {
            second_ = second;
            lines_ = 0;
        }
        return ++lines_ <= max_info_lines_per_second;
    }

    log_buffer buffer_;
    std::int64_t second_ = 0;
    std::uint64_t lines_ = 0;
};

stdout_sink& sink() {
    static stdout_sink instance;
    return instance;
}

std::string to_line(const char* level, const char* event, const json& fields) {
    json line = {{"at_ms", wall_clock_ms()}, {"level", level}, {"program", context().program}};
    line["event"] = event;
    if (!context().host.empty()) {
        line["host"] = context().host;
    }
    line.update(fields);
    return to_json_text(line);
}

} // namespace

void start_log(const char* program, const std::string& host) {
    context() = {program, host};
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(program);
}

void start_log_on_stdout(const char* program, const std::string& host) {
    context() = {program, host};
    FLAGS_log_prefix = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES; // Only the sink receives the lines.
    FLAGS_logtostderr = false;
    for (const google::LogSeverity severity :
         {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
        google::SetLogDestination(severity, ""); // An empty name disables log files.
    }
    google::InitGoogleLogging(program);
    google::AddLogSink(&sink());
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    (void)::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void flush_log() {
    sink().flush();
}

void quiet_log() {
    FLAGS_minloglevel = google::GLOG_ERROR;
}

void log_info(const char* event, const json& fields) {
    if (FLAGS_minloglevel <= google::GLOG_INFO) {
        LOG(INFO) << to_line("info", event, fields);
    }
}

void log_warning(const char* event, const json& fields) {
    if (FLAGS_minloglevel <= google::GLOG_WARNING) {
        LOG(WARNING) << to_line("warning", event, fields);
    }
}

void log_error(const char* event, const json& fields) {
    LOG(ERROR) << to_line("error", event, fields);
}

} // namespace laurelhoist
