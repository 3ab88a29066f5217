// Tests of ConfigDistributor and ConfigClient as reducers under one simulated clock: an in-memory network,
// files that survive their program, gatekeepers with the real Subscriber, and programs killed after any
// effect.
#include "control/config_distributor.h"

#include <deque>
#include <functional>
#include <memory>

#include "control/config_client.h"
#include "distribution/subscriber.h"
#include "tests/check.h"

using namespace graniterun;
using namespace graniterun::control;
using namespace graniterun::distribution;
using namespace std::chrono_literals;
using net::Concern;
using net::ConnId;
using nlohmann::json;

namespace {

Key key(unsigned char first = 3) {
  Key k{};
  k[0] = first;
  return k;
}

// ---- the network

using Step = std::function<void(Time, const net::Event&, net::Effects&)>;
using Files = std::map<std::string, std::string>;

struct Program {
  Step step{};
  std::string address{};
  Files* files = nullptr;
  bool running = true;
  std::optional<int> status{};
  std::string printed{};
  std::vector<std::string> logs{};
  std::multimap<Time, net::TimerKey> timers{};
  std::map<ConnId, std::size_t> links{};
  std::uint32_t accepted = 0;
  std::size_t missing_reads = 0;
  std::size_t writes = 0;
  std::size_t effects = 0;
  std::optional<std::size_t> killed_after{};  // number of effects after which the program is killed
  bool reads = true;                          // false: received bytes stay unread
  bool logged(const std::string& part) const {
    return std::ranges::any_of(logs,
                               [&](const std::string& line) { return line.find(part) != std::string::npos; });
  }
};

class Network {
 public:
  Time now = Time(1'700'000'000'000ms);

  Program& add(Step step, Files* files = nullptr) {
    programs_.push_back(std::make_unique<Program>());
    programs_.back()->step = std::move(step);
    programs_.back()->files = files;
    return *programs_.back();
  }
  void start(Program& program) { deliver(program, net::Started{}); }
  void kill(Program& program) {
    program.running = false;
    program.timers.clear();
    if (const auto it = listeners_.find(program.address); it != listeners_.end() && it->second == &program)
      listeners_.erase(it);
    for (const auto& [conn, link] : std::exchange(program.links, {})) end(link, true);
    drain();
  }
  void deliver(Program& program, net::Event event) {
    queue_.push_back({&program, std::move(event), {}});
    drain();
  }
  void run(Duration span) {
    const Time until = now + span;
    while (true) {
      Program* next = nullptr;
      for (const auto& program : programs_) {
        if (program->running && !program->timers.empty() &&
            (next == nullptr || program->timers.begin()->first < next->timers.begin()->first))
          next = program.get();
      }
      if (next == nullptr || next->timers.begin()->first > until) break;
      now = std::max(now, next->timers.begin()->first);
      const net::TimerKey timer = next->timers.begin()->second;
      next->timers.erase(next->timers.begin());
      deliver(*next, net::TimerFired{timer});
    }
    now = until;
  }
  template <class Done>
  bool run_until(Done done, Duration timeout) {
    for (const Time until = now + timeout; now < until; run(10ms)) {
      if (done()) return true;
    }
    return done();
  }
  // Partitions the address from all others: open connections are reset, new ones fail.
  void cut(const std::string& address) {
    cut_.insert(address);
    for (std::size_t i = 0; i < links_.size(); ++i) {
      Link& l = links_[i];
      if (!l.open || (l.ends[0]->address != address && l.ends[1]->address != address)) continue;
      for (int side : {0, 1}) {
        l.ends[side]->links.erase(l.ids[side]);
        queue_.push_back({l.ends[side], net::Closed{l.ids[side], true}, {}});
      }
      l.open = false;
    }
    drain();
  }
  void heal() { cut_.clear(); }
  // Bytes sent to the program that it has not consumed.
  std::size_t unread_of(const Program& program) const {
    std::size_t all = 0;
    for (const auto& [conn, link] : program.links)
      all += links_[link].unread[side_of(link, program, conn)].size();
    return all;
  }

 private:
  struct Link {
    Program* ends[2];
    ConnId ids[2];
    std::string unread[2];
    bool open = true;
  };
  struct PendingEvent {
    Program* to;
    net::Event event;
    std::optional<std::size_t> link;  // of a Received event, whose bytes are taken from it at delivery
  };

  int side_of(std::size_t link, const Program& program, ConnId conn) const {
    return links_[link].ends[0] == &program && links_[link].ids[0] == conn ? 0 : 1;
  }
  void end(std::size_t link, bool reset) {
    Link& l = links_[link];
    if (!std::exchange(l.open, false)) return;
    for (int side : {0, 1}) {
      if (!l.ends[side]->running || !l.ends[side]->links.contains(l.ids[side])) continue;
      queue_.push_back({l.ends[side], net::Closed{l.ids[side], reset}, {}});
    }
  }
  void drain() {
    if (std::exchange(draining_, true)) return;
    while (!queue_.empty()) {
      PendingEvent pending = std::move(queue_.front());
      queue_.pop_front();
      if (pending.to->running) handle(pending);
    }
    draining_ = false;
  }
  void handle(PendingEvent& pending) {
    Program& program = *pending.to;
    std::string bytes;
    if (pending.link) {
      Link& l = links_[*pending.link];
      const ConnId conn = std::get<net::Received>(pending.event).conn;
      if (!program.links.contains(conn) || !program.reads) return;
      bytes = l.unread[side_of(*pending.link, program, conn)];
      if (bytes.empty()) return;
      pending.event = net::Received{conn, bytes};
    }
    // Bytes that the other side sent before it closed have been delivered by now.
    if (const auto* closed = std::get_if<net::Closed>(&pending.event)) program.links.erase(closed->conn);
    net::Effects effects;
    program.step(now, pending.event, effects);
    for (const net::Effect& effect : effects) {
      if (!program.running || program.status) break;
      if (program.killed_after && program.effects >= *program.killed_after) return kill(program);
      ++program.effects;
      std::visit([&](const auto& e) { apply_effect(program, e); }, effect);
    }
    if (program.status) kill(program);
  }

