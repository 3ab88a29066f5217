#include "call_gapping/gap.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace graniterun::call_gapping {
namespace {

// Whether the text has a control character. Texts of an announcement are copied into log lines and answers.
bool has_control_character(const std::string& text) {
  return std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

bool too_long(const std::string& text) { return text.size() > kMaxTextLength; }

std::string find_error_in(const std::vector<std::string>& texts, const char* what) {
  if (texts.size() > kMaxCriteria) return std::string("there are over 1000 ") + what;
  for (const std::string& text : texts) {
    if (text.empty()) return std::string("one of the ") + what + " is empty";
    if (too_long(text)) return std::string("one of the ") + what + " is over 128 characters long";
    if (has_control_character(text)) return std::string("one of the ") + what + " holds a control character";
  }
  return {};
}

std::string find_error_in(const Gap& gap) {
  const Criteria& c = gap.criteria;
  for (const auto& [texts, what] : {std::pair{&c.numbers, "numbers"}, std::pair{&c.prefixes, "prefixes"},
                                    std::pair{&c.classes, "classes"}}) {
    if (std::string error = find_error_in(*texts, what); !error.empty()) return error;
  }
  if (c.numbers.empty() && c.prefixes.empty() && c.classes.empty())
    return "the gap names no number, no prefix and no class: it would be for every call";
  if (gap.shape == Shape::percentage) {
    if (!(gap.percent >= 0.0 && gap.percent <= 100.0)) return "the percentage is not from 0 to 100";
    if (gap.interval) return "a percentage has no interval";
  } else if (gap.interval && *gap.interval != Duration{} &&
             (*gap.interval < kMinInterval || *gap.interval > kMaxGapDuration)) {
    return "the interval is not 0, nor from 10 ms to 24 h";
  }
  const int cause = gap.treatment.cause;
  if (cause != 34 && cause != 42 && cause != 102) return "the cause is not 34, 42 or 102";
  if (too_long(gap.treatment.text) || has_control_character(gap.treatment.text))
    return "the words are over 128 characters long or hold a control character";
  return {};
}

// Strictness of a gap: greater lets fewer calls pass. A lift has the lowest value.
double strictness(const Announcement& a) {
  if (!a.gap) return -1.0;
  if (a.gap->shape == Shape::percentage) return 100.0 - a.gap->percent;
  if (!a.gap->interval) return std::numeric_limits<double>::infinity();
  return std::chrono::duration<double>(*a.gap->interval).count();
}

// Orders announcements of equal strictness.
auto tie_breakers(const Announcement& a) {
  static const Gap kNoGap{};
  const Gap& g = a.gap ? *a.gap : kNoGap;
  return std::tuple(a.end, a.start, a.created_at, a.author, g.shape, g.criteria.numbers, g.criteria.prefixes,
                    g.criteria.classes, g.treatment.cause, g.treatment.text);
}

}  // namespace

std::string find_error(const Announcement& a, Time now) {
  if (a.id.empty() || too_long(a.id)) return "the id is empty or over 128 characters long";
  if (has_control_character(a.id) || has_control_character(a.author))
    return "the id or the announcer's name holds a control character";
  if (too_long(a.author)) return "the announcer's name is over 128 characters long";
  if (a.version == 0) return "the version is not above 0";
  if (a.created_at > now + kMaxClockError) return "it was made in the future: a clock is wrong";
  if (a.end > a.created_at + kMaxGapDuration) return "it ends over 24 h after it was made";
  if (a.start > a.created_at + kMaxGapDuration) return "it starts over 24 h after it was made";
  if (a.gap && a.end <= a.start) return "it ends before it starts";
  return a.gap ? find_error_in(*a.gap) : std::string();
}

bool supersedes(const Announcement& a, const Announcement& b) {
  const double left = strictness(a);
  const double right = strictness(b);
  return left != right ? left > right : tie_breakers(a) > tie_breakers(b);
}

}  // namespace graniterun::call_gapping
