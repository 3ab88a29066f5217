#include "upstream/discovery.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace graniterun::upstream {
namespace {

using namespace std::chrono_literals;

constexpr Duration kConnectTimeout = 1s;
constexpr Duration kPause = 200ms;  // before connecting again
// A comment comes every second: after so long the connection is dead. What a service that stopped would have
// told counts as told after 4 s; with the look and the time to connect this takes 3.45 s at most.
constexpr Duration kSilenceTimeout = 2200ms;
// What has begun is whole within so long: comments may go on inside an event that never ends.
constexpr Duration kMessageTimeout = 2s;
constexpr Duration kReapInterval = 250ms;
// Timers of this concern.
constexpr std::uint64_t kReconnectTimer = 0;
constexpr std::uint64_t kWatchTimer = 1;

}  // namespace

void DiscoveryClient::start(Time now, Outbox& out) {
  if (address_.empty()) return;
  connect(out);
  if (!std::exchange(timer_armed_, true)) out.arm(net::Concern::discovery, kWatchTimer, now + kReapInterval);
}

void DiscoveryClient::change_address(Time now, const std::string& address, Outbox& out) {
  if (address == address_) return;
  out.log(net::Level::info, "the journal service is at " + address + " now");
  counters_.add("journal.moves");
  if (connections_ > 0) out.close({net::Concern::discovery, connections_});
  address_ = address;
  ++connections_;  // what the old connection may still tell is not heard
  open_ = waiting_ = false;
  start(now, out);
}

void DiscoveryClient::connect(Outbox& out) {
  head_.reset();
  body_.reset();
  text_.clear();
  partial_since_.reset();
  open_ = waiting_ = false;
  out.net.push_back(net::Connect{{net::Concern::discovery, ++connections_}, address_, kConnectTimeout});
}

void DiscoveryClient::schedule_reconnect(Time now, Outbox& out) {
  counters_.add("journal.reconnects");
  open_ = false;
  waiting_ = true;
  out.arm(net::Concern::discovery, kReconnectTimer, now + kPause);
}

void DiscoveryClient::drop_connection(Time now, Outbox& out) {
  out.close({net::Concern::discovery, connections_});
  schedule_reconnect(now, out);
}

void DiscoveryClient::on(Time now, const net::Connected& e, Outbox& out) {
  if (e.conn.number != connections_) return out.close(e.conn);  // to where the service was before
  open_ = true;
  last_received_at_ = now;
  std::string request = "GET /journal HTTP/1.1\r\nHost: " + address_ + "\r\nAccept: text/event-stream\r\n";
  request += "Last-Event-ID: " + std::to_string(position_) + "\r\n\r\n";
  out.send(e.conn, std::move(request));
}

void DiscoveryClient::on(Time now, const net::ConnectFailed& e, Outbox& out) {
  if (e.conn.number == connections_) schedule_reconnect(now, out);
}

void DiscoveryClient::on(Time now, const net::Closed& e, Outbox& out) {
  if (open_ && e.conn.number == connections_) schedule_reconnect(now, out);
}

void DiscoveryClient::on(Time now, const net::TimerFired& e, Outbox& out) {
  if (e.key.number == kReconnectTimer) {
    if (waiting_) connect(out);
    return;
  }
  if (open_ && now - last_received_at_ > kSilenceTimeout) {  // a cut network gives no sign
    reopen_watch("is silent", out);
  } else if (open_ && partial_since_ && now - *partial_since_ > kMessageTimeout) {
    reopen_watch("does not end what it began", out);
  }
  out.arm(net::Concern::discovery, kWatchTimer, now + kReapInterval);
}

void DiscoveryClient::reopen_watch(std::string_view why, Outbox& out) {
  out.log(net::Level::warning, "the journal service " + std::string(why) + ": connecting again");
  counters_.add("journal.reconnects");
  out.close({net::Concern::discovery, connections_});
  connect(out);
}

void DiscoveryClient::on(Time now, const net::Received& e, Outbox& out) {
  if (!open_ || e.conn.number != connections_) return;
  last_received_at_ = now;
  std::size_t used = 0;
  if (!head_) {
    http::Head head;
    const http::HeadState state = http::read_head(e.bytes, head);
    if (state == http::HeadState::more) {
      if (!partial_since_) partial_since_ = now;
      return;
    }
    if (state == http::HeadState::malformed || head.status != 200) {
      counters_.add("journal.malformed");
      out.log(net::Level::warning, "the journal service answers what can't be used");
      drop_connection(now, out);
      return;
    }
    head_ = head;
    body_.emplace(head);
    used = head.size;
  }
  const auto taken = body_->take(e.bytes.substr(used), text_);
  if (!taken || text_.size() > http::kEventBound) {
    counters_.add("journal.malformed");
    drop_connection(now, out);
    return;
  }
  out.net.push_back(net::Consume{e.conn, used + *taken});
  bool any = false;
  while (const auto event = http::take_event(text_)) {
    any = true;
    if (!handle_event(*event, out)) return drop_connection(now, out);
  }
  const bool half = !text_.empty() || used + *taken < e.bytes.size();
  if (!half || any) partial_since_.reset();
  if (half && !partial_since_) partial_since_ = now;
  if (body_->done()) drop_connection(now, out);
}

// False: it can't be read, and is to be asked for again. What is spoilt twice is the service's own word: it
// is passed over, or nothing after it would ever be heard.
bool DiscoveryClient::handle_event(const http::ServerSentEvent& event, Outbox& out) {
  std::uint64_t position = 0;
  std::from_chars(event.id.data(), event.id.data() + event.id.size(), position);
  if (position != 0 && position <= position_) return true;  // told before
  counters_.add("journal.events");
  try {
    if (!event.data.empty()) {  // else it tells only how far the service is
      const auto data = nlohmann::json::parse(event.data, nullptr, false);
      if (!data.is_object()) throw ConfigError("an event of the journal is no JSON object");
      if (data.contains("hosts")) updates_.push_back(read_endpoints(data["hosts"]));
    }
  } catch (const ConfigError& trouble) {
    counters_.add("journal.malformed");
    out.log(net::Level::warning, trouble.what());
    if (retried_after_ != position_) {
      retried_after_ = position_;
      return false;
    }
    counters_.add("journal.events_passed_over");
  }
  if (position != 0) position_ = position;
  return true;
}

}  // namespace graniterun::upstream
