// Stand-in setup servers and a caller for measurements where the stand-in's own share must be small: epoll
// instead of a loop that looks at every descriptor, no ticks, an answer goes out at once.
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

// This process's own descriptors, up to its hard limit. Programs started later are given `programs_get`.
inline rlim_t raise_descriptors() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  const rlim_t before = limit.rlim_cur;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  return before;
}
inline void set_descriptors(rlim_t most) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min(most, limit.rlim_max);
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

// Servers on ports of their own, in one thread. They speak the platform's SIP and RFC 3261 over TCP.
class StandIns {
 public:
  enum class Way { serve, fault, full, silent };  // 200, 500, 503 or nothing to a set-up

  explicit StandIns(std::size_t count, Way way = Way::serve)
      : way_(way), used_(count), poll_(::epoll_create1(EPOLL_CLOEXEC)), end_(::eventfd(0, EFD_CLOEXEC)) {
    watch(end_);
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
    if (::write(end_, &one, sizeof one) == sizeof one) thread_.join();
    for (const auto& [fd, c] : connections_) ::close(fd);
    ::close(end_);
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
  std::size_t used() const { return used_count_; }  // servers that were sent a set-up

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
        if (fd == end_) return;
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
    Connection& c = connections_.at(fd);
    char buffer[16384];
    const ssize_t got = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (got <= 0) return got < 0 && errno == EAGAIN;
    c.in.append(buffer, static_cast<std::size_t>(got));
    std::size_t used = 0;
    std::string answers;
    while (used < c.in.size()) {
      const sip::ReadResult read = sip::read_stream(std::string_view(c.in).substr(used));
      if (read.state != sip::ReadState::message) break;
      used += read.used;
      answer(c.server, read.message, answers);
    }
    c.in.erase(0, used);
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
      if (std::exchange(used_[server], 1) == 0) ++used_count_;
      if (way_ == Way::silent) return;
      if (way_ == Way::serve) {
        a.add("Contact", "<sip:s@" + at(listeners_[server].port()) + ";transport=tcp>");
        a.add("P-Load", "eps:0;latency_ms:1");
        a.body = "answer";
      } else {
        a.status = way_ == Way::fault ? 500 : 503;
        a.phrase = "No";
      }
    } else if (way_ == Way::silent) {
      return;
    }
    out += a.text();
  }

  Way way_;
  std::vector<test::Socket> listeners_;
  std::unordered_map<int, std::size_t> by_listener_;
  std::unordered_map<int, Connection> connections_;
  std::vector<char> used_;
  std::atomic<std::size_t> open_ = 0;
  std::atomic<std::size_t> used_count_ = 0;
  std::atomic<std::uint64_t> invites_ = 0;
  int poll_;
  int end_;
  std::thread thread_;
};

struct Placed {
  Clock::time_point sent{};
  Clock::time_point answered{};
  int finals = 0;
  int status = 0;  // of SIP; 0 on the platform's protocol, where it did not stand
  bool stood = false;
  double took_us() const { return std::chrono::duration<double, std::micro>(answered - sent).count(); }
};

// Places calls on one connection and ends those that stand after a while.
class Caller {
 public:
  enum class Speech { sip, lines };
  Caller(int port, Speech speech) : speech_(speech), port_(port) { connect(); }

