#include "membership/membership.h"

#include <algorithm>
#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace graniterun::membership {
namespace {

using namespace std::chrono_literals;

// A ping of ours is remembered so long for its answer. After a pause none is: answers then come late.
constexpr Duration kAskedFor = 2s;
constexpr std::size_t kMostAsked = 1024;
constexpr std::size_t kMostStrangers = 256;
constexpr Duration kStrangerPause = 200ms;
// A stop of this process is one from this lateness of its own tick on.
constexpr Duration kPausedFrom = 400ms;
// A port that refuses is asked again after so long: a process that is just binding is no dead one.
constexpr Duration kRefusedAgain = 100ms;
// A death that others tell of is believed when the member has not answered an own ping for so long.
constexpr Duration kCheckedFor = 1s;
// Where no other member can be asked, only so long a silence is held against one.
constexpr Duration kLonely = 10s;
// A successor has so long to come up.
constexpr Duration kHandOver = 5s;
constexpr Duration kHandOverTold = 300ms;  // so long it is told, before the port is free
// A process that gets no answer from any seed goes on alone.
constexpr Duration kAlone = 300ms;
constexpr Duration kSeedsSoon = 200ms;
constexpr Duration kSeedsEvery = 1s;
constexpr Duration kReachOut = 500ms;
constexpr Duration kSyncPatience = 200ms;
constexpr Duration kSettle = 400ms;
constexpr std::size_t kMostSyncDatagrams = 24;
constexpr Duration kTwinAgain = 300ms;
constexpr int kTwinTries = 3;
constexpr Duration kYieldLook = 2s;
constexpr int kMostLivesInARow = 6;
constexpr Duration kLivesForgotten = 1min;
constexpr int kTellFactor = 4;         // times log10 of the fleet, each rumour is told
constexpr std::size_t kTellLeft = 64;  // members that one who leaves tells by itself

std::size_t bucket_of(const std::string& name) { return XXH3_64bits(name.data(), name.size()) % kBuckets; }

// Suspicions come and go at different times everywhere: they are no part of what is compared.
std::uint64_t hash_of(const Record& r) {
  const State state = r.state == State::suspect ? State::alive : r.state;
  const std::string text = r.name + '\n' + std::to_string(r.life) + '\n' + std::to_string(r.birth) + '\n' +
                           std::to_string(r.incarnation) + '\n' + std::to_string(static_cast<int>(state));
  return XXH3_64bits(text.data(), text.size());
}

// As it was before it was doubted.
Record undoubted(Record r) {
  r.state = State::alive;
  r.accuser.clear();
  return r;
}

std::string ms_text(Duration d) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
}

}  // namespace

std::string_view word_of(What what) {
  constexpr std::string_view kWords[] = {"joined",  "suspected", "refuted",   "died",       "left",
                                         "settled", "paused",    "caught-up", "name-taken", "yielded"};
  return kWords[static_cast<std::size_t>(what)];
}
std::string_view word_of(Reach reach) {
  constexpr std::string_view kWords[] = {"unknown", "direct", "through-others", "none"};
  return kWords[static_cast<std::size_t>(reach)];
}
std::string_view word_of(Drop drop) {
  constexpr std::string_view kWords[] = {"not_in_roster", "misdirected", "old_life", "doubled",
                                         "too_old",       "unverified",  "full",     "own"};
  return kWords[static_cast<std::size_t>(drop)];
}

Membership::Membership(Settings settings) : settings_(std::move(settings)), random_(settings_.seed) {
  self_.name = settings_.name;
  self_.life = settings_.life;
  self_.birth = settings_.birth;
  self_.address = settings_.advertise;
  count(self_, 1);
}

void Membership::step(Time now, const Event& event, Effects& effects) {
  out_ = &effects;
  std::visit([&](const auto& e) { on(now, e); }, event);
  out_ = nullptr;
}

// ---- what is held

Membership::Peer* Membership::find(const std::string& name) {
  const auto it = peers_.find(name);
  return it == peers_.end() ? nullptr : &it->second;
}

const Record* Membership::record_of(const std::string& name) const {
  if (name == self_.name) return &self_;
  const auto it = peers_.find(name);
  return it == peers_.end() ? nullptr : &it->second.record;
}

void Membership::count(const Record& r, int sign) {
  const std::uint64_t hash = sign > 0 ? hash_of(r) : std::uint64_t{0} - hash_of(r);
  buckets_[bucket_of(r.name)] += hash;
  digest_ += hash;
}

