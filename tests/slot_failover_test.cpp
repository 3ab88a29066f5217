// Tests of slot failover: no slot is used twice when processes end, are stopped, restart or are upgraded, or
// when clocks differ; and the slots of ended gatekeepers are used.
//
// Usage: slot_failover_test [SEEDS]
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

void slots_of_ended_gatekeepers_directly_before_are_taken_over() {
  SlotFailover failover(FleetPosition{4, 2});
  const auto refuse_probe = [&](Time now, std::uint32_t gatekeeper) {
    failover.mark_unreachable(now, gatekeeper, now - 1ms);
  };
  Time now = kStart;
  CHECK((failover.ports_to_watch(now) == std::vector<std::uint32_t>{1}));
  for (int i = 0; i < 40; ++i, now += 100ms) refuse_probe(now, 1);
  CHECK(failover.may_take_over(now, now, 1));
  CHECK(!failover.may_take_over(now, kStart + 2s, 1));  // the ended process may have ceded it
  CHECK(!failover.may_take_over(now, now, 0));          // gatekeeper 0 has not ended
  CHECK(!failover.may_take_over(now, now, 3));          // gatekeeper 0, between 3 and 2, has not ended
  CHECK((failover.ports_to_watch(now) == std::vector<std::uint32_t>{1, 0}));
  for (int i = 0; i < 40; ++i, now += 100ms) {
    refuse_probe(now, 1);
    refuse_probe(now, 0);
  }
  CHECK(failover.may_take_over(now, now, 0) && failover.taken_over(now) == 2);
  CHECK(!failover.may_take_over(now + 2s, now + 2s, 1));  // the last probe is too old
  failover.mark_alive(1);
  CHECK(!failover.may_take_over(now, now, 1) && !failover.may_take_over(now, now, 0));
  // A series of refusals with too long a gap starts again.
  refuse_probe(now, 1);
  now += 1s;
  refuse_probe(now, 1);
  now += 2s;
  refuse_probe(now, 1);
  CHECK(!failover.may_take_over(now, now, 1));
}

struct Result {
  std::size_t slots = 0;
  std::size_t used = 0;
  std::size_t taken_over = 0;  // calls that passed while the gatekeeper had taken over slots
  std::size_t used_twice = 0;
  std::size_t restarts = 0;
};

