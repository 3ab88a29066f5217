// Who of the fleet is alive, as one process knows it: SWIM with Lifeguard's refinements, lives that end
// earlier ones, and refusals as a proof of death. Pure: no I/O, no clock, no wire; `now` is a time that goes
// on while the process is stopped. docs/design/membership.md tells why it is as it is.
//
// Bounded: kMostMembers records of members and as many of those that are gone, forgotten after a while; pings
// without an answer, asked for others, strangers: each by a constant in membership.cpp. A step costs O(log
// n); a settled view's digest, at most one for each change, and the answer to an exchange cost O(n log n).
#pragma once

#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/deadline_queue.h"
#include "membership/message.h"
#include "membership/rumours.h"
#include "membership/suspicion.h"
#include "membership/window.h"

namespace graniterun::membership {

// Each can be taken out, to measure what it is good for. All stay on in service.
struct Refinements {
  bool indirect = true;      // others are asked before one is doubted
  bool local_health = true;  // who fails to hear from many judges more slowly
  bool shrinking = true;     // suspicions end sooner as others confirm them
  bool told_at_once = true;  // a suspect hears of it from who doubts it
  bool refusals = true;      // a port that refuses counts as a proof
  bool pauses = true;        // who was stopped does not judge before it has caught up
  bool checks = true;        // a death told by others is checked by an own ping
  bool anti_entropy = true;  // all that is known is compared and exchanged
};

struct Settings {
  std::string name{};
  std::string advertise{};           // address:port at which others reach this process
  std::vector<std::string> seeds{};  // address:port, asked until they are members, for ever
  std::set<std::string> roster{};    // who may be a member; empty: anyone with the key
  Life life{};                       // milliseconds of Unix time at the start: only a first guess
  std::uint64_t birth{};             // random, another one at every start
  std::uint64_t seed{};              // for random numbers
  Duration period{std::chrono::milliseconds(250)};      // one member is probed in each; 50 ms to 10 s
  Duration ack_within{std::chrono::milliseconds(100)};  // then others are asked; under the period
  Duration gossip_every{std::chrono::milliseconds(100)};
  Duration suspicion_least{std::chrono::seconds(3)};  // longer than the pauses that are to be borne
  Duration suspicion_most{std::chrono::seconds(6)};
  Duration forget_after{std::chrono::minutes(10)};  // members that are dead or have left
  std::size_t helpers = 3;
  std::size_t fanout = 3;
  Refinements refinements{};
};

// ---- events
struct Started {};
struct Heard {
  Datagram datagram;  // its tag, fleet and version have been found good
};
struct Refused {  // nobody listens at the address that a datagram went to
  std::string address;
  std::optional<std::uint64_t> token{};  // of the ping that it was, where that is known
};
struct Watch {  // members whose ports are asked often while they are dead: by whoever does their work
  std::set<std::string> names;
};
struct Tick {};  // every kTick
struct LeaveAsked {
  bool successor = false;  // another process goes on under this name: it is not said that it left
};
using Event = std::variant<Started, Heard, Refused, Tick, LeaveAsked, Watch>;

constexpr Duration kTick = std::chrono::milliseconds(50);

// ---- effects
struct Tell {
  std::string address;
  Datagram datagram;
};
enum class What : std::uint8_t {
  joined,  // or came back, or a newer life ended the one before
  suspected,
  refuted,
  died,
  left,
  settled,  // nobody is doubted, and all who were heard of late hold the same
  paused,   // this process was stopped
  caught_up,
  name_taken,  // another process has this one's name
  yielded,     // this one takes no part as long as the other one is there
};
struct Happened {
  What what{};
  Record record{};
  std::string evidence{};  // for people
};
// Of a member that is watched and dead by a refusal: nobody held its port at some moment from `asked` until
// now.
struct Absent {
  std::string name;
  Time asked{};
};
using Effect = std::variant<Tell, Happened, Absent>;
using Effects = std::vector<Effect>;

std::string_view word_of(What what);

// How this process itself reaches another, which is not whether that one is alive.
enum class Reach : std::uint8_t { unknown, direct, through_others, none };
std::string_view word_of(Reach reach);

struct MemberView {
  Record record{};
  Time since{};  // of the record's state, here
  Reach reach{};
  std::optional<Time> heard{};  // by this process, last
  bool self = false;
};

struct View {
  std::vector<std::string> names{};  // members, those doubted among them, in order
  std::uint64_t digest{};            // of names and lives: equal where views are
  bool settled = false;
  Time since{};  // of the last change, or of its being settled
};

// Why a datagram counted for nothing.
enum class Drop : std::uint8_t {
  not_in_roster,
  misdirected,
  old_life,
  doubled,
  too_old,
  unverified,
  full,
  own
};
constexpr std::size_t kDrops = static_cast<std::size_t>(Drop::own) + 1;
std::string_view word_of(Drop drop);

struct Figures {
  std::uint64_t suspicions_raised = 0;  // by this process
  std::uint64_t suspicions_held = 0;    // raised or heard of
  std::uint64_t refuted = 0;
  std::uint64_t confirmed = 0;           // ended in a death
  std::uint64_t own_refuted = 0;         // suspicions of this process itself
  std::uint64_t deaths_refused = 0;      // of those confirmed, by a port that refuses
  std::uint64_t deaths_turned_down = 0;  // told by others, and the member answered
  std::uint64_t pauses = 0;
  std::uint64_t lives_taken = 0;  // beyond the first
  std::uint64_t syncs = 0;
  std::array<std::uint64_t, kDrops> dropped{};
};

class Membership {
 public:
  explicit Membership(Settings settings);
  void step(Time now, const Event& event, Effects& effects);

