// Selects the connections that a server closes: those whose current message is not complete in time, those
// idle beyond the idle timeout, and, above the connection limit, those idle longest. Connections that are
// kept open without use must not take the room of clients. Inputs: accepts, closes and received input; the
// owner closes what is selected.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "net/events.h"

namespace graniterun::downstream {

class ConnectionReaper {
 public:
  // `idle_timeout`: maximum time without a complete message on a connection with no open request; without a
  // value, idle connections stay open. `queue_when_full`: connections well beyond the limit wait in the
  // listen queue until there is room; then no connection is closed that is busy, or is new and may be about
  // to send its first message. Without it, there are never more than `max_connections`.
  ConnectionReaper(std::size_t max_connections, std::optional<Duration> idle_timeout,
                   bool queue_when_full = false)
      : max_connections_(max_connections), idle_timeout_(idle_timeout), queue_when_full_(queue_when_full) {}

  void accepted(Time now, net::ConnId conn) { open_[conn] = {now, false, false, now}; }
  void closed(net::ConnId conn) { open_.erase(conn); }
  // Records received input. `complete`: it completed at least one message; `partial`: it ends within a
  // message.
  void record_input(Time now, net::ConnId conn, bool complete, bool partial) {
    const auto it = open_.find(conn);
    if (it == open_.end()) return;
    if (complete) {
      it->second.partial_since.reset();
      it->second.last_active_at = now;
      it->second.has_sent = true;
    }
    it->second.partial = partial;
    if (partial && !it->second.partial_since) it->second.partial_since = now;
  }
  // Whether the input received so far ends within a message.
  bool has_partial_message(net::ConnId conn) const {
    const auto it = open_.find(conn);
    return it != open_.end() && it->second.partial;
  }
  // The connections to close above the limit: those idle longest. `busy(conn)` returns whether a connection
  // has an open request or call.
  template <class Busy>
  std::vector<net::ConnId> excess_connections(Time now, Busy busy) const {
    if (open_.size() <= max_connections_) return {};
    std::vector<std::pair<Time, net::ConnId>> idle;
    for (const auto& [conn, state] : open_) {
      const bool is_new =
          queue_when_full_ && !state.has_sent && now - state.last_active_at < kFirstMessageGrace;
      if (!is_new && !busy(conn)) idle.emplace_back(state.last_active_at, conn);
    }
    std::ranges::sort(idle);
    if (idle.size() > open_.size() - max_connections_) idle.resize(open_.size() - max_connections_);
    std::vector<net::ConnId> to_close;
    to_close.reserve(idle.size());
    for (const auto& [last_active_at, conn] : idle) to_close.push_back(conn);
    // If all are busy, the newest is closed.
    if (to_close.empty() && !queue_when_full_) to_close.push_back(std::prev(open_.end())->first);
    return to_close;
  }
  struct Expired {
    net::ConnId conn;
    bool message_timed_out{};  // its current message is not complete in time; otherwise it is idle
  };
  template <class Busy>
  std::vector<Expired> expired(Time now, Busy busy) const {
    std::vector<Expired> expired;
    for (const auto& [conn, state] : open_) {
      const bool message_timed_out = state.partial_since && now - *state.partial_since > kMessageTimeout;
      if (message_timed_out || (idle_timeout_ && now - state.last_active_at > *idle_timeout_ && !busy(conn)))
        expired.push_back({conn, message_timed_out});
    }
    return expired;
  }

 private:
  // Maximum time from the accept to the first complete message, and from the first byte of a message to its
  // last. A connection that sends nothing must be closed within 3 s.
  static constexpr Duration kMessageTimeout = std::chrono::milliseconds(2200);
  // Time after the accept in which a connection without a message is not closed for room. A caller sends its
  // first request at once, but may be accepted later than it connected.
  static constexpr Duration kFirstMessageGrace = std::chrono::milliseconds(200);
  struct ConnectionState {
    std::optional<Time> partial_since;  // first byte of the partial message, or the accept
    bool partial = false;               // the input ends within a message
    bool has_sent = false;              // has sent a complete message
    Time last_active_at{};              // last complete message, or the accept
  };
  std::size_t max_connections_;
  std::optional<Duration> idle_timeout_;
  bool queue_when_full_;
  std::map<net::ConnId, ConnectionState> open_;
};

}  // namespace graniterun::downstream
