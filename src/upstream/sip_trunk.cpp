#include "upstream/sip_trunk.h"

#include "codec/jsonl.h"
#include "core/q850.h"
#include "upstream/server_messages.h"

namespace graniterun::upstream {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTickInterval = 50ms;
constexpr std::uint64_t kTickTimer = ~std::uint64_t{0} >> 1;  // outside the transactions' timer numbers
// How long the final response of an abandoned attempt is awaited before the request may be retried elsewhere.
constexpr Duration kAbandonTimeout = 120ms;
// How long a finished attempt is retained to match late messages. A success that came later would be a
// retransmission of one sent 64 T1 before.
constexpr Duration kFinishedRetention = 2 * sip::k64T1;
// Maximum number of released calls of other processes that are retained to recognize repeated BYEs.
constexpr std::size_t kMaxFormerCallsReleased = 8192;
// By how much a deadline that is sent to a server may exceed the caller's.
constexpr std::chrono::milliseconds kExpiresSlack{150};

// Sets Expires and Expires-Ms to the time until the caller's deadline. Expires has whole seconds and is
// rounded down, except within kExpiresSlack: rounded up, it would give the server up to a second more than
// the caller has. It is omitted where it would be 0; the CANCEL at the deadline then ends the attempt.
void set_time_left_headers(sip::Message& message, Duration time_left) {
  const auto ms_left =
      std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::milliseconds>(time_left).count());
  const auto seconds = (ms_left + kExpiresSlack.count()) / 1000;
  const auto set_header = [&message](std::string_view name, const std::string& value) {
    for (auto& [header, current_value] : message.headers) {
      if (header == name) {
        current_value = value;
        return;
      }
    }
    message.add(std::string(name), value);
  };
  if (seconds > 0) {
    set_header("Expires", std::to_string(seconds));
  } else {
    std::erase_if(message.headers, [](const auto& header) { return header.first == "Expires"; });
  }
  set_header("Expires-Ms", std::to_string(ms_left));
}

core::AttemptFinished finished_with(Outcome outcome, int cause = 0) {
  core::AttemptFinished finished;
  finished.outcome = outcome;
  finished.cause = cause;
  return finished;
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
      ids_(settings_.seed),
      tags_(settings_.gatekeeper + " at " + settings_.address),
      former_calls_released_(sip::k64T1, kMaxFormerCallsReleased) {}

void SipTrunk::start(Time now, Outbox& out) {
  ids_ = RandomIdGenerator(settings_.seed * 3 + 1, now);
  if (settings_.reliable) {
    net::Listen listen{net::Concern::trunk, settings_.address};
    listen.wait_for_address = settings_.wait_for_address;
    out.net.push_back(listen);
  } else {
    out.net.push_back(net::Bind{net::Concern::trunk, settings_.address});
  }
  out.arm(net::Concern::trunk, kTickTimer, now + kTickInterval);
}

void SipTrunk::begin_handover(Outbox& out) const {
  if (settings_.reliable) out.net.push_back(net::StopListening{net::Concern::trunk});
}

void SipTrunk::handle_endpoints(Time now, const EndpointList& list, ListKind kind, Outbox& out) {
  ServerList update;
  update.kind = kind;
  if (kind != ListKind::changes) {
    for (auto& [id, endpoint] : endpoints_) endpoint.state = ServerState::terminated;
  }
  for (const Endpoint& endpoint : list.endpoints) {
    const ServerId id = directory_.find_or_assign_id(endpoint.uid);
    const auto [it, inserted] = endpoints_.try_emplace(id, endpoint);
    if (!inserted && endpoint.started && it->second.started != endpoint.started)
      end_calls_before_restart(now, id, *endpoint.started, out);
    it->second = endpoint;
    update.entries.push_back(directory_.make_entry(id, endpoint));
  }
  out.notify_broker(core::ServersChanged{std::move(update)});
  // A server that is not in service must get no new setups: withdraws INVITEs that are not written yet; a
  // retransmitted datagram could be the first one that arrives.
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    const auto attempt = it++;
    if (attempt->second.state != State::calling || attempt->second.provisional_received) continue;
    if (endpoints_.at(attempt->second.server).state == ServerState::in_service) continue;
    if (settings_.reliable) {
      withdraw_invite(now, attempt, out);
    } else {
      transactions_.stop_retransmitting(attempt->second.invite);
    }
  }
}

std::size_t SipTrunk::endpoint_count() const {
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& entry) {
    return entry.second.state != ServerState::terminated;
  }));
}

