// SIP callers over UDP; the setup servers speak the platform's protocol. Calls stand; then the gatekeeper is
// restarted as planned (SIGTERM, and a new process with the same addresses). Some calls come to their end at
// the server, others are ended by their callers. The other side of each has to be told.
#include "../common-2/stage.h"

using namespace stage;

namespace {

constexpr int kCalls = 12;
constexpr Ms kReleaseLimit = 8050;  // the longest time that the rule gives, 8 s, and 50 ms
constexpr Ms kSigkillAfter = 3700;  // the longest deadline, counted as 3 s, and 0.7 s

// SIP callers that share one UDP socket.
class SipCallers {
 public:
  struct Call {
    int final_status = 0;
    bool bye_sent = false;
    int bye_status = 0;  // of the caller's own BYE
    Ms bye_received_at = 0;
    std::string from{};
    std::string to{};
  };
  explicit SipCallers(int gatekeeper)
      : gatekeeper_(gatekeeper), fd_(bound_socket(SOCK_DGRAM)), port_(port_of(fd_)) {
    loop.watch(fd_, [this] { read(); });
  }
  ~SipCallers() { loop.unwatch(fd_); }
  std::map<std::string, Call> calls{};  // by Call-ID

  void invite(const std::string& id) {
    Call& call = calls[id];
    call.from = "<sip:hiker@guides.example>;tag=" + id;
    call.to = "<sip:4711@" + address_of(gatekeeper_) + ">";
    Sip message = request("INVITE", call, id, 1);
    message.add("Contact", "<sip:hiker@" + address_of(port_) + ">").add("Priority-Class", "guide-call");
    message.add("Expires", "3").add("Content-Type", "application/sdp");
    message.body = "offer of " + id;
    record("SIP caller: INVITE %s", id.c_str());
    send(id + "-invite", message, 0);
  }
  void bye(const std::string& id) {
    Call& call = calls.at(id);
    call.bye_sent = true;
    record("SIP caller: BYE %s", id.c_str());
    send(id + "-bye", request("BYE", call, id, 2), 0);
  }

