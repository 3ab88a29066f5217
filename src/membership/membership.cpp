#include "membership/membership.h"

#include <algorithm>
#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace graniterun::membership {
namespace {

using namespace std::chrono_literals;

// A ping of ours is remembered so long for its answer. After a pause none is: answers then come late.
constexpr Duration kPingRetention = 2s;
constexpr std::size_t kMaxPendingPings = 1024;
constexpr std::size_t kMaxUnknownSenders = 256;
constexpr Duration kUnknownSenderInterval = 200ms;
// A stop of this process is one from this lateness of its own tick on.
constexpr Duration kPauseThreshold = 400ms;
// A port that refuses is asked again after so long: a process that is just binding is no dead one.
constexpr Duration kUnreachableRecheckDelay = 100ms;
// A death that others tell of is believed when the member has not answered an own ping for so long.
constexpr Duration kReportedDeathTimeout = 1s;
// Where no other member can be asked, only so long a silence is held against one.
constexpr Duration kIsolationTimeout = 10s;
// A successor has so long to come up.
constexpr Duration kHandoverTimeout = 5s;
constexpr Duration kHandoverNoticePeriod = 300ms;  // so long it is told, before the port is free
// A process that gets no answer from any seed goes on alone.
constexpr Duration kStartAloneDelay = 300ms;
constexpr Duration kSeedIntervalAlone = 200ms;
constexpr Duration kSeedInterval = 1s;
constexpr Duration kReconnectInterval = 500ms;
constexpr Duration kSyncDelay = 200ms;
constexpr Duration kSettleDelay = 400ms;
constexpr std::size_t kMaxSyncDatagrams = 24;
constexpr Duration kDuplicateProbeInterval = 300ms;
constexpr int kMaxDuplicateProbes = 3;
constexpr Duration kStoodDownRecheckInterval = 2s;
constexpr int kMaxIncarnationsInARow = 6;
constexpr Duration kIncarnationRunReset = 1min;
constexpr int kRetransmitMultiplier = 4;            // times log10 of the fleet, each rumour is told
constexpr std::size_t kMaxLeaveNotifications = 64;  // members that one who leaves tells by itself

std::size_t bucket_of(const std::string& name) { return XXH3_64bits(name.data(), name.size()) % kBuckets; }

// Suspicions come and go at different times everywhere: they are no part of what is compared.
std::uint64_t hash_of(const Record& record) {
  const State state = record.state == State::suspect ? State::alive : record.state;
  const std::string text = record.name + '\n' + std::to_string(record.incarnation) + '\n' +
                           std::to_string(record.start_nonce) + '\n' + std::to_string(record.refutation) +
                           '\n' + std::to_string(static_cast<int>(state));
  return XXH3_64bits(text.data(), text.size());
}

// As it was before it was doubted.
Record without_suspicion(Record record) {
  record.state = State::alive;
  record.suspecting_member.clear();
  return record;
}

std::string ms_text(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

}  // namespace

std::string_view to_string(MemberEventKind what) {
  constexpr std::string_view kWords[] = {"joined",  "suspected", "refuted",   "died",       "left",
                                         "settled", "paused",    "caught-up", "name-taken", "yielded"};
  return kWords[static_cast<std::size_t>(what)];
}
std::string_view to_string(Reachability reach) {
  constexpr std::string_view kWords[] = {"unknown", "direct", "through-others", "none"};
  return kWords[static_cast<std::size_t>(reach)];
}
std::string_view to_string(DropReason drop) {
  constexpr std::string_view kWords[] = {"not_in_roster", "misdirected", "old_life", "doubled",
                                         "too_old",       "unverified",  "full",     "own"};
  return kWords[static_cast<std::size_t>(drop)];
}

Membership::Membership(Settings settings) : settings_(std::move(settings)), random_(settings_.seed) {
  self_.name = settings_.name;
  self_.incarnation = settings_.incarnation;
  self_.start_nonce = settings_.start_nonce;
  self_.address = settings_.advertise;
  update_digest(self_, 1);
}

void Membership::step(Time now, const Event& event, Effects& effects) {
  out_ = &effects;
  std::visit([&](const auto& notice) { on(now, notice); }, event);
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

void Membership::update_digest(const Record& record, int sign) {
  const std::uint64_t hash = sign > 0 ? hash_of(record) : std::uint64_t{0} - hash_of(record);
  buckets_[bucket_of(record.name)] += hash;
  digest_ += hash;
}

// Takes `r` for what is known of that name now, and keeps all that follows from it in step.
void Membership::store_record(Time now, Peer& peer, const Record& record) {
  const bool was = peer.record.is_member();
  const bool moved = peer.record.address != record.address || was != record.is_member();
  if (!peer.broadcast_ended) update_digest(peer.record, -1);
  if (moved && was) by_address_.erase(peer.record.address);
  if (!peer.record.same_incarnation(record) || !record.is_member()) {
    if (peer.verified) --verified_;
    peer.verified = false;
  }
  if (!peer.record.same_incarnation(record)) {
    peer.window = ReplayWindow{};
    peer.first_unanswered_at.reset();
    peer.last_ack_at.reset();
  }
  if (peer.record.state != record.state || !peer.record.same_incarnation(record) ||
      peer.record.handing_over != record.handing_over)
    peer.state_since = now;
  peer.record = record;
  peer.broadcast_ended = false;
  update_digest(record, 1);
  record.state == State::dead ? void(dead_members_.insert(record.name))
                              : void(dead_members_.erase(record.name));
  if (record.state != State::suspect) {
    peer.suspicion.reset();
    suspects_.clear(record.name);
  }
  peer.reported_death.reset();
  reported_deaths_.clear(record.name);
  if (record.state == State::alive) peer.unreachable_since.reset();
  if (moved && record.is_member()) by_address_[record.address] = record.name;
  if (was != record.is_member()) record.is_member() ? count_member_in(record) : count_member_out(now, record);
  changed_at_ = now;
  broadcast(record.name);
}

void Membership::count_member_in(const Record& record) {
  ++members_;
  expirations_.clear(record.name);
  // Anywhere in the round, so that nobody knows who is probed next.
  const std::size_t at = probe_order_.empty() ? 0 : random_() % (probe_order_.size() + 1);
  if (std::find(probe_order_.begin(), probe_order_.end(), record.name) == probe_order_.end())
    probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(at), record.name);
}

void Membership::count_member_out(Time now, const Record& record) {
  --members_;
  expirations_.set(record.name, now + settings_.dead_member_retention / 2);
}

Membership::Peer& Membership::add_peer(Time now, const Record& record) {
  Peer& peer = peers_[record.name];
  peer.record = record;
  peer.state_since = now;
  update_digest(record, 1);
  if (record.state == State::dead) dead_members_.insert(record.name);
  if (record.is_member()) {
    ++members_;
    by_address_[record.address] = record.name;
    probe_order_.insert(
        probe_order_.begin() +
            static_cast<std::ptrdiff_t>(probe_order_.empty() ? 0 : random_() % (probe_order_.size() + 1)),
        record.name);
  } else {
    expirations_.set(record.name, now + settings_.dead_member_retention / 2);
  }
  changed_at_ = now;
  broadcast(record.name);
  return peer;
}

void Membership::erase_peer(Peers::iterator it) {
  if (!it->second.broadcast_ended) update_digest(it->second.record, -1);
  expirations_.clear(it->first);
  dead_members_.erase(it->first);
  reported_deaths_.clear(it->first);
  suspects_.clear(it->first);
  unreachable_checks_.clear(it->first);
  broadcasts_.drop(it->first);
  std::erase(probe_order_, it->first);
  probe_position_ = std::min(probe_position_, probe_order_.size());
  peers_.erase(it);
}

// For one more name. Those that are gone make room for those that are there.
bool Membership::make_room() {
  if (members_known() >= kMaxMembers) return false;
  if (peers_.size() < 2 * kMaxMembers) return true;
  auto oldest = peers_.end();
  for (auto it = peers_.begin(); it != peers_.end(); ++it) {
    if (it->second.record.is_member()) continue;
    if (oldest == peers_.end() || it->second.state_since < oldest->second.state_since) oldest = it;
  }
  if (oldest == peers_.end()) return false;
  erase_peer(oldest);
  return true;
}

std::vector<MemberView> Membership::members() const {
  std::vector<MemberView> all;
  const auto self = [&] {
    MemberView member;
    member.record = self_;
    member.state_since = incarnation_taken_at_ != Time{} ? incarnation_taken_at_ : started_at_;
    member.reachability = Reachability::direct;
    member.self = true;
    return member;
  };
  bool said = false;
  for (const auto& [name, p] : peers_) {
    if (!said && self_.name < name) {
      all.push_back(self());
      said = true;
    }
    MemberView member;
    member.record = p.record;
    member.state_since = p.state_since;
    member.last_received_at = p.last_received_at;
    if (p.first_unanswered_at) {
      member.reachability = p.last_relayed_ack_at && *p.last_relayed_ack_at >= *p.first_unanswered_at
                                ? Reachability::through_others
                                : Reachability::none;
    } else if (p.last_ack_at) {
      member.reachability = Reachability::direct;
    }
    all.push_back(std::move(member));
  }
  if (!said) all.push_back(self());
  return all;
}

std::size_t Membership::in_touch(Time now) const {
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) {
    return p.second.record.is_member() && p.second.last_received_at && now - *p.second.last_received_at <= 2s;
  }));
}

