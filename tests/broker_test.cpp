// Tests of core::Broker: its invariants hold whatever actions the decision function returns, retry-after
// values, budgets and the example deploy file.
#include "core/broker.h"

#include <cmath>
#include <fstream>
#include <random>

#include "check.h"
#include "lab.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

constexpr Time kStart{1'000'000s};

core::RequestReceived request(std::uint64_t number, Time deadline, const std::string& team = {}) {
  core::RequestReceived e;
  e.request.call = core::call_id(core::FrontEnd::platform, number);
  e.request.correlation_id = std::to_string(number);
  e.request.team = team;
  e.request.deadline = deadline;
  return e;
}

core::ServersChanged servers(std::vector<ServerEntry> entries) {
  return {{ListKind::changes, std::move(entries)}};
}

ServerEntry server(std::uint32_t id, ServerState state, std::optional<Time> since = {}) {
  return {ServerId{id}, Zone{0}, Pool{id}, state, 1.0, since};
}

// The decision function answers every event with random actions: for known and unknown calls, to draining
// servers, twice at once, too early, or none at all.
void random_decisions_violate_no_invariant() {
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    std::mt19937 random(seed);
    std::uint64_t last = 0;
    Time now = kStart;
    const auto decide_randomly = [&](Time, const Event&, std::vector<Action>& actions) {
      for (std::uint32_t i = 0; i < random() % 3; ++i) {
        const CallId call =
            core::call_id(core::FrontEnd::platform, last - std::min<std::uint64_t>(last, random() % 6));
        switch (random() % 8) {
          case 0:
            actions.push_back(Reject{call, 1s});
            break;
          case 1:
            actions.push_back(Fail{call});
            break;
          case 2:
            actions.push_back(CancelAttempt{call, static_cast<int>(random() % 3)});
            break;
          case 3:
            actions.push_back(SetTimer{std::chrono::milliseconds(random() % 300), TimerId{random() % 50}});
            break;
          default:
            actions.push_back(SendSetup{call, ServerId{static_cast<std::uint32_t>(random() % 5)}, now + 5s});
        }
      }
    };
    Counters counters;
    const Settings settings = config_for_tests().settings;
    core::Broker broker(settings, decide_randomly, core::Contracts{}, counters);
    struct Call {
      Time deadline{};
      int final_answers = 0;
      std::optional<int> outstanding{};  // index of the outstanding attempt
      ServerId server{};
      std::optional<Time> guard_started_at{};  // end of the last attempt that was reset or cancelled
      int attempts = 0;
      bool established = false;
      bool cancelled = false;
    };
    std::map<CallId, Call> calls;
    std::map<ServerId, ServerState> states;
    std::multimap<Time, std::uint64_t> timers;
    std::map<ServerId, std::deque<Time>> sent_to;  // within the last overload window
    double peak_sends = 0.0;                       // maximum at a server after slow start
    std::deque<Time> established_in_slow_start;    // calls at server 3, within the last overload window
    std::vector<std::pair<CallId, int>> abandoned;
    const auto step_broker = [&](const core::Event& event) {
      core::Effects effects;
      broker.step(now, event, effects);
      for (const core::Effect& effect : effects) {
        if (const auto* e = std::get_if<core::StartAttempt>(&effect)) {
          Call& c = calls.at(e->request->call);
          CHECK(!c.outstanding && c.final_answers == 0 && !c.cancelled && now < c.deadline);
          CHECK(++c.attempts <= settings.max_attempts);
          CHECK(!c.guard_started_at || now - *c.guard_started_at >= settings.release_guard);
          CHECK(states[e->server] == ServerState::in_service);
          c.outstanding = e->attempt;
          c.server = e->server;
          std::deque<Time>& sends = sent_to[e->server];
          sends.push_back(now);
          while (now - sends.front() > settings.overload_window) sends.pop_front();
          const auto count = static_cast<double>(sends.size());
          if (e->server == ServerId{3}) {
            while (!established_in_slow_start.empty() &&
                   now - established_in_slow_start.front() > settings.overload_window)
              established_in_slow_start.pop_front();
            const double capacity = std::max(settings.slow_start_fraction * peak_sends,
                                             static_cast<double>(established_in_slow_start.size()));
            CHECK(count <= std::ceil(std::max(4.0, settings.overload_multiple * capacity)));
          } else {
            peak_sends = std::max(peak_sends, count);
          }
        } else if (const auto* a = std::get_if<core::AbandonAttempt>(&effect)) {
          CHECK(calls.at(a->request->call).outstanding == a->attempt);
          abandoned.emplace_back(a->request->call, a->attempt);
        } else if (const auto* s = std::get_if<core::AnswerCaller>(&effect)) {
          CHECK_EQ(++calls.at(s->call).final_answers, 1);
        } else if (const auto* t = std::get_if<core::RejectRequest>(&effect)) {
          CHECK_EQ(++calls.at(t->call).final_answers, 1);
          CHECK(!calls.at(t->call).cancelled && now <= calls.at(t->call).deadline);
        } else if (const auto* p = std::get_if<core::ForwardRelease>(&effect)) {
          // A forwarded release is a final answer, so it must not be sent for an open call.
          const auto it = calls.find(core::call_id(core::FrontEnd::platform, std::stoull(p->correlation_id)));
          CHECK(it == calls.end() || it->second.final_answers == 1 || it->second.cancelled);
        } else if (const auto* al = std::get_if<core::ArmTimer>(&effect)) {
          timers.emplace(al->at, al->timer);
        }
      }
    };
    const auto end_attempt = [&](CallId id, Outcome outcome, bool late_success = false) {
      Call& c = calls.at(id);
      const int attempt = *std::exchange(c.outstanding, std::nullopt);
      if (outcome == Outcome::reset || outcome == Outcome::cancelled) c.guard_started_at = now;
      core::AttemptFinished finished;
      finished.call = id;
      finished.attempt = attempt;
      finished.outcome = outcome;
      finished.late_success = late_success;
      step_broker(finished);
      if (late_success) CHECK(c.final_answers == 1 || c.cancelled);
    };
    for (std::uint32_t id = 0; id < 3; ++id) {
      states[ServerId{id}] = ServerState::in_service;
      step_broker(servers({server(id, ServerState::in_service)}));
    }
    states[ServerId{3}] = ServerState::in_service;
    step_broker(servers({server(3, ServerState::in_service, kStart)}));  // in slow start throughout
    for (int step = 0; step < 600; ++step) {
      const Time until = now + std::chrono::milliseconds(random() % 40);
      while (!timers.empty() && timers.begin()->first <= until) {
        now = std::max(now, timers.begin()->first);
        const std::uint64_t timer = timers.begin()->second;
        timers.erase(timers.begin());
        step_broker(core::TimerExpired{timer});
      }
      now = until;
      for (const auto& [id, attempt] : std::exchange(abandoned, {})) {
        if (calls.at(id).outstanding == attempt) end_attempt(id, Outcome::cancelled, random() % 4 == 0);
      }
      if (random() % 8 == 0) {  // a release that belongs to no open attempt
        const std::uint64_t number = last - std::min<std::uint64_t>(last, random() % 8);
        const auto it = calls.find(core::call_id(core::FrontEnd::platform, number));
        const bool open = it != calls.end() && it->second.final_answers == 0 && !it->second.cancelled;
        const bool outstanding = open && it->second.outstanding.has_value();
        step_broker(core::ServerReleased{std::to_string(number), 16, random() % 2 == 0});
        if (open && !outstanding) CHECK_EQ(it->second.final_answers, 1);
        if (outstanding) CHECK_EQ(it->second.final_answers, 0);
      }
      const std::uint32_t pick = random() % 10;
      if (pick < 4) {
        const Time deadline = now + std::chrono::milliseconds(1 + random() % 2000);
        calls[core::call_id(core::FrontEnd::platform, ++last)].deadline = deadline;
        step_broker(request(last, deadline));
      } else if (pick == 4) {
        const ServerId id{static_cast<std::uint32_t>(random() % 3)};
        states[id] = random() % 2 == 0 ? ServerState::in_service : ServerState::terminating;
        step_broker(servers({server(static_cast<std::uint32_t>(id), states[id])}));
      } else if (!calls.empty()) {
        auto it = calls.begin();
        std::advance(it, random() % calls.size());
        Call& c = it->second;
        if (pick == 5 && c.final_answers == 0 && !c.cancelled) {
          c.cancelled = true;
          step_broker(core::RequestCancelled{it->first});
        } else if (c.outstanding && !c.established && pick < 8) {
          constexpr Outcome kOutcomes[] = {Outcome::full, Outcome::reset, Outcome::busy_or_fault,
                                           Outcome::no_connection};
          end_attempt(it->first, kOutcomes[random() % 4]);
        } else if (c.outstanding && !c.established && c.final_answers == 0 && !c.cancelled) {
          c.established = true;
          if (c.server == ServerId{3}) established_in_slow_start.push_back(now);
          step_broker(core::AttemptEstablished{it->first, *c.outstanding, "a"});
          c.established = c.final_answers == 1;
          if (!c.established) c.outstanding.reset();
        } else if (c.outstanding && c.established) {
          end_attempt(it->first, Outcome::ok);
        }
      }
    }
    while (!timers.empty()) {
      now = std::max(now, timers.begin()->first);
      const std::uint64_t timer = timers.begin()->second;
      timers.erase(timers.begin());
      if (now < kStart + 60s) step_broker(core::TimerExpired{timer});
    }
    for (const auto& [id, c] : calls) CHECK_EQ(c.final_answers, c.cancelled ? 0 : 1);
    CHECK_EQ(broker.unanswered(), 0U);
  }
}

