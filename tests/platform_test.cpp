// The platform front end and the setup servers' side, driven through the complete reducer with a simulated
// clock.
#include <random>
#include <set>

#include "ready.h"
#include "settings.h"
#include "upstream/server_messages.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

void call_is_established_and_released() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  const sip::Message invite = lab.invite(lab.s0);
  CHECK_EQ(invite.uri, "sip:7f3a9c21e0b4d655@net");
  CHECK_EQ(invite.header("Call-ID"), kId);
  CHECK_EQ(invite.header("Priority-Class"), "voice");
  CHECK_EQ(invite.header("Expires-Ms"), "1500");
  CHECK_EQ(invite.body, "offer");
  lab.receive(lab.s0, server_answer(invite, 100) + server_answer(invite, 200, "answer"));
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "ACK");
  const jsonl::Message answer = lab.line();
  CHECK_EQ(answer.type, "answer");
  CHECK_EQ(*answer.description, "answer");
  lab.advance(5s);
  lab.receive(lab.s0, server_bye(kId, 16));
  CHECK_EQ(lab.messages(lab.s0).at(0).status, 200);
  const jsonl::Message release = lab.line();
  CHECK_EQ(release.type, "release");
  CHECK_EQ(*release.cause, 16);
}

// Callers that get no Retry-After redial at once.
void rejection_carries_retry_after() {
  ConnectedLab lab(1);
  lab.deliver(net::Closed{lab.s0, true});
  for (const net::Connect& c : std::exchange(lab.connects, {})) lab.deliver(net::ConnectFailed{c.conn, true});
  lab.receive(kCaller, setup_line_with_key());
  lab.advance(1600ms);
  const jsonl::Message release = lab.line();
  CHECK_EQ(release.type, "release");
  CHECK(!release.field("wait").empty());
}

void final_answer_comes_at_the_deadline() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  lab.invite(lab.s0);
  lab.advance(1499ms);
  CHECK(lab.lines(kCaller).empty());
  lab.advance(1ms);
  CHECK_EQ(lab.line().type, "release");
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "CANCEL");
  lab.advance(5s);
  CHECK(lab.lines(kCaller).empty());
}

void late_success_after_cancel_is_released() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  const sip::Message invite = lab.invite(lab.s0);
  lab.receive(kCaller, R"({"type":"release","id":")" + kId +
                           R"(","fields":{},"cause":16})"
                           "\n");
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "CANCEL");
  lab.receive(lab.s0, server_answer(invite, 200, "answer"));
  const auto after = lab.messages(lab.s0);
  CHECK_EQ(after.size(), 2U);
  CHECK_EQ(after[0].method, "ACK");
  CHECK_EQ(after[1].method, "BYE");
  lab.advance(3s);
  CHECK(lab.messages(lab.s0).empty() && lab.messages(lab.s1).empty() && lab.lines(kCaller).empty());
}

void attempt_after_reset_waits_for_release_guard() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key(kId, 3000));
  const sip::Message invite = lab.invite(lab.s0);
  lab.receive(lab.s0, server_answer(invite, 504));
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "ACK");
  lab.advance(199ms);
  CHECK(lab.messages(lab.s1).empty());
  lab.advance(200ms);
  CHECK_EQ(lab.messages(lab.s1).at(0).header("CSeq"), "2 INVITE");
}

void setup_rejected_by_full_server_is_retried_elsewhere_at_once() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  const sip::Message invite = lab.invite(lab.s0);
  lab.receive(lab.s0,
              server_answer(invite, 503, {}, "Warning-Word: cpu_full\r\nP-Load: x0:3;latency_ms:900\r\n"));
  CHECK_EQ(lab.messages(lab.s1).at(0).method, "INVITE");
}

// P-Wait of platform servers and SIP trunks. An invalid value counts as absent, and the rejection still
// counts.
void retry_after_of_a_full_server_is_parsed() {
  const auto parse = [](const std::string& header) {
    const std::string text =
        "SIP/2.0 503 x\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n" + header + "Content-Length: 0\r\n\r\n";
    return upstream::parse_retry_after(sip::read_stream(text).message);
  };
  CHECK(parse("P-Wait: 2949\r\n") == Duration(2949ms));
  CHECK(parse("P-Wait: 0\r\n") == Duration(0ms));
  CHECK(parse("P-Wait: 60000\r\n") == Duration(60s));
  for (const char* bad : {"", "P-Wait: \r\n", "P-Wait: 60001\r\n", "P-Wait: -1\r\n", "P-Wait: 1e3\r\n",
                          "P-Wait: 99999999999999999999\r\n", "P-Wait: nan\r\n", "P-Wait: 12 ms\r\n"})
    CHECK(!parse(bad));

  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  const sip::Message invite = lab.invite(lab.s0);
  lab.receive(lab.s0, server_answer(invite, 503, {}, "Warning-Word: cpu_full\r\nP-Wait: -7\r\n"));
  CHECK_EQ(lab.messages(lab.s1).at(0).method, "INVITE");
}

// Guards against ticks, answers and load reports that iterate over the whole endpoint list: the counter
// servers.looked_at grows only with servers that have pending work.
void ticks_visit_only_servers_with_pending_work() {
  ConnectedLab lab(300);
  lab.advance(1s);
  auto visited = [&lab, before = std::uint64_t{0}]() mutable {
    const std::uint64_t all = counter_value(lab, "servers.looked_at");
    return all - std::exchange(before, all);
  };
  CHECK(visited() <= 2 * 300);  // at the start
  lab.advance(10s);
  CHECK_EQ(visited(), 0U);
  // One server has a call: it is visited by each of 20 ticks a second, and once for its answer.
  lab.receive(kCaller, setup_line_with_key());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.advance(10s);
  CHECK_EQ(visited(), 201U);
  lab.receive(lab.s0, server_bye(kId, 16));
  lab.advance(15s);  // the released call is retained for a while
  visited();
  lab.advance(10s);
  CHECK_EQ(visited(), 0U);
  // Each server sends two load reports on its own connection.
  for (std::uint32_t i = 0; i < 600; ++i)
    lab.receive({Concern::server, lab.s0.number + i % 300},
                "NOTIFY sip:x@net SIP/2.0\r\nCall-ID: n\r\nP-Load: x0:9\r\nContent-Length: 0\r\n\r\n");
  lab.advance(1s);
  CHECK(visited() <= 600);
  // A server whose connection is lost is visited until it is back; no other one is.
  lab.connects.clear();
  lab.deliver(net::Closed{lab.s1, true});
  CHECK_EQ(lab.connects.size(), 1U);
  lab.deliver(net::ConnectFailed{lab.connects[0].conn, true});
  lab.connects.clear();
  lab.advance(1s);
  CHECK_EQ(lab.connects.size(), 1U);
  CHECK(visited() <= 21);
  lab.bring_up();
  lab.advance(1s);
  visited();
  lab.advance(10s);
  CHECK_EQ(visited(), 0U);
}

