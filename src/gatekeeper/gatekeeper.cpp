#include "gatekeeper/gatekeeper.h"

#include <algorithm>
#include <utility>

#include "config/descriptors.h"
#include "config/overlay.h"
#include "core/overloaded.h"
#include "gatekeeper/effect_log.h"
#include "management/telemetry.h"

namespace graniterun {
namespace {

using namespace std::chrono_literals;

// The platform's protocol for a planned restart: after SIGTERM, new connections arrive for at most 0.4 s and
// requests on open ones for another 0.2 s. SIGKILL follows no sooner than the longest caller timeout, counted
// as at most 3 s, plus 0.7 s.
constexpr Duration kLateArrivalWindow = 900ms;
constexpr Duration kShutdownCheckInterval = 50ms;
constexpr Duration kMaxCountedTimeout = 3s;
constexpr Duration kKillDelay = 700ms;
// Margin before the earliest SIGKILL: open requests are rejected at its begin, the exit is due at its half.
constexpr Duration kFinalAnswerMargin = 300ms;
// Maximum counted caller timeout with a successor process.
constexpr Duration kMaxUpgradeTimeout = 5s;
// Time before open requests are rejected, with a successor process, in which callers' connections are closed
// also if calls are established on them, each in a moment without an open request.
constexpr Duration kHandoverCloseWindow = 1s;
// Time before open requests are rejected, without a successor, in which the calls of SIP callers are ended: a
// BYE over UDP that is lost can be sent again before the exit.
constexpr Duration kSipCallEndWindow = 1s;

downstream::PlatformFrontSettings platform_settings(const PlatformConfig& config, const DeployConfig& deploy,
                                                    const core::ClassTable& classes) {
  downstream::PlatformFrontSettings settings;
  settings.classes = classes.classes;
  const std::size_t max_callers = descriptor_shares(config.max_sockets).callers;
  settings.max_connections = deploy.sip_tcp ? max_callers - max_callers / 2 : max_callers;
  return settings;
}

downstream::SipFrontSettings sip_settings(const PlatformConfig& config, const DeployConfig& deploy,
                                          const core::ClassTable& classes) {
  downstream::SipFrontSettings settings;
  settings.udp = deploy.sip_udp;
  settings.tcp = deploy.sip_tcp;
  settings.classes = classes.classes;
  settings.seed = config.seed;
  settings.max_connections = descriptor_shares(config.max_sockets).callers / 2;
  settings.load_control_from = deploy.load_control_from;
  settings.wait_for_addresses = config.inherited_socket.has_value();
  return settings;
}

// Class table at the start: without open calls, each class has its index in the settings.
core::ClassTable initial_class_table(const PlatformConfig& config) {
  auto table = core::assign_class_indexes({}, config.class_names, config.settings.classes, {});
  if (!table)
    throw ConfigError("the settings name more than " + std::to_string(core::ClassTable::kMaxClasses) +
                      " classes");
  return *table;
}

control::ControlSettings control_settings(const PlatformConfig& config, const DeployConfig& deploy) {
  control::ControlSettings settings = deploy.control.value_or(control::ControlSettings{});
  settings.name = config.name;
  settings.seed = config.seed;
  settings.max_retry_after = config.settings.max_retry_after;
  return settings;
}

otlp::ExporterSettings exporter_settings(const PlatformConfig& config, const DeployConfig& deploy) {
  return {deploy.collector, deploy.collector_host, config.name, deploy.export_interval, config.seed};
}

}  // namespace

Gatekeeper::Gatekeeper(const PlatformConfig& config, const DeployConfig& deploy,
                       std::function<void(Counters&)> more_counters, net::Level min_log_level)
    : config_(config),
      classes_(initial_class_table(config)),
      deploy_(deploy),
      more_counters_(std::move(more_counters)),
      min_log_level_(min_log_level),
      control_(control_settings(config, deploy), counters_),
      fleet_(deploy.fleet.value_or(fleet::FleetSettings{}), counters_),
      broker_(config.settings, config.seed, core::Contracts(deploy.contracts), counters_, admission_check()),
      platform_(platform_settings(config, deploy, classes_), counters_),
      sip_(sip_settings(config, deploy, classes_), counters_),
      servers_(config.settings, config.areas, counters_),
      journal_(config.journal, config.cached_position, counters_),
      exporter_(exporter_settings(config, deploy), counters_),
      management_(config.management, counters_) {
  broker_.metrics().add_classes(config.class_names);
  if (deploy.configuration) {
    subscription_.emplace(*deploy.configuration, counters_,
                          [this](Time now, const std::vector<distribution::ServiceConfig>& all, Outbox& out) {
                            return apply_overlay(now, all, out);
                          });
  } else {
    config_.text = {};  // without distributed configuration no overlay is applied to it
  }
  if (deploy.sip_server_transport != "platform") {
    trunk_.emplace(upstream::SipTrunkSettings{deploy.sip_server_transport == "tcp", deploy.sip_servers_from,
                                              config.seed, config.name, config.inherited_socket.has_value()},
                   config.areas, counters_);
  }
  connect_parts();
}

// Without a control listener there are no call gaps, and no admission check.
core::Broker::AdmissionCheck Gatekeeper::admission_check() {
  if (!deploy_.control) return {};
  return [this](Time now, const core::Request& request) {
    return control_.check(now, request.number_text, request.class_name);
  };
}

// Passes an event to the sub-reducer's `on` overload for its type; ignores events without an overload.
template <class Part>
Gatekeeper::Handler Gatekeeper::handler_of(Part& part) {
  return [&part](Time now, const net::Event& event, Outbox& out) {
    std::visit(
        [&](const auto& e) {
          if constexpr (requires { part.on(now, e, out); }) part.on(now, e, out);
        },
        event);
  };
}

Gatekeeper::Handler& Gatekeeper::handler(net::Concern concern) {
  return handlers_[static_cast<std::size_t>(concern)];
}

void Gatekeeper::connect_parts() {
  handler(net::Concern::broker) = [](Time, const net::Event& event, Outbox& out) {
    if (const auto* fired = std::get_if<net::TimerFired>(&event))
      out.notify_broker(core::TimerExpired{fired->key.number});
  };
  handler(net::Concern::platform) = handler_of(platform_);
  handler(net::Concern::server) = handler_of(servers_);
  handler(net::Concern::sip) = handler_of(sip_);
  if (trunk_) handler(net::Concern::trunk) = handler_of(*trunk_);
  handler(net::Concern::control) = handler_of(control_);
  handler(net::Concern::management) = handler_of(management_);
  handler(net::Concern::process) = [this](Time now, const net::Event&, Outbox& out) {
    out.arm(net::Concern::process, 0, now + kShutdownCheckInterval);
    platform_.continue_handover(now, out);
    sip_.continue_shutdown(now, out);
  };
  handler(net::Concern::discovery) = [this, step = handler_of(journal_)](Time now, const net::Event& event,
                                                                         Outbox& out) {
    step(now, event, out);
    for (const EndpointList& list : journal_.take_updates())
      handle_endpoints(now, list, list.complete ? ListKind::all : ListKind::changes, out);
  };
  management_.add_request("readyz", [this](Time now) { return readiness(now); });
  management_.add_request("telemetry", [this](Time now) { return telemetry(now); });
  connect_configuration();
  connect_fleet();
  connect_gaps();
  connect_exporter();
}

void Gatekeeper::connect_configuration() {
  if (!subscription_) return;
  handler(net::Concern::configuration) = handler_of(*subscription_);
  control_.add_operation("configuration", [this](Time, const nlohmann::json& line, Outbox&) {
    return subscription_->answer(line);
  });
}

void Gatekeeper::connect_fleet() {
  handler(net::Concern::fleet) = handler_of(fleet_);
  if (!deploy_.fleet) return;
  control_.add_operation("fleet", [this](Time now, const nlohmann::json& line, Outbox& out) {
    return fleet_.handle_control_request(now, line, out);
  });
  fleet_.set_port_callbacks({[this](Time now, bool owned) { control_.set_port_owned(now, owned); },
                             [this](Time now, const std::string& name, Time probed_at) {
                               control_.port_released(now, name, probed_at);
                             },
                             [this](Time now) { return control_.ports_to_watch(now); }});
  fleet_.add_watcher([this](Time now, const membership::MemberEvent& event, Outbox& out) {
    if (event.kind == membership::MemberEventKind::joined) control_.member_joined(event.record.name);
    control_.notify_watchers(now,
                             {{"event", "fleet"},
                              {"what", membership::to_string(event.kind)},
                              {"member", event.record.name},
                              {"life", event.record.incarnation},
                              {"evidence", event.detail}},
                             out);
  });
}

void Gatekeeper::connect_gaps() {
  if (!deploy_.control) return;
  sip_.share_gaps({[this](Time now) { return control_.gaps().list(now); },
                   [this] { return control_.gaps().digest(); },
                   [this](Time now, const call_gapping::Announcement& announcement, Outbox& out) {
                     control_.store_announcement(now, announcement, out);
                   }});
}

// The exporter's timer handler gets the counters and gauges of all parts.
void Gatekeeper::connect_exporter() {
  handler(net::Concern::collector) = [this, step = handler_of(exporter_)](Time now, const net::Event& event,
                                                                          Outbox& out) {
    const auto* fired = std::get_if<net::TimerFired>(&event);
    if (fired == nullptr) return step(now, event, out);
    std::vector<Gauge> gauges = control_.gauges(now);
    for (Gauge& gauge : fleet_.gauges(now)) gauges.push_back(std::move(gauge));
    if (subscription_) {
      for (Gauge& gauge : subscription_->gauges()) gauges.push_back(std::move(gauge));
    }
    exporter_.on(now, *fired, all_counters(), gauges, out);
  };
}

void Gatekeeper::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  out.debug_enabled = min_log_level_ == net::Level::debug;
  if (const auto concern = net::concern_of(event)) {
    if (const Handler& part = handlers_[static_cast<std::size_t>(*concern)]) part(now, event, out);
  } else {
    std::visit(
        [&](const auto& e) {
          if constexpr (requires { on(now, e, out); }) on(now, e, out);
        },
        event);
  }
  drain_broker_events(now, out);
  sip_.send_trying(now, out);
  const bool is_ready = ready(now);
  if (is_ready && !listening_ && !stop_requested_at_) listen(out);
  platform_.set_ready(is_ready);
  sip_.set_ready(is_ready);
  exit_if_drained(now, out);
  effects = std::move(out.net);
}

