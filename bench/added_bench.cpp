// The time that gatekeepers add to a call: the same arrivals straight to the stand-in and through lines of 1,
// 3 and 9 gatekeepers, in short spells by turns, in SIP over TCP; and through one that speaks the platform's
// protocol. What is added is the difference of two calls of the same place in their spells. Then one call to
// a last server that answers 500, answers 503 or is silent: how many attempts reach it.
// Usage: added_bench GATEKEEPER [--quick]. Exits with 1 where one gatekeeper adds more than 570 us to more
// than one call in a hundred, or a call has not exactly one final answer.
#include <cstdio>
#include <cstring>

#include "lab/load.h"
#include "stand_ins.h"

using namespace graniterun;
using namespace graniterun::bench;
using namespace std::chrono_literals;

namespace {

constexpr double kMostAddedUs = 570.0;  // by one gatekeeper, to 99 in 100

bool good = true;

void figure(const std::string& name, double value, const char* unit, bool holds = true) {
  std::printf("%s %.2f %s%s\n", name.c_str(), value, unit, holds ? "" : " SHORT");
  std::fflush(stdout);
  good = good && holds;
}

// Gatekeepers in a line: the setup server of each is the SIP front of the next.
class Line {
 public:
  Line(const std::string& binary, int depth, const std::string& last) {
    std::string next = last;
    std::vector<std::string> fronts;
    for (int i = 0; i < depth; ++i) {  // from the last one to the first
      const std::string front = at(free_port());
      const json deploy = {{"sip", {{"tcp", front}, {"servers", "tcp"}, {"servers_from", at(free_port())}}}};
      programs_.push_back(gatekeeper(binary, at(free_port()), {next}, i, 1, deploy));
      next = front;
      fronts.push_back(front);
    }
    first_ = next;
    for (const std::string& front : fronts) test::Socket::connected(port_of(front));  // it listens
  }
  const std::string& first() const { return first_; }
  // Nanoseconds of processor time, of all of them.
  std::uint64_t cpu_ns() const {
    std::uint64_t all = 0;
    for (const auto& program : programs_) all += lab::cpu_ns(program->pid());
    return all;
  }

