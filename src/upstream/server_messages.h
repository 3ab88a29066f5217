// SIP messages to and from the platform's setup servers: requests are made, and headers and bodies read. The
// header parsers are shared with SipTrunk. Source: the platform's protocol, on RFC 3261.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "codec/sip.h"
#include "core/broker.h"

namespace graniterun::upstream {

// The response to an INVITE that was cancelled (RFC 3261 §21.4.25).
constexpr int kRequestTerminated = 487;

// A message from a setup server, by what it tells about the server.
enum class MessageKind : std::uint8_t {
  notification,  // NOTIFY
  release,       // BYE
  success,       // 2xx to an INVITE
  load_report,   // 2xx to an OPTIONS
  rejection,     // 300 to 699 to an INVITE
  other
};
MessageKind kind_of(const sip::Message& message);
std::string_view to_string(MessageKind kind);
// Whether only a process that serves its calls sends it. Any response may come from what is left of one,
// which finishes the setups that it has.
bool shows_calls(MessageKind kind);

// A request of a call. The CSeq method is that of the request if `cseq_method` is empty.
sip::Message make_request(std::string_view method, const std::string& number,
                          const std::string& correlation_id, int cseq, std::string_view cseq_method = {});
// The outcome of an attempt by the status of its final rejection, 300 to 699.
Outcome outcome_of_rejection(int status);
// Whether a session description can be forwarded unchanged: valid UTF-8, and without the start line of a
// following message, which a wrong Content-Length makes part of the body.
bool is_forwardable_description(std::string_view description);
LoadReport parse_load_report(const sip::Message& message);  // P-Load
// The Q.850 cause of a Reason header value; 16 (normal clearing) where it has none.
int parse_q850_cause(std::string_view reason);
// P-Wait: the wait in whole milliseconds that a server with a full processor reports, at most one minute;
// none where it is missing, malformed or longer.
std::optional<Duration> parse_retry_after(const sip::Message& message);
// Sets the rejection's reason (Warning-Word) and, if the outcome is `full`, its retry-after.
void read_rejection(const sip::Message& message, core::AttemptFinished& finished);

}  // namespace graniterun::upstream
