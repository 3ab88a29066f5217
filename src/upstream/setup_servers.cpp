#include "upstream/setup_servers.h"

#include <algorithm>

#include "core/names.h"
#include "core/q850.h"
#include "upstream/server_messages.h"

namespace graniterun::upstream {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTickInterval = 50ms;
// Maximum time from the first to the last byte of a message; after that the connection is dropped.
constexpr Duration kMessageTimeout = 400ms;
// How long after the start ready() waits for the first connects; setups that come later wait for their
// connection.
constexpr Duration kInitialConnectTimeout = 500ms;
// Upper bound, and default, of the time that a setup may be outstanding with nothing else received before a
// new connection is tried.
constexpr Duration kMaxResponseTimeout = 600ms;
// Lower bound of that time, which is 1.5 times the slowest recent response once enough responses are known.
constexpr Duration kMinResponseTimeout = 100ms;
constexpr int kMinResponsesForEstimate = 8;  // responses needed to estimate a server's response time
// A connection with outstanding setups counts as half-open when another one answers a setup sent this much
// later.
constexpr Duration kReorderThreshold = 100ms;
constexpr std::size_t kMaxConnections = 3;              // per server, for setups
constexpr std::size_t kMaxNotificationConnections = 3;  // per server, in addition; without retired ones
// Per server, in addition: after a loss two connections follow, also where all notification connections are
// in use.
constexpr std::size_t kReservedRepeatConnections = 2;
// How long after the start of the process a server that drains may still have calls of an earlier process of
// this gatekeeper. Almost all calls are shorter.
constexpr Duration kFormerCallsTimeout = 60s;
// Maximum number of removed servers that are connected to because of such calls.
constexpr std::size_t kMaxRemovedServerConnects = 16;
// How long the final response of an abandoned attempt is awaited: a success may already be on its way.
constexpr Duration kAbandonTimeout = 120ms;
// How long a finished attempt or released call is retained to match late messages.
constexpr Duration kFinishedRetention = 10s;
// The same for a call that was presumed over. Its server may release it after a hang, which must not reach
// its caller once more.
constexpr Duration kPresumedOverRetention = 60s;

// Maximum number of calls that are named in one line of the log.
constexpr int kMaxLoggedCalls = 8;

// Slack for the arrival of one notification on a server's different connections.
constexpr Duration kNotificationSlack = 100ms;

}  // namespace

// ---- endpoint list

void SetupServers::start(Time now, Outbox& out) {
  started_at_ = now;
  out.arm(net::Concern::server, 0, now + kTickInterval);
}

void SetupServers::handle_endpoints(Time now, const EndpointList& list, ListKind kind, Outbox& out) {
  ServerList update;
  update.kind = kind;
  if (kind != ListKind::changes) {
    for (auto& [id, server] : servers_) server.endpoint.state = ServerState::terminated;
  }
  // Servers by every address that they have or had in this update.
  ServersByAddress by_address;
  for (const auto& [id, server] : servers_) by_address[server.endpoint.address].push_back(id);
  for (const Endpoint& endpoint : list.endpoints) {
    const ServerId id = directory_.find_or_assign_id(endpoint.uid);
    out.debug(now, [&] {
      return "endpoint_listed server=" + endpoint.uid + " state=" + std::string(to_string(endpoint.state)) +
             " address=" + endpoint.address;
    });
    update_endpoint(now, id, endpoint, by_address, out);
    update.entries.push_back(directory_.make_entry(id, endpoint));
  }
  out.notify_broker(core::ServersChanged{std::move(update)});
  for (auto& [id, server] : servers_) {
    if (server.endpoint.state != ServerState::in_service) withdraw_setups(now, server, out);
    if (server.endpoint.state == ServerState::terminated) update_reassignment(now, server, by_address, out);
    servers_to_maintain_.insert(id);
    maintain_server(now, server, out);
  }
}

void SetupServers::update_endpoint(Time now, ServerId id, const Endpoint& endpoint,
                                   ServersByAddress& by_address, Outbox& out) {
  const auto [it, inserted] = servers_.try_emplace(id);
  Server& server = it->second;
  server.id = id;
  const bool moved = !inserted && server.endpoint.address != endpoint.address && !endpoint.address.empty();
  const bool restarted = !inserted && endpoint.started && server.endpoint.started != endpoint.started;
  if (!inserted && (restarted || server.endpoint.state != endpoint.state))
    out.log(net::Level::info, "endpoint_changed server=" + endpoint.uid +
                                  " state=" + std::string(to_string(endpoint.state)) +
                                  " restarted=" + std::to_string(static_cast<int>(restarted)));
  const std::string address = endpoint.address.empty() ? server.endpoint.address : endpoint.address;
  server.endpoint = endpoint;
  server.endpoint.address = address;
  if (endpoint.state != ServerState::terminated) server.address_reassigned = false;
  if (restarted) end_established_calls(now, server, *endpoint.started, out);
  if (moved) clear_current_connection(server);
  if (inserted || moved) by_address[address].push_back(id);
  if (endpoint.state != ServerState::in_service) return;
  // A new server may reuse the address of a former one, whose connections must not be used for the new
  // server.
  for (const ServerId other_id : by_address[address]) {
    Server& other = servers_.at(other_id);
    if (other_id != id && other.endpoint.address == address) clear_current_connection(other);
  }
}

// Stops sending new setups on the current connection, but keeps it open for incoming messages.
void SetupServers::clear_current_connection(Server& server) {
  if (server.current) non_current_connections_.insert(*server.current);
  server.current.reset();
  servers_to_maintain_.insert(server.id);
}

// Ends the attempts of setups that were not sent, and withdraws INVITEs that are not written yet: a server
// that is not in service must get no new setups.
void SetupServers::withdraw_setups(Time now, Server& server, Outbox& out) {
  fail_queued(now, server, Outcome::not_sent, out);
  for (const auto& [since, key] : server.outstanding) {
    const UpstreamAttempt& attempt = attempts_.at(key);
    out.withdraw_send({net::Concern::server, attempt.conn}, attempt.ticket, {});
  }
}

// A removed server whose address another listed server has can be reached only on the connections that are
// open. A call whose own connection is closed is then over: a later connection may already lead to the other
// server.
void SetupServers::update_reassignment(Time now, Server& server, const ServersByAddress& by_address,
                                       Outbox& out) {
  const auto it = by_address.find(server.endpoint.address);
  const bool reassigned = it != by_address.end() && std::ranges::any_of(it->second, [&](ServerId other_id) {
                            const Server& other = servers_.at(other_id);
                            return other_id != server.id && other.endpoint.state != ServerState::terminated &&
                                   other.endpoint.address == server.endpoint.address;
                          });
  if (!reassigned || std::exchange(server.address_reassigned, true)) return;
  end_calls_at_reassigned_address(now, server, out);
}

// A restarted process with a saved endpoint list becomes ready even if no server is reachable: it then
// rejects calls at once.
void SetupServers::update_readiness(Time now) {
  if (ready_) return;
  bool any_in_service = false;
  bool all_tried = true;
  for (const auto& [id, server] : servers_) {
    if (server.endpoint.state != ServerState::in_service) continue;
    any_in_service = true;
    all_tried = all_tried && server.watch.connect_attempted();
  }
  ready_ = any_in_service && (all_tried || now - started_at_ >= kInitialConnectTimeout);
}

