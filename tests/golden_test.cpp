// Byte-for-byte comparison of all sent and stored data with recorded files: control lines, configuration
// lines, datagrams between gatekeepers, files of the distributor and the gap publisher, output and exit
// status of the command line, operators' metrics, platform and SIP messages, the SIP trunk, OTLP.
#include "golden.h"

#include <nlohmann/json.hpp>

#include "control/config_client.h"
#include "control/config_distributor.h"
#include "control/config_lines.h"
#include "control/gap_client.h"
#include "control/gap_publisher.h"
#include "fleet/datagram.h"
#include "gatekeeper/gatekeeper.h"
#include "lab.h"

using namespace graniterun;
using namespace graniterun::test;
using namespace graniterun::control;
using nlohmann::json;

namespace {

constexpr ConnId kCaller{Concern::platform, 1};
constexpr ConnId kOperator{Concern::control, 1};
constexpr ConnId kPublisher{Concern::control, 2};
const std::string kCallId = "9b1f03aa5c7e2d41";
const std::string kOtherCallId = "9b1f03aa5c7e2d42";

// ---- lines of configuration distribution

distribution::Key configuration_key() {
  distribution::Key key{};
  for (std::size_t i = 0; i < key.size(); ++i) key[i] = static_cast<unsigned char>(i * 7);
  return key;
}

distribution::ServiceConfig trail_document() {
  const distribution::Version version = 1'700'000'000'123;
  const std::string content = R"({"settings":{"pause":"\"ü\"\n"}})";
  return {
      "trail", {version, distribution::digest_of(configuration_key(), "trail", version, content)}, content};
}

void configuration_lines() {
  using namespace distribution;
  const ServiceConfig document = trail_document();
  const std::vector<VersionsNotified::Entry> held = {{"trail", document.id}, {"map-tiles_2.x", {}}};
  std::string text;
  const auto add = [&text](const json& line) { text += line_of(line); };
  add(subscribe_line("gk 1", held, true));
  add(subscribe_all_line("d3"));
  add(primary_line(true));
  add(acknowledge_line());
  add(fetch_line("trail", 5));
  add(report_line({0, "trail", document.id, true, {}}));
  add(report_line({0, "trail", document.id, false, "it \"can't\" be read\n"}));
  add(report_line({0, "trail", document.id, false, std::string(600, 'r')}));
  add(return_line(document));
  add(propose_line(~std::uint64_t{}, document));
  add(heartbeat_answer_line());
  NotifyVersions notice;
  notice.client = 4;
  notice.entries = {{"trail", document.id, 9}, {"none", {}, 7}};
  notice.complete = true;
  add(versions_line(notice));
  notice.with_highest_seen = true;
  for (const VoterState standing : {VoterState::uninitialized, VoterState::recovering, VoterState::voting}) {
    notice.voter_state = standing;
    add(versions_line(notice));
  }
  add(config_line(document));
  add(missing_line("trail"));
  add(request_config_line("trail"));
  add(heartbeat_line());
  add(proposal_answer_line({4, 17, true, 0}));
  add(proposal_answer_line({4, 17, false, 99}));
  std::map<std::string, ServiceRecord> records;
  records["both"] = {document, document, 1'700'000'000'200};
  records["none"] = {std::nullopt, std::nullopt, 3};
  records["trail"] = {document, std::nullopt, 1'700'000'000'123};
  text += serialize_records(records);
  text += canonical_patch(R"( {"settings" : {"b":1, "a":[true,null]}, "journal":"127.0.0.1:1"} )") + "\n";
  check_golden("configuration_lines.txt", text);
}

// ---- datagrams between gatekeepers

const fleet::Key kFleetKey = *fleet::parse_key(std::string(64, 'a') + "\n");

membership::Record member_record(const std::string& name, membership::State state,
                                 membership::StateReason evidence) {
  membership::Record record;
  record.name = name;
  record.incarnation = 1'764'600'000'000;
  record.start_nonce = ~std::uint64_t{0};
  record.address = "127.0.0.1:7946";
  record.refutation = 70'000;
  record.state = state;
  record.state_reason = evidence;
  record.suspecting_member = state == membership::State::alive ? "" : "n9";
  record.handing_over = state == membership::State::left;
  return record;
}

std::string hex(const std::string& bytes) {
  std::string text;
  for (const char c : bytes) {
    text += "0123456789abcdef"[static_cast<unsigned char>(c) >> 4];
    text += "0123456789abcdef"[static_cast<unsigned char>(c) & 15];
  }
  return text;
}

