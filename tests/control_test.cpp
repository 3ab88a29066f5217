// Tests of call gap control: the control listener, the gap publisher and the `graniterunctl` client as
// reducers. They are connected in one process under a simulated clock; lines go in, effects are recorded, and
// tests break connections.
#include <deque>
#include <random>

#include "control/gap_client.h"
#include "control/gap_publisher.h"
#include "control/load_control.h"
#include "lab.h"

using namespace graniterun;
using namespace graniterun::test;
using namespace graniterun::control;
using nlohmann::json;

namespace {

constexpr ConnId kCaller{Concern::platform, 1};
constexpr ConnId kOperator{Concern::control, 1};
constexpr ConnId kOtherOperator{Concern::control, 2};

DeployConfig deploy_with_control(call_gapping::FleetPosition fleet = {},
                                 Duration publisher_sync_timeout = {}) {
  DeployConfig deploy;
  deploy.sip_udp = "127.0.0.1:5060";
  deploy.control.emplace();
  deploy.control->listen = "127.0.0.1:7400";
  deploy.control->fleet = fleet;
  deploy.control->publisher_sync_timeout = publisher_sync_timeout;
  return deploy;
}

std::int64_t ms_of(Time t) { return to_unix_ms(t); }

json gap(Time now, const std::string& id, std::uint64_t version, const json& more) {
  json announcement = {{"id", id},           {"version", version},  {"by", "desk"},
                       {"made", ms_of(now)}, {"start", ms_of(now)}, {"end", ms_of(now + 1h)},
                       {"interval_ms", 1000}};
  announcement.update(more);
  return announcement;
}
json lift(Time now, const std::string& id, std::uint64_t version) {
  return gap(now, id, version, {{"lifted", true}});
}
std::string announce(const json& announcement) {
  return line_of({{"op", "announce"}, {"gap", announcement}});
}

struct GapLab : GatekeeperLab {
  explicit GapLab(DeployConfig deploy = deploy_with_control()) : GatekeeperLab(config_for_tests(), deploy) {
    s0 = connects.at(0).conn;
    bring_up();
    deliver(net::Accepted{kCaller});
    deliver(net::Accepted{kOperator});
  }
  std::vector<json> take_answers(ConnId conn = kOperator) {
    std::vector<json> all;
    std::istringstream text(take_sent(conn));
    for (std::string line; std::getline(text, line);) all.push_back(json::parse(line));
    return all;
  }
  json request(const std::string& line, ConnId conn = kOperator) {
    receive(conn, line);
    const auto all = take_answers(conn);
    CHECK(!all.empty());
    return all.back();
  }
  void call(const std::string& id, const std::string& key = "4711", int left = 3000) {
    receive(kCaller, R"({"type":"setup","id":")" + id + R"(","fields":{"class":"voice","left":")" +
                         std::to_string(left) + R"(","key":")" + key + R"(","extras":"dest:0"},"sdp":"o"})" +
                         "\n");
  }
  std::string id(int n) {
    std::string text = std::to_string(n);
    return std::string(16 - text.size(), '0') + text;
  }
  ConnId s0{};
};

void a_gapped_platform_call_is_rejected_at_once() {
  GapLab lab;
  CHECK_EQ(
      lab.request(announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"words", "call later"}})))["result"],
      "taken");
  lab.call(lab.id(1));
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "INVITE");
  for (int i = 2; i < 20; ++i) {  // a redial counts as a call: it gets one answer and is not forwarded
    lab.call(lab.id(i));
    const auto all = lab.lines(kCaller);
    CHECK_EQ(all.size(), 1U);
    CHECK_EQ(all[0].type, "release");
    CHECK_EQ(*all[0].cause, 42);
    CHECK_EQ(all[0].field("reason"), "call later");
    const int wait = std::stoi(std::string(all[0].field("wait")));
    CHECK(wait > 0 && wait <= 2000);
  }
  CHECK(lab.messages(lab.s0).empty());
  lab.call(lab.id(30), "4712");
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "INVITE");
}

