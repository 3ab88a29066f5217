// What members say to each other. Each is one datagram; any of them may be lost, late, doubled or out of
// order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "membership/member.h"

namespace graniterun::membership {

constexpr std::size_t kBuckets = 64;  // names fall into so many, for the exchange of all that is known

// "Are you there?" The token comes back in the answer, so an answer proves that its sender heard this ping.
struct Ping {
  std::uint64_t token{};
  bool by_non_member = false;  // by a process that is no member yet: it is answered, and not taken in
  bool known = false;          // whether `about_receiver` holds something
  // what the sender knows of the receiver: told at once, so that it can be overruled
  Record about_receiver{};
};
struct Ack {
  std::uint64_t token{};
  bool known = false;
  Record about_receiver{};
};
// "Ask this one for me"; answered by RelayedAck, or by Nack where it has said nothing so far.
struct PingRequest {
  std::uint64_t token{};
  std::string name{};
  std::string address{};
};
struct RelayedAck {
  std::uint64_t token{};
};
struct Nack {
  std::uint64_t token{};
};
// "This is a sum of what I know, a bucket each: tell me where yours is another."
struct SyncRequest {
  std::vector<std::uint64_t> buckets{};
};
struct Gossip {};  // nothing but its records

using Body = std::variant<Ping, Ack, PingRequest, RelayedAck, Nack, SyncRequest, Gossip>;

struct Datagram {
  Record from{};             // the sender, as it knows itself
  std::string to{};          // name of the receiver, where the sender knows it
  std::uint64_t number{};    // of the sender's datagrams; grows with each
  std::uint64_t digest{};    // of all that it knows
  bool catching_up = false;  // it was stopped, and is not to be believed about others
  Body body{};
  std::vector<Record> records{};
};

// No more bytes than this in one datagram's records, as bytes_of() reckons them.
constexpr std::size_t kRecordBytes = 700;
// No less than what a record takes on the wire (fleet/datagram).
inline std::size_t bytes_of(const Record& record) {
  return 36 + record.name.size() + record.address.size() + record.suspecting_member.size();
}

}  // namespace graniterun::membership
