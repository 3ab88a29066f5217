#include "distribution/subscriber.h"

#include <algorithm>
#include <utility>

#include "distribution/ranking.h"

namespace graniterun::distribution {
namespace {

using namespace std::chrono_literals;

constexpr Duration kOpenWithin = 5s;
// A source that was up for so long is tried at once when it is lost, and not after the doubled pause.
constexpr Duration kSteady = 10s;
// A source that did not have what it told of, or told something unsound, is asked again after so long.
constexpr Duration kAskAgain = 500ms;
// A tick so late is a stop of this process: what sources said meanwhile has not been read yet.
constexpr Duration kStopped = 1s;

}  // namespace

Version Subscriber::Service::floor() const {
  return std::max(in_force ? in_force->stamp.version : 0, newer ? newer->stamp.version : 0);
}

Subscriber::Subscriber(SubscriberSettings settings)
    : settings_(std::move(settings)),
      ranking_(ranked(settings_.name, settings_.distributors)),
      sources_(settings_.distributors.size()),
      random_(settings_.seed) {
  for (const std::string& name : settings_.services) {
    if (services_.size() >= kMostSubscribed) break;
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
  began_ = now;
  ticked_ = now;
  hold_sources(now, out);
  become_ready(now, out);
}

void Subscriber::step(Time now, const SubscriberEvent& event, SubscriberEffects& out) {
  std::visit([&](const auto& e) { on(now, e, out); }, event);
  fetch_more(now, out);
  apply_more(now, out);
  hold_sources(now, out);
  become_ready(now, out);
}

// ---- sources

void Subscriber::heard(Time now, std::uint32_t source) {
  if (source < sources_.size()) sources_[source].heard = now;
}

void Subscriber::on(Time now, const SourceUp& e, SubscriberEffects& out) {
  if (e.source >= sources_.size() || sources_[e.source].state != Source::State::opening) return;
  Source& source = sources_[e.source];
  source.state = Source::State::up;
  source.complete = false;
  source.since = now;
  source.heard = now;
  out.emplace_back(Happened{Told::source_up, {}, 0, settings_.distributors[e.source]});
  choose_primary(e.source, out);
  Subscribe subscribe{e.source, {}, primary_ == e.source};
  for (const Service& s : services_)
    subscribe.held.push_back({s.name, s.in_force ? s.in_force->stamp : Stamp{}});
  out.emplace_back(std::move(subscribe));
  for (const Service& s : services_) {
    if (s.refused) report(s, e.source, out);
  }
}

// What it told is no more to be had from it.
void Subscriber::forget(std::uint32_t source) {
  for (Service& s : services_) {
    s.offers.erase(source);
    if (s.fetch && s.fetch->source == source) s.fetch.reset();
  }
}

void Subscriber::lose(Time now, std::uint32_t index, SubscriberEffects& out) {
  Source& source = sources_[index];
  const bool was_up = source.state == Source::State::up;
  if (was_up && now - source.since >= kSteady) source.pause = kRetryLeast;
  std::uniform_int_distribution<Duration::rep> draw(source.pause.count() / 2, source.pause.count());
  source.retry = now + Duration(draw(random_));
  source.pause = std::min<Duration>(source.pause * 2, kRetryMost);
  source.state = Source::State::shut;
  source.complete = false;
  source.since = now;
  forget(index);
  if (!was_up) return;
  out.emplace_back(Happened{Told::source_down, {}, 0, settings_.distributors[index]});
  choose_primary(std::nullopt, out);
}

void Subscriber::on(Time now, const SourceDown& e, SubscriberEffects& out) {
  if (e.source >= sources_.size() || sources_[e.source].state == Source::State::shut) return;
  lose(now, e.source, out);
}

// The best ranked one of those that are up and have told all, or of those that are up: one that was stopped
// may still be connected to. `fresh`: it has come up just now, and is told with its Subscribe.
void Subscriber::choose_primary(std::optional<std::uint32_t> fresh, SubscriberEffects& out) {
  std::optional<std::uint32_t> best;
  for (const std::uint32_t index : ranking_) {
    if (!is_up(index) || (best && !sources_[index].complete)) continue;
    if (best && sources_[*best].complete) break;
    best = index;
  }
  if (best == primary_) return;
  if (primary_ && is_up(*primary_)) out.emplace_back(TellPrimary{*primary_, false});
  primary_ = best;
  if (best && best != fresh) out.emplace_back(TellPrimary{*best, true});
}

void Subscriber::hold_sources(Time now, SubscriberEffects& out) {
  // Where better ranked ones have told all, the others are let go.
  std::vector<std::uint32_t> up;
  std::size_t opening = 0;
  for (const std::uint32_t index : ranking_) {
    if (is_up(index)) up.push_back(index);
    opening += sources_[index].state == Source::State::opening ? 1 : 0;
  }
  while (up.size() > kSources && std::all_of(up.begin(), up.begin() + kSources,
                                             [&](std::uint32_t i) { return sources_[i].complete; })) {
    const std::uint32_t worst = up.back();
    up.pop_back();
    out.emplace_back(Shut{worst});
    out.emplace_back(Happened{Told::source_down, {}, 0, settings_.distributors[worst]});
    sources_[worst].state = Source::State::shut;
    sources_[worst].complete = false;
    forget(worst);
  }
  bool tries_better = up.size() > kSources || opening > 0;
  for (const std::uint32_t index : ranking_) {
    Source& source = sources_[index];
    const bool wanted = up.size() + opening < kSources;
    if (!wanted && (tries_better || index == up.back())) break;
    if (source.state != Source::State::shut || source.retry > now) continue;
    tries_better = true;
    source.state = Source::State::opening;
    source.since = now;
    ++opening;
    out.emplace_back(Open{index});
  }
}

void Subscriber::on(Time now, const Beat& e, SubscriberEffects&) { heard(now, e.source); }

void Subscriber::on(Time now, const Tick&, SubscriberEffects& out) {
  if (now - ticked_ > kStopped) {
    for (Source& source : sources_) source.heard = source.since = now;
    for (Service& s : services_) {
      if (s.fetch) s.fetch->until = now + kFetchWithin;
    }
  }
  ticked_ = now;
  for (std::uint32_t i = 0; i < sources_.size(); ++i) {
    const Source& source = sources_[i];
    const bool silent = source.state == Source::State::up && now - source.heard >= kSilentSource;
    const bool never_up = source.state == Source::State::opening && now - source.since >= kOpenWithin;
    if (!silent && !never_up) continue;
    out.emplace_back(Shut{i});
    lose(now, i, out);
  }
  for (Service& s : services_) {
    if (!s.fetch || now < s.fetch->until) continue;
    const std::uint32_t source = s.fetch->source;
    out.emplace_back(Happened{Told::fetch_late, s.name, 0, settings_.distributors[source]});
    if (const auto offer = s.offers.find(source); offer != s.offers.end())
      offer->second.not_before = now + kAskAgain;
    // Who was asked stays known: the document may still come from there.
    s.fetch->until = Time::max();
  }
}

// ---- what is told

void Subscriber::on(Time now, const Noticed& e, SubscriberEffects& out) {
  if (e.source >= sources_.size() || !is_up(e.source)) return;
  heard(now, e.source);
  for (const Noticed::Entry& entry : e.entries) {
    Service* s = find(entry.service);
    if (s == nullptr) {
      out.emplace_back(Happened{Told::unasked, entry.service, entry.stamp.version, {}});
      continue;
    }
    s->offers.erase(e.source);
    if (s->in_force && entry.stamp.version < s->in_force->stamp.version) {
      out.emplace_back(Happened{Told::stale, s->name, entry.stamp.version, {}});
      continue;
    }
    for (const auto* held : {&s->in_force, &s->newer}) {
      if (*held && (*held)->stamp.version == entry.stamp.version && (*held)->stamp != entry.stamp)
        out.emplace_back(Happened{Told::conflict, s->name, entry.stamp.version, {}});
    }
    if (!entry.stamp.none()) s->offers[e.source] = {entry.stamp, {}};
  }
  if (!e.complete || std::exchange(sources_[e.source].complete, true)) return;
  choose_primary(std::nullopt, out);
}

void Subscriber::on(Time now, const NotThere& e, SubscriberEffects&) {
  heard(now, e.source);
  Service* s = find(e.service);
  if (s == nullptr) return;
  if (const auto offer = s->offers.find(e.source); offer != s->offers.end())
    offer->second.not_before = now + kAskAgain;
  if (s->fetch && s->fetch->source == e.source) s->fetch->until = Time::max();
}

void Subscriber::on(Time now, const Wanted& e, SubscriberEffects& out) {
  heard(now, e.source);
  const Service* s = find(e.service);
  if (s != nullptr && s->in_force && e.source < sources_.size() && is_up(e.source))
    out.emplace_back(Hand{e.source, *s->in_force});
}

void Subscriber::on(Time now, const Delivered& e, SubscriberEffects& out) {
  heard(now, e.source);
  const Document& d = e.document;
  Service* s = find(d.service);
  const auto tell = [&](Told what) { out.emplace_back(Happened{what, d.service, d.stamp.version, {}}); };
  if (s == nullptr) return tell(Told::unasked);
  const auto was_asked = [&] {
    return s->fetch &&
           std::find(s->fetch->asked.begin(), s->fetch->asked.end(), e.source) != s->fetch->asked.end();
  };
  for (const auto* held : {&s->in_force, &s->newer}) {
    if (!*held || (*held)->stamp.version != d.stamp.version) continue;
    // The same one for a second time is no news.
    if ((*held)->stamp != d.stamp) tell(Told::conflict);
    return;
  }
  if (s->in_force && d.stamp.version < s->in_force->stamp.version) return tell(Told::stale);
  if (!was_asked()) return tell(Told::unasked);
  if (d.stamp.version < s->floor()) return tell(Told::stale);
  const auto offer = s->offers.find(e.source);
  const bool other = offer != s->offers.end() && offer->second.stamp.version == d.stamp.version &&
                     offer->second.stamp != d.stamp;
  if (!is_sound(settings_.key, d) || other) {
    if (offer != s->offers.end()) offer->second.not_before = now + kAskAgain;
    if (s->fetch->source == e.source) s->fetch->until = Time::max();
    return tell(other && is_sound(settings_.key, d) ? Told::conflict : Told::unsound);
  }
  s->fetch.reset();
  s->newer = d;
  s->tried = false;
  if (!gathering_) gathering_ = now;
}

bool Subscriber::has_to_fetch() const {
  return std::any_of(services_.begin(), services_.end(), [](const Service& s) {
    return std::any_of(s.offers.begin(), s.offers.end(),
                       [&](const auto& offer) { return offer.second.stamp.version > s.floor(); });
  });
}

void Subscriber::fetch_more(Time now, SubscriberEffects& out) {
  struct Candidate {
    Service* service;
    std::uint32_t source;
    Version version;
  };
  std::vector<Candidate> candidates;
  std::size_t out_now = 0;
  for (Service& s : services_) {
    if (s.fetch && s.fetch->until != Time::max()) {
      ++out_now;
      continue;
    }
    std::optional<Candidate> best;
    for (const std::uint32_t source : ranking_) {
      const auto offer = s.offers.find(source);
      if (offer == s.offers.end() || offer->second.not_before > now || !is_up(source)) continue;
      const Version version = offer->second.stamp.version;
      if (version <= s.floor() || (best && version <= best->version)) continue;
      best = Candidate{&s, source, version};
    }
    if (best) candidates.push_back(*best);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) { return a.version > b.version; });
  for (const Candidate& c : candidates) {
    if (out_now >= kMostFetches) break;
    ++out_now;
    if (!c.service->fetch) c.service->fetch.emplace();
    Fetching& fetch = *c.service->fetch;
    fetch.source = c.source;
    fetch.until = now + kFetchWithin;
    if (std::find(fetch.asked.begin(), fetch.asked.end(), c.source) == fetch.asked.end())
      fetch.asked.push_back(c.source);
    out.emplace_back(Fetch{c.source, c.service->name, c.version});
  }
}

// ---- what is in force

bool Subscriber::has_to_apply() const {
  return is_applying_ || !alone_.empty() ||
         std::any_of(services_.begin(), services_.end(),
                     [](const Service& s) { return s.newer && !s.tried; });
}

void Subscriber::apply_more(Time now, SubscriberEffects& out) {
  if (is_applying_) return;
  if (alone_.empty() && progress_ && !turned_down_.empty()) {
    // Those that were refused before another one of this round came into force.
    alone_.assign(turned_down_.rbegin(), turned_down_.rend());
    turned_down_.clear();
    progress_ = false;
  }
  while (!alone_.empty()) {
    const std::size_t place = alone_.back();
    alone_.pop_back();
    if (!services_[place].newer) continue;
    apply({place}, out);
    return;
  }
  turned_down_.clear();
  progress_ = false;
  if (!has_to_apply()) {
    gathering_.reset();
    return;
  }
  if (gathering_ && has_to_fetch() && now - *gathering_ < kGather) return;
  gathering_.reset();
  std::vector<std::size_t> newer;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    if (services_[i].newer) newer.push_back(i);
  }
  apply(std::move(newer), out);
}

