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
constexpr std::size_t kPageBytes = 28 * 1024;  // of services, in a line of at most 32 KiB

// What a kind is counted as, and how it stands in the log; none: it is counted only.
struct Kind {
  std::string_view counter;
  std::optional<net::Level> level;
  std::string_view words;
};
constexpr Kind kind_of(SubscriberLogKind told) {
  using net::Level;
  switch (told) {
    case SubscriberLogKind::activated:
      return {"in_force", Level::info, "is in force"};
    case SubscriberLogKind::rejected:
      return {"refused", Level::warning, "is refused, and what was in force stays"};
    case SubscriberLogKind::stale:
      return {"stale", std::nullopt, "is older than what is in force"};
    case SubscriberLogKind::conflict:
      return {"conflicts", Level::error, "is told with another content than the one in force, which stays"};
    case SubscriberLogKind::unsound:
      return {"unsound", Level::warning, "is not what its digest says, and is passed over"};
    case SubscriberLogKind::unrequested:
      return {"unasked", Level::warning, "was not asked for"};
    case SubscriberLogKind::fetch_timed_out:
      return {"fetch_late", std::nullopt, "was not delivered in time"};
    case SubscriberLogKind::source_connected:
      return {"source_up", Level::info, "a distributor is reached"};
    case SubscriberLogKind::source_disconnected:
      return {"source_down", Level::warning, "a distributor is not reached, or is lost"};
    case SubscriberLogKind::current:
      return {"current", Level::info, "what the distributors have in force is in force here, or refused"};
    case SubscriberLogKind::wait_expired:
      return {"waited_out", Level::warning, "no distributor has told all that is in force"};
  }
  return {"other", std::nullopt, ""};
}

std::int64_t ms_of(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// A text of somebody's settings, as part of a line.
std::string plain(std::string text) {
  std::size_t most = kMaxSentReasonLength;
  // Not within a character.
  while (text.size() > most && most > 0 && (static_cast<unsigned char>(text[most]) & 0xC0) == 0x80) --most;
  if (text.size() > most) text.resize(most);
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
  return text;
}

}  // namespace

Subscription::Subscription(SubscriberSettings settings, Counters& counters, Apply apply)
    : Subscription(std::move(settings), counters, std::move(apply), Lane{}) {}

Subscription::Subscription(SubscriberSettings settings, Counters& counters, Apply apply, Lane lane)
    : name_(settings.name),
      distributors_(settings.distributors),
      wait_(settings.wait),
      counters_(counters),
      apply_(std::move(apply)),
      lane_(lane),
      subscriber_(std::move(settings)) {}

void Subscription::start(Time now, Outbox& out) {
  SubscriberEffects effects;
  subscriber_.start(now, effects);
  std::vector<SubscriberEvent> more;
  for (const SubscriberEffect& effect : effects) apply(now, effect, more, out);
  for (const SubscriberEvent& event : more) step(now, event, out);
  out.arm(net::Concern::configuration, lane_.number, now + kTick);
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
  return std::nullopt;  // of a connection that was given up
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
  // A line may end the connection: what came after it is not heard.
  const auto open = [&] { return source_of(event.conn) == source; };
  bool bad = false;
  const auto refuse = [&](const std::string& trouble) {
    if (std::exchange(bad, true)) return;
    counters_.add("config.distribution.malformed");
    log_limited(now, malformed_, net::Level::warning,
                "configuration: the distributor " + distributors_[*source] +
                    " says what can't be read, and is given up: " + plain(trouble),
                out);
  };
  const auto used = read_lines(
      event.bytes,
      [&](const json& object) {
        if (!bad && open()) handle_line(now, *source, object, out);
      },
      [&](const json&, const std::string& trouble) {
        if (open()) refuse(trouble);
      });
  if (!open()) return;
  if (!used) refuse("a line has no end within 32 KiB");
  if (bad) return close_source(now, *source, out);
  out.net.push_back(net::Consume{event.conn, *used});
}

void Subscription::on(Time now, const net::TimerFired&, Outbox& out) {
  out.arm(net::Concern::configuration, lane_.number, now + kTick);
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
  // Each notice and each beat has its answer, whatever comes of it.
  if (std::holds_alternative<HeartbeatReceived>(event)) send(source, heartbeat_answer_line(), out);
  const net::ConnId conn = links_.at(source).conn;
  step(now, event, out);
  if (std::holds_alternative<VersionsNotified>(event) && source_of(conn) == source)
    send(source, acknowledge_line(), out);
}

// ---- what the Subscriber asks for

void Subscription::step(Time now, const SubscriberEvent& event, Outbox& out) {
  std::vector<SubscriberEvent> more{event};
  for (std::size_t i = 0; i < more.size(); ++i) {
    const SubscriberEvent next = std::move(more[i]);
    SubscriberEffects effects;
    subscriber_.step(now, next, effects);
    for (const SubscriberEffect& effect : effects) apply(now, effect, more, out);
  }
}

