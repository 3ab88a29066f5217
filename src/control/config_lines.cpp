#include "control/config_lines.h"

#include <algorithm>

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace distribution;

constexpr std::int64_t kMaxVersion =
    std::int64_t{1} << 53;  // the largest integer range that a JSON double represents exactly
constexpr const char* kVoterStates[] = {"new", "recovering", "voting"};

// The first `max_bytes` of the text, without a partial UTF-8 sequence at the end.
std::string truncated(std::string text, std::size_t max_bytes) {
  if (text.size() <= max_bytes) return text;
  while (max_bytes > 0 && (static_cast<unsigned char>(text[max_bytes]) & 0xC0) == 0x80) --max_bytes;
  text.resize(max_bytes);
  return text;
}

const json& object_in(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_object())
    throw ProtocolError(std::string("there is no object '") + name + "'");
  return *it;
}

const json& list_in(const json& object, const char* name, std::size_t max_size) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_array() || it->size() > max_size)
    throw ProtocolError(std::string("'") + name + "' is not a list of at most " + std::to_string(max_size));
  return *it;
}

bool flag_in(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_boolean())
    throw ProtocolError(std::string("'") + name + "' is neither true nor false");
  return it->get<bool>();
}

Version version_in(const json& object, const char* name, std::int64_t min_version = 1) {
  return static_cast<Version>(integer_in(object, name, min_version, kMaxVersion));
}

std::uint64_t unsigned_in(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_unsigned())
    throw ProtocolError(std::string("'") + name + "' is not a whole number");
  return it->get<std::uint64_t>();
}

std::string service_in(const json& object) {
  std::string service = text_in(object, "service");
  if (!is_service_name(service))
    throw ProtocolError("'service' is not 1 to " + std::to_string(kMaxServiceNameLength) +
                        " of letters, digits, '.', '-' and '_'");
  return service;
}

std::string name_in(const json& object) {
  std::string name = text_in(object, "name");
  if (!is_gatekeeper_name(name))
    throw ProtocolError("'name' is not 1 to 255 bytes without control characters");
  return name;
}

std::string reason_in(const json& object) {
  if (!object.contains("reason")) return {};
  std::string reason = text_in(object, "reason");
  if (reason.size() > kMaxReasonLength)
    throw ProtocolError("'reason' is longer than " + std::to_string(kMaxReasonLength) + " bytes");
  return reason;
}

void put_version_id(json& line, const VersionId& id) {
  if (id.none()) return;
  line["version"] = id.version;
  line["digest"] = to_hex(id.digest);
}

VersionId version_id_in(const json& object) {
  VersionId id;
  id.version = version_in(object, "version");
  if (!parse_digest(text_in(object, "digest"), id.digest))
    throw ProtocolError("'digest' is not 64 hex digits");
  return id;
}

// An object with neither version nor digest has the empty id.
VersionId optional_version_id_in(const json& object) {
  return object.contains("version") || object.contains("digest") ? version_id_in(object) : VersionId{};
}

json service_with_version_id(const std::string& service, const VersionId& id) {
  json object = {{"service", service}};
  put_version_id(object, id);
  return object;
}

json to_json(const ServiceConfig& config) {
  json object = service_with_version_id(config.service, config.id);
  object["content"] = config.content;
  return object;
}

std::string content_in(const json& object) {
  std::string content = text_in(object, "content");
  if (content.empty() || content.size() > kMaxConfigBytes)
    throw ProtocolError("'content' is not 1 to " + std::to_string(kMaxConfigBytes) + " bytes");
  return content;
}

ServiceConfig config_in(const json& object) {
  return {service_in(object), version_id_in(object), content_in(object)};
}

std::vector<VersionsNotified::Entry> entries_in(const json& object, const char* name, std::size_t max_size) {
  std::vector<VersionsNotified::Entry> entries;
  for (const json& entry : list_in(object, name, max_size)) {
    if (!entry.is_object()) throw ProtocolError(std::string("'") + name + "' holds what is no object");
    entries.push_back({service_in(entry), optional_version_id_in(entry)});
  }
  return entries;
}

VoterState voter_state_in(const json& object) {
  const std::string name = text_in(object, "standing");
  const auto it = std::find(std::begin(kVoterStates), std::end(kVoterStates), name);
  if (it == std::end(kVoterStates)) throw ProtocolError("'standing' is not one of new, recovering, voting");
  return static_cast<VoterState>(it - std::begin(kVoterStates));
}

// The stored form of a configuration, without the service name, which the enclosing record holds.
json to_stored(const ServiceConfig& config) {
  json object = to_json(config);
  object.erase("service");
  return object;
}

