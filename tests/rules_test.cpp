// The five rules under random legal event sequences with fixed seeds.
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

// Plays random outcomes, lists, reports and restarts to one controller and holds every action against the
// rules.
class RandomDay {
 public:
  RandomDay(Settings settings, std::uint64_t seed)
      : settings_(settings), draw_(seed), controller_(settings, seed) {}

  void play(Duration length) {
    for (unsigned s = 0; s < 3; ++s) listed_[s] = entry(s);
    send_list(ListKind::cached);
    for (; now_ < length; now_ += kStep) step(true);
    for (; now_ < length + 5s; now_ += kStep) step(false);
    EXPECT_TRUE(calls_.empty()) << calls_.size() << " calls never answered";
    EXPECT_GT(answered_, 0);
    EXPECT_GT(sent_, 0);
  }

  int sent() const { return sent_; }

 private:
  struct Out {
    int attempt;
    unsigned server;
    Time since;
    Time give_up;
    bool stands = false;
  };
  struct Known {
    Time deadline;
    int attempts = 0;
    bool over = false;
    bool may_have_run = false;
    std::optional<Out> out;
    std::optional<Time> not_before;
  };

  bool chance(double p) { return static_cast<double>(draw_() >> 11) * 0x1.0p-53 < p; }

  void step(bool arrivals) {
    for (auto due = timers_.begin(); due != timers_.end() && due->first <= at(now_);) {
      const TimerId timer = due->second;
      due = timers_.erase(due);
      tell(TimerDue{timer});
    }
    if (arrivals && chance(0.15)) arrive();
    if (arrivals && chance(0.004)) change_list();
    if (chance(0.01)) report();
    std::vector<std::uint64_t> ids;
    for (const auto& [id, call] : calls_) ids.push_back(id);
    for (const std::uint64_t id : ids) advance(id);
  }

  void arrive() {
    NewCall e;
    e.call = CallId{++last_call_};
    e.call_class = draw_() % settings_.classes.size();
    e.number = Number{draw_() % 5};
    e.destination = Pool{static_cast<std::int64_t>(draw_() % 4)};
    e.deadline = at(now_ + std::chrono::milliseconds(100 + draw_() % 3000));
    calls_[last_call_].deadline = e.deadline;
    tell(e);
  }

  void advance(std::uint64_t id) {
    Known& call = calls_.at(id);
    if (!call.over && !(call.out && call.out->stands)) {
      ASSERT_LE(at(now_), call.deadline + settings_.answer_slack + kStep) << "call " << id << " is overdue";
      if (chance(0.0005)) {
        call.over = true;
        tell(CallerDisconnected{CallId{id}});
      }
    }
    if (!call.out) {
      if (call.over) calls_.erase(id);
      return;
    }
    Out& out = *call.out;
    const bool late = at(now_) >= std::min(out.give_up, call.deadline);
    if (out.stands) {
      if (chance(0.01)) end(id, chance(0.3) ? Outcome::reset : Outcome::ok, true);
    } else if (late) {
      end(id, Outcome::timed_out, call.over);
    } else if (!call.over && chance(trouble_ ? 0.002 : 0.05)) {
      out.stands = true;
      tell(CallEstablished{CallId{id}, out.attempt, ServerId{out.server}, at(now_) - out.since});
    } else if (chance(trouble_ ? 0.02 : 0.005)) {
      constexpr Outcome kEnds[] = {Outcome::full, Outcome::no_connection, Outcome::reset, Outcome::not_sent,
                                   Outcome::busy_or_fault};
      end(id, kEnds[draw_() % 5], call.over);
    }
    if (chance(0.0005)) trouble_ = !trouble_;
  }

  void end(std::uint64_t id, Outcome outcome, bool over) {
    Known& call = calls_.at(id);
    AttemptEnded e;
    e.call = CallId{id};
    e.attempt = call.out->attempt;
    e.server = ServerId{call.out->server};
    e.outcome = outcome;
    e.delay = at(now_) - call.out->since;
    e.call_finished = over;
    if (outcome == Outcome::full) e.reason = chance(0.5) ? FullReason::processor : FullReason::no_circuit;
    if (outcome == Outcome::busy_or_fault && chance(0.5)) e.reason = FullReason::number_busy;
    if (outcome == Outcome::timed_out || outcome == Outcome::reset || outcome == Outcome::cancelled) {
      call.not_before = at(now_) + settings_.release_guard;
    }
    if (outcome != Outcome::full && outcome != Outcome::no_connection && outcome != Outcome::not_sent) {
      call.may_have_run = true;
    }
    call.out.reset();
    if (over) call.over = true;
    tell(e);
  }

  void change_list() {
    const unsigned server = static_cast<unsigned>(draw_() % 3);
    ServerEntry& e = listed_[server];
    if (e.state != ServerState::in_service || chance(0.3)) {
      e = entry(server, ServerState::in_service, at(now_ - std::chrono::milliseconds(draw_() % 2000)));
    } else {
      e.state = chance(0.5) ? ServerState::terminating : ServerState::terminated;
      told_[server] = at(now_);
    }
    if (e.state == ServerState::in_service) told_.erase(server);
    send_list(chance(0.3) ? ListKind::all : ListKind::changes);
  }

