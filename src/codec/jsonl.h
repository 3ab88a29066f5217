// The platform protocol's messages, one JSON object a line: an incremental, bounded reader and a writer.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace graniterun::jsonl {

constexpr std::size_t kMaxLineBytes = 16 * 1024;

struct Message {
  std::string type{};
  std::string id{};
  std::map<std::string, std::string, std::less<>> fields{};  // numbers as they are written
  std::optional<int> cause{};
  std::optional<std::string> description{};

  std::string_view field(std::string_view name) const;
  std::string text() const;  // with the line end
};

enum class ReadState { message, more, malformed };
struct ReadResult {
  ReadState state{};
  std::size_t used = 0;  // bytes consumed
  Message message{};     // of a malformed line, at least the id where it can be read
  std::string error{};
  bool unrecoverable = false;  // the line has no end within kMaxLineBytes
};

// Reads the first message of `bytes`; empty lines before it are skipped.
ReadResult read(std::string_view bytes);

// Whether the text is 16 hex digits.
bool is_id(std::string_view text);
// The number that the whole text is in hexadecimal; nullopt for anything else.
std::optional<std::uint64_t> number_of_hex(std::string_view text);

}  // namespace graniterun::jsonl
