// What may come between two steps, through the whole reducer and under the test's own clock: closes, stops,
// lists and timers in the wrong instant. docs/design/crossings.md lists them; runtime_test and
// crossings_process_test force the same on sockets.
#include <nlohmann/json.hpp>
#include <random>

#include "ready.h"
#include "settings.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

std::size_t invites(Lab& lab, ConnId conn) {
  std::size_t count = 0;
  for (const sip::Message& m : lab.messages(conn)) count += m.method == "INVITE" ? 1 : 0;
  return count;
}

std::string release(const std::string& id) {
  return R"({"type":"release","id":")" + id + R"(","fields":{},"cause":16})" + "\n";
}

// ---- Client gone

// The close is known ahead of what stands unread before it: its open set-ups are called off at once, those
// still to be read are nobody's, and a release among them is heard.
void a_caller_that_closed_has_gone_whatever_is_left_to_read() {
  Ready lab;
  const std::string standing = "00000000000000aa";
  lab.receive(kCaller, set_up(standing));
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.messages(lab.s0);
  lab.lines(kCaller);
  lab.receive(kCaller, set_up());
  CHECK_EQ(lab.invite(lab.s0).header("Call-ID"), kId);
  lab.tell(net::PeerClosed{kCaller});
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "CANCEL");
  lab.receive(kCaller, set_up("00000000000000bb") + release(standing) + set_up("00000000000000cc"));
  const auto sent = lab.messages(lab.s0);
  CHECK_EQ(sent.size(), 1U);
  CHECK_EQ(sent[0].method, "BYE");
  lab.tell(net::Closed{kCaller, false});
  lab.pass(3s);
  CHECK_EQ(invites(lab, lab.s0) + invites(lab, lab.s1), 0U);
}

std::vector<std::string> released(Lab& lab, ConnId conn) {
  std::vector<std::string> ids;
  for (const jsonl::Message& m : lab.lines(conn)) {
    if (m.type == "release") ids.push_back(m.id);
  }
  return ids;
}

// Guards: a request that was read gets its answer, though its caller closed one half or its connection is
// ended for what came after it. On a connection just accepted as well: nothing was answered on it before. It
// was closed without a word.
void what_was_read_is_answered_before_its_connection_ends() {
  const std::string second = "00000000000000bb";
  for (const std::string_view end : {"half close", "garbage", "half a line for good"}) {
    Ready lab;
    const ConnId fresh{Concern::platform, 7};
    lab.tell(net::Accepted{fresh});
    lab.receive(fresh, set_up(kId, 60'000) + set_up(second, 60'000));
    CHECK(released(lab, fresh).empty());
    if (end == "half close") {
      lab.tell(net::PeerClosed{fresh});
    } else if (end == "garbage") {
      lab.receive(fresh, "no line of this protocol\n");
    } else {
      lab.receive(fresh, R"({"type":)");
      lab.pass(20s);
    }
    CHECK((released(lab, fresh) == std::vector<std::string>{kId, second}));
    CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), fresh), end == "half close" ? 0 : 1);
    lab.pass(70s);
    CHECK(released(lab, fresh).empty());
    CHECK_EQ(invites(lab, lab.s0) + invites(lab, lab.s1), 2U);  // those of the beginning
  }
  // What is read only after the half close is answered too, and nothing begins for it.
  Ready lab;
  lab.tell(net::PeerClosed{kCaller});
  lab.receive(kCaller, set_up() + set_up(second));
  CHECK((released(lab, kCaller) == std::vector<std::string>{kId, second}));
  CHECK_EQ(invites(lab, lab.s0) + invites(lab, lab.s1), 0U);
}

