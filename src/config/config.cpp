#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "codec/bounded_json.h"
#include "codec/jsonl.h"
#include "distribution/distributor.h"
#include "wire.h"

namespace graniterun {
namespace {

using nlohmann::json;

const json& require(const json& object, std::string_view name) {
  const auto it = object.find(std::string(name));
  if (it == object.end()) throw ConfigError("the configuration has no '" + std::string(name) + "'");
  return *it;
}

std::string read_text(const json& object, std::string_view name) {
  const json& value = require(object, name);
  if (!value.is_string()) throw ConfigError("'" + std::string(name) + "' is not text");
  return value;
}

double read_number(const json& value, std::string_view name) {
  if (!value.is_number()) throw ConfigError("'" + std::string(name) + "' is not a number");
  return value.get<double>();
}

json parse(std::string_view source, std::string_view what) {
  if (source.find_first_not_of(" \t\r\n") == std::string_view::npos)
    throw ConfigError(std::string(what) + " is empty");
  try {
    JsonNestingLimit limit;
    json parsed = json::parse(source, std::ref(limit));
    if (limit.exceeded())
      throw ConfigError(std::string(what) + " is deeper than " + std::to_string(kMaxJsonDepth) +
                        " objects and lists");
    if (!parsed.is_object()) throw ConfigError(std::string(what) + " is not a JSON object");
    return parsed;
  } catch (const json::parse_error& error) {
    const std::string_view before = source.substr(0, std::min(error.byte, source.size()));
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    throw ConfigError(std::string(what) + " is no JSON from line " + std::to_string(line) + ", byte " +
                      std::to_string(error.byte) + " on: cut short or misspelt there");
  }
}

// Adds the paths of all keys to `out`. A key of objects in a list is added once, if all of the objects have
// it.
void collect_key_paths(const json& value, const std::string& path, std::set<std::string>& out) {
  if (value.is_object()) {
    for (const auto& [name, part] : value.items()) {
      const std::string inner = path.empty() ? name : path + "." + name;
      out.insert(inner);
      collect_key_paths(part, inner, out);
    }
    return;
  }
  if (!value.is_array() || value.empty() || !value.front().is_object()) return;
  std::set<std::string> common;
  bool first = true;
  for (const json& part : value) {
    std::set<std::string> own;
    collect_key_paths(part, path + "[]", own);
    if (std::exchange(first, false)) {
      common = std::move(own);
    } else {
      std::erase_if(common, [&own](const std::string& key) { return !own.contains(key); });
    }
  }
  out.merge(common);
}

constexpr std::int64_t kMaxUnixMs = 4'102'444'800'000;  // the year 2100; Time holds nanoseconds
constexpr double kMaxTimeoutNs = 86'400e9;              // a day
constexpr double kMaxAttempts = 1000;

// Throws ConfigError unless the value is a JSON number above 0 and at most `max`; text or null is rejected.
void require_positive(const json& object, std::string_view name, const std::string& path, double max) {
  const json& value = require(object, name);
  const double parsed = value.is_number() ? value.get<double>() : 0.0;
  if (!(parsed > 0.0 && parsed <= max))
    throw ConfigError("'" + path + std::string(name) + "' is " + value.dump() + ", not a number above 0" +
                      (parsed > max ? " and at most " + std::to_string(static_cast<std::int64_t>(max)) : ""));
}

// Checks what wire::parse_settings can't, because it reads flat text: JSON types, and lists whose lengths
// depend on each other.
void check_settings(const json& settings) {
  require_positive(require(settings, "limits"), "maxAttempts", "settings.limits.", kMaxAttempts);
  const json& classes = require(settings, "classes");
  if (!classes.is_array() || classes.empty()) throw ConfigError("'settings.classes' names no class");
  std::set<std::string> names;
  for (const json& element : classes) {
    const std::string name = read_text(element, "name");
    if (name.empty() || name.size() > 64) throw ConfigError("a class's name is empty or over 64 bytes");
    if (!names.insert(name).second) throw ConfigError("the class '" + name + "' is there twice");
    require_positive(element, "hardLimitNs", "class " + name + ": ", kMaxTimeoutNs);
    require_positive(element, "promiseNs", "class " + name + ": ", kMaxTimeoutNs);
  }
  const json& family = require(settings, "familyInfo");
  if (family.contains("poolsByClass") && family["poolsByClass"].size() != classes.size())
    throw ConfigError("'settings.familyInfo.poolsByClass' does not name pools for each class");
}

bool is_address(const std::string& text) {
  const auto colon = text.rfind(':');
  int port = 0;
  const char* end = text.data() + text.size();
  if (colon == std::string::npos || colon == 0) return false;
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  return error == std::errc{} && stop == end && port > 0 && port < 65536;
}

std::string to_flat_value(const json& value) {
  // Writes an integral floating point number such as 3e9 as an integer.
  if (value.is_number_float()) {
    const double parsed = value.get<double>();
    if (std::floor(parsed) == parsed && std::abs(parsed) < 9e15)
      return std::to_string(static_cast<std::int64_t>(parsed));
  }
  if (!value.is_string()) return value.is_boolean() ? (value.get<bool>() ? "true" : "false") : value.dump();
  std::string out = value;
  std::replace_if(
      out.begin(), out.end(), [](char c) { return c == ' ' || c == ',' || c == '\t' || c == '\n'; }, '_');
  return out;
}

// Appends the settings as tab-separated path=value pairs, the simulator's format, which wire::parse_settings
// reads.
void flatten(const json& value, const std::string& path, std::string& out) {
  if (value.is_null()) return;
  if (value.is_object()) {
    for (const auto& [name, part] : value.items())
      flatten(part, path.empty() ? name : path + "." + name, out);
    return;
  }
  std::string flat;
  if (value.is_array()) {
    const bool nested =
        std::any_of(value.begin(), value.end(), [](const json& part) { return part.is_structured(); });
    if (nested) {
      out.append("\t").append(path).append(".count=").append(std::to_string(value.size()));
      for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], path + "." + std::to_string(i), out);
      return;
    }
    for (const json& part : value) flat.append(flat.empty() ? "" : ",").append(to_flat_value(part));
  } else {
    flat = to_flat_value(value);
  }
  out.append("\t").append(path).append("=").append(flat);
}

}  // namespace

