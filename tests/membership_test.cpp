// Tests of the membership state machine in a simulated network with a simulated clock: the order of records,
// one test per fault scenario, and random faults. Every failure is reproducible from a seed. Usage:
// membership_test [NUMBER_OF_RANDOM_SEEDS]
#include <cstring>
#include <deque>
#include <random>

#include "check.h"
#include "lab/fleet_sim.h"

using namespace graniterun;
using namespace graniterun::test;
using namespace graniterun::membership;
using namespace std::chrono_literals;
using graniterun::lab::FleetSim;
using graniterun::lab::Link;

namespace {

constexpr std::size_t kSize = 12;

// ---- records

std::vector<Record> sample_records() {
  std::vector<Record> all;
  for (const Incarnation incarnation : {1, 2}) {
    for (const std::uint64_t start_nonce : {7, 8}) {
      for (const std::uint32_t refutation : {0, 1}) {
        for (const State state : {State::alive, State::suspect, State::dead, State::left}) {
          Record r;
          r.name = "g1";
          r.address = "10.0.0.2:7946";
          r.incarnation = incarnation;
          r.start_nonce = start_nonce;
          r.refutation = refutation;
          r.state = state;
          r.suspecting_member = "g2";
          all.push_back(r);
        }
      }
    }
  }
  return all;
}

// Exhaustive: of any two different records exactly one supersedes the other, and the order is transitive.
void records_are_totally_ordered() {
  const auto all = sample_records();
  for (const Record& a : all) {
    for (const Record& b : all) {
      const bool same = a.same_incarnation(b) && a.refutation == b.refutation && a.state == b.state;
      CHECK_EQ(supersedes(a, b) + supersedes(b, a), same ? 0 : 1);
      for (const Record& c : all) {
        if (supersedes(a, b) && supersedes(b, c)) CHECK(supersedes(a, c));
      }
    }
  }
  Record old_left = all[3];
  Record next_alive = old_left;
  next_alive.state = State::alive;
  next_alive.refutation = 9;
  CHECK(supersedes(old_left, next_alive));  // a late record of the same incarnation does not undo a leave
}

// Exhaustive over all orders: five records of a name lead to the same digest in whatever order they arrive.
void digest_is_independent_of_arrival_order() {
  const auto all = sample_records();
  std::mt19937_64 random(5);
  for (int round = 0; round < 40; ++round) {
    std::vector<Record> five;
    while (five.size() < 5) five.push_back(all[random() % all.size()]);
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    std::optional<std::uint64_t> digest;
    do {
      // Another member sends the records; it is verified, since it has answered a ping.
      membership::Settings s;
      s.name = "g0";
      s.advertise = "10.0.0.1:7946";
      s.incarnation = 5;
      s.start_nonce = 3;
      s.refinements.verify_reported_deaths = false;
      Membership m(s);
      Effects effects;
      Time now = FleetSim::kStart;
      m.step(now, Started{}, effects);
      Datagram d;
      d.from.name = "g9";
      d.from.address = "10.0.0.9:7946";
      d.from.incarnation = d.from.start_nonce = 4;
      d.sequence_number = 1;
      d.body = Ping{1, false, false, {}};
      effects.clear();
      m.step(now, DatagramReceived{d}, effects);
      std::uint64_t token = 0;
      for (const Effect& e : effects) {
        if (const auto* send = std::get_if<SendDatagram>(&e)) {
          if (const auto* ping = std::get_if<Ping>(&send->datagram.body)) token = ping->token;
        }
      }
      CHECK(token != 0);
      d.sequence_number = 2;
      d.body = Ack{token, false, {}};
      m.step(now, DatagramReceived{d}, effects);
      for (const std::size_t i : order) {
        ++d.sequence_number;
        d.body = Gossip{};
        d.records = {five[i]};
        m.step(now, DatagramReceived{d}, effects);
      }
      if (!digest) digest = m.digest();
      CHECK_EQ(m.digest(), *digest);
    } while (std::next_permutation(order.begin(), order.end()));
  }
}

void replay_window_accepts_each_number_once() {
  std::mt19937_64 random(3);
  for (int round = 0; round < 200; ++round) {
    ReplayWindow window;
    std::set<std::uint64_t> accepted;
    std::uint64_t newest = 0;
    for (int i = 0; i < 500; ++i) {
      const std::uint64_t at = 1 + newest + random() % 40;
      const std::uint64_t number = random() % 3 == 0 ? at : 1 + random() % at;
      const bool old = newest >= ReplayWindow::kWindowSize && number <= newest - ReplayWindow::kWindowSize;
      const auto result = window.accept(number);
      if (number > newest) {
        CHECK(result == ReplayWindow::Result::fresh);
      } else if (old) {
        CHECK(result == ReplayWindow::Result::too_old);
      } else {
        CHECK(result ==
              (accepted.contains(number) ? ReplayWindow::Result::duplicate : ReplayWindow::Result::fresh));
      }
      accepted.insert(number);
      newest = std::max(newest, number);
    }
  }
}

void suspicion_timeout_shrinks_with_confirmations() {
  Suspicion s(Time{0s}, 3s, 6s, true, "a");
  CHECK(s.deadline() == Time{6s});
  CHECK(!s.confirm("a"));  // the same member again is not a confirmation
  Time before = s.deadline();
  for (const char* other : {"b", "c", "d"}) {
    CHECK(s.confirm(other));
    CHECK(s.deadline() < before);
    before = s.deadline();
  }
  CHECK(s.deadline() == Time{3s});
  CHECK(!s.confirm("e") && s.deadline() == Time{3s});
  s.extend(2s);
  CHECK(s.deadline() == Time{5s});
}

// ---- the fleet

// A fleet whose members are all running and agree on the membership.
struct AgreedFleet : FleetSim {
  explicit AgreedFleet(std::uint64_t seed, std::size_t size = kSize,
                       std::function<void(std::size_t, membership::Settings&)> edit = {})
      : FleetSim(size, seed, std::move(edit)) {
    start_all();
    if (!run_until_true(10s, [&] { return all_agree(); })) {
      std::cerr << "seed " << seed << '\n';
      CHECK(false);
    }
    take_reported_events();
  }
};

// Number of other members that have member `subject` in that state.
std::size_t members_reporting(const FleetSim& sim, std::size_t subject, State state) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < sim.size(); ++i)
    count += i != subject && sim.up(i) && sim.state(i, subject) == state ? 1 : 0;
  return count;
}
std::size_t count_events(const FleetSim& sim, MemberEventKind kind) {
  return static_cast<std::size_t>(std::count_if(sim.reported_events().begin(), sim.reported_events().end(),
                                                [&](const auto& f) { return f.event.kind == kind; }));
}
void expect_agreement_within(FleetSim& sim, Duration timeout) {
  CHECK(sim.run_until_true(timeout, [&] { return sim.all_agree(); }).has_value());
}

