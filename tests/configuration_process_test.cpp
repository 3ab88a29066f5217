// Tests the distribution of configuration with real processes: five distributors, a dozen gatekeepers, a
// relay between all of them, `graniterunctl config`, and injected faults. Checks depend on final states and
// on the order of events, not on the machine's speed, and each case checks that its fault took effect.
// Throughout all cases a watcher records the active version at each gatekeeper: no version goes back, and no
// version has two contents. Usage: configuration_process_test GATEKEEPER GRANITERUNCTL DISTRIBUTOR [CASE]
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <filesystem>

#include "codec/sip.h"
#include "lab/config_rig.h"
#include "lab/stream_relay.h"
#include "programs.h"
#include "world.h"

using namespace graniterun;
using namespace graniterun::test;
using lab::StreamRelay;
using nlohmann::json;
using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

namespace {

constexpr auto kTimeout = 20s;
constexpr std::size_t kDistributors = 5;
constexpr std::size_t kGatekeepers = 12;
// The first of the two gatekeepers whose settings files have one class instead of two.
constexpr std::size_t kFirstOneClass = 10;
// Indices of gatekeepers that single cases start.
constexpr std::size_t kLate = 12;
constexpr std::size_t kUpgraded = 13;
constexpr std::size_t kSuccessor = 14;
constexpr std::size_t kMaxGatekeepers = 15;

std::string gatekeeper_path;
std::string command_path;
std::string distributor_path;

// Prints how often a fault occurred, and checks that it did.
void check_fault_occurred(const std::string& fault, std::uint64_t times) {
  std::cout << fault << ": " << times << " times" << std::endl;
  CHECK(times > 0);
}

bool until(const std::function<bool()>& holds, std::chrono::milliseconds timeout = kTimeout) {
  return lab::ConfigClusterFixture::wait_until(timeout, holds);
}

// Leaves only the first class in the configuration.
void keep_first_class(json& config) {
  json& settings = config["settings"];
  settings["classes"].erase(1);
  settings["familyInfo"]["classHoldNs"].erase(1);
  settings["familyInfo"]["poolsByClass"] = json::array({json::array({0})});
}

// A setup server that accepts every call, and withholds its answers while hold(true) is in effect.
class ServerStandIn {
 public:
  ServerStandIn() : listener_(Socket::bound(SOCK_STREAM)), port_(listener_.port()) {
    thread_ = std::thread([this] { run(); });
  }
  ~ServerStandIn() {
    stopping_ = true;
    thread_.join();
  }
  int port() const { return port_; }
  void hold(bool on) { held_ = on; }
  std::size_t waiting() const { return waiting_; }

 private:
  struct Peer {
    Socket socket;
    std::string unread;
    std::vector<std::string> answers;
  };
  void run() {
    std::vector<Peer> peers;
    while (!stopping_) {
      std::vector<pollfd> polls{{listener_.descriptor(), POLLIN, 0}};
      for (const Peer& p : peers) polls.push_back({p.socket.descriptor(), POLLIN, 0});
      ::poll(polls.data(), polls.size(), 5);
      std::size_t waiting = 0;
      for (std::size_t i = polls.size(); i-- > 1;) {
        Peer& p = peers[i - 1];
        bool closed = false;
        if (polls[i].revents != 0) {
          char buffer[65536];
          const ssize_t got = ::recv(p.socket.descriptor(), buffer, sizeof buffer, MSG_DONTWAIT);
          closed = got == 0 || (got < 0 && errno != EAGAIN);
          if (got > 0) p.unread.append(buffer, static_cast<std::size_t>(got));
        }
        while (!closed && !p.unread.empty()) {
          const sip::ReadResult read = sip::read_stream(p.unread);
          if (read.state != sip::ReadState::message) break;
          if (!read.message.method.empty() && read.message.method != "ACK")
            p.answers.push_back("SIP/2.0 200 OK\r\nCall-ID: " + std::string(read.message.header("Call-ID")) +
                                "\r\nCSeq: " + std::string(read.message.header("CSeq")) +
                                "\r\nContent-Length: 1\r\n\r\na");
          p.unread.erase(0, read.used);
        }
        if (!held_) {
          for (const std::string& a : p.answers)
            closed = ::send(p.socket.descriptor(), a.data(), a.size(), MSG_NOSIGNAL) < 0 || closed;
          p.answers.clear();
        }
        waiting += p.answers.size();
        if (closed) peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i - 1));
      }
      waiting_ = waiting;
      if (polls[0].revents != 0) peers.push_back({listener_.accept(), {}, {}});
    }
  }
  Socket listener_;
  int port_;
  std::atomic<bool> held_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> waiting_{0};
  std::thread thread_;
};

// A running process of the operator's command.
class Command {
 public:
  explicit Command(const std::vector<std::string>& arguments) {
    int out[2];
    CHECK(::pipe2(out, O_CLOEXEC) == 0);
    std::vector<char*> all{command_path.data()};
    for (const std::string& a : arguments) all.push_back(const_cast<char*>(a.c_str()));
    all.push_back(nullptr);
    pid_ = ::fork();
    CHECK(pid_ >= 0);
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(out[1], 1);
      ::execv(all[0], all.data());
      ::_exit(127);
    }
    ::close(out[1]);
    out_ = Socket(out[0]);
  }
  ~Command() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;
  // Waits for the end. Returns the exit status, or 1000 plus the number of the signal that ended it.
  int finish() {
    const auto end = Steady::now() + 40s;
    char buffer[65536];
    while (true) {
      pollfd p{out_.descriptor(), POLLIN, 0};
      CHECK(Steady::now() < end);
      if (::poll(&p, 1, 1000) <= 0) continue;
      const ssize_t got = ::read(out_.descriptor(), buffer, sizeof buffer);
      if (got <= 0) break;
      text_.append(buffer, static_cast<std::size_t>(got));
    }
    int status = 0;
    CHECK(::waitpid(std::exchange(pid_, -1), &status, 0) > 0);
    answer_ = json::parse(text_, nullptr, false);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
  }
  bool runs() const {
    siginfo_t info{};
    return ::waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == 0;
  }
  void kill() const { ::kill(pid_, SIGKILL); }
  const json& answer() const { return answer_; }
  const std::string& text() const { return text_; }
  std::uint64_t version() const {
    return answer_.is_object() && answer_.value("committed", json()) == true
               ? answer_.value("version", std::uint64_t{0})
               : 0;
  }
  std::string digest() const { return answer_.value("digest", ""); }

 private:
  pid_t pid_ = -1;
  Socket out_;
  std::string text_;
  json answer_;
};

