// Race conditions of the real program over loopback: stops, signals, endpoint lists and descriptor limits.
// The test's peers force the order of events; the other cases of docs/design/crossings.md are in
// crossings_test and runtime_test.
#include <sys/resource.h>

#include <memory>
#include <vector>

#include "world.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

// A bound socket that does not listen: connects are refused.
Socket refusing_socket() {
  Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopback(0);
  CHECK(::bind(s.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  return s;
}

// A listener with a full queue: connects get no response.
struct UnresponsiveListener {
  UnresponsiveListener() : listener(refusing_socket()) {
    CHECK(::listen(listener.descriptor(), 0) == 0);
    for (int i = 0; i < 4; ++i) {
      Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      const sockaddr_in address = loopback(listener.port());
      ::connect(s.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
      pending_connects.push_back(std::move(s));
    }
  }
  Socket listener;
  std::vector<Socket> pending_connects;
};

// With discovery down and an unresponsive server, restarted processes become ready from the cached endpoint
// list.
void twenty_restarts_become_ready_without_reachable_peers() {
  const UnresponsiveListener server;
  const Socket discovery = refusing_socket();
  std::vector<Socket> held;  // keeps each port taken until all are chosen
  for (int i = 0; i < 20; ++i) held.push_back(refusing_socket());
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
    do {  // not ready at first: asked again until Socket::line times out
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

// The program rejects an unanswered request before it exits, although the caller would wait longer; a second
// SIGTERM changes nothing.
void request_open_at_sigterm_is_answered_before_exit() {
  World world;
  world.caller.send(set_up("00000000000000aa", 9000));
  CHECK_EQ(world.from_server().method, "INVITE");
  world.program->signal(SIGTERM);
  world.program->wait_for_log("was asked to stop");
  world.program->signal(SIGTERM);
  Socket late = Socket::connected(world.port);  // new connections are still accepted
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

// Idle callers use up the callers' share of descriptors, and more wait to be accepted. A caller with a
// request, the discovery service once it is back, the server and the operators still get descriptors.
void idle_callers_leave_descriptors_for_all_others() {
  const Socket server_listener = Socket::bound(SOCK_STREAM);
  const Socket discovery = refusing_socket();
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
  CHECK(::listen(discovery.descriptor(), 16) == 0);  // discovery is back
  Socket watch = discovery.accept();
  CHECK(watch.until("\r\n\r\n").find("Last-Event-ID: 3\r\n") != std::string::npos);
  program.signal(SIGUSR1);
  program.wait_for_log("net.timers ");
  CHECK(program.log().find("net.held_at_the_door 0\n") == std::string::npos);
  CHECK(program.log().find("net.no_descriptor 0\n") != std::string::npos);
}

// Signals that are pending when the program starts are handled: SIGHUP is not lost, and SIGTERM ends the
// program with status 0 instead of killing it.
void signals_during_startup_are_handled() {
  const Socket discovery = refusing_socket();
  const Socket server = refusing_socket();
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

// A caller's close is noticed despite unread input, complete lines and a partial one, and input of other
// callers.
void requests_of_a_closed_caller_are_cancelled() {
  World world;
  std::vector<Socket> others;
  for (int i = 0; i < 20; ++i) others.push_back(Socket::connected(world.port));
  world.caller.send(set_up("00000000000000aa", 9000));
  CHECK_EQ(world.from_server().method, "INVITE");
  std::string pings;
  while (pings.size() < 40'000) pings += kPingLine;
  for (const Socket& other : others) other.send(pings);
  world.caller.send(set_up("00000000000000bb", 9000) + "{\"type\":");
  const sip::Message second = world.from_server();
  CHECK_EQ(second.header("Call-ID"), "00000000000000bb");
  world.caller = Socket();
  CHECK_EQ(world.from_server().method, "CANCEL");
  CHECK_EQ(world.from_server().method, "CANCEL");
}

// The program's counter in its last output.
std::uint64_t counter(const Program& program, const std::string& name) {
  const std::string log = program.log();
  const std::size_t at = log.rfind("\n" + name + " ");
  CHECK(at != std::string::npos);
  return std::strtoull(log.c_str() + at + name.size() + 2, nullptr, 10);
}
// Has the program print its counters, and waits for them.
void print_counters(const Program& program) {
  const std::string last = "net.timers_over_5ms_late ";
  const auto count_prints = [&] {
    std::size_t count = 0;
    const std::string log = program.log();
    for (std::size_t at = log.find(last); at != std::string::npos; at = log.find(last, at + 1)) ++count;
    return count;
  };
  const std::size_t before = count_prints();
  program.signal(SIGUSR1);
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatienceMs);
  while (count_prints() == before) {
    CHECK(std::chrono::steady_clock::now() < end);
    ::poll(nullptr, 0, 5);
  }
}

// A caller that sends setups and never reads its answers: output kept for it is bounded, other callers are
// served meanwhile, and it is closed although complete lines of it are unread. Without the check of unread
// output its connection stayed open forever, since idle callers are closed only without unread input. Sends
// to this caller do not block, because the test would hang.
void caller_that_never_reads_is_closed() {
  World world;
  Socket non_reader(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const int receive_buffer_bytes = 4096;
  ::setsockopt(non_reader.descriptor(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof receive_buffer_bytes);
  const sockaddr_in address = loopback(world.port);
  ::connect(non_reader.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  pollfd up{non_reader.descriptor(), POLLOUT, 0};
  CHECK_EQ(::poll(&up, 1, kPatienceMs), 1);
  // Each is rejected at once: its class is unknown.
  const auto refused_line = [](int number) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", number);
    std::string line = R"({"type":"setup","id":")" + std::string(id) +
                       R"(","fields":{"class":"none","left":"9","key":"7","extras":"dest:0"},"sdp":""})";
    line.resize(127, ' ');
    return line + "\n";
  };
  int calls = 0;
  const auto check_others_are_served = [&] {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xaa0000 + ++calls);
    world.caller.send(set_up(id, 9000));
    const sip::Message invite = world.from_server();
    CHECK_EQ(invite.method, "INVITE");
    world.answer(invite, "486 Busy Here");  // no call is established: the server's silence has no effect
    const json end = json::parse(world.caller.line());
    CHECK_EQ(end["id"], id);
    CHECK_EQ(end["type"], "release");
    CHECK_EQ(world.from_server().method, "ACK");
  };
  world.caller.send(refused_line(1));
  const std::size_t answer = world.caller.line().size();
  // The lines sent between two answers to the other caller are one read: no line is split.
  bool full = false;
  int sent = 1;
  while (!full) {
    for (int i = 0; i < 32 && !full; ++i) {
      const std::string line = refused_line(++sent);
      full = ::send(non_reader.descriptor(), line.data(), line.size(), MSG_NOSIGNAL | MSG_DONTWAIT) !=
             static_cast<ssize_t>(line.size());
    }
    CHECK(sent < 1'000'000);
    world.caller.send(kPingLine);
    CHECK_EQ(json::parse(world.caller.line())["type"], "pong");
  }
  check_others_are_served();
  print_counters(*world.program);
  const std::uint64_t answered = counter(*world.program, "platform.malformed");
  const std::uint64_t answer_bytes = answered * answer;
  const std::uint64_t written = counter(*world.program, "net.bytes_out");
  CHECK(answered < static_cast<std::uint64_t>(sent));  // not all lines were read
  CHECK(answer_bytes < written + 512 * 1024);
  check_others_are_served();
  print_counters(*world.program);
  CHECK_EQ(counter(*world.program, "platform.malformed"), answered);  // reading is paused
  pollfd gone{non_reader.descriptor(), 0, 0};
  // The other caller keeps sending: it would be closed after 15 s idle, and the wait may be longer.
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(3 * kPatienceMs);
  while (::poll(&gone, 1, 1000) == 0) {
    CHECK(std::chrono::steady_clock::now() < end);
    world.caller.send(kPingLine);
    CHECK_EQ(json::parse(world.caller.line())["type"], "pong");
  }
  CHECK((gone.revents & (POLLERR | POLLHUP)) != 0);
  check_others_are_served();
  print_counters(*world.program);
  CHECK_EQ(counter(*world.program, "net.overflowed"), 1U);
}

}  // namespace

int main(int, char** argv) {
  binary = argv[1];
  twenty_restarts_become_ready_without_reachable_peers();
  request_open_at_sigterm_is_answered_before_exit();
  idle_callers_leave_descriptors_for_all_others();
  signals_during_startup_are_handled();
  requests_of_a_closed_caller_are_cancelled();
  caller_that_never_reads_is_closed();
}
