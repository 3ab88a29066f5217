#include "net/runtime.h"

#include <gio/gio.h>
#include <glib-unix.h>
#include <linux/errqueue.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>

#include "net/ring.h"

namespace graniterun::net {
namespace {

struct Unref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
template <class T>
using Owned = std::unique_ptr<T, Unref>;

// The text of a GError, which is freed.
std::string text_of(GError* error) {
  std::string text = error != nullptr ? error->message : "unknown error";
  g_clear_error(&error);
  return text;
}

Owned<GSocketAddress> address_of(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return nullptr;
  const int port = std::atoi(text.c_str() + colon + 1);
  return Owned<GSocketAddress>(
      g_inet_socket_address_new_from_string(text.substr(0, colon).c_str(), static_cast<guint>(port)));
}

std::string text_of(GSocketAddress* address) {
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  gchar* host = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  std::string text = std::string(host) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
  g_free(host);
  return text;
}

// GIO's own source of a socket wakes the loop by a write to itself each time it is dispatched, which cost
// more than the message that had come; the descriptor's does not where it may be entered again. The loop is
// never run within itself, so it isn't: but GLib takes any other source's descriptor out of the loop while it
// is dispatched, by two writes, a read and a turn for nothing.
GSource* watch(int descriptor, GIOCondition condition) {
  GSource* source = g_unix_fd_source_new(descriptor, condition);
  g_source_set_can_recurse(source, TRUE);
  return source;
}

// Told of a socket that is watched for anything.
constexpr std::uint32_t kErrorEvents = EPOLLERR | EPOLLHUP;
// So many connections at one turn of the loop; timers are looked at between.
constexpr int kMaxEventsPerTurn = 256;

// A source of the running thread's loop that ends with its owner.
class Source {
 public:
  Source() = default;
  Source(Source&& other) noexcept : source_(std::exchange(other.source_, nullptr)) {}
  Source& operator=(Source&& other) noexcept {
    std::swap(source_, other.source_);
    return *this;
  }
  ~Source() { end(); }
  template <class Callback>
  void start(GSource* source, Callback callback, gpointer data, int priority = G_PRIORITY_DEFAULT) {
    end();
    source_ = source;
    g_source_set_callback(source_, reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(callback)),
                          data, nullptr);
    g_source_set_priority(source_, priority);
    g_source_attach(source_, g_main_context_get_thread_default());
  }
  void end() {
    if (source_ == nullptr) return;
    g_source_destroy(source_);
    g_source_unref(source_);
    source_ = nullptr;
  }
  bool running() const { return source_ != nullptr; }
  GSource* get() const { return source_; }

 private:
  GSource* source_ = nullptr;
};

}  // namespace

Time clock_now() {
  using std::chrono::duration_cast;
  using std::chrono::steady_clock;
  using std::chrono::system_clock;
  static const Duration kOffset = duration_cast<Duration>(system_clock::now().time_since_epoch()) -
                                  duration_cast<Duration>(steady_clock::now().time_since_epoch());
  return Time(duration_cast<Duration>(steady_clock::now().time_since_epoch()) + kOffset);
}

namespace {

sigset_t watched_signals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : {SIGTERM, SIGHUP, SIGUSR1}) sigaddset(&set, number);
  return set;
}

}  // namespace

