// Implements graniterun::Controller (include/graniterun/controller.h): the call-routing and overload-control
// decisions of one sender, with their tables, estimators and tuning constants.
//
// Input: events with their times. Output: actions. No I/O, no clock, no global state; equal events and an
// equal seed give equal actions. The throttle is the rate-abs control algorithm (Hosein; equation 2 in
// section 3.6 of Shen, Schulzrinne and Nahum, "Application Layer Feedback-based SIP Server Overload Control",
// CUCS-031-08); T_c, D_B and C are its symbols. docs/design.md lists the departures from it and the reasons.
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

// ---- Tuning constants

// T_c: interval at which the target rate of a server is recomputed.
constexpr Duration kControlInterval = 200ms;
// Minimum rate to a throttled server: one setup per interval, shared by all senders. One setup per T_c and
// sender overloaded a slow processor.
constexpr Duration kMinRateInterval = 600ms;
// D_B: budget for the queueing delay. A measured delay contains two waits, since setup and answer both queue.
constexpr Duration kWaitBudget = 100ms;
// C: the target rate reaches zero when the wait exceeds D_B by this much. At half of it the senders stopped
// and resumed in step.
constexpr Duration kWaitScale = 1s;
// Averaging window of this sender's own rates: kRateWindowEvents mean gaps between events, within these
// bounds. With hundreds of senders, one sender sees the events of a server seconds apart.
constexpr Duration kMinRateWindow = 2s;
constexpr Duration kMaxRateWindow = 12s;
constexpr double kRateWindowEvents = 5.0;
// Wait assumed for a server that reports a full processor or accepts no connection.
constexpr Duration kAssumedFullServerWait = 2s;
// Maximum queueing time that all senders together may cause with spillover at a fallback server.
constexpr Duration kSpilloverWaitBudget = 600ms;
// Setups sent within this time of each other may be answered in either order.
constexpr Duration kReorderTolerance = 50ms;
// An attempt that is presumed lost is cancelled this long after it was sent: by then its setup has been
// retransmitted once.
constexpr Duration kAttemptLossTimeout = 650ms;
// The share of lost setups is averaged over kLossWindowAnswers answers. Below kLossThreshold it counts as no
// loss, from kHeavyLossThreshold on as heavy loss.
constexpr double kLossWindowAnswers = 32.0;
constexpr double kLossThreshold = 0.02;
constexpr double kHeavyLossThreshold = 0.12;
// How long a measured or reported wait stays valid without a newer one.
constexpr Duration kWaitRetention = 4s;
// Assumed maximum age of a report of free circuits.
constexpr Duration kCircuitReportDelay = 1s;
// Free circuits are plentiful from this multiple of the calls expected before the next report.
constexpr double kPlentifulCircuitsFactor = 1.5;
// Decay time of the peak of circuits in use; longer than a server's restart.
constexpr Duration kPeakCircuitsDecay = 60s;
// Lower bound of that peak, as a share of the server's circuits: to this extent their configured number is
// relied on, whatever has been seen in use.
constexpr double kMinPeakCircuitsShare = 0.2;
// A sender whose record of a long wait has expired resumes at this fraction of its equal share of the server.
constexpr double kRecoveryFraction = 0.3;
// How long the record of a called number is kept after its last update.
constexpr Duration kNumberRetention = 10s;
// How long a called number is treated as busy after it answered busy.
constexpr Duration kBusyNumberTtl = 2s;
// Part of the latency objective that is reserved for the setup of a queued call.
constexpr Duration kQueuedSetupReserve = 400ms;
// A queued call gets its final answer at least this long before its deadline.
constexpr Duration kAnswerMargin = 20ms;
// The share of faults is averaged over kFaultWindowSetups setups. From kOutlierFaultShare on a server is an
// outlier: it is asked last, except for one probing setup per kOutlierProbeInterval.
constexpr double kFaultWindowSetups = 6.0;
constexpr double kOutlierFaultShare = 0.4;
constexpr Duration kOutlierProbeInterval = 500ms;
// Maximum retries of a call after a server fault.
constexpr std::size_t kMaxFaultRetries = 2;
// Fraction of the slow-start budget that is granted from the settings, and the same fraction again from
// answers. The rest covers accumulated permits.
constexpr double kSlowStartInitialFraction = 0.4;
// Part of the rate reported by a server in slow start that is relied on: such reports are late and noisy.
constexpr double kReportedRateConfidence = 0.8;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

// SplitMix64: the same numbers for the same seed on every platform.
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

// Events per second, averaged with exponential decay. The window adapts to the mean gap between events: it
// lengthens where events are rare.
class SmoothedRate {
 public:
  explicit SmoothedRate(Duration max_window = kMinRateWindow) : max_window_(max_window) {}
  void add(Time now) {
    decay(now);
    if (first_event_at_) {
      mean_gap_s_ += (seconds(now - last_event_at_) - mean_gap_s_) / kRateWindowEvents;
    } else {
      first_event_at_ = now;
    }
    last_event_at_ = now;
    count_ += 1.0;
  }
  double per_second(Time now) {
    decay(now);
    if (!first_event_at_) return 0.0;
    const double age = std::max(seconds(now - *first_event_at_), seconds(kMinRateWindow));
    return count_ / (window_s() * (1.0 - std::exp(-age / window_s())));
  }

 private:
  double window_s() const {
    return std::clamp(kRateWindowEvents * mean_gap_s_, seconds(kMinRateWindow), seconds(max_window_));
  }
  void decay(Time now) {
    count_ *= std::exp(-seconds(now - decayed_at_) / window_s());
    decayed_at_ = now;
  }
  Duration max_window_;
  std::optional<Time> first_event_at_;
  Time last_event_at_{};
  Time decayed_at_{};
  double mean_gap_s_ = 0.0;
  double count_ = 0.0;  // decayed
};

