#include "distribution/subscriber.h"

#include <algorithm>
#include <utility>

#include "distribution/ranking.h"

namespace graniterun::distribution {
namespace {

using namespace std::chrono_literals;

constexpr Duration kOpenTimeout = 5s;
// A connection that lasted this long resets the backoff of its source.
constexpr Duration kStableConnectionTime = 10s;
// Delay before a source that did not answer, did not have a notified version or delivered an invalid one is
// asked for it again.
constexpr Duration kOfferRetryDelay = 500ms;
// A tick later than this means that the process was paused: input of that time has not been read yet.
constexpr Duration kPauseThreshold = 1s;

}  // namespace

Version Subscriber::Service::newest_version() const {
  return std::max(active ? active->id.version : 0, candidate ? candidate->id.version : 0);
}

Subscriber::Subscriber(SubscriberSettings settings)
    : settings_(std::move(settings)),
      ranking_(rank_distributors(settings_.name, settings_.distributors)),
      sources_(settings_.distributors.size()),
      random_(settings_.seed) {
  for (const std::string& name : settings_.services) {
    if (services_.size() >= kMaxSubscribedServices) break;
    if (!service_index_.emplace(name, services_.size()).second) continue;
    services_.push_back({});
    services_.back().name = name;
  }
}

Subscriber::Service* Subscriber::find_service(std::string_view name) {
  const auto it = service_index_.find(name);
  return it == service_index_.end() ? nullptr : &services_[it->second];
}

void Subscriber::start(Time now, SubscriberEffects& out) {
  started_at_ = now;
  last_tick_at_ = now;
  maintain_sources(now, out);
  update_readiness(now, out);
}

void Subscriber::step(Time now, const SubscriberEvent& event, SubscriberEffects& out) {
  std::visit([&](const auto& received) { on(now, received, out); }, event);
  start_fetches(now, out);
  start_apply(now, out);
  maintain_sources(now, out);
  update_readiness(now, out);
}

// ---- sources

void Subscriber::record_source_input(Time now, std::uint32_t source) {
  if (source < sources_.size()) sources_[source].last_received_at = now;
}

void Subscriber::on(Time now, const SourceConnected& event, SubscriberEffects& out) {
  if (event.source >= sources_.size() || sources_[event.source].state != Source::State::opening) return;
  Source& source = sources_[event.source];
  source.state = Source::State::connected;
  source.complete = false;
  source.state_since = now;
  source.last_received_at = now;
  out.emplace_back(
      SubscriberLogEvent{SubscriberLogKind::source_connected, {}, 0, settings_.distributors[event.source]});
  choose_primary(event.source, out);
  Subscribe subscribe{event.source, {}, primary_ == event.source};
  for (const Service& service : services_)
    subscribe.held.push_back({service.name, service.active ? service.active->id : VersionId{}});
  out.emplace_back(std::move(subscribe));
  for (const Service& service : services_) {
    if (service.rejected) report_status(service, event.source, out);
  }
}

// Drops the offers of a source and the fetches from it.
void Subscriber::forget_source(std::uint32_t source) {
  for (Service& service : services_) {
    service.offers.erase(source);
    if (service.fetch && service.fetch->source == source) service.fetch.reset();
  }
}

void Subscriber::handle_source_lost(Time now, std::uint32_t index, SubscriberEffects& out) {
  Source& source = sources_[index];
  const bool was_connected = source.state == Source::State::connected;
  if (was_connected && now - source.state_since >= kStableConnectionTime)
    source.backoff = kMinReconnectBackoff;
  std::uniform_int_distribution<Duration::rep> draw(source.backoff.count() / 2, source.backoff.count());
  source.reopen_at = now + Duration(draw(random_));
  source.backoff = std::min<Duration>(source.backoff * 2, kMaxReconnectBackoff);
  source.state = Source::State::closed;
  source.complete = false;
  source.state_since = now;
  forget_source(index);
  if (!was_connected) return;
  out.emplace_back(
      SubscriberLogEvent{SubscriberLogKind::source_disconnected, {}, 0, settings_.distributors[index]});
  choose_primary(std::nullopt, out);
}

void Subscriber::on(Time now, const SourceDisconnected& event, SubscriberEffects& out) {
  if (event.source >= sources_.size() || sources_[event.source].state == Source::State::closed) return;
  handle_source_lost(now, event.source, out);
}

// The primary is the best ranked complete source, or without one the best ranked connected source: a
// distributor whose process is paused may still be connected. `connecting`: the source that has just
// connected; its Subscribe says whether it is the primary.
void Subscriber::choose_primary(std::optional<std::uint32_t> connecting, SubscriberEffects& out) {
  std::optional<std::uint32_t> best;
  for (const std::uint32_t index : ranking_) {
    if (!is_connected(index) || (best && !sources_[index].complete)) continue;
    if (best && sources_[*best].complete) break;
    best = index;
  }
  if (best == primary_) return;
  if (primary_ && is_connected(*primary_)) out.emplace_back(SendPrimary{*primary_, false});
  primary_ = best;
  if (best && best != connecting) out.emplace_back(SendPrimary{*best, true});
}

void Subscriber::maintain_sources(Time now, SubscriberEffects& out) {
  // Once the best ranked kSourcesPerGatekeeper connections are complete, the others are closed.
  std::vector<std::uint32_t> connected;
  std::size_t opening = 0;
  for (const std::uint32_t index : ranking_) {
    if (is_connected(index)) connected.push_back(index);
    opening += sources_[index].state == Source::State::opening ? 1 : 0;
  }
  while (connected.size() > kSourcesPerGatekeeper &&
         std::all_of(connected.begin(), connected.begin() + kSourcesPerGatekeeper,
                     [&](std::uint32_t i) { return sources_[i].complete; })) {
    const std::uint32_t worst = connected.back();
    connected.pop_back();
    out.emplace_back(CloseSource{worst});
    out.emplace_back(
        SubscriberLogEvent{SubscriberLogKind::source_disconnected, {}, 0, settings_.distributors[worst]});
    sources_[worst].state = Source::State::closed;
    sources_[worst].complete = false;
    forget_source(worst);
  }
  bool tries_better = connected.size() > kSourcesPerGatekeeper || opening > 0;
  for (const std::uint32_t index : ranking_) {
    Source& source = sources_[index];
    const bool wanted = connected.size() + opening < kSourcesPerGatekeeper;
    if (!wanted && (tries_better || index == connected.back())) break;
    if (source.state != Source::State::closed || source.reopen_at > now) continue;
    tries_better = true;
    source.state = Source::State::opening;
    source.state_since = now;
    ++opening;
    out.emplace_back(OpenSource{index});
  }
}

void Subscriber::on(Time now, const HeartbeatReceived& event, SubscriberEffects&) {
  record_source_input(now, event.source);
}

void Subscriber::on(Time now, const Tick&, SubscriberEffects& out) {
  if (now - last_tick_at_ > kPauseThreshold) {
    for (Source& source : sources_) source.last_received_at = source.state_since = now;
    for (Service& service : services_) {
      if (service.fetch) service.fetch->deadline = now + kFetchTimeout;
    }
  }
  last_tick_at_ = now;
  for (std::uint32_t i = 0; i < sources_.size(); ++i) {
    const Source& source = sources_[i];
    const bool silent =
        source.state == Source::State::connected && now - source.last_received_at >= kSourceTimeout;
    const bool open_timed_out =
        source.state == Source::State::opening && now - source.state_since >= kOpenTimeout;
    if (!silent && !open_timed_out) continue;
    out.emplace_back(CloseSource{i});
    handle_source_lost(now, i, out);
  }
  for (Service& service : services_) {
    if (!service.fetch || now < service.fetch->deadline) continue;
    const std::uint32_t source = service.fetch->source;
    out.emplace_back(SubscriberLogEvent{SubscriberLogKind::fetch_timed_out, service.name, 0,
                                        settings_.distributors[source]});
    if (const auto offer = service.offers.find(source); offer != service.offers.end())
      offer->second.not_before = now + kOfferRetryDelay;
    // asked_sources keeps this source: its answer may still come.
    service.fetch->deadline = Time::max();
  }
}

// ---- notified versions and fetches

void Subscriber::on(Time now, const VersionsNotified& event, SubscriberEffects& out) {
  if (event.source >= sources_.size() || !is_connected(event.source)) return;
  record_source_input(now, event.source);
  for (const VersionsNotified::Entry& entry : event.entries) {
    Service* service = find_service(entry.service);
    if (service == nullptr) {
      out.emplace_back(
          SubscriberLogEvent{SubscriberLogKind::unrequested, entry.service, entry.id.version, {}});
      continue;
    }
    service->offers.erase(event.source);
    if (service->active && entry.id.version < service->active->id.version) {
      out.emplace_back(SubscriberLogEvent{SubscriberLogKind::stale, service->name, entry.id.version, {}});
      continue;
    }
    for (const auto* held : {&service->active, &service->candidate}) {
      if (*held && (*held)->id.version == entry.id.version && (*held)->id != entry.id)
        out.emplace_back(
            SubscriberLogEvent{SubscriberLogKind::conflict, service->name, entry.id.version, {}});
    }
    if (!entry.id.none()) service->offers[event.source] = {entry.id, {}};
  }
  if (!event.complete || std::exchange(sources_[event.source].complete, true)) return;
  choose_primary(std::nullopt, out);
}

void Subscriber::on(Time now, const ConfigMissing& event, SubscriberEffects&) {
  record_source_input(now, event.source);
  Service* service = find_service(event.service);
  if (service == nullptr) return;
  if (const auto offer = service->offers.find(event.source); offer != service->offers.end())
    offer->second.not_before = now + kOfferRetryDelay;
  if (service->fetch && service->fetch->source == event.source) service->fetch->deadline = Time::max();
}

void Subscriber::on(Time now, const ConfigRequested& event, SubscriberEffects& out) {
  record_source_input(now, event.source);
  const Service* service = find_service(event.service);
  if (service != nullptr && service->active && event.source < sources_.size() && is_connected(event.source))
    out.emplace_back(ReturnConfig{event.source, *service->active});
}

void Subscriber::on(Time now, const ConfigDelivered& event, SubscriberEffects& out) {
  record_source_input(now, event.source);
  const ServiceConfig& config = event.config;
  Service* service = find_service(config.service);
  const auto log = [&](SubscriberLogKind kind) {
    out.emplace_back(SubscriberLogEvent{kind, config.service, config.id.version, {}});
  };
  if (service == nullptr) return log(SubscriberLogKind::unrequested);
  const auto was_asked = [&] {
    return service->fetch &&
           std::find(service->fetch->asked_sources.begin(), service->fetch->asked_sources.end(),
                     event.source) != service->fetch->asked_sources.end();
  };
  for (const auto* held : {&service->active, &service->candidate}) {
    if (!*held || (*held)->id.version != config.id.version) continue;
    // A repeated delivery is ignored.
    if ((*held)->id != config.id) log(SubscriberLogKind::conflict);
    return;
  }
  if (service->active && config.id.version < service->active->id.version)
    return log(SubscriberLogKind::stale);
  if (!was_asked()) return log(SubscriberLogKind::unrequested);
  if (config.id.version < service->newest_version()) return log(SubscriberLogKind::stale);
  const auto offer = service->offers.find(event.source);
  const bool differs = offer != service->offers.end() && offer->second.id.version == config.id.version &&
                       offer->second.id != config.id;
  if (!is_valid_config(settings_.key, config) || differs) {
    if (offer != service->offers.end()) offer->second.not_before = now + kOfferRetryDelay;
    if (service->fetch->source == event.source) service->fetch->deadline = Time::max();
    return log(differs && is_valid_config(settings_.key, config) ? SubscriberLogKind::conflict
                                                                 : SubscriberLogKind::unsound);
  }
  service->fetch.reset();
  service->candidate = config;
  service->candidate_rejected = false;
  if (!gathering_since_) gathering_since_ = now;
}

bool Subscriber::has_to_fetch() const {
  return std::any_of(services_.begin(), services_.end(), [](const Service& service) {
    return std::any_of(service.offers.begin(), service.offers.end(),
                       [&](const auto& offer) { return offer.second.id.version > service.newest_version(); });
  });
}

void Subscriber::start_fetches(Time now, SubscriberEffects& out) {
  struct Candidate {
    Service* service;
    std::uint32_t source;
    Version version;
  };
  std::vector<Candidate> candidates;
  std::size_t fetches_in_flight = 0;
  for (Service& state : services_) {
    if (state.fetch && state.fetch->deadline != Time::max()) {
      ++fetches_in_flight;
      continue;
    }
    std::optional<Candidate> best;
    for (const std::uint32_t source : ranking_) {
      const auto offer = state.offers.find(source);
      if (offer == state.offers.end() || offer->second.not_before > now || !is_connected(source)) continue;
      const Version version = offer->second.id.version;
      if (version <= state.newest_version() || (best && version <= best->version)) continue;
      best = Candidate{&state, source, version};
    }
    if (best) candidates.push_back(*best);
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
    return left.version > right.version;
  });
  for (const Candidate& candidate : candidates) {
    if (fetches_in_flight >= kMaxFetches) break;
    ++fetches_in_flight;
    if (!candidate.service->fetch) candidate.service->fetch = PendingFetch{};
    PendingFetch& fetch = *candidate.service->fetch;
    fetch.source = candidate.source;
    fetch.deadline = now + kFetchTimeout;
    if (std::find(fetch.asked_sources.begin(), fetch.asked_sources.end(), candidate.source) ==
        fetch.asked_sources.end())
      fetch.asked_sources.push_back(candidate.source);
    out.emplace_back(FetchConfig{candidate.source, candidate.service->name, candidate.version});
  }
}

