// Measures the cost of each part of the control plane by running the program's own reducers under a simulated
// clock, at three or more sizes. Prints one figure per line, `name_at_N value unit`, where N is the size that
// the figure grows with. It measures processor time and counts only, so that results hold on a busy machine;
// sockets, the kernel and IP headers are not included.
//
// Usage: control_bench [PART...]; parts: membership membership_1000 discovery gaps announcer configuration
// figures. Without arguments: all but membership_1000.
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "call_gapping/gap_register.h"
#include "control/control.h"
#include "control/gap_publisher.h"
#include "fleet/datagram.h"
#include "gatekeeper/gatekeeper.h"
#include "lab/fleet_sim.h"
#include "management/telemetry.h"
#include "otlp/exporter.h"
#include "settings.h"

using namespace graniterun;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

void figure(const std::string& name, std::size_t size, double value, const char* unit) {
  std::printf("%s_at_%zu %.6g %s\n", name.c_str(), size, value, unit);
  std::fflush(stdout);
}

// Processor time of this process, in microseconds.
double cpu_us() {
  rusage u{};
  getrusage(RUSAGE_SELF, &u);
  const auto us = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_usec);
  };
  return us(u.ru_utime) + us(u.ru_stime);
}
double heap_bytes() { return static_cast<double>(mallinfo2().uordblks); }
double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

