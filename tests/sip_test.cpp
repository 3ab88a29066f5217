// The SIP front end, driven through the complete reducer with a simulated clock, which runs RFC 3261's timers
// at once.
#include <random>

#include "sip_lab.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

void udp_call_is_established_and_released_by_the_server() {
  SipLab lab;
  Caller caller;
  caller.extra_headers = "Record-Route: <sip:127.0.0.1:5090;lr>\r\n";
  lab.establish(caller);
  CHECK_EQ(lab.invite.body, "offer");
  CHECK_EQ(lab.invite.header("Priority-Class"), "voice");
  lab.acknowledge(caller);
  lab.advance_with_live_server(40s);
  CHECK(lab.messages_to_caller().empty());
  lab.receive(lab.server_conn, server_bye(std::string(lab.invite.header("Call-ID")), 16));
  const sip::Message bye = lab.only_message();
  CHECK_EQ(bye.method, "BYE");
  CHECK_EQ(bye.uri, "sip:hiker@127.0.0.1:5090");
  CHECK_EQ(bye.header("Route"), "<sip:127.0.0.1:5090;lr>");
  CHECK_EQ(sip::parameter(bye.header("From"), "tag"), caller.to_tag);
  CHECK_EQ(bye.header("Reason"), "Q.850;cause=16");
  // Timers E and F: over UDP it is retransmitted for 32 s, at intervals that double up to 4 s.
  lab.advance(31900ms);
  CHECK_EQ(lab.messages_to_caller().size(), 10U);
  lab.advance(10s);
  CHECK(lab.messages_to_caller().empty());
}

// Guards against ids that repeat after a restart: a setup server would take the call of a SIP caller for one
// of before that is still established there, and its release for that call's.
void ids_do_not_repeat_after_a_restart() {
  std::set<std::string> call_ids;
  for (int start = 0; start < 3; ++start) {
    SipLab lab(config_for_tests(), kLabStart + 1s * start);
    lab.udp(Caller().text("INVITE", 1, "offer"));
    call_ids.insert(std::string(lab.take_invite().second.header("Call-ID")));
  }
  CHECK_EQ(call_ids.size(), 3U);
}

// Guards against two processes that hold the UDP address at once, among which the kernel divides the callers
// in the middle of their dialogs: in an upgrade the new process waits for the address, and the old one, which
// knows the dialogs, keeps it until they have ended and its BYEs are confirmed.
void old_process_keeps_its_dialogs_in_an_upgrade() {
  SipLab lab(config_with_inherited_socket());
  CHECK_EQ(lab.binds.size(), 1U);
  CHECK(lab.binds.front().wait_for_address);
  const auto listens = std::count_if(lab.listens.begin(), lab.listens.end(), [](const net::Listen& l) {
    return l.concern == Concern::sip && l.wait_for_address;
  });
  CHECK_EQ(listens, 1);
  Caller caller;
  lab.establish(caller);
  lab.deliver(net::StopRequested{});
  CHECK_EQ(std::count(lab.stopped_listening.begin(), lab.stopped_listening.end(), Concern::sip), 1);
  lab.receive(lab.server_conn, server_bye(std::string(lab.invite.header("Call-ID")), 16));
  lab.advance(100ms);
  CHECK(!lab.exit_status);  // its BYE waits for the ACK
  lab.messages_to_caller();
  lab.acknowledge(caller);
  const sip::Message bye = lab.only_message();
  CHECK_EQ(bye.method, "BYE");
  lab.advance(100ms);
  CHECK(!lab.exit_status);  // lost datagrams are sent again
  lab.udp(sip::answer_to(bye, 200, "OK", {}).text());
  lab.advance(100ms);
  CHECK(lab.exit_status == 0);
}

// Guards against an exit before a BYE is confirmed, also without a successor.
void unconfirmed_bye_delays_the_exit() {
  SipLab lab;
  Caller caller;
  lab.establish(caller);
  lab.acknowledge(caller);
  lab.deliver(net::StopRequested{});
  lab.advance(800ms);
  lab.receive(lab.server_conn, server_bye(std::string(lab.invite.header("Call-ID")), 16));
  const sip::Message bye = lab.only_message();
  lab.advance(1s);
  CHECK(!lab.exit_status);
  CHECK(!lab.messages_to_caller().empty());
  lab.udp(sip::answer_to(bye, 200, "OK", {}).text());
  lab.advance(100ms);
  CHECK(lab.exit_status == 0);
}