void datagrams() {
  using namespace membership;
  std::string text;
  std::uint64_t number = 77;
  const auto add = [&](MessageBody body) {
    membership::Datagram datagram;
    datagram.from = member_record("n1", State::alive, StateReason::self_reported);
    datagram.to = "n2";
    datagram.sequence_number = ++number;
    datagram.digest = ~std::uint64_t{0};
    datagram.catching_up = number % 2 == 1;
    datagram.body = std::move(body);
    datagram.records = {member_record("n3", State::suspect, StateReason::unresponsive),
                        member_record("n4", State::dead, StateReason::port_unreachable),
                        member_record("n5", State::left, StateReason::replaced)};
    text += hex(fleet::encode(datagram, "trail", kFleetKey)) + "\n";
  };
  const membership::Record known = member_record("n2", State::alive, StateReason::self_reported);
  add(Ping{5, true, true, known});
  add(Ping{5, false, false, {}});
  add(Ack{6, true, known});
  add(Ack{6, false, {}});
  add(PingRequest{7, "n3", "127.0.0.1:7946"});
  add(RelayedAck{8});
  add(Nack{9});
  add(SyncRequest{std::vector<std::uint64_t>(kDigestBuckets, ~std::uint64_t{0})});
  add(Gossip{});
  check_golden("datagrams.txt", text);
}

// ---- the control listener of a gatekeeper

json gap_object(Time now, const std::string& id, std::uint64_t version, const json& more) {
  json gap = {{"id", id},
              {"version", version},
              {"by", "desk"},
              {"made", to_unix_ms(now)},
              {"start", to_unix_ms(now)},
              {"end", to_unix_ms(now + 1h)},
              {"interval_ms", 1000}};
  if (more.is_object()) gap.update(more);
  return gap;
}
std::string announce_line(const json& gap) { return line_of({{"op", "announce"}, {"gap", gap}}); }

PlatformConfig gatekeeper_config() {
  PlatformConfig config = config_for_tests();
  config.management = "127.0.0.1:9901";
  return config;
}

DeployConfig deploy_with_everything() {
  DeployConfig deploy;
  deploy.sip_udp = "127.0.0.1:5060";
  deploy.control.emplace();
  deploy.control->listen = "127.0.0.1:7400";
  deploy.control->fleet = {2, 0};
  deploy.control->hot.emplace();
  deploy.control->hot->hot_threshold = 0.5;
  deploy.control->hot->hot_duration = 100ms;
  deploy.control->hot->max_gaps = 1;
  deploy.fleet.emplace();
  deploy.fleet->fleet = "trail";
  deploy.fleet->listen = "127.0.0.1:7946";
  deploy.fleet->key = kFleetKey;
  deploy.fleet->membership.name = "n0";
  deploy.fleet->membership.advertise = "127.0.0.1:7946";
  deploy.fleet->membership.incarnation = deploy.fleet->membership.start_nonce = 5;
  deploy.configuration.emplace();
  deploy.configuration->distributors = {"127.0.0.1:7800"};
  deploy.configuration->services = {"trail"};
  deploy.configuration->key = configuration_key();
  deploy.configuration->name = "t0";
  return deploy;
}

