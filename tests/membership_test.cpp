// Membership under a clock and a network of the test's own: what records hold over each other, and each hard
// case by name. Every failure is a seed. Usage: membership_test [SEEDS of the random runs]
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

std::vector<Record> some_records() {
  std::vector<Record> all;
  for (const Incarnation life : {1, 2}) {
    for (const std::uint64_t birth : {7, 8}) {
      for (const std::uint32_t incarnation : {0, 1}) {
        for (const State state : {State::alive, State::suspect, State::dead, State::left}) {
          Record r;
          r.name = "g1";
          r.address = "10.0.0.2:7946";
          r.incarnation = life;
          r.start_nonce = birth;
          r.refutation = incarnation;
          r.state = state;
          r.suspecting_member = "g2";
          all.push_back(r);
        }
      }
    }
  }
  return all;
}

// Exhaustively: of any two records one holds over the other, never both, and it goes on through a third.
void records_are_in_one_order() {
  const auto all = some_records();
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
  CHECK(supersedes(old_left, next_alive));  // who has left is not brought back by a late word of that life
}

// Exhaustively: whatever the order in which five records of a name come, the same one is held at the end, and
// the sums that members compare are the same.
void the_order_of_records_does_not_matter() {
  const auto all = some_records();
  std::mt19937_64 random(5);
  for (int round = 0; round < 40; ++round) {
    std::vector<Record> five;
    while (five.size() < 5) five.push_back(all[random() % all.size()]);
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    std::optional<std::uint64_t> digest;
    do {
      // Another member tells of them; it is known, since it has answered a ping.
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
      d.number = 1;
      d.body = Ping{1, false, false, {}};
      effects.clear();
      m.step(now, DatagramReceived{d}, effects);
      std::uint64_t token = 0;
      for (const Effect& e : effects) {
        if (const auto* tell = std::get_if<SendDatagram>(&e)) {
          if (const auto* ping = std::get_if<Ping>(&tell->datagram.body)) token = ping->token;
        }
      }
      CHECK(token != 0);
      d.number = 2;
      d.body = Ack{token, false, {}};
      m.step(now, DatagramReceived{d}, effects);
      for (const std::size_t i : order) {
        ++d.number;
        d.body = Gossip{};
        d.records = {five[i]};
        m.step(now, DatagramReceived{d}, effects);
      }
      if (!digest) digest = m.digest();
      CHECK_EQ(m.digest(), *digest);
    } while (std::next_permutation(order.begin(), order.end()));
  }
}

void a_number_is_taken_once() {
  std::mt19937_64 random(3);
  for (int round = 0; round < 200; ++round) {
    ReplayWindow window;
    std::set<std::uint64_t> taken;
    std::uint64_t newest = 0;
    for (int i = 0; i < 500; ++i) {
      const std::uint64_t at = 1 + newest + random() % 40;
      const std::uint64_t number = random() % 3 == 0 ? at : 1 + random() % at;
      const bool old = newest >= ReplayWindow::kSize && number <= newest - ReplayWindow::kSize;
      const auto verdict = window.accept(number);
      if (number > newest) {
        CHECK(verdict == ReplayWindow::Verdict::fresh);
      } else if (old) {
        CHECK(verdict == ReplayWindow::Verdict::too_old);
      } else {
        CHECK(verdict ==
              (taken.contains(number) ? ReplayWindow::Verdict::duplicate : ReplayWindow::Verdict::fresh));
      }
      taken.insert(number);
      newest = std::max(newest, number);
    }
  }
}

void suspicions_shrink_with_confirmations() {
  Suspicion s(Time{0s}, 3s, 6s, true, "a");
  CHECK(s.deadline() == Time{6s});
  CHECK(!s.confirm("a"));  // the same one once more is no confirmation
  Time before = s.deadline();
  for (const char* other : {"b", "c", "d"}) {
    CHECK(s.confirm(other));
    CHECK(s.deadline() < before);
    before = s.deadline();
  }
  CHECK(s.deadline() == Time{3s});
  CHECK(!s.confirm("e") && s.deadline() == Time{3s});
  s.discount(2s);
  CHECK(s.deadline() == Time{5s});
}

// ---- the fleet

