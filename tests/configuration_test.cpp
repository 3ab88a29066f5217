// Distributed configuration at a gatekeeper: the startup wait, applying, rejecting and reporting, together
// with SIGHUP, upgrades and open calls; and the overlay of service configurations on the settings file.
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
constexpr ConnId kOperator{Concern::control, 1};

Key test_key() {
  Key key{};
  key.fill(7);
  return key;
}

DeployConfig deploy_config_with_distributors(Duration wait = 2s) {
  DeployConfig d;
  d.control.emplace();
  d.control->listen = "127.0.0.1:7400";
  SubscriberSettings s;
  s.name = "t0";
  s.distributors = {"127.0.0.1:7501", "127.0.0.1:7502", "127.0.0.1:7503"};
  s.services = {"calls", "limits"};
  s.key = test_key();
  s.startup_timeout = wait;
  s.seed = 3;
  d.configuration = std::move(s);
  return d;
}

ServiceConfig make_config(const std::string& service, Version version, const json& patch) {
  ServiceConfig d{service, {version, {}}, patch.dump()};
  d.id.digest = digest_of(test_key(), service, version, d.content);
  return d;
}

json journal_patch(int port) { return {{"journal", "127.0.0.1:" + std::to_string(port)}}; }

// A patch with the classes of the start configuration and the named ones, each a copy of the first.
json patch_with_classes(const std::vector<std::string>& more) {
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

PlatformConfig with_inherited_descriptor(PlatformConfig config) {
  config.inherited_socket = 7;
  return config;
}

// A gatekeeper with simulated distributors, which all have the same configurations.
struct GatekeeperFixture : GatekeeperLab {
  explicit GatekeeperFixture(
      const DeployConfig& deploy = deploy_config_with_distributors(),
      const PlatformConfig& config = read_platform_config(file_with_two_servers().dump()))
      : GatekeeperLab(config, deploy) {}

  // Completes all pending connects: successfully, except those to distributors while they are unreachable.
  void open_pending_connections() {
    for (const net::Connect& c : std::exchange(connects, {})) {
      connect_addresses.push_back(c.address);
      if (c.conn.concern == Concern::configuration) {
        if (unreachable) {
          deliver(net::ConnectFailed{c.conn, false});
          continue;
        }
        sources.push_back(c.conn);
      }
      deliver(net::Connected{c.conn});
    }
  }
  bool is_open(ConnId conn) const { return std::find(closed.begin(), closed.end(), conn) == closed.end(); }
  void send_line(ConnId conn, const json& line) {
    if (is_open(conn)) receive(conn, line_of(line));
  }
  json notification_for(const std::vector<VersionsNotified::Entry>& held) const {
    json entries = json::array();
    for (const VersionsNotified::Entry& have : held) {
      const auto it = configs.find(have.service);
      if (it == configs.end() || it->second.id == have.id) continue;
      entries.push_back({{"service", have.service},
                         {"version", it->second.id.version},
                         {"digest", to_hex(it->second.id.digest)}});
    }
    return {{"event", "notices"}, {"entries", entries}, {"complete", true}, {"standing", "voting"}};
  }
  // Answers the gatekeeper's lines until it sends no more.
  void answer_lines() {
    for (bool any = true; std::exchange(any, false);) {
      for (const ConnId conn : std::vector<ConnId>(sources)) {
        std::istringstream text(take_sent(conn));
        for (std::string line; std::getline(text, line);) {
          any = true;
          handle_line(conn, json::parse(line));
        }
      }
    }
  }
  void handle_line(ConnId conn, const json& line) {
    gatekeeper_lines.push_back(line);
    if (line["op"] == "heard") ++acknowledgements[conn];
    const auto event = parse_client_line(1, line);
    if (!event || silent) return;
    if (const auto* s = std::get_if<SubscriptionReceived>(&*event)) {
      subscribed[conn] = s->held;
      send_line(conn, notification_for(s->held));
    } else if (const auto* f = std::get_if<FetchRequested>(&*event)) {
      const auto it = configs.find(f->service);
      if (it == configs.end() || it->second.id.version != f->version)
        return send_line(conn, missing_line(f->service));
      send_line(conn, config_line(it->second));
    } else if (const auto* r = std::get_if<StatusReported>(&*event)) {
      reports.push_back(*r);
    }
  }
  void run(Duration span) {
    for (Duration done{}; done < span; done += 50ms) {
      open_pending_connections();
      answer_lines();
      advance(50ms);
    }
    open_pending_connections();
    answer_lines();
  }
  // Sets a new configuration and lets all distributors notify it.
  void publish(const ServiceConfig& d) {
    configs[d.service] = d;
    for (const ConnId conn : sources) send_line(conn, notification_for({{d.service, {}}}));
  }
  void publish_and_run(const ServiceConfig& d) {
    publish(d);
    run(500ms);
  }
  std::string readyz() {
    const ConnId conn = open_management();
    receive(conn, "readyz\n");
    return take_sent(conn);
  }
  std::string value(const std::string& name) {
    const std::string text = telemetry_metric(name);
    return text.substr(0, text.find('|'));
  }
  Version active_version(const std::string& service) {
    return std::stoull(value("config_version." + service));
  }
  json held_report() {
    receive(kOperator, R"({"op":"configuration","what":"held"})"
                       "\n");
    return json::parse(take_sent(kOperator));
  }
  void reload(const json& f) {
    deliver(net::ReloadRequested{});
    deliver(net::FileRead{"", f.dump()});
  }
  // Sends a setup and returns what it is answered with at once; empty if it was forwarded.
  std::vector<jsonl::Message> send_setup(const std::string& id, const std::string& call_class) {
    receive(kCaller, setup_line(id, call_class));
    return lines(kCaller);
  }
  // Whether the active settings have the class: a setup of an unknown class is rejected for that reason.
  bool accepts_class(const std::string& call_class) {
    static int calls = 0;
    std::string id = std::to_string(++calls);
    for (const jsonl::Message& m : send_setup(std::string(16 - id.size(), '0') + id, call_class)) {
      if (m.field("reason") == "the class is not one of the settings") return false;
    }
    return true;
  }
  bool has_connected_to(int port) {
    return std::count(connect_addresses.begin(), connect_addresses.end(),
                      "127.0.0.1:" + std::to_string(port)) > 0;
  }
  // The gatekeeper's last report of a service's version, or null.
  const StatusReported* last_report(const std::string& service, Version version) const {
    for (auto it = reports.rbegin(); it != reports.rend(); ++it) {
      if (it->service == service && it->id.version == version) return &*it;
    }
    return nullptr;
  }

  std::map<std::string, ServiceConfig> configs;  // of all distributors
  bool unreachable = false;                      // no distributor can be reached
  bool silent = false;                           // distributors read, and answer nothing
  std::vector<ConnId> sources;                   // established connections, including closed ones
  std::vector<std::string> connect_addresses;    // addresses that the gatekeeper connected to
  std::vector<json> gatekeeper_lines;            // sent by the gatekeeper to distributors
  std::map<ConnId, int> acknowledgements;
  std::map<ConnId, std::vector<VersionsNotified::Entry>> subscribed;
  std::vector<StatusReported> reports;
};

// A ready gatekeeper that has applied `all`, with a caller's and an operator's connection.
struct ReadyGatekeeper : GatekeeperFixture {
  explicit ReadyGatekeeper(const std::map<std::string, ServiceConfig>& all = {}) {
    configs = all;
    run(500ms);
    CHECK_EQ(readyz(), "OK ready\n");
    deliver(net::Accepted{kCaller});
    deliver(net::Accepted{kOperator});
  }
};

// ---- without distribution

void without_the_settings_key_nothing_is_opened() {
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
  GatekeeperLab lab(read_platform_config(file_with_two_servers().dump()), deploy);
  lab.bring_up();
  CHECK_EQ(lab.telemetry_metric("config_sources_up"), "none");
  CHECK_EQ(lab.telemetry_metric("config_distribution_connects"), "none");
  lab.deliver(net::Accepted{kOperator});
  lab.receive(kOperator, R"({"op":"configuration","what":"held"})"
                         "\n");
  CHECK_EQ(json::parse(lab.take_sent(kOperator))["ok"], false);
}

// ---- startup

void ready_when_committed_configs_are_active() {
  GatekeeperFixture lab(deploy_config_with_distributors(),
                        with_inherited_descriptor(read_platform_config(file_with_two_servers().dump())));
  lab.configs["calls"] = make_config("calls", 41, journal_patch(8600));
  const auto listens = [&lab] {
    return std::any_of(lab.listens.begin(), lab.listens.end(),
                       [](const net::Listen& l) { return l.concern == Concern::platform; });
  };
  lab.open_pending_connections();
  CHECK_EQ(lab.readyz(), "ERR the configuration in force is not told yet\n");
  CHECK(!listens());
  lab.run(500ms);
  CHECK_EQ(lab.readyz(), "OK ready\n");
  CHECK(listens());
  CHECK(lab.has_connected_to(8600));
  CHECK_EQ(lab.active_version("calls"), 41U);
  CHECK_EQ(lab.active_version("limits"), 0U);
  CHECK_EQ(lab.value("config_sources_up"), "2");
  CHECK(lab.log.find("calls, version 41, is in force") != std::string::npos);
  CHECK(lab.log.find("no distributor has told") == std::string::npos);
  // Each of the two connections subscribed with both services and acknowledged its one notification.
  CHECK_EQ(lab.subscribed.size(), 2U);
  for (const auto& [conn, held] : lab.subscribed) {
    CHECK_EQ(held.size(), 2U);
    CHECK(held[0].service == "calls" && held[1].service == "limits");
    CHECK_EQ(lab.acknowledgements[conn], 1);
  }
  CHECK_EQ(std::count_if(lab.gatekeeper_lines.begin(), lab.gatekeeper_lines.end(),
                         [](const json& line) { return line["op"] == "fetch"; }),
           1);
}

void config_rejected_at_startup_does_not_delay_readiness() {
  GatekeeperFixture lab;
  lab.configs["calls"] = make_config("calls", 41, {{"settings", {{"classes", "none"}}}});
  lab.run(500ms);
  CHECK_EQ(lab.readyz(), "OK ready\n");
  CHECK_EQ(lab.active_version("calls"), 0U);
  CHECK_EQ(lab.value("config_refused"), "1");
}

void startup_wait_is_bounded() {
  GatekeeperFixture lab;
  lab.unreachable = true;
  lab.run(1900ms);
  CHECK_EQ(lab.readyz(), "ERR the configuration in force is not told yet\n");
  lab.run(200ms);
  CHECK_EQ(lab.readyz(), "OK ready\n");
  CHECK(lab.log.find("no distributor has told all that is in force within 2000 ms: it serves on its start "
                     "configuration") != std::string::npos);
  CHECK_EQ(lab.value("config_distribution_waited_out"), "1");
  // A configuration that is notified later is applied.
  lab.unreachable = false;
  lab.configs["calls"] = make_config("calls", 41, journal_patch(8600));
  lab.run(6s);
  CHECK_EQ(lab.active_version("calls"), 41U);
  CHECK(lab.has_connected_to(8600));

  GatekeeperFixture none(deploy_config_with_distributors(0ms));
  none.unreachable = true;
  none.run(100ms);
  CHECK_EQ(none.readyz(), "OK ready\n");
}

// ---- changes

void change_is_applied_and_reported() {
  ReadyGatekeeper lab;
  CHECK(!lab.accepts_class("extra"));
  lab.publish_and_run(make_config("calls", 7, patch_with_classes({"extra"})));
  CHECK(lab.accepts_class("extra"));
  const StatusReported* report = lab.last_report("calls", 7);
  CHECK(report != nullptr && report->active && report->reason.empty());
  CHECK_EQ(std::count_if(lab.reports.begin(), lab.reports.end(),
                         [](const StatusReported& r) { return r.service == "calls" && r.active; }),
           2);  // both sources get the report
  lab.publish_and_run(make_config("limits", 3, {{"journal", "127.0.0.1:8600"}}));
  CHECK(lab.has_connected_to(8600));
  CHECK(lab.accepts_class("extra"));  // the configuration of the other service stays active
  lab.publish_and_run(make_config("calls", 8, patch_with_classes({"other"})));
  CHECK(lab.accepts_class("other"));
  CHECK(!lab.accepts_class("extra"));

  const json held = lab.held_report();
  CHECK_EQ(held["ok"], true);
  CHECK_EQ(held["current"], true);
  CHECK_EQ(held["services"].size(), 2U);
  CHECK_EQ(held["services"][0]["version"], 8);
  CHECK_EQ(held["services"][0]["digest"], to_hex(lab.configs["calls"].id.digest));
  CHECK_EQ(held["services"][1]["service"], "limits");
  CHECK_EQ(held["services"][1]["version"], 3);
  // Settings files have counters of their own.
  CHECK_EQ(lab.value("config_applied"), "0");
  CHECK_EQ(lab.value("config_rejected"), "0");
  CHECK_EQ(lab.value("config_distribution_in_force"), "3");
  // An older version is ignored.
  lab.publish_and_run(make_config("calls", 6, patch_with_classes({"extra"})));
  CHECK(lab.accepts_class("other"));
  CHECK_EQ(lab.active_version("calls"), 8U);
}

void rejected_change_keeps_the_active_config() {
  ReadyGatekeeper lab;
  lab.publish_and_run(make_config("calls", 7, patch_with_classes({"extra"})));
  json bad = patch_with_classes({"other"});
  bad["settings"]["classes"][0]["hardLimitNs"] = 0;
  lab.publish(make_config("calls", 8, bad));
  lab.publish_and_run(make_config("limits", 1, journal_patch(8600)));  // not delayed by the rejection
  CHECK(lab.accepts_class("extra"));
  CHECK(!lab.accepts_class("other"));
  CHECK(lab.has_connected_to(8600));
  const StatusReported* report = lab.last_report("calls", 8);
  CHECK(report != nullptr && !report->active);
  CHECK(report->reason.find("hardLimitNs' is 0, not a number above 0") != std::string::npos);
  CHECK(lab.log.find("calls, version 8, is refused, and what was in force stays: ") != std::string::npos);
  CHECK_EQ(lab.active_version("calls"), 7U);
  CHECK_EQ(lab.active_version("limits"), 1U);
  CHECK_EQ(lab.value("config_refused"), "1");
  CHECK_EQ(lab.value("config_rejected"), "0");  // counts files only
  const json held = lab.held_report()["services"][0];
  CHECK_EQ(held["version"], 7);
  CHECK_EQ(held["refused"]["version"], 8);
  CHECK_EQ(held["refused"]["reason"], report->reason);
  // A newer version corrects it.
  lab.publish_and_run(make_config("calls", 9, patch_with_classes({"other"})));
  CHECK(lab.accepts_class("other"));
  CHECK_EQ(lab.value("config_refused"), "0");
}

// A configuration must not remove required settings, and may set only 'settings' and 'journal'.
void config_outside_its_limits_is_rejected() {
  ReadyGatekeeper lab;
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
    lab.publish_and_run(make_config("calls", ++version, patch));
    CHECK_EQ(lab.active_version("calls"), 0U);
    const StatusReported* report = lab.last_report("calls", version);
    CHECK(report != nullptr && !report->active && !report->reason.empty());
  }
  // Keys that a configuration has added are removed with it.
  lab.publish_and_run(make_config("calls", ++version, {{"settings", {{"more", {{"still", 1}}}}}}));
  CHECK_EQ(lab.active_version("calls"), version);
  lab.publish_and_run(make_config("calls", ++version, journal_patch(8600)));
  CHECK_EQ(lab.active_version("calls"), version);
  // Content that does not match its digest is ignored.
  ServiceConfig forged = make_config("calls", ++version, journal_patch(8700));
  forged.content = journal_patch(8701).dump();
  lab.publish_and_run(forged);
  CHECK_EQ(lab.active_version("calls"), version - 1);
  CHECK(lab.value("config_distribution_unsound") != "0" &&
        lab.value("config_distribution_unsound") != "none");
  CHECK(!lab.has_connected_to(8700) && !lab.has_connected_to(8701));
}

