// The FNV-1a hash of 64 bits: the same value for the same text in every process and on every kind of machine.
// It is not safe against texts that are chosen to collide.
#pragma once

#include <cstdint>
#include <string_view>

namespace graniterun {

constexpr std::uint64_t fnv1a(std::string_view text) {
  std::uint64_t value = 0xcbf29ce484222325U;
  for (const char c : text) value = (value ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  return value;
}

}  // namespace graniterun
