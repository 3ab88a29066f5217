// Stand-ins for the review cases: callers, setup servers and the journal service, as the project's pages and
// RFC 3261 describe them. One thread, non-blocking sockets, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace stand {

// ---- time and record

inline double now() {
  using namespace std::chrono;
  static const auto kStart = steady_clock::now();
  return duration<double>(steady_clock::now() - kStart).count();
}

inline FILE*& record_file() {
  static FILE* file = nullptr;
  return file;
}

__attribute__((format(printf, 1, 2))) inline void rec(const char* format, ...) {
  char text[2048];
  va_list args;
  va_start(args, format);
  vsnprintf(text, sizeof text, format, args);
  va_end(args);
  if (record_file() != nullptr) {
    fprintf(record_file(), "%8.3f %s\n", now(), text);
    fflush(record_file());
  }
}

// The case can't run: exit status 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline std::string env(const char* name, const std::string& otherwise = {}) {
  const char* value = getenv(name);
  return value != nullptr && *value != '\0' ? value : otherwise;
}

inline bool trouble() { return env("TROUBLE", "1") != "0"; }

// ---- sockets

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline std::string text_of(const sockaddr_in& address) {
  char ip[32];
  inet_ntop(AF_INET, &address.sin_addr, ip, sizeof ip);
  return std::string(ip) + ":" + std::to_string(ntohs(address.sin_port));
}

inline sockaddr_in address_in(const std::string& text) {
  const auto colon = text.rfind(':');
  return address_of(text.substr(0, colon), std::atoi(text.c_str() + colon + 1));
}

inline void set_nonblocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
}

inline int bound_port(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int udp_socket(int port = 0) {
  const int fd = socket(AF_INET, SOCK_DGRAM, 0);
  const sockaddr_in address = address_of("127.0.0.1", port);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    throw CannotRun("cannot bind a UDP socket");
  set_nonblocking(fd);
  return fd;
}

inline int listening_socket(int port = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = address_of("127.0.0.1", port);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 128) != 0)
    throw CannotRun("cannot listen");
  set_nonblocking(fd);
  return fd;
}

