// A controller driven by scripted events, and settings of no particular operator.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::test {

using namespace std::chrono_literals;

constexpr Time at(Duration d) { return Time(100s + d); }

inline Settings settings_with(std::size_t classes = 1) {
  Settings s;
  s.layout = Layout::groups;
  s.senders = 5;
  s.max_attempts = 5;
  s.may_cancel = true;
  s.callers_honor_retry_after = true;
  s.max_retry_after = 2s;
  s.retransmit_delay = 500ms;
  s.scheduling_interval = 5ms;
  s.release_guard = 250ms;
  s.drain_grace = 800ms;
  s.answer_slack = 20ms;
  s.poll_interval = 10s;
  s.slow_start_fraction = 0.4;
  s.slow_start_duration = 12s;
  s.overload_multiple = 2;
  s.overload_window = 2s;
  for (std::size_t i = 0; i < classes; ++i) {
    CallClass c;
    c.latency_objective = 1300ms;
    c.caller_timeout = 9s;
    c.priority_weight = 1.0 + 4.0 * static_cast<double>(i);
    c.late_weight_fraction = 0.2;
    c.mean_holding_time = 8s;
    s.classes.push_back(c);
  }
  return s;
}

inline ServerEntry entry(unsigned server, ServerState state = ServerState::in_service,
                         std::optional<Time> online_since = std::nullopt) {
  return {ServerId{server}, Zone{0}, Pool{static_cast<std::int64_t>(server)}, state, 1.0, online_since};
}

class Script {
 public:
  explicit Script(Settings settings, std::uint64_t seed = 1) : controller_(std::move(settings), seed) {}

  // The actions that answer the event.
  std::vector<Action> tell(Duration when, const Event& event) {
    std::vector<Action> actions;
    controller_.handle(at(when), event, actions);
    return actions;
  }

  void list(Duration when, std::vector<ServerEntry> entries, ListKind kind = ListKind::all) {
    tell(when, ServerList{kind, std::move(entries)});
  }

  // A new call; its deadline is three seconds away.
  std::vector<Action> call(Duration when, unsigned id, std::int64_t destination = 0,
                           ClassIndex call_class = 0, std::uint64_t number = 7) {
    NewCall e;
    e.call = CallId{id};
    e.call_class = call_class;
    e.number = Number{number};
    e.destination = Pool{destination};
    e.deadline = at(when + 3s);
    return tell(when, e);
  }

  std::size_t avoided(Duration when) const { return controller_.ejected(at(when)); }

  std::vector<Action> stands(Duration when, unsigned id, unsigned server, Duration delay, int attempt = 0) {
    return tell(when, CallEstablished{CallId{id}, attempt, ServerId{server}, delay});
  }

  std::vector<Action> ends(Duration when, unsigned id, unsigned server, Outcome outcome, int attempt = 0,
                           bool over = false, FullReason reason = FullReason::none) {
    AttemptEnded e;
    e.call = CallId{id};
    e.attempt = attempt;
    e.server = ServerId{server};
    e.outcome = outcome;
    e.delay = 30ms;
    e.call_finished = over;
    e.reason = reason;
    return tell(when, e);
  }

 private:
  Controller controller_;
};

template <class Kind>
std::optional<Kind> first(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const Kind* found = std::get_if<Kind>(&action)) return *found;
  }
  return std::nullopt;
}

template <class Kind>
bool has(const std::vector<Action>& actions) {
  return first<Kind>(actions).has_value();
}

}  // namespace graniterun::test
