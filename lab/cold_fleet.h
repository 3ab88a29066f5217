// Simulates a fleet of senders, each with the decision module's Controller, and one server that has just
// started. It measures how many setups the fleet sends to the server in an overload window, compared with the
// budget of the slow start, while senders restart, are notified of the start late, were idle or carry uneven
// load. One simulated clock and one seeded generator; no sockets and no threads.
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
  double warm_per_s = 100.0;                       // setups per second after the slow start
  double cold_share = 0.35;                        // capacity at the start, as a share of warm_per_s
  Duration warm_after = std::chrono::seconds(15);  // until the full capacity is reached
  double load = 1.0;                               // offered load, as a share of warm_per_s
  double uneven = 0.0;     // sigma of the log-normal distribution of the senders' shares of the load
  double restarted = 0.0;  // share of the senders that restart while the server is warming up
  int times = 1;           // restarts of each of those senders
  bool together = false;   // the senders restart at the same times
  double lost = 0.0;       // share of answers that are lost
  Duration idle_until{};   // no calls before; then each sender's calls of one second arrive at once
  bool reports = true;     // the server reports its circuits
  std::uint64_t seed = 1;

  struct Result {
    // Maximum of (sent - N) / tolerance(N) over the windows, N being the budget: above 1 is an overload.
    double worst = -std::numeric_limits<double>::infinity();
    double of_budget = 0.0;  // maximum of sent / N
    std::size_t offered = 0;
    std::size_t stood = 0;
    std::size_t restarts = 0;
    std::size_t sent = 0;
    double served() const {
      return offered == 0 ? 0.0 : static_cast<double>(stood) / static_cast<double>(offered);
    }
  };

  // Random excess over a budget of N calls that is tolerated.
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

  // Setups per second that the server can handle, `since` its start.
  double capacity(Duration since) const {
    const double t = std::chrono::duration<double>(since) / warm_after;
    return warm_per_s * (cold_share + (1.0 - cold_share) * std::clamp(t, 0.0, 1.0));
  }

  Result play() const;

 private:
  struct Sender {
    std::unique_ptr<Controller> controller;
    double calls_per_s = 0.0;
    Duration notified_at{};
    std::vector<Duration> restarts{};  // descending, so that the next one is at the back
    bool notified = false;
    bool up = true;
    Duration restarted_at{};
    std::map<std::uint64_t, Duration> timers{};
    std::uint32_t incarnation = 0;
  };
  struct PendingSetup {
    std::uint32_t sender;
    std::uint32_t incarnation;
    CallId call;
    int attempt;
    Duration sent_at;
    bool cancelled = false;
  };
  struct SentSetup {
    Duration at;
    bool sender_notified;  // its sender had been notified of the start
  };
};