void Subscriber::apply(std::vector<std::size_t> candidates, SubscriberEffects& out) {
  is_applying_ = true;
  applying_ = std::move(candidates);
  applied_.clear();
  Apply apply;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    Service& s = services_[i];
    if (std::find(applying_.begin(), applying_.end(), i) != applying_.end()) {
      s.tried = true;
      applied_.push_back(*s.newer);
      apply.documents.push_back(*s.newer);
    } else if (s.in_force) {
      apply.documents.push_back(*s.in_force);
    }
  }
  out.emplace_back(std::move(apply));
}

void Subscriber::on(Time, const Applied& e, SubscriberEffects& out) {
  if (!is_applying_) return;
  is_applying_ = false;
  const std::vector<std::size_t> places = std::exchange(applying_, {});
  const std::vector<Document> documents = std::exchange(applied_, {});
  if (e.taken) {
    progress_ = true;
    for (std::size_t i = 0; i < places.size(); ++i) put_in_force(services_[places[i]], documents[i], out);
  } else if (places.size() == 1) {
    refuse(services_[places[0]], documents[0], e.reason, out);
    turned_down_.push_back(places[0]);
  } else {
    alone_.assign(places.rbegin(), places.rend());
    turned_down_.clear();
    progress_ = false;
  }
  if (!std::exchange(base_changed_, false)) return;
  for (Service& s : services_) s.tried = false;
}

