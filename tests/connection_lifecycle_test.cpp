// Connections to setup servers are read to their end: decisions of ConnectionLifecycle, and the reducer's
// connections under a simulated clock (report b61449, docs/design/server-watch.md).
#include "upstream/connection_lifecycle.h"

#include <map>

#include "ready.h"

using namespace graniterun;
using namespace graniterun::test;
using upstream::ConnectionAction;
using upstream::ConnectionSituation;
using upstream::decide_connection;

namespace {

const std::string kNoise = "what is this\r\n\r\n";

ConnectionSituation silent_connection_with_call() {
  ConnectionSituation situation;
  situation.releases_expected = situation.calls_possible = situation.received_input = true;
  situation.silence = 700ms;
  return situation;
}

void connection_with_expected_releases_is_never_only_closed() {
  ConnectionSituation situation = silent_connection_with_call();
  CHECK(decide_connection(situation) == ConnectionAction::retire_and_replace);
  situation.silence = 500ms;
  CHECK(decide_connection(situation) == ConnectionAction::keep);
  situation.silence = 10s;
  situation.retired_slots_full = true;
  CHECK(decide_connection(situation) == ConnectionAction::replace);
  situation.replaceable = false;
  CHECK(decide_connection(situation) == ConnectionAction::keep);
}

void retired_connection_is_dropped_only_at_a_live_server_or_without_calls() {
  ConnectionSituation situation = silent_connection_with_call();
  situation.retired_for = 1h;
  CHECK(decide_connection(situation) == ConnectionAction::replace);
  situation.server_alive_since_retirement = true;
  CHECK(decide_connection(situation) == ConnectionAction::drop);
  situation.process_in_doubt = true;
  CHECK(decide_connection(situation) == ConnectionAction::replace);
  situation.process_in_doubt = false;
  situation.retired_for = 1s;
  CHECK(decide_connection(situation) == ConnectionAction::replace);
  situation.server_alive_since_retirement = situation.calls_possible = situation.releases_expected = false;
  CHECK(decide_connection(situation) == ConnectionAction::keep);
  situation.retired_for = 3s;
  CHECK(decide_connection(situation) == ConnectionAction::drop);
}

// A connection that the server has not accepted yet may be the next one for it.
void unaccepted_notification_connection_is_kept() {
  ConnectionSituation situation;
  situation.notifications_only = situation.calls_possible = true;
  situation.silence = 5s;
  CHECK(decide_connection(situation) == ConnectionAction::keep);
  situation.received_input = true;
  CHECK(decide_connection(situation) == ConnectionAction::retire);
  situation.has_outstanding = true;
  CHECK(decide_connection(situation) == ConnectionAction::keep);
}

// A lab with one server and one established call. The process is old enough for no former calls.
struct EstablishedLab : ConnectedLab {
  EstablishedLab() : ConnectedLab(1) {
    advance(61s);
    establish_call(s0);
    lines(kCaller);
    connects.clear();
  }
  // Lets the time pass; each connect succeeds and its connection carries nothing, as at a hung server.
  std::vector<ConnId> hang(Duration span) {
    std::vector<ConnId> opened;
    for (Duration passed{}; passed < span; passed += 50ms) {
      advance(50ms);
      for (const ConnId conn : bring_up("127.0.0.1:9000")) opened.push_back(conn);
    }
    return opened;
  }
};

void connection_of_a_silent_server_is_retired_and_read() {
  EstablishedLab lab;
  lab.hang(3s);
  CHECK_EQ(std::count(lab.retired.begin(), lab.retired.end(), lab.s0), 1);
  CHECK(lab.dropped.empty());
  lab.expect_release_forwarded(lab.s0);
}

// Whatever connection the server chooses when it resumes, its release is read.
void release_arrives_on_any_connection_after_a_hang() {
  for (std::size_t i = 0;; ++i) {
    EstablishedLab lab;
    const std::vector<ConnId> opened = lab.hang(7s);
    CHECK(opened.size() > 2);
    CHECK(lab.dropped.empty());
    if (i == opened.size()) return;
    lab.expect_release_forwarded(opened.at(i));
  }
}

void connections_to_a_silent_server_are_bounded() {
  EstablishedLab lab;
  std::vector<ConnId> opened = lab.hang(upstream::kMaxEvidenceAge);
  constexpr std::size_t kSetupAndNotificationConnections = 6;
  CHECK(lab.retired.size() <= upstream::kMaxRetiredConnections);
  // The calls are over, and all connections are retired.
  const std::vector<ConnId> opened_later = lab.hang(200ms);
  opened.insert(opened.end(), opened_later.begin(), opened_later.end());
  CHECK(lab.retired.size() <= upstream::kMaxRetiredConnections + lab.dropped.size());
  CHECK(opened.size() <= upstream::kMaxRetiredConnections + kSetupAndNotificationConnections);
}

// The server accepts the first connection after the drop before it writes the release to the dropped one: it
// repeats the release on the second.
void two_connections_follow_a_drop() {
  EstablishedLab lab;
  lab.receive(lab.s0, kNoise);
  CHECK_EQ(lab.dropped.size(), 1U);
  std::vector<ConnId> opened;
  for (int i = 0; i < 10; ++i) {
    for (const ConnId conn : lab.bring_up("127.0.0.1:9000")) {
      opened.push_back(conn);
      lab.receive(conn, server_report());
    }
    lab.advance(50ms);
  }
  CHECK_EQ(opened.size(), 2U);
  lab.expect_release_forwarded(opened.at(1));
}

// Guards against a release that the server could repeat on no connection: after several losses the
// connections for notifications were all in use, and only the first of the two that have to follow a loss was
// opened.
void two_connections_follow_each_of_several_drops() {
  EstablishedLab lab;
  ConnId current = lab.s0;
  std::vector<ConnId> open;
  for (int drop = 1; drop <= 5; ++drop) {
    lab.receive(current, kNoise);
    std::erase(open, current);
    std::vector<ConnId> opened;
    for (int i = 0; i < 10; ++i) {
      for (const ConnId conn : lab.bring_up("127.0.0.1:9000")) opened.push_back(conn);
      for (const ConnId conn : open) lab.receive(conn, server_report());
      for (const ConnId conn : opened) lab.receive(conn, server_report());
      lab.advance(50ms);
    }
    CHECK_EQ(opened.size(), 2U);
    open.insert(open.end(), opened.begin(), opened.end());
    current = opened.front();
  }
  lab.expect_release_forwarded(open.back());
}

// Each server may have accepted a connection of a new process before it notices the end of the former one, to
// whose connections it writes some releases.
void release_of_a_former_call_is_followed_by_one_more_connection_to_each_server() {
  ConnectedLab lab(2);
  for (const ConnId conn : {lab.s0, lab.s1}) lab.receive(conn, server_report());
  lab.connects.clear();
  for (const char* id : {"00000000000000f1", "00000000000000f2"}) lab.receive(lab.s0, server_bye(id, 16));
  CHECK(lab.connects.empty());  // the servers have not noticed the end yet
  std::map<std::string, int> opened;
  for (int i = 0; i < 10; ++i) {
    lab.advance(50ms);
    for (const net::Connect& connect : std::exchange(lab.connects, {})) {
      ++opened[connect.address];
      lab.deliver(net::Connected{connect.conn});
      lab.receive(connect.conn, server_report());
    }
  }
  CHECK_EQ(opened["127.0.0.1:9000"], 1);
  CHECK_EQ(opened["127.0.0.1:9001"], 1);
}

// The rest of a message that was cut short is lost, so that the release is awaited on the next connection.
void close_within_a_message_is_followed_by_another_connection() {
  EstablishedLab lab;
  const ConnId other = [&] {
    lab.receive(lab.s0, kNoise);
    return lab.bring_up("127.0.0.1:9000").at(0);
  }();
  lab.receive(other, server_report());
  lab.advance(400ms);
  const std::vector<ConnId> second = lab.bring_up("127.0.0.1:9000");
  CHECK_EQ(second.size(), 1U);
  lab.receive(second.at(0), server_report() + "BYE sip:x@n");
  lab.deliver(net::Closed{second.at(0), false});
  lab.advance(100ms);
  CHECK_EQ(lab.connects.size(), 1U);
}

// The server closes a retired connection with unread input, which resets it: nothing that it had written is
// lost, and no further connection is opened.
void reset_of_a_retired_connection_loses_nothing() {
  EstablishedLab lab;
  lab.hang(1300ms);
  CHECK_EQ(std::count(lab.retired.begin(), lab.retired.end(), lab.s0), 1);
  lab.deliver(net::Closed{lab.s0, true});
  lab.advance(200ms);
  CHECK(lab.connects.empty());
}

// A connection carries its first byte late: the server hung, and may have repeated a release on a connection
// of an earlier process.
void late_first_byte_is_followed_by_another_connection() {
  for (const auto wait : {100ms, 500ms}) {
    ConnectedLab lab(1);  // of a process that has just started
    lab.advance(wait);
    lab.receive(lab.s0, server_report());
    lab.advance(300ms);
    CHECK_EQ(lab.connects.size(), wait == 500ms ? 1U : 0U);
  }
}

}  // namespace

int main() {
  late_first_byte_is_followed_by_another_connection();
  connection_with_expected_releases_is_never_only_closed();
  retired_connection_is_dropped_only_at_a_live_server_or_without_calls();
  unaccepted_notification_connection_is_kept();
  connection_of_a_silent_server_is_retired_and_read();
  release_arrives_on_any_connection_after_a_hang();
  connections_to_a_silent_server_are_bounded();
  two_connections_follow_a_drop();
  two_connections_follow_each_of_several_drops();
  release_of_a_former_call_is_followed_by_one_more_connection_to_each_server();
  reset_of_a_retired_connection_loses_nothing();
  close_within_a_message_is_followed_by_another_connection();
}
