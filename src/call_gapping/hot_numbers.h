// The called numbers that most calls go to, found in bounded memory: Space-Saving (Metwally et al.) over
// counts that decay, so that a count stands for a rate. A number that is hot for long enough may be given a
// gap by the program itself; it is lifted once the calls stay away. Pure.
//
// Errs upwards only: a number that takes the place of the least called inherits its count, and is told with
// that as its error; it counts as hot by what is certain. Memory: kMost entries; O(log kMost) a call.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::call_gapping {

struct HotSettings {
  double hot_threshold = 20.0;  // calls a second
  Duration hot_duration = std::chrono::seconds(2);
  double cool_threshold = 5.0;
  Duration cool_duration = std::chrono::seconds(30);
  std::size_t max_gaps = 0;  // announced by the program itself at a time; 0: it announces none
  Duration rate_window = std::chrono::seconds(5);  // over which rates are taken
};

struct HotNumber {
  std::string number{};
  double rate{};   // calls a second, at most
  double error{};  // of which so many may be others'
  Time since{};    // hot, without a break
  bool gapped{};   // by the program itself
};

class HotNumbers {
 public:
  static constexpr std::size_t kMaxEntries = 512;

  explicit HotNumbers(HotSettings settings) : settings_(settings) {}

  void record_call(Time now, std::string_view number);

  struct Change {
    enum class What : std::uint8_t { hot, cool, gap, lift } what{};
    HotNumber number{};
  };
  // To be called now and then, some times a second: what has become hot or cool since.
  std::vector<Change> update(Time now);
  // Those that are hot, the hottest first.
  std::vector<HotNumber> hot(Time now) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    double count = 0.0;  // in units that grow with time
    double error = 0.0;
    std::optional<Time> above{};  // since when it is over the threshold
    std::optional<Time> below{};  // since when it is under the lower one
    bool hot = false;
    bool gapped = false;
  };
  using Entries = std::unordered_map<std::string, Entry>;

  double unit(Time now) const;
  void renormalize(Time now);
  HotNumber describe(Time now, const std::string& number, const Entry& e) const;
  void update_thresholds(Time now, const HotNumber& state, Entry& entry) const;
  void update_state(Time now, const std::string& number, Entry& entry, std::vector<Change>& changes);

  HotSettings settings_;
  Entries entries_;
  std::set<std::pair<double, std::string>> order_;  // by count
  Time base_{};                                     // when a call counted 1
  std::size_t gapped_ = 0;
};

}  // namespace graniterun::call_gapping
