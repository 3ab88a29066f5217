#include "lab/fleet_rig.h"

#include <linux/errqueue.h>

#include <cstring>

#include "programs.h"

namespace graniterun::lab {

using nlohmann::json;
using namespace std::chrono_literals;

// ---- the relay

Relay::Relay(std::vector<int> real, std::uint64_t seed) : random_(seed) {
  for (const int r : real) {
    RelayedMember member;
    member.process_port = r;
    open(member);
    members_.push_back(member);
  }
  send_fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  ::setsockopt(send_fd_, IPPROTO_IP, IP_RECVERR, &on, sizeof on);
  thread_ = std::thread([this] { run(); });
}

Relay::~Relay() {
  stopping_ = true;
  thread_.join();
  for (const RelayedMember& member : members_) {
    if (member.fd >= 0) ::close(member.fd);
  }
  ::close(send_fd_);
}

// Binds a new port the first time, and the same port again later.
void Relay::open(RelayedMember& member) const {
  member.fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = test::loopback(member.relay_port);
  CHECK(::bind(member.fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  socklen_t size = sizeof address;
  ::getsockname(member.fd, reinterpret_cast<sockaddr*>(&address), &size);
  member.relay_port = ntohs(address.sin_port);
}

void Relay::set_link(std::size_t from, std::size_t to, const RelayLink& l) {
  const std::lock_guard lock(mutex_);
  links_[{from, to}] = l;
}
void Relay::set_all_links(const RelayLink& l) {
  const std::lock_guard lock(mutex_);
  links_.clear();
  default_link_ = l;
}
void Relay::cut(const std::set<std::size_t>& side) {
  const std::lock_guard lock(mutex_);
  for (std::size_t a = 0; a < members_.size(); ++a) {
    for (std::size_t b = 0; b < members_.size(); ++b) {
      if (side.contains(a) != side.contains(b)) links_[{a, b}].cut = true;
    }
  }
}

void Relay::run() {
  while (!stopping_) {
    std::vector<pollfd> polls;
    for (const RelayedMember& member : members_)
      polls.push_back({member.fd, POLLIN, 0});  // poll ignores a closed one (fd -1)
    polls.push_back({send_fd_, 0, 0});
    int wait_ms = 20;
    if (!delayed_.empty()) {
      const auto left =
          std::chrono::ceil<std::chrono::milliseconds>(delayed_.begin()->first - Steady::now()).count();
      wait_ms = static_cast<int>(std::clamp<std::int64_t>(left, 0, 20));
    }
    ::poll(polls.data(), polls.size(), wait_ms);
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if ((polls[i].revents & POLLIN) != 0) receive(i);
    }
    close_refusing_ports();
    // A closed port is opened again after 50 ms: the process that refused may not have started yet, and if
    // all ports stayed closed, no process could reach another one.
    for (RelayedMember& member : members_) {
      if (member.fd < 0 && Steady::now() - member.closed_at > 50ms) open(member);
    }
    while (!delayed_.empty() && delayed_.begin()->first <= Steady::now()) {
      const DelayedDatagram datagram = std::move(delayed_.begin()->second);
      delayed_.erase(delayed_.begin());
      forward(datagram.from, datagram.to, datagram.bytes);
    }
  }
}

void Relay::receive(std::size_t to) {
  char buffer[2048];
  for (int i = 0; i < 64; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        ::recvfrom(members_[to].fd, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    const std::string bytes(buffer, static_cast<std::size_t>(got));
    const int port = ntohs(from.sin_port);
    std::size_t sender = members_.size();
    for (std::size_t m = 0; m < members_.size(); ++m) {
      if (members_[m].process_port == port) sender = m;
    }
    if (sender == members_.size()) {
      ++counts_.unknown;
      forward(to, to, bytes);
      continue;
    }
    // The sender is running: its port is opened again.
    if (members_[sender].fd < 0) open(members_[sender]);
    RelayLink link;
    {
      const std::lock_guard lock(mutex_);
      const auto it = links_.find({sender, to});
      link = it == links_.end() ? default_link_ : it->second;
    }
    const auto chance = [&](double share) {
      return share > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
    };
    if (link.cut) {
      ++counts_.cut;
      continue;
    }
    if (chance(link.loss)) {
      ++counts_.lost;
      continue;
    }
    const int copies = chance(link.duplication) ? 2 : 1;
    if (copies == 2) ++counts_.duplicated;
    for (int c = 0; c < copies; ++c) {
      if (link.max_delay <= 0us) {
        forward(sender, to, bytes);
        continue;
      }
      ++counts_.delayed;
      const auto wait = std::uniform_int_distribution<std::int64_t>(link.min_delay.count(),
                                                                    link.max_delay.count())(random_);
      delayed_.emplace(Steady::now() + std::chrono::microseconds(wait), DelayedDatagram{sender, to, bytes});
    }
  }
}

void Relay::forward(std::size_t, std::size_t to, const std::string& bytes) {
  const sockaddr_in address = test::loopback(members_[to].process_port);
  // sendto reports the refusal of an earlier datagram and then has sent nothing: the call is repeated.
  for (int i = 0; i < 3; ++i) {
    if (::sendto(send_fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr*>(&address), sizeof address) >= 0)
      break;
  }
  ++counts_.passed;
}

// Closes the ports of processes that are gone, so that the ports refuse as well, until the process sends
// again or 50 ms have passed.
void Relay::close_refusing_ports() {
  for (int i = 0; i < 256; ++i) {
    sockaddr_in to{};
    alignas(cmsghdr) char control[512];
    msghdr message{};
    message.msg_name = &to;
    message.msg_namelen = sizeof to;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    if (::recvmsg(send_fd_, &message, MSG_ERRQUEUE | MSG_DONTWAIT) < 0) return;
    for (RelayedMember& member : members_) {
      if (member.process_port != ntohs(to.sin_port) || member.fd < 0) continue;
      ::close(member.fd);
      member.fd = -1;
      member.closed_at = Steady::now();
      ++counts_.refused;
    }
  }
}

// ---- the rig

namespace {

std::vector<int> free_ports(std::size_t count) {
  std::vector<int> ports;
  for (std::size_t i = 0; i < count; ++i) ports.push_back(test::free_port());
  return ports;
}

std::vector<int> free_udp_ports(std::size_t count) {
  std::vector<test::Socket> sockets;
  std::vector<int> ports;
  for (std::size_t i = 0; i < count; ++i) {
    sockets.push_back(test::Socket::bound(SOCK_DGRAM));
    ports.push_back(sockets.back().port());
  }
  return ports;
}

}  // namespace

ClusterFixture::ClusterFixture(std::string binary, std::size_t size, std::uint64_t seed,
                               std::function<void(std::size_t, json&)> edit)
    : binary_(std::move(binary)),
      seed_(seed),
      edit_(std::move(edit)),
      listen_ports_(free_ports(size)),
      fleet_ports_(free_udp_ports(size)),
      control_ports_(free_ports(size)),
      programs_(size),
      relay_(fleet_ports_, seed) {
  const char* dir = ::getenv("TMPDIR");
  key_file_ = std::string(dir != nullptr ? dir : "/tmp") + "/graniterun-fleet-" + std::to_string(::getpid()) +
              "-" + std::to_string(fleet_ports_.at(0)) + ".key";
  std::mt19937_64 random(seed);
  std::ofstream file(key_file_);
  for (int i = 0; i < 32; ++i) file << std::hex << (random() % 16) << (random() % 16);
  file << '\n';
  file.close();
  thread_ = std::thread([this] { read_events(); });
}

ClusterFixture::~ClusterFixture() {
  stopping_ = true;
  thread_.join();
  for (const std::size_t i : stopped_) programs_[i]->signal(SIGCONT);
  programs_.clear();
  replaced_.clear();
  ::unlink(key_file_.c_str());
}

std::unique_ptr<test::Program> ClusterFixture::launch(std::size_t i, int inherited) {
  json fleet = {{"name", "trail"},
                {"listen", bench::at(fleet_ports_[i])},
                {"advertise", bench::at(relay_.port(i))},
                {"seeds", {bench::at(relay_.port(0)), bench::at(relay_.port(1)), bench::at(relay_.port(2))}},
                {"key_file", key_file_}};
  json deploy = {{"control", {{"listen", bench::at(control_ports_[i])}}}, {"fleet", fleet}};
  if (edit_) edit_(i, deploy);
  json config =
      bench::config_of(bench::at(listen_ports_[i]), {}, static_cast<int>(i), static_cast<int>(size()));
  if (deploy.contains("name_for_tests")) config["name"] = deploy["name_for_tests"];
  deploy.erase("name_for_tests");
  return std::make_unique<test::Program>(binary_, config.dump(), deploy.dump(), inherited);
}

void ClusterFixture::start(std::size_t i) {
  programs_.at(i) = launch(i);
  const std::lock_guard lock(mutex_);
  event_streams_.erase(i);
}

void ClusterFixture::restart_with_held_socket(std::size_t i) {
  kill(i);
  callers_socket_ = test::Socket::bound(SOCK_STREAM);
  listen_ports_[i] = callers_socket_.port();
  programs_.at(i) = launch(i, callers_socket_.descriptor());
}

// The new process has a control port of its own, as on the platform, where it has a second address.
void ClusterFixture::start_successor(std::size_t i) {
  replaced_.push_back(std::move(programs_.at(i)));
  control_ports_[i] = test::free_port();
  programs_.at(i) = launch(i, callers_socket_.descriptor());
  {
    const std::lock_guard lock(mutex_);
    event_streams_.erase(i);
  }
  // Logged by the new process: the old one still has the fleet's port.
  programs_.at(i)->wait_for_log("is taken");
  replaced_.back()->signal(SIGTERM);
}

void ClusterFixture::start_all() {
  for (std::size_t i = 0; i < size(); ++i) start(i);
}

void ClusterFixture::kill(std::size_t i) {
  stopped_.erase(i);
  programs_.at(i).reset();  // SIGKILL
  const std::lock_guard lock(mutex_);
  event_streams_.erase(i);
}
void ClusterFixture::stop(std::size_t i) {
  programs_.at(i)->signal(SIGSTOP);
  stopped_.insert(i);
}
void ClusterFixture::continue_process(std::size_t i) {
  programs_.at(i)->signal(SIGCONT);
  stopped_.erase(i);
}

json ClusterFixture::query_fleet(std::size_t i, const std::string& what) const {
  test::Socket socket = test::Socket::connected(control_ports_.at(i));
  socket.send(json{{"op", "fleet"}, {"what", what}}.dump() + "\n");
  return json::parse(socket.line(), nullptr, false);
}

std::string ClusterFixture::state(std::size_t i, const std::string& member) const {
  for (const json& object : query_fleet(i, "members").value("members", json::array())) {
    if (object.value("name", "") == member) return object.value("state", "");
  }
  return "";
}

bool ClusterFixture::members_agree(const std::set<std::string>& members) const {
  std::optional<std::string> digest;
  for (std::size_t i = 0; i < size(); ++i) {
    if (!up(i)) continue;
    const json view = query_fleet(i, "members");
    if (!view.value("settled", false) || view.value("size", 0U) != members.size()) return false;
    if (digest && *digest != view.value("digest", "")) return false;
    digest = view.value("digest", "");
    for (const json& object : view["members"]) {
      if (members.contains(object.value("name", "")) != (object.value("state", "") == "alive")) return false;
    }
  }
  return true;
}

bool ClusterFixture::agree() const {
  std::set<std::string> members;
  for (std::size_t i = 0; i < size(); ++i) {
    if (up(i)) members.insert("n" + std::to_string(i));
  }
  return members_agree(members);
}

bool ClusterFixture::wait_until(std::chrono::milliseconds timeout, const std::function<bool()>& holds) {
  const auto end = Steady::now() + timeout;
  while (!holds()) {
    if (Steady::now() > end) return false;
    std::this_thread::sleep_for(10ms);
  }
  return true;
}

std::vector<FleetEvent> ClusterFixture::events() const {
  const std::lock_guard lock(mutex_);
  return events_;
}
void ClusterFixture::clear_events() {
  const std::lock_guard lock(mutex_);
  events_.clear();
}

std::uint64_t ClusterFixture::counter(std::size_t i, const std::string& name) {
  const std::size_t before = program(i).log().size();
  program(i).signal(SIGUSR1);
  std::uint64_t value = 0;
  CHECK(wait_until(10s, [&] {
    const std::string text = program(i).log().substr(before);
    // Counters are printed sorted by name: once this one is complete, those of the fleet have been printed.
    if (text.find("net.timers_over_5ms_late ") == std::string::npos || text.back() != '\n') return false;
    const std::size_t at = text.find("\n" + name + " ");
    value = at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size() + 2));
    return true;
  }));
  return value;
}

// Records the fleet events of each process, from the time at which its control listener accepts connections.
void ClusterFixture::read_events() {
  while (!stopping_) {
    std::vector<pollfd> polls;
    std::vector<std::size_t> stream_members;
    {
      const std::lock_guard lock(mutex_);
      for (std::size_t i = 0; i < control_ports_.size(); ++i) {
        EventStream& stream = event_streams_[i];
        if (stream.socket == nullptr) {
          const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
          const sockaddr_in address = test::loopback(control_ports_[i]);
          auto socket = std::make_unique<test::Socket>(fd);
          if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) continue;
          socket->send("{\"op\":\"watch\"}\n");
          stream.socket = std::move(socket);
        }
        polls.push_back({stream.socket->descriptor(), POLLIN, 0});
        stream_members.push_back(i);
      }
    }
    ::poll(polls.data(), polls.size(), 2);
    const std::lock_guard lock(mutex_);
    for (std::size_t p = 0; p < polls.size(); ++p) {
      EventStream& stream = event_streams_[stream_members[p]];
      if ((polls[p].revents & (POLLIN | POLLHUP)) == 0 || stream.socket == nullptr ||
          stream.socket->descriptor() != polls[p].fd)
        continue;
      char buffer[16384];
      const ssize_t got = ::recv(polls[p].fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (got <= 0) {
        stream = {};
        continue;
      }
      stream.partial_line.append(buffer, static_cast<std::size_t>(got));
      for (std::size_t end = stream.partial_line.find('\n'); end != std::string::npos;
           end = stream.partial_line.find('\n')) {
        const json line = json::parse(stream.partial_line.substr(0, end), nullptr, false);
        stream.partial_line.erase(0, end + 1);
        if (!line.is_object() || line.value("event", "") != "fleet") continue;
        events_.push_back({Steady::now(), stream_members[p], line.value("what", ""), line.value("member", ""),
                           line.value("life", std::uint64_t{0})});
      }
    }
  }
}

}  // namespace graniterun::lab
