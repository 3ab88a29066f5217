// How requests were answered, by class: what operators are told. The broker counts, where it answers.
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

// Only classes that the settings name or have named are counted, so nobody else can make one grow.
class RequestMetrics {
 public:
  // Classes named by the settings now in force. Those of before keep what was counted, as long as there are
  // no more than `kMost` in all.
  void name(const std::vector<std::string>& classes) {
    for (const std::string& one : classes) {
      if (by_class_.size() < kMaxClasses) by_class_.try_emplace(one);
    }
  }
  void answered(std::string_view call_class, bool served, bool refused) {
    const auto it = by_class_.find(call_class);
    if (it == by_class_.end()) return;
    ++(served ? it->second.served : refused ? it->second.rejected : it->second.failed);
  }
  const std::map<std::string, ClassMetrics, std::less<>>& by_class() const { return by_class_; }

  static constexpr std::size_t kMaxClasses = 256;

 private:
  std::map<std::string, ClassMetrics, std::less<>> by_class_;
};

}  // namespace graniterun::core
