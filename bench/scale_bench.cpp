// Configuration at the fleet's scale: real distributors, hollow gatekeepers (lab/hollow.h) beside real ones
// that serve calls, at sizes up to the largest that the machine bears. Each fault of the design is put in,
// and the record of who had which version in force when is judged.
//
// Usage: graniterun_scale_bench GATEKEEPER DISTRIBUTOR HOLLOW [LARGEST [only] | short]
// A line a figure, `name_at_N value unit`, N gatekeepers; SHORT where an aim is missed, and then exit code 1.
// `short`: one small size, judged by the order of the record and by the faults that took hold; never by time.
#include <sys/resource.h>

#include <cmath>
#include <csignal>
#include <cstdio>
#include <filesystem>

#include "control/config_lines.h"
#include "lab/config_rig.h"
#include "lab/load.h"
#if __has_include("lab/config_sim.h")
#include "lab/config_sim.h"
#define GRANITERUN_HAS_CONFIG_SIM
#endif
#include "programs.h"

using namespace graniterun;
using namespace std::chrono_literals;
using lab::ConfigClusterFixture;
using lab::ConfigClusterPlan;
using lab::Nanos;
using nlohmann::json;
using Steady = std::chrono::steady_clock;

namespace {

constexpr double kAimMs = 6000.0;
bool good = true;
bool timed = true;  // times are judged
std::map<std::string, std::map<std::size_t, double>> slopes;

void figure(const std::string& name, double value, const char* unit, bool holds = true) {
  std::printf("%s %.2f %s%s\n", name.c_str(), value, unit, holds ? "" : " SHORT");
  std::fflush(stdout);
  good = good && holds;
}

double ms(Nanos ns) { return static_cast<double>(ns) / 1e6; }

std::uint64_t resident(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::uint64_t all = 0;
  std::uint64_t pages = 0;
  file >> all >> pages;
  return pages * 4096;
}

std::size_t sockets_of(int pid) {
  std::size_t count = 0;
  std::error_code ignored;
  for (const auto& e : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", ignored)) {
    const std::string to = std::filesystem::read_symlink(e.path(), ignored).string();
    count += to.starts_with("socket:") ? 1 : 0;
  }
  return count;
}

// Of the counters that a program prints when it is told to by SIGUSR1.
class Bytes {
 public:
  static std::uint64_t of(const std::function<std::string()>& log, int pid) {
    const std::size_t before = log().size();
    ::kill(pid, SIGUSR1);
    std::uint64_t all = 0;
    ConfigClusterFixture::wait_until(3s, [&] {
      const std::string text = log().substr(before);
      const auto number = [&text](const std::string& name) -> std::optional<std::uint64_t> {
        const std::size_t at = text.find("net." + name + " ");
        if (at == std::string::npos || text.find('\n', at) == std::string::npos) return std::nullopt;
        return std::strtoull(text.c_str() + at + name.size() + 5, nullptr, 10);
      };
      const auto in = number("bytes_in");
      const auto out = number("bytes_out");
      if (!in || !out) return false;
      all = *in + *out;
      return true;
    });
    return all;
  }
};

// A document of two kilobytes, the usual size, that holds its serial number at both ends.
std::string content_of(const std::string& service, std::uint64_t serial) {
  json mark = {{"first", serial}, {"pad", std::string(1900, 'x')}, {"second", serial}};
  json settings = {{"marks", {{service, mark}}}};
  if (service == lab::SubscriptionLayout::kCommonService)
    settings["limits"] = {{"maxAttempts", 2 + serial % 4}};
  return json{{"settings", settings}}.dump();
}

// No gatekeeper takes it.
std::string bad_content(std::uint64_t serial) {
  return json{{"settings", {{"limits", {{"maxAttempts", "many"}}}, {"serial", serial}}}}.dump();
}

class Scale {
 public:
  Scale(ConfigClusterPlan plan, bool is_short) : short_(is_short), rig_(std::move(plan)) {}

  bool run() {
    if (!start()) return false;
    if (!short_) quiet();
    if (!short_) calls(4s, calls_before_);
    std::thread load;
    const bool with_calls = true;
    if (with_calls) load = std::thread([this] { calls(short_ ? 5s : 20s, calls_during_); });
    one_at_a_time();
    ten_in_a_second();
    distributor_killed();
    distributor_stopped();
    if (load.joinable()) load.join();
    gatekeepers_restarted();
    third_cut_off();
    all_distributors_restarted();
    refused_by_all();
    if (!short_) files_and_hangups();
    if (!short_) judge_calls();
    return ends();
  }

 private:
  std::string at(const std::string& name) const { return name + "_at_" + std::to_string(rig_.size()); }
  void tell(const std::string& name, double value, const char* unit, bool holds = true) {
    figure(at(name), value, unit, holds);
    static const std::set<std::string> kMeasured{"ms", "us", "us/s", "B", "B/s", "KiB", "MiB", "sockets"};
    if (kMeasured.contains(unit) && name.find("reckoned") == std::string::npos)
      slopes[name][rig_.size()] = value;
  }
  void tell_time(const std::string& name, double value) {
    tell(name, value, "ms", value >= 0.0 && (!timed || value < kAimMs));
  }
  std::size_t some_distributor() { return up_.at(turn_++ % up_.size()); }
  std::chrono::milliseconds patience() const { return 25s; }

