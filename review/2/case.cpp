// Calls stand when a gatekeeper is upgraded, and their setup servers release them while the old process still
// runs. Each must be released towards its caller, who goes on sending setups to the gatekeeper.
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

bool play() {
  Journal journal;
  PlatformServer first("s-1");
  PlatformServer second("s-2");
  first.hold = second.hold = 3.0;
  journal.tell(target("s-1", first.address(), 0, "ready") + "," + target("s-2", second.address(), 1, "ready"),
               true);
  const int listener = listening_socket();  // the platform holds the callers' listening socket
  const std::string listen = "127.0.0.1:" + std::to_string(bound_port(listener));
  const std::string old_management = "127.0.0.1:" + std::to_string(free_port());
  const std::string new_management = "127.0.0.1:" + std::to_string(free_port());
  const std::string path = folder() + "/config.json";
  write_file(path, config(listen, old_management, journal.address(), journal.known()));
  const auto variables = [&](const std::string& management) {
    return std::map<std::string, std::string>{{"RELAY_NAME", "n1"},        {"RELAY_LISTEN", listen},
                                              {"RELAY_CONFIG", path},      {"RELAY_MANAGEMENT", management},
                                              {"RELAY_INHERITED_FD", "7"}, {"TMPDIR", folder()}};
  };
  Program old_process;
  Program new_process;
  old_process.start("old process", run_command(), variables(old_management), folder() + "/old.log", listener);
  wait_ready(old_management, 30);

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

  double stopped_at = -1;
  if (trouble()) {
    new_process.start("new process", run_command(), variables(new_management), folder() + "/new.log",
                      listener);
    wait_ready(new_management, 6);
    old_process.signal(SIGTERM);
    stopped_at = now();
  }
  // Ordinary traffic: two setups a second on the caller's connection, or on a new one where that was closed.
  double observed_until = now() + 3.0 + kObserved;
  bool overlap = trouble();
  std::uint64_t next = 100;
  while (now() < observed_until) {
    caller.set_up(hex_id(next), 3000, "guide-call", static_cast<int>(next % 2));
    ++next;
    run_for(0.5);
    if (!overlap) continue;
    if (now() > stopped_at + kKillAfter) old_process.signal(SIGKILL);
    if (old_process.running()) {
      observed_until = now() + kObserved;
    } else {
      overlap = false;
    }
  }

  bool held = true;
  for (const std::string& id : ids) {
    double ended = -1;
    for (const PlatformServer* server : {&first, &second}) {
      if (const auto it = server->calls.find(id); it != server->calls.end()) ended = it->second.released;
    }
    const bool before_kill = !trouble() || ended < stopped_at + kKillAfter;
    if (ended < 0 || !before_kill) throw CannotRun("a call did not end while the old process might run");
    const double released = caller.calls[id].released;
    rec("call %s: released by its server at %.3f, towards its caller %s", id.c_str(), ended,
        released < 0                        ? "never"
        : released <= ended + kReleaseLimit ? "within 1.05 s"
                                            : "later than 1.05 s");
    if (released < 0) held = false;
  }
  return held;
}

}  // namespace

int main() { return stand::run_case(play); }
