// Upgrade with two processes that share one listening socket: when the new one accepts callers, and how the
// old one finishes its calls and exits.
#include <nlohmann/json.hpp>

#include "lab.h"
#include "settings.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

constexpr ConnId kCaller{Concern::platform, 1};
constexpr ConnId kOther{Concern::platform, 2};

bool listens_for_callers(const GatekeeperLab& lab) {
  return std::any_of(lab.listens.begin(), lab.listens.end(),
                     [](const net::Listen& l) { return l.concern == Concern::platform; });
}

const std::string kPing = R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                          "\n";

// Callers accepted before any setup server is connected would get the answer that the gatekeeper is not
// ready, although the old process still serves.
void new_process_accepts_callers_once_it_is_ready() {
  GatekeeperLab lab(config_with_inherited_socket());
  CHECK(!listens_for_callers(lab));
  lab.bring_up();
  CHECK(listens_for_callers(lab));
  CHECK(lab.listens.back().inherited_socket == 7);
  GatekeeperLab own;  // without an inherited socket it listens at once
  CHECK(listens_for_callers(own));
  CHECK(!own.listens.back().inherited_socket);
}

std::string released_line(const std::string& id) {
  return R"({"type":"released","id":")" + id + R"(","fields":{}})" + "\n";
}

// Connects the caller and establishes a call; returns the connection of its server.
ConnId establish_call(GatekeeperLab& lab) {
  const ConnId server = lab.connects.at(0).conn;
  lab.bring_up();
  lab.deliver(net::Accepted{kCaller});
  lab.receive(kCaller, setup_line("00000000000000aa"));
  lab.receive(server, server_answer(lab.messages(server).back(), 200, "answer"));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "answer");
  return server;
}

void old_process_accepts_no_callers_and_closes_idle_ones() {
  GatekeeperLab lab(config_with_inherited_socket());
  const ConnId s0 = lab.connects.at(0).conn;
  lab.bring_up();
  lab.deliver(net::Accepted{kCaller});
  lab.deliver(net::Accepted{kOther});
  lab.receive(kCaller, setup_line("00000000000000aa"));
  lab.deliver(net::StopRequested{});
  CHECK_EQ(lab.stopped_listening.size(), 1U);
  CHECK_EQ(lab.closed.size(), 1U);
  CHECK(lab.closed.front() == kOther);

  // Requests on open connections are served, and a ping there is answered with ready.
  lab.receive(kCaller, kPing);
  CHECK_EQ(lab.lines(kCaller).back().cause.value_or(-1), 1);
  lab.receive(kCaller, setup_line("00000000000000ab"));
  for (const sip::Message& m : lab.messages(s0)) {
    if (m.method == "INVITE") lab.receive(s0, server_answer(m, 200, "answer"));
  }
  CHECK_EQ(lab.lines(kCaller).size(), 2U);
  // It runs until its established calls are released to their caller, and exits after the last one.
  lab.advance(2s);
  CHECK(!lab.exit_status);
  for (const std::string id : {"00000000000000aa", "00000000000000ab"}) {
    CHECK(!lab.is_closed(kCaller));
    lab.receive(s0, server_bye(id, 16));
    const std::vector<jsonl::Message> lines = lab.lines(kCaller);
    CHECK_EQ(lines.size(), 1U);
    CHECK(lines[0].type == "release" && lines[0].id == id);
    lab.receive(kCaller, released_line(id));
  }
  lab.advance(100ms);
  CHECK(lab.is_closed(kCaller));
  CHECK(lab.exit_status == 0);
}

// Guards against a release that a stopping process can send to nobody: it had closed the caller's connection,
// on which no setup was open, and accepts no other. Calls that are quiet for longer than an idle connection
// may be are the same case.
void calls_that_end_while_the_old_process_runs_are_released() {
  for (const Duration quiet : {0s, 20s}) {
    GatekeeperLab lab(config_with_inherited_socket());
    const ConnId s0 = establish_call(lab);
    for (Duration passed{}; passed < quiet; passed += 1s) {
      lab.advance(1s);
      lab.receive(s0, server_report());
    }
    CHECK(!lab.is_closed(kCaller));
    lab.deliver(net::StopRequested{});
    lab.advance(2500ms);
    lab.receive(s0, server_bye("00000000000000aa", 16));
    CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
  }
}

