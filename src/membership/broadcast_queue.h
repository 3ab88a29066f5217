// The gossip queue: names of the records still to be broadcast, and how often each was transmitted. Records
// with the fewest transmissions go first; each is dropped after the number of transmissions that reaches a
// fleet of the given size (SWIM, section 4.1).
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace graniterun::membership {

class BroadcastQueue {
 public:
  // Queues a changed record; its transmission count starts again at 0.
  void add(const std::string& name) {
    remove(name);
    transmissions_.emplace(name, 0);
    order_.emplace(0, name);
  }
  void remove(const std::string& name) {
    const auto it = transmissions_.find(name);
    if (it == transmissions_.end()) return;
    order_.erase({it->second, name});
    transmissions_.erase(it);
  }
  bool empty() const { return transmissions_.empty(); }
  std::size_t size() const { return transmissions_.size(); }

  // Selects names for one datagram: `fits` is called for each in order and returns false when the datagram
  // has no room for it. Each selected name counts as transmitted once more, and is removed after
  // `transmission_limit` transmissions. O(log n) per selected name.
  template <class Fits>
  std::vector<std::string> next_batch(int transmission_limit, Fits fits) {
    std::vector<std::pair<int, std::string>> batch;
    for (const auto& entry : order_) {
      if (!fits(entry.second)) break;
      batch.push_back(entry);
    }
    std::vector<std::string> names;
    for (auto& [transmissions, name] : batch) {
      order_.erase({transmissions, name});
      if (transmissions + 1 < transmission_limit) {
        order_.emplace(transmissions + 1, name);
        transmissions_.at(name) = transmissions + 1;
      } else {
        transmissions_.erase(name);
      }
      names.push_back(std::move(name));
    }
    return names;
  }

 private:
  std::map<std::string, int> transmissions_;
  std::set<std::pair<int, std::string>> order_;  // by transmission count, then name
};

}  // namespace graniterun::membership
