// Distributors and gatekeepers of a fleet in one process under one clock: the same reducers as in the
// program, and between them connections with faults, all drawn from one seed. Nothing waits; a failure is a
// seed and a time.
//
// Left out: the lines' text, the files' format, the settings that documents are patches of, and machines that
// vanish without their connections being reset (the edges find those).
//
// An oracle looks at each effect, and ends the program at the first that must not be: a number that goes
// back, two contents under one committed number, something told or in force that nobody committed, a content
// that is not what was published, a proposal that was given up and is committed all the same, a second notice
// before the first was read.
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
  std::size_t services_each = 3;  // of a gatekeeper: those from its own number on, around
  std::uint64_t seed = 1;
  Duration least{std::chrono::microseconds(200)};  // a line on its way
  Duration most{std::chrono::milliseconds(3)};
  double late = 0;  // share of lines that take up to 1.5 s
  double doubled = 0;
  Duration tick{std::chrono::milliseconds(50)};
  Duration clock_error{};  // of a distributor's Unix time, at most
  std::size_t bytes_per_second = 16 * 1024 * 1024;
  Duration wait{std::chrono::seconds(2)};
  // Why a gatekeeper does not take the documents; empty: it takes them.
  std::function<std::string(std::size_t, const std::vector<distribution::ServiceConfig>&)> refuses{};
};

class ConfigSim {
 public:
  using Node = std::size_t;  // distributors first, then gatekeepers

  struct Counts {
    std::uint64_t lines = 0;
    std::uint64_t bytes = 0;        // about, of all lines
    std::uint64_t held_by_cut = 0;  // lines that a cut held up
    std::uint64_t held_by_stop = 0;
    std::uint64_t lost_by_reset = 0;  // lines to a connection that was gone
    std::uint64_t late = 0;
    std::uint64_t doubled = 0;
    std::uint64_t refused_connections = 0;
    std::uint64_t steps = 0;
    std::uint64_t fetches = 0;  // of gatekeepers
    std::uint64_t applies = 0;
    std::map<distribution::SubscriberLogKind, std::uint64_t> told{};    // by gatekeepers
    std::map<distribution::DistributorLogKind, std::uint64_t> found{};  // by distributors
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
  ConfigSim(const ConfigSim&) = delete;  // what is due refers to it
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

  // ---- what is done to them

