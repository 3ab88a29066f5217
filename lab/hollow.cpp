#include "lab/hollow.h"

#include <pthread.h>
#include <time.h>

#include <nlohmann/json.hpp>

#include "config/overlay.h"

namespace graniterun::lab {
namespace {

using namespace std::chrono_literals;

// Thread stack, of which little is touched: a datagram's buffer and a parsed configuration.
constexpr std::size_t kThreadStackBytes = 1024 * 1024;
constexpr Duration kMetricsInterval = 100ms;

std::int64_t steady_ns() {
  timespec t{};
  ::clock_gettime(CLOCK_MONOTONIC, &t);
  return std::int64_t{t.tv_sec} * 1'000'000'000 + t.tv_nsec;
}

}  // namespace

// ---- the record

VersionRecord::Entry& VersionRecord::change_entry(const std::string& service,
                                                  const distribution::VersionId& id) {
  Entry& entry = entries_[{service, id.version}];
  const std::string digest = distribution::to_hex(id.digest).substr(0, 16);
  if (entry.digest.empty()) entry.digest = digest;
  if (entry.digest != digest) ++content_mismatches;
  entry.reported = false;
  return entry;
}

void VersionRecord::record_activated(const std::string& service, const distribution::VersionId& before,
                                     const distribution::VersionId& id) {
  const std::int64_t at = steady_ns();
  const std::lock_guard lock(mutex_);
  if (!before.none()) --change_entry(service, before).active_now;
  Entry& entry = change_entry(service, id);
  ++entry.active_now;
  if (entry.first_activated_ns == 0) entry.first_activated_ns = at;
  entry.last_activated_ns = std::max(entry.last_activated_ns, at);
}

void VersionRecord::record_stopped(const std::string& service, const distribution::VersionId& id) {
  const std::lock_guard lock(mutex_);
  --change_entry(service, id).active_now;
}

void VersionRecord::record_rejected(const std::string& service, const distribution::VersionId& id) {
  const std::lock_guard lock(mutex_);
  ++change_entry(service, id).rejected;
}

std::map<VersionRecord::Key, VersionRecord::Entry> VersionRecord::take_changed() {
  std::map<Key, Entry> changed;
  const std::lock_guard lock(mutex_);
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (!std::exchange(it->second.reported, true)) changed.insert(*it);
    // A version that no gatekeeper has active or has rejected was reported already: it is dropped once there
    // are more than 50,000 entries.
    const bool unused = it->second.active_now == 0 && it->second.rejected == 0 && entries_.size() > 50'000;
    it = unused ? entries_.erase(it) : std::next(it);
  }
  return changed;
}

// ---- a gatekeeper

LightweightGatekeeper::LightweightGatekeeper(PlatformConfig config, DeployConfig deploy,
                                             VersionRecord& record)
    : config_(std::move(config)),
      record_(record),
      discovery_(config_.journal, config_.known_position, counters_) {
  if (deploy.configuration) {
    subscription_.emplace(*deploy.configuration, counters_,
                          [this](Time, const std::vector<distribution::ServiceConfig>& configs, Outbox&) {
                            return apply(configs);
                          });
  }
  if (deploy.control) {
    control::ControlSettings settings = *deploy.control;
    settings.name = config_.name;
    settings.seed = config_.seed;
    settings.max_retry_after = config_.settings.max_retry_after;
    control_.emplace(std::move(settings), counters_);
  }
  if (deploy.fleet) fleet_.emplace(*deploy.fleet, counters_);
}

LightweightGatekeeper::~LightweightGatekeeper() {
  for (const auto& [service, id] : active_) record_.record_stopped(service, id);
}