bool SipTrunk::ready() const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [](const auto& entry) { return entry.second.state == ServerState::in_service; });
}

const std::string& SipTrunk::name_of(ServerId server) const {
  static const std::string kUnknown = "unknown";
  const auto it = endpoints_.find(server);
  return it == endpoints_.end() ? kUnknown : it->second.uid;
}

// ---- events of the runtime

void SipTrunk::on(Time, const net::Accepted& event, Outbox&) { transport_.accepted(event.conn.number); }
void SipTrunk::on(Time now, const net::Connected& event, Outbox& out) {
  transport_.connected(event.conn.number, out, [this, now](std::uint64_t ticket, std::string text) {
    return refresh_time_left(now, ticket, std::move(text));
  });
}

// Returns the text of an INVITE that waited for its connection, with the time left updated; `text` for other
// tickets.
std::string SipTrunk::refresh_time_left(Time now, std::uint64_t ticket, std::string text) {
  for (auto& [call_id, attempt] : attempts_) {
    if (attempt.ticket != ticket) continue;
    set_time_left_headers(attempt.invite, attempt.deadline - now);
    return attempt.invite.text();
  }
  return text;
}

void SipTrunk::on(Time now, const net::ConnectFailed& event, Outbox& out) {
  const std::string peer = transport_.connect_failed(event.conn.number);
  for (auto& [id, attempt] : attempts_) {
    // An established call outlives its connections; DialogWatch ends it if its server is lost.
    if (attempt.flow.peer == peer && attempt.state != State::established && !attempt.provisional_received)
      finish_attempt(now, attempt, finished_with(Outcome::no_connection), out);
  }
}

void SipTrunk::on(Time now, const net::Closed& event, Outbox& out) {
  const std::string peer = transport_.closed(event.conn.number);
  for (auto& [id, attempt] : attempts_) {
    if (!peer.empty() && attempt.flow.peer == peer && attempt.state != State::established)
      finish_attempt(now, attempt, finished_with(Outcome::reset), out);
  }
}

void SipTrunk::on(Time now, const net::Received& event, Outbox& out) {
  for (sip::Incoming& incoming : transport_.received(event, out))
    handle_message(now, std::move(incoming), out);
}

void SipTrunk::on(Time now, const net::Datagram& event, Outbox& out) {
  handle_message(now, transport_.datagram(event), out);
}

void SipTrunk::on(Time now, const net::TimerFired& event, Outbox& out) {
  if (event.key.number != kTickTimer) {
    for (const sip::TimerExpiry& expiry : transactions_.handle_timer(now, event.key.number, out)) {
      if (expiry.kind != sip::TimerExpiry::Kind::no_answer) continue;
      const auto invite = by_transaction_.find(expiry.key);  // timer B
      if (invite == by_transaction_.end()) continue;
      if (UpstreamAttempt* attempt = find_attempt(invite->second))
        finish_attempt(now, *attempt, finished_with(Outcome::timed_out), out);
    }
    return;
  }
  out.arm(net::Concern::trunk, kTickTimer, now + kTickInterval);
  check_dialogs(now, out);
  while (const auto call_id = state_deadlines_.pop_due(now)) {
    UpstreamAttempt& attempt = attempts_.at(*call_id);
    if (attempt.state == State::abandoned && !attempt.broker_notified) {
      finish_attempt(now, attempt, finished_with(Outcome::cancelled), out);
      continue;
    }
    erase(attempts_.find(*call_id));
  }
}

void SipTrunk::check_dialogs(Time now, Outbox& out) {
  const DialogWatch::Decision decision = watch_.check(now);
  for (const std::string& call_id : decision.probes) {
    UpstreamAttempt& attempt = attempts_.at(call_id);
    counters_.add("trunk.dialogs_probed");
    log_sent(now, "dialog_probed", attempt, out);
    transactions_.send_request(now, attempt.flow,
                               make_dialog_request(attempt, "OPTIONS", ++attempt.local_cseq), out);
  }
  for (const std::string& call_id : decision.over) end_lost_dialog(now, attempts_.at(call_id), "silent", out);
}

// Ends an established call whose server can't release it. A server that lives after all gets a BYE.
void SipTrunk::end_lost_dialog(Time now, UpstreamAttempt& attempt, std::string_view reason, Outbox& out) {
  counters_.add("trunk.dialogs_lost");
  out.log(net::Level::warning, "setup server " + name_of(attempt.server) + ": ending call " +
                                   attempt.request->correlation_id + ", reason=" + std::string(reason));
  send_bye(now, attempt, kCauseTemporaryFailure, out);
  finish_attempt(now, attempt, finished_with(Outcome::reset, kCauseTemporaryFailure), out);
}