// Guards: trouble at servers or with other callers frees no request of its final answer. Servers reset, fall
// silent, answer noise, refuse or answer; other callers send noise and leave. Each set-up of the
// good caller gets exactly one answer by its deadline.
void trouble_frees_no_request_of_its_answer() {
  std::size_t faults = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    Ready lab;
    std::map<std::string, int> answers;
    std::map<std::string, Time> deadlines;
    std::uint32_t last_conn = 100;
    std::set<ConnId> up{lab.s0, lab.s1};
    const auto read_answers = [&] {
      for (const jsonl::Message& m : lab.lines(kCaller)) {
        if (m.type != "answer" && m.type != "release") continue;
        if (m.type == "release" && answers[m.id] == 1) continue;  // of a call that was established
        ++answers[m.id];
        CHECK(lab.now <= deadlines.at(m.id) + 1ms);
      }
    };
    lab.watch = read_answers;
    for (int step = 0; step < 120; ++step) {
      if (step < 100) {
        std::string id = std::to_string(seed * 1000 + static_cast<std::uint64_t>(step));
        id.insert(0, 16 - id.size(), '0');
        const int left = 50 + static_cast<int>(random() % 1500);
        deadlines[id] = lab.now + Duration(std::chrono::milliseconds(left));
        lab.receive(kCaller, set_up_line(id, random() % 4 == 0 ? "safety" : "voice", left, 0, "o"));
      }
      for (const net::Connect& c : std::exchange(lab.connects, {})) {
        if (random() % 4 == 0) {
          lab.tell(net::ConnectFailed{c.conn, true});
          ++faults;
        } else {
          lab.tell(net::Connected{c.conn});
          up.insert(c.conn);
        }
      }
      for (const ConnId conn : std::set<ConnId>(up)) {
        for (const sip::Message& m : lab.messages(conn)) {
          if (m.method != "INVITE") continue;
          const auto fate = random() % 6;
          faults += fate < 4 ? 1 : 0;
          if (fate == 0) lab.receive(conn, server_answer(m, 504));
          if (fate == 1) lab.receive(conn, server_answer(m, 503, {}, "Warning-Word: cpu_full\r\n"));
          if (fate == 2) lab.receive(conn, "noise\r\n\r\n");
          if (fate >= 4) lab.receive(conn, server_answer(m, 200, "a"));
        }
        if (random() % 12 == 0) {
          ++faults;
          up.erase(conn);
          lab.tell(net::Closed{conn, true});
        }
      }
      const ConnId other{Concern::platform, ++last_conn};
      lab.tell(net::Accepted{other});
      lab.receive(other, set_up("00000000000000" + std::to_string(10 + step % 80), 400));
      if (random() % 2 == 0) lab.receive(other, "}{\n");
      lab.tell(net::Closed{other, true});
      lab.pass(Duration(std::chrono::milliseconds(random() % 60)));
    }
    lab.pass(3s);
    for (const auto& [id, deadline] : deadlines) CHECK_EQ(answers[id], 1);
  }
  CHECK(faults > 2000);  // or it proves nothing
}

// Each of many calls on the one connection is called off, and none of another caller's.
void all_calls_of_a_closed_connection_are_called_off() {
  Ready lab(1);
  const ConnId other{Concern::platform, 2};
  lab.tell(net::Accepted{other});
  lab.receive(other, set_up("00000000000000ff"));
  std::string all;
  for (int i = 10; i < 30; ++i) all += set_up("00000000000000" + std::to_string(i));
  lab.receive(kCaller, all);
  const std::size_t begun = invites(lab, lab.s0);
  CHECK(begun > 10);
  lab.tell(net::PeerClosed{kCaller});
  std::size_t called_off = 0;
  for (const sip::Message& m : lab.messages(lab.s0)) {
    CHECK_EQ(m.method, "CANCEL");
    CHECK(m.header("Call-ID") != "00000000000000ff");
    ++called_off;
  }
  CHECK_EQ(called_off, begun - 1);
}

// The call waits for the release guard, or for the module's next offer, or for a connection: gone in between,
// it is not sent when the wait ends. Told by a cancel or a close.
void no_attempt_begins_for_who_left_while_it_waited() {
  for (const bool by_close : {false, true}) {
    for (const std::string_view wait : {"guard", "offer", "connection"}) {
      Ready lab;
      if (wait == "connection") {
        lab.tell(net::Closed{lab.s0, true});
        lab.tell(net::Closed{lab.s1, true});
      }
      lab.receive(kCaller, set_up(kId, 5000));
      if (wait == "guard") {
        lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 504));  // a reset leaves a trace
      } else if (wait == "offer") {
        // Both are full: the call is held and offered again.
        lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 503, {}, "Warning-Word: cpu_full\r\n"));
        for (const sip::Message& m : lab.messages(lab.s1))
          lab.receive(lab.s1, server_answer(m, 503, {}, "Warning-Word: cpu_full\r\n"));
      }
      lab.messages(lab.s0);
      lab.messages(lab.s1);
      lab.pass(50ms);
      if (by_close) {
        lab.tell(net::Closed{kCaller, false});
      } else {
        lab.receive(kCaller, release(kId));
      }
      std::size_t late = 0;
      for (int i = 0; i < 60; ++i) {
        for (const ConnId conn : lab.bring_up("127.0.0.1:9000")) late += invites(lab, conn);
        lab.pass(100ms);
        late += invites(lab, lab.s0) + invites(lab, lab.s1);
      }
      CHECK_EQ(late, 0U);
    }
  }
}

