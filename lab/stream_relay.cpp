#include "lab/stream_relay.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <utility>

#include "stand_in.h"

namespace graniterun::lab {
namespace {

// Bytes of one direction of a connection that are read and not written yet.
constexpr std::size_t kMaxPendingBytes = 64 * 1024;
constexpr std::uint64_t kListenerEvent = std::uint64_t{1} << 63;
constexpr std::uint64_t kWakeEvent = ~std::uint64_t{0};

int open_listener() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = test::loopback(0);
  CHECK(::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  CHECK(::listen(fd, 4096) == 0);
  return fd;
}

}  // namespace

StreamRelay::StreamRelay(std::vector<int> real) {
  epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
  wake_ = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  epoll_event wake{EPOLLIN, {.u64 = kWakeEvent}};
  ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &wake);
  for (const int server_port : real) {
    RelayedServer server;
    server.server_port = server_port;
    server.fd = open_listener();
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(server.fd, reinterpret_cast<sockaddr*>(&address), &size);
    server.relay_port = ntohs(address.sin_port);
    epoll_event event{EPOLLIN, {.u64 = kListenerEvent | servers_.size()}};
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, server.fd, &event);
    servers_.push_back(server);
  }
  thread_ = std::thread([this] { run(); });
}

StreamRelay::~StreamRelay() {
  stopping_ = true;
  wake_up();
  thread_.join();
  while (!connections_.empty()) close_connection(connections_.begin()->first, true);
  for (const RelayedServer& server : servers_) ::close(server.fd);
  ::close(wake_);
  ::close(epoll_);
}

void StreamRelay::wake_up() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = ::write(wake_, &one, sizeof one);
}

void StreamRelay::set_hold(std::size_t i, Direction way, bool on) {
  {
    const std::lock_guard lock(mutex_);
    servers_.at(i).held[way] = on;
  }
  wake_up();
}
void StreamRelay::set_cut(std::size_t i, Direction way, bool on) {
  {
    const std::lock_guard lock(mutex_);
    servers_.at(i).cut[way] = on;
    healed_ = healed_ || !on;
  }
  wake_up();
}
void StreamRelay::cut_all() {
  const std::lock_guard lock(mutex_);
  for (RelayedServer& server : servers_) server.cut = {true, true};
}
void StreamRelay::heal() {
  {
    const std::lock_guard lock(mutex_);
    for (RelayedServer& server : servers_) server.cut = server.held = {};
    healed_ = true;
  }
  wake_up();
}

void StreamRelay::run() {
  std::array<epoll_event, 256> events;
  while (!stopping_) {
    const int count = ::epoll_wait(epoll_, events.data(), events.size(), 1000);
    const std::lock_guard lock(mutex_);
    for (int i = 0; i < count; ++i) {
      const std::uint64_t tag = events[static_cast<std::size_t>(i)].data.u64;
      if (tag == kWakeEvent) {
        std::uint64_t wakeups = 0;
        [[maybe_unused]] const auto got = ::read(wake_, &wakeups, sizeof wakeups);
        const bool healed = std::exchange(healed_, false);
        for (auto it = connections_.begin(); it != connections_.end();) {
          const auto next = std::next(it);
          const RelayedServer& server = servers_[it->second.server_index];
          if (healed && it->second.lost_bytes && !server.cut[to_server] && !server.cut[to_client])
            close_connection(it->first, true);
          else
            process(it->first, it->second);
          it = next;
        }
      } else if ((tag & kListenerEvent) != 0) {
        accept(tag & ~kListenerEvent);
      } else if (const auto it = connections_.find(tag >> 1); it != connections_.end()) {
        Connection& connection = it->second;
        if (connection.connecting && (tag & 1) != 0) {
          int error = 0;
          socklen_t size = sizeof error;
          ::getsockopt(connection.fds[1], SOL_SOCKET, SO_ERROR, &error, &size);
          if (error != 0) {
            close_connection(it->first, true);
            continue;
          }
          connection.connecting = false;
        }
        const auto event_mask = events[static_cast<std::size_t>(i)].events;
        if ((event_mask & EPOLLERR) != 0 || ((event_mask & EPOLLHUP) != 0 && (event_mask & EPOLLIN) == 0)) {
          close_connection(it->first, true);
          continue;
        }
        process(it->first, connection);
      }
    }
  }
}

