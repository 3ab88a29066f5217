// The real program over loopback in the instants that go wrong: stops, signals, lists and descriptors. The
// order of things is the peers' steps; the rest of docs/design/crossings.md is forced in crossings_test and
// runtime_test.
#include <sys/resource.h>

#include <memory>
#include <vector>

#include "world.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

// Bound, and nobody listens yet: a connect is refused.
Socket refusing() {
  Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopback(0);
  CHECK(::bind(s.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  return s;
}

// Its queue is full: who connects hears nothing, neither yes nor no.
struct Unreachable {
  Unreachable() : listener(refusing()) {
    CHECK(::listen(listener.descriptor(), 0) == 0);
    for (int i = 0; i < 4; ++i) {
      Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      const sockaddr_in address = loopback(listener.port());
      ::connect(s.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
      knocking.push_back(std::move(s));
    }
  }
  Socket listener;
  std::vector<Socket> knocking;
};

// Discovery is down and no server answers or refuses: restarted processes pass their test by the saved list.
void twenty_restarts_are_ready_though_nothing_can_be_reached() {
  const Unreachable server;
  const Socket discovery = refusing();
  std::vector<Socket> held;  // until all are chosen: no two are the same
  for (int i = 0; i < 20; ++i) held.push_back(refusing());
  std::vector<int> ports;
  for (const Socket& s : held) ports.push_back(s.port());
  held.clear();
  std::vector<std::unique_ptr<Program>> programs;
  for (int i = 0; i < 20; ++i) {
    const json config =
        config_for(ports[static_cast<std::size_t>(i)], server.listener.port(), discovery.port());
    programs.push_back(std::make_unique<Program>(binary, config.dump()));
  }
  for (const int port : ports) {
    Socket caller = Socket::connected(port);
    do {  // not ready at first: asked again until the test's patience ends
      caller.send(kPingLine);
    } while (json::parse(caller.line())["cause"] != 1);
  }
  for (const auto& program : programs) program->signal(SIGTERM);
  for (const auto& program : programs) {
    const int status = program->exit_status();
    if (status != 0) std::cerr << program->log();
    CHECK_EQ(status, 0);
  }
}

// A set-up that nobody answers is answered by the program before it ends, though its caller would wait for
// longer; a second SIGTERM hurries nothing.
void a_request_open_at_the_stop_is_answered_before_the_end() {
  World world;
  world.caller.send(set_up("00000000000000aa", 9000));
  CHECK_EQ(world.from_server().method, "INVITE");
  world.program->signal(SIGTERM);
  world.program->wait_for_log("was asked to stop");
  world.program->signal(SIGTERM);
  Socket late = Socket::connected(world.port);  // connections still come
  late.send(set_up("00000000000000bb", 9000));
  CHECK_EQ(world.from_server().method, "INVITE");
  for (Socket* caller : {&world.caller, &late}) {
    const json answer = json::parse(caller->line());
    CHECK_EQ(answer["type"], "release");
    CHECK(answer["fields"].contains("wait"));
    CHECK(caller->ends());
  }
  CHECK_EQ(world.program->exit_status(), 0);
}

// Idle callers take all that callers may have, and more stand at the door. A caller with a request, the
// journal service once it is back, the server and the operators get theirs all the same.
void idle_callers_leave_descriptors_for_all_others() {
  const Socket server_listener = Socket::bound(SOCK_STREAM);
  const Socket discovery = refusing();
  const int port = free_port();
  const int management = free_port();
  constexpr int kSockets = 128;
  json config = config_for(port, server_listener.port(), discovery.port());
  config["limits"]["sockets"] = kSockets;
  config["management"] = at(management);
  Program program(binary, config.dump(), {}, -1, [] {
    const rlimit few{kSockets, kSockets};
    ::setrlimit(RLIMIT_NOFILE, &few);
  });
  Socket server = server_listener.accept();
  std::vector<Socket> idle;
  for (int i = 0; i < 2 * kSockets; ++i) idle.push_back(Socket::connected(port));
  Socket caller = Socket::connected(port);
  caller.send(set_up("00000000000000aa", 9000));
  const sip::Message invite = sip::read_stream(server.message()).message;
  CHECK_EQ(invite.method, "INVITE");
  server.send("SIP/2.0 200 OK\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\na");
  CHECK_EQ(json::parse(caller.line())["type"], "answer");
  Socket operators = Socket::connected(management);
  operators.send("readyz\n");
  CHECK(operators.line().starts_with("OK"));
  CHECK(::listen(discovery.descriptor(), 16) == 0);  // it is back
  Socket feed = discovery.accept();
  CHECK(feed.until("\r\n\r\n").find("Last-Event-ID: 3\r\n") != std::string::npos);
  program.signal(SIGUSR1);
  program.wait_for_log("net.timers ");
  CHECK(program.log().find("net.held_at_the_door 0\n") == std::string::npos);
  CHECK(program.log().find("net.no_descriptor 0\n") != std::string::npos);
}

// The signals are pending as the program begins: nothing is lost, and it ends as asked instead of being
// killed.
void signals_while_it_starts_are_kept() {
  const Socket discovery = refusing();
  const Socket server = refusing();
  const json config = config_for(free_port(), server.port(), discovery.port());
  for (const int number : {SIGHUP, SIGTERM}) {
    Program program(binary, config.dump(), {}, -1, [number] {
      sigset_t set;
      sigemptyset(&set);
      sigaddset(&set, number);
      ::sigprocmask(SIG_BLOCK, &set, nullptr);
      ::raise(number);
    });
    if (number == SIGHUP) {
      program.wait_for_log("the configuration was read again");
      program.signal(SIGTERM);
    }
    CHECK_EQ(program.exit_status(), 0);
  }
}

// Its end is seen though it has left much to read, in whole lines and half a one, and though others talk.
void a_caller_that_closes_is_called_off() {
  World world;
  std::vector<Socket> others;
  for (int i = 0; i < 20; ++i) others.push_back(Socket::connected(world.port));
  world.caller.send(set_up("00000000000000aa", 9000));
  CHECK_EQ(world.from_server().method, "INVITE");
  std::string much;
  while (much.size() < 40'000) much += kPingLine;
  for (const Socket& other : others) other.send(much);
  world.caller.send(set_up("00000000000000bb", 9000) + "{\"type\":");
  const sip::Message second = world.from_server();
  CHECK_EQ(second.header("Call-ID"), "00000000000000bb");
  world.caller = Socket();
  CHECK_EQ(world.from_server().method, "CANCEL");
  CHECK_EQ(world.from_server().method, "CANCEL");
}

// The program's counter, as told last.
std::uint64_t counter(const Program& program, const std::string& name) {
  const std::string log = program.log();
  const std::size_t at = log.rfind("\n" + name + " ");
  CHECK(at != std::string::npos);
  return std::strtoull(log.c_str() + at + name.size() + 2, nullptr, 10);
}
// Has the counters told once more.
void tell_counters(const Program& program) {
  const std::string last = "net.timers_over_5ms_late ";
  const auto told = [&] {
    std::size_t count = 0;
    const std::string log = program.log();
    for (std::size_t at = log.find(last); at != std::string::npos; at = log.find(last, at + 1)) ++count;
    return count;
  };
  const std::size_t before = told();
  program.signal(SIGUSR1);
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatienceMs);
  while (told() == before) {
    CHECK(std::chrono::steady_clock::now() < end);
    ::poll(nullptr, 0, 5);
  }
}

// A caller that sends set-ups and never reads its answers. Guards: what is held for it is bounded, others are
// served all the while, and it is closed though whole lines of it are still unread. Such a caller was held
// back for ever: idle callers are closed only where nothing of theirs is unread. A test that sent to it and
// waited hung with it, so nothing is waited for in sending here.
void a_caller_that_never_reads_is_closed() {
  World world;
  Socket deaf(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const int little = 4096;
  ::setsockopt(deaf.descriptor(), SOL_SOCKET, SO_RCVBUF, &little, sizeof little);
  const sockaddr_in address = loopback(world.port);
  ::connect(deaf.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  pollfd up{deaf.descriptor(), POLLOUT, 0};
  CHECK_EQ(::poll(&up, 1, kPatienceMs), 1);
  // Each is answered at once: its class is unknown.
  const auto refused_line = [](int number) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", number);
    std::string line = R"({"type":"setup","id":")" + std::string(id) +
                       R"(","fields":{"class":"none","left":"9","key":"7","extras":"dest:0"},"sdp":""})";
    line.resize(127, ' ');
    return line + "\n";
  };
  int calls = 0;
  const auto others_are_served = [&] {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xaa0000 + ++calls);
    world.caller.send(set_up(id, 9000));
    const sip::Message invite = world.from_server();
    CHECK_EQ(invite.method, "INVITE");
    world.answer(invite, "486 Busy Here");  // nothing stands: the server's silence means nothing
    const json end = json::parse(world.caller.line());
    CHECK_EQ(end["id"], id);
    CHECK_EQ(end["type"], "release");
    CHECK_EQ(world.from_server().method, "ACK");
  };
  world.caller.send(refused_line(1));
  const std::size_t answer = world.caller.line().size();
  // What is sent between two answers to the other caller is one read: no line is cut by it.
  bool full = false;
  int sent = 1;
  while (!full) {
    for (int i = 0; i < 32 && !full; ++i) {
      const std::string line = refused_line(++sent);
      full = ::send(deaf.descriptor(), line.data(), line.size(), MSG_NOSIGNAL | MSG_DONTWAIT) !=
             static_cast<ssize_t>(line.size());
    }
    CHECK(sent < 1'000'000);
    world.caller.send(kPingLine);
    CHECK_EQ(json::parse(world.caller.line())["type"], "pong");
  }
  others_are_served();
  tell_counters(*world.program);
  const std::uint64_t answered = counter(*world.program, "platform.malformed");
  const std::uint64_t made = answered * answer;
  const std::uint64_t written = counter(*world.program, "net.bytes_out");
  CHECK(answered < static_cast<std::uint64_t>(sent));  // not all was read
  CHECK(made < written + 512 * 1024);
  others_are_served();
  tell_counters(*world.program);
  CHECK_EQ(counter(*world.program, "platform.malformed"), answered);  // held back
  pollfd gone{deaf.descriptor(), 0, 0};
  // The other caller speaks all the while: one that is idle for 15 s is closed, and the wait may be longer.
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(3 * kPatienceMs);
  while (::poll(&gone, 1, 1000) == 0) {
    CHECK(std::chrono::steady_clock::now() < end);
    world.caller.send(kPingLine);
    CHECK_EQ(json::parse(world.caller.line())["type"], "pong");
  }
  CHECK((gone.revents & (POLLERR | POLLHUP)) != 0);
  others_are_served();
  tell_counters(*world.program);
  CHECK_EQ(counter(*world.program, "net.overflowed"), 1U);
}

}  // namespace

int main(int, char** argv) {
  binary = argv[1];
  twenty_restarts_are_ready_though_nothing_can_be_reached();
  a_request_open_at_the_stop_is_answered_before_the_end();
  idle_callers_leave_descriptors_for_all_others();
  signals_while_it_starts_are_kept();
  a_caller_that_closes_is_called_off();
  a_caller_that_never_reads_is_closed();
}
