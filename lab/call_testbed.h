// Real gatekeeper processes over loopback, between stand-in callers, setup servers and a discovery service
// that follow the platform's protocol. Each gatekeeper reaches the other parties at addresses of its own. All
// stand-ins are served by the calling thread, in run_until(). Faults are injected by calls between or at
// scheduled times; every call's history is recorded and judged afterwards by unreleased_calls().
#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "codec/jsonl.h"
#include "codec/sip.h"
#include "stand_in.h"

namespace graniterun::lab {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

// What the stand-ins saw of one call.
struct CallHistory {
  std::string id{};
  std::size_t gatekeeper{};
  std::string server{};  // uid of the server that received the last INVITE
  Clock::duration time_left{};
  std::optional<TimePoint> setup_sent{};
  std::optional<TimePoint> invite_received{};
  std::optional<TimePoint> established{};  // the caller read the answer
  std::optional<TimePoint> rejected{};     // the caller read the rejection or failure
  std::optional<TimePoint> ended{};        // at the server, or by a BYE of the gatekeeper
  std::optional<TimePoint> bye_sent{};     // the server's first BYE
  std::optional<TimePoint> released{};     // the caller read the release of the established call
  int final_answers = 0;
  bool crossed_close = false;   // sent within 50 ms before the gatekeeper closed the connection
  bool given_up = false;        // by its caller: neither an answer nor a release is owed
  bool before_restart = false;  // established by an earlier process of the gatekeeper
};

// A connection that is read without blocking.
class StreamPeer {
 public:
  explicit StreamPeer(test::Socket socket);
  bool open() const { return socket_.descriptor() >= 0; }
  int descriptor() const { return socket_.descriptor(); }
  // Appends what has arrived to `input`; closes this side if the peer has closed.
  void read_available();
  // Writes the bytes after those that wait, at once where no piece size is set; the rest in write_piece().
  // Calls `on_written` once the last byte is written: never, if the connection ends before.
  using WriteObserver = std::function<void()>;
  void write(const std::string& bytes, WriteObserver on_written = {});
  // From now on each write_piece() writes at most this many bytes of what is to be written; 0: no limit.
  void set_max_piece(std::size_t bytes) { max_piece_ = bytes; }
  void write_piece();
  void close();  // orderly
  void reset();  // RST
  std::string input{};

 private:
  test::Socket socket_;
  std::size_t max_piece_ = 0;
  std::string unwritten_{};
  std::size_t written_ = 0;  // bytes since the start
  struct ObservedWrite {
    std::size_t end;  // count of written bytes at which it is complete
    WriteObserver on_written;
  };
  std::deque<ObservedWrite> observed_writes_{};
};

class CallTestbed;

// Order of a server's work in one turn of its event loop. It decides whether a release is written to a
// connection that the gatekeeper has closed, and whether a connection opened meanwhile counts as the next
// one.
enum class TurnOrder : std::uint8_t { accept_read_write, accept_write_read, write_accept_read };

// The connection on which a release is written if that of its setup is closed, by age among those that the
// server takes for open.
enum class ReleaseTarget : std::uint8_t { oldest, newest, second_newest };

// A setup server of the platform. A release is sent on the connection of the call's INVITE, otherwise on any
// open one, and again on the next one that is opened.
class StandInServer {
 public:
  // Listens once for each gatekeeper; a port of 0: any free one.
  StandInServer(CallTestbed& testbed, std::string uid, std::vector<int> ports);

  const std::string& uid() const { return uid_; }
  // By gatekeeper.
  const std::vector<int>& ports() const { return ports_; }
  bool has_unanswered(const std::string& id) const { return unanswered_.contains(id); }
  bool has_established(const std::string& id) const { return established_.contains(id); }

  // Whether an INVITE is answered with 200 when it arrives; otherwise answer() does it.
  void set_answers_at_once(bool at_once) { answers_at_once_ = at_once; }
  // Setups are answered by themselves after this time.
  void set_answer_delay(std::optional<Clock::duration> delay) { answer_delay_ = delay; }
  // Established calls end by themselves after this time.
  void set_holding_time(std::optional<Clock::duration> holding_time) { holding_time_ = holding_time; }
  void set_turn_order(TurnOrder order) { turn_order_ = order; }
  void set_release_target(ReleaseTarget target) { release_target_ = target; }
  // Minimum time between two turns: what arrives meanwhile is handled in one turn.
  void set_turn_interval(Clock::duration interval) { turn_interval_ = interval; }
  // Without it, the server sends a report only as the first message of each connection.
  void set_periodic_reports(bool periodic) { periodic_reports_ = periodic; }
  // Every INVITE gets this response instead; empty: it is answered.
  void set_rejection(std::string status_line) { rejection_ = std::move(status_line); }
  std::size_t rejections() const { return rejections_; }
  // Called with each message and the number of its connection; true: the server does nothing more with it.
  using Interceptor = std::function<bool(std::size_t, const sip::Message&)>;
  void set_interceptor(Interceptor interceptor) { interceptor_ = std::move(interceptor); }
  // Called after each final response, with the number of its connection and the call.
  using AnswerObserver = std::function<void(std::size_t, const std::string&)>;
  void set_answer_observer(AnswerObserver observer) { answer_observer_ = std::move(observer); }
  void answer(const std::string& id, const std::string& status_line = "200 OK");
  // Writes a response to an INVITE of the call on that connection, whatever the state of the call.
  void write_response(std::size_t connection, const std::string& id, const std::string& status_line);
  void end_call(const std::string& id, int cause = 16);
  // The call is over at the server, which sends no release.
  void cut_call(const std::string& id);
  // The calls are over without releases. What is left of the process keeps its connections, and only rejects
  // setups there: it sends no reports, and connects are refused.
  void lose_calls_behind_open_connections();
  // Ends the call in the turn in which it accepts the next connection, or in the next turn.
  void end_call_after_accept(const std::string& id) { ends_after_accept_.push_back(id); }
  void end_call_in_next_turn(const std::string& id) { ends_in_next_turn_.push_back(id); }

