// Discrete-event simulation of a fleet's distributors and gatekeepers in one process: the same reducers as in
// the programs, and connections with faults between them. All random choices come from one seed, so a seed
// and a simulated time reproduce a failure. Nothing waits in real time.
//
// Not simulated: the text of the lines, the file format, the settings that service configurations patch, and
// machines that vanish without a reset of their connections (the I/O layer detects those).
//
// Invariants are checked at each effect, and the first violation aborts the program: a version that
// decreases, two contents of one committed version, a notification or activation of a version that was never
// committed, content that differs from what was published, an abandoned proposal that is committed, a second
// notification before the first was acknowledged.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "distribution/distributor.h"
#include "distribution/subscriber.h"

namespace graniterun::lab {

struct ConfigSimSettings {
  std::size_t distributors = 3;
  std::size_t gatekeepers = 6;
  std::size_t services = 8;
  std::size_t services_each = 3;  // of a gatekeeper: consecutive ones from its own index, modulo services
  std::uint64_t seed = 1;
  Duration least{std::chrono::microseconds(200)};  // delay of a line, drawn uniformly from `least` to `most`
  Duration most{std::chrono::milliseconds(3)};
  double late = 0;     // share of lines with a delay of up to 1.5 s
  double doubled = 0;  // share of messages that are processed twice
  Duration tick{std::chrono::milliseconds(50)};
  Duration clock_error{};  // maximum error of a distributor's Unix time, either way
  std::size_t bytes_per_second = 16 * 1024 * 1024;
  Duration wait{std::chrono::seconds(2)};  // startup timeout of the gatekeepers' subscribers
  // Reason for which a gatekeeper rejects the configurations; empty: it applies them.
  std::function<std::string(std::size_t, const std::vector<distribution::ServiceConfig>&)> refuses{};
};

class ConfigSim {
 public:
  using Node = std::size_t;  // index: distributors first, then gatekeepers

  struct Counts {
    std::uint64_t lines = 0;
    std::uint64_t bytes = 0;          // approximate, of all lines
    std::uint64_t held_by_cut = 0;    // lines delayed by a cut
    std::uint64_t held_by_stop = 0;   // events delayed because the process was stopped
    std::uint64_t lost_by_reset = 0;  // lines on a connection that was closed before they arrived
    std::uint64_t late = 0;
    std::uint64_t doubled = 0;
    std::uint64_t refused_connections = 0;
    std::uint64_t steps = 0;
    std::uint64_t fetches = 0;  // sent by gatekeepers
    std::uint64_t applies = 0;
    std::map<distribution::SubscriberLogKind, std::uint64_t> told{};    // log events of gatekeepers
    std::map<distribution::DistributorLogKind, std::uint64_t> found{};  // log events of distributors
  };
  struct InForce {
    Time at{};
    std::size_t gatekeeper{};
    std::string service{};
    distribution::Version version{};
  };

  explicit ConfigSim(ConfigSimSettings settings)
      : settings_(std::move(settings)),
        random_(settings_.seed),
        distributors_(settings_.distributors),
        gatekeepers_(settings_.gatekeepers) {
    for (std::size_t i = 0; i < key_.size(); ++i) key_[i] = static_cast<unsigned char>(random_());
    for (std::size_t i = 0; i < settings_.distributors; ++i)
      addresses_.push_back("10.0.0." + std::to_string(i) + ":7950");
    for (Distributor& d : distributors_) {
      const auto error = settings_.clock_error.count();
      if (error > 0)
        d.clock_error = Duration(std::uniform_int_distribution<std::int64_t>(-error, error)(random_));
    }
  }
  ConfigSim(const ConfigSim&) = delete;  // scheduled events refer to it
  ConfigSim& operator=(const ConfigSim&) = delete;

  static std::string name_of(std::size_t gatekeeper) { return "g" + std::to_string(gatekeeper); }
  static std::string service_of(std::size_t i) { return "s" + std::to_string(i); }
  std::vector<std::string> services_of(std::size_t gatekeeper) const {
    std::vector<std::string> all;
    for (std::size_t i = 0; i < std::min(settings_.services_each, settings_.services); ++i)
      all.push_back(service_of((gatekeeper + i) % settings_.services));
    return all;
  }
  Node node_of_gatekeeper(std::size_t g) const { return settings_.distributors + g; }
  const distribution::Key& key() const { return key_; }

  // ---- actions

