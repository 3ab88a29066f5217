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
constexpr std::size_t kMostPublishing = 256;  // of all operators together
constexpr std::size_t kMostPublishingOfOne = 16;
constexpr std::size_t kMostNamed = 100;            // names in one question
constexpr std::size_t kServicesTold = 100;         // in one line
constexpr std::size_t kToldStatusReason = 160;     // bytes
constexpr std::size_t kRefusalsBytes = 14 * 1024;  // of one status line, and so on: together under kLineBound
constexpr std::size_t kBehindBytes = 6 * 1024;
constexpr std::size_t kLostBytes = 8 * 1024;

std::string_view to_string(DistributorTold told) {
  constexpr std::string_view kWords[] = {"committed", "accepted", "turned_down",  "given_up", "stale",
                                         "conflict",  "unsound",  "learned_back", "standing", "full"};
  return kWords[static_cast<std::size_t>(told)];
}

// Appends until so many bytes are full; whether all had room.
bool put(json& list, json one, std::size_t& room) {
  const std::size_t size = one.dump(-1, ' ', false, json::error_handler_t::replace).size() + 1;
  if (size > room) return false;
  room -= size;
  list.push_back(std::move(one));
  return true;
}

std::string short_of(const std::string& text, std::size_t most) {
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
      others_(std::move(others)),
      core_({settings_.name, settings_.peers.size(), settings_.key, settings_.bytes_per_second,
             settings_.seed}),
      reaper_(settings_.most_connections, kIdleTimeout),
      random_(settings_.seed ^ 0x9E3779B97F4A7C15U) {
  for (const std::string& address : settings_.peers) {
    Peer peer;
    peer.address = address;
    peer.pause = kRetryLeast;
    peers_.push_back(std::move(peer));
  }
}

void ConfigDistributor::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  std::visit(
      [&](const auto& e) {
        if constexpr (requires { on(now, e, out); }) on(now, e, out);
      },
      event);
  files_of_step(effects);
  effects.insert(effects.end(), std::make_move_iterator(out.net.begin()),
                 std::make_move_iterator(out.net.end()));
}

// ---- its files

std::string ConfigDistributor::path_of(std::size_t bucket) const {
  return settings_.dir + "/bucket-" + two_digits(bucket);
}
std::string ConfigDistributor::index_path() const { return settings_.dir + "/known"; }

std::string ConfigDistributor::index_text() const {
  return line_of({{"voted", voted_}, {"buckets", known_}});
}

// First of all that a step asks for: what it says rests on them. `known` comes last, so that it names no
// bucket that may not be there, and tells of a vote only once all that was learned for it is kept.
void ConfigDistributor::files_of_step(net::Effects& effects) {
  if (!listening_) return;
  bool index = false;
  for (const std::size_t bucket : std::exchange(unsaved_, {})) {
    effects.push_back(net::WriteFile{path_of(bucket), text_of(core_.records_in(bucket)), true});
    counters_.add("distributor.buckets_written");
    index = known_.insert(bucket).second || index;
  }
  if (!voted_ && core_.standing() == Standing::voting) index = voted_ = true;
  if (index) effects.push_back(net::WriteFile{index_path(), index_text(), true});
}

void ConfigDistributor::on(Time, const net::Started&, Outbox& out) {
  out.net.push_back(net::ReadFile{index_path()});
}

void ConfigDistributor::no_use(const std::string& path, const std::string& why, Outbox& out) {
  if (std::exchange(failed_, true)) return;
  out.log(net::Level::error, path + " is no use: " + why +
                                 ". Put it right, or move the whole directory away: then this distributor "
                                 "learns all from the others");
  out.net.push_back(net::Exit{1});
}

void ConfigDistributor::on(Time now, const net::FileRead& e, Outbox& out) {
  if (listening_ || failed_) return;
  if (e.path == index_path()) {
    if (std::exchange(indexed_, true)) return;
    index_read(e, out);
  } else {
    bucket_read(e, out);
  }
  if (unread_.empty() && !failed_) begin(now, out);
}

void ConfigDistributor::index_read(const net::FileRead& e, Outbox& out) {
  if (!e.text) return;
  const json index = json::parse(*e.text, nullptr, false);
  if (!index.is_object() || !index.contains("voted") || !index["voted"].is_boolean() ||
      !index.contains("buckets") || !index["buckets"].is_array())
    return no_use(e.path, "it does not say which buckets there are", out);
  for (const json& one : index["buckets"]) {
    if (!one.is_number_unsigned() || one.get<std::uint64_t>() >= kBuckets)
      return no_use(e.path, "it names a bucket that can't be", out);
    known_.insert(one.get<std::size_t>());
  }
  voted_ = index["voted"].get<bool>();
  unread_ = known_;
  for (const std::size_t bucket : known_) out.net.push_back(net::ReadFile{path_of(bucket)});
}