// Servers put their own number into CSeq, always 1. If responses were matched on it as well, the answer to a
// second attempt at the same server would go to the first one, and the call would hang until its deadline.
void second_attempt_at_the_same_server_is_answered() {
  ConnectedLab lab(1);
  lab.receive(kCaller, setup_line_with_key(kId, 4000));
  const sip::Message first = lab.invite(lab.s0);
  lab.advance(70ms);  // within the throttle's latency budget
  lab.receive(kCaller,
              setup_line_with_key("00000000000000bb"));  // answered before it: the first one counts as lost
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "b"));
  CHECK_EQ(lab.line().id, "00000000000000bb");
  lab.messages(lab.s0);
  lab.advance(1200ms);
  const auto sent = lab.messages(lab.s0);
  CHECK_EQ(sent.size(), 2U);
  CHECK_EQ(sent[0].method, "CANCEL");
  CHECK_EQ(sent[1].header("Call-ID"), kId);
  lab.receive(lab.s0, server_answer(first, 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  CHECK_EQ(lab.messages(lab.s0).size(), 1U);  // the ACK: the call is not released
  // The release ends the established attempt, on any connection.
  lab.receive(lab.s0, server_bye(kId, 16));
  CHECK_EQ(lab.line().type, "release");
}

// The release of the second attempt's call comes on the connection of the first attempt, to which it must not
// be attributed.
void release_may_come_on_the_connection_of_an_earlier_attempt() {
  ConnectedLab lab(1);
  lab.receive(kCaller, setup_line_with_key(kId, 4000));
  const sip::Message first = lab.invite(lab.s0);
  lab.advance(100ms);
  lab.receive(kCaller,
              setup_line_with_key("00000000000000bb") + setup_line_with_key("00000000000000cc", 8000));
  const auto others = lab.messages(lab.s0);
  lab.receive(lab.s0, server_answer(others.at(0), 200, "b"));
  lab.lines(kCaller);
  lab.advance(580ms);
  CHECK_EQ(lab.messages(lab.s0).back().method, "CANCEL");
  lab.advance(100ms);  // no input for 0.6 s: a second connection is opened and takes later setups
  const ConnId next = lab.connects.at(0).conn;
  lab.bring_up();
  lab.receive(lab.s0, server_answer(first, 487));  // the first attempt is over at the server
  lab.advance(400ms);
  CHECK_EQ(lab.messages(next).at(0).header("Call-ID"), kId);
  lab.receive(next, server_answer(first, 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  lab.receive(lab.s0, server_bye(kId, 16));
  CHECK_EQ(lab.line().type, "release");
}

// A server that answers within 60 ms must be found unresponsive by overdue answers: a fixed limit of 600 ms
// without input left 15 calls hanging.
void unresponsive_connection_is_detected_by_overdue_answers() {
  ConnectedLab lab(2);
  const auto id = [](int i) { return "00000000000000" + std::to_string(10 + i); };
  for (int i = 0; i < 8; ++i) {
    lab.receive(kCaller, setup_line_with_key(id(i)));
    const sip::Message invite = lab.invite(lab.s0);
    lab.advance(60ms);
    lab.receive(lab.s0, server_answer(invite, 200, "a"));
    lab.messages(lab.s0);
  }
  lab.lines(kCaller);
  CHECK(lab.connects.empty());
  lab.receive(kCaller,
              setup_line_with_key(id(20)) + setup_line_with_key(id(21)) + setup_line_with_key(id(22)));
  CHECK_EQ(lab.messages(lab.s0).size(), 3U);
  lab.advance(90ms);
  CHECK(lab.connects.empty());
  lab.advance(60ms);                  // still within the throttle's latency budget
  CHECK_EQ(lab.connects.size(), 1U);  // suspect: new setups go elsewhere, open ones wait for their answers
  const ConnId next = lab.connects.at(0).conn;
  lab.bring_up();
  lab.receive(kCaller, setup_line_with_key(id(30)));
  const sip::Message invite = lab.invite(next);
  CHECK(std::count(lab.closed.begin(), lab.closed.end(), lab.s0) == 0);
  lab.advance(20ms);
  lab.receive(next, server_answer(invite, 200, "a"));  // overtakes the three open ones
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), lab.s0), 1);
  // Retired: its sending direction is closed, and it is read to its end.
  CHECK_EQ(std::count(lab.retired.begin(), lab.retired.end(), lab.s0), 1);
  CHECK(lab.dropped.empty());
  // Calls are established there, and their releases may be lost: the server sends them again on the next
  // connection, which gets no setups and is closed when no release is left to come.
  CHECK_EQ(lab.connects.size(), 1U);
  const ConnId release_conn = lab.connects.at(0).conn;
  lab.bring_up();
  lab.lines(kCaller);
  lab.receive(lab.s0, server_bye(id(0), 16));
  CHECK_EQ(lab.line().type, "release");
  lab.receive(release_conn, server_bye(id(1), 16));
  CHECK_EQ(lab.line().type, "release");
  for (int i = 2; i < 8; ++i)
    lab.receive(release_conn, server_bye(id(i), 16));  // kept while calls are established
  CHECK_EQ(lab.lines(kCaller).size(), 6U);
  lab.messages(next);
  lab.receive(kCaller, setup_line_with_key(id(31)));
  CHECK_EQ(lab.invite(next).header("Call-ID"), id(31));
  lab.messages(lab.s1);
  lab.advance(500ms);
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), release_conn), 1);
  std::set<std::string> again;
  for (const sip::Message& m : lab.messages(lab.s1)) {
    if (m.method == "INVITE") again.insert(std::string(m.header("Call-ID")));
  }
  CHECK_EQ(again.size(), 3U);
}

