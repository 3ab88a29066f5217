// A distributor: one of a few control machines (16 at the target size) that each store the configuration of
// every service, agree on versions by majority, and notify each gatekeeper of the newest versions of its
// services. Input: DistributorEvent; output: DistributorEffect. Pure: no I/O, no clock, no encoding.
//
// A change is published at any distributor, which coordinates it: it picks a version above all it knows (Unix
// time in milliseconds as a first candidate), proposes the configuration to all, and commits it once a
// majority has accepted. A distributor accepts a version of a service once, and only above all versions it
// has accepted or committed. So of two configurations under one version at most one can get a majority, and
// the minority side of a network partition can commit nothing. A commit is notified to all subscribers:
// distributors subscribe to each other, for all services, by the same messages as gatekeepers.
//
// Accepted and committed configurations are saved before anyone is answered or notified (SaveBucket precedes
// the effects that depend on it within one step). A distributor that starts without files accepts no proposal
// for kRecoveryWait, which is longer than a proposal lives (kProposalTtl), and not before a majority of the
// other distributors have notified all their versions while voting, or all others have, whatever their voter
// state. So a version that it may have accepted before it lost its files cannot be accepted twice.
// Configurations that gatekeepers have active and no distributor knows any more are recovered from them
// (RequestConfig).
//
// Invariants.
//  1. The committed version of a service never decreases, and no version has two digests. This holds across
//     restarts of some distributors, and of all of them if a majority kept their files.
//  2. Only committed configurations are notified, and only valid ones are committed.
//  3. A client has at most one unacknowledged notification: a slow one gets the newest versions, no backlog.
//
// Bounds: kMaxServices committed configurations and as many accepted ones, kMaxClients clients with
// kMaxSubscribedServices services each, kMaxProposals own proposals, kMaxQueuedDeliveries queued deliveries.
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
constexpr std::size_t kMaxNotifiedVersions = 100;  // entries of one NotifyVersions
// Names of disconnected gatekeepers, kept for kLostGatekeeperRetention.
constexpr std::size_t kMaxLostGatekeepers = 4096;
constexpr Duration kLostGatekeeperRetention = std::chrono::minutes(10);
// After this time a proposal is abandoned and never committed.
constexpr Duration kProposalTtl = std::chrono::seconds(3);
constexpr Duration kRecoveryWait = std::chrono::seconds(8);  // more than twice kProposalTtl
// A client that does not acknowledge a notification for this long is closed.
constexpr Duration kNotificationTimeout = std::chrono::seconds(30);
constexpr Duration kHeartbeatInterval = std::chrono::seconds(5);
constexpr std::size_t kMaxQueuedDeliveries = 16384;  // of all clients together
constexpr std::size_t kMaxPeerFetches = 32;          // fetches in flight from peers
constexpr int kMaxPublishAttempts = 5;  // proposals, each under a new version, for one publication
constexpr std::size_t kBuckets = 64;    // the unit in which records are saved; each service is in one

struct DistributorSettings {
  std::string name{};
  std::size_t peer_count = 0;  // number of other distributors, with index 0 to peers - 1; all are voters
  Key key{};
  // Rate of configurations delivered to all clients; a burst may be a tenth of it.
  std::size_t bytes_per_second = 16 * 1024 * 1024;
  std::uint64_t seed{};
};

// Whether this distributor's answers count in a majority.
enum class VoterState : std::uint8_t {
  uninitialized,  // started without files; no distributor with files is known yet
  recovering,     // started without files among distributors that have some
  voting,
};

// The saved state of a service.
struct ServiceRecord {
  std::optional<ServiceConfig> committed{};
  std::optional<ServiceConfig> accepted{};  // newer than `committed`, or none
  // Highest version that was accepted or committed here, or that peers reported before this one was voting.
  Version highest_seen{};
};

// ---- events. A client is an incoming connection; a peer is another distributor that this one connects to.

using ClientId = std::uint64_t;

