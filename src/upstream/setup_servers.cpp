#include "upstream/setup_servers.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "codec/number.h"
#include "wire.h"

namespace graniterun::upstream {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTick = 50ms;
// A message that has begun is whole within so long, or the connection is of no more use.
constexpr Duration kMessageTimeout = 400ms;
constexpr Duration kReconnectPause = 250ms;
// After a start so long is given to the first connections; then set-ups wait for them like any others.
constexpr Duration kFirstConnects = 500ms;
// A server with calls that says nothing for so long is tried on a new connection: a machine that vanished
// leaves the old one open and silent.
constexpr Duration kSuspicious = 1200ms;
// It is tried sooner when a set-up has been unanswered for so long and nothing else has come either.
constexpr Duration kSuspiciousUnanswered = 600ms;
// Where the connection that was opened in doubt owes answers as well, the next one follows after so long.
constexpr Duration kSuspectAgainDelay = 400ms;
// Sooner where its answers are known: at a multiple of the slowest of late, but not before this.
constexpr Duration kMinSuspicionTimeout = 100ms;
constexpr int kAnswersKnown = 8;  // so many answers tell how slow it is
// An answer to a set-up sent so much later than one that another connection owes has overtaken it.
constexpr Duration kOvertaken = 100ms;
constexpr std::size_t kMaxConnections = 3;              // to a server
constexpr std::size_t kMaxNotificationConnections = 3;  // beside them; each is replaced or goes by itself
// So long after the last word a connection that was opened for news is kept.
constexpr Duration kWatchEventTimeout = 300ms;
// While calls stand that may be told of there, it is kept; silent for so long, another one takes its place.
constexpr Duration kWatchIdleTimeout = 600ms;
// After so long without a byte and without a connection its calls are taken to be over (8 s are allowed).
constexpr Duration kVanished = 5s;
// A process that died refuses at once; a short restart is let pass.
constexpr Duration kDied = 3s;
// So long the end of an attempt that was given up is awaited: a success may be on its way.
constexpr Duration kAbandonTimeout = 120ms;
// An attempt that was given up, or a call that was released, is remembered so long for what comes late.
constexpr Duration kFinishedRetention = 10s;

// How much later than on another connection a state may be told.
constexpr Duration kNotificationSlack = 100ms;

// What a full processor may say of its wait; more is no wait that any caller would see the end of.
constexpr std::chrono::milliseconds kMaxRetryAfter = 60s;

constexpr int kNormal = 16;  // causes of Q.850
constexpr int kCut = 41;

sip::Message request(std::string_view method, const std::string& number, const std::string& label, int cseq,
                     std::string_view cseq_method = {}) {
  sip::Message m;
  m.method = method;
  m.uri = "sip:" + number + "@net";
  m.add("Via", "SIP/2.0/TCP graniterun");
  m.add("Call-ID", label);
  m.add("CSeq", std::to_string(cseq) + " " + std::string(cseq_method.empty() ? method : cseq_method));
  return m;
}

Outcome outcome_of(int status) {
  switch (status) {
    case 503:
      return Outcome::full;
    case 480:
      return Outcome::not_sent;
    case 504:
      return Outcome::reset;
    case 487:
      return Outcome::cancelled;
    default:
      return Outcome::busy_or_fault;
  }
}

FullReason reason_of(std::string_view word) {
  if (word == "all_trunks_busy") return FullReason::no_circuit;
  if (word == "via_said_no" || word == "far_cpu_full") return FullReason::returned;
  if (word == "cpu_full") return FullReason::processor;
  if (word == "number_busy") return FullReason::number_busy;
  return FullReason::none;
}

}  // namespace

int cause_in(std::string_view reason) {
  const std::string_view text = sip::parameter(reason, "cause");
  int cause = kNormal;
  std::from_chars(text.data(), text.data() + text.size(), cause);
  return cause;
}

// Bytes that follow the first one of a character, by RFC 3629; none: it can't begin one.
std::optional<std::size_t> utf8_continuation_bytes(unsigned char lead) {
  if (lead < 0x80) return 0;
  if (lead < 0xc2 || lead > 0xf4) return std::nullopt;  // a later byte, an overlong form, beyond U+10FFFF
  return lead < 0xe0 ? 1 : lead < 0xf0 ? 2 : 3;
}

// Whether the second byte makes an overlong form, a surrogate, or a character beyond U+10FFFF.
bool is_forbidden_utf8_pair(unsigned char lead, unsigned char second) {
  return (lead == 0xe0 && second < 0xa0) || (lead == 0xed && second > 0x9f) ||
         (lead == 0xf0 && second < 0x90) || (lead == 0xf4 && second > 0x8f);
}

bool is_utf8(std::string_view text) {
  const auto byte_at = [text](std::size_t at) { return static_cast<unsigned char>(text[at]); };
  for (std::size_t at = 0; at < text.size();) {
    const unsigned char lead = byte_at(at);
    const auto more = utf8_continuation_bytes(lead);
    if (!more || at + *more >= text.size()) return false;
    for (std::size_t i = 1; i <= *more; ++i) {
      if (byte_at(at + i) >> 6 != 2) return false;
    }
    if (*more > 0 && is_forbidden_utf8_pair(lead, byte_at(at + 1))) return false;
    at += *more + 1;
  }
  return true;
}