// ---- Processor estimate

// Estimates the queueing delay (the wait) at a server's processor from this sender's own setups and from the
// server's reports.
class ProcessorEstimate {
 public:
  void record_sent(Time now, CallId call) { outstanding_.push_back({call, now}); }
  // Removes the call's outstanding setup. Returns whether one was outstanding and not overtaken.
  bool remove_outstanding(CallId call) {
    const auto it = std::find_if(outstanding_.begin(), outstanding_.end(),
                                 [call](const OutstandingSetup& setup) { return setup.call == call; });
    if (it == outstanding_.end()) return false;
    const bool in_order = !it->overtaken;
    outstanding_.erase(it);
    return in_order;
  }
  // Processors work in order, so a setup sent before one that has now been answered is presumed lost rather
  // than queued, and says nothing about the wait. This covers lossy links and calls stuck beyond the
  // processor. Returns the setups that are newly presumed lost, with the times at which they were sent.
  std::vector<std::pair<CallId, Time>> record_answer(Time now, Duration delay) {
    std::vector<std::pair<CallId, Time>> lost;
    for (OutstandingSetup& setup : outstanding_) {
      if (setup.overtaken || setup.sent_at + kReorderTolerance >= now - delay) continue;
      setup.overtaken = true;
      lost.emplace_back(setup.call, setup.sent_at);
    }
    timeouts_since_answer_ = 0;
    min_delay_ = min_delay_ ? std::min(*min_delay_, delay) : delay;
    measured_ = WaitSample{delay - *min_delay_, now};
    return lost;
  }
  // Records a setup that was abandoned without an answer. Up to `tolerated_losses` in a row say nothing about
  // the wait, because answers get lost.
  void record_timeout(Time now, Duration delay, std::size_t tolerated_losses) {
    if (timeouts_since_answer_ < tolerated_losses) {
      ++timeouts_since_answer_;
    } else {
      record_min_wait(now, delay);
    }
  }
  // Records a setup that was abandoned or rejected after `delay`: the wait is at least that long.
  void record_min_wait(Time now, Duration delay) {
    ++timeouts_since_answer_;
    measured_ =
        WaitSample{std::max(recent_wait(measured_, now), delay - min_delay_.value_or(Duration{})), now};
  }
  void record_reported_wait(Time now, Duration wait) { reported_ = WaitSample{wait, now}; }

  struct WaitSample {
    Duration wait{};
    Time at{};
  };
  // The latest sample, measured or reported, of any age.
  WaitSample last_sample() const {
    if (!measured_ || (reported_ && reported_->at > measured_->at)) return reported_.value_or(WaitSample{});
    return *measured_;
  }

  bool presumed_lost(CallId call) const {
    return std::any_of(outstanding_.begin(), outstanding_.end(), [call](const OutstandingSetup& setup) {
      return setup.call == call && setup.overtaken;
    });
  }
  // Number of setups without an answer, without those presumed lost.
  std::size_t outstanding() const {
    return static_cast<std::size_t>(
        std::count_if(outstanding_.begin(), outstanding_.end(),
                      [](const OutstandingSetup& setup) { return !setup.overtaken; }));
  }

  // The maximum of the reported wait, the wait of the last answer, and the age of the oldest outstanding
  // setup beyond `tolerated_losses`. Reports are late, so a report of an idle processor does not outweigh an
  // unanswered setup.
  Duration wait(Time now, std::size_t tolerated_losses) const {
    const Duration recent = std::max(recent_wait(measured_, now), recent_wait(reported_, now));
    std::size_t unanswered = timeouts_since_answer_;
    for (const OutstandingSetup& setup : outstanding_) {
      if (setup.overtaken || unanswered++ < tolerated_losses) continue;
      return std::max(recent, now - setup.sent_at - min_delay_.value_or(Duration{}));
    }
    return recent;
  }

 private:
  struct OutstandingSetup {
    CallId call;
    Time sent_at;
    bool overtaken = false;
  };
  std::vector<OutstandingSetup> outstanding_;  // oldest first
  // Samples expire. Otherwise a sender that avoids a server would hold the last wait against it for ever,
  // however idle the server is by now. The first setup sent after the expiry probes the server: while it is
  // outstanding, a small server accepts no more spillover.
  static Duration recent_wait(const std::optional<WaitSample>& sample, Time now) {
    return sample && now - sample->at < kWaitRetention ? sample->wait : Duration{};
  }
  std::size_t timeouts_since_answer_ = 0;
  std::optional<Duration> min_delay_;
  std::optional<WaitSample> measured_;
  std::optional<WaitSample> reported_;
};

// ---- Throttle

// The rate-abs target rate of one server, and the share of setups to reject so that the target is met. Calls
// of the lowest weight are rejected first; among calls of equal weight the choice is random.
class Throttle {
 public:
  void record_accepted(Time now) { accepted_.add(now); }

  double offered_per_s(Time now) {
    double offered = 0.0;
    for (auto& [weight, rate] : offered_) offered += rate.per_second(now);
    return offered;
  }

  void record_offered(Time now, double weight) { offered_[weight].add(now); }