// The saved records; the first event, and sent once. `empty`: there were no files at all.
struct Restored {
  std::map<std::string, ServiceRecord> records{};
  bool empty = false;
};
struct PeerConnected {
  std::uint32_t peer{};
};
struct PeerDisconnected {
  std::uint32_t peer{};
};
// A peer's notification: the same as a gatekeeper gets, with the highest version that the peer has seen of
// each service.
struct PeerVersionsNotified {
  std::uint32_t peer{};
  struct Entry {
    std::string service{};
    VersionId id{};  // none: the peer has committed nothing
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
struct ProposalAnswered {  // a peer's answer to an own proposal
  std::uint32_t peer{};
  std::uint64_t proposal{};
  bool accepted = false;
  Version highest_seen{};  // set if not accepted
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
  bool all = false;  // a distributor: every service, with highest_seen
  std::vector<VersionsNotified::Entry> held{};
  bool primary = false;
};
struct PrimaryChanged {
  ClientId client{};
  bool primary = false;
};
struct NotificationAcknowledged {  // the client has read the notification
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
  std::uint64_t request{};  // the caller's id, returned in PublishFinished
  std::string service{};
  std::string content{};
  Version version_hint{};  // the caller's Unix time in milliseconds; 0: `now` is used instead
};

using DistributorEvent =
    std::variant<Restored, PeerConnected, PeerDisconnected, PeerVersionsNotified, PeerConfigDelivered,
                 PeerConfigMissing, ProposalAnswered, ClientConnected, ClientDisconnected,
                 SubscriptionReceived, PrimaryChanged, NotificationAcknowledged, FetchRequested,
                 StatusReported, ConfigReturned, ProposalReceived, PublishRequested, Tick>;

// ---- effects

struct SaveBucket {  // saves records_in(bucket)
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
struct AcknowledgePeer {  // the peer's notification has been read
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
struct SendMissing {  // answers a fetch of a configuration that this one does not have or cannot queue
  ClientId client{};
  std::string service{};
};
struct RequestConfig {  // the client has a newer version active than the committed one
  ClientId client{};
  std::string service{};
};
struct SendHeartbeat {
  ClientId client{};
};
struct CloseClient {  // protocol violation, timeout or a reached limit, as `reason` says
  ClientId client{};
  std::string reason{};
};
struct PublishFinished {
  std::uint64_t request{};
  bool committed = false;
  VersionId id{};
  // If not committed: "no majority", "others publish it", "not voting yet", "too large", ...
  std::string reason{};
};
// For the log and the counters.
enum class DistributorLogKind : std::uint8_t {
  committed,
  accepted,
  rejected,     // a peer's proposal, because its version is not above the highest seen
  abandoned,    // an own proposal
  stale,        // a peer notified an older version than the committed one
  conflict,     // two digests under one committed version; must never happen
  unsound,      // a configuration or service name failed its check
  recovered,    // a configuration was committed from a gatekeeper that had it active
  voter_state,  // the voter state has changed
  full,         // a limit was reached; `reason` names it
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

  // Cost of a commit: linear in the clients of the service. Cost of a Tick: linear in the due heartbeats,
  // publications, pending fetches and recoveries, queued deliveries and lost gatekeepers.
  void step(Time now, const DistributorEvent& event, DistributorEffects& out);

  VoterState voter_state() const { return voter_state_; }
  static std::size_t bucket_of(std::string_view service);
  std::map<std::string, ServiceRecord> records_in(std::size_t bucket) const;  // cost: linear in the bucket
  const std::map<std::string, ServiceRecord>& records() const { return records_; }

  // Progress of a service's committed configuration among the gatekeepers whose primary this distributor is.
  struct Status {
    VersionId committed{};
    std::size_t subscribed = 0;
    std::size_t active = 0;
    struct Rejection {
      std::string name{};
      Version version{};
      std::string reason{};
    };
    std::vector<Rejection> rejections{};  // the first 100
    std::size_t rejected_count = 0;
    std::vector<std::string> behind{};  // names of the first 100
    std::size_t behind_count = 0;
  };
  Status status(std::string_view service) const;
  struct LostGatekeeper {
    std::string name{};
    Time lost_at{};
  };
  // Gatekeepers whose primary this distributor was and that are not connected here any more.
  std::vector<LostGatekeeper> lost_gatekeepers() const;
  bool is_gatekeeper_connected(
      std::string_view name) const;  // whether a gatekeeper of that name is connected here
  std::size_t client_count() const;  // number of connected clients

