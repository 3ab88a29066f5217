// HTTP/1.1 answers, whole or as a stream of server-sent events: incremental, bounded readers.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace graniterun::http {

constexpr std::size_t kHeadBound = 16 * 1024;
constexpr std::size_t kEventBound = 1024 * 1024;  // a whole list of servers

struct Head {
  int status{};
  bool chunked{};
  bool closes{};
  std::optional<std::size_t> length{};
  std::size_t size{};  // of the head itself
};
enum class HeadState { whole, more, malformed };
HeadState read_head(std::string_view bytes, Head& head);

// Takes a body off the wire: as it is, or out of its chunks.
class Body {
 public:
  explicit Body(const Head& head) : chunked_(head.chunked), left_(head.length) {}
  // Appends what is body of `bytes` and returns how many bytes are dealt with; none if malformed.
  std::optional<std::size_t> take(std::string_view bytes, std::string& body);
  bool done() const { return done_; }

 private:
  std::size_t take_plain(std::string_view rest, std::string& body);
  std::size_t take_chunk(std::string_view rest, std::string& body);
  bool take_chunk_line(std::string_view line);

  bool chunked_;
  std::optional<std::size_t> left_;
  std::size_t chunk_ = 0;   // bytes left of the chunk
  bool chunk_end_ = false;  // a line end is due after a chunk
  bool trailer_ = false;
  bool done_ = false;
};

struct ServerSentEvent {
  std::string id{};
  std::string data{};
};
// Takes one whole event off `text`; comments and unknown fields are passed over.
std::optional<ServerSentEvent> take_event(std::string& text);

}  // namespace graniterun::http
