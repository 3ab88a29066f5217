#include "control/config_distributor.h"

#include <algorithm>

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;
using namespace distribution;

constexpr Duration kTick = 50ms;
constexpr Duration kConnectTimeout = 1s;
constexpr Duration kIdleTimeout = 20s;  // four beats: who is there answers each
constexpr Duration kReapInterval = 250ms;
constexpr std::size_t kMaxPublications = 256;  // of all operators together
constexpr std::size_t kMaxPublicationsPerOperator = 16;
constexpr std::size_t kMaxNamesInQuestion = 100;     // names in one question
constexpr std::size_t kMaxServicesInLine = 100;      // in one line
constexpr std::size_t kMaxStatusReasonLength = 160;  // bytes
// of one status line, and so on: together under kLineBound
constexpr std::size_t kMaxRejectionBytes = 14 * 1024;
constexpr std::size_t kMaxBehindBytes = 6 * 1024;
constexpr std::size_t kMaxLostBytes = 8 * 1024;

std::string_view to_string(DistributorLogKind told) {
  constexpr std::string_view kWords[] = {"committed", "accepted", "turned_down",  "given_up", "stale",
                                         "conflict",  "unsound",  "learned_back", "standing", "full"};
  return kWords[static_cast<std::size_t>(told)];
}

// Appends until so many bytes are full; whether all had room.
bool append_within(json& list, json one, std::size_t& room) {
  const std::size_t size = one.dump(-1, ' ', false, json::error_handler_t::replace).size() + 1;
  if (size > room) return false;
  room -= size;
  list.push_back(std::move(one));
  return true;
}

std::string shortened(const std::string& text, std::size_t most) {
  if (text.size() <= most) return text;
  while (most > 0 && (static_cast<unsigned char>(text[most]) & 0xC0) == 0x80) --most;
  return text.substr(0, most) + "...";
}

std::string two_digits(std::size_t number) {
  std::string text = std::to_string(number);
  return text.size() < 2 ? "0" + text : text;
}

net::ConnId conn_of(ClientId client) { return {net::Concern::control, static_cast<std::uint32_t>(client)}; }

}  // namespace

ConfigDistributor::ConfigDistributor(ConfigDistributorSettings settings,
                                     std::function<void(Counters&)> others)
    : settings_(std::move(settings)),
      add_runtime_counters_(std::move(others)),
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
      event, [&](const auto& one) requires requires { on(now, one, out); } { on(now, one, out); });
  write_changed_files(effects);
  effects.insert(effects.end(), std::make_move_iterator(out.net.begin()),
                 std::make_move_iterator(out.net.end()));
}

// ---- its files

std::string ConfigDistributor::path_of(std::size_t bucket) const {
  return settings_.directory + "/bucket-" + two_digits(bucket);
}
std::string ConfigDistributor::index_path() const { return settings_.directory + "/known"; }

std::string ConfigDistributor::index_text() const {
  return line_of({{"voted", has_voted_}, {"buckets", stored_buckets_}});
}

// First of all that a step asks for: what it says rests on them. `known` comes last, so that it names no
// bucket that may not be there, and tells of a vote only once all that was learned for it is kept.
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

void ConfigDistributor::reject_file(const std::string& path, const std::string& why, Outbox& out) {
  if (std::exchange(failed_, true)) return;
  out.log(net::Level::error, path + " is no use: " + why +
                                 ". Put it right, or move the whole directory away: then this distributor "
                                 "learns all from the others");
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
  const json index = json::parse(*event.text, nullptr, false);
  if (!index.is_object() || !index.contains("voted") || !index["voted"].is_boolean() ||
      !index.contains("buckets") || !index["buckets"].is_array())
    return reject_file(event.path, "it does not say which buckets there are", out);
  for (const json& one : index["buckets"]) {
    if (!one.is_number_unsigned() || one.get<std::uint64_t>() >= kBuckets)
      return reject_file(event.path, "it names a bucket that can't be", out);
    stored_buckets_.insert(one.get<std::size_t>());
  }
  has_voted_ = index["voted"].get<bool>();
  unread_buckets_ = stored_buckets_;
  for (const std::size_t bucket : stored_buckets_) out.net.push_back(net::ReadFile{path_of(bucket)});
}

