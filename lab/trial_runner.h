// Runs trials side by side, each in a process of its own: a trial that aborts ends only itself and the
// programs that it started.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace graniterun::lab {

struct Trial {
  std::string name{};
  std::function<void()> run{};  // aborts or throws if the trial fails
};

// Runs all trials, at most `parallel` at a time, and prints the name of each that fails or is not over within
// `seconds`. Returns the number of failed ones.
std::size_t run_trials(const std::vector<Trial>& trials, std::size_t parallel, unsigned seconds);

}  // namespace graniterun::lab
