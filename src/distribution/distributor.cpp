#include "distribution/distributor.h"

#include <algorithm>

namespace graniterun::distribution {
namespace {

using namespace std::chrono_literals;

// A distributor from nothing asks others what they know when no proposal lives any more that it may have
// accepted before, so that what they tell has what came of each.
constexpr Duration kAskOthersAfter = 2 * kProposalLives;
static_assert(kAskOthersAfter < kSilence);
constexpr Duration kPeerFetchWithin = 1s;  // then another one is asked
constexpr Duration kPeerAskAgain = 500ms;  // one that did not have it
constexpr Duration kAskAfter = 300ms;      // news of peers mostly come sooner than a gatekeeper's
constexpr Duration kHandWithin = 1s;       // then another one is asked
constexpr Duration kSettleWithin = 2s;     // from when it votes
constexpr Duration kTryAgainMost = 100ms;  // times the try
constexpr Duration kTakenWithin = 200ms;   // a proposal whose number one of the others has taken
constexpr Duration kStopped = 1s;          // a tick so late is a stop of this process
constexpr std::size_t kMostNamed = 100;    // in a status
constexpr std::size_t kLongestName = 256;  // bytes
constexpr std::size_t kLongestReason = 1024;
// A number above is none that was ever guessed: what a client says alone does not draw numbers up to it.
constexpr Version kLikely = Version{1} << 50;

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

std::map<std::string, Record> Distributor::records_in(std::size_t bucket) const {
  std::map<std::string, Record> records;
  for (const auto& [service, record] : records_) {
    if (bucket_of(service) == bucket) records.emplace(service, record);
  }
  return records;
}

Stamp Distributor::committed(std::string_view service) const {
  const auto it = records_.find(std::string(service));
  return it != records_.end() && it->second.committed ? it->second.committed->stamp : Stamp{};
}

Version Distributor::seen(std::string_view service) const {
  const auto it = records_.find(std::string(service));
  return it != records_.end() ? it->second.seen : 0;
}

bool Distributor::has_room_for(const std::string& service) const {
  return records_.size() < kMostServices || records_.contains(service);
}

void Distributor::happened(DistributorTold what, const std::string& service, Version version,
                           std::string reason, DistributorEffects& out) const {
  out.emplace_back(DistributorHappened{what, service, version, std::move(reason)});
}

void Distributor::step(Time now, const DistributorEvent& event, DistributorEffects& out) {
  if (!born_known_) {
    born_known_ = true;
    born_ = ticked_ = filled_ = now;
    tokens_ = static_cast<double>(settings_.bytes_per_second) / 10;
  }
  std::visit([&](const auto& e) { on(now, e, out); }, event);
}

// ---- the start

void Distributor::on(Time now, const Restored& e, DistributorEffects& out) {
  for (const auto& [service, record] : e.records) {
    Record& kept = records_[service];
    kept = record;
    for (const auto* document : {&record.committed, &record.accepted}) {
      if (*document) kept.seen = std::max(kept.seen, (*document)->stamp.version);
    }
  }
  if (!e.nothing) set_standing(now, Standing::voting, out);
  recover(now, out);
}

bool Distributor::may_subscribe(Time now) const {
  return standing_ == Standing::voting || now - born_ >= kAskOthersAfter;
}

void Distributor::subscribe(Time now, DistributorEffects& out) {
  if (!may_subscribe(now)) return;
  for (std::uint32_t i = 0; i < peers_.size(); ++i) {
    if (!peers_[i].up || peers_[i].subscribed) continue;
    peers_[i].subscribed = true;
    out.emplace_back(SubscribeAll{i});
  }
}

void Distributor::set_standing(Time now, Standing standing, DistributorEffects& out) {
  if (standing_ == standing) return;
  standing_ = standing;
  if (standing == Standing::voting) voting_since_ = now;
  happened(DistributorTold::standing, {}, 0,
           standing == Standing::voting       ? "voting"
           : standing == Standing::recovering ? "recovering"
                                              : "new",
           out);
  for (const ClientId id : distributors_) {
    Client& client = clients_.at(id);
    client.standing_owed = true;
    notify(now, id, client, out);
  }
}

// What this one may have accepted before it lost its files is known where a majority of the others, who have
// a vote, told it all, or all others did, whatever they are: each majority that it was part of has one of
// them.
void Distributor::recover(Time now, DistributorEffects& out) {
  if (standing_ != Standing::voting && now - born_ >= kSilence) {
    const auto all = [](const Peer& p) { return p.told_all; };
    const auto voting = [](const Peer& p) { return p.told_voting; };
    const auto told = static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), voting));
    if (std::all_of(peers_.begin(), peers_.end(), all) || told >= peers_.size() / 2 + 1)
      set_standing(now, Standing::voting, out);
  }
  if (settled_ || standing_ != Standing::voting) return;
  if (!wants_.empty() && now - voting_since_ < kSettleWithin) return;
  settled_ = true;
  for (auto& [id, client] : clients_) notify(now, id, client, out);
}

