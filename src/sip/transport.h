// SIP over UDP and TCP: which connection or peer a message goes to, and the parting of streams into messages.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "codec/sip.h"
#include "core/counters.h"
#include "net/outbox.h"

namespace graniterun::sip {

// The way to the other side.
struct Flow {
  bool reliable{};       // TCP
  std::uint32_t conn{};  // while it is open
  std::string peer{};    // address:port, for datagrams and where the connection is gone
};

struct Incoming {
  Flow flow{};
  ReadResult read{};
};

class Transport {
 public:
  Transport(net::Concern concern, Counters& counters) : concern_(concern), counters_(counters) {}

  void accepted(std::uint32_t conn) { open_.insert(conn); }
  // Gives a message that waited for its connection the text that holds now; called with its ticket.
  using Refresh = std::function<std::string(std::uint64_t ticket, std::string text)>;
  void connected(std::uint32_t conn, Outbox& out, const Refresh& refresh = {});
  // The peer that could not be reached.
  std::string connect_failed(std::uint32_t conn);
  // The peer that it had been dialled to, if it was.
  std::string closed(std::uint32_t conn);
  std::vector<Incoming> received(const net::Received& event, Outbox& out);
  Incoming datagram(const net::Datagram& datagram) const;

  // `ticket`: not 0 for a message over TCP that may be recalled while none of it is written.
  void send(const Flow& flow, std::string text, Outbox& out, std::uint64_t ticket = 0);
  // Takes back the message to that peer, over a connection made from here. True: it still waited for the
  // connection and is gone. False: the runtime looks, and tells Recalled where it was in time.
  bool withdraw(const Flow& flow, std::uint64_t ticket, Outbox& out);
  void close(std::uint32_t conn, Outbox& out);
  // A message has begun on the connection and is not whole.
  bool half(std::uint32_t conn) const { return half_.contains(conn); }
  std::size_t open() const { return open_.size(); }

 private:
  struct Dialled {
    std::uint32_t conn{};
    bool up{};
    struct Message {
      std::string text;
      std::uint64_t ticket{};
    };
    std::vector<Message> waiting{};  // for the connection
  };
  net::Concern concern_;
  Counters& counters_;
  std::set<std::uint32_t> open_;
  std::set<std::uint32_t> half_;
  std::map<std::string, Dialled> dialled_;  // by peer
  std::uint32_t last_dialled_ = 0;
};

// address:port of a host part; the port is 5060 where none is named. Empty for names: nothing is looked up.
std::string address_in(std::string_view host);

}  // namespace graniterun::sip
