#include "control/subscription.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "control/config_lines.h"

namespace graniterun::control {
namespace {

using namespace distribution;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr Duration kTick = 50ms;
constexpr Duration kConnectTimeout = 1s;
constexpr std::size_t kMaxPageBytes = 28 * 1024;  // services in one line of at most kMaxLineBytes

// The counter's suffix and the log text of an event's kind. Without a level the event is only counted.
struct LogFormat {
  std::string_view counter;
  std::optional<net::Level> level;
  std::string_view text;
};
constexpr LogFormat log_format_of(SubscriberLogKind kind) {
  using net::Level;
  switch (kind) {
    case SubscriberLogKind::activated:
      return {"in_force", Level::info, "is in force"};
    case SubscriberLogKind::rejected:
      return {"refused", Level::warning, "is refused, and what was in force stays"};
    case SubscriberLogKind::stale:
      return {"stale", std::nullopt, "is older than the active version"};
    case SubscriberLogKind::conflict:
      return {"conflicts", Level::error,
              "conflicts with the active content of that version, which stays active"};
    case SubscriberLogKind::unsound:
      return {"unsound", Level::warning, "is ignored, its digest does not match"};
    case SubscriberLogKind::unrequested:
      return {"unasked", Level::warning, "is ignored, it was not requested"};
    case SubscriberLogKind::fetch_timed_out:
      return {"fetch_late", std::nullopt, "was not delivered in time"};
    case SubscriberLogKind::source_connected:
      return {"source_up", Level::info, "a distributor is reached"};
    case SubscriberLogKind::source_disconnected:
      return {"source_down", Level::warning, "connect failed or connection lost to a distributor"};
    case SubscriberLogKind::current:
      return {"current", Level::info, "every committed configuration is active or rejected here"};
    case SubscriberLogKind::wait_expired:
      return {"waited_out", Level::warning, "no distributor has told all that is in force"};
  }
  return {"other", std::nullopt, ""};
}

std::int64_t ms_of(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Text from settings as part of a log line or a message: cut to kMaxSentReasonLength, control characters
// replaced by spaces.
std::string sanitized(std::string text) {
  std::size_t max_bytes = kMaxSentReasonLength;
  // Cuts before a UTF-8 sequence, never within it.
  while (text.size() > max_bytes && max_bytes > 0 &&
         (static_cast<unsigned char>(text[max_bytes]) & 0xC0) == 0x80)
    --max_bytes;
  if (text.size() > max_bytes) text.resize(max_bytes);
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
  return text;
}

}  // namespace

Subscription::Subscription(SubscriberSettings settings, Counters& counters, Apply apply)
    : Subscription(std::move(settings), counters, std::move(apply), IdRange{}) {}

Subscription::Subscription(SubscriberSettings settings, Counters& counters, Apply apply, IdRange ids)
    : name_(settings.name),
      distributors_(settings.distributors),
      wait_(settings.startup_timeout),
      counters_(counters),
      apply_(std::move(apply)),
      ids_(ids),
      subscriber_(std::move(settings)) {}

void Subscription::start(Time now, Outbox& out) {
  SubscriberEffects effects;
  subscriber_.start(now, effects);
  std::vector<SubscriberEvent> follow_up_events;
  for (const SubscriberEffect& effect : effects) apply(now, effect, follow_up_events, out);
  for (const SubscriberEvent& event : follow_up_events) step(now, event, out);
  out.arm(net::Concern::configuration, ids_.number, now + kTick);
}

void Subscription::base_changed(Time now, Outbox& out) {
  counters_.add("config.distribution.base_changed");
  step(now, BaseChanged{}, out);
}

// ---- connections

std::optional<std::uint32_t> Subscription::source_of(net::ConnId conn) const {
  for (const auto& [source, link] : links_) {
    if (link.conn == conn) return source;
  }
  return std::nullopt;  // the connection was closed here
}

void Subscription::on(Time now, const net::Connected& event, Outbox& out) {
  const auto source = source_of(event.conn);
  if (!source) return out.close(event.conn);
  links_.at(*source).connected = true;
  counters_.add("config.distribution.connected");
  step(now, SourceConnected{*source}, out);
}

void Subscription::on(Time now, const net::ConnectFailed& event, Outbox& out) {
  const auto source = source_of(event.conn);
  if (!source) return;
  counters_.add("config.distribution.connect_failed");
  links_.erase(*source);
  step(now, SourceDisconnected{*source}, out);
}

void Subscription::on(Time now, const net::Closed& event, Outbox& out) {
  const auto source = source_of(event.conn);
  if (!source) return;
  counters_.add("config.distribution.closed");
  links_.erase(*source);
  step(now, SourceDisconnected{*source}, out);
}

void Subscription::close_source(Time now, std::uint32_t source, Outbox& out) {
  out.drop(links_.at(source).conn);
  links_.erase(source);
  step(now, SourceDisconnected{source}, out);
}

void Subscription::on(Time now, const net::Received& event, Outbox& out) {
  const auto source = source_of(event.conn);
  if (!source) return;
  // A line may close the connection; the lines after it are then ignored.
  const auto is_open = [&] { return source_of(event.conn) == source; };
  bool malformed = false;
  const auto record_malformed = [&](const std::string& error) {
    if (std::exchange(malformed, true)) return;
    counters_.add("config.distribution.malformed");
    log_limited(now, malformed_, net::Level::warning,
                "configuration: the distributor " + distributors_[*source] +
                    " says what can't be read, and is given up: " + sanitized(error),
                out);
  };
  const auto used = read_lines(
      event.bytes,
      [&](const json& object) {
        if (!malformed && is_open()) handle_line(now, *source, object, out);
      },
      [&](const json&, const std::string& error) {
        if (is_open()) record_malformed(error);
      });
  if (!is_open()) return;
  if (!used) record_malformed("a line is longer than 32 KiB");
  if (malformed) return close_source(now, *source, out);
  out.net.push_back(net::Consume{event.conn, *used});
}

void Subscription::on(Time now, const net::TimerFired&, Outbox& out) {
  out.arm(net::Concern::configuration, ids_.number, now + kTick);
  step(now, Tick{}, out);
}

// ---- lines

void Subscription::send(std::uint32_t source, const json& line, Outbox& out) {
  const auto it = links_.find(source);
  if (it == links_.end() || !it->second.connected) return;
  counters_.add("config.distribution.lines_out");
  out.send(it->second.conn, line_of(line));
}

void Subscription::handle_line(Time now, std::uint32_t source, const json& object, Outbox& out) {
  const SubscriberEvent event = parse_subscriber_line(source, object);
  counters_.add("config.distribution.lines_in");
  // Every notification and every heartbeat is answered, whatever the Subscriber does with it.
  if (std::holds_alternative<HeartbeatReceived>(event)) send(source, heartbeat_answer_line(), out);
  const net::ConnId conn = links_.at(source).conn;
  step(now, event, out);
  if (std::holds_alternative<VersionsNotified>(event) && source_of(conn) == source)
    send(source, acknowledge_line(), out);
}

// ---- effects of the Subscriber

void Subscription::step(Time now, const SubscriberEvent& event, Outbox& out) {
  std::vector<SubscriberEvent> events{event};
  for (std::size_t i = 0; i < events.size(); ++i) {
    const SubscriberEvent next = std::move(events[i]);
    SubscriberEffects effects;
    subscriber_.step(now, next, effects);
    for (const SubscriberEffect& effect : effects) apply(now, effect, events, out);
  }
}

void Subscription::apply(Time now, const SubscriberEffect& effect,
                         std::vector<SubscriberEvent>& follow_up_events, Outbox& out) {
  if (const auto* open = std::get_if<OpenSource>(&effect)) {
    const net::ConnId conn{net::Concern::configuration,
                           ids_.number + 1 + ids_.stride * opened_connections_++};
    if (const auto previous = links_.find(open->source); previous != links_.end())
      out.drop(previous->second.conn);
    links_.insert_or_assign(open->source, Link{conn});
    counters_.add("config.distribution.connects");
    out.net.push_back(net::Connect{conn, distributors_.at(open->source), kConnectTimeout});
  } else if (const auto* close = std::get_if<CloseSource>(&effect)) {
    const auto it = links_.find(close->source);
    if (it == links_.end()) return;
    counters_.add("config.distribution.shut");
    out.drop(it->second.conn);
    links_.erase(it);
  } else if (const auto* subscribe = std::get_if<Subscribe>(&effect)) {
    send(subscribe->source, subscribe_line(name_, subscribe->held, subscribe->primary), out);
  } else if (const auto* primary = std::get_if<SendPrimary>(&effect)) {
    send(primary->source, primary_line(primary->primary), out);
  } else if (const auto* fetch = std::get_if<FetchConfig>(&effect)) {
    counters_.add("config.distribution.fetches");
    send(fetch->source, fetch_line(fetch->service, fetch->version), out);
  } else if (const auto* report = std::get_if<ReportStatus>(&effect)) {
    send(report->source, report_line(*report), out);
  } else if (const auto* returned = std::get_if<ReturnConfig>(&effect)) {
    counters_.add("config.distribution.handed");
    send(returned->source, return_line(returned->config), out);
  } else if (const auto* apply = std::get_if<distribution::ApplyConfigs>(&effect)) {
    const auto error = apply_(now, apply->configs, out);
    counters_.add(error ? "config.distribution.sets_refused" : "config.distribution.sets_taken");
    follow_up_events.push_back(ApplyFinished{!error, error ? sanitized(*error) : std::string()});
  } else {
    log_event(now, std::get<SubscriberLogEvent>(effect), out);
  }
}

// ---- log, control answers and gauges

void Subscription::log_limited(Time now, RateLimit& limit, net::Level level, std::string text, Outbox& out) {
  if (limit.lines == 0 || now - limit.window_start >= 1s) {
    limit.window_start = now;
    limit.lines = 0;
  }
  if (limit.lines >= kMaxLogLinesPerSecond) {
    ++limit.suppressed;
    return;
  }
  ++limit.lines;
  if (limit.suppressed > 0)
    text += " (" + std::to_string(std::exchange(limit.suppressed, 0)) + " more since the last line)";
  out.log(level, std::move(text));
}

void Subscription::log_event(Time now, const SubscriberLogEvent& event, Outbox& out) {
  const LogFormat format = log_format_of(event.kind);
  counters_.add("config.distribution." + std::string(format.counter));
  if (!format.level) return;
  std::string text = "configuration: ";
  if (!event.service.empty()) text += event.service + ", version " + std::to_string(event.version) + ", ";
  text += format.text;
  if (event.kind == SubscriberLogKind::wait_expired)
    text += " within " + std::to_string(ms_of(wait_)) + " ms: it serves on its start configuration";
  if (!event.reason.empty()) text += ": " + sanitized(event.reason);
  log_limited(now, log_limits_[event.kind], *format.level, std::move(text), out);
}

json Subscription::answer(const json& line) const {
  const auto text_of = [&line](const char* key) {
    const auto it = line.find(key);
    return it != line.end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  if (text_of("what") != "held") return {{"ok", false}, {"trouble", "'what' is not held"}};
  json answer = {{"ok", true},
                 {"what", "held"},
                 {"ready", subscriber_.ready()},
                 {"current", subscriber_.is_current()},
                 {"sources", subscriber_.connected_sources()}};
  // Lines are bounded: a client requests the next page by the last service of the previous one, in `after`.
  std::string after = text_of("after");
  json page = json::array();
  std::size_t bytes = 0;
  for (const auto& [service, state] : subscriber_.service_states()) {
    if (!after.empty()) {
      if (service == after) after.clear();
      continue;
    }
    json entry = {{"service", service}, {"version", state.active.version}};
    if (!state.active.none()) entry["digest"] = to_hex(state.active.digest);
    if (state.rejected) {
      entry["refused"] = {{"version", state.rejected->version},
                          {"digest", to_hex(state.rejected->digest)},
                          {"reason", state.reason}};
    }
    bytes += line_of(entry).size();
    if (bytes > kMaxPageBytes) {
      answer["more"] = true;
      break;
    }
    page.push_back(std::move(entry));
  }
  answer["services"] = std::move(page);
  return answer;
}

std::vector<Gauge> Subscription::gauges() const {
  const auto states = subscriber_.service_states();
  const auto rejected_count = std::count_if(
      states.begin(), states.end(), [](const auto& state) { return state.second.rejected.has_value(); });
  std::vector<Gauge> gauges;
  gauges.push_back(
      {"config.sources_up", "{distributor}", static_cast<double>(subscriber_.connected_sources()), {}});
  gauges.push_back({"config.current", "1", subscriber_.is_current() ? 1.0 : 0.0, {}});
  gauges.push_back({"config.refused", "{document}", static_cast<double>(rejected_count), {}});
  for (const auto& [service, state] : states)
    gauges.push_back(
        {"config.version", "1", static_cast<double>(state.active.version), {{"service", service}}});
  return gauges;
}

}  // namespace graniterun::control