EndpointList read_endpoints(const json& list) {
  try {
    EndpointList result;
    if (!list.is_object() || !list.contains("targets"))
      throw ConfigError("a list of servers has no 'targets'");
    result.complete = list.value("all", false);
    for (const json& target : list.at("targets")) {
      Endpoint endpoint;
      endpoint.uid = read_text(target, "uid");
      endpoint.address = target.value("endpoint", std::string());
      endpoint.area = target.value("az", std::string());
      endpoint.pool = Pool{target.value("pod_group", std::int64_t{-1})};
      const std::string state = read_text(target, "state");
      endpoint.state = state == "ready"      ? ServerState::in_service
                       : state == "draining" ? ServerState::terminating
                                             : ServerState::terminated;
      endpoint.weight = target.value("capacity_hint", 1.0);
      const auto ms = target.value("boot_ms", std::int64_t{0});
      if (ms > kMaxUnixMs) throw ConfigError("'boot_ms' is after the year 2100");
      if (ms > 0) endpoint.started = Time(std::chrono::milliseconds(ms));
      result.endpoints.push_back(std::move(endpoint));
    }
    return result;
  } catch (const json::exception& error) {
    throw ConfigError(std::string("a list of servers is malformed: ") + error.what());
  }
}

PlatformConfig read_platform_config(std::string_view source) {
  const json root = parse(source, "the configuration");
  try {
    PlatformConfig config;
    config.text = source;
    config.name = root.value("name", std::string("graniterun"));
    config.listen = read_text(root, "listen");
    config.journal = root.value("journal", std::string());
    if (!config.journal.empty() && !is_address(config.journal))
      throw ConfigError("'journal' is '" + config.journal + "', not an address and a port");
    config.management = root.value("management", std::string());
    config.file_listen = config.listen;
    config.file_management = config.management;
    const json& seed = require(root, "seed");
    const auto seed_number =
        seed.is_string()
            ? jsonl::number_of_hex(seed.get_ref<const std::string&>())
            : std::optional<std::uint64_t>(static_cast<std::uint64_t>(read_number(seed, "seed")));
    if (!seed_number) throw ConfigError("'seed' is not hex digits");
    config.seed = *seed_number;
    if (root.contains("limits")) config.max_sockets = root["limits"].value("sockets", config.max_sockets);

    const json& settings = require(root, "settings");
    if (!settings.is_object()) throw ConfigError("'settings' is not an object");
    check_settings(settings);
    std::string flat = "SETTINGS";
    flatten(settings, {}, flat);
    config.settings = wire::parse_settings(wire::Message(flat, 1));
    if (settings.contains("me")) config.fleet_index = settings["me"].get<std::uint32_t>();
    if (settings.contains("areas")) config.areas = settings["areas"].get<std::vector<std::string>>();
    for (const json& element : require(settings, "classes"))
      config.class_names.push_back(read_text(element, "name"));
    for (const auto& [name, part] : root.items()) {
      config.keys.insert(name);
      if (name != "known") collect_key_paths(part, name, config.keys);
    }

    if (root.contains("known")) {
      const json& known = root["known"];
      config.cached_position = known.value("pos", std::uint64_t{0});
      for (const json& event : known.value("entries", json::array())) {
        if (event.contains("hosts")) config.cached_endpoints.push_back(read_endpoints(event["hosts"]));
      }
    }
    return config;
  } catch (const json::exception& error) {
    throw ConfigError(std::string("the configuration is malformed: ") + error.what());
  } catch (const wire::MalformedInput& error) {
    throw ConfigError(std::string("the settings are malformed: ") + error.what());
  }
}

