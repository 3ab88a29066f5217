#include "downstream/platform.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include "codec/number.h"
#include "core/q850.h"

namespace graniterun::downstream {
namespace {

constexpr double kMaxPool = 1e9;     // largest pool number that `dest` may name
constexpr double kMaxCircuits = 64;  // largest `width` of a call
constexpr std::size_t kMaxUnassignedReleases = 4096;
// Maximum number of connections on which one release is sent.
constexpr std::size_t kMaxReleaseCopies = 8;
constexpr Duration kReapInterval = std::chrono::milliseconds(200);
// Retention of an unconfirmed release; until then the close of its connection sends it again on another one.
constexpr Duration kReleaseRetention = std::chrono::seconds(8);

int cause_of(bool rejected, core::RejectReason reason) {
  if (rejected) return kCauseCongestion;
  return reason == core::RejectReason::number_busy ? kCauseUserBusy : kCauseTemporaryFailure;
}

jsonl::Message make_message(std::string type, std::string id, std::optional<int> cause = {}) {
  jsonl::Message message;
  message.type = std::move(type);
  message.id = std::move(id);
  message.cause = cause;
  return message;
}

// The fields that two setups of the same call under one id have in common. The time left is none of them: it
// may differ between two copies.
std::string identity_of(const jsonl::Message& message) {
  std::string text(message.field("class"));
  text.append("\n").append(message.field("key")).append("\n").append(message.field("extras")).append("\n");
  return text.append(message.description.value_or(""));
}

using OpenPools = std::optional<std::vector<Pool>>;

std::string read_destination(double value, bool is_integer, const OpenPools& open_pools,
                             core::Request& request) {
  if (!is_integer) return "'dest' is not a whole number";
  request.destination = Pool{static_cast<std::int64_t>(value)};
  const bool closed = open_pools && std::ranges::find(*open_pools, request.destination) == open_pools->end();
  if (value < -1 || (value >= 0 && closed)) return "'dest' is no pool of the class";
  return {};
}

// Parses the numbers of a call, as in dest:2;width:1;via:-1, into `request`. Returns the error that is sent
// to the caller; empty if there is none.
std::string read_extras(std::string_view extras, const OpenPools& open_pools, core::Request& request) {
  while (!extras.empty()) {
    const std::string_view piece = extras.substr(0, extras.find(';'));
    extras.remove_prefix(std::min(extras.size(), piece.size() + 1));
    const std::size_t colon = piece.find(':');
    const std::string_view name = piece.substr(0, colon);
    const auto value = colon == std::string_view::npos ? std::optional<double>{}
                                                       : number_in<double>(piece.substr(colon + 1));
    if (!value) return "'extras' is not name:number pairs";
    // Checked before the conversion: a value out of the range of an integer would become another destination.
    const bool is_integer = std::floor(*value) == *value && std::abs(*value) <= kMaxPool;
    if (name == "dest") {
      if (std::string error = read_destination(*value, is_integer, open_pools, request); !error.empty())
        return error;
    }
    if (name == "width") {
      if (!is_integer || *value < 1 || *value > kMaxCircuits) return "'width' is not from 1 to 64";
      request.circuits = *value;
    }
    if (name == "again") request.is_reconnect = *value != 0.0;
  }
  return {};
}

}  // namespace

void Platform::start(Time now, Outbox& out) const { out.arm(net::Concern::platform, 0, now + kReapInterval); }

void Platform::on(Time now, const net::Accepted& event, Outbox& out) {
  counters_.add("platform.connections");
  connections_.try_emplace(event.conn);
  reaper_.accepted(now, event.conn);
  for (auto& [id, line] : unread_releases()) send_release(now, event.conn, id, std::move(line), out);
  make_room(now, out);
}

// The releases that wait for a connection, and those that were sent only where no caller is known and are
// unconfirmed.
std::map<std::string, std::string> Platform::unread_releases() {
  std::map<std::string, std::string> lines;
  for (auto& [id, line] : std::exchange(unassigned_releases_, {}))
    lines.insert_or_assign(id, std::move(line));
  for (const auto& [conn, connection] : connections_) {
    if (connection.has_sent_setup) continue;
    for (const auto& [id, release] : connection.unconfirmed_releases)
      lines.insert_or_assign(id, release.line);
  }
  return lines;
}

// Closes idle connections above the limit, so that connections kept open without use do not lock out callers.
// The runtime keeps a connection that has unread input, which may be a request.
void Platform::make_room(Time now, Outbox& out) {
  for (const net::ConnId conn :
       reaper_.excess_connections(now, [this](net::ConnId c) { return is_busy(c); })) {
    counters_.add("platform.closed_for_room");
    out.net.push_back(net::CloseIfIdle{conn, true});
  }
}

void Platform::begin_handover(Time now, Time close_callers_at, Outbox& out) {
  close_callers_at_ = close_callers_at;
  continue_handover(now, out);
}

// The runtime delivers input that has arrived meanwhile instead of closing.
void Platform::continue_handover(Time now, Outbox& out) {
  if (!close_callers_at_) return;
  const bool keep_established = now < *close_callers_at_;
  for (const auto& [conn, connection] : connections_) {
    if (!connection.waiting.empty() || !connection.unconfirmed_releases.empty()) continue;
    if (reaper_.has_partial_message(conn)) continue;
    if (keep_established && !connection.established.empty()) continue;
    out.net.push_back(net::CloseIfIdle{conn});
  }
}

void Platform::on(Time now, const net::TimerFired&, Outbox& out) {
  out.arm(net::Concern::platform, 0, now + kReapInterval);
  continue_handover(now, out);
  make_room(now, out);
  // The release of an established call may find no other connection: its own does not count as idle.
  const auto is_in_use = [this](net::ConnId c) { return is_busy(c) || has_established_call(c); };
  for (const ConnectionReaper::Expired& expired : reaper_.expired(now, is_in_use)) {
    counters_.add("platform.closed_idle");
    if (expired.message_timed_out) {
      close(now, expired.conn, out);
    } else {  // not closed if a request has arrived meanwhile
      out.net.push_back(net::CloseIfIdle{expired.conn});
    }
  }
  for (auto& [conn, connection] : connections_)
    std::erase_if(connection.unconfirmed_releases,
                  [now](const auto& pending) { return now - pending.second.sent_at > kReleaseRetention; });
}

// Closes the connection for any reason on this side: requests that were read on it are answered first.
void Platform::close(Time now, net::ConnId conn, Outbox& out) {
  if (const auto it = connections_.find(conn); it != connections_.end())
    answer_waiting(conn, it->second, out);
  out.close(conn);
  on(now, net::Closed{conn, false}, out);
}

bool Platform::is_busy(net::ConnId conn) const {
  const auto it = connections_.find(conn);
  return it != connections_.end() && !it->second.waiting.empty();
}

bool Platform::has_established_call(net::ConnId conn) const {
  const auto it = connections_.find(conn);
  return it != connections_.end() && !it->second.established.empty();
}

void Platform::on(Time now, const net::Received& event, Outbox& out) {
  std::size_t used = 0;
  bool complete = false;
  while (used < event.bytes.size()) {
    const jsonl::ReadResult read = jsonl::read(event.bytes.substr(used));
    if (read.state == jsonl::ReadState::more && read.used == 0) break;
    used += read.used;
    if (read.state == jsonl::ReadState::more) break;
    complete = true;
    if (read.state == jsonl::ReadState::message) {
      handle_message(now, event.conn, read.message, out);
      continue;
    }
    reject_malformed(now, event.conn, read.message.id, read.error, out);
    if (read.unrecoverable || read.message.id.empty()) {
      return close(now, event.conn, out);
    }
  }
  reaper_.record_input(now, event.conn, complete, used < event.bytes.size());
  out.net.push_back(net::Consume{event.conn, used});
}

void Platform::reject_malformed(Time now, net::ConnId conn, const std::string& id, const std::string& error,
                                Outbox& out) {
  counters_.add("platform.malformed");
  malformed_warning_.line(now, "caller's line rejected: " + error, out);
  if (id.empty()) return;
  // The rejection ends the connection's own call under the id, which would get a second answer otherwise.
  // Calls of other connections under that id stay.
  if (const auto it = by_id_.find(id); it != by_id_.end() && calls_.at(it->second).conn == conn)
    release_by_caller(it->second, kCauseInvalidMessage, out);
  jsonl::Message message = make_message("release", id, kCauseInvalidMessage);
  message.fields.emplace("reason", error);
  out.send(conn, message.text());
}

void Platform::handle_message(Time now, net::ConnId conn, const jsonl::Message& message, Outbox& out) {
  if (message.type == "setup") return handle_setup(now, conn, message, out);
  if (message.type == "ping") {
    counters_.add("platform.pings");
    out.send(conn, make_message("pong", message.id, ready_ ? 1 : 0).text());
  } else if (message.type == "release") {
    counters_.add("platform.releases_in");
    out.debug(now, [&] {
      return "release_received call=" + message.id + " caller=" + std::to_string(conn.number);
    });
    const auto it = by_id_.find(message.id);
    const bool unanswered = it != by_id_.end() && !calls_.at(it->second).established;
    if (!unanswered) out.send(conn, make_message("released", message.id).text());
    if (it == by_id_.end()) return;
    // An established call may be released on any connection, an open setup only on its own.
    if (unanswered && calls_.at(it->second).conn != conn)
      return reject_malformed(now, conn, message.id, "the id is that of another open call", out);
    release_by_caller(it->second, message.cause.value_or(kCauseNormalClearing), out);
  } else if (message.type == "released") {
    counters_.add("platform.released_in");
    out.debug(now, [&] {
      return "release_confirmed call=" + message.id + " caller=" + std::to_string(conn.number);
    });
    for (auto& [other, connection] : connections_) connection.unconfirmed_releases.erase(message.id);
  } else if (message.type != "progress") {
    counters_.add("platform.unknown_type");
  }
}

void Platform::handle_setup(Time now, net::ConnId conn, const jsonl::Message& message, Outbox& out) {
  counters_.add("platform.setups");
  if (const auto it = by_id_.find(message.id); it != by_id_.end()) {
    Call& call = calls_.at(it->second);
    const bool own = call.conn == conn;
    // A setup under an open id is the same call only if its identity is equal: any connection may name the
    // id, and a different setup of a misbehaving client would draw the answer away from the call's caller. A
    // copy on its own connection needs no second answer; one on another connection raced the close of the
    // first, and the call moves there.
    const bool same = call.identity == identity_of(message);
    if (!same || (call.established && !own))
      return reject_malformed(now, conn, message.id, "the id is that of another open call", out);
    if (!own) {
      if (const auto former = connections_.find(call.conn); former != connections_.end())
        former->second.waiting.erase(it->second);
      call.conn = conn;
      connections_[conn].waiting.insert(it->second);
    }
    return;
  }
  if (connections_[conn].peer_closed) {
    // The caller may have closed only its sending side: the setup is answered, and no attempt starts for it.
    counters_.add("platform.setups_of_the_gone");
    return out.send(conn, make_message("release", message.id, kCauseCongestion).text());
  }
  core::Request request;
  const std::string error = read_request(now, message, request);
  if (!error.empty()) return reject_malformed(now, conn, message.id, error, out);
  request.call = core::call_id(core::FrontEnd::platform, ++last_call_);
  out.debug(now,
            [&] { return "setup_received call=" + message.id + " caller=" + std::to_string(conn.number); });
  calls_.emplace(request.call, Call{message.id, conn, identity_of(message)});
  by_id_.emplace(message.id, request.call);
  connections_[conn].waiting.insert(request.call);
  connections_[conn].has_sent_setup = true;
  out.notify_broker(core::RequestReceived{std::move(request)});
}

std::string Platform::read_request(Time now, const jsonl::Message& message, core::Request& request) const {
  const core::NamedClass* call_class = settings_.classes->find(message.field("class"));
  if (call_class == nullptr) return "the class is not one of the settings";
  request.call_class = call_class->index;
  request.class_name = call_class->name;
  const auto left = number_in<double>(message.field("left"));
  if (!left || !(*left >= 0.0) || *left > 1e8) return "'left' is not a time in milliseconds";
  request.deadline =
      now + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(*left));
  request.number_text = message.field("key");
  const auto key = jsonl::number_of_hex(message.field("key"));
  if (!key) return "'key' is not hex digits";
  request.number = Number{*key};
  request.correlation_id = message.id;
  request.redial = !message.field("retry").empty() && message.field("retry") != "0";
  request.description = message.description.value_or("");
  return read_extras(message.field("extras"), call_class->terms.open_pools, request);
}

