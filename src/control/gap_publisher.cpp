#include "control/gap_publisher.h"

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;
using namespace call_gapping;

constexpr Duration kTick = 50ms;
constexpr Duration kReconnectDelay = 250ms;
constexpr Duration kConnectTimeout = 1s;
constexpr Duration kDigestCheckInterval = 500ms;  // whether a gatekeeper holds the same
constexpr Duration kSilenceTimeout = 2500ms;      // one that answers nothing for so long is lost
constexpr Duration kIdleTimeout = 60s;
constexpr Duration kObserverTtl = 30s;          // of gatekeepers' answers
constexpr Duration kAllocationRetention = 10s;  // a gap that nobody calls for so long is no longer dealt
constexpr std::size_t kMaxUnacknowledged = 64;  // gaps pushed to a gatekeeper that it has not answered yet
constexpr std::size_t kMaxAllocations = 4096;
constexpr std::size_t kMaxObservers = 256;
constexpr std::size_t kMaxSlotsInLine = 1024;

}  // namespace

GapPublisher::GapPublisher(GapPublisherSettings settings)
    : settings_(std::move(settings)),
      reaper_(settings_.max_connections, kIdleTimeout),
      register_({}, settings_.incarnation, {}) {
  for (const std::string& address : settings_.gatekeepers) {
    Gatekeeper g;
    g.address = address;
    gatekeepers_.push_back(std::move(g));
  }
}

void GapPublisher::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  net::dispatch(
      event, [&](const auto& one) requires requires { on(now, one, out); } { on(now, one, out); });
  effects = std::move(out.net);
}

// ---- its own file

void GapPublisher::on(Time now, const net::Started&, Outbox& out) {
  if (!settings_.file.empty()) {
    out.net.push_back(net::ReadFile{settings_.file});
  } else {
    on(now, net::FileRead{}, out);
  }
}

