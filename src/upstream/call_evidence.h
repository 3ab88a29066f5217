// Until when the established calls of one setup server may stand, by what its process has shown. Two things
// are told apart: that a process serves its calls now (it has sent a notification or a release), and that it
// is the same process as before (a byte on a connection of before, or a release of a call of before). A
// rejection or a connect shows neither, and a success stands for its own call only: what is left of a process
// may finish the setups that it has. Input: messages, bytes and failed connects, with their connection's
// number in the order in which connections are started. It does no I/O and reads no clock. Invariant: a call
// is stale at the latest kMaxEvidenceAge after it was established or its own process has last shown that it
// serves calls. docs/design/server-watch.md.
#pragma once

#include <optional>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::upstream {

// Maximum time from the last evidence that a call stands until it counts as over. The protocol allows 8 s
// from a call's end, which is not before that evidence; the rest is for transmission, lag and the watch's
// tick.
constexpr Duration kMaxEvidenceAge = std::chrono::milliseconds(7400);

constexpr bool is_stale(Duration evidence_age) { return evidence_age > kMaxEvidenceAge; }

class CallEvidence {
 public:
  void connection_opened(std::uint32_t connection);
  // The process that had accepted that connection still runs.
  void connection_alive(std::uint32_t connection);
  // A message that only a process with calls sends has come on that connection.
  void calls_served(Time now, std::uint32_t connection);
  // A call was established on that connection.
  void call_established(Time now, std::uint32_t connection);
  // The process still has a call that was established at that time.
  void call_known(Time established_at);
  // A connect has failed: connections that are started later may lead to another process.
  void process_in_doubt(Time now, std::uint32_t last_started);

  bool in_doubt() const { return !doubts_.empty(); }
  // Time since the process to which new connections lead has last shown that it serves calls, or since it had
  // none.
  Duration age(Time now) const { return now - newest_; }
  // The calls that were established before the returned time are stale; none: no call is.
  std::optional<Time> stale_before(Time now) const;
  // No call was established before that time, or all such calls are ended.
  void no_calls_before(Time time);

 private:
  // Calls established until `since` may be at a process that has ended.
  struct Doubt {
    Time since{};
    std::uint32_t last_started{};  // the last connection that leads to that process
    Time newest{};                 // the last evidence of that process
    bool later_opened = false;     // a connection that was started later has come up
  };
  std::vector<Doubt> doubts_{};  // oldest first; at most kMaxDoubts
  Time newest_{};                // the last evidence of the process after all of them
};

}  // namespace graniterun::upstream
