#include "call_gapping/gap_register.h"

#include <algorithm>
#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace graniterun::call_gapping {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kPrefixSeed = 1;
constexpr std::uint64_t kNumberSeed = 2;
constexpr std::size_t kMinFilterBits = 4096;
// Callers of a gap come back over as many slots as there are calls for one, but over no more than this.
constexpr double kMaxSpread = 64.0;

std::uint64_t hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

bool names(const std::vector<std::string>& sorted, std::string_view name) {
  return std::binary_search(sorted.begin(), sorted.end(), name, std::less<>{});
}

bool slotted(const Gap& gap) {
  return gap.shape != Shape::percentage && gap.interval && *gap.interval > Duration{};
}

Slot slot_at(const Announcement& a, Time now) { return (now - a.start) / *a.gap->interval; }

}  // namespace

std::uint64_t fingerprint_of(const Announcement& a) {
  std::string text = a.id + '\n' + std::to_string(a.version) + '\n' + a.author;
  for (const Time t : {a.created_at, a.start, a.end})
    text += '\n' + std::to_string(t.time_since_epoch().count());
  if (!a.gap) return hash(text, kPrefixSeed);
  const Gap& gap = *a.gap;
  for (const auto* names : {&gap.criteria.numbers, &gap.criteria.prefixes, &gap.criteria.classes}) {
    text += '\n' + std::to_string(names->size());
    for (const std::string& name : *names) text += '\t' + name;
  }
  text += '\n' + std::to_string(static_cast<int>(gap.shape)) + '\t' +
          std::to_string(gap.interval ? gap.interval->count() : -1) + '\t' + std::to_string(gap.percent) +
          '\t' + std::to_string(gap.treatment.cause) + '\t' + gap.treatment.text;
  return hash(text, kPrefixSeed);
}

GapRegister::GapRegister(Fleet fleet, std::uint64_t seed, Time born, Duration longest_wait)
    : fleet_(fleet),
      started_at_(born),
      max_retry_after_(longest_wait),
      random_(seed),
      perhaps_(kMinFilterBits) {}

// Slots in which an earlier life, or an heir of it, may have let something through. An heir may have done so
// even in those of a gap that is younger than this life.
void GapRegister::fence(Active& gap) const {
  const Announcement& a = gap.announcement;
  const Time from = failover_ != nullptr ? started_at_ + kMaxCedeAhead : started_at_;
  if (slotted(*a.gap) && a.start < from)
    gap.fenced = std::max(gap.fenced, slot_at(a, started_at_ + kMaxCedeAhead));
}

void GapRegister::set_place_owned(Time now, bool holds) {
  place_owned_ = holds;
  if (!holds) return;
  started_at_ = now;
  for (auto& [id, entry] : entries_) {
    if (entry.current) fence(*entry.current);
  }
}

// ---- announcements

AnnounceResult GapRegister::announce(Time now, Announcement a) {
  process_due_changes(now);
  if (!find_error(a, now).empty()) return AnnounceResult::rejected;
  if (a.gap) {
    // In order, so that it can be searched, and so that the order in which names are told makes no
    // difference.
    for (auto* names : {&a.gap->criteria.numbers, &a.gap->criteria.prefixes, &a.gap->criteria.classes}) {
      std::sort(names->begin(), names->end());
      names->erase(std::unique(names->begin(), names->end()), names->end());
    }
  }
  const auto known = entries_.find(a.id);
  // What nobody can hear of any more need not be remembered.
  if (known == entries_.end() && a.created_at + kMaxGapDuration <= now) return AnnounceResult::outdated;
  AnnounceResult taken = AnnounceResult::accepted;
  if (known != entries_.end()) {
    const Announcement& held = known->second.newest;
    if (a.version < held.version) return AnnounceResult::outdated;
    if (a.version == held.version) {
      if (a == held) return AnnounceResult::unchanged;
      if (!supersedes(a, held)) return AnnounceResult::conflict;
      taken = AnnounceResult::conflict_won;
    }
  } else if (!has_capacity_for(1)) {
    return AnnounceResult::full;
  }
  Entry& entry = known != entries_.end() ? known->second : entries_[a.id];
  digest_ -= entry.fingerprint;
  entry.fingerprint = fingerprint_of(a);
  digest_ += entry.fingerprint;
  entry.newest = a;
  // Until it starts, what it replaces goes on: all gatekeepers change over at one time. A lift is at once.
  if (!a.gap || a.start <= now) {
    retire(entry);
    if (a.gap && now < a.end) activate(entry);
  }
  schedule(a.id, entry);
  return taken;
}

