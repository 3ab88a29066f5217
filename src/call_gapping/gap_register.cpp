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
// Maximum number of slots over which the return times of gapped callers are spread.
constexpr double kMaxSpread = 64.0;

std::uint64_t hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

bool contains(const std::vector<std::string>& sorted, std::string_view name) {
  return std::binary_search(sorted.begin(), sorted.end(), name, std::less<>{});
}

// Whether the gap lets one call pass per slot: it has an interval above 0.
bool has_slots(const Gap& gap) {
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

GapRegister::GapRegister(FleetPosition fleet, std::uint64_t seed, Time started_at, Duration max_retry_after)
    : fleet_(fleet),
      started_at_(started_at),
      max_retry_after_(max_retry_after),
      random_(seed),
      key_filter_(kMinFilterBits) {}

// Fences off the slots in which an earlier incarnation, or a gatekeeper that took over its slots, may have
// let a call through. Such a gatekeeper may have used slots even of a gap that started after this process.
void GapRegister::fence(Active& gap) const {
  const Announcement& a = gap.announcement;
  const Time fence_end = failover_ != nullptr ? started_at_ + kMaxCedeAhead : started_at_;
  if (has_slots(*a.gap) && a.start < fence_end)
    gap.last_fenced_slot = std::max(gap.last_fenced_slot, slot_at(a, started_at_ + kMaxCedeAhead));
}

void GapRegister::set_port_owned(Time now, bool owned) {
  port_owned_ = owned;
  if (!owned) return;
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
    // Sorted for binary search, and so that announcements that differ only in the order of names are equal.
    for (auto* names : {&a.gap->criteria.numbers, &a.gap->criteria.prefixes, &a.gap->criteria.classes}) {
      std::sort(names->begin(), names->end());
      names->erase(std::unique(names->begin(), names->end()), names->end());
    }
  }
  const auto known = entries_.find(a.id);
  // An unknown announcement that can no longer be active is not registered.
  if (known == entries_.end() && a.created_at + kMaxGapDuration <= now) return AnnounceResult::outdated;
  AnnounceResult result = AnnounceResult::accepted;
  if (known != entries_.end()) {
    const Announcement& registered = known->second.newest;
    if (a.version < registered.version) return AnnounceResult::outdated;
    if (a.version == registered.version) {
      if (a == registered) return AnnounceResult::unchanged;
      if (!supersedes(a, registered)) return AnnounceResult::conflict;
      result = AnnounceResult::conflict_won;
    }
  } else if (!has_capacity_for(1)) {
    return AnnounceResult::full;
  }
  Entry& entry = known != entries_.end() ? known->second : entries_[a.id];
  digest_ -= entry.fingerprint;
  entry.fingerprint = fingerprint_of(a);
  digest_ += entry.fingerprint;
  entry.newest = a;
  // The previous version stays active until the new one starts, so that all gatekeepers change over at the
  // same time. A lift takes effect immediately.
  if (!a.gap || a.start <= now) {
    retire(entry);
    if (a.gap && now < a.end) activate(entry);
  }
  schedule(a.id, entry);
  return result;
}

// Schedules the next change of the entry: the start of the newest version, the end of the active one, or the
// end of retention.
void GapRegister::schedule(const std::string& id, const Entry& entry) {
  Time next = entry.newest.created_at + kAnnouncementRetention;
  const bool pending = entry.newest.gap && !(entry.current && entry.current->announcement == entry.newest);
  if (entry.current) next = std::min(next, entry.current->announcement.end);
  if (pending) next = std::min(next, std::max(entry.newest.start, Time{}));
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
    if (a.gap && now >= a.start && !running) {  // ended: only the end of retention is left
      due_.set(*id, a.created_at + kAnnouncementRetention);
    } else {
      schedule(*id, entry);
    }
  }
}

