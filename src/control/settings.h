// What the deploy file says of the control listener and of call gaps.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "call_gapping/hot_numbers.h"
#include "call_gapping/slots.h"

namespace graniterun::control {

struct ControlSettings {
  std::optional<std::string> listen{};  // none: it is off
  std::size_t max_connections = 32;
  call_gapping::Fleet fleet{};
  std::vector<std::string>
      places{};               // names of the fleet's gatekeepers in order; empty: they don't know each other
  Duration publisher_wait{};  // the program is not ready before it has the register, or so long has passed
  std::optional<call_gapping::HotSettings> hot{};
  Duration hot_gap_interval{std::chrono::seconds(1)};  // of the gaps that are announced by itself
  Duration hot_gap_duration{std::chrono::minutes(15)};
  std::string name{};
  std::uint64_t seed{};
  Duration max_retry_after{};  // that callers heed
};

}  // namespace graniterun::control
