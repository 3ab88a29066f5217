#include "control/control.h"

#include <algorithm>

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;
using namespace call_gapping;

constexpr Duration kTick = 50ms;
constexpr Duration kReportInterval = 100ms;
constexpr Duration kHotCheckInterval = 200ms;
// Empty demand reports continue this long after the last demand, so that the publisher's rates fall to zero.
constexpr Duration kNoDemandReportDuration = 10s;
constexpr Duration kIdleTimeout = 60s;
// Slots are ceded up to this long before they begin.
constexpr Duration kCedeAhead = 1s;
constexpr std::size_t kMaxDemands = 100;  // in a demand report
constexpr std::size_t kMaxSlotsInLine = 1024;
constexpr std::size_t kMaxHotNumbers = 20;  // in the answer to "list" and in the gauges: the hottest

// The value of "calls": the rate of calls, per second, at each gatekeeper of the fleet.
std::vector<double> parse_demand(const json& line, std::uint32_t fleet_size) {
  const auto calls = line.find("calls");
  if (calls == line.end() || !calls->is_array() || calls->size() != fleet_size)
    throw ProtocolError("'calls' is not a list with a number for each gatekeeper");
  std::vector<double> demand;
  for (const json& rate : *calls) {
    if (!rate.is_number() || !(rate.get<double>() >= 0.0 && rate.get<double>() < 1e9))
      throw ProtocolError("'calls' holds what is no number of calls");
    demand.push_back(rate.get<double>());
  }
  return demand;
}

// Whether it is a list of a slot's number and its owner's fleet index.
bool is_slot_pair(const json& pair, std::uint32_t fleet_size) {
  return pair.is_array() && pair.size() == 2 && pair[0].is_number_unsigned() &&
         pair[1].is_number_unsigned() && pair[1].get<std::uint64_t>() < fleet_size &&
         pair[0].get<std::uint64_t>() <= 1ULL << 62;
}

std::vector<OwnedSlot> parse_slots(const json& line, std::uint32_t fleet_size) {
  const auto pairs = line.find("slots");
  if (pairs == line.end() || !pairs->is_array() || pairs->size() > kMaxSlotsInLine)
    throw ProtocolError("'slots' is not a list of at most 1024 pairs");
  std::vector<OwnedSlot> slots;
  for (const json& pair : *pairs) {
    if (!is_slot_pair(pair, fleet_size)) throw ProtocolError("'slots' holds what is no slot and gatekeeper");
    slots.push_back({pair[0].get<Slot>(), pair[1].get<std::uint32_t>()});
  }
  return slots;
}

}  // namespace

Control::Control(ControlSettings settings, Counters& counters)
    : settings_(std::move(settings)), counters_(counters), reaper_(settings_.max_connections, kIdleTimeout) {
  if (settings_.max_retry_after <= Duration{}) settings_.max_retry_after = 2s;
  if (settings_.hot) hot_numbers_.emplace(*settings_.hot);
}

void Control::start(Time now, Outbox& out) {
  started_at_ = demand_reported_at_ = now;
  register_.emplace(settings_.fleet, settings_.seed, now, settings_.max_retry_after);
  if (!settings_.member_names.empty()) {
    failover_.emplace(settings_.fleet);
    register_->use_failover(&*failover_);
    register_->set_port_owned(now, false);  // until this process has bound its fleet port
  }
  if (!settings_.listen) return;
  out.net.push_back(net::Listen{net::Concern::control, *settings_.listen});
  out.arm(net::Concern::control, 0, now + kTick);
}

bool Control::ready(Time now) const {
  return !settings_.listen || synced_ || now - started_at_ >= settings_.publisher_sync_timeout;
}

GapDecision Control::check(Time now, std::string_view number, std::string_view class_name) {
  if (hot_numbers_) hot_numbers_->record_call(now, number.substr(0, kMaxTextLength));
  GapDecision verdict = register_->check(now, number, class_name);
  if (!verdict.passes) counters_.add("gaps.gapped");
  return verdict;
}

std::vector<Gauge> Control::gauges(Time now) const {
  std::vector<Gauge> gauges;
  for (const HotNumber& hot : hot_numbers_ ? hot_numbers_->hot(now) : std::vector<HotNumber>{}) {
    if (gauges.size() >= kMaxHotNumbers) break;
    gauges.push_back({"gaps.hot_number",
                      "{call}/s",
                      hot.rate,
                      {{"number", hot.number},
                       {"since_unix_ms", std::to_string(to_unix_ms(hot.hot_since))},
                       {"gapped", hot.gapped ? "true" : "false"}}});
  }
  return gauges;
}

