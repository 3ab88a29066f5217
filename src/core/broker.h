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

#include "core/contracts.h"
#include "core/counters.h"
#include "core/tallies.h"
#include "graniterun/controller.h"
#include "limits/gap_register.h"

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
  std::string label{};  // the id by which servers are to know the call
  std::string team{};
  ClassIndex call_class{};
  std::string class_name{};
  std::string number_text{};
  Number number{};
  Pool destination{-1};
  Time deadline{};
  double lines{1};
  bool redial{};
  bool cut_before{};
  std::string description{};
};

enum class Why : std::uint8_t {
  gapped,
  throttled,
  over_budget,
  overdue,
  number_busy,
  no_success,
  crossed,
  stopping,
  cut,
  ended
};

// ---- Events

struct RequestCame {
  Request request;
};
struct CallerGaveUp {
  CallId call{};
};
struct CallerReleased {
  CallId call{};
  int cause{};
};
struct AttemptStood {
  CallId call{};
  int attempt{};
  std::string description{};
};
struct AttemptOver {  // before it stood, or a standing call's end
  CallId call{};
  int attempt{};
  Outcome outcome{};
  FullReason reason{};
  LoadReport report{};
  int cause{};                          // of a standing call's end
  bool crossed = false;                 // the server's success crossed our giving up; it has been released
  std::optional<Duration> told_wait{};  // by a full processor
};
// A server released a call whose attempt there is over already, or was never known here.
struct ServerReleased {
  std::string label{};
  int cause{};
  bool remembered{};  // an attempt of the call is known to have been at that server
};
struct ServersChanged {
  ServerList list{};
};
struct ReportHeard {
  ServerId server{};
  LoadReport report{};
};
struct TimerRang {
  std::uint64_t timer{};
};
struct Retuned {  // the settings have changed; requests under way keep their terms
  Settings settings{};
};
struct Stopping {};  // the process ends: whatever is open is answered now

using Event = std::variant<RequestCame, CallerGaveUp, CallerReleased, AttemptStood, AttemptOver,
                           ServerReleased, ServersChanged, ReportHeard, TimerRang, Retuned, Stopping>;

// ---- Effects

struct StartAttempt {
  std::shared_ptr<const Request> request{};
  int attempt{};
  ServerId server{};
  Time give_up_at{};
};
struct AbandonAttempt {  // answered by an AttemptOver
  std::shared_ptr<const Request> request{};
  int attempt{};
};
struct ReleaseServer {  // cut the standing call
  std::shared_ptr<const Request> request{};
  int attempt{};
  int cause{};
};
struct Serve {  // final answer
  CallId call{};
  std::string description{};
};
struct TurnDown {  // final answer
  CallId call{};
  bool refused{};  // else failed
  Why why{};
  Duration wait{};                // the caller is to stay away so long
  limits::Treatment treatment{};  // of a call that is gapped
};
struct ReleaseCaller {
  CallId call{};
  int cause{};
};
// A server released a call that nobody holds open: it stood before a restart, and its caller may still be
// there.
struct PassOnRelease {
  std::string label{};
  int cause{};
};
struct SetAlarm {
  Time at{};
  std::uint64_t timer{};
};
struct Note {  // a line for the log
  std::string text{};
};
// What a request went through, once it is answered: for traces.
struct AttemptRecord {
  ServerId server{};
  Time began{};
  Time ended{};
  std::optional<Outcome> outcome{};  // absent: it stands
};
struct RequestAnswered {
  std::shared_ptr<const Request> request{};
  Time came{};
  bool served{};
  std::optional<Why> why{};
  std::vector<AttemptRecord> attempts{};
};

using Effect = std::variant<StartAttempt, AbandonAttempt, ReleaseServer, Serve, TurnDown, ReleaseCaller,
                            PassOnRelease, SetAlarm, Note, RequestAnswered>;
using Effects = std::vector<Effect>;

class Broker {
 public:
  // What decides: it is handed each event with its time and appends its actions.
  using Decide = std::function<void(Time, const graniterun::Event&, std::vector<Action>&)>;

  // What new calls must pass before the module hears of them, on whichever front they come.
  using Gate = std::function<limits::Verdict(Time, const Request&)>;

  Broker(const Settings& settings, std::uint64_t seed, Contracts contracts, Counters& counters,
         Gate gate = {});
  Broker(const Settings& settings, Decide decide, Contracts contracts, Counters& counters, Gate gate = {});

