// Simulates servers in slow start behind a fleet of senders, over many seeds. Prints the worst window of all
// senders together, as a fraction of the random excess allowed over the budget (above 1 the server falls
// over), and the share of offered calls that were established. Usage: cold_bench [SEEDS]. Exits with 1 if any
// server falls over.
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>

#include "lab/cold_fleet.h"

namespace {

using namespace graniterun;
using lab::ColdFleet;

struct Case {
  std::string name;
  ColdFleet fleet;
};

std::vector<Case> cases() {
  std::vector<Case> all;
  for (const std::uint32_t senders : {1U, 6U, 20U, 30U, 300U}) {
    ColdFleet base;
    base.senders = senders;
    base.load = 0.9;
    const std::string n = std::to_string(senders);
    all.push_back({n + "_even", base});
    ColdFleet uneven = base;
    uneven.uneven = 1.2;
    all.push_back({n + "_uneven", uneven});
    ColdFleet restarted = base;
    restarted.restarted = 0.7;
    all.push_back({n + "_restarted", restarted});
    ColdFleet storm = restarted;
    storm.times = 4;
    storm.together = true;
    storm.restarted = 1.0;
    storm.load = 2.0;
    storm.warm_after = std::chrono::hours(1);
    all.push_back({n + "_restart_storm", storm});
    ColdFleet small = storm;
    small.warm_per_s = 6.0;
    small.uneven = 1.2;
    all.push_back({n + "_small_server", small});
    ColdFleet large = storm;
    large.warm_per_s = 600.0;
    all.push_back({n + "_large_server", large});
    ColdFleet idle = base;
    idle.idle_until = std::chrono::milliseconds(4000);
    all.push_back({n + "_idle_then_busy", idle});
    ColdFleet losing = base;
    losing.lost = 0.1;
    all.push_back({n + "_losing", losing});
    ColdFleet silent = base;
    silent.reports = false;
    silent.restarted = 0.7;
    silent.uneven = 1.2;
    all.push_back({n + "_no_reports", silent});
    ColdFleet hard = restarted;
    hard.uneven = 1.2;
    hard.lost = 0.1;
    hard.load = 1.5;
    hard.idle_until = std::chrono::milliseconds(4000);
    hard.warm_after = std::chrono::hours(1);  // keeps the capacity at the least that the rules allow
    all.push_back({n + "_all_at_once", hard});
  }
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 100;
  std::vector<Case> all = cases();
  struct CaseTotals {
    double worst = -1e9;
    double budget = 0.0;
    double served = 0.0;
    int over = 0;
    int played = 0;
  };
  std::vector<CaseTotals> totals(all.size());
  struct Run {
    std::size_t case_index;
    int seed;
  };
  std::vector<Run> runs;
  for (std::size_t i = all.size(); i-- > 0;) {  // the largest fleets first
    const int count = all[i].fleet.senders > 100 ? std::max(1, seeds / 20) : seeds;
    for (int seed = 1; seed <= count; ++seed) runs.push_back({i, seed});
  }
  std::atomic<std::size_t> next{0};
  std::mutex totals_mutex;
  std::vector<std::thread> threads;
  for (unsigned worker = 0; worker < std::max(1U, std::thread::hardware_concurrency()); ++worker) {
    threads.emplace_back([&] {
      for (std::size_t at = next++; at < runs.size(); at = next++) {
        ColdFleet fleet = all[runs[at].case_index].fleet;
        fleet.seed = static_cast<std::uint64_t>(runs[at].seed);
        const ColdFleet::Result result = fleet.play();
        const std::lock_guard lock(totals_mutex);
        CaseTotals& case_totals = totals[runs[at].case_index];
        case_totals.worst = std::max(case_totals.worst, result.worst);
        case_totals.budget = std::max(case_totals.budget, result.of_budget);
        case_totals.served += result.served();
        case_totals.over += result.worst > 1.0 ? 1 : 0;
        ++case_totals.played;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  int over = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    std::printf("cold_%-22s worst %6.2f of chance, %4.2f of budget, served %4.2f, falls %d of %d\n",
                all[i].name.c_str(), totals[i].worst, totals[i].budget, totals[i].served / totals[i].played,
                totals[i].over, totals[i].played);
    over += totals[i].over;
  }
  return over == 0 ? 0 : 1;
}
