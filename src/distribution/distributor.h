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
// rest on it, in one step's order). A distributor that starts from nothing accepts no proposal for kSilence,
// longer than a proposal lives (kProposalLives), and not before a majority of the others that have a vote
// have told it all they know, or all of them say that they too are new. So what it may have accepted before
// cannot be accepted twice. What gatekeepers have in force and no distributor knows any more is asked back
// from them (Ask).
//
// Invariants.
//  1. The committed version of a service never goes back, and no version has two digests, over restarts of
//  any of
//     them, and of all of them where a majority kept their files.
//  2. Nothing is told to anybody that is not committed, and nothing is committed that is not sound.
//  3. A client is owed at most one notice's answer at a time: a slow one is told the newest, never a backlog.
//
// Bounds: kMostServices documents and as many accepted ones, kMostClients clients with kMostSubscribed
// services each, kMostProposals proposals of one's own, kMostQueued documents waiting to be delivered.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "distribution/document.h"
#include "distribution/subscriber.h"

namespace graniterun::distribution {

constexpr std::size_t kMostDistributors = 64;
constexpr std::size_t kMostClients = 4096;
constexpr std::size_t kMostProposals = 64;
constexpr std::size_t kMostNoticed = 100;  // entries of one notice
constexpr std::size_t kMostLost = 4096;    // names of gatekeepers that are gone, kept for kLostKept
constexpr Duration kLostKept = std::chrono::minutes(10);
constexpr Duration kProposalLives = std::chrono::seconds(3);  // then it is given up, and never committed
constexpr Duration kSilence = std::chrono::seconds(8);        // more than twice that
constexpr Duration kUnread = std::chrono::seconds(30);        // a notice; then the client is closed
constexpr Duration kBeatEvery = std::chrono::seconds(5);
constexpr std::size_t kMostQueued = 16384;    // documents that wait to be delivered, to all clients
constexpr std::size_t kMostPeerFetches = 32;  // documents on their way to a distributor
constexpr int kMostTries = 5;                 // numbers drawn for one publication
constexpr std::size_t kBuckets = 64;          // parts in which what is known is saved: a service is in one

struct DistributorSettings {
  std::string name{};
  std::size_t peers = 0;  // other distributors, by index 0 to peers - 1; each of them has a vote, as this one
  Key key{};
  std::size_t bytes_per_second = 16 * 1024 * 1024;  // of documents delivered to all; a burst of a tenth
  std::uint64_t seed{};
};

// Whether this one's answer counts in a majority.
enum class Standing : std::uint8_t {
  is_new,      // started from nothing, and knows of nobody who was not
  recovering,  // started from nothing among others who know something
  voting,
};

// What is saved of a service.
struct Record {
  std::optional<Document> committed{};
  std::optional<Document> accepted{};  // above what is committed, or none
  Version seen{};  // the highest that was accepted or committed here, or that others told before it voted
};

// ---- events. A client is a connection that came in; a peer is another distributor that this one connects
// to.

using ClientId = std::uint64_t;

struct Restored {  // once, first of all: what was saved; `nothing`: there were no files at all
  std::map<std::string, Record> records{};
  bool nothing = false;
};
struct PeerUp {
  std::uint32_t peer{};
};
struct PeerDown {
  std::uint32_t peer{};
};
// A peer's news, as a gatekeeper gets them, and the highest number that it has seen of each.
struct PeerNoticed {
  std::uint32_t peer{};
  struct Entry {
    std::string service{};
    Stamp stamp{};  // none: nothing is committed there
    Version seen{};
  };
  std::vector<Entry> entries{};
  bool complete = false;
  Standing standing{};
};
struct PeerDelivered {
  std::uint32_t peer{};
  Document document{};
};
struct PeerNotThere {
  std::uint32_t peer{};
  std::string service{};
};
struct PeerAnswered {  // a proposal of ours
  std::uint32_t peer{};
  std::uint64_t proposal{};
  bool accepted = false;
  Version seen{};  // where it was not
};
struct ClientUp {
  ClientId client{};
};
struct ClientDown {
  ClientId client{};
};
struct Subscribed {
  ClientId client{};
  std::string name{};
  bool all = false;  // a distributor: every service, and `seen` with each
  std::vector<Noticed::Entry> held{};
  bool primary = false;
};
struct PrimaryTold {
  ClientId client{};
  bool primary = false;
};
struct Heard {  // the notice has been read
  ClientId client{};
};
struct Fetched {
  ClientId client{};
  std::string service{};
  Version version{};
};
struct Reported {
  ClientId client{};
  std::string service{};
  Stamp stamp{};
  bool in_force = false;
  std::string reason{};
};
struct Handed {
  ClientId client{};
  Document document{};
};
struct Proposed {
  ClientId client{};
  std::uint64_t proposal{};
  Document document{};
};
struct Publish {
  std::uint64_t request{};  // the edge's own
  std::string service{};
  std::string content{};
  Version guess{};  // Unix time in milliseconds, the edge's; 0: `now` counts as it
};

using DistributorEvent = std::variant<Restored, PeerUp, PeerDown, PeerNoticed, PeerDelivered, PeerNotThere,
                                      PeerAnswered, ClientUp, ClientDown, Subscribed, PrimaryTold, Heard,
                                      Fetched, Reported, Handed, Proposed, Publish, Tick>;

// ---- effects

struct Save {  // the bucket, whole: `records_in(bucket)`
  std::size_t bucket{};
};
struct SubscribeAll {
  std::uint32_t peer{};
};
struct FetchFrom {
  std::uint32_t peer{};
  std::string service{};
  Version version{};
};
struct HeardFrom {  // its notice has been read
  std::uint32_t peer{};
};
struct Propose {
  std::uint32_t peer{};
  std::uint64_t proposal{};
  Document document{};
};
struct AnswerProposal {
  ClientId client{};
  std::uint64_t proposal{};
  bool accepted = false;
  Version seen{};
};
struct Notice {
  ClientId client{};
  std::vector<PeerNoticed::Entry> entries{};
  bool complete = false;
  bool with_seen = false;  // the client is a distributor
  Standing standing{};
};
struct Deliver {
  ClientId client{};
  Document document{};
};
struct Missing {  // what was asked for is not to be had here
  ClientId client{};
  std::string service{};
};
struct Ask {  // the client has something newer in force than is known here
  ClientId client{};
  std::string service{};
};
struct SendBeat {
  ClientId client{};
};
struct CloseClient {  // it said what no client says
  ClientId client{};
  std::string why{};
};
struct Published {
  std::uint64_t request{};
  bool committed = false;
  Stamp stamp{};
  std::string
      why{};  // where it is not: "no majority", "others publish it", "not voting yet", "too large", ...
};
enum class DistributorTold : std::uint8_t {
  committed,
  accepted,
  turned_down,  // a proposal of another one, for its number
  given_up,     // a proposal of one's own
  stale,        // a peer or client told of an older version
  conflict,     // two digests under one committed number: must never be
  unsound,
  learned_back,  // a document that a gatekeeper had in force was taken from it
  standing,      // it has changed
  full,          // a bound was reached: what it is stands in `reason`
};
struct DistributorHappened {
  DistributorTold what{};
  std::string service{};
  Version version{};
  std::string reason{};
};

using DistributorEffect =
    std::variant<Save, SubscribeAll, FetchFrom, HeardFrom, Propose, AnswerProposal, Notice, Deliver, Missing,
                 Ask, SendBeat, CloseClient, Published, DistributorHappened>;
using DistributorEffects = std::vector<DistributorEffect>;

class Distributor {
 public:
  explicit Distributor(DistributorSettings settings);