// All are up and hold the same.
struct Ready : FleetSim {
  explicit Ready(std::uint64_t seed, std::size_t size = kSize,
                 std::function<void(std::size_t, membership::Settings&)> edit = {})
      : FleetSim(size, seed, std::move(edit)) {
    start_all();
    if (!until(10s, [&] { return all_agree(); })) {
      std::cerr << "seed " << seed << '\n';
      CHECK(false);
    }
    take_found();
  }
};

std::size_t holding(const FleetSim& sim, std::size_t of, State state) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < sim.size(); ++i)
    count += i != of && sim.up(i) && sim.state(i, of) == state ? 1 : 0;
  return count;
}
std::size_t times(const FleetSim& sim, MemberEventKind what) {
  return static_cast<std::size_t>(std::count_if(sim.found().begin(), sim.found().end(),
                                                [&](const auto& f) { return f.what.kind == what; }));
}
void agrees_within(FleetSim& sim, Duration most) {
  CHECK(sim.until(most, [&] { return sim.all_agree(); }).has_value());
}

// Exhaustively: whatever becomes of the first datagrams of a fleet of three (each passes, is lost, comes
// twice or late), all find each other, nobody is found dead, and a kill after it is known everywhere.
void every_fate_of_the_first_datagrams(int datagrams) {
  const std::uint64_t all = std::uint64_t{1} << (2 * datagrams);
  for (std::uint64_t choice = 0; choice < all; ++choice) {
    FleetSim sim(3, 5);
    sim.fate = [&](std::uint64_t nth) -> std::optional<FleetSim::Fate> {
      if (nth > static_cast<std::uint64_t>(datagrams)) return std::nullopt;
      return static_cast<FleetSim::Fate>(choice >> (2 * (nth - 1)) & 3);
    };
    sim.start_all();
    if (!sim.until(10s, [&] { return sim.all_agree(); })) {
      std::cerr << "choice " << choice << '\n';
      CHECK(false);
    }
    CHECK_EQ(sim.false_deaths(), 0U);
    if (choice % 16 != 0) continue;
    sim.kill(2);
    CHECK(sim.until(1500ms, [&] { return holding(sim, 2, State::dead) == 2; }).has_value());
  }
}

void a_killed_process_is_known_dead_everywhere() {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Ready sim(seed);
    sim.kill(5);
    CHECK(sim.until(1500ms, [&] { return holding(sim, 5, State::dead) == kSize - 1; }).has_value());
    CHECK(sim.counts().refused > 0);
    CHECK_EQ(sim.false_deaths({5}), 0U);
    agrees_within(sim, 2s);
  }
}

// Nothing comes back from it at all: only time can tell.
void a_machine_that_vanishes_is_dead_after_its_suspicion() {
  Ready sim(2);
  sim.kill(5, true);
  sim.run(2500ms);
  CHECK_EQ(holding(sim, 5, State::dead), 0U);
  CHECK(sim.until(6s, [&] { return holding(sim, 5, State::dead) == kSize - 1; }).has_value());
  CHECK(sim.counts().unheard_datagrams > 0);
  CHECK_EQ(sim.false_deaths({5}), 0U);
}

void who_leaves_is_believed_at_once() {
  Ready sim(3);
  sim.leave(4);
  CHECK(sim.until(300ms, [&] { return holding(sim, 4, State::left) == kSize - 1; }).has_value());
  CHECK_EQ(times(sim, MemberEventKind::suspected) + times(sim, MemberEventKind::died), 0U);
  sim.kill(4);
  sim.run(5s);
  CHECK_EQ(times(sim, MemberEventKind::died), 0U);
  agrees_within(sim, 1s);
}

// The next process takes the port a moment later: nobody sees the gatekeeper gone, and nobody sees two.
void an_upgrade_is_one_member_all_along() {
  std::uint64_t asked = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Ready sim(seed);
    sim.leave(6, true);
    sim.run(350ms);
    sim.kill(6);
    const auto count_it = [&] {
      for (std::size_t i = 0; i < kSize; ++i) {
        if (!sim.up(i) || i == 6) continue;
        // A ping that crosses the word of it may be refused first: doubted for that moment, but a member.
        CHECK(sim.state(i, 6) == State::alive || sim.state(i, 6) == State::suspect);
        const auto& names = sim.member(i).view().names;
        CHECK(std::count(names.begin(), names.end(), "g6") == 1);
      }
      return false;
    };
    sim.until(400ms, count_it);
    sim.start(6);
    sim.until(2s, count_it);
    agrees_within(sim, 2s);
    CHECK_EQ(sim.false_deaths(), 0U);
    asked += sim.counts().refused;
  }
  CHECK(asked > 0);  // while nobody had the port
}

