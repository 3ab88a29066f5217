// The platform's front and the setup servers' side, through the whole reducer.
#include <random>
#include <set>

#include "ready.h"
#include "settings.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

void a_call_stands_and_ends() {
  Ready lab;
  lab.receive(kCaller, set_up());
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
  lab.pass(5s);
  lab.receive(lab.s0, server_bye(kId, 16));
  CHECK_EQ(lab.messages(lab.s0).at(0).status, 200);
  const jsonl::Message release = lab.line();
  CHECK_EQ(release.type, "release");
  CHECK_EQ(*release.cause, 16);
}

void a_refusal_names_a_time() {  // callers without one dialled again at once
  Ready lab(1);
  lab.tell(net::Closed{lab.s0, true});
  for (const net::Connect& c : std::exchange(lab.connects, {})) lab.tell(net::ConnectFailed{c.conn, true});
  lab.receive(kCaller, set_up());
  lab.pass(1600ms);
  const jsonl::Message release = lab.line();
  CHECK_EQ(release.type, "release");
  CHECK(!release.field("wait").empty());
}

void the_answer_is_given_by_the_deadline() {
  Ready lab;
  lab.receive(kCaller, set_up());
  lab.invite(lab.s0);
  lab.pass(1499ms);
  CHECK(lab.lines(kCaller).empty());
  lab.pass(1ms);
  CHECK_EQ(lab.line().type, "release");
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "CANCEL");
  lab.pass(5s);
  CHECK(lab.lines(kCaller).empty());
}

void a_success_that_crosses_the_cancel_is_released() {
  Ready lab;
  lab.receive(kCaller, set_up());
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
  lab.pass(3s);
  CHECK(lab.messages(lab.s0).empty() && lab.messages(lab.s1).empty() && lab.lines(kCaller).empty());
}

void after_a_reset_the_release_is_awaited() {
  Ready lab;
  lab.receive(kCaller, set_up(kId, 3000));
  const sip::Message invite = lab.invite(lab.s0);
  lab.receive(lab.s0, server_answer(invite, 504));
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "ACK");
  lab.pass(199ms);
  CHECK(lab.messages(lab.s1).empty());
  lab.pass(200ms);
  CHECK_EQ(lab.messages(lab.s1).at(0).header("CSeq"), "2 INVITE");
}

void a_full_server_sends_the_call_elsewhere_at_once() {
  Ready lab;
  lab.receive(kCaller, set_up());
  const sip::Message invite = lab.invite(lab.s0);
  lab.receive(lab.s0,
              server_answer(invite, 503, {}, "Warning-Word: cpu_full\r\nP-Load: x0:3;latency_ms:900\r\n"));
  CHECK_EQ(lab.messages(lab.s1).at(0).method, "INVITE");
}

// Of the platform's server and of the trunk's alike. What is no wait is none, and its refusal counts all the
// same.
void a_full_server_tells_its_wait() {
  const auto told = [](const std::string& header) {
    const std::string text =
        "SIP/2.0 503 x\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n" + header + "Content-Length: 0\r\n\r\n";
    return upstream::retry_after_of(sip::read_stream(text).message);
  };
  CHECK(told("P-Wait: 2949\r\n") == Duration(2949ms));
  CHECK(told("P-Wait: 0\r\n") == Duration(0ms));
  CHECK(told("P-Wait: 60000\r\n") == Duration(60s));
  for (const char* bad : {"", "P-Wait: \r\n", "P-Wait: 60001\r\n", "P-Wait: -1\r\n", "P-Wait: 1e3\r\n",
                          "P-Wait: 99999999999999999999\r\n", "P-Wait: nan\r\n", "P-Wait: 12 ms\r\n"})
    CHECK(!told(bad));

  Ready lab;
  lab.receive(kCaller, set_up());
  const sip::Message invite = lab.invite(lab.s0);
  lab.receive(lab.s0, server_answer(invite, 503, {}, "Warning-Word: cpu_full\r\nP-Wait: -7\r\n"));
  CHECK_EQ(lab.messages(lab.s1).at(0).method, "INVITE");
}

// What the program has counted under a name.
std::uint64_t counted(Lab& lab, const std::string& name) {
  net::Effects effects;
  lab.gatekeeper.step(lab.now, net::CountersRequested{}, effects);
  for (const net::Effect& effect : effects) {
    const auto* print = std::get_if<net::Print>(&effect);
    const std::size_t at = print == nullptr ? std::string::npos : print->text.find(name + " ");
    if (at != std::string::npos) return std::stoull(print->text.substr(at + name.size() + 1));
  }
  return 0;
}

