// The distributors and the operators' command as reducers under one clock: a small network in memory, files
// that outlive their program, gatekeepers with the real subscriber, and programs killed at any effect.
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
  std::optional<std::size_t> killed_after{};  // so many effects
  bool reads = true;                          // what comes to it
  bool logged(const std::string& part) const {
    return std::ranges::any_of(logs, [&](const std::string& l) { return l.find(part) != std::string::npos; });
  }
};

class Net {
 public:
  Time now = Time(1'700'000'000'000ms);

  Program& add(Step step, Files* files = nullptr) {
    programs_.push_back(std::make_unique<Program>());
    programs_.back()->step = std::move(step);
    programs_.back()->files = files;
    return *programs_.back();
  }
  void start(Program& p) { tell(p, net::Started{}); }
  void kill(Program& p) {
    p.running = false;
    p.timers.clear();
    if (const auto it = listeners_.find(p.address); it != listeners_.end() && it->second == &p)
      listeners_.erase(it);
    for (const auto& [conn, link] : std::exchange(p.links, {})) end(link, true);
    drain();
  }
  void tell(Program& p, net::Event event) {
    queue_.push_back({&p, std::move(event), {}});
    drain();
  }
  void run(Duration span) {
    const Time until = now + span;
    while (true) {
      Program* next = nullptr;
      for (const auto& p : programs_) {
        if (p->running && !p->timers.empty() &&
            (next == nullptr || p->timers.begin()->first < next->timers.begin()->first))
          next = p.get();
      }
      if (next == nullptr || next->timers.begin()->first > until) break;
      now = std::max(now, next->timers.begin()->first);
      const net::TimerKey timer = next->timers.begin()->second;
      next->timers.erase(next->timers.begin());
      tell(*next, net::TimerFired{timer});
    }
    now = until;
  }
  template <class Done>
  bool run_until(Done done, Duration most) {
    for (const Time until = now + most; now < until; run(10ms)) {
      if (done()) return true;
    }
    return done();
  }
  // Nothing passes between the address and the others any more: what is open ends, what is asked for fails.
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
  // Bytes sent to the program that it has not read.
  std::size_t unread_of(const Program& p) const {
    std::size_t all = 0;
    for (const auto& [conn, link] : p.links) all += links_[link].unread[side_of(link, p, conn)].size();
    return all;
  }

 private:
  struct Link {
    Program* ends[2];
    ConnId ids[2];
    std::string unread[2];
    bool open = true;
  };
  struct Due {
    Program* to;
    net::Event event;
    std::optional<std::size_t> link;  // what is to be read there
  };

  int side_of(std::size_t link, const Program& p, ConnId conn) const {
    return links_[link].ends[0] == &p && links_[link].ids[0] == conn ? 0 : 1;
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
      Due due = std::move(queue_.front());
      queue_.pop_front();
      if (due.to->running) handle(due);
    }
    draining_ = false;
  }
  void handle(Due& due) {
    Program& p = *due.to;
    std::string bytes;
    if (due.link) {
      Link& l = links_[*due.link];
      const ConnId conn = std::get<net::Received>(due.event).conn;
      if (!p.links.contains(conn) || !p.reads) return;
      bytes = l.unread[side_of(*due.link, p, conn)];
      if (bytes.empty()) return;
      due.event = net::Received{conn, bytes};
    }
    // What was sent before the other side's end has been read by then.
    if (const auto* closed = std::get_if<net::Closed>(&due.event)) p.links.erase(closed->conn);
    net::Effects effects;
    p.step(now, due.event, effects);
    for (const net::Effect& effect : effects) {
      if (!p.running || p.status) break;
      if (p.killed_after && p.effects >= *p.killed_after) return kill(p);
      ++p.effects;
      std::visit([&](const auto& e) { carry_out(p, e); }, effect);
    }
    if (p.status) kill(p);
  }

  void carry_out(Program& p, const net::Listen& e) {
    p.address = e.address;
    listeners_[e.address] = &p;
  }
  void carry_out(Program& p, const net::Connect& e) {
    const auto it = listeners_.find(e.address);
    if (it == listeners_.end() || cut_.contains(e.address) || cut_.contains(p.address)) {
      queue_.push_back({&p, net::ConnectFailed{e.conn, true}, {}});
      return;
    }
    Program& to = *it->second;
    const ConnId taken{Concern::control, ++to.accepted};
    links_.push_back({{&p, &to}, {e.conn, taken}, {}});
    p.links[e.conn] = to.links[taken] = links_.size() - 1;
    queue_.push_back({&to, net::Accepted{taken}, {}});
    queue_.push_back({&p, net::Connected{e.conn}, {}});
  }
  void carry_out(Program& p, const net::Send& e) {
    const auto it = p.links.find(e.conn);
    if (it == p.links.end()) return;
    Link& l = links_[it->second];
    if (!l.open) return;
    const int other = 1 - side_of(it->second, p, e.conn);
    l.unread[other] += e.bytes;
    queue_.push_back({l.ends[other], net::Received{l.ids[other], {}}, it->second});
  }
  void carry_out(Program& p, const net::Consume& e) {
    const auto it = p.links.find(e.conn);
    if (it != p.links.end()) links_[it->second].unread[side_of(it->second, p, e.conn)].erase(0, e.count);
  }
  void carry_out(Program& p, const net::Close& e) {
    const auto it = p.links.find(e.conn);
    if (it == p.links.end()) return;
    const std::size_t link = it->second;
    p.links.erase(it);  // who closes is not told
    end(link, false);
  }
  void carry_out(Program& p, const net::ArmTimer& e) { p.timers.emplace(e.at, e.key); }
  void carry_out(Program& p, const net::WriteFile& e) {
    CHECK(e.required);  // a vote that no file holds must not go out
    ++p.writes;
    if (p.files != nullptr) (*p.files)[e.path] = e.text;
  }
  void carry_out(Program& p, const net::ReadFile& e) {
    net::FileRead read{e.path, std::nullopt};
    if (p.files != nullptr && p.files->contains(e.path)) {
      read.text = p.files->at(e.path);
    } else {
      ++p.missing_reads;
    }
    queue_.push_back({&p, std::move(read), {}});
  }
  void carry_out(Program& p, const net::Log& e) { p.logs.push_back(e.text); }
  void carry_out(Program& p, const net::Print& e) { p.printed += e.text; }
  void carry_out(Program& p, const net::Exit& e) { p.status = e.status; }
  void carry_out(Program&, const auto&) { CHECK(false); }

  std::vector<std::unique_ptr<Program>> programs_;
  std::map<std::string, Program*> listeners_;
  std::deque<Link> links_;
  std::deque<Due> queue_;
  std::set<std::string> cut_;
  bool draining_ = false;
};

