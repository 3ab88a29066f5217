#include "call_gapping/slots.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace graniterun::call_gapping {
namespace {

// Fraction of its even share of the demand from which a gatekeeper keeps all of its slots, so that random
// differences of demand move no slots.
constexpr double kMinShareToKeepSlots = 0.6;

// Factor between recent and average rate from which the difference is not attributed to chance.
constexpr double kRateChangeFactor = 4.0;

}  // namespace

std::vector<Slot> Slots::cede(const std::vector<double>& demand, Slot first, Slot last, std::uint64_t salt,
                              bool each_number) {
  std::vector<Slot> ceded;
  const double total = std::accumulate(demand.begin(), demand.end(), 0.0);
  if (demand.size() != fleet_.size || fleet_.size < 2 || !(total > 0.0)) return ceded;
  const double share = demand[fleet_.index] / total * fleet_.size;  // 1: an even share
  const double ceded_fraction = share >= kMinShareToKeepSlots ? 0.0 : 1.0 - share;
  for (Slot slot = std::max(first, last_decided_slot_ + 1); slot <= last; ++slot) {
    last_decided_slot_ = slot;
    if (!each_number && owner_of(slot, salt, fleet_.size) != fleet_.index) continue;
    credit_ += ceded_fraction;
    if (credit_ < 1.0 || ceded_.size() >= kMaxSlots) continue;
    credit_ -= 1.0;
    ceded_.insert(slot);
    ceded.push_back(slot);
  }
  return ceded;
}

void Slots::grant(const std::vector<OwnedSlot>& slots, Slot current) {
  for (const OwnedSlot& slot : slots) {
    if (slot.slot < current || granted_.size() >= kMaxSlots) continue;
    granted_.insert(slot);
  }
}

void Slots::drop_before(Slot slot) {
  ceded_.erase(ceded_.begin(), ceded_.lower_bound(slot));
  granted_.erase(granted_.begin(), granted_.lower_bound({slot, 0}));
}

QuotaAllocator::QuotaAllocator(std::uint32_t fleet_size, Duration interval, std::uint64_t incarnation)
    : time_constant_(std::max<Duration>(std::chrono::seconds(3), 8 * interval)),
      incarnation_(incarnation),
      demand_rates_(fleet_size),
      credit_(fleet_size, 0.0) {}

// Demands are averaged over a long time, so that random differences move no slots. If the recent rate differs
// by more than kRateChangeFactor, it replaces the average immediately.
void QuotaAllocator::record_demand(Time now, std::uint32_t gatekeeper, double calls, Duration span) {
  if (gatekeeper >= demand_rates_.size() || span <= Duration{}) return;
  DemandRate& state = demand_rates_[gatekeeper];
  const double rate = calls / std::chrono::duration<double>(span).count();
  const auto update_average = [&](double& average, Duration time_constant) {
    // The first reports are averaged evenly. Otherwise the first one, which says little, would dominate for
    // the whole time constant.
    const double old_weight = std::min(std::exp(-std::chrono::duration<double>(span) / time_constant),
                                       state.reports / (state.reports + 1.0));
    average = average * old_weight + (1.0 - old_weight) * rate;
  };
  update_average(state.rate, time_constant_);
  update_average(state.recent_rate, time_constant_ / 5);
  state.reports += 1.0;
  if (state.recent_rate < state.rate / kRateChangeFactor ||
      state.recent_rate > state.rate * kRateChangeFactor)
    state.rate = state.recent_rate;
  state.reported_at = now;
}

std::vector<double> QuotaAllocator::demand(Time now) const {
  std::vector<double> all;
  for (const DemandRate& state : demand_rates_) {
    // A gatekeeper without a recent report counts as having no demand.
    const bool fresh = state.reported_at != Time{} && now - state.reported_at < 2 * time_constant_;
    all.push_back(fresh && state.rate > 1e-6 ? state.rate : 0.0);
  }
  return all;
}

std::map<std::uint32_t, std::vector<OwnedSlot>> QuotaAllocator::allocate(Time now, std::uint64_t incarnation,
                                                                         std::uint32_t from,
                                                                         const std::vector<Slot>& slots) {
  std::map<std::uint32_t, std::vector<OwnedSlot>> grants;
  if (incarnation != incarnation_) return grants;
  std::vector<double> excess = demand(now);
  const double total_demand = std::accumulate(excess.begin(), excess.end(), 0.0);
  if (!(total_demand > 0.0)) return grants;
  // Slots go to gatekeepers above their even share of the demand, in proportion to the excess.
  double total_excess = 0.0;
  for (double& each : excess)
    total_excess += each = std::max(0.0, each / total_demand - 1.0 / static_cast<double>(excess.size()));
  if (!(total_excess > 0.0)) return grants;
  for (const Slot slot : slots) {
    if (allocated_.size() >= kMaxSlots || !allocated_.insert({slot, from}).second) continue;
    for (std::size_t i = 0; i < excess.size(); ++i) credit_[i] += excess[i] / total_excess;
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
