#include "downstream/sip.h"

#include <algorithm>

#include "codec/fnv1a.h"
#include "codec/jsonl.h"
#include "codec/number.h"
#include "core/q850.h"

namespace graniterun::downstream {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kAllow = "INVITE, ACK, CANCEL, BYE, OPTIONS, SUBSCRIBE, NOTIFY";
constexpr std::size_t kMaxCalls = 20000;
// Bound on the INVITEs of all calls, of which some parts are kept more than once.
constexpr std::size_t kMaxCallBytes = std::size_t{16} * 1024 * 1024;
constexpr Duration kNotReadyRetryAfter = 2s;
constexpr Duration kReapInterval = 200ms;
constexpr std::uint64_t kReapTimer =
    ~std::uint64_t{0} >> 2;  // a number that the transactions' timers do not reach

// Methods of SIP extensions that get 405; unknown ones get 501.
const char* const kUnsupportedMethods[] = {"REGISTER", "MESSAGE", "INFO",   "PRACK",
                                           "UPDATE",   "REFER",   "PUBLISH"};

std::string retry_after(Duration wait) {
  return std::to_string(std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(wait).count()));
}

// The Reason header (RFC 3326). The text holds no control characters; quotes and backslashes, which would end
// it early, are removed.
std::string reason_header(const call_gapping::GapTreatment& treatment) {
  std::string value = "Q.850;cause=" + std::to_string(treatment.cause);
  std::string text = treatment.text;
  std::erase_if(text, [](char c) { return c == '"' || c == '\\'; });
  return text.empty() ? value : value + ";text=\"" + text + "\"";
}

// The error for which a message is malformed (§8.1.1): a mandatory header that is missing or wrong. Empty if
// none.
std::string find_header_error(const sip::Message& message) {
  for (const std::string_view name : {"Via", "From", "To", "Call-ID", "CSeq"}) {
    if (message.header(name).empty()) return "there is no " + std::string(name);
  }
  const auto cseq = sip::cseq_of(message);
  if (!cseq) return "CSeq is malformed";
  if (message.is_request() && cseq->method != message.method) return "CSeq names another method";
  if (sip::parameter(message.header("From"), "tag").empty()) return "From has no tag";
  return {};
}

std::string dialog_key(std::string_view call_id, std::string_view local_tag, std::string_view remote_tag) {
  return std::string(call_id).append("|").append(local_tag).append("|").append(remote_tag);
}

std::size_t size_of(const sip::Message& message) {
  std::size_t bytes = message.uri.size() + message.body.size();
  for (const auto& [name, value] : message.headers) bytes += name.size() + value.size();
  return bytes;
}

std::string merge_key(const sip::Message& message) {
  return std::string(message.header("Call-ID"))
      .append("|")
      .append(sip::parameter(message.header("From"), "tag"))
      .append("|")
      .append(message.header("CSeq"));
}

std::optional<std::int64_t> whole_number(std::string_view text) {
  const auto value = number_in<std::int64_t>(text);
  return value && *value >= 0 ? value : std::nullopt;
}

// The flow of the responses to a request (§18.2.2, RFC 3581); adds received and rport to its top Via over
// UDP.
sip::Flow record_source(const sip::Flow& flow, sip::Message& message) {
  sip::Flow response_flow = flow;
  for (auto& [name, value] : message.headers) {
    if (!sip::equals_ignore_case(name, "Via")) continue;
    const std::string_view first = std::string_view(value).substr(0, value.find(','));
    const std::size_t space = first.find_first_of(" \t");
    const std::string after_protocol(
        sip::trim(first.substr(space == std::string_view::npos ? first.size() : space)));
    const std::string sent_by(
        sip::trim(std::string_view(after_protocol).substr(0, after_protocol.find(';'))));
    if (flow.reliable) {
      response_flow.peer = sip::address_in(sent_by);  // used if the connection has closed
      break;
    }
    const std::size_t colon = flow.peer.rfind(':');
    const std::string host = flow.peer.substr(0, colon);
    const std::string port = flow.peer.substr(colon + 1);
    const std::size_t rport = first.find(";rport");
    const bool has_rport = rport != std::string_view::npos;
    std::string updated_via(first);
    if (has_rport && sip::parameter(first, "rport").empty()) updated_via.insert(rport + 6, "=" + port);
    updated_via += ";received=" + host;
    if (!has_rport) {
      const std::size_t port_colon = sent_by.rfind(':');
      response_flow.peer =
          host + ":" + (port_colon == std::string::npos ? "5060" : sent_by.substr(port_colon + 1));
    }
    value.replace(0, first.size(), updated_via);
    break;
  }
  return response_flow;
}

}  // namespace