// A restart from nothing, under its name and address. The wall clock went back an hour, or stands still.
void a_newer_life_ends_the_older_one() {
  for (const std::int64_t clock : {+5000, 0, -3'600'000}) {
    Incarnation first = 0;
    Ready sim(7, kSize, [&](std::size_t i, membership::Settings& s) {
      if (i != 8) return;
      if (first == 0)
        first = s.incarnation += 10'000'000;
      else
        s.incarnation = first + static_cast<Incarnation>(clock);
    });
    CHECK_EQ(sim.member(8).self().incarnation, first);
    sim.kill(8);
    sim.run(50ms);  // nobody has noticed
    sim.start(8);
    agrees_within(sim, 3s);
    CHECK(sim.member(8).self().incarnation > first);
    for (std::size_t i = 0; i < kSize; ++i) CHECK(sim.state(i, 8) == State::alive);
    CHECK_EQ(times(sim, MemberEventKind::stood_down), 0U);
  }
}

void clocks_two_minutes_apart_make_no_difference() {
  Ready sim(9, kSize,
            [](std::size_t i, membership::Settings& s) { s.incarnation += i % 2 == 0 ? 0 : 120'000; });
  sim.kill(3);
  CHECK(sim.until(1500ms, [&] { return holding(sim, 3, State::dead) == kSize - 1; }).has_value());
  sim.start(3);
  agrees_within(sim, 3s);
}

void a_cut_one_way_is_no_death() {
  Ready sim(11);
  Link cut;
  cut.cut = true;
  sim.link(2, 7, cut);
  sim.run(30s);
  CHECK(sim.counts().cut > 0);
  CHECK_EQ(times(sim, MemberEventKind::died), 0U);
  // Alive for the fleet, and out of this one's own reach.
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

void one_that_hears_all_and_is_heard_by_none_judges_nobody() {
  Ready sim(12);
  Link cut;
  cut.cut = true;
  for (std::size_t i = 0; i < kSize; ++i) sim.link(3, i, cut);
  CHECK(sim.until(15s, [&] { return holding(sim, 3, State::dead) == kSize - 1; }).has_value());
  sim.run(20s);
  CHECK_EQ(sim.false_deaths({3}), 0U);
  for (std::size_t i = 0; i < kSize; ++i) {
    if (i != 3) CHECK(sim.state(3, i) == State::alive);
  }
  sim.heal();
  agrees_within(sim, 5s);
}

// It can't be told anything: the fleet does without it.
void one_that_sends_but_does_not_receive_is_no_member() {
  Ready sim(13);
  Link cut;
  cut.cut = true;
  for (std::size_t i = 0; i < kSize; ++i) sim.link(i, 3, cut);
  CHECK(sim.until(15s, [&] { return holding(sim, 3, State::dead) == kSize - 1; }).has_value());
  sim.run(30s);
  CHECK_EQ(sim.false_deaths({3}), 0U);
  CHECK_EQ(holding(sim, 3, State::dead), kSize - 1);  // its own pings do not bring it back
  sim.heal();
  agrees_within(sim, 5s);
}

void a_third_cut_off_comes_back() {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Ready sim(seed);
    sim.cut({0, 1, 2, 3});
    sim.run(20s);
    CHECK(sim.counts().cut > 0);
    CHECK_EQ(holding(sim, 0, State::dead), 8U);
    CHECK(sim.member(0).view().names.size() == 4 && sim.member(9).view().names.size() == 8);
    sim.heal();
    agrees_within(sim, 4s);
    for (std::size_t i = 0; i < kSize; ++i) CHECK_EQ(holding(sim, i, State::alive), kSize - 1);
  }
}

// A zone of its own, with one-way trouble on top: what comes out of it is lost, too, on the way back.
void a_zone_cut_off_and_back_with_loss() {
  Ready sim(21, 24);
  std::set<std::size_t> zone;
  for (std::size_t i = 0; i < 24; i += 3) zone.insert(i);
  sim.cut(zone);
  sim.run(15s);
  CHECK(sim.counts().cut > 0);
  Link bad;
  bad.loss = 0.2;
  sim.all_links(bad);
  agrees_within(sim, 10s);
  CHECK(sim.counts().lost > 0);
}

void a_minute_of_loss_kills_nobody() {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Ready sim(seed);
    Link bad;
    bad.loss = 0.3;
    bad.doubled = 0.05;
    bad.most = 60ms;
    sim.all_links(bad);
    sim.run(60s);
    CHECK(sim.counts().lost > 1000);
    CHECK_EQ(times(sim, MemberEventKind::died), 0U);
    sim.all_links({});
    agrees_within(sim, 5s);
  }
}

// Stopped and continued, by one of twelve. Up to two seconds it is no death; after longer ones it comes back,
// and it accuses nobody for what it did not hear.
void pauses_of_one() {
  for (const Duration span : {Duration(500ms), Duration(2s), Duration(10s), Duration(60s)}) {
    std::uint64_t held = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      Ready sim(seed);
      sim.pause(4);
      sim.run(span);
      CHECK_EQ(holding(sim, 4, State::dead), span > 7s ? kSize - 1 : 0U);
      sim.resume(4);
      sim.run(2s);
      CHECK_EQ(sim.false_deaths({4}), 0U);
      for (const auto& f : sim.found())
        CHECK(f.what.kind != MemberEventKind::suspected || f.what.record.suspecting_member != "g4" ||
              f.what.record.name == "g4");
      CHECK_EQ(sim.member(4).metrics().pauses, 1U);
      agrees_within(sim, 4s);
      if (span <= 2s) CHECK_EQ(times(sim, MemberEventKind::died), 0U);
      held += sim.counts().held;
    }
    CHECK(held > 0);
  }
}

