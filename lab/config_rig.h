// Test fixture: the distribution of configuration with real programs on loopback. It starts distributors,
// processes that run lightweight gatekeepers, and real gatekeepers that serve calls; each can be killed,
// stopped, continued and restarted. Some lightweight gatekeepers connect to the distributors through a relay
// that holds back or cuts their connections. The fixture collects which gatekeeper has which version active,
// with times of CLOCK_MONOTONIC. All programs end with the fixture, and with its process.
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

// A child process with pipes on its standard input and standard output; `log` gets its standard error. The
// kernel kills it when the thread that started it ends.
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

// A stand-in for the journal service: sends one endpoint list to each client, and then a comment line per
// second.
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
  std::string first_response_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<std::size_t> connections_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

struct ConfigPlan {
  std::string gatekeeper{};  // paths of the programs
  std::string distributor{};
  std::string hollow{};
  std::size_t distributors = 16;
  std::size_t light = 100;    // lightweight gatekeepers
  std::size_t processes = 2;  // number of processes that run them
  std::size_t real = 2;
  std::size_t behind_relay = 0;  // number of processes, the last ones, that connect through the relay
  // Gatekeepers for measuring the cost of the control connections, by comparison with others that differ in
  // nothing else: `bare_light` lightweight ones without `configuration` and `control`, in a process of their
  // own; and twice `bare_real` real ones, half of them with both and half without, all without setup servers.
  std::size_t bare_light = 0;
  std::size_t bare_real = 0;
  int interval_ms = 100;  // between the reports of a process of lightweight gatekeepers
  int lasts_s = 240;      // lifetime of a process of lightweight gatekeepers
  std::uint64_t seed = 1;
};

// Services and their subscribers, with the proportions of the fleet expected in two years: 13,000 gatekeepers
// of 2,000 services. A fifth of the gatekeepers, with a twentieth of all subscriptions, belong to large
// services, which are one service in a hundred.
class Spread {
 public:
  explicit Spread(std::size_t gatekeepers);
  std::size_t services() const { return services_; }  // without the common ones
  // Services of gatekeeper i: the common ones, then its own.
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

  void start_distributor(std::size_t i);  // keeps its files
  void kill_distributor(std::size_t i);
  void signal_distributor(std::size_t i, int number) { distributors_.at(i).child->signal(number); }
  void forget_files(std::size_t i);
  void start_host(std::size_t i);
  void kill_host(std::size_t i);
  // Restarts the first `count` gatekeepers of the process without any state.
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
  // The relay between gatekeepers and distributors; its server i is distributor i.
  StreamRelay& relay() { return *relay_; }
  std::size_t light_of(std::size_t host) const;
  std::size_t first_gatekeeper_of(std::size_t host) const;
  const JournalStandIn& journal() const { return journal_; }

  // Sends an operator's request to distributor i and returns the answer; null if none came within `timeout`.
  json ask(std::size_t i, const json& line, std::chrono::milliseconds timeout) const;
  // Publishes at distributor i. Returns the version if it was committed; otherwise nothing, with the reason
  // in `trouble`.
  std::optional<std::uint64_t> publish(std::size_t i, const std::string& service, const std::string& content,
                                       std::string* trouble = nullptr);

  // Activation of a version: number of gatekeepers that have it active now, and times of the first and the
  // latest activation.
  struct Activation {
    std::size_t now = 0;
    Nanos first = 0;
    Nanos last = 0;
  };
  Activation force(const std::string& service, std::uint64_t version) const;
  std::size_t refused(const std::string& service, std::uint64_t version) const;
  // Sums over all lightweight gatekeepers, including those of killed processes.
  struct Totals {
    std::size_t up = 0;
    std::size_t ready = 0;
    std::uint64_t restarts = 0;
    std::uint64_t lists = 0;  // endpoint lists that the discovery client received
    std::uint64_t back = 0;
    std::uint64_t mixed = 0;
    std::uint64_t stale = 0;
    std::uint64_t conflict = 0;
    std::uint64_t unsound = 0;
    std::uint64_t refused = 0;
    std::uint64_t bytes = 0;   // in both directions
    std::uint64_t cpu_ns = 0;  // CPU time of their threads
    std::uint64_t memory = 0;  // resident memory of their processes, in bytes
    Nanos at = 0;
  };
  Totals totals() const;
  Totals process_totals(std::size_t host) const;
  Totals bare_totals() const;
  // Whether real gatekeepers are polled for their active versions, at most 50 times a second.
  void ask_real_ones(bool on) { polling_ = on; }
  bool real_ready(std::size_t i) const;
  // Polls `holds` each 10 ms; false if it has not become true within `timeout`.
  static bool until(std::chrono::milliseconds timeout, const std::function<bool()>& holds);

 private:
  struct Distributor {
    int port{};
    std::string dir;
    std::unique_ptr<Child> child;
  };
  struct GatekeeperProcess {
    std::unique_ptr<Child> child;
    std::string partial_line;
    Totals totals;
    Totals previous;  // sums of the processes that were killed
    std::map<std::pair<std::string, std::uint64_t>, Activation> activations;
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> rejected;
  };
  struct RealGatekeeper {
    int listen{};
    int control{};
    std::unique_ptr<test::Program> program;
    std::map<std::string, std::uint64_t> active;
    std::map<std::pair<std::string, std::uint64_t>, Nanos> activated_at;
    std::set<std::pair<std::string, std::uint64_t>> rejected;
    std::unique_ptr<test::Socket> control_connection;  // connection to its control listener
    Nanos polled_at = 0;
    bool answer_pending = false;  // a request is unanswered
    bool ready = false;
    std::string partial_line;
  };
  void read_reports();
  void handle_report(GatekeeperProcess& process, const json& line);
  void handle_report(RealGatekeeper& gatekeeper, const json& line);
  void poll_real(RealGatekeeper& gatekeeper);
  void check_digest(const std::string& service, std::uint64_t version, const std::string& digest);
  json configuration_settings(std::size_t gatekeeper, bool through_relay) const;
  std::unique_ptr<Child> launch_host(const std::string& name, const json& gatekeepers,
                                     const json& deploy) const;
  std::string gatekeeper_config(std::size_t i, const std::string& name, const std::string& listen) const;

  ConfigPlan plan_;
  Spread spread_;
  std::string dir_;
  std::string key_file_;
  std::vector<std::string> servers_;
  JournalStandIn journal_;
  std::vector<Distributor> distributors_;
  std::vector<GatekeeperProcess> hosts_;
  std::vector<RealGatekeeper> real_;
  GatekeeperProcess bare_;
  std::vector<std::unique_ptr<test::Program>> bare_real_;
  std::unique_ptr<StreamRelay> relay_;
  mutable std::mutex mutex_;  // guards the reports of the programs
  std::map<std::pair<std::string, std::uint64_t>, std::string> digests_;
  std::uint64_t digest_mismatches_ = 0;  // two digests of one version
  std::uint64_t version_decreases_ = 0;  // versions that decreased at a real gatekeeper
  std::atomic<bool> polling_{true};
  std::atomic<bool> stopping_{false};
  std::thread reader_;
};

}  // namespace graniterun::lab
