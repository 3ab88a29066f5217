// Setup servers that speak SIP over UDP and TCP, through the whole reducer; callers are the platform's.
#include "lab.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

constexpr ConnId kCaller{Concern::platform, 1};
const std::string kServers[] = {"127.0.0.1:9000", "127.0.0.1:9001"};

DeployConfig deploy(const std::string& transport) {
  DeployConfig d;
  d.sip_server_transport = transport;
  d.sip_servers_from = "127.0.0.1:5070";
  return d;
}

struct TrunkLab : Lab {
  explicit TrunkLab(const std::string& transport = "udp", const PlatformConfig& config = config_for_tests())
      : Lab(config, deploy(transport)) {
    tell(net::Accepted{kCaller});
  }
  void call(int left = 3000, const std::string& id = "00000000000000aa") {
    receive(kCaller, R"({"type":"setup","id":")" + id + R"(","fields":{"class":"voice","left":")" +
                         std::to_string(left) + R"(","key":"4711","extras":"dest:0"},"sdp":"offer"})" + "\n");
  }
  // Its first call is over for the caller's part.
  void leave(const std::string& how) {
    if (how == "close") {
      tell(net::PeerClosed{kCaller});
    } else if (how == "release") {
      receive(kCaller, R"({"type":"release","id":"00000000000000aa","fields":{},"cause":16})"
                       "\n");
    } else {
      pass(301ms);  // its deadline
    }
  }
  std::vector<std::pair<std::string, sip::Message>> to_servers() {
    std::vector<std::pair<std::string, sip::Message>> all;
    for (const net::SendDatagram& d : std::exchange(datagrams, {})) {
      CHECK(d.concern == Concern::trunk);
      const sip::ReadResult read = sip::read_datagram(d.bytes);
      CHECK(read.state == sip::ReadState::message);
      all.emplace_back(d.peer, read.message);
    }
    return all;
  }
  sip::Message one(const std::string& peer = kServers[0]) {
    const auto all = to_servers();
    CHECK_EQ(all.size(), 1U);
    CHECK_EQ(all[0].first, peer);
    return all[0].second;
  }
  void from(const std::string& peer, const std::string& text) {
    tell(net::Datagram{Concern::trunk, peer, text});
  }
};

std::string answer(const sip::Message& request, int status, const std::string& more = {},
                   const std::string& body = {}, const std::string& tag = "st") {
  sip::Message m = sip::answer_to(request, status, "x", tag);
  m.body = body;
  std::string text = m.text();
  return text.insert(text.find("Content-Length"), more);
}

std::string bye(const sip::Message& invite) {
  return "BYE sip:graniterun@127.0.0.1:5070 SIP/2.0\r\nVia: SIP/2.0/UDP "
         "127.0.0.1:9000;branch=z9hG4bKs\r\nFrom: " +
         std::string(invite.header("To")) + ";tag=st\r\nTo: " + std::string(invite.header("From")) +
         "\r\nCall-ID: " + std::string(invite.header("Call-ID")) +
         "\r\nCSeq: 1 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n";
}

const std::string kContact =
    "Record-Route: <sip:127.0.0.1:9100;lr>\r\nRecord-Route: <sip:127.0.0.1:9101;lr>\r\n"
    "Contact: <sip:s@127.0.0.1:9005>\r\n";

void a_call_stands_and_the_caller_ends_it() {
  TrunkLab lab;
  lab.call();
  const sip::Message invite = lab.one();
  CHECK_EQ(invite.body, "offer");
  lab.pass(600ms);  // timer A
  CHECK_EQ(lab.one().text(), invite.text());
  lab.from(kServers[0], answer(invite, 180));
  lab.pass(1s);
  CHECK(lab.to_servers().empty());
  lab.from(kServers[0], answer(invite, 200, kContact, "answer"));
  const sip::Message ack = lab.one();
  CHECK_EQ(ack.method, "ACK");
  CHECK_EQ(ack.uri, "sip:s@127.0.0.1:9005");
  CHECK_EQ(ack.header("Route"), "<sip:127.0.0.1:9101;lr>");
  CHECK_EQ(lab.lines(kCaller).at(0).type, "answer");
  lab.from(kServers[0], answer(invite, 200, kContact, "answer"));  // the ACK was lost
  CHECK_EQ(lab.one().method, "ACK");
  CHECK(lab.lines(kCaller).empty());
  lab.from(kServers[0], answer(invite, 200, kContact, "answer", "fork"));
  const auto forked = lab.to_servers();  // a second dialog is ended at once
  CHECK_EQ(forked.size(), 2U);
  CHECK_EQ(forked[1].second.method, "BYE");
  CHECK_EQ(sip::parameter(forked[1].second.header("To"), "tag"), "fork");
  lab.from(kServers[0], answer(forked[1].second, 200));
  lab.receive(kCaller, R"({"type":"release","id":"00000000000000aa","fields":{},"cause":16})"
                       "\n");
  const sip::Message end = lab.one();
  CHECK_EQ(end.method, "BYE");
  CHECK_EQ(end.header("CSeq"), "2 BYE");
  CHECK_EQ(sip::parameter(end.header("To"), "tag"), "st");
  lab.from(kServers[0], answer(end, 200));
  lab.pass(100s);
  CHECK(lab.to_servers().empty());
}