std::size_t SetupServers::endpoint_count() const {
  return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [](const auto& s) {
    return s.second.endpoint.state != ServerState::terminated;
  }));
}

const std::string& SetupServers::name_of(ServerId server) const {
  static const std::string kUnknown = "unknown";
  const auto it = servers_.find(server);
  return it == servers_.end() ? kUnknown : it->second.endpoint.uid;
}

// ---- connections

void SetupServers::connect(Time now, Server& server, const DueConnect& due, Outbox& out) {
  const bool notifications_only = due.purpose == ConnectPurpose::notifications;
  const std::uint32_t number = ++last_connection_;
  server.connecting = number;
  server.connections.insert(number);
  server.watch.connect_started(now, due);
  if (server.endpoint.state == ServerState::terminated && server.live_attempts == 0)
    ++removed_server_connects_;
  Connection& connection = connections_[number];
  connection.server = server.id;
  connection.last_received_at = now;
  connection.notifications_only = notifications_only;
  counters_.add("servers.connects");
  out.debug(now, [&] {
    return "connect_started server=" + server.endpoint.uid + " conn=" + std::to_string(number) +
           " notifications_only=" + std::to_string(static_cast<int>(notifications_only));
  });
  out.net.push_back(net::Connect{{net::Concern::server, number}, server.endpoint.address, connect_timeout_});
}

void SetupServers::on(Time now, const net::Connected& event, Outbox& out) {
  const auto it = connections_.find(event.conn.number);
  if (it == connections_.end()) return;
  it->second.up = true;
  it->second.last_received_at = now;
  Server* server = find_server(it->second.server);
  if (server == nullptr || !ServerWatch::keeps_connections(situation_of(now, *server)))
    return retire_connection(now, event.conn.number, "server_removed", out);
  out.debug(now, [&] {
    return "connection_opened server=" + server->endpoint.uid + " conn=" + std::to_string(event.conn.number);
  });
  if (server->watch.was_unreachable())
    out.log(net::Level::info, "setup server " + server->endpoint.uid + " is reachable again");
  server->watch.connected(now, event.conn.number);
  server->connecting.reset();
  update_readiness(now);
  if (!it->second.notifications_only || !server->current) {
    if (server->current) non_current_connections_.insert(*server->current);
    server->current = event.conn.number;
  } else {
    non_current_connections_.insert(event.conn.number);
  }
  for (const AttemptKey& key : std::set<AttemptKey>(server->queued))
    send_invite(now, *server, attempts_.at(key), out);
}

void SetupServers::on(Time now, const net::ConnectFailed& event, Outbox& out) {
  const auto it = connections_.find(event.conn.number);
  if (it == connections_.end()) return;
  counters_.add(event.local_shortage ? "servers.connects_without_descriptor"
                : event.refused      ? "servers.connects_refused"
                                     : "servers.connects_timed_out");
  Server* server = find_server(it->second.server);
  out.debug(now, [&] {
    return "connect_failed server=" + name_of(it->second.server) +
           " conn=" + std::to_string(event.conn.number) + " reason=" +
           (event.local_shortage ? "local_shortage"
            : event.refused      ? "refused"
                                 : "timed_out");
  });
  connections_.erase(it);
  if (server == nullptr) return;
  server->connections.erase(event.conn.number);
  servers_to_maintain_.insert(server->id);
  if (event.local_shortage) {
    server->watch.connect_not_possible();
  } else {
    if (!server->watch.was_unreachable())
      out.log(net::Level::info, "server_unreachable server=" + server->endpoint.uid +
                                    " refused=" + std::to_string(static_cast<int>(event.refused)));
    server->last_connect_failed_at = now;
    server->watch.connect_failed(now, event.refused, last_connection_);
  }
  update_readiness(now);
  server->connecting.reset();
  // No data comes on the open connection and a new connect times out: the machine has vanished. Closing the
  // old connection ends its outstanding attempts, so that they can be retried elsewhere. Otherwise they wait
  // until their callers time out, and new setups are sent on the same connection.
  if (!event.refused && !event.local_shortage && server->current &&
      server->watch.silence(now) > kMaxResponseTimeout) {
    counters_.add("servers.connections_dead");
    out.log(net::Level::info,
            "setup server " + server->endpoint.uid +
                " is unresponsive and a new connect timed out: ending its outstanding attempts");
    retire_connection(now, *server->current, "unresponsive", out);
  }
  fail_queued(now, *server, Outcome::no_connection, out);
}

// Ends the attempts that wait for a connection.
void SetupServers::fail_queued(Time now, Server& server, Outcome outcome, Outbox& out) {
  for (const AttemptKey& key : std::set<AttemptKey>(server.queued)) {
    const auto attempt = attempts_.find(key);
    core::AttemptFinished finished;
    finished.outcome = outcome;
    finish_attempt(now, attempt->second, finished, out);
    erase(attempt);
  }
}

void SetupServers::on(Time now, const net::Closed& event, Outbox& out) {
  const auto it = connections_.find(event.conn.number);
  if (it == connections_.end()) return;
  counters_.add("servers.connections_lost");
  Server* server = find_server(it->second.server);
  // Bytes that the server had written are lost by a reset, and the rest of a message that was cut short. A
  // server that closes a retired connection with unread input resets it, after all that it had written.
  const bool cut = (event.reset && !it->second.retired_at) || it->second.partial_since;
  if (server != nullptr && it->second.retired_at && !event.reset)
    server->watch.close_answered(event.conn.number);
  if (server != nullptr && cut &&
      (may_receive_releases(*server, event.conn.number) || may_have_former_calls(now, *server)))
    server->watch.releases_may_be_lost(now, last_connection_);
  if (server != nullptr) mark_closed_by_server(*server, event.conn.number);
  remove_connection(now, event.conn.number, event.reset ? "reset_by_server" : "closed_by_server", out);
  if (server == nullptr) return;
  if (!has_open_connection(*server)) server->watch.last_connection_lost(now);
  maintain_server(now, *server, out);
}

// The server has closed the connection: it has given up its unanswered setups, and reads nothing more from
// it.
void SetupServers::mark_closed_by_server(const Server& server, std::uint32_t conn) {
  for (const AttemptKey& key : server.attempts) {
    UpstreamAttempt& attempt = attempts_.at(key);
    if (attempt.conn == conn) attempt.may_be_open_at_server = false;
  }
}

void SetupServers::log_connection(Time now, std::string_view event, std::uint32_t conn,
                                  std::string_view reason, Outbox& out) const {
  out.debug(now, [&] {
    const Connection& connection = connections_.at(conn);
    return std::string(event) + " server=" + name_of(connection.server) + " conn=" + std::to_string(conn) +
           " reason=" + std::string(reason) + " outstanding=" + std::to_string(connection.outstanding.size());
  });
}