// Takes `r` for what is known of that name now, and keeps all that follows from it in step.
void Membership::hold(Time now, Peer& p, const Record& r) {
  const bool was = p.record.member();
  const bool moved = p.record.address != r.address || was != r.member();
  if (!p.faded) count(p.record, -1);
  if (moved && was) by_address_.erase(p.record.address);
  if (!p.record.same_life(r) || !r.member()) {
    if (p.verified) --verified_;
    p.verified = false;
  }
  if (!p.record.same_life(r)) {
    p.window = Window{};
    p.unanswered.reset();
    p.answered.reset();
  }
  if (p.record.state != r.state || !p.record.same_life(r) || p.record.handing_over != r.handing_over)
    p.since = now;
  p.record = r;
  p.faded = false;
  count(r, 1);
  r.state == State::dead ? void(dead_.insert(r.name)) : void(dead_.erase(r.name));
  if (r.state != State::suspect) {
    p.suspicion.reset();
    suspects_.clear(r.name);
  }
  p.told_dead.reset();
  checks_.clear(r.name);
  if (r.state == State::alive) p.refused.reset();
  if (moved && r.member()) by_address_[r.address] = r.name;
  if (was != r.member()) {
    r.member() ? ++members_ : --members_;
    if (r.member()) {
      gone_.clear(r.name);
      // Anywhere in the round, so that nobody knows who is probed next.
      const std::size_t at = ring_.empty() ? 0 : random_() % (ring_.size() + 1);
      if (std::find(ring_.begin(), ring_.end(), r.name) == ring_.end())
        ring_.insert(ring_.begin() + static_cast<std::ptrdiff_t>(at), r.name);
    } else {
      gone_.set(r.name, now + settings_.forget_after / 2);
    }
  }
  changed_ = now;
  spread(r.name);
}

Membership::Peer& Membership::enter(Time now, const Record& r) {
  Peer& p = peers_[r.name];
  p.record = r;
  p.since = now;
  count(r, 1);
  if (r.state == State::dead) dead_.insert(r.name);
  if (r.member()) {
    ++members_;
    by_address_[r.address] = r.name;
    ring_.insert(
        ring_.begin() + static_cast<std::ptrdiff_t>(ring_.empty() ? 0 : random_() % (ring_.size() + 1)),
        r.name);
  } else {
    gone_.set(r.name, now + settings_.forget_after / 2);
  }
  changed_ = now;
  spread(r.name);
  return p;
}

void Membership::forget(Peers::iterator it) {
  if (!it->second.faded) count(it->second.record, -1);
  gone_.clear(it->first);
  dead_.erase(it->first);
  checks_.clear(it->first);
  suspects_.clear(it->first);
  refusals_.clear(it->first);
  rumours_.drop(it->first);
  std::erase(ring_, it->first);
  ring_at_ = std::min(ring_at_, ring_.size());
  peers_.erase(it);
}

// For one more name. Those that are gone make room for those that are there.
bool Membership::make_room() {
  if (members_known() >= kMostMembers) return false;
  if (peers_.size() < 2 * kMostMembers) return true;
  auto oldest = peers_.end();
  for (auto it = peers_.begin(); it != peers_.end(); ++it) {
    if (it->second.record.member()) continue;
    if (oldest == peers_.end() || it->second.since < oldest->second.since) oldest = it;
  }
  if (oldest == peers_.end()) return false;
  forget(oldest);
  return true;
}

std::vector<MemberView> Membership::members() const {
  std::vector<MemberView> all;
  const auto self = [&] {
    MemberView v;
    v.record = self_;
    v.since = life_taken_ != Time{} ? life_taken_ : started_;
    v.reach = Reach::direct;
    v.self = true;
    return v;
  };
  bool said = false;
  for (const auto& [name, p] : peers_) {
    if (!said && self_.name < name) {
      all.push_back(self());
      said = true;
    }
    MemberView v;
    v.record = p.record;
    v.since = p.since;
    v.heard = p.heard;
    if (p.unanswered) {
      v.reach = p.through && *p.through >= *p.unanswered ? Reach::through_others : Reach::none;
    } else if (p.answered) {
      v.reach = Reach::direct;
    }
    all.push_back(std::move(v));
  }
  if (!said) all.push_back(self());
  return all;
}

std::size_t Membership::in_touch(Time now) const {
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) {
    return p.second.record.member() && p.second.heard && now - *p.second.heard <= 2s;
  }));
}

std::size_t Membership::memory() const {
  constexpr std::size_t kNode = 64;  // of a map, about
  std::size_t bytes = sizeof *this;
  for (const auto& [name, p] : peers_) {
    bytes += kNode + sizeof p + 3 * name.capacity() + p.record.name.capacity() + p.record.address.capacity() +
             p.record.accuser.capacity() + 2 * kNode;
  }
  return bytes + ring_.capacity() * sizeof(std::string) + asked_.size() * (kNode + sizeof(Asked)) +
         rumours_.size() * kNode;
}

// ---- saying

void Membership::fill(Datagram& d) {
  std::size_t bytes = 0;
  // Whoever has just been stopped may know what is long refuted.
  const auto fits = [&](const std::string& name) {
    const Record* r = record_of(name);
    if (r == nullptr || (catching_up_ && name != self_.name)) return true;  // counts as told, and is left out
    if (bytes + bytes_of(*r) > kRecordBytes) return false;
    bytes += bytes_of(*r);
    return true;
  };
  for (const std::string& name : rumours_.take(times_told(), fits)) {
    const Record* r = record_of(name);
    if (r == nullptr || (catching_up_ && name != self_.name)) continue;
    if (name != self_.name) d.records.push_back(*r);  // itself is in `from`
  }
}

int Membership::times_told() const {
  return kTellFactor * static_cast<int>(std::ceil(std::log10(static_cast<double>(members_known() + 1))));
}

void Membership::tell(const std::string& address, const std::string& to, Body body, bool with_rumours) {
  Datagram d;
  d.from = self_;
  d.to = to;
  d.number = ++number_;
  d.digest = digest_;
  d.catching_up = catching_up_;
  d.body = std::move(body);
  if (with_rumours && announced_) fill(d);
  out_->push_back(Tell{address, std::move(d)});
}

