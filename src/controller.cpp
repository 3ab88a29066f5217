// The decision module of graniterun: every decision, table, estimator and tuned constant is here.
// Its interface - settings, events, actions - is include/graniterun/controller.h.
// What is kept of the published mechanism, what departs from it and when, is told in docs/design.md.
#include "graniterun/controller.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <unordered_map>
#include <utility>

namespace graniterun {
namespace {

using namespace std::chrono_literals;

// ---- Tuned constants

// T_c: how often a target is computed anew.
constexpr Duration kControlInterval = 200ms;
// Minimum rate: one setup per interval, shared by all senders. One per T_c and sender jams a slow processor.
constexpr Duration kFloorInterval = 600ms;
// D_B, of a delay that holds two waits: set-up and answer queue in turn.
constexpr Duration kWaitBudget = 100ms;
// C: the target reaches zero this far beyond D_B. With half of it senders stopped and returned together.
constexpr Duration kWaitScale = 1s;
// Smoothing of own rates: over so long at least, and over so many events while that is no longer than the
// most. One of hundreds of senders sees a core server's events seconds apart.
constexpr Duration kRateMemory = 2s;
constexpr Duration kMaxRateMemory = 12s;
constexpr double kRateEvents = 5.0;
// Wait taken for granted at a full processor, or without a connection.
constexpr Duration kFullWait = 2s;
// Of the line that all senders may make at a server of second choice.
constexpr Duration kDivertBudget = 600ms;
// Set-ups sent closer than that may be answered out of turn.
constexpr Duration kOrderSlack = 50ms;
// A lost set-up is called off so long after it was sent: one repeat is out by then.
constexpr Duration kLostAfter = 650ms;
// Losses are smoothed over kLossEvents answers, count from kLossSeen on, and as heavy from kLossHeavy on.
constexpr double kLossEvents = 32.0;
constexpr double kLossSeen = 0.02;
constexpr double kLossHeavy = 0.12;
// So long a wait is held against a core server without news of it.
constexpr Duration kWaitMemory = 4s;
// News of free lines is taken to come at most so late.
constexpr Duration kCircuitNewsDelay = 1s;
// So many times the calls until the next news make free lines plenty.
constexpr double kCircuitsPlenty = 1.5;
// Smoothing of the most lines seen busy: longer than a restart takes.
constexpr Duration kBusiestMemory = 60s;
// Of a core server's lines so many are taken to be planned right, whatever has been seen busy.
constexpr double kMinBusyShare = 0.2;
// A sender that has forgotten a long wait returns with so much of its equal part of the server.
constexpr double kReturnPart = 0.3;
// A number is remembered so long after the last word of it.
constexpr Duration kNumberMemory = 10s;
// A number that answered busy counts as busy so long.
constexpr Duration kBusyMemory = 2s;
// Of the aim so much is left for the set-up of a call that was held.
constexpr Duration kHoldReserve = 400ms;
// A held call is answered so long before its deadline.
constexpr Duration kAnswerMargin = 20ms;
// Faults are smoothed over kFaultEvents setups; from kFaulty on a server is asked last but for trial setups.
constexpr double kFaultEvents = 6.0;
constexpr double kFaulty = 0.4;
constexpr Duration kFaultTry = 500ms;
// So often a call is tried again after a fault.
constexpr std::size_t kFaultRepeats = 2;
// Part of the slow-start budget granted by the settings, and again by answers; the rest is for saved turns.
constexpr double kSlowStartPart = 0.4;
// Told rates are late and noisy: so much of one is believed of a cold server.
constexpr double kReportedRateBelief = 0.8;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

// SplitMix64: the same numbers for the same seed everywhere.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

 private:
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31);
  }
  std::uint64_t state_;
};

// Events a second, the older ones fading: over some time, and where events are rare over some events.
class SmoothedRate {
 public:
  explicit SmoothedRate(Duration longest = kRateMemory) : max_memory_(longest) {}
  void add(Time now) {
    fade(now);
    if (first_) {
      gap_s_ += (seconds(now - added_) - gap_s_) / kRateEvents;
    } else {
      first_ = now;
    }
    added_ = now;
    count_ += 1.0;
  }
  double per_second(Time now) {
    fade(now);
    if (!first_) return 0.0;
    const double age = std::max(seconds(now - *first_), seconds(kRateMemory));
    return count_ / (memory_s() * (1.0 - std::exp(-age / memory_s())));
  }

 private:
  double memory_s() const {
    return std::clamp(kRateEvents * gap_s_, seconds(kRateMemory), seconds(max_memory_));
  }
  void fade(Time now) {
    count_ *= std::exp(-seconds(now - faded_) / memory_s());
    faded_ = now;
  }
  Duration max_memory_;
  std::optional<Time> first_;
  Time added_{};
  Time faded_{};
  double gap_s_ = 0.0;  // smoothed, between events
  double count_ = 0.0;
};

// ---- Processor estimate