  void apply_effect(Program& program, const net::Listen& e) {
    program.address = e.address;
    listeners_[e.address] = &program;
  }
  void apply_effect(Program& program, const net::Connect& e) {
    const auto it = listeners_.find(e.address);
    if (it == listeners_.end() || cut_.contains(e.address) || cut_.contains(program.address)) {
      queue_.push_back({&program, net::ConnectFailed{e.conn, true}, {}});
      return;
    }
    Program& to = *it->second;
    const ConnId taken{Concern::control, ++to.accepted};
    links_.push_back({{&program, &to}, {e.conn, taken}, {}});
    program.links[e.conn] = to.links[taken] = links_.size() - 1;
    queue_.push_back({&to, net::Accepted{taken}, {}});
    queue_.push_back({&program, net::Connected{e.conn}, {}});
  }
  void apply_effect(Program& program, const net::Send& e) {
    const auto it = program.links.find(e.conn);
    if (it == program.links.end()) return;
    Link& l = links_[it->second];
    if (!l.open) return;
    const int other = 1 - side_of(it->second, program, e.conn);
    l.unread[other] += e.bytes;
    queue_.push_back({l.ends[other], net::Received{l.ids[other], {}}, it->second});
  }
  void apply_effect(Program& program, const net::Consume& e) {
    const auto it = program.links.find(e.conn);
    if (it != program.links.end())
      links_[it->second].unread[side_of(it->second, program, e.conn)].erase(0, e.count);
  }
  void apply_effect(Program& program, const net::Close& e) {
    const auto it = program.links.find(e.conn);
    if (it == program.links.end()) return;
    const std::size_t link = it->second;
    program.links.erase(it);  // the closing side gets no Closed event
    end(link, false);
  }
  void apply_effect(Program& program, const net::ArmTimer& e) { program.timers.emplace(e.at, e.key); }
  void apply_effect(Program& program, const net::WriteFile& e) {
    CHECK(e.required);  // a vote must not be sent unless it is stored
    ++program.writes;
    if (program.files != nullptr) (*program.files)[e.path] = e.text;
  }
  void apply_effect(Program& program, const net::ReadFile& e) {
    net::FileRead read{e.path, std::nullopt};
    if (program.files != nullptr && program.files->contains(e.path)) {
      read.text = program.files->at(e.path);
    } else {
      ++program.missing_reads;
    }
    queue_.push_back({&program, std::move(read), {}});
  }
  void apply_effect(Program& program, const net::Log& e) { program.logs.push_back(e.text); }
  void apply_effect(Program& program, const net::Print& e) { program.printed += e.text; }
  void apply_effect(Program& program, const net::Exit& e) { program.status = e.status; }
  void apply_effect(Program&, const auto&) { CHECK(false); }

  std::vector<std::unique_ptr<Program>> programs_;
  std::map<std::string, Program*> listeners_;
  std::deque<Link> links_;
  std::deque<PendingEvent> queue_;
  std::set<std::string> cut_;
  bool draining_ = false;
};

// ---- gatekeepers, raw clients and the cluster

std::string address_of(std::size_t i) { return "10.0.0." + std::to_string(i + 1) + ":7800"; }

// A gatekeeper with the real Subscriber. Applies every configuration set unless one has the word `bad`.
class Gatekeeper {
 public:
  Gatekeeper(Network& net, std::string name, std::vector<std::string> distributors,
             std::vector<std::string> services, std::uint64_t seed)
      : net_(net), subscriber_(settings(name, distributors, services, seed)), distributors_(distributors) {
    program = &net.add([this](Time now, const net::Event& e, net::Effects& out) { step(now, e, out); });
    program->address = name;
    net.start(*program);
  }
  Version active_version(const std::string& service) const {
    for (const auto& [name, held] : subscriber_.service_states()) {
      if (name == service) return held.active.version;
    }
    return 0;
  }
  std::map<std::string, std::string> content{};
  Program* program = nullptr;
  bool is_ready() const { return subscriber_.ready(); }

 private:
  static SubscriberSettings settings(std::string name, std::vector<std::string> distributors,
                                     std::vector<std::string> services, std::uint64_t seed) {
    SubscriberSettings s;
    s.name = name;
    s.distributors = distributors;
    s.services = services;
    s.key = key();
    s.seed = seed;
    return s;
  }
  void step(Time now, const net::Event& event, net::Effects& out) {
    SubscriberEffects effects;
    if (std::holds_alternative<net::Started>(event)) {
      subscriber_.start(now, effects);
      out.push_back(net::ArmTimer{{Concern::control, 0}, now + 50ms});
    } else if (std::holds_alternative<net::TimerFired>(event)) {
      subscriber_.step(now, Tick{}, effects);
      out.push_back(net::ArmTimer{{Concern::control, 0}, now + 50ms});
    } else if (const auto* up = std::get_if<net::Connected>(&event)) {
      if (const auto source = source_of(up->conn)) subscriber_.step(now, SourceConnected{*source}, effects);
    } else if (const auto* failed = std::get_if<net::ConnectFailed>(&event)) {
      source_closed(now, failed->conn, effects);
    } else if (const auto* closed = std::get_if<net::Closed>(&event)) {
      source_closed(now, closed->conn, effects);
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      const auto used = read_lines(
          received->bytes,
          [&](const json& line) {
            const auto source = source_of(received->conn);
            if (!source) return;
            const SubscriberEvent parsed = parse_subscriber_line(*source, line);
            if (std::holds_alternative<HeartbeatReceived>(parsed))
              out.push_back(net::Send{received->conn, line_of(heartbeat_answer_line())});
            if (std::holds_alternative<VersionsNotified>(parsed))
              out.push_back(net::Send{received->conn, line_of(acknowledge_line())});
            subscriber_.step(now, parsed, effects);
          },
          [](const json&, const std::string& error) {
            std::cerr << error << '\n';
            CHECK(false);
          });
      CHECK(used.has_value());
      out.push_back(net::Consume{received->conn, *used});
    }
    apply_effect(now, std::move(effects), out);
  }
  void apply_effect(Time now, SubscriberEffects effects, net::Effects& out) {
    for (std::size_t i = 0; i < effects.size(); ++i) {
      const SubscriberEffect effect = effects[i];
      if (const auto* apply = std::get_if<ApplyConfigs>(&effect)) {
        bool bad = false;
        for (const ServiceConfig& d : apply->configs) bad = bad || d.content.find("bad") != std::string::npos;
        if (!bad) {
          content.clear();
          for (const ServiceConfig& d : apply->configs) content[d.service] = d.content;
        }
        SubscriberEffects more;
        subscriber_.step(now, ApplyFinished{!bad, bad ? "'settings' holds what is bad" : ""}, more);
        effects.insert(effects.end(), more.begin(), more.end());
        continue;
      }
      std::visit([&](const auto& e) { apply_effect(e, out); }, effect);
    }
  }
  void send(std::uint32_t source, const json& line, net::Effects& out) {
    if (conns_.contains(source))
      out.push_back(net::Send{{Concern::control_client, conns_[source]}, line_of(line)});
  }
  void apply_effect(const OpenSource& e, net::Effects& out) {
    conns_[e.source] = ++last_;
    out.push_back(net::Connect{{Concern::control_client, last_}, distributors_[e.source], 1s});
  }
  void apply_effect(const CloseSource& e, net::Effects& out) {
    if (conns_.contains(e.source)) out.push_back(net::Close{{Concern::control_client, conns_[e.source]}});
    conns_.erase(e.source);
  }
  void apply_effect(const Subscribe& e, net::Effects& out) {
    send(e.source, subscribe_line(program->address, e.held, e.primary), out);
  }
  void apply_effect(const SendPrimary& e, net::Effects& out) { send(e.source, primary_line(e.primary), out); }
  void apply_effect(const FetchConfig& e, net::Effects& out) {
    send(e.source, fetch_line(e.service, e.version), out);
  }
  void apply_effect(const ReportStatus& e, net::Effects& out) { send(e.source, report_line(e), out); }
  void apply_effect(const ReturnConfig& e, net::Effects& out) { send(e.source, return_line(e.config), out); }
  void apply_effect(const auto&, net::Effects&) {}