std::uint64_t Membership::ping(Time now, const std::string& name, const std::string& address, Purpose purpose,
                               const Record* said) {
  Ping p;
  p.token = random_();
  p.asking = !announced_ || purpose == Purpose::twin;
  if (said == nullptr && !name.empty() && purpose != Purpose::twin) said = record_of(name);
  // A suspect hears of it from everybody who asks it; without the refinement only by rumour.
  if (said != nullptr && (settings_.refinements.told_at_once || said->state != State::suspect)) {
    p.known = true;
    p.of_you = *said;
  }
  while (asked_.size() >= kMostAsked) asked_.erase(asked_.begin());
  Asked a;
  a.purpose = purpose;
  a.name = name;
  a.address = address;
  a.at = now;
  asked_.emplace(p.token, std::move(a));
  const std::uint64_t token = p.token;
  // To one that is gone it is short, so that a refusal brings it back whole.
  tell(address, purpose == Purpose::twin ? std::string() : name, std::move(p), purpose != Purpose::reconnect);
  return token;
}

void Membership::happened(Time now, What what, const Record& r, std::string evidence) {
  if (what != What::settled && what != What::caught_up) changed_ = now;
  out_->push_back(Happened{what, r, std::move(evidence)});
}

std::vector<Membership::Peer*> Membership::some_members(std::size_t most, const std::string& but) {
  std::vector<Peer*> found;
  if (ring_.empty()) return found;
  const std::size_t size = ring_.size();
  const auto take = [&](std::size_t at) {
    Peer* p = find(ring_[at]);
    if (p != nullptr && p->record.member() && p->record.name != but) found.push_back(p);
  };
  if (2 * most >= size) {  // nearly all: in turn, from anywhere on
    const std::size_t first = random_() % size;
    for (std::size_t i = 0; i < size && found.size() < most; ++i) take((first + i) % size);
    return found;
  }
  // Drawn; a few more tries, since some of the ring may be gone.
  std::set<std::size_t> tried;
  for (std::size_t i = 0; i < 4 * most + 8 && found.size() < most && tried.size() < size; ++i) {
    const std::size_t at = random_() % size;
    if (tried.insert(at).second) take(at);
  }
  return found;
}

Duration Membership::slower(Duration d) const {
  return settings_.refinements.local_health ? d * (1 + score_) : d;
}

void Membership::worse(int by) { score_ = std::clamp(score_ + by, 0, kWorstHealth); }

// ---- hearing

void Membership::on(Time now, const Heard& e) {
  if (stopped_) return;
  const Datagram& d = e.datagram;
  if (d.from.name == self_.name) return heard_namesake(now, d);
  if (!settings_.roster.empty() && !settings_.roster.contains(d.from.name)) return drop(Drop::not_in_roster);
  if (!d.to.empty() && d.to != self_.name) return drop(Drop::misdirected);
  Peer* p = find(d.from.name);
  const auto rank = [](const Record& r) { return std::pair(r.life, r.birth); };
  const Ping* ping = std::get_if<Ping>(&d.body);
  if (p != nullptr && rank(d.from) < rank(p->record)) {
    drop(Drop::old_life);
    // It may be a restart whose clock stepped back: told what is known of its name, it takes a later life.
    if (ping != nullptr) answer(now, d, *ping);
    return;
  }
  const bool verified = p != nullptr && p->verified && p->record.same_life(d.from);
  if (verified) {
    const auto verdict = p->window.take(d.number);
    if (verdict != Window::Verdict::fresh)
      return drop(verdict == Window::Verdict::doubled ? Drop::doubled : Drop::too_old);
    return take(now, *p, d);
  }
  // Not enough to believe it, but no silence either.
  if (p != nullptr && p->record.same_life(d.from)) p->hinted = now;
  if (const auto* ack = std::get_if<Ack>(&d.body)) {
    if (!take_ack(now, d, *ack)) drop(Drop::unverified);
    return;
  }
  // Anything could have been recorded and be played again: a stranger is asked, and what it says otherwise
  // does not count.
  if (ping != nullptr) answer(now, d, *ping);
  if (ping == nullptr) drop(Drop::unverified);
  if (!announced_ || (ping != nullptr && ping->asking) || d.from.state == State::left) return;
  auto& last = strangers_[d.from.address];
  if (last != Time{} && now - last < kStrangerPause) return;
  last = now;
  if (strangers_.size() > kMostStrangers) strangers_.erase(strangers_.begin());
  this->ping(now, d.from.name, d.from.address, Purpose::join);
}

void Membership::answer(Time, const Datagram& d, const Ping& ping) {
  if (!announced_ || yielded_) return;
  // What is known of the sender is told to it, so that it can overrule it.
  Ack ack{ping.token, false, {}};
  if (const Record* r = record_of(d.from.name); r != nullptr) {
    ack.known = true;
    ack.of_you = *r;
  }
  tell(d.from.address, d.from.name, std::move(ack));
}

