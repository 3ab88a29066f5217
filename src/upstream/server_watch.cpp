#include "upstream/server_watch.h"

#include <algorithm>
#include <utility>

namespace graniterun::upstream {
namespace {

using namespace std::chrono_literals;

// Minimum time between two connections that are opened because releases may be lost.
constexpr Duration kRepeatDelay = 50ms;
// Minimum time between two connections that replace silent ones.
constexpr Duration kReplaceInterval = 600ms;
// Time in which a live server notices that a connection was closed.
constexpr Duration kCloseNoticeTime = 250ms;
// Time without a byte from a server with attempts until a new connection to it is tried. A machine that
// vanishes leaves its old connection half-open.
constexpr Duration kIdleSuspicionTimeout = 1200ms;
// Delay before the next connection is tried while a response is overdue on the newest one as well.
constexpr Duration kSuspicionRetryDelay = 400ms;
// Time without evidence that a server's calls stand until it is asked for: by a new connection, on which the
// first message of a server is a notification. Several tries fit into kMaxEvidenceAge.
constexpr Duration kEvidenceRequestAge = 2400ms;
// Time after which the established calls of a server that refuses connections are ended. The port of a dead
// process refuses at once; a restart within this time is tolerated.
constexpr Duration kProcessDeathTimeout = 3s;

}  // namespace

std::string_view to_string(LostServerReason reason) {
  switch (reason) {
    case LostServerReason::died:
      return "died";
    case LostServerReason::vanished:
      return "vanished";
  }
  return "is lost";
}

void ServerWatch::connect_started(Time now, const DueConnect& connect) {
  if (connect.purpose == ConnectPurpose::notifications) last_repeat_at_ = now;
  next_connect_ = now + connect.next_connect_delay;
  repeat_pending_ = std::exchange(repeat_needed_, false);
}

void ServerWatch::connected(Time now, std::uint32_t connection) {
  evidence_.connection_opened(connection);
  connect_attempted_ = true;
  last_connect_refused_ = false;
  repeat_pending_ = false;
  unreachable_since_.reset();
  lost_at_.reset();
  last_reached_at_ = now;
}

void ServerWatch::connection_proven(Time now, std::uint32_t number, Duration wait) {
  const bool after_loss = last_before_loss_ && number > *last_before_loss_;
  if (after_loss) last_before_loss_.reset();
  const bool after_hang = wait > kCloseNoticeTime && wait <= kMaxEvidenceAge;
  if (!after_loss && !after_hang) return;
  repeat_needed_ = true;
  next_repeat_ = now + kCloseNoticeTime;
}

void ServerWatch::releases_may_be_lost(Time now, std::uint32_t last_started) {
  repeat_needed_ = true;
  last_before_loss_ = last_started;
  next_repeat_ = now;
}

void ServerWatch::former_call_released(Time now) {
  repeat_needed_ = true;
  next_repeat_ = now + kCloseNoticeTime;
}

void ServerWatch::no_releases_expected() {
  repeat_needed_ = false;
  last_before_loss_.reset();
}

void ServerWatch::repeat_requested(Time now) {
  if (now >= last_repeat_at_ + kReplaceInterval) repeat_needed_ = true;
}

void ServerWatch::connect_failed(Time now, bool refused, std::uint32_t last_started) {
  connect_not_possible();
  evidence_.process_in_doubt(now, last_started);
  last_connect_refused_ = refused;
  if (!unreachable_since_) unreachable_since_ = now;
}

void ServerWatch::connect_not_possible() {
  connect_attempted_ = true;
  if (std::exchange(repeat_pending_, false)) repeat_needed_ = true;
}

void ServerWatch::input_received(Time now, std::uint32_t connection) {
  last_reached_at_ = now;
  last_input_at_ = now;
  evidence_.connection_alive(connection);
  unreachable_since_.reset();
}

void ServerWatch::call_established(Time now, std::uint32_t connection, bool first) {
  if (first) evidence_.no_calls_before(now);
  evidence_.call_established(now, connection);
}

void ServerWatch::last_connection_lost(Time now) {
  if (!lost_at_) lost_at_ = now;
}

bool ServerWatch::needs_connection(const ServerSituation& situation) const {
  if (situation.has_live_attempts) return true;
  switch (situation.listed) {
    case ServerState::in_service:
      return true;
    case ServerState::terminating:
      return situation.has_attempts || situation.may_have_former_calls;
    case ServerState::terminated:
      // Tried once: it is probably gone.
      return situation.may_have_former_calls && !connect_attempted_;
  }
  return false;
}

bool ServerWatch::keeps_connections(const ServerSituation& situation) {
  return situation.listed != ServerState::terminated || situation.has_live_attempts ||
         situation.may_have_former_calls;
}

std::optional<DueConnect> ServerWatch::due_connect(Time now, const ServerSituation& situation) const {
  if (situation.address_reassigned || situation.connecting || !needs_connection(situation)) return {};
  if (!situation.has_current_connection) {
    if (now < next_connect_) return {};
    return DueConnect{};
  }
  const bool repeat_due = now >= std::max(last_repeat_at_ + kRepeatDelay, next_repeat_);
  if (repeat_needed_ && repeat_due && !situation.repeat_connections_full)
    return DueConnect{ConnectPurpose::notifications};
  if (now < next_connect_) return {};
  const bool idle = silence(now) > kIdleSuspicionTimeout;
  const bool unresponsive = situation.has_attempts && (idle || situation.response_overdue);
  if (unresponsive && !situation.setup_connections_full) {
    // A live server that has nothing to send is not connected to in every tick. A server with an overdue
    // response may become unresponsive on the new connection too; with the longer delay for it, callers got
    // their releases later than the 1 s that is allowed.
    return DueConnect{ConnectPurpose::setups,
                      situation.response_overdue ? kSuspicionRetryDelay : kIdleSuspicionTimeout};
  }
  // With all connections for setups open, a further one shows whether the server still lives; and a
  // connection for setups may answer while the process behind it has no calls any more.
  const bool answers_without_evidence =
      evidence_.age(now) > kEvidenceRequestAge && now - last_input_at_ <= kIdleSuspicionTimeout;
  const bool evidence_due = situation.has_established_calls && (idle || answers_without_evidence);
  if (!evidence_due || situation.notification_connections_full) return {};
  return DueConnect{ConnectPurpose::notifications, kIdleSuspicionTimeout};
}

std::optional<LostCalls> ServerWatch::calls_over(Time now, const ServerSituation& situation) {
  if (!situation.has_established_calls) {
    evidence_.no_calls_before(now);
    return {};
  }
  if (situation.address_reassigned) return {};
  if (last_connect_refused_ && !situation.has_open_connection) {
    const bool removed = situation.listed == ServerState::terminated;
    if (removed || (lost_at_ && now - *lost_at_ > kProcessDeathTimeout))
      return LostCalls{LostServerReason::died, now};
  }
  const auto stale_before = evidence_.stale_before(now);
  if (!stale_before) return {};
  evidence_.no_calls_before(*stale_before);
  return LostCalls{LostServerReason::vanished, *stale_before};
}

}  // namespace graniterun::upstream
