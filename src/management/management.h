// The second address, where operators call: one line in, one answer that begins with OK or ERR, then the end.
// A sub-reducer. Callers who say nothing are bounded in number and time and keep nobody else out.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "net/outbox.h"

namespace graniterun::management {

// Connections that may be open at once, and stand beside those of callers and setup servers.
constexpr std::size_t kMaxConnections = 32;
// A call's line is no longer than this, its end included.
constexpr std::size_t kLineBound = 256;

class Management {
 public:
  // What a call is answered with: whole lines, the first beginning with OK or ERR.
  using Answer = std::function<std::string(Time now)>;

  // `listen`: address:port; empty: nowhere.
  Management(std::string listen, Counters& counters) : listen_(std::move(listen)), counters_(counters) {}

  void answers(std::string call, Answer answer) {
    calls_.insert_or_assign(std::move(call), std::move(answer));
  }

  void start(Time now, Outbox& out) const;
  void on(Time now, const net::Accepted& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);

 private:
  struct Waiting {  // for a whole line
    net::ConnId conn;
    Time since{};
  };

  void reply(net::ConnId conn, std::string text, Outbox& out);
  void forget(net::ConnId conn);

  std::string listen_;
  Counters& counters_;
  std::map<std::string, Answer, std::less<>> calls_;
  std::deque<Waiting> waiting_;  // oldest first
};

}  // namespace graniterun::management