// Exhaustive: each of the first datagrams of a fleet of three is delivered, lost, duplicated or delayed. In
// every combination all find each other and none is declared dead; a later kill is detected by all (checked
// for each 16th combination).
void fleet_forms_under_every_fate_of_first_datagrams(int datagrams) {
  const std::uint64_t all = std::uint64_t{1} << (2 * datagrams);
  for (std::uint64_t choice = 0; choice < all; ++choice) {
    FleetSim sim(3, 5);
    sim.datagram_fault = [&](std::uint64_t nth) -> std::optional<FleetSim::DatagramFault> {
      if (nth > static_cast<std::uint64_t>(datagrams)) return std::nullopt;
      return static_cast<FleetSim::DatagramFault>(choice >> (2 * (nth - 1)) & 3);
    };
    sim.start_all();
    if (!sim.run_until_true(10s, [&] { return sim.all_agree(); })) {
      std::cerr << "choice " << choice << '\n';
      CHECK(false);
    }
    CHECK_EQ(sim.false_deaths(), 0U);
    if (choice % 16 != 0) continue;
    sim.kill(2);
    CHECK(
        sim.run_until_true(1500ms, [&] { return members_reporting(sim, 2, State::dead) == 2; }).has_value());
  }
}

void killed_process_is_declared_dead_by_all() {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    AgreedFleet sim(seed);
    sim.kill(5);
    CHECK(sim.run_until_true(1500ms, [&] { return members_reporting(sim, 5, State::dead) == kSize - 1; })
              .has_value());
    CHECK(sim.counts().refused > 0);
    CHECK_EQ(sim.false_deaths({5}), 0U);
    expect_agreement_within(sim, 2s);
  }
}

// A vanished machine sends no port-unreachable report, so only the suspicion timeout detects it.
void vanished_machine_is_dead_after_suspicion_timeout() {
  AgreedFleet sim(2);
  sim.kill(5, true);
  sim.run(2500ms);
  CHECK_EQ(members_reporting(sim, 5, State::dead), 0U);
  CHECK(sim.run_until_true(6s, [&] { return members_reporting(sim, 5, State::dead) == kSize - 1; })
            .has_value());
  CHECK(sim.counts().undelivered_datagrams > 0);
  CHECK_EQ(sim.false_deaths({5}), 0U);
}

