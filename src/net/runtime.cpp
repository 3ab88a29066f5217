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

struct GObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
template <class T>
using GObjectPtr = std::unique_ptr<T, GObjectUnref>;

// Returns the text of a GError and frees it.
std::string take_error_text(GError* error) {
  std::string text = error != nullptr ? error->message : "unknown error";
  g_clear_error(&error);
  return text;
}

GObjectPtr<GSocketAddress> parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return nullptr;
  const int port = std::atoi(text.c_str() + colon + 1);
  return GObjectPtr<GSocketAddress>(
      g_inet_socket_address_new_from_string(text.substr(0, colon).c_str(), static_cast<guint>(port)));
}

std::string format_address(GSocketAddress* address) {
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  gchar* host = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  std::string text = std::string(host) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
  g_free(host);
  return text;
}

// Source for a descriptor. A GSocket source writes to the loop's wakeup descriptor each time it is
// dispatched, which cost more than handling the message; a plain descriptor source does so only if it can't
// recurse, because GLib then removes its descriptor from the loop during the dispatch, at the cost of two
// writes, a read and an extra iteration. Allowing recursion avoids this; no recursion occurs, since the loop
// never runs nested.
GSource* create_descriptor_source(int descriptor, GIOCondition condition) {
  GSource* source = g_unix_fd_source_new(descriptor, condition);
  g_source_set_can_recurse(source, TRUE);
  return source;
}

// Events that epoll reports for every watched socket, whether requested or not.
constexpr std::uint32_t kErrorEvents = EPOLLERR | EPOLLHUP;
// Maximum epoll events per main loop iteration; due timers run between iterations.
constexpr int kMaxEventsPerTurn = 256;

