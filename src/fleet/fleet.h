// Connects the membership state machine to the gatekeeper: decodes and encodes its datagrams, and reports its
// events to the log, the counters and the watchers. A sub-reducer, and the only part that communicates with
// other gatekeepers.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/counters.h"
#include "fleet/settings.h"
#include "net/outbox.h"

namespace graniterun::fleet {

class Fleet {
 public:
  // Called for each membership event, after the membership has applied it.
  using Watcher = std::function<void(Time now, const membership::MemberEvent& event, Outbox& out)>;
  // Callbacks for slot failover, which relies on who holds a fleet port. `owned` is called when this process
  // binds its fleet port and when it releases it, `port_released` when a watched dead member's port was found
  // free. `ports_to_watch` returns the names of the members to watch.
  struct PortCallbacks {
    std::function<void(Time now, bool owned)> owned{};
    std::function<void(Time now, const std::string& name, Time probed_at)> port_released{};
    std::function<std::set<std::string>(Time now)> ports_to_watch{};
  };

  Fleet(FleetSettings settings, Counters& counters);

  void start(Time now, Outbox& out);
  void on(Time now, const net::Datagram& datagram, Outbox& out);
  void on(Time now, const net::Unreachable& event, Outbox& out);
  void on(Time now, const net::BindSucceeded& event, Outbox& out);
  void on(Time now, const net::BindFailed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);
  // Leaves the fleet, at the end of this process or on an operator's request. With `handover` another process
  // continues under this name: no leave is announced, and the port is released after a short notice period.
  void leave(Time now, bool handover, Outbox& out);

  void set_port_callbacks(PortCallbacks places) { port_callbacks_ = std::move(places); }
  void add_watcher(Watcher watcher) { watchers_.push_back(std::move(watcher)); }
  const membership::Membership& membership() const { return membership_; }
  // Answers a `fleet` request of the control listener, whose `what` is members, view or leave.
  nlohmann::json handle_control_request(Time now, const nlohmann::json& line, Outbox& out);
  std::vector<Gauge> gauges(Time now) const;
  void collect_counters(Counters& all) const;

 private:
  void step(Time now, const membership::Event& event, Outbox& out);

  FleetSettings settings_;
  Counters& counters_;
  RateLimitedWarning decode_warning_;
  membership::Membership membership_;
  std::vector<Watcher> watchers_;
  PortCallbacks port_callbacks_{};
  bool stopped_ = false;
};

nlohmann::json to_json(Time now, const membership::MemberView& member);

}  // namespace graniterun::fleet