// The connection that replaces an unresponsive one is unresponsive as well. It must be replaced in time: when
// that took 1.2 s, callers got releases later than the required 1 s.
void second_unresponsive_connection_is_detected_in_time() {
  ConnectedLab lab(1);
  lab.establish_call(lab.s0);
  const auto call_until_reconnect = [&](int from) {  // calls arrive continuously and none is answered
    Duration waited{};
    for (int i = from; lab.connects.empty() && waited < 3s; ++i, waited += 50ms) {
      lab.receive(kCaller, setup_line_with_key("00000000000000" + std::to_string(i), 4000));
      lab.advance(50ms);
    }
    return waited;
  };
  call_until_reconnect(10);
  CHECK_EQ(lab.connects.size(), 1U);
  lab.bring_up();  // unresponsive as well
  CHECK(call_until_reconnect(40) <= 900ms);
  const ConnId third = lab.connects.at(0).conn;
  lab.bring_up();
  lab.expect_release_forwarded(third);
}

// When the callers of all open setups on a suspect connection have left, it is retired although calls are
// established there. It must be replaced, and read to its end: releases that the server has written to it
// would be lost.
void release_from_unresponsive_connection_arrives(bool on_retired) {
  ConnectedLab lab(1);
  lab.establish_call(lab.s0);
  lab.receive(kCaller, setup_line_with_key("00000000000000bb", 900));  // never answered
  while (lab.connects.empty()) lab.advance(50ms);
  lab.bring_up();
  lab.advance(1s);  // its caller has left
  CHECK_EQ(std::count(lab.retired.begin(), lab.retired.end(), lab.s0), 1);
  CHECK(lab.dropped.empty());
  CHECK_EQ(lab.connects.size(), 1U);
  const ConnId release_conn = lab.connects.at(0).conn;
  lab.bring_up();
  if (!on_retired) return lab.expect_release_forwarded(release_conn);
  lab.expect_release_forwarded(lab.s0);
}

// Releases of calls whose connection is lost come on a connection opened for them. When that one is
// unresponsive, another must replace it: it was closed after 0.3 s without a successor, and a release sent on
// it was lost.
void unresponsive_release_connection_is_replaced() {
  ConnectedLab lab(1);
  lab.establish_call(lab.s0);
  lab.receive(kCaller, setup_line_with_key("00000000000000bb", 4000));  // not answered
  for (int i = 0; i < 40 && lab.connects.empty(); ++i) lab.advance(50ms);
  const ConnId next = lab.connects.at(0).conn;
  lab.bring_up();
  lab.receive(lab.s0, "what is this\r\n\r\n");  // malformed: the established call has no connection any more
  lab.lines(kCaller);
  for (int round = 0; round < 4; ++round) {  // each release connection is unresponsive and is soon replaced
    CHECK_EQ(lab.connects.size(), 1U);
    lab.bring_up();
    Duration waited{};
    for (; lab.connects.empty() && waited < 3s; waited += 50ms) {
      lab.advance(50ms);
      lab.receive(next, "SIP/2.0 100 x\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n");
    }
    CHECK(waited >= 500ms && waited <= 700ms);
  }
  const ConnId last = lab.connects.at(0).conn;
  lab.bring_up();
  lab.expect_release_forwarded(last);
  lab.messages(last);
  lab.advance(700ms);  // no release is left to come
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), last), 1);
}

// A connection is dropped while another connect is in progress. The server may count that one as opened
// before it wrote a release to the dropped one, so a connection must be opened after the drop: none was, and
// the longer connects took, the more releases were lost.
void drop_during_a_connect_is_followed_by_another_connection() {
  ConnectedLab lab(1);
  lab.establish_call(lab.s0);
  lab.receive(kCaller, setup_line_with_key("00000000000000bb", 4000));  // not answered
  for (int i = 0; i < 40 && lab.connects.empty(); ++i) lab.advance(50ms);
  CHECK_EQ(lab.connects.size(), 1U);
  lab.receive(lab.s0, "what is this\r\n\r\n");
  CHECK_EQ(lab.connects.size(), 1U);
  lab.bring_up();
  lab.advance(100ms);
  CHECK_EQ(lab.connects.size(), 1U);
  const ConnId next = lab.connects.at(0).conn;
  lab.bring_up();
  lab.expect_release_forwarded(next);
}

// A malformed response closes its connection even where the begin of the next message is known: on a
// connection that was kept, later setups got no answer.
void malformed_response_closes_its_connection() {
  const std::string head = "\r\nCall-ID: " + kId + "\r\nCSeq: 1 INVITE\r\nContent-Length: ";
  const std::string malformed[] = {
      "SIP/9.9 OK 200" + head + "1\r\n\r\na",                                  // malformed status line
      "SIP/2.0 200 OK\r\n: x" + head + "1\r\n\r\na",                           // header without a name
      "SIP/2.0 200 OK\r\nCall-ID: " + kId + "\r\nContent-Length: 1\r\n\r\na",  // no CSeq
      "SIP/2.0 200 OK" + head + "1\r\n\r\na 8 101\r\n",                        // Content-Length too small
      "SIP/2.0 200 OK" + head + "3000000000\r\n\r\na",                         // Content-Length of 3 GB
      "SIP/2.0 200 OK" + head + "2\r\n\r\na\xff",  // description that is not UTF-8
      "SIP/2.0 200 OK" + head +
          "20\r\n\r\nNOTIFY x SIP/2.0\r\n\r\n",  // Content-Length that includes the next message
      "SIP/2.0 200 OK" + head + "20\r\n\r\na",   // Content-Length beyond the received bytes
  };
  for (const std::string& bytes : malformed) {
    ConnectedLab lab;
    lab.receive(kCaller, setup_line_with_key(kId, 3000));
    lab.invite(lab.s0);
    lab.receive(lab.s0, bytes);
    lab.advance(500ms);
    CHECK(!lab.closed.empty() && lab.closed[0] == lab.s0);
    CHECK(lab.lines(kCaller).empty());
    lab.advance(300ms);
    CHECK_EQ(lab.messages(lab.s1).at(0).header("Call-ID"), kId);
  }
}

