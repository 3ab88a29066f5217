#include "control/config_distributor.h"

#include <algorithm>

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;
using namespace distribution;

constexpr Duration kTick = 50ms;
constexpr Duration kConnectTimeout = 1s;
constexpr Duration kIdleTimeout = 20s;  // four heartbeat intervals; a live client answers each heartbeat
constexpr Duration kReapInterval = 250ms;
constexpr std::size_t kMaxPublications = 256;  // unanswered, all operators together
constexpr std::size_t kMaxPublicationsPerOperator = 16;
constexpr std::size_t kMaxNamesInQuery = 100;        // gatekeeper names in one `attached` query
constexpr std::size_t kMaxServicesInLine = 100;      // services in one line of the list of all services
constexpr std::size_t kMaxStatusReasonLength = 160;  // bytes of each rejection reason in a status line
// Bytes of the three lists in one status line; their sum leaves room for the rest under kMaxLineBytes.
constexpr std::size_t kMaxRejectionBytes = 14 * 1024;
constexpr std::size_t kMaxBehindBytes = 6 * 1024;
constexpr std::size_t kMaxLostBytes = 8 * 1024;

// The suffix of the kind's counter, `distributor.` before it.
std::string_view to_string(DistributorLogKind kind) {
  constexpr std::string_view kNames[] = {"committed", "accepted", "turned_down",  "given_up", "stale",
                                         "conflict",  "unsound",  "learned_back", "standing", "full"};
  return kNames[static_cast<std::size_t>(kind)];
}

// Appends the entry if its text fits into the remaining bytes, and returns whether it did.
bool append_within(json& list, json entry, std::size_t& remaining_bytes) {
  const std::size_t size = entry.dump(-1, ' ', false, json::error_handler_t::replace).size() + 1;
  if (size > remaining_bytes) return false;
  remaining_bytes -= size;
  list.push_back(std::move(entry));
  return true;
}

// The first `max_bytes` of the text, without a partial UTF-8 sequence, and "..." where it was cut.
std::string shortened(const std::string& text, std::size_t max_bytes) {
  if (text.size() <= max_bytes) return text;
  while (max_bytes > 0 && (static_cast<unsigned char>(text[max_bytes]) & 0xC0) == 0x80) --max_bytes;
  return text.substr(0, max_bytes) + "...";
}

std::string two_digits(std::size_t number) {
  std::string text = std::to_string(number);
  return text.size() < 2 ? "0" + text : text;
}

net::ConnId conn_of(ClientId client) { return {net::Concern::control, static_cast<std::uint32_t>(client)}; }

}  // namespace

ConfigDistributor::ConfigDistributor(ConfigDistributorSettings settings,
                                     std::function<void(Counters&)> add_runtime_counters)
    : settings_(std::move(settings)),
      add_runtime_counters_(std::move(add_runtime_counters)),
      distributor_({settings_.name, settings_.peers.size(), settings_.key, settings_.bytes_per_second,
                    settings_.seed}),
      reaper_(settings_.max_connections, kIdleTimeout),
      random_(settings_.seed ^ 0x9E3779B97F4A7C15U) {
  for (const std::string& address : settings_.peers) {
    Peer peer;
    peer.address = address;
    peer.backoff = kMinReconnectBackoff;
    peers_.push_back(std::move(peer));
  }
}

void ConfigDistributor::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  net::dispatch(
      event, [&](const auto& e) requires requires { on(now, e, out); } { on(now, e, out); });
  write_changed_files(effects);
  effects.insert(effects.end(), std::make_move_iterator(out.net.begin()),
                 std::make_move_iterator(out.net.end()));
}

// ---- files

std::string ConfigDistributor::path_of(std::size_t bucket) const {
  return settings_.directory + "/bucket-" + two_digits(bucket);
}
std::string ConfigDistributor::index_path() const { return settings_.directory + "/known"; }

