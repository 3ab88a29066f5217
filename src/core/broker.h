// The broker tracks requests, attempts and established calls of every front end. It passes events to the
// Controller, which decides, and enforces these invariants whatever the Controller decides: one final answer
// by the deadline, one attempt outstanding per request, no attempt within the release guard, no new setups to
// a draining server, and a limit on setups to a server in slow start.
// It is a reducer: events with their time in, effects out. It performs no I/O and reads no clock.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "call_gapping/gap_register.h"
#include "core/contracts.h"
#include "core/counters.h"
#include "core/recent_ids.h"
#include "core/request_metrics.h"
#include "graniterun/controller.h"

namespace graniterun::core {

// Each front end numbers its own calls. The top 8 bits of a CallId identify the front end.
enum class FrontEnd : std::uint8_t { platform = 0, sip = 1 };
constexpr int kFrontEndShift = 56;
constexpr CallId call_id(FrontEnd front_end, std::uint64_t number) {
  return CallId{static_cast<std::uint64_t>(front_end) << kFrontEndShift | number};
}
constexpr FrontEnd front_end_of(CallId call) {
  return static_cast<FrontEnd>(static_cast<std::uint64_t>(call) >> kFrontEndShift);
}

// A client's request for a call.
struct Request {
  CallId call{};
  std::string correlation_id{};  // identifies the call to servers
  std::string team{};
  ClassIndex call_class{};
  std::string class_name{};
  std::string number_text{};
  Number number{};
  Pool destination{-1};
  Time deadline{};            // when the client stops waiting
  double circuits{1};         // circuits that the call occupies at a server
  bool redial{};              // the caller's own repeat of a call
  bool is_reconnect{};        // the call was established, was cut and is requested again
  std::string description{};  // session description (SDP)
};

// Why a request was rejected or failed.
enum class RejectReason : std::uint8_t {
  gapped,
  throttled,
  over_budget,
  deadline_exceeded,
  number_busy,
  attempts_failed,
  late_success,
  shutting_down,
  cut,
  ended,
  repeated_id  // an attempt of an earlier request with the same correlation id may have run
};

// ---- Events

struct RequestReceived {
  Request request;
};
struct RequestCancelled {
  CallId call{};
};
struct CallerReleased {
  CallId call{};
  int cause{};
};
struct AttemptEstablished {
  CallId call{};
  int attempt{};
  std::string description{};
};
// An attempt ended without an established call, or an established call ended.
struct AttemptFinished {
  CallId call{};
  int attempt{};
  Outcome outcome{};
  FullReason reason{};
  LoadReport report{};
  int cause{};                            // Q.850 cause of an established call's end
  bool late_success = false;              // the server's success raced the cancellation; it has been released
  std::optional<Duration> retry_after{};  // sent by a server whose processor is full
};
// A server released a call whose attempt there has already ended or is unknown to this process.
struct ServerReleased {
  std::string correlation_id{};
  int cause{};
  bool attempt_known{};  // this process knows an attempt of the call at that server
};
struct ServersChanged {
  ServerList list{};
};
struct LoadReportReceived {
  ServerId server{};
  LoadReport report{};
};
struct TimerExpired {
  std::uint64_t timer{};
};
// The settings have changed. Open requests keep the deadline and attempt limit that they started with.
struct SettingsReplaced {
  Settings settings{};
};
// The process is shutting down. Every open request is answered immediately.
struct ShutdownStarted {};

using Event = std::variant<RequestReceived, RequestCancelled, CallerReleased, AttemptEstablished,
                           AttemptFinished, ServerReleased, ServersChanged, LoadReportReceived, TimerExpired,
                           SettingsReplaced, ShutdownStarted>;

// ---- Effects

struct StartAttempt {
  std::shared_ptr<const Request> request{};
  int attempt{};
  ServerId server{};
  Time deadline{};
};
// Cancels an attempt. An AttemptFinished follows.
struct AbandonAttempt {
  std::shared_ptr<const Request> request{};
  int attempt{};
};
// Releases the established call at the server, with a Q.850 cause.
struct ReleaseServer {
  std::shared_ptr<const Request> request{};
  int attempt{};
  int cause{};
};
// Final answer: the call is established.
struct AnswerCaller {
  CallId call{};
  std::string description{};
};
// Final answer: rejected or failed.
struct RejectRequest {
  CallId call{};
  bool rejected{};  // false: failed
  RejectReason reason{};
  Duration retry_after{};                  // minimum time before the caller's next request
  call_gapping::GapTreatment treatment{};  // set for RejectReason::gapped
};
struct ReleaseCaller {
  CallId call{};
  int cause{};
};
// A server released a call that is unknown here. It was established before a restart of this process, and its
// caller may still be connected.
struct ForwardRelease {
  std::string correlation_id{};
  int cause{};
};
struct ArmTimer {
  Time at{};
  std::uint64_t timer{};
};
struct LogLine {
  std::string text{};
};
// One attempt of an answered request, for traces.
struct AttemptRecord {
  ServerId server{};
  Time started_at{};
  Time ended_at{};
  std::optional<Outcome> outcome{};  // absent: the call is established
};
// A request has received its final answer. Exported as a trace.
struct RequestAnswered {
  std::shared_ptr<const Request> request{};
  Time received_at{};
  bool served{};
  std::optional<RejectReason> reject_reason{};
  std::vector<AttemptRecord> attempts{};
};

using Effect = std::variant<StartAttempt, AbandonAttempt, ReleaseServer, AnswerCaller, RejectRequest,
                            ReleaseCaller, ForwardRelease, ArmTimer, LogLine, RequestAnswered>;
using Effects = std::vector<Effect>;

class Broker {
 public:
  // Decides on an event: receives it with its time and appends the resulting actions.
  using DecisionFunction = std::function<void(Time, const graniterun::Event&, std::vector<Action>&)>;

