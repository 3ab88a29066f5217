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
    Side side;
    side.real = r;
    open(side);
    sides_.push_back(side);
  }
  out_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  ::setsockopt(out_, IPPROTO_IP, IP_RECVERR, &on, sizeof on);
  thread_ = std::thread([this] { run(); });
}

Relay::~Relay() {
  ends_ = true;
  thread_.join();
  for (const Side& side : sides_) {
    if (side.fd >= 0) ::close(side.fd);
  }
  ::close(out_);
}

// The same port as before, once it has one.
void Relay::open(Side& side) const {
  side.fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = test::loopback(side.port);
  CHECK(::bind(side.fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  socklen_t size = sizeof address;
  ::getsockname(side.fd, reinterpret_cast<sockaddr*>(&address), &size);
  side.port = ntohs(address.sin_port);
}

void Relay::link(std::size_t from, std::size_t to, const RealLink& l) {
  const std::lock_guard lock(mutex_);
  links_[{from, to}] = l;
}
void Relay::all_links(const RealLink& l) {
  const std::lock_guard lock(mutex_);
  links_.clear();
  usual_ = l;
}
void Relay::cut(const std::set<std::size_t>& side) {
  const std::lock_guard lock(mutex_);
  for (std::size_t a = 0; a < sides_.size(); ++a) {
    for (std::size_t b = 0; b < sides_.size(); ++b) {
      if (side.contains(a) != side.contains(b)) links_[{a, b}].cut = true;
    }
  }
}

void Relay::run() {
  while (!ends_) {
    std::vector<pollfd> polls;
    for (const Side& side : sides_) polls.push_back({side.fd, POLLIN, 0});  // a closed one is passed over
    polls.push_back({out_, 0, 0});
    int wait_ms = 20;
    if (!held_.empty()) {
      const auto left =
          std::chrono::ceil<std::chrono::milliseconds>(held_.begin()->first - Steady::now()).count();
      wait_ms = static_cast<int>(std::clamp<std::int64_t>(left, 0, 20));
    }
    ::poll(polls.data(), polls.size(), wait_ms);
    for (std::size_t i = 0; i < sides_.size(); ++i) {
      if ((polls[i].revents & POLLIN) != 0) take(i);
    }
    look_at_refusals();
    // Tried again before long: a process that refused may only not have started yet, and where all ports are
    // closed nobody could be heard any more.
    for (Side& side : sides_) {
      if (side.fd < 0 && Steady::now() - side.closed > 50ms) open(side);
    }
    while (!held_.empty() && held_.begin()->first <= Steady::now()) {
      const Held h = std::move(held_.begin()->second);
      held_.erase(held_.begin());
      pass(h.from, h.to, h.bytes);
    }
  }
}

void Relay::take(std::size_t to) {
  char buffer[2048];
  for (int i = 0; i < 64; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        ::recvfrom(sides_[to].fd, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    const std::string bytes(buffer, static_cast<std::size_t>(got));
    const int port = ntohs(from.sin_port);
    std::size_t sender = sides_.size();
    for (std::size_t s = 0; s < sides_.size(); ++s) {
      if (sides_[s].real == port) sender = s;
    }
    if (sender == sides_.size()) {
      ++counts_.unknown;
      pass(to, to, bytes);
      continue;
    }
    // Whoever speaks is there: its port is open again.
    if (sides_[sender].fd < 0) open(sides_[sender]);
    RealLink l;
    {
      const std::lock_guard lock(mutex_);
      const auto it = links_.find({sender, to});
      l = it == links_.end() ? usual_ : it->second;
    }
    const auto chance = [&](double share) {
      return share > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
    };
    if (l.cut) {
      ++counts_.cut;
      continue;
    }
    if (chance(l.loss)) {
      ++counts_.lost;
      continue;
    }
    const int copies = chance(l.doubled) ? 2 : 1;
    if (copies == 2) ++counts_.doubled;
    for (int c = 0; c < copies; ++c) {
      if (l.most <= 0us) {
        pass(sender, to, bytes);
        continue;
      }
      ++counts_.delayed;
      const auto wait = std::uniform_int_distribution<std::int64_t>(l.least.count(), l.most.count())(random_);
      held_.emplace(Steady::now() + std::chrono::microseconds(wait), Held{sender, to, bytes});
    }
  }
}

void Relay::pass(std::size_t, std::size_t to, const std::string& bytes) {
  const sockaddr_in address = test::loopback(sides_[to].real);
  // A refusal of an earlier one is told by the next call, which then has sent nothing.
  for (int i = 0; i < 3; ++i) {
    if (::sendto(out_, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&address),
                 sizeof address) >= 0)
      break;
  }
  ++counts_.passed;
}

// The process behind a port is gone: the port refuses too, until it speaks again or for 50 ms.
void Relay::look_at_refusals() {
  for (int i = 0; i < 256; ++i) {
    sockaddr_in to{};
    alignas(cmsghdr) char control[512];
    msghdr message{};
    message.msg_name = &to;
    message.msg_namelen = sizeof to;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    if (::recvmsg(out_, &message, MSG_ERRQUEUE | MSG_DONTWAIT) < 0) return;
    for (Side& side : sides_) {
      if (side.real != ntohs(to.sin_port) || side.fd < 0) continue;
      ::close(side.fd);
      side.fd = -1;
      side.closed = Steady::now();
      ++counts_.refused;
    }
  }
}

// ---- the rig

namespace {

std::vector<int> free_ports(std::size_t count, int type) {
  std::vector<test::Socket> held;
  std::vector<int> ports;
  for (std::size_t i = 0; i < count; ++i) {
    held.push_back(test::Socket::bound(type));
    ports.push_back(held.back().port());
  }
  return ports;
}

}  // namespace

Rig::Rig(std::string binary, std::size_t size, std::uint64_t seed,
         std::function<void(std::size_t, json&)> edit)
    : binary_(std::move(binary)),
      seed_(seed),
      edit_(std::move(edit)),
      listens_(free_ports(size, SOCK_STREAM)),
      ports_(free_ports(size, SOCK_DGRAM)),
      controls_(free_ports(size, SOCK_STREAM)),
      programs_(size),
      relay_(ports_, seed) {
  const char* dir = ::getenv("TMPDIR");
  key_file_ = std::string(dir != nullptr ? dir : "/tmp") + "/graniterun-fleet-" + std::to_string(::getpid()) +
              "-" + std::to_string(ports_.at(0)) + ".key";
  std::mt19937_64 random(seed);
  std::ofstream file(key_file_);
  for (int i = 0; i < 32; ++i) file << std::hex << (random() % 16) << (random() % 16);
  file << '\n';
  file.close();
  thread_ = std::thread([this] { watch(); });
}

Rig::~Rig() {
  ends_ = true;
  thread_.join();
  for (const std::size_t i : stopped_) programs_[i]->signal(SIGCONT);
  programs_.clear();
  replaced_.clear();
  ::unlink(key_file_.c_str());
}

std::unique_ptr<test::Program> Rig::launch(std::size_t i, int inherited) {
  json fleet = {{"name", "trail"},
                {"listen", bench::at(ports_[i])},
                {"advertise", bench::at(relay_.port(i))},
                {"seeds", {bench::at(relay_.port(0)), bench::at(relay_.port(1)), bench::at(relay_.port(2))}},
                {"key_file", key_file_}};
  json deploy = {{"control", {{"listen", bench::at(controls_[i])}}}, {"fleet", fleet}};
  if (edit_) edit_(i, deploy);
  json config = bench::config_of(bench::at(listens_[i]), {}, static_cast<int>(i), static_cast<int>(size()));
  if (deploy.contains("name_for_tests")) config["name"] = deploy["name_for_tests"];
  deploy.erase("name_for_tests");
  return std::make_unique<test::Program>(binary_, config.dump(), deploy.dump(), inherited);
}

void Rig::start(std::size_t i) {
  programs_.at(i) = launch(i);
  const std::lock_guard lock(mutex_);
  watched_.erase(i);
}

void Rig::upgrade_begins(std::size_t i) {
  kill(i);
  held_ = test::Socket::bound(SOCK_STREAM);
  listens_[i] = held_.port();
  programs_.at(i) = launch(i, held_.descriptor());
}

// The new one has a control port of its own, as it has a second address on the platform.
void Rig::upgrade(std::size_t i) {
  replaced_.push_back(std::move(programs_.at(i)));
  controls_[i] = free_ports(1, SOCK_STREAM)[0];
  programs_.at(i) = launch(i, held_.descriptor());
  {
    const std::lock_guard lock(mutex_);
    watched_.erase(i);
  }
  programs_.at(i)->wait_for_log("is taken");  // the fleet's port, by the old one
  replaced_.back()->signal(SIGTERM);
}

void Rig::start_all() {
  for (std::size_t i = 0; i < size(); ++i) start(i);
}

void Rig::kill(std::size_t i) {
  stopped_.erase(i);
  programs_.at(i).reset();  // SIGKILL
  const std::lock_guard lock(mutex_);
  watched_.erase(i);
}
void Rig::stop(std::size_t i) {
  programs_.at(i)->signal(SIGSTOP);
  stopped_.insert(i);
}
void Rig::go_on(std::size_t i) {
  programs_.at(i)->signal(SIGCONT);
  stopped_.erase(i);
}

json Rig::ask(std::size_t i, const std::string& what) const {
  test::Socket socket = test::Socket::connected(controls_.at(i));
  socket.send(json{{"op", "fleet"}, {"what", what}}.dump() + "\n");
  return json::parse(socket.line(), nullptr, false);
}

std::string Rig::state(std::size_t i, const std::string& member) const {
  for (const json& object : ask(i, "members").value("members", json::array())) {
    if (object.value("name", "") == member) return object.value("state", "");
  }
  return "";
}

bool Rig::agree(const std::set<std::string>& members) const {
  std::optional<std::string> digest;
  for (std::size_t i = 0; i < size(); ++i) {
    if (!up(i)) continue;
    const json view = ask(i, "members");
    if (!view.value("settled", false) || view.value("size", 0U) != members.size()) return false;
    if (digest && *digest != view.value("digest", "")) return false;
    digest = view.value("digest", "");
    for (const json& object : view["members"]) {
      if (members.contains(object.value("name", "")) != (object.value("state", "") == "alive")) return false;
    }
  }
  return true;
}

bool Rig::agree() const {
  std::set<std::string> members;
  for (std::size_t i = 0; i < size(); ++i) {
    if (up(i)) members.insert("n" + std::to_string(i));
  }
  return agree(members);
}

bool Rig::until(std::chrono::milliseconds most, const std::function<bool()>& holds) {
  const auto end = Steady::now() + most;
  while (!holds()) {
    if (Steady::now() > end) return false;
    std::this_thread::sleep_for(10ms);
  }
  return true;
}

std::vector<Event> Rig::events() const {
  const std::lock_guard lock(mutex_);
  return events_;
}
void Rig::forget_events() {
  const std::lock_guard lock(mutex_);
  events_.clear();
}

std::uint64_t Rig::counter(std::size_t i, const std::string& name) {
  const std::size_t before = program(i).log().size();
  program(i).signal(SIGUSR1);
  std::uint64_t value = 0;
  CHECK(until(10s, [&] {
    const std::string text = program(i).log().substr(before);
    // The counters are printed in order of names; `servers` and others come after the fleet's.
    if (text.find("net.timers_over_5ms_late ") == std::string::npos || text.back() != '\n') return false;
    const std::size_t at = text.find("\n" + name + " ");
    value = at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size() + 2));
    return true;
  }));
  return value;
}

