// The timeout of a suspicion: starts at the maximum, when one member suspects the peer, and shrinks to the
// minimum as other members confirm it independently (Lifeguard, section IV-B).
#pragma once

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

#include "graniterun/controller.h"

namespace graniterun::membership {

class Suspicion {
 public:
  // Confirmations, beyond the first suspecting member, that reduce the timeout to its minimum.
  static constexpr std::size_t kMaxConfirmations = 3;

  // Without `shrinking` the timeout stays at `max_timeout`.
  Suspicion(Time now, Duration min_timeout, Duration max_timeout, bool shrinking,
            const std::string& suspecting_member)
      : started_at_(now),
        min_timeout_(min_timeout),
        max_timeout_(max_timeout),
        shrinking_(shrinking),
        suspecting_members_{suspecting_member} {}

  // Adds a confirmation. Returns false if that member has suspected the peer before, or if the timeout is at
  // its minimum already.
  bool confirm(const std::string& suspecting_member) {
    return suspecting_members_.size() <= kMaxConfirmations &&
           suspecting_members_.insert(suspecting_member).second;
  }
  Time deadline() const {
    if (!shrinking_) return started_at_ + max_timeout_;
    const double fraction =
        std::log(static_cast<double>(suspecting_members_.size())) / std::log(kMaxConfirmations + 1.0);
    const auto reduction =
        std::chrono::duration_cast<Duration>((max_timeout_ - min_timeout_) * std::min(1.0, fraction));
    return started_at_ + max_timeout_ - reduction;
  }
  // Moves the deadline by a time in which this process was paused and could not receive a refutation.
  void extend(Duration span) { started_at_ += span; }
  std::size_t suspecting_members() const { return suspecting_members_.size(); }

 private:
  Time started_at_;
  Duration min_timeout_;
  Duration max_timeout_;
  bool shrinking_;
  std::set<std::string> suspecting_members_;
};

}  // namespace graniterun::membership
