// A distributor: one of a few control machines (16 at the size of two years) that all hold every service's
// document, agree on numbers by a majority, and tell each gatekeeper of its services' newest. Pure: no I/O,
// no clock, no wire.
//
// A change is published at any distributor, which then leads it: it draws a number above all it knows (Unix
// time in milliseconds as a first guess), proposes the document to all, and commits it once a majority has
// accepted. A distributor accepts a number of a service once, and only above all it has accepted or
// committed: so of two documents under one number at most one can have a majority, and the small side of a
// cut can commit nothing. What is committed spreads as news to all who are subscribed: distributors are
// subscribed to each other's documents by the same messages as gatekeepers, to all services.
//
// What it accepted and committed is saved before it is answered or told (Save comes before the effects that
// rest on it, in one step's order). A distributor that starts from nothing accepts no proposal for
// kRecoveryWait, longer than a proposal lives (kProposalTtl), and not before a majority of the others that
// have a vote have told it all they know, or all of them say that they too are new. So what it may have
// accepted before cannot be accepted twice. What gatekeepers have in force and no distributor knows any more
// is asked back from them (Ask).
//
// Invariants.
//  1. The committed version of a service never goes back, and no version has two digests, over restarts of
//  any of
//     them, and of all of them where a majority kept their files.
//  2. Nothing is told to anybody that is not committed, and nothing is committed that is not sound.
//  3. A client is owed at most one notice's answer at a time: a slow one is told the newest, never a backlog.
//
// Bounds: kMaxServices documents and as many accepted ones, kMaxClients clients with kMaxSubscribedServices
// services each, kMaxProposals proposals of one's own, kMaxQueuedDeliveries documents waiting to be
// delivered.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "distribution/service_config.h"
#include "distribution/subscriber.h"

