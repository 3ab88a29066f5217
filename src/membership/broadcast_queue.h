// Which names' records are to be told on, and how often each has been told: those told least go first, and
// each is told about as often as it takes to reach a fleet of that size (SWIM, section 4.1).
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace graniterun::membership {

class BroadcastQueue {
 public:
  // News of that name: what was told of it before is told no more.
  void add(const std::string& name) {
    drop(name);
    transmissions_.emplace(name, 0);
    order_.emplace(0, name);
  }
  void drop(const std::string& name) {
    const auto it = transmissions_.find(name);
    if (it == transmissions_.end()) return;
    order_.erase({it->second, name});
    transmissions_.erase(it);
  }
  bool empty() const { return transmissions_.empty(); }
  std::size_t size() const { return transmissions_.size(); }

  // Takes names for one datagram: `fits` is asked of each and says whether it has room there. Each taken one
  // counts as told once more, and goes when it has been told `most` times. O(log n) a name taken.
  template <class Fits>
  std::vector<std::string> next_batch(int most, Fits fits) {
    std::vector<std::pair<int, std::string>> taken;
    for (const auto& next : order_) {
      if (!fits(next.second)) break;
      taken.push_back(next);
    }
    std::vector<std::string> names;
    for (auto& [times, name] : taken) {
      order_.erase({times, name});
      if (times + 1 < most) {
        order_.emplace(times + 1, name);
        transmissions_.at(name) = times + 1;
      } else {
        transmissions_.erase(name);
      }
      names.push_back(std::move(name));
    }
    return names;
  }

 private:
  std::map<std::string, int> transmissions_;
  std::set<std::pair<int, std::string>> order_;
};

}  // namespace graniterun::membership
