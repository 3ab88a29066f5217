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

struct ConfigCtlSettings {
  enum class What : std::uint8_t { publish, status } what{};
  std::vector<std::string> to{};  // addresses of all distributors
  std::string service{};          // of a status, empty: all of them
  std::string content{};          // of what is published, in its one form
  bool wait = true;               // after publishing, for all to have it in force
  bool json = false;
  Duration within{std::chrono::seconds(6)};  // for all of it
};

class ConfigCtl {
 public:
  // Exit codes, as those of Ctl.
  static constexpr int kDone = 0;    // in force at all; or committed, where that is all that was asked for
  static constexpr int kNotAll = 1;  // not at all of them, refused, or not known
  static constexpr int kUsage = 2;
  static constexpr int kNobody = 3;  // no distributor was reached

  explicit ConfigCtl(ConfigCtlSettings settings);
  void step(Time now, const net::Event& event, net::Effects& effects);

 private:
  struct Refusal {
    std::string name{};
    std::string reason{};
  };
  // What one distributor answers of one service.
  struct Part {
    distribution::Version version{};
    std::string digest{};
    std::size_t subscribed = 0;
    std::size_t in_force = 0;
    std::vector<Refusal> refused{};
    std::size_t refused_all = 0;
    std::vector<std::string> behind{};
    std::size_t behind_all = 0;
  };
  struct Target {
    std::string address{};
    std::string name{};
    std::string standing{};
    bool up = false;
    std::string trouble{};  // why it is of no more use
    bool asked = false;     // in this round
    std::size_t owed = 0;   // answers of it that are still to come
    std::map<std::string, Part> parts{};
    std::map<std::string, std::int64_t> lost{};  // names, and for how long they are gone, ms
  };
  // All distributors' together.
  struct Sum {
    distribution::Version version{};
    std::string digest{};
    std::size_t subscribed = 0;
    std::size_t in_force = 0;
    std::vector<Refusal> refused{};
    std::size_t refused_all = 0;
    std::vector<std::string> behind{};
    std::size_t behind_all = 0;
    bool all() const { return version != 0 && in_force == subscribed && refused_all == 0; }
  };
  enum class Stage : std::uint8_t { publishing, statuses, attached, resting };

  void on(Time now, const net::Started& e, Outbox& out);
  void on(Time now, const net::Connected& e, Outbox& out);
  void on(Time now, const net::ConnectFailed& e, Outbox& out);
  void on(Time now, const net::Closed& e, Outbox& out);
  void on(Time now, const net::Received& e, Outbox& out);
  void on(Time now, const net::TimerFired& e, Outbox& out);
  void on(Time now, const net::StopRequested& e, Outbox& out);

  void take(Time now, Target& t, const nlohmann::json& line, Outbox& out);
  void take_published(Time now, Target& t, const nlohmann::json& line, Outbox& out);
  void take_status(Target& t, const nlohmann::json& line, Outbox& out);
  void fail(Time now, Target& t, const std::string& why, Outbox& out);
  void publish_next(Time now, Outbox& out);
  void begin_round(Time now, Outbox& out);
  void go_on(Time now, Outbox& out);
  void ask_attached(Time now, Outbox& out);
  void end_round(Time now, Outbox& out);
  std::map<std::string, Sum> sums() const;
  void stop(int status, Outbox& out);
  void finish(Outbox& out);
  void say(Outbox& out, std::string text, nlohmann::json object) const;
  std::size_t reached() const;
  Target* of(net::ConnId conn);
  void send(const Target& t, const nlohmann::json& line, Outbox& out) const;

  ConfigCtlSettings settings_;
  std::vector<Target> targets_;
  Stage stage_ = Stage::statuses;
  std::size_t publisher_ = 0;   // which target is to take it
  bool sent_ = false;           // it has been sent there
  std::string without_vote_{};  // what the last one said that has no vote
  distribution::Version version_{};
  std::string digest_{};
  std::string by_{};
  Time round_began_{};
  std::set<std::string> found_{};  // lost names that another distributor has attached
  // The last round that came to its end.
  bool judged_ = false;
  std::map<std::string, Sum> sums_{};
  std::map<std::string, std::int64_t> not_heard_of_{};
  bool finished_ = false;
};

}  // namespace graniterun::control
