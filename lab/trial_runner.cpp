#include "trial_runner.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>

namespace graniterun::lab {
namespace {

pid_t start(const Trial& trial, unsigned seconds) {
  const pid_t runner = ::getpid();
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != runner) ::_exit(127);
  ::alarm(seconds);
  try {
    trial.run();
  } catch (const std::exception& error) {
    std::cerr << trial.name << ": " << error.what() << '\n';
    std::abort();
  }
  ::_exit(0);
}

}  // namespace

std::size_t run_trials(const std::vector<Trial>& trials, std::size_t parallel, unsigned seconds) {
  std::map<pid_t, std::string> running;
  std::size_t failed = 0;
  std::size_t next = 0;
  while (next < trials.size() || !running.empty()) {
    while (next < trials.size() && running.size() < parallel) {
      const Trial& trial = trials[next++];
      running.emplace(start(trial, seconds), trial.name);
    }
    int status = 0;
    const pid_t ended = ::waitpid(-1, &status, 0);
    const auto it = running.find(ended);
    if (it == running.end()) continue;
    if (status != 0) {
      ++failed;
      std::cerr << "FAILED " << it->second << " (status " << status << ")\n";
    }
    running.erase(it);
  }
  return failed;
}

}  // namespace graniterun::lab