  const Record& self() const { return self_; }
  bool is_member() const { return announced_ && !yielded_ && !stopped_ && self_.member(); }
  // It has handed over, and says nothing any more.
  bool stopped() const { return stopped_; }
  // It does not know yet whether its name is free, and takes no part so far.
  bool starting() const { return !announced_ && !yielded_ && !stopped_; }
  bool catching_up() const { return catching_up_; }
  int health() const { return score_; }  // 0: well; up to kWorstHealth
  static constexpr int kWorstHealth = 4;
  std::vector<MemberView> members() const;  // all that is known, in order of names
  const View& view() const { return view_; }
  // In touch with so many members within the last two seconds.
  std::size_t in_touch(Time now) const;
  const Figures& figures() const { return figures_; }
  std::uint64_t digest() const { return digest_; }
  std::size_t memory() const;  // bytes, about

 private:
  struct Peer {
    Record record{};
    Time since{};
    bool verified = false;  // this very process has answered a ping of ours
    Window window{};
    std::optional<Time> heard{};
    std::optional<Time> hinted{};      // something in its name, that proves nothing
    std::optional<Time> answered{};    // a ping of ours, directly
    std::optional<Time> unanswered{};  // the first one since then
    std::optional<Time> through{};     // another member told of its answer
    std::optional<Suspicion> suspicion{};
    std::optional<Record> told_dead{};  // by others, and being checked
    std::optional<Time> refused{};      // since it was heard last
    bool faded = false;                 // gone for so long that it is told no more
  };
  using Peers = std::map<std::string, Peer>;
  enum class Purpose : std::uint8_t { probe, check, join, reconnect, twin, relay };
  struct Asked {  // a ping of ours
    Purpose purpose{};
    std::string name{};  // may be empty: of a seed it is not known
    std::string address{};
    Time at{};
    // Of a relay: who wants to know.
    std::string for_address{};
    std::string for_name{};
    std::uint64_t for_token{};
    bool nacked = false;
  };
  struct Probe {
    std::string name{};
    std::uint64_t token{};
    std::uint64_t second{};  // of its repeat
    Time ask_others_at{};
    Time ends_at{};
    std::size_t helpers = 0;
    std::size_t witnesses = 0;  // helpers that said anything
    bool asked_others = false;
    bool answered = false;
  };
  struct Twin {  // another process that may have this one's name
    Record record{};
    std::uint64_t token{};
    Time asked{};
    int tries = 0;
  };

  void on(Time now, const Started& e);
  void on(Time now, const Heard& e);
  void on(Time now, const Refused& e);
  void on(Time now, const Tick& e);
  void on(Time now, const LeaveAsked& e);
  void on(Time, const Watch& e) { watched_ = e.names; }

