// The runtime on loopback sockets: behaviour that the tests of whole programs can't observe.
#include "net/runtime.h"

#include <glib.h>
#include <sys/resource.h>

#include <atomic>
#include <optional>
#include <thread>
#include <vector>

#include "net/ring.h"
#include "stand_in.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

// Unwritten bytes of all connections together are bounded. Without this bound, 64 connections within their
// own bounds held over 32 MB.
void unwritten_bytes_of_all_connections_are_bounded() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.max_outbound_bytes = 64 * 1024 * 1024;
  limits.max_total_outbound_bytes = 2 * 1024 * 1024;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  std::vector<Socket> readers;  // which do not read
  std::vector<net::ConnId> open;
  std::size_t sent = 0;
  std::size_t closed = 0;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) {
      effects.push_back(net::Listen{net::Concern::platform, "127.0.0.1:" + std::to_string(port)});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 0}, now + std::chrono::milliseconds(1)});
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      open.push_back(accepted->conn);
    } else if (const auto* closed_event = std::get_if<net::Closed>(&event)) {
      std::erase(open, closed_event->conn);
      ++closed;
    } else if (std::holds_alternative<net::TimerFired>(event)) {
      if (readers.size() < 4) readers.push_back(Socket::connected(port));
      for (const net::ConnId conn : open) effects.push_back(net::Send{conn, std::string(256 * 1024, 'x')});
      sent += open.size();
      if (closed > 0 || sent > 1000) effects.push_back(net::Exit{closed > 0 ? 0 : 1});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 0}, now + std::chrono::milliseconds(1)});
    }
  });
  CHECK_EQ(status, 0);
  CHECK(runtime.counters().overflowed > 0);
}

