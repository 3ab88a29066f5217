// Measures simulated membership of 10 to 1,000 members: time until joins, deaths and leaves are known
// everywhere, the cost per member, and false deaths under faults. Compares with all-to-all heartbeats, and
// with each refinement of the protocol disabled in turn. Exits with 1 if a limit is missed.
//
// Usage: fleet_sim_bench [SEEDS]
//        fleet_sim_bench --quiet [--seed=N] [--met] [SIZE...]   cost per member while nothing changes
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <vector>

#include "fleet/datagram.h"
#include "lab/fleet_sim.h"

using namespace graniterun;
using namespace graniterun::membership;
using namespace std::chrono_literals;
using lab::FleetSim;
using lab::Link;

namespace {

bool passed = true;

void print_figure(const std::string& name, double value, const char* unit, bool within_limit = true) {
  std::printf("%s %.2f %s%s\n", name.c_str(), value, unit, within_limit ? "" : " SHORT");
  std::fflush(stdout);
  passed = passed && within_limit;
}

double ms(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }
double cpu_s() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }
double percentile(std::vector<double> v, double fraction) {
  if (v.empty()) return -1.0;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(v.size())))];
}

// Encoded size of a datagram, with its authentication tag and the frame of its array.
std::size_t bytes_on_wire(const membership::Datagram& datagram) {
  static const fleet::Key key{};
  return fleet::encode(datagram, "trail", key).size();
}

// Time until every running member but `of` has observed the event; none if not all did within `timeout`.
std::optional<Duration> known_everywhere(FleetSim& sim, std::size_t of, MemberEventKind kind,
                                         Duration timeout) {
  const std::string name = FleetSim::name_of(of);
  std::set<std::size_t> by;
  std::size_t next_event = sim.found().size();
  std::size_t observers = 0;
  for (std::size_t i = 0; i < sim.size(); ++i) observers += i != of && sim.up(i) ? 1 : 0;
  return sim.until(timeout, [&] {
    for (; next_event < sim.found().size(); ++next_event) {
      const auto& f = sim.found()[next_event];
      if (f.what.kind == kind && f.what.record.name == name && f.by != of) by.insert(f.by);
    }
    return by.size() >= observers;
  });
}

// Starts all members, in fleets over 100 in steps of ten as an operator's tool would. Returns the time from
// the last start until all agree; none if they do not within 30 s.
std::optional<Duration> start_fleet(FleetSim& sim) {
  for (std::size_t i = 0; i < sim.size(); ++i) {
    sim.start(i);
    if (sim.size() > 100 && i % 10 == 9) sim.run(20ms);
  }
  return sim.until(30s, [&, next = Time{}]() mutable {
    if (sim.now() < next) return false;
    next = sim.now() + 100ms;
    return sim.all_agree();
  });
}