void leave_is_accepted_at_once() {
  AgreedFleet sim(3);
  sim.leave(4);
  CHECK(sim.run_until_true(300ms, [&] { return members_reporting(sim, 4, State::left) == kSize - 1; })
            .has_value());
  CHECK_EQ(count_events(sim, MemberEventKind::suspected) + count_events(sim, MemberEventKind::died), 0U);
  sim.kill(4);
  sim.run(5s);
  CHECK_EQ(count_events(sim, MemberEventKind::died), 0U);
  expect_agreement_within(sim, 1s);
}

// The next process takes the port a moment later: no member sees the gatekeeper missing or twice.
void handover_keeps_one_member() {
  std::uint64_t unreachable_pings = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    AgreedFleet sim(seed);
    sim.leave(6, true);
    sim.run(350ms);
    sim.kill(6);
    const auto check_single_member = [&] {
      for (std::size_t i = 0; i < kSize; ++i) {
        if (!sim.up(i) || i == 6) continue;
        // A ping that reaches the free port before its sender learns of the handover raises a short
        // suspicion; the suspect is still a member.
        CHECK(sim.state(i, 6) == State::alive || sim.state(i, 6) == State::suspect);
        const auto& names = sim.member(i).view().names;
        CHECK(std::count(names.begin(), names.end(), "g6") == 1);
      }
      return false;
    };
    sim.run_until_true(400ms, check_single_member);
    sim.start(6);
    sim.run_until_true(2s, check_single_member);
    expect_agreement_within(sim, 2s);
    CHECK_EQ(sim.false_deaths(), 0U);
    unreachable_pings += sim.counts().refused;
  }
  CHECK(unreachable_pings > 0);  // while no process held the port
}

// A restart without stored state, under the same name and address. The wall clock advances, stands still or
// steps back an hour.
void newer_incarnation_supersedes_older_one() {
  for (const std::int64_t clock : {+5000, 0, -3'600'000}) {
    Incarnation first = 0;
    AgreedFleet sim(7, kSize, [&](std::size_t i, membership::Settings& s) {
      if (i != 8) return;
      if (first == 0)
        first = s.incarnation += 10'000'000;
      else
        s.incarnation = first + static_cast<Incarnation>(clock);
    });
    CHECK_EQ(sim.member(8).self().incarnation, first);
    sim.kill(8);
    sim.run(50ms);  // too short for a detection
    sim.start(8);
    expect_agreement_within(sim, 3s);
    CHECK(sim.member(8).self().incarnation > first);
    for (std::size_t i = 0; i < kSize; ++i) CHECK(sim.state(i, 8) == State::alive);
    CHECK_EQ(count_events(sim, MemberEventKind::stood_down), 0U);
  }
}

