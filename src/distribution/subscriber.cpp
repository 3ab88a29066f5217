#include "distribution/subscriber.h"

#include <algorithm>
#include <utility>

#include "distribution/ranking.h"

namespace graniterun::distribution {
namespace {

using namespace std::chrono_literals;

constexpr Duration kOpenTimeout = 5s;
// A source that was up for so long is tried at once when it is lost, and not after the doubled pause.
constexpr Duration kSteadyConnection = 10s;
// A source that did not have what it told of, or told something unsound, is asked again after so long.
constexpr Duration kOfferRetryDelay = 500ms;
// A tick so late is a stop of this process: what sources said meanwhile has not been read yet.
constexpr Duration kPauseThreshold = 1s;

}  // namespace

Version Subscriber::Service::floor() const {
  return std::max(active ? active->id.version : 0, candidate ? candidate->id.version : 0);
}

Subscriber::Subscriber(SubscriberSettings settings)
    : settings_(std::move(settings)),
      ranking_(ranked(settings_.name, settings_.distributors)),
      sources_(settings_.distributors.size()),
      random_(settings_.seed) {
  for (const std::string& name : settings_.services) {
    if (services_.size() >= kMaxSubscribedServices) break;
    if (!places_.emplace(name, services_.size()).second) continue;
    services_.push_back({});
    services_.back().name = name;
  }
}

Subscriber::Service* Subscriber::find(std::string_view name) {
  const auto it = places_.find(name);
  return it == places_.end() ? nullptr : &services_[it->second];
}

void Subscriber::start(Time now, SubscriberEffects& out) {
  started_at_ = now;
  last_tick_at_ = now;
  maintain_sources(now, out);
  update_readiness(now, out);
}

void Subscriber::step(Time now, const SubscriberEvent& event, SubscriberEffects& out) {
  std::visit([&](const auto& notice) { on(now, notice, out); }, event);
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

// What it told is no more to be had from it.
void Subscriber::forget_source(std::uint32_t source) {
  for (Service& service : services_) {
    service.offers.erase(source);
    if (service.fetch && service.fetch->source == source) service.fetch.reset();
  }
}

void Subscriber::handle_source_lost(Time now, std::uint32_t index, SubscriberEffects& out) {
  Source& source = sources_[index];
  const bool was_up = source.state == Source::State::connected;
  if (was_up && now - source.state_since >= kSteadyConnection) source.backoff = kMinReconnectBackoff;
  std::uniform_int_distribution<Duration::rep> draw(source.backoff.count() / 2, source.backoff.count());
  source.reopen_at = now + Duration(draw(random_));
  source.backoff = std::min<Duration>(source.backoff * 2, kMaxReconnectBackoff);
  source.state = Source::State::closed;
  source.complete = false;
  source.state_since = now;
  forget_source(index);
  if (!was_up) return;
  out.emplace_back(
      SubscriberLogEvent{SubscriberLogKind::source_disconnected, {}, 0, settings_.distributors[index]});
  choose_primary(std::nullopt, out);
}

void Subscriber::on(Time now, const SourceDisconnected& event, SubscriberEffects& out) {
  if (event.source >= sources_.size() || sources_[event.source].state == Source::State::closed) return;
  handle_source_lost(now, event.source, out);
}

// The best ranked one of those that are up and have told all, or of those that are up: one that was stopped
// may still be connected to. `fresh`: it has come up just now, and is told with its Subscribe.
void Subscriber::choose_primary(std::optional<std::uint32_t> fresh, SubscriberEffects& out) {
  std::optional<std::uint32_t> best;
  for (const std::uint32_t index : ranking_) {
    if (!is_connected(index) || (best && !sources_[index].complete)) continue;
    if (best && sources_[*best].complete) break;
    best = index;
  }
  if (best == primary_) return;
  if (primary_ && is_connected(*primary_)) out.emplace_back(SendPrimary{*primary_, false});
  primary_ = best;
  if (best && best != fresh) out.emplace_back(SendPrimary{*best, true});
}

void Subscriber::maintain_sources(Time now, SubscriberEffects& out) {
  // Where better ranked ones have told all, the others are let go.
  std::vector<std::uint32_t> up;
  std::size_t opening = 0;
  for (const std::uint32_t index : ranking_) {
    if (is_connected(index)) up.push_back(index);
    opening += sources_[index].state == Source::State::opening ? 1 : 0;
  }
  while (up.size() > kSources && std::all_of(up.begin(), up.begin() + kSources,
                                             [&](std::uint32_t i) { return sources_[i].complete; })) {
    const std::uint32_t worst = up.back();
    up.pop_back();
    out.emplace_back(CloseSource{worst});
    out.emplace_back(
        SubscriberLogEvent{SubscriberLogKind::source_disconnected, {}, 0, settings_.distributors[worst]});
    sources_[worst].state = Source::State::closed;
    sources_[worst].complete = false;
    forget_source(worst);
  }
  bool tries_better = up.size() > kSources || opening > 0;
  for (const std::uint32_t index : ranking_) {
    Source& source = sources_[index];
    const bool wanted = up.size() + opening < kSources;
    if (!wanted && (tries_better || index == up.back())) break;
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
        source.state == Source::State::connected && now - source.last_received_at >= kSilentSource;
    const bool never_up = source.state == Source::State::opening && now - source.state_since >= kOpenTimeout;
    if (!silent && !never_up) continue;
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
    // Who was asked stays known: the document may still come from there.
    service.fetch->deadline = Time::max();
  }
}

// ---- what is told

void Subscriber::on(Time now, const VersionsNotified& event, SubscriberEffects& out) {
  if (event.source >= sources_.size() || !is_connected(event.source)) return;
  record_source_input(now, event.source);
  for (const VersionsNotified::Entry& entry : event.entries) {
    Service* service = find(entry.service);
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
  Service* service = find(event.service);
  if (service == nullptr) return;
  if (const auto offer = service->offers.find(event.source); offer != service->offers.end())
    offer->second.not_before = now + kOfferRetryDelay;
  if (service->fetch && service->fetch->source == event.source) service->fetch->deadline = Time::max();
}

void Subscriber::on(Time now, const ConfigRequested& event, SubscriberEffects& out) {
  record_source_input(now, event.source);
  const Service* service = find(event.service);
  if (service != nullptr && service->active && event.source < sources_.size() && is_connected(event.source))
    out.emplace_back(ReturnConfig{event.source, *service->active});
}

void Subscriber::on(Time now, const ConfigDelivered& event, SubscriberEffects& out) {
  record_source_input(now, event.source);
  const ServiceConfig& config = event.config;
  Service* service = find(config.service);
  const auto tell = [&](SubscriberLogKind what) {
    out.emplace_back(SubscriberLogEvent{what, config.service, config.id.version, {}});
  };
  if (service == nullptr) return tell(SubscriberLogKind::unrequested);
  const auto was_asked = [&] {
    return service->fetch &&
           std::find(service->fetch->asked_sources.begin(), service->fetch->asked_sources.end(),
                     event.source) != service->fetch->asked_sources.end();
  };
  for (const auto* held : {&service->active, &service->candidate}) {
    if (!*held || (*held)->id.version != config.id.version) continue;
    // The same one for a second time is no news.
    if ((*held)->id != config.id) tell(SubscriberLogKind::conflict);
    return;
  }
  if (service->active && config.id.version < service->active->id.version)
    return tell(SubscriberLogKind::stale);
  if (!was_asked()) return tell(SubscriberLogKind::unrequested);
  if (config.id.version < service->floor()) return tell(SubscriberLogKind::stale);
  const auto offer = service->offers.find(event.source);
  const bool other = offer != service->offers.end() && offer->second.id.version == config.id.version &&
                     offer->second.id != config.id;
  if (!is_sound(settings_.key, config) || other) {
    if (offer != service->offers.end()) offer->second.not_before = now + kOfferRetryDelay;
    if (service->fetch->source == event.source) service->fetch->deadline = Time::max();
    return tell(other && is_sound(settings_.key, config) ? SubscriberLogKind::conflict
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
                       [&](const auto& offer) { return offer.second.id.version > service.floor(); });
  });
}

void Subscriber::start_fetches(Time now, SubscriberEffects& out) {
  struct Candidate {
    Service* service;
    std::uint32_t source;
    Version version;
  };
  std::vector<Candidate> candidates;
  std::size_t out_now = 0;
  for (Service& state : services_) {
    if (state.fetch && state.fetch->deadline != Time::max()) {
      ++out_now;
      continue;
    }
    std::optional<Candidate> best;
    for (const std::uint32_t source : ranking_) {
      const auto offer = state.offers.find(source);
      if (offer == state.offers.end() || offer->second.not_before > now || !is_connected(source)) continue;
      const Version version = offer->second.id.version;
      if (version <= state.floor() || (best && version <= best->version)) continue;
      best = Candidate{&state, source, version};
    }
    if (best) candidates.push_back(*best);
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
    return left.version > right.version;
  });
  for (const Candidate& candidate : candidates) {
    if (out_now >= kMaxFetches) break;
    ++out_now;
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

// ---- what is in force

bool Subscriber::has_to_apply() const {
  return is_applying_ || !to_apply_alone_.empty() ||
         std::any_of(services_.begin(), services_.end(),
                     [](const Service& service) { return service.candidate && !service.candidate_rejected; });
}

void Subscriber::start_apply(Time now, SubscriberEffects& out) {
  if (is_applying_) return;
  if (to_apply_alone_.empty() && activated_alone_ && !rejected_alone_.empty()) {
    // Those that were refused before another one of this round came into force.
    to_apply_alone_.assign(rejected_alone_.rbegin(), rejected_alone_.rend());
    rejected_alone_.clear();
    activated_alone_ = false;
  }
  while (!to_apply_alone_.empty()) {
    const std::size_t place = to_apply_alone_.back();
    to_apply_alone_.pop_back();
    if (!services_[place].candidate) continue;
    apply({place}, out);
    return;
  }
  rejected_alone_.clear();
  activated_alone_ = false;
  if (!has_to_apply()) {
    gathering_since_.reset();
    return;
  }
  if (gathering_since_ && has_to_fetch() && now - *gathering_since_ < kGather) return;
  gathering_since_.reset();
  std::vector<std::size_t> newer;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    if (services_[i].candidate) newer.push_back(i);
  }
  apply(std::move(newer), out);
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
  const std::vector<std::size_t> places = std::exchange(applying_, {});
  const std::vector<ServiceConfig> documents = std::exchange(configs_applying_, {});
  if (event.succeeded) {
    activated_alone_ = true;
    for (std::size_t i = 0; i < places.size(); ++i) activate(services_[places[i]], documents[i], out);
  } else if (places.size() == 1) {
    reject(services_[places[0]], documents[0], event.reason, out);
    rejected_alone_.push_back(places[0]);
  } else {
    to_apply_alone_.assign(places.rbegin(), places.rend());
    rejected_alone_.clear();
    activated_alone_ = false;
  }
  if (!std::exchange(base_changed_, false)) return;
  for (Service& service : services_) service.candidate_rejected = false;
}

void Subscriber::activate(Service& service, ServiceConfig document, SubscriberEffects& out) {
  if (service.candidate && service.candidate->id == document.id) service.candidate.reset();
  if (service.rejected && service.rejected->version <= document.id.version) {
    service.rejected.reset();
    service.reason.clear();
  }
  out.emplace_back(SubscriberLogEvent{SubscriberLogKind::activated, service.name, document.id.version, {}});
  service.active = std::move(document);
  report_status(service, std::nullopt, out);
}

void Subscriber::reject(Service& service, const ServiceConfig& document, const std::string& reason,
                        SubscriberEffects& out) {
  const bool known = service.rejected == document.id && service.reason == reason;
  service.rejected = document.id;
  service.reason = reason;
  if (known) return;
  out.emplace_back(
      SubscriberLogEvent{SubscriberLogKind::rejected, service.name, document.id.version, reason});
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
    base_changed_ = true;  // its answer may be about the old one
    return;
  }
  for (Service& service : services_) service.candidate_rejected = false;
}

// ---- what is known of it

void Subscriber::update_readiness(Time now, SubscriberEffects& out) {
  if (ready_) return;
  if (is_current()) {
    ready_ = true;
    out.emplace_back(SubscriberLogEvent{SubscriberLogKind::current, {}, 0, {}});
  } else if (now - started_at_ >= settings_.wait) {
    ready_ = true;
    out.emplace_back(SubscriberLogEvent{SubscriberLogKind::wait_expired, {}, 0, {}});
  }
}

bool Subscriber::is_current() const {
  const bool told = std::any_of(sources_.begin(), sources_.end(), [](const Source& source) {
    return source.state == Source::State::connected && source.complete;
  });
  return told && !has_to_fetch() && !has_to_apply();
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