  // Without files: as one that never ran.
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
    ++d.life;
    d.peers.assign(settings_.distributors - 1, {});
    distribution::Restored restored;
    restored.empty = !d.has_files;
    for (const auto& [bucket, records] : d.files) restored.records.insert(records.begin(), records.end());
    d.has_files = true;
    feed(i, restored);
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
    ++gatekeeper.life;
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
    p.late_tick = false;
    ++p.life;
    p.inbox.clear();
    std::vector<std::uint64_t> gone;
    for (const auto& [id, c] : connections_) {
      if (c.client == n || c.distributor == n) gone.push_back(id);
    }
    for (const std::uint64_t id : gone) close_end(id, n);
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
    // Timers are served before the sockets, as in the program.
    if (std::exchange(p.late_tick, false)) tick(n, p.life);
    while (!p.inbox.empty() && p.up && !p.stopped) {
      const auto next = std::move(p.inbox.front());
      p.inbox.pop_front();
      next();
    }
  }
  // Both ways, between those on one side and the others; until healed.
  void cut(const std::set<Node>& side) { side_ = side; }
  void heal() {
    side_.clear();
    std::vector<std::uint64_t> ids;
    for (const auto& [id, c] : connections_) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const std::uint64_t id : ids) {
      for (const bool up : {true, false}) {
        if (!direction(connections_.at(id), up).held.empty())
          after(delay(), [this, id, up] { flush(id, up); });
      }
    }
  }
  // A connection is lost with all that is on its way; false: there was none between them.
  bool reset(Node client, std::size_t distributor) {
    for (const auto& [id, c] : connections_) {
      if (c.client != client || c.distributor != distributor) continue;
      const std::uint64_t lost = id;
      close_end(lost, client, true);
      return true;
    }
    return false;
  }
  // All connections of a gatekeeper or distributor.
  std::vector<std::pair<Node, std::size_t>> connections_of(Node n) const {
    std::vector<std::pair<Node, std::size_t>> all;
    for (const auto& [id, c] : connections_) {
      if (c.client == n || c.distributor == n) all.emplace_back(c.client, c.distributor);
    }
    std::sort(all.begin(), all.end());
    return all;
  }
  // The request's number.
  std::uint64_t publish(std::size_t i, const std::string& service, const std::string& content) {
    const std::uint64_t request = ++requests_;
    published_[request] = {i, service, content, now_, std::nullopt};
    contents_[service].insert(content);
    if (distributors_.at(i).up) {
      const auto unix_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(now_ - kStart + distributors_[i].clock_error);
      at_node(i, [this, i, request, service, content, unix_ms] {
        feed(i, distribution::PublishRequested{
                    request, service, content,
                    static_cast<distribution::Version>(1'700'000'000'000 + unix_ms.count())});
      });
    }
    return request;
  }
  void change_base(std::size_t g) {
    at_node(node_of_gatekeeper(g), [this, g] { feed_gatekeeper(g, distribution::BaseChanged{}); });
  }
  void refuse_by(
      std::function<std::string(std::size_t, const std::vector<distribution::ServiceConfig>&)> refuses) {
    settings_.refuses = std::move(refuses);
  }
  void take_within(Duration most) { take_most_ = most; }
  // A line from nowhere, as if it came from that source.
  void inject(std::size_t g, const distribution::SubscriberEvent& event) {
    at_node(node_of_gatekeeper(g), [this, g, event] { feed_gatekeeper(g, event); });
  }
  void set_faults(double late, double doubled) {
    settings_.late = late;
    settings_.doubled = doubled;
  }

  void run(Duration span) {
    run_until(now_ + span, [] { return false; });
  }
  // Until it holds, looked at after each event; the time that took, or nothing when `most` has passed.
  std::optional<Duration> until(Duration most, const std::function<bool()>& holds) {
    const Time began = now_;
    if (holds()) return Duration{};
    if (!run_until(now_ + most, holds)) return std::nullopt;
    return now_ - began;
  }

  // ---- what is seen of them

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
  // What is in force at a gatekeeper, by what it was told to take.
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
  // All that are up hold the same, and what each gatekeeper has in force or has refused is that.
  bool all_equal() const { return trouble().empty(); }
  std::string trouble() const {
    std::map<std::string, distribution::VersionId> newest;
    for (std::size_t s = 0; s < settings_.services; ++s) {
      const std::string service = service_of(s);
      std::optional<distribution::VersionId> stamp;
      for (std::size_t i = 0; i < distributors_.size(); ++i) {
        if (!distributors_[i].up) continue;
        const distribution::VersionId here = committed(i, service);
        if (stamp && here != *stamp) return "distributor " + std::to_string(i) + " differs in " + service;
        stamp = here;
      }
      newest[service] = stamp.value_or(distribution::VersionId{});
    }
    for (std::size_t g = 0; g < gatekeepers_.size(); ++g) {
      if (!gatekeepers_[g].up) continue;
      for (const auto& [service, held] : gatekeepers_[g].reducer->service_states()) {
        const distribution::VersionId& wanted = newest.at(service);
        if (held.active != running(g, service)) return name_of(g) + " says what is not so";
        if (held.active == wanted || (held.rejected && *held.rejected == wanted)) continue;
        return name_of(g) + " has " + std::to_string(held.active.version) + " of " + service + ", not " +
               std::to_string(wanted.version);
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
  // What came into force since it was asked for last.
  std::vector<InForce> take_in_force() { return std::exchange(in_force_, {}); }
  std::uint64_t bytes_to(Node n) const { return process(n).bytes_in; }
  std::uint64_t bytes_from(Node n) const { return process(n).bytes_out; }

 private:
  struct Gone {};  // the other end's last word
  using Message = std::variant<distribution::SubscriberEvent, distribution::DistributorEvent, Gone>;
  struct Direction {
    Time last{};
    std::deque<Message> held{};
  };
  struct Connection {
    Node client{};
    std::size_t distributor{};
    std::uint32_t index{};  // of the distributor, as the client counts it
    bool client_open = true;
    bool distributor_open = true;
    bool unread = false;  // a notice that has not been answered
    Direction up{};
    Direction down{};
  };
  struct Process {
    bool up = false;
    bool stopped = false;
    bool late_tick = false;
    std::uint64_t life = 0;
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
    std::map<std::string, distribution::Version> highest{};  // committed here, since its files were lost
    std::vector<PeerLink> peers{};
    Duration clock_error{};
  };
  struct Gatekeeper : Process {
    std::unique_ptr<distribution::Subscriber> reducer{};
    std::map<std::uint32_t, std::uint64_t> connections{};  // by source
    std::map<std::uint32_t, std::uint64_t> opening{};      // attempts
    std::map<std::string, distribution::ServiceConfig> running{};
  };
  struct Due {
    Time at{};
    std::uint64_t number{};
    std::function<void()> act{};
    bool operator<(const Due& other) const { return at != other.at ? at > other.at : number > other.number; }
  };
  struct Publication {
    std::size_t distributor{};
    std::string service{};
    std::string content{};
    Time at{};
    std::optional<distribution::PublishFinished> result{};
  };

  static constexpr Time kStart = Time{} + std::chrono::hours(1);
  static constexpr Duration kPeerRetry = std::chrono::milliseconds(300);
  static constexpr Duration kPeerGiveUp = std::chrono::seconds(2);

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
  Duration draw(Duration least, Duration most) {
    return Duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
  }
  bool chance(double share) { return share > 0 && std::bernoulli_distribution(share)(random_); }
  Duration delay() {
    if (chance(settings_.late)) {
      ++counts_.late;
      return draw(settings_.most, std::chrono::milliseconds(1500));
    }
    return draw(settings_.least, settings_.most);
  }
  void after(Duration span, std::function<void()> act) {
    due_.push({now_ + span, ++number_, std::move(act)});
  }
  bool run_until(Time end, const std::function<bool()>& holds) {
    while (!due_.empty() && due_.top().at <= end) {
      // The queue's own element: it is taken off at once.
      const Due next = std::move(const_cast<Due&>(due_.top()));
      due_.pop();
      now_ = std::max(now_, next.at);
      next.act();
      if (holds()) return true;
    }
    now_ = std::max(now_, end);
    return holds();
  }
  // At once, or when it is woken; never where it is gone.
  void at_node(Node n, std::function<void()> act) {
    Process& p = process(n);
    if (!p.up) return;
    if (!p.stopped) return act();
    ++counts_.held_by_stop;
    p.inbox.push_back(std::move(act));
  }
  void start_ticks(Node n) {
    // Ticks of different processes do not fall together.
    after(draw(std::chrono::microseconds(1), settings_.tick),
          [this, n, life = process(n).life] { tick(n, life); });
  }
  void tick(Node n, std::uint64_t life) {
    Process& p = process(n);
    if (!p.up || p.life != life) return;
    if (p.stopped) {
      p.late_tick = true;
      return;
    }
    after(settings_.tick, [this, n, life] { tick(n, life); });
    if (n < distributors_.size()) {
      connect_peers(n);
      feed(n, distribution::Tick{});
    } else {
      feed_gatekeeper(n - distributors_.size(), distribution::Tick{});
    }
  }

  // ---- connections

  bool is_cut(Node a, Node b) const { return !side_.empty() && side_.contains(a) != side_.contains(b); }
  static Direction& direction(Connection& connection, bool up) {
    return up ? connection.up : connection.down;
  }

  std::size_t peer_node(std::size_t i, std::uint32_t peer) const { return peer < i ? peer : peer + 1; }

  void connect_peers(std::size_t i) {
    Distributor& d = distributors_[i];
    for (std::uint32_t peer = 0; peer < d.peers.size(); ++peer) {
      PeerLink& link = d.peers[peer];
      if (link.connection || (link.opening && now_ < link.retry) || now_ < link.retry) continue;
      link.opening = true;
      link.retry = now_ + kPeerGiveUp;
      const std::uint64_t attempt = ++attempts_;
      link.attempt = attempt;
      const std::uint64_t life = d.life;
      after(delay(), [this, i, peer, attempt, life] {
        const auto mine = [this, i, peer, attempt, life] {
          const Distributor& own = distributors_[i];
          return own.up && own.life == life && own.peers[peer].attempt == attempt && own.peers[peer].opening;
        };
        const std::size_t other = peer_node(i, peer);
        if (!mine() || is_cut(i, other)) return;  // it hangs, and is given up
        if (!distributors_[other].up) {
          ++counts_.refused_connections;
          distributors_[i].peers[peer].opening = false;
          distributors_[i].peers[peer].retry = now_ + draw(kPeerRetry / 2, kPeerRetry);
          return;
        }
        distributors_[i].peers[peer].opening = false;
        const std::uint64_t id = connect(i, other, peer);
        distributors_[i].peers[peer].connection = id;
        at_node(i, [this, i, peer, id] {
          if (distributors_[i].peers[peer].connection == id) feed(i, distribution::PeerConnected{peer});
        });
      });
    }
  }
  void open(std::size_t g, std::uint32_t source) {
    Gatekeeper& gatekeeper = gatekeepers_[g];
    const std::uint64_t attempt = ++attempts_;
    gatekeeper.opening[source] = attempt;
    after(delay(), [this, g, source, attempt] {
      Gatekeeper& own = gatekeepers_[g];
      const auto it = own.opening.find(source);
      if (!own.up || it == own.opening.end() || it->second != attempt) return;
      const Node n = node_of_gatekeeper(g);
      if (is_cut(n, source)) return;  // it hangs
      own.opening.erase(it);
      if (!distributors_[source].up) {
        ++counts_.refused_connections;
        at_node(n, [this, g, source] { feed_gatekeeper(g, distribution::SourceDisconnected{source}); });
        return;
      }
      const std::uint64_t id = connect(n, source, source);
      own.connections[source] = id;
      at_node(n, [this, g, source, id] {
        const auto& mine = gatekeepers_[g].connections;
        const auto found = mine.find(source);
        if (found != mine.end() && found->second == id)
          feed_gatekeeper(g, distribution::SourceConnected{source});
      });
    });
  }
  std::uint64_t connect(Node client, std::size_t distributor, std::uint32_t index) {
    const std::uint64_t id = ++number_;
    Connection connection;
    connection.client = client;
    connection.distributor = distributor;
    connection.index = index;
    connections_.emplace(id, std::move(connection));
    send(id, true, distribution::DistributorEvent{distribution::ClientConnected{id}});
    return id;
  }
  // One end is closed: the other one reads what was sent before, and then that it is gone. With `lost`, what
  // is on its way is lost as well.
  void close_end(std::uint64_t id, Node n, bool lost = false) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    Connection& connection = it->second;
    if (lost) {
      const Connection gone = connection;
      counts_.lost_by_reset += gone.up.held.size() + gone.down.held.size() + 1;
      connections_.erase(it);
      after(delay(), [this, id, gone] { tell_gone(id, gone, true); });
      after(delay(), [this, id, gone] { tell_gone(id, gone, false); });
      return;
    }
    const bool is_client = connection.client == n;
    (is_client ? connection.client_open : connection.distributor_open) = false;
    if (!connection.client_open && !connection.distributor_open) {
      connections_.erase(it);
      return;
    }
    put(id, is_client, Gone{});
  }
  void tell_gone(std::uint64_t id, const Connection& connection, bool client) {
    if (!client) {
      if (!connection.distributor_open) return;
      at_node(connection.distributor,
              [this, id, connection] { feed(connection.distributor, distribution::ClientDisconnected{id}); });
      return;
    }
    if (!connection.client_open) return;
    at_node(connection.client, [this, id, connection] {
      if (connection.client < distributors_.size()) {
        auto& peers = distributors_[connection.client].peers;
        if (connection.index >= peers.size() || peers[connection.index].connection != id) return;
        peers[connection.index].connection.reset();
        peers[connection.index].retry = now_ + draw(kPeerRetry / 2, kPeerRetry);
        feed(connection.client, distribution::PeerDisconnected{connection.index});
        return;
      }
      Gatekeeper& gatekeeper = gatekeepers_[connection.client - distributors_.size()];
      const auto it = gatekeeper.connections.find(connection.index);
      if (it == gatekeeper.connections.end() || it->second != id) return;
      gatekeeper.connections.erase(it);
      feed_gatekeeper(connection.client - distributors_.size(),
                      distribution::SourceDisconnected{connection.index});
    });
  }
  void send(std::uint64_t id, bool up, Message message) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const Connection& connection = it->second;
    if (!(up ? connection.client_open : connection.distributor_open)) return;
    const std::size_t bytes = size_of(message);
    ++counts_.lines;
    counts_.bytes += bytes;
    process(up ? connection.client : connection.distributor).bytes_out += bytes;
    process(up ? connection.distributor : connection.client).bytes_in += bytes;
    put(id, up, std::move(message));
  }
  void put(std::uint64_t id, bool up, Message message) {
    Direction& d = direction(connections_.at(id), up);
    d.last = std::max(d.last, now_ + delay());
    due_.push({d.last, ++number_,
               [this, id, up, m = std::move(message)]() mutable { arrive(id, up, std::move(m)); }});
  }
  void arrive(std::uint64_t id, bool up, Message message) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
      ++counts_.lost_by_reset;
      return;
    }
    Direction& d = direction(it->second, up);
    if (is_cut(it->second.client, it->second.distributor) || !d.held.empty()) {
      ++counts_.held_by_cut;
      d.held.push_back(std::move(message));
      return;
    }
    hand_over(id, up, std::move(message));
  }
  void flush(std::uint64_t id, bool up) {
    for (;;) {
      const auto it = connections_.find(id);
      if (it == connections_.end() || is_cut(it->second.client, it->second.distributor)) return;
      Direction& d = direction(it->second, up);
      if (d.held.empty()) return;
      Message message = std::move(d.held.front());
      d.held.pop_front();
      hand_over(id, up, std::move(message));
    }
  }
  void hand_over(std::uint64_t id, bool up, Message message) {
    const Connection& connection = connections_.at(id);
    at_node(up ? connection.distributor : connection.client,
            [this, id, up, m = std::move(message)] { read(id, up, m); });
  }
  void read(std::uint64_t id, bool up, const Message& message) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const Connection connection = it->second;
    if (!(up ? connection.distributor_open : connection.client_open)) return;
    if (std::holds_alternative<Gone>(message)) {
      // The end that reads it closes as well.
      connections_.erase(it);
      tell_gone(id, connection, !up);
      return;
    }
    if (up) {
      const auto& event = std::get<distribution::DistributorEvent>(message);
      if (std::holds_alternative<distribution::NotificationAcknowledged>(event)) it->second.unread = false;
      feed(connection.distributor, event);
      if (may_double(event) && chance(settings_.doubled) && distributors_[connection.distributor].up) {
        ++counts_.doubled;
        feed(connection.distributor, event);
      }
    } else if (connection.client < distributors_.size()) {
      const auto& event = std::get<distribution::DistributorEvent>(message);
      feed(connection.client, event);
      if (may_double(event) && chance(settings_.doubled) && distributors_[connection.client].up) {
        ++counts_.doubled;
        feed(connection.client, event);
      }
    } else {
      const auto& event = std::get<distribution::SubscriberEvent>(message);
      const std::size_t g = connection.client - distributors_.size();
      // What the edge answers by itself.
      if (std::holds_alternative<distribution::VersionsNotified>(event))
        send(id, true, distribution::DistributorEvent{distribution::NotificationAcknowledged{id}});
      feed_gatekeeper(g, event);
      if (chance(settings_.doubled) && gatekeepers_[g].up) {
        ++counts_.doubled;
        feed_gatekeeper(g, event);
      }
    }
  }
  static bool may_double(const distribution::DistributorEvent& e) {
    return !std::holds_alternative<distribution::ClientConnected>(e) &&
           !std::holds_alternative<distribution::SubscriptionReceived>(e) &&
           !std::holds_alternative<distribution::NotificationAcknowledged>(e) &&
           !std::holds_alternative<distribution::PeerVersionsNotified>(e);
  }

  // About a line's bytes.
  static std::size_t size_of(const Message& message) {
    using namespace distribution;
    constexpr std::size_t kLine = 60;
    constexpr std::size_t kStamp = 130;
    if (const auto* s = std::get_if<SubscriberEvent>(&message)) {
      if (const auto* n = std::get_if<VersionsNotified>(s)) return kLine + kStamp * n->entries.size();
      if (const auto* event = std::get_if<ConfigDelivered>(s))
        return kLine + kStamp + event->config.content.size();
      return kLine;
    }
    if (const auto* d = std::get_if<DistributorEvent>(&message)) {
      if (const auto* n = std::get_if<PeerVersionsNotified>(d))
        return kLine + (kStamp + 30) * n->entries.size();
      if (const auto* event = std::get_if<SubscriptionReceived>(d))
        return kLine + kStamp * event->held.size();
      if (const auto* event = std::get_if<PeerConfigDelivered>(d))
        return kLine + kStamp + event->config.content.size();
      if (const auto* event = std::get_if<ProposalReceived>(d))
        return kLine + kStamp + event->config.content.size();
      if (const auto* event = std::get_if<ConfigReturned>(d))
        return kLine + kStamp + event->config.content.size();
      if (const auto* event = std::get_if<StatusReported>(d)) return kLine + kStamp + event->reason.size();
      if (std::holds_alternative<ClientConnected>(*d)) return 0;
      return kLine;
    }
    return 0;
  }

  // ---- the oracle

  void check_committed(const std::string& service, const distribution::VersionId& stamp,
                       const char* what) const {
    const auto it = committed_.find({service, stamp.version});
    require(it != committed_.end(),
            std::string(what) + " that nobody committed: " + service + ' ' + std::to_string(stamp.version));
    require(it->second.id == stamp, std::string(what) + " under a committed number: " + service + ' ' +
                                        std::to_string(stamp.version));
  }
  void check_document(const distribution::ServiceConfig& config, const char* what) const {
    check_committed(config.service, config.id, what);
    require(committed_.at({config.service, config.id.version}).content == config.content,
            std::string(what) + " with another content: " + config.service);
  }
  void note_commit(std::size_t i, const std::string& service, distribution::Version version) {
    Distributor& d = distributors_[i];
    const auto& record = d.reducer->records().at(service);
    require(record.committed && record.committed->id.version >= version, "a commit that is not there");
    if (record.committed->id.version > version) return;  // in one step
    const distribution::ServiceConfig& document = *record.committed;
    require(distribution::is_sound(key_, document), "an unsound document was committed: " + service);
    require(contents_[service].contains(document.content), "a content that nobody published: " + service);
    const auto [it, fresh] = committed_.emplace(std::pair{service, version}, document);
    require(it->second == document,
            "two documents under the committed number " + std::to_string(version) + " of " + service);
    require(!given_up_.contains({service, document.id}), "what was given up is committed: " + service);
    distribution::Version& highest = d.highest[service];
    require(version > highest, "distributor " + std::to_string(i) + " goes back in " + service + " from " +
                                   std::to_string(highest) + " to " + std::to_string(version));
    highest = version;
  }

  // ---- a distributor

  void feed(std::size_t i, const distribution::DistributorEvent& event) {
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
    require(effect.entries.size() <= distribution::kMaxNotifiedVersions, "a notice beyond its bound");
    for (const auto& entry : effect.entries) {
      if (!entry.id.none()) check_committed(entry.service, entry.id, "a notice of something");
    }
    const auto it = connections_.find(effect.client);
    if (it == connections_.end() || !it->second.distributor_open) return;
    require(!it->second.unread, "a second notice before the first was read");
    it->second.unread = true;
    if (is_peer(effect.client)) {
      send(effect.client, false,
           distribution::DistributorEvent{distribution::PeerVersionsNotified{
               index_of(effect.client), effect.entries, effect.complete, effect.voter_state}});
      return;
    }
    distribution::VersionsNotified noticed{index_of(effect.client), {}, effect.complete};
    for (const auto& entry : effect.entries) noticed.entries.push_back({entry.service, entry.id});
    send(effect.client, false, distribution::SubscriberEvent{std::move(noticed)});
  }
  void carry_out(std::size_t, const distribution::DeliverConfig& effect) {
    check_document(effect.config, "a document was delivered");
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
    require(!publication.result, "two answers to one publication");
    publication.result = event;
    if (!event.committed) return;
    check_committed(publication.service, event.id, "a publication was told as committed");
    require(committed_.at({publication.service, event.id.version}).content == publication.content,
            "a publication was committed with another content");
  }
  void carry_out(std::size_t i, const distribution::DistributorLogEvent& event) {
    ++counts_.found[event.kind];
    require(event.kind != distribution::DistributorLogKind::conflict,
            "a conflict at a distributor: " + event.service);
    if (event.kind == distribution::DistributorLogKind::committed)
      note_commit(i, event.service, event.version);
    if (event.kind == distribution::DistributorLogKind::abandoned) {
      const auto it = proposed_.find({i, event.service, event.version});
      if (it != proposed_.end()) given_up_.insert({event.service, it->second});
    }
  }

  // ---- a gatekeeper

  void feed_gatekeeper(std::size_t g, const distribution::SubscriberEvent& event) {
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
    require(it != all.end(), "a gatekeeper speaks to a source that is not up");
    send(it->second, true, event(it->second));
  }
  void carry_out_at(std::size_t g, const distribution::OpenSource& e) { open(g, e.source); }
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
    for (const distribution::ServiceConfig& config : e.configs)
      check_document(config, "a document is to be in force");
    const std::string why = settings_.refuses ? settings_.refuses(g, e.configs) : std::string{};
    if (why.empty()) {
      std::map<std::string, distribution::ServiceConfig> next;
      for (const distribution::ServiceConfig& config : e.configs) next[config.service] = config;
      for (const auto& [service, d] : gatekeeper.running) {
        const auto it = next.find(service);
        require(it != next.end(), name_of(g) + " goes back to nothing in " + service);
        require(it->second.id.version >= d.id.version, name_of(g) + " goes back in " + service);
        require(it->second.id.version > d.id.version || it->second == d,
                name_of(g) + " changes a content under its number: " + service);
      }
      for (const auto& [service, d] : next) {
        const auto it = gatekeeper.running.find(service);
        if (it == gatekeeper.running.end() || it->second != d)
          in_force_.push_back({now_, g, service, d.id.version});
      }
      gatekeeper.running = std::move(next);
    }
    const distribution::ApplyFinished applied{why.empty(), why};
    after(take_most_ > Duration{} ? draw(Duration{}, take_most_) : Duration{},
          [this, g, applied, life = gatekeeper.life] {
            if (gatekeepers_[g].life == life)
              at_node(node_of_gatekeeper(g), [this, g, applied] { feed_gatekeeper(g, applied); });
          });
  }
  void carry_out_at(std::size_t g, const distribution::SubscriberLogEvent& event) {
    ++counts_.told[event.kind];
    if (event.kind == distribution::SubscriberLogKind::activated)
      require(gatekeepers_[g].running.at(event.service).id.version == event.version,
              name_of(g) + " tells of what is not in force");
  }

  ConfigSimSettings settings_;
  std::mt19937_64 random_;
  distribution::Key key_{};
  Time now_ = kStart;
  std::uint64_t number_ = 0;
  std::uint64_t attempts_ = 0;
  std::uint64_t requests_ = 0;
  std::priority_queue<Due> due_{};
  std::vector<std::string> addresses_{};
  std::vector<Distributor> distributors_;
  std::vector<Gatekeeper> gatekeepers_;
  std::unordered_map<std::uint64_t, Connection> connections_{};
  std::set<Node> side_{};
  Duration take_most_{};
  std::map<std::uint64_t, Publication> published_{};
  std::map<std::string, std::set<std::string>> contents_{};
  std::map<std::pair<std::string, distribution::Version>, distribution::ServiceConfig> committed_{};
  std::map<std::tuple<std::size_t, std::string, distribution::Version>, distribution::VersionId> proposed_{};
  std::set<std::pair<std::string, distribution::VersionId>> given_up_{};
  std::vector<InForce> in_force_{};
  Counts counts_{};
};

}  // namespace graniterun::lab
