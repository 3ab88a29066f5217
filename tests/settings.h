// The settings of a configuration, as the platform tells them.
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

}  // namespace graniterun::test
