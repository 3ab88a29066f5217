// The client half of `graniterunctl gap` and `graniterunctl fleet`: it sends one command to many gatekeepers,
// or to a gap publisher, at once, and reports what each answered and when. A reducer: the runtime does the
// I/O. The text and JSON that it prints, and its exit codes, are an interface: tests/golden pins them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "control/gap_json.h"
#include "net/outbox.h"

namespace graniterun::control {

struct GapClientSettings {
  enum class Command : std::uint8_t { announce, list, watch, members, view, leave } command{};
  std::vector<std::string> addresses{};                      // addresses
  std::optional<call_gapping::Announcement> announcement{};  // a lift too
  bool json = false;
  Duration timeout{std::chrono::seconds(3)};  // for all to obey; of a watch, how long: 0 is for ever
};

class GapClient {
 public:
  // Exit codes.
  static constexpr int kSuccess = 0;     // all obey; all could be listed, and hold the same
  static constexpr int kIncomplete = 1;  // some were not reached, or hold something else
  static constexpr int kUsage = 2;
  static constexpr int kUnreachable = 3;  // none was reached

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
    std::string result{};
    std::size_t held = 0;
    std::string digest{};
    nlohmann::json gaps = nlohmann::json::array();
    nlohmann::json hot = nlohmann::json::array();
    // An announcer's fleet: who of it is to obey, and how each answered, by address.
    std::size_t gatekeepers = 0;
    std::map<std::string, nlohmann::json> obeyed{};
    nlohmann::json fleet = nlohmann::json::array();
    nlohmann::json fleet_answer{};  // of its place in the fleet of gatekeepers
  };

  void on(Time now, const net::Started& e, Outbox& out);
  void on(Time now, const net::Connected& e, Outbox& out);
  void on(Time now, const net::ConnectFailed& e, Outbox& out);
  void on(Time now, const net::Closed& e, Outbox& out);
  void on(Time now, const net::Received& e, Outbox& out);
  void on(Time now, const net::TimerFired& e, Outbox& out);
  void on(Time now, const net::StopRequested& e, Outbox& out);

  void handle_line(Time now, Target& target, const nlohmann::json& line, Outbox& out);
  void print_event(const Target& target, const std::string& event, const nlohmann::json& line,
                   Outbox& out) const;
  void handle_announce_answer(Time now, Target& target, const std::string& event, const nlohmann::json& line,
                              Outbox& out);
  void handle_list_answer(Target& target, const nlohmann::json& line, Outbox& out);
  void handle_fleet_answer(Target& target, const nlohmann::json& line, Outbox& out);
  void fail_target(Time now, Target& target, const std::string& why, Outbox& out);
  void finish_if_complete(Outbox& out);
  void print_result(Outbox& out);
  // Of an announcement: all that are to obey do. Of a list or view: all hold the same.
  bool all_obey_or_agree() const;
  bool all_are_settled() const;
  std::string announced_text() const;
  std::string listed_text() const;
  std::string fleet_text() const;
  static std::string view_row(const Target& target);
  static std::string error_of(const Target& target);
  bool is_fleet_command() const { return settings_.command >= GapClientSettings::Command::members; }
  Target* target_of(net::ConnId conn);
  void send(const Target& t, const nlohmann::json& line, Outbox& out) const;

  GapClientSettings settings_;
  std::vector<Target> targets_;
  Time started_{};
  bool finished_ = false;
};

}  // namespace graniterun::control