// ---- what is committed

bool Distributor::commit(Time now, const Document& d, DistributorEffects& out) {
  const Stamp known = committed(d.service);
  if (known.version >= d.stamp.version) {
    if (known.version == d.stamp.version && known != d.stamp)
      happened(DistributorTold::conflict, d.service, d.stamp.version, "another content is committed", out);
    return false;
  }
  if (!has_room_for(d.service)) {
    happened(DistributorTold::full, d.service, d.stamp.version, "services", out);
    return false;
  }
  Record& record = records_[d.service];
  const Document document = d;  // it may be the accepted one
  record.committed = document;
  record.seen = std::max(record.seen, document.stamp.version);
  if (record.accepted && record.accepted->stamp.version <= document.stamp.version) record.accepted.reset();
  out.emplace_back(Save{bucket_of(document.service)});
  happened(DistributorTold::committed, document.service, document.stamp.version, {}, out);
  if (const auto want = wants_.find(document.service); want != wants_.end()) {
    std::erase_if(want->second.has,
                  [&](const auto& has) { return has.second.version <= document.stamp.version; });
    if (want->second.has.empty()) {
      fetching_ -= want->second.asked ? 1 : 0;
      wants_.erase(want);
    }
  }
  if (const auto asking = asking_.find(document.service);
      asking != asking_.end() && asking->second.version <= document.stamp.version)
    asking_.erase(asking);
  const auto owe = [&](ClientId id) {
    Client& client = clients_.at(id);
    client.owed.insert(document.service);
    notify(now, id, client, out);
  };
  for (const ClientId id : distributors_) owe(id);
  if (const auto it = by_service_.find(document.service); it != by_service_.end()) {
    for (const ClientId id : it->second) owe(id);
  }
  return true;
}

// ---- publishing

void Distributor::on(Time now, const Publish& e, DistributorEffects& out) {
  const auto refuse = [&](std::string why) {
    out.emplace_back(Published{e.request, false, {}, std::move(why)});
  };
  if (!is_service(e.service)) return refuse("not a service's name");
  if (e.content.size() > kLargestDocument) return refuse("too large");
  if (standing_ != Standing::voting) return refuse("not voting yet");
  if (!has_room_for(e.service)) return refuse("too many services");
  if (publications_.size() >= kMostProposals) return refuse("too many at once");
  for (const auto& [id, publication] : publications_) {
    if (publication.document.service == e.service) return refuse("it is being published here");
  }
  Publication publication;
  publication.request = e.request;
  publication.document = {e.service, {}, e.content};
  publication.guess = e.guess != 0 ? e.guess : std::max<Version>(milliseconds(now), 1);
  propose(now, random_(), std::move(publication), out);
}

void Distributor::propose(Time now, std::uint64_t id, Publication publication, DistributorEffects& out) {
  Document& d = publication.document;
  const Version known = std::max(seen(d.service), committed(d.service).version);
  Version number = std::max(publication.guess, known + 1);
  if (const auto asking = asking_.find(d.service);
      asking != asking_.end() && asking->second.version < kLikely)
    number = std::max(number, asking->second.version + 1);
  d.stamp = {number, digest_of(settings_.key, d.service, number, d.content)};
  ++publication.tries;
  publication.out = true;
  publication.when = now + kProposalLives;
  publication.accepted.clear();
  publication.refused.clear();
  publication.number_taken = false;
  Record& record = records_[d.service];
  record.accepted = d;
  record.seen = number;
  out.emplace_back(Save{bucket_of(d.service)});
  for (std::uint32_t i = 0; i < peers_.size(); ++i) {
    if (peers_[i].up) out.emplace_back(Propose{i, id, d});
  }
  publications_.insert_or_assign(id, std::move(publication));
  count_votes(now, id, out);
}