constexpr Time kStart{1'700'000'000s};

// ---- membership

void membership_at(std::size_t size) {
  lab::FleetSim sim(size, 7);
  for (std::size_t i = 0; i < size; ++i) {
    sim.start(i);
    if (size > 100 && i % 10 == 9) sim.run(20ms);
  }
  const Duration settle_timeout = size > 300 ? 10s : 30s;
  const bool settled = sim.until(settle_timeout,
                                 [&, next = Time{}]() mutable {
                                   if (sim.now() < next) return false;
                                   next = sim.now() + 100ms;
                                   return sim.all_agree();
                                 })
                           .has_value();
  // Figures of a fleet that did not settle get another name, because no slope may be drawn through them.
  const std::string name = settled ? "membership_" : "membership_unsettled_";
  if (!settled)
    std::printf("# not settled: %zu members, %.0f s after the start\n", size, seconds(settle_timeout));
  // Gossip about the starts continues for about 6.5 s after all members agree.
  if (settled) sim.run(8s);
  std::size_t seen = 0;
  std::size_t sampled = 0;
  std::size_t bytes = 0;
  sim.size_of = [&](const membership::Datagram& d) -> std::size_t {
    static const fleet::Key key{};
    if (++seen % 64 != 0) return 0;
    ++sampled;
    bytes += fleet::encode(d, "trail", key).size();
    return 0;
  };
  const Duration quiet = size > 300 ? 2s : size > 100 ? 10s : 20s;
  const auto sent = sim.counts().sent;
  const double cpu = cpu_us();
  sim.run(quiet);
  const double spent = cpu_us() - cpu;
  const double all = seconds(quiet) * static_cast<double>(size);
  const double datagrams = static_cast<double>(sim.counts().sent - sent) / all;
  const double each = sampled == 0 ? 0.0 : static_cast<double>(bytes) / static_cast<double>(sampled);
  figure(name + "datagrams", size, datagrams, "1/s");
  figure(name + "bytes", size, datagrams * each, "B/s");
  figure(name + "cpu", size, spent / all, "us/s");
  figure(name + "state", size, static_cast<double>(sim.member(0).memory()), "B");
}

// ---- discovery and setup servers: the whole reducer of a gatekeeper, without callers

json target(std::size_t i, std::size_t boot) {
  return {{"uid", "setup-" + std::to_string(100'000 + i)},
          {"endpoint", "10." + std::to_string(i / 60'000) + "." + std::to_string(i / 250 % 240) + "." +
                           std::to_string(i % 250 + 1) + ":5060"},
          {"az", i % 2 == 0 ? "west" : "east side"},
          {"pod_group", i % 2},
          {"state", "ready"},
          {"capacity_hint", 4},
          {"model", "std-1core"},
          {"boot_ms", 1'700'000'000'000 + boot}};
}

json configuration_with_classes(std::size_t classes) {
  json settings = test::settings();
  settings["familyInfo"]["poolsByClass"] = json::array();
  settings["familyInfo"]["classHoldNs"] = json::array();
  const json one = settings["classes"][0];
  settings["classes"] = json::array();
  for (std::size_t i = 0; i < classes; ++i) {
    json c = one;
    c["name"] = "class-" + std::to_string(i);
    settings["classes"].push_back(c);
    settings["familyInfo"]["poolsByClass"].push_back({0, 1});
    settings["familyInfo"]["classHoldNs"].push_back(9900000000);
  }
  return {{"name", "n0"},
          {"listen", "127.0.0.1:7000"},
          {"journal", "127.0.0.1:7001"},
          {"seed", "1000"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"settings", settings}};
}

// Gatekeeper with a fake runtime, in which every connection succeeds at once, and which counts messages.
class IsolatedGatekeeper {
 public:
  IsolatedGatekeeper()
      : gatekeeper_(read_platform_config(configuration_with_classes(2).dump()), DeployConfig{},
                    [](Counters&) {}) {
    feed(net::Started{});
    receive("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
  }
  // Delivers bytes from the journal service, in pieces as a socket reads them.
  void receive(std::string_view bytes) {
    constexpr std::size_t kPiece = 16 * 1024;
    for (; !bytes.empty(); bytes.remove_prefix(std::min(kPiece, bytes.size()))) {
      unread_ += bytes.substr(0, kPiece);
      const std::string whole = unread_;
      feed(net::Received{journal_, whole});
    }
  }
  std::string event(bool all, const std::vector<json>& targets) {
    const json data = {{"hosts", {{"rev", ++position_}, {"all", all}, {"targets", targets}}}};
    return "id: " + std::to_string(position_) + "\ndata: " + data.dump() + "\n\n";
  }
  void run(Duration span) {
    for (const Time end = now_ + span; !timers_.empty();) {
      const auto next = std::min_element(timers_.begin(), timers_.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
      if (next->second > end) break;
      now_ = std::max(now_, next->second);
      const net::TimerKey key{next->first.first, next->first.second};
      timers_.erase(next);
      // The journal service sends an empty comment every second as a heartbeat.
      if (now_ - last_heartbeat_at_ >= 1s) {
        last_heartbeat_at_ = now_;
        receive(":\n\n");
      }
      feed(net::TimerFired{key});
    }
  }
  std::size_t to_servers = 0;  // messages
  std::size_t connects = 0;    // to servers

 private:
  void feed(const net::Event& event) {
    std::deque<net::Event> pending{event};
    while (!pending.empty()) {
      net::Effects effects;
      gatekeeper_.step(now_, pending.front(), effects);
      pending.pop_front();
      for (const net::Effect& effect : effects) {
        if (const auto* c = std::get_if<net::Connect>(&effect)) {
          if (c->conn.concern == net::Concern::discovery) journal_ = c->conn;
          connects += c->conn.concern == net::Concern::server ? 1 : 0;
          pending.push_back(net::Connected{c->conn});
        } else if (const auto* s = std::get_if<net::Send>(&effect)) {
          to_servers += s->conn.concern == net::Concern::server ? 1 : 0;
        } else if (const auto* a = std::get_if<net::ArmTimer>(&effect)) {
          timers_[{a->key.concern, a->key.number}] = a->at;
        } else if (const auto* u = std::get_if<net::Consume>(&effect)) {
          if (u->conn == journal_) unread_.erase(0, u->count);
        }
      }
    }
  }
  Gatekeeper gatekeeper_;
  Time now_ = kStart;
  Time last_heartbeat_at_ = kStart;
  net::ConnId journal_{};
  std::string unread_{};
  std::uint64_t position_ = 0;
  std::map<std::pair<net::Concern, std::uint64_t>, Time> timers_{};
};

void discovery_at(std::size_t size) {
  std::vector<json> targets;
  for (std::size_t i = 0; i < size; ++i) targets.push_back(target(i, 0));
  const double heap = heap_bytes();
  auto gatekeeper = std::make_unique<IsolatedGatekeeper>();
  const std::string whole = gatekeeper->event(true, targets);
  double cpu = cpu_us();
  gatekeeper->receive(whole);
  figure("discovery_list_cpu", size, cpu_us() - cpu, "us");
  figure("discovery_list_bytes", size, static_cast<double>(whole.size()), "B");
  gatekeeper->run(2s);
  figure("servers_connects", size, static_cast<double>(gatekeeper->connects), "connections");
  figure("servers_state", size, heap_bytes() - heap - static_cast<double>(whole.capacity()), "B");
  gatekeeper->to_servers = 0;
  // A short list costs little, so it is measured for longer.
  const Duration quiet = std::clamp<Duration>(30'000s / size, 10s, 600s);
  cpu = cpu_us();
  gatekeeper->run(quiet);
  figure("servers_idle_cpu", size, (cpu_us() - cpu) / seconds(quiet), "us/s");
  figure("servers_probes", size, static_cast<double>(gatekeeper->to_servers) / seconds(quiet), "1/s");
  // Each change is the restart of one server.
  const std::size_t changes = size > 300 ? 200 : 2000;
  std::vector<std::string> events;
  for (std::size_t i = 0; i < changes; ++i)
    events.push_back(gatekeeper->event(false, {target(i * 7 % size, i + 1)}));
  cpu = cpu_us();
  for (const std::string& e : events) gatekeeper->receive(e);
  figure("discovery_change_cpu", size, (cpu_us() - cpu) / static_cast<double>(changes), "us");
  figure("discovery_change_bytes", size, static_cast<double>(events.back().size()), "B");
}

// ---- gaps

call_gapping::Announcement gap_announcement(std::size_t i, std::uint64_t version, Time now) {
  call_gapping::Announcement a;
  a.id = "gap-" + std::to_string(100'000 + i);
  a.version = version;
  a.author = "operator on duty";
  a.created_at = a.start = now;
  a.end = now + 1h;
  a.gap.emplace();
  a.gap->criteria.numbers = {std::to_string(4'711'000'000 + i)};
  a.gap->interval = 500ms;
  a.gap->treatment.text = "lines are kept free";
  return a;
}

void gaps_at(std::size_t size) {
  const Time now = kStart;
  const double heap = heap_bytes();
  call_gapping::GapRegister gaps({1024, 0}, 1, now);
  for (std::size_t i = 0; i < size; ++i) gaps.announce(now, gap_announcement(i, 1, now));
  figure("gap_state", size, (heap_bytes() - heap) / static_cast<double>(size), "B");
  constexpr std::size_t kChanges = 2000;
  const double cpu = cpu_us();
  for (std::size_t i = 0; i < kChanges; ++i)
    gaps.announce(now + 1s, gap_announcement(i % size, 2 + i / size, now + 1s));
  figure("gap_change_cpu", size, (cpu_us() - cpu) / kChanges, "us");
  const json line = {{"op", "announce"}, {"gap", control::to_json(gap_announcement(size - 1, 2, now))}};
  figure("gap_change_bytes", size, static_cast<double>(control::line_of(line).size()), "B");
}

// Gap publisher and the control listener of each of its gatekeepers, connected without sockets.
class PublisherFleet {
 public:
  explicit PublisherFleet(std::size_t size) {
    control::GapPublisherSettings s;
    s.listen = "127.0.0.1:7300";
    s.incarnation = 1;
    for (std::size_t i = 0; i < size; ++i) {
      s.gatekeepers.push_back("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7400");
      control::ControlSettings c;
      c.listen = s.gatekeepers.back();
      c.fleet = {static_cast<std::uint32_t>(size), static_cast<std::uint32_t>(i)};
      c.name = "gatekeeper-" + std::to_string(10'000 + i);
      c.seed = i + 1;
      counters_.push_back(std::make_unique<Counters>());
      controls_.push_back(std::make_unique<control::Control>(c, *counters_.back()));
      Outbox out;
      controls_.back()->start(now_, out);
    }
    publisher_ = std::make_unique<control::GapPublisher>(s);
    step_publisher({net::Started{}});
    deliver_all();
  }
  // Runs all ticks, one every 50 ms, each with `calls` checks of one called number at each gatekeeper.
  void run(Duration span, int calls = 0) {
    for (const Time end = now_ + span; now_ < end;) {
      now_ += 50ms;
      const double cpu = cpu_us();
      for (std::size_t i = 0; i < controls_.size(); ++i) {
        Outbox out;
        controls_[i]->on(now_, net::TimerFired{{net::Concern::control, 0}}, out);
        for (int c = 0; c < calls; ++c) controls_[i]->check(now_, "4711000000", "voice");
        queue_responses(i, out.net);
      }
      control_cpu += cpu_us() - cpu;
      deliver_all();
      step_publisher({net::TimerFired{{net::Concern::control, 0}}});
      deliver_all();
    }
  }
  void announce(const call_gapping::Announcement& a) {
    const net::ConnId conn{net::Concern::control, 1};
    if (!std::exchange(operator_connected_, true)) step_publisher({net::Accepted{conn}});
    const std::string line = control::line_of({{"op", "announce"}, {"gap", control::to_json(a)}});
    step_publisher({net::Received{conn, line}});
    deliver_all();
  }
  Time now() const { return now_; }
  bool all_have_gaps() const {
    return std::all_of(controls_.begin(), controls_.end(),
                       [&](const auto& d) { return d->gaps().digest() == publisher_->digest(); });
  }
  void reset() { announcer_cpu = control_cpu = 0, out_lines = out_bytes = in_lines = in_bytes = 0; }

  double announcer_cpu = 0.0;
  double control_cpu = 0.0;
  std::size_t connections = 0;
  std::size_t out_lines = 0;  // from the publisher to gatekeepers
  std::size_t out_bytes = 0;
  std::size_t in_lines = 0;
  std::size_t in_bytes = 0;
  std::size_t longest_line = 0;

 private:
  struct Bytes {
    std::size_t index{};
    std::string bytes;
  };
  // Takes events in batches, so that reading the clock costs little in comparison.
  void step_publisher(const std::vector<net::Event>& events) {
    const double cpu = cpu_us();
    net::Effects all;
    for (const net::Event& event : events) {
      net::Effects effects;
      publisher_->step(now_, event, effects);
      std::move(effects.begin(), effects.end(), std::back_inserter(all));
    }
    announcer_cpu += cpu_us() - cpu;
    for (net::Effect& effect : all) {
      if (const auto* c = std::get_if<net::Connect>(&effect)) {
        // Connections are numbered in list order, and none is ever lost.
        const std::size_t index = c->conn.number - 1;
        ++connections;
        Outbox out;
        controls_.at(index)->on(now_, net::Accepted{control_conn()}, out);
        queue_responses(index, out.net);
        connected_.push_back(net::Connected{c->conn});
      } else if (auto* s = std::get_if<net::Send>(&effect);
                 s && s->conn.concern == net::Concern::control_client) {
        ++out_lines;
        out_bytes += s->bytes.size();
        longest_line = std::max(longest_line, s->bytes.size());
        to_controls_.push_back({s->conn.number - 1, std::move(s->bytes)});
      }
    }
  }
  void queue_responses(std::size_t index, net::Effects& effects) {
    for (net::Effect& effect : effects) {
      if (auto* s = std::get_if<net::Send>(&effect)) {
        ++in_lines;
        in_bytes += s->bytes.size();
        from_controls_.push_back({index, std::move(s->bytes)});
      }
    }
  }
  void deliver_all() {
    while (!connected_.empty() || !to_controls_.empty() || !from_controls_.empty()) {
      step_publisher(std::exchange(connected_, {}));
      const std::vector<Bytes> responses = std::exchange(from_controls_, {});
      std::vector<net::Event> events;
      for (const Bytes& b : responses)
        events.push_back(
            net::Received{{net::Concern::control_client, static_cast<std::uint32_t>(b.index + 1)}, b.bytes});
      step_publisher(events);
      const double cpu = cpu_us();
      for (const Bytes& b : std::exchange(to_controls_, {})) {
        Outbox out;
        controls_[b.index]->on(now_, net::Received{control_conn(), b.bytes}, out);
        queue_responses(b.index, out.net);
      }
      control_cpu += cpu_us() - cpu;
    }
  }
  static net::ConnId control_conn() { return {net::Concern::control, 1}; }

  Time now_ = kStart;
  std::vector<std::unique_ptr<Counters>> counters_;
  std::vector<std::unique_ptr<control::Control>> controls_;
  std::unique_ptr<control::GapPublisher> publisher_;
  std::vector<net::Event> connected_;
  std::vector<Bytes> to_controls_;
  std::vector<Bytes> from_controls_;
  bool operator_connected_ = false;
};

void announcer_at(std::size_t size) {
  const auto n = static_cast<double>(size);
  PublisherFleet fleet(size);
  fleet.run(1s);
  figure("announcer_connections", size, static_cast<double>(fleet.connections), "connections");
  const Duration quiet = size > 300 ? 1s : 4s;
  fleet.reset();
  fleet.run(quiet);
  const double s = seconds(quiet);
  figure("announcer_quiet_cpu", size, fleet.announcer_cpu / s / n, "us/s");
  figure("announcer_quiet_messages", size, static_cast<double>(fleet.out_lines) / s / n, "1/s");
  figure("announcer_quiet_bytes", size, static_cast<double>(fleet.out_bytes + fleet.in_bytes) / s / n, "B/s");
  figure("control_quiet_cpu", size, fleet.control_cpu / s / n, "us/s");
  constexpr std::size_t kChanges = 10;
  fleet.reset();
  for (std::size_t i = 0; i < kChanges; ++i) fleet.announce(gap_announcement(i, 1, fleet.now()));
  if (!fleet.all_have_gaps()) std::printf("# not all of %zu hold what was announced\n", size);
  figure("announcer_change_cpu", size, fleet.announcer_cpu / kChanges / n, "us");
  figure("announcer_change_bytes", size, static_cast<double>(fleet.out_bytes + fleet.in_bytes) / kChanges / n,
         "B");
  // One gap that is checked at every gatekeeper: demands go to all of them and slots are allocated.
  fleet.run(500ms, 2);
  fleet.reset();
  const Duration dealt = size > 300 ? 200ms : 1s;
  fleet.run(dealt, 2);
  figure("announcer_dealt_cpu", size, fleet.announcer_cpu / seconds(dealt) / n, "us/s");
  figure("control_dealt_cpu", size, fleet.control_cpu / seconds(dealt) / n, "us/s");
  figure("announcer_dealt_bytes", size,
         static_cast<double>(fleet.out_bytes + fleet.in_bytes) / seconds(dealt) / n, "B/s");
  figure("announcer_line", size, static_cast<double>(fleet.longest_line), "B");
}

// ---- reading a configuration

void configuration_at(std::size_t classes) {
  const std::string text = configuration_with_classes(classes).dump(2);
  const PlatformConfig before = read_platform_config(text);
  constexpr int kRepeats = 200;
  const double cpu = cpu_us();
  for (int i = 0; i < kRepeats; ++i) check_keys(before, read_platform_config(text));
  figure("config_read_cpu", text.size(), (cpu_us() - cpu) / kRepeats, "us");
}

// ---- metrics and traces

otlp::ExporterSettings exporter_settings() {
  otlp::ExporterSettings s;
  s.collector = "127.0.0.1:4318";
  s.host = "127.0.0.1:4318";
  s.service_instance = "gatekeeper-10000";
  s.interval = 5s;
  s.seed = 1;
  return s;
}

// Size in bytes of the first export request.
double first_export_bytes(otlp::Exporter& exporter, Time now, const Counters& counters) {
  Outbox out;
  exporter.on(now, net::TimerFired{{net::Concern::collector, 0}}, counters, {}, out);
  for (const net::Effect& effect : net::Effects(out.net)) {
    if (const auto* c = std::get_if<net::Connect>(&effect)) exporter.on(now, net::Connected{c->conn}, out);
  }
  for (const net::Effect& effect : out.net) {
    if (const auto* s = std::get_if<net::Send>(&effect)) return static_cast<double>(s->bytes.size());
  }
  return 0.0;
}

void traces_at(std::size_t attempts) {
  constexpr std::size_t kBatch = 128;  // spans of one export request
  constexpr int kRepeats = 20;
  double bytes = 0.0;
  const double cpu = cpu_us();
  for (int t = 0; t < kRepeats; ++t) {
    Counters counters;
    otlp::Exporter exporter(exporter_settings(), counters);
    Outbox out;
    Time now = kStart;
    exporter.start(now, out);
    for (std::size_t i = 0; i < kBatch; ++i) {
      core::RequestAnswered e;
      auto request = std::make_shared<core::Request>();
      request->correlation_id = "n0-3f2a9c41-" + std::to_string(100'000 + i);
      request->class_name = "voice";
      request->team = "trail";
      e.request = request;
      e.received_at = now;
      e.served = true;
      for (std::size_t a = 0; a < attempts; ++a) {
        const bool last = a + 1 == attempts;
        e.attempts.push_back(
            {ServerId{0}, now, now + 1ms, last ? std::optional<Outcome>() : std::optional(Outcome::full)});
      }
      exporter.record_request(now + 2ms, e, [](ServerId) { return std::string("setup-100000"); });
    }
    bytes = first_export_bytes(exporter, now + 5s, counters);
  }
  figure("trace_cpu", attempts, (cpu_us() - cpu) / kRepeats / kBatch, "us");
  figure("trace_bytes", attempts, bytes / kBatch, "B");
}

void metrics_at(std::size_t names) {
  Counters counters;
  for (std::size_t i = 0; i < names; ++i)
    counters.add("servers.messages_of_kind_" + std::to_string(1000 + i), 1'000'000 + i);
  constexpr int kRepeats = 50;
  double bytes = 0.0;
  const double cpu = cpu_us();
  for (int t = 0; t < kRepeats; ++t) {
    Counters own;
    otlp::Exporter exporter(exporter_settings(), own);
    Outbox out;
    exporter.start(kStart, out);
    bytes = first_export_bytes(exporter, kStart + 5s, counters);
  }
  figure("metrics_cpu", names, (cpu_us() - cpu) / kRepeats, "us");
  figure("metrics_bytes", names, bytes, "B");
}

void telemetry_at(std::size_t classes) {
  core::RequestMetrics metrics;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < classes; ++i) names.push_back("class-" + std::to_string(i));
  metrics.name(names);
  const management::Figures f{metrics, 1'000'000, 400, 65, 2, 12, 0, {}};
  constexpr int kRepeats = 1000;
  std::size_t bytes = 0;
  const double cpu = cpu_us();
  for (int t = 0; t < kRepeats; ++t) bytes = management::statsd_text(f).size();
  figure("telemetry_cpu", classes, (cpu_us() - cpu) / kRepeats, "us");
  figure("telemetry_bytes", classes, static_cast<double>(bytes), "B");
}

}  // namespace

int main(int argc, char** argv) {
  std::set<std::string> parts(argv + 1, argv + argc);
  const std::set<std::string> known{"membership", "membership_1000", "discovery", "gaps",
                                    "announcer",  "configuration",   "figures"};
  for (const std::string& part : parts) {
    if (known.contains(part)) continue;
    std::fprintf(stderr, "control_bench: unknown part '%s'\n", part.c_str());
    return 2;
  }
  if (parts.empty()) {
    parts = known;
    parts.erase("membership_1000");
  }
  const auto each = [&](const char* part, void (*measure)(std::size_t), std::vector<std::size_t> sizes) {
    if (!parts.contains(part)) return;
    for (const std::size_t size : sizes) measure(size);
  };
  each("membership", membership_at, {30, 100, 300});
  each("membership_1000", membership_at, {1000});
  each("discovery", discovery_at, {10, 30, 100, 300, 1000, 3000});
  each("gaps", gaps_at, {10, 100, 1000, 10'000});
  each("announcer", announcer_at, {30, 100, 300, 1000});
  each("configuration", configuration_at, {2, 8, 24, 64});
  each("figures", traces_at, {1, 2, 4});
  each("figures", metrics_at, {40, 80, 160});
  each("figures", telemetry_at, {2, 8, 32});
  return 0;
}
