// How the process's descriptors are shared out, whoever wants them all: setup servers, the journal service
// and the operators get theirs while idle callers hold what they can.
#pragma once

#include <algorithm>
#include <cstddef>

namespace graniterun {

struct DescriptorShares {
  std::size_t callers{};   // connections of callers that are kept; beyond, the one idle longest goes
  std::size_t accepted{};  // with those that are just being closed; who comes then waits at the door
};

// The program's own (standard streams, the loop, listeners, the journal service's, a file that is read) and
// the operators' are taken off, and a quarter is for connections to setup servers: those in use, those opened
// in doubt and those for news. The protocol lets callers hold a third, so that much is always theirs.
constexpr DescriptorShares descriptor_shares(std::size_t sockets) {
  constexpr std::size_t kOwn = 32;
  constexpr std::size_t kOperators = 32;
  const std::size_t closing = std::max<std::size_t>(2, sockets / 8);
  const std::size_t others = kOwn + kOperators + sockets / 4 + closing;
  const std::size_t callers = std::max(sockets / 3 + 1, sockets > others ? sockets - others : 0);
  return {callers, callers + closing};
}

}  // namespace graniterun
