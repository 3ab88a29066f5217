// The figures that operators fetch, in StatsD's form. Each is taken from where the thing is counted.
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
  std::size_t active{};             // requests taken and not yet ended
  std::size_t pool_size{};          // setup servers in the list
  std::size_t pool_ejected{};       // of them, those that the decisions avoid now
  std::uint64_t config_applied{};   // files taken at SIGHUP
  std::uint64_t config_rejected{};  // files turned down at SIGHUP
  // Of parts that are switched on: name, value, type (c or g).
  struct More {
    std::string name{};
    std::uint64_t value{};
    char type{'g'};
  };
  std::vector<More> more{};
};

// Lines `gatekeeper.NAME:VALUE|TYPE` (c: counted since the start of the process, g: as it is now).
std::string statsd_text(const Figures& figures);

}  // namespace graniterun::management