void SipTrunk::erase(Attempts::iterator it) {
  watch_.ended(it->second.server, it->first);
  by_transaction_.erase(it->second.transaction);
  withdrawals_.erase(it->second.ticket);
  state_deadlines_.clear(it->first);
  attempts_.erase(it);
}

// Changes the state, and sets the deadline of the states `abandoned` and `finished`, which end by themselves.
void SipTrunk::enter_state(Time now, UpstreamAttempt& attempt, State state) {
  const std::string call_id(attempt.invite.header("Call-ID"));
  if (attempt.state == State::established) watch_.ended(attempt.server, call_id);
  attempt.state = state;
  attempt.state_since = now;
  if (state == State::established) watch_.established(now, attempt.server, call_id);
  state_deadlines_.clear(call_id);
  if (state == State::finished || state == State::abandoned)
    state_deadlines_.set(call_id,
                         now + (attempt.broker_notified ? kFinishedRetention : kAbandonTimeout) + 1ns);
}

// ---- effects of the broker

std::string SipTrunk::make_via() { return sip::make_via(settings_.reliable, settings_.address, ids_.next()); }

void SipTrunk::apply(Time now, const core::StartAttempt& event, Outbox& out) {
  const auto endpoint = endpoints_.find(event.server);
  if (endpoint == endpoints_.end()) return;
  const core::Request& request = *event.request;
  const std::string call_id = call_id_of(request, event.attempt);
  UpstreamAttempt& attempt = attempts_[call_id];
  attempt.request = event.request;
  attempt.index = event.attempt;
  attempt.server = event.server;
  attempt.state = State::calling;
  attempt.state_since = now;
  attempt.deadline = event.deadline;
  attempt.flow = {settings_.reliable, 0, endpoint->second.address};
  sip::Message& message = attempt.invite;
  message.method = "INVITE";
  message.uri = "sip:" + request.number_text + "@" + endpoint->second.address;
  message.add("Via", make_via());
  message.add("Max-Forwards", "70");
  message.add("From", "<sip:graniterun@" + settings_.address + ">;tag=" + tags_.make(call_id, ids_.next()));
  message.add("To", "<" + message.uri + ">");
  message.add("Call-ID", call_id);
  message.add("CSeq", "1 INVITE");
  message.add("Contact",
              "<sip:graniterun@" + settings_.address + (settings_.reliable ? ";transport=tcp>" : ">"));
  message.add("Priority-Class", request.class_name);
  set_time_left_headers(message, event.deadline - now);
  if (!request.description.empty()) message.add("Content-Type", "application/sdp");
  message.body = request.description;
  counters_.add("trunk.invites");
  log_sent(now, "invite_sent", attempt, out);
  if (settings_.reliable) attempt.ticket = ++last_ticket_;
  attempt.transaction = transactions_.send_request(now, attempt.flow, message, out, attempt.ticket);
  by_transaction_.insert_or_assign(attempt.transaction, call_id);
}

void SipTrunk::apply(Time now, const core::AbandonAttempt& event, Outbox& out) {
  const auto it = attempts_.find(call_id_of(*event.request, event.attempt));
  if (it == attempts_.end() || it->second.state != State::calling) return;
  UpstreamAttempt& attempt = it->second;
  enter_state(now, attempt, State::abandoned);
  if (attempt.provisional_received) {
    send_cancel(now, attempt, out);
  } else if (attempt.flow.reliable) {
    withdraw_invite(now, it, out);
  } else {
    // A retransmission could start the abandoned attempt at a server that missed the first INVITE.
    transactions_.stop_retransmitting(attempt.invite);
  }
}

// Withdraws an INVITE that waits for its connection or for a server that does not read. Written later, it
// would start an attempt for a caller that has disconnected. If it is already written, a CANCEL follows the
// first provisional response.
void SipTrunk::withdraw_invite(Time now, Attempts::iterator it, Outbox& out) {
  UpstreamAttempt& attempt = it->second;
  if (transport_.withdraw(attempt.flow, attempt.ticket, out)) return handle_withdrawn(now, it, out);
  withdrawals_.insert_or_assign(attempt.ticket, it->first);
}