// Guards against losing the retry-after of a server with a full processor, in which case the Controller
// assumes 2 s.
void retry_after_of_a_full_server_reaches_the_controller() {
  std::optional<Duration> retry_after;
  const auto decide = [&](Time now, const Event& event, std::vector<Action>& actions) {
    if (const auto* e = std::get_if<NewCall>(&event))
      actions.push_back(SendSetup{e->call, ServerId{0}, now + 5s});
    if (const auto* e = std::get_if<AttemptEnded>(&event)) retry_after = e->retry_after;
  };
  Counters counters;
  core::Broker broker(config_for_tests().settings, decide, core::Contracts{}, counters);
  core::Effects effects;
  broker.step(kStart, servers({server(0, ServerState::in_service)}), effects);
  broker.step(kStart, request(1, kStart + 5s), effects);
  core::AttemptFinished finished;
  finished.call = core::call_id(core::FrontEnd::platform, 1);
  finished.outcome = Outcome::full;
  finished.reason = FullReason::processor;
  finished.retry_after = 2900ms;
  broker.step(kStart + 30ms, finished, effects);
  CHECK(retry_after == Duration(2900ms));
}

// Guards against limiting a server in slow start to four sends per overload window although it answers
// immediately: it then stays idle until the end of slow start.
void servers_in_slow_start_get_more_sends_once_they_answer() {
  const auto send_every_call = [](Time now, const Event& event, std::vector<Action>& actions) {
    if (const auto* e = std::get_if<NewCall>(&event))
      actions.push_back(SendSetup{e->call, ServerId{0}, now + 5s});
  };
  const Settings settings = config_for_tests().settings;
  const auto sent_of_40 = [&](bool answers) {
    Counters counters;
    core::Broker broker(settings, send_every_call, core::Contracts{}, counters);
    core::Effects effects;
    broker.step(kStart, servers({server(0, ServerState::in_service, kStart)}), effects);
    int sent = 0;
    for (std::uint64_t call = 1; call <= 40; ++call) {
      const Time now = kStart + call * settings.overload_window / 10;
      effects.clear();
      broker.step(now, request(call, now + 5s), effects);
      const bool was_sent = std::any_of(effects.begin(), effects.end(), [](const core::Effect& effect) {
        return std::holds_alternative<core::StartAttempt>(effect);
      });
      if (!was_sent) continue;
      ++sent;
      if (!answers) continue;
      core::Effects ignored;
      broker.step(now + 20ms, core::AttemptEstablished{core::call_id(core::FrontEnd::platform, call), 0, "a"},
                  ignored);
    }
    return sent;
  };
  CHECK_EQ(sent_of_40(true), 40);
  CHECK(sent_of_40(false) <= 16);
}

