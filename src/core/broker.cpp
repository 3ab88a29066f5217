#include "core/broker.h"

#include <algorithm>
#include <utility>

namespace graniterun::core {
namespace {

using namespace std::chrono_literals;

// On top of the release guard: its time runs from when the other side has heard of the end.
constexpr Duration kGuardMargin = 30ms;
// Sends that a cold server may have in a window from one gatekeeper, however little is known of it.
constexpr double kMinSlowStartSends = 4.0;
// Release guards of calls that are over, at most: some tens of thousands of calls a second would be needed.
constexpr std::size_t kMaxReleaseGuards = 16384;
// Advice to a caller whose request came to nothing, where the module gives none and the settings allow as
// much.
constexpr Duration kDefaultRetryAfter = 500ms;

bool leaves_traces(Outcome outcome) {
  return outcome == Outcome::timed_out || outcome == Outcome::reset || outcome == Outcome::cancelled;
}

}  // namespace

Broker::Broker(const Settings& settings, std::uint64_t seed, Contracts contracts, Counters& counters,
               AdmissionCheck gate)
    : Broker(settings, std::make_shared<Controller>(settings, seed), std::move(contracts), counters,
             std::move(gate)) {}

Broker::Broker(const Settings& settings, std::shared_ptr<Controller> controller, Contracts contracts,
               Counters& counters, AdmissionCheck gate)
    : Broker(
          settings,
          [controller](Time now, const graniterun::Event& event, std::vector<Action>& actions) {
            controller->handle(now, event, actions);
          },
          std::move(contracts), counters, std::move(gate)) {
  controller_ = std::move(controller);
}

Broker::Broker(const Settings& settings, Decide decide, Contracts contracts, Counters& counters,
               AdmissionCheck gate)
    : settings_(settings),
      contracts_(std::move(contracts)),
      counters_(counters),
      decide_(std::move(decide)),
      admission_check_(std::move(gate)) {}

void Broker::step(Time now, const Event& event, Effects& effects) {
  now_ = std::max(now, now_);
  effects_ = &effects;
  std::visit([this](const auto& notice) { on(notice); }, event);
  drain_controller_events();
  effects_ = nullptr;
}

// ---- callers

void Broker::on(const RequestReceived& event) {
  if (calls_.contains(event.request.call)) return;
  counters_.add("broker.requests");
  Call& call = calls_[event.request.call];
  call.request = std::make_shared<const Request>(event.request);
  call.received_at = now_;
  call.deadline = event.request.deadline;
  call.max_attempts = settings_.max_attempts;
  // The same id may come again just after it ended: its caller closed and came back. To servers it is the
  // same call.
  if (const auto guard = guards_.find(event.request.correlation_id); guard != guards_.end())
    call.guard_until = guard->second;
  if (const auto known = by_correlation_id_.find(event.request.correlation_id);
      known != by_correlation_id_.end()) {
    Call& before = calls_.at(known->second);
    call.guard_until = std::max(call.guard_until, before.guard_until);
    if (before.current_attempt && before.current_attempt->sent) {
      call.predecessor = known->second;
      before.successor = event.request.call;
    }
  }
  by_correlation_id_.insert_or_assign(event.request.correlation_id, event.request.call);
  ++unanswered_;
  const auto turn_down = [&](bool refused, RejectReason why, Duration wait,
                             call_gapping::Treatment treatment = {}) {
    answer_request(call, false, refused, why, wait, {}, std::move(treatment));
    erase_if_finished(event.request.call);
  };
  // Before the budget: what a gap holds back is not to use up its team's. A slot that a call has taken is not
  // given back where it comes to nothing later: the next one would pass in the same interval.
  if (admission_check_ && call.deadline > now_) {
    if (call_gapping::Verdict verdict = admission_check_(now_, event.request); !verdict.passes) {
      counters_.add("broker.gapped");
      return turn_down(true, RejectReason::gapped, verdict.retry_after, std::move(verdict.treatment));
    }
  }
  const Contracts::Terms terms = contracts_.admit(now_, event.request.team, event.request.class_name);
  if (terms.deadline) call.deadline = std::min(call.deadline, now_ + *terms.deadline);
  if (terms.attempts) call.max_attempts = std::min(call.max_attempts, *terms.attempts);
  if (terms.over_budget_retry_after) {
    counters_.add("broker.over_budget");
    return turn_down(true, RejectReason::over_budget, *terms.over_budget_retry_after);
  }
  if (call.deadline <= now_) return turn_down(false, RejectReason::deadline_exceeded, default_retry_after());
  arm_timer(call.deadline, {PendingTimer::Kind::deadline, event.request.call, {}});
  NewCall query;
  query.call = event.request.call;
  query.call_class = event.request.call_class;
  query.number = event.request.number;
  query.destination = event.request.destination;
  query.deadline = call.deadline;
  query.circuits = event.request.circuits;
  query.cut_before = event.request.cut_before;
  query.redial = event.request.redial;
  notify_controller(query);
}

void Broker::on(const RequestCancelled& event) {
  Call* call = find(event.call);
  if (call == nullptr || call->answered) return;
  counters_.add("broker.given_up");
  call->answered = true;
  --unanswered_;
  notify_controller(CallerDisconnected{event.call});
  drain_controller_events();
  // Whether the module thinks of it or not: nothing is to go on for a caller that has left.
  if (call = find(event.call); call != nullptr && call->current_attempt) abandon_attempt(*call);
  drain_controller_events();
  erase_if_finished(event.call);
}

void Broker::on(const CallerReleased& event) {
  Call* call = find(event.call);
  if (call == nullptr) return;
  if (!call->current_attempt || !call->current_attempt->established) return on(RequestCancelled{event.call});
  counters_.add("broker.released_by_caller");
  emit(ReleaseServer{call->request, call->current_attempt->index, event.cause});
  on(AttemptFinished{
      event.call, call->current_attempt->index, Outcome::cancelled, {}, {}, event.cause, false, {}});
}

// ---- servers

void Broker::on(const AttemptEstablished& event) {
  Call* call = find(event.call);
  if (call == nullptr || !call->current_attempt || call->current_attempt->index != event.attempt ||
      call->current_attempt->established)
    return;
  if (call->answered || call->current_attempt->abandoned) {
    // Nobody waits for it any more: it must not go on at the server.
    counters_.add("broker.stood_too_late");
    call->current_attempt->abandoned = true;
    emit(ReleaseServer{call->request, event.attempt, 16});
    return on(AttemptFinished{event.call, event.attempt, Outcome::cancelled, {}, {}, 16, true, {}});
  }
  call->current_attempt->established = true;
  ++established_;
  const ServerId server = call->current_attempt->server;
  const Duration delay = now_ - call->current_attempt->sent_at;
  if (Server& at = servers_[server]; !is_warmed_up(at)) {
    trim_window(at.recently_established);
    at.recently_established.push_back(now_);
  }
  record_attempt(*call, {});
  answer_request(*call, true, false, RejectReason::ended, {}, event.description);
  notify_controller(CallEstablished{event.call, event.attempt, server, delay});
}

void Broker::on(const AttemptFinished& event) {
  Call* call = find(event.call);
  if (call == nullptr || !call->current_attempt || call->current_attempt->index != event.attempt) return;
  const Attempt out = *call->current_attempt;
  if (!out.established) record_attempt(*call, event.outcome);
  call->current_attempt.reset();
  record_attempt_end(*call, event.outcome);
  if (out.established) {
    --established_;
    counters_.add(event.outcome == Outcome::ok ? "broker.calls_ended" : "broker.calls_cut");
    if (event.outcome != Outcome::cancelled) emit(ReleaseCaller{event.call, event.cause});
  } else {
    counters_.add("broker.attempts_ended");
    // A success that crossed our giving up stood at the server for a moment: a further attempt might ring the
    // callee twice, so there is none.
    if (event.late_success && !call->answered)
      answer_request(*call, false, false, RejectReason::late_success, default_retry_after(), {});
  }
  AttemptEnded ended;
  ended.call = event.call;
  ended.attempt = event.attempt;
  ended.server = out.server;
  ended.outcome = event.outcome;
  ended.delay = now_ - out.sent_at;
  ended.call_finished = call->answered;
  ended.reason = event.reason;
  ended.retry_after = event.retry_after;
  ended.report = event.report;
  notify_controller(ended);
  drain_controller_events();
  erase_if_finished(event.call);
}

void Broker::record_attempt_end(Call& call, Outcome outcome) {
  if (leaves_traces(outcome)) call.guard_until = now_ + settings_.release_guard + kGuardMargin;
  if (!call.successor) return;
  Call* next = find(*std::exchange(call.successor, std::nullopt));
  if (next == nullptr) return;
  next->predecessor.reset();
  next->guard_until = std::max(next->guard_until, call.guard_until);
  if (next->current_attempt && !next->current_attempt->sent)
    arm_timer(std::max(next->guard_until, now_), {PendingTimer::Kind::guard, next->request->call, {}});
}

// A connection that fell silent gives up its set-ups; one of them may have stood at the server and be over
// there. Its release comes on the next connection, while the call waits here for the guard or for the module.
// Passed on to the caller it was the final answer, and yet the call was sent on. The callee has been rung:
// the call is ended here. Where its next attempt is out already that one goes on, and is the last.
void Broker::on(const ServerReleased& event) {
  const auto known = by_correlation_id_.find(event.correlation_id);
  if (known == by_correlation_id_.end()) {
    if (!event.attempt_known) emit(ForwardRelease{event.correlation_id, event.cause});
    return;
  }
  const CallId id = known->second;
  Call& call = calls_.at(id);
  if (call.answered) return counters_.add("broker.releases_after_answer");
  counters_.add("broker.releases_before_answer");
  if (call.current_attempt && call.current_attempt->sent && !call.current_attempt->abandoned) {
    call.max_attempts = call.attempts;
    return;
  }
  answer_request(call, false, false, RejectReason::late_success, default_retry_after(), {});
  notify_controller(CallerDisconnected{id});
  drain_controller_events();
  erase_if_finished(id);
}

void Broker::on(const ServersChanged& event) {
  if (event.list.kind == ListKind::rejected) return;
  if (event.list.kind != ListKind::changes) {
    for (auto& [id, server] : servers_) server.state = ServerState::terminated;
  }
  for (const ServerEntry& entry : event.list.entries) {
    Server& server = servers_[entry.server];
    if (server.online_since != entry.online_since) server.recent_sends.clear();
    server.state = entry.state;
    server.online_since = entry.online_since;
  }
  notify_controller(event.list);
}

void Broker::on(const LoadReportReceived& event) {
  notify_controller(ServerReport{event.server, event.report});
}

void Broker::on(const ShutdownStarted&) {
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
    answer_request(*call, false, call->attempts == 0, RejectReason::shutting_down, default_retry_after(), {});
    notify_controller(CallerDisconnected{id});
    drain_controller_events();
    erase_if_finished(id);
  }
}