// From the very process that the record is of.
void Membership::take(Time now, Peer& from, const Datagram& d) {
  const std::string name = d.from.name;
  from.heard = now;
  from.refused.reset();
  learn(now, d.from, true);
  if (!d.catching_up) {
    for (const Record& r : d.records) learn(now, r, false);
    if (d.digest == digest_) {
      differs_.reset();
    } else {
      if (!differs_) differs_ = now;
      differs_with_ = name;
    }
  }
  if (const auto* ping = std::get_if<Ping>(&d.body)) {
    if (ping->known) learn_of_self(now, ping->of_you);
    answer(now, d, *ping);
  } else if (const auto* ack = std::get_if<Ack>(&d.body)) {
    take_ack(now, d, *ack);
  } else if (const auto* request = std::get_if<PingRequest>(&d.body)) {
    relay(now, d, *request);
  } else if (const auto* for_us = std::get_if<AckFor>(&d.body)) {
    if (probe_ && for_us->token == probe_->token) {
      ++probe_->witnesses;
      probe_->answered = true;
      if (Peer* p = find(probe_->name)) p->through = now;
    }
  } else if (const auto* nack = std::get_if<Nack>(&d.body)) {
    if (probe_ && nack->token == probe_->token) ++probe_->witnesses;
  } else if (const auto* ask = std::get_if<SyncAsk>(&d.body)) {
    answer_sync(now, d, *ask);
  }
}

// Whether it answers a ping of ours: that proves that its sender is there and hears us.
bool Membership::take_ack(Time now, const Datagram& d, const Ack& ack) {
  const auto it = asked_.find(ack.token);
  if (it == asked_.end()) return false;
  const Asked asked = it->second;
  if (!asked.name.empty() && asked.name != d.from.name) return false;
  asked_.erase(it);
  if (asked.purpose == Purpose::twin) return true;
  if (ack.known) learn_of_self(now, ack.of_you);
  if (!announced_ && !twin_) announce(now);
  admit(now, d);
  if (probe_ && (ack.token == probe_->token || ack.token == probe_->second)) probe_->answered = true;
  if (asked.purpose == Purpose::relay) tell(asked.for_address, asked.for_name, AckFor{asked.for_token});
  if (catching_up_) {
    answered_since_.insert(d.from.name);
    if (answered_since_.size() >= std::min<std::size_t>(2, std::max<std::size_t>(1, members_))) {
      catching_up_ = false;
      happened(now, What::caught_up, self_, "heard from " + std::to_string(answered_since_.size()));
    }
  }
  if (asked.name.empty() && announced_) {
    // A seed, now known by name: told again who we are, it takes us in.
    ping(now, d.from.name, d.from.address, Purpose::join);
  }
  return true;
}

void Membership::admit(Time now, const Datagram& d) {
  if (!settings_.roster.empty() && !settings_.roster.contains(d.from.name)) return drop(Drop::not_in_roster);
  learn(now, d.from, true);
  Peer* p = find(d.from.name);
  if (p == nullptr) return;
  // Held dead at a later incarnation, it has not heard of it yet; its next answer will say otherwise.
  if (!p->record.same_life(d.from) || !p->record.member()) return;
  if (!p->verified) {
    p->verified = true;
    ++verified_;
    p->window.take(d.number);  // of the same life, what was taken before a silence is not taken again
    if (verified_ == 1 && settings_.refinements.anti_entropy) {
      // The first who is known for sure: all that it knows is asked for.
      differs_ = now - kSyncPatience;
      differs_with_ = p->record.name;
    }
  }
  p->heard = p->answered = now;
  p->unanswered.reset();
  p->refused.reset();
  if (p->told_dead) {
    ++figures_.deaths_turned_down;
    p->told_dead.reset();
    checks_.clear(p->record.name);
  }
}

void Membership::relay(Time now, const Datagram& d, const PingRequest& request) {
  if (request.name == self_.name || !announced_) return;
  const Peer* p = find(request.name);
  const std::string address = p != nullptr ? p->record.address : request.address;
  const std::uint64_t token = ping(now, request.name, address, Purpose::relay);
  Asked& asked = asked_.at(token);
  asked.for_address = d.from.address;
  asked.for_name = d.from.name;
  asked.for_token = request.token;
}

void Membership::answer_sync(Time, const Datagram& d, const SyncAsk& ask) {
  if (ask.buckets.size() != kBuckets || !announced_ || catching_up_) return;
  std::array<bool, kBuckets> wanted{};
  bool any = false;
  for (std::size_t i = 0; i < kBuckets; ++i) any = (wanted[i] = ask.buckets[i] != buckets_[i]) || any;
  if (!any) return;
  ++figures_.syncs;
  std::vector<Record> records;
  std::size_t bytes = 0;
  std::size_t datagrams = 0;
  const auto send = [&] {
    Datagram out;
    out.from = self_;
    out.to = d.from.name;
    out.number = ++number_;
    out.digest = digest_;
    out.body = Told{};
    out.records = std::exchange(records, {});
    out_->push_back(Tell{d.from.address, std::move(out)});
    bytes = 0;
    ++datagrams;
  };
  // Bucket by bucket, from any one on: what does not fit is another part each time, and a bucket that was
  // told whole is wanted no more. In order of names a large fleet would be told the same first names for
  // ever.
  const std::size_t first = random_() % kBuckets;
  std::vector<std::pair<std::size_t, const Record*>> told;
  for (const auto& [name, p] : peers_) {
    const std::size_t bucket = bucket_of(name);
    if (!p.faded && wanted[bucket]) told.emplace_back((bucket + kBuckets - first) % kBuckets, &p.record);
  }
  std::stable_sort(told.begin(), told.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [turn, r] : told) {
    if (bytes + bytes_of(*r) > kRecordBytes) send();
    if (datagrams >= kMostSyncDatagrams) break;
    bytes += bytes_of(*r);
    records.push_back(*r);
  }
  if (datagrams < kMostSyncDatagrams) send();  // an empty one too: `from` is what it may lack
}

