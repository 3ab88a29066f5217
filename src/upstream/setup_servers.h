// The connections to the setup servers of the platform: attempts out as SIP over TCP, their ends and the
// servers' reports in. A sub-reducer: the runtime connects, sends and closes for it.
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
#include "upstream/directory.h"

namespace graniterun::upstream {

class SetupServers {
 public:
  SetupServers(const Settings& settings, std::vector<std::string> areas, Counters& counters)
      : connect_timeout_(settings.connect_timeout), directory_(std::move(areas)), counters_(counters) {}

  void start(Time now, Outbox& out);
  // News of the list. Tells the broker of it, under the ids that servers have here.
  void handle_endpoints(Time now, const EndpointList& list, ListKind kind, Outbox& out);

  void on(Time now, const net::Connected& e, Outbox& out);
  void on(Time now, const net::ConnectFailed& e, Outbox& out);
  void on(Time now, const net::Received& e, Outbox& out);
  void on(Time now, const net::Closed& e, Outbox& out);
  void on(Time now, const net::WriteWithdrawn& e, Outbox& out);
  void on(Time now, const net::TimerFired& e, Outbox& out);

  void apply(Time now, const core::StartAttempt& e, Outbox& out);
  void apply(Time now, const core::AbandonAttempt& e, Outbox& out);
  void apply(Time now, const core::ReleaseServer& e, Outbox& out);

  // Every server in service had been reached or tried once, or enough time for it had passed: whether any can
  // be reached, and what comes into the list later, makes no difference.
  bool ready() const { return ready_; }
  void replace_settings(const Settings& settings) { connect_timeout_ = settings.connect_timeout; }
  // How many servers the list holds, those that drain among them.
  std::size_t listed() const;
  const std::string& name_of(ServerId server) const;

 private:
  enum class AttemptState : std::uint8_t { queued, sent, abandoned, established, finished };
  using AttemptKey = std::pair<CallId, int>;  // call, attempt
  struct AttemptKeyHash {
    std::size_t operator()(const AttemptKey& key) const {
      return std::hash<std::uint64_t>{}(static_cast<std::uint64_t>(key.first) * 31 +
                                        static_cast<std::uint64_t>(key.second));
    }
  };
  // One attempt of a call. What is over is remembered for a while, for what comes late.
  struct UpstreamAttempt {
    std::shared_ptr<const core::Request> request;
    int attempt{};
    ServerId server{};
    std::uint32_t conn{};
    AttemptState state{};
    Time deadline{};
    Time state_since{};      // of the state
    std::uint64_t ticket{};  // of its INVITE, once sent
    bool unanswered() const { return state == AttemptState::sent || state == AttemptState::abandoned; }
    AttemptKey key() const { return {request->call, attempt}; }
  };
  using Attempts = std::unordered_map<AttemptKey, UpstreamAttempt, AttemptKeyHash>;

  struct Connection {
    ServerId server{};
    bool up = false;
    Time last_received_at{};
    std::optional<Time> last_notified_at{};  // its state, last
    std::optional<Time> partial_since{};     // a message has begun and is not whole
    std::set<AttemptKey> unanswered{};       // set-ups sent on it
    bool notifications_only = false;         // it takes no set-ups: releases are told again on it
  };
  struct Server {
    Endpoint endpoint;
    ServerId id{};
    std::optional<std::uint32_t> current{};     // new set-ups go there
    std::optional<std::uint32_t> connecting{};  // at most one at a time
    bool connect_attempted = false;
    Time last_received_at{};                  // the last byte on any connection
    std::optional<Time> unreachable_since{};  // connects have failed one after the other since
    bool last_connect_refused = false;        // the last one was refused
    std::optional<Time> lost_at{};            // all connections broke, none has come up since
    Time next_connect{};
    Duration slowest_answer{};         // answer to a set-up of late
    int answers = 0;                   // seen, as far as that matters
    Duration notification_interval{};  // about: it tells its state by itself
    std::set<AttemptKey> attempts{};   // all there
    std::set<AttemptKey> queued{};     // those that wait for a connection
    std::set<std::pair<Time, AttemptKey>>
        unanswered{};                       // those sent and neither answered nor given up, by time
    std::set<std::uint32_t> connections{};  // all to it, up or being made
  };

