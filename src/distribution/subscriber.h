// A gatekeeper's side of the distribution of configuration: which distributors it holds on to, which
// documents it has in force, which it was told of and fetches, which it has refused. Pure: no I/O, no clock,
// no wire.
//
// Static stability: nothing here has an end by time. What is in force stays in force until a newer document
// is taken, whoever can or can't be reached.
//
// Invariants.
//  1. The version in force of a service never goes back, in one process.
//  2. A document is in force whole or not at all; one whose digest is not its own is never handed on.
//  3. A document that the gatekeeper refuses leaves what was in force as it was, and is told upward with the
//  reason.
//  4. Two documents of one version: the first one in force stays; the other is counted as `conflicts`, and
//  told.
//  5. At most kMostFetches documents are on their way, and none is asked for twice at one time.
//
// Bounds: kMostSubscribed services, two documents of each (in force, fetched); kSources connections, and one
// more while a better ranked distributor that was lost is tried.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "distribution/document.h"

namespace graniterun::distribution {

constexpr std::size_t kSources = 2;      // distributors that a gatekeeper holds on to at one time
constexpr std::size_t kMostFetches = 4;  // documents on their way to a gatekeeper
constexpr Duration kFetchWithin = std::chrono::seconds(1);    // then another source is asked
constexpr Duration kSilentSource = std::chrono::seconds(15);  // three beats: the connection is given up
constexpr Duration kRetryLeast =
    std::chrono::milliseconds(100);                       // before a distributor is tried again: drawn
constexpr Duration kRetryMost = std::chrono::seconds(5);  // between half and the whole, doubled up to this
constexpr Duration kGather =
    std::chrono::milliseconds(100);  // documents that come together are taken together

struct SubscriberSettings {
  std::string name{};                       // of the gatekeeper: its place in the ranking
  std::vector<std::string> distributors{};  // addresses, 1 to 64; the same list everywhere
  std::vector<std::string> services{};      // 1 to kMostSubscribed; documents are applied in this order
  Key key{};
  Duration wait{std::chrono::seconds(2)};  // at the start, for what is current
  std::uint64_t seed{};
};

// ---- events. `source` is the index of a distributor.

struct SourceUp {
  std::uint32_t source{};
};
struct SourceDown {  // could not be reached, or is lost
  std::uint32_t source{};
};
// What a distributor has in force of the services asked for, those only that differ from what it was told is
// held.
struct Noticed {
  std::uint32_t source{};
  struct Entry {
    std::string service{};
    Stamp stamp{};
  };
  std::vector<Entry> entries{};
  bool complete = false;  // all that it has to say has been said since the subscription
};
struct Delivered {
  std::uint32_t source{};
  Document document{};
};
struct NotThere {  // a document that was asked for is not to be had there (any more)
  std::uint32_t source{};
  std::string service{};
};
struct Wanted {  // a distributor that holds something older asks for what is in force here
  std::uint32_t source{};
  std::string service{};
};
struct Beat {  // any word of a distributor counts as one
  std::uint32_t source{};
};
// What became of an Apply. Comes in the same moment, or later; until then no other Apply is asked for.
struct Applied {
  bool taken = false;
  std::string reason{};  // where it was not
};
// The configuration under the documents is another one (SIGHUP): what was refused is tried once more.
struct BaseChanged {};
struct Tick {};  // every 50 ms

using SubscriberEvent = std::variant<SourceUp, SourceDown, Noticed, Delivered, NotThere, Wanted, Beat,
                                     Applied, BaseChanged, Tick>;

// ---- effects

struct Open {
  std::uint32_t source{};
};
struct Shut {
  std::uint32_t source{};
};
// First of all on a connection that came up. Held: what is in force here, so that nothing older is told.
struct Subscribe {
  std::uint32_t source{};
  std::vector<Noticed::Entry> held{};  // of every service in the settings' order; an empty stamp: nothing
  bool primary = false;                // it is this one that counts the gatekeeper
};
struct TellPrimary {  // it has changed since
  std::uint32_t source{};
  bool primary = false;
};
struct Fetch {
  std::uint32_t source{};
  std::string service{};
  Version version{};
};
struct Report {  // to every source that is up, at each change; and at once after a Subscribe, for what is
                 // refused
  std::uint32_t source{};
  std::string service{};
  Stamp stamp{};
  bool in_force = false;  // else refused, for the reason
  std::string reason{};
};
struct Hand {  // the answer to Wanted
  std::uint32_t source{};
  Document document{};
};
// The whole set that is to be in force, in the order of services; taken whole or not at all by whoever
// carries it out, who answers with Applied.
struct Apply {
  std::vector<Document> documents{};
};
// For the log and the counters.
enum class Told : std::uint8_t {
  in_force,    // a document has come into force
  refused,     // one was refused, with the reason
  stale,       // an older version was offered, and passed over
  conflict,    // another content under the version in force was offered, and passed over
  unsound,     // a document's digest was not its own, or it was not what was asked for
  unasked,     // a document that nobody asked for, or of a service that is none of ours
  fetch_late,  // a source did not answer a Fetch in time: another one is asked
  source_up,
  source_down,
  current,     // all that the first complete source told is in force or refused
  waited_out,  // the bounded wait at the start is over: it serves on its start configuration
};
struct Happened {
  Told what{};
  std::string service{};
  Version version{};
  std::string reason{};
};

using SubscriberEffect =
    std::variant<Open, Shut, Subscribe, TellPrimary, Fetch, Report, Hand, Apply, Happened>;
using SubscriberEffects = std::vector<SubscriberEffect>;

class Subscriber {
 public:
  explicit Subscriber(SubscriberSettings settings);

