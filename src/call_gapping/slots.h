// Assigns the slots of a gap to the gatekeepers of a fleet. A gap's time is divided into slots of its
// interval; the fleet lets one call through per slot. Gatekeepers own slots in turn, so that those without
// contact to each other still let one call through per slot. If a gap publisher is connected, a gatekeeper
// with few calls cedes slots to it, and the publisher grants them to gatekeepers with many.
//
// No slot is used twice, even if messages are lost, delayed or duplicated and processes restart: the owner
// never uses a slot that it has ceded, and the slot is granted at most once, after it was ceded. A slot is
// ceded to one incarnation of the publisher, which records the slots that it has granted; a later incarnation
// ignores it. A lost message wastes a slot.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::call_gapping {

// Number of a slot, from the start of its gap's announcement.
using Slot = std::int64_t;

// The size of the fleet and the position of this gatekeeper in it.
struct FleetPosition {
  std::uint32_t size = 1;   // number of gatekeepers
  std::uint32_t index = 0;  // of this gatekeeper, from 0
};

// A slot and the gatekeeper that owns it in turn.
struct OwnedSlot {
  Slot slot{};
  std::uint32_t owner{};
  auto operator<=>(const OwnedSlot&) const = default;
};

// The gatekeeper that owns the slot in turn. `salt` differs between gaps and numbers, so that the first slots
// of different gaps have different owners.
constexpr std::uint32_t owner_of(Slot slot, std::uint64_t salt, std::uint32_t fleet) {
  return static_cast<std::uint32_t>((static_cast<std::uint64_t>(slot) + salt) % fleet);
}

// The slots of one gap that a gatekeeper has ceded and was granted. Bounded by kMaxSlots each; past slots are
// dropped.
class Slots {
 public:
  static constexpr std::size_t kMaxSlots = 1024;

  explicit Slots(FleetPosition fleet) : fleet_(fleet) {}

  // Whether this gatekeeper owns the slot and has not ceded it, or was granted it.
  bool may_use(Slot slot, std::uint64_t salt) const {
    const std::uint32_t owner = owner_of(slot, salt, fleet_.size);
    if (owner == fleet_.index && !ceded_.contains(slot)) return true;
    return granted_.contains({slot, owner});
  }
  // Cedes the slots from `first` to `last` that exceed this gatekeeper's share of the demand, and returns
  // them. `demand` is each gatekeeper's demand in calls per second. For Shape::whole only the slots that it
  // owns under `salt` count. For Shape::each_number (`each_number`) all count, since it owns each slot for
  // some of the numbers. Each slot is decided once.
  std::vector<Slot> cede(const std::vector<double>& demand, Slot first, Slot last, std::uint64_t salt,
                         bool each_number);
  // Records granted slots, unless they are before `current`.
  void grant(const std::vector<OwnedSlot>& slots, Slot current);
  // Forgets slots before `slot`.
  void drop_before(Slot slot);

 private:
  FleetPosition fleet_;
  std::set<Slot> ceded_;
  std::set<OwnedSlot> granted_;
  Slot last_decided_slot_ = -1;  // the last slot that cede() has decided
  double credit_ = 0.0;          // fraction of a slot still to be ceded
};

// The gap publisher's side of one gap: receives demands and ceded slots, and allocates the slots to
// gatekeepers.
class QuotaAllocator {
 public:
  // Maximum number of allocated slots that are remembered.
  static constexpr std::size_t kMaxSlots = 8192;

  // `fleet_size` is in gatekeepers. `incarnation` must differ at each start of the publisher.
  QuotaAllocator(std::uint32_t fleet_size, Duration interval, std::uint64_t incarnation);

  // Records that the gatekeeper had `calls` calls within `span`.
  void record_demand(Time now, std::uint32_t gatekeeper, double calls, Duration span);
  // Recent calls per second of each gatekeeper.
  std::vector<double> demand(Time now) const;
  // Allocates the slots that gatekeeper `from` has ceded to `incarnation`; returns the grants by gatekeeper.
  // Slots that were allocated before, or ceded to another incarnation, are ignored.
  std::map<std::uint32_t, std::vector<OwnedSlot>> allocate(Time now, std::uint64_t incarnation,
                                                           std::uint32_t from,
                                                           const std::vector<Slot>& slots);
  std::uint64_t incarnation() const { return incarnation_; }
  // Forgets allocated slots before `slot`.
  void drop_before(Slot slot);

 private:
  struct DemandRate {
    double rate = 0.0;         // calls per second
    double recent_rate = 0.0;  // the same with a fifth of the time constant
    double reports = 0.0;      // number of reports
    Time reported_at{};
  };
  Duration time_constant_;  // of the averaged demand
  std::uint64_t incarnation_{};
  std::vector<DemandRate> demand_rates_;
  std::vector<double> credit_;  // fractions of a slot due to each gatekeeper
  std::set<OwnedSlot> allocated_;
};

}  // namespace graniterun::call_gapping