// Each tick, each answer and each word of a server's state went through the whole list.
void a_long_list_costs_nothing_while_nothing_is_due() {
  Ready lab(300);
  lab.pass(1s);
  auto looked_at = [&lab, before = std::uint64_t{0}]() mutable {
    const std::uint64_t all = counted(lab, "servers.looked_at");
    return all - std::exchange(before, all);
  };
  CHECK(looked_at() <= 2 * 300);  // at its start
  lab.pass(10s);
  CHECK_EQ(looked_at(), 0U);
  // One server has a call: it is looked at in each of 20 ticks a second, and once for its answer.
  lab.receive(kCaller, set_up());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.pass(10s);
  CHECK_EQ(looked_at(), 201U);
  lab.receive(lab.s0, server_bye(kId, 16));
  lab.pass(15s);  // it is remembered for a while
  looked_at();
  lab.pass(10s);
  CHECK_EQ(looked_at(), 0U);
  // All tell their state twice: each on its own connection.
  for (std::uint32_t i = 0; i < 600; ++i)
    lab.receive({Concern::server, lab.s0.number + i % 300},
                "NOTIFY sip:x@net SIP/2.0\r\nCall-ID: n\r\nP-Load: x0:9\r\nContent-Length: 0\r\n\r\n");
  lab.pass(1s);
  CHECK(looked_at() <= 600);
  // One that is lost is looked after until it is back, and no other one is.
  lab.connects.clear();
  lab.tell(net::Closed{lab.s1, true});
  CHECK_EQ(lab.connects.size(), 1U);
  lab.tell(net::ConnectFailed{lab.connects[0].conn, true});
  lab.connects.clear();
  lab.pass(1s);
  CHECK_EQ(lab.connects.size(), 1U);
  CHECK(looked_at() <= 21);
  lab.bring_up();
  lab.pass(1s);
  looked_at();
  lab.pass(10s);
  CHECK_EQ(looked_at(), 0U);
}

// A server numbers its answers itself: with 1 in CSeq each time. Matched on that number too, the answer to a
// further attempt at the same server was laid to the first one, and the call hung until its deadline.
void a_further_attempt_at_the_same_server_is_answered() {
  Ready lab(1);
  lab.receive(kCaller, set_up(kId, 4000));
  const sip::Message first = lab.invite(lab.s0);
  lab.pass(70ms);                                    // within the throttle's budget
  lab.receive(kCaller, set_up("00000000000000bb"));  // answered ahead of it: the first one is lost
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "b"));
  CHECK_EQ(lab.line().id, "00000000000000bb");
  lab.messages(lab.s0);
  lab.pass(1200ms);
  const auto sent = lab.messages(lab.s0);
  CHECK_EQ(sent.size(), 2U);
  CHECK_EQ(sent[0].method, "CANCEL");
  CHECK_EQ(sent[1].header("Call-ID"), kId);
  lab.receive(lab.s0, server_answer(first, 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  CHECK_EQ(lab.messages(lab.s0).size(), 1U);  // the ACK: the call is not released
  // Its end is that of the attempt that stands, on whichever connection it comes.
  lab.receive(lab.s0, server_bye(kId, 16));
  CHECK_EQ(lab.line().type, "release");
}

// The first attempt's connection is the one on which the end of the second came: it was laid to the first.
void the_end_of_a_call_may_come_on_the_connection_of_an_earlier_attempt() {
  Ready lab(1);
  lab.receive(kCaller, set_up(kId, 4000));
  const sip::Message first = lab.invite(lab.s0);
  lab.pass(100ms);
  lab.receive(kCaller, set_up("00000000000000bb") + set_up("00000000000000cc", 8000));
  const auto others = lab.messages(lab.s0);
  lab.receive(lab.s0, server_answer(others.at(0), 200, "b"));
  lab.lines(kCaller);
  lab.pass(580ms);
  CHECK_EQ(lab.messages(lab.s0).back().method, "CANCEL");
  lab.pass(100ms);  // nothing has come for 0.6 s: a second connection is tried and takes what follows
  const ConnId next = lab.connects.at(0).conn;
  lab.bring_up();
  lab.pass(400ms);
  CHECK_EQ(lab.messages(next).at(0).header("Call-ID"), kId);
  lab.receive(next, server_answer(first, 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  lab.receive(lab.s0, server_bye(kId, 16));
  CHECK_EQ(lab.line().type, "release");
}

// With answers known to come within 60 ms, 600 ms of silence were waited for, and 15 calls hung meanwhile.
void a_silent_connection_is_noticed_by_what_it_owes() {
  Ready lab(2);
  const auto id = [](int i) { return "00000000000000" + std::to_string(10 + i); };
  for (int i = 0; i < 8; ++i) {
    lab.receive(kCaller, set_up(id(i)));
    const sip::Message invite = lab.invite(lab.s0);
    lab.pass(60ms);
    lab.receive(lab.s0, server_answer(invite, 200, "a"));
    lab.messages(lab.s0);
  }
  lab.lines(kCaller);
  CHECK(lab.connects.empty());
  lab.receive(kCaller, set_up(id(20)) + set_up(id(21)) + set_up(id(22)));
  CHECK_EQ(lab.messages(lab.s0).size(), 3U);
  lab.pass(90ms);
  CHECK(lab.connects.empty());
  lab.pass(60ms);                     // their wait is still within the throttle's budget
  CHECK_EQ(lab.connects.size(), 1U);  // doubted: what follows goes another way, what is owed is waited for
  const ConnId next = lab.connects.at(0).conn;
  lab.bring_up();
  lab.receive(kCaller, set_up(id(30)));
  const sip::Message invite = lab.invite(next);
  CHECK(std::count(lab.closed.begin(), lab.closed.end(), lab.s0) == 0);
  lab.pass(20ms);
  lab.receive(next, server_answer(invite, 200, "a"));  // overtakes the three
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), lab.s0), 1);
  CHECK_EQ(std::count(lab.dropped.begin(), lab.dropped.end(), lab.s0), 1);  // read no more, not half closed
  // Calls stood there, and what told of their end may be lost: it is told again on the next connection, which
  // takes no set-ups and goes when it has nothing more to tell.
  CHECK_EQ(lab.connects.size(), 1U);
  const ConnId news = lab.connects.at(0).conn;
  lab.bring_up();
  lab.lines(kCaller);
  lab.receive(news, server_bye(id(0), 16));
  CHECK_EQ(lab.line().type, "release");
  for (int i = 1; i < 8; ++i) lab.receive(news, server_bye(id(i), 16));  // while they stand it is kept
  CHECK_EQ(lab.lines(kCaller).size(), 7U);
  lab.messages(next);
  lab.receive(kCaller, set_up(id(31)));
  CHECK_EQ(lab.invite(next).header("Call-ID"), id(31));
  lab.messages(lab.s1);
  lab.pass(500ms);
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), news), 1);
  std::set<std::string> again;
  for (const sip::Message& m : lab.messages(lab.s1)) {
    if (m.method == "INVITE") again.insert(std::string(m.header("Call-ID")));
  }
  CHECK_EQ(again.size(), 3U);
}