  struct Change {
    std::string service;
    std::uint64_t version = 0;
    Nanos began = 0;
  };
  // Published, and noted as the newest of its service.
  std::optional<Change> publish(const std::string& service, std::optional<std::size_t> by = {},
                                std::optional<std::string> content = {}) {
    std::string trouble;
    for (int tries = 0; tries < 5; ++tries) {
      Change change{service, 0, lab::steady_now()};
      const std::size_t i = by ? *by : some_distributor();
      const auto version =
          rig_.publish(i, service, content ? *content : content_of(service, ++serial_), &trouble);
      if (version) {
        change.version = *version;
        if (!content) newest_[service] = std::max(newest_[service], *version);
        return change;
      }
      std::this_thread::sleep_for(200ms);
    }
    std::fprintf(stderr, "%s is not published: %s\n", service.c_str(), trouble.c_str());
    ++unpublished_;
    return std::nullopt;
  }
  bool everywhere(const std::string& service, std::uint64_t version) const {
    return rig_.activation_of(service, version).active_now >= rig_.spread().subscribers(service);
  }
  // Milliseconds until it is in force at all; -1: it never was.
  double until_everywhere(const std::optional<Change>& change) {
    if (!change || !ConfigClusterFixture::wait_until(
                       patience(), [&] { return everywhere(change->service, change->version); })) {
      if (change) {
        const auto f = rig_.activation_of(change->service, change->version);
        std::fprintf(stderr, "%s %llu is in force at %zu of %zu\n", change->service.c_str(),
                     static_cast<unsigned long long>(change->version), f.active_now,
                     rig_.spread().subscribers(change->service));
      }
      ++never_;
      return -1.0;
    }
    const double took = ms(rig_.activation_of(change->service, change->version).last_at - change->began);
    if (took >= kAimMs) std::fprintf(stderr, "%s took %.0f ms\n", change->service.c_str(), took);
    return took;
  }
  bool all_in_sync() const {
    for (const auto& [service, version] : newest_) {
      if (!everywhere(service, version)) return false;
    }
    return true;
  }

  bool start() {
    for (std::size_t i = 0; i < rig_.plan().distributors; ++i) up_.push_back(i);
    const Nanos began = lab::steady_now();
    rig_.start_all();
    const bool up = ConfigClusterFixture::wait_until(60s, [&] {
      const auto t = rig_.totals();
      std::size_t ready = 0;
      for (std::size_t i = 0; i < rig_.plan().real; ++i) ready += rig_.real_ready(i) ? 1 : 0;
      return t.ready == rig_.plan().lightweight && ready == rig_.plan().real;
    });
    tell("start_to_ready", ms(lab::steady_now() - began), "ms", up);
    // The distributors begin where all are new; then every service of some size has a first document.
    const bool votes = ConfigClusterFixture::wait_until(
        30s, [&] { return rig_.publish(0, "all", content_of("all", ++serial_)).has_value(); });
    tell("start_to_first_commit", ms(lab::steady_now() - began), "ms", votes);
    if (!up || !votes) {
      const auto t = rig_.totals();
      std::fprintf(stderr, "%zu of %zu are up, %zu ready\n", t.up, rig_.plan().lightweight, t.ready);
      for (std::size_t i = 0; i < rig_.plan().real; ++i) {
        if (rig_.real_ready(i)) continue;
        const std::string log = rig_.real(i).log();
        std::fprintf(stderr, "g%zu: %s\n", i,
                     log.substr(log.size() - std::min<std::size_t>(log.size(), 2000)).c_str());
      }
      return false;
    }
    small_ = "s" + std::to_string(std::max<std::size_t>(1, rig_.spread().services() / 100) + 1);
    for (const char* common : {"all", "region-0", "region-1", "region-2"}) until_everywhere(publish(common));
    until_everywhere(publish(small_));
    return true;
  }