  void take(Time now, Peer& from, const Datagram& d);
  bool take_ack(Time now, const Datagram& d, const Ack& ack);
  void admit(Time now, const Datagram& d);
  void answer(Time now, const Datagram& d, const Ping& ping);
  void relay(Time now, const Datagram& d, const PingRequest& request);
  void answer_sync(Time now, const Datagram& d, const SyncAsk& ask);
  void heard_namesake(Time now, const Datagram& d);

  void learn(Time now, const Record& r, bool first_hand);
  void learn_of_self(Time now, const Record& r);
  void doubt(Time now, Peer& p, const Record& r);
  void bury(Time now, Peer& p, const Record& dead);
  void raise(Time now, Peer& p, Evidence evidence);
  void hold(Time now, Peer& p, const Record& r);
  Peer& enter(Time now, const Record& r);
  bool make_room();
  void forget(Peers::iterator it);

  void contest(Time now, const Record& r);
  void take_life(Time now, Life life);
  void look_at_twin(Time now);
  void yield(Time now, const Record& to);
  void announce(Time now);

  void notice_pause(Time now);
  void look_at_probe(Time now);
  void start_probe(Time now);
  void look_at_pings(Time now);
  void look_at_suspects(Time now);
  void gossip(Time now);
  void sync(Time now);
  void reach_out(Time now);
  void settle(Time now);

  void tell(const std::string& address, const std::string& to, Body body, bool with_rumours = true);
  // `said`: what it is told of itself; none: what is known of it.
  std::uint64_t ping(Time now, const std::string& name, const std::string& address, Purpose purpose,
                     const Record* said = nullptr);
  void ping(Time now, const Peer& p, Purpose purpose) { ping(now, p.record.name, p.record.address, purpose); }
  void fill(Datagram& d);
  void happened(Time now, What what, const Record& r, std::string evidence);
  void drop(Drop why) { ++figures_.dropped[static_cast<std::size_t>(why)]; }
  void spread(const std::string& name) { rumours_.add(name); }
  Peer* find(const std::string& name);
  const Record* record_of(const std::string& name) const;
  std::vector<Peer*> some_members(std::size_t most, const std::string& but);
  std::size_t members_known() const { return members_ + 1; }  // with this one
  int times_told() const;
  Duration slower(Duration d) const;
  void worse(int by);
  void count(const Record& r, int sign);
  bool alone() const { return members_ == 0; }

  Settings settings_;
  std::mt19937_64 random_;
  Record self_{};
  Peers peers_;
  std::map<std::string, std::string> by_address_;  // members
  std::size_t members_ = 0;                        // of the peers
  std::size_t verified_ = 0;
  std::vector<std::string> ring_;  // the order of probing
  std::size_t ring_at_ = 0;
  Rumours rumours_;
  DeadlineQueue<std::string> suspects_;  // when a suspicion ends
  DeadlineQueue<std::string> refusals_;  // when a port that refused is asked again
  DeadlineQueue<std::string> checks_;    // when a death that was told is believed
  DeadlineQueue<std::string> gone_;      // when a record fades, then when it is forgotten
  std::set<std::string> dead_;           // told of still: asked in turn whether they are back
  std::map<std::uint64_t, Asked> asked_;
  std::map<std::string, Time> strangers_;  // by address: when they were last asked who they are
  std::optional<Probe> probe_{};
  std::optional<Twin> twin_{};
  std::optional<Record> yielded_{};  // to this one
  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t digest_ = 0;
  std::uint64_t number_ = 0;
  int score_ = 0;
  bool announced_ = false;
  bool stopped_ = false;
  std::optional<Time> stops_at_{};
  bool catching_up_ = false;
  std::set<std::string> answered_since_;  // while catching up
  Time started_{};
  std::optional<Time> ticked_{};
  Time listening_{};  // without a pause since
  Time gossiped_{};
  Time probed_{};
  Time reached_out_{};
  Time seeds_asked_{};
  Time sync_asked_{};
  std::set<std::string> watched_;
  Time watched_at_{};
  std::string last_gone_{};        // asked whether it is back
  std::optional<Time> differs_{};  // another's digest from ours, since
  std::string differs_with_{};
  Time changed_{};
  View view_{};
  std::optional<std::uint64_t> settled_digest_{};
  Time life_taken_{};
  int lives_in_a_row_ = 0;
  std::set<std::string> namesakes_;  // addresses told of
  Figures figures_{};
  Effects* out_ = nullptr;  // of the step that runs
};

}  // namespace graniterun::membership
