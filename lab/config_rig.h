// The distribution of configuration with real programs on loopback: distributors, processes that host hollow
// gatekeepers, and real gatekeepers that serve calls. Any of them is killed, stopped, continued and started
// again; a part of the hollow ones speaks to the distributors through a relay that holds and cuts. What all
// tell of the versions in force is one record, in times of this machine's steady clock. Nothing is left
// behind: programs end with the rig, and with the process that has it.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "lab/stream_relay.h"
#include "stand_in.h"

namespace graniterun::lab {

using Nanos = std::int64_t;  // of CLOCK_MONOTONIC
Nanos steady_now();

// A program of ours: lines go in by its standard input and come out by its standard output. It ends with the
// thread that started it.
class Child {
 public:
  Child(const std::vector<std::string>& command, const std::string& log);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  void signal(int number) const { ::kill(pid_, number); }
  int pid() const { return pid_; }
  int out() const { return out_; }
  void say(const std::string& line) const;

 private:
  pid_t pid_ = -1;
  int in_ = -1;
  int out_ = -1;
};

// A journal service that tells the same list to everybody and then a comment a second.
class JournalStandIn {
 public:
  explicit JournalStandIn(const nlohmann::json& hosts);
  ~JournalStandIn();
  JournalStandIn(const JournalStandIn&) = delete;
  JournalStandIn& operator=(const JournalStandIn&) = delete;
  int port() const { return port_; }
  std::size_t connections() const { return connections_; }

 private:
  void run();
  std::string first_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<std::size_t> connections_{0};
  std::atomic<bool> ends_{false};
  std::thread thread_;
};

struct ConfigPlan {
  std::string gatekeeper{};  // programs
  std::string distributor{};
  std::string hollow{};
  std::size_t distributors = 16;
  std::size_t light = 100;    // hollow gatekeepers
  std::size_t processes = 2;  // that host them
  std::size_t real = 2;
  std::size_t behind_relay = 0;  // processes; the last ones
  // What control costs is told by two and two kinds that differ in nothing else: hollow gatekeepers without
  // `configuration` and `control` in a process of their own; and so many real ones with them and without, all
  // of these without setup servers.
  std::size_t bare_light = 0;
  std::size_t bare_real = 0;
  int interval_ms = 100;  // between the lines of a hollow process
  int lasts_s = 240;      // a hollow process ends by itself then
  std::uint64_t seed = 1;
};

// Which services there are, and who subscribes to them, in the shape of the fleet of two years: 13,000
// gatekeepers of 2,000 services. A twentieth of the gatekeepers' share of them belongs to large ones.
class Spread {
 public:
  explicit Spread(std::size_t gatekeepers);
  std::size_t services() const { return services_; }  // but for the common ones
  // Of gatekeeper i: the common ones first, then its own.
  std::vector<std::string> of(std::size_t i) const;
  std::string own(std::size_t i) const;
  std::size_t subscribers(const std::string& service) const;
  static constexpr const char* kForAll = "all";
  std::vector<std::string> all() const;

 private:
  std::size_t gatekeepers_;
  std::size_t services_;
  std::map<std::string, std::size_t> subscribers_;
};

class ConfigRig {
 public:
  using json = nlohmann::json;

  explicit ConfigRig(ConfigPlan plan);
  ~ConfigRig();

  const Spread& spread() const { return spread_; }
  std::size_t size() const { return plan_.light + plan_.real; }
  const ConfigPlan& plan() const { return plan_; }

  void start_distributor(std::size_t i);  // with the files it has
  void kill_distributor(std::size_t i);
  void signal_distributor(std::size_t i, int number) { distributors_.at(i).child->signal(number); }
  void forget_files(std::size_t i);
  void start_host(std::size_t i);
  void kill_host(std::size_t i);
  // The first `count` gatekeepers of the process begin anew, from nothing.
  void restart_hollow(std::size_t host, std::size_t count);
  void start_real(std::size_t i);
  void kill_real(std::size_t i);
  test::Program& bare_real(std::size_t i) { return *bare_real_.at(i); }
  void start_all();
  int real_pid(std::size_t i) const { return real_.at(i).program->pid(); }
  std::string real_listen(std::size_t i) const;
  test::Program& real(std::size_t i) { return *real_.at(i).program; }
  std::string real_config(std::size_t i) const;
  std::vector<std::string> servers() const { return servers_; }
  int distributor_port(std::size_t i) const { return distributors_.at(i).port; }
  int distributor_pid(std::size_t i) const { return distributors_.at(i).child->pid(); }
  std::string distributor_log(std::size_t i) const;
  bool distributor_up(std::size_t i) const { return distributors_.at(i).child != nullptr; }
  // Gatekeepers that speak to the distributors through the relay; each distributor has its own side of it.
  StreamRelay& relay() { return *relay_; }
  std::size_t light_of(std::size_t host) const;
  std::size_t first_of(std::size_t host) const;
  const JournalStandIn& journal() const { return journal_; }

