// Output of a sub-reducer for one event: effects for the runtime, and events for the broker.
#pragma once

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "core/broker.h"
#include "net/events.h"

namespace graniterun {

// Seconds of the gatekeeper's clock, with microseconds.
inline std::string describe_time(Time time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6f", std::chrono::duration<double>(time.time_since_epoch()).count());
  return text;
}

struct Outbox {
  net::Effects net;
  std::vector<core::Event> core;
  bool debug_enabled = false;

  void send(net::ConnId conn, std::string bytes) { net.push_back(net::Send{conn, std::move(bytes)}); }
  // The runtime counts the message once it is completely written; `withdraw_send` can withdraw it before.
  void send_counted(net::ConnId conn, std::string bytes, std::uint64_t ticket) {
    net.push_back(net::Send{conn, std::move(bytes), ticket});
  }
  void withdraw_send(net::ConnId conn, std::uint64_t ticket, std::string fallback) {
    net.push_back(net::WithdrawSend{conn, ticket, std::move(fallback)});
  }
  void close(net::ConnId conn) { net.push_back(net::Close{conn}); }
  void drop(net::ConnId conn) { net.push_back(net::Drop{conn}); }
  void finish_sending(net::ConnId conn) { net.push_back(net::FinishSending{conn}); }
  void arm(net::Concern concern, std::uint64_t number, Time at) {
    net.push_back(net::ArmTimer{{concern, number}, at});
  }
  void log(net::Level level, std::string text) { net.push_back(net::Log{level, std::move(text)}); }
  // Logs at level `debug`. The text is made only if that level is logged: these lines are written for each
  // attempt and each connection.
  template <class MakeText>
  void debug(Time now, MakeText make_text) {
    if (debug_enabled) log(net::Level::debug, make_text() + " at=" + describe_time(now));
  }
  void notify_broker(core::Event event) { core.push_back(std::move(event)); }
};

// Writes at most one warning of a kind per second, so that a flood of bad input does not flood the log.
class RateLimitedWarning {
 public:
  void line(Time now, std::string text, Outbox& out) {
    if (now < next_) {
      ++suppressed_;
      return;
    }
    next_ = now + std::chrono::seconds(1);
    if (suppressed_ > 0)
      text += " (" + std::to_string(std::exchange(suppressed_, 0)) + " more since the last line)";
    out.log(net::Level::warning, std::move(text));
  }

 private:
  Time next_{};
  std::uint64_t suppressed_ = 0;
};

}  // namespace graniterun