void SipTrunk::on(Time now, const net::WriteWithdrawn& event, Outbox& out) {
  const auto withdrawal = withdrawals_.find(event.ticket);
  if (withdrawal == withdrawals_.end()) return;
  const auto it = attempts_.find(withdrawal->second);
  withdrawals_.erase(withdrawal);
  if (it != attempts_.end()) handle_withdrawn(now, it, out);
}

void SipTrunk::handle_withdrawn(Time now, Attempts::iterator it, Outbox& out) {
  counters_.add("trunk.invites_recalled");
  transactions_.forget(it->second.transaction);
  finish_attempt(now, it->second, finished_with(Outcome::not_sent), out);
  erase(it);
}

void SipTrunk::apply(Time now, const core::ReleaseServer& event, Outbox& out) {
  UpstreamAttempt* attempt = find_attempt(call_id_of(*event.request, event.attempt));
  if (attempt == nullptr || attempt->state != State::established) return;
  attempt->broker_notified = true;
  send_bye(now, *attempt, event.cause, out);
  enter_state(now, *attempt, State::finished);
}

// A CANCEL has the Via and the CSeq number of its INVITE (§9.1).
void SipTrunk::send_cancel(Time now, UpstreamAttempt& attempt, Outbox& out) {
  if (std::exchange(attempt.cancel_sent, true)) return;
  sip::Message message;
  message.method = "CANCEL";
  message.uri = attempt.invite.uri;
  for (const char* name : {"Via", "Max-Forwards", "From", "To", "Call-ID"})
    message.add(name, std::string(attempt.invite.header(name)));
  message.add("CSeq", "1 CANCEL");
  counters_.add("trunk.cancels");
  log_sent(now, "cancel_sent", attempt, out);
  transactions_.send_request(now, attempt.flow, message, out);
}

sip::Message SipTrunk::make_dialog_request(UpstreamAttempt& attempt, const std::string& method,
                                           std::uint32_t cseq) {
  sip::Message message;
  message.method = method;
  message.uri = attempt.remote_target;
  message.add("Via", make_via());
  message.add("Max-Forwards", "70");
  for (const std::string& route : attempt.route_set) message.add("Route", route);
  message.add("From", std::string(attempt.invite.header("From")));
  message.add("To", attempt.remote_to);
  message.add("Call-ID", std::string(attempt.invite.header("Call-ID")));
  message.add("CSeq", std::to_string(cseq) + " " + method);
  return message;
}

void SipTrunk::send_bye(Time now, UpstreamAttempt& attempt, int cause, Outbox& out) {
  sip::Message message = make_dialog_request(attempt, "BYE", ++attempt.local_cseq);
  message.add("Reason", "Q.850;cause=" + std::to_string(cause));
  counters_.add("trunk.byes_out");
  log_sent(now, "bye_sent", attempt, out);
  transactions_.send_request(now, attempt.flow, message, out);
}

// ---- messages from servers

void SipTrunk::handle_message(Time now, sip::Incoming incoming, Outbox& out) {
  if (incoming.read.state == sip::ReadState::more) return;
  if (incoming.read.state == sip::ReadState::malformed) {
    counters_.add("trunk.malformed");
    out.log(net::Level::warning, "malformed SIP message from a setup server: " + incoming.read.error);
    if (incoming.flow.reliable && incoming.read.unrecoverable) {
      out.close({net::Concern::trunk, incoming.flow.conn});
      on(now, net::Closed{{net::Concern::trunk, incoming.flow.conn}, false}, out);
    }
    return;
  }
  if (incoming.read.message.is_request()) {
    handle_request(now, incoming.flow, incoming.read.message, out);
  } else {
    handle_response(now, incoming.read.message, out);
  }
}

void SipTrunk::handle_response(Time now, const sip::Message& message, Outbox& out) {
  if (transactions_.receive_response(now, message, out).empty()) return;
  const auto cseq = sip::cseq_of(message);
  UpstreamAttempt* attempt = find_attempt(message.header("Call-ID"));
  if (attempt == nullptr || !cseq) return;
  log_message(now, "response_received", *attempt, message, out);
  if (cseq->method == "OPTIONS") return handle_probe_response(now, *attempt, message.status, out);
  if (cseq->method != "INVITE") return;
  if (message.status < 200) {
    attempt->provisional_received = true;
    if (attempt->state == State::abandoned) send_cancel(now, *attempt, out);
    return;
  }
  if (message.status >= 300) {
    counters_.add("trunk.refusals." + std::to_string(message.status));
    core::AttemptFinished finished =
        finished_with(attempt->state == State::abandoned ? Outcome::cancelled : outcome_of(message.status));
    read_rejection(message, finished);
    if (finished.outcome == Outcome::full && finished.reason == FullReason::none)
      finished.reason = FullReason::processor;
    if (message.status == 486 || message.status == 600) finished.reason = FullReason::number_busy;
    finished.report = parse_load_report(message);
    if (attempt->state == State::calling || attempt->state == State::abandoned)
      finish_attempt(now, *attempt, finished, out);
    return;
  }
  handle_invite_success(now, *attempt, message, out);
}