// ---- learning

void Membership::learn(Time now, const Record& r, bool first_hand) {
  if (r.name == self_.name) return learn_of_self(now, r);
  if (!settings_.roster.empty() && !settings_.roster.contains(r.name)) return;
  Peer* p = find(r.name);
  if (p == nullptr) {
    if (r.member() && !make_room()) return drop(Drop::full);
    if (!r.member() && peers_.size() >= 2 * kMostMembers) return;
    if (r.state == State::suspect) {
      const Record alive = undoubted(r);
      Peer& fresh = enter(now, alive);
      happened(now, What::joined, alive, "told");
      return doubt(now, fresh, r);
    }
    enter(now, r);
    if (r.member()) happened(now, What::joined, r, first_hand ? "it answered" : "told");
    return;
  }
  if (!holds_over(r, p->record)) {
    // Another one's doubt of what is doubted already confirms it.
    if (r.state == State::suspect && p->record.state == State::suspect && r.same_life(p->record) &&
        r.incarnation == p->record.incarnation && p->suspicion && p->suspicion->confirm(r.accuser)) {
      suspects_.set(r.name, p->suspicion->deadline());
      spread(r.name);
    }
    return;
  }
  const Record before = p->record;
  const bool newer_life = !r.same_life(before);
  switch (r.state) {
    case State::alive:
      if (!before.member() && members_known() >= kMostMembers) return drop(Drop::full);
      if (p->told_dead) ++figures_.deaths_turned_down;
      hold(now, *p, r);
      if (newer_life && before.member()) {
        Record ended = before;
        ended.state = State::dead;
        ended.evidence = Evidence::replaced;
        happened(now, What::died, ended,
                 "its life " + std::to_string(before.life) + " was ended by life " + std::to_string(r.life));
      }
      if (newer_life || !before.member()) {
        happened(now, What::joined, r, first_hand ? "it answered" : "told");
      } else if (before.state == State::suspect) {
        ++figures_.refuted;
        happened(now, What::refuted, r, "it says so, in incarnation " + std::to_string(r.incarnation));
      }
      return;
    case State::suspect:
      if (newer_life || !before.member()) {
        const Record alive = undoubted(r);
        hold(now, *p, alive);
        happened(now, What::joined, alive, "told");
      }
      return doubt(now, *p, r);
    case State::dead: {
      const bool own_finding = p->suspicion && p->suspicion->deadline() <= now;
      if (!before.member() || newer_life || own_finding || !settings_.refinements.checks) {
        return bury(now, *p, r);
      }
      // Two sides of a cut hold each other dead for good reason; a side that has one in reach asks it.
      if (p->told_dead && !holds_over(r, *p->told_dead)) return;
      p->told_dead = r;
      checks_.set(r.name, now + kCheckedFor);
      ping(now, r.name, before.address, Purpose::check, &r);
      return;
    }
    case State::left:
      hold(now, *p, r);
      if (before.member()) happened(now, What::left, r, "it said so");
      return;
  }
}

void Membership::doubt(Time now, Peer& p, const Record& r) {
  hold(now, p, r);
  ++figures_.suspicions_held;
  p.suspicion.emplace(now, settings_.suspicion_least, settings_.suspicion_most,
                      settings_.refinements.shrinking, r.accuser);
  suspects_.set(r.name, p.suspicion->deadline());
  happened(now, What::suspected, r, std::string(word_of(r.evidence)) + ", says " + r.accuser);
}

// This process finds that it can't reach the member.
void Membership::raise(Time now, Peer& p, Evidence evidence) {
  if (catching_up_ || !announced_) return;
  Record r = p.record;
  r.state = State::suspect;
  r.evidence = evidence;
  r.accuser = self_.name;
  ++figures_.suspicions_raised;
  if (p.record.state == State::suspect) {
    if (p.suspicion && p.suspicion->confirm(self_.name)) {
      suspects_.set(r.name, p.suspicion->deadline());
      p.record.accuser = self_.name;  // told on as our own doubt
      spread(r.name);
    }
  } else {
    doubt(now, p, r);
  }
  if (settings_.refinements.told_at_once) ping(now, p, Purpose::check);
}

void Membership::bury(Time now, Peer& p, const Record& dead) {
  const bool member = p.record.member();
  const std::size_t accusers = p.suspicion ? p.suspicion->accusers() : 0;
  hold(now, p, dead);
  if (!member) return;
  ++figures_.confirmed;
  if (dead.evidence == Evidence::refused) ++figures_.deaths_refused;
  happened(now, What::died, dead,
           std::string(word_of(dead.evidence)) + ", says " + dead.accuser +
               (accusers > 1 ? " and " + std::to_string(accusers - 1) + " more" : ""));
}

