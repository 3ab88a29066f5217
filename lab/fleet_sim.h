// Discrete-event simulation of a fleet with hundreds of members in one process: the same membership reducers
// as in the program, and a network with faults between them. All random choices come from one seed, so a seed
// reproduces a failure. Nothing waits in real time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace graniterun::lab {

// Faults of datagrams from one member to another.
struct Link {
  bool cut = false;
  double loss = 0.0;                               // share of datagrams
  double doubled = 0.0;                            // share of datagrams that are duplicated
  Duration least{std::chrono::microseconds(200)};  // delay, drawn uniformly from `least` to `most`
  Duration most{std::chrono::milliseconds(2)};
};

class FleetSim {
 public:
  using Datagram = membership::Datagram;
  // An event that a member reported.
  struct Found {
    Time at{};
    std::size_t by{};
    membership::MemberEvent what;
  };
  struct Counts {
    std::uint64_t sent = 0;
    std::uint64_t bytes = 0;  // as counted by `size_of`
    std::uint64_t cut = 0;    // datagrams dropped by a cut link
    std::uint64_t lost = 0;
    std::uint64_t doubled = 0;
    std::uint64_t refused = 0;            // to a process that has ended
    std::uint64_t unheard_datagrams = 0;  // to a machine that has vanished
    std::uint64_t held = 0;               // arrived while the receiver was paused
    std::uint64_t steps = 0;
  };

  // `edit` changes the settings of member i.
  FleetSim(std::size_t size, std::uint64_t seed,
           std::function<void(std::size_t, membership::Settings&)> edit = {})
      : random_(seed), edit_(std::move(edit)), nodes_(size) {}
  FleetSim(const FleetSim&) = delete;  // scheduled events refer to it
  FleetSim& operator=(const FleetSim&) = delete;

  static std::string name_of(std::size_t i) { return "g" + std::to_string(i); }
  static std::string address_of(std::size_t i) {
    return "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7946";
  }