std::string ConfigDistributor::index_text() const {
  return line_of({{"voted", has_voted_}, {"buckets", stored_buckets_}});
}

// Writes files before any other effect of the step, because sent messages depend on what is stored. The index
// is written last: it lists only buckets that exist, and records the vote only after everything recovered for
// it is stored.
void ConfigDistributor::write_changed_files(net::Effects& effects) {
  if (!listening_) return;
  bool index = false;
  for (const std::size_t bucket : std::exchange(changed_buckets_, {})) {
    effects.push_back(
        net::WriteFile{path_of(bucket), serialize_records(distributor_.records_in(bucket)), true});
    counters_.add("distributor.buckets_written");
    index = stored_buckets_.insert(bucket).second || index;
  }
  if (!has_voted_ && distributor_.voter_state() == VoterState::voting) index = has_voted_ = true;
  if (index) effects.push_back(net::WriteFile{index_path(), index_text(), true});
}

void ConfigDistributor::on(Time, const net::Started&, Outbox& out) {
  out.net.push_back(net::ReadFile{index_path()});
}

void ConfigDistributor::reject_file(const std::string& path, const std::string& reason, Outbox& out) {
  if (std::exchange(failed_, true)) return;
  out.log(net::Level::error, path + " is no use: " + reason +
                                 ". Repair it, or move the whole directory away: the distributor then "
                                 "recovers its records from the others");
  out.net.push_back(net::Exit{1});
}

void ConfigDistributor::on(Time now, const net::FileRead& event, Outbox& out) {
  if (listening_ || failed_) return;
  if (event.path == index_path()) {
    if (std::exchange(index_read_, true)) return;
    read_index(event, out);
  } else {
    read_bucket(event, out);
  }
  if (unread_buckets_.empty() && !failed_) start_serving(now, out);
}

void ConfigDistributor::read_index(const net::FileRead& event, Outbox& out) {
  if (!event.text) return;
  const json index = parse_bounded_json(*event.text).value;
  if (!index.is_object() || !index.contains("voted") || !index["voted"].is_boolean() ||
      !index.contains("buckets") || !index["buckets"].is_array())
    return reject_file(event.path, "the index is not an object with 'voted' and 'buckets'", out);
  for (const json& bucket : index["buckets"]) {
    if (!bucket.is_number_unsigned() || bucket.get<std::uint64_t>() >= kBuckets)
      return reject_file(event.path, "the index lists an invalid bucket number", out);
    stored_buckets_.insert(bucket.get<std::size_t>());
  }
  has_voted_ = index["voted"].get<bool>();
  unread_buckets_ = stored_buckets_;
  for (const std::size_t bucket : stored_buckets_) out.net.push_back(net::ReadFile{path_of(bucket)});
}

void ConfigDistributor::read_bucket(const net::FileRead& event, Outbox& out) {
  const auto bucket = std::find_if(unread_buckets_.begin(), unread_buckets_.end(),
                                   [&](std::size_t b) { return path_of(b) == event.path; });
  if (bucket == unread_buckets_.end()) return;
  if (!event.text) return reject_file(event.path, "cannot read it", out);
  try {
    for (auto& [service, record] : parse_records(*event.text)) {
      if (Distributor::bucket_of(service) != *bucket)
        return reject_file(event.path, "service " + service + " belongs to another bucket", out);
      for (const auto& config : {record.committed, record.accepted}) {
        if (config && !is_valid_config(settings_.key, *config))
          return reject_file(event.path, "digest mismatch of service " + service + " (another key?)", out);
      }
      restored_.records.emplace(service, std::move(record));
    }
  } catch (const ProtocolError& error) {
    return reject_file(event.path, error.what(), out);
  }
  unread_buckets_.erase(bucket);
}

