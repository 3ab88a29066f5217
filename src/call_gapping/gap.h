// A call gap and its announcement, in the terms of Q.1218 (gap criteria, gap interval, gap duration, gap
// treatment). Plain data; what it does is in gap_register.h.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::call_gapping {

// Which calls it is for: those to one of the numbers, or to a number that begins with one of the prefixes, or
// to any where neither is named; and of one of the classes, where any are named. All text is compared to the
// letter.
struct Criteria {
  std::vector<std::string> numbers{};
  std::vector<std::string> prefixes{};
  std::vector<std::string> classes{};
  bool operator==(const Criteria&) const = default;
};

enum class Shape : std::uint8_t {
  whole,        // one slot for all that it is for
  each_number,  // one slot for each called number
  percentage,   // a share of the calls passes, drawn at random
};

// What a gapped call is told. The cause is one of Q.850 that callers take for a refusal: 34, 42 or 102.
struct Treatment {
  int cause = 42;
  std::string text{};
  bool operator==(const Treatment&) const = default;
};

struct Gap {
  Criteria criteria{};
  Shape shape{};
  // At most one call in so long passes; 0: all pass; absent: none. Not for a percentage.
  std::optional<Duration> interval{};
  double percent{};  // of the calls passes, 0 to 100; only for a percentage
  Treatment treatment{};
  bool operator==(const Gap&) const = default;
};

// Announced by someone, for a span of Unix time. Of two under an id the higher version holds.
struct Announcement {
  std::string id{};
  std::uint64_t version{};
  std::string author{};
  Time created_at{};
  Time start{};  // slots are counted from here
  Time end{};
  std::optional<Gap> gap{};  // absent: the gap is lifted
  bool operator==(const Announcement&) const = default;
};

constexpr std::size_t kMaxTextLength = 128;                   // of an id, a name, a number, a prefix, words
constexpr std::size_t kMaxCriteria = 1000;                    // numbers, prefixes and classes of a gap, each
constexpr Duration kMaxGapDuration = std::chrono::hours(24);  // from `made` to `end`
constexpr Duration kMinInterval = std::chrono::milliseconds(10);
constexpr Duration kMaxClockError = std::chrono::minutes(5);  // by which `made` may lie ahead

// What is wrong with it, in one line; empty: nothing.
std::string find_error(const Announcement& a, Time now);

// Of two that name the same id and version: whether the first is to hold wherever both are heard, in whatever
// order. The stricter one does, so that a quarrel between two announcers never lets a flood through.
bool supersedes(const Announcement& a, const Announcement& b);

}  // namespace graniterun::call_gapping
