#include "management/management.h"

#include <algorithm>

namespace graniterun::management {
namespace {

using namespace std::chrono_literals;

constexpr Duration kReapInterval = 100ms;
// Time limit for a complete line; then the connection gets an error and is closed.
constexpr Duration kLineTimeout = 2s;
// Maximum connections without a complete line; the rest of the limit is for responses being written.
constexpr std::size_t kMaxWaitingConnections = kMaxConnections / 2;

bool is_printable_ascii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

}  // namespace

void Management::start(Time now, Outbox& out) const {
  if (listen_.empty()) return;
  // Listening is not required: the gatekeeper serves calls even if operators can't connect.
  out.net.push_back(net::Listen{net::Concern::management, listen_, {}, kMaxConnections, false});
  out.arm(net::Concern::management, 0, now + kReapInterval);
}

void Management::on(Time now, const net::Accepted& event, Outbox& out) {
  counters_.add("management.connections");
  waiting_.push_back({event.conn, now});
  if (waiting_.size() <= kMaxWaitingConnections) return;
  counters_.add("management.dropped_for_room");
  out.drop(waiting_.front().conn);
  waiting_.pop_front();
}

void Management::on(Time now, const net::Received& event, Outbox& out) {
  const auto it = std::find_if(waiting_.begin(), waiting_.end(),
                               [&](const Waiting& waiting) { return waiting.conn == event.conn; });
  if (it == waiting_.end()) return;
  const std::size_t end = event.bytes.substr(0, kMaxLineLength).find('\n');
  if (end == std::string_view::npos) {
    if (event.bytes.size() >= kMaxLineLength)
      reply(event.conn, "ERR the line has no end within 256 bytes\n", out);
    return;
  }
  out.net.push_back(net::Consume{event.conn, event.bytes.size()});
  std::string_view line = event.bytes.substr(0, end);
  if (line.ends_with('\r')) line.remove_suffix(1);
  counters_.add("management.calls");
  if (!is_printable_ascii(line)) return reply(event.conn, "ERR the line is not plain text\n", out);
  const auto request = requests_.find(line);
  if (request == requests_.end()) {
    std::string known;
    for (const auto& [name, respond] : requests_) known += (known.empty() ? "" : ", ") + name;
    return reply(event.conn, "ERR unknown call; there are: " + known + "\n", out);
  }
  reply(event.conn, request->second(now), out);
}

void Management::on(Time, const net::Closed& event, Outbox&) { forget(event.conn); }

void Management::on(Time now, const net::TimerFired&, Outbox& out) {
  out.arm(net::Concern::management, 0, now + kReapInterval);
  while (!waiting_.empty() && now - waiting_.front().accepted_at > kLineTimeout) {
    counters_.add("management.closed_silent");
    reply(waiting_.front().conn, "ERR no whole line came within 2 s\n", out);
  }
}

void Management::reply(net::ConnId conn, std::string text, Outbox& out) {
  if (text.starts_with("ERR")) counters_.add("management.errors");
  forget(conn);
  out.send(conn, std::move(text));
  out.close(conn);
}

void Management::forget(net::ConnId conn) {
  std::erase_if(waiting_, [conn](const Waiting& waiting) { return waiting.conn == conn; });
}

}  // namespace graniterun::management