void Subscriber::put_in_force(Service& s, Document document, SubscriberEffects& out) {
  if (s.newer && s.newer->stamp == document.stamp) s.newer.reset();
  if (s.refused && s.refused->version <= document.stamp.version) {
    s.refused.reset();
    s.reason.clear();
  }
  out.emplace_back(Happened{Told::in_force, s.name, document.stamp.version, {}});
  s.in_force = std::move(document);
  report(s, std::nullopt, out);
}

void Subscriber::refuse(Service& s, const Document& document, const std::string& reason,
                        SubscriberEffects& out) {
  const bool known = s.refused == document.stamp && s.reason == reason;
  s.refused = document.stamp;
  s.reason = reason;
  if (known) return;
  out.emplace_back(Happened{Told::refused, s.name, document.stamp.version, reason});
  report(s, std::nullopt, out);
}

void Subscriber::report(const Service& s, std::optional<std::uint32_t> to, SubscriberEffects& out) const {
  for (std::uint32_t i = 0; i < sources_.size(); ++i) {
    if (!is_up(i) || (to && *to != i)) continue;
    if (s.refused) {
      out.emplace_back(Report{i, s.name, *s.refused, false, s.reason});
    } else if (s.in_force) {
      out.emplace_back(Report{i, s.name, s.in_force->stamp, true, {}});
    }
  }
}