void Broker::on(const SettingsReplaced& event) {
  settings_ = event.settings;
  notify_controller(SettingsChanged{event.settings});
}

std::vector<bool> Broker::places_in_use() const {
  std::vector<bool> in_use(settings_.classes.size());
  for (const auto& [id, call] : calls_) {
    if (call.request->call_class < in_use.size()) in_use[call.request->call_class] = true;
  }
  return in_use;
}

// ---- time

void Broker::on(const TimerExpired& event) {
  const auto it = timers_.find(event.timer);
  if (it == timers_.end()) return;
  const PendingTimer rang = it->second;
  timers_.erase(it);
  if (rang.kind == PendingTimer::Kind::module) return notify_controller(TimerDue{rang.timer});
  Call* call = find(rang.call);
  if (call == nullptr) return;
  if (rang.kind == PendingTimer::Kind::deadline) return expire_request(*call);
  if (call->current_attempt && !call->current_attempt->sent && !call->predecessor) start_attempt(*call);
}

// The caller stops waiting now. The module hears of the time-out and may still say how to answer; if it says
// nothing, the answer is given all the same.
void Broker::expire_request(Call& call) {
  if (call.answered) return;
  const CallId id = call.request->call;
  counters_.add("broker.overdue");
  if (call.current_attempt) {
    const Attempt out = *call.current_attempt;
    record_attempt(call, Outcome::timed_out);
    if (out.sent && !out.abandoned) emit(AbandonAttempt{call.request, out.index});
    call.current_attempt.reset();
    record_attempt_end(call, out.sent ? Outcome::timed_out : Outcome::not_sent);
    AttemptEnded ended;
    ended.call = id;
    ended.attempt = out.index;
    ended.server = out.server;
    ended.outcome = out.sent ? Outcome::timed_out : Outcome::not_sent;
    ended.delay = now_ - (out.sent ? out.sent_at : now_);
    notify_controller(ended);
    drain_controller_events();
  }
  Call* left = find(id);
  if (left == nullptr) return;
  if (!left->answered) {
    answer_request(*left, false, false, RejectReason::deadline_exceeded, default_retry_after(), {});
    notify_controller(CallerDisconnected{id});  // what it still holds for the call is void
  }
  drain_controller_events();
  erase_if_finished(id);
}