void ConfigDistributor::bucket_read(const net::FileRead& e, Outbox& out) {
  const auto bucket =
      std::find_if(unread_.begin(), unread_.end(), [&](std::size_t b) { return path_of(b) == e.path; });
  if (bucket == unread_.end()) return;
  if (!e.text) return no_use(e.path, "it can't be read", out);
  try {
    for (auto& [service, record] : records_in(*e.text)) {
      if (Distributor::bucket_of(service) != *bucket)
        return no_use(e.path, "service " + service + " does not belong into it", out);
      for (const auto& document : {record.committed, record.accepted}) {
        if (document && !is_sound(settings_.key, *document))
          return no_use(e.path, "the digest of " + service + " is not its own (another key?)", out);
      }
      restored_.records.emplace(service, std::move(record));
    }
  } catch (const ProtocolError& trouble) {
    return no_use(e.path, trouble.what(), out);
  }
  unread_.erase(bucket);
}

// Only with all that was kept does it speak to anyone.
void ConfigDistributor::begin(Time now, Outbox& out) {
  listening_ = true;
  restored_.nothing = !voted_;
  out.net.push_back(net::Listen{net::Concern::control, settings_.listen});
  out.arm(net::Concern::control, 0, now);
  out.log(net::Level::info,
          settings_.name + " listens on " + settings_.listen + ", one of " +
              std::to_string(peers_.size() + 1) + " distributors, with " +
              std::to_string(restored_.records.size()) + " services" +
              (restored_.nothing ? "; it starts from nothing, without a vote for now" : ""));
  feed(now, std::exchange(restored_, {}), out);
}

// ---- the pure core

void ConfigDistributor::feed(Time now, const DistributorEvent& event, Outbox& out) {
  DistributorEffects effects;
  core_.step(now, event, effects);
  for (const DistributorEffect& effect : effects)
    std::visit([&](const auto& e) { carry_out(now, e, out); }, effect);
}

void ConfigDistributor::carry_out(Time, const Save& e, Outbox&) { unsaved_.insert(e.bucket); }
void ConfigDistributor::carry_out(Time, const SubscribeAll& e, Outbox& out) {
  send_to_peer(e.peer, subscribe_all_line(settings_.name), out);
}
void ConfigDistributor::carry_out(Time, const FetchFrom& e, Outbox& out) {
  send_to_peer(e.peer, fetch_line(e.service, e.version), out);
}
void ConfigDistributor::carry_out(Time, const HeardFrom& e, Outbox& out) {
  send_to_peer(e.peer, heard_line(), out);
}
void ConfigDistributor::carry_out(Time, const Propose& e, Outbox& out) {
  send_to_peer(e.peer, propose_line(e.proposal, e.document), out);
}
void ConfigDistributor::carry_out(Time, const AnswerProposal& e, Outbox& out) {
  send(e.client, proposal_answer_line(e), out);
}
void ConfigDistributor::carry_out(Time, const Notice& e, Outbox& out) {
  counters_.add("distributor.notices");
  send(e.client, notices_line(e), out);
}
void ConfigDistributor::carry_out(Time, const Deliver& e, Outbox& out) {
  counters_.add("distributor.documents_sent");
  counters_.add("distributor.document_bytes_sent", e.document.content.size());
  send(e.client, document_line(e.document), out);
}
void ConfigDistributor::carry_out(Time, const Missing& e, Outbox& out) {
  counters_.add("distributor.missing");
  send(e.client, missing_line(e.service), out);
}
void ConfigDistributor::carry_out(Time, const Ask& e, Outbox& out) {
  counters_.add("distributor.asked_back");
  send(e.client, ask_line(e.service), out);
}
void ConfigDistributor::carry_out(Time, const SendBeat& e, Outbox& out) { send(e.client, beat_line(), out); }

void ConfigDistributor::carry_out(Time now, const CloseClient& e, Outbox& out) {
  if (!callers_.contains(conn_of(e.client))) return;
  counters_.add("distributor.clients_closed");
  refused_.line(now, "a client's connection is closed: " + e.why, out);
  close(now, conn_of(e.client), out);
}