void emptied_ring_buffer_releases_memory() {  // long-lived connections kept their peak memory
  net::RingBuffer ring(1024 * 1024);
  CHECK(ring.append(std::string(500'000, 'x')));
  ring.consume(500'000);
  CHECK(ring.capacity() <= 4096);
  CHECK(ring.append("again") && ring.contents() == "again");
}

// The descriptor that the platform passes is checked before it is used.
void only_listening_tcp_sockets_are_recognized() {
  CHECK(net::is_listening_tcp(Socket::bound(SOCK_STREAM).descriptor()));
  CHECK(!net::is_listening_tcp(Socket::bound(SOCK_DGRAM).descriptor()));
  const Socket listening = Socket::bound(SOCK_STREAM);
  CHECK(!net::is_listening_tcp(Socket::connected(listening.port()).descriptor()));
  CHECK(!net::is_listening_tcp(0) && !net::is_listening_tcp(-1) && !net::is_listening_tcp(9999));
}

// With a listening socket shared with another process: after StopListening, new connections are left to the
// other process. CloseIfIdle closes an idle connection but not one with unread input, and a message counts
// once it is completely written.
void inherited_listening_socket_is_shared() {
  const Socket listening = Socket::bound(SOCK_STREAM);
  const int port = listening.port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::vector<net::ConnId> open;
  bool close_requested = false;
  bool unread_delivered = false;
  const net::ConnId none{};
  net::ConnId closed_idle = none;
  const int status = runtime.run([&](Time, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) {
      effects.push_back(net::Listen{net::Concern::platform, "", ::dup(listening.descriptor())});
      for (int i = 0; i < 2; ++i) callers.push_back(Socket::connected(port));
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      open.push_back(accepted->conn);
      if (open.size() < 2) return;
      callers[1].send("unread");  // still unread when CloseIfIdle is carried out
      effects.push_back(net::StopListening{net::Concern::platform});
      effects.push_back(net::Send{open[0], "whole", 1});
      for (const net::ConnId conn : open) effects.push_back(net::CloseIfIdle{conn});
      close_requested = true;
    } else if (const auto* closed_event = std::get_if<net::Closed>(&event)) {
      CHECK(close_requested);
      closed_idle = closed_event->conn;
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      unread_delivered = received->bytes == "unread";
      effects.push_back(net::Consume{received->conn, received->bytes.size()});
    }
    if (closed_idle != none && unread_delivered) effects.push_back(net::Exit{0});
  });
  CHECK_EQ(status, 0);
  CHECK(closed_idle == open[0]);
  CHECK_EQ(callers[0].read_until("whole"), "whole");
  CHECK(callers[0].wait_for_close());
  CHECK_EQ(runtime.counters().counted_written, 1U);
  const Socket late = Socket::connected(port);  // the socket still listens
  CHECK(listening.accept().descriptor() >= 0);
}

// A flood of connections to a listener with reserved connections does not use up the common limit.
void reserved_connections_have_their_own_limit() {
  const int port = Socket::bound(SOCK_STREAM).port();
  const int reserved_port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.max_connections = 2;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  std::vector<Socket> all;
  std::size_t common = 0;
  std::size_t reserved = 0;
  const int status = runtime.run([&](Time, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) {
      effects.push_back(
          net::Listen{net::Concern::management, "127.0.0.1:" + std::to_string(reserved_port), {}, 3});
      effects.push_back(net::Listen{net::Concern::platform, "127.0.0.1:" + std::to_string(port)});
      effects.push_back(net::ArmTimer{{net::Concern::process, 0}, Time{}});
    } else if (std::holds_alternative<net::TimerFired>(event)) {
      for (int i = 0; i < 8; ++i) all.push_back(Socket::connected(reserved_port));
      for (int i = 0; i < 4; ++i) all.push_back(Socket::connected(port));
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      ++(accepted->conn.concern == net::Concern::management ? reserved : common);
    }
    if (common + runtime.counters().rejected >= 9) effects.push_back(net::Exit{0});
    if (common == 2 && reserved == 3) effects.push_back(net::Exit{0});
  });
  CHECK_EQ(status, 0);
  CHECK_EQ(reserved, 3U);
  CHECK_EQ(common, 2U);
}

// Time limit of a test's runtime: a hang becomes a failure.
constexpr net::TimerKey kTestTimeout{net::Concern::process, 77};
void arm_test_timeout(Time now, net::Effects& effects) {
  effects.push_back(net::ArmTimer{kTestTimeout, now + std::chrono::seconds(20)});
}
bool is_test_timeout(const net::Event& event) {
  const auto* e = std::get_if<net::TimerFired>(&event);
  return e != nullptr && e->key.concern == kTestTimeout.concern && e->key.number == kTestTimeout.number;
}

// Common part of tests with callers: listens and arms timer 0 at the start, and exits with 1 on a hang.
bool handle_start_or_timeout(Time now, const net::Event& event, int port, net::Effects& effects) {
  if (std::holds_alternative<net::Started>(event)) {
    arm_test_timeout(now, effects);
    effects.push_back(net::Listen{net::Concern::platform, "127.0.0.1:" + std::to_string(port)});
    effects.push_back(net::ArmTimer{{net::Concern::platform, 0}, now});
    return true;
  }
  if (!is_test_timeout(event)) return false;
  effects.push_back(net::Exit{1});
  return true;
}

// GLib and poll go through all descriptors of the loop in each iteration: with a source per connection and
// 1,000 connections, that was two thirds of the work for a call.
void loop_iteration_polls_few_descriptors() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::size_t accepted = 0;
  int polled_descriptors = 0;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (handle_start_or_timeout(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event); e != nullptr && e->key.number == 0) {
      for (int i = 0; i < 50; ++i) callers.push_back(Socket::connected(port));
    } else if (std::holds_alternative<net::Accepted>(event) && ++accepted == callers.size()) {
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now});
    } else if (e != nullptr) {
      int wait = 0;
      polled_descriptors = g_main_context_query(g_main_context_default(), G_MAXINT, &wait, nullptr, 0);
      effects.push_back(net::Exit{0});
    }
  });
  CHECK_EQ(status, 0);
  CHECK_EQ(accepted, 50U);
  CHECK(polled_descriptors > 0 && polled_descriptors < 10);
}

std::size_t iterations = 0;
gint count_iterations(GPollFD* all, guint count, gint wait) {
  ++iterations;
  return g_poll(all, count, wait);
}