// An INVITE in the ring of a server that does not read is taken back: written when the server reads again, it
// began an attempt for a caller long gone. What was in time never ran, so nothing is to be waited for.
void an_invite_not_written_yet_is_taken_back() {
  Ready lab;
  lab.unwritten.insert(lab.s0);
  lab.receive(kCaller, set_up());
  lab.messages(lab.s0);
  lab.receive(kCaller, release(kId));
  CHECK(lab.messages(lab.s0).empty());  // no CANCEL for what was never there
  // The same for one whose server is told draining meanwhile: it goes elsewhere at once.
  lab.receive(kCaller, set_up("00000000000000bb"));
  lab.messages(lab.s0);
  const nlohmann::json event = {
      {"hosts",
       {{"targets",
         {{{"uid", "s0"}, {"endpoint", "127.0.0.1:9000"}, {"pod_group", 0}, {"state", "draining"}}}}}}};
  PlatformConfig config = config_for_tests();
  config.journal = "127.0.0.1:8500";
  Lab other(config);
  const ConnId journal = other.connects.back().conn;
  CHECK_EQ(other.connects.back().address, "127.0.0.1:8500");
  const ConnId s0 = other.connects.at(0).conn;
  const ConnId s1 = other.connects.at(1).conn;
  other.bring_up();
  other.tell(net::Accepted{kCaller});
  other.unwritten.insert(s0);
  other.receive(kCaller, set_up());
  CHECK_EQ(other.messages(s0).at(0).method, "INVITE");
  other.receive(journal, "HTTP/1.1 200 OK\r\n\r\nid: 9\ndata: " + event.dump() + "\n\n");
  CHECK_EQ(other.messages(s1).at(0).method, "INVITE");
}

// ---- Close against request

// The caller's connection closes and its set-up comes again at once on another one: to the server that is the
// same call, so the first attempt's end and the guard come first. Taken as new, it was out twice.
void a_set_up_that_comes_again_after_a_close_keeps_the_guard() {
  Ready lab(1);
  const ConnId other{Concern::platform, 2};
  lab.tell(net::Accepted{other});
  lab.receive(kCaller, set_up(kId, 5000));
  const sip::Message first = lab.invite(lab.s0);
  lab.tell(net::Closed{kCaller, false});
  lab.receive(other, set_up(kId, 4990));
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "CANCEL");
  lab.pass(60ms);
  CHECK(lab.messages(lab.s0).empty());
  lab.receive(lab.s0, server_answer(first, 487));
  lab.messages(lab.s0);  // the ACK
  lab.pass(190ms);
  CHECK_EQ(invites(lab, lab.s0), 0U);
  lab.pass(60ms);
  CHECK_EQ(invites(lab, lab.s0), 1U);
}

// So it is where the first call is over altogether: its guard is kept under its id.
void an_id_that_comes_again_keeps_the_guard_of_the_call_before() {
  Ready lab(1);
  lab.receive(kCaller, set_up(kId, 5000));
  const sip::Message first = lab.invite(lab.s0);
  lab.receive(kCaller, release(kId));
  lab.messages(lab.s0);
  lab.receive(lab.s0, server_answer(first, 487));
  lab.messages(lab.s0);
  lab.receive(kCaller, set_up(kId, 5000));
  lab.pass(190ms);
  CHECK_EQ(invites(lab, lab.s0), 0U);
  lab.pass(60ms);
  CHECK_EQ(invites(lab, lab.s0), 1U);
  // And after its end by the deadline.
  Ready late(1);
  late.receive(kCaller, set_up(kId, 50));
  CHECK_EQ(invites(late, late.s0), 1U);
  late.pass(51ms);
  CHECK_EQ(late.messages(late.s0).at(0).method, "CANCEL");
  late.receive(kCaller, set_up(kId, 3000));
  late.pass(190ms);
  CHECK_EQ(invites(late, late.s0), 0U);
  late.pass(60ms);
  CHECK_EQ(invites(late, late.s0), 1U);
}

