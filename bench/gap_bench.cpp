// Measures call gaps: the cost of a check, the memory of a gap, and a fleet of eight gatekeepers under a
// flood of calls to one number at 20 times the rate that its gap passes. Usage: gap_bench GATEKEEPER
// ANNOUNCER CTL. Exits with 1 if a limit is missed.
#include <malloc.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <thread>

#include "call_gapping/gap_register.h"
#include "lab/load.h"
#include "programs.h"

using namespace graniterun;
using namespace graniterun::bench;
using namespace std::chrono_literals;

namespace {

bool passed = true;

void print_figure(const char* name, double value, const char* unit, bool within_limit = true) {
  std::printf("%s %.4g %s%s\n", name, value, unit, within_limit ? "" : " SHORT");
  std::fflush(stdout);
  passed = passed && within_limit;
}

// ---- the check

double check_ns(std::size_t gaps) {
  constexpr Time kStart{1'700'000'000s};
  const auto before = mallinfo2().uordblks;
  call_gapping::GapRegister reg({8, 0}, 1, kStart);
  for (std::size_t i = 0; i < gaps; ++i) {
    call_gapping::Announcement announcement;
    announcement.id = "g" + std::to_string(i);
    announcement.version = 1;
    announcement.created_at = announcement.start = kStart;
    announcement.end = kStart + 1h;
    announcement.gap.emplace();
    // Mixes numbers with prefixes of several lengths: each prefix length in use costs one lookup per check.
    const std::string digits = std::to_string(1'000'000'000 + i * 7919);
    if (i % 4 == 0) {
      announcement.gap->criteria.prefixes = {digits.substr(0, 6 + i % 3)};
    } else {
      announcement.gap->criteria.numbers = {digits};
    }
    announcement.gap->interval = 1s;
    reg.announce(kStart, announcement);
  }
  if (gaps == 100'000)
    print_figure("memory_a_gap",
                 static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(gaps), "bytes");
  std::vector<std::string> numbers;
  for (std::size_t i = 0; i < 4096; ++i) numbers.push_back(std::to_string(5'000'000'000 + i * 104'729));
  std::vector<double> runs;
  std::size_t passed_checks = 0;
  for (int run = 0; run < 15; ++run) {
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < 100'000; ++i)
      passed_checks += reg.check(kStart + std::chrono::microseconds(i),
                                 numbers[static_cast<std::size_t>(i) % 4096], "voice")
                           .passes;
    const auto took = std::chrono::steady_clock::now() - began;
    runs.push_back(std::chrono::duration<double, std::nano>(took).count() / 100'000);
  }
  if (passed_checks != 1'500'000) print_figure("checks_wrong", 1, "checks", false);
  return lab::percentile(runs, 0.5);
}

// ---- the fleet

// Child process, killed by the destructor.
class Child {
 public:
  explicit Child(const std::vector<std::string>& arguments) {
    pid_ = ::fork();
    if (pid_ != 0) return;
    const int null_device = ::open("/dev/null", O_WRONLY);
    ::dup2(null_device, 2);
    std::vector<char*> argv;
    for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }
  ~Child() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }

 private:
  pid_t pid_;
};

json ctl(const std::string& command) {
  std::string text;
  FILE* pipe = ::popen((command + " --json").c_str(), "r");
  char buffer[4096];
  while (pipe != nullptr && ::fgets(buffer, sizeof buffer, pipe) != nullptr) text += buffer;
  if (pipe != nullptr) ::pclose(pipe);
  return json::parse(text, nullptr, false);
}

struct SlotUsage {
  std::size_t slots = 0;     // slots used
  std::size_t too_many = 0;  // passed calls without a slot of their own
  double share = 0.0;
};

// Assigns a slot to each passed call. A call is decided between its sending and its answer, so any free slot
// in that span may be its own. Counts the calls without one and the slots used from `begins` to `ends`.
SlotUsage assign_slots(const std::vector<lab::CallRecord>& calls, std::size_t flow, Time start,
                       Duration interval, Time begins, Time ends) {
  SlotUsage result;
  std::map<std::int64_t, std::size_t> used;
  const auto slot_at = [&](Time time) { return (time - start) / interval; };
  for (const lab::CallRecord& c : calls) {
    if (c.flow != flow || c.sent < begins || c.sent >= ends || c.finals == 0 || c.worded) continue;
    std::int64_t slot = slot_at(c.sent);
    const std::int64_t last = slot_at(c.answered);
    while (slot < last && used.contains(slot)) ++slot;
    if (!used.emplace(slot, 1).second) ++result.too_many;
  }
  result.slots = used.size();
  result.share = static_cast<double>(used.size()) / static_cast<double>((ends - begins) / interval);
  return result;
}

void measure_fleet(char** argv) {
  constexpr std::size_t kFleet = 8;
  constexpr Duration kInterval = 50ms;
  const std::vector<std::string> servers{at(free_port()), at(free_port())};
  const std::string announcer = at(free_port());
  lab::Plan plan;
  plan.servers = servers;
  std::vector<std::unique_ptr<test::Program>> programs;
  std::string controls;
  for (std::size_t i = 0; i < kFleet; ++i) {
    const std::string control = at(free_port());
    plan.gatekeepers.push_back(at(free_port()));
    programs.push_back(gatekeeper(argv[1], plan.gatekeepers.back(), servers, static_cast<int>(i), kFleet,
                                  {{"control", {{"listen", control}}}, {"gaps", {{"fleet_size", kFleet}}}}));
    controls += (controls.empty() ? "" : ",") + control;
  }
  for (const std::string& address : plan.gatekeepers)
    test::Socket::connected(std::stoi(address.substr(address.rfind(':') + 1)));
  const Child publisher({argv[2], "--listen", announcer, "--gatekeeper", controls});

  // Calls to other numbers run throughout. The flood goes evenly to all gatekeepers, then to one only; then
  // it is replaced by as many calls to any number as the gap had passed, which shows what the servers' own
  // load costs the other calls. The servers handle 160 setups per second, so without the gap a flood of 400
  // overloads them.
  plan.work = 12ms;
  plan.flows.resize(4);
  plan.flows[0].per_second = 80;
  plan.flows[1] = {400, "4711", {}, false, 0s, 20s};
  plan.flows[2] = {400, "4711", {0, 0, 1, 0, 0, 0, 0, 0}, false, 20s, 31s};
  plan.flows[3] = {20, "", {}, false, 31s, 44s};
  plan.lasts = 44s;
  Time began{};
  plan.tick = [&](Time now) {
    if (began == Time{}) began = now;
  };
  std::atomic<std::int64_t> started{0};
  std::vector<double> announce_delays;
  std::vector<double> lift_delays;
  std::thread operator_thread([&] {
    std::this_thread::sleep_for(4500ms);
    const std::string to = " --to " + announcer;
    const json response =
        ctl(std::string(argv[3]) + " gap announce hiker --number 4711 --one-in 50ms --words gapped" + to);
    if (response.is_object()) started = response.value("version", std::int64_t{0});
    for (int i = 0; i < 40; ++i) {
      const std::string id = "probe" + std::to_string(i);
      for (const bool announce : {true, false}) {
        const json reply =
            ctl(std::string(argv[3]) +
                (announce ? " gap announce " + id + " --number 99 --one-in none" : " gap lift " + id) + to);
        if (!reply.is_object()) continue;
        for (const json& object : reply["targets"][0].value("obeyed", json::array()))
          (announce ? announce_delays : lift_delays).push_back(object["after_ms"].get<double>());
      }
      std::this_thread::sleep_for(200ms);
    }
  });
  lab::Load load(plan);
  load.run();
  operator_thread.join();

  const Time start{std::chrono::milliseconds(started.load())};
  const auto& calls = load.calls();
  const SlotUsage evenly = assign_slots(calls, 1, start, kInterval, start + 1s, began + 19500ms);
  const SlotUsage at_one = assign_slots(calls, 2, start, kInterval, began + 23s, began + 30500ms);
  const SlotUsage all = assign_slots(calls, 1, start, kInterval, start + 1s, began + 20s);
  print_figure("gap_taken", started > 0 ? 1 : 0, "gaps", started > 0);
  print_figure("passed_over_one_in_a_slot",
               static_cast<double>(evenly.too_many + at_one.too_many + all.too_many), "calls",
               evenly.too_many + at_one.too_many + all.too_many == 0);
  // At most 1 - e^-2.5: arrivals are Poisson, with 2.5 calls per slot at each gatekeeper.
  print_figure("slots_used_evenly", evenly.share, "share", evenly.share > 0.9);
  print_figure("slots_used_at_one_gatekeeper", at_one.share, "share", at_one.share > 0.8);
  for (const auto& [name, values] :
       {std::pair{"announce_to_obey_p99", &announce_delays}, std::pair{"lift_to_obey_p99", &lift_delays}}) {
    const double p99 = lab::percentile(*values, 0.99);
    print_figure(name, p99, "ms", p99 < 200 && values->size() == 40 * kFleet);
  }
  // Indexed by phase: without the gap, with the gap, without the flood.
  std::size_t others_established[3] = {};
  std::size_t others[3] = {};
  std::size_t others_late[3] = {};
  std::map<int, std::size_t> others_rejected[3];  // count by cause
  std::size_t not_answered_once = 0;
  std::size_t gapped = 0;
  for (const lab::CallRecord& c : calls) {
    if (c.finals != 1) ++not_answered_once;
    if (c.flow != 0 && c.worded) ++gapped;
    if (c.flow != 0) continue;
    const int phase = c.sent < start ? 0 : c.sent < began + 31s ? 1 : 2;
    const bool changing = (phase == 0 && c.sent < began + 1s) || (phase == 1 && c.sent < start + 2s) ||
                          (phase == 2 && c.sent < began + 32s);
    if (changing) continue;
    ++others[phase];
    const bool in_time = c.stood && c.answered - c.sent <= 1500ms;
    others_established[phase] += in_time ? 1 : 0;
    others_late[phase] += c.stood && !in_time ? 1 : 0;
    if (!c.stood) ++others_rejected[phase][c.cause];
  }
  const auto share = [&](int phase) {
    return others[phase] == 0
               ? 0.0
               : static_cast<double>(others_established[phase]) / static_cast<double>(others[phase]);
  };
  print_figure("others_served_without_the_gap", share(0), "share");
  print_figure("others_served_with_no_flood", share(2), "share");
  print_figure("others_served_with_the_gap", share(1), "share", share(1) > 0.99);
  for (const int phase : {1, 2}) {
    const std::string suffix = phase == 1 ? "_with_the_gap" : "_with_no_flood";
    print_figure(("others" + suffix).c_str(), static_cast<double>(others[phase]), "calls");
    print_figure(("others_late" + suffix).c_str(), static_cast<double>(others_late[phase]), "calls");
    for (const auto& [cause, count] : others_rejected[phase])
      print_figure(("others_refused_by_cause_" + std::to_string(cause) + suffix).c_str(),
                   static_cast<double>(count), "calls");
  }
  print_figure("calls_gapped", static_cast<double>(gapped), "calls", gapped > 1000);
  print_figure("calls_not_answered_once", static_cast<double>(not_answered_once), "calls",
               not_answered_once == 0);
}

}  // namespace

int main(int, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const double none = check_ns(0);
  const double few = check_ns(100);
  const double many = check_ns(100'000);
  print_figure("check_at_0_gaps", none, "ns");
  print_figure("check_at_100_gaps", few, "ns");
  print_figure("check_at_100000_gaps", many, "ns", many < 200 && many < 3 * few);
  measure_fleet(argv);
  return passed ? 0 : 1;
}
