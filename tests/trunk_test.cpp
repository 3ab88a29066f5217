// Tests SipTrunk through the whole gatekeeper reducer: setup servers that speak standard SIP over UDP or TCP,
// and a caller of the platform.
#include "lab.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

constexpr ConnId kCaller{Concern::platform, 1};
const std::string kServers[] = {"127.0.0.1:9000", "127.0.0.1:9001"};

DeployConfig deploy(const std::string& transport) {
  DeployConfig config;
  config.sip_server_transport = transport;
  config.sip_servers_from = "127.0.0.1:5070";
  return config;
}

struct TrunkLab : GatekeeperLab {
  explicit TrunkLab(const std::string& transport = "udp", const PlatformConfig& config = config_for_tests(),
                    Time start = kLabStart)
      : GatekeeperLab(config, deploy(transport), start) {
    deliver(net::Accepted{kCaller});
  }
  void call(int time_left_ms = 3000, const std::string& id = "00000000000000aa") {
    receive(kCaller, R"({"type":"setup","id":")" + id + R"(","fields":{"class":"voice","left":")" +
                         std::to_string(time_left_ms) +
                         R"(","key":"4711","extras":"dest:0"},"sdp":"offer"})" + "\n");
  }
  // Ends the first call from the caller's side.
  void end_call(const std::string& ending) {
    if (ending == "close") {
      deliver(net::PeerClosed{kCaller});
    } else if (ending == "release") {
      receive(kCaller, R"({"type":"release","id":"00000000000000aa","fields":{},"cause":16})"
                       "\n");
    } else {
      advance(301ms);  // past its deadline
    }
  }
  std::vector<std::pair<std::string, sip::Message>> take_datagrams_to_servers() {
    std::vector<std::pair<std::string, sip::Message>> all;
    for (const net::SendDatagram& d : std::exchange(datagrams, {})) {
      CHECK(d.concern == Concern::trunk);
      const sip::ReadResult read = sip::read_datagram(d.bytes);
      CHECK(read.state == sip::ReadState::message);
      all.emplace_back(d.peer, read.message);
    }
    return all;
  }
  sip::Message take_one(const std::string& peer = kServers[0]) {
    const auto all = take_datagrams_to_servers();
    CHECK_EQ(all.size(), 1U);
    CHECK_EQ(all[0].first, peer);
    return all[0].second;
  }
  void receive_from(const std::string& peer, const std::string& text) {
    deliver(net::Datagram{Concern::trunk, peer, text});
  }
};