std::optional<ServiceConfig> stored_config_in(const json& object, const char* name,
                                              const std::string& service) {
  if (!object.contains(name)) return std::nullopt;
  const json& stored = object_in(object, name);
  return ServiceConfig{service, version_id_in(stored), content_in(stored)};
}

json parsed_line(std::string_view line) {
  json object = parse_bounded_json(line).value;
  if (!object.is_object()) throw ProtocolError("the line is not a JSON object");
  return object;
}

}  // namespace

std::string_view to_string(VoterState voter_state) {
  return kVoterStates[static_cast<std::size_t>(voter_state)];
}

bool is_gatekeeper_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaxGatekeeperNameLength &&
         std::none_of(name.begin(), name.end(),
                      [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; });
}

// ---- lines from a client

json subscribe_line(const std::string& name, const std::vector<VersionsNotified::Entry>& held, bool primary) {
  json services = json::array();
  for (const VersionsNotified::Entry& entry : held)
    services.push_back(service_with_version_id(entry.service, entry.id));
  return {{"op", "subscribe"}, {"name", name}, {"held", std::move(services)}, {"primary", primary}};
}
json subscribe_all_line(const std::string& name) {
  return {{"op", "subscribe"}, {"name", name}, {"all", true}};
}
json primary_line(bool primary) { return {{"op", "primary"}, {"primary", primary}}; }
json acknowledge_line() { return {{"op", "heard"}}; }
json fetch_line(const std::string& service, Version version) {
  return {{"op", "fetch"}, {"service", service}, {"version", version}};
}
json report_line(const ReportStatus& report) {
  json line = service_with_version_id(report.service, report.id);
  line["op"] = "has";
  line["in_force"] = report.active;
  if (!report.reason.empty()) line["reason"] = truncated(report.reason, kMaxSentReasonLength);
  return line;
}
json return_line(const ServiceConfig& config) { return {{"op", "hand"}, {"document", to_json(config)}}; }
json propose_line(std::uint64_t proposal, const ServiceConfig& config) {
  return {{"op", "propose"}, {"proposal", proposal}, {"document", to_json(config)}};
}
json heartbeat_answer_line() { return {{"op", "beat"}}; }

std::optional<DistributorEvent> parse_client_line(ClientId client, const json& line) {
  if (!line.is_object()) throw ProtocolError("the line is not a JSON object");
  const std::string op = text_in(line, "op");
  if (op == "subscribe") {
    SubscriptionReceived event{client, name_in(line), false, {}, false};
    event.all = line.contains("all") && flag_in(line, "all");
    if (event.all) return event;
    event.held = entries_in(line, "held", kMaxSubscribedServices);
    event.primary = flag_in(line, "primary");
    return event;
  }
  if (op == "primary") return PrimaryChanged{client, flag_in(line, "primary")};
  if (op == "heard") return NotificationAcknowledged{client};
  if (op == "fetch") return FetchRequested{client, service_in(line), version_in(line, "version")};
  if (op == "has")
    return StatusReported{client, service_in(line), optional_version_id_in(line), flag_in(line, "in_force"),
                          reason_in(line)};
  if (op == "hand") return ConfigReturned{client, config_in(object_in(line, "document"))};
  if (op == "propose")
    return ProposalReceived{client, unsigned_in(line, "proposal"), config_in(object_in(line, "document"))};
  if (op == "beat") return std::nullopt;
  throw ProtocolError("'op' is not one of subscribe, primary, heard, fetch, has, hand, propose, beat");
}

// ---- lines from a distributor

json versions_line(const NotifyVersions& notification) {
  json entries = json::array();
  for (const PeerVersionsNotified::Entry& entry : notification.entries) {
    entries.push_back(service_with_version_id(entry.service, entry.id));
    if (notification.with_highest_seen) entries.back()["seen"] = entry.highest_seen;
  }
  return {{"event", "notices"},
          {"entries", std::move(entries)},
          {"complete", notification.complete},
          {"standing", to_string(notification.voter_state)}};
}
json config_line(const ServiceConfig& config) {
  json line = to_json(config);
  line["event"] = "document";
  return line;
}
json missing_line(const std::string& service) { return {{"event", "missing"}, {"service", service}}; }
json request_config_line(const std::string& service) { return {{"event", "ask"}, {"service", service}}; }
json heartbeat_line() { return {{"event", "beat"}}; }
json proposal_answer_line(const AnswerProposal& answer) {
  return {{"event", "proposal"},
          {"proposal", answer.proposal},
          {"accepted", answer.accepted},
          {"seen", answer.highest_seen}};
}

