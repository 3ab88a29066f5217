#include "upstream/sip_trunk.h"

#include "upstream/setup_servers.h"

namespace graniterun::upstream {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTick = 50ms;
constexpr std::uint64_t kTickTimer = ~std::uint64_t{0} >> 1;  // apart from those of the transactions
// So long the end of an attempt that was given up is awaited before the call may go on elsewhere.
constexpr Duration kAbandonTimeout = 120ms;
// A leg that is over is kept for what comes late: a success after that would be a repeat of 64 T1 ago.
constexpr Duration kFinishedRetention = 2 * sip::k64T1;
constexpr int kNormal = 16;
// By so much a deadline that is passed on may lie behind the caller's.
constexpr std::chrono::milliseconds kExpiresSlack{150};

// Tells a server how long the caller still waits. Expires counts whole seconds: rounded up it once gave a
// server up to a second more than the caller had. Where not one second is left it is not written at all; then
// the CANCEL at the deadline ends the attempt.
void put_time_left(sip::Message& m, Duration time_left) {
  const auto left =
      std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::milliseconds>(time_left).count());
  const auto seconds = (left + kExpiresSlack.count()) / 1000;
  const auto put = [&m](std::string_view name, const std::string& value) {
    for (auto& [known, old] : m.headers) {
      if (known == name) {
        old = value;
        return;
      }
    }
    m.add(std::string(name), value);
  };
  if (seconds > 0) {
    put("Expires", std::to_string(seconds));
  } else {
    std::erase_if(m.headers, [](const auto& header) { return header.first == "Expires"; });
  }
  put("Expires-Ms", std::to_string(left));
}

core::AttemptFinished ended_as(Outcome outcome) {
  core::AttemptFinished ended;
  ended.outcome = outcome;
  return ended;
}

Outcome outcome_of(int status) {
  switch (status) {
    case 503:
      return Outcome::full;
    case 408:
      return Outcome::timed_out;
    case 487:
      return Outcome::cancelled;
    case 504:
      return Outcome::reset;
    default:
      return Outcome::busy_or_fault;
  }
}

}  // namespace

SipTrunk::SipTrunk(SipTrunkSettings settings, std::vector<std::string> areas, Counters& counters)
    : settings_(std::move(settings)),
      counters_(counters),
      directory_(std::move(areas)),
      transport_(net::Concern::trunk, counters),
      transactions_(net::Concern::trunk, transport_, counters),
      ids_(settings_.seed * 3 + 1) {}

void SipTrunk::start(Time now, Outbox& out) {
  if (settings_.reliable) {
    out.net.push_back(net::Listen{net::Concern::trunk, settings_.address});
  } else {
    out.net.push_back(net::Bind{net::Concern::trunk, settings_.address});
  }
  out.arm(net::Concern::trunk, kTickTimer, now + kTick);
}

void SipTrunk::handle_endpoints(Time now, const EndpointList& list, ListKind kind, Outbox& out) {
  ServerList told;
  told.kind = kind;
  if (kind != ListKind::changes) {
    for (auto& [id, host] : endpoints_) host.state = ServerState::terminated;
  }
  for (const Endpoint& host : list.endpoints) {
    const ServerId id = directory_.id_of(host.uid);
    const auto [known, fresh] = endpoints_.try_emplace(id, host);
    if (!fresh && host.started && known->second.started != host.started)
      end_established_calls(now, id, host.started, out);
    known->second = host;
    told.entries.push_back(directory_.entry_of(id, host));
  }
  out.notify_broker(core::ServersChanged{std::move(told)});
  for (const auto& [id, host] : endpoints_) {
    if (host.state == ServerState::terminated) end_established_calls(now, id, {}, out);
  }
  // What is not written yet is not to reach a server that is to get nothing new.
  if (!settings_.reliable) return;
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    const auto leg = it++;
    if (leg->second.state == State::calling && !leg->second.provisional &&
        endpoints_.at(leg->second.server).state != ServerState::in_service)
      withdraw_invite(now, leg, out);
  }
}