void clock_differences_do_not_matter() {
  AgreedFleet sim(9, kSize,
                  [](std::size_t i, membership::Settings& s) { s.incarnation += i % 2 == 0 ? 0 : 120'000; });
  sim.kill(3);
  CHECK(sim.run_until_true(1500ms, [&] { return members_reporting(sim, 3, State::dead) == kSize - 1; })
            .has_value());
  sim.start(3);
  expect_agreement_within(sim, 3s);
}

void one_way_cut_causes_no_death() {
  AgreedFleet sim(11);
  Link cut;
  cut.cut = true;
  sim.set_link(2, 7, cut);
  sim.run(30s);
  CHECK(sim.counts().cut > 0);
  CHECK_EQ(count_events(sim, MemberEventKind::died), 0U);
  // g7 stays alive for the fleet; only g2 cannot reach it directly.
  for (const MemberView& v : sim.member(2).members()) {
    if (v.record.name == "g7") CHECK(v.record.is_member() && v.reachability == Reachability::through_others);
  }
  for (const MemberView& v : sim.member(3).members()) {
    if (v.record.name == "g7") CHECK(v.reachability == Reachability::direct);
  }
  sim.heal();
  sim.run(6s);
  for (const MemberView& v : sim.member(2).members()) {
    if (v.record.name == "g7") CHECK(v.reachability == Reachability::direct);
  }
}

void member_that_cannot_send_declares_nobody_dead() {
  AgreedFleet sim(12);
  Link cut;
  cut.cut = true;
  for (std::size_t i = 0; i < kSize; ++i) sim.set_link(3, i, cut);
  CHECK(sim.run_until_true(15s, [&] { return members_reporting(sim, 3, State::dead) == kSize - 1; })
            .has_value());
  sim.run(20s);
  CHECK_EQ(sim.false_deaths({3}), 0U);
  for (std::size_t i = 0; i < kSize; ++i) {
    if (i != 3) CHECK(sim.state(3, i) == State::alive);
  }
  sim.heal();
  expect_agreement_within(sim, 5s);
}

// A member that receives nothing cannot refute a suspicion, so the fleet continues without it.
void member_that_cannot_receive_stays_dead() {
  AgreedFleet sim(13);
  Link cut;
  cut.cut = true;
  for (std::size_t i = 0; i < kSize; ++i) sim.set_link(i, 3, cut);
  CHECK(sim.run_until_true(15s, [&] { return members_reporting(sim, 3, State::dead) == kSize - 1; })
            .has_value());
  sim.run(30s);
  CHECK_EQ(sim.false_deaths({3}), 0U);
  CHECK_EQ(members_reporting(sim, 3, State::dead), kSize - 1);  // its own pings do not make it a member again
  sim.heal();
  expect_agreement_within(sim, 5s);
}

void partitioned_third_rejoins() {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    AgreedFleet sim(seed);
    sim.cut({0, 1, 2, 3});
    sim.run(20s);
    CHECK(sim.counts().cut > 0);
    CHECK_EQ(members_reporting(sim, 0, State::dead), 8U);
    CHECK(sim.member(0).view().names.size() == 4 && sim.member(9).view().names.size() == 8);
    sim.heal();
    expect_agreement_within(sim, 4s);
    for (std::size_t i = 0; i < kSize; ++i) CHECK_EQ(members_reporting(sim, i, State::alive), kSize - 1);
  }
}

// Every third member is cut off for 15 s and rejoins while each datagram is lost with a probability of 0.2.
void partitioned_zone_rejoins_over_lossy_links() {
  AgreedFleet sim(21, 24);
  std::set<std::size_t> zone;
  for (std::size_t i = 0; i < 24; i += 3) zone.insert(i);
  sim.cut(zone);
  sim.run(15s);
  CHECK(sim.counts().cut > 0);
  Link bad;
  bad.loss = 0.2;
  sim.set_all_links(bad);
  expect_agreement_within(sim, 10s);
  CHECK(sim.counts().lost > 0);
}

void packet_loss_causes_no_death() {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    AgreedFleet sim(seed);
    Link bad;
    bad.loss = 0.3;
    bad.duplication = 0.05;
    bad.max_delay = 60ms;
    sim.set_all_links(bad);
    sim.run(60s);
    CHECK(sim.counts().lost > 1000);
    CHECK_EQ(count_events(sim, MemberEventKind::died), 0U);
    sim.set_all_links({});
    expect_agreement_within(sim, 5s);
  }
}

// One of twelve processes is stopped and continued. A pause of up to two seconds causes no death; after a
// longer one the process rejoins, and it suspects no member whose answers it missed.
void paused_member_suspects_nobody_after_resuming() {
  for (const Duration span : {Duration(500ms), Duration(2s), Duration(10s), Duration(60s)}) {
    std::uint64_t held = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      AgreedFleet sim(seed);
      sim.pause(4);
      sim.run(span);
      CHECK_EQ(members_reporting(sim, 4, State::dead), span > 7s ? kSize - 1 : 0U);
      sim.resume(4);
      sim.run(2s);
      CHECK_EQ(sim.false_deaths({4}), 0U);
      for (const auto& f : sim.reported_events())
        CHECK(f.event.kind != MemberEventKind::suspected || f.event.record.suspecting_member != "g4" ||
              f.event.record.name == "g4");
      CHECK_EQ(sim.member(4).metrics().pauses, 1U);
      expect_agreement_within(sim, 4s);
      if (span <= 2s) CHECK_EQ(count_events(sim, MemberEventKind::died), 0U);
      held += sim.counts().held;
    }
    CHECK(held > 0);
  }
}

// A process is stopped while it suspects a member, and the refutation arrives during the pause. Without pause
// detection the suspicion times out as soon as the process resumes, and it declares the member dead.
void suspicion_pending_across_pause_causes_no_death() {
  for (const bool pause_detection : {true, false}) {
    std::size_t deaths = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      AgreedFleet sim(seed, kSize, [&](std::size_t, membership::Settings& s) {
        s.refinements.pause_detection = pause_detection;
      });
      Link bad;
      bad.loss = 0.4;
      sim.set_all_links(bad);
      // Until it suspects a member.
      CHECK(sim.run_until_true(60s,
                               [&] {
                                 const auto all = sim.member(4).members();
                                 return std::any_of(all.begin(), all.end(), [](const MemberView& m) {
                                   return m.record.state == State::suspect;
                                 });
                               })
                .has_value());
      sim.set_all_links({});
      sim.pause(4);
      sim.run(7s);
      sim.resume(4);
      sim.run(1s);
      for (const auto& f : sim.reported_events())
        deaths += f.event.kind == MemberEventKind::died && f.reported_by == 4 ? 1 : 0;
    }
    CHECK_EQ(deaths > 0, !pause_detection);
  }
}

