#include "lab/hollow.h"

#include <pthread.h>
#include <time.h>

#include <nlohmann/json.hpp>

#include "config/overlay.h"

namespace graniterun::lab {
namespace {

using namespace std::chrono_literals;

// Little is touched of it: a datagram's buffer, and the tree of a document.
constexpr std::size_t kStack = 1024 * 1024;
constexpr Duration kFiguresEvery = 100ms;

std::int64_t steady_ns() {
  timespec t{};
  ::clock_gettime(CLOCK_MONOTONIC, &t);
  return std::int64_t{t.tv_sec} * 1'000'000'000 + t.tv_nsec;
}

}  // namespace

// ---- the record

HollowRecord::Entry& HollowRecord::of(const std::string& service, const distribution::VersionId& stamp) {
  Entry& entry = entries_[{service, stamp.version}];
  const std::string digest = distribution::to_hex(stamp.digest).substr(0, 16);
  if (entry.digest.empty()) entry.digest = digest;
  if (entry.digest != digest) ++mixed;
  entry.told = false;
  return entry;
}

void HollowRecord::in_force(const std::string& service, const distribution::VersionId& before,
                            const distribution::VersionId& stamp) {
  const std::int64_t at = steady_ns();
  const std::lock_guard lock(mutex_);
  if (!before.none()) --of(service, before).now;
  Entry& entry = of(service, stamp);
  ++entry.now;
  if (entry.first == 0) entry.first = at;
  entry.last = std::max(entry.last, at);
}

void HollowRecord::gone(const std::string& service, const distribution::VersionId& stamp) {
  const std::lock_guard lock(mutex_);
  --of(service, stamp).now;
}

void HollowRecord::refused(const std::string& service, const distribution::VersionId& stamp) {
  const std::lock_guard lock(mutex_);
  ++of(service, stamp).refused;
}

std::map<HollowRecord::Key, HollowRecord::Entry> HollowRecord::take_changed() {
  std::map<Key, Entry> changed;
  const std::lock_guard lock(mutex_);
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (!std::exchange(it->second.told, true)) changed.insert(*it);
    // What nobody has any more has been told, and is no news again.
    const bool over = it->second.now == 0 && it->second.refused == 0 && entries_.size() > 50'000;
    it = over ? entries_.erase(it) : std::next(it);
  }
  return changed;
}

// ---- a gatekeeper

