// Laws of growth: which of constant, log n and n a row of measured sizes follows, and how far it can be
// trusted. Pure.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <vector>

namespace graniterun::capacity {

struct Point {
  double size{};
  std::vector<double> runs{};  // one value a run
};

enum class Law { constant, log_n, n };
constexpr std::array<Law, 3> kLaws{Law::constant, Law::log_n, Law::n};
std::string_view word_of(Law law);

double median(std::vector<double> values);  // of one value at least
// Of the runs at one size: (most - least) / median; 0 where the median is 0.
double spread(const std::vector<double>& runs);

struct Fit {
  Law law{};
  double base{};
  double slope{};                 // times ln n or n; 0 for a constant
  std::optional<double> error{};  // relative, at the largest size, held out from the fit; none: too few sizes
  std::array<std::optional<double>, 3> errors{};  // the same of each law
  double spread{};                                // the largest of all sizes
  double largest{};                               // size that was measured
  double at(double size) const;                   // never below 0
};

// Least squares on the medians. Each law is fitted to all sizes but the largest and foretells that one; the
// law that does it best is fitted to all of them. A law with two unknowns needs three sizes, a constant two;
// where there is one size it is a constant without an error. Of two that do equally well the plainer one
// holds. `points` must have one point, each with one run, at least; their order is no matter.
Fit fit(std::vector<Point> points);

}  // namespace graniterun::capacity
