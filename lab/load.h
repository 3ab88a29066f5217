// A load of the project's own: stand-in setup servers and callers in one process, driven by the program's own
// runtime, against gatekeepers that run as programs of their own. For measurements; it decides nothing.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "codec/jsonl.h"
#include "codec/sip.h"
#include "net/events.h"

namespace graniterun::lab {

// Calls to one number, or to many, at a steady rate (arrivals are Poisson).
struct Flow {
  double per_second{};
  std::string number{};           // hex digits; empty: drawn for each call
  std::vector<double> weights{};  // of the gatekeepers; empty: evenly
  bool redials = false;           // at once when refused, once
  Duration begins{};
  Duration ends{std::chrono::hours(1)};
};

struct Plan {
  std::vector<std::string> gatekeepers{};  // addresses for callers
  std::vector<std::string> servers{};      // addresses where setup servers listen
  std::vector<Flow> flows{};
  Duration lasts{};
  Duration work{};  // of a server's processor for a set-up; it has one line. 0: answers come at once
  Duration holds{
      std::chrono::milliseconds(100)};  // a call that stands; then a server releases it, or its caller
  std::uint64_t seed = 1;
  std::function<void(Time now)> tick{};  // every 10 ms
};

struct CallRecord {
  std::size_t flow{};
  std::size_t gatekeeper{};
  Time sent{};
  Time answered{};
  int finals = 0;
  bool stood = false;
  bool worded = false;  // refused with words: by a gap that has some
  int cause = 0;
  int wait_ms = 0;
  std::string line{};  // of a set-up that may have to be sent once more
  bool resent = false;
};

class Load {
 public:
  explicit Load(Plan plan);
  // Plays the plan to its end, all answers in.
  void run();
  const std::vector<CallRecord>& calls() const { return calls_; }
  std::uint64_t invites() const { return invites_; }
  // Set-ups that crossed the close of their connection and were sent once more.
  std::uint64_t resent() const { return resent_; }

 private:
  void step(Time now, const net::Event& event, net::Effects& effects);
  void on(Time now, const net::Started& event, net::Effects& out);
  void on(Time now, const net::TimerFired& event, net::Effects& out);
  void on(Time now, const net::Received& event, net::Effects& out);
  void on(Time now, const net::Accepted& event, net::Effects& out);
  void on(Time now, const net::Closed& event, net::Effects& out);
  void place(Time now, std::size_t flow, net::Effects& out);
  void from_gatekeeper(Time now, std::size_t gatekeeper, const jsonl::Message& message, net::Effects& out);
  void from_caller_side(Time now, net::ConnId conn, const sip::Message& message, net::Effects& out);

  Plan plan_;
  std::mt19937_64 random_;
  std::vector<Time> next_;  // of each flow
  std::vector<CallRecord> calls_;
  std::unordered_map<std::string, std::size_t> by_id_;
  struct Hold {
    Time until{};
    net::ConnId conn{};
    std::string id{};
    bool by_caller{};
  };
  std::deque<Hold> holds_;
  std::deque<std::pair<Time, net::Send>> at_work_;  // answers to come, in order of time
  Time busy_until_{};  // of the servers' processors, taken as one with a line for each
  std::size_t open_ = 0;
  std::uint64_t invites_ = 0;
  std::uint64_t resent_ = 0;
  Time started_{};
  Time ended_{};
};

// Nanoseconds of processor time that a process has used.
std::uint64_t cpu_ns(int pid);
double percentile(std::vector<double> values, double part);

}  // namespace graniterun::lab
