// The shell of a configuration distributor: connects distribution::Distributor, which makes every decision,
// to its files, to the other distributors and to the clients that connect (gatekeepers, other distributors,
// operators). Lines and files become events of the Distributor; its effects become lines and files. A
// reducer: the runtime does the I/O.
//
// Files, in one directory: `bucket-00` to `bucket-63`, each with the records of the services in that bucket,
// and `known`, the index, which lists the buckets that exist and whether this distributor has ever been a
// voter. Each step writes its buckets first, then the index, then sends the messages that depend on them. A
// bucket that is not in the index was therefore never the basis of a sent message. A bucket that is in the
// index and is missing, unreadable, or holds a configuration that does not match its digest needs an
// operator: the program logs one line and exits with status 1. Without an index, or before it first became a
// voter, a distributor starts uninitialized.
//
// Memory: the configurations, and the runtime's buffers of each connection.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/config_lines.h"
#include "core/counters.h"
#include "downstream/connection_reaper.h"
#include "net/outbox.h"

namespace graniterun::control {

struct ConfigDistributorSettings {
  std::string listen{};              // address for gatekeepers, distributors and operators
  std::vector<std::string> peers{};  // addresses of the other distributors
  std::string directory{};           // holds the files; must exist
  std::string name{"distributor"};
  distribution::Key key{};
  std::size_t bytes_per_second = 16 * 1024 * 1024;  // configuration content delivered, all clients together
  // Above this, the connection that is idle longest and is no client is closed; without one, the newest.
  std::size_t max_connections = 2048;
  std::uint64_t seed{};  // differs at each start
};

class ConfigDistributor {
 public:
  // `add_runtime_counters` adds the runtime's counters to those that are printed on request.
  explicit ConfigDistributor(ConfigDistributorSettings settings,
                             std::function<void(Counters&)> add_runtime_counters = {});

  void step(Time now, const net::Event& event, net::Effects& effects);
  const Counters& counters() const { return counters_; }
  const distribution::Distributor& distributor() const { return distributor_; }

 private:
  struct Peer {
    std::string address{};
    std::uint32_t conn = 0;  // number of the current connection or connect attempt; 0: none
    bool connected = false;
    Time next_connect{};
    Duration backoff{};
    Time last_received_at{};
  };
  struct Caller {
    // Has sent a line of a gatekeeper or distributor; otherwise it may be an operator.
    bool is_client = false;
    std::size_t pending_publications = 0;  // its own, not answered yet
  };
  struct PendingPublication {
    net::ConnId conn{};
    std::string service{};
  };
  static constexpr std::size_t kLogKinds =
      static_cast<std::size_t>(distribution::DistributorLogKind::full) + 1;

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

  // Files.
  std::string path_of(std::size_t bucket) const;
  std::string index_path() const;
  std::string index_text() const;
  void read_index(const net::FileRead& event, Outbox& out);
  void read_bucket(const net::FileRead& event, Outbox& out);
  void reject_file(const std::string& path, const std::string& reason, Outbox& out);
  void start_serving(Time now, Outbox& out);
  void write_changed_files(net::Effects& effects);

  // The distribution state machine.
  void step_distributor(Time now, const distribution::DistributorEvent& event, Outbox& out);
  void apply(Time now, const distribution::SaveBucket& effect, Outbox& out);
  void apply(Time now, const distribution::SubscribeToPeer& effect, Outbox& out);
  void apply(Time now, const distribution::FetchFromPeer& effect, Outbox& out);
  void apply(Time now, const distribution::AcknowledgePeer& effect, Outbox& out);
  void apply(Time now, const distribution::SendProposal& effect, Outbox& out);
  void apply(Time now, const distribution::AnswerProposal& effect, Outbox& out);
  void apply(Time now, const distribution::NotifyVersions& effect, Outbox& out);
  void apply(Time now, const distribution::DeliverConfig& effect, Outbox& out);
  void apply(Time now, const distribution::SendMissing& effect, Outbox& out);
  void apply(Time now, const distribution::RequestConfig& effect, Outbox& out);
  void apply(Time now, const distribution::SendHeartbeat& effect, Outbox& out);
  void apply(Time now, const distribution::CloseClient& effect, Outbox& out);
  void apply(Time now, const distribution::PublishFinished& event, Outbox& out);
  void apply(Time now, const distribution::DistributorLogEvent& event, Outbox& out);

  // Connections.
  void handle_caller_line(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_operator_line(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void handle_publish(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  nlohmann::json service_status(Time now, const nlohmann::json& line) const;
  nlohmann::json all_services(const nlohmann::json& line) const;
  nlohmann::json attached_gatekeepers(const nlohmann::json& line) const;
  void reply(net::ConnId conn, std::string_view what, nlohmann::json answer, Outbox& out);
  void send(distribution::ClientId client, const nlohmann::json& line, Outbox& out);
  void send_to_peer(std::uint32_t peer, const nlohmann::json& line, Outbox& out);
  void close(Time now, net::ConnId conn, Outbox& out);
  void handle_peer_lost(Time now, std::uint32_t peer, Outbox& out);
  void back_off(Time now, Peer& peer);
  bool is_busy(net::ConnId conn) const;
  std::optional<std::uint32_t> peer_of(net::ConnId conn) const;

  ConfigDistributorSettings settings_;
  std::function<void(Counters&)> add_runtime_counters_;
  distribution::Distributor distributor_;
  Counters counters_;
  RateLimitedWarning malformed_warning_;
  RateLimitedWarning peer_warning_;
  RateLimitedWarning event_warnings_[kLogKinds];
  downstream::ConnectionReaper reaper_;
  std::mt19937_64 random_;
  std::vector<Peer> peers_;
  std::map<net::ConnId, Caller> callers_;
  std::map<std::uint64_t, PendingPublication> pending_publications_;  // by publish request id
  std::uint64_t last_request_ = 0;
  std::uint32_t last_conn_ = 0;
  Time next_reap_at_{};  // next check for idle connections

  bool listening_ = false;
  bool failed_ = false;
  bool index_read_ = false;  // the read of `known` has finished, whether or not it exists
  bool has_voted_ = false;   // whether this distributor has ever been a voter, as in `known`
  std::set<std::size_t> stored_buckets_;
  std::set<std::size_t> unread_buckets_;  // read requests outstanding at the start
  distribution::Restored restored_;
  std::set<std::size_t> changed_buckets_;  // to be written at the end of this step
};

}  // namespace graniterun::control
