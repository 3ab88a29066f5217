#include "app/gatekeeper.h"

#include <algorithm>
#include <utility>

namespace graniterun {
namespace {

using namespace std::chrono_literals;

// After SIGTERM requests still come for so long.
constexpr Duration kStillComing = 900ms;
constexpr Duration kLook = 50ms;
// The end comes no later than this after SIGTERM: the longest deadline counts as 3 s at most.
constexpr Duration kLatestEnd = 3500ms;

template <class... Fs>
struct Overloaded : Fs... {
  using Fs::operator()...;
};

}  // namespace

Gatekeeper::Gatekeeper(const PlatformConfig& config, const DeployConfig& deploy,
                       std::function<void(Counters&)> more_counters)
    : config_(config),
      deploy_(deploy),
      more_counters_(std::move(more_counters)),
      broker_(config.settings, config.seed, core::Contracts(deploy.contracts), counters_),
      platform_(config.class_names, counters_),
      servers_(config.settings, config.areas, counters_),
      journal_(config.journal, config.known_position, counters_) {}

void Gatekeeper::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  std::visit([&](const auto& e) { on(now, e, out); }, event);
  settle(now, out);
  platform_.ready(!stop_asked_ && servers_.ready());
  finish_if_drained(now, out);
  effects = std::move(out.net);
}

void Gatekeeper::settle(Time now, Outbox& out) {
  while (!out.core.empty()) {
    const std::vector<core::Event> events = std::exchange(out.core, {});
    for (const core::Event& event : events) {
      core::Effects effects;
      broker_.step(now, event, effects);
      for (const core::Effect& effect : effects) apply(now, effect, out);
    }
  }
}

void Gatekeeper::apply(Time now, const core::Effect& effect, Outbox& out) {
  std::visit(Overloaded{
                 [&](const core::StartAttempt& e) { servers_.apply(now, e, out); },
                 [&](const core::AbandonAttempt& e) { servers_.apply(now, e, out); },
                 [&](const core::ReleaseServer& e) { servers_.apply(now, e, out); },
                 [&](const core::SetAlarm& e) { out.arm(net::Concern::broker, e.timer, e.at); },
                 [&](const core::Note& e) { out.log(net::Level::info, e.text); },
                 [&](const core::RequestAnswered&) {},
                 [&](const auto& e) { platform_.apply(e, out); },
             },
             effect);
}

// ---- events

void Gatekeeper::on(Time now, const net::Started&, Outbox& out) {
  out.net.push_back(net::Listen{net::Concern::platform, config_.listen});
  servers_.start(now, out);
  HostList none;
  if (config_.known.empty()) servers_.take(now, none, ListKind::remembered, out);
  bool first = true;
  for (const HostList& list : config_.known) {
    servers_.take(now, list,
                  std::exchange(first, false) ? ListKind::remembered
                  : list.whole                ? ListKind::all
                                              : ListKind::changes,
                  out);
  }
  journal_.start(now, out);
  out.log(net::Level::info, config_.name + " listens on " + config_.listen);
}

void Gatekeeper::on(Time now, const net::Accepted& e, Outbox& out) {
  if (e.conn.concern == net::Concern::platform) platform_.on(now, e, out);
}

void Gatekeeper::on(Time now, const net::Connected& e, Outbox& out) {
  if (e.conn.concern == net::Concern::server) servers_.on(now, e, out);
  if (e.conn.concern == net::Concern::journal) journal_.on(now, e, out);
}

void Gatekeeper::on(Time now, const net::ConnectFailed& e, Outbox& out) {
  if (e.conn.concern == net::Concern::server) servers_.on(now, e, out);
  if (e.conn.concern == net::Concern::journal) journal_.on(now, e, out);
}

void Gatekeeper::on(Time now, const net::Received& e, Outbox& out) {
  if (e.conn.concern == net::Concern::platform) platform_.on(now, e, out);
  if (e.conn.concern == net::Concern::server) {
    for (const back::StrayRelease& stray : servers_.on(now, e, out))
      platform_.pass_on_release(stray.label, stray.cause, out);
  }
  if (e.conn.concern == net::Concern::journal) {
    for (const HostList& list : journal_.on(now, e, out))
      servers_.take(now, list, list.whole ? ListKind::all : ListKind::changes, out);
  }
}

void Gatekeeper::on(Time now, const net::Closed& e, Outbox& out) {
  if (e.conn.concern == net::Concern::platform) platform_.on(now, e, out);
  if (e.conn.concern == net::Concern::server) servers_.on(now, e, out);
  if (e.conn.concern == net::Concern::journal) journal_.on(now, e, out);
}

void Gatekeeper::on(Time, const net::Datagram&, Outbox&) {}

void Gatekeeper::on(Time now, const net::TimerFired& e, Outbox& out) {
  if (e.key.concern == net::Concern::broker) out.tell(core::TimerRang{e.key.number});
  if (e.key.concern == net::Concern::server) servers_.on(now, e, out);
  if (e.key.concern == net::Concern::journal) journal_.on(now, e, out);
  if (e.key.concern == net::Concern::process) out.arm(net::Concern::process, 0, now + kLook);
}

void Gatekeeper::on(Time now, const net::StopAsked&, Outbox& out) {
  if (stop_asked_) return;
  stop_asked_ = now;
  out.log(net::Level::info, config_.name + " was asked to stop");
  out.arm(net::Concern::process, 0, now + kLook);
}

void Gatekeeper::on(Time, const net::CountersAsked&, Outbox& out) {
  out.net.push_back(net::Print{counters_text()});
}

void Gatekeeper::finish_if_drained(Time now, Outbox& out) {
  if (!stop_asked_ || now - *stop_asked_ < kStillComing) return;
  if (broker_.unanswered() > 0 && now - *stop_asked_ < kLatestEnd) return;
  out.net.push_back(net::Print{counters_text()});
  out.net.push_back(net::Exit{0});
}

std::string Gatekeeper::counters_text() {
  Counters all = counters_;
  if (more_counters_) more_counters_(all);
  std::string text;
  for (const auto& [name, value] : all.all()) text += name + " " + std::to_string(value) + "\n";
  return text;
}

}  // namespace graniterun