void caller_releases_a_call() {
  SipLab lab;
  Caller caller;
  lab.establish(caller);
  lab.acknowledge(caller);
  caller.branch = "z9hG4bK2";
  lab.udp(caller.text("BYE", 2));
  CHECK_EQ(lab.only_message().status, 200);
  CHECK_EQ(lab.messages(lab.server_conn).at(0).method, "BYE");
  lab.udp(caller.text("BYE", 2));  // repeated: the same response, no second release
  CHECK_EQ(lab.only_message().status, 200);
  CHECK(lab.nothing_sent_to_servers());
  caller.branch = "z9hG4bK3";
  lab.udp(caller.text("BYE", 3));
  CHECK_EQ(lab.only_message().status, 481);
}

void answer_is_retransmitted_until_the_ack() {
  SipLab lab;
  Caller caller;
  lab.establish(caller);
  lab.advance(3600ms);  // after 0.5, 1.5 and 3.5 s
  const auto again = lab.messages_to_caller();
  CHECK_EQ(again.size(), 3U);
  for (const sip::Message& m : again) CHECK_EQ(m.body, "answer");
  lab.acknowledge(caller);
  lab.advance_with_live_server(60s);
  CHECK(lab.messages_to_caller().empty());
}

void call_without_an_ack_is_released() {
  SipLab lab;
  Caller caller;
  lab.establish(caller);
  lab.advance_with_live_server(31900ms);
  lab.messages_to_caller();
  lab.advance(200ms);
  CHECK_EQ(lab.only_message().method, "BYE");
  CHECK_EQ(lab.messages(lab.server_conn).at(0).method, "BYE");
}

void cancel_before_the_answer_ends_the_call() {
  SipLab lab;
  const Caller caller;
  lab.udp(caller.text("INVITE", 1));
  lab.only_message();
  const auto [conn, invite] = lab.take_invite();
  lab.udp(caller.text("CANCEL", 1));
  const auto answers = lab.messages_to_caller();
  CHECK_EQ(answers.size(), 2U);
  CHECK_EQ(answers[0].header("CSeq"), "1 CANCEL");
  CHECK_EQ(answers[0].status, 200);
  CHECK_EQ(answers[1].status, 487);
  CHECK_EQ(lab.messages(conn).at(0).method, "CANCEL");
  // The late success of the server gets ACK and BYE, and no second attempt follows.
  lab.receive(conn, server_answer(invite, 200, "answer"));
  const auto after = lab.messages(conn);
  CHECK_EQ(after.size(), 2U);
  CHECK_EQ(after[0].method, "ACK");
  CHECK_EQ(after[1].method, "BYE");
  lab.acknowledge(caller);
  lab.advance(60s);
  CHECK(lab.nothing_sent_to_servers());
}

void cancel_after_the_answer_has_no_effect() {
  SipLab lab;
  Caller caller;
  lab.establish(caller);
  Caller cancel = caller;
  cancel.to_tag.clear();
  lab.udp(cancel.text("CANCEL", 1));
  CHECK_EQ(lab.only_message().status, 200);
  CHECK(lab.nothing_sent_to_servers());
  lab.acknowledge(caller);
  lab.advance_with_live_server(60s);
  CHECK(lab.messages_to_caller().empty());
  cancel.branch = "z9hG4bKother";
  lab.udp(cancel.text("CANCEL", 1));
  CHECK_EQ(lab.only_message().status, 481);
}

void repeated_invites_are_absorbed_before_and_after_the_end() {
  SipLab lab;
  Caller caller;
  caller.extra_headers = "Expires: 2\r\n";
  lab.udp(caller.text("INVITE", 1));
  CHECK_EQ(lab.only_message().status, 100);
  lab.take_invite();
  lab.udp(caller.text("INVITE", 1));
  CHECK_EQ(lab.only_message().status, 100);
  CHECK(lab.nothing_sent_to_servers());
  lab.advance(2s);
  const sip::Message end = lab.only_message();
  CHECK_EQ(end.status, 480);
  CHECK(!end.header("Retry-After").empty());
  lab.take_sent(lab.s0);
  lab.take_sent(lab.s1);
  lab.udp(caller.text("INVITE", 1));  // after the final response
  CHECK_EQ(lab.only_message().text(), end.text());
  lab.udp(caller.text("ACK", 1));
  lab.udp(caller.text("INVITE", 1));  // after the ACK
  lab.advance(10s);
  CHECK(lab.messages_to_caller().empty());
  lab.udp(caller.text("INVITE", 1));  // after the transaction has ended
  CHECK_EQ(lab.only_message().status, 482);
  CHECK(lab.nothing_sent_to_servers());
}

