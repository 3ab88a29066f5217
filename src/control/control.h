// The control listener of a gatekeeper: JSON lines over TCP, by which operators and the announcer announce
// and lift call gaps, look at them and watch. It holds the register that new calls are checked against, and
// the watch for hot numbers. A sub-reducer; docs/ops/gapping.md tells of its lines.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "control/gap_json.h"
#include "control/settings.h"
#include "core/counters.h"
#include "front/connection_reaper.h"
#include "limits/gap_register.h"
#include "limits/hot_numbers.h"
#include "net/outbox.h"

namespace graniterun::control {

class Control {
 public:
  Control(ControlSettings settings, Counters& counters);

  // Lines of that `op` are answered by another part.
  using Answer = std::function<nlohmann::json(Time now, const nlohmann::json& line, Outbox& out)>;
  void answers(std::string op, Answer answer) { answers_.insert_or_assign(std::move(op), std::move(answer)); }
  // An event for those who watch.
  void tell_watchers(Time now, nlohmann::json event, Outbox& out);

  void start(Time now, Outbox& out);
  void on(Time now, const net::Accepted& e, Outbox& out);
  void on(Time now, const net::Received& e, Outbox& out);
  void on(Time now, const net::Closed& e, Outbox& out);
  void on(Time now, const net::TimerFired& e, Outbox& out);

  limits::Verdict check(Time now, std::string_view number, std::string_view class_name);
  bool ready(Time now) const;
  // Takes an announcement into the register, wherever it came from, and tells those who watch.
  limits::Taken hold(Time now, const limits::Announcement& a, Outbox& out);
  // Where the gatekeepers know each other: whether this one holds its place, who of them is gone, who is
  // back, and whose absence is to be asked for.
  void holds_place(Time now, bool holds);
  void absent(Time now, const std::string& name, Time asked);
  void present(const std::string& name);
  std::set<std::string> to_ask(Time now) const;
  // Of each number that is hot: its rate, and since when.
  std::vector<Gauge> gauges(Time now) const;
  const limits::GapRegister& gaps() const { return *register_; }  // from the start on

 private:
  struct Peer {
    bool watches = false;
    bool announced = false;               // something: it is told of a quarrel
    std::optional<std::uint64_t> life{};  // an announcer's
  };

  void take(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void announce(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void list(Time now, net::ConnId conn, const nlohmann::json& line, Outbox& out);
  void reply(Time now, net::ConnId conn, const nlohmann::json& line, nlohmann::json answer, Outbox& out);
  std::optional<std::uint32_t> place_of(const std::string& name) const;
  template <class To>
  void tell(const nlohmann::json& event, To to, Outbox& out);
  void report(Time now, Outbox& out);
  void look(Time now, Outbox& out);
  void close(Time now, net::ConnId conn, Outbox& out);

  ControlSettings settings_;
  Counters& counters_;
  std::map<std::string, Answer, std::less<>> answers_;
  RateLimitedWarning refused_;
  front::ConnectionReaper reaper_;
  std::optional<limits::Heirs> heirs_{};           // where places are known
  std::optional<limits::GapRegister> register_{};  // from the start on
  std::optional<limits::HotNumbers> hot_{};
  std::map<net::ConnId, Peer> peers_;
  std::optional<net::ConnId> announcer_{};  // slots are ceded to this one
  bool synced_ = false;
  Time started_{};
  Time reported_{};
  Time looked_{};
  Time demanded_{};
};

}  // namespace graniterun::control
