// Callers set up calls over SIP and UDP, and the gatekeeper is upgraded before their setup servers answer.
// The servers release the calls while the old process still runs. Each must be released towards its caller.
#include <algorithm>

#include "stand.h"

namespace {

using namespace stand;

constexpr double kReleaseLimit = 1.05;  // from the setup server's release, with the sockets' 50 ms
constexpr double kKillAfter =
    5.0 + 0.7;  // SIGKILL after SIGTERM: the longest deadline, 5 s at most, and 0.7 s
// Rules that count what a gatekeeper holds go unchecked until 5 s after the overlap of the processes; then
// the longest limit of the release rule, 8 s, and the sockets' 50 ms. A release that comes by then counts.
constexpr double kObserved = 5.0 + 8.05;
constexpr std::uint64_t kCallers = 12;

bool play() {
  Journal journal;
  PlatformServer first("s-1");
  PlatformServer second("s-2");
  first.answer_after = second.answer_after = 1.0;  // wanted within 1.5 s
  first.hold = second.hold = 1.5;
  journal.tell(target("s-1", first.address(), 0, "ready") + "," + target("s-2", second.address(), 1, "ready"),
               true);
  const int listener = listening_socket();  // the platform holds the callers' listening socket
  const std::string listen = "127.0.0.1:" + std::to_string(bound_port(listener));
  const std::string old_management = "127.0.0.1:" + std::to_string(free_port());
  const std::string new_management = "127.0.0.1:" + std::to_string(free_port());
  const std::string sip = "127.0.0.1:" + std::to_string(free_port());
  const std::string path = folder() + "/config.json";
  const std::string deploy = folder() + "/deploy.json";
  write_file(path, config(listen, old_management, journal.address(), journal.known()));
  write_file(deploy, "{\"sip\":{\"udp\":\"" + sip + "\",\"servers\":\"platform\"}}");
  const auto variables = [&](const std::string& management) {
    return std::map<std::string, std::string>{{"RELAY_NAME", "n1"},        {"RELAY_LISTEN", listen},
                                              {"RELAY_CONFIG", path},      {"RELAY_MANAGEMENT", management},
                                              {"RELAY_INHERITED_FD", "7"}, {"TMPDIR", folder()}};
  };
  const auto command = run_command("--deploy " + deploy);
  Program old_process;
  Program new_process;
  old_process.start("old process", command, variables(old_management), folder() + "/old.log", listener);
  wait_ready(old_management, 30);

  std::vector<std::unique_ptr<SipCaller>> callers;
  for (std::uint64_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<SipCaller>(sip, hex_id(i)));
    callers.back()->invite();
    run_for(0.01);
  }
  double stopped_at = -1;
  if (trouble()) {
    new_process.start("new process", command, variables(new_management), folder() + "/new.log", listener);
    wait_ready(new_management, 6);
    old_process.signal(SIGTERM);
    stopped_at = now();
  }
  double observed_until = now() + 3.0 + kObserved;
  bool overlap = trouble();
  while (now() < observed_until) {
    run_for(0.1);
    if (!overlap) continue;
    if (now() > stopped_at + kKillAfter) old_process.signal(SIGKILL);
    if (old_process.running()) {
      observed_until = now() + kObserved;
    } else {
      overlap = false;
    }
  }

  // The gatekeeper gives SIP calls names of its own towards setup servers, so the calls are counted together.
  double last_end = -1;
  std::size_t ended = 0;
  for (const PlatformServer* server : {&first, &second}) {
    for (const auto& [id, call] : server->calls) {
      if (call.released < 0) continue;
      ++ended;
      last_end = std::max(last_end, call.released);
    }
  }
  if (ended < kCallers) throw CannotRun("not all calls stood and ended");
  if (trouble() && last_end > stopped_at + kKillAfter)
    throw CannotRun("a call did not end while the old process might run");
  bool held = true;
  for (const auto& caller : callers) {
    if (caller->answered < 0) throw CannotRun("a call was not answered");
    rec("SIP caller %s: answered at %.3f, released %s", caller->id().c_str(), caller->answered,
        caller->released < 0                           ? "never"
        : caller->released <= last_end + kReleaseLimit ? "in time"
                                                       : "late");
    if (caller->released < 0) held = false;
  }
  return held;
}

}  // namespace

int main() { return stand::run_case(play); }
