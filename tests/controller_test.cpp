// Unit tests of the controller's decisions, one per behavior, driven by scripted events.
#include "graniterun/controller.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <utility>

#include "harness.h"

namespace graniterun::test {
namespace {

Settings non_idempotent_settings() {
  Settings settings = make_settings();
  settings.classes[0].idempotency = Idempotency::non_idempotent;
  return settings;
}

TEST(ServerSelection, UsesTheDestinationWhileItIsFreeAndNotThrottled) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1), make_entry(2)});
  for (unsigned i = 0; i < 20; ++i) {
    const auto setup = find_action<SendSetup>(script.request_call(i * 1ms, i, i % 3));
    ASSERT_TRUE(setup);
    EXPECT_EQ(setup->server, ServerId{i % 3});
  }
}

TEST(ServerSelection, AvoidsADestinationThatReportsNoFreeCircuits) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  LoadReport full;
  full.free_circuits = 0.0;
  script.handle(0s, ServerReport{ServerId{0}, full});
  // Of two sampled servers the one with fewer outstanding setups is chosen: server 1 first, at the latest
  // after a tie.
  int elsewhere = 0;
  for (unsigned i = 0; i < 20; ++i) {
    if (find_action<SendSetup>(script.request_call(i * 1ms, i, 0))->server == ServerId{1}) ++elsewhere;
  }
  EXPECT_GE(elsewhere, 8);
}

TEST(ServerSelection, UsesOnlyPoolsOpenToTheClass) {
  Settings settings = make_settings();
  settings.classes[0].open_pools = {Pool{1}};
  ControllerScript script(settings);
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  EXPECT_EQ(find_action<SendSetup>(script.request_call(0s, 1, 0))->server, ServerId{1});
}

TEST(FinalAnswer, RejectsACallWithoutAnyServer) {
  ControllerScript script(make_settings());
  const auto rejected = find_action<Reject>(script.request_call(0s, 1));
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->retry_after, make_settings().max_retry_after);  // without it callers redial at once
}

TEST(FinalAnswer, RejectsCallsInTransitAndMeshedLayouts) {
  NewCall transit;
  transit.call = CallId{9};
  transit.in_transit = true;
  transit.deadline = time_at(3s);
  ControllerScript groups(make_settings());
  groups.receive_list(0s, {make_entry(0)});
  EXPECT_TRUE(has_action<Reject>(groups.handle(0s, transit)));

  Settings settings = make_settings();
  settings.layout = Layout::meshed;
  ControllerScript meshed(settings);
  meshed.receive_list(0s, {make_entry(0)});
  EXPECT_TRUE(has_action<Reject>(meshed.request_call(0s, 1)));
}

TEST(FinalAnswer, FailsACallToABusyNumberWithoutARetry) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  script.request_call(0s, 1);
  const auto actions =
      script.end_attempt(50ms, 1, 0, Outcome::busy_or_fault, 0, false, FullReason::number_busy);
  EXPECT_TRUE(has_action<Fail>(actions));
  EXPECT_FALSE(has_action<SendSetup>(actions));
}

TEST(ServerList, GetsNoSetupToADrainingTerminatedOrUnlistedServer) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  script.receive_list(1s, {make_entry(0, ServerState::terminating)}, ListKind::changes);
  EXPECT_EQ(find_action<SendSetup>(script.request_call(1s, 1, 0))->server, ServerId{1});
  script.establish(1040ms, 1, 1, 40ms);
  script.receive_list(2s, {make_entry(0, ServerState::terminated)}, ListKind::changes);
  EXPECT_EQ(find_action<SendSetup>(script.request_call(2s, 2, 0))->server, ServerId{1});
  script.establish(2040ms, 2, 1, 40ms);
  script.receive_list(3s, {make_entry(0)});
  EXPECT_EQ(find_action<SendSetup>(script.request_call(3s, 3, 1))->server, ServerId{0});
}

// Replaced machines always get new ids, so terminated servers must not accumulate.
TEST(ServerList, ErasesTerminatedServersAndHandlesTheirLateOutcomes) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  script.request_call(0s, 1, 0);
  script.receive_list(1s, {make_entry(0, ServerState::terminated)}, ListKind::changes);
  script.handle(1s, ServerReport{ServerId{0}, LoadReport{}});
  const auto queued_timer = find_action<SetTimer>(script.end_attempt(1100ms, 1, 0, Outcome::reset));
  ASSERT_TRUE(queued_timer);
  const auto retry =
      find_action<SendSetup>(script.handle(1100ms + queued_timer->delay, TimerDue{queued_timer->timer}));
  ASSERT_TRUE(retry);
  EXPECT_EQ(retry->server, ServerId{1});
}

TEST(ServerList, IsKeptWhenARequestForItIsRejected) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0)});
  script.receive_list(1s, {}, ListKind::rejected);
  EXPECT_TRUE(has_action<SendSetup>(script.request_call(1s, 1)));
}

TEST(ServerList, IsPolledWithDiscoveryOnRequestAndRequestedAgainAfterARejection) {
  Settings settings = make_settings();
  settings.discovery = Discovery::on_request;
  ControllerScript script(settings);
  EXPECT_TRUE(
      has_action<RequestServerList>(script.handle(0s, ServerList{ListKind::cached, {make_entry(0)}})));
  const auto timer = find_action<SetTimer>(script.handle(1s, ServerList{ListKind::rejected, {}}));
  ASSERT_TRUE(timer);
  EXPECT_TRUE(has_action<RequestServerList>(script.handle(1s + timer->delay, TimerDue{timer->timer})));
}

