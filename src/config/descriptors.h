// Shares of the process's descriptors by purpose, so that connections to setup servers, the discovery service
// and operators stay possible while idle callers use up theirs.
#pragma once

#include <algorithm>
#include <cstddef>

namespace graniterun {

struct DescriptorShares {
  std::size_t callers{};   // maximum caller connections; above it, the one idle longest is closed
  std::size_t accepted{};  // including closing ones; above it, new connections wait in the listen queue
};

// Subtracts the program's own descriptors (standard streams, main loop, listeners, discovery service, an open
// file), the operators', and a quarter for connections to setup servers: those in use, those opened on
// suspicion and those for notifications. Callers always get a third, which the platform's protocol allows
// them.
constexpr DescriptorShares descriptor_shares(std::size_t sockets) {
  constexpr std::size_t kOwnDescriptors = 32;
  constexpr std::size_t kOperatorDescriptors = 32;
  const std::size_t closing = std::max<std::size_t>(2, sockets / 8);
  const std::size_t not_callers = kOwnDescriptors + kOperatorDescriptors + sockets / 4 + closing;
  const std::size_t callers = std::max(sockets / 3 + 1, sockets > not_callers ? sockets - not_callers : 0);
  return {callers, callers + closing};
}

}  // namespace graniterun