void pause_of_half_the_fleet_causes_no_false_death() {
  for (const Duration span : {Duration(2s), Duration(8s)}) {
    AgreedFleet sim(31);
    for (std::size_t i = 0; i < kSize; i += 2) sim.pause(i);
    sim.run(span);
    for (std::size_t i = 0; i < kSize; i += 2) sim.resume(i);
    expect_agreement_within(sim, 6s);
    std::set<std::size_t> stopped;
    for (std::size_t i = 0; i < kSize; i += 2) stopped.insert(i);
    CHECK_EQ(sim.false_deaths(span > 3s ? stopped : std::set<std::size_t>{}), 0U);
    CHECK(sim.counts().held > 0);
  }
}

void flapping_member_causes_no_other_death() {
  AgreedFleet sim(33);
  for (int i = 0; i < 10; ++i) {
    sim.kill(9);
    sim.run(400ms);
    sim.start(9);
    sim.run(700ms);
  }
  CHECK_EQ(sim.false_deaths({9}), 0U);
  expect_agreement_within(sim, 4s);
}

void rolling_restart_causes_no_false_death() {
  AgreedFleet sim(35, 40);
  for (std::size_t first = 0; first < 40; first += 4) {
    for (std::size_t i = first; i < first + 4; ++i) sim.leave(i);
    sim.run(300ms);
    for (std::size_t i = first; i < first + 4; ++i) sim.kill(i);
    sim.run(100ms);
    for (std::size_t i = first; i < first + 4; ++i) sim.start(i);
    sim.run(1s);
  }
  expect_agreement_within(sim, 5s);
  CHECK_EQ(sim.false_deaths(), 0U);
}

// All processes are killed; the three seeds are started last.
void fleet_forms_when_seeds_start_last() {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    AgreedFleet sim(seed);
    for (std::size_t i = 0; i < kSize; ++i) sim.kill(i);
    for (std::size_t i = kSize; i-- > 0;) {
      sim.start(i);
      sim.run(80ms);
    }
    expect_agreement_within(sim, 5s);
    CHECK_EQ(sim.member(7).view().names.size(), kSize);
  }
}

// A second process starts under a taken name at another address. It stands down and reports the conflict
// while the first stays a member; when the first is killed, the second takes the name.
void second_process_of_a_name_stands_down() {
  FleetSim sim(kSize + 1, 41, [](std::size_t i, membership::Settings& s) {
    if (i != kSize) return;
    s.name = FleetSim::name_of(5);
    s.incarnation += 50'000;
  });
  for (std::size_t i = 0; i < kSize; ++i) sim.start(i);
  expect_agreement_within(sim, 5s);
  sim.take_reported_events();
  sim.start(kSize);
  sim.run(20s);
  CHECK(!sim.member(kSize).is_member());
  CHECK(sim.member(5).is_member());
  CHECK_EQ(count_events(sim, MemberEventKind::stood_down), 1U);
  for (const auto& f : sim.reported_events())
    CHECK(f.reported_by == kSize ||
          (f.event.kind != MemberEventKind::joined && f.event.kind != MemberEventKind::died));
  sim.kill(5);
  CHECK(
      sim.run_until_true(20s, [&] { return sim.member(kSize).is_member() && sim.all_agree(); }).has_value());
}

void both_processes_of_a_name_report_the_conflict() {
  FleetSim sim(4, 43, [](std::size_t i, membership::Settings& s) {
    if (i == 3) s.name = FleetSim::name_of(1);
  });
  sim.start(0);
  sim.start(1);
  sim.start(2);
  sim.run(3s);
  sim.start(3);
  sim.run(5s);
  bool first = false;
  bool second = false;
  for (const auto& f : sim.reported_events()) {
    first = first || (f.reported_by == 1 && f.event.kind == MemberEventKind::name_taken);
    second = second || (f.reported_by == 3 && f.event.kind == MemberEventKind::stood_down);
  }
  CHECK(first && second);
}