std::string answer(const sip::Message& request, int status, const std::string& extra_headers = {},
                   const std::string& body = {}, const std::string& tag = "st") {
  sip::Message message = sip::answer_to(request, status, "x", tag);
  message.body = body;
  std::string text = message.text();
  return text.insert(text.find("Content-Length"), extra_headers);
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

void call_is_established_and_released_by_caller() {
  TrunkLab lab;
  lab.call();
  const sip::Message invite = lab.take_one();
  CHECK_EQ(invite.body, "offer");
  lab.advance(600ms);  // timer A retransmits the INVITE
  CHECK_EQ(lab.take_one().text(), invite.text());
  lab.receive_from(kServers[0], answer(invite, 180));
  lab.advance(1s);
  CHECK(lab.take_datagrams_to_servers().empty());
  lab.receive_from(kServers[0], answer(invite, 200, kContact, "answer"));
  const sip::Message ack = lab.take_one();
  CHECK_EQ(ack.method, "ACK");
  CHECK_EQ(ack.uri, "sip:s@127.0.0.1:9005");
  CHECK_EQ(ack.header("Route"), "<sip:127.0.0.1:9101;lr>");
  CHECK_EQ(lab.lines(kCaller).at(0).type, "answer");
  lab.receive_from(kServers[0],
                   answer(invite, 200, kContact, "answer"));  // retransmitted, as if the ACK was lost
  CHECK_EQ(lab.take_one().method, "ACK");
  CHECK(lab.lines(kCaller).empty());
  lab.receive_from(kServers[0], answer(invite, 200, kContact, "answer", "fork"));
  const auto forked = lab.take_datagrams_to_servers();  // a second dialog is ended at once
  CHECK_EQ(forked.size(), 2U);
  CHECK_EQ(forked[1].second.method, "BYE");
  CHECK_EQ(sip::parameter(forked[1].second.header("To"), "tag"), "fork");
  lab.receive_from(kServers[0], answer(forked[1].second, 200));
  lab.receive(kCaller, R"({"type":"release","id":"00000000000000aa","fields":{},"cause":16})"
                       "\n");
  const sip::Message end = lab.take_one();
  CHECK_EQ(end.method, "BYE");
  CHECK_EQ(end.header("CSeq"), "2 BYE");
  CHECK_EQ(sip::parameter(end.header("To"), "tag"), "st");
  lab.receive_from(kServers[0], answer(end, 200));
  lab.advance(100s);
  CHECK(lab.take_datagrams_to_servers().empty());
}

void server_releases_call() {
  TrunkLab lab;
  lab.call();
  const sip::Message invite = lab.take_one();
  lab.receive_from(kServers[0], answer(invite, 200, kContact, "answer"));
  lab.take_one();
  lab.lines(kCaller);
  lab.receive_from(kServers[0], bye(invite));
  CHECK_EQ(lab.take_one().status, 200);
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
  lab.receive_from(kServers[0], bye(invite));  // a retransmission gets the same response
  CHECK_EQ(lab.take_one().status, 200);
  CHECK(lab.lines(kCaller).empty());
}

// Guards against a release that is answered 481 and reaches no caller: the process that gets the BYE was
// restarted since the call was set up, or is the other one of an upgrade. No record of the call is left, so
// only a BYE whose tag this gatekeeper made for its Call-ID counts.
void bye_of_a_call_of_a_former_process_is_forwarded() {
  TrunkLab former;
  former.call();
  const sip::Message invite = former.take_one();
  former.receive_from(kServers[0], answer(invite, 200, kContact, "answer"));

  PlatformConfig config = config_for_tests();
  config.seed += 1;  // new with each start
  TrunkLab lab("udp", config);
  lab.call(3000, "00000000000000bb");
  lab.take_one();
  const std::string request = bye(invite);
  const std::string tag(sip::parameter(invite.header("From"), "tag"));
  const std::string other_tag = tag.substr(0, tag.size() - 1) + (tag.ends_with('0') ? '1' : '0');
  int branch = 0;
  // The BYE with a text replaced, in a transaction of its own.
  const auto changed = [&](const std::string& from, const std::string& to) {
    std::string text = request;
    text.replace(text.find(from), from.size(), to);
    return text.replace(text.find("z9hG4bKs"), 8, "z9hG4bKs" + std::to_string(++branch));
  };
  for (const std::string& forged :
       {changed(tag, other_tag), changed(";tag=" + tag, ""),
        changed("00000000000000aa-", "00000000000000ab-"),
        changed("Call-ID: 00000000000000aa-", "Call-ID: x-"), changed("BYE sip:", "INFO sip:"),
        changed("@127.0.0.1:5070\r\nCSeq", "@127.0.0.1:5071\r\nCSeq")}) {
    lab.receive_from(kServers[0], forged);
    CHECK(lab.take_one().status >= 400);
    CHECK(lab.lines(kCaller).empty());
  }
  lab.receive_from(kServers[0], request);
  CHECK_EQ(lab.take_one().status, 200);
  const jsonl::Message release = lab.lines(kCaller).at(0);
  CHECK_EQ(release.type, "release");
  CHECK_EQ(release.id, "00000000000000aa");
  CHECK_EQ(*release.cause, 16);
  // A repeat, also in a new transaction, gets the same response and has no second effect.
  for (const std::string& repeat : {request, changed("1 BYE", "2 BYE")}) {
    lab.receive_from(kServers[0], repeat);
    CHECK_EQ(lab.take_one().status, 200);
    CHECK(lab.lines(kCaller).empty());
  }
}

// The same over TCP, on a connection that the server opens to the Contact.
void bye_over_tcp_of_a_call_of_a_former_process_is_forwarded() {
  TrunkLab former("tcp");
  former.call();
  const ConnId up = former.bring_up(kServers[0]).at(0);
  const sip::Message invite = former.messages(up).at(0);
  TrunkLab lab("tcp");
  const ConnId accepted{Concern::trunk, 1};
  lab.deliver(net::Accepted{accepted});
  std::string request = bye(invite);
  request.replace(request.find("SIP/2.0/UDP"), 11, "SIP/2.0/TCP");
  lab.receive(accepted, request);
  CHECK_EQ(lab.messages(accepted).at(0).status, 200);
  const jsonl::Message release = lab.lines(kCaller).at(0);
  CHECK(release.type == "release" && release.id == "00000000000000aa");
}

// Guards against ids that repeat after a restart: a server would take a new INVITE for a repeat of an old
// one, or the release of a standing call for that of a new one.
void ids_do_not_repeat_after_a_restart() {
  std::set<std::string> branches;
  std::set<std::string> tags;
  for (int start = 0; start < 3; ++start) {
    TrunkLab lab("udp", config_for_tests(), kLabStart + 1s * start);
    lab.call();
    const sip::Message invite = lab.take_one();
    branches.insert(std::string(invite.header("Via")));
    tags.insert(std::string(invite.header("From")));
  }
  CHECK_EQ(branches.size(), 3U);
  CHECK_EQ(tags.size(), 3U);
}

void rejection_is_acknowledged_and_call_is_retried_elsewhere() {
  TrunkLab lab;
  lab.call();
  lab.receive_from(kServers[0], answer(lab.take_one(), 503));
  const auto sent = lab.take_datagrams_to_servers();
  CHECK_EQ(sent.size(), 2U);
  CHECK_EQ(sent[0].second.method, "ACK");
  CHECK_EQ(sent[0].second.header("CSeq"), "1 ACK");
  CHECK_EQ(sent[1].first, kServers[1]);
  CHECK_EQ(sent[1].second.method, "INVITE");
}

void late_success_is_released() {
  TrunkLab lab;
  lab.call(1000);
  const sip::Message invite = lab.take_one();
  lab.receive_from(kServers[0], answer(invite, 100));
  lab.advance(1s);
  const sip::Message cancel = lab.take_one();
  CHECK_EQ(cancel.method, "CANCEL");
  CHECK_EQ(cancel.header("Via"), invite.header("Via"));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
  lab.receive_from(kServers[0], answer(invite, 200, kContact, "answer"));
  const auto after = lab.take_datagrams_to_servers();
  CHECK_EQ(after.size(), 2U);
  CHECK_EQ(after[0].second.method, "ACK");
  CHECK_EQ(after[1].second.method, "BYE");
  lab.receive_from(kServers[0], answer(cancel, 200));
  lab.receive_from(kServers[0], answer(after[1].second, 200));
  lab.advance(100s);
  CHECK(lab.take_datagrams_to_servers().empty() && lab.lines(kCaller).empty());
}

void no_cancel_before_provisional_response() {
  TrunkLab lab;
  lab.call(300);
  const sip::Message invite = lab.take_one();
  lab.advance(5s);  // an abandoned INVITE is not retransmitted either
  CHECK(lab.take_datagrams_to_servers().empty());
  lab.receive_from(kServers[0], answer(invite, 100));
  CHECK_EQ(lab.take_one().method, "CANCEL");
}

void refused_tcp_connection_fails_over_to_next_server() {
  TrunkLab lab("tcp");
  lab.call();
  CHECK_EQ(lab.connects.size(), 1U);
  CHECK_EQ(lab.connects[0].address, kServers[0]);
  lab.deliver(net::ConnectFailed{lab.connects[0].conn, true});
  CHECK_EQ(lab.connects.size(), 2U);
  CHECK_EQ(lab.connects[1].address, kServers[1]);
  const ConnId conn = lab.connects[1].conn;
  lab.deliver(net::Connected{conn});
  const sip::Message invite = lab.messages(conn).at(0);
  CHECK_EQ(invite.method, "INVITE");
  lab.receive(conn, answer(invite, 200, kContact, "answer"));
  CHECK_EQ(lab.messages(conn).at(0).method, "ACK");
  CHECK_EQ(lab.lines(kCaller).at(0).type, "answer");
  lab.deliver(net::Closed{conn, true});  // an established call outlives its connection
  CHECK(lab.lines(kCaller).empty());
}

// Guards a server whose 200 response was lost and which releases the call without an ACK: rejecting its BYE
// with 481 left the call pending until its deadline.
void bye_before_response_ends_call() {
  TrunkLab lab;
  lab.call();
  const sip::Message invite = lab.take_one();
  lab.receive_from(kServers[0], bye(invite));
  CHECK_EQ(lab.take_one().status, 200);
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
  lab.receive_from(kServers[0], answer(invite, 200, kContact, "answer"));  // the late 200
  CHECK_EQ(lab.take_one().method, "ACK");
  lab.advance(5s);
  CHECK(lab.take_datagrams_to_servers().empty() && lab.lines(kCaller).empty());
}

// Guards against a retry of a released call: the connection breaks while the INVITE is outstanding, the call
// is established at the server, and its BYE comes on another connection.
void bye_for_attempt_with_lost_connection_ends_call() {
  TrunkLab lab("tcp");
  lab.call();
  const ConnId conn = lab.connects.at(0).conn;
  lab.deliver(net::Connected{conn});
  const sip::Message invite = lab.messages(conn).at(0);
  lab.deliver(net::Closed{conn, true});
  const ConnId next{Concern::trunk, 900};
  lab.deliver(net::Accepted{next});
  lab.receive(next, bye(invite));
  CHECK_EQ(lab.messages(next).at(0).status, 200);
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
  lab.connects.clear();
  lab.advance(5s);
  CHECK(lab.connects.empty() && lab.lines(kCaller).empty());
}

const std::vector<std::string> kEndings{"close", "release", "deadline"};

// Guards against an attempt for a caller that has left. A connect takes up to 2 s, and an INVITE that waits
// for it must not be written after its caller left. INVITEs of other calls on the same connection are sent.
void invite_waiting_for_connection_is_withdrawn() {
  for (const std::string& ending : kEndings) {
    for (const bool other_call_waits : {false, true}) {
      TrunkLab lab("tcp");
      const ConnId other{Concern::platform, 2};
      lab.call(300);
      CHECK_EQ(lab.connects.size(), 1U);
      const ConnId conn = lab.connects[0].conn;
      if (other_call_waits) {
        lab.deliver(net::Accepted{other});
        lab.receive(other, setup_line("00000000000000bb"));
        CHECK_EQ(lab.connects.size(), 1U);
      }
      lab.advance(50ms);
      lab.end_call(ending);
      lab.deliver(net::Connected{conn});
      const auto sent = lab.messages(conn);
      CHECK_EQ(sent.size(), other_call_waits ? 1U : 0U);
      CHECK_EQ(lab.telemetry_metric("tries"), other_call_waits ? "1|c" : "0|c");
      if (other_call_waits) CHECK(sent[0].header("Call-ID").starts_with("00000000000000bb"));
      lab.advance(40s);  // nothing follows after the transaction timeout
      for (const sip::Message& m : lab.messages(conn))
        CHECK(!m.header("Call-ID").starts_with("00000000000000aa"));
    }
  }
}

// Guards the same for an open connection whose server does not read: the INVITE is in the send buffer. It is
// not counted as an attempt and not followed by a CANCEL.
void unwritten_invite_is_withdrawn() {
  for (const std::string& ending : kEndings) {
    TrunkLab lab("tcp");
    lab.call(300);
    const ConnId conn = lab.connects.at(0).conn;
    lab.unwritten.insert(conn);
    lab.deliver(net::Connected{conn});
    const sip::Message invite = lab.messages(conn).at(0);
    CHECK_EQ(lab.telemetry_metric("tries"), "1|c");
    lab.end_call(ending);
    CHECK_EQ(lab.telemetry_metric("tries"), "0|c");
    CHECK(lab.messages(conn).empty());
    lab.receive(conn, answer(invite, 100));  // a response to an unknown INVITE
    CHECK(lab.messages(conn).empty());
    // The call's id may be reused at once: no attempt ran, so there is no release guard.
    if (ending != "release") continue;
    lab.call(3000);
    CHECK_EQ(lab.messages(conn).at(0).method, "INVITE");
  }
}

// Guards the rule on draining servers: an INVITE that is unwritten when its server begins to drain is sent to
// another server.
void invite_to_draining_server_is_withdrawn() {
  for (const bool connected : {false, true}) {
    PlatformConfig config = config_for_tests();
    config.journal = "127.0.0.1:8500";
    TrunkLab lab("tcp", config);
    const ConnId journal = lab.connects.back().conn;
    lab.deliver(net::Connected{journal});
    lab.connects.clear();
    lab.call();
    CHECK_EQ(lab.connects.size(), 1U);
    CHECK_EQ(lab.connects[0].address, kServers[0]);
    const ConnId conn = lab.connects[0].conn;
    if (connected) {
      lab.unwritten.insert(conn);
      lab.deliver(net::Connected{conn});
      CHECK_EQ(lab.messages(conn).size(), 1U);
    }
    lab.receive(
        journal,
        "HTTP/1.1 200 OK\r\n\r\nid: 9\ndata: "
        R"({"hosts":{"targets":[{"uid":"s0","endpoint":"127.0.0.1:9000","pod_group":0,"state":"draining"}]}})"
        "\n\n");
    CHECK_EQ(lab.connects.size(), 2U);
    CHECK_EQ(lab.connects[1].address, kServers[1]);
    if (!connected) lab.deliver(net::Connected{conn});
    CHECK(lab.messages(conn).empty());
    lab.deliver(net::Connected{lab.connects[1].conn});
    CHECK_EQ(lab.messages(lab.connects[1].conn).at(0).method, "INVITE");
  }
}

// Guards RFC 3261 9.1 for a written INVITE over both transports: it is not retransmitted, and is cancelled
// once and only after a provisional response.
void written_invite_is_cancelled_after_provisional_response() {
  for (const std::string& ending : kEndings) {
    TrunkLab udp;
    udp.call(300);
    const sip::Message invite = udp.take_one();
    udp.end_call(ending);
    udp.advance(5s);
    CHECK(udp.take_datagrams_to_servers().empty());
    udp.receive_from(kServers[0], answer(invite, 180));
    CHECK_EQ(udp.take_one().method, "CANCEL");
    udp.receive_from(kServers[0], answer(invite, 180));
    CHECK(udp.take_datagrams_to_servers().empty());

    TrunkLab tcp("tcp");
    tcp.call(300);
    const ConnId conn = tcp.connects.at(0).conn;
    tcp.deliver(net::Connected{conn});
    const sip::Message written = tcp.messages(conn).at(0);
    tcp.end_call(ending);
    CHECK(tcp.messages(conn).empty());
    tcp.receive(conn, answer(written, 180));
    CHECK_EQ(tcp.messages(conn).at(0).method, "CANCEL");
    tcp.receive(conn, answer(written, 180));
    CHECK(tcp.messages(conn).empty());
    CHECK_EQ(tcp.telemetry_metric("tries"), "1|c");
  }
}

// Establishes the call "aa" at the first server; returns its INVITE.
sip::Message establish_at_first_server(TrunkLab& lab) {
  lab.call();
  const sip::Message invite = lab.take_one();
  lab.receive_from(kServers[0], answer(invite, 200, kContact, "answer"));
  lab.take_datagrams_to_servers();
  lab.lines(kCaller);
  return invite;
}

void list_server(TrunkLab& lab, const std::string& state) {
  const ConnId discovery{Concern::discovery, 1};
  lab.deliver(net::Connected{discovery});
  lab.receive(discovery,
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 4\ndata: "
              R"({"pos":4,"hosts":{"rev":2,"all":false,"targets":[{"uid":"s0","endpoint":"127.0.0.1:9000",)"
              R"("az":"","pod_group":0,"state":")" +
                  state + R"(","boot_ms":0}]}})" + "\n\n");
}

