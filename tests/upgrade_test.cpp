// Two processes behind one listening socket: what the new one waits for, and how the old one ends.
#include <nlohmann/json.hpp>

#include "lab.h"
#include "settings.h"

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
  lab.tell(net::StopRequested{});
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
  lab.tell(net::StopRequested{});
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
  lab.tell(net::StopRequested{});
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
  lab.tell(net::StopRequested{});
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
  lab.tell(net::StopRequested{});
  CHECK(lab.stopped_listening.empty() && lab.closed.empty());
  lab.receive(kCaller, kPing);
  CHECK_EQ(lab.lines(kCaller).back().cause.value_or(-1), 0);
  lab.pass(1s);
  CHECK(lab.exit_status == 0);
}

// The set-ups that this process has sent on, answered by the server with a call that stands.
void server_answers_all(Lab& lab, ConnId server) {
  for (const sip::Message& m : lab.messages(server)) {
    if (m.method == "INVITE") lab.receive(server, server_answer(m, 200, "answer"));
  }
}

// Three processes of one gatekeeper at once: each keeps what it took to its end, and only the last takes
// more.
void two_upgrades_close_together_keep_every_call() {
  Lab first(inherited());
  Lab second(inherited());
  Lab third(inherited());
  std::vector<Lab*> all{&first, &second, &third};
  const char* const ids[] = {"00000000000000a1", "00000000000000a2", "00000000000000a3"};
  std::vector<ConnId> servers;
  for (std::size_t i = 0; i < all.size(); ++i) {
    Lab& lab = *all[i];
    servers.push_back(lab.connects.at(0).conn);
    lab.bring_up();
    CHECK(listens_for_callers(lab));
    lab.tell(net::Accepted{kCaller});
    lab.receive(kCaller, set_up_line(ids[i]));
    // The next one is ready: this one is asked to stop, with its call still unanswered.
    if (i < 2) lab.tell(net::StopRequested{});
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    server_answers_all(*all[i], servers[i]);
    const auto lines = all[i]->lines(kCaller);
    CHECK_EQ(lines.size(), 1U);
    CHECK(lines[0].type == "answer" && lines[0].id == ids[i]);
    all[i]->pass(2s);
    CHECK(!all[i]->exit_status);  // its call stands
    all[i]->receive(servers[i], server_bye(ids[i], 16));
    all[i]->pass(200ms);
    CHECK(i == 2 ? !all[i]->exit_status : all[i]->exit_status == 0);
  }
  CHECK_EQ(first.stopped_listening.size() + second.stopped_listening.size(), 2U);
  CHECK(third.stopped_listening.empty());
}

// The journal's news reaches each process by itself. The one that has it sends nothing more there; the other
// goes by what it has been told, and no longer than that.
void a_drain_told_to_one_process_binds_that_one() {
  PlatformConfig config = inherited();
  config.journal = "127.0.0.1:8500";
  const auto drain = [](Lab& lab, ConnId journal) {
    lab.receive(journal,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 4\ndata: "
                R"({"pos":4,"hosts":{"rev":2,"all":false,"targets":[{"uid":"s0","endpoint":"127.0.0.1:9000",)"
                R"("az":"","pod_group":0,"state":"draining","boot_ms":0}]}})"
                "\n\n");
  };
  for (const bool old_one_hears : {true, false}) {
    Lab old(config);
    Lab fresh(config);
    std::map<Lab*, std::map<std::string, ConnId>> to;
    for (Lab* lab : {&old, &fresh}) {
      for (const net::Connect& c : lab->connects) to[lab][c.address] = c.conn;
      lab->bring_up();
      lab->tell(net::Accepted{kCaller});
    }
    old.tell(net::Accepted{kOther});
    old.receive(kCaller,
                R"({"type":"progress","id":"00000000000000cc","fields":{)");  // half a line: kept open
    old.tell(net::StopRequested{});
    Lab& told = old_one_hears ? old : fresh;
    Lab& other = old_one_hears ? fresh : old;
    drain(told, to[&told]["127.0.0.1:8500"]);
    if (old_one_hears) {
      old.receive(kCaller, "}}\n" + set_up_line("00000000000000d1"));
      fresh.receive(kCaller, set_up_line("00000000000000d2"));
    } else {
      fresh.receive(kCaller, set_up_line("00000000000000d1"));
      old.receive(kCaller, "}}\n" + set_up_line("00000000000000d2"));
    }
    const auto invites = [](Lab& lab, ConnId conn) {
      const auto all = lab.messages(conn);
      return std::count_if(all.begin(), all.end(), [](const auto& m) { return m.method == "INVITE"; });
    };
    CHECK_EQ(invites(told, to[&told]["127.0.0.1:9000"]), 0);
    CHECK_EQ(invites(told, to[&told]["127.0.0.1:9001"]), 1);
    CHECK_EQ(invites(other, to[&other]["127.0.0.1:9000"]), 1);
    drain(other, to[&other]["127.0.0.1:8500"]);
    other.receive(kCaller, set_up_line("00000000000000d3"));
    CHECK_EQ(invites(other, to[&other]["127.0.0.1:9000"]), 0);
  }
}

