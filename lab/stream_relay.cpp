#include "lab/stream_relay.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <utility>

#include "stand_in.h"

namespace graniterun::lab {
namespace {

constexpr std::size_t kMostPending = 64 * 1024;  // bytes of a way that wait to be written
constexpr std::uint64_t kListener = std::uint64_t{1} << 63;
constexpr std::uint64_t kWake = ~std::uint64_t{0};

int listener() {
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
  epoll_event wake{EPOLLIN, {.u64 = kWake}};
  ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &wake);
  for (const int r : real) {
    Side side;
    side.real = r;
    side.fd = listener();
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(side.fd, reinterpret_cast<sockaddr*>(&address), &size);
    side.port = ntohs(address.sin_port);
    epoll_event event{EPOLLIN, {.u64 = kListener | sides_.size()}};
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, side.fd, &event);
    sides_.push_back(side);
  }
  thread_ = std::thread([this] { run(); });
}

StreamRelay::~StreamRelay() {
  ends_ = true;
  look_again();
  thread_.join();
  while (!pairs_.empty()) end(pairs_.begin()->first, true);
  for (const Side& side : sides_) ::close(side.fd);
  ::close(wake_);
  ::close(epoll_);
}

void StreamRelay::look_again() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = ::write(wake_, &one, sizeof one);
}

void StreamRelay::hold(std::size_t i, Way way, bool on) {
  {
    const std::lock_guard lock(mutex_);
    sides_.at(i).held[way] = on;
  }
  look_again();
}
void StreamRelay::cut(std::size_t i, Way way, bool on) {
  {
    const std::lock_guard lock(mutex_);
    sides_.at(i).cut[way] = on;
    healed_ = healed_ || !on;
  }
  look_again();
}
void StreamRelay::cut_all() {
  const std::lock_guard lock(mutex_);
  for (Side& s : sides_) s.cut = {true, true};
}
void StreamRelay::heal() {
  {
    const std::lock_guard lock(mutex_);
    for (Side& s : sides_) s.cut = s.held = {};
    healed_ = true;
  }
  look_again();
}

void StreamRelay::run() {
  std::array<epoll_event, 256> events;
  while (!ends_) {
    const int count = ::epoll_wait(epoll_, events.data(), events.size(), 1000);
    const std::lock_guard lock(mutex_);
    for (int i = 0; i < count; ++i) {
      const std::uint64_t of = events[static_cast<std::size_t>(i)].data.u64;
      if (of == kWake) {
        std::uint64_t all = 0;
        [[maybe_unused]] const auto got = ::read(wake_, &all, sizeof all);
        const bool healed = std::exchange(healed_, false);
        for (auto it = pairs_.begin(); it != pairs_.end();) {
          const auto next = std::next(it);
          const Side& s = sides_[it->second.side];
          if (healed && it->second.spoilt && !s.cut[there] && !s.cut[back])
            end(it->first, true);
          else
            serve(it->first, it->second);
          it = next;
        }
      } else if ((of & kListener) != 0) {
        accept(of & ~kListener);
      } else if (const auto it = pairs_.find(of >> 1); it != pairs_.end()) {
        Pair& pair = it->second;
        if (pair.connecting && (of & 1) != 0) {
          int error = 0;
          socklen_t size = sizeof error;
          ::getsockopt(pair.fds[1], SOL_SOCKET, SO_ERROR, &error, &size);
          if (error != 0) {
            end(it->first, true);
            continue;
          }
          pair.connecting = false;
        }
        const auto what = events[static_cast<std::size_t>(i)].events;
        if ((what & EPOLLERR) != 0 || ((what & EPOLLHUP) != 0 && (what & EPOLLIN) == 0)) {
          end(it->first, true);
          continue;
        }
        serve(it->first, pair);
      }
    }
  }
}