std::size_t count_releases(TrunkLab& lab) {
  const auto lines = lab.lines(kCaller);
  return static_cast<std::size_t>(
      std::count_if(lines.begin(), lines.end(), [](const auto& line) { return line.type == "release"; }));
}

// Guards against a retransmission as the first INVITE that a draining server gets, after the drain limit.
void invite_over_udp_is_not_retransmitted_to_a_draining_server() {
  for (const std::string state : {"draining", "gone"}) {
    PlatformConfig config = config_for_tests();
    config.journal = "127.0.0.1:8500";
    TrunkLab lab("udp", config);
    lab.call();
    lab.take_one();
    list_server(lab, state);
    lab.advance(2900ms);
    CHECK(lab.take_datagrams_to_servers().empty());
  }
}

// A call whose server vanishes is released within 8 s of its end, in every state of the endpoint list.
// Nothing watched it: it stayed established for good unless the list told the removal.
void call_at_vanished_server_is_released_in_every_state_of_the_list() {
  for (const std::string state : {"ready", "draining", "gone"}) {
    TrunkLab lab;
    establish_at_first_server(lab);
    list_server(lab, state);
    lab.advance(1s);
    CHECK_EQ(count_releases(lab), 0U);
    lab.advance(6s);
    CHECK_EQ(count_releases(lab), 0U);  // a server that hangs for 7 s keeps its calls
    lab.advance(1s);
    CHECK_EQ(count_releases(lab), 1U);
  }
}