void a_gapped_sip_call_is_rejected_at_once() {
  GapLab lab;
  lab.request(announce(
      gap(lab.now, "g", 1, {{"prefixes", {"47"}}, {"interval_ms", "none"}, {"words", "say \"no\""}})));
  const std::string invite =
      "INVITE sip:4711@net SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:6000;branch=z9hG4bK1\r\nFrom: "
      "<sip:a@trail.example>;tag=f\r\nTo: <sip:4711@net>\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\nMax-Forwards: "
      "70\r\nContent-Length: 0\r\n\r\n";
  lab.deliver(net::Datagram{Concern::sip, "127.0.0.1:6000", invite});
  const auto take_final_answer = [&] {
    std::vector<sip::Message> all;
    for (const auto& d : std::exchange(lab.datagrams, {})) all.push_back(sip::read_datagram(d.bytes).message);
    std::erase_if(all, [](const sip::Message& m) { return m.status == 100; });
    CHECK_EQ(all.size(), 1U);
    return all[0];
  };
  const sip::Message rejection = take_final_answer();
  CHECK_EQ(rejection.status, 503);
  CHECK(!rejection.header("Retry-After").empty());
  CHECK_EQ(rejection.header("Reason"), "Q.850;cause=42;text=\"say no\"");
  // A retransmitted INVITE gets the same answer and is not checked against the register again.
  lab.deliver(net::Datagram{Concern::sip, "127.0.0.1:6000", invite});
  CHECK_EQ(take_final_answer().text(), rejection.text());
  CHECK_EQ(lab.request(line_of({{"op", "list"}}))["gaps"][0]["gapped"], 1);
}

// A gap is announced while one call is established, one has an outstanding attempt and one waits for the
// release guard. None of them is affected, and the retry of the last one is not gapped.
void a_new_gap_does_not_affect_calls_in_flight() {
  GapLab lab;
  lab.call(lab.id(1));
  const sip::Message established = lab.messages(lab.s0).at(0);
  lab.receive(lab.s0, server_answer(established, 200, "answer"));
  lab.messages(lab.s0);
  CHECK_EQ(lab.lines(kCaller).at(0).type, "answer");
  lab.call(lab.id(2));
  const sip::Message timed_out = lab.messages(lab.s0).at(0);
  lab.receive(lab.s0, server_answer(timed_out, 504));
  lab.messages(lab.s0);
  lab.call(lab.id(3));
  const sip::Message outstanding = lab.messages(lab.s0).at(0);
  lab.request(announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", "none"}})));
  lab.receive(lab.s0, server_answer(outstanding, 200, "answer"));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "answer");
  lab.messages(lab.s0);
  lab.advance(400ms);
  std::string sent;
  for (const auto& [conn, bytes] : lab.sent) {
    if (conn.concern == Concern::server) sent += bytes;
  }
  CHECK(sent.find("2 INVITE") != std::string::npos);  // retried after the release guard
  lab.call(lab.id(4));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
  lab.receive(lab.s0, server_bye(lab.id(1), 16));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
}

void the_next_call_passes_after_a_gap_is_lifted() {
  GapLab lab;
  lab.request(announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", "none"}})));
  std::string burst;
  for (int i = 1; i <= 5; ++i) lab.call(lab.id(i));
  CHECK_EQ(lab.lines(kCaller).size(), 5U);
  lab.request(announce(lift(lab.now, "g", 2)));
  lab.call(lab.id(6));
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "INVITE");
  lab.advance(5s);
  CHECK_EQ(lab.lines(kCaller).size(), 1U);  // its own; no rejected call gets a second answer
}

void reordered_announcements_keep_the_highest_version() {
  GapLab lab;
  lab.deliver(net::Accepted{kOtherOperator});
  const json oldest = gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", "none"}});
  const json newest = gap(lab.now, "g", 3, {{"numbers", {"4711"}}, {"interval_ms", "none"}});
  CHECK_EQ(lab.request(announce(newest), kOtherOperator)["result"], "taken");
  CHECK_EQ(lab.request(announce(lift(lab.now, "g", 2)))["result"], "older");
  CHECK_EQ(lab.request(announce(oldest))["result"], "older");
  CHECK_EQ(lab.request(announce(newest))["result"], "known");
  lab.call(lab.id(1));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
}

void a_conflict_is_reported_to_both_operators() {
  GapLab lab;
  lab.deliver(net::Accepted{kOtherOperator});
  lab.request(announce(gap(lab.now, "g", 1, {{"numbers", {"1"}}, {"interval_ms", 5000}})));
  json milder = gap(lab.now, "g", 1, {{"numbers", {"1"}}});
  milder["by"] = "other";
  lab.receive(kOtherOperator, announce(milder));
  const auto other = lab.take_answers(kOtherOperator);
  CHECK_EQ(other.at(0)["result"], "conflict");
  CHECK_EQ(other.at(0)["held"]["interval_ms"], 5000);
  CHECK_EQ(other.at(1)["event"], "conflict");
  CHECK_EQ(lab.take_answers().at(0)["event"], "conflict");
}

