#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "codec/jsonl.h"
#include "distribution/distributor.h"
#include "wire.h"

namespace graniterun {
namespace {

using nlohmann::json;

const json& need(const json& object, std::string_view name) {
  const auto it = object.find(std::string(name));
  if (it == object.end()) throw ConfigError("the configuration has no '" + std::string(name) + "'");
  return *it;
}

std::string text(const json& object, std::string_view name) {
  const json& value = need(object, name);
  if (!value.is_string()) throw ConfigError("'" + std::string(name) + "' is not text");
  return value;
}

double number(const json& value, std::string_view name) {
  if (!value.is_number()) throw ConfigError("'" + std::string(name) + "' is not a number");
  return value.get<double>();
}

json parse(std::string_view source, std::string_view what) {
  if (source.find_first_not_of(" \t\r\n") == std::string_view::npos)
    throw ConfigError(std::string(what) + " is empty");
  try {
    json parsed = json::parse(source);
    if (!parsed.is_object()) throw ConfigError(std::string(what) + " is not a JSON object");
    return parsed;
  } catch (const json::parse_error& trouble) {
    const std::string_view before = source.substr(0, std::min(trouble.byte, source.size()));
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    throw ConfigError(std::string(what) + " is no JSON from line " + std::to_string(line) + ", byte " +
                      std::to_string(trouble.byte) + " on: cut short or misspelt there");
  }
}

// Paths of all keys. Those of the objects in a list stand once, where all of them have the key.
void key_paths(const json& value, const std::string& path, std::set<std::string>& out) {
  if (value.is_object()) {
    for (const auto& [name, part] : value.items()) {
      const std::string inner = path.empty() ? name : path + "." + name;
      out.insert(inner);
      key_paths(part, inner, out);
    }
    return;
  }
  if (!value.is_array() || value.empty() || !value.front().is_object()) return;
  std::set<std::string> common;
  bool first = true;
  for (const json& part : value) {
    std::set<std::string> own;
    key_paths(part, path + "[]", own);
    if (std::exchange(first, false)) {
      common = std::move(own);
    } else {
      std::erase_if(common, [&own](const std::string& key) { return !own.contains(key); });
    }
  }
  out.merge(common);
}

constexpr double kMaxDeadlineNs = 86'400e9;  // a day
constexpr double kMaxAttempts = 1000;

// A number above 0 and not beyond `most`, in the file's own type: text or null is none.
void need_above_0(const json& object, std::string_view name, const std::string& path, double most) {
  const json& value = need(object, name);
  const double figure = value.is_number() ? value.get<double>() : 0.0;
  if (!(figure > 0.0 && figure <= most))
    throw ConfigError(
        "'" + path + std::string(name) + "' is " + value.dump() + ", not a number above 0" +
        (figure > most ? " and at most " + std::to_string(static_cast<std::int64_t>(most)) : ""));
}

// What the parser of the simulator's form can't tell: types of the file, and lists that belong together.
void check_settings(const json& settings) {
  need_above_0(need(settings, "limits"), "maxAttempts", "settings.limits.", kMaxAttempts);
  const json& classes = need(settings, "classes");
  if (!classes.is_array() || classes.empty()) throw ConfigError("'settings.classes' names no class");
  std::set<std::string> names;
  for (const json& one : classes) {
    const std::string name = text(one, "name");
    if (name.empty() || name.size() > 64) throw ConfigError("a class's name is empty or over 64 bytes");
    if (!names.insert(name).second) throw ConfigError("the class '" + name + "' is there twice");
    need_above_0(one, "hardLimitNs", "class " + name + ": ", kMaxDeadlineNs);
    need_above_0(one, "promiseNs", "class " + name + ": ", kMaxDeadlineNs);
  }
  const json& family = need(settings, "familyInfo");
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

std::string plain(const json& value) {
  // 3e9 is the whole number that it looks like.
  if (value.is_number_float()) {
    const double figure = value.get<double>();
    if (std::floor(figure) == figure && std::abs(figure) < 9e15)
      return std::to_string(static_cast<std::int64_t>(figure));
  }
  if (!value.is_string()) return value.is_boolean() ? (value.get<bool>() ? "true" : "false") : value.dump();
  std::string out = value;
  std::replace_if(
      out.begin(), out.end(), [](char c) { return c == ' ' || c == ',' || c == '\t' || c == '\n'; }, '_');
  return out;
}

// The settings as path=value pairs, the form in which the simulator tells them.
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
    for (const json& part : value) flat.append(flat.empty() ? "" : ",").append(plain(part));
  } else {
    flat = plain(value);
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
      Endpoint host;
      host.uid = text(target, "uid");
      host.address = target.value("endpoint", std::string());
      host.area = target.value("az", std::string());
      host.pool = Pool{target.value("pod_group", std::int64_t{-1})};
      const std::string state = text(target, "state");
      host.state = state == "ready"      ? ServerState::in_service
                   : state == "draining" ? ServerState::terminating
                                         : ServerState::terminated;
      host.weight = target.value("capacity_hint", 1.0);
      if (const auto ms = target.value("boot_ms", std::int64_t{0}); ms > 0)
        host.started = Time(std::chrono::milliseconds(ms));
      result.endpoints.push_back(std::move(host));
    }
    return result;
  } catch (const json::exception& trouble) {
    throw ConfigError(std::string("a list of servers is malformed: ") + trouble.what());
  }
}

