#include "codec/sip.h"

#include <algorithm>
#include <cctype>

#include "codec/number.h"

namespace graniterun::sip {
namespace {

constexpr std::pair<std::string_view, std::string_view> kCompact[] = {
    {"v", "Via"},     {"f", "From"},           {"t", "To"},           {"i", "Call-ID"},
    {"m", "Contact"}, {"l", "Content-Length"}, {"c", "Content-Type"}, {"e", "Content-Encoding"},
    {"s", "Subject"}, {"k", "Supported"},
};

std::string_view full_name(std::string_view name) {
  if (name.size() != 1) return name;
  for (const auto& [compact, full] : kCompact) {
    if (equals_ignore_case(compact, name)) return full;
  }
  return name;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) ||
           std::string_view("-.!%*_+`'~").find(static_cast<char>(c)) != std::string_view::npos;
  });
}

// Removes the next line from the front of `text` and returns it without its line end.
std::string_view take_line(std::string_view& text) {
  const std::size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

std::string read_first_line(std::string_view line, Message& message) {
  constexpr std::string_view kVersion = "SIP/2.0";
  if (line.starts_with(kVersion) && line.size() > kVersion.size() && line[kVersion.size()] == ' ') {
    line.remove_prefix(kVersion.size() + 1);
    const auto status = number_in<int>(line.substr(0, 3));
    if (!status || *status < 100 || *status > 699 || (line.size() > 3 && line[3] != ' '))
      return "the status is not one of 100 to 699";
    message.status = *status;
    if (line.size() > 4) message.phrase = line.substr(4);
    return {};
  }
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || last == first || !is_token(line.substr(0, first)))
    return "the first line is neither a request's nor an answer's";
  message.method = line.substr(0, first);
  message.uri = line.substr(first + 1, last - first - 1);
  if (line.substr(last + 1) != kVersion) return "the version is not SIP/2.0";
  if (message.uri.empty() || message.uri.find(' ') != std::string::npos) return "the URI holds a space";
  return {};
}

// Reads the first line and the headers up to the empty line and returns the first error. Goes on after an
// error, so that a rejection can name the transaction.
std::string read_head(std::string_view head, Message& message) {
  std::string error = read_first_line(take_line(head), message);
  while (!head.empty()) {
    const std::string_view line = take_line(head);
    if (line.empty()) break;
    if ((line.front() == ' ' || line.front() == '\t') && !message.headers.empty()) {  // a folded line
      message.headers.back().second.append(" ").append(trim(line));
      continue;
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = trim(line.substr(0, colon));
    if (colon == std::string_view::npos || !is_token(name)) {
      if (error.empty()) error = "a header line has no name";
      continue;
    }
    message.add(std::string(full_name(name)), std::string(trim(line.substr(colon + 1))));
  }
  return error;
}

std::size_t head_end(std::string_view bytes) {
  const std::size_t crlf = bytes.find("\r\n\r\n");
  const std::size_t lf = bytes.find("\n\n");
  return std::min(crlf == std::string_view::npos ? crlf : crlf + 4,
                  lf == std::string_view::npos ? lf : lf + 2);
}

ReadResult malformed(ReadResult result, std::string error, bool unrecoverable) {
  result.state = ReadState::malformed;
  result.error = std::move(error);
  result.unrecoverable = unrecoverable;
  return result;
}

}  // namespace

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool equals_ignore_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view Message::header(std::string_view name) const {
  for (const auto& [header_name, value] : headers) {
    if (equals_ignore_case(header_name, name)) return value;
  }
  return {};
}

std::vector<std::string_view> Message::header_values(std::string_view name) const {
  std::vector<std::string_view> values;
  for (const auto& [header_name, value] : headers) {
    if (equals_ignore_case(header_name, name)) values.push_back(value);
  }
  return values;
}

void Message::set(std::string_view name, std::string value) {
  std::erase_if(headers, [name](const auto& h) { return equals_ignore_case(h.first, name); });
  add(std::string(name), std::move(value));
}

