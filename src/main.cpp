// graniterun: one gatekeeper on real sockets.
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

std::string variable(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

net::Level level_from(const std::string& word) {
  if (word == "debug") return net::Level::debug;
  if (word.empty() || word == "info") return net::Level::info;
  if (word == "warning") return net::Level::warning;
  if (word == "error") return net::Level::error;
  throw ConfigError("GRANITERUN_LOG is not one of debug, info, warning, error");
}

// The platform may hold the callers' listening socket and hand it to each process that it starts.
std::optional<int> inherited_socket() {
  const std::string text = variable("RELAY_INHERITED_FD");
  if (text.empty()) return std::nullopt;
  const auto fd = number_in<int>(text);
  if (!fd || !net::is_listening_tcp(*fd))
    throw ConfigError("RELAY_INHERITED_FD is '" + text + "', which is no listening TCP socket");
  return fd;
}

// What the deploy file does not hold: the key, and what is another one at every start.
void prepare(DeployConfig& deploy) {
  std::random_device random;
  const auto draw = [&random] { return (static_cast<std::uint64_t>(random()) << 32) | random(); };
  const auto key_of = [](const char* whose, const std::string& path) {
    const auto key = fleet::key_in(read_file(path));
    if (!key) throw ConfigError(std::string(whose) + " key file " + path + " does not hold 64 hex digits");
    return *key;
  };
  if (deploy.configuration) {
    deploy.configuration->key = key_of("the configuration's", deploy.configuration_key_file);
    deploy.configuration->seed = draw();
  }
  if (!deploy.fleet) return;
  deploy.fleet->key = key_of("the fleet's", deploy.fleet_key_file);
  membership::Settings& settings = deploy.fleet->membership;
  settings.start_nonce = draw();
  settings.seed = draw();
  const auto unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(net::clock_now().time_since_epoch());
  settings.incarnation = static_cast<membership::Incarnation>(
      std::max<std::int64_t>(1, unix_ms.count() + deploy.fleet_clock_offset_ms));
}

call_gapping::Fleet fleet_of(const PlatformConfig& config) {
  const std::uint32_t size = std::max<std::uint32_t>(1, config.settings.senders);
  return {size, std::min(config.index, size - 1)};
}

int run(int argc, char** argv) {
  std::string deploy_path;
  for (int i = 1; i < argc; ++i) {
    if (std::string(argv[i]) != "--deploy" || i + 1 == argc)
      throw ConfigError("usage: graniterun [--deploy FILE]");
    deploy_path = argv[++i];
  }
  const std::string config_path = variable("RELAY_CONFIG");
  if (config_path.empty()) throw ConfigError("RELAY_CONFIG is not set");
  PlatformConfig config = read_platform_config(read_file(config_path));
  config.path = config_path;
  if (const std::string listen = variable("RELAY_LISTEN"); !listen.empty()) config.listen = listen;
  if (const std::string name = variable("RELAY_NAME"); !name.empty()) config.name = name;
  if (const std::string second = variable("RELAY_MANAGEMENT"); !second.empty()) config.management = second;
  config.inherited = inherited_socket();
  DeployConfig deploy = deploy_path.empty() ? DeployConfig{}
                                            : read_deploy_config(read_file(deploy_path), config.class_names,
                                                                 fleet_of(config), config.name);
  prepare(deploy);

  net::RuntimeLimits limits;
  limits.connections = descriptor_shares(config.sockets).accepted;
  net::Runtime runtime(limits, net::Logger(level_from(variable("GRANITERUN_LOG"))));
  Gatekeeper gatekeeper(config, deploy, [&runtime](Counters& all) { net::add_to(all, runtime.counters()); });
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
  } catch (const std::exception& trouble) {
    std::cerr << "graniterun: " << trouble.what() << '\n';
    return 1;
  }
}
