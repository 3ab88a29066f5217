// Codec of call gaps as JSON lines: the format of the control listener, of the gap publisher's file and of
// `graniterunctl`. Times are Unix milliseconds. docs/ops/gapping.md documents the lines.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

#include "call_gapping/gap_register.h"
#include "call_gapping/hot_numbers.h"
#include "codec/bounded_json.h"

namespace graniterun::control {

// Input that is not understood. The text is one line without a line feed; it is sent to the peer as
// "trouble".
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kMaxLineBytes = 32 * 1024;
constexpr std::size_t kMaxGapBytes = 24 * 1024;  // as JSON: fits into a line with its envelope

nlohmann::json to_json(const call_gapping::Announcement& announcement);
call_gapping::Announcement announcement_of(const nlohmann::json& object);  // throws ProtocolError

// One page of the answer to "list": the gaps whose ids follow `after`, in order of ids, and whether more
// exist. A page holds at least one gap if there is one, at most kMaxGapsInPage, and fits into a line
// (kMaxGapBytes). With `counts`, each gap carries the numbers of calls that passed and were gapped.
constexpr std::size_t kMaxGapsInPage = 200;
struct GapPage {
  nlohmann::json gaps = nlohmann::json::array();
  bool more = false;
};
GapPage make_page(const call_gapping::GapRegister& stored, Time now, std::string_view after, bool counts);

// The answer to an announcement for which GapRegister::announce returned `result`. Gatekeepers and the gap
// publisher send the same.
nlohmann::json answer_to_announce(Time now, const call_gapping::Announcement& announcement,
                                  call_gapping::AnnounceResult result,
                                  const call_gapping::GapRegister& stored);

std::int64_t to_unix_ms(Time time);
Time from_unix_ms(std::int64_t ms);
std::string_view to_string(call_gapping::AnnounceResult result);
nlohmann::json to_json(const std::vector<call_gapping::HotNumber>& hot_numbers);

// Typed access to the member `name` of an object. Each throws a ProtocolError that names the member if it is
// absent, of another type or out of range.
std::string text_in(const nlohmann::json& object, const char* name);
std::int64_t integer_in(const nlohmann::json& object, const char* name, std::int64_t min, std::int64_t max);
std::uint64_t fingerprint_in(const nlohmann::json& object, const char* name);  // 16 hex digits
std::string fingerprint_text(std::uint64_t fingerprint);

// Parses the complete lines in `bytes` and calls `handle_object` for each JSON object. A line that is not an
// object, is nested deeper than kMaxJsonDepth, or for which `handle_object` throws ProtocolError or finds a
// value of another type than it reads, goes to `handle_error` with the reason. Empty lines are skipped.
// Returns the number of bytes consumed, or nothing if a line exceeds kMaxLineBytes.
template <class ObjectHandler, class ErrorHandler>
std::optional<std::size_t> read_lines(std::string_view bytes, ObjectHandler handle_object,
                                      ErrorHandler handle_error) {
  std::size_t used = 0;
  while (used < bytes.size()) {
    const std::size_t end = bytes.find('\n', used);
    if (end == std::string_view::npos) {
      if (bytes.size() - used > kMaxLineBytes) return std::nullopt;
      break;
    }
    if (end - used > kMaxLineBytes) return std::nullopt;
    const std::string_view line = bytes.substr(used, end - used);
    used = end + 1;
    if (line.find_first_not_of(" \r\t") == std::string_view::npos) continue;
    const nlohmann::json object = parse_bounded_json(line).value;
    if (!object.is_object()) {
      handle_error(nlohmann::json::object(), "the line is not a JSON object");
      continue;
    }
    try {
      handle_object(object);
    } catch (const ProtocolError& error) {
      handle_error(object, error.what());
    } catch (const nlohmann::json::exception&) {
      handle_error(object, "a value is of another type than the protocol has there");
    }
  }
  return used;
}

// The object on one line, with its line feed. Invalid UTF-8 is replaced by U+FFFD.
inline std::string line_of(const nlohmann::json& object) {
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

}  // namespace graniterun::control