void LightweightGatekeeper::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  if (std::holds_alternative<net::Started>(event)) {
    if (control_) control_->start(now, out);
    if (fleet_) fleet_->start(now, out);
    discovery_.start(now, out);
    if (subscription_) subscription_->start(now, out);
  }
  const auto dispatch_to = [&](auto& component) {
    std::visit(
        [&](const auto& notice) {
          if constexpr (requires { component.on(now, notice, out); }) component.on(now, notice, out);
        },
        event);
  };
  const auto concern = net::concern_of(event);
  if (concern == net::Concern::configuration && subscription_) dispatch_to(*subscription_);
  if (concern == net::Concern::control && control_) dispatch_to(*control_);
  if (concern == net::Concern::fleet && fleet_) dispatch_to(*fleet_);
  if (concern == net::Concern::discovery) {
    dispatch_to(discovery_);
    record_.endpoint_lists += discovery_.take_updates().size();
  }
  if (std::exchange(newly_rejected_, false)) {  // counts each rejection once
    for (const auto& [service, state] : subscription_->subscriber().service_states()) {
      if (state.rejected &&
          std::exchange(rejected_[service], state.rejected->version) != state.rejected->version)
        record_.record_rejected(service, *state.rejected);
    }
  }
  effects = std::move(out.net);
}

// Applies configurations as a gatekeeper does, up to the point where the settings would go to the broker.
// Returns the reason if they are rejected.
std::optional<std::string> LightweightGatekeeper::apply(
    const std::vector<distribution::ServiceConfig>& configs) {
  try {
    const std::string text = with_overlay(config_.text, configs);
    const PlatformConfig new_config = read_platform_config(text);
    check_keys(config_, new_config);
    if (!is_complete(text, configs)) ++record_.content_mismatches;
  } catch (const ConfigError& error) {
    newly_rejected_ = true;
    return error.what();
  }
  for (const distribution::ServiceConfig& config : configs) {
    distribution::VersionId& active_id = active_[config.service];
    if (active_id == config.id) continue;
    if (config.id.version < active_id.version) ++record_.version_decreases;
    if (config.id.version == active_id.version) ++record_.content_mismatches;
    record_.record_activated(config.service, active_id, config.id);
    active_id = config.id;
  }
  return std::nullopt;
}

// Whether each configuration is applied completely. The configurations that the measurements publish carry a
// serial number at their begin and at their end, which must be equal in the merged settings.
bool LightweightGatekeeper::is_complete(const std::string& text,
                                        const std::vector<distribution::ServiceConfig>& configs) const {
  bool has_marks = false;
  for (const distribution::ServiceConfig& config : configs)
    has_marks = has_marks || config.content.find("\"marks\"") != config.content.npos;
  if (!has_marks) return true;
  const auto all = nlohmann::json::parse(text, nullptr, false);
  const auto marks = all.at("settings").value("marks", nlohmann::json::object());
  for (const auto& [service, mark] : marks.items()) {
    if (mark.value("first", 0) != mark.value("second", 0)) return false;
  }
  return true;
}

void LightweightGatekeeper::update_metrics(GatekeeperMetrics& metrics) const {
  const auto set_from_counter = [this](std::atomic<std::uint64_t>& target, const char* name) {
    target.store(counters_.of(name), std::memory_order_relaxed);
  };
  metrics.ready.store(!subscription_ || subscription_->ready(), std::memory_order_relaxed);
  if (subscription_)
    metrics.sources.store(subscription_->subscriber().connected_sources(), std::memory_order_relaxed);
  set_from_counter(metrics.stale, "config.distribution.stale");
  set_from_counter(metrics.conflicts, "config.distribution.conflicts");
  set_from_counter(metrics.unsound, "config.distribution.unsound");
  set_from_counter(metrics.refused, "config.distribution.refused");
}

// ---- the host

LightweightGatekeeperHost::LightweightGatekeeperHost(std::size_t size, Factory create)
    : create_(std::move(create)) {
  for (std::size_t i = 0; i < size; ++i) {
    instances_.push_back(std::make_unique<Instance>());
    instances_.back()->host = this;
    instances_.back()->index = i;
  }
}

