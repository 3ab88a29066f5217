// What the program is told at its start: the platform's configuration, and the deploy file of the other
// front.
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

// Its text is one plain line.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A setup server as the journal service tells of it.
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
  bool complete{};
  std::vector<Endpoint> endpoints{};
};
// Throws ConfigError.
EndpointList read_endpoints(const nlohmann::json& list);

struct PlatformConfig {
  std::string path{};  // of the file that it came from
  std::string text{};  // as it was read: what documents are laid over
  std::string name{};
  std::string listen{};
  std::string file_listen{};  // as the file has them: the environment goes before it
  std::string file_management{};
  std::string journal{};           // empty: none
  std::string management{};        // where operators call; empty: nowhere
  std::optional<int> inherited{};  // descriptor of the callers' listening socket, where the platform holds it
  std::uint64_t seed{};
  std::size_t sockets{1024};
  std::uint64_t known_position{};
  std::vector<EndpointList> known{};
  std::vector<std::string> areas{};
  std::vector<std::string> class_names{};
  std::set<std::string> keys{};  // paths of all that the file sets but what `known` holds
  std::uint32_t index{};         // of this gatekeeper among settings.senders
  Settings settings{};
};
PlatformConfig read_platform_config(std::string_view text);  // throws ConfigError
// Throws ConfigError where `fresh` lacks a key that `before` has: a file that was cut or misspelt, not one
// that means the default.
void check_keys(const PlatformConfig& before, const PlatformConfig& fresh);

struct DeployConfig {
  std::optional<std::string> sip_udp{};  // where SIP is listened for
  std::optional<std::string> sip_tcp{};
  std::string sip_server_transport{"platform"};  // how setup servers are spoken to: platform, udp or tcp
  std::string sip_servers_from{};                // the address of ours that they see, for udp and tcp
  std::vector<std::string> load_control_from{};  // SIP neighbours whose load control is asked for
  std::vector<core::Contract> contracts{};
  std::optional<std::string> collector{};  // OTLP over HTTP
  std::string collector_host{};
  Duration export_interval{std::chrono::seconds(5)};
  std::optional<control::ControlSettings> control{};  // absent: no gaps can be announced
  std::optional<fleet::FleetSettings> fleet{};        // absent: it speaks to no other gatekeeper
  std::string fleet_key_file{};                       // whoever reads the file puts its key into `fleet`
  std::int64_t fleet_clock_offset_ms{};  // added to the clock that lives are taken from: for tests
  // Absent: it takes its configuration from its file only.
  std::optional<distribution::SubscriberSettings> configuration{};
  std::string configuration_key_file{};  // whoever reads the file puts its key into `configuration`
};
// Throws ConfigError. Class names, `name` of this gatekeeper and the fleet, where the file does not say it,
// are those of the platform's configuration.
DeployConfig read_deploy_config(std::string_view text, const std::vector<std::string>& class_names,
                                call_gapping::Fleet fleet = {}, const std::string& name = {});

}  // namespace graniterun