// A port of 127.0.0.1 that is free for TCP and UDP.
inline int free_port() {
  for (int tries = 0; tries < 50; ++tries) {
    const int tcp = listening_socket();
    const int port = bound_port(tcp);
    const int udp = socket(AF_INET, SOCK_DGRAM, 0);
    const sockaddr_in address = address_of("127.0.0.1", port);
    const bool both = bind(udp, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(tcp);
    close(udp);
    if (both) return port;
  }
  throw CannotRun("no free port");
}

// ---- what is served

// Everything that is served: step() must not block.
struct Part {
  Part() { all().insert(this); }
  Part(const Part&) = delete;
  Part& operator=(const Part&) = delete;
  virtual ~Part() { all().erase(this); }
  virtual void step() = 0;
  static std::set<Part*>& all() {
    static std::set<Part*> parts;
    return parts;
  }
};

struct Timers : Part {
  std::multimap<double, std::function<void()>> due;
  void step() override {
    while (!due.empty() && due.begin()->first <= now()) {
      auto action = std::move(due.begin()->second);
      due.erase(due.begin());
      action();
    }
  }
};

inline Timers& timers() {
  static Timers instance;
  return instance;
}

inline void after(double seconds, std::function<void()> action) {
  timers().due.emplace(now() + seconds, std::move(action));
}

// Serves all parts until the condition holds; false if it does not within the time limit.
inline bool run_until(const std::function<bool()>& condition, double limit) {
  timers();
  const double end = now() + limit;
  while (!condition()) {
    if (now() >= end) return false;
    const std::set<Part*> parts = Part::all();
    for (Part* part : parts) {
      if (Part::all().contains(part)) part->step();
    }
    usleep(500);
  }
  return true;
}

inline void run_for(double seconds) {
  run_until([] { return false; }, seconds);
}

// A TCP connection with buffered input and output.
struct Stream {
  int fd = -1;
  std::string in;
  std::string out;
  bool closed_by_peer = false;
  bool reset = false;

  Stream() = default;
  explicit Stream(int descriptor) : fd(descriptor) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    set_nonblocking(fd);
  }
  ~Stream() { end(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  static std::unique_ptr<Stream> connect_to(const std::string& to) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = address_in(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Stream>(fd);
  }
  bool open() const { return fd >= 0; }
  void end() {
    if (fd >= 0) close(fd);
    fd = -1;
  }
  // Ends it with RST.
  void abort() {
    if (fd < 0) return;
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    end();
  }
  void write(const std::string& bytes) {
    out += bytes;
    flush();
  }
  void flush() {
    while (fd >= 0 && !out.empty()) {
      const ssize_t sent = send(fd, out.data(), out.size(), MSG_NOSIGNAL);
      if (sent <= 0) break;
      out.erase(0, static_cast<std::size_t>(sent));
    }
  }
  void read() {
    flush();
    char bytes[16384];
    while (fd >= 0) {
      const ssize_t got = recv(fd, bytes, sizeof bytes, 0);
      if (got > 0) {
        in.append(bytes, static_cast<std::size_t>(got));
        continue;
      }
      if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      closed_by_peer = true;
      reset = got < 0;
      end();
    }
  }
};

// ---- SIP

struct Sip {
  std::string first;  // first line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  bool request() const { return first.rfind("SIP/2.0 ", 0) != 0; }
  std::string method() const { return request() ? first.substr(0, first.find(' ')) : std::string(); }
  std::string uri() const {
    const auto begin = first.find(' ') + 1;
    return first.substr(begin, first.rfind(' ') - begin);
  }
  int status() const { return request() ? 0 : std::atoi(first.c_str() + 8); }
  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return {};
  }
  std::vector<std::string> values(const std::string& name) const {
    std::vector<std::string> all;
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) all.push_back(value);
    }
    return all;
  }
  std::string cseq_method() const {
    const std::string value = header("CSeq");
    return value.substr(value.find(' ') + 1);
  }
  Sip& add(const std::string& name, const std::string& value) {
    headers.emplace_back(name, value);
    return *this;
  }
  std::string text() const {
    std::string all = first + "\r\n";
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), "Content-Length") != 0) all += key + ": " + value + "\r\n";
    }
    return all + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // Takes a whole message from the front of `bytes`; false if there is none.
  static bool take(std::string& bytes, Sip& message) {
    while (!bytes.empty() && (bytes[0] == '\r' || bytes[0] == '\n')) bytes.erase(0, 1);
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    message = {};
    std::size_t at = 0;
    while (at < end) {
      auto stop = bytes.find("\r\n", at);
      if (stop > end) stop = end;
      const std::string line = bytes.substr(at, stop - at);
      at = stop + 2;
      if (message.first.empty()) {
        message.first = line;
        continue;
      }
      const auto colon = line.find(':');
      std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
      value.erase(
          0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
      message.add(line.substr(0, colon), value);
    }
    const auto length = static_cast<std::size_t>(std::atoi(message.header("Content-Length").c_str()));
    if (bytes.size() < end + 4 + length) return false;
    message.body = bytes.substr(end + 4, length);
    bytes.erase(0, end + 4 + length);
    return true;
  }
  // A response to this request, with the headers that RFC 3261 8.2.6 names.
  Sip response(int status, const std::string& phrase, const std::string& to_tag = {}) const {
    Sip answer;
    answer.first = "SIP/2.0 " + std::to_string(status) + " " + phrase;
    for (const std::string& via : values("Via")) answer.add("Via", via);
    if (!header("From").empty()) answer.add("From", header("From"));
    std::string to = header("To");
    if (!to.empty()) {
      if (!to_tag.empty() && to.find(";tag=") == std::string::npos) to += ";tag=" + to_tag;
      answer.add("To", to);
    }
    answer.add("Call-ID", header("Call-ID"));
    answer.add("CSeq", header("CSeq"));
    return answer;
  }
};

inline std::string uri_of(const std::string& value) {
  const auto open = value.find('<');
  if (open == std::string::npos) return value.substr(0, value.find(';'));
  return value.substr(open + 1, value.find('>') - open - 1);
}

// host:port of a sip: URI.
inline std::string host_of(const std::string& uri) {
  std::string host = uri.substr(uri.find(':') + 1);
  if (const auto at = host.find('@'); at != std::string::npos) host.erase(0, at + 1);
  return host.substr(0, host.find(';'));
}

inline std::string hex_id(std::uint64_t number) {
  char text[32];
  snprintf(text, sizeof text, "%016llx",
           static_cast<unsigned long long>((number + 1) * 0x9e3779b97f4a7c15ULL));
  return text;
}

inline const std::string kSdp = "v=0\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";

// ---- the program under test

class Program {
 public:
  Program() = default;
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  ~Program() { kill_now(); }

  // `inherited` becomes descriptor 7 of the program; -1: none.
  void start(const std::string& label, const std::vector<std::string>& command,
             const std::map<std::string, std::string>& variables, const std::string& log,
             int inherited = -1) {
    label_ = label;
    pid_ = fork();
    if (pid_ < 0) throw CannotRun("cannot fork");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
      const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(file, 1);
      dup2(file, 2);
      if (inherited >= 0) {
        if (inherited == 7) {
          fcntl(7, F_SETFD, 0);
        } else {
          dup2(inherited, 7);
        }
      }
      std::vector<char*> argv;
      for (const std::string& word : command) argv.push_back(const_cast<char*>(word.c_str()));
      argv.push_back(nullptr);
      execv(argv[0], argv.data());
      _exit(127);
    }
    rec("%s started", label_.c_str());
  }
  void signal(int number) {
    if (pid_ <= 0) return;
    rec("%s gets signal %d", label_.c_str(), number);
    ::kill(pid_, number);
  }
  bool running() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
    rec("%s has ended, %s %d", label_.c_str(), WIFEXITED(status) ? "exit status" : "signal",
        WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
    pid_ = -1;
    return false;
  }
  void kill_now() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  pid_t pid_ = -1;
  std::string label_;
};

