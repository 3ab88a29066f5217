#include "call_gapping/slots.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace graniterun::call_gapping {
namespace {

// A gatekeeper with more than this part of its even share keeps all its slots: what demands differ by chance
// is no reason to move slots.
constexpr double kKeepsFrom = 0.6;

// A rate that is so many times another over a short time is no chance any more.
constexpr double kPlainly = 4.0;

}  // namespace

std::vector<Slot> Slots::cede(const std::vector<double>& demand, Slot first, Slot last, std::uint64_t salt,
                              bool each) {
  std::vector<Slot> ceded;
  const double all = std::accumulate(demand.begin(), demand.end(), 0.0);
  if (demand.size() != fleet_.size || fleet_.size < 2 || !(all > 0.0)) return ceded;
  const double part = demand[fleet_.index] / all * fleet_.size;
  const double cedes = part >= kKeepsFrom ? 0.0 : 1.0 - part;
  for (Slot slot = std::max(first, decided_ + 1); slot <= last; ++slot) {
    decided_ = slot;
    if (!each && owner_of(slot, salt, fleet_.size) != fleet_.index) continue;
    credit_ += cedes;
    if (credit_ < 1.0 || ceded_.size() >= kMaxSlots) continue;
    credit_ -= 1.0;
    ceded_.insert(slot);
    ceded.push_back(slot);
  }
  return ceded;
}

void Slots::grant(const std::vector<SlotOf>& slots, Slot now) {
  for (const SlotOf& slot : slots) {
    if (slot.slot < now || granted_.size() >= kMaxSlots) continue;
    granted_.insert(slot);
  }
}

void Slots::drop_before(Slot slot) {
  ceded_.erase(ceded_.begin(), ceded_.lower_bound(slot));
  granted_.erase(granted_.begin(), granted_.lower_bound({slot, 0}));
}

QuotaAllocator::QuotaAllocator(std::uint32_t fleet, Duration interval, std::uint64_t life)
    : memory_(std::max<Duration>(std::chrono::seconds(3), 8 * interval)),
      incarnation_(life),
      demand_rates_(fleet),
      credit_(fleet, 0.0) {}

// Taken over a long time, so that what demands differ by chance moves no slots; a change that is plain over a
// short time is believed at once.
void QuotaAllocator::record_demand(Time now, std::uint32_t gatekeeper, double calls, Duration span) {
  if (gatekeeper >= demand_rates_.size() || span <= Duration{}) return;
  DemandRate& seen = demand_rates_[gatekeeper];
  const double rate = calls / std::chrono::duration<double>(span).count();
  const auto follow = [&](double& known, Duration memory) {
    // At first the mean of all: one report alone says little, and would go on for as long as the memory.
    const double keeps = std::min(std::exp(-std::chrono::duration<double>(span) / memory),
                                  seen.reports / (seen.reports + 1.0));
    known = known * keeps + (1.0 - keeps) * rate;
  };
  follow(seen.rate, memory_);
  follow(seen.recent_rate, memory_ / 5);
  seen.reports += 1.0;
  if (seen.recent_rate < seen.rate / kPlainly || seen.recent_rate > seen.rate * kPlainly)
    seen.rate = seen.recent_rate;
  seen.at = now;
}

std::vector<double> QuotaAllocator::demand(Time now) const {
  std::vector<double> all;
  for (const DemandRate& seen : demand_rates_) {
    // Who has said nothing for long is not known to have any.
    const bool fresh = seen.at != Time{} && now - seen.at < 2 * memory_;
    all.push_back(fresh && seen.rate > 1e-6 ? seen.rate : 0.0);
  }
  return all;
}

std::map<std::uint32_t, std::vector<SlotOf>> QuotaAllocator::allocate(Time now, std::uint64_t life,
                                                                      std::uint32_t from,
                                                                      const std::vector<Slot>& slots) {
  std::map<std::uint32_t, std::vector<SlotOf>> grants;
  if (life != incarnation_) return grants;
  std::vector<double> wants = demand(now);
  const double all = std::accumulate(wants.begin(), wants.end(), 0.0);
  if (!(all > 0.0)) return grants;
  // To those over their even share, by how far they are over it.
  double over = 0.0;
  for (double& want : wants)
    over += want = std::max(0.0, want / all - 1.0 / static_cast<double>(wants.size()));
  if (!(over > 0.0)) return grants;
  for (const Slot slot : slots) {
    if (allocated_.size() >= kMaxSlots || !allocated_.insert({slot, from}).second) continue;
    for (std::size_t i = 0; i < wants.size(); ++i) credit_[i] += wants[i] / over;
    const auto to =
        static_cast<std::size_t>(std::max_element(credit_.begin(), credit_.end()) - credit_.begin());
    credit_[to] -= 1.0;
    grants[static_cast<std::uint32_t>(to)].push_back({slot, from});
  }
  return grants;
}

void QuotaAllocator::drop_before(Slot slot) {
  allocated_.erase(allocated_.begin(), allocated_.lower_bound({slot, 0}));
}

}  // namespace graniterun::call_gapping
