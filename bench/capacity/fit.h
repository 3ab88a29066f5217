// Chooses the law of growth (constant, log n or n) that a figure measured at several sizes follows, and
// estimates the error of its extrapolation. No I/O.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <vector>

namespace graniterun::capacity {

struct Point {
  double size{};
  std::vector<double> runs{};  // one value per run
};

enum class Law { constant, log_n, n };
constexpr std::array<Law, 3> kLaws{Law::constant, Law::log_n, Law::n};
std::string_view to_string(Law law);

double median(std::vector<double> values);  // `values` must not be empty
// Spread of the runs at one size: (max - min) / |median|; 0 if the median is 0.
double spread(const std::vector<double>& runs);

struct Fit {
  Law law{};
  double base{};
  double slope{};                 // factor of ln n or n; 0 for a constant
  std::optional<double> error{};  // relative, at the held-out largest size; none: too few sizes
  std::array<std::optional<double>, 3> errors{};  // the same error for each law, indexed by Law
  double spread{};                                // largest spread over all sizes
  double largest{};                               // largest size measured
  double at(double size) const;                   // predicted value, never below 0
};

// Least squares on the medians. Each law is fitted to all sizes but the largest and predicts that one; the
// law with the smallest error is then fitted to all sizes. A law with two unknowns needs three sizes, a
// constant two; a single size gives a constant without an error. Of two laws with equal error the simpler one
// is chosen. `points` must not be empty and each needs at least one run; their order does not matter.
Fit fit(std::vector<Point> points);

}  // namespace graniterun::capacity