inline std::string folder() { return env("CASE_TMP", "/tmp"); }

inline void write_file(const std::string& path, const std::string& text) {
  FILE* file = fopen(path.c_str(), "w");
  if (file == nullptr) throw CannotRun("cannot write " + path);
  fwrite(text.data(), 1, text.size(), file);
  fclose(file);
}

// The deploy file's `run`, started as the deploy page says, with further arguments.
inline std::vector<std::string> run_command(const std::string& arguments = {}) {
  const std::string run = env("RUN_COMMAND");
  if (run.empty()) throw CannotRun("RUN_COMMAND is not set");
  return {"/bin/sh", "-c", arguments.empty() ? run : run + " " + arguments};
}

// One line to the management address; the first line of the answer.
inline std::string ask(const std::string& address, const std::string& line) {
  const auto stream = Stream::connect_to(address);
  if (!stream) return {};
  stream->write(line + "\n");
  run_until(
      [&] {
        stream->read();
        return !stream->open();
      },
      1.0);
  return stream->in.substr(0, stream->in.find('\n'));
}

// ---- the journal service

// Events that are numbered from 1; each connection gets those after its Last-Event-ID, and a comment each
// second.
class Journal : public Part {
 public:
  Journal() : listener_(listening_socket()), port_(bound_port(listener_)) {}
  ~Journal() override { close(listener_); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // `targets`: JSON objects, with commas between.
  void tell(const std::string& targets, bool all = false) {
    events_.push_back("{\"rev\":" + std::to_string(events_.size() + 1) +
                      ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[" + targets + "]}");
    rec("journal tells %s", events_.back().c_str());
    step();
  }
  // The value of `known` in the configuration.
  std::string known() const {
    std::string entries;
    for (std::size_t i = 0; i < events_.size(); ++i) entries += (i > 0 ? "," : "") + event(i);
    return "{\"pos\":" + std::to_string(events_.size()) + ",\"entries\":[" + entries + "]}";
  }
  void step() override {
    int fd = -1;
    while ((fd = accept(listener_, nullptr, nullptr)) >= 0) watches_.push_back(std::make_unique<Watch>(fd));
    for (auto& watch : watches_) serve(*watch);
    std::erase_if(watches_, [](const auto& watch) { return !watch->stream.open(); });
  }

 private:
  struct Watch {
    explicit Watch(int fd) : stream(fd) {}
    Stream stream;
    bool started = false;
    std::size_t position = 0;
    double next_comment = 0;
  };
  std::string event(std::size_t index) const {
    return "{\"pos\":" + std::to_string(index + 1) + ",\"hosts\":" + events_[index] + "}";
  }
  void serve(Watch& watch) {
    watch.stream.read();
    if (!watch.started) {
      if (watch.stream.in.find("\r\n\r\n") == std::string::npos) return;
      const auto at = watch.stream.in.find("Last-Event-ID: ");
      watch.position = at == std::string::npos
                           ? 0
                           : static_cast<std::size_t>(std::atoi(watch.stream.in.c_str() + at + 15));
      watch.started = true;
      watch.stream.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    }
    for (; watch.position < events_.size(); ++watch.position)
      watch.stream.write("id: " + std::to_string(watch.position + 1) + "\ndata: " + event(watch.position) +
                         "\n\n");
    if (now() < watch.next_comment) return;
    watch.next_comment = now() + 1.0;
    watch.stream.write(": alive\n\n");
  }

  int listener_;
  int port_;
  std::vector<std::string> events_;
  std::vector<std::unique_ptr<Watch>> watches_;
};

inline std::string target(const std::string& uid, const std::string& address, int group,
                          const std::string& state) {
  return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address +
         "\",\"az\":\"port-of-spain\",\"model\":\"std\",\"pod_group\":" + std::to_string(group) +
         ",\"state\":\"" + state + "\",\"capacity_hint\":1,\"boot_ms\":0}";
}

// ---- the configuration of a small deployment, with the figures of the brief

inline std::string config(const std::string& listen, const std::string& management,
                          const std::string& journal, const std::string& known) {
  const auto call_class = [](const std::string& name, const char* promise, const char* limit,
                             const char* worth) {
    return "{\"name\":\"" + name + "\",\"promiseNs\":" + promise + ",\"hardLimitNs\":" + limit +
           ",\"worth\":" + worth +
           ",\"lateWorth\":0.1,\"effect\":\"idempotent\",\"group\":\"all\","
           "\"dedupWindowNs\":5000000000,\"stream\":true}";
  };
  return "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"management\":\"" + management +
         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
         "\"journal\":\"" +
         journal + "\",\"known\":" + known +
         ",\"settings\":{"
         "\"areas\":[\"port-of-spain\",\"san-fernando\"],\"az\":0,\"classes\":[" +
         call_class("guide-call", "1500000000", "9000000000", "1.0") + "," +
         call_class("safety-call", "1200000000", "6000000000", "6.0") + "," +
         call_class("group-call", "1500000000", "9000000000", "3.0") +
         "],\"clients\":{\"marksRetry\":true},\"familyInfo\":{"
         "\"classHoldNs\":[9400000000,5600000000,7500000000],\"layout\":\"groups\",\"peerLoad\":\"answers\","
         "\"poolsByClass\":[[0,1],[0,1],[0,1]],\"releaseGuardNs\":200000000,\"resendNs\":400000000,"
         "\"tellsWait\":false},\"guarantees\":{\"answerSlackNs\":20000000,\"askEveryNs\":10000000000,"
         "\"coldFrom\":0.35,\"coldNs\":15000000000,\"fallMultiple\":2.5,"
         "\"stopSendingWithinNs\":2000000000,\"tipAfterNs\":1500000000},\"limits\":{\"cancel\":true,"
         "\"connectTimeoutNs\":500000000,\"maxAttempts\":5,\"maxRetryAfterNs\":2000000000,"
         "\"peers\":false,\"retryAfter\":true},\"me\":0,\"membershipMode\":\"pushed\","
         "\"objectiveMix\":{\"worstClass\":0.3},\"prices\":{\"lateFail\":0.03,\"waste\":0.02,\"peer\":0.0},"
         "\"replicasOfMe\":6,\"roundNs\":5000000}}";
}

// ---- a setup server of the platform: SIP over TCP, a state first on each connection and each second

class PlatformServer : public Part {
 public:
  struct Call {
    std::string id;
    std::size_t conn = 0;
    double invited = 0;
    double answered = -1;
    double released = -1;  // the server's BYE
    bool heard = false;    // the gatekeeper has answered it
    bool over = false;
    double cut_by_gatekeeper = -1;  // BYE of the gatekeeper
    double cancelled = -1;
  };
  double answer_after = 0.05;
  double hold = 1000;