// Removes a connection that is closed, and ends its outstanding attempts.
void SetupServers::remove_connection(Time now, std::uint32_t conn, std::string_view reason, Outbox& out) {
  const auto it = connections_.find(conn);
  if (it == connections_.end()) return;
  log_connection(now, "connection_closed", conn, reason, out);
  Server* server = find_server(it->second.server);
  if (server != nullptr) {
    if (server->current == conn) server->current.reset();
    if (server->connecting == conn) server->connecting.reset();
    server->connections.erase(conn);
    servers_to_maintain_.insert(server->id);
  }
  Connection connection = std::move(it->second);
  connections_.erase(it);
  end_outstanding(now, connection, out);
  if (server != nullptr && server->address_reassigned) end_calls_at_reassigned_address(now, *server, out);
}

// Ends the attempts without a final response. They are retained as finished: one of them may have been
// established at the server, which then sends the release on another connection.
void SetupServers::end_outstanding(Time now, Connection& connection, Outbox& out) {
  for (const AttemptKey& key : std::exchange(connection.outstanding, {})) {
    UpstreamAttempt& attempt = attempts_.at(key);
    core::AttemptFinished finished;
    finished.outcome = attempt.state == AttemptState::sent ? Outcome::reset : Outcome::cancelled;
    finish_attempt(now, attempt, finished, out);
    enter_state(now, attempt, AttemptState::finished);
  }
}

// Closes the sending direction of a connection, which gives up its outstanding attempts, and goes on reading
// it until the server closes it.
void SetupServers::retire_connection(Time now, std::uint32_t conn, std::string_view reason, Outbox& out) {
  Connection& connection = connections_.at(conn);
  if (connection.retired_at) return;
  log_connection(now, "connection_retired", conn, reason, out);
  out.finish_sending({net::Concern::server, conn});
  connection.retired_at = now;
  connection.last_before_retired = last_connection_;
  non_current_connections_.insert(conn);
  Server* server = find_server(connection.server);
  if (server != nullptr) {
    if (server->current == conn) server->current.reset();
    if (server->connecting == conn) server->connecting.reset();
    servers_to_maintain_.insert(server->id);
  }
  end_outstanding(now, connection, out);
  if (server != nullptr) limit_retired(now, *server, out);
}

void SetupServers::limit_retired(Time now, Server& server, Outbox& out) {
  const std::vector<std::uint32_t> retired = retired_connections(server);
  if (retired.size() <= kMaxRetiredConnections) return;
  counters_.add("servers.retired_connections_full");
  drop_connection(now, retired.front(), "retired_connections_full", out);
}

// Retires a connection and opens one on which the server repeats the releases that it has sent.
void SetupServers::replace_connection(Time now, std::uint32_t conn, std::string_view reason, Outbox& out) {
  Server* server = find_server(connections_.at(conn).server);
  if (server != nullptr && may_receive_releases(*server, conn)) server->watch.repeat_requested(now);
  retire_connection(now, conn, reason, out);
}

void SetupServers::handle_malformed(Time now, std::uint32_t conn, const std::string& error, Outbox& out) {
  counters_.add("servers.malformed");
  malformed_warning_.line(now, "malformed message from a setup server: " + error, out);
  drop_connection(now, conn, "malformed_message", out);
}

bool SetupServers::is_open(std::uint32_t conn) const {
  const auto it = connections_.find(conn);
  return it != connections_.end() && !it->second.retired_at;
}

// Whether an established call belongs to this connection or to one that is not open; a server sends the
// releases of the latter on any of its connections.
bool SetupServers::may_receive_releases(const Server& server, std::uint32_t conn) const {
  return std::any_of(server.attempts.begin(), server.attempts.end(), [&](const AttemptKey& key) {
    const UpstreamAttempt& attempt = attempts_.at(key);
    return attempt.state == AttemptState::established && (attempt.conn == conn || !is_open(attempt.conn));
  });
}

// Drops a connection unread, and opens one in its place if releases may be lost by that. Dropped at once
// instead of read until the peer closes it: what comes on it can't be parsed any more, and until then the
// server would go on sending releases on it.
void SetupServers::drop_connection(Time now, std::uint32_t conn, std::string_view reason, Outbox& out) {
  const auto it = connections_.find(conn);
  if (it == connections_.end()) return;
  Server* server = find_server(it->second.server);
  if (server != nullptr && (may_receive_releases(*server, conn) || may_have_former_calls(now, *server)))
    server->watch.releases_may_be_lost(now, last_connection_);
  out.drop({net::Concern::server, conn});
  remove_connection(now, conn, reason, out);
  if (server != nullptr) maintain_server(now, *server, out);
}

bool SetupServers::has_open_connection(const Server& server) const {
  return std::ranges::any_of(server.connections,
                             [this](std::uint32_t number) { return connections_.at(number).up; });
}

// Whether calls of an earlier process of this gatekeeper may be at the server.
bool SetupServers::may_have_former_calls(Time now, const Server& server) const {
  return now - started_at_ < kFormerCallsTimeout &&
         (server.endpoint.state != ServerState::terminated || !server.connections.empty() ||
          removed_server_connects_ < kMaxRemovedServerConnects);
}

std::vector<std::uint32_t> SetupServers::retired_connections(const Server& server) const {
  std::vector<std::uint32_t> retired;
  for (const std::uint32_t number : server.connections) {
    if (connections_.at(number).retired_at) retired.push_back(number);
  }
  return retired;
}

ServerSituation SetupServers::situation_of(Time now, const Server& server) const {
  ServerSituation situation;
  situation.listed = server.endpoint.state;
  situation.address_reassigned = server.address_reassigned;
  situation.has_attempts = !server.attempts.empty();
  situation.has_live_attempts = server.live_attempts > 0;
  situation.has_established_calls = server.established_calls > 0;
  situation.may_have_former_calls = may_have_former_calls(now, server);
  situation.has_current_connection = server.current.has_value();
  situation.has_open_connection = has_open_connection(server);
  situation.connecting = server.connecting.has_value();
  situation.response_overdue = is_response_overdue(now, server);
  situation.setup_connections_full = count_connections(server, false) >= kMaxConnections;
  const std::size_t notification_connections = count_connections(server, true);
  situation.notification_connections_full = notification_connections >= kMaxNotificationConnections;
  situation.repeat_connections_full =
      notification_connections >= kMaxNotificationConnections + kReservedRepeatConnections;
  return situation;
}

// Keeps a connection to the server open for as long as its calls or new setups need one, and ends its calls
// if their releases can no longer arrive.
void SetupServers::maintain_server(Time now, Server& server, Outbox& out) {
  const ServerSituation situation = situation_of(now, server);
  if (server.current && !ServerWatch::keeps_connections(situation)) clear_current_connection(server);
  if (!situation.has_live_attempts && !situation.may_have_former_calls) server.watch.no_releases_expected();
  if (const auto due = server.watch.due_connect(now, situation)) connect(now, server, *due, out);
  if (server.address_reassigned) end_calls_at_reassigned_address(now, server, out);
  if (const auto lost = server.watch.calls_over(now, situation)) end_lost_calls(now, server, *lost, out);
}

