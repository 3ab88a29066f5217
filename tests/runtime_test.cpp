// The runtime itself, on loopback sockets: what its callers can't see.
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

// Each connection had a bound for what is not written yet, all together had none: over 32 MB with 64 of them.
void one_bound_holds_for_all_that_is_not_written() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.outbound = 64 * 1024 * 1024;
  limits.outbound_all = 2 * 1024 * 1024;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  std::vector<Socket> readers;  // that do not read
  std::vector<net::ConnId> open;
  std::size_t sent = 0;
  std::size_t closed = 0;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) {
      effects.push_back(net::Listen{net::Concern::platform, "127.0.0.1:" + std::to_string(port)});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 0}, now + std::chrono::milliseconds(1)});
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      open.push_back(accepted->conn);
    } else if (const auto* gone = std::get_if<net::Closed>(&event)) {
      std::erase(open, gone->conn);
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

void an_emptied_ring_keeps_little() {  // connections kept for good kept the most they had ever held
  net::Ring ring(1024 * 1024);
  CHECK(ring.put(std::string(500'000, 'x')));
  ring.drop(500'000);
  CHECK(ring.held() <= 4096);
  CHECK(ring.put("again") && ring.contents() == "again");
}

// What the platform hands over is used as it is; anything else is found out before it is used.
void a_listening_socket_is_told_from_others() {
  CHECK(net::is_listening_tcp(Socket::bound(SOCK_STREAM).descriptor()));
  CHECK(!net::is_listening_tcp(Socket::bound(SOCK_DGRAM).descriptor()));
  const Socket listening = Socket::bound(SOCK_STREAM);
  CHECK(!net::is_listening_tcp(Socket::connected(listening.port()).descriptor()));
  CHECK(!net::is_listening_tcp(0) && !net::is_listening_tcp(-1) && !net::is_listening_tcp(9999));
}

// Another process has the same socket: once this one stops listening, who knocks is left to the other. A
// quiet connection is closed, one with something unread is not; a message counts when it is written whole.
void an_inherited_socket_is_shared() {
  const Socket listening = Socket::bound(SOCK_STREAM);
  const int port = listening.port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::vector<net::ConnId> open;
  bool quiet_asked = false;
  bool busy_told = false;
  const net::ConnId none{};
  net::ConnId quiet = none;
  const int status = runtime.run([&](Time, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) {
      effects.push_back(net::Listen{net::Concern::platform, "", ::dup(listening.descriptor())});
      for (int i = 0; i < 2; ++i) callers.push_back(Socket::connected(port));
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      open.push_back(accepted->conn);
      if (open.size() < 2) return;
      callers[1].send("unread");  // it is there when the loop looks, since nobody has read yet
      effects.push_back(net::StopListening{net::Concern::platform});
      effects.push_back(net::Send{open[0], "whole", 1});
      for (const net::ConnId conn : open) effects.push_back(net::CloseIfIdle{conn});
      quiet_asked = true;
    } else if (const auto* gone = std::get_if<net::Closed>(&event)) {
      CHECK(quiet_asked);
      quiet = gone->conn;
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      busy_told = received->bytes == "unread";
      effects.push_back(net::Consume{received->conn, received->bytes.size()});
    }
    if (quiet != none && busy_told) effects.push_back(net::Exit{0});
  });
  CHECK_EQ(status, 0);
  CHECK(quiet == open[0]);
  CHECK_EQ(callers[0].until("whole"), "whole");
  CHECK(callers[0].ends());
  CHECK_EQ(runtime.counters().counted_written, 1U);
  const Socket late = Socket::connected(port);  // the socket still listens
  CHECK(listening.accept().descriptor() >= 0);
}

// A flood of connections to a listener that stands apart takes nothing from the common limit.
void connections_that_stand_apart_have_a_bound_of_their_own() {
  const int port = Socket::bound(SOCK_STREAM).port();
  const int own_port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.connections = 2;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  std::vector<Socket> all;
  std::size_t common = 0;
  std::size_t apart = 0;
  const int status = runtime.run([&](Time, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) {
      effects.push_back(
          net::Listen{net::Concern::management, "127.0.0.1:" + std::to_string(own_port), {}, 3});
      effects.push_back(net::Listen{net::Concern::platform, "127.0.0.1:" + std::to_string(port)});
      effects.push_back(net::ArmTimer{{net::Concern::process, 0}, Time{}});
    } else if (std::holds_alternative<net::TimerFired>(event)) {
      for (int i = 0; i < 8; ++i) all.push_back(Socket::connected(own_port));
      for (int i = 0; i < 4; ++i) all.push_back(Socket::connected(port));
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      ++(accepted->conn.concern == net::Concern::management ? apart : common);
    }
    if (common + runtime.counters().rejected >= 9) effects.push_back(net::Exit{0});
    if (common == 2 && apart == 3) effects.push_back(net::Exit{0});
  });
  CHECK_EQ(status, 0);
  CHECK_EQ(apart, 3U);
  CHECK_EQ(common, 2U);
}

// What the reducer is told in a test that is not over by itself ends here: a hang is a failure, not a wait.
constexpr net::TimerKey kTooLong{net::Concern::process, 77};
void end_at_last(Time now, net::Effects& effects) {
  effects.push_back(net::ArmTimer{kTooLong, now + std::chrono::seconds(20)});
}
bool is_too_long(const net::Event& event) {
  const auto* e = std::get_if<net::TimerFired>(&event);
  return e != nullptr && e->key.concern == kTooLong.concern && e->key.number == kTooLong.number;
}

// The frame of a test with callers: it listens at the start, a timer 0 follows, and a hang ends it.
bool begins_or_ends(Time now, const net::Event& event, int port, net::Effects& effects) {
  if (std::holds_alternative<net::Started>(event)) {
    end_at_last(now, effects);
    effects.push_back(net::Listen{net::Concern::platform, "127.0.0.1:" + std::to_string(port)});
    effects.push_back(net::ArmTimer{{net::Concern::platform, 0}, now});
    return true;
  }
  if (!is_too_long(event)) return false;
  effects.push_back(net::Exit{1});
  return true;
}

// GLib goes through all descriptors of its loop at each turn, and so does poll: with 1,000 connections that
// was two thirds of what the program did for a call.
void a_turn_of_the_loop_goes_through_few_descriptors() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::size_t accepted = 0;
  int gone_through = 0;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (begins_or_ends(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event); e != nullptr && e->key.number == 0) {
      for (int i = 0; i < 50; ++i) callers.push_back(Socket::connected(port));
    } else if (std::holds_alternative<net::Accepted>(event) && ++accepted == callers.size()) {
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now});
    } else if (e != nullptr) {
      int wait = 0;
      gone_through = g_main_context_query(g_main_context_default(), G_MAXINT, &wait, nullptr, 0);
      effects.push_back(net::Exit{0});
    }
  });
  CHECK_EQ(status, 0);
  CHECK_EQ(accepted, 50U);
  CHECK(gone_through > 0 && gone_through < 10);
}

