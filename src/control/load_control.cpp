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

constexpr const char* kPolicy = "urn:ietf:params:xml:ns:common-policy";
constexpr const char* kLoad = "urn:ietf:params:xml:ns:load-control";
constexpr const char* kHow[] = {"rate", "percent", "win"};

// The name without its prefix: documents choose their own prefixes.
std::string_view local(const pugi::xml_node& node) {
  const std::string_view name = node.name();
  const std::size_t colon = name.find(':');
  return colon == std::string_view::npos ? name : name.substr(colon + 1);
}

std::string_view trimmed(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  return first == std::string_view::npos ? ""
                                         : text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

Time time_of(std::string_view text) {
  GDateTime* parsed = g_date_time_new_from_iso8601(std::string(text).c_str(), nullptr);
  if (parsed == nullptr)
    throw LoadControlError("'" + std::string(text.substr(0, 40)) + "' is no date with a time zone");
  const Time time{std::chrono::seconds(g_date_time_to_unix(parsed))};
  g_date_time_unref(parsed);
  return time;
}

std::string text_of(Time time) {
  GDateTime* utc = g_date_time_new_from_unix_utc(
      std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count());
  gchar* text = g_date_time_format_iso8601(utc);
  std::string result = text;
  g_free(text);
  g_date_time_unref(utc);
  return result;
}

double figure_of(std::string_view text) {
  text = trimmed(text);
  const auto figure = number_in<double>(text);
  if (!figure || !std::isfinite(*figure) || *figure < 0.0 || *figure > 1e6)
    throw LoadControlError("'" + std::string(text.substr(0, 40)) + "' is no figure from 0 to 1,000,000");
  return *figure;
}

// RFC 3966: visual separators are not part of the number.
std::string number_of(std::string_view text) {
  std::string number;
  for (const char c : text.substr(0, text.find(';'))) {
    if (std::string_view("-.() ").find(c) == std::string_view::npos) number += c;
  }
  if (number.empty()) throw LoadControlError("a tel: URI has no number");
  return number;
}

std::string called(std::string_view uri) {
  if (uri.starts_with("tel:")) return number_of(uri.substr(4));
  const std::size_t scheme = uri.starts_with("sip:") ? 4 : uri.starts_with("sips:") ? 5 : 0;
  const std::size_t at = uri.find('@');
  if (scheme == 0 || at == std::string_view::npos || at <= scheme)
    throw LoadControlError("'" + std::string(uri.substr(0, 60)) +
                           "' is no sip: URI with a user and no tel: URI");
  return std::string(uri.substr(scheme, at - scheme));
}

[[noreturn]] void unknown(const pugi::xml_node& node) {
  throw LoadControlError("<" + std::string(local(node)) + "> is not understood");
}

void read_to(const pugi::xml_node& to, LoadRule& rule) {
  for (const pugi::xml_node& one : to.children()) {
    if (local(one) == "one") {
      rule.numbers.push_back(called(one.attribute("id").value()));
    } else if (local(one) == "many-tel" && one.attribute("prefix") && one.first_child().empty()) {
      rule.prefixes.push_back(number_of(one.attribute("prefix").value()));
    } else {
      unknown(one);
    }
  }
}

void read_call_identity(const pugi::xml_node& identity, LoadRule& rule) {
  for (const pugi::xml_node& sip : identity.children()) {
    if (local(sip) != "sip") unknown(sip);
    for (const pugi::xml_node& side : sip.children())
      local(side) == "to" ? read_to(side, rule) : unknown(side);
  }
}

void read_validity(const pugi::xml_node& validity, LoadRule& rule) {
  for (const pugi::xml_node& end : validity.children()) {
    if (local(end) != "from" && local(end) != "until") unknown(end);
    std::optional<Time>& which = local(end) == "from" ? rule.from : rule.until;
    if (which) throw LoadControlError("a validity of several spans is not understood");
    which = time_of(trimmed(end.child_value()));
  }
}

void read_conditions(const pugi::xml_node& conditions, LoadRule& rule) {
  for (const pugi::xml_node& node : conditions.children()) {
    if (local(node) == "call-identity") {
      read_call_identity(node, rule);
    } else if (local(node) == "method") {
      // Gaps are for calls: one for other requests can't be kept.
      if (trimmed(node.child_value()) != "INVITE")
        throw LoadControlError("only the method INVITE can be held back here");
    } else if (local(node) == "validity") {
      read_validity(node, rule);
    } else {
      unknown(node);
    }
  }
}

void read_actions(const pugi::xml_node& actions, LoadRule& rule) {
  int found = 0;
  for (const pugi::xml_node& accept : actions.children()) {
    if (local(accept) != "accept") unknown(accept);
    const std::string_view otherwise = accept.attribute("alt-action").as_string("reject");
    if (otherwise != "reject") throw LoadControlError("only the alt-action 'reject' can be kept here");
    for (const pugi::xml_node& how : accept.children()) {
      const auto known = std::find(std::begin(kHow), std::end(kHow), local(how));
      if (known == std::end(kHow)) unknown(how);
      rule.how = static_cast<LoadRule::How>(known - std::begin(kHow));
      rule.figure = figure_of(how.child_value());
      ++found;
    }
  }
  if (found != 1) throw LoadControlError("a rule does not say just once what is accepted");
  if (rule.how == LoadRule::How::percent && rule.figure > 100.0)
    throw LoadControlError("a percentage is over 100");
}

}  // namespace