// A release and malformed bytes arrive in one read. The release was discarded with them, and the caller was
// never released, in one of four plays of a day with malformed answers.
void release_before_malformed_bytes_is_forwarded() {
  const std::string noise =
      "\x01gx\xd7\xfe"
      "E\r\n\r\n";
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  lab.receive(lab.s0, server_bye(kId, 16) + noise);
  const jsonl::Message release = lab.line();
  CHECK_EQ(release.type, "release");
  CHECK_EQ(release.id, kId);
  CHECK(!lab.dropped.empty() && lab.dropped[0] == lab.s0);  // the begin of the next message is unknown

  // A rejection as well: its setup is finished and needs no release guard.
  ConnectedLab other;
  other.receive(kCaller, setup_line_with_key(kId, 3000));
  other.receive(other.s0, server_answer(other.invite(other.s0), 503, "") + noise);
  other.advance(100ms);
  CHECK_EQ(other.messages(other.s1).at(0).header("Call-ID"), kId);
}

// A duplicate response, or one with an unknown id and any content, is ignored; valid messages beside it are
// used.
void duplicate_and_unknown_responses_are_ignored() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  const sip::Message invite = lab.invite(lab.s0);
  sip::Message unknown = invite;
  unknown.set("Call-ID", "00000000000000ff");
  const std::string good = server_answer(invite, 200, "a");
  lab.receive(lab.s0, server_answer(unknown, 200, "\xff\xfe") + good + good);
  CHECK_EQ(lab.line().type, "answer");
  lab.advance(500ms);
  CHECK(lab.closed.empty() && lab.lines(kCaller).empty());
}

// A release before the answer was ignored, and the caller got no final answer.
void release_without_an_answer_ends_the_setup() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key(kId, 3000));
  const sip::Message invite = lab.invite(lab.s0);
  lab.receive(lab.s0, server_bye(kId, 16));
  CHECK_EQ(lab.line().type, "release");
  lab.messages(lab.s0);
  lab.receive(lab.s0, server_answer(invite, 200, "a"));
  CHECK_EQ(lab.messages(lab.s0).at(1).method, "BYE");
  lab.advance(3s);
  CHECK(lab.lines(kCaller).empty() && lab.messages(lab.s1).empty());
}

// A connection that stays open without input while the server reports its load on others is half-open, and
// its setups would hang.
void connection_without_load_reports_that_others_carry_is_closed() {
  ConnectedLab lab;
  const std::string state = "NOTIFY sip:x@net SIP/2.0\r\nCall-ID: n\r\nContent-Length: 0\r\n\r\n";
  for (int i = 0; i < 3; ++i) {
    lab.advance(400ms);
    lab.receive(lab.s0, state);
  }
  lab.receive(kCaller, setup_line_with_key(kId, 3000));
  lab.messages(lab.s0);
  lab.advance(700ms);
  const auto second = lab.bring_up("127.0.0.1:9000");
  CHECK_EQ(second.size(), 1U);
  CHECK(lab.closed.empty());
  lab.receive(second[0], state);
  CHECK(lab.closed.size() == 1 && lab.closed[0] == lab.s0);
  lab.advance(300ms);
  CHECK_EQ(lab.messages(lab.s1).at(0).header("Call-ID"), kId);
}

// Nor a setup that still waits for its connection.
void draining_server_gets_no_new_setups() {
  PlatformConfig config = config_for_tests();
  config.journal = "127.0.0.1:8500";
  GatekeeperLab lab(config);
  lab.deliver(net::Accepted{kCaller});
  std::map<std::string, ConnId> by_address;
  for (const net::Connect& c : lab.connects) by_address[c.address] = c.conn;
  const ConnId journal = by_address.at("127.0.0.1:8500");
  const ConnId s0 = by_address.at("127.0.0.1:9000");
  const ConnId s1 = by_address.at("127.0.0.1:9001");
  lab.deliver(net::Connected{journal});
  lab.deliver(net::Connected{s1});
  CHECK(lab.take_sent(journal).find("Last-Event-ID: 0\r\n") != std::string::npos);
  lab.receive(kCaller, setup_line_with_key());
  CHECK(lab.take_sent(s0).empty());
  const std::string event =
      R"({"pos":4,"hosts":{"rev":2,"all":false,"targets":[{"uid":"s0","endpoint":"127.0.0.1:9000","az":"",)"
      R"("pod_group":0,"state":"draining","boot_ms":0}]}})";
  const std::string stream =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hi\n\nid: 4\ndata: " + event + "\n\n";
  for (const char c : stream) lab.receive(journal, std::string(1, c));
  lab.deliver(net::Connected{s0});
  CHECK(lab.take_sent(s0).empty());
  CHECK_EQ(lab.messages(s1).at(0).method, "INVITE");
  // After a disconnect the watch resumes from the last event.
  lab.deliver(net::Closed{journal, true});
  lab.advance(300ms);
  const ConnId again = lab.connects.back().conn;
  lab.deliver(net::Connected{again});
  CHECK(lab.take_sent(again).find("Last-Event-ID: 4\r\n") != std::string::npos);
}