TEST(ReleaseGuard, DelaysTheNextAttemptAfterAReset) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  script.request_call(0s, 1, 0);
  const auto actions = script.end_attempt(100ms, 1, 0, Outcome::reset);
  EXPECT_FALSE(has_action<SendSetup>(actions));
  const auto timer = find_action<SetTimer>(actions);
  ASSERT_TRUE(timer);
  EXPECT_GE(timer->delay, 250ms);
  EXPECT_TRUE(has_action<SendSetup>(script.handle(100ms + timer->delay, TimerDue{timer->timer})));
}

TEST(Retry, GoesToAnotherServerAtOnceWhenTheFirstAttemptNeverRan) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  script.request_call(0s, 1, 0);
  const auto retry = find_action<SendSetup>(script.end_attempt(50ms, 1, 0, Outcome::no_connection));
  ASSERT_TRUE(retry);
  EXPECT_EQ(retry->server, ServerId{1});
}

TEST(Retry, IsNotMadeForANonIdempotentCallThatMayHaveRun) {
  ControllerScript script(non_idempotent_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  script.request_call(0s, 1, 0);
  const auto actions = script.end_attempt(50ms, 1, 0, Outcome::reset);
  EXPECT_TRUE(has_action<Fail>(actions));
  EXPECT_FALSE(has_action<Reject>(actions));
}

// A lost setup would otherwise stay outstanding until the caller's deadline.
TEST(Retry, IsMadeForALostSetup) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0)});
  script.request_call(0s, 1, 0);
  script.request_call(100ms, 2, 0);
  const auto timer = find_action<SetTimer>(script.establish(140ms, 2, 0, 40ms));  // sent later, answered
  ASSERT_TRUE(timer);
  const Duration due = 140ms + timer->delay;
  EXPECT_LT(due, 1s);
  EXPECT_TRUE(has_action<CancelAttempt>(script.handle(due, TimerDue{timer->timer})));
  const auto queued_timer = find_action<SetTimer>(script.end_attempt(due, 1, 0, Outcome::cancelled));
  ASSERT_TRUE(queued_timer);
  EXPECT_TRUE(has_action<SendSetup>(script.handle(due + queued_timer->delay, TimerDue{queued_timer->timer})));
}

TEST(CallerDisconnected, CancelsTheOutstandingAttemptWithoutAFinalAnswer) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0)});
  script.request_call(0s, 1, 0);
  const auto actions = script.handle(1s, CallerDisconnected{CallId{1}});
  EXPECT_TRUE(has_action<CancelAttempt>(actions));
  EXPECT_EQ(actions.size(), 1U);
  EXPECT_TRUE(script.end_attempt(1s, 1, 0, Outcome::cancelled, 0, true).empty());
  EXPECT_TRUE(script.handle(1s, CallerDisconnected{CallId{1}}).empty());  // already erased
}

// Requests one call per `interval`, `count` in all; each is established at the server after `delay`.
void establish_calls(ControllerScript& script, Duration from, Duration interval, unsigned count,
                     unsigned first_id, unsigned server, Duration delay) {
  for (unsigned i = 0; i < count; ++i) {
    const Duration sent = from + i * interval;
    if (has_action<SendSetup>(script.request_call(sent, first_id + i, server))) {
      script.establish(sent + delay, first_id + i, server, delay);
    }
  }
}

// Lists servers 0 to `servers` - 1; each answers 30 setups fast.
void warm_up_servers(ControllerScript& script, unsigned servers) {
  std::vector<ServerEntry> entries;
  for (unsigned server = 0; server < servers; ++server) entries.push_back(make_entry(server));
  script.receive_list(0s, entries);
  for (unsigned server = 0; server < servers; ++server) {
    establish_calls(script, 0s, 100ms, 30, 1 + 40 * server, server, 40ms);
  }
}

struct OfferResult {
  int to_destination = 0;
  int elsewhere = 0;
  int rejected = 0;
};

// Requests calls for server 0 and counts where they are sent.
OfferResult offer_calls(ControllerScript& script, Duration from, Duration interval, unsigned count,
                        unsigned first_id) {
  OfferResult sent;
  for (unsigned i = 0; i < count; ++i) {
    const auto setup = find_action<SendSetup>(script.request_call(from + i * interval, first_id + i, 0));
    if (!setup) {
      ++sent.rejected;
    } else {
      ++(setup->server == ServerId{0} ? sent.to_destination : sent.elsewhere);
    }
  }
  return sent;
}

TEST(Throttle, RejectsNothingWithinTheWaitBudget) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0)});
  establish_calls(script, 0s, 200ms, 20, 1, 0, 40ms);
  EXPECT_EQ(offer_calls(script, 5s, 1ms, 50, 100).rejected, 0);
}

