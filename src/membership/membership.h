// Who of the fleet is alive, as one process knows it: SWIM with Lifeguard's refinements, lives that end
// earlier ones, and refusals as a proof of death. Pure: no I/O, no clock, no wire; `now` is a time that goes
// on while the process is stopped. docs/design/membership.md tells why it is as it is.
//
// Bounded: kMaxMembers records of members and as many of those that are gone, forgotten after a while; pings
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
#include "membership/broadcast_queue.h"
#include "membership/message.h"
#include "membership/replay_window.h"
#include "membership/suspicion.h"

namespace graniterun::membership {

// Each can be taken out, to measure what it is good for. All stay on in service.
struct Refinements {
  bool indirect_probing = true;        // others are asked before one is doubted
  bool local_health = true;            // who fails to hear from many judges more slowly
  bool shrinking_suspicion = true;     // suspicions end sooner as others confirm them
  bool notify_suspect_at_once = true;  // a suspect hears of it from who doubts it
  bool unreachable_ports = true;       // a port that refuses counts as a proof
  bool pause_detection = true;         // who was stopped does not judge before it has caught up
  bool verify_reported_deaths = true;  // a death told by others is checked by an own ping
  bool anti_entropy = true;            // all that is known is compared and exchanged
};

struct Settings {
  std::string name{};
  std::string advertise{};                // address:port at which others reach this process
  std::vector<std::string> seeds{};       // address:port, asked until they are members, for ever
  std::set<std::string> allowed_names{};  // who may be a member; empty: anyone with the key
  Incarnation incarnation{};              // milliseconds of Unix time at the start: only a first guess
  std::uint64_t start_nonce{};            // random, another one at every start
  std::uint64_t seed{};                   // for random numbers
  Duration probe_interval{std::chrono::milliseconds(250)};  // one member is probed in each; 50 ms to 10 s
  Duration ack_timeout{std::chrono::milliseconds(100)};     // then others are asked; under the period
  Duration gossip_interval{std::chrono::milliseconds(100)};
  Duration min_suspicion_timeout{std::chrono::seconds(3)};  // longer than the pauses that are to be borne
  Duration max_suspicion_timeout{std::chrono::seconds(6)};
  Duration dead_member_retention{std::chrono::minutes(10)};  // members that are dead or have left
  std::size_t indirect_probes = 3;
  std::size_t gossip_fanout = 3;
  Refinements refinements{};
};

// ---- events
struct Started {};
struct DatagramReceived {
  Datagram datagram;  // its tag, fleet and version have been found good
};
struct PortUnreachable {  // nobody listens at the address that a datagram went to
  std::string address;
  std::optional<std::uint64_t> token{};  // of the ping that it was, where that is known
};
struct WatchPorts {  // members whose ports are asked often while they are dead: by whoever does their work
  std::set<std::string> names;
};
struct Tick {};  // every kTick
struct LeaveRequested {
  bool successor = false;  // another process goes on under this name: it is not said that it left
};
using Event = std::variant<Started, DatagramReceived, PortUnreachable, Tick, LeaveRequested, WatchPorts>;

constexpr Duration kTick = std::chrono::milliseconds(50);

// ---- effects
struct SendDatagram {
  std::string address;
  Datagram datagram;
};
enum class MemberEventKind : std::uint8_t {
  joined,  // or came back, or a newer life ended the one before
  suspected,
  refuted,
  died,
  left,
  settled,  // nobody is doubted, and all who were heard of late hold the same
  paused,   // this process was stopped
  caught_up,
  name_taken,  // another process has this one's name
  stood_down,  // this one takes no part as long as the other one is there
};
struct MemberEvent {
  MemberEventKind kind{};
  Record record{};
  std::string evidence{};  // for people
};
// Of a member that is watched and dead by a refusal: nobody held its port at some moment from `asked` until
// now.
struct PortReleased {
  std::string name;
  Time probed_at{};
};
using Effect = std::variant<SendDatagram, MemberEvent, PortReleased>;
using Effects = std::vector<Effect>;

std::string_view to_string(MemberEventKind what);

// How this process itself reaches another, which is not whether that one is alive.
enum class Reachability : std::uint8_t { unknown, direct, through_others, none };
std::string_view to_string(Reachability reach);

struct MemberView {
  Record record{};
  Time state_since{};  // of the record's state, here
  Reachability reachability{};
  std::optional<Time> last_received_at{};  // by this process, last
  bool self = false;
};

struct View {
  std::vector<std::string> names{};  // members, those doubted among them, in order
  std::uint64_t digest{};            // of names and lives: equal where views are
  bool settled = false;
  Time changed_at{};  // of the last change, or of its being settled
};

// Why a datagram counted for nothing.
enum class DropReason : std::uint8_t {
  not_allowed,
  misdirected,
  old_incarnation,
  duplicate,
  too_old,
  unverified,
  full,
  own
};
constexpr std::size_t kDropReasons = static_cast<std::size_t>(DropReason::own) + 1;
std::string_view to_string(DropReason drop);

struct Metrics {
  std::uint64_t suspicions_raised = 0;  // by this process
  std::uint64_t suspicions_known = 0;   // raised or heard of
  std::uint64_t refuted = 0;
  std::uint64_t confirmed = 0;                   // ended in a death
  std::uint64_t own_suspicions_refuted = 0;      // suspicions of this process itself
  std::uint64_t deaths_by_unreachable_port = 0;  // of those confirmed, by a port that refuses
  std::uint64_t deaths_disproved = 0;            // told by others, and the member answered
  std::uint64_t pauses = 0;
  std::uint64_t incarnations_taken = 0;  // beyond the first
  std::uint64_t syncs = 0;
  std::array<std::uint64_t, kDropReasons> dropped{};
};

class Membership {
 public:
  explicit Membership(Settings settings);
  void step(Time now, const Event& event, Effects& effects);

