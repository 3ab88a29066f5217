// Report 2aa1f5: callers of calls that are over get their release from the real program although something at
// the server's address still answers, and calls at a busy server that is well are kept
// (docs/incidents/2aa1f5.md).
#include <iostream>

#include "lab/call_testbed.h"
#include "lab/trial_runner.h"

using namespace graniterun;
using namespace graniterun::test;
using lab::CallTestbed;
using lab::StandInServer;
using namespace std::chrono_literals;

namespace {

std::string binary;
constexpr auto kStepTimeout = std::chrono::milliseconds(kTestTimeoutMs);
constexpr auto kReleaseTimeout = 8s + 500ms;  // the protocol's longest limit, and the time to judge it
constexpr auto kSetupInterval = 50ms;
constexpr auto kSetupPatience = 600ms;

constexpr const char* kBusy = "503 Service Unavailable";

// One gatekeeper with one server and a call that is established there.
struct EstablishedCall {
  EstablishedCall() : testbed({binary, 1}), server(testbed.server(0)) {
    testbed.start_gatekeeper();
    id = establish();
  }
  std::string establish() {
    server.set_answers_at_once(true);
    std::string placed = testbed.place_call(5s);
    CHECK(testbed.run_until([&] { return testbed.history(placed).established.has_value(); }, kStepTimeout));
    return placed;
  }
  // Callers go on placing calls until the condition holds, or for that time.
  bool place_calls_until(const std::function<bool()>& condition, lab::Clock::duration limit) {
    const lab::TimePoint end = lab::Clock::now() + limit;
    while (!condition() && lab::Clock::now() < end) {
      testbed.place_call(kSetupPatience);
      testbed.run_for(kSetupInterval);
    }
    return condition();
  }
  void place_calls_for(lab::Clock::duration time) {
    place_calls_until([] { return false; }, time);
  }
  bool is_released() const { return testbed.history(id).released.has_value(); }
  void expect_release() {
    testbed.run_until([&] { return is_released(); }, kReleaseTimeout);
    CHECK(testbed.history(id).ended.has_value());
    expect_no_violation();
  }
  void expect_no_violation() {
    testbed.run_until([&] { return testbed.all_settled(); }, kReleaseTimeout);
    std::cerr << testbed.describe(testbed.history(id)) << " rejections=" << server.rejections() << '\n';
    CHECK_EQ(testbed.report_violations(), 0U);
  }
  CallTestbed testbed;
  StandInServer& server;
  std::string id{};
};

// As in the report: the server drains, and the gatekeeper is told late. Until then it sends setups, which get
// rejections only.
void rejections_until_the_drain_is_known() {
  EstablishedCall trial;
  trial.testbed.set_discovery_reachable(false);
  trial.server.lose_calls_behind_open_connections();
  trial.testbed.publish({{trial.server.uid(), "draining"}});
  trial.place_calls_for(3s);
  CHECK(trial.server.rejections() > 10);
  trial.testbed.set_discovery_reachable(true);
  trial.expect_release();
}

// The rejections go on, and the list never changes.
void rejections_without_end() {
  EstablishedCall trial;
  trial.server.lose_calls_behind_open_connections();
  trial.place_calls_until([&] { return trial.is_released(); }, kReleaseTimeout);
  CHECK(trial.server.rejections() > 20);
  trial.expect_release();
}

// Connects succeed, and bytes come on each connection that never become a message.
void pieces_of_messages_without_end() {
  EstablishedCall trial;
  trial.server.lose_calls_behind_open_connections();
  trial.server.resume_listening();
  const auto write_piece = [&] {
    trial.server.write_bytes("NOTIFY sip:x@net SIP/2.0\r\nCall-ID: ");
    return trial.is_released();
  };
  trial.testbed.run_until(
      [&] {
        trial.testbed.run_for(kSetupInterval);
        return write_piece();
      },
      kReleaseTimeout);
  trial.expect_release();
}

// The server's process is replaced within a second, and the list does not tell it. The new process
// establishes calls of its own.
void new_process_does_not_keep_the_calls_of_the_former() {
  EstablishedCall trial;
  trial.server.stop();
  trial.testbed.run_for(1s);
  trial.server.start();
  trial.server.set_holding_time(500ms);
  trial.place_calls_until([&] { return trial.is_released(); }, kReleaseTimeout);
  CHECK(trial.server.rejections() == 0);
  trial.expect_release();
}

// The same after the machine has vanished: its connections stay open and silent for 3 s.
void returned_machine_does_not_keep_the_calls_of_before() {
  EstablishedCall trial;
  trial.server.vanish();
  trial.place_calls_for(3s);
  trial.server.start();
  trial.server.set_holding_time(500ms);
  trial.place_calls_until([&] { return trial.is_released(); }, kReleaseTimeout);
  trial.expect_release();
}

// A new server takes the address while the former one's connections stay open, and the list tells it 6 s
// later.
void new_server_at_the_address_does_not_keep_the_calls_of_the_former() {
  EstablishedCall trial;
  trial.testbed.set_discovery_reachable(false);
  trial.server.lose_calls_behind_open_connections();
  trial.place_calls_for(1500ms);
  StandInServer& successor = trial.testbed.add_server(&trial.server);
  successor.set_answers_at_once(true);
  successor.set_holding_time(500ms);
  trial.testbed.publish({{trial.server.uid(), "gone"}, {successor.uid(), "ready"}});
  trial.place_calls_for(4500ms);
  trial.testbed.set_discovery_reachable(true);
  trial.expect_release();
}

// A server that is full rejects all setups for 10 s. Its call goes on, and ends by its release.
void busy_server_keeps_its_calls(bool periodic_reports, std::chrono::milliseconds refuses_for) {
  EstablishedCall trial;
  trial.server.set_periodic_reports(periodic_reports);
  trial.server.set_rejection(kBusy);
  trial.place_calls_for(2s);
  if (refuses_for > 0ms) {
    trial.server.stop_listening();
    trial.testbed.schedule(refuses_for, [&] { trial.server.resume_listening(); });
  }
  trial.place_calls_for(8500ms);
  CHECK(trial.server.rejections() > 40);
  CHECK(!trial.is_released());
  trial.server.end_call(trial.id);
  trial.expect_release();
}

}  // namespace

