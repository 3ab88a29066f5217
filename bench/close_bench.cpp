// From a caller's close to the CANCEL of its call at the setup server, with the real program, idle and beside
// a load. Usage: close_bench GATEKEEPER. Exits with 1 where the aim is missed: no attempt may go on for more
// than 0.1 s after its caller closed.
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

constexpr double kLimitMs = 100.0;
constexpr int kCloses = 300;
constexpr int kRate = 1000;  // calls a second beside it

bool good = true;

void figure(const std::string& name, double value, const char* unit, bool holds) {
  std::printf("%s %.3f %s%s\n", name.c_str(), value, unit, holds ? "" : " SHORT");
  std::fflush(stdout);
  good = good && holds;
}

// A setup server that answers all but the calls measured, and notes when their CANCELs come.
class Server {
 public:
  Server() : thread_([this] { serve(); }) {}
  ~Server() {
    over_ = true;
    thread_.join();
  }
  int port() const { return listener_.port(); }
  // Whether that request for the call has come within so long, and when.
  bool wait(const std::string& method, const std::string& id, Clock::time_point& came) {
    for (const auto end = Clock::now() + 3s; Clock::now() < end; std::this_thread::sleep_for(200us)) {
      const std::lock_guard guard(mutex_);
      const auto it = came_.find(method + id);
      if (it == came_.end()) continue;
      came = it->second;
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
    while (!over_) {
      std::vector<pollfd> polled{{listener_.descriptor(), POLLIN, 0}};
      for (const Peer& p : peers) polled.push_back({p.socket.descriptor(), POLLIN, 0});
      if (::poll(polled.data(), polled.size(), 50) <= 0) continue;
      const auto now = Clock::now();
      for (std::size_t i = 1; i < polled.size(); ++i) {
        if (polled[i].revents != 0) hear(peers[i - 1], now);
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
  void hear(Peer& peer, Clock::time_point now) {
    const std::string got = peer.socket.read_available(65536);
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
      came_.emplace(message.method + id, now);
    }
    if (measured && message.method == "INVITE") return {};
    sip::Message reply;
    reply.status = measured ? 487 : 200;
    reply.phrase = "x";
    for (const char* name : {"Via", "Call-ID", "CSeq"}) reply.add(name, std::string(message.header(name)));
    if (measured) {  // the end of its INVITE
      reply.headers.clear();
      reply.add("Call-ID", id);
      reply.add("CSeq", "1 INVITE");
    } else if (message.method == "INVITE") {
      reply.body = "answer";
    }
    return reply.text();
  }

  test::Socket listener_ = test::Socket::bound(SOCK_STREAM);
  std::atomic<bool> over_ = false;
  std::mutex mutex_;
  std::map<std::string, Clock::time_point> came_;
  std::thread thread_;
};

std::string id_of(int number) {
  char id[17];
  std::snprintf(id, sizeof id, "ffff%012x", number);
  return id;
}

void closes(const std::string& name, int port, Server& server) {
  std::vector<double> all;
  int not_told = 0;
  int not_begun = 0;
  for (int i = 0; i < kCloses; ++i) {
    const std::string id =
        id_of(static_cast<int>(all.size()) + not_told + not_begun + (name.empty() ? 0 : 100000));
    Clock::time_point came;
    Clock::time_point closed;
    {
      test::Socket caller = test::Socket::connected(port);
      caller.send(R"({"type":"setup","id":")" + id + R"(","fields":{"class":"voice","left":"3000","key":")" +
                  id + R"(","extras":"dest:2"},"sdp":"o"})" + "\n");
      if (!server.wait("INVITE", id, came)) {
        ++not_begun;
        continue;
      }
      closed = Clock::now();
    }
    if (server.wait("CANCEL", id, came)) {
      all.push_back(std::chrono::duration<double, std::milli>(came - closed).count());
    } else {
      ++not_told;
    }
    std::this_thread::sleep_for(2ms);
  }
  figure("close_to_cancel_median" + name, lab::percentile(all, 0.5), "ms", true);
  const double p99 = lab::percentile(all, 0.99);
  figure("close_to_cancel_p99_ms" + name, p99, "ms", !all.empty() && p99 < kLimitMs);
  const double longest = lab::percentile(all, 1.0);
  figure("close_to_cancel_longest" + name, longest, "ms", !all.empty() && longest < kLimitMs);
  figure("closes_without_cancel" + name, not_told, "calls", not_told == 0);
  figure("calls_that_never_began" + name, not_begun, "calls", not_begun < kCloses / 10);
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
  closes("", port, server);  // the load's servers refuse connections meanwhile
  lab::LoadPlan plan;
  plan.gatekeepers = {at(port)};
  plan.servers = loaded;
  plan.flows.emplace_back();
  plan.flows[0].per_second = kRate;
  plan.duration = 8s;
  lab::LoadGenerator load(plan);
  std::thread callers([&] {
    std::this_thread::sleep_for(2500ms);
    closes("_loaded", port, server);
  });
  load.run();
  callers.join();
  std::size_t stood = 0;
  for (const lab::CallRecord& c : load.calls()) stood += c.established ? 1 : 0;
  const double share = static_cast<double>(stood) / static_cast<double>(load.calls().size());
  figure("load_stood", share, "share", share > 0.95);
  return good ? 0 : 1;
}
