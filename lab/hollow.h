// Lightweight gatekeepers for measurements at scale: what a gatekeeper does besides handling calls, on its
// own connections and datagrams, with the program's reducers and runtime. One process runs hundreds of them,
// each in a thread.
//
// A lightweight gatekeeper has: the discovery client (upstream::DiscoveryClient), which reads endpoint lists;
// the subscription to service configurations (control::Subscription), which are applied as overlays to a real
// start configuration, parsed and checked as in a gatekeeper; the control listener and the membership, if its
// deploy file has them.
//
// It leaves out:
//  - both front ends: no callers' listener, no caller connections, no calls and no call deadlines;
//  - the broker and the decision module: endpoint lists and settings are parsed and then discarded;
//  - connections to setup servers, their health checks and load reports;
//  - the operators' one-line listener, the export of metrics and the counters of the whole program;
//  - call gaps: the control listener keeps the gap register, but no call is checked against it;
//  - SIGHUP and the settings file: the start configuration never changes;
//  - a process of its own: memory, libraries and the allocator are shared with the other lightweight
//  gatekeepers,
//    and a restart takes place inside the process.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "control/control.h"
#include "control/subscription.h"
#include "fleet/fleet.h"
#include "net/runtime.h"
#include "upstream/discovery.h"

namespace graniterun::lab {

// The versions that the gatekeepers of a process have active and have rejected. Thread-safe.
class VersionRecord {
 public:
  struct Entry {
    std::size_t active_now = 0;           // gatekeepers that have this version active now
    std::int64_t first_activated_ns = 0;  // first activation, CLOCK_MONOTONIC in nanoseconds
    std::int64_t last_activated_ns = 0;   // latest activation
    std::string digest{};                 // first 16 hex digits
    std::size_t rejected = 0;
    bool reported = false;  // since its last change
  };
  using Key = std::pair<std::string, distribution::Version>;

  void record_activated(const std::string& service, const distribution::VersionId& before,
                        const distribution::VersionId& id);
  void record_stopped(const std::string& service, const distribution::VersionId& id);
  void record_rejected(const std::string& service, const distribution::VersionId& id);
  // Entries that have changed since the previous call.
  std::map<Key, Entry> take_changed();

  // Versions that decreased within one incarnation: must be 0.
  std::atomic<std::uint64_t> version_decreases{0};
  // Two contents of one version, or a partly applied configuration: must be 0.
  std::atomic<std::uint64_t> content_mismatches{0};
  std::atomic<std::uint64_t> endpoint_lists{0};  // endpoint lists received

 private:
  Entry& change_entry(const std::string& service, const distribution::VersionId& id);
  std::mutex mutex_;
  std::map<Key, Entry> entries_;
};

// Metrics of one gatekeeper; written by its thread and read by another one.
struct GatekeeperMetrics {
  std::atomic<bool> up{false};
  std::atomic<bool> ready{false};
  std::atomic<std::uint64_t> sources{0};
  std::atomic<std::uint64_t> stale{0};
  std::atomic<std::uint64_t> conflicts{0};
  std::atomic<std::uint64_t> unsound{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> bytes_in{0};
  std::atomic<std::uint64_t> bytes_out{0};
};

class LightweightGatekeeper {
 public:
  // Of `deploy`, only configuration, control and fleet are used.
  LightweightGatekeeper(PlatformConfig config, DeployConfig deploy, VersionRecord& record);
  ~LightweightGatekeeper();
  void step(Time now, const net::Event& event, net::Effects& effects);
  void update_metrics(GatekeeperMetrics& metrics) const;

 private:
  std::optional<std::string> apply(const std::vector<distribution::ServiceConfig>& configs);
  bool is_complete(const std::string& text, const std::vector<distribution::ServiceConfig>& configs) const;

  PlatformConfig config_;
  VersionRecord& record_;
  Counters counters_;
  upstream::DiscoveryClient discovery_;
  std::optional<control::Subscription> subscription_{};
  std::optional<control::Control> control_{};
  std::optional<fleet::Fleet> fleet_{};
  std::map<std::string, distribution::VersionId> active_;
  std::map<std::string, distribution::Version> rejected_;
  bool newly_rejected_ = false;  // in this step
};

// Runs the gatekeepers of a process, each in a thread.
class LightweightGatekeeperHost {
 public:
  using Factory = std::function<std::unique_ptr<LightweightGatekeeper>(std::size_t i, VersionRecord& record)>;
  LightweightGatekeeperHost(std::size_t size, Factory create);
  ~LightweightGatekeeperHost();  // stops and joins all threads
  void start();
  // Restarts the first `count` gatekeepers without any state.
  void restart(std::size_t count);

  struct Totals {
    std::size_t up = 0;
    std::size_t ready = 0;
    std::uint64_t sources = 0;
    std::uint64_t stale = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unsound = 0;
    std::uint64_t refused = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t cpu_ns = 0;  // CPU time of all threads
    std::uint64_t restarts = 0;
  };
  Totals totals() const;
  VersionRecord& record() { return record_; }

 private:
  struct Instance {
    GatekeeperMetrics current{};
    GatekeeperMetrics previous{};  // sums of the incarnations that have ended
    std::atomic<std::uint64_t> requested_starts{1};
    std::atomic<std::uint64_t> starts{0};
    pthread_t thread{};
    bool started = false;
    LightweightGatekeeperHost* host{};
    std::size_t index{};
  };
  static void* run(void* instance);
  void run_incarnation(Instance& instance);

  Factory create_;
  VersionRecord record_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::atomic<bool> stopping_{false};
};

}  // namespace graniterun::lab