// ---- together with SIGHUP

void reloaded_file_and_config_are_merged() {
  ReadyGatekeeper lab;
  lab.publish_and_run(make_config("calls", 1, patch_with_classes({"extra"})));
  json other = file_with_two_servers();
  other["journal"] = "127.0.0.1:8700";
  lab.reload(other);
  lab.run(200ms);
  CHECK_EQ(lab.value("config_applied"), "1");
  CHECK(lab.has_connected_to(8700));
  CHECK(lab.accepts_class("extra"));  // the configuration overlays the new file
  // With an empty configuration the file's values are active again, those of the new file.
  lab.publish_and_run(make_config("calls", 2, json::object()));
  CHECK(!lab.accepts_class("extra"));
  CHECK_EQ(lab.active_version("calls"), 2U);
  // A configuration overrides a value of the file, and the file changes that value.
  lab.publish_and_run(make_config("limits", 1, journal_patch(8600)));
  CHECK(lab.has_connected_to(8600));
  other["journal"] = "127.0.0.1:8800";
  lab.reload(other);
  lab.run(200ms);
  CHECK(!lab.has_connected_to(8800));
  lab.publish_and_run(make_config("limits", 2, json::object()));
  CHECK(lab.has_connected_to(8800));
  CHECK_EQ(lab.value("config_applied"), "2");
}