// Simulates gatekeepers that hold one port each. A process holds its port from its start, or from the
// handover of an upgrade, to its end, also while it is stopped. Each probes the ports that SlotFailover
// names.
Result simulate(std::uint64_t seed, bool with_failover) {
  std::mt19937_64 random(seed);
  constexpr std::uint32_t kSize = 4;
  struct Process {
    std::unique_ptr<SlotFailover> failover{};
    std::unique_ptr<GapRegister> gaps{};
    bool holds_port = false;
    bool stopped = false;
    Time next_probe_at{};
  };
  struct Gatekeeper {
    std::vector<std::unique_ptr<Process>> processes{};  // two during an upgrade; the first holds the port
    Duration clock_error{};
  };
  std::vector<Gatekeeper> gatekeepers(kSize);
  const Duration interval = std::chrono::milliseconds(50 + random() % 900);
  const Announcement first = gap(kStart - 1s, interval, 1);  // active by every clock
  std::optional<Announcement> second;
  Result result;
  std::multimap<Time, std::function<void(Time)>> in_flight;
  const auto local = [&](std::uint32_t i, Time t) { return t + gatekeepers[i].clock_error; };
  const auto start = [&](std::uint32_t i, Time now) {
    auto p = std::make_unique<Process>();
    p->failover = std::make_unique<SlotFailover>(FleetPosition{kSize, i});
    p->gaps = std::make_unique<GapRegister>(FleetPosition{kSize, i}, random(), local(i, now));
    if (with_failover) p->gaps->use_failover(p->failover.get());
    p->gaps->set_port_owned(local(i, now), false);
    p->gaps->announce(local(i, now), first);
    if (second) p->gaps->announce(local(i, now), *second);
    if (gatekeepers[i].processes.empty()) {
      p->holds_port = true;
      p->gaps->set_port_owned(local(i, now), true);
    }
    gatekeepers[i].processes.push_back(std::move(p));
  };
  // Ends the process that holds the port. A process that waits for the port acquires it.
  const auto end = [&](std::uint32_t i, Time now) {
    gatekeepers[i].processes.erase(gatekeepers[i].processes.begin());
    if (gatekeepers[i].processes.empty()) return;
    gatekeepers[i].processes[0]->holds_port = true;
    gatekeepers[i].processes[0]->gaps->set_port_owned(local(i, now), true);
  };
  for (std::uint32_t i = 0; i < kSize; ++i) {
    gatekeepers[i].clock_error = std::chrono::milliseconds(static_cast<std::int64_t>(random() % 400) - 200);
    start(i, kStart);
  }
  std::map<std::pair<std::uint64_t, Slot>, std::pair<std::uint32_t, Time>> used;  // by version and slot
  const Time end_at = kStart + 90s;
  for (Time now = kStart; now < end_at; now += std::chrono::microseconds(2000 + random() % 8000)) {
    while (!in_flight.empty() && in_flight.begin()->first <= now) {
      const auto act = std::move(in_flight.begin()->second);
      in_flight.erase(in_flight.begin());
      act(now);
    }
    const auto i = static_cast<std::uint32_t>(random() % kSize);
    Gatekeeper& gatekeeper = gatekeepers[i];
    switch (random() % 900) {
      case 0:
        if (!gatekeeper.processes.empty()) end(i, now);
        break;
      case 1:
      case 2:
        if (gatekeeper.processes.empty()) {
          start(i, now);
          ++result.restarts;
        }
        break;
      case 3:
        if (gatekeeper.processes.size() == 1) start(i, now);  // an upgrade starts
        break;
      case 4:
        if (gatekeeper.processes.size() == 2) {  // the old process releases the port and ends
          gatekeeper.processes[0]->gaps->set_port_owned(local(i, now), false);
          end(i, now);
        }
        break;
      case 5:
        for (auto& p : gatekeeper.processes) p->stopped = !p->stopped;
        break;
      case 6:
        if (!second && now > kStart + 30s) {
          second = gap(now, interval, 2);
          for (std::uint32_t j = 0; j < kSize; ++j) {
            for (auto& p : gatekeepers[j].processes) p->gaps->announce(local(j, now), *second);
          }
        }
        break;
      default:
        break;
    }
    // All running processes probe. An answer may be late or lost; it reflects the port at the probe's
    // arrival.
    for (std::uint32_t a = 0; a < kSize; ++a) {
      for (auto& p : gatekeepers[a].processes) {
        if (p->stopped || now < p->next_probe_at) continue;
        p->next_probe_at = now + 250ms;
        for (const std::uint32_t target : p->failover->ports_to_watch(local(a, now))) {
          if (random() % 10 == 0) continue;
          const Time arrives_at = now + std::chrono::milliseconds(random() % (random() % 20 == 0 ? 600 : 10));
          const Time answered_at = arrives_at + std::chrono::milliseconds(random() % 10);
          Process* prober = p.get();
          in_flight.emplace(arrives_at,
                            [&, a, target, prober, probe_sent_at = local(a, now), answered_at](Time) {
                              if (!gatekeepers[target].processes.empty())
                                return;  // the port is held: no refusal
                              in_flight.emplace(answered_at, [&, a, target, prober, probe_sent_at](Time t) {
                                for (auto& q : gatekeepers[a].processes) {
                                  if (q.get() == prober && !q->stopped)
                                    q->failover->mark_unreachable(local(a, t), target, probe_sent_at);
                                }
                              });
                            });
        }
      }
    }
    // A call at each running process; during an upgrade at both processes.
    for (std::uint32_t at = 0; at < kSize; ++at) {
      for (auto& p : gatekeepers[at].processes) {
        if (p->stopped || !p->gaps->check(local(at, now), "4711", "voice").passes) continue;
        const Announcement& a = second ? *second : first;
        const Slot slot = (local(at, now) - a.start) / interval;
        if (second && now - second->start < 1s)
          continue;  // the two versions overlap by the clocks' difference
        const auto [it, inserted] = used.emplace(std::pair(a.version, slot), std::pair(at, now));
        if (!inserted) {
          ++result.used_twice;
          std::cerr << "seed " << seed << ": slot " << slot << " at " << it->second.first << " and " << at
                    << ", " << std::chrono::duration<double>(now - kStart).count() << " s\n";
        }
        if (!p->failover->ports_to_watch(local(at, now)).empty() &&
            p->failover->taken_over(local(at, now)) > 0)
          ++result.taken_over;
      }
    }
  }
  result.used = used.size();
  result.slots = static_cast<std::size_t>((end_at - kStart) / interval);
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  slots_of_ended_gatekeepers_directly_before_are_taken_over();
  const std::uint64_t seeds = argc > 1 ? std::stoull(argv[1]) : 40;
  Result with;
  Result without;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Result on = simulate(seed, true);
    CHECK_EQ(on.used_twice, 0U);
    with.used += on.used;
    with.slots += on.slots;
    with.taken_over += on.taken_over;
    with.restarts += on.restarts;
    const Result off = simulate(seed, false);
    CHECK_EQ(off.used_twice, 0U);
    without.used += off.used;
  }
  CHECK(with.taken_over > 0 && with.restarts > 0);
  CHECK(with.used > without.used);  // slots of ended gatekeepers, unused without failover
  std::cout << "slots used " << with.used << " of " << with.slots << ", without failover " << without.used
            << '\n';
}
