// The broker keeps its rules whatever the module says: here the module is a mischievous one.
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
  e.request.call = core::call_id(core::Front::platform, number);
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

// A module that answers every event with actions drawn at random: for calls known and unknown, to servers
// that drain, twice at once, too early, or not at all.
void a_module_gone_wild_breaks_no_rule() {
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    std::mt19937 random(seed);
    std::uint64_t last = 0;
    Time now = kStart;
    const auto wild = [&](Time, const Event&, std::vector<Action>& actions) {
      for (std::uint32_t i = 0; i < random() % 3; ++i) {
        const CallId call =
            core::call_id(core::Front::platform, last - std::min<std::uint64_t>(last, random() % 6));
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
    core::Broker broker(settings, wild, core::Contracts{}, counters);
    struct Call {
      Time deadline{};
      int finals = 0;
      std::optional<int> out{};
      ServerId server{};
      std::optional<Time> ended{};
      int attempts = 0;
      bool stands = false;
      bool left = false;
    };
    std::map<CallId, Call> calls;
    std::map<ServerId, ServerState> states;
    std::multimap<Time, std::uint64_t> alarms;
    std::map<ServerId, std::deque<Time>> sent_to;  // within the last window
    double busiest = 0.0;                          // the most at a warm server
    std::deque<Time> stood_cold;  // set-ups that stood at the cold one, within the last window
    std::vector<std::pair<CallId, int>> abandoned;
    const auto tell = [&](const core::Event& event) {
      core::Effects effects;
      broker.step(now, event, effects);
      for (const core::Effect& effect : effects) {
        if (const auto* e = std::get_if<core::StartAttempt>(&effect)) {
          Call& c = calls.at(e->request->call);
          CHECK(!c.out && c.finals == 0 && !c.left && now < c.deadline);
          CHECK(++c.attempts <= settings.max_attempts);
          CHECK(!c.ended || now - *c.ended >= settings.release_guard);
          CHECK(states[e->server] == ServerState::in_service);
          c.out = e->attempt;
          c.server = e->server;
          std::deque<Time>& sends = sent_to[e->server];
          sends.push_back(now);
          while (now - sends.front() > settings.overload_window) sends.pop_front();
          const auto count = static_cast<double>(sends.size());
          if (e->server == ServerId{3}) {
            while (!stood_cold.empty() && now - stood_cold.front() > settings.overload_window)
              stood_cold.pop_front();
            const double can_do =
                std::max(settings.slow_start_fraction * busiest, static_cast<double>(stood_cold.size()));
            CHECK(count <= std::ceil(std::max(4.0, settings.overload_multiple * can_do)));
          } else {
            busiest = std::max(busiest, count);
          }
        } else if (const auto* a = std::get_if<core::AbandonAttempt>(&effect)) {
          CHECK(calls.at(a->request->call).out == a->attempt);
          abandoned.emplace_back(a->request->call, a->attempt);
        } else if (const auto* s = std::get_if<core::AnswerCaller>(&effect)) {
          CHECK_EQ(++calls.at(s->call).finals, 1);
        } else if (const auto* t = std::get_if<core::RejectRequest>(&effect)) {
          CHECK_EQ(++calls.at(t->call).finals, 1);
          CHECK(!calls.at(t->call).left && now <= calls.at(t->call).deadline);
        } else if (const auto* p = std::get_if<core::ForwardRelease>(&effect)) {
          // Passed on, it is a final answer: never for a call that is held open.
          const auto it = calls.find(core::call_id(core::Front::platform, std::stoull(p->correlation_id)));
          CHECK(it == calls.end() || it->second.finals == 1 || it->second.left);
        } else if (const auto* al = std::get_if<core::ArmTimer>(&effect)) {
          alarms.emplace(al->at, al->timer);
        }
      }
    };
    const auto ended = [&](CallId id, Outcome outcome, bool crossed = false) {
      Call& c = calls.at(id);
      const int attempt = *std::exchange(c.out, std::nullopt);
      if (outcome == Outcome::reset || outcome == Outcome::cancelled) c.ended = now;
      core::AttemptFinished over;
      over.call = id;
      over.attempt = attempt;
      over.outcome = outcome;
      over.late_success = crossed;
      tell(over);
      if (crossed) CHECK(c.finals == 1 || c.left);
    };
    for (std::uint32_t id = 0; id < 3; ++id) {
      states[ServerId{id}] = ServerState::in_service;
      tell(servers({server(id, ServerState::in_service)}));
    }
    states[ServerId{3}] = ServerState::in_service;
    tell(servers({server(3, ServerState::in_service, kStart)}));  // cold all along
    for (int step = 0; step < 600; ++step) {
      const Time until = now + std::chrono::milliseconds(random() % 40);
      while (!alarms.empty() && alarms.begin()->first <= until) {
        now = std::max(now, alarms.begin()->first);
        const std::uint64_t timer = alarms.begin()->second;
        alarms.erase(alarms.begin());
        tell(core::TimerExpired{timer});
      }
      now = until;
      for (const auto& [id, attempt] : std::exchange(abandoned, {})) {
        if (calls.at(id).out == attempt) ended(id, Outcome::cancelled, random() % 4 == 0);
      }
      if (random() % 8 == 0) {  // a release that no open attempt answers for
        const std::uint64_t number = last - std::min<std::uint64_t>(last, random() % 8);
        const auto it = calls.find(core::call_id(core::Front::platform, number));
        const bool held = it != calls.end() && it->second.finals == 0 && !it->second.left;
        const bool out = held && it->second.out.has_value();
        tell(core::ServerReleased{std::to_string(number), 16, random() % 2 == 0});
        if (held && !out) CHECK_EQ(it->second.finals, 1);
        if (out) CHECK_EQ(it->second.finals, 0);
      }
      const std::uint32_t pick = random() % 10;
      if (pick < 4) {
        const Time deadline = now + std::chrono::milliseconds(1 + random() % 2000);
        calls[core::call_id(core::Front::platform, ++last)].deadline = deadline;
        tell(request(last, deadline));
      } else if (pick == 4) {
        const ServerId id{static_cast<std::uint32_t>(random() % 3)};
        states[id] = random() % 2 == 0 ? ServerState::in_service : ServerState::terminating;
        tell(servers({server(static_cast<std::uint32_t>(id), states[id])}));
      } else if (!calls.empty()) {
        auto it = calls.begin();
        std::advance(it, random() % calls.size());
        Call& c = it->second;
        if (pick == 5 && c.finals == 0 && !c.left) {
          c.left = true;
          tell(core::RequestCancelled{it->first});
        } else if (c.out && !c.stands && pick < 8) {
          constexpr Outcome kOutcomes[] = {Outcome::full, Outcome::reset, Outcome::busy_or_fault,
                                           Outcome::no_connection};
          ended(it->first, kOutcomes[random() % 4]);
        } else if (c.out && !c.stands && c.finals == 0 && !c.left) {
          c.stands = true;
          if (c.server == ServerId{3}) stood_cold.push_back(now);
          tell(core::AttemptEstablished{it->first, *c.out, "a"});
          c.stands = c.finals == 1;
          if (!c.stands) c.out.reset();
        } else if (c.out && c.stands) {
          ended(it->first, Outcome::ok);
        }
      }
    }
    while (!alarms.empty()) {
      now = std::max(now, alarms.begin()->first);
      const std::uint64_t timer = alarms.begin()->second;
      alarms.erase(alarms.begin());
      if (now < kStart + 60s) tell(core::TimerExpired{timer});
    }
    for (const auto& [id, c] : calls) CHECK_EQ(c.finals, c.left ? 0 : 1);
    CHECK_EQ(broker.unanswered(), 0U);
  }
}

// A full processor's own word of its wait once ended at the socket, and the module took 2 s for granted.
void the_wait_that_a_full_server_tells_reaches_the_module() {
  std::optional<Duration> told;
  const auto listen = [&](Time now, const Event& event, std::vector<Action>& actions) {
    if (const auto* e = std::get_if<NewCall>(&event))
      actions.push_back(SendSetup{e->call, ServerId{0}, now + 5s});
    if (const auto* e = std::get_if<AttemptEnded>(&event)) told = e->retry_after;
  };
  Counters counters;
  core::Broker broker(config_for_tests().settings, listen, core::Contracts{}, counters);
  core::Effects effects;
  broker.step(kStart, servers({server(0, ServerState::in_service)}), effects);
  broker.step(kStart, request(1, kStart + 5s), effects);
  core::AttemptFinished over;
  over.call = core::call_id(core::Front::platform, 1);
  over.outcome = Outcome::full;
  over.reason = FullReason::processor;
  over.retry_after = 2900ms;
  broker.step(kStart + 30ms, over, effects);
  CHECK(told == Duration(2900ms));
}

// Held to its first four a window, a cold server that answers at once once stayed idle until it counted as
// warm.
void cold_servers_get_more_once_they_answer() {
  const auto eager = [](Time now, const Event& event, std::vector<Action>& actions) {
    if (const auto* e = std::get_if<NewCall>(&event))
      actions.push_back(SendSetup{e->call, ServerId{0}, now + 5s});
  };
  const Settings settings = config_for_tests().settings;
  const auto sent_of_40 = [&](bool answers) {
    Counters counters;
    core::Broker broker(settings, eager, core::Contracts{}, counters);
    core::Effects effects;
    broker.step(kStart, servers({server(0, ServerState::in_service, kStart)}), effects);
    int sent = 0;
    for (std::uint64_t call = 1; call <= 40; ++call) {
      const Time now = kStart + call * settings.overload_window / 10;
      effects.clear();
      broker.step(now, request(call, now + 5s), effects);
      const bool out = std::any_of(effects.begin(), effects.end(), [](const core::Effect& effect) {
        return std::holds_alternative<core::StartAttempt>(effect);
      });
      if (!out) continue;
      ++sent;
      if (!answers) continue;
      core::Effects ignored;
      broker.step(now + 20ms, core::AttemptEstablished{core::call_id(core::Front::platform, call), 0, "a"},
                  ignored);
    }
    return sent;
  };
  CHECK_EQ(sent_of_40(true), 40);
  CHECK(sent_of_40(false) <= 16);
}

// Another customer's callers heed no longer advice than this: they were told 500 ms all the same.
void no_advice_is_longer_than_the_settings_allow() {
  const auto mute = [](Time, const Event&, std::vector<Action>&) {};
  for (const auto& [most, wanted] : {std::pair(2000ms, 500ms), std::pair(150ms, 150ms)}) {
    Settings settings = config_for_tests().settings;
    settings.max_retry_after = most;
    Counters counters;
    core::Broker broker(settings, mute, core::Contracts{}, counters);
    core::Effects effects;
    broker.step(kStart, request(1, kStart + 5s), effects);
    effects.clear();
    broker.step(kStart + 100ms, core::ShutdownStarted{}, effects);
    Duration told{};
    for (const core::Effect& effect : effects) {
      if (const auto* e = std::get_if<core::RejectRequest>(&effect)) told = e->retry_after;
    }
    CHECK(told == wanted);
  }
}

void budgets_are_kept_and_fill_again() {
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
  const auto refused = [&](Time now, const std::string& team) {
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
  for (int i = 0; i < 3; ++i) CHECK(refused(kStart, "guides") == Duration{});
  const Duration wait = refused(kStart, "guides");
  CHECK(wait == 500ms);
  CHECK(refused(kStart, "others") == Duration{});
  CHECK(refused(kStart + wait - 1ms, "guides") > Duration{});
  CHECK(refused(kStart + wait, "guides") == Duration{});
}

void the_example_deploy_file_is_read() {
  std::ifstream file(SOURCE_DIR "/deploy/broker.json");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const DeployConfig c = read_deploy_config(text, {"voice"});
  CHECK_EQ(*c.sip_udp, "127.0.0.1:5060");
  CHECK_EQ(c.contracts.size(), 3U);
  CHECK(c.collector.has_value());
}

}  // namespace

int main() {
  a_module_gone_wild_breaks_no_rule();
  the_wait_that_a_full_server_tells_reaches_the_module();
  cold_servers_get_more_once_they_answer();
  no_advice_is_longer_than_the_settings_allow();
  budgets_are_kept_and_fill_again();
  the_example_deploy_file_is_read();
}
