// User agent client of RFC 3261 for setup servers that speak standard SIP over UDP or TCP, with transactions
// and dialogs of its own. It has the inputs and outputs of SetupServers, which it replaces if the deploy file
// says so.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/deadline_queue.h"
#include "core/random_id.h"
#include "core/recent_ids.h"
#include "net/outbox.h"
#include "sip/transactions.h"
#include "upstream/dialog_tag.h"
#include "upstream/dialog_watch.h"
#include "upstream/directory.h"

namespace graniterun::upstream {

struct SipTrunkSettings {
  bool reliable{};           // TCP instead of UDP
  std::string address{};     // local ip:port, from which it sends and at which servers reach it
  std::uint64_t seed{};      // of tags and branches
  std::string gatekeeper{};  // its name, the same after a restart
  bool
      wait_for_address{};  // over TCP: another process of this gatekeeper may hold the address until it stops
};

class SipTrunk {
 public:
  SipTrunk(SipTrunkSettings settings, std::vector<std::string> areas, Counters& counters);

  void start(Time now, Outbox& out);
  void handle_endpoints(Time now, const EndpointList& list, ListKind kind, Outbox& out);
  void on(Time now, const net::Accepted& event, Outbox& out);
  void on(Time now, const net::Connected& event, Outbox& out);
  void on(Time now, const net::ConnectFailed& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::WriteWithdrawn& event, Outbox& out);
  void on(Time now, const net::Datagram& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);

  void apply(Time now, const core::StartAttempt& event, Outbox& out);
  void apply(Time now, const core::AbandonAttempt& event, Outbox& out);
  void apply(Time now, const core::ReleaseServer& event, Outbox& out);

  // Called when another process of this gatekeeper takes over: over TCP, frees the address for it.
  void begin_handover(Outbox& out) const;

  // Number of endpoints that are not terminated, including draining ones.
  std::size_t endpoint_count() const;
  // Number of BYEs to servers without a final response.
  std::size_t pending_byes() const { return transactions_.pending_byes(); }
  // Whether an endpoint is in service.
  bool ready() const;
  // The endpoint's uid, or "unknown".
  const std::string& name_of(ServerId server) const;

 private:
  enum class State { calling, abandoned, established, finished };
  struct UpstreamAttempt {
    std::shared_ptr<const core::Request> request{};
    int index{};
    ServerId server{};
    State state{};
    Time state_since{};
    Time deadline{};  // of the INVITE
    sip::Message invite{};
    std::string transaction{};  // branch key of the INVITE's transaction
    sip::Flow flow{};
    bool provisional_received = false;  // a CANCEL may be sent only after a provisional response (§9.1)
    bool cancel_sent = false;
    std::uint64_t ticket{};        // write ticket of an INVITE over TCP, by which it may be withdrawn
    bool broker_notified = false;  // the broker got the end of the attempt
    bool was_established = false;  // at the server, also by a late success
    // Dialog state (§12).
    std::string remote_to{};  // To header with the server's tag
    std::string remote_target{};
    std::vector<std::string> route_set{};
    std::uint32_t local_cseq = 1;
  };
  using Attempts = std::map<std::string, UpstreamAttempt, std::less<>>;  // by Call-ID

  void handle_message(Time now, sip::Incoming incoming, Outbox& out);
  void handle_response(Time now, const sip::Message& message, Outbox& out);
  void handle_invite_success(Time now, UpstreamAttempt& attempt, const sip::Message& message, Outbox& out);
  void handle_request(Time now, const sip::Flow& flow, const sip::Message& message, Outbox& out);
  std::string find_former_call(const sip::Message& message) const;
  void release_former_call(Time now, const std::string& correlation_id, const sip::Message& bye, Outbox& out);
  void finish_attempt(Time now, UpstreamAttempt& attempt, core::AttemptFinished finished, Outbox& out);
  void send_cancel(Time now, UpstreamAttempt& attempt, Outbox& out);
  void withdraw_invite(Time now, Attempts::iterator it, Outbox& out);
  std::string refresh_time_left(Time now, std::uint64_t ticket, std::string text);
  void handle_withdrawn(Time now, Attempts::iterator it, Outbox& out);
  void erase(Attempts::iterator it);
  void log_sent(Time now, std::string_view event, const UpstreamAttempt& attempt, Outbox& out);
  void log_message(Time now, std::string_view event, const UpstreamAttempt& attempt,
                   const sip::Message& message, Outbox& out);
  sip::Message make_dialog_request(UpstreamAttempt& attempt, const std::string& method, std::uint32_t cseq);
  void enter_state(Time now, UpstreamAttempt& attempt, State state);
  void send_bye(Time now, UpstreamAttempt& attempt, int cause, Outbox& out);
  void end_calls_before_restart(Time now, ServerId server, Time restarted_at, Outbox& out);
  void check_dialogs(Time now, Outbox& out);
  void end_lost_dialog(Time now, UpstreamAttempt& attempt, std::string_view reason, Outbox& out);
  void handle_probe_response(Time now, UpstreamAttempt& attempt, int status, Outbox& out);
  UpstreamAttempt* find_attempt(std::string_view call_id);
  std::string call_id_of(const core::Request& request, int attempt) const {
    return request.correlation_id + "-" + std::to_string(attempt) + "@" + settings_.address;
  }
  std::string make_via();

  SipTrunkSettings settings_;
  Counters& counters_;
  Directory directory_;
  sip::Transport transport_;
  sip::Transactions transactions_;
  std::map<ServerId, Endpoint> endpoints_;
  Attempts attempts_;
  DialogWatch watch_;
  std::unordered_map<std::string, std::string> by_transaction_;  // Call-ID by INVITE transaction
  std::unordered_map<std::uint64_t, std::string> withdrawals_;  // Call-ID by ticket of a requested withdrawal
  std::uint64_t last_ticket_ = 0;
  DeadlineQueue<std::string> state_deadlines_;  // ends of the states `abandoned` and `finished`, by Call-ID
  RandomIdGenerator ids_;
  DialogTag tags_;
  RecentIds former_calls_released_;  // Call-IDs
};

}  // namespace graniterun::upstream