// The reload begins before the configuration arrives, and the file is read after it.
void change_racing_a_reload_is_applied_with_it() {
  ReadyGatekeeper lab;
  json other = file_with_two_servers();
  other["journal"] = "127.0.0.1:8700";
  lab.deliver(net::ReloadRequested{});
  lab.publish_and_run(make_config("calls", 1, patch_with_classes({"extra"})));
  CHECK(lab.accepts_class("extra"));
  lab.deliver(net::FileRead{"", other.dump()});
  lab.run(100ms);
  CHECK(lab.has_connected_to(8700));
  CHECK(lab.accepts_class("extra"));
  // The notification arrives, the file is applied, then the configuration is delivered.
  lab.silent = true;
  lab.publish(make_config("calls", 2, patch_with_classes({"other"})));
  lab.answer_lines();
  other["journal"] = "127.0.0.1:8800";
  lab.reload(other);
  lab.silent = false;
  lab.run(3s);
  CHECK(lab.has_connected_to(8800));
  CHECK(lab.accepts_class("other"));
  CHECK_EQ(lab.active_version("calls"), 2U);
}

void rejected_config_is_retried_on_the_next_file() {
  ReadyGatekeeper lab;
  // The third class has no pools, so the patch is rejected; the next file has them.
  json patch = patch_with_classes({"extra"});
  patch["settings"]["familyInfo"].erase("poolsByClass");
  lab.publish_and_run(make_config("calls", 1, patch));
  CHECK_EQ(lab.active_version("calls"), 0U);
  CHECK(!lab.last_report("calls", 1)->active);
  json other = file_with_two_servers();
  other["settings"].merge_patch(patch_with_classes({"third"})["settings"]);
  lab.reload(other);
  lab.run(300ms);
  CHECK_EQ(lab.value("config_applied"), "1");
  CHECK_EQ(lab.active_version("calls"), 1U);
  CHECK(lab.last_report("calls", 1)->active);
  CHECK(lab.accepts_class("extra"));
  CHECK(!lab.accepts_class("third"));
  CHECK_EQ(lab.value("config_refused"), "0");
}

