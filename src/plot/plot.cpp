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
constexpr int left_margin = 80;
constexpr int right_margin = 190;
constexpr int top_margin = 46;
constexpr int bottom_margin = 56;
constexpr int tick_count = 5;
constexpr std::array colours{"#1b6ca8", "#c2452d", "#3a8f4d", "#8a5fb0", "#b8860b", "#4c4c4c"};

/** Maps the values [low, high] linearly to the pixels [from, to]. */
struct axis_scale {
    double low = 0;
    double high = 1;
    double from = 0;
    double to = 1;
    double to_pixels(double value) const { return from + (value - low) / (high - low) * (to - from); }
};

std::string escape_xml(const std::string& text) {
    std::string escaped_text;
    for (const char c : text) {
        switch (c) {
        case '<':
            escaped_text += "&lt;";
            break;
        case '>':
            escaped_text += "&gt;";
            break;
        case '&':
            escaped_text += "&amp;";
            break;
        default:
            escaped_text += c;
        }
    }
    return escaped_text;
}

std::string format_number(double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), std::abs(value) >= 100 ? "%.0f" : "%.3g", value);
    return text.data();
}

void write_text(std::ostream& out, double x, double y, const std::string& anchor, const std::string& text) {
    out << "<text x=\"" << format_number(x) << "\" y=\"" << format_number(y) << "\" text-anchor=\"" << anchor
        << "\">" << escape_xml(text) << "</text>\n";
}

void write_line(std::ostream& out, double x1, double y1, double x2, double y2, const std::string& style) {
    out << "<line x1=\"" << format_number(x1) << "\" y1=\"" << format_number(y1) << "\" x2=\""
        << format_number(x2) << "\" y2=\"" << format_number(y2) << "\" " << style << "/>\n";
}

void write_head(std::ostream& out, int chart_height, const std::string& title) {
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << chart_height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
           "fill=\"white\"/>\n";
    out << "<text x=\"" << left_margin << "\" y=\"24\" font-size=\"15\" font-weight=\"bold\">"
        << escape_xml(title) << "</text>\n";
}

axis_scale x_scale(const line_chart& chart) {
    axis_scale axis{1e300, -1e300, left_margin, width - right_margin};
    for (const plot_series& series : chart.series) {
        for (const plot_point& point : series.points) {
            axis.low = std::min(axis.low, point.x);
            axis.high = std::max(axis.high, point.x);
        }
    }
    axis.high = axis.high <= axis.low ? axis.low + 1 : axis.high;
    return axis;
}

axis_scale y_scale(const line_chart& chart) {
    axis_scale axis{0, std::max(1e-9, chart.limit_y), height - bottom_margin, top_margin};
    for (const plot_series& series : chart.series) {
        for (const plot_point& point : series.points) {
            axis.high = std::max(axis.high, point.y);
        }
    }
    constexpr double headroom = 1.08;
    axis.high *= headroom;
    return axis;
}

void write_axes(std::ostream& out, const line_chart& chart, const axis_scale& x, const axis_scale& y) {
    for (int i = 0; i <= tick_count; ++i) {
        const double share = static_cast<double>(i) / tick_count;
        const double at_x = x.low + share * (x.high - x.low);
        const double at_y = y.low + share * (y.high - y.low);
        write_line(out, left_margin, y.to_pixels(at_y), width - right_margin, y.to_pixels(at_y),
                   "stroke=\"#dddddd\"");
        write_text(out, left_margin - 8, y.to_pixels(at_y) + 4, "end", format_number(at_y));
        write_text(out, x.to_pixels(at_x), height - bottom_margin + 18, "middle", format_number(at_x));
    }
    write_line(out, left_margin, height - bottom_margin, width - right_margin, height - bottom_margin,
               "stroke=\"black\"");
    write_text(out, (left_margin + width - right_margin) / 2.0, height - 14, "middle", chart.x_label);
    out << "<text transform=\"translate(18," << (top_margin + height - bottom_margin) / 2
        << ") rotate(-90)\" text-anchor=\"middle\">" << escape_xml(chart.y_label) << "</text>\n";
}

} // namespace

std::string to_svg(const line_chart& chart) {
    std::ostringstream out;
    write_head(out, height, chart.title);
    const axis_scale x = x_scale(chart);
    const axis_scale y = y_scale(chart);
    write_axes(out, chart, x, y);
    if (chart.limit_y >= 0) {
        write_line(out, left_margin, y.to_pixels(chart.limit_y), width - right_margin,
                   y.to_pixels(chart.limit_y), "stroke=\"black\" stroke-dasharray=\"5 4\"");
    }
    for (std::size_t i = 0; i < chart.series.size(); ++i) {
        const std::string colour = colours[i % colours.size()];
        out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
        for (const plot_point& point : chart.series[i].points) {
            out << format_number(x.to_pixels(point.x)) << ',' << format_number(y.to_pixels(point.y)) << ' ';
        }
        out << "\"/>\n";
        const double legend_y = top_margin + 18.0 * static_cast<double>(i) + 10;
        write_line(out, width - right_margin + 14, legend_y, width - right_margin + 36, legend_y,
                   "stroke-width=\"3\" stroke=\"" + colour + "\"");
        write_text(out, width - right_margin + 42, legend_y + 4, "start", chart.series[i].name);
    }
    out << "</svg>\n";
    return out.str();
}

std::string to_svg(const bar_chart& chart) {
    constexpr int bar_height = 22;
    constexpr int label_width = 230;
    const int chart_height = top_margin + static_cast<int>(chart.bars.size()) * (bar_height + 8) + 20;
    double max_value = 1e-9;
    for (const plot_bar& bar : chart.bars) {
        max_value = std::max(max_value, bar.value);
    }
    std::ostringstream out;
    write_head(out, chart_height, chart.title);
    double y = top_margin;
    for (std::size_t i = 0; i < chart.bars.size(); ++i) {
        const double length = (width - label_width - 130) * chart.bars[i].value / max_value;
        write_text(out, label_width, y + 15, "end", chart.bars[i].name);
        out << "<rect x=\"" << label_width + 8 << "\" y=\"" << y << "\" width=\""
            << format_number(std::max(1.0, length)) << "\" height=\"" << bar_height << "\" fill=\""
            << colours[i % colours.size()] << "\"/>\n";
        write_text(out, label_width + 14 + length, y + 15, "start",
                   format_number(chart.bars[i].value) + " " + chart.unit);
        y += bar_height + 8;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace laurelhoist
