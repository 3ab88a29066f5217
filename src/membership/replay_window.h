// Duplicate detection by sequence number: accepts each datagram of a sender once, and none that is
// kWindowSize or more behind the newest.
#pragma once

#include <bitset>
#include <cstdint>

namespace graniterun::membership {

// The anti-replay window of RFC 4303, section 3.4.3, over 256 sequence numbers. Takes 48 bytes.
class ReplayWindow {
 public:
  enum class Result : std::uint8_t { fresh, duplicate, too_old };
  static constexpr std::uint64_t kWindowSize = 256;

  Result accept(std::uint64_t number) {
    if (number > newest_) {
      const std::uint64_t step = number - newest_;
      step >= kWindowSize ? seen_.reset() : seen_ <<= step;
      newest_ = number;
      seen_.set(0);
      return Result::fresh;
    }
    const std::uint64_t age = newest_ - number;
    if (age >= kWindowSize) return Result::too_old;
    if (seen_.test(age)) return Result::duplicate;
    seen_.set(age);
    return Result::fresh;
  }
  std::uint64_t newest() const { return newest_; }

 private:
  std::uint64_t newest_ = 0;
  std::bitset<kWindowSize> seen_{};
};

}  // namespace graniterun::membership
