// Fixture for tests of the real program: a configuration, one setup server, a discovery service and a caller.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "codec/sip.h"
#include "settings.h"
#include "stand_in.h"

namespace graniterun::test {

using nlohmann::json;

inline std::string binary;  // path of the gatekeeper program

inline std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }

inline json config_for(int port, int server_port, int journal_port) {
  const json target = {
      {"uid", "s-1"},     {"endpoint", at(server_port)}, {"az", "west"},         {"pod_group", 0},
      {"state", "ready"}, {"capacity_hint", 4},          {"model", "std-1core"}, {"boot_ms", 0}};
  const json hosts = {{"rev", 1}, {"all", true}, {"targets", {target}}};
  return {{"name", "t1"},
          {"listen", at(port)},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"journal", at(journal_port)},
          {"known", {{"pos", 3}, {"entries", {{{"pos", 3}, {"hosts", hosts}}}}}},
          {"settings", settings()}};
}

// A running program connected to one setup server and a discovery service, with one connected caller.
struct ProgramFixture {
  explicit ProgramFixture(const json& deploy = {}) {
    config = config_for(port, server_listener.port(), journal_listener.port());
    program.emplace(binary, config.dump(), deploy.is_null() ? "" : deploy.dump());
    server = server_listener.accept();
    server.send("NOTIFY sip:x@net SIP/2.0\r\nCall-ID: n\r\nP-Load: x0:30;x1:40\r\nContent-Length: 0\r\n\r\n");
    journal = journal_listener.accept();
    CHECK(journal.read_until("\r\n\r\n").find("Last-Event-ID: 3\r\n") != std::string::npos);
    caller = Socket::connected(port);
  }
  sip::Message from_server() { return sip::read_stream(server.message()).message; }
  void answer(const sip::Message& invite, const std::string& line, const std::string& body = {}) {
    server.send("SIP/2.0 " + line + "\r\nCall-ID: " + std::string(invite.header("Call-ID")) +
                "\r\nCSeq: " + std::string(invite.header("CSeq")) +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  json config;
  Socket server_listener = Socket::bound(SOCK_STREAM);
  Socket journal_listener = Socket::bound(SOCK_STREAM);
  int port = free_port();
  std::optional<Program> program;
  Socket server;
  Socket journal;
  Socket caller;
};

inline std::string setup_line_with_key(const std::string& id, int left) {
  return json{{"type", "setup"},
              {"id", id},
              {"fields",
               {{"class", "voice"},
                {"left", std::to_string(left)},
                {"key", "7f3a9c21e0b4d655"},
                {"extras", "dest:0;width:1;via:-1"}}},
              {"sdp", "offer"}}
             .dump() +
         "\n";
}

inline const std::string kPingLine = R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                                     "\n";

}  // namespace graniterun::test
