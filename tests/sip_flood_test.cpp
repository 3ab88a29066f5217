// One peer that sends requests without end, each under a new branch and Call-ID: requests that are refused at
// once must take no room from those of others.
#include "sip/transactions.h"
#include "sip_lab.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

// More than any table of the SIP front end holds.
constexpr int kFlood = 21000;

struct FloodKind {
  std::string name;
  std::string method;
  std::string headers{};
  std::string team = "rich.example";
  std::string to_tag{};
  std::string transport = "UDP";
};

const FloodKind kKinds[] = {
    {"unknown class", "INVITE", "Priority-Class: none\r\n"},
    {"over budget", "INVITE", {}, "poor.example"},
    {"over budget over TCP, never acknowledged", "INVITE", {}, "poor.example", {}, "TCP"},
    {"re-INVITE of no dialog", "INVITE", {}, "rich.example", "nobody"},
    {"extension required", "INVITE", "Require: 100rel\r\n"},
    {"OPTIONS", "OPTIONS"},
    {"method without support", "REGISTER"},
    {"BYE of no dialog", "BYE", {}, "rich.example", "nobody"},
    {"CANCEL of no INVITE", "CANCEL"},
    {"SUBSCRIBE to another event", "SUBSCRIBE", "Event: presence\r\n"},
    {"NOTIFY of no subscription", "NOTIFY", "Event: load-control\r\n", "rich.example", "nobody"},
};

void flood(SipLab& lab, const FloodKind& kind) {
  const ConnId stream{Concern::sip, 1};
  const bool tcp = kind.transport == "TCP";
  if (tcp) lab.deliver(net::Accepted{stream});
  Caller flooding;
  flooding.team = kind.team;
  flooding.extra_headers = kind.headers;
  flooding.to_tag = kind.to_tag;
  flooding.transport = kind.transport;
  std::size_t answered = 0;
  for (int i = 0; i < kFlood; ++i) {
    flooding.branch = "z9hG4bKflood" + std::to_string(i);
    flooding.call_id = "flood" + std::to_string(i);
    const std::string text = flooding.text(kind.method, 1);
    tcp ? lab.receive(stream, text) : lab.udp(text);
    answered += tcp ? lab.messages(stream).size() : lab.messages_to_caller().size();
  }
  CHECK(answered >= static_cast<std::size_t>(kFlood));  // the flood was read, and each request has a response
}

// Guards against a flood of refused requests that fills the transaction table, so that everybody's requests
// are dropped without a response for the 32 s that a finished transaction is kept (picture (b) of issue 59).
void refused_requests_take_no_room_from_others() {
  for (const FloodKind& kind : kKinds) {
    std::cerr << kind.name << '\n';
    SipLab lab;
    Caller before;
    before.call_id = "before";
    before.branch = "z9hG4bKbefore";
    lab.establish(before);
    lab.acknowledge(before);
    flood(lab, kind);
    lab.take_sent(lab.s0);
    lab.take_sent(lab.s1);
    Caller caller;
    lab.establish(caller);
    lab.acknowledge(caller);
    lab.udp(caller.text("INVITE", 1));  // a delayed repeat of the INVITE starts no second call
    CHECK(lab.nothing_sent_to_servers());
    lab.messages_to_caller();
    before.branch = "z9hG4bKbye";
    lab.udp(before.text("BYE", 2));
    CHECK_EQ(lab.only_message().status, 200);
  }
}

// A request that is refused without a transaction gets the same response, To tag included, for each repeat
// (RFC 3261, 8.2.7).
void repeat_of_a_refused_request_gets_the_same_response() {
  for (const FloodKind& kind : kKinds) {
    if (kind.team == "poor.example") continue;  // its first one is within the budget
    SipLab lab;
    Caller caller;
    caller.extra_headers = kind.headers;
    caller.to_tag = kind.to_tag;
    lab.udp(caller.text(kind.method, 1));
    const std::string first = lab.only_message().text();
    lab.advance(1s);
    lab.udp(caller.text(kind.method, 1));
    CHECK_EQ(lab.only_message().text(), first);
  }
}

sip::Message bye_of(int number, std::size_t bytes) {
  Caller caller;
  caller.branch = "z9hG4bK" + std::to_string(number);
  caller.extra_headers = "X: " + std::string(bytes, 'x') + "\r\n";
  return sip::read_datagram(caller.text("BYE", 1)).message;
}

// Finished transactions are retained within bounds on their number and on their bytes; the newest still
// absorb repeats, and a new request always gets its transaction.
void finished_transactions_are_bounded_in_number_and_bytes() {
  struct Case {
    int requests;
    std::size_t bytes;
    std::size_t max_retained;
  };
  for (const Case& c : {Case{25000, 10, 20000}, Case{4000, 12000, 1500}}) {
    Counters counters;
    sip::Transport transport(Concern::sip, counters);
    sip::Transactions transactions(Concern::sip, transport, counters);
    const sip::Flow flow{false, 0, kPeer};
    Outbox out;
    std::string key;
    for (int i = 0; i < c.requests; ++i) {
      const sip::Message request = bye_of(i, c.bytes);
      CHECK(transactions.receive_request(kLabStart, flow, request, key, out) ==
            sip::Transactions::RequestKind::initial);
      sip::Message answer = sip::answer_to(request, 200, "OK", "t");
      answer.body = std::string(c.bytes, 'x');
      transactions.respond(kLabStart, key, answer, out);
      out.net.clear();
    }
    CHECK(transactions.size() <= c.max_retained);
    CHECK(transactions.size() > c.max_retained / 2);
    CHECK(transactions.receive_request(kLabStart, flow, bye_of(c.requests - 1, c.bytes), key, out) ==
          sip::Transactions::RequestKind::absorbed);
    CHECK(transactions.receive_request(kLabStart, flow, bye_of(0, c.bytes), key, out) ==
          sip::Transactions::RequestKind::initial);
  }
}

}  // namespace

int main() {
  refused_requests_take_no_room_from_others();
  repeat_of_a_refused_request_gets_the_same_response();
  finished_transactions_are_bounded_in_number_and_bytes();
}
