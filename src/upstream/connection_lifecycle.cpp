#include "upstream/connection_lifecycle.h"

namespace graniterun::upstream {
namespace {

using namespace std::chrono_literals;

// Time without a byte after which a notification connection is retired if no release is expected on it.
constexpr Duration kIdleTimeout = 300ms;
// Time without a byte after which a connection is replaced on which releases are expected.
constexpr Duration kReplaceTimeout = 600ms;
// Time in which a live server closes its side of a retired connection.
constexpr Duration kRetiredTimeout = 2s;

ConnectionAction decide_retired(const ConnectionSituation& situation) {
  const bool given_time = *situation.retired_for > kRetiredTimeout;
  const bool alive = situation.server_alive_since_retirement && !situation.process_in_doubt;
  if (given_time && (!situation.calls_possible || alive)) return ConnectionAction::drop;
  const bool silent = situation.silence >= kReplaceTimeout;
  return situation.releases_expected && silent && situation.replaceable ? ConnectionAction::replace
                                                                        : ConnectionAction::keep;
}

}  // namespace

ConnectionAction decide_connection(const ConnectionSituation& situation) {
  if (situation.retired_for) return decide_retired(situation);
  if (situation.current || situation.has_outstanding) return ConnectionAction::keep;
  if (!situation.releases_expected) {
    // It may be the one on which the server repeats its releases, once it has accepted it.
    const bool awaited = situation.calls_possible && !situation.received_input;
    const bool idle = situation.silence >= kIdleTimeout && !awaited;
    return idle || !situation.notifications_only ? ConnectionAction::retire : ConnectionAction::keep;
  }
  if (!situation.replaceable || situation.silence < kReplaceTimeout) return ConnectionAction::keep;
  return situation.retired_slots_full ? ConnectionAction::replace : ConnectionAction::retire_and_replace;
}

}  // namespace graniterun::upstream