void rejection_is_retransmitted_until_the_ack() {
  SipLab lab(1);
  lab.deliver(net::Closed{lab.s0, true});
  for (const net::Connect& c : std::exchange(lab.connects, {})) lab.deliver(net::ConnectFailed{c.conn, true});
  Caller caller;
  caller.extra_headers = "Expires: 1\r\n";
  lab.udp(caller.text("INVITE", 1));
  lab.advance(999ms);
  lab.datagrams.clear();
  lab.advance(1600ms);
  const auto sent = lab.messages_to_caller();
  CHECK(sent.size() >= 1U);
  for (const sip::Message& m : sent) {
    CHECK(m.status >= 400);
    CHECK(!m.header("Retry-After").empty());
  }
}

void team_over_its_budget_is_rejected_at_once() {
  SipLab lab;
  Caller caller;
  caller.team = "poor.example";
  lab.udp(caller.text("INVITE", 1));
  CHECK_EQ(lab.only_message().status, 100);
  lab.take_invite();
  caller.call_id = "c2";
  caller.branch = "z9hG4bK2";
  lab.udp(caller.text("INVITE", 1));
  // No 100 goes before it: a caller that has got one would not repeat its INVITE where the 503 is lost.
  const sip::Message rejection = lab.only_message();
  CHECK_EQ(rejection.status, 503);
  CHECK_EQ(rejection.header("Retry-After"), "1");
  CHECK(lab.nothing_sent_to_servers());
  lab.advance(3s);  // the budget has room again, but a repeat of this INVITE gets the same response
  lab.udp(caller.text("INVITE", 1));
  CHECK_EQ(lab.only_message().text(), rejection.text());
  lab.udp(caller.text("ACK", 1));
  CHECK(lab.messages_to_caller().empty());
  CHECK(lab.nothing_sent_to_servers());
}

void merged_invite_is_rejected_and_reinvite_may_not_change_the_session() {
  SipLab lab;
  Caller caller;
  lab.establish(caller);
  Caller merged = caller;
  merged.to_tag.clear();
  merged.branch = "z9hG4bKother";
  lab.udp(merged.text("INVITE", 1));
  CHECK_EQ(lab.only_message().status, 482);
  lab.udp(merged.text("ACK", 1));
  Caller again = caller;
  again.branch = "z9hG4bK2";
  lab.udp(again.text("INVITE", 2, "offer"));  // not yet acknowledged
  CHECK_EQ(lab.only_message().status, 491);
  lab.acknowledge(again, 2);
  lab.udp(again.text("ACK", 2));
  lab.acknowledge(caller);
  again.branch = "z9hG4bK3";
  lab.udp(again.text("INVITE", 3, "offer"));
  const sip::Message refreshed = lab.only_message();
  CHECK_EQ(refreshed.status, 200);
  CHECK_EQ(refreshed.body, "answer");
  lab.acknowledge(again, 3);
  again.branch = "z9hG4bK4";
  lab.udp(again.text("INVITE", 4, "another offer"));
  CHECK_EQ(lab.only_message().status, 488);
  lab.udp(again.text("ACK", 4));
  lab.advance_with_live_server(60s);
  CHECK(lab.messages_to_caller().empty());
  CHECK(lab.nothing_sent_to_servers());
}

void unsupported_requests_get_an_error_response() {
  SipLab lab;
  Caller caller;
  const auto status_of = [&](const std::string& text) {
    lab.udp(text);
    return lab.only_message().status;
  };
  CHECK_EQ(status_of(caller.text("FLY", 1)), 501);
  caller.branch += "1";
  CHECK_EQ(status_of(caller.text("REGISTER", 1)), 405);
  caller.branch += "1";
  CHECK_EQ(status_of(caller.text("OPTIONS", 1)), 200);
  caller.branch += "1";
  CHECK_EQ(status_of(caller.text("INVITE", 1, {}, "BYE")), 400);
  caller.branch += "1";
  caller.extra_headers = "Require: 100rel\r\n";
  CHECK_EQ(status_of(caller.text("INVITE", 1)), 420);
  caller.branch += "1";
  caller.extra_headers = "Priority-Class: none\r\n";
  CHECK_EQ(status_of(caller.text("INVITE", 7)), 400);
  lab.udp("nonsense\r\n\r\n");
  CHECK(lab.messages_to_caller().empty());
  const ConnId stream{Concern::sip, 1};
  lab.deliver(net::Accepted{stream});
  lab.receive(stream, "nonsense\r\nContent-Length: 0\r\n\r\n");
  CHECK(lab.closed.size() == 1 && lab.closed[0] == stream);
  CHECK(lab.nothing_sent_to_servers());
}

void tcp_call_outlives_its_connection() {
  SipLab lab;
  Caller caller;
  caller.transport = "TCP";
  const ConnId stream{Concern::sip, 1};
  lab.deliver(net::Accepted{stream});
  for (const char c : caller.text("INVITE", 1, "offer")) lab.receive(stream, std::string(1, c));
  CHECK_EQ(lab.messages(stream).at(0).status, 100);
  const auto [conn, invite] = lab.take_invite();
  lab.receive(conn, server_answer(invite, 200, "answer"));
  const sip::Message ok = lab.messages(stream).at(0);
  caller.to_tag = sip::parameter(ok.header("To"), "tag");
  caller.branch = "z9hG4bK2";
  lab.receive(stream, caller.text("ACK", 1));
  lab.deliver(net::Closed{stream, false});
  lab.messages(conn);
  lab.receive(conn, server_bye(std::string(invite.header("Call-ID")), 41));
  CHECK_EQ(lab.connects.back().address, kPeer);  // the caller's Contact
  const ConnId new_conn = lab.connects.back().conn;
  lab.deliver(net::Connected{new_conn});
  CHECK_EQ(lab.messages(new_conn).at(0).method, "BYE");
}

// The BYE was written to a connection that broke before its response: over TCP nothing retransmitted it, and
// the caller waited for good.
void bye_on_a_connection_that_breaks_is_sent_again() {
  SipLab lab;
  Caller caller;
  caller.transport = "TCP";
  const ConnId stream{Concern::sip, 1};
  lab.deliver(net::Accepted{stream});
  lab.receive(stream, caller.text("INVITE", 1, "offer"));
  const auto [conn, invite] = lab.take_invite();
  lab.receive(conn, server_answer(invite, 200, "answer"));
  caller.to_tag = sip::parameter(lab.messages(stream).back().header("To"), "tag");
  caller.branch = "z9hG4bK2";
  lab.receive(stream, caller.text("ACK", 1));
  lab.messages(conn);
  lab.receive(conn, server_bye(std::string(invite.header("Call-ID")), 41));
  CHECK_EQ(lab.messages(stream).at(0).method, "BYE");
  lab.deliver(net::Closed{stream, true});
  lab.connects.clear();
  lab.advance(500ms);
  CHECK_EQ(lab.connects.at(0).address, kPeer);
  lab.deliver(net::ConnectFailed{lab.connects.at(0).conn, true, false});
  lab.connects.clear();
  lab.advance(500ms);
  const ConnId next = lab.connects.at(0).conn;
  lab.deliver(net::Connected{next});
  const sip::Message bye = lab.messages(next).at(0);
  CHECK_EQ(bye.method, "BYE");
  lab.receive(next, sip::answer_to(bye, 200, "OK", {}).text());
  lab.connects.clear();
  lab.deliver(net::Closed{next, true});  // confirmed: not sent again
  lab.advance(1s);
  CHECK(std::ranges::none_of(lab.connects,
                             [](const net::Connect& c) { return c.conn.concern == Concern::sip; }));
}