struct HeldConfig {
  std::uint64_t version = 0;  // active
  std::string digest{};
  std::uint64_t refused = 0;  // rejected version; 0: none
  std::string reason{};
};
// The state that the watcher last read from a gatekeeper.
struct View {
  bool known = false;  // the gatekeeper has answered
  bool ready = false;
  std::uint64_t answers = 0;
  std::map<std::string, HeldConfig> services{};
  std::map<std::string, HeldConfig> at_ready{};  // services in the first answer that reported readiness
};

class Rig {
 public:
  Rig() : journal_(hosts()) {
    const char* tmp = ::getenv("TMPDIR");
    dir_ = std::string(tmp != nullptr ? tmp : "/tmp") + "/graniterun-configuration-" +
           std::to_string(::getpid());
    std::filesystem::create_directories(dir_);
    std::ofstream(dir_ + "/key") << std::string(32, 'a') << std::string(32, '7') << '\n';
    ::chmod((dir_ + "/key").c_str(), 0600);
    for (Distributor& d : distributors_) d.port = free_port();
    for (Gatekeeper& gatekeeper : gatekeepers_)
      gatekeeper.listen = free_port(), gatekeeper.control = free_port(), gatekeeper.management = free_port();
    std::vector<int> real;
    for (std::size_t side = 0; side <= kMaxGatekeepers; ++side) {
      for (const Distributor& d : distributors_) real.push_back(d.port);
    }
    relay_ = std::make_unique<StreamRelay>(real);
    for (std::size_t d = 0; d < kDistributors; ++d) start_distributor(d);
    for (std::size_t g = 0; g < kGatekeepers; ++g) start(g);
    watcher_ = std::thread([this] { watch(); });
    for (std::size_t d = 0; d < kDistributors; ++d) wait_until_voting(d);
    const bool ready = until([&] { return all_of([](const View& v) { return v.ready; }); });
    for (std::size_t g = 0; !ready && g < kGatekeepers; ++g) {
      if (!view(g).ready) std::cerr << "g" << g << " is not ready:\n" << gatekeepers_[g].program->log();
    }
    CHECK(ready);
    CHECK(until([&] { return status_of("all").value("subscribed", 0U) == kGatekeepers; }));
  }
  ~Rig() {
    stopping_ = true;
    watcher_.join();
    for (Gatekeeper& gatekeeper : gatekeepers_) gatekeeper.program.reset();
    for (Distributor& d : distributors_) d.child.reset();
    std::error_code ignored;
    if (::getenv("GRANITERUN_KEEP") == nullptr) std::filesystem::remove_all(dir_, ignored);
  }

  // ---- distributors