void ConfigDistributor::read_bucket(const net::FileRead& event, Outbox& out) {
  const auto bucket = std::find_if(unread_buckets_.begin(), unread_buckets_.end(),
                                   [&](std::size_t b) { return path_of(b) == event.path; });
  if (bucket == unread_buckets_.end()) return;
  if (!event.text) return reject_file(event.path, "it can't be read", out);
  try {
    for (auto& [service, record] : parse_records(*event.text)) {
      if (Distributor::bucket_of(service) != *bucket)
        return reject_file(event.path, "service " + service + " does not belong into it", out);
      for (const auto& document : {record.committed, record.accepted}) {
        if (document && !is_sound(settings_.key, *document))
          return reject_file(event.path, "the digest of " + service + " is not its own (another key?)", out);
      }
      restored_.records.emplace(service, std::move(record));
    }
  } catch (const ProtocolError& trouble) {
    return reject_file(event.path, trouble.what(), out);
  }
  unread_buckets_.erase(bucket);
}

// Only with all that was kept does it speak to anyone.
void ConfigDistributor::start_serving(Time now, Outbox& out) {
  listening_ = true;
  restored_.empty = !has_voted_;
  out.net.push_back(net::Listen{net::Concern::control, settings_.listen});
  out.arm(net::Concern::control, 0, now);
  out.log(net::Level::info, settings_.name + " listens on " + settings_.listen + ", one of " +
                                std::to_string(peers_.size() + 1) + " distributors, with " +
                                std::to_string(restored_.records.size()) + " services" +
                                (restored_.empty ? "; it starts from nothing, without a vote for now" : ""));
  step_distributor(now, std::exchange(restored_, {}), out);
}

// ---- the pure core

void ConfigDistributor::step_distributor(Time now, const DistributorEvent& event, Outbox& out) {
  DistributorEffects effects;
  distributor_.step(now, event, effects);
  for (const DistributorEffect& effect : effects)
    std::visit([&](const auto& notice) { apply(now, notice, out); }, effect);
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
  malformed_warning_.line(now, "a client's connection is closed: " + effect.reason, out);
  close(now, conn_of(effect.client), out);
}

void ConfigDistributor::apply(Time, const PublishFinished& event, Outbox& out) {
  const auto it = pending_publications_.find(event.request);
  if (it == pending_publications_.end()) return;
  const PendingPublication asked = it->second;
  pending_publications_.erase(it);
  counters_.add(event.committed ? "distributor.published" : "distributor.publish_refused");
  json answer = {{"ok", event.committed}, {"service", asked.service}};
  if (event.committed) {
    answer["version"] = event.id.version;
    answer["digest"] = to_hex(event.id.digest);
  } else {
    answer["trouble"] = event.reason;
    answer["standing"] =
        control::to_string(distributor_.voter_state());  // without a vote nothing was begun: another may
  }
  if (const auto caller = callers_.find(asked.conn); caller != callers_.end()) {
    if (caller->second.pending_publications > 0) --caller->second.pending_publications;
    reply(asked.conn, "publish", std::move(answer), out);
  }
}

