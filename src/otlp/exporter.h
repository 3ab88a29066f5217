// Export to an OpenTelemetry collector: OTLP over HTTP with JSON bodies. Exports a span for each request with
// child spans for its attempts, counters as sums, and gauges. Batched and bounded: data that a slow collector
// does not accept is dropped and counted, and no call waits for it.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "codec/http.h"
#include "core/counters.h"
#include "core/random_id.h"
#include "net/outbox.h"

namespace graniterun::otlp {

constexpr std::size_t kMaxGauges = 64;  // per export

struct ExporterSettings {
  std::optional<std::string> collector{};  // address:port; absent: nothing is exported
  std::string host{};                      // for the Host header
  std::string service_instance{};
  Duration interval{};
  std::uint64_t seed{};
};

class Exporter {
 public:
  Exporter(ExporterSettings settings, Counters& counters);

  void start(Time now, Outbox& out);
  void record_request(Time now, const core::RequestAnswered& effect,
                      const std::function<std::string(ServerId)>& name_of);
  void on(Time now, const net::Connected& event, Outbox& out);
  void on(Time now, const net::ConnectFailed& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, const Counters& all, const std::vector<Gauge>& gauges,
          Outbox& out);

 private:
  struct Post {
    std::string path{};
    std::string body{};
    std::size_t spans = 0;
    int attempts = 0;
  };

  std::string encode_traces(std::size_t& count);
  std::string encode_metrics(Time now, const Counters& all, const std::vector<Gauge>& gauges) const;
  void send_next(Time now, Outbox& out);
  void fail_post(Outbox& out, bool retry);

  ExporterSettings settings_;
  Counters& counters_;
  RandomIdGenerator ids_;
  Time started_{};
  std::deque<std::string> spans_;  // JSON, each of one request with its attempts
  std::deque<Post> posts_;
  std::uint32_t conn_ = 0;
  bool connecting_ = false;
  bool connected_ = false;
  bool in_flight_ = false;
  Time sent_at_{};
  std::optional<http::Head> head_{};
  std::optional<http::Body> body_{};
  std::string response_body_{};
};

}  // namespace graniterun::otlp