  struct Usage {
    Nanos at = 0;
    std::uint64_t light_cpu = 0;
    std::uint64_t light_bytes = 0;
    std::uint64_t bare_light_cpu = 0;
    std::uint64_t bare_light_bytes = 0;
    std::uint64_t real_cpu = 0;
    std::uint64_t real_bytes = 0;
    std::uint64_t plain_real_cpu = 0;
    std::uint64_t plain_real_bytes = 0;
    std::uint64_t bare_real_cpu = 0;
    std::uint64_t bare_real_bytes = 0;
    std::uint64_t distributor_cpu = 0;  // of all
    std::uint64_t distributor_bytes = 0;
  };
  Usage usage() {
    Usage u;
    const auto& plan = rig_.plan();
    for (std::size_t i = 0; i < plan.real; ++i)
      u.real_bytes += Bytes::of([&] { return rig_.real(i).log(); }, rig_.real_pid(i));
    for (std::size_t i = 0; i < 2 * plan.bare_real; ++i)
      (i < plan.bare_real ? u.plain_real_bytes : u.bare_real_bytes) +=
          Bytes::of([&] { return rig_.bare_real(i).log(); }, rig_.bare_real(i).pid());
    for (const std::size_t i : up_)
      u.distributor_bytes += Bytes::of([&] { return rig_.distributor_log(i); }, rig_.distributor_pid(i));
    for (std::size_t i = 0; i < plan.real; ++i) u.real_cpu += lab::cpu_ns(rig_.real_pid(i));
    for (std::size_t i = 0; i < 2 * plan.bare_real; ++i)
      (i < plan.bare_real ? u.plain_real_cpu : u.bare_real_cpu) += lab::cpu_ns(rig_.bare_real(i).pid());
    for (const std::size_t i : up_) u.distributor_cpu += lab::cpu_ns(rig_.distributor_pid(i));
    u.at = lab::steady_now();
    const auto t = rig_.totals();
    u.light_cpu = t.cpu_ns;
    u.light_bytes = t.bytes;
    const auto b = rig_.bare_totals();
    u.bare_light_cpu = b.cpu_ns;
    u.bare_light_bytes = b.bytes;
    return u;
  }

