#include "distribution/distributor.h"

#include <algorithm>

namespace graniterun::distribution {
namespace {

using namespace std::chrono_literals;

// A distributor from nothing asks others what they know when no proposal lives any more that it may have
// accepted before, so that what they tell has what came of each.
constexpr Duration kPeerSubscribeDelay = 2 * kProposalTtl;
static_assert(kPeerSubscribeDelay < kRecoveryWait);
constexpr Duration kPeerFetchTimeout = 1s;      // then another one is asked
constexpr Duration kPeerRetryDelay = 500ms;     // one that did not have it
constexpr Duration kRecoveryDelay = 300ms;      // news of peers mostly come sooner than a gatekeeper's
constexpr Duration kReturnTimeout = 1s;         // then another one is asked
constexpr Duration kVoterSettleTimeout = 2s;    // from when it votes
constexpr Duration kMaxPublishBackoff = 100ms;  // times the try
constexpr Duration kVersionTakenDelay = 200ms;  // a proposal whose number one of the others has taken
constexpr Duration kPauseThreshold = 1s;        // a tick so late is a stop of this process
constexpr std::size_t kMaxNamesInStatus = 100;  // in a status
constexpr std::size_t kMaxNameLength = 256;     // bytes
constexpr std::size_t kMaxReasonLength = 1024;
// A number above is none that was ever guessed: what a client says alone does not draw numbers up to it.
constexpr Version kMaxPlausibleVersion = Version{1} << 50;

Version milliseconds(Time now) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  return ms > 0 ? static_cast<Version>(ms) : 0;
}

}  // namespace

Distributor::Distributor(DistributorSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed), peers_(settings_.peers) {}

std::size_t Distributor::bucket_of(std::string_view service) {
  std::uint64_t hash = 14695981039346656037ULL;  // FNV-1a, the same in every version of the program
  for (const char c : service) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return (hash ^ hash >> 32) % kBuckets;
}

std::map<std::string, ServiceRecord> Distributor::records_in(std::size_t bucket) const {
  std::map<std::string, ServiceRecord> records;
  for (const std::string& service : buckets_.at(bucket)) records.emplace(service, records_.at(service));
  return records;
}

ServiceRecord& Distributor::record_of(const std::string& service) {
  const auto [it, fresh] = records_.try_emplace(service);
  if (fresh) buckets_[bucket_of(service)].insert(service);
  return it->second;
}

VersionId Distributor::committed(const std::string& service) const {
  const auto it = records_.find(service);
  return it != records_.end() && it->second.committed ? it->second.committed->id : VersionId{};
}

Version Distributor::highest_seen(const std::string& service) const {
  const auto it = records_.find(service);
  return it != records_.end() ? it->second.highest_seen : 0;
}

bool Distributor::has_capacity_for(const std::string& service) const {
  return records_.size() < kMaxServices || records_.contains(service);
}

void Distributor::log_event(DistributorLogKind what, const std::string& service, Version version,
                            std::string reason, DistributorEffects& out) const {
  out.emplace_back(DistributorLogEvent{what, service, version, std::move(reason)});
}

void Distributor::step(Time now, const DistributorEvent& event, DistributorEffects& out) {
  if (!started_) {
    started_ = true;
    started_at_ = last_tick_at_ = tokens_refilled_at_ = now;
    tokens_ = static_cast<double>(settings_.bytes_per_second) / 10;
  }
  std::visit([&](const auto& notice) { on(now, notice, out); }, event);
}

// ---- the start

void Distributor::on(Time now, const Restored& event, DistributorEffects& out) {
  for (const auto& [service, record] : event.records) {
    ServiceRecord& kept = record_of(service);
    kept = record;
    for (const auto* document : {&record.committed, &record.accepted}) {
      if (*document) kept.highest_seen = std::max(kept.highest_seen, (*document)->id.version);
    }
  }
  if (!event.empty) set_voter_state(now, VoterState::voting, out);
  update_recovery(now, out);
}

bool Distributor::may_subscribe(Time now) const {
  return voter_state_ == VoterState::voting || now - started_at_ >= kPeerSubscribeDelay;
}

void Distributor::subscribe_to_peers(Time now, DistributorEffects& out) {
  if (!may_subscribe(now)) return;
  for (std::uint32_t i = 0; i < peers_.size(); ++i) {
    if (!peers_[i].connected || peers_[i].subscribed) continue;
    peers_[i].subscribed = true;
    out.emplace_back(SubscribeToPeer{i});
  }
}

