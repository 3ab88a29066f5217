// Random faults at servers, the endpoint list, discovery, callers and the gatekeepers themselves, drawn from
// a seed, against one to three processes of the real program that share the servers. Every call's history is
// judged by the protocol's limits. Usage: soak_process_test PROGRAM FIRST_SEED SEEDS [PARALLEL]
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "lab/call_testbed.h"
#include "lab/trial_runner.h"

using namespace graniterun;
using namespace graniterun::test;
using lab::CallTestbed;
using lab::StandInServer;
using namespace std::chrono_literals;

namespace {

constexpr auto kFaultsDuration = 7s;
// The longest hang, the longest holding time and the longest limit for a release.
constexpr auto kLongHang = 9500ms;
constexpr auto kSettlingDuration = kLongHang + 2s + 8s + 500ms;
constexpr int kMaxServers = 12;
constexpr int kCrowd = 25;
constexpr std::size_t kMaxGatekeepers = 3;
constexpr std::array kTurnOrders = {lab::TurnOrder::accept_read_write, lab::TurnOrder::accept_write_read,
                                    lab::TurnOrder::write_accept_read};
constexpr std::array kReleaseTargets = {lab::ReleaseTarget::oldest, lab::ReleaseTarget::newest,
                                        lab::ReleaseTarget::second_newest};

class Soak {
 public:
  Soak(const std::string& program, std::uint64_t seed)
      : random_(seed), testbed_({program, static_cast<int>(2 + seed % 3), seed, 1 + seed % kMaxGatekeepers}) {
    for (std::size_t i = 0; i < testbed_.server_count(); ++i) configure(testbed_.server(i));
  }

  // The faults that took effect, by name.
  const std::map<std::string, int>& faults() const { return faults_; }

  void run() {
    for (std::size_t i = 0; i < testbed_.gatekeeper_count(); ++i) testbed_.start_gatekeeper(i);
    const lab::TimePoint end = lab::Clock::now() + kFaultsDuration;
    while (lab::Clock::now() < end) {
      testbed_.run_for(std::chrono::milliseconds(5 + random_() % 60));
      const std::size_t gatekeeper = any_gatekeeper();
      if (testbed_.gatekeeper_running(gatekeeper))
        testbed_.place_call(std::chrono::milliseconds(random_() % 5 == 0 ? 300 : 3000), 0, gatekeeper);
      if (random_() % 14 == 0) inject_fault();
      if (random_() % 20 == 0) inject_client_fault();
    }
    for (StandInServer* server : paused_) server->resume();
    testbed_.set_discovery_reachable(true);
    testbed_.run_until([this] { return testbed_.all_settled(); }, kSettlingDuration);
  }

  const CallTestbed& testbed() const { return testbed_; }

