// A new process at the address of one that has gone: what was the old one's is not taken for the new one's.
#include "ready.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

// A gatekeeper with one setup server and a watch on the journal service.
struct WatchedLab : GatekeeperLab {
  static PlatformConfig config() {
    PlatformConfig config = config_for_tests(1);
    config.journal = "127.0.0.1:8500";
    config.cached_position = 7;
    return config;
  }
  WatchedLab() : GatekeeperLab(config()) {
    for (const net::Connect& connect : connects) {
      if (connect.address == "127.0.0.1:8500") watch_conn = connect.conn;
      if (connect.address == "127.0.0.1:9000") server = connect.conn;
    }
    bring_up();
    deliver(net::Accepted{kCaller});
    receive(watch_conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hi\n\n");
  }
  static std::string endpoint(const std::string& uid, const std::string& state) {
    return R"({"uid":")" + uid +
           R"(","endpoint":"127.0.0.1:9000","az":"","model":"std","pod_group":0,"state":")" + state +
           R"(","capacity_hint":4,"boot_ms":0})";
  }
  void list(int position, bool complete, const std::string& targets) {
    receive(watch_conn, "id: " + std::to_string(position) + "\ndata: {\"pos\":" + std::to_string(position) +
                            R"(,"hosts":{"rev":1,"all":)" + (complete ? "true" : "false") +
                            R"(,"targets":[)" + targets + "]}}\n\n");
  }
  // The journal service sends a comment each second.
  void pass(Duration span) {
    for (; span > 0s; span -= std::min<Duration>(span, 1s)) {
      advance(std::min<Duration>(span, 1s));
      receive(watch_conn, ": hi\n\n");
    }
  }
  ConnId watch_conn{};
  ConnId server{};
};

// Guards against a call that is ended before its time: its server's address belongs to another server, and
// the last message of before counted although the call was established later (picture (d) of issue 59). A
// call is over 7.4 s after the newest evidence, and its establishment is one.
void call_established_late_at_a_reassigned_address_is_not_ended_early() {
  WatchedLab lab;
  lab.receive(lab.server, server_report());
  lab.pass(6s);
  lab.receive(kCaller, setup_line_with_key());
  for (const sip::Message& message : lab.messages(lab.server)) {
    if (message.method == "INVITE") lab.receive(lab.server, server_answer(message, 200, "a"));
  }
  CHECK_EQ(lab.lines(kCaller).at(0).type, "answer");
  lab.list(8, false, WatchedLab::endpoint("s0", "gone") + "," + WatchedLab::endpoint("s9", "ready"));
  CHECK(lab.log.find("server=s0 state=gone") != std::string::npos);
  lab.pass(7s);
  CHECK(lab.lines(kCaller).empty());
  lab.pass(500ms);
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
}

}  // namespace

int main() { call_established_late_at_a_reassigned_address_is_not_ended_early(); }
