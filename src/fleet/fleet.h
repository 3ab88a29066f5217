// The gatekeeper's place in its fleet: datagrams in and out for the membership, and what it finds told to the
// log, the counters and whoever watches. A sub-reducer; it alone speaks between gatekeepers.
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
  // Told of each change, after it has been taken.
  using Watcher = std::function<void(Time now, const membership::MemberEvent& event, Outbox& out)>;
  // Told when this process has the fleet's port, and when it has it no more; and of members that are gone for
  // sure.
  struct SlotPlaces {
    std::function<void(Time now, bool holds)> owned{};
    std::function<void(Time now, const std::string& name, Time asked)> port_released{};
    std::function<std::set<std::string>(Time now)> ports_to_watch{};
  };

  Fleet(FleetSettings settings, Counters& counters);

  void start(Time now, Outbox& out);
  void on(Time now, const net::Datagram& datagram, Outbox& out);
  void on(Time now, const net::Unreachable& event, Outbox& out);
  void on(Time now, const net::Bound& event, Outbox& out);
  void on(Time now, const net::BindFailed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);
  // At the end of this process, or because an operator says so. With a successor its port is free at once.
  void leave(Time now, bool successor, Outbox& out);

  void places(SlotPlaces places) { places_ = std::move(places); }
  void watch(Watcher watcher) { watchers_.push_back(std::move(watcher)); }
  const membership::Membership& membership() const { return membership_; }
  // For the control listener: `fleet` with `what` members, view or leave.
  nlohmann::json answer(Time now, const nlohmann::json& line, Outbox& out);
  std::vector<Gauge> gauges(Time now) const;
  void count(Counters& all) const;

 private:
  void step(Time now, const membership::Event& event, Outbox& out);

  FleetSettings settings_;
  Counters& counters_;
  RateLimitedWarning decode_warning_;
  membership::Membership membership_;
  std::vector<Watcher> watchers_;
  SlotPlaces places_{};
  bool stopped_ = false;
};

nlohmann::json to_json(Time now, const membership::MemberView& member);

}  // namespace graniterun::fleet