  // What control costs while nothing changes, and what a change for all costs. The real ones have their setup
  // servers, and no calls; nobody asks them anything.
  void quiet() {
    const auto& plan = rig_.plan();
    rig_.set_polling(false);
    std::thread servers([&] { calls(15s, nothing_, 0.001); });
    std::this_thread::sleep_for(2s);
    const Usage a = usage();
    std::this_thread::sleep_for(10s);  // two beats of each distributor
    const Usage b = usage();
    const int changes = 3;
    for (int i = 0; i < changes; ++i) {
      publish("all");
      std::this_thread::sleep_for(600ms);
    }
    const Usage c = usage();
    servers.join();
    rig_.set_polling(true);
    const double span = static_cast<double>(b.at - a.at) / 1e9;
    const double changing = static_cast<double>(c.at - b.at) / 1e9;
    const auto rate = [span](std::uint64_t from, std::uint64_t to, std::size_t of) {
      return of == 0 ? 0.0 : static_cast<double>(to - from) / span / static_cast<double>(of);
    };
    // Above the quiet rate, of a change.
    const auto of_change = [&](std::uint64_t x, std::uint64_t y, std::uint64_t z, std::size_t of) {
      const double quietly = static_cast<double>(y - x) / span * changing;
      return (static_cast<double>(z - y) - quietly) / changes /
             static_cast<double>(std::max<std::size_t>(1, of));
    };
    const double light_cpu = rate(a.light_cpu, b.light_cpu, plan.lightweight) / 1e3;
    const double light_bytes = rate(a.light_bytes, b.light_bytes, plan.lightweight);
    tell("gatekeeper_cpu_quiet", light_cpu, "us/s", light_cpu < 16'000.0);
    tell("gatekeeper_bytes_quiet", light_bytes, "B/s", light_bytes < 3000.0);
    tell("gatekeeper_cpu_of_a_change",
         of_change(a.light_cpu, b.light_cpu, c.light_cpu, plan.lightweight) / 1e3, "us");
    tell("gatekeeper_bytes_of_a_change",
         of_change(a.light_bytes, b.light_bytes, c.light_bytes, plan.lightweight), "B");
    const auto t = rig_.totals();
    tell("gatekeeper_memory", static_cast<double>(t.memory) / static_cast<double>(plan.lightweight) / 1024.0,
         "KiB");
    double most = 0.0;
    for (std::size_t i = 0; i < plan.real; ++i)
      most = std::max(most, static_cast<double>(resident(rig_.real_pid(i))) / 1048576.0);
    tell("real_gatekeeper_memory_most", most, "MiB", most < 128.0);

    // Control's part: what those with it cost above those without, hollow and real. These real
    // ones have no setup servers: what is said to them comes every 10 s and is more than control says.
    const double light_part =
        light_cpu - rate(a.bare_light_cpu, b.bare_light_cpu, plan.bare_lightweight) / 1e3;
    const double real_part = (rate(a.plain_real_cpu, b.plain_real_cpu, plan.bare_real) -
                              rate(a.bare_real_cpu, b.bare_real_cpu, plan.bare_real)) /
                             1e3;
    tell("real_gatekeeper_cpu_quiet", rate(a.real_cpu, b.real_cpu, plan.real) / 1e3, "us/s");
    tell("control_cpu_hollow", light_part, "us/s");
    tell("control_cpu_real", real_part, "us/s");
    const double cpu_ratio = light_part / std::max(1e-9, real_part);
    tell("control_cpu_hollow_by_real", cpu_ratio, "times", std::abs(cpu_ratio - 1.0) <= 0.2);
    const double light_bytes_part =
        light_bytes - rate(a.bare_light_bytes, b.bare_light_bytes, plan.bare_lightweight);
    const double real_bytes_part = rate(a.plain_real_bytes, b.plain_real_bytes, plan.bare_real) -
                                   rate(a.bare_real_bytes, b.bare_real_bytes, plan.bare_real);
    tell("control_bytes_hollow", light_bytes_part, "B/s");
    tell("control_bytes_real", real_bytes_part, "B/s");
    const double bytes_ratio = light_bytes_part / std::max(1e-9, real_bytes_part);
    tell("control_bytes_hollow_by_real", bytes_ratio, "times", std::abs(bytes_ratio - 1.0) <= 0.2);

    const std::size_t d = up_.size();
    tell("distributor_connections", static_cast<double>(sockets_of(rig_.distributor_pid(0))), "sockets");
    tell("distributor_cpu_quiet", rate(a.distributor_cpu, b.distributor_cpu, d) / 1e3, "us/s");
    tell("distributor_bytes_quiet", rate(a.distributor_bytes, b.distributor_bytes, d), "B/s");
    tell("distributor_cpu_of_a_change",
         of_change(a.distributor_cpu, b.distributor_cpu, c.distributor_cpu, d) / 1e3, "us");
    tell("distributor_bytes_of_a_change",
         of_change(a.distributor_bytes, b.distributor_bytes, c.distributor_bytes, d), "B");
    tell("distributor_memory", static_cast<double>(resident(rig_.distributor_pid(0))) / 1048576.0, "MiB");
    polling();
  }

  // Reckoned: the same news by asking every 3 s with the versions held, in bytes of the lines as they are.
  void polling() {
    using namespace distribution;
    std::vector<VersionsNotified::Entry> held;
    for (const std::string& service : rig_.spread().services_of(0))
      held.push_back({service, {1'790'000'000'000, {}}});
    const double question = static_cast<double>(control::subscribe_line("g0", held, true).dump().size() + 1);
    const double answer = static_cast<double>(control::versions_line(NotifyVersions{}).dump().size() + 1);
    tell("polling_bytes_reckoned", (question + answer) / 3.0, "B/s");
    tell("polling_questions_of_a_distributor_reckoned",
         static_cast<double>(rig_.size()) / 3.0 / static_cast<double>(up_.size()), "1/s");
    tell("polling_last_reckoned", 3000.0, "ms");
  }

  void one_at_a_time() {
    for (const bool for_all : {false, true}) {
      std::vector<double> took;
      for (int i = 0; i < (short_ ? 2 : 10); ++i)
        took.push_back(until_everywhere(publish(for_all ? "all" : small_)));
      const std::string name = for_all ? "change_for_all" : "change_of_a_small_service";
      const bool whole = std::find(took.begin(), took.end(), -1.0) == took.end();
      tell_time(name + "_median", whole ? lab::percentile(took, 0.5) : -1.0);
      tell_time(name + "_last", whole ? *std::max_element(took.begin(), took.end()) : -1.0);
    }
    tell("subscribers_of_the_small_service", static_cast<double>(rig_.spread().subscribers(small_)),
         "gatekeepers");
  }

  void ten_in_a_second() {
    std::optional<Change> last;
    const auto began = Steady::now();
    for (int i = 0; i < 10; ++i) {
      std::this_thread::sleep_until(began + 100ms * i);
      last = publish("all");
    }
    tell_time("ten_in_a_second_last", until_everywhere(last));
  }

  void distributor_killed() {
    const std::size_t victim = up_.size() - 1;
    double longest = 0.0;
    bool whole = true;
    std::vector<Change> changes;
    for (int i = 0; i < 4; ++i) {
      if (i == 2) {
        rig_.kill_distributor(victim);  // with the second one on its way
        up_.pop_back();
      }
      const auto change = publish("all", 0);
      whole = whole && change.has_value();
      if (!change) continue;
      changes.push_back(*change);
      if (i == 1) continue;
      const double took = until_everywhere(change);
      whole = whole && took >= 0.0;
      longest = std::max(longest, took);
    }
    tell_time("distributor_killed_last", whole ? longest : -1.0);
    rig_.start_distributor(victim);
    up_.push_back(victim);
    // Back with its files: it has a vote, and its gatekeepers come back to it.
    std::this_thread::sleep_for(1s);
    ++faults_["distributors_killed"];
  }

  // What one had sent waits in the network; it is stopped, the others go on, and it wakes with old news.
  void distributor_stopped() {
    const std::size_t victim = up_.size() > 1 ? 1 : 0;
    const auto before = rig_.totals();
    const auto held_before = rig_.relay().counts().held_back.load();
    rig_.relay().set_hold(victim, lab::StreamRelay::to_client, true);
    // One that is slower than its gatekeepers hears from them what they have, and has nothing to tell: so a
    // few times.
    for (int i = 0; i < 5; ++i) {
      until_everywhere(publish("all", 0));
      std::this_thread::sleep_for(100ms);
    }
    rig_.signal_distributor(victim, SIGSTOP);
    double longest = 0.0;
    bool whole = true;
    for (int i = 0; i < 3; ++i) {
      const double took = until_everywhere(publish("all", 0));
      whole = whole && took >= 0.0;
      longest = std::max(longest, took);
    }
    rig_.signal_distributor(victim, SIGCONT);
    rig_.relay().set_hold(victim, lab::StreamRelay::to_client, false);
    tell_time("distributor_stopped_last", whole ? longest : -1.0);
    const bool refused =
        ConfigClusterFixture::wait_until(5s, [&] { return rig_.totals().stale > before.stale; });
    tell("stale_after_waking", static_cast<double>(rig_.totals().stale - before.stale), "versions refused",
         refused);
    tell("held_back", static_cast<double>(rig_.relay().counts().held_back - held_before), "times",
         rig_.relay().counts().held_back > held_before);
    tell_time("after_waking_last", until_everywhere(publish("all")));
    ++faults_["distributors_stopped"];
  }

  void gatekeepers_restarted() {
    const auto before = rig_.totals();
    std::size_t wanted = 0;
    const Nanos began = lab::steady_now();
    for (std::size_t h = 0; h < rig_.plan().processes; ++h) {
      const std::size_t count = std::max<std::size_t>(1, rig_.lightweight_gatekeepers_of(h) / 10);
      rig_.restart_lightweight(h, count);
      wanted += count;
    }
    const std::size_t killed = std::max<std::size_t>(1, rig_.plan().real / 10);
    for (std::size_t i = rig_.plan().real - killed; i < rig_.plan().real; ++i) {
      rig_.kill_real(i);
      rig_.start_real(i);
    }
    const bool began_anew = ConfigClusterFixture::wait_until(
        10s, [&] { return rig_.totals().restarts >= before.restarts + wanted; });
    const bool back =
        began_anew && ConfigClusterFixture::wait_until(patience(), [&] { return all_in_sync(); });
    tell_time("tenth_restarted_until_all_equal", back ? ms(lab::steady_now() - began) : -1.0);
    tell("restarted", static_cast<double>(rig_.totals().restarts - before.restarts + killed), "gatekeepers",
         began_anew);
    tell_time("after_restarts_last", until_everywhere(publish("all")));
  }

  // Those behind the relay hear nothing and are not heard while many changes are published.
  void third_cut_off() {
    const std::size_t changes = short_ ? 20 : 500;
    const auto cut_before = rig_.relay().counts().dropped_bytes.load();
    rig_.relay().cut_all();
    const auto names = rig_.spread().service_names();
    const Nanos began = lab::steady_now();
    std::vector<std::thread> publishers;
    std::mutex mutex;
    std::atomic<std::size_t> published{0};
    const std::size_t lanes = std::min<std::size_t>(4, up_.size());
    for (std::size_t lane = 0; lane < lanes; ++lane) {
      publishers.emplace_back([&, lane] {
        for (std::size_t i = lane; i < changes; i += lanes) {
          // Each service is published by one of them only.
          const std::string& service =
              names[lane + lanes * ((i / lanes) % std::max<std::size_t>(1, names.size() / lanes))];
          std::uint64_t serial = 0;
          {
            const std::lock_guard lock(mutex);
            serial = ++serial_;
          }
          std::string trouble;
          const auto version = rig_.publish(up_[lane], service, content_of(service, serial), &trouble);
          const std::lock_guard lock(mutex);
          if (!version) {
            ++unpublished_;
            std::fprintf(stderr, "%s is not published in the cut: %s\n", service.c_str(), trouble.c_str());
            continue;
          }
          ++published;
          newest_[service] = std::max(newest_[service], *version);
        }
      });
    }
    for (std::thread& t : publishers) t.join();
    const double took = static_cast<double>(lab::steady_now() - began) / 1e9;
    tell("published_in_the_cut", static_cast<double>(published), "changes", published == changes);
    tell("published_a_second", static_cast<double>(published) / took, "1/s");
    std::this_thread::sleep_for(300ms);
    const Nanos healed = lab::steady_now();
    rig_.relay().heal();
    double peak = 0.0;
    std::uint64_t passed = rig_.relay().counts().forwarded_bytes;
    const std::uint64_t all_before = passed;
    Nanos looked = healed;
    bool quiet = false;
    while (!quiet && lab::steady_now() - healed < 30'000'000'000) {
      std::this_thread::sleep_for(50ms);
      const Nanos now = lab::steady_now();
      const std::uint64_t then = std::exchange(passed, rig_.relay().counts().forwarded_bytes.load());
      peak = std::max(peak, static_cast<double>(passed - then) * 1e9 /
                                static_cast<double>(now - std::exchange(looked, now)));
      quiet = all_in_sync();
    }
    if (!quiet) ++never_;
    tell_time("heal_to_quiet", quiet ? ms(lab::steady_now() - healed) : -1.0);
    tell("heal_bytes_peak", peak / 1024.0, "KiB/s");
    tell("heal_bytes", static_cast<double>(passed - all_before) / 1024.0, "KiB");
    const auto& counts = rig_.relay().counts();
    tell("bytes_cut", static_cast<double>(counts.dropped_bytes - cut_before), "B",
         counts.dropped_bytes > cut_before);
    tell("connections_cut", static_cast<double>(counts.damaged_connections), "connections",
         counts.damaged_connections > 0);
  }

  void all_distributors_restarted() {
    const Nanos began = lab::steady_now();
    for (const std::size_t i : up_) rig_.kill_distributor(i);
    for (const std::size_t i : up_) rig_.start_distributor(i);
    std::optional<Change> change;
    ConfigClusterFixture::wait_until(patience(), [&] {
      change = publish("all");
      return change.has_value();
    });
    const double took = until_everywhere(change);
    tell_time("all_distributors_restarted_last",
              took < 0.0 ? -1.0 : ms(rig_.activation_of("all", change->version).last_at - began));
    ++faults_["all_distributors_restarted"];
  }

  void refused_by_all() {
    const auto bad = publish("all", {}, bad_content(++serial_));
    const bool refused =
        bad && ConfigClusterFixture::wait_until(patience(), [&] {
          return rig_.rejected_count("all", bad->version) >= rig_.spread().subscribers("all");
        });
    tell_time("refused_by_all_told", refused ? ms(lab::steady_now() - bad->began) : -1.0);
    // What was in force stayed, but for the bad one's number; a good one goes above it.
    const std::uint64_t before = newest_["all"];
    tell("kept_what_was_in_force", static_cast<double>(rig_.activation_of("all", before).active_now),
         "gatekeepers", everywhere("all", before));
    tell_time("after_a_refused_one_last", until_everywhere(publish("all")));
  }

  // As it was done before: a file at each gatekeeper and a SIGHUP to it.
  void files_and_hangups() {
    const Nanos began = lab::steady_now();
    bool all = true;
    for (std::size_t i = 0; i < rig_.plan().real; ++i) {
      json config = json::parse(rig_.real_config(i));
      config["settings"]["limits"]["maxAttempts"] = 3;
      const std::size_t before = rig_.real(i).log().size();
      rig_.real(i).write_config(config.dump());
      rig_.real(i).signal(SIGHUP);
      all = all && ConfigClusterFixture::wait_until(2s, [&] {
              return rig_.real(i).log().find("the configuration was read again", before) != std::string::npos;
            });
    }
    const double each =
        ms(lab::steady_now() - began) / static_cast<double>(std::max<std::size_t>(1, rig_.plan().real));
    tell("file_and_hangup_of_one", each, "ms", all);
    // One after the other: linear, and reckoned, not measured, at this size.
    tell("file_and_hangup_of_all_reckoned", each * static_cast<double>(rig_.size()), "ms");
  }

  // Calls to the real gatekeepers but the last tenth, which are killed.
  void calls(Duration lasts, std::vector<double>& waits, double per_second = 300.0) {
    lab::LoadPlan plan;
    const std::size_t killed = std::max<std::size_t>(1, rig_.plan().real / 10);
    for (std::size_t i = 0; i + killed < rig_.plan().real; ++i)
      plan.gatekeepers.push_back(rig_.real_listen(i));
    plan.servers = rig_.servers();
    plan.flows.emplace_back();
    plan.flows[0].per_second = short_ ? 30.0 : per_second;
    plan.duration = lasts;
    plan.seed = 1 + waits.size();
    lab::LoadGenerator load(plan);
    load.run();
    for (const lab::CallRecord& c : load.calls()) {
      if (c.final_answers == 1)
        waits.push_back(std::chrono::duration<double, std::micro>(c.answered - c.sent).count());
      unanswered_ += c.final_answers == 0 ? 1 : 0;
      twice_ += c.final_answers > 1 ? 1 : 0;
    }
  }
  void judge_calls() {
    const double before = lab::percentile(calls_before_, 0.99);
    const double during = lab::percentile(calls_during_, 0.99);
    tell("answer_p99_without_changes", before, "us");
    tell("answer_p99_with_changes", during, "us");
    tell("answer_p99_with_by_without", during / std::max(1.0, before), "times", during <= 1.05 * before);
    const std::size_t answered = std::min(calls_before_.size(), calls_during_.size());
    tell("calls_of_the_smaller_part", static_cast<double>(answered), "calls", answered > 500);
    tell("calls_unanswered", static_cast<double>(unanswered_), "calls", unanswered_ == 0);
    tell("calls_answered_twice", static_cast<double>(twice_), "calls", twice_ == 0);
  }

  bool ends() {
    const bool equal = ConfigClusterFixture::wait_until(patience(), [&] { return all_in_sync(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(3 * rig_.plan().interval_ms));
    const auto t = rig_.totals();
    tell("all_equal_at_the_end", equal ? 1.0 : 0.0, "", equal);
    tell("services_published", static_cast<double>(newest_.size()), "services");
    tell("never_in_force_everywhere", static_cast<double>(never_), "changes", never_ == 0);
    tell("not_published", static_cast<double>(unpublished_), "changes", unpublished_ == 0);
    tell("versions_that_went_back", static_cast<double>(t.version_decreases), "versions",
         t.version_decreases == 0);
    tell("versions_mixed", static_cast<double>(t.content_mismatches), "versions", t.content_mismatches == 0);
    tell("conflicts", static_cast<double>(t.conflict), "versions", t.conflict == 0);
    tell("unsound", static_cast<double>(t.unsound), "documents", t.unsound == 0);
    tell("stale_refused", static_cast<double>(t.stale), "versions", t.stale > 0);
    tell("lists_of_servers_taken", static_cast<double>(t.endpoint_lists), "lists",
         t.endpoint_lists >= rig_.plan().lightweight);
    if (short_)
      tell("calls_answered", static_cast<double>(calls_during_.size()), "calls", !calls_during_.empty());
    for (const auto& [name, count] : faults_) tell(name, count, "times", count > 0);
    return true;
  }

  bool short_;
  ConfigClusterFixture rig_;
  std::vector<std::size_t> up_;  // distributors
  std::size_t turn_ = 0;
  std::uint64_t serial_ = 0;
  std::string small_;
  std::map<std::string, std::uint64_t> newest_;
  std::map<std::string, int> faults_;
  std::vector<double> calls_before_;
  std::vector<double> calls_during_;
  std::vector<double> nothing_;
  std::size_t unanswered_ = 0;
  std::size_t twice_ = 0;
  std::size_t never_ = 0;
  std::atomic<std::size_t> unpublished_{0};
};

// ---- where sockets end: the same reducers under the test clock

#ifdef GRANITERUN_HAS_CONFIG_SIM
double processor_ms() {
  rusage r{};
  ::getrusage(RUSAGE_SELF, &r);
  return static_cast<double>(r.ru_utime.tv_sec + r.ru_stime.tv_sec) * 1e3 +
         static_cast<double>(r.ru_utime.tv_usec + r.ru_stime.tv_usec) / 1e3;
}

void simulated(std::size_t n) {
  constexpr std::size_t kDistributors = 16;
  lab::ConfigSimSettings settings;
  settings.distributors = kDistributors;
  settings.gatekeepers = n;
  settings.services = std::max<std::size_t>(4, n * 2000 / 13'000);
  settings.services_per_gatekeeper = 1;
  settings.seed = n;
  lab::ConfigSim sim(settings);
  const auto tell = [n](const std::string& name, double value, const char* unit, bool holds = true) {
    figure(name + "_simulated_at_" + std::to_string(n), value, unit, holds);
    if (*unit != '\0') slopes[name + "_simulated"][n] = value;
  };
  sim.start_all(false);
  bool votes = false;
  for (int i = 0; i < 150 && !(votes = sim.all_voting()); ++i) sim.run(100ms);
  sim.run(2s);
  const auto bytes = [&sim, n] {
    std::pair<double, double> mean{};  // of a gatekeeper, of a distributor
    for (std::size_t i = 0; i < kDistributors + n; ++i)
      (i < kDistributors ? mean.second : mean.first) +=
          static_cast<double>(sim.bytes_to(i) + sim.bytes_from(i));
    return std::pair{mean.first / static_cast<double>(n), mean.second / kDistributors};
  };
  // Quiet: beats and ticks.
  const auto b0 = bytes();
  const auto lines0 = sim.counts().lines;
  const double cpu0 = processor_ms();
  sim.run(5s);
  const auto b1 = bytes();
  tell("gatekeeper_bytes_quiet", (b1.first - b0.first) / 5.0, "B/s", (b1.first - b0.first) / 5.0 < 3000.0);
  tell("distributor_bytes_quiet", (b1.second - b0.second) / 5.0, "B/s");
  tell("messages_quiet", static_cast<double>(sim.counts().lines - lines0) / 5.0, "1/s");
  const double quiet_ms = (processor_ms() - cpu0) / 5.0;
  tell("processor_quiet_of_all", quiet_ms, "ms/s");
  // A change a second, each of a service of its own.
  const auto b2 = bytes();
  const auto lines2 = sim.counts().lines;
  const double cpu2 = processor_ms();
  sim.take_activations();
  std::vector<std::uint64_t> requests;
  std::vector<Time> began;
  constexpr std::size_t kChanges = 10;
  for (std::size_t i = 0; i < kChanges; ++i) {
    began.push_back(sim.now());
    requests.push_back(sim.publish(i % kDistributors, lab::ConfigSim::service_of(i % settings.services),
                                   content_of("s", i + 1)));
    sim.run(1s);
  }
  double last = -1.0;
  std::size_t taken = 0;
  for (const lab::ConfigSim::VersionActivation& f : sim.take_activations()) {
    for (std::size_t i = 0; i < kChanges; ++i) {
      const auto& result = sim.result(requests[i]);
      if (!result || !result->committed || f.version != result->id.version ||
          f.service != lab::ConfigSim::service_of(i % settings.services))
        continue;
      ++taken;
      last = std::max(last, std::chrono::duration<double, std::milli>(f.at - began[i]).count());
    }
  }
  const auto b3 = bytes();
  const double changes = static_cast<double>(kChanges);
  tell("change_last", last, "ms", votes && taken > 0 && last < kAimMs);
  tell("gatekeepers_of_a_change", static_cast<double>(taken) / changes, "gatekeepers", taken > 0);
  tell("messages_of_a_change",
       (static_cast<double>(sim.counts().lines - lines2) -
        static_cast<double>(lines2 - lines0) / 5.0 * changes) /
           changes,
       "messages");
  tell("distributor_bytes_of_a_change",
       (b3.second - b2.second - (b1.second - b0.second) / 5.0 * changes) / changes, "B");
  tell("processor_changing_of_all", (processor_ms() - cpu2) / changes, "ms/s");
  tell("all_equal", sim.all_in_sync() ? 1.0 : 0.0, "", sim.all_in_sync());
}
#endif

// ---- the laws

struct Law {
  const char* name;
  double (*of)(double n);
};
constexpr Law kLaws[] = {{"constant", [](double) { return 0.0; }},
                         {"log_n", [](double n) { return std::log(n); }},
                         {"n", [](double n) { return n; }}};

// y = a + b f(n) by least squares, all sizes but the largest.
struct Fit {
  double a = 0.0;
  double b = 0.0;
  double error = 0.0;  // root of the mean square, of the sizes fitted
};
Fit fit(const Law& law, const std::vector<std::pair<double, double>>& points) {
  double sx = 0, sy = 0, sxx = 0, sxy = 0;
  const double k = static_cast<double>(points.size());
  for (const auto& [n, y] : points) {
    const double x = law.of(n);
    sx += x, sy += y, sxx += x * x, sxy += x * y;
  }
  Fit f;
  const double spread = k * sxx - sx * sx;
  f.b = spread > 1e-12 ? (k * sxy - sx * sy) / spread : 0.0;
  f.a = (sy - f.b * sx) / k;
  double squares = 0.0;
  for (const auto& [n, y] : points) squares += std::pow(y - f.a - f.b * law.of(n), 2.0);
  // Each constant that was fitted takes a point away.
  const double free = k - (law.of(2.0) == 0.0 ? 1.0 : 2.0);
  f.error = std::sqrt(squares / std::max(1.0, free));
  return f;
}

void tell_laws() {
  for (const auto& [name, sizes] : slopes) {
    if (sizes.size() < 3) continue;
    std::vector<std::pair<double, double>> points;
    for (const auto& [n, y] : sizes) points.emplace_back(static_cast<double>(n), y);
    const auto [largest, told] = points.back();
    points.pop_back();
    const Law* best = nullptr;
    Fit of_best;
    for (const Law& law : kLaws) {
      const Fit f = fit(law, points);
      if (best == nullptr || f.error < 0.95 * of_best.error) {
        best = &law;
        of_best = f;
      }
    }
    const double expected = of_best.a + of_best.b * best->of(largest);
    const double error = told == 0.0 ? 0.0 : 100.0 * (expected - told) / std::abs(told);
    std::printf("law_of_%s %s a=%.3f b=%.6f error_at_%.0f %.1f %%\n", name.c_str(), best->name, of_best.a,
                of_best.b, largest, error);
  }
}

ConfigClusterPlan plan_of(char** argv, std::size_t size) {
  ConfigClusterPlan plan;
  plan.gatekeeper = argv[1];
  plan.distributor = argv[2];
  plan.hollow = argv[3];
  plan.real = 12;
  plan.lightweight = size - plan.real;
  plan.processes = std::clamp<std::size_t>(size / 250, 3, 24) / 3 * 3;
  plan.relayed_processes = plan.processes / 3;
  plan.bare_lightweight = 20;
  plan.bare_real = 3;
  plan.seed = size;
  return plan;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) {
    std::fprintf(stderr, "usage: graniterun_scale_bench GATEKEEPER DISTRIBUTOR HOLLOW [LARGEST | short]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::string last = argc > 4 ? argv[4] : "";
  const bool only = argc > 5 && std::string(argv[5]) == "only";  // the largest size, and no smaller one
  // A run ends by itself, whatever hangs; with it end all programs that it started.
  ::alarm(last == "short" ? 110 : 900);
  if (last == "short") {
    timed = false;
    ConfigClusterPlan plan = plan_of(argv, 42);
    plan.distributors = 3;
    plan.real = 2;
    plan.lightweight = 40;
    plan.processes = 2;
    plan.relayed_processes = 1;
    plan.bare_lightweight = plan.bare_real = 0;
    plan.lifetime_s = 110;
    good = Scale(plan, true).run() && good;
    return good ? 0 : 1;
  }
  const std::size_t largest = last.empty() ? 3000 : static_cast<std::size_t>(std::atol(last.c_str()));
  std::vector<std::size_t> sizes;
  for (const std::size_t n : {100UL, 300UL, 1000UL, 3000UL}) {
    if (n < largest && !only) sizes.push_back(n);
  }
  sizes.push_back(largest);
  for (const std::size_t n : sizes) good = Scale(plan_of(argv, n), false).run() && good;
#ifdef GRANITERUN_HAS_CONFIG_SIM
  for (const std::size_t n : {300UL, 1000UL, 3000UL, 13'000UL}) simulated(n);
#endif
  tell_laws();
  return good ? 0 : 1;
}