// Starts to listen and to connect, after all stored records are read.
void ConfigDistributor::start_serving(Time now, Outbox& out) {
  listening_ = true;
  restored_.empty = !has_voted_;
  out.net.push_back(net::Listen{net::Concern::control, settings_.listen});
  out.arm(net::Concern::control, 0, now);
  out.log(net::Level::info, settings_.name + " listens on " + settings_.listen + ", one of " +
                                std::to_string(peers_.size() + 1) + " distributors, with " +
                                std::to_string(restored_.records.size()) + " services" +
                                (restored_.empty ? "; it starts uninitialized and does not vote yet" : ""));
  step_distributor(now, std::exchange(restored_, {}), out);
}

// ---- the distribution state machine

void ConfigDistributor::step_distributor(Time now, const DistributorEvent& event, Outbox& out) {
  DistributorEffects effects;
  distributor_.step(now, event, effects);
  for (const DistributorEffect& effect : effects)
    std::visit([&](const auto& e) { apply(now, e, out); }, effect);
}

void ConfigDistributor::apply(Time, const SaveBucket& effect, Outbox&) {
  changed_buckets_.insert(effect.bucket);
}
void ConfigDistributor::apply(Time, const SubscribeToPeer& effect, Outbox& out) {
  send_to_peer(effect.peer, subscribe_all_line(settings_.name), out);
}
void ConfigDistributor::apply(Time, const FetchFromPeer& effect, Outbox& out) {
  send_to_peer(effect.peer, fetch_line(effect.service, effect.version), out);
}
void ConfigDistributor::apply(Time, const AcknowledgePeer& effect, Outbox& out) {
  send_to_peer(effect.peer, acknowledge_line(), out);
}
void ConfigDistributor::apply(Time, const SendProposal& effect, Outbox& out) {
  send_to_peer(effect.peer, propose_line(effect.proposal, effect.config), out);
}
void ConfigDistributor::apply(Time, const AnswerProposal& effect, Outbox& out) {
  send(effect.client, proposal_answer_line(effect), out);
}
void ConfigDistributor::apply(Time, const NotifyVersions& effect, Outbox& out) {
  counters_.add("distributor.notices");
  send(effect.client, versions_line(effect), out);
}
void ConfigDistributor::apply(Time, const DeliverConfig& effect, Outbox& out) {
  counters_.add("distributor.documents_sent");
  counters_.add("distributor.document_bytes_sent", effect.config.content.size());
  send(effect.client, config_line(effect.config), out);
}
void ConfigDistributor::apply(Time, const SendMissing& effect, Outbox& out) {
  counters_.add("distributor.missing");
  send(effect.client, missing_line(effect.service), out);
}
void ConfigDistributor::apply(Time, const RequestConfig& effect, Outbox& out) {
  counters_.add("distributor.asked_back");
  send(effect.client, request_config_line(effect.service), out);
}
void ConfigDistributor::apply(Time, const SendHeartbeat& effect, Outbox& out) {
  send(effect.client, heartbeat_line(), out);
}

void ConfigDistributor::apply(Time now, const CloseClient& effect, Outbox& out) {
  if (!callers_.contains(conn_of(effect.client))) return;
  counters_.add("distributor.clients_closed");
  malformed_warning_.line(now, "client connection closed: " + effect.reason, out);
  close(now, conn_of(effect.client), out);
}

void ConfigDistributor::apply(Time, const PublishFinished& event, Outbox& out) {
  const auto it = pending_publications_.find(event.request);
  if (it == pending_publications_.end()) return;
  const PendingPublication publication = it->second;
  pending_publications_.erase(it);
  counters_.add(event.committed ? "distributor.published" : "distributor.publish_refused");
  json answer = {{"ok", event.committed}, {"service", publication.service}};
  if (event.committed) {
    answer["version"] = event.id.version;
    answer["digest"] = to_hex(event.id.digest);
  } else {
    answer["trouble"] = event.reason;
    // A distributor that is not a voter has proposed nothing, so the operator may publish at another one.
    answer["standing"] = control::to_string(distributor_.voter_state());
  }
  if (const auto caller = callers_.find(publication.conn); caller != callers_.end()) {
    if (caller->second.pending_publications > 0) --caller->second.pending_publications;
    reply(publication.conn, "publish", std::move(answer), out);
  }
}