std::size_t Membership::memory() const {
  constexpr std::size_t kNode = 64;  // of a map, about
  std::size_t bytes = sizeof *this;
  for (const auto& [name, p] : peers_) {
    bytes += kNode + sizeof p + 3 * name.capacity() + p.record.name.capacity() + p.record.address.capacity() +
             p.record.suspecting_member.capacity() + 2 * kNode;
  }
  return bytes + probe_order_.capacity() * sizeof(std::string) +
         pending_pings_.size() * (kNode + sizeof(PendingPing)) + broadcasts_.size() * kNode;
}

// ---- saying

void Membership::attach_broadcasts(Datagram& datagram) {
  std::size_t bytes = 0;
  // Whoever has just been stopped may know what is long refuted.
  const auto fits = [&](const std::string& name) {
    const Record* record = record_of(name);
    if (record == nullptr || (catching_up_ && name != self_.name))
      return true;  // counts as told, and is left out
    if (bytes + bytes_of(*record) > kRecordBytes) return false;
    bytes += bytes_of(*record);
    return true;
  };
  for (const std::string& name : broadcasts_.next_batch(transmission_limit(), fits)) {
    const Record* record = record_of(name);
    if (record == nullptr || (catching_up_ && name != self_.name)) continue;
    if (name != self_.name) datagram.records.push_back(*record);  // itself is in `from`
  }
}

int Membership::transmission_limit() const {
  return kRetransmitMultiplier *
         static_cast<int>(std::ceil(std::log10(static_cast<double>(members_known() + 1))));
}

void Membership::send_datagram(const std::string& address, const std::string& to, Body body,
                               bool with_rumours) {
  Datagram datagram;
  datagram.from = self_;
  datagram.to = to;
  datagram.number = ++number_;
  datagram.digest = digest_;
  datagram.catching_up = catching_up_;
  datagram.body = std::move(body);
  if (with_rumours && announced_) attach_broadcasts(datagram);
  out_->push_back(SendDatagram{address, std::move(datagram)});
}

std::uint64_t Membership::ping(Time now, const std::string& name, const std::string& address, Purpose purpose,
                               const Record* said) {
  Ping ping;
  ping.token = random_();
  ping.by_non_member = !announced_ || purpose == Purpose::duplicate_name;
  if (said == nullptr && !name.empty() && purpose != Purpose::duplicate_name) said = record_of(name);
  // A suspect hears of it from everybody who asks it; without the refinement only by rumour.
  if (said != nullptr && (settings_.refinements.notify_suspect_at_once || said->state != State::suspect)) {
    ping.known = true;
    ping.about_receiver = *said;
  }
  while (pending_pings_.size() >= kMaxPendingPings) pending_pings_.erase(pending_pings_.begin());
  PendingPing a;
  a.purpose = purpose;
  a.name = name;
  a.address = address;
  a.sent_at = now;
  pending_pings_.emplace(ping.token, std::move(a));
  const std::uint64_t token = ping.token;
  // To one that is gone it is short, so that a refusal brings it back whole.
  send_datagram(address, purpose == Purpose::duplicate_name ? std::string() : name, std::move(ping),
                purpose != Purpose::reconnect);
  return token;
}

