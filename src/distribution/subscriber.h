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
//  5. At most kMaxFetches documents are on their way, and none is asked for twice at one time.
//
// Bounds: kMaxSubscribedServices services, two documents of each (in force, fetched); kSources connections,
// and one more while a better ranked distributor that was lost is tried.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "distribution/service_config.h"

namespace graniterun::distribution {

constexpr std::size_t kSources = 2;     // distributors that a gatekeeper holds on to at one time
constexpr std::size_t kMaxFetches = 4;  // documents on their way to a gatekeeper
constexpr Duration kFetchTimeout = std::chrono::seconds(1);   // then another source is asked
constexpr Duration kSilentSource = std::chrono::seconds(15);  // three beats: the connection is given up
// before a distributor is tried again: drawn
constexpr Duration kMinReconnectBackoff = std::chrono::milliseconds(100);
// between half and the whole, doubled up to this
constexpr Duration kMaxReconnectBackoff = std::chrono::seconds(5);
// documents that come together are taken together
constexpr Duration kGather = std::chrono::milliseconds(100);

struct SubscriberSettings {
  std::string name{};                       // of the gatekeeper: its place in the ranking
  std::vector<std::string> distributors{};  // addresses, 1 to 64; the same list everywhere
  std::vector<std::string> services{};  // 1 to kMaxSubscribedServices; documents are applied in this order
  Key key{};
  Duration wait{std::chrono::seconds(2)};  // at the start, for what is current
  std::uint64_t seed{};
};

// ---- events. `source` is the index of a distributor.

struct SourceConnected {
  std::uint32_t source{};
};
struct SourceDisconnected {  // could not be reached, or is lost
  std::uint32_t source{};
};
// What a distributor has in force of the services asked for, those only that differ from what it was told is
// held.
struct VersionsNotified {
  std::uint32_t source{};
  struct Entry {
    std::string service{};
    VersionId id{};
  };
  std::vector<Entry> entries{};
  bool complete = false;  // all that it has to say has been said since the subscription
};
struct ConfigDelivered {
  std::uint32_t source{};
  ServiceConfig config{};
};
struct ConfigMissing {  // a document that was asked for is not to be had there (any more)
  std::uint32_t source{};
  std::string service{};
};
struct ConfigRequested {  // a distributor that holds something older asks for what is in force here
  std::uint32_t source{};
  std::string service{};
};
struct HeartbeatReceived {  // any word of a distributor counts as one
  std::uint32_t source{};
};
// What became of an Apply. Comes in the same moment, or later; until then no other Apply is asked for.
struct ApplyFinished {
  bool succeeded = false;
  std::string reason{};  // where it was not
};
// The configuration under the documents is another one (SIGHUP): what was refused is tried once more.
struct BaseChanged {};
struct Tick {};  // every 50 ms

using SubscriberEvent =
    std::variant<SourceConnected, SourceDisconnected, VersionsNotified, ConfigDelivered, ConfigMissing,
                 ConfigRequested, HeartbeatReceived, ApplyFinished, BaseChanged, Tick>;

// ---- effects

struct OpenSource {
  std::uint32_t source{};
};
struct CloseSource {
  std::uint32_t source{};
};
// First of all on a connection that came up. Held: what is in force here, so that nothing older is told.
struct Subscribe {
  std::uint32_t source{};
  std::vector<VersionsNotified::Entry>
      held{};            // of every service in the settings' order; an empty stamp: nothing
  bool primary = false;  // it is this one that counts the gatekeeper
};
struct SendPrimary {  // it has changed since
  std::uint32_t source{};
  bool primary = false;
};
struct FetchConfig {
  std::uint32_t source{};
  std::string service{};
  Version version{};
};
struct ReportStatus {  // to every source that is up, at each change; and at once after a Subscribe, for what
                       // is
                       // refused
  std::uint32_t source{};
  std::string service{};
  VersionId id{};
  bool active = false;  // else refused, for the reason
  std::string reason{};
};
struct ReturnConfig {  // the answer to Wanted
  std::uint32_t source{};
  ServiceConfig config{};
};
// The whole set that is to be in force, in the order of services; taken whole or not at all by whoever
// carries it out, who answers with Applied.
struct ApplyConfigs {
  std::vector<ServiceConfig> configs{};
};
// For the log and the counters.
enum class SubscriberLogKind : std::uint8_t {
  activated,        // a document has come into force
  rejected,         // one was refused, with the reason
  stale,            // an older version was offered, and passed over
  conflict,         // another content under the version in force was offered, and passed over
  unsound,          // a document's digest was not its own, or it was not what was asked for
  unrequested,      // a document that nobody asked for, or of a service that is none of ours
  fetch_timed_out,  // a source did not answer a Fetch in time: another one is asked
  source_connected,
  source_disconnected,
  current,       // all that the first complete source told is in force or refused
  wait_expired,  // the bounded wait at the start is over: it serves on its start configuration
};
struct SubscriberLogEvent {
  SubscriberLogKind kind{};
  std::string service{};
  Version version{};
  std::string reason{};
};

using SubscriberEffect = std::variant<OpenSource, CloseSource, Subscribe, SendPrimary, FetchConfig,
                                      ReportStatus, ReturnConfig, ApplyConfigs, SubscriberLogEvent>;
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