std::size_t turns = 0;
gint count_turns(GPollFD* all, guint count, gint wait) {
  ++turns;
  return g_poll(all, count, wait);
}

// One turn for a message and one for the timer behind it; a third one was for nothing.
void a_message_costs_one_turn_of_the_loop() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  Socket caller;
  std::size_t read = 0;
  constexpr std::size_t kMessages = 100;
  g_main_context_set_poll_func(g_main_context_default(), &count_turns);
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (begins_or_ends(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event); e != nullptr && e->key.number == 0) {
      caller = Socket::connected(port);
    } else if (e != nullptr) {
      caller.send("x");
      if (read >= kMessages) effects.push_back(net::Exit{0});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now + std::chrono::milliseconds(2)});
    } else if (std::holds_alternative<net::Accepted>(event)) {
      turns = 0;
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now + std::chrono::milliseconds(2)});
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      ++read;
      effects.push_back(net::Consume{received->conn, received->bytes.size()});
    }
  });
  g_main_context_set_poll_func(g_main_context_default(), nullptr);
  CHECK_EQ(status, 0);
  CHECK_EQ(read, kMessages);
  CHECK(turns <= 2 * kMessages + 20);
}

// Both have something to be read at the same turn of the loop; the one read first ends the other.
void a_connection_that_ended_in_the_same_turn_is_told_nothing_more() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::vector<net::ConnId> open;
  std::vector<net::ConnId> read;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (begins_or_ends(now, event, port, effects)) return;
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

