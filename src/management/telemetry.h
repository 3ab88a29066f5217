// Metrics of the `telemetry` request in StatsD format. Each value is read from the counter that the code
// itself keeps.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/request_metrics.h"

namespace graniterun::management {

struct Figures {
  const core::RequestMetrics& metrics;
  std::uint64_t attempts{};         // attempts written whole to setup servers
  std::size_t active{};             // accepted requests that have not ended, established calls included
  std::size_t pool_size{};          // setup servers in the endpoint list
  std::size_t pool_ejected{};       // of these, currently ejected ones
  std::uint64_t config_applied{};   // configuration files applied on SIGHUP
  std::uint64_t config_rejected{};  // configuration files rejected on SIGHUP
  // Metrics of optional parts that are enabled; type: c (counter) or g (gauge).
  struct Metric {
    std::string name{};
    std::uint64_t value{};
    char type{'g'};
  };
  std::vector<Metric> additional{};
};

// Lines `gatekeeper.NAME:VALUE|TYPE` (c: count since the start of the process, g: current value).
std::string statsd_text(const Figures& snapshot);

}  // namespace graniterun::management