void ConfigDistributor::apply(Time now, const DistributorLogEvent& event, Outbox& out) {
  const std::string word(to_string(event.kind));
  counters_.add("distributor." + word);
  if (event.kind == DistributorLogKind::committed || event.kind == DistributorLogKind::accepted) return;
  if (event.kind == DistributorLogKind::voter_state) {
    out.log(net::Level::info, "this distributor's standing is now " +
                                  std::string(control::to_string(distributor_.voter_state())));
    return;
  }
  std::string text = word;
  if (!event.service.empty()) text += " of service " + event.service;
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

// Drawn, and longer each time: those who come back must not all come at once.
void ConfigDistributor::back_off(Time now, Peer& peer) {
  const auto whole = peer.backoff.count();
  peer.next_connect = now + Duration(std::uniform_int_distribution<Duration::rep>(whole / 2, whole)(random_));
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
  // One that starts from nothing subscribes only later, and who says nothing is closed.
  send_to_peer(*peer, heartbeat_answer_line(), out);
  step_distributor(now, PeerConnected{*peer}, out);
}

void ConfigDistributor::on(Time now, const net::ConnectFailed& event, Outbox& out) {
  const auto peer = peer_of(event.conn);
  if (!peer) return;
  counters_.add("distributor.peers_not_reached");
  peer_warning_.line(now, "distributor " + peers_[*peer].address + " can't be reached", out);
  back_off(now, peers_[*peer]);
}

void ConfigDistributor::handle_peer_lost(Time now, std::uint32_t peer, Outbox& out) {
  counters_.add("distributor.peers_lost");
  peer_warning_.line(now, "distributor " + peers_[peer].address + " is lost", out);
  back_off(now, peers_[peer]);
  step_distributor(now, PeerDisconnected{peer}, out);
}

// ---- whoever connects

void ConfigDistributor::on(Time now, const net::Accepted& event, Outbox& out) {
  callers_[event.conn] = {};
  reaper_.accepted(now, event.conn);
  for (const net::ConnId conn :
       reaper_.excess_connections(now, [this](net::ConnId c) { return is_busy(c); })) {
    counters_.add("distributor.connections_over");
    malformed_warning_.line(
        now, "there are more than " + std::to_string(settings_.max_connections) + " connections", out);
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

void ConfigDistributor::on(Time now, const net::Received& notice, Outbox& out) {
  const bool caller = callers_.contains(notice.conn);
  const auto peer = caller ? std::nullopt : peer_of(notice.conn);
  if (!caller && !peer) return;
  if (peer) peers_[*peer].last_received_at = now;
  bool whole = false;
  const auto used = read_lines(
      notice.bytes,
      [&](const json& line) {
        whole = true;
        if (caller) {
          if (callers_.contains(notice.conn)) handle_caller_line(now, notice.conn, line, out);
        } else if (peer_of(notice.conn)) {
          peers_[*peer].backoff = kMinReconnectBackoff;
          if (const auto event = parse_peer_line(*peer, line)) {
            step_distributor(now, *event, out);
          } else {
            send_to_peer(*peer, heartbeat_answer_line(), out);
          }
        }
      },
      [&](const json&, const std::string& trouble) {
        whole = true;
        counters_.add("distributor.malformed");
        malformed_warning_.line(now, "a line is refused: " + trouble, out);
        if (callers_.contains(notice.conn))
          reply(notice.conn, "line", {{"ok", false}, {"trouble", trouble}}, out);
      });
  if (!used) {
    counters_.add("distributor.malformed");
    malformed_warning_.line(now, "a connection is closed: a line of it has no end within 32 KiB", out);
    if (callers_.contains(notice.conn))
      reply(notice.conn, "line", {{"ok", false}, {"trouble", "the line has no end within 32 KiB"}}, out);
    return close(now, notice.conn, out);
  }
  if (callers_.contains(notice.conn))
    reaper_.record_input(now, notice.conn, whole, *used < notice.bytes.size());
  out.net.push_back(net::Consume{notice.conn, *used});
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
    return reply(conn, what, line.contains("service") ? status_of(now, line) : all_services(line), out);
  if (what == "attached") return reply(conn, what, attached(line), out);
  throw ProtocolError("'what' is not one of publish, status, attached");
}

void ConfigDistributor::handle_publish(Time now, net::ConnId conn, const json& line, Outbox& out) {
  const std::string service = text_in(line, "service");
  const auto refuse = [&](const std::string& trouble) {
    counters_.add("distributor.publish_refused");
    malformed_warning_.line(now, "a document is not published: " + trouble, out);
    reply(conn, "publish",
          {{"ok", false}, {"service", shortened(service, kMaxServiceNameLength)}, {"trouble", trouble}}, out);
  };
  std::string content;
  try {
    content = canonical_patch(text_in(line, "content"));
  } catch (const ProtocolError& trouble) {
    return refuse(trouble.what());
  }
  if (const std::string trouble = find_config_error(service, content); !trouble.empty())
    return refuse(trouble);
  Caller& caller = callers_[conn];
  if (pending_publications_.size() >= kMaxPublications ||
      caller.pending_publications >= kMaxPublicationsPerOperator)
    return refuse("too much is being published");
  ++caller.pending_publications;
  pending_publications_[++last_request_] = {conn, service};
  step_distributor(now, PublishRequested{last_request_, service, content}, out);
}

json ConfigDistributor::status_of(Time now, const json& line) const {
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
  std::size_t room = after.empty() ? kMaxRejectionBytes : 0;
  for (const auto& rejection : status.rejections) {
    if (!append_within(answer["refused"],
                       {{"name", rejection.name},
                        {"version", rejection.version},
                        {"reason", shortened(rejection.reason, kMaxStatusReasonLength)}},
                       room))
      break;
  }
  room = after.empty() ? kMaxBehindBytes : 0;
  for (const std::string& name : status.behind) {
    if (!append_within(answer["behind"], name, room)) break;
  }
  // All of these, a page a line: the command asks the other distributors for each.
  std::vector<Distributor::LostGatekeeper> lost = distributor_.lost_gatekeepers();
  std::ranges::sort(lost, {}, &Distributor::LostGatekeeper::name);
  room = kMaxLostBytes;
  for (const Distributor::LostGatekeeper& l : lost) {
    if (l.name <= after) continue;
    const auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(now - l.lost_at).count();
    if (!append_within(answer["lost"], {{"name", l.name}, {"ago_ms", ago}}, room)) {
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

json ConfigDistributor::attached(const json& line) const {
  const auto names = line.find("names");
  if (names == line.end() || !names->is_array() || names->size() > kMaxNamesInQuestion)
    throw ProtocolError("'names' is not a list of at most " + std::to_string(kMaxNamesInQuestion) + " names");
  json here = json::array();
  for (const json& one : *names) {
    if (!one.is_string()) throw ProtocolError("'names' holds what is not text");
    const std::string name = one.get<std::string>();
    if (distributor_.is_attached(name)) here.push_back(name);
  }
  return {{"ok", true}, {"names", std::move(here)}};
}

// ---- time

void ConfigDistributor::on(Time now, const net::TimerFired& event, Outbox& out) {
  if (event.key.concern != net::Concern::control) return;
  out.arm(net::Concern::control, 0, now + kTick);
  step_distributor(now, Tick{}, out);
  for (std::uint32_t i = 0; i < peers_.size(); ++i) {
    Peer& peer = peers_[i];
    if (peer.connected && now - peer.last_received_at > kSilentSource) {
      out.close({net::Concern::control_client, peer.conn});
      handle_peer_lost(now, i, out);
    }
    if (peer.conn != 0 || now < peer.next_connect) continue;
    peer.conn = ++last_conn_;
    out.net.push_back(net::Connect{{net::Concern::control_client, peer.conn}, peer.address, kConnectTimeout});
  }
  if (now < next_reap_at_) return;
  next_reap_at_ = now + kReapInterval;
  const auto waits = [this](net::ConnId c) {
    const auto it = callers_.find(c);
    return it != callers_.end() && it->second.pending_publications > 0;
  };
  for (const auto& [conn, stuck] : reaper_.expired(now, waits)) {
    counters_.add(stuck ? "distributor.connections_stuck" : "distributor.connections_silent");
    malformed_warning_.line(now,
                            std::string("a connection is closed: ") +
                                (stuck ? "no whole line came in time" : "it says nothing any more"),
                            out);
    close(now, conn, out);
  }
}

void ConfigDistributor::on(Time, const net::StopRequested&, Outbox& out) {
  out.log(net::Level::info, settings_.name + " ends");
  out.net.push_back(net::Exit{0});
}

void ConfigDistributor::on(Time, const net::CountersRequested&, Outbox& out) {
  std::string text;
  Counters all = counters_;
  if (add_runtime_counters_) add_runtime_counters_(all);
  for (const auto& [name, value] : all.all()) text += name + " " + std::to_string(value) + "\n";
  std::size_t up = 0;
  for (const Peer& peer : peers_) up += peer.connected ? 1 : 0;
  text += "distributor.now.standing_" + std::string(control::to_string(distributor_.voter_state())) + " 1\n";
  text += "distributor.now.services " + std::to_string(distributor_.records().size()) + "\n";
  text += "distributor.now.clients " + std::to_string(distributor_.clients()) + "\n";
  text += "distributor.now.connections " + std::to_string(callers_.size()) + "\n";
  text += "distributor.now.peers_up " + std::to_string(up) + "\n";
  out.net.push_back(net::Print{text});
}

}  // namespace graniterun::control