 private:
  Sip request(const std::string& method, const Call& call, const std::string& id, int cseq) const {
    Sip message;
    message.first = method + " sip:4711@" + address_of(gatekeeper_) + " SIP/2.0";
    message.add("Via", "SIP/2.0/UDP " + address_of(port_) + ";branch=z9hG4bK" + id + method);
    message.add("Max-Forwards", "70").add("From", call.from).add("To", call.to).add("Call-ID", id);
    return message.add("CSeq", std::to_string(cseq) + " " + method);
  }
  void send_text(const std::string& text) const {
    const sockaddr_in to = loopback(gatekeeper_);
    ::sendto(fd_, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  }
  // Sends a request, and again after 0.5, 1, 2 and then every 4 s, until its final response (timers A and E).
  void send(const std::string& key, const Sip& message, int tries) {
    if (tries == 0) pending_.insert(key);
    if (!pending_.contains(key) || tries > 10) return;
    send_text(message.text());
    loop.after(std::min(4000, 500 << std::min(tries, 3)),
               [this, key, message, tries] { send(key, message, tries + 1); });
  }
  void read() {
    char buffer[65536];
    for (ssize_t got = 0; (got = ::recv(fd_, buffer, sizeof buffer, 0)) > 0;) {
      std::string bytes(buffer, static_cast<std::size_t>(got));
      Sip message;
      if (take_sip(bytes, message)) handle(message);
    }
  }
  void handle(const Sip& message) {
    const std::string id = message.get("Call-ID");
    const auto it = calls.find(id);
    if (it == calls.end()) return;
    Call& call = it->second;
    if (message.is_request()) {
      if (message.method() == "BYE") {
        if (call.bye_received_at == 0) call.bye_received_at = unix_ms();
        record("SIP caller: got BYE of %s", id.c_str());
        send_text(response_to(message, 200, "OK", {}).text());
      }
      return;
    }
    if (message.status() < 200) return;
    if (message.cseq_method() == "BYE") {
      pending_.erase(id + "-bye");
      call.bye_status = message.status();
      record("SIP caller: got %d to the BYE of %s", message.status(), id.c_str());
    }
    if (message.cseq_method() != "INVITE") return;
    pending_.erase(id + "-invite");
    if (call.final_status == 0)
      record("SIP caller: got %d to the INVITE of %s", message.status(), id.c_str());
    call.final_status = message.status();
    call.to = message.get("To");
    Sip ack = request("ACK", call, id, 1);
    if (message.status() < 300) ack.headers[0].second += "2";  // a transaction of its own
    send_text(ack.text());
  }
  int gatekeeper_;
  int fd_;
  int port_;
  std::set<std::string> pending_{};
};

int run(const std::string& program, const std::string& dir) {
  PlatformServer first("s-1");
  PlatformServer second("s-2");
  Journal journal({{"s-1", first.port(), "ready", 0}, {"s-2", second.port(), "ready", 1}});
  const int listen = reserved_port();
  const int management = reserved_port();
  const int sip = reserved_port();  // UDP has the same number free, or the gatekeeper does not start
  write_file(dir + "/config.json", configuration("n1", listen, management, journal));
  write_file(dir + "/deploy.json", R"({"sip":{"udp":")" + address_of(sip) + R"(","servers":"platform"}})");
  const auto start_gatekeeper = [&] {
    const pid_t pid =
        start("gatekeeper", program + " --deploy " + dir + "/deploy.json",
              {{"RELAY_CONFIG", dir + "/config.json"}, {"GRANITERUN_LOG", "debug"}}, dir + "/gatekeeper.log");
    if (!wait_ready(management)) cannot_run("the gatekeeper is not ready");
    return pid;
  };
  const pid_t before = start_gatekeeper();

  SipCallers callers(sip);
  std::vector<std::string> ids;
  for (int i = 0; i < kCalls; ++i) {
    ids.push_back("call" + std::to_string(i));
    callers.invite(ids.back());
    loop.run_for(100);
  }
  loop.run_for(1000);
  // The servers know a call by an id of the gatekeeper and by the offer in its INVITE.
  std::map<std::string, std::pair<PlatformServer*, std::string>> at_server;
  std::vector<std::string> standing;
  for (const std::string& id : ids) {
    for (PlatformServer* server : {&first, &second}) {
      for (const auto& [call_id, call] : server->calls) {
        if (call.offer == "offer of " + id && call.answered_at != 0) at_server[id] = {server, call_id};
      }
    }
    if (callers.calls[id].final_status == 200 && at_server.contains(id)) standing.push_back(id);
  }
  record("%zu calls stand", standing.size());
  if (standing.size() < kCalls / 2) cannot_run("too few calls stand");

  if (trouble()) {
    record("TROUBLE: planned restart: SIGTERM to the gatekeeper");
    ::kill(before, SIGTERM);
    const bool in_time = loop.run_until([&] { return ended(before); }, kSigkillAfter);
    if (!in_time) {
      record("SIGKILL");
      ::kill(before, SIGKILL);
      loop.run_until([&] { return ended(before); }, 1000);
    }
    start_gatekeeper();
  }
  loop.run_for(1000);
  std::map<std::string, Ms> over_at;
  for (std::size_t i = 0; i < standing.size(); ++i) {
    const std::string& id = standing[i];
    // A call that the gatekeeper has ended towards both sides by itself is released as the rule wants it.
    if (callers.calls[id].bye_received_at != 0) continue;
    over_at[id] = unix_ms();
    if (i % 2 == 0) {
      auto& [server, call_id] = at_server[id];
      if (server->calls[call_id].ended_at == 0) server->release(call_id);
    } else {
      callers.bye(id);
    }
    loop.run_for(100);
  }
  loop.run_for(kReleaseLimit + 3000);

  int callers_left = 0;
  int servers_left = 0;
  for (const auto& [id, over] : over_at) {
    const SipCallers::Call& caller = callers.calls[id];
    const auto& [server, call_id] = at_server[id];
    if (!caller.bye_sent && (caller.bye_received_at == 0 || caller.bye_received_at > over + kReleaseLimit)) {
      ++callers_left;
      record("%s is over at %s, and its SIP caller is not told", id.c_str(), call_id.c_str());
    }
    if (caller.bye_sent && server->calls[call_id].ended_at == 0) {
      ++servers_left;
      record("%s was ended by its SIP caller (BYE answered with %d), and stands on at the server", id.c_str(),
             caller.bye_status);
    }
  }
  return finish(callers_left > 0, std::to_string(callers_left) +
                                      " SIP callers were not told within 8 s that their call is over; " +
                                      std::to_string(servers_left) +
                                      " calls that a SIP caller ended stand on at the server; of " +
                                      std::to_string(over_at.size()));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) cannot_run("usage: drive RUN-COMMAND WORK-DIR RECORD");
  record.open(argv[3]);
  return run(argv[1], argv[2]);
}