std::size_t SipTrunk::listed() const {
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& h) {
    return h.second.state != ServerState::terminated;
  }));
}

bool SipTrunk::ready() const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [](const auto& h) { return h.second.state == ServerState::in_service; });
}

const std::string& SipTrunk::name_of(ServerId server) const {
  static const std::string kUnknown = "unknown";
  const auto it = endpoints_.find(server);
  return it == endpoints_.end() ? kUnknown : it->second.uid;
}

// ---- the runtime's events

void SipTrunk::on(Time, const net::Accepted& e, Outbox&) { transport_.accepted(e.conn.number); }
void SipTrunk::on(Time now, const net::Connected& e, Outbox& out) {
  transport_.connected(e.conn.number, out, [this, now](std::uint64_t ticket, std::string text) {
    return with_time_left(now, ticket, std::move(text));
  });
}

// The text of an INVITE that waited for its connection, with the time that its caller waits from now on.
std::string SipTrunk::with_time_left(Time now, std::uint64_t ticket, std::string text) {
  for (auto& [call_id, leg] : attempts_) {
    if (leg.ticket != ticket) continue;
    put_time_left(leg.invite, leg.deadline - now);
    return leg.invite.text();
  }
  return text;
}

void SipTrunk::on(Time now, const net::ConnectFailed& e, Outbox& out) {
  const std::string peer = transport_.connect_failed(e.conn.number);
  for (auto& [id, leg] : attempts_) {
    if (leg.flow.peer == peer && !leg.provisional)
      finish_attempt(now, leg, ended_as(Outcome::no_connection), out);
  }
}

void SipTrunk::on(Time now, const net::Closed& e, Outbox& out) {
  const std::string peer = transport_.closed(e.conn.number);
  for (auto& [id, leg] : attempts_) {
    if (!peer.empty() && leg.flow.peer == peer) finish_attempt(now, leg, ended_as(Outcome::reset), out);
  }
}

void SipTrunk::on(Time now, const net::Received& e, Outbox& out) {
  for (sip::Incoming& incoming : transport_.received(e, out)) handle_message(now, std::move(incoming), out);
}

void SipTrunk::on(Time now, const net::Datagram& e, Outbox& out) {
  handle_message(now, transport_.datagram(e), out);
}

void SipTrunk::on(Time now, const net::TimerFired& e, Outbox& out) {
  if (e.key.number != kTickTimer) {
    for (const sip::TimerExpiry& lapse : transactions_.fired(now, e.key.number, out)) {
      if (lapse.what != sip::TimerExpiry::What::no_answer) continue;
      const auto own = by_transaction_.find(lapse.key);  // timer B
      if (own == by_transaction_.end()) continue;
      if (UpstreamAttempt* leg = find(own->second))
        finish_attempt(now, *leg, ended_as(Outcome::timed_out), out);
    }
    return;
  }
  out.arm(net::Concern::trunk, kTickTimer, now + kTick);
  while (const auto call_id = due_.pop_due(now)) {
    UpstreamAttempt& leg = attempts_.at(*call_id);
    if (leg.state == State::abandoned && !leg.broker_notified) {
      finish_attempt(now, leg, ended_as(Outcome::cancelled), out);
      continue;
    }
    erase(attempts_.find(*call_id));
  }
}

void SipTrunk::erase(Attempts::iterator it) {
  by_transaction_.erase(it->second.transaction);
  withdrawals_.erase(it->second.ticket);
  due_.clear(it->first);
  attempts_.erase(it);
}

// A leg that is given up or over has an end of its own.
void SipTrunk::enter_state(Time now, UpstreamAttempt& leg, State state) {
  leg.state = state;
  leg.state_since = now;
  const std::string call_id(leg.invite.header("Call-ID"));
  due_.clear(call_id);
  if (state == State::finished || state == State::abandoned)
    due_.set(call_id, now + (leg.broker_notified ? kFinishedRetention : kAbandonTimeout) + 1ns);
}

// ---- the broker's effects