// With a successor (inherited socket) the gatekeeper stays ready while this process shuts down.
bool Gatekeeper::ready(Time now) const {
  return (!stop_requested_at_ || config_.inherited_socket) && control_.ready(now) &&
         (trunk_ ? trunk_->ready() : servers_.ready()) && (!subscription_ || subscription_->ready());
}

void Gatekeeper::listen(Outbox& out) {
  listening_ = true;
  out.net.push_back(net::Listen{net::Concern::platform, config_.listen, config_.inherited_socket});
  out.log(net::Level::info, config_.name + " listens on " + config_.listen);
}

std::string Gatekeeper::readiness(Time now) const {
  if (stop_requested_at_) return "ERR this process was asked to stop\n";
  if (subscription_ && !subscription_->ready()) return "ERR the configuration in force is not told yet\n";
  if (!ready(now)) return "ERR setup servers are not reached yet\n";
  return "OK ready\n";
}

std::string Gatekeeper::telemetry(Time now) const {
  management::MetricsSnapshot snapshot{broker_.metrics()};
  snapshot.attempts = trunk_ ? counters_.value("trunk.invites") - counters_.value("trunk.invites_recalled")
                             : all_counters().value("net.counted_written");
  snapshot.active = broker_.unanswered() + broker_.established();
  snapshot.pool_size = trunk_ ? trunk_->endpoint_count() : servers_.endpoint_count();
  snapshot.pool_ejected = broker_.ejected(now);
  snapshot.config_applied = counters_.value("config.reloads");
  snapshot.config_rejected = counters_.value("config.reloads_bad");
  for (const Gauge& gauge : fleet_.gauges(now)) {
    std::string name = gauge.name.substr(gauge.name.find('.') + 1);
    for (const auto& [key, value] : gauge.attributes) name += "." + value;
    snapshot.additional.push_back({"fleet_" + name, static_cast<std::uint64_t>(gauge.value), 'g'});
  }
  Counters fleet;
  fleet_.collect_counters(fleet);
  for (const auto& [name, value] : fleet.all())
    snapshot.additional.push_back({"fleet_" + name.substr(name.find('.') + 1), value, 'c'});
  if (subscription_) {
    for (const Gauge& gauge : subscription_->gauges()) {
      std::string name = "config_" + gauge.name.substr(gauge.name.find('.') + 1);
      for (const auto& [key, value] : gauge.attributes) name += "." + value;
      snapshot.additional.push_back({name, static_cast<std::uint64_t>(gauge.value), 'g'});
    }
    constexpr std::string_view kPrefix = "config.distribution.";
    for (const auto& [name, value] : counters_.all()) {
      if (name.starts_with(kPrefix))
        snapshot.additional.push_back({"config_distribution_" + name.substr(kPrefix.size()), value, 'c'});
    }
  }
  return "OK\n" + management::statsd_text(snapshot) + "END\n";
}

