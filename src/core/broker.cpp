#include "core/broker.h"

#include <algorithm>
#include <utility>

namespace graniterun::core {
namespace {

using namespace std::chrono_literals;

// Added to the release guard, which counts from when the server has learned of the attempt's end.
constexpr Duration kGuardMargin = 30ms;
// Minimum number of sends that one gatekeeper may make to a server in slow start within an overload window.
constexpr double kMinSlowStartSends = 4.0;
// How long, and for how many of the last calls, a correlation id that comes again is recognized. Callers give
// every request a new id.
constexpr Duration kAttemptedIdRetention = 60s;
constexpr std::size_t kMaxAttemptedIds = 32768;
// Retry-after of a request that fails without one from the Controller, limited by the settings' maximum.
constexpr Duration kDefaultRetryAfter = 500ms;

// Whether the release guard applies after the outcome: the server may still be working on the attempt.
bool requires_release_guard(Outcome outcome) {
  return outcome == Outcome::timed_out || outcome == Outcome::reset || outcome == Outcome::cancelled;
}

// Whether the server may have run an attempt that ended so.
bool may_have_run(Outcome outcome) {
  return outcome != Outcome::not_sent && outcome != Outcome::no_connection && outcome != Outcome::full;
}

}  // namespace

Broker::Broker(const Settings& settings, std::uint64_t seed, Contracts contracts, Counters& counters,
               AdmissionCheck admission_check)
    : Broker(settings, std::make_shared<Controller>(settings, seed), std::move(contracts), counters,
             std::move(admission_check)) {}

Broker::Broker(const Settings& settings, std::shared_ptr<Controller> controller, Contracts contracts,
               Counters& counters, AdmissionCheck admission_check)
    : Broker(
          settings,
          [controller](Time now, const graniterun::Event& event, std::vector<Action>& actions) {
            controller->handle(now, event, actions);
          },
          std::move(contracts), counters, std::move(admission_check)) {
  controller_ = std::move(controller);
}

Broker::Broker(const Settings& settings, DecisionFunction decide, Contracts contracts, Counters& counters,
               AdmissionCheck admission_check)
    : settings_(settings),
      contracts_(std::move(contracts)),
      counters_(counters),
      decide_(std::move(decide)),
      admission_check_(std::move(admission_check)),
      attempted_ids_(kAttemptedIdRetention, kMaxAttemptedIds) {}

void Broker::step(Time now, const Event& event, Effects& effects) {
  now_ = std::max(now, now_);
  effects_ = &effects;
  std::visit([this](const auto& alternative) { on(alternative); }, event);
  drain_controller_events();
  fail_repeated_requests();
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
  // A correlation id may come again after its call ended, when the caller closed and reconnected. Servers
  // treat both as the same call: it is attempted only if no attempt of the earlier one may have run.
  bool is_repeated = attempted_ids_.contains(now_, event.request.correlation_id);
  if (const auto existing = by_correlation_id_.find(event.request.correlation_id);
      existing != by_correlation_id_.end()) {
    Call& earlier = calls_.at(existing->second);
    is_repeated = is_repeated || earlier.may_have_run ||
                  (earlier.current_attempt && earlier.current_attempt->established);
    if (!is_repeated && earlier.current_attempt && earlier.current_attempt->sent) {
      call.predecessor = existing->second;
      earlier.successor = event.request.call;
    }
  }
  if (!is_repeated) by_correlation_id_.insert_or_assign(event.request.correlation_id, event.request.call);
  ++unanswered_;
  const auto answer_without_call = [&](bool rejected, RejectReason reason, Duration retry_after,
                                       call_gapping::GapTreatment treatment = {}) {
    answer_request(call, false, rejected, reason, retry_after, {}, std::move(treatment));
    erase_if_finished(event.request.call);
  };
  if (is_repeated) {
    counters_.add("broker.repeated_ids");
    return answer_without_call(false, RejectReason::repeated_id, default_retry_after());
  }
  // Call gaps are checked before the budget, so that a gapped call does not consume its team's budget. A gap
  // slot used by a call is not returned if the call fails later, since a second call would then pass in the
  // same interval.
  if (admission_check_ && call.deadline > now_) {
    if (call_gapping::GapDecision verdict = admission_check_(now_, event.request); !verdict.passes) {
      counters_.add("broker.gapped");
      return answer_without_call(true, RejectReason::gapped, verdict.retry_after,
                                 std::move(verdict.treatment));
    }
  }
  const Contracts::Terms terms = contracts_.admit(now_, event.request.team, event.request.class_name);
  if (terms.deadline) call.deadline = std::min(call.deadline, now_ + *terms.deadline);
  if (terms.attempts) call.max_attempts = std::min(call.max_attempts, *terms.attempts);
  if (terms.over_budget_retry_after) {
    counters_.add("broker.over_budget");
    return answer_without_call(true, RejectReason::over_budget, *terms.over_budget_retry_after);
  }
  if (call.deadline <= now_)
    return answer_without_call(false, RejectReason::deadline_exceeded, default_retry_after());
  arm_timer(call.deadline, {PendingTimer::Kind::deadline, event.request.call, {}});
  NewCall new_call;
  new_call.call = event.request.call;
  new_call.call_class = event.request.call_class;
  new_call.number = event.request.number;
  new_call.destination = event.request.destination;
  new_call.deadline = call.deadline;
  new_call.circuits = event.request.circuits;
  new_call.is_reconnect = event.request.is_reconnect;
  new_call.redial = event.request.redial;
  notify_controller(new_call);
}

void Broker::on(const RequestCancelled& event) {
  Call* call = find(event.call);
  if (call == nullptr || call->answered) return;
  counters_.add("broker.given_up");
  call->answered = true;
  --unanswered_;
  notify_controller(CallerDisconnected{event.call});
  drain_controller_events();
  // The attempt is cancelled even if the Controller did not ask for it: the caller has disconnected.
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
    // The request is already answered or the attempt cancelled, so the call is released at the server.
    counters_.add("broker.stood_too_late");
    call->current_attempt->abandoned = true;
    emit(ReleaseServer{call->request, event.attempt, 16});
    return on(AttemptFinished{event.call, event.attempt, Outcome::cancelled, {}, {}, 16, true, {}});
  }
  call->current_attempt->established = true;
  ++established_;
  const ServerId server = call->current_attempt->server;
  const Duration delay = now_ - call->current_attempt->sent_at;
  if (Server& state = servers_[server]; !is_warmed_up(state)) {
    trim_window(state.recently_established);
    state.recently_established.push_back(now_);
  }
  record_attempt(*call, {});
  answer_request(*call, true, false, RejectReason::ended, {}, event.description);
  notify_controller(CallEstablished{event.call, event.attempt, server, delay});
}

