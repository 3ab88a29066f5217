// The register of a gatekeeper's call gaps, and the check that every new call passes. Pure: no I/O, no clock;
// `now` is Unix time.
//
// Registers converge: gatekeepers that have received the same announcements, in any order and with
// duplicates, have the same state. A lift is a version too. Like a gap that has ended, it is retained until
// no earlier announcement can still be active.
//
// Cost: a check looks up the called number and each of its prefixes whose length occurs in some gap, so it
// grows with the gaps that match the call, not with the number of gaps. Memory: about 1 KiB per gap, at most
// kMaxGaps gaps; and 8 bytes (about 40 with the hash table) for each number that a gap with
// Shape::each_number has let through in the current slot, at most kMaxUsedNumbers over all gaps.
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

// Maximum number of gaps, including retained lifted and ended ones.
constexpr std::size_t kMaxGaps = 131072;
// Maximum number of called numbers recorded as let through, over all gaps with Shape::each_number.
constexpr std::size_t kMaxUsedNumbers = 262144;

// Maximum time ahead of now at which a ceded slot may start.
constexpr Duration kMaxCedeAhead = std::chrono::seconds(2);
// Retention of an announcement after its creation. Any earlier announcement has ended by then, including
// clock errors.
constexpr Duration kAnnouncementRetention = kMaxGapDuration + 2 * kMaxClockError;

// Hash of all fields of an announcement. Equal for equal announcements.
std::uint64_t fingerprint_of(const Announcement& a);

enum class AnnounceResult : std::uint8_t {
  accepted,      // active now or from its start
  unchanged,     // the same announcement is already registered
  outdated,      // a higher version is registered
  conflict,      // another announcement with this id and version is registered and stays
  conflict_won,  // another announcement with this id and version was registered; this one replaces it
  rejected,      // malformed
  full,          // kMaxGaps is reached
};

// Result of checking a new call against the gaps.
struct GapDecision {
  bool passes = true;
  std::string_view id{};  // id of the gap that rejects the call
  GapTreatment treatment{};
  Duration retry_after{};  // minimum time before the caller's next request
};

struct GapState {
  const Announcement* announcement = nullptr;  // the highest version, which may have ended or be a lift
  bool active = false;
  std::uint64_t passed{};
  std::uint64_t gapped{};
};

class GapRegister {
 public:
  // `started_at`: when this gatekeeper started. Slots that an earlier incarnation may have used or ceded, in
  // a gap that was active then, are not used. `max_retry_after`: upper bound on Verdict::retry_after.
  GapRegister(FleetPosition fleet, std::uint64_t seed, Time started_at,
              Duration max_retry_after = std::chrono::seconds(2));

  // In a fleet with membership, the process that holds a gatekeeper's fleet port owns its slots. Without the
  // port, no call passes that needs a slot. A process that acquires the port counts as started at that
  // moment.
  void set_port_owned(Time now, bool owned);
  // Sets which other gatekeepers' slots may be used; must outlive the register. Null: none.
  void use_failover(const SlotFailover* failover) { failover_ = failover; }

  // Registers an announcement, unless it is malformed, outdated or without room.
  AnnounceResult announce(Time now, Announcement a);
  // Checks a new call. It passes if every matching gap lets it pass; it then uses a slot of each, else of
  // none.
  GapDecision check(Time now, std::string_view number, std::string_view class_name);

  // Registered gaps in order of id: active, future, and retained lifted or ended ones. At most `limit`
  // entries with ids greater than `after`. O(n) in the number of registered gaps.
  std::vector<GapState> list(Time now, std::string_view after = {}, std::size_t limit = kMaxGaps) const;
  // The highest registered version, or null.
  const Announcement* find(const std::string& id) const;
  std::size_t size() const { return entries_.size(); }
  // Digest of all registered announcements, independent of their order.
  std::uint64_t digest() const { return digest_; }

