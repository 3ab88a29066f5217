// The module's decisions, one small test for each, driven by scripted events.
#include "graniterun/controller.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <utility>

#include "harness.h"

namespace graniterun::test {
namespace {

Settings once_only() {  // a call that may have run is not sent again
  Settings settings = settings_with();
  settings.classes[0].idempotency = Idempotency::non_idempotent;
  return settings;
}

TEST(Pick, TakesTheDestinationWhileItIsFreeAndUnthrottled) {
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1), entry(2)});
  for (unsigned i = 0; i < 20; ++i) {
    const auto set_up = first<SendSetup>(script.call(i * 1ms, i, i % 3));
    ASSERT_TRUE(set_up);
    EXPECT_EQ(set_up->server, ServerId{i % 3});
  }
}

TEST(Pick, LeavesADestinationThatIsToldToHaveNoFreeLine) {
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  LoadReport full;
  full.free_circuits = 0.0;
  script.tell(0s, ServerReport{ServerId{0}, full});
  // Of the two, the one with fewer own unanswered set-ups is taken: server 1 first, at the latest after a
  // tie.
  int elsewhere = 0;
  for (unsigned i = 0; i < 20; ++i) {
    if (first<SendSetup>(script.call(i * 1ms, i, 0))->server == ServerId{1}) ++elsewhere;
  }
  EXPECT_GE(elsewhere, 8);
}

TEST(Pick, KeepsToThePoolsOpenToTheClass) {
  Settings settings = settings_with();
  settings.classes[0].open_pools = {Pool{1}};
  Script script(settings);
  script.list(0s, {entry(0), entry(1)});
  EXPECT_EQ(first<SendSetup>(script.call(0s, 1, 0))->server, ServerId{1});
}

TEST(Answer, RefusesWithoutAnyServer) {
  Script script(settings_with());
  const auto refused = first<Reject>(script.call(0s, 1));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->retry_after, settings_with().max_retry_after);  // callers once dialled again at once
}

TEST(Answer, RefusesCallsInTransitAndMeshedLayouts) {
  NewCall transit;
  transit.call = CallId{9};
  transit.in_transit = true;
  transit.deadline = at(3s);
  Script groups(settings_with());
  groups.list(0s, {entry(0)});
  EXPECT_TRUE(has<Reject>(groups.tell(0s, transit)));

  Settings settings = settings_with();
  settings.layout = Layout::meshed;
  Script meshed(settings);
  meshed.list(0s, {entry(0)});
  EXPECT_TRUE(has<Reject>(meshed.call(0s, 1)));
}

TEST(Answer, FailsACallToABusyNumberAtOnce) {
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  script.call(0s, 1);
  const auto actions = script.ends(50ms, 1, 0, Outcome::busy_or_fault, 0, false, FullReason::number_busy);
  EXPECT_TRUE(has<Fail>(actions));
  EXPECT_FALSE(has<SendSetup>(actions));
}

TEST(Drain, SendsNothingToAServerThatDrainsOrIsGoneOrIsMissingFromAWholeList) {
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  script.list(1s, {entry(0, ServerState::terminating)}, ListKind::changes);
  EXPECT_EQ(first<SendSetup>(script.call(1s, 1, 0))->server, ServerId{1});
  script.stands(1040ms, 1, 1, 40ms);
  script.list(2s, {entry(0, ServerState::terminated)}, ListKind::changes);
  EXPECT_EQ(first<SendSetup>(script.call(2s, 2, 0))->server, ServerId{1});
  script.stands(2040ms, 2, 1, 40ms);
  script.list(3s, {entry(0)});
  EXPECT_EQ(first<SendSetup>(script.call(3s, 3, 1))->server, ServerId{0});
}

TEST(List, ForgetsServersThatAreGoneAndTakesTheirLateOutcomes) {  // replaced machines have new ids for ever
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  script.call(0s, 1, 0);
  script.list(1s, {entry(0, ServerState::terminated)}, ListKind::changes);
  script.tell(1s, ServerReport{ServerId{0}, LoadReport{}});
  const auto held = first<SetTimer>(script.ends(1100ms, 1, 0, Outcome::reset));
  ASSERT_TRUE(held);
  const auto again = first<SendSetup>(script.tell(1100ms + held->delay, TimerDue{held->timer}));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->server, ServerId{1});
}

TEST(List, KeepsTheOldListWhenARequestForItWasRefused) {
  Script script(settings_with());
  script.list(0s, {entry(0)});
  script.list(1s, {}, ListKind::rejected);
  EXPECT_TRUE(has<SendSetup>(script.call(1s, 1)));
}

TEST(List, IsFollowedWhereItComesOnlyOnRequestAndAskedForAgainAfterARefusal) {
  Settings settings = settings_with();
  settings.discovery = Discovery::on_request;
  Script script(settings);
  EXPECT_TRUE(has<FollowList>(script.tell(0s, ServerList{ListKind::cached, {entry(0)}})));
  const auto timer = first<SetTimer>(script.tell(1s, ServerList{ListKind::rejected, {}}));
  ASSERT_TRUE(timer);
  EXPECT_TRUE(has<FollowList>(script.tell(1s + timer->delay, TimerDue{timer->timer})));
}