void file_that_fails_under_the_active_configs_changes_nothing() {
  ReadyGatekeeper lab;
  lab.publish_and_run(make_config("calls", 1, patch_with_classes({"extra"})));
  // The file is valid by itself: its classes have a key that the classes of the configuration lack.
  json other = file_with_two_servers();
  other["journal"] = "127.0.0.1:8700";
  for (json& one : other["settings"]["classes"]) one["colour"] = "red";
  lab.reload(other);
  lab.run(200ms);
  CHECK_EQ(lab.value("config_applied"), "0");
  CHECK_EQ(lab.value("config_rejected"), "1");
  CHECK(lab.log.find("the old configuration is kept: with the documents in force over it: ") !=
        std::string::npos);
  CHECK(!lab.has_connected_to(8700));
  CHECK(lab.accepts_class("extra"));
  CHECK_EQ(lab.active_version("calls"), 1U);
  // A file that is valid under the configurations but not by itself is rejected: the next start may have it
  // alone.
  json half = file_with_two_servers();
  half["journal"] = "127.0.0.1:8701";
  half["settings"]["classes"] = json::array();
  lab.reload(half);
  lab.run(200ms);
  CHECK_EQ(lab.value("config_rejected"), "2");
  CHECK(!lab.has_connected_to(8701));
  // The old file is still the base of the overlay.
  lab.publish_and_run(make_config("calls", 2, json::object()));
  CHECK(!lab.accepts_class("extra"));
  CHECK(lab.accepts_class("voice"));
  lab.reload(other);  // valid, now that the overlay is empty
  lab.run(200ms);
  CHECK_EQ(lab.value("config_applied"), "1");
  CHECK(lab.has_connected_to(8700));
}

