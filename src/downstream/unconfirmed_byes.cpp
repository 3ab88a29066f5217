#include "downstream/unconfirmed_byes.h"

#include <utility>

namespace graniterun::downstream {
namespace {

using namespace std::chrono_literals;

// The operators' rule has a call released within 8 s of its end.
constexpr Duration kRetention = 8s;
constexpr Duration kResendDelay = 100ms;

}  // namespace

void UnconfirmedByes::sent(const std::string& key, Bye bye) {
  if (byes_.size() < kMaxByes) byes_.insert_or_assign(key, std::move(bye));
}

void UnconfirmedByes::connection_lost(Time now, std::uint32_t conn, const std::string& peer) {
  for (auto& [key, bye] : byes_) {
    if (bye.flow.conn == conn || (!peer.empty() && bye.flow.peer == peer)) bye.resend_at = now + kResendDelay;
  }
}

std::vector<UnconfirmedByes::Bye> UnconfirmedByes::take_due(Time now) {
  std::vector<Bye> due;
  for (auto it = byes_.begin(); it != byes_.end();) {
    Bye& bye = it->second;
    const bool expired = now - bye.first_sent_at > kRetention;
    const bool is_due = !expired && bye.resend_at && *bye.resend_at <= now;
    if (is_due) due.push_back(std::move(bye));
    it = is_due || expired ? byes_.erase(it) : std::next(it);
  }
  return due;
}

}  // namespace graniterun::downstream