// Text that callers are told unchanged, and that has not eaten the message after it.
bool can_be_passed_on(std::string_view description) {
  return is_utf8(description) && description.find("SIP/2.0\r\n") == std::string_view::npos;
}

std::optional<Duration> retry_after_of(const sip::Message& m) {
  const auto ms = number_in<std::uint32_t>(m.header("P-Wait"));
  if (!ms || *ms > kMaxRetryAfter.count()) return {};
  return std::chrono::milliseconds(*ms);
}

void read_rejection(const sip::Message& m, core::AttemptFinished& ended) {
  ended.reason = reason_of(m.header("Warning-Word"));
  if (ended.outcome == Outcome::full) ended.retry_after = retry_after_of(m);
}

LoadReport report_of(const sip::Message& m) {
  LoadReport report;
  std::string_view rest = m.header("P-Load");
  while (!rest.empty()) {
    const std::string_view piece = rest.substr(0, rest.find(';'));
    rest.remove_prefix(std::min(rest.size(), piece.size() + 1));
    const std::size_t colon = piece.find(':');
    if (colon == std::string_view::npos) continue;
    const auto figure = number_in<double>(sip::trim(piece.substr(colon + 1)));
    // What is not a number, or none of a load, is left out: it would be converted to a time.
    const bool sound = figure && std::isfinite(*figure) && std::abs(*figure) <= 1e7;
    if (sound) wire::note_value(report, sip::trim(piece.substr(0, colon)), *figure);
  }
  return report;
}

// ---- the list

void SetupServers::start(Time now, Outbox& out) {
  started_at_ = now;
  out.arm(net::Concern::server, 0, now + kTick);
}

void SetupServers::handle_endpoints(Time now, const EndpointList& list, ListKind kind, Outbox& out) {
  ServerList told;
  told.kind = kind;
  if (kind != ListKind::changes) {
    for (auto& [id, server] : servers_) server.endpoint.state = ServerState::terminated;
  }
  // those that have or had it in this list
  ServersByAddress by_address;
  for (const auto& [id, server] : servers_) by_address[server.endpoint.address].push_back(id);
  for (const Endpoint& endpoint : list.endpoints) {
    const ServerId id = directory_.id_of(endpoint.uid);
    update_endpoint(id, endpoint, by_address, out);
    told.entries.push_back(directory_.entry_of(id, endpoint));
  }
  out.notify_broker(core::ServersChanged{std::move(told)});
  for (auto& [id, server] : servers_) {
    if (server.endpoint.state != ServerState::in_service) withdraw_invites(server, out);
    if (server.endpoint.state == ServerState::terminated) {
      end_established_calls(server, {}, out);
      set_current_aside(server);
    } else {
      servers_to_maintain_.insert(id);
      maintain_server(now, server, out);
    }
  }
}

void SetupServers::update_endpoint(ServerId id, const Endpoint& endpoint, ServersByAddress& by_address,
                                   Outbox& out) {
  const auto [place, fresh] = servers_.try_emplace(id);
  Server& server = place->second;
  server.id = id;
  const bool moved = !fresh && server.endpoint.address != endpoint.address && !endpoint.address.empty();
  const bool restarted = !fresh && endpoint.started && server.endpoint.started != endpoint.started;
  const std::string address = endpoint.address.empty() ? server.endpoint.address : endpoint.address;
  server.endpoint = endpoint;
  server.endpoint.address = address;
  if (restarted) end_established_calls(server, endpoint.started, out);
  if (moved) set_current_aside(server);
  if (fresh || moved) by_address[address].push_back(id);
  if (endpoint.state != ServerState::in_service) return;
  // A new server may have the address of one that is gone: that one's connections must not be taken for it.
  for (const ServerId same : by_address[address]) {
    Server& other = servers_.at(same);
    if (same != id && other.endpoint.address == address) set_current_aside(other);
  }
}

// Nothing new goes by its connection in use, which is kept for what comes on it.
void SetupServers::set_current_aside(Server& server) {
  if (server.current) connections_aside_.insert(*server.current);
  server.current.reset();
  servers_to_maintain_.insert(server.id);
}

// What is handed over and not written yet is not to reach a server that is to get nothing new.
void SetupServers::withdraw_invites(const Server& server, Outbox& out) {
  for (const auto& [since, key] : server.unanswered) {
    const UpstreamAttempt& leg = attempts_.at(key);
    out.withdraw_send({net::Concern::server, leg.conn}, leg.ticket, {});
  }
}

// A restarted process with a saved list is of use though no server can be reached for now: it tells its
// callers so at once.
void SetupServers::update_readiness(Time now) {
  if (ready_) return;
  bool any = false;
  bool all_tried = true;
  for (const auto& [id, server] : servers_) {
    if (server.endpoint.state != ServerState::in_service) continue;
    any = true;
    all_tried = all_tried && server.connect_attempted;
  }
  ready_ = any && (all_tried || now - started_at_ >= kFirstConnects);
}

