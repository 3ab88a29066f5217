// Numbers in text, for the parsers of all wires.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace graniterun {

// The number that the whole text is, in the base given (10 without one); none where it is empty, holds
// anything else, or does not fit the type. A floating type also takes inf and nan: check before converting.
template <class Number, class... Base>
std::optional<Number> number_in(std::string_view text, Base... base) {
  Number value{};
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
  if (error != std::errc{} || stop != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace graniterun
