// A fleet of senders and one server that has just started: how much they send it together, whoever restarts,
// hears of the start late, was idle or calls much more than others. No sockets and no clock of its own.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::lab {

struct ColdFleet {
  std::uint32_t senders = 6;
  double warm_per_s = 100.0;  // set-ups a second once it is warm
  double cold_share = 0.35;
  Duration warm_after = std::chrono::seconds(15);
  double load = 1.0;       // offered, of warm_per_s
  double uneven = 0.0;     // spread of the senders' shares, as a log-normal's sigma
  double restarted = 0.0;  // share of the senders that start anew while it is cold
  int times = 1;           // each of those does so
  bool together = false;   // and all of them at the same moments
  double lost = 0.0;       // share of answers that never come
  Duration idle_until{};   // nobody calls before; then each sender's calls of a second come at once
  bool reports = true;     // servers tell their lines
  std::uint64_t seed = 1;

  struct Result {
    // (sent - N) / tolerance(N): over 1 is a fall.
    double worst = -std::numeric_limits<double>::infinity();
    double of_budget = 0.0;  // sent / N, at the most
    std::size_t offered = 0;
    std::size_t stood = 0;
    std::size_t restarts = 0;
    std::size_t sent = 0;
    double served() const {
      return offered == 0 ? 0.0 : static_cast<double>(stood) / static_cast<double>(offered);
    }
  };

  // What chance may add to a budget of N calls.
  static double tolerance(double budget) {
    constexpr double kSmallBudget = 30.0;
    return budget < kSmallBudget ? 3.0 * std::sqrt(budget) + 3.0 : 2.0 * std::sqrt(budget) + 2.0;
  }

  static Settings settings() {
    using namespace std::chrono_literals;
    Settings settings;
    settings.layout = Layout::groups;
    settings.max_attempts = 5;
    settings.may_cancel = true;
    settings.callers_honor_retry_after = true;
    settings.max_retry_after = 2s;
    settings.scheduling_interval = 5ms;
    settings.release_guard = 200ms;
    settings.drain_grace = 2s;
    settings.slow_start_duration = 15s;
    settings.overload_multiple = 2.5;
    settings.overload_window = 1500ms;
    CallClass call_class;
    call_class.latency_objective = 1500ms;
    call_class.caller_timeout = 9s;
    call_class.priority_weight = 1.0;
    call_class.late_weight_fraction = 0.1;
    call_class.mean_holding_time = 8s;
    settings.classes.push_back(call_class);
    return settings;
  }

  double capacity(Duration since) const {
    const double t = std::chrono::duration<double>(since) / warm_after;
    return warm_per_s * (cold_share + (1.0 - cold_share) * std::clamp(t, 0.0, 1.0));
  }

  Result play() const;

 private:
  struct Sender {
    std::unique_ptr<Controller> controller;
    double per_s = 0.0;
    Duration told{};
    std::vector<Duration> restarts{};  // the next one last
    bool knows = false;
    bool up = true;
    Duration back{};
    std::map<std::uint64_t, Duration> timers{};
    std::uint32_t life = 0;
  };
  struct Waiting {
    std::uint32_t sender;
    std::uint32_t life;
    CallId call;
    int attempt;
    Duration since;
    bool cancelled = false;
  };
  struct Sent {
    Duration at;
    bool told;  // its sender had heard of the start
  };
};