// The connection opened in doubt fell silent at once as well, and the next one came 1.2 s later: what the
// server had released meanwhile was told to its callers after more than the 1 s that they are owed.
void a_second_silent_connection_is_noticed_in_time() {
  Ready lab(1);
  lab.stand(lab.s0);
  const auto call_until_doubted = [&](int from) {  // calls come all the time and none is answered
    Duration waited{};
    for (int i = from; lab.connects.empty() && waited < 3s; ++i, waited += 50ms) {
      lab.receive(kCaller, set_up("00000000000000" + std::to_string(i), 4000));
      lab.pass(50ms);
    }
    return waited;
  };
  call_until_doubted(10);
  CHECK_EQ(lab.connects.size(), 1U);
  lab.bring_up();  // silent too
  CHECK(call_until_doubted(40) <= 900ms);
  const ConnId third = lab.connects.at(0).conn;
  lab.bring_up();
  lab.release_is_told_on(third);
}

// The set-ups that a doubted connection owed were given up by their callers, and it went half closed:
// releases that the server had written there meanwhile were told nowhere.
void a_silent_connection_where_calls_stand_is_told_about_anew() {
  Ready lab(1);
  lab.stand(lab.s0);
  lab.receive(kCaller, set_up("00000000000000bb", 900));  // never answered
  while (lab.connects.empty()) lab.pass(50ms);
  lab.bring_up();
  lab.pass(1s);  // its caller has left
  CHECK_EQ(std::count(lab.dropped.begin(), lab.dropped.end(), lab.s0), 1);
  CHECK_EQ(lab.connects.size(), 1U);
  const ConnId news = lab.connects.at(0).conn;
  lab.bring_up();
  lab.release_is_told_on(news);
}

// The server told of calls whose connection was gone on the one that had been opened for their news. That one
// fell silent, was let go after 0.3 s, and none was opened: a release told there meanwhile was lost.
void news_that_falls_silent_is_asked_for_anew() {
  Ready lab(1);
  lab.stand(lab.s0);
  lab.receive(kCaller, set_up("00000000000000bb", 4000));  // owed
  for (int i = 0; i < 40 && lab.connects.empty(); ++i) lab.pass(50ms);
  const ConnId next = lab.connects.at(0).conn;
  lab.bring_up();
  lab.receive(lab.s0, "what is this\r\n\r\n");  // spoilt: the call that stands has no connection any more
  lab.lines(kCaller);
  for (int round = 0; round < 4; ++round) {  // each news connection is silent, and the next one soon opened
    CHECK_EQ(lab.connects.size(), 1U);
    lab.bring_up();
    Duration waited{};
    for (; lab.connects.empty() && waited < 3s; waited += 50ms) {
      lab.pass(50ms);
      lab.receive(next, "SIP/2.0 100 x\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n");
    }
    CHECK(waited >= 500ms && waited <= 700ms);
  }
  const ConnId last = lab.connects.at(0).conn;
  lab.bring_up();
  lab.release_is_told_on(last);
  lab.messages(last);
  lab.pass(700ms);  // nothing is left to be told
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), last), 1);
}

// Where the next message could still be found, the connection was kept, and what was sent on it got no
// answer.
void a_spoilt_answer_ends_its_connection() {
  const std::string head = "\r\nCall-ID: " + kId + "\r\nCSeq: 1 INVITE\r\nContent-Length: ";
  const std::string spoilt[] = {
      "SIP/9.9 OK 200" + head + "1\r\n\r\na",                                  // no first line
      "SIP/2.0 200 OK\r\n: x" + head + "1\r\n\r\na",                           // a header without a name
      "SIP/2.0 200 OK\r\nCall-ID: " + kId + "\r\nContent-Length: 1\r\n\r\na",  // no CSeq
      "SIP/2.0 200 OK" + head + "1\r\n\r\na 8 101\r\n",                        // a length that is too short
      "SIP/2.0 200 OK" + head + "3000000000\r\n\r\na",                         // one that claims to hold 3 GB
      "SIP/2.0 200 OK" + head + "2\r\n\r\na\xff",                      // a description that is not text
      "SIP/2.0 200 OK" + head + "20\r\n\r\nNOTIFY x SIP/2.0\r\n\r\n",  // one that has eaten the next message
      "SIP/2.0 200 OK" + head + "20\r\n\r\na",                         // one that stops short
  };
  for (const std::string& bytes : spoilt) {
    Ready lab;
    lab.receive(kCaller, set_up(kId, 3000));
    lab.invite(lab.s0);
    lab.receive(lab.s0, bytes);
    lab.pass(500ms);
    CHECK(!lab.closed.empty() && lab.closed[0] == lab.s0);
    CHECK(lab.lines(kCaller).empty());
    lab.pass(300ms);
    CHECK_EQ(lab.messages(lab.s1).at(0).header("Call-ID"), kId);
  }
}

