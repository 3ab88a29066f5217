// Capacity model behind docs/CAPACITY.md: computes the cost of each part of the control plane at the target
// size from measured slopes, the target's values and its assumptions, and compares it with limits. No I/O.
#pragma once

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bench/capacity/page.h"
#include "bench/capacity/slopes.h"

namespace graniterun::capacity {

// A figure with the range given by the error and spread of its slopes. If slopes are missing because no run
// measured them, `value` is a lower bound.
struct Figure {
  double value{};
  double low{};
  double high{};
  std::set<std::string> from{};     // ids of the slopes used
  std::set<std::string> missing{};  // ids of the slopes without a run
  bool known() const { return missing.empty(); }
  // No part of the figure is measured.
  bool blank() const { return !known() && from.empty(); }
};
Figure exact(double value);
Figure operator+(const Figure& a, const Figure& b);
Figure operator*(const Figure& a, const Figure& b);  // both must be at least 0
inline Figure operator*(const Figure& a, double b) { return a * exact(b); }

enum class LimitStatus { within, exceeded, unknown };
// Result of comparing a figure with a limit.
struct LimitCheck {
  LimitStatus status{};
  double ratio{};  // within: limit / figure; exceeded: figure / limit
  std::string text{};
};
// Compares the whole uncertainty range of a figure with a limit, which `of` names. `exceeded` also if the
// measured part alone exceeds the limit; `unknown` if the range spans the limit or no run supports the
// figure.
LimitCheck check_limit(const Figure& figure, double limit, const std::string& of);
// Compares a bound in the code with the size it has to support; both are exact.
LimitCheck check_bound(double needed, double bound, const std::string& name);
// Returns the check that decides: the exceeded one with the largest ratio, else an unknown one, else the one
// with the smallest margin.
LimitCheck worst(const std::vector<LimitCheck>& all);
// Text of the check that decides; if that one is exceeded, of all exceeded ones, the largest ratio first.
std::string describe_checks(std::vector<LimitCheck> all);

// Formats with three significant digits, and thousands separators: 1,234 and 0.0123.
std::string describe(double value);
std::string describe(const Figure& figure);

class CapacityModel {
 public:
  // `target`: {"target": {name: {"value", "unit", "word"}}, "assumptions": same form, "bounds": [...]}.
  // Throws BadInput.
  CapacityModel(Slopes slopes, const nlohmann::json& target);

  double given(const std::string& name) const;  // from the target, the assumptions, or derived
  // Value of a slope at a size; a slope without a run, or with a run that did not end, is listed as missing.
  Figure slope(const std::string& id, double size) const;
  // Value of the first slope of `ids` that was measured. Without any, the value is the estimate and the first
  // id is listed as missing.
  Figure slope_or(const std::vector<std::string>& ids, double size, double estimate) const;
  Tables tables() const;

 private:
  struct Row {
    std::string part{};
    std::string mechanism{};
    Figure state{};     // bytes
    Figure messages{};  // per second, in and out
    Figure bytes{};     // per second, in and out
    Figure cpu{};       // ms per second
    std::vector<LimitCheck> checks{};
    bool implemented = true;  // false: planned, nothing implements it yet
    bool control = true;
    std::string family{};      // groups rows that one missing feature would fix
    bool alternative = false;  // other load of a part already in the total: left out of it
  };
  std::string cells(const Row& row) const;
  std::vector<Row> gatekeeper_rows() const;
  std::vector<Row> machine_rows() const;
  Row total_of(const std::vector<Row>& rows, bool traces) const;
  std::string moments_table() const;
  std::string readings_table() const;
  std::string bounds_table() const;
  std::string shortfall_table() const;
  Figure cpu_per_call(double calls) const;
  std::string membership_note() const;
  std::string slopes_table() const;
  std::string given_table(const char* part) const;
  std::string derived_table() const;
  std::string gatekeeper_total() const;
  std::string machines_total() const;
  LimitCheck check_named_bound(const std::string& name) const;

  Slopes slopes_;
  nlohmann::json target_;
  struct DerivedValue {
    double value{};
    std::string how{};  // derivation, for the page
  };
  std::map<std::string, DerivedValue> derived_;
};

}  // namespace graniterun::capacity
