#include "sip/transport.h"

#include <algorithm>
#include <cctype>

namespace graniterun::sip {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxWaitingMessages = 64;  // per connection that is being established
// Set in the numbers of connections opened from here, so that they differ from those of accepted ones.
constexpr std::uint32_t kOutgoingBit = 1U << 31;

}  // namespace

std::string address_in(std::string_view host) {
  const std::string_view name = host.substr(0, host.rfind(':'));
  const bool numeric = !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
    return std::isdigit(c) || c == '.';
  });
  if (!numeric) return {};
  return host.find(':') == std::string_view::npos ? std::string(host) + ":5060" : std::string(host);
}

void Transport::connected(std::uint32_t conn, Outbox& out, const Refresh& refresh) {
  open_.insert(conn);
  for (auto& [peer, outgoing] : outgoing_) {
    if (outgoing.conn != conn) continue;
    outgoing.connected = true;
    for (OutgoingConnection::Message& message : std::exchange(outgoing.waiting, {})) {
      if (refresh && message.ticket != 0) message.text = refresh(message.ticket, std::move(message.text));
      out.send_counted({concern_, conn}, std::move(message.text), message.ticket);
    }
  }
}

std::string Transport::connect_failed(std::uint32_t conn) {
  for (auto it = outgoing_.begin(); it != outgoing_.end(); ++it) {
    if (it->second.conn != conn) continue;
    counters_.add("sip.connects_failed");
    std::string peer = it->first;
    outgoing_.erase(it);
    return peer;
  }
  return {};
}

std::string Transport::closed(std::uint32_t conn) {
  open_.erase(conn);
  partial_.erase(conn);
  std::string peer;
  for (const auto& [address, outgoing] : outgoing_) {
    if (outgoing.conn == conn) peer = address;
  }
  outgoing_.erase(peer);
  return peer;
}

void Transport::close(std::uint32_t conn, Outbox& out) {
  out.close({concern_, conn});
  closed(conn);
}

std::vector<Incoming> Transport::received(const net::Received& event, Outbox& out) {
  std::vector<Incoming> messages;
  const auto partial = partial_.find(event.conn.number);
  if (partial != partial_.end() && event.bytes.size() < partial->second) return messages;
  std::size_t used = 0;
  std::size_t needed = 0;
  while (used < event.bytes.size()) {
    Incoming incoming;
    incoming.flow = {true, event.conn.number, {}};
    incoming.read = read_stream(event.bytes.substr(used));
    used += incoming.read.used;
    needed = incoming.read.needed;
    if (incoming.read.state == ReadState::more) break;
    const bool unrecoverable = incoming.read.unrecoverable;
    messages.push_back(std::move(incoming));
    if (unrecoverable) return messages;  // the caller closes the connection
  }
  if (used < event.bytes.size()) {
    partial_[event.conn.number] = needed;
  } else {
    partial_.erase(event.conn.number);
  }
  out.net.push_back(net::Consume{event.conn, used});
  return messages;
}

Incoming Transport::datagram(const net::Datagram& datagram) const {
  return {{false, 0, std::string(datagram.peer)}, read_datagram(datagram.bytes)};
}

void Transport::send(const Flow& flow, std::string text, Outbox& out, std::uint64_t ticket) {
  counters_.add("sip.messages_out");
  if (!flow.reliable) {
    out.net.push_back(net::SendDatagram{concern_, flow.peer, std::move(text)});
    return;
  }
  if (open_.contains(flow.conn)) return out.send({concern_, flow.conn}, std::move(text));
  if (flow.peer.empty()) {
    counters_.add("sip.messages_without_a_way");
    return;
  }
  auto [it, inserted] = outgoing_.try_emplace(flow.peer);
  OutgoingConnection& outgoing = it->second;
  if (inserted) {
    outgoing.conn = kOutgoingBit | ++last_outgoing_;
    out.net.push_back(net::Connect{{concern_, outgoing.conn}, flow.peer, kConnectTimeout});
  }
  if (outgoing.connected) return out.send_counted({concern_, outgoing.conn}, std::move(text), ticket);
  if (outgoing.waiting.size() < kMaxWaitingMessages) outgoing.waiting.push_back({std::move(text), ticket});
}

bool Transport::withdraw(const Flow& flow, std::uint64_t ticket, Outbox& out) {
  const auto it = outgoing_.find(flow.peer);
  if (it == outgoing_.end()) return false;
  OutgoingConnection& outgoing = it->second;
  if (!outgoing.connected)
    return std::erase_if(outgoing.waiting,
                         [ticket](const auto& message) { return message.ticket == ticket; }) > 0;
  out.withdraw_send({concern_, outgoing.conn}, ticket, {});
  return false;
}

}  // namespace graniterun::sip
