// The gatekeeper's reducer driven by a test: simulated clock and timers, recorded effects, no sockets, no
// waiting.
#pragma once

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "check.h"
#include "codec/jsonl.h"
#include "codec/sip.h"
#include "gatekeeper/gatekeeper.h"

namespace graniterun::test {

using namespace std::chrono_literals;
using net::Concern;
using net::ConnId;

inline PlatformConfig config_for_tests(int servers = 2) {
  PlatformConfig c;
  c.name = "t0";
  c.listen = "127.0.0.1:1";
  c.seed = 5;
  c.class_names = {"voice", "safety"};
  Settings& s = c.settings;
  s.layout = Layout::groups;
  s.senders = 3;
  s.max_attempts = 5;
  s.may_cancel = true;
  s.max_retry_after = 2s;
  s.scheduling_interval = 5ms;
  s.release_guard = 200ms;
  s.slow_start_fraction = 0.35;
  s.slow_start_duration = 15s;
  s.overload_multiple = 2.5;
  s.overload_window = 1500ms;
  s.drain_grace = 2s;
  for (const double worth : {1.0, 6.0}) {
    CallClass call_class;
    call_class.latency_objective = 1500ms;
    call_class.caller_timeout = 9s;
    call_class.priority_weight = worth;
    call_class.mean_holding_time = 8s;
    s.classes.push_back(call_class);
  }
  EndpointList list;
  list.complete = true;
  for (int i = 0; i < servers; ++i) {
    Endpoint h;
    h.uid = "s" + std::to_string(i);
    h.address = "127.0.0.1:" + std::to_string(9000 + i);
    h.pool = Pool{i};
    h.state = ServerState::in_service;
    list.endpoints.push_back(h);
  }
  c.cached_endpoints.push_back(list);
  return c;
}

// Of a process that shares the callers' listening socket with its predecessor or successor.
inline PlatformConfig config_with_inherited_socket() {
  PlatformConfig config = config_for_tests();
  config.inherited_socket = 7;
  return config;
}

// The line of a caller's setup.
inline std::string setup_line(const std::string& id, const std::string& call_class = "voice", int left = 3000,
                              int dest = 0, const std::string& sdp = "x") {
  return R"({"type":"setup","id":")" + id + R"(","fields":{"class":")" + call_class + R"(","left":")" +
         std::to_string(left) + R"(","key":"7f3a9c21e0b4d655","extras":"dest:)" + std::to_string(dest) +
         R"(;width:1;via:-1"},"sdp":")" + sdp + R"("})" + "\n";
}

constexpr Time kLabStart{1'000'000s};

class GatekeeperLab {
 public:
  explicit GatekeeperLab(const PlatformConfig& config = config_for_tests(), const DeployConfig& deploy = {},
                         Time start = kLabStart)
      : now(start), gatekeeper(config, deploy, {}) {
    deliver(net::Started{});
  }