// Only with its register loaded does it speak to anyone: an empty one must not look like the whole.
void GapPublisher::on(Time now, const net::FileRead& e, Outbox& out) {
  if (std::exchange(loaded_, true)) return;
  std::size_t bad = 0;
  if (e.text) {
    const auto used = read_lines(
        *e.text,
        [&](const json& line) {
          const AnnounceResult taken = register_.announce(now, announcement_of(line));
          bad += taken == AnnounceResult::rejected || taken == AnnounceResult::full ? 1 : 0;
        },
        [&](const json&, const std::string&) { ++bad; });
    if (!used || *used != e.text->size()) ++bad;
    out.log(net::Level::info, settings_.file + ": " + std::to_string(register_.size()) + " gaps are held");
  }
  if (bad > 0) {
    // It is replaced whole, so this is no torn write: somebody has to look before it is written over.
    out.log(net::Level::error, settings_.file + " holds " + std::to_string(bad) +
                                   " lines that can't be read: mend it or move it away");
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
  for (Gatekeeper& g : gatekeepers_) {
    if (conn.concern == net::Concern::control_client && g.conn == conn.number) return &g;
  }
  return nullptr;
}

void GapPublisher::send(const Gatekeeper& g, const json& line, Outbox& out) const {
  out.send({net::Concern::control_client, g.conn}, line_of(line));
}

void GapPublisher::on(Time now, const net::Connected& e, Outbox& out) {
  Gatekeeper* g = gatekeeper_of(e.conn);
  if (g == nullptr) return out.close(e.conn);
  g->connected = true;
  g->last_received_at = g->digest_requested_at = now;
  g->unacknowledged = 0;
  counters_.add("announcer.gatekeepers_reached");
  send(*g, {{"op", "announcer"}, {"life", fingerprint_text(settings_.incarnation)}}, out);
  begin_push(now, *g, out);
}

// All that is held is pushed, and what the gatekeeper holds is asked for: it may have heard of gaps while no
// announcer was there.
void GapPublisher::begin_push(Time now, Gatekeeper& g, Outbox& out) {
  g.synced = false;
  g.pushed_to.clear();
  g.changed_since_push.clear();
  send(g, {{"op", "list"}}, out);
  push_next(now, g, out);
}

// Whether it is still there, and holds the same.
void GapPublisher::check_gatekeeper(Time now, Gatekeeper& g, Outbox& out) {
  if (now - g.last_received_at > kSilenceTimeout) {
    const net::ConnId conn{net::Concern::control_client, g.conn};
    handle_lost(now, g, out);
    return out.close(conn);
  }
  if (now - g.digest_requested_at < kDigestCheckInterval || !g.synced || g.unacknowledged > 0) return;
  g.digest_requested_at = now;
  send(g, {{"op", "synced"}}, out);
}

void GapPublisher::on(Time now, const net::ConnectFailed& e, Outbox&) {
  if (Gatekeeper* g = gatekeeper_of(e.conn)) {
    g->conn = 0;
    g->next_connect = now + kReconnectDelay;
  }
}

void GapPublisher::handle_lost(Time now, Gatekeeper& g, Outbox& out) {
  out.log(net::Level::warning, "gatekeeper " + g.address + " is lost: it will be pushed all when it is back");
  counters_.add("announcer.gatekeepers_lost");
  g.connected = g.synced = false;
  g.conn = 0;
  g.next_connect = now + kReconnectDelay;
}

// In order of ids, so many at a time; what changes behind that place is pushed once more.
void GapPublisher::push_next(Time now, Gatekeeper& g, Outbox& out) {
  if (!g.connected) return;
  while (g.unacknowledged < kMaxUnacknowledged && !g.changed_since_push.empty()) {
    const std::string id = *g.changed_since_push.begin();
    g.changed_since_push.erase(g.changed_since_push.begin());
    if (const Announcement* a = register_.find(id)) {
      send(g, {{"op", "announce"}, {"gap", to_json(*a)}}, out);
      ++g.unacknowledged;
    }
  }
  if (g.synced || g.unacknowledged >= kMaxUnacknowledged) return;
  const std::size_t room = kMaxUnacknowledged - g.unacknowledged;
  const auto next = register_.list(now, g.pushed_to, room);
  for (const GapState& state : next) {
    send(g, {{"op", "announce"}, {"gap", to_json(*state.announcement)}}, out);
    g.pushed_to = state.announcement->id;
    ++g.unacknowledged;
  }
  if (next.size() < room) {
    g.synced = true;
    send(g, {{"op", "synced"}}, out);
  }
}

void GapPublisher::handle_gatekeeper_line(Time now, Gatekeeper& gatekeeper, const json& line, Outbox& out) {
  gatekeeper.last_received_at = now;
  if (line.contains("gatekeeper")) gatekeeper.name = text_in(line, "gatekeeper");
  if (line.contains("event")) return handle_gatekeeper_event(now, gatekeeper, line, out);
  const std::string re = line.contains("re") ? text_in(line, "re") : "";
  if (re == "announcer") return handle_place(gatekeeper, line, out);
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

// Its place in the fleet, by its own settings.
void GapPublisher::handle_place(Gatekeeper& gatekeeper, const json& line, Outbox& out) const {
  const auto size = static_cast<std::size_t>(integer_in(line, "fleet", 1, 1024));
  const auto last = static_cast<std::int64_t>(size) - 1;
  gatekeeper.index = static_cast<std::uint32_t>(integer_in(line, "index", 0, last));
  if (size == gatekeepers_.size()) return;
  out.log(net::Level::warning, "gatekeeper " + gatekeeper.address + " is set to a fleet of " +
                                   std::to_string(size) + ", and " + std::to_string(gatekeepers_.size()) +
                                   " are pushed to: no slots are dealt to it");
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
  // It holds something newer, or stricter: all gatekeepers are to have that.
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

void GapPublisher::handle_demand_report(Time now, Gatekeeper& g, const json& line) {
  if (!g.index) return;
  const Duration span = std::chrono::milliseconds(integer_in(line, "span_ms", 0, 60'000));
  const auto demands = line.find("demands");
  if (demands == line.end() || !demands->is_array()) throw ProtocolError("a report has no 'demands'");
  const auto size = static_cast<std::uint32_t>(gatekeepers_.size());
  std::map<std::string, double> asked;
  for (const json& d : *demands) {
    const std::string id = text_in(d, "id");
    const std::uint64_t mark = fingerprint_in(d, "mark");
    const Announcement* a = register_.find(id);
    // Slots are those of what all are to hold; a gatekeeper that still has another version waits.
    if (a == nullptr || !a->gap || a->gap->interval.value_or(0ms) <= 0ms || fingerprint_of(*a) != mark)
      continue;
    auto it = allocations_.find(id);
    if (it != allocations_.end() && it->second.fingerprint != mark) {
      allocations_.erase(it);
      it = allocations_.end();
    }
    if (it == allocations_.end()) {
      if (allocations_.size() >= kMaxAllocations) continue;
      const std::uint64_t life = settings_.incarnation;
      it = allocations_.emplace(id, Allocation{mark, QuotaAllocator(size, *a->gap->interval, life), now})
               .first;
    }
    it->second.last_demand_at = now;
    asked[id] = static_cast<double>(integer_in(d, "calls", 0, 1'000'000'000));
  }
  for (auto& [id, deal] : allocations_) {
    const auto it = asked.find(id);
    deal.allocator.record_demand(now, *g.index, it == asked.end() ? 0.0 : it->second, span);
  }
}

void GapPublisher::handle_ceded_slots(Time now, Gatekeeper& g, const json& line, Outbox& out) {
  const std::string id = text_in(line, "id");
  const auto it = allocations_.find(id);
  const auto slots = line.find("slots");
  if (it == allocations_.end() || !g.index || slots == line.end() || !slots->is_array() ||
      slots->size() > kMaxSlotsInLine || it->second.fingerprint != fingerprint_in(line, "mark"))
    return;
  std::vector<Slot> given;
  for (const json& one : *slots) {
    if (one.is_number_unsigned()) given.push_back(one.get<Slot>());
  }
  counters_.add("announcer.slots_ceded", given.size());
  for (const auto& [to, granted] :
       it->second.allocator.allocate(now, fingerprint_in(line, "life"), *g.index, given)) {
    json pairs = json::array();
    for (const SlotOf& s : granted) pairs.push_back({s.slot, s.owner});
    for (const Gatekeeper& other : gatekeepers_) {
      if (!other.connected || other.index != to) continue;
      counters_.add("announcer.slots_granted", granted.size());
      send(other, {{"op", "grant"}, {"id", id}, {"mark", line["mark"]}, {"slots", pairs}}, out);
      break;  // never to two
    }
  }
}

// ---- operators

void GapPublisher::on(Time now, const net::Accepted& e, Outbox& out) {
  operators_.insert(e.conn);
  reaper_.accepted(now, e.conn);
  for (const net::ConnId conn :
       reaper_.excess_connections(now, [this](net::ConnId c) { return watchers_.contains(c); }))
    close(now, conn, out);
}

void GapPublisher::close(Time now, net::ConnId conn, Outbox& out) {
  out.close(conn);
  on(now, net::Closed{conn, false}, out);
}

void GapPublisher::on(Time now, const net::Closed& e, Outbox& out) {
  if (Gatekeeper* g = gatekeeper_of(e.conn)) return handle_lost(now, *g, out);
  reaper_.closed(e.conn);
  operators_.erase(e.conn);
  watchers_.erase(e.conn);
  for (auto& [id, all] : observers_) std::erase_if(all, [&](const Observer& w) { return w.conn == e.conn; });
}

void GapPublisher::reply(Time now, net::ConnId conn, const json& line, json answer, Outbox& out) {
  answer["gatekeeper"] = settings_.name;
  answer["announcer"] = true;
  answer["clock"] = to_unix_ms(now);
  if (const auto op = line.find("op"); op != line.end() && op->is_string()) answer["re"] = *op;
  out.send(conn, line_of(answer));
}

void GapPublisher::on(Time now, const net::Received& e, Outbox& out) {
  const bool operators = e.conn.concern == net::Concern::control;
  if (!operators && gatekeeper_of(e.conn) == nullptr) return;
  bool whole = false;
  const auto used = read_lines(
      e.bytes,
      [&](const json& line) {
        whole = true;
        if (operators) return handle_operator_line(now, e.conn, line, out);
        if (Gatekeeper* g = gatekeeper_of(e.conn)) handle_gatekeeper_line(now, *g, line, out);
      },
      [&](const json& line, const std::string& trouble) {
        whole = true;
        counters_.add("announcer.malformed");
        malformed_warning_.line(now, "a line is refused: " + trouble, out);
        if (operators) reply(now, e.conn, line, {{"ok", false}, {"trouble", trouble}}, out);
      });
  if (!used) {
    counters_.add("announcer.malformed");
    if (operators)
      reply(now, e.conn, json::object(), {{"ok", false}, {"trouble", "the line has no end within 32 KiB"}},
            out);
    return close(now, e.conn, out);
  }
  if (operators) reaper_.record_input(now, e.conn, whole, *used < e.bytes.size());
  out.net.push_back(net::Consume{e.conn, *used});
}

// Into the register and the file, and on to every gatekeeper.
AnnounceResult GapPublisher::store_announcement(Time now, const Announcement& a, Outbox& out) {
  const AnnounceResult taken = register_.announce(now, a);
  counters_.add("announcer." + std::string(to_string(taken)));
  if (taken != AnnounceResult::accepted && taken != AnnounceResult::conflict_won) return taken;
  out.log(net::Level::info, (a.gap ? "gap " : "the lift of gap ") + a.id + ", version " +
                                std::to_string(a.version) + " by '" + a.author + "', is taken");
  save(now, out);
  for (Gatekeeper& g : gatekeepers_) {
    if (!g.connected) continue;
    // One that is still being pushed the whole, in order of ids, comes to it by itself.
    if (g.synced || a.id <= g.pushed_to) g.changed_since_push.insert(a.id);
    push_next(now, g, out);
  }
  return taken;
}

json GapPublisher::state_of(const Gatekeeper& g) const {
  return {{"address", g.address},
          {"name", g.name},
          {"up", g.connected},
          {"synced", g.synced && g.unacknowledged == 0}};
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
  Page page = page_of(register_, now, line.contains("after") ? text_in(line, "after") : "", false);
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
  // Before it is pushed: answers may come within the step.
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

// Each gatekeeper answers once more that it obeys.
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
  for (const net::ConnId other : operators_) out.send(other, line_of(conflict));
}

// ---- time

void GapPublisher::on(Time now, const net::TimerFired& e, Outbox& out) {
  if (e.key.concern != net::Concern::control) return;
  out.arm(net::Concern::control, 0, now + kTick);
  for (Gatekeeper& g : gatekeepers_) {
    if (g.connected) check_gatekeeper(now, g, out);
    if (g.conn != 0 || now < g.next_connect) continue;
    g.conn = ++last_conn_;
    out.net.push_back(net::Connect{{net::Concern::control_client, g.conn}, g.address, kConnectTimeout});
  }
  for (const auto& [conn, stuck] :
       reaper_.expired(now, [this](net::ConnId c) { return watchers_.contains(c); }))
    close(now, conn, out);
  for (auto it = observers_.begin(); it != observers_.end();) {
    std::erase_if(it->second, [now](const Observer& w) { return w.expires_at <= now; });
    it = it->second.empty() ? observers_.erase(it) : std::next(it);
  }
  for (auto it = allocations_.begin(); it != allocations_.end();) {
    const Announcement* a = register_.find(it->first);
    if (now - it->second.last_demand_at > kAllocationRetention || a == nullptr || !a->gap) {
      it = allocations_.erase(it);
      continue;
    }
    QuotaAllocator& dealer = it->second.allocator;
    if (a->gap->interval && *a->gap->interval > Duration{})
      dealer.drop_before((now - a->start) / *a->gap->interval - 1);
    const std::vector<double> demand = dealer.demand(now);
    const json told = {{"op", "demand"},
                       {"id", it->first},
                       {"mark", fingerprint_text(it->second.fingerprint)},
                       {"calls", demand}};
    for (const Gatekeeper& g : gatekeepers_) {
      if (g.connected && g.index) send(g, told, out);
    }
    ++it;
  }
}

void GapPublisher::on(Time now, const net::StopRequested&, Outbox& out) {
  save(now, out);
  out.log(net::Level::info, settings_.name + " ends");
  out.net.push_back(net::Exit{0});
}

void GapPublisher::on(Time, const net::CountersRequested&, Outbox& out) {
  std::string text;
  for (const auto& [name, value] : counters_.all()) text += name + " " + std::to_string(value) + "\n";
  out.net.push_back(net::Print{text});
}

}  // namespace graniterun::control