// When something about it changes next: its start, the end of what is in force, or when it may be forgotten.
void GapRegister::schedule(const std::string& id, const Entry& entry) {
  Time next = entry.newest.created_at + kAnnouncementRetention;
  const bool to_come = entry.newest.gap && !(entry.current && entry.current->announcement == entry.newest);
  if (entry.current) next = std::min(next, entry.current->announcement.end);
  if (to_come) next = std::min(next, std::max(entry.newest.start, Time{}));
  due_.set(id, next);
}

void GapRegister::process_due_changes(Time now) {
  while (const auto id = due_.pop_due(now)) {
    Entry& entry = entries_.at(*id);
    const Announcement& a = entry.newest;
    const bool forget = a.created_at + kAnnouncementRetention <= now;
    if (entry.current && (forget || entry.current->announcement.end <= now)) retire(entry);
    if (forget) {
      digest_ -= entry.fingerprint;
      entries_.erase(*id);
      continue;
    }
    const bool running = a.gap && a.start <= now && now < a.end;
    if (running && !(entry.current && entry.current->announcement == a)) {
      retire(entry);
      activate(entry);
    }
    if (a.gap && now >= a.start && !running) {  // over: nothing is left but to forget it
      due_.set(*id, a.created_at + kAnnouncementRetention);
    } else {
      schedule(*id, entry);
    }
  }
}

template <class Do>
void GapRegister::for_each_key(const Criteria& c, Do act) {
  for (const std::string& number : c.numbers) act(by_number_, hash(number, kNumberSeed), std::size_t{0});
  for (const std::string& prefix : c.prefixes) act(by_prefix_, hash(prefix, kPrefixSeed), prefix.size());
}

void GapRegister::activate(Entry& entry) {
  entry.current = std::make_unique<Active>(entry.newest, fleet_);
  Active* gap = entry.current.get();
  const Announcement& a = gap->announcement;
  gap->salt = hash(a.id, kNumberSeed);
  gap->fingerprint = entry.fingerprint;
  fence(*gap);
  const Criteria& c = a.gap->criteria;
  if (c.numbers.empty() && c.prefixes.empty()) by_class_.push_back(gap);
  for_each_key(c, [&](Index& index, std::uint64_t key, std::size_t length) {
    index[key].push_back(gap);
    ++keys_;
    if (length > 0 && prefixes_of_length_[length]++ == 0)
      lengths_.insert(std::upper_bound(lengths_.begin(), lengths_.end(), length), length);
    perhaps_[key & (perhaps_.size() - 1)] = true;
  });
  if (keys_ * 16 <= perhaps_.size()) return;
  perhaps_.assign(perhaps_.size() * 4, false);
  for (const Index* index : {&by_number_, &by_prefix_}) {
    for (const auto& [key, gaps] : *index) perhaps_[key & (perhaps_.size() - 1)] = true;
  }
}

void GapRegister::retire(Entry& entry) {
  Active* gap = entry.current.get();
  if (gap == nullptr) return;
  const Criteria& c = gap->announcement.gap->criteria;
  std::erase(by_class_, gap);
  for_each_key(c, [&](Index& index, std::uint64_t key, std::size_t length) {
    const auto it = index.find(key);
    it->second.erase(std::find(it->second.begin(), it->second.end(), gap));
    if (it->second.empty()) index.erase(it);  // its bit may stay: a look-up then finds nothing
    --keys_;
    if (length > 0 && --prefixes_of_length_[length] == 0) std::erase(lengths_, length);
  });
  used_ -= gap->used.size();
  demanded_.erase(gap);
  entry.current.reset();
}

const Announcement* GapRegister::find(const std::string& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second.newest;
}

