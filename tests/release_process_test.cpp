// Established calls that are over are released to their callers by the real program, in every state of their
// server, of the endpoint list and of the process (docs/design/server-watch.md). The stand-ins of
// lab/call_testbed.h judge by the protocol's limits.
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
constexpr auto kSettlingTime = 300ms;         // for a change of the list or a close to take effect

// A running gatekeeper with one call at the first server.
struct OneCall {
  explicit OneCall(int servers = 1) : testbed({binary, servers}) {
    testbed.start_gatekeeper();
    id = testbed.place_call(5s);
    await([&] { return !testbed.history(id).server.empty(); });
  }
  StandInServer& server() { return *testbed.server_of(id); }
  const lab::CallHistory& call() { return testbed.history(id); }
  void await(const std::function<bool()>& condition) {
    const bool held = testbed.run_until(condition, kStepTimeout);
    if (!held) std::cerr << testbed.describe(call()) << '\n' << testbed.log();
    CHECK(held);
  }
  void establish() {
    server().answer(id);
    await([&] { return call().established.has_value(); });
  }
  void publish(const std::string& state) {
    testbed.publish({{server().uid(), state}});
    testbed.run_for(kSettlingTime);
  }
  void expect_release() {
    CHECK(call().ended.has_value());
    testbed.run_until([&] { return call().released.has_value(); }, kReleaseTimeout);
    CHECK_EQ(testbed.report_violations(), 0U);
  }
  void end_and_expect_release() {
    CHECK(!call().released);  // it stands until its server ends it
    server().end_call(id);
    expect_release();
  }
  CallTestbed testbed;
  std::string id;
};

// Report a4a723: the INVITE is outstanding when the endpoint list removes its server, which goes on serving.
void call_established_after_removal_of_its_server_is_released() {
  OneCall trial;
  trial.publish("gone");
  trial.establish();
  trial.testbed.run_for(kSettlingTime);
  trial.end_and_expect_release();
}

void call_established_before_removal_stands_until_its_release() {
  OneCall trial;
  trial.establish();
  trial.publish("gone");
  trial.testbed.run_for(2s);
  trial.end_and_expect_release();
}

void release_after_close_by_removed_server_arrives_on_new_connection() {
  for (const bool reset : {false, true}) {
    OneCall trial;
    trial.establish();
    trial.publish("gone");
    reset ? trial.server().reset_connections() : trial.server().close_connections();
    trial.testbed.run_for(kSettlingTime);
    trial.end_and_expect_release();
  }
}

void release_after_noise_from_removed_server_arrives_on_new_connection() {
  OneCall trial;
  trial.establish();
  trial.publish("gone");
  trial.server().write_noise();
  trial.testbed.run_for(kSettlingTime);
  trial.end_and_expect_release();
}

void call_at_removed_server_that_stops_is_released() {
  OneCall trial;
  trial.publish("gone");
  trial.establish();
  trial.server().stop();
  trial.expect_release();
}

void call_at_removed_server_that_vanishes_is_released() {
  OneCall trial;
  trial.publish("gone");
  trial.establish();
  trial.server().vanish();
  trial.expect_release();
}

void call_at_server_that_vanishes_and_is_then_removed_is_released() {
  OneCall trial;
  trial.establish();
  trial.server().vanish();
  trial.testbed.run_for(1s);
  trial.publish("gone");
  trial.expect_release();
}

void call_at_removed_server_that_hangs_is_released_after_it_resumes() {
  OneCall trial;
  trial.publish("gone");
  trial.establish();
  trial.server().freeze();
  trial.testbed.run_for(3s);
  trial.server().resume();
  trial.end_and_expect_release();
}

// The kernel accepts connections for a hung process, which is no sign that it will ever send the release.
void call_at_removed_server_that_hangs_for_good_is_released() {
  OneCall trial;
  trial.publish("gone");
  trial.establish();
  trial.server().freeze();
  trial.testbed.record(trial.id).ended = lab::Clock::now();
  trial.expect_release();
}