  explicit PlatformServer(std::string uid) : uid_(std::move(uid)) {
    listener_ = listening_socket();
    port_ = bound_port(listener_);
  }
  ~PlatformServer() override { close(listener_); }
  const std::string& uid() const { return uid_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::map<std::string, Call> calls;  // by Call-ID, the newest attempt

  void step() override {
    int fd = -1;
    while ((fd = accept(listener_, nullptr, nullptr)) >= 0) {
      auto& conn = conns_[++last_];
      conn = std::make_unique<Conn>(fd);
      report(*conn);
      // A release is sent on the next connection opened, too.
      for (const std::string& id : to_repeat_) {
        rec("%s repeats the release of call %s on a connection opened since", uid_.c_str(), id.c_str());
        conn->stream.write(bye(calls.at(id)));
      }
      to_repeat_.clear();
    }
    for (auto& [number, conn] : conns_) {
      conn->stream.read();
      Sip message;
      while (Sip::take(conn->stream.in, message)) handle(number, *conn, message);
      if (now() >= conn->next_report) report(*conn);
      if (conn->stream.closed_by_peer) give_up(number);
    }
    std::erase_if(conns_, [](const auto& entry) { return !entry.second->stream.open(); });
    for (auto& [id, call] : calls) {
      if (call.over) continue;
      if (call.answered < 0 && now() >= call.invited + answer_after) answer(call);
      if (call.answered >= 0 && call.released < 0 && now() >= call.answered + hold) release(call);
    }
  }
  void release(Call& call) {
    call.released = now();
    call.over = true;
    rec("%s releases call %s (BYE, cause 16)", uid_.c_str(), call.id.c_str());
    // On the connection of its setup, otherwise on any open one; also on the next one opened.
    to_repeat_.insert(call.id);
    if (const auto own = conns_.find(call.conn); own != conns_.end()) {
      own->second->stream.write(bye(call));
    } else if (!conns_.empty()) {
      conns_.rbegin()->second->stream.write(bye(call));
    }
  }

 private:
  struct Conn {
    explicit Conn(int fd) : stream(fd) {}
    Stream stream;
    double next_report = 0;
  };
  void report(Conn& conn) {
    conn.next_report = now() + 0.4;
    conn.stream.write(
        "NOTIFY sip:state@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: state\r\n"
        "CSeq: 1 NOTIFY\r\nP-Load: x0:" +
        std::to_string(400 - static_cast<int>(open_calls())) +
        ";x1:400;eps:0;latency_ms:5\r\nContent-Length: 0\r\n\r\n");
  }
  std::size_t open_calls() const {
    std::size_t count = 0;
    for (const auto& [id, call] : calls) count += call.over ? 0 : 1;
    return count;
  }
  static std::string bye(const Call& call) {
    return "BYE sip:call@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + call.id +
           "\r\nCSeq: 7 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n";
  }
  void answer(Call& call) {
    const auto conn = conns_.find(call.conn);
    if (conn == conns_.end()) return;
    call.answered = now();
    rec("%s answers call %s (200)", uid_.c_str(), call.id.c_str());
    Sip ok;
    ok.first = "SIP/2.0 200 OK";
    ok.add("Via", "SIP/2.0/TCP peer").add("Call-ID", call.id).add("CSeq", "1 INVITE");
    ok.body = kSdp;
    conn->second->stream.write(ok.text());
  }
  // Closing a connection gives up the setups open on it.
  void give_up(std::size_t number) {
    for (auto& [id, call] : calls) {
      if (call.conn == number && call.answered < 0 && !call.over) {
        call.over = true;
        rec("%s: call %s is given up, its connection has closed", uid_.c_str(), id.c_str());
      }
    }
  }
  void handle(std::size_t number, Conn& conn, const Sip& message) {
    const std::string id = message.header("Call-ID");
    if (message.request() && message.method() == "INVITE") {
      rec("%s receives INVITE of call %s", uid_.c_str(), id.c_str());
      calls[id] = Call{id, number, now()};
      return;
    }
    const auto call = calls.find(id);
    if (message.request() && message.method() == "OPTIONS") {
      Sip ok = message.response(200, "OK");
      ok.add("P-Load", "x0:400;x1:400;eps:0;latency_ms:5");
      conn.stream.write(ok.text());
      return;
    }
    if (call == calls.end()) return;
    if (message.request() && message.method() == "CANCEL") {
      rec("%s receives CANCEL of call %s", uid_.c_str(), id.c_str());
      call->second.cancelled = now();
      if (call->second.answered < 0 && !call->second.over) {
        call->second.over = true;
        Sip end;
        end.first = "SIP/2.0 487 Request Terminated";
        end.add("Via", "SIP/2.0/TCP peer").add("Call-ID", id).add("CSeq", "1 INVITE");
        conn.stream.write(end.text());
      }
    } else if (message.request() && message.method() == "BYE") {
      rec("%s receives BYE of call %s", uid_.c_str(), id.c_str());
      if (call->second.cut_by_gatekeeper < 0) call->second.cut_by_gatekeeper = now();
      call->second.over = true;
      conn.stream.write(message.response(200, "OK").text());
    } else if (!message.request() && message.cseq_method() == "BYE") {
      if (!call->second.heard)
        rec("%s: release of call %s is heard (%d)", uid_.c_str(), id.c_str(), message.status());
      call->second.heard = true;
    }
  }

  std::string uid_;
  int listener_;
  int port_;
  std::size_t last_ = 0;
  std::map<std::size_t, std::unique_ptr<Conn>> conns_;
  std::set<std::string> to_repeat_;  // released calls, for the next connection opened
};

// ---- a caller of the platform: JSON lines over TCP

class PlatformCaller : public Part {
 public:
  struct Call {
    std::string id;
    double sent = -1;
    double answered = -1;
    double refused = -1;
    double released = -1;
    double hung_up = -1;
    double hang_up_heard = -1;
    int final_answers = 0;
  };
  explicit PlatformCaller(std::string gatekeeper) : gatekeeper_(std::move(gatekeeper)) {}
  std::map<std::string, Call> calls;