TEST(Release, IsAwaitedBeforeAFurtherAttempt) {
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  script.call(0s, 1, 0);
  const auto actions = script.ends(100ms, 1, 0, Outcome::reset);
  EXPECT_FALSE(has<SendSetup>(actions));
  const auto timer = first<SetTimer>(actions);
  ASSERT_TRUE(timer);
  EXPECT_GE(timer->delay, 250ms);
  EXPECT_TRUE(has<SendSetup>(script.tell(100ms + timer->delay, TimerDue{timer->timer})));
}

TEST(FurtherAttempt, GoesElsewhereAtOnceWhenTheFirstProvablyNeverRan) {
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  script.call(0s, 1, 0);
  const auto again = first<SendSetup>(script.ends(50ms, 1, 0, Outcome::no_connection));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->server, ServerId{1});
}

TEST(FurtherAttempt, IsNotMadeForACallThatMustRunAtMostOnceAndMayHaveRun) {
  Script script(once_only());
  script.list(0s, {entry(0), entry(1)});
  script.call(0s, 1, 0);
  const auto actions = script.ends(50ms, 1, 0, Outcome::reset);
  EXPECT_TRUE(has<Fail>(actions));
  EXPECT_FALSE(has<Reject>(actions));
}

TEST(FurtherAttempt, IsMadeForASetUpThatWasLost) {  // it once stayed out until the caller gave up
  Script script(settings_with());
  script.list(0s, {entry(0)});
  script.call(0s, 1, 0);
  script.call(100ms, 2, 0);
  const auto timer = first<SetTimer>(script.stands(140ms, 2, 0, 40ms));  // sent later, answered
  ASSERT_TRUE(timer);
  const Duration due = 140ms + timer->delay;
  EXPECT_LT(due, 1s);
  EXPECT_TRUE(has<CancelAttempt>(script.tell(due, TimerDue{timer->timer})));
  const auto held = first<SetTimer>(script.ends(due, 1, 0, Outcome::cancelled));
  ASSERT_TRUE(held);
  EXPECT_TRUE(has<SendSetup>(script.tell(due + held->delay, TimerDue{held->timer})));
}

TEST(CallerDisconnected, CancelsWhatIsOutAndAnswersNothing) {
  Script script(settings_with());
  script.list(0s, {entry(0)});
  script.call(0s, 1, 0);
  const auto actions = script.tell(1s, CallerDisconnected{CallId{1}});
  EXPECT_TRUE(has<CancelAttempt>(actions));
  EXPECT_EQ(actions.size(), 1U);
  EXPECT_TRUE(script.ends(1s, 1, 0, Outcome::cancelled, 0, true).empty());
  EXPECT_TRUE(script.tell(1s, CallerDisconnected{CallId{1}}).empty());  // already dropped
}

// Lets `count` calls stand at the server after `delay` each, one every `gap`.
void stand(Script& script, Duration from, Duration gap, unsigned count, unsigned first_id, unsigned server,
           Duration delay) {
  for (unsigned i = 0; i < count; ++i) {
    const Duration sent = from + i * gap;
    if (has<SendSetup>(script.call(sent, first_id + i, server))) {
      script.stands(sent + delay, first_id + i, server, delay);
    }
  }
}

// Servers 0 to `servers` - 1, each of which answers fast at first.
void warm_up(Script& script, unsigned servers) {
  std::vector<ServerEntry> entries;
  for (unsigned server = 0; server < servers; ++server) entries.push_back(entry(server));
  script.list(0s, entries);
  for (unsigned server = 0; server < servers; ++server) {
    stand(script, 0s, 100ms, 30, 1 + 40 * server, server, 40ms);
  }
}

struct Sent {
  int to_first = 0;
  int elsewhere = 0;
  int refused = 0;
};

// What becomes of calls for server 0.
Sent offer(Script& script, Duration from, Duration gap, unsigned count, unsigned first_id) {
  Sent sent;
  for (unsigned i = 0; i < count; ++i) {
    const auto set_up = first<SendSetup>(script.call(from + i * gap, first_id + i, 0));
    if (!set_up) {
      ++sent.refused;
    } else {
      ++(set_up->server == ServerId{0} ? sent.to_first : sent.elsewhere);
    }
  }
  return sent;
}

TEST(Throttle, RefusesNothingUnderTheBudget) {
  Script script(settings_with());
  script.list(0s, {entry(0)});
  stand(script, 0s, 200ms, 20, 1, 0, 40ms);
  EXPECT_EQ(offer(script, 5s, 1ms, 50, 100).refused, 0);
}

