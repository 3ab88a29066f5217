// Parser of JSON text from outside with a bound on its nesting. nlohmann::json parses without recursion, but
// copies, prints and compares a value with one stack frame or more for each level: a line of a few ten
// thousand brackets would overflow the stack.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string_view>

namespace graniterun {

// Maximum number of arrays and objects that contain a value.
constexpr int kMaxJsonDepth = 64;

// Parser callback that discards values below kMaxJsonDepth; pass it with std::ref and ask `exceeded` after
// the parse.
class JsonNestingLimit {
 public:
  bool operator()(int depth, nlohmann::json::parse_event_t, const nlohmann::json&) {
    exceeded_ = exceeded_ || depth > kMaxJsonDepth;
    return !exceeded_;
  }
  bool exceeded() const { return exceeded_; }

 private:
  bool exceeded_ = false;
};

// Parses `text` without exceptions. The value is discarded if the text is not JSON or is nested too deeply.
struct ParsedJson {
  nlohmann::json value{};
  bool too_deep = false;
};
inline ParsedJson parse_bounded_json(std::string_view text) {
  JsonNestingLimit limit;
  ParsedJson parsed{nlohmann::json::parse(text, std::ref(limit), false), false};
  parsed.too_deep = limit.exceeded();
  if (parsed.too_deep) parsed.value = nlohmann::json(nlohmann::json::value_t::discarded);
  return parsed;
}

}  // namespace graniterun
