#include "control/gap_publisher.h"

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;
using namespace call_gapping;

constexpr Duration kTick = 50ms;
constexpr Duration kReconnectDelay = 250ms;
constexpr Duration kConnectTimeout = 1s;
constexpr Duration kDigestCheckInterval = 500ms;
constexpr Duration kResponseTimeout = 2500ms;  // a gatekeeper that sends nothing this long is disconnected
constexpr Duration kIdleTimeout = 60s;
constexpr Duration kObserverTtl = 30s;
constexpr Duration kAllocationRetention = 10s;  // after a gap's last demand
constexpr std::size_t kMaxUnacknowledged = 64;  // pushed gaps that one gatekeeper has not answered yet
constexpr std::size_t kMaxAllocations = 4096;
constexpr std::size_t kMaxObservers = 256;  // observed gap ids, and observers of each
constexpr std::size_t kMaxSlotsInLine = 1024;

}  // namespace

GapPublisher::GapPublisher(GapPublisherSettings settings)
    : settings_(std::move(settings)),
      reaper_(settings_.max_connections, kIdleTimeout),
      register_({}, settings_.incarnation, {}) {
  for (const std::string& address : settings_.gatekeepers) {
    Gatekeeper gatekeeper;
    gatekeeper.address = address;
    gatekeepers_.push_back(std::move(gatekeeper));
  }
}

void GapPublisher::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  net::dispatch(
      event, [&](const auto& value) requires requires { on(now, value, out); } { on(now, value, out); });
  effects = std::move(out.net);
}

// ---- the file of the register

void GapPublisher::on(Time now, const net::Started&, Outbox& out) {
  if (!settings_.file.empty()) {
    out.net.push_back(net::ReadFile{settings_.file});
  } else {
    on(now, net::FileRead{}, out);
  }
}

// Listens and connects only once the register is loaded: an empty one must not be taken for complete.
void GapPublisher::on(Time now, const net::FileRead& event, Outbox& out) {
  if (std::exchange(loaded_, true)) return;
  std::size_t unreadable = 0;
  if (event.text) {
    const auto used = read_lines(
        *event.text,
        [&](const json& line) {
          const AnnounceResult result = register_.announce(now, announcement_of(line));
          unreadable += result == AnnounceResult::rejected || result == AnnounceResult::full ? 1 : 0;
        },
        [&](const json&, const std::string&) { ++unreadable; });
    if (!used || *used != event.text->size()) ++unreadable;
    out.log(net::Level::info, settings_.file + ": " + std::to_string(register_.size()) + " gaps loaded");
  }
  if (unreadable > 0) {
    // Writes are atomic, so this is no torn write. The file is not overwritten: an operator has to look.
    out.log(net::Level::error, settings_.file + ": " + std::to_string(unreadable) +
                                   " unreadable lines: repair the file or move it away");
    out.net.push_back(net::Exit{1});
    return;
  }
  out.net.push_back(net::Listen{net::Concern::control, settings_.listen});
  out.arm(net::Concern::control, 0, now);
  out.log(net::Level::info, settings_.name + " listens on " + settings_.listen + " for " +
                                std::to_string(gatekeepers_.size()) + " gatekeepers");
}

void GapPublisher::save(Time now, Outbox& out) {
  if (settings_.file.empty()) return;
  std::string text;
  for (const GapState& state : register_.list(now)) text += line_of(to_json(*state.announcement));
  out.net.push_back(net::WriteFile{settings_.file, std::move(text)});
}

// ---- gatekeepers

GapPublisher::Gatekeeper* GapPublisher::gatekeeper_of(net::ConnId conn) {
  for (Gatekeeper& gatekeeper : gatekeepers_) {
    if (conn.concern == net::Concern::control_client && gatekeeper.conn == conn.number) return &gatekeeper;
  }
  return nullptr;
}

void GapPublisher::send(const Gatekeeper& gatekeeper, const json& line, Outbox& out) const {
  out.send({net::Concern::control_client, gatekeeper.conn}, line_of(line));
}

