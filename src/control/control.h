// Implements the control listener of a gatekeeper: JSON lines over TCP with which operators and the gap
// publisher announce, lift, list and watch call gaps. Owns the gap register that new calls are checked
// against and the detection of hot numbers. A sub-reducer: events in, effects into an Outbox.
// docs/ops/gapping.md documents the lines. On the wire the gap publisher is called "announcer" and its
// incarnation "life".
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "call_gapping/gap_register.h"
#include "call_gapping/hot_numbers.h"
#include "control/gap_json.h"
#include "control/settings.h"
#include "core/counters.h"
#include "downstream/connection_reaper.h"
#include "net/outbox.h"

namespace graniterun::control {

class Control {
 public:
  Control(ControlSettings settings, Counters& counters);

  // Registers another component as the handler of lines with this `op`; it returns the answer.
  using Operation = std::function<nlohmann::json(Time now, const nlohmann::json& line, Outbox& out)>;
  void add_operation(std::string op, Operation answer) {
    operations_.insert_or_assign(std::move(op), std::move(answer));
  }
  // Sends an event to all connections that watch.
  void notify_watchers(Time now, nlohmann::json event, Outbox& out);

  void start(Time now, Outbox& out);
  void on(Time now, const net::Accepted& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);

  call_gapping::GapDecision check(Time now, std::string_view number, std::string_view class_name);
  bool ready(Time now) const;
  // Stores an announcement from any source in the register. If it takes effect, watching connections and gap
  // publishers are notified.
  call_gapping::AnnounceResult store_announcement(Time now, const call_gapping::Announcement& announcement,
                                                  Outbox& out);
  // Slot failover, where the gatekeepers of the fleet know each other: whether this one owns its fleet port,
  // which member's port refused a probe that was sent at `probed_at`, which member joined, and which members'
  // ports are to be probed.
  void set_port_owned(Time now, bool owned);
  void port_released(Time now, const std::string& name, Time probed_at);
  void member_joined(const std::string& name);
  std::set<std::string> ports_to_watch(Time now) const;
  // One gauge per hot number: its rate in calls a second, and since when it is hot.
  std::vector<Gauge> gauges(Time now) const;
  const call_gapping::GapRegister& gaps() const { return *register_; }  // after start()

 private:
  struct Peer {
    bool watching = false;
    bool has_announced = false;                            // sent an announcement: conflicts are sent to it
    std::optional<std::uint64_t> publisher_incarnation{};  // set where the peer is a gap publisher
  };

  void handle_line(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_publisher(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_demand(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_grant(Time now, net::ConnId conn, const nlohmann::json& line);
  void handle_announce(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_list(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void reply(Time now, net::ConnId conn, const nlohmann::json& line, nlohmann::json answer, Outbox& out);
  std::optional<std::uint32_t> fleet_index_of(const std::string& name) const;
  template <class Predicate>
  void send_to_peers(const nlohmann::json& event, Predicate is_recipient, Outbox& out);
  void send_demand_report(Time now, Outbox& out);
  void check_hot_numbers(Time now, Outbox& out);
  void close(Time now, net::ConnId conn, Outbox& out);

  ControlSettings settings_;
  Counters& counters_;
  std::map<std::string, Operation, std::less<>> operations_;
  RateLimitedWarning malformed_warning_;
  downstream::ConnectionReaper reaper_;
  std::optional<call_gapping::SlotFailover> failover_{};  // set where the fleet's members are known
  std::optional<call_gapping::GapRegister> register_{};   // set by start()
  std::optional<call_gapping::HotNumbers> hot_numbers_{};
  std::map<net::ConnId, Peer> peers_;
  std::optional<net::ConnId> publisher_{};  // latest gap publisher: receives ceded slots
  bool synced_ = false;                     // a gap publisher has pushed its whole register
  Time started_at_{};
  Time demand_reported_at_{};
  Time hot_checked_at_{};
  Time demand_seen_at_{};
};

}  // namespace graniterun::control
