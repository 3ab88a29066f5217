// A gatekeeper's connections to the distributors of configuration: JSON lines over TCP, by which it is told
// of documents, fetches them and says what it has in force. A sub-reducer (Concern::configuration). What is
// taken, refused or asked for again is decided by distribution::Subscriber; this one carries it out, and
// counts it as config.distribution.*. docs/design/distribution.md tells of the lines.
//
// Bounds: a line is at most kLineBound bytes, longer ones and such as are no line of a distributor close that
// connection; kSources connections; a reason that goes into a line or the log kMaxSentReasonLength bytes; of
// each kind kMaxLogLinesPerSecond in the log.
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
  // Takes the documents, all that are to be in force, whole or not at all. What is wrong with them; nothing:
  // they are in force.
  using Apply = std::function<std::optional<std::string>(
      Time now, const std::vector<distribution::ServiceConfig>& documents, Outbox& out)>;
  // Where several share one runtime, each has its own numbers of connections (number + 1, and every `of`th
  // after it) and its own timer (number).
  struct Lane {
    std::uint32_t number = 0;
    std::uint32_t of = 1;
  };

  Subscription(distribution::SubscriberSettings settings, Counters& counters, Apply apply);
  Subscription(distribution::SubscriberSettings settings, Counters& counters, Apply apply, Lane lane);

  void start(Time now, Outbox& out);
  void on(Time now, const net::Connected& event, Outbox& out);
  void on(Time now, const net::ConnectFailed& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);
  // What the documents are laid over is another one now.
  void base_changed(Time now, Outbox& out);

  // It has what was current when it started, or has waited long enough for it.
  bool ready() const { return subscriber_.ready(); }
  const distribution::Subscriber& subscriber() const { return subscriber_; }
  // For the control listener: `configuration` with `what` held.
  nlohmann::json answer(const nlohmann::json& line) const;
  // The whole's before the services'.
  std::vector<Gauge> gauges() const;

 private:
  struct Link {
    net::ConnId conn;
    bool connected = false;
  };
  // The lines of one kind.
  struct RateLimit {
    Time second{};  // when the second began that `lines` are counted in
    unsigned lines = 0;
    std::uint64_t suppressed = 0;
  };

  void step(Time now, const distribution::SubscriberEvent& event, Outbox& out);
  void apply(Time now, const distribution::SubscriberEffect& effect,
             std::vector<distribution::SubscriberEvent>& more, Outbox& out);
  void log_event(Time now, const distribution::SubscriberLogEvent& event, Outbox& out);
  void log_limited(Time now, RateLimit& kind, net::Level level, std::string text, Outbox& out);
  void send(std::uint32_t source, const nlohmann::json& line, Outbox& out);
  void handle_line(Time now, std::uint32_t source, const nlohmann::json& line, Outbox& out);
  std::optional<std::uint32_t> source_of(net::ConnId conn) const;
  void close_source(Time now, std::uint32_t source, Outbox& out);

  std::string name_;
  std::vector<std::string> distributors_;
  Duration wait_;
  Counters& counters_;
  Apply apply_;
  Lane lane_;
  distribution::Subscriber subscriber_;
  std::map<std::uint32_t, Link> links_;  // by distributor
  std::uint32_t connections_ = 0;
  std::map<distribution::SubscriberLogKind, RateLimit> log_limits_;
  RateLimit malformed_{};
};

}  // namespace graniterun::control