// What this sender can tell of the wait at a core server's processor.
class ProcessorEstimate {
 public:
  void sent(Time now, CallId call) { unanswered_.push_back({call, now}); }
  // The set-up is over; true if it was still waiting in turn, and not overtaken.
  bool settled(CallId call) {
    const auto it = std::find_if(unanswered_.begin(), unanswered_.end(),
                                 [call](const Unanswered& u) { return u.call == call; });
    if (it == unanswered_.end()) return false;
    const bool in_turn = !it->overtaken;
    unanswered_.erase(it);
    return in_turn;
  }
  // Processors work in turn: what was sent before a set-up that has now been answered is lost, not waiting,
  // and tells nothing of the wait. Covers lossy links and calls stuck beyond the processor.
  // The calls that are found to be lost by it are returned.
  std::vector<std::pair<CallId, Time>> answered(Time now, Duration delay) {
    std::vector<std::pair<CallId, Time>> lost;
    for (Unanswered& u : unanswered_) {
      if (u.overtaken || u.since + kOrderSlack >= now - delay) continue;
      u.overtaken = true;
      lost.emplace_back(u.call, u.since);
    }
    silent_ = 0;
    min_delay_ = min_delay_ ? std::min(*min_delay_, delay) : delay;
    own_ = Known{delay - *min_delay_, now};
    return lost;
  }
  // Given up unanswered. Where answers get lost, as many as are tolerated in a row tell nothing.
  void timed_out(Time now, Duration delay, std::size_t tolerated) {
    if (silent_ < tolerated) {
      ++silent_;
    } else {
      outlasted(now, delay);
    }
  }
  // Given up or turned away after waiting that long: it would have taken longer still.
  void outlasted(Time now, Duration delay) {
    ++silent_;
    own_ = Known{std::max(recent(own_, now), delay - min_delay_.value_or(Duration{})), now};
  }
  void reported(Time now, Duration wait) { reported_ = Known{wait, now}; }

  struct Known {
    Duration wait{};
    Time at{};
  };
  // What was known last, however long ago.
  Known last_known() const {
    if (!own_ || (reported_ && reported_->at > own_->at)) return reported_.value_or(Known{});
    return *own_;
  }

  bool lost(CallId call) const {
    return std::any_of(unanswered_.begin(), unanswered_.end(),
                       [call](const Unanswered& u) { return u.call == call && u.overtaken; });
  }
  std::size_t unanswered() const {  // in turn
    return static_cast<std::size_t>(std::count_if(unanswered_.begin(), unanswered_.end(),
                                                  [](const Unanswered& u) { return !u.overtaken; }));
  }

  // The longest of what is told, what the last answer took, and what a set-up has been unanswered for: a
  // report is late, and silence is no good news; where answers get lost, that of as many as are tolerated is
  // none.
  Duration wait(Time now, std::size_t tolerated) const {
    const Duration longest = std::max(recent(own_, now), recent(reported_, now));
    std::size_t silent = silent_;
    for (const Unanswered& u : unanswered_) {
      if (u.overtaken || silent++ < tolerated) continue;
      return std::max(longest, now - u.since - min_delay_.value_or(Duration{}));
    }
    return longest;
  }

 private:
  struct Unanswered {
    CallId call;
    Time since;
    bool overtaken = false;
  };
  std::vector<Unanswered> unanswered_;  // oldest first
  // Waits are forgotten when no news comes. Otherwise a sender that has turned away
  // from a core server would hold its last wait against it for ever, however idle it is by now. The first
  // set-up sent there then is a probe: while it is unanswered there is no room for more at a small server.
  static Duration recent(const std::optional<Known>& known, Time now) {
    return known && now - known->at < kWaitMemory ? known->wait : Duration{};
  }
  std::size_t silent_ = 0;  // given up unanswered since the last answer
  std::optional<Duration> min_delay_;
  std::optional<Known> own_;
  std::optional<Known> reported_;
};

// ---- Throttle

// The rate-abs target of one core server, and the share of set-ups refused to keep to it. Which ones are
// refused is left to chance among calls of the same value; those of less value go first.
class Throttle {
 public:
  void taken(Time now) { taken_.add(now); }

  double offered_per_s(Time now) {
    double offered = 0.0;
    for (auto& [value, rate] : offered_) offered += rate.per_second(now);
    return offered;
  }

  void offer(Time now, double value) { offered_[value].add(now); }