// Stopped with a doubt in hand, and the refutation waiting in its socket. Taken out, the doubt ends in a
// death as soon as it wakes up.
void a_doubt_held_through_a_pause_is_no_death() {
  for (const bool noticed : {true, false}) {
    std::size_t deaths = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Ready sim(seed, kSize,
                [&](std::size_t, membership::Settings& s) { s.refinements.pause_detection = noticed; });
      Link bad;
      bad.loss = 0.4;
      sim.all_links(bad);
      // Until it doubts somebody.
      CHECK(sim.until(60s,
                      [&] {
                        const auto all = sim.member(4).members();
                        return std::any_of(all.begin(), all.end(), [](const MemberView& m) {
                          return m.record.state == State::suspect;
                        });
                      })
                .has_value());
      sim.all_links({});
      sim.pause(4);
      sim.run(7s);
      sim.resume(4);
      sim.run(1s);
      for (const auto& f : sim.found()) deaths += f.what.kind == MemberEventKind::died && f.by == 4 ? 1 : 0;
    }
    CHECK_EQ(deaths > 0, !noticed);
  }
}

void half_of_them_stopped_at_once() {
  for (const Duration span : {Duration(2s), Duration(8s)}) {
    Ready sim(31);
    for (std::size_t i = 0; i < kSize; i += 2) sim.pause(i);
    sim.run(span);
    for (std::size_t i = 0; i < kSize; i += 2) sim.resume(i);
    agrees_within(sim, 6s);
    std::set<std::size_t> stopped;
    for (std::size_t i = 0; i < kSize; i += 2) stopped.insert(i);
    CHECK_EQ(sim.false_deaths(span > 3s ? stopped : std::set<std::size_t>{}), 0U);
    CHECK(sim.counts().held > 0);
  }
}

void a_flapping_member_harms_nobody_else() {
  Ready sim(33);
  for (int i = 0; i < 10; ++i) {
    sim.kill(9);
    sim.run(400ms);
    sim.start(9);
    sim.run(700ms);
  }
  CHECK_EQ(sim.false_deaths({9}), 0U);
  agrees_within(sim, 4s);
}

void all_restarted_a_tenth_at_a_time() {
  Ready sim(35, 40);
  for (std::size_t first = 0; first < 40; first += 4) {
    for (std::size_t i = first; i < first + 4; ++i) sim.leave(i);
    sim.run(300ms);
    for (std::size_t i = first; i < first + 4; ++i) sim.kill(i);
    sim.run(100ms);
    for (std::size_t i = first; i < first + 4; ++i) sim.start(i);
    sim.run(1s);
  }
  agrees_within(sim, 5s);
  CHECK_EQ(sim.false_deaths(), 0U);
}