void GapPublisher::on(Time now, const net::Connected& event, Outbox& out) {
  Gatekeeper* gatekeeper = gatekeeper_of(event.conn);
  if (gatekeeper == nullptr) return out.close(event.conn);
  gatekeeper->connected = true;
  gatekeeper->last_received_at = gatekeeper->digest_requested_at = now;
  gatekeeper->unacknowledged = 0;
  counters_.add("announcer.gatekeepers_reached");
  send(*gatekeeper, {{"op", "announcer"}, {"life", fingerprint_text(settings_.incarnation)}}, out);
  begin_push(now, *gatekeeper, out);
}

// Pushes the whole register and requests the gatekeeper's gaps, which may include some that are new here.
void GapPublisher::begin_push(Time now, Gatekeeper& gatekeeper, Outbox& out) {
  gatekeeper.synced = false;
  gatekeeper.last_pushed_id.clear();
  gatekeeper.changed_since_push.clear();
  send(gatekeeper, {{"op", "list"}}, out);
  push_next(now, gatekeeper, out);
}

// Disconnects an unresponsive gatekeeper; requests the digest of one that has been pushed everything.
void GapPublisher::check_gatekeeper(Time now, Gatekeeper& gatekeeper, Outbox& out) {
  if (now - gatekeeper.last_received_at > kResponseTimeout) {
    const net::ConnId conn{net::Concern::control_client, gatekeeper.conn};
    handle_disconnect(now, gatekeeper, out);
    return out.close(conn);
  }
  if (now - gatekeeper.digest_requested_at < kDigestCheckInterval || !gatekeeper.synced ||
      gatekeeper.unacknowledged > 0)
    return;
  gatekeeper.digest_requested_at = now;
  send(gatekeeper, {{"op", "synced"}}, out);
}

void GapPublisher::on(Time now, const net::ConnectFailed& event, Outbox&) {
  if (Gatekeeper* gatekeeper = gatekeeper_of(event.conn)) {
    gatekeeper->conn = 0;
    gatekeeper->next_connect = now + kReconnectDelay;
  }
}

void GapPublisher::handle_disconnect(Time now, Gatekeeper& gatekeeper, Outbox& out) {
  out.log(net::Level::warning, "gatekeeper " + gatekeeper.address + " disconnected: full push on reconnect");
  counters_.add("announcer.gatekeepers_lost");
  gatekeeper.connected = gatekeeper.synced = false;
  gatekeeper.conn = 0;
  gatekeeper.next_connect = now + kReconnectDelay;
}

// Pushes by id, at most kMaxUnacknowledged unanswered; gaps that change after their push are pushed again.
void GapPublisher::push_next(Time now, Gatekeeper& gatekeeper, Outbox& out) {
  if (!gatekeeper.connected) return;
  while (gatekeeper.unacknowledged < kMaxUnacknowledged && !gatekeeper.changed_since_push.empty()) {
    const std::string id = *gatekeeper.changed_since_push.begin();
    gatekeeper.changed_since_push.erase(gatekeeper.changed_since_push.begin());
    if (const Announcement* announcement = register_.find(id)) {
      send(gatekeeper, {{"op", "announce"}, {"gap", to_json(*announcement)}}, out);
      ++gatekeeper.unacknowledged;
    }
  }
  if (gatekeeper.synced || gatekeeper.unacknowledged >= kMaxUnacknowledged) return;
  const std::size_t room = kMaxUnacknowledged - gatekeeper.unacknowledged;
  const auto next = register_.list(now, gatekeeper.last_pushed_id, room);
  for (const GapState& state : next) {
    send(gatekeeper, {{"op", "announce"}, {"gap", to_json(*state.announcement)}}, out);
    gatekeeper.last_pushed_id = state.announcement->id;
    ++gatekeeper.unacknowledged;
  }
  if (next.size() < room) {
    gatekeeper.synced = true;
    send(gatekeeper, {{"op", "synced"}}, out);
  }
}