  void deliver(const net::Event& event) {
    net::Effects effects;
    gatekeeper.step(now, event, effects);
    for (const net::Effect& effect : effects) {
      if (const auto* e = std::get_if<net::Connect>(&effect)) connects.push_back(*e);
      if (const auto* e = std::get_if<net::Send>(&effect)) sent[e->conn] += e->bytes;
      if (const auto* e = std::get_if<net::WithdrawSend>(&effect)) {  // like the runtime
        if (unwritten.contains(e->conn)) {
          withdrawals.push_back({e->conn, e->ticket});
        } else if (!e->fallback.empty()) {
          sent[e->conn] += e->fallback;
        }
      }
      if (const auto* e = std::get_if<net::Log>(&effect)) log += e->text + "\n";
      if (const auto* e = std::get_if<net::Bind>(&effect)) binds.push_back(*e);
      if (std::holds_alternative<net::Unbind>(effect)) ++unbinds;
      if (const auto* e = std::get_if<net::SendDatagram>(&effect)) datagrams.push_back(*e);
      if (const auto* e = std::get_if<net::Close>(&effect)) {
        closed.push_back(e->conn);
        closed_without_check += e->conn.concern == Concern::platform ? 1 : 0;
      }
      if (const auto* e = std::get_if<net::Drop>(&effect)) {
        closed.push_back(e->conn);
        dropped.push_back(e->conn);
      }
      if (const auto* e = std::get_if<net::FinishSending>(&effect)) {
        closed.push_back(e->conn);
        retired.push_back(e->conn);
      }
      if (const auto* e = std::get_if<net::CloseIfIdle>(&effect)) idle_closes.push_back(e->conn);
      if (const auto* e = std::get_if<net::Listen>(&effect)) listens.push_back(*e);
      if (const auto* e = std::get_if<net::StopListening>(&effect)) stopped_listening.push_back(e->concern);
      if (const auto* e = std::get_if<net::Exit>(&effect)) exit_status = e->status;
      if (const auto* e = std::get_if<net::ExitIfIdle>(&effect); e != nullptr && idle_at_exit)
        exit_status = e->status;
      if (const auto* e = std::get_if<net::ArmTimer>(&effect)) timers.push({e->at, ++order, e->key});
      if (const auto* e = std::get_if<net::Consume>(&effect)) unread[e->conn].erase(0, e->count);
    }
    if (watch) watch();
    for (const net::WriteWithdrawn& e : std::exchange(withdrawals, {})) deliver(e);
    for (const ConnId conn : std::exchange(idle_closes, {})) {  // like the runtime
      closed.push_back(conn);
      deliver(net::Closed{conn, false});
    }
  }
  void receive(ConnId conn, const std::string& bytes) {
    unread[conn] += bytes;
    const std::string all = unread[conn];
    deliver(net::Received{conn, all});
  }
  // Advances the clock by `span` and fires the timers that are due.
  void advance(Duration span) {
    const Time end = now + span;
    while (!timers.empty() && timers.top().at <= end) {
      const Timer timer = timers.top();
      timers.pop();
      now = std::max(now, timer.at);
      deliver(net::TimerFired{timer.key});
    }
    now = end;
  }
  // Completes all requested connects; returns the connections to `address`.
  std::vector<ConnId> bring_up(const std::string& address = {}) {
    std::vector<ConnId> up;
    for (const net::Connect& c : std::exchange(connects, {})) {
      if (c.address == address) up.push_back(c.conn);
      deliver(net::Connected{c.conn});
    }
    return up;
  }
  // Opens a new management connection.
  ConnId open_management() {
    const ConnId conn{Concern::management, ++last_management};
    deliver(net::Accepted{conn});
    return conn;
  }
  // The value and type of a metric of `telemetry`, for instance 812|c; "none" if it is absent.
  std::string telemetry_metric(const std::string& name) {
    const ConnId conn = open_management();
    receive(conn, "telemetry\n");
    const std::string text = take_sent(conn);
    const std::string start = "\ngatekeeper." + name + ":";
    const std::size_t at = text.find(start);
    if (at == std::string::npos) return "none";
    return text.substr(at + start.size(), text.find('\n', at + 1) - at - start.size());
  }
  bool is_closed(ConnId conn) const { return std::find(closed.begin(), closed.end(), conn) != closed.end(); }
  std::string take_sent(ConnId conn) { return std::exchange(sent[conn], {}); }
  // The SIP messages sent on a connection since the last call.
  std::vector<sip::Message> messages(ConnId conn) {
    std::vector<sip::Message> all;
    const std::string bytes = take_sent(conn);
    for (std::string_view rest = bytes; !rest.empty();) {
      sip::ReadResult read = sip::read_stream(rest);
      CHECK(read.state == sip::ReadState::message);
      all.push_back(read.message);
      rest.remove_prefix(read.used);
    }
    return all;
  }
  std::vector<jsonl::Message> lines(ConnId conn) {
    std::vector<jsonl::Message> all;
    const std::string bytes = take_sent(conn);
    for (std::string_view rest = bytes; !rest.empty();) {
      jsonl::ReadResult read = jsonl::read(rest);
      CHECK(read.state == jsonl::ReadState::message);
      all.push_back(read.message);
      rest.remove_prefix(read.used);
    }
    return all;
  }

  Time now;
  Gatekeeper gatekeeper;
  std::vector<net::Connect> connects;
  std::map<ConnId, std::string> sent;
  std::map<ConnId, std::string> unread;
  std::vector<net::SendDatagram> datagrams;
  std::vector<net::Bind> binds;
  int unbinds = 0;
  std::vector<ConnId> closed;
  std::size_t closed_without_check = 0;  // of `closed`: callers closed without a check for unread input
  std::vector<ConnId> dropped;           // of `closed`: dropped without writing pending output
  std::vector<ConnId> retired;           // of `closed`: only the sending direction, input still comes
  std::vector<ConnId> idle_closes;       // CloseIfIdle effects of the current step
  std::vector<net::WriteWithdrawn> withdrawals;  // withdrawals to confirm after the step
  std::set<ConnId> unwritten;                    // output there counts as unwritten: withdrawals succeed
  bool idle_at_exit = true;                      // ExitIfIdle finds no unwritten output and no unread input
  std::vector<net::Listen> listens;
  std::vector<Concern> stopped_listening;
  std::optional<int> exit_status;
  std::string log;              // all log lines
  std::function<void()> watch;  // called after each event

 private:
  struct Timer {
    Time at;
    std::uint64_t order;
    net::TimerKey key;
    bool operator<(const Timer& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };
  std::priority_queue<Timer> timers;
  std::uint32_t last_management = 0;
  std::uint64_t order = 0;
};

// A server's response to a request, with additional headers in `more`.
inline std::string server_answer(const sip::Message& request, int status, const std::string& body = {},
                                 const std::string& more = {}) {
  return "SIP/2.0 " + std::to_string(status) + " x\r\nCall-ID: " + std::string(request.header("Call-ID")) +
         "\r\nCSeq: " + std::string(request.header("CSeq")) + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The report that a server sends unasked, and first on each new connection.
inline std::string server_report() {
  return "NOTIFY sip:x@net SIP/2.0\r\nCall-ID: n\r\nP-Load: x0:30;x1:40\r\nContent-Length: 0\r\n\r\n";
}

inline std::string server_bye(const std::string& call_id, int cause) {
  return "BYE sip:x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + call_id +
         "\r\nCSeq: 1 BYE\r\nReason: Q.850;cause=" + std::to_string(cause) + "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace graniterun::test
