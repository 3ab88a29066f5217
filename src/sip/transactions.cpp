#include "sip/transactions.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

#include "codec/fnv1a.h"

namespace graniterun::sip {
namespace {

// Bound on all server transactions. The transaction user answers each request at once, except for INVITEs
// that become calls, which have a bound of their own: it is not reached.
constexpr std::size_t kMaxServerTransactions = 50000;
// Bounds on the finished server transactions that are retained to absorb repeats.
constexpr std::size_t kMaxFinishedTransactions = 20000;
constexpr std::size_t kMaxFinishedBytes = std::size_t{16} * 1024 * 1024;

std::string_view top_via(const Message& message) {
  const std::string_view via = message.header("Via");
  return via.substr(0, via.find(','));
}

std::string_view sent_by(std::string_view via) {
  const std::size_t space = via.find_first_of(" \t");
  return space == std::string_view::npos
             ? std::string_view{}
             : trim(trim(via.substr(space)).substr(0, trim(via.substr(space)).find(';')));
}

// The key of a server transaction (§17.2.3). Requests of RFC 2543 have no branch cookie and are matched by
// Call-ID, From tag, CSeq and top Via.
std::string server_key(const Message& request, std::string_view method) {
  const std::string_view via = top_via(request);
  const std::string_view branch = parameter(via, "branch");
  const std::string_view invite_or_method = method == "ACK" ? "INVITE" : method;
  std::string key;
  if (branch.starts_with(kBranchCookie)) {
    key.append(branch).append("|").append(sent_by(via));
  } else {
    const auto cseq = cseq_of(request);
    key.append(request.header("Call-ID")).append("|").append(parameter(request.header("From"), "tag"));
    key.append("|").append(std::to_string(cseq ? cseq->number : 0)).append("|").append(via);
  }
  return key.append("|").append(invite_or_method);
}

std::string client_key(const Message& message) {
  const auto cseq = cseq_of(message);
  return std::string(parameter(top_via(message), "branch")).append("|").append(cseq ? cseq->method : "");
}

}  // namespace

std::string_view phrase_of(int status) {
  switch (status) {
    case 100:
      return "Trying";
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 405:
      return "Method Not Allowed";
    case 406:
      return "Not Acceptable";
    case 415:
      return "Unsupported Media Type";
    case 416:
      return "Unsupported URI Scheme";
    case 420:
      return "Bad Extension";
    case 423:
      return "Interval Too Brief";
    case 480:
      return "Temporarily Unavailable";
    case 481:
      return "Call/Transaction Does Not Exist";
    case 482:
      return "Loop Detected";
    case 483:
      return "Too Many Hops";
    case 486:
      return "Busy Here";
    case 487:
      return "Request Terminated";
    case 488:
      return "Not Acceptable Here";
    case 489:
      return "Bad Event";
    case 491:
      return "Request Pending";
    case 500:
      return "Server Internal Error";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    default:
      return "Unknown";
  }
}

Message answer_to(const Message& request, int status, std::string_view phrase, std::string_view tag) {
  Message message;
  message.status = status;
  message.phrase = phrase;
  for (const std::string_view via : request.header_values("Via")) message.add("Via", std::string(via));
  message.add("From", std::string(request.header("From")));
  std::string to(request.header("To"));
  if (status > 100 && !tag.empty() && parameter(to, "tag").empty()) to.append(";tag=").append(tag);
  message.add("To", std::move(to));
  message.add("Call-ID", std::string(request.header("Call-ID")));
  message.add("CSeq", std::string(request.header("CSeq")));
  return message;
}

std::string stateless_tag(std::string_view key) {
  char text[17];
  std::snprintf(text, sizeof text, "%016" PRIx64, fnv1a(key));
  return text;
}

// ---- timers

void Transactions::arm(Time now, bool server, const std::string& key, Transaction& transaction, Kind kind,
                       Duration after, Outbox& out) {
  timers_.emplace(++last_timer_, Timer{server, key, kind});
  transaction.timers[kind] = last_timer_;
  out.arm(concern_, last_timer_, now + after);
}

// Sends the last message again and doubles the retransmission interval, up to T2 except for a client's
// INVITE.
void Transactions::retransmit(Time now, bool server, const std::string& key, Transaction& transaction,
                              Outbox& out) {
  counters_.add("sip.resent");
  transport_.send(transaction.flow, transaction.sent, out);
  transaction.retransmit_interval = !server && transaction.invite
                                        ? transaction.retransmit_interval * 2
                                        : std::min(transaction.retransmit_interval * 2, kT2);
  arm(now, server, key, transaction, Kind::retransmit, transaction.retransmit_interval, out);
}

std::vector<TimerExpiry> Transactions::handle_timer(Time now, std::uint64_t number, Outbox& out) {
  const auto it = timers_.find(number);
  if (it == timers_.end()) return {};
  const Timer timer = it->second;
  timers_.erase(it);
  std::optional<TimerExpiry> expiry = timer.server ? server_timer_fired(now, number, timer, out)
                                                   : client_timer_fired(now, number, timer, out);
  if (!expiry) return {};
  return {std::move(*expiry)};
}

void Transactions::disarm(Transaction& transaction, Kind kind) {
  const auto armed = transaction.timers.find(kind);
  if (armed == transaction.timers.end()) return;
  timers_.erase(armed->second);
  transaction.timers.erase(armed);
}

// Whether the timer is the last one armed of its kind; earlier ones are ignored.
bool Transactions::is_armed(const Transaction& transaction, Kind kind, std::uint64_t number) {
  const auto armed = transaction.timers.find(kind);
  return armed != transaction.timers.end() && armed->second == number;
}

std::optional<TimerExpiry> Transactions::server_timer_fired(Time now, std::uint64_t number,
                                                            const Timer& timer, Outbox& out) {
  const auto found = servers_.find(timer.key);
  if (found == servers_.end() || !is_armed(found->second, timer.kind, number)) return std::nullopt;
  Server& server = found->second;
  if (timer.kind == Kind::retransmit) {  // timer G, or a 2xx that was not acknowledged
    if (server.state == State::completed || server.state == State::accepted)
      retransmit(now, true, timer.key, server, out);
    return std::nullopt;
  }
  forget_server(found);  // timers H, I, J, L
  if (timer.kind != Kind::timeout) return std::nullopt;
  return TimerExpiry{TimerExpiry::Kind::no_ack, timer.key};  // timer H
}

std::optional<TimerExpiry> Transactions::client_timer_fired(Time now, std::uint64_t number,
                                                            const Timer& timer, Outbox& out) {
  const auto found = clients_.find(timer.key);
  if (found == clients_.end() || !is_armed(found->second, timer.kind, number)) return std::nullopt;
  Client& client = found->second;
  const bool waiting = client.state == State::trying || (!client.invite && client.state == State::proceeding);
  if (timer.kind == Kind::retransmit) {  // timers A and E
    if (waiting) retransmit(now, false, timer.key, client, out);
    return std::nullopt;
  }
  if (timer.kind == Kind::timeout) {  // timers B and F
    if (!waiting) return std::nullopt;
    clients_.erase(found);
    return TimerExpiry{TimerExpiry::Kind::no_answer, timer.key};
  }
  clients_.erase(found);  // timers D, K and M
  return std::nullopt;
}

// ---- server side

Transactions::RequestKind Transactions::receive_request(Time now, const Flow& flow, const Message& request,
                                                        std::string& key, Outbox& out) {
  key = server_key(request, request.method);
  const auto it = servers_.find(key);
  if (request.method == "ACK") {
    if (it == servers_.end() || it->second.state == State::accepted) return RequestKind::ack;
    Server& server = it->second;
    if (server.state == State::completed) {
      server.state = State::confirmed;
      disarm(server, Kind::retransmit);
      disarm(server, Kind::timeout);
      arm(now, true, key, server, Kind::end, server.flow.reliable ? Duration{} : kT4, out);  // timer I
    }
    return RequestKind::absorbed;
  }
  if (it != servers_.end()) {
    // A retransmission gets the same response and starts no second transaction.
    counters_.add("sip.repeats_absorbed");
    const Server& server = it->second;
    if (!server.sent.empty() && server.state != State::confirmed)
      transport_.send(server.flow, server.sent, out);
    return RequestKind::absorbed;
  }
  if (servers_.size() >= kMaxServerTransactions) {
    counters_.add("sip.requests_dropped");
    return RequestKind::absorbed;
  }
  Server server;
  server.flow = flow;
  server.invite = request.method == "INVITE";
  server.state = server.invite ? State::proceeding : State::trying;
  server.request = request;
  servers_.emplace(key, std::move(server));
  return RequestKind::initial;
}

void Transactions::respond(Time now, const std::string& key, const Message& answer, Outbox& out) {
  const auto it = servers_.find(key);
  if (it == servers_.end() || it->second.final_sent) return;
  Server& server = it->second;
  server.sent = answer.text();
  transport_.send(server.flow, server.sent, out);
  if (answer.status < 200) {
    server.state = State::proceeding;
    return;
  }
  server.final_sent = true;
  server.request = {};
  if (!server.invite) {
    server.state = State::completed;
    arm(now, true, key, server, Kind::end, server.flow.reliable ? Duration{} : k64T1, out);  // timer J
    return retain_finished(it);
  }
  server.retransmit_interval = kT1;
  if (answer.status < 300) {
    // Retransmitted until the ACK comes, over TCP as well (§13.3.1.4).
    server.state = State::accepted;
    arm(now, true, key, server, Kind::retransmit, server.retransmit_interval, out);
  } else {
    server.state = State::completed;
    if (!server.flow.reliable)
      arm(now, true, key, server, Kind::retransmit, server.retransmit_interval, out);  // timer G
  }
  arm(now, true, key, server, Kind::timeout, k64T1, out);  // timer H
  // A 2xx without an ACK is retransmitted: its transaction belongs to a call until then.
  if (answer.status >= 300) retain_finished(it);
}

void Transactions::respond_without_state(const std::string& key, const Message& answer, Outbox& out) {
  const auto it = servers_.find(key);
  if (it == servers_.end() || it->second.final_sent) return;
  counters_.add("sip.answered_without_state");
  transport_.send(it->second.flow, answer.text(), out);
  forget_server(it);
}

// Puts a transaction that only absorbs repeats behind the others, and forgets the first ones beyond the
// bounds.
void Transactions::retain_finished(Servers::iterator server) {
  Server& finished = server->second;
  finished.finished_number = ++last_finished_;
  finished.finished_bytes = 2 * server->first.size() + finished.sent.size();
  finished_.emplace(finished.finished_number, server->first);
  finished_bytes_ += finished.finished_bytes;
  while (finished_.size() > kMaxFinishedTransactions || finished_bytes_ > kMaxFinishedBytes) {
    counters_.add("sip.transactions_forgotten_early");
    forget_server(servers_.find(finished_.begin()->second));
  }
}

void Transactions::forget_server(Servers::iterator server) {
  for (const auto& [kind, number] : server->second.timers) timers_.erase(number);
  if (finished_.erase(server->second.finished_number) > 0) finished_bytes_ -= server->second.finished_bytes;
  servers_.erase(server);
}

void Transactions::handle_ack_to_2xx(Time now, const std::string& key, Outbox& out) {
  const auto it = servers_.find(key);
  if (it == servers_.end() || it->second.state != State::accepted) return;
  Server& server = it->second;
  if (!server.timers.contains(Kind::timeout)) return;  // acknowledged before
  disarm(server, Kind::retransmit);
  disarm(server, Kind::timeout);
  arm(now, true, key, server, Kind::end, k64T1, out);  // timer L
  retain_finished(it);
}

const Message* Transactions::request_of(const std::string& key) const {
  const auto it = servers_.find(key);
  return it == servers_.end() ? nullptr : &it->second.request;
}

bool Transactions::has_final(const std::string& key) const {
  const auto it = servers_.find(key);
  return it != servers_.end() && it->second.final_sent;
}

std::string Transactions::find_cancelled_invite(const Message& cancel) const {
  std::string key = server_key(cancel, "INVITE");
  return servers_.contains(key) ? key : std::string();
}

// ---- client side

std::string Transactions::send_request(Time now, const Flow& flow, const Message& request, Outbox& out,
                                       std::uint64_t ticket) {
  std::string key = client_key(request);
  Client client;
  client.flow = flow;
  client.invite = request.method == "INVITE";
  client.state = State::trying;
  client.request = request;
  client.sent = request.text();
  client.retransmit_interval = kT1;
  transport_.send(flow, client.sent, out, ticket);
  if (!flow.reliable)
    arm(now, false, key, client, Kind::retransmit, client.retransmit_interval, out);  // timers A and E
  arm(now, false, key, client, Kind::timeout, k64T1, out);                            // timers B and F
  clients_.insert_or_assign(key, std::move(client));
  return key;
}

std::string Transactions::receive_response(Time now, const Message& answer, Outbox& out) {
  std::string key = client_key(answer);
  const auto it = clients_.find(key);
  if (it == clients_.end()) {
    counters_.add("sip.answers_unknown");
    return {};
  }
  Client& client = it->second;
  if (answer.status < 200) {
    if (client.state == State::trying) client.state = State::proceeding;
    return client.state == State::proceeding ? key : std::string();
  }
  if (!client.invite) {
    if (client.state == State::completed) return {};
    client.state = State::completed;
    arm(now, false, key, client, Kind::end, client.flow.reliable ? Duration{} : kT4, out);  // timer K
    return key;
  }
  if (answer.status < 300) {
    if (client.state == State::completed) return {};
    if (client.state != State::accepted) arm(now, false, key, client, Kind::end, k64T1, out);  // timer M
    client.state = State::accepted;
    return key;  // repeats as well: the transaction user acknowledges each
  }
  if (client.state == State::accepted) return {};
  ack_failure(client, answer, out);
  if (client.state == State::completed) return {};
  client.state = State::completed;
  arm(now, false, key, client, Kind::end, client.flow.reliable ? Duration{} : k64T1, out);  // timer D
  return key;
}

std::size_t Transactions::pending_byes() const {
  return static_cast<std::size_t>(std::ranges::count_if(clients_, [](const auto& entry) {
    return entry.second.request.method == "BYE" && entry.second.state != State::completed;
  }));
}

void Transactions::stop_retransmitting(const Message& request) {
  if (const auto it = clients_.find(client_key(request)); it != clients_.end())
    it->second.timers.erase(Kind::retransmit);
}

// Sends the ACK to a non-2xx final response, with the branch of the INVITE (§17.1.1.3).
void Transactions::ack_failure(Client& client, const Message& answer, Outbox& out) {
  Message ack;
  ack.method = "ACK";
  ack.uri = client.request.uri;
  ack.add("Via", std::string(client.request.header("Via")));
  ack.add("Max-Forwards", "70");
  for (const std::string_view route : client.request.header_values("Route"))
    ack.add("Route", std::string(route));
  ack.add("From", std::string(client.request.header("From")));
  ack.add("To", std::string(answer.header("To")));
  ack.add("Call-ID", std::string(client.request.header("Call-ID")));
  const auto cseq = cseq_of(client.request);
  ack.add("CSeq", std::to_string(cseq ? cseq->number : 0) + " ACK");
  transport_.send(client.flow, ack.text(), out);
}

}  // namespace graniterun::sip