// ---- applying

bool Subscriber::has_to_apply() const {
  return is_applying_ || !to_apply_alone_.empty() ||
         std::any_of(services_.begin(), services_.end(),
                     [](const Service& service) { return service.candidate && !service.candidate_rejected; });
}

void Subscriber::start_apply(Time now, SubscriberEffects& out) {
  if (is_applying_) return;
  if (to_apply_alone_.empty() && activated_alone_ && !rejected_alone_.empty()) {
    // A configuration that became active may make those acceptable that were rejected before it in this
    // round.
    to_apply_alone_.assign(rejected_alone_.rbegin(), rejected_alone_.rend());
    rejected_alone_.clear();
    activated_alone_ = false;
  }
  while (!to_apply_alone_.empty()) {
    const std::size_t index = to_apply_alone_.back();
    to_apply_alone_.pop_back();
    if (!services_[index].candidate) continue;
    apply({index}, out);
    return;
  }
  rejected_alone_.clear();
  activated_alone_ = false;
  if (!has_to_apply()) {
    gathering_since_.reset();
    return;
  }
  if (gathering_since_ && has_to_fetch() && now - *gathering_since_ < kApplyBatchDelay) return;
  gathering_since_.reset();
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    if (services_[i].candidate) candidates.push_back(i);
  }
  apply(std::move(candidates), out);
}