PlatformConfig read_platform_config(std::string_view source) {
  const json whole = parse(source, "the configuration");
  try {
    PlatformConfig c;
    c.text = source;
    c.name = whole.value("name", std::string("graniterun"));
    c.listen = text(whole, "listen");
    c.journal = whole.value("journal", std::string());
    if (!c.journal.empty() && !is_address(c.journal))
      throw ConfigError("'journal' is '" + c.journal + "', not an address and a port");
    c.management = whole.value("management", std::string());
    c.file_listen = c.listen;
    c.file_management = c.management;
    const json& seed = need(whole, "seed");
    const auto seed_number =
        seed.is_string() ? jsonl::number_of_hex(seed.get_ref<const std::string&>())
                         : std::optional<std::uint64_t>(static_cast<std::uint64_t>(number(seed, "seed")));
    if (!seed_number) throw ConfigError("'seed' is not hex digits");
    c.seed = *seed_number;
    if (whole.contains("limits")) c.sockets = whole["limits"].value("sockets", c.sockets);

    const json& settings = need(whole, "settings");
    if (!settings.is_object()) throw ConfigError("'settings' is not an object");
    check_settings(settings);
    std::string flat = "SETTINGS";
    flatten(settings, {}, flat);
    c.settings = wire::parse_settings(wire::Message(flat, 1));
    if (settings.contains("me")) c.index = settings["me"].get<std::uint32_t>();
    if (settings.contains("areas")) c.areas = settings["areas"].get<std::vector<std::string>>();
    for (const json& one : need(settings, "classes")) c.class_names.push_back(text(one, "name"));
    for (const auto& [name, part] : whole.items()) {
      c.keys.insert(name);
      if (name != "known") key_paths(part, name, c.keys);
    }

    if (whole.contains("known")) {
      const json& known = whole["known"];
      c.known_position = known.value("pos", std::uint64_t{0});
      for (const json& event : known.value("entries", json::array())) {
        if (event.contains("hosts")) c.known.push_back(read_endpoints(event["hosts"]));
      }
    }
    return c;
  } catch (const json::exception& trouble) {
    throw ConfigError(std::string("the configuration is malformed: ") + trouble.what());
  } catch (const wire::MalformedInput& trouble) {
    throw ConfigError(std::string("the settings are malformed: ") + trouble.what());
  }
}

void check_keys(const PlatformConfig& before, const PlatformConfig& fresh) {
  for (const std::string& key : before.keys) {
    if (!fresh.keys.contains(key))
      throw ConfigError("the configuration has no '" + key + "', which the one in force has");
  }
}