  // Poisson arrivals; the same ones for the same seed. Back when all are answered and ended, or after 4 s. On
  // a connection of its own: a gatekeeper closes one that is idle for long. The calls are those from the
  // index returned on.
  std::size_t spell(double per_second, Clock::duration lasts, std::uint64_t seed,
                    std::size_t most = 100'000) {
    const std::size_t first = calls_.size();
    connect();
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(per_second);
    const auto begin = Clock::now();
    auto next = begin;
    while (true) {
      const auto now = Clock::now();
      const bool more = next < begin + lasts && calls_.size() - first < most;
      if (more && next <= now) {
        place(random());
        next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(random)));
        continue;
      }
      while (!holds_.empty() && holds_.front().first <= now) {
        end(holds_.front().second);
        holds_.pop_front();
      }
      if (!more && ((unanswered_ == 0 && holds_.empty()) || now > begin + lasts + std::chrono::seconds(4)))
        break;
      auto until = more ? next : now + std::chrono::milliseconds(20);
      if (!holds_.empty()) until = std::min(until, holds_.front().first);
      listen_until(until);
    }
    unanswered_ = 0;
    listen_for(std::chrono::milliseconds(20));
    return first;
  }
  // What still comes is a second answer.
  void listen_for(Clock::duration span) {
    const auto end = Clock::now() + span;
    while (Clock::now() < end) listen_until(end);
  }
  const std::vector<Placed>& calls() const { return calls_; }

 private:
  static constexpr auto kHold = std::chrono::milliseconds(50);

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
  void place(std::uint64_t draw) {
    const std::string id = id_of(calls_.size());
    char number[32];
    std::snprintf(number, sizeof number, "%016llx", static_cast<unsigned long long>(draw));
    std::string text;
    if (speech_ == Speech::sip) {
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
    ++unanswered_;
    calls_.back().sent = Clock::now();
    write(text);
  }
  void end(const std::pair<std::string, std::string>& call) {
    const auto& [id, to] = call;
    write(speech_ == Speech::sip
              ? "BYE sip:s@127.0.0.1 SIP/2.0\r\n" + head("BYE", id, to, 2, "b") + "Content-Length: 0\r\n\r\n"
              : R"({"type":"release","id":")" + id + R"(","fields":{},"cause":16})" + "\n");
  }
  void listen_until(Clock::time_point until) {
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
      if (speech_ == Speech::sip) {
        const sip::ReadResult read = sip::read_stream(rest);
        if (read.state != sip::ReadState::message) break;
        used += read.used;
        heard(now, read.message);
      } else {
        const jsonl::ReadResult read = jsonl::read(rest);
        if (read.state != jsonl::ReadState::message) break;
        used += read.used;
        heard(now, read.message);
      }
    }
    in_.erase(0, used);
  }
  void heard(Clock::time_point now, const sip::Message& m) {
    const auto cseq = sip::cseq_of(m);
    if (m.is_request() || m.status < 200 || !cseq || cseq->method != "INVITE") return;
    const std::string id(m.header("Call-ID"));
    const bool stood = m.status < 300;
    const std::string to(m.header("To"));
    write("ACK sip:s@127.0.0.1 SIP/2.0\r\n" + head("ACK", id, to, 1, stood ? "a" : "i") +
          "Content-Length: 0\r\n\r\n");
    final(now, id, to, stood, m.status);
  }
  void heard(Clock::time_point now, const jsonl::Message& m) {
    const bool stood = m.type == "answer";
    const auto it = by_id_.find(m.id);
    if (it == by_id_.end() || (!stood && (m.type != "release" || calls_[it->second].stood))) return;
    final(now, m.id, {}, stood, stood ? 200 : 0);
  }
  void final(Clock::time_point now, const std::string& id, const std::string& to, bool stood, int status) {
    const auto it = by_id_.find(id);
    if (it == by_id_.end()) return;
    Placed& call = calls_[it->second];
    if (++call.finals > 1) return;
    call.answered = now;
    call.status = status;
    call.stood = stood;
    if (unanswered_ > 0) --unanswered_;
    if (stood) holds_.emplace_back(now + kHold, std::pair(id, to));
  }

  test::Socket socket_;
  Speech speech_;
  int port_;
  std::string in_;
  std::vector<Placed> calls_;
  std::unordered_map<std::string, std::size_t> by_id_;
  std::deque<std::pair<Clock::time_point, std::pair<std::string, std::string>>> holds_;
  std::size_t unanswered_ = 0;
};

inline int port_of(const std::string& address) { return std::stoi(address.substr(address.rfind(':') + 1)); }

}  // namespace graniterun::bench