  std::optional<std::uint32_t> source_of(ConnId conn) const {
    for (const auto& [source, number] : conns_) {
      if (number == conn.number) return source;
    }
    return std::nullopt;
  }
  void source_closed(Time now, ConnId conn, SubscriberEffects& effects) {
    const auto source = source_of(conn);
    if (!source) return;
    conns_.erase(*source);
    subscriber_.step(now, SourceDisconnected{*source}, effects);
  }

  Network& net_;
  Subscriber subscriber_;
  std::vector<std::string> distributors_;
  std::map<std::uint32_t, std::uint32_t> conns_;
  std::uint32_t last_ = 0;
};

// Sends and receives raw lines on one connection.
class RawClient {
 public:
  RawClient(Network& net, const std::string& address) : net_(net) {
    program = &net.add([this](Time, const net::Event& event, net::Effects& out) {
      if (const auto* r = std::get_if<net::Received>(&event)) {
        const auto used = read_lines(
            r->bytes, [&](const json& line) { lines.push_back(line); },
            [](const json&, const std::string&) { CHECK(false); });
        out.push_back(net::Consume{r->conn, used.value()});
      }
      closed = closed || std::holds_alternative<net::Closed>(event);
      up = up || std::holds_alternative<net::Connected>(event);
      if (std::holds_alternative<net::Started>(event)) out.push_back(net::Connect{kConn, address_, 1s});
      for (std::string& bytes : std::exchange(to_send_, {}))
        out.push_back(net::Send{kConn, std::move(bytes)});
    });
    address_ = address;
    net.start(*program);
    CHECK(up);
  }
  RawClient(const RawClient&) = delete;
  ~RawClient() { net_.kill(*program); }
  void send(const std::string& bytes) {
    to_send_.push_back(bytes);
    net_.deliver(*program, net::CountersRequested{});
  }
  void send(const json& line) { send(line_of(line)); }
  json request(const json& line) {
    lines.clear();
    send(line);
    CHECK(!lines.empty());
    return lines.back();
  }
  std::vector<json> take_lines() { return std::exchange(lines, {}); }
  std::vector<json> lines{};
  bool up = false;
  bool closed = false;
  Program* program = nullptr;

 private:
  static constexpr ConnId kConn{Concern::control_client, 1};
  Network& net_;
  std::string address_;
  std::vector<std::string> to_send_;
};

json publish_line(const std::string& service, const std::string& content) {
  return {{"op", "config"}, {"what", "publish"}, {"service", service}, {"content", content}};
}
std::string patch(const std::string& value) { return R"({"settings":{"pause":")" + value + "\"}}"; }

struct Cluster {
  explicit Cluster(std::size_t count = 3, std::size_t max_connections_each = 64)
      : max_connections(max_connections_each), files(count), distributors(count), programs(count, nullptr) {
    for (std::size_t i = 0; i < count; ++i) start(i);
  }
  // A `first_byte` other than the default gives the distributor another key.
  void start(std::size_t i, unsigned char first_byte = 3) {
    ConfigDistributorSettings s;
    s.listen = address_of(i);
    for (std::size_t other = 0; other < distributors.size(); ++other) {
      if (other != i) s.peers.push_back(address_of(other));
    }
    s.directory = "/dir";
    s.name = "d" + std::to_string(i + 1);
    s.key = key(first_byte);
    s.max_connections = max_connections;
    s.seed = ++starts;
    distributors[i] = std::make_shared<ConfigDistributor>(std::move(s));
    programs[i] =
        &net.add([distributor = distributors[i]](Time now, const net::Event& e,
                                                 net::Effects& out) { distributor->step(now, e, out); },
                 &files[i]);
    net.start(*programs[i]);
  }
  void kill(std::size_t i) { net.kill(*programs[i]); }
  bool voting(std::size_t i) const {
    return distributors[i]->distributor().voter_state() == VoterState::voting;
  }
  void all_vote() {
    const bool done = net.run_until(
        [&] {
          bool all = true;
          for (std::size_t i = 0; i < distributors.size(); ++i) all = all && voting(i);
          return all;
        },
        30s);
    CHECK(done);
  }
  VersionId committed(std::size_t i, const std::string& service) const {
    const auto& records = distributors[i]->distributor().records();
    const auto it = records.find(service);
    return it != records.end() && it->second.committed ? it->second.committed->id : VersionId{};
  }
  // The record of a service in the distributor's files.
  ServiceRecord saved(std::size_t i, const std::string& service) const {
    for (const auto& [path, text] : files[i]) {
      if (path.find("bucket-") == std::string::npos) continue;
      const auto records = parse_records(text);
      if (const auto it = records.find(service); it != records.end()) return it->second;
    }
    return {};
  }
  std::vector<std::string> all() const {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < distributors.size(); ++i) addresses.push_back(address_of(i));
    return addresses;
  }
  void add_gatekeepers(std::size_t count, std::vector<std::string> services) {
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t number = gatekeepers.size() + 1;
      gatekeepers.push_back(
          std::make_unique<Gatekeeper>(net, "gk" + std::to_string(number), all(), services, number));
    }
  }
  struct Result {
    int status;
    std::string text;
  };
  Result run_command(ConfigClientSettings s) {
    const auto command = std::make_shared<ConfigClient>(std::move(s));
    Program& program =
        net.add([command](Time now, const net::Event& e, net::Effects& out) { command->step(now, e, out); });
    net.start(program);
    CHECK(net.run_until([&] { return program.status.has_value(); }, 60s));
    return {*program.status, program.printed};
  }
  ConfigClientSettings publish_settings(const std::string& service, const std::string& content) {
    ConfigClientSettings s;
    s.command = ConfigClientSettings::Command::publish;
    s.addresses = all();
    s.service = service;
    s.content = content;
    return s;
  }
  ConfigClientSettings status_settings(const std::string& service) {
    ConfigClientSettings s;
    s.command = ConfigClientSettings::Command::status;
    s.addresses = all();
    s.service = service;
    return s;
  }

  Network net{};
  std::size_t max_connections;
  std::vector<Files> files;
  std::vector<std::shared_ptr<ConfigDistributor>> distributors;
  std::vector<Program*> programs;
  std::vector<std::unique_ptr<Gatekeeper>> gatekeepers{};
  std::uint64_t starts = 0;
};

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
void check_has(const std::string& text, const std::string& part) {
  if (has(text, part)) return;
  std::cerr << "there is no '" << part << "' in: " << text << '\n';
  CHECK(false);
}

