// A gatekeeper serves ordinary callers while one bad client writes blanks and empty lines on a connection of
// its own, in two pieces. The gatekeeper must not crash, and each setup must get its answer.
#include "stand.h"

namespace {

using namespace stand;

constexpr std::size_t kBlanks = 13000;      // the first piece: a line that has no end yet
constexpr std::size_t kEmptyLines = 19000;  // the second piece

bool play() {
  Journal journal;
  PlatformServer first("s-1");
  PlatformServer second("s-2");
  first.answer_after = second.answer_after = 0.3;
  first.hold = second.hold = 2.0;
  journal.tell(target("s-1", first.address(), 0, "ready") + "," + target("s-2", second.address(), 1, "ready"),
               true);
  const std::string listen = "127.0.0.1:" + std::to_string(free_port());
  const std::string management = "127.0.0.1:" + std::to_string(free_port());
  const std::string path = folder() + "/config.json";
  write_file(path, config(listen, management, journal.address(), journal.known()));
  Program gatekeeper;
  gatekeeper.start("gatekeeper", run_command(),
                   {{"RELAY_NAME", "n1"},
                    {"RELAY_LISTEN", listen},
                    {"RELAY_CONFIG", path},
                    {"RELAY_MANAGEMENT", management},
                    {"TMPDIR", folder()}},
                   folder() + "/gatekeeper.log");
  wait_ready(management, 30);

  PlatformCaller caller(listen);
  std::uint64_t next = 1;
  const auto traffic = [&](double seconds) {  // ten setups a second
    for (const double end = now() + seconds; now() < end;) {
      caller.set_up(hex_id(next), 3000, "guide-call", static_cast<int>(next % 2));
      ++next;
      run_for(0.1);
      gatekeeper.running();  // records its end
    }
  };
  traffic(1.0);
  std::unique_ptr<Stream> bad;
  if (trouble()) {
    bad = Stream::connect_to(listen);
    if (!bad) throw CannotRun("the bad client can't connect");
    bad->write(std::string(kBlanks, ' '));
    rec("bad client writes %zu blanks", kBlanks);
    traffic(0.3);
    bad->write(std::string(kEmptyLines, '\n'));
    rec("bad client writes %zu line feeds", kEmptyLines);
  }
  traffic(2.0);
  run_for(4.0);

  bool held = true;
  if (!gatekeeper.running()) {
    rec("the gatekeeper has crashed");
    held = false;
  }
  std::size_t unanswered = 0;
  for (const auto& [id, call] : caller.calls) unanswered += call.final_answers == 0 ? 1 : 0;
  rec("setups: %zu, without an answer: %zu", caller.calls.size(), unanswered);
  return held && unanswered == 0;
}

}  // namespace

int main() { return stand::run_case(play); }