// ---- upgrades

void change_during_an_upgrade_reaches_both_processes() {
  const PlatformConfig config =
      with_inherited_descriptor(read_platform_config(file_with_two_servers().dump()));
  GatekeeperFixture old(deploy_config_with_distributors(), config);
  old.configs["calls"] = make_config("calls", 1, patch_with_classes({"extra"}));
  old.run(500ms);
  old.deliver(net::Accepted{kCaller});
  CHECK(old.send_setup("00000000000000aa", "extra").empty());
  GatekeeperFixture fresh(deploy_config_with_distributors(), config);
  fresh.configs = old.configs;
  fresh.run(500ms);
  CHECK_EQ(fresh.readyz(), "OK ready\n");
  old.deliver(net::StopRequested{});
  const ServiceConfig change = make_config("calls", 2, patch_with_classes({"other"}));
  old.publish_and_run(change);
  fresh.publish_and_run(change);
  CHECK_EQ(old.active_version("calls"), 2U);
  CHECK_EQ(fresh.active_version("calls"), 2U);
  CHECK(old.last_report("calls", 2)->active && fresh.last_report("calls", 2)->active);
  CHECK(!old.exit_status);  // its call of a removed class is still open
  fresh.deliver(net::Accepted{kCaller});
  CHECK(fresh.accepts_class("other"));
  CHECK(!fresh.accepts_class("extra"));
}

// Applied configurations are not stored locally: a new process that reaches no distributor has only its file.
void new_process_without_distributors_starts_from_its_file() {
  ReadyGatekeeper first;
  first.publish_and_run(make_config("calls", 1, patch_with_classes({"extra"})));
  CHECK(first.accepts_class("extra"));
  GatekeeperFixture second;
  second.unreachable = true;
  second.run(3s);
  second.deliver(net::Accepted{kCaller});
  CHECK_EQ(second.readyz(), "OK ready\n");
  CHECK(!second.accepts_class("extra"));
}

// ---- open calls

