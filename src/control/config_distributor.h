// A distributor of configuration as a program: distribution::Distributor between its files, its connections
// to the other distributors, and whoever connects (gatekeepers, other distributors, operators). What is
// decided is decided there; here lines become its events and its effects become lines and files. A reducer:
// the runtime does the I/O.
//
// Files, in one directory: `bucket-00` to `bucket-63`, each the records of the services in it, and `known`,
// which names the buckets that are there and says whether this distributor has had a vote. In one step all
// buckets are written first, then `known`, then whatever rests on them goes out. So a bucket that `known`
// does not name rests under nothing that was said, and one that it names and that is not there, or can't be
// read, or holds a document that is not its digest's, has to be looked at by somebody: one line, and exit 1.
// Without `known`, or before it ever had a vote, a distributor counts as one that starts from nothing.
//
// Memory: the documents, and for each connection what the runtime holds of it.
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
  std::string listen{};              // where gatekeepers, distributors and operators connect
  std::vector<std::string> peers{};  // addresses of the other distributors
  std::string directory{};           // of its files; it is there
  std::string name{"distributor"};
  distribution::Key key{};
  std::size_t bytes_per_second = 16 * 1024 * 1024;  // of documents delivered to all
  std::size_t max_connections = 2048;  // beyond: the one idle longest that is no client goes, or the newest
  std::uint64_t seed{};                // another number at each start
};

class ConfigDistributor {
 public:
  // `others`: adds what the runtime has counted, where counters are asked for.
  explicit ConfigDistributor(ConfigDistributorSettings settings, std::function<void(Counters&)> others = {});

  void step(Time now, const net::Event& event, net::Effects& effects);
  const Counters& counters() const { return counters_; }
  const distribution::Distributor& distributor() const { return distributor_; }

 private:
  struct Peer {
    std::string address{};
    std::uint32_t conn = 0;  // the last one asked for; 0: none
    bool connected = false;
    Time next_connect{};
    Duration backoff{};
    Time last_received_at{};
  };
  struct Caller {
    bool is_client = false;  // it has said what a gatekeeper or distributor says; else it may be an operator
    std::size_t pending_publications = 0;  // of its own that are not answered yet
  };
  struct PendingPublication {
    net::ConnId conn{};
    std::string service{};
  };
  static constexpr std::size_t kKinds = static_cast<std::size_t>(distribution::DistributorLogKind::full) + 1;

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

  // Its files.
  std::string path_of(std::size_t bucket) const;
  std::string index_path() const;
  std::string index_text() const;
  void read_index(const net::FileRead& event, Outbox& out);
  void read_bucket(const net::FileRead& event, Outbox& out);
  void reject_file(const std::string& path, const std::string& why, Outbox& out);
  void start_serving(Time now, Outbox& out);
  void write_changed_files(net::Effects& effects);

  // The pure core.
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
  nlohmann::json status_of(Time now, const nlohmann::json& line) const;
  nlohmann::json all_services(const nlohmann::json& line) const;
  nlohmann::json attached(const nlohmann::json& line) const;
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
  RateLimitedWarning event_warnings_[kKinds];
  downstream::ConnectionReaper reaper_;
  std::mt19937_64 random_;
  std::vector<Peer> peers_;
  std::map<net::ConnId, Caller> callers_;
  std::map<std::uint64_t, PendingPublication> pending_publications_;  // by request
  std::uint64_t last_request_ = 0;
  std::uint32_t last_conn_ = 0;
  Time next_reap_at_{};  // at connections that say nothing

  bool listening_ = false;
  bool failed_ = false;
  bool index_read_ = false;  // `known` has been looked for
  bool has_voted_ = false;   // as `known` says
  std::set<std::size_t> stored_buckets_;
  std::set<std::size_t> unread_buckets_;  // buckets that are still awaited at the start
  distribution::Restored restored_;
  std::set<std::size_t> changed_buckets_;  // buckets that changed in this step
};

}  // namespace graniterun::control