// With C at half a second all senders of a server with that wait stopped, and came back together later.
TEST(Throttle, LeavesAboutHalfAtHalfOfCOverTheBudget) {
  Script script(settings_with());
  script.list(0s, {entry(0)});
  stand(script, 0s, 100ms, 60, 1, 0, 40ms);  // ten a second are taken
  constexpr Duration kDelay = 640ms;         // 600 ms of them are a wait
  std::deque<std::pair<Duration, unsigned>> out;
  int sent = 0;
  for (unsigned i = 0; i < 60; ++i) {
    const Duration now = 6s + i * 100ms;
    for (; !out.empty() && out.front().first + kDelay <= now; out.pop_front())
      script.stands(out.front().first + kDelay, out.front().second, 0, kDelay);
    if (!has<SendSetup>(script.call(now, 1000 + i, 0, 0, 1000 + i))) continue;
    out.emplace_back(now, 1000 + i);
    if (i >= 10 && i < 25) ++sent;  // with the wait known, and its own rate not yet down by it
  }
  EXPECT_GE(sent, 4);
  EXPECT_LE(sent, 11);
}

TEST(Throttle, RefusesWhenTheOnlyServerIsSilent) {  // silence is no good news
  Script script(settings_with());
  script.list(0s, {entry(0)});
  stand(script, 0s, 200ms, 20, 1, 0, 40ms);
  script.call(5s, 99, 0);  // never answered
  const Sent sent = offer(script, 7s, 50ms, 100, 100);
  EXPECT_GT(sent.refused, 80);
}

TEST(Throttle, StaysClosedWhileItsCallsAreDiverted) {
  // Diverted calls once did not count as offered at their destination, which then reopened.
  Script script(settings_with());
  warm_up(script, 2);
  script.call(5s, 99, 0);  // never answered
  int to_first = 0;
  for (unsigned i = 0; i < 80; ++i) {
    const Duration now = 6500ms + i * 50ms;
    const auto set_up = first<SendSetup>(script.call(now, 100 + i, 0));
    ASSERT_TRUE(set_up);
    if (set_up->server == ServerId{0}) ++to_first;
    if (set_up->server == ServerId{1}) script.stands(now + 40ms, 100 + i, 1, 40ms);
  }
  EXPECT_LT(to_first, 16);
}

TEST(Throttle, KeepsTheEvidenceOfASetUpWhoseCallerLeft) {  // impatient callers once hid a jam
  Script script(settings_with());
  warm_up(script, 1);
  script.call(4s, 99, 0);
  EXPECT_TRUE(has<CancelAttempt>(script.tell(6s, CallerDisconnected{CallId{99}})));
  AttemptEnded off;
  off.call = CallId{99};
  off.server = ServerId{0};
  off.outcome = Outcome::cancelled;
  off.delay = 2s;
  off.call_finished = true;
  script.tell(6s, off);
  EXPECT_GT(offer(script, 6010ms, 1ms, 100, 1000).refused, 80);
}

TEST(Throttle, HoldsABacklogFoundAllAtOnceToTheTarget) {  // it once passed at the fraction for its first call
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Script script(settings_with(), seed);
    script.list(0s, {entry(0)});
    stand(script, 0s, 200ms, 20, 1, 0, 40ms);
    script.call(5s, 99, 0);                            // never answered
    sent += offer(script, 7s, 0ms, 10, 100).to_first;  // ten calls in one batch
  }
  EXPECT_LE(sent, 40);  // of 200; at the old fraction over 100
}

TEST(Throttle, OpensWhenTheWaitDipsUnderTheBudget) {
  Script script(settings_with());
  script.list(0s, {entry(0)});
  stand(script, 0s, 200ms, 20, 1, 0, 40ms);
  script.call(5s, 99, 0);
  EXPECT_GT(offer(script, 7s, 50ms, 20, 100).refused, 10);
  script.stands(8s, 99, 0, 3s);
  for (unsigned id = 100; id < 120; ++id) script.stands(8s, id, 0, 50ms);
  EXPECT_EQ(offer(script, 8s + 300ms, 1ms, 50, 200).refused, 0);
}

TEST(Throttle, IsNotOpenedByAReportThatContradictsSilence) {
  Script script(settings_with());
  script.list(0s, {entry(0)});
  stand(script, 0s, 200ms, 20, 1, 0, 40ms);
  script.call(5s, 99, 0);
  LoadReport idle;
  idle.wait = 0ms;
  script.tell(7s, ServerReport{ServerId{0}, idle});
  EXPECT_GT(offer(script, 7s + 10ms, 50ms, 100, 100).refused, 80);
}

TEST(Throttle, KeepsTheEvidenceOfASetUpThatTimedOut) {  // it once opened when the silent set-up was given up
  Script script(settings_with());
  script.list(0s, {entry(0)});
  stand(script, 0s, 200ms, 20, 1, 0, 40ms);
  script.call(5s, 99, 0);
  AttemptEnded late;
  late.call = CallId{99};
  late.server = ServerId{0};
  late.outcome = Outcome::timed_out;
  late.delay = 3s;
  script.tell(8s, late);
  EXPECT_GT(offer(script, 8s, 50ms, 100, 100).refused, 80);
}

