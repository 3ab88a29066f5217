// Client side of the platform's setup servers, which speak SIP over TCP. Input: the broker's attempts,
// abandons and releases, the endpoint list, and the runtime's connection events and timers. Output: INVITE,
// ACK, CANCEL and BYE to the servers, and attempt results, releases and load reports to the broker.
// SetupServers is a reducer: it does no I/O itself, the runtime connects, sends and closes for it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "codec/sip.h"
#include "config/config.h"
#include "core/counters.h"
#include "core/deadline_queue.h"
#include "net/outbox.h"
#include "upstream/connection_lifecycle.h"
#include "upstream/directory.h"
#include "upstream/server_messages.h"
#include "upstream/server_watch.h"

namespace graniterun::upstream {

class SetupServers {
 public:
  SetupServers(const Settings& settings, std::vector<std::string> areas, Counters& counters)
      : connect_timeout_(settings.connect_timeout), directory_(std::move(areas)), counters_(counters) {}

  void start(Time now, Outbox& out);
  // Applies a complete endpoint list or changes of it and passes it to the broker with local server ids.
  void handle_endpoints(Time now, const EndpointList& list, ListKind kind, Outbox& out);

  void on(Time now, const net::Connected& event, Outbox& out);
  void on(Time now, const net::ConnectFailed& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::WriteWithdrawn& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);

  void apply(Time now, const core::StartAttempt& event, Outbox& out);
  void apply(Time now, const core::AbandonAttempt& event, Outbox& out);
  void apply(Time now, const core::ReleaseServer& event, Outbox& out);

  // True once a server is in service and each such server has been connected to or has failed a connect, or
  // the time limit for the first connects has passed. It does not depend on whether a server is reachable,
  // and later changes of the endpoint list never make it false again.
  bool ready() const { return ready_; }
  void replace_settings(const Settings& settings) { connect_timeout_ = settings.connect_timeout; }
  // Number of endpoints that are not terminated, including draining ones.
  std::size_t endpoint_count() const;
  // The endpoint's uid, or "unknown".
  const std::string& name_of(ServerId server) const;

 private:
  enum class AttemptState : std::uint8_t { queued, sent, abandoned, established, finished };
  using AttemptKey = std::pair<CallId, int>;  // call, attempt index
  struct AttemptKeyHash {
    std::size_t operator()(const AttemptKey& key) const {
      return std::hash<std::uint64_t>{}(static_cast<std::uint64_t>(key.first) * 31 +
                                        static_cast<std::uint64_t>(key.second));
    }
  };
  // One attempt of a request at one server. A finished attempt is retained for kFinishedRetention, to match
  // late messages.
  struct UpstreamAttempt {
    std::shared_ptr<const core::Request> request;
    int index{};
    ServerId server{};
    std::uint32_t conn{};
    AttemptState state{};
    Time deadline{};
    Time state_since{};      // begin of `state`
    std::uint64_t ticket{};  // write ticket of its INVITE, once sent
    // Its INVITE was sent, and neither a final rejection, the server's release nor the server's close of its
    // connection has come: messages of this attempt may still be on their way in either direction.
    bool may_be_open_at_server = false;
    bool late_success = false;   // its success came after its end, and was followed by a BYE
    bool presumed_over = false;  // ended here without the server's release, which may come after a hang
    bool outstanding() const { return state == AttemptState::sent || state == AttemptState::abandoned; }
    AttemptKey key() const { return {request->call, index}; }
  };
  using Attempts = std::unordered_map<AttemptKey, UpstreamAttempt, AttemptKeyHash>;