std::vector<GapState> GapRegister::list(Time now, std::string_view after, std::size_t most) const {
  std::vector<GapState> all;
  for (const auto& [id, entry] : entries_) {
    if (!after.empty() && id <= after) continue;
    GapState state;
    state.announcement = &entry.newest;
    state.in_force = entry.current && now < entry.current->announcement.end;
    if (entry.current) {
      state.passed = entry.current->passed;
      state.gapped = entry.current->gapped;
    }
    all.push_back(state);
  }
  const auto by_id = [](const GapState& a, const GapState& b) {
    return a.announcement->id < b.announcement->id;
  };
  const std::size_t kept = std::min(most, all.size());
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(kept), all.end(), by_id);
  all.resize(kept);
  return all;
}

// ---- calls

template <class Do>
void GapRegister::for_each_match(std::string_view number, std::string_view class_name, Do act) const {
  const auto look = [&](const Index& index, std::uint64_t key, auto fits) {
    if (!perhaps_[key & (perhaps_.size() - 1)]) return;
    const auto it = index.find(key);
    if (it == index.end()) return;
    for (Active* gap : it->second) {
      const Criteria& c = gap->announcement.gap->criteria;
      if ((c.classes.empty() || names(c.classes, class_name)) && fits(c)) act(gap);
    }
  };
  const std::string_view text = number.substr(0, kMaxTextLength);
  if (!by_number_.empty() && number.size() <= kMaxTextLength) {
    look(by_number_, hash(number, kNumberSeed), [&](const Criteria& c) { return names(c.numbers, number); });
  }
  for (const std::size_t length : lengths_) {
    if (length > text.size()) break;
    const std::string_view prefix = text.substr(0, length);
    look(by_prefix_, hash(prefix, kPrefixSeed), [&](const Criteria& c) { return names(c.prefixes, prefix); });
  }
  for (Active* gap : by_class_) {
    if (names(gap->announcement.gap->criteria.classes, class_name)) act(gap);
  }
}

void GapRegister::clear_used(Active& gap, Slot slot) {
  if (gap.used_slot >= slot) return;
  gap.used_slot = slot - 1;
  used_ -= gap.used.size();
  gap.used.clear();
}

// Whether the gap lets it pass; takes nothing yet.
bool GapRegister::lets_pass(Time now, Match& match) {
  Active& gap = *match.gap;
  const Gap& g = *gap.announcement.gap;
  if (g.shape == Shape::percentage)
    return std::uniform_real_distribution<double>(0.0, 100.0)(random_) < g.percent;
  if (!g.interval) return false;
  if (*g.interval == Duration{}) return true;
  match.slot = slot_at(gap.announcement, now);
  if (!place_owned_ || match.slot <= gap.fenced) return false;
  const Time began = gap.announcement.start + match.slot * *g.interval;
  const bool inherited = failover_ != nullptr &&
                         failover_->may_take_over(now, began, owner_of(match.slot, match.salt, fleet_.size));
  if (!inherited && !gap.slots.may_use(match.slot, match.salt)) return false;
  if (g.shape == Shape::whole) return match.slot > gap.used_slot;
  // Numbers let through in slots that are past don't matter any more, so the table holds those of one slot. A
  // clock that goes back finds a later slot in use: nothing passes until it has caught up.
  clear_used(gap, match.slot);
  if (match.slot < gap.used_slot) return false;
  if (gap.used.contains(match.salt)) return false;
  if (used_ < kMaxUsedNumbers) return true;
  ++rejected_for_capacity_;
  return false;
}

// When a caller is to come back: after the next slot's start, and spread over as many slots as there are
// calls for one, or all would come at once.
Duration GapRegister::retry_after(Time now, const Match& match) {
  const Announcement& a = match.gap->announcement;
  const Gap& g = *a.gap;
  Duration wait = max_retry_after_;
  double spread_s = seconds(max_retry_after_) / 2;
  if (slotted(g)) {
    const Duration next = *g.interval - (now - a.start) % *g.interval;
    const double per_slot = std::clamp(match.gap->rate * seconds(*g.interval), 1.0, kMaxSpread);
    spread_s = per_slot * seconds(*g.interval);
    wait = next;
  } else if (g.shape != Shape::percentage) {
    wait = a.end - now;  // none passes before
  } else {
    wait = Duration{};
  }
  // Callers heed no more than the longest wait: where that is cut off, they are still spread below it.
  spread_s = std::min(spread_s, seconds(max_retry_after_) / 2);
  wait = std::min(
      wait, max_retry_after_ - std::chrono::duration_cast<Duration>(std::chrono::duration<double>(spread_s)));
  const double drawn = std::uniform_real_distribution<double>(0.0, spread_s)(random_);
  return std::max<Duration>(
      1ms, wait + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(drawn)));
}

