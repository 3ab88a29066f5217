// The sums of docs/CAPACITY.md: what each part of control costs at the size of the target, worked out from
// measured slopes and from what the target and the assumptions beside it say. Pure.
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

// A figure with what it may be by the error and the spread of its slopes, and the slopes that no run has
// given: it holds at least `value` then.
struct Figure {
  double value{};
  double low{};
  double high{};
  std::set<std::string> from{};     // slopes
  std::set<std::string> missing{};  // slopes
  bool known() const { return missing.empty(); }
  // Not known, and nothing of it is.
  bool blank() const { return !known() && from.empty(); }
};
Figure exact(double value);
Figure operator+(const Figure& a, const Figure& b);
Figure operator*(const Figure& a, const Figure& b);  // of figures that are not below 0
inline Figure operator*(const Figure& a, double b) { return a * exact(b); }

enum class Fits { yes, no, not_known };
struct Verdict {
  Fits fits{};
  double times{};  // yes: the limit is so many times the figure; no: the figure is so many times the limit
  std::string text{};
};
// Yes or no only where the slopes' error and spread leave no doubt; no also where what is known is too much
// already. A figure that no run stands behind is not known.
Verdict against(const Figure& figure, double limit, const std::string& of);
// Of a bound and what it has to hold, both exact.
Verdict within_bound(double needed, double bound, const std::string& name);
// The one that decides: the worst no, else not known, else the yes with the least margin.
Verdict worst(const std::vector<Verdict>& all);
// Of the one that decides; where that is a no, of every no, the worst first.
std::string told_of(std::vector<Verdict> all);

// 1,234 and 0.0123: three digits.
std::string text_of(double value);
std::string text_of(const Figure& figure);

class Sums {
 public:
  // `target`: {"target": {name: {"value", "unit", "word"}}, "assumptions": the same, "bounds": [...]}. Throws
  // BadInput.
  Sums(Slopes slopes, const nlohmann::json& target);

  double given(const std::string& name) const;  // of the target, the assumptions, or worked out from them
  // A slope at a size; without a run: missing.
  Figure slope(const std::string& id, double size) const;
  // The first of them that a run has given; without any it is missing, and what is reckoned stands beside
  // that.
  Figure slope_or(const std::vector<std::string>& ids, double size, double reckoned) const;
  Tables tables() const;

 private:
  struct Row {
    std::string part{};
    std::string mechanism{};
    Figure state{};     // bytes
    Figure messages{};  // a second, in and out
    Figure bytes{};     // a second, in and out
    Figure cpu{};       // ms a second
    std::vector<Verdict> verdicts{};
    bool stands = true;  // something carries it today
    bool control = true;
    std::string family{};     // rows of one thing that is missing
    bool other_case = false;  // of a part that another row stands for: it is not summed up
  };
  std::string cells(const Row& row) const;
  std::vector<Row> gatekeeper() const;
  std::vector<Row> machines() const;
  Row sum_of(const std::vector<Row>& rows, bool traces) const;
  std::string moments() const;
  std::string readings() const;
  std::string bounds() const;
  std::string missing() const;
  Figure cpu_per_call(double calls) const;
  std::string membership_note() const;
  std::string slopes_table() const;
  std::string given_table(const char* part) const;
  std::string worked_out() const;
  std::string sum_gatekeeper() const;
  std::string sum_machines() const;
  Verdict bound(const std::string& name) const;

  Slopes slopes_;
  nlohmann::json target_;
  struct Worked {
    double value{};
    std::string how{};
  };
  std::map<std::string, Worked> worked_;
};

}  // namespace graniterun::capacity
