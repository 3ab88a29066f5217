// The rejections of INVITEs that were answered at once and without a transaction (RFC 3261 §8.2.7). A repeat
// of the INVITE must get the same final response: decided on once more, it might become a call whose caller
// has given it up. Bounded in number and bytes; beyond the bounds the oldest are forgotten early.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::downstream {

// A final response that is made from the request alone, see sip::Transactions::respond_without_state.
struct StatelessResponse {
  int status{};
  std::vector<std::pair<std::string, std::string>> headers{};  // beside those copied from the request
};

class RejectedInvites {
 public:
  // `retention`: how long a repeat may come.
  explicit RejectedInvites(Duration retention) : retention_(retention) {}

  // `key`: of the INVITE's transaction.
  void insert(Time now, const std::string& key, StatelessResponse rejection) {
    const std::size_t bytes = size_of(key, rejection);
    if (!by_key_.emplace(key, std::move(rejection)).second) return;
    order_.push_back({now, key, bytes});
    bytes_ += bytes;
    forget_old(now);
  }
  const StatelessResponse* find(Time now, const std::string& key) {
    forget_old(now);
    const auto it = by_key_.find(key);
    return it == by_key_.end() ? nullptr : &it->second;
  }
  std::size_t size() const { return order_.size(); }

 private:
  static constexpr std::size_t kMaxRejections = 20000;
  static constexpr std::size_t kMaxBytes = std::size_t{8} * 1024 * 1024;
  struct Entry {
    Time rejected_at;
    std::string key;
    std::size_t bytes;
  };

  static std::size_t size_of(const std::string& key, const StatelessResponse& rejection) {
    std::size_t bytes = 2 * key.size() + sizeof(Entry) + sizeof(StatelessResponse);
    for (const auto& [name, value] : rejection.headers) bytes += name.size() + value.size();
    return bytes;
  }
  void forget_old(Time now) {
    while (!order_.empty() && (now - order_.front().rejected_at > retention_ ||
                               order_.size() > kMaxRejections || bytes_ > kMaxBytes)) {
      by_key_.erase(order_.front().key);
      bytes_ -= order_.front().bytes;
      order_.pop_front();
    }
  }

  Duration retention_;
  std::unordered_map<std::string, StatelessResponse> by_key_;
  std::deque<Entry> order_;
  std::size_t bytes_ = 0;
};

}  // namespace graniterun::downstream
