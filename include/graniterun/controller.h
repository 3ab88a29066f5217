// graniterun: the decisions of one sender that spreads call set-ups over a few central core servers.
//
// One Controller stands for one sender (an edge proxy). It is told what happens, in order and with the time,
// and answers with what is to be done. It performs no I/O, starts no threads, reads no clock and keeps no
// global state; all randomness comes from the seed. The same events lead to the same actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace graniterun {

// The caller's clock: any origin, never running backwards.
struct CallerClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CallerClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): the standard's name
};
using Duration = CallerClock::duration;
using Time = CallerClock::time_point;

enum class CallId : std::uint64_t {};    // never used twice
enum class ServerId : std::uint32_t {};  // a core server; the same one keeps its id when it restarts
enum class Number : std::uint64_t {};    // the number called
enum class Pool : std::int64_t {};       // the place of a core server, as named by a call's destination
enum class Zone : std::uint32_t {};
enum class TimerId : std::uint64_t {};
using ClassIndex = std::size_t;  // place in Settings::classes

// ---- Settings

enum class Idempotency { idempotent, keyed, non_idempotent };
enum class DeduplicationScope { all, zone, cell };

struct CallClass {
  Duration latency_objective{};   // wanted to stand within this time
  Duration caller_timeout{};      // how long a caller persists, from the first try
  double priority_weight{};       // of a call that stands to its end
  double late_weight_fraction{};  // part of it that a call standing after its aim still earns
  Duration mean_holding_time{};
  Idempotency idempotency{};
  DeduplicationScope deduplication_scope{};
  Duration deduplication_window{};
  std::optional<std::vector<Pool>> open_pools{};  // absent: every pool
  bool operator==(const CallClass&) const = default;
};

enum class Layout { meshed, groups };  // only `groups` is decided; meshed calls are refused
enum class Discovery { pushed, on_request };
enum class ProcessorReports { none, probe, answers };

struct Settings {
  std::vector<CallClass> classes{};
  Layout layout{};
  Discovery discovery{};
  ProcessorReports processor_reports{};
  bool full_server_sends_retry_after{};  // a full processor says how long its wait is
  Zone zone{};
  std::uint32_t own_index{};  // this sender among its peers
  std::uint32_t senders{};    // how many senders share the core servers
  int max_attempts{};         // per call
  bool may_cancel{};
  bool may_notify_peers{};
  bool callers_honor_retry_after{};
  Duration max_retry_after{};
  bool callers_flag_redial{};
  Duration retransmit_delay{};  // a waiting set-up is sent again after this, then at doubling gaps; 0: never
  Duration scheduling_interval{};                            // events arrive at most this often
  Duration connect_timeout{std::chrono::milliseconds(500)};  // a connection not made by then is none
  // The figures of the rules.
  Duration release_guard{};
  Duration drain_grace{};
  Duration answer_slack{};
  Duration poll_interval{};        // with Discovery::on_request
  double slow_start_fraction{};    // a core server starts at this share of its capacity or more
  Duration slow_start_duration{};  // and is warm after this
  double overload_multiple{};  // a cold one falls over when sent more than this multiple of what it can do
  Duration overload_window{};  // for this long
  // How the operator weighs the outcome.
  double worst_class_weight{};
  double late_fail_price{};
  double waste_price{};
  double peer_price{};
};

// ---- Events

struct LoadReport {  // what a core server tells of itself; late and noisy but for the lines
  std::optional<double> free_circuits{};
  std::optional<double> circuits{};
  std::optional<double> messages_active{};
  std::optional<double> messages_waiting{};
  std::optional<double> busy_share{};
  std::optional<Duration> wait{};         // at its processor
  std::optional<double> allowed_per_s{};  // new set-ups that it can take from all senders together
  std::optional<double> shed_fraction{};  // share of new set-ups that it asks each sender to hold back
};

enum class ServerState { in_service, terminating, terminated };

struct ServerEntry {
  ServerId server{};
  Zone zone{};
  Pool pool{};
  ServerState state{};
  double weight{};
  std::optional<Time> online_since{};  // absent: long ago
};

enum class ListKind { changes, all, cached, rejected };

struct ServerList {
  ListKind kind{};
  std::vector<ServerEntry> entries{};
};

struct NewCall {
  CallId call{};
  ClassIndex call_class{};
  Number number{};
  Pool destination{};
  Time deadline{};     // the caller gives this try up then
  double circuits{1};  // lines it occupies
  bool in_transit{};
  bool cut_before{};  // it stood, was cut and arrives again
  bool redial{};      // where callers mark redials
};

struct CallEstablished {
  CallId call{};
  int attempt{};
  ServerId server{};
  Duration delay{};  // since its set-up was sent
};

enum class Outcome { ok, busy_or_fault, full, timed_out, no_connection, reset, cancelled, not_sent };
enum class FullReason { none, no_circuit, returned, processor, number_busy };

struct AttemptEnded {
  CallId call{};
  int attempt{};
  ServerId server{};
  Outcome outcome{};
  Duration delay{};
  bool call_finished{};  // nothing is owed for the call any more
  FullReason reason{};
  std::optional<Duration> retry_after{};  // by a full processor
  LoadReport report{};
};

struct CallerDisconnected {
  CallId call{};
};

struct TimerDue {
  TimerId timer{};
};

struct ServerReport {  // probe results and unasked news of free lines
  ServerId server{};
  LoadReport report{};
};

// The settings have changed. A class keeps its place while calls of it are open; calls keep the number of
// attempts that they came with, and what was learned of the core servers holds on.
struct SettingsChanged {
  Settings settings{};
};

struct PeerMessage {
  std::uint32_t from{};
  std::vector<std::uint8_t> bytes{};
};

using Event = std::variant<ServerList, NewCall, CallEstablished, AttemptEnded, CallerDisconnected, TimerDue,
                           ServerReport, PeerMessage, SettingsChanged>;

// ---- Actions

struct SendSetup {  // attempts of a call are numbered 0, 1, 2 ... in this order
  CallId call{};
  ServerId server{};
  Time deadline{};
};

struct CancelAttempt {
  CallId call{};
  int attempt{};
};

struct Reject {  // final answer
  CallId call{};
  Duration retry_after{};  // the caller is asked not to dial again before; 0: no advice
};

struct Fail {  // final answer
  CallId call{};
};

struct SetTimer {
  Duration delay{};
  TimerId timer{};
};

struct NotifyPeers {  // to every other sender; may be lost
  std::vector<std::uint8_t> bytes{};
};

struct FollowList {};

using Action = std::variant<SendSetup, CancelAttempt, Reject, Fail, SetTimer, NotifyPeers, FollowList>;

// ---- Controller

class Controller {
 public:
  Controller(Settings settings, std::uint64_t seed);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;

  // Appends what is to be done, in order, at `now`.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

  // How many core servers of the list get no new set-ups at `now` but such as try them out: those that drain,
  // that answer faults, and whose wait leaves them no target. Changes nothing.
  std::size_t ejected(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniterun
