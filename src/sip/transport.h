// The SIP transport layer over UDP and TCP (RFC 3261 §18): chooses the connection or peer of each message,
// opens TCP connections where none is open, and splits streams into messages. It does no I/O: effects go into
// the outbox.
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

// How to reach the other side.
struct Flow {
  bool reliable{};       // TCP
  std::uint32_t conn{};  // used while it is open
  std::string peer{};    // address:port, for datagrams and after the connection has closed
};

struct Incoming {
  Flow flow{};
  ReadResult read{};
};

class Transport {
 public:
  Transport(net::Concern concern, Counters& counters) : concern_(concern), counters_(counters) {}

  void accepted(std::uint32_t conn) { open_.insert(conn); }
  // Returns the current text of a message that waited for its connection, for instance with the time left
  // now; called for messages with a ticket.
  using Refresh = std::function<std::string(std::uint64_t ticket, std::string text)>;
  void connected(std::uint32_t conn, Outbox& out, const Refresh& refresh = {});
  // Returns the address of the peer that could not be reached; empty for an unknown connection.
  std::string connect_failed(std::uint32_t conn);
  // Returns the address that the connection was opened to from here; empty for an accepted one.
  std::string closed(std::uint32_t conn);
  std::vector<Incoming> received(const net::Received& event, Outbox& out);
  Incoming datagram(const net::Datagram& datagram) const;

  // `ticket`: not 0 for a message over TCP that may be withdrawn while no byte of it is written.
  void send(const Flow& flow, std::string text, Outbox& out, std::uint64_t ticket = 0);
  // Withdraws a message sent over a connection opened from here. Returns true if it still waited for the
  // connection and is removed; false if the runtime decides, which sends WriteWithdrawn if no byte was
  // written.
  bool withdraw(const Flow& flow, std::uint64_t ticket, Outbox& out);
  void close(std::uint32_t conn, Outbox& out);
  // Whether the input received so far ends within a message.
  bool has_partial_message(std::uint32_t conn) const { return partial_.contains(conn); }
  std::size_t open() const { return open_.size(); }

 private:
  struct OutgoingConnection {
    std::uint32_t conn{};
    bool connected{};
    struct Message {
      std::string text;
      std::uint64_t ticket{};
    };
    std::vector<Message> waiting{};  // until it is connected
  };
  net::Concern concern_;
  Counters& counters_;
  std::set<std::uint32_t> open_;
  // Connections whose input ends within a message, and the bytes that it needs; 0: not known yet.
  std::map<std::uint32_t, std::size_t> partial_;
  std::map<std::string, OutgoingConnection> outgoing_;  // by peer
  std::uint32_t last_outgoing_ = 0;
};

// address:port of a host part, with port 5060 as the default. Empty for host names: there is no DNS lookup.
std::string address_in(std::string_view host);

}  // namespace graniterun::sip
