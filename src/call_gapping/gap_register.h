// The register of call gaps of a gatekeeper, and the check that every new call goes through. Pure: no I/O, no
// clock; `now` is Unix time.
//
// The register converges: whatever order announcements come in, lost ones apart, doubled and late ones
// included, gatekeepers that have heard the same hold the same. A lift is a version too, and is remembered,
// like a gap that has ended, until no announcement made before it could still be in force.
//
// Cost: a check looks up the called number and each of its prefixes whose length some gap has, so it does not
// grow with the number of gaps but with those that are for this call. Memory: about 1 KiB a gap, and 8 bytes
// (some 40 with its table) for each number that a gap for each number has let through in the slot that is
// running, kMaxUsedNumbers at most over all gaps. Bounded by kMaxGaps.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "call_gapping/gap.h"
#include "call_gapping/slot_failover.h"
#include "call_gapping/slots.h"
#include "core/deadline_queue.h"

namespace graniterun::call_gapping {

constexpr std::size_t kMaxGaps = 131072;
constexpr std::size_t kMaxUsedNumbers = 262144;

// Slots are ceded no further ahead.
constexpr Duration kMaxCedeAhead = std::chrono::seconds(2);
// An announcement is remembered for longer than one made before it can be in force, clocks a little off.
constexpr Duration kAnnouncementRetention = kMaxGapDuration + 2 * kMaxClockError;

// The same for two announcements that are the same.
std::uint64_t fingerprint_of(const Announcement& a);

enum class AnnounceResult : std::uint8_t {
  accepted,      // it holds now, or will from its start
  unchanged,     // the same was held already
  outdated,      // a higher version is held
  conflict,      // another with this id and version is held, and goes on to hold
  conflict_won,  // another with this id and version was held; this one holds over it
  rejected,      // it is malformed
  full,          // there is no room
};

struct Verdict {
  bool passes = true;
  std::string_view id{};  // of the gap that says no
  Treatment treatment{};
  Duration retry_after{};  // the caller is to stay away so long
};

struct GapState {
  const Announcement* announcement = nullptr;  // what holds, or what is remembered
  bool in_force = false;
  std::uint64_t passed{};
  std::uint64_t gapped{};
};

class GapRegister {
 public:
  // `born`: when this gatekeeper started. What it did before, it no longer knows: of a gap that ran then it
  // uses no slot that it may have used or ceded already.
  GapRegister(Fleet fleet, std::uint64_t seed, Time born, Duration longest_wait = std::chrono::seconds(2));

  // Where gatekeepers know each other, who holds its fleet's port has its slots. Not yet, or no more: it lets
  // nothing pass that needs a slot. From when it holds it, it is as one that has just started.
  void set_place_owned(Time now, bool holds);
  // Whose slots it may use beside its own; lives as long as this. None: nobody's.
  void use_failover(const SlotFailover* heirs) { failover_ = heirs; }

  AnnounceResult announce(Time now, Announcement a);
  // A new call. All gaps that are for it must let it pass; a slot is taken from each, or from none.
  Verdict check(Time now, std::string_view number, std::string_view class_name);

  // What is held, in order of ids: those in force, those to come, and what is remembered of those that ended.
  // Of those after an id so many at the most; O(n) in what is held.
  std::vector<GapState> list(Time now, std::string_view after = {}, std::size_t most = kMaxGaps) const;
  const Announcement* find(const std::string& id) const;
  std::size_t size() const { return entries_.size(); }
  // A number that is the same for registers that hold the same.
  std::uint64_t digest() const { return digest_; }

  // Calls that gaps were asked about since the last report, by id: for the announcer.
  struct Demand {
    std::string id{};
    std::uint64_t fingerprint{};  // of the announcement in force
    std::uint64_t calls{};
  };
  std::vector<Demand> take_demands(Time now);
  // The fleet's demands of a gap, as the announcer knows them: the slots to cede, from now and for `ahead`.
  std::vector<Slot> cede(Time now, const std::string& id, std::uint64_t mark,
                         const std::vector<double>& demand, Duration ahead);
  void grant(Time now, const std::string& id, std::uint64_t mark, const std::vector<SlotOf>& slots);

  // Calls refused for want of room to remember the number in: on the strict side.
  std::uint64_t rejected_for_capacity() const { return rejected_for_capacity_; }

 private:
  // A version that is in force, and what has been let through under it.
  struct Active {
    explicit Active(Announcement a, Fleet fleet) : announcement(std::move(a)), slots(fleet) {}
    Announcement announcement;
    Slots slots;
    std::uint64_t salt{};
    std::uint64_t fingerprint{};
    Slot fenced = -1;     // up to and with this slot an earlier life may have used or ceded them
    Slot used_slot = -1;  // a slot of the past or the present that was used last
    std::unordered_set<std::uint64_t> used{};  // numbers let through in it, of a gap for each number
    double rate = 0.0;                         // calls a second that ask, about
    Time rated{};
    std::uint64_t demand{};  // since the last report
    std::uint64_t passed{};
    std::uint64_t gapped{};
  };
  struct Entry {
    std::unique_ptr<Active> current{};  // absent: nothing of it is in force
    Announcement newest{};              // may be to come, be lifted, or have ended
    std::uint64_t fingerprint{};        // of the newest
  };
  struct Match {
    Active* gap{};
    std::uint64_t salt{};  // of the slots that the call competes for
    Slot slot{};
  };
  using Index = std::unordered_map<std::uint64_t, std::vector<Active*>>;

  void process_due_changes(Time now);
  void activate(Entry& entry);
  void retire(Entry& entry);
  void schedule(const std::string& id, const Entry& entry);
  template <class Do>
  void for_each_key(const Criteria& c, Do act);
  bool has_capacity_for(std::size_t more) const { return entries_.size() + more <= kMaxGaps; }
  template <class Do>
  void for_each_match(std::string_view number, std::string_view class_name, Do act) const;
  bool lets_pass(Time now, Match& match);
  void fence(Active& gap) const;
  Duration retry_after(Time now, const Match& match);
  void clear_used(Active& gap, Slot slot);

  Fleet fleet_;
  Time started_at_;
  Duration max_retry_after_;
  bool place_owned_ = true;
  const SlotFailover* failover_ = nullptr;
  std::mt19937_64 random_;
  std::unordered_map<std::string, Entry> entries_;
  DeadlineQueue<std::string> due_;  // starts, ends, and what may be forgotten
  Index by_number_;
  Index by_prefix_;
  std::vector<Active*> by_class_;  // for classes alone
  std::array<std::uint32_t, kMaxTextLength + 1> prefixes_of_length_{};
  std::vector<std::size_t> lengths_;  // those that some prefix has
  std::vector<bool> perhaps_;         // bits of hashes that may be in an index: most numbers are in none
  std::size_t keys_ = 0;
  std::vector<Match> matches_;            // of the check that runs
  std::unordered_set<Active*> demanded_;  // since the last report
  std::size_t used_ = 0;                  // numbers remembered, over all gaps
  std::uint64_t rejected_for_capacity_ = 0;
  std::uint64_t digest_ = 0;  // of all marks, whatever their order
};

}  // namespace graniterun::call_gapping
