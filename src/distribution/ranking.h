// The order in which a gatekeeper prefers the distributors: rendezvous hashing. Each distributor is chosen by
// an even share of the fleet, the gatekeepers of a lost one spread over all others, and no assignment is
// stored.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace graniterun::distribution {

// Returns the indices of `distributors`, the one that `name` prefers first; the same in every process.
// Cost: n log n in the distributors.
std::vector<std::uint32_t> rank_distributors(std::string_view name,
                                             const std::vector<std::string>& distributors);

}  // namespace graniterun::distribution