void Gatekeeper::drain_broker_events(Time now, Outbox& out) {
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
  if (out.debug_enabled)
    log_effect(
        now, effect, [this](ServerId id) { return name_of(id); }, out);
  const auto to_servers = [&](const auto& e) {
    trunk_ ? trunk_->apply(now, e, out) : servers_.apply(now, e, out);
  };
  std::visit(Overloaded{
                 [&](const core::StartAttempt& e) { to_servers(e); },
                 [&](const core::AbandonAttempt& e) { to_servers(e); },
                 [&](const core::ReleaseServer& e) { to_servers(e); },
                 [&](const core::ForwardRelease& e) { platform_.apply(now, e, out); },
                 [&](const core::ArmTimer& e) { out.arm(net::Concern::broker, e.timer, e.at); },
                 [&](const core::LogLine& e) { out.log(net::Level::info, e.text); },
                 [&](const core::RequestAnswered& e) {
                   exporter_.record_request(now, e, [this](ServerId id) { return name_of(id); });
                 },
                 [&](const auto& e) {  // to the caller, through the front end that received the request
                   if (core::front_end_of(e.call) == core::FrontEnd::sip) {
                     sip_.apply(now, e, out);
                   } else if constexpr (std::is_same_v<std::decay_t<decltype(e)>, core::ReleaseCaller>) {
                     platform_.apply(now, e, out);
                   } else {
                     platform_.apply(e, out);
                   }
                 },
             },
             effect);
}