void call_at_server_whose_address_is_reassigned_is_released() {
  for (const bool closed : {false, true}) {
    OneCall trial;
    trial.establish();
    StandInServer& former = trial.server();
    former.stop_listening();
    StandInServer& successor = trial.testbed.add_server(&former);
    trial.testbed.publish({{former.uid(), "gone"}, {successor.uid(), "ready"}});
    trial.testbed.run_for(kSettlingTime);
    if (!closed) {
      trial.end_and_expect_release();
    } else {
      former.reset_connections();  // the release can't be sent any more
      former.end_call(trial.id);
      trial.expect_release();
    }
  }
}

void call_at_stopped_server_is_released_while_discovery_is_down() {
  OneCall trial;
  trial.establish();
  trial.testbed.set_discovery_reachable(false);
  trial.server().stop();
  trial.expect_release();
}

void call_at_restarted_server_is_released() {
  OneCall trial;
  trial.establish();
  trial.server().stop();
  trial.testbed.run_for(kSettlingTime);
  trial.server().start();
  trial.testbed.run_for(kSettlingTime);
  trial.testbed.publish({{trial.server().uid(), "ready"}}, true);
  trial.expect_release();
}

// The next process has no call at the server, but its release comes on the next connection only.
void release_after_restart_of_gatekeeper_is_forwarded() {
  for (const char* state : {"ready", "draining", "gone"}) {
    OneCall trial(2);
    trial.establish();
    trial.publish(state);
    CHECK_EQ(trial.testbed.stop_gatekeeper(), 0);
    trial.testbed.start_gatekeeper();
    trial.testbed.run_for(kSettlingTime);
    trial.end_and_expect_release();
  }
}

// A setup that waits for a connection to a server that leaves service is sent elsewhere, or answered, in
// time.
void setup_waiting_for_a_removed_server_is_answered() {
  CallTestbed testbed({binary, 1});
  testbed.server(0).vanish();
  testbed.start_gatekeeper();
  const std::string id = testbed.place_call(2s);
  testbed.run_for(100ms);
  testbed.publish({{testbed.server(0).uid(), "gone"}});
  testbed.run_until([&] { return testbed.history(id).rejected.has_value(); }, 3s);
  CHECK_EQ(testbed.report_violations(), 0U);
}

}  // namespace

int main(int, char** argv) {
  binary = argv[1];
  const std::vector<lab::Trial> trials = {
      {"established_after_removal", call_established_after_removal_of_its_server_is_released},
      {"established_before_removal", call_established_before_removal_stands_until_its_release},
      {"closed_after_removal", release_after_close_by_removed_server_arrives_on_new_connection},
      {"noise_after_removal", release_after_noise_from_removed_server_arrives_on_new_connection},
      {"stopped_after_removal", call_at_removed_server_that_stops_is_released},
      {"vanished_after_removal", call_at_removed_server_that_vanishes_is_released},
      {"vanished_before_removal", call_at_server_that_vanishes_and_is_then_removed_is_released},
      {"hung_after_removal", call_at_removed_server_that_hangs_is_released_after_it_resumes},
      {"hung_for_good", call_at_removed_server_that_hangs_for_good_is_released},
      {"address_reassigned", call_at_server_whose_address_is_reassigned_is_released},
      {"discovery_down", call_at_stopped_server_is_released_while_discovery_is_down},
      {"restarted_server", call_at_restarted_server_is_released},
      {"restarted_gatekeeper", release_after_restart_of_gatekeeper_is_forwarded},
      {"waiting_setup", setup_waiting_for_a_removed_server_is_answered},
  };
  constexpr std::size_t kParallel = 4;
  constexpr unsigned kTrialSeconds = 60;
  return run_trials(trials, kParallel, kTrialSeconds) == 0 ? 0 : 1;
}