// ---- who is on it

std::string address_of(std::size_t i) { return "10.0.0." + std::to_string(i + 1) + ":7800"; }

// A gatekeeper: the real subscriber, whose documents are taken but for those that hold the word `bad`.
class Gatekeeper {
 public:
  Gatekeeper(Net& net, std::string name, std::vector<std::string> distributors,
             std::vector<std::string> services, std::uint64_t seed)
      : net_(net), subscriber_(settings(name, distributors, services, seed)), distributors_(distributors) {
    program = &net.add([this](Time now, const net::Event& e, net::Effects& out) { step(now, e, out); });
    program->address = name;
    net.start(*program);
  }
  Version in_force(const std::string& service) const {
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
      down(now, failed->conn, effects);
    } else if (const auto* closed = std::get_if<net::Closed>(&event)) {
      down(now, closed->conn, effects);
    } else if (const auto* received = std::get_if<net::Received>(&event)) {
      const auto used = read_lines(
          received->bytes,
          [&](const json& line) {
            const auto source = source_of(received->conn);
            if (!source) return;
            const SubscriberEvent said = parse_subscriber_line(*source, line);
            if (std::holds_alternative<HeartbeatReceived>(said))
              out.push_back(net::Send{received->conn, line_of(heartbeat_answer_line())});
            if (std::holds_alternative<VersionsNotified>(said))
              out.push_back(net::Send{received->conn, line_of(acknowledge_line())});
            subscriber_.step(now, said, effects);
          },
          [](const json&, const std::string& trouble) {
            std::cerr << trouble << '\n';
            CHECK(false);
          });
      CHECK(used.has_value());
      out.push_back(net::Consume{received->conn, *used});
    }
    carry_out(now, std::move(effects), out);
  }
  void carry_out(Time now, SubscriberEffects effects, net::Effects& out) {
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
      std::visit([&](const auto& e) { carry_out(e, out); }, effect);
    }
  }
  void send(std::uint32_t source, const json& line, net::Effects& out) {
    if (conns_.contains(source))
      out.push_back(net::Send{{Concern::control_client, conns_[source]}, line_of(line)});
  }
  void carry_out(const OpenSource& e, net::Effects& out) {
    conns_[e.source] = ++last_;
    out.push_back(net::Connect{{Concern::control_client, last_}, distributors_[e.source], 1s});
  }
  void carry_out(const CloseSource& e, net::Effects& out) {
    if (conns_.contains(e.source)) out.push_back(net::Close{{Concern::control_client, conns_[e.source]}});
    conns_.erase(e.source);
  }
  void carry_out(const Subscribe& e, net::Effects& out) {
    send(e.source, subscribe_line(program->address, e.held, e.primary), out);
  }
  void carry_out(const SendPrimary& e, net::Effects& out) { send(e.source, primary_line(e.primary), out); }
  void carry_out(const FetchConfig& e, net::Effects& out) {
    send(e.source, fetch_line(e.service, e.version), out);
  }
  void carry_out(const ReportStatus& e, net::Effects& out) { send(e.source, report_line(e), out); }
  void carry_out(const ReturnConfig& e, net::Effects& out) { send(e.source, return_line(e.config), out); }
  void carry_out(const auto&, net::Effects&) {}

  std::optional<std::uint32_t> source_of(ConnId conn) const {
    for (const auto& [source, number] : conns_) {
      if (number == conn.number) return source;
    }
    return std::nullopt;
  }
  void down(Time now, ConnId conn, SubscriberEffects& effects) {
    const auto source = source_of(conn);
    if (!source) return;
    conns_.erase(*source);
    subscriber_.step(now, SourceDisconnected{*source}, effects);
  }

  Net& net_;
  Subscriber subscriber_;
  std::vector<std::string> distributors_;
  std::map<std::uint32_t, std::uint32_t> conns_;
  std::uint32_t last_ = 0;
};