 private:
  struct Peer {
    bool connected = false;
    bool subscribed = false;
    // It has notified all its versions since the subscription, which comes no sooner than may_subscribe()
    // allows.
    bool synchronized = false;
    bool synchronized_by_voter = false;  // the same, while the peer was voting
  };
  struct Subscription {
    VersionId active{};    // at the client
    VersionId notified{};  // newest that the client was notified of
    std::optional<VersionId> rejected{};
    std::string reason{};
  };
  struct Client {
    std::string name{};
    bool subscribed = false;
    bool is_distributor = false;
    bool primary = false;
    bool notification_pending = false;  // a notification is not acknowledged yet
    bool complete = false;              // `complete` has been sent
    bool voter_state_pending = false;
    Time notified_at{};
    Time last_sent_at{};  // any message
    std::map<std::string, Subscription, std::less<>> services{};
    std::set<std::string> pending_services{};
    std::set<std::string> queued_deliveries{};  // services of its queued deliveries
  };
  struct Publication {
    std::uint64_t request{};
    ServiceConfig config{};
    Version version_hint{};
    int attempts = 0;
    bool proposed = false;  // false: waits until due_at for the next attempt
    Time due_at{};          // end of the proposal, or the next attempt
    std::set<std::uint32_t> accepted_by{};
    std::set<std::uint32_t> rejected_by{};
    bool version_taken = false;
  };
  struct PendingFetch {  // of a service's configuration from peers
    std::map<std::uint32_t, VersionId> offers{};
    std::optional<std::uint32_t> asked_peer{};
    Time deadline{};
    std::map<std::uint32_t, Time> not_before{};
  };
  struct PendingRecovery {  // of a service's configuration from clients
    Version version{};
    std::optional<ClientId> asked_client{};
    Time deadline{};  // then the next client is asked
  };
  struct QueuedDelivery {
    Version version{};
    std::uint64_t number{};
    ClientId client{};
    std::string service{};
    bool operator<(const QueuedDelivery& other) const {  // newest first
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

  std::size_t majority() const { return (settings_.peer_count + 1) / 2 + 1; }
  ServiceRecord& record_of(const std::string& service);
  VersionId committed(const std::string& service) const;
  Version highest_seen(const std::string& service) const;
  bool may_subscribe(Time now) const;
  bool may_complete(const Client& client) const;
  bool has_capacity_for(const std::string& service) const;
  void subscribe_to_peers(Time now, DistributorEffects& out);
  void set_voter_state(Time now, VoterState state, DistributorEffects& out);
  void update_recovery(Time now, DistributorEffects& out);
  bool commit(Time now, const ServiceConfig& config, DistributorEffects& out);
  void propose(Time now, std::uint64_t id, Publication publication, DistributorEffects& out);
  void retry_publication(Time now, std::uint64_t id, const std::string& reason, DistributorEffects& out);
  void end_proposal(Time now, std::uint64_t id, DistributorEffects& out);
  void abandon_publication(std::uint64_t id, const std::string& reason, DistributorEffects& out);
  void count_votes(Time now, std::uint64_t id, DistributorEffects& out);
  void notify_client(Time now, ClientId id, Client& client, DistributorEffects& out);
  void forget_client(Time now, ClientId id);
  void close_client(Time now, ClientId id, const std::string& reason, DistributorEffects& out);
  void start_peer_fetches(Time now, DistributorEffects& out, bool at_tick = false);
  void deliver_queued(Time now, DistributorEffects& out);
  void compare_peer_version(Time now, std::uint32_t peer, const PeerVersionsNotified::Entry& entry,
                            DistributorEffects& out);
  void compare_reported_version(Time now, const std::string& service, const VersionId& reported,
                                DistributorEffects& out);
  void request_missing_configs(Time now, DistributorEffects& out);
  void log_event(DistributorLogKind kind, const std::string& service, Version version, std::string reason,
                 DistributorEffects& out) const;
  void record_lost_gatekeeper(Time now, const std::string& name);

  DistributorSettings settings_;
  VoterState voter_state_ = VoterState::uninitialized;
  std::map<std::string, ServiceRecord> records_;
  std::array<std::set<std::string>, kBuckets> buckets_;  // the services of each bucket
  std::mt19937_64 random_;
  bool started_ = false;
  Time started_at_{};
  Time last_tick_at_{};
  Time resumed_at_{};
  // It votes, and has fetched the versions that it knew of when it began to vote, or kInitialSyncTimeout has
  // passed.
  bool initial_sync_done_ = false;
  Time voting_since_{};
  std::vector<Peer> peers_;
  std::map<ClientId, Client> clients_;
  std::map<std::string, std::set<ClientId>, std::less<>> by_service_;
  std::set<ClientId> distributors_;  // clients that subscribe to all services
  std::map<std::string, std::set<ClientId>, std::less<>> by_name_;
  std::map<std::uint64_t, Publication> publications_;
  std::map<std::string, PendingFetch> pending_fetches_;
  std::size_t fetches_in_flight_ = 0;
  std::map<std::string, PendingRecovery> pending_recoveries_;
  std::set<QueuedDelivery> deliveries_;
  std::uint64_t last_delivery_ = 0;
  double tokens_ = 0;  // bytes; negative after a delivery larger than the tokens left
  Time tokens_refilled_at_{};
  std::set<std::pair<Time, ClientId>> heartbeats_;
  std::map<std::string, Time, std::less<>> lost_gatekeepers_;
};

}  // namespace graniterun::distribution
