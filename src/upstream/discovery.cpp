#include "upstream/discovery.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "codec/bounded_json.h"

namespace graniterun::upstream {
namespace {

using namespace std::chrono_literals;

constexpr Duration kConnectTimeout = 1s;
constexpr Duration kReconnectDelay = 200ms;
// Time without a byte until the connection counts as half-open; the journal service sends a comment every
// second. By the operators' rule, events that an unreachable service could not deliver count as received
// after 4 s. This timeout, the check interval and the connect timeout add up to 3.45 s at most.
constexpr Duration kReceiveTimeout = 2200ms;
// Maximum time from the first to the last byte of a response head or event. The receive timeout does not
// cover this, since comments may go on inside an event that never ends.
constexpr Duration kMessageTimeout = 2s;
constexpr Duration kTimeoutCheckInterval = 250ms;
// Timer numbers of the discovery concern.
constexpr std::uint64_t kReconnectTimer = 0;
constexpr std::uint64_t kTimeoutCheckTimer = 1;

}  // namespace

void DiscoveryClient::start(Time now, Outbox& out) {
  if (address_.empty()) return;
  connect(out);
  if (!std::exchange(timer_armed_, true))
    out.arm(net::Concern::discovery, kTimeoutCheckTimer, now + kTimeoutCheckInterval);
}

void DiscoveryClient::change_address(Time now, const std::string& address, Outbox& out) {
  if (address == address_) return;
  out.log(net::Level::info, "new journal service address " + address + " takes effect");
  counters_.add("journal.moves");
  if (connection_number_ > 0) out.close({net::Concern::discovery, connection_number_});
  address_ = address;
  ++connection_number_;  // further events of the old connection are ignored
  connected_ = reconnect_pending_ = false;
  start(now, out);
}

void DiscoveryClient::connect(Outbox& out) {
  head_.reset();
  body_.reset();
  event_buffer_.clear();
  partial_since_.reset();
  connected_ = reconnect_pending_ = false;
  out.net.push_back(net::Connect{{net::Concern::discovery, ++connection_number_}, address_, kConnectTimeout});
}

void DiscoveryClient::schedule_reconnect(Time now, Outbox& out) {
  counters_.add("journal.reconnects");
  connected_ = false;
  reconnect_pending_ = true;
  out.arm(net::Concern::discovery, kReconnectTimer, now + kReconnectDelay);
}

void DiscoveryClient::drop_connection(Time now, Outbox& out) {
  out.close({net::Concern::discovery, connection_number_});
  schedule_reconnect(now, out);
}

void DiscoveryClient::on(Time now, const net::Connected& event, Outbox& out) {
  if (event.conn.number != connection_number_)
    return out.close(event.conn);  // a connect to the former address
  connected_ = true;
  last_received_at_ = now;
  std::string request = "GET /journal HTTP/1.1\r\nHost: " + address_ + "\r\nAccept: text/event-stream\r\n";
  request += "Last-Event-ID: " + std::to_string(position_) + "\r\n\r\n";
  out.send(event.conn, std::move(request));
}

void DiscoveryClient::on(Time now, const net::ConnectFailed& event, Outbox& out) {
  if (event.conn.number == connection_number_) schedule_reconnect(now, out);
}

void DiscoveryClient::on(Time now, const net::Closed& event, Outbox& out) {
  if (connected_ && event.conn.number == connection_number_) schedule_reconnect(now, out);
}

void DiscoveryClient::on(Time now, const net::TimerFired& event, Outbox& out) {
  if (event.key.number == kReconnectTimer) {
    if (reconnect_pending_) connect(out);
    return;
  }
  if (connected_ && now - last_received_at_ > kReceiveTimeout) {  // a network partition closes no connection
    reopen_watch("no data received within the timeout", out);
  } else if (connected_ && partial_since_ && now - *partial_since_ > kMessageTimeout) {
    reopen_watch("response head or event not completed within the timeout", out);
  }
  out.arm(net::Concern::discovery, kTimeoutCheckTimer, now + kTimeoutCheckInterval);
}

void DiscoveryClient::reopen_watch(std::string_view reason, Outbox& out) {
  out.log(net::Level::warning, "journal service: " + std::string(reason) + ", reconnecting");
  counters_.add("journal.reconnects");
  out.close({net::Concern::discovery, connection_number_});
  connect(out);
}

void DiscoveryClient::on(Time now, const net::Received& event, Outbox& out) {
  if (!connected_ || event.conn.number != connection_number_) return;
  last_received_at_ = now;
  std::size_t used = 0;
  if (!head_) {
    http::Head head;
    const http::HeadState state = http::read_head(event.bytes, head);
    if (state == http::HeadState::more) {
      if (!partial_since_) partial_since_ = now;
      return;
    }
    if (state == http::HeadState::malformed || head.status != 200) {
      counters_.add("journal.malformed");
      out.log(net::Level::warning, "unusable response from the journal service");
      drop_connection(now, out);
      return;
    }
    head_ = head;
    body_.emplace(head);
    used = head.size;
  }
  const auto consumed = body_->take(event.bytes.substr(used), event_buffer_);
  if (!consumed || event_buffer_.size() > http::kEventBound) {
    counters_.add("journal.malformed");
    drop_connection(now, out);
    return;
  }
  out.net.push_back(net::Consume{event.conn, used + *consumed});
  bool any_event = false;
  while (const auto sse_event = http::take_event(event_buffer_)) {
    any_event = true;
    if (!handle_event(*sse_event, out)) return drop_connection(now, out);
  }
  const bool partial = !event_buffer_.empty() || used + *consumed < event.bytes.size();
  if (!partial || any_event) partial_since_.reset();
  if (partial && !partial_since_) partial_since_ = now;
  if (body_->done()) drop_connection(now, out);
}

// Returns false if the event is malformed and must be requested once more. An event that is malformed twice
// was sent so by the service and is skipped, since otherwise no later event would ever be processed.
bool DiscoveryClient::handle_event(const http::ServerSentEvent& event, Outbox& out) {
  std::uint64_t position = 0;
  std::from_chars(event.id.data(), event.id.data() + event.id.size(), position);
  if (position != 0 && position <= position_) return true;  // already processed
  counters_.add("journal.events");
  try {
    if (!event.data.empty()) {  // an event without data only reports the position
      const nlohmann::json data = parse_bounded_json(event.data).value;
      if (!data.is_object()) throw ConfigError("journal event is not a JSON object");
      if (data.contains("hosts")) updates_.push_back(read_endpoints(data["hosts"]));
    }
  } catch (const ConfigError& error) {
    counters_.add("journal.malformed");
    out.log(net::Level::warning, error.what());
    if (retried_position_ != position_) {
      retried_position_ = position_;
      return false;
    }
    counters_.add("journal.events_passed_over");
  }
  if (position != 0) position_ = position;
  return true;
}

}  // namespace graniterun::upstream
