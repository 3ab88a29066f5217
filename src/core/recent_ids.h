// Ids that were seen within a retention time, so that a repeat has no second effect. Bounded: beyond the
// maximum number the oldest are forgotten early.
#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <utility>

#include "graniterun/controller.h"

namespace graniterun {

class RecentIds {
 public:
  RecentIds(Duration retention, std::size_t max_ids) : retention_(retention), max_ids_(max_ids) {}

  // Records the id. Returns whether it was not seen within the retention time before `now`.
  bool insert(Time now, const std::string& id) {
    while (!order_.empty() && (now - order_.front().first > retention_ || order_.size() >= max_ids_)) {
      ids_.erase(order_.front().second);
      order_.pop_front();
    }
    if (!ids_.insert(id).second) return false;
    order_.emplace_back(now, id);
    return true;
  }

 private:
  Duration retention_;
  std::size_t max_ids_;
  std::set<std::string> ids_;
  std::deque<std::pair<Time, std::string>> order_;
};

}  // namespace graniterun