void Broker::on(const AttemptFinished& event) {
  Call* call = find(event.call);
  if (call == nullptr || !call->current_attempt || call->current_attempt->index != event.attempt) return;
  const Attempt attempt = *call->current_attempt;
  if (!attempt.established) record_attempt(*call, event.outcome);
  call->current_attempt.reset();
  record_attempt_end(*call, event.outcome);
  if (attempt.established) {
    --established_;
    counters_.add(event.outcome == Outcome::ok ? "broker.calls_ended" : "broker.calls_cut");
    if (event.outcome != Outcome::cancelled) emit(ReleaseCaller{event.call, event.cause});
  } else {
    counters_.add("broker.attempts_ended");
    // The server's success raced the cancellation: the call was briefly established there. Another attempt
    // could ring the callee twice, so the request ends here.
    if (event.late_success && !call->answered)
      answer_request(*call, false, false, RejectReason::late_success, default_retry_after(), {});
  }
  AttemptEnded ended;
  ended.call = event.call;
  ended.attempt = event.attempt;
  ended.server = attempt.server;
  ended.outcome = event.outcome;
  ended.delay = now_ - attempt.sent_at;
  ended.call_finished = call->answered;
  ended.reason = event.reason;
  ended.retry_after = event.retry_after;
  ended.report = event.report;
  notify_controller(ended);
  drain_controller_events();
  erase_if_finished(event.call);
}

void Broker::record_attempt_end(Call& call, Outcome outcome) {
  if (requires_release_guard(outcome)) call.guard_until = now_ + settings_.release_guard + kGuardMargin;
  call.may_have_run = call.may_have_run || may_have_run(outcome);
  if (!call.successor) return;
  if (call.may_have_run) return repeated_requests_.push_back(*std::exchange(call.successor, std::nullopt));
  Call* next = find(*std::exchange(call.successor, std::nullopt));
  if (next == nullptr) return;
  next->predecessor.reset();
  if (next->current_attempt && !next->current_attempt->sent)
    arm_timer(std::max(next->guard_until, now_), {PendingTimer::Kind::guard, next->request->call, {}});
}