void check_keys(const PlatformConfig& before, const PlatformConfig& fresh) {
  for (const std::string& key : before.keys) {
    if (!fresh.keys.contains(key))
      throw ConfigError("the configuration has no '" + key + "', which the one in force has");
  }
}

namespace {

// An integer from `min` to `max`; `default_value` if the key is absent.
std::int64_t read_integer(const json& object, const char* name, std::int64_t default_value, std::int64_t min,
                          std::int64_t max) {
  const auto it = object.find(name);
  if (it == object.end()) return default_value;
  const double value = read_number(*it, name);
  if (!(value >= static_cast<double>(min) && value <= static_cast<double>(max)) || std::floor(value) != value)
    throw ConfigError("'" + std::string(name) + "' is not a whole number from " + std::to_string(min) +
                      " to " + std::to_string(max));
  return static_cast<std::int64_t>(value);
}

control::ControlSettings read_control(const json& control, const json& gaps,
                                      call_gapping::FleetPosition fleet) {
  using std::chrono::milliseconds;
  constexpr std::int64_t kDayMs = 86'400'000;
  control::ControlSettings settings;
  settings.listen = read_text(control, "listen");
  settings.max_connections = static_cast<std::size_t>(read_integer(control, "connections", 32, 1, 1024));
  settings.fleet.size = static_cast<std::uint32_t>(read_integer(gaps, "fleet_size", fleet.size, 1, 1024));
  settings.fleet.index = static_cast<std::uint32_t>(read_integer(gaps, "fleet_index", fleet.index, 0, 1023));
  if (settings.fleet.index >= settings.fleet.size)
    throw ConfigError("'fleet_index' is not below 'fleet_size'");
  settings.publisher_sync_timeout = milliseconds(read_integer(gaps, "wait_for_announcer_ms", 0, 0, 60'000));
  if (!gaps.contains("hot")) return settings;
  const json& hot = gaps["hot"];
  call_gapping::HotSettings hot_settings;
  hot_settings.hot_threshold = static_cast<double>(read_integer(hot, "from_per_second", 20, 1, 1'000'000));
  hot_settings.cool_threshold = static_cast<double>(read_integer(hot, "below_per_second", 5, 0, 1'000'000));
  if (hot_settings.cool_threshold >= hot_settings.hot_threshold)
    throw ConfigError("'below_per_second' is not below 'from_per_second'");
  hot_settings.hot_duration = milliseconds(read_integer(hot, "hot_after_ms", 2000, 0, kDayMs));
  hot_settings.cool_duration = milliseconds(read_integer(hot, "cool_after_ms", 30'000, 0, kDayMs));
  hot_settings.max_gaps = static_cast<std::size_t>(read_integer(hot, "gaps", 0, 0, 100));
  settings.hot = hot_settings;
  settings.hot_gap_interval = milliseconds(read_integer(hot, "interval_ms", 1000, 10, kDayMs));
  settings.hot_gap_duration = milliseconds(read_integer(hot, "lasts_ms", 900'000, 1000, kDayMs));
  return settings;
}

std::string read_address(const json& object, const char* name) {
  std::string address = read_text(object, name);
  if (!is_address(address) || address.size() > membership::kMaxAddressLength)
    throw ConfigError("'" + std::string(name) + "' is '" + address + "', not an address and a port");
  return address;
}

std::vector<std::string> read_names(const json& object, const char* name, std::size_t max_count,
                                    std::size_t max_length) {
  std::vector<std::string> all;
  for (const json& element : object.value(name, json::array())) {
    if (!element.is_string() || element.get_ref<const std::string&>().empty() ||
        element.get_ref<const std::string&>().size() > max_length || all.size() >= max_count)
      throw ConfigError("'" + std::string(name) + "' is not a list of at most " + std::to_string(max_count) +
                        " texts of 1 to " + std::to_string(max_length) + " bytes");
    all.push_back(element.get<std::string>());
  }
  return all;
}

void read_fleet(const json& fleet, const std::string& name, DeployConfig& deploy) {
  using std::chrono::milliseconds;
  static const std::set<std::string> kKnown{"name",      "listen",       "advertise",
                                            "seeds",     "roster",       "key_file",
                                            "period_ms", "suspicion_ms", "clock_offset_ms"};
  for (const auto& [key, value] : fleet.items()) {
    if (!kKnown.contains(key)) throw ConfigError("'fleet' has the unknown key '" + key + "'");
  }
  fleet::FleetSettings settings;
  settings.fleet = read_text(fleet, "name");
  if (settings.fleet.empty() || settings.fleet.size() > membership::kMaxNameLength)
    throw ConfigError("the fleet's 'name' is not 1 to 64 bytes long");
  settings.listen = read_address(fleet, "listen");
  membership::Settings& membership = settings.membership;
  membership.name = name;
  if (membership.name.empty() || membership.name.size() > membership::kMaxNameLength)
    throw ConfigError("this gatekeeper's name is not 1 to 64 bytes long: a fleet needs one");
  membership.advertise = fleet.contains("advertise") ? read_address(fleet, "advertise") : settings.listen;
  membership.seeds = read_names(fleet, "seeds", 64, membership::kMaxAddressLength);
  for (const std::string& seed : membership.seeds) {
    if (!is_address(seed)) throw ConfigError("the seed '" + seed + "' is not an address and a port");
  }
  for (std::string& allowed :
       read_names(fleet, "roster", membership::kMaxMembers, membership::kMaxNameLength))
    membership.allowed_names.insert(std::move(allowed));
  if (!membership.allowed_names.empty() && !membership.allowed_names.contains(membership.name))
    throw ConfigError("the 'roster' does not hold this gatekeeper's own name, '" + membership.name + "'");
  membership.probe_interval = milliseconds(read_integer(fleet, "period_ms", 250, 50, 10'000));
  membership.ack_timeout = membership.probe_interval * 2 / 5;
  membership.gossip_interval = membership.probe_interval * 2 / 5;
  membership.min_suspicion_timeout = milliseconds(read_integer(fleet, "suspicion_ms", 3000, 200, 600'000));
  membership.max_suspicion_timeout = 2 * membership.min_suspicion_timeout;
  deploy.fleet_key_file = read_text(fleet, "key_file");
  deploy.fleet_clock_offset_ms = read_integer(fleet, "clock_offset_ms", 0, -86'400'000, 86'400'000);
  deploy.fleet = std::move(settings);
}

void read_configuration(const json& configuration, const std::string& name, DeployConfig& deploy) {
  static const std::set<std::string> kKnown{"distributors", "services", "key_file", "wait_ms"};
  if (!configuration.is_object()) throw ConfigError("'configuration' is not an object");
  for (const auto& [key, value] : configuration.items()) {
    if (!kKnown.contains(key)) throw ConfigError("'configuration' has the unknown key '" + key + "'");
  }
  // Reads a list of 1 to `max_count` distinct texts.
  const auto list = [&configuration](const char* key, std::size_t max_count, std::size_t max_length) {
    if (!require(configuration, key).is_array())
      throw ConfigError("'" + std::string(key) + "' is not a list");
    std::vector<std::string> all = read_names(configuration, key, max_count, max_length);
    if (all.empty()) throw ConfigError("'" + std::string(key) + "' is empty");
    if (std::set<std::string>(all.begin(), all.end()).size() != all.size())
      throw ConfigError("'" + std::string(key) + "' has one of them twice");
    return all;
  };
  distribution::SubscriberSettings settings;
  settings.name = name;
  constexpr std::size_t kMaxGatekeeperNameLength = 255;
  if (name.empty() || name.size() > kMaxGatekeeperNameLength ||
      std::any_of(name.begin(), name.end(), [](unsigned char byte) { return byte < 0x20 || byte == 0x7f; }))
    throw ConfigError("this gatekeeper's name is not 1 to 255 bytes long without control characters");
  settings.distributors = list("distributors", distribution::kMaxDistributors, membership::kMaxAddressLength);
  for (const std::string& address : settings.distributors) {
    if (!is_address(address))
      throw ConfigError("the distributor '" + address + "' is not an address and a port");
  }
  settings.services =
      list("services", distribution::kMaxSubscribedServices, distribution::kMaxServiceNameLength);
  for (const std::string& service : settings.services) {
    if (!distribution::is_service_name(service))
      throw ConfigError("the service '" + service + "' is not letters, digits, '.', '-' and '_'");
  }
  settings.startup_timeout =
      std::chrono::milliseconds(read_integer(configuration, "wait_ms", 2000, 0, 60'000));
  deploy.configuration_key_file = read_text(configuration, "key_file");
  deploy.configuration = std::move(settings);
}

void read_sip(const json& sip, bool has_control, DeployConfig& deploy) {
  if (sip.contains("udp")) deploy.sip_udp = read_text(sip, "udp");
  if (sip.contains("tcp")) deploy.sip_tcp = read_text(sip, "tcp");
  deploy.sip_server_transport = sip.value("servers", deploy.sip_server_transport);
  const std::string& transport = deploy.sip_server_transport;
  if (transport != "platform" && transport != "udp" && transport != "tcp")
    throw ConfigError("'servers' is not one of platform, udp, tcp");
  for (const json& element : sip.value("load_control_from", json::array())) {
    if (!element.is_string() || deploy.load_control_from.size() >= 64)
      throw ConfigError("'load_control_from' is not a list of at most 64 addresses");
    deploy.load_control_from.push_back(element.get<std::string>());
  }
  if (!deploy.load_control_from.empty() && !has_control)
    throw ConfigError("'load_control_from' needs a 'control', whose gaps it adds to");
  if (transport != "platform") deploy.sip_servers_from = read_text(sip, "servers_from");
}

core::Contract read_contract(const json& object, const std::vector<std::string>& class_names) {
  core::Contract contract;
  contract.team = object.value("team", std::string());
  if (object.contains("class")) {
    const std::string call_class = read_text(object, "class");
    if (std::find(class_names.begin(), class_names.end(), call_class) == class_names.end())
      throw ConfigError("a contract names the unknown class '" + call_class + "'");
    contract.call_class = call_class;
  }
  if (object.contains("deadline_ms"))
    contract.deadline = std::chrono::milliseconds(object["deadline_ms"].get<std::int64_t>());
  if (object.contains("attempts")) contract.attempts = object["attempts"].get<int>();
  if (object.contains("per_second")) contract.per_second = read_number(object["per_second"], "per_second");
  contract.burst = object.value("burst", std::max(1.0, contract.per_second.value_or(1.0)));
  return contract;
}

// Derives the fleet's size and this gatekeeper's index in it from the roster.
void derive_fleet_position(const json& gaps, DeployConfig& deploy) {
  const auto& roster = deploy.fleet->membership.allowed_names;
  if (!deploy.control || roster.empty()) return;
  if (gaps.contains("fleet_size") || gaps.contains("fleet_index"))
    throw ConfigError("'fleet_size' and 'fleet_index' follow from the fleet's 'roster': leave them out");
  deploy.control->member_names.assign(roster.begin(), roster.end());
  deploy.control->fleet.size = static_cast<std::uint32_t>(roster.size());
  deploy.control->fleet.index =
      static_cast<std::uint32_t>(std::distance(roster.begin(), roster.find(deploy.fleet->membership.name)));
}

void read_otlp(const json& otlp, DeployConfig& deploy) {
  deploy.collector = read_text(otlp, "collector");
  deploy.collector_host = otlp.value("host", *deploy.collector);
  deploy.export_interval = std::chrono::milliseconds(otlp.value("every_ms", std::int64_t{5000}));
  if (deploy.export_interval <= Duration{}) throw ConfigError("'every_ms' is not above 0");
}

}  // namespace

DeployConfig read_deploy_config(std::string_view source, const std::vector<std::string>& class_names,
                                call_gapping::FleetPosition fleet, const std::string& name) {
  const json file = parse(source, "the deploy file");
  try {
    DeployConfig deploy;
    const bool has_control = file.contains("control");
    const json gaps = file.value("gaps", json::object());
    if (file.contains("sip")) read_sip(file["sip"], has_control, deploy);
    for (const json& element : file.value("contracts", json::array()))
      deploy.contracts.push_back(read_contract(element, class_names));
    if (file.contains("gaps") && !has_control)
      throw ConfigError("'gaps' needs a 'control' with where to listen");
    if (has_control) deploy.control = read_control(file["control"], gaps, fleet);
    if (file.contains("fleet")) {
      read_fleet(file["fleet"], name, deploy);
      derive_fleet_position(gaps, deploy);
    }
    if (file.contains("configuration")) read_configuration(file["configuration"], name, deploy);
    if (file.contains("otlp")) read_otlp(file["otlp"], deploy);
    return deploy;
  } catch (const json::exception& error) {
    throw ConfigError(std::string("the deploy file is malformed: ") + error.what());
  }
}

}  // namespace graniterun
