#include "otlp/exporter.h"

#include <nlohmann/json.hpp>

#include "core/names.h"

namespace graniterun::otlp {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t kMaxQueuedRequests = 2048;
constexpr std::size_t kMaxRequestsPerPost = 128;
constexpr std::size_t kMaxQueuedPosts = 8;
constexpr int kMaxPostAttempts = 4;
constexpr Duration kConnectTimeout = 1s;
constexpr Duration kResponseTimeout = 5s;
constexpr int kSpanKindServer = 2;  // span kinds of OTLP
constexpr int kSpanKindClient = 3;
constexpr int kStatusOk = 1;  // status codes of OTLP
constexpr int kStatusError = 2;
constexpr int kCumulativeTemporality = 2;

std::string unix_nanoseconds(Time at) { return std::to_string(at.time_since_epoch().count()); }

json attribute(const char* key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

json scope() { return {{"name", "graniterun"}}; }

// Whether OTLP/HTTP lists the response status as retryable.
bool retryable(int status) { return status == 429 || status == 502 || status == 503 || status == 504; }

}  // namespace

Exporter::Exporter(ExporterSettings settings, Counters& counters)
    : settings_(std::move(settings)), counters_(counters), ids_(~settings_.seed) {}

void Exporter::start(Time now, Outbox& out) {
  started_ = now;
  ids_ = RandomIdGenerator(~settings_.seed, now);
  if (settings_.collector) out.arm(net::Concern::collector, 0, now + settings_.interval);
}

void Exporter::record_request(Time now, const core::RequestAnswered& effect,
                              const std::function<std::string(ServerId)>& name_of) {
  if (!settings_.collector) return;
  if (spans_.size() >= kMaxQueuedRequests) {
    counters_.add("otlp.spans_dropped");
    return;
  }
  const std::string trace_low = ids_.next();
  const std::string trace = ids_.next() + trace_low;
  const std::string root = ids_.next();
  json request = {{"traceId", trace},
                  {"spanId", root},
                  {"name", "request"},
                  {"kind", kSpanKindServer},
                  {"startTimeUnixNano", unix_nanoseconds(effect.received_at)},
                  {"endTimeUnixNano", unix_nanoseconds(now)},
                  {"status", {{"code", effect.served ? kStatusOk : kStatusError}}}};
  request["attributes"] = {
      attribute("call.id", effect.request->correlation_id),
      attribute("call.class", effect.request->class_name), attribute("call.team", effect.request->team),
      attribute("call.answer",
                std::string(effect.reject_reason ? core::to_string(*effect.reject_reason) : "served"))};
  json spans = json::array({request});
  for (const core::AttemptRecord& record : effect.attempts) {
    const bool succeeded = !record.outcome || *record.outcome == Outcome::ok;
    json attempt = {{"traceId", trace},
                    {"spanId", ids_.next()},
                    {"parentSpanId", root},
                    {"name", "attempt"},
                    {"kind", kSpanKindClient},
                    {"startTimeUnixNano", unix_nanoseconds(record.started_at)},
                    {"endTimeUnixNano", unix_nanoseconds(record.ended_at)},
                    {"status", {{"code", succeeded ? kStatusOk : kStatusError}}}};
    attempt["attributes"] = {
        attribute("server.id", name_of(record.server)),
        attribute("attempt.outcome",
                  std::string(record.outcome ? core::to_string(*record.outcome) : "stands"))};
    spans.push_back(std::move(attempt));
  }
  // Without the array's brackets: encode_traces joins the texts of several requests.
  const std::string text = spans.dump(-1, ' ', false, json::error_handler_t::replace);
  spans_.push_back(text.substr(1, text.size() - 2));
}

std::string Exporter::encode_traces(std::size_t& count) {
  std::string joined;
  for (count = 0; count < kMaxRequestsPerPost && !spans_.empty(); ++count) {
    joined.append(joined.empty() ? "" : ",").append(spans_.front());
    spans_.pop_front();
  }
  const json resource = {{"attributes",
                          {attribute("service.name", "graniterun"),
                           attribute("service.instance.id", settings_.service_instance)}}};
  return R"({"resourceSpans":[{"resource":)" + resource.dump() + R"(,"scopeSpans":[{"scope":)" +
         scope().dump() + R"(,"spans":[)" + joined + "]}]}]}";
}

std::string Exporter::encode_metrics(Time now, const Counters& all, const std::vector<Gauge>& gauges) const {
  json list = json::array();
  for (const auto& [name, value] : all.all()) {
    json point = {{"startTimeUnixNano", unix_nanoseconds(started_)},
                  {"timeUnixNano", unix_nanoseconds(now)},
                  {"asInt", std::to_string(value)}};
    json sum = {{"aggregationTemporality", kCumulativeTemporality}, {"isMonotonic", true}};
    sum["dataPoints"] = json::array({point});
    list.push_back({{"name", name}, {"sum", sum}});
  }
  json document;
  json& resource = document["resourceMetrics"][0];
  resource["resource"]["attributes"] = {attribute("service.name", "graniterun"),
                                        attribute("service.instance.id", settings_.service_instance)};
  resource["scopeMetrics"][0]["scope"] = scope();
  // One metric for each name, with a data point for each set of attributes.
  std::map<std::string, json> by_name;
  for (std::size_t i = 0; i < gauges.size() && i < kMaxGauges; ++i) {
    const Gauge& gauge = gauges[i];
    json& metric = by_name[gauge.name];
    metric["name"] = gauge.name;
    metric["unit"] = gauge.unit;
    json point = {{"timeUnixNano", unix_nanoseconds(now)}, {"asDouble", gauge.value}};
    for (const auto& [name, value] : gauge.attributes)
      point["attributes"].push_back(attribute(name.c_str(), value));
    metric["gauge"]["dataPoints"].push_back(std::move(point));
  }
  for (auto& [name, metric] : by_name) list.push_back(std::move(metric));
  resource["scopeMetrics"][0]["metrics"] = list;
  return document.dump();
}

// ---- sending

void Exporter::on(Time now, const net::TimerFired&, const Counters& all, const std::vector<Gauge>& gauges,
                  Outbox& out) {
  out.arm(net::Concern::collector, 0, now + settings_.interval);
  if (in_flight_ && now - sent_at_ > kResponseTimeout) {
    out.close({net::Concern::collector, conn_});
    fail_post(out, true);
  }
  while (!spans_.empty() && posts_.size() < kMaxQueuedPosts) {
    Post post;
    post.path = "/v1/traces";
    post.body = encode_traces(post.spans);
    posts_.push_back(std::move(post));
  }
  if (posts_.size() < kMaxQueuedPosts) posts_.push_back({"/v1/metrics", encode_metrics(now, all, gauges)});
  send_next(now, out);
}

void Exporter::send_next(Time now, Outbox& out) {
  if (in_flight_ || posts_.empty()) return;
  if (!connected_) {
    if (std::exchange(connecting_, true)) return;
    out.net.push_back(
        net::Connect{{net::Concern::collector, ++conn_}, *settings_.collector, kConnectTimeout});
    return;
  }
  Post& post = posts_.front();
  ++post.attempts;
  in_flight_ = true;
  sent_at_ = now;
  head_.reset();
  body_.reset();
  response_body_.clear();
  out.send({net::Concern::collector, conn_}, "POST " + post.path + " HTTP/1.1\r\nHost: " + settings_.host +
                                                 "\r\nContent-Type: application/json\r\nContent-Length: " +
                                                 std::to_string(post.body.size()) + "\r\n\r\n" + post.body);
}

// Handles a lost connection or a post that the collector did not accept. The post stays queued for the next
// export, or is dropped if `retry` is false or its attempts are used up.
void Exporter::fail_post(Outbox&, bool retry) {
  if (in_flight_ && !posts_.empty() && (!retry || posts_.front().attempts >= kMaxPostAttempts)) {
    counters_.add("otlp.posts_dropped");
    counters_.add("otlp.spans_dropped", posts_.front().spans);
    posts_.pop_front();
  }
  in_flight_ = false;
  connected_ = false;
  connecting_ = false;
}

void Exporter::on(Time now, const net::Connected& event, Outbox& out) {
  if (event.conn.number != conn_) return;
  connecting_ = false;
  connected_ = true;
  send_next(now, out);
}

void Exporter::on(Time, const net::ConnectFailed& event, Outbox& out) {
  if (event.conn.number != conn_) return;
  counters_.add("otlp.connects_failed");
  fail_post(out, true);
}

void Exporter::on(Time, const net::Closed& event, Outbox& out) {
  if (event.conn.number == conn_) fail_post(out, true);
}

void Exporter::on(Time now, const net::Received& event, Outbox& out) {
  if (event.conn.number != conn_ || !in_flight_) {
    out.net.push_back(net::Consume{event.conn, event.bytes.size()});
    return;
  }
  std::size_t used = 0;
  if (!head_) {
    http::Head head;
    const http::HeadState state = http::read_head(event.bytes, head);
    if (state == http::HeadState::more) return;
    if (state == http::HeadState::malformed) {
      counters_.add("otlp.malformed");
      out.close(event.conn);
      return fail_post(out, false);
    }
    head_ = head;
    body_.emplace(head);
    used = head.size;
  }
  const auto consumed = body_->take(event.bytes.substr(used), response_body_);
  if (consumed) out.net.push_back(net::Consume{event.conn, used + *consumed});
  const bool empty = head_->length == std::size_t{0};
  if (!consumed || response_body_.size() > http::kMaxHeadBytes) {
    counters_.add("otlp.malformed");
    out.close(event.conn);
    return fail_post(out, false);
  }
  if (!body_->done() && !empty) return;
  const int status = head_->status;
  if (status / 100 != 2) {
    counters_.add("otlp.posts_refused");
    out.close(event.conn);
    return fail_post(out, retryable(status));
  }
  counters_.add("otlp.posts");
  counters_.add("otlp.spans", posts_.front().spans);
  posts_.pop_front();
  in_flight_ = false;
  if (head_->closes) {
    out.close(event.conn);
    connected_ = false;
  }
  send_next(now, out);
}

}  // namespace graniterun::otlp