void Distributor::set_voter_state(Time now, VoterState standing, DistributorEffects& out) {
  if (voter_state_ == standing) return;
  voter_state_ = standing;
  if (standing == VoterState::voting) voting_since_ = now;
  log_event(DistributorLogKind::voter_state, {}, 0,
            standing == VoterState::voting       ? "voting"
            : standing == VoterState::recovering ? "recovering"
                                                 : "new",
            out);
  for (const ClientId id : distributors_) {
    Client& client = clients_.at(id);
    client.voter_state_pending = true;
    notify_client(now, id, client, out);
  }
}

// What this one may have accepted before it lost its files is known where a majority of the others, who have
// a vote, told it all, or all others did, whatever they are: each majority that it was part of has one of
// them.
void Distributor::update_recovery(Time now, DistributorEffects& out) {
  if (voter_state_ != VoterState::voting && now - started_at_ >= kRecoveryWait) {
    const auto all = [](const Peer& peer) { return peer.synchronized; };
    const auto voting = [](const Peer& peer) { return peer.synchronized_by_voter; };
    const auto told = static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), voting));
    if (std::all_of(peers_.begin(), peers_.end(), all) || told >= peers_.size() / 2 + 1)
      set_voter_state(now, VoterState::voting, out);
  }
  if (settled_ || voter_state_ != VoterState::voting) return;
  if (!pending_fetches_.empty() && now - voting_since_ < kVoterSettleTimeout) return;
  settled_ = true;
  for (auto& [id, client] : clients_) notify_client(now, id, client, out);
}

// ---- what is committed

bool Distributor::commit(Time now, const ServiceConfig& config, DistributorEffects& out) {
  const VersionId known = committed(config.service);
  if (known.version >= config.id.version) {
    if (known.version == config.id.version && known != config.id)
      log_event(DistributorLogKind::conflict, config.service, config.id.version,
                "another content is committed", out);
    return false;
  }
  if (!has_capacity_for(config.service)) {
    log_event(DistributorLogKind::full, config.service, config.id.version, "services", out);
    return false;
  }
  ServiceRecord& record = record_of(config.service);
  const ServiceConfig document = config;  // it may be the accepted one
  record.committed = document;
  record.highest_seen = std::max(record.highest_seen, document.id.version);
  if (record.accepted && record.accepted->id.version <= document.id.version) record.accepted.reset();
  out.emplace_back(SaveBucket{bucket_of(document.service)});
  log_event(DistributorLogKind::committed, document.service, document.id.version, {}, out);
  if (const auto want = pending_fetches_.find(document.service); want != pending_fetches_.end()) {
    std::erase_if(want->second.offers,
                  [&](const auto& has) { return has.second.version <= document.id.version; });
    if (want->second.offers.empty()) {
      fetches_in_flight_ -= want->second.asked_peer ? 1 : 0;
      pending_fetches_.erase(want);
    }
  }
  if (const auto asking = pending_recoveries_.find(document.service);
      asking != pending_recoveries_.end() && asking->second.version <= document.id.version)
    pending_recoveries_.erase(asking);
  const auto owe = [&](ClientId id) {
    Client& client = clients_.at(id);
    client.pending_services.insert(document.service);
    notify_client(now, id, client, out);
  };
  for (const ClientId id : distributors_) owe(id);
  if (const auto it = by_service_.find(document.service); it != by_service_.end()) {
    for (const ClientId id : it->second) owe(id);
  }
  return true;
}

// ---- publishing

void Distributor::on(Time now, const PublishRequested& event, DistributorEffects& out) {
  const auto refuse = [&](std::string why) {
    out.emplace_back(PublishFinished{event.request, false, {}, std::move(why)});
  };
  if (!is_service_name(event.service)) return refuse("not a service's name");
  if (event.content.size() > kMaxConfigBytes) return refuse("too large");
  if (voter_state_ != VoterState::voting) return refuse("not voting yet");
  if (!has_capacity_for(event.service)) return refuse("too many services");
  if (publications_.size() >= kMaxProposals) return refuse("too many at once");
  for (const auto& [id, publication] : publications_) {
    if (publication.config.service == event.service) return refuse("it is being published here");
  }
  Publication publication;
  publication.request = event.request;
  publication.config = {event.service, {}, event.content};
  publication.version_hint =
      event.version_hint != 0 ? event.version_hint : std::max<Version>(milliseconds(now), 1);
  propose(now, random_(), std::move(publication), out);
}

