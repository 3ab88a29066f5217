#include "core/broker.h"

#include <algorithm>
#include <utility>

namespace graniterun::core {
namespace {

using namespace std::chrono_literals;

// On top of the release guard: its time runs from when the other side has heard of the end.
constexpr Duration kGuardMargin = 30ms;
// Sends that a cold server may have in a window from one gatekeeper, however little is known of it.
constexpr double kColdLeast = 4.0;
// Release guards of calls that are over, at most: some tens of thousands of calls a second would be needed.
constexpr std::size_t kMostGuards = 16384;
// Advice to a caller whose request came to nothing, where the module gives none and the settings allow as
// much.
constexpr Duration kStayAway = 500ms;

bool leaves_traces(Outcome outcome) {
  return outcome == Outcome::timed_out || outcome == Outcome::reset || outcome == Outcome::cancelled;
}

}  // namespace

Broker::Broker(const Settings& settings, std::uint64_t seed, Contracts contracts, Counters& counters,
               Gate gate)
    : Broker(settings, std::make_shared<Controller>(settings, seed), std::move(contracts), counters,
             std::move(gate)) {}

Broker::Broker(const Settings& settings, std::shared_ptr<Controller> controller, Contracts contracts,
               Counters& counters, Gate gate)
    : Broker(
          settings,
          [controller](Time now, const graniterun::Event& event, std::vector<Action>& actions) {
            controller->handle(now, event, actions);
          },
          std::move(contracts), counters, std::move(gate)) {
  controller_ = std::move(controller);
}

Broker::Broker(const Settings& settings, Decide decide, Contracts contracts, Counters& counters, Gate gate)
    : settings_(settings),
      contracts_(std::move(contracts)),
      counters_(counters),
      decide_(std::move(decide)),
      gate_(std::move(gate)) {}

void Broker::step(Time now, const Event& event, Effects& effects) {
  now_ = std::max(now, now_);
  effects_ = &effects;
  std::visit([this](const auto& e) { on(e); }, event);
  settle_module();
  effects_ = nullptr;
}

// ---- callers

void Broker::on(const RequestCame& e) {
  if (calls_.contains(e.request.call)) return;
  counters_.add("broker.requests");
  Call& call = calls_[e.request.call];
  call.request = std::make_shared<const Request>(e.request);
  call.came = now_;
  call.deadline = e.request.deadline;
  call.most_attempts = settings_.max_attempts;
  // The same id may come again just after it ended: its caller closed and came back. To servers it is the
  // same call.
  if (const auto guard = guards_.find(e.request.label); guard != guards_.end())
    call.guard_until = guard->second;
  if (const auto known = by_label_.find(e.request.label); known != by_label_.end()) {
    Call& before = calls_.at(known->second);
    call.guard_until = std::max(call.guard_until, before.guard_until);
    if (before.out && before.out->sent) {
      call.after = known->second;
      before.followed_by = e.request.call;
    }
  }
  by_label_.insert_or_assign(e.request.label, e.request.call);
  ++unanswered_;
  const auto turn_down = [&](bool refused, Why why, Duration wait, limits::Treatment treatment = {}) {
    answer(call, false, refused, why, wait, {}, std::move(treatment));
    forget_if_over(e.request.call);
  };
  // Before the budget: what a gap holds back is not to use up its team's. A slot that a call has taken is not
  // given back where it comes to nothing later: the next one would pass in the same interval.
  if (gate_ && call.deadline > now_) {
    if (limits::Verdict verdict = gate_(now_, e.request); !verdict.passes) {
      counters_.add("broker.gapped");
      return turn_down(true, Why::gapped, verdict.wait, std::move(verdict.treatment));
    }
  }
  const Contracts::Terms terms = contracts_.admit(now_, e.request.team, e.request.class_name);
  if (terms.deadline) call.deadline = std::min(call.deadline, now_ + *terms.deadline);
  if (terms.attempts) call.most_attempts = std::min(call.most_attempts, *terms.attempts);
  if (terms.over_budget) {
    counters_.add("broker.over_budget");
    return turn_down(true, Why::over_budget, *terms.over_budget);
  }
  if (call.deadline <= now_) return turn_down(false, Why::overdue, stay_away());
  alarm(call.deadline, {Alarm::Kind::deadline, e.request.call, {}});
  NewCall query;
  query.call = e.request.call;
  query.call_class = e.request.call_class;
  query.number = e.request.number;
  query.destination = e.request.destination;
  query.deadline = call.deadline;
  query.lines = e.request.lines;
  query.cut_before = e.request.cut_before;
  query.redial = e.request.redial;
  tell_module(query);
}

void Broker::on(const CallerGaveUp& e) {
  Call* call = find(e.call);
  if (call == nullptr || call->answered) return;
  counters_.add("broker.given_up");
  call->answered = true;
  --unanswered_;
  tell_module(CallerLeft{e.call});
  settle_module();
  // Whether the module thinks of it or not: nothing is to go on for a caller that has left.
  if (call = find(e.call); call != nullptr && call->out) give_up_attempt(*call);
  settle_module();
  forget_if_over(e.call);
}

void Broker::on(const CallerReleased& e) {
  Call* call = find(e.call);
  if (call == nullptr) return;
  if (!call->out || !call->out->stands) return on(CallerGaveUp{e.call});
  counters_.add("broker.released_by_caller");
  emit(ReleaseServer{call->request, call->out->index, e.cause});
  on(AttemptOver{e.call, call->out->index, Outcome::cancelled, {}, {}, e.cause, false, {}});
}

// ---- servers

void Broker::on(const AttemptStood& e) {
  Call* call = find(e.call);
  if (call == nullptr || !call->out || call->out->index != e.attempt || call->out->stands) return;
  if (call->answered || call->out->abandoned) {
    // Nobody waits for it any more: it must not go on at the server.
    counters_.add("broker.stood_too_late");
    call->out->abandoned = true;
    emit(ReleaseServer{call->request, e.attempt, 16});
    return on(AttemptOver{e.call, e.attempt, Outcome::cancelled, {}, {}, 16, true, {}});
  }
  call->out->stands = true;
  ++standing_;
  const ServerId server = call->out->server;
  const Duration delay = now_ - call->out->sent_at;
  if (Server& at = servers_[server]; !is_warm(at)) {
    keep_window(at.stood);
    at.stood.push_back(now_);
  }
  record(*call, {});
  answer(*call, true, false, Why::ended, {}, e.description);
  tell_module(CallStands{e.call, e.attempt, server, delay});
}

void Broker::on(const AttemptOver& e) {
  Call* call = find(e.call);
  if (call == nullptr || !call->out || call->out->index != e.attempt) return;
  const Attempt out = *call->out;
  if (!out.stands) record(*call, e.outcome);
  call->out.reset();
  attempt_ended(*call, e.outcome);
  if (out.stands) {
    --standing_;
    counters_.add(e.outcome == Outcome::ok ? "broker.calls_ended" : "broker.calls_cut");
    if (e.outcome != Outcome::cancelled) emit(ReleaseCaller{e.call, e.cause});
  } else {
    counters_.add("broker.attempts_ended");
    // A success that crossed our giving up stood at the server for a moment: a further attempt might ring the
    // callee twice, so there is none.
    if (e.crossed && !call->answered) answer(*call, false, false, Why::crossed, stay_away(), {});
  }
  AttemptEnded ended;
  ended.call = e.call;
  ended.attempt = e.attempt;
  ended.server = out.server;
  ended.outcome = e.outcome;
  ended.delay = now_ - out.sent_at;
  ended.call_over = call->answered;
  ended.reason = e.reason;
  ended.told_wait = e.told_wait;
  ended.report = e.report;
  tell_module(ended);
  settle_module();
  forget_if_over(e.call);
}

void Broker::attempt_ended(Call& call, Outcome outcome) {
  if (leaves_traces(outcome)) call.guard_until = now_ + settings_.release_guard + kGuardMargin;
  if (!call.followed_by) return;
  Call* next = find(*std::exchange(call.followed_by, std::nullopt));
  if (next == nullptr) return;
  next->after.reset();
  next->guard_until = std::max(next->guard_until, call.guard_until);
  if (next->out && !next->out->sent)
    alarm(std::max(next->guard_until, now_), {Alarm::Kind::guard, next->request->call, {}});
}

// A connection that fell silent gives up its set-ups; one of them may have stood at the server and be over
// there. Its release comes on the next connection, while the call waits here for the guard or for the module.
// Passed on to the caller it was the final answer, and yet the call was sent on. The callee has been rung:
// the call is ended here. Where its next attempt is out already that one goes on, and is the last.
void Broker::on(const ServerReleased& e) {
  const auto known = by_label_.find(e.label);
  if (known == by_label_.end()) {
    if (!e.remembered) emit(PassOnRelease{e.label, e.cause});
    return;
  }
  const CallId id = known->second;
  Call& call = calls_.at(id);
  if (call.answered) return counters_.add("broker.releases_after_answer");
  counters_.add("broker.releases_before_answer");
  if (call.out && call.out->sent && !call.out->abandoned) {
    call.most_attempts = call.attempts;
    return;
  }
  answer(call, false, false, Why::crossed, stay_away(), {});
  tell_module(CallerLeft{id});
  settle_module();
  forget_if_over(id);
}

void Broker::on(const ServersChanged& e) {
  if (e.list.kind == ListKind::refused) return;
  if (e.list.kind != ListKind::changes) {
    for (auto& [id, server] : servers_) server.state = ServerState::terminated;
  }
  for (const ServerEntry& entry : e.list.entries) {
    Server& server = servers_[entry.server];
    if (server.online_since != entry.online_since) server.sends.clear();
    server.state = entry.state;
    server.online_since = entry.online_since;
  }
  tell_module(e.list);
}

void Broker::on(const ReportHeard& e) { tell_module(ServerReport{e.server, e.report}); }

void Broker::on(const Stopping&) {
  std::vector<CallId> open;
  for (const auto& [id, call] : calls_) {
    if (!call.answered) open.push_back(id);
  }
  std::ranges::sort(open);
  for (const CallId id : open) {
    Call* call = find(id);
    if (call == nullptr || call->answered) continue;
    counters_.add("broker.given_up_at_the_end");
    // One that was never sent on may be tried again elsewhere at once.
    answer(*call, false, call->attempts == 0, Why::stopping, stay_away(), {});
    tell_module(CallerLeft{id});
    settle_module();
    forget_if_over(id);
  }
}

void Broker::on(const Retuned& e) {
  settings_ = e.settings;
  tell_module(SettingsChanged{e.settings});
}

std::vector<bool> Broker::places_in_use() const {
  std::vector<bool> in_use(settings_.classes.size());
  for (const auto& [id, call] : calls_) {
    if (call.request->call_class < in_use.size()) in_use[call.request->call_class] = true;
  }
  return in_use;
}

// ---- time

void Broker::on(const TimerRang& e) {
  const auto it = alarms_.find(e.timer);
  if (it == alarms_.end()) return;
  const Alarm rang = it->second;
  alarms_.erase(it);
  if (rang.kind == Alarm::Kind::module) return tell_module(TimerDue{rang.timer});
  Call* call = find(rang.call);
  if (call == nullptr) return;
  if (rang.kind == Alarm::Kind::deadline) return overdue(*call);
  if (call->out && !call->out->sent && !call->after) start(*call);
}

// The caller stops waiting now. The module hears of the time-out and may still say how to answer; if it says
// nothing, the answer is given all the same.
void Broker::overdue(Call& call) {
  if (call.answered) return;
  const CallId id = call.request->call;
  counters_.add("broker.overdue");
  if (call.out) {
    const Attempt out = *call.out;
    record(call, Outcome::timed_out);
    if (out.sent && !out.abandoned) emit(AbandonAttempt{call.request, out.index});
    call.out.reset();
    attempt_ended(call, out.sent ? Outcome::timed_out : Outcome::not_sent);
    AttemptEnded ended;
    ended.call = id;
    ended.attempt = out.index;
    ended.server = out.server;
    ended.outcome = out.sent ? Outcome::timed_out : Outcome::not_sent;
    ended.delay = now_ - (out.sent ? out.sent_at : now_);
    tell_module(ended);
    settle_module();
  }
  Call* left = find(id);
  if (left == nullptr) return;
  if (!left->answered) {
    answer(*left, false, false, Why::overdue, stay_away(), {});
    tell_module(CallerLeft{id});  // what it still holds for the call is void
  }
  settle_module();
  forget_if_over(id);
}

// ---- the module's actions

void Broker::tell_module(const graniterun::Event& event) {
  for_module_.push_back(event);
  if (!in_module_) settle_module();
}

void Broker::settle_module() {
  if (in_module_) return;
  in_module_ = true;
  std::vector<Action> actions;
  while (!for_module_.empty()) {
    const graniterun::Event event = std::move(for_module_.front());
    for_module_.pop_front();
    actions.clear();
    decide_(now_, event, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { act(a); }, action);
  }
  in_module_ = false;
}

void Broker::act(const SendSetUp& a) {
  Call* call = find(a.call);
  if (call == nullptr) return;
  const int index = call->attempts++;
  std::string_view why_not;
  if (call->answered || call->out || now_ >= call->deadline || index >= call->most_attempts) {
    counters_.add("broker.sends_barred.call");
    return not_sent(*call, index, a.server);
  }
  if (!may_send(a.server, why_not)) {
    counters_.add(why_not);
    return not_sent(*call, index, a.server);
  }
  call->out = Attempt{index, a.server, std::min(a.give_up_at, call->deadline), now_, false, false, false};
  if (call->after) return counters_.add("broker.sends_guarded");  // started at the other's end
  if (now_ < call->guard_until) {
    counters_.add("broker.sends_guarded");
    return alarm(call->guard_until, {Alarm::Kind::guard, a.call, {}});
  }
  start(*call);
}

void Broker::start(Call& call) {
  Attempt& out = *call.out;
  // The server may have begun to drain while the attempt waited for the guard.
  std::string_view why_not;
  if (!may_send(out.server, why_not) || now_ >= call.deadline) {
    const Attempt waiting = out;
    call.out.reset();
    return not_sent(call, waiting.index, waiting.server);
  }
  out.sent = true;
  out.sent_at = now_;
  Server& server = servers_[out.server];
  server.sends.push_back(now_);
  // Only what was sent counts: a set-up that waited for the guard in vain once raised it too.
  if (is_warm(server)) server.busiest = std::max(server.busiest, static_cast<double>(server.sends.size()));
  counters_.add("broker.attempts");
  emit(StartAttempt{call.request, out.index, out.server, out.give_up_at});
}

void Broker::not_sent(Call& call, int index, ServerId server) {
  AttemptEnded ended;
  ended.call = call.request->call;
  ended.attempt = index;
  ended.server = server;
  ended.outcome = Outcome::not_sent;
  ended.call_over = call.answered;
  tell_module(ended);
}

void Broker::keep_window(std::deque<Time>& times) const {
  while (!times.empty() && now_ - times.front() > settings_.fall_window) times.pop_front();
}

// In service, and a cold one not beyond what this gatekeeper's own part of its warm load allows, or what it
// has just answered here, if that is more: it has warmed as far at least. The module spends less than that,
// so this binds only where it errs.
bool Broker::may_send(ServerId id, std::string_view& why_not) {
  const auto it = servers_.find(id);
  if (it == servers_.end() || it->second.state != ServerState::in_service) {
    why_not = "broker.sends_barred.drain";
    return false;
  }
  Server& server = it->second;
  keep_window(server.sends);
  const auto recent = static_cast<double>(server.sends.size());
  if (is_warm(server)) return true;
  double busiest = 0.0;
  for (const auto& [other, s] : servers_) busiest = std::max(busiest, s.busiest);
  keep_window(server.stood);
  const double can_do = std::max(settings_.cold_share * busiest, static_cast<double>(server.stood.size()));
  if (recent < std::max(kColdLeast, settings_.fall_multiple * can_do)) return true;
  why_not = "broker.sends_barred.cold";
  return false;
}

void Broker::act(const CancelAttempt& a) {
  Call* call = find(a.call);
  if (call == nullptr || !call->out || call->out->index != a.attempt) return;
  if (!call->out->stands) give_up_attempt(*call);
}

void Broker::give_up_attempt(Call& call) {
  if (call.out->abandoned) return;
  if (!call.out->sent) {  // it still waits for the guard: nothing has to be called off
    const Attempt waiting = *call.out;
    call.out.reset();
    return not_sent(call, waiting.index, waiting.server);
  }
  call.out->abandoned = true;
  counters_.add("broker.attempts_abandoned");
  emit(AbandonAttempt{call.request, call.out->index});
}

void Broker::act(const Refuse& a) {
  if (Call* call = find(a.call); call != nullptr && !call->answered) {
    answer(*call, false, true, Why::throttled, a.stay_away, {});
    forget_if_over(a.call);
  }
}

void Broker::act(const Fail& a) {
  if (Call* call = find(a.call); call != nullptr && !call->answered) {
    answer(*call, false, false, now_ >= call->deadline ? Why::overdue : Why::no_success, stay_away(), {});
    forget_if_over(a.call);
  }
}

void Broker::act(const SetTimer& a) { alarm(now_ + a.after, {Alarm::Kind::module, {}, a.timer}); }

// ---- small things

void Broker::answer(Call& call, bool served, bool refused, Why why, Duration wait,
                    const std::string& description, limits::Treatment treatment) {
  call.answered = true;
  call.turned_down = !served;
  --unanswered_;
  const CallId id = call.request->call;
  tallies_.answered(call.request->class_name, served, refused);
  if (served) {
    counters_.add("broker.served");
    emit(Serve{id, description});
  } else {
    counters_.add(refused ? "broker.refused" : "broker.failed");
    emit(TurnDown{id, refused, why, wait, std::move(treatment)});
    if (call.out) give_up_attempt(call);
  }
  emit(RequestAnswered{call.request, call.came, served, served ? std::nullopt : std::optional(why),
                       std::move(call.records)});
}

void Broker::record(Call& call, std::optional<Outcome> outcome) {
  // Called just before or after the attempt ends; `out` is the one that was sent last.
  AttemptRecord r;
  r.outcome = outcome;
  r.ended = now_;
  if (call.out) {
    r.server = call.out->server;
    r.began = call.out->sent_at;
  }
  if (!call.answered) call.records.push_back(r);
}

void Broker::forget_if_over(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || !it->second.answered || it->second.out) return;
  const auto label = by_label_.find(it->second.request->label);
  if (label != by_label_.end() && label->second == id) by_label_.erase(label);
  keep_guard(it->second);
  calls_.erase(it);
}

// The guard of a call outlives it: its label may come again.
void Broker::keep_guard(const Call& call) {
  while (!guards_by_time_.empty() &&
         (guards_by_time_.front().first <= now_ || guards_by_time_.size() >= kMostGuards)) {
    const auto old = guards_.find(guards_by_time_.front().second);
    if (old != guards_.end() && old->second <= guards_by_time_.front().first) guards_.erase(old);
    guards_by_time_.pop_front();
  }
  if (call.guard_until <= now_) return;
  guards_.insert_or_assign(call.request->label, call.guard_until);
  guards_by_time_.emplace_back(call.guard_until, call.request->label);
}

void Broker::alarm(Time at, Alarm alarm) {
  alarms_.emplace(++last_alarm_, alarm);
  emit(SetAlarm{at, last_alarm_});
}

Duration Broker::stay_away() const {
  return settings_.max_stay_away > Duration{} ? std::min(kStayAway, settings_.max_stay_away) : kStayAway;
}

Broker::Call* Broker::find(CallId id) {
  const auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : &it->second;
}

}  // namespace graniterun::core
