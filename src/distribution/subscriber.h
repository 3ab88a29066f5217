// The gatekeeper's side of the distribution of configuration: the distributors (sources) it is connected to,
// and per service the active configuration, the versions it was notified of, the one it fetches and the one
// it rejected. Input: SubscriberEvent; output: SubscriberEffect. Pure: no I/O, no clock, no encoding.
//
// Static stability: no state expires. An active configuration stays active until a newer one is applied,
// whether or not any distributor can be reached.
//
// Invariants.
//  1. Within one process the active version of a service never decreases.
//  2. A configuration is applied as a whole or not at all; one with a wrong digest is never passed on.
//  3. A rejected configuration leaves the active one unchanged and is reported to the distributors with the
//     reason.
//  4. Of two configurations under one version, the first active one stays; the other is logged as `conflict`.
//  5. At most kMaxFetches fetches are in flight, and a service has at most one of them.
//
// Bounds: kMaxSubscribedServices services with two configurations each (active, candidate);
// kSourcesPerGatekeeper connections, and one more while a better ranked distributor that was lost is tried
// again.
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

constexpr std::size_t kSourcesPerGatekeeper = 2;  // distributors that a gatekeeper keeps connections to
constexpr std::size_t kMaxFetches = 4;            // fetches in flight of one gatekeeper
constexpr Duration kFetchTimeout = std::chrono::seconds(1);  // then the next source
// A connection without input for three heartbeat intervals is closed.
constexpr Duration kSourceTimeout = std::chrono::seconds(15);
// Bounds of the backoff before a lost distributor is tried again. The delay is drawn between half of the
// backoff and all of it; the backoff doubles with each failure.
constexpr Duration kMinReconnectBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxReconnectBackoff = std::chrono::seconds(5);
// Configurations that arrive within this time are applied together.
constexpr Duration kApplyBatchDelay = std::chrono::milliseconds(100);

struct SubscriberSettings {
  std::string name{};                       // of the gatekeeper; the ranking of distributors depends on it
  std::vector<std::string> distributors{};  // addresses, 1 to 64; the same list in every process
  std::vector<std::string> services{};      // 1 to kMaxSubscribedServices; applied in this order
  Key key{};
  Duration startup_timeout{std::chrono::seconds(2)};  // maximum time before ready()
  std::uint64_t seed{};
};

// ---- events. `source` is the index of a distributor.

struct SourceConnected {
  std::uint32_t source{};
};
struct SourceDisconnected {  // the attempt to connect failed, or the connection is lost
  std::uint32_t source{};
};
// The distributor's committed versions of the subscribed services, only those that differ from the versions
// that Subscribe reported.
struct VersionsNotified {
  std::uint32_t source{};
  struct Entry {
    std::string service{};
    VersionId id{};
  };
  std::vector<Entry> entries{};
  bool complete = false;  // every difference has been sent since the subscription
};
struct ConfigDelivered {
  std::uint32_t source{};
  ServiceConfig config{};
};
struct ConfigMissing {  // the source does not have the fetched configuration (any more)
  std::uint32_t source{};
  std::string service{};
};
struct ConfigRequested {  // a distributor with an older version asks for the active configuration
  std::uint32_t source{};
  std::string service{};
};
struct HeartbeatReceived {  // each other event of a source counts as one
  std::uint32_t source{};
};
// Result of ApplyConfigs. It may come in the same step or later; until then no other ApplyConfigs is emitted.
struct ApplyFinished {
  bool succeeded = false;
  std::string reason{};  // set if it failed
};
// The base settings that the configurations are merged into were reloaded (SIGHUP): rejected configurations
// are tried once more.
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
// First message on a new connection. It reports the active versions, so that only newer ones are notified.
struct Subscribe {
  std::uint32_t source{};
  std::vector<VersionsNotified::Entry>
      held{};            // every service, in the settings' order; version 0 if none is active
  bool primary = false;  // this distributor counts the gatekeeper in its status
};
struct SendPrimary {  // `primary` has changed since the Subscribe
  std::uint32_t source{};
  bool primary = false;
};
struct FetchConfig {
  std::uint32_t source{};
  std::string service{};
  Version version{};
};
// To every connected source at each change; and right after a Subscribe for each rejected configuration.
struct ReportStatus {
  std::uint32_t source{};
  std::string service{};
  VersionId id{};
  bool active = false;  // false: rejected, for `reason`
  std::string reason{};
};
struct ReturnConfig {  // answers ConfigRequested
  std::uint32_t source{};
  ServiceConfig config{};
};
// The complete set of configurations to activate, in the order of services. The receiver applies all of them
// or none and answers with ApplyFinished.
struct ApplyConfigs {
  std::vector<ServiceConfig> configs{};
};
// For the log and the counters.
enum class SubscriberLogKind : std::uint8_t {
  activated,        // a configuration became active
  rejected,         // a configuration was rejected, with the reason
  stale,            // an older version was offered and ignored
  conflict,         // other content under the active, fetched or notified version; ignored
  unsound,          // a fetched configuration failed its check (is_valid_config)
  unrequested,      // a configuration that was not fetched, or of a service that is not subscribed
  fetch_timed_out,  // a source did not answer a FetchConfig within kFetchTimeout
  source_connected,
  source_disconnected,
  current,       // everything that the first complete source notified is active or rejected
  wait_expired,  // `wait` is over: the gatekeeper serves with its start configuration
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

