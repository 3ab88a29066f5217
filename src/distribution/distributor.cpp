#include "distribution/distributor.h"

#include <algorithm>

namespace graniterun::distribution {
namespace {

using namespace std::chrono_literals;

// Delay before a distributor that started without files subscribes to its peers. By then every proposal that
// it may have accepted before has ended, so the versions that peers notify include the outcome of each.
constexpr Duration kPeerSubscribeDelay = 2 * kProposalTtl;
static_assert(kPeerSubscribeDelay < kRecoveryWait);
constexpr Duration kPeerFetchTimeout = 1s;      // then the next peer
constexpr Duration kPeerRetryDelay = 500ms;     // after a peer did not have it
constexpr Duration kRecoveryDelay = 300ms;      // before a client is asked; peers usually notify sooner
constexpr Duration kReturnTimeout = 1s;         // then the next client
constexpr Duration kInitialSyncTimeout = 2s;    // from the begin of voting
constexpr Duration kMaxPublishBackoff = 100ms;  // multiplied by the attempts so far
constexpr Duration kVersionTakenDelay = 200ms;  // for a majority, once a peer has seen the version
constexpr Duration kPauseThreshold = 1s;        // a tick later than this means a pause of the process
constexpr std::size_t kMaxNamesInStatus = 100;  // of each list in a Status
constexpr std::size_t kMaxNameLength = 256;     // bytes
constexpr std::size_t kMaxReasonLength = 1024;
// No version drawn from a clock comes near this (as Unix milliseconds, the year 37648). A version that only a
// client reports raises the next proposed version only if it is below.
constexpr Version kMaxPlausibleVersion = Version{1} << 50;

Version milliseconds(Time now) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  return ms > 0 ? static_cast<Version>(ms) : 0;
}

}  // namespace

Distributor::Distributor(DistributorSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed), peers_(settings_.peer_count) {}

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
  const auto [it, inserted] = records_.try_emplace(service);
  if (inserted) buckets_[bucket_of(service)].insert(service);
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

void Distributor::log_event(DistributorLogKind kind, const std::string& service, Version version,
                            std::string reason, DistributorEffects& out) const {
  out.emplace_back(DistributorLogEvent{kind, service, version, std::move(reason)});
}

void Distributor::step(Time now, const DistributorEvent& event, DistributorEffects& out) {
  if (!started_) {
    started_ = true;
    started_at_ = last_tick_at_ = tokens_refilled_at_ = now;
    tokens_ = static_cast<double>(settings_.bytes_per_second) / 10;
  }
  std::visit([&](const auto& received) { on(now, received, out); }, event);
}

// ---- start and recovery

void Distributor::on(Time now, const Restored& event, DistributorEffects& out) {
  for (const auto& [service, record] : event.records) {
    ServiceRecord& restored = record_of(service);
    restored = record;
    for (const auto* config : {&record.committed, &record.accepted}) {
      if (*config) restored.highest_seen = std::max(restored.highest_seen, (*config)->id.version);
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

void Distributor::set_voter_state(Time now, VoterState state, DistributorEffects& out) {
  if (voter_state_ == state) return;
  voter_state_ = state;
  if (state == VoterState::voting) voting_since_ = now;
  log_event(DistributorLogKind::voter_state, {}, 0,
            state == VoterState::voting       ? "voting"
            : state == VoterState::recovering ? "recovering"
                                              : "new",
            out);
  for (const ClientId id : distributors_) {
    Client& client = clients_.at(id);
    client.voter_state_pending = true;
    notify_client(now, id, client, out);
  }
}

// Ends the recovery. Every version that this distributor may have accepted before it lost its files is
// known once a majority of the peers have notified all their versions while voting, or all peers have, in
// any voter state: each majority that it was part of includes one of them.
void Distributor::update_recovery(Time now, DistributorEffects& out) {
  if (voter_state_ != VoterState::voting && now - started_at_ >= kRecoveryWait) {
    const auto all = [](const Peer& peer) { return peer.synchronized; };
    const auto voting = [](const Peer& peer) { return peer.synchronized_by_voter; };
    const auto synchronized_voters =
        static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), voting));
    if (std::all_of(peers_.begin(), peers_.end(), all) || synchronized_voters >= peers_.size() / 2 + 1)
      set_voter_state(now, VoterState::voting, out);
  }
  if (initial_sync_done_ || voter_state_ != VoterState::voting) return;
  if (!pending_fetches_.empty() && now - voting_since_ < kInitialSyncTimeout) return;
  initial_sync_done_ = true;
  for (auto& [id, client] : clients_) notify_client(now, id, client, out);
}

