// A load generator for measurements: simulated setup servers (SIP) and callers (JSON lines) in one process,
// driven by net::Runtime, against gatekeepers that run as separate programs. Its input is a Plan; its output
// is one CallRecord per call.
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

// Calls to one number or to random numbers at a constant mean rate (Poisson arrivals).
struct Flow {
  double per_second{};
  std::string number{};           // hex digits; empty: drawn at random for each call
  std::vector<double> weights{};  // relative share of each gatekeeper; empty: equal shares
  bool redials = false;           // half of the rejected calls redial, at once
  Duration begins{};
  Duration ends{std::chrono::hours(1)};
};

struct Plan {
  std::vector<std::string> gatekeepers{};  // addresses of their callers' listeners
  std::vector<std::string> servers{};      // addresses on which the setup servers listen
  std::vector<Flow> flows{};
  Duration lasts{};
  Duration work{};  // processing time of a setup at a server with one queue; 0: it answers at once
  // Duration of an established call; then its caller or its server releases it, in turn.
  Duration holds{std::chrono::milliseconds(100)};
  std::uint64_t seed = 1;
  std::function<void(Time now)> tick{};  // called each millisecond from the first call on
};

struct CallRecord {
  std::size_t flow{};
  std::size_t gatekeeper{};
  Time sent{};
  Time answered{};
  int finals = 0;
  bool stood = false;
  bool worded = false;  // the rejection carried a reason text, from a call gap that has one
  int cause = 0;
  int wait_ms = 0;
  std::string line{};  // the setup, kept for sending it again
  bool resent = false;
};

class Load {
 public:
  explicit Load(Plan plan);
  // Runs the plan until it has ended and all calls are answered, or the answer timeout has passed.
  void run();
  const std::vector<CallRecord>& calls() const { return calls_; }
  std::uint64_t invites() const { return invites_; }
  // Setups sent again because the gatekeeper closed their connection while they were on their way.
  std::uint64_t resent() const { return resent_; }

 private:
  void step(Time now, const net::Event& event, net::Effects& effects);
  void on(Time now, const net::Started& event, net::Effects& out);
  void on(Time now, const net::TimerFired& event, net::Effects& out);
  void on(Time now, const net::Received& event, net::Effects& out);
  void on(Time now, const net::Accepted& event, net::Effects& out);
  void on(Time now, const net::Closed& event, net::Effects& out);
  void place_call(Time now, std::size_t flow, net::Effects& out);
  void handle_caller_message(Time now, std::size_t gatekeeper, const jsonl::Message& message,
                             net::Effects& out);
  void handle_server_message(Time now, net::ConnId conn, const sip::Message& message, net::Effects& out);

  Plan plan_;
  std::mt19937_64 random_;
  std::vector<Time> next_call_at_;  // next arrival, by flow
  std::vector<CallRecord> calls_;
  std::unordered_map<std::string, std::size_t> by_id_;
  struct PendingRelease {
    Time release_at{};
    net::ConnId conn{};
    std::string id{};
    bool by_caller{};
  };
  std::deque<PendingRelease> pending_releases_;
  std::deque<std::pair<Time, net::Send>>
      pending_answers_;  // answers of busy servers, by the time to send them
  Time busy_until_{};    // end of the work queued at the servers, whose queues are modelled as one
  std::size_t unanswered_ = 0;
  std::uint64_t invites_ = 0;
  std::uint64_t resent_ = 0;
  Time calls_start_at_{};
  Time exit_at_{};
};

// CPU time that the process has used, in nanoseconds (from /proc/PID/schedstat).
std::uint64_t cpu_ns(int pid);
// Value at `part` (0 to 1) of the sorted values; 0 if there are none.
double percentile(std::vector<double> values, double part);

}  // namespace graniterun::lab