// Calls `action(index, key, prefix length)` for each index key of the criteria; the length of a number is 0.
template <class Action>
void GapRegister::for_each_key(const Criteria& c, Action action) {
  for (const std::string& number : c.numbers) action(by_number_, hash(number, kNumberSeed), std::size_t{0});
  for (const std::string& prefix : c.prefixes) action(by_prefix_, hash(prefix, kPrefixSeed), prefix.size());
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
    key_filter_[key & (key_filter_.size() - 1)] = true;
  });
  if (keys_ * 16 <= key_filter_.size()) return;
  key_filter_.assign(key_filter_.size() * 4, false);
  for (const Index* index : {&by_number_, &by_prefix_}) {
    for (const auto& [key, gaps] : *index) key_filter_[key & (key_filter_.size() - 1)] = true;
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
    if (it->second.empty()) index.erase(it);  // its filter bit may stay set; the lookup then finds no entry
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

std::vector<GapState> GapRegister::list(Time now, std::string_view after, std::size_t limit) const {
  std::vector<GapState> all;
  for (const auto& [id, entry] : entries_) {
    if (!after.empty() && id <= after) continue;
    GapState state;
    state.announcement = &entry.newest;
    state.active = entry.current && now < entry.current->announcement.end;
    if (entry.current) {
      state.passed = entry.current->passed;
      state.gapped = entry.current->gapped;
    }
    all.push_back(state);
  }
  const auto by_id = [](const GapState& a, const GapState& b) {
    return a.announcement->id < b.announcement->id;
  };
  const std::size_t returned = std::min(limit, all.size());
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(returned), all.end(), by_id);
  all.resize(returned);
  return all;
}

// ---- calls

// Calls `action` for each active gap that matches the call; twice for a gap that lists a number and its
// prefix.
template <class Action>
void GapRegister::for_each_match(std::string_view number, std::string_view class_name, Action action) const {
  const auto look_up = [&](const Index& index, std::uint64_t key, auto matches) {
    if (!key_filter_[key & (key_filter_.size() - 1)]) return;
    const auto it = index.find(key);
    if (it == index.end()) return;
    for (Active* gap : it->second) {
      const Criteria& c = gap->announcement.gap->criteria;
      if ((c.classes.empty() || contains(c.classes, class_name)) && matches(c)) action(gap);
    }
  };
  const std::string_view text = number.substr(0, kMaxTextLength);
  if (!by_number_.empty() && number.size() <= kMaxTextLength) {
    look_up(by_number_, hash(number, kNumberSeed),
            [&](const Criteria& c) { return contains(c.numbers, number); });
  }
  for (const std::size_t length : lengths_) {
    if (length > text.size()) break;
    const std::string_view prefix = text.substr(0, length);
    look_up(by_prefix_, hash(prefix, kPrefixSeed),
            [&](const Criteria& c) { return contains(c.prefixes, prefix); });
  }
  for (Active* gap : by_class_) {
    if (contains(gap->announcement.gap->criteria.classes, class_name)) action(gap);
  }
}

// Forgets the numbers let through in slots before `slot`.
void GapRegister::clear_used(Active& gap, Slot slot) {
  if (gap.used_slot >= slot) return;
  gap.used_slot = slot - 1;
  used_ -= gap.used.size();
  gap.used.clear();
}

// Whether the gap lets the call pass. Sets the slot of the match, but does not use it yet.
bool GapRegister::lets_pass(Time now, Match& match) {
  Active& gap = *match.gap;
  const Gap& g = *gap.announcement.gap;
  if (g.shape == Shape::percentage)
    return std::uniform_real_distribution<double>(0.0, 100.0)(random_) < g.percent;
  if (!g.interval) return false;
  if (*g.interval == Duration{}) return true;
  match.slot = slot_at(gap.announcement, now);
  if (!port_owned_ || match.slot <= gap.last_fenced_slot) return false;
  const Time slot_start = gap.announcement.start + match.slot * *g.interval;
  const bool taken_over =
      failover_ != nullptr &&
      failover_->may_take_over(now, slot_start, owner_of(match.slot, match.salt, fleet_.size));
  if (!taken_over && !gap.slots.may_use(match.slot, match.salt)) return false;
  if (g.shape == Shape::whole) return match.slot > gap.used_slot;
  // Only the numbers let through in the current slot are kept, since past slots no longer matter. After the
  // clock has stepped back, a later slot is recorded as used, and no call passes until the clock has caught
  // up.
  clear_used(gap, match.slot);
  if (match.slot < gap.used_slot) return false;
  if (gap.used.contains(match.salt)) return false;
  if (used_ < kMaxUsedNumbers) return true;
  ++rejected_for_capacity_;
  return false;
}

