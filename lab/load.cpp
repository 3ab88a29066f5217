#include "load.h"

#include <algorithm>
#include <fstream>

#include "net/runtime.h"

namespace graniterun::lab {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTick = 1ms;
constexpr Duration kAnswersWithin = 4s;
// A set-up that crosses a close within so long is sent once more, as the platform has it.
constexpr Duration kCrossing = 50ms;

std::string id_of(std::size_t number) {
  std::string text(16, '0');
  for (std::size_t i = 0; i < 16; ++i) text[15 - i] = "0123456789abcdef"[number >> (4 * i) & 15];
  return text;
}

}  // namespace

Load::Load(Plan plan) : plan_(std::move(plan)), random_(plan_.seed), next_(plan_.flows.size()) {}

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
  started_ = now + 1500ms;  // gatekeepers connect to the servers first
  for (std::size_t i = 0; i < next_.size(); ++i) next_[i] = started_ + plan_.flows[i].begins;
  out.push_back(net::ArmTimer{{net::Concern::process, 0}, now + kTick});
}

void Load::on(Time, const net::Accepted& event, net::Effects& out) {
  if (event.conn.concern == net::Concern::server)
    out.push_back(net::Send{event.conn,
                            "NOTIFY sip:x@net SIP/2.0\r\nCall-ID: n\r\nP-Load: eps:0;latency_ms:1\r\n"
                            "Content-Length: 0\r\n\r\n"});
}

// A gatekeeper may close a connection on which no set-up is open.
void Load::on(Time now, const net::Closed& event, net::Effects& out) {
  if (event.conn.concern != net::Concern::platform) return;
  out.push_back(net::Connect{event.conn, plan_.gatekeepers[event.conn.number], 2s});
  for (auto it = calls_.rbegin(); it != calls_.rend() && now - it->sent < kCrossing; ++it) {
    if (it->gatekeeper != event.conn.number || it->finals > 0 || std::exchange(it->resent, true)) continue;
    ++resent_;
    out.push_back(net::Send{event.conn, it->line});
  }
}

void Load::place(Time now, std::size_t flow, net::Effects& out) {
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
  ++open_;
  call.line = R"({"type":"setup","id":")" + id + R"(","fields":{"class":"voice","left":"3000","key":")" +
              number + R"(","extras":"dest:)" + std::to_string(random_() % plan_.servers.size()) +
              R"("},"sdp":"o"})" + "\n";
  out.push_back(net::Send{{net::Concern::platform, static_cast<std::uint32_t>(call.gatekeeper)}, call.line});
  calls_.push_back(call);
}

void Load::on(Time now, const net::TimerFired&, net::Effects& out) {
  const Time end = started_ + plan_.lasts;
  for (std::size_t i = 0; i < next_.size(); ++i) {
    const Flow& f = plan_.flows[i];
    while (next_[i] <= now && next_[i] < std::min(end, started_ + f.ends)) {
      place(now, i, out);
      const double gap = std::exponential_distribution<double>(f.per_second)(random_);
      next_[i] += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
    }
  }
  while (!at_work_.empty() && at_work_.front().first <= now) {
    out.push_back(std::move(at_work_.front().second));
    at_work_.pop_front();
  }
  while (!holds_.empty() && holds_.front().until <= now) {
    const Hold& h = holds_.front();
    if (h.by_caller) {
      out.push_back(
          net::Send{h.conn, R"({"type":"release","id":")" + h.id + R"(","fields":{},"cause":16})" + "\n"});
    } else {
      out.push_back(
          net::Send{h.conn, "BYE sip:x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + h.id +
                                "\r\nCSeq: 1 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"});
    }
    holds_.pop_front();
  }
  if (plan_.tick && now >= started_) plan_.tick(now);
  const bool over = now >= end && (open_ == 0 || now >= end + kAnswersWithin) && holds_.empty();
  if (over && ended_ == Time{}) ended_ = now + 200ms;  // what still comes would be a second answer
  if (ended_ != Time{} && now >= ended_) {
    out.push_back(net::Exit{0});
    return;
  }
  out.push_back(net::ArmTimer{{net::Concern::process, 0}, now + kTick});
}

void Load::on(Time now, const net::Received& event, net::Effects& out) {
  std::size_t used = 0;
  while (used < event.bytes.size()) {
    if (event.conn.concern == net::Concern::platform) {
      const jsonl::ReadResult read = jsonl::read(event.bytes.substr(used));
      if (read.state != jsonl::ReadState::message) break;
      used += read.used;
      from_gatekeeper(now, event.conn.number, read.message, out);
    } else {
      const sip::ReadResult read = sip::read_stream(event.bytes.substr(used));
      if (read.state != sip::ReadState::message) break;
      used += read.used;
      from_caller_side(now, event.conn, read.message, out);
    }
  }
  out.push_back(net::Consume{event.conn, used});
}

// What callers hear.
void Load::from_gatekeeper(Time now, std::size_t gatekeeper, const jsonl::Message& message,
                           net::Effects& out) {
  const auto it = by_id_.find(message.id);
  if (it == by_id_.end()) return;
  CallRecord& call = calls_[it->second];
  const net::ConnId conn{net::Concern::platform, static_cast<std::uint32_t>(gatekeeper)};
  if (message.type == "answer" || (message.type == "release" && !call.stood)) {
    if (++call.finals == 1) {
      call.answered = now;
      --open_;
    }
    call.stood = message.type == "answer";
    call.cause = message.cause.value_or(0);
    call.worded = !message.field("reason").empty();
    if (const std::string_view wait = message.field("wait"); !wait.empty())
      call.wait_ms = std::atoi(std::string(wait).c_str());
    if (call.stood && it->second % 2 == 0) holds_.push_back({now + plan_.holds, conn, message.id, true});
    if (call.stood || !plan_.flows[call.flow].redials) return;
    if (random_() % 2 == 0) place(now, call.flow, out);
  } else if (message.type == "release") {
    out.push_back(net::Send{conn, R"({"type":"released","id":")" + message.id + R"(","fields":{}})" + "\n"});
  }
}

// What setup servers hear.
void Load::from_caller_side(Time now, net::ConnId conn, const sip::Message& message, net::Effects& out) {
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
      holds_.push_back({at + plan_.holds, conn, std::string(message.header("Call-ID")), false});
  }
  if (at > now) {
    at_work_.emplace_back(at, net::Send{conn, answer.text()});
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