Sip::Sip(SipFrontSettings settings, Counters& counters)
    : settings_(std::move(settings)),
      counters_(counters),
      reaper_(settings_.max_connections, std::nullopt, true),
      transport_(net::Concern::sip, counters),
      transactions_(net::Concern::sip, transport_, counters),
      load_control_({settings_.udp, settings_.tcp, settings_.load_control_from, settings_.seed},
                    transactions_, counters),
      recent_invites_(2 * sip::k64T1, kMaxCalls),
      ids_(settings_.seed) {}

void Sip::start(Time now, Outbox& out) {
  ids_ = RandomIdGenerator(settings_.seed, now);
  load_control_.start(now);
  if (settings_.tcp || settings_.udp) out.arm(net::Concern::sip, kReapTimer, now + kReapInterval);
  if (settings_.udp) {
    net::Bind bind{net::Concern::sip, *settings_.udp};
    bind.wait_for_address = settings_.wait_for_addresses;
    out.net.push_back(bind);
  }
  if (settings_.tcp) {
    net::Listen listen{net::Concern::sip, *settings_.tcp};
    listen.wait_for_address = settings_.wait_for_addresses;
    out.net.push_back(listen);
  }
}

void Sip::begin_handover(Outbox& out) const {
  if (settings_.tcp) out.net.push_back(net::StopListening{net::Concern::sip});
}

void Sip::begin_shutdown(Time now, ShutdownTimes times, Outbox& out) {
  shutdown_ = times;
  continue_shutdown(now, out);
}

// Ends the established calls once it is time. A call that its caller has not acknowledged gets its BYE after
// the ACK (§15), at the latest when no ACK can come any more.
void Sip::continue_shutdown(Time now, Outbox& out) {
  if (!shutdown_ || now < shutdown_->end_calls_at) return;
  std::vector<CallId> established;
  for (const auto& [id, call] : calls_) {
    if (call.answered) established.push_back(id);
  }
  std::ranges::sort(established);
  for (const CallId id : established) {
    Call& call = calls_.at(id);
    if (!call.bye_after_ack) {
      counters_.add("sip.calls_ended_by_shutdown");
      call.bye_after_ack = true;
      call.cause = kCauseTemporaryFailure;
      out.notify_broker(core::CallerReleased{id, kCauseTemporaryFailure});
    }
    if (!call.acknowledged && now < shutdown_->end_unacknowledged_at) continue;
    send_bye(now, call, call.cause, out);
    forget(id);
  }
}

std::size_t Sip::pending_byes() const {
  const auto waiting =
      std::ranges::count_if(calls_, [](const auto& call) { return call.second.bye_after_ack; });
  return static_cast<std::size_t>(waiting) + transactions_.pending_byes();
}

// ---- input

void Sip::on(Time now, const net::Accepted& event, Outbox& out) {
  counters_.add("sip.connections");
  transport_.accepted(event.conn.number);
  reaper_.accepted(now, event.conn);
  make_room(now, out);
}