// A caller that closes or half-closes its TCP connection counts as having cancelled: its open attempt is
// cancelled, a waiting one does not start, and an INVITE read after the half-close is rejected. Guards
// against attempts for callers that have left.
void closing_the_tcp_connection_cancels_its_invite() {
  for (const bool half : {false, true}) {
    for (const bool waits : {false, true}) {
      SipLab lab;
      Caller caller;
      caller.transport = "TCP";
      const ConnId stream{Concern::sip, 1};
      lab.deliver(net::Accepted{stream});
      lab.receive(stream, caller.text("INVITE", 1, "offer"));
      const auto [conn, invite] = lab.take_invite();
      if (waits) {
        lab.receive(conn, server_answer(invite, 504));
        lab.messages(conn);
        lab.advance(50ms);
      }
      lab.take_sent(stream);
      if (half) {
        lab.deliver(net::PeerClosed{stream});
        CHECK_EQ(lab.messages(stream).at(0).status, 487);
        Caller second;
        second.transport = "TCP";
        second.call_id = "second";
        second.branch = "z9hG4bKsecond";
        lab.receive(stream, second.text("INVITE", 1, "offer"));
        CHECK_EQ(lab.messages(stream).at(0).status, 487);
      } else {
        lab.deliver(net::Closed{stream, false});
      }
      if (!waits) CHECK_EQ(lab.messages(conn).at(0).method, "CANCEL");
      for (int i = 0; i < 40; ++i) {
        lab.advance(100ms);
        for (const ConnId server : {lab.s0, lab.s1}) {
          for (const sip::Message& m : lab.messages(server)) CHECK(m.method != "INVITE");
        }
      }
    }
  }
}

// Callers send, repeat, cancel and acknowledge at random; servers answer or not. Invariants: each call gets
// one final response by its deadline and has at most one open attempt, and the next attempt starts 200 ms
// after a cancelled or reset one at the earliest.
void random_events_keep_the_invariants() {
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    SipLab lab;
    struct CallState {
      Caller caller;
      Time deadline{};
      std::string final_text{};
      std::string correlation_id{};
    };
    std::map<std::string, CallState> calls;
    std::map<std::string, std::pair<ConnId, sip::Message>> attempts;  // open attempts by correlation id
    std::map<std::string, Time> ended_at;
    lab.watch = [&] {
      for (const sip::Message& m : lab.messages_to_caller()) {
        const auto cseq = sip::cseq_of(m);
        if (m.is_request() || cseq->method != "INVITE" || m.status < 200) continue;
        CallState& call = calls.at(std::string(m.header("Call-ID")));
        if (call.final_text.empty()) CHECK(lab.now <= call.deadline);
        if (call.final_text.empty()) call.final_text = m.text();
        CHECK_EQ(m.text(), call.final_text);  // a retransmission is equal
        call.caller.to_tag = sip::parameter(m.header("To"), "tag");
      }
      for (const ConnId conn : {lab.s0, lab.s1}) {
        for (const sip::Message& m : lab.messages(conn)) {
          const std::string correlation_id(m.header("Call-ID"));
          if (m.method == "INVITE") {
            CHECK(!attempts.contains(correlation_id));
            if (ended_at.contains(correlation_id)) CHECK(lab.now - ended_at[correlation_id] >= 200ms);
            attempts[correlation_id] = {conn, m};
          } else if (m.method == "CANCEL") {
            attempts.erase(correlation_id);
            ended_at[correlation_id] = lab.now;
          }
        }
      }
    };
    for (int step = 0; step < 400; ++step) {
      const std::uint32_t pick = random() % 8;
      if (pick < 2) {
        CallState call;
        call.caller.call_id = "c" + std::to_string(step);
        call.caller.branch = "z9hG4bK" + std::to_string(step);
        const int left = 300 + static_cast<int>(random() % 2500);
        call.caller.extra_headers = "Expires-Ms: " + std::to_string(left) + "\r\n";
        call.deadline = lab.now + std::chrono::milliseconds(left);
        calls[call.caller.call_id] = call;
        lab.udp(call.caller.text("INVITE", 1));
      } else if (pick < 5 && !calls.empty()) {
        auto it = calls.begin();
        std::advance(it, random() % calls.size());
        Caller caller = it->second.caller;
        if (pick == 2) caller.to_tag.clear();
        if (pick == 4) caller.branch += "a";
        constexpr const char* kMethods[] = {"INVITE", "CANCEL", "ACK"};
        if (pick == 3) caller.to_tag.clear();
        lab.udp(caller.text(kMethods[pick - 2], 1));
      } else if (!attempts.empty()) {
        auto it = attempts.begin();
        std::advance(it, random() % attempts.size());
        const auto [correlation_id, attempt] = *it;
        constexpr int kStatus[] = {200, 200, 503, 504, 480};
        const int status = kStatus[random() % 5];
        attempts.erase(it);
        if (status == 504) ended_at[correlation_id] = lab.now;
        lab.receive(attempt.first, server_answer(attempt.second, status, "a"));
      }
      lab.advance(std::chrono::milliseconds(random() % 150));
    }
    lab.advance(5s);
    for (const auto& [id, call] : calls) CHECK(!call.final_text.empty());
  }
}

}  // namespace