void Distributor::propose(Time now, std::uint64_t id, Publication publication, DistributorEffects& out) {
  ServiceConfig& config = publication.config;
  const Version known = std::max(highest_seen(config.service), committed(config.service).version);
  Version number = std::max(publication.version_hint, known + 1);
  if (const auto asking = pending_recoveries_.find(config.service);
      asking != pending_recoveries_.end() && asking->second.version < kMaxPlausibleVersion)
    number = std::max(number, asking->second.version + 1);
  config.id = {number, digest_of(settings_.key, config.service, number, config.content)};
  ++publication.attempts;
  publication.proposed = true;
  publication.due_at = now + kProposalTtl;
  publication.accepted_by.clear();
  publication.rejected_by.clear();
  publication.version_taken = false;
  ServiceRecord& record = record_of(config.service);
  record.accepted = config;
  record.highest_seen = number;
  out.emplace_back(SaveBucket{bucket_of(config.service)});
  for (std::uint32_t i = 0; i < peers_.size(); ++i) {
    if (peers_[i].connected) out.emplace_back(SendProposal{i, id, config});
  }
  publications_.insert_or_assign(id, std::move(publication));
  count_votes(now, id, out);
}

void Distributor::count_votes(Time now, std::uint64_t id, DistributorEffects& out) {
  Publication& publication = publications_.at(id);
  if (publication.accepted_by.size() + 1 >= majority()) {
    if (committed(publication.config.service).version >= publication.config.id.version) {
      // Another one's was committed above it meanwhile.
      retry_publication(now, id, "others publish it", out);
      return;
    }
    const Publication done = publication;
    publications_.erase(id);
    const bool committed = commit(now, done.config, out);
    out.emplace_back(PublishFinished{done.request, committed, committed ? done.config.id : VersionId{},
                                     committed ? "" : "too many services"});
    return;
  }
  if (!publication.version_taken || peers_.size() - publication.rejected_by.size() + 1 >= majority()) return;
  retry_publication(now, id, "others publish it", out);
}

// Under a new number, which must have a new id: answers to the old one are for nothing.
void Distributor::retry_publication(Time now, std::uint64_t id, const std::string& why,
                                    DistributorEffects& out) {
  auto node = publications_.extract(id);
  Publication& publication = node.mapped();
  log_event(DistributorLogKind::abandoned, publication.config.service, publication.config.id.version, why,
            out);
  if (publication.attempts >= kMaxPublishAttempts) {
    out.emplace_back(PublishFinished{publication.request, false, {}, why});
    return;
  }
  std::uniform_int_distribution<Duration::rep> draw(0, (kMaxPublishBackoff * publication.attempts).count());
  publication.proposed = false;
  publication.due_at = now + Duration(draw(random_));
  node.key() = random_();
  publications_.insert(std::move(node));
}

// Its time is over.
void Distributor::end_proposal(Time now, std::uint64_t id, DistributorEffects& out) {
  if (publications_.at(id).version_taken) return retry_publication(now, id, "others publish it", out);
  abandon_publication(id, "no majority", out);
}

void Distributor::abandon_publication(std::uint64_t id, const std::string& why, DistributorEffects& out) {
  const auto it = publications_.find(id);
  const Publication& publication = it->second;
  log_event(DistributorLogKind::abandoned, publication.config.service, publication.config.id.version, why,
            out);
  out.emplace_back(PublishFinished{publication.request, false, {}, why});
  publications_.erase(it);
}

void Distributor::on(Time now, const ProposalAnswered& event, DistributorEffects& out) {
  if (event.peer >= peers_.size()) return;
  const auto it = publications_.find(event.proposal);
  if (it == publications_.end() || !it->second.proposed) return;
  Publication& publication = it->second;
  if (now >= publication.due_at) return end_proposal(now, event.proposal, out);
  if (event.accepted) {
    publication.accepted_by.insert(event.peer);
    publication.rejected_by.erase(event.peer);
  } else {
    if (publication.accepted_by.contains(event.peer)) return;
    publication.rejected_by.insert(event.peer);
    if (event.highest_seen >= publication.config.id.version) {
      // Others may still make a majority, but it is not waited for long.
      publication.version_taken = true;
      publication.version_hint = std::max(publication.version_hint, event.highest_seen + 1);
      publication.due_at = std::min(publication.due_at, now + kVersionTakenDelay);
    }
  }
  count_votes(now, event.proposal, out);
}

