// The calls of SIP callers when the gatekeeper stops without a successor: no other process knows their
// dialogs (the platform's protocol names a call by 16 hex digits only), so this one has to end them on both
// sides.
#include "sip_lab.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

// The longest caller timeout of the fixture, 9 s, counts as 3 s: SIGKILL comes after 3.7 s at the earliest,
// open requests are rejected after 3.4 s.
constexpr Duration kEndOfCalls = 2400ms;
constexpr Duration kAnswersDue = 3400ms;

std::vector<std::string> methods_of(const std::vector<sip::Message>& messages) {
  std::vector<std::string> methods;
  for (const sip::Message& message : messages) methods.push_back(message.method);
  return methods;
}

const std::vector<std::string> kOneBye{"BYE"};

// Guards against a planned restart that leaves SIP callers standing (review case 9): the process exited with
// their dialogs, and no later one could tell them that their calls are over.
void stop_without_a_successor_ends_the_calls_of_sip_callers_on_both_sides() {
  SipLab lab;
  Caller caller;
  lab.establish(caller);
  lab.acknowledge(caller);
  lab.deliver(net::StopRequested{});
  lab.advance(kEndOfCalls - 100ms);
  CHECK(!lab.exit_status);
  CHECK(lab.messages_to_caller().empty());
  CHECK(lab.nothing_sent_to_servers());
  lab.advance(150ms);
  const sip::Message bye = lab.only_message();
  CHECK_EQ(bye.method, "BYE");
  CHECK_EQ(sip::parameter(bye.header("From"), "tag"), caller.to_tag);
  CHECK_EQ(bye.header("Reason"), "Q.850;cause=41");
  CHECK(methods_of(lab.messages(lab.server_conn)) == kOneBye);
  lab.advance(600ms);  // the BYE is lost and sent again
  CHECK_EQ(lab.only_message().text(), bye.text());
  CHECK(!lab.exit_status);
  lab.udp(sip::answer_to(bye, 200, "OK", {}).text());
  lab.advance(100ms);
  CHECK(lab.exit_status == 0);
}

// A call that ends by itself before its end by the shutdown is released as usual, and nothing else holds the
// process.
void calls_that_end_after_the_stop_are_released_and_do_not_delay_the_exit() {
  for (const bool by_server : {true, false}) {
    SipLab lab;
    Caller caller;
    lab.establish(caller);
    lab.acknowledge(caller);
    lab.deliver(net::StopRequested{});
    lab.advance(1s);
    CHECK(!lab.exit_status);
    if (by_server) {
      lab.receive(lab.server_conn, server_bye(std::string(lab.invite.header("Call-ID")), 16));
      const sip::Message bye = lab.only_message();
      CHECK_EQ(bye.header("Reason"), "Q.850;cause=16");
      lab.udp(sip::answer_to(bye, 200, "OK", {}).text());
    } else {
      caller.branch = "z9hG4bK2";
      lab.udp(caller.text("BYE", 2));
      CHECK_EQ(lab.only_message().status, 200);
      CHECK(methods_of(lab.messages(lab.server_conn)) == kOneBye);
    }
    lab.advance(100ms);
    CHECK(lab.exit_status == 0);
  }
}

// §15 allows no BYE before the ACK. Where none comes until the exit is due, the caller may have sent it to
// nobody, and gets the BYE all the same.
void unacknowledged_call_is_ended_after_its_ack_or_before_the_exit() {
  for (const bool ack_comes : {true, false}) {
    SipLab lab;
    Caller caller;
    lab.establish(caller);
    lab.deliver(net::StopRequested{});
    lab.advance(kEndOfCalls + 100ms);
    for (const sip::Message& message : lab.messages_to_caller()) CHECK_EQ(message.status, 200);
    CHECK(methods_of(lab.messages(lab.server_conn)) == kOneBye);
    if (ack_comes) {
      lab.acknowledge(caller);
      CHECK_EQ(lab.only_message().method, "BYE");
      continue;
    }
    lab.advance(kAnswersDue - kEndOfCalls);
    const std::vector<std::string> methods = methods_of(lab.messages_to_caller());
    CHECK_EQ(std::count(methods.begin(), methods.end(), "BYE"), 1);
    lab.advance(200ms);
    CHECK(lab.exit_status == 0);
  }
}