void SetupServers::end_lost_calls(Time now, Server& server, const LostCalls& lost, Outbox& out) {
  const bool any = std::ranges::any_of(server.attempts, [&](const AttemptKey& key) {
    const UpstreamAttempt& attempt = attempts_.at(key);
    return attempt.state == AttemptState::established && attempt.state_since < lost.established_before;
  });
  if (!any) return;
  counters_.add(lost.reason == LostServerReason::died ? "servers.died" : "servers.vanished");
  log_calls_over(now, server, lost, out);
  end_established_calls(now, server, lost.established_before, out);
}

// The line shows for how long each kind of message has not come from the server.
void SetupServers::log_calls_over(Time now, const Server& server, const LostCalls& lost, Outbox& out) const {
  const auto age = [now](Time at) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count());
  };
  std::string line = "setup server " + server.endpoint.uid + " " + std::string(to_string(lost.reason)) +
                     ": ending its established calls calls=" + std::to_string(server.established_calls) +
                     " established_before_ms=" + age(lost.established_before) +
                     " state=" + std::string(to_string(server.endpoint.state));
  for (const auto& [kind, at] : server.last_received_at)
    line += " " + std::string(to_string(kind)) + "_ms=" + age(at);
  if (server.last_connect_failed_at) line += " connect_failed_ms=" + age(*server.last_connect_failed_at);
  int logged_calls = 0;
  for (const AttemptKey& key : server.attempts) {
    const UpstreamAttempt& attempt = attempts_.at(key);
    if (attempt.state != AttemptState::established || ++logged_calls > kMaxLoggedCalls) continue;
    line += " call=" + attempt.request->correlation_id + "/" + age(attempt.state_since);
  }
  out.log(net::Level::warning, std::move(line));
}

// Whether a setup on the server's current connection is outstanding for longer than the expected response
// time, with nothing else received on that connection for as long.
bool SetupServers::is_response_overdue(Time now, const Server& server) const {
  if (!server.current || server.outstanding.empty()) return false;
  const Duration timeout =
      server.response_count < kMinResponsesForEstimate
          ? kMaxResponseTimeout
          : std::clamp(server.slowest_response * 3 / 2, kMinResponseTimeout, kMaxResponseTimeout);
  if (now - server.outstanding.begin()->first <= timeout) return false;
  const Connection& connection = connections_.at(*server.current);
  const auto oldest = oldest_outstanding(connection);
  return oldest && now - *oldest > timeout && now - connection.last_received_at > timeout;
}

std::optional<Time> SetupServers::oldest_outstanding(const Connection& connection) const {
  std::optional<Time> oldest;
  for (const AttemptKey& key : connection.outstanding) {
    const UpstreamAttempt& attempt = attempts_.at(key);
    if (attempt.state == AttemptState::sent && (!oldest || attempt.state_since < *oldest))
      oldest = attempt.state_since;
  }
  return oldest;
}

std::size_t SetupServers::count_connections(const Server& server, bool notifications_only) const {
  return static_cast<std::size_t>(
      std::count_if(server.connections.begin(), server.connections.end(), [&](std::uint32_t number) {
        const Connection& connection = connections_.at(number);
        return !connection.retired_at && connection.notifications_only == notifications_only;
      }));
}

// Handles the runtime's confirmation that no byte of an INVITE was written: the attempt never reached the
// server.
void SetupServers::on(Time now, const net::WriteWithdrawn& event, Outbox& out) {
  const auto it = connections_.find(event.conn.number);
  if (it == connections_.end()) return;
  const auto& outstanding = it->second.outstanding;
  const auto key = std::ranges::find_if(
      outstanding, [&](const AttemptKey& k) { return attempts_.at(k).ticket == event.ticket; });
  if (key == outstanding.end()) return;
  counters_.add("servers.invites_recalled");
  const auto attempt = attempts_.find(*key);
  core::AttemptFinished finished;
  finished.outcome = Outcome::not_sent;
  finish_attempt(now, attempt->second, finished, out);
  erase(attempt);
}

void SetupServers::on(Time now, const net::TimerFired&, Outbox& out) {
  out.arm(net::Concern::server, 0, now + kTickInterval);
  update_readiness(now);
  maintain_servers(now, out);
  maintenance_checks_ += partial_reads_.size() + non_current_connections_.size();
  counters_.add("servers.looked_at", std::exchange(maintenance_checks_, 0));
  while (const auto key = state_deadlines_.pop_due(now)) {
    const auto it = attempts_.find(*key);
    if (it->second.state != AttemptState::abandoned) {
      erase(it);
      continue;
    }
    core::AttemptFinished finished;
    finished.outcome = Outcome::cancelled;
    finish_attempt(now, it->second, finished, out);
    enter_state(now, it->second, AttemptState::finished);
  }
  std::vector<std::uint32_t> stalled;
  std::erase_if(partial_reads_, [&](std::uint32_t number) {
    const auto it = connections_.find(number);
    const bool partial = it != connections_.end() && it->second.partial_since;
    if (partial && now - *it->second.partial_since > kMessageTimeout) stalled.push_back(number);
    return !partial;
  });
  for (const std::uint32_t number : stalled) {
    counters_.add("servers.messages_cut_short");
    drop_connection(now, number, "message_timed_out", out);
  }
  check_non_current(now, out);
}

ConnectionSituation SetupServers::situation_of(Time now, std::uint32_t conn) const {
  const Connection& connection = connections_.at(conn);
  ConnectionSituation situation;
  situation.notifications_only = connection.notifications_only;
  situation.has_outstanding = !connection.outstanding.empty();
  situation.received_input = connection.received_input;
  situation.silence = now - connection.last_received_at;
  if (connection.retired_at) situation.retired_for = now - *connection.retired_at;
  const auto it = servers_.find(connection.server);
  if (it == servers_.end()) return situation;
  const Server& server = it->second;
  situation.current = server.current == conn;
  situation.releases_expected = may_receive_releases(server, conn);
  situation.calls_possible = server.established_calls > 0 || may_have_former_calls(now, server);
  situation.process_in_doubt = server.watch.process_in_doubt();
  situation.replaceable = !server.address_reassigned;
  situation.server_alive_since_retirement =
      connection.retired_at && server.newest_proven > connection.last_before_retired;
  situation.retired_slots_full = retired_connections(server).size() >= kMaxRetiredConnections;
  return situation;
}

// Retires, replaces or drops the connections that are not their server's current one, as ConnectionLifecycle
// decides. All are retired before a connection is opened in their place.
void SetupServers::check_non_current(Time now, Outbox& out) {
  std::set<ServerId> replaced;
  for (const std::uint32_t number : std::set<std::uint32_t>(non_current_connections_)) {
    const auto it = connections_.find(number);
    if (it == connections_.end()) {
      non_current_connections_.erase(number);
      continue;
    }
    const ConnectionAction action = decide_connection(situation_of(now, number));
    if (action == ConnectionAction::keep) continue;
    if (action == ConnectionAction::drop) {
      drop_connection(now, number, "not_closed_by_server", out);
    } else if (action == ConnectionAction::retire) {
      retire_connection(now, number, "idle", out);
    } else {
      replaced.insert(it->second.server);
      if (Server* server = find_server(it->second.server)) server->watch.repeat_requested(now);
      if (action == ConnectionAction::retire_and_replace) retire_connection(now, number, "silent", out);
    }
  }
  for (const ServerId id : replaced) {
    if (Server* server = find_server(id)) maintain_server(now, *server, out);
  }
}