// A caller sends much and closes before any of it is read: its end is told first, or set-ups would be begun
// for it one read after the other. Every byte is told all the same, and Closed comes last.
void a_callers_end_is_told_ahead_of_what_is_unread() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  constexpr std::size_t kSent = 60'000;
  std::size_t read = 0;
  std::optional<std::size_t> read_before;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (begins_or_ends(now, event, port, effects)) return;
    if (std::holds_alternative<net::TimerFired>(event)) {
      Socket::connected(port).send(std::string(kSent, 'x'));  // and closed before it is accepted
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

// Nothing is read from a caller that does not read its answers; that it has closed its half is told even so.
void a_callers_end_is_told_while_reading_is_held_back() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.outbound = limits.outbound_all = 64 * 1024 * 1024;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  Socket caller;
  net::ConnId conn{};
  bool told = false;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (begins_or_ends(now, event, port, effects)) return;
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
      told = true;
      effects.push_back(net::Exit{0});
    }
  });
  CHECK_EQ(status, 0);
  CHECK(told);
}

// Who reads nothing of what is left to write to it is given up, though it has sent what is not read; a slow
// reader is not. Guards against keeping the first for good: idle ones are closed only with nothing unread.
void who_reads_nothing_is_given_up() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.outbound = limits.outbound_all = 256 * 1024 * 1024;
  limits.unread_timeout = std::chrono::milliseconds(700);
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::vector<net::ConnId> open;
  std::optional<net::ConnId> closed;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (begins_or_ends(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event)) {
      if (e->key.number == 0) {
        for (int i = 0; i < 2; ++i) callers.push_back(Socket::connected(port));
      } else if (e->key.number == 1) {
        callers[1].some(16 * 1024);  // slowly
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
    } else if (const auto* gone = std::get_if<net::Closed>(&event)) {
      CHECK(!closed);
      closed = gone->conn;
      // The other one would follow within this if it were taken for the same.
      effects.push_back(net::ArmTimer{{net::Concern::platform, 2}, now + std::chrono::seconds(2)});
    }
  });
  CHECK_EQ(status, 0);
  CHECK(closed && *closed == open[0]);
  CHECK_EQ(runtime.counters().overflowed, 1U);
}

// A message that waits behind others for its peer to read can be taken back whole; one of which anything is
// written can't, and what is to follow it then is sent.
void a_message_is_taken_back_before_it_is_written() {
  const Socket listening = Socket::bound(SOCK_STREAM);
  net::RuntimeLimits limits;
  limits.outbound = limits.outbound_all = 64 * 1024 * 1024;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  const net::ConnId conn{net::Concern::server, 1};
  Socket server;
  std::string heard;
  bool recalled = false;
  const std::size_t much = 16 * 1024 * 1024;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) {
      end_at_last(now, effects);
      effects.push_back(
          net::Connect{conn, "127.0.0.1:" + std::to_string(listening.port()), std::chrono::seconds(9)});
    } else if (is_too_long(event)) {
      effects.push_back(net::Exit{1});
    } else if (std::holds_alternative<net::Connected>(event)) {
      server = listening.accept();
      effects.push_back(net::Send{conn, "<first>", 1});  // written at once
      effects.push_back(net::ArmTimer{{net::Concern::server, 0}, now});
    } else if (const auto* e = std::get_if<net::TimerFired>(&event)) {
      if (e->key.number == 0) {
        effects.push_back(net::WithdrawSend{conn, 1, "<cancel first>"});
        effects.push_back(net::Send{conn, std::string(much, 'x')});
        effects.push_back(net::Send{conn, "<second>", 2});
        effects.push_back(net::Send{conn, "<third>", 3});
        effects.push_back(net::ArmTimer{{net::Concern::server, 1}, now});
      } else if (e->key.number == 1) {
        effects.push_back(net::WithdrawSend{conn, 2, "<cancel second>"});
        effects.push_back(net::Send{conn, "<end>"});
        effects.push_back(net::ArmTimer{{net::Concern::server, 2}, now});
      } else {
        heard += server.some(1 << 20);
        if (!heard.ends_with("<end>"))
          return effects.push_back(
              net::ArmTimer{{net::Concern::server, 2}, now + std::chrono::milliseconds(1)});
        effects.push_back(net::Exit{0});
      }
    } else if (const auto* back = std::get_if<net::WriteWithdrawn>(&event)) {
      recalled = back->ticket == 2;
    }
  });
  CHECK_EQ(status, 0);
  CHECK(recalled);
  CHECK(heard == "<first><cancel first>" + std::string(much, 'x') + "<third><end>");
  CHECK_EQ(runtime.counters().counted_written, 2U);
  CHECK_EQ(runtime.counters().withdrawn, 1U);
}