  // Whether the subscriber was current once since the start, or `wait` has passed.
  bool ready() const { return ready_; }
  // Whether at least one connected source has notified all versions, and nothing is left to fetch or apply.
  bool is_current() const;

  struct ServiceState {
    VersionId active{};                   // none: the start configuration applies
    std::optional<VersionId> rejected{};  // newer than `active` and rejected by this gatekeeper
    std::string reason{};
  };
  // In the settings' order of services.
  std::vector<std::pair<std::string, ServiceState>> service_states() const;
  std::size_t connected_sources() const;

 private:
  struct Source {
    enum class State : std::uint8_t { closed, opening, connected };
    State state = State::closed;
    bool complete = false;  // has notified all versions since it connected
    Duration backoff = kMinReconnectBackoff;
    Time reopen_at{};    // earliest time of the next attempt
    Time state_since{};  // of the state
    Time last_received_at{};
  };
  struct Offer {
    VersionId id{};
    Time not_before{};  // earliest next fetch, after a timeout or a ConfigMissing
  };
  struct PendingFetch {
    std::uint32_t source{};
    Time deadline{};
    std::vector<std::uint32_t> asked_sources{};  // since the last configuration arrived
  };
  struct Service {
    std::string name{};
    std::optional<ServiceConfig> active{};
    std::optional<ServiceConfig> candidate{};  // fetched: to be applied, or rejected
    bool candidate_rejected = false;           // rejected (or being applied), and nothing has changed since
    std::optional<VersionId> rejected{};
    std::string reason{};
    std::map<std::uint32_t, Offer> offers{};  // by source
    std::optional<PendingFetch> fetch{};
    Version newest_version() const;  // active or candidate; only versions above it are fetched
  };

  Service* find_service(std::string_view name);
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
  void activate(Service& service, ServiceConfig config, SubscriberEffects& out);
  void reject(Service& service, const ServiceConfig& config, const std::string& reason,
              SubscriberEffects& out);
  void report_status(const Service& service, std::optional<std::uint32_t> to, SubscriberEffects& out) const;
  void update_readiness(Time now, SubscriberEffects& out);
  bool has_to_fetch() const;
  bool has_to_apply() const;

  SubscriberSettings settings_;
  std::vector<std::uint32_t> ranking_;
  std::vector<Source> sources_;
  std::vector<Service> services_;
  std::map<std::string, std::size_t, std::less<>> service_index_;  // by name, into services_
  std::mt19937_64 random_;
  std::optional<std::uint32_t> primary_;
  std::optional<Time> gathering_since_;          // begin of the current kApplyBatchDelay
  std::vector<std::size_t> applying_;            // services whose candidates are in the pending ApplyConfigs
  std::vector<ServiceConfig> configs_applying_;  // these candidates, in the same order
  bool is_applying_ = false;
  bool base_changed_ = false;                // while an ApplyConfigs was pending
  std::vector<std::size_t> to_apply_alone_;  // services to try one by one, the last one first
  std::vector<std::size_t> rejected_alone_;  // in this round of single attempts
  bool activated_alone_ = false;             // one of this round became active
  Time started_at_{};
  Time last_tick_at_{};
  bool ready_ = false;
};

}  // namespace graniterun::distribution