// Idle callers are closed only if nothing has come meanwhile; the runtime looks.
void an_idle_close_waits_for_what_has_come() {
  PlatformConfig config = config_for_tests();
  config.sockets = 90;
  Lab lab(config);
  for (std::uint32_t i = 1; i <= 40; ++i) {
    const ConnId conn{Concern::platform, i};
    lab.tell(net::Accepted{conn});
    lab.receive(conn, R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                      "\n");
    lab.pass(1ms);
  }
  CHECK_EQ(lab.closed.size(), 40U - 31U);
  CHECK_EQ(lab.closed_unread, 0U);  // none by a close that does not look
  lab.pass(16s);
  CHECK_EQ(lab.closed.size(), 40U);
  CHECK_EQ(lab.closed_unread, 0U);
}

// Where every connection has an open set-up none is closed: who comes next waits at the runtime's door.
void no_busy_caller_is_closed_for_room() {
  PlatformConfig config = config_for_tests();
  config.sockets = 12;  // five callers
  Lab lab(config);
  for (std::uint32_t i = 1; i <= 7; ++i) {
    const ConnId conn{Concern::platform, i};
    lab.tell(net::Accepted{conn});
    char id[17];
    std::snprintf(id, sizeof id, "%016x", i);
    lab.receive(conn, set_up(id, 5000, static_cast<int>(i % 2)));
    CHECK(lab.lines(conn).empty());  // none has its answer
  }
  CHECK(lab.closed.empty());
}

// ---- Descriptors

// No descriptor for a connection here is no word of the server: it was taken for its refusal, and after 3 s
// for its death.
void a_want_of_descriptors_is_not_the_servers_death() {
  Ready lab(1);
  lab.stand(lab.s0);
  lab.tell(net::Closed{lab.s0, true});
  for (int i = 0; i < 40; ++i) {
    for (const net::Connect& c : std::exchange(lab.connects, {}))
      lab.tell(net::ConnectFailed{c.conn, false, true});
    lab.pass(100ms);
  }
  CHECK(lab.lines(kCaller).empty());
  const auto up = lab.bring_up("127.0.0.1:9000");
  CHECK_EQ(up.size(), 1U);
  lab.release_is_told_on(up.at(0));
}

// ---- Ready soon

// Restarted while nothing can be reached: it is ready by its saved list, and stays so.
void a_restarted_process_is_ready_by_its_saved_list() {
  PlatformConfig config = config_for_tests();
  config.journal = "127.0.0.1:8500";
  for (const bool refused : {false, true}) {
    Lab lab(config);
    const auto ready = [&lab] {
      const ConnId conn = lab.open_management();
      lab.receive(conn, "readyz\n");
      return lab.take(conn).starts_with("OK");
    };
    CHECK(!ready());
    if (refused) {
      for (const net::Connect& c : std::exchange(lab.connects, {}))
        lab.tell(net::ConnectFailed{c.conn, true});
    } else {
      lab.pass(550ms);  // whatever time the settings give to a connection
    }
    CHECK(ready());
    // A server that is new in the list is no reason to leave callers.
    lab.pass(100ms);
    CHECK(ready());
  }
}

// ---- Shutdown

// Whatever still waits when SIGKILL is near is answered, and only then the process ends: it once ended with
// requests open, and their callers' connections closed without a word.
void all_are_answered_before_the_end() {
  Ready lab;
  lab.receive(kCaller, set_up(kId, 9000));                    // its server hangs
  lab.receive(kCaller, set_up("00000000000000bb", 9000, 1));  // and so does the other
  lab.messages(lab.s0);
  lab.tell(net::StopRequested{});
  lab.pass(3300ms);
  CHECK(!lab.exit_status);
  CHECK(lab.lines(kCaller).empty());
  lab.pass(150ms);  // SIGKILL comes 3.7 s after SIGTERM at the soonest
  const auto answers = lab.lines(kCaller);
  CHECK_EQ(answers.size(), 2U);
  for (const jsonl::Message& m : answers) {
    CHECK_EQ(m.type, "release");
    CHECK(!m.field("wait").empty());
  }
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "CANCEL");
  CHECK_EQ(lab.exit_status.value_or(-1), 0);
}

// Another customer's deadlines are short, and SIGKILL is as near.
void short_deadlines_end_it_sooner() {
  PlatformConfig config = config_for_tests();
  for (CallClass& c : config.settings.classes) c.caller_timeout = 800ms;
  Lab lab(config);
  const ConnId s0 = lab.connects.at(0).conn;
  lab.bring_up();
  lab.tell(net::Accepted{kCaller});
  lab.tell(net::StopRequested{});
  lab.tell(net::StopRequested{});  // a second one changes nothing
  lab.pass(600ms);
  lab.receive(kCaller, set_up(kId, 9000));  // longer than there is
  CHECK_EQ(invites(lab, s0), 1U);
  lab.pass(850ms);  // 1.45 of 1.5 s
  CHECK_EQ(lab.lines(kCaller).size(), 1U);
  CHECK_EQ(lab.exit_status.value_or(-1), 0);
}

