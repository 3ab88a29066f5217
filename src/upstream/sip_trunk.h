// Setup servers that speak SIP as RFC 3261 has it, over UDP or TCP: a user agent client with transactions and
// dialogs of its own. It takes the place of SetupServers where the deploy file says so.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/deadline_queue.h"
#include "core/random_id.h"
#include "net/outbox.h"
#include "sip/transactions.h"
#include "upstream/directory.h"

namespace graniterun::upstream {

struct SipTrunkSettings {
  bool reliable{};        // TCP
  std::string address{};  // from where, and where servers reach us
  std::uint64_t seed{};
};

class SipTrunk {
 public:
  SipTrunk(SipTrunkSettings settings, std::vector<std::string> areas, Counters& counters);

  void start(Time now, Outbox& out);
  void handle_endpoints(Time now, const EndpointList& list, ListKind kind, Outbox& out);
  void on(Time now, const net::Accepted& e, Outbox& out);
  void on(Time now, const net::Connected& e, Outbox& out);
  void on(Time now, const net::ConnectFailed& e, Outbox& out);
  void on(Time now, const net::Received& e, Outbox& out);
  void on(Time now, const net::Closed& e, Outbox& out);
  void on(Time now, const net::WriteWithdrawn& e, Outbox& out);
  void on(Time now, const net::Datagram& e, Outbox& out);
  void on(Time now, const net::TimerFired& e, Outbox& out);

  void apply(Time now, const core::StartAttempt& e, Outbox& out);
  void apply(Time now, const core::AbandonAttempt& e, Outbox& out);
  void apply(Time now, const core::ReleaseServer& e, Outbox& out);

  std::size_t listed() const;
  bool ready() const;
  const std::string& name_of(ServerId server) const;

 private:
  enum class State { calling, abandoned, established, finished };
  struct UpstreamAttempt {
    std::shared_ptr<const core::Request> request{};
    int attempt{};
    ServerId server{};
    State state{};
    Time state_since{};
    Time deadline{};  // the INVITE's deadline
    sip::Message invite{};
    std::string transaction{};  // of the INVITE
    sip::Flow flow{};
    bool provisional = false;  // a CANCEL may be sent only after one (§9.1)
    bool cancelled = false;
    std::uint64_t ticket{};        // of the INVITE over TCP, which may be recalled
    bool broker_notified = false;  // the broker knows that the attempt is over
    bool was_established = false;  // at the server, whether in time or not
    // The dialog (§12).
    std::string remote{};  // To, with the server's tag
    std::string target{};
    std::vector<std::string> routes{};
    std::uint32_t cseq = 1;
  };
  using Attempts = std::map<std::string, UpstreamAttempt, std::less<>>;  // by Call-ID

  void handle_message(Time now, sip::Incoming incoming, Outbox& out);
  void answered(Time now, const sip::Message& m, Outbox& out);
  void requested(Time now, const sip::Flow& flow, const sip::Message& m, Outbox& out);
  void finish_attempt(Time now, UpstreamAttempt& leg, core::AttemptFinished ended, Outbox& out);
  void cancel(Time now, UpstreamAttempt& leg, Outbox& out);
  void withdraw_invite(Time now, Attempts::iterator it, Outbox& out);
  std::string with_time_left(Time now, std::uint64_t ticket, std::string text);
  void handle_withdrawn(Time now, Attempts::iterator it, Outbox& out);
  void erase(Attempts::iterator it);
  sip::Message in_dialog(UpstreamAttempt& leg, const std::string& method, std::uint32_t cseq);
  void enter_state(Time now, UpstreamAttempt& leg, State state);
  void bye(Time now, UpstreamAttempt& leg, int cause, Outbox& out);
  void end_established_calls(Time now, ServerId server, std::optional<Time> stood_before, Outbox& out);
  UpstreamAttempt* find(std::string_view call_id);
  std::string call_id_of(const core::Request& request, int attempt) const {
    return request.correlation_id + "-" + std::to_string(attempt) + "@" + settings_.address;
  }
  std::string via();

  SipTrunkSettings settings_;
  Counters& counters_;
  Directory directory_;
  sip::Transport transport_;
  sip::Transactions transactions_;
  std::map<ServerId, Endpoint> endpoints_;
  Attempts attempts_;
  std::unordered_map<std::string, std::string> by_transaction_;  // an INVITE's transaction to its Call-ID
  std::unordered_map<std::uint64_t, std::string> withdrawals_;   // asked for: the ticket to its Call-ID
  std::uint64_t last_ticket_ = 0;
  DeadlineQueue<std::string> due_;  // legs given up long enough, or remembered long enough
  RandomIdGenerator ids_;
};

}  // namespace graniterun::upstream