// Usage: PROGRAM [TRIAL]: all trials, or those whose name begins with TRIAL.
int main(int argc, char** argv) {
  binary = argv[1];
  std::vector<lab::Trial> trials = {
      {"rejections_until_the_drain_is_known", rejections_until_the_drain_is_known},
      {"rejections_without_end", rejections_without_end},
      {"pieces_of_messages_without_end", pieces_of_messages_without_end},
      {"new_process", new_process_does_not_keep_the_calls_of_the_former},
      {"returned_machine", returned_machine_does_not_keep_the_calls_of_before},
      {"new_server_at_the_address", new_server_at_the_address_does_not_keep_the_calls_of_the_former},
      {"busy_server", [] { busy_server_keeps_its_calls(true, 0ms); }},
      {"busy_quiet_server", [] { busy_server_keeps_its_calls(false, 0ms); }},
      {"busy_server_that_refuses_connects", [] { busy_server_keeps_its_calls(true, 1500ms); }},
      {"busy_quiet_server_that_refuses_connects", [] { busy_server_keeps_its_calls(false, 1500ms); }},
  };
  if (argc > 2) std::erase_if(trials, [&](const auto& trial) { return !trial.name.starts_with(argv[2]); });
  CHECK(!trials.empty());
  constexpr std::size_t kParallel = 5;
  constexpr unsigned kTrialSeconds = 60;
  return run_trials(trials, kParallel, kTrialSeconds) == 0 ? 0 : 1;
}