void the_server_ends_a_call() {
  TrunkLab lab;
  lab.call();
  const sip::Message invite = lab.one();
  lab.from(kServers[0], answer(invite, 200, kContact, "answer"));
  lab.one();
  lab.lines(kCaller);
  lab.from(kServers[0], bye(invite));
  CHECK_EQ(lab.one().status, 200);
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
  lab.from(kServers[0], bye(invite));  // repeated: the same answer, nothing to the caller
  CHECK_EQ(lab.one().status, 200);
  CHECK(lab.lines(kCaller).empty());
}

void a_refusal_is_acknowledged_and_the_call_goes_elsewhere() {
  TrunkLab lab;
  lab.call();
  lab.from(kServers[0], answer(lab.one(), 503));
  const auto sent = lab.to_servers();
  CHECK_EQ(sent.size(), 2U);
  CHECK_EQ(sent[0].second.method, "ACK");
  CHECK_EQ(sent[0].second.header("CSeq"), "1 ACK");
  CHECK_EQ(sent[1].first, kServers[1]);
  CHECK_EQ(sent[1].second.method, "INVITE");
}

void a_success_that_crosses_the_cancel_is_ended() {
  TrunkLab lab;
  lab.call(1000);
  const sip::Message invite = lab.one();
  lab.from(kServers[0], answer(invite, 100));
  lab.pass(1s);
  const sip::Message cancel = lab.one();
  CHECK_EQ(cancel.method, "CANCEL");
  CHECK_EQ(cancel.header("Via"), invite.header("Via"));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
  lab.from(kServers[0], answer(invite, 200, kContact, "answer"));
  const auto after = lab.to_servers();
  CHECK_EQ(after.size(), 2U);
  CHECK_EQ(after[0].second.method, "ACK");
  CHECK_EQ(after[1].second.method, "BYE");
  lab.from(kServers[0], answer(cancel, 200));
  lab.from(kServers[0], answer(after[1].second, 200));
  lab.pass(100s);
  CHECK(lab.to_servers().empty() && lab.lines(kCaller).empty());
}

void no_cancel_before_a_provisional_answer() {
  TrunkLab lab;
  lab.call(300);
  const sip::Message invite = lab.one();
  lab.pass(5s);  // nor is the INVITE repeated after it was given up
  CHECK(lab.to_servers().empty());
  lab.from(kServers[0], answer(invite, 100));
  CHECK_EQ(lab.one().method, "CANCEL");
}

void a_server_over_tcp_that_refuses_connections() {
  TrunkLab lab("tcp");
  lab.call();
  CHECK_EQ(lab.connects.size(), 1U);
  CHECK_EQ(lab.connects[0].address, kServers[0]);
  lab.tell(net::ConnectFailed{lab.connects[0].conn, true});
  CHECK_EQ(lab.connects.size(), 2U);
  CHECK_EQ(lab.connects[1].address, kServers[1]);
  const ConnId up = lab.connects[1].conn;
  lab.tell(net::Connected{up});
  const sip::Message invite = lab.messages(up).at(0);
  CHECK_EQ(invite.method, "INVITE");
  lab.receive(up, answer(invite, 200, kContact, "answer"));
  CHECK_EQ(lab.messages(up).at(0).method, "ACK");
  CHECK_EQ(lab.lines(kCaller).at(0).type, "answer");
  lab.tell(net::Closed{up, true});  // a call that stands belongs to no connection
  CHECK(lab.lines(kCaller).empty());
}