// ---- the module's actions

void Broker::notify_controller(const graniterun::Event& event) {
  controller_events_.push_back(event);
  if (!draining_controller_) drain_controller_events();
}

void Broker::drain_controller_events() {
  if (draining_controller_) return;
  draining_controller_ = true;
  std::vector<Action> actions;
  while (!controller_events_.empty()) {
    const graniterun::Event event = std::move(controller_events_.front());
    controller_events_.pop_front();
    actions.clear();
    decide_(now_, event, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { apply(a); }, action);
  }
  draining_controller_ = false;
}

void Broker::apply(const SendSetup& action) {
  Call* call = find(action.call);
  if (call == nullptr) return;
  const int index = call->attempts++;
  std::string_view why_not;
  if (call->answered || call->current_attempt || now_ >= call->deadline || index >= call->max_attempts) {
    counters_.add("broker.sends_barred.call");
    return report_not_sent(*call, index, action.server);
  }
  if (!may_send(action.server, why_not)) {
    counters_.add(why_not);
    return report_not_sent(*call, index, action.server);
  }
  call->current_attempt =
      Attempt{index, action.server, std::min(action.deadline, call->deadline), now_, false, false, false};
  if (call->predecessor) return counters_.add("broker.sends_guarded");  // started at the other's end
  if (now_ < call->guard_until) {
    counters_.add("broker.sends_guarded");
    return arm_timer(call->guard_until, {PendingTimer::Kind::guard, action.call, {}});
  }
  start_attempt(*call);
}

