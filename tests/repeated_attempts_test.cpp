// Several attempts of one call at one setup server, which matches all messages by Call-ID: no message of an
// attempt may cut, establish or end another one (report b61449).
#include "ready.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

const std::string kOther = "00000000000000bb";

// A lab with one server, whose first attempt of kId is cancelled without a response. Its connection is not
// current any more: a second one was opened for want of input.
struct CancelledAttempt : ConnectedLab {
  CancelledAttempt() : ConnectedLab(1) {
    receive(kCaller, setup_line_with_key(kId, 6000));
    first = invite(s0);
    advance(100ms);
    receive(kCaller, setup_line_with_key(kOther) + setup_line_with_key("00000000000000cc", 8000));
    receive(s0, server_answer(messages(s0).at(0), 200,
                              "b"));  // overtakes the first attempt, which counts as lost
    lines(kCaller);
    advance(580ms);
    CHECK_EQ(messages(s0).back().method, "CANCEL");
    advance(100ms);
    next = connects.at(0).conn;
    bring_up();
  }
  std::size_t invites_on_next() {
    std::size_t count = 0;
    for (const sip::Message& message : messages(next)) count += message.method == "INVITE" ? 1 : 0;
    return count;
  }
  sip::Message first;
  ConnId next;
};

void no_second_attempt_on_another_connection_while_the_first_may_be_open() {
  CancelledAttempt lab;
  lab.advance(6s);
  CHECK_EQ(lab.invites_on_next(), 0U);
  CHECK_EQ(lab.line().type, "release");
  CHECK(counter_value(lab, "servers.attempts_withheld") > 0);
}

void second_attempt_follows_the_rejection_of_the_first() {
  CancelledAttempt lab;
  lab.receive(lab.s0, server_answer(lab.first, 487));
  lab.advance(400ms);
  CHECK_EQ(lab.invites_on_next(), 1U);
}

void second_attempt_follows_the_close_of_the_first_ones_connection() {
  CancelledAttempt lab;
  lab.deliver(net::Closed{lab.s0, true});
  lab.advance(400ms);
  CHECK_EQ(lab.invites_on_next(), 1U);
}

// The success of the first attempt comes after its end: the call is released at the server, and no second
// attempt is there that the BYE could cut.
void late_success_is_released_and_no_second_attempt_is_cut() {
  CancelledAttempt lab;
  lab.advance(300ms);
  lab.receive(lab.s0, server_answer(lab.first, 200, "a"));
  const auto sent = lab.messages(lab.s0);
  CHECK_EQ(sent.size(), 2U);
  CHECK_EQ(sent[0].method, "ACK");
  CHECK_EQ(sent[1].method, "BYE");
  lab.advance(6s);
  CHECK_EQ(lab.invites_on_next(), 0U);
  CHECK_EQ(lab.line().type, "release");  // the only answer
}

// The call's second attempt is on the connection of the first one, in order behind its CANCEL.
struct RepeatedAttempt : ConnectedLab {
  RepeatedAttempt() : ConnectedLab(1) {
    receive(kCaller, setup_line_with_key(kId, 4000));
    first = invite(s0);
    advance(70ms);
    receive(kCaller, setup_line_with_key(kOther));
    receive(s0, server_answer(invite(s0), 200, "b"));
    lines(kCaller);
    messages(s0);
    advance(1200ms);
    const auto sent = messages(s0);
    CHECK_EQ(sent.size(), 2U);
    CHECK_EQ(sent[0].method, "CANCEL");
    second = sent[1];
  }
  sip::Message first;
  sip::Message second;
};

void response_to_the_cancel_does_not_end_the_second_attempt() {
  RepeatedAttempt lab;
  lab.receive(lab.s0, server_answer(lab.first, 487));
  CHECK(lab.lines(kCaller).empty());
  lab.receive(lab.s0, server_answer(lab.second, 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
}

// A success and a rejection for one call: either may be that of the first attempt, and whether the call
// stands at the server is unknown. It is ended on both sides.
void call_with_contradicting_responses_is_ended_on_both_sides() {
  RepeatedAttempt lab;
  lab.receive(lab.s0, server_answer(lab.first, 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  lab.messages(lab.s0);
  lab.receive(lab.s0, server_answer(lab.second, 503));
  CHECK_EQ(lab.messages(lab.s0).back().method, "BYE");
  CHECK_EQ(lab.line().type, "release");
}

// A spoilt second response to a first attempt changes nothing.
void second_response_to_a_first_attempt_is_ignored() {
  ConnectedLab lab(1);
  lab.receive(kCaller, setup_line_with_key(kId, 4000));
  const sip::Message first = lab.invite(lab.s0);
  lab.receive(lab.s0, server_answer(first, 200, "a"));
  CHECK_EQ(lab.line().type, "answer");
  lab.messages(lab.s0);
  lab.receive(lab.s0, server_answer(first, 503));
  CHECK_EQ(lab.messages(lab.s0).at(0).method, "ACK");
  CHECK(lab.lines(kCaller).empty());
}

// After the late success of a cancelled attempt a spoilt second response comes, and then the server's
// release: the caller, who has its answer, reads no other one.
void release_after_a_late_success_is_not_forwarded() {
  CancelledAttempt lab;
  lab.advance(300ms);
  lab.receive(lab.s0, server_answer(lab.first, 200, "a"));
  lab.receive(lab.s0, server_answer(lab.first, 503));
  lab.advance(6s);
  CHECK_EQ(lab.line().type, "release");
  lab.receive(lab.s0, server_bye(kId, 16));
  CHECK(lab.lines(kCaller).empty());
}

// The caller's connection closes and the setup comes again under the same id: another call for the
// gatekeeper, and the same one for the server.
void repeated_setup_is_not_sent_beside_its_open_predecessor() {
  CancelledAttempt lab;
  const ConnId other{Concern::platform, 2};
  lab.deliver(net::Accepted{other});
  lab.deliver(net::Closed{kCaller, false});
  lab.receive(other, setup_line_with_key(kId, 3000));
  lab.advance(5s);
  CHECK_EQ(lab.invites_on_next(), 0U);
  CHECK_EQ(lab.lines(other).size(), 1U);
}

}  // namespace

int main() {
  no_second_attempt_on_another_connection_while_the_first_may_be_open();
  second_attempt_follows_the_rejection_of_the_first();
  second_attempt_follows_the_close_of_the_first_ones_connection();
  late_success_is_released_and_no_second_attempt_is_cut();
  response_to_the_cancel_does_not_end_the_second_attempt();
  call_with_contradicting_responses_is_ended_on_both_sides();
  second_response_to_a_first_attempt_is_ignored();
  release_after_a_late_success_is_not_forwarded();
  repeated_setup_is_not_sent_beside_its_open_predecessor();
}
