#include "base/log.h"

#include "base/clock.h"

#include <glog/logging.h>

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

std::string to_line(const char* level, const char* event, const json& fields) {
    json line = {{"at_ms", wall_clock_ms()}, {"level", level}, {"program", context().program}};
    line["event"] = event;
    if (!context().host.empty()) {
        line["host"] = context().host;
    }
    line.update(fields);
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

void start_log(const char* program, const std::string& host) {
    context() = {program, host};
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(program);
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
