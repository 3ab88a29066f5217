// Many gatekeepers as programs of their own, and a relay between them. Each is told to advertise a port of
// the relay's; the relay knows whose datagram goes to whom and obeys a script for each directed pair: lose,
// delay, double, cut. Processes are stopped, continued, killed and started again. What the relay did is
// counted, so that a fault that never took hold shows.
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

struct RealLink {
  bool cut = false;
  double loss = 0.0;
  double doubled = 0.0;
  std::chrono::microseconds least{0};
  std::chrono::microseconds most{0};  // above `least`: datagrams overtake each other
};

class Relay {
 public:
  struct Counts {
    std::atomic<std::uint64_t> passed{0};
    std::atomic<std::uint64_t> cut{0};
    std::atomic<std::uint64_t> lost{0};
    std::atomic<std::uint64_t> doubled{0};
    std::atomic<std::uint64_t> delayed{0};
    std::atomic<std::uint64_t> refused{0};  // ports closed, since the process behind refused
    std::atomic<std::uint64_t> unknown{0};  // from nobody of the fleet: passed on as it is
  };

  // `real`: the ports that the processes listen on.
  Relay(std::vector<int> real, std::uint64_t seed);
  ~Relay();
  int port(std::size_t i) const { return sides_[i].port; }
  void link(std::size_t from, std::size_t to, const RealLink& l);
  void all_links(const RealLink& l);
  void cut(const std::set<std::size_t>& side);
  void heal() { all_links({}); }
  const Counts& counts() const { return counts_; }

 private:
  struct Side {
    int real{};
    int port{};
    int fd = -1;
    Steady::time_point closed{};
  };
  struct Held {
    std::size_t from{};
    std::size_t to{};
    std::string bytes;
  };
  void run();
  void open(Side& side) const;
  void take(std::size_t to);
  void pass(std::size_t from, std::size_t to, const std::string& bytes);
  void look_at_refusals();

  std::vector<Side> sides_;
  int out_ = -1;  // what is passed on leaves by it, and what the network says of that comes back to it
  std::map<std::pair<std::size_t, std::size_t>, RealLink> links_;
  RealLink usual_{};
  std::multimap<Steady::time_point, Held> held_;
  std::mt19937_64 random_;
  std::mutex mutex_;
  std::atomic<bool> ends_{false};
  Counts counts_;
  std::thread thread_;
};

// What a process told of its fleet, and when it was heard.
struct Event {
  Steady::time_point at;
  std::size_t by{};
  std::string what;
  std::string member;
  std::uint64_t life{};
};

class Rig {
 public:
  using json = nlohmann::json;

  // `edit`: what member i's deploy file says else; `name_for_tests` there is its name.
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
  // Starts i anew as one whose callers' socket the platform holds; then another process beside it, which the
  // old one makes room for.
  void upgrade_begins(std::size_t i);
  void upgrade(std::size_t i);
  int control(std::size_t i) const { return controls_.at(i); }
  const std::string& key_file() const { return key_file_; }
  Relay& relay() { return relay_; }
  std::size_t size() const { return programs_.size(); }

  // One call to a process' control listener.
  json ask(std::size_t i, const std::string& what) const;
  // What i holds of the member: alive, suspect, dead, left, or nothing.
  std::string state(std::size_t i, const std::string& member) const;
  // All who are up hold exactly `members`, doubt nobody, and tell the same digest.
  bool agree(const std::set<std::string>& members) const;
  bool agree() const;
  // Looked for until it holds; false when it has not within `most`.
  static bool until(std::chrono::milliseconds most, const std::function<bool()>& holds);

  std::vector<Event> events() const;
  void forget_events();
  std::uint64_t counter(std::size_t i, const std::string& name);

 private:
  void watch();
  std::unique_ptr<test::Program> launch(std::size_t i, int inherited = -1);

  std::string binary_;
  std::uint64_t seed_;
  std::function<void(std::size_t, json&)> edit_;
  std::string key_file_;
  std::vector<int> listens_;
  std::vector<int> ports_;
  std::vector<int> controls_;
  std::vector<std::unique_ptr<test::Program>> programs_;
  std::set<std::size_t> stopped_;
  test::Socket held_;  // the callers' socket of one that is upgraded
  std::vector<std::unique_ptr<test::Program>> replaced_;
  Relay relay_;
  // Reads what all tell.
  struct Watched {
    std::unique_ptr<test::Socket> socket;
    std::string half;
  };
  mutable std::mutex mutex_;
  std::map<std::size_t, Watched> watched_;
  std::vector<Event> events_;
  std::atomic<bool> ends_{false};
  std::thread thread_;
};

}  // namespace graniterun::lab
