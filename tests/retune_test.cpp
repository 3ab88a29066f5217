// Reloads: what is turned down, that nothing of it is taken, and what becomes of calls whose class changes.
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

struct Reload : Lab {
  Reload() : Lab(read_platform_config(file_with_two_servers().dump())) {
    bring_up();
    tell(net::Accepted{kCaller});
  }
  void load(const std::string& text) {
    tell(net::ReloadRequested{});
    tell(net::FileRead{"", text});
  }
  std::uint64_t count(const std::string& name) {
    const std::string text = figure(name);
    CHECK(text != "none");
    return std::stoull(text);
  }
  // What a set-up of the class is answered with at once; empty: it was sent on.
  std::vector<jsonl::Message> call(const std::string& id, const std::string& call_class) {
    receive(kCaller, set_up_line(id, call_class));
    return lines(kCaller);
  }
  sip::Message sent_on() {  // the last INVITE, wherever it went
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

void what_is_broken_is_turned_down_whole() {
  Reload lab;
  json other = with_class(file_with_two_servers(), "extra");
  other["journal"] = "127.0.0.1:8600";
  const std::string good = other.dump();
  std::vector<std::string> broken = {"", "  \n", "{}", "[]", "null", "\xff\xfe"};
  std::mt19937 draw(3);  // cut anywhere: a sample of places, and both ends
  for (std::size_t at : {std::size_t{1}, good.size() - 1}) broken.push_back(good.substr(0, at));
  for (int i = 0; i < 60; ++i) broken.push_back(good.substr(0, 1 + draw() % (good.size() - 1)));
  for (const char* key : {"name", "listen", "seed", "limits", "journal", "management", "known", "settings"}) {
    json f = other;
    f.erase(key);
    broken.push_back(f.dump());
  }
  for (const auto& [key, value] : other["settings"].items()) {
    json f = other;
    f["settings"].erase(key);
    broken.push_back(f.dump());
  }
  for (const auto& [key, value] : other["settings"]["classes"][2].items()) {
    json f = other;
    f["settings"]["classes"][2].erase(key);
    broken.push_back(f.dump());
  }
  for (const json& bad : {json(0), json(-5), json("3000000000"), json(nullptr), json(1e300), json(true),
                          json::array(), json("NaN")}) {
    json f = other;
    f["settings"]["classes"][0]["hardLimitNs"] = bad;
    broken.push_back(f.dump());
    f = other;
    f["settings"]["limits"]["maxAttempts"] = bad;
    broken.push_back(f.dump());
  }
  json f = other;
  f["settings"]["classes"][1]["name"] = "voice";  // twice
  broken.push_back(f.dump());
  f = other;
  f["settings"]["familyInfo"]["poolsByClass"].erase(0);
  broken.push_back(f.dump());
  f = other;
  f["journal"] = "127.0.0.1:0";
  broken.push_back(f.dump());

  std::uint64_t turned_down = 0;
  for (const std::string& text : broken) {
    lab.connects.clear();
    lab.load(text);
    CHECK_EQ(lab.count("config_rejected"), ++turned_down);
    CHECK(lab.connects.empty());  // the journal service is where it was
  }
  CHECK_EQ(lab.count("config_applied"), 0U);
  CHECK_EQ(lab.call("00000000000000aa", "extra").size(), 1U);  // refused: there is no such class
  CHECK(lab.call("00000000000000ab", "voice").empty());

  lab.load(good);
  CHECK_EQ(lab.count("config_applied"), 1U);
  CHECK_EQ(lab.connects.back().address, "127.0.0.1:8600");
  CHECK(lab.call("00000000000000ac", "extra").empty());
}

void a_number_may_be_written_as_one_likes() {
  json f = file_with_two_servers();
  f["settings"]["classes"][0]["hardLimitNs"] = 3e9;
  f["settings"]["limits"]["maxAttempts"] = 2.0;
  const PlatformConfig c = read_platform_config(f.dump());
  CHECK(c.settings.classes[0].caller_timeout == 3s);
  CHECK_EQ(c.settings.max_attempts, 2);
}

// The trouble is told with its place.
void the_reason_is_one_plain_line() {
  const auto trouble = [](const std::string& text) -> std::string {
    try {
      read_platform_config(text);
    } catch (const ConfigError& e) {
      return e.what();
    }
    return {};
  };
  CHECK_EQ(trouble(""), "the configuration is empty");
  CHECK(trouble("{\n\"name\": \"t0\",\n\"listen\"").find("line 3") != std::string::npos);
  json f = file_with_two_servers();
  f["settings"]["classes"][1]["hardLimitNs"] = "soon";
  CHECK_EQ(trouble(f.dump()), "'class safety: hardLimitNs' is \"soon\", not a number above 0");
}

void open_calls_keep_class_and_attempts() {
  Reload lab;
  CHECK(lab.call("00000000000000aa", "voice").empty());
  const sip::Message invite = lab.sent_on();
  const ConnId first_server = lab.server;
  // 'voice' goes, 'safety' moves to its place with other terms, and a call may be tried once only.
  json f = file_with_two_servers();
  json& s = f["settings"];
  s["classes"].erase(0);
  s["classes"][0]["promiseNs"] = 700000000;
  s["familyInfo"]["classHoldNs"].erase(0);
  s["familyInfo"]["poolsByClass"].erase(0);
  s["limits"]["maxAttempts"] = 1;
  lab.load(f.dump());
  CHECK_EQ(lab.count("config_applied"), 1U);
  CHECK_EQ(lab.call("00000000000000ab", "voice").size(), 1U);  // gone for new calls
  CHECK(lab.call("00000000000000ac", "safety").empty());
  const sip::Message safety = lab.sent_on();

  // The call under way is tried again under its old class, the new one is not.
  lab.receive(first_server, server_answer(invite, 503, {}, "Warning-Word: cpu_full\r\n"));
  const sip::Message again = lab.sent_on();
  CHECK_EQ(std::string(again.header("Call-ID")), "00000000000000aa");
  CHECK_EQ(std::string(again.header("Priority-Class")), "voice");
  lab.receive(lab.server, server_answer(again, 200, "answer"));
  CHECK_EQ(lab.count("ok.voice"), 1U);
  for (std::uint32_t n = 1; n <= 2; ++n)
    lab.receive(ConnId{Concern::server, n}, server_answer(safety, 503, {}, "Warning-Word: cpu_full\r\n"));
  lab.pass(2s);
  CHECK(lab.count("shed.safety") + lab.count("errors.safety") == 1U);
  CHECK_EQ(lab.count("tries"), 0U);  // the runtime's, which has no part in this test
}

void ten_reloads_in_a_second_the_last_one_broken() {
  Reload lab;
  for (int i = 0; i < 9; ++i) {
    lab.load(with_class(file_with_two_servers(), "c" + std::to_string(i)).dump());
    CHECK(lab.call("000000000000000" + std::to_string(i), "c" + std::to_string(i)).empty());
    lab.pass(100ms);
  }
  lab.load("{");
  CHECK_EQ(lab.count("config_applied"), 9U);
  CHECK_EQ(lab.count("config_rejected"), 1U);
  CHECK(lab.call("00000000000000aa", "c8").empty());
  CHECK_EQ(lab.call("00000000000000ab", "c7").size(), 1U);
}

// The table against a plain model: a class in force is at its place, one with open calls is left alone, and
// places do not grow beyond what is held at once.
void places_hold_for_random_steps() {
  std::mt19937 draw(11);
  core::ClassTable table;
  struct Open {
    ClassIndex place;
    CallClass terms;
  };
  std::vector<Open> open;
  std::size_t widest = 0;
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
    for (const Open& o : open) {
      if (in_use.size() <= o.place) in_use.resize(o.place + 1);
      in_use[o.place] = true;
    }
    const core::ClassTable before = table;
    const auto after = core::assign_places(table, names, terms, in_use);
    CHECK(after.has_value());
    table = *after;
    std::vector<ClassIndex> seen;
    for (std::size_t i = 0; i < names.size(); ++i) {
      const core::NamedClass* c = table.classes->find(names[i]);
      CHECK(c != nullptr && c->terms == terms[i] && table.places.at(c->place) == terms[i]);
      CHECK(std::count(seen.begin(), seen.end(), c->place) == 0);
      seen.push_back(c->place);
      const core::NamedClass* old = before.classes->find(names[i]);
      if (old != nullptr && old->terms == terms[i]) CHECK_EQ(old->place, c->place);
    }
    for (const Open& o : open) CHECK(table.places.at(o.place) == o.terms);
    if (!open.empty() && draw() % 2 == 0) open.erase(open.begin());
    if (open.size() < 4) {
      const core::NamedClass& c = table.classes->named[draw() % table.classes->named.size()];
      open.push_back({c.place, c.terms});
    }
    widest = std::max(widest, table.places.size());
  }
  CHECK(widest <= 6 + 4 + 1);
}

void open_calls_of_too_many_classes_turn_a_file_down() {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < core::ClassTable::kMaxClasses; ++i) names.push_back(std::to_string(i));
  const std::vector<CallClass> terms(names.size());
  const auto full = core::assign_places({}, names, terms, {});
  CHECK(full.has_value());
  CHECK(!core::assign_places(*full, {"new"}, {CallClass{}}, std::vector<bool>(names.size(), true)));
  CHECK(core::assign_places(*full, {"new"}, {CallClass{}}, {}).has_value());
}

}  // namespace

int main() {
  what_is_broken_is_turned_down_whole();
  a_number_may_be_written_as_one_likes();
  the_reason_is_one_plain_line();
  open_calls_keep_class_and_attempts();
  ten_reloads_in_a_second_the_last_one_broken();
  places_hold_for_random_steps();
  open_calls_of_too_many_classes_turn_a_file_down();
}