SubscriberEvent parse_subscriber_line(std::uint32_t source, const json& line) {
  if (!line.is_object()) throw ProtocolError("the line is not a JSON object");
  const std::string event = text_in(line, "event");
  if (event == "notices")
    return VersionsNotified{source, entries_in(line, "entries", kMaxNotifiedVersions),
                            flag_in(line, "complete")};
  if (event == "document") return ConfigDelivered{source, config_in(line)};
  if (event == "missing") return ConfigMissing{source, service_in(line)};
  if (event == "ask") return ConfigRequested{source, service_in(line)};
  if (event == "beat") return HeartbeatReceived{source};
  throw ProtocolError("'event' is not one of notices, document, missing, ask, beat");
}

std::optional<DistributorEvent> parse_peer_line(std::uint32_t peer, const json& line) {
  if (!line.is_object()) throw ProtocolError("the line is not a JSON object");
  const std::string event = text_in(line, "event");
  if (event == "notices") {
    PeerVersionsNotified notification{peer, {}, flag_in(line, "complete"), voter_state_in(line)};
    for (const json& entry : list_in(line, "entries", kMaxNotifiedVersions)) {
      if (!entry.is_object()) throw ProtocolError("'entries' holds what is no object");
      notification.entries.push_back(
          {service_in(entry), optional_version_id_in(entry), version_in(entry, "seen", 0)});
    }
    return notification;
  }
  if (event == "document") return PeerConfigDelivered{peer, config_in(line)};
  if (event == "missing") return PeerConfigMissing{peer, service_in(line)};
  if (event == "proposal")
    return ProposalAnswered{peer, unsigned_in(line, "proposal"), flag_in(line, "accepted"),
                            version_in(line, "seen", 0)};
  if (event == "beat") return std::nullopt;
  throw ProtocolError("'event' is not one of notices, document, missing, proposal, beat");
}

// ---- stored records

std::string serialize_records(const std::map<std::string, ServiceRecord>& records) {
  std::string text;
  for (const auto& [service, record] : records) {
    json line = {{"service", service}, {"seen", record.highest_seen}};
    if (record.committed) line["committed"] = to_stored(*record.committed);
    if (record.accepted) line["accepted"] = to_stored(*record.accepted);
    text += line_of(line);
  }
  return text;
}

std::map<std::string, ServiceRecord> parse_records(std::string_view text) {
  std::map<std::string, ServiceRecord> records;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) throw ProtocolError("the last line has no end");
    const json line = parsed_line(text.substr(0, end));
    text.remove_prefix(end + 1);
    const std::string service = service_in(line);
    ServiceRecord record;
    record.committed = stored_config_in(line, "committed", service);
    record.accepted = stored_config_in(line, "accepted", service);
    record.highest_seen = version_in(line, "seen", 0);
    if (records.size() >= kMaxServices)
      throw ProtocolError("there are more services than a distributor holds");
    if (!records.emplace(service, std::move(record)).second)
      throw ProtocolError("service " + service + " stands there twice");
  }
  return records;
}

std::string canonical_patch(std::string_view text) {
  const auto [patch, too_deep] = parse_bounded_json(text);
  if (too_deep) throw ProtocolError("the patch is nested deeper than " + std::to_string(kMaxJsonDepth));
  if (!patch.is_object()) throw ProtocolError("the patch is not a JSON object");
  for (const auto& [key, value] : patch.items()) {
    if (key != "settings" && key != "journal")
      throw ProtocolError("the patch sets '" + truncated(key, 64) +
                          "', and may set 'settings' and 'journal' only");
  }
  return patch.dump();
}

std::string find_config_error(std::string_view service, std::string_view content) {
  if (!is_service_name(service))
    return "the service is not 1 to " + std::to_string(kMaxServiceNameLength) +
           " of letters, digits, '.', '-' and '_'";
  if (content.empty() || content.size() > kMaxConfigBytes)
    return "the document has " + std::to_string(content.size()) + " bytes, and may have 1 to " +
           std::to_string(kMaxConfigBytes);
  // A proposal is the longest line that carries a configuration.
  ServiceConfig config{std::string(service), {static_cast<Version>(kMaxVersion), {}}, std::string(content)};
  if (line_of(propose_line(~std::uint64_t{}, config)).size() > kMaxLineBytes)
    return "the document does not fit a line of " + std::to_string(kMaxLineBytes) +
           " bytes once it is escaped";
  return {};
}

}  // namespace graniterun::control