// ---- tests

void a_published_config_becomes_active_everywhere() {
  Cluster cluster;
  cluster.all_vote();
  cluster.add_gatekeepers(20, {"trail", "map"});
  cluster.net.run(3s);
  const Time began = cluster.net.now;
  const Cluster::Result first = cluster.run_command(cluster.publish_settings("trail", patch("1")));
  CHECK_EQ(first.status, ConfigClient::kSuccess);
  check_has(first.text, "in force at 20 of 20, refused at 0, not heard of 0");
  CHECK(cluster.net.now - began < 6s);
  for (const auto& g : cluster.gatekeepers) CHECK_EQ(g->content.at("trail"), patch("1"));
  const Version version = cluster.committed(0, "trail").version;
  for (std::size_t i = 0; i < 3; ++i) CHECK(cluster.committed(i, "trail") == cluster.committed(0, "trail"));

  // Publishing old content again gets a new version, which restores that content everywhere.
  CHECK_EQ(cluster.run_command(cluster.publish_settings("trail", patch("2"))).status, ConfigClient::kSuccess);
  CHECK_EQ(cluster.run_command(cluster.publish_settings("trail", patch("1"))).status, ConfigClient::kSuccess);
  CHECK(cluster.committed(0, "trail").version > version + 1);
  for (const auto& g : cluster.gatekeepers) CHECK_EQ(g->content.at("trail"), patch("1"));

  const Cluster::Result one = cluster.run_command(cluster.status_settings("trail"));
  CHECK_EQ(one.status, ConfigClient::kSuccess);
  check_has(one.text, "in force at 20 of 20, refused at 0, not heard of 0");
  CHECK_EQ(cluster.run_command(cluster.publish_settings("map", patch("m"))).status, ConfigClient::kSuccess);
  const Cluster::Result all = cluster.run_command(cluster.status_settings(""));
  CHECK_EQ(all.status, ConfigClient::kSuccess);
  check_has(all.text, "map: version");
  check_has(all.text, "trail: version");
  // A service without a configuration is not active.
  CHECK_EQ(cluster.run_command(cluster.status_settings("nothing")).status, ConfigClient::kIncomplete);
  ConfigClientSettings as_json = cluster.status_settings("trail");
  as_json.json = true;
  const json object = json::parse(cluster.run_command(as_json).text);
  CHECK(object["all"] == true && object["services"][0]["in_force"] == 20);
  CHECK_EQ(cluster.distributors[0]->counters().value("distributor.malformed"), 0U);
}

void a_config_that_gatekeepers_reject_is_reported() {
  Cluster cluster;
  cluster.all_vote();
  cluster.add_gatekeepers(5, {"trail"});
  cluster.net.run(3s);
  CHECK_EQ(cluster.run_command(cluster.publish_settings("trail", patch("good"))).status,
           ConfigClient::kSuccess);
  ConfigClientSettings s = cluster.publish_settings("trail", patch("bad"));
  s.timeout = 3s;
  const Cluster::Result bad = cluster.run_command(s);
  CHECK_EQ(bad.status, ConfigClient::kIncomplete);
  check_has(bad.text, "in force at 0 of 5, refused at 5, not heard of 0");
  check_has(bad.text, "gk1: 'settings' holds what is bad");
  for (const auto& g : cluster.gatekeepers) CHECK_EQ(g->content.at("trail"), patch("good"));
  const Cluster::Result status = cluster.run_command(cluster.status_settings("trail"));
  CHECK_EQ(status.status, ConfigClient::kIncomplete);
  check_has(status.text, "refused at 5");
  CHECK_EQ(cluster.run_command(cluster.publish_settings("trail", patch("good"))).status,
           ConfigClient::kSuccess);
}

void distributors_resume_from_their_files() {
  Cluster cluster;
  cluster.all_vote();
  // Without an index only the index is looked for: one read fails, not one per bucket.
  for (const Program* program : cluster.programs) CHECK_EQ(program->missing_reads, 1U);
  for (int i = 0; i < 30; ++i) {
    ConfigClientSettings s = cluster.publish_settings("s" + std::to_string(i), patch(std::to_string(i)));
    CHECK_EQ(cluster.run_command(s).status, ConfigClient::kSuccess);
  }
  std::map<std::string, VersionId> before;
  for (int i = 0; i < 30; ++i)
    before["s" + std::to_string(i)] = cluster.committed(0, "s" + std::to_string(i));
  for (std::size_t i = 0; i < 3; ++i) cluster.kill(i);
  for (std::size_t i = 0; i < 3; ++i) cluster.start(i);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(cluster.voting(i));  // immediately, without a recovery wait
    CHECK_EQ(cluster.programs[i]->missing_reads, 0U);
    for (const auto& [service, stamp] : before) CHECK(cluster.committed(i, service) == stamp);
  }
  cluster.net.run(1s);
  CHECK_EQ(cluster.run_command(cluster.publish_settings("s3", patch("again"))).status,
           ConfigClient::kSuccess);
  CHECK(cluster.committed(1, "s3").version > before["s3"].version);
}

// A distributor that is killed before its recovery is complete has files but must not vote after its restart:
// it may have forgotten what it accepted before.
void a_restart_during_recovery_does_not_grant_a_vote() {
  Cluster cluster;
  cluster.all_vote();
  CHECK_EQ(cluster.run_command(cluster.publish_settings("trail", patch("1"))).status, ConfigClient::kSuccess);
  cluster.kill(2);
  cluster.files[2].clear();
  cluster.start(2);
  CHECK(!cluster.voting(2));
  CHECK(cluster.net.run_until([&] { return cluster.committed(2, "trail") == cluster.committed(0, "trail"); },
                              20s));
  // Its connections stay open, although it does not subscribe yet.
  CHECK_EQ(cluster.distributors[2]->counters().value("distributor.peers_lost"), 0U);
  CHECK(!cluster.voting(2) && !cluster.files[2].empty());
  // It rejects the publication, and the command goes on to the next distributor.
  ConfigClientSettings s = cluster.publish_settings("trail", patch("2"));
  s.addresses = {address_of(2)};
  const Cluster::Result alone = cluster.run_command(s);
  CHECK_EQ(alone.status, ConfigClient::kIncomplete);
  check_has(alone.text, "not published: not voting yet");
  s.addresses = {address_of(2), address_of(1), address_of(0)};
  const Cluster::Result next = cluster.run_command(s);
  CHECK_EQ(next.status, ConfigClient::kSuccess);
  check_has(next.text, "committed by d2");
  check_has(next.text, "d3 " + address_of(2) + " has no vote: recovering");
  CHECK(cluster.net.run_until([&] { return cluster.committed(2, "trail") == cluster.committed(0, "trail"); },
                              1s));
  CHECK(!cluster.voting(2));
  cluster.kill(2);
  cluster.start(2);
  CHECK(!cluster.voting(2));
  // It keeps what it recovered.
  CHECK(cluster.committed(2, "trail") == cluster.committed(0, "trail"));
  cluster.all_vote();
  cluster.kill(2);
  cluster.start(2);
  CHECK(cluster.voting(2));
}

