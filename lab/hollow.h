// A hollow gatekeeper: what a gatekeeper does beside its calls, on real connections and datagrams of its own,
// with the program's own reducers and runtime, hundreds to a process, a thread each.
//
// What it has: the discovery client (upstream::Journal) and the reader of its lists; the subscription to
// configuration (control::Subscription), whose documents are laid over a real start configuration, read and
// checked as at a gatekeeper; the control listener and the membership where its deploy file asks for them.
//
// What it leaves out:
//  - both fronts: no callers' listener, no connections of callers, no calls, no deadlines of calls;
//  - the broker and the module: a list of servers and a set of settings are read, and go nowhere;
//  - the connections to setup servers, their health and their load;
//  - the operators' one-line listener, the export of figures, and the counters of the whole program;
//  - call gaps: the control listener holds the register, but no call asks it;
//  - SIGHUP and the file: the start configuration is a text that never changes;
//  - a process of its own: the memory of the program, its libraries and its allocator are shared by all in
//  the
//    process, and one that is restarted begins anew inside it.
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

// What the gatekeepers of a process have in force and had to refuse; used by all their threads.
class HollowRecord {
 public:
  struct Entry {
    std::size_t now = 0;     // gatekeepers that have exactly this version in force
    std::int64_t first = 0;  // nanoseconds of CLOCK_MONOTONIC
    std::int64_t last = 0;
    std::string digest{};
    std::size_t refused = 0;
    bool told = false;  // since it last changed
  };
  using Key = std::pair<std::string, distribution::Version>;

  void in_force(const std::string& service, const distribution::VersionId& before,
                const distribution::VersionId& stamp);
  void gone(const std::string& service, const distribution::VersionId& stamp);
  void refused(const std::string& service, const distribution::VersionId& stamp);
  // What has changed since, and only that.
  std::map<Key, Entry> take_changed();

  std::atomic<std::uint64_t> back{0};   // versions that went back in one life: must be none
  std::atomic<std::uint64_t> mixed{0};  // two contents under one version, or a document half in force
  std::atomic<std::uint64_t> lists{0};  // lists of servers taken

 private:
  Entry& of(const std::string& service, const distribution::VersionId& stamp);
  std::mutex mutex_;
  std::map<Key, Entry> entries_;
};

// What one of them tells of itself; written by its thread, read by another one.
struct HollowFigures {
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

class Hollow {
 public:
  // Of `deploy`, what stands under configuration, control and fleet is used.
  Hollow(PlatformConfig config, DeployConfig deploy, HollowRecord& record);
  ~Hollow();
  void step(Time now, const net::Event& event, net::Effects& effects);
  void figures(HollowFigures& f) const;

 private:
  std::optional<std::string> take(const std::vector<distribution::ServiceConfig>& documents);
  bool whole(const std::string& text, const std::vector<distribution::ServiceConfig>& documents) const;

  PlatformConfig config_;
  HollowRecord& record_;
  Counters counters_;
  upstream::DiscoveryClient journal_;
  std::optional<control::Subscription> subscription_{};
  std::optional<control::Control> control_{};
  std::optional<fleet::Fleet> fleet_{};
  std::map<std::string, distribution::VersionId> force_;
  std::map<std::string, distribution::Version> refused_;
  bool refused_some_ = false;  // in this step
};

// The gatekeepers of a process, each in a thread of its own.
class HollowHost {
 public:
  using Build = std::function<std::unique_ptr<Hollow>(std::size_t i, HollowRecord& record)>;
  HollowHost(std::size_t size, Build build);
  ~HollowHost();  // ends them all
  void start();
  // The first `count` begin anew, from nothing.
  void restart(std::size_t count);

  struct Sums {
    std::size_t up = 0;
    std::size_t ready = 0;
    std::uint64_t sources = 0;
    std::uint64_t stale = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unsound = 0;
    std::uint64_t refused = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t cpu_ns = 0;  // of all their threads
    std::uint64_t restarts = 0;
  };
  Sums sums() const;
  HollowRecord& record() { return record_; }

 private:
  struct One {
    HollowFigures now{};
    HollowFigures before{};  // of the lives that are over
    std::atomic<std::uint64_t> wanted{1};
    std::atomic<std::uint64_t> lives{0};
    pthread_t thread{};
    bool started = false;
    HollowHost* host{};
    std::size_t index{};
  };
  static void* run(void* one);
  void live(One& one);

  Build build_;
  HollowRecord record_;
  std::vector<std::unique_ptr<One>> all_;
  std::atomic<bool> ends_{false};
};

}  // namespace graniterun::lab
