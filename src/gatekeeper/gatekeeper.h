// Reducer of the gatekeeper program. Each runtime event goes to the sub-reducer of its concern; events that a
// sub-reducer produces for the broker go to the broker, and the broker's effects go back to the sub-reducers,
// until only effects for the runtime are left.
#pragma once

#include <array>
#include <functional>
#include <optional>

#include "config/config.h"
#include "control/control.h"
#include "control/subscription.h"
#include "core/broker.h"
#include "downstream/platform.h"
#include "downstream/sip.h"
#include "fleet/fleet.h"
#include "management/management.h"
#include "net/outbox.h"
#include "otlp/exporter.h"
#include "upstream/discovery.h"
#include "upstream/setup_servers.h"
#include "upstream/sip_trunk.h"

namespace graniterun {

class Gatekeeper {
 public:
  // `more_counters` adds the counters that are kept outside of this class. At `min_log_level` debug, each
  // step of a call and of a server connection is logged.
  Gatekeeper(const PlatformConfig& config, const DeployConfig& deploy,
             std::function<void(Counters&)> more_counters, net::Level min_log_level = net::Level::info);

  void step(Time now, const net::Event& event, net::Effects& effects);

 private:
  void on(Time now, const net::Started& e, Outbox& out);
  void on(Time now, const net::StopRequested& e, Outbox& out);
  void on(Time now, const net::CountersRequested& e, Outbox& out);
  void on(Time now, const net::ReloadRequested& e, Outbox& out);
  void on(Time now, const net::FileRead& e, Outbox& out);

  using Handler = std::function<void(Time now, const net::Event& event, Outbox& out)>;
  template <class Part>
  static Handler handler_of(Part& part);
  Handler& handler(net::Concern concern);
  void connect_parts();
  void connect_configuration();
  void connect_fleet();
  void connect_gaps();
  void connect_exporter();
  bool ready(Time now) const;
  void listen(Outbox& out);
  std::string readiness(Time now) const;
  std::string telemetry(Time now) const;
  core::Broker::AdmissionCheck admission_check();
  void replace_settings(Time now, const PlatformConfig& fresh, Outbox& out);
  std::optional<std::string> apply_overlay(Time now, const std::vector<distribution::ServiceConfig>& configs,
                                           Outbox& out);
  void handle_endpoints(Time now, const EndpointList& list, ListKind kind, Outbox& out);
  const std::string& name_of(ServerId server) const;
  void drain_broker_events(Time now, Outbox& out);
  void apply(Time now, const core::Effect& effect, Outbox& out);
  Duration answers_due_after_stop() const;
  void exit_if_drained(Time now, Outbox& out);
  bool drained() const;
  void request_exit(const net::Effect& end, Outbox& out);
  Counters all_counters() const;
  std::string counters_text() const;

  PlatformConfig config_;  // its text and keys: of the last accepted file, without overlay
  std::vector<distribution::ServiceConfig>
      service_configs_;       // active service configurations, applied over the file
  core::ClassTable classes_;  // classes of the active settings and of open calls
  DeployConfig deploy_;
  std::function<void(Counters&)> more_counters_;
  net::Level min_log_level_;
  Counters counters_;
  control::Control control_;
  fleet::Fleet fleet_;
  std::optional<control::Subscription> subscription_{};  // absent: no distributed configuration
  core::Broker broker_;
  downstream::Platform platform_;
  downstream::Sip sip_;
  // If trunk_ is set, it connects to the setup servers; else servers_ does.
  upstream::SetupServers servers_;
  std::optional<upstream::SipTrunk> trunk_{};
  upstream::DiscoveryClient journal_;
  otlp::Exporter exporter_;
  std::array<Handler, net::kConcerns> handlers_{};  // by concern; empty: events are ignored
  management::Management management_;
  bool listening_ = false;  // for platform callers
  bool counters_printed_ = false;
  std::optional<Time> stop_requested_at_{};
};

}  // namespace graniterun
