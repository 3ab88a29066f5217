#include "membership/membership.h"

#include <algorithm>
#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace graniterun::membership {
namespace {

using namespace std::chrono_literals;

// How long a sent ping waits for its answer. A pause of this process discards all pending pings, because
// their answers would arrive late.
constexpr Duration kPingRetention = 2s;
constexpr std::size_t kMaxPendingPings = 1024;
constexpr std::size_t kMaxUnknownSenders = 256;
constexpr Duration kUnknownSenderInterval = 200ms;  // between pings to one unknown sender
// Minimum lateness of this process's own tick that counts as a pause.
constexpr Duration kPauseThreshold = 400ms;
// Delay before an unreachable port is pinged again: a process that is about to bind its port is not dead.
constexpr Duration kUnreachableRecheckDelay = 100ms;
// A death reported by others is accepted when the member has not answered this process's ping for this time.
constexpr Duration kReportedDeathTimeout = 1s;
// If no other member responds to indirect probes, only a member that has been silent this long is suspected.
constexpr Duration kIsolationTimeout = 10s;
// Time limit for the process that takes over at a handover to start; until then the member is not suspected.
constexpr Duration kHandoverTimeout = 5s;
constexpr Duration kHandoverNoticePeriod = 300ms;  // from the handover notice to the release of the port
// A process that gets no answer from any seed announces itself after this time.
constexpr Duration kStartAloneDelay = 300ms;
constexpr Duration kSeedIntervalAlone = 200ms;  // between pings to missing seeds while no member is known
constexpr Duration kSeedInterval = 1s;          // the same with members known
constexpr Duration kReconnectInterval = 500ms;  // between pings to dead members, one member each time
constexpr Duration kSyncDelay = 200ms;          // from a differing digest to the sync request
constexpr Duration kSettleDelay = 400ms;        // without a change before the view counts as settled
constexpr std::size_t kMaxSyncDatagrams = 24;   // in the answer to one sync request
constexpr Duration kDuplicateProbeInterval = 300ms;
constexpr int kMaxDuplicateProbes = 3;  // without an answer, before the name counts as free
constexpr Duration kStoodDownRecheckInterval = 2s;
// Bounds a contest of two processes that overrule each other's incarnation; the count starts again after a
// minute without a new incarnation.
constexpr int kMaxConsecutiveIncarnations = 6;
constexpr Duration kIncarnationCountResetDelay = 1min;
// A record is broadcast this many times the logarithm (base 10) of the fleet size.
constexpr int kRetransmitMultiplier = 4;
constexpr std::size_t kMaxLeaveNotifications = 64;  // members that a leaving process notifies directly

std::size_t bucket_of(const std::string& name) {
  return XXH3_64bits(name.data(), name.size()) % kDigestBuckets;
}

// Hash of a record for the table digests. A suspect hashes as alive: suspicions begin and end at different
// times at different members and must not make their digests differ.
std::uint64_t hash_of(const Record& record) {
  const State state = record.state == State::suspect ? State::alive : record.state;
  const std::string text = record.name + '\n' + std::to_string(record.incarnation) + '\n' +
                           std::to_string(record.start_nonce) + '\n' + std::to_string(record.refutation) +
                           '\n' + std::to_string(static_cast<int>(state));
  return XXH3_64bits(text.data(), text.size());
}

// The record as it was before the suspicion.
Record without_suspicion(Record record) {
  record.state = State::alive;
  record.suspecting_member.clear();
  return record;
}

std::string format_ms(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

}  // namespace

std::string_view to_string(MemberEventKind kind) {
  constexpr std::string_view kNames[] = {"joined",  "suspected", "refuted",   "died",       "left",
                                         "settled", "paused",    "caught-up", "name-taken", "yielded"};
  return kNames[static_cast<std::size_t>(kind)];
}
std::string_view to_string(Reachability reachability) {
  constexpr std::string_view kNames[] = {"unknown", "direct", "through-others", "none"};
  return kNames[static_cast<std::size_t>(reachability)];
}
std::string_view to_string(DropReason reason) {
  constexpr std::string_view kNames[] = {"not_in_roster", "misdirected", "old_life", "doubled",
                                         "too_old",       "unverified",  "full",     "own"};
  return kNames[static_cast<std::size_t>(reason)];
}

Membership::Membership(Settings settings) : settings_(std::move(settings)), random_(settings_.seed) {
  self_.name = settings_.name;
  self_.incarnation = settings_.incarnation;
  self_.start_nonce = settings_.start_nonce;
  self_.address = settings_.advertise;
  update_digest(self_, 1);
}

void Membership::step(Time now, const Event& event, Effects& effects) {
  effects_ = &effects;
  std::visit([&](const auto& received) { on(now, received); }, event);
  effects_ = nullptr;
}

// ---- member table

Membership::Peer* Membership::find_peer(const std::string& name) {
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

// Replaces the peer's record and updates everything derived from it: digests, indexes, counters, timers and
// the broadcast queue.
void Membership::store_record(Time now, Peer& peer, const Record& record) {
  const bool was_member = peer.record.is_member();
  const bool address_index_changes =
      peer.record.address != record.address || was_member != record.is_member();
  if (!peer.broadcast_ended) update_digest(peer.record, -1);
  if (address_index_changes && was_member) members_by_address_.erase(peer.record.address);
  if (!peer.record.same_incarnation(record) || !record.is_member()) {
    if (peer.verified) --verified_count_;
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
  if (address_index_changes && record.is_member()) members_by_address_[record.address] = record.name;
  if (was_member != record.is_member())
    record.is_member() ? on_member_added(record) : on_member_removed(now, record);
  changed_at_ = now;
  broadcast(record.name);
}

void Membership::on_member_added(const Record& record) {
  ++member_count_;
  expirations_.clear(record.name);
  // At a random position of the probe round (SWIM, section 4.3), so that the next target is not predictable.
  const std::size_t position = probe_order_.empty() ? 0 : random_() % (probe_order_.size() + 1);
  if (std::find(probe_order_.begin(), probe_order_.end(), record.name) == probe_order_.end())
    probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(position), record.name);
}

void Membership::on_member_removed(Time now, const Record& record) {
  --member_count_;
  expirations_.set(record.name, now + settings_.dead_member_retention / 2);
}

Membership::Peer& Membership::add_peer(Time now, const Record& record) {
  Peer& peer = peers_[record.name];
  peer.record = record;
  peer.state_since = now;
  update_digest(record, 1);
  if (record.state == State::dead) dead_members_.insert(record.name);
  if (record.is_member()) {
    ++member_count_;
    members_by_address_[record.address] = record.name;
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
  broadcasts_.remove(it->first);
  std::erase(probe_order_, it->first);
  probe_position_ = std::min(probe_position_, probe_order_.size());
  peers_.erase(it);
}

// Makes room for one more member: erases the record that has been dead or departed longest if the table is
// full. Returns false if members alone fill it.
bool Membership::make_room() {
  if (fleet_size() >= kMaxMembers) return false;
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
  bool self_added = false;
  for (const auto& [name, peer] : peers_) {
    if (!self_added && self_.name < name) {
      all.push_back(self());
      self_added = true;
    }
    MemberView member;
    member.record = peer.record;
    member.state_since = peer.state_since;
    member.last_received_at = peer.last_received_at;
    if (peer.first_unanswered_at) {
      member.reachability = peer.last_relayed_ack_at && *peer.last_relayed_ack_at >= *peer.first_unanswered_at
                                ? Reachability::through_others
                                : Reachability::none;
    } else if (peer.last_ack_at) {
      member.reachability = Reachability::direct;
    }
    all.push_back(std::move(member));
  }
  if (!self_added) all.push_back(self());
  return all;
}

std::size_t Membership::recent_contact_count(Time now) const {
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return entry.second.record.is_member() && entry.second.last_received_at &&
           now - *entry.second.last_received_at <= 2s;
  }));
}