  bool connected() const { return stream_ && stream_->open(); }
  // Opens a connection if there is none.
  bool connect() {
    if (connected()) return true;
    stream_ = Stream::connect_to(gatekeeper_);
    if (stream_) rec("caller opens a connection");
    return stream_ != nullptr;
  }
  void close_connection() {
    if (stream_) stream_->end();
    stream_.reset();
  }
  bool set_up(const std::string& id, int left_ms, const std::string& call_class, int destination) {
    if (!connect()) return false;
    std::string sdp;
    for (const char c : kSdp) sdp += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
    stream_->write("{\"type\":\"setup\",\"id\":\"" + id + "\",\"fields\":{\"class\":\"" + call_class +
                   "\",\"left\":\"" + std::to_string(left_ms) + "\",\"key\":\"" + id +
                   "\",\"extras\":\"dest:" + std::to_string(destination) + ";width:1;via:-1\"},\"sdp\":\"" +
                   sdp + "\"}\n");
    calls[id].id = id;
    calls[id].sent = now();
    rec("caller sends setup %s, left %d ms", id.c_str(), left_ms);
    return true;
  }
  // Releases a call that stands, on a new connection if there is none.
  bool hang_up(const std::string& id) {
    if (!connect()) return false;
    stream_->write("{\"type\":\"release\",\"id\":\"" + id + "\",\"fields\":{},\"cause\":16}\n");
    calls[id].hung_up = now();
    rec("caller releases call %s, cause 16", id.c_str());
    return true;
  }
  void step() override {
    if (!stream_) return;
    stream_->read();
    for (auto end = stream_->in.find('\n'); end != std::string::npos; end = stream_->in.find('\n')) {
      const std::string line = stream_->in.substr(0, end);
      stream_->in.erase(0, end + 1);
      handle(line);
    }
    if (!stream_->open()) {
      rec("caller's connection was %s", stream_->reset ? "reset" : "closed");
      stream_.reset();
    }
  }

