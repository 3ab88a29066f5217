// Evidence that calls stand: the cases of report 2aa1f5, and a model of processes that follow one another at
// a server's address, against which random steps are checked (docs/design/server-watch.md).
#include "upstream/call_evidence.h"

#include <iostream>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "check.h"

using namespace graniterun;
using namespace graniterun::upstream;
using namespace std::chrono_literals;

namespace {

Time at(Duration time) { return Time{} + 100s + time; }

bool is_call_stale(const CallEvidence& evidence, Time established, Time now) {
  const auto stale_before = evidence.stale_before(now);
  return stale_before && established < *stale_before;
}

void a_call_is_stale_after_the_maximum_age() {
  CallEvidence evidence;
  evidence.call_established(at(0s), 1);
  evidence.calls_served(at(1s), 1);
  CHECK(!is_call_stale(evidence, at(0s), at(1s) + kMaxEvidenceAge));
  CHECK(is_call_stale(evidence, at(0s), at(1s) + kMaxEvidenceAge + 1ms));
}

void bytes_and_other_calls_successes_are_no_evidence() {
  CallEvidence evidence;
  evidence.calls_served(at(0s), 1);
  for (Duration time = 0s; time < 8s; time += 100ms) {
    evidence.connection_alive(1);
    evidence.connection_opened(2);
    evidence.call_established(at(time), 1);
  }
  CHECK(is_call_stale(evidence, at(0s), at(7600ms)));
  CHECK(!is_call_stale(evidence, at(5s), at(7600ms)));
}

void after_a_failed_connect_a_new_connection_is_evidence_for_new_calls_only() {
  CallEvidence evidence;
  evidence.calls_served(at(0s), 1);
  evidence.process_in_doubt(at(1s), 2);
  evidence.connection_opened(3);
  evidence.calls_served(at(7s), 3);
  evidence.call_established(at(2s), 3);
  CHECK(!is_call_stale(evidence, at(0s), at(7400ms)));
  CHECK(is_call_stale(evidence, at(0s), at(7600ms)));
  CHECK(!is_call_stale(evidence, at(2s), at(9600ms)));
}

void a_connection_of_before_shows_that_the_process_is_the_same() {
  CallEvidence evidence;
  evidence.calls_served(at(0s), 1);
  evidence.process_in_doubt(at(1s), 2);
  evidence.connection_opened(3);
  evidence.calls_served(at(7s), 3);
  evidence.connection_alive(1);
  CHECK(!evidence.in_doubt());
  CHECK(!is_call_stale(evidence, at(0s), at(14s)));
}

void bytes_from_before_the_next_process_do_not_show_that() {
  CallEvidence evidence;
  evidence.calls_served(at(0s), 1);
  evidence.process_in_doubt(at(1s), 2);
  evidence.connection_alive(1);
  evidence.connection_opened(3);
  evidence.calls_served(at(7s), 3);
  CHECK(is_call_stale(evidence, at(0s), at(7600ms)));
}

void a_release_of_a_call_of_before_shows_that_the_process_is_the_same() {
  CallEvidence evidence;
  evidence.calls_served(at(0s), 1);
  evidence.process_in_doubt(at(1s), 2);
  evidence.connection_opened(3);
  evidence.calls_served(at(7s), 3);
  evidence.call_known(at(500ms));
  CHECK(!is_call_stale(evidence, at(0s), at(14s)));
}

// Processes with an address follow one another. What is left of an ended one answers on its connections until
// the next one starts; connects fail in between, at least once.
class Model {
 public:
  explicit Model(std::uint64_t seed) : random_(seed) {}

  void run() {
    constexpr int kSteps = 1500;
    for (int i = 0; i < kSteps; ++i) {
      now_ += std::chrono::milliseconds(1 + random_() % 80);
      step();
      check();
    }
  }
  int calls_that_ended() const { return ended_; }
  int calls_that_stood_long() const { return stood_long_; }

