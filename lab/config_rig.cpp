#include "lab/config_rig.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <algorithm>
#include <cmath>
#include <filesystem>

#include "programs.h"

namespace graniterun::lab {

using nlohmann::json;
using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

Nanos steady_now() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(Steady::now().time_since_epoch()).count();
}

// ---- child processes

Child::Child(const std::vector<std::string>& command, const std::string& log) {
  int in[2];
  int out[2];
  CHECK(::pipe2(in, O_CLOEXEC) == 0);
  CHECK(::pipe2(out, O_CLOEXEC) == 0);
  std::vector<char*> arguments;
  for (const std::string& a : command) arguments.push_back(const_cast<char*>(a.c_str()));
  arguments.push_back(nullptr);
  pid_ = ::fork();
  CHECK(pid_ >= 0);
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int errors = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(in[0], 0);
    ::dup2(out[1], 1);
    ::dup2(errors, 2);
    ::signal(SIGPIPE, SIG_DFL);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  ::close(in[0]);
  ::close(out[1]);
  in_ = in[1];
  out_ = out[0];
  ::fcntl(out_, F_SETFL, O_NONBLOCK);
}

Child::~Child() {
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  ::close(in_);
  ::close(out_);
}

void Child::say(const std::string& line) const {
  [[maybe_unused]] const auto written = ::write(in_, line.data(), line.size());
}

// ---- the journal service

JournalStandIn::JournalStandIn(const json& hosts) {
  first_response_ = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: " +
                    json{{"hosts", hosts}}.dump() + "\n\n";
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = test::loopback(0);
  CHECK(::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  CHECK(::listen(listener_, 4096) == 0);
  socklen_t size = sizeof address;
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { run(); });
}

JournalStandIn::~JournalStandIn() {
  stopping_ = true;
  thread_.join();
}