void GapPublisher::handle_gatekeeper_line(Time now, Gatekeeper& gatekeeper, const json& line, Outbox& out) {
  gatekeeper.last_received_at = now;
  if (line.contains("gatekeeper")) gatekeeper.name = text_in(line, "gatekeeper");
  if (line.contains("event")) return handle_gatekeeper_event(now, gatekeeper, line, out);
  const std::string re = line.contains("re") ? text_in(line, "re") : "";
  if (re == "announcer") return handle_fleet_position(gatekeeper, line, out);
  if (re == "synced") return handle_digest(now, gatekeeper, line, out);
  if (re == "list") return handle_gatekeeper_list(now, gatekeeper, line, out);
  if (re == "announce") return handle_announce_answer(now, gatekeeper, line, out);
}

void GapPublisher::handle_gatekeeper_event(Time now, Gatekeeper& gatekeeper, const json& line, Outbox& out) {
  const std::string event = text_in(line, "event");
  if (event == "report") return handle_demand_report(now, gatekeeper, line);
  if (event == "cede") return handle_ceded_slots(now, gatekeeper, line, out);
  if (event == "gap" && line.contains("gap")) store_announcement(now, announcement_of(line["gap"]), out);
  for (const net::ConnId conn : watchers_) out.send(conn, line_of(line));
}

// The size of the fleet and the gatekeeper's index in it, as its settings have them.
void GapPublisher::handle_fleet_position(Gatekeeper& gatekeeper, const json& line, Outbox& out) const {
  const auto size = static_cast<std::size_t>(integer_in(line, "fleet", 1, 1024));
  const auto last = static_cast<std::int64_t>(size) - 1;
  gatekeeper.index = static_cast<std::uint32_t>(integer_in(line, "index", 0, last));
  if (size == gatekeepers_.size()) return;
  out.log(net::Level::warning, "gatekeeper " + gatekeeper.address + " has fleet size " +
                                   std::to_string(size) + ", expected " +
                                   std::to_string(gatekeepers_.size()) + ": it gets no slots");
  gatekeeper.index.reset();
}

void GapPublisher::handle_digest(Time now, Gatekeeper& gatekeeper, const json& line, Outbox& out) {
  const bool differs = text_in(line, "digest") != fingerprint_text(register_.digest());
  const bool all_pushed =
      gatekeeper.synced && gatekeeper.unacknowledged == 0 && gatekeeper.changed_since_push.empty();
  if (!differs || !all_pushed) return;
  counters_.add("announcer.digests_differ");
  begin_push(now, gatekeeper, out);
}

void GapPublisher::handle_gatekeeper_list(Time now, Gatekeeper& gatekeeper, const json& line, Outbox& out) {
  const auto gaps = line.find("gaps");
  if (gaps == line.end() || !gaps->is_array() || gaps->empty()) return;
  for (const json& gap : *gaps) store_announcement(now, announcement_of(gap), out);
  if (line.value("more", false))
    send(gatekeeper, {{"op", "list"}, {"after", text_in(gaps->back(), "id")}}, out);
}

void GapPublisher::handle_announce_answer(Time now, Gatekeeper& gatekeeper, const json& line, Outbox& out) {
  if (gatekeeper.unacknowledged > 0) --gatekeeper.unacknowledged;
  const std::string id = text_in(line, "id");
  const auto version = static_cast<std::uint64_t>(integer_in(line, "version", 1, std::int64_t{1} << 52));
  // The gatekeeper holds a newer or stricter version, which goes to all gatekeepers.
  if (line.contains("held")) store_announcement(now, announcement_of(line["held"]), out);
  if (const auto it = observers_.find(id); it != observers_.end()) {
    json obeyed = line;
    obeyed["event"] = "obeyed";
    obeyed["address"] = gatekeeper.address;
    for (const Observer& observer : it->second) {
      if (observer.version <= version) out.send(observer.conn, line_of(obeyed));
    }
  }
  push_next(now, gatekeeper, out);
}

// ---- slots