TEST(Pick, DivertsNoMoreThanASmallServerWorksOffInTime) {  // bursts once jammed it before any answer was late
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  LoadReport report;
  report.free_circuits = report.circuits =
      80.0;  // 10 set-ups a second from 5 senders: one unanswered makes 0.5 s
  script.tell(0s, ServerReport{ServerId{1}, report});
  stand(script, 0s, 100ms, 10, 1, 0, 40ms);
  stand(script, 1s, 100ms, 10, 50, 1, 40ms);
  script.call(3s, 99, 0);  // never answered: calls for server 0 are diverted
  script.tell(5s, ServerReport{ServerId{1}, report});
  const Sent sent = offer(script, 5s, 10ms, 60, 100);
  EXPECT_GE(sent.elsewhere, 1);
  EXPECT_LE(sent.elsewhere, 2);
}

TEST(Throttle, IsNotClosedByASetUpThatLaterOnesOvertook) {  // it is lost, not waiting
  Script script(settings_with());
  script.list(0s, {entry(0)});
  stand(script, 0s, 100ms, 40, 1, 0, 40ms);
  script.call(5s, 99, 0);  // never answered
  stand(script, 5100ms, 100ms, 20, 100, 0, 40ms);
  int refused = 0;
  for (unsigned i = 0; i < 30; ++i) {
    const Duration now = 7200ms + i * 20ms;
    if (has<Reject>(script.call(now, 200 + i, 0))) ++refused;
    script.stands(now + 10ms, 200 + i, 0, 10ms);
  }
  EXPECT_EQ(refused, 0);
}

TEST(Throttle,
     ClosesTowardsAServerThatGivesNoConnection) {  // it once drew every call until the list told of it
  Script script(settings_with());
  warm_up(script, 2);
  script.call(4s, 99, 0);
  EXPECT_TRUE(has<SendSetup>(script.ends(4030ms, 99, 0, Outcome::no_connection)));
  script.stands(4080ms, 99, 1, 40ms, 1);
  int to_first = 0;
  for (unsigned i = 0; i < 40; ++i) {
    const Duration now = 4400ms + i * 50ms;
    const auto set_up = first<SendSetup>(script.call(now, 100 + i, 0));
    if (set_up && set_up->server == ServerId{0}) ++to_first;
    if (set_up) script.stands(now + 30ms, 100 + i, static_cast<unsigned>(set_up->server), 30ms);
    if (to_first > 0) break;  // an answer would open it
  }
  EXPECT_LE(to_first, 1);
}

TEST(Throttle,
     HasAFloorThatAllSendersTogetherKeepLow) {  // one per T_c and sender once kept a small server jammed
  Script script(settings_with());
  warm_up(script, 1);
  script.call(3s, 99, 0);  // never answered
  offer(script, 6s, 50ms, 20, 100);
  const Sent sent = offer(script, 7s, 20ms, 1500, 200);  // 30 s, in which a third a second makes ten
  EXPECT_GE(sent.to_first, 1);
  EXPECT_LE(sent.to_first, 24);
}

TEST(Throttle, ForgetsAWaitOfWhichThereIsNoNews) {
  // A sender that had turned away from a core server of second choice once never came back to it.
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  stand(script, 0s, 200ms, 20, 1, 0, 40ms);
  LoadReport report;
  report.free_circuits = report.circuits = 80.0;
  script.tell(0s, ServerReport{ServerId{1}, report});
  stand(script, 0s, 200ms, 20, 50, 1, 40ms);
  script.call(4s, 99, 1);
  script.stands(6s, 99, 1, 2s);
  script.call(6s, 98, 0);  // never answered: server 0 is throttled
  EXPECT_EQ(offer(script, 7500ms, 50ms, 20, 100).elsewhere, 0);
  EXPECT_GE(offer(script, 20s, 200ms, 300, 200).elsewhere, 1);
}

// Plays the timers of a call that was not sent at once; what is done for it in the end, and when.
std::pair<std::vector<Action>, Duration> outcome_of_hold(Script& script, Duration now,
                                                         std::vector<Action> actions, Duration early = 0ns) {
  while (const auto timer = first<SetTimer>(actions)) {
    now += timer->delay - (timer->delay > early ? early : 0ns);
    actions = script.tell(now, TimerDue{timer->timer});
    if (!actions.empty() && !has<SetTimer>(actions)) break;
  }
  return {actions, now};
}

// Of ten calls that the throttle holds back (one seed each), those refused in the end; each not before its
// time.
int refused_in_the_end(Duration early) {
  int refused = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Script script(settings_with(), seed);
    warm_up(script, 1);
    script.call(4s, 99, 0);  // never answered
    offer(script, 6s, 20ms, 40, 1000);
    const auto [actions, when] = outcome_of_hold(script, 7s, script.call(7s, 98, 0, 0, 98), early);
    if (!has<Reject>(actions)) continue;  // sent, by chance
    ++refused;
    EXPECT_GE(when, 7s + 600ms);
    EXPECT_LE(when, 7s + 1300ms);  // the aim
  }
  return refused;
}

TEST(Hold, RefusesOnlyWhenTheCallCannotStandWithinItsAimAnyMore) {  // redials came after their aim instead
  EXPECT_GE(refused_in_the_end(0ns), 5);
}