// With half of this C, all senders of a server with that wait stopped, and resumed in step later.
TEST(Throttle, HalvesTheRateWhenTheWaitExceedsTheBudgetByHalfOfC) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0)});
  establish_calls(script, 0s, 100ms, 60, 1, 0, 40ms);  // ten setups per second are accepted
  constexpr Duration kDelay = 640ms;                   // of which 600 ms are a wait
  std::deque<std::pair<Duration, unsigned>> out;
  int sent = 0;
  for (unsigned i = 0; i < 60; ++i) {
    const Duration now = 6s + i * 100ms;
    for (; !out.empty() && out.front().first + kDelay <= now; out.pop_front())
      script.establish(out.front().first + kDelay, out.front().second, 0, kDelay);
    if (!has_action<SendSetup>(script.request_call(now, 1000 + i, 0, 0, 1000 + i))) continue;
    out.emplace_back(now, 1000 + i);
    if (i >= 10 && i < 25) ++sent;  // the wait is known and has not yet lowered the accepted rate
  }
  EXPECT_GE(sent, 4);
  EXPECT_LE(sent, 11);
}

// A server that stops answering sends no bad news; the age of the unanswered setup must count as a wait.
TEST(Throttle, RejectsWhenTheOnlyServerDoesNotAnswer) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0)});
  establish_calls(script, 0s, 200ms, 20, 1, 0, 40ms);
  script.request_call(5s, 99, 0);  // never answered
  const OfferResult sent = offer_calls(script, 7s, 50ms, 100, 100);
  EXPECT_GT(sent.rejected, 80);
}

TEST(Throttle, StaysClosedWhileItsCallsSpillOver) {
  // Guards against calls that spill over not counting as offered at their destination: it would reopen.
  ControllerScript script(make_settings());
  warm_up_servers(script, 2);
  script.request_call(5s, 99, 0);  // never answered
  int to_destination = 0;
  for (unsigned i = 0; i < 80; ++i) {
    const Duration now = 6500ms + i * 50ms;
    const auto setup = find_action<SendSetup>(script.request_call(now, 100 + i, 0));
    ASSERT_TRUE(setup);
    if (setup->server == ServerId{0}) ++to_destination;
    if (setup->server == ServerId{1}) script.establish(now + 40ms, 100 + i, 1, 40ms);
  }
  EXPECT_LT(to_destination, 16);
}

// Callers that give up early would otherwise hide an overload.
TEST(Throttle, CountsTheWaitOfASetupWhoseCallerDisconnected) {
  ControllerScript script(make_settings());
  warm_up_servers(script, 1);
  script.request_call(4s, 99, 0);
  EXPECT_TRUE(has_action<CancelAttempt>(script.handle(6s, CallerDisconnected{CallId{99}})));
  AttemptEnded cancelled;
  cancelled.call = CallId{99};
  cancelled.server = ServerId{0};
  cancelled.outcome = Outcome::cancelled;
  cancelled.delay = 2s;
  cancelled.call_finished = true;
  script.handle(6s, cancelled);
  EXPECT_GT(offer_calls(script, 6010ms, 1ms, 100, 1000).rejected, 80);
}

// Guards against a batch that passes as a whole at the probability computed for its first call.
TEST(Throttle, LimitsABatchOfCallsToTheTarget) {
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ControllerScript script(make_settings(), seed);
    script.receive_list(0s, {make_entry(0)});
    establish_calls(script, 0s, 200ms, 20, 1, 0, 40ms);
    script.request_call(5s, 99, 0);                                // never answered
    sent += offer_calls(script, 7s, 0ms, 10, 100).to_destination;  // ten calls in one batch
  }
  EXPECT_LE(sent, 40);  // of 200; over 100 at the probability for the first call of the batch
}

TEST(Throttle, OpensWhenTheWaitFallsBelowTheBudget) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0)});
  establish_calls(script, 0s, 200ms, 20, 1, 0, 40ms);
  script.request_call(5s, 99, 0);
  EXPECT_GT(offer_calls(script, 7s, 50ms, 20, 100).rejected, 10);
  script.establish(8s, 99, 0, 3s);
  for (unsigned id = 100; id < 120; ++id) script.establish(8s, id, 0, 50ms);
  EXPECT_EQ(offer_calls(script, 8s + 300ms, 1ms, 50, 200).rejected, 0);
}

TEST(Throttle, IsNotOpenedByAReportWhileASetupIsUnanswered) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0)});
  establish_calls(script, 0s, 200ms, 20, 1, 0, 40ms);
  script.request_call(5s, 99, 0);
  LoadReport idle;
  idle.wait = 0ms;
  script.handle(7s, ServerReport{ServerId{0}, idle});
  EXPECT_GT(offer_calls(script, 7s + 10ms, 50ms, 100, 100).rejected, 80);
}

// Guards against a throttle that opens when the unanswered setup is abandoned.
TEST(Throttle, CountsTheWaitOfASetupThatTimedOut) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0)});
  establish_calls(script, 0s, 200ms, 20, 1, 0, 40ms);
  script.request_call(5s, 99, 0);
  AttemptEnded timed_out;
  timed_out.call = CallId{99};
  timed_out.server = ServerId{0};
  timed_out.outcome = Outcome::timed_out;
  timed_out.delay = 3s;
  script.handle(8s, timed_out);
  EXPECT_GT(offer_calls(script, 8s, 50ms, 100, 100).rejected, 80);
}

// Bursts of spillover overload a small server before its first answer is late.
TEST(ServerSelection, LimitsSpilloverToWhatASmallServerProcessesInTime) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  LoadReport report;
  report.free_circuits = report.circuits =
      80.0;  // 10 setups per second; one outstanding setup from each of 5 senders makes a wait of 0.5 s
  script.handle(0s, ServerReport{ServerId{1}, report});
  establish_calls(script, 0s, 100ms, 10, 1, 0, 40ms);
  establish_calls(script, 1s, 100ms, 10, 50, 1, 40ms);
  script.request_call(3s, 99, 0);  // never answered: calls for server 0 spill over
  script.handle(5s, ServerReport{ServerId{1}, report});
  const OfferResult sent = offer_calls(script, 5s, 10ms, 60, 100);
  EXPECT_GE(sent.elsewhere, 1);
  EXPECT_LE(sent.elsewhere, 2);
}

