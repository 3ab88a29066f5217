#include "control/config_lines.h"

#include <algorithm>

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace distribution;

constexpr std::int64_t kMostVersion = std::int64_t{1} << 53;  // every JSON reader holds it exactly
constexpr const char* kStandings[] = {"new", "recovering", "voting"};

// Cut at `most` bytes, not within a character.
std::string clipped(std::string text, std::size_t most) {
  if (text.size() <= most) return text;
  while (most > 0 && (static_cast<unsigned char>(text[most]) & 0xC0) == 0x80) --most;
  text.resize(most);
  return text;
}

const json& object_in(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_object())
    throw ProtocolError(std::string("there is no object '") + name + "'");
  return *it;
}

const json& list_in(const json& object, const char* name, std::size_t most) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_array() || it->size() > most)
    throw ProtocolError(std::string("'") + name + "' is not a list of at most " + std::to_string(most));
  return *it;
}

bool flag_in(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_boolean())
    throw ProtocolError(std::string("'") + name + "' is neither true nor false");
  return it->get<bool>();
}

Version version_in(const json& object, const char* name, std::int64_t least = 1) {
  return static_cast<Version>(integer_in(object, name, least, kMostVersion));
}

std::uint64_t number_in(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_unsigned())
    throw ProtocolError(std::string("'") + name + "' is not a whole number");
  return it->get<std::uint64_t>();
}

std::string service_in(const json& object) {
  std::string service = text_in(object, "service");
  if (!is_service(service))
    throw ProtocolError("'service' is not 1 to " + std::to_string(kLongestService) +
                        " of letters, digits, '.', '-' and '_'");
  return service;
}

std::string name_in(const json& object) {
  std::string name = text_in(object, "name");
  if (!is_gatekeeper(name)) throw ProtocolError("'name' is not 1 to 255 bytes without control characters");
  return name;
}

std::string reason_in(const json& object) {
  if (!object.contains("reason")) return {};
  std::string reason = text_in(object, "reason");
  if (reason.size() > kLongestReason)
    throw ProtocolError("'reason' is longer than " + std::to_string(kLongestReason) + " bytes");
  return reason;
}

void put_stamp(json& line, const Stamp& stamp) {
  if (stamp.none()) return;
  line["version"] = stamp.version;
  line["digest"] = hex_of(stamp.digest);
}

Stamp stamp_in(const json& object) {
  Stamp stamp;
  stamp.version = version_in(object, "version");
  if (!digest_in(text_in(object, "digest"), stamp.digest))
    throw ProtocolError("'digest' is not 64 hex digits");
  return stamp;
}

// Of nothing there is neither number nor digest.
Stamp stamp_or_none_in(const json& object) {
  return object.contains("version") || object.contains("digest") ? stamp_in(object) : Stamp{};
}

json stamped(const std::string& service, const Stamp& stamp) {
  json object = {{"service", service}};
  put_stamp(object, stamp);
  return object;
}

json to_json(const Document& document) {
  json object = stamped(document.service, document.stamp);
  object["content"] = document.content;
  return object;
}

std::string content_in(const json& object) {
  std::string content = text_in(object, "content");
  if (content.empty() || content.size() > kLargestDocument)
    throw ProtocolError("'content' is not 1 to " + std::to_string(kLargestDocument) + " bytes");
  return content;
}

Document document_in(const json& object) {
  return {service_in(object), stamp_in(object), content_in(object)};
}

std::vector<Noticed::Entry> entries_in(const json& object, const char* name, std::size_t most) {
  std::vector<Noticed::Entry> all;
  for (const json& one : list_in(object, name, most)) {
    if (!one.is_object()) throw ProtocolError(std::string("'") + name + "' holds what is no object");
    all.push_back({service_in(one), stamp_or_none_in(one)});
  }
  return all;
}

Standing standing_in(const json& object) {
  const std::string word = text_in(object, "standing");
  const auto known = std::find(std::begin(kStandings), std::end(kStandings), word);
  if (known == std::end(kStandings)) throw ProtocolError("'standing' is not one of new, recovering, voting");
  return static_cast<Standing>(known - std::begin(kStandings));
}

// A document as it is saved: its service stands beside it.
json to_saved(const Document& document) {
  json object = to_json(document);
  object.erase("service");
  return object;
}