void ConfigDistributor::carry_out(Time, const Published& e, Outbox& out) {
  const auto it = publishing_.find(e.request);
  if (it == publishing_.end()) return;
  const Publishing asked = it->second;
  publishing_.erase(it);
  counters_.add(e.committed ? "distributor.published" : "distributor.publish_refused");
  json answer = {{"ok", e.committed}, {"service", asked.service}};
  if (e.committed) {
    answer["version"] = e.stamp.version;
    answer["digest"] = hex_of(e.stamp.digest);
  } else {
    answer["trouble"] = e.why;
    answer["standing"] =
        control::to_string(core_.standing());  // without a vote nothing was begun: another may
  }
  if (const auto caller = callers_.find(asked.conn); caller != callers_.end()) {
    if (caller->second.publishes > 0) --caller->second.publishes;
    reply(asked.conn, "publish", std::move(answer), out);
  }
}

void ConfigDistributor::carry_out(Time now, const DistributorHappened& e, Outbox& out) {
  const std::string word(to_string(e.what));
  counters_.add("distributor." + word);
  if (e.what == DistributorTold::committed || e.what == DistributorTold::accepted) return;
  if (e.what == DistributorTold::standing) {
    out.log(net::Level::info,
            "this distributor's standing is now " + std::string(control::to_string(core_.standing())));
    return;
  }
  std::string text = word;
  if (!e.service.empty()) text += " of service " + e.service;
  if (e.version != 0) text += ", version " + std::to_string(e.version);
  if (!e.reason.empty()) text += ": " + e.reason;
  happened_[static_cast<std::size_t>(e.what)].line(now, std::move(text), out);
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
  if (peer < peers_.size() && peers_[peer].up)
    out.send({net::Concern::control_client, peers_[peer].conn}, line_of(line));
}

// Drawn, and longer each time: those who come back must not all come at once.
void ConfigDistributor::pause(Time now, Peer& peer) {
  const auto whole = peer.pause.count();
  peer.next_connect = now + Duration(std::uniform_int_distribution<Duration::rep>(whole / 2, whole)(random_));
  peer.pause = std::min<Duration>(peer.pause * 2, kRetryMost);
  peer.conn = 0;
  peer.up = false;
}

void ConfigDistributor::on(Time now, const net::Connected& e, Outbox& out) {
  const auto peer = peer_of(e.conn);
  if (!peer) return out.close(e.conn);
  peers_[*peer].up = true;
  peers_[*peer].heard = now;
  counters_.add("distributor.peers_reached");
  // One that starts from nothing subscribes only later, and who says nothing is closed.
  send_to_peer(*peer, beat_answer_line(), out);
  feed(now, PeerUp{*peer}, out);
}

void ConfigDistributor::on(Time now, const net::ConnectFailed& e, Outbox& out) {
  const auto peer = peer_of(e.conn);
  if (!peer) return;
  counters_.add("distributor.peers_not_reached");
  peers_told_.line(now, "distributor " + peers_[*peer].address + " can't be reached", out);
  pause(now, peers_[*peer]);
}

void ConfigDistributor::lost(Time now, std::uint32_t peer, Outbox& out) {
  counters_.add("distributor.peers_lost");
  peers_told_.line(now, "distributor " + peers_[peer].address + " is lost", out);
  pause(now, peers_[peer]);
  feed(now, PeerDown{peer}, out);
}

// ---- whoever connects

void ConfigDistributor::on(Time now, const net::Accepted& e, Outbox& out) {
  callers_[e.conn] = {};
  reaper_.accepted(now, e.conn);
  for (const net::ConnId conn :
       reaper_.excess_connections(now, [this](net::ConnId c) { return is_busy(c); })) {
    counters_.add("distributor.connections_over");
    refused_.line(now, "there are more than " + std::to_string(settings_.most_connections) + " connections",
                  out);
    close(now, conn, out);
  }
}

bool ConfigDistributor::is_busy(net::ConnId conn) const {
  const auto it = callers_.find(conn);
  return it != callers_.end() && (it->second.client || it->second.publishes > 0);
}

void ConfigDistributor::close(Time now, net::ConnId conn, Outbox& out) {
  out.close(conn);
  on(now, net::Closed{conn, false}, out);
}

