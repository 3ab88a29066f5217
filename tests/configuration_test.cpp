// Configuration that is distributed, at a gatekeeper: what it waits for, takes, refuses and tells, beside
// SIGHUP, upgrades and open calls; and what lays documents over a file.
#include "config/overlay.h"
#include "control/config_lines.h"
#include "control/subscription.h"
#include "lab.h"
#include "settings.h"

using namespace graniterun;
using namespace graniterun::test;
using namespace graniterun::control;
using namespace graniterun::distribution;
using nlohmann::json;

namespace {

constexpr ConnId kCaller{Concern::platform, 1};
constexpr ConnId kDesk{Concern::control, 1};

Key key_for_tests() {
  Key key{};
  key.fill(7);
  return key;
}

DeployConfig distributed(Duration wait = 2s) {
  DeployConfig d;
  d.control.emplace();
  d.control->listen = "127.0.0.1:7400";
  SubscriberSettings s;
  s.name = "t0";
  s.distributors = {"127.0.0.1:7501", "127.0.0.1:7502", "127.0.0.1:7503"};
  s.services = {"calls", "limits"};
  s.key = key_for_tests();
  s.wait = wait;
  s.seed = 3;
  d.configuration = std::move(s);
  return d;
}

ServiceConfig document(const std::string& service, Version version, const json& patch) {
  ServiceConfig d{service, {version, {}}, patch.dump()};
  d.id.digest = digest_of(key_for_tests(), service, version, d.content);
  return d;
}

json journal_at(int port) { return {{"journal", "127.0.0.1:" + std::to_string(port)}}; }

// The classes of the start configuration and those named, each like the first.
json classes_with(const std::vector<std::string>& more) {
  json s = settings();
  json classes = s["classes"];
  json holds = s["familyInfo"]["classHoldNs"];
  json pools = s["familyInfo"]["poolsByClass"];
  for (const std::string& name : more) {
    classes.push_back(classes[0]);
    classes.back()["name"] = name;
    holds.push_back(1000000000);
    pools.push_back({0});
  }
  return {{"settings",
           {{"classes", classes}, {"familyInfo", {{"classHoldNs", holds}, {"poolsByClass", pools}}}}}};
}

PlatformConfig inherited(PlatformConfig config) {
  config.inherited = 7;
  return config;
}

// A gatekeeper, and what its distributors are made to say. They all hold the same.
struct Fleet : Lab {
  explicit Fleet(const DeployConfig& deploy = distributed(),
                 const PlatformConfig& config = read_platform_config(file_with_two_servers().dump()))
      : Lab(config, deploy) {}

  // All connections that were asked for come up.
  void reach() {
    for (const net::Connect& c : std::exchange(connects, {})) {
      asked.push_back(c.address);
      if (c.conn.concern == Concern::configuration) {
        if (cut) {
          tell(net::ConnectFailed{c.conn, false});
          continue;
        }
        sources.push_back(c.conn);
      }
      tell(net::Connected{c.conn});
    }
  }
  bool is_open(ConnId conn) const { return std::find(closed.begin(), closed.end(), conn) == closed.end(); }
  void say(ConnId conn, const json& line) {
    if (is_open(conn)) receive(conn, line_of(line));
  }
  json notice(const std::vector<VersionsNotified::Entry>& held) const {
    json entries = json::array();
    for (const VersionsNotified::Entry& have : held) {
      const auto it = documents.find(have.service);
      if (it == documents.end() || it->second.id == have.id) continue;
      entries.push_back({{"service", have.service},
                         {"version", it->second.id.version},
                         {"digest", to_hex(it->second.id.digest)}});
    }
    return {{"event", "notices"}, {"entries", entries}, {"complete", true}, {"standing", "voting"}};
  }
  // Answers what the gatekeeper says, until it says nothing more.
  void serve() {
    for (bool any = true; std::exchange(any, false);) {
      for (const ConnId conn : std::vector<ConnId>(sources)) {
        std::istringstream text(take(conn));
        for (std::string line; std::getline(text, line);) {
          any = true;
          hear(conn, json::parse(line));
        }
      }
    }
  }
  void hear(ConnId conn, const json& line) {
    said.push_back(line);
    if (line["op"] == "heard") ++heard[conn];
    const auto event = parse_client_line(1, line);
    if (!event || mute) return;
    if (const auto* s = std::get_if<SubscriptionReceived>(&*event)) {
      subscribed[conn] = s->held;
      say(conn, notice(s->held));
    } else if (const auto* f = std::get_if<FetchRequested>(&*event)) {
      const auto it = documents.find(f->service);
      if (it == documents.end() || it->second.id.version != f->version)
        return say(conn, missing_line(f->service));
      say(conn, config_line(it->second));
    } else if (const auto* r = std::get_if<StatusReported>(&*event)) {
      reports.push_back(*r);
    }
  }
  void run(Duration span) {
    for (Duration done{}; done < span; done += 50ms) {
      reach();
      serve();
      pass(50ms);
    }
    reach();
    serve();
  }
  // A new document, of which all distributors tell.
  void publish(const ServiceConfig& d) {
    documents[d.service] = d;
    for (const ConnId conn : sources) say(conn, notice({{d.service, {}}}));
  }
  void published(const ServiceConfig& d) {
    publish(d);
    run(500ms);
  }
  std::string readyz() {
    const ConnId conn = open_management();
    receive(conn, "readyz\n");
    return take(conn);
  }
  std::string value(const std::string& name) {
    const std::string text = figure(name);
    return text.substr(0, text.find('|'));
  }
  Version in_force(const std::string& service) { return std::stoull(value("config_version." + service)); }
  json held() {
    receive(kDesk, R"({"op":"configuration","what":"held"})"
                   "\n");
    return json::parse(take(kDesk));
  }
  void load(const json& f) {
    tell(net::ReloadRequested{});
    tell(net::FileRead{"", f.dump()});
  }
  // What a set-up of the class is answered with at once; empty: it was sent on.
  std::vector<jsonl::Message> call(const std::string& id, const std::string& call_class) {
    receive(kCaller, set_up_line(id, call_class));
    return lines(kCaller);
  }
  // Whether the settings in force name the class: a call of it is refused for its class, or not.
  bool takes(const std::string& call_class) {
    static int calls = 0;
    std::string id = std::to_string(++calls);
    for (const jsonl::Message& m : call(std::string(16 - id.size(), '0') + id, call_class)) {
      if (m.field("reason") == "the class is not one of the settings") return false;
    }
    return true;
  }
  bool has_asked(int port) {
    return std::count(asked.begin(), asked.end(), "127.0.0.1:" + std::to_string(port)) > 0;
  }
  // Its last report of a service's version.
  const StatusReported* reported(const std::string& service, Version version) const {
    for (auto it = reports.rbegin(); it != reports.rend(); ++it) {
      if (it->service == service && it->id.version == version) return &*it;
    }
    return nullptr;
  }