void Broker::start_attempt(Call& call) {
  Attempt& out = *call.current_attempt;
  // The server may have begun to drain while the attempt waited for the guard.
  std::string_view why_not;
  if (!may_send(out.server, why_not) || now_ >= call.deadline) {
    const Attempt waiting = out;
    call.current_attempt.reset();
    return report_not_sent(call, waiting.index, waiting.server);
  }
  out.sent = true;
  out.sent_at = now_;
  Server& server = servers_[out.server];
  server.recent_sends.push_back(now_);
  // Only what was sent counts: a set-up that waited for the guard in vain once raised it too.
  if (is_warmed_up(server))
    server.peak_sends = std::max(server.peak_sends, static_cast<double>(server.recent_sends.size()));
  counters_.add("broker.attempts");
  emit(StartAttempt{call.request, out.index, out.server, out.deadline});
}

void Broker::report_not_sent(Call& call, int index, ServerId server) {
  AttemptEnded ended;
  ended.call = call.request->call;
  ended.attempt = index;
  ended.server = server;
  ended.outcome = Outcome::not_sent;
  ended.call_finished = call.answered;
  notify_controller(ended);
}

void Broker::trim_window(std::deque<Time>& times) const {
  while (!times.empty() && now_ - times.front() > settings_.overload_window) times.pop_front();
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
  trim_window(server.recent_sends);
  const auto recent = static_cast<double>(server.recent_sends.size());
  if (is_warmed_up(server)) return true;
  double busiest = 0.0;
  for (const auto& [other, s] : servers_) busiest = std::max(busiest, s.peak_sends);
  trim_window(server.recently_established);
  const double can_do = std::max(settings_.slow_start_fraction * busiest,
                                 static_cast<double>(server.recently_established.size()));
  if (recent < std::max(kMinSlowStartSends, settings_.overload_multiple * can_do)) return true;
  why_not = "broker.sends_barred.cold";
  return false;
}