TEST(Hold, SendsTheCallWhenTheThrottleOpens) {
  Script script(settings_with());
  warm_up(script, 1);
  script.call(4s, 99, 0);
  offer(script, 6s, 20ms, 40, 1000);
  const auto held = script.call(7s, 98, 0, 0, 98);
  ASSERT_TRUE(has<SetTimer>(held));
  script.stands(7s, 99, 0, 3s);
  for (unsigned id = 1000; id < 1040; ++id) script.stands(7s, id, 0, 30ms);
  EXPECT_TRUE(has<SendSetup>(outcome_of_hold(script, 7s, held).first));
}

TEST(Hold, OutlivesATimerThatComesEarly) {  // a clock of microseconds rounds down: the call was lost
  EXPECT_GE(refused_in_the_end(1us), 5);
}

TEST(Hold, IsNotForCallsThatNoServerCanTake) {
  Script script(settings_with());
  script.list(0s, {entry(0, ServerState::terminating)});
  EXPECT_TRUE(has<Reject>(script.call(0s, 1)));
}

// Every other one of 20 set-ups to the server stays unanswered and is overtaken by the next.
void lose_every_other(Script& script, unsigned first_id) {
  for (unsigned i = 0; i < 20; ++i) {
    script.call(4s + i * 80ms, first_id + i, 0);
    if (i % 2 == 1) script.stands(4s + i * 80ms + 40ms, first_id + i, 0, 40ms);
    if (i % 2 == 1) script.ends(4s + i * 80ms + 40ms, first_id + i - 1, 0, Outcome::reset, 0, true);
  }
}

TEST(Losses, OneSilenceIsNoWaitWhereOthersWereOvertaken) {  // hundreds of senders shut every lossy server
  Script script(settings_with());
  warm_up(script, 1);
  lose_every_other(script, 1000);
  script.call(6s, 99, 0);  // never answered
  EXPECT_EQ(offer(script, 7s, 50ms, 1, 2000).to_first, 1);
}

TEST(Losses, ManySilencesAreAWaitAllTheSame) {  // a jam amid losses
  Script script(settings_with());
  warm_up(script, 1);
  lose_every_other(script, 1000);
  for (unsigned id = 90; id < 95; ++id) script.call(6s, id, 0);  // none answered
  EXPECT_LE(offer(script, 7s, 20ms, 50, 2000).to_first, 10);
}

TEST(Losses, AnUnansweredSetUpIsCalledOffInTimeForAnotherWithinTheAim) {  // it hung until the deadline
  Script script(settings_with());
  warm_up(script, 1);
  lose_every_other(script, 1000);
  const auto timer = first<SetTimer>(script.call(6s, 99, 0));
  ASSERT_TRUE(timer);
  EXPECT_LE(timer->delay, 1300ms - 250ms);  // aim and release
  EXPECT_TRUE(has<CancelAttempt>(script.tell(6s + timer->delay, TimerDue{timer->timer})));
}

TEST(Losses, NothingIsCalledOffWhereNoneAreSeen) {  // a slow server would work in vain
  Script script(settings_with());
  warm_up(script, 1);
  EXPECT_FALSE(has<SetTimer>(script.call(6s, 99, 0)));
}

TEST(Standstill, CallsThatWaitedForTheSenderAreKnownByTheirDeadlines) {  // their aim has passed already
  int passed[2] = {0, 0};
  for (const bool waited : {false, true}) {
    Script script(settings_with());
    warm_up(script, 1);
    script.call(4s, 99, 0);  // never answered
    offer(script, 6s, 20ms, 40, 1000);
    NewCall e;
    e.call = CallId{98};
    e.number = Number{98};
    e.deadline = at(8500ms + (waited ? 1600ms : 3s));  // others have 3 s
    const auto actions = script.tell(8500ms, e);
    if (has<Reject>(actions)) ++passed[waited];
  }
  EXPECT_EQ(passed[0], 0);  // held for a while
  EXPECT_EQ(passed[1], 1);  // turned away: it came 1.4 s ago
}

TEST(Value, RefusesTheLeastWorthFirst) {
  Script script(settings_with(2));
  script.list(0s, {entry(0)});
  stand(script, 0s, 50ms, 100, 1, 0, 40ms);
  script.call(5s, 1000, 0);
  int refused[2] = {0, 0};
  for (unsigned i = 0; i < 200; ++i) {  // 8 of 10 are of the class of little worth
    const ClassIndex call_class = i % 5 == 0 ? 1 : 0;
    const Duration now = 5250ms + i * 10ms;
    if (!has<SendSetup>(script.call(now, 2000 + i, 0, call_class, 2000 + i))) ++refused[call_class];
  }
  EXPECT_GT(refused[0], 20);
  EXPECT_LE(refused[1] * 4, refused[0]);
}