  std::map<std::string, ServiceConfig> documents;  // what all distributors hold
  bool cut = false;                                // no distributor can be reached
  bool mute = false;                               // they hear, and answer nothing
  std::vector<ConnId> sources;                     // connections that came up, those that are over too
  std::vector<std::string> asked;                  // addresses that a connection was asked to
  std::vector<json> said;                          // by the gatekeeper
  std::map<ConnId, int> heard;
  std::map<ConnId, std::vector<VersionsNotified::Entry>> subscribed;
  std::vector<StatusReported> reports;
};

// One that is up and has what was published before.
struct Served : Fleet {
  explicit Served(const std::map<std::string, ServiceConfig>& all = {}) {
    documents = all;
    run(500ms);
    CHECK_EQ(readyz(), "OK ready\n");
    tell(net::Accepted{kCaller});
    tell(net::Accepted{kDesk});
  }
};

// ---- off

void without_the_key_nothing_is_done() {
  Gatekeeper off(read_platform_config(file_with_two_servers().dump()), {}, {});
  net::Effects effects;
  Time now{1'000'000s};
  off.step(now, net::Started{}, effects);
  std::size_t timers = 0;
  for (int i = 0; i < 3; ++i) {
    for (const net::Effect& effect : effects) {
      if (const auto* e = std::get_if<net::Connect>(&effect))
        CHECK(e->conn.concern != Concern::configuration);
      if (const auto* e = std::get_if<net::ArmTimer>(&effect)) {
        CHECK(e->key.concern != Concern::configuration);
        ++timers;
      }
    }
    now += 50ms;
    effects.clear();
    off.step(now, net::TimerFired{{Concern::configuration, 0}}, effects);
    CHECK(effects.empty());
  }
  CHECK(timers > 0);

  DeployConfig deploy;
  deploy.control.emplace();
  deploy.control->listen = "127.0.0.1:7400";
  Lab lab(read_platform_config(file_with_two_servers().dump()), deploy);
  lab.bring_up();
  CHECK_EQ(lab.figure("config_sources_up"), "none");
  CHECK_EQ(lab.figure("config_distribution_connects"), "none");
  lab.tell(net::Accepted{kDesk});
  lab.receive(kDesk, R"({"op":"configuration","what":"held"})"
                     "\n");
  CHECK_EQ(json::parse(lab.take(kDesk))["ok"], false);
}

// ---- the start

void it_is_ready_when_it_has_what_is_in_force() {
  Fleet lab(distributed(), inherited(read_platform_config(file_with_two_servers().dump())));
  lab.documents["calls"] = document("calls", 41, journal_at(8600));
  const auto listens = [&lab] {
    return std::any_of(lab.listens.begin(), lab.listens.end(),
                       [](const net::Listen& l) { return l.concern == Concern::platform; });
  };
  lab.reach();
  CHECK_EQ(lab.readyz(), "ERR the configuration in force is not told yet\n");
  CHECK(!listens());
  lab.run(500ms);
  CHECK_EQ(lab.readyz(), "OK ready\n");
  CHECK(listens());
  CHECK(lab.has_asked(8600));
  CHECK_EQ(lab.in_force("calls"), 41U);
  CHECK_EQ(lab.in_force("limits"), 0U);
  CHECK_EQ(lab.value("config_sources_up"), "2");
  CHECK(lab.log.find("calls, version 41, is in force") != std::string::npos);
  CHECK(lab.log.find("no distributor has told") == std::string::npos);
  // Each of its two connections subscribed with what it had, and answered each notice.
  CHECK_EQ(lab.subscribed.size(), 2U);
  for (const auto& [conn, held] : lab.subscribed) {
    CHECK_EQ(held.size(), 2U);
    CHECK(held[0].service == "calls" && held[1].service == "limits");
    CHECK_EQ(lab.heard[conn], 1);
  }
  CHECK_EQ(
      std::count_if(lab.said.begin(), lab.said.end(), [](const json& line) { return line["op"] == "fetch"; }),
      1);
}

void what_is_refused_at_the_start_does_not_hold_it_up() {
  Fleet lab;
  lab.documents["calls"] = document("calls", 41, {{"settings", {{"classes", "none"}}}});
  lab.run(500ms);
  CHECK_EQ(lab.readyz(), "OK ready\n");
  CHECK_EQ(lab.in_force("calls"), 0U);
  CHECK_EQ(lab.value("config_refused"), "1");
}

void it_waits_only_so_long() {
  Fleet lab;
  lab.cut = true;
  lab.run(1900ms);
  CHECK_EQ(lab.readyz(), "ERR the configuration in force is not told yet\n");
  lab.run(200ms);
  CHECK_EQ(lab.readyz(), "OK ready\n");
  CHECK(lab.log.find("no distributor has told all that is in force within 2000 ms: it serves on its start "
                     "configuration") != std::string::npos);
  CHECK_EQ(lab.value("config_distribution_waited_out"), "1");
  // What is told later is taken all the same.
  lab.cut = false;
  lab.documents["calls"] = document("calls", 41, journal_at(8600));
  lab.run(6s);
  CHECK_EQ(lab.in_force("calls"), 41U);
  CHECK(lab.has_asked(8600));

  Fleet none(distributed(0ms));
  none.cut = true;
  none.run(100ms);
  CHECK_EQ(none.readyz(), "OK ready\n");
}

// ---- changes

void a_change_is_taken_and_told() {
  Served lab;
  CHECK(!lab.takes("extra"));
  lab.published(document("calls", 7, classes_with({"extra"})));
  CHECK(lab.takes("extra"));
  const StatusReported* told = lab.reported("calls", 7);
  CHECK(told != nullptr && told->active && told->reason.empty());
  CHECK_EQ(std::count_if(lab.reports.begin(), lab.reports.end(),
                         [](const StatusReported& r) { return r.service == "calls" && r.active; }),
           2);  // both sources hear of it
  lab.published(document("limits", 3, {{"journal", "127.0.0.1:8600"}}));
  CHECK(lab.has_asked(8600));
  CHECK(lab.takes("extra"));  // the other service's stays
  lab.published(document("calls", 8, classes_with({"other"})));
  CHECK(lab.takes("other"));
  CHECK(!lab.takes("extra"));

  const json held = lab.held();
  CHECK_EQ(held["ok"], true);
  CHECK_EQ(held["current"], true);
  CHECK_EQ(held["services"].size(), 2U);
  CHECK_EQ(held["services"][0]["version"], 8);
  CHECK_EQ(held["services"][0]["digest"], to_hex(lab.documents["calls"].id.digest));
  CHECK_EQ(held["services"][1]["service"], "limits");
  CHECK_EQ(held["services"][1]["version"], 3);
  // Files are counted apart.
  CHECK_EQ(lab.value("config_applied"), "0");
  CHECK_EQ(lab.value("config_rejected"), "0");
  CHECK_EQ(lab.value("config_distribution_in_force"), "3");
  // An older one is none.
  lab.published(document("calls", 6, classes_with({"extra"})));
  CHECK(lab.takes("other"));
  CHECK_EQ(lab.in_force("calls"), 8U);
}

void a_refused_change_keeps_the_last_good() {
  Served lab;
  lab.published(document("calls", 7, classes_with({"extra"})));
  json bad = classes_with({"other"});
  bad["settings"]["classes"][0]["hardLimitNs"] = 0;
  lab.publish(document("calls", 8, bad));
  lab.published(document("limits", 1, journal_at(8600)));  // that one is not held up by it
  CHECK(lab.takes("extra"));
  CHECK(!lab.takes("other"));
  CHECK(lab.has_asked(8600));
  const StatusReported* told = lab.reported("calls", 8);
  CHECK(told != nullptr && !told->active);
  CHECK(told->reason.find("hardLimitNs' is 0, not a number above 0") != std::string::npos);
  CHECK(lab.log.find("calls, version 8, is refused, and what was in force stays: ") != std::string::npos);
  CHECK_EQ(lab.in_force("calls"), 7U);
  CHECK_EQ(lab.in_force("limits"), 1U);
  CHECK_EQ(lab.value("config_refused"), "1");
  CHECK_EQ(lab.value("config_rejected"), "0");  // files only
  const json held = lab.held()["services"][0];
  CHECK_EQ(held["version"], 7);
  CHECK_EQ(held["refused"]["version"], 8);
  CHECK_EQ(held["refused"]["reason"], told->reason);
  // The mend has a number above it.
  lab.published(document("calls", 9, classes_with({"other"})));
  CHECK(lab.takes("other"));
  CHECK_EQ(lab.value("config_refused"), "0");
}

// A document may not do what a file may not: drop what is set, or set what is not its own.
void what_no_document_may_do() {
  Served lab;
  Version version = 0;
  const std::vector<json> broken = {{{"settings", {{"limits", nullptr}}}},
                                    {{"journal", nullptr}},
                                    {{"settings", nullptr}},
                                    {{"settings", {{"limits", {{"maxAttempts", nullptr}}}}}},
                                    {{"listen", "127.0.0.1:2"}},
                                    {{"known", {{"pos", 9}}}},
                                    {{"settings", {{"classes", json::array()}}}},
                                    {{"journal", "nowhere"}},
                                    json::array({1})};
  for (const json& patch : broken) {
    lab.published(document("calls", ++version, patch));
    CHECK_EQ(lab.in_force("calls"), 0U);
    const StatusReported* told = lab.reported("calls", version);
    CHECK(told != nullptr && !told->active && !told->reason.empty());
  }
  // What a document has added goes with it.
  lab.published(document("calls", ++version, {{"settings", {{"more", {{"still", 1}}}}}}));
  CHECK_EQ(lab.in_force("calls"), version);
  lab.published(document("calls", ++version, journal_at(8600)));
  CHECK_EQ(lab.in_force("calls"), version);
  // A content that is not its digest's is passed over.
  ServiceConfig forged = document("calls", ++version, journal_at(8700));
  forged.content = journal_at(8701).dump();
  lab.published(forged);
  CHECK_EQ(lab.in_force("calls"), version - 1);
  CHECK(lab.value("config_distribution_unsound") != "0" &&
        lab.value("config_distribution_unsound") != "none");
  CHECK(!lab.has_asked(8700) && !lab.has_asked(8701));
}

// ---- beside SIGHUP

void a_file_and_a_document_hold_together() {
  Served lab;
  lab.published(document("calls", 1, classes_with({"extra"})));
  json other = file_with_two_servers();
  other["journal"] = "127.0.0.1:8700";
  lab.load(other);
  lab.run(200ms);
  CHECK_EQ(lab.value("config_applied"), "1");
  CHECK(lab.has_asked(8700));
  CHECK(lab.takes("extra"));  // the document lies over the new file
  // The document goes: what the file says holds again, and that is the new file.
  lab.published(document("calls", 2, json::object()));
  CHECK(!lab.takes("extra"));
  CHECK_EQ(lab.in_force("calls"), 2U);
  // A document over what the file says, and the file changed under it.
  lab.published(document("limits", 1, journal_at(8600)));
  CHECK(lab.has_asked(8600));
  other["journal"] = "127.0.0.1:8800";
  lab.load(other);
  lab.run(200ms);
  CHECK(!lab.has_asked(8800));
  lab.published(document("limits", 2, json::object()));
  CHECK(lab.has_asked(8800));
  CHECK_EQ(lab.value("config_applied"), "2");
}

// The file was asked for before the document came, and is read after it.
void a_change_crosses_a_reload_on_its_way() {
  Served lab;
  json other = file_with_two_servers();
  other["journal"] = "127.0.0.1:8700";
  lab.tell(net::ReloadRequested{});
  lab.published(document("calls", 1, classes_with({"extra"})));
  CHECK(lab.takes("extra"));
  lab.tell(net::FileRead{"", other.dump()});
  lab.run(100ms);
  CHECK(lab.has_asked(8700));
  CHECK(lab.takes("extra"));
  // A notice is told, the file is taken, then the document comes.
  lab.mute = true;
  lab.publish(document("calls", 2, classes_with({"other"})));
  lab.serve();
  other["journal"] = "127.0.0.1:8800";
  lab.load(other);
  lab.mute = false;
  lab.run(3s);
  CHECK(lab.has_asked(8800));
  CHECK(lab.takes("other"));
  CHECK_EQ(lab.in_force("calls"), 2U);
}

void what_was_refused_is_tried_on_the_next_file() {
  Served lab;
  // Without its pools the third class is none; the file that comes has them.
  json patch = classes_with({"extra"});
  patch["settings"]["familyInfo"].erase("poolsByClass");
  lab.published(document("calls", 1, patch));
  CHECK_EQ(lab.in_force("calls"), 0U);
  CHECK(!lab.reported("calls", 1)->active);
  json other = file_with_two_servers();
  other["settings"].merge_patch(classes_with({"third"})["settings"]);
  lab.load(other);
  lab.run(300ms);
  CHECK_EQ(lab.value("config_applied"), "1");
  CHECK_EQ(lab.in_force("calls"), 1U);
  CHECK(lab.reported("calls", 1)->active);
  CHECK(lab.takes("extra"));
  CHECK(!lab.takes("third"));
  CHECK_EQ(lab.value("config_refused"), "0");
}

void a_file_that_fails_over_the_documents_changes_nothing() {
  Served lab;
  lab.published(document("calls", 1, classes_with({"extra"})));
  // Good by itself: with classes of its own, whose keys the document's classes lack.
  json other = file_with_two_servers();
  other["journal"] = "127.0.0.1:8700";
  for (json& one : other["settings"]["classes"]) one["colour"] = "red";
  lab.load(other);
  lab.run(200ms);
  CHECK_EQ(lab.value("config_applied"), "0");
  CHECK_EQ(lab.value("config_rejected"), "1");
  CHECK(lab.log.find("the old configuration is kept: with the documents in force over it: ") !=
        std::string::npos);
  CHECK(!lab.has_asked(8700));
  CHECK(lab.takes("extra"));
  CHECK_EQ(lab.in_force("calls"), 1U);
  // One that would do over the documents, and not by itself: the next start would have it alone.
  json half = file_with_two_servers();
  half["journal"] = "127.0.0.1:8701";
  half["settings"]["classes"] = json::array();
  lab.load(half);
  lab.run(200ms);
  CHECK_EQ(lab.value("config_rejected"), "2");
  CHECK(!lab.has_asked(8701));
  // The old file is still what documents are laid over.
  lab.published(document("calls", 2, json::object()));
  CHECK(!lab.takes("extra"));
  CHECK(lab.takes("voice"));
  lab.load(other);  // and now it goes
  lab.run(200ms);
  CHECK_EQ(lab.value("config_applied"), "1");
  CHECK(lab.has_asked(8700));
}

// ---- upgrades

void a_change_during_an_upgrade_comes_to_both() {
  const PlatformConfig config = inherited(read_platform_config(file_with_two_servers().dump()));
  Fleet old(distributed(), config);
  old.documents["calls"] = document("calls", 1, classes_with({"extra"}));
  old.run(500ms);
  old.tell(net::Accepted{kCaller});
  CHECK(old.call("00000000000000aa", "extra").empty());
  Fleet fresh(distributed(), config);
  fresh.documents = old.documents;
  fresh.run(500ms);
  CHECK_EQ(fresh.readyz(), "OK ready\n");
  old.tell(net::StopRequested{});
  const ServiceConfig change = document("calls", 2, classes_with({"other"}));
  old.published(change);
  fresh.published(change);
  CHECK_EQ(old.in_force("calls"), 2U);
  CHECK_EQ(fresh.in_force("calls"), 2U);
  CHECK(old.reported("calls", 2)->active && fresh.reported("calls", 2)->active);
  CHECK(!old.exit_status);  // its call stands: of a class that is gone
  fresh.tell(net::Accepted{kCaller});
  CHECK(fresh.takes("other"));
  CHECK(!fresh.takes("extra"));
}

// A new process has the file alone, whatever the old one had, if no distributor can be reached.
void a_change_lasts_no_longer_than_its_process_but_by_distributors() {
  Served first;
  first.published(document("calls", 1, classes_with({"extra"})));
  CHECK(first.takes("extra"));
  Fleet second;
  second.cut = true;
  second.run(3s);
  second.tell(net::Accepted{kCaller});
  CHECK_EQ(second.readyz(), "OK ready\n");
  CHECK(!second.takes("extra"));
}

// ---- open calls

void open_calls_keep_their_class() {
  Served lab;
  CHECK(lab.call("00000000000000aa", "voice").empty());
  ConnId server{};
  const auto sent_on = [&lab, &server] {
    std::optional<sip::Message> found;
    for (std::uint32_t n = 1; n <= 2; ++n) {
      for (const sip::Message& m : lab.messages({Concern::server, n})) {
        if (m.method != "INVITE") continue;
        found = m;
        server = {Concern::server, n};
      }
    }
    CHECK(found.has_value());
    return *found;
  };
  const sip::Message invite = sent_on();
  // 'voice' goes, 'safety' is the first with other terms, and a call may be tried once only.
  json s = settings();
  s["classes"].erase(0);
  s["classes"][0]["promiseNs"] = 700000000;
  const json patch = {{"settings",
                       {{"classes", s["classes"]},
                        {"familyInfo", {{"classHoldNs", {6000000000}}, {"poolsByClass", {{0}}}}},
                        {"limits", {{"maxAttempts", 1}}}}}};
  lab.publish(document("calls", 1, patch));
  lab.run(200ms);
  CHECK_EQ(lab.in_force("calls"), 1U);
  CHECK_EQ(lab.call("00000000000000ab", "voice").size(), 1U);  // gone for new calls
  CHECK(lab.call("00000000000000ac", "safety").empty());
  const sip::Message safety = sent_on();
  const ConnId safety_server = server;
  for (std::uint32_t n = 1; n <= 2; ++n)
    lab.receive({Concern::server, n}, server_answer(invite, 503, {}, "Warning-Word: cpu_full\r\n"));
  const sip::Message again = sent_on();
  CHECK_EQ(std::string(again.header("Call-ID")), "00000000000000aa");
  CHECK_EQ(std::string(again.header("Priority-Class")), "voice");
  lab.receive(server, server_answer(again, 200, "answer"));
  CHECK_EQ(lab.value("ok.voice"), "1");
  lab.receive(safety_server, server_answer(safety, 200, "answer"));
  CHECK_EQ(lab.value("ok.safety"), "1");
  // It comes back, and goes again, while the first call stands.
  for (Version v = 2; v < 12; ++v) {
    lab.published(document("calls", v, v % 2 == 0 ? json::object() : patch));
    CHECK_EQ(lab.in_force("calls"), v);
    CHECK_EQ(lab.takes("voice"), v % 2 == 0);
  }
}

// ---- distributors that are no use

void garbage_closes_its_source_and_is_counted() {
  for (const std::string& bytes :
       {std::string("what?\n"), std::string("{}\n"), std::string("[1]\n"),
        std::string(R"({"event":"document","service":"calls","version":1,"digest":"12","content":"{}"})"
                    "\n"),
        std::string(R"({"event":"notices","entries":[{"service":"../x"}],"complete":true})"
                    "\n"),
        std::string("\xff\xfe\n"), std::string(R"({"event":"beat"})") + std::string(40 * 1024, ' '),
        std::string(33 * 1024, 'x') + "\n"}) {
    Served lab;
    lab.published(document("calls", 1, classes_with({"extra"})));
    const ConnId bad = lab.sources.at(0);
    lab.receive(bad, bytes);
    CHECK(!lab.is_open(bad));
    CHECK_EQ(lab.value("config_distribution_malformed"), "1");
    CHECK(lab.log.find("says what can't be read, and is given up") != std::string::npos);
    CHECK_EQ(lab.value("config_sources_up"), "1");
    CHECK(lab.is_open(lab.sources.at(1)));
    lab.receive(bad, "{}\n");  // what still comes of it is nobody's
    CHECK_EQ(lab.value("config_distribution_malformed"), "1");
    lab.run(10s);
    CHECK_EQ(lab.value("config_sources_up"), "2");
    CHECK(lab.takes("extra"));
    lab.published(document("calls", 2, classes_with({"other"})));
    CHECK(lab.takes("other"));
  }
}

// What comes after a bad line in the same piece is not heard, what came before it is.
void a_line_before_garbage_is_heard() {
  Served lab;
  const ConnId bad = lab.sources.at(0);
  const ServiceConfig change = document("calls", 1, classes_with({"extra"}));
  lab.documents["calls"] = change;
  lab.receive(bad, line_of(lab.notice({{"calls", {}}})) + "what?\nwhat?\n" + line_of(heartbeat_line()));
  CHECK_EQ(lab.value("config_distribution_malformed"), "1");
  CHECK_EQ(lab.value("config_distribution_lines_in"), "3");  // a notice of each at the start, and this one
  lab.run(10s);
  CHECK_EQ(lab.in_force("calls"), 1U);
}

void half_a_line_is_waited_for_and_not_for_ever() {
  Served lab;
  const ServiceConfig change = document("calls", 1, classes_with({"extra"}));
  lab.documents["calls"] = change;
  const std::string line = line_of(lab.notice({{"calls", {}}}));
  const ConnId slow = lab.sources.at(0);
  lab.receive(slow, line.substr(0, 30));
  lab.run(1s);
  CHECK_EQ(lab.in_force("calls"), 0U);
  lab.receive(slow, line.substr(30));
  lab.run(500ms);
  CHECK_EQ(lab.in_force("calls"), 1U);
  CHECK(lab.unread[slow].empty());
  // One that never ends what it began says nothing: byte by byte it is given up as silent.
  const ConnId other = lab.sources.at(1);
  lab.receive(other, R"({"event":")");
  for (int i = 0; i < 200 && lab.is_open(other); ++i) {
    lab.receive(other, "x");
    lab.say(slow, heartbeat_line());
    lab.run(100ms);
  }
  CHECK(!lab.is_open(other));
  CHECK(lab.is_open(slow));
  CHECK(lab.value("config_distribution_shut") != "none");
}

void beats_are_answered_and_a_stopped_source_is_left() {
  Served lab;
  const ConnId alive = lab.sources.at(0);
  const ConnId stopped = lab.sources.at(1);
  lab.said.clear();
  for (int i = 0; i < 4; ++i) {
    lab.say(alive, heartbeat_line());
    lab.run(5s);
  }
  CHECK(lab.is_open(alive));
  CHECK(!lab.is_open(stopped));
  CHECK(std::count_if(lab.said.begin(), lab.said.end(),
                      [](const json& line) { return line["op"] == "beat"; }) >= 4);
  CHECK(lab.sources.size() >= 3);
  CHECK_EQ(lab.value("config_sources_up"), "2");
}

// Nothing comes to an end by time.
void cut_off_for_hours_it_serves_on() {
  Served lab;
  lab.published(document("calls", 1, classes_with({"extra"})));
  lab.cut = true;
  for (const ConnId conn : lab.sources) lab.tell(net::Closed{conn, true});
  CHECK_EQ(lab.value("config_sources_up"), "0");
  const std::size_t lines = lab.said.size();
  for (int quarter = 0; quarter < 16; ++quarter) {
    for (Duration done{}; done < 15min; done += 1s) {
      lab.reach();
      for (std::uint32_t n = 1; n <= 2; ++n) {
        const ConnId server{Concern::server, n};
        for (const sip::Message& m : lab.messages(server)) {
          if (m.method == "OPTIONS") lab.receive(server, server_answer(m, 200));
        }
      }
      lab.pass(1s);
    }
    CHECK_EQ(lab.readyz(), "OK ready\n");
    CHECK_EQ(lab.in_force("calls"), 1U);
  }
  CHECK(lab.takes("extra"));
  CHECK_EQ(lab.said.size(), lines);
  // Some two a distributor and 5 s at most, once the pauses are long.
  const auto tries = std::stoull(lab.value("config_distribution_connects"));
  CHECK(tries > 1000 && tries < 20000);
  lab.cut = false;
  lab.documents["calls"] = document("calls", 9, classes_with({"other"}));
  lab.run(8s);
  CHECK_EQ(lab.in_force("calls"), 9U);
  CHECK(lab.takes("other"));
}

void a_flood_of_changes_is_no_flood_of_lines() {
  Served lab;
  const auto lines = [&lab](const std::string& text) {
    int found = 0;
    for (std::size_t at = 0; (at = lab.log.find(text, at)) != std::string::npos; ++at) ++found;
    return found;
  };
  CHECK_EQ(lines("a distributor is reached: 127.0.0.1:75"), 2);
  for (Version v = 1; v <= 40; ++v) {
    lab.publish(document("calls", v, classes_with({"c" + std::to_string(v)})));
    lab.run(50ms);
  }
  CHECK_EQ(lab.value("config_distribution_in_force"), "40");
  CHECK(lines("is in force") >= 8 && lines("is in force") <= 16);
  CHECK(lab.log.find(" more since the last line)") != std::string::npos);
}

// ---- the class without a gatekeeper, as others may use it

void it_stands_alone_and_beside_others() {
  Counters counters;
  std::vector<std::vector<ServiceConfig>> sets;
  SubscriberSettings settings = *distributed().configuration;
  std::string trouble;
  Subscription subscription(
      settings, counters,
      [&](Time, const std::vector<ServiceConfig>& all, Outbox&) -> std::optional<std::string> {
        if (!trouble.empty()) return trouble;
        sets.push_back(all);
        return std::nullopt;
      },
      {5, 100});
  Time now{1'000s};
  Outbox out;
  subscription.start(now, out);
  std::vector<ConnId> conns;
  std::optional<net::TimerKey> timer;
  for (const net::Effect& effect : out.net) {
    if (const auto* e = std::get_if<net::Connect>(&effect)) conns.push_back(e->conn);
    if (const auto* e = std::get_if<net::ArmTimer>(&effect)) timer = e->key;
  }
  CHECK_EQ(conns.size(), kSources);
  for (std::size_t i = 0; i < conns.size(); ++i) CHECK_EQ(conns[i].number, 6 + 100 * i);
  CHECK(timer && timer->number == 5);
  subscription.on(now, net::Connected{conns[0]}, out);
  const ServiceConfig change = document("calls", 1, journal_at(8600));
  Fleet speaker;
  speaker.documents["calls"] = change;
  const auto tell = [&](const json& line) {
    const std::string bytes = line_of(line);
    subscription.on(now, net::Received{conns[0], bytes}, out);
  };
  tell(speaker.notice({{"calls", {}}}));
  tell(config_line(change));
  for (int i = 0; i < 10; ++i) {
    now += 50ms;
    subscription.on(now, net::TimerFired{*timer}, out);
  }
  CHECK_EQ(sets.size(), 1U);
  CHECK(sets[0] == std::vector<ServiceConfig>{change});
  CHECK(subscription.ready());
  CHECK_EQ(counters.of("config.distribution.sets_taken"), 1U);

  // A reason of somebody's settings goes on as one plain line of a bounded length.
  trouble = "bad\nline " + std::string(10'000, 'x');
  const ServiceConfig next = document("calls", 2, journal_at(8700));
  speaker.documents["calls"] = next;
  tell(speaker.notice({{"calls", {}}}));
  out.net.clear();
  tell(config_line(next));
  for (int i = 0; i < 10; ++i) {
    now += 50ms;
    subscription.on(now, net::TimerFired{*timer}, out);
  }
  bool logged = false;
  for (const net::Effect& effect : out.net) {
    const auto* e = std::get_if<net::Log>(&effect);
    if (e == nullptr || e->text.find("is refused") == std::string::npos) continue;
    logged = true;
    CHECK(e->text.find('\n') == std::string::npos && e->text.size() < 700);
  }
  CHECK(logged);
  CHECK_EQ(counters.of("config.distribution.refused"), 1U);
}

// ---- documents over a file

void documents_lie_over_each_other_in_their_order() {
  const std::string base = file_with_two_servers().dump();
  CHECK_EQ(json::parse(with_overlay(base, {})), file_with_two_servers());
  const auto laid = [&base](const std::vector<ServiceConfig>& all) {
    return json::parse(with_overlay(base, all));
  };
  const json both = laid({document("a", 1, {{"journal", "127.0.0.1:1"}, {"settings", {{"me", 2}}}}),
                          document("b", 1, {{"journal", "127.0.0.1:2"}})});
  json expected = file_with_two_servers();
  expected["journal"] = "127.0.0.1:2";
  expected["settings"]["me"] = 2;
  CHECK_EQ(both, expected);
  // RFC 7396: null takes away, a list is replaced whole.
  const json less =
      laid({document("a", 1, {{"settings", {{"areas", {"x"}}, {"limits", {{"peers", nullptr}}}}}})});
  CHECK_EQ(less["settings"]["areas"], json::array({"x"}));
  CHECK(!less["settings"]["limits"].contains("peers"));
  CHECK(less["settings"]["limits"].contains("cancel"));
}

template <class Act>
std::string trouble_of(Act act) {
  try {
    act();
  } catch (const ConfigError& e) {
    return e.what();
  }
  return {};
}

void documents_have_bounds() {
  const std::string base = file_with_two_servers().dump();
  const auto trouble = [&base](const std::string& content) {
    return trouble_of([&] { with_overlay(base, {ServiceConfig{"a", {4, {}}, content}}); });
  };
  CHECK_EQ(trouble(R"({"name":"x"})"),
           "the document of 'a', version 4, sets 'name': only 'settings' and 'journal' may be set");
  CHECK_EQ(trouble("{"), "the document of 'a', version 4, is no JSON object");
  CHECK_EQ(trouble(""), "the document of 'a', version 4, is no JSON object");
  CHECK_EQ(trouble("null"), "the document of 'a', version 4, is no JSON object");
  CHECK_EQ(trouble("[]"), "the document of 'a', version 4, is no JSON object");
  CHECK(trouble(R"({"settings":")" + std::string(distribution::kMaxConfigBytes, 'x') + "\"}")
            .find("longer than 12288") != std::string::npos);
  const auto nested = [](int depth) {
    return R"({"settings":)" + std::string(static_cast<std::size_t>(depth), '[') +
           std::string(static_cast<std::size_t>(depth), ']') + "}";
  };
  CHECK_EQ(trouble(nested(60)), "");
  CHECK(trouble(nested(70)).find("deeper than 64") != std::string::npos);
  CHECK(trouble(nested(6000)).find("deeper than 64") != std::string::npos);
  CHECK(trouble(std::string(6000, '[')).find("the document of 'a'") == 0);
  // As deep as where it is published, and no deeper.
  for (int depth = 50; depth < 80; ++depth) {
    bool publishable = true;
    try {
      canonical_patch(nested(depth));
    } catch (const ProtocolError&) {
      publishable = false;
    }
    CHECK_EQ(trouble(nested(depth)).empty(), publishable);
  }
  std::vector<ServiceConfig> many(kMaxSubscribedServices, ServiceConfig{"a", {1, {}}, "{}"});
  CHECK_EQ(trouble_of([&] { with_overlay(base, many); }), "");
  many.push_back(many.back());
  CHECK_EQ(trouble_of([&] { with_overlay(base, many); }), "there are more than 64 documents");
  CHECK(!trouble_of([&] { with_overlay("", {}); }).empty());
  CHECK(!trouble_of([&] { with_overlay("[]", {}); }).empty());
}

// ---- the deploy file

void the_deploy_key() {
  const json good = {{"distributors", {"127.0.0.1:1", "127.0.0.1:2"}},
                     {"services", {"calls", "limits.eu-1"}},
                     {"key_file", "/k"}};
  const auto read = [](const json& key, const std::string& name = "t0") {
    return read_deploy_config(json{{"configuration", key}}.dump(), {}, {}, name);
  };
  const DeployConfig c = read(good);
  CHECK(c.configuration.has_value());
  CHECK_EQ(c.configuration->name, "t0");
  CHECK_EQ(c.configuration->distributors.size(), 2U);
  CHECK_EQ(c.configuration->services.at(1), "limits.eu-1");
  CHECK(c.configuration->wait == 2s);
  CHECK_EQ(c.configuration_key_file, "/k");
  CHECK(!read_deploy_config("{}", {}, {}, "t0").configuration);
  json patient = good;
  patient["wait_ms"] = 60'000;
  CHECK(read(patient).configuration->wait == 60s);
  patient["wait_ms"] = 0;
  CHECK(read(patient).configuration->wait == 0s);

  json many = json::array();
  for (int i = 0; i < 64; ++i) many.push_back("127.0.0.1:" + std::to_string(i + 1));
  json names = json::array();
  for (int i = 0; i < 64; ++i) names.push_back("s" + std::to_string(i));
  json full = good;
  full["distributors"] = many;
  full["services"] = names;
  CHECK_EQ(read(full).configuration->services.size(), 64U);
  many.push_back("127.0.0.1:99");
  names.push_back("s64");

  const auto bad = [&](const char* key, const json& value) {
    json one = good;
    one[key] = value;
    CHECK(!trouble_of([&] { read(one); }).empty());
  };
  for (const json& value : std::vector<json>{json::array(),
                                             "127.0.0.1:1",
                                             json::object(),
                                             {"nowhere"},
                                             {1},
                                             {"127.0.0.1:1", "127.0.0.1:1"},
                                             many,
                                             nullptr})
    bad("distributors", value);
  for (const json& value : std::vector<json>{
           json::array(), "calls", {""}, {"a b"}, {std::string(65, 'a')}, {"a", "a"}, {1}, names, nullptr})
    bad("services", value);
  for (const json& value : std::vector<json>{-1, 60'001, 1.5, "2000", nullptr}) bad("wait_ms", value);
  for (const json& value : std::vector<json>{1, nullptr, json::array()}) bad("key_file", value);
  bad("wait", 5);
  for (const char* key : {"distributors", "services", "key_file"}) {
    json one = good;
    one.erase(key);
    CHECK(!trouble_of([&] { read(one); }).empty());
  }
  for (const json& whole : std::vector<json>{nullptr, json::array(), "x", json::object()})
    CHECK(!trouble_of([&] { read(whole); }).empty());
  CHECK(!trouble_of([&] { read(good, ""); }).empty());
  CHECK(!trouble_of([&] { read(good, "a\nb"); }).empty());
  CHECK(!trouble_of([&] { read(good, std::string(256, 'a')); }).empty());
}

}  // namespace

int main() {
  documents_lie_over_each_other_in_their_order();
  documents_have_bounds();
  the_deploy_key();
  without_the_key_nothing_is_done();
  it_is_ready_when_it_has_what_is_in_force();
  what_is_refused_at_the_start_does_not_hold_it_up();
  it_waits_only_so_long();
  a_change_is_taken_and_told();
  a_refused_change_keeps_the_last_good();
  what_no_document_may_do();
  a_file_and_a_document_hold_together();
  a_change_crosses_a_reload_on_its_way();
  what_was_refused_is_tried_on_the_next_file();
  a_file_that_fails_over_the_documents_changes_nothing();
  a_change_during_an_upgrade_comes_to_both();
  a_change_lasts_no_longer_than_its_process_but_by_distributors();
  open_calls_keep_their_class();
  garbage_closes_its_source_and_is_counted();
  a_line_before_garbage_is_heard();
  half_a_line_is_waited_for_and_not_for_ever();
  beats_are_answered_and_a_stopped_source_is_left();
  cut_off_for_hours_it_serves_on();
  a_flood_of_changes_is_no_flood_of_lines();
  it_stands_alone_and_beside_others();
}
