// The SIP front end: a user agent server (RFC 3261 §8.2, §12, §13, §15) for callers over UDP and TCP. It
// converts INVITE, CANCEL and BYE into requests of the broker, and the broker's effects into responses and
// BYE. Its calls pass through the same broker, and so the same decisions and rules, as those of the platform
// front end.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "core/classes.h"
#include "core/counters.h"
#include "core/random_id.h"
#include "core/recent_ids.h"
#include "downstream/connection_reaper.h"
#include "downstream/load_control.h"
#include "downstream/rejected_invites.h"
#include "downstream/unconfirmed_byes.h"
#include "net/outbox.h"
#include "sip/transactions.h"

namespace graniterun::downstream {

struct SipFrontSettings {
  std::optional<std::string> udp{};  // listening addresses; neither: the front end is off
  std::optional<std::string> tcp{};
  // The deadline of an INVITE is the caller timeout of its class, or Expires where that is less. INVITEs with
  // `Priority: emergency` get the class of the highest priority weight, others without Priority-Class that of
  // the lowest.
  std::shared_ptr<const core::Classes> classes{};
  std::uint64_t seed{};
  std::size_t max_connections{64};
  std::vector<std::string> load_control_from{};  // neighbours to subscribe at (RFC 7200)
  // Another process of this gatekeeper may hold the listening addresses until it ends.
  bool wait_for_addresses{};
};

class Sip {
 public:
  Sip(SipFrontSettings settings, Counters& counters);

  void start(Time now, Outbox& out);
  void on(Time now, const net::Accepted& event, Outbox& out);
  void on(Time now, const net::Connected& event, Outbox& out);
  void on(Time now, const net::ConnectFailed& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::PeerClosed& event, Outbox& out);
  void on(Time now, const net::Datagram& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);
  // Called when another process of this gatekeeper is to take over: frees the TCP address for it. The UDP
  // address is freed by the end of this process, since datagrams of its dialogs come there until then.
  void begin_handover(Outbox& out) const;
  // When the calls of a process that stops without a successor are ended.
  struct ShutdownTimes {
    Time end_calls_at{};
    // Calls whose caller has not acknowledged the 2xx by then are ended all the same.
    Time end_unacknowledged_at{};
  };
  // Called when this process stops and no other one takes over its dialogs. From `end_calls_at` on, new calls
  // are rejected and established ones ended on both sides; continue_shutdown is to be called repeatedly.
  void begin_shutdown(Time now, ShutdownTimes times, Outbox& out);
  void continue_shutdown(Time now, Outbox& out);
  // Number of calls without a final response, or established.
  std::size_t call_count() const { return calls_.size(); }
  // Number of BYEs that callers have not confirmed, or that wait for the caller's ACK.
  std::size_t pending_byes() const;
  void set_ready(bool ready) { ready_ = ready; }
  void replace_classes(std::shared_ptr<const core::Classes> classes) {
    settings_.classes = std::move(classes);
  }
  // Connects the gap register, which subscribed neighbours are notified of and may announce gaps to.
  void share_gaps(GapSource source) { load_control_.set_gap_source(std::move(source)); }

  // Called at the end of a step: sends 100 for the INVITEs that have no response yet. One that is rejected in
  // the step of its arrival gets no 100, so that its caller repeats it where the rejection is lost (§8.2.7).
  void send_trying(Time now, Outbox& out);

  void apply(Time now, const core::AnswerCaller& effect, Outbox& out);
  void apply(Time now, const core::RejectRequest& effect, Outbox& out);
  void apply(Time now, const core::ReleaseCaller& effect, Outbox& out);

 private:
  struct Dialog {  // §12, in the role of the UAS
    std::string call_id{};
    std::string local{};   // From of requests sent from here: the caller's To with the local tag
    std::string remote{};  // To of requests sent from here
    std::string target{};  // the caller's Contact
    std::vector<std::string> routes{};
    std::uint32_t local_cseq{0};
    std::uint32_t remote_cseq{0};
    sip::Flow flow{};
  };
  struct Call {
    std::string invite{};     // key of its INVITE transaction
    std::string merge_key{};  // in recent_invites_
    std::size_t bytes{};      // of its INVITE
    bool trying_sent = false;
    Dialog dialog{};
    bool answered = false;
    bool acknowledged = false;
    bool bye_after_ack = false;  // released before the ACK: the BYE waits for it
    int cause{16};
    std::string offer{};
    std::string description{};
    std::string reinvite{};  // key of a re-INVITE transaction that waits for its ACK
  };

  void handle_incoming(Time now, sip::Incoming incoming, Outbox& out);
  void handle_request(Time now, const sip::Flow& flow, const sip::Message& message, Outbox& out);
  void handle_invite(Time now, const std::string& key, const sip::Flow& flow, const sip::Message& message,
                     Outbox& out);
  void handle_reinvite(Time now, const std::string& key, Call& call, const sip::Message& message,
                       Outbox& out);
  void handle_ack(Time now, const sip::Message& message, Outbox& out);
  void handle_bye(Time now, const std::string& key, const sip::Message& message, Outbox& out);
  void handle_cancel(Time now, const std::string& key, const sip::Message& message, Outbox& out);
  void respond(Time now, const std::string& key, int status, Outbox& out, const std::string& warning = {});
  void reject(const std::string& key, int status, Outbox& out, const std::string& warning = {});
  void reject_invite(Time now, Call& call, StatelessResponse rejection, Outbox& out);
  static sip::Message make_stateless(const std::string& key, const sip::Message& request,
                                     const StatelessResponse& rejection);
  static StatelessResponse response_to(const core::RejectRequest& effect);
  void reject_malformed(Time now, const sip::Incoming& incoming, Outbox& out);
  void make_room(Time now, Outbox& out);
  void reject_unavailable(const std::string& key, const sip::Message& message, Outbox& out);
  void cancel_unanswered(Time now, std::uint32_t conn, Outbox& out);
  std::string read_request(Time now, const sip::Message& message, core::Request& request);
  sip::Message make_ok(const Call& call, const sip::Message& request) const;
  void send_bye(Time now, Call& call, int cause, Outbox& out);
  void resend_byes(Time now, Outbox& out);
  void forget(CallId id);
  Call* find(CallId id);
  CallId find_call_id(const sip::Message& message) const;
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
  UnconfirmedByes byes_;
  std::unordered_map<CallId, Call> calls_;
  std::map<std::string, CallId> by_invite_;  // by key of the INVITE transaction
  std::map<std::string, CallId> by_dialog_;  // by Call-ID, local tag and remote tag
  RecentIds recent_invites_;  // merge keys: Call-ID, From tag and CSeq, to detect merged requests (§8.2.2.2)
  RejectedInvites rejected_invites_{sip::k64T1};
  std::vector<CallId> new_calls_;           // of the current step
  std::size_t call_bytes_ = 0;              // sum of Call::bytes
  std::set<std::uint32_t> closed_by_peer_;  // TCP connections that the peer has half-closed
  std::uint64_t last_call_ = 0;
  RandomIdGenerator ids_;
  bool ready_ = false;
  std::optional<ShutdownTimes> shutdown_{};
};

}  // namespace graniterun::downstream
