// Guards against a fleet that overloads a server during its slow start: the setups of all senders together
// stay within the budget plus a random tolerance, while senders restart once or repeatedly, are notified
// late, were idle or carry uneven load. `make bench-cold` runs hundreds of seeds; these tests keep the cases
// that it found.
#include "lab/cold_fleet.h"

#include <gtest/gtest.h>

namespace {

using namespace graniterun;
using namespace std::chrono_literals;
using lab::ColdFleet;

struct RunSummary {
  double worst = -1e9;
  double served = 0.0;
  std::size_t restarts = 0;
};

RunSummary run_seeds(ColdFleet fleet, std::uint64_t seeds) {
  RunSummary summary;
  for (fleet.seed = 1; fleet.seed <= seeds; ++fleet.seed) {
    const ColdFleet::Result r = fleet.play();
    summary.worst = std::max(summary.worst, r.worst);
    summary.served += r.served() / static_cast<double>(seeds);
    summary.restarts += r.restarts;
  }
  return summary;
}

class ColdFleetBySenders : public testing::TestWithParam<std::uint32_t> {
 protected:
  ColdFleet fleet() const {
    ColdFleet f;
    f.senders = GetParam();
    f.load = 0.9;
    return f;
  }
};

TEST_P(ColdFleetBySenders, StaysWithinBudgetAndServesCalls) {
  const RunSummary summary = run_seeds(fleet(), 3);
  EXPECT_LE(summary.worst, 1.0);
  EXPECT_GE(summary.served, GetParam() > 100 ? 0.35 : 0.6);  // rejecting every call would keep the bound too
}

TEST_P(ColdFleetBySenders, StaysWithinBudgetWhenSeventyPercentRestartUnderUnevenLoad) {
  ColdFleet f = fleet();
  f.restarted = 0.7;
  f.uneven = 1.2;
  f.lost = 0.1;
  const RunSummary summary = run_seeds(f, 3);
  EXPECT_LE(summary.worst, 1.0);
  EXPECT_GE(summary.restarts, GetParam() > 1 ? 3U : 0U);  // otherwise the test has not covered a restart
}

TEST_P(ColdFleetBySenders, StaysWithinBudgetWhenAllRestartRepeatedlyAndServerStaysCold) {
  ColdFleet f = fleet();
  f.restarted = 1.0;
  f.times = 4;
  f.together = true;
  f.load = 2.0;
  f.warm_after = 1h;
  const RunSummary summary = run_seeds(f, 2);
  EXPECT_LE(summary.worst, 1.0);
  EXPECT_EQ(summary.restarts, 8U * GetParam());
}

TEST_P(ColdFleetBySenders, StaysWithinBudgetWhenIdleSendersCallAtOnce) {
  ColdFleet f = fleet();
  f.idle_until = 4s;
  f.load = 1.5;
  f.warm_after = 1h;
  EXPECT_LE(run_seeds(f, 3).worst, 1.0);
}

// Budgets from a few calls to some hundred, with 2 to 30 senders: without restarts, with restarts, and with
// overload at a server that does not warm up.
class ColdFleetByBudget : public testing::TestWithParam<std::tuple<double, std::uint32_t>> {};

TEST_P(ColdFleetByBudget, StaysWithinBudgetInEveryScenario) {
  ColdFleet no_restarts;
  std::tie(no_restarts.warm_per_s, no_restarts.senders) = GetParam();
  no_restarts.load = 1.0;
  ColdFleet with_restarts = no_restarts;
  with_restarts.restarted = 0.7;
  with_restarts.uneven = 1.2;
  with_restarts.lost = 0.1;
  ColdFleet overload = no_restarts;
  overload.load = 2.0;
  overload.warm_after = 1h;
  overload.restarted = 0.5;
  overload.times = 3;
  for (const ColdFleet& scenario : {no_restarts, with_restarts, overload})
    EXPECT_LE(run_seeds(scenario, 4).worst, 1.0);
}

INSTANTIATE_TEST_SUITE_P(Budgets, ColdFleetByBudget,
                         testing::Combine(testing::Values(8.0, 15.0, 22.0, 40.0, 100.0),
                                          testing::Values(2U, 3U, 5U, 12U, 30U)));

INSTANTIATE_TEST_SUITE_P(Senders, ColdFleetBySenders, testing::Values(1U, 6U, 20U, 30U, 300U));

}  // namespace