// When a gapped caller should retry: after the start of the next slot, at a random time spread over as many
// slots as there are calls per slot, so that callers do not all return at once.
Duration GapRegister::retry_after(Time now, const Match& match) {
  const Announcement& a = match.gap->announcement;
  const Gap& g = *a.gap;
  Duration wait = max_retry_after_;
  double spread_s = seconds(max_retry_after_) / 2;
  if (has_slots(g)) {
    const Duration next = *g.interval - (now - a.start) % *g.interval;
    const double per_slot = std::clamp(match.gap->rate * seconds(*g.interval), 1.0, kMaxSpread);
    spread_s = per_slot * seconds(*g.interval);
    wait = next;
  } else if (g.shape != Shape::percentage) {
    wait = a.end - now;  // no call passes before the gap's end
  } else {
    wait = Duration{};
  }
  // Callers honor no more than max_retry_after_. Longer times are reduced to it and spread below it.
  spread_s = std::min(spread_s, seconds(max_retry_after_) / 2);
  wait = std::min(
      wait, max_retry_after_ - std::chrono::duration_cast<Duration>(std::chrono::duration<double>(spread_s)));
  const double offset_s = std::uniform_real_distribution<double>(0.0, spread_s)(random_);
  return std::max<Duration>(
      1ms, wait + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(offset_s)));
}

GapDecision GapRegister::check(Time now, std::string_view number, std::string_view class_name) {
  if (const auto next = due_.next(); next && *next <= now) process_due_changes(now);
  GapDecision verdict;
  if (keys_ == 0 && by_class_.empty()) return verdict;
  matches_.clear();
  for_each_match(number, class_name, [&](Active* gap) {
    // A gap may list both the number and a prefix of it.
    const auto same = [gap](const Match& m) { return m.gap == gap; };
    if (std::none_of(matches_.begin(), matches_.end(), same)) matches_.push_back({gap, gap->salt, 0});
  });
  const Match* rejecting = nullptr;
  for (Match& match : matches_) {
    Active& gap = *match.gap;
    if (gap.announcement.gap->shape == Shape::each_number) match.salt = gap.salt + hash(number, kNumberSeed);
    const double elapsed_s = seconds(now - gap.rate_updated_at);
    gap.rate = gap.rate_updated_at == Time{} ? 0.0 : gap.rate * std::exp(-std::max(0.0, elapsed_s)) + 1.0;
    gap.rate_updated_at = now;
    ++gap.demand;
    demanded_.insert(&gap);
    // Every gap is checked, so that each counts the calls it rejects. The last one that rejects the call sets
    // the answer.
    if (lets_pass(now, match)) continue;
    ++gap.gapped;
    rejecting = &match;
  }
  if (rejecting != nullptr) {
    verdict.passes = false;
    verdict.id = rejecting->gap->announcement.id;
    verdict.treatment = rejecting->gap->announcement.gap->treatment;
    verdict.retry_after = retry_after(now, *rejecting);
    return verdict;
  }
  for (const Match& match : matches_) {
    Active& gap = *match.gap;
    ++gap.passed;
    const Gap& g = *gap.announcement.gap;
    if (!has_slots(g)) continue;
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
    if (has_slots(*gap->announcement.gap))
      all.push_back({gap->announcement.id, gap->fingerprint, gap->demand});
    gap->demand = 0;
  }
  demanded_.clear();
  return all;
}

std::vector<Slot> GapRegister::cede(Time now, const std::string& id, std::uint64_t fingerprint,
                                    const std::vector<double>& demand, Duration ahead) {
  process_due_changes(now);
  const auto it = entries_.find(id);
  if (it == entries_.end() || !it->second.current) return {};
  Active& gap = *it->second.current;
  const Announcement& a = gap.announcement;
  if (gap.fingerprint != fingerprint || !has_slots(*a.gap)) return {};
  if (!port_owned_) return {};
  const Slot current_slot = slot_at(a, now);
  gap.slots.drop_before(current_slot);
  const bool each_number = a.gap->shape == Shape::each_number;
  // Slots that were used, or may have been used by an earlier incarnation, are not ceded.
  const Slot first = std::max({current_slot, gap.used_slot + 1, gap.last_fenced_slot + 1});
  const Slot last = std::min(slot_at(a, std::min(now + std::min(ahead, kMaxCedeAhead), a.end)),
                             current_slot + static_cast<Slot>(Slots::kMaxSlots));
  return gap.slots.cede(demand, first, last, gap.salt, each_number);
}

void GapRegister::grant(Time now, const std::string& id, std::uint64_t fingerprint,
                        const std::vector<OwnedSlot>& slots) {
  process_due_changes(now);
  const auto it = entries_.find(id);
  if (it == entries_.end() || !it->second.current) return;
  Active& gap = *it->second.current;
  if (gap.fingerprint != fingerprint || !has_slots(*gap.announcement.gap)) return;
  const Slot current_slot = slot_at(gap.announcement, now);
  gap.slots.drop_before(current_slot);
  gap.slots.grant(slots, current_slot);
}

}  // namespace graniterun::call_gapping
