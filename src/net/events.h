// What the runtime tells the reducer and what the reducer asks of the runtime. Plain data: nothing here reads
// or writes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::net {

// Whose connection, socket or timer it is.
enum class Concern : std::uint8_t {
  broker,
  platform,
  server,
  discovery,
  sip,
  trunk,
  collector,
  control,         // callers of the control listener
  control_client,  // gatekeepers that an announcer, or a command line, speaks to
  management,      // operators' one-line calls
  fleet,           // datagrams among gatekeepers
  configuration,   // distributors of it
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
  bool refused{};  // nobody listens there; else no answer came in time
  bool local{};    // there was no descriptor or port to be had here: it says nothing of the other side
};
// All that has come in and was not consumed yet. What the reducer does not consume stands in the next one
// too.
struct Received {
  ConnId conn;
  std::string_view bytes;
};
struct Closed {  // by the other side, or for an error
  ConnId conn;
  bool reset{};
};
// The other side of an accepted connection has closed it or has closed its half. What it sent before is still
// told, and then Closed; this comes ahead of what is not read yet, however much that is.
struct PeerClosed {
  ConnId conn;
};
// A Recall was in time: nothing of the message has been written, and nothing will be.
struct WriteWithdrawn {
  ConnId conn;
  std::uint64_t ticket{};
};
struct Datagram {
  Concern concern{};
  std::string_view peer;  // address:port
  std::string_view bytes;
};
// A datagram to that address was refused: nobody listens there.
struct Unreachable {
  Concern concern{};
  std::string peer;
  std::string bytes;  // of the datagram, as far as the network gave them back
};
struct Bound {  // an exclusive Bind has its port
  Concern concern{};
};
struct BindFailed {  // of an exclusive Bind
  Concern concern{};
};
struct TimerFired {
  TimerKey key;
};
struct StopRequested {};      // SIGTERM
struct CountersRequested {};  // SIGUSR1
struct ReloadRequested {};    // SIGHUP
struct FileRead {             // what ReadFile asked for; no text: it can't be read
  std::string path;
  std::optional<std::string> text;
};
struct Started {};

using Event = std::variant<Started, Accepted, Connected, ConnectFailed, Received, Closed, PeerClosed,
                           WriteWithdrawn, Datagram, Unreachable, Bound, BindFailed, TimerFired,
                           StopRequested, CountersRequested, ReloadRequested, FileRead>;

// Whose event it is; none: the whole program's.
inline std::optional<Concern> concern_of(const Event& event) {
  return std::visit(
      [](const auto& notice) -> std::optional<Concern> {
        if constexpr (requires { notice.conn; }) return notice.conn.concern;
        if constexpr (requires { notice.concern; }) return notice.concern;
        if constexpr (requires { notice.key; }) return notice.key.concern;
        return std::nullopt;
      },
      event);
}

// Hands the event to `handler` if that takes its type; an event of no concern to it is passed over.
template <class Handler>
void dispatch(const Event& event, Handler handler) {
  std::visit(
      [&](const auto& one) {
        if constexpr (requires { handler(one); }) handler(one);
      },
      event);
}

// ---- Effects

struct Listen {  // TCP
  Concern concern{};
  std::string address;
  std::optional<int> inherited{};  // a listening socket that this process was started with, instead of an own
  std::size_t reserved_connections =
      0;                 // so many connections of it stand beside the common limit; 0: all within the limit
  bool required = true;  // else the program goes on without it
};
// Takes no more connections. What others do with the same socket goes on.
struct StopListening {
  Concern concern{};
};
struct Bind {  // UDP
  Concern concern{};
  std::string address;
  // Shared with nobody, and told of refused datagrams. Bound comes back, or, where it can't be had,
  // BindFailed: the program goes on.
  bool exclusive = false;
};
// Ends its datagrams: the port is free again.
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
  // Not 0: it is counted in the runtime's counters once it is written whole, and may be recalled before.
  std::uint64_t ticket = 0;
};
// Takes a message back of which nothing is written yet: Recalled comes. Where it is too late `otherwise` is
// sent, if there is any.
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
struct Close {  // once what was sent is written
  ConnId conn;
};
struct Drop {  // at once, whatever can't be written now
  ConnId conn;
};
struct CloseIfIdle {  // unless something has come that was not read yet: that is told first
  ConnId conn;
  bool at_once = false;  // its descriptor is wanted: the other side's end is not awaited
};
struct ArmTimer {
  TimerKey key;
  Time at{};
};
struct ReadFile {
  std::string path;
};
struct WriteFile {  // whole, or not at all: the old one stays until the new one is on disk
  std::string path;
  std::string text;
  // What comes after it in the step rests on it: where it can't be written the program ends at once, with 1.
  bool required = false;
};
struct Log {
  Level level{};
  std::string text;
};
struct Print {  // whatever the level
  std::string text;
  bool answer = false;  // to whoever started the program: on standard output, else with the log
};
struct Exit {
  int status{};
};
// Unless something is left to write or has come and is not read yet, on any connection or as a new one.
struct ExitIfIdle {
  int status{};
};

using Effect =
    std::variant<Listen, StopListening, Bind, Unbind, Connect, Send, WithdrawSend, SendDatagram, Consume,
                 Close, Drop, CloseIfIdle, ArmTimer, ReadFile, WriteFile, Log, Print, Exit, ExitIfIdle>;
using Effects = std::vector<Effect>;

}  // namespace graniterun::net
