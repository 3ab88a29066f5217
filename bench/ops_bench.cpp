// Days of operation with real programs: management calls beside silent callers at full load, the figures
// against the stand-ins' own count, reloads and twenty upgrades under load. Usage: ops_bench GATEKEEPER.
// Exits with 1 where an aim is missed.
#include <cstdio>
#include <thread>

#include "lab/load.h"
#include "programs.h"

using namespace graniterun;
using namespace graniterun::bench;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

bool good = true;

void figure(const char* name, double value, const char* unit, bool holds) {
  std::printf("%s %.2f %s%s\n", name, value, unit, holds ? "" : " SHORT");
  std::fflush(stdout);
  good = good && holds;
}

std::string ask(int port, const std::string& call, double* took_ms = nullptr) {
  const auto began = Clock::now();
  test::Socket socket = test::Socket::connected(port);
  socket.send(call + "\n");
  std::string text = socket.line();
  if (call == "telemetry") text += socket.read_until("END\n");
  if (took_ms != nullptr) *took_ms = std::chrono::duration<double, std::milli>(Clock::now() - began).count();
  return text;
}

double value_of(const std::string& telemetry, const std::string& name) {
  const std::size_t at = telemetry.find("." + name + ":");
  return at == std::string::npos ? -1.0 : std::atof(telemetry.c_str() + at + name.size() + 2);
}

struct Ends {
  std::size_t unanswered = 0;
  std::size_t twice = 0;
  std::size_t stood = 0;
};
Ends ends_of(const lab::LoadGenerator& load) {
  Ends ends;
  for (const lab::CallRecord& c : load.calls()) {
    ends.unanswered += c.final_answers == 0 ? 1 : 0;
    ends.twice += c.final_answers > 1 ? 1 : 0;
    ends.stood += c.established ? 1 : 0;
  }
  return ends;
}

struct Site {
  std::vector<std::string> servers{at(free_port()), at(free_port())};
  test::Socket listener = test::Socket::bound(SOCK_STREAM);  // held for all processes, as the platform does
  std::string listen = at(listener.port());
  lab::LoadPlan plan(double per_second, Duration lasts) const {
    lab::LoadPlan p;
    p.gatekeepers = {listen};
    p.servers = servers;
    p.flows.emplace_back();
    p.flows[0].per_second = per_second;
    p.duration = lasts;
    return p;
  }
  json config(int management) const {
    json object = config_of(listen, servers, 0, 1);
    object["management"] = at(management);
    return object;
  }
  std::unique_ptr<test::Program> start(const std::string& binary, int management) const {
    return std::make_unique<test::Program>(binary, config(management).dump(), "", listener.descriptor());
  }
};

// Scraped in its second half, with 200 callers beside that say nothing or half a call.
void management_at_full_load(const std::string& binary) {
  const Site site;
  const int management = free_port();
  const auto program = site.start(binary, management);
  lab::LoadGenerator load(site.plan(2000, 6s));
  double longest = 0.0;
  std::thread operators([&] {
    std::this_thread::sleep_for(4500ms);
    std::vector<test::Socket> silent;
    for (int i = 0; i < 60; ++i) {
      if (i % 6 == 0) {
        silent.clear();
        for (int n = 0; n < 200; ++n) {
          silent.push_back(test::Socket::connected(management));
          if (n % 2 == 0) silent.back().send("telem");
        }
      }
      double took = 0.0;
      ask(management, i % 2 == 0 ? "telemetry" : "readyz", &took);
      longest = std::max(longest, took);
      std::this_thread::sleep_for(40ms);
    }
  });
  load.run();
  operators.join();
  figure("management_longest_with_200_silent", longest, "ms", longest < 100.0);
  const Ends ends = ends_of(load);
  const std::string text = ask(management, "telemetry");
  const double ok = value_of(text, "ok.voice");
  const double tries = value_of(text, "tries");
  const double stood = static_cast<double>(ends.stood);
  const double invites = static_cast<double>(load.invites());
  figure("ok_told_less_counted", ok - stood, "calls", std::abs(ok - stood) <= std::max(3.0, 0.01 * stood));
  figure("tries_told_less_counted", tries - invites, "set-ups",
         std::abs(tries - invites) <= std::max(3.0, 0.02 * invites));
  figure("active_at_the_end", value_of(text, "active"), "calls", value_of(text, "active") <= 3.0);
  std::vector<double> before;
  std::vector<double> during;
  const std::size_t half = load.calls().size() / 2;
  for (std::size_t i = 0; i < load.calls().size(); ++i) {
    const lab::CallRecord& c = load.calls()[i];
    if (c.final_answers > 0)
      (i < half ? before : during)
          .push_back(std::chrono::duration<double, std::milli>(c.answered - c.sent).count());
  }
  figure("answer_p99_unscraped", lab::percentile(before, 0.99), "ms", true);
  figure("answer_p99_scraped", lab::percentile(during, 0.99), "ms", true);
}