// Each process is watched from its start on, as soon as it listens.
void Rig::watch() {
  while (!ends_) {
    std::vector<pollfd> polls;
    std::vector<std::size_t> whose;
    {
      const std::lock_guard lock(mutex_);
      for (std::size_t i = 0; i < controls_.size(); ++i) {
        Watched& w = watched_[i];
        if (w.socket == nullptr) {
          const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
          const sockaddr_in address = test::loopback(controls_[i]);
          auto socket = std::make_unique<test::Socket>(fd);
          if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) continue;
          socket->send("{\"op\":\"watch\"}\n");
          w.socket = std::move(socket);
        }
        polls.push_back({w.socket->descriptor(), POLLIN, 0});
        whose.push_back(i);
      }
    }
    ::poll(polls.data(), polls.size(), 2);
    const std::lock_guard lock(mutex_);
    for (std::size_t p = 0; p < polls.size(); ++p) {
      Watched& w = watched_[whose[p]];
      if ((polls[p].revents & (POLLIN | POLLHUP)) == 0 || w.socket == nullptr ||
          w.socket->descriptor() != polls[p].fd)
        continue;
      char buffer[16384];
      const ssize_t got = ::recv(polls[p].fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (got <= 0) {
        w = {};
        continue;
      }
      w.half.append(buffer, static_cast<std::size_t>(got));
      for (std::size_t end = w.half.find('\n'); end != std::string::npos; end = w.half.find('\n')) {
        const json line = json::parse(w.half.substr(0, end), nullptr, false);
        w.half.erase(0, end + 1);
        if (!line.is_object() || line.value("event", "") != "fleet") continue;
        events_.push_back({Steady::now(), whose[p], line.value("what", ""), line.value("member", ""),
                           line.value("life", std::uint64_t{0})});
      }
    }
  }
}

}  // namespace graniterun::lab
