// What a gatekeeper costs by the number of setup servers that its list holds, idle and at 200 calls a second.
// One process stands in for all servers, each on a port of its own. The last run gives the gatekeeper 1,024
// descriptors, fewer than it would use. Usage: listed_bench GATEKEEPER [--quick]. Exits with 1 where idle
// costs more than 16 ms of processor a second or a call has not exactly one final answer.
#include <cstdio>

#include "lab/load.h"
#include "stand_ins.h"

using namespace graniterun;
using namespace graniterun::bench;
using namespace std::chrono_literals;

namespace {

constexpr double kIdleMost = 16.0;  // ms a second

// With the children's most memory so far; in MB.
double memory_mb(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) return std::atof(line.c_str() + 6) / 1024.0;
  }
  return 0.0;
}

struct Options {
  bool quick = false;
  std::size_t only = 0;  // servers; 0: the usual numbers
  double rate = 200.0;   // calls a second
};

bool measure(const std::string& binary, std::size_t servers, rlim_t descriptors, const Options& options) {
  const StandIns stand_ins(servers);
  const std::string listen = at(free_port());
  json config = config_of(listen, stand_ins.addresses(), 0, 1);
  config["limits"]["sockets"] = descriptors;
  json& targets = config["known"]["entries"][0]["hosts"]["targets"];
  for (std::size_t i = 0; i < servers; ++i) targets[i]["pod_group"] = i % 2;  // the pools of the classes
  test::Program program(binary, config.dump(), "", -1, [=] { set_descriptors(descriptors); });
  Caller caller(port_of(listen), Caller::Speech::lines);
  const auto patience = Clock::now() + 5s;
  while (stand_ins.open() < servers && Clock::now() < patience) std::this_thread::sleep_for(10ms);
  std::this_thread::sleep_for(500ms);

  const auto cost_of = [&](const auto& work) {  // ms of processor a second
    const std::uint64_t before = lab::cpu_ns(program.pid());
    const auto began = Clock::now();
    work();
    const double s = std::chrono::duration<double>(Clock::now() - began).count();
    return static_cast<double>(lab::cpu_ns(program.pid()) - before) / 1e6 / s;
  };
  const double idle = cost_of([&] { std::this_thread::sleep_for(options.quick ? 1s : 3s); });
  const double busy = cost_of([&] { caller.spell(options.rate, options.quick ? 1500ms : 6s, servers); });
  caller.listen_for(50ms);

  std::vector<double> waits;
  std::size_t refused = 0;
  std::size_t not_once = 0;
  for (const Placed& call : caller.calls()) {
    not_once += call.finals == 1 ? 0 : 1;
    refused += call.finals > 0 && !call.stood ? 1 : 0;
    if (call.finals > 0) waits.push_back(call.took_us());
  }
  const std::string n = std::to_string(servers) + (descriptors == 1024 ? "_of_1024_descriptors" : "");
  const auto line = [&n](const char* name, double value, const char* unit, bool holds = true) {
    std::printf("listed_%s_at_%s %.2f %s%s\n", name, n.c_str(), value, unit, holds ? "" : " SHORT");
  };
  line("idle_cpu_ms", idle, "ms/s", idle <= kIdleMost);
  line("cpu_ms", busy, "ms/s");
  line("answer_median_us", lab::percentile(waits, 0.5), "us");
  line("answer_p99_us", lab::percentile(waits, 0.99), "us");
  line("memory_mb", memory_mb(program.pid()), "MB");
  line("connected", static_cast<double>(stand_ins.open()), "servers");
  line("sent_to", static_cast<double>(stand_ins.used()), "servers");
  line("refused", static_cast<double>(refused), "calls");
  line("not_answered_once", static_cast<double>(not_once), "calls", not_once == 0);
  std::fflush(stdout);
  return idle <= kIdleMost && not_once == 0;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  for (int i = 2; i < argc; ++i) {
    const std::string word = argv[i];
    if (word == "--quick") options.quick = true;
    if (word == "--only" && i + 1 < argc) options.only = std::stoul(argv[++i]);
    if (word == "--rate" && i + 1 < argc) options.rate = std::stod(argv[++i]);
  }
  raise_descriptors();
  constexpr rlim_t kPlenty = 4096;
  bool good = true;
  for (const std::size_t servers : {2, 30, 100, 300, 1000}) {
    if (options.only == 0 || options.only == servers)
      good = measure(argv[1], servers, kPlenty, options) && good;
  }
  if (options.only == 0) good = measure(argv[1], 1000, 1024, options) && good;
  return good ? 0 : 1;
}