std::string SipTrunk::via() {
  return std::string(settings_.reliable ? "SIP/2.0/TCP " : "SIP/2.0/UDP ") + settings_.address +
         ";branch=" + std::string(sip::kCookie) + ids_.next();
}

void SipTrunk::apply(Time now, const core::StartAttempt& e, Outbox& out) {
  const auto host = endpoints_.find(e.server);
  if (host == endpoints_.end()) return;
  const core::Request& r = *e.request;
  const std::string call_id = call_id_of(r, e.attempt);
  UpstreamAttempt& leg = attempts_[call_id];
  leg.request = e.request;
  leg.attempt = e.attempt;
  leg.server = e.server;
  leg.state = State::calling;
  leg.state_since = now;
  leg.deadline = e.deadline;
  leg.flow = {settings_.reliable, 0, host->second.address};
  sip::Message& m = leg.invite;
  m.method = "INVITE";
  m.uri = "sip:" + r.number_text + "@" + host->second.address;
  m.add("Via", via());
  m.add("Max-Forwards", "70");
  m.add("From", "<sip:graniterun@" + settings_.address + ">;tag=" + ids_.next());
  m.add("To", "<" + m.uri + ">");
  m.add("Call-ID", call_id);
  m.add("CSeq", "1 INVITE");
  m.add("Contact", "<sip:graniterun@" + settings_.address + (settings_.reliable ? ";transport=tcp>" : ">"));
  m.add("Priority-Class", r.class_name);
  put_time_left(m, e.deadline - now);
  if (!r.description.empty()) m.add("Content-Type", "application/sdp");
  m.body = r.description;
  counters_.add("trunk.invites");
  if (settings_.reliable) leg.ticket = ++last_ticket_;
  leg.transaction = transactions_.send_request(now, leg.flow, m, out, leg.ticket);
  by_transaction_.insert_or_assign(leg.transaction, call_id);
}

void SipTrunk::apply(Time now, const core::AbandonAttempt& e, Outbox& out) {
  const auto it = attempts_.find(call_id_of(*e.request, e.attempt));
  if (it == attempts_.end() || it->second.state != State::calling) return;
  UpstreamAttempt& leg = it->second;
  enter_state(now, leg, State::abandoned);
  if (leg.provisional) {
    cancel(now, leg, out);
  } else if (leg.flow.reliable) {
    withdraw_invite(now, it, out);
  } else {
    // A repeat now could begin at the server what has been given up here.
    transactions_.stop_retransmitting(leg.invite);
  }
}

// An INVITE that waits for its connection, or for a server that reads nothing, is taken back: written later
// it would begin an attempt for a caller long gone. Where it is too late the CANCEL waits for a provisional
// answer.
void SipTrunk::withdraw_invite(Time now, Attempts::iterator it, Outbox& out) {
  UpstreamAttempt& leg = it->second;
  if (transport_.withdraw(leg.flow, leg.ticket, out)) return handle_withdrawn(now, it, out);
  withdrawals_.insert_or_assign(leg.ticket, it->first);
}

void SipTrunk::on(Time now, const net::WriteWithdrawn& e, Outbox& out) {
  const auto asked = withdrawals_.find(e.ticket);
  if (asked == withdrawals_.end()) return;
  const auto it = attempts_.find(asked->second);
  withdrawals_.erase(asked);
  if (it != attempts_.end()) handle_withdrawn(now, it, out);
}

void SipTrunk::handle_withdrawn(Time now, Attempts::iterator it, Outbox& out) {
  counters_.add("trunk.invites_recalled");
  transactions_.forget(it->second.transaction);
  finish_attempt(now, it->second, ended_as(Outcome::not_sent), out);
  erase(it);
}

void SipTrunk::apply(Time now, const core::ReleaseServer& e, Outbox& out) {
  UpstreamAttempt* leg = find(call_id_of(*e.request, e.attempt));
  if (leg == nullptr || leg->state != State::established) return;
  leg->broker_notified = true;
  bye(now, *leg, e.cause, out);
  enter_state(now, *leg, State::finished);
}