// Both came in one read, and the release was taken for what did not fit: the caller was never told (one play
// of four of a day with spoilt answers).
void a_release_just_ahead_of_noise_is_told() {
  const std::string noise =
      "\x01gx\xd7\xfe"
      "E\r\n\r\n";
  Ready lab;
  lab.receive(kCaller, set_up());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  lab.receive(lab.s0, server_bye(kId, 16) + noise);
  const jsonl::Message told = lab.line();
  CHECK_EQ(told.type, "release");
  CHECK_EQ(told.id, kId);
  CHECK(!lab.dropped.empty() && lab.dropped[0] == lab.s0);  // nothing more can be read there

  // A refusal too: that set-up has its end, and is not in doubt.
  Ready other;
  other.receive(kCaller, set_up(kId, 3000));
  other.receive(other.s0, server_answer(other.invite(other.s0), 503, "") + noise);
  other.pass(100ms);
  CHECK_EQ(other.messages(other.s1).at(0).header("Call-ID"), kId);
}

// A second copy, or an answer under an unknown id, whatever it holds: what is good beside it is used.
void more_than_belongs_to_an_answer_is_passed_over() {
  Ready lab;
  lab.receive(kCaller, set_up());
  const sip::Message invite = lab.invite(lab.s0);
  sip::Message unknown = invite;
  unknown.set("Call-ID", "00000000000000ff");
  const std::string good = server_answer(invite, 200, "a");
  lab.receive(lab.s0, server_answer(unknown, 200, "\xff\xfe") + good + good);
  CHECK_EQ(lab.line().type, "answer");
  lab.pass(500ms);
  CHECK(lab.closed.empty() && lab.lines(kCaller).empty());
}

void an_answer_that_was_lost_shows_in_the_release() {  // it went unheard, and the caller was never told
  Ready lab;
  lab.receive(kCaller, set_up(kId, 3000));
  const sip::Message invite = lab.invite(lab.s0);
  lab.receive(lab.s0, server_bye(kId, 16));
  CHECK_EQ(lab.line().type, "release");
  lab.messages(lab.s0);
  lab.receive(lab.s0, server_answer(invite, 200, "a"));
  CHECK_EQ(lab.messages(lab.s0).at(1).method, "BYE");
  lab.pass(3s);
  CHECK(lab.lines(kCaller).empty() && lab.messages(lab.s1).empty());
}

// It stays open and silent while the server goes on telling its state on the others: its set-ups hung there.
void a_connection_that_is_not_told_what_others_are_is_closed() {
  Ready lab;
  const std::string state = "NOTIFY sip:x@net SIP/2.0\r\nCall-ID: n\r\nContent-Length: 0\r\n\r\n";
  for (int i = 0; i < 3; ++i) {
    lab.pass(400ms);
    lab.receive(lab.s0, state);
  }
  lab.receive(kCaller, set_up(kId, 3000));
  lab.messages(lab.s0);
  lab.pass(700ms);
  const auto second = lab.bring_up("127.0.0.1:9000");
  CHECK_EQ(second.size(), 1U);
  CHECK(lab.closed.empty());
  lab.receive(second[0], state);
  CHECK(lab.closed.size() == 1 && lab.closed[0] == lab.s0);
  lab.pass(300ms);
  CHECK_EQ(lab.messages(lab.s1).at(0).header("Call-ID"), kId);
}

void nothing_new_to_a_server_that_drains() {  // also what waits for its connection
  PlatformConfig config = config_for_tests();
  config.journal = "127.0.0.1:8500";
  Lab lab(config);
  lab.tell(net::Accepted{kCaller});
  std::map<std::string, ConnId> by_address;
  for (const net::Connect& c : lab.connects) by_address[c.address] = c.conn;
  const ConnId journal = by_address.at("127.0.0.1:8500");
  const ConnId s0 = by_address.at("127.0.0.1:9000");
  const ConnId s1 = by_address.at("127.0.0.1:9001");
  lab.tell(net::Connected{journal});
  lab.tell(net::Connected{s1});
  CHECK(lab.take(journal).find("Last-Event-ID: 0\r\n") != std::string::npos);
  lab.receive(kCaller, set_up());
  CHECK(lab.take(s0).empty());
  const std::string event =
      R"({"pos":4,"hosts":{"rev":2,"all":false,"targets":[{"uid":"s0","endpoint":"127.0.0.1:9000","az":"",)"
      R"("pod_group":0,"state":"draining","boot_ms":0}]}})";
  const std::string stream =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hi\n\nid: 4\ndata: " + event + "\n\n";
  for (const char c : stream) lab.receive(journal, std::string(1, c));
  lab.tell(net::Connected{s0});
  CHECK(lab.take(s0).empty());
  CHECK_EQ(lab.messages(s1).at(0).method, "INVITE");
  // After a break the journal is asked for what came since.
  lab.tell(net::Closed{journal, true});
  lab.pass(300ms);
  const ConnId again = lab.connects.back().conn;
  lab.tell(net::Connected{again});
  CHECK(lab.take(again).find("Last-Event-ID: 4\r\n") != std::string::npos);
}

