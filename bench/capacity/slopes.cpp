#include "bench/capacity/slopes.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>
#include <sstream>

namespace graniterun::capacity {
namespace {

using nlohmann::json;

std::optional<double> number_of(std::string_view text) {
  double value = 0.0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return {};
  return value;
}

// Removes the size suffix from a name and returns the size; 0 if there is none.
double remove_size_suffix(std::string& name) {
  for (const std::string_view mark : {"_at_", "_depth_"}) {
    const auto at = name.rfind(mark);
    if (at == std::string::npos) continue;
    const auto size = number_of(std::string_view(name).substr(at + mark.size()));
    if (!size) continue;
    name.resize(at);
    return *size;
  }
  return 0.0;
}

double rounded(double value) {
  std::ostringstream text;
  text.precision(6);
  text << value;
  return std::stod(text.str());
}

}  // namespace

Run read_run(std::string_view text, const std::string& file) {
  Run run;
  std::istringstream lines{std::string(text)};
  for (std::string line; std::getline(lines, line);) {
    constexpr std::string_view kCommand = "# command: ";
    constexpr std::string_view kRevision = "# revision: ";
    if (line.starts_with(kCommand)) run.command = line.substr(kCommand.size());
    if (line.starts_with(kRevision)) run.revision = line.substr(kRevision.size());
    if (line.starts_with('#')) continue;
    std::istringstream fields(line);
    std::string name;
    std::string value;
    std::string unit;
    if (!(fields >> name >> value >> unit)) continue;
    const auto figure = number_of(value);
    if (!figure) continue;
    Run::Line read;
    read.size = remove_size_suffix(name);
    read.id = name;
    read.value = *figure;
    read.unit = unit;
    run.lines.push_back(std::move(read));
  }
  if (run.command.empty() || run.revision.empty())
    throw BadInput(file + ": header '# command: ' or '# revision: ' is missing");
  if (run.lines.empty()) throw BadInput(file + ": contains no line with a figure");
  return run;
}

Slopes collect_slopes(const std::vector<Run>& runs, const json& listed) {
  Slopes slopes;
  for (const Run& run : runs) {
    for (const Run::Line& line : run.lines) {
      if (!listed.contains(line.id)) continue;
      const json& about = listed[line.id];
      const auto [it, inserted] = slopes.try_emplace(line.id);
      Slope& slope = it->second;
      if (inserted) {
        slope.per = about.at("per").get<std::string>();
        slope.unit = about.at("unit").get<std::string>();
        slope.command = run.command;
        slope.revision = run.revision;
      }
      if (line.unit != slope.unit)
        throw BadInput(line.id + " has the unit " + line.unit + " instead of " + slope.unit);
      if (slope.command != run.command) throw BadInput(line.id + " comes from two commands");
      if (slope.revision != run.revision) throw BadInput(line.id + " comes from two revisions");
      if (line.unit == "ms" && line.value < 0.0) {
        ++slope.failed;
        continue;
      }
      const auto point = std::find_if(slope.points.begin(), slope.points.end(),
                                      [&](const Point& p) { return p.size == line.size; });
      if (point == slope.points.end()) {
        slope.points.push_back({line.size, {line.value}});
      } else {
        point->runs.push_back(line.value);
      }
    }
  }
  std::erase_if(slopes, [](const auto& one) { return one.second.points.empty(); });
  for (auto& [id, slope] : slopes) {
    std::sort(slope.points.begin(), slope.points.end(),
              [](const Point& a, const Point& b) { return a.size < b.size; });
    slope.fit = fit(slope.points);
  }
  return slopes;
}

std::pair<double, bool> Slope::at(double size) const {
  const auto above =
      std::find_if(points.begin(), points.end(), [&](const Point& p) { return p.size >= size; });
  if (above == points.end()) return {fit.at(size), false};
  const double high = median(above->runs);
  if (above->size == size) return {high, true};
  if (above == points.begin()) {
    const double predicted = fit.at(size);
    return {predicted > 0.0 ? predicted : high, false};
  }
  const Point& below = *std::prev(above);
  const double low = median(below.runs);
  return {low + (high - low) * (size - below.size) / (above->size - below.size), true};
}

json to_json(const Slopes& slopes) {
  json file = json::object();
  for (const auto& [id, s] : slopes) {
    json& one = file[id];
    one["per"] = s.per;
    one["unit"] = s.unit;
    one["command"] = s.command;
    one["revision"] = s.revision;
    one["points"] = json::array();
    for (const Point& p : s.points) one["points"].push_back({{"size", p.size}, {"runs", p.runs}});
    one["law"] = to_string(s.fit.law);
    one["base"] = rounded(s.fit.base);
    one["slope"] = rounded(s.fit.slope);
    if (s.failed > 0) one["without_end"] = s.failed;
    one["spread"] = rounded(s.fit.spread);
    one["held_out"] = json::object();
    for (const Law law : kLaws) {
      if (const auto error = s.fit.errors[static_cast<std::size_t>(law)])
        one["held_out"][std::string(to_string(law))] = rounded(*error);
    }
  }
  return file;
}

Slopes parse_slopes(const json& file) {
  Slopes slopes;
  try {
    for (const auto& [id, one] : file.items()) {
      Slope s;
      s.per = one.at("per").get<std::string>();
      s.unit = one.at("unit").get<std::string>();
      s.command = one.at("command").get<std::string>();
      s.revision = one.at("revision").get<std::string>();
      s.failed = one.value("without_end", std::size_t{0});
      for (const json& object : one.at("points"))
        s.points.push_back({object.at("size").get<double>(), object.at("runs").get<std::vector<double>>()});
      if (s.points.empty() ||
          std::any_of(s.points.begin(), s.points.end(), [](const Point& p) { return p.runs.empty(); }))
        throw BadInput("the slope " + id + " has a size without a run");
      s.fit = fit(s.points);
      slopes.emplace(id, std::move(s));
    }
  } catch (const json::exception& error) {
    throw BadInput(std::string("the slopes are malformed: ") + error.what());
  }
  if (to_json(slopes) != file)
    throw BadInput(
        "the stored laws do not match their points: regenerate the slopes from the runs (make capacity)");
  return slopes;
}

}  // namespace graniterun::capacity