 private:
  void configure(StandInServer& server) {
    states_[&server] = "ready";
    server.set_answers_at_once(random_() % 3 != 0);
    server.set_holding_time(std::chrono::milliseconds(100 + random_() % 1900));
    if (random_() % 3 == 0) server.set_answer_delay(std::chrono::milliseconds(random_() % 800));
    const auto pick = [this](const auto& values) { return values.at(random_() % values.size()); };
    server.set_turn_order(pick(kTurnOrders));
    server.set_release_target(pick(kReleaseTargets));
    server.set_periodic_reports(random_() % 2 == 0);
    if (random_() % 4 == 0) {
      count("messages_in_pieces");
      server.set_max_piece(100 + random_() % 400);
    } else if (random_() % 3 == 0) {
      server.set_turn_interval(std::chrono::milliseconds(random_() % 60));
    }
    if (random_() % 2 == 0) spoil_responses(server);
  }
  // Some INVITEs stay without an answer, some CANCELs race a success, and some responses are followed by a
  // second one.
  void spoil_responses(StandInServer& server) {
    server.set_answer_observer([this, &server](std::size_t connection, const std::string& id) {
      if (random_() % 8 != 0) return;
      count("second_response");
      respond_later(server, connection, id, random_() % 2 == 0 ? "200 OK" : "503 Service Unavailable");
    });
    server.set_interceptor([this, &server](std::size_t connection, const sip::Message& message) {
      if (message.method == "INVITE" && random_() % 12 == 0) {
        count("answer_lost");
        return true;
      }
      if (message.method != "CANCEL" || random_() % 2 == 0) return false;
      count("success_after_cancel");
      respond_later(server, connection, std::string(message.header("Call-ID")), "200 OK");
      return true;
    });
  }
  void respond_later(StandInServer& server, std::size_t connection, const std::string& id,
                     const char* status_line) {
    testbed_.schedule(std::chrono::milliseconds(random_() % 300), [&server, connection, id, status_line] {
      if (!server.is_frozen()) server.write_response(connection, id, status_line);
    });
  }
  // Clients that give up at once, that send no requests, or that come all at once.
  void inject_client_fault() {
    const std::size_t gatekeeper = any_gatekeeper();
    if (!testbed_.gatekeeper_running(gatekeeper)) return;
    switch (random_() % 3) {
      case 0: {
        const std::string id = testbed_.place_call(3s, 0, gatekeeper);
        if (id.empty()) return;
        count("setup_cancelled_at_once");
        return testbed_.cancel_call(id);
      }
      case 1:
        count("bad_client");
        return testbed_.open_bad_client(
            random_() % 2 == 0 ? "{\"type\":\"setup\",\"id\":\"00" : "\x01\xff\n{}\n", gatekeeper);
      default:
        count("crowd");
        for (int i = 0; i < kCrowd; ++i) testbed_.place_call(1s, 0, gatekeeper);
    }
  }
  std::size_t any_gatekeeper() { return random_() % testbed_.gatekeeper_count(); }
  StandInServer& any_server() { return testbed_.server(random_() % testbed_.server_count()); }
  bool is_usable(const StandInServer& server) const { return states_.at(&server) == "ready"; }
  std::size_t usable_servers() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(states_, [](const auto& entry) { return entry.second == "ready"; }));
  }
  void list(StandInServer& server, const std::string& state) {
    states_[&server] = state;
    testbed_.publish({{server.uid(), state}});
  }

  void inject_fault() {
    StandInServer& server = any_server();
    switch (random_() % 18) {
      case 0:
        return replace(server);
      case 1:
        return leave(server, "draining");
      case 2:
        return leave(server, "gone");
      case 3:
        return restart(server);
      case 4:
        return vanish(server);
      case 5:
        return pause(server);
      case 6:
        return count_if(server.close_connections(), "connections_closed");
      case 7:
        return count_if(server.reset_connections(), "connections_reset");
      case 8:
        return count_if(server.write_noise(), "noise");
      case 9:
        count("discovery_down");
        testbed_.set_discovery_reachable(false);
        return testbed_.schedule(std::chrono::milliseconds(random_() % 2000),
                                 [this] { testbed_.set_discovery_reachable(true); });
      case 10:
        if (random_() % 3 == 0) return restart_gatekeeper();
        count("reload");
        return testbed_.signal_gatekeeper(SIGHUP, any_gatekeeper());
      case 11:
        return hang(server);
      case 12:
        return stop_reading(server);
      case 13:
        return end_behind_connections(server);
      case 14:
        return reject_all(server);
      case 15:
        return refuse_connects(server);
      case 16:
        return delay_list(any_gatekeeper());
      default:
        count("callers_closed");
        return testbed_.close_callers(any_gatekeeper());
    }
  }

  void count(const std::string& fault) { ++faults_[fault]; }
  void count_if(bool effective, const std::string& fault) {
    if (effective) count(fault);
  }

  void leave(StandInServer& server, const std::string& state) {
    if (!is_usable(server) || usable_servers() < 2) return;
    count(state);
    list(server, state);
  }
  // Another server takes over, in half of the cases at the same address.
  void replace(StandInServer& server) {
    if (!is_usable(server) || testbed_.server_count() >= kMaxServers) return;
    count("replaced");
    const bool same_address = random_() % 2 == 0;
    if (same_address) server.stop_listening();
    StandInServer& successor = testbed_.add_server(same_address ? &server : nullptr);
    configure(successor);
    states_[&server] = "gone";
    testbed_.publish({{server.uid(), "gone"}, {successor.uid(), "ready"}});
  }
  void restart(StandInServer& server) {
    if (!is_usable(server)) return;
    const bool listed = random_() % 3 != 0;
    count(listed ? "restarted" : "restarted_unlisted");
    server.stop();
    // An unlisted restart shows by a failed connect: there is one within 250 ms.
    const auto downtime = std::chrono::milliseconds(random_() % 1500 + (listed ? 0 : 400));
    testbed_.schedule(downtime, [this, &server, listed] {
      if (!is_usable(server)) return;
      server.start();
      if (!listed) return;
      testbed_.schedule(500ms, [this, &server] {
        if (is_usable(server)) testbed_.publish({{server.uid(), "ready"}}, true);
      });
    });
  }
  void vanish(StandInServer& server) {
    if (!is_usable(server) || usable_servers() < 2) return;
    count("vanished");
    states_[&server] = "vanished";
    server.vanish();
    if (random_() % 2 == 0)
      testbed_.schedule(std::chrono::milliseconds(random_() % 4000),
                        [this, &server] { list(server, "gone"); });
  }
  void pause(StandInServer& server) {
    if (!is_usable(server)) return;
    count("paused");
    server.freeze();
    paused_.insert(&server);
    testbed_.schedule(std::chrono::milliseconds(random_() % 3000), [&server] { server.resume(); });
  }
  // A stop of over 8 s.
  void hang(StandInServer& server) {
    if (!is_usable(server) || usable_servers() < 2) return;
    count("hung");
    states_[&server] = "hung";
    server.freeze();
    testbed_.schedule(kLongHang, [&server] { server.resume(); });
  }
  // The list is late at one gatekeeper, which goes on sending setups.
  void delay_list(std::size_t gatekeeper) {
    count("list_late");
    testbed_.set_discovery_reachable(gatekeeper, false);
    testbed_.schedule(std::chrono::milliseconds(random_() % 3000),
                      [this, gatekeeper] { testbed_.set_discovery_reachable(gatekeeper, true); });
  }
  // The server drains and its process ends; what is left of it rejects setups on its open connections.
  void end_behind_connections(StandInServer& server) {
    if (!is_usable(server) || usable_servers() < 2) return;
    count("ended_behind_connections");
    delay_list(any_gatekeeper());
    list(server, "draining");
    server.lose_calls_behind_open_connections();
    testbed_.schedule(std::chrono::milliseconds(1000 + random_() % 5000),
                      [this, &server] { list(server, "gone"); });
  }
  // A well server that is full.
  void reject_all(StandInServer& server) {
    if (!is_usable(server)) return;
    count("rejects_all");
    server.set_rejection("503 Service Unavailable");
    testbed_.schedule(std::chrono::milliseconds(random_() % 9000), [this, &server] {
      if (is_usable(server)) server.set_rejection("");
    });
  }
  void refuse_connects(StandInServer& server) {
    if (!is_usable(server)) return;
    count("connects_refused");
    server.stop_listening();
    testbed_.schedule(std::chrono::milliseconds(random_() % 1500), [this, &server] {
      if (is_usable(server)) server.resume_listening();
    });
  }
  void stop_reading(StandInServer& server) {
    if (!is_usable(server)) return;
    count("not_reading");
    server.set_deaf(true);
    testbed_.schedule(std::chrono::milliseconds(random_() % 3000), [&server] { server.set_deaf(false); });
  }
  void restart_gatekeeper() {
    if (std::exchange(gatekeeper_restarted_, true)) return;
    count("gatekeeper_restarted");
    const std::size_t gatekeeper = any_gatekeeper();
    const int status = testbed_.stop_gatekeeper(
        [this, gatekeeper] {
          if (testbed_.has_caller(gatekeeper) && random_() % 4 == 0) testbed_.place_call(3s, 0, gatekeeper);
        },
        gatekeeper);
    CHECK_EQ(status, 0);
    testbed_.start_gatekeeper(gatekeeper);
  }

  std::mt19937_64 random_;
  CallTestbed testbed_;
  std::map<const StandInServer*, std::string> states_{};
  std::set<StandInServer*> paused_{};
  std::map<std::string, int> faults_{};
  bool gatekeeper_restarted_ = false;
};