LightweightGatekeeperHost::~LightweightGatekeeperHost() {
  stopping_ = true;
  for (const auto& instance : instances_) {
    if (instance->started) ::pthread_join(instance->thread, nullptr);
  }
}

void LightweightGatekeeperHost::start() {
  pthread_attr_t attributes;
  ::pthread_attr_init(&attributes);
  ::pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  for (const auto& instance : instances_)
    instance->started = ::pthread_create(&instance->thread, &attributes, &LightweightGatekeeperHost::run,
                                         instance.get()) == 0;
  ::pthread_attr_destroy(&attributes);
}

void LightweightGatekeeperHost::restart(std::size_t count) {
  for (std::size_t i = 0; i < std::min(count, instances_.size()); ++i) ++instances_[i]->requested_starts;
}

void* LightweightGatekeeperHost::run(void* instance) {
  Instance& self = *static_cast<Instance*>(instance);
  while (!self.host->stopping_) self.host->run_incarnation(self);
  return nullptr;
}

// Runs one incarnation until the host stops or a restart is requested. Both are noticed at the next event,
// which comes within the 50 ms of the subscription's tick.
void LightweightGatekeeperHost::run_incarnation(Instance& instance) {
  const std::uint64_t incarnation = ++instance.starts;
  const std::unique_ptr<LightweightGatekeeper> gatekeeper = create_(instance.index, record_);
  net::RuntimeLimits limits;
  limits.signals = false;
  limits.connections = 64;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  Time updated_at{};
  const auto update = [&] {
    gatekeeper->update_metrics(instance.current);
    instance.current.bytes_in.store(runtime.counters().bytes_in, std::memory_order_relaxed);
    instance.current.bytes_out.store(runtime.counters().bytes_out, std::memory_order_relaxed);
  };
  instance.current.up = true;
  runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (stopping_ || instance.requested_starts.load(std::memory_order_relaxed) > incarnation) {
      effects.push_back(net::Exit{0});
      return;
    }
    gatekeeper->step(now, event, effects);
    if (now - updated_at < kMetricsInterval) return;
    updated_at = now;
    update();
  });
  update();
  instance.current.up = instance.current.ready = false;
  instance.current.sources = 0;
  // The counts of this incarnation are added to those of the earlier ones.
  for (const auto field :
       {&GatekeeperMetrics::stale, &GatekeeperMetrics::conflicts, &GatekeeperMetrics::unsound,
        &GatekeeperMetrics::refused, &GatekeeperMetrics::bytes_in, &GatekeeperMetrics::bytes_out}) {
    instance.previous.*field += (instance.current.*field).exchange(0);
  }
}

LightweightGatekeeperHost::Totals LightweightGatekeeperHost::totals() const {
  Totals totals;
  for (const auto& instance : instances_) {
    totals.up += instance->current.up ? 1 : 0;
    totals.ready += instance->current.ready ? 1 : 0;
    totals.sources += instance->current.sources;
    totals.stale += instance->current.stale + instance->previous.stale;
    totals.conflicts += instance->current.conflicts + instance->previous.conflicts;
    totals.unsound += instance->current.unsound + instance->previous.unsound;
    totals.refused += instance->current.refused + instance->previous.refused;
    totals.bytes_in += instance->current.bytes_in + instance->previous.bytes_in;
    totals.bytes_out += instance->current.bytes_out + instance->previous.bytes_out;
    totals.restarts += instance->starts > 0 ? instance->starts - 1 : 0;
    clockid_t clock{};
    timespec used{};
    if (instance->started && ::pthread_getcpuclockid(instance->thread, &clock) == 0 &&
        ::clock_gettime(clock, &used) == 0)
      totals.cpu_ns +=
          static_cast<std::uint64_t>(used.tv_sec) * 1'000'000'000 + static_cast<std::uint64_t>(used.tv_nsec);
  }
  return totals;
}

}  // namespace graniterun::lab
