// The transactions of RFC 3261 §17, with RFC 6026's accepted state: client and server, INVITE and others,
// with all their timers. A pure reducer: what it sends goes through the transport into the outbox.
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
constexpr std::string_view kCookie = "z9hG4bK";

// What a transaction user is told of the passing of time.
struct TimerExpiry {
  enum class What {
    no_answer,  // timer B or F: the other side did not answer
    no_ack,     // timer H, or 64 T1 after a 2xx
  } what{};
  std::string key{};
};

class Transactions {
 public:
  Transactions(net::Concern concern, Transport& transport, Counters& counters)
      : concern_(concern), transport_(transport), counters_(counters) {}

  // ---- server side
  enum class RequestKind { initial, absorbed, ack };  // ack: to a 2xx, for the dialog
  // A request came in. `key` names its transaction.
  RequestKind receive_request(Time now, const Flow& flow, const Message& request, std::string& key,
                              Outbox& out);
  void respond(Time now, const std::string& key, const Message& answer, Outbox& out);
  // The ACK to the transaction's 2xx has come: it is not sent again.
  void acknowledged(Time now, const std::string& key, Outbox& out);
  const Message* request_of(const std::string& key) const;
  const Flow* flow_of(const std::string& key) const;
  bool has_final(const std::string& key) const;
  // The INVITE transaction that a CANCEL is for.
  std::string cancelled_by(const Message& cancel) const;

  // ---- client side
  // Sends the request, whose top Via has a branch of its own; returns the transaction's key.
  // `ticket`: as in Transport::send.
  std::string send_request(Time now, const Flow& flow, const Message& request, Outbox& out,
                           std::uint64_t ticket = 0);
  // An answer came in: the key of its transaction where the user is to see it; empty where it was absorbed.
  std::string receive_response(Time now, const Message& answer, Outbox& out);

  // Sends a request no more; its transaction still takes what comes.
  void stop_retransmitting(const Message& request);
  // Ends a client transaction whose request was taken back before it was written.
  void forget(const std::string& key) { clients_.erase(key); }

  std::vector<TimerExpiry> fired(Time now, std::uint64_t timer, Outbox& out);
  std::size_t size() const { return servers_.size() + clients_.size(); }

 private:
  enum class State { trying, proceeding, completed, confirmed, accepted };
  enum class Kind { retransmit, timeout, end };
  struct Base {
    Flow flow{};
    bool invite{};
    State state{};
    std::string sent{};  // the last message, for sending again
    Duration gap{};
    std::map<Kind, std::uint64_t> timers{};
  };
  struct Server : Base {
    Message request{};
    bool final_sent = false;
  };
  struct Client : Base {
    Message request{};
  };
  struct Timer {
    bool server{};
    std::string key{};
    Kind kind{};
  };

  void arm(Time now, bool server, const std::string& key, Base& base, Kind kind, Duration after, Outbox& out);
  void retransmit(Time now, bool server, const std::string& key, Base& base, Outbox& out);
  static bool is_armed(const Base& base, Kind kind, std::uint64_t number);
  std::optional<TimerExpiry> server_timer_fired(Time now, std::uint64_t number, const Timer& timer,
                                                Outbox& out);
  std::optional<TimerExpiry> client_timer_fired(Time now, std::uint64_t number, const Timer& timer,
                                                Outbox& out);
  void ack_failure(Client& client, const Message& answer, Outbox& out);

  net::Concern concern_;
  Transport& transport_;
  Counters& counters_;
  std::map<std::string, Server> servers_;
  std::map<std::string, Client> clients_;
  std::map<std::uint64_t, Timer> timers_;
  std::uint64_t last_timer_ = 0;
};

// The answer to a request, with the headers that it has to repeat (§8.2.6). `tag`: where To has none.
Message answer_to(const Message& request, int status, std::string_view phrase, std::string_view tag);
std::string_view phrase_of(int status);

}  // namespace graniterun::sip