 private:
  std::vector<std::unique_ptr<test::Program>> programs_;
  std::string first_;
};

struct Way {
  std::string name;  // after the rate; empty: straight to the stand-in
  bool one = false;  // the aim of one gatekeeper holds for it
  std::unique_ptr<Caller> caller{};
  std::function<std::uint64_t()> cpu_ns{};
  std::vector<double> waits{};  // of the spells so far, in order; NaN: no answer
  std::uint64_t used_ns = 0;
  std::size_t first_call = 0;
};

void print(const Way& way, int rate, const Way& straight) {
  const std::string at_rate = "_at_" + std::to_string(rate) + way.name;
  const std::vector<Placed>& calls = way.caller->calls();
  std::size_t once = 0;
  std::size_t twice = 0;
  std::size_t stood = 0;
  for (std::size_t i = way.first_call; i < calls.size(); ++i) {
    once += calls[i].finals == 1 ? 1 : 0;
    twice += calls[i].finals > 1 ? 1 : 0;
    stood += calls[i].stood ? 1 : 0;
  }
  const auto all = static_cast<double>(calls.size() - way.first_call);
  std::vector<double> own;
  std::vector<double> added;
  for (std::size_t i = 0; i < way.waits.size(); ++i) {
    if (std::isnan(way.waits[i])) continue;
    own.push_back(way.waits[i]);
    if (i < straight.waits.size() && !std::isnan(straight.waits[i]))
      added.push_back(way.waits[i] - straight.waits[i]);
  }
  const std::string what = way.name.empty() ? "straight" : "answer";
  figure(what + "_median_us" + at_rate, lab::percentile(own, 0.5), "us");
  figure(what + "_p99_us" + at_rate, lab::percentile(own, 0.99), "us");
  if (!way.name.empty()) {
    const double p99 = lab::percentile(added, 0.99);
    figure("added_median_us" + at_rate, lab::percentile(added, 0.5), "us");
    figure("added_p99_us" + at_rate, p99, "us", !way.one || p99 <= kMostAddedUs);
    figure("cpu_per_call_us" + at_rate, static_cast<double>(way.used_ns) / 1e3 / all, "us");
  }
  figure("answered_share" + at_rate, static_cast<double>(once) / all, "share",
         all > 0 && once == calls.size() - way.first_call);
  if (twice > 0) figure("answered_twice" + at_rate, static_cast<double>(twice), "calls", false);
  figure("stood_share" + at_rate, static_cast<double>(stood) / all, "share");
}

void added(const std::string& binary, bool quick) {
  const StandIns servers(1);
  const StandIns platform_servers(2);
  const std::string straight = servers.addresses()[0];
  std::vector<std::unique_ptr<Line>> lines;
  std::vector<Way> ways;
  ways.push_back({"", false, std::make_unique<Caller>(port_of(straight), Caller::Speech::sip),
                  [] { return std::uint64_t{0}; }});
  for (const int depth : {1, 3, 9}) {
    lines.push_back(std::make_unique<Line>(binary, depth, straight));
    Line* line = lines.back().get();
    ways.push_back({"_depth_" + std::to_string(depth), depth == 1,
                    std::make_unique<Caller>(port_of(line->first()), Caller::Speech::sip),
                    [line] { return line->cpu_ns(); }});
  }
  const std::string listen = at(free_port());
  const auto platform = gatekeeper(binary, listen, platform_servers.addresses(), 0, 1);
  ways.push_back({"_platform_depth_1", true, std::make_unique<Caller>(port_of(listen), Caller::Speech::lines),
                  [&platform] { return lab::cpu_ns(platform->pid()); }});
  std::this_thread::sleep_for(1s);                         // they reach their servers
  for (Way& way : ways) way.caller->spell(200, 300ms, 1);  // connections from each to the next

  const int rounds = quick ? 1 : 6;
  for (const int rate : {200, 1800}) {
    for (Way& way : ways) {
      way.waits.clear();
      way.used_ns = 0;
      way.first_call = way.caller->calls().size();
    }
    for (int round = 0; round < rounds; ++round) {
      // Begun with another one each time, so that none always follows the same one.
      for (std::size_t i = 0; i < ways.size(); ++i) {
        Way& way = ways[(i + static_cast<std::size_t>(round)) % ways.size()];
        const std::uint64_t before = way.cpu_ns();
        const std::size_t first = way.caller->spell(rate, 800ms, static_cast<std::uint64_t>(round) + 7,
                                                    static_cast<std::size_t>(rate * 0.7));
        way.used_ns += way.cpu_ns() - before;
        const std::vector<Placed>& calls = way.caller->calls();
        // Spells of other ways have as many places; one that lacks some leaves them empty.
        for (std::size_t n = 0; n < static_cast<std::size_t>(rate * 0.7); ++n) {
          const bool there = first + n < calls.size() && calls[first + n].finals > 0;
          way.waits.push_back(there ? calls[first + n].took_us() : std::nan(""));
        }
      }
    }
    for (const Way& way : ways) print(way, rate, ways[0]);
  }
}

void last_server_fails(const std::string& binary, const char* name, StandIns::Way how) {
  struct Case {
    int depth;
    std::unique_ptr<StandIns> last{};
    std::unique_ptr<Line> line{};
    std::unique_ptr<Caller> caller{};
  };
  std::vector<Case> cases;
  for (const int depth : {1, 3, 9}) {
    Case c{depth};
    c.last = std::make_unique<StandIns>(1, how);
    c.line = std::make_unique<Line>(binary, depth, c.last->addresses()[0]);
    c.caller = std::make_unique<Caller>(port_of(c.line->first()), Caller::Speech::sip);
    cases.push_back(std::move(c));
  }
  std::this_thread::sleep_for(500ms);
  std::vector<std::thread> threads;
  for (Case& c : cases)
    threads.emplace_back([&c] {
      c.caller->spell(1e6, 100ms, 3, 1);
      c.caller->listen_for(300ms);
    });
  for (std::thread& thread : threads) thread.join();
  for (const Case& c : cases) {
    const Placed& call = c.caller->calls().at(0);
    const std::string of = std::string(name) + "_depth_" + std::to_string(c.depth);
    figure("attempts_at_last_server_" + of, static_cast<double>(c.last->invites()), "attempts");
    figure("final_answer_" + of, call.status, "status", call.finals == 1);
    figure("time_to_final_" + of, call.finals > 0 ? call.took_us() / 1e3 : -1.0, "ms");
  }
}

}  // namespace

int main(int argc, char** argv) {
  const bool quick = argc > 2 && std::strcmp(argv[2], "--quick") == 0;
  raise_descriptors();
  added(argv[1], quick);
  last_server_fails(argv[1], "500", StandIns::Way::fault);
  last_server_fails(argv[1], "503", StandIns::Way::full);
  last_server_fails(argv[1], "silent", StandIns::Way::silent);
  return good ? 0 : 1;
}