// Fails the requests whose correlation id is that of an earlier call which may have run, as has now turned
// out.
void Broker::fail_repeated_requests() {
  while (!repeated_requests_.empty()) {
    const CallId id = repeated_requests_.back();
    repeated_requests_.pop_back();
    Call* call = find(id);
    if (call == nullptr || call->answered) continue;
    counters_.add("broker.repeated_ids");
    answer_request(*call, false, false, RejectReason::repeated_id, default_retry_after(), {});
    notify_controller(CallerDisconnected{id});
    drain_controller_events();
    erase_if_finished(id);
  }
}

// Handles the release of a call whose attempt has already ended here. An unresponsive connection drops its
// attempts; one of them may have been established and ended at the server, whose release then arrives on the
// next connection while the call waits here for the release guard or the Controller. Forwarding that release
// to the caller would be a final answer although the call is attempted again. The callee has already been
// rung, so the request fails here. If its next attempt is already outstanding, that attempt continues and is
// the last.
void Broker::on(const ServerReleased& event) {
  const auto existing = by_correlation_id_.find(event.correlation_id);
  if (existing == by_correlation_id_.end()) {
    if (!event.attempt_known) emit(ForwardRelease{event.correlation_id, event.cause});
    return;
  }
  const CallId id = existing->second;
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
    // A request without any attempt is rejected rather than failed: it may be retried elsewhere immediately.
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

std::vector<bool> Broker::class_indexes_in_use() const {
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
  const PendingTimer expired = it->second;
  timers_.erase(it);
  if (expired.kind == PendingTimer::Kind::controller) return notify_controller(TimerDue{expired.timer});
  Call* call = find(expired.call);
  if (call == nullptr) return;
  if (expired.kind == PendingTimer::Kind::deadline) return expire_request(*call);
  if (call->current_attempt && !call->current_attempt->sent && !call->predecessor) start_attempt(*call);
}

// Handles a request whose deadline has passed. The Controller is notified of the attempt's timeout and may
// still choose the answer; otherwise the request fails with deadline_exceeded.
void Broker::expire_request(Call& call) {
  if (call.answered) return;
  const CallId id = call.request->call;
  counters_.add("broker.overdue");
  if (call.current_attempt) {
    const Attempt attempt = *call.current_attempt;
    record_attempt(call, Outcome::timed_out);
    if (attempt.sent && !attempt.abandoned) emit(AbandonAttempt{call.request, attempt.index});
    call.current_attempt.reset();
    record_attempt_end(call, attempt.sent ? Outcome::timed_out : Outcome::not_sent);
    AttemptEnded ended;
    ended.call = id;
    ended.attempt = attempt.index;
    ended.server = attempt.server;
    ended.outcome = attempt.sent ? Outcome::timed_out : Outcome::not_sent;
    ended.delay = now_ - (attempt.sent ? attempt.sent_at : now_);
    notify_controller(ended);
    drain_controller_events();
  }
  Call* remaining = find(id);
  if (remaining == nullptr) return;
  if (!remaining->answered) {
    answer_request(*remaining, false, false, RejectReason::deadline_exceeded, default_retry_after(), {});
    notify_controller(CallerDisconnected{id});  // the Controller discards its state of the call
  }
  drain_controller_events();
  erase_if_finished(id);
}

// ---- actions of the Controller

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
    for (const Action& action : actions)
      std::visit([this](const auto& alternative) { apply(alternative); }, action);
  }
  draining_controller_ = false;
}

void Broker::apply(const SendSetup& action) {
  Call* call = find(action.call);
  if (call == nullptr) return;
  const int index = call->attempts++;
  std::string_view barred_counter;
  if (call->answered || call->current_attempt || now_ >= call->deadline || index >= call->max_attempts) {
    counters_.add("broker.sends_barred.call");
    return report_not_sent(*call, index, action.server);
  }
  if (!may_send(action.server, barred_counter)) {
    counters_.add(barred_counter);
    return report_not_sent(*call, index, action.server);
  }
  call->current_attempt =
      Attempt{index, action.server, std::min(action.deadline, call->deadline), now_, false, false, false};
  if (call->predecessor) return counters_.add("broker.sends_guarded");  // started when the predecessor ends
  if (now_ < call->guard_until) {
    counters_.add("broker.sends_guarded");
    return arm_timer(call->guard_until, {PendingTimer::Kind::guard, action.call, {}});
  }
  start_attempt(*call);
}

