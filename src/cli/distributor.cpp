// graniterun_distributor: the program of one configuration distributor. Reads the command line, prepares its
// directory and descriptor limit, and runs control::ConfigDistributor.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include "control/config_distributor.h"
#include "fleet/datagram.h"
#include "net/counted.h"
#include "net/runtime.h"

namespace {

using namespace graniterun;

// Descriptors in addition to --connections: connections that are being closed, and the program's own
// (standard streams, the event loop, the listener, a file).
constexpr std::size_t kMaxClosingConnections = 64;
constexpr std::size_t kOwnDescriptors = 32;

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Creates the directory if it is missing, and throws unless it is writable and its index is readable.
void prepare_directory(const std::string& dir) {
  std::error_code ignored;
  std::filesystem::create_directory(dir, ignored);
  if (!std::filesystem::is_directory(dir)) throw std::runtime_error(dir + " is not a directory");
  if (access(dir.c_str(), R_OK | W_OK | X_OK) != 0) throw std::runtime_error(dir + " is not writable");
  const std::string index = dir + "/known";
  if (access(index.c_str(), F_OK) == 0 && access(index.c_str(), R_OK) != 0)
    throw std::runtime_error(index + " is not readable");
}

// Raises the soft descriptor limit to `needed` if the hard limit allows it. Returns the limit, or throws if
// it is too low.
std::size_t raise_descriptor_limit(std::size_t needed) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) throw std::runtime_error("cannot read the limit of descriptors");
  if (limit.rlim_cur < needed && limit.rlim_max >= needed) {
    limit.rlim_cur = needed;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  if (limit.rlim_cur < needed)
    throw std::runtime_error("too few descriptors: " + std::to_string(needed) + " needed, the limit is " +
                             std::to_string(limit.rlim_max) + ": raise the limit, or lower --connections");
  return static_cast<std::size_t>(limit.rlim_cur);
}

int run(int argc, char** argv) {
  control::ConfigDistributorSettings settings;
  std::string advertise;
  std::string key_file;
  CLI::App app{"Stores the configuration of all services and distributes it to every gatekeeper."};
  app.add_option("--listen", settings.listen, "address:port for gatekeepers, distributors and operators")
      ->required();
  app.add_option("--advertise", advertise,
                 "address at which the other distributors reach it (default: --listen)");
  app.add_option("--peer", settings.peers,
                 "addresses of ALL distributors including its own; the same list everywhere")
      ->required()
      ->delimiter(',');
  app.add_option("--key-file", key_file,
                 "file with 64 hex digits, the same at all distributors and gatekeepers")
      ->required();
  app.add_option("--dir", settings.directory, "directory of its files; created if missing")->required();
  app.add_option("--name", settings.name, "its name in answers")->capture_default_str();
  app.add_option("--connections", settings.max_connections,
                 "maximum connections of gatekeepers, distributors and operators")
      ->capture_default_str()
      ->check(CLI::Range(std::size_t{16}, distribution::kMaxClients));
  app.add_option("--bytes-per-second", settings.bytes_per_second,
                 "rate limit of delivered configurations, all clients together")
      ->capture_default_str()
      ->check(CLI::Range(std::size_t{64} * 1024, std::size_t{1} << 32));
  CLI11_PARSE(app, argc, argv);

  const std::string own = advertise.empty() ? settings.listen : advertise;
  const std::size_t distributors = settings.peers.size();
  std::ranges::sort(settings.peers);
  if (std::ranges::adjacent_find(settings.peers) != settings.peers.end())
    throw std::runtime_error("--peer lists an address twice");
  if (std::erase(settings.peers, own) != 1)
    throw std::runtime_error("--peer does not list its own address, " + own +
                             ": list the addresses of all distributors (see --advertise)");
  if (distributors > distribution::kMaxDistributors)
    throw std::runtime_error("--peer lists more than " + std::to_string(distribution::kMaxDistributors) +
                             " distributors");
  if (!control::is_gatekeeper_name(settings.name))
    throw std::runtime_error("--name is empty, too long or has control characters");
  const auto key = fleet::parse_key(read_file(key_file));
  if (!key) throw std::runtime_error("the key file " + key_file + " does not hold 64 hex digits");
  settings.key = *key;
  prepare_directory(settings.directory);
  std::random_device device;
  settings.seed = std::uint64_t{device()} << 32 | device();

  net::RuntimeLimits limits;
  limits.max_connections = settings.max_connections + kMaxClosingConnections;
  limits.max_outbound_bytes = 4 * 1024 * 1024;  // all outstanding proposals, to a slow peer
  limits.max_total_outbound_bytes = 128 * 1024 * 1024;
  const std::size_t needed = limits.max_connections + distributors + kOwnDescriptors;
  const std::size_t descriptor_limit = raise_descriptor_limit(needed);
  const net::Logger logger(net::Level::info);
  logger.line(net::Level::info, "at most " + std::to_string(settings.max_connections) +
                                    " connections: " + std::to_string(needed) +
                                    " descriptors needed, limit " + std::to_string(descriptor_limit));
  net::Runtime runtime(limits, logger);
  control::ConfigDistributor distributor(std::move(settings), [&runtime](Counters& counters) {
    net::add_runtime_counters(counters, runtime.counters());
  });
  return runtime.run([&distributor](Time now, const net::Event& event, net::Effects& effects) {
    distributor.step(now, event, effects);
  });
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  net::block_signals();
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "graniterun_distributor: " << error.what() << '\n';
    return 1;
  }
}
