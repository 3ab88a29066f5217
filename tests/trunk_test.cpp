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
  explicit TrunkLab(const std::string& transport = "udp") : Lab(config_for_tests(), deploy(transport)) {
    tell(net::Accepted{kCaller});
  }
  void call(int left = 3000) {
    receive(kCaller, R"({"type":"setup","id":"00000000000000aa","fields":{"class":"voice","left":")" +
                         std::to_string(left) + R"(","key":"4711","extras":"dest:0"},"sdp":"offer"})" + "\n");
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

}  // namespace

int main() {
  a_bye_ahead_of_the_answer_ends_the_call();
  a_bye_of_an_attempt_that_was_lost_ends_the_call();
  a_call_stands_and_the_caller_ends_it();
  the_server_ends_a_call();
  a_refusal_is_acknowledged_and_the_call_goes_elsewhere();
  a_success_that_crosses_the_cancel_is_ended();
  no_cancel_before_a_provisional_answer();
  a_server_over_tcp_that_refuses_connections();
}
