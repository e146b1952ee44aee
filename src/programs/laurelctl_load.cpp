#include "programs/laurelctl_load.h"

#include <algorithm>
#include <iostream>

namespace laurelhoist {

namespace {

std::string encode(const std::string& text) {
    constexpr const char* digits = "0123456789ABCDEF";
    constexpr unsigned half_byte = 4;
    constexpr unsigned low_bits = 15;
    std::string encoded;
    for (const char each : text) {
        const auto code = static_cast<unsigned char>(each);
        encoded += {'%', digits[code >> half_byte], digits[code & low_bits]};
    }
    return encoded;
}

/** \return the counts of \p by_cause as `cause=count`, or "-" if there are none. */
std::string causes_text(const json& by_cause) {
    std::string text;
    for (const auto& [cause, count] : by_cause.items()) {
        text += (text.empty() ? "" : " ") + cause + "=" + count.dump();
    }
    return text.empty() ? "-" : text;
}

std::vector<std::string> load_row(const json& row, const std::string& period) {
    const json counts = row.value(period, json::object());
    std::vector<std::string> cells;
    for (const char* name : {"service", "route", "team"}) {
        const std::string value = row.value(name, "other");
        cells.push_back(value.empty() ? "-" : value);
    }
    for (const char* name : {"requests", "served", "late", "cut", "left"}) {
        cells.push_back(std::to_string(counts.value(name, 0)));
    }
    for (const char* name : {"waiting", "longest_wait_ms"}) {
        cells.push_back(std::to_string(row.value(name, 0)));
    }
    for (const char* name : {"first_event_ms_p50", "first_event_ms_p90"}) {
        cells.push_back(std::to_string(counts.value(name, 0)));
    }
    cells.push_back(causes_text(counts.value("refused", json::object())));
    cells.push_back(causes_text(counts.value("failed", json::object())));
    return cells;
}

} // namespace

void print_table(const table_rows& rows) {
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            std::cout << row[i] << std::string(widths[i] - row[i].size() + 2, ' ');
        }
        std::cout << '\n';
    }
}

http_answer ask_for_load(const socket_address& address, const std::string& route, const std::string& team) {
    http_call call;
    call.address = address;
    call.method = "GET";
    call.target = "/load?route=" + encode(route) + "&team=" + encode(team);
    call.timeout = seconds(5);
    return send_and_wait(call);
}

table_rows load_table(const json& report, const std::string& period) {
    table_rows rows{{"SERVICE", "ROUTE", "TEAM", "REQUESTS", "SERVED", "LATE", "CUT", "LEFT", "WAITING",
                     "LONGEST MS", "P50 MS", "P90 MS", "REFUSED (NOT RUN)", "FAILED (MAY HAVE RUN)"}};
    for (const json& row : report.value("rows", json::array())) {
        rows.push_back(load_row(row, period));
    }
    rows.push_back(load_row(report.value("other", json::object()), period));
    return rows;
}

} // namespace laurelhoist