Verdict GapRegister::check(Time now, std::string_view number, std::string_view class_name) {
  if (const auto next = due_.next(); next && *next <= now) process_due_changes(now);
  Verdict verdict;
  if (keys_ == 0 && by_class_.empty()) return verdict;
  matches_.clear();
  for_each_match(number, class_name, [&](Active* gap) {
    // A list may name a number and a prefix of it.
    const auto same = [gap](const Match& m) { return m.gap == gap; };
    if (std::none_of(matches_.begin(), matches_.end(), same)) matches_.push_back({gap, gap->salt, 0});
  });
  const Match* barred = nullptr;
  for (Match& match : matches_) {
    Active& gap = *match.gap;
    if (gap.announcement.gap->shape == Shape::each_number) match.salt = gap.salt + hash(number, kNumberSeed);
    const double passed_s = seconds(now - gap.rated);
    gap.rate = gap.rated == Time{} ? 0.0 : gap.rate * std::exp(-std::max(0.0, passed_s)) + 1.0;
    gap.rated = now;
    ++gap.demand;
    demanded_.insert(&gap);
    // All are asked, so that each counts what it holds back; the last no is the one that is told.
    if (lets_pass(now, match)) continue;
    ++gap.gapped;
    barred = &match;
  }
  if (barred != nullptr) {
    verdict.passes = false;
    verdict.id = barred->gap->announcement.id;
    verdict.treatment = barred->gap->announcement.gap->treatment;
    verdict.retry_after = retry_after(now, *barred);
    return verdict;
  }
  for (const Match& match : matches_) {
    Active& gap = *match.gap;
    ++gap.passed;
    const Gap& g = *gap.announcement.gap;
    if (!slotted(g)) continue;
    gap.used_slot = match.slot;
    if (g.shape == Shape::each_number) used_ += gap.used.insert(match.salt).second ? 1 : 0;
  }
  return verdict;
}

// ---- the fleet's slots

std::vector<GapRegister::Demand> GapRegister::take_demands(Time now) {
  process_due_changes(now);
  std::vector<Demand> all;
  for (Active* gap : demanded_) {
    if (slotted(*gap->announcement.gap)) all.push_back({gap->announcement.id, gap->fingerprint, gap->demand});
    gap->demand = 0;
  }
  demanded_.clear();
  return all;
}

std::vector<Slot> GapRegister::cede(Time now, const std::string& id, std::uint64_t mark,
                                    const std::vector<double>& demand, Duration ahead) {
  process_due_changes(now);
  const auto it = entries_.find(id);
  if (it == entries_.end() || !it->second.current) return {};
  Active& gap = *it->second.current;
  const Announcement& a = gap.announcement;
  if (gap.fingerprint != mark || !slotted(*a.gap)) return {};
  if (!place_owned_) return {};
  const Slot running = slot_at(a, now);
  gap.slots.drop_before(running);
  const bool each = a.gap->shape == Shape::each_number;
  // A slot in which something was let through is not given away, nor one in which it may have been in an
  // earlier life.
  const Slot first = std::max({running, gap.used_slot + 1, gap.fenced + 1});
  const Slot last = std::min(slot_at(a, std::min(now + std::min(ahead, kMaxCedeAhead), a.end)),
                             running + static_cast<Slot>(Slots::kMaxSlots));
  return gap.slots.cede(demand, first, last, gap.salt, each);
}

void GapRegister::grant(Time now, const std::string& id, std::uint64_t mark,
                        const std::vector<SlotOf>& slots) {
  process_due_changes(now);
  const auto it = entries_.find(id);
  if (it == entries_.end() || !it->second.current) return;
  Active& gap = *it->second.current;
  if (gap.fingerprint != mark || !slotted(*gap.announcement.gap)) return;
  const Slot running = slot_at(gap.announcement, now);
  gap.slots.drop_before(running);
  gap.slots.grant(slots, running);
}

}  // namespace graniterun::call_gapping
