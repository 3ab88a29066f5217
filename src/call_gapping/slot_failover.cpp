#include "call_gapping/slot_failover.h"

namespace graniterun::call_gapping {

static_assert(SlotFailover::kProbeValidity + SlotFailover::kMaxClockSkew <= std::chrono::seconds(2));
static_assert(SlotFailover::kMaxProbeGap + SlotFailover::kMaxClockSkew <= std::chrono::seconds(2));

void SlotFailover::mark_unreachable(Time now, std::uint32_t who, Time asked) {
  if (who >= fleet_.size || who == fleet_.index || asked > now) return;
  std::optional<Absence>& gone = absences_[who];
  // A process may have come and gone since the last one, and have used slots.
  if (!gone || now - gone->last_probe_at > kMaxProbeGap) {
    gone = Absence{now, asked};
  } else if (asked > gone->last_probe_at) {
    gone->last_probe_at = asked;
  }
}

void SlotFailover::mark_alive(std::uint32_t who) {
  if (who < fleet_.size) absences_[who].reset();
}

bool SlotFailover::is_absent(Time now, std::uint32_t who) const {
  return absences_[who] && now - absences_[who]->last_probe_at <= kProbeValidity;
}

bool SlotFailover::may_take_over(Time now, Time began, std::uint32_t owner) const {
  if (owner >= fleet_.size || owner == fleet_.index) return false;
  for (std::uint32_t who = owner; who != fleet_.index; who = (who + 1) % fleet_.size) {
    if (!is_absent(now, who) || began < absences_[who]->since + kTakeoverDelay) return false;
  }
  return true;
}

std::vector<std::uint32_t> SlotFailover::ports_to_watch(Time now) const {
  std::vector<std::uint32_t> all;
  for (std::uint32_t step = 1; step < fleet_.size; ++step) {
    const std::uint32_t who = (fleet_.index + fleet_.size - step) % fleet_.size;
    all.push_back(who);
    if (!is_absent(now, who)) break;
  }
  return all;
}

std::size_t SlotFailover::taken_over(Time now) const {
  std::size_t count = 0;
  for (std::uint32_t step = 1; step < fleet_.size; ++step) {
    if (!may_take_over(now, now, (fleet_.index + fleet_.size - step) % fleet_.size)) break;
    ++count;
  }
  return count;
}

}  // namespace graniterun::call_gapping