void malformed_lines_are_rejected_without_other_effects() {
  GapLab lab;
  for (const std::string line :
       {"no json", "[]", "{}", R"({"op":5})", R"({"op":"burn"})", R"({"op":"announce"})",
        R"({"op":"announce","gap":{"id":"g"}})", R"({"op":"announce","gap":{"id":"g","version":-1}})",
        R"({"op":"announce","gap":{"id":"g","version":1e300,"made":0,"start":0,"end":0}})",
        R"({"op":"announce","gap":{"id":"g","version":18446744073709551615,"made":0,"start":0,"end":0}})",
        R"({"op":"demand"})", R"({"op":"grant","slots":[[1,0]]})", R"({"op":"announcer","life":"x"})",
        R"({"op":"list","after":7})", "\xff\xfe{}", "[[[[[[[[[[[[[[[[[[[[[[[["}) {
    lab.receive(kOperator, line + "\n");
    const auto all = lab.take_answers();
    CHECK_EQ(all.size(), 1U);
    CHECK(all[0]["ok"] == false && !all[0]["trouble"].get<std::string>().empty());
  }
  CHECK(lab.request(line_of({{"op", "list"}}))["ok"] == true);
  // An incomplete line times out after 2.2 s; a line over 32 KiB closes its own connection only.
  lab.receive(kOperator, R"({"op":"li)");
  lab.advance(1s);
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), kOperator), 0);
  lab.advance(2s);
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), kOperator), 1);
  lab.deliver(net::Accepted{kOtherOperator});
  lab.receive(kOtherOperator, std::string(40'000, 'x'));
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), kOtherOperator), 1);
  lab.deliver(net::Accepted{kCaller});
  lab.call(lab.id(1));
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "INVITE");
}

void an_operator_connects_despite_a_hundred_idle_connections() {
  GapLab lab;
  for (std::uint32_t i = 10; i < 110; ++i) lab.deliver(net::Accepted{ConnId{Concern::control, i}});
  CHECK(lab.closed.size() >= 68);  // at most 32 stay open
  const ConnId late_operator{Concern::control, 200};
  lab.deliver(net::Accepted{late_operator});
  CHECK(lab.request(line_of({{"op", "list"}}), late_operator)["ok"] == true);
  lab.advance(3s);
  std::erase(lab.closed, kCaller);
  CHECK_EQ(lab.closed.size(), 101U);  // all that sent nothing
}

