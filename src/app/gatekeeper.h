// The one reducer: every event of the runtime goes to the sub-reducer of its concern, what those tell the
// broker goes to the broker, and what the broker asks for goes back to them, until nothing is left but
// effects.
#pragma once

#include <array>
#include <functional>
#include <optional>

#include "back/journal.h"
#include "back/setup_servers.h"
#include "back/sip_trunk.h"
#include "config/config.h"
#include "control/control.h"
#include "control/subscription.h"
#include "core/broker.h"
#include "fleet/fleet.h"
#include "front/platform.h"
#include "front/sip.h"
#include "management/management.h"
#include "net/outbox.h"
#include "otlp/exporter.h"

namespace graniterun {

class Gatekeeper {
 public:
  // `more_counters` writes those that are kept elsewhere.
  Gatekeeper(const PlatformConfig& config, const DeployConfig& deploy,
             std::function<void(Counters&)> more_counters);

  void step(Time now, const net::Event& event, net::Effects& effects);

 private:
  void on(Time now, const net::Started& e, Outbox& out);
  void on(Time now, const net::StopAsked& e, Outbox& out);
  void on(Time now, const net::CountersAsked& e, Outbox& out);
  void on(Time now, const net::ReloadAsked& e, Outbox& out);
  void on(Time now, const net::FileRead& e, Outbox& out);

  using Step = std::function<void(Time now, const net::Event& event, Outbox& out)>;
  template <class Part>
  static Step step_of(Part& part);
  void wire();
  bool ready(Time now) const;
  void listen(Outbox& out);
  std::string readiness(Time now) const;
  std::string telemetry(Time now) const;
  core::Broker::Gate gate();
  void retune(Time now, const PlatformConfig& fresh, Outbox& out);
  std::optional<std::string> lay(Time now, const std::vector<distribution::Document>& documents, Outbox& out);
  void take_list(Time now, const HostList& list, ListKind kind, Outbox& out);
  const std::string& name_of(ServerId server) const;
  void settle(Time now, Outbox& out);
  void apply(Time now, const core::Effect& effect, Outbox& out);
  void finish_if_drained(Time now, Outbox& out);
  void finish(const net::Effect& end, Outbox& out);
  Counters all_counters() const;
  std::string counters_text() const;

  PlatformConfig config_;  // its text and keys: the file's, as last taken, without documents
  std::vector<distribution::Document> documents_;  // in force over the file
  core::ClassTable classes_;                       // those of the settings in force, and of open calls
  DeployConfig deploy_;
  std::function<void(Counters&)> more_counters_;
  Counters counters_;
  control::Control control_;
  fleet::Fleet fleet_;
  std::optional<control::Subscription> subscription_{};  // where configuration is distributed
  core::Broker broker_;
  front::Platform platform_;
  front::Sip sip_;
  // One of them speaks to the setup servers.
  back::SetupServers servers_;
  std::optional<back::SipTrunk> trunk_{};
  back::Journal journal_;
  otlp::Exporter exporter_;
  std::array<Step, net::kConcerns> parts_{};  // who is told of a concern's events
  management::Management management_;
  bool listening_ = false;  // for callers
  bool counters_told_ = false;
  std::optional<Time> stop_asked_{};
};

}  // namespace graniterun