  // Probability with which an offered call of this weight is to be rejected. `fair_share_per_s` is this
  // sender's equal share of the server's capacity.
  double rejection_probability(Time now, double weight, const ProcessorEstimate& processor, Duration wait,
                               double fair_share_per_s, std::uint32_t senders) {
    if (!updated_at_ || now - *updated_at_ >= kControlInterval) {
      updated_at_ = now;
      target_per_s_ = std::numeric_limits<double>::infinity();
      double min_per_s = 1.0 / (seconds(kMinRateInterval) * std::max(1U, senders));
      double accepted_per_s = accepted_.per_second(now);
      if (const Duration last = processor.last_sample().wait; wait <= kWaitBudget && last > kWaitBudget) {
        // The long wait has expired without a newer answer: the sender resumes at kRecoveryFraction of its
        // share. Hundreds of senders that each resumed in full would keep a small server overloaded.
        wait = last;
        min_per_s = kRecoveryFraction * fair_share_per_s;
        accepted_per_s = std::max(accepted_per_s, fair_share_per_s);
      }
      if (wait > kWaitBudget) {
        const double excess_ratio = seconds(wait - kWaitBudget) / seconds(kWaitScale);
        target_per_s_ = std::max(min_per_s, accepted_per_s * (1.0 - excess_ratio));
      }
    }
    // The offered rate is read at each call, not once per T_c: calls that arrive all at once, as after a
    // pause of this process, would otherwise all pass at the probability computed for the first. `excess`
    // becomes the part of the surplus over the target that remains to be rejected at this weight.
    double excess = std::max(0.0, offered_per_s(now) - kOwnArrivalBias - target_per_s_);
    for (auto& [offered_weight, rate] : offered_) {
      const double offered = rate.per_second(now);
      if (offered_weight == weight)
        return std::clamp(excess / std::max(offered - kOwnArrivalBias, 1e-9), 0.0, 1.0);
      excess -= offered;
    }
    return 0.0;
  }

 private:
  // At its own arrival a call contributes twice as much to the smoothed rate as on average; half is removed.
  static constexpr double kOwnArrivalBias = 0.5 / std::chrono::duration<double>(kMinRateWindow).count();
  std::map<double, SmoothedRate> offered_;  // by weight, the lowest first
  SmoothedRate accepted_;
  std::optional<Time> updated_at_;
  double target_per_s_ = std::numeric_limits<double>::infinity();
};

// ---- Slow start

// Keeps what all senders together send to a server that has just started within the budget: overload multiple
// x current capacity x overload window.
//
// A sender receives permits, one per setup, from two sources. The first is its equal share of what the
// settings allow at the start. The second is a part of the overload multiple for each setup answered to it
// within the last window: the answers to all senders never exceed the server's capacity, however fast the
// server warms up. A permit that is not used within a window expires.
//
// In a large fleet the equal share is less than one setup per window, and a minimum of one for each sender
// would be several times the budget. A permit then comes once in several windows, and the senders' indexes
// spread these permits over time. The limiter covers replaced, crashed and added servers alike, and needs no
// message from other senders.
class SlowStartLimiter {
 public:
  void record_sent() {
    if (!permits_.empty()) permits_.pop_front();
  }
  void record_answer(Time now) { answered_at_.push_back(now); }
  bool admits(Time now, Time online_since, const Settings& settings, double slow_start_capacity_per_s) {
    const double senders = std::max(1U, settings.senders);
    const double window_s = std::max(seconds(settings.overload_window), 1e-3);
    while (!answered_at_.empty() && now - answered_at_.front() > settings.overload_window)
      answered_at_.pop_front();
    const double granted_multiple = kSlowStartInitialFraction * settings.overload_multiple;
    const double own_share_per_s =
        std::max(granted_multiple * slow_start_capacity_per_s / senders, kMinPermitsPerS);
    const double permits_per_s =
        own_share_per_s + granted_multiple * static_cast<double>(answered_at_.size()) / window_s;
    if (!credited_until_) {
      credited_until_ = online_since;
      credit_ = settings.own_index / senders;
    }
    credit_ += permits_per_s * std::max(0.0, seconds(now - *credited_until_));
    credited_until_ = now;

    // Permits expire after a window, and a sender with a large share accumulates at most half of its share of
    // a window: senders that were idle must not spend their permits all at once.
    const double window_share = own_share_per_s * window_s;
    credit_ = std::min(credit_, 1.0 + window_share);
    for (; credit_ >= 1.0; credit_ -= 1.0)
      permits_.push_back(now - accrual_time(credit_ - 1.0, permits_per_s));
    while (!permits_.empty() && (now - permits_.front() > settings.overload_window ||
                                 static_cast<double>(permits_.size()) > std::max(1.0, window_share / 2.0))) {
      permits_.pop_front();
    }
    return !permits_.empty();
  }

 private:
  static Duration accrual_time(double permits, double per_s) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(permits / per_s));
  }
  // One permit in about three hours: avoids a division by zero for a server of unknown capacity.
  static constexpr double kMinPermitsPerS = 1e-4;
  std::deque<Time> answered_at_;  // within the last window
  std::deque<Time> permits_;      // granted and not used, by the time of the grant
  std::optional<Time> credited_until_;
  double credit_ = 0.0;
};

// ---- Called numbers

// Recent state of the numbers called through this sender: the first dialing of a caller that was rejected,
// who is expected to redial, and whether the number is busy.
class CalledNumbers {
 public:
  void record_unserved(Time now, Number number, Time first_dialed_at) {
    update(now, number).first_dialed_at = first_dialed_at;
  }
  void record_busy(Time now, Number number) { update(now, number).busy_until = now + kBusyNumberTtl; }
  void record_established(Number number) {
    if (const auto it = records_.find(number); it != records_.end()) it->second.first_dialed_at.reset();
  }
  std::optional<Time> first_dialed_at(Number number) const {
    const auto it = records_.find(number);
    return it == records_.end() ? std::nullopt : it->second.first_dialed_at;
  }
  bool is_busy(Time now, Number number) const {
    const auto it = records_.find(number);
    return it != records_.end() && now < it->second.busy_until;
  }