// Somebody with a terminal.
class Terminal {
 public:
  Terminal(Net& net, const std::string& address) : net_(net) {
    program = &net.add([this](Time, const net::Event& event, net::Effects& out) {
      if (const auto* r = std::get_if<net::Received>(&event)) {
        const auto used = read_lines(
            r->bytes, [&](const json& line) { lines.push_back(line); },
            [](const json&, const std::string&) { CHECK(false); });
        out.push_back(net::Consume{r->conn, used.value()});
      }
      closed = closed || std::holds_alternative<net::Closed>(event);
      up = up || std::holds_alternative<net::Connected>(event);
      if (std::holds_alternative<net::Started>(event)) out.push_back(net::Connect{kConn, wanted_, 1s});
      for (std::string& bytes : std::exchange(to_send_, {}))
        out.push_back(net::Send{kConn, std::move(bytes)});
    });
    wanted_ = address;
    net.start(*program);
    CHECK(up);
  }
  Terminal(const Terminal&) = delete;
  ~Terminal() { net_.kill(*program); }
  void say(const std::string& bytes) {
    to_send_.push_back(bytes);
    net_.tell(*program, net::CountersRequested{});
  }
  void say(const json& line) { say(line_of(line)); }
  json ask(const json& line) {
    lines.clear();
    say(line);
    CHECK(!lines.empty());
    return lines.back();
  }
  std::vector<json> take() { return std::exchange(lines, {}); }
  std::vector<json> lines{};
  bool up = false;
  bool closed = false;
  Program* program = nullptr;

 private:
  static constexpr ConnId kConn{Concern::control_client, 1};
  Net& net_;
  std::string wanted_;
  std::vector<std::string> to_send_;
};

json publish_line(const std::string& service, const std::string& content) {
  return {{"op", "config"}, {"what", "publish"}, {"service", service}, {"content", content}};
}
std::string patch(const std::string& value) { return R"({"settings":{"pause":")" + value + "\"}}"; }

struct Lab {
  explicit Lab(std::size_t distributors = 3, std::size_t most_connections = 64)
      : most(most_connections), files(distributors), d(distributors), p(distributors, nullptr) {
    for (std::size_t i = 0; i < distributors; ++i) start(i);
  }
  // `first_byte`: of another key.
  void start(std::size_t i, unsigned char first_byte = 3) {
    ConfigDistributorSettings s;
    s.listen = address_of(i);
    for (std::size_t other = 0; other < d.size(); ++other) {
      if (other != i) s.peers.push_back(address_of(other));
    }
    s.directory = "/dir";
    s.name = "d" + std::to_string(i + 1);
    s.key = key(first_byte);
    s.max_connections = most;
    s.seed = ++starts;
    d[i] = std::make_shared<ConfigDistributor>(std::move(s));
    p[i] =
        &net.add([one = d[i]](Time now, const net::Event& e, net::Effects& out) { one->step(now, e, out); },
                 &files[i]);
    net.start(*p[i]);
  }
  void kill(std::size_t i) { net.kill(*p[i]); }
  bool voting(std::size_t i) const { return d[i]->distributor().voter_state() == VoterState::voting; }
  void all_vote() {
    const bool done = net.run_until(
        [&] {
          bool all = true;
          for (std::size_t i = 0; i < d.size(); ++i) all = all && voting(i);
          return all;
        },
        30s);
    CHECK(done);
  }
  VersionId committed(std::size_t i, const std::string& service) const {
    const auto& records = d[i]->distributor().records();
    const auto it = records.find(service);
    return it != records.end() && it->second.committed ? it->second.committed->id : VersionId{};
  }
  // What its files hold of a service.
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
    for (std::size_t i = 0; i < d.size(); ++i) addresses.push_back(address_of(i));
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
  Result ctl(ConfigClientSettings s) {
    const auto command = std::make_shared<ConfigClient>(std::move(s));
    Program& program =
        net.add([command](Time now, const net::Event& e, net::Effects& out) { command->step(now, e, out); });
    net.start(program);
    CHECK(net.run_until([&] { return program.status.has_value(); }, 60s));
    return {*program.status, program.printed};
  }
  ConfigClientSettings publishing(const std::string& service, const std::string& content) {
    ConfigClientSettings s;
    s.command = ConfigClientSettings::Command::publish;
    s.addresses = all();
    s.service = service;
    s.content = content;
    return s;
  }
  ConfigClientSettings asking(const std::string& service) {
    ConfigClientSettings s;
    s.command = ConfigClientSettings::Command::status;
    s.addresses = all();
    s.service = service;
    return s;
  }

  Net net{};
  std::size_t most;
  std::vector<Files> files;
  std::vector<std::shared_ptr<ConfigDistributor>> d;
  std::vector<Program*> p;
  std::vector<std::unique_ptr<Gatekeeper>> gatekeepers{};
  std::uint64_t starts = 0;
};

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
void check_has(const std::string& text, const std::string& part) {
  if (has(text, part)) return;
  std::cerr << "there is no '" << part << "' in: " << text << '\n';
  CHECK(false);
}

// ---- the cases