void an_invalid_file_is_logged_and_ends_the_program() {
  Cluster cluster;
  cluster.all_vote();
  CHECK_EQ(cluster.run_command(cluster.publish_settings("trail", patch("1"))).status, ConfigClient::kSuccess);
  cluster.kill(0);
  const Files good = cluster.files[0];
  std::string bucket;
  for (const auto& [path, text] : good) {
    if (has(path, "bucket-")) bucket = path;
  }
  CHECK(!bucket.empty() && good.contains("/dir/known"));
  const auto ends = [&](const Files& files, const std::string& path, unsigned char first_byte = 3) {
    cluster.files[0] = files;
    cluster.start(0, first_byte);
    CHECK(cluster.programs[0]->status == 1);
    CHECK(cluster.programs[0]->logged(path + " is no use"));
    CHECK_EQ(std::ranges::count_if(cluster.programs[0]->logs,
                                   [](const std::string& l) { return has(l, "no use"); }),
             1);
    CHECK_EQ(cluster.programs[0]->writes, 0U);
    CHECK(cluster.files[0] == files);
  };
  const auto with = [&](const std::string& path, const std::string& text) {
    Files files = good;
    files[path] = text;
    return files;
  };
  const std::string text = good.at(bucket);
  ends(with(bucket, text.substr(0, text.size() / 2)), bucket);
  ends(with(bucket, text.substr(0, text.size() - 1)), bucket);
  ends(with(bucket, "nonsense\n"), bucket);
  std::string changed = text;
  changed.replace(changed.find("pause"), 5, "Pause");
  ends(with(bucket, changed), bucket);
  ends(good, bucket, 9);  // another key
  Files missing = good;
  missing.erase(bucket);
  ends(missing, bucket);
  for (const char* index :
       {"", "{}\n", "[1]", R"({"voted":true,"buckets":[64]})", R"({"voted":1,"buckets":[]})",
        R"({"voted":true,"buckets":[-1]})", R"({"voted":true,"buckets":["1"]})"})
    ends(with("/dir/known", index), "/dir/known");
  // A bucket's text in the file of another bucket.
  Files moved = good;
  moved["/dir/bucket-00"] = text;
  const json index = json::parse(good.at("/dir/known"));
  if (bucket != "/dir/bucket-00") {
    moved.erase(bucket);
    moved["/dir/known"] = R"({"voted":true,"buckets":[0]})";
    ends(moved, "/dir/bucket-00");
  }
  cluster.files[0] = good;
  cluster.start(0);
  CHECK(!cluster.programs[0]->status && cluster.voting(0));
}

// The publishing distributor is killed after each of its effects in turn, file writes included. A
// publication answered as committed survives, no version has two contents, and the distributor restarts from
// its files.
void a_distributor_killed_at_any_effect_keeps_what_it_acknowledged() {
  std::size_t answered = 0;
  std::size_t unanswered = 0;
  std::size_t killed = 0;
  for (std::size_t at = 0; at < 60; ++at) {
    Cluster cluster;
    cluster.all_vote();
    CHECK_EQ(cluster.run_command(cluster.publish_settings("trail", patch("1"))).status,
             ConfigClient::kSuccess);
    const Version first = cluster.committed(1, "trail").version;
    cluster.programs[0]->killed_after = cluster.programs[0]->effects + at;
    ConfigClientSettings s = cluster.publish_settings("trail", patch("2"));
    s.addresses = {address_of(0)};
    s.wait_until_active = false;
    const Cluster::Result result = cluster.run_command(s);
    if (result.status == ConfigClient::kSuccess) {
      ++answered;
    } else {
      CHECK_EQ(result.status, ConfigClient::kIncomplete);
      check_has(result.text, "not known whether it is in force: look at the status");
      ++unanswered;
    }
    if (!cluster.programs[0]->running && result.status == ConfigClient::kSuccess)
      CHECK(cluster.saved(0, "trail").committed->content == patch("2"));
    cluster.net.run(5s);
    if (!cluster.programs[0]->running) {
      ++killed;
      cluster.start(0);
      CHECK(!cluster.programs[0]->status);  // its files are valid
    }
    CHECK(cluster.voting(0));
    cluster.net.run(12s);
    const VersionId now = cluster.committed(0, "trail");
    CHECK(now.version >= first);
    CHECK(cluster.committed(1, "trail") == now && cluster.committed(2, "trail") == now);
    if (result.status == ConfigClient::kSuccess) {
      CHECK(now.version > first);
      CHECK_EQ(cluster.distributors[1]->distributor().records().at("trail").committed->content, patch("2"));
    }
    const Cluster::Result next = cluster.run_command(cluster.publish_settings("trail", patch("3")));
    CHECK_EQ(next.status, ConfigClient::kSuccess);
    CHECK(cluster.committed(2, "trail").version > now.version);
    for (const auto& one : cluster.distributors) CHECK_EQ(one->counters().value("distributor.conflict"), 0U);
  }
  CHECK(answered > 0 && unanswered > 0 && killed > 20);
}

// A voter is killed after each of its effects in turn: any vote that the publisher counted is in its files.
void a_counted_vote_survives_its_voter() {
  std::size_t counted = 0;
  std::size_t killed = 0;
  for (std::size_t at = 0; at < 40; ++at) {
    Cluster cluster;
    cluster.all_vote();
    CHECK_EQ(cluster.run_command(cluster.publish_settings("trail", patch("1"))).status,
             ConfigClient::kSuccess);
    cluster.net.cut(address_of(2));
    cluster.programs[1]->killed_after = cluster.programs[1]->effects + at;
    ConfigClientSettings s = cluster.publish_settings("trail", patch("2"));
    s.addresses = {address_of(0)};
    s.wait_until_active = false;
    const bool committed = cluster.run_command(s).status == ConfigClient::kSuccess;
    if (cluster.programs[1]->running) continue;
    ++killed;
    if (!committed) continue;
    ++counted;
    const ServiceRecord kept = cluster.saved(1, "trail");
    CHECK((kept.accepted ? *kept.accepted : *kept.committed).content == patch("2"));
  }
  CHECK(counted > 0 && killed > counted);
}