void JournalStandIn::run() {
  const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
  epoll_event event{EPOLLIN, {.fd = listener_}};
  ::epoll_ctl(epoll, EPOLL_CTL_ADD, listener_, &event);
  std::set<int> open;
  // Removed from epoll before it is closed: a forked child that has not reached exec still holds the
  // descriptor, so epoll would go on reporting its number, and the socket that gets that number next would be
  // closed.
  const auto close_client = [&](int fd) {
    ::epoll_ctl(epoll, EPOLL_CTL_DEL, fd, nullptr);
    ::close(fd);
    open.erase(fd);
    connections_ = open.size();
  };
  auto next = Steady::now();
  std::array<epoll_event, 256> events;
  char buffer[4096];
  while (!stopping_) {
    const int count = ::epoll_wait(epoll, events.data(), events.size(), 20);
    for (int i = 0; i < count; ++i) {
      const int fd = events[static_cast<std::size_t>(i)].data.fd;
      if (fd == listener_) {
        int client = -1;
        while ((client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0) {
          const int on = 1;
          ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          epoll_event watch{EPOLLIN, {.fd = client}};
          ::epoll_ctl(epoll, EPOLL_CTL_ADD, client, &watch);
          open.insert(client);
          connections_ = open.size();
        }
        continue;
      }
      // A client sends one request, which arrives in one segment.
      if (::recv(fd, buffer, sizeof buffer, 0) <= 0 ||
          ::send(fd, first_response_.data(), first_response_.size(), MSG_NOSIGNAL) < 0)
        close_client(fd);
    }
    if (Steady::now() < next) continue;
    next = Steady::now() + 1s;
    for (const int fd : std::set<int>(open)) {
      if (::send(fd, ":\n\n", 3, MSG_NOSIGNAL) < 0 && errno != EAGAIN) close_client(fd);
    }
  }
  for (const int fd : open) ::close(fd);
  ::close(listener_);
  ::close(epoll);
}

// ---- services and subscribers

Spread::Spread(std::size_t gatekeepers)
    : gatekeepers_(gatekeepers), services_(std::max<std::size_t>(4, gatekeepers * 2000 / 13'000)) {
  for (std::size_t i = 0; i < gatekeepers_; ++i) {
    for (const std::string& s : of(i)) ++subscribers_[s];
  }
}

// A fifth of the gatekeepers belong to one in a hundred services; the rest are spread evenly over the others.
std::string Spread::own(std::size_t i) const {
  const std::size_t large = std::max<std::size_t>(1, services_ / 100);
  const std::size_t one = i % 5 == 0 ? (i / 5) % large : large + (i - i / 5) % (services_ - large);
  return "s" + std::to_string(one);
}

std::vector<std::string> Spread::of(std::size_t i) const {
  return {kForAll, "region-" + std::to_string(i % 3), "zone-" + std::to_string(i % 8), own(i)};
}

std::size_t Spread::subscribers(const std::string& service) const {
  const auto it = subscribers_.find(service);
  return it == subscribers_.end() ? 0 : it->second;
}

std::vector<std::string> Spread::all() const {
  std::vector<std::string> names;
  for (const auto& [name, count] : subscribers_) names.push_back(name);
  return names;
}

// ---- the cluster fixture

namespace {

// Free ports below the kernel's ephemeral range: thousands of connections are opened and closed here, and one
// of them could occupy the port of a program that is about to start.
std::vector<int> free_ports(std::size_t count) {
  static int next = 10'000 + static_cast<int>((static_cast<long>(::getpid()) * 211) % 20'000);
  std::vector<test::Socket> sockets;
  std::vector<int> ports;
  for (int tries = 0; ports.size() < count; ++tries) {
    CHECK(tries < 20'000);
    const int port = next;
    next = next < 32'000 ? next + 1 : 10'000;
    test::Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = test::loopback(port);
    if (::bind(s.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) continue;
    sockets.push_back(std::move(s));
    ports.push_back(port);
  }
  return ports;
}

json hosts_of(const std::vector<std::string>& servers) {
  const json config = bench::config_of("127.0.0.1:1", servers, 0, 1);
  return config["known"]["entries"][0]["hosts"];
}

std::vector<std::string> addresses(std::size_t count) {
  std::vector<std::string> all;
  for (const int port : free_ports(count)) all.push_back(bench::at(port));
  return all;
}

}  // namespace

ConfigRig::ConfigRig(ConfigPlan plan)
    : plan_(std::move(plan)),
      spread_(plan_.light + plan_.real),
      servers_(addresses(std::max<std::size_t>(1, plan_.real))),
      journal_(hosts_of(servers_)),
      distributors_(plan_.distributors),
      hosts_(plan_.processes),
      real_(plan_.real) {
  CHECK(plan_.distributors + plan_.processes + plan_.real < 200);
  const char* tmp = ::getenv("TMPDIR");
  dir_ = std::string(tmp != nullptr ? tmp : "/tmp") + "/graniterun-config-" + std::to_string(::getpid()) +
         "-" + std::to_string(journal_.port());
  std::filesystem::create_directories(dir_);
  key_file_ = dir_ + "/key";
  std::mt19937_64 random(plan_.seed);
  std::ofstream key(key_file_);
  for (int i = 0; i < 64; ++i) key << std::hex << (random() % 16);
  key << '\n';
  key.close();
  ::chmod(key_file_.c_str(), 0600);
  const std::vector<int> ports = free_ports(plan_.distributors + 2 * plan_.real);
  for (std::size_t i = 0; i < plan_.distributors; ++i) {
    distributors_[i].port = ports[i];
    distributors_[i].dir = dir_ + "/distributor-" + std::to_string(i);
    std::filesystem::create_directories(distributors_[i].dir);
  }
  for (std::size_t i = 0; i < plan_.real; ++i) {
    real_[i].listen = ports[plan_.distributors + 2 * i];
    real_[i].control = ports[plan_.distributors + 2 * i + 1];
  }
  relay_ = std::make_unique<StreamRelay>(
      std::vector<int>(ports.begin(), ports.begin() + static_cast<std::ptrdiff_t>(plan_.distributors)));
  reader_ = std::thread([this] { read_reports(); });
}

ConfigRig::~ConfigRig() {
  stopping_ = true;
  reader_.join();
  real_.clear();
  bare_real_.clear();
  bare_.child.reset();
  hosts_.clear();
  distributors_.clear();
  std::error_code ignored;
  if (::getenv("GRANITERUN_KEEP") == nullptr) std::filesystem::remove_all(dir_, ignored);
}

std::size_t ConfigRig::light_of(std::size_t host) const {
  return plan_.light * (host + 1) / plan_.processes - plan_.light * host / plan_.processes;
}
std::size_t ConfigRig::first_gatekeeper_of(std::size_t host) const {
  return plan_.real + plan_.light * host / plan_.processes;
}

json ConfigRig::configuration_settings(std::size_t gatekeeper, bool through_relay) const {
  json list = json::array();
  for (std::size_t i = 0; i < distributors_.size(); ++i)
    list.push_back(bench::at(through_relay ? relay_->port(i) : distributors_[i].port));
  return {{"distributors", list}, {"services", spread_.of(gatekeeper)}, {"key_file", key_file_}};
}

void ConfigRig::start_distributor(std::size_t i) {
  Distributor& d = distributors_.at(i);
  std::string peers;
  for (const Distributor& one : distributors_) peers += (peers.empty() ? "" : ",") + bench::at(one.port);
  d.child.reset();
  d.child = std::make_unique<Child>(
      std::vector<std::string>{plan_.distributor, "--listen", bench::at(d.port), "--peer", peers,
                               "--key-file", key_file_, "--dir", d.dir, "--name", "d" + std::to_string(i),
                               "--connections", "4096"},
      d.dir + ".log");
}
void ConfigRig::kill_distributor(std::size_t i) { distributors_.at(i).child.reset(); }
std::string ConfigRig::distributor_log(std::size_t i) const {
  std::ifstream file(distributors_.at(i).dir + ".log");
  return {std::istreambuf_iterator<char>(file), {}};
}
void ConfigRig::forget_files(std::size_t i) {
  std::error_code ignored;
  std::filesystem::remove_all(distributors_.at(i).dir, ignored);
  std::filesystem::create_directories(distributors_.at(i).dir);
}

std::unique_ptr<Child> ConfigRig::launch_host(const std::string& name, const json& gatekeepers,
                                              const json& deploy) const {
  json base = bench::config_of("127.0.0.1:1", {}, 0, static_cast<int>(size()));
  base["journal"] = bench::at(journal_.port());
  base.erase("known");
  const std::string file = dir_ + "/" + name;
  std::ofstream(file + ".json") << json{{"base", base},
                                        {"deploy", deploy},
                                        {"key_file", key_file_},
                                        {"interval_ms", plan_.interval_ms},
                                        {"lasts_s", plan_.lasts_s},
                                        {"gatekeepers", gatekeepers}};
  return std::make_unique<Child>(std::vector<std::string>{plan_.hollow, file + ".json"}, file + ".log");
}

void ConfigRig::start_host(std::size_t i) {
  const bool through_relay = i + plan_.behind_relay >= hosts_.size();
  json all = json::array();
  for (std::size_t g = first_gatekeeper_of(i); g < first_gatekeeper_of(i) + light_of(i); ++g)
    all.push_back({{"name", "g" + std::to_string(g)}, {"services", spread_.of(g)}});
  auto child = launch_host("hollow-" + std::to_string(i), all,
                           {{"configuration", configuration_settings(first_gatekeeper_of(i), through_relay)},
                            {"control", {{"listen", "127.0.0.1:0"}}}});
  const std::lock_guard lock(mutex_);
  hosts_.at(i).child = std::move(child);
}

void ConfigRig::kill_host(std::size_t i) {
  const std::lock_guard lock(mutex_);
  GatekeeperProcess& process = hosts_.at(i);
  process.child.reset();
  for (const auto field :
       {&Totals::stale, &Totals::back, &Totals::mixed, &Totals::conflict, &Totals::unsound, &Totals::refused,
        &Totals::bytes, &Totals::cpu_ns, &Totals::lists, &Totals::restarts})
    process.previous.*field += process.totals.*field;
  process.totals = {};
  process.activations.clear();
  process.partial_line.clear();
}

void ConfigRig::restart_hollow(std::size_t host, std::size_t count) {
  hosts_.at(host).child->say(json{{"restart", count}}.dump() + "\n");
}

std::string ConfigRig::real_listen(std::size_t i) const { return bench::at(real_.at(i).listen); }

std::string ConfigRig::gatekeeper_config(std::size_t i, const std::string& name,
                                         const std::string& listen) const {
  json config = bench::config_of(listen, servers_, static_cast<int>(i), static_cast<int>(size()));
  // Every server serves both call classes.
  json pools = json::array();
  for (std::size_t s = 0; s < servers_.size(); ++s) pools.push_back(s);
  config["settings"]["familyInfo"]["poolsByClass"] = {pools, pools};
  config["settings"]["replicasOfMe"] = plan_.real;
  config["name"] = name;
  config["journal"] = bench::at(journal_.port());
  return config.dump();
}
std::string ConfigRig::real_config(std::size_t i) const {
  return gatekeeper_config(i, "g" + std::to_string(i), real_listen(i));
}

void ConfigRig::start_real(std::size_t i) {
  const json deploy = {{"configuration", configuration_settings(i, false)},
                       {"control", {{"listen", bench::at(real_.at(i).control)}}}};
  auto program = std::make_unique<test::Program>(plan_.gatekeeper, real_config(i), deploy.dump(), -1,
                                                 [] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
  const std::lock_guard lock(mutex_);
  real_.at(i).program = std::move(program);
}
void ConfigRig::kill_real(std::size_t i) {
  const std::lock_guard lock(mutex_);
  real_.at(i).program.reset();
  real_.at(i).active.clear();
  real_.at(i).control_connection = {};
  real_.at(i).partial_line.clear();
}

void ConfigRig::start_all() {
  for (std::size_t i = 0; i < distributors_.size(); ++i) start_distributor(i);
  for (std::size_t i = 0; i < hosts_.size(); ++i) start_host(i);
  for (std::size_t i = 0; i < real_.size(); ++i) start_real(i);
  json bare = json::array();
  for (std::size_t i = 0; i < plan_.bare_light; ++i)
    bare.push_back({{"name", "b" + std::to_string(i)}, {"services", json::array()}});
  if (!bare.empty()) {
    auto child = launch_host("bare", bare, json::object());
    const std::lock_guard lock(mutex_);
    bare_.child = std::move(child);
  }
  const std::vector<int> ports = free_ports(3 * plan_.bare_real);
  for (std::size_t i = 0; i < 2 * plan_.bare_real; ++i) {
    json config = bench::config_of(bench::at(ports[i]), {}, 0, static_cast<int>(size()));
    config["name"] = "b" + std::to_string(i);
    config["journal"] = bench::at(journal_.port());
    std::string deploy;
    if (i < plan_.bare_real)
      deploy = json{{"configuration", configuration_settings(i, false)},
                    {"control", {{"listen", bench::at(ports[2 * plan_.bare_real + i])}}}}
                   .dump();
    bare_real_.push_back(std::make_unique<test::Program>(plan_.gatekeeper, config.dump(), deploy, -1,
                                                         [] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); }));
  }
}

// ---- operator requests

json ConfigRig::ask(std::size_t i, const json& line, std::chrono::milliseconds timeout) const {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const test::Socket socket(fd);
  const sockaddr_in address = test::loopback(distributors_.at(i).port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return nullptr;
  const std::string text = line.dump() + "\n";
  if (::send(fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) return nullptr;
  const auto end = Steady::now() + timeout;
  std::string got;
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Steady::now()).count();
    pollfd p{fd, POLLIN, 0};
    if (left <= 0 || ::poll(&p, 1, static_cast<int>(left)) <= 0) return nullptr;
    char buffer[16384];
    const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
    if (count <= 0) return nullptr;
    got.append(buffer, static_cast<std::size_t>(count));
    for (std::size_t at = got.find('\n'); at != std::string::npos; at = got.find('\n')) {
      json answer = json::parse(got.substr(0, at), nullptr, false);
      got.erase(0, at + 1);
      if (answer.is_object() && answer.contains("re")) return answer;
    }
  }
}

std::optional<std::uint64_t> ConfigRig::publish(std::size_t i, const std::string& service,
                                                const std::string& content, std::string* trouble) {
  const json answer =
      ask(i, {{"op", "config"}, {"what", "publish"}, {"service", service}, {"content", content}}, 10s);
  if (answer.is_object() && answer.value("ok", false)) return answer.value("version", std::uint64_t{0});
  if (trouble != nullptr) *trouble = answer.is_object() ? answer.value("trouble", "refused") : "no answer";
  return std::nullopt;
}

// ---- collected state

ConfigRig::Activation ConfigRig::force(const std::string& service, std::uint64_t version) const {
  const std::lock_guard lock(mutex_);
  Activation sum;
  const auto add = [&sum](const Activation& activation) {
    sum.now += activation.now;
    if (activation.first != 0)
      sum.first = sum.first == 0 ? activation.first : std::min(sum.first, activation.first);
    sum.last = std::max(sum.last, activation.last);
  };
  for (const GatekeeperProcess& process : hosts_) {
    if (const auto it = process.activations.find({service, version}); it != process.activations.end())
      add(it->second);
  }
  for (const RealGatekeeper& gatekeeper : real_) {
    const auto it = gatekeeper.active.find(service);
    if (it == gatekeeper.active.end() || it->second != version) continue;
    const Nanos at = gatekeeper.activated_at.at({service, version});
    add({1, at, at});
  }
  return sum;
}

std::size_t ConfigRig::refused(const std::string& service, std::uint64_t version) const {
  const std::lock_guard lock(mutex_);
  std::size_t count = 0;
  for (const GatekeeperProcess& process : hosts_) {
    if (const auto it = process.rejected.find({service, version}); it != process.rejected.end())
      count += it->second;
  }
  for (const RealGatekeeper& gatekeeper : real_)
    count += gatekeeper.rejected.contains({service, version}) ? 1 : 0;
  return count;
}

ConfigRig::Totals ConfigRig::process_totals(std::size_t host) const {
  const std::lock_guard lock(mutex_);
  return hosts_.at(host).totals;
}

ConfigRig::Totals ConfigRig::bare_totals() const {
  const std::lock_guard lock(mutex_);
  return bare_.totals;
}

ConfigRig::Totals ConfigRig::totals() const {
  const std::lock_guard lock(mutex_);
  Totals sum;
  sum.mixed = digest_mismatches_;
  sum.back = version_decreases_;
  for (const GatekeeperProcess& process : hosts_) {
    sum.up += process.totals.up;
    sum.ready += process.totals.ready;
    sum.at = std::max(sum.at, process.totals.at);
    sum.memory += process.totals.memory;
    for (const auto field :
         {&Totals::stale, &Totals::back, &Totals::mixed, &Totals::conflict, &Totals::unsound,
          &Totals::refused, &Totals::bytes, &Totals::cpu_ns, &Totals::lists, &Totals::restarts})
      sum.*field += process.totals.*field + process.previous.*field;
  }
  return sum;
}

bool ConfigRig::real_ready(std::size_t i) const {
  const std::lock_guard lock(mutex_);
  return real_.at(i).ready;
}

bool ConfigRig::until(std::chrono::milliseconds timeout, const std::function<bool()>& holds) {
  const auto end = Steady::now() + timeout;
  while (!holds()) {
    if (Steady::now() > end) return false;
    std::this_thread::sleep_for(10ms);
  }
  return true;
}

// Reads the reports of the lightweight gatekeepers and polls the real ones. Real ones are polled only while a
// test or measurement needs their versions, because polling is not part of their own work.
void ConfigRig::read_reports() {
  while (!stopping_) {
    std::vector<pollfd> polls;
    {
      const std::lock_guard lock(mutex_);
      for (const GatekeeperProcess& process : hosts_)
        polls.push_back({process.child ? process.child->out() : -1, POLLIN, 0});
      polls.push_back({bare_.child ? bare_.child->out() : -1, POLLIN, 0});
      for (RealGatekeeper& gatekeeper : real_) {
        poll_real(gatekeeper);
        polls.push_back(
            {gatekeeper.control_connection ? gatekeeper.control_connection->descriptor() : -1, POLLIN, 0});
      }
    }
    ::poll(polls.data(), polls.size(), 5);
    const std::lock_guard lock(mutex_);
    char buffer[65536];
    for (std::size_t i = 0; i < polls.size(); ++i) {
      if (polls[i].revents == 0) continue;
      const bool is_process = i <= hosts_.size();
      GatekeeperProcess* process = !is_process ? nullptr : i < hosts_.size() ? &hosts_[i] : &bare_;
      RealGatekeeper* real = is_process ? nullptr : &real_[i - hosts_.size() - 1];
      const int fd = is_process ? (process->child ? process->child->out() : -1)
                                : (real->control_connection ? real->control_connection->descriptor() : -1);
      if (fd != polls[i].fd) continue;  // the process was killed meanwhile
      std::string& partial_line = is_process ? process->partial_line : real->partial_line;
      const ssize_t got =
          is_process ? ::read(fd, buffer, sizeof buffer) : ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (got <= 0) {
        if (!is_process && (got == 0 || errno != EAGAIN)) real->control_connection.reset();
        continue;
      }
      partial_line.append(buffer, static_cast<std::size_t>(got));
      std::size_t begin = 0;
      for (std::size_t end = partial_line.find('\n'); end != std::string::npos;
           end = partial_line.find('\n', begin)) {
        const json line =
            json::parse(partial_line.begin() + static_cast<std::ptrdiff_t>(begin),
                        partial_line.begin() + static_cast<std::ptrdiff_t>(end), nullptr, false);
        begin = end + 1;
        if (!line.is_object()) continue;
        is_process ? handle_report(*process, line) : handle_report(*real, line);
      }
      partial_line.erase(0, begin);
    }
  }
}

void ConfigRig::poll_real(RealGatekeeper& gatekeeper) {
  if (!polling_ || !gatekeeper.program ||
      (gatekeeper.answer_pending && steady_now() - gatekeeper.polled_at < 1'000'000'000))
    return;
  if (steady_now() - gatekeeper.polled_at < 20'000'000) return;
  gatekeeper.polled_at = steady_now();
  if (!gatekeeper.control_connection) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto socket = std::make_unique<test::Socket>(fd);
    const sockaddr_in address = test::loopback(gatekeeper.control);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return;
    gatekeeper.control_connection = std::move(socket);
    gatekeeper.partial_line.clear();
  }
  const std::string line = "{\"op\":\"configuration\",\"what\":\"held\"}\n";
  gatekeeper.answer_pending = ::send(gatekeeper.control_connection->descriptor(), line.data(), line.size(),
                                     MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
  if (!gatekeeper.answer_pending) gatekeeper.control_connection.reset();
}

void ConfigRig::check_digest(const std::string& service, std::uint64_t version, const std::string& digest) {
  std::string& first_digest = digests_[{service, version}];
  if (first_digest.empty()) first_digest = digest;
  digest_mismatches_ += first_digest != digest ? 1 : 0;
}

void ConfigRig::handle_report(RealGatekeeper& gatekeeper, const json& line) {
  gatekeeper.answer_pending = false;
  gatekeeper.ready = line.value("ready", false);
  for (const json& one : line.value("services", json::array())) {
    const std::string service = one.value("service", "");
    const std::uint64_t version = one.value("version", std::uint64_t{0});
    if (one.contains("refused"))
      gatekeeper.rejected.insert({service, one["refused"].value("version", std::uint64_t{0})});
    if (version == 0) continue;
    check_digest(service, version, one.value("digest", "").substr(0, 16));
    std::uint64_t& active_version = gatekeeper.active[service];
    version_decreases_ += version < active_version ? 1 : 0;
    active_version = version;
    gatekeeper.activated_at.try_emplace({service, version}, steady_now());
  }
}

void ConfigRig::handle_report(GatekeeperProcess& process, const json& line) {
  Totals& totals = process.totals;
  const auto number = [&line](const char* name) { return line.value(name, std::uint64_t{0}); };
  totals.up = number("up");
  totals.ready = number("ready");
  totals.restarts = number("restarts");
  totals.lists = number("lists");
  totals.back = number("back");
  totals.mixed = number("mixed");
  totals.stale = number("stale");
  totals.conflict = number("conflicts");
  totals.unsound = number("unsound");
  totals.refused = number("refusals");
  totals.bytes = number("in") + number("out");
  totals.cpu_ns = number("cpu_ns");
  totals.memory = number("memory");
  totals.at = line.value("t", Nanos{0});
  for (const json& object : line.value("force", json::array())) {
    const auto service = object.at(0).get<std::string>();
    const auto version = object.at(1).get<std::uint64_t>();
    check_digest(service, version, object.at(2).get<std::string>());
    process.activations[{service, version}] = {object.at(3).get<std::size_t>(), object.at(4).get<Nanos>(),
                                               object.at(5).get<Nanos>()};
  }
  for (const json& object : line.value("refused", json::array()))
    process.rejected[{object.at(0).get<std::string>(), object.at(1).get<std::uint64_t>()}] =
        object.at(2).get<std::size_t>();
}

}  // namespace graniterun::lab