// One iteration for a message and one for the timer that follows. A descriptor source that can't recurse
// added a third, useless one.
void message_costs_one_loop_iteration() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  Socket caller;
  std::size_t read = 0;
  constexpr std::size_t kMessages = 100;
  g_main_context_set_poll_func(g_main_context_default(), &count_iterations);
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (handle_start_or_timeout(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event); e != nullptr && e->key.number == 0) {
      caller = Socket::connected(port);
    } else if (e != nullptr) {
      caller.send("x");
      if (read >= kMessages) effects.push_back(net::Exit{0});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now + std::chrono::milliseconds(2)});
    } else if (std::holds_alternative<net::Accepted>(event)) {
      iterations = 0;
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now + std::chrono::milliseconds(2)});
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      ++read;
      effects.push_back(net::Consume{received->conn, received->bytes.size()});
    }
  });
  g_main_context_set_poll_func(g_main_context_default(), nullptr);
  CHECK_EQ(status, 0);
  CHECK_EQ(read, kMessages);
  CHECK(iterations <= 2 * kMessages + 20);
}

// Two connections are readable in the same iteration, and handling the first one drops the other.
void dropped_connection_gets_no_event_in_the_same_iteration() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::vector<net::ConnId> open;
  std::vector<net::ConnId> read;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (handle_start_or_timeout(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event); e != nullptr && e->key.number == 0) {
      for (int i = 0; i < 2; ++i) callers.push_back(Socket::connected(port));
    } else if (e != nullptr) {
      effects.push_back(net::Exit{0});
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      open.push_back(accepted->conn);
      if (open.size() < 2) return;
      for (const Socket& caller : callers) caller.send("x");
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      read.push_back(received->conn);
      effects.push_back(net::Consume{received->conn, received->bytes.size()});
      effects.push_back(net::Drop{received->conn == open[0] ? open[1] : open[0]});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now + std::chrono::milliseconds(50)});
    } else {
      CHECK(!std::holds_alternative<net::Closed>(event));
    }
  });
  CHECK_EQ(status, 0);
  CHECK_EQ(read.size(), 1U);
}

// A caller sends much and closes before any of it is read: PeerClosed comes first, or setups would be
// started for it with each read. All bytes are still delivered, and Closed comes last.
void peer_close_is_delivered_before_unread_input() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  constexpr std::size_t kSent = 60'000;
  std::size_t read = 0;
  std::optional<std::size_t> read_before;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (handle_start_or_timeout(now, event, port, effects)) return;
    if (std::holds_alternative<net::TimerFired>(event)) {
      Socket::connected(port).send(std::string(kSent, 'x'));  // and closes before it is accepted
    } else if (std::holds_alternative<net::PeerClosed>(event)) {
      read_before = read;
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      read += received->bytes.size();
      effects.push_back(net::Consume{received->conn, received->bytes.size()});
    } else if (std::holds_alternative<net::Closed>(event)) {
      effects.push_back(net::Exit{0});
    }
  });
  CHECK_EQ(status, 0);
  CHECK_EQ(read, kSent);
  CHECK(read_before && *read_before < kSent / 2);
}

// Reading from a caller that does not read its answers is paused; PeerClosed is delivered nevertheless.
void peer_close_is_delivered_while_reading_is_paused() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.max_outbound_bytes = limits.max_total_outbound_bytes = 64 * 1024 * 1024;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  Socket caller;
  net::ConnId conn{};
  bool close_delivered = false;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (handle_start_or_timeout(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event); e != nullptr && e->key.number == 0) {
      caller = Socket::connected(port);
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      conn = accepted->conn;
      effects.push_back(net::Send{conn, std::string(32 * 1024 * 1024, 'x')});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now});
    } else if (std::holds_alternative<net::TimerFired>(event)) {
      caller.send("unread");
      ::shutdown(caller.descriptor(), SHUT_WR);
    } else if (std::holds_alternative<net::PeerClosed>(event)) {
      close_delivered = true;
      effects.push_back(net::Exit{0});
    }
  });
  CHECK_EQ(status, 0);
  CHECK(close_delivered);
}