// As in the platform front end, connections without input or without a complete message are closed. One whose
// Content-Length does not fit its message is closed as well.
void stream_without_a_complete_message_is_closed() {
  SipLab lab;
  const auto is_closed = [&](ConnId conn) {
    return std::find(lab.closed.begin(), lab.closed.end(), conn) != lab.closed.end();
  };
  const ConnId silent{Concern::sip, 1};
  const ConnId half{Concern::sip, 2};
  const ConnId wrong_length{Concern::sip, 3};
  const ConnId good{Concern::sip, 4};
  for (const ConnId conn : {silent, half, wrong_length, good}) lab.deliver(net::Accepted{conn});
  Caller caller;
  caller.transport = "TCP";
  const std::string options = caller.text("OPTIONS", 1);
  lab.receive(good, options);
  CHECK_EQ(lab.messages(good).at(0).status, 200);
  lab.receive(wrong_length, options + "8 101");
  CHECK(is_closed(wrong_length));
  for (const char c : options.substr(0, 25)) {
    lab.advance(100ms);
    if (!is_closed(half)) lab.receive(half, std::string(1, c));
  }
  CHECK(is_closed(silent) && is_closed(half) && !is_closed(good));
}

// Guards against a message whose head is parsed again for each piece of its body: until the bytes that it
// needs are there, the input is not looked at.
void partial_message_is_parsed_once_it_is_complete() {
  SipLab lab;
  const ConnId conn{Concern::sip, 1};
  lab.deliver(net::Accepted{conn});
  Caller caller;
  caller.transport = "TCP";
  const std::string options = caller.text("OPTIONS", 1, "0123456789");
  lab.deliver(net::Received{conn, std::string_view(options).substr(0, options.size() - 9)});
  // No connection delivers this after the bytes before; if it were read, it would be rejected.
  const std::string unlike = "x\r\n\r\n" + std::string(options.size() - 6, 'x');
  lab.deliver(net::Received{conn, unlike});
  CHECK(lab.closed.empty() && lab.messages(conn).empty());
  lab.deliver(net::Received{conn, options});
  CHECK_EQ(lab.messages(conn).at(0).status, 200);
}

// The same for a setup server's message.
void partial_message_of_a_server_is_parsed_once_it_is_complete() {
  SipLab lab;
  Caller caller;
  lab.udp(caller.text("INVITE", 1, "offer"));
  const auto [conn, invite] = lab.take_invite();
  const std::string response = server_answer(invite, 200, "an answer");
  lab.deliver(net::Received{conn, std::string_view(response).substr(0, response.size() - 8)});
  const std::string unlike = "x\r\n\r\n" + std::string(response.size() - 6, 'x');
  lab.deliver(net::Received{conn, unlike});
  CHECK(std::find(lab.closed.begin(), lab.closed.end(), conn) == lab.closed.end());
  lab.messages_to_caller();
  lab.deliver(net::Received{conn, response});
  CHECK_EQ(lab.only_message().status, 200);
}

int main() {
  partial_message_is_parsed_once_it_is_complete();
  partial_message_of_a_server_is_parsed_once_it_is_complete();
  stream_without_a_complete_message_is_closed();
  udp_call_is_established_and_released_by_the_server();
  ids_do_not_repeat_after_a_restart();
  old_process_keeps_its_dialogs_in_an_upgrade();
  unconfirmed_bye_delays_the_exit();
  caller_releases_a_call();
  answer_is_retransmitted_until_the_ack();
  call_without_an_ack_is_released();
  cancel_before_the_answer_ends_the_call();
  cancel_after_the_answer_has_no_effect();
  repeated_invites_are_absorbed_before_and_after_the_end();
  rejection_is_retransmitted_until_the_ack();
  team_over_its_budget_is_rejected_at_once();
  merged_invite_is_rejected_and_reinvite_may_not_change_the_session();
  unsupported_requests_get_an_error_response();
  tcp_call_outlives_its_connection();
  bye_on_a_connection_that_breaks_is_sent_again();
  closing_the_tcp_connection_cancels_its_invite();
  random_events_keep_the_invariants();
}