void control_lines() {
  Gatekeeper gatekeeper(gatekeeper_config(), deploy_with_everything(), {});
  Recorded<Gatekeeper> run(gatekeeper);
  run.step(net::Started{});
  run.step(net::BindSucceeded{Concern::fleet});
  run.bring_up();
  run.step(net::Accepted{kOperator});
  run.step(net::Accepted{kPublisher});
  run.receive(kOperator, "{\"op\":\"watch\"}\n");
  run.receive(kPublisher, line_of({{"op", "announcer"}, {"life", "00000000000000aa"}}));
  run.receive(kOperator, announce_line(gap_object(run.now, "g", 1, {{"numbers", {"4711"}}})));
  run.receive(kOperator, announce_line(gap_object(run.now, "g", 1, {{"numbers", {"4711"}}})));
  run.receive(kOperator, announce_line(gap_object(run.now, "g", 1, {{"numbers", {"4712"}}})));
  run.receive(kOperator, announce_line(gap_object(run.now, "h", 3,
                                                  {{"prefixes", {"47", "48"}},
                                                   {"classes", {"voice"}},
                                                   {"shape", "each"},
                                                   {"cause", 34},
                                                   {"words", "call later"}})));
  run.receive(kOperator,
              announce_line(gap_object(run.now, "p", 3,
                                       {{"classes", {"voice"}}, {"shape", "percent"}, {"percent", 12.5}})));
  run.receive(kOperator,
              announce_line(gap_object(run.now, "n", 3, {{"numbers", {"1"}}, {"interval_ms", "none"}})));
  run.receive(kOperator, announce_line(gap_object(run.now, "g", 2, {{"lifted", true}})));
  run.receive(kOperator, announce_line(gap_object(run.now, "g", 1, {{"numbers", {"4711"}}})));
  run.receive(kOperator, announce_line(gap_object(run.now, "bad", 1, {})));
  run.receive(kOperator, "{\"op\":\"list\"}\n");
  run.receive(kOperator, "{\"op\":\"list\",\"after\":\"h\"}\n");
  run.receive(kPublisher, "{\"op\":\"synced\"}\n");
  run.receive(kPublisher,
              line_of({{"op", "demand"}, {"id", "h"}, {"mark", "00000000000000aa"}, {"calls", {1, 2}}}));
  run.receive(kOperator,
              line_of({{"op", "demand"}, {"id", "h"}, {"mark", "00000000000000aa"}, {"calls", {1, 2}}}));
  run.receive(
      kOperator,
      line_of({{"op", "grant"}, {"id", "h"}, {"mark", "00000000000000aa"}, {"slots", json::array()}}));
  run.receive(kPublisher, line_of({{"op", "grant"}, {"id", "h"}, {"mark", "x"}, {"slots", {{5, 1}}}}));
  run.receive(kOperator, "{\"op\":\"configuration\"}\n");
  for (const char* what : {"members", "view", "nothing", "leave"})
    run.receive(kOperator, std::string(R"({"op":"fleet","what":")") + what + "\"}\n");
  for (const char* bad :
       {"no json\n", "{}\n", "[1]\n", "{\"op\":\"sing\"}\n", "{\"op\":7}\n", "{\"op\":\"announce\"}\n",
        "{\"op\":\"announce\",\"gap\":3}\n", "{\"op\":\"announcer\"}\n"})
    run.receive(kOperator, bad);
  run.receive(kOperator, std::string(40'000, 'x'));
  run.pass(1s);
  check_golden("control_lines.txt", run.transcript.text());
}

// Calls that a gap limits, hot numbers, and the operators' metrics of both.
void figures_and_counters() {
  Gatekeeper gatekeeper(gatekeeper_config(), deploy_with_everything(), {});
  Recorded<Gatekeeper> run(gatekeeper);
  run.step(net::Started{});
  run.step(net::BindSucceeded{Concern::fleet});
  run.bring_up();
  run.step(net::Accepted{kCaller});
  run.step(net::Accepted{kOperator});
  run.receive(kOperator,
              announce_line(gap_object(
                  run.now, "n", 3, {{"numbers", {"4711"}}, {"interval_ms", "none"}, {"words", "later"}})));
  run.receive(kOperator, "{\"op\":\"watch\"}\n");
  for (int i = 0; i < 12; ++i) {
    const std::string id = "00000000000000" + std::to_string(10 + i);
    run.receive(kCaller, R"({"type":"setup","id":")" + id +
                             R"(","fields":{"class":"voice","left":"700","key":")" +
                             (i % 2 == 0 ? "4711" : "4712") + R"(","extras":"dest:0"},"sdp":"o"})" + "\n");
    run.pass(200ms);
  }
  run.receive(kOperator, "{\"op\":\"list\"}\n");
  for (const char* call : {"readyz\n", "telemetry\n", "reboot\n"}) {
    static std::uint32_t number = 0;
    const ConnId conn{Concern::management, ++number};
    run.step(net::Accepted{conn});
    run.receive(conn, call);
  }
  run.transcript.title("SIGUSR1");
  run.step(net::CountersRequested{});
  check_golden("figures_and_counters.txt", run.transcript.text());
}

// ---- callers and setup servers

std::string release_line(const std::string& id, int cause) {
  return R"({"type":"release","id":")" + id + R"(","fields":{},"cause":)" + std::to_string(cause) + "}\n";
}

