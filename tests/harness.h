// Test fixture: a controller driven by scripted events, and builders of arbitrary valid settings and entries.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::test {

using namespace std::chrono_literals;

constexpr Time time_at(Duration d) { return Time(100s + d); }

inline Settings make_settings(std::size_t classes = 1) {
  Settings settings;
  settings.layout = Layout::groups;
  settings.senders = 5;
  settings.max_attempts = 5;
  settings.may_cancel = true;
  settings.callers_honor_retry_after = true;
  settings.max_retry_after = 2s;
  settings.retransmit_delay = 500ms;
  settings.scheduling_interval = 5ms;
  settings.release_guard = 250ms;
  settings.drain_grace = 800ms;
  settings.answer_slack = 20ms;
  settings.poll_interval = 10s;
  settings.slow_start_fraction = 0.4;
  settings.slow_start_duration = 12s;
  settings.overload_multiple = 2;
  settings.overload_window = 2s;
  for (std::size_t i = 0; i < classes; ++i) {
    CallClass call_class;
    call_class.latency_objective = 1300ms;
    call_class.caller_timeout = 9s;
    call_class.priority_weight = 1.0 + 4.0 * static_cast<double>(i);
    call_class.late_weight_fraction = 0.2;
    call_class.mean_holding_time = 8s;
    settings.classes.push_back(call_class);
  }
  return settings;
}

inline ServerEntry make_entry(unsigned server, ServerState state = ServerState::in_service,
                              std::optional<Time> online_since = std::nullopt) {
  return {ServerId{server}, Zone{0}, Pool{static_cast<std::int64_t>(server)}, state, 1.0, online_since};
}

class ControllerScript {
 public:
  explicit ControllerScript(Settings settings, std::uint64_t seed = 1)
      : controller_(std::move(settings), seed) {}

  // Handles the event `when` after the start and returns the resulting actions.
  std::vector<Action> handle(Duration when, const Event& event) {
    std::vector<Action> actions;
    controller_.handle(time_at(when), event, actions);
    return actions;
  }

  void receive_list(Duration when, std::vector<ServerEntry> entries, ListKind kind = ListKind::all) {
    handle(when, ServerList{kind, std::move(entries)});
  }

  // Requests a call with a deadline in three seconds.
  std::vector<Action> request_call(Duration when, unsigned id, std::int64_t destination = 0,
                                   ClassIndex call_class = 0, std::uint64_t number = 7) {
    NewCall event;
    event.call = CallId{id};
    event.call_class = call_class;
    event.number = Number{number};
    event.destination = Pool{destination};
    event.deadline = time_at(when + 3s);
    return handle(when, event);
  }

  std::size_t ejected(Duration when) const { return controller_.ejected(time_at(when)); }

  std::vector<Action> establish(Duration when, unsigned id, unsigned server, Duration delay,
                                int attempt = 0) {
    return handle(when, CallEstablished{CallId{id}, attempt, ServerId{server}, delay});
  }

  std::vector<Action> end_attempt(Duration when, unsigned id, unsigned server, Outcome outcome,
                                  int attempt = 0, bool finished = false,
                                  FullReason reason = FullReason::none) {
    AttemptEnded event;
    event.call = CallId{id};
    event.attempt = attempt;
    event.server = ServerId{server};
    event.outcome = outcome;
    event.delay = 30ms;
    event.call_finished = finished;
    event.reason = reason;
    return handle(when, event);
  }

 private:
  Controller controller_;
};

template <class Kind>
std::optional<Kind> find_action(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const Kind* found = std::get_if<Kind>(&action)) return *found;
  }
  return std::nullopt;
}

template <class Kind>
bool has_action(const std::vector<Action>& actions) {
  return find_action<Kind>(actions).has_value();
}

}  // namespace graniterun::test