std::size_t Membership::memory_bytes() const {
  constexpr std::size_t kMapNodeBytes = 64;  // approximate
  std::size_t bytes = sizeof *this;
  for (const auto& [name, peer] : peers_) {
    bytes += kMapNodeBytes + sizeof peer + 3 * name.capacity() + peer.record.name.capacity() +
             peer.record.address.capacity() + peer.record.suspecting_member.capacity() + 2 * kMapNodeBytes;
  }
  return bytes + probe_order_.capacity() * sizeof(std::string) +
         pending_pings_.size() * (kMapNodeBytes + sizeof(PendingPing)) + broadcasts_.size() * kMapNodeBytes;
}

// ---- sending

void Membership::attach_broadcasts(Datagram& datagram) {
  std::size_t bytes = 0;
  // A process that is catching up after a pause may hold suspicions that were refuted long ago, so it sends
  // only its own record.
  const auto fits = [&](const std::string& name) {
    const Record* record = record_of(name);
    if (record == nullptr || (catching_up_ && name != self_.name))
      return true;  // counts as transmitted, but is left out
    if (bytes + max_encoded_bytes(*record) > kMaxRecordBytes) return false;
    bytes += max_encoded_bytes(*record);
    return true;
  };
  for (const std::string& name : broadcasts_.next_batch(transmission_limit(), fits)) {
    const Record* record = record_of(name);
    if (record == nullptr || (catching_up_ && name != self_.name)) continue;
    if (name != self_.name) datagram.records.push_back(*record);  // its own record is in `from`
  }
}

int Membership::transmission_limit() const {
  return kRetransmitMultiplier *
         static_cast<int>(std::ceil(std::log10(static_cast<double>(fleet_size() + 1))));
}

void Membership::send_datagram(const std::string& address, const std::string& to, MessageBody body,
                               bool with_broadcasts) {
  Datagram datagram;
  datagram.from = self_;
  datagram.to = to;
  datagram.sequence_number = ++last_sequence_number_;
  datagram.digest = digest_;
  datagram.catching_up = catching_up_;
  datagram.body = std::move(body);
  if (with_broadcasts && announced_) attach_broadcasts(datagram);
  effects_->push_back(SendDatagram{address, std::move(datagram)});
}

