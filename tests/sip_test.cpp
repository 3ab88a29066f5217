// The SIP front through the whole reducer, under a clock of the test's own: RFC 3261's timers run in no time.
#include <random>

#include "lab.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

const std::string kPeer = "127.0.0.1:5090";

DeployConfig deploy_for_tests() {
  DeployConfig d;
  d.sip_udp = "127.0.0.1:5060";
  d.sip_tcp = "127.0.0.1:5060";
  core::Contract poor;
  poor.team = "poor.example";
  poor.per_second = 1.0;
  poor.burst = 1.0;
  d.contracts.push_back(poor);
  return d;
}

struct Caller {
  std::string call_id = "c1";
  std::string team = "rich.example";
  std::string branch = "z9hG4bK1";
  std::string more{};
  std::string to_tag{};
  std::string transport = "UDP";
  std::string text(const std::string& method, int cseq, const std::string& body = {},
                   const std::string& cseq_method = {}) const {
    return method + " sip:4711@net SIP/2.0\r\nVia: SIP/2.0/" + transport +
           " 127.0.0.1:5090;branch=" + branch + "\r\nFrom: <sip:hiker@" + team +
           ">;tag=ft\r\nTo: <sip:4711@net>" + (to_tag.empty() ? "" : ";tag=" + to_tag) +
           "\r\nCall-ID: " + call_id + "\r\nCSeq: " + std::to_string(cseq) + " " +
           (cseq_method.empty() ? method : cseq_method) +
           "\r\nContact: <sip:hiker@127.0.0.1:5090>\r\nMax-Forwards: 70\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

struct SipLab : Lab {
  explicit SipLab(int servers = 2) : Lab(config_for_tests(servers), deploy_for_tests()) {
    s0 = connects.at(0).conn;
    if (servers > 1) s1 = connects.at(1).conn;
    bring_up();
  }
  void udp(const std::string& text) { tell(net::Datagram{Concern::sip, kPeer, text}); }
  std::vector<sip::Message> to_caller() {
    std::vector<sip::Message> all;
    for (const net::SendDatagram& d : std::exchange(datagrams, {})) {
      CHECK_EQ(d.peer, kPeer);
      const sip::ReadResult read = sip::read_datagram(d.bytes);
      CHECK(read.state == sip::ReadState::message);
      all.push_back(read.message);
    }
    return all;
  }
  sip::Message one() {
    const auto all = to_caller();
    CHECK_EQ(all.size(), 1U);
    return all[0];
  }
  // The INVITE that has gone to either server since the last look.
  std::pair<ConnId, sip::Message> at_server() {
    std::vector<std::pair<ConnId, sip::Message>> found;
    for (const ConnId conn : {s0, s1}) {
      for (const sip::Message& m : messages(conn)) {
        if (m.method == "INVITE") found.emplace_back(conn, m);
      }
    }
    CHECK_EQ(found.size(), 1U);
    return found[0];
  }
  bool servers_are_quiet() { return take(s0).empty() && take(s1).empty(); }
  // A call that stands; returns our tag.
  std::string stand(Caller& caller) {
    udp(caller.text("INVITE", 1, "offer"));
    CHECK_EQ(one().status, 100);
    std::tie(home, invite) = at_server();
    receive(home, server_answer(invite, 200, "answer"));
    CHECK_EQ(messages(home).at(0).method, "ACK");
    const sip::Message ok = one();
    CHECK_EQ(ok.status, 200);
    CHECK_EQ(ok.body, "answer");
    CHECK(!ok.header("Contact").empty());
    caller.to_tag = sip::parameter(ok.header("To"), "tag");
    CHECK(!caller.to_tag.empty());
    return caller.to_tag;
  }
  void acknowledge(const Caller& caller, int cseq = 1) {
    Caller ack = caller;
    ack.branch += "a";
    udp(ack.text("ACK", cseq));
  }
  ConnId s0{}, s1{}, home{};
  sip::Message invite{};
};

void a_call_over_udp_stands_and_the_server_ends_it() {
  SipLab lab;
  Caller caller;
  caller.more = "Record-Route: <sip:127.0.0.1:5090;lr>\r\n";
  lab.stand(caller);
  CHECK_EQ(lab.invite.body, "offer");
  CHECK_EQ(lab.invite.header("Priority-Class"), "voice");
  lab.acknowledge(caller);
  lab.pass(40s);
  CHECK(lab.to_caller().empty());
  lab.receive(lab.home, server_bye(std::string(lab.invite.header("Call-ID")), 16));
  const sip::Message bye = lab.one();
  CHECK_EQ(bye.method, "BYE");
  CHECK_EQ(bye.uri, "sip:hiker@127.0.0.1:5090");
  CHECK_EQ(bye.header("Route"), "<sip:127.0.0.1:5090;lr>");
  CHECK_EQ(sip::parameter(bye.header("From"), "tag"), caller.to_tag);
  CHECK_EQ(bye.header("Reason"), "Q.850;cause=16");
  // Timers E and F: over UDP it is sent again at doubling gaps of up to 4 s, for 32 s.
  lab.pass(31900ms);
  CHECK_EQ(lab.to_caller().size(), 10U);
  lab.pass(10s);
  CHECK(lab.to_caller().empty());
}

void the_caller_ends_a_call() {
  SipLab lab;
  Caller caller;
  lab.stand(caller);
  lab.acknowledge(caller);
  caller.branch = "z9hG4bK2";
  lab.udp(caller.text("BYE", 2));
  CHECK_EQ(lab.one().status, 200);
  CHECK_EQ(lab.messages(lab.home).at(0).method, "BYE");
  lab.udp(caller.text("BYE", 2));  // repeated: the same answer, no second release
  CHECK_EQ(lab.one().status, 200);
  CHECK(lab.servers_are_quiet());
  caller.branch = "z9hG4bK3";
  lab.udp(caller.text("BYE", 3));
  CHECK_EQ(lab.one().status, 481);
}

void a_lost_ack_has_the_answer_sent_again() {
  SipLab lab;
  Caller caller;
  lab.stand(caller);
  lab.pass(3600ms);  // after 0.5, 1.5 and 3.5 s
  const auto again = lab.to_caller();
  CHECK_EQ(again.size(), 3U);
  for (const sip::Message& m : again) CHECK_EQ(m.body, "answer");
  lab.acknowledge(caller);
  lab.pass(60s);
  CHECK(lab.to_caller().empty());
}

void an_answer_never_acknowledged_ends_the_call() {
  SipLab lab;
  Caller caller;
  lab.stand(caller);
  lab.pass(31900ms);
  lab.to_caller();
  lab.pass(200ms);
  CHECK_EQ(lab.one().method, "BYE");
  CHECK_EQ(lab.messages(lab.home).at(0).method, "BYE");
}

void a_cancel_in_time() {
  SipLab lab;
  const Caller caller;
  lab.udp(caller.text("INVITE", 1));
  lab.one();
  const auto [conn, invite] = lab.at_server();
  lab.udp(caller.text("CANCEL", 1));
  const auto answers = lab.to_caller();
  CHECK_EQ(answers.size(), 2U);
  CHECK_EQ(answers[0].header("CSeq"), "1 CANCEL");
  CHECK_EQ(answers[0].status, 200);
  CHECK_EQ(answers[1].status, 487);
  CHECK_EQ(lab.messages(conn).at(0).method, "CANCEL");
  // The server's success crosses it: ACK, then BYE, and never a second attempt.
  lab.receive(conn, server_answer(invite, 200, "answer"));
  const auto after = lab.messages(conn);
  CHECK_EQ(after.size(), 2U);
  CHECK_EQ(after[0].method, "ACK");
  CHECK_EQ(after[1].method, "BYE");
  lab.acknowledge(caller);
  lab.pass(60s);
  CHECK(lab.servers_are_quiet());
}

void a_cancel_that_crosses_our_answer_changes_nothing() {
  SipLab lab;
  Caller caller;
  lab.stand(caller);
  Caller cancel = caller;
  cancel.to_tag.clear();
  lab.udp(cancel.text("CANCEL", 1));
  CHECK_EQ(lab.one().status, 200);
  CHECK(lab.servers_are_quiet());
  lab.acknowledge(caller);
  lab.pass(60s);
  CHECK(lab.to_caller().empty());
  cancel.branch = "z9hG4bKother";
  lab.udp(cancel.text("CANCEL", 1));
  CHECK_EQ(lab.one().status, 481);
}

void repeats_are_absorbed_before_and_after_the_end() {
  SipLab lab;
  Caller caller;
  caller.more = "Expires: 2\r\n";
  lab.udp(caller.text("INVITE", 1));
  CHECK_EQ(lab.one().status, 100);
  lab.at_server();
  lab.udp(caller.text("INVITE", 1));
  CHECK_EQ(lab.one().status, 100);
  CHECK(lab.servers_are_quiet());
  lab.pass(2s);
  const sip::Message end = lab.one();
  CHECK_EQ(end.status, 480);
  CHECK(!end.header("Retry-After").empty());
  lab.take(lab.s0);
  lab.take(lab.s1);
  lab.udp(caller.text("INVITE", 1));  // after the attempt was given up
  CHECK_EQ(lab.one().text(), end.text());
  lab.udp(caller.text("ACK", 1));
  lab.udp(caller.text("INVITE", 1));  // after the ACK
  lab.pass(10s);
  CHECK(lab.to_caller().empty());
  lab.udp(caller.text("INVITE", 1));  // after the transaction
  CHECK_EQ(lab.one().status, 482);
  CHECK(lab.servers_are_quiet());
}

void a_refusal_is_sent_until_it_is_acknowledged() {
  SipLab lab(1);
  lab.tell(net::Closed{lab.s0, true});
  for (const net::Connect& c : std::exchange(lab.connects, {})) lab.tell(net::ConnectFailed{c.conn, true});
  Caller caller;
  caller.more = "Expires: 1\r\n";
  lab.udp(caller.text("INVITE", 1));
  lab.pass(999ms);
  lab.datagrams.clear();
  lab.pass(1600ms);
  const auto sent = lab.to_caller();
  CHECK(sent.size() >= 1U);
  for (const sip::Message& m : sent) {
    CHECK(m.status >= 400);
    CHECK(!m.header("Retry-After").empty());
  }
}

void a_team_over_its_budget_is_refused_at_once() {
  SipLab lab;
  Caller caller;
  caller.team = "poor.example";
  lab.udp(caller.text("INVITE", 1));
  CHECK_EQ(lab.one().status, 100);
  lab.at_server();
  caller.call_id = "c2";
  caller.branch = "z9hG4bK2";
  lab.udp(caller.text("INVITE", 1));
  const auto answers = lab.to_caller();
  CHECK_EQ(answers.at(1).status, 503);
  CHECK_EQ(answers.at(1).header("Retry-After"), "1");
  CHECK(lab.servers_are_quiet());
}

void merged_and_reinvited() {
  SipLab lab;
  Caller caller;
  lab.stand(caller);
  Caller merged = caller;
  merged.to_tag.clear();
  merged.branch = "z9hG4bKother";
  lab.udp(merged.text("INVITE", 1));
  CHECK_EQ(lab.one().status, 482);
  lab.udp(merged.text("ACK", 1));
  Caller again = caller;
  again.branch = "z9hG4bK2";
  lab.udp(again.text("INVITE", 2, "offer"));  // not yet acknowledged
  CHECK_EQ(lab.one().status, 491);
  lab.acknowledge(again, 2);
  lab.udp(again.text("ACK", 2));
  lab.acknowledge(caller);
  again.branch = "z9hG4bK3";
  lab.udp(again.text("INVITE", 3, "offer"));
  const sip::Message refreshed = lab.one();
  CHECK_EQ(refreshed.status, 200);
  CHECK_EQ(refreshed.body, "answer");
  lab.acknowledge(again, 3);
  again.branch = "z9hG4bK4";
  lab.udp(again.text("INVITE", 4, "another offer"));
  CHECK_EQ(lab.one().status, 488);
  lab.udp(again.text("ACK", 4));
  lab.pass(60s);
  CHECK(lab.to_caller().empty());
  CHECK(lab.servers_are_quiet());
}

void what_is_not_understood_is_answered() {
  SipLab lab;
  Caller caller;
  const auto status_of = [&](const std::string& text) {
    lab.udp(text);
    return lab.one().status;
  };
  CHECK_EQ(status_of(caller.text("FLY", 1)), 501);
  caller.branch += "1";
  CHECK_EQ(status_of(caller.text("REGISTER", 1)), 405);
  caller.branch += "1";
  CHECK_EQ(status_of(caller.text("OPTIONS", 1)), 200);
  caller.branch += "1";
  CHECK_EQ(status_of(caller.text("INVITE", 1, {}, "BYE")), 400);
  caller.branch += "1";
  caller.more = "Require: 100rel\r\n";
  CHECK_EQ(status_of(caller.text("INVITE", 1)), 420);
  caller.branch += "1";
  caller.more = "Priority-Class: none\r\n";
  CHECK_EQ(status_of(caller.text("INVITE", 7)), 400);
  lab.udp("nonsense\r\n\r\n");
  CHECK(lab.to_caller().empty());
  const ConnId stream{Concern::sip, 1};
  lab.tell(net::Accepted{stream});
  lab.receive(stream, "nonsense\r\nContent-Length: 0\r\n\r\n");
  CHECK(lab.closed.size() == 1 && lab.closed[0] == stream);
  CHECK(lab.servers_are_quiet());
}

void a_call_over_tcp_outlives_its_connection() {
  SipLab lab;
  Caller caller;
  caller.transport = "TCP";
  const ConnId stream{Concern::sip, 1};
  lab.tell(net::Accepted{stream});
  for (const char c : caller.text("INVITE", 1, "offer")) lab.receive(stream, std::string(1, c));
  CHECK_EQ(lab.messages(stream).at(0).status, 100);
  const auto [conn, invite] = lab.at_server();
  lab.receive(conn, server_answer(invite, 200, "answer"));
  const sip::Message ok = lab.messages(stream).at(0);
  caller.to_tag = sip::parameter(ok.header("To"), "tag");
  caller.branch = "z9hG4bK2";
  lab.receive(stream, caller.text("ACK", 1));
  lab.tell(net::Closed{stream, false});
  lab.messages(conn);
  lab.receive(conn, server_bye(std::string(invite.header("Call-ID")), 41));
  CHECK_EQ(lab.connects.back().address, kPeer);  // to the caller's contact
  const ConnId dialled = lab.connects.back().conn;
  lab.tell(net::Connected{dialled});
  CHECK_EQ(lab.messages(dialled).at(0).method, "BYE");
}

// A caller whose stream ends, or its half, has gone as one that cancels: its attempt is called off, one that
// waits does not begin, and an INVITE read after its half close is nobody's. It went on for a caller long
// gone.
void a_caller_that_closes_its_stream_has_gone() {
  for (const bool half : {false, true}) {
    for (const bool waits : {false, true}) {
      SipLab lab;
      Caller caller;
      caller.transport = "TCP";
      const ConnId stream{Concern::sip, 1};
      lab.tell(net::Accepted{stream});
      lab.receive(stream, caller.text("INVITE", 1, "offer"));
      const auto [conn, invite] = lab.at_server();
      if (waits) {
        lab.receive(conn, server_answer(invite, 504));
        lab.messages(conn);
        lab.pass(50ms);
      }
      lab.take(stream);
      if (half) {
        lab.tell(net::PeerClosed{stream});
        CHECK_EQ(lab.messages(stream).at(0).status, 487);
        Caller second;
        second.transport = "TCP";
        second.call_id = "second";
        second.branch = "z9hG4bKsecond";
        lab.receive(stream, second.text("INVITE", 1, "offer"));
        CHECK_EQ(lab.messages(stream).at(0).status, 487);
      } else {
        lab.tell(net::Closed{stream, false});
      }
      if (!waits) CHECK_EQ(lab.messages(conn).at(0).method, "CANCEL");
      for (int i = 0; i < 40; ++i) {
        lab.pass(100ms);
        for (const ConnId server : {lab.s0, lab.s1}) {
          for (const sip::Message& m : lab.messages(server)) CHECK(m.method != "INVITE");
        }
      }
    }
  }
}

// Callers that send, repeat, cancel and acknowledge at random, and servers that answer or not: each call gets
// one final answer by its deadline, one attempt is out, and a call is not sent again within 200 ms.
void random_steps_keep_the_rules() {
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    SipLab lab;
    struct Known {
      Caller caller;
      Time deadline{};
      std::string final_text{};
      std::string label{};
    };
    std::map<std::string, Known> calls;
    std::map<std::string, std::pair<ConnId, sip::Message>> out;  // by the label at the servers
    std::map<std::string, Time> ended_at;
    lab.watch = [&] {
      for (const sip::Message& m : lab.to_caller()) {
        const auto cseq = sip::cseq_of(m);
        if (m.is_request() || cseq->method != "INVITE" || m.status < 200) continue;
        Known& k = calls.at(std::string(m.header("Call-ID")));
        if (k.final_text.empty()) CHECK(lab.now <= k.deadline);
        if (k.final_text.empty()) k.final_text = m.text();
        CHECK_EQ(m.text(), k.final_text);  // a second one is the same
        k.caller.to_tag = sip::parameter(m.header("To"), "tag");
      }
      for (const ConnId conn : {lab.s0, lab.s1}) {
        for (const sip::Message& m : lab.messages(conn)) {
          const std::string label(m.header("Call-ID"));
          if (m.method == "INVITE") {
            CHECK(!out.contains(label));
            if (ended_at.contains(label)) CHECK(lab.now - ended_at[label] >= 200ms);
            out[label] = {conn, m};
          } else if (m.method == "CANCEL") {
            out.erase(label);
            ended_at[label] = lab.now;
          }
        }
      }
    };
    for (int step = 0; step < 400; ++step) {
      const std::uint32_t pick = random() % 8;
      if (pick < 2) {
        Known k;
        k.caller.call_id = "c" + std::to_string(step);
        k.caller.branch = "z9hG4bK" + std::to_string(step);
        const int left = 300 + static_cast<int>(random() % 2500);
        k.caller.more = "Expires-Ms: " + std::to_string(left) + "\r\n";
        k.deadline = lab.now + std::chrono::milliseconds(left);
        calls[k.caller.call_id] = k;
        lab.udp(k.caller.text("INVITE", 1));
      } else if (pick < 5 && !calls.empty()) {
        auto it = calls.begin();
        std::advance(it, random() % calls.size());
        Caller caller = it->second.caller;
        if (pick == 2) caller.to_tag.clear();
        if (pick == 4) caller.branch += "a";
        constexpr const char* kMethods[] = {"INVITE", "CANCEL", "ACK"};
        if (pick == 3) caller.to_tag.clear();
        lab.udp(caller.text(kMethods[pick - 2], 1));
      } else if (!out.empty()) {
        auto it = out.begin();
        std::advance(it, random() % out.size());
        const auto [label, o] = *it;
        constexpr int kStatus[] = {200, 200, 503, 504, 480};
        const int status = kStatus[random() % 5];
        out.erase(it);
        if (status == 504) ended_at[label] = lab.now;
        lab.receive(o.first, server_answer(o.second, status, "a"));
      }
      lab.pass(std::chrono::milliseconds(random() % 150));
    }
    lab.pass(5s);
    for (const auto& [id, k] : calls) CHECK(!k.final_text.empty());
  }
}

}  // namespace

