// graniterun_announcer, the gap publisher: holds a fleet's call gaps and pushes them to every gatekeeper.
// Parses the command line and runs control::GapPublisher.
#include "control/gap_publisher.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>

#include "net/runtime.h"

namespace {

using namespace graniterun;

int run(int argc, char** argv) {
  control::GapPublisherSettings settings;
  CLI::App app{
      "Holds the call gaps of a fleet, pushes them to every gatekeeper and allocates the fleet's slots."};
  app.add_option("--listen", settings.listen, "listen address for operators, address:port")->required();
  app.add_option("--gatekeeper", settings.gatekeepers,
                 "control addresses of all gatekeepers of the fleet, separated by commas")
      ->required()
      ->delimiter(',');
  app.add_option("--file", settings.file, "file that stores the gaps; without it they are lost at exit");
  app.add_option("--name", settings.name, "name of this process in its answers")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  std::random_device device;
  settings.incarnation = std::uint64_t{device()} << 32 | device();
  control::GapPublisher publisher(std::move(settings));
  net::Runtime runtime({}, net::Logger(net::Level::info));
  return runtime.run([&publisher](Time now, const net::Event& event, net::Effects& effects) {
    publisher.step(now, event, effects);
  });
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "graniterun_announcer: " << error.what() << '\n';
    return 1;
  }
}
