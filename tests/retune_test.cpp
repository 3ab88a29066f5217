// Reloads of the configuration file: invalid files are rejected without any effect, and open calls survive
// changes of their class.
#include <random>

#include "core/classes.h"
#include "lab.h"
#include "settings.h"

using namespace graniterun;
using namespace graniterun::test;
using nlohmann::json;

namespace {

constexpr ConnId kCaller{Concern::platform, 1};

json with_class(json f, const std::string& name) {
  json& s = f["settings"];
  s["classes"].push_back(s["classes"][0]);
  s["classes"].back()["name"] = name;
  s["familyInfo"]["classHoldNs"].push_back(1000000000);
  s["familyInfo"]["poolsByClass"].push_back({0});
  return f;
}

struct ReloadLab : GatekeeperLab {
  ReloadLab() : GatekeeperLab(read_platform_config(file_with_two_servers().dump())) {
    bring_up();
    deliver(net::Accepted{kCaller});
  }
  void load(const std::string& text) {
    deliver(net::ReloadRequested{});
    deliver(net::FileRead{"", text});
  }
  std::uint64_t count(const std::string& name) {
    const std::string text = telemetry_metric(name);
    CHECK(text != "none");
    return std::stoull(text);
  }
  // Sends a setup of the class; returns the immediate answer, or nothing if it was forwarded.
  std::vector<jsonl::Message> call(const std::string& id, const std::string& call_class) {
    receive(kCaller, setup_line(id, call_class));
    return lines(kCaller);
  }
  sip::Message last_invite() {  // the last INVITE sent to either server
    std::optional<sip::Message> found;
    for (std::uint32_t n = 1; n <= 2; ++n) {
      const ConnId conn{Concern::server, n};
      for (const sip::Message& m : messages(conn)) {
        if (m.method == "INVITE") {
          found = m;
          server = conn;
        }
      }
    }
    CHECK(found.has_value());
    return *found;
  }
  ConnId server{};
};

void invalid_files_are_rejected_completely() {
  ReloadLab lab;
  json other = with_class(file_with_two_servers(), "extra");
  other["journal"] = "127.0.0.1:8600";
  const std::string good = other.dump();
  std::vector<std::string> invalid = {"", "  \n", "{}", "[]", "null", "\xff\xfe"};
  std::mt19937 draw(3);  // truncated at both ends and at random places
  for (std::size_t at : {std::size_t{1}, good.size() - 1}) invalid.push_back(good.substr(0, at));
  for (int i = 0; i < 60; ++i) invalid.push_back(good.substr(0, 1 + draw() % (good.size() - 1)));
  for (const char* key : {"name", "listen", "seed", "limits", "journal", "management", "known", "settings"}) {
    json f = other;
    f.erase(key);
    invalid.push_back(f.dump());
  }
  for (const auto& [key, value] : other["settings"].items()) {
    json f = other;
    f["settings"].erase(key);
    invalid.push_back(f.dump());
  }
  for (const auto& [key, value] : other["settings"]["classes"][2].items()) {
    json f = other;
    f["settings"]["classes"][2].erase(key);
    invalid.push_back(f.dump());
  }
  for (const json& bad : {json(0), json(-5), json("3000000000"), json(nullptr), json(1e300), json(true),
                          json::array(), json("NaN")}) {
    json f = other;
    f["settings"]["classes"][0]["hardLimitNs"] = bad;
    invalid.push_back(f.dump());
    f = other;
    f["settings"]["limits"]["maxAttempts"] = bad;
    invalid.push_back(f.dump());
  }
  json f = other;
  f["settings"]["classes"][1]["name"] = "voice";  // twice
  invalid.push_back(f.dump());
  f = other;
  f["settings"]["familyInfo"]["poolsByClass"].erase(0);
  invalid.push_back(f.dump());
  f = other;
  f["journal"] = "127.0.0.1:0";
  invalid.push_back(f.dump());

  std::uint64_t rejected = 0;
  for (const std::string& text : invalid) {
    lab.connects.clear();
    lab.load(text);
    CHECK_EQ(lab.count("config_rejected"), ++rejected);
    CHECK(lab.connects.empty());  // the discovery address is unchanged
  }
  CHECK_EQ(lab.count("config_applied"), 0U);
  CHECK_EQ(lab.call("00000000000000aa", "extra").size(), 1U);  // rejected: unknown class
  CHECK(lab.call("00000000000000ab", "voice").empty());

  lab.load(good);
  CHECK_EQ(lab.count("config_applied"), 1U);
  CHECK_EQ(lab.connects.back().address, "127.0.0.1:8600");
  CHECK(lab.call("00000000000000ac", "extra").empty());
}

void integers_may_be_written_as_floating_point() {
  json f = file_with_two_servers();
  f["settings"]["classes"][0]["hardLimitNs"] = 3e9;
  f["settings"]["limits"]["maxAttempts"] = 2.0;
  const PlatformConfig c = read_platform_config(f.dump());
  CHECK(c.settings.classes[0].caller_timeout == 3s);
  CHECK_EQ(c.settings.max_attempts, 2);
}

void error_text_is_one_line_with_position() {
  const auto error_of = [](const std::string& text) -> std::string {
    try {
      read_platform_config(text);
    } catch (const ConfigError& error) {
      return error.what();
    }
    return {};
  };
  CHECK_EQ(error_of(""), "the configuration is empty");
  CHECK(error_of("{\n\"name\": \"t0\",\n\"listen\"").find("line 3") != std::string::npos);
  json f = file_with_two_servers();
  f["settings"]["classes"][1]["hardLimitNs"] = "soon";
  CHECK_EQ(error_of(f.dump()), "'class safety: hardLimitNs' is \"soon\", not a number above 0");
  // Guards against a stack overflow in the code that walks the file.
  constexpr std::size_t kDepth = 20'000;
  std::string nested = "0" + std::string(kDepth, '}') + ",";
  for (std::size_t i = 0; i < kDepth; ++i) nested.insert(0, "{\"a\":");
  nested = file_with_two_servers().dump().insert(1, "\"extra\":" + nested);
  CHECK_EQ(error_of(nested), "the configuration is deeper than 64 objects and lists");
}

// Guards against an integer overflow in a list that the journal service has spoilt.
void start_time_out_of_range_is_rejected() {
  json f = file_with_two_servers();
  json& target = f["known"]["entries"][0]["hosts"]["targets"][0];
  target["boot_ms"] = 4'000'000'000'000'000'000;
  bool rejected = false;
  try {
    read_platform_config(f.dump());
  } catch (const ConfigError&) {
    rejected = true;
  }
  CHECK(rejected);
}

void open_calls_keep_class_and_attempt_limit() {
  ReloadLab lab;
  CHECK(lab.call("00000000000000aa", "voice").empty());
  const sip::Message invite = lab.last_invite();
  const ConnId first_server = lab.server;
  // Removes 'voice', moves 'safety' to the first position with a changed objective, and allows one attempt.
  json f = file_with_two_servers();
  json& s = f["settings"];
  s["classes"].erase(0);
  s["classes"][0]["promiseNs"] = 700000000;
  s["familyInfo"]["classHoldNs"].erase(0);
  s["familyInfo"]["poolsByClass"].erase(0);
  s["limits"]["maxAttempts"] = 1;
  lab.load(f.dump());
  CHECK_EQ(lab.count("config_applied"), 1U);
  CHECK_EQ(lab.call("00000000000000ab", "voice").size(), 1U);  // unknown for new calls
  CHECK(lab.call("00000000000000ac", "safety").empty());
  const sip::Message safety = lab.last_invite();

  // The open call is retried under its old class and limit, the new one is not.
  lab.receive(first_server, server_answer(invite, 503, {}, "Warning-Word: cpu_full\r\n"));
  const sip::Message again = lab.last_invite();
  CHECK_EQ(std::string(again.header("Call-ID")), "00000000000000aa");
  CHECK_EQ(std::string(again.header("Priority-Class")), "voice");
  lab.receive(lab.server, server_answer(again, 200, "answer"));
  CHECK_EQ(lab.count("ok.voice"), 1U);
  for (std::uint32_t n = 1; n <= 2; ++n)
    lab.receive(ConnId{Concern::server, n}, server_answer(safety, 503, {}, "Warning-Word: cpu_full\r\n"));
  lab.advance(2s);
  CHECK(lab.count("shed.safety") + lab.count("errors.safety") == 1U);
  CHECK_EQ(lab.count("tries"), 0U);  // counted by the runtime, which this test does not use
}

void ten_reloads_in_a_second_with_the_last_one_invalid() {
  ReloadLab lab;
  for (int i = 0; i < 9; ++i) {
    lab.load(with_class(file_with_two_servers(), "c" + std::to_string(i)).dump());
    CHECK(lab.call("000000000000000" + std::to_string(i), "c" + std::to_string(i)).empty());
    lab.advance(100ms);
  }
  lab.load("{");
  CHECK_EQ(lab.count("config_applied"), 9U);
  CHECK_EQ(lab.count("config_rejected"), 1U);
  CHECK(lab.call("00000000000000aa", "c8").empty());
  CHECK_EQ(lab.call("00000000000000ab", "c7").size(), 1U);
}

// Random steps against a model: each active class is at its index, classes with open calls keep theirs, and
// the table does not grow beyond the classes in use at once.
void class_indexes_stay_valid_in_random_steps() {
  std::mt19937 draw(11);
  core::ClassTable table;
  struct OpenCall {
    ClassIndex index;
    CallClass terms;
  };
  std::vector<OpenCall> open;
  std::size_t max_indexes = 0;
  for (int step = 0; step < 3000; ++step) {
    std::vector<std::string> names;
    std::vector<CallClass> terms;
    for (int i = 0; i < 6; ++i) {
      if (draw() % 2 == 0) continue;
      names.push_back("c" + std::to_string(i));
      CallClass c;
      c.latency_objective = Duration(1 + draw() % 3);
      terms.push_back(c);
    }
    if (names.empty()) continue;
    std::shuffle(terms.begin(), terms.end(), draw);
    std::vector<bool> in_use;
    for (const OpenCall& open_call : open) {
      if (in_use.size() <= open_call.index) in_use.resize(open_call.index + 1);
      in_use[open_call.index] = true;
    }
    const core::ClassTable before = table;
    const auto after = core::assign_class_indexes(table, names, terms, in_use);
    CHECK(after.has_value());
    table = *after;
    std::vector<ClassIndex> seen;
    for (std::size_t i = 0; i < names.size(); ++i) {
      const core::NamedClass* c = table.classes->find(names[i]);
      CHECK(c != nullptr && c->terms == terms[i] && table.by_index.at(c->index) == terms[i]);
      CHECK(std::count(seen.begin(), seen.end(), c->index) == 0);
      seen.push_back(c->index);
      const core::NamedClass* old = before.classes->find(names[i]);
      if (old != nullptr && old->terms == terms[i]) CHECK_EQ(old->index, c->index);
    }
    for (const OpenCall& open_call : open) CHECK(table.by_index.at(open_call.index) == open_call.terms);
    if (!open.empty() && draw() % 2 == 0) open.erase(open.begin());
    if (open.size() < 4) {
      const core::NamedClass& c = table.classes->named[draw() % table.classes->named.size()];
      open.push_back({c.index, c.terms});
    }
    max_indexes = std::max(max_indexes, table.by_index.size());
  }
  CHECK(max_indexes <= 6 + 4 + 1);
}

void file_is_rejected_if_open_calls_use_too_many_classes() {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < core::ClassTable::kMaxClasses; ++i) names.push_back(std::to_string(i));
  const std::vector<CallClass> terms(names.size());
  const auto full = core::assign_class_indexes({}, names, terms, {});
  CHECK(full.has_value());
  CHECK(!core::assign_class_indexes(*full, {"new"}, {CallClass{}}, std::vector<bool>(names.size(), true)));
  CHECK(core::assign_class_indexes(*full, {"new"}, {CallClass{}}, {}).has_value());
}

}  // namespace

int main() {
  invalid_files_are_rejected_completely();
  integers_may_be_written_as_floating_point();
  error_text_is_one_line_with_position();
  start_time_out_of_range_is_rejected();
  open_calls_keep_class_and_attempt_limit();
  ten_reloads_in_a_second_with_the_last_one_invalid();
  class_indexes_stay_valid_in_random_steps();
  file_is_rejected_if_open_calls_use_too_many_classes();
}
