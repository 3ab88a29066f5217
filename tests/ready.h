// Fixture with one caller and connected setup servers.
#pragma once

#include "lab.h"

namespace graniterun::test {

constexpr ConnId kCaller{Concern::platform, 1};
inline const std::string kId = "9b1f03aa5c7e2d41";

inline std::string set_up(const std::string& id = kId, int left = 1500, int dest = 0) {
  return set_up_line(id, "voice", left, dest, "offer");
}

// A lab with one caller and all servers connected.
struct Ready : Lab {
  explicit Ready(int servers = 2) : Lab(config_for_tests(servers)) {
    CHECK_EQ(connects.size(), static_cast<std::size_t>(servers));
    s0 = connects[0].conn;
    if (servers > 1) s1 = connects[1].conn;
    bring_up();
    tell(net::Accepted{kCaller});
  }
  sip::Message invite(ConnId conn) {
    const auto all = messages(conn);
    CHECK_EQ(all.size(), 1U);
    CHECK_EQ(all[0].method, "INVITE");
    return all[0];
  }
  jsonl::Message line() {
    const auto all = lines(kCaller);
    CHECK_EQ(all.size(), 1U);
    return all[0];
  }
  // Establishes the caller's call kId on that server connection and discards the messages that were sent.
  void stand(ConnId conn) {
    receive(kCaller, set_up());
    receive(conn, server_answer(invite(conn), 200, "a"));
    messages(conn);
    lines(kCaller);
  }
  // Checks that a BYE for kId on that connection is forwarded to its caller.
  void release_is_told_on(ConnId conn) {
    lines(kCaller);
    receive(conn, server_bye(kId, 16));
    CHECK_EQ(line().type, "release");
  }
  ConnId s0{};
  ConnId s1{};
};

}  // namespace graniterun::test