void StreamRelay::accept(std::size_t server_index) {
  for (int i = 0; i < 64; ++i) {
    const int fd = ::accept4(servers_[server_index].fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0) return;
    ++counts_.connections;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    Connection connection;
    connection.server_index = server_index;
    connection.fds[0] = fd;
    if (servers_[server_index].cut[to_server] || servers_[server_index].cut[to_client]) {
      connection.lost_bytes = true;  // no connection to the server is opened
      ++counts_.damaged_connections;
    } else {
      connection.fds[1] = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      ::setsockopt(connection.fds[1], IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const sockaddr_in address = test::loopback(servers_[server_index].server_port);
      connection.connecting = true;
      if (::connect(connection.fds[1], reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
          errno != EINPROGRESS) {
        ::close(connection.fds[1]);
        ::close(fd);
        continue;
      }
    }
    const std::uint64_t id = ++last_id_;
    Connection& added = connections_.emplace(id, std::move(connection)).first->second;
    update_epoll(id, added, true);
  }
}

// Forwards bytes of one direction; false if the connection is to be closed.
bool StreamRelay::forward(Connection& connection, Direction way) {
  const int from = connection.fds[way == to_server ? 0 : 1];
  const int to = connection.fds[way == to_server ? 1 : 0];
  const RelayedServer& server = servers_[connection.server_index];
  std::string& pending = connection.pending[way];
  if (from < 0) return true;
  std::array<char, 16384> buffer;
  for (int round = 0; round < 8; ++round) {
    if (server.cut[way] || connection.lost_bytes) {
      counts_.dropped_bytes += pending.size();
      if (!pending.empty() && !std::exchange(connection.lost_bytes, true)) ++counts_.damaged_connections;
      pending.clear();
    }
    while (!pending.empty() && to >= 0 && !connection.connecting && !server.held[way]) {
      const ssize_t sent = ::send(to, pending.data(), pending.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno != EAGAIN) return false;
      if (sent <= 0) break;
      counts_.forwarded_bytes += static_cast<std::uint64_t>(sent);
      pending.erase(0, static_cast<std::size_t>(sent));
    }
    if (connection.ended[way] || pending.size() >= kMaxPendingBytes) break;
    const ssize_t got = ::recv(from, buffer.data(), buffer.size(), 0);
    if (got < 0) {
      if (errno != EAGAIN) return false;
      break;
    }
    if (got == 0) {
      connection.ended[way] = true;
      break;
    }
    if (server.held[way]) ++counts_.held_back;
    pending.append(buffer.data(), static_cast<std::size_t>(got));
  }
  // The end of the stream is forwarded when all bytes are written, but not during a cut or a hold.
  if (connection.ended[way] && pending.empty() && (to < 0 || connection.lost_bytes)) return false;
  if (connection.ended[way] && pending.empty() && !server.cut[way] && !server.held[way]) return false;
  return true;
}

void StreamRelay::process(std::uint64_t id, Connection& connection) {
  if (!forward(connection, to_server) || !forward(connection, to_client))
    return close_connection(id, connection.lost_bytes);
  update_epoll(id, connection, false);
}

void StreamRelay::update_epoll(std::uint64_t id, Connection& connection, bool is_new) {
  for (std::size_t i = 0; i < 2; ++i) {
    if (connection.fds[i] < 0) continue;
    const Direction in = i == 0 ? to_server : to_client;
    const Direction out = i == 0 ? to_client : to_server;
    std::uint32_t events = 0;
    if (!connection.ended[in] && connection.pending[in].size() < kMaxPendingBytes) events |= EPOLLIN;
    const bool held = servers_[connection.server_index].held[out];
    if ((!connection.pending[out].empty() && !held) || (i == 1 && connection.connecting)) events |= EPOLLOUT;
    if (!is_new && events == connection.event_masks[i]) continue;
    connection.event_masks[i] = events;
    epoll_event event{events, {.u64 = id << 1 | i}};
    ::epoll_ctl(epoll_, is_new ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, connection.fds[i], &event);
  }
}

void StreamRelay::close_connection(std::uint64_t id, bool reset) {
  const auto it = connections_.find(id);
  for (const int fd : it->second.fds) {
    if (fd < 0) continue;
    const linger reset_on_close{1, 0};
    if (reset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    ::close(fd);
  }
  connections_.erase(it);
}

}  // namespace graniterun::lab