LoadControlDocument read_load_control(std::string_view xml) {
  if (xml.size() > kLargestDocument) throw LoadControlError("the document is over 12 KiB large");
  pugi::xml_document parsed;
  // Declarations of a document type are not read: nothing in them is expanded.
  const pugi::xml_parse_result result = parsed.load_buffer(xml.data(), xml.size(), pugi::parse_default);
  if (!result) throw LoadControlError(std::string("it is no XML: ") + result.description());
  const pugi::xml_node root = parsed.document_element();
  if (local(root) != "ruleset") throw LoadControlError("its root is no <ruleset>");
  bool speaks_load = false;
  for (const pugi::xml_attribute& attribute : root.attributes())
    speaks_load = speaks_load || std::string_view(attribute.value()) == kLoad;
  if (!speaks_load) throw LoadControlError("it does not name the load-control namespace");
  LoadControlDocument document;
  document.version = root.attribute("version").as_uint(0);
  if (std::string_view(root.attribute("state").as_string("full")) != "full")
    throw LoadControlError("only full states are understood");
  for (const pugi::xml_node& node : root.children()) {
    if (local(node) != "rule") unknown(node);
    LoadRule rule;
    rule.id = node.attribute("id").value();
    if (rule.id.empty() || rule.id.size() > 64)
      throw LoadControlError("a rule's id is empty or over 64 characters long");
    bool acts = false;
    for (const pugi::xml_node& part : node.children()) {
      if (local(part) == "conditions") {
        read_conditions(part, rule);
      } else if (local(part) == "actions") {
        read_actions(part, rule);
        acts = true;
      } else if (local(part) != "transformations" || !part.first_child().empty()) {
        unknown(part);
      }
    }
    if (!acts) throw LoadControlError("a rule has no <actions>");
    if (document.rules.size() >= kMaxRules) throw LoadControlError("it has over 200 rules");
    document.rules.push_back(std::move(rule));
  }
  return document;
}

std::string write_load_control(const LoadControlDocument& document) {
  pugi::xml_document out;
  pugi::xml_node root = out.append_child("ruleset");
  root.append_attribute("xmlns") = kPolicy;
  root.append_attribute("xmlns:lc") = kLoad;
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
      if (rule.from) validity.append_child("from").text() = text_of(*rule.from).c_str();
      if (rule.until) validity.append_child("until").text() = text_of(*rule.until).c_str();
    }
    pugi::xml_node accept = node.append_child("actions").append_child("lc:accept");
    accept.append_attribute("alt-action") = "reject";
    const std::string name = std::string("lc:") + kHow[static_cast<std::size_t>(rule.how)];
    char figure[32];
    const auto [end, error] = std::to_chars(figure, figure + sizeof figure, rule.figure);
    accept.append_child(name.c_str()).text() = std::string(figure, end).c_str();
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
    rule.how = LoadRule::How::percent;
    rule.figure = gap.percent;
  } else {
    rule.how = LoadRule::How::rate;
    rule.figure = gap.interval ? 1.0 / std::chrono::duration<double>(*gap.interval).count() : 0.0;
  }
  return rule;
}

std::vector<call_gapping::Announcement> gaps_of(const LoadControlDocument& document,
                                                const std::string& neighbour, Time now, Time until) {
  std::vector<call_gapping::Announcement> all;
  for (const LoadRule& rule : document.rules) {
    if (rule.how == LoadRule::How::win) throw LoadControlError("a window can't be kept here: ask for a rate");
    if (rule.numbers.empty() && rule.prefixes.empty())
      throw LoadControlError("rule " + rule.id + " names no called number");
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
    if (rule.how == LoadRule::How::percent) {
      gap.shape = call_gapping::Shape::percentage;
      gap.percent = rule.figure;
    } else if (rule.figure > 0.0) {
      // Rates over 100 a second are held to that: the shortest interval is 10 ms. Those under one a day pass
      // none.
      const double interval = 1.0 / rule.figure;
      if (interval < 86'400.0)
        gap.interval =
            std::max<Duration>(call_gapping::kMinInterval,
                               std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval)));
    }
    announcement.gap = std::move(gap);
    if (const std::string trouble = call_gapping::find_error(announcement, now); !trouble.empty())
      throw LoadControlError("rule " + rule.id + ": " + trouble);
    all.push_back(std::move(announcement));
  }
  return all;
}

}  // namespace graniterun::control
