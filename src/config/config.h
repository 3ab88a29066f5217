// Configuration that the gatekeeper reads at the start: the platform's configuration file, and the deploy
// file with everything that the platform does not know (SIP, control, fleet, distributed configuration,
// export).
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "control/settings.h"
#include "core/contracts.h"
#include "distribution/subscriber.h"
#include "fleet/settings.h"
#include "graniterun/controller.h"

namespace graniterun {

// what() is one line of text.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A setup server as the discovery service describes it.
struct Endpoint {
  std::string uid{};
  std::string address{};
  std::string area{};
  Pool pool{};
  ServerState state{};
  double weight{1.0};
  std::optional<Time> started{};
};
struct EndpointList {
  bool complete{};  // false: changes to an earlier list
  std::vector<Endpoint> endpoints{};
};
// Throws ConfigError.
EndpointList read_endpoints(const nlohmann::json& list);

struct PlatformConfig {
  std::string path{};  // of the file that it was read from
  std::string text{};  // as read: the base to which service configurations are applied
  std::string name{};
  std::string listen{};
  std::string file_listen{};  // as in the file; the environment overrides `listen`
  std::string file_management{};
  std::string journal{};           // address of the discovery service; empty: none
  std::string management{};        // address of the management listener; empty: none
  std::optional<int> inherited{};  // descriptor of the callers' listening socket, if the platform passes one
  std::uint64_t seed{};
  std::size_t sockets{1024};
  std::uint64_t known_position{};
  std::vector<EndpointList> known{};
  std::vector<std::string> areas{};
  std::vector<std::string> class_names{};
  std::set<std::string> keys{};  // paths of all keys in the file except those below `known`
  std::uint32_t index{};         // of this gatekeeper, below settings.senders
  Settings settings{};
};
PlatformConfig read_platform_config(std::string_view text);  // throws ConfigError
// Throws ConfigError if `fresh` lacks a key that `before` has: the file was probably truncated or the key
// misspelled, rather than left out to get the default.
void check_keys(const PlatformConfig& before, const PlatformConfig& fresh);

struct DeployConfig {
  std::optional<std::string> sip_udp{};  // address of the SIP listener over UDP
  std::optional<std::string> sip_tcp{};
  std::string sip_server_transport{"platform"};  // protocol to setup servers: platform, udp or tcp (SIP)
  std::string sip_servers_from{};                // own address toward setup servers, for udp and tcp
  std::vector<std::string> load_control_from{};  // SIP neighbours whose load control is subscribed to
  std::vector<core::Contract> contracts{};
  std::optional<std::string> collector{};  // address of the OTLP over HTTP collector
  std::string collector_host{};
  Duration export_interval{std::chrono::seconds(5)};
  std::optional<control::ControlSettings> control{};  // absent: no control listener, no call gaps
  std::optional<fleet::FleetSettings> fleet{};        // absent: no communication with other gatekeepers
  std::string fleet_key_file{};                       // its key is put into `fleet` by the caller
  std::int64_t fleet_clock_offset_ms{};  // added to the clock that incarnations are taken from; for tests
  // Distributed configuration; absent: only the configuration file is used.
  std::optional<distribution::SubscriberSettings> configuration{};
  std::string configuration_key_file{};  // its key is put into `configuration` by the caller
};
// Throws ConfigError. `class_names` and `name` come from the platform's configuration, and so does `fleet`,
// which is used if the file does not set the fleet's size and index.
DeployConfig read_deploy_config(std::string_view text, const std::vector<std::string>& class_names,
                                call_gapping::Fleet fleet = {}, const std::string& name = {});

}  // namespace graniterun