void Subscriber::on(Time, const BaseChanged&, SubscriberEffects&) {
  if (is_applying_) {
    base_changed_ = true;  // its answer may be about the old one
    return;
  }
  for (Service& s : services_) s.tried = false;
}

// ---- what is known of it

void Subscriber::become_ready(Time now, SubscriberEffects& out) {
  if (ready_) return;
  if (is_current()) {
    ready_ = true;
    out.emplace_back(Happened{Told::current, {}, 0, {}});
  } else if (now - began_ >= settings_.wait) {
    ready_ = true;
    out.emplace_back(Happened{Told::waited_out, {}, 0, {}});
  }
}

bool Subscriber::is_current() const {
  const bool told = std::any_of(sources_.begin(), sources_.end(),
                                [](const Source& s) { return s.state == Source::State::up && s.complete; });
  return told && !has_to_fetch() && !has_to_apply();
}

std::vector<std::pair<std::string, Subscriber::Held>> Subscriber::held() const {
  std::vector<std::pair<std::string, Held>> all;
  for (const Service& s : services_)
    all.emplace_back(s.name, Held{s.in_force ? s.in_force->stamp : Stamp{}, s.refused, s.reason});
  return all;
}

std::size_t Subscriber::sources_up() const {
  return static_cast<std::size_t>(std::count_if(
      sources_.begin(), sources_.end(), [](const Source& s) { return s.state == Source::State::up; }));
}

}  // namespace graniterun::distribution
