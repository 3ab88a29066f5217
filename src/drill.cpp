// graniterun_drill: controllers on the simulator's wire, standard input to standard output.
#include <exception>
#include <iostream>
#include <string>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    graniterun::wire::Host host(std::cout);
    for (std::string line; std::getline(std::cin, line);) host.take(line);
    host.end();
  } catch (const std::exception& trouble) {
    std::cerr << "graniterun_drill: " << trouble.what() << '\n';
    return 1;
  }
  return 0;
}
