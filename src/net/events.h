// Events that the runtime delivers to a reducer, and effects that the reducer requests from the runtime.
// Plain data: nothing here does I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::net {

// The part of a program that owns a connection, socket or timer.
enum class Concern : std::uint8_t {
  broker,
  platform,
  server,
  discovery,
  sip,
  trunk,
  collector,
  control,         // connections accepted by the control listener
  control_client,  // connections from the gap publisher, a distributor or the command line
  management,      // operators' one-line requests
  fleet,           // datagrams between gatekeepers
  configuration,   // connections to configuration distributors
  process
};
constexpr std::size_t kConcerns = static_cast<std::size_t>(Concern::process) + 1;

struct ConnId {
  Concern concern{};
  std::uint32_t number{};
  auto operator<=>(const ConnId&) const = default;
};

struct TimerKey {
  Concern concern{};
  std::uint64_t number{};
};

enum class Level : std::uint8_t { debug, info, warning, error };

// ---- Events

struct Accepted {
  ConnId conn;
};
struct Connected {
  ConnId conn;
};
struct ConnectFailed {
  ConnId conn;
  bool refused{};         // connection refused; false: unreachable, timed out or a local failure
  bool local_shortage{};  // no descriptor or port was available here: says nothing about the peer
};
// All received bytes that are not consumed yet. Bytes that the reducer does not consume are delivered again
// with the next Received.
struct Received {
  ConnId conn;
  std::string_view bytes;
};
struct Closed {  // by the peer, or after an error
  ConnId conn;
  bool reset{};
};
// The peer of an accepted connection closed it or shut down its sending direction. Delivered ahead of any
// unread input; the input that the peer sent before follows, and then Closed.
struct PeerClosed {
  ConnId conn;
};
// A WithdrawSend succeeded: no byte of the message was written, and none will be.
struct WriteWithdrawn {
  ConnId conn;
  std::uint64_t ticket{};
};
struct Datagram {
  Concern concern{};
  std::string_view peer;  // address:port
  std::string_view bytes;
};
// ICMP port unreachable for a datagram sent to `peer`: no process listens there.
struct Unreachable {
  Concern concern{};
  std::string peer;
  std::string bytes;  // of the datagram, as far as the ICMP message contains them
};
struct BindSucceeded {  // an exclusive Bind succeeded
  Concern concern{};
};
struct BindFailed {  // an exclusive Bind failed
  Concern concern{};
};
struct TimerFired {
  TimerKey key;
};
struct StopRequested {};      // SIGTERM
struct CountersRequested {};  // SIGUSR1
struct ReloadRequested {};    // SIGHUP
struct FileRead {             // result of ReadFile; no text: the file could not be read
  std::string path;
  std::optional<std::string> text;
};
struct Started {};

using Event = std::variant<Started, Accepted, Connected, ConnectFailed, Received, Closed, PeerClosed,
                           WriteWithdrawn, Datagram, Unreachable, BindSucceeded, BindFailed, TimerFired,
                           StopRequested, CountersRequested, ReloadRequested, FileRead>;

// The concern that an event belongs to; absent for events of the whole program.
inline std::optional<Concern> concern_of(const Event& event) {
  return std::visit(
      [](const auto& alternative) -> std::optional<Concern> {
        if constexpr (requires { alternative.conn; }) return alternative.conn.concern;
        if constexpr (requires { alternative.concern; }) return alternative.concern;
        if constexpr (requires { alternative.key; }) return alternative.key.concern;
        return std::nullopt;
      },
      event);
}

// Calls `handler` with the event if it accepts that type; ignores the event otherwise.
template <class Handler>
void dispatch(const Event& event, Handler handler) {
  std::visit(
      [&](const auto& alternative) {
        if constexpr (requires { handler(alternative); }) handler(alternative);
      },
      event);
}

// ---- Effects

struct Listen {  // TCP
  Concern concern{};
  std::string address;
  std::optional<int> inherited_socket{};  // descriptor of a listening socket passed to this process, used
                                          // instead of a new one
  std::size_t reserved_connections =
      0;  // maximum connections, outside RuntimeLimits::max_connections; 0: they count against that limit
  bool required = true;           // false: the program continues if listening fails
  bool wait_for_address = false;  // while another socket holds the address, tries again until that is closed
};
// Accepts no more connections. Other processes that share the socket can still accept; an address that is not
// shared is freed.
struct StopListening {
  Concern concern{};
};
struct Bind {  // UDP
  Concern concern{};
  std::string address;
  // The port is not shared (no SO_REUSEADDR), and Unreachable events are reported. The result is
  // BindSucceeded or BindFailed; a failure does not end the program.
  bool exclusive = false;
  // The port is not shared, and while another socket holds it, the runtime tries again until that is closed.
  bool wait_for_address = false;
};
// Closes the UDP sockets of the concern, which frees their ports.
struct Unbind {
  Concern concern{};
};
struct Connect {
  ConnId conn;
  std::string address;
  Duration timeout{};
};
struct Send {
  ConnId conn;
  std::string bytes;
  // If not 0: the message is counted in RuntimeCounters::counted_written once it is completely written, and
  // WithdrawSend can name it until its first byte is written.
  std::uint64_t ticket = 0;
};
// Withdraws a message of which no byte is written yet; WriteWithdrawn confirms it. If it is too late,
// `fallback` is sent, unless it is empty.
struct WithdrawSend {
  ConnId conn;
  std::uint64_t ticket{};
  std::string fallback;
};
struct SendDatagram {
  Concern concern{};
  std::string peer;
  std::string bytes;
};
struct Consume {
  ConnId conn;
  std::size_t count{};
};
struct Close {  // after all sent bytes are written
  ConnId conn;
};
struct Drop {  // immediately; bytes that can't be written now are lost
  ConnId conn;
};
// Closes the sending direction after all sent bytes are written. Input is delivered until the peer closes,
// then Closed. Later Sends are ignored.
struct FinishSending {
  ConnId conn;
};
struct CloseIfIdle {  // does nothing if the socket has unread input; Received will deliver that
  ConnId conn;
  bool at_once = false;  // frees the descriptor immediately: does not wait until the peer closes
};
struct ArmTimer {
  TimerKey key;
  Time at{};
};
struct ReadFile {
  std::string path;
};
struct WriteFile {  // atomically: the old file stays until the new one is on disk
  std::string path;
  std::string text;
  // Later effects of the step depend on the file: if it can't be written, the program exits at once with
  // status 1.
  bool required = false;
};
struct Log {
  Level level{};
  std::string text;
};
struct Print {  // regardless of the log level
  std::string text;
  bool to_stdout = false;  // true: to standard output; false: to standard error, like the log
};
struct Exit {
  int status{};
};
// Exits unless an accepted connection has unwritten output or unread input, or a new connection waits to be
// accepted.
struct ExitIfIdle {
  int status{};
};

using Effect = std::variant<Listen, StopListening, Bind, Unbind, Connect, Send, WithdrawSend, SendDatagram,
                            Consume, Close, Drop, FinishSending, CloseIfIdle, ArmTimer, ReadFile, WriteFile,
                            Log, Print, Exit, ExitIfIdle>;
using Effects = std::vector<Effect>;

}  // namespace graniterun::net