  // The other distributors reach it through the relay.
  void start_distributor(std::size_t d) {
    std::string peers;
    for (std::size_t i = 0; i < kDistributors; ++i)
      peers += (i == 0 ? "" : ",") + at(relay_->port(kMaxGatekeepers * kDistributors + i));
    const std::string name = "d" + std::to_string(d);
    const std::string files = dir_ + "/" + name;
    distributors_[d].child = std::make_unique<lab::ChildProcess>(
        std::vector<std::string>{distributor_path, "--listen", at(distributors_[d].port), "--advertise",
                                 at(relay_->port(kMaxGatekeepers * kDistributors + d)), "--peer", peers,
                                 "--key-file", dir_ + "/key", "--dir", files, "--name", name, "--connections",
                                 "256"},
        files + ".log");
  }
  void kill_distributor(std::size_t d) { distributors_[d].child.reset(); }
  void delete_files(std::size_t d) { std::filesystem::remove_all(dir_ + "/d" + std::to_string(d)); }
  void signal_distributor(std::size_t d, int number) { distributors_[d].child->signal(number); }
  bool up(std::size_t d) const { return distributors_[d].child != nullptr; }
  int distributor_pid(std::size_t d) const { return distributors_[d].child->pid(); }
  int distributor_port(std::size_t d) const { return distributors_[d].port; }
  std::string distributor_log(std::size_t d) const {
    std::ifstream file(dir_ + "/d" + std::to_string(d) + ".log");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // Waits until the distributor reports that it is a voter.
  void wait_until_voting(std::size_t d) {
    const bool voting = until([&] {
      return ask(d, {{"op", "config"}, {"what", "status"}}).value("standing", "") == "voting";
    });
    if (!voting) std::cerr << distributor_log(d);
    CHECK(voting);
  }
  // Sends a line to a distributor and returns its answer, or an empty object without one.
  json ask(std::size_t d, const json& line) const {
    Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    return ask_at(s, distributors_[d].port, line);
  }
  // A counter's value, as the distributor prints it on SIGUSR1.
  std::uint64_t counted(std::size_t d, const std::string& name) const {
    const std::size_t before = distributor_log(d).size();
    distributors_[d].child->signal(SIGUSR1);
    std::string text;
    CHECK(until([&] {
      text = distributor_log(d).substr(before);
      return text.find("distributor.now.peers_up") != std::string::npos;
    }));
    const std::size_t where = text.find(name + " ");
    return where == std::string::npos ? 0 : std::stoull(text.substr(where + name.size() + 1));
  }
  std::uint64_t counted_at_all(const std::string& name) const {
    std::uint64_t sum = 0;
    for (std::size_t d = 0; d < kDistributors; ++d) sum += counted(d, name);
    return sum;
  }

  // ---- the operator

  // Addresses of all running distributors, the publisher first.
  std::string addresses_from(std::size_t publisher) const {
    std::string all;
    for (std::size_t i = 0; i < kDistributors; ++i) {
      const std::size_t d = (publisher + i) % kDistributors;
      if (up(d)) all += (all.empty() ? "" : ",") + at(distributors_[d].port);
    }
    return all;
  }
  std::unique_ptr<Command> publishing(std::size_t publisher, const std::string& service, const json& content,
                                      const std::string& wait_for = "in-force",
                                      const std::string& within = "20s") const {
    return std::make_unique<Command>(std::vector<std::string>{
        "config", "publish", service, "--json-text", content.dump(), "--to", addresses_from(publisher),
        "--json", "--within", within, "--wait-for", wait_for});
  }
  // Publishes, waits until it is committed, and returns the version.
  std::uint64_t publish(std::size_t publisher, const std::string& service, const json& content) const {
    const auto one = publishing(publisher, service, content, "committed");
    const int status = one->finish();
    if (status != 0) std::cerr << one->text();
    CHECK_EQ(status, 0);
    CHECK(one->version() != 0);
    return one->version();
  }
  // Publishes, waits until it is active at all gatekeepers, and returns the version.
  std::uint64_t publish_to_all(std::size_t publisher, const std::string& service, const json& content) {
    const auto one = publishing(publisher, service, content);
    const int status = one->finish();
    if (status != 0) std::cerr << one->text();
    CHECK_EQ(status, 0);
    CHECK(one->answer()["all"] == true);
    wait_until_all_hold(service, one->version());
    return one->version();
  }
  json status_of(const std::string& service, int* exit_status = nullptr) const {
    Command one({"config", "status", service, "--to", addresses_from(0), "--json"});
    const int status = one.finish();
    if (exit_status != nullptr) *exit_status = status;
    if (!one.answer().is_object()) return json::object();
    for (const json& s : one.answer().value("services", json::array())) {
      if (s.value("service", "") == service) return s;
    }
    return json::object();
  }

  // ---- gatekeepers

  json config(std::size_t g) const {
    json c = bench::config_of(at(gatekeepers_[g].listen), {at(server_.port())}, static_cast<int>(g),
                              kMaxGatekeepers);
    c["name"] = "g" + std::to_string(g);
    c["journal"] = at(journal_.port());
    c["management"] = at(gatekeepers_[g].management);
    c["settings"]["familyInfo"]["poolsByClass"] = {{0}, {0}};
    if (g == kFirstOneClass || g == kFirstOneClass + 1) {
      keep_first_class(c);
    }
    return c;
  }
  // `as`: index of the gatekeeper whose files, name and listener it takes; connections and ports are its own.
  void start(std::size_t g, int inherited = -1, std::optional<std::size_t> as = {}) {
    json list = json::array();
    for (std::size_t d = 0; d < kDistributors; ++d) list.push_back(at(relay_->port(side(g, d))));
    const json deploy = {{"configuration",
                          {{"distributors", list},
                           {"services", {"all", "own-" + std::to_string(as.value_or(g))}},
                           {"key_file", dir_ + "/key"}}},
                         {"control", {{"listen", at(gatekeepers_[g].control)}}}};
    json c = config(as.value_or(g));
    c["management"] = at(gatekeepers_[g].management);
    auto program = std::make_unique<Program>(gatekeeper_path, c.dump(), deploy.dump(), inherited,
                                             [] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
    const std::lock_guard lock(mutex_);
    gatekeepers_[g].program = std::move(program);
    gatekeepers_[g].view = {};
    gatekeepers_[g].control_connection = Socket();
  }
  void kill(std::size_t g) {
    const std::lock_guard lock(mutex_);
    gatekeepers_[g].program.reset();
    gatekeepers_[g].view = {};
    gatekeepers_[g].control_connection = Socket();
  }
  Program& program(std::size_t g) { return *gatekeepers_[g].program; }
  int listen_of(std::size_t g) const { return gatekeepers_[g].listen; }
  View view(std::size_t g) const {
    const std::lock_guard lock(mutex_);
    return gatekeepers_[g].view;
  }
  HeldConfig held(std::size_t g, const std::string& service) const {
    const View v = view(g);
    const auto it = v.services.find(service);
    return it == v.services.end() ? HeldConfig{} : it->second;
  }
  bool all_of(const std::function<bool(const View&)>& holds) const {
    const std::lock_guard lock(mutex_);
    return std::ranges::all_of(gatekeepers_, [&](const Gatekeeper& gatekeeper) {
      return !gatekeeper.program || (gatekeeper.view.known && holds(gatekeeper.view));
    });
  }
  std::size_t count_of(const std::string& service, std::uint64_t version) const {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::ranges::count_if(gatekeepers_, [&](const Gatekeeper& gatekeeper) {
      const auto it = gatekeeper.view.services.find(service);
      return gatekeeper.program && it != gatekeeper.view.services.end() && it->second.version == version;
    }));
  }
  std::size_t running() const {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::ranges::count_if(
        gatekeepers_, [](const Gatekeeper& gatekeeper) { return gatekeeper.program != nullptr; }));
  }
  // Waits until the version is active at all subscribers of the service.
  void wait_until_all_hold(const std::string& service, std::uint64_t version) {
    const bool all = until([&] {
      return all_of([&](const View& v) {
        const auto it = v.services.find(service);
        return it == v.services.end() || it->second.version == version;
      });
    });
    if (!all) {
      for (std::size_t g = 0; g < kMaxGatekeepers; ++g) {
        if (!gatekeepers_[g].program || held(g, service).version == version) continue;
        std::cerr << "g" << g << " holds " << service << " " << held(g, service).version << ", not "
                  << version << "\n"
                  << gatekeepers_[g].program->log();
      }
    }
    CHECK(all);
  }
  // A gatekeeper's counter, read from its management listener.
  std::uint64_t figure(std::size_t g, const std::string& name) const {
    Socket s = Socket::connected(gatekeepers_[g].management);
    s.send("telemetry\n");
    const std::string text = s.read_until("END\n");
    const std::string start = "\ngatekeeper.config_distribution_" + name + ":";
    const std::size_t where = text.find(start);
    return where == std::string::npos ? 0 : std::stoull(text.substr(where + start.size()));
  }
  std::uint64_t figure_of_all(const std::string& name) const {
    std::uint64_t sum = 0;
    for (std::size_t g = 0; g < kGatekeepers; ++g) sum += figure(g, name);
    return sum;
  }
  std::string readiness(std::size_t g) const {
    Socket s = Socket::connected(gatekeepers_[g].management);
    s.send("readyz\n");
    return s.line();
  }
  // The active version, queried now instead of read from the watcher's view.
  std::uint64_t held_now(std::size_t g, const std::string& service) const {
    Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const json answer = ask_at(s, gatekeepers_[g].control, {{"op", "configuration"}, {"what", "held"}});
    for (const json& one : answer.value("services", json::array())) {
      if (one.value("service", "") == service) return one.value("version", std::uint64_t{0});
    }
    return 0;
  }
  // Makes a call through the gatekeeper and releases it.
  void check_serves(std::size_t g) {
    Socket caller = Socket::connected(gatekeepers_[g].listen);
    const std::string id = "00000000000" + std::to_string(10000 + ++calls_);
    caller.send(setup_line_with_key(id, 9000));
    CHECK_EQ(json::parse(caller.line())["type"], "answer");
    caller.send(json{{"type", "release"}, {"id", id}, {"fields", json::object()}, {"cause", 16}}.dump() +
                "\n");
    CHECK_EQ(json::parse(caller.line())["type"], "released");
  }

  // ---- the relay