  struct Connection {
    ServerId server{};
    bool up = false;
    Time last_received_at{};
    std::optional<Time> calls_served_at{};   // last message that only a process with calls sends
    std::optional<Time> last_notified_at{};  // when its last NOTIFY came
    std::optional<Time> partial_since{};     // since when a received message is incomplete
    std::size_t bytes_needed = 0;            // by that message; 0: not known yet
    std::set<AttemptKey> outstanding{};      // sent or abandoned, without a final response
    bool received_input = false;             // a byte has arrived: the server has accepted it
    bool notifications_only = false;  // sends no setups; opened so that the server repeats its releases on it
    std::optional<Time> retired_at{};  // since then its sending direction is closed; it is read to its end
    std::uint32_t last_before_retired = 0;  // the last connection that was started before that
  };
  struct Server {
    Endpoint endpoint;
    ServerId id{};
    std::optional<std::uint32_t> current{};     // the connection for new setups
    std::optional<std::uint32_t> connecting{};  // the one connect in progress
    ServerWatch watch{};
    bool address_reassigned = false;   // removed, and another listed server has its address
    Duration slowest_response{};       // decaying maximum of the response time to an INVITE
    int response_count = 0;            // responses seen, up to kMinResponsesForEstimate
    Duration notification_interval{};  // decaying maximum of the time between its NOTIFYs
    std::set<AttemptKey> attempts{};   // every attempt at it
    std::set<AttemptKey> queued{};     // attempts that wait for a connection
    int live_attempts = 0;             // in any state but `finished`
    int established_calls = 0;
    std::set<std::pair<Time, AttemptKey>> outstanding{};  // attempts in state `sent`, by send time
    std::set<std::uint32_t> connections{};                // open, retired or being opened
    std::uint32_t newest_proven = 0;                 // the last opened connection that has carried a byte
    std::map<MessageKind, Time> last_received_at{};  // of each kind of message, for the log
    std::optional<Time> last_connect_failed_at{};    // for the log
  };