// Maintains the servers on the work list and removes those that need no more. Checking every server of a long
// endpoint list in each tick took most of an idle gatekeeper's CPU time.
void SetupServers::maintain_servers(Time now, Outbox& out) {
  maintenance_checks_ += servers_to_maintain_.size();
  for (const ServerId id : std::vector<ServerId>(servers_to_maintain_.begin(), servers_to_maintain_.end())) {
    Server& server = servers_.at(id);
    maintain_server(now, server, out);
    const bool settled = server.endpoint.state == ServerState::terminated ? server.connections.empty()
                                                                          : server.current.has_value();
    if (settled && server.attempts.empty() && !server.watch.repeat_needed()) servers_to_maintain_.erase(id);
  }
}

// Ends the server's calls that were established before that time.
void SetupServers::end_established_calls(Time now, Server& server, Time established_before, Outbox& out) {
  end_calls_if(now, server, out, [established_before](const UpstreamAttempt& attempt) {
    return attempt.state_since < established_before;
  });
}

// No new connection leads to the server. Its calls stand for as long as their own connections show it.
void SetupServers::end_calls_at_reassigned_address(Time now, Server& server, Outbox& out) {
  const int calls_before = server.established_calls;
  end_calls_if(now, server, out, [&](const UpstreamAttempt& attempt) {
    const auto connection = connections_.find(attempt.conn);
    if (connection == connections_.end()) return true;
    // The establishment of the call is evidence as well, whatever came on its connection before.
    const Time newest_evidence =
        std::max(attempt.state_since, connection->second.calls_served_at.value_or(attempt.state_since));
    return is_stale(now - newest_evidence);
  });
  if (server.established_calls == calls_before) return;
  counters_.add("servers.vanished");
  out.log(net::Level::warning, "setup server " + server.endpoint.uid +
                                   " lost its address to another server: ended calls=" +
                                   std::to_string(calls_before - server.established_calls));
}

// The attempts are retained as finished: the server may still send their releases, which must not be
// forwarded to the callers once more.
template <class Predicate>
void SetupServers::end_calls_if(Time now, Server& server, Outbox& out, Predicate is_over) {
  for (const AttemptKey& key : std::set<AttemptKey>(server.attempts)) {
    UpstreamAttempt& attempt = attempts_.at(key);
    if (attempt.state != AttemptState::established || !is_over(attempt)) continue;
    core::AttemptFinished finished;
    finished.outcome = Outcome::reset;
    finished.cause = kCauseTemporaryFailure;
    attempt.presumed_over = true;
    finish_attempt(now, attempt, finished, out);
    // A server that hangs may still hold the call.
    if (is_open(attempt.conn)) send_bye(now, attempt, kCauseTemporaryFailure, out);
    enter_state(now, attempt, AttemptState::finished);
  }
}

// ---- attempts and their indexes

// Adds an attempt to the sets of its server and connection and to the state deadlines, or removes it from
// them.
void SetupServers::update_indexes(const UpstreamAttempt& attempt, bool insert) {
  const AttemptKey key = attempt.key();
  const auto update_set = [insert](auto& set, const auto& value) {
    insert ? void(set.insert(value)) : void(set.erase(value));
  };
  if (Server* server = find_server(attempt.server)) {
    if (attempt.state == AttemptState::queued) update_set(server->queued, key);
    if (attempt.state != AttemptState::finished) server->live_attempts += insert ? 1 : -1;
    if (attempt.state == AttemptState::established) server->established_calls += insert ? 1 : -1;
    if (attempt.state == AttemptState::sent)
      update_set(server->outstanding, std::pair(attempt.state_since, key));
  }
  if (const auto it = connections_.find(attempt.conn); it != connections_.end() && attempt.outstanding())
    update_set(it->second.outstanding, key);
  const std::optional<Duration> max_time = max_time_in_state(attempt);
  if (!insert || !max_time) return state_deadlines_.clear(key);
  // 1 ns more, so that the state ends after the span and not at its last instant.
  state_deadlines_.set(key, attempt.state_since + *max_time + 1ns);
}

// The time after which the attempt's state ends by itself, if it does.
std::optional<Duration> SetupServers::max_time_in_state(const UpstreamAttempt& attempt) {
  if (attempt.state == AttemptState::abandoned) return kAbandonTimeout;
  if (attempt.state != AttemptState::finished) return {};
  return attempt.presumed_over ? kPresumedOverRetention : kFinishedRetention;
}

void SetupServers::enter_state(Time now, UpstreamAttempt& attempt, AttemptState state) {
  update_indexes(attempt, false);
  attempt.state = state;
  attempt.state_since = now;
  update_indexes(attempt, true);
}

void SetupServers::erase(Attempts::iterator attempt) {
  update_indexes(attempt->second, false);
  if (Server* server = find_server(attempt->second.server)) server->attempts.erase(attempt->first);
  const auto [first, last] = by_correlation_id_.equal_range(attempt->second.request->correlation_id);
  for (auto it = first; it != last; ++it) {
    if (it->second != attempt->first) continue;
    by_correlation_id_.erase(it);
    break;
  }
  attempts_.erase(attempt);
}

// ---- effects of the broker

void SetupServers::apply(Time now, const core::StartAttempt& event, Outbox& out) {
  Server* server = find_server(event.server);
  if (server == nullptr) return;
  const AttemptKey key{event.request->call, event.attempt};
  const auto [it, inserted] =
      attempts_.try_emplace(key, UpstreamAttempt{event.request, event.attempt, event.server, 0,
                                                 AttemptState::queued, event.deadline, now});
  if (!inserted) return;
  by_correlation_id_.emplace(event.request->correlation_id, key);
  server->attempts.insert(key);
  servers_to_maintain_.insert(server->id);
  update_indexes(it->second, true);
  if (server->endpoint.state != ServerState::in_service)
    return fail_queued(now, *server, Outcome::not_sent, out);
  if (has_open_attempt_elsewhere(*server, it->second)) return withhold_attempt(now, it, out);
  if (server->current) return send_invite(now, *server, it->second, out);
  if (!server->connecting) connect(now, *server, DueConnect{}, out);
}

// A server matches all messages by Call-ID. On different connections they overtake each other: a BYE or
// CANCEL of an earlier attempt of the call could cut a later one at the same server, and its late success
// could be taken for the later one's. On one connection they stay in order.
bool SetupServers::has_open_attempt_elsewhere(const Server& server, const UpstreamAttempt& attempt) const {
  const auto [first, last] = by_correlation_id_.equal_range(attempt.request->correlation_id);
  return std::any_of(first, last, [&](const auto& entry) {
    const UpstreamAttempt& other = attempts_.at(entry.second);
    return other.key() != attempt.key() && other.server == server.id && other.may_be_open_at_server &&
           server.current != other.conn;
  });
}

