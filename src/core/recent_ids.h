// Ids that were seen within a retention time, so that a repeat has no second effect. Bounded: beyond the
// maximum number the oldest are forgotten early.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "graniterun/controller.h"

namespace graniterun {

class RecentIds {
 public:
  RecentIds(Duration retention, std::size_t max_ids) : retention_(retention), max_ids_(max_ids) {}

  // Records the id. Returns whether it was not seen within the retention time before `now`.
  bool insert(Time now, const std::string& id) {
    while (!in_order_.empty() &&
           (now - in_order_.begin()->second.first > retention_ || in_order_.size() >= max_ids_)) {
      numbers_.erase(in_order_.begin()->second.second);
      in_order_.erase(in_order_.begin());
    }
    if (!numbers_.emplace(id, last_number_ + 1).second) return false;
    in_order_.emplace(++last_number_, std::pair(now, id));
    return true;
  }
  bool contains(Time now, const std::string& id) const {
    const auto it = numbers_.find(id);
    return it != numbers_.end() && now - in_order_.at(it->second).first <= retention_;
  }
  void erase(const std::string& id) {
    const auto it = numbers_.find(id);
    if (it == numbers_.end()) return;
    in_order_.erase(it->second);
    numbers_.erase(it);
  }
  std::size_t size() const { return numbers_.size(); }

 private:
  Duration retention_;
  std::size_t max_ids_;
  std::unordered_map<std::string, std::uint64_t> numbers_;
  std::map<std::uint64_t, std::pair<Time, std::string>> in_order_;
  std::uint64_t last_number_ = 0;
};

}  // namespace graniterun