// After the move, the old connection may still be established, deliver events or close, and its reconnect
// timer may be pending.
void moved_discovery_service_is_watched_from_the_known_position() {
  for (const bool broken : {false, true}) {
    PlatformConfig config = config_for_tests();
    config.journal = "127.0.0.1:8500";
    config.cached_position = 7;
    GatekeeperLab lab(config);
    const auto connections_to = [&](const std::string& address) {
      std::vector<ConnId> all;
      for (const net::Connect& c : lab.connects) {
        if (c.address == address) all.push_back(c.conn);
      }
      return all;
    };
    const ConnId old = connections_to("127.0.0.1:8500").at(0);
    if (broken) lab.deliver(net::ConnectFailed{old, true});
    const nlohmann::json moved_config = {
        {"listen", "127.0.0.1:1"}, {"seed", "1"}, {"journal", "127.0.0.1:8501"}, {"settings", settings()}};
    lab.deliver(net::FileRead{"", moved_config.dump()});
    const ConnId moved = connections_to("127.0.0.1:8501").at(0);
    lab.deliver(net::Connected{moved});
    CHECK(lab.take_sent(moved).find("Last-Event-ID: 7\r\n") != std::string::npos);
    if (!broken) lab.deliver(net::Closed{old, false});
    lab.advance(2s);
    CHECK_EQ(connections_to("127.0.0.1:8500").size(), 1U);
    CHECK_EQ(connections_to("127.0.0.1:8501").size(), 1U);
    // A service that sends nothing while its connection is open is reconnected well within 4 s.
    lab.advance(500ms);
    CHECK_EQ(connections_to("127.0.0.1:8501").size(), 2U);
  }
}

void lost_connection_ends_its_setups_and_keeps_established_calls() {
  ConnectedLab lab;
  lab.receive(kCaller,
              setup_line_with_key("00000000000000aa") + setup_line_with_key("00000000000000bb", 3000));
  const auto invites = lab.messages(lab.s0);
  CHECK_EQ(invites.size(), 2U);
  lab.receive(lab.s0, server_answer(invites[0], 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  lab.deliver(net::Closed{lab.s0, true});
  lab.advance(400ms);
  CHECK_EQ(lab.messages(lab.s1).at(0).header("Call-ID"), "00000000000000bb");
  CHECK(lab.lines(kCaller).empty());  // the established call is kept
  // Its release comes on the next connection.
  CHECK(!lab.connects.empty());
  const ConnId next = lab.connects.back().conn;
  lab.bring_up();
  lab.receive(next, server_bye("00000000000000aa", 41));
  const jsonl::Message release = lab.line();
  CHECK_EQ(release.id, "00000000000000aa");
  CHECK_EQ(*release.cause, 41);
}

// Such a server sends no release: the calls must be released within 8 s.
void calls_at_an_unreachable_server_are_released_in_time() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.line();
  for (int i = 0; i < 75; ++i) {
    lab.advance(100ms);
    for (const net::Connect& c : std::exchange(lab.connects, {})) {
      if (c.address == "127.0.0.1:9000") lab.deliver(net::ConnectFailed{c.conn, false});
    }
  }
  CHECK_EQ(lab.line().type, "release");
}

// An unresponsive connection is closed and its setup waits for the release guard; on the next connection the
// server releases the call, which had been established there. The caller gets that release as its final
// answer, so no further attempt may start.
void release_of_a_waiting_setup_is_its_only_final_answer() {
  ConnectedLab lab;
  lab.advance(300ms);
  lab.receive(kCaller, setup_line_with_key(kId, 3000));
  lab.invite(lab.s0);
  lab.deliver(net::Closed{lab.s0, true});
  const ConnId next = lab.connects.at(0).conn;
  lab.bring_up();
  lab.receive(next, server_bye(kId, 16));
  CHECK_EQ(lab.messages(next).at(0).status, 200);
  const jsonl::Message release = lab.line();
  CHECK_EQ(release.type, "release");
  CHECK(!release.field("wait").empty());
  lab.receive(next, server_bye(kId, 16));  // repeated: not forwarded either
  CHECK_EQ(lab.messages(next).at(0).status, 200);
  lab.advance(5s);
  CHECK(lab.messages(next).empty() && lab.messages(lab.s1).empty() && lab.lines(kCaller).empty());
}

// The next attempt is already open at another server: it continues, and its answer is the only one of the
// call.
void release_of_an_earlier_attempt_keeps_the_next_one() {
  for (const int status : {200, 503}) {
    ConnectedLab lab;
    lab.receive(kCaller, setup_line_with_key(kId, 3000));
    lab.invite(lab.s0);
    lab.deliver(net::Closed{lab.s0, true});
    lab.advance(400ms);
    const sip::Message second = lab.invite(lab.s1);
    const ConnId next = lab.connects.at(0).conn;
    lab.bring_up();
    lab.receive(next, server_bye(kId, 16));
    CHECK_EQ(lab.messages(next).at(0).status, 200);
    CHECK(lab.lines(kCaller).empty());
    lab.receive(lab.s1, server_answer(second, status, status == 200 ? "answer" : ""));
    lab.advance(2900ms);
    CHECK_EQ(lab.line().type, status == 200 ? "answer" : "release");
    CHECK(lab.messages(next).empty());
  }
}

// A call established before a restart is unknown here, but its caller may still be connected.
void release_of_an_unknown_call_is_forwarded() {
  ConnectedLab lab;
  lab.receive(lab.s0, server_bye(kId, 41));
  const jsonl::Message release = lab.line();
  CHECK_EQ(release.id, kId);
  CHECK_EQ(*release.cause, 41);
}

// Guards against setups that hang until their callers time out.
void setups_at_an_unreachable_server_are_retried_elsewhere() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key(kId, 4000));
  lab.invite(lab.s0);
  for (int i = 0; i < 15; ++i) {
    lab.advance(100ms);
    for (const net::Connect& c : std::exchange(lab.connects, {})) {
      if (c.address == "127.0.0.1:9000") lab.deliver(net::ConnectFailed{c.conn, false});
    }
  }
  const auto at_other = lab.messages(lab.s1);
  CHECK_EQ(at_other.size(), 1U);
  CHECK_EQ(at_other[0].header("Call-ID"), kId);
  CHECK(std::find(lab.closed.begin(), lab.closed.end(), lab.s0) != lab.closed.end());
}

