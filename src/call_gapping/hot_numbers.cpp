#include "call_gapping/hot_numbers.h"

#include <algorithm>
#include <cmath>

namespace graniterun::call_gapping {
namespace {

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

// The unit grows by a factor of e per rate window. Counts are scaled down at e^200, far below the maximum of
// a double (about e^709).
constexpr double kMaxExponent = 200.0;

}  // namespace

double HotNumbers::unit(Time now) const {
  return std::exp(std::max(0.0, seconds(now - unit_base_) / seconds(settings_.rate_window)));
}

void HotNumbers::renormalize(Time now) {
  if (unit_base_ == Time{}) unit_base_ = now;
  if (seconds(now - unit_base_) / seconds(settings_.rate_window) < kMaxExponent) return;
  const double factor = 1.0 / unit(now);
  order_.clear();
  for (auto& [number, e] : entries_) {
    e.count *= factor;
    e.error *= factor;
    order_.emplace(e.count, number);
  }
  unit_base_ = now;
}

void HotNumbers::record_call(Time now, std::string_view number) {
  renormalize(now);
  std::string key(number);
  const double increment = unit(now);
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    Entry new_entry;
    if (entries_.size() >= kMaxEntries) {
      // The least called number is replaced. Hot numbers are kept until update() has reported them as cool.
      auto lowest = order_.begin();
      while (lowest != order_.end() && entries_.at(lowest->second).hot) ++lowest;
      if (lowest == order_.end()) return;
      new_entry.count = new_entry.error = lowest->first;
      entries_.erase(lowest->second);
      order_.erase(lowest);
    }
    it = entries_.emplace(std::move(key), new_entry).first;
  } else {
    order_.erase({it->second.count, it->first});
  }
  it->second.count += increment;
  order_.emplace(it->second.count, it->first);
}

HotNumber HotNumbers::describe(Time now, const std::string& number, const Entry& entry) const {
  // A constant rate r adds up to a count of r x rate window x unit.
  const double count_per_rate = unit(now) * seconds(settings_.rate_window);
  return {number, entry.count / count_per_rate, entry.error / count_per_rate, entry.above_since.value_or(now),
          entry.gapped};
}

std::vector<HotNumbers::Change> HotNumbers::update(Time now) {
  std::vector<Change> changes;
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    const HotNumber state = describe(now, it->first, entry);
    update_thresholds(now, state, entry);
    update_state(now, it->first, entry, changes);
    if (!entry.hot && state.rate * seconds(settings_.rate_window) < 0.1) {  // not called for a long time
      order_.erase({entry.count, it->first});
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
  return changes;
}

// Updates since when the rate has been above hot_threshold even without its error, or below cool_threshold.
void HotNumbers::update_thresholds(Time now, const HotNumber& state, Entry& entry) const {
  const double guaranteed_rate = state.rate - state.error;
  if (guaranteed_rate >= settings_.hot_threshold) {
    if (!entry.above_since) entry.above_since = now;
    entry.below_since.reset();
  } else if (state.rate < settings_.cool_threshold) {
    if (!entry.below_since) entry.below_since = now;
  } else {
    entry.below_since.reset();
  }
  if (!entry.hot && guaranteed_rate < settings_.hot_threshold) entry.above_since.reset();
}

void HotNumbers::update_state(Time now, const std::string& number, Entry& entry,
                              std::vector<Change>& changes) {
  const auto add = [&](Change::Kind kind) { changes.push_back({kind, describe(now, number, entry)}); };
  if (!entry.hot && entry.above_since && now - *entry.above_since >= settings_.hot_duration) {
    entry.hot = true;
    add(Change::Kind::hot);
  }
  if (entry.hot && !entry.gapped && !entry.below_since && gapped_ < settings_.max_gaps) {
    entry.gapped = true;
    ++gapped_;
    add(Change::Kind::gap);
  }
  if (!entry.hot || !entry.below_since || now - *entry.below_since < settings_.cool_duration) return;
  if (entry.gapped) {
    --gapped_;
    add(Change::Kind::lift);
  }
  entry.hot = entry.gapped = false;
  entry.above_since.reset();
  add(Change::Kind::cool);
}

std::vector<HotNumber> HotNumbers::hot(Time now) const {
  std::vector<HotNumber> all;
  for (const auto& [number, e] : entries_) {
    if (e.hot) all.push_back(describe(now, number, e));
  }
  std::sort(all.begin(), all.end(), [](const HotNumber& a, const HotNumber& b) { return a.rate > b.rate; });
  return all;
}

}  // namespace graniterun::call_gapping