void Distributor::on(Time, const ProposalReceived& event, DistributorEffects& out) {
  const ServiceConfig& config = event.config;
  if (!is_sound(settings_.key, config)) {
    log_event(DistributorLogKind::unsound, config.service, config.id.version, "a proposal", out);
    out.emplace_back(AnswerProposal{event.client, event.proposal, false, 0});
    return;
  }
  const auto refuse = [&] {
    out.emplace_back(AnswerProposal{event.client, event.proposal, false, highest_seen(config.service)});
  };
  if (voter_state_ != VoterState::voting) return refuse();
  if (!has_capacity_for(config.service)) {
    log_event(DistributorLogKind::full, config.service, config.id.version, "services", out);
    return refuse();
  }
  ServiceRecord& record = record_of(config.service);
  // The same one for a second time, after its answer was lost, has the same answer.
  const bool again = record.accepted == config;
  if (!again && config.id.version <= record.highest_seen) {
    log_event(DistributorLogKind::rejected, config.service, config.id.version,
              std::to_string(record.highest_seen), out);
    return refuse();
  }
  if (!again) {
    record.accepted = config;
    record.highest_seen = config.id.version;
    out.emplace_back(SaveBucket{bucket_of(config.service)});
    log_event(DistributorLogKind::accepted, config.service, config.id.version, {}, out);
  }
  out.emplace_back(AnswerProposal{event.client, event.proposal, true, record.highest_seen});
}

// ---- peers

void Distributor::on(Time now, const PeerConnected& event, DistributorEffects& out) {
  if (event.peer >= peers_.size()) return;
  peers_[event.peer].connected = true;
  peers_[event.peer].subscribed = false;
  subscribe_to_peers(now, out);
  for (const auto& [id, p] : publications_) {
    if (p.proposed && now < p.due_at) out.emplace_back(SendProposal{event.peer, id, p.config});
  }
}

void Distributor::on(Time now, const PeerDisconnected& event, DistributorEffects& out) {
  if (event.peer >= peers_.size()) return;
  peers_[event.peer].connected = false;
  peers_[event.peer].subscribed = false;
  for (auto it = pending_fetches_.begin(); it != pending_fetches_.end();) {
    PendingFetch& want = it->second;
    want.offers.erase(event.peer);
    want.not_before.erase(event.peer);
    if (want.asked_peer == event.peer) {
      want.asked_peer.reset();
      --fetches_in_flight_;
    }
    if (want.offers.empty()) {
      fetches_in_flight_ -= want.asked_peer ? 1 : 0;
      it = pending_fetches_.erase(it);
    } else {
      ++it;
    }
  }
  start_peer_fetches(now, out);
}

void Distributor::on(Time now, const PeerVersionsNotified& event, DistributorEffects& out) {
  if (event.peer >= peers_.size() || !peers_[event.peer].subscribed) return;
  out.emplace_back(AcknowledgePeer{event.peer});
  std::set<std::size_t> changed_buckets;
  for (const PeerVersionsNotified::Entry& entry : event.entries) {
    if (!is_service_name(entry.service) || !has_capacity_for(entry.service)) {
      log_event(is_service_name(entry.service) ? DistributorLogKind::full : DistributorLogKind::unsound,
                entry.service, entry.id.version, "a peer's notice", out);
      continue;
    }
    // Who votes knows what it accepted; a number that is just proposed to it is not to be rejected because
    // others were faster.
    const Version highest = std::max(entry.highest_seen, entry.id.version);
    if (voter_state_ != VoterState::voting && highest > highest_seen(entry.service)) {
      record_of(entry.service).highest_seen = highest;
      changed_buckets.insert(bucket_of(entry.service));
    }
    compare_peer_version(now, event.peer, entry, out);
  }
  for (const std::size_t bucket : changed_buckets) out.emplace_back(SaveBucket{bucket});
  if (event.complete) {
    peers_[event.peer].synchronized = true;
    if (event.voter_state == VoterState::voting) peers_[event.peer].synchronized_by_voter = true;
  }
  if (event.voter_state != VoterState::uninitialized && voter_state_ == VoterState::uninitialized)
    set_voter_state(now, VoterState::recovering, out);
  update_recovery(now, out);
  start_peer_fetches(now, out);
}

