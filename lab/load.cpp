#include "load.h"

#include <algorithm>
#include <fstream>

#include "net/runtime.h"

namespace graniterun::lab {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTick = 1ms;
constexpr Duration kAnswerTimeout = 4s;
// A setup sent at most this long before its connection closed is sent again, as the platform's rules allow.
constexpr Duration kResendWindow = 50ms;

std::string id_of(std::size_t number) {
  std::string text(16, '0');
  for (std::size_t i = 0; i < 16; ++i) text[15 - i] = "0123456789abcdef"[number >> (4 * i) & 15];
  return text;
}

}  // namespace

Load::Load(Plan plan) : plan_(std::move(plan)), random_(plan_.seed), next_call_at_(plan_.flows.size()) {}

void Load::run() {
  net::Runtime runtime({}, net::Logger(net::Level::error));
  runtime.run(
      [this](Time now, const net::Event& event, net::Effects& effects) { step(now, event, effects); });
}

void Load::step(Time now, const net::Event& event, net::Effects& effects) {
  std::visit(
      [&](const auto& notice) {
        if constexpr (requires { on(now, notice, effects); }) on(now, notice, effects);
      },
      event);
}

void Load::on(Time now, const net::Started&, net::Effects& out) {
  for (const std::string& address : plan_.servers) out.push_back(net::Listen{net::Concern::server, address});
  for (std::uint32_t i = 0; i < plan_.gatekeepers.size(); ++i)
    out.push_back(net::Connect{{net::Concern::platform, i}, plan_.gatekeepers[i], 2s});
  calls_start_at_ = now + 1500ms;  // time for the gatekeepers to connect to the servers
  for (std::size_t i = 0; i < next_call_at_.size(); ++i)
    next_call_at_[i] = calls_start_at_ + plan_.flows[i].begins;
  out.push_back(net::ArmTimer{{net::Concern::process, 0}, now + kTick});
}

void Load::on(Time, const net::Accepted& event, net::Effects& out) {
  if (event.conn.concern == net::Concern::server)
    out.push_back(net::Send{event.conn,
                            "NOTIFY sip:x@net SIP/2.0\r\nCall-ID: n\r\nP-Load: eps:0;latency_ms:1\r\n"
                            "Content-Length: 0\r\n\r\n"});
}

// A gatekeeper may close a connection without open setups: it is opened again, and setups that were sent
// while it closed are sent again.
void Load::on(Time now, const net::Closed& event, net::Effects& out) {
  if (event.conn.concern != net::Concern::platform) return;
  out.push_back(net::Connect{event.conn, plan_.gatekeepers[event.conn.number], 2s});
  for (auto it = calls_.rbegin(); it != calls_.rend() && now - it->sent < kResendWindow; ++it) {
    if (it->gatekeeper != event.conn.number || it->finals > 0 || std::exchange(it->resent, true)) continue;
    ++resent_;
    out.push_back(net::Send{event.conn, it->line});
  }
}

void Load::place_call(Time now, std::size_t flow, net::Effects& out) {
  const Flow& f = plan_.flows[flow];
  CallRecord call;
  call.flow = flow;
  call.sent = now;
  if (f.weights.empty()) {
    call.gatekeeper = random_() % plan_.gatekeepers.size();
  } else {
    call.gatekeeper = std::discrete_distribution<std::size_t>(f.weights.begin(), f.weights.end())(random_);
  }
  const std::string id = id_of(calls_.size() + 1);
  const std::string number = f.number.empty() ? id_of(random_()) : f.number;
  by_id_.emplace(id, calls_.size());
  ++unanswered_;
  call.line = R"({"type":"setup","id":")" + id + R"(","fields":{"class":"voice","left":"3000","key":")" +
              number + R"(","extras":"dest:)" + std::to_string(random_() % plan_.servers.size()) +
              R"("},"sdp":"o"})" + "\n";
  out.push_back(net::Send{{net::Concern::platform, static_cast<std::uint32_t>(call.gatekeeper)}, call.line});
  calls_.push_back(call);
}

