// graniterun_hollow FILE: hosts hollow gatekeepers as the file says, and tells of them on standard output, a
// JSON object a line. The file:
//
//   {"base": the start configuration (an object), "deploy": the deploy file of all (an object),
//    "key_file", "interval_ms", "lasts_s", "gatekeepers": [{"name", "services": [...]}, ...]}
//
// Each has `deploy` with its own services under `configuration`. On standard input: {"restart": how many}.
// It ends when that is closed, when its parent is gone, or after `lasts_s`.
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
  std::uint64_t all = 0;
  std::uint64_t resident = 0;
  file >> all >> resident;
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::int64_t now_ns() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(Clock::now().time_since_epoch()).count();
}

void tell(lab::HollowHost& host) {
  const lab::HollowHost::Sums s = host.sums();
  lab::HollowRecord& r = host.record();
  json force = json::array();
  json refused = json::array();
  for (const auto& [key, e] : r.take_changed()) {
    force.push_back({key.first, key.second, e.digest, e.now, e.first, e.last});
    if (e.refused > 0) refused.push_back({key.first, key.second, e.refused});
  }
  rusage process{};
  ::getrusage(RUSAGE_SELF, &process);
  std::cout << json{{"t", now_ns()},
                    {"up", s.up},
                    {"ready", s.ready},
                    {"sources", s.sources},
                    {"force", std::move(force)},
                    {"refused", std::move(refused)},
                    {"back", r.back.load()},
                    {"mixed", r.mixed.load()},
                    {"lists", r.lists.load()},
                    {"stale", s.stale},
                    {"conflicts", s.conflicts},
                    {"unsound", s.unsound},
                    {"refusals", s.refused},
                    {"in", s.bytes_in},
                    {"out", s.bytes_out},
                    {"cpu_ns", s.cpu_ns},
                    {"memory", resident_bytes()},
                    {"restarts", s.restarts}}
                   .dump()
            << '\n'
            << std::flush;
}

int run(const std::string& path) {
  const json file = json::parse(read_file(path));
  const json gatekeepers = file.at("gatekeepers");
  const std::string base = file.at("base").dump();
  const json deploy_of_all = file.value("deploy", json::object());
  const PlatformConfig config = read_platform_config(base);
  const auto key = fleet::key_in(read_file(file.at("key_file").get<std::string>()));
  if (!key) throw ConfigError("the key file does not hold 64 hex digits");
  const auto interval = std::chrono::milliseconds(file.value("interval_ms", 200));
  const auto ends = Clock::now() + std::chrono::seconds(file.value("lasts_s", 60));

  // Read by one thread, once: what they start from is the same for all but the name and the services.
  std::vector<std::pair<PlatformConfig, DeployConfig>> all;
  for (const json& g : gatekeepers) {
    PlatformConfig c = config;
    c.name = g.at("name").get<std::string>();
    c.seed = config.seed + all.size();
    json d = deploy_of_all;
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
  lab::HollowHost host(all.size(), [&all](std::size_t i, lab::HollowRecord& record) {
    return std::make_unique<lab::Hollow>(all[i].first, all[i].second, record);
  });
  host.start();

  std::string said;
  while (Clock::now() < ends) {
    const auto next = Clock::now() + interval;
    bool over = false;
    while (!over) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(next - Clock::now()).count();
      if (left <= 0) break;
      pollfd in{STDIN_FILENO, POLLIN, 0};
      if (::poll(&in, 1, static_cast<int>(left)) <= 0) continue;
      char buffer[4096];
      const ssize_t got = ::read(STDIN_FILENO, buffer, sizeof buffer);
      over = got <= 0;
      if (got > 0) said.append(buffer, static_cast<std::size_t>(got));
      for (std::size_t end = said.find('\n'); end != std::string::npos; end = said.find('\n')) {
        const json line = json::parse(said.substr(0, end), nullptr, false);
        said.erase(0, end + 1);
        if (line.is_object()) host.restart(line.value("restart", std::size_t{0}));
      }
    }
    tell(host);
    if (over || !std::cout) break;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  // Signals are left as they are: SIGTERM ends the process, and no runtime watches for any.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "usage: graniterun_hollow FILE\n";
    return 2;
  }
  try {
    return run(argv[1]);
  } catch (const std::exception& trouble) {
    std::cerr << "graniterun_hollow: " << trouble.what() << '\n';
    return 1;
  }
}
