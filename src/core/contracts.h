// Contracts with the teams whose services send requests: a maximum deadline, a maximum number of attempts and
// a request budget, which is a token bucket.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::core {

struct Contract {
  std::string team{};                       // empty: teams without a matching contract
  std::optional<std::string> call_class{};  // class name; absent: every class
  std::optional<Duration> deadline{};       // upper bound on a request's deadline, from its arrival
  std::optional<int> attempts{};            // maximum attempts of a request
  std::optional<double> per_second{};       // budget in requests per second; absent: unlimited
  double burst = 1.0;                       // capacity of the token bucket, in requests
};

class Contracts {
 public:
  explicit Contracts(std::vector<Contract> contracts = {});

  struct Terms {
    std::optional<Duration> deadline{};
    std::optional<int> attempts{};
    // Set if the budget is exhausted: the request is to be rejected, and the budget admits one after this
    // time.
    std::optional<Duration> over_budget_retry_after{};
  };
  // Terms of the contract that applies to the team and class. Takes one request out of its budget, if one is
  // left.
  Terms admit(Time now, std::string_view team, std::string_view call_class);

 private:
  struct Account {
    Contract contract;
    double tokens = 0.0;
    std::optional<Time> refilled_at{};
  };
  Account* find(std::string_view team, std::string_view call_class);
  std::vector<Account> accounts_;
};

}  // namespace graniterun::core
