#include "experiment/plot.hpp"

#include "experiment/report.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace cyclamenhold
{
namespace
{

constexpr double width = 800.0;
constexpr double height = 360.0;
constexpr double margin_left = 60.0;
constexpr double margin_right = 16.0;
constexpr double margin_top = 40.0;
constexpr double margin_bottom = 64.0;
constexpr int tick_count = 5;
// Bins that are averaged to one point, to smooth the curves.
constexpr std::size_t bins_per_point = 2;

// Indexed by priority class, from critical to low.
constexpr std::array<const char*, priority_class_count> class_colours{
    "#1b4f72", "#2e86c1", "#85c1e9", "#d6eaf8"};

struct plot_point
{
    double from_s = 0.0;
    double offered = 0.0;
    // Cumulative calls per second, indexed by priority class.
    std::array<double, priority_class_count> stacked{};
};

struct plot_scale
{
    double duration_s = 1.0;
    double peak = 1.0;
};

double x_of(const plot_scale& scale, double at_s)
{
    return margin_left +
           (width - margin_left - margin_right) * at_s / scale.duration_s;
}

double y_of(const plot_scale& scale, double rate)
{
    return height - margin_bottom -
           (height - margin_top - margin_bottom) * rate / scale.peak;
}

std::vector<plot_point> make_points(const std::vector<goodput_bin>& bins)
{
    std::vector<plot_point> points;
    for (std::size_t first = 0; first + bins_per_point <= bins.size();
         first += bins_per_point)
    {
        plot_point point;
        point.from_s = bins[first].from_s;
        const double bin_s =
            bins.size() > 1 ? bins[1].from_s - bins[0].from_s : 1.0;
        const double length = bin_s * static_cast<double>(bins_per_point);
        for (std::size_t index = first; index < first + bins_per_point; ++index)
        {
            point.offered += static_cast<double>(bins[index].offered) / length;
            double sum = 0.0;
            for (std::size_t level = 0; level < priority_class_count; ++level)
            {
                sum += static_cast<double>(bins[index].served_by_class[level]) /
                       length;
                point.stacked[level] += sum;
            }
        }
        points.push_back(point);
    }
    return points;
}

std::string escape(std::string_view text)
{
    std::string safe;
    for (const char character : text)
    {
        switch (character)
        {
        case '<':
            safe += "&lt;";
            break;
        case '&':
            safe += "&amp;";
            break;
        case '"':
            safe += "&quot;";
            break;
        default:
            safe += character;
        }
    }
    return safe;
}

void add_text(
    std::ostringstream& out, double x, double y, const char* anchor,
    std::string_view text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
        << "\">" << escape(text) << "</text>\n";
}

std::string rounded(double value)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(value < 10.0 ? 1 : 0) << value;
    return out.str();
}

void add_axes(std::ostringstream& out, const plot_scale& scale)
{
    for (int tick = 0; tick <= tick_count; ++tick)
    {
        const double share = static_cast<double>(tick) / tick_count;
        const double rate = share * scale.peak;
        const double at_s = share * scale.duration_s;
        out << "<line x1=\"" << margin_left << "\" x2=\""
            << width - margin_right << "\" y1=\"" << y_of(scale, rate)
            << "\" y2=\"" << y_of(scale, rate) << "\" stroke=\"#dddddd\"/>\n";
        add_text(
            out, margin_left - 6, y_of(scale, rate) + 4, "end", rounded(rate));
        add_text(
            out, x_of(scale, at_s), height - margin_bottom + 18, "middle",
            rounded(at_s) + " s");
    }
}

void add_area(
    std::ostringstream& out, const plot_scale& scale,
    const std::vector<plot_point>& points, std::size_t level)
{
    out << "<polygon fill=\"" << class_colours[level] << "\" points=\"";
    for (const plot_point& point : points)
    {
        out << x_of(scale, point.from_s) << ','
            << y_of(scale, point.stacked[level]) << ' ';
    }
    for (auto point = points.rbegin(); point != points.rend(); ++point)
    {
        const double below = level == 0 ? 0.0 : point->stacked[level - 1];
        out << x_of(scale, point->from_s) << ',' << y_of(scale, below) << ' ';
    }
    out << "\"/>\n";
}

void add_offered(
    std::ostringstream& out, const plot_scale& scale,
    const std::vector<plot_point>& points)
{
    out << "<polyline fill=\"none\" stroke=\"#c0392b\" points=\"";
    for (const plot_point& point : points)
    {
        out << x_of(scale, point.from_s) << ',' << y_of(scale, point.offered)
            << ' ';
    }
    out << "\"/>\n";
}

void add_legend(std::ostringstream& out)
{
    constexpr double entry_width = 120.0;
    constexpr double box = 10.0;
    const double y = height - 20.0;
    double x = margin_left;
    const auto entry = [&](const char* colour, std::string_view name)
    {
        out << "<rect x=\"" << x << "\" y=\"" << y - box << "\" width=\"" << box
            << "\" height=\"" << box << "\" fill=\"" << colour << "\"/>\n";
        add_text(out, x + box + 4.0, y, "start", name);
        x += entry_width;
    };
    for (const auto& [priority, name] : enum_names<priority_class>::table)
    {
        entry(class_colours[static_cast<std::size_t>(priority)], name);
    }
    entry("#c0392b", "offered");
    entry("#fdebd0", "disturbed");
}

} // namespace

std::string to_svg(const scenario& plan, const experiment_figures& figures)
{
    const auto points = make_points(figures.bins);
    plot_scale scale;
    scale.duration_s = plan.duration_s;
    for (const plot_point& point : points)
    {
        scale.peak =
            std::max({scale.peak, point.offered, point.stacked.back()});
    }
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << width
        << ' ' << height << "\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    const auto [from_s, until_s] = figures.disturbed;
    out << "<rect x=\"" << x_of(scale, from_s) << "\" y=\"" << margin_top
        << "\" width=\"" << x_of(scale, until_s) - x_of(scale, from_s)
        << "\" height=\"" << height - margin_top - margin_bottom
        << "\" fill=\"#fdebd0\"/>\n";
    add_axes(out, scale);
    for (std::size_t level = 0; level < priority_class_count; ++level)
    {
        add_area(out, scale, points, level);
    }
    add_offered(out, scale, points);
    add_legend(out);
    add_text(
        out, margin_left, 24.0, "start",
        plan.name +
            ": successful calls per second by class, by time of sending");
    out << "</svg>\n";
    return out.str();
}

std::string to_html(const scenario& plan, const experiment_figures& figures)
{
    return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
           "<title>" +
           escape(plan.name) + "</title></head><body>\n" +
           to_svg(plan, figures) + "<pre>\n" + escape(to_table(plan, figures)) +
           "</pre>\n</body></html>\n";
}

} // namespace cyclamenhold