// Closes connections without a complete message in time and idle ones above the limit, as the platform front
// end does.
void Sip::make_room(Time now, Outbox& out) {
  const auto busy = [this](net::ConnId conn) {
    return std::any_of(calls_.begin(), calls_.end(), [conn](const auto& call) {
      return call.second.dialog.flow.reliable && call.second.dialog.flow.conn == conn.number;
    });
  };
  std::vector<net::ConnId> to_close;
  for (const ConnectionReaper::Expired& expired : reaper_.expired(now, busy))
    to_close.push_back(expired.conn);
  for (const net::ConnId conn : reaper_.excess_connections(now, busy)) to_close.push_back(conn);
  for (const net::ConnId conn : to_close) {
    counters_.add("sip.closed_for_room");
    reaper_.closed(conn);
    transport_.close(conn.number, out);
  }
}
void Sip::on(Time, const net::Connected& event, Outbox& out) { transport_.connected(event.conn.number, out); }
void Sip::on(Time now, const net::ConnectFailed& event, Outbox&) {
  byes_.connection_lost(now, event.conn.number, transport_.connect_failed(event.conn.number));
}
void Sip::on(Time now, const net::Closed& event, Outbox& out) {
  reaper_.closed(event.conn);
  byes_.connection_lost(now, event.conn.number, transport_.closed(event.conn.number));
  closed_by_peer_.erase(event.conn.number);
  cancel_unanswered(now, event.conn.number, out);
}

void Sip::on(Time now, const net::PeerClosed& event, Outbox& out) {
  closed_by_peer_.insert(event.conn.number);
  cancel_unanswered(now, event.conn.number, out);
}

// Cancels the INVITEs without a final response whose TCP connection the caller has closed, as a CANCEL does:
// no attempt may start for them. Their 487 goes out on another connection where RFC 3261 (18.2.2) provides
// one.
void Sip::cancel_unanswered(Time now, std::uint32_t conn, Outbox& out) {
  std::vector<CallId> cancelled;
  for (const auto& [id, call] : calls_) {
    const sip::Flow& flow = call.dialog.flow;
    if (!call.answered && flow.reliable && flow.conn == conn) cancelled.push_back(id);
  }
  std::ranges::sort(cancelled);
  for (const CallId id : cancelled) {
    counters_.add("sip.callers_gone");
    respond(now, calls_.at(id).invite, 487, out);
    out.notify_broker(core::RequestCancelled{id});
    forget(id);
  }
}

void Sip::on(Time now, const net::Received& event, Outbox& out) {
  std::vector<sip::Incoming> messages = transport_.received(event, out);
  reaper_.record_input(now, event.conn, !messages.empty(), transport_.has_partial_message(event.conn.number));
  for (sip::Incoming& incoming : messages) handle_incoming(now, std::move(incoming), out);
}

void Sip::on(Time now, const net::Datagram& event, Outbox& out) {
  handle_incoming(now, transport_.datagram(event), out);
}

void Sip::handle_incoming(Time now, sip::Incoming incoming, Outbox& out) {
  if (incoming.read.state == sip::ReadState::more) return;
  counters_.add("sip.messages_in");
  sip::Message& message = incoming.read.message;
  if (incoming.read.state == sip::ReadState::message) {
    if (std::string error = find_header_error(message); !error.empty()) {
      incoming.read.state = sip::ReadState::malformed;
      incoming.read.error = std::move(error);
    }
  }
  if (incoming.read.state == sip::ReadState::malformed) return reject_malformed(now, incoming, out);
  if (message.is_request()) {
    const sip::Flow flow = record_source(incoming.flow, message);
    return handle_request(now, flow, message, out);
  }
  // Load control ignores the transactions of BYEs.
  if (const std::string key = transactions_.receive_response(now, message, out); !key.empty()) {
    if (message.status >= 200) byes_.confirmed(key);
    load_control_.handle_response(now, key, message, out);
  }
}