  // An operator's line to distributor i, and its answer; null: none came within `most`.
  json ask(std::size_t i, const json& line, std::chrono::milliseconds most) const;
  // Published there, and committed: its version; else none, and why in `trouble`.
  std::optional<std::uint64_t> publish(std::size_t i, const std::string& service, const std::string& content,
                                       std::string* trouble = nullptr);

  // What has become of a version: who has it in force now, and when the first and the last took it.
  struct Force {
    std::size_t now = 0;
    Nanos first = 0;
    Nanos last = 0;
  };
  Force force(const std::string& service, std::uint64_t version) const;
  std::size_t refused(const std::string& service, std::uint64_t version) const;
  // Of all hollow gatekeepers that have lived so far.
  struct Totals {
    std::size_t up = 0;
    std::size_t ready = 0;
    std::uint64_t restarts = 0;
    std::uint64_t lists = 0;  // lists of servers that the discovery client took
    std::uint64_t back = 0;
    std::uint64_t mixed = 0;
    std::uint64_t stale = 0;
    std::uint64_t conflict = 0;
    std::uint64_t unsound = 0;
    std::uint64_t refused = 0;
    std::uint64_t bytes = 0;   // both ways
    std::uint64_t cpu_ns = 0;  // of their threads
    std::uint64_t memory = 0;  // of their processes, resident
    Nanos at = 0;
  };
  Totals totals() const;
  Totals totals_of(std::size_t host) const;
  Totals bare_totals() const;
  // Whether real gatekeepers are asked what they have in force, 50 times a second.
  void ask_real_ones(bool on) { asking_ = on; }
  bool real_ready(std::size_t i) const;
  // Looked for until it holds; false when it has not within `most`.
  static bool until(std::chrono::milliseconds most, const std::function<bool()>& holds);

 private:
  struct Distributor {
    int port{};
    std::string dir;
    std::unique_ptr<Child> child;
  };
  struct Host {
    std::unique_ptr<Child> child;
    std::string half;
    Totals totals;
    Totals before;  // of those that were killed
    std::map<std::pair<std::string, std::uint64_t>, Force> force;
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> refused;
  };
  struct Real {
    int listen{};
    int control{};
    std::unique_ptr<test::Program> program;
    std::map<std::string, std::uint64_t> force;
    std::map<std::pair<std::string, std::uint64_t>, Nanos> taken;
    std::set<std::pair<std::string, std::uint64_t>> refused;
    std::unique_ptr<test::Socket> asked;  // its control listener
    Nanos asked_at = 0;
    bool waits = false;  // for its answer
    bool ready = false;
    std::string half;
  };
  void read_all();
  void take(Host& host, const json& line);
  void take(Real& real, const json& line);
  void ask_real(Real& real);
  void agree(const std::string& service, std::uint64_t version, const std::string& digest);
  json configuration(std::size_t gatekeeper, bool by_relay) const;
  std::unique_ptr<Child> launch_host(const std::string& name, const json& gatekeepers,
                                     const json& deploy) const;
  std::string config_named(std::size_t i, const std::string& name, const std::string& listen) const;

  ConfigPlan plan_;
  Spread spread_;
  std::string dir_;
  std::string key_file_;
  std::vector<std::string> servers_;
  JournalStandIn journal_;
  std::vector<Distributor> distributors_;
  std::vector<Host> hosts_;
  std::vector<Real> real_;
  Host bare_;
  std::vector<std::unique_ptr<test::Program>> bare_real_;
  std::unique_ptr<StreamRelay> relay_;
  mutable std::mutex mutex_;  // over what the programs told
  std::map<std::pair<std::string, std::uint64_t>, std::string> digests_;
  std::uint64_t mixed_ = 0;  // two digests under one version
  std::uint64_t back_ = 0;   // at a real one
  std::atomic<bool> asking_{true};
  std::atomic<bool> ends_{false};
  std::thread reader_;
};

}  // namespace graniterun::lab