void Membership::emit_event(Time now, MemberEventKind what, const Record& record, std::string evidence) {
  if (what != MemberEventKind::settled && what != MemberEventKind::caught_up) changed_at_ = now;
  out_->push_back(MemberEvent{what, record, std::move(evidence)});
}

std::vector<Membership::Peer*> Membership::random_members(std::size_t most, const std::string& but) {
  std::vector<Peer*> found;
  if (probe_order_.empty()) return found;
  const std::size_t size = probe_order_.size();
  const auto take = [&](std::size_t at) {
    Peer* peer = find(probe_order_[at]);
    if (peer != nullptr && peer->record.is_member() && peer->record.name != but) found.push_back(peer);
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

Duration Membership::scaled_by_health(Duration duration) const {
  return settings_.refinements.local_health ? duration * (1 + health_score_) : duration;
}

void Membership::adjust_health(int by) { health_score_ = std::clamp(health_score_ + by, 0, kWorstHealth); }

// ---- hearing

void Membership::on(Time now, const DatagramReceived& event) {
  if (stopped_) return;
  const Datagram& datagram = event.datagram;
  if (datagram.from.name == self_.name) return handle_duplicate_name(now, datagram);
  if (!settings_.allowed_names.empty() && !settings_.allowed_names.contains(datagram.from.name))
    return count_drop(DropReason::not_allowed);
  if (!datagram.to.empty() && datagram.to != self_.name) return count_drop(DropReason::misdirected);
  Peer* peer = find(datagram.from.name);
  const auto rank = [](const Record& record) { return std::pair(record.incarnation, record.start_nonce); };
  const Ping* ping = std::get_if<Ping>(&datagram.body);
  if (peer != nullptr && rank(datagram.from) < rank(peer->record)) {
    count_drop(DropReason::old_incarnation);
    // It may be a restart whose clock stepped back: told what is known of its name, it takes a later life.
    if (ping != nullptr) handle_ping(now, datagram, *ping);
    return;
  }
  const bool verified = peer != nullptr && peer->verified && peer->record.same_incarnation(datagram.from);
  if (verified) {
    const auto verdict = peer->window.accept(datagram.number);
    if (verdict != ReplayWindow::Verdict::fresh)
      return count_drop(verdict == ReplayWindow::Verdict::duplicate ? DropReason::duplicate
                                                                    : DropReason::too_old);
    return handle_datagram(now, *peer, datagram);
  }
  // Not enough to believe it, but no silence either.
  if (peer != nullptr && peer->record.same_incarnation(datagram.from)) peer->last_unverified_at = now;
  handle_unverified(now, datagram, ping);
}

// From a process that has not answered a ping of this one's: only an answer to such a ping counts.
void Membership::handle_unverified(Time now, const Datagram& datagram, const Ping* ping) {
  if (const auto* ack = std::get_if<Ack>(&datagram.body)) {
    if (!handle_ack(now, datagram, *ack)) count_drop(DropReason::unverified);
    return;
  }
  // Anything could have been recorded and be played again: a stranger is asked, and what it says otherwise
  // does not count.
  if (ping != nullptr) handle_ping(now, datagram, *ping);
  if (ping == nullptr) count_drop(DropReason::unverified);
  if (!announced_ || (ping != nullptr && ping->by_non_member) || datagram.from.state == State::left) return;
  auto& last = unknown_senders_[datagram.from.address];
  if (last != Time{} && now - last < kUnknownSenderInterval) return;
  last = now;
  if (unknown_senders_.size() > kMaxUnknownSenders) unknown_senders_.erase(unknown_senders_.begin());
  this->ping(now, datagram.from.name, datagram.from.address, Purpose::join);
}

void Membership::handle_ping(Time, const Datagram& datagram, const Ping& ping) {
  if (!announced_ || stood_down_for_) return;
  // What is known of the sender is told to it, so that it can overrule it.
  Ack ack{ping.token, false, {}};
  if (const Record* record = record_of(datagram.from.name); record != nullptr) {
    ack.known = true;
    ack.about_receiver = *record;
  }
  send_datagram(datagram.from.address, datagram.from.name, std::move(ack));
}

// From the very process that the record is of.
void Membership::handle_datagram(Time now, Peer& from, const Datagram& datagram) {
  const std::string name = datagram.from.name;
  from.last_received_at = now;
  from.unreachable_since.reset();
  merge_record(now, datagram.from, true);
  if (!datagram.catching_up) {
    for (const Record& record : datagram.records) merge_record(now, record, false);
    compare_digest(now, name, datagram.digest);
  }
  handle_body(now, datagram);
}

void Membership::compare_digest(Time now, const std::string& name, std::uint64_t digest) {
  if (digest == digest_) {
    differs_since_.reset();
    return;
  }
  if (!differs_since_) differs_since_ = now;
  differs_with_ = name;
}

void Membership::handle_body(Time now, const Datagram& datagram) {
  if (const auto* ping = std::get_if<Ping>(&datagram.body)) {
    if (ping->known) merge_own_record(now, ping->about_receiver);
    handle_ping(now, datagram, *ping);
  } else if (const auto* ack = std::get_if<Ack>(&datagram.body)) {
    handle_ack(now, datagram, *ack);
  } else if (const auto* request = std::get_if<PingRequest>(&datagram.body)) {
    handle_ping_request(now, datagram, *request);
  } else if (const auto* relayed = std::get_if<RelayedAck>(&datagram.body)) {
    handle_relayed_ack(now, *relayed);
  } else if (const auto* nack = std::get_if<Nack>(&datagram.body)) {
    if (probe_ && nack->token == probe_->token) ++probe_->witnesses;
  } else if (const auto* ask = std::get_if<SyncRequest>(&datagram.body)) {
    handle_sync_request(now, datagram, *ask);
  }
}

void Membership::handle_relayed_ack(Time now, const RelayedAck& ack) {
  if (!probe_ || ack.token != probe_->token) return;
  ++probe_->witnesses;
  probe_->answered = true;
  if (Peer* peer = find(probe_->name)) peer->last_relayed_ack_at = now;
}

// Whether it answers a ping of ours: that proves that its sender is there and hears us.
bool Membership::handle_ack(Time now, const Datagram& datagram, const Ack& ack) {
  const auto it = pending_pings_.find(ack.token);
  if (it == pending_pings_.end()) return false;
  const PendingPing asked = it->second;
  if (!asked.name.empty() && asked.name != datagram.from.name) return false;
  pending_pings_.erase(it);
  if (asked.purpose == Purpose::duplicate_name) return true;
  if (ack.known) merge_own_record(now, ack.about_receiver);
  if (!announced_ && !duplicate_) announce_self(now);
  handle_non_member(now, datagram);
  if (probe_ && (ack.token == probe_->token || ack.token == probe_->repeat_token)) probe_->answered = true;
  if (asked.purpose == Purpose::relay)
    send_datagram(asked.for_address, asked.for_name, RelayedAck{asked.for_token});
  if (catching_up_) {
    answered_since_.insert(datagram.from.name);
    if (answered_since_.size() >= std::min<std::size_t>(2, std::max<std::size_t>(1, members_))) {
      catching_up_ = false;
      emit_event(now, MemberEventKind::caught_up, self_,
                 "heard from " + std::to_string(answered_since_.size()));
    }
  }
  if (asked.name.empty() && announced_) {
    // A seed, now known by name: told again who we are, it takes us in.
    ping(now, datagram.from.name, datagram.from.address, Purpose::join);
  }
  return true;
}

void Membership::handle_non_member(Time now, const Datagram& datagram) {
  if (!settings_.allowed_names.empty() && !settings_.allowed_names.contains(datagram.from.name))
    return count_drop(DropReason::not_allowed);
  merge_record(now, datagram.from, true);
  Peer* peer = find(datagram.from.name);
  if (peer == nullptr) return;
  // Held dead at a later incarnation, it has not heard of it yet; its next answer will say otherwise.
  if (!peer->record.same_incarnation(datagram.from) || !peer->record.is_member()) return;
  if (!peer->verified) {
    peer->verified = true;
    ++verified_;
    peer->window.accept(
        datagram.number);  // of the same life, what was taken before a silence is not taken again
    if (verified_ == 1 && settings_.refinements.anti_entropy) {
      // The first who is known for sure: all that it knows is asked for.
      differs_since_ = now - kSyncDelay;
      differs_with_ = peer->record.name;
    }
  }
  peer->last_received_at = peer->last_ack_at = now;
  peer->first_unanswered_at.reset();
  peer->unreachable_since.reset();
  if (peer->reported_death) {
    ++metrics_.deaths_disproved;
    peer->reported_death.reset();
    reported_deaths_.clear(peer->record.name);
  }
}

void Membership::handle_ping_request(Time now, const Datagram& datagram, const PingRequest& request) {
  if (request.name == self_.name || !announced_) return;
  const Peer* peer = find(request.name);
  const std::string address = peer != nullptr ? peer->record.address : request.address;
  const std::uint64_t token = ping(now, request.name, address, Purpose::relay);
  PendingPing& asked = pending_pings_.at(token);
  asked.for_address = datagram.from.address;
  asked.for_name = datagram.from.name;
  asked.for_token = request.token;
}

void Membership::handle_sync_request(Time, const Datagram& datagram, const SyncRequest& ask) {
  if (ask.buckets.size() != kBuckets || !announced_ || catching_up_) return;
  std::array<bool, kBuckets> wanted{};
  bool any = false;
  for (std::size_t i = 0; i < kBuckets; ++i) any = (wanted[i] = ask.buckets[i] != buckets_[i]) || any;
  if (!any) return;
  ++metrics_.syncs;
  std::vector<Record> records;
  std::size_t bytes = 0;
  std::size_t datagrams = 0;
  const auto send = [&] {
    Datagram out;
    out.from = self_;
    out.to = datagram.from.name;
    out.number = ++number_;
    out.digest = digest_;
    out.body = Gossip{};
    out.records = std::exchange(records, {});
    out_->push_back(SendDatagram{datagram.from.address, std::move(out)});
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
    if (!p.broadcast_ended && wanted[bucket])
      told.emplace_back((bucket + kBuckets - first) % kBuckets, &p.record);
  }
  std::stable_sort(told.begin(), told.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [turn, r] : told) {
    if (bytes + bytes_of(*r) > kRecordBytes) send();
    if (datagrams >= kMaxSyncDatagrams) break;
    bytes += bytes_of(*r);
    records.push_back(*r);
  }
  if (datagrams < kMaxSyncDatagrams) send();  // an empty one too: `from` is what it may lack
}

// ---- learning

void Membership::merge_record(Time now, const Record& record, bool first_hand) {
  if (record.name == self_.name) return merge_own_record(now, record);
  if (!settings_.allowed_names.empty() && !settings_.allowed_names.contains(record.name)) return;
  Peer* peer = find(record.name);
  if (peer == nullptr) return merge_unknown_peer(now, record, first_hand);
  if (!supersedes(record, peer->record)) return confirm_suspicion(*peer, record);
  switch (record.state) {
    case State::alive:
      return merge_alive(now, *peer, record, first_hand);
    case State::suspect:
      return merge_suspect(now, *peer, record);
    case State::dead:
      return merge_dead(now, *peer, record);
    case State::left: {
      const bool was_member = peer->record.is_member();
      store_record(now, *peer, record);
      if (was_member) emit_event(now, MemberEventKind::left, record, "it said so");
      return;
    }
  }
}

void Membership::merge_unknown_peer(Time now, const Record& record, bool first_hand) {
  if (record.is_member() && !make_room()) return count_drop(DropReason::full);
  if (!record.is_member() && peers_.size() >= 2 * kMaxMembers) return;
  if (record.state == State::suspect) {
    const Record alive = without_suspicion(record);
    Peer& fresh = add_peer(now, alive);
    emit_event(now, MemberEventKind::joined, alive, "told");
    return merge_suspicion(now, fresh, record);
  }
  add_peer(now, record);
  if (record.is_member())
    emit_event(now, MemberEventKind::joined, record, first_hand ? "it answered" : "told");
}

// Another member's suspicion of one that is suspect already confirms it.
void Membership::confirm_suspicion(Peer& peer, const Record& record) {
  const bool same_suspicion = record.state == State::suspect && peer.record.state == State::suspect &&
                              record.same_incarnation(peer.record) &&
                              record.refutation == peer.record.refutation;
  if (!same_suspicion || !peer.suspicion || !peer.suspicion->confirm(record.suspecting_member)) return;
  suspects_.set(record.name, peer.suspicion->deadline());
  broadcast(record.name);
}

void Membership::merge_alive(Time now, Peer& peer, const Record& record, bool first_hand) {
  const Record before = peer.record;
  const bool newer_incarnation = !record.same_incarnation(before);
  if (!before.is_member() && members_known() >= kMaxMembers) return count_drop(DropReason::full);
  if (peer.reported_death) ++metrics_.deaths_disproved;
  store_record(now, peer, record);
  if (newer_incarnation && before.is_member()) {
    Record ended = before;
    ended.state = State::dead;
    ended.evidence = Evidence::replaced;
    emit_event(now, MemberEventKind::died, ended,
               "its life " + std::to_string(before.incarnation) + " was ended by life " +
                   std::to_string(record.incarnation));
  }
  if (newer_incarnation || !before.is_member()) {
    emit_event(now, MemberEventKind::joined, record, first_hand ? "it answered" : "told");
  } else if (before.state == State::suspect) {
    ++metrics_.refuted;
    emit_event(now, MemberEventKind::refuted, record,
               "it says so, in incarnation " + std::to_string(record.refutation));
  }
}

void Membership::merge_suspect(Time now, Peer& peer, const Record& record) {
  if (!record.same_incarnation(peer.record) || !peer.record.is_member()) {
    const Record alive = without_suspicion(record);
    store_record(now, peer, alive);
    emit_event(now, MemberEventKind::joined, alive, "told");
  }
  merge_suspicion(now, peer, record);
}

void Membership::merge_dead(Time now, Peer& peer, const Record& record) {
  const bool own_finding = peer.suspicion && peer.suspicion->deadline() <= now;
  if (!peer.record.is_member() || !record.same_incarnation(peer.record) || own_finding ||
      !settings_.refinements.verify_reported_deaths)
    return declare_dead(now, peer, record);
  // Two sides of a cut hold each other dead for good reason; a side that has one in reach asks it.
  if (peer.reported_death && !supersedes(record, *peer.reported_death)) return;
  peer.reported_death = record;
  reported_deaths_.set(record.name, now + kReportedDeathTimeout);
  ping(now, record.name, peer.record.address, Purpose::check, &record);
}

void Membership::merge_suspicion(Time now, Peer& peer, const Record& record) {
  store_record(now, peer, record);
  ++metrics_.suspicions_known;
  peer.suspicion.emplace(now, settings_.min_suspicion_timeout, settings_.max_suspicion_timeout,
                         settings_.refinements.shrinking_suspicion, record.suspecting_member);
  suspects_.set(record.name, peer.suspicion->deadline());
  emit_event(now, MemberEventKind::suspected, record,
             std::string(to_string(record.evidence)) + ", says " + record.suspecting_member);
}

// This process finds that it can't reach the member.
void Membership::raise_suspicion(Time now, Peer& peer, Evidence evidence) {
  if (catching_up_ || !announced_) return;
  Record record = peer.record;
  record.state = State::suspect;
  record.evidence = evidence;
  record.suspecting_member = self_.name;
  ++metrics_.suspicions_raised;
  if (peer.record.state == State::suspect) {
    if (peer.suspicion && peer.suspicion->confirm(self_.name)) {
      suspects_.set(record.name, peer.suspicion->deadline());
      peer.record.suspecting_member = self_.name;  // told on as our own doubt
      broadcast(record.name);
    }
  } else {
    merge_suspicion(now, peer, record);
  }
  if (settings_.refinements.notify_suspect_at_once) ping(now, peer, Purpose::check);
}

void Membership::declare_dead(Time now, Peer& peer, const Record& dead) {
  const bool member = peer.record.is_member();
  const std::size_t accusers = peer.suspicion ? peer.suspicion->suspecting_members() : 0;
  store_record(now, peer, dead);
  if (!member) return;
  ++metrics_.confirmed;
  if (dead.evidence == Evidence::port_unreachable) ++metrics_.deaths_by_unreachable_port;
  emit_event(now, MemberEventKind::died, dead,
             std::string(to_string(dead.evidence)) + ", says " + dead.suspecting_member +
                 (accusers > 1 ? " and " + std::to_string(accusers - 1) + " more" : ""));
}

void Membership::merge_own_record(Time now, const Record& record) {
  if (record.same_incarnation(self_)) {
    if (self_.state == State::left) return;
    if (record.state == State::left) return take_incarnation(now, self_.incarnation + 1);
    if (record.refutation < self_.refutation) return;
    if (record.state == State::alive && record.refutation == self_.refutation) return;
    update_digest(self_, -1);
    self_.refutation = record.refutation + 1;
    update_digest(self_, 1);
    ++metrics_.own_suspicions_refuted;
    if (settings_.refinements.local_health) adjust_health(1);
    changed_at_ = now;
    broadcast(self_.name);
    return;
  }
  // An older life at another address may be a process of the same name: who is not a member yet asks it, who
  // is one leaves it to the other to hear of the later life.
  const bool older = record.incarnation < self_.incarnation;
  if (older && (announced_ || !record.is_member() || record.address == self_.address)) return;
  contest_name(now, record);
}

void Membership::on(Time now, const PortUnreachable& event) {
  if (!settings_.refinements.unreachable_ports || stopped_) return;
  if (const auto asked = event.token ? pending_pings_.find(*event.token) : pending_pings_.end();
      asked != pending_pings_.end()) {
    const Peer* gone = find(asked->second.name);
    if (gone != nullptr && watched_ports_.contains(asked->second.name) && gone->record.state == State::dead &&
        gone->record.evidence == Evidence::port_unreachable)
      out_->push_back(PortReleased{asked->second.name, asked->second.sent_at});
  }
  const auto it = by_address_.find(event.address);
  if (it == by_address_.end()) return;
  Peer* peer = find(it->second);
  if (peer == nullptr || !peer->record.is_member()) return;
  if (peer->record.handing_over && now - peer->state_since < kHandoverTimeout) return;
  // Another member's word that it is dead, or that its port refuses it too, makes two.
  if (peer->reported_death) return declare_dead(now, *peer, Record(*peer->reported_death));
  const bool second = peer->record.state == State::suspect &&
                      peer->record.evidence == Evidence::port_unreachable &&
                      peer->record.suspecting_member != self_.name && !catching_up_;
  if (!peer->unreachable_since && !second) {
    peer->unreachable_since = now;
    unreachable_checks_.set(peer->record.name, now + kUnreachableRecheckDelay);
    return raise_suspicion(now, *peer, Evidence::port_unreachable);
  }
  if (!second && (now - *peer->unreachable_since < kUnreachableRecheckDelay || catching_up_)) return;
  Record dead = peer->record;
  dead.state = State::dead;
  dead.evidence = Evidence::port_unreachable;
  dead.suspecting_member = self_.name;
  declare_dead(now, *peer, dead);
}

// ---- one name, one process

// Another process has this one's name, or an earlier life of it is still known. At this address nobody else
// can be: it is gone. At another one it may be there, and is asked.
void Membership::contest_name(Time now, const Record& record) {
  if (!record.is_member() || record.address == self_.address)
    return take_incarnation(now, std::max(record.incarnation, self_.incarnation) + 1);
  if (stood_down_for_ || duplicate_) return;
  duplicate_ = DuplicateName{};
  duplicate_->record = record;
}

void Membership::check_duplicate_name(Time now) {
  if (stood_down_for_) {
    // From time to time it is asked whether the other one is still there.
    if (!duplicate_) {
      duplicate_ = DuplicateName{};
      duplicate_->record = *stood_down_for_;
      duplicate_->probed_at = now;
      return;
    }
    if (now - duplicate_->probed_at < kStoodDownRecheckInterval) return;
  } else {
    if (!duplicate_ || (duplicate_->tries > 0 && now - duplicate_->probed_at < kDuplicateProbeInterval))
      return;
  }
  if (duplicate_->tries >= kMaxDuplicateProbes) {
    const Incarnation life = std::max(duplicate_->record.incarnation, self_.incarnation);
    duplicate_.reset();
    stood_down_for_.reset();
    take_incarnation(now, life + 1);
    return announce_self(now);
  }
  ++duplicate_->tries;
  duplicate_->probed_at = now;
  duplicate_->token = ping(now, self_.name, duplicate_->record.address, Purpose::duplicate_name);
}

void Membership::handle_duplicate_name(Time now, const Datagram& datagram) {
  if (datagram.from.start_nonce == self_.start_nonce) return count_drop(DropReason::own);  // ours, sent back
  if (const auto* ack = std::get_if<Ack>(&datagram.body)) {
    if (!duplicate_ || ack->token != duplicate_->token) return count_drop(DropReason::own);
    pending_pings_.erase(ack->token);
    duplicate_->tries = 0;
    // It is there. Whoever is a member already stays, unless the other one's life is the later.
    if (stood_down_for_ || !announced_ ||
        std::pair(datagram.from.incarnation, datagram.from.start_nonce) >
            std::pair(self_.incarnation, self_.start_nonce))
      return stand_down(now, datagram.from);
    duplicate_.reset();
    return;
  }
  if (datagram.from.address == self_.address)
    return count_drop(DropReason::own);  // an earlier life of ours, late
  if (const auto* ping = std::get_if<Ping>(&datagram.body)) {
    if (ping->by_non_member && duplicate_addresses_.size() < 16 &&
        duplicate_addresses_.insert(datagram.from.address).second)
      emit_event(now, MemberEventKind::name_taken, datagram.from,
                 "another process at " + datagram.from.address + " has this one's name");
    if (announced_ && !stood_down_for_)
      send_datagram(datagram.from.address, self_.name, Ack{ping->token, false, {}}, false);
    if (ping->by_non_member) return;
  }
  if (std::pair(datagram.from.incarnation, datagram.from.start_nonce) >
      std::pair(self_.incarnation, self_.start_nonce))
    contest_name(now, datagram.from);
}

void Membership::stand_down(Time now, const Record& to) {
  const bool news = !stood_down_for_;
  stood_down_for_ = to;
  announced_ = false;
  duplicate_->record = to;
  if (news)
    emit_event(now, MemberEventKind::stood_down, to,
               "the process at " + to.address + " has this one's name: it takes no part");
}

void Membership::take_incarnation(Time now, Incarnation life) {
  if (now - incarnation_taken_at_ > kIncarnationRunReset) incarnations_in_a_row_ = 0;
  if (++incarnations_in_a_row_ > kMaxIncarnationsInARow) return;  // somebody else does the same: not for ever
  incarnation_taken_at_ = now;
  ++metrics_.incarnations_taken;
  update_digest(self_, -1);
  self_.incarnation = life;
  self_.refutation = 0;
  self_.state = State::alive;
  update_digest(self_, 1);
  changed_at_ = now;
  broadcast(self_.name);
}

void Membership::announce_self(Time now) {
  if (announced_ || stopped_) return;
  announced_ = true;
  changed_at_ = now;
  broadcast(self_.name);
  emit_event(now, MemberEventKind::joined, self_, "life " + std::to_string(self_.incarnation));
}

// ---- time

void Membership::on(Time now, const Started&) {
  started_at_ = changed_at_ = listening_since_ = now;
  last_tick_at_ = now;
  contact_missing_members(now);
  if (settings_.seeds.empty()) announce_self(now);
}

void Membership::on(Time now, const LeaveRequested& event) {
  if (stopped_ || stops_at_ || self_.state == State::left) return;
  update_digest(self_, -1);
  ++self_.refutation;
  if (event.successor) {
    self_.handing_over = true;
  } else {
    self_.state = State::left;
  }
  update_digest(self_, 1);
  broadcast(self_.name);
  if (!event.successor) emit_event(now, MemberEventKind::left, self_, "it was asked to");
  if (announced_) {
    for (const Peer* peer : random_members(kMaxLeaveNotifications, {}))
      send_datagram(peer->record.address, peer->record.name, Gossip{}, false);
  }
  // It goes on for a moment: those who have not spoken with it yet ask first, and may tell nobody else in
  // time.
  if (event.successor) stops_at_ = now + kHandoverNoticePeriod;
}

void Membership::on(Time now, const Tick&) {
  if (stops_at_ && now >= *stops_at_) stopped_ = true;
  if (stopped_) return;
  detect_pause(now);
  check_duplicate_name(now);
  if (!announced_ && !stood_down_for_ && !duplicate_ && now - started_at_ >= kStartAloneDelay)
    announce_self(now);
  check_ping_timeouts(now);
  check_suspicion_timeouts(now);
  check_probe(now);
  contact_missing_members(now);
  send_gossip(now);
  request_sync(now);
  update_view(now);
}

void Membership::detect_pause(Time now) {
  const Duration late = last_tick_at_ ? now - *last_tick_at_ - kTick : Duration{};
  last_tick_at_ = now;
  if (!settings_.refinements.pause_detection || late < kPauseThreshold) return;
  // Answers and refutations came to a process that did not run: nothing of that time counts against anybody.
  ++metrics_.pauses;
  listening_since_ = now;
  probe_.reset();
  pending_pings_.clear();
  for (auto& [name, p] : peers_) {
    p.unreachable_since.reset();
    if (p.suspicion) {
      p.suspicion->discount(late);
      suspects_.set(name, p.suspicion->deadline());
    }
    if (p.reported_death) reported_deaths_.set(name, now + kReportedDeathTimeout);
  }
  if (settings_.refinements.local_health) adjust_health(2);
  emit_event(now, MemberEventKind::paused, self_, "for " + ms_text(late));
  if (has_no_members() || !announced_) return;
  catching_up_ = true;
  answered_since_.clear();
  for (const Peer* peer : random_members(3, {})) ping(now, *peer, Purpose::check);
}

void Membership::check_ping_timeouts(Time now) {
  std::vector<std::uint64_t> over;
  for (auto& [token, a] : pending_pings_) {
    if (a.purpose == Purpose::relay && !a.nack_sent && now - a.sent_at >= settings_.ack_timeout) {
      a.nack_sent = true;
      send_datagram(a.for_address, a.for_name, Nack{a.for_token});
    }
    if (now - a.sent_at >= kPingRetention) over.push_back(token);
  }
  for (const std::uint64_t token : over) pending_pings_.erase(token);
  std::erase_if(unknown_senders_,
                [&](const auto& s) { return now - s.second > 10 * kUnknownSenderInterval; });
}

void Membership::check_suspicion_timeouts(Time now) {
  if (catching_up_) {
    // Not before it has heard again what others hold.
    return;
  }
  while (const auto name = suspects_.pop_due(now)) {
    Peer* peer = find(*name);
    if (peer == nullptr || peer->record.state != State::suspect) continue;
    Record dead = peer->record;
    dead.state = State::dead;
    declare_dead(now, *peer, dead);
  }
  while (const auto name = reported_deaths_.pop_due(now)) {
    Peer* peer = find(*name);
    if (peer == nullptr || !peer->reported_death) continue;
    const Record dead = *peer->reported_death;
    if (supersedes(dead, peer->record)) declare_dead(now, *peer, dead);
  }
  while (const auto name = expirations_.pop_due(now)) {
    const auto it = peers_.find(*name);
    if (it == peers_.end() || it->second.record.is_member()) continue;
    if (it->second.broadcast_ended) {
      erase_peer(it);
      continue;
    }
    // Told no more, but still known: what comes late of it changes nothing.
    it->second.broadcast_ended = true;
    dead_members_.erase(*name);
    update_digest(it->second.record, -1);
    expirations_.set(*name, now + settings_.dead_member_retention / 2);
  }
  // A refusal is looked at again: two make a death.
  while (const auto name = unreachable_checks_.pop_due(now)) {
    Peer* peer = find(*name);
    if (peer != nullptr && peer->unreachable_since) ping(now, *peer, Purpose::check);
  }
}

void Membership::start_probe(Time now) {
  for (std::size_t tries = 0; tries <= probe_order_.size() && !probe_order_.empty(); ++tries) {
    if (probe_position_ >= probe_order_.size()) {
      probe_position_ = 0;
      std::erase_if(probe_order_, [&](const std::string& name) {
        const Peer* peer = find(name);
        return peer == nullptr || !peer->record.is_member();
      });
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
      if (probe_order_.empty()) return;
    }
    const std::string name = probe_order_[probe_position_++];
    Peer* peer = find(name);
    if (peer == nullptr || !peer->record.is_member()) continue;
    Probe probe;
    probe.name = name;
    probe.indirect_at = now + scaled_by_health(settings_.ack_timeout);
    probe.deadline = now + scaled_by_health(settings_.probe_interval);
    probe.token = ping(now, name, peer->record.address, Purpose::probe);
    probe_ = probe;
    return;
  }
}

void Membership::check_probe(Time now) {
  if (!announced_ || self_.state == State::left) return;
  if (probe_ && !probe_->answered && !probe_->indirect_sent && now >= probe_->indirect_at)
    probe_indirectly(now);
  if (probe_ && now >= probe_->deadline) finish_probe(now);
  if (!probe_ && now - last_probe_at_ >= settings_.probe_interval) {
    last_probe_at_ = now;
    start_probe(now);
  }
}

// No answer so far: it is pinged once more, and others are asked to ping it.
void Membership::probe_indirectly(Time now) {
  probe_->indirect_sent = true;
  Peer* peer = find(probe_->name);
  if (peer == nullptr || !peer->record.is_member()) return;
  if (!peer->first_unanswered_at) peer->first_unanswered_at = now;
  probe_->repeat_token = ping(now, probe_->name, peer->record.address, Purpose::probe);
  if (!settings_.refinements.indirect_probing) return;
  // Those heard of late are the likelier to answer.
  std::vector<Peer*> helpers = random_members(3 * settings_.indirect_probes, probe_->name);
  std::stable_sort(helpers.begin(), helpers.end(), [](const Peer* left, const Peer* right) {
    return left->last_received_at > right->last_received_at;
  });
  if (helpers.size() > settings_.indirect_probes) helpers.resize(settings_.indirect_probes);
  for (const Peer* helper : helpers) {
    ++probe_->helpers;
    send_datagram(helper->record.address, helper->record.name,
                  PingRequest{probe_->token, probe_->name, peer->record.address});
  }
}

void Membership::finish_probe(Time now) {
  const Probe probe = *probe_;
  probe_.reset();
  if (probe.answered) return adjust_health(-1);
  Peer* peer = find(probe.name);
  if (peer == nullptr || !peer->record.is_member() || catching_up_) return;
  // Helpers that answered speak for this process' own health (Lifeguard, section IV-A).
  if (probe.helpers == 0 || probe.witnesses < probe.helpers) adjust_health(1);
  // Where those who were asked say nothing either, it is more likely this process that is not heard.
  const Time last = std::max({peer->last_received_at.value_or(peer->state_since),
                              peer->last_unverified_at.value_or(peer->state_since), listening_since_});
  const bool witnessed = !settings_.refinements.indirect_probing || members_ < 2 || probe.witnesses > 0;
  const bool handing_over = peer->record.handing_over && now - peer->state_since < kHandoverTimeout;
  if (!handing_over && (witnessed || now - last > kIsolationTimeout))
    raise_suspicion(now, *peer, Evidence::unresponsive);
}

// Seeds that are no members are asked for ever; members that are dead are asked whether they are back.
void Membership::contact_missing_members(Time now) {
  if (self_.state == State::left || stood_down_for_) return;
  if (now - seeds_contacted_at_ >= (has_no_members() ? kSeedIntervalAlone : kSeedInterval)) {
    seeds_contacted_at_ = now;
    for (const std::string& seed : settings_.seeds) {
      if (seed != settings_.advertise && !by_address_.contains(seed)) ping(now, {}, seed, Purpose::join);
    }
  }
  if (announced_ && now - ports_checked_at_ >= settings_.probe_interval) {
    ports_checked_at_ = now;
    for (const std::string& name : watched_ports_) {
      const Peer* peer = find(name);
      if (peer != nullptr && peer->record.state == State::dead) ping(now, *peer, Purpose::reconnect);
    }
  }
  if (!announced_ || now - last_reconnect_at_ < kReconnectInterval) return;
  last_reconnect_at_ = now;
  if (dead_members_.empty()) return;
  auto it = dead_members_.upper_bound(last_reconnect_);
  if (it == dead_members_.end()) it = dead_members_.begin();
  last_reconnect_ = *it;
  if (const Peer* peer = find(last_reconnect_)) ping(now, *peer, Purpose::reconnect);
}

void Membership::send_gossip(Time now) {
  if (!announced_ || broadcasts_.empty() || now - last_gossip_at_ < settings_.gossip_interval) return;
  last_gossip_at_ = now;
  for (const Peer* peer : random_members(settings_.gossip_fanout, {})) {
    if (broadcasts_.empty()) return;
    send_datagram(peer->record.address, peer->record.name, Gossip{});
  }
}

void Membership::request_sync(Time now) {
  if (!settings_.refinements.anti_entropy || !announced_ || !differs_since_ ||
      now - *differs_since_ < kSyncDelay)
    return;
  // Large fleets differ more often, and by less.
  const Duration every = kSyncDelay * (members_known() > 100 ? 4 : 1);
  if (now - sync_requested_at_ < every) return;
  Peer* peer = find(differs_with_);
  if (peer == nullptr || !peer->record.is_member()) {
    differs_since_.reset();
    return;
  }
  sync_requested_at_ = now;
  send_datagram(peer->record.address, peer->record.name, SyncRequest{{buckets_.begin(), buckets_.end()}},
                false);
}

void Membership::update_view(Time now) {
  const bool quiet = announced_ && !catching_up_ && suspects_.size() == 0 && reported_deaths_.size() == 0 &&
                     !differs_since_ && now - changed_at_ >= kSettleDelay;
  if (!quiet) {
    if (view_.settled) view_.changed_at = now;
    view_.settled = false;
    return;
  }
  if (view_.settled) return;
  view_.settled = true;
  view_.changed_at = now;
  view_.names.clear();
  std::string text;
  const auto add = [&](const Record& record) {
    view_.names.push_back(record.name);
    text += record.name + '\n' + std::to_string(record.incarnation) + '\n';
  };
  bool said = !self_.is_member();
  for (const auto& [name, p] : peers_) {
    if (!said && self_.name < name) {
      add(self_);
      said = true;
    }
    if (p.record.is_member()) add(p.record);
  }
  if (!said) add(self_);
  view_.digest = XXH3_64bits(text.data(), text.size());
  if (settled_digest_ == view_.digest) return;
  settled_digest_ = view_.digest;
  emit_event(now, MemberEventKind::settled, self_, std::to_string(view_.names.size()) + " members");
}

}  // namespace graniterun::membership