// ---- commits

bool Distributor::commit(Time now, const ServiceConfig& config, DistributorEffects& out) {
  const VersionId current = committed(config.service);
  if (current.version >= config.id.version) {
    if (current.version == config.id.version && current != config.id)
      log_event(DistributorLogKind::conflict, config.service, config.id.version,
                "committed with another digest", out);
    return false;
  }
  if (!has_capacity_for(config.service)) {
    log_event(DistributorLogKind::full, config.service, config.id.version, "service limit", out);
    return false;
  }
  ServiceRecord& record = record_of(config.service);
  // `config` may refer to record.accepted, which is reset below.
  const ServiceConfig copy = config;
  record.committed = copy;
  record.highest_seen = std::max(record.highest_seen, copy.id.version);
  if (record.accepted && record.accepted->id.version <= copy.id.version) record.accepted.reset();
  out.emplace_back(SaveBucket{bucket_of(copy.service)});
  log_event(DistributorLogKind::committed, copy.service, copy.id.version, {}, out);
  if (const auto fetch = pending_fetches_.find(copy.service); fetch != pending_fetches_.end()) {
    std::erase_if(fetch->second.offers,
                  [&](const auto& offer) { return offer.second.version <= copy.id.version; });
    if (fetch->second.offers.empty()) {
      fetches_in_flight_ -= fetch->second.asked_peer ? 1 : 0;
      pending_fetches_.erase(fetch);
    }
  }
  if (const auto recovery = pending_recoveries_.find(copy.service);
      recovery != pending_recoveries_.end() && recovery->second.version <= copy.id.version)
    pending_recoveries_.erase(recovery);
  const auto notify = [&](ClientId id) {
    Client& client = clients_.at(id);
    client.pending_services.insert(copy.service);
    notify_client(now, id, client, out);
  };
  for (const ClientId id : distributors_) notify(id);
  if (const auto it = by_service_.find(copy.service); it != by_service_.end()) {
    for (const ClientId id : it->second) notify(id);
  }
  return true;
}

// ---- publishing

void Distributor::on(Time now, const PublishRequested& event, DistributorEffects& out) {
  const auto reject = [&](std::string reason) {
    out.emplace_back(PublishFinished{event.request, false, {}, std::move(reason)});
  };
  if (!is_service_name(event.service)) return reject("not a service's name");
  if (event.content.size() > kMaxConfigBytes) return reject("too large");
  if (voter_state_ != VoterState::voting) return reject("not voting yet");
  if (!has_capacity_for(event.service)) return reject("too many services");
  if (publications_.size() >= kMaxProposals) return reject("too many at once");
  for (const auto& [id, publication] : publications_) {
    if (publication.config.service == event.service) return reject("it is being published here");
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
  const Version highest = std::max(highest_seen(config.service), committed(config.service).version);
  Version version = std::max(publication.version_hint, highest + 1);
  if (const auto recovery = pending_recoveries_.find(config.service);
      recovery != pending_recoveries_.end() && recovery->second.version < kMaxPlausibleVersion)
    version = std::max(version, recovery->second.version + 1);
  config.id = {version, digest_of(settings_.key, config.service, version, config.content)};
  ++publication.attempts;
  publication.proposed = true;
  publication.due_at = now + kProposalTtl;
  publication.accepted_by.clear();
  publication.rejected_by.clear();
  publication.version_taken = false;
  ServiceRecord& record = record_of(config.service);
  record.accepted = config;
  record.highest_seen = version;
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
      // A newer version has been committed since the proposal.
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

// Schedules the next attempt, under a new version and a new proposal id, so that late answers to the old
// proposal are ignored.
void Distributor::retry_publication(Time now, std::uint64_t id, const std::string& reason,
                                    DistributorEffects& out) {
  auto node = publications_.extract(id);
  Publication& publication = node.mapped();
  log_event(DistributorLogKind::abandoned, publication.config.service, publication.config.id.version, reason,
            out);
  if (publication.attempts >= kMaxPublishAttempts) {
    out.emplace_back(PublishFinished{publication.request, false, {}, reason});
    return;
  }
  std::uniform_int_distribution<Duration::rep> draw(0, (kMaxPublishBackoff * publication.attempts).count());
  publication.proposed = false;
  publication.due_at = now + Duration(draw(random_));
  node.key() = random_();
  publications_.insert(std::move(node));
}

// Ends a proposal that has reached `due_at` without a majority.
void Distributor::end_proposal(Time now, std::uint64_t id, DistributorEffects& out) {
  if (publications_.at(id).version_taken) return retry_publication(now, id, "others publish it", out);
  abandon_publication(id, "no majority", out);
}

void Distributor::abandon_publication(std::uint64_t id, const std::string& reason, DistributorEffects& out) {
  const auto it = publications_.find(id);
  const Publication& publication = it->second;
  log_event(DistributorLogKind::abandoned, publication.config.service, publication.config.id.version, reason,
            out);
  out.emplace_back(PublishFinished{publication.request, false, {}, reason});
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
      // The other peers may still make a majority; the proposal waits kVersionTakenDelay for them.
      publication.version_taken = true;
      publication.version_hint = std::max(publication.version_hint, event.highest_seen + 1);
      publication.due_at = std::min(publication.due_at, now + kVersionTakenDelay);
    }
  }
  count_votes(now, event.proposal, out);
}