// Without a caller's connection this process could send no release: it exits at once and so closes its
// connections to the setup servers, which then send their releases to the successor.
void calls_without_a_callers_connection_are_left_to_the_successor() {
  for (const bool caller_leaves_first : {true, false}) {
    GatekeeperLab lab(config_with_inherited_socket());
    establish_call(lab);
    if (caller_leaves_first) lab.deliver(net::Closed{kCaller, false});
    lab.deliver(net::StopRequested{});
    if (!caller_leaves_first) {
      lab.advance(1s);
      CHECK(!lab.exit_status);
      lab.deliver(net::Closed{kCaller, false});
    }
    CHECK(lab.exit_status == 0);
  }
}

// Guards against an exit of a process without a successor that still keeps a release for the next connection.
void release_without_a_connection_delays_the_exit() {
  GatekeeperLab lab;
  const ConnId s0 = establish_call(lab);
  lab.deliver(net::Closed{kCaller, false});
  lab.receive(s0, server_bye("00000000000000aa", 16));
  lab.deliver(net::StopRequested{});
  lab.advance(2s);
  CHECK(!lab.exit_status);
  lab.deliver(net::Accepted{kOther});
  CHECK_EQ(lab.lines(kOther).at(0).type, "release");
  lab.advance(100ms);
  CHECK(lab.exit_status == 0);
}

// Guards against a process that is stopped before it is ready and accepts callers in its last second.
void process_stopped_before_ready_accepts_nobody() {
  GatekeeperLab lab(config_with_inherited_socket());
  lab.deliver(net::StopRequested{});
  lab.bring_up();
  CHECK(!listens_for_callers(lab));
  lab.advance(1s);
  CHECK(lab.exit_status == 0);
}

void stopped_process_waits_for_the_rest_of_a_line() {
  GatekeeperLab lab(config_with_inherited_socket());
  lab.bring_up();
  lab.deliver(net::Accepted{kCaller});
  const std::string line = setup_line("00000000000000aa");
  lab.receive(kCaller, line.substr(0, 40));
  lab.deliver(net::StopRequested{});
  lab.advance(300ms);
  CHECK(lab.closed.empty());
  lab.receive(kCaller, line.substr(40));
  CHECK_EQ(lab.messages(ConnId{Concern::server, 1}).size(), 1U);
}

// Established calls without a release do not delay the exit: their caller's connection is closed, and they
// are left to the successor, a second before open requests would be rejected. The longest caller timeout is
// 5 s, so SIGKILL comes after 5.7 s at the earliest.
void established_calls_delay_the_exit_for_bounded_time() {
  GatekeeperLab lab(config_with_inherited_socket());
  establish_call(lab);
  lab.deliver(net::StopRequested{});
  lab.advance(4300ms);
  CHECK(!lab.exit_status && !lab.is_closed(kCaller));
  lab.advance(200ms);
  CHECK(lab.is_closed(kCaller));
  CHECK(lab.exit_status == 0);
}

// Guards against a process that is killed with callers connected: it ends by itself before, whatever peers
// do.
void old_process_ends_before_the_earliest_kill() {
  GatekeeperLab lab(config_with_inherited_socket());
  const ConnId s0 = lab.connects.at(0).conn;
  lab.bring_up();
  lab.deliver(net::Accepted{kCaller});
  lab.deliver(net::StopRequested{});
  for (int i = 0; i < 55; ++i) {  // a caller whose setups are never all answered
    lab.receive(kCaller, setup_line("00000000000000" + std::to_string(10 + i)));
    lab.advance(100ms);
  }
  CHECK_EQ(lab.lines(kCaller).size(), 55U);
  lab.advance(150ms);
  CHECK(lab.exit_status == 0);
  CHECK(!lab.messages(s0).empty());
}

// Planned restart without a successor: it keeps listening until it exits.
void process_without_successor_listens_until_exit() {
  GatekeeperLab lab;
  lab.bring_up();
  lab.deliver(net::Accepted{kCaller});
  lab.deliver(net::StopRequested{});
  CHECK(lab.stopped_listening.empty() && lab.closed.empty());
  lab.receive(kCaller, kPing);
  CHECK_EQ(lab.lines(kCaller).back().cause.value_or(-1), 0);
  lab.advance(1s);
  CHECK(lab.exit_status == 0);
}

