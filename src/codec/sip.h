// SIP messages (RFC 3261 §7, §25): an incremental, bounded reader and a writer. It implements the grammar and
// not the meaning of methods and headers.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace graniterun::sip {

constexpr std::size_t kMaxMessageBytes = 16 * 1024;

struct Message {
  // A request has a method and a URI; a response has a status and a reason phrase.
  std::string method{};
  std::string uri{};
  int status = 0;
  std::string phrase{};
  std::vector<std::pair<std::string, std::string>> headers{};
  std::string body{};

  bool is_request() const { return status == 0; }
  // The first header of this name; empty without one. Names are compared case-insensitively, and the reader
  // has expanded compact forms.
  std::string_view header(std::string_view name) const;
  // The values of all headers of this name, in order.
  std::vector<std::string_view> header_values(std::string_view name) const;
  void add(std::string name, std::string value) { headers.emplace_back(std::move(name), std::move(value)); }
  void set(std::string_view name, std::string value);  // replaces all headers of that name
  std::string text() const;                            // with the Content-Length of `body`
};

struct CSeq {
  std::uint32_t number{};
  std::string_view method{};
};
// The CSeq header; nullopt if it is missing or malformed.
std::optional<CSeq> cseq_of(const Message& message);

// The value of a parameter such as tag or branch in a header value; empty without one.
std::string_view parameter(std::string_view value, std::string_view name);
// The URI in a name-addr or addr-spec.
std::string_view uri_in(std::string_view value);
// The user and the host:port of a sip: URI.
std::string_view user_of(std::string_view uri);
std::string_view host_of(std::string_view uri);
std::string_view trim(std::string_view text);
bool equals_ignore_case(std::string_view a, std::string_view b);

enum class ReadState { message, more, malformed };
struct ReadResult {
  ReadState state{};
  std::size_t used = 0;  // bytes of the input that are consumed
  // State `more`: how many bytes the message has, counted from the first one that is not consumed; 0: not
  // known yet. Before they are there, reading again would only parse the same headers again.
  std::size_t needed = 0;
  Message message{};  // of a malformed message, the parts that could be read
  std::string error{};
  bool unrecoverable = false;  // malformed, and the begin of the next message is unknown
  // Malformed only because of the bytes after it: `message` is complete, provided that its length is right.
  bool complete = false;
};

// Whether a message may begin with these bytes, which may stop within it.
bool may_begin_message(std::string_view bytes);
// Reads the first message of a stream. The bytes after its body must be able to begin the next message;
// otherwise the Content-Length was wrong and the message is malformed. Empty lines before the message are
// skipped.
ReadResult read_stream(std::string_view bytes);
// Reads a datagram, which holds one message. A datagram of line ends only is a keep-alive (state `more`).
ReadResult read_datagram(std::string_view bytes);

}  // namespace graniterun::sip