void concurrent_publishers_get_distinct_versions() {
  Cluster cluster;
  cluster.all_vote();
  std::size_t both = 0;
  for (int i = 0; i < 20; ++i) {
    RawClient one(cluster.net, address_of(0));
    RawClient two(cluster.net, address_of(1));
    one.send(publish_line("trail", patch("one" + std::to_string(i))));
    two.send(publish_line("trail", patch("two" + std::to_string(i))));
    CHECK(cluster.net.run_until([&] { return !one.lines.empty() && !two.lines.empty(); }, 10s));
    CHECK(one.lines[0]["re"] == "config" && one.lines[0]["what"] == "publish");
    const bool first = one.lines[0]["ok"] == true;
    const bool second = two.lines[0]["ok"] == true;
    CHECK(first || second);
    if (first && second) {
      ++both;
      CHECK(one.lines[0]["version"] != two.lines[0]["version"]);
    }
    cluster.net.run(500ms);
    CHECK(cluster.committed(0, "trail") == cluster.committed(1, "trail"));
    CHECK(cluster.committed(0, "trail") == cluster.committed(2, "trail"));
  }
  CHECK(both > 0);
  // At one distributor a second publication of the same service is rejected while the first is pending.
  RawClient one(cluster.net, address_of(0));
  cluster.net.cut(address_of(1));
  cluster.net.cut(address_of(2));
  one.send(publish_line("trail", patch("x")));
  CHECK(one.lines.empty());
  const json second = one.request(publish_line("trail", patch("y")));
  CHECK(second["ok"] == false && second["trouble"].is_string());
  // Without a majority the publication fails, and the committed version stays.
  const VersionId before = cluster.committed(0, "trail");
  CHECK(cluster.net.run_until([&] { return one.lines.size() >= 2; }, 20s));
  CHECK(one.lines.back()["ok"] == false);
  CHECK(cluster.committed(0, "trail") == before);
}

void a_partitioned_distributor_catches_up() {
  Cluster cluster;
  cluster.all_vote();
  cluster.add_gatekeepers(6, {"trail"});
  cluster.net.run(3s);
  CHECK_EQ(cluster.run_command(cluster.publish_settings("trail", patch("1"))).status, ConfigClient::kSuccess);
  cluster.net.cut(address_of(0));
  ConfigClientSettings s = cluster.publish_settings("trail", patch("2"));
  s.addresses = {address_of(1), address_of(2)};
  const Cluster::Result large = cluster.run_command(s);
  CHECK_EQ(large.status, ConfigClient::kSuccess);
  check_has(large.text, "in force at 6 of 6");
  // An unreachable address is skipped and reported.
  s.addresses = cluster.all();
  s.content = patch("3");
  s.timeout = 3s;
  const Cluster::Result named = cluster.run_command(s);
  CHECK_EQ(named.status, ConfigClient::kIncomplete);
  check_has(named.text, address_of(0) + ": nobody listens there");
  check_has(named.text, "committed by d2");
  cluster.net.heal();
  CHECK(cluster.net.run_until([&] { return cluster.committed(0, "trail") == cluster.committed(1, "trail"); },
                              20s));
  CHECK(cluster.distributors[0]->counters().value("distributor.peers_not_reached") > 0);
}

void a_command_that_reaches_no_distributor_fails() {
  Cluster cluster(1);
  ConfigClientSettings s = cluster.publish_settings("trail", patch("1"));
  s.addresses = {"10.0.0.9:1", "10.0.0.9:2"};
  const Cluster::Result result = cluster.run_command(s);
  CHECK_EQ(result.status, ConfigClient::kUnreachable);
  s.command = ConfigClientSettings::Command::status;
  CHECK_EQ(cluster.run_command(s).status, ConfigClient::kUnreachable);
}

// A distributor that accepts connections and never answers delays neither the command nor the others.
void a_hung_distributor_delays_nobody() {
  Cluster cluster;
  cluster.all_vote();
  cluster.add_gatekeepers(6, {"trail"});
  cluster.net.run(3s);
  CHECK_EQ(cluster.run_command(cluster.publish_settings("trail", patch("1"))).status, ConfigClient::kSuccess);
  cluster.programs[2]->running = false;  // stopped; its connections stay open
  ConfigClientSettings s = cluster.publish_settings("trail", patch("2"));
  s.timeout = 3s;
  const Cluster::Result published = cluster.run_command(s);
  CHECK_EQ(published.status, ConfigClient::kIncomplete);
  check_has(published.text, address_of(2) + ": no answer in time");
  check_has(published.text, "committed by d1");
  check_has(published.text, "in force at ");
  s.addresses = {address_of(2)};
  const Cluster::Result unknown = cluster.run_command(s);
  CHECK_EQ(unknown.status, ConfigClient::kIncomplete);
  check_has(unknown.text, "not known whether it is in force: look at the status");
  CHECK_EQ(cluster.run_command(cluster.status_settings("trail")).status, ConfigClient::kIncomplete);
  // After three missed heartbeats its connections are closed, and gatekeepers are counted by other
  // distributors.
  cluster.net.run(25s);
  CHECK(cluster.distributors[0]->counters().value("distributor.peers_lost") > 0);
  s = cluster.publish_settings("trail", patch("3"));
  s.addresses = {address_of(0), address_of(1)};
  const Cluster::Result without = cluster.run_command(s);
  CHECK_EQ(without.status, ConfigClient::kSuccess);
  check_has(without.text, "in force at 6 of 6");
  cluster.programs[2]->running = true;
  CHECK(cluster.net.run_until([&] { return cluster.committed(2, "trail") == cluster.committed(0, "trail"); },
                              60s));
  cluster.net.run(30s);
  const Cluster::Result all = cluster.run_command(cluster.status_settings("trail"));
  CHECK_EQ(all.status, ConfigClient::kSuccess);
  check_has(all.text, "in force at 6 of 6");
}

