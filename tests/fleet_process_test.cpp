// Several real gatekeepers on loopback with a relay between them, and faults put in from outside. The verdict
// rests on what each holds in the end and on the order of what was told, never on how fast the machine was;
// each fault is shown to have taken hold. Usage: fleet_process_test GATEKEEPER GRANITERUNCTL
#include <csignal>

#include "lab/fleet_rig.h"

using namespace graniterun;
using namespace graniterun::test;
using graniterun::lab::RealLink;
using graniterun::lab::Rig;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr auto kPatience = 20s;
std::string gatekeeper;
std::string ctl;

void agrees(Rig& rig) {
  if (Rig::until(kPatience, [&] { return rig.agree(); })) return;
  for (std::size_t i = 0; i < rig.size(); ++i) {
    if (rig.up(i)) std::cerr << rig.ask(i, "members").dump() << '\n' << rig.program(i).log() << '\n';
  }
  CHECK(false);
}
// All others who are up hold it so.
bool all_hold(const Rig& rig, std::size_t of, const std::string& state) {
  for (std::size_t i = 0; i < rig.size(); ++i) {
    if (i != of && rig.up(i) && rig.state(i, "n" + std::to_string(of)) != state) return false;
  }
  return true;
}
void all_come_to_hold(const Rig& rig, std::size_t of, const std::string& state) {
  CHECK(Rig::until(kPatience, [&] { return all_hold(rig, of, state); }));
}
std::size_t deaths(const Rig& rig, const std::set<std::string>& but = {}) {
  std::size_t count = 0;
  for (const lab::Event& e : rig.events()) count += e.what == "died" && !but.contains(e.member) ? 1 : 0;
  return count;
}
std::uint64_t life_of(const Rig& rig, std::size_t i) {
  const json view = rig.ask(i, "members");
  for (const json& m : view["members"]) {
    if (m["self"] == true) return m["life"].get<std::uint64_t>();
  }
  return 0;
}

void shorter_suspicion(std::size_t, json& deploy) { deploy["fleet"]["suspicion_ms"] = 1000; }

// Started at once, the seeds last; one is killed, and started again from nothing with a clock an hour behind.
void killed_and_started_again() {
  std::int64_t offset = 0;
  Rig rig(gatekeeper, 6, 1, [&](std::size_t i, json& deploy) {
    if (i == 4) deploy["fleet"]["clock_offset_ms"] = offset;
  });
  for (std::size_t i = rig.size(); i-- > 0;) rig.start(i);
  agrees(rig);
  CHECK_EQ(deaths(rig), 0U);
  const std::uint64_t life = life_of(rig, 4);
  rig.kill(4);
  all_come_to_hold(rig, 4, "dead");
  CHECK(rig.relay().counts().refused > 0);
  CHECK_EQ(deaths(rig, {"n4"}), 0U);
  std::uint64_t by_refusal = 0;
  for (std::size_t i = 0; i < rig.size(); ++i)
    by_refusal += i == 4 ? 0 : rig.counter(i, "fleet.deaths_by_refusal");
  CHECK(by_refusal > 0);
  offset = -3'600'000;
  rig.start(4);
  agrees(rig);
  CHECK(life_of(rig, 4) > life);
  // Asked to stop: it says so, and nobody finds it dead.
  rig.forget_events();
  rig.signal(2, SIGTERM);
  all_come_to_hold(rig, 2, "left");
  CHECK_EQ(rig.program(2).exit_status(), 0);
  rig.kill(2);
  agrees(rig);
  CHECK_EQ(deaths(rig), 0U);
}

void stopped_and_continued() {
  Rig rig(gatekeeper, 6, 2, shorter_suspicion);
  rig.start_all();
  agrees(rig);
  rig.forget_events();
  // Not long enough to be found dead: it notices by itself, and accuses nobody.
  rig.stop(3);
  std::this_thread::sleep_for(600ms);
  rig.go_on(3);
  agrees(rig);
  CHECK(rig.counter(3, "fleet.own_pauses") > 0);
  CHECK_EQ(deaths(rig), 0U);
  // Longer than that: dead, and back by its own word, in the same life.
  const std::uint64_t life = life_of(rig, 3);
  rig.stop(3);
  all_come_to_hold(rig, 3, "dead");
  rig.go_on(3);
  agrees(rig);
  CHECK_EQ(life_of(rig, 3), life);
  CHECK_EQ(deaths(rig, {"n3"}), 0U);
  for (const lab::Event& e : rig.events()) CHECK(e.by != 3 || e.what != "died");
}

void half_of_them_stopped() {
  Rig rig(gatekeeper, 6, 3);
  rig.start_all();
  agrees(rig);
  rig.forget_events();
  for (const std::size_t i : {0U, 2U, 4U}) rig.stop(i);
  std::this_thread::sleep_for(1500ms);
  for (const std::size_t i : {0U, 2U, 4U}) rig.go_on(i);
  agrees(rig);
  CHECK_EQ(deaths(rig), 0U);
  CHECK(rig.counter(2, "fleet.own_pauses") > 0);
}

// From 1 to 4 nothing passes: alive for all, and out of one's own reach for 1.
void cut_one_way() {
  Rig rig(gatekeeper, 6, 4, shorter_suspicion);
  rig.start_all();
  agrees(rig);
  rig.forget_events();
  RealLink cut;
  cut.cut = true;
  rig.relay().link(1, 4, cut);
  CHECK(Rig::until(kPatience, [&] {
    const json view = rig.ask(1, "members");
    for (const json& m : view["members"]) {
      if (m["name"] == "n4") return m["reach"] == "through-others" && m["state"] == "alive";
    }
    return false;
  }));
  CHECK(Rig::until(kPatience, [&] { return rig.relay().counts().cut >= 10; }));
  CHECK_EQ(deaths(rig), 0U);
  CHECK(all_hold(rig, 4, "alive"));
}