// Responds 400 if the transaction can be read; otherwise closes a stream and drops a datagram.
void Sip::reject_malformed(Time now, const sip::Incoming& incoming, Outbox& out) {
  counters_.add("sip.malformed");
  malformed_warning_.line(now, "SIP message rejected: " + incoming.read.error, out);
  sip::Message message = incoming.read.message;
  const bool answerable = message.is_request() && !message.method.empty() && message.method != "ACK" &&
                          !message.header("Via").empty() && !message.header("Call-ID").empty() &&
                          !message.header("CSeq").empty();
  if (answerable) {
    const sip::Flow flow = record_source(incoming.flow, message);
    sip::Message response = sip::answer_to(message, 400, sip::phrase_of(400), ids_.next());
    response.add("Warning", "399 graniterun \"" + incoming.read.error + "\"");
    transport_.send(flow, response.text(), out);
  }
  if (incoming.flow.reliable && (incoming.read.unrecoverable || !answerable)) {
    reaper_.closed({net::Concern::sip, incoming.flow.conn});
    transport_.close(incoming.flow.conn, out);
  }
}

void Sip::handle_request(Time now, const sip::Flow& flow, const sip::Message& message, Outbox& out) {
  std::string key;
  switch (transactions_.receive_request(now, flow, message, key, out)) {
    case sip::Transactions::RequestKind::absorbed:
      return;
    case sip::Transactions::RequestKind::ack:
      return handle_ack(now, message, out);
    case sip::Transactions::RequestKind::initial:
      break;
  }
  if (message.method == "CANCEL") return handle_cancel(now, key, message, out);
  if (message.header("Max-Forwards") == "0" && message.method != "OPTIONS") return reject(key, 483, out);
  const bool in_dialog = !sip::parameter(message.header("To"), "tag").empty();
  if (const std::string_view required = message.header("Require"); !required.empty()) {
    const StatelessResponse rejection{420, {{"Unsupported", std::string(required)}}};
    return transactions_.respond_without_state(key, make_stateless(key, message, rejection), out);
  }
  if (message.method == "INVITE") {
    if (!in_dialog) return handle_invite(now, key, flow, message, out);
    Call* call = find(find_call_id(message));
    return call == nullptr ? reject(key, 481, out) : handle_reinvite(now, key, *call, message, out);
  }
  if (message.method == "BYE") return handle_bye(now, key, message, out);
  if (message.method == "SUBSCRIBE") return load_control_.handle_subscribe(now, key, flow, message, out);
  if (message.method == "NOTIFY") return load_control_.handle_notify(now, key, message, out);
  if (message.method == "OPTIONS") {
    StatelessResponse answer{200, {{"Allow", std::string(kAllow)}, {"Accept", "application/sdp"}}};
    if (!ready_) {
      answer.status = 503;
      answer.headers.emplace_back("Retry-After", retry_after(kNotReadyRetryAfter));
    }
    return transactions_.respond_without_state(key, make_stateless(key, message, answer), out);
  }
  const bool known = std::any_of(std::begin(kUnsupportedMethods), std::end(kUnsupportedMethods),
                                 [&](const char* name) { return message.method == name; });
  counters_.add("sip.unknown_methods");
  reject(key, known ? 405 : 501, out);
}

// Rejects a request of which no state is needed: a repeat gets the same response from the message alone.
void Sip::reject(const std::string& key, int status, Outbox& out, const std::string& warning) {
  const sip::Message* request = transactions_.request_of(key);
  if (request == nullptr) return;
  StatelessResponse rejection{status, {}};
  if (status == 405 || status == 501) rejection.headers.emplace_back("Allow", std::string(kAllow));
  if (!warning.empty()) rejection.headers.emplace_back("Warning", "399 graniterun \"" + warning + "\"");
  transactions_.respond_without_state(key, make_stateless(key, *request, rejection), out);
}

sip::Message Sip::make_stateless(const std::string& key, const sip::Message& request,
                                 const StatelessResponse& rejection) {
  sip::Message message =
      sip::answer_to(request, rejection.status, sip::phrase_of(rejection.status), sip::stateless_tag(key));
  for (const auto& [name, value] : rejection.headers) message.add(name, value);
  return message;
}

