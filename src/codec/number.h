// Conversion of text to numbers, for the parsers of all protocols.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace graniterun {

// The number that the whole text is, in the given base (10 without one); nullopt if the text is empty, holds
// anything else, or the value does not fit the type. A floating-point type also accepts inf and nan: callers
// check before a conversion to an integer.
template <class Number, class... Base>
std::optional<Number> number_in(std::string_view text, Base... base) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace graniterun