std::uint64_t Membership::ping(Time now, const std::string& name, const std::string& address,
                               PingPurpose purpose, const Record* receiver_record) {
  Ping ping;
  ping.token = random_();
  ping.by_non_member = !announced_ || purpose == PingPurpose::duplicate_name;
  if (receiver_record == nullptr && !name.empty() && purpose != PingPurpose::duplicate_name)
    receiver_record = record_of(name);
  // Every ping to a suspect notifies it of the suspicion; without the refinement only broadcasts do.
  if (receiver_record != nullptr &&
      (settings_.refinements.notify_suspect_at_once || receiver_record->state != State::suspect)) {
    ping.has_record = true;
    ping.receiver_record = *receiver_record;
  }
  while (pending_pings_.size() >= kMaxPendingPings) pending_pings_.erase(pending_pings_.begin());
  PendingPing pending;
  pending.purpose = purpose;
  pending.name = name;
  pending.address = address;
  pending.sent_at = now;
  pending_pings_.emplace(ping.token, std::move(pending));
  const std::uint64_t token = ping.token;
  // A ping to a dead member carries no broadcasts: it is short, so that the port-unreachable report returns
  // it complete, with its token.
  send_datagram(address, purpose == PingPurpose::duplicate_name ? std::string() : name, std::move(ping),
                purpose != PingPurpose::reconnect);
  return token;
}

void Membership::emit_event(Time now, MemberEventKind kind, const Record& record, std::string evidence) {
  if (kind != MemberEventKind::settled && kind != MemberEventKind::caught_up) changed_at_ = now;
  effects_->push_back(MemberEvent{kind, record, std::move(evidence)});
}

std::vector<Membership::Peer*> Membership::random_members(std::size_t max_count,
                                                          const std::string& excluded) {
  std::vector<Peer*> selected;
  if (probe_order_.empty()) return selected;
  const std::size_t size = probe_order_.size();
  const auto select = [&](std::size_t position) {
    Peer* peer = find_peer(probe_order_[position]);
    if (peer != nullptr && peer->record.is_member() && peer->record.name != excluded)
      selected.push_back(peer);
  };
  if (2 * max_count >= size) {  // at least half of all: consecutive ones from a random position
    const std::size_t first = random_() % size;
    for (std::size_t i = 0; i < size && selected.size() < max_count; ++i) select((first + i) % size);
    return selected;
  }
  // Random draws, with some extra ones because entries of the probe order may no longer be members.
  std::set<std::size_t> drawn;
  for (std::size_t i = 0; i < 4 * max_count + 8 && selected.size() < max_count && drawn.size() < size; ++i) {
    const std::size_t position = random_() % size;
    if (drawn.insert(position).second) select(position);
  }
  return selected;
}

Duration Membership::scaled_by_health(Duration duration) const {
  return settings_.refinements.local_health ? duration * (1 + health_score_) : duration;
}

void Membership::adjust_health(int by) { health_score_ = std::clamp(health_score_ + by, 0, kMaxHealthScore); }

// ---- receiving

void Membership::on(Time now, const DatagramReceived& event) {
  if (stopped_) return;
  const Datagram& datagram = event.datagram;
  if (datagram.from.name == self_.name) return handle_duplicate_name(now, datagram);
  if (!settings_.allowed_names.empty() && !settings_.allowed_names.contains(datagram.from.name))
    return count_drop(DropReason::not_allowed);
  if (!datagram.to.empty() && datagram.to != self_.name) return count_drop(DropReason::misdirected);
  Peer* peer = find_peer(datagram.from.name);
  const auto rank = [](const Record& record) { return std::pair(record.incarnation, record.start_nonce); };
  const Ping* ping = std::get_if<Ping>(&datagram.body);
  if (peer != nullptr && rank(datagram.from) < rank(peer->record)) {
    count_drop(DropReason::old_incarnation);
    // It may be a restart whose clock stepped back: the Ack carries the stored record of its name, from which
    // it takes a higher incarnation.
    if (ping != nullptr) handle_ping(now, datagram, *ping);
    return;
  }
  const bool verified = peer != nullptr && peer->verified && peer->record.same_incarnation(datagram.from);
  if (verified) {
    const auto result = peer->window.accept(datagram.sequence_number);
    if (result != ReplayWindow::Result::fresh)
      return count_drop(result == ReplayWindow::Result::duplicate ? DropReason::duplicate
                                                                  : DropReason::too_old);
    return handle_datagram(now, *peer, datagram);
  }
  // An unverified datagram is not trusted, but finish_probe() does not count its sender as silent.
  if (peer != nullptr && peer->record.same_incarnation(datagram.from)) peer->last_unverified_at = now;
  handle_unverified(now, datagram, ping);
}

// Handles a datagram of an incarnation that has not answered a ping of this process yet. Only an answer to
// such a ping is accepted.
void Membership::handle_unverified(Time now, const Datagram& datagram, const Ping* ping) {
  if (const auto* ack = std::get_if<Ack>(&datagram.body)) {
    if (!handle_ack(now, datagram, *ack)) count_drop(DropReason::unverified);
    return;
  }
  // Any other datagram could be a replay: the sender is pinged, and the rest of the content is ignored.
  if (ping != nullptr) handle_ping(now, datagram, *ping);
  if (ping == nullptr) count_drop(DropReason::unverified);
  if (!announced_ || (ping != nullptr && ping->by_non_member) || datagram.from.state == State::left) return;
  auto& last_ping_at = unknown_senders_[datagram.from.address];
  if (last_ping_at != Time{} && now - last_ping_at < kUnknownSenderInterval) return;
  last_ping_at = now;
  if (unknown_senders_.size() > kMaxUnknownSenders) unknown_senders_.erase(unknown_senders_.begin());
  this->ping(now, datagram.from.name, datagram.from.address, PingPurpose::join);
}

