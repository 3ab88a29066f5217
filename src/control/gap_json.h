// Gaps as JSON: the form of the control listener, of the announcer's file and of the command line. Times are
// Unix milliseconds.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

#include "call_gapping/gap_register.h"
#include "call_gapping/hot_numbers.h"

namespace graniterun::control {

// Its text is one plain line for whoever sent what can't be used.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kMaxLineBytes = 32 * 1024;
constexpr std::size_t kMaxGapBytes = 24 * 1024;  // as JSON: it has to fit a line with what goes around it

nlohmann::json to_json(const call_gapping::Announcement& announcement);
call_gapping::Announcement announcement_of(const nlohmann::json& object);  // throws ProtocolError

// What a list answers with: the gaps after an id, as many as fit a line (kMaxGapsInPage and kMaxGapBytes
// bytes at most, one at least), and whether there are more. `counts`: with the calls that passed and were
// gapped.
constexpr std::size_t kMaxGapsInPage = 200;
struct Page {
  nlohmann::json gaps = nlohmann::json::array();
  bool more = false;
};
Page page_of(const call_gapping::GapRegister& held, Time now, std::string_view after, bool counts);

// The answer to an announcement that was stored with `result`: both to a gatekeeper's operators and to those
// of a publisher.
nlohmann::json answer_to_announce(Time now, const call_gapping::Announcement& announcement,
                                  call_gapping::AnnounceResult result,
                                  const call_gapping::GapRegister& stored);

std::int64_t to_unix_ms(Time time);
Time from_unix_ms(std::int64_t ms);
std::string_view to_string(call_gapping::AnnounceResult taken);
nlohmann::json to_json(const std::vector<call_gapping::HotNumber>& hot);

// What a value is to be. Each throws ProtocolError with the name where it is not there or is something else.
std::string text_in(const nlohmann::json& object, const char* name);
std::int64_t integer_in(const nlohmann::json& object, const char* name, std::int64_t least,
                        std::int64_t most);
std::uint64_t fingerprint_in(const nlohmann::json& object, const char* name);  // 16 hex digits
std::string fingerprint_text(std::uint64_t mark);

// The JSON lines in `bytes`, each handed on as an object; returns how many bytes are used, or nothing where a
// line is longer than kLineBound. What is no object is told to `bad`, with the reason.
template <class Take, class Bad>
std::optional<std::size_t> read_lines(std::string_view bytes, Take take, Bad bad) {
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
    const auto object = nlohmann::json::parse(line, nullptr, false);
    if (object.is_discarded() || !object.is_object()) {
      bad(nlohmann::json::object(), "the line is not a JSON object");
      continue;
    }
    try {
      take(object);
    } catch (const ProtocolError& trouble) {
      bad(object, trouble.what());
    }
  }
  return used;
}

inline std::string line_of(const nlohmann::json& object) {
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

}  // namespace graniterun::control