std::optional<Document> saved_in(const json& object, const char* name, const std::string& service) {
  if (!object.contains(name)) return std::nullopt;
  const json& saved = object_in(object, name);
  return Document{service, stamp_in(saved), content_in(saved)};
}

json parsed_line(std::string_view line) {
  json object = json::parse(line, nullptr, false);
  if (object.is_discarded() || !object.is_object()) throw ProtocolError("the line is not a JSON object");
  return object;
}

}  // namespace

std::string_view to_string(Standing standing) { return kStandings[static_cast<std::size_t>(standing)]; }

bool is_gatekeeper(std::string_view name) {
  return !name.empty() && name.size() <= kLongestGatekeeper &&
         std::none_of(name.begin(), name.end(),
                      [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; });
}

// ---- from whoever connected

json subscribe_line(const std::string& name, const std::vector<Noticed::Entry>& held, bool primary) {
  json all = json::array();
  for (const Noticed::Entry& e : held) all.push_back(stamped(e.service, e.stamp));
  return {{"op", "subscribe"}, {"name", name}, {"held", std::move(all)}, {"primary", primary}};
}
json subscribe_all_line(const std::string& name) {
  return {{"op", "subscribe"}, {"name", name}, {"all", true}};
}
json primary_line(bool primary) { return {{"op", "primary"}, {"primary", primary}}; }
json heard_line() { return {{"op", "heard"}}; }
json fetch_line(const std::string& service, Version version) {
  return {{"op", "fetch"}, {"service", service}, {"version", version}};
}
json report_line(const Report& report) {
  json line = stamped(report.service, report.stamp);
  line["op"] = "has";
  line["in_force"] = report.in_force;
  if (!report.reason.empty()) line["reason"] = clipped(report.reason, kToldReason);
  return line;
}
json hand_line(const Document& document) { return {{"op", "hand"}, {"document", to_json(document)}}; }
json propose_line(std::uint64_t proposal, const Document& document) {
  return {{"op", "propose"}, {"proposal", proposal}, {"document", to_json(document)}};
}
json beat_answer_line() { return {{"op", "beat"}}; }

std::optional<DistributorEvent> client_event_of(ClientId client, const json& line) {
  if (!line.is_object()) throw ProtocolError("the line is not a JSON object");
  const std::string op = text_in(line, "op");
  if (op == "subscribe") {
    Subscribed s{client, name_in(line), false, {}, false};
    s.all = line.contains("all") && flag_in(line, "all");
    if (s.all) return s;
    s.held = entries_in(line, "held", kMostSubscribed);
    s.primary = flag_in(line, "primary");
    return s;
  }
  if (op == "primary") return PrimaryTold{client, flag_in(line, "primary")};
  if (op == "heard") return Heard{client};
  if (op == "fetch") return Fetched{client, service_in(line), version_in(line, "version")};
  if (op == "has")
    return Reported{client, service_in(line), stamp_or_none_in(line), flag_in(line, "in_force"),
                    reason_in(line)};
  if (op == "hand") return Handed{client, document_in(object_in(line, "document"))};
  if (op == "propose")
    return Proposed{client, number_in(line, "proposal"), document_in(object_in(line, "document"))};
  if (op == "beat") return std::nullopt;
  throw ProtocolError("'op' is not one of subscribe, primary, heard, fetch, has, hand, propose, beat");
}

// ---- from a distributor

json notices_line(const Notice& notice) {
  json all = json::array();
  for (const PeerNoticed::Entry& e : notice.entries) {
    all.push_back(stamped(e.service, e.stamp));
    if (notice.with_seen) all.back()["seen"] = e.seen;
  }
  return {{"event", "notices"},
          {"entries", std::move(all)},
          {"complete", notice.complete},
          {"standing", to_string(notice.standing)}};
}
json document_line(const Document& document) {
  json line = to_json(document);
  line["event"] = "document";
  return line;
}
json missing_line(const std::string& service) { return {{"event", "missing"}, {"service", service}}; }
json ask_line(const std::string& service) { return {{"event", "ask"}, {"service", service}}; }
json beat_line() { return {{"event", "beat"}}; }
json proposal_answer_line(const AnswerProposal& answer) {
  return {{"event", "proposal"},
          {"proposal", answer.proposal},
          {"accepted", answer.accepted},
          {"seen", answer.seen}};
}