  const Record& self() const { return self_; }
  bool is_member() const { return announced_ && !stood_down_for_ && !stopped_ && self_.is_member(); }
  // It has handed over, and says nothing any more.
  bool stopped() const { return stopped_; }
  // It does not know yet whether its name is free, and takes no part so far.
  bool starting() const { return !announced_ && !stood_down_for_ && !stopped_; }
  bool catching_up() const { return catching_up_; }
  int health() const { return health_score_; }  // 0: well; up to kWorstHealth
  static constexpr int kWorstHealth = 4;
  std::vector<MemberView> members() const;  // all that is known, in order of names
  const View& view() const { return view_; }
  // In touch with so many members within the last two seconds.
  std::size_t in_touch(Time now) const;
  const Metrics& metrics() const { return metrics_; }
  std::uint64_t digest() const { return digest_; }
  std::size_t memory() const;  // bytes, about

 private:
  struct Peer {
    Record record{};
    Time state_since{};
    bool verified = false;  // this very process has answered a ping of ours
    ReplayWindow window{};
    std::optional<Time> last_received_at{};
    std::optional<Time> last_unverified_at{};   // something in its name, that proves nothing
    std::optional<Time> last_ack_at{};          // a ping of ours, directly
    std::optional<Time> first_unanswered_at{};  // the first one since then
    std::optional<Time> last_relayed_ack_at{};  // another member told of its answer
    std::optional<Suspicion> suspicion{};
    std::optional<Record> reported_death{};   // by others, and being checked
    std::optional<Time> unreachable_since{};  // since it was heard last
    bool broadcast_ended = false;             // gone for so long that it is told no more
  };
  using Peers = std::map<std::string, Peer>;
  enum class Purpose : std::uint8_t { probe, check, join, reconnect, duplicate_name, relay };
  struct PendingPing {  // a ping of ours
    Purpose purpose{};
    std::string name{};  // may be empty: of a seed it is not known
    std::string address{};
    Time sent_at{};
    // Of a relay: who wants to know.
    std::string for_address{};
    std::string for_name{};
    std::uint64_t for_token{};
    bool nack_sent = false;
  };
  struct Probe {
    std::string name{};
    std::uint64_t token{};
    std::uint64_t repeat_token{};  // of its repeat
    Time indirect_at{};
    Time deadline{};
    std::size_t helpers = 0;
    std::size_t witnesses = 0;  // helpers that said anything
    bool indirect_sent = false;
    bool answered = false;
  };
  struct DuplicateName {  // another process that may have this one's name
    Record record{};
    std::uint64_t token{};
    Time probed_at{};
    int tries = 0;
  };

  void on(Time now, const Started& event);
  void on(Time now, const DatagramReceived& event);
  void on(Time now, const PortUnreachable& event);
  void on(Time now, const Tick& event);
  void on(Time now, const LeaveRequested& event);
  void on(Time, const WatchPorts& notice) { watched_ports_ = notice.names; }

  void handle_datagram(Time now, Peer& from, const Datagram& datagram);
  void handle_unverified(Time now, const Datagram& datagram, const Ping* ping);
  void handle_body(Time now, const Datagram& datagram);
  void handle_relayed_ack(Time now, const RelayedAck& ack);
  void compare_digest(Time now, const std::string& name, std::uint64_t digest);
  bool handle_ack(Time now, const Datagram& datagram, const Ack& ack);
  void handle_non_member(Time now, const Datagram& datagram);
  void handle_ping(Time now, const Datagram& datagram, const Ping& ping);
  void handle_ping_request(Time now, const Datagram& datagram, const PingRequest& request);
  void handle_sync_request(Time now, const Datagram& datagram, const SyncRequest& ask);
  void handle_duplicate_name(Time now, const Datagram& datagram);