void ConfigDistributor::apply(Time now, const DistributorLogEvent& event, Outbox& out) {
  const std::string kind(to_string(event.kind));
  counters_.add("distributor." + kind);
  if (event.kind == DistributorLogKind::committed || event.kind == DistributorLogKind::accepted) return;
  if (event.kind == DistributorLogKind::voter_state) {
    out.log(net::Level::info,
            "voter state is now " + std::string(control::to_string(distributor_.voter_state())));
    return;
  }
  std::string text = kind;
  if (!event.service.empty()) text += ": service " + event.service;
  if (event.version != 0) text += ", version " + std::to_string(event.version);
  if (!event.reason.empty()) text += ": " + event.reason;
  event_warnings_[static_cast<std::size_t>(event.kind)].line(now, std::move(text), out);
}

// ---- the other distributors

std::optional<std::uint32_t> ConfigDistributor::peer_of(net::ConnId conn) const {
  if (conn.concern != net::Concern::control_client || conn.number == 0) return std::nullopt;
  for (std::uint32_t i = 0; i < peers_.size(); ++i) {
    if (peers_[i].conn == conn.number) return i;
  }
  return std::nullopt;
}

void ConfigDistributor::send_to_peer(std::uint32_t peer, const json& line, Outbox& out) {
  if (peer < peers_.size() && peers_[peer].connected)
    out.send({net::Concern::control_client, peers_[peer].conn}, line_of(line));
}

// Schedules the next connect after a randomized exponential backoff, so that distributors do not all
// reconnect at the same time.
void ConfigDistributor::back_off(Time now, Peer& peer) {
  const auto backoff = peer.backoff.count();
  peer.next_connect =
      now + Duration(std::uniform_int_distribution<Duration::rep>(backoff / 2, backoff)(random_));
  peer.backoff = std::min<Duration>(peer.backoff * 2, kMaxReconnectBackoff);
  peer.conn = 0;
  peer.connected = false;
}

void ConfigDistributor::on(Time now, const net::Connected& event, Outbox& out) {
  const auto peer = peer_of(event.conn);
  if (!peer) return out.close(event.conn);
  peers_[*peer].connected = true;
  peers_[*peer].last_received_at = now;
  counters_.add("distributor.peers_reached");
  // An uninitialized distributor subscribes later, and the peer closes a connection that sends nothing.
  send_to_peer(*peer, heartbeat_answer_line(), out);
  step_distributor(now, PeerConnected{*peer}, out);
}

void ConfigDistributor::on(Time now, const net::ConnectFailed& event, Outbox& out) {
  const auto peer = peer_of(event.conn);
  if (!peer) return;
  counters_.add("distributor.peers_not_reached");
  peer_warning_.line(now, "distributor " + peers_[*peer].address + ": connect failed", out);
  back_off(now, peers_[*peer]);
}

void ConfigDistributor::handle_peer_lost(Time now, std::uint32_t peer, Outbox& out) {
  counters_.add("distributor.peers_lost");
  peer_warning_.line(now, "distributor " + peers_[peer].address + ": connection lost", out);
  back_off(now, peers_[peer]);
  step_distributor(now, PeerDisconnected{peer}, out);
}

// ---- accepted connections

void ConfigDistributor::on(Time now, const net::Accepted& event, Outbox& out) {
  callers_[event.conn] = {};
  reaper_.accepted(now, event.conn);
  for (const net::ConnId conn :
       reaper_.excess_connections(now, [this](net::ConnId c) { return is_busy(c); })) {
    counters_.add("distributor.connections_over");
    malformed_warning_.line(
        now, "connection closed: more than " + std::to_string(settings_.max_connections) + " connections",
        out);
    close(now, conn, out);
  }
}

