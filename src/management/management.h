// Sub-reducer of the management listener for operators: one request line, one response that begins with OK or
// ERR, then the connection is closed. Connections that send no complete line are bounded in number and time,
// so that they can't keep others out.
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

// Maximum open connections, outside the limit for callers and setup servers.
constexpr std::size_t kMaxConnections = 32;
// Maximum bytes of a request line, including the line feed.
constexpr std::size_t kMaxLineLength = 256;

class Management {
 public:
  // Returns the response to a request: complete lines, the first beginning with OK or ERR.
  using ResponseFunction = std::function<std::string(Time now)>;

  // `listen`: address:port; empty: no listener.
  Management(std::string listen, Counters& counters) : listen_(std::move(listen)), counters_(counters) {}

  void add_request(std::string name, ResponseFunction respond) {
    requests_.insert_or_assign(std::move(name), std::move(respond));
  }

  void start(Time now, Outbox& out) const;
  void on(Time now, const net::Accepted& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);

 private:
  struct Waiting {  // a connection without a complete line
    net::ConnId conn;
    Time accepted_at{};
  };

  void reply(net::ConnId conn, std::string text, Outbox& out);
  void forget(net::ConnId conn);

  std::string listen_;
  Counters& counters_;
  std::map<std::string, ResponseFunction, std::less<>> requests_;
  std::deque<Waiting> waiting_;  // oldest first
};

}  // namespace graniterun::management
