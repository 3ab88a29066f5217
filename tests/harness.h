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
  s.callers_heed_stay_away = true;
  s.max_stay_away = 2s;
  s.repeat_after = 500ms;
  s.round = 5ms;
  s.release_guard = 250ms;
  s.drain_grace = 800ms;
  s.answer_slack = 20ms;
  s.ask_within = 10s;
  s.cold_share = 0.4;
  s.cold_time = 12s;
  s.fall_multiple = 2;
  s.fall_window = 2s;
  for (std::size_t i = 0; i < classes; ++i) {
    CallClass c;
    c.aim = 1300ms;
    c.patience = 9s;
    c.worth = 1.0 + 4.0 * static_cast<double>(i);
    c.late_worth_share = 0.2;
    c.mean_hold = 8s;
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

  std::size_t avoided(Duration when) const { return controller_.avoided(at(when)); }

  std::vector<Action> stands(Duration when, unsigned id, unsigned server, Duration delay, int attempt = 0) {
    return tell(when, CallStands{CallId{id}, attempt, ServerId{server}, delay});
  }

  std::vector<Action> ends(Duration when, unsigned id, unsigned server, Outcome outcome, int attempt = 0,
                           bool over = false, FullReason reason = FullReason::none) {
    AttemptEnded e;
    e.call = CallId{id};
    e.attempt = attempt;
    e.server = ServerId{server};
    e.outcome = outcome;
    e.delay = 30ms;
    e.call_over = over;
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
