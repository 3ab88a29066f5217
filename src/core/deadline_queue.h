// What falls due when, in order of time. Setting, clearing and taking out cost O(log n) of what it holds; it
// holds one entry a key, so it is bounded by whatever bounds the keys.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "graniterun/controller.h"

namespace graniterun {

template <class Key>
class DeadlineQueue {
 public:
  // Falls due at `at`; what was set for the key before is void.
  void set(const Key& key, Time at) {
    clear(key);
    at_.emplace(key, at);
    order_.emplace(at, key);
  }
  void clear(const Key& key) {
    const auto it = at_.find(key);
    if (it == at_.end()) return;
    order_.erase({it->second, key});
    at_.erase(it);
  }
  // The earliest key that is due by `now`, taken out.
  std::optional<Key> pop_due(Time now) {
    if (order_.empty() || order_.begin()->first > now) return std::nullopt;
    const Key key = order_.begin()->second;
    at_.erase(key);
    order_.erase(order_.begin());
    return key;
  }
  // When the next one falls due.
  std::optional<Time> next() const {
    return order_.empty() ? std::nullopt : std::optional(order_.begin()->first);
  }
  std::size_t size() const { return at_.size(); }

 private:
  std::map<Key, Time> at_;
  std::set<std::pair<Time, Key>> order_;
};

}  // namespace graniterun