// A removed server that goes on serving answers the probes: its call stands until its BYE.
void call_at_removed_server_stands_until_its_release() {
  TrunkLab lab;
  const sip::Message invite = establish_at_first_server(lab);
  list_server(lab, "gone");
  std::size_t probes = 0;
  for (int i = 0; i < 100; ++i) {
    lab.advance(100ms);
    for (const auto& [peer, request] : lab.take_datagrams_to_servers()) {
      CHECK_EQ(request.method, "OPTIONS");
      CHECK_EQ(request.header("Call-ID"), invite.header("Call-ID"));
      lab.receive_from(peer, answer(request, 200));
      ++probes;
    }
  }
  CHECK(probes > 0);
  CHECK_EQ(count_releases(lab), 0U);
  lab.receive_from(kServers[0], bye(invite));
  CHECK_EQ(count_releases(lab), 1U);
}

// The INVITE is outstanding when the list removes its server.
void call_established_after_removal_of_its_server_is_released() {
  TrunkLab lab;
  lab.call();
  const sip::Message invite = lab.take_one();
  list_server(lab, "gone");
  lab.receive_from(kServers[0], answer(invite, 200, kContact, "answer"));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "answer");
  lab.advance(8s);
  CHECK_EQ(count_releases(lab), 1U);
}