void ConfigDistributor::on(Time now, const net::Closed& e, Outbox& out) {
  if (const auto peer = peer_of(e.conn)) return lost(now, *peer, out);
  const auto it = callers_.find(e.conn);
  if (it == callers_.end()) return;
  const bool client = it->second.client;
  callers_.erase(it);
  reaper_.closed(e.conn);
  if (client) feed(now, ClientDown{e.conn.number}, out);
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

void ConfigDistributor::on(Time now, const net::Received& e, Outbox& out) {
  const bool caller = callers_.contains(e.conn);
  const auto peer = caller ? std::nullopt : peer_of(e.conn);
  if (!caller && !peer) return;
  if (peer) peers_[*peer].heard = now;
  bool whole = false;
  const auto used = read_lines(
      e.bytes,
      [&](const json& line) {
        whole = true;
        if (caller) {
          if (callers_.contains(e.conn)) from_caller(now, e.conn, line, out);
        } else if (peer_of(e.conn)) {
          peers_[*peer].pause = kRetryLeast;
          if (const auto event = peer_event_of(*peer, line)) {
            feed(now, *event, out);
          } else {
            send_to_peer(*peer, beat_answer_line(), out);
          }
        }
      },
      [&](const json&, const std::string& trouble) {
        whole = true;
        counters_.add("distributor.malformed");
        refused_.line(now, "a line is refused: " + trouble, out);
        if (callers_.contains(e.conn)) reply(e.conn, "line", {{"ok", false}, {"trouble", trouble}}, out);
      });
  if (!used) {
    counters_.add("distributor.malformed");
    refused_.line(now, "a connection is closed: a line of it has no end within 32 KiB", out);
    if (callers_.contains(e.conn))
      reply(e.conn, "line", {{"ok", false}, {"trouble", "the line has no end within 32 KiB"}}, out);
    return close(now, e.conn, out);
  }
  if (callers_.contains(e.conn)) reaper_.record_input(now, e.conn, whole, *used < e.bytes.size());
  out.net.push_back(net::Consume{e.conn, *used});
}

void ConfigDistributor::from_caller(Time now, net::ConnId conn, const json& line, Outbox& out) {
  if (line.contains("op") && line["op"] == "config") return from_operator(now, conn, line, out);
  const auto event = client_event_of(conn.number, line);
  if (!event) return;
  if (!std::exchange(callers_[conn].client, true)) feed(now, ClientUp{conn.number}, out);
  if (callers_.contains(conn)) feed(now, *event, out);
}

// ---- operators

void ConfigDistributor::from_operator(Time now, net::ConnId conn, const json& line, Outbox& out) {
  const std::string what = text_in(line, "what");
  counters_.add("distributor.asked_by_operators");
  if (what == "publish") return publish(now, conn, line, out);
  if (what == "status")
    return reply(conn, what, line.contains("service") ? status_of(now, line) : all_services(line), out);
  if (what == "attached") return reply(conn, what, attached(line), out);
  throw ProtocolError("'what' is not one of publish, status, attached");
}

void ConfigDistributor::publish(Time now, net::ConnId conn, const json& line, Outbox& out) {
  const std::string service = text_in(line, "service");
  const auto refuse = [&](const std::string& trouble) {
    counters_.add("distributor.publish_refused");
    refused_.line(now, "a document is not published: " + trouble, out);
    reply(conn, "publish",
          {{"ok", false}, {"service", short_of(service, kLongestService)}, {"trouble", trouble}}, out);
  };
  std::string content;
  try {
    content = canonical_patch(text_in(line, "content"));
  } catch (const ProtocolError& trouble) {
    return refuse(trouble.what());
  }
  if (const std::string trouble = trouble_with(service, content); !trouble.empty()) return refuse(trouble);
  Caller& caller = callers_[conn];
  if (publishing_.size() >= kMostPublishing || caller.publishes >= kMostPublishingOfOne)
    return refuse("too much is being published");
  ++caller.publishes;
  publishing_[++last_request_] = {conn, service};
  feed(now, Publish{last_request_, service, content}, out);
}

json ConfigDistributor::status_of(Time now, const json& line) const {
  const std::string service = text_in(line, "service");
  if (!is_service(service)) throw ProtocolError("'service' is no service's name");
  const std::string after = line.contains("after") ? text_in(line, "after") : "";
  const Distributor::Status status = core_.status(service);
  json answer = {{"ok", true},
                 {"service", service},
                 {"standing", control::to_string(core_.standing())},
                 {"version", status.committed.version},
                 {"subscribed", status.subscribed},
                 {"in_force", status.in_force},
                 {"refused", json::array()},
                 {"refused_all", status.refused_all},
                 {"behind", json::array()},
                 {"behind_all", status.behind_all},
                 {"lost", json::array()},
                 {"more", false}};
  if (!status.committed.none()) answer["digest"] = hex_of(status.committed.digest);
  std::size_t room = after.empty() ? kRefusalsBytes : 0;
  for (const auto& r : status.refused) {
    if (!put(answer["refused"],
             {{"name", r.name}, {"version", r.version}, {"reason", short_of(r.reason, kToldStatusReason)}},
             room))
      break;
  }
  room = after.empty() ? kBehindBytes : 0;
  for (const std::string& name : status.behind) {
    if (!put(answer["behind"], name, room)) break;
  }
  // All of these, a page a line: the command asks the other distributors for each.
  std::vector<Distributor::Lost> lost = core_.lost();
  std::ranges::sort(lost, {}, &Distributor::Lost::name);
  room = kLostBytes;
  for (const Distributor::Lost& l : lost) {
    if (l.name <= after) continue;
    const auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(now - l.since).count();
    if (!put(answer["lost"], {{"name", l.name}, {"ago_ms", ago}}, room)) {
      answer["more"] = true;
      break;
    }
  }
  return answer;
}

json ConfigDistributor::all_services(const json& line) const {
  const std::string after = line.contains("after") ? text_in(line, "after") : "";
  json answer = {{"ok", true},
                 {"standing", control::to_string(core_.standing())},
                 {"services", json::array()},
                 {"more", false}};
  const auto& records = core_.records();
  for (auto it = records.upper_bound(after); it != records.end(); ++it) {
    if (!it->second.committed) continue;
    if (answer["services"].size() >= kServicesTold) {
      answer["more"] = true;
      break;
    }
    const Distributor::Status status = core_.status(it->first);
    answer["services"].push_back({{"service", it->first},
                                  {"version", status.committed.version},
                                  {"digest", hex_of(status.committed.digest)},
                                  {"subscribed", status.subscribed},
                                  {"in_force", status.in_force},
                                  {"refused_all", status.refused_all},
                                  {"behind_all", status.behind_all}});
  }
  return answer;
}

json ConfigDistributor::attached(const json& line) const {
  const auto names = line.find("names");
  if (names == line.end() || !names->is_array() || names->size() > kMostNamed)
    throw ProtocolError("'names' is not a list of at most " + std::to_string(kMostNamed) + " names");
  json here = json::array();
  for (const json& one : *names) {
    if (!one.is_string()) throw ProtocolError("'names' holds what is not text");
    const std::string name = one.get<std::string>();
    if (core_.attached(name)) here.push_back(name);
  }
  return {{"ok", true}, {"names", std::move(here)}};
}

// ---- time

void ConfigDistributor::on(Time now, const net::TimerFired& e, Outbox& out) {
  if (e.key.concern != net::Concern::control) return;
  out.arm(net::Concern::control, 0, now + kTick);
  feed(now, Tick{}, out);
  for (std::uint32_t i = 0; i < peers_.size(); ++i) {
    Peer& peer = peers_[i];
    if (peer.up && now - peer.heard > kSilentSource) {
      out.close({net::Concern::control_client, peer.conn});
      lost(now, i, out);
    }
    if (peer.conn != 0 || now < peer.next_connect) continue;
    peer.conn = ++last_conn_;
    out.net.push_back(net::Connect{{net::Concern::control_client, peer.conn}, peer.address, kConnectTimeout});
  }
  if (now < next_look_) return;
  next_look_ = now + kReapInterval;
  const auto waits = [this](net::ConnId c) {
    const auto it = callers_.find(c);
    return it != callers_.end() && it->second.publishes > 0;
  };
  for (const auto& [conn, stuck] : reaper_.expired(now, waits)) {
    counters_.add(stuck ? "distributor.connections_stuck" : "distributor.connections_silent");
    refused_.line(now,
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
  if (others_) others_(all);
  for (const auto& [name, value] : all.all()) text += name + " " + std::to_string(value) + "\n";
  std::size_t up = 0;
  for (const Peer& peer : peers_) up += peer.up ? 1 : 0;
  text += "distributor.now.standing_" + std::string(control::to_string(core_.standing())) + " 1\n";
  text += "distributor.now.services " + std::to_string(core_.records().size()) + "\n";
  text += "distributor.now.clients " + std::to_string(core_.clients()) + "\n";
  text += "distributor.now.connections " + std::to_string(callers_.size()) + "\n";
  text += "distributor.now.peers_up " + std::to_string(up) + "\n";
  out.net.push_back(net::Print{text});
}

}  // namespace graniterun::control
