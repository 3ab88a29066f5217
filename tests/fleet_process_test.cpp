// Tests with several gatekeeper processes on loopback and a relay that injects faults between them. The
// checks rest on the final state of each process and on the order of events, never on the speed of the
// machine; each test also checks that its fault took effect. Usage: fleet_process_test GATEKEEPER
// GRANITERUNCTL
#include <csignal>

#include "lab/fleet_rig.h"

using namespace graniterun;
using namespace graniterun::test;
using graniterun::lab::ClusterFixture;
using graniterun::lab::RelayLink;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr auto kConvergenceTimeout = 20s;
std::string gatekeeper;
std::string ctl;

void expect_agreement(ClusterFixture& rig) {
  if (ClusterFixture::wait_until(kConvergenceTimeout, [&] { return rig.agree(); })) return;
  for (std::size_t i = 0; i < rig.size(); ++i) {
    if (rig.up(i)) std::cerr << rig.query_fleet(i, "members").dump() << '\n' << rig.program(i).log() << '\n';
  }
  CHECK(false);
}
// Whether all other running processes report the member in that state.
bool all_report(const ClusterFixture& rig, std::size_t subject, const std::string& state) {
  for (std::size_t i = 0; i < rig.size(); ++i) {
    if (i != subject && rig.up(i) && rig.state(i, "n" + std::to_string(subject)) != state) return false;
  }
  return true;
}
void expect_all_report(const ClusterFixture& rig, std::size_t subject, const std::string& state) {
  CHECK(ClusterFixture::wait_until(kConvergenceTimeout, [&] { return all_report(rig, subject, state); }));
}
std::size_t count_deaths(const ClusterFixture& rig, const std::set<std::string>& excluded = {}) {
  std::size_t count = 0;
  for (const lab::FleetEvent& e : rig.events())
    count += e.kind == "died" && !excluded.contains(e.member) ? 1 : 0;
  return count;
}
std::uint64_t incarnation_of(const ClusterFixture& rig, std::size_t i) {
  const json view = rig.query_fleet(i, "members");
  for (const json& m : view["members"]) {
    if (m["self"] == true) return m["life"].get<std::uint64_t>();
  }
  return 0;
}

void shorten_suspicion(std::size_t, json& deploy) { deploy["fleet"]["suspicion_ms"] = 1000; }

// All are started at once, the seeds last; one is killed and restarted without stored state, with its clock
// an hour behind.
void killed_process_rejoins_after_restart() {
  std::int64_t offset = 0;
  ClusterFixture rig(gatekeeper, 6, 1, [&](std::size_t i, json& deploy) {
    if (i == 4) deploy["fleet"]["clock_offset_ms"] = offset;
  });
  for (std::size_t i = rig.size(); i-- > 0;) rig.start(i);
  expect_agreement(rig);
  CHECK_EQ(count_deaths(rig), 0U);
  const std::uint64_t incarnation = incarnation_of(rig, 4);
  rig.kill(4);
  expect_all_report(rig, 4, "dead");
  CHECK(rig.relay().counts().refused > 0);
  CHECK_EQ(count_deaths(rig, {"n4"}), 0U);
  std::uint64_t deaths_by_unreachable_port = 0;
  for (std::size_t i = 0; i < rig.size(); ++i)
    deaths_by_unreachable_port += i == 4 ? 0 : rig.counter(i, "fleet.deaths_by_refusal");
  CHECK(deaths_by_unreachable_port > 0);
  offset = -3'600'000;
  rig.start(4);
  expect_agreement(rig);
  CHECK(incarnation_of(rig, 4) > incarnation);
  // A process stopped by SIGTERM announces its leave and is not declared dead.
  rig.clear_events();
  rig.signal(2, SIGTERM);
  expect_all_report(rig, 2, "left");
  CHECK_EQ(rig.program(2).exit_status(), 0);
  rig.kill(2);
  expect_agreement(rig);
  CHECK_EQ(count_deaths(rig), 0U);
}

void paused_process_rejoins() {
  ClusterFixture rig(gatekeeper, 6, 2, shorten_suspicion);
  rig.start_all();
  expect_agreement(rig);
  rig.clear_events();
  // A pause shorter than the suspicion timeout: the process detects it and declares nobody dead.
  rig.stop(3);
  std::this_thread::sleep_for(600ms);
  rig.continue_process(3);
  expect_agreement(rig);
  CHECK(rig.counter(3, "fleet.own_pauses") > 0);
  CHECK_EQ(count_deaths(rig), 0U);
  // A longer pause: it is declared dead and refutes that on resuming, in the same incarnation.
  const std::uint64_t incarnation = incarnation_of(rig, 3);
  rig.stop(3);
  expect_all_report(rig, 3, "dead");
  rig.continue_process(3);
  expect_agreement(rig);
  CHECK_EQ(incarnation_of(rig, 3), incarnation);
  CHECK_EQ(count_deaths(rig, {"n3"}), 0U);
  for (const lab::FleetEvent& e : rig.events()) CHECK(e.reported_by != 3 || e.kind != "died");
}