// §9.1: the INVITE's own Via, and its number.
void SipTrunk::cancel(Time now, UpstreamAttempt& leg, Outbox& out) {
  if (std::exchange(leg.cancelled, true)) return;
  sip::Message m;
  m.method = "CANCEL";
  m.uri = leg.invite.uri;
  for (const char* name : {"Via", "Max-Forwards", "From", "To", "Call-ID"})
    m.add(name, std::string(leg.invite.header(name)));
  m.add("CSeq", "1 CANCEL");
  counters_.add("trunk.cancels");
  transactions_.send_request(now, leg.flow, m, out);
}

sip::Message SipTrunk::in_dialog(UpstreamAttempt& leg, const std::string& method, std::uint32_t cseq) {
  sip::Message m;
  m.method = method;
  m.uri = leg.target;
  m.add("Via", via());
  m.add("Max-Forwards", "70");
  for (const std::string& route : leg.routes) m.add("Route", route);
  m.add("From", std::string(leg.invite.header("From")));
  m.add("To", leg.remote);
  m.add("Call-ID", std::string(leg.invite.header("Call-ID")));
  m.add("CSeq", std::to_string(cseq) + " " + method);
  return m;
}

void SipTrunk::bye(Time now, UpstreamAttempt& leg, int cause, Outbox& out) {
  sip::Message m = in_dialog(leg, "BYE", ++leg.cseq);
  m.add("Reason", "Q.850;cause=" + std::to_string(cause));
  counters_.add("trunk.byes_out");
  transactions_.send_request(now, leg.flow, m, out);
}

// ---- what servers send

void SipTrunk::handle_message(Time now, sip::Incoming incoming, Outbox& out) {
  if (incoming.read.state == sip::ReadState::more) return;
  if (incoming.read.state == sip::ReadState::malformed) {
    counters_.add("trunk.malformed");
    out.log(net::Level::warning, "a setup server's SIP message is refused: " + incoming.read.error);
    if (incoming.flow.reliable && incoming.read.unrecoverable) {
      out.close({net::Concern::trunk, incoming.flow.conn});
      on(now, net::Closed{{net::Concern::trunk, incoming.flow.conn}, false}, out);
    }
    return;
  }
  if (incoming.read.message.is_request()) {
    requested(now, incoming.flow, incoming.read.message, out);
  } else {
    answered(now, incoming.read.message, out);
  }
}

void SipTrunk::answered(Time now, const sip::Message& m, Outbox& out) {
  if (transactions_.receive_response(now, m, out).empty()) return;
  const auto cseq = sip::cseq_of(m);
  UpstreamAttempt* leg = find(m.header("Call-ID"));
  if (leg == nullptr || !cseq || cseq->method != "INVITE") return;
  if (m.status < 200) {
    leg->provisional = true;
    if (leg->state == State::abandoned) cancel(now, *leg, out);
    return;
  }
  if (m.status >= 300) {
    counters_.add("trunk.refusals." + std::to_string(m.status));
    core::AttemptFinished ended =
        ended_as(leg->state == State::abandoned ? Outcome::cancelled : outcome_of(m.status));
    read_rejection(m, ended);
    if (ended.outcome == Outcome::full && ended.reason == FullReason::none)
      ended.reason = FullReason::processor;
    if (m.status == 486 || m.status == 600) ended.reason = FullReason::number_busy;
    ended.report = report_of(m);
    if (leg->state == State::calling || leg->state == State::abandoned) finish_attempt(now, *leg, ended, out);
    return;
  }
  // Every success is acknowledged, repeats too; a second dialog out of a fork is ended at once.
  const std::string remote(m.header("To"));
  UpstreamAttempt other = *leg;
  const bool forked =
      !leg->remote.empty() && sip::parameter(leg->remote, "tag") != sip::parameter(remote, "tag");
  UpstreamAttempt& dialog = forked ? other : *leg;
  dialog.remote = remote;
  const std::string_view contact = m.header("Contact");
  dialog.target = contact.empty() ? leg->invite.uri : std::string(sip::uri_in(contact));
  const auto recorded = m.all("Record-Route");
  dialog.routes.assign(recorded.rbegin(), recorded.rend());
  transport_.send(dialog.flow, in_dialog(dialog, "ACK", 1).text(), out);
  if (forked) return bye(now, other, kNormal, out);
  counters_.add("trunk.answers");
  if (leg->state == State::calling) {
    leg->was_established = true;
    enter_state(now, *leg, State::established);
    out.notify_broker(core::AttemptEstablished{leg->request->call, leg->attempt, m.body});
  } else if (!std::exchange(leg->was_established, true)) {
    // The success crossed our CANCEL, or its connection broke while the INVITE was out: it is acknowledged
    // and ended, and the call is not tried again where its end has not been told.
    counters_.add("trunk.crossed");
    core::AttemptFinished ended = ended_as(Outcome::cancelled);
    ended.late_success = true;
    finish_attempt(now, *leg, ended, out);
    bye(now, *leg, kNormal, out);
    enter_state(now, *leg, State::finished);
  }
}

