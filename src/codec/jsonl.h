// Lines of JSON, as callers on the platform speak them: an incremental, bounded reader and a writer.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace graniterun::jsonl {

constexpr std::size_t kLineBound = 16 * 1024;

struct Message {
  std::string type{};
  std::string id{};
  std::map<std::string, std::string, std::less<>> fields{};  // numbers as their text
  std::optional<int> cause{};
  std::optional<std::string> description{};

  std::string_view field(std::string_view name) const;
  std::string text() const;  // with its line end
};

enum class ReadState { message, more, malformed };
struct ReadResult {
  ReadState state{};
  std::size_t used = 0;
  Message message{};  // of a malformed one, its id where that can be read
  std::string error{};
  bool unrecoverable = false;  // the line has no end within the bound
};

ReadResult read(std::string_view bytes);

// 16 hex digits.
bool is_id(std::string_view text);
std::optional<std::uint64_t> number_of_hex(std::string_view text);

}  // namespace graniterun::jsonl