  static std::size_t side(std::size_t g, std::size_t d) { return g * kDistributors + d; }
  static std::size_t peer_side(std::size_t d) { return kMaxGatekeepers * kDistributors + d; }
  void hold(std::size_t g, StreamRelay::Direction way, bool on) {
    for (std::size_t d = 0; d < kDistributors; ++d) relay_->set_hold(side(g, d), way, on);
  }
  void cut(std::size_t g, bool on) {
    for (std::size_t d = 0; d < kDistributors; ++d) {
      relay_->set_cut(side(g, d), StreamRelay::to_server, on);
      relay_->set_cut(side(g, d), StreamRelay::to_client, on);
    }
  }
  StreamRelay& relay() { return *relay_; }
  ServerStandIn& server() { return server_; }

  // ---- invariants of all cases

  void check_invariants() const {
    const std::lock_guard lock(mutex_);
    CHECK_EQ(regressions_, 0U);
    CHECK_EQ(digest_conflicts_, 0U);
  }
  void record_version(const std::string& service, std::uint64_t version, const std::string& digest) {
    const std::lock_guard lock(mutex_);
    check_digest(service, version, digest);
  }

 private:
  struct Distributor {
    int port{};
    std::unique_ptr<lab::ChildProcess> child;
  };
  struct Gatekeeper {
    int listen{};
    int control{};
    int management{};
    std::unique_ptr<Program> program;
    View view;
    Socket control_connection;
  };
  json hosts() const {
    return bench::config_of("127.0.0.1:1", {at(server_.port())}, 0, 1)["known"]["entries"][0]["hosts"];
  }
  static json ask_at(Socket& s, int port, const json& line) {
    const sockaddr_in address = loopback(port);
    const int fd = s.descriptor();
    const std::string text = line.dump() + "\n";
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
      return json::object();
    return exchange(fd, text);
  }
  static json exchange(int fd, const std::string& text) {
    if (::send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) return json::object();
    std::string got;
    const auto end = Steady::now() + 2s;
    while (Steady::now() < end) {
      pollfd poll_entry{fd, POLLIN, 0};
      if (::poll(&poll_entry, 1, 100) <= 0) continue;
      char buffer[65536];
      const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
      if (count <= 0) break;
      got.append(buffer, static_cast<std::size_t>(count));
      for (std::size_t line = got.find('\n'); line != std::string::npos; line = got.find('\n')) {
        json one = json::parse(got.substr(0, line), nullptr, false);
        got.erase(0, line + 1);
        if (one.is_object() && one.contains("re")) return one;
      }
    }
    return json::object();
  }
  void check_digest(const std::string& service, std::uint64_t version, const std::string& digest) {
    const auto [it, fresh] = digests_.try_emplace({service, version}, digest);
    if (fresh || it->second == digest) return;
    ++digest_conflicts_;
    std::cerr << service << " " << version << " has two contents\n";
  }
  // Polls every gatekeeper for its active configurations.
  void watch() {
    while (!stopping_) {
      for (std::size_t g = 0; g < kMaxGatekeepers; ++g) {
        const std::lock_guard lock(mutex_);
        Gatekeeper& gatekeeper = gatekeepers_[g];
        if (!gatekeeper.program) continue;
        if (gatekeeper.control_connection.descriptor() < 0) {
          Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
          const sockaddr_in address = loopback(gatekeeper.control);
          if (::connect(s.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            continue;
          gatekeeper.control_connection = std::move(s);
        }
        const json answer = exchange(gatekeeper.control_connection.descriptor(),
                                     "{\"op\":\"configuration\",\"what\":\"held\"}\n");
        if (!answer.contains("services")) {
          gatekeeper.control_connection = Socket();
          continue;
        }
        update_view(g, gatekeeper, answer);
      }
      std::this_thread::sleep_for(10ms);
    }
  }
  void update_view(std::size_t g, Gatekeeper& gatekeeper, const json& answer) {
    std::map<std::string, HeldConfig> all;
    for (const json& one : answer["services"]) {
      HeldConfig held;
      held.version = one.value("version", std::uint64_t{0});
      held.digest = one.value("digest", "");
      if (one.contains("refused")) {
        held.refused = one["refused"].value("version", std::uint64_t{0});
        held.reason = one["refused"].value("reason", "");
      }
      const std::string service = one.value("service", "");
      if (held.version != 0) check_digest(service, held.version, held.digest);
      const auto before = gatekeeper.view.services.find(service);
      if (before != gatekeeper.view.services.end() && held.version < before->second.version) {
        ++regressions_;
        std::cerr << "g" << g << " went back from " << before->second.version << " to " << held.version
                  << "\n";
      }
      all[service] = std::move(held);
    }
    gatekeeper.view.services = std::move(all);
    const bool ready = answer.value("ready", false);
    if (ready && !gatekeeper.view.ready) gatekeeper.view.at_ready = gatekeeper.view.services;
    gatekeeper.view.ready = ready;
    gatekeeper.view.known = true;
    ++gatekeeper.view.answers;
  }

  ServerStandIn server_;
  lab::DiscoveryStandIn journal_;
  std::string dir_;
  std::array<Distributor, kDistributors> distributors_;
  std::array<Gatekeeper, kMaxGatekeepers> gatekeepers_;
  std::unique_ptr<StreamRelay> relay_;
  mutable std::mutex mutex_;
  std::map<std::pair<std::string, std::uint64_t>, std::string> digests_;
  std::uint64_t regressions_ = 0;
  std::uint64_t digest_conflicts_ = 0;
  unsigned calls_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread watcher_;
};

// Returns different content at each call.
json next_content() {
  static int serial = 0;
  ++serial;
  return {{"settings", {{"limits", {{"maxAttempts", 2 + serial % 4}}}, {"marks", {{"serial", serial}}}}}};
}

// ---- publications

void concurrent_publishers_get_distinct_versions(Rig& rig) {
  std::uint64_t superseded = 0;
  std::uint64_t newest = 0;
  for (std::size_t round = 0; round < 8; ++round) {
    const json contents[] = {next_content(), next_content()};
    std::unique_ptr<Command> both[] = {rig.publishing(round % 5, "all", contents[0]),
                                       rig.publishing((round + 2) % 5, "all", contents[1])};
    int status[] = {both[0]->finish(), both[1]->finish()};
    std::uint64_t best = 0;
    for (int i = 0; i < 2; ++i) {
      const Command& one = *both[i];
      CHECK(status[i] == 0 || status[i] == 1);
      CHECK(one.answer().is_object());
      if (one.version() == 0) {
        CHECK_EQ(status[i], 1);
        CHECK(one.answer().contains("trouble"));
        continue;
      }
      rig.record_version("all", one.version(), one.digest());
      CHECK(one.version() > newest);
      best = std::max(best, one.version());
      CHECK_EQ(status[i] == 0, one.answer()["all"] == true);
    }
    CHECK(best != 0);
    CHECK(both[0]->version() != both[1]->version());
    for (int i = 0; i < 2; ++i) {
      if (both[i]->version() == best) CHECK_EQ(status[i], 0);
      superseded += status[i] == 1 ? 1 : 0;
    }
    newest = best;
    rig.wait_until_all_hold("all", best);
  }
  check_fault_occurred("publications superseded by a concurrent one", superseded);
}

// The publisher commits and is killed while the relay holds its messages to the other distributors, so that
// only its own gatekeepers have the version: the other distributors must recover it from them.
void publisher_killed_after_partial_notification(Rig& rig) {
  const std::uint64_t first = rig.publish_to_all(0, "all", next_content());
  rig.relay().set_hold(Rig::peer_side(0), StreamRelay::to_client, true);
  const std::uint64_t second = rig.publish(0, "all", next_content());
  CHECK(second > first);
  CHECK(until([&] { return rig.count_of("all", second) > 0; }));
  const std::size_t have = rig.count_of("all", second);
  rig.kill_distributor(0);
  std::cout << "gatekeepers with the version before the publisher was killed: " << have << " of "
            << rig.running() << std::endl;
  check_fault_occurred("gatekeepers without the version", rig.running() - have);
  rig.relay().set_hold(Rig::peer_side(0), StreamRelay::to_client, false);
  rig.wait_until_all_hold("all", second);
  const std::uint64_t third = rig.publish(1, "all", next_content());
  CHECK(third > second);
  rig.wait_until_all_hold("all", third);
  rig.start_distributor(0);
  rig.wait_until_voting(0);
  CHECK(rig.publish_to_all(0, "all", next_content()) > third);
}

void command_killed_after_partial_notification(Rig& rig) {
  const std::uint64_t first = rig.publish_to_all(1, "all", next_content());
  for (std::size_t g = 0; g < 6; ++g) rig.hold(g, StreamRelay::to_client, true);
  const auto one = rig.publishing(1, "all", next_content());
  CHECK(until([&] { return rig.running() - rig.count_of("all", first) >= 6; }));
  CHECK_EQ(rig.count_of("all", first), 6U);
  CHECK(one->runs());
  one->kill();
  check_fault_occurred("commands killed", one->finish() == 1000 + SIGKILL ? 1 : 0);
  for (std::size_t g = 0; g < 6; ++g) rig.hold(g, StreamRelay::to_client, false);
  const std::uint64_t second = rig.held(6, "all").version;
  CHECK(second > first);
  rig.wait_until_all_hold("all", second);
  CHECK(rig.publish_to_all(2, "all", next_content()) > second);
}

// The distributors are stopped while the gatekeeper's fetch is on its way. Then the relay holds the
// gatekeeper's messages and the distributors continue: it applies the configuration and is killed before it
// can report that.
void gatekeeper_killed_between_apply_and_report(Rig& rig) {
  constexpr std::size_t kVictim = 2;
  const auto held_back = rig.relay().counts().held_back.load();
  rig.hold(kVictim, StreamRelay::to_client, true);
  const std::uint64_t version = rig.publish(3, "all", next_content());
  CHECK(until([&] { return rig.count_of("all", version) == kGatekeepers - 1; }));
  CHECK(until([&] { return rig.relay().counts().held_back > held_back; }));
  std::this_thread::sleep_for(100ms);
  const std::uint64_t fetches = rig.figure(kVictim, "fetches");
  for (std::size_t d = 0; d < kDistributors; ++d) rig.signal_distributor(d, SIGSTOP);
  rig.hold(kVictim, StreamRelay::to_client, false);
  CHECK(until([&] { return rig.figure(kVictim, "fetches") > fetches; }));
  std::this_thread::sleep_for(100ms);
  rig.hold(kVictim, StreamRelay::to_server, true);
  for (std::size_t d = 0; d < kDistributors; ++d) rig.signal_distributor(d, SIGCONT);
  CHECK(until([&] { return rig.held(kVictim, "all").version == version; }));
  const json status = rig.status_of("all");
  const std::size_t not_reported = status.value("behind_all", 0U);
  rig.kill(kVictim);
  check_fault_occurred("gatekeepers killed after applying and before reporting", not_reported);
  rig.hold(kVictim, StreamRelay::to_server, false);
  const std::uint64_t newer = rig.publish(4, "all", next_content());
  rig.hold(kVictim, StreamRelay::to_client, true);
  rig.start(kVictim);
  check_fault_occurred(
      "starts not ready before the first notification",
      rig.readiness(kVictim).find("the configuration in force is not told yet") != std::string::npos);
  rig.hold(kVictim, StreamRelay::to_client, false);
  CHECK(until([&] { return rig.readiness(kVictim).starts_with("OK"); }));
  CHECK_EQ(rig.held_now(kVictim, "all"), newer);
  CHECK(until([&] { return rig.view(kVictim).ready; }));
  CHECK_EQ(rig.view(kVictim).at_ready["all"].version, newer);
  CHECK(rig.program(kVictim).log().find("serves on its start configuration") == std::string::npos);
  rig.check_serves(kVictim);
  rig.wait_until_all_hold("all", newer);
  rig.publish_to_all(0, "all", next_content());
}

// Old and new process share one listening socket. One configuration is published while the new process
// starts, another one while both run.
void publication_during_an_upgrade(Rig& rig) {
  const Socket listener = Socket::bound(SOCK_STREAM);
  rig.start(kUpgraded, listener.descriptor());
  CHECK(until([&] { return rig.view(kUpgraded).ready; }));
  rig.server().hold(true);
  Socket first = Socket::connected(listener.port());
  first.send(setup_line_with_key("00000000000000a1", 9000));
  CHECK(until([&] { return rig.server().waiting() == 1; }));
  rig.start(kSuccessor, listener.descriptor(), kUpgraded);
  const std::uint64_t version = rig.publish(2, "own-13", next_content());
  CHECK(until([&] { return rig.view(kSuccessor).ready; }));
  rig.wait_until_all_hold("own-13", version);
  rig.program(kUpgraded).signal(SIGTERM);
  rig.program(kUpgraded).wait_for_log("was asked to stop");
  Socket second = Socket::connected(listener.port());
  second.send(setup_line_with_key("00000000000000a2", 9000));
  CHECK(until([&] { return rig.server().waiting() == 2; }));
  const std::uint64_t newer = rig.publish(3, "own-13", next_content());
  CHECK(newer > version);
  CHECK(until([&] {
    return rig.held(kUpgraded, "own-13").version == newer && rig.held(kSuccessor, "own-13").version == newer;
  }));
  check_fault_occurred("configurations applied by both processes", rig.count_of("own-13", newer) / 2);
  rig.server().hold(false);
  const char* const ids[] = {"00000000000000a1", "00000000000000a2"};
  Socket* const callers[] = {&first, &second};
  for (int i = 0; i < 2; ++i) {
    const json answer = json::parse(callers[i]->line());
    CHECK_EQ(answer["type"], "answer");
    CHECK_EQ(answer["id"], ids[i]);
    callers[i]->send(
        json{{"type", "release"}, {"id", ids[i]}, {"fields", json::object()}, {"cause", 16}}.dump() + "\n");
    CHECK_EQ(json::parse(callers[i]->line())["type"], "released");
  }
  CHECK_EQ(rig.program(kUpgraded).exit_status(), 0);
  rig.kill(kUpgraded);
  rig.wait_until_all_hold("own-13", newer);
  rig.publish_to_all(0, "own-13", next_content());
}

std::size_t count_in(const std::string& text, const std::string& what) {
  std::size_t count = 0;
  for (std::size_t p = text.find(what); p != std::string::npos; p = text.find(what, p + 1)) ++count;
  return count;
}

void publication_concurrent_with_a_reload(Rig& rig) {
  constexpr std::size_t kReloading = 6;
  const std::string kReloadedLog = "the configuration was read again";
  const std::string kKeptLog = "the old configuration is kept";
  const std::size_t rejected_reloads_before = count_in(rig.program(kReloading).log(), kKeptLog);
  // The journal service that it connects to shows which configuration is active: the published one, else the
  // file's.
  const json hosts = json::parse(rig.config(kReloading).dump())["known"]["entries"][0]["hosts"];
  for (const bool reload_first : {true, false}) {
    lab::DiscoveryStandIn file_journal(hosts);
    lab::DiscoveryStandIn published_journal(hosts);
    json file = rig.config(kReloading);
    file["journal"] = at(file_journal.port());
    const std::size_t reloads_before = count_in(rig.program(kReloading).log(), kReloadedLog);
    json content = next_content();
    content["journal"] = at(published_journal.port());
    rig.hold(kReloading, StreamRelay::to_client, true);
    const std::uint64_t version = rig.publish(1, "own-6", content);
    rig.program(kReloading).write_config(file.dump());
    if (reload_first) {
      rig.program(kReloading).signal(SIGHUP);
      rig.hold(kReloading, StreamRelay::to_client, false);
    } else {
      rig.hold(kReloading, StreamRelay::to_client, false);
      rig.program(kReloading).signal(SIGHUP);
    }
    rig.wait_until_all_hold("own-6", version);
    CHECK(until([&] { return count_in(rig.program(kReloading).log(), kReloadedLog) == reloads_before + 1; }));
    CHECK(until([&] { return published_journal.connections() == 1; }));
    // The next published configuration sets no journal, so the new file's one becomes active.
    const std::uint64_t next = rig.publish(1, "own-6", next_content());
    CHECK(next > version);
    rig.wait_until_all_hold("own-6", next);
    CHECK(until([&] { return file_journal.connections() == 1; }));
    check_fault_occurred("publications concurrent with a reload",
                         count_in(rig.program(kReloading).log(), kReloadedLog) - reloads_before);
    rig.program(kReloading).write_config(rig.config(kReloading).dump());
    rig.program(kReloading).signal(SIGHUP);
    CHECK(until([&] { return count_in(rig.program(kReloading).log(), kReloadedLog) == reloads_before + 2; }));
    CHECK(until([&] { return file_journal.connections() == 0; }));
  }
  // A file that is valid by itself, but invalid once the published configuration is merged onto it.
  json content = next_content();
  content["settings"]["familyInfo"]["poolsByClass"] = {{0}, {0}};
  const std::uint64_t version = rig.publish_to_all(2, "own-6", content);
  const std::size_t reloads_before = count_in(rig.program(kReloading).log(), kReloadedLog);
  json file = rig.config(kReloading);
  keep_first_class(file);
  rig.program(kReloading).write_config(file.dump());
  rig.program(kReloading).signal(SIGHUP);
  rig.program(kReloading).wait_for_log("with the documents in force over it");
  check_fault_occurred("files rejected because of the published configuration",
                       count_in(rig.program(kReloading).log(), kKeptLog) - rejected_reloads_before);
  const std::uint64_t answers = rig.view(kReloading).answers;
  CHECK(until([&] { return rig.view(kReloading).answers > answers + 1; }));
  CHECK_EQ(rig.held(kReloading, "own-6").version, version);
  rig.check_serves(kReloading);
  rig.program(kReloading).write_config(rig.config(kReloading).dump());
  rig.program(kReloading).signal(SIGHUP);
  CHECK(until([&] { return count_in(rig.program(kReloading).log(), kReloadedLog) == reloads_before + 1; }));
  rig.publish_to_all(2, "own-6", next_content());
}

void rejected_by_all_and_by_some(Rig& rig) {
  const std::uint64_t good = rig.publish_to_all(0, "all", next_content());
  const std::size_t size = rig.running();
  json bad = next_content();
  bad["settings"]["classes"] = "none";  // which no gatekeeper's own service overrides
  const auto all = rig.publishing(0, "all", bad, "in-force", "2s");
  CHECK_EQ(all->finish(), 1);
  const std::uint64_t refused = all->version();
  CHECK(refused > good);
  int exit_status = -1;
  json status;
  CHECK(until([&] {
    status = rig.status_of("all", &exit_status);
    return status.value("refused_all", 0U) == size;
  }));
  CHECK_EQ(exit_status, 1);
  CHECK_EQ(status["version"], refused);
  CHECK_EQ(status["in_force"], 0);
  CHECK_EQ(status["refused"].size(), size);
  for (const json& r : status["refused"])
    CHECK(r["reason"].get<std::string>().find("settings.classes") != std::string::npos);
  CHECK(until(
      [&] { return rig.all_of([&](const View& v) { return v.services.at("all").refused == refused; }); }));
  CHECK(rig.all_of([&](const View& v) { return v.services.at("all").version == good; }));
  check_fault_occurred("rejections by every gatekeeper", size);
  rig.check_serves(0);

  json two_classes = next_content();
  two_classes["settings"]["familyInfo"]["poolsByClass"] = {{0}, {0}};
  const auto some = rig.publishing(1, "all", two_classes, "in-force", "2s");
  CHECK_EQ(some->finish(), 1);
  const std::uint64_t mixed = some->version();
  CHECK(mixed > refused);
  CHECK(until([&] {
    status = rig.status_of("all", &exit_status);
    return status.value("refused_all", 0U) == 2 && status.value("in_force", 0U) == size - 2;
  }));
  CHECK_EQ(exit_status, 1);
  std::set<std::string> names;
  for (const json& r : status["refused"]) {
    names.insert(r["name"].get<std::string>());
    CHECK(r["reason"].get<std::string>().find("poolsByClass") != std::string::npos);
  }
  CHECK(names == (std::set<std::string>{"g10", "g11"}));
  CHECK(until([&] { return rig.count_of("all", mixed) == size - 2; }));
  for (const std::size_t g : {kFirstOneClass, kFirstOneClass + 1}) {
    CHECK_EQ(rig.held(g, "all").version, good);
    CHECK_EQ(rig.held(g, "all").refused, mixed);
  }
  check_fault_occurred("rejections by some gatekeepers", names.size());
  CHECK(rig.publish_to_all(2, "all", next_content()) > mixed);
  rig.status_of("all", &exit_status);
  CHECK_EQ(exit_status, 0);
  // A patch that the command rejects, and an address without a listener.
  Command invalid_patch({"config", "publish", "all", "--json-text", R"({"listen":"127.0.0.1:1"})", "--to",
                         rig.addresses_from(0)});
  CHECK_EQ(invalid_patch.finish(), 2);
  const Socket bound_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));  // bound, not listening
  const sockaddr_in address = loopback(0);
  CHECK(::bind(bound_socket.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  Command unreachable(
      {"config", "publish", "all", "--json-text", next_content().dump(), "--to", at(bound_socket.port())});
  CHECK_EQ(unreachable.finish(), 3);
}

// A distributor is stopped while the relay holds its messages. The others publish, and after it continues the
// gatekeepers receive its older versions, which they must ignore.
void distributor_stopped_during_a_publication(Rig& rig) {
  constexpr std::size_t kVictim = 3;
  const std::uint64_t stale = rig.figure_of_all("stale");
  for (std::size_t g = 0; g < kGatekeepers; ++g)
    rig.relay().set_hold(Rig::side(g, kVictim), StreamRelay::to_client, true);
  const std::uint64_t old = rig.publish(0, "all", next_content());
  CHECK(until([&] { return rig.count_of("all", old) == rig.running(); }));
  std::this_thread::sleep_for(100ms);
  rig.signal_distributor(kVictim, SIGSTOP);
  const std::uint64_t newer = rig.publish(1, "all", next_content());
  CHECK(newer > old);
  rig.wait_until_all_hold("all", newer);
  rig.signal_distributor(kVictim, SIGCONT);
  for (std::size_t g = 0; g < kGatekeepers; ++g)
    rig.relay().set_hold(Rig::side(g, kVictim), StreamRelay::to_client, false);
  CHECK(until([&] { return rig.figure_of_all("stale") > stale; }));
  check_fault_occurred("stale notifications ignored", rig.figure_of_all("stale") - stale);
  CHECK_EQ(rig.count_of("all", newer), rig.running());
  rig.wait_until_voting(kVictim);
  CHECK(rig.publish_to_all(kVictim, "all", next_content()) > newer);
}

void partitioned_gatekeepers_catch_up(Rig& rig) {
  const std::vector<std::size_t> cut = {3, 4, 5};
  const std::uint64_t before = rig.publish_to_all(0, "all", next_content());
  std::map<std::size_t, std::uint64_t> activations_before;
  for (const std::size_t g : cut) activations_before[g] = rig.figure(g, "in_force");
  const auto dropped_bytes_before = rig.relay().counts().dropped_bytes.load();
  for (const std::size_t g : cut) rig.cut(g, true);
  std::uint64_t newest = 0;
  for (std::size_t i = 0; i < 10; ++i) {
    newest = rig.publish(i % kDistributors, "all", next_content());
    rig.check_serves(cut[i % cut.size()]);
  }
  CHECK(until([&] { return rig.count_of("all", newest) == rig.running() - cut.size(); }));
  CHECK_EQ(rig.count_of("all", before), cut.size());
  CHECK(until([&] { return rig.relay().counts().dropped_bytes > dropped_bytes_before; }));
  check_fault_occurred("bytes dropped by the partition",
                       rig.relay().counts().dropped_bytes - dropped_bytes_before);
  for (const std::size_t g : cut) rig.cut(g, false);
  rig.wait_until_all_hold("all", newest);
  for (const std::size_t g : cut) CHECK_EQ(rig.figure(g, "in_force") - activations_before[g], 1U);
  rig.publish_to_all(1, "all", next_content());
}

void start_without_a_reachable_distributor(Rig& rig) {
  const std::uint64_t version = rig.publish_to_all(0, "all", next_content());
  const auto damaged_connections = rig.relay().counts().damaged_connections.load();
  rig.cut(kLate, true);
  rig.start(kLate);
  CHECK(until([&] { return rig.readiness(kLate).starts_with("OK"); }));
  CHECK(until([&] { return rig.view(kLate).ready; }));
  CHECK_EQ(rig.view(kLate).at_ready["all"].version, 0U);
  rig.program(kLate).wait_for_log("within 2000 ms: it serves on its start configuration");
  rig.check_serves(kLate);
  CHECK_EQ(rig.held(kLate, "all").version, 0U);
  check_fault_occurred("connections dropped at the start",
                       rig.relay().counts().damaged_connections - damaged_connections);
  rig.cut(kLate, false);
  rig.wait_until_all_hold("all", version);
  rig.publish_to_all(1, "all", next_content());
}

std::uint64_t resident_kib(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) return std::stoull(line.substr(6));
  }
  return 0;
}

