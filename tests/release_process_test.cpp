// Established calls that are over are released to their callers by the real program, whatever the state of
// their server and of the endpoint list. The stand-ins of lab/call_testbed.h judge by the protocol's limits.
#include <iostream>

#include "lab/call_testbed.h"

using namespace graniterun;
using namespace graniterun::test;
using lab::CallTestbed;
using namespace std::chrono_literals;

namespace {

std::string binary;
constexpr auto kStepTimeout = std::chrono::milliseconds(kTestTimeoutMs);
constexpr auto kReleaseTimeout = 8s + 500ms;  // the protocol's longest limit, and the time to judge it

void check_no_violations(const CallTestbed& testbed) {
  const std::vector<std::string> violations = testbed.violations();
  for (const std::string& violation : violations) std::cerr << violation << '\n';
  if (!violations.empty()) std::cerr << testbed.log();
  CHECK(violations.empty());
}

// Report a4a723: the INVITE is outstanding when the endpoint list removes its server, which goes on serving.
void call_established_after_removal_of_its_server_is_released() {
  CallTestbed testbed({binary, 1});
  testbed.start_gatekeeper();
  const std::string id = testbed.place_call(5s);
  lab::StandInServer& server = testbed.server(0);
  CHECK(testbed.run_until([&] { return server.has_unanswered(id); }, kStepTimeout));
  testbed.publish({{server.uid(), "gone"}});
  testbed.run_for(300ms);
  server.answer(id);
  CHECK(testbed.run_until([&] { return testbed.history(id).established.has_value(); }, kStepTimeout));
  testbed.run_for(300ms);
  server.end_call(id);
  testbed.run_until([&] { return testbed.history(id).released.has_value(); }, kReleaseTimeout);
  check_no_violations(testbed);
}

}  // namespace

int main(int, char** argv) {
  binary = argv[1];
  call_established_after_removal_of_its_server_is_released();
}
