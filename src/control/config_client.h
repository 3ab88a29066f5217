// What `graniterunctl config` does: publishes a document at one distributor, and asks all of them how far it
// has come. A reducer: the runtime does the I/O.
//
// Each gatekeeper is counted by one distributor, so the sums over all of them are the fleet's. A distributor
// that does not answer leaves its share out, and is named.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/config_lines.h"
#include "net/outbox.h"

namespace graniterun::control {

struct ConfigClientSettings {
  enum class Command : std::uint8_t { publish, status } command{};
  std::vector<std::string> addresses{};  // addresses of all distributors
  std::string service{};                 // of a status, empty: all of them
  std::string content{};                 // of what is published, in its one form
  bool wait_until_active = true;         // after publishing, for all to have it in force
  bool json = false;
  Duration timeout{std::chrono::seconds(6)};  // for all of it
};

// A gatekeeper that has rejected a configuration.
struct ConfigRejection {
  std::string name{};
  std::string reason{};
};

// How far a service's newest configuration has come: what one distributor answers, or the sum over all.
struct ServiceStatus {
  distribution::Version version{};  // 0: nothing is committed
  std::string digest{};
  std::size_t subscribed = 0;  // gatekeepers
  std::size_t active = 0;
  std::vector<ConfigRejection> rejections{};  // the first ones
  std::size_t rejected_count = 0;
  std::vector<std::string> behind{};  // names, the first ones
  std::size_t behind_count = 0;
};

class ConfigClient {
 public:
  // Exit codes, as those of Ctl.
  static constexpr int kSuccess = 0;  // in force at all; or committed, where that is all that was asked for
  static constexpr int kIncomplete = 1;  // not at all of them, refused, or not known
  static constexpr int kUsage = 2;
  static constexpr int kUnreachable = 3;  // no distributor was reached

  explicit ConfigClient(ConfigClientSettings settings);
  void step(Time now, const net::Event& event, net::Effects& effects);

 private:
  struct Target {
    std::string address{};
    std::string name{};
    std::string voter_state{};
    bool connected = false;
    std::string error{};              // why it is of no more use
    bool status_requested = false;    // in this round
    std::size_t pending_answers = 0;  // answers of it that are still to come
    std::map<std::string, ServiceStatus> services{};
    std::map<std::string, std::int64_t> lost_gatekeepers{};  // names, and for how long they are gone, ms
  };
  // What is printed: for people, and for programs.
  struct Report {
    std::string text{};
    nlohmann::json object = nlohmann::json::object();
  };
  enum class Stage : std::uint8_t { publishing, statuses, attached, waiting };

  void on(Time now, const net::Started& e, Outbox& out);
  void on(Time now, const net::Connected& e, Outbox& out);
  void on(Time now, const net::ConnectFailed& e, Outbox& out);
  void on(Time now, const net::Closed& e, Outbox& out);
  void on(Time now, const net::Received& e, Outbox& out);
  void on(Time now, const net::TimerFired& e, Outbox& out);
  void on(Time now, const net::StopRequested& e, Outbox& out);

  void handle_line(Time now, Target& t, const nlohmann::json& line, Outbox& out);
  void handle_publish_answer(Time now, Target& t, const nlohmann::json& line, Outbox& out);
  void handle_all_services(Target& target, const nlohmann::json& line, Outbox& out);
  void handle_one_service(Target& target, const nlohmann::json& line, Outbox& out);
  void handle_status(Target& t, const nlohmann::json& line, Outbox& out);
  void fail_target(Time now, Target& t, const std::string& why, Outbox& out);
  void publish_next(Time now, Outbox& out);
  void begin_round(Time now, Outbox& out);
  void advance(Time now, Outbox& out);
  void ask_for_lost_gatekeepers(Time now, Outbox& out);
  void end_round(Time now, Outbox& out);
  std::map<std::string, ServiceStatus> sum_statuses() const;
  void exit_with(int status, Outbox& out);
  void print_result(Outbox& out);
  void report_unreachable(Report& report) const;
  void report_publication(Report& report) const;
  // Whether the newest version is active at all of them.
  bool report_services(Report& report) const;
  std::string service_text(const std::string& service, const ServiceStatus& status) const;
  void report_without_vote(Report& report) const;
  void print(Outbox& out, std::string text, const nlohmann::json& object) const;
  std::size_t connected_targets() const;
  Target* target_of(net::ConnId conn);
  void send(const Target& t, const nlohmann::json& line, Outbox& out) const;

  ConfigClientSettings settings_;
  std::vector<Target> targets_;
  Stage stage_ = Stage::statuses;
  std::size_t publish_target_ = 0;  // which target is to take it
  bool publish_sent_ = false;       // it has been sent there
  std::string non_voter_answer_{};  // what the last one said that has no vote
  distribution::Version version_{};
  std::string digest_{};
  std::string publisher_name_{};
  Time round_began_{};
  std::set<std::string> reattached_{};  // lost names that another distributor has attached
  // The last round that came to its end.
  bool round_completed_ = false;
  std::map<std::string, ServiceStatus> statuses_{};
  std::map<std::string, std::int64_t> lost_gatekeepers_{};
  bool finished_ = false;
};

}  // namespace graniterun::control
