// The SIP front: callers that speak SIP over UDP and TCP, as a user agent server of RFC 3261 (§8.2, §12, §13,
// §15). Its calls go through the same broker, and so through the same decisions and rules, as the platform's.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "core/classes.h"
#include "core/counters.h"
#include "core/random_id.h"
#include "downstream/connection_reaper.h"
#include "downstream/load_control.h"
#include "net/outbox.h"
#include "sip/transactions.h"

namespace graniterun::downstream {

struct SipFrontSettings {
  std::optional<std::string> udp{};  // where it listens; none: it is off
  std::optional<std::string> tcp{};
  // A caller's patience who says nothing of it is its class's. Callers with Priority: emergency are of the
  // class worth most, those that name none of the one worth least.
  std::shared_ptr<const core::Classes> classes{};
  std::uint64_t seed{};
  std::size_t max_connections{64};
  std::vector<std::string> load_control_from{};  // neighbours whose load control is asked for
};

class Sip {
 public:
  Sip(SipFrontSettings settings, Counters& counters);

  void start(Time now, Outbox& out) const;
  void on(Time now, const net::Accepted& e, Outbox& out);
  void on(Time now, const net::Connected& e, Outbox& out);
  void on(Time now, const net::ConnectFailed& e, Outbox& out);
  void on(Time now, const net::Received& e, Outbox& out);
  void on(Time now, const net::Closed& e, Outbox& out);
  void on(Time now, const net::PeerClosed& e, Outbox& out);
  void on(Time now, const net::Datagram& e, Outbox& out);
  void on(Time now, const net::TimerFired& e, Outbox& out);
  void ready(bool ready) { ready_ = ready; }
  void replace_classes(std::shared_ptr<const core::Classes> classes) {
    settings_.classes = std::move(classes);
  }
  // Where gaps can be announced: neighbours are told of them, and may ask for some.
  void share_gaps(GapSource source) { load_control_.source(std::move(source)); }

  void apply(Time now, const core::AnswerCaller& e, Outbox& out);
  void apply(Time now, const core::RejectRequest& e, Outbox& out);
  void apply(Time now, const core::ReleaseCaller& e, Outbox& out);

 private:
  struct Dialog {  // §12, as its user agent server
    std::string call_id{};
    std::string local{};   // From of our requests: the caller's To, with our tag
    std::string remote{};  // To of our requests
    std::string target{};  // the caller's Contact
    std::vector<std::string> routes{};
    std::uint32_t local_cseq{0};
    std::uint32_t remote_cseq{0};
    sip::Flow flow{};
  };
  struct Call {
    std::string invite{};  // key of its transaction
    Dialog dialog{};
    bool answered = false;
    bool acknowledged = false;
    bool bye_after_ack = false;  // released before the ACK came
    int cause{16};
    std::string offer{};
    std::string description{};
    std::string reinvite{};  // key of a re-INVITE that waits for its ACK
  };

  void handle_incoming(Time now, sip::Incoming incoming, Outbox& out);
  void handle_request(Time now, const sip::Flow& flow, const sip::Message& m, Outbox& out);
  void invite(Time now, const std::string& key, const sip::Flow& flow, const sip::Message& m, Outbox& out);
  void reinvite(Time now, const std::string& key, Call& call, const sip::Message& m, Outbox& out);
  void ack(Time now, const sip::Message& m, Outbox& out);
  void bye(Time now, const std::string& key, const sip::Message& m, Outbox& out);
  void cancel(Time now, const std::string& key, const sip::Message& m, Outbox& out);
  void reject(Time now, const std::string& key, int status, Outbox& out, const std::string& warning = {});
  void reject_malformed(Time now, const sip::Incoming& incoming, Outbox& out);
  void make_room(Time now, Outbox& out);
  void cancel_unanswered(Time now, std::uint32_t conn, Outbox& out);
  std::string read_request(Time now, const sip::Message& m, core::Request& request);
  sip::Message accept(const Call& call, const sip::Message& request) const;
  void send_bye(Time now, Call& call, int cause, Outbox& out);
  void forget(CallId id);
  Call* find(CallId id);
  CallId dialog_of(const sip::Message& m) const;
  std::string contact(const sip::Flow& flow) const;
  const std::string& address(const sip::Flow& flow) const {
    return flow.reliable ? *settings_.tcp : *settings_.udp;
  }

  SipFrontSettings settings_;
  Counters& counters_;
  ConnectionReaper reaper_;
  RateLimitedWarning malformed_warning_;
  sip::Transport transport_;
  sip::Transactions transactions_;
  LoadControl load_control_;
  std::unordered_map<CallId, Call> calls_;
  std::map<std::string, CallId> by_invite_;  // key of the transaction
  std::map<std::string, CallId> by_dialog_;  // Call-ID, our tag, the caller's tag
  // What a request is known by wherever it comes along (§8.2.2.2), and until when.
  std::map<std::string, std::string> merged_;
  std::deque<std::pair<Time, std::string>> merged_order_;
  std::set<std::uint32_t> closed_by_peer_;  // streams that are open on our side only
  std::uint64_t last_ = 0;
  RandomIdGenerator ids_;
  bool ready_ = false;
};

}  // namespace graniterun::downstream