// As in the platform's front: what never ends, or says nothing, is closed; where a body does not fit, too.
void streams_that_are_not_whole_are_closed() {
  SipLab lab;
  const auto is_closed = [&](ConnId conn) {
    return std::find(lab.closed.begin(), lab.closed.end(), conn) != lab.closed.end();
  };
  const ConnId silent{Concern::sip, 1};
  const ConnId half{Concern::sip, 2};
  const ConnId unfit{Concern::sip, 3};
  const ConnId good{Concern::sip, 4};
  for (const ConnId conn : {silent, half, unfit, good}) lab.tell(net::Accepted{conn});
  Caller caller;
  caller.transport = "TCP";
  const std::string options = caller.text("OPTIONS", 1);
  lab.receive(good, options);
  CHECK_EQ(lab.messages(good).at(0).status, 200);
  lab.receive(unfit, options + "8 101");
  CHECK(is_closed(unfit));
  for (const char c : options.substr(0, 25)) {
    lab.pass(100ms);
    if (!is_closed(half)) lab.receive(half, std::string(1, c));
  }
  CHECK(is_closed(silent) && is_closed(half) && !is_closed(good));
}

int main() {
  streams_that_are_not_whole_are_closed();
  a_call_over_udp_stands_and_the_server_ends_it();
  the_caller_ends_a_call();
  a_lost_ack_has_the_answer_sent_again();
  an_answer_never_acknowledged_ends_the_call();
  a_cancel_in_time();
  a_cancel_that_crosses_our_answer_changes_nothing();
  repeats_are_absorbed_before_and_after_the_end();
  a_refusal_is_sent_until_it_is_acknowledged();
  a_team_over_its_budget_is_refused_at_once();
  merged_and_reinvited();
  what_is_not_understood_is_answered();
  a_call_over_tcp_outlives_its_connection();
  a_caller_that_closes_its_stream_has_gone();
  random_steps_keep_the_rules();
}
