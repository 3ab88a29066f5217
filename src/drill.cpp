// graniterun_drill: runs controllers for the simulator. Reads the simulator's protocol (wire.h) on standard
// input and writes the replies to standard output. Malformed input ends it with an error message and
// status 1.
#include <exception>
#include <iostream>
#include <string>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    graniterun::wire::SimulatorAdapter adapter(std::cout);
    for (std::string line; std::getline(std::cin, line);) adapter.handle_line(line);
    adapter.handle_end_of_input();
  } catch (const std::exception& error) {
    std::cerr << "graniterun_drill: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
