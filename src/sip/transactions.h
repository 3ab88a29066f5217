// The transaction layer of RFC 3261 §17 with the accepted state of RFC 6026: client and server transactions,
// INVITE and non-INVITE, with all timers. It does no I/O and reads no clock: messages and timers come in as
// calls, and what it sends goes through the transport into the outbox.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sip/transport.h"

namespace graniterun::sip {

constexpr Duration kT1 = std::chrono::milliseconds(500);
constexpr Duration kT2 = std::chrono::seconds(4);
constexpr Duration kT4 = std::chrono::seconds(5);
constexpr Duration k64T1 = 64 * kT1;
constexpr std::string_view kBranchCookie = "z9hG4bK";

// Via header of a request from `sent_by` (address:port); `branch` must be unique (§8.1.1.7).
inline std::string make_via(bool reliable, const std::string& sent_by, const std::string& branch) {
  return std::string(reliable ? "SIP/2.0/TCP " : "SIP/2.0/UDP ") + sent_by +
         ";branch=" + std::string(kBranchCookie) + branch;
}

// A timeout that the transaction user must handle.
struct TimerExpiry {
  enum class Kind {
    no_answer,  // timer B or F: no final response came
    no_ack,     // timer H, or 64 T1 after a 2xx: no ACK came
  } kind{};
  std::string key{};
};

class Transactions {
 public:
  Transactions(net::Concern concern, Transport& transport, Counters& counters)
      : concern_(concern), transport_(transport), counters_(counters) {}

  // ---- server side
  // initial: creates a transaction; absorbed: a repeat; ack: to a 2xx, for the dialog, or to a rejection of
  // which no state is kept.
  enum class RequestKind { initial, absorbed, ack };
  // Handles a received request and sets `key` to the key of its transaction.
  RequestKind receive_request(Time now, const Flow& flow, const Message& request, std::string& key,
                              Outbox& out);
  void respond(Time now, const std::string& key, const Message& answer, Outbox& out);
  // Sends a final response and forgets the transaction at once (§8.2.7): for requests whose repeat gets the
  // same response from the message alone, so that a flood of them takes no room. `answer` must have the same
  // To tag each time (see stateless_tag), and no provisional response may have been sent: its caller would
  // not repeat an INVITE whose rejection is lost.
  void respond_without_state(const std::string& key, const Message& answer, Outbox& out);
  // Called for the ACK to the transaction's 2xx: stops its retransmission.
  void handle_ack_to_2xx(Time now, const std::string& key, Outbox& out);
  const Message* request_of(const std::string& key) const;
  bool has_final(const std::string& key) const;
  // Key of the INVITE transaction that a CANCEL matches (§9.2); empty where there is none.
  std::string find_cancelled_invite(const Message& cancel) const;

  // ---- client side
  // Sends a request, whose top Via must have a unique branch, and returns the transaction's key. `ticket`: as
  // in Transport::send.
  std::string send_request(Time now, const Flow& flow, const Message& request, Outbox& out,
                           std::uint64_t ticket = 0);
  // Handles a received response. Returns the key of its transaction if the transaction user must handle it;
  // empty if it was absorbed.
  std::string receive_response(Time now, const Message& answer, Outbox& out);

  // Stops the retransmission of a request; its transaction still handles responses.
  void stop_retransmitting(const Message& request);
  // Ends a client transaction whose request was withdrawn before it was written.
  void forget(const std::string& key) { clients_.erase(key); }

  // Handles a timer armed under its number; returns the timeouts for the transaction user.
  std::vector<TimerExpiry> handle_timer(Time now, std::uint64_t timer, Outbox& out);
  std::size_t size() const { return servers_.size() + clients_.size(); }
  // Number of BYEs without a final response: no timeout has ended their transactions either.
  std::size_t pending_byes() const;

 private:
  enum class State { trying, proceeding, completed, confirmed, accepted };
  enum class Kind { retransmit, timeout, end };
  struct Transaction {
    Flow flow{};
    bool invite{};
    State state{};
    std::string sent{};  // last message, for retransmission
    Duration retransmit_interval{};
    std::map<Kind, std::uint64_t> timers{};
  };
  struct Server : Transaction {
    Message request{};  // until the final response
    bool final_sent = false;
    std::uint64_t finished_number = 0;  // in finished_; 0: it is not there
    std::size_t finished_bytes = 0;
  };
  struct Client : Transaction {
    Message request{};
  };
  struct Timer {
    bool server{};
    std::string key{};
    Kind kind{};
  };

  void arm(Time now, bool server, const std::string& key, Transaction& transaction, Kind kind, Duration after,
           Outbox& out);
  void retransmit(Time now, bool server, const std::string& key, Transaction& transaction, Outbox& out);
  void disarm(Transaction& transaction, Kind kind);
  static bool is_armed(const Transaction& transaction, Kind kind, std::uint64_t number);
  using Servers = std::map<std::string, Server>;
  void retain_finished(Servers::iterator server);
  void forget_server(Servers::iterator server);
  std::optional<TimerExpiry> server_timer_fired(Time now, std::uint64_t number, const Timer& timer,
                                                Outbox& out);
  std::optional<TimerExpiry> client_timer_fired(Time now, std::uint64_t number, const Timer& timer,
                                                Outbox& out);
  void ack_failure(Client& client, const Message& answer, Outbox& out);

  net::Concern concern_;
  Transport& transport_;
  Counters& counters_;
  Servers servers_;
  // Server transactions that only absorb repeats, in the order of their ends: the first are forgotten early
  // beyond the bounds on their number and size.
  std::map<std::uint64_t, std::string> finished_;
  std::uint64_t last_finished_ = 0;
  std::size_t finished_bytes_ = 0;
  std::map<std::string, Client> clients_;
  std::map<std::uint64_t, Timer> timers_;
  std::uint64_t last_timer_ = 0;
};

// The To tag of a response without state: the same one for each repeat of the request with this transaction
// key (§8.2.7).
std::string stateless_tag(std::string_view key);
// A response to a request with the headers that it copies from it (§8.2.6). `tag` is added to a To without
// tag, except in a 100.
Message answer_to(const Message& request, int status, std::string_view phrase, std::string_view tag);
// The reason phrase of a status code; "Unknown" for codes that are not sent here.
std::string_view phrase_of(int status);

}  // namespace graniterun::sip