  // The chance with which a call of this value that was offered is to be refused. `part_per_s` is this
  // sender's equal part of what the server can take.
  double rejected_share(Time now, double value, const ProcessorEstimate& processor, Duration wait,
                        double part_per_s, std::uint32_t senders) {
    if (!updated_ || now - *updated_ >= kControlInterval) {
      updated_ = now;
      target_ = std::numeric_limits<double>::infinity();
      double floor = 1.0 / (seconds(kFloorInterval) * std::max(1U, senders));
      double taken = taken_.per_second(now);
      if (const Duration last = processor.last_known().wait; wait <= kWaitBudget && last > kWaitBudget) {
        // Forgotten, not answered: the sender returns with a part of its part. Hundreds of senders that each
        // came back in full would keep a small server jammed by their returns alone.
        wait = last;
        floor = kReturnPart * part_per_s;
        taken = std::max(taken, part_per_s);
      }
      if (wait > kWaitBudget) {
        const double over = seconds(wait - kWaitBudget) / seconds(kWaitScale);
        target_ = std::max(floor, taken * (1.0 - over));
      }
    }
    // What is offered beyond the target is taken as it is now: calls that came all at once (a sender that
    // stood still finds them so) once passed at the fraction for the first of them. Of it is left for this
    // value:
    double excess = std::max(0.0, offered_per_s(now) - kOwnCall - target_);
    for (auto& [v, rate] : offered_) {
      const double offered = rate.per_second(now);
      if (v == value) return std::clamp(excess / std::max(offered - kOwnCall, 1e-9), 0.0, 1.0);
      excess -= offered;
    }
    return 0.0;
  }

 private:
  // At its own arrival a call weighs on the smoothed rate by twice as much as on the mean.
  static constexpr double kOwnCall = 0.5 / std::chrono::duration<double>(kRateMemory).count();
  std::map<double, SmoothedRate> offered_;  // by value, the least first
  SmoothedRate taken_;
  std::optional<Time> updated_;
  double target_ = std::numeric_limits<double>::infinity();  // set-ups a second
};

// ---- Cold guard

// Keeps what all senders send to a core server that has just started within the budget (multiple x present
// capacity x window). Each sender is granted its equal part of what the settings allow at the start, a turn
// for each whole set-up of it, and a turn not used within a window is lost; and a part of the multiple for
// each set-up that it saw answered within the last window: all answers together are no more than the server
// can do, however it warms. In a large fleet the part is less than one set-up a window, and one at least from
// each would be several times the budget: a turn then comes once in several windows, at another time for each
// sender, by its place among them. Covers every way of starting (replaced, crashed, added) and needs no word
// from the others.
class SlowStartLimiter {
 public:
  void sent() {
    if (!turns_.empty()) turns_.pop_front();
  }
  void answered(Time now) { answered_.push_back(now); }
  bool admits(Time now, Time online_since, const Settings& settings, double cold_capacity_per_s) {
    const double senders = std::max(1U, settings.senders);
    const double window_s = std::max(seconds(settings.overload_window), 1e-3);
    while (!answered_.empty() && now - answered_.front() > settings.overload_window) answered_.pop_front();
    const double spent = kSlowStartPart * settings.overload_multiple;
    const double own_per_s = std::max(spent * cold_capacity_per_s / senders, kMinTurnsPerS);
    const double turns_per_s = own_per_s + spent * static_cast<double>(answered_.size()) / window_s;
    if (!granted_until_) {
      granted_until_ = online_since;
      credit_ = settings.own_index / senders;
    }
    credit_ += turns_per_s * std::max(0.0, seconds(now - *granted_until_));
    granted_until_ = now;

    // Turns of longer than a window ago are lost, and where there are many no more than half a window's own
    // part is kept: senders that were idle must not bring theirs all at once.
    const double part = own_per_s * window_s;
    credit_ = std::min(credit_, 1.0 + part);
    for (; credit_ >= 1.0; credit_ -= 1.0) turns_.push_back(now - lasting(credit_ - 1.0, turns_per_s));
    while (!turns_.empty() && (now - turns_.front() > settings.overload_window ||
                               static_cast<double>(turns_.size()) > std::max(1.0, part / 2.0))) {
      turns_.pop_front();
    }
    return !turns_.empty();
  }

 private:
  static Duration lasting(double turns, double per_s) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(turns / per_s));
  }
  // One in some hours: no division by nought for a server of which nothing is known.
  static constexpr double kMinTurnsPerS = 1e-4;
  std::deque<Time> answered_;  // within the last window
  std::deque<Time> turns_;     // granted and not used, by the time of the grant
  std::optional<Time> granted_until_;
  double credit_ = 0.0;
};

// ---- Numbers called

// What this sender remembers of a number: callers that it turned away dial it again, and its lines may be
// busy.
class Numbers {
 public:
  void turned_away(Time now, Number number, Time first_try) { note(now, number).first_try = first_try; }
  void busy(Time now, Number number) { note(now, number).busy_until = now + kBusyMemory; }
  void served(Number number) {
    if (const auto it = known_.find(number); it != known_.end()) it->second.first_try.reset();
  }
  std::optional<Time> first_try(Number number) const {
    const auto it = known_.find(number);
    return it == known_.end() ? std::nullopt : it->second.first_try;
  }
  bool is_busy(Time now, Number number) const {
    const auto it = known_.find(number);
    return it != known_.end() && now < it->second.busy_until;
  }

