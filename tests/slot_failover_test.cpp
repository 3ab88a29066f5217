// The slots of gatekeepers that are gone: no slot is used twice, whoever dies, is stopped, comes back, takes
// over an upgrade or has a clock that is off; and those of the dead are used. Usage: heirs_test [SEEDS]
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "call_gapping/gap_register.h"
#include "check.h"

using namespace graniterun;
using namespace graniterun::test;
using namespace graniterun::call_gapping;
using namespace std::chrono_literals;

namespace {

constexpr Time kStart{1'700'000'000s};

Announcement gap(Time start, Duration interval, std::uint64_t version) {
  Announcement a;
  a.id = "g";
  a.version = version;
  a.author = "desk";
  a.created_at = a.start = start;
  a.end = start + 2h;
  a.gap.emplace();
  a.gap->criteria.numbers = {"4711"};
  a.gap->interval = interval;
  return a;
}

void an_heir_has_the_slots_of_the_gone_before_it() {
  SlotFailover heirs(Fleet{4, 2});
  const auto ask = [&](Time now, std::uint32_t who) { heirs.mark_unreachable(now, who, now - 1ms); };
  Time now = kStart;
  CHECK((heirs.ports_to_watch(now) == std::vector<std::uint32_t>{1}));
  for (int i = 0; i < 40; ++i, now += 100ms) ask(now, 1);
  CHECK(heirs.may_take_over(now, now, 1));
  CHECK(!heirs.may_take_over(now, kStart + 2s, 1));  // it may have been ceded before the end
  CHECK(!heirs.may_take_over(now, now, 0));          // that one is not gone
  CHECK(!heirs.may_take_over(now, now, 3));          // behind it there is one who is there
  CHECK((heirs.ports_to_watch(now) == std::vector<std::uint32_t>{1, 0}));
  for (int i = 0; i < 40; ++i, now += 100ms) {
    ask(now, 1);
    ask(now, 0);
  }
  CHECK(heirs.may_take_over(now, now, 0) && heirs.taken_over(now) == 2);
  CHECK(!heirs.may_take_over(now + 2s, now + 2s, 1));  // not asked for too long
  heirs.mark_alive(1);
  CHECK(!heirs.may_take_over(now, now, 1) && !heirs.may_take_over(now, now, 0));
  // A row that was broken begins anew.
  ask(now, 1);
  now += 1s;
  ask(now, 1);
  now += 2s;
  ask(now, 1);
  CHECK(!heirs.may_take_over(now, now, 1));
}

struct Played {
  std::size_t slots = 0;
  std::size_t used = 0;
  std::size_t inherited = 0;
  std::size_t twice = 0;
  std::size_t restarts = 0;
};

// Processes with ports of their own: a port is held from a process' start, or from its taking over, to its
// end, and also while it is stopped. All ask for whom they are to ask.
Played play(std::uint64_t seed, bool heirs_on) {
  std::mt19937_64 random(seed);
  constexpr std::uint32_t kSize = 4;
  struct Process {
    std::unique_ptr<SlotFailover> heirs{};
    std::unique_ptr<GapRegister> gaps{};
    bool holds = false;
    bool stopped = false;
    Time asks{};
  };
  struct Place {
    std::vector<std::unique_ptr<Process>> processes{};  // two during an upgrade; the first holds the port
    Duration clock{};
  };
  std::vector<Place> places(kSize);
  const Duration interval = std::chrono::milliseconds(50 + random() % 900);
  const Announcement first = gap(kStart - 1s, interval, 1);  // in force for every clock
  std::optional<Announcement> second;
  Played played;
  std::multimap<Time, std::function<void(Time)>> under_way;
  const auto local = [&](std::uint32_t i, Time t) { return t + places[i].clock; };
  const auto start = [&](std::uint32_t i, Time now) {
    auto p = std::make_unique<Process>();
    p->heirs = std::make_unique<SlotFailover>(Fleet{kSize, i});
    p->gaps = std::make_unique<GapRegister>(Fleet{kSize, i}, random(), local(i, now));
    if (heirs_on) p->gaps->use_failover(p->heirs.get());
    p->gaps->set_place_owned(local(i, now), false);
    p->gaps->announce(local(i, now), first);
    if (second) p->gaps->announce(local(i, now), *second);
    if (places[i].processes.empty()) {
      p->holds = true;
      p->gaps->set_place_owned(local(i, now), true);
    }
    places[i].processes.push_back(std::move(p));
  };
  // Ends the one that holds the port; one that waits for it takes it.
  const auto end = [&](std::uint32_t i, Time now) {
    places[i].processes.erase(places[i].processes.begin());
    if (places[i].processes.empty()) return;
    places[i].processes[0]->holds = true;
    places[i].processes[0]->gaps->set_place_owned(local(i, now), true);
  };
  for (std::uint32_t i = 0; i < kSize; ++i) {
    places[i].clock = std::chrono::milliseconds(static_cast<std::int64_t>(random() % 400) - 200);
    start(i, kStart);
  }
  std::map<std::pair<std::uint64_t, Slot>, std::pair<std::uint32_t, Time>> used;  // by version and slot
  const Time over = kStart + 90s;
  for (Time now = kStart; now < over; now += std::chrono::microseconds(2000 + random() % 8000)) {
    while (!under_way.empty() && under_way.begin()->first <= now) {
      const auto act = std::move(under_way.begin()->second);
      under_way.erase(under_way.begin());
      act(now);
    }
    const auto i = static_cast<std::uint32_t>(random() % kSize);
    Place& place = places[i];
    switch (random() % 900) {
      case 0:
        if (!place.processes.empty()) end(i, now);
        break;
      case 1:
      case 2:
        if (place.processes.empty()) {
          start(i, now);
          ++played.restarts;
        }
        break;
      case 3:
        if (place.processes.size() == 1) start(i, now);  // an upgrade
        break;
      case 4:
        if (place.processes.size() == 2) {  // the old one lets go of the port, and ends later
          place.processes[0]->gaps->set_place_owned(local(i, now), false);
          end(i, now);
        }
        break;
      case 5:
        for (auto& p : place.processes) p->stopped = !p->stopped;
        break;
      case 6:
        if (!second && now > kStart + 30s) {
          second = gap(now, interval, 2);
          for (std::uint32_t j = 0; j < kSize; ++j) {
            for (auto& p : places[j].processes) p->gaps->announce(local(j, now), *second);
          }
        }
        break;
      default:
        break;
    }
    // Asking, of all who run; an answer may be late or lost, and comes from the port as it is on the way.
    for (std::uint32_t a = 0; a < kSize; ++a) {
      for (auto& p : places[a].processes) {
        if (p->stopped || now < p->asks) continue;
        p->asks = now + 250ms;
        for (const std::uint32_t who : p->heirs->ports_to_watch(local(a, now))) {
          if (random() % 10 == 0) continue;
          const Time reaches = now + std::chrono::milliseconds(random() % (random() % 20 == 0 ? 600 : 10));
          const Time answers = reaches + std::chrono::milliseconds(random() % 10);
          Process* asker = p.get();
          under_way.emplace(reaches, [&, a, who, asker, asked = local(a, now), answers](Time) {
            if (!places[who].processes.empty()) return;  // held: no refusal
            under_way.emplace(answers, [&, a, who, asker, asked](Time t) {
              for (auto& q : places[a].processes) {
                if (q.get() == asker && !q->stopped) q->heirs->mark_unreachable(local(a, t), who, asked);
              }
            });
          });
        }
      }
    }
    // A call at each place that runs; during an upgrade at both processes.
    for (std::uint32_t at = 0; at < kSize; ++at) {
      for (auto& p : places[at].processes) {
        if (p->stopped || !p->gaps->check(local(at, now), "4711", "voice").passes) continue;
        const Announcement& a = second ? *second : first;
        const Slot slot = (local(at, now) - a.start) / interval;
        if (second && now - second->start < 1s)
          continue;  // the two versions overlap by the clocks' difference
        const auto [it, fresh] = used.emplace(std::pair(a.version, slot), std::pair(at, now));
        if (!fresh) {
          ++played.twice;
          std::cerr << "seed " << seed << ": slot " << slot << " at " << it->second.first << " and " << at
                    << ", " << std::chrono::duration<double>(now - kStart).count() << " s\n";
        }
        if (!p->heirs->ports_to_watch(local(at, now)).empty() && p->heirs->taken_over(local(at, now)) > 0)
          ++played.inherited;
      }
    }
  }
  played.used = used.size();
  played.slots = static_cast<std::size_t>((over - kStart) / interval);
  return played;
}

}  // namespace

int main(int argc, char** argv) {
  an_heir_has_the_slots_of_the_gone_before_it();
  const std::uint64_t seeds = argc > 1 ? std::stoull(argv[1]) : 40;
  Played with;
  Played without;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Played on = play(seed, true);
    CHECK_EQ(on.twice, 0U);
    with.used += on.used;
    with.slots += on.slots;
    with.inherited += on.inherited;
    with.restarts += on.restarts;
    const Played off = play(seed, false);
    CHECK_EQ(off.twice, 0U);
    without.used += off.used;
  }
  CHECK(with.inherited > 0 && with.restarts > 0);
  CHECK(with.used > without.used);  // what the dead would have left unused
  std::cout << "slots used " << with.used << " of " << with.slots << ", without heirs " << without.used
            << '\n';
}