bool ConfigDistributor::is_busy(net::ConnId conn) const {
  const auto it = callers_.find(conn);
  return it != callers_.end() && (it->second.is_client || it->second.pending_publications > 0);
}

void ConfigDistributor::close(Time now, net::ConnId conn, Outbox& out) {
  out.close(conn);
  on(now, net::Closed{conn, false}, out);
}

void ConfigDistributor::on(Time now, const net::Closed& event, Outbox& out) {
  if (const auto peer = peer_of(event.conn)) return handle_peer_lost(now, *peer, out);
  const auto it = callers_.find(event.conn);
  if (it == callers_.end()) return;
  const bool client = it->second.is_client;
  callers_.erase(it);
  reaper_.closed(event.conn);
  if (client) step_distributor(now, ClientDisconnected{event.conn.number}, out);
}

void ConfigDistributor::send(ClientId client, const json& line, Outbox& out) {
  if (callers_.contains(conn_of(client))) out.send(conn_of(client), line_of(line));
}

void ConfigDistributor::reply(net::ConnId conn, std::string_view what, json answer, Outbox& out) {
  answer["re"] = "config";
  answer["what"] = what;
  answer["distributor"] = settings_.name;
  out.send(conn, line_of(answer));
}

void ConfigDistributor::on(Time now, const net::Received& event, Outbox& out) {
  const bool is_caller = callers_.contains(event.conn);
  const auto peer = is_caller ? std::nullopt : peer_of(event.conn);
  if (!is_caller && !peer) return;
  if (peer) peers_[*peer].last_received_at = now;
  bool complete_line = false;
  const auto used = read_lines(
      event.bytes,
      [&](const json& line) {
        complete_line = true;
        if (is_caller) {
          if (callers_.contains(event.conn)) handle_caller_line(now, event.conn, line, out);
        } else if (peer_of(event.conn)) {
          peers_[*peer].backoff = kMinReconnectBackoff;
          if (const auto parsed = parse_peer_line(*peer, line)) {
            step_distributor(now, *parsed, out);
          } else {
            send_to_peer(*peer, heartbeat_answer_line(), out);
          }
        }
      },
      [&](const json&, const std::string& error) {
        complete_line = true;
        counters_.add("distributor.malformed");
        malformed_warning_.line(now, "malformed line: " + error, out);
        if (callers_.contains(event.conn))
          reply(event.conn, "line", {{"ok", false}, {"trouble", error}}, out);
      });
  if (!used) {
    counters_.add("distributor.malformed");
    malformed_warning_.line(now, "connection closed: a line is longer than 32 KiB", out);
    if (callers_.contains(event.conn))
      reply(event.conn, "line", {{"ok", false}, {"trouble", "the line has no end within 32 KiB"}}, out);
    return close(now, event.conn, out);
  }
  if (callers_.contains(event.conn))
    reaper_.record_input(now, event.conn, complete_line, *used < event.bytes.size());
  out.net.push_back(net::Consume{event.conn, *used});
}

void ConfigDistributor::handle_caller_line(Time now, net::ConnId conn, const json& line, Outbox& out) {
  if (line.contains("op") && line["op"] == "config") return handle_operator_line(now, conn, line, out);
  const auto event = parse_client_line(conn.number, line);
  if (!event) return;
  if (!std::exchange(callers_[conn].is_client, true))
    step_distributor(now, ClientConnected{conn.number}, out);
  if (callers_.contains(conn)) step_distributor(now, *event, out);
}

// ---- operators

void ConfigDistributor::handle_operator_line(Time now, net::ConnId conn, const json& line, Outbox& out) {
  const std::string what = text_in(line, "what");
  counters_.add("distributor.asked_by_operators");
  if (what == "publish") return handle_publish(now, conn, line, out);
  if (what == "status")
    return reply(conn, what, line.contains("service") ? service_status(now, line) : all_services(line), out);
  if (what == "attached") return reply(conn, what, attached_gatekeepers(line), out);
  throw ProtocolError("'what' is not one of publish, status, attached");
}

