// Decides when a connection to a setup server is retired, replaced or dropped. A retired connection has its
// sending direction closed and is read until the server closes it, so that no release that the server has
// written is lost. Input: what is known of the connection and its server. It does no I/O and reads no clock.
// Invariant: while calls are established at the server, a connection is dropped only if the server is alive,
// its process is not in doubt, and it has left the connection open for kRetiredTimeout.
// docs/design/server-watch.md.
#pragma once

#include <optional>

#include "graniterun/controller.h"

namespace graniterun::upstream {

// Maximum number of retired connections per server.
constexpr std::size_t kMaxRetiredConnections = 8;

struct ConnectionSituation {
  bool current = false;             // takes new setups
  bool notifications_only = false;  // opened so that the server repeats its releases on it
  bool has_outstanding = false;     // attempts without a final response
  bool releases_expected = false;   // of calls of its own, or of calls whose connection is not open
  bool calls_possible = false;      // established at the server, or set up by an earlier process
  bool replaceable = true;          // a new connection would reach the same server
  bool retired_slots_full = false;  // kMaxRetiredConnections are retired
  bool received_input = false;      // the server has accepted it
  Duration silence{};               // time without a byte
  std::optional<Duration> retired_for{};
  bool process_in_doubt = false;  // only connections of before show whether it is the same process
  bool server_alive_since_retirement = false;  // input came on a connection that was opened after it
};

enum class ConnectionAction : std::uint8_t {
  keep,
  retire,              // close the sending direction, read to the end
  retire_and_replace,  // the same, and open a connection on which the server repeats its releases
  replace,             // only open that connection
  drop
};

ConnectionAction decide_connection(const ConnectionSituation& situation);

}  // namespace graniterun::upstream