// The server has nothing to send but the report that comes first on each new connection.
void calls_at_an_idle_reachable_server_are_kept() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.line();
  for (int i = 0; i < 200; ++i) {
    lab.advance(100ms);
    for (const ConnId conn : lab.bring_up("127.0.0.1:9000")) lab.receive(conn, server_report());
  }
  CHECK(lab.lines(kCaller).empty());
}

// Connections come up and carry nothing: the kernel of a hung process accepts them. Its calls are over within
// 8 s of its last byte, and not much earlier, since it may resume.
void calls_at_a_server_that_hangs_for_eight_seconds_are_released() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.line();
  for (int i = 0; i < 80; ++i) {
    CHECK(i >= 75 || lab.lines(kCaller).empty());
    lab.advance(100ms);
    lab.bring_up();
  }
  CHECK_EQ(lab.line().type, "release");
  lab.advance(20s);
  lab.receive(lab.s0, server_bye(kId, 16));  // the server resumes: its release is not forwarded once more
  CHECK(lab.lines(kCaller).empty());
}

// The caller's connection is closed; a client that has sent no valid request may hold the next one.
void release_is_sent_where_a_caller_is_known() {
  for (const bool caller_known : {false, true}) {
    ConnectedLab lab;
    const ConnId client{Concern::platform, 2};
    const ConnId caller{Concern::platform, 3};
    lab.receive(kCaller, setup_line_with_key());
    lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
    for (const ConnId conn : {client, caller}) lab.deliver(net::Accepted{conn});
    if (caller_known) lab.receive(caller, setup_line_with_key("00000000000000bb"));
    lab.deliver(net::Closed{kCaller, false});
    lab.receive(lab.s0, server_bye(kId, 16));
    CHECK_EQ(lab.lines(caller).size(), 1U);
    CHECK_EQ(lab.lines(client).size(), caller_known ? 0U : 1U);
    lab.receive(caller, "{\"type\":\"released\",\"id\":\"" + kId + "\",\"fields\":{}}\n");
    lab.deliver(net::Closed{client, false});
    CHECK(lab.lines(caller).empty());  // confirmed: not sent again
  }
}

// The caller comes again after its release was sent to a client that never reads.
void release_sent_to_an_unknown_client_is_sent_to_the_next_one() {
  ConnectedLab lab;
  const ConnId client{Concern::platform, 2};
  const ConnId caller{Concern::platform, 3};
  lab.receive(kCaller, setup_line_with_key());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.deliver(net::Accepted{client});
  lab.deliver(net::Closed{kCaller, false});
  lab.receive(lab.s0, server_bye(kId, 16));
  lab.deliver(net::Accepted{caller});
  CHECK_EQ(lab.lines(caller).size(), 1U);
}

// Calls are not bound to a connection.
void release_is_sent_on_another_connection() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.line();
  lab.deliver(net::Closed{kCaller, false});
  lab.receive(lab.s0, server_bye(kId, 16));
  const ConnId other{Concern::platform, 2};
  lab.deliver(net::Accepted{other});
  CHECK_EQ(lab.lines(other).at(0).id, kId);
  // The same holds for a release of a call that was established before a restart.
  lab.receive(lab.s0, server_bye("00000000000000cc", 16));
  CHECK_EQ(lab.lines(other).at(0).id, "00000000000000cc");
}

void malformed_lines_are_rejected_and_affect_no_other_call() {
  ConnectedLab lab;
  lab.receive(kCaller, setup_line_with_key());
  lab.receive(kCaller, "{\"type\":\"setup\",\"id\":\"00000000000000dd\",\"fields\":{\"class\":\"no\"}}\n");
  const jsonl::Message rejection = lab.line();
  CHECK_EQ(rejection.id, "00000000000000dd");
  CHECK(lab.closed.empty());
  const ConnId other{Concern::platform, 2};
  lab.deliver(net::Accepted{other});
  lab.receive(other, "not json\n");
  CHECK(lab.closed.size() == 1 && lab.closed[0] == other);
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
}

// Guards against the answer of an open call going to the last connection that named its id, and against a
// setup under the id of an established call without any answer.
void open_id_belongs_to_its_caller() {
  ConnectedLab lab;
  const ConnId other{Concern::platform, 2};
  lab.deliver(net::Accepted{other});
  lab.receive(kCaller, setup_line_with_key());
  const sip::Message invite = lab.invite(lab.s0);
  std::string different = setup_line_with_key();
  different.replace(different.find("offer"), 5, "other");
  lab.receive(other, different);
  CHECK_EQ(lab.lines(other).at(0).type, "release");
  lab.receive(other, R"({"type":"release","id":")" + kId + R"(","fields":{},"cause":16})" + "\n");
  lab.receive(other, R"({"type":"setup","id":")" + kId + R"(","fields":{"class":"no"}})" + "\n");
  CHECK_EQ(lab.lines(other).size(), 2U);
  lab.receive(kCaller, setup_line_with_key());  // a copy of the same setup starts no second call
  lab.receive(lab.s0, server_answer(invite, 200, "a"));
  CHECK_EQ(lab.messages(lab.s0).size(), 1U);  // the ACK: nothing was cancelled
  CHECK_EQ(lab.line().type, "answer");
  lab.receive(other, different);
  CHECK_EQ(lab.lines(other).at(0).type, "release");
  CHECK(lab.lines(kCaller).empty() && lab.messages(lab.s0).empty());
}

void setup_repeated_during_a_close_is_answered_on_its_new_connection() {
  ConnectedLab lab;
  const ConnId other{Concern::platform, 2};
  lab.deliver(net::Accepted{other});
  lab.receive(kCaller, setup_line_with_key());
  lab.receive(other, setup_line_with_key(kId, 1400));
  lab.deliver(net::Closed{kCaller, false});
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  CHECK_EQ(lab.lines(other).at(0).type, "answer");
}