// A newer one is to be fetched, unless it was accepted here.
void Distributor::compare_peer_version(Time now, std::uint32_t peer, const PeerVersionsNotified::Entry& entry,
                                       DistributorEffects& out) {
  const VersionId known = committed(entry.service);
  if (entry.id.version < known.version) {
    if (!entry.id.none())
      log_event(DistributorLogKind::stale, entry.service, entry.id.version, "a peer's", out);
    return;
  }
  if (entry.id.version == known.version) {
    if (entry.id != known)
      log_event(DistributorLogKind::conflict, entry.service, known.version, "a peer's", out);
    return;
  }
  pending_fetches_[entry.service].offers[peer] = entry.id;
  const ServiceRecord& record = record_of(entry.service);
  if (record.accepted && record.accepted->id == entry.id) commit(now, ServiceConfig(*record.accepted), out);
}

void Distributor::on(Time now, const PeerConfigDelivered& event, DistributorEffects& out) {
  if (event.peer >= peers_.size()) return;
  const ServiceConfig& config = event.config;
  const auto it = pending_fetches_.find(config.service);
  if (it != pending_fetches_.end() && it->second.asked_peer == event.peer) {
    it->second.asked_peer.reset();
    --fetches_in_flight_;
  }
  if (!is_sound(settings_.key, config)) {
    log_event(DistributorLogKind::unsound, config.service, config.id.version, "a peer's", out);
    if (it != pending_fetches_.end()) it->second.not_before[event.peer] = now + kPeerRetryDelay;
  } else {
    commit(now, config, out);
  }
  start_peer_fetches(now, out);
  update_recovery(now, out);
}

void Distributor::on(Time now, const PeerConfigMissing& event, DistributorEffects& out) {
  const auto it = pending_fetches_.find(event.service);
  if (it == pending_fetches_.end()) return;
  if (it->second.asked_peer == event.peer) {
    it->second.asked_peer.reset();
    --fetches_in_flight_;
  }
  it->second.not_before[event.peer] = now + kPeerRetryDelay;
  start_peer_fetches(now, out);
}

// Cost: linear in what is wanted of peers, so it is looked at when half of the answers have come, or at a
// tick.
void Distributor::start_peer_fetches(Time now, DistributorEffects& out, bool at_tick) {
  if (pending_fetches_.empty() || (!at_tick && fetches_in_flight_ > kMaxPeerFetches / 2)) return;
  struct Candidate {
    Version version;
    const std::string* service;
    PendingFetch* want;
    std::uint32_t peer;
  };
  std::vector<Candidate> candidates;
  for (auto& [service, want] : pending_fetches_) {
    if (want.asked_peer && now < want.deadline) continue;
    if (want.asked_peer) {
      want.not_before[*want.asked_peer] = now + kPeerRetryDelay;
      want.asked_peer.reset();
      --fetches_in_flight_;
    }
    std::optional<Candidate> best;
    for (const auto& [peer, stamp] : want.offers) {
      const auto later = want.not_before.find(peer);
      if (later != want.not_before.end() && now < later->second) continue;
      if (!best || stamp.version > best->version) best = Candidate{stamp.version, &service, &want, peer};
    }
    if (best) candidates.push_back(*best);
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
    return left.version > right.version;
  });
  for (const Candidate& candidate : candidates) {
    if (fetches_in_flight_ >= kMaxPeerFetches) break;
    ++fetches_in_flight_;
    candidate.want->asked_peer = candidate.peer;
    candidate.want->deadline = now + kPeerFetchTimeout;
    out.emplace_back(FetchFromPeer{candidate.peer, *candidate.service, candidate.version});
  }
}

// ---- clients

void Distributor::on(Time now, const ClientConnected& event, DistributorEffects& out) {
  if (clients_.size() >= kMaxClients) {
    log_event(DistributorLogKind::full, {}, 0, "clients", out);
    out.emplace_back(CloseClient{event.client, "too many clients"});
    return;
  }
  Client& client = clients_[event.client];
  client.last_sent_at = now;
  heartbeats_.emplace(now + kHeartbeatInterval, event.client);
}