// ---- connections

void Control::on(Time now, const net::Accepted& event, Outbox& out) {
  counters_.add("control.connections");
  peers_.try_emplace(event.conn);
  reaper_.accepted(now, event.conn);
  const auto busy = [this](net::ConnId conn) {
    return peers_.at(conn).watching || peers_.at(conn).publisher_incarnation;
  };
  for (const net::ConnId conn : reaper_.excess_connections(now, busy)) {
    counters_.add("control.closed_for_room");
    close(now, conn, out);
  }
}

void Control::on(Time, const net::Closed& event, Outbox&) {
  reaper_.closed(event.conn);
  peers_.erase(event.conn);
  if (publisher_ == event.conn) publisher_.reset();
}

void Control::close(Time now, net::ConnId conn, Outbox& out) {
  out.close(conn);
  on(now, net::Closed{conn, false}, out);
}

void Control::on(Time now, const net::Received& event, Outbox& out) {
  bool complete = false;
  const auto used = read_lines(
      event.bytes,
      [&](const json& line) {
        complete = true;
        handle_line(now, event.conn, line, out);
      },
      [&](const json& line, const std::string& reason) {
        complete = true;
        counters_.add("control.malformed");
        malformed_warning_.line(now, "control line rejected: " + reason, out);
        reply(now, event.conn, line, {{"ok", false}, {"trouble", reason}}, out);
      });
  if (!used) {
    counters_.add("control.malformed");
    malformed_warning_.line(now, "control line rejected: no line feed within 32 KiB, connection closed", out);
    reply(now, event.conn, json::object(), {{"ok", false}, {"trouble", "the line has no end within 32 KiB"}},
          out);
    return close(now, event.conn, out);
  }
  reaper_.record_input(now, event.conn, complete, *used < event.bytes.size());
  out.net.push_back(net::Consume{event.conn, *used});
}

void Control::on(Time now, const net::TimerFired&, Outbox& out) {
  out.arm(net::Concern::control, 0, now + kTick);
  const auto busy = [this](net::ConnId conn) {
    return peers_.at(conn).watching || peers_.at(conn).publisher_incarnation;
  };
  for (const auto& [conn, stuck] : reaper_.expired(now, busy)) {
    counters_.add("control.closed_idle");
    close(now, conn, out);
  }
  if (now - demand_reported_at_ >= kReportInterval) send_demand_report(now, out);
  if (hot_numbers_ && now - hot_checked_at_ >= kHotCheckInterval) check_hot_numbers(now, out);
}

// ---- lines

void Control::reply(Time now, net::ConnId conn, const json& line, json answer, Outbox& out) {
  answer["gatekeeper"] = settings_.name;
  answer["clock"] = to_unix_ms(now);
  if (const auto op = line.find("op"); op != line.end() && op->is_string()) answer["re"] = *op;
  out.send(conn, line_of(answer));
}

template <class Predicate>
void Control::send_to_peers(const json& event, Predicate is_recipient, Outbox& out) {
  const std::string line = line_of(event);
  for (const auto& [conn, peer] : peers_) {
    if (is_recipient(conn, peer)) out.send(conn, line);
  }
}

void Control::handle_line(Time now, net::ConnId conn, const json& line, Outbox& out) {
  const std::string op = text_in(line, "op");
  if (op == "announce") return handle_announce(now, conn, line, out);
  if (op == "list") return handle_list(now, conn, line, out);
  if (op == "watch") {
    peers_.at(conn).watching = true;
    return reply(now, conn, line, {{"ok", true}}, out);
  }
  if (op == "announcer") return handle_publisher(now, conn, line, out);
  if (op == "synced") {
    synced_ = true;
    return reply(now, conn, line, {{"ok", true}, {"digest", fingerprint_text(register_->digest())}}, out);
  }
  if (op == "demand") return handle_demand(now, conn, line, out);
  if (op == "grant") return handle_grant(now, conn, line);
  if (const auto operation = operations_.find(op); operation != operations_.end())
    return reply(now, conn, line, operation->second(now, line, out), out);
  throw ProtocolError("'op' is not one of announce, list, watch, announcer, synced, demand, grant");
}