void Subscriber::apply(std::vector<std::size_t> candidates, SubscriberEffects& out) {
  is_applying_ = true;
  applying_ = std::move(candidates);
  configs_applying_.clear();
  ApplyConfigs apply;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    Service& service = services_[i];
    if (std::find(applying_.begin(), applying_.end(), i) != applying_.end()) {
      service.candidate_rejected = true;
      configs_applying_.push_back(*service.candidate);
      apply.configs.push_back(*service.candidate);
    } else if (service.active) {
      apply.configs.push_back(*service.active);
    }
  }
  out.emplace_back(std::move(apply));
}

void Subscriber::on(Time, const ApplyFinished& event, SubscriberEffects& out) {
  if (!is_applying_) return;
  is_applying_ = false;
  const std::vector<std::size_t> indices = std::exchange(applying_, {});
  const std::vector<ServiceConfig> configs = std::exchange(configs_applying_, {});
  if (event.succeeded) {
    activated_alone_ = true;
    for (std::size_t i = 0; i < indices.size(); ++i) activate(services_[indices[i]], configs[i], out);
  } else if (indices.size() == 1) {
    reject(services_[indices[0]], configs[0], event.reason, out);
    rejected_alone_.push_back(indices[0]);
  } else {
    to_apply_alone_.assign(indices.rbegin(), indices.rend());
    rejected_alone_.clear();
    activated_alone_ = false;
  }
  if (!std::exchange(base_changed_, false)) return;
  for (Service& service : services_) service.candidate_rejected = false;
}

