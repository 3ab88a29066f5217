// Runtime of the programs on GLib's main loop and GIO sockets. It does all I/O and makes no decisions: it
// passes events to a reducer and carries out the effects that the reducer returns.
#pragma once

#include <functional>
#include <memory>

#include "net/events.h"
#include "net/log.h"

namespace graniterun::net {

struct RuntimeLimits {
  std::size_t connections = 900;      // accepted connections; more wait in the listen queue
  std::size_t inbound = 64 * 1024;    // bytes received on a connection and not consumed yet
  std::size_t outbound = 512 * 1024;  // unwritten bytes of a connection; above it the connection is closed
  std::size_t outbound_all =
      4 * 1024 * 1024;  // unwritten bytes of all connections; above: the one with most is closed
  // Interval of the check for accepted connections with unwritten output whose peer acknowledged no byte
  // since the last check: those are closed, so within twice this time. Reading from such a connection is
  // paused by then, and without this check it would stay open forever.
  Duration unread_timeout = std::chrono::seconds(10);
  std::size_t outbound_pause = 128 * 1024;  // unwritten bytes above which reading from the connection pauses
  std::size_t max_listener_batch = 64;      // maximum per listener and main loop iteration, of datagrams too
  // Whether SIGTERM, SIGHUP and SIGUSR1 are delivered as events; false: other code of the process handles
  // them.
  bool signals = true;
};

struct RuntimeCounters {
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t accepted = 0;
  std::uint64_t accept_paused = 0;    // times that accepting paused for lack of connections or descriptors
  std::uint64_t rejected = 0;         // connections closed because a listener's reserved ones were in use
  std::uint64_t no_descriptor = 0;    // connects and accepts that failed for lack of a descriptor or port
  std::uint64_t withdrawn = 0;        // messages withdrawn before they were written
  std::uint64_t overflowed = 0;       // connections closed because the peer does not read
  std::uint64_t counted_written = 0;  // messages with a ticket that are completely written
  std::uint64_t timers = 0;
  std::uint64_t timers_late_5ms = 0;
  std::uint64_t timers_late_20ms = 0;
  Duration latest_timer{};
};

using Reducer = std::function<void(Time now, const Event& event, Effects& effects)>;

// Unix time of the first call, advanced by the steady clock, so that it never runs backwards.
Time clock_now();

// Blocks SIGTERM, SIGHUP and SIGUSR1 until Runtime::run handles them. To be called first in main: a signal
// that arrives before the loop runs then stays pending, instead of being lost or ending the process.
void block_signals();

// Whether the descriptor is a listening TCP socket.
bool is_listening_tcp(int descriptor);

// Each runtime has its own main loop: several can run in one process, each in its own thread.
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