void Platform::on(Time now, const net::Closed& event, Outbox& out) {
  reaper_.closed(event.conn);
  const auto it = connections_.find(event.conn);
  if (it == connections_.end()) return;
  Connection closed = std::move(it->second);
  connections_.erase(it);
  out.debug(now, [&] {
    return "caller_closed caller=" + std::to_string(event.conn.number) +
           " open_setups=" + std::to_string(closed.waiting.size()) +
           " unconfirmed_releases=" + std::to_string(closed.unconfirmed_releases.size());
  });
  cancel_waiting(closed, out);
  // A release that was not confirmed on this connection is sent again on another one: calls are not bound to
  // a connection.
  for (const auto& [id, release] : closed.unconfirmed_releases)
    send_release(now, event.conn, id, release.line, out);
}

// The caller has closed its sending side, possibly with unread input still buffered. It may still read, so
// each of its open setups is answered.
void Platform::on(Time, const net::PeerClosed& event, Outbox& out) {
  const auto it = connections_.find(event.conn);
  if (it == connections_.end()) return;
  it->second.peer_closed = true;
  answer_waiting(event.conn, it->second, out);
}

void Platform::answer_waiting(net::ConnId conn, Connection& connection, Outbox& out) {
  for (const CallId call : connection.waiting)
    out.send(conn, make_message("release", calls_.at(call).id, kCauseTemporaryFailure).text());
  cancel_waiting(connection, out);
}

