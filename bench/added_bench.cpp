// Measures the latency that gatekeepers add to a call. The same arrivals go directly to a stand-in server and
// through chains of 1, 3 and 9 gatekeepers in SIP over TCP, and through one gatekeeper that speaks the
// platform's protocol, in short alternating bursts. Added latency is the difference between the calls with
// the same index in two bursts. Then one call goes to a last server that answers 500, answers 503 or does not
// answer, and the attempts that reach it are counted. Usage: added_bench GATEKEEPER [--quick]. Exits with 1
// if one gatekeeper adds more than 570 us to more than one call in a hundred, or if a call does not get
// exactly one final answer.
#include <cstdio>
#include <cstring>

#include "lab/load.h"
#include "stand_ins.h"

using namespace graniterun;
using namespace graniterun::bench;
using namespace std::chrono_literals;

namespace {

constexpr double kMaxAddedP99Us = 570.0;  // by one gatekeeper

bool passed = true;

void print_figure(const std::string& name, double value, const char* unit, bool within_limit = true) {
  std::printf("%s %.2f %s%s\n", name.c_str(), value, unit, within_limit ? "" : " SHORT");
  std::fflush(stdout);
  passed = passed && within_limit;
}

// Chain of gatekeepers: the setup server of each is the SIP listener of the next.
class GatekeeperChain {
 public:
  GatekeeperChain(const std::string& binary, int depth, const std::string& last) {
    std::string next = last;
    std::vector<std::string> fronts;
    for (int i = 0; i < depth; ++i) {  // from the last to the first
      const std::string front = at(free_port());
      const json deploy = {{"sip", {{"tcp", front}, {"servers", "tcp"}, {"servers_from", at(free_port())}}}};
      programs_.push_back(gatekeeper(binary, at(free_port()), {next}, i, 1, deploy));
      next = front;
      fronts.push_back(front);
    }
    first_address_ = next;
    for (const std::string& front : fronts)
      test::Socket::connected(port_of(front));  // waits until it listens
  }
  const std::string& first_address() const { return first_address_; }
  // Processor time of all gatekeepers of the chain.
  std::uint64_t cpu_ns() const {
    std::uint64_t all = 0;
    for (const auto& program : programs_) all += lab::cpu_ns(program->pid());
    return all;
  }