 private:
  struct Record {
    std::optional<Time> first_try;
    Time busy_until{};
    Time touched{};
  };
  Record& note(Time now, Number number) {
    while (!order_.empty() && now - order_.front().second > kNumberMemory) {
      const auto it = known_.find(order_.front().first);
      if (it != known_.end() && now - it->second.touched > kNumberMemory) known_.erase(it);
      order_.pop_front();
    }
    order_.emplace_back(number, now);
    Record& record = known_[number];
    record.touched = now;
    return record;
  }
  std::unordered_map<Number, Record> known_;  // never walked
  std::deque<std::pair<Number, Time>> order_;
};

// ---- Faults

// The share of a core server's set-ups that ended with a fault of its own. A faulty one answers at once and
// so looks idle: it would draw more calls than the others.
class Faults {
 public:
  void ended(bool fault) {
    share_ += ((fault ? 1.0 : 0.0) - share_) / kFaultEvents;
    if (!fault && share_ >= kFaulty) share_ /= 2.0;
  }
  bool faulty() const { return share_ >= kFaulty; }
  void tried(Time now) { tried_at_ = now; }
  // By a call that may be repeated elsewhere; by others more seldom.
  bool to_be_tried(Time now, bool repeatable) const {
    return now - tried_at_ >= kFaultTry * (repeatable ? 1 : 4);
  }

 private:
  double share_ = 0.0;
  Time tried_at_{};
};

// ---- Tables

struct Server {
  ServerEntry entry;
  std::optional<double> free_circuits;
  Time circuits_reported_at{};
  int sent_since_report = 0;
  double circuits = 1.0;
  bool circuits_reported = false;
  std::optional<double> allowed_per_s;  // told, for all senders together
  SmoothedRate sought{kMaxRateMemory};  // calls of this sender that would go there
  ProcessorEstimate processor;
  Throttle throttle;
  SlowStartLimiter slow_start;
  Faults faults;

  bool in_service() const { return entry.state == ServerState::in_service; }
  bool in_slow_start(Time now, const Settings& settings) const {
    return entry.online_since && now < *entry.online_since + settings.slow_start_duration;
  }
};

// What is known of a place, whichever processor serves there: the most lines seen busy, fading, and how many
// of this sender's set-ups stood.
class Place {
 public:
  void busy(Time now, double lines) {
    most_ = std::max(lines, most(now));
    at_ = now;
  }
  void taken(Time now) { taken_.add(now); }
  double taken_per_s(Time now) { return taken_.per_second(now); }
  double most(Time now) const { return most_ * std::exp(-seconds(now - at_) / seconds(kBusiestMemory)); }

 private:
  SmoothedRate taken_{kMaxRateMemory};  // this sender's set-ups that stood there
  double most_ = 0.0;
  Time at_{};
};

struct Attempt {
  int index;
  ServerId server;
  bool stands;
};

struct Call {
  NewCall request;
  Time first_try{};  // of its caller, as far as this sender can tell
  int attempts = 0;
  int max_attempts = 0;  // as the settings had it when it came
  std::optional<Attempt> out;
  bool answered = false;           // nothing is owed any more
  bool offered = false;            // has been to the pick before
  std::vector<ServerId> faults;    // where attempts ended with one
  bool last_faulted = false;       // the last one did
  bool may_have_run = false;       // an attempt ended without proof that it never ran
  std::optional<ServerId> last;    // where the last attempt went
  std::optional<Time> held_until;  // waits, with no attempt out
};

bool is_fault(const AttemptEnded& e) {
  return e.outcome == Outcome::busy_or_fault && e.reason != FullReason::number_busy;
}

bool proves_not_run(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::no_connection || outcome == Outcome::not_sent;
}

}  // namespace

// ---- Controller