  void start(std::size_t i) {
    Node& n = nodes_.at(i);
    membership::Settings settings;
    settings.name = name_of(i);
    settings.advertise = address_of(i);
    settings.seeds = {address_of(0), address_of(1), address_of(2)};
    settings.start_nonce = random_();
    settings.seed = random_();
    settings.incarnation =
        1'000'000 + static_cast<membership::Incarnation>(
                        std::chrono::duration_cast<std::chrono::milliseconds>(now_ - kStart).count());
    if (edit_) edit_(i, settings);
    n.address = settings.advertise;
    n.member = std::make_unique<membership::Membership>(std::move(settings));
    n.up = true;
    n.vanished = false;
    n.paused = false;
    n.tick_missed = false;
    ++n.run_id;
    index_by_address_[n.address] = i;
    feed(i, membership::Started{});
    // The ticks of different processes are not aligned.
    schedule(now_ + draw(std::chrono::microseconds(1), membership::kTick),
             [this, i, run_id = n.run_id] { tick(i, run_id); });
  }
  void start_all() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) start(i);
  }
  // Ends the process. Its port then refuses datagrams; with `vanishes` its machine is gone and datagrams to
  // it are lost without a refusal.
  void kill(std::size_t i, bool vanishes = false) {
    nodes_.at(i).up = false;
    nodes_.at(i).vanished = vanishes;
    nodes_.at(i).member.reset();
    ++nodes_.at(i).run_id;
    nodes_.at(i).buffered.clear();
  }
  void pause(std::size_t i) { nodes_.at(i).paused = true; }
  void resume(std::size_t i) {
    Node& n = nodes_.at(i);
    if (!n.paused) return;
    n.paused = false;
    // Timers are served before sockets, as in the program.
    if (n.tick_missed) {
      n.tick_missed = false;
      tick(i, n.run_id);
    }
    for (const Datagram& datagram : std::exchange(n.buffered, {}))
      feed(i, membership::DatagramReceived{datagram});
  }
  void leave(std::size_t i, bool successor = false) { feed(i, membership::LeaveRequested{successor}); }

  void link(std::size_t from, std::size_t to, const Link& l) { links_[{from, to}] = l; }
  void all_links(const Link& l) {
    links_.clear();
    default_link_ = l;
  }
  // Cuts both directions between the members of `side` and all others.
  void cut(const std::set<std::size_t>& side) {
    for (std::size_t a = 0; a < nodes_.size(); ++a) {
      for (std::size_t b = 0; b < nodes_.size(); ++b) {
        if (side.contains(a) != side.contains(b)) links_[{a, b}].cut = true;
      }
    }
  }
  void heal() { links_.clear(); }
  // Delivers a datagram that no simulated member has sent.
  void inject(std::size_t to, const Datagram& datagram) { deliver(to, datagram); }

  void run(Duration span) {
    run_until(now_ + span, [] { return false; });
  }
  // Runs until `holds` is true, checked after each event. Returns the simulated time that it took, or nothing
  // if `timeout` has passed.
  std::optional<Duration> until(Duration timeout, const std::function<bool()>& holds) {
    const Time began = now_;
    if (holds()) return Duration{};
    if (!run_until(now_ + timeout, holds)) return std::nullopt;
    return now_ - began;
  }

  Time now() const { return now_; }
  std::size_t size() const { return nodes_.size(); }
  bool up(std::size_t i) const { return nodes_[i].up; }
  const membership::Membership& member(std::size_t i) const { return *nodes_[i].member; }
  const std::vector<Found>& found() const { return found_; }
  std::vector<Found> take_found() { return std::exchange(found_, {}); }
  const Counts& counts() const { return counts_; }
  std::uint64_t sent_by(std::size_t i) const { return nodes_[i].sent; }

  // State of j in the member table of i, if it has one.
  std::optional<membership::State> state(std::size_t i, std::size_t j) const {
    const std::string name = name_of(j);
    for (const membership::MemberView& member : nodes_[i].member->members()) {
      if (member.record.name == name) return member.record.state;
    }
    return std::nullopt;
  }
  // Whether all running members have the same settled view, whose size is the number of running members.
  bool all_agree() const {
    std::optional<std::uint64_t> digest;
    std::size_t running_members = 0;
    for (const Node& n : nodes_) {
      if (!n.up || n.paused) continue;
      if (n.member->starting()) return false;
      running_members += n.member->is_member() ? 1 : 0;
    }
    for (const Node& n : nodes_) {
      if (!n.up || n.paused || !n.member->is_member()) continue;
      const membership::View& view = n.member->view();
      if (!view.settled || view.names.size() != running_members) return false;
      if (digest && *digest != view.digest) return false;
      digest = view.digest;
    }
    return true;
  }
  // Number of deaths reported, except replaced processes and reports of or by the members in `but`. The
  // caller lists those that it killed.
  std::size_t false_deaths(const std::set<std::size_t>& but = {}) const {
    std::size_t count = 0;
    for (const Found& f : found_) {
      if (f.what.kind != membership::MemberEventKind::died ||
          f.what.record.evidence == membership::Evidence::replaced)
        continue;
      const std::size_t of = index_of(f.what.record.name);
      count += !but.contains(of) && !but.contains(f.by) ? 1 : 0;
    }
    return count;
  }
  static std::size_t index_of(const std::string& name) { return std::stoul(name.substr(1)); }

  // Called with each datagram that is sent.
  std::function<void(std::size_t from, std::size_t to, const Datagram&)> tap;
  // Size of a datagram in bytes, for the counts.
  std::function<std::size_t(const Datagram&)> size_of;
  // Overrides the fault of the nth datagram, counted from 1; none: the link's own faults apply.
  enum class Fate : std::uint8_t { passes, lost, doubled, late };
  std::function<std::optional<Fate>(std::uint64_t nth)> fate;

  static constexpr Time kStart{std::chrono::seconds(1'000'000)};

 private:
  struct Node {
    std::unique_ptr<membership::Membership> member{};
    std::string address{};
    bool up = false;
    bool vanished = false;
    bool paused = false;
    bool tick_missed = false;
    std::uint64_t run_id = 0;  // incremented at each start and end: events scheduled before are void
    std::uint64_t sent = 0;
    std::vector<Datagram> buffered{};
  };
  struct ScheduledEvent {
    Time at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const ScheduledEvent& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };
  // Datagrams kept for a paused member, as by a socket's buffer.
  static constexpr std::size_t kMaxBufferedDatagrams = 400;

  Duration draw(Duration min, Duration max) {
    return Duration(std::uniform_int_distribution<std::int64_t>(min.count(), max.count())(random_));
  }
  bool chance(double share) {
    return share > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
  }
  void schedule(Time at, std::function<void()> action) {
    schedule_.push({at, ++next_order_, std::move(action)});
  }

  bool run_until(Time end, const std::function<bool()>& holds) {
    while (!schedule_.empty() && schedule_.top().at <= end) {
      now_ = std::max(now_, schedule_.top().at);
      const auto action = std::move(const_cast<ScheduledEvent&>(schedule_.top()).action);
      schedule_.pop();
      action();
      if (holds()) return true;
    }
    now_ = end;
    return holds();
  }

  void tick(std::size_t i, std::uint64_t run_id) {
    Node& n = nodes_[i];
    if (n.run_id != run_id || !n.up) return;
    if (n.paused) {
      n.tick_missed = true;
      return;
    }
    schedule(now_ + membership::kTick, [this, i, run_id] { tick(i, run_id); });
    feed(i, membership::Tick{});
  }

  void feed(std::size_t i, const membership::Event& event) {
    Node& n = nodes_[i];
    if (!n.up) return;
    ++counts_.steps;
    membership::Effects effects;
    n.member->step(now_, event, effects);
    for (membership::Effect& e : effects) {
      if (auto* outgoing = std::get_if<membership::SendDatagram>(&e)) {
        send(i, outgoing->address, std::move(outgoing->datagram));
      } else {
        found_.push_back({now_, i, std::move(std::get<membership::MemberEvent>(e))});
      }
    }
  }

  void send(std::size_t from, const std::string& address, Datagram datagram) {
    ++counts_.sent;
    ++nodes_[from].sent;
    if (size_of) counts_.bytes += size_of(datagram);
    const auto receiver = index_by_address_.find(address);
    if (receiver == index_by_address_.end()) return;
    const std::size_t to = receiver->second;
    if (tap) tap(from, to, datagram);
    const auto it = links_.find({from, to});
    const Link& link = it == links_.end() ? default_link_ : it->second;
    if (link.cut) {
      ++counts_.cut;
      return;
    }
    if (chance(link.loss)) {
      ++counts_.lost;
      return;
    }
    Time arrives = now_ + draw(link.least, link.most);
    const auto outcome = fate ? fate(counts_.sent) : std::nullopt;
    if (outcome == Fate::lost) {
      ++counts_.lost;
      return;
    }
    if (outcome == Fate::late) arrives += std::chrono::milliseconds(400);
    if (!nodes_[to].up && !nodes_[to].vanished) {
      ++counts_.refused;
      schedule(arrives + draw(link.least, link.most), [this, from, address, run_id = nodes_[from].run_id] {
        if (nodes_[from].run_id == run_id) feed(from, membership::PortUnreachable{address});
      });
      return;
    }
    if (outcome == Fate::doubled || chance(link.doubled)) {
      ++counts_.doubled;
      schedule(arrives + draw(link.least, link.most), [this, to, datagram] { deliver(to, datagram); });
    }
    schedule(arrives, [this, to, d = std::move(datagram)] { deliver(to, d); });
  }

  void deliver(std::size_t to, const Datagram& datagram) {
    Node& n = nodes_[to];
    if (!n.up) {
      ++counts_.unheard_datagrams;
      return;
    }
    if (n.paused) {
      ++counts_.held;
      if (n.buffered.size() < kMaxBufferedDatagrams) n.buffered.push_back(datagram);
      return;
    }
    feed(to, membership::DatagramReceived{datagram});
  }

  std::mt19937_64 random_;
  std::function<void(std::size_t, membership::Settings&)> edit_;
  std::deque<Node> nodes_;
  std::map<std::string, std::size_t> index_by_address_;
  std::map<std::pair<std::size_t, std::size_t>, Link> links_;
  Link default_link_{};
  std::priority_queue<ScheduledEvent> schedule_;
  std::uint64_t next_order_ = 0;
  Time now_ = kStart;
  std::vector<Found> found_;
  Counts counts_;
};

}  // namespace graniterun::lab