void SipTrunk::handle_invite_success(Time now, UpstreamAttempt& attempt, const sip::Message& message,
                                     Outbox& out) {
  // Every 2xx is acknowledged, also a retransmitted one; a second dialog from a forked INVITE is ended at
  // once.
  const std::string remote_to(message.header("To"));
  UpstreamAttempt fork_attempt = attempt;
  const bool forked = !attempt.remote_to.empty() &&
                      sip::parameter(attempt.remote_to, "tag") != sip::parameter(remote_to, "tag");
  UpstreamAttempt& dialog = forked ? fork_attempt : attempt;
  dialog.remote_to = remote_to;
  const std::string_view contact = message.header("Contact");
  dialog.remote_target = contact.empty() ? attempt.invite.uri : std::string(sip::uri_in(contact));
  const auto record_routes = message.header_values("Record-Route");
  dialog.route_set.assign(record_routes.rbegin(), record_routes.rend());
  transport_.send(dialog.flow, make_dialog_request(dialog, "ACK", 1).text(), out);
  if (forked) return send_bye(now, fork_attempt, kCauseNormalClearing, out);
  counters_.add("trunk.answers");
  if (attempt.state == State::calling) {
    attempt.was_established = true;
    enter_state(now, attempt, State::established);
    out.notify_broker(core::AttemptEstablished{attempt.request->call, attempt.index, message.body});
  } else if (!std::exchange(attempt.was_established, true)) {
    // Late success: the response raced the CANCEL, or the connection broke while the INVITE was outstanding.
    // The call is released at the server. If the broker has no end of the attempt yet, it does not retry the
    // request.
    counters_.add("trunk.crossed");
    core::AttemptFinished finished = finished_with(Outcome::cancelled);
    finished.late_success = true;
    finish_attempt(now, attempt, finished, out);
    send_bye(now, attempt, kCauseNormalClearing, out);
    enter_state(now, attempt, State::finished);
  }
}

// Response to the probe of a dialog. A server that has it answers 200 (§11.2); 481 and 408 end it
// (§12.2.1.2).
void SipTrunk::handle_probe_response(Time now, UpstreamAttempt& attempt, int status, Outbox& out) {
  if (attempt.state != State::established) return;
  if (status >= 200 && status < 300)
    return watch_.confirmed(now, attempt.server, std::string(attempt.invite.header("Call-ID")));
  if (status != 481 && status != 408) return;
  end_lost_dialog(now, attempt, "dialog_unknown", out);
  watch_.dialog_unknown(attempt.server);
}

void SipTrunk::handle_request(Time now, const sip::Flow& flow, const sip::Message& message, Outbox& out) {
  std::string key;
  if (message.header("Via").empty() || !sip::cseq_of(message)) {
    counters_.add("trunk.malformed");
    return;
  }
  if (transactions_.receive_request(now, flow, message, key, out) != sip::Transactions::RequestKind::initial)
    return;
  const auto respond = [&](int status) {
    transactions_.respond(now, key, sip::answer_to(message, status, sip::phrase_of(status), ids_.next()),
                          out);
  };
  // For requests that change nothing here: a repeat gets the same response without a transaction.
  const auto respond_without_state = [&](int status) {
    transactions_.respond_without_state(
        key, sip::answer_to(message, status, sip::phrase_of(status), sip::stateless_tag(key)), out);
  };
  UpstreamAttempt* attempt = find_attempt(message.header("Call-ID"));
  const bool in_known_dialog =
      attempt != nullptr &&
      sip::parameter(message.header("To"), "tag") == sip::parameter(attempt->invite.header("From"), "tag");
  if (in_known_dialog) watch_.confirmed(now, attempt->server, std::string(message.header("Call-ID")));
  if (message.method == "OPTIONS") return respond_without_state(200);
  if (message.method == "CANCEL") return respond_without_state(481);
  if (!in_known_dialog) {
    if (const std::string former_call = find_former_call(message); !former_call.empty()) {
      respond(200);
      return release_former_call(now, former_call, message, out);
    }
    return respond_without_state(sip::parameter(message.header("To"), "tag").empty() ? 405 : 481);
  }
  if (message.method != "BYE") return respond_without_state(message.method == "INVITE" ? 488 : 501);
  respond(200);
  counters_.add("trunk.byes_in");
  log_message(now, "bye_received", *attempt, message, out);
  const int cause = parse_q850_cause(message.header("Reason"));
  if (attempt->broker_notified) {
    // The attempt ended here before the server reported that it was established; the call may still be open.
    if (!std::exchange(attempt->was_established, true))
      out.notify_broker(core::ServerReleased{attempt->request->correlation_id, cause, true});
    return;
  }
  core::AttemptFinished finished =
      finished_with(cause == kCauseNormalClearing && attempt->was_established ? Outcome::ok : Outcome::reset);
  finished.late_success =
      !std::exchange(attempt->was_established, true);  // its 2xx was lost, but the callee's phone has rung
  finished.cause = cause;
  finished.report = parse_load_report(message);
  finish_attempt(now, *attempt, finished, out);
}

