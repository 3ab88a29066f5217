// The control listener, the announcer and the command line as reducers, wired to each other under one clock:
// lines in, effects kept, connections broken where a test says so.
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
constexpr ConnId kDesk{Concern::control, 1};
constexpr ConnId kOther{Concern::control, 2};

DeployConfig with_control(call_gapping::Fleet fleet = {}, Duration wait = {}) {
  DeployConfig d;
  d.sip_udp = "127.0.0.1:5060";
  d.control.emplace();
  d.control->listen = "127.0.0.1:7400";
  d.control->fleet = fleet;
  d.control->publisher_wait = wait;
  return d;
}

std::int64_t ms_of(Time t) { return to_unix_ms(t); }

json gap(Time now, const std::string& id, std::uint64_t version, const json& more) {
  json g = {{"id", id},           {"version", version},  {"by", "desk"},
            {"made", ms_of(now)}, {"start", ms_of(now)}, {"end", ms_of(now + 1h)},
            {"interval_ms", 1000}};
  g.update(more);
  return g;
}
json lift(Time now, const std::string& id, std::uint64_t version) {
  return gap(now, id, version, {{"lifted", true}});
}
std::string announce(const json& g) { return line_of({{"op", "announce"}, {"gap", g}}); }

struct GapLab : Lab {
  explicit GapLab(DeployConfig deploy = with_control()) : Lab(config_for_tests(), deploy) {
    s0 = connects.at(0).conn;
    bring_up();
    tell(net::Accepted{kCaller});
    tell(net::Accepted{kDesk});
  }
  std::vector<json> desk(ConnId conn = kDesk) {
    std::vector<json> all;
    std::istringstream text(take(conn));
    for (std::string line; std::getline(text, line);) all.push_back(json::parse(line));
    return all;
  }
  json tell_desk(const std::string& line, ConnId conn = kDesk) {
    receive(conn, line);
    const auto all = desk(conn);
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

void a_gapped_call_is_refused_at_once_on_the_platform() {
  GapLab lab;
  CHECK_EQ(lab.tell_desk(
               announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"words", "call later"}})))["result"],
           "taken");
  lab.call(lab.id(1));
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "INVITE");
  for (int i = 2; i < 20; ++i) {  // redials count as calls: each gets its one answer, and none is sent on
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

void a_gapped_call_is_refused_at_once_over_sip() {
  GapLab lab;
  lab.tell_desk(announce(
      gap(lab.now, "g", 1, {{"prefixes", {"47"}}, {"interval_ms", "none"}, {"words", "say \"no\""}})));
  const std::string invite =
      "INVITE sip:4711@net SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:6000;branch=z9hG4bK1\r\nFrom: "
      "<sip:a@trail.example>;tag=f\r\nTo: <sip:4711@net>\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\nMax-Forwards: "
      "70\r\nContent-Length: 0\r\n\r\n";
  lab.tell(net::Datagram{Concern::sip, "127.0.0.1:6000", invite});
  const auto refused = [&] {
    std::vector<sip::Message> all;
    for (const auto& d : std::exchange(lab.datagrams, {})) all.push_back(sip::read_datagram(d.bytes).message);
    std::erase_if(all, [](const sip::Message& m) { return m.status == 100; });
    CHECK_EQ(all.size(), 1U);
    return all[0];
  };
  const sip::Message m = refused();
  CHECK_EQ(m.status, 503);
  CHECK(!m.header("Retry-After").empty());
  CHECK_EQ(m.header("Reason"), "Q.850;cause=42;text=\"say no\"");
  // A repeat of the INVITE is no new call: the same answer, and the register is not asked.
  lab.tell(net::Datagram{Concern::sip, "127.0.0.1:6000", invite});
  CHECK_EQ(refused().text(), m.text());
  CHECK_EQ(lab.tell_desk(line_of({{"op", "list"}}))["gaps"][0]["gapped"], 1);
}

// One waits for the release guard, one is out, one stands: none is touched, and further attempts are not
// gapped.
void a_gap_leaves_calls_in_flight_alone() {
  GapLab lab;
  lab.call(lab.id(1));
  const sip::Message standing = lab.messages(lab.s0).at(0);
  lab.receive(lab.s0, server_answer(standing, 200, "answer"));
  lab.messages(lab.s0);
  CHECK_EQ(lab.lines(kCaller).at(0).type, "answer");
  lab.call(lab.id(2));
  const sip::Message waits = lab.messages(lab.s0).at(0);
  lab.receive(lab.s0, server_answer(waits, 504));
  lab.messages(lab.s0);
  lab.call(lab.id(3));
  const sip::Message out = lab.messages(lab.s0).at(0);
  lab.tell_desk(announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", "none"}})));
  lab.receive(lab.s0, server_answer(out, 200, "answer"));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "answer");
  lab.messages(lab.s0);
  lab.pass(400ms);
  std::string sent;
  for (const auto& [conn, bytes] : lab.sent) {
    if (conn.concern == Concern::server) sent += bytes;
  }
  CHECK(sent.find("2 INVITE") != std::string::npos);  // sent on after the guard
  lab.call(lab.id(4));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
  lab.receive(lab.s0, server_bye(lab.id(1), 16));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
}

void a_gap_lifted_while_calls_are_refused_lets_the_next_one_pass() {
  GapLab lab;
  lab.tell_desk(announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", "none"}})));
  std::string burst;
  for (int i = 1; i <= 5; ++i) lab.call(lab.id(i));
  CHECK_EQ(lab.lines(kCaller).size(), 5U);
  lab.tell_desk(announce(lift(lab.now, "g", 2)));
  lab.call(lab.id(6));
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "INVITE");
  lab.pass(5s);
  CHECK_EQ(lab.lines(kCaller).size(), 1U);  // its own; none of the refused has a second answer
}

void announce_lift_and_announce_crossing_on_two_connections() {
  GapLab lab;
  lab.tell(net::Accepted{kOther});
  const json first = gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", "none"}});
  const json again = gap(lab.now, "g", 3, {{"numbers", {"4711"}}, {"interval_ms", "none"}});
  CHECK_EQ(lab.tell_desk(announce(again), kOther)["result"], "taken");
  CHECK_EQ(lab.tell_desk(announce(lift(lab.now, "g", 2)))["result"], "older");
  CHECK_EQ(lab.tell_desk(announce(first))["result"], "older");
  CHECK_EQ(lab.tell_desk(announce(again))["result"], "known");
  lab.call(lab.id(1));
  CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
}

void two_operators_with_one_id_are_both_told() {
  GapLab lab;
  lab.tell(net::Accepted{kOther});
  lab.tell_desk(announce(gap(lab.now, "g", 1, {{"numbers", {"1"}}, {"interval_ms", 5000}})));
  json mild = gap(lab.now, "g", 1, {{"numbers", {"1"}}});
  mild["by"] = "other";
  lab.receive(kOther, announce(mild));
  const auto other = lab.desk(kOther);
  CHECK_EQ(other.at(0)["result"], "conflict");
  CHECK_EQ(other.at(0)["held"]["interval_ms"], 5000);
  CHECK_EQ(other.at(1)["event"], "conflict");
  CHECK_EQ(lab.desk().at(0)["event"], "conflict");
}

void malformed_lines_are_refused_and_harm_nobody() {
  GapLab lab;
  for (const std::string line :
       {"no json", "[]", "{}", R"({"op":5})", R"({"op":"burn"})", R"({"op":"announce"})",
        R"({"op":"announce","gap":{"id":"g"}})", R"({"op":"announce","gap":{"id":"g","version":-1}})",
        R"({"op":"announce","gap":{"id":"g","version":1e300,"made":0,"start":0,"end":0}})",
        R"({"op":"announce","gap":{"id":"g","version":18446744073709551615,"made":0,"start":0,"end":0}})",
        R"({"op":"demand"})", R"({"op":"grant","slots":[[1,0]]})", R"({"op":"announcer","life":"x"})",
        R"({"op":"list","after":7})", "\xff\xfe{}", "[[[[[[[[[[[[[[[[[[[[[[[["}) {
    lab.receive(kDesk, line + "\n");
    const auto all = lab.desk();
    CHECK_EQ(all.size(), 1U);
    CHECK(all[0]["ok"] == false && !all[0]["trouble"].get<std::string>().empty());
  }
  CHECK(lab.tell_desk(line_of({{"op", "list"}}))["ok"] == true);
  // Half a line is waited for, but not for long; one without an end closes its connection only.
  lab.receive(kDesk, R"({"op":"li)");
  lab.pass(1s);
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), kDesk), 0);
  lab.pass(2s);
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), kDesk), 1);
  lab.tell(net::Accepted{kOther});
  lab.receive(kOther, std::string(40'000, 'x'));
  CHECK_EQ(std::count(lab.closed.begin(), lab.closed.end(), kOther), 1);
  lab.tell(net::Accepted{kCaller});
  lab.call(lab.id(1));
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "INVITE");
}