 private:
  static std::string field(const std::string& line, const std::string& name) {
    const auto at = line.find("\"" + name + "\":\"");
    if (at == std::string::npos) return {};
    const auto begin = at + name.size() + 4;
    return line.substr(begin, line.find('"', begin) - begin);
  }
  void handle(const std::string& line) {
    const std::string type = field(line, "type");
    const std::string id = field(line, "id");
    const auto cause_at = line.find("\"cause\":");
    const int cause = cause_at == std::string::npos ? -1 : std::atoi(line.c_str() + cause_at + 8);
    rec("caller receives %s of %s, cause %d", type.c_str(), id.c_str(), cause);
    const auto it = calls.find(id);
    if (it == calls.end()) return;
    Call& call = it->second;
    if (type == "answer") {
      call.answered = now();
      ++call.final_answers;
    } else if (type == "released") {
      call.hang_up_heard = now();
    } else if (type == "release") {
      if (call.answered >= 0) {
        if (call.released < 0) call.released = now();
        stream_->write("{\"type\":\"released\",\"id\":\"" + id + "\",\"fields\":{}}\n");
      } else {
        call.refused = now();
        ++call.final_answers;
      }
    }
  }

  std::string gatekeeper_;
  std::unique_ptr<Stream> stream_;
};

// ---- a SIP caller over UDP (RFC 3261, user agent client): one call

class SipCaller : public Part {
 public:
  SipCaller(std::string gatekeeper, std::string number, const std::string& call_class = "guide-call")
      : gatekeeper_(std::move(gatekeeper)), number_(std::move(number)), class_(call_class) {
    fd_ = udp_socket();
    port_ = bound_port(fd_);
  }
  ~SipCaller() override { close(fd_); }
  double sent = -1;
  double answered = -1;
  double refused = -1;
  int refusal = 0;
  double released = -1;  // the gatekeeper's BYE
  double hung_up = -1;
  int hang_up_status = 0;
  std::string id() const { return number_; }

  void invite() {
    invite_.first = "INVITE sip:" + number_ + "@" + gatekeeper_ + " SIP/2.0";
    invite_.headers.clear();
    invite_.add("Via", "SIP/2.0/UDP " + self() + ";branch=z9hG4bK-i-" + number_ + ";rport")
        .add("Max-Forwards", "70")
        .add("From", "<sip:caller@guides.trail.example>;tag=f" + number_)
        .add("To", "<sip:" + number_ + "@" + gatekeeper_ + ">")
        .add("Call-ID", "c" + number_ + "@127.0.0.1")
        .add("CSeq", "1 INVITE")
        .add("Contact", "<sip:caller@" + self() + ">")
        .add("Priority-Class", class_)
        .add("Content-Type", "application/sdp");
    invite_.body = kSdp;
    sent = now();
    rec("SIP caller %s sends INVITE", number_.c_str());
    send(invite_);
    resend_invite_at_ = now() + 0.5;
    invite_gap_ = 0.5;
  }
  void bye() {
    bye_ = in_dialog("BYE", 2, "b");
    hung_up = now();
    rec("SIP caller %s sends BYE", number_.c_str());
    send(bye_);
    resend_bye_at_ = now() + 0.5;
    bye_gap_ = 0.5;
  }
  void step() override {
    char bytes[65536];
    ssize_t got = 0;
    while ((got = recv(fd_, bytes, sizeof bytes, 0)) > 0) {
      std::string text(bytes, static_cast<std::size_t>(got));
      Sip message;
      if (Sip::take(text, message)) handle(message);
    }
    if (resend_invite_at_ > 0 && now() >= resend_invite_at_) {  // timer A
      invite_gap_ *= 2;
      resend_invite_at_ = now() + invite_gap_;
      rec("SIP caller %s repeats its INVITE", number_.c_str());
      send(invite_);
    }
    if (resend_bye_at_ > 0 && now() >= resend_bye_at_) {  // timer E
      bye_gap_ = std::min(4.0, bye_gap_ * 2);
      resend_bye_at_ = now() + bye_gap_;
      send(bye_);
    }
  }

