/** \file
 * The public header of the plot library: renders line and bar charts as SVG text for laurel-bench and
 * laurel-burn.
 */
#pragma once

#include <string>
#include <vector>

namespace laurelhoist {

struct plot_point {
    double x = 0;
    double y = 0;
};

struct plot_series {
    std::string name;
    std::vector<plot_point> points;
};

/** A chart with one line for each series. */
struct line_chart {
    std::string title;
    std::string x_label;
    std::string y_label;
    std::vector<plot_series> series;
    double limit_y = -1; ///< y value of a dashed horizontal line; negative: none
};

struct plot_bar {
    std::string name;
    double value = 0;
};

/** A chart with one horizontal bar for each value. */
struct bar_chart {
    std::string title;
    std::string unit;
    std::vector<plot_bar> bars;
};

/** \return the chart as an SVG document. */
std::string to_svg(const line_chart& chart);
std::string to_svg(const bar_chart& chart);

} // namespace laurelhoist
