// Contracts between the broker and the teams whose services call through it, and the budgets they buy.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::core {

struct Contract {
  std::string team{};                       // empty: whoever has no contract of its own
  std::optional<std::string> call_class{};  // by name; absent: every class
  std::optional<Duration> deadline{};       // the longest a request may wait, whatever it asks for
  std::optional<int> attempts{};            // the most for a request
  std::optional<double> per_second{};       // budget; absent: unlimited
  double burst = 1.0;                       // requests that may come at once
};

class Contracts {
 public:
  explicit Contracts(std::vector<Contract> contracts = {});

  struct Terms {
    std::optional<Duration> deadline{};
    std::optional<int> attempts{};
    // set: refuse at once; the budget has room again after this
    std::optional<Duration> over_budget_retry_after{};
  };
  // Takes one request out of the budget, where it has room.
  Terms admit(Time now, std::string_view team, std::string_view call_class);

 private:
  struct Account {
    Contract contract;
    double tokens = 0.0;
    std::optional<Time> filled{};
  };
  Account* find(std::string_view team, std::string_view call_class);
  std::vector<Account> accounts_;
};

}  // namespace graniterun::core