// Two processes of one name were members on the two sides of a partition. After it heals, exactly one stands
// down, once.
void duplicate_name_across_healed_partition_is_resolved() {
  FleetSim sim(8, 47, [](std::size_t i, membership::Settings& s) {
    if (i == 7) s.name = FleetSim::name_of(3);
    s.seeds = {FleetSim::address_of(0), FleetSim::address_of(4)};
  });
  sim.cut({4, 5, 6, 7});
  sim.start_all();
  sim.run(5s);
  CHECK(sim.member(3).is_member() && sim.member(7).is_member());
  sim.heal();
  sim.run(20s);
  CHECK_EQ(sim.member(3).is_member() + sim.member(7).is_member(), 1);
  CHECK_EQ(count_events(sim, MemberEventKind::stood_down), 1U);
  CHECK(sim.counts().cut > 0);
}

// Datagrams of a member are recorded and replayed to all a minute after it was killed: it stays dead.
void replayed_datagrams_change_nothing() {
  AgreedFleet sim(51);
  std::vector<membership::Datagram> recorded;
  sim.on_datagram_sent = [&](std::size_t from, std::size_t, const membership::Datagram& d) {
    if (from == 5 && recorded.size() < 500) recorded.push_back(d);
  };
  sim.run(5s);
  sim.on_datagram_sent = {};
  CHECK(recorded.size() > 20);
  sim.kill(5);
  sim.run(60s);
  CHECK_EQ(members_reporting(sim, 5, State::dead), kSize - 1);
  sim.take_reported_events();
  for (const membership::Datagram& d : recorded) {
    for (std::size_t i = 0; i < kSize; ++i) {
      if (i != 5) sim.inject(i, d);
    }
  }
  sim.run(2s);
  CHECK_EQ(members_reporting(sim, 5, State::dead), kSize - 1);
  CHECK_EQ(count_events(sim, MemberEventKind::joined), 0U);
  // Replayed datagrams of a running member are dropped, because each was accepted once.
  std::uint64_t dropped = 0;
  recorded.clear();
  sim.on_datagram_sent = [&](std::size_t from, std::size_t to, const membership::Datagram& d) {
    if (from == 6 && to == 7) recorded.push_back(d);
  };
  sim.run(3s);
  sim.on_datagram_sent = {};
  sim.run(100ms);
  for (const membership::Datagram& d : recorded) sim.inject(7, d);
  for (const auto reason : {DropReason::duplicate, DropReason::too_old})
    dropped += sim.member(7).metrics().dropped[static_cast<std::size_t>(reason)];
  CHECK(!recorded.empty() && dropped == recorded.size());
}

// A member reports others as dead. The receivers ping them, get answers and keep them.
void false_death_reports_are_disproved() {
  AgreedFleet sim(53);
  sim.run(1s);
  const Record liar = sim.member(11).self();
  std::uint64_t number = 1'000'000;
  for (int round = 0; round < 100; ++round) {
    membership::Datagram d;
    d.from = liar;
    d.sequence_number = ++number;
    d.body = Gossip{};
    for (std::size_t i = 0; i < 8; ++i) {
      Record r = sim.member(i).self();
      r.state = State::dead;
      r.state_reason = StateReason::unresponsive;
      r.suspecting_member = "g11";
      d.records.push_back(r);
    }
    for (std::size_t to = 0; to < 8; ++to) {
      d.to = FleetSim::name_of(to);
      sim.inject(to, d);
    }
    sim.run(100ms);
  }
  CHECK_EQ(sim.false_deaths({11}), 0U);  // the injected datagrams use up its sequence numbers
  std::uint64_t disproved = 0;
  for (std::size_t i = 0; i < kSize; ++i) disproved += sim.member(i).metrics().deaths_disproved;
  CHECK(disproved > 0);
}

void unlisted_name_cannot_join() {
  AgreedFleet sim(55, kSize, [](std::size_t, membership::Settings& s) {
    for (std::size_t i = 0; i < kSize; ++i) s.allowed_names.insert(FleetSim::name_of(i));
  });
  membership::Datagram d;
  d.from.name = "stranger";
  d.from.address = "10.9.9.9:1";
  d.from.incarnation = d.from.start_nonce = 1;
  d.sequence_number = 1;
  d.body = Ping{1, false, false, {}};
  sim.inject(0, d);
  sim.run(3s);
  CHECK_EQ(sim.member(0).metrics().dropped[static_cast<std::size_t>(DropReason::not_allowed)], 1U);
  CHECK_EQ(sim.member(0).members().size(), kSize);
}