// A setup that later ones overtook is presumed lost, not queued.
TEST(Throttle, IsNotClosedByAnOvertakenSetup) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0)});
  establish_calls(script, 0s, 100ms, 40, 1, 0, 40ms);
  script.request_call(5s, 99, 0);  // never answered
  establish_calls(script, 5100ms, 100ms, 20, 100, 0, 40ms);
  int rejected = 0;
  for (unsigned i = 0; i < 30; ++i) {
    const Duration now = 7200ms + i * 20ms;
    if (has_action<Reject>(script.request_call(now, 200 + i, 0))) ++rejected;
    script.establish(now + 10ms, 200 + i, 0, 10ms);
  }
  EXPECT_EQ(rejected, 0);
}

// Such a server fails at once, and would attract every call until the server list shows that it is gone.
TEST(Throttle, ClosesForAServerThatAcceptsNoConnection) {
  ControllerScript script(make_settings());
  warm_up_servers(script, 2);
  script.request_call(4s, 99, 0);
  EXPECT_TRUE(has_action<SendSetup>(script.end_attempt(4030ms, 99, 0, Outcome::no_connection)));
  script.establish(4080ms, 99, 1, 40ms, 1);
  int to_destination = 0;
  for (unsigned i = 0; i < 40; ++i) {
    const Duration now = 4400ms + i * 50ms;
    const auto setup = find_action<SendSetup>(script.request_call(now, 100 + i, 0));
    if (setup && setup->server == ServerId{0}) ++to_destination;
    if (setup) script.establish(now + 30ms, 100 + i, static_cast<unsigned>(setup->server), 30ms);
    if (to_destination > 0) break;  // an answer would open the throttle
  }
  EXPECT_LE(to_destination, 1);
}

// A minimum of one setup per T_c and sender kept a small server overloaded.
TEST(Throttle, HasAMinimumRateSharedByAllSenders) {
  ControllerScript script(make_settings());
  warm_up_servers(script, 1);
  script.request_call(3s, 99, 0);  // never answered
  offer_calls(script, 6s, 50ms, 20, 100);
  const OfferResult sent =
      offer_calls(script, 7s, 20ms, 1500, 200);  // 30 s at a third of a setup per second: ten
  EXPECT_GE(sent.to_destination, 1);
  EXPECT_LE(sent.to_destination, 24);
}

TEST(Throttle, ExpiresAWaitWithoutNewerSamples) {
  // Guards against a sender that avoids a fallback server for ever after one long wait.
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  establish_calls(script, 0s, 200ms, 20, 1, 0, 40ms);
  LoadReport report;
  report.free_circuits = report.circuits = 80.0;
  script.handle(0s, ServerReport{ServerId{1}, report});
  establish_calls(script, 0s, 200ms, 20, 50, 1, 40ms);
  script.request_call(4s, 99, 1);
  script.establish(6s, 99, 1, 2s);
  script.request_call(6s, 98, 0);  // never answered: server 0 is throttled
  EXPECT_EQ(offer_calls(script, 7500ms, 50ms, 20, 100).elsewhere, 0);
  EXPECT_GE(offer_calls(script, 20s, 200ms, 300, 200).elsewhere, 1);
}

// Fires the timers of a queued call, each early by `early`; returns its last actions and their time.
std::pair<std::vector<Action>, Duration> run_call_timers(ControllerScript& script, Duration now,
                                                         std::vector<Action> actions, Duration early = 0ns) {
  while (const auto timer = find_action<SetTimer>(actions)) {
    now += timer->delay - (timer->delay > early ? early : 0ns);
    actions = script.handle(now, TimerDue{timer->timer});
    if (!actions.empty() && !has_action<SetTimer>(actions)) break;
  }
  return {actions, now};
}

// Queues one throttled call for each of ten seeds and counts those rejected. A rejection must come neither
// before the objective is out of reach nor after it has passed.
int count_rejected_after_queueing(Duration early) {
  int rejected = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ControllerScript script(make_settings(), seed);
    warm_up_servers(script, 1);
    script.request_call(4s, 99, 0);  // never answered
    offer_calls(script, 6s, 20ms, 40, 1000);
    const auto [actions, when] = run_call_timers(script, 7s, script.request_call(7s, 98, 0, 0, 98), early);
    if (!has_action<Reject>(actions)) continue;  // was sent: throttling is random
    ++rejected;
    EXPECT_GE(when, 7s + 600ms);
    EXPECT_LE(when, 7s + 1300ms);  // the latency objective
  }
  return rejected;
}

// A call rejected at once returns as a redial after its latency objective.
TEST(QueuedCall, IsRejectedOnlyWhenItCannotMeetItsLatencyObjective) {
  EXPECT_GE(count_rejected_after_queueing(0ns), 5);
}