void a_hundred_silent_connections_leave_room_for_an_operator() {
  GapLab lab;
  for (std::uint32_t i = 10; i < 110; ++i) lab.tell(net::Accepted{ConnId{Concern::control, i}});
  CHECK(lab.closed.size() >= 68);  // 32 are kept
  const ConnId desk{Concern::control, 200};
  lab.tell(net::Accepted{desk});
  CHECK(lab.tell_desk(line_of({{"op", "list"}}), desk)["ok"] == true);
  lab.pass(3s);
  std::erase(lab.closed, kCaller);
  CHECK_EQ(lab.closed.size(), 101U);  // all that said nothing
}

void the_program_is_ready_once_it_has_the_register() {
  for (const bool announcer : {true, false}) {
    GapLab lab(with_control({}, 3s));
    const auto ready = [&] {
      lab.receive(kCaller, R"({"type":"ping","id":"00000000000000ee","fields":{},"cause":0})"
                           "\n");
      return *lab.lines(kCaller).at(0).cause == 1;
    };
    lab.pass(1s);
    CHECK(!ready());
    if (announcer) {
      lab.tell(net::Accepted{kOther});
      CHECK_EQ(lab.tell_desk(line_of({{"op", "announcer"}, {"life", "00000000000000aa"}}), kOther)["want"],
               "all");
      lab.receive(kOther, announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", "none"}})));
      CHECK(!ready());
      lab.receive(kOther, line_of({{"op", "synced"}}));
      CHECK(ready());
      lab.call(lab.id(1));
      CHECK_EQ(lab.lines(kCaller).at(0).type, "release");
    } else {
      lab.pass(2s);  // it is gone: without it the calls are served all the same
      CHECK(ready());
    }
  }
}

// ---- SIP neighbours (RFC 7200)

const std::string kPeer = "127.0.0.1:6000";

std::string subscribe(int cseq, int expires, const std::string& to_tag = {}, const std::string& more = {},
                      const std::string& event = "load-control") {
  return "SUBSCRIBE sip:gate@net SIP/2.0\r\nVia: SIP/2.0/UDP " + kPeer + ";branch=z9hG4bKs" +
         std::to_string(cseq) + "\r\nFrom: <sip:n@trail.example>;tag=f\r\nTo: <sip:gate@net>" +
         (to_tag.empty() ? "" : ";tag=" + to_tag) + "\r\nCall-ID: sub\r\nCSeq: " + std::to_string(cseq) +
         " SUBSCRIBE\r\nContact: <sip:n@" + kPeer + ">\r\nEvent: " + event +
         "\r\nExpires: " + std::to_string(expires) + "\r\n" + more +
         "Max-Forwards: 70\r\nContent-Length: 0\r\n\r\n";
}

struct PeerLab : GapLab {
  std::vector<sip::Message> peer() {
    std::vector<sip::Message> all;
    for (const auto& d : std::exchange(datagrams, {})) all.push_back(sip::read_datagram(d.bytes).message);
    return all;
  }
  void from_peer(const std::string& text) { tell(net::Datagram{Concern::sip, kPeer, text}); }
  void answer(const sip::Message& request, int status) {
    from_peer(sip::answer_to(request, status, "x", "n").text());
  }
  std::size_t rules(const sip::Message& notify) { return read_load_control(notify.body).rules.size(); }
};

void a_neighbour_is_told_of_gaps_while_it_subscribes() {
  PeerLab lab;
  lab.from_peer(subscribe(1, 600));
  auto all = lab.peer();
  CHECK_EQ(all.size(), 2U);
  CHECK(all[0].status == 200 && all[0].header("Expires") == "600");
  const std::string tag(sip::parameter(all[0].header("To"), "tag"));
  CHECK(all[1].method == "NOTIFY" && all[1].header("Subscription-State") == "active;expires=600");
  CHECK_EQ(lab.rules(all[1]), 0U);
  lab.answer(all[1], 200);
  lab.tell_desk(announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", 500}})));
  lab.tell_desk(
      announce(gap(lab.now, "each", 1, {{"prefixes", {"48"}}, {"shape", "each"}})));  // no rule says it
  lab.pass(300ms);
  all = lab.peer();
  CHECK_EQ(all.size(), 1U);
  const LoadControlDocument told = read_load_control(all[0].body);
  CHECK(told.version == 1 && told.rules.size() == 1 && told.rules[0].figure == 2.0);
  CHECK(told.rules[0].numbers == std::vector<std::string>{"4711"});
  lab.answer(all[0], 200);
  lab.tell_desk(announce(lift(lab.now, "g", 2)));
  lab.pass(300ms);
  all = lab.peer();
  CHECK_EQ(lab.rules(all.at(0)), 0U);
  lab.answer(all[0], 200);
  lab.from_peer(subscribe(2, 60, tag));  // refreshed: the whole again
  all = lab.peer();
  CHECK(all.size() == 2 && all[0].header("Expires") == "60" && all[1].method == "NOTIFY");
  lab.answer(all[1], 200);
  lab.pass(61s);
  all = lab.peer();
  CHECK(all.size() >= 1 && all[0].header("Subscription-State") == "terminated;reason=timeout");
  lab.answer(all[0], 200);
  lab.from_peer(subscribe(3, 60, tag));
  CHECK_EQ(lab.peer().at(0).status, 481);
}

void subscriptions_end_with_their_neighbour_and_are_bounded() {
  PeerLab lab;
  lab.from_peer(subscribe(1, 600));
  auto all = lab.peer();
  lab.answer(all.at(1), 481);  // it has forgotten
  lab.tell_desk(announce(gap(lab.now, "g", 1, {{"numbers", {"4711"}}})));
  lab.pass(1s);
  CHECK(lab.peer().empty());
  lab.from_peer(subscribe(2, 600, {}, {}, "presence"));
  CHECK_EQ(lab.peer().at(0).status, 489);
  lab.from_peer(subscribe(3, 600, {}, "Accept: text/plain\r\n"));
  CHECK_EQ(lab.peer().at(0).status, 406);
  lab.from_peer(subscribe(4, 2));
  all = lab.peer();
  CHECK(all.at(0).status == 423 && all[0].header("Min-Expires") == "5");
  for (int i = 10; i < 74; ++i) lab.from_peer(subscribe(i, 600));
  lab.peer();
  lab.from_peer(subscribe(80, 600));
  CHECK_EQ(lab.peer().at(0).status, 503);
  lab.pass(40s);  // none of their NOTIFYs is answered: they are dropped, and there is room again
  lab.peer();
  lab.from_peer(subscribe(81, 600));
  CHECK_EQ(lab.peer().at(0).status, 200);
}

// Two gatekeepers as neighbours: what is gapped at one is refused at the other before it comes to the first.
void a_neighbour_stops_gapped_calls_before_they_come() {
  GapLab far;
  DeployConfig d = with_control();
  d.sip_udp = "127.0.0.1:5061";
  d.load_control_from = {"127.0.0.1:5060"};
  GapLab near(d);
  const auto run = [&](Duration span) {
    for (Duration t{}; t < span; t += 50ms) {
      far.pass(50ms);
      near.pass(50ms);
      for (int i = 0; i < 4; ++i) {
        for (const auto& m : std::exchange(near.datagrams, {}))
          far.tell(net::Datagram{Concern::sip, "127.0.0.1:5061", m.bytes});
        for (const auto& m : std::exchange(far.datagrams, {}))
          near.tell(net::Datagram{Concern::sip, "127.0.0.1:5060", m.bytes});
      }
    }
  };
  run(1s);
  far.tell_desk(announce(gap(far.now, "g", 1, {{"numbers", {"4711"}}, {"interval_ms", "none"}})));
  run(1s);
  near.tell(net::Accepted{kCaller});
  near.call(near.id(1));
  CHECK_EQ(*near.lines(kCaller).at(0).cause, 42);
  far.tell_desk(announce(lift(far.now, "g", 2)));
  run(1s);
  near.call(near.id(2));
  CHECK_EQ(near.messages(near.s0).at(0).method, "INVITE");
  // A NOTIFY that answers to no subscription of ours, however well formed, changes nothing.
  LoadControlDocument bad;
  bad.version = 99;
  bad.rules.push_back({"x", {"4712"}, {}, {}, {}, LoadRule::How::rate, 0.0});
  sip::Message m;
  m.method = "NOTIFY";
  m.uri = "sip:127.0.0.1:5061";
  for (const auto& [name, value] :
       {std::pair{"Via", "SIP/2.0/UDP 127.0.0.1:6000;branch=z9hG4bKx"}, std::pair{"From", "<sip:x@y>;tag=1"},
        std::pair{"To", "<sip:z@y>;tag=2"}, std::pair{"Call-ID", "guessed"}, std::pair{"CSeq", "1 NOTIFY"},
        std::pair{"Event", "load-control"}, std::pair{"Subscription-State", "active"},
        std::pair{"Content-Type", "application/load-control+xml"}})
    m.add(name, value);
  m.body = write_load_control(bad);
  near.tell(net::Datagram{Concern::sip, kPeer, m.text()});
  CHECK_EQ(sip::read_datagram(near.datagrams.back().bytes).message.status, 481);
  near.call(near.id(3), "4712");
  CHECK_EQ(near.messages(near.s0).at(0).method, "INVITE");
}

// ---- the announcer with a fleet

// Programs and the connections between them; bytes are handed over in order, whenever `run` says.
class Net {
 public:
  struct Node {
    std::string address{};
    Concern listens{};
    std::function<void(Time, const net::Event&, net::Effects&)> step{};
    bool dead = false;
    std::multimap<Time, net::TimerKey> timers{};
    std::string file{};
    std::string printed{};
    std::optional<int> status{};
    std::map<ConnId, std::string> unread{};
  };
  struct End {
    Node* node{};
    ConnId conn{};
    auto operator<=>(const End&) const = default;
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
    if (node.dead || node.status) return;
    net::Effects effects;
    node.step(now, event, effects);
    for (const net::Effect& effect : effects) carry_out(node, effect);
  }
  // Its connections break, its timers are forgotten; `step` may be set anew.
  void kill(Node& node) {
    node.dead = true;
    node.timers.clear();
    node.unread.clear();
    for (auto it = links.begin(); it != links.end();) {
      if (it->first.node == &node || it->second.node == &node) {
        if (it->first.node == &node) under_way.push_back({it->second, {}, true});
        it = links.erase(it);
      } else {
        ++it;
      }
    }
  }
  void run(Duration span) {
    const Time end = now + span;
    while (true) {
      while (!under_way.empty()) {
        const Bytes b = under_way.front();
        under_way.pop_front();
        if (b.closed) {
          tell(*b.to.node, net::Closed{b.to.conn, true});
        } else {
          b.to.node->unread[b.to.conn] += b.bytes;
          const std::string all = b.to.node->unread[b.to.conn];
          tell(*b.to.node, net::Received{b.to.conn, all});
        }
        if (--budget == 0) return;
      }
      Node* next = nullptr;
      for (const auto& node : nodes) {
        if (node->timers.empty() || node->dead || node->status) continue;
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
  std::map<End, End> links;
  int budget = -1;  // so many deliveries more, then `run` stops: a break in the middle

 private:
  struct Bytes {
    End to;
    std::string bytes;
    bool closed = false;
  };
  void carry_out(Node& node, const net::Effect& effect) {
    if (const auto* e = std::get_if<net::Connect>(&effect)) {
      for (const auto& other : nodes) {
        if (other->dead || other->address != e->address) continue;
        const End here{&node, e->conn};
        const End there{other.get(), {other->listens, ++accepted}};
        links[here] = there;
        links[there] = here;
        tell(*other, net::Accepted{there.conn});
        return tell(node, net::Connected{e->conn});
      }
      tell(node, net::ConnectFailed{e->conn, true});
    } else if (const auto* e = std::get_if<net::Send>(&effect)) {
      if (const auto it = links.find({&node, e->conn}); it != links.end())
        under_way.push_back({it->second, e->bytes, false});
    } else if (const auto* e = std::get_if<net::Close>(&effect)) {
      if (const auto it = links.find({&node, e->conn}); it != links.end()) {
        const End other = it->second;
        links.erase(it);
        links.erase(other);
        under_way.push_back({other, {}, true});
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
  std::deque<Bytes> under_way;
  std::uint32_t accepted = 1000;
};

struct Fleet {
  explicit Fleet(std::uint32_t size) {
    for (std::uint32_t i = 0; i < size; ++i) {
      counters.push_back(std::make_unique<Counters>());
      controls.emplace_back();
      desks.push_back(&net.add("127.0.0.1:" + std::to_string(7400 + i), Concern::control, {}));
      start_gatekeeper(i);
    }
    announcer_node = &net.add("127.0.0.1:7300", Concern::control, {});
    start_announcer(1);
  }
  void start_gatekeeper(std::uint32_t i) {
    ControlSettings s = *with_control({static_cast<std::uint32_t>(desks.size()), i}).control;
    s.fleet.size = std::max<std::uint32_t>(s.fleet.size, 8);
    s.name = "n" + std::to_string(i);
    s.seed = i + 1;
    controls[i] = std::make_unique<Control>(s, *counters[i]);
    Control* control = controls[i].get();
    desks[i]->dead = false;
    desks[i]->step = [control](Time now, const net::Event& event, net::Effects& effects) {
      Outbox out;
      if (std::holds_alternative<net::Started>(event)) control->start(now, out);
      std::visit(
          [&](const auto& e) {
            if constexpr (requires { control->on(now, e, out); }) control->on(now, e, out);
          },
          event);
      effects = std::move(out.net);
    };
    net.start(*desks[i]);
  }
  void start_announcer(std::uint64_t life) {
    GapPublisherSettings s;
    s.listen = announcer_node->address;
    s.file = "gaps";
    s.incarnation = life;
    for (const Net::Node* desk : desks) s.gatekeepers.push_back(desk->address);
    announcer = std::make_unique<GapPublisher>(s);
    announcer_node->dead = false;
    announcer_node->status.reset();
    announcer_node->step = [this](Time now, const net::Event& event, net::Effects& effects) {
      announcer->step(now, event, effects);
    };
    net.start(*announcer_node);
  }
  // What graniterunctl prints and exits with.
  std::pair<int, std::string> ctl(GapClientSettings s, Duration span = 5s) {
    ctls.push_back(std::make_unique<GapClient>(std::move(s)));
    GapClient* ctl = ctls.back().get();
    Net::Node& node =
        net.add("", Concern::control_client,
                [ctl](Time now, const net::Event& e, net::Effects& effects) { ctl->step(now, e, effects); });
    net.start(node);
    net.run(span);
    return {node.status.value_or(-1), node.printed};
  }
  GapClientSettings settings(GapClientSettings::Command what,
                             std::vector<std::string> to = {"127.0.0.1:7300"}) {
    GapClientSettings s;
    s.command = what;
    s.addresses = std::move(to);
    if (what == GapClientSettings::Command::announce)
      s.announcement = announcement_of(gap(net.now, "g", 1, {{"numbers", {"4711"}}}));
    return s;
  }
  bool all_obey(Duration after = {}) {
    return std::all_of(controls.begin(), controls.end(),
                       [&](const auto& c) { return !c->check(net.now + after, "4711", "voice").passes; });
  }
  Net net;
  std::vector<std::unique_ptr<Counters>> counters;
  std::vector<std::unique_ptr<Control>> controls;
  std::vector<Net::Node*> desks;
  std::unique_ptr<GapPublisher> announcer;
  Net::Node* announcer_node{};
  std::vector<std::unique_ptr<GapClient>> ctls;
};

void an_operator_sees_that_all_obey() {
  Fleet fleet(8);
  fleet.net.run(1s);
  GapClientSettings s = fleet.settings(GapClientSettings::Command::announce);
  s.announcement->gap->interval.reset();
  const auto [status, text] = fleet.ctl(s);
  CHECK_EQ(status, 0);
  CHECK(text.find("8 of 8 gatekeepers obey") != std::string::npos);
  CHECK(fleet.all_obey());
  auto [listed, gaps] = fleet.ctl(fleet.settings(GapClientSettings::Command::list));
  CHECK(listed == 0 && gaps.find("in force g") != std::string::npos && gaps.find("NOT") == std::string::npos);
  GapClientSettings up = s;
  up.announcement->version = 2;
  up.announcement->gap.reset();
  up.json = true;
  const auto [lifted, told] = fleet.ctl(up);
  CHECK_EQ(lifted, 0);
  CHECK_EQ(json::parse(told)["targets"][0]["obeyed"].size(), 8U);
  CHECK(!fleet.all_obey());
  // A gatekeeper that is away: the operator is told, and it is pushed all when it is back.
  fleet.net.kill(*fleet.desks[3]);
  GapClientSettings again = s;
  again.announcement->version = 3;
  const auto [partly, seven] = fleet.ctl(again);
  CHECK(partly == GapClient::kIncomplete && seven.find("7 of 8") != std::string::npos);
  fleet.start_gatekeeper(3);
  fleet.net.run(1s);
  CHECK(fleet.all_obey());
  CHECK_EQ(fleet.ctl(fleet.settings(GapClientSettings::Command::list)).first, 0);
}

void gaps_announced_at_gatekeepers_reach_all() {  // without the announcer, and while it is away
  Fleet fleet(8);
  fleet.net.run(1s);
  fleet.net.kill(*fleet.announcer_node);
  GapClientSettings s =
      fleet.settings(GapClientSettings::Command::announce, {"127.0.0.1:7400", "127.0.0.1:7401"});
  s.announcement->gap->interval.reset();
  CHECK_EQ(fleet.ctl(s).first, 0);
  CHECK(!fleet.all_obey());
  CHECK_EQ(
      fleet.ctl(fleet.settings(GapClientSettings::Command::list, {"127.0.0.1:7400", "127.0.0.1:7402"})).first,
      GapClient::kIncomplete);
  CHECK_EQ(fleet.ctl(fleet.settings(GapClientSettings::Command::list, {"127.0.0.1:9"})).first,
           GapClient::kUnreachable);
  fleet.start_announcer(2);
  fleet.net.run(2s);
  CHECK(fleet.all_obey());
}

// Ended after any number of deliveries, and started from its file: what an operator was told is taken is held
// by all, and what was pushed to one of them only is too.
void the_announcer_killed_in_the_middle_of_a_push() {
  for (int after = 1; after < 60; after += 5) {
    Fleet fleet(8);
    fleet.net.run(1s);
    GapClientSettings s = fleet.settings(GapClientSettings::Command::announce);
    s.announcement->gap->interval.reset();
    fleet.ctls.push_back(std::make_unique<GapClient>(s));
    GapClient* ctl = fleet.ctls.back().get();
    Net::Node& node =
        fleet.net.add("", Concern::control_client,
                      [ctl](Time now, const net::Event& e, net::Effects& f) { ctl->step(now, e, f); });
    fleet.net.start(node);
    fleet.net.budget = after;
    fleet.net.run(10ms);
    const bool kept = !fleet.announcer_node->file.empty();
    fleet.net.kill(*fleet.announcer_node);
    fleet.net.budget = -1;
    fleet.net.run(500ms);
    const bool somewhere = std::any_of(fleet.controls.begin(), fleet.controls.end(), [&](const auto& c) {
      return !c->check(fleet.net.now, "4711", "voice").passes;
    });
    fleet.start_announcer(2);
    fleet.net.run(2s);
    CHECK_EQ(fleet.all_obey(), kept || somewhere);
  }
}

void a_file_that_cannot_be_read_is_not_written_over() {
  Fleet fleet(8);
  fleet.net.kill(*fleet.announcer_node);
  fleet.announcer_node->file = "{\"id\":\"g\"\n";
  fleet.start_announcer(2);
  CHECK_EQ(*fleet.announcer_node->status, 1);
  CHECK_EQ(fleet.announcer_node->file, "{\"id\":\"g\"\n");
}

void a_thousand_gaps_are_pushed_to_a_gatekeeper_that_comes_back() {
  Fleet fleet(8);
  for (int i = 0; i < 1000; ++i)
    fleet.announcer_node->file +=
        line_of(gap(fleet.net.now, "g" + std::to_string(i), 1, {{"numbers", {"4711"}}}));
  fleet.net.kill(*fleet.announcer_node);
  fleet.start_announcer(2);
  fleet.net.run(3s);
  const auto [status, text] = fleet.ctl(fleet.settings(GapClientSettings::Command::list));
  CHECK_EQ(status, 0);
  for (const auto& c : fleet.counters) CHECK_EQ(c->of("gaps.taken"), 1000U);
}

// Calls at one gatekeeper only: with the announcer it gets the others' slots; when that is gone, its own
// part.
void slots_go_where_the_calls_are() {
  Fleet fleet(8);
  fleet.net.run(1s);
  GapClientSettings s = fleet.settings(GapClientSettings::Command::announce);
  CHECK_EQ(fleet.ctl(s).first, 0);
  const auto play = [&](Duration span) {
    std::set<std::int64_t> slots;
    std::size_t passed = 0;
    for (Duration t{}; t < span; t += 25ms) {
      fleet.net.run(25ms);
      if (!fleet.controls[2]->check(fleet.net.now, "4711", "voice").passes) continue;
      ++passed;
      slots.insert((fleet.net.now - s.announcement->start) / 1s);
    }
    CHECK_EQ(passed, slots.size());
    return passed;
  };
  play(10s);
  CHECK(play(40s) >= 36);
  fleet.net.kill(*fleet.announcer_node);
  play(4s);
  const std::size_t alone = play(40s);
  CHECK(alone >= 4 && alone <= 6);
}

}  // namespace

int main() {
  a_gapped_call_is_refused_at_once_on_the_platform();
  a_gapped_call_is_refused_at_once_over_sip();
  a_gap_leaves_calls_in_flight_alone();
  a_gap_lifted_while_calls_are_refused_lets_the_next_one_pass();
  announce_lift_and_announce_crossing_on_two_connections();
  two_operators_with_one_id_are_both_told();
  malformed_lines_are_refused_and_harm_nobody();
  a_hundred_silent_connections_leave_room_for_an_operator();
  the_program_is_ready_once_it_has_the_register();
  a_neighbour_is_told_of_gaps_while_it_subscribes();
  subscriptions_end_with_their_neighbour_and_are_bounded();
  a_neighbour_stops_gapped_calls_before_they_come();
  an_operator_sees_that_all_obey();
  gaps_announced_at_gatekeepers_reach_all();
  the_announcer_killed_in_the_middle_of_a_push();
  a_file_that_cannot_be_read_is_not_written_over();
  a_thousand_gaps_are_pushed_to_a_gatekeeper_that_comes_back();
  slots_go_where_the_calls_are();
}