void Broker::apply(const CancelAttempt& action) {
  Call* call = find(action.call);
  if (call == nullptr || !call->current_attempt || call->current_attempt->index != action.attempt) return;
  if (!call->current_attempt->established) abandon_attempt(*call);
}

void Broker::abandon_attempt(Call& call) {
  if (call.current_attempt->abandoned) return;
  if (!call.current_attempt->sent) {  // it still waits for the guard: nothing has to be called off
    const Attempt waiting = *call.current_attempt;
    call.current_attempt.reset();
    return report_not_sent(call, waiting.index, waiting.server);
  }
  call.current_attempt->abandoned = true;
  counters_.add("broker.attempts_abandoned");
  emit(AbandonAttempt{call.request, call.current_attempt->index});
}

void Broker::apply(const Reject& action) {
  if (Call* call = find(action.call); call != nullptr && !call->answered) {
    answer_request(*call, false, true, RejectReason::throttled, action.retry_after, {});
    erase_if_finished(action.call);
  }
}

void Broker::apply(const Fail& action) {
  if (Call* call = find(action.call); call != nullptr && !call->answered) {
    answer_request(*call, false, false,
                   now_ >= call->deadline ? RejectReason::deadline_exceeded : RejectReason::attempts_failed,
                   default_retry_after(), {});
    erase_if_finished(action.call);
  }
}

void Broker::apply(const SetTimer& action) {
  arm_timer(now_ + action.delay, {PendingTimer::Kind::module, {}, action.timer});
}

// ---- small things

void Broker::answer_request(Call& call, bool served, bool refused, RejectReason why, Duration wait,
                            const std::string& description, call_gapping::Treatment treatment) {
  call.answered = true;
  call.rejected = !served;
  --unanswered_;
  const CallId id = call.request->call;
  metrics_.answered(call.request->class_name, served, refused);
  if (served) {
    counters_.add("broker.served");
    emit(AnswerCaller{id, description});
  } else {
    counters_.add(refused ? "broker.refused" : "broker.failed");
    emit(RejectRequest{id, refused, why, wait, std::move(treatment)});
    if (call.current_attempt) abandon_attempt(call);
  }
  emit(RequestAnswered{call.request, call.received_at, served, served ? std::nullopt : std::optional(why),
                       std::move(call.attempt_records)});
}

void Broker::record_attempt(Call& call, std::optional<Outcome> outcome) {
  // Called just before or after the attempt ends; `out` is the one that was sent last.
  AttemptRecord attempt;
  attempt.outcome = outcome;
  attempt.ended_at = now_;
  if (call.current_attempt) {
    attempt.server = call.current_attempt->server;
    attempt.started_at = call.current_attempt->sent_at;
  }
  if (!call.answered) call.attempt_records.push_back(attempt);
}

void Broker::erase_if_finished(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || !it->second.answered || it->second.current_attempt) return;
  const auto label = by_correlation_id_.find(it->second.request->correlation_id);
  if (label != by_correlation_id_.end() && label->second == id) by_correlation_id_.erase(label);
  retain_release_guard(it->second);
  calls_.erase(it);
}

// The guard of a call outlives it: its label may come again.
void Broker::retain_release_guard(const Call& call) {
  while (!guards_by_time_.empty() &&
         (guards_by_time_.front().first <= now_ || guards_by_time_.size() >= kMaxReleaseGuards)) {
    const auto old = guards_.find(guards_by_time_.front().second);
    if (old != guards_.end() && old->second <= guards_by_time_.front().first) guards_.erase(old);
    guards_by_time_.pop_front();
  }
  if (call.guard_until <= now_) return;
  guards_.insert_or_assign(call.request->correlation_id, call.guard_until);
  guards_by_time_.emplace_back(call.guard_until, call.request->correlation_id);
}

void Broker::arm_timer(Time at, PendingTimer alarm) {
  timers_.emplace(++last_timer_, alarm);
  emit(ArmTimer{at, last_timer_});
}

Duration Broker::default_retry_after() const {
  return settings_.max_retry_after > Duration{} ? std::min(kDefaultRetryAfter, settings_.max_retry_after)
                                                : kDefaultRetryAfter;
}

Broker::Call* Broker::find(CallId id) {
  const auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : &it->second;
}

}  // namespace graniterun::core
