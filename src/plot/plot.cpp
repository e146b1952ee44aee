#include "plot/plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace laurelhoist {

namespace {

constexpr int width = 760;
constexpr int height = 420;
constexpr int left = 80;
constexpr int right = 190;
constexpr int top = 46;
constexpr int bottom = 56;
constexpr int ticks = 5;
constexpr std::array colours{"#1b6ca8", "#c2452d", "#3a8f4d", "#8a5fb0", "#b8860b", "#4c4c4c"};

struct scale {
    double low = 0;
    double high = 1;
    double from = 0;
    double to = 1;
    double at(double value) const { return from + (value - low) / (high - low) * (to - from); }
};

std::string escaped(const std::string& text) {
    std::string safe;
    for (const char c : text) {
        switch (c) {
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '&':
            safe += "&amp;";
            break;
        default:
            safe += c;
        }
    }
    return safe;
}

std::string number(double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), std::abs(value) >= 100 ? "%.0f" : "%.3g", value);
    return text.data();
}

void write_text(std::ostream& out, double x, double y, const std::string& anchor, const std::string& text) {
    out << "<text x=\"" << number(x) << "\" y=\"" << number(y) << "\" text-anchor=\"" << anchor << "\">"
        << escaped(text) << "</text>\n";
}

void write_line(std::ostream& out, double x1, double y1, double x2, double y2, const std::string& style) {
    out << "<line x1=\"" << number(x1) << "\" y1=\"" << number(y1) << "\" x2=\"" << number(x2) << "\" y2=\""
        << number(y2) << "\" " << style << "/>\n";
}

void write_head(std::ostream& out, int chart_height, const std::string& title) {
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << chart_height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
           "fill=\"white\"/>\n";
    out << "<text x=\"" << left << "\" y=\"24\" font-size=\"15\" font-weight=\"bold\">" << escaped(title)
        << "</text>\n";
}

scale x_scale(const line_chart& chart) {
    scale axis{1e300, -1e300, left, width - right};
    for (const plot_series& series : chart.series) {
        for (const plot_point& point : series.points) {
            axis.low = std::min(axis.low, point.x);
            axis.high = std::max(axis.high, point.x);
        }
    }
    axis.high = axis.high <= axis.low ? axis.low + 1 : axis.high;
    return axis;
}

scale y_scale(const line_chart& chart) {
    scale axis{0, std::max(1e-9, chart.marked_y), height - bottom, top};
    for (const plot_series& series : chart.series) {
        for (const plot_point& point : series.points) {
            axis.high = std::max(axis.high, point.y);
        }
    }
    constexpr double headroom = 1.08;
    axis.high *= headroom;
    return axis;
}

void write_axes(std::ostream& out, const line_chart& chart, const scale& x, const scale& y) {
    for (int i = 0; i <= ticks; ++i) {
        const double share = static_cast<double>(i) / ticks;
        const double at_x = x.low + share * (x.high - x.low);
        const double at_y = y.low + share * (y.high - y.low);
        write_line(out, left, y.at(at_y), width - right, y.at(at_y), "stroke=\"#dddddd\"");
        write_text(out, left - 8, y.at(at_y) + 4, "end", number(at_y));
        write_text(out, x.at(at_x), height - bottom + 18, "middle", number(at_x));
    }
    write_line(out, left, height - bottom, width - right, height - bottom, "stroke=\"black\"");
    write_text(out, (left + width - right) / 2.0, height - 14, "middle", chart.x_label);
    out << "<text transform=\"translate(18," << (top + height - bottom) / 2
        << ") rotate(-90)\" text-anchor=\"middle\">" << escaped(chart.y_label) << "</text>\n";
}

} // namespace

std::string to_svg(const line_chart& chart) {
    std::ostringstream out;
    write_head(out, height, chart.title);
    const scale x = x_scale(chart);
    const scale y = y_scale(chart);
    write_axes(out, chart, x, y);
    if (chart.marked_y >= 0) {
        write_line(out, left, y.at(chart.marked_y), width - right, y.at(chart.marked_y),
                   "stroke=\"black\" stroke-dasharray=\"5 4\"");
    }
    for (std::size_t i = 0; i < chart.series.size(); ++i) {
        const std::string colour = colours[i % colours.size()];
        out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
        for (const plot_point& point : chart.series[i].points) {
            out << number(x.at(point.x)) << ',' << number(y.at(point.y)) << ' ';
        }
        out << "\"/>\n";
        const double legend_y = top + 18.0 * static_cast<double>(i) + 10;
        write_line(out, width - right + 14, legend_y, width - right + 36, legend_y,
                   "stroke-width=\"3\" stroke=\"" + colour + "\"");
        write_text(out, width - right + 42, legend_y + 4, "start", chart.series[i].name);
    }
    out << "</svg>\n";
    return out.str();
}

std::string to_svg(const bar_chart& chart) {
    constexpr int bar_height = 22;
    constexpr int label_width = 230;
    const int chart_height = top + static_cast<int>(chart.bars.size()) * (bar_height + 8) + 20;
    double most = 1e-9;
    for (const plot_bar& bar : chart.bars) {
        most = std::max(most, bar.value);
    }
    std::ostringstream out;
    write_head(out, chart_height, chart.title);
    double y = top;
    for (std::size_t i = 0; i < chart.bars.size(); ++i) {
        const double length = (width - label_width - 130) * chart.bars[i].value / most;
        write_text(out, label_width, y + 15, "end", chart.bars[i].name);
        out << "<rect x=\"" << label_width + 8 << "\" y=\"" << y << "\" width=\""
            << number(std::max(1.0, length)) << "\" height=\"" << bar_height << "\" fill=\""
            << colours[i % colours.size()] << "\"/>\n";
        write_text(out, label_width + 14 + length, y + 15, "start",
                   number(chart.bars[i].value) + " " + chart.unit);
        y += bar_height + 8;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace laurelhoist
