// Fixture of the tests of the SIP front end: a SIP caller over UDP and the complete reducer with a simulated
// clock, which runs RFC 3261's timers at once. The setup servers speak the platform's protocol.
#pragma once

#include "lab.h"

namespace graniterun::test {

inline const std::string kPeer = "127.0.0.1:5090";

inline DeployConfig deploy_for_tests() {
  DeployConfig d;
  d.sip_udp = "127.0.0.1:5060";
  d.sip_tcp = "127.0.0.1:5060";
  core::Contract poor;
  poor.team = "poor.example";
  poor.per_second = 1.0;
  poor.burst = 1.0;
  d.contracts.push_back(poor);
  return d;
}

struct Caller {
  std::string call_id = "c1";
  std::string team = "rich.example";
  std::string branch = "z9hG4bK1";
  std::string extra_headers{};
  std::string to_tag{};
  std::string transport = "UDP";
  std::string text(const std::string& method, int cseq, const std::string& body = {},
                   const std::string& cseq_method = {}) const {
    return method + " sip:4711@net SIP/2.0\r\nVia: SIP/2.0/" + transport +
           " 127.0.0.1:5090;branch=" + branch + "\r\nFrom: <sip:hiker@" + team +
           ">;tag=ft\r\nTo: <sip:4711@net>" + (to_tag.empty() ? "" : ";tag=" + to_tag) +
           "\r\nCall-ID: " + call_id + "\r\nCSeq: " + std::to_string(cseq) + " " +
           (cseq_method.empty() ? method : cseq_method) +
           "\r\nContact: <sip:hiker@127.0.0.1:5090>\r\nMax-Forwards: 70\r\n" + extra_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

struct SipLab : GatekeeperLab {
  explicit SipLab(int servers = 2) : SipLab(config_for_tests(servers)) {}
  explicit SipLab(const PlatformConfig& config, Time start = kLabStart)
      : GatekeeperLab(config, deploy_for_tests(), start) {
    const std::size_t servers = connects.size();
    s0 = connects.at(0).conn;
    if (servers > 1) s1 = connects.at(1).conn;
    bring_up();
  }
  void udp(const std::string& text) { deliver(net::Datagram{Concern::sip, kPeer, text}); }
  std::vector<sip::Message> messages_to_caller() {
    std::vector<sip::Message> all;
    for (const net::SendDatagram& d : std::exchange(datagrams, {})) {
      CHECK_EQ(d.peer, kPeer);
      const sip::ReadResult read = sip::read_datagram(d.bytes);
      CHECK(read.state == sip::ReadState::message);
      all.push_back(read.message);
    }
    return all;
  }
  sip::Message only_message() {
    const auto all = messages_to_caller();
    CHECK_EQ(all.size(), 1U);
    return all[0];
  }
  // Takes the one INVITE sent to either server since the last call.
  std::pair<ConnId, sip::Message> take_invite() {
    std::vector<std::pair<ConnId, sip::Message>> found;
    for (const ConnId conn : {s0, s1}) {
      for (const sip::Message& m : messages(conn)) {
        if (m.method == "INVITE") found.emplace_back(conn, m);
      }
    }
    CHECK_EQ(found.size(), 1U);
    return found[0];
  }
  bool nothing_sent_to_servers() { return take_sent(s0).empty() && take_sent(s1).empty(); }
  // Establishes a call; returns the gatekeeper's tag.
  std::string establish(Caller& caller) {
    udp(caller.text("INVITE", 1, "offer"));
    CHECK_EQ(only_message().status, 100);
    std::tie(server_conn, invite) = take_invite();
    receive(server_conn, server_answer(invite, 200, "answer"));
    CHECK_EQ(messages(server_conn).at(0).method, "ACK");
    const sip::Message ok = only_message();
    CHECK_EQ(ok.status, 200);
    CHECK_EQ(ok.body, "answer");
    CHECK(!ok.header("Contact").empty());
    caller.to_tag = sip::parameter(ok.header("To"), "tag");
    CHECK(!caller.to_tag.empty());
    return caller.to_tag;
  }
  void acknowledge(const Caller& caller, int cseq = 1) {
    Caller ack = caller;
    ack.branch += "a";
    udp(ack.text("ACK", cseq));
  }
  // A live server notifies each second.
  void advance_with_live_server(Duration span) {
    for (; span > 0s; span -= std::min<Duration>(span, 1s)) {
      advance(std::min<Duration>(span, 1s));
      receive(server_conn,
              "NOTIFY sip:x@net SIP/2.0\r\nCall-ID: n\r\nP-Load: x0:30;x1:40\r\nContent-Length: 0\r\n\r\n");
    }
  }
  ConnId s0{}, s1{}, server_conn{};
  sip::Message invite{};
};

}  // namespace graniterun::test