void Distributor::count_votes(Time now, std::uint64_t id, DistributorEffects& out) {
  Publication& p = publications_.at(id);
  if (p.accepted.size() + 1 >= majority()) {
    if (committed(p.document.service).version >= p.document.stamp.version) {
      // Another one's was committed above it meanwhile.
      try_again(now, id, "others publish it", out);
      return;
    }
    const Publication done = p;
    publications_.erase(id);
    const bool committed = commit(now, done.document, out);
    out.emplace_back(Published{done.request, committed, committed ? done.document.stamp : Stamp{},
                               committed ? "" : "too many services"});
    return;
  }
  if (!p.number_taken || peers_.size() - p.refused.size() + 1 >= majority()) return;
  try_again(now, id, "others publish it", out);
}

// Under a new number, which must have a new id: answers to the old one are for nothing.
void Distributor::try_again(Time now, std::uint64_t id, const std::string& why, DistributorEffects& out) {
  auto node = publications_.extract(id);
  Publication& p = node.mapped();
  happened(DistributorTold::given_up, p.document.service, p.document.stamp.version, why, out);
  if (p.tries >= kMostTries) {
    out.emplace_back(Published{p.request, false, {}, why});
    return;
  }
  std::uniform_int_distribution<Duration::rep> draw(0, (kTryAgainMost * p.tries).count());
  p.out = false;
  p.when = now + Duration(draw(random_));
  node.key() = random_();
  publications_.insert(std::move(node));
}

// Its time is over.
void Distributor::end(Time now, std::uint64_t id, DistributorEffects& out) {
  if (publications_.at(id).number_taken) return try_again(now, id, "others publish it", out);
  give_up(id, "no majority", out);
}

void Distributor::give_up(std::uint64_t id, const std::string& why, DistributorEffects& out) {
  const auto it = publications_.find(id);
  const Publication& p = it->second;
  happened(DistributorTold::given_up, p.document.service, p.document.stamp.version, why, out);
  out.emplace_back(Published{p.request, false, {}, why});
  publications_.erase(it);
}

void Distributor::on(Time now, const PeerAnswered& e, DistributorEffects& out) {
  if (e.peer >= peers_.size()) return;
  const auto it = publications_.find(e.proposal);
  if (it == publications_.end() || !it->second.out) return;
  Publication& p = it->second;
  if (now >= p.when) return end(now, e.proposal, out);
  if (e.accepted) {
    p.accepted.insert(e.peer);
    p.refused.erase(e.peer);
  } else {
    if (p.accepted.contains(e.peer)) return;
    p.refused.insert(e.peer);
    if (e.seen >= p.document.stamp.version) {
      // Others may still make a majority, but it is not waited for long.
      p.number_taken = true;
      p.guess = std::max(p.guess, e.seen + 1);
      p.when = std::min(p.when, now + kTakenWithin);
    }
  }
  count_votes(now, e.proposal, out);
}

void Distributor::on(Time, const Proposed& e, DistributorEffects& out) {
  const Document& d = e.document;
  if (!is_sound(settings_.key, d)) {
    happened(DistributorTold::unsound, d.service, d.stamp.version, "a proposal", out);
    out.emplace_back(AnswerProposal{e.client, e.proposal, false, 0});
    return;
  }
  const auto refuse = [&] { out.emplace_back(AnswerProposal{e.client, e.proposal, false, seen(d.service)}); };
  if (standing_ != Standing::voting) return refuse();
  if (!has_room_for(d.service)) {
    happened(DistributorTold::full, d.service, d.stamp.version, "services", out);
    return refuse();
  }
  Record& record = records_[d.service];
  // The same one for a second time, after its answer was lost, has the same answer.
  const bool again = record.accepted == d;
  if (!again && d.stamp.version <= record.seen) {
    happened(DistributorTold::turned_down, d.service, d.stamp.version, std::to_string(record.seen), out);
    return refuse();
  }
  if (!again) {
    record.accepted = d;
    record.seen = d.stamp.version;
    out.emplace_back(Save{bucket_of(d.service)});
    happened(DistributorTold::accepted, d.service, d.stamp.version, {}, out);
  }
  out.emplace_back(AnswerProposal{e.client, e.proposal, true, record.seen});
}

// ---- peers