// 1,000 datagrams a second from unknown senders: memory stays bounded and no member is affected.
void flood_of_unknown_senders_is_bounded() {
  AgreedFleet sim(57);
  std::mt19937_64 random(1);
  for (int i = 0; i < 3000; ++i) {
    membership::Datagram d;
    d.from.name = "s" + std::to_string(random() % 100'000);
    d.from.address = "10.9." + std::to_string(random() % 250) + "." + std::to_string(random() % 250) + ":1";
    d.from.incarnation = d.from.start_nonce = random() >> 1;
    d.sequence_number = random();
    if (i % 3 == 0)
      d.body = Ping{random(), i % 2 == 0, false, {}};
    else if (i % 3 == 1)
      d.body = Ack{random(), false, {}};
    else
      d.body = Gossip{};
    d.records.push_back(d.from);
    sim.inject(0, d);
    sim.run(1ms);
  }
  CHECK(sim.member(0).members().size() == kSize);
  CHECK(sim.member(0).memory_bytes() < 400'000);
  CHECK_EQ(count_events(sim, MemberEventKind::died) + count_events(sim, MemberEventKind::joined), 0U);
}

// A new member lacks more records than one sync answer holds, and no broadcasts are left, so it learns them
// only by sync. Each answer must carry another part: when answers went through the names in order, a new
// member got the same first 290 names each time and never the rest.
void new_member_of_large_fleet_syncs_completely() {
  constexpr std::size_t kFleet = 1000;
  const auto settings = [](std::size_t i) {
    membership::Settings s;
    s.name = FleetSim::name_of(i);
    s.advertise = FleetSim::address_of(i);
    s.incarnation = s.start_nonce = s.seed = i + 1;
    s.probe_interval = 10s;  // probes would bring it other records, too
    s.gossip_fanout = 2 * kFleet;
    return s;
  };
  Time now = FleetSim::kStart;
  Effects effects;
  Membership existing(settings(0));
  existing.step(now, Started{}, effects);
  // A verified member sends the records of the others.
  membership::Datagram d;
  d.from.name = FleetSim::name_of(1);
  d.from.address = FleetSim::address_of(1);
  d.from.incarnation = d.from.start_nonce = 2;
  d.sequence_number = 1;
  d.body = Ping{1, false, false, {}};
  effects.clear();
  existing.step(now, DatagramReceived{d}, effects);
  for (const Effect& e : effects) {
    const auto* send = std::get_if<SendDatagram>(&e);
    const auto* ping = send == nullptr ? nullptr : std::get_if<Ping>(&send->datagram.body);
    if (ping != nullptr) d.body = Ack{ping->token, false, {}};
  }
  CHECK(std::holds_alternative<Ack>(d.body));
  ++d.sequence_number;
  existing.step(now, DatagramReceived{d}, effects);
  d.body = Gossip{};
  for (std::size_t i = 2; i < kFleet; ++i) {
    Record r;
    r.name = FleetSim::name_of(i);
    r.address = FleetSim::address_of(i);
    r.incarnation = r.start_nonce = i + 1;
    d.records = {r};
    ++d.sequence_number;
    existing.step(now, DatagramReceived{d}, effects);
  }
  CHECK_EQ(existing.members().size(), kFleet);
  // Until its broadcast queue is empty.
  for (bool quiet = false; !quiet;) {
    effects.clear();
    now += kTick;
    existing.step(now, Tick{}, effects);
    quiet = now - FleetSim::kStart > 300ms;
    for (const Effect& e : effects) {
      const auto* send = std::get_if<SendDatagram>(&e);
      quiet = quiet && (send == nullptr || send->datagram.records.empty());
    }
  }
  membership::Settings s = settings(kFleet);
  s.seeds = {FleetSim::address_of(0)};
  Membership fresh(s);
  const Time deadline = now + 8s;
  std::deque<std::pair<std::string, membership::Datagram>> in_flight;
  const auto step = [&](Membership& m, const membership::Event& event) {
    Effects sent;
    m.step(now, event, sent);
    for (Effect& e : sent) {
      if (auto* send = std::get_if<SendDatagram>(&e))
        in_flight.emplace_back(send->address, std::move(send->datagram));
    }
    while (!in_flight.empty()) {
      const auto [address, datagram] = std::move(in_flight.front());
      in_flight.pop_front();
      Membership* to = address == existing.self().address ? &existing
                       : address == fresh.self().address  ? &fresh
                                                          : nullptr;
      if (to == nullptr) continue;
      Effects replies;
      to->step(now, DatagramReceived{datagram}, replies);
      for (Effect& e : replies) {
        if (auto* send = std::get_if<SendDatagram>(&e))
          in_flight.emplace_back(send->address, std::move(send->datagram));
      }
    }
  };
  step(fresh, Started{});
  while (now < deadline && fresh.digest() != existing.digest()) {
    now += kTick;
    step(existing, Tick{});
    step(fresh, Tick{});
  }
  CHECK_EQ(fresh.members().size(), kFleet + 1);
  CHECK_EQ(fresh.digest(), existing.digest());
  CHECK(existing.metrics().syncs <= 6);
}

// Random faults of all kinds for a while, then none: all members agree again and none stays dead. In runs
// without cut links no member that was up and running all the time was ever declared dead by another such
// member.
void fleet_agrees_after_random_faults(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const std::size_t size = 3 + random() % 12;
  FleetSim sim(size, seed);
  sim.start_all();
  std::set<std::size_t> down;
  std::set<std::size_t> stopped;
  std::set<std::size_t> touched;  // killed, paused or asked to leave at some time
  bool cut = false;
  for (int step = 0; step < 40; ++step) {
    const std::size_t i = random() % size;
    switch (random() % 8) {
      case 0:
        if (down.insert(i).second) sim.kill(i, random() % 3 == 0);
        stopped.erase(i);
        touched.insert(i);
        break;
      case 1:
        if (down.erase(i) > 0) sim.start(i);
        break;
      case 2:
        if (!down.contains(i) && stopped.insert(i).second) sim.pause(i);
        touched.insert(i);
        break;
      case 3:
        if (stopped.erase(i) > 0) sim.resume(i);
        break;
      case 4: {
        Link l;
        l.cut = true;
        sim.set_link(i, random() % size, l);
        cut = true;
        break;
      }
      case 5: {
        Link l;
        l.loss = 0.2;
        l.duplication = 0.1;
        l.max_delay = 50ms;
        sim.set_all_links(l);
        break;
      }
      case 6:
        sim.heal();
        break;
      default:
        if (!down.contains(i) && !stopped.contains(i)) {
          sim.leave(i, random() % 2 == 0);
          sim.run(50ms);
          sim.kill(i);
          down.insert(i);
          touched.insert(i);
        }
    }
    sim.run(std::chrono::milliseconds(random() % 1500));
  }
  if (!cut) CHECK_EQ(sim.false_deaths(touched), 0U);
  sim.set_all_links({});
  for (const std::size_t i : stopped) sim.resume(i);
  for (const std::size_t i : down) sim.start(i);
  if (!sim.run_until_true(30s, [&] { return sim.all_agree(); })) {
    std::cerr << "seed " << seed << ": no agreement\n";
    for (std::size_t i = 0; i < size; ++i) {
      std::cerr << i << (sim.member(i).is_member() ? " member " : " none ") << sim.member(i).view().settled
                << sim.member(i).catching_up() << ' ' << sim.member(i).view().names.size() << " incarnation "
                << sim.member(i).self().incarnation << " health " << sim.member(i).health() << ':';
      for (std::size_t j = 0; j < size; ++j)
        std::cerr << ' ' << (i == j || !sim.state(i, j) ? "-" : to_string(*sim.state(i, j)));
      std::cerr << '\n';
    }
    CHECK(false);
  }
  for (std::size_t i = 0; i < size; ++i) CHECK(sim.member(i).is_member());
}

}  // namespace

int main(int argc, char** argv) {
  records_are_totally_ordered();
  digest_is_independent_of_arrival_order();
  replay_window_accepts_each_number_once();
  suspicion_timeout_shrinks_with_confirmations();
  fleet_forms_under_every_fate_of_first_datagrams(argc > 1 ? 7 : 5);
  killed_process_is_declared_dead_by_all();
  vanished_machine_is_dead_after_suspicion_timeout();
  leave_is_accepted_at_once();
  handover_keeps_one_member();
  newer_incarnation_supersedes_older_one();
  clock_differences_do_not_matter();
  one_way_cut_causes_no_death();
  member_that_cannot_send_declares_nobody_dead();
  member_that_cannot_receive_stays_dead();
  partitioned_third_rejoins();
  partitioned_zone_rejoins_over_lossy_links();
  packet_loss_causes_no_death();
  paused_member_suspects_nobody_after_resuming();
  suspicion_pending_across_pause_causes_no_death();
  pause_of_half_the_fleet_causes_no_false_death();
  flapping_member_causes_no_other_death();
  rolling_restart_causes_no_false_death();
  fleet_forms_when_seeds_start_last();
  second_process_of_a_name_stands_down();
  both_processes_of_a_name_report_the_conflict();
  duplicate_name_across_healed_partition_is_resolved();
  replayed_datagrams_change_nothing();
  false_death_reports_are_disproved();
  unlisted_name_cannot_join();
  flood_of_unknown_senders_is_bounded();
  new_member_of_large_fleet_syncs_completely();
  const std::uint64_t seeds = argc > 1 ? std::stoull(argv[1]) : 50;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) fleet_agrees_after_random_faults(seed);
}
