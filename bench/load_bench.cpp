// What a call costs a gatekeeper's processor, from 500 to 4,000 calls a second, where calls are released by
// callers and by servers alike. Usage: load_bench GATEKEEPER. Exits with 1 where the aim is missed.
#include <cstdio>

#include "lab/load.h"
#include "programs.h"

using namespace graniterun;
using namespace graniterun::bench;
using namespace std::chrono_literals;

int main(int, char** argv) {
  double least = 1e9;
  double most = 0.0;
  bool whole = true;
  for (const int rate : {500, 1000, 2000, 4000}) {
    const std::vector<std::string> servers{at(free_port()), at(free_port())};
    const std::string listen = at(free_port());
    const auto program = gatekeeper(argv[1], listen, servers, 0, 1);
    test::Socket::connected(std::stoi(listen.substr(listen.rfind(':') + 1)));  // it listens
    lab::LoadPlan plan;
    plan.gatekeepers = {listen};
    plan.servers = servers;
    plan.flows.emplace_back();
    plan.flows[0].per_second = rate;
    plan.duration = 5s;
    std::uint64_t before = 0;
    plan.tick = [&](Time) {
      if (before == 0) before = lab::cpu_ns(program->pid());
    };
    lab::LoadGenerator load(plan);
    load.run();
    const double used = static_cast<double>(lab::cpu_ns(program->pid()) - before) / 1e3;
    std::vector<double> waits;
    std::size_t stood = 0;
    std::size_t one = 0;
    for (const lab::CallRecord& c : load.calls()) {
      if (c.final_answers == 1) ++one;
      if (c.established) ++stood;
      waits.push_back(std::chrono::duration<double, std::micro>(c.answered - c.sent).count());
    }
    const auto all = static_cast<double>(load.calls().size());
    const double per_call = used / all;
    least = std::min(least, per_call);
    most = std::max(most, per_call);
    whole = whole && one == load.calls().size();
    std::printf("cpu_per_call_at_%d %.1f us%s\n", rate, per_call, per_call < 100.0 ? "" : " SHORT");
    std::printf("answer_median_at_%d %.0f us\n", rate, lab::percentile(waits, 0.5));
    std::printf("answer_p99_at_%d %.0f us\n", rate, lab::percentile(waits, 0.99));
    std::printf("stood_at_%d %.4f share\n", rate, static_cast<double>(stood) / all);
    std::printf("not_answered_once_at_%d %zu calls\n", rate, load.calls().size() - one);
    std::fflush(stdout);
  }
  std::printf("most_by_least %.2f times\n", most / least);
  return most < 100.0 && whole ? 0 : 1;
}