void Distributor::on(Time now, const PeerUp& e, DistributorEffects& out) {
  if (e.peer >= peers_.size()) return;
  peers_[e.peer].up = true;
  peers_[e.peer].subscribed = false;
  subscribe(now, out);
  for (const auto& [id, p] : publications_) {
    if (p.out && now < p.when) out.emplace_back(Propose{e.peer, id, p.document});
  }
}

void Distributor::on(Time now, const PeerDown& e, DistributorEffects& out) {
  if (e.peer >= peers_.size()) return;
  peers_[e.peer].up = false;
  peers_[e.peer].subscribed = false;
  for (auto it = wants_.begin(); it != wants_.end();) {
    Want& want = it->second;
    want.has.erase(e.peer);
    want.not_before.erase(e.peer);
    if (want.asked == e.peer) {
      want.asked.reset();
      --fetching_;
    }
    if (want.has.empty()) {
      fetching_ -= want.asked ? 1 : 0;
      it = wants_.erase(it);
    } else {
      ++it;
    }
  }
  fetch_more(now, out);
}

void Distributor::on(Time now, const PeerNoticed& e, DistributorEffects& out) {
  if (e.peer >= peers_.size() || !peers_[e.peer].subscribed) return;
  out.emplace_back(HeardFrom{e.peer});
  std::set<std::size_t> touched;
  for (const PeerNoticed::Entry& entry : e.entries) {
    if (!is_service(entry.service) || !has_room_for(entry.service)) {
      happened(is_service(entry.service) ? DistributorTold::full : DistributorTold::unsound, entry.service,
               entry.stamp.version, "a peer's notice", out);
      continue;
    }
    // Who votes knows what it accepted; a number that is just proposed to it is not to be turned down because
    // others were faster.
    const Version highest = std::max(entry.seen, entry.stamp.version);
    if (standing_ != Standing::voting && highest > seen(entry.service)) {
      records_[entry.service].seen = highest;
      touched.insert(bucket_of(entry.service));
    }
    const Stamp known = committed(entry.service);
    if (entry.stamp.version < known.version) {
      if (!entry.stamp.none())
        happened(DistributorTold::stale, entry.service, entry.stamp.version, "a peer's", out);
    } else if (entry.stamp.version == known.version) {
      if (entry.stamp != known)
        happened(DistributorTold::conflict, entry.service, known.version, "a peer's", out);
    } else {
      wants_[entry.service].has[e.peer] = entry.stamp;
      const Record& record = records_[entry.service];
      // What was accepted here need not be fetched.
      if (record.accepted && record.accepted->stamp == entry.stamp)
        commit(now, Document(*record.accepted), out);
    }
  }
  for (const std::size_t bucket : touched) out.emplace_back(Save{bucket});
  if (e.complete) {
    peers_[e.peer].told_all = true;
    if (e.standing == Standing::voting) peers_[e.peer].told_voting = true;
  }
  if (e.standing != Standing::is_new && standing_ == Standing::is_new)
    set_standing(now, Standing::recovering, out);
  recover(now, out);
  fetch_more(now, out);
}

void Distributor::on(Time now, const PeerDelivered& e, DistributorEffects& out) {
  if (e.peer >= peers_.size()) return;
  const Document& d = e.document;
  const auto it = wants_.find(d.service);
  if (it != wants_.end() && it->second.asked == e.peer) {
    it->second.asked.reset();
    --fetching_;
  }
  if (!is_sound(settings_.key, d)) {
    happened(DistributorTold::unsound, d.service, d.stamp.version, "a peer's", out);
    if (it != wants_.end()) it->second.not_before[e.peer] = now + kPeerAskAgain;
  } else {
    commit(now, d, out);
  }
  fetch_more(now, out);
  recover(now, out);
}

void Distributor::on(Time now, const PeerNotThere& e, DistributorEffects& out) {
  const auto it = wants_.find(e.service);
  if (it == wants_.end()) return;
  if (it->second.asked == e.peer) {
    it->second.asked.reset();
    --fetching_;
  }
  it->second.not_before[e.peer] = now + kPeerAskAgain;
  fetch_more(now, out);
}