// A server that has started again does not know the dialogs from before.
void call_unknown_to_its_restarted_server_is_released() {
  TrunkLab lab;
  establish_at_first_server(lab);
  lab.advance(1300ms);
  const sip::Message probe = lab.take_one("127.0.0.1:9000");
  lab.receive_from(kServers[0], answer(probe, 481));
  CHECK_EQ(count_releases(lab), 1U);
}

// A BYE ends the call whatever its cause: one with cause 0 was taken for a lost connection.
void bye_with_cause_zero_releases_call() {
  TrunkLab lab;
  std::string text = bye(establish_at_first_server(lab));
  text.replace(text.find("cause=16"), 8, "cause=0");
  lab.receive_from(kServers[0], text);
  CHECK_EQ(count_releases(lab), 1U);
}

// A connect that fails later says nothing about a call that is established.
void failed_connect_does_not_end_established_call() {
  TrunkLab lab("tcp");
  lab.call();
  const ConnId conn = lab.connects.back().conn;
  lab.deliver(net::Connected{conn});
  const sip::Message invite = lab.messages(conn).at(0);
  lab.receive(conn, answer(invite, 200, kContact, "answer"));
  lab.lines(kCaller);
  lab.deliver(net::Closed{conn, true});
  lab.advance(1300ms);  // the probe opens a connection
  CHECK(!(lab.connects.back().conn == conn));
  lab.deliver(net::ConnectFailed{lab.connects.back().conn, true, false});
  CHECK_EQ(count_releases(lab), 0U);
  lab.advance(5900ms);  // a server that hangs for 7 s keeps its calls
  CHECK_EQ(count_releases(lab), 0U);
  lab.advance(800ms);
  CHECK_EQ(count_releases(lab), 1U);
}

