// Generates random 64-bit identifiers as 16 hex digits, for call ids, SIP tags and branches, and span ids.
// Not cryptographically secure.
#pragma once

#include <cstdint>
#include <string>

#include "graniterun/controller.h"

namespace graniterun {

class RandomIdGenerator {
 public:
  explicit RandomIdGenerator(std::uint64_t seed) : state_(seed) {}
  // For ids that peers remember: a process that starts later with the same seed generates others.
  RandomIdGenerator(std::uint64_t seed, Time start)
      : state_(seed + static_cast<std::uint64_t>(start.time_since_epoch().count())) {}
  std::string next() {  // SplitMix64
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
    z ^= z >> 31;
    std::string id(16, '0');
    for (std::size_t i = 0; i < 16; ++i) id[15 - i] = "0123456789abcdef"[z >> (4 * i) & 15];
    return id;
  }

 private:
  std::uint64_t state_;
};

}  // namespace graniterun