void GapPublisher::handle_demand_report(Time now, Gatekeeper& gatekeeper, const json& line) {
  if (!gatekeeper.index) return;
  const Duration span = std::chrono::milliseconds(integer_in(line, "span_ms", 0, 60'000));
  const auto demands = line.find("demands");
  if (demands == line.end() || !demands->is_array()) throw ProtocolError("a report has no 'demands'");
  const auto size = static_cast<std::uint32_t>(gatekeepers_.size());
  std::map<std::string, double> calls;
  for (const json& demand : *demands) {
    const std::string id = text_in(demand, "id");
    const std::uint64_t fingerprint = fingerprint_in(demand, "mark");
    const Announcement* stored = register_.find(id);
    // Slots belong to the version in the register; a gatekeeper that still has another one is skipped.
    if (stored == nullptr || !stored->gap || stored->gap->interval.value_or(0ms) <= 0ms ||
        fingerprint_of(*stored) != fingerprint)
      continue;
    auto it = allocations_.find(id);
    if (it != allocations_.end() && it->second.fingerprint != fingerprint) {
      allocations_.erase(it);
      it = allocations_.end();
    }
    if (it == allocations_.end()) {
      if (allocations_.size() >= kMaxAllocations) continue;
      const std::uint64_t incarnation = settings_.incarnation;
      it = allocations_
               .emplace(id, Allocation{fingerprint, QuotaAllocator(size, *stored->gap->interval, incarnation),
                                       now})
               .first;
    }
    it->second.last_demand_at = now;
    calls[id] = static_cast<double>(integer_in(demand, "calls", 0, 1'000'000'000));
  }
  for (auto& [id, allocation] : allocations_) {
    const auto it = calls.find(id);
    allocation.allocator.record_demand(now, *gatekeeper.index, it == calls.end() ? 0.0 : it->second, span);
  }
}

void GapPublisher::handle_ceded_slots(Time now, Gatekeeper& gatekeeper, const json& line, Outbox& out) {
  const std::string id = text_in(line, "id");
  const auto it = allocations_.find(id);
  const auto slots = line.find("slots");
  if (it == allocations_.end() || !gatekeeper.index || slots == line.end() || !slots->is_array() ||
      slots->size() > kMaxSlotsInLine || it->second.fingerprint != fingerprint_in(line, "mark"))
    return;
  std::vector<Slot> ceded;
  for (const json& slot : *slots) {
    if (slot.is_number_unsigned()) ceded.push_back(slot.get<Slot>());
  }
  counters_.add("announcer.slots_ceded", ceded.size());
  for (const auto& [index, granted] :
       it->second.allocator.allocate(now, fingerprint_in(line, "life"), *gatekeeper.index, ceded)) {
    json pairs = json::array();
    for (const OwnedSlot& slot : granted) pairs.push_back({slot.slot, slot.owner});
    for (const Gatekeeper& other : gatekeepers_) {
      if (!other.connected || other.index != index) continue;
      counters_.add("announcer.slots_granted", granted.size());
      send(other, {{"op", "grant"}, {"id", id}, {"mark", line["mark"]}, {"slots", pairs}}, out);
      break;  // a slot is granted to one gatekeeper only, also where two have the same index
    }
  }
}

// ---- operators

void GapPublisher::on(Time now, const net::Accepted& event, Outbox& out) {
  operators_.insert(event.conn);
  reaper_.accepted(now, event.conn);
  for (const net::ConnId conn :
       reaper_.excess_connections(now, [this](net::ConnId c) { return watchers_.contains(c); }))
    close(now, conn, out);
}

void GapPublisher::close(Time now, net::ConnId conn, Outbox& out) {
  out.close(conn);
  on(now, net::Closed{conn, false}, out);
}

void GapPublisher::on(Time now, const net::Closed& event, Outbox& out) {
  if (Gatekeeper* gatekeeper = gatekeeper_of(event.conn)) return handle_disconnect(now, *gatekeeper, out);
  reaper_.closed(event.conn);
  operators_.erase(event.conn);
  watchers_.erase(event.conn);
  for (auto& [id, observers] : observers_)
    std::erase_if(observers, [&](const Observer& observer) { return observer.conn == event.conn; });
}

void GapPublisher::reply(Time now, net::ConnId conn, const json& line, json answer, Outbox& out) {
  answer["gatekeeper"] = settings_.name;
  answer["announcer"] = true;
  answer["clock"] = to_unix_ms(now);
  if (const auto op = line.find("op"); op != line.end() && op->is_string()) answer["re"] = *op;
  out.send(conn, line_of(answer));
}

void GapPublisher::on(Time now, const net::Received& event, Outbox& out) {
  const bool from_operator = event.conn.concern == net::Concern::control;
  if (!from_operator && gatekeeper_of(event.conn) == nullptr) return;
  bool complete = false;
  const auto used = read_lines(
      event.bytes,
      [&](const json& line) {
        complete = true;
        if (from_operator) return handle_operator_line(now, event.conn, line, out);
        if (Gatekeeper* sender = gatekeeper_of(event.conn)) handle_gatekeeper_line(now, *sender, line, out);
      },
      [&](const json& line, const std::string& reason) {
        complete = true;
        counters_.add("announcer.malformed");
        malformed_warning_.line(now, "line rejected: " + reason, out);
        if (from_operator) reply(now, event.conn, line, {{"ok", false}, {"trouble", reason}}, out);
      });
  if (!used) {
    counters_.add("announcer.malformed");
    if (from_operator)
      reply(now, event.conn, json::object(),
            {{"ok", false}, {"trouble", "the line has no end within 32 KiB"}}, out);
    return close(now, event.conn, out);
  }
  if (from_operator) reaper_.record_input(now, event.conn, complete, *used < event.bytes.size());
  out.net.push_back(net::Consume{event.conn, *used});
}

// Stores the announcement; if it takes effect, writes the file and pushes it to every gatekeeper.
AnnounceResult GapPublisher::store_announcement(Time now, const Announcement& announcement, Outbox& out) {
  const AnnounceResult result = register_.announce(now, announcement);
  counters_.add("announcer." + std::string(to_string(result)));
  if (result != AnnounceResult::accepted && result != AnnounceResult::conflict_won) return result;
  out.log(net::Level::info, (announcement.gap ? "gap stored: " : "lift of gap stored: ") + announcement.id +
                                ", version " + std::to_string(announcement.version) + " by '" +
                                announcement.author + "'");
  save(now, out);
  for (Gatekeeper& gatekeeper : gatekeepers_) {
    if (!gatekeeper.connected) continue;
    // While the whole register is being pushed, ids after the last pushed one follow anyway.
    if (gatekeeper.synced || announcement.id <= gatekeeper.last_pushed_id)
      gatekeeper.changed_since_push.insert(announcement.id);
    push_next(now, gatekeeper, out);
  }
  return result;
}

json GapPublisher::state_of(const Gatekeeper& gatekeeper) const {
  return {{"address", gatekeeper.address},
          {"name", gatekeeper.name},
          {"up", gatekeeper.connected},
          {"synced", gatekeeper.synced && gatekeeper.unacknowledged == 0}};
}

void GapPublisher::handle_operator_line(Time now, net::ConnId conn, const json& line, Outbox& out) {
  const std::string op = text_in(line, "op");
  if (op == "watch") {
    watchers_.insert(conn);
    return reply(now, conn, line, {{"ok", true}}, out);
  }
  if (op == "list") return handle_operator_list(now, conn, line, out);
  if (op == "announce") return handle_announce(now, conn, line, out);
  throw ProtocolError("'op' is not one of announce, list, watch");
}

void GapPublisher::handle_operator_list(Time now, net::ConnId conn, const json& line, Outbox& out) {
  GapPage page = make_page(register_, now, line.contains("after") ? text_in(line, "after") : "", false);
  json fleet = json::array();
  for (const Gatekeeper& gatekeeper : gatekeepers_) fleet.push_back(state_of(gatekeeper));
  reply(now, conn, line,
        {{"ok", true},
         {"digest", fingerprint_text(register_.digest())},
         {"held", register_.size()},
         {"gaps", std::move(page.gaps)},
         {"fleet", std::move(fleet)},
         {"more", page.more}},
        out);
}

void GapPublisher::handle_announce(Time now, net::ConnId conn, const json& line, Outbox& out) {
  const auto gap = line.find("gap");
  if (gap == line.end()) throw ProtocolError("there is no 'gap'");
  const Announcement announcement = announcement_of(*gap);
  // Registered before the gap is pushed, so that no gatekeeper's answer is missed.
  if (observers_.size() < kMaxObservers || observers_.contains(announcement.id)) {
    auto& observers = observers_[announcement.id];
    if (observers.size() < kMaxObservers)
      observers.push_back({conn, announcement.version, now + kObserverTtl});
  }
  const AnnounceResult result = store_announcement(now, announcement, out);
  json answer = answer_to_announce(now, announcement, result, register_);
  const auto connected = [](const Gatekeeper& gatekeeper) { return gatekeeper.connected; };
  answer["gatekeepers"] = gatekeepers_.size();
  answer["pushed_to"] = std::ranges::count_if(gatekeepers_, connected);
  reply(now, conn, line, std::move(answer), out);
  if (result == AnnounceResult::unchanged) push_again(now, announcement.id, out);
  if (result == AnnounceResult::conflict || result == AnnounceResult::conflict_won)
    report_conflict(now, announcement, out);
}

// Pushes an unchanged gap again, so that each gatekeeper confirms once more that it obeys.
void GapPublisher::push_again(Time now, const std::string& id, Outbox& out) {
  for (Gatekeeper& gatekeeper : gatekeepers_) {
    if (!gatekeeper.connected) continue;
    gatekeeper.changed_since_push.insert(id);
    push_next(now, gatekeeper, out);
  }
}

void GapPublisher::report_conflict(Time now, const Announcement& announcement, Outbox& out) const {
  const json conflict = {{"event", "conflict"},
                         {"gatekeeper", settings_.name},
                         {"clock", to_unix_ms(now)},
                         {"id", announcement.id},
                         {"version", announcement.version},
                         {"held", to_json(*register_.find(announcement.id))}};
  for (const net::ConnId conn : operators_) out.send(conn, line_of(conflict));
}

// ---- time

void GapPublisher::on(Time now, const net::TimerFired& event, Outbox& out) {
  if (event.key.concern != net::Concern::control) return;
  out.arm(net::Concern::control, 0, now + kTick);
  for (Gatekeeper& gatekeeper : gatekeepers_) {
    if (gatekeeper.connected) check_gatekeeper(now, gatekeeper, out);
    if (gatekeeper.conn != 0 || now < gatekeeper.next_connect) continue;
    gatekeeper.conn = ++last_conn_;
    out.net.push_back(
        net::Connect{{net::Concern::control_client, gatekeeper.conn}, gatekeeper.address, kConnectTimeout});
  }
  for (const auto& [conn, stuck] :
       reaper_.expired(now, [this](net::ConnId c) { return watchers_.contains(c); }))
    close(now, conn, out);
  for (auto it = observers_.begin(); it != observers_.end();) {
    std::erase_if(it->second, [now](const Observer& observer) { return observer.expires_at <= now; });
    it = it->second.empty() ? observers_.erase(it) : std::next(it);
  }
  for (auto it = allocations_.begin(); it != allocations_.end();) {
    const Announcement* stored = register_.find(it->first);
    if (now - it->second.last_demand_at > kAllocationRetention || stored == nullptr || !stored->gap) {
      it = allocations_.erase(it);
      continue;
    }
    QuotaAllocator& allocator = it->second.allocator;
    if (stored->gap->interval && *stored->gap->interval > Duration{})
      allocator.drop_before((now - stored->start) / *stored->gap->interval - 1);
    const std::vector<double> demand = allocator.demand(now);
    const json demand_line = {{"op", "demand"},
                              {"id", it->first},
                              {"mark", fingerprint_text(it->second.fingerprint)},
                              {"calls", demand}};
    for (const Gatekeeper& gatekeeper : gatekeepers_) {
      if (gatekeeper.connected && gatekeeper.index) send(gatekeeper, demand_line, out);
    }
    ++it;
  }
}

void GapPublisher::on(Time now, const net::StopRequested&, Outbox& out) {
  save(now, out);
  out.log(net::Level::info, settings_.name + " exits");
  out.net.push_back(net::Exit{0});
}

void GapPublisher::on(Time, const net::CountersRequested&, Outbox& out) {
  std::string text;
  for (const auto& [name, value] : counters_.all()) text += name + " " + std::to_string(value) + "\n";
  out.net.push_back(net::Print{text});
}

}  // namespace graniterun::control
