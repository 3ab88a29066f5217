// Calls stand at setup servers that speak SIP over UDP when the gatekeeper is restarted. The servers release
// them to the new process. Each must be released towards its caller, who goes on sending setups to the
// gatekeeper.
#include <algorithm>

#include "stand.h"

namespace {

using namespace stand;

constexpr double kReleaseLimit = 1.05;  // from the setup server's release, with the sockets' 50 ms
constexpr double kLongestLimit = 8.05;  // where no release could be sent
// The longest deadline, counted as 3 s where it is longer, and 0.7 s.
constexpr double kKillAfter = 3.0 + 0.7;

bool play() {
  Journal journal;
  SipServer first("s-1");
  SipServer second("s-2");
  first.hold = second.hold = 9.0;
  journal.tell(target("s-1", first.address(), 0, "ready") + "," + target("s-2", second.address(), 1, "ready"),
               true);
  const std::string listen = "127.0.0.1:" + std::to_string(free_port());
  const std::string management = "127.0.0.1:" + std::to_string(free_port());
  const std::string trunk = "127.0.0.1:" + std::to_string(free_port());
  const std::string path = folder() + "/config.json";
  const std::string deploy = folder() + "/deploy.json";
  write_file(path, config(listen, management, journal.address(), journal.known()));
  write_file(deploy, "{\"sip\":{\"servers\":\"udp\",\"servers_from\":\"" + trunk + "\"}}");
  const std::map<std::string, std::string> variables{{"RELAY_NAME", "n1"},
                                                     {"RELAY_LISTEN", listen},
                                                     {"RELAY_CONFIG", path},
                                                     {"RELAY_MANAGEMENT", management},
                                                     {"TMPDIR", folder()}};
  Program gatekeeper;
  gatekeeper.start("gatekeeper", run_command("--deploy " + deploy), variables, folder() + "/first.log");
  wait_ready(management, 30);

  PlatformCaller caller(listen);
  std::vector<std::string> ids;
  for (std::uint64_t i = 0; i < 6; ++i) {
    ids.push_back(hex_id(i));
    caller.set_up(ids.back(), 3000, "guide-call", static_cast<int>(i % 2));
    run_for(0.05);
  }
  const auto all_stand = [&] {
    return std::all_of(ids.begin(), ids.end(),
                       [&](const auto& id) { return caller.calls[id].answered >= 0; });
  };
  if (!run_until(all_stand, 3)) throw CannotRun("the calls do not stand");
  run_for(0.5);

  Program restarted;
  if (trouble()) {
    gatekeeper.signal(SIGTERM);
    const double stopped_at = now();
    run_until(
        [&] {
          if (now() > stopped_at + kKillAfter) gatekeeper.signal(SIGKILL);
          return !gatekeeper.running();
        },
        6);
    restarted.start("restarted gatekeeper", run_command("--deploy " + deploy), variables,
                    folder() + "/second.log");
    wait_ready(management, 30);
  }
  // Ordinary traffic: two setups a second on the caller's connection, or on a new one where that has closed.
  std::uint64_t next = 100;
  const auto ended_at = [&](const std::string& id) {
    for (const SipServer* server : {&first, &second}) {
      for (const auto& [call_id, call] : server->calls) {
        if (call_id.rfind(id, 0) == 0) return call.released;
      }
    }
    return -1.0;
  };
  const auto all_ended_for = [&](double span) {
    return std::all_of(ids.begin(), ids.end(),
                       [&](const auto& id) { return ended_at(id) >= 0 && now() > ended_at(id) + span; });
  };
  for (const double limit = now() + 40; now() < limit && !all_ended_for(kLongestLimit);) {
    caller.set_up(hex_id(next), 3000, "guide-call", static_cast<int>(next % 2));
    ++next;
    run_for(0.5);
  }

  bool held = true;
  for (const std::string& id : ids) {
    const double ended = ended_at(id);
    if (ended < 0) throw CannotRun("a call did not end");
    const double released = caller.calls[id].released;
    rec("call %s: released by its server at %.3f, towards its caller %s", id.c_str(), ended,
        released < 0                        ? "never"
        : released <= ended + kReleaseLimit ? "within 1.05 s"
                                            : "later than 1.05 s");
    if (released < 0 || released > ended + kLongestLimit) held = false;
  }
  return held;
}

}  // namespace

int main() { return stand::run_case(play); }
