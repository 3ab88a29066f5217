// The load-control event package (RFC 7200) on the SIP front end, over SIP events (RFC 6665). As notifier it
// sends the active call gaps to the SIP neighbours that subscribe, so that they reject such calls at the
// source. As subscriber it subscribes at the configured neighbours and announces the rules of their documents
// as gaps of this gatekeeper, for no longer than the subscription lasts. Inputs: SUBSCRIBE, NOTIFY, responses
// and ticks; output: SIP requests and gap announcements. It accepts at most kMaxSubscriptions; each one
// expires.
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

// Access to the gap register: its gaps, a digest that changes with them, and announcements to it.
struct GapSource {
  std::function<std::vector<call_gapping::GapState>(Time)> gaps{};
  std::function<std::uint64_t()> digest{};
  std::function<void(Time, const call_gapping::Announcement&, Outbox&)> announce{};
};

struct LoadControlSettings {
  std::optional<std::string> udp{};  // local addresses, host:port
  std::optional<std::string> tcp{};
  std::vector<std::string> neighbours{};  // SIP servers to subscribe at, address:port
  std::uint64_t seed{};
};

class LoadControl {
 public:
  static constexpr std::size_t kMaxSubscriptions = 64;

  LoadControl(LoadControlSettings settings, sip::Transactions& transactions, Counters& counters);

  void set_gap_source(GapSource source) { source_ = std::move(source); }
  // Handles a SUBSCRIBE or NOTIFY whose server transaction `key` has no response yet.
  void handle_subscribe(Time now, const std::string& key, const sip::Flow& flow, const sip::Message& message,
                        Outbox& out);
  void handle_notify(Time now, const std::string& key, const sip::Message& message, Outbox& out);
  // Handles a response to a SUBSCRIBE or NOTIFY sent from here; other transactions are ignored.
  void handle_response(Time now, const std::string& transaction, const sip::Message& message, Outbox& out);
  // Handles the timeout of such a request (timer F).
  void handle_request_timeout(Time now, const std::string& transaction);
  // Expires subscriptions, sends NOTIFYs after a change of the gaps, and refreshes own subscriptions.
  void start(Time now);  // before the first request or response
  void tick(Time now, Outbox& out);

 private:
  struct Dialog {
    std::string call_id{};
    std::string local{};   // From of requests sent from here
    std::string remote{};  // To of requests sent from here
    std::string target{};
    std::vector<std::string> routes{};
    std::uint32_t cseq = 0;
    std::uint32_t remote_cseq = 0;
    sip::Flow flow{};
  };
  struct Subscription {  // accepted from a neighbour
    Dialog dialog{};
    Time expires_at{};
    std::uint32_t version = 0;
    std::uint64_t notified_digest = 0;  // digest of the gap register in the last NOTIFY
  };
  struct Neighbour {  // a configured neighbour and the subscription at it
    std::string address{};
    Dialog dialog{};
    std::string transaction{};
    Time next_subscribe_at{};                                // new subscription or refresh
    std::optional<Time> expires_at{};                        // none: not subscribed
    bool version_reset = false;                              // new subscription: any version is accepted
    std::optional<control::LoadControlDocument> document{};  // last accepted
    std::set<std::string> gap_ids{};                         // gaps announced from `document`
  };

  void respond(Time now, const std::string& key, int status, Outbox& out, const char* header = nullptr,
               const std::string& value = {});
  void reject(const std::string& key, int status, Outbox& out, const char* header = nullptr,
              const std::string& value = {});
  void accept(Time now, const std::string& key, const sip::Message& message, const Dialog& dialog,
              Duration lifetime, Outbox& out);
  void send_notify(Time now, Subscription& subscription, const std::string& state, Outbox& out);
  void send_subscribe(Time now, Neighbour& neighbour, Outbox& out);
  void announce_gaps(Time now, Neighbour& neighbour, Outbox& out);
  sip::Message make_request(const Dialog& dialog, const std::string& method);
  std::string contact(bool reliable) const;

  LoadControlSettings settings_;
  sip::Transactions& transactions_;
  Counters& counters_;
  RateLimitedWarning malformed_warning_;
  GapSource source_{};
  std::map<std::string, Subscription> subscriptions_;  // by Call-ID and both tags
  std::map<std::string, std::string> by_transaction_;  // dialog key by open NOTIFY
  std::vector<Neighbour> neighbours_;
  RandomIdGenerator ids_;
};

}  // namespace graniterun::downstream
