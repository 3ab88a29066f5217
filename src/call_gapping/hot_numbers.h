// Detects the most frequently called numbers in bounded memory: Space-Saving (Metwally et al.) with
// exponentially decaying counts, so that a count represents a call rate. The program may announce a gap for a
// number that has been hot for long enough, and lifts it once the calls have stopped. Pure: no I/O, no clock.
//
// Rates are only overestimated: a number that replaces the least called one inherits its count and reports
// that count as its error. A number becomes hot by its rate minus the error. Memory: kMaxEntries entries.
// Cost: O(log kMaxEntries) per call.
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
  double hot_threshold = 20.0;                        // calls per second
  Duration hot_duration = std::chrono::seconds(2);    // minimum time above the threshold to become hot
  double cool_threshold = 5.0;                        // calls per second
  Duration cool_duration = std::chrono::seconds(30);  // minimum time below the threshold to become cool
  std::size_t max_gaps = 0;  // maximum number of gaps announced by the program at a time; 0: none
  Duration rate_window = std::chrono::seconds(5);  // time constant of the decay
};

struct HotNumber {
  std::string number{};
  double rate{};     // upper bound of the calls per second
  double error{};    // part of `rate` that may be calls to other numbers
  Time hot_since{};  // when the rate rose above hot_threshold
  bool gapped{};     // the program has announced a gap for it
};

class HotNumbers {
 public:
  // Maximum number of called numbers that are tracked.
  static constexpr std::size_t kMaxEntries = 512;

  explicit HotNumbers(HotSettings settings) : settings_(settings) {}

  // Counts one call to the number.
  void record_call(Time now, std::string_view number);

  struct Change {
    enum class Kind : std::uint8_t { hot, cool, gap, lift } kind{};
    HotNumber number{};
  };
  // Returns the changes since the last update. To be called a few times per second.
  std::vector<Change> update(Time now);
  // The hot numbers, in descending order of rate.
  std::vector<HotNumber> hot(Time now) const;
  // Tracked numbers.
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    double count = 0.0;  // in units of unit(), which grows with time
    double error = 0.0;
    std::optional<Time> above_since{};  // begin of the time above hot_threshold
    std::optional<Time> below_since{};  // begin of the time below cool_threshold
    bool hot = false;
    bool gapped = false;
  };
  using Entries = std::unordered_map<std::string, Entry>;

  // What one call at `now` adds to a count. Growing units replace decaying all counts.
  double unit(Time now) const;
  // Scales all counts down before the units overflow.
  void renormalize(Time now);
  HotNumber describe(Time now, const std::string& number, const Entry& entry) const;
  void update_thresholds(Time now, const HotNumber& state, Entry& entry) const;
  void update_state(Time now, const std::string& number, Entry& entry, std::vector<Change>& changes);

  HotSettings settings_;
  Entries entries_;
  std::set<std::pair<double, std::string>> order_;  // by count
  Time unit_base_{};                                // when unit() was 1
  std::size_t gapped_ = 0;                          // entries with a gap
};

}  // namespace graniterun::call_gapping
