// The slots of a gatekeeper that is gone go to the next one in turn, so that they are not lost until somebody
// edits files. Pure.
//
// What counts as gone is a port that refuses: the kernel gives a process' port back when it ends, and not
// while it is stopped. Who holds the port may use its own slots; nobody else's word is needed, and no
// agreement. Why no slot is used twice, with clocks at most kMaxClockSkew apart:
//   - a refusal proves that at some moment between the asking and the answer nobody held the port;
//   - what the process that is gone used, or ceded ahead, lies before kTakeoverDelay after the first refusal;
//   - a process that takes the port uses no slot for kMaxCedeAhead, so one that came and went between two
//   refusals no
//     more than kMaxProbeGap apart has used none;
//   - an heir uses a slot only within kProbeValidity of asking, before a process that has come since may use
//   any;
//   - to be the heir, all between the owner and oneself must be gone in the same way. What was inherited is
//   not ceded.
// A process that is stopped, cut off, or on a machine that vanished refuses nothing: its slots wait for it.
#pragma once

#include <optional>
#include <vector>

#include "call_gapping/slots.h"

namespace graniterun::call_gapping {

class SlotFailover {
 public:
  static constexpr Duration kMaxClockSkew = std::chrono::milliseconds(400);
  static constexpr Duration kProbeValidity = std::chrono::milliseconds(1200);
  static constexpr Duration kMaxProbeGap = std::chrono::milliseconds(1500);
  static constexpr Duration kTakeoverDelay = std::chrono::milliseconds(2500);

  explicit SlotFailover(Fleet fleet) : fleet_(fleet), absences_(fleet.size) {}

  // The port of that gatekeeper was asked at `asked`, and the refusal came at `now`.
  void mark_unreachable(Time now, std::uint32_t who, Time asked);
  // Something was heard of it.
  void mark_alive(std::uint32_t who);
  // Whether this gatekeeper may use a slot of `owner` now; the slot began at `began`.
  bool may_take_over(Time now, Time began, std::uint32_t owner) const;
  // Whose ports are to be asked, again and again: those before this one that are gone, and the first that is
  // not.
  std::vector<std::uint32_t> ports_to_watch(Time now) const;
  // Those whose slots this one has now.
  std::size_t taken_over(Time now) const;

 private:
  struct Absence {
    Time since{};          // of the first refusal in an unbroken row
    Time last_probe_at{};  // before the last one
  };
  bool is_absent(Time now, std::uint32_t who) const;

  Fleet fleet_;
  std::vector<std::optional<Absence>> absences_;
};

}  // namespace graniterun::call_gapping