SubscriberEvent subscriber_event_of(std::uint32_t source, const json& line) {
  if (!line.is_object()) throw ProtocolError("the line is not a JSON object");
  const std::string event = text_in(line, "event");
  if (event == "notices")
    return Noticed{source, entries_in(line, "entries", kMostNoticed), flag_in(line, "complete")};
  if (event == "document") return Delivered{source, document_in(line)};
  if (event == "missing") return NotThere{source, service_in(line)};
  if (event == "ask") return Wanted{source, service_in(line)};
  if (event == "beat") return Beat{source};
  throw ProtocolError("'event' is not one of notices, document, missing, ask, beat");
}

std::optional<DistributorEvent> peer_event_of(std::uint32_t peer, const json& line) {
  if (!line.is_object()) throw ProtocolError("the line is not a JSON object");
  const std::string event = text_in(line, "event");
  if (event == "notices") {
    PeerNoticed noticed{peer, {}, flag_in(line, "complete"), standing_in(line)};
    for (const json& one : list_in(line, "entries", kMostNoticed)) {
      if (!one.is_object()) throw ProtocolError("'entries' holds what is no object");
      noticed.entries.push_back({service_in(one), stamp_or_none_in(one), version_in(one, "seen", 0)});
    }
    return noticed;
  }
  if (event == "document") return PeerDelivered{peer, document_in(line)};
  if (event == "missing") return PeerNotThere{peer, service_in(line)};
  if (event == "proposal")
    return PeerAnswered{peer, number_in(line, "proposal"), flag_in(line, "accepted"),
                        version_in(line, "seen", 0)};
  if (event == "beat") return std::nullopt;
  throw ProtocolError("'event' is not one of notices, document, missing, proposal, beat");
}

// ---- what is saved

std::string text_of(const std::map<std::string, Record>& records) {
  std::string text;
  for (const auto& [service, record] : records) {
    json line = {{"service", service}, {"seen", record.seen}};
    if (record.committed) line["committed"] = to_saved(*record.committed);
    if (record.accepted) line["accepted"] = to_saved(*record.accepted);
    text += line_of(line);
  }
  return text;
}

std::map<std::string, Record> records_in(std::string_view text) {
  std::map<std::string, Record> records;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) throw ProtocolError("the last line has no end");
    const json line = parsed_line(text.substr(0, end));
    text.remove_prefix(end + 1);
    const std::string service = service_in(line);
    Record record;
    record.committed = saved_in(line, "committed", service);
    record.accepted = saved_in(line, "accepted", service);
    record.seen = version_in(line, "seen", 0);
    if (records.size() >= kMostServices)
      throw ProtocolError("there are more services than a distributor holds");
    if (!records.emplace(service, std::move(record)).second)
      throw ProtocolError("service " + service + " stands there twice");
  }
  return records;
}

std::string canonical_patch(std::string_view text) {
  bool too_deep = false;
  const auto look = [&](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kDeepestPatch;
    return !too_deep;
  };
  const json patch = json::parse(text, look, false);
  if (too_deep) throw ProtocolError("the patch is nested deeper than " + std::to_string(kDeepestPatch));
  if (patch.is_discarded() || !patch.is_object()) throw ProtocolError("the patch is not a JSON object");
  for (const auto& [key, value] : patch.items()) {
    if (key != "settings" && key != "journal")
      throw ProtocolError("the patch sets '" + clipped(key, 64) +
                          "', and may set 'settings' and 'journal' only");
  }
  return patch.dump();
}

std::string trouble_with(std::string_view service, std::string_view content) {
  if (!is_service(service))
    return "the service is not 1 to " + std::to_string(kLongestService) +
           " of letters, digits, '.', '-' and '_'";
  if (content.empty() || content.size() > kLargestDocument)
    return "the document has " + std::to_string(content.size()) + " bytes, and may have 1 to " +
           std::to_string(kLargestDocument);
  // The longest line that carries a document.
  Document longest{std::string(service), {static_cast<Version>(kMostVersion), {}}, std::string(content)};
  if (line_of(propose_line(~std::uint64_t{}, longest)).size() > kMaxLineBytes)
    return "the document does not fit a line of " + std::to_string(kMaxLineBytes) +
           " bytes once it is escaped";
  return {};
}

}  // namespace graniterun::control