// Owns a GSource attached to the thread's default main context, and destroys it on destruction.
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
    // One source for all timers, ready at the earliest due time. Its priority is above that of reading, so
    // that a flood of input does not delay deadlines.
    static GSourceFuncs functions = {nullptr, nullptr, &Impl::dispatch_tick, nullptr, nullptr, nullptr};
    tick.start(g_source_new(&functions, sizeof(GSource)), &Impl::on_tick, this, G_PRIORITY_HIGH);
    tick_ = tick.get();
    poll_ = epoll_create1(EPOLL_CLOEXEC);
    if (poll_ < 0) {
      logger_.line(Level::error, "cannot create the epoll descriptor that connections are watched with");
      g_main_loop_unref(loop_);
      g_main_context_pop_thread_default(context_.get());
      tick_ = nullptr;
      return 1;
    }
    sockets.start(create_descriptor_source(poll_, G_IO_IN), &Impl::on_sockets, this);
    if (limits_.handle_signals) {
      term.start(g_unix_signal_source_new(SIGTERM), &Impl::on_term, this);
      user.start(g_unix_signal_source_new(SIGUSR1), &Impl::on_user, this);
      hangup.start(g_unix_signal_source_new(SIGHUP), &Impl::on_hangup, this);
      const sigset_t blocked = watched_signals();
      pthread_sigmask(SIG_UNBLOCK, &blocked, nullptr);
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
    Connection(Impl& owner, ConnId conn, GObjectPtr<GSocket> new_socket, const RuntimeLimits& limits)
        : impl(owner),
          id(conn),
          socket(std::move(new_socket)),
          in(limits.max_inbound_bytes),
          out(limits.max_outbound_bytes) {}
    Impl& impl;
    ConnId id;
    GObjectPtr<GSocket> socket;
    RingBuffer in;
    RingBuffer out;
    // Requested epoll events. All connections share one epoll descriptor in GLib's loop: with a source for
    // each, every iteration of the loop went through all of them, however few were ready.
    std::uint32_t reading = 0;
    bool writing = false;
    std::uint32_t watched = 0;  // events registered with the kernel
    std::uint64_t token = 0;    // identifies it in epoll events; never reused
    Time connect_deadline{};
    bool connected = false;
    bool closing = false;
    bool finishing = false;  // the sending direction is closed once all is written; input is still delivered
    bool write_closed = false;  // all is written and the sending direction shut down
    std::size_t discarded_bytes = 0;
    struct Ticketed {  // a message that is to be counted, and may be withdrawn
      std::uint64_t ticket;
      std::uint64_t begin;  // begin and end: offsets in the stream that `sent` counts
      std::uint64_t end;
    };
    std::uint64_t sent = 0;           // bytes put into `out` since the start, without withdrawn ones
    std::deque<Ticketed> ticketed{};  // those not completely written, in order
    Listener* listener = nullptr;     // that accepted it; null: an outgoing connection
    bool peer_closed = false;         // the peer closed or shut down its sending direction
    bool reading_paused = false;      // until the unwritten output is written
    bool unread_check_armed = false;  // a timer checks whether the peer reads
    std::uint64_t acknowledged = 0;   // bytes acknowledged by the peer at the last check
    std::uint64_t written() const { return sent - out.size(); }
    ~Connection() {
      reading = 0;
      writing = false;
      impl.update_watch(*this);
      impl.by_token_.erase(token);
      impl.outbound_ -= out.size();
      if (listener != nullptr) --listener->open;
    }
  };
  struct Listener {
    Impl& impl;
    Concern concern;
    GObjectPtr<GSocket> socket;
    Source source;
    std::size_t reserved_connections = 0;
    std::size_t open = 0;  // connections accepted here and not closed yet
    bool exclusive = false;
    bool inherited = false;  // shared with other processes
    bool stopped = false;    // accepts no more connections
    bool accepts_connections() const {
      return g_socket_get_socket_type(socket.get()) == G_SOCKET_TYPE_STREAM;
    }
  };
  struct AwaitedAddress {  // held by another socket at the last try
    Listen listen;
    GSocketType type;
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
    static_cast<Impl*>(data)->run_due_timers();
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

  // Registers the connection's requested events with epoll if they changed.
  void update_watch(Connection& connection) {
    const std::uint32_t requested = connection.reading | (connection.writing ? std::uint32_t{EPOLLOUT} : 0U);
    if (requested == connection.watched) return;
    if (connection.token == 0) by_token_.emplace(connection.token = ++last_token_, &connection);
    epoll_event event{};
    event.events = requested;
    event.data.u64 = connection.token;
    const int operation = connection.watched == 0 ? EPOLL_CTL_ADD
                          : requested == 0        ? EPOLL_CTL_DEL
                                                  : EPOLL_CTL_MOD;
    const bool registered =
        epoll_ctl(poll_, operation, g_socket_get_fd(connection.socket.get()), &event) == 0;
    if (!registered && requested != 0) {  // out of memory: no event would ever be reported for it
      logger_.line(Level::error, "closing a connection: epoll_ctl failed");
      broken_.push_back(connection.id);
    }
    connection.watched = requested;
  }
  void sockets_ready() {
    epoll_event events[kMaxEventsPerTurn];
    const int count = epoll_wait(poll_, events, kMaxEventsPerTurn, 0);
    // Handles the oldest connections first, as GLib does with its own sources. The kernel reports connections
    // that were ready in the last iteration before newly ready ones: a setup then waited for two rounds of
    // input from flooding callers.
    std::sort(events, events + std::max(0, count), [](const epoll_event& left, const epoll_event& right) {
      return left.data.u64 < right.data.u64;
    });
    for (int i = 0; i < count && !status_; ++i) {
      // An event handled earlier in this iteration may have closed it or changed its requested events.
      const std::uint32_t reported = events[i].events;
      if (const auto it = by_token_.find(events[i].data.u64); it != by_token_.end()) {
        const Connection& connection = *it->second;
        if (connection.reading != 0 && (reported & (connection.reading | kErrorEvents)) != 0)
          readable(connection.id, (reported & connection.reading & EPOLLRDHUP) != 0);
      }
      if (const auto it = by_token_.find(events[i].data.u64); it != by_token_.end()) {
        const Connection& connection = *it->second;
        if (connection.writing && (reported & (EPOLLOUT | kErrorEvents)) != 0) writable(connection.id);
      }
    }
  }

  // ---- events in, effects out
  void step(const Event& event) {
    Effects effects;
    reducer_(clock_now(), event, effects);
    for (Effect& effect : effects) {
      if (status_) break;
      std::visit([this](auto& alternative) { carry_out(alternative); }, effect);
    }
    // One write for everything that a step sends on a connection.
    for (const ConnId id : std::exchange(dirty_, {})) flush(id);
    for (const ConnId id : std::exchange(broken_, {})) close_lost(id, true);
  }

  void carry_out(const Listen& e) {
    if (e.inherited_socket) return listen_on_inherited(e);
    listen(e, G_SOCKET_TYPE_STREAM);
  }
  void carry_out(const Bind& e) {
    Listen wanted{e.concern, e.address};
    wanted.wait_for_address = e.wait_for_address;
    if (e.exclusive) wanted.required = false;
    if (listen(wanted, G_SOCKET_TYPE_DATAGRAM, e.exclusive)) {
      if (!e.exclusive) return;
      listeners_.back()->exclusive = true;
      g_socket_set_option(listeners_.back()->socket.get(), IPPROTO_IP, IP_RECVERR, 1, nullptr);
      defer_event(BindSucceeded{e.concern});
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
      if (listener->concern != e.concern || !listener->accepts_connections()) continue;
      listener->stopped = true;
      listener->source.end();
      if (!listener->inherited) g_socket_close(listener->socket.get(), nullptr);
    }
  }

  void listen_on_inherited(const Listen& e) {
    GError* error = nullptr;
    GObjectPtr<GSocket> socket(g_socket_new_from_fd(*e.inherited_socket, &error));
    if (socket == nullptr) {
      logger_.line(Level::error, "cannot use the inherited socket: " + take_error_text(error));
      return carry_out(Exit{1});
    }
    g_socket_set_blocking(socket.get(), FALSE);
    watch_listener(e, std::move(socket), G_SOCKET_TYPE_STREAM);
    listeners_.back()->inherited = true;
  }

  void watch_listener(const Listen& e, GObjectPtr<GSocket> socket, GSocketType type) {
    auto listener =
        std::make_unique<Listener>(Listener{*this, e.concern, std::move(socket), {}, e.reserved_connections});
    if (type == G_SOCKET_TYPE_STREAM) {
      watch_accepting(*listener);
    } else {
      listener->source.start(create_descriptor_source(g_socket_get_fd(listener->socket.get()), G_IO_IN),
                             &Impl::on_datagram, listener.get());
    }
    listeners_.push_back(std::move(listener));
  }
  void watch_accepting(Listener& listener) {
    listener.source.start(create_descriptor_source(g_socket_get_fd(listener.socket.get()), G_IO_IN),
                          &Impl::on_acceptable, &listener);
  }

  // Opens a listening or UDP socket; returns whether that succeeded. A failure of an exclusive one is not
  // logged: the reducer gets BindFailed, retries and logs it.
  bool listen(const Listen& wanted, GSocketType type, bool exclusive = false) {
    const bool stream = type == G_SOCKET_TYPE_STREAM;
    GError* error = nullptr;
    const auto address = parse_address(wanted.address);
    GObjectPtr<GSocket> socket(address == nullptr ? nullptr
                                                  : g_socket_new(g_socket_address_get_family(address.get()),
                                                                 type, G_SOCKET_PROTOCOL_DEFAULT, &error));
    if (socket != nullptr) {
      g_socket_set_blocking(socket.get(), FALSE);
      g_socket_set_listen_backlog(socket.get(), 512);
      // GLib's "reuse" lets several sockets receive the datagrams of one port.
      const bool reuse = stream || (!exclusive && !wanted.wait_for_address);
      if (g_socket_bind(socket.get(), address.get(), reuse ? TRUE : FALSE, &error) &&
          (!stream || g_socket_listen(socket.get(), &error))) {
        watch_listener(wanted, std::move(socket), type);
        return true;
      }
    }
    const bool is_wait =
        wanted.wait_for_address && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE) != FALSE;
    if (is_wait) {
      awaited_addresses_.push_back({wanted, type});
      arm(Timer{clock_now() + kAddressRetryInterval, ++timer_order_, {wanted.concern, kAddressTimer}});
    }
    if (is_wait || (exclusive && address != nullptr)) {
      g_clear_error(&error);
      return false;
    }
    logger_.line(Level::error, "cannot listen on " + wanted.address + ": " +
                                   (address == nullptr ? "not an address" : take_error_text(error)));
    if (wanted.required) carry_out(Exit{1});
    return false;
  }

  void retry_awaited_addresses() {
    for (const AwaitedAddress& awaited : std::exchange(awaited_addresses_, {})) {
      if (listen(awaited.listen, awaited.type))
        logger_.line(Level::info,
                     "listens on " + awaited.listen.address + ", which another process has freed");
    }
  }

  // Above the connection limit, or without a free descriptor, accepting pauses and new connections wait in
  // the listen queue. Accepting and closing them lost the callers' requests; leaving the listener watched
  // without a free descriptor made the loop spin.
  void accept(Listener& listener) {
    for (std::size_t i = 0; i < limits_.max_listener_batch; ++i) {
      if (listener.reserved_connections == 0 && count_unreserved_connections() >= limits_.max_connections)
        return pause_accepting(listener);
      GError* error = nullptr;
      GObjectPtr<GSocket> socket(g_socket_accept(listener.socket.get(), nullptr, &error));
      if (socket == nullptr) {
        const bool out_of_descriptors = !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
        g_clear_error(&error);
        if (!out_of_descriptors) return;
        ++counters.no_descriptor;
        return pause_accepting(listener);
      }
      if (listener.reserved_connections > 0 && listener.open >= listener.reserved_connections) {
        ++counters.rejected;
        continue;
      }
      ++counters.accepted;
      const ConnId id{listener.concern, ++last_accepted_};
      add_accepted(id, std::move(socket), listener);
      step(Accepted{id});
      // Reads the input of this connection before accepting the next one: where only a few connections may
      // wait, a new one evicts the oldest, and one that has sent its request must not be evicted.
      if (listener.reserved_connections > 0) read(id);
    }
  }
  std::size_t count_unreserved_connections() const {
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

  void add_accepted(ConnId id, GObjectPtr<GSocket> socket, Listener& listener) {
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    auto c = std::make_unique<Connection>(*this, id, std::move(socket), limits_);
    c->connected = true;
    c->listener = &listener;
    ++listener.open;
    resume_reading(*c);
    connections_.insert_or_assign(id, std::move(c));
  }

  // Requests EPOLLRDHUP beside EPOLLIN until PeerClosed was delivered, so that a caller's close is noticed
  // ahead of its unread input, and while reading is paused.
  void resume_reading(Connection& connection) {
    if (connection.reading != 0 && !connection.reading_paused) return;
    connection.reading_paused = false;
    const bool close_reported = connection.listener == nullptr || connection.peer_closed;
    connection.reading = close_reported ? EPOLLIN : EPOLLIN | EPOLLRDHUP;
    update_watch(connection);
  }
  void pause_reading(Connection& connection) {
    if (connection.reading_paused || connection.peer_closed) return;
    connection.reading_paused = true;
    connection.reading = connection.listener == nullptr ? 0U : std::uint32_t{EPOLLRDHUP};
    update_watch(connection);
  }
  void readable(ConnId id, bool peer_closed) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    Connection& connection = *it->second;
    if (peer_closed && !connection.peer_closed) {
      connection.peer_closed = true;
      // Unwritten output no longer pauses reading: the rest of the peer's input is read to its end.
      connection.reading_paused = true;
      resume_reading(connection);
      if (!connection.closing) step(PeerClosed{id});
    }
    read(id);
  }

  void carry_out(const Connect& e) {
    const auto address = parse_address(e.address);
    if (address == nullptr) return defer_event(ConnectFailed{e.conn, true});
    GError* error = nullptr;
    GObjectPtr<GSocket> socket(g_socket_new(g_socket_address_get_family(address.get()), G_SOCKET_TYPE_STREAM,
                                            G_SOCKET_PROTOCOL_TCP, &error));
    if (socket == nullptr) return report_connect_failure(e.conn, error);
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    const bool connected = g_socket_connect(socket.get(), address.get(), nullptr, &error);
    if (!connected && !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING))
      return report_connect_failure(e.conn, error);
    g_clear_error(&error);
    auto c = std::make_unique<Connection>(*this, e.conn, std::move(socket), limits_);
    c->connect_deadline = clock_now() + e.timeout;
    c->writing = true;
    update_watch(*c);
    arm(Timer{c->connect_deadline, ++timer_order_, connect_key(e.conn)});
    connections_.insert_or_assign(e.conn, std::move(c));
  }

  // Reports whether the peer refused the connection or descriptors or ports ran out locally. A local shortage
  // that was reported as a refusal once made a setup server count as dead, and its established calls were
  // released.
  void report_connect_failure(ConnId id, GError* error) {
    const bool refused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
    const bool remote_failure = refused || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
                                g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE) ||
                                g_error_matches(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT);
    if (!remote_failure) {
      ++counters.no_descriptor;
      logger_.line(Level::warning, "cannot connect: " + std::string(error != nullptr ? error->message : ""));
    }
    g_clear_error(&error);
    defer_event(ConnectFailed{id, refused, !remote_failure});
  }

  // The runtime's own timers: timer numbers with the top bit set; the low 32 bits are the connection's
  // number.
  static constexpr std::uint64_t kConnectTimer = std::uint64_t{1} << 63;
  static constexpr std::uint64_t kCloseTimer = kConnectTimer | std::uint64_t{1} << 62;
  static constexpr std::uint64_t kAcceptTimer = kConnectTimer | std::uint64_t{1} << 61;
  static constexpr std::uint64_t kUnreadTimer = kConnectTimer | std::uint64_t{1} << 60;
  static constexpr std::uint64_t kAddressTimer = kConnectTimer | std::uint64_t{1} << 59;
  // Time between two tries to listen on an address that another process holds.
  static constexpr Duration kAddressRetryInterval = std::chrono::milliseconds(20);
  // How long accepting pauses after a connection or descriptor limit was reached.
  static constexpr Duration kAcceptPause = std::chrono::milliseconds(10);
  // How long a closing connection may take to write its output and receive the peer's close. Closing the
  // socket immediately with unread input would reset the connection, and a rejection just sent could be lost.
  static constexpr Duration kCloseTimeout = std::chrono::milliseconds(700);
  static constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
  static TimerKey connect_key(ConnId id) { return {id.concern, kConnectTimer | id.number}; }

  void carry_out(const Send& e) {
    const auto it = connections_.find(e.conn);
    if (it == connections_.end() || it->second->closing || it->second->finishing) return;
    if (!it->second->out.append(e.bytes)) return close_overflowed(e.conn);
    const std::uint64_t begin = it->second->sent;
    it->second->sent += e.bytes.size();
    if (e.ticket != 0) it->second->ticketed.push_back({e.ticket, begin, it->second->sent});
    outbound_ += e.bytes.size();
    if (outbound_ > limits_.max_total_outbound_bytes) {
      const auto fullest = std::max_element(
          connections_.begin(), connections_.end(),
          [](const auto& a, const auto& b) { return a.second->out.size() < b.second->out.size(); });
      close_overflowed(fullest->first);
    }
    dirty_.push_back(e.conn);
  }

  void carry_out(const WithdrawSend& e) {
    const auto it = connections_.find(e.conn);
    if (it == connections_.end()) return;
    Connection& connection = *it->second;
    const auto message = std::find_if(connection.ticketed.begin(), connection.ticketed.end(),
                                      [&](const auto& m) { return m.ticket == e.ticket; });
    if (message == connection.ticketed.end() ||
        message->begin < connection.written()) {  // at least partly written
      if (!e.fallback.empty()) carry_out(Send{e.conn, e.fallback});
      return;
    }
    const std::uint64_t length = message->end - message->begin;
    connection.out.erase(message->begin - connection.written(), length);
    connection.sent -= length;
    outbound_ -= length;
    for (auto after = connection.ticketed.erase(message); after != connection.ticketed.end(); ++after) {
      after->begin -= length;
      after->end -= length;
    }
    ++counters.withdrawn;
    defer_event(WriteWithdrawn{e.conn, e.ticket});
  }

  void close_overflowed(ConnId id) {
    ++counters.overflowed;
    logger_.line(Level::warning, "closing a connection: the peer does not read");
    broken_.push_back(id);
  }

  void carry_out(const SendDatagram& e) {
    const auto address = parse_address(e.peer);
    for (const auto& listener : listeners_) {
      if (listener->concern != e.concern || address == nullptr) continue;
      if (g_socket_get_socket_type(listener->socket.get()) != G_SOCKET_TYPE_DATAGRAM) continue;
      // The kernel reports the refusal of an earlier datagram by failing the next send, which then sent
      // nothing.
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
    if (const auto it = connections_.find(e.conn); it != connections_.end()) it->second->in.consume(e.count);
  }

  void carry_out(const Close& e) {
    const auto it = connections_.find(e.conn);
    if (it == connections_.end()) return;
    // Ends a pending connect: it once succeeded later, under an id that was no longer in use.
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
    // Writes what this step has sent, as far as possible without waiting.
    const std::string_view bytes = it->second->out.contents();
    if (it->second->connected && !bytes.empty())
      g_socket_send(it->second->socket.get(), bytes.data(), bytes.size(), nullptr, nullptr);
    connections_.erase(it);
  }
  void carry_out(const FinishSending& e) {
    const auto it = connections_.find(e.conn);
    if (it == connections_.end() || !it->second->connected) return;
    it->second->finishing = true;
    dirty_.push_back(e.conn);
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
      logger_.line(Level::error, "cannot write " + e.path + ": " + take_error_text(error));
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
      logger_.line(Level::warning, take_error_text(error));
    }
    defer_event(std::move(read));
  }
  void carry_out(const Log& e) { logger_.line(e.level, e.text); }
  void carry_out(const Print& e) { (e.to_stdout ? std::cout : std::cerr) << e.text << std::flush; }
  void carry_out(const Exit& e) {
    status_ = e.status;
    g_main_loop_quit(loop_);
  }
  // Writes the output of this step first, and exits only if all of it could be written.
  void carry_out(const ExitIfIdle& e) {
    for (const ConnId id : dirty_) write_some(id);
    for (const auto& [id, c] : connections_) {
      if (c->listener == nullptr) continue;
      if (!c->out.empty() || (!c->closing && has_unread(*c))) return;
    }
    for (const auto& listener : listeners_) {
      if (listener->stopped || !listener->accepts_connections()) continue;
      if ((g_socket_condition_check(listener->socket.get(), G_IO_IN) & G_IO_IN) != 0) return;
    }
    carry_out(Exit{e.status});
  }

  // Delivers an event that results from an effect in the next main loop iteration: reducers are not
  // reentered.
  void defer_event(Event event) {
    deferred_events_.push_back(std::move(event));
    set_ready();
  }

  // ---- timers
  void arm(Timer timer) {
    timers_.push(timer);
    set_ready();
  }
  void set_ready() {
    if (tick_ == nullptr) return;
    // Sets the ready time only if it changed: each change wakes the loop by a write to its own descriptor,
    // which cost more per call than the call's messages did.
    const Time next = !deferred_events_.empty() ? Time{} : timers_.empty() ? Time::max() : timers_.top().at;
    if (next == ready_for_) return;
    ready_for_ = next;
    if (!deferred_events_.empty()) return g_source_set_ready_time(tick_, 0);
    if (timers_.empty()) return g_source_set_ready_time(tick_, -1);
    const auto remaining =
        std::chrono::duration_cast<std::chrono::microseconds>(timers_.top().at - clock_now());
    g_source_set_ready_time(tick_, g_get_monotonic_time() + std::max<std::int64_t>(0, remaining.count()));
  }
  void run_due_timers() {
    ready_for_.reset();
    for (const Event& event : std::exchange(deferred_events_, {})) step(event);
    while (!timers_.empty()) {
      const Timer timer = timers_.top();
      const Time now = clock_now();
      if (timer.at > now) break;
      timers_.pop();
      if (timer.key.number == kAddressTimer) {
        retry_awaited_addresses();
        continue;
      }
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
        check_connect_timeout({timer.key.concern, static_cast<std::uint32_t>(timer.key.number)}, timer.at);
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

  void check_connect_timeout(ConnId id, Time due) {
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second->connected || it->second->connect_deadline != due) return;
    connections_.erase(it);
    step(ConnectFailed{id, false});
  }

  // Arms the check whether a caller with unwritten output reads at all. Bytes that leave the kernel's send
  // queue count as progress: the queue holds 2 MB and more, and may drain slowly for long before the socket
  // is writable again.
  void arm_unread_check(Connection& connection) {
    if (connection.listener == nullptr || std::exchange(connection.unread_check_armed, true)) return;
    connection.acknowledged = count_acknowledged_bytes(connection);
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
    if (const std::uint64_t acknowledged = count_acknowledged_bytes(connection);
        acknowledged != connection.acknowledged) {
      connection.acknowledged = acknowledged;
      return schedule_unread_check(id);
    }
    close_overflowed(id);
    for (const ConnId broken : std::exchange(broken_, {})) close_lost(broken, true);
  }
  // Bytes acknowledged by the peer's kernel since the start of the connection.
  static std::uint64_t count_acknowledged_bytes(const Connection& connection) {
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

  // Writes what can be written without waiting. Returns false if the connection failed.
  bool write_some(ConnId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end() || !it->second->connected) return true;
    Connection& connection = *it->second;
    while (!connection.out.empty()) {
      const std::string_view bytes = connection.out.contents();
      GError* error = nullptr;
      const gssize sent = g_socket_send(connection.socket.get(), bytes.data(), bytes.size(), nullptr, &error);
      if (sent <= 0) {
        const bool would_block = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
        g_clear_error(&error);
        return would_block;
      }
      counters.bytes_out += static_cast<std::uint64_t>(sent);
      connection.out.consume(static_cast<std::size_t>(sent));
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
    if (!write_some(id)) return close_unwritable(id);
    if (!connection.out.empty()) {
      if (connection.out.size() > limits_.outbound_pause && !connection.finishing)
        pause_reading(connection);  // the peer must read its answers to send more requests
      arm_unread_check(connection);
      connection.writing = true;
      update_watch(connection);
      return;
    }
    connection.writing = false;
    update_watch(connection);
    if ((connection.closing || connection.finishing) && !connection.write_closed) {
      connection.write_closed = true;
      g_socket_shutdown(connection.socket.get(), FALSE, TRUE, nullptr);
    }
    resume_reading(connection);
  }

  // Returns whether input was delivered.
  bool read(ConnId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return false;
    Connection& connection = *it->second;
    if (connection.closing) {
      char buffer[16384];
      const gssize received =
          g_socket_receive(connection.socket.get(), buffer, sizeof buffer, nullptr, nullptr);
      if (received > 0) connection.discarded_bytes += static_cast<std::size_t>(received);
      if (received <= 0 || connection.discarded_bytes > kMaxDiscardedBytes) connections_.erase(it);
      return false;
    }
    if (connection.in.free_space() == 0) {
      close_lost(id, true);  // the reducer consumed nothing of a full buffer: it is stuck
      return false;
    }
    connection.in.reserve(std::min(connection.in.size() + 4096, limits_.max_inbound_bytes));
    const std::span<char> target = connection.in.free_span();
    GError* error = nullptr;
    const gssize received =
        g_socket_receive(connection.socket.get(), target.data(), target.size(), nullptr, &error);
    if (received > 0) {
      counters.bytes_in += static_cast<std::uint64_t>(received);
      connection.in.commit(static_cast<std::size_t>(received));
      step(Received{id, connection.in.contents()});
      return true;
    }
    const bool would_block = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    const bool reset = received < 0;
    g_clear_error(&error);
    if (!would_block) close_lost(id, reset);
    return false;
  }

  // A write failed: the peer has closed. What it sent before, possibly unread yet, is delivered first.
  void close_unwritable(ConnId id) {
    while (read(id)) {
    }
    close_lost(id, true);
  }

  void close_lost(ConnId id, bool reset) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const bool report = !it->second->closing;  // else the reducer closed it
    connections_.erase(it);
    if (report) step(Closed{id, reset});
  }

  // Reads the socket's error queue: ICMP port unreachable for sent datagrams.
  void read_refusals(Listener& listener) {
    for (std::size_t i = 0; i < limits_.max_listener_batch; ++i) {
      sockaddr_in to{};
      char bytes[2048];
      iovec buffer{bytes, sizeof bytes};
      alignas(cmsghdr) char control[512];
      msghdr message{};
      message.msg_name = &to;
      message.msg_namelen = sizeof to;
      message.msg_iov = &buffer;
      message.msg_iovlen = 1;
      message.msg_control = control;
      message.msg_controllen = sizeof control;
      const int fd = g_socket_get_fd(listener.socket.get());
      const ssize_t received = recvmsg(fd, &message, MSG_ERRQUEUE | MSG_DONTWAIT);
      if (received < 0) return;
      for (cmsghdr* c = CMSG_FIRSTHDR(&message); c != nullptr; c = CMSG_NXTHDR(&message, c)) {
        if (c->cmsg_level != IPPROTO_IP || c->cmsg_type != IP_RECVERR) continue;
        sock_extended_err error{};
        std::copy_n(CMSG_DATA(c), sizeof error, reinterpret_cast<unsigned char*>(&error));
        if (error.ee_errno != ECONNREFUSED || to.sin_family != AF_INET) continue;
        const GObjectPtr<GSocketAddress> address(g_socket_address_new_from_native(&to, sizeof to));
        step(Unreachable{listener.concern, format_address(address.get()),
                         std::string(bytes, static_cast<std::size_t>(received))});
      }
    }
  }

  void receive_datagrams(Listener& listener) {
    char buffer[65536];
    // A step may close this listener.
    const Concern concern = listener.concern;
    const auto is_open = [&] {
      return std::any_of(listeners_.begin(), listeners_.end(),
                         [&](const auto& l) { return l.get() == &listener; });
    };
    if (listener.exclusive) {
      read_refusals(listener);
      if (!is_open()) return;
    }
    for (std::size_t i = 0; i < limits_.max_listener_batch; ++i) {
      GSocketAddress* from = nullptr;
      GError* error = nullptr;
      const gssize received =
          g_socket_receive_from(listener.socket.get(), &from, buffer, sizeof buffer, nullptr, &error);
      const bool refused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
      g_clear_error(&error);
      if (received < 0 && refused)
        continue;  // refusal of a sent datagram: read_refusals gets it from the error queue
      if (received < 0 || from == nullptr) return;
      const std::string peer = format_address(from);
      g_object_unref(from);
      counters.bytes_in += static_cast<std::uint64_t>(received);
      step(Datagram{concern, peer, std::string_view(buffer, static_cast<std::size_t>(received))});
      if (!is_open()) return;
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
  std::optional<Time> ready_for_{};  // ready time set on tick_; absent: none since it fired
  GSource* tick_ = nullptr;
  int poll_ = -1;  // epoll descriptor of all connections
  std::unordered_map<std::uint64_t, Connection*> by_token_;
  std::uint64_t last_token_ = 0;
  std::optional<int> status_;
  std::map<ConnId, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::vector<AwaitedAddress> awaited_addresses_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t timer_order_ = 0;
  std::size_t outbound_ = 0;  // unwritten bytes of all connections
  std::uint32_t last_accepted_ = 0;
  std::vector<ConnId> dirty_;
  std::vector<ConnId> broken_;
  std::vector<Event> deferred_events_;
};

Runtime::Runtime(RuntimeLimits limits, Logger logger) : impl_(std::make_unique<Impl>(limits, logger)) {}
Runtime::~Runtime() = default;
int Runtime::run(Reducer reducer) { return impl_->run(std::move(reducer)); }
const RuntimeCounters& Runtime::counters() const { return impl_->counters; }

}  // namespace graniterun::net