void SipTrunk::requested(Time now, const sip::Flow& flow, const sip::Message& m, Outbox& out) {
  std::string key;
  if (m.header("Via").empty() || !sip::cseq_of(m)) {
    counters_.add("trunk.malformed");
    return;
  }
  if (transactions_.receive_request(now, flow, m, key, out) != sip::Transactions::RequestKind::initial)
    return;
  const auto answer = [&](int status) {
    transactions_.respond(now, key, sip::answer_to(m, status, sip::phrase_of(status), ids_.next()), out);
  };
  UpstreamAttempt* leg = find(m.header("Call-ID"));
  const bool known = leg != nullptr && sip::parameter(m.header("To"), "tag") ==
                                           sip::parameter(leg->invite.header("From"), "tag");
  if (m.method == "OPTIONS") return answer(200);
  if (m.method == "CANCEL") return answer(481);
  if (!known) return answer(sip::parameter(m.header("To"), "tag").empty() ? 405 : 481);
  if (m.method != "BYE") return answer(m.method == "INVITE" ? 488 : 501);
  answer(200);
  counters_.add("trunk.byes_in");
  const int cause = cause_in(m.header("Reason"));
  if (leg->broker_notified) {
    // Its attempt was over here before the server said that it had stood: the call may still be open.
    if (!std::exchange(leg->was_established, true))
      out.notify_broker(core::ServerReleased{leg->request->correlation_id, cause, true});
    return;
  }
  core::AttemptFinished ended =
      ended_as(cause == kNormal && leg->was_established ? Outcome::ok : Outcome::reset);
  ended.late_success =
      !std::exchange(leg->was_established, true);  // its answer was lost: the callee has been rung
  ended.cause = cause;
  ended.report = report_of(m);
  finish_attempt(now, *leg, ended, out);
}

// ---- small things

void SipTrunk::finish_attempt(Time now, UpstreamAttempt& leg, core::AttemptFinished ended, Outbox& out) {
  if (leg.broker_notified) return;
  const bool connection_lost =
      ended.outcome == Outcome::reset && ended.cause == 0 && leg.state == State::established;
  if (connection_lost) return;  // a call that stands belongs to no connection
  leg.broker_notified = true;
  enter_state(now, leg, leg.state == State::abandoned ? State::abandoned : State::finished);
  ended.call = leg.request->call;
  ended.attempt = leg.attempt;
  out.notify_broker(ended);
}

void SipTrunk::end_established_calls(Time now, ServerId server, std::optional<Time> stood_before,
                                     Outbox& out) {
  for (auto& [id, leg] : attempts_) {
    if (leg.server != server || leg.state != State::established) continue;
    if (stood_before && leg.state_since >= *stood_before) continue;
    core::AttemptFinished ended = ended_as(Outcome::reset);
    ended.cause = 41;
    finish_attempt(now, leg, ended, out);
  }
}

SipTrunk::UpstreamAttempt* SipTrunk::find(std::string_view call_id) {
  const auto it = attempts_.find(call_id);
  return it == attempts_.end() ? nullptr : &it->second;
}

}  // namespace graniterun::upstream
