// graniterun: the gatekeeper program. Reads the environment and configuration files, and runs a gatekeeper.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>

#include "codec/number.h"
#include "config/descriptors.h"
#include "gatekeeper/gatekeeper.h"
#include "net/counted.h"
#include "net/runtime.h"

namespace {

using namespace graniterun;

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw ConfigError("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

net::Level parse_log_level(const std::string& name) {
  if (name == "debug") return net::Level::debug;
  if (name.empty() || name == "info") return net::Level::info;
  if (name == "warning") return net::Level::warning;
  if (name == "error") return net::Level::error;
  throw ConfigError("GRANITERUN_LOG is not one of debug, info, warning, error");
}

// Descriptor of the callers' listening socket, if the platform passes one to the processes that it starts.
std::optional<int> inherited_socket() {
  const std::string text = environment_variable("RELAY_INHERITED_FD");
  if (text.empty()) return std::nullopt;
  const auto fd = number_in<int>(text);
  if (!fd || !net::is_listening_tcp(*fd))
    throw ConfigError("RELAY_INHERITED_FD is '" + text + "', which is no listening TCP socket");
  return fd;
}

// Adds what the deploy file does not contain: the keys, and values that differ at every start.
void add_keys_and_seeds(DeployConfig& deploy) {
  std::random_device random;
  const auto draw = [&random] { return (static_cast<std::uint64_t>(random()) << 32) | random(); };
  const auto read_key = [](const char* owner, const std::string& path) {
    const auto key = fleet::parse_key(read_file(path));
    if (!key) throw ConfigError(std::string(owner) + " key file " + path + " does not hold 64 hex digits");
    return *key;
  };
  if (deploy.configuration) {
    deploy.configuration->key = read_key("the configuration's", deploy.configuration_key_file);
    deploy.configuration->seed = draw();
  }
  if (!deploy.fleet) return;
  deploy.fleet->key = read_key("the fleet's", deploy.fleet_key_file);
  membership::Settings& settings = deploy.fleet->membership;
  settings.start_nonce = draw();
  settings.seed = draw();
  const auto unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(net::clock_now().time_since_epoch());
  settings.incarnation = static_cast<membership::Incarnation>(
      std::max<std::int64_t>(1, unix_ms.count() + deploy.fleet_clock_offset_ms));
}

call_gapping::FleetPosition fleet_position(const PlatformConfig& config) {
  const std::uint32_t size = std::max<std::uint32_t>(1, config.settings.senders);
  return {size, std::min(config.fleet_index, size - 1)};
}

int run(int argc, char** argv) {
  std::string deploy_path;
  for (int i = 1; i < argc; ++i) {
    if (std::string(argv[i]) != "--deploy" || i + 1 == argc)
      throw ConfigError("usage: graniterun [--deploy FILE]");
    deploy_path = argv[++i];
  }
  const std::string config_path = environment_variable("RELAY_CONFIG");
  if (config_path.empty()) throw ConfigError("RELAY_CONFIG is not set");
  PlatformConfig config = read_platform_config(read_file(config_path));
  config.path = config_path;
  if (const std::string listen = environment_variable("RELAY_LISTEN"); !listen.empty())
    config.listen = listen;
  if (const std::string name = environment_variable("RELAY_NAME"); !name.empty()) config.name = name;
  if (const std::string management = environment_variable("RELAY_MANAGEMENT"); !management.empty())
    config.management = management;
  config.inherited_socket = inherited_socket();
  DeployConfig deploy = deploy_path.empty() ? DeployConfig{}
                                            : read_deploy_config(read_file(deploy_path), config.class_names,
                                                                 fleet_position(config), config.name);
  add_keys_and_seeds(deploy);

  net::RuntimeLimits limits;
  limits.max_connections = descriptor_shares(config.max_sockets).accepted;
  const net::Level min_log_level = parse_log_level(environment_variable("GRANITERUN_LOG"));
  net::Runtime runtime(limits, net::Logger(min_log_level));
  Gatekeeper gatekeeper(
      config, deploy, [&runtime](Counters& all) { net::add_runtime_counters(all, runtime.counters()); },
      min_log_level);
  return runtime.run([&gatekeeper](Time now, const net::Event& event, net::Effects& effects) {
    gatekeeper.step(now, event, effects);
  });
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  net::block_signals();
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "graniterun: " << error.what() << '\n';
    return 1;
  }
}