  // Opens the first connections.
  void start(Time now, SubscriberEffects& out);
  // Cost: at most n log n in the services of the event; a Tick is linear in the services.
  void step(Time now, const SubscriberEvent& event, SubscriberEffects& out);

  // It has what was current when it started, or has waited long enough for it.
  bool ready() const { return ready_; }
  // It has been told all by at least one source that is up, and has nothing to fetch or apply.
  bool is_current() const;

  struct Held {
    Stamp in_force{};                // none: the start configuration's
    std::optional<Stamp> refused{};  // newer than that, and turned down here
    std::string reason{};
  };
  // In the settings' order of services.
  std::vector<std::pair<std::string, Held>> held() const;
  std::size_t sources_up() const;

 private:
  struct Source {
    enum class State : std::uint8_t { shut, opening, up };
    State state = State::shut;
    bool complete = false;  // it has told all since it came up
    Duration pause = kRetryLeast;
    Time retry{};  // not opened before
    Time since{};  // of the state
    Time heard{};
  };
  struct Offer {
    Stamp stamp{};
    Time not_before{};  // asked for no sooner: the source did not answer, or did not have it
  };
  struct Fetching {
    std::uint32_t source{};
    Time until{};
    std::vector<std::uint32_t> asked{};  // since the last document came
  };
  struct Service {
    std::string name{};
    std::optional<Document> in_force{};
    std::optional<Document> newer{};  // fetched: to be applied, or refused
    bool tried = false;               // `newer` has been refused, and nothing has changed since
    std::optional<Stamp> refused{};
    std::string reason{};
    std::map<std::uint32_t, Offer> offers{};  // by source
    std::optional<Fetching> fetch{};
    Version floor() const;  // nothing of this version or below is fetched
  };

  Service* find(std::string_view name);
  bool is_up(std::uint32_t source) const { return sources_[source].state == Source::State::up; }
  void on(Time now, const SourceUp& e, SubscriberEffects& out);
  void on(Time now, const SourceDown& e, SubscriberEffects& out);
  void on(Time now, const Noticed& e, SubscriberEffects& out);
  void on(Time now, const Delivered& e, SubscriberEffects& out);
  void on(Time now, const NotThere& e, SubscriberEffects& out);
  void on(Time now, const Wanted& e, SubscriberEffects& out);
  void on(Time now, const Beat& e, SubscriberEffects& out);
  void on(Time now, const Applied& e, SubscriberEffects& out);
  void on(Time now, const BaseChanged& e, SubscriberEffects& out);
  void on(Time now, const Tick& e, SubscriberEffects& out);
  void heard(Time now, std::uint32_t source);
  void lose(Time now, std::uint32_t source, SubscriberEffects& out);
  void forget(std::uint32_t source);
  void choose_primary(std::optional<std::uint32_t> fresh, SubscriberEffects& out);
  void hold_sources(Time now, SubscriberEffects& out);
  void fetch_more(Time now, SubscriberEffects& out);
  void apply_more(Time now, SubscriberEffects& out);
  void apply(std::vector<std::size_t> candidates, SubscriberEffects& out);
  void put_in_force(Service& service, Document document, SubscriberEffects& out);
  void refuse(Service& service, const Document& document, const std::string& reason, SubscriberEffects& out);
  void report(const Service& service, std::optional<std::uint32_t> to, SubscriberEffects& out) const;
  void become_ready(Time now, SubscriberEffects& out);
  bool has_to_fetch() const;
  bool has_to_apply() const;

  SubscriberSettings settings_;
  std::vector<std::uint32_t> ranking_;
  std::vector<Source> sources_;
  std::vector<Service> services_;
  std::map<std::string, std::size_t, std::less<>> places_;  // of services
  std::mt19937_64 random_;
  std::optional<std::uint32_t> primary_;
  std::optional<Time> gathering_;      // since when documents that have come wait for others
  std::vector<std::size_t> applying_;  // services whose newer documents are in the Apply that is out
  std::vector<Document> applied_;      // these documents, in the same order
  bool is_applying_ = false;
  bool base_changed_ = false;             // while an Apply was out
  std::vector<std::size_t> alone_;        // to be tried one by one, the last one first
  std::vector<std::size_t> turned_down_;  // in this round of them
  bool progress_ = false;                 // one of this round came into force
  Time began_{};
  Time ticked_{};
  bool ready_ = false;
};

}  // namespace graniterun::distribution
