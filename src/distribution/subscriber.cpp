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
  std::visit([&](const auto& e) { on(now, e, out); }, event);
  start_fetches(now, out);
  start_apply(now, out);
  maintain_sources(now, out);
  update_readiness(now, out);
}

// ---- sources

void Subscriber::record_source_input(Time now, std::uint32_t source) {
  if (source < sources_.size()) sources_[source].last_received_at = now;
}

void Subscriber::on(Time now, const SourceConnected& e, SubscriberEffects& out) {
  if (e.source >= sources_.size() || sources_[e.source].state != Source::State::opening) return;
  Source& source = sources_[e.source];
  source.state = Source::State::connected;
  source.complete = false;
  source.state_since = now;
  source.last_received_at = now;
  out.emplace_back(
      SubscriberLogEvent{SubscriberLogKind::source_connected, {}, 0, settings_.distributors[e.source]});
  choose_primary(e.source, out);
  Subscribe subscribe{e.source, {}, primary_ == e.source};
  for (const Service& s : services_)
    subscribe.held.push_back({s.name, s.active ? s.active->id : VersionId{}});
  out.emplace_back(std::move(subscribe));
  for (const Service& s : services_) {
    if (s.rejected) report_status(s, e.source, out);
  }
}

// What it told is no more to be had from it.
void Subscriber::forget_source(std::uint32_t source) {
  for (Service& s : services_) {
    s.offers.erase(source);
    if (s.fetch && s.fetch->source == source) s.fetch.reset();
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

void Subscriber::on(Time now, const SourceDisconnected& e, SubscriberEffects& out) {
  if (e.source >= sources_.size() || sources_[e.source].state == Source::State::closed) return;
  handle_source_lost(now, e.source, out);
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

void Subscriber::on(Time now, const HeartbeatReceived& e, SubscriberEffects&) {
  record_source_input(now, e.source);
}

void Subscriber::on(Time now, const Tick&, SubscriberEffects& out) {
  if (now - last_tick_at_ > kPauseThreshold) {
    for (Source& source : sources_) source.last_received_at = source.state_since = now;
    for (Service& s : services_) {
      if (s.fetch) s.fetch->deadline = now + kFetchTimeout;
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
  for (Service& s : services_) {
    if (!s.fetch || now < s.fetch->deadline) continue;
    const std::uint32_t source = s.fetch->source;
    out.emplace_back(
        SubscriberLogEvent{SubscriberLogKind::fetch_timed_out, s.name, 0, settings_.distributors[source]});
    if (const auto offer = s.offers.find(source); offer != s.offers.end())
      offer->second.not_before = now + kOfferRetryDelay;
    // Who was asked stays known: the document may still come from there.
    s.fetch->deadline = Time::max();
  }
}

// ---- what is told

void Subscriber::on(Time now, const VersionsNotified& e, SubscriberEffects& out) {
  if (e.source >= sources_.size() || !is_connected(e.source)) return;
  record_source_input(now, e.source);
  for (const VersionsNotified::Entry& entry : e.entries) {
    Service* s = find(entry.service);
    if (s == nullptr) {
      out.emplace_back(
          SubscriberLogEvent{SubscriberLogKind::unrequested, entry.service, entry.id.version, {}});
      continue;
    }
    s->offers.erase(e.source);
    if (s->active && entry.id.version < s->active->id.version) {
      out.emplace_back(SubscriberLogEvent{SubscriberLogKind::stale, s->name, entry.id.version, {}});
      continue;
    }
    for (const auto* held : {&s->active, &s->candidate}) {
      if (*held && (*held)->id.version == entry.id.version && (*held)->id != entry.id)
        out.emplace_back(SubscriberLogEvent{SubscriberLogKind::conflict, s->name, entry.id.version, {}});
    }
    if (!entry.id.none()) s->offers[e.source] = {entry.id, {}};
  }
  if (!e.complete || std::exchange(sources_[e.source].complete, true)) return;
  choose_primary(std::nullopt, out);
}

void Subscriber::on(Time now, const ConfigMissing& e, SubscriberEffects&) {
  record_source_input(now, e.source);
  Service* s = find(e.service);
  if (s == nullptr) return;
  if (const auto offer = s->offers.find(e.source); offer != s->offers.end())
    offer->second.not_before = now + kOfferRetryDelay;
  if (s->fetch && s->fetch->source == e.source) s->fetch->deadline = Time::max();
}

void Subscriber::on(Time now, const ConfigRequested& e, SubscriberEffects& out) {
  record_source_input(now, e.source);
  const Service* s = find(e.service);
  if (s != nullptr && s->active && e.source < sources_.size() && is_connected(e.source))
    out.emplace_back(ReturnConfig{e.source, *s->active});
}

void Subscriber::on(Time now, const ConfigDelivered& e, SubscriberEffects& out) {
  record_source_input(now, e.source);
  const ServiceConfig& d = e.config;
  Service* s = find(d.service);
  const auto tell = [&](SubscriberLogKind what) {
    out.emplace_back(SubscriberLogEvent{what, d.service, d.id.version, {}});
  };
  if (s == nullptr) return tell(SubscriberLogKind::unrequested);
  const auto was_asked = [&] {
    return s->fetch && std::find(s->fetch->asked_sources.begin(), s->fetch->asked_sources.end(), e.source) !=
                           s->fetch->asked_sources.end();
  };
  for (const auto* held : {&s->active, &s->candidate}) {
    if (!*held || (*held)->id.version != d.id.version) continue;
    // The same one for a second time is no news.
    if ((*held)->id != d.id) tell(SubscriberLogKind::conflict);
    return;
  }
  if (s->active && d.id.version < s->active->id.version) return tell(SubscriberLogKind::stale);
  if (!was_asked()) return tell(SubscriberLogKind::unrequested);
  if (d.id.version < s->floor()) return tell(SubscriberLogKind::stale);
  const auto offer = s->offers.find(e.source);
  const bool other =
      offer != s->offers.end() && offer->second.id.version == d.id.version && offer->second.id != d.id;
  if (!is_sound(settings_.key, d) || other) {
    if (offer != s->offers.end()) offer->second.not_before = now + kOfferRetryDelay;
    if (s->fetch->source == e.source) s->fetch->deadline = Time::max();
    return tell(other && is_sound(settings_.key, d) ? SubscriberLogKind::conflict
                                                    : SubscriberLogKind::unsound);
  }
  s->fetch.reset();
  s->candidate = d;
  s->candidate_rejected = false;
  if (!gathering_since_) gathering_since_ = now;
}

bool Subscriber::has_to_fetch() const {
  return std::any_of(services_.begin(), services_.end(), [](const Service& s) {
    return std::any_of(s.offers.begin(), s.offers.end(),
                       [&](const auto& offer) { return offer.second.id.version > s.floor(); });
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
  for (Service& s : services_) {
    if (s.fetch && s.fetch->deadline != Time::max()) {
      ++out_now;
      continue;
    }
    std::optional<Candidate> best;
    for (const std::uint32_t source : ranking_) {
      const auto offer = s.offers.find(source);
      if (offer == s.offers.end() || offer->second.not_before > now || !is_connected(source)) continue;
      const Version version = offer->second.id.version;
      if (version <= s.floor() || (best && version <= best->version)) continue;
      best = Candidate{&s, source, version};
    }
    if (best) candidates.push_back(*best);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) { return a.version > b.version; });
  for (const Candidate& c : candidates) {
    if (out_now >= kMaxFetches) break;
    ++out_now;
    if (!c.service->fetch) c.service->fetch.emplace();
    PendingFetch& fetch = *c.service->fetch;
    fetch.source = c.source;
    fetch.deadline = now + kFetchTimeout;
    if (std::find(fetch.asked_sources.begin(), fetch.asked_sources.end(), c.source) ==
        fetch.asked_sources.end())
      fetch.asked_sources.push_back(c.source);
    out.emplace_back(FetchConfig{c.source, c.service->name, c.version});
  }
}

// ---- what is in force

bool Subscriber::has_to_apply() const {
  return is_applying_ || !to_apply_alone_.empty() ||
         std::any_of(services_.begin(), services_.end(),
                     [](const Service& s) { return s.candidate && !s.candidate_rejected; });
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
    Service& s = services_[i];
    if (std::find(applying_.begin(), applying_.end(), i) != applying_.end()) {
      s.candidate_rejected = true;
      configs_applying_.push_back(*s.candidate);
      apply.configs.push_back(*s.candidate);
    } else if (s.active) {
      apply.configs.push_back(*s.active);
    }
  }
  out.emplace_back(std::move(apply));
}

void Subscriber::on(Time, const ApplyFinished& e, SubscriberEffects& out) {
  if (!is_applying_) return;
  is_applying_ = false;
  const std::vector<std::size_t> places = std::exchange(applying_, {});
  const std::vector<ServiceConfig> documents = std::exchange(configs_applying_, {});
  if (e.succeeded) {
    activated_alone_ = true;
    for (std::size_t i = 0; i < places.size(); ++i) activate(services_[places[i]], documents[i], out);
  } else if (places.size() == 1) {
    reject(services_[places[0]], documents[0], e.reason, out);
    rejected_alone_.push_back(places[0]);
  } else {
    to_apply_alone_.assign(places.rbegin(), places.rend());
    rejected_alone_.clear();
    activated_alone_ = false;
  }
  if (!std::exchange(base_changed_, false)) return;
  for (Service& s : services_) s.candidate_rejected = false;
}

void Subscriber::activate(Service& s, ServiceConfig document, SubscriberEffects& out) {
  if (s.candidate && s.candidate->id == document.id) s.candidate.reset();
  if (s.rejected && s.rejected->version <= document.id.version) {
    s.rejected.reset();
    s.reason.clear();
  }
  out.emplace_back(SubscriberLogEvent{SubscriberLogKind::activated, s.name, document.id.version, {}});
  s.active = std::move(document);
  report_status(s, std::nullopt, out);
}

void Subscriber::reject(Service& s, const ServiceConfig& document, const std::string& reason,
                        SubscriberEffects& out) {
  const bool known = s.rejected == document.id && s.reason == reason;
  s.rejected = document.id;
  s.reason = reason;
  if (known) return;
  out.emplace_back(SubscriberLogEvent{SubscriberLogKind::rejected, s.name, document.id.version, reason});
  report_status(s, std::nullopt, out);
}

void Subscriber::report_status(const Service& s, std::optional<std::uint32_t> to,
                               SubscriberEffects& out) const {
  for (std::uint32_t i = 0; i < sources_.size(); ++i) {
    if (!is_connected(i) || (to && *to != i)) continue;
    if (s.rejected) {
      out.emplace_back(ReportStatus{i, s.name, *s.rejected, false, s.reason});
    } else if (s.active) {
      out.emplace_back(ReportStatus{i, s.name, s.active->id, true, {}});
    }
  }
}

void Subscriber::on(Time, const BaseChanged&, SubscriberEffects&) {
  if (is_applying_) {
    base_changed_ = true;  // its answer may be about the old one
    return;
  }
  for (Service& s : services_) s.candidate_rejected = false;
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
  const bool told = std::any_of(sources_.begin(), sources_.end(), [](const Source& s) {
    return s.state == Source::State::connected && s.complete;
  });
  return told && !has_to_fetch() && !has_to_apply();
}

std::vector<std::pair<std::string, Subscriber::ServiceState>> Subscriber::service_states() const {
  std::vector<std::pair<std::string, ServiceState>> all;
  for (const Service& s : services_)
    all.emplace_back(s.name, ServiceState{s.active ? s.active->id : VersionId{}, s.rejected, s.reason});
  return all;
}

std::size_t Subscriber::connected_sources() const {
  return static_cast<std::size_t>(std::count_if(
      sources_.begin(), sources_.end(), [](const Source& s) { return s.state == Source::State::connected; }));
}

}  // namespace graniterun::distribution