 private:
  std::string self() const { return "127.0.0.1:" + std::to_string(port_); }
  void send(const Sip& message) {
    const std::string text = message.text();
    const sockaddr_in to = address_in(gatekeeper_);
    sendto(fd_, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  }
  Sip in_dialog(const std::string& method, int cseq, const std::string& branch) const {
    Sip message;
    message.first = method + " " + (target_.empty() ? "sip:" + gatekeeper_ : target_) + " SIP/2.0";
    message.add("Via", "SIP/2.0/UDP " + self() + ";branch=z9hG4bK-" + branch + "-" + number_ + ";rport")
        .add("Max-Forwards", "70")
        .add("From", invite_.header("From"))
        .add("To", remote_)
        .add("Call-ID", invite_.header("Call-ID"))
        .add("CSeq", std::to_string(cseq) + " " + method);
    return message;
  }
  void handle(const Sip& message) {
    if (message.request()) {
      if (message.method() == "BYE") {
        if (released < 0) rec("SIP caller %s receives BYE", number_.c_str());
        if (released < 0) released = now();
        send(message.response(200, "OK"));
      } else if (message.method() == "OPTIONS") {
        send(message.response(200, "OK"));
      }
      return;
    }
    if (message.cseq_method() == "BYE") {
      if (hang_up_status == 0)
        rec("SIP caller %s: its BYE is answered %d", number_.c_str(), message.status());
      if (message.status() >= 200) {
        hang_up_status = message.status();
        resend_bye_at_ = -1;
      }
      return;
    }
    if (message.cseq_method() != "INVITE") return;
    resend_invite_at_ = -1;
    if (message.status() < 200) return;
    remote_ = message.header("To");
    if (message.status() >= 300) {
      if (refused < 0) rec("SIP caller %s receives %d", number_.c_str(), message.status());
      refused = now();
      refusal = message.status();
      Sip ack = in_dialog("ACK", 1, "i");
      ack.first = "ACK " + invite_.uri() + " SIP/2.0";
      send(ack);
      return;
    }
    target_ = uri_of(message.header("Contact"));
    if (answered < 0) rec("SIP caller %s receives 200, sends ACK", number_.c_str());
    if (answered >= 0) rec("SIP caller %s receives 200 again, sends ACK again", number_.c_str());
    if (answered < 0) answered = now();
    send(in_dialog("ACK", 1, "a"));
  }

  std::string gatekeeper_;
  std::string number_;
  std::string class_;
  int fd_;
  int port_;
  Sip invite_;
  Sip bye_;
  std::string remote_;
  std::string target_;
  double resend_invite_at_ = -1;
  double invite_gap_ = 0.5;
  double resend_bye_at_ = -1;
  double bye_gap_ = 0.5;
};

// ---- a setup server that speaks SIP over UDP (RFC 3261, user agent server)

class SipServer : public Part {
 public:
  struct Call {
    std::string id;  // Call-ID
    Sip invite;
    std::string from;  // its peer's address
    double invited = -1;
    double answered = -1;
    double acknowledged = -1;
    double released = -1;
    int release_status = 0;
    double cut_by_gatekeeper = -1;
    double cancelled = -1;
    bool over = false;
    double resend_at = -1;
    double gap = 0.5;
    std::string to_resend;
    int invites = 0;
  };
  double answer_after = 0.05;
  double hold = 1000;
  bool cut_off = false;  // the network delivers nothing to it

  explicit SipServer(std::string uid) : uid_(std::move(uid)) {
    fd_ = udp_socket();
    port_ = bound_port(fd_);
  }
  ~SipServer() override { close(fd_); }
  const std::string& uid() const { return uid_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::map<std::string, Call> calls;

  void step() override {
    char bytes[65536];
    ssize_t got = 0;
    sockaddr_in from{};
    socklen_t size = sizeof from;
    while ((got = recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size)) > 0) {
      std::string text(bytes, static_cast<std::size_t>(got));
      Sip message;
      if (!Sip::take(text, message)) continue;
      if (cut_off) {
        rec("the network drops %s to %s", message.first.c_str(), uid_.c_str());
        continue;
      }
      handle(message, text_of(from));
    }
    for (auto& [id, call] : calls) {
      if (call.resend_at > 0 && now() >= call.resend_at) {
        call.gap = std::min(4.0, call.gap * 2);
        call.resend_at = now() + call.gap;
        send(call.to_resend, call.from);
      }
      if (call.over) continue;
      if (call.answered < 0 && now() >= call.invited + answer_after) answer(call);
      if (call.answered >= 0 && call.released < 0 && now() >= call.answered + hold) release(call);
    }
  }