  Server* find_server(ServerId id);
  void connect(Time now, Server& server, const DueConnect& due, Outbox& out);
  ServerSituation situation_of(Time now, const Server& server) const;
  bool has_open_connection(const Server& server) const;
  void send_invite(Time now, Server& server, UpstreamAttempt& attempt, Outbox& out);
  using ServersByAddress = std::unordered_map<std::string, std::vector<ServerId>>;
  void update_endpoint(Time now, ServerId id, const Endpoint& endpoint, ServersByAddress& by_address,
                       Outbox& out);
  void update_reassignment(Time now, Server& server, const ServersByAddress& by_address, Outbox& out);
  void fail_queued(Time now, Server& server, Outcome outcome, Outbox& out);
  void end_calls_at_reassigned_address(Time now, Server& server, Outbox& out);
  template <class Predicate>
  void end_calls_if(Time now, Server& server, Outbox& out, Predicate is_over);
  void maintain_server(Time now, Server& server, Outbox& out);
  void maintain_servers(Time now, Outbox& out);
  void check_non_current(Time now, Outbox& out);
  ConnectionSituation situation_of(Time now, std::uint32_t conn) const;
  void clear_current_connection(Server& server);
  void handle_response(Time now, std::uint32_t conn, const sip::Message& message, Outbox& out);
  void handle_request(Time now, std::uint32_t conn, const sip::Message& message, Outbox& out);
  void finish_attempt(Time now, const UpstreamAttempt& attempt, core::AttemptFinished finished, Outbox& out);
  void enter_state(Time now, UpstreamAttempt& attempt, AttemptState state);
  void update_indexes(const UpstreamAttempt& attempt, bool insert);
  static std::optional<Duration> max_time_in_state(const UpstreamAttempt& attempt);
  void erase(Attempts::iterator attempt);
  void end_established_calls(Time now, Server& server, Time established_before, Outbox& out);
  void remove_connection(Time now, std::uint32_t conn, std::string_view reason, Outbox& out);
  void end_outstanding(Time now, Connection& connection, Outbox& out);
  void retire_connection(Time now, std::uint32_t conn, std::string_view reason, Outbox& out);
  void replace_connection(Time now, std::uint32_t conn, std::string_view reason, Outbox& out);
  void limit_retired(Time now, Server& server, Outbox& out);
  void log_connection(Time now, std::string_view event, std::uint32_t conn, std::string_view reason,
                      Outbox& out) const;
  void handle_malformed(Time now, std::uint32_t conn, const std::string& error, Outbox& out);
  void drop_connection(Time now, std::uint32_t conn, std::string_view reason, Outbox& out);
  void record_message(Time now, std::uint32_t conn, const sip::Message& message, Outbox& out);
  void record_input(Time now, std::uint32_t conn, Outbox& out);
  void record_response(Time now, std::uint32_t conn, Time sent, Outbox& out);
  void close_half_open(Time now, Server& server, const std::vector<std::uint32_t>& half_open, Outbox& out);
  bool is_response_overdue(Time now, const Server& server) const;
  bool is_open(std::uint32_t conn) const;
  bool may_receive_releases(const Server& server, std::uint32_t conn) const;
  bool may_have_former_calls(Time now, const Server& server) const;
  std::vector<std::uint32_t> retired_connections(const Server& server) const;
  std::optional<Time> oldest_outstanding(const Connection& connection) const;
  std::size_t count_connections(const Server& server, bool notifications_only) const;
  void handle_former_call_released(Time now);
  void record_notification(Time now, std::uint32_t conn, Outbox& out);
  static std::string describe_malformed(const sip::ReadResult& read);
  static bool is_invite_success(const sip::Message& message);
  void end_lost_calls(Time now, Server& server, const LostCalls& lost, Outbox& out);
  void log_calls_over(Time now, const Server& server, const LostCalls& lost, Outbox& out) const;
  static std::string_view name_of_state(AttemptState state);
  void log_sent(Time now, std::string_view event, const UpstreamAttempt& attempt, Outbox& out);
  Attempts::iterator find_attempt(std::uint32_t conn, const sip::Message& message);
  bool has_open_attempt_elsewhere(const Server& server, const UpstreamAttempt& attempt) const;
  void withhold_attempt(Time now, Attempts::iterator it, Outbox& out);
  void handle_invite_success(Time now, UpstreamAttempt& attempt, const sip::Message& message, Outbox& out);
  void handle_invite_failure(Time now, Attempts::iterator it, const sip::Message& message, Outbox& out);
  void end_contradicted_call(Time now, UpstreamAttempt& attempt, Outbox& out);
  void send_bye(Time now, UpstreamAttempt& attempt, int cause, Outbox& out);
  void mark_closed_by_server(const Server& server, std::uint32_t conn);
  void send(UpstreamAttempt& attempt, const sip::Message& message, Outbox& out);
  void withdraw_setups(Time now, Server& server, Outbox& out);
  void update_readiness(Time now);

  Duration connect_timeout_;
  Directory directory_;
  Counters& counters_;
  RateLimitedWarning malformed_warning_;
  std::map<ServerId, Server> servers_;
  std::map<std::uint32_t, Connection> connections_;
  // Work lists of the tick. They may hold entries that need nothing any more; the tick removes those. A
  // server with a current connection and without attempts needs no maintenance until one of the two changes.
  std::set<ServerId> servers_to_maintain_;  // with attempts, or in service without a current connection
  std::set<std::uint32_t> partial_reads_;   // connections with an incomplete message
  std::set<std::uint32_t> non_current_connections_;  // open or retired, not their server's current connection
  std::uint64_t maintenance_checks_ = 0;             // servers and connections checked since the last tick
  Attempts attempts_;
  std::unordered_multimap<std::string, AttemptKey> by_correlation_id_;
  DeadlineQueue<AttemptKey> state_deadlines_;  // ends of the states `abandoned` and `finished`
  std::uint32_t last_connection_ = 0;
  std::uint64_t last_ticket_ = 0;
  std::size_t removed_server_connects_ = 0;  // to removed servers without calls of this process
  Time started_at_{};
  bool ready_ = false;
  bool former_call_released_ = false;  // a server has released a call of an earlier process
};

}  // namespace graniterun::upstream