  // Without files, the distributor starts as one that has never run.
  void start_distributor(std::size_t i, bool with_files = true) {
    Distributor& d = distributors_.at(i);
    if (d.up) return;
    if (!with_files) {
      d.files.clear();
      d.has_files = false;
      d.highest.clear();
    }
    distribution::DistributorSettings settings;
    settings.name = "d" + std::to_string(i);
    settings.peers = settings_.distributors - 1;
    settings.key = key_;
    settings.bytes_per_second = settings_.bytes_per_second;
    settings.seed = random_();
    d.reducer = std::make_unique<distribution::Distributor>(std::move(settings));
    d.up = true;
    ++d.incarnation;
    d.peers.assign(settings_.distributors - 1, {});
    distribution::Restored restored;
    restored.empty = !d.has_files;
    for (const auto& [bucket, records] : d.files) restored.records.insert(records.begin(), records.end());
    d.has_files = true;
    step_distributor(i, restored);
    start_ticks(i);
  }
  void start_gatekeeper(std::size_t g) {
    Gatekeeper& gatekeeper = gatekeepers_.at(g);
    if (gatekeeper.up) return;
    distribution::SubscriberSettings settings;
    settings.name = name_of(g);
    settings.distributors = addresses_;
    settings.services = services_of(g);
    settings.key = key_;
    settings.wait = settings_.wait;
    settings.seed = random_();
    gatekeeper.reducer = std::make_unique<distribution::Subscriber>(std::move(settings));
    gatekeeper.up = true;
    ++gatekeeper.incarnation;
    gatekeeper.running.clear();
    distribution::SubscriberEffects out;
    gatekeeper.reducer->start(now_, out);
    carry_out(g, out);
    start_ticks(node_of_gatekeeper(g));
  }
  void start_all(bool with_files = true) {
    for (std::size_t i = 0; i < distributors_.size(); ++i) start_distributor(i, with_files);
    for (std::size_t g = 0; g < gatekeepers_.size(); ++g) start_gatekeeper(g);
  }
  void kill(Node n) {
    Process& p = process(n);
    if (!p.up) return;
    p.up = false;
    p.stopped = false;
    p.tick_missed = false;
    ++p.incarnation;
    p.inbox.clear();
    std::vector<std::uint64_t> ids;
    for (const auto& [id, connection] : connections_) {
      if (connection.client == n || connection.distributor == n) ids.push_back(id);
    }
    for (const std::uint64_t id : ids) close_end(id, n);
    if (n < distributors_.size()) {
      distributors_[n].reducer.reset();
      distributors_[n].peers.clear();
    } else {
      Gatekeeper& gatekeeper = gatekeepers_[n - distributors_.size()];
      gatekeeper.reducer.reset();
      gatekeeper.connections.clear();
      gatekeeper.opening.clear();
    }
  }
  void stop(Node n) {
    if (process(n).up) process(n).stopped = true;
  }
  void wake(Node n) {
    Process& p = process(n);
    if (!p.stopped) return;
    p.stopped = false;
    // Timers are served before sockets, as in the program.
    if (std::exchange(p.tick_missed, false)) tick(n, p.incarnation);
    while (!p.inbox.empty() && p.up && !p.stopped) {
      const auto next = std::move(p.inbox.front());
      p.inbox.pop_front();
      next();
    }
  }
  // Cuts both directions between `side` and all other nodes, until heal().
  void cut(const std::set<Node>& side) { cut_side_ = side; }
  void heal() {
    cut_side_.clear();
    std::vector<std::uint64_t> ids;
    for (const auto& [id, connection] : connections_) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const std::uint64_t id : ids) {
      for (const bool to_distributor : {true, false}) {
        if (!direction(connections_.at(id), to_distributor).held_messages.empty())
          schedule_after(delay(), [this, id, to_distributor] { flush(id, to_distributor); });
      }
    }
  }
  // Resets the connection and drops all messages in flight; false if there is no connection between the two.
  bool reset(Node client, std::size_t distributor) {
    for (const auto& [id, connection] : connections_) {
      if (connection.client != client || connection.distributor != distributor) continue;
      const std::uint64_t lost = id;
      close_end(lost, client, true);
      return true;
    }
    return false;
  }
  // All connections of a node, as client and distributor.
  std::vector<std::pair<Node, std::size_t>> connections_of(Node n) const {
    std::vector<std::pair<Node, std::size_t>> all;
    for (const auto& [id, connection] : connections_) {
      if (connection.client == n || connection.distributor == n)
        all.emplace_back(connection.client, connection.distributor);
    }
    std::sort(all.begin(), all.end());
    return all;
  }
  // Publishes at distributor i; returns the number of the request, for result().
  std::uint64_t publish(std::size_t i, const std::string& service, const std::string& content) {
    const std::uint64_t request = ++requests_;
    published_[request] = {i, service, content, now_, std::nullopt};
    contents_[service].insert(content);
    if (distributors_.at(i).up) {
      const auto unix_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(now_ - kStart + distributors_[i].clock_error);
      run_at_node(i, [this, i, request, service, content, unix_ms] {
        step_distributor(i, distribution::PublishRequested{
                                request, service, content,
                                static_cast<distribution::Version>(1'700'000'000'000 + unix_ms.count())});
      });
    }
    return request;
  }
  void change_base(std::size_t g) {
    run_at_node(node_of_gatekeeper(g), [this, g] { step_gatekeeper(g, distribution::BaseChanged{}); });
  }
  void set_rejections(
      std::function<std::string(std::size_t, const std::vector<distribution::ServiceConfig>&)> refuses) {
    settings_.refuses = std::move(refuses);
  }
  void take_within(Duration max_apply_time) { max_apply_time_ = max_apply_time; }
  // Delivers an event to gatekeeper g that no distributor has sent.
  void inject(std::size_t g, const distribution::SubscriberEvent& event) {
    run_at_node(node_of_gatekeeper(g), [this, g, event] { step_gatekeeper(g, event); });
  }
  void set_faults(double late, double doubled) {
    settings_.late = late;
    settings_.doubled = doubled;
  }

  void run(Duration span) {
    run_until(now_ + span, [] { return false; });
  }
  // Runs until `holds` is true, checked after each event. Returns the simulated time that it took, or nothing
  // if `timeout` has passed.
  std::optional<Duration> until(Duration timeout, const std::function<bool()>& holds) {
    const Time start = now_;
    if (holds()) return Duration{};
    if (!run_until(now_ + timeout, holds)) return std::nullopt;
    return now_ - start;
  }

  // ---- observations