  // Cost of a commit: linear in the clients of the service; of a Tick: linear in the clients that are owed
  // something.
  void step(Time now, const DistributorEvent& event, DistributorEffects& out);

  Standing standing() const { return standing_; }
  static std::size_t bucket_of(std::string_view service);
  std::map<std::string, Record> records_in(std::size_t bucket) const;
  const std::map<std::string, Record>& records() const { return records_; }

  // How far a service's document has come among the gatekeepers that count themselves here (`primary`).
  struct Status {
    Stamp committed{};
    std::size_t subscribed = 0;
    std::size_t in_force = 0;
    struct Refusal {
      std::string name{};
      Version version{};
      std::string reason{};
    };
    std::vector<Refusal> refused{};  // 100 at most
    std::size_t refused_all = 0;
    std::vector<std::string> behind{};  // names, 100 at most
    std::size_t behind_all = 0;
  };
  Status status(std::string_view service) const;
  struct Lost {
    std::string name{};
    Time since{};
  };
  std::vector<Lost> lost() const;              // counted themselves here, and are not connected any more
  bool attached(std::string_view name) const;  // whether a gatekeeper of that name is connected here
  std::size_t clients() const;

 private:
  struct Peer {
    bool up = false;
    bool subscribed = false;
    bool told_all = false;     // since this one may count it: see `may_subscribe`
    bool told_voting = false;  // the same, while it was voting
  };
  struct Subscription {
    Stamp held{};  // in force there
    Stamp told{};  // the newest it was told of
    std::optional<Stamp> refused{};
    std::string reason{};
  };
  struct Client {
    std::string name{};
    bool subscribed = false;
    bool all = false;
    bool primary = false;
    bool unanswered = false;  // a notice is out
    bool complete = false;    // it was told that it has been told all
    bool standing_owed = false;
    Time noticed{};
    Time said{};  // anything at all
    std::map<std::string, Subscription, std::less<>> services{};
    std::set<std::string> owed{};
    std::set<std::string> queued{};  // documents that it waits for
  };
  struct Publication {
    std::uint64_t request{};
    Document document{};
    Version guess{};
    int tries = 0;
    bool out = false;  // proposed; else it waits for `when`
    Time when{};       // the proposal's end, or the next try
    std::set<std::uint32_t> accepted{};
    std::set<std::uint32_t> refused{};
    bool number_taken = false;
  };
  struct Want {  // of peers
    std::map<std::uint32_t, Stamp> has{};
    std::optional<std::uint32_t> asked{};
    Time until{};
    std::map<std::uint32_t, Time> not_before{};
  };
  struct Asking {  // of clients
    Version version{};
    std::optional<ClientId> asked{};
    Time until{};  // then another one is asked
  };
  struct Queued {
    Version version{};
    std::uint64_t number{};
    ClientId client{};
    std::string service{};
    bool operator<(const Queued& other) const {  // the newest first
      return version != other.version ? version > other.version : number < other.number;
    }
  };

