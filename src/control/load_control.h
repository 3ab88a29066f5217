// Codec of load-control documents (RFC 7200, application/load-control+xml) and their conversion from and to
// call gaps. A document that contains anything unsupported is rejected as a whole: applying a part of it
// would enforce something other than what the neighbour requests.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "call_gapping/gap.h"

namespace graniterun::control {

// A document, or a rule of it, that can't be applied; the text is one line.
class LoadControlError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct LoadRule {
  enum class LimitKind : std::uint8_t {
    rate,     // accepted calls a second
    percent,  // accepted share of the calls
    win,      // window: calls that may be unanswered at a time
  };
  std::string id{};
  std::vector<std::string> numbers{};   // called numbers: users of sip: URIs, tel: numbers without separators
  std::vector<std::string> prefixes{};  // of called tel: numbers
  std::optional<Time> from{};
  std::optional<Time> until{};
  LimitKind limit_kind{};
  double limit{};  // the limit, in the unit of `limit_kind`
  bool operator==(const LoadRule&) const = default;
};

struct LoadControlDocument {
  std::uint32_t version{};
  std::vector<LoadRule> rules{};
  bool operator==(const LoadControlDocument&) const = default;
};

constexpr std::size_t kMaxRules = 200;
constexpr std::size_t kMaxLoadControlBytes = 12 * 1024;  // bytes: it must fit into a SIP message

LoadControlDocument read_load_control(std::string_view xml);  // throws LoadControlError
std::string write_load_control(const LoadControlDocument& document);

// The rule that neighbours receive for a gap. Nothing where RFC 7200 has no equivalent: a gap per called
// number, a gap for a call class, a lift, and an interval of 0, which lets all calls pass.
std::optional<LoadRule> rule_of(const call_gapping::Announcement& announcement);
// The gaps equivalent to a neighbour's document, each ending at `until` at the latest. Throws
// LoadControlError for a rule that can't be enforced here: a window, a rule without a called number, or an
// invalid gap.
std::vector<call_gapping::Announcement> gaps_of(const LoadControlDocument& document,
                                                const std::string& neighbour, Time now, Time until);

}  // namespace graniterun::control