// An answer could not be attributed to one of the two calls.
void two_calls_under_one_id_on_one_connection_are_both_rejected() {
  ConnectedLab lab;
  std::string different = setup_line_with_key();
  different.replace(different.find("offer"), 5, "other");
  lab.receive(kCaller, setup_line_with_key() + different);
  CHECK_EQ(lab.line().type, "release");
  const auto sent = lab.messages(lab.s0);
  CHECK_EQ(sent.at(1).method, "CANCEL");
  lab.receive(lab.s0, server_answer(sent[0], 200, "a"));
  CHECK(lab.lines(kCaller).empty());
}

// Guards against a crash by one client's run of empty lines in one read, after a line that made the buffer
// grow.
void run_of_empty_lines_of_one_client_harms_nobody() {
  ConnectedLab lab;
  const ConnId bad_client{Concern::platform, 2};
  lab.deliver(net::Accepted{bad_client});
  lab.receive(kCaller, setup_line_with_key());
  lab.receive(bad_client, std::string(13000, ' '));
  lab.receive(bad_client, std::string(19000, '\n'));
  CHECK(lab.unread[bad_client].empty());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "answer"));
  CHECK_EQ(lab.line().type, "answer");
}

// Guards against connections without input, or with an incomplete line, that fill the connection limit.
void connection_without_a_complete_line_is_closed_within_three_seconds() {
  ConnectedLab lab;
  const ConnId silent{Concern::platform, 2};
  const ConnId half{Concern::platform, 3};
  const ConnId pinging{Concern::platform, 4};
  for (const ConnId conn : {silent, half, pinging}) lab.deliver(net::Accepted{conn});
  lab.receive(kCaller, setup_line_with_key(kId, 30'000));
  lab.receive(pinging, R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                       "\n");
  for (int i = 0; i < 28; ++i) {  // byte by byte
    lab.advance(100ms);
    if (!lab.is_closed(half)) lab.receive(half, "{");
  }
  CHECK(lab.is_closed(silent) && lab.is_closed(half));
  CHECK(!lab.is_closed(pinging) && !lab.is_closed(kCaller));
  lab.advance(15s);
  CHECK(lab.is_closed(pinging) && !lab.is_closed(kCaller));  // a setup is open there
}

// Guards against new callers that are not accepted.
void idle_connections_are_closed_for_room() {
  PlatformConfig config = config_for_tests();
  config.max_sockets = 90;
  GatekeeperLab lab(config);
  const std::string ping = R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                           "\n";
  lab.deliver(net::Accepted{kCaller});
  lab.receive(kCaller, setup_line_with_key());
  for (std::uint32_t i = 2; i <= 100; ++i) {
    lab.deliver(net::Accepted{{Concern::platform, i}});
    lab.receive({Concern::platform, i}, ping);
    CHECK(!lab.is_closed({Concern::platform, i}));
    lab.advance(1ms);
  }
  CHECK_EQ(lab.closed.size(), 100U - 31U);
  CHECK(!lab.is_closed(kCaller));
}

// Such numbers must not reach the decision module or the servers.
void extras_out_of_range_are_rejected() {
  ConnectedLab lab;
  for (const std::string extras :
       {"dest:nan", "dest:1e300", "dest:-3", "dest:0.5", "dest:0;width:nan", "dest:0;width:-1",
        "dest:0;width:0", "dest:0;width:400", "dest:0;width:inf", "dest:"}) {
    std::string line = setup_line_with_key();
    const std::string usual = "dest:0;width:1;via:-1";
    line.replace(line.find(usual), usual.size(), extras);
    lab.receive(kCaller, line);
    CHECK_EQ(lab.line().type, "release");
  }
  CHECK(lab.messages(lab.s0).empty() && lab.messages(lab.s1).empty());
}

void pong_reports_readiness() {
  GatekeeperLab lab;
  lab.deliver(net::Accepted{kCaller});
  const std::string ping = R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                           "\n";
  lab.receive(kCaller, ping);
  CHECK_EQ(*lab.lines(kCaller).at(0).cause, 0);
  lab.bring_up();
  lab.receive(kCaller, ping);
  CHECK_EQ(*lab.lines(kCaller).at(0).cause, 1);
}

void stop_waits_for_open_requests() {
  ConnectedLab lab;
  lab.deliver(net::StopRequested{});
  lab.advance(800ms);
  lab.receive(kCaller, setup_line_with_key());  // arrives after SIGTERM
  const sip::Message invite = lab.invite(lab.s0);
  lab.advance(1s);
  CHECK(!lab.exit_status);
  lab.receive(lab.s0, server_answer(invite, 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  CHECK_EQ(lab.exit_status.value_or(-1), 0);
}

// Compares a model of the server connections with random events. Invariants: every setup gets one final
// answer by its deadline, no call has two open attempts, the release guard is kept, and nothing is sent on a
// connection that is not established.
void random_events_keep_the_invariants() {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    GatekeeperLab lab;
    lab.deliver(net::Accepted{kCaller});
    enum class State { connecting, connected, closed };
    std::map<ConnId, State> model;
    struct Attempt {
      ConnId conn;
      sip::Message invite;
    };
    std::map<std::string, Attempt> attempts;  // open attempts at servers, by call
    std::map<std::string, Time> ended_at;     // cancelled, reset or lost attempts
    std::map<std::string, Time> deadline;
    std::map<std::string, int> final_answers;
    std::map<std::string, std::string> server_of_established;  // the address of the server, by call
    std::map<std::string, std::string> answering_server;
    std::map<ConnId, std::string> address;
    const auto observe = [&] {
      for (const net::Connect& c : std::exchange(lab.connects, {})) {
        model[c.conn] = State::connecting;
        address[c.conn] = c.address;
      }
      for (const ConnId conn : std::exchange(lab.closed, {})) {
        model[conn] = State::closed;
        for (auto it = attempts.begin(); it != attempts.end();) {
          if (it->second.conn == conn) ended_at[it->first] = lab.now;
          it = it->second.conn == conn ? attempts.erase(it) : std::next(it);
        }
      }
      for (auto& [conn, state] : model) {
        if (lab.sent[conn].empty()) continue;
        CHECK(state == State::connected);
        for (const sip::Message& m : lab.messages(conn)) {
          const std::string id(m.header("Call-ID"));
          if (m.method == "INVITE") {
            CHECK(!attempts.contains(id));
            CHECK(lab.now < deadline.at(id));
            if (ended_at.contains(id)) CHECK(lab.now - ended_at[id] >= 200ms);
            attempts[id] = {conn, m};
          } else if (m.method == "CANCEL") {
            attempts.erase(id);
            ended_at[id] = lab.now;
          }
        }
      }
      for (const jsonl::Message& m : lab.lines(kCaller)) {
        if (m.type == "release" && server_of_established.erase(m.id) > 0) continue;
        CHECK_EQ(++final_answers[m.id], 1);
        CHECK(lab.now <= deadline.at(m.id));
        if (m.type == "answer") server_of_established[m.id] = answering_server.at(m.id);
      }
    };
    observe();
    lab.watch = observe;
    for (int step = 0; step < 400; ++step) {
      const std::uint32_t pick = random() % 10;
      if (pick < 3) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(step + 1));
        const int left = 200 + static_cast<int>(random() % 3000);
        deadline[id] = lab.now + std::chrono::milliseconds(left);
        final_answers[id] = 0;
        lab.receive(kCaller, setup_line_with_key(id, left, static_cast<int>(random() % 2)));
      } else if (pick < 6 && !attempts.empty()) {
        auto it = attempts.begin();
        std::advance(it, random() % attempts.size());
        const auto [id, attempt] = *it;
        constexpr int kStatus[] = {200, 200, 200, 503, 486, 480, 504};
        const int status = kStatus[random() % 7];
        attempts.erase(it);
        if (status == 504) ended_at[id] = lab.now;
        answering_server[id] = address.at(attempt.conn);
        lab.receive(attempt.conn, server_answer(attempt.invite, status, "a"));
      } else if (pick == 6) {
        for (auto& [conn, state] : model) {
          if (state != State::connecting) continue;
          const bool up = random() % 3 != 0;
          state = up ? State::connected : State::closed;
          if (up) {
            lab.deliver(net::Connected{conn});
          } else {
            lab.deliver(net::ConnectFailed{conn, random() % 2 == 0});
          }
          break;
        }
      } else if (pick == 7 && random() % 3 == 0) {
        for (auto& [conn, state] : model) {
          if (state != State::connected) continue;
          state = State::closed;
          for (auto it = attempts.begin(); it != attempts.end();) {
            if (it->second.conn == conn) ended_at[it->first] = lab.now;
            it = it->second.conn == conn ? attempts.erase(it) : std::next(it);
          }
          lab.deliver(net::Closed{conn, true});
          break;
        }
      } else if (pick == 8 && !server_of_established.empty()) {
        const auto [id, at] = *server_of_established.begin();
        for (auto& [conn, state] : model) {  // its release comes on every connection
          if (state == State::connected && address.at(conn) == at) lab.receive(conn, server_bye(id, 41));
        }
      }
      lab.advance(std::chrono::milliseconds(random() % 200));
    }
    lab.advance(4s);  // past every deadline
    for (const auto& [id, count] : final_answers) CHECK_EQ(count, 1);
  }
}

}  // namespace