void the_gatekeeper_is_ready_after_the_sync_or_the_publisher_wait() {
  for (const bool has_publisher : {true, false}) {
    GapLab lab(deploy_with_control({}, 3s));
    const auto ready = [&] {
      lab.receive(kCaller, R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                           "\n");
      return *lab.lines(kCaller).at(0).cause == 1;
    };
    lab.advance(1s);
    CHECK(!ready());
    if (has_publisher) {
      lab.deliver(net::Accepted{kOtherOperator});
      CHECK_EQ(
          lab.request(line_of({{"op", "announcer"}, {"life", "00000000000000aa"}}), kOtherOperator)["want"],
          "all");
      lab.receive(kOtherOperator,
                  announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", "none"}})));
      CHECK(!ready());
      lab.receive(kOtherOperator, line_of({{"op", "synced"}}));
      CHECK(ready());
      lab.call(lab.id(1));
      CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
    } else {
      lab.advance(2s);  // without a gap publisher it is ready after the 3 s, and serves calls
      CHECK(ready());
    }
  }
}

// ---- SIP neighbours (RFC 7200)

const std::string kPeerAddress = "127.0.0.1:6000";

std::string subscribe(int cseq, int expires, const std::string& to_tag = {}, const std::string& more = {},
                      const std::string& event = "load-control") {
  return "SUBSCRIBE sip:gate@net SIP/2.0\r\nVia: SIP/2.0/UDP " + kPeerAddress + ";branch=z9hG4bKs" +
         std::to_string(cseq) + "\r\nFrom: <sip:n@trail.example>;tag=f\r\nTo: <sip:gate@net>" +
         (to_tag.empty() ? "" : ";tag=" + to_tag) + "\r\nCall-ID: sub\r\nCSeq: " + std::to_string(cseq) +
         " SUBSCRIBE\r\nContact: <sip:n@" + kPeerAddress + ">\r\nEvent: " + event +
         "\r\nExpires: " + std::to_string(expires) + "\r\n" + more +
         "Max-Forwards: 70\r\nContent-Length: 0\r\n\r\n";
}

struct PeerLab : GapLab {
  std::vector<sip::Message> take_messages() {
    std::vector<sip::Message> all;
    for (const auto& d : std::exchange(datagrams, {})) all.push_back(sip::read_datagram(d.bytes).message);
    return all;
  }
  void receive_from_peer(const std::string& text) {
    deliver(net::Datagram{Concern::sip, kPeerAddress, text});
  }
  void answer(const sip::Message& request, int status) {
    receive_from_peer(sip::answer_to(request, status, "x", "n").text());
  }
  std::size_t rules(const sip::Message& notify) { return read_load_control(notify.body).rules.size(); }
};

void a_subscribed_neighbour_is_notified_of_gaps() {
  PeerLab lab;
  lab.receive_from_peer(subscribe(1, 600));
  auto all = lab.take_messages();
  CHECK_EQ(all.size(), 2U);
  CHECK(all[0].status == 200 && all[0].header("Expires") == "600");
  const std::string tag(sip::parameter(all[0].header("To"), "tag"));
  CHECK(all[1].method == "NOTIFY" && all[1].header("Subscription-State") == "active;expires=600");
  CHECK_EQ(lab.rules(all[1]), 0U);
  lab.answer(all[1], 200);
  lab.request(announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", 500}})));
  lab.request(
      announce(gap(lab.now, "each", 1, {{"prefixes", {"48"}}, {"shape", "each"}})));  // no rule expresses it
  lab.advance(300ms);
  all = lab.take_messages();
  CHECK_EQ(all.size(), 1U);
  const LoadControlDocument notified = read_load_control(all[0].body);
  CHECK(notified.version == 1 && notified.rules.size() == 1 && notified.rules[0].limit == 2.0);
  CHECK(notified.rules[0].numbers == std::vector<std::string>{"4711"});
  lab.answer(all[0], 200);
  lab.request(announce(lift(lab.now, "g", 2)));
  lab.advance(300ms);
  all = lab.take_messages();
  CHECK_EQ(lab.rules(all.at(0)), 0U);
  lab.answer(all[0], 200);
  lab.receive_from_peer(subscribe(2, 60, tag));  // refreshed: the complete state is sent again
  all = lab.take_messages();
  CHECK(all.size() == 2 && all[0].header("Expires") == "60" && all[1].method == "NOTIFY");
  lab.answer(all[1], 200);
  lab.advance(61s);
  all = lab.take_messages();
  CHECK(all.size() >= 1 && all[0].header("Subscription-State") == "terminated;reason=timeout");
  lab.answer(all[0], 200);
  lab.receive_from_peer(subscribe(3, 60, tag));
  CHECK_EQ(lab.take_messages().at(0).status, 481);
}

void invalid_subscriptions_are_rejected_and_unanswered_ones_dropped() {
  PeerLab lab;
  lab.receive_from_peer(subscribe(1, 600));
  auto all = lab.take_messages();
  lab.answer(all.at(1), 481);  // the neighbour has no such subscription
  lab.request(announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}})));
  lab.advance(1s);
  CHECK(lab.take_messages().empty());
  lab.receive_from_peer(subscribe(2, 600, {}, {}, "presence"));
  CHECK_EQ(lab.take_messages().at(0).status, 489);
  lab.receive_from_peer(subscribe(3, 600, {}, "Accept: text/plain\r\n"));
  CHECK_EQ(lab.take_messages().at(0).status, 406);
  lab.receive_from_peer(subscribe(4, 2));
  all = lab.take_messages();
  CHECK(all.at(0).status == 423 && all[0].header("Min-Expires") == "5");
  for (int i = 10; i < 74; ++i) lab.receive_from_peer(subscribe(i, 600));
  lab.take_messages();
  lab.receive_from_peer(subscribe(80, 600));
  CHECK_EQ(lab.take_messages().at(0).status, 503);
  lab.advance(40s);  // subscriptions whose NOTIFYs are not answered are dropped, and new ones are accepted
  lab.take_messages();
  lab.receive_from_peer(subscribe(81, 600));
  CHECK_EQ(lab.take_messages().at(0).status, 200);
}

