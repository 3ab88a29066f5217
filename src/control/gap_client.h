// Implements `graniterunctl gap` and `graniterunctl fleet`: sends one command to several gatekeepers, or to a
// gap publisher, in parallel, and reports each answer with its delay. A reducer: the runtime does the I/O.
// The text and JSON that it prints, and its exit codes, are an interface: tests/golden pins them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "control/gap_json.h"
#include "net/outbox.h"

namespace graniterun::control {

struct GapClientSettings {
  enum class Command : std::uint8_t { announce, list, watch, members, view, leave } command{};
  std::vector<std::string> addresses{};                      // control addresses, address:port
  std::optional<call_gapping::Announcement> announcement{};  // for `announce`: a gap, or its lift
  bool json = false;
  Duration timeout{std::chrono::seconds(3)};  // of the command; for `watch` its duration, 0: unlimited
};

class GapClient {
 public:
  // Exit codes.
  static constexpr int kSuccess = 0;      // all gatekeepers obey, or all answered with the same digest
  static constexpr int kIncomplete = 1;   // some do not obey, did not answer, or have another digest
  static constexpr int kUsage = 2;        // invalid command line
  static constexpr int kUnreachable = 3;  // no connection was established

  explicit GapClient(GapClientSettings settings);
  void step(Time now, const net::Event& event, net::Effects& effects);

 private:
  struct Target {
    std::string address{};
    std::string name{};
    bool connected = false;
    bool failed = false;
    bool done = false;
    bool succeeded = false;
    std::string result{};  // text for people: the result, or why it failed
    std::size_t held = 0;  // number of gaps in its register
    std::string digest{};  // of its register, or of its view of the fleet
    nlohmann::json gaps = nlohmann::json::array();
    nlohmann::json hot = nlohmann::json::array();
    // Of a gap publisher: the number of gatekeepers that are to obey, and each one's answer, by address.
    std::size_t gatekeepers = 0;
    std::map<std::string, nlohmann::json> obeyed{};
    nlohmann::json fleet = nlohmann::json::array();  // a gap publisher's gatekeepers, with their states
    nlohmann::json fleet_answer{};                   // a gatekeeper's view of its fleet
  };

  void on(Time now, const net::Started& event, Outbox& out);
  void on(Time now, const net::Connected& event, Outbox& out);
  void on(Time now, const net::ConnectFailed& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);
  void on(Time now, const net::StopRequested& event, Outbox& out);

  void handle_line(Time now, Target& target, const nlohmann::json& line, Outbox& out);
  void print_event(const Target& target, const std::string& event, const nlohmann::json& line,
                   Outbox& out) const;
  void handle_announce_answer(Time now, Target& target, const std::string& event, const nlohmann::json& line,
                              Outbox& out);
  void handle_list_answer(Target& target, const nlohmann::json& line, Outbox& out);
  void handle_fleet_answer(Target& target, const nlohmann::json& line, Outbox& out);
  void fail_target(Time now, Target& target, const std::string& reason, Outbox& out);
  void finish_if_complete(Outbox& out);
  void print_result(Outbox& out);
  // Announcement: whether all gatekeepers obey. List or fleet view: whether all digests are equal.
  bool all_obey_or_agree() const;
  bool all_are_settled() const;
  // The output of an announcement, a list and a fleet command: text, or JSON if `json` is set.
  std::string announce_report() const;
  std::string list_report() const;
  std::string fleet_report() const;
  static std::string view_row(const Target& target);
  static std::string error_of(const Target& target);
  bool is_fleet_command() const { return settings_.command >= GapClientSettings::Command::members; }
  Target* target_of(net::ConnId conn);
  void send(const Target& target, const nlohmann::json& line, Outbox& out) const;

  GapClientSettings settings_;
  std::vector<Target> targets_;
  Time started_at_{};
  bool finished_ = false;
};

}  // namespace graniterun::control
