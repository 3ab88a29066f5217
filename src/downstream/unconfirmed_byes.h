// BYEs to SIP callers over TCP that have no final response yet. RFC 3261 retransmits over UDP only: a BYE
// that was written to a connection which then breaks would be lost, and its caller would wait for good. Such
// a BYE is sent again on a new connection, until it is confirmed or its retention is over. It does no I/O and
// reads no clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "sip/transport.h"

namespace graniterun::downstream {

class UnconfirmedByes {
 public:
  struct Bye {
    sip::Message message{};
    sip::Flow flow{};
    Time first_sent_at{};
    std::optional<Time> resend_at{};
  };

  // Records a BYE under the key of its transaction. Beyond kMaxByes it is sent only once.
  void sent(const std::string& key, Bye bye);
  void confirmed(const std::string& key) { byes_.erase(key); }
  // A connection broke, or a connect to `peer` failed: its BYEs are due again.
  void connection_lost(Time now, std::uint32_t conn, const std::string& peer);
  // Removes and returns the BYEs that are to be sent again, in a new transaction each, to their flow's peer.
  std::vector<Bye> take_due(Time now);

 private:
  static constexpr std::size_t kMaxByes = 4096;

  std::map<std::string, Bye> byes_{};
};

}  // namespace graniterun::downstream
