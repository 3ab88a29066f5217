// Names of outcomes and reasons, for traces and log lines.
#pragma once

#include <array>
#include <string_view>

#include "core/broker.h"

namespace graniterun::core {

inline std::string_view to_string(RejectReason reason) {
  constexpr std::array<std::string_view, 11> kNames = {
      "gapped",  "throttled",     "over_budget", "overdue", "number_busy", "no_success",
      "crossed", "shutting_down", "cut",         "ended",   "repeated_id"};
  static_assert(kNames.size() == static_cast<std::size_t>(RejectReason::repeated_id) + 1);
  return kNames[static_cast<std::size_t>(reason)];
}

inline std::string_view to_string(Outcome outcome) {
  constexpr std::array<std::string_view, 8> kNames = {
      "ok", "busy_or_fault", "full", "timed_out", "no_connection", "reset", "cancelled", "not_sent"};
  static_assert(kNames.size() == static_cast<std::size_t>(Outcome::not_sent) + 1);
  return kNames[static_cast<std::size_t>(outcome)];
}

}  // namespace graniterun::core
