// Load-control documents of RFC 7200 (application/load-control+xml), and call gaps as their rules. A document
// that is not understood as a whole is refused as a whole: half of what a neighbour asks for is not what it
// asks for.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "call_gapping/gap.h"

namespace graniterun::control {

class LoadControlError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct LoadRule {
  enum class How : std::uint8_t {
    rate,     // calls a second that are accepted
    percent,  // of the calls are accepted
    win,      // calls that may be unanswered at a time
  };
  std::string id{};
  std::vector<std::string> numbers{};   // called: users of sip: URIs, tel: numbers without their separators
  std::vector<std::string> prefixes{};  // of tel: numbers
  std::optional<Time> from{};
  std::optional<Time> until{};
  How how{};
  double figure{};
  bool operator==(const LoadRule&) const = default;
};

struct LoadControlDocument {
  std::uint32_t version{};
  std::vector<LoadRule> rules{};
  bool operator==(const LoadControlDocument&) const = default;
};

constexpr std::size_t kMaxRules = 200;
constexpr std::size_t kLargestDocument = 12 * 1024;  // bytes: it has to fit a SIP message

LoadControlDocument read_load_control(std::string_view xml);  // throws LoadControlError
std::string write_load_control(const LoadControlDocument& document);

// What neighbours are told of a gap; nothing where a rule can't say it: a gap for each number apart or for a
// class, and one that lets all pass.
std::optional<LoadRule> rule_of(const call_gapping::Announcement& announcement);
// The gaps that a neighbour's document stands for, from now until `until` at the latest. Throws
// LoadControlError where a rule can't be kept here: a window, or one without a called number.
std::vector<call_gapping::Announcement> gaps_of(const LoadControlDocument& document,
                                                const std::string& neighbour, Time now, Time until);

}  // namespace graniterun::control