void Gatekeeper::handle_endpoints(Time now, const EndpointList& list, ListKind kind, Outbox& out) {
  trunk_ ? trunk_->handle_endpoints(now, list, kind, out) : servers_.handle_endpoints(now, list, kind, out);
}

const std::string& Gatekeeper::name_of(ServerId server) const {
  return trunk_ ? trunk_->name_of(server) : servers_.name_of(server);
}

// ---- events

void Gatekeeper::on(Time now, const net::Started&, Outbox& out) {
  // With an inherited socket, another process still accepts callers: this one must not do so before it is
  // ready.
  if (!config_.inherited_socket) listen(out);
  if (trunk_) {
    trunk_->start(now, out);
  } else {
    servers_.start(now, out);
  }
  bool first = true;
  for (const EndpointList& list : config_.cached_endpoints) {
    const ListKind kind = std::exchange(first, false) ? ListKind::cached
                          : list.complete             ? ListKind::all
                                                      : ListKind::changes;
    handle_endpoints(now, list, kind, out);
  }
  journal_.start(now, out);
  platform_.start(now, out);
  sip_.start(now, out);
  exporter_.start(now, out);
  control_.start(now, out);
  management_.start(now, out);
  fleet_.start(now, out);
  if (subscription_) subscription_->start(now, out);
}