const std::string kFirstCall = "00000000000000aa";

// Plays a server that answers INVITEs with `invite_status` and probes with `probe_status`, while callers
// place calls; whether the first call was released meanwhile.
bool is_first_call_released(TrunkLab& lab, Duration span, int invite_status, int probe_status) {
  static int last_call = 0;
  bool released = false;
  for (Duration time{}; time < span; time += 100ms) {
    lab.call(500, "00000000000" + std::to_string(10'000 + ++last_call));
    lab.advance(100ms);
    for (const auto& [peer, request] : lab.take_datagrams_to_servers()) {
      if (request.method == "INVITE") lab.receive_from(peer, answer(request, invite_status));
      if (request.method == "OPTIONS") lab.receive_from(peer, answer(request, probe_status));
    }
    for (const auto& line : lab.lines(kCaller)) released |= line.id == kFirstCall && line.type == "release";
  }
  return released;
}

// Each of them moved the end of the call on (report 2aa1f5).
void responses_that_confirm_no_dialog_do_not_keep_a_call_that_is_over() {
  for (const int invite_status : {100, 180, 486, 503}) {
    TrunkLab lab;
    establish_at_first_server(lab);
    CHECK(is_first_call_released(lab, 8s, invite_status, 503));
  }
}

void call_at_a_busy_server_stands_until_its_release() {
  TrunkLab lab;
  const sip::Message invite = establish_at_first_server(lab);
  CHECK(!is_first_call_released(lab, 12s, 503, 200));
  lab.receive_from(kServers[0], bye(invite));
  CHECK_EQ(count_releases(lab), 1U);
}

// The new process answers for its own dialog only, and does not answer for the one of before.
void younger_dialog_does_not_keep_an_older_one() {
  TrunkLab lab;
  const sip::Message first = establish_at_first_server(lab);
  lab.call(3000, "00000000000000bb");
  const sip::Message second = lab.take_one();
  lab.receive_from(kServers[0], answer(second, 200, kContact, "answer"));
  std::vector<std::string> released;
  for (Duration time{}; time < 8s; time += 100ms) {
    lab.advance(100ms);
    for (const auto& [peer, request] : lab.take_datagrams_to_servers()) {
      if (request.method == "OPTIONS" && request.header("Call-ID") == second.header("Call-ID"))
        lab.receive_from(peer, answer(request, 200));
    }
    for (const auto& line : lab.lines(kCaller)) {
      if (line.type == "release") released.push_back(line.id);
    }
  }
  CHECK_EQ(released.size(), 1U);
  CHECK_EQ(released.at(0), kFirstCall);
}

// The server does not answer for its oldest dialog, and answers for the others when they are probed.
void unanswered_oldest_dialog_does_not_end_the_others() {
  constexpr int kDialogs = 40;
  const std::string oldest = "0";
  upstream::DialogWatch watch;
  Time now = Time{} + 100s;
  for (int i = 0; i < kDialogs; ++i) watch.established(now, ServerId{1}, std::to_string(i * 7 % kDialogs));
  std::vector<std::string> over;
  for (Duration time{}; time < 20s; time += 50ms) {
    now += 50ms;
    const auto decision = watch.check(now);
    for (const std::string& call_id : decision.probes) {
      if (call_id != oldest) watch.confirmed(now, ServerId{1}, call_id);
    }
    for (const std::string& call_id : decision.over) {
      over.push_back(call_id);
      watch.ended(ServerId{1}, call_id);
    }
  }
  CHECK_EQ(over.size(), 1U);
  CHECK_EQ(over.at(0), oldest);
}

// Guards the deadline that is sent to a server: at most the caller's time left plus 0.15 s, in either header,
// over both transports and after a wait for the connection. It fails if Expires is rounded up to whole
// seconds, or if an INVITE that waited for its connection has the time left at the begin of the wait.
void time_left_sent_to_server_never_exceeds_the_callers() {
  const auto check_time = [](const sip::Message& invite, int time_left_ms) {
    const int exact = std::stoi(std::string(invite.header("Expires-Ms")));
    CHECK(exact <= time_left_ms + 150 && exact >= time_left_ms - 150);
    const std::string expires(invite.header("Expires"));
    if (time_left_ms < 850) {
      CHECK(expires.empty());
      return;
    }
    CHECK(std::stoi(expires) * 1000 <= time_left_ms + 150);
    CHECK(std::stoi(expires) * 1000 > time_left_ms - 1000);
  };
  for (const int time_left_ms : {300, 849, 900, 1000, 1001, 1849, 1850, 2400, 2999}) {
    TrunkLab udp;
    udp.call(time_left_ms);
    check_time(udp.take_one(), time_left_ms);
    for (const int wait_ms : {0, 40, 250}) {
      TrunkLab tcp("tcp");
      tcp.call(time_left_ms);
      const ConnId conn = tcp.connects.at(0).conn;
      tcp.advance(Duration(std::chrono::milliseconds(wait_ms)));
      tcp.deliver(net::Connected{conn});
      check_time(tcp.messages(conn).at(0), time_left_ms - wait_ms);
    }
  }
}

}  // namespace

int main() {
  time_left_sent_to_server_never_exceeds_the_callers();
  invite_over_udp_is_not_retransmitted_to_a_draining_server();
  call_at_vanished_server_is_released_in_every_state_of_the_list();
  call_at_removed_server_stands_until_its_release();
  call_established_after_removal_of_its_server_is_released();
  call_unknown_to_its_restarted_server_is_released();
  responses_that_confirm_no_dialog_do_not_keep_a_call_that_is_over();
  call_at_a_busy_server_stands_until_its_release();
  younger_dialog_does_not_keep_an_older_one();
  unanswered_oldest_dialog_does_not_end_the_others();
  bye_with_cause_zero_releases_call();
  failed_connect_does_not_end_established_call();
  invite_waiting_for_connection_is_withdrawn();
  unwritten_invite_is_withdrawn();
  invite_to_draining_server_is_withdrawn();
  written_invite_is_cancelled_after_provisional_response();
  bye_before_response_ends_call();
  bye_for_attempt_with_lost_connection_ends_call();
  call_is_established_and_released_by_caller();
  server_releases_call();
  bye_of_a_call_of_a_former_process_is_forwarded();
  bye_over_tcp_of_a_call_of_a_former_process_is_forwarded();
  ids_do_not_repeat_after_a_restart();
  rejection_is_acknowledged_and_call_is_retried_elsewhere();
  late_success_is_released();
  no_cancel_before_provisional_response();
  refused_tcp_connection_fails_over_to_next_server();
}