void reloads_under_load(const std::string& binary) {
  const Site site;
  const int management = free_port();
  const auto program = site.start(binary, management);
  lab::LoadGenerator load(site.plan(500, 5s));
  std::thread operators([&] {
    std::this_thread::sleep_for(2s);
    for (int i = 0; i < 20; ++i) {
      json fresh = site.config(management);
      fresh["settings"]["limits"]["maxAttempts"] = 2 + i % 3;
      std::string text = fresh.dump();
      if (i % 4 == 3) text.resize(text.size() / 2);
      program->write_config(text);
      program->signal(SIGHUP);
      std::this_thread::sleep_for(150ms);
    }
  });
  load.run();
  operators.join();
  const Ends ends = ends_of(load);
  const std::string text = ask(management, "telemetry");
  figure("reloads_taken_of_15", value_of(text, "config_applied"), "files",
         value_of(text, "config_applied") == 15);
  figure("reloads_turned_down_of_5", value_of(text, "config_rejected"), "files",
         value_of(text, "config_rejected") == 5);
  const std::size_t lost = load.calls().size() - ends.stood;
  figure("reload_calls_lost", static_cast<double>(lost), "calls", lost == 0 && ends.twice == 0);
}

void twenty_upgrades(const std::string& binary) {
  const Site site;
  int management = free_port();
  std::vector<std::unique_ptr<test::Program>> programs;
  programs.push_back(site.start(binary, management));
  lab::LoadGenerator load(site.plan(500, 14s));
  double longest_start = 0.0;
  std::thread operators([&] {
    std::this_thread::sleep_for(2s);
    for (int i = 0; i < 20; ++i) {
      const auto began = Clock::now();
      management = free_port();
      programs.push_back(site.start(binary, management));
      while (!ask(management, "readyz").starts_with("OK")) std::this_thread::sleep_for(5ms);
      longest_start =
          std::max(longest_start, std::chrono::duration<double, std::milli>(Clock::now() - began).count());
      programs[programs.size() - 2]->signal(SIGTERM);
      std::this_thread::sleep_for(500ms);
    }
  });
  load.run();
  operators.join();
  const Ends ends = ends_of(load);
  int bad_ends = 0;
  for (std::size_t i = 0; i + 1 < programs.size(); ++i) bad_ends += programs[i]->exit_status() == 0 ? 0 : 1;
  figure("upgrade_longest_until_ready", longest_start, "ms", longest_start < 6000.0);
  figure("upgrade_set_ups_sent_once_more", static_cast<double>(load.resent()), "calls", true);
  figure("upgrade_ended_at_the_door", static_cast<double>(ends.unanswered), "calls", ends.unanswered == 0);
  const std::size_t lost = load.calls().size() - ends.stood;
  figure("upgrade_calls_lost", static_cast<double>(lost), "calls", lost == 0);
  figure("upgrade_answered_twice", static_cast<double>(ends.twice), "calls", ends.twice == 0);
  figure("upgrade_old_ones_that_ended_badly", bad_ends, "processes", bad_ends == 0);
}

}  // namespace

int main(int, char** argv) {
  management_at_full_load(argv[1]);
  reloads_under_load(argv[1]);
  twenty_upgrades(argv[1]);
  return good ? 0 : 1;
}