  Time now() const { return now_; }
  bool up(Node n) const { return process(n).up; }
  bool stopped(Node n) const { return process(n).stopped; }
  const distribution::Distributor& distributor(std::size_t i) const { return *distributors_.at(i).reducer; }
  const distribution::Subscriber& gatekeeper(std::size_t g) const { return *gatekeepers_.at(g).reducer; }
  const std::optional<distribution::PublishFinished>& result(std::uint64_t request) const {
    return published_.at(request).result;
  }
  const Counts& counts() const { return counts_; }
  std::uint64_t told(distribution::SubscriberLogKind what) const {
    const auto it = counts_.told.find(what);
    return it == counts_.told.end() ? 0 : it->second;
  }
  std::uint64_t found(distribution::DistributorLogKind what) const {
    const auto it = counts_.found.find(what);
    return it == counts_.found.end() ? 0 : it->second;
  }
  // Active version at a gatekeeper, according to the ApplyConfigs effects carried out.
  distribution::VersionId running(std::size_t g, const std::string& service) const {
    const auto& all = gatekeepers_.at(g).running;
    const auto it = all.find(service);
    return it == all.end() ? distribution::VersionId{} : it->second.id;
  }
  distribution::VersionId committed(std::size_t i, const std::string& service) const {
    const auto& records = distributor(i).records();
    const auto it = records.find(service);
    return it == records.end() || !it->second.committed ? distribution::VersionId{}
                                                        : it->second.committed->id;
  }
  bool all_vote() const {
    for (const Distributor& d : distributors_) {
      if (!d.up || d.reducer->voter_state() != distribution::VoterState::voting) return false;
    }
    return true;
  }
  // Whether all running distributors have committed the same versions, and each running gatekeeper has
  // activated or rejected them. trouble() describes the first difference.
  bool all_equal() const { return trouble().empty(); }
  std::string trouble() const {
    std::map<std::string, distribution::VersionId> newest;
    for (std::size_t s = 0; s < settings_.services; ++s) {
      const std::string service = service_of(s);
      std::optional<distribution::VersionId> id;
      for (std::size_t i = 0; i < distributors_.size(); ++i) {
        if (!distributors_[i].up) continue;
        const distribution::VersionId here = committed(i, service);
        if (id && here != *id)
          return "distributor " + std::to_string(i) + ": committed version differs in " + service;
        id = here;
      }
      newest[service] = id.value_or(distribution::VersionId{});
    }
    for (std::size_t g = 0; g < gatekeepers_.size(); ++g) {
      if (!gatekeepers_[g].up) continue;
      for (const auto& [service, state] : gatekeepers_[g].reducer->service_states()) {
        const distribution::VersionId& committed_id = newest.at(service);
        if (state.active != running(g, service))
          return name_of(g) + ": reported active version differs from the applied one";
        if (state.active == committed_id || (state.rejected && *state.rejected == committed_id)) continue;
        return name_of(g) + ": active version " + std::to_string(state.active.version) + " of " + service +
               ", not " + std::to_string(committed_id.version);
      }
    }
    return {};
  }
  bool all_current() const {
    for (const Gatekeeper& gatekeeper : gatekeepers_) {
      if (gatekeeper.up && !gatekeeper.reducer->is_current()) return false;
    }
    return true;
  }
  // Activations since the previous call.
  std::vector<InForce> take_in_force() { return std::exchange(in_force_, {}); }
  std::uint64_t bytes_to(Node n) const { return process(n).bytes_in; }
  std::uint64_t bytes_from(Node n) const { return process(n).bytes_out; }

