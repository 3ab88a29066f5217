#include "upstream/server_messages.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "codec/number.h"
#include "core/q850.h"
#include "wire.h"

namespace graniterun::upstream {
namespace {

using namespace std::chrono_literals;

// Upper bound on a reported wait; no caller waits longer, so a larger value is ignored.
constexpr std::chrono::milliseconds kMaxRetryAfter = 60s;

FullReason parse_full_reason(std::string_view warning_word) {
  if (warning_word == "all_trunks_busy") return FullReason::no_circuit;
  if (warning_word == "via_said_no" || warning_word == "far_cpu_full") return FullReason::returned;
  if (warning_word == "cpu_full") return FullReason::processor;
  if (warning_word == "number_busy") return FullReason::number_busy;
  return FullReason::none;
}

// Number of continuation bytes after the lead byte of a UTF-8 character (RFC 3629); none for an invalid lead
// byte.
std::optional<std::size_t> utf8_continuation_bytes(unsigned char lead) {
  if (lead < 0x80) return 0;
  if (lead < 0xc2 || lead > 0xf4) return std::nullopt;  // continuation byte, overlong form or beyond U+10FFFF
  return lead < 0xe0 ? 1 : lead < 0xf0 ? 2 : 3;
}

// Whether the first two bytes encode an overlong form, a surrogate or a character beyond U+10FFFF.
bool is_forbidden_utf8_pair(unsigned char lead, unsigned char second) {
  return (lead == 0xe0 && second < 0xa0) || (lead == 0xed && second > 0x9f) ||
         (lead == 0xf0 && second < 0x90) || (lead == 0xf4 && second > 0x8f);
}

bool is_utf8(std::string_view text) {
  const auto byte_at = [text](std::size_t at) { return static_cast<unsigned char>(text[at]); };
  for (std::size_t at = 0; at < text.size();) {
    const unsigned char lead = byte_at(at);
    const auto continuation_bytes = utf8_continuation_bytes(lead);
    if (!continuation_bytes || at + *continuation_bytes >= text.size()) return false;
    for (std::size_t i = 1; i <= *continuation_bytes; ++i) {
      if (byte_at(at + i) >> 6 != 2) return false;
    }
    if (*continuation_bytes > 0 && is_forbidden_utf8_pair(lead, byte_at(at + 1))) return false;
    at += *continuation_bytes + 1;
  }
  return true;
}

}  // namespace

MessageKind kind_of(const sip::Message& message) {
  if (message.is_request()) {
    if (message.method == "NOTIFY") return MessageKind::notification;
    return message.method == "BYE" ? MessageKind::release : MessageKind::other;
  }
  const auto cseq = sip::cseq_of(message);
  if (!cseq || message.status < 200) return MessageKind::other;
  const bool success = message.status < 300;
  if (cseq->method == "INVITE") return success ? MessageKind::success : MessageKind::rejection;
  return cseq->method == "OPTIONS" && success ? MessageKind::load_report : MessageKind::other;
}

bool shows_calls(MessageKind kind) {
  return kind == MessageKind::notification || kind == MessageKind::release;
}

std::string_view to_string(MessageKind kind) {
  switch (kind) {
    case MessageKind::notification:
      return "notification";
    case MessageKind::release:
      return "release";
    case MessageKind::success:
      return "success";
    case MessageKind::load_report:
      return "load_report";
    case MessageKind::rejection:
      return "rejection";
    case MessageKind::other:
      return "other";
  }
  return "unknown";
}

sip::Message make_request(std::string_view method, const std::string& number,
                          const std::string& correlation_id, int cseq, std::string_view cseq_method) {
  sip::Message message;
  message.method = method;
  message.uri = "sip:" + number + "@net";
  message.add("Via", "SIP/2.0/TCP graniterun");
  message.add("Call-ID", correlation_id);
  message.add("CSeq", std::to_string(cseq) + " " + std::string(cseq_method.empty() ? method : cseq_method));
  return message;
}

Outcome outcome_of_rejection(int status) {
  switch (status) {
    case 503:
      return Outcome::full;
    case 480:
      return Outcome::not_sent;
    case 504:
      return Outcome::reset;
    case kRequestTerminated:
      return Outcome::cancelled;
    default:
      return Outcome::busy_or_fault;
  }
}

int parse_q850_cause(std::string_view reason) {
  const std::string_view text = sip::parameter(reason, "cause");
  int cause = kCauseNormalClearing;
  std::from_chars(text.data(), text.data() + text.size(), cause);
  return cause;
}

bool is_forwardable_description(std::string_view description) {
  return is_utf8(description) && description.find("SIP/2.0\r\n") == std::string_view::npos;
}

std::optional<Duration> parse_retry_after(const sip::Message& message) {
  const auto ms = number_in<std::uint32_t>(message.header("P-Wait"));
  if (!ms || *ms > kMaxRetryAfter.count()) return {};
  return std::chrono::milliseconds(*ms);
}

void read_rejection(const sip::Message& message, core::AttemptFinished& finished) {
  finished.reason = parse_full_reason(message.header("Warning-Word"));
  if (finished.outcome == Outcome::full) finished.retry_after = parse_retry_after(message);
}

LoadReport parse_load_report(const sip::Message& message) {
  LoadReport report;
  std::string_view rest = message.header("P-Load");
  while (!rest.empty()) {
    const std::string_view entry = rest.substr(0, rest.find(';'));
    rest.remove_prefix(std::min(rest.size(), entry.size() + 1));
    const std::size_t colon = entry.find(':');
    if (colon == std::string_view::npos) continue;
    const auto value = number_in<double>(sip::trim(entry.substr(colon + 1)));
    // Skips values that are not numbers or out of range, since a value would be converted to a time.
    const bool valid = value && std::isfinite(*value) && std::abs(*value) <= 1e7;
    if (valid) wire::set_report_value(report, sip::trim(entry.substr(0, colon)), *value);
  }
  return report;
}

}  // namespace graniterun::upstream