void StreamRelay::accept(std::size_t side) {
  for (int i = 0; i < 64; ++i) {
    const int fd = ::accept4(sides_[side].fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0) return;
    ++counts_.connections;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    Pair pair;
    pair.side = side;
    pair.fds[0] = fd;
    if (sides_[side].cut[there] || sides_[side].cut[back]) {
      pair.spoilt = true;  // the real one never hears of it
      ++counts_.cut_off;
    } else {
      pair.fds[1] = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      ::setsockopt(pair.fds[1], IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const sockaddr_in address = test::loopback(sides_[side].real);
      pair.connecting = true;
      if (::connect(pair.fds[1], reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
          errno != EINPROGRESS) {
        ::close(pair.fds[1]);
        ::close(fd);
        continue;
      }
    }
    const std::uint64_t id = ++last_;
    Pair& kept = pairs_.emplace(id, std::move(pair)).first->second;
    watch(id, kept, true);
  }
}

// False: the connection is of no more use.
bool StreamRelay::move(Pair& pair, Way way) {
  const int from = pair.fds[way == there ? 0 : 1];
  const int to = pair.fds[way == there ? 1 : 0];
  const Side& side = sides_[pair.side];
  std::string& pending = pair.pending[way];
  if (from < 0) return true;
  std::array<char, 16384> buffer;
  for (int turn = 0; turn < 8; ++turn) {
    if (side.cut[way] || pair.spoilt) {
      counts_.cut += pending.size();
      if (!pending.empty() && !std::exchange(pair.spoilt, true)) ++counts_.cut_off;
      pending.clear();
    }
    while (!pending.empty() && to >= 0 && !pair.connecting && !side.held[way]) {
      const ssize_t sent = ::send(to, pending.data(), pending.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno != EAGAIN) return false;
      if (sent <= 0) break;
      counts_.passed += static_cast<std::uint64_t>(sent);
      pending.erase(0, static_cast<std::size_t>(sent));
    }
    if (pair.ended[way] || pending.size() >= kMostPending) break;
    const ssize_t got = ::recv(from, buffer.data(), buffer.size(), 0);
    if (got < 0) {
      if (errno != EAGAIN) return false;
      break;
    }
    if (got == 0) {
      pair.ended[way] = true;
      break;
    }
    if (side.held[way]) ++counts_.held_back;
    pending.append(buffer.data(), static_cast<std::size_t>(got));
  }
  // Its end is passed on once all is written; in a cut it stays unheard.
  if (pair.ended[way] && pending.empty() && (to < 0 || pair.spoilt)) return false;
  if (pair.ended[way] && pending.empty() && !side.cut[way] && !side.held[way]) return false;
  return true;
}

void StreamRelay::serve(std::uint64_t id, Pair& pair) {
  if (!move(pair, there) || !move(pair, back)) return end(id, pair.spoilt);
  watch(id, pair, false);
}

void StreamRelay::watch(std::uint64_t id, Pair& pair, bool fresh) {
  for (std::size_t i = 0; i < 2; ++i) {
    if (pair.fds[i] < 0) continue;
    const Way in = i == 0 ? there : back;
    const Way out = i == 0 ? back : there;
    std::uint32_t events = 0;
    if (!pair.ended[in] && pair.pending[in].size() < kMostPending) events |= EPOLLIN;
    const bool held = sides_[pair.side].held[out];
    if ((!pair.pending[out].empty() && !held) || (i == 1 && pair.connecting)) events |= EPOLLOUT;
    if (!fresh && events == pair.looked[i]) continue;
    pair.looked[i] = events;
    epoll_event event{events, {.u64 = id << 1 | i}};
    ::epoll_ctl(epoll_, fresh ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, pair.fds[i], &event);
  }
}

void StreamRelay::end(std::uint64_t id, bool reset) {
  const auto it = pairs_.find(id);
  for (const int fd : it->second.fds) {
    if (fd < 0) continue;
    const linger hard{1, 0};
    if (reset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(fd);
  }
  pairs_.erase(it);
}

}  // namespace graniterun::lab
