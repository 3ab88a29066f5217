// Counts of served, rejected and failed requests by class, for the operators' metrics. The broker increments
// them when it answers a request.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace graniterun::core {

struct ClassMetrics {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
};

// Counts only classes that the settings name or have named, so that clients cannot add entries.
class RequestMetrics {
 public:
  // Adds the classes of the active settings, up to kMaxClasses in all. Classes of earlier settings keep their
  // counts.
  void add_classes(const std::vector<std::string>& classes) {
    for (const std::string& class_name : classes) {
      if (by_class_.size() < kMaxClasses) by_class_.try_emplace(class_name);
    }
  }
  void count_answer(std::string_view call_class, bool served, bool rejected) {
    const auto it = by_class_.find(call_class);
    if (it == by_class_.end()) return;
    ++(served ? it->second.served : rejected ? it->second.rejected : it->second.failed);
  }
  const std::map<std::string, ClassMetrics, std::less<>>& by_class() const { return by_class_; }

  static constexpr std::size_t kMaxClasses = 256;

 private:
  std::map<std::string, ClassMetrics, std::less<>> by_class_;
};

}  // namespace graniterun::core
