// Starts gatekeepers as separate processes for the benchmarks and process tests.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "settings.h"
#include "stand_in.h"

namespace graniterun::bench {

using nlohmann::json;

inline std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }
inline int free_port() { return test::Socket::bound(SOCK_STREAM).port(); }

// Configuration of gatekeeper `index` of `size`, with `servers` as its complete endpoint list.
inline json config_of(const std::string& listen, const std::vector<std::string>& servers, int index,
                      int size) {
  json settings = test::settings();
  settings["familyInfo"]["poolsByClass"] = {{0, 1}, {0, 1}};
  settings["replicasOfMe"] = size;
  settings["me"] = index;
  json targets = json::array();
  for (std::size_t i = 0; i < servers.size(); ++i)
    targets.push_back({{"uid", "s-" + std::to_string(i)},
                       {"endpoint", servers[i]},
                       {"az", "west"},
                       {"pod_group", i},
                       {"state", "ready"},
                       {"capacity_hint", 4},
                       {"model", "std-1core"},
                       {"boot_ms", 0}});
  const json hosts = {{"rev", 1}, {"all", true}, {"targets", targets}};
  return {{"name", "n" + std::to_string(index)},
          {"listen", listen},
          {"seed", std::to_string(1000 + index)},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", {{"pos", 1}, {"entries", {{{"pos", 1}, {"hosts", hosts}}}}}},
          {"settings", settings}};
}

// Starts a gatekeeper process. `deploy` is the content of its deploy file, or null for none.
inline std::unique_ptr<test::Program> gatekeeper(const std::string& binary, const std::string& listen,
                                                 const std::vector<std::string>& servers, int index, int size,
                                                 const json& deploy = {}) {
  return std::make_unique<test::Program>(binary, config_of(listen, servers, index, size).dump(),
                                         deploy.is_null() ? "" : deploy.dump());
}

}  // namespace graniterun::bench