// A caller that reads nothing of its pending output is closed, even with unread input of its own; a slow
// reader is not. Without this, the first stayed open forever, since idle callers are closed only without
// unread input.
void caller_that_reads_nothing_is_closed() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.max_outbound_bytes = limits.max_total_outbound_bytes = 256 * 1024 * 1024;
  limits.unread_timeout = std::chrono::milliseconds(700);
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::vector<net::ConnId> open;
  std::optional<net::ConnId> closed;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (handle_start_or_timeout(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event)) {
      if (e->key.number == 0) {
        for (int i = 0; i < 2; ++i) callers.push_back(Socket::connected(port));
      } else if (e->key.number == 1) {
        callers[1].read_available(16 * 1024);  // a slow reader
        effects.push_back(net::ArmTimer{e->key, now + std::chrono::milliseconds(5)});
      } else {
        effects.push_back(net::Exit{0});
      }
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      open.push_back(accepted->conn);
      effects.push_back(net::Send{accepted->conn, std::string(64 * 1024 * 1024, 'x')});
      if (open.size() < 2) return;
      callers[0].send("unread");
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now});
    } else if (const auto* closed_event = std::get_if<net::Closed>(&event)) {
      CHECK(!closed);
      closed = closed_event->conn;
      // Within this time the slow reader would be closed too if it counted as not reading.
      effects.push_back(net::ArmTimer{{net::Concern::platform, 2}, now + std::chrono::seconds(2)});
    }
  });
  CHECK_EQ(status, 0);
  CHECK(closed && *closed == open[0]);
  CHECK_EQ(runtime.counters().overflowed, 1U);
}

// The runtime's socket that is connected to the given port.
int find_runtime_socket(int peer_port) {
  constexpr int kMaxDescriptors = 1024;
  for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    const bool connected = ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
    if (connected && peer.sin_family == AF_INET && ntohs(peer.sin_port) == peer_port) return descriptor;
  }
  return -1;
}

// Limits what the kernel takes of output that the peer does not read, far below kUnreadBytes.
void set_small_buffer(int descriptor, int option) {
  const int bytes = 16 * 1024;
  CHECK(::setsockopt(descriptor, SOL_SOCKET, option, &bytes, sizeof bytes) == 0);
}
constexpr std::size_t kUnreadBytes = 512 * 1024;

// A message queued behind unwritten output can be withdrawn; if any byte of it is written it can't, and the
// fallback is sent.
void unwritten_message_can_be_withdrawn() {
  const Socket listening = Socket::bound(SOCK_STREAM);
  set_small_buffer(listening.descriptor(), SO_RCVBUF);
  net::RuntimeLimits limits;
  limits.max_outbound_bytes = limits.max_total_outbound_bytes = 2 * kUnreadBytes;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  const net::ConnId conn{net::Concern::server, 1};
  Socket server;
  std::string received_text;
  bool withdrawn_second = false;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) {
      arm_test_timeout(now, effects);
      effects.push_back(
          net::Connect{conn, "127.0.0.1:" + std::to_string(listening.port()), std::chrono::seconds(9)});
    } else if (is_test_timeout(event)) {
      effects.push_back(net::Exit{1});
    } else if (std::holds_alternative<net::Connected>(event)) {
      server = listening.accept();
      set_small_buffer(find_runtime_socket(listening.port()), SO_SNDBUF);
      effects.push_back(net::Send{conn, "<first>", 1});  // written at once
      effects.push_back(net::ArmTimer{{net::Concern::server, 0}, now});
    } else if (const auto* e = std::get_if<net::TimerFired>(&event)) {
      if (e->key.number == 0) {
        effects.push_back(net::WithdrawSend{conn, 1, "<cancel first>"});
        effects.push_back(net::Send{conn, std::string(kUnreadBytes, 'x')});
        effects.push_back(net::Send{conn, "<second>", 2});
        effects.push_back(net::Send{conn, "<third>", 3});
        effects.push_back(net::ArmTimer{{net::Concern::server, 1}, now});
      } else if (e->key.number == 1) {
        effects.push_back(net::WithdrawSend{conn, 2, "<cancel second>"});
        effects.push_back(net::Send{conn, "<end>"});
        effects.push_back(net::ArmTimer{{net::Concern::server, 2}, now});
      } else {
        received_text += server.read_available(1 << 20);
        if (!received_text.ends_with("<end>"))
          return effects.push_back(
              net::ArmTimer{{net::Concern::server, 2}, now + std::chrono::milliseconds(1)});
        effects.push_back(net::Exit{0});
      }
    } else if (const auto* back = std::get_if<net::WriteWithdrawn>(&event)) {
      withdrawn_second = back->ticket == 2;
    }
  });
  CHECK_EQ(status, 0);
  CHECK(withdrawn_second);
  CHECK(received_text == "<first><cancel first>" + std::string(kUnreadBytes, 'x') + "<third><end>");
  CHECK_EQ(runtime.counters().counted_written, 2U);
  CHECK_EQ(runtime.counters().withdrawn, 1U);
}