void Platform::cancel_waiting(Connection& connection, Outbox& out) {
  for (const CallId call : std::exchange(connection.waiting, {})) {
    forget(call);
    out.notify_broker(core::RequestCancelled{call});
  }
}

// ---- the broker's effects

void Platform::apply(const core::AnswerCaller& effect, Outbox& out) {
  const auto it = calls_.find(effect.call);
  if (it == calls_.end()) return;
  counters_.add("platform.answers");
  it->second.established = true;
  Connection& connection = connections_[it->second.conn];
  connection.waiting.erase(effect.call);
  connection.established.insert(effect.call);
  jsonl::Message message = make_message("answer", it->second.id);
  message.description = effect.description;
  out.send(it->second.conn, message.text());
}

void Platform::apply(const core::RejectRequest& effect, Outbox& out) {
  const auto it = calls_.find(effect.call);
  if (it == calls_.end()) return;
  counters_.add(effect.rejected ? "platform.refusals" : "platform.failures");
  const bool gapped = effect.reason == core::RejectReason::gapped;
  jsonl::Message message = make_message(
      "release", it->second.id, gapped ? effect.treatment.cause : cause_of(effect.rejected, effect.reason));
  if (!effect.treatment.text.empty()) message.fields.emplace("reason", effect.treatment.text);
  if (effect.retry_after > Duration{}) {
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(effect.retry_after).count();
    message.fields.emplace("wait", std::to_string(ms));
  }
  out.send(it->second.conn, message.text());
  forget(effect.call);
}