// Cost: linear in what is wanted of peers.
void Distributor::fetch_more(Time now, DistributorEffects& out) {
  if (wants_.empty()) return;
  struct Candidate {
    Version version;
    const std::string* service;
    Want* want;
    std::uint32_t peer;
  };
  std::vector<Candidate> candidates;
  for (auto& [service, want] : wants_) {
    if (want.asked && now < want.until) continue;
    if (want.asked) {
      want.not_before[*want.asked] = now + kPeerAskAgain;
      want.asked.reset();
      --fetching_;
    }
    std::optional<Candidate> best;
    for (const auto& [peer, stamp] : want.has) {
      const auto later = want.not_before.find(peer);
      if (later != want.not_before.end() && now < later->second) continue;
      if (!best || stamp.version > best->version) best = Candidate{stamp.version, &service, &want, peer};
    }
    if (best) candidates.push_back(*best);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) { return a.version > b.version; });
  for (const Candidate& c : candidates) {
    if (fetching_ >= kMostPeerFetches) break;
    ++fetching_;
    c.want->asked = c.peer;
    c.want->until = now + kPeerFetchWithin;
    out.emplace_back(FetchFrom{c.peer, *c.service, c.version});
  }
}

// ---- clients

void Distributor::on(Time now, const ClientUp& e, DistributorEffects& out) {
  if (clients_.size() >= kMostClients) {
    happened(DistributorTold::full, {}, 0, "clients", out);
    out.emplace_back(CloseClient{e.client, "too many clients"});
    return;
  }
  Client& client = clients_[e.client];
  client.said = now;
  beats_.emplace(now + kBeatEvery, e.client);
}