  // Checks a new request of either front end before the Controller sees it.
  using AdmissionCheck = std::function<call_gapping::GapDecision(Time, const Request&)>;

  Broker(const Settings& settings, std::uint64_t seed, Contracts contracts, Counters& counters,
         AdmissionCheck admission_check = {});
  Broker(const Settings& settings, DecisionFunction decide, Contracts contracts, Counters& counters,
         AdmissionCheck admission_check = {});

  // Handles one event at `now` and appends its effects. A `now` before an earlier one counts as that one.
  void step(Time now, const Event& event, Effects& effects);

  // Requests without a final answer.
  std::size_t unanswered() const { return unanswered_; }
  // Established calls.
  std::size_t established() const { return established_; }
  // For each ClassIndex of the settings, whether an open call uses it.
  std::vector<bool> class_indexes_in_use() const;
  RequestMetrics& metrics() { return metrics_; }
  const RequestMetrics& metrics() const { return metrics_; }
  // Setup servers that the Controller ejects at `now`; 0 with a DecisionFunction given from outside.
  std::size_t ejected(Time now) const { return controller_ ? controller_->ejected(now) : 0; }

 private:
  Broker(const Settings& settings, std::shared_ptr<Controller> controller, Contracts contracts,
         Counters& counters, AdmissionCheck admission_check);

  struct Attempt {
    int index{};
    ServerId server{};
    Time deadline{};
    Time sent_at{};
    bool sent = false;  // false: it waits for the release guard
    bool established = false;
    bool abandoned = false;
  };
  struct Call {
    std::shared_ptr<const Request> request;
    Time received_at{};
    Time deadline{};
    int max_attempts{};
    int attempts = 0;
    std::optional<Attempt> current_attempt{};
    bool may_have_run = false;  // an attempt went out, and nothing proves that its server did not run it
    bool answered = false;
    bool rejected = false;
    Time guard_until{};
    // An earlier call with the same correlation id whose attempt is still outstanding. No attempt of this
    // call starts before that attempt has ended; unless it is proven then that the server did not run it,
    // this call fails.
    std::optional<CallId> predecessor{};
    std::optional<CallId> successor{};
    std::vector<AttemptRecord> attempt_records{};
  };
  struct Server {
    ServerState state{};
    std::optional<Time> online_since{};
    std::deque<Time> recent_sends{};  // attempts sent within the last overload window
    // Calls established within the last overload window, recorded only during slow start.
    std::deque<Time> recently_established{};
    double peak_sends = 0.0;  // maximum sends within an overload window after slow start
  };
  struct PendingTimer {
    enum class Kind : std::uint8_t { deadline, guard, controller } kind{};
    CallId call{};
    TimerId timer{};
  };

  // One handler per event.
  void on(const RequestReceived& event);
  void on(const RequestCancelled& event);
  void on(const CallerReleased& event);
  void on(const AttemptEstablished& event);
  void on(const AttemptFinished& event);
  void on(const ServerReleased& event);
  void on(const ServersChanged& event);
  void on(const LoadReportReceived& event);
  void on(const TimerExpired& event);
  void on(const SettingsReplaced& event);
  void on(const ShutdownStarted& event);

  // One handler per action of the Controller.
  void apply(const SendSetup& action);
  void apply(const CancelAttempt& action);
  void apply(const Reject& action);
  void apply(const Fail& action);
  void apply(const SetTimer& action);
  void apply(const NotifyPeers&) {}
  void apply(const RequestServerList&) {}

  void notify_controller(const graniterun::Event& event);
  void drain_controller_events();
  void expire_request(Call& call);
  void start_attempt(Call& call);
  void abandon_attempt(Call& call);
  void record_attempt_end(Call& call, Outcome outcome);
  void fail_repeated_requests();
  void report_not_sent(Call& call, int index, ServerId server);
  bool may_send(ServerId server, std::string_view& barred_counter);
  void trim_window(std::deque<Time>& times) const;
  bool is_warmed_up(const Server& server) const {
    return !server.online_since || now_ >= *server.online_since + settings_.slow_start_duration;
  }
  void answer_request(Call& call, bool served, bool rejected, RejectReason reason, Duration retry_after,
                      const std::string& description, call_gapping::GapTreatment treatment = {});
  void record_attempt(Call& call, std::optional<Outcome> outcome);
  void erase_if_finished(CallId id);
  void arm_timer(Time at, PendingTimer timer);
  Duration default_retry_after() const;
  Call* find(CallId id);
  void emit(Effect effect) { effects_->push_back(std::move(effect)); }

  Settings settings_;
  Contracts contracts_;
  Counters& counters_;
  std::shared_ptr<Controller> controller_{};
  DecisionFunction decide_;
  AdmissionCheck admission_check_;
  Time now_{};
  Effects* effects_ = nullptr;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<std::string, CallId> by_correlation_id_;  // the newest call of each id
  // Correlation ids of finished calls that may have run: a request with one of them is not attempted.
  RecentIds attempted_ids_;
  std::vector<CallId> repeated_requests_;  // to fail at the end of the step
  std::map<ServerId, Server> servers_;
  std::unordered_map<std::uint64_t, PendingTimer> timers_;
  std::uint64_t last_timer_ = 0;
  std::deque<graniterun::Event> controller_events_;
  bool draining_controller_ = false;
  RequestMetrics metrics_;
  std::size_t unanswered_ = 0;
  std::size_t established_ = 0;
};

}  // namespace graniterun::core