void Membership::handle_ping(Time, const Datagram& datagram, const Ping& ping) {
  if (!announced_ || stood_down_for_) return;
  // The sender gets the stored record of itself, so that it can refute it.
  Ack ack{ping.token, false, {}};
  if (const Record* record = record_of(datagram.from.name); record != nullptr) {
    ack.has_record = true;
    ack.receiver_record = *record;
  }
  send_datagram(datagram.from.address, datagram.from.name, std::move(ack));
}

// Handles a datagram of a verified sender.
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
    digest_differs_since_.reset();
    return;
  }
  if (!digest_differs_since_) digest_differs_since_ = now;
  digest_differs_from_ = name;
}

void Membership::handle_body(Time now, const Datagram& datagram) {
  if (const auto* ping = std::get_if<Ping>(&datagram.body)) {
    if (ping->has_record) merge_own_record(now, ping->receiver_record);
    handle_ping(now, datagram, *ping);
  } else if (const auto* ack = std::get_if<Ack>(&datagram.body)) {
    handle_ack(now, datagram, *ack);
  } else if (const auto* request = std::get_if<PingRequest>(&datagram.body)) {
    handle_ping_request(now, datagram, *request);
  } else if (const auto* relayed = std::get_if<RelayedAck>(&datagram.body)) {
    handle_relayed_ack(now, *relayed);
  } else if (const auto* nack = std::get_if<Nack>(&datagram.body)) {
    if (probe_ && nack->token == probe_->token) ++probe_->responses_received;
  } else if (const auto* sync = std::get_if<SyncRequest>(&datagram.body)) {
    handle_sync_request(now, datagram, *sync);
  }
}

void Membership::handle_relayed_ack(Time now, const RelayedAck& ack) {
  if (!probe_ || ack.token != probe_->token) return;
  ++probe_->responses_received;
  probe_->answered = true;
  if (Peer* peer = find_peer(probe_->name)) peer->last_relayed_ack_at = now;
}

// Returns whether the Ack answers a pending ping, which proves that its sender is running and receives this
// process's datagrams.
bool Membership::handle_ack(Time now, const Datagram& datagram, const Ack& ack) {
  const auto it = pending_pings_.find(ack.token);
  if (it == pending_pings_.end()) return false;
  const PendingPing pending = it->second;
  if (!pending.name.empty() && pending.name != datagram.from.name) return false;
  pending_pings_.erase(it);
  if (pending.purpose == PingPurpose::duplicate_name) return true;
  if (ack.has_record) merge_own_record(now, ack.receiver_record);
  if (!announced_ && !duplicate_) announce_self(now);
  handle_verified_sender(now, datagram);
  if (probe_ && (ack.token == probe_->token || ack.token == probe_->repeat_token)) probe_->answered = true;
  if (pending.purpose == PingPurpose::relay)
    send_datagram(pending.for_address, pending.for_name, RelayedAck{pending.for_token});
  if (catching_up_) {
    catch_up_responders_.insert(datagram.from.name);
    if (catch_up_responders_.size() >= std::min<std::size_t>(2, std::max<std::size_t>(1, member_count_))) {
      catching_up_ = false;
      emit_event(now, MemberEventKind::caught_up, self_,
                 "heard from " + std::to_string(catch_up_responders_.size()));
    }
  }
  if (pending.name.empty() && announced_) {
    // A seed whose name is known now: pinged as a member, it adds this process to its table.
    ping(now, datagram.from.name, datagram.from.address, PingPurpose::join);
  }
  return true;
}

