// Property tests of the controller: random valid event sequences with fixed seeds, every action checked
// against the deployment's rules.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

#include "graniterun/controller.h"
#include "harness.h"

namespace graniterun::test {
namespace {

constexpr Duration kStep = 5ms;

// Generates random calls, outcomes, lists, reports and restarts for one controller, and checks every action
// against the rules: one final answer by the deadline, one attempt at a time, the release guard, no setups to
// draining servers, and the slow-start budget.
class RandomScenario {
 public:
  RandomScenario(Settings settings, std::uint64_t seed)
      : settings_(settings), random_(seed), controller_(settings, seed) {}

  void run(Duration length) {
    for (unsigned server = 0; server < 3; ++server) listed_[server] = make_entry(server);
    send_list(ListKind::cached);
    for (; now_ < length; now_ += kStep) step(true);
    for (; now_ < length + 5s; now_ += kStep) step(false);
    EXPECT_TRUE(calls_.empty()) << calls_.size() << " calls never answered";
    EXPECT_GT(answered_, 0);
    EXPECT_GT(sent_, 0);
  }

  int sent() const { return sent_; }

 private:
  struct OutstandingAttempt {
    int index;
    unsigned server;
    Time sent_at;
    Time deadline;
    bool established = false;
  };
  struct CallState {
    Time deadline;
    int attempts = 0;
    bool finished = false;
    bool may_have_run = false;
    std::optional<OutstandingAttempt> attempt;
    std::optional<Time> release_guard_until;
  };

  bool chance(double p) { return static_cast<double>(random_() >> 11) * 0x1.0p-53 < p; }

  void step(bool arrivals) {
    for (auto due = timers_.begin(); due != timers_.end() && due->first <= time_at(now_);) {
      const TimerId timer = due->second;
      due = timers_.erase(due);
      deliver(TimerDue{timer});
    }
    if (arrivals && chance(0.15)) request_call();
    if (arrivals && chance(0.004)) change_list();
    if (chance(0.01)) send_report();
    std::vector<std::uint64_t> ids;
    for (const auto& [id, call] : calls_) ids.push_back(id);
    for (const std::uint64_t id : ids) advance(id);
  }

  void request_call() {
    NewCall event;
    event.call = CallId{++last_call_};
    event.call_class = random_() % settings_.classes.size();
    event.number = Number{random_() % 5};
    event.destination = Pool{static_cast<std::int64_t>(random_() % 4)};
    event.deadline = time_at(now_ + std::chrono::milliseconds(100 + random_() % 3000));
    calls_[last_call_].deadline = event.deadline;
    deliver(event);
  }

  void advance(std::uint64_t id) {
    CallState& call = calls_.at(id);
    if (!call.finished && !(call.attempt && call.attempt->established)) {
      ASSERT_LE(time_at(now_), call.deadline + settings_.answer_slack + kStep)
          << "call " << id << " is overdue";
      if (chance(0.0005)) {
        call.finished = true;
        deliver(CallerDisconnected{CallId{id}});
      }
    }
    if (!call.attempt) {
      if (call.finished) calls_.erase(id);
      return;
    }
    OutstandingAttempt& attempt = *call.attempt;
    const bool timed_out = time_at(now_) >= std::min(attempt.deadline, call.deadline);
    if (attempt.established) {
      if (chance(0.01)) end_attempt(id, chance(0.3) ? Outcome::reset : Outcome::ok, true);
    } else if (timed_out) {
      end_attempt(id, Outcome::timed_out, call.finished);
    } else if (!call.finished && chance(degraded_ ? 0.002 : 0.05)) {
      attempt.established = true;
      deliver(CallEstablished{CallId{id}, attempt.index, ServerId{attempt.server},
                              time_at(now_) - attempt.sent_at});
    } else if (chance(degraded_ ? 0.02 : 0.005)) {
      constexpr Outcome kOutcomes[] = {Outcome::full, Outcome::no_connection, Outcome::reset,
                                       Outcome::not_sent, Outcome::busy_or_fault};
      end_attempt(id, kOutcomes[random_() % 5], call.finished);
    }
    if (chance(0.0005)) degraded_ = !degraded_;
  }

