// graniterun_distributor: one of the control machines that distribute configuration to the gatekeepers.
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

// Beside the connections that are kept: those that are just being closed, and the program's own (standard
// streams, the loop, the listener, a file).
constexpr std::size_t kClosing = 64;
constexpr std::size_t kOwn = 32;

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// The directory is made where it is not there; what stands in it must be to be read and written over.
void prepare(const std::string& dir) {
  std::error_code trouble;
  std::filesystem::create_directory(dir, trouble);
  if (!std::filesystem::is_directory(dir)) throw std::runtime_error(dir + " is no directory");
  if (access(dir.c_str(), R_OK | W_OK | X_OK) != 0) throw std::runtime_error(dir + " can't be written");
  const std::string known = dir + "/known";
  if (access(known.c_str(), F_OK) == 0 && access(known.c_str(), R_OK) != 0)
    throw std::runtime_error(known + " can't be read");
}

// So many descriptors are needed, and so many may be had.
std::size_t descriptors(std::size_t needed) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    throw std::runtime_error("the limit of descriptors is not known");
  if (limit.rlim_cur < needed && limit.rlim_max >= needed) {
    limit.rlim_cur = needed;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  if (limit.rlim_cur < needed)
    throw std::runtime_error("it needs " + std::to_string(needed) + " descriptors and may have " +
                             std::to_string(limit.rlim_max) + ": raise the limit, or lower --connections");
  return static_cast<std::size_t>(limit.rlim_cur);
}

int run(int argc, char** argv) {
  control::ConfigDistributorSettings settings;
  std::string advertise;
  std::string key_file;
  CLI::App app{"Holds the configuration of all services, and brings it to every gatekeeper."};
  app.add_option("--listen", settings.listen,
                 "where gatekeepers, distributors and operators connect, address:port")
      ->required();
  app.add_option("--advertise", advertise, "where the others reach it (default: as --listen)");
  app.add_option("--peer", settings.peers,
                 "addresses of ALL distributors, its own too; the same list everywhere")
      ->required()
      ->delimiter(',');
  app.add_option("--key-file", key_file, "64 hex digits, the same for all who publish, distribute and obey")
      ->required();
  app.add_option("--dir", settings.directory, "of its own files; made where it is not there")->required();
  app.add_option("--name", settings.name, "its name in answers")->capture_default_str();
  app.add_option("--connections", settings.max_connections, "of gatekeepers, distributors and operators")
      ->capture_default_str()
      ->check(CLI::Range(std::size_t{16}, distribution::kMaxClients));
  app.add_option("--bytes-per-second", settings.bytes_per_second, "of documents, to all together")
      ->capture_default_str()
      ->check(CLI::Range(std::size_t{64} * 1024, std::size_t{1} << 32));
  CLI11_PARSE(app, argc, argv);

  const std::string own = advertise.empty() ? settings.listen : advertise;
  const std::size_t all = settings.peers.size();
  std::ranges::sort(settings.peers);
  if (std::ranges::adjacent_find(settings.peers) != settings.peers.end())
    throw std::runtime_error("--peer names an address twice");
  if (std::erase(settings.peers, own) != 1)
    throw std::runtime_error("--peer does not name its own address, " + own +
                             ": it takes the addresses of all distributors (see --advertise)");
  if (all > distribution::kMaxDistributors)
    throw std::runtime_error("there are more than " + std::to_string(distribution::kMaxDistributors) +
                             " distributors");
  if (!control::is_gatekeeper_name(settings.name)) throw std::runtime_error("--name is empty, or too long");
  const auto key = fleet::key_in(read_file(key_file));
  if (!key) throw std::runtime_error("the key file " + key_file + " does not hold 64 hex digits");
  settings.key = *key;
  prepare(settings.directory);
  std::random_device device;
  settings.seed = std::uint64_t{device()} << 32 | device();

  net::RuntimeLimits limits;
  limits.connections = settings.max_connections + kClosing;
  limits.outbound = 4 * 1024 * 1024;  // all proposals that may be out at one time, to a slow peer
  limits.outbound_all = 128 * 1024 * 1024;
  const std::size_t needed = limits.connections + all + kOwn;
  const std::size_t had = descriptors(needed);
  const net::Logger logger(net::Level::info);
  logger.line(net::Level::info, "at most " + std::to_string(settings.max_connections) + " connections: " +
                                    std::to_string(needed) + " descriptors of " + std::to_string(had));
  net::Runtime runtime(limits, logger);
  control::ConfigDistributor distributor(
      std::move(settings), [&runtime](Counters& counters) { net::add_to(counters, runtime.counters()); });
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
  } catch (const std::exception& trouble) {
    std::cerr << "graniterun_distributor: " << trouble.what() << '\n';
    return 1;
  }
}