std::size_t SetupServers::listed() const {
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

void SetupServers::connect(Time now, Server& server, Outbox& out, bool for_news) {
  const std::uint32_t number = ++last_connection_;
  server.connecting = number;
  server.connections.insert(number);
  server.next_connect = now + kReconnectPause;
  connections_[number] = {server.id, false, now, {}, {}, {}, for_news};
  counters_.add("servers.connects");
  out.net.push_back(net::Connect{{net::Concern::server, number}, server.endpoint.address, connect_timeout_});
}

void SetupServers::on(Time now, const net::Connected& e, Outbox& out) {
  const auto it = connections_.find(e.conn.number);
  if (it == connections_.end()) return;
  it->second.up = true;
  it->second.last_received_at = now;
  Server* server = find(it->second.server);
  if (server == nullptr || server->endpoint.state == ServerState::terminated)
    return close_connection(now, e.conn.number, false, out);
  if (server->unreachable_since || server->lost_at)
    out.log(net::Level::info, "setup server " + server->endpoint.uid + " can be reached again");
  server->connect_attempted = true;
  server->connecting.reset();
  update_readiness(now);
  if (!it->second.notifications_only || !server->current) {
    if (server->current) connections_aside_.insert(*server->current);
    server->current = e.conn.number;
  } else {
    connections_aside_.insert(e.conn.number);
  }
  server->unreachable_since.reset();
  server->lost_at.reset();
  server->last_received_at = now;
  for (const AttemptKey& key : std::set<AttemptKey>(server->queued))
    send_invite(now, *server, attempts_.at(key), out);
}

void SetupServers::on(Time now, const net::ConnectFailed& e, Outbox& out) {
  const auto it = connections_.find(e.conn.number);
  if (it == connections_.end()) return;
  counters_.add(e.local     ? "servers.connects_without_descriptor"
                : e.refused ? "servers.connects_refused"
                            : "servers.connects_timed_out");
  Server* server = find(it->second.server);
  connections_.erase(it);
  if (server == nullptr) return;
  server->connections.erase(e.conn.number);
  servers_to_maintain_.insert(server->id);
  server->connect_attempted = true;
  update_readiness(now);
  server->connecting.reset();
  if (!e.local) {
    server->last_connect_refused = e.refused;
    if (!server->unreachable_since) server->unreachable_since = now;
  }
  // The open connection says nothing and no new one comes up: the machine has vanished. Set-ups on the old
  // one once hung there until their callers gave up, and new ones followed them; given up, they can go
  // elsewhere.
  if (!e.refused && !e.local && server->current && now - server->last_received_at > kSuspiciousUnanswered) {
    counters_.add("servers.connections_dead");
    out.log(net::Level::info, "setup server " + server->endpoint.uid +
                                  " is silent and takes no connection: its set-ups are given up");
    close_connection(now, *server->current, false, out);
  }
  for (const AttemptKey& key : std::set<AttemptKey>(server->queued)) {
    const auto leg = attempts_.find(key);
    core::AttemptFinished ended;
    ended.outcome = Outcome::no_connection;
    finish_attempt(leg->second, ended, out);
    erase(leg);
  }
}

void SetupServers::on(Time now, const net::Closed& e, Outbox& out) {
  const auto it = connections_.find(e.conn.number);
  if (it == connections_.end()) return;
  counters_.add("servers.connections_lost");
  Server* server = find(it->second.server);
  close_connection(now, e.conn.number, true, out);
  if (server == nullptr) return;
  if (!server->current) {
    const bool any = std::any_of(server->connections.begin(), server->connections.end(),
                                 [&](std::uint32_t number) { return connections_.at(number).up; });
    if (!any && !server->lost_at) server->lost_at = now;
  }
  maintain_server(now, *server, out);
}

// The connection is gone or is to go: its unanswered set-ups are given up by that. They are remembered: one
// may have stood there, and its release come on another connection.
void SetupServers::close_connection(Time now, std::uint32_t conn, bool closed, Outbox& out) {
  if (!closed) out.close({net::Concern::server, conn});
  const auto it = connections_.find(conn);
  if (it == connections_.end()) return;
  if (Server* server = find(it->second.server)) {
    if (server->current == conn) server->current.reset();
    if (server->connecting == conn) server->connecting.reset();
    server->connections.erase(conn);
    servers_to_maintain_.insert(server->id);
  }
  const std::set<AttemptKey> unanswered = std::move(it->second.unanswered);
  connections_.erase(it);
  for (const AttemptKey& key : unanswered) {
    UpstreamAttempt& leg = attempts_.at(key);
    core::AttemptFinished ended;
    ended.outcome = leg.state == AttemptState::sent ? Outcome::reset : Outcome::cancelled;
    finish_attempt(leg, ended, out);
    enter_state(now, leg, AttemptState::finished);
  }
}

void SetupServers::handle_malformed(Time now, std::uint32_t conn, const std::string& trouble, Outbox& out) {
  counters_.add("servers.malformed");
  malformed_warning_.line(now, "a setup server's message is refused: " + trouble, out);
  handle_corrupt_stream(now, conn, out);
}

// Whether a call stands there, or on a connection that is gone: a server tells of those on any other.
bool SetupServers::may_receive_releases(const Server& server, std::uint32_t conn) const {
  return std::any_of(server.attempts.begin(), server.attempts.end(), [&](const AttemptKey& key) {
    const UpstreamAttempt& leg = attempts_.at(key);
    return leg.state == AttemptState::established && (leg.conn == conn || !connections_.contains(leg.conn));
  });
}

void SetupServers::handle_corrupt_stream(Time now, std::uint32_t conn, Outbox& out) {
  const auto it = connections_.find(conn);
  Server* server = it == connections_.end() ? nullptr : find(it->second.server);
  const bool awaited = server != nullptr && may_receive_releases(*server, conn);
  // At once: while it was still read until the other side ended it, a server went on to tell releases on it,
  // and they were dropped.
  out.drop({net::Concern::server, conn});
  close_connection(now, conn, true, out);
  if (server == nullptr) return;
  maintain_server(now, *server, out);
  // A release that went there unread is told again on the next connection opened, and only there: with
  // another one in use already none was opened, and the caller was never told.
  if (!awaited || !server->current || server->connecting) return;
  // None is let go here to make room: a message that came on it may just be at work.
  if (connections_to(*server, true) < kMaxNotificationConnections) connect(now, *server, out, true);
}

// Keeps a server in reach, and finds out that it has vanished or died.
void SetupServers::maintain_server(Time now, Server& server, Outbox& out) {
  if (server.endpoint.state == ServerState::terminated) return;
  const bool has_calls = !server.attempts.empty();
  const bool owing = has_expected_traffic(now, server);
  const bool silent = has_calls && (now - server.last_received_at > kSuspicious || owing);
  const bool wanted = server.endpoint.state == ServerState::in_service || has_calls;
  if (wanted && !server.connecting && now >= server.next_connect &&
      (!server.current || (silent && connections_to(server, false) < kMaxConnections))) {
    connect(now, server, out);
    // One that is alive and has nothing to say is not asked all the time. One that owes may fall silent on
    // the new connection too: asked again no sooner than that, it once had releases to tell for longer than
    // the 1 s in which callers are to hear of them.
    if (server.current) server.next_connect = now + (owing ? kSuspectAgainDelay : kSuspicious);
  }
  if (has_calls && server.unreachable_since) end_calls_of_lost_server(now, server, out);
}

void SetupServers::end_calls_of_lost_server(Time now, Server& server, Outbox& out) {
  const Duration unreachable = now - *server.unreachable_since;
  const bool vanished = now - server.last_received_at > kVanished && unreachable > 2 * kSuspicious;
  const bool died = server.lost_at && server.last_connect_refused && now - *server.lost_at > kDied;
  if (!vanished && !died) return;
  counters_.add(died ? "servers.died" : "servers.vanished");
  out.log(net::Level::warning, "setup server " + server.endpoint.uid + (died ? " died" : " vanished") +
                                   ": its standing calls are over");
  end_established_calls(server, {}, out);
  server.last_received_at = now;
  server.lost_at.reset();
}

// A set-up on the server's current connection has been unanswered for longer than it takes there, and nothing
// else has come on that connection either.
bool SetupServers::has_expected_traffic(Time now, const Server& server) const {
  if (!server.current || server.unanswered.empty()) return false;
  const Duration within =
      server.answers < kAnswersKnown
          ? kSuspiciousUnanswered
          : std::clamp(server.slowest_answer * 3 / 2, kMinSuspicionTimeout, kSuspiciousUnanswered);
  if (now - server.unanswered.begin()->first <= within) return false;
  const Connection& c = connections_.at(*server.current);
  const auto oldest = oldest_unanswered(c);
  return oldest && now - *oldest > within && now - c.last_received_at > within;
}

std::optional<Time> SetupServers::oldest_unanswered(const Connection& c) const {
  std::optional<Time> oldest;
  for (const AttemptKey& key : c.unanswered) {
    const UpstreamAttempt& leg = attempts_.at(key);
    if (leg.state == AttemptState::sent && (!oldest || leg.state_since < *oldest)) oldest = leg.state_since;
  }
  return oldest;
}

std::size_t SetupServers::connections_to(const Server& server, bool for_news) const {
  return static_cast<std::size_t>(std::count_if(
      server.connections.begin(), server.connections.end(),
      [&](std::uint32_t number) { return connections_.at(number).notifications_only == for_news; }));
}

// A set-up that was given up before any of it was written has never been there.
void SetupServers::on(Time, const net::WriteWithdrawn& e, Outbox& out) {
  const auto it = connections_.find(e.conn.number);
  if (it == connections_.end()) return;
  const auto& waiting = it->second.unanswered;
  const auto key =
      std::ranges::find_if(waiting, [&](const AttemptKey& k) { return attempts_.at(k).ticket == e.ticket; });
  if (key == waiting.end()) return;
  counters_.add("servers.invites_recalled");
  const auto leg = attempts_.find(*key);
  core::AttemptFinished ended;
  ended.outcome = Outcome::not_sent;
  finish_attempt(leg->second, ended, out);
  erase(leg);
}

void SetupServers::on(Time now, const net::TimerFired&, Outbox& out) {
  out.arm(net::Concern::server, 0, now + kTick);
  update_readiness(now);
  maintain_servers(now, out);
  maintained_ += partial_reads_.size() + connections_aside_.size();
  counters_.add("servers.looked_at", std::exchange(maintained_, 0));
  while (const auto key = due_.pop_due(now)) {
    const auto it = attempts_.find(*key);
    if (it->second.state != AttemptState::abandoned) {
      erase(it);
      continue;
    }
    core::AttemptFinished ended;
    ended.outcome = Outcome::cancelled;
    finish_attempt(it->second, ended, out);
    enter_state(now, it->second, AttemptState::finished);
  }
  std::vector<std::uint32_t> stuck;
  std::erase_if(partial_reads_, [&](std::uint32_t number) {
    const auto it = connections_.find(number);
    const bool half = it != connections_.end() && it->second.partial_since;
    if (half && now - *it->second.partial_since > kMessageTimeout) stuck.push_back(number);
    return !half;
  });
  for (const std::uint32_t number : stuck) {
    counters_.add("servers.messages_cut_short");
    handle_corrupt_stream(now, number, out);
  }
  // Connections that are not the server's current one go once nothing is awaited on them.
  // What is let go is not read any more. Calls that stand on it, or on none that is open, may be told of
  // there: with no connection opened for them their releases were lost, whether it had fallen silent or not.
  std::vector<std::uint32_t> idle;
  std::vector<std::uint32_t> missed;
  for (const std::uint32_t number : std::set<std::uint32_t>(connections_aside_)) {
    const auto it = connections_.find(number);
    if (it == connections_.end()) {
      connections_aside_.erase(number);
      continue;
    }
    const Connection& c = it->second;
    const Server* server = find(c.server);
    if (!c.unanswered.empty()) continue;
    const bool told_here = server != nullptr && may_receive_releases(*server, number);
    if (c.notifications_only &&
        now - c.last_received_at < (told_here ? kWatchIdleTimeout : kWatchEventTimeout))
      continue;
    (told_here ? missed : idle).push_back(number);
  }
  for (const std::uint32_t number : idle) close_connection(now, number, false, out);
  for (const std::uint32_t number : missed) handle_corrupt_stream(now, number, out);
}

// Every server that may need it, and those that don't are not looked at again until something changes there:
// with all of a long list looked at in each tick, most of what an idle gatekeeper did was that.
void SetupServers::maintain_servers(Time now, Outbox& out) {
  maintained_ += servers_to_maintain_.size();
  for (const ServerId id : std::vector<ServerId>(servers_to_maintain_.begin(), servers_to_maintain_.end())) {
    Server& server = servers_.at(id);
    maintain_server(now, server, out);
    if (server.endpoint.state == ServerState::terminated || (server.current && server.attempts.empty()))
      servers_to_maintain_.erase(id);
  }
}

// Standing calls that a server can have no more: all of them, or those that stood before it started anew.
void SetupServers::end_established_calls(Server& server, std::optional<Time> stood_before, Outbox& out) {
  for (const AttemptKey& key : std::set<AttemptKey>(server.attempts)) {
    const auto it = attempts_.find(key);
    const UpstreamAttempt& leg = it->second;
    if (leg.state != AttemptState::established || (stood_before && leg.state_since >= *stood_before))
      continue;
    core::AttemptFinished ended;
    ended.outcome = Outcome::reset;
    ended.cause = kCut;
    finish_attempt(leg, ended, out);
    erase(it);
  }
}

// ---- legs and where they are found

// Puts a leg into what it is found by, or takes it out. Every state that has an end of its own is in `due_`.
void SetupServers::index(const UpstreamAttempt& leg, bool in) {
  const AttemptKey key = leg.key();
  const auto put = [in](auto& set, const auto& value) {
    in ? void(set.insert(value)) : void(set.erase(value));
  };
  if (Server* server = find(leg.server)) {
    if (leg.state == AttemptState::queued) put(server->queued, key);
    if (leg.state == AttemptState::sent) put(server->unanswered, std::pair(leg.state_since, key));
  }
  if (const auto it = connections_.find(leg.conn); it != connections_.end() && leg.unanswered())
    put(it->second.unanswered, key);
  const bool ends = leg.state == AttemptState::abandoned || leg.state == AttemptState::finished;
  if (!in) {
    due_.clear(key);
  } else if (ends) {
    // Past the span, not at it.
    due_.set(key, leg.state_since +
                      (leg.state == AttemptState::finished ? kFinishedRetention : kAbandonTimeout) + 1ns);
  }
}

void SetupServers::enter_state(Time now, UpstreamAttempt& leg, AttemptState state) {
  index(leg, false);
  leg.state = state;
  leg.state_since = now;
  index(leg, true);
}

void SetupServers::erase(Attempts::iterator leg) {
  index(leg->second, false);
  if (Server* server = find(leg->second.server)) server->attempts.erase(leg->first);
  const auto [first, last] = by_correlation_id_.equal_range(leg->second.request->correlation_id);
  for (auto it = first; it != last; ++it) {
    if (it->second != leg->first) continue;
    by_correlation_id_.erase(it);
    break;
  }
  attempts_.erase(leg);
}

// ---- the broker's effects

void SetupServers::apply(Time now, const core::StartAttempt& e, Outbox& out) {
  Server* server = find(e.server);
  if (server == nullptr) return;
  const AttemptKey key{e.request->call, e.attempt};
  const auto [it, fresh] = attempts_.try_emplace(
      key, UpstreamAttempt{e.request, e.attempt, e.server, 0, AttemptState::queued, e.deadline, now});
  if (!fresh) return;
  by_correlation_id_.emplace(e.request->correlation_id, key);
  server->attempts.insert(key);
  servers_to_maintain_.insert(server->id);
  index(it->second, true);
  if (server->current) return send_invite(now, *server, it->second, out);
  if (!server->connecting) connect(now, *server, out);
}

void SetupServers::send_invite(Time now, Server& server, UpstreamAttempt& leg, Outbox& out) {
  // It may have begun to drain while the connection was made.
  if (server.endpoint.state != ServerState::in_service || now >= leg.deadline) {
    core::AttemptFinished ended;
    ended.outcome = Outcome::not_sent;
    finish_attempt(leg, ended, out);
    return enter_state(now, leg, AttemptState::finished);
  }
  index(leg, false);
  leg.conn = *server.current;
  index(leg, true);
  enter_state(now, leg, AttemptState::sent);
  const core::Request& r = *leg.request;
  sip::Message m = request("INVITE", r.number_text, r.correlation_id, leg.attempt + 1);
  m.add("Priority-Class", r.class_name);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(leg.deadline - now).count();
  m.add("Expires-Ms", std::to_string(std::max<std::int64_t>(1, left)));
  m.body = r.description;
  counters_.add("servers.invites");
  leg.ticket = ++last_ticket_;
  out.send_counted({net::Concern::server, leg.conn}, m.text(), leg.ticket);
}

void SetupServers::apply(Time now, const core::AbandonAttempt& e, Outbox& out) {
  const auto it = attempts_.find({e.request->call, e.attempt});
  if (it == attempts_.end()) return;
  UpstreamAttempt& leg = it->second;
  if (leg.state == AttemptState::queued) {
    core::AttemptFinished ended;
    ended.outcome = Outcome::not_sent;
    finish_attempt(leg, ended, out);
    erase(it);
  } else if (leg.state == AttemptState::sent) {
    enter_state(now, leg, AttemptState::abandoned);
    counters_.add("servers.cancels");
    // Its connection is open: with one that is let go its set-ups are over. Where the server reads nothing
    // the INVITE may not be written yet, and is not to come when it reads again.
    const sip::Message cancel =
        request("CANCEL", leg.request->number_text, leg.request->correlation_id, leg.attempt + 1);
    out.withdraw_send({net::Concern::server, leg.conn}, leg.ticket, cancel.text());
  }
}

void SetupServers::apply(Time now, const core::ReleaseServer& e, Outbox& out) {
  const auto it = attempts_.find({e.request->call, e.attempt});
  if (it == attempts_.end() || it->second.state != AttemptState::established) return;
  UpstreamAttempt& leg = it->second;
  sip::Message m = request("BYE", leg.request->number_text, leg.request->correlation_id, leg.attempt + 2);
  m.add("Reason", "Q.850;cause=" + std::to_string(e.cause));
  counters_.add("servers.byes_out");
  send(leg, m, out);
  enter_state(now, leg, AttemptState::finished);
}

// On the leg's own connection, or the server's current one.
void SetupServers::send(UpstreamAttempt& leg, const sip::Message& m, Outbox& out) {
  if (!connections_.contains(leg.conn)) {
    const Server* server = find(leg.server);
    if (server == nullptr || !server->current) return;
    leg.conn = *server->current;
  }
  out.send({net::Concern::server, leg.conn}, m.text());
}

// ---- what servers send

void SetupServers::on(Time now, const net::Received& e, Outbox& out) {
  std::size_t used = 0;
  while (used < e.bytes.size()) {
    const auto it = connections_.find(e.conn.number);
    if (it == connections_.end()) return;
    it->second.last_received_at = now;
    if (Server* server = find(it->second.server)) {
      server->last_received_at = now;
      server->unreachable_since.reset();
    }
    const sip::ReadResult read = sip::read_stream(e.bytes.substr(used));
    used += read.used;
    if (read.state == sip::ReadState::more) {
      if (!it->second.partial_since) it->second.partial_since = now;
      partial_reads_.insert(e.conn.number);
      break;
    }
    it->second.partial_since.reset();
    const std::string trouble = describe_malformed(read);
    // What follows it is spoilt: that one says nothing against it, unless its body may be cut short by it. A
    // release just ahead of noise in the same read was once refused with it, and its caller never told.
    const bool sound = read.complete && !has_description(read.message);
    if (!trouble.empty() && !sound) {
      // Whatever is spoilt, nothing more comes on that connection: kept in use where the next message could
      // have been found, it once took set-ups for seconds that were never answered.
      return handle_malformed(now, e.conn.number, trouble, out);
    }
    if (read.message.is_request()) {
      requested(now, e.conn.number, read.message, out);
    } else {
      answered(now, e.conn.number, read.message, out);
    }
    if (!connections_.contains(e.conn.number)) return;
    if (sound) return handle_malformed(now, e.conn.number, "what follows a message can't begin one", out);
  }
  out.net.push_back(net::Consume{e.conn, used});
}

// An answer by which a call stands: callers are told what it holds.
bool SetupServers::has_description(const sip::Message& m) {
  const auto cseq = sip::cseq_of(m);
  return !m.is_request() && m.status >= 200 && m.status < 300 && (!cseq || cseq->method == "INVITE");
}

// What makes a message one that can't be read.
std::string SetupServers::describe_malformed(const sip::ReadResult& read) {
  if (read.state == sip::ReadState::malformed) return read.error;
  const sip::Message& m = read.message;
  if (!m.is_request() && !sip::cseq_of(m)) return "an answer has no CSeq";
  if (!m.is_request() && m.header("Call-ID").empty()) return "an answer has no Call-ID";
  return {};
}

// Of the call's attempts at this server the latest; for a BYE the one that stands, for an answer one whose
// set-up went by this connection. Answers are matched on Call-ID and the method in CSeq: its number is the
// server's own. Taken for that of an attempt, the answer to a second one at the same server was once laid to
// the first, and the call hung until its deadline.
SetupServers::Attempts::iterator SetupServers::attempt_of(std::uint32_t conn, const sip::Message& m) {
  const ServerId server = connections_.at(conn).server;
  const auto fits = [&](const UpstreamAttempt& leg) {
    return m.is_request() ? leg.state == AttemptState::established : leg.conn == conn;
  };
  auto found = attempts_.end();
  const auto [first, last] = by_correlation_id_.equal_range(std::string(m.header("Call-ID")));
  for (auto label = first; label != last; ++label) {
    const auto it = attempts_.find(label->second);
    const UpstreamAttempt& leg = it->second;
    if (leg.server != server || leg.state == AttemptState::queued) continue;
    const auto rank = [&](const Attempts::iterator& l) { return std::pair(fits(l->second), l->first); };
    if (found == attempts_.end() || rank(it) > rank(found)) found = it;
  }
  return found;
}

void SetupServers::answered(Time now, std::uint32_t conn, const sip::Message& m, Outbox& out) {
  const LoadReport report = report_of(m);
  const auto cseq = sip::cseq_of(m);
  if (!cseq || cseq->method != "INVITE" || m.status < 200) {
    if (cseq && cseq->method == "OPTIONS")
      out.notify_broker(core::LoadReportReceived{connections_.at(conn).server, report});
    return;
  }
  const auto it = attempt_of(conn, m);
  if (it == attempts_.end()) {
    counters_.add("servers.answers_unknown");
    return;
  }
  UpstreamAttempt& leg = it->second;
  // Only what is to be passed on is looked at so closely: an answer under an unknown id may hold anything,
  // and its connection is good.
  if (m.status < 300 && leg.state == AttemptState::sent && !can_be_passed_on(m.body)) {
    handle_malformed(now, conn, "a description is not text", out);
    return;
  }
  const int cseq_number = leg.attempt + 1;
  send(leg, request("ACK", leg.request->number_text, leg.request->correlation_id, cseq_number), out);
  core::AttemptFinished ended;
  ended.report = report;
  if (leg.state == AttemptState::sent) record_answer(now, conn, leg.state_since, out);
  if (m.status < 300) {
    counters_.add("servers.answers");
    if (leg.state == AttemptState::sent) {
      enter_state(now, leg, AttemptState::established);
      out.notify_broker(core::LoadReportReceived{leg.server, report});
      out.notify_broker(core::AttemptEstablished{leg.request->call, leg.attempt, m.body});
    } else if (leg.state == AttemptState::abandoned || leg.state == AttemptState::finished) {
      // The success crossed our CANCEL: the call must not go on at the server.
      counters_.add("servers.crossed");
      sip::Message bye =
          request("BYE", leg.request->number_text, leg.request->correlation_id, cseq_number + 1);
      bye.add("Reason", "Q.850;cause=16");
      send(leg, bye, out);
      if (leg.state == AttemptState::abandoned) {
        ended.outcome = Outcome::cancelled;
        ended.late_success = true;
        finish_attempt(leg, ended, out);
      }
      enter_state(now, leg, AttemptState::finished);
    }
    return;
  }
  counters_.add("servers.refusals." + std::to_string(m.status));
  if (leg.state == AttemptState::sent || leg.state == AttemptState::abandoned) {
    ended.outcome = leg.state == AttemptState::abandoned ? Outcome::cancelled : outcome_of(m.status);
    read_rejection(m, ended);
    // What is busy is the number, wherever it is tried; any other error may be the server's own.
    if (m.status == 486 && ended.reason == FullReason::none) ended.reason = FullReason::number_busy;
    finish_attempt(leg, ended, out);
  }
  if (leg.state != AttemptState::established) erase(it);
}

void SetupServers::requested(Time now, std::uint32_t conn, const sip::Message& m, Outbox& out) {
  if (m.method == "NOTIFY") {
    counters_.add("servers.notifies");
    record_notification(now, conn, out);
    out.notify_broker(core::LoadReportReceived{connections_.at(conn).server, report_of(m)});
    return;
  }
  if (m.method == "ACK" || m.method == "CANCEL") return;
  sip::Message answer;
  answer.status = m.method == "BYE" || m.method == "OPTIONS" ? 200 : 501;
  answer.phrase = answer.status == 200 ? "OK" : "Not Implemented";
  for (const std::string_view via : m.all("Via")) answer.add("Via", std::string(via));
  answer.add("Call-ID", std::string(m.header("Call-ID")));
  answer.add("CSeq", std::string(m.header("CSeq")));
  out.send({net::Concern::server, conn}, answer.text());
  if (m.method != "BYE") return;
  counters_.add("servers.byes_in");
  const int cause = cause_in(m.header("Reason"));
  const LoadReport report = report_of(m);
  const auto it = attempt_of(conn, m);
  const bool open =
      it != attempts_.end() && (it->second.state == AttemptState::established || it->second.unanswered());
  if (!open) {
    out.notify_broker(core::ServerReleased{std::string(m.header("Call-ID")), cause, it != attempts_.end()});
    return;
  }
  UpstreamAttempt& leg = it->second;
  core::AttemptFinished ended;
  ended.outcome = cause == kNormal ? Outcome::ok : Outcome::reset;
  if (leg.unanswered()) {
    // It stood and is over, and its answer was lost on the way. The callee has been rung: there is no second
    // try.
    counters_.add("servers.answers_lost");
    ended.outcome = Outcome::reset;
    ended.late_success = true;
  }
  ended.cause = cause;
  ended.report = report;
  finish_attempt(leg, ended, out);
  enter_state(now, leg, AttemptState::finished);  // its release may come again on another connection
}

// A server tells its state on all its connections at once. One that has not heard it while another has is
// dead, though it stays open: its set-ups once hung there until their callers gave up.
void SetupServers::record_notification(Time now, std::uint32_t conn, Outbox& out) {
  Connection& c = connections_.at(conn);
  Server* server = find(c.server);
  if (server == nullptr) return;
  if (c.last_notified_at)
    server->notification_interval =
        std::max(now - *c.last_notified_at, server->notification_interval * 9 / 10);
  c.last_notified_at = now;
  if (server->notification_interval == Duration{}) return;
  const Duration silence =
      server->notification_interval + server->notification_interval / 4 + kNotificationSlack;
  std::vector<std::uint32_t> deaf;
  maintained_ += server->connections.size();
  for (const std::uint32_t number : server->connections) {
    const Connection& other = connections_.at(number);
    if (number != conn && other.up && now - other.last_received_at > silence) deaf.push_back(number);
  }
  close_half_open(now, *server, deaf, out);
}

// Set-ups are worked on in turn, whichever connection they came by. One that answers a set-up sent well after
// those that another owes, and has said nothing since, tells that the other is dead.
void SetupServers::record_answer(Time now, std::uint32_t conn, Time sent, Outbox& out) {
  Server* server = find(connections_.at(conn).server);
  if (server == nullptr) return;
  server->slowest_answer = std::max(now - sent, server->slowest_answer - server->slowest_answer / 16);
  server->answers = std::min(server->answers + 1, kAnswersKnown);
  std::vector<std::uint32_t> deaf;
  maintained_ += server->connections.size();
  for (const std::uint32_t number : server->connections) {
    const Connection& other = connections_.at(number);
    // One set-up may have been lost by itself.
    if (number == conn || !other.up || other.unanswered.size() < 2) continue;
    const auto oldest = oldest_unanswered(other);
    if (oldest && std::max(*oldest, other.last_received_at) + kOvertaken < sent) deaf.push_back(number);
  }
  close_half_open(now, *server, deaf, out);
}

void SetupServers::close_half_open(Time now, const Server& server, const std::vector<std::uint32_t>& deaf,
                                   Outbox& out) {
  for (const std::uint32_t number : deaf) {
    counters_.add("servers.connections_deaf");
    out.log(net::Level::info,
            "a connection to setup server " + server.endpoint.uid + " is dead: it is closed");
    handle_corrupt_stream(now, number, out);
  }
}

void SetupServers::finish_attempt(const UpstreamAttempt& leg, core::AttemptFinished ended, Outbox& out) {
  ended.call = leg.request->call;
  ended.attempt = leg.attempt;
  out.notify_broker(ended);
}

SetupServers::Server* SetupServers::find(ServerId id) {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

}  // namespace graniterun::upstream