void Membership::learn_of_self(Time now, const Record& r) {
  if (r.same_life(self_)) {
    if (self_.state == State::left) return;
    if (r.state == State::left) return take_life(now, self_.life + 1);
    if (r.incarnation < self_.incarnation) return;
    if (r.state == State::alive && r.incarnation == self_.incarnation) return;
    count(self_, -1);
    self_.incarnation = r.incarnation + 1;
    count(self_, 1);
    ++figures_.own_refuted;
    if (settings_.refinements.local_health) worse(1);
    changed_ = now;
    spread(self_.name);
    return;
  }
  // An older life at another address may be a process of the same name: who is not a member yet asks it, who
  // is one leaves it to the other to hear of the later life.
  const bool older = r.life < self_.life;
  if (older && (announced_ || !r.member() || r.address == self_.address)) return;
  contest(now, r);
}

void Membership::on(Time now, const Refused& e) {
  if (!settings_.refinements.refusals || stopped_) return;
  if (const auto asked = e.token ? asked_.find(*e.token) : asked_.end(); asked != asked_.end()) {
    const Peer* gone = find(asked->second.name);
    if (gone != nullptr && watched_.contains(asked->second.name) && gone->record.state == State::dead &&
        gone->record.evidence == Evidence::refused)
      out_->push_back(Absent{asked->second.name, asked->second.at});
  }
  const auto it = by_address_.find(e.address);
  if (it == by_address_.end()) return;
  Peer* p = find(it->second);
  if (p == nullptr || !p->record.member()) return;
  if (p->record.handing_over && now - p->since < kHandOver) return;
  // Another member's word that it is dead, or that its port refuses it too, makes two.
  if (p->told_dead) return bury(now, *p, Record(*p->told_dead));
  const bool second = p->record.state == State::suspect && p->record.evidence == Evidence::refused &&
                      p->record.accuser != self_.name && !catching_up_;
  if (!p->refused && !second) {
    p->refused = now;
    refusals_.set(p->record.name, now + kRefusedAgain);
    return raise(now, *p, Evidence::refused);
  }
  if (!second && (now - *p->refused < kRefusedAgain || catching_up_)) return;
  Record dead = p->record;
  dead.state = State::dead;
  dead.evidence = Evidence::refused;
  dead.accuser = self_.name;
  bury(now, *p, dead);
}

// ---- one name, one process

// Another process has this one's name, or an earlier life of it is still known. At this address nobody else
// can be: it is gone. At another one it may be there, and is asked.
void Membership::contest(Time now, const Record& r) {
  if (!r.member() || r.address == self_.address) return take_life(now, std::max(r.life, self_.life) + 1);
  if (yielded_ || twin_) return;
  twin_.emplace();
  twin_->record = r;
}

void Membership::look_at_twin(Time now) {
  if (yielded_) {
    // From time to time it is asked whether the other one is still there.
    if (!twin_) {
      twin_.emplace();
      twin_->record = *yielded_;
      twin_->asked = now;
      return;
    }
    if (now - twin_->asked < kYieldLook) return;
  } else {
    if (!twin_ || (twin_->tries > 0 && now - twin_->asked < kTwinAgain)) return;
  }
  if (twin_->tries >= kTwinTries) {
    const Life life = std::max(twin_->record.life, self_.life);
    twin_.reset();
    yielded_.reset();
    take_life(now, life + 1);
    return announce(now);
  }
  ++twin_->tries;
  twin_->asked = now;
  twin_->token = ping(now, self_.name, twin_->record.address, Purpose::twin);
}

void Membership::heard_namesake(Time now, const Datagram& d) {
  if (d.from.birth == self_.birth) return drop(Drop::own);  // ours, sent back
  if (const auto* ack = std::get_if<Ack>(&d.body)) {
    if (!twin_ || ack->token != twin_->token) return drop(Drop::own);
    asked_.erase(ack->token);
    twin_->tries = 0;
    // It is there. Whoever is a member already stays, unless the other one's life is the later.
    if (yielded_ || !announced_ || std::pair(d.from.life, d.from.birth) > std::pair(self_.life, self_.birth))
      return yield(now, d.from);
    twin_.reset();
    return;
  }
  if (d.from.address == self_.address) return drop(Drop::own);  // an earlier life of ours, late
  if (const auto* ping = std::get_if<Ping>(&d.body)) {
    if (ping->asking && namesakes_.size() < 16 && namesakes_.insert(d.from.address).second)
      happened(now, What::name_taken, d.from,
               "another process at " + d.from.address + " has this one's name");
    if (announced_ && !yielded_) tell(d.from.address, self_.name, Ack{ping->token, false, {}}, false);
    if (ping->asking) return;
  }
  if (std::pair(d.from.life, d.from.birth) > std::pair(self_.life, self_.birth)) contest(now, d.from);
}

void Membership::yield(Time now, const Record& to) {
  const bool news = !yielded_;
  yielded_ = to;
  announced_ = false;
  twin_->record = to;
  if (news)
    happened(now, What::yielded, to,
             "the process at " + to.address + " has this one's name: it takes no part");
}

void Membership::take_life(Time now, Life life) {
  if (now - life_taken_ > kLivesForgotten) lives_in_a_row_ = 0;
  if (++lives_in_a_row_ > kMostLivesInARow) return;  // somebody else does the same: not for ever
  life_taken_ = now;
  ++figures_.lives_taken;
  count(self_, -1);
  self_.life = life;
  self_.incarnation = 0;
  self_.state = State::alive;
  count(self_, 1);
  changed_ = now;
  spread(self_.name);
}