void pause_of_half_the_fleet_causes_no_death() {
  ClusterFixture rig(gatekeeper, 6, 3);
  rig.start_all();
  expect_agreement(rig);
  rig.clear_events();
  for (const std::size_t i : {0U, 2U, 4U}) rig.stop(i);
  std::this_thread::sleep_for(1500ms);
  for (const std::size_t i : {0U, 2U, 4U}) rig.continue_process(i);
  expect_agreement(rig);
  CHECK_EQ(count_deaths(rig), 0U);
  CHECK(rig.counter(2, "fleet.own_pauses") > 0);
}

// All datagrams from 1 to 4 are dropped: 4 stays alive for all, and 1 reaches it only through others.
void one_way_cut_leaves_member_alive() {
  ClusterFixture rig(gatekeeper, 6, 4, shorten_suspicion);
  rig.start_all();
  expect_agreement(rig);
  rig.clear_events();
  RelayLink cut;
  cut.cut = true;
  rig.relay().set_link(1, 4, cut);
  CHECK(ClusterFixture::wait_until(kConvergenceTimeout, [&] {
    const json view = rig.query_fleet(1, "members");
    for (const json& m : view["members"]) {
      if (m["name"] == "n4") return m["reach"] == "through-others" && m["state"] == "alive";
    }
    return false;
  }));
  CHECK(ClusterFixture::wait_until(kConvergenceTimeout, [&] { return rig.relay().counts().cut >= 10; }));
  CHECK_EQ(count_deaths(rig), 0U);
  CHECK(all_report(rig, 4, "alive"));
}

// A member that can only receive, then one that can only send: the fleet declares it dead, the others are not
// affected, and it rejoins after the cut heals.
void member_cut_off_in_one_direction_is_declared_dead() {
  ClusterFixture rig(gatekeeper, 6, 5, shorten_suspicion);
  rig.start_all();
  for (const bool outwards : {true, false}) {
    expect_agreement(rig);
    rig.clear_events();
    RelayLink cut;
    cut.cut = true;
    for (std::size_t i = 0; i < rig.size(); ++i)
      outwards ? rig.relay().set_link(5, i, cut) : rig.relay().set_link(i, 5, cut);
    expect_all_report(rig, 5, "dead");
    CHECK(rig.relay().counts().cut > 0);
    for (const lab::FleetEvent& e : rig.events())
      CHECK(e.kind != "died" || e.member == "n5" || (e.reported_by == 5 && !outwards));
    rig.relay().heal();
  }
  expect_agreement(rig);
}

void partitioned_third_rejoins_over_lossy_links() {
  ClusterFixture rig(gatekeeper, 9, 6, shorten_suspicion);
  rig.start_all();
  expect_agreement(rig);
  rig.relay().cut({0, 4, 8});
  CHECK(ClusterFixture::wait_until(kConvergenceTimeout, [&] {
    return rig.query_fleet(0, "view")["size"] == 3 && rig.query_fleet(1, "view")["size"] == 6 &&
           rig.query_fleet(0, "view")["settled"] == true;
  }));
  CHECK(rig.relay().counts().cut > 0);
  RelayLink bad;  // healed, but with loss, duplicates and delay
  bad.loss = 0.1;
  bad.duplication = 0.1;
  bad.max_delay = 20ms;
  rig.relay().set_all_links(bad);
  expect_agreement(rig);
  CHECK(rig.relay().counts().lost > 0 && rig.relay().counts().duplicated > 0);
}