 private:
  struct Connection {
    std::uint32_t number{};
    int process{};
  };
  struct Call {
    Time established{};
    int process{};
    std::optional<Time> over{};
  };

  void step() {
    if (!running_) return step_between_processes();
    switch (random_() % 40) {
      case 0:
        if (random_() % 4 == 0) return end_process();
        return;
      case 1:  // a well process refuses one connect
        ++last_started_;
        return evidence_.process_in_doubt(now_, last_started_);
      case 2:
        if (connections_.size() > 2) connections_.erase(connections_.begin());
        return;
      default:
        return step_of_process();
    }
  }
  void step_of_process() {
    const bool evidence_due = now_ - last_served_ > 2s;
    if (connections_.empty() || connections_.back().process != process_ || evidence_due) return open();
    const Connection& connection = connections_[random_() % connections_.size()];
    if (connection.process != process_) return;
    if (random_() % 4 == 0) {
      calls_.push_back({now_, process_, {}});
      evidence_.call_established(now_, connection.number);
    }
    evidence_.connection_alive(connection.number);
  }
  void open() {
    connections_.push_back({++last_started_, process_});
    evidence_.connection_opened(last_started_);
    evidence_.connection_alive(last_started_);
    evidence_.calls_served(now_, last_started_);
    last_served_ = now_;
  }
  void end_process() {
    running_ = false;
    for (Call& call : calls_) {
      if (!call.over) call.over = now_;
    }
  }
  void step_between_processes() {
    switch (random_() % 8) {
      case 0:
        evidence_.process_in_doubt(now_, ++last_started_);
        failed_connect_ = true;
        return;
      case 1:
        if (!std::exchange(failed_connect_, false)) return;
        connections_.clear();
        ++process_;
        running_ = true;
        return;
      default:
        for (const Connection& connection : connections_) evidence_.connection_alive(connection.number);
    }
  }
  // A call that is over is stale in time, and one whose process lives is kept.
  void check() {
    const auto stale_before = evidence_.stale_before(now_);
    std::erase_if(calls_, [&](const Call& call) {
      const bool is_stale = stale_before && call.established < *stale_before;
      if (call.over && now_ - *call.over > kMaxEvidenceAge) CHECK(is_stale);
      // The process was asked for evidence in time, and a connection of before is there to resolve doubts.
      if (is_stale && !call.over) ++cut_;
      if (is_stale && call.over) ++ended_;
      if (!is_stale && !call.over && now_ - call.established > 2 * kMaxEvidenceAge) ++stood_long_;
      return is_stale;
    });
    if (stale_before) evidence_.no_calls_before(*stale_before);
    CHECK_EQ(cut_, 0);
  }

  std::mt19937_64 random_;
  CallEvidence evidence_{};
  Time now_ = at(0s);
  Time last_served_{};
  int process_ = 0;
  bool running_ = true;
  bool failed_connect_ = false;
  std::uint32_t last_started_ = 0;
  std::vector<Connection> connections_{};
  std::vector<Call> calls_{};
  int ended_ = 0;
  int cut_ = 0;
  int stood_long_ = 0;
};

void random_steps_keep_the_invariants() {
  constexpr std::uint64_t kSeeds = 300;
  int ended = 0;
  int stood_long = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Model model(seed);
    model.run();
    ended += model.calls_that_ended();
    stood_long += model.calls_that_stood_long();
  }
  CHECK(ended > 0);
  CHECK(stood_long > 0);
}

}  // namespace

int main() {
  a_call_is_stale_after_the_maximum_age();
  bytes_and_other_calls_successes_are_no_evidence();
  after_a_failed_connect_a_new_connection_is_evidence_for_new_calls_only();
  a_connection_of_before_shows_that_the_process_is_the_same();
  bytes_from_before_the_next_process_do_not_show_that();
  a_release_of_a_call_of_before_shows_that_the_process_is_the_same();
  random_steps_keep_the_invariants();
}