// Guards against a call that is established only to be ended at once, or not at all: a call that comes once
// calls are ended is rejected with a time to come back; one that was in setup is answered, and then ended.
void calls_that_come_or_are_answered_late_are_rejected_or_ended() {
  SipLab lab;
  Caller caller;
  lab.deliver(net::StopRequested{});
  lab.advance(kEndOfCalls - 100ms);
  lab.udp(caller.text("INVITE", 1, "offer"));
  CHECK_EQ(lab.only_message().status, 100);
  const auto [conn, invite] = lab.take_invite();
  lab.advance(200ms);
  Caller late;
  late.call_id = "c2";
  late.branch = "z9hG4bKlate";
  lab.udp(late.text("INVITE", 1, "offer"));
  const sip::Message rejection = lab.only_message();
  CHECK_EQ(rejection.status, 503);
  CHECK(!rejection.header("Retry-After").empty());
  lab.udp(late.text("ACK", 1));
  lab.receive(conn, server_answer(invite, 200, "answer"));
  const sip::Message ok = lab.only_message();
  CHECK_EQ(ok.status, 200);
  caller.to_tag = sip::parameter(ok.header("To"), "tag");
  lab.acknowledge(caller);
  lab.advance(100ms);
  const sip::Message bye = lab.only_message();
  CHECK_EQ(bye.method, "BYE");
  CHECK_EQ(lab.messages(conn).back().method, "BYE");
  lab.udp(sip::answer_to(bye, 200, "OK", {}).text());
  lab.advance(100ms);
  CHECK(lab.exit_status == 0);
}

// With short deadlines SIGKILL comes soon: calls are ended at once.
void short_deadlines_end_the_calls_at_once() {
  PlatformConfig config = config_for_tests();
  for (CallClass& call_class : config.settings.classes) call_class.caller_timeout = 400ms;
  SipLab lab(config);
  Caller caller;
  lab.establish(caller);
  lab.acknowledge(caller);
  lab.deliver(net::StopRequested{});
  const sip::Message bye = lab.only_message();
  CHECK_EQ(bye.method, "BYE");
  CHECK(methods_of(lab.messages(lab.server_conn)) == kOneBye);
  lab.advance(960ms);  // 0.4 s and 0.7 s, less 0.15 s
  CHECK(lab.exit_status == 0);
}

// A caller over TCP gets the BYE on its connection, and on a new one to its Contact where that is closed.
void caller_over_tcp_is_told_on_its_connection_or_on_a_new_one() {
  for (const bool connection_open : {true, false}) {
    SipLab lab;
    Caller caller;
    caller.transport = "TCP";
    const ConnId stream{Concern::sip, 1};
    lab.deliver(net::Accepted{stream});
    lab.receive(stream, caller.text("INVITE", 1, "offer"));
    CHECK_EQ(lab.messages(stream).at(0).status, 100);
    const auto [conn, invite] = lab.take_invite();
    lab.receive(conn, server_answer(invite, 200, "answer"));
    caller.to_tag = sip::parameter(lab.messages(stream).at(0).header("To"), "tag");
    caller.branch = "z9hG4bK2";
    lab.receive(stream, caller.text("ACK", 1));
    if (!connection_open) lab.deliver(net::Closed{stream, false});
    lab.messages(conn);
    lab.deliver(net::StopRequested{});
    lab.advance(kEndOfCalls + 50ms);
    ConnId told = stream;
    if (!connection_open) {
      CHECK_EQ(lab.connects.back().address, kPeer);
      told = lab.connects.back().conn;
      lab.deliver(net::Connected{told});
    }
    const std::vector<sip::Message> messages = lab.messages(told);
    CHECK(methods_of(messages) == kOneBye);
    CHECK(methods_of(lab.messages(conn)) == kOneBye);
    CHECK(!lab.exit_status);
    lab.receive(told, sip::answer_to(messages[0], 200, "OK", {}).text());
    lab.advance(100ms);
    CHECK(lab.exit_status == 0);
  }
}

// Calls of platform callers do not hold the process: their releases reach the next one.
void platform_calls_do_not_delay_the_exit() {
  SipLab lab;
  const ConnId caller{Concern::platform, 1};
  lab.deliver(net::Accepted{caller});
  lab.receive(caller, setup_line("00000000000000aa"));
  const auto [conn, invite] = lab.take_invite();
  lab.receive(conn, server_answer(invite, 200, "answer"));
  lab.deliver(net::StopRequested{});
  lab.advance(950ms);
  CHECK(lab.exit_status == 0);
  CHECK(methods_of(lab.messages(conn)) == std::vector<std::string>{"ACK"});
}

}  // namespace

int main() {
  stop_without_a_successor_ends_the_calls_of_sip_callers_on_both_sides();
  calls_that_end_after_the_stop_are_released_and_do_not_delay_the_exit();
  unacknowledged_call_is_ended_after_its_ack_or_before_the_exit();
  calls_that_come_or_are_answered_late_are_rejected_or_ended();
  short_deadlines_end_the_calls_at_once();
  caller_over_tcp_is_told_on_its_connection_or_on_a_new_one();
  platform_calls_do_not_delay_the_exit();
}
