// Measures the cost of a gatekeeper by the size of its endpoint list, idle and at 200 calls per second. One
// process stands in for all setup servers, each on its own port. The last run limits the gatekeeper to 1,024
// descriptors, fewer than it would use. Usage: listed_bench GATEKEEPER [--quick] [--only SERVERS] [--rate
// CALLS_PER_SECOND]. Exits with 1 if an idle gatekeeper uses more than 16 ms of processor time per second or
// if a call does not get exactly one final answer.
#include <cstdio>

#include "lab/load.h"
#include "stand_ins.h"

using namespace graniterun;
using namespace graniterun::bench;
using namespace std::chrono_literals;

namespace {

constexpr double kMaxIdleCpu = 16.0;  // ms per second

// Peak resident memory of a process (VmHWM), in MB.
double peak_memory_mb(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) return std::atof(line.c_str() + 6) / 1024.0;
  }
  return 0.0;
}

struct Options {
  bool quick = false;
  std::size_t only = 0;  // number of servers; 0: all usual sizes
  double rate = 200.0;   // calls per second
};

bool measure(const std::string& binary, std::size_t servers, rlim_t descriptors, const Options& options) {
  const StandIns stand_ins(servers);
  const std::string listen = at(free_port());
  json config = config_of(listen, stand_ins.addresses(), 0, 1);
  config["limits"]["sockets"] = descriptors;
  json& targets = config["known"]["entries"][0]["hosts"]["targets"];
  for (std::size_t i = 0; i < servers; ++i)
    targets[i]["pod_group"] = i % 2;  // pools 0 and 1, which the classes use
  test::Program program(binary, config.dump(), "", -1, [=] { set_descriptor_limit(descriptors); });
  Caller caller(port_of(listen), Caller::Protocol::platform);
  const auto connect_deadline = Clock::now() + 5s;
  while (stand_ins.open() < servers && Clock::now() < connect_deadline) std::this_thread::sleep_for(10ms);
  std::this_thread::sleep_for(500ms);

  const auto cost_of = [&](const auto& work) {  // processor time in ms per second
    const std::uint64_t before = lab::cpu_ns(program.pid());
    const auto began = Clock::now();
    work();
    const double s = std::chrono::duration<double>(Clock::now() - began).count();
    return static_cast<double>(lab::cpu_ns(program.pid()) - before) / 1e6 / s;
  };
  const double idle = cost_of([&] { std::this_thread::sleep_for(options.quick ? 1s : 3s); });
  const double busy =
      cost_of([&] { caller.place_calls(options.rate, options.quick ? 1500ms : 6s, servers); });
  caller.receive_for(50ms);

  std::vector<double> latencies;
  std::size_t rejected = 0;
  std::size_t not_answered_once = 0;
  for (const PlacedCall& call : caller.calls()) {
    not_answered_once += call.final_answers == 1 ? 0 : 1;
    rejected += call.final_answers > 0 && !call.established ? 1 : 0;
    if (call.final_answers > 0) latencies.push_back(call.latency_us());
  }
  const std::string n = std::to_string(servers) + (descriptors == 1024 ? "_of_1024_descriptors" : "");
  const auto line = [&n](const char* name, double value, const char* unit, bool within_limit = true) {
    std::printf("listed_%s_at_%s %.2f %s%s\n", name, n.c_str(), value, unit, within_limit ? "" : " SHORT");
  };
  line("idle_cpu_ms", idle, "ms/s", idle <= kMaxIdleCpu);
  line("cpu_ms", busy, "ms/s");
  line("answer_median_us", lab::percentile(latencies, 0.5), "us");
  line("answer_p99_us", lab::percentile(latencies, 0.99), "us");
  line("memory_mb", peak_memory_mb(program.pid()), "MB");
  line("connected", static_cast<double>(stand_ins.open()), "servers");
  line("sent_to", static_cast<double>(stand_ins.servers_used()), "servers");
  line("refused", static_cast<double>(rejected), "calls");
  line("not_answered_once", static_cast<double>(not_answered_once), "calls", not_answered_once == 0);
  std::fflush(stdout);
  return idle <= kMaxIdleCpu && not_answered_once == 0;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  for (int i = 2; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--quick") options.quick = true;
    if (argument == "--only" && i + 1 < argc) options.only = std::stoul(argv[++i]);
    if (argument == "--rate" && i + 1 < argc) options.rate = std::stod(argv[++i]);
  }
  raise_descriptor_limit();
  constexpr rlim_t kUnconstrainedDescriptors = 4096;
  bool passed = true;
  for (const std::size_t servers : {2, 30, 100, 300, 1000}) {
    if (options.only == 0 || options.only == servers)
      passed = measure(argv[1], servers, kUnconstrainedDescriptors, options) && passed;
  }
  if (options.only == 0) passed = measure(argv[1], 1000, 1024, options) && passed;
  return passed ? 0 : 1;
}
