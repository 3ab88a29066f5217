// Named event counters of the process, and gauges.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace graniterun {

// A measured value at one moment, such as the call rate of a hot number.
struct Gauge {
  std::string name{};
  std::string unit{};
  double value{};
  std::vector<std::pair<std::string, std::string>> attributes{};
};

// Counters by name. A counter starts at 0 and only grows; one that was never incremented is not listed.
class Counters {
 public:
  void add(std::string_view name, std::uint64_t count = 1) {
    const auto it = values_.find(name);
    if (it == values_.end()) {
      values_.emplace(name, count);
    } else {
      it->second += count;
    }
  }
  std::uint64_t value(std::string_view name) const {
    const auto it = values_.find(name);
    return it == values_.end() ? 0 : it->second;
  }
  const std::map<std::string, std::uint64_t, std::less<>>& all() const { return values_; }

 private:
  std::map<std::string, std::uint64_t, std::less<>> values_;
};

}  // namespace graniterun