void Membership::announce(Time now) {
  if (announced_ || stopped_) return;
  announced_ = true;
  changed_ = now;
  spread(self_.name);
  happened(now, What::joined, self_, "life " + std::to_string(self_.life));
}

// ---- time

void Membership::on(Time now, const Started&) {
  started_ = changed_ = listening_ = now;
  ticked_ = now;
  reach_out(now);
  if (settings_.seeds.empty()) announce(now);
}

void Membership::on(Time now, const LeaveAsked& e) {
  if (stopped_ || stops_at_ || self_.state == State::left) return;
  count(self_, -1);
  ++self_.incarnation;
  if (e.successor) {
    self_.handing_over = true;
  } else {
    self_.state = State::left;
  }
  count(self_, 1);
  spread(self_.name);
  if (!e.successor) happened(now, What::left, self_, "it was asked to");
  if (announced_) {
    for (const Peer* p : some_members(kTellLeft, {})) tell(p->record.address, p->record.name, Told{}, false);
  }
  // It goes on for a moment: those who have not spoken with it yet ask first, and may tell nobody else in
  // time.
  if (e.successor) stops_at_ = now + kHandOverTold;
}

void Membership::on(Time now, const Tick&) {
  if (stops_at_ && now >= *stops_at_) stopped_ = true;
  if (stopped_) return;
  notice_pause(now);
  look_at_twin(now);
  if (!announced_ && !yielded_ && !twin_ && now - started_ >= kAlone) announce(now);
  look_at_pings(now);
  look_at_suspects(now);
  look_at_probe(now);
  reach_out(now);
  gossip(now);
  sync(now);
  settle(now);
}

void Membership::notice_pause(Time now) {
  const Duration late = ticked_ ? now - *ticked_ - kTick : Duration{};
  ticked_ = now;
  if (!settings_.refinements.pauses || late < kPausedFrom) return;
  // Answers and refutations came to a process that did not run: nothing of that time counts against anybody.
  ++figures_.pauses;
  listening_ = now;
  probe_.reset();
  asked_.clear();
  for (auto& [name, p] : peers_) {
    p.refused.reset();
    if (p.suspicion) {
      p.suspicion->discount(late);
      suspects_.set(name, p.suspicion->deadline());
    }
    if (p.told_dead) checks_.set(name, now + kCheckedFor);
  }
  if (settings_.refinements.local_health) worse(2);
  happened(now, What::paused, self_, "for " + ms_text(late));
  if (alone() || !announced_) return;
  catching_up_ = true;
  answered_since_.clear();
  for (const Peer* p : some_members(3, {})) ping(now, *p, Purpose::check);
}

void Membership::look_at_pings(Time now) {
  std::vector<std::uint64_t> over;
  for (auto& [token, a] : asked_) {
    if (a.purpose == Purpose::relay && !a.nacked && now - a.at >= settings_.ack_within) {
      a.nacked = true;
      tell(a.for_address, a.for_name, Nack{a.for_token});
    }
    if (now - a.at >= kAskedFor) over.push_back(token);
  }
  for (const std::uint64_t token : over) asked_.erase(token);
  std::erase_if(strangers_, [&](const auto& s) { return now - s.second > 10 * kStrangerPause; });
}

void Membership::look_at_suspects(Time now) {
  if (catching_up_) {
    // Not before it has heard again what others hold.
    return;
  }
  while (const auto name = suspects_.pop_due(now)) {
    Peer* p = find(*name);
    if (p == nullptr || p->record.state != State::suspect) continue;
    Record dead = p->record;
    dead.state = State::dead;
    bury(now, *p, dead);
  }
  while (const auto name = checks_.pop_due(now)) {
    Peer* p = find(*name);
    if (p == nullptr || !p->told_dead) continue;
    const Record dead = *p->told_dead;
    if (holds_over(dead, p->record)) bury(now, *p, dead);
  }
  while (const auto name = gone_.pop_due(now)) {
    const auto it = peers_.find(*name);
    if (it == peers_.end() || it->second.record.member()) continue;
    if (it->second.faded) {
      forget(it);
      continue;
    }
    // Told no more, but still known: what comes late of it changes nothing.
    it->second.faded = true;
    dead_.erase(*name);
    count(it->second.record, -1);
    gone_.set(*name, now + settings_.forget_after / 2);
  }
  // A refusal is looked at again: two make a death.
  while (const auto name = refusals_.pop_due(now)) {
    Peer* p = find(*name);
    if (p != nullptr && p->refused) ping(now, *p, Purpose::check);
  }
}

void Membership::start_probe(Time now) {
  for (std::size_t tries = 0; tries <= ring_.size() && !ring_.empty(); ++tries) {
    if (ring_at_ >= ring_.size()) {
      ring_at_ = 0;
      std::erase_if(ring_, [&](const std::string& name) {
        const Peer* p = find(name);
        return p == nullptr || !p->record.member();
      });
      std::shuffle(ring_.begin(), ring_.end(), random_);
      if (ring_.empty()) return;
    }
    const std::string name = ring_[ring_at_++];
    Peer* p = find(name);
    if (p == nullptr || !p->record.member()) continue;
    Probe probe;
    probe.name = name;
    probe.ask_others_at = now + slower(settings_.ack_within);
    probe.ends_at = now + slower(settings_.period);
    probe.token = ping(now, name, p->record.address, Purpose::probe);
    probe_ = probe;
    return;
  }
}