// Answers all INVITEs that this process sent to the server with 200.
void answer_all_invites(GatekeeperLab& lab, ConnId server) {
  for (const sip::Message& m : lab.messages(server)) {
    if (m.method == "INVITE") lab.receive(server, server_answer(m, 200, "answer"));
  }
}

// Three processes of one gatekeeper at once: each serves its accepted calls to their end, and only the last
// one accepts more.
void two_upgrades_in_quick_succession_keep_every_call() {
  GatekeeperLab first(config_with_inherited_socket());
  GatekeeperLab second(config_with_inherited_socket());
  GatekeeperLab third(config_with_inherited_socket());
  std::vector<GatekeeperLab*> all{&first, &second, &third};
  const char* const ids[] = {"00000000000000a1", "00000000000000a2", "00000000000000a3"};
  std::vector<ConnId> servers;
  for (std::size_t i = 0; i < all.size(); ++i) {
    GatekeeperLab& lab = *all[i];
    servers.push_back(lab.connects.at(0).conn);
    lab.bring_up();
    CHECK(listens_for_callers(lab));
    lab.deliver(net::Accepted{kCaller});
    lab.receive(kCaller, setup_line(ids[i]));
    // The first two get SIGTERM, as when their successor is ready, with their call still unanswered.
    if (i < 2) lab.deliver(net::StopRequested{});
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    answer_all_invites(*all[i], servers[i]);
    const auto lines = all[i]->lines(kCaller);
    CHECK_EQ(lines.size(), 1U);
    CHECK(lines[0].type == "answer" && lines[0].id == ids[i]);
    all[i]->advance(2s);
    CHECK(!all[i]->exit_status);  // its call is established
    all[i]->receive(servers[i], server_bye(ids[i], 16));
    CHECK_EQ(all[i]->lines(kCaller).at(0).type, "release");
    all[i]->receive(kCaller, released_line(ids[i]));
    all[i]->advance(200ms);
    CHECK(i == 2 ? !all[i]->exit_status : all[i]->exit_status == 0);
  }
  CHECK_EQ(first.stopped_listening.size() + second.stopped_listening.size(), 2U);
  CHECK(third.stopped_listening.empty());
}

// Discovery events reach each process independently. A process sends nothing to a draining server once it got
// the event, and until then acts on its previous list.
void draining_event_applies_to_the_process_that_got_it() {
  PlatformConfig config = config_with_inherited_socket();
  config.journal = "127.0.0.1:8500";
  const auto drain = [](GatekeeperLab& lab, ConnId journal) {
    lab.receive(journal,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 4\ndata: "
                R"({"pos":4,"hosts":{"rev":2,"all":false,"targets":[{"uid":"s0","endpoint":"127.0.0.1:9000",)"
                R"("az":"","pod_group":0,"state":"draining","boot_ms":0}]}})"
                "\n\n");
  };
  for (const bool old_process_is_notified : {true, false}) {
    GatekeeperLab old(config);
    GatekeeperLab fresh(config);
    std::map<GatekeeperLab*, std::map<std::string, ConnId>> to;
    for (GatekeeperLab* lab : {&old, &fresh}) {
      for (const net::Connect& c : lab->connects) to[lab][c.address] = c.conn;
      lab->bring_up();
      lab->deliver(net::Accepted{kCaller});
    }
    old.deliver(net::Accepted{kOther});
    // An incomplete line keeps the connection open.
    old.receive(kCaller, R"({"type":"progress","id":"00000000000000cc","fields":{)");
    old.deliver(net::StopRequested{});
    GatekeeperLab& notified = old_process_is_notified ? old : fresh;
    GatekeeperLab& other = old_process_is_notified ? fresh : old;
    drain(notified, to[&notified]["127.0.0.1:8500"]);
    if (old_process_is_notified) {
      old.receive(kCaller, "}}\n" + setup_line("00000000000000d1"));
      fresh.receive(kCaller, setup_line("00000000000000d2"));
    } else {
      fresh.receive(kCaller, setup_line("00000000000000d1"));
      old.receive(kCaller, "}}\n" + setup_line("00000000000000d2"));
    }
    const auto invites = [](GatekeeperLab& lab, ConnId conn) {
      const auto all = lab.messages(conn);
      return std::count_if(all.begin(), all.end(), [](const auto& m) { return m.method == "INVITE"; });
    };
    CHECK_EQ(invites(notified, to[&notified]["127.0.0.1:9000"]), 0);
    CHECK_EQ(invites(notified, to[&notified]["127.0.0.1:9001"]), 1);
    CHECK_EQ(invites(other, to[&other]["127.0.0.1:9000"]), 1);
    drain(other, to[&other]["127.0.0.1:8500"]);
    other.receive(kCaller, setup_line("00000000000000d3"));
    CHECK_EQ(invites(other, to[&other]["127.0.0.1:9000"]), 0);
  }
}