// A connection above the limit waits and is accepted once another closes. Closing it at once lost its
// request.
void connection_above_limit_waits_and_is_accepted() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.max_connections = 2;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::size_t answered = 0;
  std::size_t max_open = 0;
  std::size_t open = 0;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (handle_start_or_timeout(now, event, port, effects)) return;
    if (std::holds_alternative<net::TimerFired>(event)) {
      for (int i = 0; i < 6; ++i) {
        callers.push_back(Socket::connected(port));
        callers.back().send("request");
      }
    } else if (std::holds_alternative<net::Accepted>(event)) {
      max_open = std::max(max_open, ++open);
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      CHECK_EQ(received->bytes, "request");
      effects.push_back(net::Consume{received->conn, received->bytes.size()});
      effects.push_back(net::Send{received->conn, "answer"});
      effects.push_back(net::Drop{received->conn});
      --open;
      if (++answered == callers.size()) effects.push_back(net::Exit{0});
    }
  });
  CHECK_EQ(status, 0);
  CHECK_EQ(max_open, 2U);
  for (Socket& caller : callers) CHECK_EQ(caller.read_until("answer"), "answer");
  CHECK(runtime.counters().accept_paused > 0);
}

// Without a free descriptor a connect fails with `local` set, and a new caller waits without the loop
// spinning and is accepted once descriptors are free.
void descriptor_shortage_is_reported_and_recovered_from() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::vector<Socket> held_descriptors;
  std::vector<Socket> callers;
  bool local = false;
  bool freed = false;
  bool accepted_after = false;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (handle_start_or_timeout(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event); e != nullptr && e->key.number == 0) {
      callers.push_back(Socket::connected(port));
      rlimit most{};
      ::getrlimit(RLIMIT_NOFILE, &most);
      const rlimit few{256, most.rlim_max};
      ::setrlimit(RLIMIT_NOFILE, &few);
      for (int fd = ::dup(0); fd >= 0; fd = ::dup(0)) held_descriptors.emplace_back(fd);
      ::setrlimit(RLIMIT_NOFILE, &most);
      const rlimit now_taken{static_cast<rlim_t>(256), most.rlim_max};
      ::setrlimit(RLIMIT_NOFILE, &now_taken);
      effects.push_back(net::Connect{
          {net::Concern::server, 1}, "127.0.0.1:" + std::to_string(port), std::chrono::seconds(9)});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now + std::chrono::milliseconds(100)});
    } else if (e != nullptr) {
      freed = true;
      held_descriptors.clear();
    } else if (const auto* failed = std::get_if<net::ConnectFailed>(&event)) {
      local = failed->local_shortage && !failed->refused;
    } else if (std::holds_alternative<net::Accepted>(event)) {
      accepted_after = freed;
      effects.push_back(net::Exit{0});
    }
  });
  CHECK_EQ(status, 0);
  CHECK(local && accepted_after);
  CHECK(runtime.counters().no_descriptor >= 2 && runtime.counters().no_descriptor < 100);
}

// ExitIfIdle does nothing while answers are unwritten: the caller gets every byte.
void exit_waits_for_unwritten_output() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.max_outbound_bytes = limits.max_total_outbound_bytes = 2 * kUnreadBytes;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  Socket caller;
  std::size_t got = 0;
  bool exit_deferred = false;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (handle_start_or_timeout(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event)) {
      if (e->key.number == 0) {
        caller = Socket::connected(port);
        set_small_buffer(caller.descriptor(), SO_RCVBUF);
        return;
      }
      exit_deferred = got > 0;
      got += caller.read_available(1 << 20).size();
      effects.push_back(net::ExitIfIdle{0});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now + std::chrono::milliseconds(1)});
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      set_small_buffer(find_runtime_socket(caller.port()), SO_SNDBUF);
      effects.push_back(net::Send{accepted->conn, std::string(kUnreadBytes, 'x')});
      effects.push_back(net::ExitIfIdle{0});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now + std::chrono::milliseconds(1)});
    }
  });
  CHECK_EQ(status, 0);
  CHECK(exit_deferred);
  CHECK_EQ(caller.read_bytes(kUnreadBytes - got).size(), kUnreadBytes - got);
}