 private:
  void send(const std::string& text, const std::string& to) {
    const sockaddr_in address = address_in(to);
    sendto(fd_, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }
  Sip ok_of(const Call& call) const {
    Sip ok = call.invite.response(200, "OK", "t-" + uid_);
    ok.add("Contact", "<sip:" + uid_ + "@" + address() + ">");
    ok.add("Content-Type", "application/sdp");
    ok.body = kSdp;
    return ok;
  }
  void answer(Call& call) {
    call.answered = now();
    rec("%s answers call %s (200)", uid_.c_str(), call.id.c_str());
    call.to_resend = ok_of(call).text();
    send(call.to_resend, call.from);
    call.gap = 0.5;
    call.resend_at = now() + call.gap;
  }
  void release(Call& call) {
    call.released = now();
    call.over = true;
    Sip bye;
    bye.first = "BYE " + uri_of(call.invite.header("Contact")) + " SIP/2.0";
    bye.add("Via", "SIP/2.0/UDP " + address() + ";branch=z9hG4bK-bye-" + call.id.substr(0, 20) + ";rport")
        .add("Max-Forwards", "70")
        .add("From", call.invite.header("To") + ";tag=t-" + uid_)
        .add("To", call.invite.header("From"))
        .add("Call-ID", call.id)
        .add("CSeq", "1 BYE")
        .add("Reason", "Q.850;cause=16");
    rec("%s releases call %s (BYE, cause 16)", uid_.c_str(), call.id.c_str());
    call.from = host_of(uri_of(call.invite.header("Contact")));
    call.to_resend = bye.text();
    send(call.to_resend, call.from);
    call.gap = 0.5;
    call.resend_at = now() + call.gap;
  }
  void handle(const Sip& message, const std::string& from) {
    const std::string id = message.header("Call-ID");
    const auto it = calls.find(id);
    if (message.request() && message.method() == "INVITE") {
      if (it != calls.end()) {
        ++it->second.invites;
        rec("%s receives a repeat of INVITE %s", uid_.c_str(), id.c_str());
        if (it->second.answered >= 0 && !it->second.over) send(ok_of(it->second).text(), from);
        return;
      }
      rec("%s receives INVITE %s", uid_.c_str(), id.c_str());
      Call call;
      call.id = id;
      call.invite = message;
      call.from = from;
      call.invited = now();
      call.invites = 1;
      calls.emplace(id, call);
      send(message.response(100, "Trying").text(), from);
      return;
    }
    if (message.request() && message.method() == "OPTIONS") {
      const bool known = it != calls.end() && !it->second.over;
      send(message.response(known ? 200 : 481, known ? "OK" : "Call/Transaction Does Not Exist").text(),
           from);
      return;
    }
    if (it == calls.end()) return;
    Call& call = it->second;
    if (message.request() && message.method() == "ACK") {
      if (call.acknowledged < 0) rec("%s receives ACK of %s", uid_.c_str(), id.c_str());
      if (call.acknowledged < 0) call.acknowledged = now();
      if (call.released < 0) call.resend_at = -1;
    } else if (message.request() && message.method() == "CANCEL") {
      rec("%s receives CANCEL of %s", uid_.c_str(), id.c_str());
      call.cancelled = now();
      send(message.response(200, "OK", "t-" + uid_).text(), from);
      if (call.answered < 0 && !call.over) {
        call.over = true;
        send(call.invite.response(487, "Request Terminated", "t-" + uid_).text(), from);
      }
    } else if (message.request() && message.method() == "BYE") {
      rec("%s receives BYE of %s", uid_.c_str(), id.c_str());
      if (call.cut_by_gatekeeper < 0) call.cut_by_gatekeeper = now();
      call.over = true;
      call.resend_at = -1;
      send(message.response(200, "OK").text(), from);
    } else if (!message.request() && message.cseq_method() == "BYE" && message.status() >= 200) {
      if (call.release_status == 0)
        rec("%s: its BYE of %s is answered %d", uid_.c_str(), id.c_str(), message.status());
      call.release_status = message.status();
      call.resend_at = -1;
    }
  }

  std::string uid_;
  int fd_;
  int port_;
};

// ---- main

inline int run_case(const std::function<bool()>& play) {
  signal(SIGPIPE, SIG_IGN);
  const std::string path = env("RECORD");
  if (!path.empty()) record_file() = fopen(path.c_str(), "w");
  rec("TROUBLE=%d", trouble() ? 1 : 0);
  try {
    const bool held = play();
    rec(held ? "the rule held" : "the rule was broken");
    printf("%s\n", held ? "the rule held" : "the rule was broken");
    return held ? 0 : 1;
  } catch (const std::exception& error) {
    rec("the case could not run: %s", error.what());
    printf("the case could not run: %s\n", error.what());
    return 2;
  }
}

inline void wait_ready(const std::string& management, double limit) {
  const double end = now() + limit;
  while (now() < end) {
    if (ask(management, "readyz") == "OK ready") {
      rec("readyz at %s: OK ready", management.c_str());
      return;
    }
    run_for(0.02);
  }
  throw CannotRun("the gatekeeper is not ready");
}

}  // namespace stand