 private:
  std::vector<std::unique_ptr<test::Program>> programs_;
  std::string first_address_;
};

struct Route {
  std::string name;      // suffix of figure names; empty: directly to the stand-in
  bool limited = false;  // the limit for one gatekeeper applies
  std::unique_ptr<Caller> caller{};
  std::function<std::uint64_t()> cpu_ns{};
  std::vector<double> latencies{};  // latency in us of each call, in order; NaN: no answer
  std::uint64_t used_ns = 0;
  std::size_t first_call = 0;
};

void print(const Route& route, int rate, const Route& direct) {
  const std::string at_rate = "_at_" + std::to_string(rate) + route.name;
  const std::vector<PlacedCall>& calls = route.caller->calls();
  std::size_t answered_once = 0;
  std::size_t answered_twice = 0;
  std::size_t established = 0;
  for (std::size_t i = route.first_call; i < calls.size(); ++i) {
    answered_once += calls[i].final_answers == 1 ? 1 : 0;
    answered_twice += calls[i].final_answers > 1 ? 1 : 0;
    established += calls[i].established ? 1 : 0;
  }
  const auto all = static_cast<double>(calls.size() - route.first_call);
  std::vector<double> route_latencies;
  std::vector<double> added_latencies;
  for (std::size_t i = 0; i < route.latencies.size(); ++i) {
    if (std::isnan(route.latencies[i])) continue;
    route_latencies.push_back(route.latencies[i]);
    if (i < direct.latencies.size() && !std::isnan(direct.latencies[i]))
      added_latencies.push_back(route.latencies[i] - direct.latencies[i]);
  }
  const std::string prefix = route.name.empty() ? "straight" : "answer";
  print_figure(prefix + "_median_us" + at_rate, lab::percentile(route_latencies, 0.5), "us");
  print_figure(prefix + "_p99_us" + at_rate, lab::percentile(route_latencies, 0.99), "us");
  if (!route.name.empty()) {
    const double p99 = lab::percentile(added_latencies, 0.99);
    print_figure("added_median_us" + at_rate, lab::percentile(added_latencies, 0.5), "us");
    print_figure("added_p99_us" + at_rate, p99, "us", !route.limited || p99 <= kMaxAddedP99Us);
    print_figure("cpu_per_call_us" + at_rate, static_cast<double>(route.used_ns) / 1e3 / all, "us");
  }
  print_figure("answered_share" + at_rate, static_cast<double>(answered_once) / all, "share",
               all > 0 && answered_once == calls.size() - route.first_call);
  if (answered_twice > 0)
    print_figure("answered_twice" + at_rate, static_cast<double>(answered_twice), "calls", false);
  print_figure("stood_share" + at_rate, static_cast<double>(established) / all, "share");
}

void measure_added_latency(const std::string& binary, bool quick) {
  const StandIns servers(1);
  const StandIns platform_servers(2);
  const std::string direct = servers.addresses()[0];
  std::vector<std::unique_ptr<GatekeeperChain>> chains;
  std::vector<Route> routes;
  routes.push_back({"", false, std::make_unique<Caller>(port_of(direct), Caller::Protocol::sip),
                    [] { return std::uint64_t{0}; }});
  for (const int depth : {1, 3, 9}) {
    chains.push_back(std::make_unique<GatekeeperChain>(binary, depth, direct));
    GatekeeperChain* chain = chains.back().get();
    routes.push_back({"_depth_" + std::to_string(depth), depth == 1,
                      std::make_unique<Caller>(port_of(chain->first_address()), Caller::Protocol::sip),
                      [chain] { return chain->cpu_ns(); }});
  }
  const std::string listen = at(free_port());
  const auto platform = gatekeeper(binary, listen, platform_servers.addresses(), 0, 1);
  routes.push_back({"_platform_depth_1", true,
                    std::make_unique<Caller>(port_of(listen), Caller::Protocol::platform),
                    [&platform] { return lab::cpu_ns(platform->pid()); }});
  std::this_thread::sleep_for(1s);  // for their connections to the servers
  for (Route& route : routes)
    route.caller->place_calls(200, 300ms, 1);  // opens the connections along each chain

  const int rounds = quick ? 1 : 6;
  for (const int rate : {200, 1800}) {
    for (Route& route : routes) {
      route.latencies.clear();
      route.used_ns = 0;
      route.first_call = route.caller->calls().size();
    }
    for (int round = 0; round < rounds; ++round) {
      // Starts with another route each round, so that none always follows the same one.
      for (std::size_t i = 0; i < routes.size(); ++i) {
        Route& route = routes[(i + static_cast<std::size_t>(round)) % routes.size()];
        const std::uint64_t before = route.cpu_ns();
        const std::size_t first = route.caller->place_calls(
            rate, 800ms, static_cast<std::uint64_t>(round) + 7, static_cast<std::size_t>(rate * 0.7));
        route.used_ns += route.cpu_ns() - before;
        const std::vector<PlacedCall>& calls = route.caller->calls();
        // Every burst fills the same number of indexes; missing calls are NaN.
        for (std::size_t n = 0; n < static_cast<std::size_t>(rate * 0.7); ++n) {
          const bool answered = first + n < calls.size() && calls[first + n].final_answers > 0;
          route.latencies.push_back(answered ? calls[first + n].latency_us() : std::nan(""));
        }
      }
    }
    for (const Route& route : routes) print(route, rate, routes[0]);
  }
}

void measure_failing_last_server(const std::string& binary, const char* name, StandIns::Behavior behavior) {
  struct Case {
    int depth;
    std::unique_ptr<StandIns> last{};
    std::unique_ptr<GatekeeperChain> chain{};
    std::unique_ptr<Caller> caller{};
  };
  std::vector<Case> cases;
  for (const int depth : {1, 3, 9}) {
    Case c{depth};
    c.last = std::make_unique<StandIns>(1, behavior);
    c.chain = std::make_unique<GatekeeperChain>(binary, depth, c.last->addresses()[0]);
    c.caller = std::make_unique<Caller>(port_of(c.chain->first_address()), Caller::Protocol::sip);
    cases.push_back(std::move(c));
  }
  std::this_thread::sleep_for(500ms);
  std::vector<std::thread> threads;
  for (Case& c : cases)
    threads.emplace_back([&c] {
      c.caller->place_calls(1e6, 100ms, 3, 1);
      c.caller->receive_for(300ms);
    });
  for (std::thread& thread : threads) thread.join();
  for (const Case& c : cases) {
    const PlacedCall& call = c.caller->calls().at(0);
    const std::string of = std::string(name) + "_depth_" + std::to_string(c.depth);
    print_figure("attempts_at_last_server_" + of, static_cast<double>(c.last->invites()), "attempts");
    print_figure("final_answer_" + of, call.status, "status", call.final_answers == 1);
    print_figure("time_to_final_" + of, call.final_answers > 0 ? call.latency_us() / 1e3 : -1.0, "ms");
  }
}

}  // namespace

int main(int argc, char** argv) {
  const bool quick = argc > 2 && std::strcmp(argv[2], "--quick") == 0;
  raise_descriptor_limit();
  measure_added_latency(argv[1], quick);
  measure_failing_last_server(argv[1], "500", StandIns::Behavior::fault);
  measure_failing_last_server(argv[1], "503", StandIns::Behavior::full);
  measure_failing_last_server(argv[1], "silent", StandIns::Behavior::silent);
  return passed ? 0 : 1;
}