void a_change_is_in_force_everywhere() {
  Lab lab;
  lab.all_vote();
  lab.add_gatekeepers(20, {"trail", "map"});
  lab.net.run(3s);
  const Time began = lab.net.now;
  const Lab::Result first = lab.ctl(lab.publishing("trail", patch("1")));
  CHECK_EQ(first.status, ConfigClient::kSuccess);
  check_has(first.text, "in force at 20 of 20, refused at 0, not heard of 0");
  CHECK(lab.net.now - began < 6s);
  for (const auto& g : lab.gatekeepers) CHECK_EQ(g->content.at("trail"), patch("1"));
  const Version version = lab.committed(0, "trail").version;
  for (std::size_t i = 0; i < 3; ++i) CHECK(lab.committed(i, "trail") == lab.committed(0, "trail"));

  // The old content again is a new number, and goes back.
  CHECK_EQ(lab.ctl(lab.publishing("trail", patch("2"))).status, ConfigClient::kSuccess);
  CHECK_EQ(lab.ctl(lab.publishing("trail", patch("1"))).status, ConfigClient::kSuccess);
  CHECK(lab.committed(0, "trail").version > version + 1);
  for (const auto& g : lab.gatekeepers) CHECK_EQ(g->content.at("trail"), patch("1"));

  const Lab::Result one = lab.ctl(lab.asking("trail"));
  CHECK_EQ(one.status, ConfigClient::kSuccess);
  check_has(one.text, "in force at 20 of 20, refused at 0, not heard of 0");
  CHECK_EQ(lab.ctl(lab.publishing("map", patch("m"))).status, ConfigClient::kSuccess);
  const Lab::Result all = lab.ctl(lab.asking(""));
  CHECK_EQ(all.status, ConfigClient::kSuccess);
  check_has(all.text, "map: version");
  check_has(all.text, "trail: version");
  // A service that has no document is not in force.
  CHECK_EQ(lab.ctl(lab.asking("nothing")).status, ConfigClient::kIncomplete);
  ConfigClientSettings as_json = lab.asking("trail");
  as_json.json = true;
  const json object = json::parse(lab.ctl(as_json).text);
  CHECK(object["all"] == true && object["services"][0]["in_force"] == 20);
  CHECK_EQ(lab.d[0]->counters().of("distributor.malformed"), 0U);
}

void a_bad_change_is_stopped_and_told() {
  Lab lab;
  lab.all_vote();
  lab.add_gatekeepers(5, {"trail"});
  lab.net.run(3s);
  CHECK_EQ(lab.ctl(lab.publishing("trail", patch("good"))).status, ConfigClient::kSuccess);
  ConfigClientSettings s = lab.publishing("trail", patch("bad"));
  s.timeout = 3s;
  const Lab::Result bad = lab.ctl(s);
  CHECK_EQ(bad.status, ConfigClient::kIncomplete);
  check_has(bad.text, "in force at 0 of 5, refused at 5, not heard of 0");
  check_has(bad.text, "gk1: 'settings' holds what is bad");
  for (const auto& g : lab.gatekeepers) CHECK_EQ(g->content.at("trail"), patch("good"));
  const Lab::Result status = lab.ctl(lab.asking("trail"));
  CHECK_EQ(status.status, ConfigClient::kIncomplete);
  check_has(status.text, "refused at 5");
  CHECK_EQ(lab.ctl(lab.publishing("trail", patch("good"))).status, ConfigClient::kSuccess);
}

void all_go_on_from_their_files() {
  Lab lab;
  lab.all_vote();
  // Looking for what is not there makes one line of the log, not one for each bucket.
  for (const Program* program : lab.p) CHECK_EQ(program->missing_reads, 1U);
  for (int i = 0; i < 30; ++i) {
    ConfigClientSettings s = lab.publishing("s" + std::to_string(i), patch(std::to_string(i)));
    CHECK_EQ(lab.ctl(s).status, ConfigClient::kSuccess);
  }
  std::map<std::string, VersionId> before;
  for (int i = 0; i < 30; ++i) before["s" + std::to_string(i)] = lab.committed(0, "s" + std::to_string(i));
  for (std::size_t i = 0; i < 3; ++i) lab.kill(i);
  for (std::size_t i = 0; i < 3; ++i) lab.start(i);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(lab.voting(i));  // at once
    CHECK_EQ(lab.p[i]->missing_reads, 0U);
    for (const auto& [service, stamp] : before) CHECK(lab.committed(i, service) == stamp);
  }
  lab.net.run(1s);
  CHECK_EQ(lab.ctl(lab.publishing("s3", patch("again"))).status, ConfigClient::kSuccess);
  CHECK(lab.committed(1, "s3").version > before["s3"].version);
}

// One that had not reached its vote when it was killed has files, and still no vote.
void a_restart_while_it_recovers_gives_no_vote() {
  Lab lab;
  lab.all_vote();
  CHECK_EQ(lab.ctl(lab.publishing("trail", patch("1"))).status, ConfigClient::kSuccess);
  lab.kill(2);
  lab.files[2].clear();
  lab.start(2);
  CHECK(!lab.voting(2));
  CHECK(lab.net.run_until([&] { return lab.committed(2, "trail") == lab.committed(0, "trail"); }, 20s));
  // Its connections stay, though it asks for nothing yet.
  CHECK_EQ(lab.d[2]->counters().of("distributor.peers_lost"), 0U);
  CHECK(!lab.voting(2) && !lab.files[2].empty());
  // Nothing is published through it; the command goes on to the next one.
  ConfigClientSettings s = lab.publishing("trail", patch("2"));
  s.addresses = {address_of(2)};
  const Lab::Result alone = lab.ctl(s);
  CHECK_EQ(alone.status, ConfigClient::kIncomplete);
  check_has(alone.text, "not published: not voting yet");
  s.addresses = {address_of(2), address_of(1), address_of(0)};
  const Lab::Result next = lab.ctl(s);
  CHECK_EQ(next.status, ConfigClient::kSuccess);
  check_has(next.text, "committed by d2");
  check_has(next.text, "d3 " + address_of(2) + " has no vote: recovering");
  CHECK(lab.net.run_until([&] { return lab.committed(2, "trail") == lab.committed(0, "trail"); }, 1s));
  CHECK(!lab.voting(2));
  lab.kill(2);
  lab.start(2);
  CHECK(!lab.voting(2));
  // It keeps what it learned all the same.
  CHECK(lab.committed(2, "trail") == lab.committed(0, "trail"));
  lab.all_vote();
  lab.kill(2);
  lab.start(2);
  CHECK(lab.voting(2));
}