void Gatekeeper::on(Time now, const net::StopRequested&, Outbox& out) {
  if (stop_requested_at_) return;
  stop_requested_at_ = now;
  out.log(net::Level::info, config_.name + " was asked to stop");
  fleet_.leave(now, config_.inherited_socket.has_value(), out);
  if (config_.inherited_socket) {
    out.net.push_back(net::StopListening{net::Concern::platform});
    platform_.begin_handover(now, now + answers_due_after_stop() - kHandoverCloseWindow, out);
    sip_.begin_handover(out);
    if (trunk_) trunk_->begin_handover(out);
  } else {
    const Time answers_due_at = now + answers_due_after_stop();
    sip_.begin_shutdown(now, {answers_due_at - kSipCallEndWindow, answers_due_at}, out);
  }
  out.arm(net::Concern::process, 0, now + kShutdownCheckInterval);
}

void Gatekeeper::on(Time, const net::CountersRequested&, Outbox& out) {
  out.net.push_back(net::Print{counters_text()});
}

void Gatekeeper::on(Time, const net::ReloadRequested&, Outbox& out) {
  out.net.push_back(net::ReadFile{config_.path});
}

// Reload: applies new settings and a new discovery address; calls and connections continue, and an invalid
// file changes nothing. Active service configurations stay applied over the new file, which must also be
// valid alone, because the next start reads it without them.
void Gatekeeper::on(Time now, const net::FileRead& e, Outbox& out) {
  try {
    if (!e.text) throw ConfigError("cannot read " + e.path);
    PlatformConfig file = read_platform_config(*e.text);
    check_keys(config_, file);
    if (service_configs_.empty()) {
      replace_settings(now, file, out);
    } else {
      try {
        const PlatformConfig merged =
            read_platform_config(apply_service_configs(file.text, service_configs_));
        check_keys(file, merged);
        replace_settings(now, merged, out);
      } catch (const ConfigError& error) {
        throw ConfigError(std::string("with the documents in force over it: ") + error.what());
      }
    }
    counters_.add("config.reloads");
    out.log(net::Level::info, "the configuration was read again");
    for (const auto& [key, before, after] :
         {std::tuple("listen", config_.file_listen, file.file_listen),
          std::tuple("management", config_.file_management, file.file_management)}) {
      if (before != after)
        out.log(net::Level::warning,
                std::string("'") + key + "' is now '" + after + "': used from the next start on");
    }
    config_.keys = std::move(file.keys);
    config_.file_listen = file.file_listen;
    config_.file_management = file.file_management;
    if (!subscription_) return;
    config_.text = std::move(file.text);
    subscription_->base_changed(now, out);
  } catch (const ConfigError& error) {
    counters_.add("config.reloads_bad");
    out.log(net::Level::error, std::string("the old configuration is kept: ") + error.what());
  }
}

// Applies all service configurations over the last accepted file, or none of them; returns the error, if any.
std::optional<std::string> Gatekeeper::apply_overlay(Time now,
                                                     const std::vector<distribution::ServiceConfig>& configs,
                                                     Outbox& out) {
  try {
    const PlatformConfig merged = read_platform_config(apply_service_configs(config_.text, configs));
    check_keys(config_, merged);
    replace_settings(now, merged, out);
  } catch (const ConfigError& error) {
    return error.what();
  }
  service_configs_ = configs;
  return std::nullopt;
}