namespace {

// A whole number of milliseconds, or of what is named; absent: what it was.
std::int64_t whole(const json& object, const char* name, std::int64_t otherwise, std::int64_t least,
                   std::int64_t most) {
  const auto it = object.find(name);
  if (it == object.end()) return otherwise;
  const double value = number(*it, name);
  if (!(value >= static_cast<double>(least) && value <= static_cast<double>(most)) ||
      std::floor(value) != value)
    throw ConfigError("'" + std::string(name) + "' is not a whole number from " + std::to_string(least) +
                      " to " + std::to_string(most));
  return static_cast<std::int64_t>(value);
}

control::ControlSettings read_control(const json& control, const json& gaps, call_gapping::Fleet fleet) {
  using std::chrono::milliseconds;
  constexpr std::int64_t kDayMs = 86'400'000;
  control::ControlSettings c;
  c.listen = text(control, "listen");
  c.max_connections = static_cast<std::size_t>(whole(control, "connections", 32, 1, 1024));
  c.fleet.size = static_cast<std::uint32_t>(whole(gaps, "fleet_size", fleet.size, 1, 1024));
  c.fleet.index = static_cast<std::uint32_t>(whole(gaps, "fleet_index", fleet.index, 0, 1023));
  if (c.fleet.index >= c.fleet.size) throw ConfigError("'fleet_index' is not below 'fleet_size'");
  c.publisher_wait = milliseconds(whole(gaps, "wait_for_announcer_ms", 0, 0, 60'000));
  if (!gaps.contains("hot")) return c;
  const json& hot = gaps["hot"];
  call_gapping::HotSettings h;
  h.hot_threshold = static_cast<double>(whole(hot, "from_per_second", 20, 1, 1'000'000));
  h.cool_threshold = static_cast<double>(whole(hot, "below_per_second", 5, 0, 1'000'000));
  if (h.cool_threshold >= h.hot_threshold)
    throw ConfigError("'below_per_second' is not below 'from_per_second'");
  h.hot_duration = milliseconds(whole(hot, "hot_after_ms", 2000, 0, kDayMs));
  h.cool_duration = milliseconds(whole(hot, "cool_after_ms", 30'000, 0, kDayMs));
  h.max_gaps = static_cast<std::size_t>(whole(hot, "gaps", 0, 0, 100));
  c.hot = h;
  c.hot_gap_interval = milliseconds(whole(hot, "interval_ms", 1000, 10, kDayMs));
  c.hot_gap_duration = milliseconds(whole(hot, "lasts_ms", 900'000, 1000, kDayMs));
  return c;
}

std::string address_in(const json& object, const char* name) {
  std::string address = text(object, name);
  if (!is_address(address) || address.size() > membership::kMaxAddressLength)
    throw ConfigError("'" + std::string(name) + "' is '" + address + "', not an address and a port");
  return address;
}

std::vector<std::string> names_in(const json& object, const char* name, std::size_t most,
                                  std::size_t longest) {
  std::vector<std::string> all;
  for (const json& one : object.value(name, json::array())) {
    if (!one.is_string() || one.get_ref<const std::string&>().empty() ||
        one.get_ref<const std::string&>().size() > longest || all.size() >= most)
      throw ConfigError("'" + std::string(name) + "' is not a list of at most " + std::to_string(most) +
                        " texts of 1 to " + std::to_string(longest) + " bytes");
    all.push_back(one.get<std::string>());
  }
  return all;
}

void read_fleet(const json& fleet, const std::string& name, DeployConfig& c) {
  using std::chrono::milliseconds;
  static const std::set<std::string> kKnown{"name",      "listen",       "advertise",
                                            "seeds",     "roster",       "key_file",
                                            "period_ms", "suspicion_ms", "clock_offset_ms"};
  for (const auto& [key, value] : fleet.items()) {
    if (!kKnown.contains(key)) throw ConfigError("'fleet' has the unknown key '" + key + "'");
  }
  fleet::FleetSettings f;
  f.fleet = text(fleet, "name");
  if (f.fleet.empty() || f.fleet.size() > membership::kMaxNameLength)
    throw ConfigError("the fleet's 'name' is not 1 to 64 bytes long");
  f.listen = address_in(fleet, "listen");
  membership::Settings& m = f.membership;
  m.name = name;
  if (m.name.empty() || m.name.size() > membership::kMaxNameLength)
    throw ConfigError("this gatekeeper's name is not 1 to 64 bytes long: a fleet needs one");
  m.advertise = fleet.contains("advertise") ? address_in(fleet, "advertise") : f.listen;
  m.seeds = names_in(fleet, "seeds", 64, membership::kMaxAddressLength);
  for (const std::string& seed : m.seeds) {
    if (!is_address(seed)) throw ConfigError("the seed '" + seed + "' is not an address and a port");
  }
  for (std::string& one : names_in(fleet, "roster", membership::kMaxMembers, membership::kMaxNameLength))
    m.allowed_names.insert(std::move(one));
  if (!m.allowed_names.empty() && !m.allowed_names.contains(m.name))
    throw ConfigError("the 'roster' does not hold this gatekeeper's own name, '" + m.name + "'");
  m.probe_interval = milliseconds(whole(fleet, "period_ms", 250, 50, 10'000));
  m.ack_timeout = m.probe_interval * 2 / 5;
  m.gossip_interval = m.probe_interval * 2 / 5;
  m.min_suspicion_timeout = milliseconds(whole(fleet, "suspicion_ms", 3000, 200, 600'000));
  m.max_suspicion_timeout = 2 * m.min_suspicion_timeout;
  c.fleet_key_file = text(fleet, "key_file");
  c.fleet_clock_offset_ms = whole(fleet, "clock_offset_ms", 0, -86'400'000, 86'400'000);
  c.fleet = std::move(f);
}

void read_configuration(const json& configuration, const std::string& name, DeployConfig& c) {
  static const std::set<std::string> kKnown{"distributors", "services", "key_file", "wait_ms"};
  if (!configuration.is_object()) throw ConfigError("'configuration' is not an object");
  for (const auto& [key, value] : configuration.items()) {
    if (!kKnown.contains(key)) throw ConfigError("'configuration' has the unknown key '" + key + "'");
  }
  // 1 to so many, none of them twice.
  const auto list = [&configuration](const char* key, std::size_t most, std::size_t longest) {
    if (!need(configuration, key).is_array()) throw ConfigError("'" + std::string(key) + "' is not a list");
    std::vector<std::string> all = names_in(configuration, key, most, longest);
    if (all.empty()) throw ConfigError("'" + std::string(key) + "' is empty");
    if (std::set<std::string>(all.begin(), all.end()).size() != all.size())
      throw ConfigError("'" + std::string(key) + "' has one of them twice");
    return all;
  };
  distribution::SubscriberSettings s;
  s.name = name;
  constexpr std::size_t kLongestName = 255;
  if (name.empty() || name.size() > kLongestName ||
      std::any_of(name.begin(), name.end(), [](unsigned char one) { return one < 0x20 || one == 0x7f; }))
    throw ConfigError("this gatekeeper's name is not 1 to 255 bytes long without control characters");
  s.distributors = list("distributors", distribution::kMaxDistributors, membership::kMaxAddressLength);
  for (const std::string& one : s.distributors) {
    if (!is_address(one)) throw ConfigError("the distributor '" + one + "' is not an address and a port");
  }
  s.services = list("services", distribution::kMaxSubscribedServices, distribution::kMaxServiceNameLength);
  for (const std::string& one : s.services) {
    if (!distribution::is_service_name(one))
      throw ConfigError("the service '" + one + "' is not letters, digits, '.', '-' and '_'");
  }
  s.wait = std::chrono::milliseconds(whole(configuration, "wait_ms", 2000, 0, 60'000));
  c.configuration_key_file = text(configuration, "key_file");
  c.configuration = std::move(s);
}

void read_sip(const json& sip, bool has_control, DeployConfig& deploy) {
  if (sip.contains("udp")) deploy.sip_udp = text(sip, "udp");
  if (sip.contains("tcp")) deploy.sip_tcp = text(sip, "tcp");
  deploy.sip_server_transport = sip.value("servers", deploy.sip_server_transport);
  const std::string& transport = deploy.sip_server_transport;
  if (transport != "platform" && transport != "udp" && transport != "tcp")
    throw ConfigError("'servers' is not one of platform, udp, tcp");
  for (const json& one : sip.value("load_control_from", json::array())) {
    if (!one.is_string() || deploy.load_control_from.size() >= 64)
      throw ConfigError("'load_control_from' is not a list of at most 64 addresses");
    deploy.load_control_from.push_back(one.get<std::string>());
  }
  if (!deploy.load_control_from.empty() && !has_control)
    throw ConfigError("'load_control_from' needs a 'control', whose gaps it adds to");
  if (transport != "platform") deploy.sip_servers_from = text(sip, "servers_from");
}

core::Contract read_contract(const json& object, const std::vector<std::string>& class_names) {
  core::Contract contract;
  contract.team = object.value("team", std::string());
  if (object.contains("class")) {
    const std::string call_class = text(object, "class");
    if (std::find(class_names.begin(), class_names.end(), call_class) == class_names.end())
      throw ConfigError("a contract names the unknown class '" + call_class + "'");
    contract.call_class = call_class;
  }
  if (object.contains("deadline_ms"))
    contract.deadline = std::chrono::milliseconds(object["deadline_ms"].get<std::int64_t>());
  if (object.contains("attempts")) contract.attempts = object["attempts"].get<int>();
  if (object.contains("per_second")) contract.per_second = number(object["per_second"], "per_second");
  contract.burst = object.value("burst", std::max(1.0, contract.per_second.value_or(1.0)));
  return contract;
}

// Who knows who belongs to the fleet knows its size and its own place there.
void read_places(const json& gaps, DeployConfig& deploy) {
  const auto& roster = deploy.fleet->membership.allowed_names;
  if (!deploy.control || roster.empty()) return;
  if (gaps.contains("fleet_size") || gaps.contains("fleet_index"))
    throw ConfigError("'fleet_size' and 'fleet_index' follow from the fleet's 'roster': leave them out");
  deploy.control->places.assign(roster.begin(), roster.end());
  deploy.control->fleet.size = static_cast<std::uint32_t>(roster.size());
  deploy.control->fleet.index =
      static_cast<std::uint32_t>(std::distance(roster.begin(), roster.find(deploy.fleet->membership.name)));
}

void read_otlp(const json& otlp, DeployConfig& deploy) {
  deploy.collector = text(otlp, "collector");
  deploy.collector_host = otlp.value("host", *deploy.collector);
  deploy.export_interval = std::chrono::milliseconds(otlp.value("every_ms", std::int64_t{5000}));
  if (deploy.export_interval <= Duration{}) throw ConfigError("'every_ms' is not above 0");
}

}  // namespace

DeployConfig read_deploy_config(std::string_view source, const std::vector<std::string>& class_names,
                                call_gapping::Fleet fleet, const std::string& name) {
  const json file = parse(source, "the deploy file");
  try {
    DeployConfig deploy;
    const bool has_control = file.contains("control");
    const json gaps = file.value("gaps", json::object());
    if (file.contains("sip")) read_sip(file["sip"], has_control, deploy);
    for (const json& one : file.value("contracts", json::array()))
      deploy.contracts.push_back(read_contract(one, class_names));
    if (file.contains("gaps") && !has_control)
      throw ConfigError("'gaps' needs a 'control' with where to listen");
    if (has_control) deploy.control = read_control(file["control"], gaps, fleet);
    if (file.contains("fleet")) {
      read_fleet(file["fleet"], name, deploy);
      read_places(gaps, deploy);
    }
    if (file.contains("configuration")) read_configuration(file["configuration"], name, deploy);
    if (file.contains("otlp")) read_otlp(file["otlp"], deploy);
    return deploy;
  } catch (const json::exception& error) {
    throw ConfigError(std::string("the deploy file is malformed: ") + error.what());
  }
}

}  // namespace graniterun
