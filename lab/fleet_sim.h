// Hundreds of members in one process under one clock: the same reducers as in the program, and between them a
// network with faults, all drawn from one seed. Nothing waits; a failure is a seed and a step.
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

// What becomes of datagrams from one member to another.
struct Link {
  bool cut = false;
  double loss = 0.0;     // share
  double doubled = 0.0;  // share
  Duration least{std::chrono::microseconds(200)};
  Duration most{std::chrono::milliseconds(2)};
};

class FleetSim {
 public:
  using Datagram = membership::Datagram;
  // What a member found, and when.
  struct Found {
    Time at{};
    std::size_t by{};
    membership::MemberEvent what;
  };
  struct Counts {
    std::uint64_t sent = 0;
    std::uint64_t bytes = 0;  // by `size_of`
    std::uint64_t cut = 0;    // datagrams that a cut link took
    std::uint64_t lost = 0;
    std::uint64_t doubled = 0;
    std::uint64_t refused = 0;            // to a process that is gone
    std::uint64_t unheard_datagrams = 0;  // to a machine that has vanished
    std::uint64_t held = 0;               // came while the receiver was stopped
    std::uint64_t steps = 0;
  };

  // `edit`: settings that differ from the default ones, of member i.
  FleetSim(std::size_t size, std::uint64_t seed,
           std::function<void(std::size_t, membership::Settings&)> edit = {})
      : random_(seed), edit_(std::move(edit)), nodes_(size) {}
  FleetSim(const FleetSim&) = delete;  // what is due refers to it
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
    n.late_tick = false;
    ++n.run;
    at_[n.address] = i;
    feed(i, membership::Started{});
    // Ticks of different processes do not fall together.
    push(now_ + draw(std::chrono::microseconds(1), membership::kTick),
         [this, i, run = n.run] { tick(i, run); });
  }
  void start_all() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) start(i);
  }
  // Its port refuses from now on; of a machine that vanishes nothing comes back at all.
  void kill(std::size_t i, bool vanishes = false) {
    nodes_.at(i).up = false;
    nodes_.at(i).vanished = vanishes;
    nodes_.at(i).member.reset();
    ++nodes_.at(i).run;
    nodes_.at(i).waiting.clear();
  }
  void pause(std::size_t i) { nodes_.at(i).paused = true; }
  void resume(std::size_t i) {
    Node& n = nodes_.at(i);
    if (!n.paused) return;
    n.paused = false;
    // Timers are served before the sockets, as in the program.
    if (n.late_tick) {
      n.late_tick = false;
      tick(i, n.run);
    }
    for (const Datagram& datagram : std::exchange(n.waiting, {}))
      feed(i, membership::DatagramReceived{datagram});
  }
  void leave(std::size_t i, bool successor = false) { feed(i, membership::LeaveRequested{successor}); }

  void link(std::size_t from, std::size_t to, const Link& l) { links_[{from, to}] = l; }
  void all_links(const Link& l) {
    links_.clear();
    usual_ = l;
  }
  // Both ways, between those on one side and the others.
  void cut(const std::set<std::size_t>& side) {
    for (std::size_t a = 0; a < nodes_.size(); ++a) {
      for (std::size_t b = 0; b < nodes_.size(); ++b) {
        if (side.contains(a) != side.contains(b)) links_[{a, b}].cut = true;
      }
    }
  }
  void heal() { links_.clear(); }
  // A datagram from nowhere, as it would come out of the wire.
  void inject(std::size_t to, const Datagram& datagram) { deliver(to, datagram); }

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

  Time now() const { return now_; }
  std::size_t size() const { return nodes_.size(); }
  bool up(std::size_t i) const { return nodes_[i].up; }
  const membership::Membership& member(std::size_t i) const { return *nodes_[i].member; }
  const std::vector<Found>& found() const { return found_; }
  std::vector<Found> take_found() { return std::exchange(found_, {}); }
  const Counts& counts() const { return counts_; }
  std::uint64_t sent_by(std::size_t i) const { return nodes_[i].sent; }

  // What i holds of j; none: nothing.
  std::optional<membership::State> state(std::size_t i, std::size_t j) const {
    const std::string name = name_of(j);
    for (const membership::MemberView& member : nodes_[i].member->members()) {
      if (member.record.name == name) return member.record.state;
    }
    return std::nullopt;
  }
  // All who are up (and run) hold exactly those who are up for members, doubt nobody, and agree.
  bool all_agree() const {
    std::optional<std::uint64_t> digest;
    std::size_t there = 0;
    for (const Node& n : nodes_) {
      if (!n.up || n.paused) continue;
      if (n.member->starting()) return false;
      there += n.member->is_member() ? 1 : 0;
    }
    for (const Node& n : nodes_) {
      if (!n.up || n.paused || !n.member->is_member()) continue;
      const membership::View& view = n.member->view();
      if (!view.settled || view.names.size() != there) return false;
      if (digest && *digest != view.digest) return false;
      digest = view.digest;
    }
    return true;
  }
  // Deaths found of members that were up all along; `but` are not looked at.
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

  // Every datagram that is sent, for tests that keep some.
  std::function<void(std::size_t from, std::size_t to, const Datagram&)> tap;
  std::function<std::size_t(const Datagram&)> size_of;
  // What becomes of the nth datagram, from 1, before any link is asked; none: as the link says.
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
    bool late_tick = false;
    std::uint64_t run = 0;  // steps at each start and end: what was armed before is void
    std::uint64_t sent = 0;
    std::vector<Datagram> waiting{};
  };
  struct Due {
    Time at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const Due& other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
  };
  static constexpr std::size_t kSocketHolds = 400;  // datagrams, of one that does not read

  Duration draw(Duration least, Duration most) {
    return Duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
  }
  bool chance(double share) {
    return share > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
  }
  void push(Time at, std::function<void()> act) { due_.push({at, ++order_, std::move(act)}); }

  bool run_until(Time end, const std::function<bool()>& holds) {
    while (!due_.empty() && due_.top().at <= end) {
      now_ = std::max(now_, due_.top().at);
      const auto act = std::move(const_cast<Due&>(due_.top()).act);
      due_.pop();
      act();
      if (holds()) return true;
    }
    now_ = end;
    return holds();
  }

  void tick(std::size_t i, std::uint64_t run) {
    Node& n = nodes_[i];
    if (n.run != run || !n.up) return;
    if (n.paused) {
      n.late_tick = true;
      return;
    }
    push(now_ + membership::kTick, [this, i, run] { tick(i, run); });
    feed(i, membership::Tick{});
  }

  void feed(std::size_t i, const membership::Event& event) {
    Node& n = nodes_[i];
    if (!n.up) return;
    ++counts_.steps;
    membership::Effects effects;
    n.member->step(now_, event, effects);
    for (membership::Effect& e : effects) {
      if (auto* tell = std::get_if<membership::SendDatagram>(&e)) {
        send(i, tell->address, std::move(tell->datagram));
      } else {
        found_.push_back({now_, i, std::move(std::get<membership::MemberEvent>(e))});
      }
    }
  }

  void send(std::size_t from, const std::string& address, Datagram datagram) {
    ++counts_.sent;
    ++nodes_[from].sent;
    if (size_of) counts_.bytes += size_of(datagram);
    const auto place = at_.find(address);
    if (place == at_.end()) return;
    const std::size_t to = place->second;
    if (tap) tap(from, to, datagram);
    const auto it = links_.find({from, to});
    const Link& l = it == links_.end() ? usual_ : it->second;
    if (l.cut) {
      ++counts_.cut;
      return;
    }
    if (chance(l.loss)) {
      ++counts_.lost;
      return;
    }
    Time arrives = now_ + draw(l.least, l.most);
    const auto fated = fate ? fate(counts_.sent) : std::nullopt;
    if (fated == Fate::lost) {
      ++counts_.lost;
      return;
    }
    if (fated == Fate::late) arrives += std::chrono::milliseconds(400);
    if (!nodes_[to].up && !nodes_[to].vanished) {
      ++counts_.refused;
      push(arrives + draw(l.least, l.most), [this, from, address, run = nodes_[from].run] {
        if (nodes_[from].run == run) feed(from, membership::PortUnreachable{address});
      });
      return;
    }
    if (fated == Fate::doubled || chance(l.doubled)) {
      ++counts_.doubled;
      push(arrives + draw(l.least, l.most), [this, to, datagram] { deliver(to, datagram); });
    }
    push(arrives, [this, to, d = std::move(datagram)] { deliver(to, d); });
  }

  void deliver(std::size_t to, const Datagram& datagram) {
    Node& n = nodes_[to];
    if (!n.up) {
      ++counts_.unheard_datagrams;
      return;
    }
    if (n.paused) {
      ++counts_.held;
      if (n.waiting.size() < kSocketHolds) n.waiting.push_back(datagram);
      return;
    }
    feed(to, membership::DatagramReceived{datagram});
  }

  std::mt19937_64 random_;
  std::function<void(std::size_t, membership::Settings&)> edit_;
  std::deque<Node> nodes_;
  std::map<std::string, std::size_t> at_;
  std::map<std::pair<std::size_t, std::size_t>, Link> links_;
  Link usual_{};
  std::priority_queue<Due> due_;
  std::uint64_t order_ = 0;
  Time now_ = kStart;
  std::vector<Found> found_;
  Counts counts_;
};

}  // namespace graniterun::lab
