// A queue of deadlines, one for each key, in order of time. Setting, clearing and popping cost O(log n) in
// the number of entries. A key has at most one entry, so the bound on the keys also bounds the queue.
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
  // Sets the deadline of the key and replaces any earlier one.
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
  // Removes and returns the key with the earliest deadline, if that is at or before `now`.
  std::optional<Key> pop_due(Time now) {
    if (order_.empty() || order_.begin()->first > now) return std::nullopt;
    const Key key = order_.begin()->second;
    at_.erase(key);
    order_.erase(order_.begin());
    return key;
  }
  // The earliest deadline.
  std::optional<Time> next() const {
    return order_.empty() ? std::nullopt : std::optional(order_.begin()->first);
  }
  std::size_t size() const { return at_.size(); }

 private:
  std::map<Key, Time> at_;
  std::set<std::pair<Time, Key>> order_;
};

}  // namespace graniterun