void Subscriber::activate(Service& service, ServiceConfig config, SubscriberEffects& out) {
  if (service.candidate && service.candidate->id == config.id) service.candidate.reset();
  if (service.rejected && service.rejected->version <= config.id.version) {
    service.rejected.reset();
    service.reason.clear();
  }
  out.emplace_back(SubscriberLogEvent{SubscriberLogKind::activated, service.name, config.id.version, {}});
  service.active = std::move(config);
  report_status(service, std::nullopt, out);
}

void Subscriber::reject(Service& service, const ServiceConfig& config, const std::string& reason,
                        SubscriberEffects& out) {
  const bool already_reported = service.rejected == config.id && service.reason == reason;
  service.rejected = config.id;
  service.reason = reason;
  if (already_reported) return;
  out.emplace_back(SubscriberLogEvent{SubscriberLogKind::rejected, service.name, config.id.version, reason});
  report_status(service, std::nullopt, out);
}

void Subscriber::report_status(const Service& service, std::optional<std::uint32_t> to,
                               SubscriberEffects& out) const {
  for (std::uint32_t i = 0; i < sources_.size(); ++i) {
    if (!is_connected(i) || (to && *to != i)) continue;
    if (service.rejected) {
      out.emplace_back(ReportStatus{i, service.name, *service.rejected, false, service.reason});
    } else if (service.active) {
      out.emplace_back(ReportStatus{i, service.name, service.active->id, true, {}});
    }
  }
}