void Subscription::apply(Time now, const SubscriberEffect& effect, std::vector<SubscriberEvent>& more,
                         Outbox& out) {
  if (const auto* open = std::get_if<OpenSource>(&effect)) {
    const net::ConnId conn{net::Concern::configuration, lane_.number + 1 + lane_.of * connections_++};
    if (const auto old = links_.find(open->source); old != links_.end()) out.drop(old->second.conn);
    links_.insert_or_assign(open->source, Link{conn});
    counters_.add("config.distribution.connects");
    out.net.push_back(net::Connect{conn, distributors_.at(open->source), kConnectTimeout});
  } else if (const auto* shut = std::get_if<CloseSource>(&effect)) {
    const auto it = links_.find(shut->source);
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
  } else if (const auto* hand = std::get_if<ReturnConfig>(&effect)) {
    counters_.add("config.distribution.handed");
    send(hand->source, return_line(hand->config), out);
  } else if (const auto* apply = std::get_if<distribution::ApplyConfigs>(&effect)) {
    const auto trouble = apply_(now, apply->configs, out);
    counters_.add(trouble ? "config.distribution.sets_refused" : "config.distribution.sets_taken");
    more.push_back(ApplyFinished{!trouble, trouble ? plain(*trouble) : std::string()});
  } else {
    log_event(now, std::get<SubscriberLogEvent>(effect), out);
  }
}

// ---- the log, the counters, the answers

void Subscription::log_limited(Time now, RateLimit& kind, net::Level level, std::string text, Outbox& out) {
  if (kind.lines == 0 || now - kind.second >= 1s) {
    kind.second = now;
    kind.lines = 0;
  }
  if (kind.lines >= kMaxLogLinesPerSecond) {
    ++kind.suppressed;
    return;
  }
  ++kind.lines;
  if (kind.suppressed > 0)
    text += " (" + std::to_string(std::exchange(kind.suppressed, 0)) + " more since the last line)";
  out.log(level, std::move(text));
}

void Subscription::log_event(Time now, const SubscriberLogEvent& event, Outbox& out) {
  const Kind kind = kind_of(event.kind);
  counters_.add("config.distribution." + std::string(kind.counter));
  if (!kind.level) return;
  std::string text = "configuration: ";
  if (!event.service.empty()) text += event.service + ", version " + std::to_string(event.version) + ", ";
  text += kind.words;
  if (event.kind == SubscriberLogKind::wait_expired)
    text += " within " + std::to_string(ms_of(wait_)) + " ms: it serves on its start configuration";
  if (!event.reason.empty()) text += ": " + plain(event.reason);
  log_limited(now, log_limits_[event.kind], *kind.level, std::move(text), out);
}

json Subscription::answer(const json& asked) const {
  const auto text = [&asked](const char* key) {
    const auto it = asked.find(key);
    return it != asked.end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  if (text("what") != "held") return {{"ok", false}, {"trouble", "'what' is not held"}};
  json j = {{"ok", true},
            {"what", "held"},
            {"ready", subscriber_.ready()},
            {"current", subscriber_.is_current()},
            {"sources", subscriber_.connected_sources()}};
  // A line is bounded: what has no room is asked for by the last service before it.
  std::string after = text("after");
  json page = json::array();
  std::size_t bytes = 0;
  for (const auto& [service, held] : subscriber_.service_states()) {
    if (!after.empty()) {
      if (service == after) after.clear();
      continue;
    }
    json one = {{"service", service}, {"version", held.active.version}};
    if (!held.active.none()) one["digest"] = to_hex(held.active.digest);
    if (held.rejected) {
      one["refused"] = {{"version", held.rejected->version},
                        {"digest", to_hex(held.rejected->digest)},
                        {"reason", held.reason}};
    }
    bytes += line_of(one).size();
    if (bytes > kPageBytes) {
      j["more"] = true;
      break;
    }
    page.push_back(std::move(one));
  }
  j["services"] = std::move(page);
  return j;
}

std::vector<Gauge> Subscription::gauges() const {
  const auto held = subscriber_.service_states();
  const auto refused = std::count_if(held.begin(), held.end(),
                                     [](const auto& one) { return one.second.rejected.has_value(); });
  std::vector<Gauge> all;
  all.push_back(
      {"config.sources_up", "{distributor}", static_cast<double>(subscriber_.connected_sources()), {}});
  all.push_back({"config.current", "1", subscriber_.is_current() ? 1.0 : 0.0, {}});
  all.push_back({"config.refused", "{document}", static_cast<double>(refused), {}});
  for (const auto& [service, one] : held)
    all.push_back({"config.version", "1", static_cast<double>(one.active.version), {{"service", service}}});
  return all;
}

}  // namespace graniterun::control