  void step(Time now, const Event& event, Effects& effects);

  std::size_t unanswered() const { return unanswered_; }
  std::size_t standing() const { return standing_; }
  // The places of the classes that open calls came with.
  std::vector<bool> places_in_use() const;
  Tallies& tallies() { return tallies_; }
  const Tallies& tallies() const { return tallies_; }
  // Setup servers that the module avoids now; 0 where something else decides.
  std::size_t avoided(Time now) const { return controller_ ? controller_->avoided(now) : 0; }

 private:
  Broker(const Settings& settings, std::shared_ptr<Controller> controller, Contracts contracts,
         Counters& counters, Gate gate);

  struct Attempt {
    int index{};
    ServerId server{};
    Time give_up_at{};
    Time sent_at{};
    bool sent = false;  // else it waits for the release guard
    bool stands = false;
    bool abandoned = false;
  };
  struct Call {
    std::shared_ptr<const Request> request;
    Time came{};
    Time deadline{};
    int most_attempts{};
    int attempts = 0;
    std::optional<Attempt> out{};
    bool answered = false;
    bool turned_down = false;
    Time guard_until{};
    // An earlier call under the same label has its attempt out still: none of this one begins before its end
    // and the release guard after it.
    std::optional<CallId> after{};
    std::optional<CallId> followed_by{};
    std::vector<AttemptRecord> records{};
  };
  struct Server {
    ServerState state{};
    std::optional<Time> online_since{};
    std::deque<Time> sends{};  // within the last window
    std::deque<Time> stood{};  // set-ups that stood there within the last window, while it was cold
    double busiest = 0.0;      // the most sends within a window while it was warm
  };
  struct Alarm {
    enum class Kind : std::uint8_t { deadline, guard, module } kind{};
    CallId call{};
    TimerId timer{};
  };

  void on(const RequestCame& e);
  void on(const CallerGaveUp& e);
  void on(const CallerReleased& e);
  void on(const AttemptStood& e);
  void on(const AttemptOver& e);
  void on(const ServerReleased& e);
  void on(const ServersChanged& e);
  void on(const ReportHeard& e);
  void on(const TimerRang& e);
  void on(const Retuned& e);
  void on(const Stopping& e);

  void act(const SendSetUp& a);
  void act(const CancelAttempt& a);
  void act(const Refuse& a);
  void act(const Fail& a);
  void act(const SetTimer& a);
  void act(const TellPeers&) {}
  void act(const FollowList&) {}

  void tell_module(const graniterun::Event& event);
  void settle_module();
  void overdue(Call& call);
  void start(Call& call);
  void give_up_attempt(Call& call);
  void attempt_ended(Call& call, Outcome outcome);
  void keep_guard(const Call& call);
  void not_sent(Call& call, int index, ServerId server);
  bool may_send(ServerId server, std::string_view& why_not);
  void keep_window(std::deque<Time>& times) const;
  bool is_warm(const Server& server) const {
    return !server.online_since || now_ >= *server.online_since + settings_.cold_time;
  }
  void answer(Call& call, bool served, bool refused, Why why, Duration wait, const std::string& description,
              limits::Treatment treatment = {});
  void record(Call& call, std::optional<Outcome> outcome);
  void forget_if_over(CallId id);
  void alarm(Time at, Alarm alarm);
  Duration stay_away() const;
  Call* find(CallId id);
  void emit(Effect effect) { effects_->push_back(std::move(effect)); }

  Settings settings_;
  Contracts contracts_;
  Counters& counters_;
  std::shared_ptr<Controller> controller_{};
  Decide decide_;
  Gate gate_;
  Time now_{};
  Effects* effects_ = nullptr;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<std::string, CallId> by_label_;  // of calls_; the newest under a label
  std::unordered_map<std::string, Time> guards_;      // of labels whose call is over: until when
  std::deque<std::pair<Time, std::string>> guards_by_time_;
  std::map<ServerId, Server> servers_;
  std::unordered_map<std::uint64_t, Alarm> alarms_;
  std::uint64_t last_alarm_ = 0;
  std::deque<graniterun::Event> for_module_;
  bool in_module_ = false;
  Tallies tallies_;
  std::size_t unanswered_ = 0;
  std::size_t standing_ = 0;
};

}  // namespace graniterun::core