void SetupServers::withhold_attempt(Time now, Attempts::iterator it, Outbox& out) {
  counters_.add("servers.attempts_withheld");
  core::AttemptFinished finished;
  finished.outcome = Outcome::not_sent;
  finish_attempt(now, it->second, finished, out);
  erase(it);
}

void SetupServers::send_invite(Time now, Server& server, UpstreamAttempt& attempt, Outbox& out) {
  // The server may have begun to drain while the connection was being opened.
  if (server.endpoint.state != ServerState::in_service || now >= attempt.deadline) {
    core::AttemptFinished finished;
    finished.outcome = Outcome::not_sent;
    finish_attempt(now, attempt, finished, out);
    return enter_state(now, attempt, AttemptState::finished);
  }
  update_indexes(attempt, false);
  attempt.conn = *server.current;
  update_indexes(attempt, true);
  attempt.may_be_open_at_server = true;
  enter_state(now, attempt, AttemptState::sent);
  const core::Request& request = *attempt.request;
  sip::Message message =
      make_request("INVITE", request.number_text, request.correlation_id, attempt.index + 1);
  message.add("Priority-Class", request.class_name);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(attempt.deadline - now).count();
  message.add("Expires-Ms", std::to_string(std::max<std::int64_t>(1, left)));
  message.body = request.description;
  counters_.add("servers.invites");
  log_sent(now, "invite_sent", attempt, out);
  attempt.ticket = ++last_ticket_;
  out.send_counted({net::Concern::server, attempt.conn}, message.text(), attempt.ticket);
}

void SetupServers::apply(Time now, const core::AbandonAttempt& event, Outbox& out) {
  const auto it = attempts_.find({event.request->call, event.attempt});
  if (it == attempts_.end()) return;
  UpstreamAttempt& attempt = it->second;
  if (attempt.state == AttemptState::queued) {
    core::AttemptFinished finished;
    finished.outcome = Outcome::not_sent;
    finish_attempt(now, attempt, finished, out);
    erase(it);
  } else if (attempt.state == AttemptState::sent) {
    enter_state(now, attempt, AttemptState::abandoned);
    counters_.add("servers.cancels");
    log_sent(now, "cancel_sent", attempt, out);
    // The connection is open, because closing one ends its attempts. If the server does not read, the INVITE
    // may be unwritten: it is then withdrawn, so that it does not arrive once the server reads again.
    const sip::Message cancel = make_request("CANCEL", attempt.request->number_text,
                                             attempt.request->correlation_id, attempt.index + 1);
    out.withdraw_send({net::Concern::server, attempt.conn}, attempt.ticket, cancel.text());
  }
}

void SetupServers::apply(Time now, const core::ReleaseServer& event, Outbox& out) {
  const auto it = attempts_.find({event.request->call, event.attempt});
  if (it == attempts_.end() || it->second.state != AttemptState::established) return;
  counters_.add("servers.byes_out");
  send_bye(now, it->second, event.cause, out);
  enter_state(now, it->second, AttemptState::finished);
}

void SetupServers::send_bye(Time now, UpstreamAttempt& attempt, int cause, Outbox& out) {
  sip::Message message =
      make_request("BYE", attempt.request->number_text, attempt.request->correlation_id, attempt.index + 2);
  message.add("Reason", "Q.850;cause=" + std::to_string(cause));
  send(attempt, message, out);
  log_sent(now, "bye_sent", attempt, out);
}

// Sends on the attempt's own connection or, if that is closed, on the server's current one.
void SetupServers::send(UpstreamAttempt& attempt, const sip::Message& message, Outbox& out) {
  if (!is_open(attempt.conn)) {
    const Server* server = find_server(attempt.server);
    if (server == nullptr || !server->current) return;
    attempt.conn = *server->current;
  }
  out.send({net::Concern::server, attempt.conn}, message.text());
}

// ---- messages from servers

void SetupServers::on(Time now, const net::Received& event, Outbox& out) {
  std::size_t used = 0;
  while (used < event.bytes.size()) {
    const auto it = connections_.find(event.conn.number);
    if (it == connections_.end()) return;
    record_input(now, event.conn.number, out);
    if (used == 0 && event.bytes.size() < it->second.bytes_needed) break;
    const sip::ReadResult read = sip::read_stream(event.bytes.substr(used));
    used += read.used;
    it->second.bytes_needed = read.needed;
    if (read.state == sip::ReadState::more) {
      if (!it->second.partial_since) it->second.partial_since = now;
      partial_reads_.insert(event.conn.number);
      break;
    }
    it->second.partial_since.reset();
    const std::string error = describe_malformed(read);
    // A complete message is processed even if the bytes after it are malformed, except a successful response,
    // whose body may be cut short. Otherwise a release ahead of malformed bytes in the same read is lost and
    // its caller is never notified.
    const bool usable = read.complete && !is_invite_success(read.message);
    if (!error.empty() && !usable) {
      // The connection is dropped after any malformed message, even where the start of the next one is known.
      // When it was kept, setups sent on it for seconds got no response.
      return handle_malformed(now, event.conn.number, error, out);
    }
    record_message(now, event.conn.number, read.message, out);
    if (read.message.is_request()) {
      handle_request(now, event.conn.number, read.message, out);
    } else {
      handle_response(now, event.conn.number, read.message, out);
    }
    if (!connections_.contains(event.conn.number)) return;
    if (usable)
      return handle_malformed(now, event.conn.number,
                              "the bytes after a message are not the start of another", out);
  }
  out.net.push_back(net::Consume{event.conn, used});
}

void SetupServers::record_input(Time now, std::uint32_t conn, Outbox& out) {
  Connection& connection = connections_.at(conn);
  Server* server = find_server(connection.server);
  const Duration wait = now - connection.last_received_at;
  connection.last_received_at = now;
  if (server != nullptr) server->watch.input_received(now, conn);
  if (std::exchange(connection.received_input, true)) return;
  out.debug(now, [&] {
    return "connection_first_input server=" + name_of(connection.server) + " conn=" + std::to_string(conn);
  });
  if (server == nullptr) return;
  server->newest_proven = std::max(server->newest_proven, conn);
  server->watch.connection_proven(now, conn, wait);
  if (server->watch.repeat_needed()) servers_to_maintain_.insert(server->id);
}

void SetupServers::record_message(Time now, std::uint32_t conn, const sip::Message& message, Outbox& out) {
  const MessageKind kind = kind_of(message);
  Server* server = find_server(connections_.at(conn).server);
  if (server != nullptr) server->last_received_at[kind] = now;
  if (shows_calls(kind)) {
    connections_.at(conn).calls_served_at = now;
    if (server != nullptr) server->watch.calls_served(now, conn);
  }
  if (kind != MessageKind::notification && kind != MessageKind::other) return;
  out.debug(now, [&] {
    return "message_received kind=" + std::string(to_string(kind)) +
           " server=" + name_of(connections_.at(conn).server) + " conn=" + std::to_string(conn);
  });
}

