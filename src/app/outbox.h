// What a sub-reducer answers an event with: effects for the runtime, and events for the broker.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/broker.h"
#include "net/events.h"

namespace graniterun {

struct Outbox {
  net::Effects net;
  std::vector<core::Event> core;

  void send(net::ConnId conn, std::string bytes) { net.push_back(net::Send{conn, std::move(bytes)}); }
  void close(net::ConnId conn) { net.push_back(net::Close{conn}); }
  void arm(net::Concern concern, std::uint64_t number, Time at) {
    net.push_back(net::ArmTimer{{concern, number}, at});
  }
  void log(net::Level level, std::string text) { net.push_back(net::Log{level, std::move(text)}); }
  void tell(core::Event event) { core.push_back(std::move(event)); }
};

}  // namespace graniterun
