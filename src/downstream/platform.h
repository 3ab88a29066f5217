// The platform front end: converts callers' JSON lines over TCP into requests of the broker, and the broker's
// effects into lines. It rejects malformed lines and leaves every other decision to the broker. Every setup
// that was read gets one final answer, unless its connection is closed by the peer first.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "codec/jsonl.h"
#include "core/classes.h"
#include "core/counters.h"
#include "downstream/connection_reaper.h"
#include "net/outbox.h"

namespace graniterun::downstream {

struct PlatformFrontSettings {
  std::shared_ptr<const core::Classes> classes{};
  std::size_t max_connections{};
};

class Platform {
 public:
  Platform(PlatformFrontSettings settings, Counters& counters)
      : settings_(std::move(settings)),
        counters_(counters),
        reaper_(settings_.max_connections, kIdleTimeout, true) {}

  void start(Time now, Outbox& out) const;
  void on(Time now, const net::Accepted& event, Outbox& out);
  void on(Time now, const net::Received& event, Outbox& out);
  void on(Time now, const net::Closed& event, Outbox& out);
  void on(Time now, const net::PeerClosed& event, Outbox& out);
  void on(Time now, const net::TimerFired& event, Outbox& out);
  void set_ready(bool ready) { ready_ = ready; }
  // Sets the classes of later requests; requests that are open keep theirs.
  void replace_classes(std::shared_ptr<const core::Classes> classes) {
    settings_.classes = std::move(classes);
  }
  // Called when another process accepts the callers from now on: closes each connection as soon as it has no
  // open setup, no partial line and no unconfirmed release. Until `close_callers_at`, connections with
  // established calls stay open, since the releases of these calls could not be sent without them.
  void begin_handover(Time now, Time close_callers_at, Outbox& out);
  // Closes the connections that may be closed by now; to be called repeatedly after begin_handover.
  void continue_handover(Time now, Outbox& out);
  std::size_t connection_count() const { return connections_.size(); }
  // Releases that wait for a connection to be sent on.
  std::size_t unassigned_releases() const { return unassigned_releases_.size(); }

  void apply(const core::AnswerCaller& effect, Outbox& out);
  void apply(const core::RejectRequest& effect, Outbox& out);
  void apply(Time now, const core::ReleaseCaller& effect, Outbox& out);
  void apply(Time now, const core::ForwardRelease& effect, Outbox& out);

 private:
  struct Call {
    std::string id;
    net::ConnId conn;
    std::string identity;  // class, number, extras and description: a repeated setup has the same ones
    bool established = false;
  };
  struct PendingRelease {
    std::string line;
    Time sent_at;
  };
  struct Connection {
    std::set<CallId> waiting;                                    // setups without an answer
    std::set<CallId> established;                                // calls whose setup came on it
    std::map<std::string, PendingRelease> unconfirmed_releases;  // by id, until `released` comes
    bool has_sent_setup = false;                                 // a valid one: a caller reads it
    bool peer_closed = false;  // the caller has closed its side: its setups are answered already
  };
  // Time without a line until a connection without an open setup is closed. Callers themselves close an idle
  // connection after 4 s.
  static constexpr Duration kIdleTimeout = std::chrono::seconds(15);

  void handle_message(Time now, net::ConnId conn, const jsonl::Message& message, Outbox& out);
  void handle_setup(Time now, net::ConnId conn, const jsonl::Message& message, Outbox& out);
  std::string read_request(Time now, const jsonl::Message& message, core::Request& request) const;
  void reject_malformed(Time now, net::ConnId conn, const std::string& id, const std::string& error,
                        Outbox& out);
  void close(Time now, net::ConnId conn, Outbox& out);
  void make_room(Time now, Outbox& out);
  void cancel_waiting(Connection& connection, Outbox& out);
  void answer_waiting(net::ConnId conn, Connection& connection, Outbox& out);
  bool is_busy(net::ConnId conn) const;
  bool has_established_call(net::ConnId conn) const;
  void send_release(Time now, net::ConnId preferred, const std::string& id, std::string line, Outbox& out);
  std::map<std::string, std::string> unread_releases();
  std::vector<net::ConnId> release_connections(net::ConnId preferred) const;
  void release_by_caller(CallId call, int cause, Outbox& out);
  void forget(CallId call);

  PlatformFrontSettings settings_;
  Counters& counters_;
  ConnectionReaper reaper_;
  RateLimitedWarning malformed_warning_;
  std::map<net::ConnId, Connection> connections_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<std::string, CallId> by_id_;
  // Releases (id, line) that wait for a connection to send them on.
  std::deque<std::pair<std::string, std::string>> unassigned_releases_;
  std::uint64_t last_call_ = 0;
  bool ready_ = false;
  std::optional<Time> close_callers_at_{};  // set once another process accepts the callers
};

}  // namespace graniterun::downstream