// 2,000 datagrams of random bytes are sent to a member's port.
void flood_of_foreign_datagrams_is_dropped() {
  ClusterFixture rig(gatekeeper, 3, 7);
  rig.start_all();
  expect_agreement(rig);
  rig.clear_events();
  const Socket from = Socket::bound(SOCK_DGRAM);
  std::mt19937_64 random(7);
  for (int i = 0; i < 2000; ++i) {
    std::string bytes(1 + random() % 1400, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    from.send_to(rig.relay().port(1), bytes);
    if (i % 50 == 0) std::this_thread::sleep_for(20ms);
  }
  CHECK(rig.relay().counts().unknown > 0);
  CHECK(ClusterFixture::wait_until(kConvergenceTimeout,
                                   [&] { return rig.counter(1, "fleet.refused.tag") > 100; }));
  expect_agreement(rig);
  CHECK_EQ(count_deaths(rig), 0U);
  // The warning is limited to one line a second.
  const std::string log = rig.program(1).log();
  std::size_t lines = 0;
  for (std::size_t at = log.find("is dropped"); at != std::string::npos; at = log.find("is dropped", at + 1))
    ++lines;
  CHECK(lines > 0 && lines < 60);
}

// A second process is started under a taken name: both report the conflict, the first stays a member, and the
// name does not change hands until the first is killed.
void second_process_of_a_name_stands_down() {
  ClusterFixture rig(gatekeeper, 5, 8, [](std::size_t i, json& deploy) {
    if (i == 4) deploy["name_for_tests"] = "n1";
  });
  for (std::size_t i = 0; i < 4; ++i) rig.start(i);
  const std::set<std::string> four{"n0", "n1", "n2", "n3"};
  CHECK(ClusterFixture::wait_until(kConvergenceTimeout, [&] { return rig.members_agree(four); }));
  const std::uint64_t incarnation = incarnation_of(rig, 1);
  rig.start(4);
  rig.program(4).wait_for_log("yielded");
  rig.program(1).wait_for_log("name-taken");
  CHECK_EQ(rig.query_fleet(4, "view")["member"], false);
  CHECK_EQ(incarnation_of(rig, 1), incarnation);
  CHECK_EQ(count_deaths(rig), 0U);
  rig.kill(1);
  CHECK(ClusterFixture::wait_until(kConvergenceTimeout,
                                   [&] { return rig.query_fleet(4, "view")["member"] == true; }));
  CHECK(ClusterFixture::wait_until(kConvergenceTimeout, [&] { return rig.members_agree(four); }));
}

json run_ctl(const std::string& arguments, int& status) {
  FILE* pipe = ::popen((ctl + " " + arguments).c_str(), "r");
  CHECK(pipe != nullptr);
  std::string text;
  char buffer[4096];
  while (::fgets(buffer, sizeof buffer, pipe) != nullptr) text += buffer;
  status = WEXITSTATUS(::pclose(pipe));
  return json::parse(text, nullptr, false);
}

void fleet_commands_report_members() {
  ClusterFixture rig(gatekeeper, 3, 9);
  rig.start_all();
  expect_agreement(rig);
  std::string to = "--to ";
  for (std::size_t i = 0; i < 3; ++i)
    to += (i > 0 ? "," : "") + std::string("127.0.0.1:") + std::to_string(rig.control(i));
  int status = -1;
  const json members = run_ctl("fleet members --json " + to, status);
  CHECK_EQ(status, 0);
  CHECK_EQ(members["targets"].size(), 3U);
  for (const json& t : members["targets"]) CHECK_EQ(t["view"]["members"].size(), 3U);
  run_ctl("fleet view " + to, status);
  CHECK_EQ(status, 0);
  run_ctl("fleet leave --json --to 127.0.0.1:" + std::to_string(rig.control(2)), status);
  CHECK_EQ(status, 0);
  expect_all_report(rig, 2, "left");
  run_ctl("fleet view --to 127.0.0.1:" + std::to_string(Socket::bound(SOCK_STREAM).port()), status);
  CHECK_EQ(status, 3);
}

// A new process takes over from the one that holds the callers' socket and the fleet port. The other members
// see one gatekeeper throughout.
void upgrade_keeps_one_member() {
  ClusterFixture rig(gatekeeper, 4, 10);
  rig.start_all();
  expect_agreement(rig);
  rig.restart_with_held_socket(3);
  expect_agreement(rig);
  const std::uint64_t incarnation = incarnation_of(rig, 3);
  rig.clear_events();
  rig.start_successor(3);
  CHECK(ClusterFixture::wait_until(kConvergenceTimeout,
                                   [&] { return rig.agree() && incarnation_of(rig, 3) > incarnation; }));
  for (const lab::FleetEvent& e : rig.events())
    CHECK(e.kind != "left" && (e.kind != "died" || e.incarnation == incarnation));
}

}  // namespace

int main(int argc, char** argv) {
  CHECK_EQ(argc, 3);
  std::signal(SIGPIPE, SIG_IGN);
  gatekeeper = argv[1];
  ctl = argv[2];
  killed_process_rejoins_after_restart();
  paused_process_rejoins();
  pause_of_half_the_fleet_causes_no_death();
  one_way_cut_leaves_member_alive();
  member_cut_off_in_one_direction_is_declared_dead();
  partitioned_third_rejoins_over_lossy_links();
  flood_of_foreign_datagrams_is_dropped();
  second_process_of_a_name_stands_down();
  fleet_commands_report_members();
  upgrade_keeps_one_member();
}
