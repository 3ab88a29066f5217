// How long a suspect has to say otherwise: from the most, when one member doubts it, down to the least as
// others come to doubt it by themselves (Lifeguard, section IV-B).
#pragma once

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

#include "graniterun/controller.h"

namespace graniterun::membership {

class Suspicion {
 public:
  static constexpr std::size_t kConfirmations = 3;  // so many beyond the first bring it down to the least

  // `shrinks`: else it always lasts for the most.
  Suspicion(Time now, Duration least, Duration most, bool shrinks, const std::string& accuser)
      : started_at_(now),
        min_timeout_(least),
        max_timeout_(most),
        shrinking_(shrinks),
        suspecting_members_{accuser} {}

  // Whether it is news that this one doubts it too.
  bool confirm(const std::string& accuser) {
    return suspecting_members_.size() <= kConfirmations && suspecting_members_.insert(accuser).second;
  }
  Time deadline() const {
    if (!shrinking_) return started_at_ + max_timeout_;
    const double share =
        std::log(static_cast<double>(suspecting_members_.size())) / std::log(kConfirmations + 1.0);
    const auto cut =
        std::chrono::duration_cast<Duration>((max_timeout_ - min_timeout_) * std::min(1.0, share));
    return started_at_ + max_timeout_ - cut;
  }
  // What was not heard for so long does not count against it.
  void discount(Duration span) { started_at_ += span; }
  std::size_t suspecting_members() const { return suspecting_members_.size(); }

 private:
  Time started_at_;
  Duration min_timeout_;
  Duration max_timeout_;
  bool shrinking_;
  std::set<std::string> suspecting_members_;
};

}  // namespace graniterun::membership