  void end_attempt(std::uint64_t id, Outcome outcome, bool finished) {
    CallState& call = calls_.at(id);
    AttemptEnded event;
    event.call = CallId{id};
    event.attempt = call.attempt->index;
    event.server = ServerId{call.attempt->server};
    event.outcome = outcome;
    event.delay = time_at(now_) - call.attempt->sent_at;
    event.call_finished = finished;
    if (outcome == Outcome::full) event.reason = chance(0.5) ? FullReason::processor : FullReason::no_circuit;
    if (outcome == Outcome::busy_or_fault && chance(0.5)) event.reason = FullReason::number_busy;
    if (outcome == Outcome::timed_out || outcome == Outcome::reset || outcome == Outcome::cancelled) {
      call.release_guard_until = time_at(now_) + settings_.release_guard;
    }
    if (outcome != Outcome::full && outcome != Outcome::no_connection && outcome != Outcome::not_sent) {
      call.may_have_run = true;
    }
    call.attempt.reset();
    if (finished) call.finished = true;
    deliver(event);
  }

  void change_list() {
    const unsigned server = static_cast<unsigned>(random_() % 3);
    ServerEntry& entry = listed_[server];
    if (entry.state != ServerState::in_service || chance(0.3)) {
      entry = make_entry(server, ServerState::in_service,
                         time_at(now_ - std::chrono::milliseconds(random_() % 2000)));
    } else {
      entry.state = chance(0.5) ? ServerState::terminating : ServerState::terminated;
      drained_at_[server] = time_at(now_);
    }
    if (entry.state == ServerState::in_service) drained_at_.erase(server);
    send_list(chance(0.3) ? ListKind::all : ListKind::changes);
  }

  void send_list(ListKind kind) {
    ServerList list{kind, {}};
    for (const auto& [server, entry] : listed_) {
      if (kind != ListKind::changes && entry.state == ServerState::terminated) continue;
      list.entries.push_back(entry);
    }
    deliver(list);
  }

  void send_report() {
    LoadReport report;
    report.free_circuits = static_cast<double>(random_() % 3);
    if (chance(0.5)) report.wait = std::chrono::milliseconds(random_() % 2000);
    if (chance(0.5)) report.allowed_per_s = static_cast<double>(random_() % 50);
    deliver(ServerReport{ServerId{static_cast<unsigned>(random_() % 4)}, report});
    if (!settings_.may_notify_peers) return;
    PeerMessage message{1, {}};
    for (auto n = random_() % 20; n > 0; --n) message.bytes.push_back(static_cast<std::uint8_t>(random_()));
    deliver(message);
  }

  void deliver(const Event& event) {
    std::vector<Action> actions;
    controller_.handle(time_at(now_), event, actions);
    for (const Action& action : actions)
      std::visit([this](const auto& alternative) { check(alternative); }, action);
  }

