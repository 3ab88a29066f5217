#include "core/contracts.h"

#include <algorithm>

namespace graniterun::core {

Contracts::Contracts(std::vector<Contract> contracts) {
  for (Contract& contract : contracts) {
    const double tokens = contract.burst;
    accounts_.push_back({std::move(contract), tokens, {}});
  }
}

// Order of precedence: the team's contract for the class, the team's contract for every class, the contract
// of teams without their own for the class, and theirs for every class.
Contracts::Account* Contracts::find(std::string_view team, std::string_view call_class) {
  Account* best = nullptr;
  int best_rank = 0;
  for (Account& account : accounts_) {
    const Contract& contract = account.contract;
    if ((!contract.team.empty() && contract.team != team) ||
        (contract.call_class && *contract.call_class != call_class))
      continue;
    const int rank = 1 + (contract.team == team ? 2 : 0) + (contract.call_class ? 1 : 0);
    if (rank > best_rank) {
      best = &account;
      best_rank = rank;
    }
  }
  return best;
}

Contracts::Terms Contracts::admit(Time now, std::string_view team, std::string_view call_class) {
  Terms terms;
  Account* account = find(team, call_class);
  if (account == nullptr) return terms;
  const Contract& contract = account->contract;
  terms.deadline = contract.deadline;
  terms.attempts = contract.attempts;
  if (!contract.per_second) return terms;
  const double elapsed_s = std::chrono::duration<double>(now - account->refilled_at.value_or(now)).count();
  account->refilled_at = now;
  account->tokens = std::min(contract.burst, account->tokens + elapsed_s * *contract.per_second);
  if (account->tokens >= 1.0) {
    account->tokens -= 1.0;
  } else {
    const double wait_s = (1.0 - account->tokens) / std::max(*contract.per_second, 1e-3);
    terms.over_budget_retry_after =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait_s));
  }
  return terms;
}

}  // namespace graniterun::core
