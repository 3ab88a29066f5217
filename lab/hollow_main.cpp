// graniterun_hollow FILE: runs the lightweight gatekeepers that the file describes and reports their state on
// standard output, one JSON object per line and interval. The file:
//
//   {"base": the start configuration (an object), "deploy": the common deploy file (an object),
//    "key_file", "interval_ms", "lasts_s", "gatekeepers": [{"name", "services": [...]}, ...]}
//
// Each gatekeeper uses `deploy` with its own services under `configuration`. The line {"restart": N} on
// standard input restarts the first N gatekeepers. The program exits when standard input is closed, when its
// parent process exits, or after `lasts_s` seconds.
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "fleet/datagram.h"
#include "lab/hollow.h"

namespace {

using namespace graniterun;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw ConfigError("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::uint64_t resident_bytes() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::int64_t now_ns() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(Clock::now().time_since_epoch()).count();
}

void print_state(lab::LightweightGatekeeperHost& host) {
  const lab::LightweightGatekeeperHost::Totals totals = host.totals();
  lab::VersionRecord& record = host.record();
  json active = json::array();
  json rejected = json::array();
  for (const auto& [key, entry] : record.take_changed()) {
    active.push_back({key.first, key.second, entry.digest, entry.active_now, entry.first_activated_ns,
                      entry.last_activated_ns});
    if (entry.rejected > 0) rejected.push_back({key.first, key.second, entry.rejected});
  }
  rusage process{};
  ::getrusage(RUSAGE_SELF, &process);
  std::cout << json{{"t", now_ns()},
                    {"up", totals.up},
                    {"ready", totals.ready},
                    {"sources", totals.sources},
                    {"force", std::move(active)},
                    {"refused", std::move(rejected)},
                    {"back", record.version_decreases.load()},
                    {"mixed", record.content_mismatches.load()},
                    {"lists", record.endpoint_lists.load()},
                    {"stale", totals.stale},
                    {"conflicts", totals.conflicts},
                    {"unsound", totals.unsound},
                    {"refusals", totals.refused},
                    {"in", totals.bytes_in},
                    {"out", totals.bytes_out},
                    {"cpu_ns", totals.cpu_ns},
                    {"memory", resident_bytes()},
                    {"restarts", totals.restarts}}
                   .dump()
            << '\n'
            << std::flush;
}

int run(const std::string& path) {
  const json file = json::parse(read_file(path));
  const json gatekeepers = file.at("gatekeepers");
  const std::string base = file.at("base").dump();
  const json common_deploy = file.value("deploy", json::object());
  const PlatformConfig config = read_platform_config(base);
  const auto key = fleet::key_in(read_file(file.at("key_file").get<std::string>()));
  if (!key) throw ConfigError("the key file does not hold 64 hex digits");
  const auto interval = std::chrono::milliseconds(file.value("interval_ms", 200));
  const auto deadline = Clock::now() + std::chrono::seconds(file.value("lasts_s", 60));

  // The configurations are parsed once, in this thread; they differ only in name, services and seeds.
  std::vector<std::pair<PlatformConfig, DeployConfig>> all;
  for (const json& g : gatekeepers) {
    PlatformConfig c = config;
    c.name = g.at("name").get<std::string>();
    c.seed = config.seed + all.size();
    json d = common_deploy;
    if (d.contains("configuration")) d["configuration"]["services"] = g.at("services");
    DeployConfig deploy = read_deploy_config(d.dump(), c.class_names, {}, c.name);
    if (deploy.configuration) {
      deploy.configuration->key = *key;
      deploy.configuration->seed = std::hash<std::string>{}(c.name);
    }
    if (deploy.fleet) {
      deploy.fleet->key = *key;
      deploy.fleet->membership.start_nonce = deploy.fleet->membership.seed = std::hash<std::string>{}(c.name);
      deploy.fleet->membership.incarnation = static_cast<membership::Incarnation>(now_ns() / 1'000'000);
    }
    all.emplace_back(std::move(c), std::move(deploy));
  }
  lab::LightweightGatekeeperHost host(all.size(), [&all](std::size_t i, lab::VersionRecord& record) {
    return std::make_unique<lab::LightweightGatekeeper>(all[i].first, all[i].second, record);
  });
  host.start();

  std::string input;
  while (Clock::now() < deadline) {
    const auto next = Clock::now() + interval;
    bool input_closed = false;
    while (!input_closed) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(next - Clock::now()).count();
      if (left <= 0) break;
      pollfd in{STDIN_FILENO, POLLIN, 0};
      if (::poll(&in, 1, static_cast<int>(left)) <= 0) continue;
      char buffer[4096];
      const ssize_t got = ::read(STDIN_FILENO, buffer, sizeof buffer);
      input_closed = got <= 0;
      if (got > 0) input.append(buffer, static_cast<std::size_t>(got));
      for (std::size_t end = input.find('\n'); end != std::string::npos; end = input.find('\n')) {
        const json line = json::parse(input.substr(0, end), nullptr, false);
        input.erase(0, end + 1);
        if (line.is_object()) host.restart(line.value("restart", std::size_t{0}));
      }
    }
    print_state(host);
    if (input_closed || !std::cout) break;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  // Signal handlers stay at their defaults: SIGTERM ends the process, and no runtime handles signals.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "usage: graniterun_hollow FILE\n";
    return 2;
  }
  try {
    return run(argv[1]);
  } catch (const std::exception& error) {
    std::cerr << "graniterun_hollow: " << error.what() << '\n';
    return 1;
  }
}
