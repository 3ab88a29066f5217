#include "sip/transport.h"

#include <algorithm>
#include <cctype>

namespace graniterun::sip {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxWaitingMessages = 64;  // messages for a connection that is being made
// Connections made from here are numbered apart from those accepted.
constexpr std::uint32_t kDialled = 1U << 31;

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
  for (auto& [peer, dialled] : dialled_) {
    if (dialled.conn != conn) continue;
    dialled.up = true;
    for (Dialled::Message& message : std::exchange(dialled.waiting, {})) {
      if (refresh && message.ticket != 0) message.text = refresh(message.ticket, std::move(message.text));
      out.send_counted({concern_, conn}, std::move(message.text), message.ticket);
    }
  }
}

std::string Transport::connect_failed(std::uint32_t conn) {
  for (auto it = dialled_.begin(); it != dialled_.end(); ++it) {
    if (it->second.conn != conn) continue;
    counters_.add("sip.connects_failed");
    std::string peer = it->first;
    dialled_.erase(it);
    return peer;
  }
  return {};
}

std::string Transport::closed(std::uint32_t conn) {
  open_.erase(conn);
  half_.erase(conn);
  std::string peer;
  for (const auto& [address, dialled] : dialled_) {
    if (dialled.conn == conn) peer = address;
  }
  dialled_.erase(peer);
  return peer;
}

void Transport::close(std::uint32_t conn, Outbox& out) {
  out.close({concern_, conn});
  closed(conn);
}

std::vector<Incoming> Transport::received(const net::Received& event, Outbox& out) {
  std::vector<Incoming> messages;
  std::size_t used = 0;
  while (used < event.bytes.size()) {
    Incoming incoming;
    incoming.flow = {true, event.conn.number, {}};
    incoming.read = read_stream(event.bytes.substr(used));
    used += incoming.read.used;
    if (incoming.read.state == ReadState::more) break;
    const bool lost = incoming.read.unrecoverable;
    messages.push_back(std::move(incoming));
    if (lost) return messages;  // the reader of the messages closes the connection
  }
  if (used < event.bytes.size()) {
    half_.insert(event.conn.number);
  } else {
    half_.erase(event.conn.number);
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
  auto [it, fresh] = dialled_.try_emplace(flow.peer);
  Dialled& dialled = it->second;
  if (fresh) {
    dialled.conn = kDialled | ++last_dialled_;
    out.net.push_back(net::Connect{{concern_, dialled.conn}, flow.peer, kConnectTimeout});
  }
  if (dialled.up) return out.send_counted({concern_, dialled.conn}, std::move(text), ticket);
  if (dialled.waiting.size() < kMaxWaitingMessages) dialled.waiting.push_back({std::move(text), ticket});
}

bool Transport::withdraw(const Flow& flow, std::uint64_t ticket, Outbox& out) {
  const auto it = dialled_.find(flow.peer);
  if (it == dialled_.end()) return false;
  Dialled& dialled = it->second;
  if (!dialled.up)
    return std::erase_if(dialled.waiting, [ticket](const auto& m) { return m.ticket == ticket; }) > 0;
  out.withdraw_send({concern_, dialled.conn}, ticket, {});
  return false;
}

}  // namespace graniterun::sip