// Who comes while all places are taken is let in when one is free; it was closed at once, with its request.
void who_finds_no_place_waits_at_the_door() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.connections = 2;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::size_t heard = 0;
  std::size_t most = 0;
  std::size_t open = 0;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (begins_or_ends(now, event, port, effects)) return;
    if (std::holds_alternative<net::TimerFired>(event)) {
      for (int i = 0; i < 6; ++i) {
        callers.push_back(Socket::connected(port));
        callers.back().send("request");
      }
    } else if (std::holds_alternative<net::Accepted>(event)) {
      most = std::max(most, ++open);
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      CHECK_EQ(received->bytes, "request");
      effects.push_back(net::Consume{received->conn, received->bytes.size()});
      effects.push_back(net::Send{received->conn, "answer"});
      effects.push_back(net::Drop{received->conn});
      --open;
      if (++heard == callers.size()) effects.push_back(net::Exit{0});
    }
  });
  CHECK_EQ(status, 0);
  CHECK_EQ(most, 2U);
  for (Socket& caller : callers) CHECK_EQ(caller.until("answer"), "answer");
  CHECK(runtime.counters().accept_paused > 0);
}

// With every descriptor taken a connect says that it is for want of one, a caller waits at the door without
// the loop spinning on it, and is let in afterwards.
void a_want_of_descriptors_is_told_and_passes() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::vector<Socket> taken;
  std::vector<Socket> callers;
  bool local = false;
  bool freed = false;
  bool let_in = false;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (begins_or_ends(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event); e != nullptr && e->key.number == 0) {
      callers.push_back(Socket::connected(port));
      rlimit most{};
      ::getrlimit(RLIMIT_NOFILE, &most);
      const rlimit few{256, most.rlim_max};
      ::setrlimit(RLIMIT_NOFILE, &few);
      for (int fd = ::dup(0); fd >= 0; fd = ::dup(0)) taken.emplace_back(fd);
      ::setrlimit(RLIMIT_NOFILE, &most);
      const rlimit now_taken{static_cast<rlim_t>(256), most.rlim_max};
      ::setrlimit(RLIMIT_NOFILE, &now_taken);
      effects.push_back(net::Connect{
          {net::Concern::server, 1}, "127.0.0.1:" + std::to_string(port), std::chrono::seconds(9)});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now + std::chrono::milliseconds(100)});
    } else if (e != nullptr) {
      freed = true;
      taken.clear();
    } else if (const auto* failed = std::get_if<net::ConnectFailed>(&event)) {
      local = failed->local && !failed->refused;
    } else if (std::holds_alternative<net::Accepted>(event)) {
      let_in = freed;
      effects.push_back(net::Exit{0});
    }
  });
  CHECK_EQ(status, 0);
  CHECK(local && let_in);
  CHECK(runtime.counters().no_descriptor >= 2 && runtime.counters().no_descriptor < 100);
}

// The end is put off while answers are not written: its caller gets every byte.
void the_end_waits_for_what_is_not_written() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.outbound = limits.outbound_all = 64 * 1024 * 1024;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  constexpr std::size_t kMuch = 16 * 1024 * 1024;
  Socket caller;
  std::size_t got = 0;
  bool put_off = false;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (begins_or_ends(now, event, port, effects)) return;
    if (const auto* e = std::get_if<net::TimerFired>(&event)) {
      if (e->key.number == 0) {
        caller = Socket::connected(port);
        return;
      }
      put_off = got > 0;
      got += caller.some(1 << 20).size();
      effects.push_back(net::ExitIfIdle{0});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now + std::chrono::milliseconds(1)});
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      effects.push_back(net::Send{accepted->conn, std::string(kMuch, 'x')});
      effects.push_back(net::ExitIfIdle{0});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 1}, now + std::chrono::milliseconds(1)});
    }
  });
  CHECK_EQ(status, 0);
  CHECK(put_off);
  CHECK_EQ(caller.bytes(kMuch - got).size(), kMuch - got);
}