// Another program listens at the distributor's address.
void malformed_answers_are_reported() {
  const std::vector<std::string> answers = {
      "nonsense\n",
      "{}\n{\"re\":3}\n",
      "{\"re\":\"config\"}\n",
      "{\"re\":\"config\",\"what\":\"status\"}\n",
      "{\"re\":\"config\",\"what\":\"status\",\"ok\":true}\n",
      "{\"re\":\"config\",\"what\":\"status\",\"ok\":true,\"standing\":\"voting\",\"service\":\"trail\","
      "\"version\":-1}\n",
      "{\"re\":\"config\",\"what\":\"status\",\"ok\":true,\"standing\":\"voting\",\"services\":[1]}\n",
      "{\"re\":\"config\",\"what\":\"publish\",\"ok\":true}\n",
      "{\"re\":\"config\",\"what\":\"publish\",\"ok\":true,\"version\":1,\"digest\":2}\n",
      std::string(kMaxLineBytes + 1, 'x')};
  std::size_t reported = 0;
  for (const std::string& answer : answers) {
    Cluster cluster(1);
    Program& other = cluster.net.add([&](Time, const net::Event& event, net::Effects& out) {
      if (std::holds_alternative<net::Started>(event))
        out.push_back(net::Listen{Concern::control, "10.0.0.9:7800"});
      if (const auto* got = std::get_if<net::Received>(&event)) {
        out.push_back(net::Consume{got->conn, got->bytes.size()});
        out.push_back(net::Send{got->conn, answer});
      }
    });
    cluster.net.start(other);
    for (ConfigClientSettings s : {cluster.publish_settings("trail", patch("1")),
                                   cluster.status_settings("trail"), cluster.status_settings("")}) {
      s.addresses = {"10.0.0.9:7800"};
      s.timeout = 2s;
      const Cluster::Result result = cluster.run_command(s);
      CHECK(result.status != ConfigClient::kSuccess);
      CHECK(!result.text.empty());
      reported += has(result.text, "can't be read") ? 1 : 0;
    }
  }
  CHECK(reported > 15);
}

void a_lost_gatekeeper_is_reported_for_its_retention() {
  Cluster cluster;
  cluster.all_vote();
  cluster.add_gatekeepers(6, {"trail"});
  cluster.net.run(3s);
  cluster.net.kill(*cluster.gatekeepers[2]->program);
  ConfigClientSettings s = cluster.publish_settings("trail", patch("1"));
  s.timeout = 2s;
  const Cluster::Result after_loss = cluster.run_command(s);
  CHECK_EQ(after_loss.status, ConfigClient::kIncomplete);
  check_has(after_loss.text, "in force at 5 of 5, refused at 0, not heard of 1");
  const Cluster::Result status = cluster.run_command(cluster.status_settings("trail"));
  CHECK_EQ(status.status, ConfigClient::kIncomplete);
  check_has(status.text, "not heard of:\n  gk3, for ");
  // Gatekeepers of a distributor that ends reattach to another one and are not lost.
  const auto has_lost_gatekeepers = [&](std::size_t i) {
    return !cluster.distributors[i]->distributor().lost_gatekeepers().empty();
  };
  CHECK(has_lost_gatekeepers(0) + has_lost_gatekeepers(1) + has_lost_gatekeepers(2) == 1);
  // A distributor that has not counted the lost gatekeeper: with the one that has, the entry would be lost
  // too.
  const std::size_t other = has_lost_gatekeepers(0) ? 1 : 0;
  cluster.add_gatekeepers(1, {"trail"});
  cluster.kill(other);
  cluster.net.run(3s);
  cluster.start(other);
  cluster.net.run(3s);
  check_has(cluster.run_command(cluster.status_settings("trail")).text,
            "in force at 6 of 6, refused at 0, not heard of 1");
  cluster.net.run(11min);
  const Cluster::Result later = cluster.run_command(cluster.status_settings("trail"));
  check_has(later.text, "in force at 6 of 6, refused at 0, not heard of 0");
  CHECK_EQ(later.status, ConfigClient::kSuccess);
}

void many_lost_gatekeepers_are_reported_in_pages() {
  Cluster cluster(2, 600);
  cluster.all_vote();
  const std::string long_name(200, 'n');
  for (int i = 0; i < 130; ++i) {
    RawClient gatekeeper(cluster.net, address_of(0));
    gatekeeper.send(subscribe_line(long_name + std::to_string(i), {{"trail", {}}}, true));
    cluster.net.kill(*gatekeeper.program);
  }
  // Three of them reattach to the other distributor.
  std::vector<std::unique_ptr<RawClient>> reattached;
  for (int i : {1, 64, 129}) {
    reattached.push_back(std::make_unique<RawClient>(cluster.net, address_of(1)));
    reattached.back()->send(subscribe_line(long_name + std::to_string(i), {{"trail", {}}}, false));
  }
  check_has(cluster.run_command(cluster.status_settings("trail")).text, "not heard of 127");
  RawClient operator_(cluster.net, address_of(0));
  const json first = operator_.request({{"op", "config"}, {"what", "status"}, {"service", "trail"}});
  CHECK(first["more"] == true && first["lost"].size() < 130 && line_of(first).size() <= kMaxLineBytes);
}

// A gatekeeper that never reads or answers costs one notification and a few heartbeats.
void a_client_that_never_reads_has_a_bounded_cost() {
  Cluster cluster;
  cluster.all_vote();
  RawClient silent_client(cluster.net, address_of(0));
  silent_client.send(subscribe_line("mute", {{"trail", {}}, {"map", {}}}, true));
  cluster.net.run(1s);
  silent_client.program->reads = false;
  RawClient operator_(cluster.net, address_of(1));
  for (int i = 0; i < 200; ++i) {
    operator_.send(
        publish_line(i % 2 == 0 ? "trail" : "map", patch(std::to_string(i) + std::string(2000, 'x'))));
    cluster.net.run(50ms);
  }
  const auto answers = operator_.take_lines();
  CHECK(std::ranges::count_if(answers, [](const json& a) { return a["ok"] == true; }) > 150);
  CHECK(cluster.net.unread_of(*silent_client.program) < 2000);
  CHECK(cluster.committed(0, "trail") == cluster.committed(1, "trail"));
  cluster.net.run(60s);
  CHECK(silent_client.closed);
  CHECK(cluster.distributors[0]->counters().value("distributor.connections_silent") +
            cluster.distributors[0]->counters().value("distributor.clients_closed") >
        0);
}

void idle_and_excess_connections_are_closed() {
  Cluster cluster(1, 16);
  cluster.all_vote();
  RawClient silent(cluster.net, address_of(0));
  RawClient half(cluster.net, address_of(0));
  RawClient once(cluster.net, address_of(0));
  half.send(std::string("{\"op\":"));
  once.send(heartbeat_answer_line());
  cluster.net.run(4s);
  CHECK(silent.closed && half.closed && !once.closed);
  cluster.net.run(20s);
  CHECK(once.closed);
  CHECK_EQ(cluster.distributors[0]->counters().value("distributor.connections_stuck"), 2U);
  CHECK_EQ(cluster.distributors[0]->counters().value("distributor.connections_silent"), 1U);

  // Above the limit a connection that is no client is closed first, else the newest; clients stay.
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 16; ++i) {
    clients.push_back(std::make_unique<RawClient>(cluster.net, address_of(0)));
    if (i > 0) clients.back()->send(subscribe_line("gk" + std::to_string(i), {{"trail", {}}}, true));
  }
  RawClient next(cluster.net, address_of(0));
  CHECK(clients[0]->closed && !next.closed);
  next.send(subscribe_line("gk0", {{"trail", {}}}, true));
  RawClient over(cluster.net, address_of(0));
  CHECK(over.closed);
  for (int i = 1; i < 16; ++i) CHECK(!clients[static_cast<std::size_t>(i)]->closed);
  CHECK_EQ(cluster.distributors[0]->counters().value("distributor.connections_over"), 2U);
}