// Its success was lost and it got no ACK: it was told 481, and the call hung until its deadline.
void a_bye_ahead_of_the_answer_ends_the_call() {
  TrunkLab lab;
  lab.call();
  const sip::Message invite = lab.one();
  lab.from(kServers[0], bye(invite));
  CHECK_EQ(lab.one().status, 200);
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
  lab.from(kServers[0], answer(invite, 200, kContact, "answer"));  // late after all
  CHECK_EQ(lab.one().method, "ACK");
  lab.pass(5s);
  CHECK(lab.to_servers().empty() && lab.lines(kCaller).empty());
}

// Its connection broke while the INVITE was out; it stood there and is over, while the call waits here.
void a_bye_of_an_attempt_that_was_lost_ends_the_call() {
  TrunkLab lab("tcp");
  lab.call();
  const ConnId up = lab.connects.at(0).conn;
  lab.tell(net::Connected{up});
  const sip::Message invite = lab.messages(up).at(0);
  lab.tell(net::Closed{up, true});
  const ConnId next{Concern::trunk, 900};
  lab.tell(net::Accepted{next});
  lab.receive(next, bye(invite));
  CHECK_EQ(lab.messages(next).at(0).status, 200);
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
  lab.connects.clear();
  lab.pass(5s);
  CHECK(lab.connects.empty() && lab.lines(kCaller).empty());
}

const std::vector<std::string> kWays{"close", "release", "deadline"};

// Guards: no attempt begins for who has left. The connection is made for up to 2 s, and the INVITE was
// written when it came up, whoever had left meanwhile. Others' INVITEs that wait there go out.
void an_invite_that_waits_for_its_connection_is_taken_back() {
  for (const std::string& how : kWays) {
    for (const bool another : {false, true}) {
      TrunkLab lab("tcp");
      const ConnId other{Concern::platform, 2};
      lab.call(300);
      CHECK_EQ(lab.connects.size(), 1U);
      const ConnId up = lab.connects[0].conn;
      if (another) {
        lab.tell(net::Accepted{other});
        lab.receive(other, set_up_line("00000000000000bb"));
        CHECK_EQ(lab.connects.size(), 1U);
      }
      lab.pass(50ms);
      lab.leave(how);
      lab.tell(net::Connected{up});
      const auto sent = lab.messages(up);
      CHECK_EQ(sent.size(), another ? 1U : 0U);
      CHECK_EQ(lab.figure("tries"), another ? "1|c" : "0|c");
      if (another) CHECK(sent[0].header("Call-ID").starts_with("00000000000000bb"));
      lab.pass(40s);  // and nothing follows when its time would be over
      for (const sip::Message& m : lab.messages(up))
        CHECK(!m.header("Call-ID").starts_with("00000000000000aa"));
    }
  }
}

// Guards the same where the connection is up and the server reads nothing: the INVITE is in the ring. It is
// not counted as a try, and no CANCEL follows what was never there.
void an_invite_not_written_yet_is_taken_back() {
  for (const std::string& how : kWays) {
    TrunkLab lab("tcp");
    lab.call(300);
    const ConnId up = lab.connects.at(0).conn;
    lab.unwritten.insert(up);
    lab.tell(net::Connected{up});
    const sip::Message invite = lab.messages(up).at(0);
    CHECK_EQ(lab.figure("tries"), "1|c");
    lab.leave(how);
    CHECK_EQ(lab.figure("tries"), "0|c");
    CHECK(lab.messages(up).empty());
    lab.receive(up, answer(invite, 100));  // of nothing that is known here
    CHECK(lab.messages(up).empty());
    // The call's id is free again at once: nothing ran, so there is no guard.
    if (how != "release") continue;
    lab.call(3000);
    CHECK_EQ(lab.messages(up).at(0).method, "INVITE");
  }
}

