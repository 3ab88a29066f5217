#include "call_gapping/hot_numbers.h"

#include <algorithm>
#include <cmath>

namespace graniterun::call_gapping {
namespace {

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

// Units grow by e once per `memory`; well before a double can't hold them they are brought down.
constexpr double kMaxExponent = 200.0;

}  // namespace

double HotNumbers::unit(Time now) const {
  return std::exp(std::max(0.0, seconds(now - base_) / seconds(settings_.rate_window)));
}

void HotNumbers::renormalize(Time now) {
  if (base_ == Time{}) base_ = now;
  if (seconds(now - base_) / seconds(settings_.rate_window) < kMaxExponent) return;
  const double by = 1.0 / unit(now);
  order_.clear();
  for (auto& [number, e] : entries_) {
    e.count *= by;
    e.error *= by;
    order_.emplace(e.count, number);
  }
  base_ = now;
}

void HotNumbers::record_call(Time now, std::string_view number) {
  renormalize(now);
  std::string key(number);
  const double one = unit(now);
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    Entry fresh;
    if (entries_.size() >= kMaxEntries) {
      // The least called makes room. One that is hot stays until it was told that it is so no more.
      auto least = order_.begin();
      while (least != order_.end() && entries_.at(least->second).hot) ++least;
      if (least == order_.end()) return;
      fresh.count = fresh.error = least->first;
      entries_.erase(least->second);
      order_.erase(least);
    }
    it = entries_.emplace(std::move(key), fresh).first;
  } else {
    order_.erase({it->second.count, it->first});
  }
  it->second.count += one;
  order_.emplace(it->second.count, it->first);
}

HotNumber HotNumbers::describe(Time now, const std::string& number, const Entry& e) const {
  // A steady rate r adds up to r x memory units.
  const double per = unit(now) * seconds(settings_.rate_window);
  return {number, e.count / per, e.error / per, e.above.value_or(now), e.gapped};
}

std::vector<HotNumbers::Change> HotNumbers::update(Time now) {
  std::vector<Change> changes;
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    const HotNumber state = describe(now, it->first, entry);
    update_thresholds(now, state, entry);
    update_state(now, it->first, entry, changes);
    if (!entry.hot && state.rate * seconds(settings_.rate_window) < 0.1) {  // long not called
      order_.erase({entry.count, it->first});
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
  return changes;
}

// Since when it has been over the upper threshold by what is certain, or under the lower one.
void HotNumbers::update_thresholds(Time now, const HotNumber& state, Entry& entry) const {
  const double certain = state.rate - state.error;
  if (certain >= settings_.hot_threshold) {
    if (!entry.above) entry.above = now;
    entry.below.reset();
  } else if (state.rate < settings_.cool_threshold) {
    if (!entry.below) entry.below = now;
  } else {
    entry.below.reset();
  }
  if (!entry.hot && certain < settings_.hot_threshold) entry.above.reset();
}

void HotNumbers::update_state(Time now, const std::string& number, Entry& entry,
                              std::vector<Change>& changes) {
  const auto add = [&](Change::What what) { changes.push_back({what, describe(now, number, entry)}); };
  if (!entry.hot && entry.above && now - *entry.above >= settings_.hot_duration) {
    entry.hot = true;
    add(Change::What::hot);
  }
  if (entry.hot && !entry.gapped && !entry.below && gapped_ < settings_.max_gaps) {
    entry.gapped = true;
    ++gapped_;
    add(Change::What::gap);
  }
  if (!entry.hot || !entry.below || now - *entry.below < settings_.cool_duration) return;
  if (entry.gapped) {
    --gapped_;
    add(Change::What::lift);
  }
  entry.hot = entry.gapped = false;
  entry.above.reset();
  add(Change::What::cool);
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