// The three seeds come last.
void all_killed_and_started_with_no_seed_at_first() {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Ready sim(seed);
    for (std::size_t i = 0; i < kSize; ++i) sim.kill(i);
    for (std::size_t i = kSize; i-- > 0;) {
      sim.start(i);
      sim.run(80ms);
    }
    agrees_within(sim, 5s);
    CHECK_EQ(sim.member(7).view().names.size(), kSize);
  }
}

// A second process under a name that is taken, elsewhere. It is told and stays out, the first is told and
// goes on; when the first is gone the second takes the name.
void a_name_taken_twice() {
  FleetSim sim(kSize + 1, 41, [](std::size_t i, membership::Settings& s) {
    if (i != kSize) return;
    s.name = FleetSim::name_of(5);
    s.incarnation += 50'000;
  });
  for (std::size_t i = 0; i < kSize; ++i) sim.start(i);
  agrees_within(sim, 5s);
  sim.take_found();
  sim.start(kSize);
  sim.run(20s);
  CHECK(!sim.member(kSize).is_member());
  CHECK(sim.member(5).is_member());
  CHECK_EQ(times(sim, MemberEventKind::stood_down), 1U);
  for (const auto& f : sim.found())
    CHECK(f.by == kSize || (f.what.kind != MemberEventKind::joined && f.what.kind != MemberEventKind::died));
  sim.kill(5);
  CHECK(sim.until(20s, [&] { return sim.member(kSize).is_member() && sim.all_agree(); }).has_value());
}

void both_of_a_name_are_told() {
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
  for (const auto& f : sim.found()) {
    first = first || (f.by == 1 && f.what.kind == MemberEventKind::name_taken);
    second = second || (f.by == 3 && f.what.kind == MemberEventKind::stood_down);
  }
  CHECK(first && second);
}

// Both were members, each on its side of a cut: one of them yields, once.
void a_name_on_both_sides_of_a_cut() {
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
  CHECK_EQ(times(sim, MemberEventKind::stood_down), 1U);
  CHECK(sim.counts().cut > 0);
}

// What was recorded is played again a minute later, to all, after the member has gone: it stays gone.
void stale_datagrams_change_nothing() {
  Ready sim(51);
  std::vector<membership::Datagram> recorded;
  sim.tap = [&](std::size_t from, std::size_t, const membership::Datagram& d) {
    if (from == 5 && recorded.size() < 500) recorded.push_back(d);
  };
  sim.run(5s);
  sim.tap = {};
  CHECK(recorded.size() > 20);
  sim.kill(5);
  sim.run(60s);
  CHECK_EQ(holding(sim, 5, State::dead), kSize - 1);
  sim.take_found();
  for (const membership::Datagram& d : recorded) {
    for (std::size_t i = 0; i < kSize; ++i) {
      if (i != 5) sim.inject(i, d);
    }
  }
  sim.run(2s);
  CHECK_EQ(holding(sim, 5, State::dead), kSize - 1);
  CHECK_EQ(times(sim, MemberEventKind::joined), 0U);
  // And of one that is there: each was taken once.
  std::uint64_t dropped = 0;
  recorded.clear();
  sim.tap = [&](std::size_t from, std::size_t to, const membership::Datagram& d) {
    if (from == 6 && to == 7) recorded.push_back(d);
  };
  sim.run(3s);
  sim.tap = {};
  sim.run(100ms);
  for (const membership::Datagram& d : recorded) sim.inject(7, d);
  for (const auto why : {DropReason::duplicate, DropReason::too_old})
    dropped += sim.member(7).metrics().dropped[static_cast<std::size_t>(why)];
  CHECK(!recorded.empty() && dropped == recorded.size());
}

// A member that says of every other one that it is dead. They are asked, they answer, and nobody is lost.
void a_liar_kills_nobody() {
  Ready sim(53);
  sim.run(1s);
  const Record liar = sim.member(11).self();
  std::uint64_t number = 1'000'000;
  for (int round = 0; round < 100; ++round) {
    membership::Datagram d;
    d.from = liar;
    d.number = ++number;
    d.body = Gossip{};
    for (std::size_t i = 0; i < 8; ++i) {
      Record r = sim.member(i).self();
      r.state = State::dead;
      r.evidence = Evidence::unresponsive;
      r.suspecting_member = "g11";
      d.records.push_back(r);
    }
    for (std::size_t to = 0; to < 8; ++to) {
      d.to = FleetSim::name_of(to);
      sim.inject(to, d);
    }
    sim.run(100ms);
  }
  CHECK_EQ(sim.false_deaths({11}), 0U);  // its own numbers are spoilt by what is told in its name
  std::uint64_t turned_down = 0;
  for (std::size_t i = 0; i < kSize; ++i) turned_down += sim.member(i).metrics().deaths_disproved;
  CHECK(turned_down > 0);
}