  struct ServiceState {
    VersionId active{};                   // none: the start configuration's
    std::optional<VersionId> rejected{};  // newer than that, and turned down here
    std::string reason{};
  };
  // In the settings' order of services.
  std::vector<std::pair<std::string, ServiceState>> service_states() const;
  std::size_t connected_sources() const;

 private:
  struct Source {
    enum class State : std::uint8_t { closed, opening, connected };
    State state = State::closed;
    bool complete = false;  // it has told all since it came up
    Duration backoff = kMinReconnectBackoff;
    Time reopen_at{};    // not opened before
    Time state_since{};  // of the state
    Time last_received_at{};
  };
  struct Offer {
    VersionId id{};
    Time not_before{};  // asked for no sooner: the source did not answer, or did not have it
  };
  struct PendingFetch {
    std::uint32_t source{};
    Time deadline{};
    std::vector<std::uint32_t> asked_sources{};  // since the last document came
  };
  struct Service {
    std::string name{};
    std::optional<ServiceConfig> active{};
    std::optional<ServiceConfig> candidate{};  // fetched: to be applied, or refused
    bool candidate_rejected = false;           // `newer` has been refused, and nothing has changed since
    std::optional<VersionId> rejected{};
    std::string reason{};
    std::map<std::uint32_t, Offer> offers{};  // by source
    std::optional<PendingFetch> fetch{};
    Version floor() const;  // nothing of this version or below is fetched
  };

  Service* find(std::string_view name);
  bool is_connected(std::uint32_t source) const { return sources_[source].state == Source::State::connected; }
  void on(Time now, const SourceConnected& event, SubscriberEffects& out);
  void on(Time now, const SourceDisconnected& event, SubscriberEffects& out);
  void on(Time now, const VersionsNotified& event, SubscriberEffects& out);
  void on(Time now, const ConfigDelivered& event, SubscriberEffects& out);
  void on(Time now, const ConfigMissing& event, SubscriberEffects& out);
  void on(Time now, const ConfigRequested& event, SubscriberEffects& out);
  void on(Time now, const HeartbeatReceived& event, SubscriberEffects& out);
  void on(Time now, const ApplyFinished& event, SubscriberEffects& out);
  void on(Time now, const BaseChanged& event, SubscriberEffects& out);
  void on(Time now, const Tick& event, SubscriberEffects& out);
  void record_source_input(Time now, std::uint32_t source);
  void handle_source_lost(Time now, std::uint32_t source, SubscriberEffects& out);
  void forget_source(std::uint32_t source);
  void choose_primary(std::optional<std::uint32_t> fresh, SubscriberEffects& out);
  void maintain_sources(Time now, SubscriberEffects& out);
  void start_fetches(Time now, SubscriberEffects& out);
  void start_apply(Time now, SubscriberEffects& out);
  void apply(std::vector<std::size_t> candidates, SubscriberEffects& out);
  void activate(Service& service, ServiceConfig document, SubscriberEffects& out);
  void reject(Service& service, const ServiceConfig& document, const std::string& reason,
              SubscriberEffects& out);
  void report_status(const Service& service, std::optional<std::uint32_t> to, SubscriberEffects& out) const;
  void update_readiness(Time now, SubscriberEffects& out);
  bool has_to_fetch() const;
  bool has_to_apply() const;

  SubscriberSettings settings_;
  std::vector<std::uint32_t> ranking_;
  std::vector<Source> sources_;
  std::vector<Service> services_;
  std::map<std::string, std::size_t, std::less<>> places_;  // of services
  std::mt19937_64 random_;
  std::optional<std::uint32_t> primary_;
  std::optional<Time> gathering_since_;  // since when documents that have come wait for others
  std::vector<std::size_t> applying_;    // services whose newer documents are in the Apply that is out
  std::vector<ServiceConfig> configs_applying_;  // these documents, in the same order
  bool is_applying_ = false;
  bool base_changed_ = false;                // while an Apply was out
  std::vector<std::size_t> to_apply_alone_;  // to be tried one by one, the last one first
  std::vector<std::size_t> rejected_alone_;  // in this round of them
  bool activated_alone_ = false;             // one of this round came into force
  Time started_at_{};
  Time last_tick_at_{};
  bool ready_ = false;
};

}  // namespace graniterun::distribution
