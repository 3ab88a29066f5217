#include "codec/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace graniterun::http {
namespace {

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
  return out;
}

std::string_view strip(std::string_view text) {
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front()))) text.remove_prefix(1);
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back()))) text.remove_suffix(1);
  return text;
}

template <class Number>
bool parse(std::string_view text, Number& value, int base = 10) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc{} && end == text.data() + text.size();
}

}  // namespace

HeadState read_head(std::string_view bytes, Head& head) {
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos || end > kMaxHeadBytes)
    return bytes.size() > kMaxHeadBytes ? HeadState::malformed : HeadState::more;
  std::string_view rest = bytes.substr(0, end + 2);
  bool first = true;
  while (!rest.empty()) {
    const std::size_t line_end = rest.find("\r\n");
    const std::string_view line = rest.substr(0, line_end);
    rest.remove_prefix(line_end + 2);
    if (first) {
      first = false;
      if (!line.starts_with("HTTP/1.") || line.size() < 12 || !parse(line.substr(9, 3), head.status))
        return HeadState::malformed;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) return HeadState::malformed;
    const std::string name = lower(strip(line.substr(0, colon)));
    const std::string_view value = strip(line.substr(colon + 1));
    if (name == "transfer-encoding") head.chunked = lower(value) == "chunked";
    if (name == "connection") head.closes = lower(value) == "close";
    if (name == "content-length") {
      std::size_t length = 0;
      if (!parse(value, length)) return HeadState::malformed;
      head.length = length;
    }
  }
  head.size = end + 4;
  return HeadState::whole;
}

std::optional<std::size_t> BodyReader::take(std::string_view bytes, std::string& body) {
  std::size_t used = 0;
  while (used < bytes.size() && !done_) {
    const std::string_view rest = bytes.substr(used);
    if (!chunked_) {
      const std::size_t part = take_plain(rest, body);
      used += part;
      if (part == 0) break;
    } else if (chunk_remaining_ > 0) {
      used += take_chunk(rest, body);
    } else {
      const std::size_t line_end = rest.find("\r\n");
      if (line_end == std::string_view::npos) {
        if (rest.size() > 256) return std::nullopt;
        break;
      }
      used += line_end + 2;
      if (!take_chunk_line(rest.substr(0, line_end))) return std::nullopt;
    }
  }
  return used;
}

std::size_t BodyReader::take_plain(std::string_view rest, std::string& body) {
  const std::size_t part = remaining_ ? std::min(*remaining_, rest.size()) : rest.size();
  body.append(rest.substr(0, part));
  if (remaining_) {
    *remaining_ -= part;
    if (*remaining_ == 0) done_ = true;
  }
  return part;
}

std::size_t BodyReader::take_chunk(std::string_view rest, std::string& body) {
  const std::size_t part = std::min(chunk_remaining_, rest.size());
  body.append(rest.substr(0, part));
  chunk_remaining_ -= part;
  chunk_end_ = chunk_remaining_ == 0;
  return part;
}

// Handles the empty line after a chunk, a trailer line, or a line with a chunk's size. Returns false if
// malformed.
bool BodyReader::take_chunk_line(std::string_view line) {
  if (chunk_end_) {
    chunk_end_ = false;
    return line.empty();
  }
  if (trailer_) {
    done_ = line.empty();
    return true;
  }
  if (!parse(strip(line.substr(0, line.find(';'))), chunk_remaining_, 16)) return false;
  trailer_ = chunk_remaining_ == 0;
  return true;
}

std::optional<ServerSentEvent> take_event(std::string& text) {
  ServerSentEvent event;
  bool any = false;
  std::size_t at = 0;
  while (true) {
    const std::size_t end = text.find('\n', at);
    if (end == std::string::npos) return std::nullopt;  // the event is not complete yet
    std::string_view line = std::string_view(text).substr(at, end - at);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    at = end + 1;
    if (line.empty()) {
      text.erase(0, at);
      at = 0;
      if (any) return event;
      continue;
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    if (name == "id") {
      event.id = value;
      any = true;
    } else if (name == "data") {
      if (!event.data.empty()) event.data += '\n';
      event.data += value;
      any = true;
    } else if (colon == 0 && !any) {  // a comment outside an event: dropped without waiting for an empty line
      text.erase(0, at);
      at = 0;
    }
  }
}

}  // namespace graniterun::http
