// Measures the time from a caller's disconnect to the CANCEL of its call at the setup server, with a real
// gatekeeper, idle and under load. Usage: close_bench GATEKEEPER. Exits with 1 if the limit is missed: no
// attempt may go on for more than 0.1 s after its caller disconnected.
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

#include "lab/load.h"
#include "programs.h"

using namespace graniterun;
using namespace graniterun::bench;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr double kMaxCancelDelayMs = 100.0;
constexpr int kDisconnects = 300;
constexpr int kLoadRate = 1000;  // calls per second of the concurrent load

bool passed = true;

void print_figure(const std::string& name, double value, const char* unit, bool within_limit) {
  std::printf("%s %.3f %s%s\n", name.c_str(), value, unit, within_limit ? "" : " SHORT");
  std::fflush(stdout);
  passed = passed && within_limit;
}

// Setup server that answers all calls but the measured ones, and records when their INVITE and CANCEL arrive.
class Server {
 public:
  Server() : thread_([this] { serve(); }) {}
  ~Server() {
    stopping_ = true;
    thread_.join();
  }
  int port() const { return listener_.port(); }
  // Waits up to 3 s for the request `method` of call `id`; `received_at` is its arrival time.
  bool wait_for(const std::string& method, const std::string& id, Clock::time_point& received_at) {
    for (const auto end = Clock::now() + 3s; Clock::now() < end; std::this_thread::sleep_for(200us)) {
      const std::lock_guard guard(mutex_);
      const auto it = received_at_.find(method + id);
      if (it == received_at_.end()) continue;
      received_at = it->second;
      return true;
    }
    return false;
  }

 private:
  struct Peer {
    test::Socket socket;
    std::string bytes{};
    bool open = true;
  };
  void serve() {
    std::vector<Peer> peers;
    while (!stopping_) {
      std::vector<pollfd> polled{{listener_.descriptor(), POLLIN, 0}};
      for (const Peer& p : peers) polled.push_back({p.socket.descriptor(), POLLIN, 0});
      if (::poll(polled.data(), polled.size(), 50) <= 0) continue;
      const auto now = Clock::now();
      for (std::size_t i = 1; i < polled.size(); ++i) {
        if (polled[i].revents != 0) handle_input(peers[i - 1], now);
      }
      std::erase_if(peers, [](const Peer& p) { return !p.open; });
      if (polled[0].revents != 0) {
        peers.push_back({listener_.accept()});
        peers.back().socket.send(
            "NOTIFY sip:x@net SIP/2.0\r\nCall-ID: n\r\nP-Load: eps:0;latency_ms:1\r\nContent-Length: "
            "0\r\n\r\n");
      }
    }
  }
  void handle_input(Peer& peer, Clock::time_point now) {
    const std::string got = peer.socket.some(65536);
    if (got.empty()) {
      peer.open = false;
      return;
    }
    peer.bytes += got;
    std::string answers;
    while (!peer.bytes.empty()) {
      const sip::ReadResult read = sip::read_stream(peer.bytes);
      if (read.state != sip::ReadState::message) break;
      peer.bytes.erase(0, read.used);
      answers += answer(read.message, now);
    }
    if (!answers.empty()) peer.socket.send(answers);
  }
  std::string answer(const sip::Message& message, Clock::time_point now) {
    if (!message.is_request() || message.method == "ACK") return {};
    const std::string id(message.header("Call-ID"));
    const bool measured = id.starts_with("ffff");
    if (measured) {
      const std::lock_guard guard(mutex_);
      received_at_.emplace(message.method + id, now);
    }
    if (measured && message.method == "INVITE") return {};
    sip::Message reply;
    reply.status = measured ? 487 : 200;
    reply.phrase = "x";
    for (const char* name : {"Via", "Call-ID", "CSeq"}) reply.add(name, std::string(message.header(name)));
    if (measured) {  // the final answer to its INVITE
      reply.headers.clear();
      reply.add("Call-ID", id);
      reply.add("CSeq", "1 INVITE");
    } else if (message.method == "INVITE") {
      reply.body = "answer";
    }
    return reply.text();
  }

  test::Socket listener_ = test::Socket::bound(SOCK_STREAM);
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::map<std::string, Clock::time_point> received_at_;
  std::thread thread_;
};

std::string id_of(int number) {
  char id[17];
  std::snprintf(id, sizeof id, "ffff%012x", number);
  return id;
}

void measure_disconnects(const std::string& name, int port, Server& server) {
  std::vector<double> delays;
  int without_cancel = 0;
  int without_invite = 0;
  for (int i = 0; i < kDisconnects; ++i) {
    const std::string id = id_of(static_cast<int>(delays.size()) + without_cancel + without_invite +
                                 (name.empty() ? 0 : 100000));
    Clock::time_point received_at;
    Clock::time_point closed;
    {
      test::Socket caller = test::Socket::connected(port);
      caller.send(R"({"type":"setup","id":")" + id + R"(","fields":{"class":"voice","left":"3000","key":")" +
                  id + R"(","extras":"dest:2"},"sdp":"o"})" + "\n");
      if (!server.wait_for("INVITE", id, received_at)) {
        ++without_invite;
        continue;
      }
      closed = Clock::now();
    }
    if (server.wait_for("CANCEL", id, received_at)) {
      delays.push_back(std::chrono::duration<double, std::milli>(received_at - closed).count());
    } else {
      ++without_cancel;
    }
    std::this_thread::sleep_for(2ms);
  }
  print_figure("close_to_cancel_median" + name, lab::percentile(delays, 0.5), "ms", true);
  const double p99 = lab::percentile(delays, 0.99);
  print_figure("close_to_cancel_p99_ms" + name, p99, "ms", !delays.empty() && p99 < kMaxCancelDelayMs);
  const double max_delay = lab::percentile(delays, 1.0);
  print_figure("close_to_cancel_longest" + name, max_delay, "ms",
               !delays.empty() && max_delay < kMaxCancelDelayMs);
  print_figure("closes_without_cancel" + name, without_cancel, "calls", without_cancel == 0);
  print_figure("calls_that_never_began" + name, without_invite, "calls", without_invite < kDisconnects / 10);
}

}  // namespace

int main(int, char** argv) {
  Server server;
  const std::vector<std::string> loaded{at(free_port()), at(free_port())};
  std::vector<std::string> servers = loaded;
  servers.push_back(at(server.port()));
  const int port = free_port();
  json config = config_of(at(port), servers, 0, 1);
  config["settings"]["familyInfo"]["poolsByClass"] = {{0, 1, 2}, {0, 1, 2}};
  const test::Program program(argv[1], config.dump());
  measure_disconnects("", port, server);  // the load's servers are not listening yet
  lab::Plan plan;
  plan.gatekeepers = {at(port)};
  plan.servers = loaded;
  plan.flows.emplace_back();
  plan.flows[0].per_second = kLoadRate;
  plan.lasts = 8s;
  lab::Load load(plan);
  std::thread callers([&] {
    std::this_thread::sleep_for(2500ms);
    measure_disconnects("_loaded", port, server);
  });
  load.run();
  callers.join();
  std::size_t established = 0;
  for (const lab::CallRecord& c : load.calls()) established += c.stood ? 1 : 0;
  const double share = static_cast<double>(established) / static_cast<double>(load.calls().size());
  print_figure("load_stood", share, "share", share > 0.95);
  return passed ? 0 : 1;
}