 private:
  struct Record {
    std::optional<Time> first_dialed_at;
    Time busy_until{};
    Time updated_at{};
  };
  // Erases expired records, and returns the number's record after marking it as updated.
  Record& update(Time now, Number number) {
    while (!update_order_.empty() && now - update_order_.front().second > kNumberRetention) {
      const auto it = records_.find(update_order_.front().first);
      if (it != records_.end() && now - it->second.updated_at > kNumberRetention) records_.erase(it);
      update_order_.pop_front();
    }
    update_order_.emplace_back(number, now);
    Record& record = records_[number];
    record.updated_at = now;
    return record;
  }
  std::unordered_map<Number, Record> records_;  // never iterated: its order is unspecified
  std::deque<std::pair<Number, Time>> update_order_;
};

// ---- Outlier detection

// The smoothed share of a server's setups that ended with a fault of the server. A server with faults answers
// at once and so looks idle: without this it would attract more calls than the others.
class OutlierDetector {
 public:
  void record_outcome(bool fault) {
    fault_share_ += ((fault ? 1.0 : 0.0) - fault_share_) / kFaultWindowSetups;
    if (!fault && fault_share_ >= kOutlierFaultShare) fault_share_ /= 2.0;
  }
  bool is_outlier() const { return fault_share_ >= kOutlierFaultShare; }
  void record_probe(Time now) { probed_at_ = now; }
  // Whether a call may probe the server now. Calls that can't be retried elsewhere probe at a quarter of the
  // rate.
  bool probe_due(Time now, bool idempotent) const {
    return now - probed_at_ >= kOutlierProbeInterval * (idempotent ? 1 : 4);
  }

 private:
  double fault_share_ = 0.0;
  Time probed_at_{};
};

// ---- Tables

struct Server {
  ServerEntry entry;
  std::optional<double> free_circuits;
  Time circuits_reported_at{};
  int sent_since_report = 0;
  double circuits = 1.0;
  bool circuits_reported = false;
  std::optional<double> allowed_per_s;  // as reported, for all senders together
  SmoothedRate demand{kMaxRateWindow};  // first offers of this sender's calls to the server
  ProcessorEstimate processor;
  Throttle throttle;
  SlowStartLimiter slow_start;
  OutlierDetector outlier;

  bool in_service() const { return entry.state == ServerState::in_service; }
  bool in_slow_start(Time now, const Settings& settings) const {
    return entry.online_since && now < *entry.online_since + settings.slow_start_duration;
  }
};

// State of one address, kept when the process behind it is replaced: the decaying peak of circuits in use,
// and the rate at which this sender's setups were established there.
class AddressState {
 public:
  void record_busy_circuits(Time now, double circuits) {
    peak_circuits_ = std::max(circuits, peak_circuits(now));
    peak_at_ = now;
  }
  void record_established(Time now) { established_.add(now); }
  double established_per_s(Time now) { return established_.per_second(now); }
  double peak_circuits(Time now) const {
    return peak_circuits_ * std::exp(-seconds(now - peak_at_) / seconds(kPeakCircuitsDecay));
  }

 private:
  SmoothedRate established_{kMaxRateWindow};  // setups of this sender
  double peak_circuits_ = 0.0;
  Time peak_at_{};
};

struct Attempt {
  int index;
  ServerId server;
  bool established;
};

struct Call {
  NewCall request;
  Time first_dialed_at{};  // by its caller, as far as this sender can tell
  int attempts = 0;
  int max_attempts = 0;  // from the settings at the call's arrival
  std::optional<Attempt> attempt;
  bool answered = false;                  // has its final answer, or needs none
  bool offered = false;                   // has been through pick_server() before
  std::vector<ServerId> faulted_servers;  // where attempts ended with a fault
  bool last_faulted = false;              // the last attempt ended with a fault
  bool may_have_run = false;              // an attempt ended without proof that it never ran
  std::optional<ServerId> last_server;    // of the last attempt
  std::optional<Time> queued_until;       // set while the call waits without an attempt
};

bool is_fault(const AttemptEnded& event) {
  return event.outcome == Outcome::busy_or_fault && event.reason != FullReason::number_busy;
}

bool proves_not_run(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::no_connection || outcome == Outcome::not_sent;
}

}  // namespace

// ---- Controller