// Guards the rule on draining servers: what is not written when its server is told draining goes elsewhere.
void an_invite_to_a_server_that_drains_is_taken_back() {
  for (const bool connected : {false, true}) {
    PlatformConfig config = config_for_tests();
    config.journal = "127.0.0.1:8500";
    TrunkLab lab("tcp", config);
    const ConnId journal = lab.connects.back().conn;
    lab.tell(net::Connected{journal});
    lab.connects.clear();
    lab.call();
    CHECK_EQ(lab.connects.size(), 1U);
    CHECK_EQ(lab.connects[0].address, kServers[0]);
    const ConnId up = lab.connects[0].conn;
    if (connected) {
      lab.unwritten.insert(up);
      lab.tell(net::Connected{up});
      CHECK_EQ(lab.messages(up).size(), 1U);
    }
    lab.receive(
        journal,
        "HTTP/1.1 200 OK\r\n\r\nid: 9\ndata: "
        R"({"hosts":{"targets":[{"uid":"s0","endpoint":"127.0.0.1:9000","pod_group":0,"state":"draining"}]}})"
        "\n\n");
    CHECK_EQ(lab.connects.size(), 2U);
    CHECK_EQ(lab.connects[1].address, kServers[1]);
    if (!connected) lab.tell(net::Connected{up});
    CHECK(lab.messages(up).empty());
    lab.tell(net::Connected{lab.connects[1].conn});
    CHECK_EQ(lab.messages(lab.connects[1].conn).at(0).method, "INVITE");
  }
}

// Guards RFC 3261 9.1 for what is written, over both transports: not sent again, and called off once and only
// after a provisional answer.
void a_written_invite_is_called_off_after_a_provisional_answer() {
  for (const std::string& how : kWays) {
    TrunkLab udp;
    udp.call(300);
    const sip::Message invite = udp.one();
    udp.leave(how);
    udp.pass(5s);
    CHECK(udp.to_servers().empty());
    udp.from(kServers[0], answer(invite, 180));
    CHECK_EQ(udp.one().method, "CANCEL");
    udp.from(kServers[0], answer(invite, 180));
    CHECK(udp.to_servers().empty());

    TrunkLab tcp("tcp");
    tcp.call(300);
    const ConnId up = tcp.connects.at(0).conn;
    tcp.tell(net::Connected{up});
    const sip::Message written = tcp.messages(up).at(0);
    tcp.leave(how);
    CHECK(tcp.messages(up).empty());
    tcp.receive(up, answer(written, 180));
    CHECK_EQ(tcp.messages(up).at(0).method, "CANCEL");
    tcp.receive(up, answer(written, 180));
    CHECK(tcp.messages(up).empty());
    CHECK_EQ(tcp.figure("tries"), "1|c");
  }
}

// Guards the deadline that a server is told: at most what the caller has left, with 0.15 s of slack, in
// either header, over both transports and after a wait for the connection. Expires was rounded up to whole
// seconds, and an INVITE that waited for its connection told the time as it was when the wait began.
void a_server_is_told_no_more_time_than_the_caller_has() {
  const auto check_time = [](const sip::Message& invite, int left) {
    const int exact = std::stoi(std::string(invite.header("Expires-Ms")));
    CHECK(exact <= left + 150 && exact >= left - 150);
    const std::string expires(invite.header("Expires"));
    if (left < 850) {
      CHECK(expires.empty());
      return;
    }
    CHECK(std::stoi(expires) * 1000 <= left + 150);
    CHECK(std::stoi(expires) * 1000 > left - 1000);
  };
  for (const int left : {300, 849, 900, 1000, 1001, 1849, 1850, 2400, 2999}) {
    TrunkLab udp;
    udp.call(left);
    check_time(udp.one(), left);
    for (const int wait : {0, 40, 250}) {
      TrunkLab tcp("tcp");
      tcp.call(left);
      const ConnId up = tcp.connects.at(0).conn;
      tcp.pass(Duration(std::chrono::milliseconds(wait)));
      tcp.tell(net::Connected{up});
      check_time(tcp.messages(up).at(0), left - wait);
    }
  }
}

}  // namespace

int main() {
  a_server_is_told_no_more_time_than_the_caller_has();
  an_invite_that_waits_for_its_connection_is_taken_back();
  an_invite_not_written_yet_is_taken_back();
  an_invite_to_a_server_that_drains_is_taken_back();
  a_written_invite_is_called_off_after_a_provisional_answer();
  a_bye_ahead_of_the_answer_ends_the_call();
  a_bye_of_an_attempt_that_was_lost_ends_the_call();
  a_call_stands_and_the_caller_ends_it();
  the_server_ends_a_call();
  a_refusal_is_acknowledged_and_the_call_goes_elsewhere();
  a_success_that_crosses_the_cancel_is_ended();
  no_cancel_before_a_provisional_answer();
  a_server_over_tcp_that_refuses_connections();
}