namespace graniterun::distribution {

constexpr std::size_t kMaxDistributors = 64;
constexpr std::size_t kMaxClients = 4096;
constexpr std::size_t kMaxProposals = 64;
constexpr std::size_t kMaxNotifiedVersions = 100;  // entries of one notice
// names of gatekeepers that are gone, kept for kLostRetention
constexpr std::size_t kMaxLostGatekeepers = 4096;
constexpr Duration kLostRetention = std::chrono::minutes(10);
constexpr Duration kProposalTtl = std::chrono::seconds(3);   // then it is given up, and never committed
constexpr Duration kRecoveryWait = std::chrono::seconds(8);  // more than twice that
constexpr Duration kNotificationTimeout = std::chrono::seconds(30);  // a notice; then the client is closed
constexpr Duration kHeartbeatInterval = std::chrono::seconds(5);
constexpr std::size_t kMaxQueuedDeliveries = 16384;  // documents that wait to be delivered, to all clients
constexpr std::size_t kMaxPeerFetches = 32;          // documents on their way to a distributor
constexpr int kMaxPublishAttempts = 5;               // numbers drawn for one publication
constexpr std::size_t kBuckets = 64;  // parts in which what is known is saved: a service is in one

struct DistributorSettings {
  std::string name{};
  std::size_t peers = 0;  // other distributors, by index 0 to peers - 1; each of them has a vote, as this one
  Key key{};
  std::size_t bytes_per_second = 16 * 1024 * 1024;  // of documents delivered to all; a burst of a tenth
  std::uint64_t seed{};
};

// Whether this one's answer counts in a majority.
enum class VoterState : std::uint8_t {
  uninitialized,  // started from nothing, and knows of nobody who was not
  recovering,     // started from nothing among others who know something
  voting,
};

// What is saved of a service.
struct ServiceRecord {
  std::optional<ServiceConfig> committed{};
  std::optional<ServiceConfig> accepted{};  // above what is committed, or none
  // the highest that was accepted or committed here, or that others told before it voted
  Version highest_seen{};
};

// ---- events. A client is a connection that came in; a peer is another distributor that this one connects
// to.

using ClientId = std::uint64_t;

struct Restored {  // once, first of all: what was saved; `nothing`: there were no files at all
  std::map<std::string, ServiceRecord> records{};
  bool empty = false;
};
struct PeerConnected {
  std::uint32_t peer{};
};
struct PeerDisconnected {
  std::uint32_t peer{};
};
// A peer's news, as a gatekeeper gets them, and the highest number that it has seen of each.
struct PeerVersionsNotified {
  std::uint32_t peer{};
  struct Entry {
    std::string service{};
    VersionId id{};  // none: nothing is committed there
    Version highest_seen{};
  };
  std::vector<Entry> entries{};
  bool complete = false;
  VoterState voter_state{};
};
struct PeerConfigDelivered {
  std::uint32_t peer{};
  ServiceConfig config{};
};
struct PeerConfigMissing {
  std::uint32_t peer{};
  std::string service{};
};
struct ProposalAnswered {  // a proposal of ours
  std::uint32_t peer{};
  std::uint64_t proposal{};
  bool accepted = false;
  Version highest_seen{};  // where it was not
};
struct ClientConnected {
  ClientId client{};
};
struct ClientDisconnected {
  ClientId client{};
};
struct SubscriptionReceived {
  ClientId client{};
  std::string name{};
  bool all = false;  // a distributor: every service, and `seen` with each
  std::vector<VersionsNotified::Entry> held{};
  bool primary = false;
};
struct PrimaryChanged {
  ClientId client{};
  bool primary = false;
};
struct NotificationAcknowledged {  // the notice has been read
  ClientId client{};
};
struct FetchRequested {
  ClientId client{};
  std::string service{};
  Version version{};
};
struct StatusReported {
  ClientId client{};
  std::string service{};
  VersionId id{};
  bool active = false;
  std::string reason{};
};
struct ConfigReturned {
  ClientId client{};
  ServiceConfig config{};
};
struct ProposalReceived {
  ClientId client{};
  std::uint64_t proposal{};
  ServiceConfig config{};
};
struct PublishRequested {
  std::uint64_t request{};  // the edge's own
  std::string service{};
  std::string content{};
  Version version_hint{};  // Unix time in milliseconds, the edge's; 0: `now` counts as it
};

using DistributorEvent =
    std::variant<Restored, PeerConnected, PeerDisconnected, PeerVersionsNotified, PeerConfigDelivered,
                 PeerConfigMissing, ProposalAnswered, ClientConnected, ClientDisconnected,
                 SubscriptionReceived, PrimaryChanged, NotificationAcknowledged, FetchRequested,
                 StatusReported, ConfigReturned, ProposalReceived, PublishRequested, Tick>;

// ---- effects

struct SaveBucket {  // the bucket, whole: `records_in(bucket)`
  std::size_t bucket{};
};
struct SubscribeToPeer {
  std::uint32_t peer{};
};
struct FetchFromPeer {
  std::uint32_t peer{};
  std::string service{};
  Version version{};
};
struct AcknowledgePeer {  // its notice has been read
  std::uint32_t peer{};
};
struct SendProposal {
  std::uint32_t peer{};
  std::uint64_t proposal{};
  ServiceConfig config{};
};
struct AnswerProposal {
  ClientId client{};
  std::uint64_t proposal{};
  bool accepted = false;
  Version highest_seen{};
};
struct NotifyVersions {
  ClientId client{};
  std::vector<PeerVersionsNotified::Entry> entries{};
  bool complete = false;
  bool with_highest_seen = false;  // the client is a distributor
  VoterState voter_state{};
};
struct DeliverConfig {
  ClientId client{};
  ServiceConfig config{};
};
struct SendMissing {  // what was asked for is not to be had here
  ClientId client{};
  std::string service{};
};
struct RequestConfig {  // the client has something newer in force than is known here
  ClientId client{};
  std::string service{};
};
struct SendHeartbeat {
  ClientId client{};
};
struct CloseClient {  // it said what no client says
  ClientId client{};
  std::string reason{};
};
struct PublishFinished {
  std::uint64_t request{};
  bool committed = false;
  VersionId id{};
  // where it is not: "no majority", "others publish it", "not voting yet", "too large", ...
  std::string reason{};
};
enum class DistributorLogKind : std::uint8_t {
  committed,
  accepted,
  rejected,   // a proposal of another one, for its number
  abandoned,  // a proposal of one's own
  stale,      // a peer or client told of an older version
  conflict,   // two digests under one committed number: must never be
  unsound,
  recovered,    // a document that a gatekeeper had in force was taken from it
  voter_state,  // it has changed
  full,         // a bound was reached: what it is stands in `reason`
};
struct DistributorLogEvent {
  DistributorLogKind kind{};
  std::string service{};
  Version version{};
  std::string reason{};
};

using DistributorEffect =
    std::variant<SaveBucket, SubscribeToPeer, FetchFromPeer, AcknowledgePeer, SendProposal, AnswerProposal,
                 NotifyVersions, DeliverConfig, SendMissing, RequestConfig, SendHeartbeat, CloseClient,
                 PublishFinished, DistributorLogEvent>;
using DistributorEffects = std::vector<DistributorEffect>;

class Distributor {
 public:
  explicit Distributor(DistributorSettings settings);