  void merge_record(Time now, const Record& record, bool first_hand);
  void merge_unknown_peer(Time now, const Record& record, bool first_hand);
  void merge_alive(Time now, Peer& peer, const Record& record, bool first_hand);
  void merge_suspect(Time now, Peer& peer, const Record& record);
  void merge_dead(Time now, Peer& peer, const Record& record);
  void confirm_suspicion(Peer& peer, const Record& record);
  void merge_own_record(Time now, const Record& record);
  void merge_suspicion(Time now, Peer& peer, const Record& record);
  void declare_dead(Time now, Peer& peer, const Record& dead);
  void raise_suspicion(Time now, Peer& peer, Evidence evidence);
  void store_record(Time now, Peer& peer, const Record& record);
  void count_member_in(const Record& record);
  void count_member_out(Time now, const Record& record);
  Peer& add_peer(Time now, const Record& record);
  bool make_room();
  void erase_peer(Peers::iterator it);

  void contest_name(Time now, const Record& record);
  void take_incarnation(Time now, Incarnation life);
  void check_duplicate_name(Time now);
  void stand_down(Time now, const Record& to);
  void announce_self(Time now);

  void detect_pause(Time now);
  void check_probe(Time now);
  void probe_indirectly(Time now);
  void finish_probe(Time now);
  void start_probe(Time now);
  void check_ping_timeouts(Time now);
  void check_suspicion_timeouts(Time now);
  void send_gossip(Time now);
  void request_sync(Time now);
  void contact_missing_members(Time now);
  void update_view(Time now);

  void send_datagram(const std::string& address, const std::string& to, Body body, bool with_rumours = true);
  // `said`: what it is told of itself; none: what is known of it.
  std::uint64_t ping(Time now, const std::string& name, const std::string& address, Purpose purpose,
                     const Record* said = nullptr);
  void ping(Time now, const Peer& peer, Purpose purpose) {
    ping(now, peer.record.name, peer.record.address, purpose);
  }
  void attach_broadcasts(Datagram& datagram);
  void emit_event(Time now, MemberEventKind what, const Record& record, std::string evidence);
  void count_drop(DropReason why) { ++metrics_.dropped[static_cast<std::size_t>(why)]; }
  void broadcast(const std::string& name) { broadcasts_.add(name); }
  Peer* find(const std::string& name);
  const Record* record_of(const std::string& name) const;
  std::vector<Peer*> random_members(std::size_t most, const std::string& but);
  std::size_t members_known() const { return members_ + 1; }  // with this one
  int transmission_limit() const;
  Duration scaled_by_health(Duration duration) const;
  void adjust_health(int by);
  void update_digest(const Record& record, int sign);
  bool has_no_members() const { return members_ == 0; }

  Settings settings_;
  std::mt19937_64 random_;
  Record self_{};
  Peers peers_;
  std::map<std::string, std::string> by_address_;  // members
  std::size_t members_ = 0;                        // of the peers
  std::size_t verified_ = 0;
  std::vector<std::string> probe_order_;  // the order of probing
  std::size_t probe_position_ = 0;
  BroadcastQueue broadcasts_;
  DeadlineQueue<std::string> suspects_;            // when a suspicion ends
  DeadlineQueue<std::string> unreachable_checks_;  // when a port that refused is asked again
  DeadlineQueue<std::string> reported_deaths_;     // when a death that was told is believed
  DeadlineQueue<std::string> expirations_;         // when a record fades, then when it is forgotten
  std::set<std::string> dead_members_;             // told of still: asked in turn whether they are back
  std::map<std::uint64_t, PendingPing> pending_pings_;
  std::map<std::string, Time> unknown_senders_;  // by address: when they were last asked who they are
  std::optional<Probe> probe_{};
  std::optional<DuplicateName> duplicate_{};
  std::optional<Record> stood_down_for_{};  // to this one
  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t digest_ = 0;
  std::uint64_t number_ = 0;
  int health_score_ = 0;
  bool announced_ = false;
  bool stopped_ = false;
  std::optional<Time> stops_at_{};
  bool catching_up_ = false;
  std::set<std::string> answered_since_;  // while catching up
  Time started_at_{};
  std::optional<Time> last_tick_at_{};
  Time listening_since_{};  // without a pause since
  Time last_gossip_at_{};
  Time last_probe_at_{};
  Time last_reconnect_at_{};
  Time seeds_contacted_at_{};
  Time sync_requested_at_{};
  std::set<std::string> watched_ports_;
  Time ports_checked_at_{};
  std::string last_reconnect_{};         // asked whether it is back
  std::optional<Time> differs_since_{};  // another's digest from ours, since
  std::string differs_with_{};
  Time changed_at_{};
  View view_{};
  std::optional<std::uint64_t> settled_digest_{};
  Time incarnation_taken_at_{};
  int incarnations_in_a_row_ = 0;
  std::set<std::string> duplicate_addresses_;  // addresses told of
  Metrics metrics_{};
  Effects* out_ = nullptr;  // of the step that runs
};

}  // namespace graniterun::membership
