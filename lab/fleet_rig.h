// Test fixture: a fleet of gatekeeper processes whose datagrams pass through a relay. Each process advertises
// a port of the relay, which applies the faults set for each directed pair of members: loss, delay,
// duplication, cut. Processes can be stopped, continued, killed and restarted. The relay counts the faults it
// injected, so that a test can check that a fault has occurred at all.
#pragma once

#include <atomic>
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

#include "stand_in.h"

namespace graniterun::lab {

using Steady = std::chrono::steady_clock;

// Faults of the relay for datagrams from one member to another.
struct RealLink {
  bool cut = false;
  double loss = 0.0;                   // share of datagrams
  double doubled = 0.0;                // share of datagrams that are duplicated
  std::chrono::microseconds least{0};  // delay, drawn uniformly from `least` to `most`
  std::chrono::microseconds most{0};   // above `least`: datagrams are reordered
};

// Relays the fleet's UDP datagrams on loopback, in a thread of its own.
class Relay {
 public:
  struct Counts {
    std::atomic<std::uint64_t> passed{0};
    std::atomic<std::uint64_t> cut{0};
    std::atomic<std::uint64_t> lost{0};
    std::atomic<std::uint64_t> doubled{0};
    std::atomic<std::uint64_t> delayed{0};
    std::atomic<std::uint64_t> refused{0};  // ports closed because the process behind them refused
    std::atomic<std::uint64_t> unknown{0};  // from an unknown sender: forwarded unchanged
  };

  // `real`: the ports on which the processes listen.
  Relay(std::vector<int> real, std::uint64_t seed);
  ~Relay();
  int port(std::size_t i) const { return members_[i].relay_port; }
  void link(std::size_t from, std::size_t to, const RealLink& l);
  void all_links(const RealLink& l);
  // Cuts both directions between the members of `side` and all others.
  void cut(const std::set<std::size_t>& side);
  void heal() { all_links({}); }
  const Counts& counts() const { return counts_; }

 private:
  struct RelayedMember {
    int process_port{};
    int relay_port{};
    int fd = -1;
    Steady::time_point closed_at{};  // while fd is -1
  };
  struct DelayedDatagram {
    std::size_t from{};
    std::size_t to{};
    std::string bytes;
  };
  void run();
  void open(RelayedMember& member) const;
  void receive(std::size_t to);
  void forward(std::size_t from, std::size_t to, const std::string& bytes);
  void close_refusing_ports();

  std::vector<RelayedMember> members_;
  int send_fd_ = -1;  // sends the forwarded datagrams; its error queue receives the ICMP refusals
  std::map<std::pair<std::size_t, std::size_t>, RealLink> links_;
  RealLink default_link_{};
  std::multimap<Steady::time_point, DelayedDatagram> delayed_;
  std::mt19937_64 random_;
  std::mutex mutex_;
  std::atomic<bool> stopping_{false};
  Counts counts_;
  std::thread thread_;
};

// A fleet event that a process reported on its control listener, with the time at which it was received.
struct Event {
  Steady::time_point at;
  std::size_t by{};
  std::string what;
  std::string member;
  std::uint64_t life{};
};

// Cluster fixture: the gatekeeper processes, the relay and a thread that records their events.
class Rig {
 public:
  using json = nlohmann::json;

  // `edit` changes the deploy file of member i; the key `name_for_tests` there sets its name.
  Rig(std::string binary, std::size_t size, std::uint64_t seed,
      std::function<void(std::size_t, json&)> edit = {});
  ~Rig();

  void start(std::size_t i);
  void start_all();
  void kill(std::size_t i);
  void signal(std::size_t i, int number) { programs_.at(i)->signal(number); }
  void stop(std::size_t i);
  void go_on(std::size_t i);
  bool up(std::size_t i) const { return programs_.at(i) != nullptr && !stopped_.contains(i); }
  test::Program& program(std::size_t i) { return *programs_.at(i); }
  // `upgrade_begins` restarts i with a callers' socket that the fixture holds and the process inherits.
  // `upgrade` starts a second process with the same socket; the old one hands over to it and is told to exit.
  void upgrade_begins(std::size_t i);
  void upgrade(std::size_t i);
  int control(std::size_t i) const { return control_ports_.at(i); }
  const std::string& key_file() const { return key_file_; }
  Relay& relay() { return relay_; }
  std::size_t size() const { return programs_.size(); }

  // Sends a request to the control listener of process i and returns the answer.
  json ask(std::size_t i, const std::string& what) const;
  // State of the member in the member table of i: alive, suspect, dead, left, or empty if unknown.
  std::string state(std::size_t i, const std::string& member) const;
  // Whether all running processes have exactly `members` alive, suspect nobody and report the same digest.
  bool agree(const std::set<std::string>& members) const;
  bool agree() const;
  // Polls `holds` each 10 ms; false if it has not become true within `timeout`.
  static bool until(std::chrono::milliseconds timeout, const std::function<bool()>& holds);

  std::vector<Event> events() const;
  void forget_events();
  // Value of a counter of process i, printed to its log on SIGUSR1; 0 if it is not printed.
  std::uint64_t counter(std::size_t i, const std::string& name);

 private:
  void read_events();
  std::unique_ptr<test::Program> launch(std::size_t i, int inherited = -1);

  std::string binary_;
  std::uint64_t seed_;
  std::function<void(std::size_t, json&)> edit_;
  std::string key_file_;
  std::vector<int> listen_ports_;
  std::vector<int> fleet_ports_;
  std::vector<int> control_ports_;
  std::vector<std::unique_ptr<test::Program>> programs_;
  std::set<std::size_t> stopped_;
  test::Socket callers_socket_;  // the callers' socket of a process that is upgraded
  std::vector<std::unique_ptr<test::Program>> replaced_;
  Relay relay_;
  // The control connections on which the processes report fleet events.
  struct EventStream {
    std::unique_ptr<test::Socket> socket;
    std::string partial_line;
  };
  mutable std::mutex mutex_;
  std::map<std::size_t, EventStream> event_streams_;
  std::vector<Event> events_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace graniterun::lab
