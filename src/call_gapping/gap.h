// A call gap and its announcement, in the terms of Q.1218 (gap criteria, gap interval, gap duration, gap
// treatment), and their validation. Plain data; gap_register.h applies it to calls.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::call_gapping {

// The calls that a gap applies to. A call matches if its number is listed or starts with a listed prefix, or
// if no number and no prefix is listed; and if its class is listed, or no class is listed. Comparison is
// exact.
struct Criteria {
  std::vector<std::string> numbers{};
  std::vector<std::string> prefixes{};
  std::vector<std::string> classes{};
  bool operator==(const Criteria&) const = default;
};

enum class Shape : std::uint8_t {
  whole,        // all matching calls share one slot per interval
  each_number,  // each called number has its own slot per interval
  percentage,   // a percentage of matching calls passes, drawn at random
};

// How a gapped call is answered: a Q.850 cause that callers treat as a rejection (34, 42 or 102) and a text.
struct GapTreatment {
  int cause = 42;
  std::string text{};
  bool operator==(const GapTreatment&) const = default;
};

struct Gap {
  Criteria criteria{};
  Shape shape{};
  // At most one call passes per interval; 0: all pass; absent: none. Absent for a percentage.
  std::optional<Duration> interval{};
  double percent{};  // percentage of calls that pass, 0 to 100; only for Shape::percentage
  GapTreatment treatment{};
  bool operator==(const Gap&) const = default;
};

// One version of a gap, valid from `start` to `end` in Unix time. Of two announcements with one id the higher
// version applies.
struct Announcement {
  std::string id{};
  std::uint64_t version{};
  std::string author{};
  Time created_at{};
  Time start{};  // slots are numbered from here
  Time end{};
  std::optional<Gap> gap{};  // absent: this version lifts the gap
  bool operator==(const Announcement&) const = default;
};

// Maximum length in bytes of an id, an author, a number, a prefix, a class name or a treatment's text.
constexpr std::size_t kMaxTextLength = 128;
// Maximum count of numbers, of prefixes and of classes of a gap.
constexpr std::size_t kMaxCriteria = 1000;
// Maximum time from `created_at` to `end`, and to `start`.
constexpr Duration kMaxGapDuration = std::chrono::hours(24);
// Minimum interval of a gap, apart from 0.
constexpr Duration kMinInterval = std::chrono::milliseconds(10);
// Maximum time by which `created_at` may be ahead of the local clock.
constexpr Duration kMaxClockError = std::chrono::minutes(5);

// Describes the first error in the announcement, in one line; empty if it is valid.
std::string find_error(const Announcement& a, Time now);

// Whether `a` replaces `b`, of two different announcements with the same id and version. The order is total,
// so gatekeepers that have received both agree in whatever order they came. The stricter gap wins, so that
// two conflicting announcers never let a flood through.
bool supersedes(const Announcement& a, const Announcement& b);

}  // namespace graniterun::call_gapping
