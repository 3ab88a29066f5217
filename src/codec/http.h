// Incremental, bounded readers of HTTP/1.1 responses (RFC 9112) and of server-sent events in their bodies
// (WHATWG HTML, server-sent events). They keep no input: the caller passes what it has received so far.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace graniterun::http {

constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr std::size_t kEventBound = 1024 * 1024;  // fits a complete endpoint list

struct Head {
  int status{};
  bool chunked{};
  bool closes{};
  std::optional<std::size_t> length{};
  std::size_t size{};  // bytes of the head
};
enum class HeadState { whole, more, malformed };
HeadState read_head(std::string_view bytes, Head& head);

// Decodes a response body, plain or chunked.
class BodyReader {
 public:
  explicit BodyReader(const Head& head) : chunked_(head.chunked), remaining_(head.length) {}
  // Appends the decoded part of `bytes` to `body` and returns how many bytes it consumed; nullopt if
  // malformed.
  std::optional<std::size_t> take(std::string_view bytes, std::string& body);
  bool done() const { return done_; }

 private:
  std::size_t take_plain(std::string_view rest, std::string& body);
  std::size_t take_chunk(std::string_view rest, std::string& body);
  bool take_chunk_line(std::string_view line);

  bool chunked_;
  std::optional<std::size_t> remaining_;
  std::size_t chunk_remaining_ = 0;
  bool chunk_end_ = false;  // the line end after a chunk comes next
  bool trailer_ = false;
  bool done_ = false;
};

struct ServerSentEvent {
  std::string id{};
  std::string data{};
};
// Removes one complete event from the front of `text` and returns it; nullopt if there is none. Comments and
// unknown fields are skipped.
std::optional<ServerSentEvent> take_event(std::string& text);

}  // namespace graniterun::http