void Membership::handle_verified_sender(Time now, const Datagram& datagram) {
  if (!settings_.allowed_names.empty() && !settings_.allowed_names.contains(datagram.from.name))
    return count_drop(DropReason::not_allowed);
  merge_record(now, datagram.from, true);
  Peer* peer = find_peer(datagram.from.name);
  if (peer == nullptr) return;
  // The stored record supersedes the received one: the peer has not learned of its reported death yet and
  // will refute it in its next answer.
  if (!peer->record.same_incarnation(datagram.from) || !peer->record.is_member()) return;
  if (!peer->verified) {
    peer->verified = true;
    ++verified_count_;
    // The window survives a death of the same incarnation: earlier datagrams are not accepted again.
    peer->window.accept(datagram.sequence_number);
    if (verified_count_ == 1 && settings_.refinements.anti_entropy) {
      // The first verified member: request a sync of its whole table.
      digest_differs_since_ = now - kSyncDelay;
      digest_differs_from_ = peer->record.name;
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
  const Peer* peer = find_peer(request.name);
  const std::string address = peer != nullptr ? peer->record.address : request.address;
  const std::uint64_t token = ping(now, request.name, address, PingPurpose::relay);
  PendingPing& pending = pending_pings_.at(token);
  pending.for_address = datagram.from.address;
  pending.for_name = datagram.from.name;
  pending.for_token = request.token;
}

void Membership::handle_sync_request(Time, const Datagram& datagram, const SyncRequest& request) {
  if (request.buckets.size() != kDigestBuckets || !announced_ || catching_up_) return;
  std::array<bool, kDigestBuckets> differs{};
  bool any = false;
  for (std::size_t i = 0; i < kDigestBuckets; ++i)
    any = (differs[i] = request.buckets[i] != buckets_[i]) || any;
  if (!any) return;
  ++metrics_.syncs;
  std::vector<Record> records;
  std::size_t bytes = 0;
  std::size_t datagrams = 0;
  const auto send = [&] {
    Datagram out;
    out.from = self_;
    out.to = datagram.from.name;
    out.sequence_number = ++last_sequence_number_;
    out.digest = digest_;
    out.body = Gossip{};
    out.records = std::exchange(records, {});
    effects_->push_back(SendDatagram{datagram.from.address, std::move(out)});
    bytes = 0;
    ++datagrams;
  };
  // Bucket by bucket, starting at a random one: records beyond kMaxSyncDatagrams are other ones each time,
  // and a completely sent bucket does not differ in the next request. In order of names, a large fleet's
  // member would get the same first names in each answer and never the rest.
  const std::size_t first = random_() % kDigestBuckets;
  std::vector<std::pair<std::size_t, const Record*>> selected;
  for (const auto& [name, peer] : peers_) {
    const std::size_t bucket = bucket_of(name);
    if (!peer.broadcast_ended && differs[bucket])
      selected.emplace_back((bucket + kDigestBuckets - first) % kDigestBuckets, &peer.record);
  }
  std::stable_sort(selected.begin(), selected.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [position, record] : selected) {
    if (bytes + max_encoded_bytes(*record) > kMaxRecordBytes) send();
    if (datagrams >= kMaxSyncDatagrams) break;
    bytes += max_encoded_bytes(*record);
    records.push_back(*record);
  }
  if (datagrams < kMaxSyncDatagrams) send();  // even without records: the requester may lack `from`
}

// ---- merging records

void Membership::merge_record(Time now, const Record& record, bool first_hand) {
  if (record.name == self_.name) return merge_own_record(now, record);
  if (!settings_.allowed_names.empty() && !settings_.allowed_names.contains(record.name)) return;
  Peer* peer = find_peer(record.name);
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

// Counts another member's suspicion of a peer that is suspect already as a confirmation.
void Membership::confirm_suspicion(Peer& peer, const Record& record) {
  const bool same_suspicion = record.state == State::suspect && peer.record.state == State::suspect &&
                              record.same_incarnation(peer.record) &&
                              record.refutation == peer.record.refutation;
  if (!same_suspicion || !peer.suspicion || !peer.suspicion->confirm(record.suspecting_member)) return;
  suspects_.set(record.name, peer.suspicion->deadline());
  broadcast(record.name);
}

void Membership::merge_alive(Time now, Peer& peer, const Record& record, bool first_hand) {
  const Record previous = peer.record;
  const bool newer_incarnation = !record.same_incarnation(previous);
  if (!previous.is_member() && fleet_size() >= kMaxMembers) return count_drop(DropReason::full);
  if (peer.reported_death) ++metrics_.deaths_disproved;
  store_record(now, peer, record);
  if (newer_incarnation && previous.is_member()) {
    Record replaced = previous;
    replaced.state = State::dead;
    replaced.state_reason = StateReason::replaced;
    emit_event(now, MemberEventKind::died, replaced,
               "its life " + std::to_string(previous.incarnation) + " was ended by life " +
                   std::to_string(record.incarnation));
  }
  if (newer_incarnation || !previous.is_member()) {
    emit_event(now, MemberEventKind::joined, record, first_hand ? "it answered" : "told");
  } else if (previous.state == State::suspect) {
    ++metrics_.suspicions_refuted;
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
  const bool suspicion_expired = peer.suspicion && peer.suspicion->deadline() <= now;
  if (!peer.record.is_member() || !record.same_incarnation(peer.record) || suspicion_expired ||
      !settings_.refinements.verify_reported_deaths)
    return declare_dead(now, peer, record);
  // The two sides of a network partition declare each other's members dead. A process that can reach the
  // member verifies the report with a ping of its own.
  if (peer.reported_death && !supersedes(record, *peer.reported_death)) return;
  peer.reported_death = record;
  reported_deaths_.set(record.name, now + kReportedDeathTimeout);
  ping(now, record.name, peer.record.address, PingPurpose::check, &record);
}

void Membership::merge_suspicion(Time now, Peer& peer, const Record& record) {
  store_record(now, peer, record);
  ++metrics_.suspicions_known;
  peer.suspicion.emplace(now, settings_.min_suspicion_timeout, settings_.max_suspicion_timeout,
                         settings_.refinements.shrinking_suspicion, record.suspecting_member);
  suspects_.set(record.name, peer.suspicion->deadline());
  emit_event(now, MemberEventKind::suspected, record,
             std::string(to_string(record.state_reason)) + ", says " + record.suspecting_member);
}

// Suspects a member that this process cannot reach, or confirms the suspicion of it.
void Membership::raise_suspicion(Time now, Peer& peer, StateReason evidence) {
  if (catching_up_ || !announced_) return;
  Record record = peer.record;
  record.state = State::suspect;
  record.state_reason = evidence;
  record.suspecting_member = self_.name;
  ++metrics_.suspicions_raised;
  if (peer.record.state == State::suspect) {
    if (peer.suspicion && peer.suspicion->confirm(self_.name)) {
      suspects_.set(record.name, peer.suspicion->deadline());
      peer.record.suspecting_member = self_.name;  // broadcast as this process's own suspicion
      broadcast(record.name);
    }
  } else {
    merge_suspicion(now, peer, record);
  }
  if (settings_.refinements.notify_suspect_at_once) ping(now, peer, PingPurpose::check);
}

void Membership::declare_dead(Time now, Peer& peer, const Record& dead) {
  const bool was_member = peer.record.is_member();
  const std::size_t suspecting_members = peer.suspicion ? peer.suspicion->suspecting_members() : 0;
  store_record(now, peer, dead);
  if (!was_member) return;
  ++metrics_.suspicions_confirmed;
  if (dead.state_reason == StateReason::port_unreachable) ++metrics_.deaths_by_unreachable_port;
  emit_event(now, MemberEventKind::died, dead,
             std::string(to_string(dead.state_reason)) + ", says " + dead.suspecting_member +
                 (suspecting_members > 1 ? " and " + std::to_string(suspecting_members - 1) + " more" : ""));
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
  // An older incarnation at another address may be a running process of the same name. A process that is not
  // announced yet contests the name; an announced one waits for the other to learn of the higher incarnation.
  const bool older = record.incarnation < self_.incarnation;
  if (older && (announced_ || !record.is_member() || record.address == self_.address)) return;
  contest_name(now, record);
}

void Membership::on(Time now, const PortUnreachable& event) {
  if (!settings_.refinements.unreachable_ports || stopped_) return;
  if (const auto pending = event.token ? pending_pings_.find(*event.token) : pending_pings_.end();
      pending != pending_pings_.end()) {
    const Peer* target = find_peer(pending->second.name);
    if (target != nullptr && watched_ports_.contains(pending->second.name) &&
        target->record.state == State::dead && target->record.state_reason == StateReason::port_unreachable)
      effects_->push_back(PortReleased{pending->second.name, pending->second.sent_at});
  }
  const auto it = members_by_address_.find(event.address);
  if (it == members_by_address_.end()) return;
  Peer* peer = find_peer(it->second);
  if (peer == nullptr || !peer->record.is_member()) return;
  if (peer->record.handing_over && now - peer->state_since < kHandoverTimeout) return;
  // Two reports make a death: this one and another member's report of its death or of its unreachable port.
  if (peer->reported_death) return declare_dead(now, *peer, Record(*peer->reported_death));
  const bool second_report = peer->record.state == State::suspect &&
                             peer->record.state_reason == StateReason::port_unreachable &&
                             peer->record.suspecting_member != self_.name && !catching_up_;
  if (!peer->unreachable_since && !second_report) {
    peer->unreachable_since = now;
    unreachable_checks_.set(peer->record.name, now + kUnreachableRecheckDelay);
    return raise_suspicion(now, *peer, StateReason::port_unreachable);
  }
  if (!second_report && (now - *peer->unreachable_since < kUnreachableRecheckDelay || catching_up_)) return;
  Record dead = peer->record;
  dead.state = State::dead;
  dead.state_reason = StateReason::port_unreachable;
  dead.suspecting_member = self_.name;
  declare_dead(now, *peer, dead);
}

// ---- duplicate names

// Handles a record of this process's name that is of another incarnation. At this address no other process
// can be running, so a higher incarnation overrules the record. A process at another address may be running
// and is probed.
void Membership::contest_name(Time now, const Record& record) {
  if (!record.is_member() || record.address == self_.address)
    return take_incarnation(now, std::max(record.incarnation, self_.incarnation) + 1);
  if (stood_down_for_ || duplicate_) return;
  duplicate_ = DuplicateName{};
  duplicate_->record = record;
}

void Membership::check_duplicate_name(Time now) {
  if (stood_down_for_) {
    // Checks from time to time whether the other process is still running.
    if (!duplicate_) {
      duplicate_ = DuplicateName{};
      duplicate_->record = *stood_down_for_;
      duplicate_->probed_at = now;
      return;
    }
    if (now - duplicate_->probed_at < kStoodDownRecheckInterval) return;
  } else {
    if (!duplicate_ || (duplicate_->probes_sent > 0 && now - duplicate_->probed_at < kDuplicateProbeInterval))
      return;
  }
  if (duplicate_->probes_sent >= kMaxDuplicateProbes) {
    const Incarnation highest = std::max(duplicate_->record.incarnation, self_.incarnation);
    duplicate_.reset();
    stood_down_for_.reset();
    take_incarnation(now, highest + 1);
    return announce_self(now);
  }
  ++duplicate_->probes_sent;
  duplicate_->probed_at = now;
  duplicate_->token = ping(now, self_.name, duplicate_->record.address, PingPurpose::duplicate_name);
}

void Membership::handle_duplicate_name(Time now, const Datagram& datagram) {
  if (datagram.from.start_nonce == self_.start_nonce)
    return count_drop(DropReason::own);  // sent by this process itself
  if (const auto* ack = std::get_if<Ack>(&datagram.body)) {
    if (!duplicate_ || ack->token != duplicate_->token) return count_drop(DropReason::own);
    pending_pings_.erase(ack->token);
    duplicate_->probes_sent = 0;
    // The other process is running. An announced process keeps the name, unless the other's incarnation is
    // higher.
    if (stood_down_for_ || !announced_ ||
        std::pair(datagram.from.incarnation, datagram.from.start_nonce) >
            std::pair(self_.incarnation, self_.start_nonce))
      return stand_down(now, datagram.from);
    duplicate_.reset();
    return;
  }
  if (datagram.from.address == self_.address)
    return count_drop(DropReason::own);  // delayed, from an earlier incarnation of this process
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
  const bool first_time = !stood_down_for_;
  stood_down_for_ = to;
  announced_ = false;
  duplicate_->record = to;
  if (first_time)
    emit_event(now, MemberEventKind::stood_down, to,
               "the process at " + to.address + " has this one's name: it takes no part");
}

void Membership::take_incarnation(Time now, Incarnation incarnation) {
  if (now - incarnation_taken_at_ > kIncarnationCountResetDelay) consecutive_incarnations_ = 0;
  if (++consecutive_incarnations_ > kMaxConsecutiveIncarnations)
    return;  // another process raises its incarnation too
  incarnation_taken_at_ = now;
  ++metrics_.incarnations_taken;
  update_digest(self_, -1);
  self_.incarnation = incarnation;
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

// ---- timers

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
  if (event.handover) {
    self_.handing_over = true;
  } else {
    self_.state = State::left;
  }
  update_digest(self_, 1);
  broadcast(self_.name);
  if (!event.handover) emit_event(now, MemberEventKind::left, self_, "it was asked to");
  if (announced_) {
    for (const Peer* peer : random_members(kMaxLeaveNotifications, {}))
      send_datagram(peer->record.address, peer->record.name, Gossip{}, false);
  }
  // This process keeps answering for a moment: a member that has not verified it yet pings it first, and has
  // to learn of the handover before the port is released.
  if (event.handover) stops_at_ = now + kHandoverNoticePeriod;
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
  const Duration lateness = last_tick_at_ ? now - *last_tick_at_ - kTick : Duration{};
  last_tick_at_ = now;
  if (!settings_.refinements.pause_detection || lateness < kPauseThreshold) return;
  // Answers and refutations sent during the pause were not processed: that time counts against no member.
  ++metrics_.pauses;
  listening_since_ = now;
  probe_.reset();
  pending_pings_.clear();
  for (auto& [name, peer] : peers_) {
    peer.unreachable_since.reset();
    if (peer.suspicion) {
      peer.suspicion->extend(lateness);
      suspects_.set(name, peer.suspicion->deadline());
    }
    if (peer.reported_death) reported_deaths_.set(name, now + kReportedDeathTimeout);
  }
  if (settings_.refinements.local_health) adjust_health(2);
  emit_event(now, MemberEventKind::paused, self_, "for " + format_ms(lateness));
  if (has_no_members() || !announced_) return;
  catching_up_ = true;
  catch_up_responders_.clear();
  for (const Peer* peer : random_members(3, {})) ping(now, *peer, PingPurpose::check);
}

void Membership::check_ping_timeouts(Time now) {
  std::vector<std::uint64_t> expired;
  for (auto& [token, pending] : pending_pings_) {
    if (pending.purpose == PingPurpose::relay && !pending.nack_sent &&
        now - pending.sent_at >= settings_.ack_timeout) {
      pending.nack_sent = true;
      send_datagram(pending.for_address, pending.for_name, Nack{pending.for_token});
    }
    if (now - pending.sent_at >= kPingRetention) expired.push_back(token);
  }
  for (const std::uint64_t token : expired) pending_pings_.erase(token);
  std::erase_if(unknown_senders_,
                [&](const auto& sender) { return now - sender.second > 10 * kUnknownSenderInterval; });
}

void Membership::check_suspicion_timeouts(Time now) {
  if (catching_up_) {
    // Refutations may have been missed during the pause; other members' answers bring them.
    return;
  }
  while (const auto name = suspects_.pop_due(now)) {
    Peer* peer = find_peer(*name);
    if (peer == nullptr || peer->record.state != State::suspect) continue;
    Record dead = peer->record;
    dead.state = State::dead;
    declare_dead(now, *peer, dead);
  }
  while (const auto name = reported_deaths_.pop_due(now)) {
    Peer* peer = find_peer(*name);
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
    // The record is not sent any more but still stored, so that delayed older records do not bring the member
    // back.
    it->second.broadcast_ended = true;
    dead_members_.erase(*name);
    update_digest(it->second.record, -1);
    expirations_.set(*name, now + settings_.dead_member_retention / 2);
  }
  // A second ping to an unreachable port: two reports of it make a death.
  while (const auto name = unreachable_checks_.pop_due(now)) {
    Peer* peer = find_peer(*name);
    if (peer != nullptr && peer->unreachable_since) ping(now, *peer, PingPurpose::check);
  }
}

void Membership::start_probe(Time now) {
  for (std::size_t checked = 0; checked <= probe_order_.size() && !probe_order_.empty(); ++checked) {
    if (probe_position_ >= probe_order_.size()) {
      probe_position_ = 0;
      std::erase_if(probe_order_, [&](const std::string& name) {
        const Peer* peer = find_peer(name);
        return peer == nullptr || !peer->record.is_member();
      });
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
      if (probe_order_.empty()) return;
    }
    const std::string name = probe_order_[probe_position_++];
    Peer* peer = find_peer(name);
    if (peer == nullptr || !peer->record.is_member()) continue;
    Probe probe;
    probe.name = name;
    probe.indirect_at = now + scaled_by_health(settings_.ack_timeout);
    probe.deadline = now + scaled_by_health(settings_.probe_interval);
    probe.token = ping(now, name, peer->record.address, PingPurpose::probe);
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

// Called when the probed member has not answered within the ack timeout: pings it again and sends indirect
// probe requests to other members.
void Membership::probe_indirectly(Time now) {
  probe_->indirect_sent = true;
  Peer* peer = find_peer(probe_->name);
  if (peer == nullptr || !peer->record.is_member()) return;
  if (!peer->first_unanswered_at) peer->first_unanswered_at = now;
  probe_->repeat_token = ping(now, probe_->name, peer->record.address, PingPurpose::probe);
  if (!settings_.refinements.indirect_probing) return;
  // Prefers members with recent datagrams, which are more likely to answer.
  std::vector<Peer*> helpers = random_members(3 * settings_.indirect_probes, probe_->name);
  std::stable_sort(helpers.begin(), helpers.end(), [](const Peer* left, const Peer* right) {
    return left->last_received_at > right->last_received_at;
  });
  if (helpers.size() > settings_.indirect_probes) helpers.resize(settings_.indirect_probes);
  for (const Peer* helper : helpers) {
    ++probe_->requests_sent;
    send_datagram(helper->record.address, helper->record.name,
                  PingRequest{probe_->token, probe_->name, peer->record.address});
  }
}

void Membership::finish_probe(Time now) {
  const Probe probe = *probe_;
  probe_.reset();
  if (probe.answered) return adjust_health(-1);
  Peer* peer = find_peer(probe.name);
  if (peer == nullptr || !peer->record.is_member() || catching_up_) return;
  // Missing responses to indirect probe requests count against this process's own health (Lifeguard, section
  // IV-A).
  if (probe.requests_sent == 0 || probe.responses_received < probe.requests_sent) adjust_health(1);
  // If no requested member responded either, it is more likely that this process's datagrams are lost.
  const Time last_activity_at =
      std::max({peer->last_received_at.value_or(peer->state_since),
                peer->last_unverified_at.value_or(peer->state_since), listening_since_});
  const bool others_reachable =
      !settings_.refinements.indirect_probing || member_count_ < 2 || probe.responses_received > 0;
  const bool handing_over = peer->record.handing_over && now - peer->state_since < kHandoverTimeout;
  if (!handing_over && (others_reachable || now - last_activity_at > kIsolationTimeout))
    raise_suspicion(now, *peer, StateReason::unresponsive);
}

// Pings seeds that are not members, without end, and dead members, to find those that are back.
void Membership::contact_missing_members(Time now) {
  if (self_.state == State::left || stood_down_for_) return;
  if (now - seeds_contacted_at_ >= (has_no_members() ? kSeedIntervalAlone : kSeedInterval)) {
    seeds_contacted_at_ = now;
    for (const std::string& seed : settings_.seeds) {
      if (seed != settings_.advertise && !members_by_address_.contains(seed))
        ping(now, {}, seed, PingPurpose::join);
    }
  }
  if (announced_ && now - ports_checked_at_ >= settings_.probe_interval) {
    ports_checked_at_ = now;
    for (const std::string& name : watched_ports_) {
      const Peer* peer = find_peer(name);
      if (peer != nullptr && peer->record.state == State::dead) ping(now, *peer, PingPurpose::reconnect);
    }
  }
  if (!announced_ || now - last_reconnect_at_ < kReconnectInterval) return;
  last_reconnect_at_ = now;
  if (dead_members_.empty()) return;
  auto it = dead_members_.upper_bound(last_reconnect_name_);
  if (it == dead_members_.end()) it = dead_members_.begin();
  last_reconnect_name_ = *it;
  if (const Peer* peer = find_peer(last_reconnect_name_)) ping(now, *peer, PingPurpose::reconnect);
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
  if (!settings_.refinements.anti_entropy || !announced_ || !digest_differs_since_ ||
      now - *digest_differs_since_ < kSyncDelay)
    return;
  // In large fleets digests differ more often, and by fewer records.
  const Duration min_interval = kSyncDelay * (fleet_size() > 100 ? 4 : 1);
  if (now - sync_requested_at_ < min_interval) return;
  Peer* peer = find_peer(digest_differs_from_);
  if (peer == nullptr || !peer->record.is_member()) {
    digest_differs_since_.reset();
    return;
  }
  sync_requested_at_ = now;
  send_datagram(peer->record.address, peer->record.name, SyncRequest{{buckets_.begin(), buckets_.end()}},
                false);
}

void Membership::update_view(Time now) {
  const bool stable = announced_ && !catching_up_ && suspects_.size() == 0 && reported_deaths_.size() == 0 &&
                      !digest_differs_since_ && now - changed_at_ >= kSettleDelay;
  if (!stable) {
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
  bool self_added = !self_.is_member();
  for (const auto& [name, peer] : peers_) {
    if (!self_added && self_.name < name) {
      add(self_);
      self_added = true;
    }
    if (peer.record.is_member()) add(peer.record);
  }
  if (!self_added) add(self_);
  view_.digest = XXH3_64bits(text.data(), text.size());
  if (settled_digest_ == view_.digest) return;
  settled_digest_ = view_.digest;
  emit_event(now, MemberEventKind::settled, self_, std::to_string(view_.names.size()) + " members");
}

}  // namespace graniterun::membership