void Platform::apply(Time now, const core::ReleaseCaller& effect, Outbox& out) {
  const auto it = calls_.find(effect.call);
  if (it == calls_.end()) return;
  counters_.add("platform.releases_out");
  const Call call = it->second;
  forget(effect.call);
  send_release(now, call.conn, call.id, make_message("release", call.id, effect.cause).text(), out);
}

void Platform::apply(Time now, const core::ForwardRelease& effect, Outbox& out) {
  counters_.add("platform.releases_passed_on");
  send_release(now, {}, effect.correlation_id,
               make_message("release", effect.correlation_id, effect.cause).text(), out);
}

// The connections on which a release is sent: the preferred one, else the newest one on which a setup has
// come. Where there is none either, whether a caller or a misbehaving client holds a connection is unknown,
// and the newest ones of all are used.
std::vector<net::ConnId> Platform::release_connections(net::ConnId preferred) const {
  const auto own = connections_.find(preferred);
  if (own != connections_.end() && !own->second.peer_closed) return {preferred};
  std::vector<net::ConnId> unknown;
  for (const auto& [conn, connection] : std::views::reverse(connections_)) {
    if (connection.peer_closed) continue;
    if (connection.has_sent_setup) return {conn};
    if (unknown.size() < kMaxReleaseCopies) unknown.push_back(conn);
  }
  return unknown;
}

// Sends the release of a call, or keeps it for the next connection that is accepted.
void Platform::send_release(Time now, net::ConnId preferred, const std::string& id, std::string line,
                            Outbox& out) {
  const std::vector<net::ConnId> targets = release_connections(preferred);
  for (const net::ConnId conn : targets) {
    out.debug(now, [&] { return "caller_released call=" + id + " caller=" + std::to_string(conn.number); });
    out.send(conn, line);
    connections_.at(conn).unconfirmed_releases.insert_or_assign(id, PendingRelease{line, now});
  }
  if (!targets.empty()) return;
  out.debug(now, [&] { return "caller_released call=" + id + " waits_for_connection=1"; });
  if (unassigned_releases_.size() >= kMaxUnassignedReleases)
    return counters_.add("platform.releases_dropped");
  unassigned_releases_.emplace_back(id, std::move(line));
}

void Platform::release_by_caller(CallId call, int cause, Outbox& out) {
  const bool was_established = calls_.at(call).established;
  forget(call);
  if (was_established) {
    out.notify_broker(core::CallerReleased{call, cause});
  } else {
    out.notify_broker(core::RequestCancelled{call});
  }
}

void Platform::forget(CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return;
  if (const auto conn = connections_.find(it->second.conn); conn != connections_.end()) {
    conn->second.waiting.erase(call);
    conn->second.established.erase(call);
  }
  by_id_.erase(it->second.id);
  calls_.erase(it);
}

}  // namespace graniterun::downstream
