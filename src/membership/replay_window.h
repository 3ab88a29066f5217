// Which of a sender's numbered datagrams have been taken: each once, none much older than the newest.
#pragma once

#include <bitset>
#include <cstdint>

namespace graniterun::membership {

// The anti-replay window of RFC 4303 (3.4.3), for 256 numbers. 48 bytes.
class ReplayWindow {
 public:
  enum class Verdict : std::uint8_t { fresh, duplicate, too_old };
  static constexpr std::uint64_t kSize = 256;

  Verdict accept(std::uint64_t number) {
    if (number > newest_) {
      const std::uint64_t step = number - newest_;
      step >= kSize ? seen_.reset() : seen_ <<= step;
      newest_ = number;
      seen_.set(0);
      return Verdict::fresh;
    }
    const std::uint64_t age = newest_ - number;
    if (age >= kSize) return Verdict::too_old;
    if (seen_.test(age)) return Verdict::duplicate;
    seen_.set(age);
    return Verdict::fresh;
  }
  std::uint64_t newest() const { return newest_; }

 private:
  std::uint64_t newest_ = 0;
  std::bitset<kSize> seen_{};
};

}  // namespace graniterun::membership