// Whether a response establishes a call; its body is forwarded to the caller.
bool SetupServers::is_invite_success(const sip::Message& message) {
  const auto cseq = sip::cseq_of(message);
  return !message.is_request() && message.status >= 200 && message.status < 300 &&
         (!cseq || cseq->method == "INVITE");
}

// The reason why a message can't be processed; empty if it can.
std::string SetupServers::describe_malformed(const sip::ReadResult& read) {
  if (read.state == sip::ReadState::malformed) return read.error;
  const sip::Message& message = read.message;
  if (!message.is_request() && !sip::cseq_of(message)) return "response without CSeq";
  if (!message.is_request() && message.header("Call-ID").empty()) return "response without Call-ID";
  return {};
}

// Finds the call's attempt at this server that a message belongs to. Messages match by Call-ID, a response
// also by the CSeq method and by its connection, since the close of a connection gives up the unanswered
// setups on it. The CSeq number is chosen by the server: matched against the attempt's, the response to a
// second attempt at the same server went to the first, and the call was pending until its deadline.
SetupServers::Attempts::iterator SetupServers::find_attempt(std::uint32_t conn, const sip::Message& message) {
  const ServerId server = connections_.at(conn).server;
  // The latest attempt, but an established one for a BYE, and a cancelled one for the response to a CANCEL.
  const auto is_preferred = [&](const UpstreamAttempt& attempt) {
    if (message.is_request()) return attempt.state == AttemptState::established;
    return message.status == kRequestTerminated && attempt.may_be_open_at_server &&
           (attempt.state == AttemptState::abandoned || attempt.state == AttemptState::finished);
  };
  auto found = attempts_.end();
  const auto [first, last] = by_correlation_id_.equal_range(std::string(message.header("Call-ID")));
  for (auto id_entry = first; id_entry != last; ++id_entry) {
    const auto it = attempts_.find(id_entry->second);
    const UpstreamAttempt& attempt = it->second;
    if (attempt.server != server || attempt.state == AttemptState::queued) continue;
    if (!message.is_request() && attempt.conn != conn) continue;
    const auto rank = [&](const Attempts::iterator& candidate) {
      return std::pair(is_preferred(candidate->second), candidate->first);
    };
    if (found == attempts_.end() || rank(it) > rank(found)) found = it;
  }
  return found;
}

void SetupServers::handle_response(Time now, std::uint32_t conn, const sip::Message& message, Outbox& out) {
  const auto cseq = sip::cseq_of(message);
  if (!cseq || cseq->method != "INVITE" || message.status < 200) {
    if (cseq && cseq->method == "OPTIONS")
      out.notify_broker(core::LoadReportReceived{connections_.at(conn).server, parse_load_report(message)});
    return;
  }
  const auto it = find_attempt(conn, message);
  out.debug(now, [&] {
    return "response_received call=" + std::string(message.header("Call-ID")) +
           " status=" + std::to_string(message.status) + " server=" + name_of(connections_.at(conn).server) +
           " conn=" + std::to_string(conn) +
           (it == attempts_.end() ? std::string(" attempt=none")
                                  : " attempt=" + std::to_string(it->second.index) +
                                        " attempt_state=" + std::string(name_of_state(it->second.state)));
  });
  if (it == attempts_.end()) {
    counters_.add("servers.answers_unknown");
    return;
  }
  UpstreamAttempt& attempt = it->second;
  // Only a description that is to be forwarded is checked. The body of a response with an unknown id does not
  // matter and is no reason to drop the connection.
  if (message.status < 300 && attempt.state == AttemptState::sent &&
      !is_forwardable_description(message.body)) {
    handle_malformed(now, conn, "session description is not UTF-8 or contains another message", out);
    return;
  }
  send(attempt,
       make_request("ACK", attempt.request->number_text, attempt.request->correlation_id, attempt.index + 1),
       out);
  log_sent(now, "ack_sent", attempt, out);
  if (attempt.state == AttemptState::sent) record_response(now, conn, attempt.state_since, out);
  if (message.status < 300) {
    handle_invite_success(now, attempt, message, out);
  } else {
    handle_invite_failure(now, it, message, out);
  }
}

void SetupServers::handle_invite_success(Time now, UpstreamAttempt& attempt, const sip::Message& message,
                                         Outbox& out) {
  counters_.add("servers.answers");
  const LoadReport report = parse_load_report(message);
  if (attempt.state == AttemptState::sent) {
    enter_state(now, attempt, AttemptState::established);
    Server& server = *find_server(attempt.server);
    server.watch.call_established(now, attempt.conn, server.established_calls == 1);
    out.notify_broker(core::LoadReportReceived{attempt.server, report});
    out.notify_broker(core::AttemptEstablished{attempt.request->call, attempt.index, message.body});
    return;
  }
  if (attempt.state == AttemptState::established) return;
  // Late success: the response raced the CANCEL, so the call is released at the server.
  counters_.add("servers.crossed");
  attempt.late_success = true;
  send_bye(now, attempt, kCauseNormalClearing, out);
  if (attempt.state == AttemptState::abandoned) {
    core::AttemptFinished finished;
    finished.outcome = Outcome::cancelled;
    finished.late_success = true;
    finished.report = report;
    finish_attempt(now, attempt, finished, out);
  }
  enter_state(now, attempt, AttemptState::finished);
}

void SetupServers::handle_invite_failure(Time now, Attempts::iterator it, const sip::Message& message,
                                         Outbox& out) {
  UpstreamAttempt& attempt = it->second;
  counters_.add("servers.refusals." + std::to_string(message.status));
  if (attempt.state == AttemptState::established) {
    // After a repeated attempt, either response may belong to the earlier one.
    if (attempt.index > 0) end_contradicted_call(now, attempt, out);
    return;
  }
  if (!attempt.outstanding()) {
    // Retained: a rejection may follow a late success, whose release must not reach the caller.
    if (!attempt.late_success) attempt.may_be_open_at_server = false;
    return;
  }
  core::AttemptFinished finished;
  finished.report = parse_load_report(message);
  finished.outcome =
      attempt.state == AttemptState::abandoned ? Outcome::cancelled : outcome_of_rejection(message.status);
  read_rejection(message, finished);
  // 486 means that the number is busy at every server; any other error may concern this server only.
  if (message.status == 486 && finished.reason == FullReason::none) finished.reason = FullReason::number_busy;
  finish_attempt(now, attempt, finished, out);
  erase(it);
}

// Ends a call of which it is unknown whether the server holds it, on both sides.
void SetupServers::end_contradicted_call(Time now, UpstreamAttempt& attempt, Outbox& out) {
  counters_.add("servers.calls_contradicted");
  send_bye(now, attempt, kCauseTemporaryFailure, out);
  core::AttemptFinished finished;
  finished.outcome = Outcome::reset;
  finished.cause = kCauseTemporaryFailure;
  finish_attempt(now, attempt, finished, out);
  enter_state(now, attempt, AttemptState::finished);
}