void Distributor::on(Time, const ProposalReceived& event, DistributorEffects& out) {
  const ServiceConfig& config = event.config;
  if (!is_valid_config(settings_.key, config)) {
    log_event(DistributorLogKind::unsound, config.service, config.id.version, "in a proposal", out);
    out.emplace_back(AnswerProposal{event.client, event.proposal, false, 0});
    return;
  }
  const auto reject = [&] {
    out.emplace_back(AnswerProposal{event.client, event.proposal, false, highest_seen(config.service)});
  };
  if (voter_state_ != VoterState::voting) return reject();
  if (!has_capacity_for(config.service)) {
    log_event(DistributorLogKind::full, config.service, config.id.version, "service limit", out);
    return reject();
  }
  ServiceRecord& record = record_of(config.service);
  // A repeated proposal, sent because its answer was lost, gets the same answer.
  const bool repeated = record.accepted == config;
  if (!repeated && config.id.version <= record.highest_seen) {
    log_event(DistributorLogKind::rejected, config.service, config.id.version,
              std::to_string(record.highest_seen), out);
    return reject();
  }
  if (!repeated) {
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
  for (const auto& [id, publication] : publications_) {
    if (publication.proposed && now < publication.due_at)
      out.emplace_back(SendProposal{event.peer, id, publication.config});
  }
}

void Distributor::on(Time now, const PeerDisconnected& event, DistributorEffects& out) {
  if (event.peer >= peers_.size()) return;
  peers_[event.peer].connected = false;
  peers_[event.peer].subscribed = false;
  for (auto it = pending_fetches_.begin(); it != pending_fetches_.end();) {
    PendingFetch& fetch = it->second;
    fetch.offers.erase(event.peer);
    fetch.not_before.erase(event.peer);
    if (fetch.asked_peer == event.peer) {
      fetch.asked_peer.reset();
      --fetches_in_flight_;
    }
    if (fetch.offers.empty()) {
      fetches_in_flight_ -= fetch.asked_peer ? 1 : 0;
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
                entry.service, entry.id.version, "in a peer's notification", out);
      continue;
    }
    // Only before voting: a voter knows what it accepted. If it took over its peers' highest versions, it
    // would reject a proposal that reaches it after them.
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

// Compares a version that a peer notified with the committed one. A newer one is committed at once if it is
// the accepted one, and fetched otherwise.
void Distributor::compare_peer_version(Time now, std::uint32_t peer, const PeerVersionsNotified::Entry& entry,
                                       DistributorEffects& out) {
  const VersionId current = committed(entry.service);
  if (entry.id.version < current.version) {
    if (!entry.id.none())
      log_event(DistributorLogKind::stale, entry.service, entry.id.version, "from a peer", out);
    return;
  }
  if (entry.id.version == current.version) {
    if (entry.id != current)
      log_event(DistributorLogKind::conflict, entry.service, current.version, "from a peer", out);
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
  if (!is_valid_config(settings_.key, config)) {
    log_event(DistributorLogKind::unsound, config.service, config.id.version, "from a peer", out);
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

// Asks peers for the newest pending configurations, up to kMaxPeerFetches at a time. The cost is linear in
// the pending fetches, so it runs at a tick or when at most half of the fetches are in flight.
void Distributor::start_peer_fetches(Time now, DistributorEffects& out, bool at_tick) {
  if (pending_fetches_.empty() || (!at_tick && fetches_in_flight_ > kMaxPeerFetches / 2)) return;
  struct Candidate {
    Version version;
    const std::string* service;
    PendingFetch* fetch;
    std::uint32_t peer;
  };
  std::vector<Candidate> candidates;
  for (auto& [service, fetch] : pending_fetches_) {
    if (fetch.asked_peer && now < fetch.deadline) continue;
    if (fetch.asked_peer) {
      fetch.not_before[*fetch.asked_peer] = now + kPeerRetryDelay;
      fetch.asked_peer.reset();
      --fetches_in_flight_;
    }
    std::optional<Candidate> best;
    for (const auto& [peer, offer] : fetch.offers) {
      const auto not_before = fetch.not_before.find(peer);
      if (not_before != fetch.not_before.end() && now < not_before->second) continue;
      if (!best || offer.version > best->version) best = Candidate{offer.version, &service, &fetch, peer};
    }
    if (best) candidates.push_back(*best);
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
    return left.version > right.version;
  });
  for (const Candidate& candidate : candidates) {
    if (fetches_in_flight_ >= kMaxPeerFetches) break;
    ++fetches_in_flight_;
    candidate.fetch->asked_peer = candidate.peer;
    candidate.fetch->deadline = now + kPeerFetchTimeout;
    out.emplace_back(FetchFromPeer{candidate.peer, *candidate.service, candidate.version});
  }
}

// ---- clients

void Distributor::on(Time now, const ClientConnected& event, DistributorEffects& out) {
  if (clients_.size() >= kMaxClients) {
    log_event(DistributorLogKind::full, {}, 0, "client limit", out);
    out.emplace_back(CloseClient{event.client, "too many clients"});
    return;
  }
  Client& client = clients_[event.client];
  client.last_sent_at = now;
  heartbeats_.emplace(now + kHeartbeatInterval, event.client);
}

void Distributor::record_lost_gatekeeper(Time now, const std::string& name) {
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
  const auto remove_from = [&](auto& index, const std::string& key) {
    const auto entry = index.find(key);
    if (entry == index.end()) return;
    entry->second.erase(id);
    if (entry->second.empty()) index.erase(entry);
  };
  for (const auto& [service, subscription] : client.services) remove_from(by_service_, service);
  if (client.subscribed && !client.is_distributor) {
    remove_from(by_name_, client.name);
    if (client.primary && !by_name_.contains(client.name)) record_lost_gatekeeper(now, client.name);
  }
  distributors_.erase(id);
  if (!client.queued_deliveries.empty())
    std::erase_if(deliveries_, [&](const QueuedDelivery& delivery) { return delivery.client == id; });
  clients_.erase(it);
}

void Distributor::close_client(Time now, ClientId id, const std::string& reason, DistributorEffects& out) {
  out.emplace_back(CloseClient{id, reason});
  forget_client(now, id);
}

void Distributor::on(Time now, const ClientDisconnected& event, DistributorEffects&) {
  forget_client(now, event.client);
}

void Distributor::on(Time now, const SubscriptionReceived& event, DistributorEffects& out) {
  const auto it = clients_.find(event.client);
  if (it == clients_.end()) return;
  Client& client = it->second;
  if (client.subscribed) return close_client(now, event.client, "a second subscription", out);
  const bool bad_name = event.name.empty() || event.name.size() > kMaxNameLength;
  if (bad_name) return close_client(now, event.client, "an empty or too long name", out);
  if (event.held.size() > kMaxSubscribedServices)
    return close_client(now, event.client, "too many services", out);
  for (const VersionsNotified::Entry& held : event.held) {
    if (!is_service_name(held.service))
      return close_client(now, event.client, "an invalid service name", out);
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
      const VersionId current = committed(held.service);
      if (current.version > held.id.version) client.pending_services.insert(held.service);
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

bool Distributor::may_complete(const Client& client) const {
  return client.is_distributor || initial_sync_done_;
}

// Sends one notification, newest versions first, if the client has something pending and no unacknowledged
// one.
void Distributor::notify_client(Time now, ClientId id, Client& client, DistributorEffects& out) {
  if (!client.subscribed || client.notification_pending) return;
  std::vector<std::pair<Version, const std::string*>> newest;
  for (auto it = client.pending_services.begin(); it != client.pending_services.end();) {
    const VersionId current = committed(*it);
    const auto subscription = client.services.find(*it);
    const bool up_to_date =
        !client.is_distributor &&
        (subscription == client.services.end() ||
         std::max(subscription->second.active, subscription->second.notified).version >= current.version);
    if (up_to_date) {
      it = client.pending_services.erase(it);
      continue;
    }
    newest.emplace_back(current.version, &*it);
    ++it;
  }
  const std::size_t entry_count = std::min(newest.size(), kMaxNotifiedVersions);
  const bool complete = entry_count == newest.size() && may_complete(client);
  if (newest.empty() && !client.voter_state_pending && (client.complete || !complete)) return;
  std::partial_sort(newest.begin(), newest.begin() + static_cast<std::ptrdiff_t>(entry_count), newest.end(),
                    [](const auto& a, const auto& b) { return a.first > b.first; });
  newest.resize(entry_count);
  NotifyVersions notification;
  notification.client = id;
  notification.complete = complete;
  notification.with_highest_seen = client.is_distributor;
  notification.voter_state = voter_state_;
  for (const auto& [version, service] : newest) {
    const VersionId current = committed(*service);
    notification.entries.push_back({*service, current, client.is_distributor ? highest_seen(*service) : 0});
    if (!client.is_distributor) client.services.find(*service)->second.notified = current;
  }
  for (const PeerVersionsNotified::Entry& entry : notification.entries)
    client.pending_services.erase(entry.service);
  client.notification_pending = true;
  client.notified_at = now;
  client.last_sent_at = now;
  client.voter_state_pending = false;
  client.complete = client.complete || complete;
  out.emplace_back(std::move(notification));
}

void Distributor::on(Time now, const FetchRequested& event, DistributorEffects& out) {
  const auto it = clients_.find(event.client);
  if (it == clients_.end()) return;
  Client& client = it->second;
  const VersionId current = committed(event.service);
  if (current.none() || current.version < event.version) {
    out.emplace_back(SendMissing{event.client, event.service});
    return;
  }
  if (client.queued_deliveries.contains(event.service)) return;
  const bool full = deliveries_.size() >= kMaxQueuedDeliveries;
  if (full || client.queued_deliveries.size() >= (client.is_distributor ? kMaxPeerFetches : kMaxFetches)) {
    log_event(DistributorLogKind::full, event.service, event.version,
              full ? "delivery queue" : "a client's fetches", out);
    out.emplace_back(SendMissing{event.client, event.service});
    return;
  }
  client.queued_deliveries.insert(event.service);
  deliveries_.insert({current.version, ++last_delivery_, event.client, event.service});
  deliver_queued(now, out);
}

void Distributor::deliver_queued(Time now, DistributorEffects& out) {
  const double rate = static_cast<double>(settings_.bytes_per_second);
  const double elapsed_s = std::chrono::duration<double>(now - tokens_refilled_at_).count();
  tokens_refilled_at_ = now;
  tokens_ = std::min(rate / 10, tokens_ + rate * std::max(0.0, elapsed_s));
  while (!deliveries_.empty() && tokens_ > 0) {
    const QueuedDelivery next = *deliveries_.begin();
    deliveries_.erase(deliveries_.begin());
    Client& client = clients_.at(next.client);
    client.queued_deliveries.erase(next.service);
    client.last_sent_at = now;
    const ServiceConfig& config = *records_.at(next.service).committed;
    tokens_ -= static_cast<double>(config.content.size() + config.service.size() + 128);
    out.emplace_back(DeliverConfig{next.client, config});
  }
}

void Distributor::on(Time now, const StatusReported& event, DistributorEffects& out) {
  const auto it = clients_.find(event.client);
  if (it == clients_.end()) return;
  const auto subscription = it->second.services.find(event.service);
  if (subscription == it->second.services.end()) return;
  Subscription& state = subscription->second;
  if (!event.active) {
    state.rejected = event.id;
    state.reason = event.reason.substr(0, kMaxReasonLength);
    return;
  }
  state.active = event.id;
  if (state.rejected && state.rejected->version <= event.id.version) {
    state.rejected.reset();
    state.reason.clear();
  }
  compare_reported_version(now, event.service, event.id, out);
}

// ---- recovery from clients

void Distributor::compare_reported_version(Time now, const std::string& service, const VersionId& reported,
                                           DistributorEffects& out) {
  const VersionId current = committed(service);
  if (reported.version == current.version && reported != current)
    log_event(DistributorLogKind::conflict, service, current.version, "reported by a gatekeeper", out);
  if (reported.version <= current.version) return;
  const auto [it, inserted] = pending_recoveries_.try_emplace(service);
  it->second.version = std::max(it->second.version, reported.version);
  if (inserted) it->second.deadline = now + kRecoveryDelay;
}

// Asks a client for each configuration that is newer than the committed one. Cost: linear in the pending
// recoveries, and in the clients of those whose deadline has passed.
void Distributor::request_missing_configs(Time now, DistributorEffects& out) {
  for (auto it = pending_recoveries_.begin(); it != pending_recoveries_.end();) {
    auto& [service, recovery] = *it;
    if (now < recovery.deadline) {
      ++it;
      continue;
    }
    // The next client, in the order of ids, that has a newer version active.
    std::optional<ClientId> first;
    std::optional<ClientId> next;
    const Version current = committed(service).version;
    if (const auto clients = by_service_.find(service); clients != by_service_.end()) {
      for (const ClientId id : clients->second) {
        if (clients_.at(id).services.find(service)->second.active.version <= current) continue;
        if (!first) first = id;
        if (recovery.asked_client && id <= *recovery.asked_client) continue;
        next = id;
        break;
      }
    }
    if (!next) next = first;
    if (!next) {
      it = pending_recoveries_.erase(it);
      continue;
    }
    recovery.asked_client = next;
    recovery.deadline = now + kReturnTimeout;
    out.emplace_back(RequestConfig{*next, service});
    ++it;
  }
}

void Distributor::on(Time now, const ConfigReturned& event, DistributorEffects& out) {
  const ServiceConfig& config = event.config;
  if (!clients_.contains(event.client)) return;
  if (!is_valid_config(settings_.key, config)) {
    log_event(DistributorLogKind::unsound, config.service, config.id.version, "returned by a gatekeeper",
              out);
    return;
  }
  const auto it = pending_recoveries_.find(config.service);
  if (it == pending_recoveries_.end() || it->second.asked_client != event.client)
    return;  // committed since, or not requested from this client
  if (commit(now, config, out))
    log_event(DistributorLogKind::recovered, config.service, config.id.version, {}, out);
}

// ---- ticks

void Distributor::on(Time now, const Tick&, DistributorEffects& out) {
  if (now - last_tick_at_ > kPauseThreshold) resumed_at_ = now;
  last_tick_at_ = now;
  subscribe_to_peers(now, out);
  update_recovery(now, out);
  start_peer_fetches(now, out, true);
  std::vector<std::uint64_t> due;
  for (const auto& [id, publication] : publications_) {
    if (now >= publication.due_at) due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    const auto it = publications_.find(id);
    if (it == publications_.end()) continue;
    if (it->second.proposed) {
      end_proposal(now, id, out);
    } else {
      Publication publication = std::move(it->second);
      publications_.erase(it);
      propose(now, id, std::move(publication), out);
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
      close_client(now, id, "a notification is not acknowledged", out);
      continue;
    }
    if (now - client.last_sent_at >= kHeartbeatInterval) {
      client.last_sent_at = now;
      out.emplace_back(SendHeartbeat{id});
    }
    heartbeats_.emplace(client.last_sent_at + kHeartbeatInterval, id);
  }
  std::erase_if(lost_gatekeepers_,
                [&](const auto& lost) { return now - lost.second >= kLostGatekeeperRetention; });
}

// ---- status

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
  for (const auto& [name, lost_at] : lost_gatekeepers_) all.push_back({name, lost_at});
  return all;
}

bool Distributor::is_gatekeeper_connected(std::string_view name) const {
  return by_name_.find(name) != by_name_.end();
}

std::size_t Distributor::client_count() const { return clients_.size(); }

}  // namespace graniterun::distribution