inline ColdFleet::Result ColdFleet::play() const {
  using namespace std::chrono_literals;
  const Time start{1000s};
  const Duration warm_period = 14s;  // the server runs at full capacity until it is replaced at 0
  constexpr Duration kStep = 5ms;
  Settings fleet_settings = settings();
  fleet_settings.senders = senders;
  fleet_settings.slow_start_fraction = cold_share;
  std::mt19937_64 random(seed);
  const auto uniform = [&] { return std::uniform_real_distribution<double>(0.0, 1.0)(random); };
  const ServerEntry old_entry{ServerId{0}, Zone{0}, Pool{0}, ServerState::in_service, 1.0, {}};
  ServerEntry new_entry = old_entry;
  new_entry.online_since = start;
  const double busy_circuits = warm_per_s * 8.0 * std::min(load, 1.0);
  LoadReport busy_report;
  busy_report.circuits = busy_circuits * 1.2;
  busy_report.free_circuits = busy_circuits * 0.2;
  LoadReport idle_report = busy_report;
  idle_report.free_circuits = busy_report.circuits;

  std::vector<Sender> fleet(senders);
  double weight = 0.0;
  for (Sender& s : fleet) {
    s.calls_per_s = std::exp(std::normal_distribution<double>(0.0, uneven)(random));
    weight += s.calls_per_s;
  }
  std::deque<PendingSetup> server_queue;
  std::vector<SentSetup> sent;
  std::map<std::pair<std::uint32_t, CallId>, int> attempts;  // sent until now
  std::map<std::pair<std::uint32_t, CallId>, PendingSetup> unanswered;
  std::vector<std::pair<PendingSetup, Outcome>> attempt_ends;  // reported to the controllers in the next step
  Result result;
  Duration now = -warm_period;
  std::uint64_t calls = 0;
  const auto handle_event = [&](std::uint32_t i, const Event& event) {
    Sender& s = fleet[i];
    std::vector<Action> answer;
    s.controller->handle(start + now, event, answer);
    for (const Action& action : answer) {
      if (const auto* a = std::get_if<SendSetup>(&action)) {
        if (now >= 0ms) sent.push_back({now, s.notified});
        server_queue.push_back({i, s.incarnation, a->call, attempts[{i, a->call}]++, now});
      } else if (const auto* t = std::get_if<SetTimer>(&action)) {
        s.timers[static_cast<std::uint64_t>(t->timer)] = now + t->delay;
      } else if (const auto* c = std::get_if<CancelAttempt>(&action)) {
        for (PendingSetup& setup : server_queue) {
          if (setup.sender == i && setup.incarnation == s.incarnation && setup.call == c->call)
            setup.cancelled = true;
        }
        if (const auto lost_answer = unanswered.find({i, c->call}); lost_answer != unanswered.end()) {
          attempt_ends.emplace_back(lost_answer->second, Outcome::cancelled);
          unanswered.erase(lost_answer);
        }
      }
    }
  };
  const auto create_controller = [&](std::uint32_t i) {
    Settings own_settings = fleet_settings;
    own_settings.own_index = i;
    fleet[i].controller = std::make_unique<Controller>(own_settings, random());
    fleet[i].timers.clear();
  };
  for (std::uint32_t i = 0; i < senders; ++i) {
    Sender& s = fleet[i];
    s.calls_per_s *= load * warm_per_s / weight;
    s.notified_at =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(0.2 + 2.0 * uniform()));
    const bool restarts = uniform() < restarted;
    for (int n = 0; restarts && n < times; ++n) {
      const double at_s = together ? 2.5 + 0.5 * n : 0.3 + 3.0 * uniform();
      s.restarts.push_back(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at_s)));
    }
    std::sort(s.restarts.rbegin(), s.restarts.rend());
    create_controller(i);
    handle_event(i, ServerList{ListKind::cached, {old_entry}});
    if (reports) handle_event(i, ServerReport{ServerId{0}, busy_report});
  }
  double service_credit = 0.0;
  bool replaced = false;
  for (; now < 12s; now += kStep) {
    if (now >= 0ms && !replaced) {
      replaced = true;
      for (const PendingSetup& setup : server_queue)
        attempt_ends.emplace_back(setup, Outcome::reset);  // the old process is killed
      server_queue.clear();
    }
    for (const auto& [w, outcome] : std::exchange(attempt_ends, {})) {
      if (fleet[w.sender].incarnation == w.incarnation && fleet[w.sender].up)
        handle_event(
            w.sender,
            AttemptEnded{w.call, w.attempt, ServerId{0}, outcome, now - w.sent_at, false, {}, {}, {}});
    }
    for (std::uint32_t i = 0; i < senders; ++i) {
      Sender& s = fleet[i];
      if (now >= s.notified_at && !s.notified && s.up) {
        s.notified = true;
        handle_event(i, ServerList{ListKind::changes, {new_entry}});
        if (reports) handle_event(i, ServerReport{ServerId{0}, idle_report});
      }
      if (!s.restarts.empty() && now >= s.restarts.back()) {
        s.restarts.pop_back();
        s.up = false;
        ++s.incarnation;
        ++result.restarts;
        const double downtime_s = together ? 0.1 : 0.1 + uniform();
        s.restarted_at =
            now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(downtime_s));
      }
      if (!s.up && now >= s.restarted_at) {
        s.up = true;
        create_controller(i);
        s.notified = now >= s.notified_at;
        handle_event(i, ServerList{ListKind::cached, {s.notified ? new_entry : old_entry}});
        if (reports) handle_event(i, ServerReport{ServerId{0}, idle_report});
      }
      if (!s.up) continue;
      while (!s.timers.empty()) {
        const auto due = std::min_element(s.timers.begin(), s.timers.end(),
                                          [](const auto& a, const auto& b) { return a.second < b.second; });
        if (due->second > now) break;
        const TimerId id{due->first};
        s.timers.erase(due);
        handle_event(i, TimerDue{id});
      }
      std::size_t arrivals = 0;
      const double step_s = std::chrono::duration<double>(kStep).count();
      if (now < 0ms || now >= idle_until)
        arrivals = std::poisson_distribution<std::size_t>(s.calls_per_s * step_s)(random);
      if (idle_until > 0ms && now >= idle_until && now < idle_until + kStep)
        arrivals += std::poisson_distribution<std::size_t>(s.calls_per_s)(random);
      for (; arrivals > 0; --arrivals) {
        NewCall call;
        call.call = CallId{++calls};
        call.number = Number{calls};
        call.destination = Pool{0};
        call.deadline = start + now + 9s;
        if (now >= s.notified_at) ++result.offered;
        handle_event(i, call);
      }
    }
    // The server handles queued setups one after the other; an answer may be lost.
    const double rate = now < 0ms ? warm_per_s : capacity(now);
    service_credit =
        server_queue.empty() ? 0.0 : service_credit + rate * std::chrono::duration<double>(kStep).count();
    for (; service_credit >= 1.0 && !server_queue.empty(); service_credit -= 1.0) {
      const PendingSetup setup = server_queue.front();
      server_queue.pop_front();
      Sender& s = fleet[setup.sender];
      if (!s.up || s.incarnation != setup.incarnation) continue;
      if (setup.cancelled) {
        attempt_ends.emplace_back(setup, Outcome::cancelled);
      } else if (now >= 0ms && uniform() < lost) {
        unanswered[{setup.sender, setup.call}] = setup;
      } else {
        if (now >= s.notified_at) ++result.stood;
        handle_event(setup.sender,
                     CallEstablished{setup.call, setup.attempt, ServerId{0}, now - setup.sent_at});
      }
    }
  }
  result.sent = sent.size();
  std::size_t last = 0;
  std::size_t notified = 0;
  for (std::size_t first = 0; first < sent.size(); ++first) {
    for (; last < sent.size() && sent[last].at <= sent[first].at + fleet_settings.overload_window; ++last)
      notified += sent[last].sender_notified ? 1 : 0;
    const double count = static_cast<double>(last - first);
    // The operators' rule counts an overload only if more than two thirds of the setups came from senders
    // that had been notified of the start.
    if (static_cast<double>(notified) * 3.0 > count * 2.0) {
      const double budget = fleet_settings.overload_multiple * capacity(sent[first].at) *
                            std::chrono::duration<double>(fleet_settings.overload_window).count();
      result.worst = std::max(result.worst, (count - budget) / tolerance(budget));
      result.of_budget = std::max(result.of_budget, count / budget);
    }
    notified -= sent[first].sender_notified ? 1 : 0;
  }
  return result;
}

}  // namespace graniterun::lab
