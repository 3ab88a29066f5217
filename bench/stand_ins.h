// Stand-in setup servers and a call generator for measurements in which their own overhead must be small:
// they use epoll instead of scanning every descriptor, run no ticks, and answer at once.
#pragma once

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/resource.h>

#include <atomic>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <thread>
#include <unordered_map>

#include "codec/jsonl.h"
#include "codec/sip.h"
#include "programs.h"

namespace graniterun::bench {

using Clock = std::chrono::steady_clock;

// Raises this process's soft descriptor limit to its hard limit and returns the previous soft limit. Programs
// started later inherit the raised limit unless set_descriptor_limit lowers it for them.
inline rlim_t raise_descriptor_limit() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  const rlim_t before = limit.rlim_cur;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  return before;
}
// Sets the soft descriptor limit, to the hard limit at most.
inline void set_descriptor_limit(rlim_t descriptors) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min(descriptors, limit.rlim_max);
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

// Setup servers, each on its own port, all served by one thread. They speak the platform's SIP and RFC 3261
// over TCP.
class StandIns {
 public:
  enum class Behavior { serve, fault, full, silent };  // answer to a setup: 200, 500, 503 or none

  explicit StandIns(std::size_t count, Behavior behavior = Behavior::serve)
      : behavior_(behavior),
        received_setup_(count),
        poll_(::epoll_create1(EPOLL_CLOEXEC)),
        stop_event_(::eventfd(0, EFD_CLOEXEC)) {
    watch(stop_event_);
    for (std::size_t i = 0; i < count; ++i) {
      listeners_.push_back(test::Socket::bound(SOCK_STREAM));
      ::listen(listeners_.back().descriptor(), 64);
      by_listener_.emplace(listeners_.back().descriptor(), i);
      watch(listeners_.back().descriptor());
    }
    thread_ = std::thread([this] { run(); });
  }
  ~StandIns() {
    const std::uint64_t one = 1;
    if (::write(stop_event_, &one, sizeof one) == sizeof one) thread_.join();
    for (const auto& [fd, connection] : connections_) ::close(fd);
    ::close(stop_event_);
    ::close(poll_);
  }
  StandIns(const StandIns&) = delete;
  StandIns& operator=(const StandIns&) = delete;

  std::vector<std::string> addresses() const {
    std::vector<std::string> all;
    for (const auto& listener : listeners_) all.push_back(at(listener.port()));
    return all;
  }
  std::size_t open() const { return open_; }
  std::uint64_t invites() const { return invites_; }
  std::size_t servers_used() const { return servers_used_; }  // servers that received a setup

 private:
  struct Connection {
    std::size_t server{};
    std::string in{};
  };
  void watch(int fd) const {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    ::epoll_ctl(poll_, EPOLL_CTL_ADD, fd, &event);
  }
  void run() {
    epoll_event events[64];
    while (true) {
      const int count = ::epoll_wait(poll_, events, 64, -1);
      for (int i = 0; i < count; ++i) {
        const int fd = events[i].data.fd;
        if (fd == stop_event_) return;
        if (const auto it = by_listener_.find(fd); it != by_listener_.end()) {
          const int conn = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
          if (conn < 0) continue;
          const int on = 1;
          ::setsockopt(conn, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          connections_.emplace(conn, Connection{it->second, {}});
          ++open_;
          watch(conn);
        } else if (!read(fd)) {
          ::close(fd);
          connections_.erase(fd);
          --open_;
        }
      }
    }
  }
  bool read(int fd) {
    Connection& connection = connections_.at(fd);
    char buffer[16384];
    const ssize_t got = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (got <= 0) return got < 0 && errno == EAGAIN;
    connection.in.append(buffer, static_cast<std::size_t>(got));
    std::size_t used = 0;
    std::string answers;
    while (used < connection.in.size()) {
      const sip::ReadResult read = sip::read_stream(std::string_view(connection.in).substr(used));
      if (read.state != sip::ReadState::message) break;
      used += read.used;
      answer(connection.server, read.message, answers);
    }
    connection.in.erase(0, used);
    return answers.empty() || ::send(fd, answers.data(), answers.size(), MSG_NOSIGNAL) > 0;
  }
  void answer(std::size_t server, const sip::Message& m, std::string& out) {
    if (!m.is_request() || m.method == "ACK") return;
    sip::Message a;
    a.status = 200;
    a.phrase = "OK";
    for (const auto& [name, value] : m.headers) {
      const bool to = name == "To";
      if (to || name == "Via" || name == "From" || name == "Call-ID" || name == "CSeq")
        a.add(name, to && sip::parameter(value, "tag").empty() ? value + ";tag=s" : value);
    }
    if (m.method == "INVITE") {
      ++invites_;
      if (std::exchange(received_setup_[server], 1) == 0) ++servers_used_;
      if (behavior_ == Behavior::silent) return;
      if (behavior_ == Behavior::serve) {
        a.add("Contact", "<sip:s@" + at(listeners_[server].port()) + ";transport=tcp>");
        a.add("P-Load", "eps:0;latency_ms:1");
        a.body = "answer";
      } else {
        a.status = behavior_ == Behavior::fault ? 500 : 503;
        a.phrase = "No";
      }
    } else if (behavior_ == Behavior::silent) {
      return;
    }
    out += a.text();
  }

  Behavior behavior_;
  std::vector<test::Socket> listeners_;
  std::unordered_map<int, std::size_t> by_listener_;
  std::unordered_map<int, Connection> connections_;
  std::vector<char> received_setup_;
  std::atomic<std::size_t> open_ = 0;
  std::atomic<std::size_t> servers_used_ = 0;
  std::atomic<std::uint64_t> invites_ = 0;
  int poll_;
  int stop_event_;
  std::thread thread_;
};

struct PlacedCall {
  Clock::time_point sent_at{};
  Clock::time_point answered_at{};
  int final_answers = 0;
  int status = 0;  // of SIP; on the platform's protocol 200 when established, else 0
  bool established = false;
  double latency_us() const {
    return std::chrono::duration<double, std::micro>(answered_at - sent_at).count();
  }
};

// Places calls on one connection and releases each established call after kHoldTime.
class Caller {
 public:
  enum class Protocol { sip, platform };
  Caller(int port, Protocol protocol) : protocol_(protocol), port_(port) { connect(); }

