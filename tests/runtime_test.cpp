// The runtime itself, on loopback sockets: what its callers can't see.
#include "net/runtime.h"

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
      effects.push_back(net::Send{open[0], "whole", true});
      for (const net::ConnId conn : open) effects.push_back(net::CloseQuiet{conn});
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
    if (common + runtime.counters().turned_away >= 9) effects.push_back(net::Exit{0});
    if (common == 2 && apart == 3) effects.push_back(net::Exit{0});
  });
  CHECK_EQ(status, 0);
  CHECK_EQ(apart, 3U);
  CHECK_EQ(common, 2U);
}

}  // namespace

int main() {
  a_listening_socket_is_told_from_others();
  an_inherited_socket_is_shared();
  connections_that_stand_apart_have_a_bound_of_their_own();
  one_bound_holds_for_all_that_is_not_written();
  an_emptied_ring_keeps_little();
}
