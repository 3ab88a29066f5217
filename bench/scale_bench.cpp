// Measures configuration distribution at the fleet's scale: real distributors, lightweight gatekeepers
// (lab/hollow.h) and real gatekeepers that serve calls, at sizes up to the largest that the machine supports.
// It injects each fault of the design and checks which gatekeeper had which version active at what time.
//
// Usage: graniterun_scale_bench GATEKEEPER DISTRIBUTOR HOLLOW [LARGEST [only] | short]
// Prints one figure per line, `name_at_N value unit` for N gatekeepers, followed by SHORT if it misses its
// limit; the exit code is then 1. `short` runs one small size and checks the order of the record and that the
// faults took effect, never times.
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
using lab::ConfigPlan;
using lab::ConfigRig;
using lab::Nanos;
using nlohmann::json;
using Steady = std::chrono::steady_clock;

namespace {

constexpr double kMaxActivationMs = 6000.0;  // until a change is active everywhere
bool passed = true;
bool timed = true;  // whether times are checked against their limits
std::map<std::string, std::map<std::size_t, double>> slopes;

void print_figure(const std::string& name, double value, const char* unit, bool within_limit = true) {
  std::printf("%s %.2f %s%s\n", name.c_str(), value, unit, within_limit ? "" : " SHORT");
  std::fflush(stdout);
  passed = passed && within_limit;
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

// Reads the byte counters that a program prints on SIGUSR1.
class ByteCounters {
 public:
  static std::uint64_t of(const std::function<std::string()>& log, int pid) {
    const std::size_t before = log().size();
    ::kill(pid, SIGUSR1);
    std::uint64_t all = 0;
    ConfigRig::until(3s, [&] {
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

// Service configuration of two kilobytes, the usual size, with its serial number at both ends to reveal mixed
// versions.
std::string content_of(const std::string& service, std::uint64_t serial) {
  json mark = {{"first", serial}, {"pad", std::string(1900, 'x')}, {"second", serial}};
  json settings = {{"marks", {{service, mark}}}};
  if (service == lab::Spread::kForAll) settings["limits"] = {{"maxAttempts", 2 + serial % 4}};
  return json{{"settings", settings}}.dump();
}

// Service configuration that every gatekeeper rejects.
std::string bad_content(std::uint64_t serial) {
  return json{{"settings", {{"limits", {{"maxAttempts", "many"}}}, {"serial", serial}}}}.dump();
}

class ScaleRun {
 public:
  ScaleRun(ConfigPlan plan, bool is_short) : short_(is_short), rig_(std::move(plan)) {}

  bool run() {
    if (!start()) return false;
    if (!short_) measure_quiet_cost();
    if (!short_) place_calls(4s, calls_before_);
    std::thread load;
    const bool with_calls = true;
    if (with_calls) load = std::thread([this] { place_calls(short_ ? 5s : 20s, calls_during_); });
    publish_one_at_a_time();
    publish_ten_in_a_second();
    kill_distributor();
    stop_distributor();
    if (load.joinable()) load.join();
    restart_gatekeepers();
    partition_a_third();
    restart_all_distributors();
    publish_rejected_by_all();
    if (!short_) measure_files_and_hangups();
    if (!short_) check_calls();
    return check_final_state();
  }

 private:
  std::string at(const std::string& name) const { return name + "_at_" + std::to_string(rig_.size()); }
  void print_at_size(const std::string& name, double value, const char* unit, bool within_limit = true) {
    print_figure(at(name), value, unit, within_limit);
    static const std::set<std::string> kMeasured{"ms", "us", "us/s", "B", "B/s", "KiB", "MiB", "sockets"};
    if (kMeasured.contains(unit) && name.find("reckoned") == std::string::npos)
      slopes[name][rig_.size()] = value;
  }
  void print_time(const std::string& name, double value) {
    print_at_size(name, value, "ms", value >= 0.0 && (!timed || value < kMaxActivationMs));
  }
  std::size_t next_distributor() {
    return running_distributors_.at(next_index_++ % running_distributors_.size());
  }
  std::chrono::milliseconds activation_timeout() const { return 25s; }

  struct Change {
    std::string service;
    std::uint64_t version = 0;
    Nanos began = 0;
  };
  // Publishes a change and records it as the newest of its service; retries up to five times.
  std::optional<Change> publish(const std::string& service, std::optional<std::size_t> by = {},
                                std::optional<std::string> content = {}) {
    std::string error;
    for (int tries = 0; tries < 5; ++tries) {
      Change change{service, 0, lab::steady_now()};
      const std::size_t i = by ? *by : next_distributor();
      const auto version =
          rig_.publish(i, service, content ? *content : content_of(service, ++serial_), &error);
      if (version) {
        change.version = *version;
        if (!content) newest_[service] = std::max(newest_[service], *version);
        return change;
      }
      std::this_thread::sleep_for(200ms);
    }
    std::fprintf(stderr, "publishing %s failed: %s\n", service.c_str(), error.c_str());
    ++unpublished_;
    return std::nullopt;
  }
  bool active_everywhere(const std::string& service, std::uint64_t version) const {
    return rig_.force(service, version).now >= rig_.spread().subscribers(service);
  }
  // Milliseconds until the change is active at all subscribers; -1 if it does not get there in time.
  double wait_until_active(const std::optional<Change>& change) {
    if (!change || !ConfigRig::until(activation_timeout(),
                                     [&] { return active_everywhere(change->service, change->version); })) {
      if (change) {
        const auto f = rig_.force(change->service, change->version);
        std::fprintf(stderr, "%s version %llu is active at only %zu of %zu gatekeepers\n",
                     change->service.c_str(), static_cast<unsigned long long>(change->version), f.now,
                     rig_.spread().subscribers(change->service));
      }
      ++never_active_;
      return -1.0;
    }
    const double duration = ms(rig_.force(change->service, change->version).last - change->began);
    if (duration >= kMaxActivationMs)
      std::fprintf(stderr, "%s took %.0f ms\n", change->service.c_str(), duration);
    return duration;
  }
  bool all_equal() const {
    for (const auto& [service, version] : newest_) {
      if (!active_everywhere(service, version)) return false;
    }
    return true;
  }

  bool start() {
    for (std::size_t i = 0; i < rig_.plan().distributors; ++i) running_distributors_.push_back(i);
    const Nanos began = lab::steady_now();
    rig_.start_all();
    const bool up = ConfigRig::until(60s, [&] {
      const auto t = rig_.totals();
      std::size_t ready = 0;
      for (std::size_t i = 0; i < rig_.plan().real; ++i) ready += rig_.real_ready(i) ? 1 : 0;
      return t.ready == rig_.plan().light && ready == rig_.plan().real;
    });
    print_at_size("start_to_ready", ms(lab::steady_now() - began), "ms", up);
    // The distributors initialize because all start without state; then the shared services and a small one
    // get a first version.
    const bool committed = ConfigRig::until(
        30s, [&] { return rig_.publish(0, "all", content_of("all", ++serial_)).has_value(); });
    print_at_size("start_to_first_commit", ms(lab::steady_now() - began), "ms", committed);
    if (!up || !committed) {
      const auto t = rig_.totals();
      std::fprintf(stderr, "%zu of %zu are up, %zu ready\n", t.up, rig_.plan().light, t.ready);
      for (std::size_t i = 0; i < rig_.plan().real; ++i) {
        if (rig_.real_ready(i)) continue;
        const std::string log = rig_.real(i).log();
        std::fprintf(stderr, "g%zu: %s\n", i,
                     log.substr(log.size() - std::min<std::size_t>(log.size(), 2000)).c_str());
      }
      return false;
    }
    small_service_ = "s" + std::to_string(std::max<std::size_t>(1, rig_.spread().services() / 100) + 1);
    for (const char* common : {"all", "region-0", "region-1", "region-2"}) wait_until_active(publish(common));
    wait_until_active(publish(small_service_));
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
    std::uint64_t distributor_cpu = 0;  // of all distributors
    std::uint64_t distributor_bytes = 0;
  };
  Usage usage() {
    Usage u;
    const auto& plan = rig_.plan();
    for (std::size_t i = 0; i < plan.real; ++i)
      u.real_bytes += ByteCounters::of([&] { return rig_.real(i).log(); }, rig_.real_pid(i));
    for (std::size_t i = 0; i < 2 * plan.bare_real; ++i)
      (i < plan.bare_real ? u.plain_real_bytes : u.bare_real_bytes) +=
          ByteCounters::of([&] { return rig_.bare_real(i).log(); }, rig_.bare_real(i).pid());
    for (const std::size_t i : running_distributors_)
      u.distributor_bytes +=
          ByteCounters::of([&] { return rig_.distributor_log(i); }, rig_.distributor_pid(i));
    for (std::size_t i = 0; i < plan.real; ++i) u.real_cpu += lab::cpu_ns(rig_.real_pid(i));
    for (std::size_t i = 0; i < 2 * plan.bare_real; ++i)
      (i < plan.bare_real ? u.plain_real_cpu : u.bare_real_cpu) += lab::cpu_ns(rig_.bare_real(i).pid());
    for (const std::size_t i : running_distributors_)
      u.distributor_cpu += lab::cpu_ns(rig_.distributor_pid(i));
    u.at = lab::steady_now();
    const auto t = rig_.totals();
    u.light_cpu = t.cpu_ns;
    u.light_bytes = t.bytes;
    const auto b = rig_.bare_totals();
    u.bare_light_cpu = b.cpu_ns;
    u.bare_light_bytes = b.bytes;
    return u;
  }

  // Measures the cost of control while nothing changes, and of a change for all. The real gatekeepers have
  // their setup servers but no calls, and are not queried.
  void measure_quiet_cost() {
    const auto& plan = rig_.plan();
    rig_.ask_real_ones(false);
    std::thread servers([&] { place_calls(15s, ignored_latencies_, 0.001); });
    std::this_thread::sleep_for(2s);
    const Usage a = usage();
    std::this_thread::sleep_for(10s);  // two heartbeats of each distributor
    const Usage b = usage();
    const int changes = 3;
    for (int i = 0; i < changes; ++i) {
      publish("all");
      std::this_thread::sleep_for(600ms);
    }
    const Usage c = usage();
    servers.join();
    rig_.ask_real_ones(true);
    const double span = static_cast<double>(b.at - a.at) / 1e9;
    const double changing = static_cast<double>(c.at - b.at) / 1e9;
    const auto rate = [span](std::uint64_t from, std::uint64_t to, std::size_t of) {
      return of == 0 ? 0.0 : static_cast<double>(to - from) / span / static_cast<double>(of);
    };
    // Cost per change above the quiet rate.
    const auto cost_per_change = [&](std::uint64_t x, std::uint64_t y, std::uint64_t z, std::size_t of) {
      const double quietly = static_cast<double>(y - x) / span * changing;
      return (static_cast<double>(z - y) - quietly) / changes /
             static_cast<double>(std::max<std::size_t>(1, of));
    };
    const double light_cpu = rate(a.light_cpu, b.light_cpu, plan.light) / 1e3;
    const double light_bytes = rate(a.light_bytes, b.light_bytes, plan.light);
    print_at_size("gatekeeper_cpu_quiet", light_cpu, "us/s", light_cpu < 16'000.0);
    print_at_size("gatekeeper_bytes_quiet", light_bytes, "B/s", light_bytes < 3000.0);
    print_at_size("gatekeeper_cpu_of_a_change",
                  cost_per_change(a.light_cpu, b.light_cpu, c.light_cpu, plan.light) / 1e3, "us");
    print_at_size("gatekeeper_bytes_of_a_change",
                  cost_per_change(a.light_bytes, b.light_bytes, c.light_bytes, plan.light), "B");
    const auto t = rig_.totals();
    print_at_size("gatekeeper_memory",
                  static_cast<double>(t.memory) / static_cast<double>(plan.light) / 1024.0, "KiB");
    double max_memory = 0.0;
    for (std::size_t i = 0; i < plan.real; ++i)
      max_memory = std::max(max_memory, static_cast<double>(resident(rig_.real_pid(i))) / 1048576.0);
    print_at_size("real_gatekeeper_memory_most", max_memory, "MiB", max_memory < 128.0);

    // Control's share is the difference between gatekeepers with and without it, lightweight and real. The
    // real ones compared here have no setup servers, because the messages to those, every 10 s, outweigh
    // those of control.
    const double light_part = light_cpu - rate(a.bare_light_cpu, b.bare_light_cpu, plan.bare_light) / 1e3;
    const double real_part = (rate(a.plain_real_cpu, b.plain_real_cpu, plan.bare_real) -
                              rate(a.bare_real_cpu, b.bare_real_cpu, plan.bare_real)) /
                             1e3;
    print_at_size("real_gatekeeper_cpu_quiet", rate(a.real_cpu, b.real_cpu, plan.real) / 1e3, "us/s");
    print_at_size("control_cpu_hollow", light_part, "us/s");
    print_at_size("control_cpu_real", real_part, "us/s");
    const double cpu_ratio = light_part / std::max(1e-9, real_part);
    print_at_size("control_cpu_hollow_by_real", cpu_ratio, "times", std::abs(cpu_ratio - 1.0) <= 0.2);
    const double light_bytes_part =
        light_bytes - rate(a.bare_light_bytes, b.bare_light_bytes, plan.bare_light);
    const double real_bytes_part = rate(a.plain_real_bytes, b.plain_real_bytes, plan.bare_real) -
                                   rate(a.bare_real_bytes, b.bare_real_bytes, plan.bare_real);
    print_at_size("control_bytes_hollow", light_bytes_part, "B/s");
    print_at_size("control_bytes_real", real_bytes_part, "B/s");
    const double bytes_ratio = light_bytes_part / std::max(1e-9, real_bytes_part);
    print_at_size("control_bytes_hollow_by_real", bytes_ratio, "times", std::abs(bytes_ratio - 1.0) <= 0.2);

    const std::size_t d = running_distributors_.size();
    print_at_size("distributor_connections", static_cast<double>(sockets_of(rig_.distributor_pid(0))),
                  "sockets");
    print_at_size("distributor_cpu_quiet", rate(a.distributor_cpu, b.distributor_cpu, d) / 1e3, "us/s");
    print_at_size("distributor_bytes_quiet", rate(a.distributor_bytes, b.distributor_bytes, d), "B/s");
    print_at_size("distributor_cpu_of_a_change",
                  cost_per_change(a.distributor_cpu, b.distributor_cpu, c.distributor_cpu, d) / 1e3, "us");
    print_at_size("distributor_bytes_of_a_change",
                  cost_per_change(a.distributor_bytes, b.distributor_bytes, c.distributor_bytes, d), "B");
    print_at_size("distributor_memory", static_cast<double>(resident(rig_.distributor_pid(0))) / 1048576.0,
                  "MiB");
    estimate_polling();
  }

  // Estimates the cost of polling every 3 s with the versions held instead, from the size of the actual
  // lines.
  void estimate_polling() {
    using namespace distribution;
    std::vector<VersionsNotified::Entry> held_versions;
    for (const std::string& service : rig_.spread().of(0))
      held_versions.push_back({service, {1'790'000'000'000, {}}});
    const double request =
        static_cast<double>(control::subscribe_line("g0", held_versions, true).dump().size() + 1);
    const double response = static_cast<double>(control::versions_line(NotifyVersions{}).dump().size() + 1);
    print_at_size("polling_bytes_reckoned", (request + response) / 3.0, "B/s");
    print_at_size("polling_questions_of_a_distributor_reckoned",
                  static_cast<double>(rig_.size()) / 3.0 / static_cast<double>(running_distributors_.size()),
                  "1/s");
    print_at_size("polling_last_reckoned", 3000.0, "ms");
  }

  void publish_one_at_a_time() {
    for (const bool for_all : {false, true}) {
      std::vector<double> durations;
      for (int i = 0; i < (short_ ? 2 : 10); ++i)
        durations.push_back(wait_until_active(publish(for_all ? "all" : small_service_)));
      const std::string name = for_all ? "change_for_all" : "change_of_a_small_service";
      const bool complete = std::find(durations.begin(), durations.end(), -1.0) == durations.end();
      print_time(name + "_median", complete ? lab::percentile(durations, 0.5) : -1.0);
      print_time(name + "_last", complete ? *std::max_element(durations.begin(), durations.end()) : -1.0);
    }
    print_at_size("subscribers_of_the_small_service",
                  static_cast<double>(rig_.spread().subscribers(small_service_)), "gatekeepers");
  }

  void publish_ten_in_a_second() {
    std::optional<Change> last;
    const auto began = Steady::now();
    for (int i = 0; i < 10; ++i) {
      std::this_thread::sleep_until(began + 100ms * i);
      last = publish("all");
    }
    print_time("ten_in_a_second_last", wait_until_active(last));
  }

  void kill_distributor() {
    const std::size_t distributor = running_distributors_.size() - 1;
    double longest = 0.0;
    bool complete = true;
    std::vector<Change> changes;
    for (int i = 0; i < 4; ++i) {
      if (i == 2) {
        rig_.kill_distributor(distributor);  // while the second change is in flight
        running_distributors_.pop_back();
      }
      const auto change = publish("all", 0);
      complete = complete && change.has_value();
      if (!change) continue;
      changes.push_back(*change);
      if (i == 1) continue;
      const double duration = wait_until_active(change);
      complete = complete && duration >= 0.0;
      longest = std::max(longest, duration);
    }
    print_time("distributor_killed_last", complete ? longest : -1.0);
    rig_.start_distributor(distributor);
    running_distributors_.push_back(distributor);
    // It restarts with its files, so it keeps its vote; its gatekeepers reconnect to it.
    std::this_thread::sleep_for(1s);
    ++faults_["distributors_killed"];
  }

  // Holds back what one distributor sends, stops it while the others go on, and resumes it with outdated
  // versions.
  void stop_distributor() {
    const std::size_t distributor = running_distributors_.size() > 1 ? 1 : 0;
    const auto before = rig_.totals();
    const auto held_before = rig_.relay().counts().held_back.load();
    rig_.relay().hold(distributor, lab::StreamRelay::back, true);
    // A distributor slower than its gatekeepers learns the version from them and sends no notification of its
    // own, so several changes are published.
    for (int i = 0; i < 5; ++i) {
      wait_until_active(publish("all", 0));
      std::this_thread::sleep_for(100ms);
    }
    rig_.signal_distributor(distributor, SIGSTOP);
    double longest = 0.0;
    bool complete = true;
    for (int i = 0; i < 3; ++i) {
      const double duration = wait_until_active(publish("all", 0));
      complete = complete && duration >= 0.0;
      longest = std::max(longest, duration);
    }
    rig_.signal_distributor(distributor, SIGCONT);
    rig_.relay().hold(distributor, lab::StreamRelay::back, false);
    print_time("distributor_stopped_last", complete ? longest : -1.0);
    const bool rejected = ConfigRig::until(5s, [&] { return rig_.totals().stale > before.stale; });
    print_at_size("stale_after_waking", static_cast<double>(rig_.totals().stale - before.stale),
                  "versions refused", rejected);
    print_at_size("held_back", static_cast<double>(rig_.relay().counts().held_back - held_before), "times",
                  rig_.relay().counts().held_back > held_before);
    print_time("after_waking_last", wait_until_active(publish("all")));
    ++faults_["distributors_stopped"];
  }

  void restart_gatekeepers() {
    const auto before = rig_.totals();
    std::size_t wanted = 0;
    const Nanos began = lab::steady_now();
    for (std::size_t h = 0; h < rig_.plan().processes; ++h) {
      const std::size_t count = std::max<std::size_t>(1, rig_.light_of(h) / 10);
      rig_.restart_hollow(h, count);
      wanted += count;
    }
    const std::size_t killed = std::max<std::size_t>(1, rig_.plan().real / 10);
    for (std::size_t i = rig_.plan().real - killed; i < rig_.plan().real; ++i) {
      rig_.kill_real(i);
      rig_.start_real(i);
    }
    const bool restarted =
        ConfigRig::until(10s, [&] { return rig_.totals().restarts >= before.restarts + wanted; });
    const bool back = restarted && ConfigRig::until(activation_timeout(), [&] { return all_equal(); });
    print_time("tenth_restarted_until_all_equal", back ? ms(lab::steady_now() - began) : -1.0);
    print_at_size("restarted", static_cast<double>(rig_.totals().restarts - before.restarts + killed),
                  "gatekeepers", restarted);
    print_time("after_restarts_last", wait_until_active(publish("all")));
  }

  // Partitions the gatekeepers behind the relay while many changes are published.
  void partition_a_third() {
    const std::size_t changes = short_ ? 20 : 500;
    const auto cut_before = rig_.relay().counts().cut.load();
    rig_.relay().cut_all();
    const auto names = rig_.spread().all();
    const Nanos began = lab::steady_now();
    std::vector<std::thread> publishers;
    std::mutex mutex;
    std::atomic<std::size_t> published{0};
    const std::size_t lanes = std::min<std::size_t>(4, running_distributors_.size());
    for (std::size_t lane = 0; lane < lanes; ++lane) {
      publishers.emplace_back([&, lane] {
        for (std::size_t i = lane; i < changes; i += lanes) {
          // Each service is published from one thread only.
          const std::string& service =
              names[lane + lanes * ((i / lanes) % std::max<std::size_t>(1, names.size() / lanes))];
          std::uint64_t serial = 0;
          {
            const std::lock_guard lock(mutex);
            serial = ++serial_;
          }
          std::string error;
          const auto version =
              rig_.publish(running_distributors_[lane], service, content_of(service, serial), &error);
          const std::lock_guard lock(mutex);
          if (!version) {
            ++unpublished_;
            std::fprintf(stderr, "publishing %s during the partition failed: %s\n", service.c_str(),
                         error.c_str());
            continue;
          }
          ++published;
          newest_[service] = std::max(newest_[service], *version);
        }
      });
    }
    for (std::thread& t : publishers) t.join();
    const double duration = static_cast<double>(lab::steady_now() - began) / 1e9;
    print_at_size("published_in_the_cut", static_cast<double>(published), "changes", published == changes);
    print_at_size("published_a_second", static_cast<double>(published) / duration, "1/s");
    std::this_thread::sleep_for(300ms);
    const Nanos healed = lab::steady_now();
    rig_.relay().heal();
    double peak = 0.0;
    std::uint64_t bytes_passed = rig_.relay().counts().passed;
    const std::uint64_t all_before = bytes_passed;
    Nanos last_sample_at = healed;
    bool settled = false;
    while (!settled && lab::steady_now() - healed < 30'000'000'000) {
      std::this_thread::sleep_for(50ms);
      const Nanos now = lab::steady_now();
      const std::uint64_t previous = std::exchange(bytes_passed, rig_.relay().counts().passed.load());
      peak = std::max(peak, static_cast<double>(bytes_passed - previous) * 1e9 /
                                static_cast<double>(now - std::exchange(last_sample_at, now)));
      settled = all_equal();
    }
    if (!settled) ++never_active_;
    print_time("heal_to_quiet", settled ? ms(lab::steady_now() - healed) : -1.0);
    print_at_size("heal_bytes_peak", peak / 1024.0, "KiB/s");
    print_at_size("heal_bytes", static_cast<double>(bytes_passed - all_before) / 1024.0, "KiB");
    const auto& counts = rig_.relay().counts();
    print_at_size("bytes_cut", static_cast<double>(counts.cut - cut_before), "B", counts.cut > cut_before);
    print_at_size("connections_cut", static_cast<double>(counts.cut_off), "connections", counts.cut_off > 0);
  }

  void restart_all_distributors() {
    const Nanos began = lab::steady_now();
    for (const std::size_t i : running_distributors_) rig_.kill_distributor(i);
    for (const std::size_t i : running_distributors_) rig_.start_distributor(i);
    std::optional<Change> change;
    ConfigRig::until(activation_timeout(), [&] {
      change = publish("all");
      return change.has_value();
    });
    const double duration = wait_until_active(change);
    print_time("all_distributors_restarted_last",
               duration < 0.0 ? -1.0 : ms(rig_.force("all", change->version).last - began));
    ++faults_["all_distributors_restarted"];
  }

  void publish_rejected_by_all() {
    const auto bad = publish("all", {}, bad_content(++serial_));
    const bool rejected = bad && ConfigRig::until(activation_timeout(), [&] {
                            return rig_.refused("all", bad->version) >= rig_.spread().subscribers("all");
                          });
    print_time("refused_by_all_told", rejected ? ms(lab::steady_now() - bad->began) : -1.0);
    // The active version stays; the rejected one uses up its version number, and a good one follows above it.
    const std::uint64_t before = newest_["all"];
    print_at_size("kept_what_was_in_force", static_cast<double>(rig_.force("all", before).now), "gatekeepers",
                  active_everywhere("all", before));
    print_time("after_a_refused_one_last", wait_until_active(publish("all")));
  }

  // For comparison: the configuration method without distributors, a file at each gatekeeper and a SIGHUP.
  void measure_files_and_hangups() {
    const Nanos began = lab::steady_now();
    bool all = true;
    for (std::size_t i = 0; i < rig_.plan().real; ++i) {
      json config = json::parse(rig_.real_config(i));
      config["settings"]["limits"]["maxAttempts"] = 3;
      const std::size_t before = rig_.real(i).log().size();
      rig_.real(i).configure(config.dump());
      rig_.real(i).signal(SIGHUP);
      all = all && ConfigRig::until(2s, [&] {
              return rig_.real(i).log().find("the configuration was read again", before) != std::string::npos;
            });
    }
    const double each =
        ms(lab::steady_now() - began) / static_cast<double>(std::max<std::size_t>(1, rig_.plan().real));
    print_at_size("file_and_hangup_of_one", each, "ms", all);
    // Gatekeepers are reconfigured one after the other, so this is extrapolated linearly, not measured.
    print_at_size("file_and_hangup_of_all_reckoned", each * static_cast<double>(rig_.size()), "ms");
  }

  // Places calls at the real gatekeepers except the last tenth, which are killed.
  void place_calls(Duration lasts, std::vector<double>& latencies, double per_second = 300.0) {
    lab::Plan plan;
    const std::size_t killed = std::max<std::size_t>(1, rig_.plan().real / 10);
    for (std::size_t i = 0; i + killed < rig_.plan().real; ++i)
      plan.gatekeepers.push_back(rig_.real_listen(i));
    plan.servers = rig_.servers();
    plan.flows.emplace_back();
    plan.flows[0].per_second = short_ ? 30.0 : per_second;
    plan.lasts = lasts;
    plan.seed = 1 + latencies.size();
    lab::Load load(plan);
    load.run();
    for (const lab::CallRecord& c : load.calls()) {
      if (c.finals == 1)
        latencies.push_back(std::chrono::duration<double, std::micro>(c.answered - c.sent).count());
      unanswered_ += c.finals == 0 ? 1 : 0;
      answered_twice_ += c.finals > 1 ? 1 : 0;
    }
  }
  void check_calls() {
    const double before = lab::percentile(calls_before_, 0.99);
    const double during = lab::percentile(calls_during_, 0.99);
    print_at_size("answer_p99_without_changes", before, "us");
    print_at_size("answer_p99_with_changes", during, "us");
    print_at_size("answer_p99_with_by_without", during / std::max(1.0, before), "times",
                  during <= 1.05 * before);
    const std::size_t answered = std::min(calls_before_.size(), calls_during_.size());
    print_at_size("calls_of_the_smaller_part", static_cast<double>(answered), "calls", answered > 500);
    print_at_size("calls_unanswered", static_cast<double>(unanswered_), "calls", unanswered_ == 0);
    print_at_size("calls_answered_twice", static_cast<double>(answered_twice_), "calls",
                  answered_twice_ == 0);
  }

  bool check_final_state() {
    const bool equal = ConfigRig::until(activation_timeout(), [&] { return all_equal(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(3 * rig_.plan().interval_ms));
    const auto t = rig_.totals();
    print_at_size("all_equal_at_the_end", equal ? 1.0 : 0.0, "", equal);
    print_at_size("services_published", static_cast<double>(newest_.size()), "services");
    print_at_size("never_in_force_everywhere", static_cast<double>(never_active_), "changes",
                  never_active_ == 0);
    print_at_size("not_published", static_cast<double>(unpublished_), "changes", unpublished_ == 0);
    print_at_size("versions_that_went_back", static_cast<double>(t.back), "versions", t.back == 0);
    print_at_size("versions_mixed", static_cast<double>(t.mixed), "versions", t.mixed == 0);
    print_at_size("conflicts", static_cast<double>(t.conflict), "versions", t.conflict == 0);
    print_at_size("unsound", static_cast<double>(t.unsound), "documents", t.unsound == 0);
    print_at_size("stale_refused", static_cast<double>(t.stale), "versions", t.stale > 0);
    print_at_size("lists_of_servers_taken", static_cast<double>(t.lists), "lists",
                  t.lists >= rig_.plan().light);
    if (short_)
      print_at_size("calls_answered", static_cast<double>(calls_during_.size()), "calls",
                    !calls_during_.empty());
    for (const auto& [name, count] : faults_) print_at_size(name, count, "times", count > 0);
    return true;
  }

  bool short_;
  ConfigRig rig_;
  std::vector<std::size_t> running_distributors_;
  std::size_t next_index_ = 0;
  std::uint64_t serial_ = 0;
  std::string small_service_;
  std::map<std::string, std::uint64_t> newest_;
  std::map<std::string, int> faults_;
  std::vector<double> calls_before_;
  std::vector<double> calls_during_;
  std::vector<double> ignored_latencies_;
  std::size_t unanswered_ = 0;
  std::size_t answered_twice_ = 0;
  std::size_t never_active_ = 0;
  std::atomic<std::size_t> unpublished_{0};
};

// ---- beyond the sizes that sockets allow: the same reducers under the test clock

#ifdef GRANITERUN_HAS_CONFIG_SIM
double processor_ms() {
  rusage r{};
  ::getrusage(RUSAGE_SELF, &r);
  return static_cast<double>(r.ru_utime.tv_sec + r.ru_stime.tv_sec) * 1e3 +
         static_cast<double>(r.ru_utime.tv_usec + r.ru_stime.tv_usec) / 1e3;
}

void simulate(std::size_t n) {
  constexpr std::size_t kDistributors = 16;
  lab::ConfigSimSettings settings;
  settings.distributors = kDistributors;
  settings.gatekeepers = n;
  settings.services = std::max<std::size_t>(4, n * 2000 / 13'000);
  settings.services_each = 1;
  settings.seed = n;
  lab::ConfigSim sim(settings);
  const auto print_at_size = [n](const std::string& name, double value, const char* unit,
                                 bool within_limit = true) {
    print_figure(name + "_simulated_at_" + std::to_string(n), value, unit, within_limit);
    if (*unit != '\0') slopes[name + "_simulated"][n] = value;
  };
  sim.start_all(false);
  bool all_voting = false;
  for (int i = 0; i < 150 && !(all_voting = sim.all_vote()); ++i) sim.run(100ms);
  sim.run(2s);
  const auto bytes = [&sim, n] {
    std::pair<double, double> mean{};  // per gatekeeper, per distributor
    for (std::size_t i = 0; i < kDistributors + n; ++i)
      (i < kDistributors ? mean.second : mean.first) +=
          static_cast<double>(sim.bytes_to(i) + sim.bytes_from(i));
    return std::pair{mean.first / static_cast<double>(n), mean.second / kDistributors};
  };
  // While nothing changes there are only heartbeats and ticks.
  const auto b0 = bytes();
  const auto lines0 = sim.counts().lines;
  const double cpu0 = processor_ms();
  sim.run(5s);
  const auto b1 = bytes();
  print_at_size("gatekeeper_bytes_quiet", (b1.first - b0.first) / 5.0, "B/s",
                (b1.first - b0.first) / 5.0 < 3000.0);
  print_at_size("distributor_bytes_quiet", (b1.second - b0.second) / 5.0, "B/s");
  print_at_size("messages_quiet", static_cast<double>(sim.counts().lines - lines0) / 5.0, "1/s");
  const double quiet_ms = (processor_ms() - cpu0) / 5.0;
  print_at_size("processor_quiet_of_all", quiet_ms, "ms/s");
  // One change per second, each for another service.
  const auto b2 = bytes();
  const auto lines2 = sim.counts().lines;
  const double cpu2 = processor_ms();
  sim.take_in_force();
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
  for (const lab::ConfigSim::InForce& f : sim.take_in_force()) {
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
  print_at_size("change_last", last, "ms", all_voting && taken > 0 && last < kMaxActivationMs);
  print_at_size("gatekeepers_of_a_change", static_cast<double>(taken) / changes, "gatekeepers", taken > 0);
  print_at_size("messages_of_a_change",
                (static_cast<double>(sim.counts().lines - lines2) -
                 static_cast<double>(lines2 - lines0) / 5.0 * changes) /
                    changes,
                "messages");
  print_at_size("distributor_bytes_of_a_change",
                (b3.second - b2.second - (b1.second - b0.second) / 5.0 * changes) / changes, "B");
  print_at_size("processor_changing_of_all", (processor_ms() - cpu2) / changes, "ms/s");
  print_at_size("all_equal", sim.all_equal() ? 1.0 : 0.0, "", sim.all_equal());
}
#endif

// ---- laws of growth

struct Law {
  const char* name;
  double (*of)(double n);
};
constexpr Law kLaws[] = {{"constant", [](double) { return 0.0; }},
                         {"log_n", [](double n) { return std::log(n); }},
                         {"n", [](double n) { return n; }}};

// Least-squares fit of y = a + b f(n); the caller leaves out the largest size.
struct Fit {
  double a = 0.0;
  double b = 0.0;
  double error = 0.0;  // root mean square over the fitted sizes
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
  // Degrees of freedom: each fitted constant removes one.
  const double free = k - (law.of(2.0) == 0.0 ? 1.0 : 2.0);
  f.error = std::sqrt(squares / std::max(1.0, free));
  return f;
}

void print_laws() {
  for (const auto& [name, sizes] : slopes) {
    if (sizes.size() < 3) continue;
    std::vector<std::pair<double, double>> points;
    for (const auto& [n, y] : sizes) points.emplace_back(static_cast<double>(n), y);
    const auto [largest, measured] = points.back();
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
    const double error = measured == 0.0 ? 0.0 : 100.0 * (expected - measured) / std::abs(measured);
    std::printf("law_of_%s %s a=%.3f b=%.6f error_at_%.0f %.1f %%\n", name.c_str(), best->name, of_best.a,
                of_best.b, largest, error);
  }
}

ConfigPlan plan_of(char** argv, std::size_t size) {
  ConfigPlan plan;
  plan.gatekeeper = argv[1];
  plan.distributor = argv[2];
  plan.hollow = argv[3];
  plan.real = 12;
  plan.light = size - plan.real;
  plan.processes = std::clamp<std::size_t>(size / 250, 3, 24) / 3 * 3;
  plan.behind_relay = plan.processes / 3;
  plan.bare_light = 20;
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
  const bool only = argc > 5 && std::string(argv[5]) == "only";  // only the largest size
  // Bounds the run even if something hangs; the programs that it started end with it.
  ::alarm(last == "short" ? 110 : 900);
  if (last == "short") {
    timed = false;
    ConfigPlan plan = plan_of(argv, 42);
    plan.distributors = 3;
    plan.real = 2;
    plan.light = 40;
    plan.processes = 2;
    plan.behind_relay = 1;
    plan.bare_light = plan.bare_real = 0;
    plan.lasts_s = 110;
    passed = ScaleRun(plan, true).run() && passed;
    return passed ? 0 : 1;
  }
  const std::size_t largest = last.empty() ? 3000 : static_cast<std::size_t>(std::atol(last.c_str()));
  std::vector<std::size_t> sizes;
  for (const std::size_t n : {100UL, 300UL, 1000UL, 3000UL}) {
    if (n < largest && !only) sizes.push_back(n);
  }
  sizes.push_back(largest);
  for (const std::size_t n : sizes) passed = ScaleRun(plan_of(argv, n), false).run() && passed;
#ifdef GRANITERUN_HAS_CONFIG_SIM
  for (const std::size_t n : {300UL, 1000UL, 3000UL, 13'000UL}) simulate(n);
#endif
  print_laws();
  return passed ? 0 : 1;
}