  // Cost of a commit: linear in the clients of the service; of a Tick: linear in the clients that are owed
  // something.
  void step(Time now, const DistributorEvent& event, DistributorEffects& out);

  VoterState voter_state() const { return voter_state_; }
  static std::size_t bucket_of(std::string_view service);
  std::map<std::string, ServiceRecord> records_in(std::size_t bucket) const;  // linear in the bucket
  const std::map<std::string, ServiceRecord>& records() const { return records_; }

  // How far a service's document has come among the gatekeepers that count themselves here (`primary`).
  struct Status {
    VersionId committed{};
    std::size_t subscribed = 0;
    std::size_t active = 0;
    struct Rejection {
      std::string name{};
      Version version{};
      std::string reason{};
    };
    std::vector<Rejection> rejections{};  // 100 at most
    std::size_t rejected_count = 0;
    std::vector<std::string> behind{};  // names, 100 at most
    std::size_t behind_count = 0;
  };
  Status status(std::string_view service) const;
  struct LostGatekeeper {
    std::string name{};
    Time lost_at{};
  };
  std::vector<LostGatekeeper> lost_gatekeepers()
      const;                                      // counted themselves here, and are not connected any more
  bool is_attached(std::string_view name) const;  // whether a gatekeeper of that name is connected here
  std::size_t clients() const;

 private:
  struct Peer {
    bool connected = false;
    bool subscribed = false;
    bool synchronized = false;           // since this one may count it: see `may_subscribe`
    bool synchronized_by_voter = false;  // the same, while it was voting
  };
  struct Subscription {
    VersionId active{};    // in force there
    VersionId notified{};  // the newest it was told of
    std::optional<VersionId> rejected{};
    std::string reason{};
  };
  struct Client {
    std::string name{};
    bool subscribed = false;
    bool is_distributor = false;
    bool primary = false;
    bool notification_pending = false;  // a notice is out
    bool complete = false;              // it was told that it has been told all
    bool voter_state_pending = false;
    Time notified_at{};
    Time last_sent_at{};  // anything at all
    std::map<std::string, Subscription, std::less<>> services{};
    std::set<std::string> pending_services{};
    std::set<std::string> queued_deliveries{};  // documents that it waits for
  };
  struct Publication {
    std::uint64_t request{};
    ServiceConfig config{};
    Version version_hint{};
    int attempts = 0;
    bool proposed = false;  // proposed; else it waits for `when`
    Time due_at{};          // the proposal's end, or the next try
    std::set<std::uint32_t> accepted_by{};
    std::set<std::uint32_t> rejected_by{};
    bool version_taken = false;
  };
  struct PendingFetch {  // of peers
    std::map<std::uint32_t, VersionId> offers{};
    std::optional<std::uint32_t> asked_peer{};
    Time deadline{};
    std::map<std::uint32_t, Time> not_before{};
  };
  struct PendingRecovery {  // of clients
    Version version{};
    std::optional<ClientId> asked_client{};
    Time deadline{};  // then another one is asked
  };
  struct QueuedDelivery {
    Version version{};
    std::uint64_t number{};
    ClientId client{};
    std::string service{};
    bool operator<(const QueuedDelivery& other) const {  // the newest first
      return version != other.version ? version > other.version : number < other.number;
    }
  };

