// The settings of a configuration file, in the platform's format.
#pragma once

#include <nlohmann/json.hpp>

namespace graniterun::test {

inline nlohmann::json settings() {
  const auto call_class = [](const char* name, double worth) {
    return nlohmann::json{{"name", name},
                          {"promiseNs", 1500000000},
                          {"hardLimitNs", 9000000000},
                          {"worth", worth},
                          {"lateWorth", 0.1},
                          {"effect", "idempotent"},
                          {"group", "all"},
                          {"dedupWindowNs", 5000000000},
                          {"stream", true}};
  };
  return {{"areas", {"east side", "west"}},
          {"az", 0},
          {"classes", {call_class("voice", 1.0), call_class("safety", 6.0)}},
          {"clients", {{"marksRetry", true}}},
          {"familyInfo",
           {{"classHoldNs", {9900000000, 6000000000}},
            {"layout", "groups"},
            {"peerLoad", "answers"},
            {"poolsByClass", {{0}, {0}}},
            {"releaseGuardNs", 200000000},
            {"resendNs", 400000000},
            {"tellsWait", false}}},
          {"guarantees",
           {{"answerSlackNs", 20000000},
            {"askEveryNs", 10000000000},
            {"coldFrom", 0.35},
            {"coldNs", 15000000000},
            {"fallMultiple", 2.5},
            {"stopSendingWithinNs", 2000000000},
            {"tipAfterNs", 1500000000}}},
          {"limits",
           {{"cancel", true},
            {"connectTimeoutNs", 500000000},
            {"maxAttempts", 5},
            {"maxRetryAfterNs", 2000000000},
            {"peers", false},
            {"retryAfter", true}}},
          {"me", 0},
          {"membershipMode", "pushed"},
          {"objectiveMix", {{"worstClass", 0.3}}},
          {"prices", {{"lateFail", 0.03}, {"waste", 0.02}, {"peer", 0.0}}},
          {"replicasOfMe", 3},
          {"roundNs", 5000000}};
}

// A complete configuration file: two setup servers, a discovery service and a management listener.
inline nlohmann::json file_with_two_servers() {
  const auto target = [](int i) {
    return nlohmann::json{{"uid", "s" + std::to_string(i)},
                          {"endpoint", "127.0.0.1:" + std::to_string(9000 + i)},
                          {"az", "west"},
                          {"pod_group", 0},
                          {"state", "ready"},
                          {"capacity_hint", 4},
                          {"boot_ms", 0}};
  };
  const nlohmann::json hosts = {{"rev", 1}, {"all", true}, {"targets", {target(0), target(1)}}};
  return {{"name", "t0"},
          {"listen", "127.0.0.1:1"},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"journal", "127.0.0.1:8500"},
          {"management", "127.0.0.1:9901"},
          {"known", {{"pos", 3}, {"entries", {{{"pos", 3}, {"hosts", hosts}}}}}},
          {"settings", settings()}};
}

}  // namespace graniterun::test