int main() {
  call_is_established_and_released();
  rejection_carries_retry_after();
  final_answer_comes_at_the_deadline();
  late_success_after_cancel_is_released();
  attempt_after_reset_waits_for_release_guard();
  setup_rejected_by_full_server_is_retried_elsewhere_at_once();
  retry_after_of_a_full_server_is_parsed();
  ticks_visit_only_servers_with_pending_work();
  second_attempt_at_the_same_server_is_answered();
  release_may_come_on_the_connection_of_an_earlier_attempt();
  unresponsive_connection_is_detected_by_overdue_answers();
  second_unresponsive_connection_is_detected_in_time();
  release_from_unresponsive_connection_arrives(false);
  release_from_unresponsive_connection_arrives(true);
  unresponsive_release_connection_is_replaced();
  drop_during_a_connect_is_followed_by_another_connection();
  malformed_response_closes_its_connection();
  release_before_malformed_bytes_is_forwarded();
  duplicate_and_unknown_responses_are_ignored();
  release_without_an_answer_ends_the_setup();
  connection_without_load_reports_that_others_carry_is_closed();
  draining_server_gets_no_new_setups();
  moved_discovery_service_is_watched_from_the_known_position();
  lost_connection_ends_its_setups_and_keeps_established_calls();
  calls_at_an_unreachable_server_are_released_in_time();
  release_of_a_waiting_setup_is_its_only_final_answer();
  release_of_an_earlier_attempt_keeps_the_next_one();
  release_of_an_unknown_call_is_forwarded();
  setups_at_an_unreachable_server_are_retried_elsewhere();
  calls_at_an_idle_reachable_server_are_kept();
  calls_at_a_server_that_hangs_for_eight_seconds_are_released();
  release_is_sent_where_a_caller_is_known();
  release_sent_to_an_unknown_client_is_sent_to_the_next_one();
  release_is_sent_on_another_connection();
  malformed_lines_are_rejected_and_affect_no_other_call();
  open_id_belongs_to_its_caller();
  setup_repeated_during_a_close_is_answered_on_its_new_connection();
  two_calls_under_one_id_on_one_connection_are_both_rejected();
  run_of_empty_lines_of_one_client_harms_nobody();
  connection_without_a_complete_line_is_closed_within_three_seconds();
  idle_connections_are_closed_for_room();
  extras_out_of_range_are_rejected();
  pong_reports_readiness();
  stop_waits_for_open_requests();
  random_events_keep_the_invariants();
}
