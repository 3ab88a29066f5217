#include "fleet/fleet.h"

#include <nlohmann/json.hpp>

namespace graniterun::fleet {
namespace {

using namespace membership;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr Duration kBindRetryDelay = 200ms;
constexpr std::size_t kPageBytes = 28 * 1024;  // of members, in a line of at most 32 KiB
constexpr std::uint64_t kTickTimer = 0;
constexpr std::uint64_t kBindTimer = 1;

std::int64_t ms_of(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

net::Level level_of(MemberEventKind what) {
  switch (what) {
    case MemberEventKind::died:
    case MemberEventKind::paused:
    case MemberEventKind::name_taken:
    case MemberEventKind::stood_down:
      return net::Level::warning;
    default:
      return net::Level::info;
  }
}

}  // namespace

json to_json(Time now, const MemberView& member) {
  const Record& record = member.record;
  json j = {{"name", record.name},
            {"life", record.incarnation},
            {"address", record.address},
            {"incarnation", record.refutation},
            {"state", to_string(record.state)},
            {"since_ms", ms_of(now - member.state_since)},
            {"evidence", to_string(record.evidence)},
            {"reach", to_string(member.reachability)},
            {"self", member.self}};
  if (!record.suspecting_member.empty()) j["accuser"] = record.suspecting_member;
  if (record.handing_over) j["handing_over"] = true;
  if (member.last_received_at) j["heard_ms_ago"] = ms_of(now - *member.last_received_at);
  return j;
}

Fleet::Fleet(FleetSettings settings, Counters& counters)
    : settings_(std::move(settings)), counters_(counters), membership_(settings_.membership) {}

void Fleet::start(Time now, Outbox& out) {
  if (settings_.listen.empty()) return;
  out.net.push_back(net::Bind{net::Concern::fleet, settings_.listen, true});
  step(now, Started{}, out);
  out.arm(net::Concern::fleet, kTickTimer, now + kTick);
}

void Fleet::on(Time now, const net::Bound&, Outbox&) {
  if (places_.owned) places_.owned(now, true);
}

// An old process may still hold the port: it lets go of it when it is told to stop.
void Fleet::on(Time now, const net::BindFailed&, Outbox& out) {
  counters_.add("fleet.bind_failed");
  decode_warning_.line(now, "the fleet's port " + settings_.listen + " is taken: it is tried again", out);
  out.arm(net::Concern::fleet, kBindTimer, now + kBindRetryDelay);
}

void Fleet::on(Time now, const net::TimerFired& event, Outbox& out) {
  if (stopped_) return;
  if (event.key.number == kBindTimer) {
    out.net.push_back(net::Bind{net::Concern::fleet, settings_.listen, true});
    return;
  }
  out.arm(net::Concern::fleet, kTickTimer, now + kTick);
  if (places_.ports_to_watch) step(now, WatchPorts{places_.ports_to_watch(now)}, out);
  step(now, Tick{}, out);
  if (!membership_.stopped()) return;
  stopped_ = true;
  if (places_.owned) places_.owned(now, false);
  out.net.push_back(net::Unbind{net::Concern::fleet});
  out.log(net::Level::info, "the fleet's port is left to the next process");
}

void Fleet::on(Time now, const net::Datagram& datagram, Outbox& out) {
  counters_.add("fleet.datagrams_in");
  auto read = decode(datagram.bytes, settings_.fleet, settings_.key);
  if (const auto* refusal = std::get_if<DecodeError>(&read)) {
    counters_.add("fleet.refused." + std::string(to_string(*refusal)));
    return decode_warning_.line(
        now, "a datagram to the fleet is dropped: " + std::string(to_string(*refusal)), out);
  }
  step(now, DatagramReceived{std::move(std::get<membership::Datagram>(read))}, out);
}

void Fleet::on(Time now, const net::Unreachable& event, Outbox& out) {
  counters_.add("fleet.ports_refused");
  PortUnreachable refused{event.peer, {}};
  const auto read = decode(event.bytes, settings_.fleet, settings_.key);
  if (const auto* own = std::get_if<membership::Datagram>(&read)) {
    if (const auto* ping = std::get_if<Ping>(&own->body)) refused.token = ping->token;
  }
  step(now, refused, out);
}

void Fleet::leave(Time now, bool successor, Outbox& out) {
  if (settings_.listen.empty() || stopped_) return;
  step(now, LeaveRequested{successor}, out);
}

void Fleet::step(Time now, const membership::Event& event, Outbox& out) {
  membership::Effects effects;
  membership_.step(now, event, effects);
  for (const membership::Effect& effect : effects) {
    if (const auto* tell = std::get_if<SendDatagram>(&effect)) {
      counters_.add("fleet.datagrams_out");
      out.net.push_back(net::SendDatagram{net::Concern::fleet, tell->address,
                                          encode(tell->datagram, settings_.fleet, settings_.key)});
      continue;
    }
    if (const auto* gone = std::get_if<PortReleased>(&effect)) {
      if (places_.port_released) places_.port_released(now, gone->name, gone->probed_at);
      continue;
    }
    const auto& notice = std::get<MemberEvent>(effect);
    out.log(level_of(notice.kind), "fleet: " + notice.record.name + " (life " +
                                       std::to_string(notice.record.incarnation) + ") " +
                                       std::string(to_string(notice.kind)) + ": " + notice.evidence);
    for (const Watcher& watcher : watchers_) watcher(now, notice, out);
  }
}

json Fleet::answer(Time now, const json& line, Outbox& out) {
  const std::string what = line.value("what", json("")).is_string() ? line.value("what", std::string()) : "";
  const View& view = membership_.view();
  json j = {{"ok", true}, {"what", what}, {"fleet", settings_.fleet}};
  if (what == "members") {
    // A line is bounded: what has no room is asked for by the last name before it.
    const std::string after =
        line.value("after", json("")).is_string() ? line.value("after", std::string()) : "";
    json page = json::array();
    std::size_t bytes = 0;
    for (const MemberView& member : membership_.members()) {
      if (member.record.name <= after) continue;
      json one = to_json(now, member);
      bytes += one.dump().size();
      if (bytes > kPageBytes) {
        j["more"] = true;
        break;
      }
      page.push_back(std::move(one));
    }
    j["members"] = std::move(page);
  } else if (what == "leave") {
    leave(now, false, out);
  } else if (what != "view") {
    return {{"ok", false}, {"trouble", "'what' is not one of members, view, leave"}};
  }
  j["settled"] = view.settled;
  j["digest"] = std::to_string(view.digest);
  j["size"] = view.names.size();
  j["since_ms"] = ms_of(now - view.changed_at);
  j["in_touch"] = membership_.in_touch(now);
  j["health"] = membership_.health();
  j["catching_up"] = membership_.catching_up();
  j["member"] = membership_.is_member();
  return j;
}

std::vector<Gauge> Fleet::gauges(Time now) const {
  if (settings_.listen.empty()) return {};
  std::array<std::size_t, 4> by_state{};
  for (const MemberView& member : membership_.members())
    ++by_state[static_cast<std::size_t>(member.record.state)];
  std::vector<Gauge> all;
  for (std::size_t i = 0; i < by_state.size(); ++i) {
    all.push_back({"fleet.members",
                   "{member}",
                   static_cast<double>(by_state[i]),
                   {{"state", std::string(to_string(static_cast<State>(i)))}}});
  }
  const View& view = membership_.view();
  all.push_back({"fleet.in_touch", "{member}", static_cast<double>(membership_.in_touch(now)), {}});
  all.push_back({"fleet.view_settled_for",
                 "ms",
                 view.settled ? static_cast<double>(ms_of(now - view.changed_at)) : 0.0,
                 {}});
  return all;
}

void Fleet::count(Counters& all) const {
  if (settings_.listen.empty()) return;
  const Metrics& figures = membership_.metrics();
  for (const auto& [name, value] : {std::pair{"fleet.suspicions_raised", figures.suspicions_raised},
                                    {"fleet.suspicions_held", figures.suspicions_known},
                                    {"fleet.suspicions_refuted", figures.refuted},
                                    {"fleet.suspicions_confirmed", figures.confirmed},
                                    {"fleet.suspicions_of_self_refuted", figures.own_suspicions_refuted},
                                    {"fleet.deaths_by_refusal", figures.deaths_by_unreachable_port},
                                    {"fleet.deaths_turned_down", figures.deaths_disproved},
                                    {"fleet.own_pauses", figures.pauses},
                                    {"fleet.lives_taken", figures.incarnations_taken},
                                    {"fleet.syncs", figures.syncs}})
    all.add(name, value);
  for (std::size_t i = 0; i < kDropReasons; ++i)
    all.add("fleet.dropped." + std::string(to_string(static_cast<DropReason>(i))), figures.dropped[i]);
}

}  // namespace graniterun::fleet
