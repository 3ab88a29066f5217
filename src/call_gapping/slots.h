// Which gatekeeper of a fleet may use which slot of a gap. A gap's time is cut into slots of its interval; in
// each, the fleet lets one call through. Slots are dealt out in turn, so that gatekeepers that never speak to
// each other keep to one call a slot. Where an announcer is there, a gatekeeper that has few calls cedes
// slots of its own to it, and it grants them to one that has many.
//
// Why no slot is ever used twice, whatever is lost, late, doubled or restarted: a slot that was ceded is
// never used by its owner, and it is granted once, and only after it was ceded: to one life of the announcer,
// which knows what it has granted; another life passes it over. A lost message wastes a slot.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::call_gapping {

using Slot = std::int64_t;

struct Fleet {
  std::uint32_t size = 1;   // gatekeepers
  std::uint32_t index = 0;  // of this one, from 0
};

// A slot, by the gatekeeper that had it in turn.
struct SlotOf {
  Slot slot{};
  std::uint32_t owner{};
  auto operator<=>(const SlotOf&) const = default;
};

// In turn; `salt` tells gaps and numbers apart, so that not all first slots are one gatekeeper's.
constexpr std::uint32_t owner_of(Slot slot, std::uint64_t salt, std::uint32_t fleet) {
  return static_cast<std::uint32_t>((static_cast<std::uint64_t>(slot) + salt) % fleet);
}

// A gatekeeper's slots of one gap. Bounded: kMostSlots ceded and kMostSlots granted; those that are past are
// dropped.
class Slots {
 public:
  static constexpr std::size_t kMaxSlots = 1024;

  explicit Slots(Fleet fleet) : fleet_(fleet) {}

  bool may_use(Slot slot, std::uint64_t salt) const {
    const std::uint32_t owner = owner_of(slot, salt, fleet_.size);
    if (owner == fleet_.index && !ceded_.contains(slot)) return true;
    return granted_.contains({slot, owner});
  }
  // Hears what each gatekeeper of the fleet has to place, in calls a second, and cedes what is too much for
  // its own part of the slots from `first` to `last`. Of a gap for all its numbers together only the slots
  // that are its own in turn under `salt` count; else (`each`) it has a part of every one. A slot is decided
  // on once.
  std::vector<Slot> cede(const std::vector<double>& demand, Slot first, Slot last, std::uint64_t salt,
                         bool each);
  void grant(const std::vector<SlotOf>& slots, Slot now);
  void drop_before(Slot slot);

 private:
  Fleet fleet_;
  std::set<Slot> ceded_;
  std::set<SlotOf> granted_;
  Slot decided_ = -1;    // the last slot that was decided on
  double credit_ = 0.0;  // part of a slot that is still to be ceded
};

// The announcer's side of one gap: hears demands and ceded slots, and says to whom each goes.
class QuotaAllocator {
 public:
  static constexpr std::size_t kMaxSlots = 8192;

  // `life` is another number each time an announcer starts.
  QuotaAllocator(std::uint32_t fleet, Duration interval, std::uint64_t life);

  void record_demand(Time now, std::uint32_t gatekeeper, double calls, Duration span);
  // Calls a second that each has had lately.
  std::vector<double> demand(Time now) const;
  // Slots ceded to `life`: to whom each is granted. A slot heard of before is passed over.
  std::map<std::uint32_t, std::vector<SlotOf>> allocate(Time now, std::uint64_t life, std::uint32_t from,
                                                        const std::vector<Slot>& slots);
  std::uint64_t incarnation() const { return incarnation_; }
  void drop_before(Slot slot);

 private:
  struct DemandRate {
    double rate = 0.0;         // calls a second
    double recent_rate = 0.0;  // the same over a shorter time
    double reports = 0.0;
    Time at{};
  };
  Duration memory_;
  std::uint64_t incarnation_{};
  std::vector<DemandRate> demand_rates_;
  std::vector<double> credit_;
  std::set<SlotOf> allocated_;
};

}  // namespace graniterun::call_gapping