inline ColdFleet::Result ColdFleet::play() const {
  using namespace std::chrono_literals;
  const Time start{1000s};
  const Duration before = 14s;  // it served, warm, for so long until it was replaced at 0
  constexpr Duration kStep = 5ms;
  Settings rules = settings();
  rules.senders = senders;
  rules.slow_start_fraction = cold_share;
  std::mt19937_64 random(seed);
  const auto uniform = [&] { return std::uniform_real_distribution<double>(0.0, 1.0)(random); };
  const ServerEntry old{ServerId{0}, Zone{0}, Pool{0}, ServerState::in_service, 1.0, {}};
  ServerEntry fresh = old;
  fresh.online_since = start;
  const double lines_busy = warm_per_s * 8.0 * std::min(load, 1.0);
  LoadReport busy;
  busy.circuits = lines_busy * 1.2;
  busy.free_circuits = lines_busy * 0.2;
  LoadReport idle = busy;
  idle.free_circuits = busy.circuits;

  std::vector<Sender> fleet(senders);
  double weight = 0.0;
  for (Sender& s : fleet) {
    s.per_s = std::exp(std::normal_distribution<double>(0.0, uneven)(random));
    weight += s.per_s;
  }
  std::deque<Waiting> line;
  std::vector<Sent> sent;
  std::map<std::pair<std::uint32_t, CallId>, int> attempts;  // sent so far
  std::map<std::pair<std::uint32_t, CallId>, Waiting> unheard;
  std::vector<std::pair<Waiting, Outcome>> ends;  // to be told at the next step
  Result result;
  Duration now = -before;
  std::uint64_t calls = 0;
  const auto tell = [&](std::uint32_t i, const Event& event) {
    Sender& s = fleet[i];
    std::vector<Action> answer;
    s.controller->handle(start + now, event, answer);
    for (const Action& action : answer) {
      if (const auto* a = std::get_if<SendSetup>(&action)) {
        if (now >= 0ms) sent.push_back({now, s.knows});
        line.push_back({i, s.life, a->call, attempts[{i, a->call}]++, now});
      } else if (const auto* t = std::get_if<SetTimer>(&action)) {
        s.timers[static_cast<std::uint64_t>(t->timer)] = now + t->delay;
      } else if (const auto* c = std::get_if<CancelAttempt>(&action)) {
        for (Waiting& waiting : line) {
          if (waiting.sender == i && waiting.life == s.life && waiting.call == c->call)
            waiting.cancelled = true;
        }
        if (const auto lost_one = unheard.find({i, c->call}); lost_one != unheard.end()) {
          ends.emplace_back(lost_one->second, Outcome::cancelled);
          unheard.erase(lost_one);
        }
      }
    }
  };
  const auto make = [&](std::uint32_t i) {
    Settings own = rules;
    own.own_index = i;
    fleet[i].controller = std::make_unique<Controller>(own, random());
    fleet[i].timers.clear();
  };
  for (std::uint32_t i = 0; i < senders; ++i) {
    Sender& s = fleet[i];
    s.per_s *= load * warm_per_s / weight;
    s.told = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(0.2 + 2.0 * uniform()));
    const bool restarts = uniform() < restarted;
    for (int n = 0; restarts && n < times; ++n) {
      const double at_s = together ? 2.5 + 0.5 * n : 0.3 + 3.0 * uniform();
      s.restarts.push_back(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at_s)));
    }
    std::sort(s.restarts.rbegin(), s.restarts.rend());
    make(i);
    tell(i, ServerList{ListKind::cached, {old}});
    if (reports) tell(i, ServerReport{ServerId{0}, busy});
  }
  double worked = 0.0;
  bool replaced = false;
  for (; now < 12s; now += kStep) {
    if (now >= 0ms && !replaced) {
      replaced = true;
      for (const Waiting& waiting : line) ends.emplace_back(waiting, Outcome::reset);  // the old process dies
      line.clear();
    }
    for (const auto& [w, outcome] : std::exchange(ends, {})) {
      if (fleet[w.sender].life == w.life && fleet[w.sender].up)
        tell(w.sender,
             AttemptEnded{w.call, w.attempt, ServerId{0}, outcome, now - w.since, false, {}, {}, {}});
    }
    for (std::uint32_t i = 0; i < senders; ++i) {
      Sender& s = fleet[i];
      if (now >= s.told && !s.knows && s.up) {
        s.knows = true;
        tell(i, ServerList{ListKind::changes, {fresh}});
        if (reports) tell(i, ServerReport{ServerId{0}, idle});
      }
      if (!s.restarts.empty() && now >= s.restarts.back()) {
        s.restarts.pop_back();
        s.up = false;
        ++s.life;
        ++result.restarts;
        const double gone_s = together ? 0.1 : 0.1 + uniform();
        s.back = now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gone_s));
      }
      if (!s.up && now >= s.back) {
        s.up = true;
        make(i);
        s.knows = now >= s.told;
        tell(i, ServerList{ListKind::cached, {s.knows ? fresh : old}});
        if (reports) tell(i, ServerReport{ServerId{0}, idle});
      }
      if (!s.up) continue;
      while (!s.timers.empty()) {
        const auto due = std::min_element(s.timers.begin(), s.timers.end(),
                                          [](const auto& a, const auto& b) { return a.second < b.second; });
        if (due->second > now) break;
        const TimerId id{due->first};
        s.timers.erase(due);
        tell(i, TimerDue{id});
      }
      std::size_t come = 0;
      const double step_s = std::chrono::duration<double>(kStep).count();
      if (now < 0ms || now >= idle_until)
        come = std::poisson_distribution<std::size_t>(s.per_s * step_s)(random);
      if (idle_until > 0ms && now >= idle_until && now < idle_until + kStep)
        come += std::poisson_distribution<std::size_t>(s.per_s)(random);
      for (; come > 0; --come) {
        NewCall call;
        call.call = CallId{++calls};
        call.number = Number{calls};
        call.destination = Pool{0};
        call.deadline = start + now + 9s;
        if (now >= s.told) ++result.offered;
        tell(i, call);
      }
    }
    // One is worked on after the other; an answer may be lost.
    const double rate = now < 0ms ? warm_per_s : capacity(now);
    worked = line.empty() ? 0.0 : worked + rate * std::chrono::duration<double>(kStep).count();
    for (; worked >= 1.0 && !line.empty(); worked -= 1.0) {
      const Waiting waiting = line.front();
      line.pop_front();
      Sender& s = fleet[waiting.sender];
      if (!s.up || s.life != waiting.life) continue;
      if (waiting.cancelled) {
        ends.emplace_back(waiting, Outcome::cancelled);
      } else if (now >= 0ms && uniform() < lost) {
        unheard[{waiting.sender, waiting.call}] = waiting;
      } else {
        if (now >= s.told) ++result.stood;
        tell(waiting.sender,
             CallEstablished{waiting.call, waiting.attempt, ServerId{0}, now - waiting.since});
      }
    }
  }
  result.sent = sent.size();
  std::size_t to = 0;
  std::size_t told = 0;
  for (std::size_t from = 0; from < sent.size(); ++from) {
    for (; to < sent.size() && sent[to].at <= sent[from].at + rules.overload_window; ++to)
      told += sent[to].told ? 1 : 0;
    const double count = static_cast<double>(to - from);
    // By the rule a fall counts where over two thirds came from senders that had been told.
    if (static_cast<double>(told) * 3.0 > count * 2.0) {
      const double n = rules.overload_multiple * capacity(sent[from].at) *
                       std::chrono::duration<double>(rules.overload_window).count();
      result.worst = std::max(result.worst, (count - n) / tolerance(n));
      result.of_budget = std::max(result.of_budget, count / n);
    }
    told -= sent[from].told ? 1 : 0;
  }
  return result;
}

}  // namespace graniterun::lab
