#include "control/gap_json.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace call_gapping;

constexpr std::int64_t kMaxUnixMs = 4'102'444'800'000;  // the year 2100
constexpr std::int64_t kDayMs = 86'400'000;
// Names of Shape on the wire, in the order of its values.
constexpr const char* kShapes[] = {"whole", "each", "percent"};

// The texts of an optional list; absent: none.
std::vector<std::string> texts_in(const json& object, const char* name) {
  std::vector<std::string> texts;
  const auto it = object.find(name);
  if (it == object.end()) return texts;
  if (!it->is_array() || it->size() > kMaxCriteria)
    throw ProtocolError(std::string("'") + name + "' is not a list of at most 1000 texts");
  for (const json& element : *it) {
    if (!element.is_string()) throw ProtocolError(std::string("'") + name + "' holds what is not text");
    texts.push_back(element.get<std::string>());
  }
  return texts;
}

}  // namespace

std::int64_t to_unix_ms(Time time) {
  return std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count();
}
Time from_unix_ms(std::int64_t ms) { return Time(std::chrono::milliseconds(ms)); }

std::string_view to_string(AnnounceResult result) {
  constexpr std::string_view kNames[] = {"taken",         "known",   "older", "conflict",
                                         "conflict_over", "refused", "full"};
  return kNames[static_cast<std::size_t>(result)];
}

std::string text_in(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string())
    throw ProtocolError(std::string("there is no text '") + name + "'");
  return it->get<std::string>();
}

std::int64_t integer_in(const json& object, const char* name, std::int64_t min, std::int64_t max) {
  const auto it = object.find(name);
  const bool is_integer = it != object.end() && it->is_number_integer() &&
                          !(it->is_number_unsigned() && it->get<std::uint64_t>() > std::uint64_t{1} << 62);
  if (!is_integer || it->get<std::int64_t>() < min || it->get<std::int64_t>() > max)
    throw ProtocolError(std::string("'") + name + "' is not a whole number from " + std::to_string(min) +
                        " to " + std::to_string(max));
  return it->get<std::int64_t>();
}

std::string fingerprint_text(std::uint64_t fingerprint) {
  std::string text(16, '0');
  for (std::size_t i = 0; i < 16; ++i) text[15 - i] = "0123456789abcdef"[fingerprint >> (4 * i) & 15];
  return text;
}

std::uint64_t fingerprint_in(const json& object, const char* name) {
  const std::string text = text_in(object, name);
  std::uint64_t fingerprint = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), fingerprint, 16);
  if (text.size() != 16 || error != std::errc{} || stop != text.data() + text.size())
    throw ProtocolError(std::string("'") + name + "' is not 16 hex digits");
  return fingerprint;
}

json to_json(const Announcement& announcement) {
  json object = {{"id", announcement.id},
                 {"version", announcement.version},
                 {"by", announcement.author},
                 {"made", to_unix_ms(announcement.created_at)},
                 {"start", to_unix_ms(announcement.start)},
                 {"end", to_unix_ms(announcement.end)}};
  if (!announcement.gap) {
    object["lifted"] = true;
    return object;
  }
  const Gap& gap = *announcement.gap;
  if (!gap.criteria.numbers.empty()) object["numbers"] = gap.criteria.numbers;
  if (!gap.criteria.prefixes.empty()) object["prefixes"] = gap.criteria.prefixes;
  if (!gap.criteria.classes.empty()) object["classes"] = gap.criteria.classes;
  object["shape"] = kShapes[static_cast<std::size_t>(gap.shape)];
  if (gap.shape == Shape::percentage) {
    object["percent"] = gap.percent;
  } else if (gap.interval) {
    object["interval_ms"] = std::chrono::floor<std::chrono::milliseconds>(*gap.interval).count();
  } else {
    object["interval_ms"] = "none";
  }
  object["cause"] = gap.treatment.cause;
  if (!gap.treatment.text.empty()) object["words"] = gap.treatment.text;
  return object;
}