TEST(Throttle, LetsHundredsOfSendersBackInPartOnly) {  // their returns alone once kept a small server jammed
  Settings settings = settings_with();
  settings.senders = 250;
  LoadReport report;
  report.circuits = 240.0;  // 30 set-ups a second, 0.12 for each sender
  report.free_circuits = 0.0;
  int sent = 0;
  for (std::uint32_t i = 0; i < settings.senders; ++i) {
    settings.own_index = i;
    Script script(settings, i);
    script.list(0s, {entry(0)});
    script.tell(0s, ServerReport{ServerId{0}, report});
    report.free_circuits = 100.0;
    script.tell(0s, ServerReport{ServerId{0}, report});
    report.free_circuits = 0.0;
    script.call(0s, 1000, 0);
    script.ends(30ms, 1000, 0, Outcome::full, 0, false, FullReason::processor);
    for (unsigned n = 0; n < 10; ++n) {  // 85 a second in all, from 5 s to 34 s, each answered 'full'
      const Duration now = 5s + n * 3s;
      if (!has<SendSetup>(script.call(now, n, 0))) continue;
      ++sent;
      script.ends(now + 30ms, n, 0, Outcome::full, 0, false, FullReason::processor);
    }
  }
  EXPECT_GE(sent, 30 * 2);   // it is still tried
  EXPECT_LE(sent, 30 * 16);  // with about a third of what it can do, the noise of chance included
}

TEST(Lines, AreTakenOnlyInPartWhenFewAreFree) {  // all senders once rushed for the last ones
  Script script(settings_with());
  script.list(0s, {entry(0)});
  LoadReport report;
  report.circuits = 80.0;
  report.free_circuits = 4.0;
  script.tell(0s, ServerReport{ServerId{0}, report});
  int sent = 0;
  for (unsigned i = 0; i < 20; ++i) {
    if (has<SendSetup>(script.call(i * 1ms, i, 0))) ++sent;
  }
  EXPECT_LE(sent, 1);
}

TEST(Lines,
     DoNotBindHundredsOfSendersWhilePlentyAreFree) {  // free lines over senders once shut healthy servers
  Settings settings = settings_with();
  settings.senders = 250;
  Script script(settings);
  script.list(0s, {entry(0)});
  LoadReport report;
  report.circuits = 240.0;
  report.free_circuits = 120.0;
  script.tell(0s, ServerReport{ServerId{0}, report});
  EXPECT_TRUE(has<SendSetup>(script.call(0s, 1, 0)));
}

TEST(Pick, DrawsSecondChoicesInProportionToTheirLines) {  // equal draws jam the small ones
  Script script(settings_with());
  script.list(0s, {entry(1), entry(2)});
  LoadReport report;
  report.free_circuits = report.circuits = 400.0;
  script.tell(0s, ServerReport{ServerId{1}, report});
  report.free_circuits = report.circuits = 40.0;
  script.tell(0s, ServerReport{ServerId{2}, report});
  int small = 0;
  for (unsigned i = 0; i < 110; ++i) {  // all for a destination that is not there
    const auto set_up = first<SendSetup>(script.call(i * 1ms, i, 0));
    if (set_up && set_up->server == ServerId{2}) ++small;
  }
  EXPECT_LT(small, 16);
}

TEST(SlowStartLimiter, KeepsASenderToItsPartOfTheBudget) {
  // 80 lines at 8 s a call: 10 set-ups a second; 2 x 0.4 x 10 x 2 s = 16 for 5 senders in a window.
  Script script(settings_with());
  script.list(0s, {entry(0, ServerState::in_service, at(0s))});
  LoadReport report;
  report.circuits = 80.0;
  for (const double free_lines : {0.0, 80.0}) {  // all were busy before its start
    report.free_circuits = free_lines;
    script.tell(0s, ServerReport{ServerId{0}, report});
  }
  int sent = 0;
  for (unsigned i = 0; i < 60; ++i) {
    if (!has<SendSetup>(script.call(i * 30ms, i, 0))) continue;
    ++sent;
    script.stands(i * 30ms + 20ms, i, 0, 20ms);
  }
  EXPECT_GE(sent, 1);
  EXPECT_LE(sent, 3);
}

// `senders` controllers together and a server that starts at 0 s with 40 set-ups a second of its 100, and
// works in turn; it is warm after `warm_after`. Each sender has some calls at once, then one every `gap`.
struct ColdStart {
  std::uint32_t senders = 5;
  unsigned calls_at_once = 0;
  Duration gap = 50ms;
  Duration lasts = 11900ms;  // it counts as cold for 12 s
  Duration warm_after = 1h;

