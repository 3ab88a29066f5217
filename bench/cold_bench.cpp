// Cold servers and the fleet, over many seeds: the worst window that all senders together make, as a share of
// what chance allows beyond the budget (1 is a fall), and how much of the offered calls stood.
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>

#include "lab/cold_fleet.h"

namespace {

using namespace graniterun;
using lab::SlowStartFleet;

struct Case {
  std::string name;
  SlowStartFleet fleet;
};

std::vector<Case> cases() {
  std::vector<Case> all;
  for (const std::uint32_t senders : {1U, 6U, 20U, 30U, 300U}) {
    SlowStartFleet base;
    base.senders = senders;
    base.load = 0.9;
    const std::string n = std::to_string(senders);
    all.push_back({n + "_even", base});
    SlowStartFleet uneven = base;
    uneven.load_share_sigma = 1.2;
    all.push_back({n + "_uneven", uneven});
    SlowStartFleet restarted = base;
    restarted.restarting_share = 0.7;
    all.push_back({n + "_restarted", restarted});
    SlowStartFleet storm = restarted;
    storm.restarts_per_sender = 4;
    storm.simultaneous_restarts = true;
    storm.restarting_share = 1.0;
    storm.load = 2.0;
    storm.full_capacity_after = std::chrono::hours(1);
    all.push_back({n + "_restart_storm", storm});
    SlowStartFleet small = storm;
    small.full_capacity_per_s = 6.0;
    small.load_share_sigma = 1.2;
    all.push_back({n + "_small_server", small});
    SlowStartFleet large = storm;
    large.full_capacity_per_s = 600.0;
    all.push_back({n + "_large_server", large});
    SlowStartFleet idle = base;
    idle.idle_until = std::chrono::milliseconds(4000);
    all.push_back({n + "_idle_then_busy", idle});
    SlowStartFleet losing = base;
    losing.lost_answer_share = 0.1;
    all.push_back({n + "_losing", losing});
    SlowStartFleet silent = base;
    silent.server_reports_circuits = false;
    silent.restarting_share = 0.7;
    silent.load_share_sigma = 1.2;
    all.push_back({n + "_no_reports", silent});
    SlowStartFleet hard = restarted;
    hard.load_share_sigma = 1.2;
    hard.lost_answer_share = 0.1;
    hard.load = 1.5;
    hard.idle_until = std::chrono::milliseconds(4000);
    hard.full_capacity_after = std::chrono::hours(1);  // as little as the rules allow
    all.push_back({n + "_all_at_once", hard});
  }
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 100;
  std::vector<Case> all = cases();
  struct Sum {
    double worst = -1e9;
    double budget = 0.0;
    double served = 0.0;
    int over = 0;
    int played = 0;
  };
  std::vector<Sum> sums(all.size());
  struct Play {
    std::size_t which;
    int seed;
  };
  std::vector<Play> plays;
  for (std::size_t i = all.size(); i-- > 0;) {  // the largest fleets first
    const int count = all[i].fleet.senders > 100 ? std::max(1, seeds / 20) : seeds;
    for (int seed = 1; seed <= count; ++seed) plays.push_back({i, seed});
  }
  std::atomic<std::size_t> next{0};
  std::mutex adding;
  std::vector<std::thread> threads;
  for (unsigned w = 0; w < std::max(1U, std::thread::hardware_concurrency()); ++w) {
    threads.emplace_back([&] {
      for (std::size_t at = next++; at < plays.size(); at = next++) {
        SlowStartFleet fleet = all[plays[at].which].fleet;
        fleet.seed = static_cast<std::uint64_t>(plays[at].seed);
        const SlowStartFleet::Result r = fleet.run();
        const std::lock_guard lock(adding);
        Sum& sum = sums[plays[at].which];
        sum.worst = std::max(sum.worst, r.max_excess);
        sum.budget = std::max(sum.budget, r.max_budget_ratio);
        sum.served += r.served();
        sum.over += r.max_excess > 1.0 ? 1 : 0;
        ++sum.played;
      }
    });
  }
  for (std::thread& t : threads) t.join();
  int over = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    std::printf("cold_%-22s worst %6.2f of chance, %4.2f of budget, served %4.2f, falls %d of %d\n",
                all[i].name.c_str(), sums[i].worst, sums[i].budget, sums[i].served / sums[i].played,
                sums[i].over, sums[i].played);
    over += sums[i].over;
  }
  return over == 0 ? 0 : 1;
}