void Sip::respond(Time now, const std::string& key, int status, Outbox& out, const std::string& warning) {
  const sip::Message* request = transactions_.request_of(key);
  if (request == nullptr) return;
  sip::Message message = sip::answer_to(*request, status, sip::phrase_of(status), ids_.next());
  if (!warning.empty()) message.add("Warning", "399 graniterun \"" + warning + "\"");
  transactions_.respond(now, key, message, out);
}

// ---- new calls

void Sip::handle_invite(Time now, const std::string& key, const sip::Flow& flow, const sip::Message& message,
                        Outbox& out) {
  counters_.add("sip.invites");
  if (const StatelessResponse* rejection = rejected_invites_.find(now, key))
    return transactions_.respond_without_state(key, make_stateless(key, message, *rejection), out);
  if (flow.reliable && closed_by_peer_.contains(flow.conn)) return reject(key, 487, out);
  core::Request request;
  if (const std::string error = read_request(now, message, request); !error.empty()) {
    counters_.add("sip.malformed");
    return reject(key, message.uri.starts_with("sip:") ? 400 : 416, out, error);
  }
  const std::size_t bytes = size_of(message);
  const bool calls_are_ended = shutdown_ && now >= shutdown_->end_calls_at;
  if (calls_are_ended || calls_.size() >= kMaxCalls || call_bytes_ + bytes > kMaxCallBytes)
    return reject_unavailable(key, message, out);
  // A merged request (§8.2.2.2), or a repeat after its transaction has ended, must not start a second call.
  if (!recent_invites_.insert(now, merge_key(message))) {
    counters_.add("sip.merged");
    return reject(key, 482, out);
  }
  request.call = core::call_id(core::FrontEnd::sip, ++last_call_);
  Call call;
  call.invite = key;
  call.merge_key = merge_key(message);
  call.bytes = bytes;
  call.offer = message.body;
  Dialog& dialog = call.dialog;
  const std::string tag = ids_.next();
  dialog.call_id = message.header("Call-ID");
  dialog.local = std::string(message.header("To")).append(";tag=").append(tag);
  dialog.remote = message.header("From");
  const std::string_view contact = message.header("Contact");
  dialog.target = sip::uri_in(contact.empty() ? message.header("From") : contact);
  for (const std::string_view route : message.header_values("Record-Route"))
    dialog.routes.emplace_back(route);
  dialog.remote_cseq = sip::cseq_of(message)->number;
  dialog.flow = flow;
  by_dialog_.emplace(dialog_key(dialog.call_id, tag, sip::parameter(dialog.remote, "tag")), request.call);
  by_invite_.emplace(key, request.call);
  call_bytes_ += bytes;
  calls_.emplace(request.call, std::move(call));
  new_calls_.push_back(request.call);
  out.notify_broker(core::RequestReceived{std::move(request)});
}

void Sip::reject_unavailable(const std::string& key, const sip::Message& message, Outbox& out) {
  const StatelessResponse rejection{503, {{"Retry-After", retry_after(kNotReadyRetryAfter)}}};
  transactions_.respond_without_state(key, make_stateless(key, message, rejection), out);
}

void Sip::send_trying(Time now, Outbox& out) {
  for (const CallId id : std::exchange(new_calls_, {})) {
    Call* call = find(id);
    const sip::Message* request = call == nullptr ? nullptr : transactions_.request_of(call->invite);
    if (request == nullptr) continue;
    call->trying_sent = true;
    transactions_.respond(now, call->invite, sip::answer_to(*request, 100, sip::phrase_of(100), {}), out);
  }
}