class Controller::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
    note_holds();
  }

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    if (now != now_) turn_before_ = now_;
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
    actions_ = nullptr;
  }

  std::size_t ejected(Time now) const {
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [&](const auto& s) {
      return !s.second.in_service() || s.second.faults.faulty() ||
             s.second.processor.wait(now, tolerated()) >= kWaitBudget + kWaitScale;
    }));
  }

 private:
  // -- the list of core servers
  void on(const ServerList& list) {
    if (!following_ && settings_.discovery == Discovery::on_request) {
      following_ = true;
      act(FollowList{});
    }
    if (list.kind == ListKind::rejected) {  // the old list stands; ask again, not at once
      if (settings_.discovery == Discovery::on_request)
        act(SetTimer{settings_.poll_interval / 4, kFollowTimer});
      return;
    }
    if (list.kind != ListKind::changes) {
      for (auto& [id, server] : servers_) server.entry.state = ServerState::terminated;
    }
    for (const ServerEntry& entry : list.entries) {
      auto [it, fresh] = servers_.try_emplace(entry.server);
      const bool restarted = !fresh && it->second.entry.online_since != entry.online_since;
      if (restarted)
        it->second = Server{};  // what was learned of the old process does not hold for the new one
      it->second.entry = entry;
    }
    // Machines that are replaced come under new ids: those gone are not remembered, but their places are.
    std::erase_if(servers_, [](const auto& s) { return s.second.entry.state == ServerState::terminated; });
  }

  void on(const ServerReport& e) { record_report(e.server, e.report); }

  void record_report(ServerId id, const LoadReport& report) {
    const auto it = servers_.find(id);
    if (it == servers_.end()) return;
    if (report.free_circuits) record_circuits(it->second, *report.free_circuits);
    if (report.circuits && *report.circuits > 0.0) {
      it->second.circuits = *report.circuits;
      it->second.circuits_reported = true;
    }
    if (report.free_circuits)
      places_[it->second.entry.pool].busy(now_, it->second.circuits - *report.free_circuits);
    if (report.allowed_per_s) it->second.allowed_per_s = report.allowed_per_s;
    if (report.wait) it->second.processor.reported(now_, *report.wait);
  }

  void record_circuits(Server& server, double free_lines) {
    server.free_circuits = free_lines;
    server.circuits_reported_at = now_;
    server.sent_since_report = 0;
  }

  void on(const PeerMessage&) {}

  void on(const SettingsChanged& e) {
    std::erase_if(caller_timeout_, [&](const auto& p) {  // a place may hold another class now
      return p.first >= e.settings.classes.size() || p.first >= settings_.classes.size() ||
             !(e.settings.classes[p.first] == settings_.classes[p.first]);
    });
    settings_ = e.settings;
    note_holds();
  }

  void note_holds() {
    mean_hold_s_ = 1e-3;
    for (const CallClass& c : settings_.classes)
      mean_hold_s_ = std::max(mean_hold_s_, seconds(c.mean_holding_time));
  }

  // -- the life of a call
  void on(const NewCall& e) {
    Call& call = calls_[e.call];
    call.request = e;
    call.max_attempts = settings_.max_attempts;
    call.first_try = now_;
    if (e.in_transit || settings_.layout == Layout::meshed || e.call_class >= settings_.classes.size()) {
      conclude(call, Reject{e.call, {}});
    } else {
      call.first_try = came_at(e);
      if (!settings_.callers_flag_redial || e.redial)
        call.first_try = numbers_.first_try(e.number).value_or(call.first_try);
      place(call);
    }
    forget_if_finished(e.call);
  }

  // A sender that stood still finds calls that have waited for it. Their deadlines tell how long: callers of
  // a class leave equal times, and no call came before the turn before this one.
  Time came_at(const NewCall& e) {
    Duration& longest = caller_timeout_[e.call_class];
    const Duration left = e.deadline - now_;
    longest = std::max(longest, left);
    return turn_before_ ? std::max(now_ - (longest - left), *turn_before_) : now_;
  }

  void on(const CallEstablished& e) {
    Call* call = find(e.call);
    if (call == nullptr || !call->out || call->out->index != e.attempt) return;
    call->out->stands = true;
    numbers_.served(call->request.number);
    // Only now it is known that the call itself was sound: bad ones once made every server look faulty.
    for (const ServerId at : call->faults) {
      if (Server* server = find(at)) server->faults.ended(true);
    }
    if (Server* server = find(e.server)) {
      server->processor.settled(e.call);
      record_answer(*server, e.delay);
      server->faults.ended(false);
      server->throttle.taken(now_);
      if (server->in_slow_start(now_, settings_)) server->slow_start.answered(now_);
      places_[server->entry.pool].taken(now_);
    }
  }

  void on(const AttemptEnded& e) {
    Call* call = find(e.call);
    if (call == nullptr || !call->out || call->out->index != e.attempt) return;
    const bool stood = call->out->stands;
    call->out.reset();
    learn(e, stood);
    if (!proves_not_run(e.outcome)) call->may_have_run = true;
    if (e.reason == FullReason::number_busy) numbers_.busy(now_, call->request.number);
    if (e.call_finished) call->answered = true;
    if (!call->answered) decide_after(*call, e);
    forget_if_finished(e.call);
  }

  void on(const CallerDisconnected& e) {
    Call* call = find(e.call);
    if (call == nullptr) return;
    call->answered = true;
    if (call->out && !call->out->stands && settings_.may_cancel) act(CancelAttempt{e.call, call->out->index});
    forget_if_finished(e.call);
  }

  void on(const TimerDue& e) {
    if (e.timer == kFollowTimer) return act(FollowList{});
    const auto timer = timers_.find(e.timer);
    if (timer == timers_.end()) return;
    const CallId id = timer->second;
    timers_.erase(timer);
    Call* call = find(id);
    if (call == nullptr || call->answered) return;
    if (call->out) return give_up_lost(*call);
    if (!call->held_until) return;
    // A timer that comes early (coarser clocks round down) once left its call without an answer.
    if (now_ < *call->held_until) return wake(id, *call->held_until - now_);
    call->held_until.reset();
    place(*call);
    forget_if_finished(id);
  }

  // What an ended attempt tells of the processor it went to.
  void learn(const AttemptEnded& e, bool stood) {
    record_report(e.server, e.report);
    Server* server = find(e.server);
    if (server == nullptr) return;
    const bool in_turn = server->processor.settled(e.call);
    if (stood) return;
    switch (e.outcome) {
      case Outcome::ok:
      case Outcome::busy_or_fault:
        record_answer(*server, e.delay);
        server->throttle.taken(now_);
        break;
      case Outcome::full:
        if (e.reason == FullReason::processor) {
          if (e.retry_after) server->processor.reported(now_, *e.retry_after);
          server->processor.outlasted(now_, kFullWait);
        } else {
          server->throttle.taken(now_);
          if (e.reason == FullReason::no_circuit && !e.report.free_circuits) record_circuits(*server, 0.0);
        }
        break;
      case Outcome::no_connection:  // down, out of reach or with no connection to spare: the list learns late
        server->processor.outlasted(now_, kFullWait);
        break;
      case Outcome::timed_out:
      case Outcome::cancelled:
        if (in_turn) server->processor.timed_out(now_, e.delay, tolerated());
        break;
      default:
        break;
    }
  }

  // A call found lost is looked at again when its repeats have had their chance.
  void record_answer(Server& server, Duration delay) {
    lost_share_ -= lost_share_ / kLossEvents;
    for (const auto& [id, since] : server.processor.answered(now_, delay)) {
      lost_share_ += (1.0 - lost_share_) / kLossEvents;
      const Duration left = since + kLostAfter - now_;
      if (settings_.may_cancel) wake(id, std::max(left, settings_.scheduling_interval));
    }
  }

  // How many set-ups in a row may stay unanswered at a server before it counts as a wait there. Later answers
  // overtake a lost one but never one that waits its turn; where some were overtaken lately, a single silence
  // is as likely a loss. Hundreds of senders would otherwise shut every server that loses answers.
  std::size_t tolerated() const { return lost_share_ < kLossSeen ? 0 : lost_share_ < kLossHeavy ? 1 : 2; }

  void wake(CallId id, Duration after) {
    const TimerId timer{++last_timer_};
    timers_.emplace(timer, id);
    act(SetTimer{after, timer});
  }

  // Calls an attempt off that later ones overtook, or that is unanswered when there is just time for another
  // within the aim, while losses are seen and nothing else is known against its server: an answer that never
  // comes would leave the call hanging until its deadline. (A call that may run only once stays where it is.)
  void give_up_lost(const Call& call) {
    const Server* server = find(call.out->server);
    if (call.out->stands || server == nullptr) return;
    if (class_of(call).idempotency != Idempotency::idempotent || call.attempts >= call.max_attempts) return;
    const bool in_time = now_ < call.first_try + class_of(call).latency_objective - settings_.release_guard;
    if (server->processor.lost(call.request.call) ||
        (in_time && tolerated() > 0 && server->processor.last_known().wait <= kWaitBudget)) {
      act(CancelAttempt{call.request.call, call.out->index});
    }
  }

  void decide_after(Call& call, const AttemptEnded& e) {
    const CallId id = call.request.call;
    const bool spent = call.attempts >= call.max_attempts;
    const bool once_only = call.may_have_run && class_of(call).idempotency != Idempotency::idempotent;
    // A busy number is busy everywhere; a fault is one server's, and passes. What fails a third time is the
    // call's own.
    call.last_faulted = is_fault(e);
    const bool again = call.last_faulted && call.faults.size() < kFaultRepeats &&
                       now_ < call.first_try + class_of(call).latency_objective;
    if (again) call.faults.push_back(e.server);
    const bool final_answer = e.outcome == Outcome::busy_or_fault && !again;
    if (spent || once_only || final_answer) return conclude(call, Fail{id});
    if (again || proves_not_run(e.outcome)) return place(call);
    if (e.outcome == Outcome::cancelled) call.last.reset();  // one was lost there, others get through
    hold(call, now_ + settings_.release_guard);
  }

  // Keeps the call without an attempt until then, if there is time left for an attempt.
  void hold(Call& call, Time until) {
    if (until + kAnswerMargin >= call.request.deadline) return conclude(call, Fail{call.request.call});
    call.held_until = until;
    wake(call.request.call, until - now_);
  }

  // -- pick and throttle
  void place(Call& call) {
    Server* server = now_ < call.request.deadline ? pick(call) : nullptr;
    if (server == nullptr) return wait_or_refuse(call);
    send(call, *server);
  }

  // A call that finds no server is offered again after about T_c while it can still stand within its aim.
  // Turned away at once it would come back as a redial, after its aim, and take as much from a processor for
  // less.
  void wait_or_refuse(Call& call) {
    const auto again =
        now_ + std::chrono::duration_cast<Duration>((0.5 + random_.uniform()) * kControlInterval);
    const bool any =
        std::any_of(servers_.begin(), servers_.end(), [](const auto& s) { return s.second.in_service(); });
    if (any && again < call.first_try + class_of(call).latency_objective - kHoldReserve &&
        again + kAnswerMargin < call.request.deadline) {
      return hold(call, again);
    }
    conclude(call, Reject{call.request.call, settings_.max_retry_after});
  }

  // The destination while it has free lines and its throttle lets the call pass; else, of two drawn core
  // servers whose wait is within budget, the one with fewer own unanswered set-ups. Where the destination
  // can't be had and no other is within budget, two are drawn from the rest and the throttle has its say
  // there.
  Server* pick(Call& call) {  // NOLINT(readability-function-cognitive-complexity): divided with the module
    // offers of held calls are no further demand for lines
    const bool fresh = !std::exchange(call.offered, true);
    std::vector<Server*> open;
    std::vector<Server*> pressed;
    std::vector<Server*> faulty;
    Server* destination = nullptr;
    const bool choosy = others_open(call);
    const bool repeatable = class_of(call).idempotency == Idempotency::idempotent;
    for (auto& [id, server] : servers_) {
      if (!eligible(call, server)) continue;
      const bool named = server.entry.pool == call.request.destination;
      // A call for the destination counts as offered there also if it is then diverted: else the diversion
      // itself would make the throttle open.
      if (named) {
        server.throttle.offer(now_, value_of(call));
        if (fresh) server.sought.add(now_);
      }
      if (!free_for(call, server)) continue;
      const bool trial = named && server.faults.to_be_tried(now_, repeatable);
      if (call.last == id || (choosy && server.faults.faulty() && !trial)) {
        faulty.push_back(&server);
      } else if (named) {
        destination = &server;
      } else {
        (has_room(server) ? open : pressed).push_back(&server);
      }
    }
    if (destination != nullptr && passes(call, *destination)) return destination;
    Server* drawn = nullptr;
    if (!open.empty() || destination == nullptr)
      drawn = draw_offered(call, open.empty() ? pressed : open, fresh);
    // One that answers some set-ups is better than none; it is the last to be asked.
    return drawn != nullptr ? drawn : draw_offered(call, faulty, fresh);
  }

  Server* draw_offered(const Call& call, const std::vector<Server*>& from, bool fresh) {
    Server* drawn = draw(from);
    if (drawn == nullptr) return nullptr;
    drawn->throttle.offer(now_, value_of(call));
    if (fresh) drawn->sought.add(now_);
    return passes(call, *drawn) ? drawn : nullptr;
  }

  // Whether a core server may take calls meant for others. Its wait shows only once the first answers are
  // late, and by then all senders have sent theirs; so, as if each had as many set-ups unanswered there as
  // this one will have, what stands in line must be worked off within the budget (queue over service rate, as
  // in the paper).
  // One that has been forgotten in a long wait is tried again once in the time in which its part of the part
  // makes one set-up.
  bool has_room(const Server& server) {
    const double senders = std::max(1U, settings_.senders);
    if (server.processor.wait(now_, tolerated()) > kWaitBudget) return false;
    const auto last = server.processor.last_known();
    const auto unanswered = static_cast<double>(server.processor.unanswered());
    if (last.wait > kWaitBudget &&
        seconds(now_ - last.at) * kReturnPart * capacity(server) < senders * (1.0 + unanswered))
      return false;
    return unanswered * senders * mean_hold_s_ <= server.circuits * seconds(kDivertBudget);
  }

  // Of two drawn core servers the one with fewer own unanswered set-ups. Core servers may differ tenfold in
  // size: they are drawn, and their set-ups compared, in proportion to their lines.
  Server* draw(const std::vector<Server*>& from) {
    if (from.empty()) return nullptr;
    double lines = 0.0;
    for (const Server* server : from) lines += server->circuits;
    const auto one_of = [&] {
      double mark = random_.uniform() * lines;
      for (Server* server : from) {
        if ((mark -= server->circuits) < 0.0) return server;  // NOLINT(bugprone-assignment-in-if-condition)
      }
      return from.back();
    };
    Server* one = one_of();
    Server* other = one_of();
    const auto crowded = [](const Server* server) {
      return static_cast<double>(server->processor.unanswered() + 1) / server->circuits;
    };
    return crowded(other) < crowded(one) ? other : one;
  }

  bool passes(const Call& call, Server& server) {
    const double part_per_s = capacity(server) / std::max(1U, settings_.senders);
    return random_.uniform() >= server.throttle.rejected_share(now_, value_of(call), server.processor,
                                                               server.processor.wait(now_, tolerated()),
                                                               part_per_s, settings_.senders);
  }

  // What the call is worth now: little when its aim has passed, counted from the caller's first try; nothing
  // while the lines of its number are busy.
  double value_of(const Call& call) const {
    const CallClass& c = class_of(call);
    if (numbers_.is_busy(now_, call.request.number)) return 0.0;
    return now_ - call.first_try < c.latency_objective ? c.priority_weight
                                                       : c.priority_weight * c.late_weight_fraction;
  }

  // Free lines are told now and then. While they are fewer than the calls that all senders bring until the
  // next news, a sender takes no more than its part of them, and of those that fall free meanwhile: all would
  // rush for the last ones otherwise, and be turned away. A part of less than a line is taken by chance.
  bool free_for(const Call& call, Server& server) {
    if (!server.free_circuits) return true;
    const double free =
        *server.free_circuits + seconds(now_ - server.circuits_reported_at) * capacity(server);
    const double wanted = seconds(kCircuitNewsDelay) * capacity(server);
    if (free >= std::max(kCircuitsPlenty * wanted, call.request.circuits)) return true;
    const double senders = std::max(1U, settings_.senders);
    const double left = free / senders - static_cast<double>(server.sent_since_report);
    const double expected =
        server.sought.per_second(now_) * seconds(kCircuitNewsDelay);  // own calls until news
    return left >= call.request.circuits || random_.uniform() * std::max(expected, 1e-9) < left;
  }

  // In service, open to the class, and not just tried, unless what it answered was a fault.
  bool open_to(const Call& call, const Server& server) const {
    if (!server.in_service() || (call.last == server.entry.server && !call.last_faulted)) return false;
    const auto& pools = class_of(call).open_pools;
    return !pools || std::find(pools->begin(), pools->end(), server.entry.pool) != pools->end();
  }

  bool others_open(const Call& call) const {
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& s) {
      return call.last != s.first && open_to(call, s.second) && !s.second.faults.faulty();
    });
  }

  // And not spared for being cold.
  bool eligible(const Call& call, Server& server) {
    if (!open_to(call, server)) return false;
    return !server.in_slow_start(now_, settings_) ||
           server.slow_start.admits(now_, *server.entry.online_since, settings_, cold_capacity(server));
  }

  void send(Call& call, Server& server) {
    call.out = Attempt{call.attempts++, server.entry.server, false};
    call.last = server.entry.server;
    server.processor.sent(now_, call.request.call);
    server.slow_start.sent();
    if (server.faults.faulty()) server.faults.tried(now_);
    ++server.sent_since_report;
    act(SendSetup{call.request.call, server.entry.server, call.request.deadline});
    // In time for another attempt within the aim, should this one stay unanswered.
    const Time call_off =
        call.first_try + class_of(call).latency_objective - settings_.release_guard - kHoldReserve;
    if (tolerated() > 0 && settings_.may_cancel && call_off > now_ && call.attempts < call.max_attempts)
      wake(call.request.call, std::max(call_off - now_, kLostAfter));
  }

  // Set-ups a second that a core server can be taken to set up: by Little's law the most lines seen busy in
  // its place, over the time that a call holds one, is what it carried for all senders together. Lines are
  // planned for traffic that may not come, and say less. Where no lines are told, as if all senders had as
  // many taken there as this one.
  double capacity(const Server& server) {
    Place& place = places_[server.entry.pool];
    if (!server.circuits_reported) return place.taken_per_s(now_) * std::max(1U, settings_.senders);
    return std::clamp(place.most(now_), kMinBusyShare * server.circuits, server.circuits) / mean_hold_s_;
  }

  // What a cold one can be taken to set up now: its least by the rules, or what it says itself.
  double cold_capacity(const Server& server) {
    const double least = settings_.slow_start_fraction * capacity(server);
    return server.allowed_per_s ? std::max(least, kReportedRateBelief * *server.allowed_per_s) : least;
  }

  // -- small things
  template <class Answer>
  void conclude(Call& call, Answer answer) {
    call.answered = true;
    numbers_.turned_away(now_, call.request.number, call.first_try);
    // A call that may have run must not be reported as never run.
    if (call.may_have_run && class_of(call).idempotency != Idempotency::idempotent) {
      act(Fail{call.request.call});
    } else {
      act(answer);
    }
  }

  void forget_if_finished(CallId id) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && it->second.answered && !it->second.out) calls_.erase(it);
  }

  const CallClass& class_of(const Call& call) const { return settings_.classes[call.request.call_class]; }
  Call* find(CallId id) {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second;
  }
  Server* find(ServerId id) {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
  }
  void act(Action action) { actions_->push_back(std::move(action)); }

  static constexpr TimerId kFollowTimer{0};

  Settings settings_;
  Random random_;
  double mean_hold_s_ = 1e-3;  // of the class that holds longest: capacity is rather taken too low
  Time now_{};
  std::optional<Time> turn_before_;  // when something was told last
  std::map<ClassIndex, Duration>
      caller_timeout_;  // the longest time left by a call of the class when it was told
  std::vector<Action>* actions_ = nullptr;
  std::map<ServerId, Server> servers_;
  std::map<Pool, Place> places_;  // outlives the processors that serve there
  Numbers numbers_;
  std::unordered_map<CallId, Call> calls_;  // never walked: its order is not ours
  std::map<TimerId, CallId> timers_;
  double lost_share_ = 0.0;  // smoothed, of set-ups answered or overtaken, at all servers
  std::uint64_t last_timer_ = 0;
  bool following_ = false;
};

Controller::Controller(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;

std::size_t Controller::ejected(Time now) const { return impl_->ejected(now); }

void Controller::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

}  // namespace graniterun