// Guards against a default retry-after of 500 ms where the settings say that callers honor less.
void default_retry_after_is_limited_by_the_settings() {
  const auto decide_nothing = [](Time, const Event&, std::vector<Action>&) {};
  for (const auto& [max_retry_after, expected] : {std::pair(2000ms, 500ms), std::pair(150ms, 150ms)}) {
    Settings settings = config_for_tests().settings;
    settings.max_retry_after = max_retry_after;
    Counters counters;
    core::Broker broker(settings, decide_nothing, core::Contracts{}, counters);
    core::Effects effects;
    broker.step(kStart, request(1, kStart + 5s), effects);
    effects.clear();
    broker.step(kStart + 100ms, core::ShutdownStarted{}, effects);
    Duration retry_after{};
    for (const core::Effect& effect : effects) {
      if (const auto* e = std::get_if<core::RejectRequest>(&effect)) retry_after = e->retry_after;
    }
    CHECK(retry_after == expected);
  }
}

void requests_over_budget_are_rejected_until_it_refills() {
  core::Contract contract;
  contract.team = "guides";
  contract.per_second = 2.0;
  contract.burst = 3.0;
  contract.deadline = 1s;
  Counters counters;
  core::Broker broker(
      config_for_tests().settings, [](Time, const Event&, std::vector<Action>&) {},
      core::Contracts({contract}), counters);
  std::uint64_t last = 0;
  // Sends a request and returns its retry-after; 0 if it was admitted.
  const auto send_request = [&](Time now, const std::string& team) {
    core::Effects effects;
    broker.step(now, request(++last, now + 5s, team), effects);
    for (const core::Effect& effect : effects) {
      if (const auto* t = std::get_if<core::RejectRequest>(&effect)) {
        CHECK(t->rejected && t->reason == core::RejectReason::over_budget);
        return t->retry_after;
      }
      if (const auto* a = std::get_if<core::ArmTimer>(&effect); a != nullptr && team == "guides")
        CHECK(a->at == now + 1s);  // the contract's deadline
    }
    return Duration{};
  };
  for (int i = 0; i < 3; ++i) CHECK(send_request(kStart, "guides") == Duration{});
  const Duration wait = send_request(kStart, "guides");
  CHECK(wait == 500ms);
  CHECK(send_request(kStart, "others") == Duration{});
  CHECK(send_request(kStart + wait - 1ms, "guides") > Duration{});
  CHECK(send_request(kStart + wait, "guides") == Duration{});
}

void example_deploy_file_is_valid() {
  std::ifstream file(SOURCE_DIR "/deploy/broker.json");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const DeployConfig c = read_deploy_config(text, {"voice"});
  CHECK_EQ(*c.sip_udp, "127.0.0.1:5060");
  CHECK_EQ(c.contracts.size(), 3U);
  CHECK(c.collector.has_value());
}

}  // namespace

int main() {
  random_decisions_violate_no_invariant();
  retry_after_of_a_full_server_reaches_the_controller();
  servers_in_slow_start_get_more_sends_once_they_answer();
  default_retry_after_is_limited_by_the_settings();
  requests_over_budget_are_rejected_until_it_refills();
  example_deploy_file_is_valid();
}
