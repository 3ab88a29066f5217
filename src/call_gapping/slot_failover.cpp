#include "call_gapping/slot_failover.h"

namespace graniterun::call_gapping {

// A process that acquires a port uses no slot for 2 s (kMaxCedeAhead).
static_assert(SlotFailover::kProbeValidity + SlotFailover::kMaxClockSkew <= std::chrono::seconds(2));
static_assert(SlotFailover::kMaxProbeGap + SlotFailover::kMaxClockSkew <= std::chrono::seconds(2));

void SlotFailover::mark_unreachable(Time now, std::uint32_t gatekeeper, Time probe_sent_at) {
  if (gatekeeper >= fleet_.size || gatekeeper == fleet_.index || probe_sent_at > now) return;
  std::optional<RefusalSeries>& series = refusals_[gatekeeper];
  // A process may have started, used slots and ended since the last probe, if that is too long ago.
  if (!series || now - series->last_probe_sent_at > kMaxProbeGap) {
    series = RefusalSeries{now, probe_sent_at};
  } else if (probe_sent_at > series->last_probe_sent_at) {
    series->last_probe_sent_at = probe_sent_at;
  }
}

void SlotFailover::mark_alive(std::uint32_t gatekeeper) {
  if (gatekeeper < fleet_.size) refusals_[gatekeeper].reset();
}

bool SlotFailover::has_ended(Time now, std::uint32_t gatekeeper) const {
  return refusals_[gatekeeper] && now - refusals_[gatekeeper]->last_probe_sent_at <= kProbeValidity;
}

bool SlotFailover::may_take_over(Time now, Time slot_start, std::uint32_t owner) const {
  if (owner >= fleet_.size || owner == fleet_.index) return false;
  for (std::uint32_t gatekeeper = owner; gatekeeper != fleet_.index;
       gatekeeper = (gatekeeper + 1) % fleet_.size) {
    if (!has_ended(now, gatekeeper) || slot_start < refusals_[gatekeeper]->first_refused_at + kTakeoverDelay)
      return false;
  }
  return true;
}

std::vector<std::uint32_t> SlotFailover::ports_to_watch(Time now) const {
  std::vector<std::uint32_t> all;
  for (std::uint32_t step = 1; step < fleet_.size; ++step) {
    const std::uint32_t gatekeeper = (fleet_.index + fleet_.size - step) % fleet_.size;
    all.push_back(gatekeeper);
    if (!has_ended(now, gatekeeper)) break;
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
