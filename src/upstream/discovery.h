// The connection to the journal service: server-sent events that tell how the list of setup servers changes.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "codec/http.h"
#include "config/config.h"
#include "net/outbox.h"

namespace graniterun::upstream {

class DiscoveryClient {
 public:
  DiscoveryClient(std::string address, std::uint64_t position, Counters& counters)
      : address_(std::move(address)), position_(position), counters_(counters) {}

  void start(Time now, Outbox& out);
  // The service is at this address from now on; what it tells carries on where the old one's ended.
  void change_address(Time now, const std::string& address, Outbox& out);
  void on(Time now, const net::Connected& e, Outbox& out);
  void on(Time now, const net::ConnectFailed& e, Outbox& out);
  void on(Time now, const net::Received& e, Outbox& out);
  void on(Time now, const net::Closed& e, Outbox& out);
  void on(Time now, const net::TimerFired& e, Outbox& out);
  // The lists that have come since, in order.
  std::vector<EndpointList> take_updates() { return std::exchange(updates_, {}); }

 private:
  void connect(Outbox& out);
  void schedule_reconnect(Time now, Outbox& out);
  void drop_connection(Time now, Outbox& out);
  void reopen_watch(std::string_view why, Outbox& out);
  bool handle_event(const http::ServerSentEvent& event, Outbox& out);

  std::string address_;
  std::uint64_t position_;  // of the last event taken
  Counters& counters_;
  std::uint32_t connections_ = 0;
  bool open_ = false;
  bool waiting_ = false;  // for the time to connect again
  bool timer_armed_ = false;
  Time last_received_at_{};
  std::optional<http::Head> head_{};
  std::optional<http::Body> body_{};
  std::string text_{};
  std::optional<Time> partial_since_{};  // a head or an event has begun and is not whole
  // The position after which an event could not be read, and was asked for anew.
  std::optional<std::uint64_t> retried_after_{};
  std::vector<EndpointList> updates_{};
};

}  // namespace graniterun::upstream