void invalid_operator_requests_are_answered_with_errors() {
  Cluster cluster;
  cluster.all_vote();
  RawClient operator_(cluster.net, address_of(0));
  const auto refused = [&](const json& line, const std::string& reason) {
    const json answer = operator_.request(line);
    CHECK(answer["ok"] == false);
    check_has(answer["trouble"].get<std::string>(), reason);
  };
  refused(publish_line("trail", "[]"), "not a JSON object");
  refused(publish_line("trail", "{"), "not a JSON object");
  refused(publish_line("trail", R"({"listen":"x"})"), "'listen'");
  refused(publish_line("a b", "{}"), "letters");
  refused(publish_line("", "{}"), "letters");
  refused(publish_line("trail", patch(std::string(kMaxConfigBytes, 'x'))), "bytes");
  refused({{"op", "config"}, {"what", "publish"}, {"service", "trail"}}, "'content'");
  refused({{"op", "config"}, {"what", "publish"}, {"service", 1}, {"content", "{}"}}, "'service'");
  refused({{"op", "config"}, {"what", "status"}, {"service", "a/b"}}, "'service'");
  refused({{"op", "config"}, {"what", "status"}, {"service", nullptr}}, "'service'");
  refused({{"op", "config"}, {"what", "status"}, {"after", 1}}, "'after'");
  refused({{"op", "config"}, {"what", "attached"}}, "'names'");
  refused({{"op", "config"}, {"what", "attached"}, {"names", {1}}}, "text");
  refused({{"op", "config"}, {"what", "attached"}, {"names", json(std::vector<std::string>(101, "n"))}},
          "100");
  refused({{"op", "config"}, {"what", "all"}}, "'what'");
  refused({{"op", "config"}}, "'what'");
  refused({{"op", "announce"}}, "'op'");
  refused({{"op", 3}}, "'op'");
  refused(json::object(), "'op'");
  operator_.take_lines();
  operator_.send(std::string("no json\n"));
  CHECK(operator_.lines.at(0)["ok"] == false);
  operator_.send(std::string("[1,2]\n\n  \n"));
  CHECK_EQ(operator_.take_lines().size(), 2U);
  CHECK(cluster.distributors[0]->counters().value("distributor.malformed") > 10);
  CHECK(cluster.distributors[0]->counters().value("distributor.publish_refused") >= 6);
  // The log has at most one line per second about them.
  CHECK(cluster.programs[0]->logs.size() < 20);
  // The connection stays usable, and a valid publication on it is accepted.
  CHECK(operator_.request({{"op", "config"}, {"what", "status"}})["ok"] == true);
  CHECK(operator_.request({{"op", "config"}, {"what", "attached"}, {"names", {"x"}}})["names"].empty());
  operator_.take_lines();
  operator_.send(publish_line("trail", " { \"settings\" : { \"a\" : 1 } } "));
  CHECK(cluster.net.run_until([&] { return !operator_.lines.empty(); }, 5s));
  CHECK(operator_.lines[0]["ok"] == true);
  CHECK_EQ(cluster.distributors[1]->distributor().records().at("trail").committed->content,
           R"({"settings":{"a":1}})");

  // A line above the limit closes the connection, and so does a client's second subscription.
  operator_.send(std::string(kMaxLineBytes + 1, 'x'));
  CHECK(operator_.closed);
  RawClient twice(cluster.net, address_of(0));
  twice.send(subscribe_line("gk", {{"trail", {}}}, true));
  twice.send(subscribe_line("gk", {{"trail", {}}}, true));
  CHECK(twice.closed);
  CHECK_EQ(cluster.distributors[0]->counters().value("distributor.clients_closed"), 1U);
  // Any client may send a proposal, but one whose digest was not made with the key is rejected.
  RawClient forger(cluster.net, address_of(0));
  ServiceConfig forged{"trail", {cluster.committed(0, "trail").version + 1, {}}, "{}"};
  const json answer = forger.request(propose_line(1, forged));
  CHECK(answer["accepted"] == false);
  CHECK_EQ(cluster.distributors[0]->counters().value("distributor.unsound"), 1U);
}

void all_services_are_listed_in_pages() {
  Cluster cluster(1);
  cluster.all_vote();
  RawClient operator_(cluster.net, address_of(0));
  for (int i = 0; i < 250; ++i)
    CHECK(operator_.request(publish_line("service-" + std::to_string(1000 + i), "{}"))["ok"] == true);
  const json first = operator_.request({{"op", "config"}, {"what", "status"}});
  CHECK(first["more"] == true && first["services"].size() == 100);
  CHECK(line_of(first).size() <= kMaxLineBytes);
  const Cluster::Result all = cluster.run_command(cluster.status_settings(""));
  CHECK_EQ(std::ranges::count(all.text, '\n'), 250);
  CHECK_EQ(all.status, ConfigClient::kSuccess);
}

void counters_are_printed_and_a_stop_exits_cleanly() {
  Cluster cluster;
  cluster.all_vote();
  cluster.net.deliver(*cluster.programs[0], net::CountersRequested{});
  check_has(cluster.programs[0]->printed, "distributor.now.standing_voting 1");
  check_has(cluster.programs[0]->printed, "distributor.now.peers_up 2");
  cluster.net.deliver(*cluster.programs[0], net::StopRequested{});
  CHECK(cluster.programs[0]->status == 0);
}

}  // namespace

int main() {
  a_published_config_becomes_active_everywhere();
  a_config_that_gatekeepers_reject_is_reported();
  distributors_resume_from_their_files();
  a_restart_during_recovery_does_not_grant_a_vote();
  an_invalid_file_is_logged_and_ends_the_program();
  a_distributor_killed_at_any_effect_keeps_what_it_acknowledged();
  a_counted_vote_survives_its_voter();
  concurrent_publishers_get_distinct_versions();
  a_partitioned_distributor_catches_up();
  a_command_that_reaches_no_distributor_fails();
  a_hung_distributor_delays_nobody();
  malformed_answers_are_reported();
  a_lost_gatekeeper_is_reported_for_its_retention();
  many_lost_gatekeepers_are_reported_in_pages();
  a_client_that_never_reads_has_a_bounded_cost();
  idle_and_excess_connections_are_closed();
  invalid_operator_requests_are_answered_with_errors();
  all_services_are_listed_in_pages();
  counters_are_printed_and_a_stop_exits_cleanly();
}