// ExitIfIdle does nothing with unread input on an open connection or a new connection not accepted yet.
void exit_waits_for_unread_input() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::string received_all;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (handle_start_or_timeout(now, event, port, effects)) return;
    if (std::holds_alternative<net::TimerFired>(event)) {
      callers.push_back(Socket::connected(port));
    } else if (std::holds_alternative<net::Accepted>(event)) {
      if (callers.size() > 1) return;
      callers[0].send("late");
      callers.push_back(Socket::connected(port));
      callers[1].send("last");
      effects.push_back(net::ExitIfIdle{0});
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      received_all += received->bytes;
      effects.push_back(net::Consume{received->conn, received->bytes.size()});
      effects.push_back(net::ExitIfIdle{0});  // does nothing until the other connection's input is read
    }
  });
  CHECK_EQ(status, 0);
  CHECK(received_all == "latelast" || received_all == "lastlate");
}

// SIGTERM and SIGHUP that arrive before the loop runs. Unblocked, SIGTERM killed the program, and a SIGHUP
// was lost, so that the program kept outdated settings.
void signals_before_the_loop_runs_are_not_lost() {
  net::block_signals();
  ::raise(SIGHUP);
  ::raise(SIGTERM);
  net::Runtime runtime({}, net::Logger(net::Level::error));
  bool reload = false;
  bool stop = false;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) arm_test_timeout(now, effects);
    reload = reload || std::holds_alternative<net::ReloadRequested>(event);
    stop = stop || std::holds_alternative<net::StopRequested>(event);
    if (is_test_timeout(event)) effects.push_back(net::Exit{1});
    if (reload && stop) effects.push_back(net::Exit{0});
  });
  CHECK_EQ(status, 0);
}

// After a required file can't be written, no later effect of the step is carried out: a distributor's vote
// was sent although the file that records it could not be written.
void no_effect_follows_a_failed_required_write() {
  for (const bool required : {true, false}) {
    const Socket other = Socket::bound(SOCK_DGRAM);
    net::Runtime runtime({}, net::Logger(net::Level::error));
    const int status = runtime.run([&](Time, const net::Event& event, net::Effects& effects) {
      if (!std::holds_alternative<net::Started>(event)) return;
      effects.push_back(net::Bind{net::Concern::fleet, "127.0.0.1:0"});
      effects.push_back(net::WriteFile{"/nowhere/at/all", "a vote", required});
      effects.push_back(
          net::SendDatagram{net::Concern::fleet, "127.0.0.1:" + std::to_string(other.port()), "voted"});
      effects.push_back(net::Exit{0});
    });
    CHECK_EQ(status, required ? 1 : 0);
    CHECK_EQ(other.read_available(64), required ? "" : "voted");
  }
}

// Several runtimes run in one process, each in its own thread with its own loop.
void several_runtimes_run_in_one_process() {
  constexpr std::size_t kRuntimes = 8;
  const int port = Socket::bound(SOCK_STREAM).port();
  std::atomic<int> accepted_count{0};
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kRuntimes; ++i) {
    threads.emplace_back([&, i] {
      const auto own = std::this_thread::get_id();
      net::RuntimeLimits limits;
      limits.handle_signals = false;
      net::Runtime runtime(limits, net::Logger(net::Level::error));
      runtime.run([&, i](Time now, const net::Event& event, net::Effects& effects) {
        CHECK(std::this_thread::get_id() == own);
        if (std::holds_alternative<net::Started>(event)) {
          const std::string address = "127.0.0.1:" + std::to_string(port);
          if (i == 0) effects.push_back(net::Listen{net::Concern::platform, address});
          effects.push_back(net::ArmTimer{{net::Concern::platform, 0}, now + std::chrono::milliseconds(50)});
        } else if (std::holds_alternative<net::TimerFired>(event)) {
          if (i == 0) return;
          effects.push_back(net::Connect{
              {net::Concern::server, 1}, "127.0.0.1:" + std::to_string(port), std::chrono::seconds(2)});
        } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
          effects.push_back(net::Send{accepted->conn, "x"});
          ++accepted_count;
        } else if (const auto* failed = std::get_if<net::ConnectFailed>(&event)) {
          CHECK(failed == nullptr);
        } else if (std::holds_alternative<net::Received>(event)) {
          effects.push_back(net::Exit{0});  // a runtime that connected
        } else if (std::holds_alternative<net::Closed>(event)) {
          if (accepted_count == kRuntimes - 1) effects.push_back(net::Exit{0});  // the runtime that listens
        }
      });
    });
  }
  for (std::thread& t : threads) t.join();
  CHECK_EQ(accepted_count.load(), static_cast<int>(kRuntimes) - 1);
}