void open_calls_keep_their_class() {
  ReadyGatekeeper lab;
  CHECK(lab.send_setup("00000000000000aa", "voice").empty());
  ConnId server{};
  const auto find_invite = [&lab, &server] {
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
  const sip::Message invite = find_invite();
  // The patch removes 'voice', changes 'safety', which becomes the first class, and allows one attempt per
  // call.
  json s = settings();
  s["classes"].erase(0);
  s["classes"][0]["promiseNs"] = 700000000;
  const json patch = {{"settings",
                       {{"classes", s["classes"]},
                        {"familyInfo", {{"classHoldNs", {6000000000}}, {"poolsByClass", {{0}}}}},
                        {"limits", {{"maxAttempts", 1}}}}}};
  lab.publish(make_config("calls", 1, patch));
  lab.run(200ms);
  CHECK_EQ(lab.active_version("calls"), 1U);
  CHECK_EQ(lab.send_setup("00000000000000ab", "voice").size(), 1U);  // removed for new calls
  CHECK(lab.send_setup("00000000000000ac", "safety").empty());
  const sip::Message safety = find_invite();
  const ConnId safety_server = server;
  for (std::uint32_t n = 1; n <= 2; ++n)
    lab.receive({Concern::server, n}, server_answer(invite, 503, {}, "Warning-Word: cpu_full\r\n"));
  const sip::Message again = find_invite();
  CHECK_EQ(std::string(again.header("Call-ID")), "00000000000000aa");
  CHECK_EQ(std::string(again.header("Priority-Class")), "voice");
  lab.receive(server, server_answer(again, 200, "answer"));
  CHECK_EQ(lab.value("ok.voice"), "1");
  lab.receive(safety_server, server_answer(safety, 200, "answer"));
  CHECK_EQ(lab.value("ok.safety"), "1");
  // The class is restored and removed again while the first call is established.
  for (Version v = 2; v < 12; ++v) {
    lab.publish_and_run(make_config("calls", v, v % 2 == 0 ? json::object() : patch));
    CHECK_EQ(lab.active_version("calls"), v);
    CHECK_EQ(lab.accepts_class("voice"), v % 2 == 0);
  }
}

// ---- faulty distributors

void malformed_input_closes_its_source_and_is_counted() {
  for (const std::string& bytes :
       {std::string("what?\n"), std::string("{}\n"), std::string("[1]\n"),
        std::string(R"({"event":"document","service":"calls","version":1,"digest":"12","content":"{}"})"
                    "\n"),
        std::string(R"({"event":"notices","entries":[{"service":"../x"}],"complete":true})"
                    "\n"),
        std::string("\xff\xfe\n"), std::string(R"({"event":"beat"})") + std::string(40 * 1024, ' '),
        std::string(33 * 1024, 'x') + "\n"}) {
    ReadyGatekeeper lab;
    lab.publish_and_run(make_config("calls", 1, patch_with_classes({"extra"})));
    const ConnId bad = lab.sources.at(0);
    lab.receive(bad, bytes);
    CHECK(!lab.is_open(bad));
    CHECK_EQ(lab.value("config_distribution_malformed"), "1");
    CHECK(lab.log.find("says what can't be read, and is given up") != std::string::npos);
    CHECK_EQ(lab.value("config_sources_up"), "1");
    CHECK(lab.is_open(lab.sources.at(1)));
    lab.receive(bad, "{}\n");  // later input of the closed connection is ignored
    CHECK_EQ(lab.value("config_distribution_malformed"), "1");
    lab.run(10s);
    CHECK_EQ(lab.value("config_sources_up"), "2");
    CHECK(lab.accepts_class("extra"));
    lab.publish_and_run(make_config("calls", 2, patch_with_classes({"other"})));
    CHECK(lab.accepts_class("other"));
  }
}

// Lines before a malformed one in the same read are handled, lines after it are not.
void line_before_malformed_input_is_handled() {
  ReadyGatekeeper lab;
  const ConnId bad = lab.sources.at(0);
  const ServiceConfig change = make_config("calls", 1, patch_with_classes({"extra"}));
  lab.configs["calls"] = change;
  lab.receive(bad,
              line_of(lab.notification_for({{"calls", {}}})) + "what?\nwhat?\n" + line_of(heartbeat_line()));
  CHECK_EQ(lab.value("config_distribution_malformed"), "1");
  CHECK_EQ(lab.value("config_distribution_lines_in"),
           "3");  // one notification of each source at startup, and this one
  lab.run(10s);
  CHECK_EQ(lab.active_version("calls"), 1U);
}

void partial_line_is_completed_or_times_out() {
  ReadyGatekeeper lab;
  const ServiceConfig change = make_config("calls", 1, patch_with_classes({"extra"}));
  lab.configs["calls"] = change;
  const std::string line = line_of(lab.notification_for({{"calls", {}}}));
  const ConnId slow = lab.sources.at(0);
  lab.receive(slow, line.substr(0, 30));
  lab.run(1s);
  CHECK_EQ(lab.active_version("calls"), 0U);
  lab.receive(slow, line.substr(30));
  lab.run(500ms);
  CHECK_EQ(lab.active_version("calls"), 1U);
  CHECK(lab.unread[slow].empty());
  // An unfinished line is no input: a source that sends it byte by byte is closed as silent.
  const ConnId other = lab.sources.at(1);
  lab.receive(other, R"({"event":")");
  for (int i = 0; i < 200 && lab.is_open(other); ++i) {
    lab.receive(other, "x");
    lab.send_line(slow, heartbeat_line());
    lab.run(100ms);
  }
  CHECK(!lab.is_open(other));
  CHECK(lab.is_open(slow));
  CHECK(lab.value("config_distribution_shut") != "none");
}

void heartbeats_are_answered_and_a_silent_source_is_closed() {
  ReadyGatekeeper lab;
  const ConnId alive = lab.sources.at(0);
  const ConnId stopped = lab.sources.at(1);
  lab.gatekeeper_lines.clear();
  for (int i = 0; i < 4; ++i) {
    lab.send_line(alive, heartbeat_line());
    lab.run(5s);
  }
  CHECK(lab.is_open(alive));
  CHECK(!lab.is_open(stopped));
  CHECK(std::count_if(lab.gatekeeper_lines.begin(), lab.gatekeeper_lines.end(),
                      [](const json& line) { return line["op"] == "beat"; }) >= 4);
  CHECK(lab.sources.size() >= 3);
  CHECK_EQ(lab.value("config_sources_up"), "2");
}

// No state expires while all distributors are unreachable.
void disconnected_gatekeeper_serves_for_hours() {
  ReadyGatekeeper lab;
  lab.publish_and_run(make_config("calls", 1, patch_with_classes({"extra"})));
  lab.unreachable = true;
  for (const ConnId conn : lab.sources) lab.deliver(net::Closed{conn, true});
  CHECK_EQ(lab.value("config_sources_up"), "0");
  const std::size_t lines = lab.gatekeeper_lines.size();
  for (int quarter = 0; quarter < 16; ++quarter) {
    for (Duration done{}; done < 15min; done += 1s) {
      lab.open_pending_connections();
      for (std::uint32_t n = 1; n <= 2; ++n) {
        const ConnId server{Concern::server, n};
        for (const sip::Message& m : lab.messages(server)) {
          if (m.method == "OPTIONS") lab.receive(server, server_answer(m, 200));
        }
      }
      lab.advance(1s);
    }
    CHECK_EQ(lab.readyz(), "OK ready\n");
    CHECK_EQ(lab.active_version("calls"), 1U);
  }
  CHECK(lab.accepts_class("extra"));
  CHECK_EQ(lab.gatekeeper_lines.size(), lines);
  // About two attempts per distributor in 5 s at most, once the backoff has reached its maximum.
  const auto attempts = std::stoull(lab.value("config_distribution_connects"));
  CHECK(attempts > 1000 && attempts < 20000);
  lab.unreachable = false;
  lab.configs["calls"] = make_config("calls", 9, patch_with_classes({"other"}));
  lab.run(8s);
  CHECK_EQ(lab.active_version("calls"), 9U);
  CHECK(lab.accepts_class("other"));
}

void many_changes_are_logged_at_a_limited_rate() {
  ReadyGatekeeper lab;
  const auto lines = [&lab](const std::string& text) {
    int found = 0;
    for (std::size_t at = 0; (at = lab.log.find(text, at)) != std::string::npos; ++at) ++found;
    return found;
  };
  CHECK_EQ(lines("a distributor is reached: 127.0.0.1:75"), 2);
  for (Version v = 1; v <= 40; ++v) {
    lab.publish(make_config("calls", v, patch_with_classes({"c" + std::to_string(v)})));
    lab.run(50ms);
  }
  CHECK_EQ(lab.value("config_distribution_in_force"), "40");
  CHECK(lines("is in force") >= 8 && lines("is in force") <= 16);
  CHECK(lab.log.find(" more since the last line)") != std::string::npos);
}

// ---- class Subscription without a gatekeeper, as other programs use it

void subscription_works_without_a_gatekeeper() {
  Counters counters;
  std::vector<std::vector<ServiceConfig>> sets;
  SubscriberSettings settings = *deploy_config_with_distributors().configuration;
  std::string rejection;
  Subscription subscription(
      settings, counters,
      [&](Time, const std::vector<ServiceConfig>& all, Outbox&) -> std::optional<std::string> {
        if (!rejection.empty()) return rejection;
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
  CHECK_EQ(conns.size(), kSourcesPerGatekeeper);
  for (std::size_t i = 0; i < conns.size(); ++i) CHECK_EQ(conns[i].number, 6 + 100 * i);
  CHECK(timer && timer->number == 5);
  subscription.on(now, net::Connected{conns[0]}, out);
  const ServiceConfig change = make_config("calls", 1, journal_patch(8600));
  GatekeeperFixture speaker;
  speaker.configs["calls"] = change;
  const auto send_to_subscription = [&](const json& line) {
    const std::string bytes = line_of(line);
    subscription.on(now, net::Received{conns[0], bytes}, out);
  };
  send_to_subscription(speaker.notification_for({{"calls", {}}}));
  send_to_subscription(config_line(change));
  for (int i = 0; i < 10; ++i) {
    now += 50ms;
    subscription.on(now, net::TimerFired{*timer}, out);
  }
  CHECK_EQ(sets.size(), 1U);
  CHECK(sets[0] == std::vector<ServiceConfig>{change});
  CHECK(subscription.ready());
  CHECK_EQ(counters.value("config.distribution.sets_taken"), 1U);

  // A rejection reason is logged as one line of bounded length.
  rejection = "bad\nline " + std::string(10'000, 'x');
  const ServiceConfig next = make_config("calls", 2, journal_patch(8700));
  speaker.configs["calls"] = next;
  send_to_subscription(speaker.notification_for({{"calls", {}}}));
  out.net.clear();
  send_to_subscription(config_line(next));
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
  CHECK_EQ(counters.value("config.distribution.refused"), 1U);
}

// ---- overlay of configurations on a file

void overlays_apply_in_their_order() {
  const std::string base = file_with_two_servers().dump();
  CHECK_EQ(json::parse(apply_service_configs(base, {})), file_with_two_servers());
  const auto overlaid = [&base](const std::vector<ServiceConfig>& all) {
    return json::parse(apply_service_configs(base, all));
  };
  const json both = overlaid({make_config("a", 1, {{"journal", "127.0.0.1:1"}, {"settings", {{"me", 2}}}}),
                              make_config("b", 1, {{"journal", "127.0.0.1:2"}})});
  json expected = file_with_two_servers();
  expected["journal"] = "127.0.0.1:2";
  expected["settings"]["me"] = 2;
  CHECK_EQ(both, expected);
  // RFC 7396: null removes a key, a list is replaced as a whole.
  const json less =
      overlaid({make_config("a", 1, {{"settings", {{"areas", {"x"}}, {"limits", {{"peers", nullptr}}}}}})});
  CHECK_EQ(less["settings"]["areas"], json::array({"x"}));
  CHECK(!less["settings"]["limits"].contains("peers"));
  CHECK(less["settings"]["limits"].contains("cancel"));
}

template <class Act>
std::string error_of(Act act) {
  try {
    act();
  } catch (const ConfigError& e) {
    return e.what();
  }
  return {};
}

void overlay_limits_are_enforced() {
  const std::string base = file_with_two_servers().dump();
  const auto overlay_error = [&base](const std::string& content) {
    return error_of([&] { apply_service_configs(base, {ServiceConfig{"a", {4, {}}, content}}); });
  };
  CHECK_EQ(overlay_error(R"({"name":"x"})"),
           "the document of 'a', version 4, sets 'name': only 'settings' and 'journal' may be set");
  CHECK_EQ(overlay_error("{"), "the document of 'a', version 4, is no JSON object");
  CHECK_EQ(overlay_error(""), "the document of 'a', version 4, is no JSON object");
  CHECK_EQ(overlay_error("null"), "the document of 'a', version 4, is no JSON object");
  CHECK_EQ(overlay_error("[]"), "the document of 'a', version 4, is no JSON object");
  CHECK(overlay_error(R"({"settings":")" + std::string(distribution::kMaxConfigBytes, 'x') + "\"}")
            .find("longer than 12288") != std::string::npos);
  const auto nested = [](int depth) {
    return R"({"settings":)" + std::string(static_cast<std::size_t>(depth), '[') +
           std::string(static_cast<std::size_t>(depth), ']') + "}";
  };
  CHECK_EQ(overlay_error(nested(60)), "");
  CHECK(overlay_error(nested(70)).find("deeper than 64") != std::string::npos);
  CHECK(overlay_error(nested(6000)).find("deeper than 64") != std::string::npos);
  CHECK(overlay_error(std::string(6000, '[')).find("the document of 'a'") == 0);
  // The depth limit is the same as at publication.
  for (int depth = 50; depth < 80; ++depth) {
    bool publishable = true;
    try {
      canonical_patch(nested(depth));
    } catch (const ProtocolError&) {
      publishable = false;
    }
    CHECK_EQ(overlay_error(nested(depth)).empty(), publishable);
  }
  std::vector<ServiceConfig> many(kMaxSubscribedServices, ServiceConfig{"a", {1, {}}, "{}"});
  CHECK_EQ(error_of([&] { apply_service_configs(base, many); }), "");
  many.push_back(many.back());
  CHECK_EQ(error_of([&] { apply_service_configs(base, many); }), "there are more than 64 documents");
  CHECK(!error_of([&] { apply_service_configs("", {}); }).empty());
  CHECK(!error_of([&] { apply_service_configs("[]", {}); }).empty());
}

// ---- the deploy file

void deploy_file_key_is_validated() {
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
  CHECK(c.configuration->startup_timeout == 2s);
  CHECK_EQ(c.configuration_key_file, "/k");
  CHECK(!read_deploy_config("{}", {}, {}, "t0").configuration);
  json patient = good;
  patient["wait_ms"] = 60'000;
  CHECK(read(patient).configuration->startup_timeout == 60s);
  patient["wait_ms"] = 0;
  CHECK(read(patient).configuration->startup_timeout == 0s);

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
    CHECK(!error_of([&] { read(one); }).empty());
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
    CHECK(!error_of([&] { read(one); }).empty());
  }
  for (const json& whole : std::vector<json>{nullptr, json::array(), "x", json::object()})
    CHECK(!error_of([&] { read(whole); }).empty());
  CHECK(!error_of([&] { read(good, ""); }).empty());
  CHECK(!error_of([&] { read(good, "a\nb"); }).empty());
  CHECK(!error_of([&] { read(good, std::string(256, 'a')); }).empty());
}

}  // namespace

int main() {
  overlays_apply_in_their_order();
  overlay_limits_are_enforced();
  deploy_file_key_is_validated();
  without_the_settings_key_nothing_is_opened();
  ready_when_committed_configs_are_active();
  config_rejected_at_startup_does_not_delay_readiness();
  startup_wait_is_bounded();
  change_is_applied_and_reported();
  rejected_change_keeps_the_active_config();
  config_outside_its_limits_is_rejected();
  reloaded_file_and_config_are_merged();
  change_racing_a_reload_is_applied_with_it();
  rejected_config_is_retried_on_the_next_file();
  file_that_fails_under_the_active_configs_changes_nothing();
  change_during_an_upgrade_reaches_both_processes();
  new_process_without_distributors_starts_from_its_file();
  open_calls_keep_their_class();
  malformed_input_closes_its_source_and_is_counted();
  line_before_malformed_input_is_handled();
  partial_line_is_completed_or_times_out();
  heartbeats_are_answered_and_a_silent_source_is_closed();
  disconnected_gatekeeper_serves_for_hours();
  many_changes_are_logged_at_a_limited_rate();
  subscription_works_without_a_gatekeeper();
}