  Server* find(ServerId id);
  void connect(Time now, Server& server, Outbox& out, bool for_news = false);
  void send_invite(Time now, Server& server, UpstreamAttempt& leg, Outbox& out);
  using ServersByAddress = std::unordered_map<std::string, std::vector<ServerId>>;
  void update_endpoint(ServerId id, const Endpoint& endpoint, ServersByAddress& by_address, Outbox& out);
  void end_calls_of_lost_server(Time now, Server& server, Outbox& out);
  void maintain_server(Time now, Server& server, Outbox& out);
  void maintain_servers(Time now, Outbox& out);
  void set_current_aside(Server& server);
  void answered(Time now, std::uint32_t conn, const sip::Message& m, Outbox& out);
  void requested(Time now, std::uint32_t conn, const sip::Message& m, Outbox& out);
  void finish_attempt(const UpstreamAttempt& leg, core::AttemptFinished over, Outbox& out);
  void enter_state(Time now, UpstreamAttempt& leg, AttemptState state);
  void index(const UpstreamAttempt& leg, bool in);
  void erase(Attempts::iterator leg);
  void end_established_calls(Server& server, std::optional<Time> stood_before, Outbox& out);
  void close_connection(Time now, std::uint32_t conn, bool closed, Outbox& out);
  void handle_malformed(Time now, std::uint32_t conn, const std::string& trouble, Outbox& out);
  void handle_corrupt_stream(Time now, std::uint32_t conn, Outbox& out);
  void record_answer(Time now, std::uint32_t conn, Time sent, Outbox& out);
  void close_half_open(Time now, const Server& server, const std::vector<std::uint32_t>& deaf, Outbox& out);
  bool has_expected_traffic(Time now, const Server& server) const;
  bool may_receive_releases(const Server& server, std::uint32_t conn) const;
  std::optional<Time> oldest_unanswered(const Connection& c) const;
  std::size_t connections_to(const Server& server, bool for_news) const;
  void record_notification(Time now, std::uint32_t conn, Outbox& out);
  static std::string describe_malformed(const sip::ReadResult& read);
  static bool has_description(const sip::Message& m);
  Attempts::iterator attempt_of(std::uint32_t conn, const sip::Message& m);
  void send(UpstreamAttempt& leg, const sip::Message& m, Outbox& out);
  void withdraw_invites(const Server& server, Outbox& out);
  void update_readiness(Time now);

  Duration connect_timeout_;
  Directory directory_;
  Counters& counters_;
  RateLimitedWarning malformed_warning_;
  std::map<ServerId, Server> servers_;
  std::map<std::uint32_t, Connection> connections_;
  // What a tick has to look at; more may stand here, and goes when it is found to need nothing. A server that
  // is reached and has no legs needs nothing until one of these changes.
  std::set<ServerId> servers_to_maintain_;     // all with legs, or in service and without a connection in use
  std::set<std::uint32_t> partial_reads_;      // all connections on which a message has begun
  std::set<std::uint32_t> connections_aside_;  // all that are up and not their server's current one
  std::uint64_t maintained_ = 0;               // servers and connections, since the last tick
  Attempts attempts_;
  std::unordered_multimap<std::string, AttemptKey> by_correlation_id_;
  DeadlineQueue<AttemptKey> due_;  // given up long enough, or remembered long enough
  std::uint32_t last_connection_ = 0;
  std::uint64_t last_ticket_ = 0;
  Time started_at_{};
  bool ready_ = false;
};

// What servers say in SIP, whichever way they are spoken to.
LoadReport report_of(const sip::Message& m);  // in P-Load
int cause_in(std::string_view reason);        // in a Reason header
// In P-Wait: how long a full processor says its wait is. Whole milliseconds, a minute at most; else none.
std::optional<Duration> retry_after_of(const sip::Message& m);
// The reason that a refusal gives (Warning-Word) and, if by it the server was full, the wait that it tells.
void read_rejection(const sip::Message& m, core::AttemptFinished& ended);

}  // namespace graniterun::upstream