void platform_messages() {
  Gatekeeper gatekeeper(config_for_tests(), {}, {});
  Recorded<Gatekeeper> run(gatekeeper);
  run.step(net::Started{});
  const ConnId first = run.connects.at(0).conn;
  const ConnId second = run.connects.at(1).conn;
  run.bring_up();
  run.step(net::Accepted{kCaller});
  run.receive(kCaller, R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                       "\n");
  run.receive(kCaller, setup_line(kCallId, "voice", 3000, 0, "offer\\r\\nc=IN IP4 10.4.7.9"));
  const auto answer = [](int cseq, int status, const std::string& more, const std::string& body) {
    return "SIP/2.0 " + std::to_string(status) + " x\r\nCall-ID: " + kCallId +
           "\r\nCSeq: " + std::to_string(cseq) + " INVITE\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  run.receive(first, answer(1, 100, "", ""));
  run.receive(first,
              answer(1, 503, "Warning-Word: cpu_full\r\nP-Wait: 300\r\nP-Load: x0:3;latency_ms:900\r\n", ""));
  run.receive(second, answer(2, 200, "", "answer"));
  run.pass(2s);
  run.receive(second, server_bye(kCallId, 41));
  run.receive(kCaller, release_line(kCallId, 16));
  run.transcript.title("a call that is given up, and one that runs out of time");
  run.receive(kCaller, setup_line(kOtherCallId, "safety", 3000, 1, "offer"));
  run.pass(300ms);
  run.receive(kCaller, release_line(kOtherCallId, 16));
  run.pass(2s);
  run.receive(kCaller, setup_line("9b1f03aa5c7e2d43", "voice", 400, 0, "offer"));
  run.pass(2s);
  run.transcript.title("what can't be read, and what is unknown");
  run.receive(kCaller, setup_line("9b1f03aa5c7e2d44", "nothing", 400, 0, "offer"));
  run.receive(kCaller, "{\"type\":\"setup\",\"id\":\"9b1f03aa5c7e2d45\",\"fields\":{}}\n");
  run.receive(kCaller, release_line("9b1f03aa5c7e2d49", 34));
  run.receive(first,
              "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: p\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n");
  run.transcript.title("the servers are gone: refused with a wait");
  for (const ConnId conn : {first, second}) run.step(net::Closed{conn, true});
  for (const net::Connect& connect : std::exchange(run.connects, {}))
    run.step(net::ConnectFailed{connect.conn, true});
  run.receive(kCaller, setup_line("9b1f03aa5c7e2d46", "voice", 1500, 0, "offer"));
  run.pass(2s);
  run.transcript.title("SIGTERM and SIGUSR1");
  run.step(net::StopRequested{});
  run.step(net::CountersRequested{});
  check_golden("platform_messages.txt", run.transcript.text());
}

std::string sip_request(const std::string& method, const std::string& team, const std::string& call_id,
                        int cseq, const std::string& more, const std::string& body,
                        const std::string& to_tag = {}) {
  return method + " sip:4711@net SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5090;branch=z9hG4bK" + call_id +
         method + "\r\nFrom: <sip:hiker@" + team + ">;tag=ft\r\nTo: <sip:4711@net>" +
         (to_tag.empty() ? "" : ";tag=" + to_tag) + "\r\nCall-ID: " + call_id +
         "\r\nCSeq: " + std::to_string(cseq) + " " + method +
         "\r\nContact: <sip:hiker@127.0.0.1:5090>\r\nMax-Forwards: 70\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void sip_messages() {
  DeployConfig deploy;
  deploy.sip_udp = "127.0.0.1:5060";
  core::Contract contract;
  contract.team = "poor.example";
  contract.per_second = 1.0;
  contract.burst = 1.0;
  deploy.contracts.push_back(contract);
  Gatekeeper gatekeeper(config_for_tests(1), deploy, {});
  Recorded<Gatekeeper> run(gatekeeper);
  run.step(net::Started{});
  const ConnId server = run.connects.at(0).conn;
  run.bring_up();
  const auto udp = [&run](const std::string& text) {
    run.transcript.title("from the caller: " + text.substr(0, text.find("\r\n")));
    run.step(net::Datagram{Concern::sip, "127.0.0.1:5090", text});
  };
  udp(sip_request("OPTIONS", "rich.example", "o", 1, "", ""));
  udp(sip_request("INVITE", "rich.example", "c1", 1, "Expires: 3\r\n", "offer"));
  run.pass(700ms);
  udp(sip_request("CANCEL", "rich.example", "c1", 1, "", ""));
  run.pass(1s);
  udp(sip_request("INVITE", "poor.example", "c2", 1, "Priority: emergency\r\n", "offer"));
  udp(sip_request("INVITE", "poor.example", "c3", 1, "", "offer"));
  udp(sip_request("INVITE", "poor.example", "c4", 1, "Expires: soon\r\n", "offer"));
  udp(sip_request("INVITE", "poor.example", "c5", 1, "Require: 100rel\r\n", "offer"));
  udp(sip_request("SING", "poor.example", "c6", 1, "", ""));
  udp(sip_request("BYE", "poor.example", "c7", 1, "", "", "x"));
  udp(sip_request("SUBSCRIBE", "poor.example", "c8", 1, "Event: presence\r\nExpires: 60\r\n", ""));
  run.pass(1s);
  run.step(net::Closed{server, true});
  run.pass(3s);
  check_golden("sip_messages.txt", run.transcript.text());
}

void trunk_messages() {
  std::string text;
  for (const char* transport : {"udp", "tcp"}) {
    DeployConfig deploy;
    deploy.sip_server_transport = transport;
    deploy.sip_servers_from = "127.0.0.1:5070";
    Gatekeeper gatekeeper(config_for_tests(), deploy, {});
    Recorded<Gatekeeper> run(gatekeeper);
    run.transcript.title(std::string("over ") + transport);
    run.step(net::Started{});
    run.bring_up();
    run.step(net::Accepted{kCaller});
    run.receive(kCaller, setup_line(kCallId, "voice", 4000, 0, "offer"));
    run.bring_up();
    run.pass(600ms);
    run.receive(kCaller, release_line(kCallId, 16));
    run.pass(2s);
    run.step(net::CountersRequested{});
    text += run.transcript.text();
  }
  check_golden("trunk_messages.txt", text);
}

// ---- OTLP

void otlp_export() {
  PlatformConfig config = config_for_tests();
  DeployConfig deploy = deploy_with_everything();
  deploy.configuration.reset();
  deploy.sip_udp.reset();
  deploy.collector = "127.0.0.1:4318";
  deploy.collector_host = "collector";
  deploy.export_interval = 1s;
  Gatekeeper gatekeeper(config, deploy, {});
  Recorded<Gatekeeper> run(gatekeeper);
  run.step(net::Started{});
  run.step(net::BindSucceeded{Concern::fleet});
  run.bring_up();
  run.step(net::Accepted{kCaller});
  for (int i = 0; i < 6; ++i) {
    run.receive(kCaller, setup_line("00000000000000" + std::to_string(10 + i), "voice", 600, 0, "offer"));
    run.pass(250ms);
    run.bring_up();
  }
  for (std::uint32_t number = 1; number <= 3; ++number) {
    run.step(net::Received{{Concern::collector, number}, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
    run.pass(1s);
    run.bring_up();
  }
  check_golden("otlp_export.txt", run.transcript.text());
}

// ---- the gap publisher

const std::string kStoredGaps = std::string(SOURCE_DIR) + "/tests/data/stored_by_342e4bc/gaps";

void gap_publisher_lines() {
  GapPublisherSettings settings;
  settings.listen = "127.0.0.1:7300";
  settings.gatekeepers = {"127.0.0.1:7400", "127.0.0.1:7401"};
  settings.file = "gaps";
  settings.incarnation = 7;
  GapPublisher publisher(settings);
  Recorded<GapPublisher> run(publisher);
  run.step(net::Started{});
  run.step(net::FileRead{"gaps", read_whole_file(kStoredGaps)});
  run.pass(60ms);
  const ConnId gatekeeper = run.connects.at(0).conn;
  const ConnId absent = run.connects.at(1).conn;
  run.step(net::Connected{gatekeeper});
  run.step(net::ConnectFailed{absent, true});
  const auto told = [&](json line) {
    line["gatekeeper"] = "n0";
    run.receive(gatekeeper, line_of(line));
  };
  told({{"re", "announcer"}, {"ok", true}, {"fleet", 2}, {"index", 0}});
  for (const char* id : {"a", "b"})
    told({{"re", "announce"}, {"ok", true}, {"result", "taken"}, {"id", id}, {"version", 5}});
  told({{"re", "synced"}, {"ok", true}, {"digest", "0000000000000000"}});
  run.step(net::Accepted{kOperator});
  run.step(net::Accepted{kPublisher});
  run.receive(kPublisher, "{\"op\":\"watch\"}\n");
  run.receive(kOperator, announce_line(gap_object(run.now, "new", 4, {{"numbers", {"4711"}}})));
  told({{"re", "announce"}, {"ok", true}, {"result", "taken"}, {"id", "new"}, {"version", 4}});
  run.receive(kOperator, announce_line(gap_object(run.now, "new", 4, {{"numbers", {"4711"}}})));
  run.receive(kOperator, announce_line(gap_object(run.now, "new", 4, {{"numbers", {"4712"}}})));
  run.receive(kOperator, announce_line(gap_object(run.now, "new", 3, {{"numbers", {"4712"}}})));
  run.receive(kOperator, announce_line(gap_object(run.now, "bad", 3, {})));
  told({{"event", "hot"}, {"number", "4711"}, {"clock", 5}});
  told({{"event", "gap"}, {"gap", gap_object(run.now, "z", 9, {{"numbers", {"1"}}})}});
  told({{"re", "list"}, {"gaps", {gap_object(run.now, "y", 9, {{"numbers", {"1"}}})}}, {"more", true}});
  run.receive(kOperator, "{\"op\":\"list\"}\n");
  run.receive(kOperator, "{\"op\":\"list\",\"after\":\"g\"}\n");
  for (const char* bad : {"x\n", "{}\n", "{\"op\":\"sing\"}\n", "{\"op\":\"announce\"}\n"})
    run.receive(kOperator, bad);
  run.pass(3s);
  run.transcript.title("SIGUSR1 and SIGTERM");
  run.step(net::CountersRequested{});
  run.step(net::StopRequested{});
  check_golden("gap_publisher_lines.txt", run.transcript.text());
  check_golden("../data/stored_by_342e4bc/gaps_written_again", run.files.at("gaps"));
}

// ---- the clients of the command line, fed with recorded answers

template <class Client>
std::string session(Client client, const std::vector<std::vector<json>>& answers, Duration span = 4s) {
  Recorded<Client> run(client);
  run.step(net::Started{});
  const std::vector<net::Connect> connects = run.connects;
  for (std::size_t i = 0; i < connects.size(); ++i) {
    if (i >= answers.size()) {
      run.step(net::ConnectFailed{connects[i].conn, i % 2 == 0});
      continue;
    }
    run.step(net::Connected{connects[i].conn});
    for (const json& answer : answers[i]) run.receive(connects[i].conn, line_of(answer));
  }
  run.pass(span);
  return run.transcript.text();
}

// Output of one session in both formats: text and JSON.
template <class Settings, class MakeClient>
std::string both_forms(const std::string& title, Settings settings, MakeClient make_client,
                       const std::vector<std::vector<json>>& answers) {
  std::string text;
  for (const bool as_json : {false, true}) {
    settings.json = as_json;
    text += "## " + title + (as_json ? " --json\n" : "\n") + session(make_client(settings), answers);
  }
  return text;
}

json named(const std::string& name, json line) {
  line["gatekeeper"] = name;
  line["clock"] = 1'000'000'000;
  return line;
}

void gap_client_sessions() {
  const Time now(1'000'000s);
  const auto make_client = [](const GapClientSettings& settings) { return GapClient(settings); };
  using Command = GapClientSettings::Command;
  GapClientSettings settings;
  settings.addresses = {"127.0.0.1:7400", "127.0.0.1:7401", "127.0.0.1:7402"};
  settings.announcement = announcement_of(gap_object(now, "g", 1, {{"numbers", {"4711"}}}));
  std::string text;

  settings.command = Command::announce;
  const json taken = {{"re", "announce"}, {"ok", true}, {"result", "taken"}, {"id", "g"}, {"version", 1}};
  const json refused = {
      {"re", "announce"}, {"ok", false}, {"result", "refused"}, {"trouble", "it's \"bad\""}, {"id", "g"}};
  json by_publisher = taken;
  by_publisher["gatekeepers"] = 2;
  const json obeyed = {{"event", "obeyed"}, {"id", "g"},         {"gatekeeper", "n0"},
                       {"ok", true},        {"result", "taken"}, {"address", "127.0.0.1:1"}};
  json obeyed_too = obeyed;
  obeyed_too["address"] = "127.0.0.1:2";
  text += both_forms("announce, all take it", settings, make_client,
                     {{named("n0", taken)}, {named("n1", taken)}, {named("n2", taken)}});
  text += both_forms("announce, one refuses, one is not there", settings, make_client,
                     {{named("n0", taken)}, {named("n1", refused)}});
  text += both_forms("announce at a publisher", settings, make_client,
                     {{named("p0", by_publisher), obeyed, obeyed_too}, {named("p1", by_publisher), obeyed}});
  text += both_forms("announce, none is there", settings, make_client, {});
  text += both_forms("announce, answered with what can't be read", settings, make_client,
                     {{named("p0", {{"re", "announce"}, {"ok", true}, {"gatekeepers", "two"}})}});

  settings.command = Command::list;
  const auto page = [&](const json& gaps, bool more, const std::string& digest) {
    return json{{"re", "list"}, {"ok", true},   {"digest", digest},
                {"held", 2},    {"gaps", gaps}, {"more", more}};
  };
  json in_force = gap_object(now, "g", 1, {{"numbers", {"1", "2", "3", "4"}}, {"prefixes", {"47"}}});
  in_force.update({{"in_force", true}, {"passed", 3}, {"gapped", 9}});
  const json lifted = gap_object(now, "l", 2, {{"lifted", true}, {"in_force", false}});
  const json share =
      gap_object(now, "p", 2, {{"classes", {"voice"}}, {"percent", 12.5}, {"in_force", false}});
  const json none = gap_object(now, "q", 2, {{"numbers", {"1"}}, {"interval_ms", "none"}, {"shape", "each"}});
  json with_fleet = page({lifted}, false, "00000000000000aa");
  with_fleet["fleet"] = {{{"name", "n0"}, {"address", "127.0.0.1:1"}, {"synced", true}},
                         {{"name", "n1"}, {"address", "127.0.0.1:2"}, {"synced", false}}};
  with_fleet["hot"] = {{{"number", "4711"}, {"per_second", 20.5}}};
  text += both_forms("list, two pages", settings, make_client,
                     {{named("n0", page({in_force, share}, true, "00000000000000aa")),
                       named("n0", page({none}, false, "00000000000000aa"))},
                      {named("p0", with_fleet)},
                      {named("n1", page(json::array(), false, "00000000000000bb"))}});
  text += both_forms("list, a bad answer and no answer", settings, make_client,
                     {{named("n0", {{"re", "list"}})}, {named("n1", {{"re", "other"}})}});

  settings.command = Command::watch;
  text += both_forms(
      "watch", settings, make_client,
      {{named("n0", {{"re", "watch"}, {"ok", true}}), named("n0", {{"event", "gap"}, {"gap", in_force}}),
        named("n0", {{"event", "gap"}, {"gap", lifted}}), named("n0", {{"event", "hot"}, {"number", "4711"}}),
        named("n0", {{"event", "conflict"}, {"id", "g"}, {"version", 4}}),
        named("n0", {{"event", "fleet"}, {"member", "n3"}, {"what", "died"}, {"evidence", "refused"}})}});

  settings.command = Command::members;
  json member = {{"name", "n3"},      {"state", "suspect"},       {"since_ms", 12},
                 {"reach", "direct"}, {"address", "127.0.0.1:3"}, {"life", 5},
                 {"incarnation", 2},  {"evidence", "silent"},     {"accuser", "n4"}};
  json view = {{"re", "fleet"},        {"ok", true},     {"what", "members"},
               {"settled", true},      {"digest", "17"}, {"size", 2},
               {"since_ms", 900},      {"in_touch", 1},  {"health", 0},
               {"catching_up", false}, {"member", true}};
  json first_page = view;
  first_page["members"] = {member};
  first_page["more"] = true;
  member["name"] = "n4";
  member.erase("accuser");
  json second_page = view;
  second_page["members"] = {member};
  json unsettled = view;
  unsettled.update(
      {{"settled", false}, {"catching_up", true}, {"member", false}, {"members", json::array()}});
  const json no_fleet = {{"re", "fleet"}, {"ok", false}, {"trouble", "there is none"}};
  text += both_forms("members, two pages", settings, make_client,
                     {{named("n0", first_page), named("n0", second_page)},
                      {named("n1", unsettled)},
                      {named("n2", no_fleet)}});
  settings.command = Command::view;
  text += both_forms("view", settings, make_client,
                     {{named("n0", view)}, {named("n1", view)}, {named("n2", view)}});
  settings.command = Command::leave;
  text += both_forms("leave", settings, make_client, {{named("n0", view)}, {named("n1", no_fleet)}});
  check_golden("gap_client_sessions.txt", text);
}

void config_client_sessions() {
  const auto make_client = [](const ConfigClientSettings& settings) { return ConfigClient(settings); };
  ConfigClientSettings settings;
  settings.addresses = {"127.0.0.1:7800", "127.0.0.1:7801"};
  settings.service = "trail";
  settings.content = R"({"settings":{}})";
  settings.timeout = 3s;
  const std::string digest(64, 'd');
  const auto answer = [](const std::string& name, json line) {
    line["re"] = "config";
    line["distributor"] = name;
    return line;
  };
  const auto status = [&](const std::string& name, int in_force, const json& refused, const json& behind,
                          const json& lost, const std::string& standing = "voting") {
    return answer(name, {{"what", "status"},
                         {"ok", true},
                         {"service", "trail"},
                         {"standing", standing},
                         {"version", 7},
                         {"digest", digest},
                         {"subscribed", 4},
                         {"in_force", in_force},
                         {"refused", refused},
                         {"refused_all", refused.size()},
                         {"behind", behind},
                         {"behind_all", behind.size()},
                         {"lost", lost},
                         {"more", false}});
  };
  const json published = answer(
      "d1", {{"what", "publish"}, {"ok", true}, {"service", "trail"}, {"version", 7}, {"digest", digest}});
  const json refused =
      answer("d1", {{"what", "publish"}, {"ok", false}, {"trouble", "no majority"}, {"standing", "voting"}});
  const json no_vote = answer(
      "d1", {{"what", "publish"}, {"ok", false}, {"trouble", "not voting yet"}, {"standing", "recovering"}});
  const json none = json::array();
  const json all_attached = answer("d1", {{"what", "attached"}, {"ok", true}, {"names", {"gk9"}}});
  const json refusal = {{"name", "gk1"}, {"version", 7}, {"reason", "it's bad"}};
  const json lost = {{"name", "gk9"}, {"ago_ms", 4500}};
  std::string text;

  settings.command = ConfigClientSettings::Command::publish;
  text += both_forms("publish, active at all", settings, make_client,
                     {{published, status("d1", 4, none, none, none)}, {status("d2", 4, none, none, none)}});
  text += both_forms("publish, refused", settings, make_client, {{refused}, {}});
  text += both_forms("publish, without a vote", settings, make_client, {{no_vote}});
  text += both_forms("publish, no answer", settings, make_client, {{}, {}});
  text += both_forms("publish, nobody there", settings, make_client, {});
  text += both_forms("publish, some refuse and some are behind", settings, make_client,
                     {{published, status("d1", 2, {refusal}, {"gk2"}, {lost}), all_attached},
                      {status("d2", 4, none, none, none),
                       answer("d2", {{"what", "attached"}, {"ok", true}, {"names", none}})}});
  settings.wait_until_active = false;
  text += both_forms("publish, committed only", settings, make_client, {{published}, {}});
  settings.wait_until_active = true;

  settings.command = ConfigClientSettings::Command::status;
  text +=
      both_forms("status, active at all", settings, make_client,
                 {{status("d1", 4, none, none, none)}, {status("d2", 4, none, none, none, "recovering")}});
  text += both_forms("status, some refuse, some are behind, one is gone", settings, make_client,
                     {{status("d1", 2, {refusal}, {"gk2"}, {lost}),
                       answer("d1", {{"what", "attached"}, {"ok", true}, {"names", none}})},
                      {status("d2", 4, none, none, {{{"name", "gk8"}, {"ago_ms", 10}}}),
                       answer("d2", {{"what", "attached"}, {"ok", true}, {"names", {"gk8"}}})}});
  text += both_forms("status, one not there, one answers a refusal", settings, make_client,
                     {{answer("d1", {{"what", "status"}, {"ok", false}, {"trouble", "not now"}})}});
  text += both_forms("status, nobody there", settings, make_client, {});
  settings.service.clear();
  const json one = {{"service", "map"}, {"version", 3},     {"digest", digest}, {"subscribed", 2},
                    {"in_force", 2},    {"refused_all", 0}, {"behind_all", 0}};
  json other = one;
  other.update({{"service", "trail"}, {"in_force", 1}, {"behind_all", 1}});
  const auto services = [&](const std::string& name, const json& list, bool more) {
    return answer(
        name, {{"what", "status"}, {"ok", true}, {"standing", "voting"}, {"services", list}, {"more", more}});
  };
  text += both_forms(
      "status of all services, two pages", settings, make_client,
      {{services("d1", {one}, true), services("d1", {other}, false)}, {services("d2", none, false)}});
  text += both_forms("status of all services, there is none", settings, make_client,
                     {{services("d1", none, false)}, {services("d2", none, false)}});
  check_golden("config_client_sessions.txt", text);
}

// ---- a distributor: its lines, and the files that an earlier version wrote

const std::string kStored = std::string(SOURCE_DIR) + "/tests/data/stored_by_342e4bc/distributor/";

ConfigDistributorSettings distributor_settings(std::vector<std::string> peers) {
  ConfigDistributorSettings settings;
  settings.listen = "127.0.0.1:7800";
  settings.peers = std::move(peers);
  settings.directory = "store";
  settings.name = "d1";
  settings.key = configuration_key();
  settings.seed = 5;
  return settings;
}

void distributor_lines() {
  ConfigDistributor distributor(distributor_settings({}));
  Recorded<ConfigDistributor> run(distributor, Time(1'700'000'000'000ms));
  run.step(net::Started{});
  run.step(net::FileRead{"store/known", std::nullopt});
  run.pass(20s);
  run.step(net::Accepted{kOperator});
  const auto config = [&](json line) {
    line["op"] = "config";
    run.receive(kOperator, line_of(line));
  };
  config({{"what", "publish"}, {"service", "trail"}, {"content", R"({"settings":{"a":1}})"}});
  config({{"what", "publish"}, {"service", "map"}, {"content", R"({"journal":"127.0.0.1:1"})"}});
  config({{"what", "publish"}, {"service", "no name"}, {"content", "{}"}});
  config({{"what", "publish"}, {"service", "trail"}, {"content", R"({"listen":1})"}});
  run.step(net::Accepted{kPublisher});
  run.receive(kPublisher, line_of(subscribe_line("gk1", {{"trail", {}}}, true)));
  run.receive(kPublisher, line_of(acknowledge_line()));
  run.receive(kPublisher, line_of(fetch_line("trail", 1)));
  run.receive(kPublisher, line_of(fetch_line("none", 1)));
  run.receive(kPublisher,
              line_of(report_line(
                  {0, "trail", distributor.distributor().records().at("trail").committed->id, true, {}})));
  config({{"what", "status"}, {"service", "trail"}});
  config({{"what", "status"}});
  config({{"what", "status"}, {"after", "map"}});
  config({{"what", "attached"}, {"names", {"gk1", "gk2"}}});
  for (const char* bad : {"{}\n", "no\n", "{\"op\":\"sing\"}\n", "{\"op\":\"config\",\"what\":\"sing\"}\n"})
    run.receive(kOperator, bad);
  run.step(net::Closed{kPublisher, true});
  config({{"what", "status"}, {"service", "trail"}});
  run.pass(30s);
  run.transcript.title("SIGUSR1 and SIGTERM");
  run.step(net::CountersRequested{});
  run.step(net::StopRequested{});
  check_golden("distributor_lines.txt", run.transcript.text());
}

// Files that revision 342e4bc wrote are read, and new versions are written in the same format.
void distributor_files_of_an_earlier_version() {
  ConfigDistributor distributor(distributor_settings({"127.0.0.1:7801"}));
  Recorded<ConfigDistributor> run(distributor, Time(1'700'000'100'000ms));
  run.step(net::Started{});
  const json known = json::parse(read_whole_file(kStored + "known"));
  run.step(net::FileRead{"store/known", read_whole_file(kStored + "known")});
  for (const json& bucket : known.at("buckets")) {
    const std::string name = "bucket-" + std::string(bucket < 10 ? "0" : "") + bucket.dump();
    run.step(net::FileRead{"store/" + name, read_whole_file(kStored + name)});
  }
  CHECK(distributor.distributor().voter_state() == distribution::VoterState::voting);
  CHECK_EQ(distributor.distributor().records().size(), 2U);
  CHECK_EQ(distributor.distributor().records().at("trail").committed->content, R"({"settings":{"a":1}})");
  run.pass(60ms);
  run.bring_up();
  const ConnId peer{Concern::control_client, 1};
  run.receive(peer, R"({"event":"notices","entries":[],"complete":true,"standing":"voting"})"
                    "\n");
  run.step(net::Accepted{kOperator});
  run.receive(kOperator,
              line_of({{"op", "config"}, {"what", "publish"}, {"service", "trail"}, {"content", "{}"}}));
  run.receive(peer, R"({"event":"proposal","proposal":1,"accepted":true,"seen":0})"
                    "\n");
  run.step(net::Accepted{kPublisher});
  run.receive(kPublisher, line_of(subscribe_all_line("d2")));
  distribution::ServiceConfig theirs = trail_document();
  run.receive(kPublisher, line_of(propose_line(4, theirs)));
  theirs.service = "other";
  theirs.id.digest = distribution::digest_of(configuration_key(), "other", theirs.id.version, theirs.content);
  run.receive(kPublisher, line_of(propose_line(5, theirs)));
  run.receive(kPublisher, line_of(propose_line(6, theirs)));
  run.pass(6s);
  check_golden("distributor_files.txt", run.transcript.text());
}

}  // namespace

int main() {
  configuration_lines();
  datagrams();
  control_lines();
  figures_and_counters();
  platform_messages();
  sip_messages();
  trunk_messages();
  otlp_export();
  gap_publisher_lines();
  gap_client_sessions();
  config_client_sessions();
  distributor_lines();
  distributor_files_of_an_earlier_version();
}