TEST(QueuedCall, IsSentWhenTheThrottleOpens) {
  ControllerScript script(make_settings());
  warm_up_servers(script, 1);
  script.request_call(4s, 99, 0);
  offer_calls(script, 6s, 20ms, 40, 1000);
  const auto queued_timer = script.request_call(7s, 98, 0, 0, 98);
  ASSERT_TRUE(has_action<SetTimer>(queued_timer));
  script.establish(7s, 99, 0, 3s);
  for (unsigned id = 1000; id < 1040; ++id) script.establish(7s, id, 0, 30ms);
  EXPECT_TRUE(has_action<SendSetup>(run_call_timers(script, 7s, queued_timer).first));
}

// A clock with a resolution of microseconds rounds down; the call was then left without an answer.
TEST(QueuedCall, GetsItsAnswerWhenATimerFiresEarly) { EXPECT_GE(count_rejected_after_queueing(1us), 5); }

TEST(QueuedCall, IsRejectedAtOnceWhenNoServerIsInService) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0, ServerState::terminating)});
  EXPECT_TRUE(has_action<Reject>(script.request_call(0s, 1)));
}

// Sends 20 setups to server 0; every other one stays unanswered and is overtaken by the next.
void lose_every_other_setup(ControllerScript& script, unsigned first_id) {
  for (unsigned i = 0; i < 20; ++i) {
    script.request_call(4s + i * 80ms, first_id + i, 0);
    if (i % 2 == 1) script.establish(4s + i * 80ms + 40ms, first_id + i, 0, 40ms);
    if (i % 2 == 1) script.end_attempt(4s + i * 80ms + 40ms, first_id + i - 1, 0, Outcome::reset, 0, true);
  }
}

// Hundreds of senders would otherwise stop using every server that loses answers.
TEST(LossDetection, IgnoresOneUnansweredSetupWhereOthersWereOvertaken) {
  ControllerScript script(make_settings());
  warm_up_servers(script, 1);
  lose_every_other_setup(script, 1000);
  script.request_call(6s, 99, 0);  // never answered
  EXPECT_EQ(offer_calls(script, 7s, 50ms, 1, 2000).to_destination, 1);
}

// Overload must still be detected while answers get lost.
TEST(LossDetection, CountsManyUnansweredSetupsAsAWait) {
  ControllerScript script(make_settings());
  warm_up_servers(script, 1);
  lose_every_other_setup(script, 1000);
  for (unsigned id = 90; id < 95; ++id) script.request_call(6s, id, 0);  // none answered
  EXPECT_LE(offer_calls(script, 7s, 20ms, 50, 2000).to_destination, 10);
}

// Guards against a call whose answer is lost staying outstanding until its deadline.
TEST(LossDetection, CancelsAnUnansweredSetupInTimeForARetryWithinTheObjective) {
  ControllerScript script(make_settings());
  warm_up_servers(script, 1);
  lose_every_other_setup(script, 1000);
  const auto timer = find_action<SetTimer>(script.request_call(6s, 99, 0));
  ASSERT_TRUE(timer);
  EXPECT_LE(timer->delay, 1300ms - 250ms);  // latency objective and release guard
  EXPECT_TRUE(has_action<CancelAttempt>(script.handle(6s + timer->delay, TimerDue{timer->timer})));
}

// Cancelling at a slow server would waste the work it has done.
TEST(LossDetection, CancelsNothingWithoutSeenLosses) {
  ControllerScript script(make_settings());
  warm_up_servers(script, 1);
  EXPECT_FALSE(has_action<SetTimer>(script.request_call(6s, 99, 0)));
}

// After a pause of the sender, calls may already be past their latency objective.
TEST(ProcessPause, CallsThatWaitedAreRecognizedByTheirDeadlines) {
  int rejected[2] = {0, 0};
  for (const bool waited : {false, true}) {
    ControllerScript script(make_settings());
    warm_up_servers(script, 1);
    script.request_call(4s, 99, 0);  // never answered
    offer_calls(script, 6s, 20ms, 40, 1000);
    NewCall event;
    event.call = CallId{98};
    event.number = Number{98};
    event.deadline = time_at(8500ms + (waited ? 1600ms : 3s));  // other calls have 3 s
    const auto actions = script.handle(8500ms, event);
    if (has_action<Reject>(actions)) ++rejected[waited];
  }
  EXPECT_EQ(rejected[0], 0);  // queued
  EXPECT_EQ(rejected[1], 1);  // rejected: it arrived 1.4 s before, which is past its objective
}

TEST(PriorityWeight, CallsOfTheLowestWeightAreRejectedFirst) {
  ControllerScript script(make_settings(2));
  script.receive_list(0s, {make_entry(0)});
  establish_calls(script, 0s, 50ms, 100, 1, 0, 40ms);
  script.request_call(5s, 1000, 0);
  int rejected[2] = {0, 0};
  for (unsigned i = 0; i < 200; ++i) {  // 8 of 10 calls are of the class with the lower weight
    const ClassIndex call_class = i % 5 == 0 ? 1 : 0;
    const Duration now = 5250ms + i * 10ms;
    if (!has_action<SendSetup>(script.request_call(now, 2000 + i, 0, call_class, 2000 + i)))
      ++rejected[call_class];
  }
  EXPECT_GT(rejected[0], 20);
  EXPECT_LE(rejected[1] * 4, rejected[0]);
}