// What has come in the last instant, or is not written yet, puts the end off; not for longer than there is.
void the_end_waits_for_what_is_unread_or_unwritten() {
  Ready lab;
  lab.quiet_at_exit = false;
  lab.tell(net::StopRequested{});
  lab.pass(1500ms);
  CHECK(!lab.exit_status);
  lab.receive(kCaller, set_up());
  lab.receive(lab.s0, server_answer(lab.invite(lab.s0), 200, "a"));
  lab.pass(100ms);
  CHECK(!lab.exit_status);
  lab.quiet_at_exit = true;
  lab.pass(50ms);
  CHECK_EQ(lab.exit_status.value_or(-1), 0);

  Ready stuck;
  stuck.quiet_at_exit = false;
  stuck.tell(net::StopRequested{});
  stuck.pass(3700ms);
  CHECK_EQ(stuck.exit_status.value_or(-1), 0);
}

// A line in pieces across SIGTERM, its end coming while requests still may.
void a_line_in_pieces_across_the_stop_is_served() {
  Ready lab;
  const std::string line = set_up();
  lab.receive(kCaller, line.substr(0, line.size() / 2));
  lab.tell(net::StopRequested{});
  lab.pass(550ms);
  lab.receive(kCaller, line.substr(line.size() / 2));
  const sip::Message invite = lab.invite(lab.s0);
  lab.pass(700ms);
  CHECK(!lab.exit_status);
  lab.receive(lab.s0, server_answer(invite, 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  CHECK_EQ(lab.exit_status.value_or(-1), 0);
}

void a_stop_before_it_is_ready_ends_it() {
  PlatformConfig config = config_for_tests();
  config.known.clear();
  Lab lab(config);
  lab.tell(net::StopRequested{});
  lab.tell(net::ReloadRequested{});
  lab.pass(1s);
  CHECK_EQ(lab.exit_status.value_or(-1), 0);
}

// With a successor the old process is given the longest deadline and a little: its open requests are answered
// within that.
void an_old_process_answers_before_it_is_killed() {
  PlatformConfig config = config_for_tests();
  config.inherited = 7;
  Lab lab(config);
  lab.bring_up();
  lab.tell(net::Accepted{kCaller});
  lab.receive(kCaller, set_up(kId, 9000));
  lab.tell(net::StopRequested{});
  lab.pass(5300ms);
  CHECK(lab.lines(kCaller).empty());
  lab.pass(200ms);  // SIGKILL: 5.7 s at the soonest
  CHECK_EQ(lab.lines(kCaller).size(), 1U);
}

// ---- List gone quiet

struct Listening : Lab {
  static PlatformConfig config() {
    PlatformConfig c = config_for_tests();
    c.journal = "127.0.0.1:8500";
    c.known_position = 7;
    return c;
  }
  Listening() : Lab(config()) {
    feed = connects.back().conn;
    bring_up();
    CHECK(take(feed).find("Last-Event-ID: 7\r\n") != std::string::npos);
    tell(net::Accepted{kCaller});
  }
  // How often the service is dialled within the span; each connection comes up, or does not.
  std::size_t dials(Duration span, bool up = true) {
    std::size_t count = 0;
    for (const Time end = now + span; now < end;) {
      pass(50ms);
      for (const net::Connect& c : std::exchange(connects, {})) {
        if (c.conn.concern != Concern::discovery) {
          tell(net::Connected{c.conn});
          continue;
        }
        ++count;
        feed = c.conn;
        if (up) {
          tell(net::Connected{c.conn});
        } else {
          tell(net::ConnectFailed{c.conn, false});
        }
      }
    }
    return count;
  }
  // It serves on its last list.
  void still_serves() {
    const std::string id = "00000000000000a" + std::to_string(++asked);
    receive(kCaller, set_up(id));
    std::size_t begun = 0;
    std::vector<ConnId> servers;
    for (const auto& [conn, bytes] : sent) {
      if (conn.concern == Concern::server) servers.push_back(conn);
    }
    for (const ConnId conn : servers) {
      for (const sip::Message& m : messages(conn)) {
        if (m.method != "INVITE") continue;
        ++begun;
        receive(conn, server_answer(m, 200, "a"));
      }
    }
    CHECK_EQ(begun, 1U);
  }
  int asked = 0;
  ConnId feed{};
};

const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

std::string drained(int position) {
  return "id: " + std::to_string(position) + R"(
data: {"pos":)" +
         std::to_string(position) +
         R"(,"hosts":{"all":false,"targets":[{"uid":"s0","endpoint":"127.0.0.1:9000","az":"","pod_group":0,"state":"draining"}]}})" +
         "\n\n";
}

// Comments go on, the event that has begun never ends: asked anew, since what is told meanwhile binds.
void an_event_that_never_ends_is_given_up() {
  for (const std::string& begun :
       {std::string("HTTP/1.1 200 OK\r\nX: "), kHead + "id: 8\ndata: {\"pos\":8,"}) {
    Listening lab;
    lab.receive(lab.feed, begun);
    const ConnId stuck = lab.feed;
    std::size_t dials = 0;
    for (int i = 0; i < 25 && dials == 0; ++i) {
      lab.receive(stuck, begun.starts_with(kHead) ? "\n: still here\n" : "x");
      dials = lab.dials(100ms);
    }
    CHECK_EQ(dials, 1U);
    CHECK(lab.take(lab.feed).find("Last-Event-ID: 7\r\n") != std::string::npos);
    lab.receive(lab.feed, kHead + drained(8));
    lab.receive(kCaller, set_up());
    CHECK_EQ(invites(lab, ConnId{Concern::server, 1}), 0U);
  }
}

// One whole event after another is no half one, however long it goes on.
void a_busy_list_is_not_given_up() {
  Listening lab;
  lab.receive(lab.feed, kHead);
  for (int i = 8; i < 48; ++i) {
    lab.receive(lab.feed, drained(i) + "data: {");  // the next has begun each time
    CHECK_EQ(lab.dials(100ms), 0U);
    lab.receive(lab.feed, "}\n\n");
  }
}

void neither_event_nor_comment_is_silence() {
  Listening lab;
  lab.receive(lab.feed, kHead);
  CHECK_EQ(lab.dials(2s), 0U);
  CHECK_EQ(lab.dials(700ms), 1U);
  lab.still_serves();
  // Gone for good: it goes on asking and serving.
  CHECK(lab.dials(20s, false) >= 10U);
  lab.still_serves();
}

// A spoilt event is asked for again: passed over, the drain in it was never heard. Spoilt once more it is the
// service's own word, and what follows is heard.
void a_malformed_event_is_asked_for_again_once() {
  for (const char* bad : {"{\"pos\":8,\"hosts\":{\"targets\":[{\"uid\":5}]}}", "no json", "[1]"}) {
    Listening lab;
    lab.receive(lab.feed, kHead + "id: 8\ndata: " + std::string(bad) + "\n\n" + drained(9));
    CHECK_EQ(lab.dials(300ms), 1U);
    CHECK(lab.take(lab.feed).find("Last-Event-ID: 7\r\n") != std::string::npos);
    lab.receive(lab.feed, kHead + "id: 8\ndata: " + std::string(bad) + "\n\n" + drained(9));
    CHECK_EQ(lab.dials(300ms), 0U);
    lab.receive(kCaller, set_up());
    CHECK_EQ(invites(lab, ConnId{Concern::server, 1}), 0U);  // 9 was heard
  }
}

}  // namespace

int main() {
  a_caller_that_closed_has_gone_whatever_is_left_to_read();
  all_calls_of_a_closed_connection_are_called_off();
  what_was_read_is_answered_before_its_connection_ends();
  trouble_frees_no_request_of_its_answer();
  no_attempt_begins_for_who_left_while_it_waited();
  an_invite_not_written_yet_is_taken_back();
  a_set_up_that_comes_again_after_a_close_keeps_the_guard();
  an_id_that_comes_again_keeps_the_guard_of_the_call_before();
  an_idle_close_waits_for_what_has_come();
  no_busy_caller_is_closed_for_room();
  a_want_of_descriptors_is_not_the_servers_death();
  a_restarted_process_is_ready_by_its_saved_list();
  all_are_answered_before_the_end();
  short_deadlines_end_it_sooner();
  the_end_waits_for_what_is_unread_or_unwritten();
  a_line_in_pieces_across_the_stop_is_served();
  a_stop_before_it_is_ready_ends_it();
  an_old_process_answers_before_it_is_killed();
  an_event_that_never_ends_is_given_up();
  a_busy_list_is_not_given_up();
  neither_event_nor_comment_is_silence();
  a_malformed_event_is_asked_for_again_once();
}
