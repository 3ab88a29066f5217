#include "upstream/dialog_watch.h"

#include <algorithm>
#include <tuple>
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
  if (confirmed == oldest(server)) server.next_probe_at = now + kProbeInterval;
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
    add_probes(now, server, decision.probes);
  }
  return decision;
}

// The oldest dialog confirms all others. The others take turns, those first that it has not confirmed: one of
// them, or the oldest itself, may be unknown to its server alone.
void DialogWatch::add_probes(Time now, Server& server, std::vector<std::string>& probes) {
  if (std::exchange(server.probe_all, false)) {
    for (const auto& [call_id, dialog] : server.dialogs) probes.push_back(call_id);
    return;
  }
  const auto first = oldest(server);
  first->second.probed_at = now;
  probes.push_back(first->first);
  const auto second = least_recently_confirmed(server);
  if (second == first) return;
  second->second.probed_at = now;
  probes.push_back(second->first);
}

DialogWatch::Dialogs::iterator DialogWatch::oldest(Server& server) {
  return std::ranges::min_element(server.dialogs, {}, [](const auto& entry) { return entry.second.order; });
}

// The oldest dialog only if there is no other.
DialogWatch::Dialogs::iterator DialogWatch::least_recently_confirmed(Server& server) {
  const auto first = oldest(server);
  auto found = first;
  const auto rank = [](const Dialog& dialog) {
    return std::tuple(dialog.confirmed_at, dialog.probed_at, dialog.order);
  };
  for (auto it = server.dialogs.begin(); it != server.dialogs.end(); ++it) {
    if (it != first && (found == first || rank(it->second) < rank(found->second))) found = it;
  }
  return found;
}

}  // namespace graniterun::upstream