  // Number of calls checked against a gap since the last report, for the gap publisher.
  struct Demand {
    std::string id{};
    std::uint64_t fingerprint{};  // of the active announcement
    std::uint64_t calls{};
  };
  // Returns and resets the demands of all gaps that were checked.
  std::vector<Demand> take_demands(Time now);
  // Slots of this gatekeeper to cede to the gap publisher, from now and for `ahead`. `demand` is each
  // gatekeeper's demand of the gap in calls per second, as the publisher knows it. `fingerprint` identifies
  // the announcement; nothing is ceded if another one is active.
  std::vector<Slot> cede(Time now, const std::string& id, std::uint64_t fingerprint,
                         const std::vector<double>& demand, Duration ahead);
  // Records slots that the gap publisher granted to this gatekeeper.
  void grant(Time now, const std::string& id, std::uint64_t fingerprint, const std::vector<OwnedSlot>& slots);

  // Calls rejected because kMaxUsedNumbers was reached, so their number could not be recorded.
  std::uint64_t rejected_for_capacity() const { return rejected_for_capacity_; }

 private:
  // An active version of a gap, with its counts and slots.
  struct Active {
    explicit Active(Announcement a, FleetPosition fleet) : announcement(std::move(a)), slots(fleet) {}
    Announcement announcement;
    Slots slots;
    std::uint64_t salt{};
    std::uint64_t fingerprint{};
    Slot last_fenced_slot = -1;  // an earlier incarnation may have used or ceded slots up to this one
    Slot used_slot = -1;         // the last slot used
    std::unordered_set<std::uint64_t> used{};  // Shape::each_number: salts of the numbers let through in it
    double rate = 0.0;                         // estimated calls per second checked
    Time rate_updated_at{};
    std::uint64_t demand{};  // calls checked since the last report
    std::uint64_t passed{};
    std::uint64_t gapped{};
  };
  struct Entry {
    std::unique_ptr<Active> current{};  // null: no version is active
    Announcement newest{};              // the highest version; may be in the future, a lift, or ended
    std::uint64_t fingerprint{};        // of `newest`
  };
  struct Match {
    Active* gap{};
    std::uint64_t salt{};  // identifies the gap, or gap and number, whose slots the call needs
    Slot slot{};
  };
  using Index = std::unordered_map<std::uint64_t, std::vector<Active*>>;

  // Activates, ends and forgets announcements that are due by `now`.
  void process_due_changes(Time now);
  void activate(Entry& entry);
  void retire(Entry& entry);
  void schedule(const std::string& id, const Entry& entry);
  template <class Action>
  void for_each_key(const Criteria& c, Action action);
  bool has_capacity_for(std::size_t more) const { return entries_.size() + more <= kMaxGaps; }
  template <class Action>
  void for_each_match(std::string_view number, std::string_view class_name, Action action) const;
  bool lets_pass(Time now, Match& match);
  void fence(Active& gap) const;
  Duration retry_after(Time now, const Match& match);
  void clear_used(Active& gap, Slot slot);

  FleetPosition fleet_;
  Time started_at_;
  Duration max_retry_after_;
  bool port_owned_ = true;
  const SlotFailover* failover_ = nullptr;
  std::mt19937_64 random_;
  std::unordered_map<std::string, Entry> entries_;
  DeadlineQueue<std::string> due_;  // next start, end or end of retention of each id
  Index by_number_;
  Index by_prefix_;
  std::vector<Active*> by_class_;  // gaps whose only criteria are classes
  // Number of prefixes of each length, over all active gaps.
  std::array<std::uint32_t, kMaxTextLength + 1> prefixes_of_length_{};
  std::vector<std::size_t> lengths_;  // prefix lengths in use, ascending
  std::vector<bool> key_filter_;      // one-hash Bloom filter of the index keys: most numbers are in no index
  std::size_t keys_ = 0;              // entries of both indexes
  std::vector<Match> matches_;        // scratch space of check()
  std::unordered_set<Active*> demanded_;  // gaps checked since the last report
  std::size_t used_ = 0;                  // recorded numbers, over all gaps
  std::uint64_t rejected_for_capacity_ = 0;
  std::uint64_t digest_ = 0;  // sum of the fingerprints, hence independent of order
};

}  // namespace graniterun::call_gapping
