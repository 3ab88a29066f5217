// Measured slopes of docs/CAPACITY.md: collects them from the raw outputs of runs and converts them to and
// from the stored file (slopes.json). No I/O.
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

// Invalid input; what() is a single line for people.
class BadInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Output of one run of one command.
struct Run {
  std::string command{};
  std::string revision{};
  // A figure; `size` is 0 if the name carries none.
  struct Line {
    std::string id{};
    double size{};
    double value{};
    std::string unit{};
  };
  std::vector<Line> lines{};
};
// Parses `name value unit` lines below the headers `# command: ...` and `# revision: ...`; ignores other
// lines. A size is the number at the end of a name, after `_at_` or `_depth_`. Throws BadInput if a header is
// missing or no line is a figure.
Run read_run(std::string_view text, const std::string& file);

struct Slope {
  // Quantity that `size` counts: member, server, service, change, connection, gap, call, ...
  std::string per{};
  std::string unit{};
  std::string command{};
  std::string revision{};
  std::vector<Point> points{};
  std::size_t failed = 0;  // runs in which a measured time did not end, printed as a value below 0 ms
  Fit fit{};
  // Value at a size. Within the measured sizes it interpolates between the neighbouring medians; outside them
  // it follows the law.
  std::pair<double, bool> at(double size) const;  // value, whether `size` is within
};
using Slopes = std::map<std::string, Slope>;

// `listed` maps the ids of the figures to collect to {"per", "unit"}. All runs of a figure must come from one
// command and one revision. Throws BadInput if they do not, or if a unit differs from the listed one.
Slopes collect_slopes(const std::vector<Run>& runs, const nlohmann::json& listed);

nlohmann::json to_json(const Slopes& slopes);
// Recomputes the laws and errors from the points; the stored ones are for readers and must be equal. Throws
// BadInput.
Slopes parse_slopes(const nlohmann::json& file);

}  // namespace graniterun::capacity
