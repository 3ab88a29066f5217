// SIP messages: an incremental, bounded reader and a writer. It knows the grammar, not what messages mean.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace graniterun::sip {

constexpr std::size_t kMessageBound = 16 * 1024;

struct Message {
  // A request has a method and a URI; an answer has a status and a phrase.
  std::string method{};
  std::string uri{};
  int status = 0;
  std::string phrase{};
  std::vector<std::pair<std::string, std::string>> headers{};
  std::string body{};

  bool is_request() const { return status == 0; }
  // The first header of this name, compact forms included; names are compared without case.
  std::string_view header(std::string_view name) const;
  std::vector<std::string_view> all(std::string_view name) const;
  void add(std::string name, std::string value) { headers.emplace_back(std::move(name), std::move(value)); }
  void set(std::string_view name, std::string value);  // replaces all of that name
  std::string text() const;                            // with a Content-Length of its own
};

struct CSeq {
  std::uint32_t number{};
  std::string_view method{};
};
std::optional<CSeq> cseq_of(const Message& m);

// The value of a parameter such as tag or branch in a header value; empty where there is none.
std::string_view parameter(std::string_view value, std::string_view name);
// The URI in a name-addr or addr-spec.
std::string_view uri_in(std::string_view value);
// user and host:port of a sip: URI.
std::string_view user_of(std::string_view uri);
std::string_view host_of(std::string_view uri);
std::string_view trim(std::string_view text);
bool equals_ignore_case(std::string_view a, std::string_view b);  // without case

enum class ReadState { message, more, malformed };
struct ReadResult {
  ReadState state{};
  std::size_t used = 0;  // bytes of the input that are dealt with
  Message message{};     // of a malformed one, what could be read
  std::string error{};
  bool unrecoverable = false;  // malformed, and where the next message begins can't be told
  // Malformed only by what follows it: `message` is all there, if its length is right.
  bool complete = false;
};

// Whether a message may begin with these bytes, as far as they go.
bool may_begin(std::string_view bytes);
// Reads one message at the beginning of a stream. What follows its body must be able to begin the next one:
// else the length did not fit, and the body is not whole. Empty lines before it are passed over.
ReadResult read_stream(std::string_view bytes);
// Reads a message that is a whole datagram.
ReadResult read_datagram(std::string_view bytes);

}  // namespace graniterun::sip