// The old service may still come up, answer or end after the move, and a time to ask it again may be pending.
void a_journal_that_moves_is_asked_for_what_is_new() {
  for (const bool broken : {false, true}) {
    PlatformConfig config = config_for_tests();
    config.journal = "127.0.0.1:8500";
    config.known_position = 7;
    Lab lab(config);
    const auto dialled = [&](const std::string& address) {
      std::vector<ConnId> all;
      for (const net::Connect& c : lab.connects) {
        if (c.address == address) all.push_back(c.conn);
      }
      return all;
    };
    const ConnId old = dialled("127.0.0.1:8500").at(0);
    if (broken) lab.tell(net::ConnectFailed{old, true});
    const nlohmann::json fresh_config = {
        {"listen", "127.0.0.1:1"}, {"seed", "1"}, {"journal", "127.0.0.1:8501"}, {"settings", settings()}};
    lab.tell(net::FileRead{"", fresh_config.dump()});
    const ConnId fresh = dialled("127.0.0.1:8501").at(0);
    lab.tell(net::Connected{fresh});
    CHECK(lab.take(fresh).find("Last-Event-ID: 7\r\n") != std::string::npos);
    if (!broken) lab.tell(net::Closed{old, false});
    lab.pass(2s);
    CHECK_EQ(dialled("127.0.0.1:8500").size(), 1U);
    CHECK_EQ(dialled("127.0.0.1:8501").size(), 1U);
    // One that stops while it stays open is asked again well within 4 s.
    lab.pass(500ms);
    CHECK_EQ(dialled("127.0.0.1:8501").size(), 2U);
  }
}

