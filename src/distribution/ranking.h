// Which distributors a gatekeeper holds on to: rendezvous hashing, so that each is chosen by an even share of
// the fleet, the loss of one spreads its gatekeepers over all others, and nobody assigns anything.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace graniterun::distribution {

// The indices of `distributors` in the order in which `name` prefers them; the same in every process.
// Cost: n log n.
std::vector<std::uint32_t> ranked(std::string_view name, const std::vector<std::string>& distributors);

}  // namespace graniterun::distribution