// And for what has come in the instant of the end, on an open connection or as a new one.
void the_end_waits_for_what_has_just_come() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::Runtime runtime({}, net::Logger(net::Level::error));
  std::vector<Socket> callers;
  std::string asked;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (begins_or_ends(now, event, port, effects)) return;
    if (std::holds_alternative<net::TimerFired>(event)) {
      callers.push_back(Socket::connected(port));
    } else if (std::holds_alternative<net::Accepted>(event)) {
      if (callers.size() > 1) return;
      callers[0].send("late");
      callers.push_back(Socket::connected(port));
      callers[1].send("last");
      effects.push_back(net::ExitIfIdle{0});
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      asked += received->bytes;
      effects.push_back(net::Consume{received->conn, received->bytes.size()});
      effects.push_back(net::ExitIfIdle{0});  // the other is still to be read
    }
  });
  CHECK_EQ(status, 0);
  CHECK(asked == "latelast" || asked == "lastlate");
}

// SIGTERM and SIGHUP that come before the loop runs: the one ended the program as a signal does, the other
// was lost and the program went on by settings that had been replaced.
void signals_before_the_loop_are_not_lost() {
  net::block_signals();
  ::raise(SIGHUP);
  ::raise(SIGTERM);
  net::Runtime runtime({}, net::Logger(net::Level::error));
  bool reload = false;
  bool stop = false;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) end_at_last(now, effects);
    reload = reload || std::holds_alternative<net::ReloadRequested>(event);
    stop = stop || std::holds_alternative<net::StopRequested>(event);
    if (is_too_long(event)) effects.push_back(net::Exit{1});
    if (reload && stop) effects.push_back(net::Exit{0});
  });
  CHECK_EQ(status, 0);
}

// A distributor's vote went out though the file that was to keep it could not be written.
void nothing_rests_on_a_file_that_is_not_written() {
  for (const bool needed : {true, false}) {
    const Socket other = Socket::bound(SOCK_DGRAM);
    net::Runtime runtime({}, net::Logger(net::Level::error));
    const int status = runtime.run([&](Time, const net::Event& event, net::Effects& effects) {
      if (!std::holds_alternative<net::Started>(event)) return;
      effects.push_back(net::Bind{net::Concern::fleet, "127.0.0.1:0"});
      effects.push_back(net::WriteFile{"/nowhere/at/all", "a vote", needed});
      effects.push_back(
          net::SendDatagram{net::Concern::fleet, "127.0.0.1:" + std::to_string(other.port()), "voted"});
      effects.push_back(net::Exit{0});
    });
    CHECK_EQ(status, needed ? 1 : 0);
    CHECK_EQ(other.some(64), needed ? "" : "voted");
  }
}

// Each in a thread of its own, with a loop of its own.
void several_run_side_by_side() {
  constexpr std::size_t kRuntimes = 8;
  const int port = Socket::bound(SOCK_STREAM).port();
  std::atomic<int> told{0};
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kRuntimes; ++i) {
    threads.emplace_back([&, i] {
      const auto own = std::this_thread::get_id();
      net::RuntimeLimits limits;
      limits.signals = false;
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
          ++told;
        } else if (const auto* failed = std::get_if<net::ConnectFailed>(&event)) {
          CHECK(failed == nullptr);
        } else if (std::holds_alternative<net::Received>(event)) {
          effects.push_back(net::Exit{0});  // of one that connected
        } else if (std::holds_alternative<net::Closed>(event)) {
          if (told == kRuntimes - 1) effects.push_back(net::Exit{0});  // of the one that listened
        }
      });
    });
  }
  for (std::thread& t : threads) t.join();
  CHECK_EQ(told.load(), static_cast<int>(kRuntimes) - 1);
}

}  // namespace

int main() {
  nothing_rests_on_a_file_that_is_not_written();
  several_run_side_by_side();
  signals_before_the_loop_are_not_lost();
  a_turn_of_the_loop_goes_through_few_descriptors();
  a_message_costs_one_turn_of_the_loop();
  a_connection_that_ended_in_the_same_turn_is_told_nothing_more();
  a_callers_end_is_told_ahead_of_what_is_unread();
  a_callers_end_is_told_while_reading_is_held_back();
  who_reads_nothing_is_given_up();
  a_message_is_taken_back_before_it_is_written();
  who_finds_no_place_waits_at_the_door();
  a_want_of_descriptors_is_told_and_passes();
  the_end_waits_for_what_is_not_written();
  the_end_waits_for_what_has_just_come();
  a_listening_socket_is_told_from_others();
  an_inherited_socket_is_shared();
  connections_that_stand_apart_have_a_bound_of_their_own();
  one_bound_holds_for_all_that_is_not_written();
  an_emptied_ring_keeps_little();
}