// If each of hundreds of senders resumes in full, they keep a small server overloaded.
TEST(Throttle, LimitsTheRecoveryOfHundredsOfSenders) {
  Settings settings = make_settings();
  settings.senders = 250;
  LoadReport report;
  report.circuits = 240.0;  // 30 setups per second, 0.12 for each sender
  report.free_circuits = 0.0;
  int sent = 0;
  for (std::uint32_t i = 0; i < settings.senders; ++i) {
    settings.own_index = i;
    ControllerScript script(settings, i);
    script.receive_list(0s, {make_entry(0)});
    script.handle(0s, ServerReport{ServerId{0}, report});
    report.free_circuits = 100.0;
    script.handle(0s, ServerReport{ServerId{0}, report});
    report.free_circuits = 0.0;
    script.request_call(0s, 1000, 0);
    script.end_attempt(30ms, 1000, 0, Outcome::full, 0, false, FullReason::processor);
    for (unsigned n = 0; n < 10; ++n) {  // 85 per second in all, from 5 s to 34 s, each answered 'full'
      const Duration now = 5s + n * 3s;
      if (!has_action<SendSetup>(script.request_call(now, n, 0))) continue;
      ++sent;
      script.end_attempt(now + 30ms, n, 0, Outcome::full, 0, false, FullReason::processor);
    }
  }
  EXPECT_GE(sent, 30 * 2);   // the server is still probed
  EXPECT_LE(sent, 30 * 16);  // about a third of its capacity, with a margin for randomness
}

// Otherwise all senders compete for the last free circuits.
TEST(FreeCircuits, AreSharedBetweenSendersWhenFew) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0)});
  LoadReport report;
  report.circuits = 80.0;
  report.free_circuits = 4.0;
  script.handle(0s, ServerReport{ServerId{0}, report});
  int sent = 0;
  for (unsigned i = 0; i < 20; ++i) {
    if (has_action<SendSetup>(script.request_call(i * 1ms, i, 0))) ++sent;
  }
  EXPECT_LE(sent, 1);
}

// Dividing the free circuits by the senders made healthy servers unavailable in large fleets.
TEST(FreeCircuits, DoNotLimitHundredsOfSendersWhilePlentiful) {
  Settings settings = make_settings();
  settings.senders = 250;
  ControllerScript script(settings);
  script.receive_list(0s, {make_entry(0)});
  LoadReport report;
  report.circuits = 240.0;
  report.free_circuits = 120.0;
  script.handle(0s, ServerReport{ServerId{0}, report});
  EXPECT_TRUE(has_action<SendSetup>(script.request_call(0s, 1, 0)));
}

// Sampling with equal probability overloads the small servers.
TEST(ServerSelection, SamplesFallbackServersInProportionToTheirCircuits) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(1), make_entry(2)});
  LoadReport report;
  report.free_circuits = report.circuits = 400.0;
  script.handle(0s, ServerReport{ServerId{1}, report});
  report.free_circuits = report.circuits = 40.0;
  script.handle(0s, ServerReport{ServerId{2}, report});
  int small = 0;
  for (unsigned i = 0; i < 110; ++i) {  // the destination does not exist
    const auto setup = find_action<SendSetup>(script.request_call(i * 1ms, i, 0));
    if (setup && setup->server == ServerId{2}) ++small;
  }
  EXPECT_LT(small, 16);
}

TEST(SlowStartLimiter, LimitsASenderToItsShareOfTheBudget) {
  // 80 circuits at 8 s per call: 10 setups per second; 2 x 0.4 x 10 x 2 s = 16 for 5 senders in a window.
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0, ServerState::in_service, time_at(0s))});
  LoadReport report;
  report.circuits = 80.0;
  for (const double free_circuits : {0.0, 80.0}) {  // all circuits were in use before the server's start
    report.free_circuits = free_circuits;
    script.handle(0s, ServerReport{ServerId{0}, report});
  }
  int sent = 0;
  for (unsigned i = 0; i < 60; ++i) {
    if (!has_action<SendSetup>(script.request_call(i * 30ms, i, 0))) continue;
    ++sent;
    script.establish(i * 30ms + 20ms, i, 0, 20ms);
  }
  EXPECT_GE(sent, 1);
  EXPECT_LE(sent, 3);
}

// Simulates `senders` controllers and one server with a queue. The server starts at 0 s with a capacity of 40
// of its 100 setups per second, and reaches 100 after `warm_up_time`. Each sender gets `calls_at_once` calls
// at 0 s, then one per `interval`.
struct StartingServerFleet {
  std::uint32_t senders = 5;
  unsigned calls_at_once = 0;
  Duration interval = 50ms;
  Duration run_time = 11900ms;  // slow start lasts 12 s
  Duration warm_up_time = 1h;

