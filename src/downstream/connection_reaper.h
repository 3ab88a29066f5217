// Which of a front's connections are to go: those that say nothing, or nothing whole, and the one idle
// longest where there are too many. Callers must find room whoever else keeps connections open.
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
  // `idle`: a connection on which nothing is open is closed after so long without a word; none: it is kept.
  // `door`: whether who comes beyond some more waits outside until there is room. Then nobody is closed who
  // is busy, or has just come and may be about to ask; else there are never more than `most`.
  ConnectionReaper(std::size_t most, std::optional<Duration> idle, bool door = false)
      : max_connections_(most), idle_(idle), queue_when_full_(door) {}

  void accepted(Time now, net::ConnId conn) { open_[conn] = {now, false, false, now}; }
  void closed(net::ConnId conn) { open_.erase(conn); }
  // Something came in; `whole`: a message among it; `half`: one that has begun and is not whole is left.
  void record_input(Time now, net::ConnId conn, bool whole, bool half) {
    const auto it = open_.find(conn);
    if (it == open_.end()) return;
    if (whole) {
      it->second.partial_since.reset();
      it->second.last_active_at = now;
      it->second.has_sent = true;
    }
    it->second.partial = half;
    if (half && !it->second.partial_since) it->second.partial_since = now;
  }
  // A message has begun on it and is not whole.
  bool has_partial_message(net::ConnId conn) const {
    const auto it = open_.find(conn);
    return it != open_.end() && it->second.partial;
  }
  // Where there are too many, those to close: the ones idle longest. `busy` tells whether something is open
  // on a connection.
  template <class Busy>
  std::vector<net::ConnId> excess_connections(Time now, Busy busy) const {
    if (open_.size() <= max_connections_) return {};
    std::vector<std::pair<Time, net::ConnId>> idle;
    for (const auto& [conn, c] : open_) {
      const bool just_come = queue_when_full_ && !c.has_sent && now - c.last_active_at < kFirstMessageGrace;
      if (!just_come && !busy(conn)) idle.emplace_back(c.last_active_at, conn);
    }
    std::ranges::sort(idle);
    if (idle.size() > open_.size() - max_connections_) idle.resize(open_.size() - max_connections_);
    std::vector<net::ConnId> going;
    going.reserve(idle.size());
    for (const auto& [active, conn] : idle) going.push_back(conn);
    // All are busy: the newest has to go.
    if (going.empty() && !queue_when_full_) going.push_back(std::prev(open_.end())->first);
    return going;
  }
  struct Expired {
    net::ConnId conn;
    bool stuck{};  // a message that is not whole in time; else it is idle
  };
  template <class Busy>
  std::vector<Expired> expired(Time now, Busy busy) const {
    std::vector<Expired> all;
    for (const auto& [conn, c] : open_) {
      const bool stuck = c.partial_since && now - *c.partial_since > kMessageTimeout;
      if (stuck || (idle_ && now - c.last_active_at > *idle_ && !busy(conn))) all.push_back({conn, stuck});
    }
    return all;
  }

 private:
  // A first message, and each that has begun, is whole within so long: who sends none is owed a close within
  // 3 s.
  static constexpr Duration kMessageTimeout = std::chrono::milliseconds(2200);
  // A caller that connects asks at once, and is let in later than it has connected.
  static constexpr Duration kFirstMessageGrace = std::chrono::milliseconds(200);
  struct Open {
    std::optional<Time> partial_since;  // for the message to be whole
    bool partial = false;               // of one, some has come
    bool has_sent = false;              // a whole message has come
    Time last_active_at{};              // when the last whole message came
  };
  std::size_t max_connections_;
  std::optional<Duration> idle_;
  bool queue_when_full_;
  std::map<net::ConnId, Open> open_;
};

}  // namespace graniterun::downstream
