// Runs the real gatekeeper program over loopback, with stand-ins for callers, a setup server, the journal
// service, SIP peers and an OTLP collector.
#include "world.h"

using namespace graniterun;
using namespace graniterun::test;
using nlohmann::json;

namespace {

std::string ctl_binary;
std::string publisher_binary;

void platform_calls_are_served_until_stopped() {
  ProgramFixture world;
  world.caller.send(R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                    "\n");
  CHECK_EQ(json::parse(world.caller.line())["cause"], 1);
  world.caller.send(setup_line_with_key("00000000000000aa", 5000));
  const sip::Message invite = world.from_server();
  CHECK_EQ(invite.method, "INVITE");
  CHECK_EQ(invite.body, "offer");
  world.answer(invite, "200 OK", "answer");
  CHECK_EQ(world.from_server().method, "ACK");
  CHECK_EQ(json::parse(world.caller.line())["sdp"], "answer");

  // The deadline passes while the server does not answer.
  const auto started_at = std::chrono::steady_clock::now();
  world.caller.send(setup_line_with_key("00000000000000bb", 300));
  CHECK_EQ(world.from_server().method, "INVITE");
  const json deadline_release = json::parse(world.caller.line());
  const auto elapsed = std::chrono::steady_clock::now() - started_at;
  CHECK_EQ(deadline_release["type"], "release");
  CHECK(elapsed >= std::chrono::milliseconds(290) && elapsed < std::chrono::milliseconds(2000));
  CHECK_EQ(world.from_server().method, "CANCEL");

  // A caller with an oversized line gets its rejection although unread bytes remain: closing the socket with
  // unread bytes resets the connection, which would discard the rejection.
  Socket endless = Socket::connected(world.port);
  endless.send(R"({"type":"setup","id":"00000000000000dd","x":")" + std::string(150'000, 'x'));
  CHECK_EQ(json::parse(endless.line())["id"], "00000000000000dd");
  CHECK(endless.wait_for_close());
  // Malformed input closes only the connection that it came on.
  Socket other = Socket::connected(world.port);
  other.send("what?\n");
  CHECK(other.wait_for_close());

  world.program->signal(SIGUSR1);
  world.program->signal(SIGTERM);
  world.caller.send(setup_line_with_key("00000000000000cc", 3000));
  const sip::Message last_invite = world.from_server();
  CHECK_EQ(last_invite.method, "INVITE");
  world.answer(last_invite, "486 Busy");
  CHECK_EQ(world.from_server().method, "ACK");
  CHECK_EQ(json::parse(world.caller.line())["type"], "release");
  CHECK_EQ(world.program->exit_status(), 0);
  const std::string log = world.program->log();
  const std::size_t first_report =
      log.find("broker.served 1\n");  // reported on SIGUSR1, and again at the exit
  CHECK(first_report != std::string::npos &&
        log.find("broker.served 1\n", first_report + 1) != std::string::npos);
  CHECK(log.find("platform.malformed 2\n") != std::string::npos);
}

std::string sip_request(const std::string& method, const std::string& transport, int port, int cseq,
                        const std::string& branch, const std::string& to_tag, const std::string& body) {
  return method + " sip:4711@net SIP/2.0\r\nVia: SIP/2.0/" + transport + " " + at(port) + ";branch=z9hG4bK" +
         branch + "\r\nFrom: <sip:hiker@trail.example>;tag=f\r\nTo: <sip:4711@net>" +
         (to_tag.empty() ? "" : ";tag=" + to_tag) + "\r\nCall-ID: call-" + transport +
         "\r\nCSeq: " + std::to_string(cseq) + " " + method + "\r\nContact: <sip:hiker@" + at(port) +
         ">\r\nMax-Forwards: 70\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void sip_calls_over_udp_and_tcp_are_served_and_traced() {
  Socket collector_listener = Socket::bound(SOCK_STREAM);
  const int sip_port = free_port();
  ProgramFixture world({{"sip", {{"udp", at(sip_port)}, {"tcp", at(sip_port)}}},
                        {"otlp", {{"collector", at(collector_listener.port())}, {"every_ms", 50}}}});
  for (const std::string transport : {"UDP", "TCP"}) {
    const bool udp = transport == "UDP";
    Socket peer = udp ? Socket::bound(SOCK_DGRAM) : Socket::connected(sip_port);
    const auto send = [&](const std::string& text) { udp ? peer.send_to(sip_port, text) : peer.send(text); };
    const auto receive = [&] {
      return udp ? sip::read_datagram(peer.datagram()).message : sip::read_stream(peer.message()).message;
    };
    send(sip_request("INVITE", transport, peer.port(), 1, "1", {}, "offer"));
    CHECK_EQ(receive().status, 100);
    const sip::Message invite = world.from_server();
    CHECK_EQ(invite.method, "INVITE");
    world.answer(invite, "200 OK", "answer");
    CHECK_EQ(world.from_server().method, "ACK");
    const sip::Message ok = receive();
    CHECK_EQ(ok.status, 200);
    CHECK_EQ(ok.body, "answer");
    const std::string tag(sip::parameter(ok.header("To"), "tag"));
    send(sip_request("ACK", transport, peer.port(), 1, "2", tag, {}));
    send(sip_request("BYE", transport, peer.port(), 2, "3", tag, {}));
    CHECK_EQ(receive().status, 200);
    CHECK_EQ(world.from_server().method, "BYE");
  }

  // The collector receives the spans of both calls and the counters.
  Socket collector = collector_listener.accept();
  std::size_t requests = 0;
  std::size_t attempts = 0;
  bool metric_received = false;
  while (requests < 2 || !metric_received) {
    const std::string post = collector.message();
    collector.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
    const json body = json::parse(post.substr(post.find("\r\n\r\n") + 4));
    if (post.starts_with("POST /v1/metrics ")) {
      for (const json& metric : body["resourceMetrics"][0]["scopeMetrics"][0]["metrics"]) {
        if (metric["name"] != "broker.served" || metric["sum"]["dataPoints"][0]["asInt"] != "2") continue;
        CHECK_EQ(metric["sum"]["aggregationTemporality"], 2);
        metric_received = true;
      }
      continue;
    }
    CHECK(post.starts_with("POST /v1/traces "));
    for (const json& span : body["resourceSpans"][0]["scopeSpans"][0]["spans"]) {
      CHECK_EQ(span["traceId"].get<std::string>().size(), 32U);
      (span.contains("parentSpanId") ? attempts : requests) += 1;
    }
  }
  CHECK_EQ(requests, 2U);
  CHECK_EQ(attempts, 2U);
}

// Guards against SIGHUP ending the program or its calls: a call is outstanding while the journal's address
// changes.
void reload_moves_journal_and_keeps_calls() {
  ProgramFixture world;
  world.caller.send(setup_line_with_key("00000000000000aa", 5000));
  const sip::Message invite = world.from_server();
  world.program->write_config("no configuration");  // is rejected
  world.program->signal(SIGHUP);
  world.program->wait_for_log("the old configuration is kept");
  Socket new_journal = Socket::bound(SOCK_STREAM);
  world.config["journal"] = at(new_journal.port());
  world.program->write_config(world.config.dump());
  world.program->signal(SIGHUP);
  Socket watch = new_journal.accept();
  CHECK(watch.read_until("\r\n\r\n").find("Last-Event-ID: 3\r\n") != std::string::npos);
  CHECK(world.journal.wait_for_close());
  world.answer(invite, "200 OK", "answer");
  CHECK_EQ(json::parse(world.caller.line())["sdp"], "answer");
  world.program->signal(SIGTERM);
  CHECK_EQ(world.program->exit_status(), 0);
  CHECK(world.program->log().find("config.reloads_bad 1\n") != std::string::npos);
}

// Runs `graniterunctl gap`; returns its exit status and output.
std::pair<int, std::string> run_gap_ctl(const std::string& arguments) {
  FILE* pipe = ::popen((ctl_binary + " gap " + arguments + " 2>&1").c_str(), "r");
  CHECK(pipe != nullptr);
  std::string text;
  char buffer[4096];
  while (::fgets(buffer, sizeof buffer, pipe) != nullptr) text += buffer;
  const int status = ::pclose(pipe);
  return {WEXITSTATUS(status), text};
}

// A gap is announced through the gap publisher, outlives the publisher's kill and restart from its file, and
// is lifted.
void gaps_are_published_applied_and_lifted() {
  const std::string control = at(free_port());
  const std::string publisher_address = at(free_port());
  const std::string dir = std::string(::getenv("TMPDIR") ? ::getenv("TMPDIR") : "/tmp");
  const std::string file = dir + "/graniterun-gaps-" + std::to_string(::getpid());
  ProgramFixture world({{"control", {{"listen", control}}},
                        {"gaps", {{"fleet_size", 1}, {"fleet_index", 0}, {"hot", {{"gaps", 1}}}}}});
  const auto start_publisher = [&] {
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::execl(publisher_binary.c_str(), publisher_binary.c_str(), "--listen", publisher_address.c_str(),
              "--gatekeeper", control.c_str(), "--file", file.c_str(), nullptr);
      ::_exit(127);
    }
    return pid;
  };
  pid_t publisher = start_publisher();
  Socket::connected(std::stoi(publisher_address.substr(publisher_address.rfind(':') + 1)));
  world.program->wait_for_log("an announcer of gaps is here");
  const auto [status, text] = run_gap_ctl("announce hiker --to " + publisher_address +
                                          " --number 7f3a9c21e0b4d655 --one-in none --words busy");
  CHECK_EQ(status, 0);
  CHECK(text.find("1 of 1 gatekeepers obey") != std::string::npos);
  world.caller.send(setup_line_with_key("00000000000000aa", 5000));
  const json rejected = json::parse(world.caller.line());
  CHECK(rejected["cause"] == 42 && rejected["fields"]["reason"] == "busy" &&
        rejected["fields"].contains("wait"));
  ::kill(publisher, SIGKILL);
  ::waitpid(publisher, nullptr, 0);
  CHECK_EQ(run_gap_ctl("list --to " + publisher_address).first, 3);
  world.caller.send(
      setup_line_with_key("00000000000000ab", 5000));  // the gap stays active without its publisher
  CHECK_EQ(json::parse(world.caller.line())["cause"], 42);
  publisher = start_publisher();
  Socket::connected(std::stoi(publisher_address.substr(publisher_address.rfind(':') + 1)));
  const auto [listed, gaps] = run_gap_ctl("list --json --to " + publisher_address + "," + control);
  CHECK_EQ(json::parse(gaps)["targets"][0]["gaps"][0]["id"], "hiker");
  CHECK_EQ(json::parse(gaps)["targets"][1]["gaps"][0]["gapped"], 2);
  CHECK_EQ(run_gap_ctl("lift hiker --to " + publisher_address).first, 0);
  world.caller.send(setup_line_with_key("00000000000000ac", 5000));
  const sip::Message invite = world.from_server();
  CHECK_EQ(invite.method, "INVITE");
  world.answer(invite, "200 OK", "answer");
  CHECK_EQ(json::parse(world.caller.line())["type"], "answer");
  // Invalid arguments are reported with a message and exit status 2, and nothing is announced.
  for (const std::string arguments :
       {"announce x --number 1 --one-in 5", "announce x --one-in 1s", "announce x",
        "announce x --number 1 --one-in 1s --for 25h", "lift", "burn"}) {
    const auto [exit_code, message] = run_gap_ctl(arguments + " --to " + publisher_address);
    CHECK_EQ(exit_code, 2);
    CHECK(!message.empty());
  }
  ::kill(publisher, SIGKILL);
  ::waitpid(publisher, nullptr, 0);
  ::unlink(file.c_str());
}

