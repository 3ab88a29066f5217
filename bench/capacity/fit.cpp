#include "bench/capacity/fit.h"

#include <algorithm>
#include <cmath>

namespace graniterun::capacity {
namespace {

// The value that the law is linear in: 0, ln n or n.
double regressor(Law law, double size) {
  return law == Law::constant ? 0.0 : law == Law::n ? size : std::log(size);
}

struct Line {
  double base{};
  double slope{};
  double at(Law law, double size) const { return base + slope * regressor(law, size); }
};

Line least_squares(Law law, const std::vector<Point>& points) {
  const auto n = static_cast<double>(points.size());
  double mean_x = 0.0;
  double mean_y = 0.0;
  for (const Point& p : points) {
    mean_x += regressor(law, p.size) / n;
    mean_y += median(p.runs) / n;
  }
  double xy = 0.0;
  double xx = 0.0;
  for (const Point& p : points) {
    const double x = regressor(law, p.size) - mean_x;
    xy += x * (median(p.runs) - mean_y);
    xx += x * x;
  }
  const double slope = xx > 0.0 ? xy / xx : 0.0;
  return {mean_y - slope * mean_x, slope};
}

}  // namespace

std::string_view to_string(Law law) {
  constexpr std::string_view kLawNames[] = {"constant", "log n", "n"};
  return kLawNames[static_cast<std::size_t>(law)];
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const std::size_t half = values.size() / 2;
  return values.size() % 2 == 1 ? values[half] : (values[half - 1] + values[half]) / 2.0;
}

double spread(const std::vector<double>& runs) {
  const auto [min, max] = std::minmax_element(runs.begin(), runs.end());
  const double middle = median(runs);
  return middle == 0.0 ? 0.0 : (*max - *min) / std::abs(middle);
}

double Fit::at(double size) const { return std::max(0.0, base + slope * regressor(law, size)); }

Fit fit(std::vector<Point> points) {
  std::sort(points.begin(), points.end(), [](const Point& a, const Point& b) { return a.size < b.size; });
  Fit best;
  best.largest = points.back().size;
  for (const Point& p : points) best.spread = std::max(best.spread, spread(p.runs));
  const std::vector<Point> training(points.begin(), points.end() - 1);
  const double held_out = median(points.back().runs);
  for (const Law law : kLaws) {
    if (training.size() < (law == Law::constant ? 1U : 2U)) continue;
    const double predicted = std::max(0.0, least_squares(law, training).at(law, best.largest));
    // A relative error needs a measured value other than 0: against 0 it counts as 0 if equal, else as 1.
    const double error = predicted == held_out ? 0.0
                         : held_out == 0.0     ? 1.0
                                               : std::abs(predicted - held_out) / std::abs(held_out);
    best.errors[static_cast<std::size_t>(law)] = error;
    if (!best.error || error < *best.error - 1e-9) {
      best.error = error;
      best.law = law;
    }
  }
  const Line line = least_squares(best.law, points);
  best.base = line.base;
  best.slope = line.slope;
  return best;
}

}  // namespace graniterun::capacity
