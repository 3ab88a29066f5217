// Watch on the journal service, which is the discovery of setup servers: reads server-sent events (WHATWG
// HTML) with complete endpoint lists and changes of them. After a reconnect the watch resumes after the last
// event position that was processed. A malformed event is requested once more and skipped if it is malformed
// again.
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
  // Reconnects to the journal service at a new address and resumes after the last processed position.
  void change_address(Time now, const std::string& address, Outbox& out);
  void on(Time now, const net::Connected& event, Outbox& out);
  void on(Time now, const net::ConnectFailed& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);
  // Returns the endpoint lists received since the last call, in order.
  std::vector<EndpointList> take_updates() { return std::exchange(updates_, {}); }

 private:
  void connect(Outbox& out);
  void schedule_reconnect(Time now, Outbox& out);
  void drop_connection(Time now, Outbox& out);
  void reopen_watch(std::string_view reason, Outbox& out);
  bool handle_event(const http::ServerSentEvent& event, Outbox& out);

  std::string address_;
  std::uint64_t position_;  // of the last event processed
  Counters& counters_;
  std::uint32_t connection_number_ = 0;
  bool connected_ = false;
  bool reconnect_pending_ = false;  // the reconnect timer is armed
  bool timer_armed_ = false;
  Time last_received_at_{};
  std::optional<http::Head> head_{};
  std::optional<http::BodyReader> body_{};
  std::string event_buffer_{};
  std::optional<Time> partial_since_{};  // since when a head or event is incomplete
  // The position after which a malformed event was requested once more.
  std::optional<std::uint64_t> retried_position_{};
  std::vector<EndpointList> updates_{};
};

}  // namespace graniterun::upstream