  double capacity(Duration t) const {  // set-ups a second
    return 40.0 + 60.0 * std::min(1.0, std::chrono::duration<double>(t) / warm_after);
  }
  // When the set-ups came to the server.
  std::vector<Duration> play() const {
    Settings settings = settings_with();
    settings.senders = senders;
    LoadReport busy;  // before its start: 800 lines busy at 8 s a call are 100 set-ups a second
    busy.circuits = 800.0;
    busy.free_circuits = 0.0;
    LoadReport idle = busy;
    idle.free_circuits = 800.0;
    std::vector<Script> scripts;
    for (std::uint32_t i = 0; i < senders; ++i) {
      settings.own_index = i;
      Script& script = scripts.emplace_back(settings, i);
      script.list(-1s, {entry(0)});
      script.tell(-1s, ServerReport{ServerId{0}, busy});
      script.list(0s, {entry(0, ServerState::in_service, at(0s))});
      script.tell(0s, ServerReport{ServerId{0}, idle});
    }
    struct Waiting {
      std::uint32_t sender;
      unsigned call;
      Duration since;
    };
    std::deque<Waiting> line;
    std::vector<Duration> sent;
    double worked = 0.0;
    unsigned id = 0;
    constexpr Duration kStep = 5ms;
    for (Duration now{}; now < lasts; now += kStep) {
      for (std::uint32_t i = 0; i < senders; ++i) {
        const Duration place = gap * i / senders;  // they do not call in step
        const bool due = now >= place && (now - place) / gap != (now - kStep - place) / gap;
        for (unsigned n = (now == 0s ? calls_at_once : 0U) + (due ? 1U : 0U); n > 0; --n, ++id) {
          if (!has<SendSetup>(scripts[i].call(now, id, 0))) continue;
          sent.push_back(now);
          line.push_back({i, id, now});
        }
      }
      worked = line.empty() ? 0.0 : worked + capacity(now) * std::chrono::duration<double>(kStep).count();
      for (; worked >= 1.0 && !line.empty(); worked -= 1.0, line.pop_front()) {
        const Duration then = now + 1ms;
        scripts[line.front().sender].stands(then, line.front().call, 0, then - line.front().since);
      }
    }
    return sent;
  }
  // The most that came within a window of 2 s, as a share of twice what the server could do at its begin.
  double most_of_budget() const {
    const std::vector<Duration> sent = play();
    double most = 0.0;
    for (auto from = sent.begin(); from != sent.end(); ++from) {
      const auto count = std::upper_bound(from, sent.end(), *from + 2s) - from;
      most = std::max(most, static_cast<double>(count) / (2.0 * capacity(*from) * 2.0));
    }
    return most;
  }
  std::size_t sent_within(Duration from, Duration to) const {
    const std::vector<Duration> sent = play();
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(), [&](const Duration t) { return t >= from && t < to; }));
  }
};

TEST(SlowStartLimiter,
     KeepsHundredsOfSendersTogetherWithinTheBudget) {  // one at least from each was twice the budget
  EXPECT_LE((ColdStart{250, 20, 100ms}.most_of_budget()), 1.0);  // with a burst right after the start
  EXPECT_LE((ColdStart{1000, 20, 500ms}.most_of_budget()), 1.0);
  EXPECT_GE((ColdStart{250, 0, 500ms}.most_of_budget()), 0.375);  // and is not starved
}

TEST(SlowStartLimiter, DoesNotStarveAServerOfASmallFleet) {
  EXPECT_LE((ColdStart{5, 20, 50ms}.most_of_budget()), 1.0);
  EXPECT_GE((ColdStart{5, 0, 50ms}.most_of_budget()), 0.375);
}

TEST(SlowStartLimiter, KeepsToTheBudgetHoweverTheServerWarms) {
  for (const Duration warm_after : {Duration(1s), Duration(4s), Duration(14s), Duration(1h)}) {
    for (const std::uint32_t senders : {2U, 7U, 60U}) {
      const ColdStart start{senders, 20, 8ms * senders, 11900ms, warm_after};  // 125 calls a second
      EXPECT_LE(start.most_of_budget(), 1.0) << senders << " senders";
    }
  }
}

// A server that was warm after 4 s was once sent a flat third of what it could do until its 15 s were over.
TEST(SlowStartLimiter, FollowsAServerThatAnswers) {
  const auto late = [](Duration warm_after) {
    return ColdStart{6, 0, 75ms, 12s, warm_after}.sent_within(8s, 12s);  // 80 calls a second
  };
  EXPECT_GE(late(4s), 280U);  // of 320
  EXPECT_LE(late(1h), 200U);  // it can do 160 and no more
}

// ---- faults

constexpr auto kFault = Outcome::busy_or_fault;

TEST(Fault, SendsTheCallElsewhereAndTakesAThirdForTheCallsOwn) {
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  script.call(0s, 1, 0);
  const auto second = first<SendSetup>(script.ends(30ms, 1, 0, kFault));
  ASSERT_TRUE(second);
  EXPECT_EQ(second->server, ServerId{1});
  ASSERT_TRUE(has<SendSetup>(script.ends(60ms, 1, 1, kFault, 1)));
  EXPECT_TRUE(has<Fail>(script.ends(90ms, 1, 0, kFault, 2)));
}

TEST(Fault, IsFinalForACallThatMayRunOnceOnly) {
  Script script(once_only());
  script.list(0s, {entry(0), entry(1)});
  script.call(0s, 1, 0);
  EXPECT_TRUE(has<Fail>(script.ends(30ms, 1, 0, kFault)));
}

TEST(Fault, IsFinalOnceTheAimHasPassed) {
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  script.call(0s, 1, 0);
  EXPECT_TRUE(has<Fail>(script.ends(1400ms, 1, 0, kFault)));
}

