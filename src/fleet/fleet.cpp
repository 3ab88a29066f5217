#include "fleet/fleet.h"

#include <nlohmann/json.hpp>

namespace graniterun::fleet {
namespace {

using namespace membership;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr Duration kBindRetryDelay = 200ms;
constexpr std::size_t kMaxPageBytes = 28 * 1024;  // of members; a control line takes at most 32 KiB
constexpr std::uint64_t kTickTimer = 0;
constexpr std::uint64_t kBindTimer = 1;

std::int64_t to_ms(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

net::Level level_of(MemberEventKind kind) {
  switch (kind) {
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
  // The outer names of incarnation, refutation and suspecting member are life, incarnation and accuser.
  json j = {{"name", record.name},
            {"life", record.incarnation},
            {"address", record.address},
            {"incarnation", record.refutation},
            {"state", to_string(record.state)},
            {"since_ms", to_ms(now - member.state_since)},
            {"evidence", to_string(record.state_reason)},
            {"reach", to_string(member.reachability)},
            {"self", member.self}};
  if (!record.suspecting_member.empty()) j["accuser"] = record.suspecting_member;
  if (record.handing_over) j["handing_over"] = true;
  if (member.last_received_at) j["heard_ms_ago"] = to_ms(now - *member.last_received_at);
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

void Fleet::on(Time now, const net::BindSucceeded&, Outbox&) {
  if (port_callbacks_.owned) port_callbacks_.owned(now, true);
}

// The previous process of an upgrade may still hold the port; it releases it when it is stopped.
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
  if (port_callbacks_.ports_to_watch) step(now, WatchPorts{port_callbacks_.ports_to_watch(now)}, out);
  step(now, Tick{}, out);
  if (!membership_.stopped()) return;
  stopped_ = true;
  if (port_callbacks_.owned) port_callbacks_.owned(now, false);
  out.net.push_back(net::Unbind{net::Concern::fleet});
  out.log(net::Level::info, "fleet port released for the next process");
}

void Fleet::on(Time now, const net::Datagram& datagram, Outbox& out) {
  counters_.add("fleet.datagrams_in");
  auto decoded = decode(datagram.bytes, settings_.fleet, settings_.key);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    counters_.add("fleet.refused." + std::string(to_string(*error)));
    return decode_warning_.line(now, "a datagram to the fleet is dropped: " + std::string(to_string(*error)),
                                out);
  }
  step(now, DatagramReceived{std::move(std::get<membership::Datagram>(decoded))}, out);
}

void Fleet::on(Time now, const net::Unreachable& event, Outbox& out) {
  counters_.add("fleet.ports_refused");
  PortUnreachable unreachable{event.peer, {}};
  const auto decoded = decode(event.bytes, settings_.fleet, settings_.key);
  if (const auto* sent = std::get_if<membership::Datagram>(&decoded)) {
    if (const auto* ping = std::get_if<Ping>(&sent->body)) unreachable.token = ping->token;
  }
  step(now, unreachable, out);
}

void Fleet::leave(Time now, bool handover, Outbox& out) {
  if (settings_.listen.empty() || stopped_) return;
  step(now, LeaveRequested{handover}, out);
}

void Fleet::step(Time now, const membership::Event& event, Outbox& out) {
  membership::Effects effects;
  membership_.step(now, event, effects);
  for (const membership::Effect& effect : effects) {
    if (const auto* send = std::get_if<SendDatagram>(&effect)) {
      counters_.add("fleet.datagrams_out");
      out.net.push_back(net::SendDatagram{net::Concern::fleet, send->address,
                                          encode(send->datagram, settings_.fleet, settings_.key)});
      continue;
    }
    if (const auto* released = std::get_if<PortReleased>(&effect)) {
      if (port_callbacks_.port_released)
        port_callbacks_.port_released(now, released->name, released->probed_at);
      continue;
    }
    const auto& member_event = std::get<MemberEvent>(effect);
    out.log(level_of(member_event.kind), "fleet: " + member_event.record.name + " (life " +
                                             std::to_string(member_event.record.incarnation) + ") " +
                                             std::string(to_string(member_event.kind)) + ": " +
                                             member_event.detail);
    for (const Watcher& watcher : watchers_) watcher(now, member_event, out);
  }
}

json Fleet::handle_control_request(Time now, const json& line, Outbox& out) {
  const std::string what = line.value("what", json("")).is_string() ? line.value("what", std::string()) : "";
  const View& view = membership_.view();
  json j = {{"ok", true}, {"what", what}, {"fleet", settings_.fleet}};
  if (what == "members") {
    // The length of a line is bounded: the client requests the next page with `after`, the last name it
    // received.
    const std::string after =
        line.value("after", json("")).is_string() ? line.value("after", std::string()) : "";
    json page = json::array();
    std::size_t bytes = 0;
    for (const MemberView& member : membership_.members()) {
      if (member.record.name <= after) continue;
      json entry = to_json(now, member);
      bytes += entry.dump().size();
      if (bytes > kMaxPageBytes) {
        j["more"] = true;
        break;
      }
      page.push_back(std::move(entry));
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
  j["since_ms"] = to_ms(now - view.changed_at);
  j["in_touch"] = membership_.recent_contact_count(now);
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
  all.push_back(
      {"fleet.in_touch", "{member}", static_cast<double>(membership_.recent_contact_count(now)), {}});
  all.push_back({"fleet.view_settled_for",
                 "ms",
                 view.settled ? static_cast<double>(to_ms(now - view.changed_at)) : 0.0,
                 {}});
  return all;
}

void Fleet::collect_counters(Counters& all) const {
  if (settings_.listen.empty()) return;
  const Metrics& metrics = membership_.metrics();
  for (const auto& [name, value] : {std::pair{"fleet.suspicions_raised", metrics.suspicions_raised},
                                    {"fleet.suspicions_held", metrics.suspicions_known},
                                    {"fleet.suspicions_refuted", metrics.suspicions_refuted},
                                    {"fleet.suspicions_confirmed", metrics.suspicions_confirmed},
                                    {"fleet.suspicions_of_self_refuted", metrics.own_suspicions_refuted},
                                    {"fleet.deaths_by_refusal", metrics.deaths_by_unreachable_port},
                                    {"fleet.deaths_turned_down", metrics.deaths_disproved},
                                    {"fleet.own_pauses", metrics.pauses},
                                    {"fleet.lives_taken", metrics.incarnations_taken},
                                    {"fleet.syncs", metrics.syncs}})
    all.add(name, value);
  for (std::size_t i = 0; i < kDropReasonCount; ++i)
    all.add("fleet.dropped." + std::string(to_string(static_cast<DropReason>(i))), metrics.dropped[i]);
}

}  // namespace graniterun::fleet