// SIGHUP goes to both processes. The old one changes nothing of what is under way and takes nobody again; the
// new one has what the file says before its first call.
void a_reload_during_an_upgrade_is_taken_by_both() {
  const std::string text = nlohmann::json{
      {"name", "t0"},
      {"listen", "127.0.0.1:1"},
      {"seed", "8c1f30d27a5be964"},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"settings", settings()}}.dump();
  PlatformConfig config = inherited();
  const PlatformConfig read = read_platform_config(text);
  config.settings = read.settings;
  config.class_names = read.class_names;
  Lab old(config);
  const ConnId server = old.connects.at(0).conn;
  old.bring_up();
  old.tell(net::Accepted{kCaller});
  old.receive(kCaller, set_up_line("00000000000000e1", read.class_names.at(0)));
  Lab fresh(config);
  old.tell(net::StopRequested{});
  for (Lab* lab : {&old, &fresh}) {
    lab->tell(net::ReloadRequested{});
    lab->tell(net::FileRead{"", text});
    CHECK_EQ(lab->figure("config_applied"), "1|c");
  }
  const std::size_t listens = old.listens.size();
  server_answers_all(old, server);
  CHECK_EQ(old.lines(kCaller).at(0).type, "answer");
  old.pass(1s);
  CHECK_EQ(old.listens.size(), listens);
  CHECK(!old.exit_status);
  CHECK(!listens_for_callers(fresh));
  fresh.bring_up();
  CHECK(listens_for_callers(fresh) && fresh.listens.back().inherited == 7);
}

// The new process does not know the call's server. The caller is heard at once, nothing is made up for a
// server, and the call ends at the old process when its server releases it.
void a_caller_releases_at_the_new_process_what_the_old_one_set_up() {
  Lab old(inherited());
  const ConnId server = old.connects.at(0).conn;
  old.bring_up();
  old.tell(net::Accepted{kCaller});
  old.receive(kCaller, set_up_line("00000000000000f1"));
  server_answers_all(old, server);
  Lab fresh(inherited());
  std::vector<ConnId> servers;
  for (const net::Connect& c : fresh.connects) servers.push_back(c.conn);
  fresh.bring_up();
  old.tell(net::StopRequested{});
  fresh.tell(net::Accepted{kCaller});
  fresh.receive(kCaller, R"({"type":"release","id":"00000000000000f1","fields":{},"cause":16})"
                         "\n");
  CHECK_EQ(fresh.lines(kCaller).at(0).type, "released");
  fresh.pass(2s);
  for (const ConnId s : servers) CHECK(fresh.messages(s).empty());
  old.pass(1s);
  CHECK(!old.exit_status);
  old.receive(server, server_bye("00000000000000f1", 16));
  old.pass(200ms);
  CHECK(old.exit_status == 0);
}

}  // namespace

int main() {
  two_upgrades_close_together_keep_every_call();
  a_drain_told_to_one_process_binds_that_one();
  a_reload_during_an_upgrade_is_taken_by_both();
  a_caller_releases_at_the_new_process_what_the_old_one_set_up();
  the_new_one_takes_callers_once_it_is_ready();
  the_old_one_leaves_new_callers_and_closes_what_is_quiet();
  one_that_is_stopped_before_it_is_ready_takes_nobody();
  half_a_line_is_waited_for();
  it_ends_all_the_same();
  without_a_successor_it_stops_as_before();
}