  // Neither reads, writes nor accepts; the kernel still accepts connections.
  void freeze() { frozen_ = true; }
  bool is_frozen() const { return frozen_; }
  // Accepts and writes, but does not read.
  void set_deaf(bool deaf) { deaf_ = deaf; }
  // Messages are written in pieces of at most this many bytes a turn; 0: whole.
  void set_max_piece(std::size_t bytes) { max_piece_ = bytes; }
  // Ends freeze(); a vanished machine comes back with start() only.
  void resume();
  // The machine is gone: open connections stay open and silent, and new ones never come up.
  void vanish();
  // Ends the process: its calls are cut, its connections are reset, connects are refused.
  void stop();
  // Listens again on the same port, as a new process.
  void start();
  // The process goes on without a listener: another server may take its address.
  void stop_listening();
  void resume_listening();
  // On each open connection; false: nothing happens, the process is stopped or the machine has vanished.
  bool close_connections();
  bool reset_connections();
  bool write_noise();  // bytes that are no message
  void write_bytes(const std::string& bytes);

  void serve();  // reads, accepts and sends what is due
  void collect_descriptors(std::vector<int>& descriptors) const;

 private:
  struct Connection {
    std::unique_ptr<StreamPeer> peer;
    std::size_t gatekeeper{};
    TimePoint next_notification{};
    bool reported = false;
  };
  struct ServedCall {
    std::string number{};
    std::size_t connection{};  // of its INVITE
    std::optional<TimePoint> answered_at{};
    std::optional<TimePoint> ends_at{};
  };
  void listen();
  void accept();
  void add_connection(test::Socket socket, std::size_t gatekeeper);
  void read_connections();
  void write_due();
  void record_ends_while_frozen();
  StreamPeer* find_release_target(std::size_t own_connection, std::size_t gatekeeper);
  void handle_message(std::size_t connection, const sip::Message& message);
  void write_bye(StreamPeer& target, const std::string& id, const std::string& bye);
  void cut_calls();

  CallTestbed& testbed_;
  std::string uid_;
  std::vector<int> ports_;
  std::vector<test::Socket> listeners_{};        // by gatekeeper; empty: connects are refused
  std::vector<test::Socket> backlog_fillers_{};  // keep the listen queue of a vanished machine full
  std::map<std::size_t, Connection> connections_{};
  std::size_t last_connection_ = 0;
  std::map<std::string, ServedCall> unanswered_{};
  std::map<std::string, ServedCall> established_{};
  std::vector<std::pair<std::string, std::string>> byes_to_repeat_{};  // id and BYE, for the next connection
  bool answers_at_once_ = false;
  std::optional<Clock::duration> answer_delay_{};
  std::optional<Clock::duration> holding_time_{};
  bool frozen_ = false;
  bool deaf_ = false;
  std::size_t max_piece_ = 0;
  TurnOrder turn_order_ = TurnOrder::accept_read_write;
  ReleaseTarget release_target_ = ReleaseTarget::oldest;
  Clock::duration turn_interval_{};
  TimePoint next_turn_{};
  bool periodic_reports_ = true;
  bool reports_ = true;
  std::string rejection_{};
  std::size_t rejections_ = 0;
  Interceptor interceptor_{};
  AnswerObserver answer_observer_{};
  std::vector<std::string> ends_after_accept_{};
  std::vector<std::string> ends_in_next_turn_{};
};

struct TestbedOptions {
  std::string binary{};
  int servers = 2;
  std::uint64_t seed = 1;
  std::size_t gatekeepers = 1;
};

class CallTestbed {
 public:
  explicit CallTestbed(TestbedOptions options);
  ~CallTestbed();
  CallTestbed(const CallTestbed&) = delete;
  CallTestbed& operator=(const CallTestbed&) = delete;

  StandInServer& server(std::size_t index) { return *servers_.at(index); }
  std::size_t server_count() const { return servers_.size(); }
  std::size_t gatekeeper_count() const { return gatekeepers_.size(); }
  // Adds a server that is not listed yet, at free ports or at the address of a former one that listens no
  // more.
  StandInServer& add_server(const StandInServer* former = nullptr);
  // The server that received the call's last INVITE; null: none.
  StandInServer* server_of(const std::string& id);

