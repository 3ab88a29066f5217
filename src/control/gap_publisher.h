// The announcer: holds the register of call gaps for a fleet, pushes every change to every gatekeeper, pushes
// all of it to one that starts or comes back, and deals the fleet's slots by demand. Operators speak to it as
// they do to a gatekeeper. What it holds stands in a file of its own, replaced whole before an operator is
// told that it is taken: killed at any moment, it goes on where it was. A reducer: the runtime does the I/O.
//
// Several announcers of one fleet do no harm: the register converges, and each slot is granted by the one it
// was ceded to. Memory: the register, and a number for each gatekeeper and gap that is asked about.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/gap_json.h"
#include "core/counters.h"
#include "downstream/connection_reaper.h"
#include "net/outbox.h"

namespace graniterun::control {

struct GapPublisherSettings {
  std::string listen{};
  std::vector<std::string> gatekeepers{};  // addresses of their control listeners
  std::string file{};                      // empty: nothing is kept
  std::string name{"announcer"};
  std::uint64_t incarnation{};  // another number at each start
  std::size_t max_connections = 64;
};

class GapPublisher {
 public:
  explicit GapPublisher(GapPublisherSettings settings);

  void step(Time now, const net::Event& event, net::Effects& effects);
  const Counters& counters() const { return counters_; }
  std::uint64_t digest() const { return register_.digest(); }

 private:
  struct Gatekeeper {
    std::string address{};
    std::string name{};
    std::uint32_t conn = 0;  // the last one asked for
    bool connected = false;
    bool synced = false;  // it has been pushed all
    std::optional<std::uint32_t> index{};
    std::string pushed_to{};                     // ids up to here have been pushed, in order
    std::size_t unacknowledged = 0;              // pushed and not answered
    std::set<std::string> changed_since_push{};  // changed since they were pushed
    Time next_connect{};
    Time last_received_at{};
    Time digest_requested_at{};  // last, whether it holds the same
  };
  struct Allocation {
    std::uint64_t fingerprint{};
    call_gapping::QuotaAllocator allocator;
    Time last_demand_at{};
  };
  // Operators who are told of each gatekeeper's answer to what they announced.
  struct Observer {
    net::ConnId conn{};
    std::uint64_t version{};
    Time expires_at{};
  };

  void on(Time now, const net::Started& e, Outbox& out);
  void on(Time now, const net::FileRead& e, Outbox& out);
  void on(Time now, const net::Accepted& e, Outbox& out);
  void on(Time now, const net::Connected& e, Outbox& out);
  void on(Time now, const net::ConnectFailed& e, Outbox& out);
  void on(Time now, const net::Received& e, Outbox& out);
  void on(Time now, const net::Closed& e, Outbox& out);
  void on(Time now, const net::TimerFired& e, Outbox& out);
  void on(Time now, const net::StopRequested& e, Outbox& out);
  void on(Time now, const net::CountersRequested& e, Outbox& out);

  void handle_operator_line(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_gatekeeper_line(Time now, Gatekeeper& g, const nlohmann::json& line, Outbox& out);
  void handle_gatekeeper_event(Time now, Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out);
  void handle_place(Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out) const;
  void handle_digest(Time now, Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out);
  void handle_gatekeeper_list(Time now, Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out);
  void handle_announce_answer(Time now, Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out);
  void handle_operator_list(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_announce(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void push_again(Time now, const std::string& id, Outbox& out);
  void report_conflict(Time now, const call_gapping::Announcement& announcement, Outbox& out) const;
  void handle_demand_report(Time now, Gatekeeper& g, const nlohmann::json& line);
  void handle_ceded_slots(Time now, Gatekeeper& g, const nlohmann::json& line, Outbox& out);
  call_gapping::AnnounceResult store_announcement(Time now, const call_gapping::Announcement& a, Outbox& out);
  void save(Time now, Outbox& out);
  void push_next(Time now, Gatekeeper& g, Outbox& out);
  void send(const Gatekeeper& g, const nlohmann::json& line, Outbox& out) const;
  void reply(Time now, net::ConnId conn, const nlohmann::json& line, nlohmann::json answer, Outbox& out);
  void close(Time now, net::ConnId conn, Outbox& out);
  void begin_push(Time now, Gatekeeper& g, Outbox& out);
  void check_gatekeeper(Time now, Gatekeeper& g, Outbox& out);
  void handle_lost(Time now, Gatekeeper& g, Outbox& out);
  Gatekeeper* gatekeeper_of(net::ConnId conn);
  nlohmann::json state_of(const Gatekeeper& g) const;

  GapPublisherSettings settings_;
  Counters counters_;
  RateLimitedWarning malformed_warning_;
  downstream::ConnectionReaper reaper_;
  call_gapping::GapRegister register_;
  std::vector<Gatekeeper> gatekeepers_;
  std::map<std::string, Allocation> allocations_;
  std::map<std::string, std::vector<Observer>> observers_;  // by id
  std::set<net::ConnId> watchers_;
  std::set<net::ConnId> operators_;
  std::uint32_t last_conn_ = 0;
  bool loaded_ = false;
};

}  // namespace graniterun::control