// The correlation id of the call that a BYE ends, where another process of this gatekeeper, which has ended
// or shares the address, opened the dialog; empty for any other request. The Call-ID names the call and this
// address, and the tag shows that this gatekeeper chose it for that Call-ID.
std::string SipTrunk::find_former_call(const sip::Message& message) const {
  const std::string_view call_id = message.header("Call-ID");
  const std::string_view correlation_id = call_id.substr(0, call_id.find('-'));
  if (message.method != "BYE" || !jsonl::is_id(correlation_id)) return {};
  if (!call_id.ends_with("@" + settings_.address)) return {};
  if (!tags_.is_own(call_id, sip::parameter(message.header("To"), "tag"))) return {};
  return std::string(correlation_id);
}

void SipTrunk::release_former_call(Time now, const std::string& correlation_id, const sip::Message& bye,
                                   Outbox& out) {
  counters_.add("trunk.byes_of_former_process");
  out.debug(now, [&] { return "bye_of_former_process call=" + correlation_id; });
  if (!former_calls_released_.insert(now, std::string(bye.header("Call-ID")))) return;
  out.notify_broker(core::ServerReleased{correlation_id, parse_q850_cause(bye.header("Reason")), false});
}

// ---- helpers

void SipTrunk::log_sent(Time now, std::string_view event, const UpstreamAttempt& attempt, Outbox& out) {
  out.debug(now, [&] {
    return std::string(event) + " call=" + attempt.request->correlation_id +
           " attempt=" + std::to_string(attempt.index) + " server=" + name_of(attempt.server);
  });
}

void SipTrunk::log_message(Time now, std::string_view event, const UpstreamAttempt& attempt,
                           const sip::Message& message, Outbox& out) {
  out.debug(now, [&] {
    return std::string(event) + " call=" + attempt.request->correlation_id +
           " attempt=" + std::to_string(attempt.index) + " server=" + name_of(attempt.server) + " cseq=\"" +
           std::string(message.header("CSeq")) + "\" status=" + std::to_string(message.status) +
           " finished=" + std::to_string(static_cast<int>(attempt.broker_notified));
  });
}

void SipTrunk::finish_attempt(Time now, UpstreamAttempt& attempt, core::AttemptFinished finished,
                              Outbox& out) {
  if (attempt.broker_notified) return;
  attempt.broker_notified = true;
  enter_state(now, attempt, attempt.state == State::abandoned ? State::abandoned : State::finished);
  finished.call = attempt.request->call;
  finished.attempt = attempt.index;
  out.notify_broker(finished);
}

void SipTrunk::end_calls_before_restart(Time now, ServerId server, Time restarted_at, Outbox& out) {
  for (auto& [id, attempt] : attempts_) {
    if (attempt.server != server || attempt.state != State::established ||
        attempt.state_since >= restarted_at)
      continue;
    finish_attempt(now, attempt, finished_with(Outcome::reset, kCauseTemporaryFailure), out);
  }
}

SipTrunk::UpstreamAttempt* SipTrunk::find_attempt(std::string_view call_id) {
  const auto it = attempts_.find(call_id);
  return it == attempts_.end() ? nullptr : &it->second;
}

}  // namespace graniterun::upstream
