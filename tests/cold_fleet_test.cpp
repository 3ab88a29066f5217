// A server that has just started and a whole fleet of senders: together they stay under what chance allows
// beyond the budget, whoever restarts, hears of it late, was idle, calls more than others or calls again.
// `make bench-cold` plays hundreds of seeds; these few keep what it found.
#include "lab/cold_fleet.h"

#include <gtest/gtest.h>

namespace {

using namespace graniterun;
using namespace std::chrono_literals;
using lab::ColdFleet;

struct Play {
  double worst = -1e9;
  double served = 0.0;
  std::size_t restarts = 0;
};

Play played(ColdFleet fleet, std::uint64_t seeds) {
  Play all;
  for (fleet.seed = 1; fleet.seed <= seeds; ++fleet.seed) {
    const ColdFleet::Result r = fleet.play();
    all.worst = std::max(all.worst, r.worst);
    all.served += r.served() / static_cast<double>(seeds);
    all.restarts += r.restarts;
  }
  return all;
}

class ColdFleetOf : public testing::TestWithParam<std::uint32_t> {
 protected:
  ColdFleet fleet() const {
    ColdFleet f;
    f.senders = GetParam();
    f.load = 0.9;
    return f;
  }
};

TEST_P(ColdFleetOf, StaysWithinChanceAndServes) {
  const Play p = played(fleet(), 3);
  EXPECT_LE(p.worst, 1.0);
  EXPECT_GE(p.served, GetParam() > 100 ? 0.35 : 0.6);  // refusing all would be no mend
}

TEST_P(ColdFleetOf, StaysWithinChanceWhereSevenInTenRestartAndShareUnevenly) {
  ColdFleet f = fleet();
  f.restarted = 0.7;
  f.uneven = 1.2;
  f.lost = 0.1;
  const Play p = played(f, 3);
  EXPECT_LE(p.worst, 1.0);
  EXPECT_GE(p.restarts, GetParam() > 1 ? 3U : 0U);  // or it proves nothing
}

TEST_P(ColdFleetOf, StaysWithinChanceWhereAllRestartAgainAndAgainAtAServerThatDoesNotWarm) {
  ColdFleet f = fleet();
  f.restarted = 1.0;
  f.times = 4;
  f.together = true;
  f.load = 2.0;
  f.warm_after = 1h;
  const Play p = played(f, 2);
  EXPECT_LE(p.worst, 1.0);
  EXPECT_EQ(p.restarts, 8U * GetParam());
}

TEST_P(ColdFleetOf, StaysWithinChanceWhereAllWereIdleAndCallAtOnce) {
  ColdFleet f = fleet();
  f.idle_until = 4s;
  f.load = 1.5;
  f.warm_after = 1h;
  EXPECT_LE(played(f, 3).worst, 1.0);
}

// Budgets from a few calls to some hundred, by two processes to thirty, on quiet days and on days of
// restarts.
class SmallBudgets : public testing::TestWithParam<std::tuple<double, std::uint32_t>> {};

TEST_P(SmallBudgets, StayWithinChanceOnEveryDay) {
  ColdFleet quiet;
  std::tie(quiet.warm_per_s, quiet.senders) = GetParam();
  quiet.load = 1.0;
  ColdFleet restarts = quiet;
  restarts.restarted = 0.7;
  restarts.uneven = 1.2;
  restarts.lost = 0.1;
  ColdFleet crowd = quiet;
  crowd.load = 2.0;
  crowd.warm_after = 1h;
  crowd.restarted = 0.5;
  crowd.times = 3;
  for (const ColdFleet& day : {quiet, restarts, crowd}) EXPECT_LE(played(day, 4).worst, 1.0);
}

INSTANTIATE_TEST_SUITE_P(Budgets, SmallBudgets,
                         testing::Combine(testing::Values(8.0, 15.0, 22.0, 40.0, 100.0),
                                          testing::Values(2U, 3U, 5U, 12U, 30U)));

INSTANTIATE_TEST_SUITE_P(Senders, ColdFleetOf, testing::Values(1U, 6U, 20U, 30U, 300U));

}  // namespace