  void send_list(ListKind kind) {
    ServerList list{kind, {}};
    for (const auto& [server, e] : listed_) {
      if (kind != ListKind::changes && e.state == ServerState::terminated) continue;
      list.entries.push_back(e);
    }
    tell(list);
  }

  void report() {
    LoadReport r;
    r.free_circuits = static_cast<double>(draw_() % 3);
    if (chance(0.5)) r.wait = std::chrono::milliseconds(draw_() % 2000);
    if (chance(0.5)) r.allowed_per_s = static_cast<double>(draw_() % 50);
    tell(ServerReport{ServerId{static_cast<unsigned>(draw_() % 4)}, r});
    if (!settings_.may_notify_peers) return;
    PeerMessage note{1, {}};
    for (auto n = draw_() % 20; n > 0; --n) note.bytes.push_back(static_cast<std::uint8_t>(draw_()));
    tell(note);
  }

  void tell(const Event& event) {
    std::vector<Action> actions;
    controller_.handle(at(now_), event, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { check(a); }, action);
  }

  void check(const SendSetup& a) {
    ++sent_;
    const auto it = calls_.find(static_cast<std::uint64_t>(a.call));
    ASSERT_NE(it, calls_.end());
    Known& call = it->second;
    const auto server = static_cast<unsigned>(a.server);
    EXPECT_FALSE(call.over) << "sent after its final answer";
    EXPECT_FALSE(call.out) << "two attempts out";
    EXPECT_LT(at(now_), call.deadline);
    EXPECT_LT(call.attempts, settings_.max_attempts);
    if (call.not_before) {
      EXPECT_GE(at(now_), *call.not_before) << "the release was not awaited";
    }
    ASSERT_TRUE(listed_.count(server));
    if (told_.count(server)) {
      EXPECT_LE(at(now_), told_[server] + settings_.drain_grace) << "sent to a draining server";
    }
    const auto& since = listed_[server].online_since;
    if (since && at(now_) < *since + settings_.slow_start_duration) {
      // Reports tell 50 set-ups a second at most, calls come at 30 a second to each of 5 senders: a fifth of
      // twice what either makes in a window of 2 s.
      auto& window = cold_[server];
      window.push_back(at(now_));
      while (at(now_) - window.front() > settings_.overload_window) window.pop_front();
      EXPECT_LE(window.size(), 2 * 50 * 2 / 5) << "a cold server was pushed";
    }
    call.out = Out{call.attempts++, server, at(now_), a.deadline};
  }
  void check(const Reject& a) {
    const Known& call = calls_.at(static_cast<std::uint64_t>(a.call));
    if (settings_.classes[0].idempotency != Idempotency::idempotent) {
      EXPECT_FALSE(call.may_have_run) << "a call that may have run was refused";
    }
    answer(a.call);
  }
  void check(const Fail& a) { answer(a.call); }
  void check(const CancelAttempt& a) { EXPECT_TRUE(calls_.count(static_cast<std::uint64_t>(a.call))); }
  void check(const SetTimer& a) {
    EXPECT_GT(a.delay, Duration{0});
    timers_.emplace(at(now_) + a.delay, a.timer);
  }
  void check(const NotifyPeers& a) {
    EXPECT_TRUE(settings_.may_notify_peers);
    EXPECT_LE(a.bytes.size(), 256U);
  }
  void check(const FollowList&) { EXPECT_EQ(settings_.discovery, Discovery::on_request); }

  void answer(CallId id) {
    Known& call = calls_.at(static_cast<std::uint64_t>(id));
    EXPECT_FALSE(call.over) << "answered twice";
    EXPECT_FALSE(call.out && !call.out->stands) << "answered with an attempt out";
    call.over = true;
    ++answered_;
  }

  Settings settings_;
  std::mt19937_64 draw_;
  Controller controller_;
  Duration now_{0};
  std::uint64_t last_call_ = 0;
  bool trouble_ = false;
  int sent_ = 0;
  int answered_ = 0;
  std::map<std::uint64_t, Known> calls_;
  std::map<unsigned, ServerEntry> listed_;
  std::map<unsigned, Time> told_;
  std::map<unsigned, std::deque<Time>> cold_;
  std::multimap<Time, TimerId> timers_;
};

class Rules : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Rules, HoldOnARandomDay) {
  RandomDay day(settings_with(2), GetParam());
  day.play(40s);
}

TEST_P(Rules, HoldForCallsThatMayRunOnlyOnce) {
  Settings settings = settings_with(1);
  settings.classes[0].idempotency = Idempotency::non_idempotent;
  RandomDay day(settings, GetParam() + 1000);
  day.play(20s);
}

TEST_P(Rules, HoldWithPeersAndReports) {
  Settings settings = settings_with(2);
  settings.may_notify_peers = true;
  settings.processor_reports = ProcessorReports::answers;
  settings.callers_flag_redial = true;
  RandomDay day(settings, GetParam() + 2000);
  day.play(20s);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Rules, testing::Range<std::uint64_t>(1, 9));

TEST(Determinism, TheSameEventsGiveTheSameActions) {
  RandomDay one(settings_with(2), 5);
  RandomDay two(settings_with(2), 5);
  one.play(10s);
  two.play(10s);
  EXPECT_EQ(one.sent(), two.sent());
}

}  // namespace
}  // namespace graniterun::test
