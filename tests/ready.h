// Fixture with one caller and connected setup servers.
#pragma once

#include "lab.h"

namespace graniterun::test {

constexpr ConnId kCaller{Concern::platform, 1};
inline const std::string kId = "9b1f03aa5c7e2d41";

inline std::string setup_line_with_key(const std::string& id = kId, int left = 1500, int dest = 0) {
  return setup_line(id, "voice", left, dest, "offer");
}

// A lab with one caller and all servers connected.
struct ConnectedLab : GatekeeperLab {
  explicit ConnectedLab(int servers = 2) : GatekeeperLab(config_for_tests(servers)) {
    CHECK_EQ(connects.size(), static_cast<std::size_t>(servers));
    s0 = connects[0].conn;
    if (servers > 1) s1 = connects[1].conn;
    bring_up();
    deliver(net::Accepted{kCaller});
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
  void establish_call(ConnId conn) {
    receive(kCaller, setup_line_with_key());
    receive(conn, server_answer(invite(conn), 200, "a"));
    messages(conn);
    lines(kCaller);
  }
  // Checks that a BYE for kId on that connection is forwarded to its caller.
  void expect_release_forwarded(ConnId conn) {
    lines(kCaller);
    receive(conn, server_bye(kId, 16));
    CHECK_EQ(line().type, "release");
  }
  ConnId s0{};
  ConnId s1{};
};

// The value of a counter of the gatekeeper; 0 if it has none of that name.
inline std::uint64_t counter_value(GatekeeperLab& lab, const std::string& name) {
  net::Effects effects;
  lab.gatekeeper.step(lab.now, net::CountersRequested{}, effects);
  for (const net::Effect& effect : effects) {
    const auto* print = std::get_if<net::Print>(&effect);
    const std::size_t at = print == nullptr ? std::string::npos : print->text.find(name + " ");
    if (at != std::string::npos) return std::stoull(print->text.substr(at + name.size() + 1));
  }
  return 0;
}

}  // namespace graniterun::test