// One that only hears, then one that only speaks: the fleet does without it, and it does not take the others
// with it; healed, it is back.
void heard_by_none_and_hearing_none() {
  Rig rig(gatekeeper, 6, 5, shorter_suspicion);
  rig.start_all();
  for (const bool outwards : {true, false}) {
    agrees(rig);
    rig.forget_events();
    RealLink cut;
    cut.cut = true;
    for (std::size_t i = 0; i < rig.size(); ++i)
      outwards ? rig.relay().link(5, i, cut) : rig.relay().link(i, 5, cut);
    all_come_to_hold(rig, 5, "dead");
    CHECK(rig.relay().counts().cut > 0);
    for (const lab::Event& e : rig.events())
      CHECK(e.what != "died" || e.member == "n5" || (e.by == 5 && !outwards));
    rig.relay().heal();
  }
  agrees(rig);
}

void a_third_cut_off_and_back() {
  Rig rig(gatekeeper, 9, 6, shorter_suspicion);
  rig.start_all();
  agrees(rig);
  rig.relay().cut({0, 4, 8});
  CHECK(Rig::until(kPatience, [&] {
    return rig.ask(0, "view")["size"] == 3 && rig.ask(1, "view")["size"] == 6 &&
           rig.ask(0, "view")["settled"] == true;
  }));
  CHECK(rig.relay().counts().cut > 0);
  RealLink bad;  // healed, but not well
  bad.loss = 0.1;
  bad.doubled = 0.1;
  bad.most = 20ms;
  rig.relay().all_links(bad);
  agrees(rig);
  CHECK(rig.relay().counts().lost > 0 && rig.relay().counts().doubled > 0);
}

// Random bytes and datagrams of another key, a thousand and more, at a port that is a member's own.
void floods_from_outside() {
  Rig rig(gatekeeper, 3, 7);
  rig.start_all();
  agrees(rig);
  rig.forget_events();
  const Socket from = Socket::bound(SOCK_DGRAM);
  std::mt19937_64 random(7);
  for (int i = 0; i < 2000; ++i) {
    std::string bytes(1 + random() % 1400, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    from.send_to(rig.relay().port(1), bytes);
    if (i % 50 == 0) std::this_thread::sleep_for(20ms);
  }
  CHECK(rig.relay().counts().unknown > 0);
  CHECK(Rig::until(kPatience, [&] { return rig.counter(1, "fleet.refused.tag") > 100; }));
  agrees(rig);
  CHECK_EQ(deaths(rig), 0U);
  // One line a second at most, whatever comes.
  const std::string log = rig.program(1).log();
  std::size_t lines = 0;
  for (std::size_t at = log.find("is dropped"); at != std::string::npos; at = log.find("is dropped", at + 1))
    ++lines;
  CHECK(lines > 0 && lines < 60);
}

// Two programs of one name, the second by mistake: both are told, one stays, and nobody goes back and forth.
void a_name_taken_twice() {
  Rig rig(gatekeeper, 5, 8, [](std::size_t i, json& deploy) {
    if (i == 4) deploy["name_for_tests"] = "n1";
  });
  for (std::size_t i = 0; i < 4; ++i) rig.start(i);
  const std::set<std::string> four{"n0", "n1", "n2", "n3"};
  CHECK(Rig::until(kPatience, [&] { return rig.agree(four); }));
  const std::uint64_t life = life_of(rig, 1);
  rig.start(4);
  rig.program(4).wait_for_log("yielded");
  rig.program(1).wait_for_log("name-taken");
  CHECK_EQ(rig.ask(4, "view")["member"], false);
  CHECK_EQ(life_of(rig, 1), life);
  CHECK_EQ(deaths(rig), 0U);
  rig.kill(1);
  CHECK(Rig::until(kPatience, [&] { return rig.ask(4, "view")["member"] == true; }));
  CHECK(Rig::until(kPatience, [&] { return rig.agree(four); }));
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

void people_can_look() {
  Rig rig(gatekeeper, 3, 9);
  rig.start_all();
  agrees(rig);
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
  all_come_to_hold(rig, 2, "left");
  run_ctl("fleet view --to 127.0.0.1:" + std::to_string(Socket::bound(SOCK_STREAM).port()), status);
  CHECK_EQ(status, 3);
}

// A process takes over from the one that holds the callers' socket and the fleet's port. The others see one
// gatekeeper all along.
void an_upgrade() {
  Rig rig(gatekeeper, 4, 10);
  rig.start_all();
  agrees(rig);
  rig.upgrade_begins(3);
  agrees(rig);
  const std::uint64_t life = life_of(rig, 3);
  rig.forget_events();
  rig.upgrade(3);
  CHECK(Rig::until(kPatience, [&] { return rig.agree() && life_of(rig, 3) > life; }));
  for (const lab::Event& e : rig.events()) CHECK(e.what != "left" && (e.what != "died" || e.life == life));
}

}  // namespace

int main(int argc, char** argv) {
  CHECK_EQ(argc, 3);
  std::signal(SIGPIPE, SIG_IGN);
  gatekeeper = argv[1];
  ctl = argv[2];
  killed_and_started_again();
  stopped_and_continued();
  half_of_them_stopped();
  cut_one_way();
  heard_by_none_and_hearing_none();
  a_third_cut_off_and_back();
  floods_from_outside();
  a_name_taken_twice();
  people_can_look();
  an_upgrade();
}
