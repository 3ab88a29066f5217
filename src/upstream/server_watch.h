// Decides for one setup server when a connection to it is needed and when its established calls are over,
// because their releases can no longer arrive. It is told of connects, their results, messages, input and
// lost connections, and asked in each tick. It does no I/O and reads no clock. Invariants, for a server with
// established calls and whatever its state in the endpoint list: a connection is open, being opened or due
// within kReconnectDelay, unless its address belongs to another server; evidence that the calls stand is
// asked for after kEvidenceRequestAge without any; and calls_over() holds for calls without evidence for
// kMaxEvidenceAge. docs/design/server-watch.md.
#pragma once

#include <optional>
#include <string_view>

#include "graniterun/controller.h"
#include "upstream/call_evidence.h"

namespace graniterun::upstream {

// What is known of the server at the time of a decision.
struct ServerSituation {
  ServerState listed{};
  bool address_reassigned{};  // another listed server has its address
  bool has_attempts{};        // also finished ones, whose late messages are awaited
  bool has_live_attempts{};   // queued, outstanding or established
  bool has_established_calls{};
  bool may_have_former_calls{};   // set up by an earlier process of this gatekeeper
  bool has_current_connection{};  // one for new setups, or the one that is kept for releases
  bool has_open_connection{};
  bool connecting{};
  bool response_overdue{};  // a response is awaited for longer than expected
  bool setup_connections_full{};
  bool notification_connections_full{};
  // Also those are used up that are reserved for the repetition of releases that may be lost.
  bool repeat_connections_full{};
};

enum class ConnectPurpose : std::uint8_t {
  setups,        // becomes the current connection
  notifications  // opened so that the server repeats its releases on it
};

// Minimum time between two connects to a server without a current connection.
constexpr Duration kReconnectDelay = std::chrono::milliseconds(250);

struct DueConnect {
  ConnectPurpose purpose = ConnectPurpose::setups;
  // Until the next one may be started, except for a repeat of releases.
  Duration next_connect_delay = kReconnectDelay;
};

// Why established calls are over without a release of the server.
enum class LostServerReason : std::uint8_t { died, vanished };
std::string_view to_string(LostServerReason reason);

struct LostCalls {
  LostServerReason reason{};
  Time established_before{};
};

class ServerWatch {
 public:
  void connect_started(Time now, const DueConnect& connect);
  void connected(Time now, std::uint32_t connection);
  void connect_failed(Time now, bool refused, std::uint32_t last_started);
  // The connect failed for want of a descriptor or port here, which says nothing about the server.
  void connect_not_possible();
  void input_received(Time now, std::uint32_t connection);
  // A message has come on that connection that only a process with calls sends.
  void calls_served(Time now, std::uint32_t connection) { evidence_.calls_served(now, connection); }
  // A call was established on that connection; `first`: no other one is.
  void call_established(Time now, std::uint32_t connection, bool first);
  // The server has released a call that was established at that time.
  void call_known(Time established_at) { evidence_.call_known(established_at); }
  // The server has closed a connection in answer to the close of its other direction.
  void close_answered(std::uint32_t connection) { evidence_.connection_alive(connection); }
  // A connection has carried its first byte, that time after it came up. Connections are numbered in the
  // order in which they are started. A late byte shows that the server hung: in its first turn it may have
  // written releases to connections that were closed meanwhile, also by an earlier process, and have repeated
  // them on another such one.
  void connection_proven(Time now, std::uint32_t number, Duration wait);
  // A connection was reset or dropped unread while releases were expected on it. Two connections follow: the
  // server may have accepted the first of them before it wrote a release to the lost one.
  void releases_may_be_lost(Time now, std::uint32_t last_started);
  // The server has released a call of an earlier process, which may have ended a moment ago. The server may
  // have written others to the connections of that process, when it had already accepted one of this process.
  void former_call_released(Time now);
  // No call can be at the server: no connection is needed for its releases.
  void no_releases_expected();
  // Whether a connection is to be opened on which the server repeats its releases.
  bool repeat_needed() const { return repeat_needed_; }
  // Releases are expected on a connection that is silent, and that is still read.
  void repeat_requested(Time now);
  // The server closed its last open connection.
  void last_connection_lost(Time now);

  // The connection that is to be opened now, if any.
  std::optional<DueConnect> due_connect(Time now, const ServerSituation& situation) const;
  // Whether open connections are to be kept.
  static bool keeps_connections(const ServerSituation& situation);
  // The established calls that are over, unless the server's address belongs to another server.
  std::optional<LostCalls> calls_over(Time now, const ServerSituation& situation);
  // Whether it is unknown if connections of before lead to the process that serves the new ones.
  bool process_in_doubt() const { return evidence_.in_doubt(); }

  // Whether a connect has succeeded or failed.
  bool connect_attempted() const { return connect_attempted_; }
  bool was_unreachable() const { return unreachable_since_ || lost_at_; }
  // Time since the last byte or successful connect, which a hung process's kernel completes as well.
  Duration silence(Time now) const { return now - last_reached_at_; }

 private:
  bool needs_connection(const ServerSituation& situation) const;

  Time last_reached_at_{};  // last byte, or the last successful connect
  Time last_input_at_{};    // last byte
  CallEvidence evidence_{};
  Time last_repeat_at_{};  // last connect for notifications
  Time next_connect_{};
  std::optional<Time> unreachable_since_{};  // first of an unbroken run of failed connects
  std::optional<Time> lost_at_{};            // when the last open connection broke; none has come up since
  bool last_connect_refused_ = false;
  bool connect_attempted_ = false;
  bool repeat_needed_ = false;   // a connection must be opened on which the server repeats its releases
  bool repeat_pending_ = false;  // the connect in progress is to be that one
  // Releases may be lost; the last connection started before. Until a later one has carried a byte.
  std::optional<std::uint32_t> last_before_loss_{};
  Time next_repeat_{};
};

}  // namespace graniterun::upstream