void SetupServers::handle_request(Time now, std::uint32_t conn, const sip::Message& message, Outbox& out) {
  if (message.method == "NOTIFY") {
    counters_.add("servers.notifies");
    record_notification(now, conn, out);
    out.notify_broker(core::LoadReportReceived{connections_.at(conn).server, parse_load_report(message)});
    return;
  }
  if (message.method == "ACK" || message.method == "CANCEL") return;
  sip::Message response;
  response.status = message.method == "BYE" || message.method == "OPTIONS" ? 200 : 501;
  response.phrase = response.status == 200 ? "OK" : "Not Implemented";
  for (const std::string_view via : message.header_values("Via")) response.add("Via", std::string(via));
  response.add("Call-ID", std::string(message.header("Call-ID")));
  response.add("CSeq", std::string(message.header("CSeq")));
  out.send({net::Concern::server, conn}, response.text());
  if (message.method != "BYE") return;
  counters_.add("servers.byes_in");
  const int cause = parse_q850_cause(message.header("Reason"));
  const LoadReport report = parse_load_report(message);
  const auto it = find_attempt(conn, message);
  out.debug(now, [&] {
    return "bye_received call=" + std::string(message.header("Call-ID")) +
           " server=" + name_of(connections_.at(conn).server) + " conn=" + std::to_string(conn) +
           " attempt_state=" + std::string(it == attempts_.end() ? "none" : name_of_state(it->second.state));
  });
  const bool is_open =
      it != attempts_.end() && (it->second.state == AttemptState::established || it->second.outstanding());
  if (!is_open) {
    if (it == attempts_.end()) handle_former_call_released(now);
    if (it != attempts_.end() && std::exchange(it->second.presumed_over, false))
      enter_state(now, it->second, AttemptState::finished);  // only a repetition may still come
    out.notify_broker(
        core::ServerReleased{std::string(message.header("Call-ID")), cause, it != attempts_.end()});
    return;
  }
  UpstreamAttempt& attempt = it->second;
  if (attempt.state == AttemptState::established)
    find_server(attempt.server)->watch.call_known(attempt.state_since);
  core::AttemptFinished finished;
  finished.outcome = cause == kCauseNormalClearing ? Outcome::ok : Outcome::reset;
  if (attempt.outstanding()) {
    // The call was established and released, and its 200 response was lost. The callee's phone has rung, so
    // the call is not retried.
    counters_.add("servers.answers_lost");
    finished.outcome = Outcome::reset;
    finished.late_success = true;
  }
  finished.cause = cause;
  finished.report = report;
  attempt.may_be_open_at_server = false;
  finish_attempt(now, attempt, finished, out);
  enter_state(now, attempt, AttemptState::finished);  // the BYE may be repeated on another connection
}

// Each server may have written releases to the connections of the former process when it had already accepted
// one of this process.
void SetupServers::handle_former_call_released(Time now) {
  if (now - started_at_ >= kFormerCallsTimeout || std::exchange(former_call_released_, true)) return;
  for (auto& [id, server] : servers_) {
    if (server.endpoint.state == ServerState::terminated) continue;
    server.watch.former_call_released(now);
    servers_to_maintain_.insert(id);
  }
}

// Detects half-open connections by notifications. A server sends each NOTIFY on all of its connections at
// once, so a connection that stays without it while another gets it is half-open. Setups on such a connection
// are pending until their callers time out.
void SetupServers::record_notification(Time now, std::uint32_t conn, Outbox& out) {
  Connection& connection = connections_.at(conn);
  Server* server = find_server(connection.server);
  if (server == nullptr) return;
  if (connection.last_notified_at)
    server->notification_interval =
        std::max(now - *connection.last_notified_at, server->notification_interval * 9 / 10);
  connection.last_notified_at = now;
  if (server->notification_interval == Duration{}) return;
  const Duration notification_timeout =
      server->notification_interval + server->notification_interval / 4 + kNotificationSlack;
  std::vector<std::uint32_t> half_open;
  maintenance_checks_ += server->connections.size();
  for (const std::uint32_t number : server->connections) {
    const Connection& other = connections_.at(number);
    if (number != conn && other.up && !other.retired_at &&
        now - other.last_received_at > notification_timeout)
      half_open.push_back(number);
  }
  close_half_open(now, *server, half_open, out);
}

// Detects half-open connections by response order. A server processes setups in the order of arrival over all
// of its connections. A connection is half-open if it has outstanding setups and has received nothing since,
// while another connection gets the response to a setup sent kReorderThreshold later.
void SetupServers::record_response(Time now, std::uint32_t conn, Time sent, Outbox& out) {
  Server* server = find_server(connections_.at(conn).server);
  if (server == nullptr) return;
  server->slowest_response = std::max(now - sent, server->slowest_response - server->slowest_response / 16);
  server->response_count = std::min(server->response_count + 1, kMinResponsesForEstimate);
  std::vector<std::uint32_t> half_open;
  maintenance_checks_ += server->connections.size();
  for (const std::uint32_t number : server->connections) {
    const Connection& other = connections_.at(number);
    // A single outstanding setup proves nothing: it may have been lost alone.
    if (number == conn || !other.up || other.outstanding.size() < 2) continue;
    const auto oldest = oldest_outstanding(other);
    if (oldest && std::max(*oldest, other.last_received_at) + kReorderThreshold < sent)
      half_open.push_back(number);
  }
  close_half_open(now, *server, half_open, out);
}

void SetupServers::close_half_open(Time now, Server& server, const std::vector<std::uint32_t>& half_open,
                                   Outbox& out) {
  for (const std::uint32_t number : half_open) {
    counters_.add("servers.connections_deaf");
    out.log(net::Level::info,
            "a connection to setup server " + server.endpoint.uid + " is half-open: closing it");
    replace_connection(now, number, "half_open", out);
  }
  if (!half_open.empty()) maintain_server(now, server, out);
}

void SetupServers::finish_attempt(Time now, const UpstreamAttempt& attempt, core::AttemptFinished finished,
                                  Outbox& out) {
  out.debug(now, [&] {
    return "attempt_finished call=" + attempt.request->correlation_id +
           " attempt=" + std::to_string(attempt.index) + " server=" + name_of(attempt.server) +
           " outcome=" + std::string(core::to_string(finished.outcome)) +
           " was_established=" + (attempt.state == AttemptState::established ? "1" : "0");
  });
  finished.call = attempt.request->call;
  finished.attempt = attempt.index;
  out.notify_broker(finished);
}

std::string_view SetupServers::name_of_state(AttemptState state) {
  switch (state) {
    case AttemptState::queued:
      return "queued";
    case AttemptState::sent:
      return "sent";
    case AttemptState::abandoned:
      return "abandoned";
    case AttemptState::established:
      return "established";
    case AttemptState::finished:
      return "finished";
  }
  return "unknown";
}

void SetupServers::log_sent(Time now, std::string_view event, const UpstreamAttempt& attempt, Outbox& out) {
  out.debug(now, [&] {
    return std::string(event) + " call=" + attempt.request->correlation_id +
           " attempt=" + std::to_string(attempt.index) + " server=" + name_of(attempt.server) +
           " conn=" + std::to_string(attempt.conn);
  });
}

SetupServers::Server* SetupServers::find_server(ServerId id) {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

}  // namespace graniterun::upstream