void block_signals() {
  const sigset_t set = watched_signals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

bool is_listening_tcp(int descriptor) {
  const auto option = [descriptor](int level, int name) {
    int value = -1;
    socklen_t size = sizeof value;
    return getsockopt(descriptor, level, name, &value, &size) == 0 ? value : -1;
  };
  const int domain = option(SOL_SOCKET, SO_DOMAIN);
  return option(SOL_SOCKET, SO_TYPE) == SOCK_STREAM && option(SOL_SOCKET, SO_ACCEPTCONN) == 1 &&
         (domain == AF_INET || domain == AF_INET6);
}

class Runtime::Impl {
 public:
  Impl(RuntimeLimits limits, Logger logger) : limits_(limits), logger_(logger) {}

  ~Impl() {
    connections_.clear();
    if (poll_ >= 0) ::close(poll_);
  }

  int run(Reducer reducer) {
    reducer_ = std::move(reducer);
    g_main_context_push_thread_default(context_.get());
    loop_ = g_main_loop_new(context_.get(), FALSE);
    Source term;
    Source user;
    Source hangup;
    Source tick;
    Source sockets;
    // A timer's source: made ready at the earliest due time. Timers go before reading, or a flood of input
    // would make deadlines late.
    static GSourceFuncs functions = {nullptr, nullptr, &Impl::dispatch_tick, nullptr, nullptr, nullptr};
    tick.start(g_source_new(&functions, sizeof(GSource)), &Impl::on_tick, this, G_PRIORITY_HIGH);
    tick_ = tick.get();
    poll_ = epoll_create1(EPOLL_CLOEXEC);
    if (poll_ < 0) {
      logger_.line(Level::error, "there is no descriptor to watch connections by");
      g_main_loop_unref(loop_);
      g_main_context_pop_thread_default(context_.get());
      tick_ = nullptr;
      return 1;
    }
    sockets.start(watch(poll_, G_IO_IN), &Impl::on_sockets, this);
    if (limits_.signals) {
      term.start(g_unix_signal_source_new(SIGTERM), &Impl::on_term, this);
      user.start(g_unix_signal_source_new(SIGUSR1), &Impl::on_user, this);
      hangup.start(g_unix_signal_source_new(SIGHUP), &Impl::on_hangup, this);
      const sigset_t held = watched_signals();
      pthread_sigmask(SIG_UNBLOCK, &held, nullptr);
    }
    step(Started{});
    if (!status_) g_main_loop_run(loop_);
    g_main_loop_unref(loop_);
    g_main_context_pop_thread_default(context_.get());
    tick_ = nullptr;
    return status_.value_or(0);
  }

  RuntimeCounters counters;

 private:
  struct Listener;
  struct Connection {
    Connection(Impl& owner, ConnId conn, Owned<GSocket> own, const RuntimeLimits& limits)
        : impl(owner), id(conn), socket(std::move(own)), in(limits.inbound), out(limits.outbound) {}
    Impl& impl;
    ConnId id;
    Owned<GSocket> socket;
    Ring in;
    Ring out;
    // What it is watched for. Connections stand behind one descriptor of GLib's loop: as sources of their own
    // each turn of the loop went through all of them, however few had anything to say.
    std::uint32_t reading = 0;
    bool writing = false;
    std::uint32_t watched = 0;  // as the kernel has it
    std::uint64_t token = 0;    // by which it is told of; no other connection ever has it
    Time connect_due{};
    bool connected = false;
    bool closing = false;
    bool write_closed = false;  // all is written and said to be: what still comes is read and dropped
    std::size_t discarded_bytes = 0;
    struct Ticketed {  // a message that is to be counted, and may be recalled
      std::uint64_t ticket;
      std::uint64_t begin;  // both in `sent`
      std::uint64_t end;
    };
    std::uint64_t sent = 0;           // bytes handed to `out` since the start, but for those recalled
    std::deque<Ticketed> ticketed{};  // those not written whole, in order
    Listener* from = nullptr;         // it was accepted there
    bool peer_closed = false;         // the other side has closed, or its half
    bool reading_paused = false;      // nothing is read from it until more is written to it
    bool unread_check_armed = false;  // a timer looks whether its other side reads
    std::uint64_t taken = 0;          // by the other side, at the last look
    std::uint64_t written() const { return sent - out.size(); }
    ~Connection() {
      reading = 0;
      writing = false;
      impl.update_watch(*this);
      impl.by_token_.erase(token);
      impl.outbound_ -= out.size();
      if (from != nullptr) --from->open;
    }
  };
  struct Listener {
    Impl& impl;
    Concern concern;
    Owned<GSocket> socket;
    Source source;
    std::size_t reserved_connections = 0;
    std::size_t open = 0;  // accepted there and not closed yet
    bool exclusive = false;
    bool stopped = false;  // it takes no more connections
  };
  struct Timer {
    Time at;
    std::uint64_t order;
    TimerKey key;
    bool operator>(const Timer& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  // ---- the loop's callbacks
  static gboolean dispatch_tick(GSource*, GSourceFunc callback, gpointer data) { return callback(data); }
  static gboolean on_tick(gpointer data) {
    static_cast<Impl*>(data)->fire();
    return G_SOURCE_CONTINUE;
  }
  static gboolean on_term(gpointer data) {
    static_cast<Impl*>(data)->step(StopRequested{});
    return G_SOURCE_CONTINUE;
  }
  static gboolean on_user(gpointer data) {
    static_cast<Impl*>(data)->step(CountersRequested{});
    return G_SOURCE_CONTINUE;
  }
  static gboolean on_hangup(gpointer data) {
    static_cast<Impl*>(data)->step(ReloadRequested{});
    return G_SOURCE_CONTINUE;
  }
  static gboolean on_acceptable(gint, GIOCondition, gpointer data) {
    auto* listener = static_cast<Listener*>(data);
    listener->impl.accept(*listener);
    return G_SOURCE_CONTINUE;
  }
  static gboolean on_datagram(gint, GIOCondition, gpointer data) {
    auto* listener = static_cast<Listener*>(data);
    listener->impl.receive_datagrams(*listener);
    return G_SOURCE_CONTINUE;
  }
  static gboolean on_sockets(gint, GIOCondition, gpointer data) {
    static_cast<Impl*>(data)->sockets_ready();
    return G_SOURCE_CONTINUE;
  }

  // Tells the kernel what the connection is to be watched for, where that has changed.
  void update_watch(Connection& connection) {
    const std::uint32_t wanted = connection.reading | (connection.writing ? std::uint32_t{EPOLLOUT} : 0U);
    if (wanted == connection.watched) return;
    if (connection.token == 0) by_token_.emplace(connection.token = ++last_token_, &connection);
    epoll_event event{};
    event.events = wanted;
    event.data.u64 = connection.token;
    const int what = connection.watched == 0 ? EPOLL_CTL_ADD : wanted == 0 ? EPOLL_CTL_DEL : EPOLL_CTL_MOD;
    const bool done = epoll_ctl(poll_, what, g_socket_get_fd(connection.socket.get()), &event) == 0;
    if (!done && wanted != 0) {  // no memory for it: nothing would ever be told of it
      logger_.line(Level::error, "a connection can't be watched: it is closed");
      broken_.push_back(connection.id);
    }
    connection.watched = wanted;
  }
  void sockets_ready() {
    epoll_event events[kMaxEventsPerTurn];
    const int count = epoll_wait(poll_, events, kMaxEventsPerTurn, 0);
    // The oldest ones first, as the loop has it with its own sources. The kernel puts who was heard last turn
    // ahead of who has just spoken: a set-up then waited for two rounds of callers that flood.
    std::sort(events, events + std::max(0, count), [](const epoll_event& left, const epoll_event& right) {
      return left.data.u64 < right.data.u64;
    });
    for (int i = 0; i < count && !status_; ++i) {
      // What came before in this turn may have ended it, or changed what it is watched for.
      const std::uint32_t told = events[i].events;
      if (const auto it = by_token_.find(events[i].data.u64); it != by_token_.end()) {
        const Connection& connection = *it->second;
        if (connection.reading != 0 && (told & (connection.reading | kErrorEvents)) != 0)
          readable(connection.id, (told & connection.reading & EPOLLRDHUP) != 0);
      }
      if (const auto it = by_token_.find(events[i].data.u64); it != by_token_.end()) {
        const Connection& connection = *it->second;
        if (connection.writing && (told & (EPOLLOUT | kErrorEvents)) != 0) writable(connection.id);
      }
    }
  }

  // ---- events in, effects out
  void step(const Event& event) {
    Effects effects;
    reducer_(clock_now(), event, effects);
    for (Effect& effect : effects) {
      if (status_) break;
      std::visit([this](auto& notice) { carry_out(notice); }, effect);
    }
    // One write for all that a step sends on a connection.
    for (const ConnId id : std::exchange(dirty_, {})) flush(id);
    for (const ConnId id : std::exchange(broken_, {})) lose(id, true);
  }

  void carry_out(const Listen& e) {
    if (e.inherited) return listen_on_inherited(e);
    listen(e, G_SOCKET_TYPE_STREAM);
  }
  void carry_out(const Bind& e) {
    Listen wanted{e.concern, e.address};
    if (e.exclusive) wanted.required = false;
    if (listen(wanted, G_SOCKET_TYPE_DATAGRAM, e.exclusive)) {
      if (!e.exclusive) return;
      listeners_.back()->exclusive = true;
      g_socket_set_option(listeners_.back()->socket.get(), IPPROTO_IP, IP_RECVERR, 1, nullptr);
      defer_event(Bound{e.concern});
    } else if (e.exclusive) {
      defer_event(BindFailed{e.concern});
    }
  }
  void carry_out(const Unbind& e) {
    std::erase_if(listeners_, [&](const auto& l) {
      return l->concern == e.concern && g_socket_get_socket_type(l->socket.get()) == G_SOCKET_TYPE_DATAGRAM;
    });
  }
  void carry_out(const StopListening& e) {
    for (auto& listener : listeners_) {
      if (listener->concern != e.concern) continue;
      listener->stopped = true;
      listener->source.end();
    }
  }

  void listen_on_inherited(const Listen& e) {
    GError* error = nullptr;
    Owned<GSocket> socket(g_socket_new_from_fd(*e.inherited, &error));
    if (socket == nullptr) {
      logger_.line(Level::error, "cannot use the inherited socket: " + text_of(error));
      return carry_out(Exit{1});
    }
    g_socket_set_blocking(socket.get(), FALSE);
    watch_listener(e, std::move(socket), G_SOCKET_TYPE_STREAM);
  }

  void watch_listener(const Listen& e, Owned<GSocket> socket, GSocketType type) {
    auto listener =
        std::make_unique<Listener>(Listener{*this, e.concern, std::move(socket), {}, e.reserved_connections});
    if (type == G_SOCKET_TYPE_STREAM) {
      watch_accepting(*listener);
    } else {
      listener->source.start(watch(g_socket_get_fd(listener->socket.get()), G_IO_IN), &Impl::on_datagram,
                             listener.get());
    }
    listeners_.push_back(std::move(listener));
  }
  void watch_accepting(Listener& listener) {
    listener.source.start(watch(g_socket_get_fd(listener.socket.get()), G_IO_IN), &Impl::on_acceptable,
                          &listener);
  }

  // Whether it listens. One that is exclusive is tried again by whoever wants it, and says so itself.
  bool listen(const Listen& wanted, GSocketType type, bool exclusive = false) {
    const bool stream = type == G_SOCKET_TYPE_STREAM;
    GError* error = nullptr;
    const auto address = address_of(wanted.address);
    Owned<GSocket> socket(address == nullptr ? nullptr
                                             : g_socket_new(g_socket_address_get_family(address.get()), type,
                                                            G_SOCKET_PROTOCOL_DEFAULT, &error));
    if (socket != nullptr) {
      g_socket_set_blocking(socket.get(), FALSE);
      g_socket_set_listen_backlog(socket.get(), 512);
      if (g_socket_bind(socket.get(), address.get(), exclusive ? FALSE : TRUE, &error) &&
          (!stream || g_socket_listen(socket.get(), &error))) {
        watch_listener(wanted, std::move(socket), type);
        return true;
      }
    }
    if (exclusive && address != nullptr) {
      g_clear_error(&error);
      return false;
    }
    logger_.line(Level::error, "cannot listen on " + wanted.address + ": " +
                                   (address == nullptr ? "not an address" : text_of(error)));
    if (wanted.required) carry_out(Exit{1});
    return false;
  }

  // Who comes while there is no room waits in the listener's queue. Taken and closed at once, a caller's
  // request was lost with the connection; left readable, a listener without a descriptor to take its caller
  // with kept the loop spinning.
  void accept(Listener& listener) {
    for (std::size_t i = 0; i < limits_.accepted_from_each; ++i) {
      if (listener.reserved_connections == 0 && accepted_in_common() >= limits_.connections)
        return pause_accepting(listener);
      GError* error = nullptr;
      Owned<GSocket> socket(g_socket_accept(listener.socket.get(), nullptr, &error));
      if (socket == nullptr) {
        const bool none_left = !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
        g_clear_error(&error);
        if (!none_left) return;
        ++counters.no_descriptor;
        return pause_accepting(listener);
      }
      if (listener.reserved_connections > 0 && listener.open >= listener.reserved_connections) {
        ++counters.rejected;
        continue;
      }
      ++counters.accepted;
      const ConnId id{listener.concern, ++last_accepted_};
      adopt(id, std::move(socket), listener);
      step(Accepted{id});
      // What came with it is read before the next one is taken: where only a few may wait, the newest push
      // out the oldest, and one that has asked is not to be among those.
      if (listener.reserved_connections > 0) read(id);
    }
  }
  std::size_t accepted_in_common() const {
    std::size_t all = 0;
    for (const auto& listener : listeners_) all += listener->reserved_connections > 0 ? 0 : listener->open;
    return all;
  }
  void pause_accepting(Listener& listener) {
    ++counters.accept_paused;
    listener.source.end();
    arm(Timer{clock_now() + kAcceptPause, ++timer_order_, {listener.concern, kAcceptTimer}});
  }
  void resume_accepting(Concern concern) {
    for (const auto& listener : listeners_) {
      if (listener->concern == concern && !listener->stopped && !listener->source.running())
        watch_accepting(*listener);
    }
  }

  void adopt(ConnId id, Owned<GSocket> socket, Listener& from) {
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    auto c = std::make_unique<Connection>(*this, id, std::move(socket), limits_);
    c->connected = true;
    c->from = &from;
    ++from.open;
    resume_reading(*c);
    connections_.insert_or_assign(id, std::move(c));
  }

  // A caller's end (EPOLLRDHUP) is looked for beside what it sends, until it is told: it is news though much
  // else has come before it, or though nothing is read from the connection for now.
  void resume_reading(Connection& connection) {
    if (connection.reading != 0 && !connection.reading_paused) return;
    connection.reading_paused = false;
    const bool told = connection.from == nullptr || connection.peer_closed;
    connection.reading = told ? EPOLLIN : EPOLLIN | EPOLLRDHUP;
    update_watch(connection);
  }
  void pause_reading(Connection& connection) {
    if (connection.reading_paused || connection.peer_closed) return;
    connection.reading_paused = true;
    connection.reading = connection.from == nullptr ? 0U : std::uint32_t{EPOLLRDHUP};
    update_watch(connection);
  }
  void readable(ConnId id, bool peer_closed) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    Connection& connection = *it->second;
    if (peer_closed && !connection.peer_closed) {
      connection.peer_closed = true;
      // What it did not read keeps nothing back any more: the rest of what it sent is read to its end.
      connection.reading_paused = true;
      resume_reading(connection);
      if (!connection.closing) step(PeerClosed{id});
    }
    read(id);
  }

  void carry_out(const Connect& e) {
    const auto address = address_of(e.address);
    if (address == nullptr) return defer_event(ConnectFailed{e.conn, true});
    GError* error = nullptr;
    Owned<GSocket> socket(g_socket_new(g_socket_address_get_family(address.get()), G_SOCKET_TYPE_STREAM,
                                       G_SOCKET_PROTOCOL_TCP, &error));
    if (socket == nullptr) return no_connection(e.conn, error);
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    const bool done = g_socket_connect(socket.get(), address.get(), nullptr, &error);
    if (!done && !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) return no_connection(e.conn, error);
    g_clear_error(&error);
    auto c = std::make_unique<Connection>(*this, e.conn, std::move(socket), limits_);
    c->connect_due = clock_now() + e.timeout;
    c->writing = true;
    update_watch(*c);
    arm(Timer{c->connect_due, ++timer_order_, connect_key(e.conn)});
    connections_.insert_or_assign(e.conn, std::move(c));
  }

  // Why there is none: the other side's refusal, or a want of descriptors or ports here. Taken for a refusal,
  // that once told that a setup server had died, and its standing calls were given up.
  void no_connection(ConnId id, GError* error) {
    const bool refused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
    const bool reached = refused || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
                         g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE) ||
                         g_error_matches(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT);
    if (!reached) {
      ++counters.no_descriptor;
      logger_.line(Level::warning,
                   "no connection can be made: " + std::string(error != nullptr ? error->message : ""));
    }
    g_clear_error(&error);
    defer_event(ConnectFailed{id, refused, !reached});
  }

  // The runtime's own timers stand under a concern's number with the top bit set.
  static constexpr std::uint64_t kConnectTimer = std::uint64_t{1} << 63;
  static constexpr std::uint64_t kCloseTimer = kConnectTimer | std::uint64_t{1} << 62;
  static constexpr std::uint64_t kAcceptTimer = kConnectTimer | std::uint64_t{1} << 61;
  static constexpr std::uint64_t kUnreadTimer = kConnectTimer | std::uint64_t{1} << 60;
  // So long a listener is not looked at where there was no room for who came.
  static constexpr Duration kAcceptPause = std::chrono::milliseconds(10);
  // So long a connection that is being closed may take to write what was sent and to hear the other side's
  // end; closed at once with unread input, it would be reset, and the refusal just sent be lost.
  static constexpr Duration kCloseTimeout = std::chrono::milliseconds(700);
  static constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
  static TimerKey connect_key(ConnId id) { return {id.concern, kConnectTimer | id.number}; }

  void carry_out(const Send& e) {
    const auto it = connections_.find(e.conn);
    if (it == connections_.end() || it->second->closing) return;
    if (!it->second->out.put(e.bytes)) return overflowed(e.conn);
    const std::uint64_t begin = it->second->sent;
    it->second->sent += e.bytes.size();
    if (e.ticket != 0) it->second->ticketed.push_back({e.ticket, begin, it->second->sent});
    outbound_ += e.bytes.size();
    if (outbound_ > limits_.outbound_all) {
      const auto fullest = std::max_element(
          connections_.begin(), connections_.end(),
          [](const auto& a, const auto& b) { return a.second->out.size() < b.second->out.size(); });
      overflowed(fullest->first);
    }
    dirty_.push_back(e.conn);
  }

  void carry_out(const WithdrawSend& e) {
    const auto it = connections_.find(e.conn);
    if (it == connections_.end()) return;
    Connection& connection = *it->second;
    const auto message = std::find_if(connection.ticketed.begin(), connection.ticketed.end(),
                                      [&](const auto& m) { return m.ticket == e.ticket; });
    if (message == connection.ticketed.end() || message->begin < connection.written()) {  // written, or begun
      if (!e.fallback.empty()) carry_out(Send{e.conn, e.fallback});
      return;
    }
    const std::uint64_t length = message->end - message->begin;
    connection.out.cut(message->begin - connection.written(), length);
    connection.sent -= length;
    outbound_ -= length;
    for (auto after = connection.ticketed.erase(message); after != connection.ticketed.end(); ++after) {
      after->begin -= length;
      after->end -= length;
    }
    ++counters.withdrawn;
    defer_event(WriteWithdrawn{e.conn, e.ticket});
  }

  void overflowed(ConnId id) {
    ++counters.overflowed;
    logger_.line(Level::warning, "a connection is closed: its other side does not read");
    broken_.push_back(id);
  }

  void carry_out(const SendDatagram& e) {
    const auto address = address_of(e.peer);
    for (const auto& listener : listeners_) {
      if (listener->concern != e.concern || address == nullptr) continue;
      if (g_socket_get_socket_type(listener->socket.get()) != G_SOCKET_TYPE_DATAGRAM) continue;
      // An earlier datagram's refusal is told by the next call, which then has sent nothing.
      gssize sent = -1;
      for (int tries = 0; tries < 3 && sent < 0; ++tries) {
        GError* error = nullptr;
        sent = g_socket_send_to(listener->socket.get(), address.get(), e.bytes.data(), e.bytes.size(),
                                nullptr, &error);
        const bool again = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        g_clear_error(&error);
        if (!again) break;
      }
      if (sent > 0) counters.bytes_out += static_cast<std::uint64_t>(sent);
      return;
    }
  }

  void carry_out(const Consume& e) {
    if (const auto it = connections_.find(e.conn); it != connections_.end()) it->second->in.drop(e.count);
  }

  void carry_out(const Close& e) {
    const auto it = connections_.find(e.conn);
    if (it == connections_.end()) return;
    // A connect that is not awaited any more ends here: it once came up later, under an id given up.
    if (!it->second->connected) {
      connections_.erase(it);
      return;
    }
    it->second->closing = true;
    arm(Timer{clock_now() + kCloseTimeout, ++timer_order_, {e.conn.concern, kCloseTimer | e.conn.number}});
    it->second->reading = 0;
    update_watch(*it->second);
    dirty_.push_back(e.conn);
  }

  void carry_out(const Drop& e) {
    const auto it = connections_.find(e.conn);
    if (it == connections_.end()) return;
    // What this step has sent, as far as it can be written now.
    const std::string_view bytes = it->second->out.contents();
    if (it->second->connected && !bytes.empty())
      g_socket_send(it->second->socket.get(), bytes.data(), bytes.size(), nullptr, nullptr);
    connections_.erase(it);
  }
  void carry_out(const CloseIfIdle& e) {
    const auto it = connections_.find(e.conn);
    if (it == connections_.end() || it->second->closing) return;
    if (has_unread(*it->second)) return;
    defer_event(Closed{e.conn, false});
    if (e.at_once && it->second->out.empty()) {
      connections_.erase(it);
      return;
    }
    carry_out(Close{e.conn});
  }
  static bool has_unread(const Connection& connection) {
    int unread = 0;
    return ioctl(g_socket_get_fd(connection.socket.get()), FIONREAD, &unread) == 0 && unread > 0;
  }

  void carry_out(const ArmTimer& e) { arm(Timer{e.at, ++timer_order_, e.key}); }
  void carry_out(const WriteFile& e) {
    GError* error = nullptr;
    constexpr auto kFlags =
        static_cast<GFileSetContentsFlags>(G_FILE_SET_CONTENTS_CONSISTENT | G_FILE_SET_CONTENTS_DURABLE);
    if (!g_file_set_contents_full(e.path.c_str(), e.text.data(), static_cast<gssize>(e.text.size()), kFlags,
                                  0600, &error)) {
      logger_.line(Level::error, "cannot write " + e.path + ": " + text_of(error));
      if (e.required) carry_out(Exit{1});
    }
  }

  void carry_out(const ReadFile& e) {
    gchar* text = nullptr;
    gsize size = 0;
    GError* error = nullptr;
    FileRead read{e.path, std::nullopt};
    if (g_file_get_contents(e.path.c_str(), &text, &size, &error)) {
      read.text.emplace(text, size);
      g_free(text);
    } else {
      logger_.line(Level::warning, text_of(error));
    }
    defer_event(std::move(read));
  }
  void carry_out(const Log& e) { logger_.line(e.level, e.text); }
  void carry_out(const Print& e) { (e.answer ? std::cout : std::cerr) << e.text << std::flush; }
  void carry_out(const Exit& e) {
    status_ = e.status;
    g_main_loop_quit(loop_);
  }
  // Answers that were handed over in the last step are written by then, or this is not the last step.
  void carry_out(const ExitIfIdle& e) {
    for (const ConnId id : dirty_) write_some(id);
    for (const auto& [id, c] : connections_) {
      if (c->from == nullptr) continue;
      if (!c->out.empty() || (!c->closing && has_unread(*c))) return;
    }
    for (const auto& listener : listeners_) {
      if (listener->stopped || g_socket_get_socket_type(listener->socket.get()) != G_SOCKET_TYPE_STREAM)
        continue;
      if ((g_socket_condition_check(listener->socket.get(), G_IO_IN) & G_IO_IN) != 0) return;
    }
    carry_out(Exit{e.status});
  }

  // An event that an effect brings at once is told at the loop's next turn: reducers are not entered twice.
  void defer_event(Event event) {
    soon_.push_back(std::move(event));
    set_ready();
  }

  // ---- timers
  void arm(Timer timer) {
    timers_.push(timer);
    set_ready();
  }
  void set_ready() {
    if (tick_ == nullptr) return;
    // Each change wakes the loop by a write to itself, which cost a call more than its own messages did: only
    // where the next time is another.
    const Time next = !soon_.empty() ? Time{} : timers_.empty() ? Time::max() : timers_.top().at;
    if (next == ready_for_) return;
    ready_for_ = next;
    if (!soon_.empty()) return g_source_set_ready_time(tick_, 0);
    if (timers_.empty()) return g_source_set_ready_time(tick_, -1);
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(timers_.top().at - clock_now());
    g_source_set_ready_time(tick_, g_get_monotonic_time() + std::max<std::int64_t>(0, wait.count()));
  }
  void fire() {
    ready_for_.reset();
    for (const Event& event : std::exchange(soon_, {})) step(event);
    while (!timers_.empty()) {
      const Timer timer = timers_.top();
      const Time now = clock_now();
      if (timer.at > now) break;
      timers_.pop();
      if (timer.key.number == kAcceptTimer) {
        resume_accepting(timer.key.concern);
        continue;
      }
      if ((timer.key.number & kCloseTimer) == kCloseTimer) {
        const ConnId id{timer.key.concern, static_cast<std::uint32_t>(timer.key.number)};
        if (const auto it = connections_.find(id); it != connections_.end() && it->second->closing)
          connections_.erase(it);
        continue;
      }
      if ((timer.key.number & kUnreadTimer) == kUnreadTimer) {
        check_unread_timeout({timer.key.concern, static_cast<std::uint32_t>(timer.key.number)});
        continue;
      }
      if ((timer.key.number & kConnectTimer) != 0) {
        connect_overdue({timer.key.concern, static_cast<std::uint32_t>(timer.key.number)}, timer.at);
        continue;
      }
      const Duration late = now - timer.at;
      ++counters.timers;
      if (late > std::chrono::milliseconds(5)) ++counters.timers_late_5ms;
      if (late > std::chrono::milliseconds(20)) ++counters.timers_late_20ms;
      counters.latest_timer = std::max(counters.latest_timer, late);
      step(TimerFired{timer.key});
    }
    set_ready();
  }

  void connect_overdue(ConnId id, Time due) {
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second->connected || it->second->connect_due != due) return;
    connections_.erase(it);
    step(ConnectFailed{id, false});
  }

  // Whether a caller to whom something is left to write reads at all. The kernel's own queue counts: of two
  // megabytes and more there a slow reader may take some without anything being written for long.
  void watch_writing(Connection& connection) {
    if (connection.from == nullptr || std::exchange(connection.unread_check_armed, true)) return;
    connection.taken = taken_from(connection);
    schedule_unread_check(connection.id);
  }
  void schedule_unread_check(ConnId id) {
    arm(Timer{clock_now() + limits_.unread_timeout, ++timer_order_, {id.concern, kUnreadTimer | id.number}});
  }
  void check_unread_timeout(ConnId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    Connection& connection = *it->second;
    connection.unread_check_armed = !connection.out.empty();
    if (!connection.unread_check_armed) return;
    if (const std::uint64_t taken = taken_from(connection); taken != connection.taken) {
      connection.taken = taken;
      return schedule_unread_check(id);
    }
    overflowed(id);
    for (const ConnId broken : std::exchange(broken_, {})) lose(broken, true);
  }
  // Bytes that the other side's kernel has taken since the start.
  static std::uint64_t taken_from(const Connection& connection) {
    int queued = 0;
    ioctl(g_socket_get_fd(connection.socket.get()), SIOCOUTQ, &queued);
    return connection.written() - static_cast<std::uint64_t>(queued);
  }

  // ---- reading and writing
  void writable(ConnId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    Connection& connection = *it->second;
    if (!connection.connected) {
      connection.writing = false;
      update_watch(connection);
      GError* error = nullptr;
      if (!g_socket_check_connect_result(connection.socket.get(), &error)) {
        const bool refused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        g_clear_error(&error);
        connections_.erase(it);
        step(ConnectFailed{id, refused});
        return;
      }
      connection.connected = true;
      resume_reading(connection);
      step(Connected{id});
    }
    flush(id);
  }

  // Writes what can be written now. False: the connection is of no more use.
  bool write_some(ConnId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end() || !it->second->connected) return true;
    Connection& connection = *it->second;
    while (!connection.out.empty()) {
      const std::string_view bytes = connection.out.contents();
      GError* error = nullptr;
      const gssize sent = g_socket_send(connection.socket.get(), bytes.data(), bytes.size(), nullptr, &error);
      if (sent <= 0) {
        const bool wait = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
        g_clear_error(&error);
        return wait;
      }
      counters.bytes_out += static_cast<std::uint64_t>(sent);
      connection.out.drop(static_cast<std::size_t>(sent));
      outbound_ -= static_cast<std::size_t>(sent);
      while (!connection.ticketed.empty() && connection.ticketed.front().end <= connection.written()) {
        ++counters.counted_written;
        connection.ticketed.pop_front();
      }
    }
    return true;
  }

  void flush(ConnId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end() || !it->second->connected) return;
    Connection& connection = *it->second;
    if (!write_some(id)) return lose(id, true);
    if (!connection.out.empty()) {
      if (connection.out.size() > limits_.outbound_pause)
        pause_reading(connection);  // takes no more requests than it reads answers
      watch_writing(connection);
      connection.writing = true;
      update_watch(connection);
      return;
    }
    connection.writing = false;
    update_watch(connection);
    if (connection.closing && !connection.write_closed) {
      connection.write_closed = true;
      g_socket_shutdown(connection.socket.get(), FALSE, TRUE, nullptr);
    }
    resume_reading(connection);
  }

  void read(ConnId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    Connection& connection = *it->second;
    if (connection.closing) {
      char buffer[16384];
      const gssize got = g_socket_receive(connection.socket.get(), buffer, sizeof buffer, nullptr, nullptr);
      if (got > 0) connection.discarded_bytes += static_cast<std::size_t>(got);
      if (got <= 0 || connection.discarded_bytes > kMaxDiscardedBytes) connections_.erase(it);
      return;
    }
    if (connection.in.room() == 0)
      return lose(id, true);  // the reducer leaves a whole ring unread: it is stuck
    connection.in.reserve(std::min(connection.in.size() + 4096, limits_.inbound));
    const std::span<char> gap = connection.in.gap();
    GError* error = nullptr;
    const gssize got = g_socket_receive(connection.socket.get(), gap.data(), gap.size(), nullptr, &error);
    if (got > 0) {
      counters.bytes_in += static_cast<std::uint64_t>(got);
      connection.in.filled(static_cast<std::size_t>(got));
      step(Received{id, connection.in.contents()});
      return;
    }
    const bool wait = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    const bool reset = got < 0;
    g_clear_error(&error);
    if (!wait) lose(id, reset);
  }

  void lose(ConnId id, bool reset) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const bool known = !it->second->closing;  // else the reducer has closed it itself
    connections_.erase(it);
    if (known) step(Closed{id, reset});
  }

  // What the network says of datagrams that went out: to whom one was refused.
  void read_refusals(Listener& listener) {
    for (std::size_t i = 0; i < limits_.accepted_from_each; ++i) {
      sockaddr_in to{};
      char bytes[2048];
      iovec part{bytes, sizeof bytes};
      alignas(cmsghdr) char control[512];
      msghdr message{};
      message.msg_name = &to;
      message.msg_namelen = sizeof to;
      message.msg_iov = &part;
      message.msg_iovlen = 1;
      message.msg_control = control;
      message.msg_controllen = sizeof control;
      const int fd = g_socket_get_fd(listener.socket.get());
      const ssize_t got = recvmsg(fd, &message, MSG_ERRQUEUE | MSG_DONTWAIT);
      if (got < 0) return;
      for (cmsghdr* c = CMSG_FIRSTHDR(&message); c != nullptr; c = CMSG_NXTHDR(&message, c)) {
        if (c->cmsg_level != IPPROTO_IP || c->cmsg_type != IP_RECVERR) continue;
        sock_extended_err error{};
        std::copy_n(CMSG_DATA(c), sizeof error, reinterpret_cast<unsigned char*>(&error));
        if (error.ee_errno != ECONNREFUSED || to.sin_family != AF_INET) continue;
        const Owned<GSocketAddress> address(g_socket_address_new_from_native(&to, sizeof to));
        step(Unreachable{listener.concern, text_of(address.get()),
                         std::string(bytes, static_cast<std::size_t>(got))});
      }
    }
  }

  void receive_datagrams(Listener& listener) {
    char buffer[65536];
    // A step may close the listener that it came by.
    const Concern concern = listener.concern;
    const auto open = [&] {
      return std::any_of(listeners_.begin(), listeners_.end(),
                         [&](const auto& l) { return l.get() == &listener; });
    };
    if (listener.exclusive) {
      read_refusals(listener);
      if (!open()) return;
    }
    for (std::size_t i = 0; i < limits_.accepted_from_each; ++i) {
      GSocketAddress* from = nullptr;
      GError* error = nullptr;
      const gssize got =
          g_socket_receive_from(listener.socket.get(), &from, buffer, sizeof buffer, nullptr, &error);
      const bool refused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
      g_clear_error(&error);
      if (got < 0 && refused) continue;  // of one that went out: it is in the queue of refusals
      if (got < 0 || from == nullptr) return;
      const std::string peer = text_of(from);
      g_object_unref(from);
      counters.bytes_in += static_cast<std::uint64_t>(got);
      step(Datagram{concern, peer, std::string_view(buffer, static_cast<std::size_t>(got))});
      if (!open()) return;
    }
  }

  struct UnrefContext {
    void operator()(GMainContext* context) const { g_main_context_unref(context); }
  };
  std::unique_ptr<GMainContext, UnrefContext> context_{g_main_context_new()};  // outlives its sources
  RuntimeLimits limits_;
  Logger logger_;
  Reducer reducer_;
  GMainLoop* loop_ = nullptr;
  std::optional<Time> ready_for_{};  // when the loop is to call again; absent: not said since it did
  GSource* tick_ = nullptr;
  int poll_ = -1;  // the descriptor that all connections stand behind
  std::unordered_map<std::uint64_t, Connection*> by_token_;
  std::uint64_t last_token_ = 0;
  std::optional<int> status_;
  std::map<ConnId, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t timer_order_ = 0;
  std::size_t outbound_ = 0;  // bytes not written yet, on all connections
  std::uint32_t last_accepted_ = 0;
  std::vector<ConnId> dirty_;
  std::vector<ConnId> broken_;
  std::vector<Event> soon_;
};

Runtime::Runtime(RuntimeLimits limits, Logger logger) : impl_(std::make_unique<Impl>(limits, logger)) {}
Runtime::~Runtime() = default;
int Runtime::run(Reducer reducer) { return impl_->run(std::move(reducer)); }
const RuntimeCounters& Runtime::counters() const { return impl_->counters; }

}  // namespace graniterun::net
