// Implements `graniterunctl config`: publishes a configuration at one distributor and polls all distributors
// for its status. A reducer: the runtime does the I/O.
//
// Each gatekeeper is counted by exactly one distributor, so the sums over all distributors describe the
// fleet. The gatekeepers of a distributor that does not answer are missing from the sums; the report names
// it.
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
  std::string service{};                 // empty: the status of all services
  std::string content{};                 // canonical patch to publish
  bool wait_until_active = true;         // after publishing, polls until it is active at every gatekeeper
  bool json = false;                     // prints one JSON line instead of text
  Duration timeout{std::chrono::seconds(6)};  // for the whole command
};

// A gatekeeper that rejected the newest configuration.
struct ConfigRejection {
  std::string name{};
  std::string reason{};
};

// Status of a service's newest configuration, as one distributor reports it or summed over all of them.
struct ServiceStatus {
  distribution::Version version{};  // 0: none is committed
  std::string digest{};
  std::size_t subscribed = 0;                 // gatekeepers that subscribe to the service
  std::size_t active = 0;                     // gatekeepers at which this version is active
  std::vector<ConfigRejection> rejections{};  // the first ones; `rejected_count` counts all
  std::size_t rejected_count = 0;
  std::vector<std::string> behind{};  // names of the first ones with an older version
  std::size_t behind_count = 0;
};

class ConfigClient {
 public:
  // Exit codes, as those of GapClient.
  static constexpr int kSuccess = 0;     // active everywhere; or committed, if `wait_until_active` is not set
  static constexpr int kIncomplete = 1;  // not active everywhere, rejected, or unknown
  static constexpr int kUsage = 2;       // invalid command line
  static constexpr int kUnreachable = 3;  // no distributor was reached

  explicit ConfigClient(ConfigClientSettings settings);
  void step(Time now, const net::Event& event, net::Effects& effects);

 private:
  struct Target {
    std::string address{};
    std::string name{};
    std::string voter_state{};
    bool connected = false;
    std::string error{};              // why it is not used any more; empty: usable
    bool status_requested = false;    // in this polling round
    std::size_t pending_answers = 0;  // queries without an answer so far
    std::map<std::string, ServiceStatus> services{};
    std::map<std::string, std::int64_t> lost_gatekeepers{};  // name to time since its disconnection, ms
  };
  // The printed result, as text and as JSON.
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

  void handle_line(Time now, Target& target, const nlohmann::json& line, Outbox& out);
  void handle_publish_answer(Time now, Target& target, const nlohmann::json& line, Outbox& out);
  void handle_all_services(Target& target, const nlohmann::json& line, Outbox& out);
  void handle_one_service(Target& target, const nlohmann::json& line, Outbox& out);
  void handle_status(Target& target, const nlohmann::json& line, Outbox& out);
  void fail_target(Time now, Target& target, const std::string& reason, Outbox& out);
  void publish_next(Time now, Outbox& out);
  void begin_round(Time now, Outbox& out);
  void advance(Time now, Outbox& out);
  void query_lost_gatekeepers(Time now, Outbox& out);
  void end_round(Time now, Outbox& out);
  std::map<std::string, ServiceStatus> sum_statuses() const;
  void exit_with(int status, Outbox& out);
  void print_result(Outbox& out);
  void report_unreachable(Report& report) const;
  void report_publication(Report& report) const;
  // Returns whether the newest version of every service is active at every gatekeeper.
  bool report_services(Report& report) const;
  std::string describe_service(const std::string& service, const ServiceStatus& status) const;
  void report_non_voters(Report& report) const;
  void print(Outbox& out, std::string text, const nlohmann::json& object) const;
  std::size_t connected_targets() const;
  Target* target_of(net::ConnId conn);
  void send(const Target& target, const nlohmann::json& line, Outbox& out) const;

  ConfigClientSettings settings_;
  std::vector<Target> targets_;
  Stage stage_ = Stage::statuses;
  std::size_t publish_target_ = 0;  // index of the target to publish at
  bool publish_sent_ = false;       // the publication was sent to that target
  std::string non_voter_answer_{};  // result text of the last target that rejected it as a non-voter
  distribution::Version version_{};
  std::string digest_{};
  std::string publisher_name_{};
  Time round_started_at_{};
  std::set<std::string> reattached_{};  // names lost at one distributor and attached at another
  // Results of the last completed polling round.
  bool round_completed_ = false;
  std::map<std::string, ServiceStatus> statuses_{};
  std::map<std::string, std::int64_t> lost_gatekeepers_{};
  bool finished_ = false;
};

}  // namespace graniterun::control