// Prints datagrams and processor time per member and second over `span`, then bytes over a fifth of it.
void quiet_figures(FleetSim& sim, const std::string& kind, Duration span) {
  const std::string at = kind + "_at_" + std::to_string(sim.size());
  const double member_seconds = std::chrono::duration<double>(span).count() * static_cast<double>(sim.size());
  const auto sent = sim.counts().sent;
  const double cpu = cpu_s();
  sim.run(span);
  const double spent = cpu_s() - cpu;
  const double datagrams = static_cast<double>(sim.counts().sent - sent) / member_seconds;
  // Encodes one datagram in 16, after the timed span: the encoder's time does not belong to the membership.
  const auto counts = sim.counts();
  std::uint64_t seen = 0;
  std::uint64_t sampled = 0;
  sim.size_of = [&](const membership::Datagram& datagram) -> std::size_t {
    if (++seen % 16 != 0) return 0;
    ++sampled;
    return bytes_on_wire(datagram);
  };
  sim.run(span / 5);
  sim.size_of = {};
  const double each = static_cast<double>(sim.counts().bytes - counts.bytes) /
                      static_cast<double>(std::max<std::uint64_t>(1, sampled));
  print_figure("datagrams" + at, datagrams, "a_second");
  print_figure("bytes" + at, datagrams * each, "a_second", datagrams * each < 10'000);
  print_figure("cpu" + at, spent * 1e6 / member_seconds, "us_a_second");
}

// Measures the cost per member while nothing changes: soon after the start, when many members have not
// exchanged a message yet and each first message is verified by a ping, and, with `met`, after all have met.
void quiet_at_size(std::size_t size, std::uint64_t seed, bool met) {
  const std::string at = "_at_" + std::to_string(size);
  FleetSim sim(size, seed);
  const auto settled = start_fleet(sim);
  if (settled) {
    print_figure("settled_after_start" + at, ms(*settled), "ms");
  } else {
    print_figure("not_settled" + at, 1.0, "runs", false);
  }
  // Members that already agree still pass on the last broadcast entries of the start for a while.
  const Time began = sim.now();
  std::uint64_t records_sent = 1;
  sim.tap = [&](std::size_t, std::size_t, const membership::Datagram& datagram) {
    records_sent += datagram.records.size();
  };
  while (records_sent > 0 && sim.now() - began < 30s) {
    records_sent = 0;
    sim.run(500ms);
  }
  sim.tap = {};
  print_figure("rumours_told_after_settled" + at, ms(sim.now() - began), "ms", records_sent == 0);
  quiet_figures(sim, "_quiet", size > 300 ? 5s : 10s);
  if (met) {
    // Long enough for each member to have probed every other.
    sim.run(size * 250ms);
    quiet_figures(sim, "_met", size > 300 ? 5s : 10s);
  }
  print_figure("memory" + at, static_cast<double>(sim.member(0).memory()) / 1024.0, "KiB");
}

void at_size(std::size_t size, std::uint64_t seed) {
  const std::string at = "_at_" + std::to_string(size);
  FleetSim sim(size, seed);
  const auto agreed = start_fleet(sim);
  print_figure("all_agree_after_start" + at, ms(agreed.value_or(30s)), "ms", agreed.has_value());
  // Cost while nothing changes.
  const auto counts = sim.counts();
  const double cpu = cpu_s();
  std::size_t sampled = 0;
  std::size_t sampled_bytes = 0;
  std::uint64_t seen = 0;
  sim.size_of = [&](const membership::Datagram& datagram) -> std::size_t {
    if (++seen % 64 == 0) {
      ++sampled;
      sampled_bytes += bytes_on_wire(datagram);
    }
    return 0;
  };
  const Duration quiet = size > 300 ? 5s : 20s;
  sim.run(quiet);
  sim.size_of = {};
  const double spent = cpu_s() - cpu;
  const double member_seconds = std::chrono::duration<double>(quiet).count() * static_cast<double>(size);
  const double datagrams = static_cast<double>(sim.counts().sent - counts.sent) / member_seconds;
  const double each = sampled == 0 ? 0.0 : static_cast<double>(sampled_bytes) / static_cast<double>(sampled);
  print_figure("datagrams_quiet" + at, datagrams, "a_second");
  print_figure("bytes_quiet" + at, datagrams * each, "a_second", datagrams * each < 10'000);
  print_figure("cpu_quiet" + at, spent * 1e6 / member_seconds, "us_a_second");
  print_figure("memory" + at, static_cast<double>(sim.member(0).memory()) / 1024.0, "KiB");

  std::vector<double> killed;
  std::vector<double> vanished;
  std::vector<double> left;
  std::vector<double> joined;
  const int rounds = size >= 1000 ? 2 : size >= 300 ? 4 : 12;
  const auto before = sim.counts();
  const Time changes_began = sim.now();
  std::uint64_t bytes = 0;
  sim.size_of = [&](const membership::Datagram& datagram) -> std::size_t {
    if (++seen % 64 == 0) bytes += 64 * bytes_on_wire(datagram);
    return 0;
  };
  for (int round = 0; round < rounds; ++round) {
    const std::size_t i = 3 + (static_cast<std::size_t>(round) * 7) % (size - 3);
    sim.kill(i);
    if (const auto t = known_everywhere(sim, i, MemberEventKind::died, 5s)) killed.push_back(ms(*t));
    sim.run(500ms);
    sim.start(i);
    if (const auto t = known_everywhere(sim, i, MemberEventKind::joined, 5s)) joined.push_back(ms(*t));
    sim.run(1s);
    sim.leave(i);
    if (const auto t = known_everywhere(sim, i, MemberEventKind::left, 5s)) left.push_back(ms(*t));
    sim.kill(i);
    sim.run(500ms);
    sim.start(i);
    sim.run(2s);
  }
  for (int round = 0; round < std::min(rounds, 4); ++round) {
    const std::size_t i = 3 + (static_cast<std::size_t>(round) * 11) % (size - 3);
    sim.kill(i, true);
    if (const auto t = known_everywhere(sim, i, MemberEventKind::died, 20s)) vanished.push_back(ms(*t));
    sim.start(i);
    sim.run(2s);
  }
  const double changing =
      std::chrono::duration<double>(sim.now() - changes_began).count() * static_cast<double>(size);
  sim.size_of = {};
  const auto all = static_cast<std::size_t>(rounds);
  print_figure("killed_known_median" + at, percentile(killed, 0.5), "ms");
  print_figure("killed_known_p99" + at, percentile(killed, 0.99), "ms",
               killed.size() == all && percentile(killed, 0.99) < 1500);
  print_figure("vanished_known_median" + at, percentile(vanished, 0.5), "ms");
  print_figure("vanished_known_p99" + at, percentile(vanished, 0.99), "ms",
               vanished.size() == static_cast<std::size_t>(std::min(rounds, 4)));
  print_figure("left_known_p99" + at, percentile(left, 0.99), "ms", left.size() == all);
  print_figure("joined_known_p99" + at, percentile(joined, 0.99), "ms", joined.size() == all);
  print_figure("datagrams_changing" + at, static_cast<double>(sim.counts().sent - before.sent) / changing,
               "a_second");
  print_figure("bytes_changing" + at, static_cast<double>(bytes) / changing, "a_second",
               static_cast<double>(bytes) / changing < 10'000);

  // Partitions a third of the members until each side considers the other dead, then heals the partition.
  if (size > 300) return;
  std::set<std::size_t> side;
  for (std::size_t i = 0; i < size; i += 3) side.insert(i);
  sim.cut(side);
  sim.run(15s);
  sim.heal();
  const auto healed = sim.until(20s, [&, next = Time{}]() mutable {
    if (sim.now() < next) return false;
    next = sim.now() + 50ms;
    return sim.all_agree();
  });
  print_figure("agree_after_heal" + at, healed ? ms(*healed) : -1.0, "ms",
               healed && (size > 12 || *healed < 2s));
}

// ---- bad weather: stops of up to 2 s, a fifth of all datagrams lost, one-way cuts; no member really fails.

struct FaultResults {
  std::size_t false_deaths = 0;
  std::size_t suspicions = 0;
  std::uint64_t stops = 0;
  std::uint64_t cuts = 0;
  std::uint64_t lost = 0;
  double detection_ms = 0.0;  // of a member killed under these faults
};

// A fault of the schedule, which depends only on the seed and is the same for every protocol under test.
struct Fault {
  Duration at{};
  std::size_t a{};
  std::size_t b{};
  Duration lasts{};
  bool stop = false;  // a is stopped; else nothing passes from a to b
};
std::vector<Fault> fault_schedule(std::size_t size, std::uint64_t seed, Duration span) {
  std::mt19937_64 random(seed);
  std::vector<Fault> all;
  for (Duration at = 1s; at < span; at += std::chrono::milliseconds(500 + random() % 2500)) {
    const std::size_t a = random() % size;
    const std::size_t b = (a + 1 + random() % (size - 1)) % size;
    const bool stop = random() % 3 != 0;
    all.push_back(
        {at, a, b, std::chrono::milliseconds(stop ? 200 + random() % 1800 : 2000 + random() % 10'000), stop});
  }
  return all;
}

FaultResults run_under_faults(const Refinements& refinements, std::uint64_t seed, Duration span,
                              std::size_t size = 12) {
  FleetSim sim(size, seed,
               [&](std::size_t, membership::Settings& settings) { settings.refinements = refinements; });
  sim.start_all();
  sim.run(5s);
  sim.take_found();
  Link bad;
  bad.loss = 0.2;
  bad.most = 10ms;
  sim.all_links(bad);
  FaultResults results;
  const Time began = sim.now();
  std::map<Time, std::vector<std::function<void()>>> ends;
  std::set<std::size_t> stopped;
  const auto run_until = [&](Time until) {
    while (!ends.empty() && ends.begin()->first <= until) {
      sim.run(std::max(Duration{}, ends.begin()->first - sim.now()));
      for (const auto& act : ends.begin()->second) act();
      ends.erase(ends.begin());
    }
    sim.run(std::max(Duration{}, until - sim.now()));
  };
  for (const Fault& f : fault_schedule(size, seed, span)) {
    run_until(began + f.at);
    if (f.stop) {
      if (!stopped.insert(f.a).second) continue;
      sim.pause(f.a);
      ++results.stops;
      ends[sim.now() + f.lasts].push_back([&sim, &stopped, a = f.a] {
        sim.resume(a);
        stopped.erase(a);
      });
    } else {
      Link cut = bad;
      cut.cut = true;
      sim.link(f.a, f.b, cut);
      ++results.cuts;
      ends[sim.now() + f.lasts].push_back([&sim, bad, a = f.a, b = f.b] { sim.link(a, b, bad); });
    }
  }
  run_until(began + span + 15s);
  results.false_deaths = sim.false_deaths();
  for (const auto& f : sim.found()) results.suspicions += f.what.kind == MemberEventKind::suspected ? 1 : 0;
  results.lost = sim.counts().lost;
  sim.kill(4);
  const auto known = known_everywhere(sim, 4, MemberEventKind::died, 30s);
  results.detection_ms = known ? ms(*known) : -1.0;
  return results;
}

// Baseline under the same faults: each member sends a heartbeat to all others every 250 ms, and a member not
// heard from for `dead_after` is declared dead. There is no suspicion, refutation or pause detection.
FaultResults heartbeats(std::uint64_t seed, Duration span, Duration dead_after, std::size_t size = 12) {
  std::mt19937_64 random(seed);
  const auto faults = fault_schedule(size, seed, span);
  std::vector<std::vector<Duration>> last_heartbeat_at(size, std::vector<Duration>(size, Duration{}));
  std::vector<std::vector<bool>> dead(size, std::vector<bool>(size, false));
  FaultResults results;
  const auto is_active = [&](std::size_t a, std::size_t b, Duration at, bool stop) {
    return std::any_of(faults.begin(), faults.end(), [&](const Fault& f) {
      return f.stop == stop && f.a == a && (stop || f.b == b) && f.at <= at && at < f.at + f.lasts;
    });
  };
  for (Duration at{}; at < span + 15s; at += 250ms) {
    for (std::size_t a = 0; a < size; ++a) {
      if (is_active(a, 0, at, true)) continue;
      for (std::size_t b = 0; b < size; ++b) {
        if (a == b) continue;
        const bool lost = random() % 5 == 0;
        // Datagrams to a stopped member wait in its socket.
        if (!lost && !is_active(a, b, at, false)) last_heartbeat_at[b][a] = at;
      }
    }
    for (std::size_t a = 0; a < size; ++a) {
      if (is_active(a, 0, at, true)) continue;
      for (std::size_t b = 0; b < size; ++b) {
        if (a == b) continue;
        const bool expired = at - last_heartbeat_at[a][b] > dead_after;
        results.false_deaths += expired && !dead[a][b] ? 1 : 0;
        dead[a][b] = expired;
      }
    }
  }
  results.detection_ms = ms(dead_after) + 250.0;
  return results;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && std::string(argv[1]) == "--quiet") {
    std::uint64_t seed = 7;
    bool all_met = false;
    std::vector<std::size_t> sizes;
    for (int i = 2; i < argc; ++i) {
      const std::string arg = argv[i];
      if (arg == "--met") {
        all_met = true;
      } else if (arg.starts_with("--seed=")) {
        seed = std::stoull(arg.substr(7));
      } else {
        sizes.push_back(std::stoull(arg));
      }
    }
    if (sizes.empty()) sizes = {30, 100, 300, 1000};
    // With 1,000 members it takes minutes until all have met.
    for (const std::size_t size : sizes) quiet_at_size(size, seed, all_met || size <= 300);
    return passed ? 0 : 1;
  }
  const std::uint64_t seeds = argc > 1 ? std::stoull(argv[1]) : 1;
  const double began = cpu_s();
  for (const std::size_t size : {10, 100, 300, 1000}) at_size(size, 7);
  std::printf("# sizes took %.1f s\n", cpu_s() - began);

  constexpr Duration kSpan = 5min;
  const auto measure_under_faults = [&](const std::string& name, const Refinements& r, bool all_refinements) {
    FaultResults sum;
    std::vector<double> detection;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const FaultResults results = run_under_faults(r, seed, kSpan);
      sum.false_deaths += results.false_deaths;
      sum.suspicions += results.suspicions;
      sum.stops += results.stops;
      sum.cuts += results.cuts;
      sum.lost += results.lost;
      detection.push_back(results.detection_ms);
    }
    print_figure("false_deaths_" + name, static_cast<double>(sum.false_deaths), "deaths",
                 !all_refinements || sum.false_deaths == 0);
    print_figure("suspicions_" + name, static_cast<double>(sum.suspicions), "suspicions");
    print_figure("killed_known_" + name, percentile(detection, 0.5), "ms");
    if (all_refinements) {
      print_figure("stops_in_bad_weather", static_cast<double>(sum.stops), "stops", sum.stops > 0);
      print_figure("cuts_in_bad_weather", static_cast<double>(sum.cuts), "cuts", sum.cuts > 0);
      print_figure("lost_in_bad_weather", static_cast<double>(sum.lost), "datagrams", sum.lost > 0);
    }
  };
  measure_under_faults("with_all", {}, true);
  const std::pair<const char*, bool Refinements::*> kRefinements[] = {
      {"indirect", &Refinements::indirect_probing},
      {"local_health", &Refinements::local_health},
      {"shrinking", &Refinements::shrinking_suspicion},
      {"told_at_once", &Refinements::notify_suspect_at_once},
      {"refusals", &Refinements::unreachable_ports},
      {"pauses", &Refinements::pause_detection},
      {"checks", &Refinements::verify_reported_deaths},
      {"anti_entropy", &Refinements::anti_entropy}};
  for (const auto& [name, member] : kRefinements) {
    Refinements r;
    r.*member = false;
    measure_under_faults(std::string("without_") + name, r, false);
  }
  for (const Duration dead_after : {Duration(1s), Duration(2s), Duration(4s)}) {
    FaultResults sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
      sum.false_deaths += heartbeats(seed, kSpan, dead_after).false_deaths;
    const std::string name = "heartbeats_" + std::to_string(static_cast<int>(ms(dead_after))) + "ms";
    print_figure("false_deaths_" + name, static_cast<double>(sum.false_deaths), "deaths");
    print_figure("killed_known_" + name, ms(dead_after) + 250.0, "ms");
  }
  return passed ? 0 : 1;
}