// A gap publisher has connected and announced itself. The answer requests its complete register: this
// gatekeeper may have missed gaps while the publisher was disconnected, or before this process started.
void Control::handle_publisher(Time now, net::ConnId conn, const json& line, Outbox& out) {
  peers_.at(conn).publisher_incarnation = fingerprint_in(line, "life");
  publisher_ = conn;  // the latest: an older one may be half-open
  counters_.add("control.announcers");
  out.log(net::Level::info, "an announcer of gaps is here");
  reply(now, conn, line,
        {{"ok", true},
         {"want", "all"},
         {"fleet", settings_.fleet.size},
         {"index", settings_.fleet.index},
         {"digest", fingerprint_text(register_->digest())}},
        out);
}

// The call rate of each gatekeeper of the fleet for one gap: slots beyond this one's own need are ceded.
void Control::handle_demand(Time now, net::ConnId conn, const json& line, Outbox& out) {
  const std::optional<std::uint64_t> incarnation = peers_.at(conn).publisher_incarnation;
  if (!incarnation) throw ProtocolError("only an announcer tells of demand");
  const std::vector<double> demand = parse_demand(line, settings_.fleet.size);
  if (publisher_ != conn) return;
  const std::string id = text_in(line, "id");
  const std::vector<Slot> slots = register_->cede(now, id, fingerprint_in(line, "mark"), demand, kCedeAhead);
  if (slots.empty()) return;
  counters_.add("gaps.slots_ceded", slots.size());
  out.send(conn, line_of({{"event", "cede"},
                          {"life", fingerprint_text(*incarnation)},
                          {"index", settings_.fleet.index},
                          {"id", id},
                          {"mark", line["mark"]},
                          {"slots", slots}}));
}

void Control::handle_grant(Time now, net::ConnId conn, const json& line) {
  if (!peers_.at(conn).publisher_incarnation) throw ProtocolError("only an announcer grants slots");
  const std::vector<OwnedSlot> slots = parse_slots(line, settings_.fleet.size);
  counters_.add("gaps.slots_granted", slots.size());
  register_->grant(now, text_in(line, "id"), fingerprint_in(line, "mark"), slots);
}

void Control::set_port_owned(Time now, bool owned) {
  if (failover_) register_->set_port_owned(now, owned);
}

std::optional<std::uint32_t> Control::fleet_index_of(const std::string& name) const {
  const auto it = std::lower_bound(settings_.member_names.begin(), settings_.member_names.end(), name);
  if (!failover_ || it == settings_.member_names.end() || *it != name) return std::nullopt;
  return static_cast<std::uint32_t>(it - settings_.member_names.begin());
}

void Control::port_released(Time now, const std::string& name, Time probed_at) {
  if (const auto index = fleet_index_of(name)) failover_->mark_unreachable(now, *index, probed_at);
}
void Control::member_joined(const std::string& name) {
  if (const auto index = fleet_index_of(name)) failover_->mark_alive(*index);
}
std::set<std::string> Control::ports_to_watch(Time now) const {
  std::set<std::string> names;
  for (const std::uint32_t index : failover_ ? failover_->ports_to_watch(now) : std::vector<std::uint32_t>{})
    names.insert(settings_.member_names[index]);
  return names;
}

void Control::notify_watchers(Time now, json event, Outbox& out) {
  event["gatekeeper"] = settings_.name;
  event["clock"] = to_unix_ms(now);
  send_to_peers(
      event, [](net::ConnId, const Peer& peer) { return peer.watching; }, out);
}

AnnounceResult Control::store_announcement(Time now, const Announcement& announcement, Outbox& out) {
  const AnnounceResult result = register_->announce(now, announcement);
  counters_.add("gaps." + std::string(to_string(result)));
  if (result != AnnounceResult::accepted && result != AnnounceResult::conflict_won) return result;
  out.log(net::Level::info, (announcement.gap ? "gap stored: " : "lift of gap stored: ") + announcement.id +
                                ", version " + std::to_string(announcement.version) + " by '" +
                                announcement.author + "'");
  send_to_peers(
      {{"event", "gap"},
       {"gatekeeper", settings_.name},
       {"clock", to_unix_ms(now)},
       {"gap", to_json(announcement)}},
      [](net::ConnId, const Peer& peer) { return peer.watching || peer.publisher_incarnation; }, out);
  return result;
}

