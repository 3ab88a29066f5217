// Measures a gatekeeper's processor time per call at 500 to 4,000 calls per second, with calls released by
// callers and by servers. Usage: load_bench GATEKEEPER. Exits with 1 if a call costs 100 us or more, or if a
// call does not get exactly one final answer.
#include <cstdio>

#include "lab/load.h"
#include "programs.h"

using namespace graniterun;
using namespace graniterun::bench;
using namespace std::chrono_literals;

int main(int, char** argv) {
  double min_per_call = 1e9;
  double max_per_call = 0.0;
  bool all_answered_once = true;
  for (const int rate : {500, 1000, 2000, 4000}) {
    const std::vector<std::string> servers{at(free_port()), at(free_port())};
    const std::string listen = at(free_port());
    const auto program = gatekeeper(argv[1], listen, servers, 0, 1);
    test::Socket::connected(std::stoi(listen.substr(listen.rfind(':') + 1)));  // waits until it listens
    lab::Plan plan;
    plan.gatekeepers = {listen};
    plan.servers = servers;
    plan.flows.emplace_back();
    plan.flows[0].per_second = rate;
    plan.lasts = 5s;
    std::uint64_t before = 0;
    plan.tick = [&](Time) {
      if (before == 0) before = lab::cpu_ns(program->pid());
    };
    lab::Load load(plan);
    load.run();
    const double used = static_cast<double>(lab::cpu_ns(program->pid()) - before) / 1e3;
    std::vector<double> latencies;
    std::size_t established = 0;
    std::size_t answered_once = 0;
    for (const lab::CallRecord& c : load.calls()) {
      if (c.finals == 1) ++answered_once;
      if (c.stood) ++established;
      latencies.push_back(std::chrono::duration<double, std::micro>(c.answered - c.sent).count());
    }
    const auto all = static_cast<double>(load.calls().size());
    const double per_call = used / all;
    min_per_call = std::min(min_per_call, per_call);
    max_per_call = std::max(max_per_call, per_call);
    all_answered_once = all_answered_once && answered_once == load.calls().size();
    std::printf("cpu_per_call_at_%d %.1f us%s\n", rate, per_call, per_call < 100.0 ? "" : " SHORT");
    std::printf("answer_median_at_%d %.0f us\n", rate, lab::percentile(latencies, 0.5));
    std::printf("answer_p99_at_%d %.0f us\n", rate, lab::percentile(latencies, 0.99));
    std::printf("stood_at_%d %.4f share\n", rate, static_cast<double>(established) / all);
    std::printf("not_answered_once_at_%d %zu calls\n", rate, load.calls().size() - answered_once);
    std::fflush(stdout);
  }
  std::printf("most_by_least %.2f times\n", max_per_call / min_per_call);
  return max_per_call < 100.0 && all_answered_once ? 0 : 1;
}