// Throws ConfigError, before any change, if open calls and new classes need too many class indexes.
void Gatekeeper::replace_settings(Time now, const PlatformConfig& fresh, Outbox& out) {
  auto table = core::assign_class_indexes(classes_, fresh.class_names, fresh.settings.classes,
                                          broker_.class_indexes_in_use());
  if (!table) throw ConfigError("open calls hold too many classes of before: try again when they are over");
  classes_ = std::move(*table);
  Settings settings = fresh.settings;
  settings.classes = classes_.by_index;
  platform_.replace_classes(classes_.classes);
  sip_.replace_classes(classes_.classes);
  servers_.replace_settings(settings);
  broker_.metrics().add_classes(fresh.class_names);
  out.notify_broker(core::SettingsReplaced{std::move(settings)});
  journal_.change_address(now, fresh.journal, out);
}

// Time from the stop request until open requests are rejected: SIGKILL may follow kFinalAnswerMargin later.
Duration Gatekeeper::answers_due_after_stop() const {
  Duration max_timeout{};
  for (const CallClass& c : classes_.by_index) max_timeout = std::max(max_timeout, c.caller_timeout);
  const Duration max_counted = config_.inherited_socket ? kMaxUpgradeTimeout : kMaxCountedTimeout;
  return std::min(max_timeout, max_counted) + kKillDelay - kFinalAnswerMargin;
}

void Gatekeeper::exit_if_drained(Time now, Outbox& out) {
  if (!stop_requested_at_) return;
  const Duration elapsed = now - *stop_requested_at_;
  const Duration answers_due = answers_due_after_stop();
  // Every open request gets an answer before the exit, even if its deadline is later.
  if (broker_.unanswered() > 0 && elapsed >= answers_due) {
    out.log(net::Level::warning,
            std::to_string(broker_.unanswered()) + " open requests rejected before exit");
    out.notify_broker(core::ShutdownStarted{});
    drain_broker_events(now, out);
  }
  if (elapsed >= answers_due + kFinalAnswerMargin / 2) return request_exit(net::Exit{0}, out);
  // Without a successor, new connections and requests still arrive for a while.
  if (!config_.inherited_socket && elapsed < std::min(kLateArrivalWindow, answers_due)) return;
  // ExitIfIdle does nothing while output is unwritten or input unread; the next check tries again.
  if (drained()) request_exit(net::ExitIfIdle{0}, out);
}

// Whether this process owes nothing to any peer. SIP dialogs are bound to this process: no other one can end
// them, so it waits for their end. With a successor, the established calls of platform callers are kept only
// while a caller's connection is open: without one their releases could not be sent from here, while setup
// servers that see this process' connections closed send them to the successor.
bool Gatekeeper::drained() const {
  if (broker_.unanswered() > 0 || sip_.call_count() > 0) return false;
  const bool callers_notified =
      config_.inherited_socket ? platform_.connection_count() == 0 : platform_.unassigned_releases() == 0;
  return callers_notified && sip_.pending_byes() == 0 && (!trunk_ || trunk_->pending_byes() == 0);
}

void Gatekeeper::request_exit(const net::Effect& end, Outbox& out) {
  if (!std::exchange(counters_printed_, true)) out.net.push_back(net::Print{counters_text()});
  out.net.push_back(end);
}

Counters Gatekeeper::all_counters() const {
  Counters all = counters_;
  if (more_counters_) more_counters_(all);
  fleet_.collect_counters(all);
  return all;
}

std::string Gatekeeper::counters_text() const {
  std::string text;
  const Counters all = all_counters();
  for (const auto& [name, value] : all.all()) text += name + " " + std::to_string(value) + "\n";
  return text;
}

}  // namespace graniterun