void ConfigDistributor::handle_publish(Time now, net::ConnId conn, const json& line, Outbox& out) {
  const std::string service = text_in(line, "service");
  const auto reject = [&](const std::string& reason) {
    counters_.add("distributor.publish_refused");
    malformed_warning_.line(now, "configuration not published: " + reason, out);
    reply(conn, "publish",
          {{"ok", false}, {"service", shortened(service, kMaxServiceNameLength)}, {"trouble", reason}}, out);
  };
  std::string content;
  try {
    content = canonical_patch(text_in(line, "content"));
  } catch (const ProtocolError& error) {
    return reject(error.what());
  }
  if (const std::string error = find_config_error(service, content); !error.empty()) return reject(error);
  Caller& caller = callers_[conn];
  if (pending_publications_.size() >= kMaxPublications ||
      caller.pending_publications >= kMaxPublicationsPerOperator)
    return reject("too much is being published");
  ++caller.pending_publications;
  pending_publications_[++last_request_] = {conn, service};
  step_distributor(now, PublishRequested{last_request_, service, content}, out);
}

json ConfigDistributor::service_status(Time now, const json& line) const {
  const std::string service = text_in(line, "service");
  if (!is_service_name(service)) throw ProtocolError("'service' is no service's name");
  const std::string after = line.contains("after") ? text_in(line, "after") : "";
  const Distributor::Status status = distributor_.status(service);
  json answer = {{"ok", true},
                 {"service", service},
                 {"standing", control::to_string(distributor_.voter_state())},
                 {"version", status.committed.version},
                 {"subscribed", status.subscribed},
                 {"in_force", status.active},
                 {"refused", json::array()},
                 {"refused_all", status.rejected_count},
                 {"behind", json::array()},
                 {"behind_all", status.behind_count},
                 {"lost", json::array()},
                 {"more", false}};
  if (!status.committed.none()) answer["digest"] = to_hex(status.committed.digest);
  std::size_t remaining_bytes = after.empty() ? kMaxRejectionBytes : 0;
  for (const auto& rejection : status.rejections) {
    if (!append_within(answer["refused"],
                       {{"name", rejection.name},
                        {"version", rejection.version},
                        {"reason", shortened(rejection.reason, kMaxStatusReasonLength)}},
                       remaining_bytes))
      break;
  }
  remaining_bytes = after.empty() ? kMaxBehindBytes : 0;
  for (const std::string& name : status.behind) {
    if (!append_within(answer["behind"], name, remaining_bytes)) break;
  }
  // Lost gatekeepers are listed completely, in pages of one line: the command asks the other distributors
  // whether each of them is attached there.
  std::vector<Distributor::LostGatekeeper> lost = distributor_.lost_gatekeepers();
  std::ranges::sort(lost, {}, &Distributor::LostGatekeeper::name);
  remaining_bytes = kMaxLostBytes;
  for (const Distributor::LostGatekeeper& gatekeeper : lost) {
    if (gatekeeper.name <= after) continue;
    const auto ago_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - gatekeeper.lost_at).count();
    if (!append_within(answer["lost"], {{"name", gatekeeper.name}, {"ago_ms", ago_ms}}, remaining_bytes)) {
      answer["more"] = true;
      break;
    }
  }
  return answer;
}