// A call to `0` that ends with a fault there and then stands at 1.
void meet_fault(Script& script, Duration now, unsigned id) {
  ASSERT_EQ(first<SendSetup>(script.call(now, id, 0, 0, id))->server, ServerId{0});
  script.ends(now + 1ms, id, 0, kFault);
  script.stands(now + 2ms, id, 1, 1ms, 1);
}

TEST(Fault, ServerIsPassedOverTriedOutAndTakenBack) {
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  for (unsigned i = 0; i < 4; ++i) meet_fault(script, i * 10ms, i);  // the last is the first try-out
  EXPECT_EQ(script.avoided(40ms), 1U);
  for (unsigned i = 10; i < 40; ++i) {
    // Some are tried out there, no more than one in 500 ms.
    const auto sent = first<SendSetup>(script.call(40ms + i * 1ms, i, 0, 0, i));
    if (sent->server == ServerId{0}) {
      EXPECT_EQ(i, 10U);
      script.ends(41ms + i * 1ms, i, 0, kFault);
    }
    script.stands(42ms + i * 1ms, i, 1, 1ms, sent->server == ServerId{0} ? 1 : 0);
  }
  // The fault has passed: two try-outs that stand bring it back.
  for (unsigned i = 50; i < 52; ++i) {
    const Duration now = (i - 49) * 600ms;
    ASSERT_EQ(first<SendSetup>(script.call(now, i, 0, 0, i))->server, ServerId{0});
    script.stands(now + 2ms, i, 0, 2ms);
  }
  EXPECT_EQ(script.avoided(1300ms), 0U);
  for (unsigned i = 60; i < 65; ++i)
    EXPECT_EQ(first<SendSetup>(script.call(1300ms + i * 1ms, i, 0, 0, i))->server, ServerId{0});
}

TEST(Fault, ServerIsTheLastToBeAskedNotNever) {  // refused beside 230 free lines, calls once came to nothing
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  for (unsigned i = 0; i < 4; ++i) meet_fault(script, i * 10ms, i);
  LoadReport full;
  full.free_circuits = 0.0;
  full.circuits = 40.0;
  script.tell(60ms, ServerReport{ServerId{1}, full});
  int taken = 0;
  for (unsigned i = 10; i < 20; ++i) {
    const auto sent = first<SendSetup>(script.call(60ms + i * 1ms, i, 0, 0, i));
    taken += sent && sent->server == ServerId{0} ? 1 : 0;
  }
  EXPECT_GE(taken, 8);
  // And a call that met a fault there tries it again, where no other has a line.
  const auto again = first<SendSetup>(script.ends(90ms, 19, 0, kFault));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->server, ServerId{0});
}

TEST(Fault, OfABusyNumberIsNotTheServers) {
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  for (unsigned i = 0; i < 10; ++i) {
    ASSERT_EQ(first<SendSetup>(script.call(i * 10ms, i, 0))->server, ServerId{0});
    script.ends(i * 10ms + 1ms, i, 0, kFault, 0, false, FullReason::number_busy);
  }
  EXPECT_EQ(script.avoided(200ms), 0U);
}

// A bad caller's set-ups meet a fault wherever they go: they tell nothing of the servers.
TEST(Fault, OfACallThatStandsNowhereIsNotTheServers) {
  Script script(settings_with());
  script.list(0s, {entry(0), entry(1)});
  for (unsigned i = 0; i < 20; ++i) {
    unsigned server = 0;
    auto sent = first<SendSetup>(script.call(i * 10ms, i, 0, 0, i));
    for (int attempt = 0; sent; ++attempt) {
      server = static_cast<unsigned>(sent->server);
      sent = first<SendSetup>(script.ends(i * 10ms + 1ms, i, server, kFault, attempt));
    }
  }
  EXPECT_EQ(script.avoided(200ms), 0U);
}

// ---- settings that change

TEST(Retune, CallsKeepTheirAttemptsAndServersWhatWasLearned) {
  Settings settings = settings_with(2);
  Script script(settings);
  script.list(0s, {entry(0), entry(1)});
  script.call(0s, 1, 0);
  settings.max_attempts = 1;
  script.tell(10ms, SettingsChanged{settings});
  EXPECT_TRUE(has<SendSetup>(script.ends(20ms, 1, 0, Outcome::full, 0, false, FullReason::processor)));
  // Server 0 told that it is full: that is remembered, and a new call has one attempt.
  EXPECT_EQ(script.avoided(30ms), 1U);
  ASSERT_TRUE(has<SendSetup>(script.call(30ms, 2, 1, 1)));
  EXPECT_TRUE(has<Fail>(script.ends(40ms, 2, 1, Outcome::full, 0, false, FullReason::no_circuit)));
}

TEST(Retune, ANewClassIsTakenAtItsPlace) {
  Settings settings = settings_with(1);
  Script script(settings);
  script.list(0s, {entry(0), entry(1)});
  EXPECT_TRUE(has<Reject>(script.call(0s, 1, 0, 1)));
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].open_pools = {Pool{1}};
  script.tell(10ms, SettingsChanged{settings});
  EXPECT_EQ(first<SendSetup>(script.call(20ms, 2, 0, 1))->server, ServerId{1});
}

}  // namespace
}  // namespace graniterun::test
