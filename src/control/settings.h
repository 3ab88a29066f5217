// Settings of the control listener and of call gaps, as read from the deploy file.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "call_gapping/hot_numbers.h"
#include "call_gapping/slots.h"

namespace graniterun::control {

struct ControlSettings {
  std::optional<std::string> listen{};  // address:port; absent: the listener is off
  std::size_t max_connections = 32;
  call_gapping::FleetPosition fleet{};
  // Names of the fleet's gatekeepers, sorted; the position is the fleet index. Empty: they don't know each
  // other, and there is no slot failover.
  std::vector<std::string> member_names{};
  // Maximum time after the start that readiness waits for a gap publisher to push its register.
  Duration publisher_sync_timeout{};
  std::optional<call_gapping::HotSettings> hot{};
  Duration hot_gap_interval{std::chrono::seconds(1)};  // of gaps that this process announces for hot numbers
  Duration hot_gap_duration{std::chrono::minutes(15)};
  std::string name{};          // of this gatekeeper, in answers and events
  std::uint64_t seed{};        // of the register's random numbers
  Duration max_retry_after{};  // longest retry-after that callers respect; 0: 2 s
};

}  // namespace graniterun::control