class Controller::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
    update_holding_time();
  }

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    if (now != now_) previous_event_at_ = now_;
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& alternative) { on(alternative); }, event);
    actions_ = nullptr;
  }

  std::size_t ejected(Time now) const {
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [&](const auto& item) {
      return !item.second.in_service() || item.second.outlier.is_outlier() ||
             item.second.processor.wait(now, tolerated_losses()) >= kWaitBudget + kWaitScale;
    }));
  }

 private:
  // -- Server list and reports
  void on(const ServerList& list) {
    if (!polling_list_ && settings_.discovery == Discovery::on_request) {
      polling_list_ = true;
      emit(RequestServerList{});
    }
    if (list.kind == ListKind::rejected) {  // keeps the old list, and asks again after a delay
      if (settings_.discovery == Discovery::on_request)
        emit(SetTimer{settings_.poll_interval / 4, kListPollTimer});
      return;
    }
    if (list.kind != ListKind::changes) {
      for (auto& [id, server] : servers_) server.entry.state = ServerState::terminated;
    }
    for (const ServerEntry& entry : list.entries) {
      auto [it, inserted] = servers_.try_emplace(entry.server);
      const bool restarted = !inserted && it->second.entry.online_since != entry.online_since;
      if (restarted) it->second = Server{};  // estimates of the old process do not hold for the new one
      it->second.entry = entry;
    }
    // Replaced machines get new ids: terminated servers are erased, the state of their addresses is kept.
    std::erase_if(servers_,
                  [](const auto& item) { return item.second.entry.state == ServerState::terminated; });
  }

  void on(const ServerReport& event) { record_report(event.server, event.report); }

  void record_report(ServerId id, const LoadReport& report) {
    const auto it = servers_.find(id);
    if (it == servers_.end()) return;
    if (report.free_circuits) record_free_circuits(it->second, *report.free_circuits);
    if (report.circuits && *report.circuits > 0.0) {
      it->second.circuits = *report.circuits;
      it->second.circuits_reported = true;
    }
    if (report.free_circuits)
      addresses_[it->second.entry.pool].record_busy_circuits(now_,
                                                             it->second.circuits - *report.free_circuits);
    if (report.allowed_per_s) it->second.allowed_per_s = report.allowed_per_s;
    if (report.wait) it->second.processor.record_reported_wait(now_, *report.wait);
  }

  void record_free_circuits(Server& server, double free_circuits) {
    server.free_circuits = free_circuits;
    server.circuits_reported_at = now_;
    server.sent_since_report = 0;
  }

  void on(const PeerMessage&) {}

  void on(const SettingsChanged& event) {
    std::erase_if(max_time_left_, [&](const auto& item) {  // an index may belong to another class now
      return item.first >= event.settings.classes.size() || item.first >= settings_.classes.size() ||
             !(event.settings.classes[item.first] == settings_.classes[item.first]);
    });
    settings_ = event.settings;
    update_holding_time();
  }

  void update_holding_time() {
    holding_time_s_ = 1e-3;
    for (const CallClass& call_class : settings_.classes)
      holding_time_s_ = std::max(holding_time_s_, seconds(call_class.mean_holding_time));
  }

  // -- Calls and their attempts
  void on(const NewCall& event) {
    Call& call = calls_[event.call];
    call.request = event;
    call.max_attempts = settings_.max_attempts;
    call.first_dialed_at = now_;
    if (event.in_transit || settings_.layout == Layout::meshed ||
        event.call_class >= settings_.classes.size()) {
      conclude(call, Reject{event.call, {}});
    } else {
      call.first_dialed_at = estimate_arrival(event);
      if (!settings_.callers_flag_redial || event.redial)
        call.first_dialed_at = numbers_.first_dialed_at(event.number).value_or(call.first_dialed_at);
      place(call);
    }
    erase_if_finished(event.call);
  }

  // After a pause of this process, calls have been waiting for it. Their deadlines show for how long: calls
  // of one class arrive with equal times to their deadlines. No call arrived before the previous event time.
  Time estimate_arrival(const NewCall& event) {
    Duration& max_time_left = max_time_left_[event.call_class];
    const Duration time_left = event.deadline - now_;
    max_time_left = std::max(max_time_left, time_left);
    return previous_event_at_ ? std::max(now_ - (max_time_left - time_left), *previous_event_at_) : now_;
  }

  void on(const CallEstablished& event) {
    Call* call = find(event.call);
    if (call == nullptr || !call->attempt || call->attempt->index != event.attempt) return;
    call->attempt->established = true;
    numbers_.record_established(call->request.number);
    // A fault counts against its server only once the call is established elsewhere. Otherwise malformed
    // calls, which fail everywhere, would make every server an outlier.
    for (const ServerId id : call->faulted_servers) {
      if (Server* server = find(id)) server->outlier.record_outcome(true);
    }
    if (Server* server = find(event.server)) {
      server->processor.remove_outstanding(event.call);
      record_answer(*server, event.delay);
      server->outlier.record_outcome(false);
      server->throttle.record_accepted(now_);
      if (server->in_slow_start(now_, settings_)) server->slow_start.record_answer(now_);
      addresses_[server->entry.pool].record_established(now_);
    }
  }

  void on(const AttemptEnded& event) {
    Call* call = find(event.call);
    if (call == nullptr || !call->attempt || call->attempt->index != event.attempt) return;
    const bool was_established = call->attempt->established;
    call->attempt.reset();
    update_estimates(event, was_established);
    if (!proves_not_run(event.outcome)) call->may_have_run = true;
    if (event.reason == FullReason::number_busy) numbers_.record_busy(now_, call->request.number);
    if (event.call_finished) call->answered = true;
    if (!call->answered) retry_or_conclude(*call, event);
    erase_if_finished(event.call);
  }

  void on(const CallerDisconnected& event) {
    Call* call = find(event.call);
    if (call == nullptr) return;
    call->answered = true;
    if (call->attempt && !call->attempt->established && settings_.may_cancel)
      emit(CancelAttempt{event.call, call->attempt->index});
    erase_if_finished(event.call);
  }

  void on(const TimerDue& event) {
    if (event.timer == kListPollTimer) return emit(RequestServerList{});
    const auto timer = timers_.find(event.timer);
    if (timer == timers_.end()) return;
    const CallId id = timer->second;
    timers_.erase(timer);
    Call* call = find(id);
    if (call == nullptr || call->answered) return;
    if (call->attempt) return cancel_if_lost(*call);
    if (!call->queued_until) return;
    // A timer may fire early, since coarser clocks round down. Without a second timer the call would get no
    // answer.
    if (now_ < *call->queued_until) return set_call_timer(id, *call->queued_until - now_);
    call->queued_until.reset();
    place(*call);
    erase_if_finished(id);
  }

  // Updates the estimates of a server from an attempt that ended there.
  void update_estimates(const AttemptEnded& event, bool was_established) {
    record_report(event.server, event.report);
    Server* server = find(event.server);
    if (server == nullptr) return;
    const bool in_order = server->processor.remove_outstanding(event.call);
    if (was_established) return;
    switch (event.outcome) {
      case Outcome::ok:
      case Outcome::busy_or_fault:
        record_answer(*server, event.delay);
        server->throttle.record_accepted(now_);
        break;
      case Outcome::full:
        if (event.reason == FullReason::processor) {
          if (event.retry_after) server->processor.record_reported_wait(now_, *event.retry_after);
          server->processor.record_min_wait(now_, kAssumedFullServerWait);
        } else {
          server->throttle.record_accepted(now_);
          if (event.reason == FullReason::no_circuit && !event.report.free_circuits)
            record_free_circuits(*server, 0.0);
        }
        break;
      case Outcome::no_connection:  // down, unreachable or out of connections; the list shows it only later
        server->processor.record_min_wait(now_, kAssumedFullServerWait);
        break;
      case Outcome::timed_out:
      case Outcome::cancelled:
        if (in_order) server->processor.record_timeout(now_, event.delay, tolerated_losses());
        break;
      default:
        break;
    }
  }

  // Updates the loss share from an answer. A call found presumed lost is checked again at
  // kAttemptLossTimeout, when its retransmission has had time for an answer.
  void record_answer(Server& server, Duration delay) {
    loss_share_ -= loss_share_ / kLossWindowAnswers;
    for (const auto& [id, sent_at] : server.processor.record_answer(now_, delay)) {
      loss_share_ += (1.0 - loss_share_) / kLossWindowAnswers;
      const Duration time_left = sent_at + kAttemptLossTimeout - now_;
      if (settings_.may_cancel) set_call_timer(id, std::max(time_left, settings_.scheduling_interval));
    }
  }

  // How many setups in a row may stay unanswered at a server before their age counts as a wait. Later answers
  // overtake a lost setup but never one that is queued; where some were overtaken lately, a single unanswered
  // setup is as likely to be lost. Hundreds of senders would otherwise stop using every server that loses
  // answers.
  std::size_t tolerated_losses() const {
    return loss_share_ < kLossThreshold ? 0 : loss_share_ < kHeavyLossThreshold ? 1 : 2;
  }

  void set_call_timer(CallId id, Duration delay) {
    const TimerId timer{++last_timer_};
    timers_.emplace(timer, id);
    emit(SetTimer{delay, timer});
  }

  // Cancels an attempt that is presumed lost, or that is unanswered when there is just time for another one
  // within the latency objective, while losses are seen and no long wait is known at its server. A lost
  // answer would leave the call unanswered until its deadline. Calls that are not idempotent are left alone.
  void cancel_if_lost(const Call& call) {
    const Server* server = find(call.attempt->server);
    if (call.attempt->established || server == nullptr) return;
    if (class_of(call).idempotency != Idempotency::idempotent || call.attempts >= call.max_attempts) return;
    const bool in_time =
        now_ < call.first_dialed_at + class_of(call).latency_objective - settings_.release_guard;
    if (server->processor.presumed_lost(call.request.call) ||
        (in_time && tolerated_losses() > 0 && server->processor.last_sample().wait <= kWaitBudget)) {
      emit(CancelAttempt{call.request.call, call.attempt->index});
    }
  }

  void retry_or_conclude(Call& call, const AttemptEnded& event) {
    const CallId id = call.request.call;
    const bool exhausted = call.attempts >= call.max_attempts;
    const bool not_repeatable = call.may_have_run && class_of(call).idempotency != Idempotency::idempotent;
    // A busy number is busy at every server. A fault belongs to one server and is retried elsewhere; after
    // kMaxFaultRetries the call itself is taken to be the cause.
    call.last_faulted = is_fault(event);
    const bool retry_fault = call.last_faulted && call.faulted_servers.size() < kMaxFaultRetries &&
                             now_ < call.first_dialed_at + class_of(call).latency_objective;
    if (retry_fault) call.faulted_servers.push_back(event.server);
    const bool final_answer = event.outcome == Outcome::busy_or_fault && !retry_fault;
    if (exhausted || not_repeatable || final_answer) return conclude(call, Fail{id});
    if (retry_fault || proves_not_run(event.outcome)) return place(call);
    // A lost setup says nothing against its server, which may be chosen again.
    if (event.outcome == Outcome::cancelled) call.last_server.reset();
    queue(call, now_ + settings_.release_guard);
  }

  // Queues the call, without an attempt, until the given time; fails it if no time for an attempt would be
  // left.
  void queue(Call& call, Time until) {
    if (until + kAnswerMargin >= call.request.deadline) return conclude(call, Fail{call.request.call});
    call.queued_until = until;
    set_call_timer(call.request.call, until - now_);
  }

  // -- Server selection and throttling
  void place(Call& call) {
    Server* server = now_ < call.request.deadline ? pick_server(call) : nullptr;
    if (server == nullptr) return queue_or_reject(call);
    send(call, *server);
  }

  // A call that finds no server is offered again after about T_c while it can still be established within its
  // latency objective. A call rejected at once would return as a redial after its objective, and cost a
  // processor as much for a lower weight.
  void queue_or_reject(Call& call) {
    const auto next_offer_at =
        now_ + std::chrono::duration_cast<Duration>((0.5 + random_.uniform()) * kControlInterval);
    const bool any_in_service = std::any_of(servers_.begin(), servers_.end(),
                                            [](const auto& item) { return item.second.in_service(); });
    if (any_in_service &&
        next_offer_at < call.first_dialed_at + class_of(call).latency_objective - kQueuedSetupReserve &&
        next_offer_at + kAnswerMargin < call.request.deadline) {
      return queue(call, next_offer_at);
    }
    conclude(call, Reject{call.request.call, settings_.max_retry_after});
  }

  // Returns the destination while it has free circuits and its throttle passes the call. Else samples two
  // fallback servers whose wait is within budget and returns the one with fewer outstanding setups of this
  // sender. Where the destination is not available and no fallback server is within budget, samples two of
  // the others and applies their throttle. Outliers come last. Null: no server.
  // To be divided with the module. NOLINTNEXTLINE(readability-function-cognitive-complexity)
  Server* pick_server(Call& call) {
    // Repeated offers of a queued call do not count as further demand for circuits.
    const bool first_offer = !std::exchange(call.offered, true);
    std::vector<Server*> within_budget;
    std::vector<Server*> over_budget;
    std::vector<Server*> last_resort;
    Server* destination = nullptr;
    const bool others_available = other_server_available(call);
    const bool idempotent = class_of(call).idempotency == Idempotency::idempotent;
    for (auto& [id, server] : servers_) {
      if (!is_eligible(call, server)) continue;
      const bool is_destination = server.entry.pool == call.request.destination;
      // A call counts as offered at its destination even if it is then sent elsewhere: otherwise the
      // spillover itself would open the throttle.
      if (is_destination) {
        server.throttle.record_offered(now_, current_weight(call));
        if (first_offer) server.demand.add(now_);
      }
      if (!circuits_available(call, server)) continue;
      const bool probe = is_destination && server.outlier.probe_due(now_, idempotent);
      if (call.last_server == id || (others_available && server.outlier.is_outlier() && !probe)) {
        last_resort.push_back(&server);
      } else if (is_destination) {
        destination = &server;
      } else {
        (accepts_spillover(server) ? within_budget : over_budget).push_back(&server);
      }
    }
    if (destination != nullptr && passes_throttle(call, *destination)) return destination;
    Server* fallback = nullptr;
    if (!within_budget.empty() || destination == nullptr)
      fallback = sample_and_offer(call, within_budget.empty() ? over_budget : within_budget, first_offer);
    // An outlier that answers some setups is better than no server.
    return fallback != nullptr ? fallback : sample_and_offer(call, last_resort, first_offer);
  }

  Server* sample_and_offer(const Call& call, const std::vector<Server*>& from, bool first_offer) {
    Server* sampled = sample(from);
    if (sampled == nullptr) return nullptr;
    sampled->throttle.record_offered(now_, current_weight(call));
    if (first_offer) sampled->demand.add(now_);
    return passes_throttle(call, *sampled) ? sampled : nullptr;
  }

  // Whether a server may receive calls whose destination is another. Its wait becomes visible only when the
  // first answers are late, and by then all senders have sent their spillover. So the setups outstanding
  // there, multiplied by the number of senders as if each had as many as this one, must be worked off within
  // kSpilloverWaitBudget (queue length over service rate, as in the paper).
  // A server whose long wait has expired is probed with one setup in the time in which kRecoveryFraction of
  // this sender's share amounts to one setup.
  bool accepts_spillover(const Server& server) {
    const double senders = std::max(1U, settings_.senders);
    if (server.processor.wait(now_, tolerated_losses()) > kWaitBudget) return false;
    const auto last = server.processor.last_sample();
    const auto outstanding = static_cast<double>(server.processor.outstanding());
    if (last.wait > kWaitBudget &&
        seconds(now_ - last.at) * kRecoveryFraction * capacity_per_s(server) < senders * (1.0 + outstanding))
      return false;
    return outstanding * senders * holding_time_s_ <= server.circuits * seconds(kSpilloverWaitBudget);
  }

  // Power of two choices: of two sampled servers, returns the one with fewer outstanding setups of this
  // sender. Servers may differ tenfold in size, so they are sampled, and their setups compared, in proportion
  // to their circuits.
  Server* sample(const std::vector<Server*>& from) {
    if (from.empty()) return nullptr;
    double circuits = 0.0;
    for (const Server* server : from) circuits += server->circuits;
    const auto sample_one = [&] {
      double position = random_.uniform() * circuits;
      for (Server* server : from) {
        // NOLINTNEXTLINE(bugprone-assignment-in-if-condition)
        if ((position -= server->circuits) < 0.0) return server;
      }
      return from.back();
    };
    Server* first = sample_one();
    Server* second = sample_one();
    const auto load = [](const Server* server) {
      return static_cast<double>(server->processor.outstanding() + 1) / server->circuits;
    };
    return load(second) < load(first) ? second : first;
  }

  bool passes_throttle(const Call& call, Server& server) {
    const double fair_share_per_s = capacity_per_s(server) / std::max(1U, settings_.senders);
    return random_.uniform() >=
           server.throttle.rejection_probability(now_, current_weight(call), server.processor,
                                                 server.processor.wait(now_, tolerated_losses()),
                                                 fair_share_per_s, settings_.senders);
  }

  // Weight of the call now: its class's weight within the latency objective, counted from the caller's first
  // dialing, and the late fraction of it afterwards; 0 while the called number is busy.
  double current_weight(const Call& call) const {
    const CallClass& call_class = class_of(call);
    if (numbers_.is_busy(now_, call.request.number)) return 0.0;
    return now_ - call.first_dialed_at < call_class.latency_objective
               ? call_class.priority_weight
               : call_class.priority_weight * call_class.late_weight_fraction;
  }

  // Free circuits are reported at intervals. While they are fewer than the calls that all senders bring
  // before the next report, a sender uses no more than its equal share of them, and of those released
  // meanwhile: otherwise all senders would compete for the last circuits and be rejected. A share of less
  // than one circuit is used with that probability.
  bool circuits_available(const Call& call, Server& server) {
    if (!server.free_circuits) return true;
    const double free =
        *server.free_circuits + seconds(now_ - server.circuits_reported_at) * capacity_per_s(server);
    const double needed = seconds(kCircuitReportDelay) * capacity_per_s(server);
    if (free >= std::max(kPlentifulCircuitsFactor * needed, call.request.circuits)) return true;
    const double senders = std::max(1U, settings_.senders);
    const double share_left = free / senders - static_cast<double>(server.sent_since_report);
    // Own calls expected before the next report.
    const double own_demand = server.demand.per_second(now_) * seconds(kCircuitReportDelay);
    return share_left >= call.request.circuits || random_.uniform() * std::max(own_demand, 1e-9) < share_left;
  }

  // Whether the server is in service, open to the call's class, and not the one of the last attempt, unless
  // that attempt ended with a fault.
  bool accepts(const Call& call, const Server& server) const {
    if (!server.in_service() || (call.last_server == server.entry.server && !call.last_faulted)) return false;
    const auto& pools = class_of(call).open_pools;
    return !pools || std::find(pools->begin(), pools->end(), server.entry.pool) != pools->end();
  }

  bool other_server_available(const Call& call) const {
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& item) {
      return call.last_server != item.first && accepts(call, item.second) &&
             !item.second.outlier.is_outlier();
    });
  }

  // Whether the server accepts the call and, in slow start, has a permit for it.
  bool is_eligible(const Call& call, Server& server) {
    if (!accepts(call, server)) return false;
    return !server.in_slow_start(now_, settings_) ||
           server.slow_start.admits(now_, *server.entry.online_since, settings_,
                                    slow_start_capacity_per_s(server));
  }

  void send(Call& call, Server& server) {
    call.attempt = Attempt{call.attempts++, server.entry.server, false};
    call.last_server = server.entry.server;
    server.processor.record_sent(now_, call.request.call);
    server.slow_start.record_sent();
    if (server.outlier.is_outlier()) server.outlier.record_probe(now_);
    ++server.sent_since_report;
    emit(SendSetup{call.request.call, server.entry.server, call.request.deadline});
    // Leaves time for another attempt within the latency objective, should this one stay unanswered.
    const Time cancel_at = call.first_dialed_at + class_of(call).latency_objective - settings_.release_guard -
                           kQueuedSetupReserve;
    if (tolerated_losses() > 0 && settings_.may_cancel && cancel_at > now_ &&
        call.attempts < call.max_attempts)
      set_call_timer(call.request.call, std::max(cancel_at - now_, kAttemptLossTimeout));
  }

  // Estimated capacity of a server for the setups of all senders together. By Little's law it is the peak of
  // circuits in use at its address over the holding time of a call. The configured number of circuits says
  // less, since it is planned for traffic that may not come. Where no circuits are reported, the estimate
  // assumes that every sender has as many calls established there as this one.
  double capacity_per_s(const Server& server) {
    AddressState& address = addresses_[server.entry.pool];
    if (!server.circuits_reported) return address.established_per_s(now_) * std::max(1U, settings_.senders);
    return std::clamp(address.peak_circuits(now_), kMinPeakCircuitsShare * server.circuits, server.circuits) /
           holding_time_s_;
  }

  // Estimated capacity during slow start: the minimum that the settings guarantee, or the reported rate.
  double slow_start_capacity_per_s(const Server& server) {
    const double guaranteed = settings_.slow_start_fraction * capacity_per_s(server);
    return server.allowed_per_s ? std::max(guaranteed, kReportedRateConfidence * *server.allowed_per_s)
                                : guaranteed;
  }

  // -- Final answers and lookups
  template <class Answer>
  void conclude(Call& call, Answer answer) {
    call.answered = true;
    numbers_.record_unserved(now_, call.request.number, call.first_dialed_at);
    // Reject invites a retry, so a call that may have run and is not idempotent fails instead.
    if (call.may_have_run && class_of(call).idempotency != Idempotency::idempotent) {
      emit(Fail{call.request.call});
    } else {
      emit(answer);
    }
  }

  void erase_if_finished(CallId id) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && it->second.answered && !it->second.attempt) calls_.erase(it);
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
  void emit(Action action) { actions_->push_back(std::move(action)); }

  static constexpr TimerId kListPollTimer{0};

  Settings settings_;
  Random random_;
  // Of the class with the longest mean holding time: it is safer to underestimate capacity.
  double holding_time_s_ = 1e-3;
  Time now_{};
  std::optional<Time> previous_event_at_;         // the last event time before now_
  std::map<ClassIndex, Duration> max_time_left_;  // maximum time from a call's arrival to its deadline
  std::vector<Action>* actions_ = nullptr;
  std::map<ServerId, Server> servers_;
  std::map<Pool, AddressState> addresses_;  // kept when the processes there are replaced
  CalledNumbers numbers_;
  std::unordered_map<CallId, Call> calls_;  // never iterated: its order is unspecified
  std::map<TimerId, CallId> timers_;
  double loss_share_ = 0.0;  // smoothed share of overtaken setups, over all servers
  std::uint64_t last_timer_ = 0;
  bool polling_list_ = false;
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
