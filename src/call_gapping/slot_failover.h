// Failover of slots: the slots of a gatekeeper whose process has ended are used by the next gatekeeper in
// turn, so that they are not lost until the configuration is edited. Pure: no I/O, no clock.
//
// A gatekeeper counts as ended when its port refuses connections: the kernel releases the port of a process
// that ends, but not of one that is stopped (SIGSTOP). The process that holds a gatekeeper's port may use its
// slots without agreement with anyone. No slot is used twice, with clocks at most kMaxClockSkew apart,
// because:
//   - a refusal proves that at some moment between probe and answer no process held the port;
//   - the slots that the ended process used, or ceded ahead, start before kTakeoverDelay after the first
//     refusal;
//   - a process that acquires the port uses no slot for kMaxCedeAhead, so a process that started and ended
//     between two refusals at most kMaxProbeGap apart has used none;
//   - a successor uses a slot only within kProbeValidity of sending a refused probe, which is before a
//     process started since then may use any;
//   - a successor takes over only if all gatekeepers from the owner to itself have ended, by the same rule;
//     slots that were taken over are not ceded.
// A process that is stopped or partitioned, or whose machine has failed, refuses nothing, so its slots stay
// unused.
#pragma once

#include <optional>
#include <vector>

#include "call_gapping/slots.h"

namespace graniterun::call_gapping {

class SlotFailover {
 public:
  // Maximum difference between the clocks of two gatekeepers.
  static constexpr Duration kMaxClockSkew = std::chrono::milliseconds(400);
  // Time from the sending of a refused probe during which the port counts as free.
  static constexpr Duration kProbeValidity = std::chrono::milliseconds(1200);
  // Maximum time from sending a refused probe to the next refusal in an unbroken series.
  static constexpr Duration kMaxProbeGap = std::chrono::milliseconds(1500);
  // Time from the first refusal to the first slot that may be taken over.
  static constexpr Duration kTakeoverDelay = std::chrono::milliseconds(2500);

  explicit SlotFailover(FleetPosition fleet) : fleet_(fleet), refusals_(fleet.size) {}

  // The port of the gatekeeper refused, at `now`, a probe sent at `probe_sent_at`.
  void mark_unreachable(Time now, std::uint32_t gatekeeper, Time probe_sent_at);
  // A message of the gatekeeper was received: its process runs.
  void mark_alive(std::uint32_t gatekeeper);
  // Whether this gatekeeper may use, at `now`, a slot of `owner` that started at `slot_start`.
  bool may_take_over(Time now, Time slot_start, std::uint32_t owner) const;
  // Gatekeepers whose ports are to be probed periodically: those directly before this one in turn that have
  // ended, and the first before them that has not.
  std::vector<std::uint32_t> ports_to_watch(Time now) const;
  // Number of gatekeepers whose slots this one uses at `now`.
  std::size_t taken_over(Time now) const;

 private:
  // An unbroken series of refused probes to one gatekeeper.
  struct RefusalSeries {
    Time first_refused_at{};
    Time last_probe_sent_at{};
  };
  // Whether the gatekeeper's port is known to be free at `now`.
  bool has_ended(Time now, std::uint32_t gatekeeper) const;

  FleetPosition fleet_;
  std::vector<std::optional<RefusalSeries>> refusals_;  // by index of the gatekeeper
};

}  // namespace graniterun::call_gapping
