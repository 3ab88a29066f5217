// The load-control event package of RFC 7200 over the SIP front (RFC 6665): as notifier, SIP neighbours that
// subscribe are told which numbers are gapped, so that they stop such calls before they come here; as
// subscriber, what a neighbour asks for is held as gaps of our own, for no longer than its subscription.
// Bounded: kMaxSubscriptions each way; a subscription ends by itself.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "call_gapping/gap_register.h"
#include "control/load_control.h"
#include "core/counters.h"
#include "core/random_id.h"
#include "net/outbox.h"
#include "sip/transactions.h"

namespace graniterun::downstream {

// The register of gaps, as far as neighbours have to do with it.
struct GapSource {
  std::function<std::vector<call_gapping::GapState>(Time)> gaps{};
  std::function<std::uint64_t()> digest{};
  std::function<void(Time, const call_gapping::Announcement&, Outbox&)> announce{};
};

struct LoadControlSettings {
  std::optional<std::string> udp{};  // our addresses
  std::optional<std::string> tcp{};
  std::vector<std::string> neighbours{};  // whose load control is asked for, address:port
  std::uint64_t seed{};
};

class LoadControl {
 public:
  static constexpr std::size_t kMaxSubscriptions = 64;

  LoadControl(LoadControlSettings settings, sip::Transactions& transactions, Counters& counters);

  void source(GapSource source) { source_ = std::move(source); }
  // Requests of the two methods, in a transaction that has no answer yet.
  void subscribed(Time now, const std::string& key, const sip::Flow& flow, const sip::Message& m,
                  Outbox& out);
  void notified(Time now, const std::string& key, const sip::Message& m, Outbox& out);
  // The answer to a request of ours, or that none came.
  void answered(Time now, const std::string& transaction, const sip::Message& m, Outbox& out);
  void unanswered(Time now, const std::string& transaction);
  void tick(Time now, Outbox& out);

 private:
  struct Dialog {
    std::string call_id{};
    std::string local{};   // From of our requests
    std::string remote{};  // To of our requests
    std::string target{};
    std::vector<std::string> routes{};
    std::uint32_t cseq = 0;
    std::uint32_t remote_cseq = 0;
    sip::Flow flow{};
  };
  struct Subscription {  // a neighbour's, to us
    Dialog dialog{};
    Time ends{};
    std::uint32_t version = 0;
    std::uint64_t notified_digest = 0;  // digest of the register when it was told
  };
  struct Neighbour {  // ours, to a neighbour
    std::string address{};
    Dialog dialog{};
    std::string transaction{};
    Time next{};                                             // to subscribe, or to refresh
    std::optional<Time> ends{};                              // of the subscription
    bool version_reset = false;                              // subscribed anew: versions count from the start
    std::optional<control::LoadControlDocument> document{};  // the last one
    std::set<std::string> held{};                            // gaps that it stands for
  };

  void reject(Time now, const std::string& key, int status, Outbox& out, const char* header = nullptr,
              const std::string& value = {});
  void accept(Time now, const std::string& key, const sip::Message& m, const Dialog& d, Duration span,
              Outbox& out);
  void notify(Time now, Subscription& s, const std::string& state, Outbox& out);
  void subscribe(Time now, Neighbour& n, Outbox& out);
  void store_gaps(Time now, Neighbour& n, Outbox& out);
  sip::Message request(const Dialog& d, const std::string& method);
  std::string contact(bool reliable) const;

  LoadControlSettings settings_;
  sip::Transactions& transactions_;
  Counters& counters_;
  RateLimitedWarning malformed_warning_;
  GapSource source_{};
  std::map<std::string, Subscription> subscriptions_;  // by Call-ID and both tags
  std::map<std::string, std::string> by_transaction_;  // of a NOTIFY under way
  std::vector<Neighbour> neighbours_;
  RandomIdGenerator ids_;
};

}  // namespace graniterun::downstream
