// graniterun_announcer: holds a fleet's call gaps and pushes them to every gatekeeper.
#include "control/gap_publisher.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>

#include "net/runtime.h"

namespace {

using namespace graniterun;

int run(int argc, char** argv) {
  control::GapPublisherSettings s;
  CLI::App app{"Holds the call gaps of a fleet, pushes them to every gatekeeper, and deals its slots."};
  app.add_option("--listen", s.listen, "where operators connect, address:port")->required();
  app.add_option("--gatekeeper", s.gatekeepers, "control addresses of all gatekeepers of the fleet")
      ->required()
      ->delimiter(',');
  app.add_option("--file", s.file, "where the gaps are kept; without it they are forgotten at its end");
  app.add_option("--name", s.name, "its name in answers")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  std::random_device device;
  s.incarnation = std::uint64_t{device()} << 32 | device();
  control::GapPublisher announcer(std::move(s));
  net::Runtime runtime({}, net::Logger(net::Level::info));
  return runtime.run([&announcer](Time now, const net::Event& event, net::Effects& effects) {
    announcer.step(now, event, effects);
  });
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(argc, argv);
  } catch (const std::exception& trouble) {
    std::cerr << "graniterun_announcer: " << trouble.what() << '\n';
    return 1;
  }
}