void a_lost_connection_gives_up_its_set_ups_only() {
  Ready lab;
  lab.receive(kCaller, set_up("00000000000000aa") + set_up("00000000000000bb", 3000));
  const auto invites = lab.messages(lab.s0);
  CHECK_EQ(invites.size(), 2U);
  lab.receive(lab.s0, server_answer(invites[0], 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  lab.tell(net::Closed{lab.s0, true});
  lab.pass(400ms);
  CHECK_EQ(lab.messages(lab.s1).at(0).header("Call-ID"), "00000000000000bb");
  CHECK(lab.lines(kCaller).empty());  // the standing call stands
  // Its end comes on the next connection.
  CHECK(!lab.connects.empty());
  const ConnId next = lab.connects.back().conn;
  lab.bring_up();
  lab.receive(next, server_bye("00000000000000aa", 41));
  const jsonl::Message release = lab.line();
  CHECK_EQ(release.id, "00000000000000aa");
  CHECK_EQ(*release.cause, 41);
}

void calls_of_a_vanished_server_are_released_in_time() {  // no release can be sent: 8 s are allowed
  Ready lab;
  lab.receive(kCaller, set_up());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.line();
  for (int i = 0; i < 75; ++i) {
    lab.pass(100ms);
    for (const net::Connect& c : std::exchange(lab.connects, {})) {
      if (c.address == "127.0.0.1:9000") lab.tell(net::ConnectFailed{c.conn, false});
    }
  }
  CHECK_EQ(lab.line().type, "release");
}

// A silent connection is closed and its set-up waits for the guard; the server says on the next one that the
// call had stood there and is over. The caller was told that, its final answer, and the call was sent on.
void a_release_of_a_call_that_waits_is_its_one_answer() {
  Ready lab;
  lab.pass(300ms);
  lab.receive(kCaller, set_up(kId, 3000));
  lab.invite(lab.s0);
  lab.tell(net::Closed{lab.s0, true});
  const ConnId next = lab.connects.at(0).conn;
  lab.bring_up();
  lab.receive(next, server_bye(kId, 16));
  CHECK_EQ(lab.messages(next).at(0).status, 200);
  const jsonl::Message release = lab.line();
  CHECK_EQ(release.type, "release");
  CHECK(!release.field("wait").empty());
  lab.receive(next, server_bye(kId, 16));  // told once more: it is not passed on either
  CHECK_EQ(lab.messages(next).at(0).status, 200);
  lab.pass(5s);
  CHECK(lab.messages(next).empty() && lab.messages(lab.s1).empty() && lab.lines(kCaller).empty());
}

// The next attempt is out elsewhere already: it goes on, its answer is the call's, and no other follows it.
void a_release_of_an_earlier_attempt_leaves_the_next_one() {
  for (const int status : {200, 503}) {
    Ready lab;
    lab.receive(kCaller, set_up(kId, 3000));
    lab.invite(lab.s0);
    lab.tell(net::Closed{lab.s0, true});
    lab.pass(400ms);
    const sip::Message second = lab.invite(lab.s1);
    const ConnId next = lab.connects.at(0).conn;
    lab.bring_up();
    lab.receive(next, server_bye(kId, 16));
    CHECK_EQ(lab.messages(next).at(0).status, 200);
    CHECK(lab.lines(kCaller).empty());
    lab.receive(lab.s1, server_answer(second, status, status == 200 ? "answer" : ""));
    lab.pass(2900ms);
    CHECK_EQ(lab.line().type, status == 200 ? "answer" : "release");
    CHECK(lab.messages(next).empty());
  }
}

// A call that stood before a restart: nobody holds it here, and its caller may still be there.
void a_release_of_a_call_that_nobody_holds_is_passed_on() {
  Ready lab;
  lab.receive(lab.s0, server_bye(kId, 41));
  const jsonl::Message release = lab.line();
  CHECK_EQ(release.id, kId);
  CHECK_EQ(*release.cause, 41);
}

void set_ups_at_a_vanished_server_go_elsewhere() {  // they hung until their callers gave up
  Ready lab;
  lab.receive(kCaller, set_up(kId, 4000));
  lab.invite(lab.s0);
  for (int i = 0; i < 15; ++i) {
    lab.pass(100ms);
    for (const net::Connect& c : std::exchange(lab.connects, {})) {
      if (c.address == "127.0.0.1:9000") lab.tell(net::ConnectFailed{c.conn, false});
    }
  }
  const auto at_other = lab.messages(lab.s1);
  CHECK_EQ(at_other.size(), 1U);
  CHECK_EQ(at_other[0].header("Call-ID"), kId);
  CHECK(std::find(lab.closed.begin(), lab.closed.end(), lab.s0) != lab.closed.end());
}

void calls_of_a_quiet_server_are_kept() {  // it has nothing to say but can be reached
  Ready lab;
  lab.receive(kCaller, set_up());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.line();
  for (int i = 0; i < 200; ++i) {
    lab.pass(100ms);
    lab.bring_up();
  }
  CHECK(lab.lines(kCaller).empty());
}

void a_release_finds_another_connection() {  // calls belong to none
  Ready lab;
  lab.receive(kCaller, set_up());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.line();
  lab.tell(net::Closed{kCaller, false});
  lab.receive(lab.s0, server_bye(kId, 16));
  const ConnId other{Concern::platform, 2};
  lab.tell(net::Accepted{other});
  CHECK_EQ(lab.lines(other).at(0).id, kId);
  // And so does one that a server sends for a call that stood before a restart.
  lab.receive(lab.s0, server_bye("00000000000000cc", 16));
  CHECK_EQ(lab.lines(other).at(0).id, "00000000000000cc");
}

void malformed_lines_are_refused_and_harm_nobody() {
  Ready lab;
  lab.receive(kCaller, set_up());
  lab.receive(kCaller, "{\"type\":\"setup\",\"id\":\"00000000000000dd\",\"fields\":{\"class\":\"no\"}}\n");
  const jsonl::Message refusal = lab.line();
  CHECK_EQ(refusal.id, "00000000000000dd");
  CHECK(lab.closed.empty());
  const ConnId other{Concern::platform, 2};
  lab.tell(net::Accepted{other});
  lab.receive(other, "not json\n");
  CHECK(lab.closed.size() == 1 && lab.closed[0] == other);
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
}

// The answer of an open call went to whoever named its id last; under a standing id there was no word at all.
void an_id_that_is_open_belongs_to_its_caller() {
  Ready lab;
  const ConnId other{Concern::platform, 2};
  lab.tell(net::Accepted{other});
  lab.receive(kCaller, set_up());
  const sip::Message invite = lab.invite(lab.s0);
  std::string different = set_up();
  different.replace(different.find("offer"), 5, "other");
  lab.receive(other, different);
  CHECK_EQ(lab.lines(other).at(0).type, "release");
  lab.receive(other, R"({"type":"release","id":")" + kId + R"(","fields":{},"cause":16})" + "\n");
  lab.receive(other, R"({"type":"setup","id":")" + kId + R"(","fields":{"class":"no"}})" + "\n");
  CHECK_EQ(lab.lines(other).size(), 2U);
  lab.receive(kCaller, set_up());  // the same call once more is no second one
  lab.receive(lab.s0, server_answer(invite, 200, "a"));
  CHECK_EQ(lab.messages(lab.s0).size(), 1U);  // the ACK: nothing was called off
  CHECK_EQ(lab.line().type, "answer");
  lab.receive(other, different);
  CHECK_EQ(lab.lines(other).at(0).type, "release");
  CHECK(lab.lines(kCaller).empty() && lab.messages(lab.s0).empty());
}

void a_set_up_that_crossed_a_close_is_answered_on_its_new_connection() {
  Ready lab;
  const ConnId other{Concern::platform, 2};
  lab.tell(net::Accepted{other});
  lab.receive(kCaller, set_up());
  lab.receive(other, set_up(kId, 1400));
  lab.tell(net::Closed{kCaller, false});
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  CHECK_EQ(lab.lines(other).at(0).type, "answer");
}

void two_calls_under_one_id_on_one_connection_are_both_refused() {  // which one was answered could not be
                                                                    // told
  Ready lab;
  std::string different = set_up();
  different.replace(different.find("offer"), 5, "other");
  lab.receive(kCaller, set_up() + different);
  CHECK_EQ(lab.line().type, "release");
  const auto sent = lab.messages(lab.s0);
  CHECK_EQ(sent.at(1).method, "CANCEL");
  lab.receive(lab.s0, server_answer(sent[0], 200, "a"));
  CHECK(lab.lines(kCaller).empty());
}

bool is_closed(const Lab& lab, ConnId conn) {
  return std::find(lab.closed.begin(), lab.closed.end(), conn) != lab.closed.end();
}

// Nothing closed them: callers that say nothing, or never end what they begin, filled the connections.
void who_sends_nothing_whole_is_closed_within_three_seconds() {
  Ready lab;
  const ConnId silent{Concern::platform, 2};
  const ConnId half{Concern::platform, 3};
  const ConnId keeps{Concern::platform, 4};
  for (const ConnId conn : {silent, half, keeps}) lab.tell(net::Accepted{conn});
  lab.receive(kCaller, set_up(kId, 30'000));
  lab.receive(keeps, R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                     "\n");
  for (int i = 0; i < 28; ++i) {  // byte by byte
    lab.pass(100ms);
    if (!is_closed(lab, half)) lab.receive(half, "{");
  }
  CHECK(is_closed(lab, silent) && is_closed(lab, half));
  CHECK(!is_closed(lab, keeps) && !is_closed(lab, kCaller));
  lab.pass(15s);
  CHECK(is_closed(lab, keeps) && !is_closed(lab, kCaller));  // a set-up is open there
}

void there_is_room_for_callers_whoever_keeps_connections() {  // new ones were turned away
  PlatformConfig config = config_for_tests();
  config.sockets = 90;
  Lab lab(config);
  const std::string ping = R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                           "\n";
  lab.tell(net::Accepted{kCaller});
  lab.receive(kCaller, set_up());
  for (std::uint32_t i = 2; i <= 100; ++i) {
    lab.tell(net::Accepted{{Concern::platform, i}});
    lab.receive({Concern::platform, i}, ping);
    CHECK(!is_closed(lab, {Concern::platform, i}));
    lab.pass(1ms);
  }
  CHECK_EQ(lab.closed.size(), 100U - 31U);
  CHECK(!is_closed(lab, kCaller));
}

void figures_out_of_range_are_refused() {  // they reached the module, and servers spent work on them
  Ready lab;
  for (const std::string extras :
       {"dest:nan", "dest:1e300", "dest:-3", "dest:0.5", "dest:0;width:nan", "dest:0;width:-1",
        "dest:0;width:0", "dest:0;width:400", "dest:0;width:inf", "dest:"}) {
    std::string line = set_up();
    const std::string usual = "dest:0;width:1;via:-1";
    line.replace(line.find(usual), usual.size(), extras);
    lab.receive(kCaller, line);
    CHECK_EQ(lab.line().type, "release");
  }
  CHECK(lab.messages(lab.s0).empty() && lab.messages(lab.s1).empty());
}

void a_ping_passes_when_ready() {
  Lab lab;
  lab.tell(net::Accepted{kCaller});
  const std::string ping = R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                           "\n";
  lab.receive(kCaller, ping);
  CHECK_EQ(*lab.lines(kCaller).at(0).cause, 0);
  lab.bring_up();
  lab.receive(kCaller, ping);
  CHECK_EQ(*lab.lines(kCaller).at(0).cause, 1);
}

void a_stop_lets_open_requests_finish() {
  Ready lab;
  lab.tell(net::StopRequested{});
  lab.pass(800ms);
  lab.receive(kCaller, set_up());  // still comes after SIGTERM
  const sip::Message invite = lab.invite(lab.s0);
  lab.pass(1s);
  CHECK(!lab.exit_status);
  lab.receive(lab.s0, server_answer(invite, 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  CHECK_EQ(lab.exit_status.value_or(-1), 0);
}

// A model of a server connection against random steps: whatever happens to the connections and whatever the
// server says, every set-up gets one final answer, no call has two attempts out, and nothing is sent on a
// connection that is not up.
void random_steps_keep_the_rules() {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    Lab lab;
    lab.tell(net::Accepted{kCaller});
    enum class State { connecting, up, gone };
    std::map<ConnId, State> model;
    struct Out {
      ConnId conn;
      sip::Message invite;
    };
    std::map<std::string, Out> out;        // attempts at servers, by call
    std::map<std::string, Time> ended_at;  // of attempts with a trace
    std::map<std::string, Time> deadline;
    std::map<std::string, int> finals;
    std::map<std::string, std::string> standing;  // the address of the server, by call
    std::map<std::string, std::string> answered_at;
    std::map<ConnId, std::string> address;
    const auto look = [&] {
      for (const net::Connect& c : std::exchange(lab.connects, {})) {
        model[c.conn] = State::connecting;
        address[c.conn] = c.address;
      }
      for (const ConnId conn : std::exchange(lab.closed, {})) {
        model[conn] = State::gone;
        for (auto it = out.begin(); it != out.end();) {
          if (it->second.conn == conn) ended_at[it->first] = lab.now;
          it = it->second.conn == conn ? out.erase(it) : std::next(it);
        }
      }
      for (auto& [conn, state] : model) {
        if (lab.sent[conn].empty()) continue;
        CHECK(state == State::up);
        for (const sip::Message& m : lab.messages(conn)) {
          const std::string id(m.header("Call-ID"));
          if (m.method == "INVITE") {
            CHECK(!out.contains(id));
            CHECK(lab.now < deadline.at(id));
            if (ended_at.contains(id)) CHECK(lab.now - ended_at[id] >= 200ms);
            out[id] = {conn, m};
          } else if (m.method == "CANCEL") {
            out.erase(id);
            ended_at[id] = lab.now;
          }
        }
      }
      for (const jsonl::Message& m : lab.lines(kCaller)) {
        if (m.type == "release" && standing.erase(m.id) > 0) continue;
        CHECK_EQ(++finals[m.id], 1);
        CHECK(lab.now <= deadline.at(m.id));
        if (m.type == "answer") standing[m.id] = answered_at.at(m.id);
      }
    };
    look();
    lab.watch = look;
    for (int step = 0; step < 400; ++step) {
      const std::uint32_t pick = random() % 10;
      if (pick < 3) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(step + 1));
        const int left = 200 + static_cast<int>(random() % 3000);
        deadline[id] = lab.now + std::chrono::milliseconds(left);
        finals[id] = 0;
        lab.receive(kCaller, set_up(id, left, static_cast<int>(random() % 2)));
      } else if (pick < 6 && !out.empty()) {
        auto it = out.begin();
        std::advance(it, random() % out.size());
        const auto [id, o] = *it;
        constexpr int kStatus[] = {200, 200, 200, 503, 486, 480, 504};
        const int status = kStatus[random() % 7];
        out.erase(it);
        if (status == 504) ended_at[id] = lab.now;
        answered_at[id] = address.at(o.conn);
        lab.receive(o.conn, server_answer(o.invite, status, "a"));
      } else if (pick == 6) {
        for (auto& [conn, state] : model) {
          if (state != State::connecting) continue;
          const bool up = random() % 3 != 0;
          state = up ? State::up : State::gone;
          if (up) {
            lab.tell(net::Connected{conn});
          } else {
            lab.tell(net::ConnectFailed{conn, random() % 2 == 0});
          }
          break;
        }
      } else if (pick == 7 && random() % 3 == 0) {
        for (auto& [conn, state] : model) {
          if (state != State::up) continue;
          state = State::gone;
          for (auto it = out.begin(); it != out.end();) {
            if (it->second.conn == conn) ended_at[it->first] = lab.now;
            it = it->second.conn == conn ? out.erase(it) : std::next(it);
          }
          lab.tell(net::Closed{conn, true});
          break;
        }
      } else if (pick == 8 && !standing.empty()) {
        const auto [id, at] = *standing.begin();
        for (auto& [conn, state] : model) {  // its release comes on every connection
          if (state == State::up && address.at(conn) == at) lab.receive(conn, server_bye(id, 41));
        }
      }
      lab.pass(std::chrono::milliseconds(random() % 200));
    }
    lab.pass(4s);  // to the end of all that was asked
    for (const auto& [id, count] : finals) CHECK_EQ(count, 1);
  }
}

}  // namespace

int main() {
  a_call_stands_and_ends();
  a_refusal_names_a_time();
  the_answer_is_given_by_the_deadline();
  a_success_that_crosses_the_cancel_is_released();
  after_a_reset_the_release_is_awaited();
  a_full_server_sends_the_call_elsewhere_at_once();
  a_full_server_tells_its_wait();
  a_long_list_costs_nothing_while_nothing_is_due();
  a_further_attempt_at_the_same_server_is_answered();
  the_end_of_a_call_may_come_on_the_connection_of_an_earlier_attempt();
  a_silent_connection_is_noticed_by_what_it_owes();
  a_second_silent_connection_is_noticed_in_time();
  a_silent_connection_where_calls_stand_is_told_about_anew();
  news_that_falls_silent_is_asked_for_anew();
  a_spoilt_answer_ends_its_connection();
  a_release_just_ahead_of_noise_is_told();
  more_than_belongs_to_an_answer_is_passed_over();
  an_answer_that_was_lost_shows_in_the_release();
  a_connection_that_is_not_told_what_others_are_is_closed();
  nothing_new_to_a_server_that_drains();
  a_journal_that_moves_is_asked_for_what_is_new();
  a_lost_connection_gives_up_its_set_ups_only();
  calls_of_a_vanished_server_are_released_in_time();
  a_release_of_a_call_that_waits_is_its_one_answer();
  a_release_of_an_earlier_attempt_leaves_the_next_one();
  a_release_of_a_call_that_nobody_holds_is_passed_on();
  set_ups_at_a_vanished_server_go_elsewhere();
  calls_of_a_quiet_server_are_kept();
  a_release_finds_another_connection();
  malformed_lines_are_refused_and_harm_nobody();
  an_id_that_is_open_belongs_to_its_caller();
  a_set_up_that_crossed_a_close_is_answered_on_its_new_connection();
  two_calls_under_one_id_on_one_connection_are_both_refused();
  who_sends_nothing_whole_is_closed_within_three_seconds();
  there_is_room_for_callers_whoever_keeps_connections();
  figures_out_of_range_are_refused();
  a_ping_passes_when_ready();
  a_stop_lets_open_requests_finish();
  random_steps_keep_the_rules();
}
