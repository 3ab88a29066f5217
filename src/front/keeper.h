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

namespace graniterun::front {

class Keeper {
 public:
  // `idle`: a connection on which nothing is open is closed after so long without a word; none: it is kept.
  // `door`: whether who comes beyond some more waits outside until there is room. Then nobody is closed who
  // is busy, or has just come and may be about to ask; else there are never more than `most`.
  Keeper(std::size_t most, std::optional<Duration> idle, bool door = false)
      : most_(most), idle_(idle), door_(door) {}

  void accepted(Time now, net::ConnId conn) { open_[conn] = {now, false, false, now}; }
  void closed(net::ConnId conn) { open_.erase(conn); }
  // Something came in; `whole`: a message among it; `half`: one that has begun and is not whole is left.
  void heard(Time now, net::ConnId conn, bool whole, bool half) {
    const auto it = open_.find(conn);
    if (it == open_.end()) return;
    if (whole) {
      it->second.waits_since.reset();
      it->second.active = now;
      it->second.spoken = true;
    }
    it->second.half = half;
    if (half && !it->second.waits_since) it->second.waits_since = now;
  }
  // A message has begun on it and is not whole.
  bool is_half(net::ConnId conn) const {
    const auto it = open_.find(conn);
    return it != open_.end() && it->second.half;
  }
  // Where there are too many, those to close: the ones idle longest. `busy` tells whether something is open
  // on a connection.
  template <class Busy>
  std::vector<net::ConnId> too_many(Time now, Busy busy) const {
    if (open_.size() <= most_) return {};
    std::vector<std::pair<Time, net::ConnId>> idle;
    for (const auto& [conn, c] : open_) {
      const bool just_come = door_ && !c.spoken && now - c.active < kFirstWord;
      if (!just_come && !busy(conn)) idle.emplace_back(c.active, conn);
    }
    std::ranges::sort(idle);
    if (idle.size() > open_.size() - most_) idle.resize(open_.size() - most_);
    std::vector<net::ConnId> going;
    for (const auto& [active, conn] : idle) going.push_back(conn);
    // All are busy: the newest has to go.
    if (going.empty() && !door_) going.push_back(std::prev(open_.end())->first);
    return going;
  }
  struct Due {
    net::ConnId conn;
    bool stuck{};  // a message that is not whole in time; else it is idle
  };
  template <class Busy>
  std::vector<Due> due(Time now, Busy busy) const {
    std::vector<Due> all;
    for (const auto& [conn, c] : open_) {
      const bool stuck = c.waits_since && now - *c.waits_since > kWholeWithin;
      if (stuck || (idle_ && now - c.active > *idle_ && !busy(conn))) all.push_back({conn, stuck});
    }
    return all;
  }

 private:
  // A first message, and each that has begun, is whole within so long: who sends none is owed a close within
  // 3 s.
  static constexpr Duration kWholeWithin = std::chrono::milliseconds(2200);
  // A caller that connects asks at once, and is let in later than it has connected.
  static constexpr Duration kFirstWord = std::chrono::milliseconds(200);
  struct Open {
    std::optional<Time> waits_since;  // for the message to be whole
    bool half = false;                // of one, some has come
    bool spoken = false;              // a whole message has come
    Time active{};                    // when the last whole message came
  };
  std::size_t most_;
  std::optional<Duration> idle_;
  bool door_;
  std::map<net::ConnId, Open> open_;
};

}  // namespace graniterun::front
