// The broker: requests, attempts, outcomes and standing calls, whatever wire they came by. It drives the
// Controller, which decides, and keeps the rules itself whatever the Controller says: one final answer by the
// deadline, one attempt out, the release guard, nothing new to a server that drains, no flood of a cold one.
// It is a reducer: events with their time in, effects out.
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
#include "core/request_metrics.h"
#include "graniterun/controller.h"

namespace graniterun::core {

// A front numbers its own calls; the top bits of a CallId are the front's.
enum class Front : std::uint8_t { platform = 0, sip = 1 };
constexpr int kFrontShift = 56;
constexpr CallId call_id(Front front, std::uint64_t number) {
  return CallId{static_cast<std::uint64_t>(front) << kFrontShift | number};
}
constexpr Front front_of(CallId call) {
  return static_cast<Front>(static_cast<std::uint64_t>(call) >> kFrontShift);
}

struct Request {
  CallId call{};
  std::string correlation_id{};  // the id by which servers are to know the call
  std::string team{};
  ClassIndex call_class{};
  std::string class_name{};
  std::string number_text{};
  Number number{};
  Pool destination{-1};
  Time deadline{};
  double circuits{1};
  bool redial{};
  bool cut_before{};
  std::string description{};
};

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
  ended
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
struct AttemptFinished {  // before it stood, or a standing call's end
  CallId call{};
  int attempt{};
  Outcome outcome{};
  FullReason reason{};
  LoadReport report{};
  int cause{};                            // of a standing call's end
  bool late_success = false;              // the server's success crossed our giving up; it has been released
  std::optional<Duration> retry_after{};  // by a full processor
};
// A server released a call whose attempt there is over already, or was never known here.
struct ServerReleased {
  std::string correlation_id{};
  int cause{};
  bool attempt_known{};  // an attempt of the call is known to have been at that server
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
struct SettingsReplaced {  // the settings have changed; requests under way keep their terms
  Settings settings{};
};
struct ShutdownStarted {};  // the process ends: whatever is open is answered now

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
struct AbandonAttempt {  // answered by an AttemptFinished
  std::shared_ptr<const Request> request{};
  int attempt{};
};
struct ReleaseServer {  // cut the standing call
  std::shared_ptr<const Request> request{};
  int attempt{};
  int cause{};
};
struct AnswerCaller {  // final answer
  CallId call{};
  std::string description{};
};
struct RejectRequest {  // final answer
  CallId call{};
  bool rejected{};  // else failed
  RejectReason reason{};
  Duration retry_after{};               // the caller is to stay away so long
  call_gapping::Treatment treatment{};  // of a call that is gapped
};
struct ReleaseCaller {
  CallId call{};
  int cause{};
};
// A server released a call that nobody holds open: it stood before a restart, and its caller may still be
// there.
struct ForwardRelease {
  std::string correlation_id{};
  int cause{};
};
struct ArmTimer {
  Time at{};
  std::uint64_t timer{};
};
struct LogLine {  // a line for the log
  std::string text{};
};
// What a request went through, once it is answered: for traces.
struct AttemptRecord {
  ServerId server{};
  Time started_at{};
  Time ended_at{};
  std::optional<Outcome> outcome{};  // absent: it stands
};
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
  // What decides: it is handed each event with its time and appends its actions.
  using Decide = std::function<void(Time, const graniterun::Event&, std::vector<Action>&)>;

  // What new calls must pass before the module hears of them, on whichever front they come.
  using AdmissionCheck = std::function<call_gapping::Verdict(Time, const Request&)>;

  Broker(const Settings& settings, std::uint64_t seed, Contracts contracts, Counters& counters,
         AdmissionCheck gate = {});
  Broker(const Settings& settings, Decide decide, Contracts contracts, Counters& counters,
         AdmissionCheck gate = {});

  void step(Time now, const Event& event, Effects& effects);

  std::size_t unanswered() const { return unanswered_; }
  std::size_t established() const { return established_; }
  // The places of the classes that open calls came with.
  std::vector<bool> places_in_use() const;
  RequestMetrics& metrics() { return metrics_; }
  const RequestMetrics& metrics() const { return metrics_; }
  // Setup servers that the module avoids now; 0 where something else decides.
  std::size_t ejected(Time now) const { return controller_ ? controller_->ejected(now) : 0; }

 private:
  Broker(const Settings& settings, std::shared_ptr<Controller> controller, Contracts contracts,
         Counters& counters, AdmissionCheck gate);

  struct Attempt {
    int index{};
    ServerId server{};
    Time deadline{};
    Time sent_at{};
    bool sent = false;  // else it waits for the release guard
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
    bool answered = false;
    bool rejected = false;
    Time guard_until{};
    // An earlier call under the same label has its attempt out still: none of this one begins before its end
    // and the release guard after it.
    std::optional<CallId> predecessor{};
    std::optional<CallId> successor{};
    std::vector<AttemptRecord> attempt_records{};
  };
  struct Server {
    ServerState state{};
    std::optional<Time> online_since{};
    std::deque<Time> recent_sends{};  // within the last window
    // set-ups that stood there within the last window, while it was cold
    std::deque<Time> recently_established{};
    double peak_sends = 0.0;  // the most sends within a window while it was warm
  };
  struct PendingTimer {
    enum class Kind : std::uint8_t { deadline, guard, module } kind{};
    CallId call{};
    TimerId timer{};
  };

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

  void apply(const SendSetup& action);
  void apply(const CancelAttempt& action);
  void apply(const Reject& action);
  void apply(const Fail& action);
  void apply(const SetTimer& action);
  void apply(const NotifyPeers&) {}
  void apply(const FollowList&) {}

  void notify_controller(const graniterun::Event& event);
  void drain_controller_events();
  void expire_request(Call& call);
  void start_attempt(Call& call);
  void abandon_attempt(Call& call);
  void record_attempt_end(Call& call, Outcome outcome);
  void retain_release_guard(const Call& call);
  void report_not_sent(Call& call, int index, ServerId server);
  bool may_send(ServerId server, std::string_view& why_not);
  void trim_window(std::deque<Time>& times) const;
  bool is_warmed_up(const Server& server) const {
    return !server.online_since || now_ >= *server.online_since + settings_.slow_start_duration;
  }
  void answer_request(Call& call, bool served, bool refused, RejectReason why, Duration wait,
                      const std::string& description, call_gapping::Treatment treatment = {});
  void record_attempt(Call& call, std::optional<Outcome> outcome);
  void erase_if_finished(CallId id);
  void arm_timer(Time at, PendingTimer alarm);
  Duration default_retry_after() const;
  Call* find(CallId id);
  void emit(Effect effect) { effects_->push_back(std::move(effect)); }

  Settings settings_;
  Contracts contracts_;
  Counters& counters_;
  std::shared_ptr<Controller> controller_{};
  Decide decide_;
  AdmissionCheck admission_check_;
  Time now_{};
  Effects* effects_ = nullptr;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<std::string, CallId> by_correlation_id_;  // of calls_; the newest under a label
  std::unordered_map<std::string, Time> guards_;               // of labels whose call is over: until when
  std::deque<std::pair<Time, std::string>> guards_by_time_;
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
