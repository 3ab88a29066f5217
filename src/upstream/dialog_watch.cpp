#include "upstream/dialog_watch.h"

#include <algorithm>
#include <utility>

#include "upstream/call_evidence.h"

namespace graniterun::upstream {
namespace {

using namespace std::chrono_literals;

// Time between two probes of a server's dialogs, and until the first one after its oldest dialog was
// confirmed.
constexpr Duration kProbeInterval = 1200ms;

}  // namespace

void DialogWatch::established(Time now, ServerId server_id, const std::string& call_id) {
  Server& server = servers_[server_id];
  if (server.dialogs.empty()) server.next_probe_at = now + kProbeInterval;
  server.dialogs.insert_or_assign(call_id, Dialog{++last_order_, now});
}

void DialogWatch::ended(ServerId server, const std::string& call_id) {
  const auto it = servers_.find(server);
  if (it == servers_.end()) return;
  it->second.dialogs.erase(call_id);
  if (it->second.dialogs.empty()) servers_.erase(it);
}

void DialogWatch::confirmed(Time now, ServerId server_id, const std::string& call_id) {
  const auto it = servers_.find(server_id);
  if (it == servers_.end()) return;
  Server& server = it->second;
  const auto confirmed = server.dialogs.find(call_id);
  if (confirmed == server.dialogs.end()) return;
  const std::uint64_t order = confirmed->second.order;
  for (auto& [id, dialog] : server.dialogs) {
    if (dialog.order >= order) dialog.confirmed_at = now;
  }
  if (call_id == oldest(server)) server.next_probe_at = now + kProbeInterval;
}

void DialogWatch::dialog_unknown(ServerId server) {
  const auto it = servers_.find(server);
  if (it != servers_.end()) it->second.probe_all = true;
}

DialogWatch::Decision DialogWatch::check(Time now) {
  Decision decision;
  for (auto& [id, server] : servers_) {
    for (const auto& [call_id, dialog] : server.dialogs) {
      if (is_stale(now - dialog.confirmed_at)) decision.over.push_back(call_id);
    }
    if (!server.probe_all && now < server.next_probe_at) continue;
    server.next_probe_at = now + kProbeInterval;
    add_probes(server, decision.probes);
  }
  return decision;
}

// The oldest dialog confirms all others; these take turns, since one of them may be unknown to its server
// alone.
void DialogWatch::add_probes(Server& server, std::vector<std::string>& probes) {
  if (std::exchange(server.probe_all, false)) {
    for (const auto& [call_id, dialog] : server.dialogs) probes.push_back(call_id);
    return;
  }
  const std::string& first = oldest(server);
  probes.push_back(first);
  auto next = server.dialogs.upper_bound(server.last_probed);
  if (next == server.dialogs.end()) next = server.dialogs.begin();
  server.last_probed = next->first;
  if (next->first != first) probes.push_back(next->first);
}

const std::string& DialogWatch::oldest(const Server& server) {
  const auto by_order = [](const auto& a, const auto& b) { return a.second.order < b.second.order; };
  return std::min_element(server.dialogs.begin(), server.dialogs.end(), by_order)->first;
}

}  // namespace graniterun::upstream
