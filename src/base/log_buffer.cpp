#include "base/log_buffer.h"

#include "base/json_text.h"

namespace laurelhoist {

void log_buffer::add(std::string_view line) {
    if (!has_room(line.size())) {
        ++dropped_;
        return;
    }
    bytes_.append(line);
    bytes_ += '\n';
}

std::string_view log_buffer::waiting() {
    tell_dropped();
    return bytes_;
}

void log_buffer::tell_dropped() {
    if (dropped_ == 0) {
        return;
    }
    const std::string line = json{{"event", "log_lines_dropped"}, {"count", dropped_}}.dump();
    if (has_room(line.size())) {
        bytes_ += line + '\n';
        dropped_ = 0;
    }
}

} // namespace laurelhoist