void a_file_that_is_no_use_is_told_and_ends_the_program() {
  Lab lab;
  lab.all_vote();
  CHECK_EQ(lab.ctl(lab.publishing("trail", patch("1"))).status, ConfigClient::kSuccess);
  lab.kill(0);
  const Files good = lab.files[0];
  std::string bucket;
  for (const auto& [path, text] : good) {
    if (has(path, "bucket-")) bucket = path;
  }
  CHECK(!bucket.empty() && good.contains("/dir/known"));
  const auto ends = [&](const Files& files, const std::string& path, unsigned char first_byte = 3) {
    lab.files[0] = files;
    lab.start(0, first_byte);
    CHECK(lab.p[0]->status == 1);
    CHECK(lab.p[0]->logged(path + " is no use"));
    CHECK_EQ(std::ranges::count_if(lab.p[0]->logs, [](const std::string& l) { return has(l, "no use"); }), 1);
    CHECK_EQ(lab.p[0]->writes, 0U);
    CHECK(lab.files[0] == files);
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
  // In another bucket's place.
  Files moved = good;
  moved["/dir/bucket-00"] = text;
  const json index = json::parse(good.at("/dir/known"));
  if (bucket != "/dir/bucket-00") {
    moved.erase(bucket);
    moved["/dir/known"] = R"({"voted":true,"buckets":[0]})";
    ends(moved, "/dir/bucket-00");
  }
  lab.files[0] = good;
  lab.start(0);
  CHECK(!lab.p[0]->status && lab.voting(0));
}

// Killed after each of its effects in turn, writes among them: what was answered as committed stays, no
// number has two contents, and it starts again from what stands in its files.
void a_distributor_killed_at_any_effect_forgets_nothing_it_said() {
  std::size_t answered = 0;
  std::size_t unanswered = 0;
  std::size_t killed = 0;
  for (std::size_t at = 0; at < 60; ++at) {
    Lab lab;
    lab.all_vote();
    CHECK_EQ(lab.ctl(lab.publishing("trail", patch("1"))).status, ConfigClient::kSuccess);
    const Version first = lab.committed(1, "trail").version;
    lab.p[0]->killed_after = lab.p[0]->effects + at;
    ConfigClientSettings s = lab.publishing("trail", patch("2"));
    s.addresses = {address_of(0)};
    s.wait_until_active = false;
    const Lab::Result result = lab.ctl(s);
    if (result.status == ConfigClient::kSuccess) {
      ++answered;
    } else {
      CHECK_EQ(result.status, ConfigClient::kIncomplete);
      check_has(result.text, "not known whether it is in force: look at the status");
      ++unanswered;
    }
    if (!lab.p[0]->running && result.status == ConfigClient::kSuccess)
      CHECK(lab.saved(0, "trail").committed->content == patch("2"));
    lab.net.run(5s);
    if (!lab.p[0]->running) {
      ++killed;
      lab.start(0);
      CHECK(!lab.p[0]->status);  // its files are of use
    }
    CHECK(lab.voting(0));
    lab.net.run(12s);
    const VersionId now = lab.committed(0, "trail");
    CHECK(now.version >= first);
    CHECK(lab.committed(1, "trail") == now && lab.committed(2, "trail") == now);
    if (result.status == ConfigClient::kSuccess) {
      CHECK(now.version > first);
      CHECK_EQ(lab.d[1]->distributor().records().at("trail").committed->content, patch("2"));
    }
    const Lab::Result next = lab.ctl(lab.publishing("trail", patch("3")));
    CHECK_EQ(next.status, ConfigClient::kSuccess);
    CHECK(lab.committed(2, "trail").version > now.version);
    for (const auto& one : lab.d) CHECK_EQ(one->counters().of("distributor.conflict"), 0U);
  }
  CHECK(answered > 0 && unanswered > 0 && killed > 20);
}

// Its vote stands in its file before the publisher can count it.
void a_vote_outlives_whoever_gave_it() {
  std::size_t counted = 0;
  std::size_t killed = 0;
  for (std::size_t at = 0; at < 40; ++at) {
    Lab lab;
    lab.all_vote();
    CHECK_EQ(lab.ctl(lab.publishing("trail", patch("1"))).status, ConfigClient::kSuccess);
    lab.net.cut(address_of(2));
    lab.p[1]->killed_after = lab.p[1]->effects + at;
    ConfigClientSettings s = lab.publishing("trail", patch("2"));
    s.addresses = {address_of(0)};
    s.wait_until_active = false;
    const bool committed = lab.ctl(s).status == ConfigClient::kSuccess;
    if (lab.p[1]->running) continue;
    ++killed;
    if (!committed) continue;
    ++counted;
    const ServiceRecord kept = lab.saved(1, "trail");
    CHECK((kept.accepted ? *kept.accepted : *kept.committed).content == patch("2"));
  }
  CHECK(counted > 0 && killed > counted);
}

void two_publishers_at_once() {
  Lab lab;
  lab.all_vote();
  std::size_t both = 0;
  for (int i = 0; i < 20; ++i) {
    Terminal one(lab.net, address_of(0));
    Terminal two(lab.net, address_of(1));
    one.say(publish_line("trail", patch("one" + std::to_string(i))));
    two.say(publish_line("trail", patch("two" + std::to_string(i))));
    CHECK(lab.net.run_until([&] { return !one.lines.empty() && !two.lines.empty(); }, 10s));
    CHECK(one.lines[0]["re"] == "config" && one.lines[0]["what"] == "publish");
    const bool first = one.lines[0]["ok"] == true;
    const bool second = two.lines[0]["ok"] == true;
    CHECK(first || second);
    if (first && second) {
      ++both;
      CHECK(one.lines[0]["version"] != two.lines[0]["version"]);
    }
    lab.net.run(500ms);
    CHECK(lab.committed(0, "trail") == lab.committed(1, "trail"));
    CHECK(lab.committed(0, "trail") == lab.committed(2, "trail"));
  }
  CHECK(both > 0);
  // On one distributor the second is told so, or comes after.
  Terminal one(lab.net, address_of(0));
  lab.net.cut(address_of(1));
  lab.net.cut(address_of(2));
  one.say(publish_line("trail", patch("x")));
  CHECK(one.lines.empty());
  const json second = one.ask(publish_line("trail", patch("y")));
  CHECK(second["ok"] == false && second["trouble"].is_string());
  // Alone it has no majority, says so, and nothing is in force.
  const VersionId before = lab.committed(0, "trail");
  CHECK(lab.net.run_until([&] { return one.lines.size() >= 2; }, 20s));
  CHECK(one.lines.back()["ok"] == false);
  CHECK(lab.committed(0, "trail") == before);
}

void the_small_side_of_a_cut_publishes_nothing_and_comes_back() {
  Lab lab;
  lab.all_vote();
  lab.add_gatekeepers(6, {"trail"});
  lab.net.run(3s);
  CHECK_EQ(lab.ctl(lab.publishing("trail", patch("1"))).status, ConfigClient::kSuccess);
  lab.net.cut(address_of(0));
  ConfigClientSettings s = lab.publishing("trail", patch("2"));
  s.addresses = {address_of(1), address_of(2)};
  const Lab::Result large = lab.ctl(s);
  CHECK_EQ(large.status, ConfigClient::kSuccess);
  check_has(large.text, "in force at 6 of 6");
  // The address that can't be reached is passed over, and named.
  s.addresses = lab.all();
  s.content = patch("3");
  s.timeout = 3s;
  const Lab::Result named = lab.ctl(s);
  CHECK_EQ(named.status, ConfigClient::kIncomplete);
  check_has(named.text, address_of(0) + ": nobody listens there");
  check_has(named.text, "committed by d2");
  lab.net.heal();
  CHECK(lab.net.run_until([&] { return lab.committed(0, "trail") == lab.committed(1, "trail"); }, 20s));
  CHECK(lab.d[0]->counters().of("distributor.peers_not_reached") > 0);
}

void nobody_to_be_reached() {
  Lab lab(1);
  ConfigClientSettings s = lab.publishing("trail", patch("1"));
  s.addresses = {"10.0.0.9:1", "10.0.0.9:2"};
  const Lab::Result result = lab.ctl(s);
  CHECK_EQ(result.status, ConfigClient::kUnreachable);
  s.command = ConfigClientSettings::Command::status;
  CHECK_EQ(lab.ctl(s).status, ConfigClient::kUnreachable);
}

// One that takes connections and is silent holds up neither the command nor the others.
void a_distributor_that_hangs() {
  Lab lab;
  lab.all_vote();
  lab.add_gatekeepers(6, {"trail"});
  lab.net.run(3s);
  CHECK_EQ(lab.ctl(lab.publishing("trail", patch("1"))).status, ConfigClient::kSuccess);
  lab.p[2]->running = false;  // stopped; its connections stand
  ConfigClientSettings s = lab.publishing("trail", patch("2"));
  s.timeout = 3s;
  const Lab::Result published = lab.ctl(s);
  CHECK_EQ(published.status, ConfigClient::kIncomplete);
  check_has(published.text, address_of(2) + ": no answer in time");
  check_has(published.text, "committed by d1");
  check_has(published.text, "in force at ");
  s.addresses = {address_of(2)};
  const Lab::Result unknown = lab.ctl(s);
  CHECK_EQ(unknown.status, ConfigClient::kIncomplete);
  check_has(unknown.text, "not known whether it is in force: look at the status");
  CHECK_EQ(lab.ctl(lab.asking("trail")).status, ConfigClient::kIncomplete);
  // Silent for three beats it is given up; gatekeepers count themselves elsewhere.
  lab.net.run(25s);
  CHECK(lab.d[0]->counters().of("distributor.peers_lost") > 0);
  s = lab.publishing("trail", patch("3"));
  s.addresses = {address_of(0), address_of(1)};
  const Lab::Result without = lab.ctl(s);
  CHECK_EQ(without.status, ConfigClient::kSuccess);
  check_has(without.text, "in force at 6 of 6");
  lab.p[2]->running = true;
  CHECK(lab.net.run_until([&] { return lab.committed(2, "trail") == lab.committed(0, "trail"); }, 60s));
  lab.net.run(30s);
  const Lab::Result all = lab.ctl(lab.asking("trail"));
  CHECK_EQ(all.status, ConfigClient::kSuccess);
  check_has(all.text, "in force at 6 of 6");
}

// Whoever else listens there.
void answers_that_can_not_be_read_are_told() {
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
  std::size_t unread = 0;
  for (const std::string& answer : answers) {
    Lab lab(1);
    Program& other = lab.net.add([&](Time, const net::Event& event, net::Effects& out) {
      if (std::holds_alternative<net::Started>(event))
        out.push_back(net::Listen{Concern::control, "10.0.0.9:7800"});
      if (const auto* got = std::get_if<net::Received>(&event)) {
        out.push_back(net::Consume{got->conn, got->bytes.size()});
        out.push_back(net::Send{got->conn, answer});
      }
    });
    lab.net.start(other);
    for (ConfigClientSettings s :
         {lab.publishing("trail", patch("1")), lab.asking("trail"), lab.asking("")}) {
      s.addresses = {"10.0.0.9:7800"};
      s.timeout = 2s;
      const Lab::Result result = lab.ctl(s);
      CHECK(result.status != ConfigClient::kSuccess);
      CHECK(!result.text.empty());
      unread += has(result.text, "can't be read") ? 1 : 0;
    }
  }
  CHECK(unread > 15);
}

void a_gatekeeper_that_is_gone_is_not_heard_of() {
  Lab lab;
  lab.all_vote();
  lab.add_gatekeepers(6, {"trail"});
  lab.net.run(3s);
  lab.net.kill(*lab.gatekeepers[2]->program);
  ConfigClientSettings s = lab.publishing("trail", patch("1"));
  s.timeout = 2s;
  const Lab::Result gone = lab.ctl(s);
  CHECK_EQ(gone.status, ConfigClient::kIncomplete);
  check_has(gone.text, "in force at 5 of 5, refused at 0, not heard of 1");
  const Lab::Result status = lab.ctl(lab.asking("trail"));
  CHECK_EQ(status.status, ConfigClient::kIncomplete);
  check_has(status.text, "not heard of:\n  gk3, for ");
  // One whose distributor ends is attached elsewhere: it is heard of.
  const auto counts = [&](std::size_t i) { return !lab.d[i]->distributor().lost_gatekeepers().empty(); };
  CHECK(counts(0) + counts(1) + counts(2) == 1);
  // one that did not count it: what it had counted is gone with it
  const std::size_t other = counts(0) ? 1 : 0;
  lab.add_gatekeepers(1, {"trail"});
  lab.kill(other);
  lab.net.run(3s);
  lab.start(other);
  lab.net.run(3s);
  check_has(lab.ctl(lab.asking("trail")).text, "in force at 6 of 6, refused at 0, not heard of 1");
  lab.net.run(11min);
  const Lab::Result later = lab.ctl(lab.asking("trail"));
  check_has(later.text, "in force at 6 of 6, refused at 0, not heard of 0");
  CHECK_EQ(later.status, ConfigClient::kSuccess);
}

void many_that_are_gone_are_told_in_several_lines() {
  Lab lab(2, 600);
  lab.all_vote();
  const std::string pad(200, 'n');
  for (int i = 0; i < 130; ++i) {
    Terminal gatekeeper(lab.net, address_of(0));
    gatekeeper.say(subscribe_line(pad + std::to_string(i), {{"trail", {}}}, true));
    lab.net.kill(*gatekeeper.program);
  }
  // Three of them are with the other one now.
  std::vector<std::unique_ptr<Terminal>> back;
  for (int i : {1, 64, 129}) {
    back.push_back(std::make_unique<Terminal>(lab.net, address_of(1)));
    back.back()->say(subscribe_line(pad + std::to_string(i), {{"trail", {}}}, false));
  }
  check_has(lab.ctl(lab.asking("trail")).text, "not heard of 127");
  Terminal hand(lab.net, address_of(0));
  const json first = hand.ask({{"op", "config"}, {"what", "status"}, {"service", "trail"}});
  CHECK(first["more"] == true && first["lost"].size() < 130 && line_of(first).size() <= kMaxLineBytes);
}

// A gatekeeper that takes what is sent and never answers costs one notice and a few beats.
void a_client_that_never_reads_costs_little() {
  Lab lab;
  lab.all_vote();
  Terminal mute(lab.net, address_of(0));
  mute.say(subscribe_line("mute", {{"trail", {}}, {"map", {}}}, true));
  lab.net.run(1s);
  mute.program->reads = false;
  Terminal operator_(lab.net, address_of(1));
  for (int i = 0; i < 200; ++i) {
    operator_.say(
        publish_line(i % 2 == 0 ? "trail" : "map", patch(std::to_string(i) + std::string(2000, 'x'))));
    lab.net.run(50ms);
  }
  const auto answers = operator_.take();
  CHECK(std::ranges::count_if(answers, [](const json& a) { return a["ok"] == true; }) > 150);
  CHECK(lab.net.unread_of(*mute.program) < 2000);
  CHECK(lab.committed(0, "trail") == lab.committed(1, "trail"));
  lab.net.run(60s);
  CHECK(mute.closed);
  CHECK(lab.d[0]->counters().of("distributor.connections_silent") +
            lab.d[0]->counters().of("distributor.clients_closed") >
        0);
}

void connections_that_say_nothing_go() {
  Lab lab(1, 16);
  lab.all_vote();
  Terminal silent(lab.net, address_of(0));
  Terminal half(lab.net, address_of(0));
  Terminal once(lab.net, address_of(0));
  half.say(std::string("{\"op\":"));
  once.say(heartbeat_answer_line());
  lab.net.run(4s);
  CHECK(silent.closed && half.closed && !once.closed);
  lab.net.run(20s);
  CHECK(once.closed);
  CHECK_EQ(lab.d[0]->counters().of("distributor.connections_stuck"), 2U);
  CHECK_EQ(lab.d[0]->counters().of("distributor.connections_silent"), 1U);

  // With too many, whoever is no client goes first, then the newest: none that is served.
  std::vector<std::unique_ptr<Terminal>> clients;
  for (int i = 0; i < 16; ++i) {
    clients.push_back(std::make_unique<Terminal>(lab.net, address_of(0)));
    if (i > 0) clients.back()->say(subscribe_line("gk" + std::to_string(i), {{"trail", {}}}, true));
  }
  Terminal next(lab.net, address_of(0));
  CHECK(clients[0]->closed && !next.closed);
  next.say(subscribe_line("gk0", {{"trail", {}}}, true));
  Terminal over(lab.net, address_of(0));
  CHECK(over.closed);
  for (int i = 1; i < 16; ++i) CHECK(!clients[static_cast<std::size_t>(i)]->closed);
  CHECK_EQ(lab.d[0]->counters().of("distributor.connections_over"), 2U);
}

void mistakes_of_operators_are_answered_and_harm_nobody() {
  Lab lab;
  lab.all_vote();
  Terminal hand(lab.net, address_of(0));
  const auto refused = [&](const json& line, const std::string& why) {
    const json answer = hand.ask(line);
    CHECK(answer["ok"] == false);
    check_has(answer["trouble"].get<std::string>(), why);
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
  hand.take();
  hand.say(std::string("no json\n"));
  CHECK(hand.lines.at(0)["ok"] == false);
  hand.say(std::string("[1,2]\n\n  \n"));
  CHECK_EQ(hand.take().size(), 2U);
  CHECK(lab.d[0]->counters().of("distributor.malformed") > 10);
  CHECK(lab.d[0]->counters().of("distributor.publish_refused") >= 6);
  // A flood of them is one line of the log a second.
  CHECK(lab.p[0]->logs.size() < 20);
  // The connection is good all along, and what is published there is taken.
  CHECK(hand.ask({{"op", "config"}, {"what", "status"}})["ok"] == true);
  CHECK(hand.ask({{"op", "config"}, {"what", "attached"}, {"names", {"x"}}})["names"].empty());
  hand.take();
  hand.say(publish_line("trail", " { \"settings\" : { \"a\" : 1 } } "));
  CHECK(lab.net.run_until([&] { return !hand.lines.empty(); }, 5s));
  CHECK(hand.lines[0]["ok"] == true);
  CHECK_EQ(lab.d[1]->distributor().records().at("trail").committed->content, R"({"settings":{"a":1}})");

  // A line without an end, and a client that says what no client says.
  hand.say(std::string(kMaxLineBytes + 1, 'x'));
  CHECK(hand.closed);
  Terminal twice(lab.net, address_of(0));
  twice.say(subscribe_line("gk", {{"trail", {}}}, true));
  twice.say(subscribe_line("gk", {{"trail", {}}}, true));
  CHECK(twice.closed);
  CHECK_EQ(lab.d[0]->counters().of("distributor.clients_closed"), 1U);
  // Without an answer to its proposal it can't be told from a distributor; without the key it can do nothing.
  Terminal forger(lab.net, address_of(0));
  ServiceConfig forged{"trail", {lab.committed(0, "trail").version + 1, {}}, "{}"};
  const json answer = forger.ask(propose_line(1, forged));
  CHECK(answer["accepted"] == false);
  CHECK_EQ(lab.d[0]->counters().of("distributor.unsound"), 1U);
}

void a_service_too_many_is_told_and_all_are_listed_by_pages() {
  Lab lab(1);
  lab.all_vote();
  Terminal hand(lab.net, address_of(0));
  for (int i = 0; i < 250; ++i)
    CHECK(hand.ask(publish_line("service-" + std::to_string(1000 + i), "{}"))["ok"] == true);
  const json first = hand.ask({{"op", "config"}, {"what", "status"}});
  CHECK(first["more"] == true && first["services"].size() == 100);
  CHECK(line_of(first).size() <= kMaxLineBytes);
  const Lab::Result all = lab.ctl(lab.asking(""));
  CHECK_EQ(std::ranges::count(all.text, '\n'), 250);
  CHECK_EQ(all.status, ConfigClient::kSuccess);
}

void the_end_and_the_counters() {
  Lab lab;
  lab.all_vote();
  lab.net.tell(*lab.p[0], net::CountersRequested{});
  check_has(lab.p[0]->printed, "distributor.now.standing_voting 1");
  check_has(lab.p[0]->printed, "distributor.now.peers_up 2");
  lab.net.tell(*lab.p[0], net::StopRequested{});
  CHECK(lab.p[0]->status == 0);
}

}  // namespace

int main() {
  a_change_is_in_force_everywhere();
  a_bad_change_is_stopped_and_told();
  all_go_on_from_their_files();
  a_restart_while_it_recovers_gives_no_vote();
  a_file_that_is_no_use_is_told_and_ends_the_program();
  a_distributor_killed_at_any_effect_forgets_nothing_it_said();
  a_vote_outlives_whoever_gave_it();
  two_publishers_at_once();
  the_small_side_of_a_cut_publishes_nothing_and_comes_back();
  nobody_to_be_reached();
  a_distributor_that_hangs();
  answers_that_can_not_be_read_are_told();
  a_gatekeeper_that_is_gone_is_not_heard_of();
  many_that_are_gone_are_told_in_several_lines();
  a_client_that_never_reads_costs_little();
  connections_that_say_nothing_go();
  mistakes_of_operators_are_answered_and_harm_nobody();
  a_service_too_many_is_told_and_all_are_listed_by_pages();
  the_end_and_the_counters();
}