void Membership::look_at_probe(Time now) {
  if (!announced_ || self_.state == State::left) return;
  if (probe_ && !probe_->answered && !probe_->asked_others && now >= probe_->ask_others_at) {
    probe_->asked_others = true;
    Peer* p = find(probe_->name);
    if (p != nullptr && p->record.member()) {
      if (!p->unanswered) p->unanswered = now;
      probe_->second = ping(now, probe_->name, p->record.address, Purpose::probe);
      if (settings_.refinements.indirect) {
        // Those heard of late are the likelier to answer.
        std::vector<Peer*> helpers = some_members(3 * settings_.helpers, probe_->name);
        std::stable_sort(helpers.begin(), helpers.end(),
                         [](const Peer* a, const Peer* b) { return a->heard > b->heard; });
        if (helpers.size() > settings_.helpers) helpers.resize(settings_.helpers);
        for (const Peer* helper : helpers) {
          ++probe_->helpers;
          tell(helper->record.address, helper->record.name,
               PingRequest{probe_->token, probe_->name, p->record.address});
        }
      }
    }
  }
  if (probe_ && now >= probe_->ends_at) {
    const Probe probe = *probe_;
    probe_.reset();
    Peer* p = find(probe.name);
    if (probe.answered) {
      worse(-1);
    } else if (p != nullptr && p->record.member() && !catching_up_) {
      // Helpers that answered speak for this process' own health (Lifeguard, section IV-A).
      if (probe.helpers == 0 || probe.witnesses < probe.helpers) worse(1);
      // Where those who were asked say nothing either, it is more likely this process that is not heard.
      const Time last = std::max({p->heard.value_or(p->since), p->hinted.value_or(p->since), listening_});
      const bool witnessed = !settings_.refinements.indirect || members_ < 2 || probe.witnesses > 0;
      const bool handing = p->record.handing_over && now - p->since < kHandOver;
      if (!handing && (witnessed || now - last > kLonely)) raise(now, *p, Evidence::silent);
    }
  }
  if (!probe_ && now - probed_ >= settings_.period) {
    probed_ = now;
    start_probe(now);
  }
}

// Seeds that are no members are asked for ever; members that are dead are asked whether they are back.
void Membership::reach_out(Time now) {
  if (self_.state == State::left || yielded_) return;
  if (now - seeds_asked_ >= (alone() ? kSeedsSoon : kSeedsEvery)) {
    seeds_asked_ = now;
    for (const std::string& seed : settings_.seeds) {
      if (seed != settings_.advertise && !by_address_.contains(seed)) ping(now, {}, seed, Purpose::join);
    }
  }
  if (announced_ && now - watched_at_ >= settings_.period) {
    watched_at_ = now;
    for (const std::string& name : watched_) {
      const Peer* p = find(name);
      if (p != nullptr && p->record.state == State::dead) ping(now, *p, Purpose::reconnect);
    }
  }
  if (!announced_ || now - reached_out_ < kReachOut) return;
  reached_out_ = now;
  if (dead_.empty()) return;
  auto it = dead_.upper_bound(last_gone_);
  if (it == dead_.end()) it = dead_.begin();
  last_gone_ = *it;
  if (const Peer* p = find(last_gone_)) ping(now, *p, Purpose::reconnect);
}

void Membership::gossip(Time now) {
  if (!announced_ || rumours_.empty() || now - gossiped_ < settings_.gossip_every) return;
  gossiped_ = now;
  for (const Peer* p : some_members(settings_.fanout, {})) {
    if (rumours_.empty()) return;
    tell(p->record.address, p->record.name, Told{});
  }
}

void Membership::sync(Time now) {
  if (!settings_.refinements.anti_entropy || !announced_ || !differs_ || now - *differs_ < kSyncPatience)
    return;
  // Large fleets differ more often, and by less.
  const Duration every = kSyncPatience * (members_known() > 100 ? 4 : 1);
  if (now - sync_asked_ < every) return;
  Peer* p = find(differs_with_);
  if (p == nullptr || !p->record.member()) {
    differs_.reset();
    return;
  }
  sync_asked_ = now;
  tell(p->record.address, p->record.name, SyncAsk{{buckets_.begin(), buckets_.end()}}, false);
}

void Membership::settle(Time now) {
  const bool quiet = announced_ && !catching_up_ && suspects_.size() == 0 && checks_.size() == 0 &&
                     !differs_ && now - changed_ >= kSettle;
  if (!quiet) {
    if (view_.settled) view_.since = now;
    view_.settled = false;
    return;
  }
  if (view_.settled) return;
  view_.settled = true;
  view_.since = now;
  view_.names.clear();
  std::string text;
  const auto add = [&](const Record& r) {
    view_.names.push_back(r.name);
    text += r.name + '\n' + std::to_string(r.life) + '\n';
  };
  bool said = !self_.member();
  for (const auto& [name, p] : peers_) {
    if (!said && self_.name < name) {
      add(self_);
      said = true;
    }
    if (p.record.member()) add(p.record);
  }
  if (!said) add(self_);
  view_.digest = XXH3_64bits(text.data(), text.size());
  if (settled_digest_ == view_.digest) return;
  settled_digest_ = view_.digest;
  happened(now, What::settled, self_, std::to_string(view_.names.size()) + " members");
}

}  // namespace graniterun::membership