std::string fetch_of(const std::string& service, std::uint64_t version) {
  return json{{"op", "fetch"}, {"service", service}, {"version", version}}.dump() + "\n";
}

// Two clients at each distributor read nothing while configurations of 10 KB are published. The first one
// only subscribes and costs one notification. The second one fetches them repeatedly, and the distributor
// stops reading from it while too much output to it is pending.
void clients_that_never_read_have_a_bounded_cost(Rig& rig) {
  std::uint64_t newest = rig.publish_to_all(0, "all", next_content());
  const std::uint64_t sent = rig.counted_at_all("distributor.documents_sent");
  std::vector<Socket> subscribed_only;
  std::vector<Socket> fetching;
  for (std::size_t d = 0; d < kDistributors; ++d) {
    for (const bool fetches : {false, true}) {
      Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      const int small = 4096;
      CHECK(::setsockopt(s.descriptor(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small) == 0);
      const sockaddr_in address = loopback(rig.distributor_port(d));
      CHECK(::connect(s.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
      json line = {{"op", "subscribe"}, {"name", fetches ? "greedy" : "deaf"}, {"primary", false}};
      line["held"] = json::array({json{{"service", "all"}}, json{{"service", "own-1"}}});
      s.send(line.dump() + "\n");
      (fetches ? fetching : subscribed_only).push_back(std::move(s));
    }
  }
  std::vector<std::uint64_t> memory;
  for (std::size_t d = 0; d < kDistributors; ++d) memory.push_back(resident_kib(rig.distributor_pid(d)));
  std::array<std::string, kDistributors> unsent_fetches;
  constexpr std::size_t kChanges = 25;
  constexpr std::size_t kFetchesEach = 200;
  for (std::size_t i = 0; i < kChanges; ++i) {
    json content = next_content();
    content["settings"]["marks"]["pad"] = std::string(10'000, 'x');
    const json answer =
        rig.ask(i % kDistributors,
                {{"op", "config"}, {"what", "publish"}, {"service", "all"}, {"content", content.dump()}});
    if (!answer.value("ok", false)) std::cerr << answer.dump() << "\n";
    CHECK(answer.value("ok", false));
    CHECK(answer["version"] > newest);
    newest = answer["version"];
    for (std::size_t d = 0; d < kDistributors; ++d) {
      for (std::size_t n = 0; n < kFetchesEach; ++n) unsent_fetches[d] += fetch_of("all", newest);
      const ssize_t went = ::send(fetching[d].descriptor(), unsent_fetches[d].data(),
                                  unsent_fetches[d].size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (went > 0) unsent_fetches[d].erase(0, static_cast<std::size_t>(went));
    }
  }
  rig.wait_until_all_hold("all", newest);
  std::uint64_t unread = 0;
  for (std::size_t d = 0; d < kDistributors; ++d) {
    int waits = 0;
    CHECK(::ioctl(subscribed_only[d].descriptor(), FIONREAD, &waits) == 0);
    unread += waits > 0 ? 1 : 0;
    std::string got;
    for (std::string more = subscribed_only[d].read_available(65536); !more.empty();
         more = subscribed_only[d].read_available(65536)) {
      got += more;
      std::this_thread::sleep_for(20ms);
    }
    CHECK_EQ(count_in(got, R"("event":"notices")"), 1U);
    CHECK_EQ(count_in(got, R"("event":"document")"), 0U);
    CHECK(got.size() < 4096);
    const std::uint64_t after = resident_kib(rig.distributor_pid(d));
    std::cout << "d" << d << ": " << memory[d] << " to " << after << " KiB" << std::endl;
    CHECK(after < memory[d] + 128 * 1024);
  }
  check_fault_occurred("notified connections that read nothing", unread);
  // Deliveries to gatekeepers and distributors are included.
  const std::uint64_t fetched = kDistributors * kChanges * kFetchesEach;
  const std::uint64_t delivered = rig.counted_at_all("distributor.documents_sent") - sent;
  std::cout << "documents sent to all together: " << delivered << std::endl;
  CHECK(delivered < fetched / 8);
  check_fault_occurred("fetches of clients that do not read, not answered", fetched - delivered);
  CHECK(rig.publish(0, "all", next_content()) > newest);
}

// First one distributor and then all of them lose their files, while the gatekeepers keep running.
void distributors_recover_without_files(Rig& rig) {
  std::uint64_t newest = rig.publish(0, "all", next_content());
  rig.wait_until_all_hold("all", newest);
  rig.kill_distributor(4);
  rig.delete_files(4);
  rig.start_distributor(4);
  for (std::size_t i = 0; i < 3; ++i) {
    const std::uint64_t next = rig.publish(i, "all", next_content());
    CHECK(next > newest);
    newest = next;
  }
  CHECK(until([&] {
    return rig.ask(4, {{"op", "config"}, {"what", "status"}}).value("standing", "") == "voting";
  }));
  std::uint64_t next = rig.publish(4, "all", next_content());
  CHECK(next > newest);
  rig.wait_until_all_hold("all", next);
  newest = next;
  std::uint64_t restarted = 1;
  for (std::size_t d = 0; d < kDistributors; ++d) rig.kill_distributor(d);
  for (std::size_t d = 0; d < kDistributors; ++d, ++restarted) {
    rig.delete_files(d);
    rig.start_distributor(d);
  }
  for (std::size_t d = 0; d < kDistributors; ++d) rig.wait_until_voting(d);
  check_fault_occurred("distributors restarted without files", restarted);
  // The distributors recover the configuration from the gatekeepers before anything is published.
  CHECK(until([&] {
    const json status = rig.status_of("all");
    return status.value("version", std::uint64_t{0}) == newest &&
           status.value("in_force", 0U) == rig.running();
  }));
  check_fault_occurred("configurations recovered from gatekeepers",
                       rig.counted_at_all("distributor.learned_back"));
  next = rig.publish(1, "all", next_content());
  CHECK(next > newest);
  rig.wait_until_all_hold("all", next);
  CHECK(rig.publish_to_all(2, "all", next_content()) > next);
}

struct Case {
  const char* name;
  void (*run)(Rig&);
};
constexpr Case kCases[] = {
    {"concurrent_publishers_get_distinct_versions", concurrent_publishers_get_distinct_versions},
    {"publisher_killed_after_partial_notification", publisher_killed_after_partial_notification},
    {"command_killed_after_partial_notification", command_killed_after_partial_notification},
    {"gatekeeper_killed_between_apply_and_report", gatekeeper_killed_between_apply_and_report},
    {"publication_concurrent_with_a_reload", publication_concurrent_with_a_reload},
    {"rejected_by_all_and_by_some", rejected_by_all_and_by_some},
    {"distributor_stopped_during_a_publication", distributor_stopped_during_a_publication},
    {"partitioned_gatekeepers_catch_up", partitioned_gatekeepers_catch_up},
    {"start_without_a_reachable_distributor", start_without_a_reachable_distributor},
    {"publication_during_an_upgrade", publication_during_an_upgrade},
    {"clients_that_never_read_have_a_bounded_cost", clients_that_never_read_have_a_bounded_cost},
    {"distributors_recover_without_files", distributors_recover_without_files},
};

}  // namespace

int main(int argc, char** argv) {
  CHECK(argc >= 4);
  gatekeeper_path = argv[1];
  command_path = argv[2];
  distributor_path = argv[3];
  const std::string only = argc > 4 ? argv[4] : "";
  std::signal(SIGPIPE, SIG_IGN);
  ::alarm(110);  // the started programs end with this process
  const auto began = Steady::now();
  const auto ms = [&] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - began).count();
  };
  Rig rig;
  std::cout << "up after " << ms() << " ms" << std::endl;
  for (const Case& one : kCases) {
    if (!only.empty() && only != one.name) continue;
    one.run(rig);
    rig.check_invariants();
    std::cout << one.name << ": passed, at " << ms() << " ms" << std::endl;
  }
}
