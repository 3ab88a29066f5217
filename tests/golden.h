// Golden tests: sent and stored data is compared byte for byte with files under tests/golden. The files are
// rewritten only on purpose, with GRANITERUN_WRITE_GOLDEN=1 in the environment.
#pragma once

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <string>
#include <utility>

#include "check.h"
#include "net/events.h"

namespace graniterun::test {

inline std::string read_whole_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << "cannot read " << path << '\n';
    std::abort();
  }
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Compares `actual` with tests/golden/`name`; prints the first line that differs and aborts.
inline void check_golden(const std::string& name, const std::string& actual) {
  const std::string path = std::string(SOURCE_DIR) + "/tests/golden/" + name;
  if (std::getenv("GRANITERUN_WRITE_GOLDEN") != nullptr) {
    std::ofstream(path, std::ios::binary) << actual;
    return;
  }
  const std::string expected = read_whole_file(path);
  if (actual == expected) return;
  std::istringstream was(expected);
  std::istringstream now(actual);
  std::string before;
  std::string after;
  for (int number = 1; std::getline(was, before); ++number) {
    if (!std::getline(now, after)) after = "(no line)";
    if (before == after) continue;
    std::cerr << name << ':' << number << "\n  recorded: " << before << "\n  now:      " << after << '\n';
    break;
  }
  std::cerr << name << " differs from what is recorded (" << expected.size() << " bytes, now "
            << actual.size() << ")\n";
  std::abort();
}

// Text form of a reducer's effects: what it sends, prints, writes, listens on and connects to. Log lines and
// timers may change and are left out.
class Transcript {
 public:
  void title(const std::string& text) { text_ += "# " + text + "\n"; }
  void add(const net::Effects& effects) {
    for (const net::Effect& effect : effects) std::visit([this](const auto& e) { record(e); }, effect);
  }
  const std::string& text() const { return text_; }

 private:
  static std::string name_of(net::ConnId conn) {
    return std::to_string(static_cast<int>(conn.concern)) + "/" + std::to_string(conn.number);
  }
  // Printable bytes unchanged, others as \xNN; a line feed also starts a new line.
  static std::string escape(const std::string& bytes) {
    std::string text;
    for (const char c : bytes) {
      const auto byte = static_cast<unsigned char>(c);
      if (c == '\n') {
        text += "\\n\n    ";
      } else if (byte < 0x20 || byte > 0x7e) {
        text += "\\x";
        text += "0123456789abcdef"[byte >> 4];
        text += "0123456789abcdef"[byte & 15];
      } else {
        text += c;
      }
    }
    if (text.ends_with("\n    ")) text.resize(text.size() - 5);
    return text;
  }
  template <class Other>
  void record(const Other&) {}
  void record(const net::Send& e) { text_ += "send " + name_of(e.conn) + " " + escape(e.bytes) + "\n"; }
  void record(const net::WithdrawSend& e) {
    text_ += "withdraw or send " + name_of(e.conn) + " " + escape(e.fallback) + "\n";
  }
  void record(const net::SendDatagram& e) { text_ += "datagram " + e.peer + " " + escape(e.bytes) + "\n"; }
  void record(const net::Print& e) {
    text_ += std::string("print ") + (e.to_stdout ? "to stdout " : "") + escape(e.text) + "\n";
  }
  void record(const net::WriteFile& e) { text_ += "write " + e.path + " " + escape(e.text) + "\n"; }
  void record(const net::ReadFile& e) { text_ += "read " + e.path + "\n"; }
  void record(const net::Listen& e) { text_ += "listen " + e.address + "\n"; }
  void record(const net::Bind& e) { text_ += "bind " + e.address + "\n"; }
  void record(const net::Connect& e) { text_ += "connect " + name_of(e.conn) + " " + e.address + "\n"; }
  void record(const net::FinishSending& e) { text_ += "finish sending " + name_of(e.conn) + "\n"; }
  void record(const net::Close& e) { text_ += "close " + name_of(e.conn) + "\n"; }
  void record(const net::Exit& e) { text_ += "exit " + std::to_string(e.status) + "\n"; }

  std::string text_;
};

// Drives a reducer with a simulated clock and records its effects in a transcript.
template <class Reducer>
class Recorded {
 public:
  explicit Recorded(Reducer& reducer, Time start = Time(std::chrono::seconds(1'000'000)))
      : now(start), reducer_(reducer) {}

  void step(const net::Event& event) {
    net::Effects effects;
    reducer_.step(now, event, effects);
    transcript.add(effects);
    for (const net::Effect& effect : effects) {
      if (const auto* e = std::get_if<net::Consume>(&effect)) unread_[e->conn].erase(0, e->count);
      if (const auto* e = std::get_if<net::ArmTimer>(&effect)) timers_.emplace(e->at, e->key);
      if (const auto* e = std::get_if<net::Connect>(&effect)) connects.push_back(*e);
      if (const auto* e = std::get_if<net::WriteFile>(&effect)) files[e->path] = e->text;
    }
  }
  void receive(net::ConnId conn, const std::string& bytes) {
    transcript.title("received " + std::string(bytes.substr(0, bytes.find_first_of("\r\n"))));
    unread_[conn] += bytes;
    const std::string all = unread_[conn];
    step(net::Received{conn, all});
  }
  void pass(Duration span) {
    const Time end = now + span;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      now = std::max(now, timers_.begin()->first);
      const net::TimerKey key = timers_.begin()->second;
      timers_.erase(timers_.begin());
      step(net::TimerFired{key});
    }
    now = end;
  }
  void bring_up() {
    for (const net::Connect& connect : std::exchange(connects, {})) step(net::Connected{connect.conn});
  }

  Time now;
  Transcript transcript;
  std::vector<net::Connect> connects;
  std::map<std::string, std::string> files;

 private:
  Reducer& reducer_;
  std::multimap<Time, net::TimerKey> timers_;
  std::map<net::ConnId, std::string> unread_;
};

}  // namespace graniterun::test