void Subscriber::on(Time, const BaseChanged&, SubscriberEffects&) {
  if (is_applying_) {
    base_changed_ = true;  // the pending result may be about the old base
    return;
  }
  for (Service& service : services_) service.candidate_rejected = false;
}

// ---- state

void Subscriber::update_readiness(Time now, SubscriberEffects& out) {
  if (ready_) return;
  if (is_current()) {
    ready_ = true;
    out.emplace_back(SubscriberLogEvent{SubscriberLogKind::current, {}, 0, {}});
  } else if (now - started_at_ >= settings_.startup_timeout) {
    ready_ = true;
    out.emplace_back(SubscriberLogEvent{SubscriberLogKind::wait_expired, {}, 0, {}});
  }
}

bool Subscriber::is_current() const {
  const bool synchronized = std::any_of(sources_.begin(), sources_.end(), [](const Source& source) {
    return source.state == Source::State::connected && source.complete;
  });
  return synchronized && !has_to_fetch() && !has_to_apply();
}

std::vector<std::pair<std::string, Subscriber::ServiceState>> Subscriber::service_states() const {
  std::vector<std::pair<std::string, ServiceState>> all;
  all.reserve(services_.size());
  for (const Service& service : services_)
    all.emplace_back(service.name, ServiceState{service.active ? service.active->id : VersionId{},
                                                service.rejected, service.reason});
  return all;
}

std::size_t Subscriber::connected_sources() const {
  return static_cast<std::size_t>(std::count_if(sources_.begin(), sources_.end(), [](const Source& source) {
    return source.state == Source::State::connected;
  }));
}

}  // namespace graniterun::distribution
