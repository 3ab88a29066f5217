// The management listener: responses to operators' requests, limits on connections, and the metrics that
// `telemetry` reports.
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

struct ManagementLab : Lab {
  explicit ManagementLab(const PlatformConfig& config = with_management()) : Lab(config) {}
  std::string ask(const std::string& text) {
    const ConnId conn = open_management();
    receive(conn, text);
    CHECK(std::count(closed.begin(), closed.end(), conn) == 1);
    return take(conn);
  }
};

void listens_only_on_the_configured_address() {
  ManagementLab lab;
  const auto is_management = [](const net::Listen& l) { return l.concern == Concern::management; };
  const auto it = std::find_if(lab.listens.begin(), lab.listens.end(), is_management);
  CHECK(it != lab.listens.end());
  CHECK_EQ(it->address, "127.0.0.1:9901");
  CHECK(it->reserved_connections > 0 && !it->required);
  Lab without_management;
  CHECK(std::none_of(without_management.listens.begin(), without_management.listens.end(), is_management));
}

void readyz_reports_whether_calls_can_be_served() {
  ManagementLab lab;
  CHECK(lab.ask("readyz\n").starts_with("ERR "));
  lab.bring_up();
  CHECK(lab.ask("readyz\n").starts_with("OK"));
  CHECK(lab.ask("readyz\r\n").starts_with("OK"));
  lab.tell(net::StopRequested{});
  CHECK(lab.ask("readyz\n").starts_with("ERR "));
  CHECK(lab.ask("telemetry\n").ends_with("\nEND\n"));
}

void invalid_requests_are_answered_with_the_reason() {
  ManagementLab lab;
  CHECK(lab.ask("reboot\n").starts_with("ERR unknown call"));
  CHECK(lab.ask("\n").starts_with("ERR "));
  CHECK(lab.ask(std::string(300, 'x')).starts_with("ERR the line has no end"));
  CHECK(lab.ask(std::string("read\0yz\n", 8)).starts_with("ERR the line is not plain"));
  CHECK(lab.ask("\xff\xfe\n").starts_with("ERR the line is not plain"));
  // One request per connection: the second line is ignored.
  CHECK(lab.ask("readyz\ntelemetry\n").find("END") == std::string::npos);
}

void request_line_may_arrive_byte_by_byte() {
  ManagementLab lab;
  const ConnId conn = lab.open_management();
  for (const char c : std::string("telemetry\n")) {
    CHECK(lab.take(conn).empty());
    lab.receive(conn, std::string(1, c));
    lab.pass(1ms);
  }
  CHECK(lab.take(conn).starts_with("OK\ngatekeeper."));
}

void connections_without_request_are_bounded_in_time_and_number() {
  ManagementLab lab;
  const ConnId silent = lab.open_management();
  const ConnId half = lab.open_management();
  lab.receive(half, "telem");
  lab.pass(1900ms);
  CHECK(lab.closed.empty());
  lab.pass(300ms);
  CHECK_EQ(lab.closed.size(), 2U);
  CHECK(lab.take(silent).starts_with("ERR "));
  CHECK(lab.take(half).starts_with("ERR "));

  lab.closed.clear();
  std::vector<ConnId> all;
  for (int i = 0; i < 200; ++i) all.push_back(lab.open_management());
  CHECK(lab.closed.size() >= 200 - management::kMaxConnections);
  CHECK(lab.closed.front() == all.front());  // the oldest is closed first
  CHECK(lab.ask("readyz\n").size() > 3);     // a request is still answered
}

// Metrics by class change when requests end, by how they end.
void metrics_count_ended_requests_by_class() {
  ManagementLab lab;
  const ConnId s0 = lab.connects.at(0).conn;
  lab.bring_up();
  lab.tell(net::Accepted{kCaller});
  CHECK_EQ(lab.figure("ok.voice"), "0|c");
  CHECK_EQ(lab.figure("errors.safety"), "0|c");
  CHECK_EQ(lab.figure("pool_size"), "2|g");
  CHECK_EQ(lab.figure("pool_ejected"), "0|g");

  lab.receive(kCaller, set_up_line("00000000000000aa"));
  CHECK_EQ(lab.figure("active"), "1|g");
  sip::Message invite = lab.messages(s0).back();
  lab.receive(s0, server_answer(invite, 200, "answer"));
  CHECK_EQ(lab.figure("ok.voice"), "1|c");
  CHECK_EQ(lab.figure("active"), "1|g");  // an established call counts as active
  lab.receive(s0, server_bye("00000000000000aa", 16));
  CHECK_EQ(lab.figure("active"), "0|g");

  lab.receive(kCaller, set_up_line("00000000000000ab", "safety"));
  lab.receive(s0, server_answer(lab.messages(s0).back(), 486));
  CHECK_EQ(lab.figure("errors.safety"), "1|c");

  // Cancelled by its caller: no answer, not counted.
  lab.receive(kCaller, set_up_line("00000000000000ac"));
  lab.receive(kCaller, R"({"type":"release","id":"00000000000000ac","fields":{},"cause":16})"
                       "\n");
  lab.pass(1s);
  CHECK_EQ(lab.figure("ok.voice"), "1|c");
  CHECK_EQ(lab.figure("errors.voice"), "0|c");
  CHECK_EQ(lab.figure("active"), "0|g");

  // A class that only a caller names gets no metric.
  lab.receive(kCaller, set_up_line("00000000000000ad", "invented"));
  CHECK_EQ(lab.figure("errors.invented"), "none");
}

void full_server_causes_rejection_and_ejection() {
  PlatformConfig config = with_management();
  config.known = config_for_tests(1).known;
  ManagementLab lab(config);
  const ConnId s0 = lab.connects.at(0).conn;
  lab.bring_up();
  lab.tell(net::Accepted{kCaller});
  lab.receive(kCaller, set_up_line("00000000000000aa"));
  lab.receive(s0, server_answer(lab.messages(s0).back(), 503, {}, "Warning-Word: cpu_full\r\n"));
  lab.pass(3s);
  CHECK_EQ(lab.figure("shed.voice"), "1|c");
  CHECK_EQ(lab.figure("pool_ejected"), "1|g");
  lab.pass(10s);  // the ejection has expired
  CHECK_EQ(lab.figure("pool_ejected"), "0|g");
}

}  // namespace

int main() {
  listens_only_on_the_configured_address();
  readyz_reports_whether_calls_can_be_served();
  invalid_requests_are_answered_with_the_reason();
  request_line_may_arrive_byte_by_byte();
  connections_without_request_are_bounded_in_time_and_number();
  metrics_count_ended_requests_by_class();
  full_server_causes_rejection_and_ejection();
}