std::string Message::text() const {
  std::string out = is_request() ? method + " " + uri + " SIP/2.0\r\n"
                                 : "SIP/2.0 " + std::to_string(status) + " " + phrase + "\r\n";
  for (const auto& [name, value] : headers) {
    if (!equals_ignore_case(name, "Content-Length"))
      out.append(name).append(": ").append(value).append("\r\n");
  }
  return out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

std::optional<CSeq> cseq_of(const Message& message) {
  const std::string_view value = message.header("CSeq");
  const std::size_t space = value.find_first_of(" \t");
  if (space == std::string_view::npos) return std::nullopt;
  const auto number = number_in<std::uint32_t>(value.substr(0, space));
  const std::string_view method = trim(value.substr(space));
  if (!number || !is_token(method)) return std::nullopt;
  return CSeq{*number, method};
}

std::string_view parameter(std::string_view value, std::string_view name) {
  const std::size_t bracket = value.find('>');  // parameters inside <> are those of the URI
  if (bracket != std::string_view::npos) value.remove_prefix(bracket + 1);
  for (std::size_t at = value.find(';'); at != std::string_view::npos; at = value.find(';')) {
    value.remove_prefix(at + 1);
    const std::string_view piece = trim(value.substr(0, value.find(';')));
    const std::size_t equals = piece.find('=');
    if (equals_ignore_case(trim(piece.substr(0, equals)), name))
      return equals == std::string_view::npos ? std::string_view{} : trim(piece.substr(equals + 1));
  }
  return {};
}

std::string_view uri_in(std::string_view value) {
  const std::size_t open = value.find('<');
  if (open == std::string_view::npos) return trim(value.substr(0, value.find(';')));
  const std::size_t close = value.find('>', open);
  return close == std::string_view::npos ? std::string_view{} : value.substr(open + 1, close - open - 1);
}

std::string_view user_of(std::string_view uri) {
  const std::size_t colon = uri.find(':');
  const std::size_t at = uri.find('@');
  if (colon == std::string_view::npos || at == std::string_view::npos || at < colon) return {};
  const std::string_view user = uri.substr(colon + 1, at - colon - 1);
  return user.substr(0, user.find(':'));
}

std::string_view host_of(std::string_view uri) {
  const std::size_t colon = uri.find(':');
  const std::size_t at = uri.find('@');
  if (at != std::string_view::npos) {
    uri.remove_prefix(at + 1);
  } else if (colon != std::string_view::npos) {
    uri.remove_prefix(colon + 1);
  }
  return uri.substr(0, uri.find_first_of(";?>"));
}

bool may_begin_message(std::string_view bytes) {
  while (!bytes.empty() && (bytes.front() == '\r' || bytes.front() == '\n')) bytes.remove_prefix(1);
  constexpr std::string_view kStatusLineStart = "SIP/2.0 ";
  const std::size_t part = std::min(bytes.size(), kStatusLineStart.size());
  if (bytes.substr(0, part) == kStatusLineStart.substr(0, part)) return true;
  const std::size_t space = std::min(bytes.find(' '), bytes.size());
  const std::string_view method = bytes.substr(0, space);
  if (!std::all_of(method.begin(), method.end(), [](unsigned char c) { return std::isupper(c); }))
    return false;
  if (space == bytes.size()) return true;
  const std::string_view uri = bytes.substr(space + 1, bytes.find(':', space) - space - 1);
  return std::all_of(uri.begin(), uri.end(), [](unsigned char c) { return std::isalpha(c); });
}

ReadResult read_stream(std::string_view bytes) {
  ReadResult result;
  std::size_t skipped = 0;
  while (skipped < bytes.size() && (bytes[skipped] == '\r' || bytes[skipped] == '\n')) ++skipped;
  const std::string_view rest = bytes.substr(skipped);
  const std::size_t head = head_end(rest.substr(0, kMaxMessageBytes));
  if (head == std::string_view::npos) {
    result.used = skipped;
    if (rest.size() >= kMaxMessageBytes) {
      read_head(rest.substr(0, kMaxMessageBytes), result.message);
      return malformed(std::move(result), "the headers are over 16 KiB", true);
    }
    result.state = ReadState::more;
    return result;
  }
  std::string error = read_head(rest.substr(0, head), result.message);
  const auto lengths = result.message.header_values("Content-Length");
  // In a stream only the length separates messages: without it nothing after this message can be read.
  if (lengths.empty()) return malformed(std::move(result), "there is no Content-Length", true);
  const auto length = number_in<std::size_t>(lengths.front());
  const bool differ =
      std::any_of(lengths.begin(), lengths.end(), [&](auto l) { return l != lengths.front(); });
  if (!length || differ) return malformed(std::move(result), "the Content-Length is not a number", true);
  if (*length > kMaxMessageBytes - head)
    return malformed(std::move(result), "the message is over 16 KiB", true);
  if (rest.size() < head + *length) {
    result.used = skipped;
    result.needed = head + *length;
    result.state = ReadState::more;
    return result;
  }
  result.used = skipped + head + *length;
  if (!error.empty()) return malformed(std::move(result), std::move(error), false);
  result.message.body = rest.substr(head, *length);
  if (!may_begin_message(rest.substr(head + *length))) {
    result.complete = true;
    return malformed(std::move(result), "the Content-Length does not fit the message", true);
  }
  result.state = ReadState::message;
  return result;
}

ReadResult read_datagram(std::string_view bytes) {
  ReadResult result;
  result.used = bytes.size();
  std::size_t skipped = 0;
  while (skipped < bytes.size() && (bytes[skipped] == '\r' || bytes[skipped] == '\n')) ++skipped;
  const std::string_view rest = bytes.substr(skipped);
  if (rest.empty()) {  // a keep-alive
    result.state = ReadState::more;
    return result;
  }
  const std::size_t head = std::min(head_end(rest), rest.size());
  std::string error = read_head(rest.substr(0, head), result.message);
  if (rest.size() > kMaxMessageBytes)
    return malformed(std::move(result), "the message is over 16 KiB", false);
  if (!error.empty()) return malformed(std::move(result), std::move(error), false);
  std::string_view body = rest.substr(head);
  if (const std::string_view value = result.message.header("Content-Length"); !value.empty()) {
    const auto length = number_in<std::size_t>(value);
    if (!length || *length > body.size())
      return malformed(std::move(result), "the Content-Length does not fit the datagram", false);
    body = body.substr(0, *length);
  }
  result.message.body = body;
  result.state = ReadState::message;
  return result;
}

}  // namespace graniterun::sip