std::string Sip::read_request(Time now, const sip::Message& message, core::Request& request) {
  if (!message.uri.starts_with("sip:")) return "the URI's scheme is not sip";
  request.number_text = sip::user_of(message.uri);
  if (request.number_text.empty()) return "the URI names no number";
  request.number = Number{jsonl::number_of_hex(request.number_text).value_or(fnv1a(request.number_text))};
  const core::Classes& classes = *settings_.classes;
  const bool emergency = sip::equals_ignore_case(message.header("Priority"), "emergency");
  const core::NamedClass* call_class = emergency ? &classes.highest_weight() : &classes.lowest_weight();
  if (const std::string_view name = message.header("Priority-Class"); !name.empty()) {
    call_class = classes.find(name);
    if (call_class == nullptr) return "Priority-Class names no class";
  }
  request.call_class = call_class->index;
  request.class_name = call_class->name;
  request.deadline = now + call_class->terms.caller_timeout;
  const std::string_view ms = message.header("Expires-Ms");
  if (const std::string_view expires = ms.empty() ? message.header("Expires") : ms; !expires.empty()) {
    const auto value = whole_number(expires);
    if (!value || *value > 1'000'000'000) return "Expires is not a number";
    const Duration wait =
        ms.empty() ? Duration(std::chrono::seconds(*value)) : Duration(std::chrono::milliseconds(*value));
    request.deadline = std::min(request.deadline, now + wait);
  }
  request.team = sip::host_of(sip::uri_in(message.header("From")));
  request.team = request.team.substr(0, request.team.find(':'));
  request.correlation_id = ids_.next();
  request.description = message.body;
  return {};
}

// ---- within a call

void Sip::handle_reinvite(Time now, const std::string& key, Call& call, const sip::Message& message,
                          Outbox& out) {
  counters_.add("sip.reinvites");
  const std::uint32_t number = sip::cseq_of(message)->number;
  if (number < call.dialog.remote_cseq) return respond(now, key, 500, out, "CSeq goes backwards");
  if (!call.answered || !call.acknowledged || !call.reinvite.empty()) return respond(now, key, 491, out);
  call.dialog.remote_cseq = number;
  // The session at the setup server cannot change: a re-INVITE with the same offer is a refresh and is
  // accepted, one with another offer is rejected.
  if (!message.body.empty() && message.body != call.offer)
    return respond(now, key, 488, out, "the session can't be changed");
  if (const std::string_view contact = message.header("Contact"); !contact.empty())
    call.dialog.target = sip::uri_in(contact);
  call.reinvite = key;
  transactions_.respond(now, key, make_ok(call, message), out);
}

void Sip::handle_ack(Time now, const sip::Message& message, Outbox& out) {
  Call* call = find(find_call_id(message));
  if (call == nullptr || !call->answered) {
    counters_.add("sip.acks_unknown");
    return;
  }
  if (!call->reinvite.empty()) {
    transactions_.handle_ack_to_2xx(now, std::exchange(call->reinvite, {}), out);
    return;
  }
  if (std::exchange(call->acknowledged, true)) return;
  counters_.add("sip.acks");
  transactions_.handle_ack_to_2xx(now, call->invite, out);
  if (call->bye_after_ack) {
    send_bye(now, *call, call->cause, out);
    forget(find_call_id(message));
  }
}

void Sip::handle_bye(Time now, const std::string& key, const sip::Message& message, Outbox& out) {
  const CallId id = find_call_id(message);
  const Call* call = find(id);
  if (call == nullptr) return reject(key, 481, out);
  counters_.add("sip.byes_in");
  respond(now, key, 200, out);
  if (!call->answered) {
    // A BYE before the final response ends the call as a CANCEL does (§15.1.2).
    respond(now, call->invite, 487, out);
    out.notify_broker(core::RequestCancelled{id});
  } else {
    transactions_.handle_ack_to_2xx(now, call->invite, out);
    if (!call->bye_after_ack) out.notify_broker(core::CallerReleased{id, 16});
  }
  forget(id);
}

void Sip::handle_cancel(Time now, const std::string& key, const sip::Message& message, Outbox& out) {
  const std::string invite = transactions_.find_cancelled_invite(message);
  if (invite.empty()) return reject(key, 481, out);
  counters_.add("sip.cancels_in");
  respond(now, key, 200, out);
  // After the final response a CANCEL has no effect: the caller acknowledges the response and sends a BYE.
  if (transactions_.has_final(invite)) return;
  respond(now, invite, 487, out);
  const auto it = by_invite_.find(invite);
  if (it == by_invite_.end()) return;
  const CallId id = it->second;
  out.notify_broker(core::RequestCancelled{id});
  forget(id);
}

void Sip::on(Time now, const net::TimerFired& event, Outbox& out) {
  if (event.key.number == kReapTimer) {
    out.arm(net::Concern::sip, kReapTimer, now + kReapInterval);
    load_control_.tick(now, out);
    resend_byes(now, out);
    return make_room(now, out);
  }
  for (const sip::TimerExpiry& expiry : transactions_.handle_timer(now, event.key.number, out)) {
    if (expiry.kind == sip::TimerExpiry::Kind::no_answer)
      load_control_.handle_request_timeout(now, expiry.key);
    if (expiry.kind != sip::TimerExpiry::Kind::no_ack) continue;
    const auto it = by_invite_.find(expiry.key);
    if (it == by_invite_.end()) continue;
    Call* call = find(it->second);
    if (call == nullptr || !call->answered || call->acknowledged) continue;
    // §13.3.1.4: a call whose 2xx is never acknowledged is ended, with cause 102 (recovery on timer expiry).
    counters_.add("sip.acks_missing");
    const CallId id = it->second;
    send_bye(now, *call, 102, out);
    if (!call->bye_after_ack) out.notify_broker(core::CallerReleased{id, 102});
    forget(id);
  }
}

// ---- the broker's effects

sip::Message Sip::make_ok(const Call& call, const sip::Message& request) const {
  sip::Message message =
      sip::answer_to(request, 200, sip::phrase_of(200), sip::parameter(call.dialog.local, "tag"));
  for (const std::string& route : call.dialog.routes) message.add("Record-Route", route);
  message.add("Contact", contact(call.dialog.flow));
  message.add("Allow", std::string(kAllow));
  if (!call.description.empty()) message.add("Content-Type", "application/sdp");
  message.body = call.description;
  return message;
}

void Sip::apply(Time now, const core::AnswerCaller& effect, Outbox& out) {
  Call* call = find(effect.call);
  if (call == nullptr) return;
  counters_.add("sip.answers");
  call->answered = true;
  call->description = effect.description;
  const sip::Message* request = transactions_.request_of(call->invite);
  if (request != nullptr) transactions_.respond(now, call->invite, make_ok(*call, *request), out);
}

void Sip::apply(Time now, const core::RejectRequest& effect, Outbox& out) {
  Call* call = find(effect.call);
  if (call == nullptr) return;
  counters_.add(effect.rejected ? "sip.refusals" : "sip.failures");
  StatelessResponse rejection = response_to(effect);
  if (!call->trying_sent && effect.rejected) {
    reject_invite(now, *call, std::move(rejection), out);
  } else if (const sip::Message* request = transactions_.request_of(call->invite)) {
    const std::string_view tag = sip::parameter(call->dialog.local, "tag");
    sip::Message message = sip::answer_to(*request, rejection.status, sip::phrase_of(rejection.status), tag);
    for (auto& [name, value] : rejection.headers) message.add(std::move(name), std::move(value));
    transactions_.respond(now, call->invite, message, out);
  }
  forget(effect.call);
}

StatelessResponse Sip::response_to(const core::RejectRequest& effect) {
  StatelessResponse rejection{effect.rejected ? 503 : 500, {}};
  if (effect.reason == core::RejectReason::number_busy) rejection.status = 486;
  if (effect.reason == core::RejectReason::deadline_exceeded)
    rejection.status = 480;  // 408 cannot carry Retry-After
  if (effect.retry_after > Duration{} || rejection.status == 503)
    rejection.headers.emplace_back("Retry-After", retry_after(effect.retry_after));
  if (effect.reason == core::RejectReason::gapped)
    rejection.headers.emplace_back("Reason", reason_header(effect.treatment));
  return rejection;
}

// Rejects an INVITE in the step of its arrival: it has become no call, and no state but the response is kept.
void Sip::reject_invite(Time now, Call& call, StatelessResponse rejection, Outbox& out) {
  if (const sip::Message* request = transactions_.request_of(call.invite))
    transactions_.respond_without_state(call.invite, make_stateless(call.invite, *request, rejection), out);
  rejected_invites_.insert(now, call.invite, std::move(rejection));
  recent_invites_.erase(call.merge_key);
}

void Sip::apply(Time now, const core::ReleaseCaller& effect, Outbox& out) {
  Call* call = find(effect.call);
  if (call == nullptr) return;
  counters_.add("sip.releases_out");
  if (!call->acknowledged) {  // §15: no BYE before the ACK
    call->bye_after_ack = true;
    call->cause = effect.cause;
    return;
  }
  send_bye(now, *call, effect.cause, out);
  forget(effect.call);
}

void Sip::send_bye(Time now, Call& call, int cause, Outbox& out) {
  Dialog& dialog = call.dialog;
  sip::Message message;
  message.method = "BYE";
  message.uri = dialog.target;
  message.add("Via", sip::make_via(dialog.flow.reliable, address(dialog.flow), ids_.next()));
  message.add("Max-Forwards", "70");
  for (const std::string& route : dialog.routes) message.add("Route", route);
  message.add("From", dialog.local);
  message.add("To", dialog.remote);
  message.add("Call-ID", dialog.call_id);
  message.add("CSeq", std::to_string(++dialog.local_cseq) + " BYE");
  message.add("Reason", "Q.850;cause=" + std::to_string(cause));
  // The next hop is the first route, else the caller's Contact; the call's connection is used while it is
  // open.
  sip::Flow flow = dialog.flow;
  const std::string hop = sip::address_in(sip::host_of(
      dialog.routes.empty() ? std::string_view(dialog.target) : sip::uri_in(dialog.routes.front())));
  if (!hop.empty()) flow.peer = hop;
  counters_.add("sip.byes_out");
  const std::string key = transactions_.send_request(now, flow, message, out);
  if (flow.reliable) byes_.sent(key, {std::move(message), std::move(flow), now, {}});
}

void Sip::resend_byes(Time now, Outbox& out) {
  for (UnconfirmedByes::Bye& bye : byes_.take_due(now)) {
    if (bye.flow.peer.empty()) continue;
    counters_.add("sip.byes_resent");
    bye.flow.conn = 0;  // its connection is closed
    for (auto& [name, value] : bye.message.headers) {
      if (name == "Via") value = sip::make_via(bye.flow.reliable, address(bye.flow), ids_.next());
    }
    bye.resend_at.reset();
    const std::string key = transactions_.send_request(now, bye.flow, bye.message, out);
    byes_.sent(key, std::move(bye));
  }
}

// ---- lookups

void Sip::forget(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const Dialog& dialog = it->second.dialog;
  by_dialog_.erase(
      dialog_key(dialog.call_id, sip::parameter(dialog.local, "tag"), sip::parameter(dialog.remote, "tag")));
  by_invite_.erase(it->second.invite);
  call_bytes_ -= it->second.bytes;
  calls_.erase(it);
}

Sip::Call* Sip::find(CallId id) {
  const auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : &it->second;
}

CallId Sip::find_call_id(const sip::Message& message) const {
  const auto it =
      by_dialog_.find(dialog_key(message.header("Call-ID"), sip::parameter(message.header("To"), "tag"),
                                 sip::parameter(message.header("From"), "tag")));
  return it == by_dialog_.end() ? CallId{0} : it->second;
}

std::string Sip::contact(const sip::Flow& flow) const {
  return "<sip:" + address(flow) + (flow.reliable ? ";transport=tcp>" : ">");
}

}  // namespace graniterun::downstream
