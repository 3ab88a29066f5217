// Messages between members. Each is one datagram, which may be lost, delayed, duplicated or reordered.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "membership/member.h"

namespace graniterun::membership {

// Anti-entropy sync compares the member table by buckets: a record's bucket is the hash of its name modulo
// this.
constexpr std::size_t kDigestBuckets = 64;

// Asks for an Ack. The Ack repeats the random token, which proves that its sender received this ping.
struct Ping {
  std::uint64_t token{};
  bool by_non_member = false;  // the sender is not a member yet: it is answered but not added to the table
  bool has_record = false;     // whether `receiver_record` is set
  // The sender's record of the receiver, so that the receiver can refute a suspicion at once.
  Record receiver_record{};
};
struct Ack {
  std::uint64_t token{};
  bool has_record = false;
  Record receiver_record{};
};
// Indirect probe: asks the receiver to ping the named member. The answer is a RelayedAck, or a Nack if the
// member has not answered within the ack timeout.
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
// Anti-entropy sync: carries the sender's digest of each bucket. The receiver sends back its records of the
// buckets whose digests differ.
struct SyncRequest {
  std::vector<std::uint64_t> buckets{};
};
struct Gossip {};  // carries only the datagram's records

using MessageBody = std::variant<Ping, Ack, PingRequest, RelayedAck, Nack, SyncRequest, Gossip>;

struct Datagram {
  Record from{};                    // the sender's own record
  std::string to{};                 // name of the receiver; empty if the sender does not know it
  std::uint64_t sequence_number{};  // sequence number of the sender's datagrams, increasing
  std::uint64_t digest{};           // of the sender's member table
  bool catching_up = false;         // the sender was paused: its records of other members are ignored
  MessageBody body{};
  std::vector<Record> records{};
};

// Upper bound on the records of one datagram in bytes, as computed by max_encoded_bytes().
constexpr std::size_t kMaxRecordBytes = 700;
// Upper bound on the encoded size of a record in bytes (fleet/datagram.h).
inline std::size_t max_encoded_bytes(const Record& record) {
  return 36 + record.name.size() + record.address.size() + record.suspecting_member.size();
}

}  // namespace graniterun::membership