  double capacity(Duration t) const {  // setups per second
    return 40.0 + 60.0 * std::min(1.0, std::chrono::duration<double>(t) / warm_up_time);
  }
  // Runs the simulation and returns the arrival times of setups at the server.
  std::vector<Duration> run() const {
    Settings settings = make_settings();
    settings.senders = senders;
    LoadReport busy;  // before the start: 800 circuits in use at 8 s per call are 100 setups per second
    busy.circuits = 800.0;
    busy.free_circuits = 0.0;
    LoadReport idle = busy;
    idle.free_circuits = 800.0;
    std::vector<ControllerScript> scripts;
    for (std::uint32_t i = 0; i < senders; ++i) {
      settings.own_index = i;
      ControllerScript& script = scripts.emplace_back(settings, i);
      script.receive_list(-1s, {make_entry(0)});
      script.handle(-1s, ServerReport{ServerId{0}, busy});
      script.receive_list(0s, {make_entry(0, ServerState::in_service, time_at(0s))});
      script.handle(0s, ServerReport{ServerId{0}, idle});
    }
    struct QueuedSetup {
      std::uint32_t sender;
      unsigned call;
      Duration sent_at;
    };
    std::deque<QueuedSetup> queue;
    std::vector<Duration> sent;
    double processed = 0.0;
    unsigned id = 0;
    constexpr Duration kStep = 5ms;
    for (Duration now{}; now < run_time; now += kStep) {
      for (std::uint32_t i = 0; i < senders; ++i) {
        const Duration offset = interval * i / senders;  // spreads the calls of the senders evenly
        const bool due = now >= offset && (now - offset) / interval != (now - kStep - offset) / interval;
        for (unsigned n = (now == 0s ? calls_at_once : 0U) + (due ? 1U : 0U); n > 0; --n, ++id) {
          if (!has_action<SendSetup>(scripts[i].request_call(now, id, 0))) continue;
          sent.push_back(now);
          queue.push_back({i, id, now});
        }
      }
      processed =
          queue.empty() ? 0.0 : processed + capacity(now) * std::chrono::duration<double>(kStep).count();
      for (; processed >= 1.0 && !queue.empty(); processed -= 1.0, queue.pop_front()) {
        const Duration answered_at = now + 1ms;
        scripts[queue.front().sender].establish(answered_at, queue.front().call, 0,
                                                answered_at - queue.front().sent_at);
      }
    }
    return sent;
  }
  // Maximum number of setups in any window of 2 s, as a share of the budget: twice the server's capacity at
  // the window's start.
  double max_budget_use() const {
    const std::vector<Duration> sent = run();
    double max_use = 0.0;
    for (auto from = sent.begin(); from != sent.end(); ++from) {
      const auto count = std::upper_bound(from, sent.end(), *from + 2s) - from;
      max_use = std::max(max_use, static_cast<double>(count) / (2.0 * capacity(*from) * 2.0));
    }
    return max_use;
  }
  std::size_t sent_within(Duration from, Duration to) const {
    const std::vector<Duration> sent = run();
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(), [&](const Duration t) { return t >= from && t < to; }));
  }
};

// At least one setup from each sender would be twice the budget.
TEST(SlowStartLimiter, LimitsHundredsOfSendersTogetherToTheBudget) {
  EXPECT_LE((StartingServerFleet{250, 20, 100ms}.max_budget_use()),
            1.0);  // with a burst right after the start
  EXPECT_LE((StartingServerFleet{1000, 20, 500ms}.max_budget_use()), 1.0);
  EXPECT_GE((StartingServerFleet{250, 0, 500ms}.max_budget_use()), 0.375);  // and is not starved
}

TEST(SlowStartLimiter, UsesAtLeastThreeEighthsOfTheBudgetInASmallFleet) {
  EXPECT_LE((StartingServerFleet{5, 20, 50ms}.max_budget_use()), 1.0);
  EXPECT_GE((StartingServerFleet{5, 0, 50ms}.max_budget_use()), 0.375);
}

TEST(SlowStartLimiter, KeepsToTheBudgetAtAnyWarmUpTime) {
  for (const Duration warm_up_time : {Duration(1s), Duration(4s), Duration(14s), Duration(1h)}) {
    for (const std::uint32_t senders : {2U, 7U, 60U}) {
      const StartingServerFleet start{senders, 20, 8ms * senders, 11900ms,
                                      warm_up_time};  // 125 calls per second
      EXPECT_LE(start.max_budget_use(), 1.0) << senders << " senders";
    }
  }
}

// Guards against a fixed share: a server that had warmed up after 4 s got a third of its capacity until the
// end of its 15 s of slow start.
TEST(SlowStartLimiter, FollowsTheAnswersOfAServerThatWarmsUpEarly) {
  const auto sent_late = [](Duration warm_up_time) {
    return StartingServerFleet{6, 0, 75ms, 12s, warm_up_time}.sent_within(8s, 12s);  // 80 calls per second
  };
  EXPECT_GE(sent_late(4s), 280U);  // of 320
  EXPECT_LE(sent_late(1h), 200U);  // its capacity is 160
}

// ---- Server faults

constexpr auto kFault = Outcome::busy_or_fault;

// The third fault in a row is taken to be caused by the call itself.
TEST(Fault, IsRetriedElsewhereAndFinalAtTheThirdAttempt) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  script.request_call(0s, 1, 0);
  const auto second = find_action<SendSetup>(script.end_attempt(30ms, 1, 0, kFault));
  ASSERT_TRUE(second);
  EXPECT_EQ(second->server, ServerId{1});
  ASSERT_TRUE(has_action<SendSetup>(script.end_attempt(60ms, 1, 1, kFault, 1)));
  EXPECT_TRUE(has_action<Fail>(script.end_attempt(90ms, 1, 0, kFault, 2)));
}

TEST(Fault, IsFinalForANonIdempotentCall) {
  ControllerScript script(non_idempotent_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  script.request_call(0s, 1, 0);
  EXPECT_TRUE(has_action<Fail>(script.end_attempt(30ms, 1, 0, kFault)));
}

TEST(Fault, IsFinalAfterTheLatencyObjective) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  script.request_call(0s, 1, 0);
  EXPECT_TRUE(has_action<Fail>(script.end_attempt(1400ms, 1, 0, kFault)));
}