void Distributor::lose(Time now, const std::string& name) {
  if (lost_.size() >= kMostLost && !lost_.contains(name)) {
    lost_.erase(std::min_element(lost_.begin(), lost_.end(),
                                 [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  lost_[name] = now;
}

void Distributor::drop(Time now, ClientId id) {
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
  if (client.subscribed && !client.all) {
    leave(by_name_, client.name);
    if (client.primary && !by_name_.contains(client.name)) lose(now, client.name);
  }
  distributors_.erase(id);
  if (!client.queued.empty()) std::erase_if(queue_, [&](const Queued& q) { return q.client == id; });
  clients_.erase(it);
}

void Distributor::close(Time now, ClientId id, const std::string& why, DistributorEffects& out) {
  out.emplace_back(CloseClient{id, why});
  drop(now, id);
}

void Distributor::on(Time now, const ClientDown& e, DistributorEffects&) { drop(now, e.client); }

void Distributor::on(Time now, const Subscribed& e, DistributorEffects& out) {
  const auto it = clients_.find(e.client);
  if (it == clients_.end()) return;
  Client& client = it->second;
  if (client.subscribed) return close(now, e.client, "it has subscribed before", out);
  const bool bad_name = e.name.empty() || e.name.size() > kLongestName;
  if (bad_name) return close(now, e.client, "its name is not one", out);
  if (e.held.size() > kMostSubscribed) return close(now, e.client, "too many services", out);
  for (const Noticed::Entry& held : e.held) {
    if (!is_service(held.service)) return close(now, e.client, "not a service's name", out);
  }
  client.subscribed = true;
  client.name = e.name;
  client.all = e.all;
  if (e.all) {
    if (distributors_.size() >= kMostDistributors) return close(now, e.client, "too many distributors", out);
    distributors_.insert(e.client);
    for (const auto& [service, record] : records_) client.owed.insert(service);
  } else {
    client.primary = e.primary;
    by_name_[client.name].insert(e.client);
    lost_.erase(client.name);
    for (const Noticed::Entry& held : e.held) {
      client.services[held.service].held = held.stamp;
      by_service_[held.service].insert(e.client);
      const Stamp known = committed(held.service);
      if (known.version > held.stamp.version) client.owed.insert(held.service);
    }
  }
  notify(now, e.client, client, out);
  for (const Noticed::Entry& held : e.held) look_at(now, held.service, held.stamp, out);
}

void Distributor::on(Time, const PrimaryTold& e, DistributorEffects&) {
  if (const auto it = clients_.find(e.client); it != clients_.end()) it->second.primary = e.primary;
}

void Distributor::on(Time now, const Heard& e, DistributorEffects& out) {
  const auto it = clients_.find(e.client);
  if (it == clients_.end() || !it->second.unanswered) return;
  it->second.unanswered = false;
  notify(now, e.client, it->second, out);
}

bool Distributor::may_complete(const Client& client) const { return client.all || settled_; }

// One notice, if it is owed one and none is out: the newest first.
void Distributor::notify(Time now, ClientId id, Client& client, DistributorEffects& out) {
  if (!client.subscribed || client.unanswered) return;
  std::vector<std::pair<Version, const std::string*>> newest;
  for (auto it = client.owed.begin(); it != client.owed.end();) {
    const Stamp stamp = committed(*it);
    const auto subscription = client.services.find(*it);
    const bool has_it =
        !client.all &&
        (subscription == client.services.end() ||
         std::max(subscription->second.held, subscription->second.told).version >= stamp.version);
    if (has_it) {
      it = client.owed.erase(it);
      continue;
    }
    newest.emplace_back(stamp.version, &*it);
    ++it;
  }
  const std::size_t most = std::min(newest.size(), kMostNoticed);
  const bool complete = most == newest.size() && may_complete(client);
  if (newest.empty() && !client.standing_owed && (client.complete || !complete)) return;
  std::partial_sort(newest.begin(), newest.begin() + static_cast<std::ptrdiff_t>(most), newest.end(),
                    [](const auto& a, const auto& b) { return a.first > b.first; });
  newest.resize(most);
  Notice notice;
  notice.client = id;
  notice.complete = complete;
  notice.with_seen = client.all;
  notice.standing = standing_;
  for (const auto& [version, service] : newest) {
    const Stamp stamp = committed(*service);
    notice.entries.push_back({*service, stamp, client.all ? seen(*service) : 0});
    if (!client.all) client.services.find(*service)->second.told = stamp;
  }
  for (const PeerNoticed::Entry& entry : notice.entries) client.owed.erase(entry.service);
  client.unanswered = true;
  client.noticed = now;
  client.said = now;
  client.standing_owed = false;
  client.complete = client.complete || complete;
  out.emplace_back(std::move(notice));
}

void Distributor::on(Time now, const Fetched& e, DistributorEffects& out) {
  const auto it = clients_.find(e.client);
  if (it == clients_.end()) return;
  Client& client = it->second;
  const Stamp known = committed(e.service);
  if (known.none() || known.version < e.version) {
    out.emplace_back(Missing{e.client, e.service});
    return;
  }
  if (client.queued.contains(e.service)) return;
  const bool full = queue_.size() >= kMostQueued;
  if (full || client.queued.size() >= (client.all ? kMostPeerFetches : kMostFetches)) {
    happened(DistributorTold::full, e.service, e.version, full ? "queue" : "a client's queue", out);
    out.emplace_back(Missing{e.client, e.service});
    return;
  }
  client.queued.insert(e.service);
  queue_.insert({known.version, ++queued_, e.client, e.service});
  deliver(now, out);
}

void Distributor::deliver(Time now, DistributorEffects& out) {
  const double rate = static_cast<double>(settings_.bytes_per_second);
  const double passed_s = std::chrono::duration<double>(now - filled_).count();
  filled_ = now;
  tokens_ = std::min(rate / 10, tokens_ + rate * std::max(0.0, passed_s));
  while (!queue_.empty() && tokens_ > 0) {
    const Queued next = *queue_.begin();
    queue_.erase(queue_.begin());
    Client& client = clients_.at(next.client);
    client.queued.erase(next.service);
    client.said = now;
    const Document& document = *records_.at(next.service).committed;
    tokens_ -= static_cast<double>(document.content.size() + document.service.size() + 128);
    out.emplace_back(Deliver{next.client, document});
  }
}

void Distributor::on(Time now, const Reported& e, DistributorEffects& out) {
  const auto it = clients_.find(e.client);
  if (it == clients_.end()) return;
  const auto subscription = it->second.services.find(e.service);
  if (subscription == it->second.services.end()) return;
  Subscription& s = subscription->second;
  if (!e.in_force) {
    s.refused = e.stamp;
    s.reason = e.reason.substr(0, kLongestReason);
    return;
  }
  s.held = e.stamp;
  if (s.refused && s.refused->version <= e.stamp.version) {
    s.refused.reset();
    s.reason.clear();
  }
  look_at(now, e.service, e.stamp, out);
}

// ---- what clients have and nobody here knows

void Distributor::look_at(Time now, const std::string& service, const Stamp& in_force,
                          DistributorEffects& out) {
  const Stamp known = committed(service);
  if (in_force.version == known.version && in_force != known)
    happened(DistributorTold::conflict, service, known.version, "a gatekeeper's", out);
  if (in_force.version <= known.version) return;
  const auto [it, fresh] = asking_.try_emplace(service);
  it->second.version = std::max(it->second.version, in_force.version);
  if (fresh) it->second.until = now + kAskAfter;
}

// Cost: linear in what is asked for, and in the clients of what is asked for again.
void Distributor::ask_more(Time now, DistributorEffects& out) {
  for (auto it = asking_.begin(); it != asking_.end();) {
    auto& [service, asking] = *it;
    if (now < asking.until) {
      ++it;
      continue;
    }
    // The next one, in the order of clients, that has something newer.
    std::optional<ClientId> first;
    std::optional<ClientId> next;
    const Version known = committed(service).version;
    if (const auto clients = by_service_.find(service); clients != by_service_.end()) {
      for (const ClientId id : clients->second) {
        if (clients_.at(id).services.find(service)->second.held.version <= known) continue;
        if (!first) first = id;
        if (asking.asked && id <= *asking.asked) continue;
        next = id;
        break;
      }
    }
    if (!next) next = first;
    if (!next) {
      it = asking_.erase(it);
      continue;
    }
    asking.asked = next;
    asking.until = now + kHandWithin;
    out.emplace_back(Ask{*next, service});
    ++it;
  }
}

void Distributor::on(Time now, const Handed& e, DistributorEffects& out) {
  const Document& d = e.document;
  if (!clients_.contains(e.client)) return;
  if (!is_sound(settings_.key, d)) {
    happened(DistributorTold::unsound, d.service, d.stamp.version, "a gatekeeper's", out);
    return;
  }
  const auto it = asking_.find(d.service);
  if (it == asking_.end() || it->second.asked != e.client) return;  // known since, or never asked for
  if (commit(now, d, out)) happened(DistributorTold::learned_back, d.service, d.stamp.version, {}, out);
}

// ---- time

void Distributor::on(Time now, const Tick&, DistributorEffects& out) {
  if (now - ticked_ > kStopped) woke_ = now;
  ticked_ = now;
  subscribe(now, out);
  recover(now, out);
  fetch_more(now, out);
  std::vector<std::uint64_t> due;
  for (const auto& [id, p] : publications_) {
    if (now >= p.when) due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    const auto it = publications_.find(id);
    if (it == publications_.end()) continue;
    if (it->second.out) {
      end(now, id, out);
    } else {
      Publication again = std::move(it->second);
      publications_.erase(it);
      propose(now, id, std::move(again), out);
    }
  }
  ask_more(now, out);
  deliver(now, out);
  while (!beats_.empty() && beats_.begin()->first <= now) {
    const ClientId id = beats_.begin()->second;
    beats_.erase(beats_.begin());
    const auto it = clients_.find(id);
    if (it == clients_.end()) continue;
    Client& client = it->second;
    if (client.unanswered && now - std::max(client.noticed, woke_) >= kUnread) {
      close(now, id, "it does not read", out);
      continue;
    }
    if (now - client.said >= kBeatEvery) {
      client.said = now;
      out.emplace_back(SendBeat{id});
    }
    beats_.emplace(client.said + kBeatEvery, id);
  }
  std::erase_if(lost_, [&](const auto& lost) { return now - lost.second >= kLostKept; });
}

// ---- what is known of it

Distributor::Status Distributor::status(std::string_view service) const {
  Status status;
  status.committed = committed(service);
  const auto it = by_service_.find(service);
  if (it == by_service_.end()) return status;
  for (const ClientId id : it->second) {
    const Client& client = clients_.at(id);
    if (!client.primary) continue;
    ++status.subscribed;
    const Subscription& s = client.services.find(service)->second;
    if (s.refused && s.refused->version >= status.committed.version) {
      ++status.refused_all;
      if (status.refused.size() < kMostNamed)
        status.refused.push_back({client.name, s.refused->version, s.reason});
    } else if (s.held.version < status.committed.version) {
      ++status.behind_all;
      if (status.behind.size() < kMostNamed) status.behind.push_back(client.name);
    } else if (s.held == status.committed && !s.held.none()) {
      ++status.in_force;
    }
  }
  return status;
}

std::vector<Distributor::Lost> Distributor::lost() const {
  std::vector<Lost> all;
  for (const auto& [name, since] : lost_) all.push_back({name, since});
  return all;
}

bool Distributor::attached(std::string_view name) const { return by_name_.find(name) != by_name_.end(); }

std::size_t Distributor::clients() const { return clients_.size(); }

}  // namespace graniterun::distribution