void keep_log(const Soak& soak, std::uint64_t seed) {
  const std::filesystem::path folder = "found";
  std::filesystem::create_directories(folder);
  const std::filesystem::path file = folder / ("soak-" + std::to_string(seed) + ".log");
  std::ofstream(file) << soak.testbed().log();
  std::cerr << "logs of the gatekeepers: " << std::filesystem::absolute(file).string() << '\n';
}

void play(const std::string& program, std::uint64_t seed) {
  Soak soak(program, seed);
  soak.run();
  std::string text = "seed " + std::to_string(seed) + " gatekeepers " +
                     std::to_string(soak.testbed().gatekeeper_count()) + " calls " +
                     std::to_string(soak.testbed().calls().size());
  for (const auto& [fault, count] : soak.faults()) text += " " + fault + " " + std::to_string(count);
  std::cout << text + "\n" << std::flush;
  const std::size_t violations = soak.testbed().report_violations(false);
  if (violations > 0) keep_log(soak, seed);
  CHECK_EQ(violations, 0U);
  CHECK(!soak.faults().empty());
}

}  // namespace

int main(int argc, char** argv) {
  CHECK(argc >= 4);
  const std::string program = argv[1];
  const std::uint64_t first = std::stoull(argv[2]);
  const std::uint64_t seeds = std::stoull(argv[3]);
  const std::size_t parallel = argc > 4 ? std::stoul(argv[4]) : 4;
  std::vector<lab::Trial> trials;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    trials.push_back({"seed " + std::to_string(seed), [program, seed] { play(program, seed); }});
  constexpr unsigned kTrialSeconds = 90;
  const std::size_t failed = lab::run_trials(trials, parallel, kTrialSeconds);
  std::cout << trials.size() - failed << " of " << trials.size() << " seeds kept the rules\n";
  return failed == 0 ? 0 : 1;
}
