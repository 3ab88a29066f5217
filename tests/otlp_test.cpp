// The OTLP exporter with a failing collector: retries, and bounded queues.
#include <nlohmann/json.hpp>

#include "lab.h"
#include "otlp/exporter.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

struct ExporterLab {
  ExporterLab() : exporter({"127.0.0.1:4318", "collector", "t0", 1s, 9}, counters) {
    exporter.start(now, out);
  }
  void request(core::RejectReason reason = core::RejectReason::deadline_exceeded) {
    core::RequestAnswered e;
    e.request = std::make_shared<const core::Request>();
    e.received_at = now - 100ms;
    e.reject_reason = reason;
    e.attempts = {{ServerId{0}, e.received_at, now, Outcome::timed_out}};
    exporter.record_request(now, e, [](ServerId) { return std::string("s0"); });
  }
  void export_now() {
    now += 1s;
    out = {};
    exporter.on(now, net::TimerFired{{Concern::collector, 0}}, counters, gauges, out);
  }
  template <class Kind>
  std::optional<Kind> first() const {
    for (const net::Effect& effect : out.net) {
      if (const Kind* found = std::get_if<Kind>(&effect)) return *found;
    }
    return std::nullopt;
  }
  std::string sent() const { return first<net::Send>() ? first<net::Send>()->bytes : std::string(); }
  ConnId connect() {
    const ConnId conn = first<net::Connect>()->conn;
    out = {};
    exporter.on(now, net::Connected{conn}, out);
    return conn;
  }
  void answer(ConnId conn, const std::string& status) {
    out = {};
    exporter.on(now, net::Received{conn, "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"}, out);
  }
  Time now{1'000'000s};
  Counters counters;
  std::vector<Gauge> gauges;
  Outbox out;
  otlp::Exporter exporter;
};

void retryable_posts_are_sent_again() {
  ExporterLab lab;
  lab.request();
  lab.export_now();
  ConnId conn = lab.connect();
  const std::string post = lab.sent();
  CHECK(post.starts_with("POST /v1/traces HTTP/1.1\r\n"));
  CHECK(post.find("\"parentSpanId\"") != std::string::npos);
  lab.answer(conn, "503 Busy");
  CHECK_EQ(lab.counters.value("otlp.posts_dropped"), 0U);
  lab.export_now();
  conn = lab.connect();
  CHECK_EQ(lab.sent(), post);
  lab.answer(conn, "200 OK");
  CHECK_EQ(lab.counters.value("otlp.spans"), 1U);
  CHECK(lab.sent().starts_with("POST /v1/metrics "));
  lab.answer(conn, "400 Bad Request");  // not retryable
  CHECK_EQ(lab.counters.value("otlp.posts_dropped"), 1U);
}

// The list of names had none for requests rejected at shutdown: they were exported as calls that were cut.
void rejection_at_shutdown_is_exported_by_its_name() {
  ExporterLab lab;
  lab.request(core::RejectReason::shutting_down);
  lab.export_now();
  lab.connect();
  CHECK(lab.sent().find(R"("stringValue":"shutting_down")") != std::string::npos);
}

void gauges_are_exported_with_their_attributes() {
  ExporterLab lab;
  lab.gauges = {{"gaps.hot_number", "{call}/s", 41.5, {{"number", "4711"}}},
                {"gaps.hot_number", "{call}/s", 22.0, {{"number", "4712"}}}};
  for (int i = 0; i < 100; ++i) lab.gauges.push_back({"more", "1", 1.0, {}});
  lab.export_now();
  lab.connect();
  const std::string post = lab.sent();
  const auto body = nlohmann::json::parse(post.substr(post.find("\r\n\r\n") + 4));
  const auto& metrics = body["resourceMetrics"][0]["scopeMetrics"][0]["metrics"];
  CHECK_EQ(metrics.size(), 2U);
  CHECK_EQ(metrics[0]["gauge"]["dataPoints"].size(), 2U);
  CHECK_EQ(metrics[0]["gauge"]["dataPoints"][0]["asDouble"], 41.5);
  CHECK_EQ(metrics[0]["gauge"]["dataPoints"][1]["attributes"][0]["value"]["stringValue"], "4712");
  CHECK_EQ(metrics[1]["gauge"]["dataPoints"].size(), otlp::kMaxGauges - 2);  // bounded
}

void unresponsive_collector_uses_bounded_memory() {
  ExporterLab lab;
  for (int i = 0; i < 5000; ++i) lab.request();
  CHECK_EQ(lab.counters.value("otlp.spans_dropped"), 5000U - 2048U);
  lab.export_now();
  const ConnId conn = lab.connect();
  CHECK(!lab.sent().empty());
  for (int i = 0; i < 5; ++i) lab.export_now();
  CHECK(!lab.first<net::Close>());
  lab.export_now();  // no answer in time
  CHECK(lab.first<net::Close>() && lab.first<net::Close>()->conn == conn);
  CHECK(lab.first<net::Connect>().has_value());
}

}  // namespace

int main() {
  retryable_posts_are_sent_again();
  rejection_at_shutdown_is_exported_by_its_name();
  gauges_are_exported_with_their_attributes();
  unresponsive_collector_uses_bounded_memory();
}