void bad_deploy_file_prints_one_error_line() {
  const Socket port_owner = Socket::bound(SOCK_STREAM);
  const json config = {{"listen", at(port_owner.port())}, {"seed", "1"}, {"settings", settings()}};
  for (
      const std::string deploy :
      {R"({"gaps":{}})", R"({"control":{}})", R"({"control":{"listen":"127.0.0.1:1","connections":0}})",
       R"({"control":{"listen":"127.0.0.1:1"},"gaps":{"fleet_size":2,"fleet_index":2}})",
       R"({"control":{"listen":"127.0.0.1:1"},"gaps":{"hot":{"from_per_second":1,"below_per_second":1}}})"}) {
    Program program(binary, config.dump(), deploy);
    CHECK_EQ(program.exit_status(), 1);
    CHECK(program.log().starts_with("graniterun: ") && program.log().find('\n') == program.log().size() - 1);
  }
}

void bad_configuration_prints_one_error_line() {
  for (const std::string config :
       {"", "[]", R"({"listen":"127.0.0.1:1"})", R"({"listen":5,"seed":"1","settings":{}})",
        R"({"listen":"127.0.0.1:1","seed":"1","settings":{"az":"x"}})"}) {
    Program program(binary, config);
    CHECK_EQ(program.exit_status(), 1);
    const std::string log = program.log();
    CHECK(log.starts_with("graniterun: ") && log.find('\n') == log.size() - 1);
  }
  const Socket port_owner = Socket::bound(SOCK_STREAM);
  json config = {{"listen", at(port_owner.port())}, {"seed", "1"}, {"settings", settings()}};
  Program program(binary, config.dump());
  CHECK_EQ(program.exit_status(), 1);
  CHECK(program.log().starts_with("error: cannot listen on ") &&
        program.log().find('\n') == program.log().size() - 1);
}

}  // namespace

int main(int, char** argv) {
  binary = argv[1];
  ctl_binary = argv[2];
  publisher_binary = argv[3];
  bad_configuration_prints_one_error_line();
  bad_deploy_file_prints_one_error_line();
  gaps_are_published_applied_and_lifted();
  platform_calls_are_served_until_stopped();
  reload_moves_journal_and_keeps_calls();
  sip_calls_over_udp_and_tcp_are_served_and_traced();
}
