// The connection to the journal service: server-sent events that tell how the list of setup servers changes.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "net/outbox.h"
#include "proto/http.h"

namespace graniterun::back {

class Journal {
 public:
  Journal(std::string address, std::uint64_t position, Counters& counters)
      : address_(std::move(address)), position_(position), counters_(counters) {}

  void start(Time now, Outbox& out);
  // The service is at this address from now on; what it tells carries on where the old one's ended.
  void move(Time now, const std::string& address, Outbox& out);
  void on(Time now, const net::Connected& e, Outbox& out);
  void on(Time now, const net::ConnectFailed& e, Outbox& out);
  void on(Time now, const net::Received& e, Outbox& out);
  void on(Time now, const net::Closed& e, Outbox& out);
  void on(Time now, const net::TimerFired& e, Outbox& out);
  // The lists that have come since, in order.
  std::vector<HostList> take_news() { return std::exchange(news_, {}); }

 private:
  void connect(Outbox& out);
  void again(Time now, Outbox& out);
  void drop(Time now, Outbox& out);
  void renew(std::string_view why, Outbox& out);
  bool take(const http::ServerSentEvent& event, Outbox& out);

  std::string address_;
  std::uint64_t position_;  // of the last event taken
  Counters& counters_;
  std::uint32_t connections_ = 0;
  bool open_ = false;
  bool waiting_ = false;  // for the time to connect again
  bool watched_ = false;
  Time heard_{};
  std::optional<http::Head> head_{};
  std::optional<http::Body> body_{};
  std::string text_{};
  std::optional<Time> half_since_{};  // a head or an event has begun and is not whole
  // The position after which an event could not be read, and was asked for anew.
  std::optional<std::uint64_t> asked_again_after_{};
  std::vector<HostList> news_{};
};

}  // namespace graniterun::back