void Broker::start_attempt(Call& call) {
  Attempt& attempt = *call.current_attempt;
  // The server may have begun to drain while the attempt waited for the release guard.
  std::string_view barred_counter;
  if (!may_send(attempt.server, barred_counter) || now_ >= call.deadline) {
    const Attempt waiting = attempt;
    call.current_attempt.reset();
    return report_not_sent(call, waiting.index, waiting.server);
  }
  attempt.sent = true;
  attempt.sent_at = now_;
  Server& server = servers_[attempt.server];
  server.recent_sends.push_back(now_);
  // Counts sent attempts only. An attempt that waited for the release guard and was never sent must not raise
  // the peak.
  if (is_warmed_up(server))
    server.peak_sends = std::max(server.peak_sends, static_cast<double>(server.recent_sends.size()));
  counters_.add("broker.attempts");
  emit(StartAttempt{call.request, attempt.index, attempt.server, attempt.deadline});
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

// Whether the server may get a new setup; if not, sets `barred_counter` to the name of the counter to
// increment. The server must be in service. During slow start, sends within an overload window are also
// limited to a multiple of its estimated capacity: the larger of a fraction of this gatekeeper's peak sends
// to any server and the calls recently established there. The Controller stays below this limit, so it takes
// effect only if the Controller errs.
bool Broker::may_send(ServerId id, std::string_view& barred_counter) {
  const auto it = servers_.find(id);
  if (it == servers_.end() || it->second.state != ServerState::in_service) {
    barred_counter = "broker.sends_barred.drain";
    return false;
  }
  Server& server = it->second;
  trim_window(server.recent_sends);
  const auto recent = static_cast<double>(server.recent_sends.size());
  if (is_warmed_up(server)) return true;
  double peak_sends = 0.0;
  for (const auto& [other_id, other] : servers_) peak_sends = std::max(peak_sends, other.peak_sends);
  trim_window(server.recently_established);
  const double capacity = std::max(settings_.slow_start_fraction * peak_sends,
                                   static_cast<double>(server.recently_established.size()));
  if (recent < std::max(kMinSlowStartSends, settings_.overload_multiple * capacity)) return true;
  barred_counter = "broker.sends_barred.cold";
  return false;
}

void Broker::apply(const CancelAttempt& action) {
  Call* call = find(action.call);
  if (call == nullptr || !call->current_attempt || call->current_attempt->index != action.attempt) return;
  if (!call->current_attempt->established) abandon_attempt(*call);
}

void Broker::abandon_attempt(Call& call) {
  if (call.current_attempt->abandoned) return;
  if (!call.current_attempt->sent) {  // it waits for the release guard: there is nothing to cancel
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
  arm_timer(now_ + action.delay, {PendingTimer::Kind::controller, {}, action.timer});
}

// ---- helpers

void Broker::answer_request(Call& call, bool served, bool rejected, RejectReason reason, Duration retry_after,
                            const std::string& description, call_gapping::GapTreatment treatment) {
  call.answered = true;
  call.rejected = !served;
  --unanswered_;
  const CallId id = call.request->call;
  metrics_.count_answer(call.request->class_name, served, rejected);
  if (served) {
    counters_.add("broker.served");
    emit(AnswerCaller{id, description});
  } else {
    counters_.add(rejected ? "broker.refused" : "broker.failed");
    emit(RejectRequest{id, rejected, reason, retry_after, std::move(treatment)});
    if (call.current_attempt) abandon_attempt(call);
  }
  emit(RequestAnswered{call.request, call.received_at, served, served ? std::nullopt : std::optional(reason),
                       std::move(call.attempt_records)});
}

void Broker::record_attempt(Call& call, std::optional<Outcome> outcome) {
  // Called just before the current attempt is cleared or when it is established.
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
  const auto entry = by_correlation_id_.find(it->second.request->correlation_id);
  if (entry != by_correlation_id_.end() && entry->second == id) by_correlation_id_.erase(entry);
  if (it->second.may_have_run) attempted_ids_.insert(now_, it->second.request->correlation_id);
  calls_.erase(it);
}

void Broker::arm_timer(Time at, PendingTimer timer) {
  timers_.emplace(++last_timer_, timer);
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