  // Places calls with Poisson arrivals, the same ones for the same seed. Returns when all are answered and
  // released, at the latest 4 s after the end of `duration`. Opens a new connection, because a gatekeeper
  // closes one that was idle for long. The new calls begin at the returned index of calls().
  std::size_t place_calls(double per_second, Clock::duration duration, std::uint64_t seed,
                          std::size_t max_calls = 100'000) {
    const std::size_t first = calls_.size();
    connect();
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(per_second);
    const auto begin = Clock::now();
    auto next = begin;
    while (true) {
      const auto now = Clock::now();
      const bool arriving = next < begin + duration && calls_.size() - first < max_calls;
      if (arriving && next <= now) {
        place_call(random());
        next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(random)));
        continue;
      }
      while (!established_calls_.empty() && established_calls_.front().first <= now) {
        release_call(established_calls_.front().second);
        established_calls_.pop_front();
      }
      if (!arriving && ((outstanding_ == 0 && established_calls_.empty()) ||
                        now > begin + duration + std::chrono::seconds(4)))
        break;
      auto until = arriving ? next : now + std::chrono::milliseconds(20);
      if (!established_calls_.empty()) until = std::min(until, established_calls_.front().first);
      receive_until(until);
    }
    outstanding_ = 0;
    receive_for(std::chrono::milliseconds(20));
    return first;
  }
  // Receives for `span`; after all calls have a final answer, any further one is a second answer.
  void receive_for(Clock::duration span) {
    const auto end = Clock::now() + span;
    while (Clock::now() < end) receive_until(end);
  }
  const std::vector<PlacedCall>& calls() const { return calls_; }

 private:
  static constexpr auto kHoldTime = std::chrono::milliseconds(50);

  std::string id_of(std::size_t index) const {
    char text[32];
    std::snprintf(text, sizeof text, "%06x%010zx", port_, index + 1);
    return text;
  }
  std::string head(const std::string& method, const std::string& id, const std::string& to, int cseq,
                   const std::string& branch) const {
    return "Via: SIP/2.0/TCP 127.0.0.1:9;branch=z9hG4bK" + branch + id +
           "\r\nMax-Forwards: 70\r\nFrom: <sip:c@127.0.0.1:9>;tag=c\r\nTo: " + to + "\r\nCall-ID: " + id +
           "\r\nCSeq: " + std::to_string(cseq) + " " + method + "\r\n";
  }
  void connect() {
    socket_ = test::Socket::connected(port_);
    const int on = 1;
    ::setsockopt(socket_.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    in_.clear();
  }
  void write(const std::string& text) const {
    ::send(socket_.descriptor(), text.data(), text.size(), MSG_NOSIGNAL);
  }
  void place_call(std::uint64_t draw) {
    const std::string id = id_of(calls_.size());
    char number[32];
    std::snprintf(number, sizeof number, "%016llx", static_cast<unsigned long long>(draw));
    std::string text;
    if (protocol_ == Protocol::sip) {
      const std::string uri = "sip:" + std::string(number) + "@127.0.0.1";
      text = "INVITE " + uri + " SIP/2.0\r\n" + head("INVITE", id, "<" + uri + ">", 1, "i") +
             "Contact: <sip:c@127.0.0.1:9;transport=tcp>\r\nPriority-Class: voice\r\nExpires: 3\r\n"
             "Expires-Ms: 3000\r\nContent-Type: application/sdp\r\nContent-Length: 1\r\n\r\no";
    } else {
      text = R"({"type":"setup","id":")" + id + R"(","fields":{"class":"voice","left":"3000","key":")" +
             number + R"(","extras":"dest:)" + std::to_string(draw % 2) + R"("},"sdp":"o"})" + "\n";
    }
    by_id_.emplace(id, calls_.size());
    calls_.emplace_back();
    ++outstanding_;
    calls_.back().sent_at = Clock::now();
    write(text);
  }
  void release_call(const std::pair<std::string, std::string>& call) {
    const auto& [id, to] = call;
    write(protocol_ == Protocol::sip
              ? "BYE sip:s@127.0.0.1 SIP/2.0\r\n" + head("BYE", id, to, 2, "b") + "Content-Length: 0\r\n\r\n"
              : R"({"type":"release","id":")" + id + R"(","fields":{},"cause":16})" + "\n");
  }
  void receive_until(Clock::time_point until) {
    const auto left = std::max(std::chrono::nanoseconds(0),
                               std::chrono::duration_cast<std::chrono::nanoseconds>(until - Clock::now()));
    const timespec wait{left.count() / 1'000'000'000, left.count() % 1'000'000'000};
    pollfd p{socket_.descriptor(), POLLIN, 0};
    if (::ppoll(&p, 1, &wait, nullptr) <= 0) return;
    const auto now = Clock::now();
    char buffer[65536];
    const ssize_t got = ::recv(socket_.descriptor(), buffer, sizeof buffer, MSG_DONTWAIT);
    CHECK(got > 0 || errno == EAGAIN);
    if (got <= 0) return;
    in_.append(buffer, static_cast<std::size_t>(got));
    std::size_t used = 0;
    while (used < in_.size()) {
      const std::string_view rest = std::string_view(in_).substr(used);
      if (protocol_ == Protocol::sip) {
        const sip::ReadResult read = sip::read_stream(rest);
        if (read.state != sip::ReadState::message) break;
        used += read.used;
        handle_response(now, read.message);
      } else {
        const jsonl::ReadResult read = jsonl::read(rest);
        if (read.state != jsonl::ReadState::message) break;
        used += read.used;
        handle_response(now, read.message);
      }
    }
    in_.erase(0, used);
  }
  void handle_response(Clock::time_point now, const sip::Message& m) {
    const auto cseq = sip::cseq_of(m);
    if (m.is_request() || m.status < 200 || !cseq || cseq->method != "INVITE") return;
    const std::string id(m.header("Call-ID"));
    const bool established = m.status < 300;
    const std::string to(m.header("To"));
    write("ACK sip:s@127.0.0.1 SIP/2.0\r\n" + head("ACK", id, to, 1, established ? "a" : "i") +
          "Content-Length: 0\r\n\r\n");
    record_final_answer(now, id, to, established, m.status);
  }
  void handle_response(Clock::time_point now, const jsonl::Message& m) {
    const bool established = m.type == "answer";
    const auto it = by_id_.find(m.id);
    if (it == by_id_.end() || (!established && (m.type != "release" || calls_[it->second].established)))
      return;
    record_final_answer(now, m.id, {}, established, established ? 200 : 0);
  }
  void record_final_answer(Clock::time_point now, const std::string& id, const std::string& to,
                           bool established, int status) {
    const auto it = by_id_.find(id);
    if (it == by_id_.end()) return;
    PlacedCall& call = calls_[it->second];
    if (++call.final_answers > 1) return;
    call.answered_at = now;
    call.status = status;
    call.established = established;
    if (outstanding_ > 0) --outstanding_;
    if (established) established_calls_.emplace_back(now + kHoldTime, std::pair(id, to));
  }

  test::Socket socket_;
  Protocol protocol_;
  int port_;
  std::string in_;
  std::vector<PlacedCall> calls_;
  std::unordered_map<std::string, std::size_t> by_id_;
  std::deque<std::pair<Clock::time_point, std::pair<std::string, std::string>>> established_calls_;
  std::size_t outstanding_ = 0;
};

inline int port_of(const std::string& address) { return std::stoi(address.substr(address.rfind(':') + 1)); }

}  // namespace graniterun::bench