  void on(Time now, const Restored& e, DistributorEffects& out);
  void on(Time now, const PeerUp& e, DistributorEffects& out);
  void on(Time now, const PeerDown& e, DistributorEffects& out);
  void on(Time now, const PeerNoticed& e, DistributorEffects& out);
  void on(Time now, const PeerDelivered& e, DistributorEffects& out);
  void on(Time now, const PeerNotThere& e, DistributorEffects& out);
  void on(Time now, const PeerAnswered& e, DistributorEffects& out);
  void on(Time now, const ClientUp& e, DistributorEffects& out);
  void on(Time now, const ClientDown& e, DistributorEffects& out);
  void on(Time now, const Subscribed& e, DistributorEffects& out);
  void on(Time now, const PrimaryTold& e, DistributorEffects& out);
  void on(Time now, const Heard& e, DistributorEffects& out);
  void on(Time now, const Fetched& e, DistributorEffects& out);
  void on(Time now, const Reported& e, DistributorEffects& out);
  void on(Time now, const Handed& e, DistributorEffects& out);
  void on(Time now, const Proposed& e, DistributorEffects& out);
  void on(Time now, const Publish& e, DistributorEffects& out);
  void on(Time now, const Tick& e, DistributorEffects& out);

  std::size_t majority() const { return (settings_.peers + 1) / 2 + 1; }
  Stamp committed(std::string_view service) const;
  Version seen(std::string_view service) const;
  bool may_subscribe(Time now) const;
  bool may_complete(const Client& client) const;
  bool has_room_for(const std::string& service) const;
  void subscribe(Time now, DistributorEffects& out);
  void set_standing(Time now, Standing standing, DistributorEffects& out);
  void recover(Time now, DistributorEffects& out);
  bool commit(Time now, const Document& document, DistributorEffects& out);
  void propose(Time now, std::uint64_t id, Publication publication, DistributorEffects& out);
  void try_again(Time now, std::uint64_t id, const std::string& why, DistributorEffects& out);
  void end(Time now, std::uint64_t id, DistributorEffects& out);
  void give_up(std::uint64_t id, const std::string& why, DistributorEffects& out);
  void count_votes(Time now, std::uint64_t id, DistributorEffects& out);
  void notify(Time now, ClientId id, Client& client, DistributorEffects& out);
  void drop(Time now, ClientId id);
  void close(Time now, ClientId id, const std::string& why, DistributorEffects& out);
  void fetch_more(Time now, DistributorEffects& out);
  void deliver(Time now, DistributorEffects& out);
  void look_at(Time now, const std::string& service, const Stamp& in_force, DistributorEffects& out);
  void ask_more(Time now, DistributorEffects& out);
  void happened(DistributorTold what, const std::string& service, Version version, std::string reason,
                DistributorEffects& out) const;
  void lose(Time now, const std::string& name);

  DistributorSettings settings_;
  Standing standing_ = Standing::is_new;
  std::map<std::string, Record> records_;
  std::mt19937_64 random_;
  bool born_known_ = false;
  Time born_{};
  Time ticked_{};
  Time woke_{};
  bool settled_ = false;  // it votes, and has what was told to it when it began to
  Time voting_since_{};
  std::vector<Peer> peers_;
  std::map<ClientId, Client> clients_;
  std::map<std::string, std::set<ClientId>, std::less<>> by_service_;
  std::set<ClientId> distributors_;  // clients that are subscribed to all
  std::map<std::string, std::set<ClientId>, std::less<>> by_name_;
  std::map<std::uint64_t, Publication> publications_;
  std::map<std::string, Want> wants_;
  std::size_t fetching_ = 0;
  std::map<std::string, Asking> asking_;
  std::set<Queued> queue_;
  std::uint64_t queued_ = 0;
  double tokens_ = 0;  // bytes; below 0 where a document was larger than what was left
  Time filled_{};
  std::set<std::pair<Time, ClientId>> beats_;
  std::map<std::string, Time, std::less<>> lost_;
};

}  // namespace graniterun::distribution
