// Implements the gap publisher, called "announcer" on the wire and in the program's name: it holds the
// register of a fleet's call gaps, pushes every change to every gatekeeper and the whole register to a
// gatekeeper that starts or reconnects, and allocates the fleet's slots by demand. Operators send it the same
// lines as a gatekeeper. The register is stored in a file that is replaced atomically before an operator
// receives the answer, so a publisher that is killed at any moment resumes with all acknowledged gaps. A
// reducer: the runtime does the I/O.
//
// Several publishers in one fleet are safe: the registers converge, and each slot is granted only by the
// publisher it was ceded to. Memory: the register, and a rate for each gatekeeper and gap that has demand.
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
  std::string file{};                      // of the register; empty: it is not stored
  std::string name{"announcer"};
  std::uint64_t incarnation{};       // differs at each start
  std::size_t max_connections = 64;  // of operators
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
    std::uint32_t conn = 0;  // number of the current connection; 0: none
    bool connected = false;
    bool synced = false;                   // the whole register has been pushed
    std::optional<std::uint32_t> index{};  // in the fleet; absent: unknown, or its fleet size differs
    std::string last_pushed_id{};          // the whole register is pushed in order of ids, up to this one
    std::size_t unacknowledged = 0;        // gaps that were pushed and not answered yet
    std::set<std::string> changed_since_push{};  // ids of gaps that changed after they were pushed
    Time next_connect{};
    Time last_received_at{};
    Time digest_requested_at{};
  };
  // The slots of one gap.
  struct Allocation {
    std::uint64_t fingerprint{};  // of the announcement
    call_gapping::QuotaAllocator allocator;
    Time last_demand_at{};
  };
  // An operator's connection that receives each gatekeeper's answer to an announcement of its own.
  struct Observer {
    net::ConnId conn{};
    std::uint64_t version{};
    Time expires_at{};
  };

  void on(Time now, const net::Started& event, Outbox& out);
  void on(Time now, const net::FileRead& event, Outbox& out);
  void on(Time now, const net::Accepted& event, Outbox& out);
  void on(Time now, const net::Connected& event, Outbox& out);
  void on(Time now, const net::ConnectFailed& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);
  void on(Time now, const net::StopRequested& event, Outbox& out);
  void on(Time now, const net::CountersRequested& event, Outbox& out);

  void handle_operator_line(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_gatekeeper_line(Time now, Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out);
  void handle_gatekeeper_event(Time now, Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out);
  void handle_fleet_position(Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out) const;
  void handle_digest(Time now, Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out);
  void handle_gatekeeper_list(Time now, Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out);
  void handle_announce_answer(Time now, Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out);
  void handle_operator_list(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_announce(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void push_again(Time now, const std::string& id, Outbox& out);
  void report_conflict(Time now, const call_gapping::Announcement& announcement, Outbox& out) const;
  void handle_demand_report(Time now, Gatekeeper& gatekeeper, const nlohmann::json& line);
  void handle_ceded_slots(Time now, Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out);
  call_gapping::AnnounceResult store_announcement(Time now, const call_gapping::Announcement& announcement,
                                                  Outbox& out);
  void save(Time now, Outbox& out);
  void push_next(Time now, Gatekeeper& gatekeeper, Outbox& out);
  void send(const Gatekeeper& gatekeeper, const nlohmann::json& line, Outbox& out) const;
  void reply(Time now, net::ConnId conn, const nlohmann::json& line, nlohmann::json answer, Outbox& out);
  void close(Time now, net::ConnId conn, Outbox& out);
  void begin_push(Time now, Gatekeeper& gatekeeper, Outbox& out);
  void check_gatekeeper(Time now, Gatekeeper& gatekeeper, Outbox& out);
  void handle_disconnect(Time now, Gatekeeper& gatekeeper, Outbox& out);
  Gatekeeper* gatekeeper_of(net::ConnId conn);
  nlohmann::json state_of(const Gatekeeper& gatekeeper) const;

  GapPublisherSettings settings_;
  Counters counters_;
  RateLimitedWarning malformed_warning_;
  downstream::ConnectionReaper reaper_;
  call_gapping::GapRegister register_;
  std::vector<Gatekeeper> gatekeepers_;
  std::map<std::string, Allocation> allocations_;
  std::map<std::string, std::vector<Observer>> observers_;  // by gap id
  std::set<net::ConnId> watchers_;
  std::set<net::ConnId> operators_;  // all connections to the listener
  std::uint32_t last_conn_ = 0;
  bool loaded_ = false;  // the file has been read
};

}  // namespace graniterun::control
