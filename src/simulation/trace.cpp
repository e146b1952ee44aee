#include "simulation/trace.h"

#include <fstream>

namespace laurelhoist {

outcome<trace> read_trace(const std::string& path) {
    std::ifstream file(path);
    std::string line;
    trace recorded;
    if (!std::getline(file, line)) {
        return error{error_kind::not_found, "cannot read " + path + "; give the path of a trace"};
    }
    try {
        recorded.header = json::parse(line).get<trace_header>();
        while (std::getline(file, line)) {
            recorded.lines.push_back(json::parse(line).get<trace_line>());
        }
    } catch (const json::exception& failure) {
        return error{error_kind::invalid_request, path + " is not a trace: " + failure.what()};
    }
    return recorded;
}

bool write_trace(const trace& recorded, const std::string& path) {
    std::ofstream file(path);
    file << json(recorded.header).dump() << '\n';
    for (const trace_line& line : recorded.lines) {
        file << json(line).dump() << '\n';
    }
    return file.good();
}

} // namespace laurelhoist