  // Publishes one change of the endpoint list: the state of each named server.
  void publish(const std::map<std::string, std::string>& states, bool restarted = false);
  // For all gatekeepers, or for one.
  void set_discovery_reachable(bool reachable);
  void set_discovery_reachable(std::size_t gatekeeper, bool reachable);

  // Starts a gatekeeper with the endpoint list as published so far, and waits until it is ready.
  void start_gatekeeper(std::size_t gatekeeper = 0);
  void signal_gatekeeper(int number, std::size_t gatekeeper = 0) {
    gatekeepers_.at(gatekeeper).program->signal(number);
  }
  // SIGTERM; serves the stand-ins, and calls `meanwhile` between, until the process has ended; its exit
  // status.
  int stop_gatekeeper(const std::function<void()>& meanwhile = {}, std::size_t gatekeeper = 0);
  bool gatekeeper_running(std::size_t gatekeeper = 0) const { return gatekeepers_.at(gatekeeper).running; }
  std::string log() const;

  // Sends a setup on a caller's connection; returns the id of the call. Opens a connection if there is none;
  // returns an empty id if the gatekeeper accepts none.
  std::string place_call(Clock::duration time_left, int destination = 0, std::size_t gatekeeper = 0);
  // The caller gives up the setup: no answer is owed any more.
  void cancel_call(const std::string& id);
  // Opens a connection of a client that sends these bytes and stays.
  void open_bad_client(const std::string& bytes, std::size_t gatekeeper = 0);
  const CallHistory& history(const std::string& id) const { return calls_.at(id); }
  const std::map<std::string, CallHistory>& calls() const { return calls_; }
  void close_callers(std::size_t gatekeeper = 0);  // the next one is opened when it is needed
  bool has_caller(std::size_t gatekeeper = 0) const { return !gatekeepers_.at(gatekeeper).callers.empty(); }

  // Serves the stand-ins until the condition holds; false if it does not within the time limit.
  bool run_until(const std::function<bool()>& condition, Clock::duration limit);
  void run_for(Clock::duration span);
  void schedule(Clock::duration delay, std::function<void()> action);

  // Calls that break a rule: no final answer by the deadline, a second one, or an established call that is
  // over and was not released to its caller within the protocol's limits. One line of text for each.
  std::vector<std::string> violations() const;
  // Prints the violations, and the gatekeeper's log if there are any and `with_log`; returns their number.
  std::size_t report_violations(bool with_log = true) const;
  // Whether nothing is owed any more to the caller of any call.
  bool all_settled() const;
  std::string describe(const CallHistory& call) const;

  CallHistory& record(const std::string& id) { return calls_.at(id); }
  // The call is over at that server, or the server has written its release. Counted for the server of the
  // call's last INVITE only.
  void record_end(const std::string& id, const std::string& server, TimePoint at);
  void record_bye(const std::string& id, const std::string& server);
  bool knows(const std::string& id) const { return calls_.contains(id); }

 private:
  struct Caller {
    std::unique_ptr<StreamPeer> peer;
    std::set<std::string> unanswered{};
  };
  struct Watch {
    std::unique_ptr<StreamPeer> peer;
    std::size_t position{};
    bool started = false;
    TimePoint next_comment{};
  };
  struct Gatekeeper {
    std::size_t index{};
    int port{};
    test::Socket port_reservation{};
    std::optional<test::Program> program{};
    std::string former_logs{};
    bool running = false;
    TimePoint started_at{};
    std::vector<Caller> callers{};
    std::vector<test::Socket> bad_clients{};
    test::Socket discovery_listener{};
    int discovery_port = 0;
    std::vector<Watch> watches{};
  };
  void serve();
  void serve_discovery(Gatekeeper& gatekeeper);
  void serve_watch(const Gatekeeper& gatekeeper, Watch& watch);
  void serve_callers(Gatekeeper& gatekeeper);
  void handle_caller_line(Caller& caller, const jsonl::Message& message);
  void handle_closed_caller(const Caller& caller);
  void wait_until_ready(Gatekeeper& gatekeeper);
  static bool open_caller(Gatekeeper& gatekeeper);
  std::string event_at(const Gatekeeper& gatekeeper, std::size_t position) const;
  nlohmann::json target_of(const std::string& uid, std::size_t gatekeeper) const;
  static bool is_release_owed(const CallHistory& call);

  struct Listed {
    std::string state{};
    std::int64_t boot_ms{};
  };
  using ListChange = std::map<std::string, Listed>;  // by uid
  TestbedOptions options_;
  std::vector<std::unique_ptr<StandInServer>> servers_{};
  std::map<std::string, Listed> listed_{};
  std::vector<ListChange> changes_{};  // events of the discovery service, from position 1
  std::vector<Gatekeeper> gatekeepers_{};
  std::map<std::string, CallHistory> calls_{};
  std::multimap<TimePoint, std::function<void()>> scheduled_{};
  std::uint64_t last_call_ = 0;
  TimePoint started_at_ = Clock::now();
};

}  // namespace graniterun::lab