Hollow::Hollow(PlatformConfig config, DeployConfig deploy, HollowRecord& record)
    : config_(std::move(config)),
      record_(record),
      journal_(config_.journal, config_.known_position, counters_) {
  if (deploy.configuration) {
    subscription_.emplace(*deploy.configuration, counters_,
                          [this](Time, const std::vector<distribution::ServiceConfig>& documents, Outbox&) {
                            return take(documents);
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

Hollow::~Hollow() {
  for (const auto& [service, stamp] : force_) record_.gone(service, stamp);
}

void Hollow::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  if (std::holds_alternative<net::Started>(event)) {
    if (control_) control_->start(now, out);
    if (fleet_) fleet_->start(now, out);
    journal_.start(now, out);
    if (subscription_) subscription_->start(now, out);
  }
  const auto to = [&](auto& part) {
    std::visit(
        [&](const auto& notice) {
          if constexpr (requires { part.on(now, notice, out); }) part.on(now, notice, out);
        },
        event);
  };
  const auto concern = net::concern_of(event);
  if (concern == net::Concern::configuration && subscription_) to(*subscription_);
  if (concern == net::Concern::control && control_) to(*control_);
  if (concern == net::Concern::fleet && fleet_) to(*fleet_);
  if (concern == net::Concern::discovery) {
    to(journal_);
    record_.lists += journal_.take_updates().size();
  }
  if (std::exchange(refused_some_, false)) {  // each refusal is counted once
    for (const auto& [service, held] : subscription_->subscriber().service_states()) {
      if (held.rejected && std::exchange(refused_[service], held.rejected->version) != held.rejected->version)
        record_.refused(service, *held.rejected);
    }
  }
  effects = std::move(out.net);
}

// As a gatekeeper takes them, up to where the settings would go to the broker.
std::optional<std::string> Hollow::take(const std::vector<distribution::ServiceConfig>& documents) {
  try {
    const std::string text = with_overlay(config_.text, documents);
    const PlatformConfig fresh = read_platform_config(text);
    check_keys(config_, fresh);
    if (!whole(text, documents)) ++record_.mixed;
  } catch (const ConfigError& trouble) {
    refused_some_ = true;
    return trouble.what();
  }
  for (const distribution::ServiceConfig& config : documents) {
    distribution::VersionId& held = force_[config.service];
    if (held == config.id) continue;
    if (config.id.version < held.version) ++record_.back;
    if (config.id.version == held.version) ++record_.mixed;
    record_.in_force(config.service, held, config.id);
    held = config.id;
  }
  return std::nullopt;
}

// The documents of the measurements hold a serial number at both ends of themselves: what is in force has the
// same at both.
bool Hollow::whole(const std::string& text, const std::vector<distribution::ServiceConfig>& documents) const {
  bool marked = false;
  for (const distribution::ServiceConfig& config : documents)
    marked = marked || config.content.find("\"marks\"") != config.content.npos;
  if (!marked) return true;
  const auto all = nlohmann::json::parse(text, nullptr, false);
  const auto marks = all.at("settings").value("marks", nlohmann::json::object());
  for (const auto& [service, mark] : marks.items()) {
    if (mark.value("first", 0) != mark.value("second", 0)) return false;
  }
  return true;
}

void Hollow::figures(HollowFigures& f) const {
  const auto put = [this](std::atomic<std::uint64_t>& to, const char* name) {
    to.store(counters_.of(name), std::memory_order_relaxed);
  };
  f.ready.store(!subscription_ || subscription_->ready(), std::memory_order_relaxed);
  if (subscription_)
    f.sources.store(subscription_->subscriber().connected_sources(), std::memory_order_relaxed);
  put(f.stale, "config.distribution.stale");
  put(f.conflicts, "config.distribution.conflicts");
  put(f.unsound, "config.distribution.unsound");
  put(f.refused, "config.distribution.refused");
}

// ---- the host

HollowHost::HollowHost(std::size_t size, Build build) : build_(std::move(build)) {
  for (std::size_t i = 0; i < size; ++i) {
    all_.push_back(std::make_unique<One>());
    all_.back()->host = this;
    all_.back()->index = i;
  }
}

HollowHost::~HollowHost() {
  ends_ = true;
  for (const auto& one : all_) {
    if (one->started) ::pthread_join(one->thread, nullptr);
  }
}

void HollowHost::start() {
  pthread_attr_t attributes;
  ::pthread_attr_init(&attributes);
  ::pthread_attr_setstacksize(&attributes, kStack);
  for (const auto& one : all_)
    one->started = ::pthread_create(&one->thread, &attributes, &HollowHost::run, one.get()) == 0;
  ::pthread_attr_destroy(&attributes);
}

void HollowHost::restart(std::size_t count) {
  for (std::size_t i = 0; i < std::min(count, all_.size()); ++i) ++all_[i]->wanted;
}

void* HollowHost::run(void* one) {
  One& o = *static_cast<One*>(one);
  while (!o.host->ends_) o.host->live(o);
  return nullptr;
}

// A life: until the host ends, or a new one is wanted. Both are seen at the next event, which comes within
// the 50 ms of the subscription's ticks.
void HollowHost::live(One& one) {
  const std::uint64_t life = ++one.lives;
  const std::unique_ptr<Hollow> hollow = build_(one.index, record_);
  net::RuntimeLimits limits;
  limits.signals = false;
  limits.connections = 64;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  Time told{};
  const auto figures = [&] {
    hollow->figures(one.now);
    one.now.bytes_in.store(runtime.counters().bytes_in, std::memory_order_relaxed);
    one.now.bytes_out.store(runtime.counters().bytes_out, std::memory_order_relaxed);
  };
  one.now.up = true;
  runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (ends_ || one.wanted.load(std::memory_order_relaxed) > life) {
      effects.push_back(net::Exit{0});
      return;
    }
    hollow->step(now, event, effects);
    if (now - told < kFiguresEvery) return;
    told = now;
    figures();
  });
  figures();
  one.now.up = one.now.ready = false;
  one.now.sources = 0;
  // What this life has counted is kept with those of the lives before.
  for (const auto of : {&HollowFigures::stale, &HollowFigures::conflicts, &HollowFigures::unsound,
                        &HollowFigures::refused, &HollowFigures::bytes_in, &HollowFigures::bytes_out}) {
    one.before.*of += (one.now.*of).exchange(0);
  }
}

HollowHost::Sums HollowHost::sums() const {
  Sums s;
  for (const auto& one : all_) {
    s.up += one->now.up ? 1 : 0;
    s.ready += one->now.ready ? 1 : 0;
    s.sources += one->now.sources;
    s.stale += one->now.stale + one->before.stale;
    s.conflicts += one->now.conflicts + one->before.conflicts;
    s.unsound += one->now.unsound + one->before.unsound;
    s.refused += one->now.refused + one->before.refused;
    s.bytes_in += one->now.bytes_in + one->before.bytes_in;
    s.bytes_out += one->now.bytes_out + one->before.bytes_out;
    s.restarts += one->lives > 0 ? one->lives - 1 : 0;
    clockid_t clock{};
    timespec used{};
    if (one->started && ::pthread_getcpuclockid(one->thread, &clock) == 0 &&
        ::clock_gettime(clock, &used) == 0)
      s.cpu_ns +=
          static_cast<std::uint64_t>(used.tv_sec) * 1'000'000'000 + static_cast<std::uint64_t>(used.tv_nsec);
  }
  return s;
}

}  // namespace graniterun::lab