// Two gatekeepers as SIP neighbours: a call that is gapped at one is rejected at the other and never sent to
// the first.
void a_neighbour_rejects_calls_that_are_gapped_at_the_other() {
  GapLab notifier;
  DeployConfig deploy = deploy_with_control();
  deploy.sip_udp = "127.0.0.1:5061";
  deploy.load_control_from = {"127.0.0.1:5060"};
  GapLab subscriber(deploy);
  const auto run = [&](Duration span) {
    for (Duration t{}; t < span; t += 50ms) {
      notifier.advance(50ms);
      subscriber.advance(50ms);
      for (int i = 0; i < 4; ++i) {
        for (const auto& datagram : std::exchange(subscriber.datagrams, {}))
          notifier.deliver(net::Datagram{Concern::sip, "127.0.0.1:5061", datagram.bytes});
        for (const auto& datagram : std::exchange(notifier.datagrams, {}))
          subscriber.deliver(net::Datagram{Concern::sip, "127.0.0.1:5060", datagram.bytes});
      }
    }
  };
  run(1s);
  notifier.request(announce(gap(notifier.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", "none"}})));
  run(1s);
  subscriber.deliver(net::Accepted{kCaller});
  subscriber.call(subscriber.id(1));
  CHECK_EQ(*subscriber.lines(kCaller).at(0).cause, 42);
  notifier.request(announce(lift(notifier.now, "g", 2)));
  run(1s);
  subscriber.call(subscriber.id(2));
  CHECK_EQ(subscriber.messages(subscriber.s0).at(0).method, "INVITE");
  // A well-formed NOTIFY outside of a subscription changes nothing.
  LoadControlDocument bad;
  bad.version = 99;
  bad.rules.push_back({"x", {"4712"}, {}, {}, {}, LoadRule::LimitKind::rate, 0.0});
  sip::Message notify;
  notify.method = "NOTIFY";
  notify.uri = "sip:127.0.0.1:5061";
  for (const auto& [name, value] :
       {std::pair{"Via", "SIP/2.0/UDP 127.0.0.1:6000;branch=z9hG4bKx"}, std::pair{"From", "<sip:x@y>;tag=1"},
        std::pair{"To", "<sip:z@y>;tag=2"}, std::pair{"Call-ID", "guessed"}, std::pair{"CSeq", "1 NOTIFY"},
        std::pair{"Event", "load-control"}, std::pair{"Subscription-State", "active"},
        std::pair{"Content-Type", "application/load-control+xml"}})
    notify.add(name, value);
  notify.body = write_load_control(bad);
  subscriber.deliver(net::Datagram{Concern::sip, kPeerAddress, notify.text()});
  CHECK_EQ(sip::read_datagram(subscriber.datagrams.back().bytes).message.status, 481);
  subscriber.call(subscriber.id(3), "4712");
  CHECK_EQ(subscriber.messages(subscriber.s0).at(0).method, "INVITE");
}

// ---- the gap publisher with a fleet

// Simulated processes and the connections between them. `run` delivers bytes in order and fires timers.
class Network {
 public:
  struct Node {
    std::string address{};
    Concern listens{};
    std::function<void(Time, const net::Event&, net::Effects&)> step{};
    bool down = false;
    std::multimap<Time, net::TimerKey> timers{};
    std::string file{};
    std::string printed{};
    std::optional<int> status{};
    std::map<ConnId, std::string> unread{};
  };
  struct LinkEnd {
    Node* node{};
    ConnId conn{};
    auto operator<=>(const LinkEnd&) const = default;
  };

  Node& add(const std::string& address, Concern listens, decltype(Node::step) step) {
    auto node = std::make_unique<Node>();
    node->address = address;
    node->listens = listens;
    node->step = std::move(step);
    nodes.push_back(std::move(node));
    return *nodes.back();
  }
  void start(Node& node) { tell(node, net::Started{}); }
  void tell(Node& node, const net::Event& event) {
    if (node.down || node.status) return;
    net::Effects effects;
    node.step(now, event, effects);
    for (const net::Effect& effect : effects) apply_effect(node, effect);
  }
  // Breaks the node's connections and drops its timers. The test may set `step` again and start it.
  void kill(Node& node) {
    node.down = true;
    node.timers.clear();
    node.unread.clear();
    for (auto it = links.begin(); it != links.end();) {
      if (it->first.node == &node || it->second.node == &node) {
        if (it->first.node == &node) in_flight.push_back({it->second, {}, true});
        it = links.erase(it);
      } else {
        ++it;
      }
    }
  }
  void run(Duration span) {
    const Time end = now + span;
    while (true) {
      while (!in_flight.empty()) {
        const Delivery delivery = in_flight.front();
        in_flight.pop_front();
        if (delivery.closed) {
          tell(*delivery.to.node, net::Closed{delivery.to.conn, true});
        } else {
          delivery.to.node->unread[delivery.to.conn] += delivery.bytes;
          const std::string all = delivery.to.node->unread[delivery.to.conn];
          tell(*delivery.to.node, net::Received{delivery.to.conn, all});
        }
        if (--deliveries_left == 0) return;
      }
      Node* next = nullptr;
      for (const auto& node : nodes) {
        if (node->timers.empty() || node->down || node->status) continue;
        if (next == nullptr || node->timers.begin()->first < next->timers.begin()->first) next = node.get();
      }
      if (next == nullptr || next->timers.begin()->first > end) break;
      now = std::max(now, next->timers.begin()->first);
      const net::TimerKey key = next->timers.begin()->second;
      next->timers.erase(next->timers.begin());
      tell(*next, net::TimerFired{key});
    }
    now = end;
  }

  Time now{1'000'000s};
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<LinkEnd, LinkEnd> links;
  int deliveries_left = -1;  // `run` returns after this many deliveries; negative: unlimited

 private:
  struct Delivery {
    LinkEnd to;
    std::string bytes;
    bool closed = false;
  };
  void apply_effect(Node& node, const net::Effect& effect) {
    if (const auto* e = std::get_if<net::Connect>(&effect)) {
      for (const auto& other : nodes) {
        if (other->down || other->address != e->address) continue;
        const LinkEnd here{&node, e->conn};
        const LinkEnd there{other.get(), {other->listens, ++accepted}};
        links[here] = there;
        links[there] = here;
        tell(*other, net::Accepted{there.conn});
        return tell(node, net::Connected{e->conn});
      }
      tell(node, net::ConnectFailed{e->conn, true});
    } else if (const auto* e = std::get_if<net::Send>(&effect)) {
      if (const auto it = links.find({&node, e->conn}); it != links.end())
        in_flight.push_back({it->second, e->bytes, false});
    } else if (const auto* e = std::get_if<net::Close>(&effect)) {
      if (const auto it = links.find({&node, e->conn}); it != links.end()) {
        const LinkEnd other = it->second;
        links.erase(it);
        links.erase(other);
        in_flight.push_back({other, {}, true});
      }
    } else if (const auto* e = std::get_if<net::Consume>(&effect)) {
      node.unread[e->conn].erase(0, e->count);
    } else if (const auto* e = std::get_if<net::ArmTimer>(&effect)) {
      node.timers.emplace(e->at, e->key);
    } else if (const auto* e = std::get_if<net::ReadFile>(&effect)) {
      tell(node, net::FileRead{e->path, node.file.empty() ? std::nullopt : std::optional(node.file)});
    } else if (const auto* e = std::get_if<net::WriteFile>(&effect)) {
      node.file = e->text;
    } else if (const auto* e = std::get_if<net::Print>(&effect)) {
      node.printed += e->text;
    } else if (const auto* e = std::get_if<net::Exit>(&effect)) {
      node.status = e->status;
      kill(node);
    }
  }
  std::deque<Delivery> in_flight;
  std::uint32_t accepted = 1000;
};

struct GapFleet {
  explicit GapFleet(std::uint32_t size) {
    for (std::uint32_t i = 0; i < size; ++i) {
      counters.push_back(std::make_unique<Counters>());
      controls.emplace_back();
      gatekeepers.push_back(&net.add("127.0.0.1:" + std::to_string(7400 + i), Concern::control, {}));
      start_gatekeeper(i);
    }
    publisher_node = &net.add("127.0.0.1:7300", Concern::control, {});
    start_publisher(1);
  }
  void start_gatekeeper(std::uint32_t i) {
    ControlSettings s = *deploy_with_control({static_cast<std::uint32_t>(gatekeepers.size()), i}).control;
    s.fleet.size = std::max<std::uint32_t>(s.fleet.size, 8);
    s.name = "n" + std::to_string(i);
    s.seed = i + 1;
    controls[i] = std::make_unique<Control>(s, *counters[i]);
    Control* control = controls[i].get();
    gatekeepers[i]->down = false;
    gatekeepers[i]->step = [control](Time now, const net::Event& event, net::Effects& effects) {
      Outbox out;
      if (std::holds_alternative<net::Started>(event)) control->start(now, out);
      std::visit(
          [&](const auto& e) {
            if constexpr (requires { control->on(now, e, out); }) control->on(now, e, out);
          },
          event);
      effects = std::move(out.net);
    };
    net.start(*gatekeepers[i]);
  }
  void start_publisher(std::uint64_t incarnation) {
    GapPublisherSettings s;
    s.listen = publisher_node->address;
    s.file = "gaps";
    s.incarnation = incarnation;
    for (const Network::Node* gatekeeper : gatekeepers) s.gatekeepers.push_back(gatekeeper->address);
    publisher = std::make_unique<GapPublisher>(s);
    publisher_node->down = false;
    publisher_node->status.reset();
    publisher_node->step = [this](Time now, const net::Event& event, net::Effects& effects) {
      publisher->step(now, event, effects);
    };
    net.start(*publisher_node);
  }
  // Runs graniterunctl: its exit status and its output.
  std::pair<int, std::string> run_client(GapClientSettings s, Duration span = 5s) {
    clients.push_back(std::make_unique<GapClient>(std::move(s)));
    GapClient* client = clients.back().get();
    Network::Node& node = net.add(
        "", Concern::control_client,
        [client](Time now, const net::Event& e, net::Effects& effects) { client->step(now, e, effects); });
    net.start(node);
    net.run(span);
    return {node.status.value_or(-1), node.printed};
  }
  GapClientSettings settings(GapClientSettings::Command command,
                             std::vector<std::string> addresses = {"127.0.0.1:7300"}) {
    GapClientSettings s;
    s.command = command;
    s.addresses = std::move(addresses);
    if (command == GapClientSettings::Command::announce)
      s.announcement = announcement_of(gap(net.now, "g", 1, {{"numbers", {"4711"}}}));
    return s;
  }
  bool all_obey(Duration after = {}) {
    return std::all_of(controls.begin(), controls.end(),
                       [&](const auto& c) { return !c->check(net.now + after, "4711", "voice").passes; });
  }
  Network net;
  std::vector<std::unique_ptr<Counters>> counters;
  std::vector<std::unique_ptr<Control>> controls;
  std::vector<Network::Node*> gatekeepers;
  std::unique_ptr<GapPublisher> publisher;
  Network::Node* publisher_node{};
  std::vector<std::unique_ptr<GapClient>> clients;
};

void the_client_reports_how_many_gatekeepers_obey() {
  GapFleet fleet(8);
  fleet.net.run(1s);
  GapClientSettings settings = fleet.settings(GapClientSettings::Command::announce);
  settings.announcement->gap->interval.reset();
  const auto [status, text] = fleet.run_client(settings);
  CHECK_EQ(status, 0);
  CHECK(text.find("8 of 8 gatekeepers obey") != std::string::npos);
  CHECK(fleet.all_obey());
  auto [listed, gaps] = fleet.run_client(fleet.settings(GapClientSettings::Command::list));
  CHECK(listed == 0 && gaps.find("in force g") != std::string::npos && gaps.find("NOT") == std::string::npos);
  GapClientSettings lift_settings = settings;
  lift_settings.announcement->version = 2;
  lift_settings.announcement->gap.reset();
  lift_settings.json = true;
  const auto [lifted, printed] = fleet.run_client(lift_settings);
  CHECK_EQ(lifted, 0);
  CHECK_EQ(json::parse(printed)["targets"][0]["obeyed"].size(), 8U);
  CHECK(!fleet.all_obey());
  // A gatekeeper that is down is reported to the operator, and gets all gaps when it is back.
  fleet.net.kill(*fleet.gatekeepers[3]);
  GapClientSettings again = settings;
  again.announcement->version = 3;
  const auto [partly, seven] = fleet.run_client(again);
  CHECK(partly == GapClient::kIncomplete && seven.find("7 of 8") != std::string::npos);
  fleet.start_gatekeeper(3);
  fleet.net.run(1s);
  CHECK(fleet.all_obey());
  CHECK_EQ(fleet.run_client(fleet.settings(GapClientSettings::Command::list)).first, 0);
}

// Gaps that some gatekeepers receive while no gap publisher runs reach all others once one is started.
void gaps_announced_without_a_publisher_reach_all_gatekeepers_later() {
  GapFleet fleet(8);
  fleet.net.run(1s);
  fleet.net.kill(*fleet.publisher_node);
  GapClientSettings settings =
      fleet.settings(GapClientSettings::Command::announce, {"127.0.0.1:7400", "127.0.0.1:7401"});
  settings.announcement->gap->interval.reset();
  CHECK_EQ(fleet.run_client(settings).first, 0);
  CHECK(!fleet.all_obey());
  CHECK_EQ(
      fleet.run_client(fleet.settings(GapClientSettings::Command::list, {"127.0.0.1:7400", "127.0.0.1:7402"}))
          .first,
      GapClient::kIncomplete);
  CHECK_EQ(fleet.run_client(fleet.settings(GapClientSettings::Command::list, {"127.0.0.1:9"})).first,
           GapClient::kUnreachable);
  fleet.start_publisher(2);
  fleet.net.run(2s);
  CHECK(fleet.all_obey());
}

// The publisher is killed after 1, 6, ... 56 deliveries and restarted from its file. All gatekeepers then
// hold the gap if the file had it or any gatekeeper had received it; otherwise none does.
void a_publisher_killed_during_a_push_resumes_from_its_file() {
  for (int after = 1; after < 60; after += 5) {
    GapFleet fleet(8);
    fleet.net.run(1s);
    GapClientSettings settings = fleet.settings(GapClientSettings::Command::announce);
    settings.announcement->gap->interval.reset();
    fleet.clients.push_back(std::make_unique<GapClient>(settings));
    GapClient* client = fleet.clients.back().get();
    Network::Node& node =
        fleet.net.add("", Concern::control_client,
                      [client](Time now, const net::Event& e, net::Effects& f) { client->step(now, e, f); });
    fleet.net.start(node);
    fleet.net.deliveries_left = after;
    fleet.net.run(10ms);
    const bool stored = !fleet.publisher_node->file.empty();
    fleet.net.kill(*fleet.publisher_node);
    fleet.net.deliveries_left = -1;
    fleet.net.run(500ms);
    const bool pushed = std::any_of(fleet.controls.begin(), fleet.controls.end(), [&](const auto& c) {
      return !c->check(fleet.net.now, "4711", "voice").passes;
    });
    fleet.start_publisher(2);
    fleet.net.run(2s);
    CHECK_EQ(fleet.all_obey(), stored || pushed);
  }
}

// Guards against a publisher that ends on a gatekeeper's line with a value of another type, or with nested
// values that overflow the stack where the line is copied.
void a_gatekeepers_malformed_lines_do_not_end_the_publisher() {
  GapFleet fleet(8);
  fleet.net.run(1s);
  std::vector<ConnId> conns;
  for (const auto& [end, other] : fleet.net.links) {
    if (end.node == fleet.publisher_node) conns.push_back(end.conn);
  }
  CHECK_EQ(conns.size(), 8U);
  const std::string stored =
      to_json(*fleet.settings(GapClientSettings::Command::announce).announcement).dump();
  const std::string deep = std::string(15'000, '[') + std::string(15'000, ']');
  for (const std::string& line :
       {R"({"re":"list","ok":true,"gaps":[)" + stored + R"(],"more":5})",
        std::string(R"({"re":[],"ok":true})"), std::string(R"({"event":{},"gap":[]})"),
        R"({"event":"other","x":)" + deep + "}"})
    fleet.net.tell(*fleet.publisher_node, net::Received{conns.front(), line + "\n"});
  fleet.net.run(1s);
  CHECK(!fleet.publisher_node->status);
  CHECK_EQ(fleet.run_client(fleet.settings(GapClientSettings::Command::announce)).first, 0);
}

void an_unreadable_file_is_not_overwritten() {
  GapFleet fleet(8);
  fleet.net.kill(*fleet.publisher_node);
  fleet.publisher_node->file = "{\"id\":\"g\"\n";
  fleet.start_publisher(2);
  CHECK_EQ(*fleet.publisher_node->status, 1);
  CHECK_EQ(fleet.publisher_node->file, "{\"id\":\"g\"\n");
}

void a_restarted_publisher_pushes_a_thousand_gaps() {
  GapFleet fleet(8);
  for (int i = 0; i < 1000; ++i)
    fleet.publisher_node->file +=
        line_of(gap(fleet.net.now, "g" + std::to_string(i), 1, {{"numbers", {"4711"}}}));
  fleet.net.kill(*fleet.publisher_node);
  fleet.start_publisher(2);
  fleet.net.run(3s);
  const auto [status, text] = fleet.run_client(fleet.settings(GapClientSettings::Command::list));
  CHECK_EQ(status, 0);
  for (const auto& c : fleet.counters) CHECK_EQ(c->value("gaps.taken"), 1000U);
}

// Calls arrive at one of 8 gatekeepers only. With the gap publisher it gets the slots of the others; without
// it, its own share.
void slots_are_allocated_by_demand() {
  GapFleet fleet(8);
  fleet.net.run(1s);
  GapClientSettings settings = fleet.settings(GapClientSettings::Command::announce);
  CHECK_EQ(fleet.run_client(settings).first, 0);
  const auto offer_calls = [&](Duration span) {
    std::set<std::int64_t> slots;
    std::size_t passed = 0;
    for (Duration t{}; t < span; t += 25ms) {
      fleet.net.run(25ms);
      if (!fleet.controls[2]->check(fleet.net.now, "4711", "voice").passes) continue;
      ++passed;
      slots.insert((fleet.net.now - settings.announcement->start) / 1s);
    }
    CHECK_EQ(passed, slots.size());
    return passed;
  };
  offer_calls(10s);
  CHECK(offer_calls(40s) >= 36);
  fleet.net.kill(*fleet.publisher_node);
  offer_calls(4s);
  const std::size_t alone = offer_calls(40s);
  CHECK(alone >= 4 && alone <= 6);
}

}  // namespace

int main() {
  a_gapped_platform_call_is_rejected_at_once();
  a_gapped_sip_call_is_rejected_at_once();
  a_new_gap_does_not_affect_calls_in_flight();
  the_next_call_passes_after_a_gap_is_lifted();
  reordered_announcements_keep_the_highest_version();
  a_conflict_is_reported_to_both_operators();
  malformed_lines_are_rejected_without_other_effects();
  an_operator_connects_despite_a_hundred_idle_connections();
  the_gatekeeper_is_ready_after_the_sync_or_the_publisher_wait();
  a_subscribed_neighbour_is_notified_of_gaps();
  invalid_subscriptions_are_rejected_and_unanswered_ones_dropped();
  a_neighbour_rejects_calls_that_are_gapped_at_the_other();
  the_client_reports_how_many_gatekeepers_obey();
  gaps_announced_without_a_publisher_reach_all_gatekeepers_later();
  a_publisher_killed_during_a_push_resumes_from_its_file();
  a_gatekeepers_malformed_lines_do_not_end_the_publisher();
  an_unreadable_file_is_not_overwritten();
  a_restarted_publisher_pushes_a_thousand_gaps();
  slots_are_allocated_by_demand();
}
