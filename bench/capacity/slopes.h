// Measured slopes: out of the raw outputs of runs into one file, and out of that file again. No I/O.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bench/capacity/fit.h"

namespace graniterun::capacity {

// Its text is one plain line.
class BadInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One run of one command.
struct Run {
  std::string command{};
  std::string revision{};
  // A figure, its size (0: the name tells none), its value and unit.
  struct Line {
    std::string id{};
    double size{};
    double value{};
    std::string unit{};
  };
  std::vector<Line> lines{};
};
// `name value unit` lines under a head of `# command: ...` and `# revision: ...`; other lines are passed
// over. A size is the number at the end of a name, after `_at_` or `_depth_`. Throws BadInput where the head
// is not whole, or where no line is a figure.
Run read_run(std::string_view text, const std::string& file);

struct Slope {
  std::string per{};  // what it grows with: member, server, service, change, connection, gap, call, ...
  std::string unit{};
  std::string command{};
  std::string revision{};
  std::vector<Point> points{};
  std::size_t failed = 0;  // runs of a time that had no end: a value below 0 ms
  Fit fit{};
  // Between the sizes measured: between the medians on both sides. Beyond them: the law, and whether so.
  std::pair<double, bool> at(double size) const;  // value, inside
};
using Slopes = std::map<std::string, Slope>;

// `listed`: id -> {"per", "unit"}: which figures are kept. Every run of a figure must be of one command and
// one revision. Throws BadInput where not, or where a unit is another one.
Slopes slopes_of(const std::vector<Run>& runs, const nlohmann::json& listed);

nlohmann::json to_json(const Slopes& slopes);
// Fits anew: what stands in the file of laws and errors is told for people, and has to be the same. Throws
// BadInput.
Slopes slopes_in(const nlohmann::json& file);

}  // namespace graniterun::capacity
