// What the drivers of the cases 6 to 10 share: a poll loop on the real clock, child processes, a relay, and
// small stand-ins for callers, setup servers and the journal service. Loopback only, standard library only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <functional>
#include <iterator>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace stage {

using Ms = std::int64_t;

inline Ms unix_ms() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<Ms>(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

// Ends the run with status 2: the case could not run.
[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

// record.txt: one line for each thing sent, answered and run, with the milliseconds since the start.
class Record {
 public:
  void open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
    if (file_ == nullptr) cannot_run("cannot write " + path);
    start_ = unix_ms();
  }
  __attribute__((format(printf, 2, 3))) void operator()(const char* format, ...) {
    std::fprintf(file_, "%7lld ", static_cast<long long>(unix_ms() - start_));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  FILE* file_ = stderr;
  Ms start_ = unix_ms();
};
inline Record record;

// ---- sockets and the loop

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int bound_socket(int type, int port = 0) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  if (type == SOCK_STREAM) ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    cannot_run("no socket");
  return fd;
}

inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// A port that no other socket gets while this process runs. It is bound, and not listened on: a program that
// binds with SO_REUSEADDR may listen there.
inline int reserved_port() { return port_of(bound_socket(SOCK_STREAM)); }

struct Stream {
  int fd = -1;
  std::string in{};
  std::string out{};
  bool connecting = false;
  bool paused = false;  // nothing is read
  std::function<void()> on_input{};
  std::function<void()> on_close{};  // the peer has closed or reset, or a connect has failed

  bool out_ended = false;          // nothing more is sent after what is in `out`
  bool in_ended = false;           // the peer has ended its direction; only with `on_end`
  std::function<void()> on_end{};  // if set, the end of the peer's direction does not close the stream

  bool open() const { return fd >= 0; }
  void end_output() {
    out_ended = true;
    flush();
  }
  void send(const std::string& bytes) {
    if (!open()) return;
    out += bytes;
    flush();
  }
  void flush() {
    while (open() && !connecting && !out.empty()) {
      const ssize_t sent = ::send(fd, out.data(), out.size(), MSG_NOSIGNAL);
      if (sent <= 0) return;
      out.erase(0, static_cast<std::size_t>(sent));
    }
    if (open() && !connecting && out.empty() && out_ended) ::shutdown(fd, SHUT_WR);
  }
  void close(bool reset = false) {
    if (!open()) return;
    const linger abort{1, 0};
    if (reset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::close(std::exchange(fd, -1));
  }
  ~Stream() { close(); }
};
using StreamPtr = std::shared_ptr<Stream>;

class Loop {
 public:
  StreamPtr add(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto stream = std::make_shared<Stream>();
    stream->fd = fd;
    streams_.push_back(stream);
    return stream;
  }
  StreamPtr connect(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) cannot_run("no socket");
    const sockaddr_in address = loopback(port);
    const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    StreamPtr stream = add(fd);
    stream->connecting = result != 0;
    return stream;
  }
  // Calls `handler` whenever the descriptor is readable.
  void watch(int fd, std::function<void()> handler) { watched_[fd] = std::move(handler); }
  void unwatch(int fd) { watched_.erase(fd); }
  void after(Ms delay, std::function<void()> action) {
    timers_.emplace(unix_ms() + delay, std::move(action));
  }

  void run_for(Ms time) {
    run_until([] { return false; }, time);
  }
  // Returns whether `done` became true within `limit`.
  bool run_until(const std::function<bool()>& done, Ms limit) {
    const Ms end = unix_ms() + limit;
    while (!done()) {
      if (unix_ms() >= end) return false;
      turn(end);
    }
    return true;
  }

 private:
  void turn(Ms end) {
    std::vector<pollfd> polled;
    std::vector<StreamPtr> streams;
    for (auto it = streams_.begin(); it != streams_.end();) {
      if (!(*it)->open()) {
        it = streams_.erase(it);
        continue;
      }
      short events = (*it)->paused || (*it)->in_ended ? 0 : POLLIN;
      if ((*it)->connecting || !(*it)->out.empty()) events = static_cast<short>(events | POLLOUT);
      polled.push_back({events != 0 ? (*it)->fd : -1, events, 0});
      streams.push_back(*it++);
    }
    for (const auto& [fd, handler] : watched_) polled.push_back({fd, POLLIN, 0});
    Ms next = std::min(end, unix_ms() + 20);
    if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
    ::poll(polled.data(), polled.size(), static_cast<int>(std::max<Ms>(0, next - unix_ms())));
    for (std::size_t i = 0; i < streams.size(); ++i) {
      if (polled[i].revents != 0) handle(streams[i], polled[i].revents);
    }
    for (std::size_t i = streams.size(); i < polled.size(); ++i) {
      if (polled[i].revents == 0) continue;
      const auto it = watched_.find(polled[i].fd);
      if (it != watched_.end()) std::function<void()>(it->second)();
    }
    while (!timers_.empty() && timers_.begin()->first <= unix_ms()) {
      const auto action = timers_.begin()->second;
      timers_.erase(timers_.begin());
      action();
    }
  }

  static void handle(const StreamPtr& stream, short events) {
    if (!stream->open()) return;
    if (stream->connecting) {
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return lose(stream);
      stream->connecting = false;
    }
    stream->flush();
    if (stream->paused || stream->in_ended || (events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    char buffer[65536];
    while (stream->open() && !stream->paused) {
      const ssize_t got = ::recv(stream->fd, buffer, sizeof buffer, 0);
      if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
      if (got == 0 && stream->on_end) {
        stream->in_ended = true;
        return std::function<void()>(stream->on_end)();
      }
      if (got <= 0) return lose(stream);
      stream->in.append(buffer, static_cast<std::size_t>(got));
      if (stream->on_input) std::function<void()>(stream->on_input)();
    }
  }
  static void lose(const StreamPtr& stream) {
    stream->close();
    if (stream->on_close) std::function<void()>(stream->on_close)();
  }

  std::list<StreamPtr> streams_;
  std::map<int, std::function<void()>> watched_;
  std::multimap<Ms, std::function<void()>> timers_;
};
inline Loop loop;

// A TCP listener on a free loopback port, or on a given one.
class Listener {
 public:
  explicit Listener(std::function<void(StreamPtr)> on_accept, int port = 0)
      : fd_(bound_socket(SOCK_STREAM, port)), port_(port_of(fd_)), on_accept_(std::move(on_accept)) {
    ::listen(fd_, 64);
    loop.watch(fd_, [this] { accept_all(); });
  }
  ~Listener() {
    loop.unwatch(fd_);
    ::close(fd_);
  }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  int port() const { return port_; }
  int descriptor() const { return fd_; }
  // While hung, new connections to it never come up: its queue is filled by connections of this process.
  void hang() {
    loop.unwatch(fd_);
    ::listen(fd_, 0);
    for (int i = 0; i < 3; ++i) fillers_.push_back(loop.connect(port_));
  }
  void unhang() {
    for (const StreamPtr& filler : std::exchange(fillers_, {})) filler->close(true);
    for (int fd = 0; (fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) ::close(fd);
    ::listen(fd_, 64);
    loop.watch(fd_, [this] { accept_all(); });
  }

 private:
  void accept_all() {
    for (int fd = 0; (fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;)
      on_accept_(loop.add(fd));
  }
  int fd_;
  int port_;
  std::function<void(StreamPtr)> on_accept_;
  std::vector<StreamPtr> fillers_{};
};

// ---- the relay between a gatekeeper and one server

class Relay {
 public:
  explicit Relay(int server_port)
      : server_port_(server_port), listener_([this](const StreamPtr& client) { accepted(client); }) {}
  int port() const { return listener_.port(); }
  // The network between the two is cut: open connections stay open and silent, new ones never come up.
  void cut() {
    cut_ = true;
    listener_.hang();
    for (const auto& pair : pairs_) pair.first->paused = pair.second->paused = true;
  }
  // What was written meanwhile arrives now, as TCP sends it again.
  void heal() {
    cut_ = false;
    listener_.unhang();
    for (const auto& pair : pairs_) pair.first->paused = pair.second->paused = false;
  }
  // Resets every open connection on both sides.
  void reset_all() {
    for (const auto& pair : std::exchange(pairs_, {})) {
      pair.first->close(true);
      pair.second->close(true);
    }
  }
  std::size_t open() const {
    return static_cast<std::size_t>(
        std::count_if(pairs_.begin(), pairs_.end(), [](const auto& pair) { return pair.first->open(); }));
  }

 private:
  void accepted(const StreamPtr& client) {
    const StreamPtr server = loop.connect(server_port_);
    join(client, server);
    join(server, client);
    pairs_.emplace_back(client, server);
  }
  static void join(const StreamPtr& from, const StreamPtr& to) {
    const std::weak_ptr<Stream> source = from;
    from->on_input = [source, to] {
      if (const StreamPtr stream = source.lock()) to->send(std::exchange(stream->in, {}));
    };
    from->on_close = [to] { to->close(true); };
    from->on_end = [source, to] {
      to->end_output();
      const StreamPtr stream = source.lock();
      if (!stream || !to->in_ended) return;
      loop.after(50, [stream, to] {
        stream->close();
        to->close();
      });
    };
  }
  int server_port_;
  bool cut_ = false;
  std::vector<std::pair<StreamPtr, StreamPtr>> pairs_{};
  Listener listener_;
};

// ---- child processes

inline std::map<pid_t, std::string> children;

// Ends all processes that were started; also called at each exit.
inline void end_children() {
  for (const auto& [pid, name] : children) {
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  children.clear();
}

// Starts a shell command, which should begin with `exec`, with its output in a file. `inherited` becomes
// descriptor 7.
inline pid_t start(const std::string& name, const std::string& command,
                   const std::map<std::string, std::string>& environment, const std::string& log,
                   int inherited = -1) {
  static const bool ends_children = std::atexit([] { end_children(); }) == 0;
  const pid_t pid = ::fork();
  if (pid < 0 || !ends_children) cannot_run("no process");
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with this process, however that ends
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    if (inherited == 7) ::fcntl(7, F_SETFD, 0);
    if (inherited >= 0 && inherited != 7) ::dup2(inherited, 7);
    for (const auto& [key, value] : environment) ::setenv(key.c_str(), value.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    ::_exit(127);
  }
  children[pid] = name;
  record("started %s as process %d", name.c_str(), static_cast<int>(pid));
  return pid;
}

// Whether the process has ended; its exit status, or 128 and the signal.
inline bool ended(pid_t pid, int* status = nullptr) {
  int raw = 0;
  if (::waitpid(pid, &raw, WNOHANG) != pid) return false;
  const int code = WIFEXITED(raw) ? WEXITSTATUS(raw) : 128 + WTERMSIG(raw);
  if (status != nullptr) *status = code;
  record("%s, process %d, ended with status %d", children[pid].c_str(), static_cast<int>(pid), code);
  children.erase(pid);
  return true;
}

inline std::string environment(const char* name, const std::string& otherwise) {
  const char* value = std::getenv(name);
  return value != nullptr && *value != '\0' ? value : otherwise;
}

inline bool trouble() { return environment("TROUBLE", "1") != "0"; }

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  if (!file) cannot_run("cannot write " + path);
}

// ---- SIP

struct Sip {
  std::string first{};
  std::vector<std::pair<std::string, std::string>> headers{};
  std::string body{};

  bool is_request() const { return first.rfind("SIP/2.0", 0) != 0; }
  std::string method() const { return first.substr(0, first.find(' ')); }
  int status() const { return is_request() ? 0 : std::atoi(first.c_str() + 8); }
  std::string get(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (::strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return {};
  }
  std::string cseq_method() const {
    const std::string cseq = get("CSeq");
    return cseq.substr(std::min(cseq.size(), cseq.find(' ') + 1));
  }
  Sip& add(const std::string& name, const std::string& value) {
    headers.emplace_back(name, value);
    return *this;
  }
  std::string text() const {
    std::string all = first + "\r\n";
    for (const auto& [name, value] : headers) all.append(name).append(": ").append(value).append("\r\n");
    return all + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

// Takes the first whole message from the buffer.
inline bool take_sip(std::string& buffer, Sip& message) {
  buffer.erase(0, std::min(buffer.find_first_not_of("\r\n"), buffer.size()));
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  message = {};
  std::size_t at = 0;
  while (at < end) {
    const std::size_t stop = std::min(buffer.find("\r\n", at), end);
    const std::string line = buffer.substr(at, stop - at);
    at = stop + 2;
    if (message.first.empty()) {
      message.first = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(" \t", colon + 1);
    message.add(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
  }
  const std::size_t length =
      static_cast<std::size_t>(std::strtoul(message.get("Content-Length").c_str(), nullptr, 10));
  if (buffer.size() < end + 4 + length) return false;
  message.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  std::erase_if(message.headers,
                [](const auto& header) { return ::strcasecmp(header.first.c_str(), "Content-Length") == 0; });
  return true;
}

// A response with the headers that RFC 3261 copies from the request.
inline Sip response_to(const Sip& request, int status, const std::string& phrase, const std::string& tag) {
  Sip response;
  response.first = "SIP/2.0 " + std::to_string(status) + " " + phrase;
  for (const auto& [name, value] : request.headers) {
    for (const char* copied : {"Via", "From", "To", "Call-ID", "CSeq", "Record-Route"}) {
      if (::strcasecmp(name.c_str(), copied) != 0) continue;
      const bool add_tag = name == "To" && !tag.empty() && value.find(";tag=") == std::string::npos;
      response.add(name, add_tag ? value + ";tag=" + tag : value);
    }
  }
  return response;
}

// ---- JSON lines of callers

inline std::string json_text(const std::string& line, const std::string& key) {
  const std::string mark = "\"" + key + "\":";
  std::size_t at = line.find(mark);
  if (at == std::string::npos) return {};
  at += mark.size();
  if (line[at] == '"') return line.substr(at + 1, line.find('"', at + 1) - at - 1);
  return line.substr(at, line.find_first_of(",}", at) - at);
}

inline std::string hex_id(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

inline std::string setup_line(const std::string& id, const std::string& call_class, int left, int pool,
                              const std::string& key = "7f3a9c21e0b4d655") {
  return R"({"type":"setup","id":")" + id + R"(","fields":{"class":")" + call_class + R"(","left":")" +
         std::to_string(left) + R"(","key":")" + key + R"(","extras":"dest:)" + std::to_string(pool) +
         R"(;width:1;via:-1"},"sdp":"offer of )" + id + "\"}\n";
}

inline std::string release_line(const std::string& id, int cause) {
  return R"({"type":"release","id":")" + id + R"(","fields":{},"cause":)" + std::to_string(cause) + "}\n";
}

// Connections of callers to one gatekeeper; records what comes for each call.
class Callers {
 public:
  struct Call {
    Ms set_up_at = 0;
    Ms answered_at = 0;
    Ms released_at = 0;           // a release came
    Ms release_confirmed_at = 0;  // `released` came for the caller's own release
    int cause = 0;
    int answers = 0;  // final answers
  };
  explicit Callers(int port) : port_(port) {}
  StreamPtr connect() {
    StreamPtr stream = loop.connect(port_);
    const std::weak_ptr<Stream> weak = stream;
    stream->on_input = [this, weak] {
      if (const StreamPtr open = weak.lock()) read(open);
    };
    return stream;
  }
  void set_up(const StreamPtr& stream, const std::string& id, const std::string& call_class, int left,
              int pool) {
    calls[id].set_up_at = unix_ms();
    record("caller: setup %s", id.c_str());
    stream->send(setup_line(id, call_class, left, pool));
  }
  void release(const StreamPtr& stream, const std::string& id, int cause = 16) {
    record("caller: release %s", id.c_str());
    stream->send(release_line(id, cause));
  }
  bool passes_test(const StreamPtr& stream) {
    pong_ = -1;
    stream->send(R"({"type":"ping","id":"00000000000000ff","fields":{},"cause":0})"
                 "\n");
    loop.run_until([this] { return pong_ >= 0; }, 1000);
    return pong_ == 1;
  }
  std::map<std::string, Call> calls{};

 private:
  void read(const StreamPtr& stream) {
    for (std::size_t end = 0; (end = stream->in.find('\n')) != std::string::npos;) {
      const std::string line = stream->in.substr(0, end);
      stream->in.erase(0, end + 1);
      const std::string type = json_text(line, "type");
      const std::string id = json_text(line, "id");
      if (type == "pong") pong_ = std::atoi(json_text(line, "cause").c_str());
      if (type == "pong" || type == "progress") continue;
      record("caller: got %s of %s, cause %s", type.c_str(), id.c_str(), json_text(line, "cause").c_str());
      Call& call = calls[id];
      if (type == "answer") {
        call.answered_at = unix_ms();
        ++call.answers;
      } else if (type == "released") {
        call.release_confirmed_at = unix_ms();
      } else if (type == "release") {
        if (call.answered_at == 0) ++call.answers;
        call.released_at = unix_ms();
        call.cause = std::atoi(json_text(line, "cause").c_str());
        stream->send(R"({"type":"released","id":")" + id + "\",\"fields\":{}}\n");
      }
    }
  }
  int port_;
  int pong_ = -1;
};

// ---- a setup server of the platform's protocol

class PlatformServer {
 public:
  struct Call {
    Ms arrived_at = 0;
    Ms answered_at = 0;
    Ms ended_at = 0;                   // given up, cut by the gatekeeper, or released by the server
    bool ended_by_gatekeeper = false;  // a BYE of the gatekeeper
    bool release_heard = false;        // 200 to the server's own BYE
    bool release_sent = false;
    std::weak_ptr<Stream> stream{};
    std::string offer{};  // the description of its INVITE
  };
  explicit PlatformServer(std::string name)
      : name_(std::move(name)), listener_([this](const StreamPtr& stream) { accepted(stream); }) {
    tell_state();
  }
  int port() const { return listener_.port(); }
  Ms answer_delay = 20;
  std::map<std::string, Call> calls{};

  // The call has come to its end here. Its release goes out on the connection of its setup, otherwise on any
  // open one, and also on the next one opened.
  void release(const std::string& id) {
    Call& call = calls.at(id);
    call.ended_at = unix_ms();
    call.release_sent = true;
    StreamPtr stream = call.stream.lock();
    if (!stream || !stream->open()) {
      stream.reset();
      for (const StreamPtr& other : streams_) {
        if (other->open()) stream = other;
      }
    }
    record("%s: releases %s%s", name_.c_str(), id.c_str(), stream ? "" : " (no connection)");
    if (stream) stream->send(bye(id).text());
    on_next_connection_.insert(id);
  }
  std::size_t connections() const {
    return static_cast<std::size_t>(
        std::count_if(streams_.begin(), streams_.end(), [](const StreamPtr& s) { return s->open(); }));
  }

 private:
  static Sip bye(const std::string& id) {
    Sip message;
    message.first = "BYE sip:caller@net SIP/2.0";
    message.add("Via", "SIP/2.0/TCP server").add("Call-ID", id).add("CSeq", "7 BYE");
    return message.add("Reason", "Q.850;cause=16");
  }
  static Sip state() {
    Sip message;
    message.first = "NOTIFY sip:gatekeeper@net SIP/2.0";
    message.add("Via", "SIP/2.0/TCP server").add("Call-ID", "state").add("CSeq", "1 NOTIFY");
    return message.add("P-Load", "x0:380;x1:400;eps:0;latency_ms:5");
  }
  void tell_state() {
    std::erase_if(streams_, [](const StreamPtr& stream) { return !stream->open(); });
    for (std::size_t i = 0; i < streams_.size() && i < 4; ++i) streams_[i]->send(state().text());
    loop.after(500, [this] { tell_state(); });
  }
  void accepted(const StreamPtr& stream) {
    streams_.push_back(stream);
    const std::weak_ptr<Stream> weak = stream;
    stream->on_input = [this, weak] {
      const StreamPtr open = weak.lock();
      Sip message;
      while (open && open->open() && take_sip(open->in, message)) handle(open, message);
    };
    const Stream* closed = stream.get();
    stream->on_close = [this, closed] { give_up(closed); };
    stream->send(state().text());
    for (const std::string& id : std::exchange(on_next_connection_, {})) {
      record("%s: releases %s on a new connection", name_.c_str(), id.c_str());
      stream->send(bye(id).text());
    }
  }
  // The close of a connection gives up the setups that are open on it.
  void give_up(const Stream* closed) {
    for (auto& [id, call] : calls) {
      const StreamPtr own = call.stream.lock();
      if (call.answered_at == 0 && call.ended_at == 0 && (!own || own.get() == closed)) {
        record("%s: the setup of %s is given up with its connection", name_.c_str(), id.c_str());
        call.ended_at = unix_ms();
      }
    }
  }
  void handle(const StreamPtr& stream, const Sip& message) {
    const std::string id = message.get("Call-ID");
    if (!message.is_request()) {
      if (message.cseq_method() == "BYE" && calls.contains(id)) calls[id].release_heard = true;
      return;
    }
    if (message.method() == "INVITE") return set_up(stream, message);
    if (message.method() == "OPTIONS") {
      Sip answer = response_to(message, 200, "OK", {});
      answer.add("P-Load", "x0:380;x1:400;eps:0;latency_ms:5");
      return stream->send(answer.text());
    }
    if (message.method() == "BYE") {
      record("%s: BYE of %s from the gatekeeper", name_.c_str(), id.c_str());
      if (const auto it = calls.find(id); it != calls.end() && it->second.ended_at == 0) {
        it->second.ended_at = unix_ms();
        it->second.ended_by_gatekeeper = true;
      }
      stream->send(response_to(message, 200, "OK", {}).text());
    }
    if (message.method() == "CANCEL") {
      record("%s: CANCEL of %s", name_.c_str(), id.c_str());
      const auto it = calls.find(id);
      if (it == calls.end() || it->second.answered_at != 0 || it->second.ended_at != 0) return;
      it->second.ended_at = unix_ms();
      Sip answer = response_to(message, 487, "Request Terminated", {});
      for (auto& [name, value] : answer.headers) {
        if (name == "CSeq") value = "1 INVITE";
      }
      stream->send(answer.text());
    }
  }
  void set_up(const StreamPtr& stream, const Sip& invite) {
    const std::string id = invite.get("Call-ID");
    record("%s: INVITE of %s", name_.c_str(), id.c_str());
    calls[id] = Call{unix_ms(), 0, 0, false, false, false, stream, invite.body};
    const std::weak_ptr<Stream> weak = stream;
    loop.after(answer_delay, [this, weak, id, invite] {
      const StreamPtr open = weak.lock();
      Call& call = calls[id];
      if (!open || !open->open() || call.ended_at != 0 || call.answered_at != 0) return;
      call.answered_at = unix_ms();
      Sip answer = response_to(invite, 200, "OK", {});
      answer.body = "answer of " + name_ + " for " + id;
      record("%s: answers %s", name_.c_str(), id.c_str());
      open->send(answer.text());
    });
  }
  std::string name_;
  std::vector<StreamPtr> streams_{};
  std::set<std::string> on_next_connection_{};
  Listener listener_;
};

// ---- the journal service

struct Target {
  std::string uid{};
  int port{};
  std::string state = "ready";
  int pool = 0;
  std::string zone = "east";  // the gatekeeper's own
};

inline std::string hosts_json(const std::vector<Target>& targets, bool all, int rev) {
  std::string text =
      R"({"rev":)" + std::to_string(rev) + R"(,"all":)" + (all ? "true" : "false") + R"(,"targets":[)";
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const Target& target = targets[i];
    text += std::string(i > 0 ? "," : "") + R"({"uid":")" + target.uid + R"(","endpoint":")" +
            address_of(target.port) + R"(","az":")" + target.zone + R"(","model":"std","pod_group":)" +
            std::to_string(target.pool) + R"(,"state":")" + target.state +
            R"(","capacity_hint":4,"boot_ms":0})";
  }
  return text + "]}";
}

class Journal {
 public:
  // Event 1 is the whole list.
  explicit Journal(const std::vector<Target>& targets)
      : listener_([this](const StreamPtr& stream) { accepted(stream); }) {
    append(targets, true);
    beat();
  }
  int port() const { return listener_.port(); }
  void append(const std::vector<Target>& targets, bool all = false) {
    const int id = static_cast<int>(events_.size()) + 1;
    events_.push_back(R"({"pos":)" + std::to_string(id) + R"(,"hosts":)" + hosts_json(targets, all, id) +
                      "}");
    for (auto& [stream, sent] : watches_) feed(stream, sent);
  }
  const std::vector<std::string>& events() const { return events_; }
  Ms answer_delay = 0;  // from the request to the first byte of its answer
  int watches = 0;      // requests so far
  // While it is down, it says nothing and new connections never come up.
  void go_down() {
    down_ = true;
    listener_.hang();
  }
  void come_up() {
    down_ = false;
    listener_.unhang();
    for (auto& [stream, sent] : watches_) feed(stream, sent);
  }

 private:
  void beat() {
    std::erase_if(watches_, [](const auto& watch) { return !watch.first->open(); });
    for (const auto& [stream, sent] : watches_) {
      if (!down_) stream->send(": beat\n\n");
    }
    loop.after(1000, [this] { beat(); });
  }
  void accepted(const StreamPtr& stream) {
    const std::weak_ptr<Stream> weak = stream;
    stream->on_input = [this, weak] {
      const StreamPtr open = weak.lock();
      if (!open || down_ || open->in.find("\r\n\r\n") == std::string::npos) return;
      const std::size_t at = open->in.find("Last-Event-ID: ");
      const std::size_t last =
          at == std::string::npos ? 0 : static_cast<std::size_t>(std::atoi(open->in.c_str() + at + 15));
      open->in.clear();
      ++watches;
      record("journal: a watch from event %zu on", last + 1);
      loop.after(answer_delay, [this, weak, last] { answer(weak.lock(), last); });
    };
  }
  void answer(const StreamPtr& open, std::size_t last) {
    if (!open || !open->open() || down_) return;
    open->send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: here\n\n");
    watches_.emplace_back(open, last);
    feed(open, watches_.back().second);
  }
  void feed(const StreamPtr& stream, std::size_t& sent) {
    for (; !down_ && sent < events_.size(); ++sent)
      stream->send("id: " + std::to_string(sent + 1) + "\ndata: " + events_[sent] + "\n\n");
  }
  std::vector<std::string> events_{};
  std::vector<std::pair<StreamPtr, std::size_t>> watches_{};
  bool down_ = false;
  Listener listener_;
};

// ---- a gatekeeper

// The configuration of a small deployment: two classes, the figures of the trail deployment.
inline std::string configuration(const std::string& name, int listen, int management,
                                 const Journal& journal) {
  std::string known;
  for (const std::string& event : journal.events()) known += (known.empty() ? "" : ",") + event;
  return R"({"name":")" + name + R"(","listen":")" + address_of(listen) + R"(","management":")" +
         address_of(management) + R"(","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"journal":")" +
         address_of(journal.port()) + R"(","known":{"pos":)" + std::to_string(journal.events().size()) +
         R"(,"entries":[)" + known + R"(]},
"settings":{"areas":["east","west"],"az":0,"me":0,"replicasOfMe":3,"roundNs":5000000,"membershipMode":"pushed",
"classes":[
{"name":"guide-call","promiseNs":1500000000,"hardLimitNs":9000000000,"worth":1.0,"lateWorth":0.1,"effect":"idempotent","group":"all","dedupWindowNs":5000000000,"stream":true},
{"name":"safety-call","promiseNs":1200000000,"hardLimitNs":6000000000,"worth":6.0,"lateWorth":0.1,"effect":"idempotent","group":"all","dedupWindowNs":5000000000,"stream":true}],
"clients":{"marksRetry":true},
"familyInfo":{"classHoldNs":[9900000000,6000000000],"layout":"groups","peerLoad":"answers","poolsByClass":[[0,1],[0,1]],"releaseGuardNs":200000000,"resendNs":400000000,"tellsWait":false},
"guarantees":{"answerSlackNs":20000000,"askEveryNs":10000000000,"coldFrom":0.35,"coldNs":15000000000,"fallMultiple":2.5,"stopSendingWithinNs":2000000000,"tipAfterNs":1500000000},
"limits":{"cancel":true,"connectTimeoutNs":500000000,"maxAttempts":5,"maxRetryAfterNs":2000000000,"peers":false,"retryAfter":true,"probes":true,"keepaliveNs":600000000000},
"objectiveMix":{"worstClass":0.3},"prices":{"lateFail":0.03,"waste":0.02,"peer":0.0},
"report":{"how":"answers","names":["spare","total","cut_by","avg_ms"]}}}
)";
}

// One line to the management address; its answer, or nothing.
inline std::string ask(int port, const std::string& line) {
  const StreamPtr stream = loop.connect(port);
  stream->send(line + "\n");
  bool closed = false;
  stream->on_close = [&closed] { closed = true; };
  loop.run_until([&] { return closed; }, 500);
  stream->on_close = {};
  return stream->in;
}

inline bool wait_ready(int management, Ms limit = 10000) {
  const Ms end = unix_ms() + limit;
  while (unix_ms() < end) {
    if (ask(management, "readyz").rfind("OK", 0) == 0) return true;
    loop.run_for(50);
  }
  return false;
}

// The end of a driver: ends all processes and returns the exit status.
inline int finish(bool broken, const std::string& verdict) {
  record("%s: %s", broken ? "BROKEN" : "held", verdict.c_str());
  std::printf("%s: %s\n", broken ? "BROKEN" : "held", verdict.c_str());
  end_children();
  return broken ? 1 : 0;
}

}  // namespace stage