// Requests a call for server 0 that ends with a fault there and is then established at server 1.
void fault_at_server_0(ControllerScript& script, Duration now, unsigned id) {
  ASSERT_EQ(find_action<SendSetup>(script.request_call(now, id, 0, 0, id))->server, ServerId{0});
  script.end_attempt(now + 1ms, id, 0, kFault);
  script.establish(now + 2ms, id, 1, 1ms, 1);
}

TEST(OutlierDetection, AvoidsProbesAndReadmitsAServerWithFaults) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  for (unsigned i = 0; i < 4; ++i) fault_at_server_0(script, i * 10ms, i);  // the last one is the first probe
  EXPECT_EQ(script.ejected(40ms), 1U);
  for (unsigned i = 10; i < 40; ++i) {
    // At most one probe per 500 ms.
    const auto sent = find_action<SendSetup>(script.request_call(40ms + i * 1ms, i, 0, 0, i));
    if (sent->server == ServerId{0}) {
      EXPECT_EQ(i, 10U);
      script.end_attempt(41ms + i * 1ms, i, 0, kFault);
    }
    script.establish(42ms + i * 1ms, i, 1, 1ms, sent->server == ServerId{0} ? 1 : 0);
  }
  // The fault has ended: two established probes readmit the server.
  for (unsigned i = 50; i < 52; ++i) {
    const Duration now = (i - 49) * 600ms;
    ASSERT_EQ(find_action<SendSetup>(script.request_call(now, i, 0, 0, i))->server, ServerId{0});
    script.establish(now + 2ms, i, 0, 2ms);
  }
  EXPECT_EQ(script.ejected(1300ms), 0U);
  for (unsigned i = 60; i < 65; ++i)
    EXPECT_EQ(find_action<SendSetup>(script.request_call(1300ms + i * 1ms, i, 0, 0, i))->server, ServerId{0});
}

// Calls were rejected although the outlier had 230 free circuits.
TEST(OutlierDetection, UsesAnOutlierAsTheLastResort) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  for (unsigned i = 0; i < 4; ++i) fault_at_server_0(script, i * 10ms, i);
  LoadReport full;
  full.free_circuits = 0.0;
  full.circuits = 40.0;
  script.handle(60ms, ServerReport{ServerId{1}, full});
  int sent_to_outlier = 0;
  for (unsigned i = 10; i < 20; ++i) {
    const auto sent = find_action<SendSetup>(script.request_call(60ms + i * 1ms, i, 0, 0, i));
    sent_to_outlier += sent && sent->server == ServerId{0} ? 1 : 0;
  }
  EXPECT_GE(sent_to_outlier, 8);
  // A call that met a fault there is retried there when no other server has a free circuit.
  const auto retry = find_action<SendSetup>(script.end_attempt(90ms, 19, 0, kFault));
  ASSERT_TRUE(retry);
  EXPECT_EQ(retry->server, ServerId{0});
}

TEST(OutlierDetection, IgnoresBusyNumbers) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  for (unsigned i = 0; i < 10; ++i) {
    ASSERT_EQ(find_action<SendSetup>(script.request_call(i * 10ms, i, 0))->server, ServerId{0});
    script.end_attempt(i * 10ms + 1ms, i, 0, kFault, 0, false, FullReason::number_busy);
  }
  EXPECT_EQ(script.ejected(200ms), 0U);
}

// Malformed setups fail at every server and say nothing about the servers.
TEST(OutlierDetection, IgnoresFaultsOfCallsThatFailEverywhere) {
  ControllerScript script(make_settings());
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  for (unsigned i = 0; i < 20; ++i) {
    unsigned server = 0;
    auto sent = find_action<SendSetup>(script.request_call(i * 10ms, i, 0, 0, i));
    for (int attempt = 0; sent; ++attempt) {
      server = static_cast<unsigned>(sent->server);
      sent = find_action<SendSetup>(script.end_attempt(i * 10ms + 1ms, i, server, kFault, attempt));
    }
  }
  EXPECT_EQ(script.ejected(200ms), 0U);
}

// ---- Changed settings

TEST(SettingsChanged, OpenCallsKeepTheirMaxAttemptsAndServersTheirEstimates) {
  Settings settings = make_settings(2);
  ControllerScript script(settings);
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  script.request_call(0s, 1, 0);
  settings.max_attempts = 1;
  script.handle(10ms, SettingsChanged{settings});
  EXPECT_TRUE(
      has_action<SendSetup>(script.end_attempt(20ms, 1, 0, Outcome::full, 0, false, FullReason::processor)));
  // The report of a full processor at server 0 is still known, and a new call has one attempt.
  EXPECT_EQ(script.ejected(30ms), 1U);
  ASSERT_TRUE(has_action<SendSetup>(script.request_call(30ms, 2, 1, 1)));
  EXPECT_TRUE(
      has_action<Fail>(script.end_attempt(40ms, 2, 1, Outcome::full, 0, false, FullReason::no_circuit)));
}

TEST(SettingsChanged, CallsOfANewClassAreAccepted) {
  Settings settings = make_settings(1);
  ControllerScript script(settings);
  script.receive_list(0s, {make_entry(0), make_entry(1)});
  EXPECT_TRUE(has_action<Reject>(script.request_call(0s, 1, 0, 1)));
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].open_pools = {Pool{1}};
  script.handle(10ms, SettingsChanged{settings});
  EXPECT_EQ(find_action<SendSetup>(script.request_call(20ms, 2, 0, 1))->server, ServerId{1});
}

}  // namespace
}  // namespace graniterun::test
