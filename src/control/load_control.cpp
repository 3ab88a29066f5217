#include "control/load_control.h"

#include <glib.h>

#include <algorithm>
#include <cmath>
#include <pugixml.hpp>
#include <sstream>

#include "codec/number.h"

namespace graniterun::control {
namespace {

using namespace std::chrono_literals;

constexpr const char* kPolicyNamespace = "urn:ietf:params:xml:ns:common-policy";
constexpr const char* kLoadNamespace = "urn:ietf:params:xml:ns:load-control";
// Element names of LimitKind, in the order of its values.
constexpr const char* kLimitKinds[] = {"rate", "percent", "win"};

// The element's name without its namespace prefix: each document chooses its own prefixes.
std::string_view local_name(const pugi::xml_node& node) {
  const std::string_view name = node.name();
  const std::size_t colon = name.find(':');
  return colon == std::string_view::npos ? name : name.substr(colon + 1);
}

std::string_view trimmed(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  return first == std::string_view::npos ? ""
                                         : text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

Time parse_time(std::string_view text) {
  GDateTime* parsed = g_date_time_new_from_iso8601(std::string(text).c_str(), nullptr);
  if (parsed == nullptr)
    throw LoadControlError("'" + std::string(text.substr(0, 40)) +
                           "' is not an ISO 8601 time with a time zone");
  const Time time{std::chrono::seconds(g_date_time_to_unix(parsed))};
  g_date_time_unref(parsed);
  return time;
}

std::string format_time(Time time) {
  GDateTime* utc = g_date_time_new_from_unix_utc(
      std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count());
  gchar* text = g_date_time_format_iso8601(utc);
  std::string result = text;
  g_free(text);
  g_date_time_unref(utc);
  return result;
}

double parse_limit(std::string_view text) {
  text = trimmed(text);
  const auto limit = number_in<double>(text);
  if (!limit || !std::isfinite(*limit) || *limit < 0.0 || *limit > 1e6)
    throw LoadControlError("'" + std::string(text.substr(0, 40)) + "' is not a number from 0 to 1,000,000");
  return *limit;
}

// The number of a tel: URI without its parameters and visual separators (RFC 3966).
std::string parse_tel_number(std::string_view text) {
  std::string number;
  for (const char c : text.substr(0, text.find(';'))) {
    if (std::string_view("-.() ").find(c) == std::string_view::npos) number += c;
  }
  if (number.empty()) throw LoadControlError("a tel: URI has no number");
  return number;
}

// The number that a sip:, sips: or tel: URI names.
std::string parse_called_number(std::string_view uri) {
  if (uri.starts_with("tel:")) return parse_tel_number(uri.substr(4));
  const std::size_t scheme = uri.starts_with("sip:") ? 4 : uri.starts_with("sips:") ? 5 : 0;
  const std::size_t at = uri.find('@');
  if (scheme == 0 || at == std::string_view::npos || at <= scheme)
    throw LoadControlError("'" + std::string(uri.substr(0, 60)) +
                           "' is neither a sip: URI with a user nor a tel: URI");
  return std::string(uri.substr(scheme, at - scheme));
}

[[noreturn]] void throw_unsupported(const pugi::xml_node& node) {
  throw LoadControlError("<" + std::string(local_name(node)) + "> is not supported");
}

void read_to(const pugi::xml_node& to, LoadRule& rule) {
  for (const pugi::xml_node& target : to.children()) {
    if (local_name(target) == "one") {
      rule.numbers.push_back(parse_called_number(target.attribute("id").value()));
    } else if (local_name(target) == "many-tel" && target.attribute("prefix") &&
               target.first_child().empty()) {
      rule.prefixes.push_back(parse_tel_number(target.attribute("prefix").value()));
    } else {
      throw_unsupported(target);
    }
  }
}

void read_call_identity(const pugi::xml_node& identity, LoadRule& rule) {
  for (const pugi::xml_node& sip : identity.children()) {
    if (local_name(sip) != "sip") throw_unsupported(sip);
    for (const pugi::xml_node& side : sip.children())
      local_name(side) == "to" ? read_to(side, rule) : throw_unsupported(side);
  }
}

void read_validity(const pugi::xml_node& validity, LoadRule& rule) {
  for (const pugi::xml_node& node : validity.children()) {
    if (local_name(node) != "from" && local_name(node) != "until") throw_unsupported(node);
    std::optional<Time>& bound = local_name(node) == "from" ? rule.from : rule.until;
    if (bound) throw LoadControlError("a <validity> with several spans is not supported");
    bound = parse_time(trimmed(node.child_value()));
  }
}

void read_conditions(const pugi::xml_node& conditions, LoadRule& rule) {
  for (const pugi::xml_node& node : conditions.children()) {
    if (local_name(node) == "call-identity") {
      read_call_identity(node, rule);
    } else if (local_name(node) == "method") {
      // Gaps limit calls: a limit on another method can't be enforced.
      if (trimmed(node.child_value()) != "INVITE")
        throw LoadControlError("only the method INVITE is supported");
    } else if (local_name(node) == "validity") {
      read_validity(node, rule);
    } else {
      throw_unsupported(node);
    }
  }
}

void read_actions(const pugi::xml_node& actions, LoadRule& rule) {
  int limits = 0;
  for (const pugi::xml_node& accept : actions.children()) {
    if (local_name(accept) != "accept") throw_unsupported(accept);
    const std::string_view alternative = accept.attribute("alt-action").as_string("reject");
    if (alternative != "reject") throw LoadControlError("only the alt-action 'reject' is supported");
    for (const pugi::xml_node& limit : accept.children()) {
      const auto kind = std::find(std::begin(kLimitKinds), std::end(kLimitKinds), local_name(limit));
      if (kind == std::end(kLimitKinds)) throw_unsupported(limit);
      rule.limit_kind = static_cast<LoadRule::LimitKind>(kind - std::begin(kLimitKinds));
      rule.limit = parse_limit(limit.child_value());
      ++limits;
    }
  }
  if (limits != 1) throw LoadControlError("a rule does not have exactly one limit");
  if (rule.limit_kind == LoadRule::LimitKind::percent && rule.limit > 100.0)
    throw LoadControlError("a percentage exceeds 100");
}

}  // namespace

LoadControlDocument read_load_control(std::string_view xml) {
  if (xml.size() > kMaxLoadControlBytes) throw LoadControlError("the document exceeds 12 KiB");
  pugi::xml_document parsed;
  // parse_default skips document type declarations: entities that they declare are not expanded.
  const pugi::xml_parse_result result = parsed.load_buffer(xml.data(), xml.size(), pugi::parse_default);
  if (!result) throw LoadControlError(std::string("the document is not XML: ") + result.description());
  const pugi::xml_node root = parsed.document_element();
  if (local_name(root) != "ruleset") throw LoadControlError("the root element is not <ruleset>");
  bool has_load_namespace = false;
  for (const pugi::xml_attribute& attribute : root.attributes())
    has_load_namespace = has_load_namespace || std::string_view(attribute.value()) == kLoadNamespace;
  if (!has_load_namespace) throw LoadControlError("the load-control namespace is not declared");
  LoadControlDocument document;
  document.version = root.attribute("version").as_uint(0);
  if (std::string_view(root.attribute("state").as_string("full")) != "full")
    throw LoadControlError("only state=\"full\" is supported");
  for (const pugi::xml_node& node : root.children()) {
    if (local_name(node) != "rule") throw_unsupported(node);
    LoadRule rule;
    rule.id = node.attribute("id").value();
    if (rule.id.empty() || rule.id.size() > 64)
      throw LoadControlError("a rule's id is empty or exceeds 64 characters");
    bool has_actions = false;
    for (const pugi::xml_node& part : node.children()) {
      if (local_name(part) == "conditions") {
        read_conditions(part, rule);
      } else if (local_name(part) == "actions") {
        read_actions(part, rule);
        has_actions = true;
      } else if (local_name(part) != "transformations" || !part.first_child().empty()) {
        throw_unsupported(part);
      }
    }
    if (!has_actions) throw LoadControlError("a rule has no <actions>");
    if (document.rules.size() >= kMaxRules) throw LoadControlError("the document exceeds 200 rules");
    document.rules.push_back(std::move(rule));
  }
  return document;
}

std::string write_load_control(const LoadControlDocument& document) {
  pugi::xml_document out;
  pugi::xml_node root = out.append_child("ruleset");
  root.append_attribute("xmlns") = kPolicyNamespace;
  root.append_attribute("xmlns:lc") = kLoadNamespace;
  root.append_attribute("version") = document.version;
  root.append_attribute("state") = "full";
  for (const LoadRule& rule : document.rules) {
    pugi::xml_node node = root.append_child("rule");
    node.append_attribute("id") = rule.id.c_str();
    pugi::xml_node conditions = node.append_child("conditions");
    pugi::xml_node to =
        conditions.append_child("lc:call-identity").append_child("lc:sip").append_child("lc:to");
    for (const std::string& number : rule.numbers)
      to.append_child("one").append_attribute("id") = ("tel:" + number).c_str();
    for (const std::string& prefix : rule.prefixes)
      to.append_child("lc:many-tel").append_attribute("prefix") = prefix.c_str();
    conditions.append_child("method").text() = "INVITE";
    if (rule.from || rule.until) {
      pugi::xml_node validity = conditions.append_child("validity");
      if (rule.from) validity.append_child("from").text() = format_time(*rule.from).c_str();
      if (rule.until) validity.append_child("until").text() = format_time(*rule.until).c_str();
    }
    pugi::xml_node accept = node.append_child("actions").append_child("lc:accept");
    accept.append_attribute("alt-action") = "reject";
    const std::string name = std::string("lc:") + kLimitKinds[static_cast<std::size_t>(rule.limit_kind)];
    char digits[32];
    const auto [end, error] = std::to_chars(digits, digits + sizeof digits, rule.limit);
    accept.append_child(name.c_str()).text() = std::string(digits, end).c_str();
  }
  std::ostringstream text;
  out.save(text, "", pugi::format_raw);
  return text.str();
}

std::optional<LoadRule> rule_of(const call_gapping::Announcement& announcement) {
  if (!announcement.gap || !announcement.gap->criteria.classes.empty() ||
      announcement.gap->shape == call_gapping::Shape::each_number)
    return std::nullopt;
  const call_gapping::Gap& gap = *announcement.gap;
  if (gap.shape == call_gapping::Shape::whole && gap.interval && *gap.interval == Duration{})
    return std::nullopt;
  LoadRule rule;
  rule.id = announcement.id.substr(0, 64);
  rule.numbers = gap.criteria.numbers;
  rule.prefixes = gap.criteria.prefixes;
  rule.from = announcement.start;
  rule.until = announcement.end;
  if (gap.shape == call_gapping::Shape::percentage) {
    rule.limit_kind = LoadRule::LimitKind::percent;
    rule.limit = gap.percent;
  } else {
    rule.limit_kind = LoadRule::LimitKind::rate;
    rule.limit = gap.interval ? 1.0 / std::chrono::duration<double>(*gap.interval).count() : 0.0;
  }
  return rule;
}

std::vector<call_gapping::Announcement> gaps_of(const LoadControlDocument& document,
                                                const std::string& neighbour, Time now, Time until) {
  std::vector<call_gapping::Announcement> gaps;
  for (const LoadRule& rule : document.rules) {
    if (rule.limit_kind == LoadRule::LimitKind::win)
      throw LoadControlError("a window (win) is not supported: use a rate");
    if (rule.numbers.empty() && rule.prefixes.empty())
      throw LoadControlError("rule " + rule.id + " has no called number");
    call_gapping::Announcement announcement;
    announcement.id = ("lc-" + neighbour + "-" + rule.id).substr(0, call_gapping::kMaxTextLength);
    announcement.author = neighbour;
    announcement.created_at = now;
    announcement.version = static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()).count());
    announcement.start = std::max(now, rule.from.value_or(now));
    announcement.end =
        std::min<Time>({until, rule.until.value_or(until), now + call_gapping::kMaxGapDuration});
    if (announcement.end <= announcement.start) continue;
    call_gapping::Gap gap;
    gap.criteria.numbers = rule.numbers;
    gap.criteria.prefixes = rule.prefixes;
    if (rule.limit_kind == LoadRule::LimitKind::percent) {
      gap.shape = call_gapping::Shape::percentage;
      gap.percent = rule.limit;
    } else if (rule.limit > 0.0) {
      // Rates above 100 a second become 100 a second, the shortest interval being 10 ms. Rates below one a
      // day become a gap that no call passes.
      const double interval = 1.0 / rule.limit;
      if (interval < 86'400.0)
        gap.interval =
            std::max<Duration>(call_gapping::kMinInterval,
                               std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval)));
    }
    announcement.gap = std::move(gap);
    if (const std::string error = call_gapping::find_error(announcement, now); !error.empty())
      throw LoadControlError("rule " + rule.id + ": " + error);
    gaps.push_back(std::move(announcement));
  }
  return gaps;
}

}  // namespace graniterun::control