void Load::on(Time now, const net::TimerFired&, net::Effects& out) {
  const Time end = calls_start_at_ + plan_.lasts;
  for (std::size_t i = 0; i < next_call_at_.size(); ++i) {
    const Flow& f = plan_.flows[i];
    while (next_call_at_[i] <= now && next_call_at_[i] < std::min(end, calls_start_at_ + f.ends)) {
      place_call(now, i, out);
      const double gap = std::exponential_distribution<double>(f.per_second)(random_);
      next_call_at_[i] += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
    }
  }
  while (!pending_answers_.empty() && pending_answers_.front().first <= now) {
    out.push_back(std::move(pending_answers_.front().second));
    pending_answers_.pop_front();
  }
  while (!pending_releases_.empty() && pending_releases_.front().release_at <= now) {
    const PendingRelease& release = pending_releases_.front();
    if (release.by_caller) {
      out.push_back(net::Send{
          release.conn, R"({"type":"release","id":")" + release.id + R"(","fields":{},"cause":16})" + "\n"});
    } else {
      out.push_back(net::Send{release.conn,
                              "BYE sip:x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + release.id +
                                  "\r\nCSeq: 1 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"});
    }
    pending_releases_.pop_front();
  }
  if (plan_.tick && now >= calls_start_at_) plan_.tick(now);
  const bool over =
      now >= end && (unanswered_ == 0 || now >= end + kAnswerTimeout) && pending_releases_.empty();
  if (over && exit_at_ == Time{})
    exit_at_ = now + 200ms;  // an answer that still arrives is a second final answer
  if (exit_at_ != Time{} && now >= exit_at_) {
    out.push_back(net::Exit{0});
    return;
  }
  out.push_back(net::ArmTimer{{net::Concern::process, 0}, now + kTick});
}

void Load::on(Time now, const net::Received& event, net::Effects& out) {
  std::size_t used = 0;
  while (used < event.bytes.size()) {
    if (event.conn.concern == net::Concern::platform) {
      const jsonl::ReadResult result = jsonl::read(event.bytes.substr(used));
      if (result.state != jsonl::ReadState::message) break;
      used += result.used;
      handle_caller_message(now, event.conn.number, result.message, out);
    } else {
      const sip::ReadResult result = sip::read_stream(event.bytes.substr(used));
      if (result.state != sip::ReadState::message) break;
      used += result.used;
      handle_server_message(now, event.conn, result.message, out);
    }
  }
  out.push_back(net::Consume{event.conn, used});
}

// Handles a message to a caller.
void Load::handle_caller_message(Time now, std::size_t gatekeeper, const jsonl::Message& message,
                                 net::Effects& out) {
  const auto it = by_id_.find(message.id);
  if (it == by_id_.end()) return;
  CallRecord& call = calls_[it->second];
  const net::ConnId conn{net::Concern::platform, static_cast<std::uint32_t>(gatekeeper)};
  if (message.type == "answer" || (message.type == "release" && !call.stood)) {
    if (++call.finals == 1) {
      call.answered = now;
      --unanswered_;
    }
    call.stood = message.type == "answer";
    call.cause = message.cause.value_or(0);
    call.worded = !message.field("reason").empty();
    if (const std::string_view wait = message.field("wait"); !wait.empty())
      call.wait_ms = std::atoi(std::string(wait).c_str());
    if (call.stood && it->second % 2 == 0)
      pending_releases_.push_back({now + plan_.holds, conn, message.id, true});
    if (call.stood || !plan_.flows[call.flow].redials) return;
    if (random_() % 2 == 0) place_call(now, call.flow, out);
  } else if (message.type == "release") {
    out.push_back(net::Send{conn, R"({"type":"released","id":")" + message.id + R"(","fields":{}})" + "\n"});
  }
}

// Handles a message to a setup server.
void Load::handle_server_message(Time now, net::ConnId conn, const sip::Message& message, net::Effects& out) {
  if (!message.is_request() || message.method == "ACK") return;
  sip::Message answer;
  answer.status = 200;
  answer.phrase = "OK";
  for (const char* name : {"Via", "Call-ID", "CSeq"}) answer.add(name, std::string(message.header(name)));
  Time at = now;
  if (message.method == "INVITE") {
    ++invites_;
    if (plan_.work > Duration{}) {
      busy_until_ = std::max(busy_until_, now) + plan_.work / static_cast<int>(plan_.servers.size());
      at = busy_until_;
    }
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(at - now).count();
    answer.add("P-Load", "eps:0;latency_ms:" + std::to_string(wait + 1));
    answer.body = "answer";
    const auto it = by_id_.find(std::string(message.header("Call-ID")));
    if (it != by_id_.end() && it->second % 2 == 1)
      pending_releases_.push_back({at + plan_.holds, conn, std::string(message.header("Call-ID")), false});
  }
  if (at > now) {
    pending_answers_.emplace_back(at, net::Send{conn, answer.text()});
  } else {
    out.push_back(net::Send{conn, answer.text()});
  }
}

std::uint64_t cpu_ns(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  std::uint64_t ns = 0;
  file >> ns;
  return ns;
}

double percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0.0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

}  // namespace graniterun::lab