 private:
  struct EndClosed {};  // the other end has closed; the last message of its direction
  using Message = std::variant<distribution::SubscriberEvent, distribution::DistributorEvent, EndClosed>;
  struct Direction {
    Time last_arrival{};
    std::deque<Message> held_messages{};
  };
  struct Connection {
    Node client{};
    std::size_t distributor{};
    std::uint32_t index{};  // the client's index of the distributor
    bool client_open = true;
    bool distributor_open = true;
    bool notification_pending = false;  // not acknowledged yet
    Direction to_distributor{};
    Direction to_client{};
  };
  struct Process {
    bool up = false;
    bool stopped = false;
    bool tick_missed = false;
    std::uint64_t incarnation = 0;
    std::deque<std::function<void()>> inbox{};
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
  };
  struct PeerLink {
    std::optional<std::uint64_t> connection{};
    Time retry{};
    std::uint64_t attempt = 0;
    bool opening = false;
  };
  struct Distributor : Process {
    std::unique_ptr<distribution::Distributor> reducer{};
    bool has_files = false;
    std::map<std::size_t, std::map<std::string, distribution::ServiceRecord>> files{};
    std::map<std::string, distribution::Version> highest{};  // committed here since its files were last lost
    std::vector<PeerLink> peers{};
    Duration clock_error{};
  };
  struct Gatekeeper : Process {
    std::unique_ptr<distribution::Subscriber> reducer{};
    std::map<std::uint32_t, std::uint64_t> connections{};  // by source
    std::map<std::uint32_t, std::uint64_t> opening{};      // by source: number of the attempt
    std::map<std::string, distribution::ServiceConfig> running{};
  };
  struct ScheduledEvent {
    Time at{};
    std::uint64_t number{};
    std::function<void()> action{};
    bool operator<(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  struct Publication {
    std::size_t distributor{};
    std::string service{};
    std::string content{};
    Time at{};
    std::optional<distribution::PublishFinished> result{};
  };

  static constexpr Time kStart = Time{} + std::chrono::hours(1);
  static constexpr Duration kMaxPeerRetryDelay = std::chrono::milliseconds(300);
  static constexpr Duration kPeerConnectTimeout = std::chrono::seconds(2);

  void require(bool holds, const std::string& what) const {
    if (holds) return;
    std::cerr << "seed " << settings_.seed << ", " << std::chrono::duration<double>(now_ - kStart).count()
              << " s: " << what << '\n';
    std::abort();
  }

  Process& process(Node n) {
    if (n < distributors_.size()) return distributors_[n];
    return gatekeepers_.at(n - distributors_.size());
  }
  const Process& process(Node n) const {
    if (n < distributors_.size()) return distributors_[n];
    return gatekeepers_.at(n - distributors_.size());
  }
  Duration draw(Duration min, Duration max) {
    return Duration(std::uniform_int_distribution<std::int64_t>(min.count(), max.count())(random_));
  }
  bool chance(double share) { return share > 0 && std::bernoulli_distribution(share)(random_); }
  Duration delay() {
    if (chance(settings_.late)) {
      ++counts_.late;
      return draw(settings_.most, std::chrono::milliseconds(1500));
    }
    return draw(settings_.least, settings_.most);
  }
  void schedule_after(Duration span, std::function<void()> action) {
    schedule_.push({now_ + span, ++last_number_, std::move(action)});
  }
  bool run_until(Time end, const std::function<bool()>& holds) {
    while (!schedule_.empty() && schedule_.top().at <= end) {
      // Moving from the const top is safe: it is popped at once.
      const ScheduledEvent next = std::move(const_cast<ScheduledEvent&>(schedule_.top()));
      schedule_.pop();
      now_ = std::max(now_, next.at);
      next.action();
      if (holds()) return true;
    }
    now_ = std::max(now_, end);
    return holds();
  }
  // Runs the action at once, or when a stopped process is woken; drops it if the process has ended.
  void run_at_node(Node n, std::function<void()> action) {
    Process& p = process(n);
    if (!p.up) return;
    if (!p.stopped) return action();
    ++counts_.held_by_stop;
    p.inbox.push_back(std::move(action));
  }
  void start_ticks(Node n) {
    // The ticks of different processes are not aligned.
    schedule_after(draw(std::chrono::microseconds(1), settings_.tick),
                   [this, n, incarnation = process(n).incarnation] { tick(n, incarnation); });
  }
  void tick(Node n, std::uint64_t incarnation) {
    Process& p = process(n);
    if (!p.up || p.incarnation != incarnation) return;
    if (p.stopped) {
      p.tick_missed = true;
      return;
    }
    schedule_after(settings_.tick, [this, n, incarnation] { tick(n, incarnation); });
    if (n < distributors_.size()) {
      connect_peers(n);
      step_distributor(n, distribution::Tick{});
    } else {
      step_gatekeeper(n - distributors_.size(), distribution::Tick{});
    }
  }

  // ---- connections

  bool is_cut(Node a, Node b) const {
    return !cut_side_.empty() && cut_side_.contains(a) != cut_side_.contains(b);
  }
  static Direction& direction(Connection& connection, bool to_distributor) {
    return to_distributor ? connection.to_distributor : connection.to_client;
  }

  std::size_t peer_node(std::size_t i, std::uint32_t peer) const { return peer < i ? peer : peer + 1; }

  void connect_peers(std::size_t i) {
    Distributor& d = distributors_[i];
    for (std::uint32_t peer = 0; peer < d.peers.size(); ++peer) {
      PeerLink& link = d.peers[peer];
      if (link.connection || (link.opening && now_ < link.retry) || now_ < link.retry) continue;
      link.opening = true;
      link.retry = now_ + kPeerConnectTimeout;
      const std::uint64_t attempt = ++attempts_;
      link.attempt = attempt;
      const std::uint64_t incarnation = d.incarnation;
      schedule_after(delay(), [this, i, peer, attempt, incarnation] {
        const auto still_wanted = [this, i, peer, attempt, incarnation] {
          const Distributor& own = distributors_[i];
          return own.up && own.incarnation == incarnation && own.peers[peer].attempt == attempt &&
                 own.peers[peer].opening;
        };
        const std::size_t other = peer_node(i, peer);
        if (!still_wanted() || is_cut(i, other)) return;  // the attempt hangs until it times out
        if (!distributors_[other].up) {
          ++counts_.refused_connections;
          distributors_[i].peers[peer].opening = false;
          distributors_[i].peers[peer].retry = now_ + draw(kMaxPeerRetryDelay / 2, kMaxPeerRetryDelay);
          return;
        }
        distributors_[i].peers[peer].opening = false;
        const std::uint64_t id = connect(i, other, peer);
        distributors_[i].peers[peer].connection = id;
        run_at_node(i, [this, i, peer, id] {
          if (distributors_[i].peers[peer].connection == id)
            step_distributor(i, distribution::PeerConnected{peer});
        });
      });
    }
  }
  void open_source(std::size_t g, std::uint32_t source) {
    Gatekeeper& gatekeeper = gatekeepers_[g];
    const std::uint64_t attempt = ++attempts_;
    gatekeeper.opening[source] = attempt;
    schedule_after(delay(), [this, g, source, attempt] {
      Gatekeeper& own = gatekeepers_[g];
      const auto it = own.opening.find(source);
      if (!own.up || it == own.opening.end() || it->second != attempt) return;
      const Node n = node_of_gatekeeper(g);
      if (is_cut(n, source)) return;  // the attempt hangs
      own.opening.erase(it);
      if (!distributors_[source].up) {
        ++counts_.refused_connections;
        run_at_node(n, [this, g, source] { step_gatekeeper(g, distribution::SourceDisconnected{source}); });
        return;
      }
      const std::uint64_t id = connect(n, source, source);
      own.connections[source] = id;
      run_at_node(n, [this, g, source, id] {
        const auto& connections = gatekeepers_[g].connections;
        const auto found = connections.find(source);
        if (found != connections.end() && found->second == id)
          step_gatekeeper(g, distribution::SourceConnected{source});
      });
    });
  }
  std::uint64_t connect(Node client, std::size_t distributor, std::uint32_t index) {
    const std::uint64_t id = ++last_number_;
    Connection connection;
    connection.client = client;
    connection.distributor = distributor;
    connection.index = index;
    connections_.emplace(id, std::move(connection));
    send(id, true, distribution::DistributorEvent{distribution::ClientConnected{id}});
    return id;
  }
  // Closes one end: the other end receives what was sent before and then the close. With `lost`, messages in
  // flight are dropped.
  void close_end(std::uint64_t id, Node n, bool lost = false) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    Connection& connection = it->second;
    if (lost) {
      const Connection closed = connection;
      counts_.lost_by_reset +=
          closed.to_distributor.held_messages.size() + closed.to_client.held_messages.size() + 1;
      connections_.erase(it);
      schedule_after(delay(), [this, id, closed] { report_disconnect(id, closed, true); });
      schedule_after(delay(), [this, id, closed] { report_disconnect(id, closed, false); });
      return;
    }
    const bool is_client = connection.client == n;
    (is_client ? connection.client_open : connection.distributor_open) = false;
    if (!connection.client_open && !connection.distributor_open) {
      connections_.erase(it);
      return;
    }
    enqueue(id, is_client, EndClosed{});
  }
  void report_disconnect(std::uint64_t id, const Connection& connection, bool client) {
    if (!client) {
      if (!connection.distributor_open) return;
      run_at_node(connection.distributor, [this, id, connection] {
        step_distributor(connection.distributor, distribution::ClientDisconnected{id});
      });
      return;
    }
    if (!connection.client_open) return;
    run_at_node(connection.client, [this, id, connection] {
      if (connection.client < distributors_.size()) {
        auto& peers = distributors_[connection.client].peers;
        if (connection.index >= peers.size() || peers[connection.index].connection != id) return;
        peers[connection.index].connection.reset();
        peers[connection.index].retry = now_ + draw(kMaxPeerRetryDelay / 2, kMaxPeerRetryDelay);
        step_distributor(connection.client, distribution::PeerDisconnected{connection.index});
        return;
      }
      Gatekeeper& gatekeeper = gatekeepers_[connection.client - distributors_.size()];
      const auto it = gatekeeper.connections.find(connection.index);
      if (it == gatekeeper.connections.end() || it->second != id) return;
      gatekeeper.connections.erase(it);
      step_gatekeeper(connection.client - distributors_.size(),
                      distribution::SourceDisconnected{connection.index});
    });
  }
  void send(std::uint64_t id, bool to_distributor, Message message) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const Connection& connection = it->second;
    if (!(to_distributor ? connection.client_open : connection.distributor_open)) return;
    const std::size_t bytes = size_of(message);
    ++counts_.lines;
    counts_.bytes += bytes;
    process(to_distributor ? connection.client : connection.distributor).bytes_out += bytes;
    process(to_distributor ? connection.distributor : connection.client).bytes_in += bytes;
    enqueue(id, to_distributor, std::move(message));
  }
  void enqueue(std::uint64_t id, bool to_distributor, Message message) {
    Direction& d = direction(connections_.at(id), to_distributor);
    d.last_arrival = std::max(d.last_arrival, now_ + delay());
    schedule_.push(
        {d.last_arrival, ++last_number_, [this, id, to_distributor, m = std::move(message)]() mutable {
           arrive(id, to_distributor, std::move(m));
         }});
  }
  void arrive(std::uint64_t id, bool to_distributor, Message message) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
      ++counts_.lost_by_reset;
      return;
    }
    Direction& d = direction(it->second, to_distributor);
    if (is_cut(it->second.client, it->second.distributor) || !d.held_messages.empty()) {
      ++counts_.held_by_cut;
      d.held_messages.push_back(std::move(message));
      return;
    }
    deliver(id, to_distributor, std::move(message));
  }
  void flush(std::uint64_t id, bool to_distributor) {
    for (;;) {
      const auto it = connections_.find(id);
      if (it == connections_.end() || is_cut(it->second.client, it->second.distributor)) return;
      Direction& d = direction(it->second, to_distributor);
      if (d.held_messages.empty()) return;
      Message message = std::move(d.held_messages.front());
      d.held_messages.pop_front();
      deliver(id, to_distributor, std::move(message));
    }
  }
  void deliver(std::uint64_t id, bool to_distributor, Message message) {
    const Connection& connection = connections_.at(id);
    run_at_node(
        to_distributor ? connection.distributor : connection.client,
        [this, id, to_distributor, m = std::move(message)] { process_message(id, to_distributor, m); });
  }
  void process_message(std::uint64_t id, bool to_distributor, const Message& message) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const Connection connection = it->second;
    if (!(to_distributor ? connection.distributor_open : connection.client_open)) return;
    if (std::holds_alternative<EndClosed>(message)) {
      // The end that receives the close closes as well.
      connections_.erase(it);
      report_disconnect(id, connection, !to_distributor);
      return;
    }
    if (to_distributor) {
      const auto& event = std::get<distribution::DistributorEvent>(message);
      if (std::holds_alternative<distribution::NotificationAcknowledged>(event))
        it->second.notification_pending = false;
      step_distributor(connection.distributor, event);
      if (may_be_duplicated(event) && chance(settings_.doubled) && distributors_[connection.distributor].up) {
        ++counts_.doubled;
        step_distributor(connection.distributor, event);
      }
    } else if (connection.client < distributors_.size()) {
      const auto& event = std::get<distribution::DistributorEvent>(message);
      step_distributor(connection.client, event);
      if (may_be_duplicated(event) && chance(settings_.doubled) && distributors_[connection.client].up) {
        ++counts_.doubled;
        step_distributor(connection.client, event);
      }
    } else {
      const auto& event = std::get<distribution::SubscriberEvent>(message);
      const std::size_t g = connection.client - distributors_.size();
      // In the program, the I/O layer acknowledges notifications.
      if (std::holds_alternative<distribution::VersionsNotified>(event))
        send(id, true, distribution::DistributorEvent{distribution::NotificationAcknowledged{id}});
      step_gatekeeper(g, event);
      if (chance(settings_.doubled) && gatekeepers_[g].up) {
        ++counts_.doubled;
        step_gatekeeper(g, event);
      }
    }
  }
  static bool may_be_duplicated(const distribution::DistributorEvent& e) {
    return !std::holds_alternative<distribution::ClientConnected>(e) &&
           !std::holds_alternative<distribution::SubscriptionReceived>(e) &&
           !std::holds_alternative<distribution::NotificationAcknowledged>(e) &&
           !std::holds_alternative<distribution::PeerVersionsNotified>(e);
  }

  // Approximate size of a line in bytes.
  static std::size_t size_of(const Message& message) {
    using namespace distribution;
    constexpr std::size_t kLineBytes = 60;
    constexpr std::size_t kVersionIdBytes = 130;
    if (const auto* s = std::get_if<SubscriberEvent>(&message)) {
      if (const auto* n = std::get_if<VersionsNotified>(s))
        return kLineBytes + kVersionIdBytes * n->entries.size();
      if (const auto* event = std::get_if<ConfigDelivered>(s))
        return kLineBytes + kVersionIdBytes + event->config.content.size();
      return kLineBytes;
    }
    if (const auto* d = std::get_if<DistributorEvent>(&message)) {
      if (const auto* n = std::get_if<PeerVersionsNotified>(d))
        return kLineBytes + (kVersionIdBytes + 30) * n->entries.size();
      if (const auto* event = std::get_if<SubscriptionReceived>(d))
        return kLineBytes + kVersionIdBytes * event->held.size();
      if (const auto* event = std::get_if<PeerConfigDelivered>(d))
        return kLineBytes + kVersionIdBytes + event->config.content.size();
      if (const auto* event = std::get_if<ProposalReceived>(d))
        return kLineBytes + kVersionIdBytes + event->config.content.size();
      if (const auto* event = std::get_if<ConfigReturned>(d))
        return kLineBytes + kVersionIdBytes + event->config.content.size();
      if (const auto* event = std::get_if<StatusReported>(d))
        return kLineBytes + kVersionIdBytes + event->reason.size();
      if (std::holds_alternative<ClientConnected>(*d)) return 0;
      return kLineBytes;
    }
    return 0;
  }

  // ---- invariant checks

  void check_committed(const std::string& service, const distribution::VersionId& id,
                       const char* what) const {
    const auto it = committed_.find({service, id.version});
    require(it != committed_.end(), std::string(what) + " of a version that was never committed: " + service +
                                        ' ' + std::to_string(id.version));
    require(it->second.id == id, std::string(what) + " of a committed version with another id: " + service +
                                     ' ' + std::to_string(id.version));
  }
  void check_config(const distribution::ServiceConfig& config, const char* what) const {
    check_committed(config.service, config.id, what);
    require(committed_.at({config.service, config.id.version}).content == config.content,
            std::string(what) + " with content that differs from the committed one: " + config.service);
  }
  void record_commit(std::size_t i, const std::string& service, distribution::Version version) {
    Distributor& d = distributors_[i];
    const auto& record = d.reducer->records().at(service);
    require(record.committed && record.committed->id.version >= version,
            "commit event without a committed record");
    if (record.committed->id.version > version) return;  // a later commit of the same step
    const distribution::ServiceConfig& config = *record.committed;
    require(distribution::is_sound(key_, config), "invalid configuration committed: " + service);
    require(contents_[service].contains(config.content), "committed content was never published: " + service);
    const auto [it, inserted] = committed_.emplace(std::pair{service, version}, config);
    require(it->second == config,
            "two contents of committed version " + std::to_string(version) + " of " + service);
    require(!abandoned_.contains({service, config.id}), "abandoned proposal committed: " + service);
    distribution::Version& highest = d.highest[service];
    require(version > highest, "distributor " + std::to_string(i) + ": committed version decreases in " +
                                   service + " from " + std::to_string(highest) + " to " +
                                   std::to_string(version));
    highest = version;
  }

  // ---- a distributor

  void step_distributor(std::size_t i, const distribution::DistributorEvent& event) {
    Distributor& d = distributors_[i];
    if (!d.up) return;
    ++counts_.steps;
    distribution::DistributorEffects out;
    d.reducer->step(now_, event, out);
    for (const auto& effect : out) {
      std::visit([&](const auto& notice) { carry_out(i, notice); }, effect);
    }
  }
  void to_peer(std::size_t i, std::uint32_t peer, distribution::DistributorEvent event) {
    const auto& link = distributors_[i].peers.at(peer);
    if (link.connection) send(*link.connection, true, std::move(event));
  }
  std::uint64_t to_peer_id(std::size_t i, std::uint32_t peer) const {
    return distributors_[i].peers.at(peer).connection.value_or(0);
  }
  bool is_peer(std::uint64_t id) const {
    const auto it = connections_.find(id);
    return it != connections_.end() && it->second.client < distributors_.size();
  }
  std::uint32_t index_of(std::uint64_t id) const { return connections_.at(id).index; }

  void carry_out(std::size_t i, const distribution::SaveBucket& effect) {
    distributors_[i].files[effect.bucket] = distributors_[i].reducer->records_in(effect.bucket);
  }
  void carry_out(std::size_t i, const distribution::SubscribeToPeer& effect) {
    to_peer(i, effect.peer,
            distribution::SubscriptionReceived{
                to_peer_id(i, effect.peer), "d" + std::to_string(i), true, {}, false});
  }
  void carry_out(std::size_t i, const distribution::FetchFromPeer& effect) {
    to_peer(i, effect.peer,
            distribution::FetchRequested{to_peer_id(i, effect.peer), effect.service, effect.version});
  }
  void carry_out(std::size_t i, const distribution::AcknowledgePeer& effect) {
    to_peer(i, effect.peer, distribution::NotificationAcknowledged{to_peer_id(i, effect.peer)});
  }
  void carry_out(std::size_t i, const distribution::SendProposal& effect) {
    proposed_[{i, effect.config.service, effect.config.id.version}] = effect.config.id;
    to_peer(i, effect.peer,
            distribution::ProposalReceived{to_peer_id(i, effect.peer), effect.proposal, effect.config});
  }
  void carry_out(std::size_t, const distribution::AnswerProposal& effect) {
    if (!is_peer(effect.client)) return;
    send(effect.client, false,
         distribution::DistributorEvent{distribution::ProposalAnswered{
             index_of(effect.client), effect.proposal, effect.accepted, effect.highest_seen}});
  }
  void carry_out(std::size_t, const distribution::NotifyVersions& effect) {
    require(effect.entries.size() <= distribution::kMaxNotifiedVersions,
            "notification with too many entries");
    for (const auto& entry : effect.entries) {
      if (!entry.id.none()) check_committed(entry.service, entry.id, "notification");
    }
    const auto it = connections_.find(effect.client);
    if (it == connections_.end() || !it->second.distributor_open) return;
    require(!it->second.notification_pending, "second notification before the first was acknowledged");
    it->second.notification_pending = true;
    if (is_peer(effect.client)) {
      send(effect.client, false,
           distribution::DistributorEvent{distribution::PeerVersionsNotified{
               index_of(effect.client), effect.entries, effect.complete, effect.voter_state}});
      return;
    }
    distribution::VersionsNotified notified{index_of(effect.client), {}, effect.complete};
    for (const auto& entry : effect.entries) notified.entries.push_back({entry.service, entry.id});
    send(effect.client, false, distribution::SubscriberEvent{std::move(notified)});
  }
  void carry_out(std::size_t, const distribution::DeliverConfig& effect) {
    check_config(effect.config, "delivery");
    if (!connections_.contains(effect.client)) return;
    if (is_peer(effect.client)) {
      send(effect.client, false,
           distribution::DistributorEvent{
               distribution::PeerConfigDelivered{index_of(effect.client), effect.config}});
    } else {
      send(effect.client, false,
           distribution::SubscriberEvent{
               distribution::ConfigDelivered{index_of(effect.client), effect.config}});
    }
  }
  void carry_out(std::size_t, const distribution::SendMissing& effect) {
    if (!connections_.contains(effect.client)) return;
    if (is_peer(effect.client)) {
      send(effect.client, false,
           distribution::DistributorEvent{
               distribution::PeerConfigMissing{index_of(effect.client), effect.service}});
    } else {
      send(effect.client, false,
           distribution::SubscriberEvent{
               distribution::ConfigMissing{index_of(effect.client), effect.service}});
    }
  }
  void carry_out(std::size_t, const distribution::RequestConfig& effect) {
    if (!connections_.contains(effect.client) || is_peer(effect.client)) return;
    send(effect.client, false,
         distribution::SubscriberEvent{
             distribution::ConfigRequested{index_of(effect.client), effect.service}});
  }
  void carry_out(std::size_t, const distribution::SendHeartbeat& effect) {
    if (!connections_.contains(effect.client) || is_peer(effect.client)) return;
    send(effect.client, false,
         distribution::SubscriberEvent{distribution::HeartbeatReceived{index_of(effect.client)}});
  }
  void carry_out(std::size_t i, const distribution::CloseClient& effect) { close_end(effect.client, i); }
  void carry_out(std::size_t, const distribution::PublishFinished& event) {
    Publication& publication = published_.at(event.request);
    require(!publication.result, "second result of one publication");
    publication.result = event;
    if (!event.committed) return;
    check_committed(publication.service, event.id, "publication result");
    require(committed_.at({publication.service, event.id.version}).content == publication.content,
            "publication committed with other content");
  }
  void carry_out(std::size_t i, const distribution::DistributorLogEvent& event) {
    ++counts_.found[event.kind];
    require(event.kind != distribution::DistributorLogKind::conflict,
            "version conflict at a distributor: " + event.service);
    if (event.kind == distribution::DistributorLogKind::committed)
      record_commit(i, event.service, event.version);
    if (event.kind == distribution::DistributorLogKind::abandoned) {
      const auto it = proposed_.find({i, event.service, event.version});
      if (it != proposed_.end()) abandoned_.insert({event.service, it->second});
    }
  }

  // ---- a gatekeeper

  void step_gatekeeper(std::size_t g, const distribution::SubscriberEvent& event) {
    Gatekeeper& gatekeeper = gatekeepers_[g];
    if (!gatekeeper.up) return;
    ++counts_.steps;
    distribution::SubscriberEffects out;
    gatekeeper.reducer->step(now_, event, out);
    carry_out(g, out);
  }
  void carry_out(std::size_t g, const distribution::SubscriberEffects& out) {
    for (const auto& effect : out) {
      std::visit([&](const auto& event) { carry_out_at(g, event); }, effect);
    }
  }
  void to_source(std::size_t g, std::uint32_t source,
                 const std::function<distribution::DistributorEvent(std::uint64_t)>& event) {
    const auto& all = gatekeepers_[g].connections;
    const auto it = all.find(source);
    require(it != all.end(), "gatekeeper sends to a source that is not connected");
    send(it->second, true, event(it->second));
  }
  void carry_out_at(std::size_t g, const distribution::OpenSource& e) { open_source(g, e.source); }
  void carry_out_at(std::size_t g, const distribution::CloseSource& e) {
    Gatekeeper& gatekeeper = gatekeepers_[g];
    gatekeeper.opening.erase(e.source);
    const auto it = gatekeeper.connections.find(e.source);
    if (it == gatekeeper.connections.end()) return;
    const std::uint64_t id = it->second;
    gatekeeper.connections.erase(it);
    close_end(id, node_of_gatekeeper(g));
  }
  void carry_out_at(std::size_t g, const distribution::Subscribe& e) {
    to_source(g, e.source, [&](std::uint64_t id) {
      return distribution::SubscriptionReceived{id, name_of(g), false, e.held, e.primary};
    });
  }
  void carry_out_at(std::size_t g, const distribution::SendPrimary& e) {
    to_source(g, e.source, [&](std::uint64_t id) { return distribution::PrimaryChanged{id, e.primary}; });
  }
  void carry_out_at(std::size_t g, const distribution::FetchConfig& e) {
    ++counts_.fetches;
    to_source(g, e.source, [&](std::uint64_t id) {
      return distribution::FetchRequested{id, e.service, e.version};
    });
  }
  void carry_out_at(std::size_t g, const distribution::ReportStatus& e) {
    to_source(g, e.source, [&](std::uint64_t id) {
      return distribution::StatusReported{id, e.service, e.id, e.active, e.reason};
    });
  }
  void carry_out_at(std::size_t g, const distribution::ReturnConfig& e) {
    to_source(g, e.source, [&](std::uint64_t id) { return distribution::ConfigReturned{id, e.config}; });
  }
  void carry_out_at(std::size_t g, const distribution::ApplyConfigs& e) {
    Gatekeeper& gatekeeper = gatekeepers_[g];
    ++counts_.applies;
    for (const distribution::ServiceConfig& config : e.configs) check_config(config, "activation");
    const std::string reason = settings_.refuses ? settings_.refuses(g, e.configs) : std::string{};
    if (reason.empty()) {
      std::map<std::string, distribution::ServiceConfig> next;
      for (const distribution::ServiceConfig& config : e.configs) next[config.service] = config;
      for (const auto& [service, d] : gatekeeper.running) {
        const auto it = next.find(service);
        require(it != next.end(), name_of(g) + ": active configuration removed in " + service);
        require(it->second.id.version >= d.id.version,
                name_of(g) + ": active version decreases in " + service);
        require(it->second.id.version > d.id.version || it->second == d,
                name_of(g) + ": content changes without a new version in " + service);
      }
      for (const auto& [service, d] : next) {
        const auto it = gatekeeper.running.find(service);
        if (it == gatekeeper.running.end() || it->second != d)
          in_force_.push_back({now_, g, service, d.id.version});
      }
      gatekeeper.running = std::move(next);
    }
    const distribution::ApplyFinished applied{reason.empty(), reason};
    schedule_after(max_apply_time_ > Duration{} ? draw(Duration{}, max_apply_time_) : Duration{},
                   [this, g, applied, incarnation = gatekeeper.incarnation] {
                     if (gatekeepers_[g].incarnation == incarnation)
                       run_at_node(node_of_gatekeeper(g),
                                   [this, g, applied] { step_gatekeeper(g, applied); });
                   });
  }
  void carry_out_at(std::size_t g, const distribution::SubscriberLogEvent& event) {
    ++counts_.told[event.kind];
    if (event.kind == distribution::SubscriberLogKind::activated)
      require(gatekeepers_[g].running.at(event.service).id.version == event.version,
              name_of(g) + ": activation event of a version that is not active");
  }

  ConfigSimSettings settings_;
  std::mt19937_64 random_;
  distribution::Key key_{};
  Time now_ = kStart;
  std::uint64_t last_number_ = 0;
  std::uint64_t attempts_ = 0;
  std::uint64_t requests_ = 0;
  std::priority_queue<ScheduledEvent> schedule_{};
  std::vector<std::string> addresses_{};
  std::vector<Distributor> distributors_;
  std::vector<Gatekeeper> gatekeepers_;
  std::unordered_map<std::uint64_t, Connection> connections_{};
  std::set<Node> cut_side_{};
  Duration max_apply_time_{};
  std::map<std::uint64_t, Publication> published_{};
  std::map<std::string, std::set<std::string>> contents_{};
  std::map<std::pair<std::string, distribution::Version>, distribution::ServiceConfig> committed_{};
  std::map<std::tuple<std::size_t, std::string, distribution::Version>, distribution::VersionId> proposed_{};
  std::set<std::pair<std::string, distribution::VersionId>> abandoned_{};
  std::vector<InForce> in_force_{};
  Counts counts_{};
};

}  // namespace graniterun::lab