  void on(Time now, const Restored& event, DistributorEffects& out);
  void on(Time now, const PeerConnected& event, DistributorEffects& out);
  void on(Time now, const PeerDisconnected& event, DistributorEffects& out);
  void on(Time now, const PeerVersionsNotified& event, DistributorEffects& out);
  void on(Time now, const PeerConfigDelivered& event, DistributorEffects& out);
  void on(Time now, const PeerConfigMissing& event, DistributorEffects& out);
  void on(Time now, const ProposalAnswered& event, DistributorEffects& out);
  void on(Time now, const ClientConnected& event, DistributorEffects& out);
  void on(Time now, const ClientDisconnected& event, DistributorEffects& out);
  void on(Time now, const SubscriptionReceived& event, DistributorEffects& out);
  void on(Time now, const PrimaryChanged& event, DistributorEffects& out);
  void on(Time now, const NotificationAcknowledged& event, DistributorEffects& out);
  void on(Time now, const FetchRequested& event, DistributorEffects& out);
  void on(Time now, const StatusReported& event, DistributorEffects& out);
  void on(Time now, const ConfigReturned& event, DistributorEffects& out);
  void on(Time now, const ProposalReceived& event, DistributorEffects& out);
  void on(Time now, const PublishRequested& event, DistributorEffects& out);
  void on(Time now, const Tick& event, DistributorEffects& out);

  std::size_t majority() const { return (settings_.peers + 1) / 2 + 1; }
  ServiceRecord& record_of(const std::string& service);
  VersionId committed(const std::string& service) const;
  Version highest_seen(const std::string& service) const;
  bool may_subscribe(Time now) const;
  bool may_complete(const Client& client) const;
  bool has_capacity_for(const std::string& service) const;
  void subscribe_to_peers(Time now, DistributorEffects& out);
  void set_voter_state(Time now, VoterState standing, DistributorEffects& out);
  void update_recovery(Time now, DistributorEffects& out);
  bool commit(Time now, const ServiceConfig& document, DistributorEffects& out);
  void propose(Time now, std::uint64_t id, Publication publication, DistributorEffects& out);
  void retry_publication(Time now, std::uint64_t id, const std::string& why, DistributorEffects& out);
  void end_proposal(Time now, std::uint64_t id, DistributorEffects& out);
  void abandon_publication(std::uint64_t id, const std::string& why, DistributorEffects& out);
  void count_votes(Time now, std::uint64_t id, DistributorEffects& out);
  void notify_client(Time now, ClientId id, Client& client, DistributorEffects& out);
  void forget_client(Time now, ClientId id);
  void close_client(Time now, ClientId id, const std::string& why, DistributorEffects& out);
  void start_peer_fetches(Time now, DistributorEffects& out, bool at_tick = false);
  void deliver_queued(Time now, DistributorEffects& out);
  void compare_peer_version(Time now, std::uint32_t peer, const PeerVersionsNotified::Entry& entry,
                            DistributorEffects& out);
  void compare_reported_version(Time now, const std::string& service, const VersionId& in_force,
                                DistributorEffects& out);
  void request_missing_configs(Time now, DistributorEffects& out);
  void log_event(DistributorLogKind what, const std::string& service, Version version, std::string reason,
                 DistributorEffects& out) const;
  void remember_lost(Time now, const std::string& name);

  DistributorSettings settings_;
  VoterState voter_state_ = VoterState::uninitialized;
  std::map<std::string, ServiceRecord> records_;
  std::array<std::set<std::string>, kBuckets> buckets_;  // the services of each
  std::mt19937_64 random_;
  bool started_ = false;
  Time started_at_{};
  Time last_tick_at_{};
  Time resumed_at_{};
  bool settled_ = false;  // it votes, and has what was told to it when it began to
  Time voting_since_{};
  std::vector<Peer> peers_;
  std::map<ClientId, Client> clients_;
  std::map<std::string, std::set<ClientId>, std::less<>> by_service_;
  std::set<ClientId> distributors_;  // clients that are subscribed to all
  std::map<std::string, std::set<ClientId>, std::less<>> by_name_;
  std::map<std::uint64_t, Publication> publications_;
  std::map<std::string, PendingFetch> pending_fetches_;
  std::size_t fetches_in_flight_ = 0;
  std::map<std::string, PendingRecovery> pending_recoveries_;
  std::set<QueuedDelivery> deliveries_;
  std::uint64_t last_delivery_ = 0;
  double tokens_ = 0;  // bytes; below 0 where a document was larger than what was left
  Time tokens_refilled_at_{};
  std::set<std::pair<Time, ClientId>> heartbeats_;
  std::map<std::string, Time, std::less<>> lost_gatekeepers_;
};

}  // namespace graniterun::distribution