void Distributor::remember_lost(Time now, const std::string& name) {
  if (lost_gatekeepers_.size() >= kMaxLostGatekeepers && !lost_gatekeepers_.contains(name)) {
    lost_gatekeepers_.erase(
        std::min_element(lost_gatekeepers_.begin(), lost_gatekeepers_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  lost_gatekeepers_[name] = now;
}

void Distributor::forget_client(Time now, ClientId id) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& client = it->second;
  const auto leave = [&](auto& index, const std::string& key) {
    const auto at = index.find(key);
    if (at == index.end()) return;
    at->second.erase(id);
    if (at->second.empty()) index.erase(at);
  };
  for (const auto& [service, subscription] : client.services) leave(by_service_, service);
  if (client.subscribed && !client.is_distributor) {
    leave(by_name_, client.name);
    if (client.primary && !by_name_.contains(client.name)) remember_lost(now, client.name);
  }
  distributors_.erase(id);
  if (!client.queued_deliveries.empty())
    std::erase_if(deliveries_, [&](const QueuedDelivery& delivery) { return delivery.client == id; });
  clients_.erase(it);
}

void Distributor::close_client(Time now, ClientId id, const std::string& why, DistributorEffects& out) {
  out.emplace_back(CloseClient{id, why});
  forget_client(now, id);
}

void Distributor::on(Time now, const ClientDisconnected& event, DistributorEffects&) {
  forget_client(now, event.client);
}

void Distributor::on(Time now, const SubscriptionReceived& event, DistributorEffects& out) {
  const auto it = clients_.find(event.client);
  if (it == clients_.end()) return;
  Client& client = it->second;
  if (client.subscribed) return close_client(now, event.client, "it has subscribed before", out);
  const bool bad_name = event.name.empty() || event.name.size() > kMaxNameLength;
  if (bad_name) return close_client(now, event.client, "its name is not one", out);
  if (event.held.size() > kMaxSubscribedServices)
    return close_client(now, event.client, "too many services", out);
  for (const VersionsNotified::Entry& held : event.held) {
    if (!is_service_name(held.service)) return close_client(now, event.client, "not a service's name", out);
  }
  client.subscribed = true;
  client.name = event.name;
  client.is_distributor = event.all;
  if (event.all) {
    if (distributors_.size() >= kMaxDistributors)
      return close_client(now, event.client, "too many distributors", out);
    distributors_.insert(event.client);
    for (const auto& [service, record] : records_) client.pending_services.insert(service);
  } else {
    client.primary = event.primary;
    by_name_[client.name].insert(event.client);
    lost_gatekeepers_.erase(client.name);
    for (const VersionsNotified::Entry& held : event.held) {
      client.services[held.service].active = held.id;
      by_service_[held.service].insert(event.client);
      const VersionId known = committed(held.service);
      if (known.version > held.id.version) client.pending_services.insert(held.service);
    }
  }
  notify_client(now, event.client, client, out);
  for (const VersionsNotified::Entry& held : event.held)
    compare_reported_version(now, held.service, held.id, out);
}

void Distributor::on(Time, const PrimaryChanged& event, DistributorEffects&) {
  if (const auto it = clients_.find(event.client); it != clients_.end()) it->second.primary = event.primary;
}

void Distributor::on(Time now, const NotificationAcknowledged& event, DistributorEffects& out) {
  const auto it = clients_.find(event.client);
  if (it == clients_.end() || !it->second.notification_pending) return;
  it->second.notification_pending = false;
  notify_client(now, event.client, it->second, out);
}

bool Distributor::may_complete(const Client& client) const { return client.is_distributor || settled_; }

// One notice, if it is owed one and none is out: the newest first.
void Distributor::notify_client(Time now, ClientId id, Client& client, DistributorEffects& out) {
  if (!client.subscribed || client.notification_pending) return;
  std::vector<std::pair<Version, const std::string*>> newest;
  for (auto it = client.pending_services.begin(); it != client.pending_services.end();) {
    const VersionId stamp = committed(*it);
    const auto subscription = client.services.find(*it);
    const bool has_it =
        !client.is_distributor &&
        (subscription == client.services.end() ||
         std::max(subscription->second.active, subscription->second.notified).version >= stamp.version);
    if (has_it) {
      it = client.pending_services.erase(it);
      continue;
    }
    newest.emplace_back(stamp.version, &*it);
    ++it;
  }
  const std::size_t most = std::min(newest.size(), kMaxNotifiedVersions);
  const bool complete = most == newest.size() && may_complete(client);
  if (newest.empty() && !client.voter_state_pending && (client.complete || !complete)) return;
  std::partial_sort(newest.begin(), newest.begin() + static_cast<std::ptrdiff_t>(most), newest.end(),
                    [](const auto& a, const auto& b) { return a.first > b.first; });
  newest.resize(most);
  NotifyVersions notice;
  notice.client = id;
  notice.complete = complete;
  notice.with_highest_seen = client.is_distributor;
  notice.voter_state = voter_state_;
  for (const auto& [version, service] : newest) {
    const VersionId stamp = committed(*service);
    notice.entries.push_back({*service, stamp, client.is_distributor ? highest_seen(*service) : 0});
    if (!client.is_distributor) client.services.find(*service)->second.notified = stamp;
  }
  for (const PeerVersionsNotified::Entry& entry : notice.entries)
    client.pending_services.erase(entry.service);
  client.notification_pending = true;
  client.notified_at = now;
  client.last_sent_at = now;
  client.voter_state_pending = false;
  client.complete = client.complete || complete;
  out.emplace_back(std::move(notice));
}

void Distributor::on(Time now, const FetchRequested& event, DistributorEffects& out) {
  const auto it = clients_.find(event.client);
  if (it == clients_.end()) return;
  Client& client = it->second;
  const VersionId known = committed(event.service);
  if (known.none() || known.version < event.version) {
    out.emplace_back(SendMissing{event.client, event.service});
    return;
  }
  if (client.queued_deliveries.contains(event.service)) return;
  const bool full = deliveries_.size() >= kMaxQueuedDeliveries;
  if (full || client.queued_deliveries.size() >= (client.is_distributor ? kMaxPeerFetches : kMaxFetches)) {
    log_event(DistributorLogKind::full, event.service, event.version, full ? "queue" : "a client's queue",
              out);
    out.emplace_back(SendMissing{event.client, event.service});
    return;
  }
  client.queued_deliveries.insert(event.service);
  deliveries_.insert({known.version, ++last_delivery_, event.client, event.service});
  deliver_queued(now, out);
}

void Distributor::deliver_queued(Time now, DistributorEffects& out) {
  const double rate = static_cast<double>(settings_.bytes_per_second);
  const double passed_s = std::chrono::duration<double>(now - tokens_refilled_at_).count();
  tokens_refilled_at_ = now;
  tokens_ = std::min(rate / 10, tokens_ + rate * std::max(0.0, passed_s));
  while (!deliveries_.empty() && tokens_ > 0) {
    const QueuedDelivery next = *deliveries_.begin();
    deliveries_.erase(deliveries_.begin());
    Client& client = clients_.at(next.client);
    client.queued_deliveries.erase(next.service);
    client.last_sent_at = now;
    const ServiceConfig& document = *records_.at(next.service).committed;
    tokens_ -= static_cast<double>(document.content.size() + document.service.size() + 128);
    out.emplace_back(DeliverConfig{next.client, document});
  }
}

void Distributor::on(Time now, const StatusReported& event, DistributorEffects& out) {
  const auto it = clients_.find(event.client);
  if (it == clients_.end()) return;
  const auto subscription = it->second.services.find(event.service);
  if (subscription == it->second.services.end()) return;
  Subscription& s = subscription->second;
  if (!event.active) {
    s.rejected = event.id;
    s.reason = event.reason.substr(0, kMaxReasonLength);
    return;
  }
  s.active = event.id;
  if (s.rejected && s.rejected->version <= event.id.version) {
    s.rejected.reset();
    s.reason.clear();
  }
  compare_reported_version(now, event.service, event.id, out);
}

// ---- what clients have and nobody here knows

void Distributor::compare_reported_version(Time now, const std::string& service, const VersionId& in_force,
                                           DistributorEffects& out) {
  const VersionId known = committed(service);
  if (in_force.version == known.version && in_force != known)
    log_event(DistributorLogKind::conflict, service, known.version, "a gatekeeper's", out);
  if (in_force.version <= known.version) return;
  const auto [it, fresh] = pending_recoveries_.try_emplace(service);
  it->second.version = std::max(it->second.version, in_force.version);
  if (fresh) it->second.deadline = now + kRecoveryDelay;
}

// Cost: linear in what is asked for, and in the clients of what is asked for again.
void Distributor::request_missing_configs(Time now, DistributorEffects& out) {
  for (auto it = pending_recoveries_.begin(); it != pending_recoveries_.end();) {
    auto& [service, asking] = *it;
    if (now < asking.deadline) {
      ++it;
      continue;
    }
    // The next one, in the order of clients, that has something newer.
    std::optional<ClientId> first;
    std::optional<ClientId> next;
    const Version known = committed(service).version;
    if (const auto clients = by_service_.find(service); clients != by_service_.end()) {
      for (const ClientId id : clients->second) {
        if (clients_.at(id).services.find(service)->second.active.version <= known) continue;
        if (!first) first = id;
        if (asking.asked_client && id <= *asking.asked_client) continue;
        next = id;
        break;
      }
    }
    if (!next) next = first;
    if (!next) {
      it = pending_recoveries_.erase(it);
      continue;
    }
    asking.asked_client = next;
    asking.deadline = now + kReturnTimeout;
    out.emplace_back(RequestConfig{*next, service});
    ++it;
  }
}

void Distributor::on(Time now, const ConfigReturned& event, DistributorEffects& out) {
  const ServiceConfig& config = event.config;
  if (!clients_.contains(event.client)) return;
  if (!is_sound(settings_.key, config)) {
    log_event(DistributorLogKind::unsound, config.service, config.id.version, "a gatekeeper's", out);
    return;
  }
  const auto it = pending_recoveries_.find(config.service);
  if (it == pending_recoveries_.end() || it->second.asked_client != event.client)
    return;  // known since, or never asked for
  if (commit(now, config, out))
    log_event(DistributorLogKind::recovered, config.service, config.id.version, {}, out);
}

// ---- time

void Distributor::on(Time now, const Tick&, DistributorEffects& out) {
  if (now - last_tick_at_ > kPauseThreshold) resumed_at_ = now;
  last_tick_at_ = now;
  subscribe_to_peers(now, out);
  update_recovery(now, out);
  start_peer_fetches(now, out, true);
  std::vector<std::uint64_t> due;
  for (const auto& [id, p] : publications_) {
    if (now >= p.due_at) due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    const auto it = publications_.find(id);
    if (it == publications_.end()) continue;
    if (it->second.proposed) {
      end_proposal(now, id, out);
    } else {
      Publication again = std::move(it->second);
      publications_.erase(it);
      propose(now, id, std::move(again), out);
    }
  }
  request_missing_configs(now, out);
  deliver_queued(now, out);
  while (!heartbeats_.empty() && heartbeats_.begin()->first <= now) {
    const ClientId id = heartbeats_.begin()->second;
    heartbeats_.erase(heartbeats_.begin());
    const auto it = clients_.find(id);
    if (it == clients_.end()) continue;
    Client& client = it->second;
    if (client.notification_pending &&
        now - std::max(client.notified_at, resumed_at_) >= kNotificationTimeout) {
      close_client(now, id, "it does not read", out);
      continue;
    }
    if (now - client.last_sent_at >= kHeartbeatInterval) {
      client.last_sent_at = now;
      out.emplace_back(SendHeartbeat{id});
    }
    heartbeats_.emplace(client.last_sent_at + kHeartbeatInterval, id);
  }
  std::erase_if(lost_gatekeepers_, [&](const auto& lost) { return now - lost.second >= kLostRetention; });
}

// ---- what is known of it

Distributor::Status Distributor::status(std::string_view service) const {
  Status status;
  status.committed = committed(std::string(service));
  const auto it = by_service_.find(service);
  if (it == by_service_.end()) return status;
  for (const ClientId id : it->second) {
    const Client& client = clients_.at(id);
    if (!client.primary) continue;
    ++status.subscribed;
    const Subscription& subscription = client.services.find(service)->second;
    if (subscription.rejected && subscription.rejected->version >= status.committed.version) {
      ++status.rejected_count;
      if (status.rejections.size() < kMaxNamesInStatus)
        status.rejections.push_back({client.name, subscription.rejected->version, subscription.reason});
    } else if (subscription.active.version < status.committed.version) {
      ++status.behind_count;
      if (status.behind.size() < kMaxNamesInStatus) status.behind.push_back(client.name);
    } else if (subscription.active == status.committed && !subscription.active.none()) {
      ++status.active;
    }
  }
  return status;
}

std::vector<Distributor::LostGatekeeper> Distributor::lost_gatekeepers() const {
  std::vector<LostGatekeeper> all;
  all.reserve(lost_gatekeepers_.size());
  for (const auto& [name, since] : lost_gatekeepers_) all.push_back({name, since});
  return all;
}

bool Distributor::is_attached(std::string_view name) const { return by_name_.find(name) != by_name_.end(); }

std::size_t Distributor::clients() const { return clients_.size(); }

}  // namespace graniterun::distribution