  void check(const SendSetup& action) {
    ++sent_;
    const auto it = calls_.find(static_cast<std::uint64_t>(action.call));
    ASSERT_NE(it, calls_.end());
    CallState& call = it->second;
    const auto server = static_cast<unsigned>(action.server);
    EXPECT_FALSE(call.finished) << "sent after the final answer";
    EXPECT_FALSE(call.attempt) << "second attempt while one is outstanding";
    EXPECT_LT(time_at(now_), call.deadline);
    EXPECT_LT(call.attempts, settings_.max_attempts);
    if (call.release_guard_until) {
      EXPECT_GE(time_at(now_), *call.release_guard_until) << "sent within the release guard";
    }
    ASSERT_TRUE(listed_.count(server));
    if (drained_at_.count(server)) {
      EXPECT_LE(time_at(now_), drained_at_[server] + settings_.drain_grace) << "sent to a draining server";
    }
    const auto& online_since = listed_[server].online_since;
    if (online_since && time_at(now_) < *online_since + settings_.slow_start_duration) {
      // Servers report at most 50 setups per second, and each of 5 senders gets 30 calls per second. The
      // limit is a fifth of the overload multiple (2) times the higher of the two rates, over the window of 2
      // s.
      auto& window = slow_start_sends_[server];
      window.push_back(time_at(now_));
      while (time_at(now_) - window.front() > settings_.overload_window) window.pop_front();
      EXPECT_LE(window.size(), 2 * 50 * 2 / 5) << "slow-start budget exceeded";
    }
    call.attempt = OutstandingAttempt{call.attempts++, server, time_at(now_), action.deadline};
  }
  void check(const Reject& action) {
    const CallState& call = calls_.at(static_cast<std::uint64_t>(action.call));
    if (settings_.classes[0].idempotency != Idempotency::idempotent) {
      EXPECT_FALSE(call.may_have_run) << "a call that may have run was rejected";
    }
    answer(action.call);
  }
  void check(const Fail& action) { answer(action.call); }
  void check(const CancelAttempt& action) {
    EXPECT_TRUE(calls_.count(static_cast<std::uint64_t>(action.call)));
  }
  void check(const SetTimer& action) {
    EXPECT_GT(action.delay, Duration{0});
    timers_.emplace(time_at(now_) + action.delay, action.timer);
  }
  void check(const NotifyPeers& action) {
    EXPECT_TRUE(settings_.may_notify_peers);
    EXPECT_LE(action.bytes.size(), 256U);
  }
  void check(const RequestServerList&) { EXPECT_EQ(settings_.discovery, Discovery::on_request); }

  void answer(CallId id) {
    CallState& call = calls_.at(static_cast<std::uint64_t>(id));
    EXPECT_FALSE(call.finished) << "answered twice";
    EXPECT_FALSE(call.attempt && !call.attempt->established) << "answered while an attempt was outstanding";
    call.finished = true;
    ++answered_;
  }

  Settings settings_;
  std::mt19937_64 random_;
  Controller controller_;
  Duration now_{0};
  std::uint64_t last_call_ = 0;
  bool degraded_ = false;
  int sent_ = 0;
  int answered_ = 0;
  std::map<std::uint64_t, CallState> calls_;
  std::map<unsigned, ServerEntry> listed_;
  std::map<unsigned, Time> drained_at_;
  std::map<unsigned, std::deque<Time>> slow_start_sends_;
  std::multimap<Time, TimerId> timers_;
};

class Rules : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Rules, HoldInARandomScenario) {
  RandomScenario scenario(make_settings(2), GetParam());
  scenario.run(40s);
}

TEST_P(Rules, HoldForCallsThatMayRunOnlyOnce) {
  Settings settings = make_settings(1);
  settings.classes[0].idempotency = Idempotency::non_idempotent;
  RandomScenario scenario(settings, GetParam() + 1000);
  scenario.run(20s);
}

TEST_P(Rules, HoldWithPeerMessagesAndReports) {
  Settings settings = make_settings(2);
  settings.may_notify_peers = true;
  settings.processor_reports = ProcessorReports::answers;
  settings.callers_flag_redial = true;
  RandomScenario scenario(settings, GetParam() + 2000);
  scenario.run(20s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Rules, testing::Range<std::uint64_t>(1, 9));

TEST(Determinism, EqualEventsAndSeedsGiveEqualActions) {
  RandomScenario first(make_settings(2), 5);
  RandomScenario second(make_settings(2), 5);
  first.run(10s);
  second.run(10s);
  EXPECT_EQ(first.sent(), second.sent());
}

}  // namespace
}  // namespace graniterun::test
