// The control listener of a gatekeeper: JSON lines over TCP, by which operators and the announcer announce
// and lift call gaps, look at them and watch. It holds the register that new calls are checked against, and
// the watch for hot numbers. A sub-reducer; docs/ops/gapping.md tells of its lines.
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

  // Lines of that `op` are answered by another part.
  using Operation = std::function<nlohmann::json(Time now, const nlohmann::json& line, Outbox& out)>;
  void add_operation(std::string op, Operation answer) {
    operations_.insert_or_assign(std::move(op), std::move(answer));
  }
  // An event for those who watch.
  void notify_watchers(Time now, nlohmann::json event, Outbox& out);

  void start(Time now, Outbox& out);
  void on(Time now, const net::Accepted& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);

  call_gapping::Verdict check(Time now, std::string_view number, std::string_view class_name);
  bool ready(Time now) const;
  // Takes an announcement into the register, wherever it came from, and tells those who watch.
  call_gapping::AnnounceResult store_announcement(Time now, const call_gapping::Announcement& announcement,
                                                  Outbox& out);
  // Where the gatekeepers know each other: whether this one holds its place, who of them is gone, who is
  // back, and whose absence is to be asked for.
  void set_place_owned(Time now, bool holds);
  void port_released(Time now, const std::string& name, Time asked);
  void member_joined(const std::string& name);
  std::set<std::string> ports_to_watch(Time now) const;
  // Of each number that is hot: its rate, and since when.
  std::vector<Gauge> gauges(Time now) const;
  const call_gapping::GapRegister& gaps() const { return *register_; }  // from the start on

 private:
  struct Peer {
    bool watching = false;
    bool has_announced = false;                            // something: it is told of a quarrel
    std::optional<std::uint64_t> publisher_incarnation{};  // an announcer's
  };

  void handle_line(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_publisher(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_demand(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_grant(Time now, net::ConnId conn, const nlohmann::json& line);
  void handle_announce(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_list(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void reply(Time now, net::ConnId conn, const nlohmann::json& line, nlohmann::json answer, Outbox& out);
  std::optional<std::uint32_t> place_of(const std::string& name) const;
  template <class To>
  void send_to_peers(const nlohmann::json& event, To to, Outbox& out);
  void send_demand_report(Time now, Outbox& out);
  void check_hot_numbers(Time now, Outbox& out);
  void close(Time now, net::ConnId conn, Outbox& out);

  ControlSettings settings_;
  Counters& counters_;
  std::map<std::string, Operation, std::less<>> operations_;
  RateLimitedWarning malformed_warning_;
  downstream::ConnectionReaper reaper_;
  std::optional<call_gapping::SlotFailover> failover_{};  // where places are known
  std::optional<call_gapping::GapRegister> register_{};   // from the start on
  std::optional<call_gapping::HotNumbers> hot_numbers_{};
  std::map<net::ConnId, Peer> peers_;
  std::optional<net::ConnId> publisher_{};  // slots are ceded to this one
  bool synced_ = false;
  Time started_at_{};
  Time demand_reported_at_{};
  Time hot_checked_at_{};
  Time demand_seen_at_{};
};

}  // namespace graniterun::control