void Control::handle_announce(Time now, net::ConnId conn, const json& line, Outbox& out) {
  const auto gap = line.find("gap");
  if (gap == line.end()) throw ProtocolError("there is no 'gap'");
  const Announcement announcement = announcement_of(*gap);
  std::optional<Announcement> previous;
  if (const Announcement* stored = register_->find(announcement.id)) previous = *stored;
  peers_.at(conn).has_announced = true;
  const AnnounceResult result = store_announcement(now, announcement, out);
  reply(now, conn, line, answer_to_announce(now, announcement, result, *register_), out);
  if (result != AnnounceResult::conflict && result != AnnounceResult::conflict_won) return;
  // The event goes to every connection that watches or has announced something: it is not known which of them
  // the author of the other announcement used.
  out.log(net::Level::warning, "conflicting announcements of gap " + announcement.id + ", version " +
                                   std::to_string(announcement.version) + ", by '" + announcement.author +
                                   "' and '" + previous->author + "': the stricter one is kept");
  const json conflict = {{"event", "conflict"},
                         {"gatekeeper", settings_.name},
                         {"clock", to_unix_ms(now)},
                         {"id", announcement.id},
                         {"version", announcement.version},
                         {"by", {previous->author, announcement.author}},
                         {"held", to_json(*register_->find(announcement.id))}};
  send_to_peers(
      conflict,
      [](net::ConnId, const Peer& peer) {
        return peer.watching || peer.has_announced || peer.publisher_incarnation;
      },
      out);
}

void Control::handle_list(Time now, net::ConnId conn, const json& line, Outbox& out) {
  const std::string after = line.contains("after") ? text_in(line, "after") : "";
  GapPage page = make_page(*register_, now, after, true);
  std::vector<HotNumber> hottest = hot_numbers_ ? hot_numbers_->hot(now) : std::vector<HotNumber>{};
  hottest.resize(std::min(hottest.size(), kMaxHotNumbers));
  reply(now, conn, line,
        {{"ok", true},
         {"digest", fingerprint_text(register_->digest())},
         {"held", register_->size()},
         {"announcer", publisher_.has_value()},
         {"gaps", std::move(page.gaps)},
         {"hot", to_json(hottest)},
         {"more", page.more}},
        out);
}

// ---- time

// Reports to the gap publisher how many calls each gap has checked here since the last report.
void Control::send_demand_report(Time now, Outbox& out) {
  const Duration span = now - std::exchange(demand_reported_at_, now);
  const auto demands = register_->take_demands(now);
  if (!demands.empty()) demand_seen_at_ = now;
  // Reports without demands follow for a while: a missing report would not say that the rate is zero.
  if (!publisher_ || now - demand_seen_at_ > kNoDemandReportDuration) return;
  json reported = json::array();
  for (const auto& demand : demands) {
    if (reported.size() >= kMaxDemands) break;
    reported.push_back(
        {{"id", demand.id}, {"mark", fingerprint_text(demand.fingerprint)}, {"calls", demand.calls}});
  }
  out.send(*publisher_,
           line_of({{"event", "report"},
                    {"index", settings_.fleet.index},
                    {"span_ms", std::chrono::duration_cast<std::chrono::milliseconds>(span).count()},
                    {"demands", std::move(reported)}}));
}

void Control::check_hot_numbers(Time now, Outbox& out) {
  hot_checked_at_ = now;
  using Kind = HotNumbers::Change::Kind;
  for (const HotNumbers::Change& change : hot_numbers_->update(now)) {
    const HotNumber& hot_number = change.number;
    if (change.kind == Kind::hot || change.kind == Kind::cool) {
      const bool hot = change.kind == Kind::hot;
      counters_.add(hot ? "gaps.numbers_hot" : "gaps.numbers_cool");
      out.log(net::Level::warning, "number " + hot_number.number +
                                       (hot ? " is hot: " : " is no longer hot: ") +
                                       std::to_string(static_cast<int>(hot_number.rate)) + " calls a second");
      send_to_peers(
          {{"event", hot ? "hot" : "cool"},
           {"gatekeeper", settings_.name},
           {"clock", to_unix_ms(now)},
           {"number", to_json(std::vector<HotNumber>{hot_number})[0]}},
          [](net::ConnId, const Peer& peer) { return peer.watching; }, out);
      continue;
    }
    Announcement announcement;
    announcement.id = "auto-" + hot_number.number.substr(0, kMaxTextLength - 5);
    announcement.version = static_cast<std::uint64_t>(to_unix_ms(now));
    announcement.author = settings_.name;
    announcement.created_at = announcement.start = announcement.end = from_unix_ms(to_unix_ms(now));
    if (change.kind == Kind::gap) {
      announcement.end += settings_.hot_gap_duration;
      Gap gap;
      gap.criteria.numbers = {hot_number.number};
      gap.interval = settings_.hot_gap_interval;
      announcement.gap = std::move(gap);
    }
    store_announcement(now, announcement, out);
  }
}

}  // namespace graniterun::control