// SIGHUP reaches both processes. The old one keeps its open calls and accepts no callers again; the new one
// has the new settings before its first call.
void reload_during_upgrade_is_applied_by_both_processes() {
  const std::string text = nlohmann::json{
      {"name", "t0"},
      {"listen", "127.0.0.1:1"},
      {"seed", "8c1f30d27a5be964"},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"settings", settings()}}.dump();
  PlatformConfig config = config_with_inherited_socket();
  const PlatformConfig read = read_platform_config(text);
  config.settings = read.settings;
  config.class_names = read.class_names;
  GatekeeperLab old(config);
  const ConnId server = old.connects.at(0).conn;
  old.bring_up();
  old.deliver(net::Accepted{kCaller});
  old.receive(kCaller, setup_line("00000000000000e1", read.class_names.at(0)));
  GatekeeperLab fresh(config);
  old.deliver(net::StopRequested{});
  for (GatekeeperLab* lab : {&old, &fresh}) {
    lab->deliver(net::ReloadRequested{});
    lab->deliver(net::FileRead{"", text});
    CHECK_EQ(lab->telemetry_metric("config_applied"), "1|c");
  }
  const std::size_t listens = old.listens.size();
  answer_all_invites(old, server);
  CHECK_EQ(old.lines(kCaller).at(0).type, "answer");
  old.advance(1s);
  CHECK_EQ(old.listens.size(), listens);
  CHECK(!old.exit_status);
  CHECK(!listens_for_callers(fresh));
  fresh.bring_up();
  CHECK(listens_for_callers(fresh) && fresh.listens.back().inherited_socket == 7);
}

// The new process does not know the call's server: it confirms the caller's release at once and sends nothing
// to any server. The call ends at the old process when its server releases it.
void release_at_the_new_process_of_a_call_of_the_old_one() {
  GatekeeperLab old(config_with_inherited_socket());
  const ConnId server = old.connects.at(0).conn;
  old.bring_up();
  old.deliver(net::Accepted{kCaller});
  old.receive(kCaller, setup_line("00000000000000f1"));
  answer_all_invites(old, server);
  GatekeeperLab fresh(config_with_inherited_socket());
  std::vector<ConnId> servers;
  for (const net::Connect& c : fresh.connects) servers.push_back(c.conn);
  fresh.bring_up();
  old.deliver(net::StopRequested{});
  fresh.deliver(net::Accepted{kCaller});
  fresh.receive(kCaller, R"({"type":"release","id":"00000000000000f1","fields":{},"cause":16})"
                         "\n");
  CHECK_EQ(fresh.lines(kCaller).at(0).type, "released");
  fresh.advance(2s);
  for (const ConnId s : servers) CHECK(fresh.messages(s).empty());
  old.advance(1s);
  CHECK(!old.exit_status);
  old.lines(kCaller);
  old.receive(server, server_bye("00000000000000f1", 16));
  CHECK_EQ(old.lines(kCaller).at(0).type, "release");
  old.receive(kCaller, released_line("00000000000000f1"));
  old.advance(200ms);
  CHECK(old.exit_status == 0);
}

}  // namespace

int main() {
  two_upgrades_in_quick_succession_keep_every_call();
  draining_event_applies_to_the_process_that_got_it();
  reload_during_upgrade_is_applied_by_both_processes();
  release_at_the_new_process_of_a_call_of_the_old_one();
  new_process_accepts_callers_once_it_is_ready();
  old_process_accepts_no_callers_and_closes_idle_ones();
  process_stopped_before_ready_accepts_nobody();
  stopped_process_waits_for_the_rest_of_a_line();
  established_calls_delay_the_exit_for_bounded_time();
  calls_that_end_while_the_old_process_runs_are_released();
  calls_without_a_callers_connection_are_left_to_the_successor();
  release_without_a_connection_delays_the_exit();
  old_process_ends_before_the_earliest_kill();
  process_without_successor_listens_until_exit();
}
