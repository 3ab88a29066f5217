// Two processes behind one listening socket: what the new one waits for, and how the old one ends.
#include "lab.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

constexpr ConnId kCaller{Concern::platform, 1};
constexpr ConnId kOther{Concern::platform, 2};

PlatformConfig inherited() {
  PlatformConfig c = config_for_tests();
  c.inherited = 7;
  return c;
}

bool listens_for_callers(const Lab& lab) {
  return std::any_of(lab.listens.begin(), lab.listens.end(),
                     [](const net::Listen& l) { return l.concern == Concern::platform; });
}

const std::string kPing = R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                          "\n";

// Callers taken before any server was reached would be told that the gatekeeper is not ready, though the old
// process serves.
void the_new_one_takes_callers_once_it_is_ready() {
  Lab lab(inherited());
  CHECK(!listens_for_callers(lab));
  lab.bring_up();
  CHECK(listens_for_callers(lab));
  CHECK(lab.listens.back().inherited == 7);
  Lab own;  // without the platform's socket it listens at once, as ever
  CHECK(listens_for_callers(own));
  CHECK(!own.listens.back().inherited);
}

void the_old_one_leaves_new_callers_and_closes_what_is_quiet() {
  Lab lab(inherited());
  const ConnId s0 = lab.connects.at(0).conn;
  lab.bring_up();
  lab.tell(net::Accepted{kCaller});
  lab.tell(net::Accepted{kOther});
  lab.receive(kCaller, set_up_line("00000000000000aa"));
  lab.tell(net::StopAsked{});
  CHECK_EQ(lab.stopped_listening.size(), 1U);
  CHECK_EQ(lab.closed.size(), 1U);
  CHECK(lab.closed.front() == kOther);

  // What comes on an open connection is served, and a test there is passed: the gatekeeper is ready.
  lab.receive(kCaller, kPing);
  CHECK_EQ(lab.lines(kCaller).back().cause.value_or(-1), 1);
  lab.receive(kCaller, set_up_line("00000000000000ab"));
  for (const sip::Message& m : lab.messages(s0)) {
    if (m.method == "INVITE") lab.receive(s0, server_answer(m, 200, "answer"));
  }
  CHECK_EQ(lab.lines(kCaller).size(), 2U);
  lab.pass(300ms);
  CHECK(lab.closed.back() == kCaller);

  // Calls stand: it stays for their releases. With the last of them it ends.
  lab.pass(2s);
  CHECK(!lab.exit_status);
  lab.receive(s0, server_bye("00000000000000aa", 16));
  lab.receive(s0, server_bye("00000000000000ab", 16));
  lab.pass(100ms);
  CHECK(lab.exit_status == 0);
}

// Stopped before it was ready, it took callers from the socket later, in its last second.
void one_that_is_stopped_before_it_is_ready_takes_nobody() {
  Lab lab(inherited());
  lab.tell(net::StopAsked{});
  lab.bring_up();
  CHECK(!listens_for_callers(lab));
  lab.pass(1s);
  CHECK(lab.exit_status == 0);
}

void half_a_line_is_waited_for() {
  Lab lab(inherited());
  lab.bring_up();
  lab.tell(net::Accepted{kCaller});
  const std::string line = set_up_line("00000000000000aa");
  lab.receive(kCaller, line.substr(0, 40));
  lab.tell(net::StopAsked{});
  lab.pass(300ms);
  CHECK(lab.closed.empty());
  lab.receive(kCaller, line.substr(40));
  CHECK_EQ(lab.messages(ConnId{Concern::server, 1}).size(), 1U);
}

// Calls that nobody ends keep it no longer than the longest deadline and a little: then they are left to
// the successor.
void it_ends_all_the_same() {
  Lab lab(inherited());
  const ConnId s0 = lab.connects.at(0).conn;
  lab.bring_up();
  lab.tell(net::Accepted{kCaller});
  lab.receive(kCaller, set_up_line("00000000000000aa"));
  lab.receive(s0, server_answer(lab.messages(s0).back(), 200, "answer"));
  lab.tell(net::StopAsked{});
  lab.pass(6500ms);
  CHECK(!lab.exit_status);
  lab.pass(1s);
  CHECK(lab.exit_status == 0);
}

// The planned restart, with nobody beside it: it goes on listening.
void without_a_successor_it_stops_as_before() {
  Lab lab;
  lab.bring_up();
  lab.tell(net::Accepted{kCaller});
  lab.tell(net::StopAsked{});
  CHECK(lab.stopped_listening.empty() && lab.closed.empty());
  lab.receive(kCaller, kPing);
  CHECK_EQ(lab.lines(kCaller).back().cause.value_or(-1), 0);
  lab.pass(1s);
  CHECK(lab.exit_status == 0);
}

}  // namespace

int main() {
  the_new_one_takes_callers_once_it_is_ready();
  the_old_one_leaves_new_callers_and_closes_what_is_quiet();
  one_that_is_stopped_before_it_is_ready_takes_nobody();
  half_a_line_is_waited_for();
  it_ends_all_the_same();
  without_a_successor_it_stops_as_before();
}
