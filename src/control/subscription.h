// A gatekeeper's connections to the configuration distributors: JSON lines over TCP, through which it is
// notified of versions, fetches configurations and reports which ones are active. A sub-reducer
// (Concern::configuration). distribution::Subscriber decides what is applied, rejected or fetched again;
// Subscription carries its effects out and counts them as config.distribution.*.
// docs/design/distribution.md describes the lines.
//
// Bounds: kMaxLineBytes per line (a longer or malformed line closes its connection), kSourcesPerGatekeeper
// connections, kMaxSentReasonLength bytes of a rejection reason in a line or in the log,
// kMaxLogLinesPerSecond log lines of each kind.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/counters.h"
#include "distribution/subscriber.h"
#include "net/outbox.h"

namespace graniterun::control {

constexpr unsigned kMaxLogLinesPerSecond = 4;

class Subscription {
 public:
  // Applies the complete set of configurations atomically. Returns the reason if it is rejected, nullopt if
  // it is active.
  using Apply = std::function<std::optional<std::string>(
      Time now, const std::vector<distribution::ServiceConfig>& configs, Outbox& out)>;
  // Identifies one of several subscriptions that share a runtime: its timer has the key `number`, its
  // connections the numbers `number` + 1 and every `stride`th after that.
  struct IdRange {
    std::uint32_t number = 0;
    std::uint32_t stride = 1;
  };

  Subscription(distribution::SubscriberSettings settings, Counters& counters, Apply apply);
  Subscription(distribution::SubscriberSettings settings, Counters& counters, Apply apply, IdRange ids);

  void start(Time now, Outbox& out);
  void on(Time now, const net::Connected& event, Outbox& out);
  void on(Time now, const net::ConnectFailed& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);
  // The base configuration, onto which the distributed configurations are merged, was replaced.
  void base_changed(Time now, Outbox& out);

  // True once everything that was current at the start is applied or rejected, or the wait for it has
  // expired.
  bool ready() const { return subscriber_.ready(); }
  const distribution::Subscriber& subscriber() const { return subscriber_; }
  // The answer to the control listener's operation `configuration` with `what` `held`.
  nlohmann::json answer(const nlohmann::json& line) const;
  // The global gauges, followed by those of each service.
  std::vector<Gauge> gauges() const;

 private:
  struct Link {
    net::ConnId conn;
    bool connected = false;
  };
  // Limits the log lines of one kind.
  struct RateLimit {
    Time window_start{};           // of the one-second window that `lines` counts
    unsigned lines = 0;            // logged in the window
    std::uint64_t suppressed = 0;  // since the last logged line
  };

  void step(Time now, const distribution::SubscriberEvent& event, Outbox& out);
  void apply(Time now, const distribution::SubscriberEffect& effect,
             std::vector<distribution::SubscriberEvent>& follow_up_events, Outbox& out);
  void log_event(Time now, const distribution::SubscriberLogEvent& event, Outbox& out);
  void log_limited(Time now, RateLimit& limit, net::Level level, std::string text, Outbox& out);
  void send(std::uint32_t source, const nlohmann::json& line, Outbox& out);
  void handle_line(Time now, std::uint32_t source, const nlohmann::json& line, Outbox& out);
  std::optional<std::uint32_t> source_of(net::ConnId conn) const;
  void close_source(Time now, std::uint32_t source, Outbox& out);

  std::string name_;
  std::vector<std::string> distributors_;
  Duration wait_;
  Counters& counters_;
  Apply apply_;
  IdRange ids_;
  distribution::Subscriber subscriber_;
  std::map<std::uint32_t, Link> links_;  // by distributor
  std::uint32_t opened_connections_ = 0;
  std::map<distribution::SubscriberLogKind, RateLimit> log_limits_;
  RateLimit malformed_{};
};

}  // namespace graniterun::control
