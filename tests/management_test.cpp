// Operators' calls on the second address: what is answered, who is closed, and the figures against what was
// done.
#include "lab.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

constexpr ConnId kCaller{Concern::platform, 1};

PlatformConfig with_management() {
  PlatformConfig c = config_for_tests();
  c.management = "127.0.0.1:9901";
  return c;
}

struct Desk : Lab {
  explicit Desk(const PlatformConfig& config = with_management()) : Lab(config) {}
  std::string ask(const std::string& text) {
    const ConnId conn = open_management();
    receive(conn, text);
    CHECK(std::count(closed.begin(), closed.end(), conn) == 1);
    return take(conn);
  }
};

void it_listens_where_it_is_told_and_nowhere_else() {
  Desk desk;
  const auto there = [](const net::Listen& l) { return l.concern == Concern::management; };
  const auto it = std::find_if(desk.listens.begin(), desk.listens.end(), there);
  CHECK(it != desk.listens.end());
  CHECK_EQ(it->address, "127.0.0.1:9901");
  CHECK(it->reserved_connections > 0 && !it->required);
  Lab none;
  CHECK(std::none_of(none.listens.begin(), none.listens.end(), there));
}

void readyz_is_true_to_what_the_process_can_do() {
  Desk desk;
  CHECK(desk.ask("readyz\n").starts_with("ERR "));
  desk.bring_up();
  CHECK(desk.ask("readyz\n").starts_with("OK"));
  CHECK(desk.ask("readyz\r\n").starts_with("OK"));
  desk.tell(net::StopRequested{});
  CHECK(desk.ask("readyz\n").starts_with("ERR "));
  CHECK(desk.ask("telemetry\n").ends_with("\nEND\n"));
}

void what_is_no_call_is_told_why() {
  Desk desk;
  CHECK(desk.ask("reboot\n").starts_with("ERR unknown call"));
  CHECK(desk.ask("\n").starts_with("ERR "));
  CHECK(desk.ask(std::string(300, 'x')).starts_with("ERR the line has no end"));
  CHECK(desk.ask(std::string("read\0yz\n", 8)).starts_with("ERR the line is not plain"));
  CHECK(desk.ask("\xff\xfe\n").starts_with("ERR the line is not plain"));
  // One call a connection: what follows it is nobody's.
  CHECK(desk.ask("readyz\ntelemetry\n").find("END") == std::string::npos);
}

void a_line_may_come_byte_by_byte() {
  Desk desk;
  const ConnId conn = desk.open_management();
  for (const char c : std::string("telemetry\n")) {
    CHECK(desk.take(conn).empty());
    desk.receive(conn, std::string(1, c));
    desk.pass(1ms);
  }
  CHECK(desk.take(conn).starts_with("OK\ngatekeeper."));
}

void the_silent_are_bounded_in_time_and_number() {
  Desk desk;
  const ConnId silent = desk.open_management();
  const ConnId half = desk.open_management();
  desk.receive(half, "telem");
  desk.pass(1900ms);
  CHECK(desk.closed.empty());
  desk.pass(300ms);
  CHECK_EQ(desk.closed.size(), 2U);
  CHECK(desk.take(silent).starts_with("ERR "));
  CHECK(desk.take(half).starts_with("ERR "));

  desk.closed.clear();
  std::vector<ConnId> all;
  for (int i = 0; i < 200; ++i) all.push_back(desk.open_management());
  CHECK(desk.closed.size() >= 200 - management::kMaxConnections);
  CHECK(desk.closed.front() == all.front());  // the oldest goes first
  CHECK(desk.ask("readyz\n").size() > 3);     // and who asks is answered all the same
}

// The figures are those of the requests' own ends, whichever they are.
void figures_step_where_requests_end() {
  Desk desk;
  const ConnId s0 = desk.connects.at(0).conn;
  desk.bring_up();
  desk.tell(net::Accepted{kCaller});
  CHECK_EQ(desk.figure("ok.voice"), "0|c");
  CHECK_EQ(desk.figure("errors.safety"), "0|c");
  CHECK_EQ(desk.figure("pool_size"), "2|g");
  CHECK_EQ(desk.figure("pool_ejected"), "0|g");

  desk.receive(kCaller, set_up_line("00000000000000aa"));
  CHECK_EQ(desk.figure("active"), "1|g");
  sip::Message invite = desk.messages(s0).back();
  desk.receive(s0, server_answer(invite, 200, "answer"));
  CHECK_EQ(desk.figure("ok.voice"), "1|c");
  CHECK_EQ(desk.figure("active"), "1|g");  // it stands: taken and not ended
  desk.receive(s0, server_bye("00000000000000aa", 16));
  CHECK_EQ(desk.figure("active"), "0|g");

  desk.receive(kCaller, set_up_line("00000000000000ab", "safety"));
  desk.receive(s0, server_answer(desk.messages(s0).back(), 486));
  CHECK_EQ(desk.figure("errors.safety"), "1|c");

  // Given up by its caller: nothing is answered, nothing is counted.
  desk.receive(kCaller, set_up_line("00000000000000ac"));
  desk.receive(kCaller, R"({"type":"release","id":"00000000000000ac","fields":{},"cause":16})"
                        "\n");
  desk.pass(1s);
  CHECK_EQ(desk.figure("ok.voice"), "1|c");
  CHECK_EQ(desk.figure("errors.voice"), "0|c");
  CHECK_EQ(desk.figure("active"), "0|g");

  // A class that nobody but a caller names makes no line.
  desk.receive(kCaller, set_up_line("00000000000000ad", "invented"));
  CHECK_EQ(desk.figure("errors.invented"), "none");
}

void a_full_server_is_counted_as_shed_and_avoided() {
  PlatformConfig config = with_management();
  config.known = config_for_tests(1).known;
  Desk desk(config);
  const ConnId s0 = desk.connects.at(0).conn;
  desk.bring_up();
  desk.tell(net::Accepted{kCaller});
  desk.receive(kCaller, set_up_line("00000000000000aa"));
  desk.receive(s0, server_answer(desk.messages(s0).back(), 503, {}, "Warning-Word: cpu_full\r\n"));
  desk.pass(3s);
  CHECK_EQ(desk.figure("shed.voice"), "1|c");
  CHECK_EQ(desk.figure("pool_ejected"), "1|g");
  desk.pass(10s);  // forgotten: it is tried again
  CHECK_EQ(desk.figure("pool_ejected"), "0|g");
}

}  // namespace

int main() {
  it_listens_where_it_is_told_and_nowhere_else();
  readyz_is_true_to_what_the_process_can_do();
  what_is_no_call_is_told_why();
  a_line_may_come_byte_by_byte();
  the_silent_are_bounded_in_time_and_number();
  figures_step_where_requests_end();
  a_full_server_is_counted_as_shed_and_avoided();
}
