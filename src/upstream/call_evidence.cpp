#include "upstream/call_evidence.h"

#include <algorithm>

namespace graniterun::upstream {
namespace {

using namespace std::chrono_literals;

// Upper bound on the processes with calls that may have followed one another; beyond it, the calls of the
// later ones end with those of the first of them.
constexpr std::size_t kMaxDoubts = 8;

}  // namespace

void CallEvidence::connection_opened(std::uint32_t connection) {
  for (Doubt& doubt : doubts_) doubt.later_opened = doubt.later_opened || connection > doubt.last_started;
}

// The process of before runs while a later connection is up: that one leads to it as well, and the evidence
// since the doubt is about it.
void CallEvidence::connection_alive(std::uint32_t connection) {
  std::erase_if(doubts_, [connection](const Doubt& doubt) {
    return connection <= doubt.last_started && doubt.later_opened;
  });
}

void CallEvidence::calls_served(Time now, std::uint32_t connection) {
  connection_alive(connection);
  for (Doubt& doubt : doubts_) {
    if (connection <= doubt.last_started) doubt.newest = now;
  }
  newest_ = now;
}

void CallEvidence::call_established(Time now, std::uint32_t connection) {
  for (Doubt& doubt : doubts_) {
    if (connection <= doubt.last_started) doubt.since = now;
  }
}

void CallEvidence::call_known(Time established_at) {
  std::erase_if(doubts_, [established_at](const Doubt& doubt) {
    return established_at <= doubt.since && doubt.later_opened;
  });
}

void CallEvidence::process_in_doubt(Time now, std::uint32_t last_started) {
  // While no later connection has come up, nothing was learnt since the doubt.
  if (!doubts_.empty() && !doubts_.back().later_opened) return;
  if (doubts_.size() < kMaxDoubts) return doubts_.push_back({now, last_started, newest_});
  doubts_.back().since = now;
  doubts_.back().last_started = last_started;
  doubts_.back().later_opened = false;
}

std::optional<Time> CallEvidence::stale_before(Time now) const {
  const Time established_before = now - kMaxEvidenceAge;
  if (is_stale(age(now))) return established_before;
  const auto last = std::find_if(doubts_.rbegin(), doubts_.rend(),
                                 [now](const Doubt& doubt) { return is_stale(now - doubt.newest); });
  if (last == doubts_.rend()) return std::nullopt;
  return std::min(last->since + 1ns, established_before);
}

void CallEvidence::no_calls_before(Time time) {
  std::erase_if(doubts_, [time](const Doubt& doubt) { return doubt.since < time; });
  newest_ = std::max(newest_, time);
}

}  // namespace graniterun::upstream
