// Measures the membership of twelve real gatekeepers with a fault-injecting relay between them: time until
// joins, deaths and leaves are known everywhere, time until all agree after a partition, false deaths under
// packet loss, stops and one-way cuts ("bad weather" in the figures' names); and the answer latency with the
// fleet on and off. Usage: fleet_bench GATEKEEPER [SECONDS of faults]. Exits with 1 if a limit is missed.
#include <csignal>
#include <cstdio>

#include "lab/fleet_rig.h"
#include "lab/load.h"
#include "programs.h"

using namespace graniterun;
using namespace std::chrono_literals;
using lab::ClusterFixture;
using lab::Steady;

namespace {

constexpr std::size_t kFleet = 12;
bool passed = true;

void print_figure(const std::string& name, double value, const char* unit, bool within_limit = true) {
  std::printf("%s %.2f %s%s\n", name.c_str(), value, unit, within_limit ? "" : " SHORT");
  std::fflush(stdout);
  passed = passed && within_limit;
}
double ms(Steady::duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

// Milliseconds from `began` until the last of the other members has reported the event; -1 if not all did
// within 10 s.
double known_everywhere(ClusterFixture& rig, std::size_t subject, const std::string& kind,
                        Steady::time_point began) {
  const std::string name = "n" + std::to_string(subject);
  double last = -1.0;
  const bool all = ClusterFixture::wait_until(10s, [&] {
    std::map<std::size_t, Steady::time_point> by;
    for (const lab::FleetEvent& e : rig.events()) {
      if (e.kind == kind && e.member == name && e.reported_by != subject && e.at >= began)
        by.emplace(e.reported_by, e.at);
    }
    if (by.size() < kFleet - 1) return false;
    for (const auto& [i, at] : by) last = std::max(last, ms(at - began));
    return true;
  });
  return all ? last : -1.0;
}

void print_percentiles(const std::string& name, const std::vector<double>& values, double max_p99) {
  const bool complete = std::find(values.begin(), values.end(), -1.0) == values.end();
  print_figure(name + "_median", lab::percentile(values, 0.5), "ms");
  print_figure(name + "_p99", lab::percentile(values, 0.99), "ms",
               complete && lab::percentile(values, 0.99) < max_p99);
}

void measure_fleet(const std::string& binary, int fault_seconds) {
  ClusterFixture rig(binary, kFleet, 1);
  rig.start_all();
  const auto began = Steady::now();
  const bool agreed = ClusterFixture::wait_until(10s, [&] { return rig.agree(); });
  print_figure("all_agree_after_start", ms(Steady::now() - began), "ms", agreed);

  std::vector<double> killed;
  std::vector<double> joined;
  std::vector<double> left;
  for (std::size_t i = 0; i < 8; ++i) {
    auto at = Steady::now();
    rig.kill(i);
    killed.push_back(known_everywhere(rig, i, "died", at));
    at = Steady::now();
    rig.start(i);
    joined.push_back(known_everywhere(rig, i, "joined", at));
    if (i % 2 == 0) continue;
    std::this_thread::sleep_for(200ms);
    at = Steady::now();
    rig.signal(i, SIGTERM);
    left.push_back(known_everywhere(rig, i, "left", at));
    rig.program(i).exit_status();
    rig.kill(i);
    rig.start(i);
    ClusterFixture::wait_until(
        10s, [&] { return rig.state((i + 1) % kFleet, "n" + std::to_string(i)) == "alive"; });
  }
  print_percentiles("killed_known_everywhere", killed, 1500);
  print_percentiles("start_to_joined_everywhere", joined, 500);
  print_percentiles("left_known_everywhere", left, 300);

  ClusterFixture::wait_until(10s, [&] { return rig.agree(); });
  rig.relay().cut({0, 3, 6, 9});
  const bool partitioned = ClusterFixture::wait_until(15s, [&] {  // until each side considers the other dead
    return rig.query_fleet(0, "view")["size"] == 4 && rig.query_fleet(1, "view")["size"] == 8;
  });
  print_figure("cut_datagrams", static_cast<double>(rig.relay().counts().cut), "datagrams",
               rig.relay().counts().cut > 0);
  const auto healed = Steady::now();
  rig.relay().heal();
  const bool agreed_again = ClusterFixture::wait_until(10s, [&] { return rig.agree(); });
  print_figure("agree_after_heal", ms(Steady::now() - healed), "ms",
               partitioned && agreed_again && Steady::now() - healed < 2s);

  rig.clear_events();
  lab::RelayLink faulty_link;
  faulty_link.loss = 0.2;
  faulty_link.max_delay = 10ms;
  rig.relay().set_all_links(faulty_link);
  std::mt19937_64 random(3);
  const auto end = Steady::now() + std::chrono::seconds(fault_seconds);
  int stops = 0;
  while (Steady::now() < end) {
    const std::size_t a = random() % kFleet;
    lab::RelayLink cut = faulty_link;
    cut.cut = true;
    rig.relay().set_link(random() % kFleet, random() % kFleet, cut);
    rig.stop(a);
    ++stops;
    std::this_thread::sleep_for(std::chrono::milliseconds(200 + random() % 1800));
    rig.continue_process(a);
    std::this_thread::sleep_for(std::chrono::milliseconds(random() % 500));
  }
  rig.relay().heal();
  std::this_thread::sleep_for(5s);  // lets pending suspicions expire or be refuted
  std::size_t deaths = 0;
  for (const lab::FleetEvent& e : rig.events()) deaths += e.kind == "died" ? 1 : 0;
  std::uint64_t pauses = 0;
  for (std::size_t i = 0; i < kFleet; ++i) pauses += rig.counter(i, "fleet.own_pauses");
  print_figure("bad_weather", fault_seconds, "s");
  print_figure("stops_in_bad_weather", stops, "stops", stops > 0);
  print_figure("own_pauses_noticed", static_cast<double>(pauses), "pauses", pauses > 0);
  print_figure("lost_in_bad_weather", static_cast<double>(rig.relay().counts().lost), "datagrams",
               rig.relay().counts().lost > 0);
  print_figure("false_deaths", static_cast<double>(deaths), "deaths", deaths == 0);
}

// 99th percentile of answer latency through three gatekeepers, alternating between fleet on and off.
void measure_service(const std::string& binary) {
  std::vector<double> p99[2];
  for (int round = 0; round < 6; ++round) {
    const bool on = round % 2 == 1;
    const std::vector<std::string> servers{bench::at(bench::free_port()), bench::at(bench::free_port())};
    lab::LoadPlan plan;
    plan.servers = servers;
    plan.flows.emplace_back();
    plan.flows[0].per_second = 600;
    plan.duration = 1500ms;
    std::vector<std::unique_ptr<test::Program>> programs;
    std::vector<std::string> ports;
    for (int i = 0; i < 3; ++i) ports.push_back(bench::at(test::Socket::bound(SOCK_DGRAM).port()));
    const std::string key = std::string(::getenv("TMPDIR") ? ::getenv("TMPDIR") : "/tmp") +
                            "/graniterun-bench-" + std::to_string(::getpid()) + ".key";
    std::ofstream(key) << std::string(64, '7') << '\n';
    for (int i = 0; i < 3; ++i) {
      plan.gatekeepers.push_back(bench::at(bench::free_port()));
      bench::json deploy;
      if (on)
        deploy = {{"fleet",
                   {{"name", "bench"},
                    {"listen", ports[static_cast<std::size_t>(i)]},
                    {"seeds", ports},
                    {"key_file", key}}}};
      programs.push_back(bench::gatekeeper(binary, plan.gatekeepers.back(), servers, i, 3, deploy));
    }
    for (const std::string& address : plan.gatekeepers)
      test::Socket::connected(std::stoi(address.substr(address.rfind(':') + 1)));
    lab::LoadGenerator load(plan);
    load.run();
    std::vector<double> latencies;
    for (const lab::CallRecord& c : load.calls()) {
      if (c.final_answers == 1)
        latencies.push_back(std::chrono::duration<double, std::micro>(c.answered - c.sent).count());
    }
    p99[on].push_back(lab::percentile(latencies, 0.99));
    ::unlink(key.c_str());
  }
  const double off = lab::percentile(p99[0], 0.5);
  const double on = lab::percentile(p99[1], 0.5);
  print_figure("answer_p99_fleet_off", off, "us");
  print_figure("answer_p99_fleet_on", on, "us");
  print_figure("answer_p99_spread_off", *std::max_element(p99[0].begin(), p99[0].end()) / std::max(1.0, off),
               "times");
  print_figure("answer_p99_on_by_off", on / std::max(1.0, off), "times");
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  measure_fleet(argv[1], argc > 2 ? std::atoi(argv[2]) : 6);
  measure_service(argv[1]);
  return passed ? 0 : 1;
}