Announcement announcement_of(const json& object) {
  if (!object.is_object()) throw ProtocolError("a gap is not an object");
  Announcement announcement;
  announcement.id = text_in(object, "id");
  announcement.version = static_cast<std::uint64_t>(integer_in(object, "version", 1, std::int64_t{1} << 52));
  if (object.contains("by")) announcement.author = text_in(object, "by");
  announcement.created_at = from_unix_ms(integer_in(object, "made", 0, kMaxUnixMs));
  announcement.start = from_unix_ms(integer_in(object, "start", 0, kMaxUnixMs));
  announcement.end = from_unix_ms(integer_in(object, "end", 0, kMaxUnixMs));
  if (const auto lifted = object.find("lifted"); lifted != object.end()) {
    if (!lifted->is_boolean()) throw ProtocolError("'lifted' is neither true nor false");
    if (lifted->get<bool>()) return announcement;
  }
  Gap gap;
  gap.criteria = {texts_in(object, "numbers"), texts_in(object, "prefixes"), texts_in(object, "classes")};
  const std::string shape = object.contains("shape") ? text_in(object, "shape") : kShapes[0];
  const auto known = std::find(std::begin(kShapes), std::end(kShapes), shape);
  if (known == std::end(kShapes)) throw ProtocolError("'shape' is not one of whole, each, percent");
  gap.shape = static_cast<Shape>(known - std::begin(kShapes));
  if (gap.shape == Shape::percentage) {
    const auto percent = object.find("percent");
    if (percent == object.end() || !percent->is_number()) throw ProtocolError("'percent' is not a number");
    gap.percent = percent->get<double>();
  } else {
    const auto interval = object.find("interval_ms");
    const bool none = interval != object.end() && interval->is_string() && *interval == "none";
    if (!none) gap.interval = std::chrono::milliseconds(integer_in(object, "interval_ms", 0, kDayMs));
  }
  if (object.contains("cause")) gap.treatment.cause = static_cast<int>(integer_in(object, "cause", 1, 127));
  if (object.contains("words")) gap.treatment.text = text_in(object, "words");
  announcement.gap = std::move(gap);
  if (to_json(announcement).dump(-1, ' ', false, json::error_handler_t::replace).size() + 128 > kMaxGapBytes)
    throw ProtocolError("the gap is over 24 KiB large: announce it as several");
  return announcement;
}

GapPage make_page(const GapRegister& stored, Time now, std::string_view after, bool counts) {
  GapPage page;
  std::size_t bytes = 0;
  for (const GapState& state : stored.list(now, after, kMaxGapsInPage + 1)) {
    json gap = to_json(*state.announcement);
    gap["in_force"] = state.active;
    if (counts) {
      gap["passed"] = state.passed;
      gap["gapped"] = state.gapped;
    }
    bytes += gap.dump().size() + 1;
    page.more = page.gaps.size() >= kMaxGapsInPage || (bytes > kMaxGapBytes && !page.gaps.empty());
    if (page.more) break;
    page.gaps.push_back(std::move(gap));
  }
  return page;
}

json answer_to_announce(Time now, const Announcement& announcement, AnnounceResult result,
                        const GapRegister& stored) {
  const bool ok = result == AnnounceResult::accepted || result == AnnounceResult::unchanged ||
                  result == AnnounceResult::conflict_won;
  json answer = {
      {"ok", ok}, {"result", to_string(result)}, {"id", announcement.id}, {"version", announcement.version}};
  if (result == AnnounceResult::rejected) answer["trouble"] = find_error(announcement, now);
  if (result == AnnounceResult::full) answer["trouble"] = "there is no room for another gap";
  if (result == AnnounceResult::outdated || result == AnnounceResult::conflict)
    answer["held"] = to_json(*stored.find(announcement.id));
  return answer;
}

json to_json(const std::vector<HotNumber>& hot_numbers) {
  json objects = json::array();
  for (const HotNumber& hot_number : hot_numbers)
    objects.push_back({{"number", hot_number.number},
                       {"per_second", std::round(hot_number.rate * 10) / 10},
                       {"error", std::round(hot_number.error * 10) / 10},
                       {"since", to_unix_ms(hot_number.hot_since)},
                       {"gapped", hot_number.gapped}});
  return objects;
}

}  // namespace graniterun::control