json ConfigDistributor::all_services(const json& line) const {
  const std::string after = line.contains("after") ? text_in(line, "after") : "";
  json answer = {{"ok", true},
                 {"standing", control::to_string(distributor_.voter_state())},
                 {"services", json::array()},
                 {"more", false}};
  const auto& records = distributor_.records();
  for (auto it = records.upper_bound(after); it != records.end(); ++it) {
    if (!it->second.committed) continue;
    if (answer["services"].size() >= kMaxServicesInLine) {
      answer["more"] = true;
      break;
    }
    const Distributor::Status status = distributor_.status(it->first);
    answer["services"].push_back({{"service", it->first},
                                  {"version", status.committed.version},
                                  {"digest", to_hex(status.committed.digest)},
                                  {"subscribed", status.subscribed},
                                  {"in_force", status.active},
                                  {"refused_all", status.rejected_count},
                                  {"behind_all", status.behind_count}});
  }
  return answer;
}

json ConfigDistributor::attached_gatekeepers(const json& line) const {
  const auto names = line.find("names");
  if (names == line.end() || !names->is_array() || names->size() > kMaxNamesInQuery)
    throw ProtocolError("'names' is not a list of at most " + std::to_string(kMaxNamesInQuery) + " names");
  json attached = json::array();
  for (const json& entry : *names) {
    if (!entry.is_string()) throw ProtocolError("'names' holds what is not text");
    const std::string name = entry.get<std::string>();
    if (distributor_.is_gatekeeper_connected(name)) attached.push_back(name);
  }
  return {{"ok", true}, {"names", std::move(attached)}};
}

// ---- timers, counters and the end

void ConfigDistributor::on(Time now, const net::TimerFired& event, Outbox& out) {
  if (event.key.concern != net::Concern::control) return;
  out.arm(net::Concern::control, 0, now + kTick);
  step_distributor(now, Tick{}, out);
  for (std::uint32_t i = 0; i < peers_.size(); ++i) {
    Peer& peer = peers_[i];
    if (peer.connected && now - peer.last_received_at > kSourceTimeout) {
      out.close({net::Concern::control_client, peer.conn});
      handle_peer_lost(now, i, out);
    }
    if (peer.conn != 0 || now < peer.next_connect) continue;
    peer.conn = ++last_conn_;
    out.net.push_back(net::Connect{{net::Concern::control_client, peer.conn}, peer.address, kConnectTimeout});
  }
  if (now < next_reap_at_) return;
  next_reap_at_ = now + kReapInterval;
  const auto awaits_publication = [this](net::ConnId c) {
    const auto it = callers_.find(c);
    return it != callers_.end() && it->second.pending_publications > 0;
  };
  for (const auto& [conn, stuck] : reaper_.expired(now, awaits_publication)) {
    counters_.add(stuck ? "distributor.connections_stuck" : "distributor.connections_silent");
    malformed_warning_.line(now,
                            std::string("connection closed: ") +
                                (stuck ? "no complete line within the time limit" : "idle timeout"),
                            out);
    close(now, conn, out);
  }
}

void ConfigDistributor::on(Time, const net::StopRequested&, Outbox& out) {
  out.log(net::Level::info, settings_.name + " stops on request");
  out.net.push_back(net::Exit{0});
}

void ConfigDistributor::on(Time, const net::CountersRequested&, Outbox& out) {
  std::string text;
  Counters all = counters_;
  if (add_runtime_counters_) add_runtime_counters_(all);
  for (const auto& [name, value] : all.all()) text += name + " " + std::to_string(value) + "\n";
  std::size_t connected_peers = 0;
  for (const Peer& peer : peers_) connected_peers += peer.connected ? 1 : 0;
  text += "distributor.now.standing_" + std::string(control::to_string(distributor_.voter_state())) + " 1\n";
  text += "distributor.now.services " + std::to_string(distributor_.records().size()) + "\n";
  text += "distributor.now.clients " + std::to_string(distributor_.client_count()) + "\n";
  text += "distributor.now.connections " + std::to_string(callers_.size()) + "\n";
  text += "distributor.now.peers_up " + std::to_string(connected_peers) + "\n";
  out.net.push_back(net::Print{text});
}

}  // namespace graniterun::control
