#include "codec/jsonl.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "codec/number.h"

namespace graniterun::jsonl {
namespace {

using nlohmann::json;

// Finds the id in a line that is not JSON, so that the rejection can name its call. Empty if there is none.
std::string find_id(std::string_view line) {
  constexpr std::string_view kIdPrefix = "\"id\":\"";
  const std::size_t at = line.find(kIdPrefix);
  if (at == std::string_view::npos) return {};
  const std::string_view id = line.substr(at + kIdPrefix.size(), 16);
  return is_id(id) ? std::string(id) : std::string();
}

// Converts a parsed line into `m`; returns the error, empty if there is none.
std::string read_object(const json& object, Message& message) {
  if (!object.is_object()) return "the line is not an object";
  const auto id = object.find("id");
  if (id != object.end() && id->is_string() && is_id(id->get_ref<const std::string&>())) message.id = *id;
  const auto type = object.find("type");
  if (type == object.end() || !type->is_string()) return "there is no type";
  message.type = *type;
  if (message.id.empty()) return "the id is not 16 hex digits";
  if (const auto fields = object.find("fields"); fields != object.end()) {
    if (!fields->is_object()) return "the fields are not an object";
    for (const auto& [name, value] : fields->items()) {
      if (value.is_string()) {
        message.fields.emplace(name, value.get<std::string>());
      } else if (value.is_number()) {
        message.fields.emplace(name, value.dump());
      } else {
        return "a field is neither text nor a number";
      }
    }
  }
  if (const auto cause = object.find("cause"); cause != object.end() && !cause->is_null()) {
    if (!cause->is_number_integer()) return "the cause is not a whole number";
    message.cause = static_cast<int>(cause->get<std::int64_t>());
  }
  if (const auto text = object.find("sdp"); text != object.end() && !text->is_null()) {
    if (!text->is_string()) return "the description is not text";
    message.description = text->get<std::string>();
  }
  return {};
}

bool is_blank(std::string_view line) { return line.find_first_not_of(" \t\r") == std::string_view::npos; }

// Parses a line that is not blank into `result`, whose `used` is set already.
void read_line(std::string_view line, ReadResult& result) {
  // Bounds the nesting of the line: code that recurses into values would overflow the stack.
  const auto depth = std::count_if(line.begin(), line.end(), [](char c) { return c == '{' || c == '['; });
  const json object = depth > 64 ? json(json::value_t::discarded) : json::parse(line, nullptr, false);
  if (object.is_discarded()) {
    result.error = "the line is not JSON";
    result.message.id = find_id(line);
  } else {
    result.error = read_object(object, result.message);
  }
  result.state = result.error.empty() ? ReadState::message : ReadState::malformed;
}

}  // namespace

bool is_id(std::string_view text) { return text.size() == 16 && number_of_hex(text).has_value(); }

std::optional<std::uint64_t> number_of_hex(std::string_view text) {
  return number_in<std::uint64_t>(text, 16);
}

std::string_view Message::field(std::string_view name) const {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string_view{} : it->second;
}

std::string Message::text() const {
  json object = {{"type", type}, {"id", id}, {"fields", json::object()}};
  for (const auto& [name, value] : fields) object["fields"][name] = value;
  if (cause) object["cause"] = *cause;
  if (description) object["sdp"] = *description;
  // Bytes that are not UTF-8 are replaced; with the default handler dump() would throw.
  return object.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

ReadResult read(std::string_view bytes) {
  ReadResult result;
  while (true) {
    const std::string_view rest = bytes.substr(result.used);
    const std::size_t end = rest.substr(0, kMaxLineBytes).find('\n');
    if (end == std::string_view::npos) {
      result.state = ReadState::more;
      if (rest.size() < kMaxLineBytes) return result;
      result.state = ReadState::malformed;
      result.message.id = find_id(rest.substr(0, kMaxLineBytes));
      result.error = "the line is over 16 KiB";
      result.unrecoverable = true;
      return result;
    }
    result.used += end + 1;
    if (is_blank(rest.substr(0, end))) continue;
    read_line(rest.substr(0, end), result);
    return result;
  }
}

}  // namespace graniterun::jsonl
