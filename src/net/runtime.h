// The runtime: GLib's main loop and GIO sockets. It does all reading and writing and decides nothing: it
// hands events to a reducer and carries out the effects that come back.
#pragma once

#include <functional>
#include <memory>

#include "net/events.h"
#include "net/log.h"

namespace graniterun::net {

struct RuntimeLimits {
  std::size_t connections = 900;               // accepted ones; who comes beyond waits to be let in
  std::size_t inbound = 64 * 1024;             // bytes of a connection not consumed yet
  std::size_t outbound = 512 * 1024;           // bytes of a connection not written yet; beyond: it is closed
  std::size_t outbound_all = 4 * 1024 * 1024;  // of all connections together; beyond: the fullest is closed
  // An accepted connection that has something left to be written, and whose other side has taken no byte for
  // so long, is closed at the next look, within twice as long: nothing more is read from it by then, so it
  // would be kept for good.
  Duration unread_timeout = std::chrono::seconds(10);
  std::size_t outbound_pause = 128 * 1024;  // reading from the connection waits while so many are not written
  std::size_t accepted_from_each = 64;      // at one turn of the loop
  // SIGTERM, SIGHUP and SIGUSR1 are told; false: another place of the process handles them.
  bool signals = true;
};

struct RuntimeCounters {
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t accepted = 0;
  std::uint64_t accept_paused = 0;    // times that a new connection had to wait to be let in
  std::uint64_t rejected = 0;         // at a listener that stands apart
  std::uint64_t no_descriptor = 0;    // connections that could not be made or taken for want of one
  std::uint64_t withdrawn = 0;        // messages taken back before they were written
  std::uint64_t overflowed = 0;       // closed for not reading what was sent
  std::uint64_t counted_written = 0;  // messages that were to be counted and are written whole
  std::uint64_t timers = 0;
  std::uint64_t timers_late_5ms = 0;
  std::uint64_t timers_late_20ms = 0;
  Duration latest_timer{};
};

using Reducer = std::function<void(Time now, const Event& event, Effects& effects)>;

// The Unix clock's time at the start, carried on by the steady clock, so that it never runs backwards.
Time clock_now();

// Called first of all by a program that is asked to stop or to read its settings again by signals: one that
// comes before the loop runs waits for it, and is neither lost nor the end.
void block_signals();

// Whether the descriptor is a TCP socket that listens.
bool is_listening_tcp(int descriptor);

// It has a loop of its own: several may run in one process, each in a thread of its own.
class Runtime {
 public:
  Runtime(RuntimeLimits limits, Logger logger);
  ~Runtime();
  // Runs until an Exit effect; returns its status.
  int run(Reducer reducer);
  const RuntimeCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniterun::net