// A connection whose sending direction is closed delivers input until the peer closes.
void finished_connection_is_read_to_its_end() {
  const Socket listener = Socket::bound(SOCK_STREAM);
  const net::ConnId conn{net::Concern::server, 1};
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::string received;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) {
      effects.push_back(
          net::Connect{conn, "127.0.0.1:" + std::to_string(listener.port()), std::chrono::seconds(1)});
    } else if (std::holds_alternative<net::Connected>(event)) {
      effects.push_back(net::Send{conn, "first"});
      effects.push_back(net::FinishSending{conn});
      effects.push_back(net::Send{conn, "ignored"});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 0}, now});
    } else if (std::holds_alternative<net::TimerFired>(event)) {
      Socket peer = listener.accept();
      char bytes[16];
      CHECK_EQ(::recv(peer.descriptor(), bytes, sizeof bytes, MSG_WAITALL), 5);  // "first", then the end
      peer.send("last");
    } else if (const auto* input = std::get_if<net::Received>(&event)) {
      received += input->bytes;
      effects.push_back(net::Consume{conn, input->bytes.size()});
    } else if (std::holds_alternative<net::Closed>(event)) {
      effects.push_back(net::Exit{0});
    }
  });
  CHECK_EQ(status, 0);
  CHECK_EQ(received, "last");
}

// The peer writes and closes; a write fails before its bytes are read. They are delivered ahead of Closed.
void input_before_a_failed_write_is_delivered() {
  const Socket listener = Socket::bound(SOCK_STREAM);
  const net::ConnId conn{net::Concern::server, 1};
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::string received;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) {
      effects.push_back(
          net::Connect{conn, "127.0.0.1:" + std::to_string(listener.port()), std::chrono::seconds(1)});
    } else if (std::holds_alternative<net::Connected>(event)) {
      effects.push_back(net::Send{conn, "unread by the peer"});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 0}, now});
    } else if (std::holds_alternative<net::TimerFired>(event)) {
      const Socket peer = listener.accept();
      char byte = 0;
      CHECK_EQ(::recv(peer.descriptor(), &byte, 1, 0), 1);
      peer.send("release");  // and closes with unread input, which resets the connection
      effects.push_back(net::Send{conn, "fails"});
    } else if (const auto* input = std::get_if<net::Received>(&event)) {
      received += input->bytes;
      effects.push_back(net::Consume{conn, input->bytes.size()});
    } else if (std::holds_alternative<net::Closed>(event)) {
      effects.push_back(net::Exit{0});
    }
  });
  CHECK_EQ(status, 0);
  CHECK_EQ(received, "release");
}

}  // namespace

int main() {
  finished_connection_is_read_to_its_end();
  input_before_a_failed_write_is_delivered();
  no_effect_follows_a_failed_required_write();
  several_runtimes_run_in_one_process();
  signals_before_the_loop_runs_are_not_lost();
  loop_iteration_polls_few_descriptors();
  message_costs_one_loop_iteration();
  dropped_connection_gets_no_event_in_the_same_iteration();
  peer_close_is_delivered_before_unread_input();
  peer_close_is_delivered_while_reading_is_paused();
  caller_that_reads_nothing_is_closed();
  unwritten_message_can_be_withdrawn();
  connection_above_limit_waits_and_is_accepted();
  descriptor_shortage_is_reported_and_recovered_from();
  exit_waits_for_unwritten_output();
  exit_waits_for_unread_input();
  only_listening_tcp_sockets_are_recognized();
  inherited_listening_socket_is_shared();
  reserved_connections_have_their_own_limit();
  unwritten_bytes_of_all_connections_are_bounded();
  emptied_ring_buffer_releases_memory();
}