void only_who_is_in_the_roster_joins() {
  Ready sim(55, kSize, [](std::size_t, membership::Settings& s) {
    for (std::size_t i = 0; i < kSize; ++i) s.allowed_names.insert(FleetSim::name_of(i));
  });
  membership::Datagram d;
  d.from.name = "stranger";
  d.from.address = "10.9.9.9:1";
  d.from.incarnation = d.from.start_nonce = 1;
  d.number = 1;
  d.body = Ping{1, false, false, {}};
  sim.inject(0, d);
  sim.run(3s);
  CHECK_EQ(sim.member(0).metrics().dropped[static_cast<std::size_t>(DropReason::not_allowed)], 1U);
  CHECK_EQ(sim.member(0).members().size(), kSize);
}

// A thousand strangers' datagrams a second fill no table, and nobody of the fleet is hurt.
void a_flood_of_strangers() {
  Ready sim(57);
  std::mt19937_64 random(1);
  for (int i = 0; i < 3000; ++i) {
    membership::Datagram d;
    d.from.name = "s" + std::to_string(random() % 100'000);
    d.from.address = "10.9." + std::to_string(random() % 250) + "." + std::to_string(random() % 250) + ":1";
    d.from.incarnation = d.from.start_nonce = random() >> 1;
    d.number = random();
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
  CHECK(sim.member(0).memory() < 400'000);
  CHECK_EQ(times(sim, MemberEventKind::died) + times(sim, MemberEventKind::joined), 0U);
}

// More records than one exchange holds, all unknown to one who comes: none of them is told by itself or by
// rumours any more, so only exchanges tell it, each another part, and a few of them all.
void a_newcomer_is_told_all_of_a_large_fleet() {
  constexpr std::size_t kFleet = 1000;
  const auto settings = [](std::size_t i) {
    membership::Settings s;
    s.name = FleetSim::name_of(i);
    s.advertise = FleetSim::address_of(i);
    s.incarnation = s.start_nonce = s.seed = i + 1;
    s.probe_interval = 10s;  // probes would teach it others, too
    s.gossip_fanout = 2 * kFleet;
    return s;
  };
  Time now = FleetSim::kStart;
  Effects effects;
  Membership old(settings(0));
  old.step(now, Started{}, effects);
  // One that has answered a ping tells it of the others.
  membership::Datagram d;
  d.from.name = FleetSim::name_of(1);
  d.from.address = FleetSim::address_of(1);
  d.from.incarnation = d.from.start_nonce = 2;
  d.number = 1;
  d.body = Ping{1, false, false, {}};
  effects.clear();
  old.step(now, DatagramReceived{d}, effects);
  for (const Effect& e : effects) {
    const auto* tell = std::get_if<SendDatagram>(&e);
    const auto* ping = tell == nullptr ? nullptr : std::get_if<Ping>(&tell->datagram.body);
    if (ping != nullptr) d.body = Ack{ping->token, false, {}};
  }
  CHECK(std::holds_alternative<Ack>(d.body));
  ++d.number;
  old.step(now, DatagramReceived{d}, effects);
  d.body = Gossip{};
  for (std::size_t i = 2; i < kFleet; ++i) {
    Record r;
    r.name = FleetSim::name_of(i);
    r.address = FleetSim::address_of(i);
    r.incarnation = r.start_nonce = i + 1;
    d.records = {r};
    ++d.number;
    old.step(now, DatagramReceived{d}, effects);
  }
  CHECK_EQ(old.members().size(), kFleet);
  // Until it has no rumours left.
  for (bool quiet = false; !quiet;) {
    effects.clear();
    now += kTick;
    old.step(now, Tick{}, effects);
    quiet = now - FleetSim::kStart > 300ms;
    for (const Effect& e : effects) {
      const auto* tell = std::get_if<SendDatagram>(&e);
      quiet = quiet && (tell == nullptr || tell->datagram.records.empty());
    }
  }
  membership::Settings s = settings(kFleet);
  s.seeds = {FleetSim::address_of(0)};
  Membership fresh(s);
  const Time ends = now + 8s;
  std::deque<std::pair<std::string, membership::Datagram>> passing;
  const auto step = [&](Membership& m, const membership::Event& event) {
    Effects said;
    m.step(now, event, said);
    for (Effect& e : said) {
      if (auto* tell = std::get_if<SendDatagram>(&e))
        passing.emplace_back(tell->address, std::move(tell->datagram));
    }
    while (!passing.empty()) {
      const auto [address, datagram] = std::move(passing.front());
      passing.pop_front();
      Membership* to = address == old.self().address     ? &old
                       : address == fresh.self().address ? &fresh
                                                         : nullptr;
      if (to == nullptr) continue;
      Effects more;
      to->step(now, DatagramReceived{datagram}, more);
      for (Effect& e : more) {
        if (auto* tell = std::get_if<SendDatagram>(&e))
          passing.emplace_back(tell->address, std::move(tell->datagram));
      }
    }
  };
  step(fresh, Started{});
  while (now < ends && fresh.digest() != old.digest()) {
    now += kTick;
    step(old, Tick{});
    step(fresh, Tick{});
  }
  CHECK_EQ(fresh.members().size(), kFleet + 1);
  CHECK_EQ(fresh.digest(), old.digest());
  CHECK(old.metrics().syncs <= 6);
}

// Random faults of all kinds for a while, then none: those who are up agree again, nobody who lived through
// it stays dead, and nobody who was up and reachable all along was ever found dead by such a one.
void random_faults(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const std::size_t size = 3 + random() % 12;
  FleetSim sim(size, seed);
  sim.start_all();
  std::set<std::size_t> down;
  std::set<std::size_t> stopped;
  std::set<std::size_t> touched;  // by a fault of its own
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
        sim.link(i, random() % size, l);
        cut = true;
        break;
      }
      case 5: {
        Link l;
        l.loss = 0.2;
        l.doubled = 0.1;
        l.most = 50ms;
        sim.all_links(l);
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
  sim.all_links({});
  for (const std::size_t i : stopped) sim.resume(i);
  for (const std::size_t i : down) sim.start(i);
  if (!sim.until(30s, [&] { return sim.all_agree(); })) {
    std::cerr << "seed " << seed << ": no agreement\n";
    for (std::size_t i = 0; i < size; ++i) {
      std::cerr << i << (sim.member(i).is_member() ? " member " : " none ") << sim.member(i).view().settled
                << sim.member(i).catching_up() << ' ' << sim.member(i).view().names.size() << " life "
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
  records_are_in_one_order();
  the_order_of_records_does_not_matter();
  a_number_is_taken_once();
  suspicions_shrink_with_confirmations();
  every_fate_of_the_first_datagrams(argc > 1 ? 7 : 5);
  a_killed_process_is_known_dead_everywhere();
  a_machine_that_vanishes_is_dead_after_its_suspicion();
  who_leaves_is_believed_at_once();
  an_upgrade_is_one_member_all_along();
  a_newer_life_ends_the_older_one();
  clocks_two_minutes_apart_make_no_difference();
  a_cut_one_way_is_no_death();
  one_that_hears_all_and_is_heard_by_none_judges_nobody();
  one_that_sends_but_does_not_receive_is_no_member();
  a_third_cut_off_comes_back();
  a_zone_cut_off_and_back_with_loss();
  a_minute_of_loss_kills_nobody();
  pauses_of_one();
  a_doubt_held_through_a_pause_is_no_death();
  half_of_them_stopped_at_once();
  a_flapping_member_harms_nobody_else();
  all_restarted_a_tenth_at_a_time();
  all_killed_and_started_with_no_seed_at_first();
  a_name_taken_twice();
  both_of_a_name_are_told();
  a_name_on_both_sides_of_a_cut();
  stale_datagrams_change_nothing();
  a_liar_kills_nobody();
  only_who_is_in_the_roster_joins();
  a_flood_of_strangers();
  a_newcomer_is_told_all_of_a_large_fleet();
  const std::uint64_t seeds = argc > 1 ? std::stoull(argv[1]) : 50;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) random_faults(seed);
}
