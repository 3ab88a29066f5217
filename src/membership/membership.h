// Group membership and failure detection: SWIM with Lifeguard's refinements. In addition a newer incarnation
// supersedes older ones of its name, and unreachable ports count as evidence of death. A pure state machine:
// events in, effects out, without I/O, clock or encoding. `now` comes from a clock that advances while the
// process is stopped. docs/design/membership.md gives the reasons for the design.
//
// Memory is bounded: at most kMaxMembers members and as many dead or departed ones, which expire; constants
// in membership.cpp bound pending pings and unknown senders. A step costs O(log n). Computing the digest of a
// settled view, at most once per change, and answering a sync request cost O(n log n).
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

// Switches of the protocol's refinements, to measure the effect of each. All are on in production.
struct Refinements {
  bool indirect_probing = true;        // other members probe a peer before it is suspected
  bool local_health = true;            // timeouts grow when this process misses many answers
  bool shrinking_suspicion = true;     // confirmations by other members shorten a suspicion
  bool notify_suspect_at_once = true;  // the suspecting member notifies the suspect directly
  bool unreachable_ports = true;       // ICMP port unreachable counts as evidence of death
  bool pause_detection = true;         // after a pause this process suspects nobody until it caught up
  bool verify_reported_deaths = true;  // this process pings a member that others report dead
  bool anti_entropy = true;            // member tables are compared by digest and synchronized
};

struct Settings {
  std::string name{};
  std::string advertise{};                // address:port at which other members reach this process
  std::vector<std::string> seeds{};       // address:port; pinged without end while they are not members
  std::set<std::string> allowed_names{};  // names allowed as members; empty allows any with the key
  Incarnation incarnation{};              // initial value: Unix time of the start in milliseconds
  std::uint64_t start_nonce{};            // random, drawn at every start
  std::uint64_t seed{};                   // of the random number generator
  Duration probe_interval{
      std::chrono::milliseconds(250)};                   // between probes of one member each; 50 ms to 10 s
  Duration ack_timeout{std::chrono::milliseconds(100)};  // before indirect probes; less than probe_interval
  Duration gossip_interval{std::chrono::milliseconds(100)};
  Duration min_suspicion_timeout{std::chrono::seconds(3)};  // longer than tolerated pauses
  Duration max_suspicion_timeout{std::chrono::seconds(6)};
  Duration dead_member_retention{std::chrono::minutes(10)};  // of dead and departed members
  std::size_t indirect_probes = 3;
  std::size_t gossip_fanout = 3;
  Refinements refinements{};
};

// ---- events
struct Started {};
struct DatagramReceived {
  Datagram datagram;  // with a valid tag, fleet name and version
};
struct PortUnreachable {  // the kernel reports that no process listens at the destination of a datagram
  std::string address;
  std::optional<std::uint64_t> token{};  // of the ping that caused it, if known
};
// Replaces the set of members that are pinged every probe interval while dead; sent by the process that took
// over their slots.
struct WatchPorts {
  std::set<std::string> names;
};
struct Tick {};  // every kTick
struct LeaveRequested {
  bool handover = false;  // another process continues under this name, so no leave is announced
};
using Event = std::variant<Started, DatagramReceived, PortUnreachable, Tick, LeaveRequested, WatchPorts>;

constexpr Duration kTick = std::chrono::milliseconds(50);

// ---- effects
struct SendDatagram {
  std::string address;
  Datagram datagram;
};
enum class MemberEventKind : std::uint8_t {
  joined,  // also: became alive again, or a newer incarnation superseded the older one
  suspected,
  refuted,
  died,
  left,
  settled,     // no suspicions, and the latest datagrams of other members carried this process's digest
  paused,      // this process was stopped for a while
  caught_up,   // enough members answered after a pause
  name_taken,  // another process has this process's name
  stood_down,  // this process stops participating while the other process of its name is present
};
struct MemberEvent {
  MemberEventKind kind{};
  Record record{};
  std::string detail{};  // human-readable explanation
};
// For a watched member that died with an unreachable port: at some moment between `probed_at` and now no
// process held its port.
struct PortReleased {
  std::string name;
  Time probed_at{};
};
using Effect = std::variant<SendDatagram, MemberEvent, PortReleased>;
using Effects = std::vector<Effect>;

std::string_view to_string(MemberEventKind kind);

// How this process reaches a member; independent of whether the member is alive.
enum class Reachability : std::uint8_t { unknown, direct, through_others, none };
std::string_view to_string(Reachability reachability);

struct MemberView {
  Record record{};
  Time state_since{};  // when this process set the record's current state
  Reachability reachability{};
  std::optional<Time> last_received_at{};  // this process's last verified datagram from the member
  bool self = false;
};

struct View {
  std::vector<std::string> names{};  // members including suspects, sorted
  std::uint64_t digest{};            // of names and incarnations: equal for equal views
  bool settled = false;
  Time changed_at{};  // when `settled` last changed
};

// Why a datagram was dropped.
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
constexpr std::size_t kDropReasonCount = static_cast<std::size_t>(DropReason::own) + 1;
std::string_view to_string(DropReason reason);

struct Metrics {
  std::uint64_t suspicions_raised = 0;  // by this process
  std::uint64_t suspicions_known = 0;   // raised here or received from others
  std::uint64_t suspicions_refuted = 0;
  std::uint64_t suspicions_confirmed = 0;        // ended in a death
  std::uint64_t own_suspicions_refuted = 0;      // suspicions of this process itself
  std::uint64_t deaths_by_unreachable_port = 0;  // those of suspicions_confirmed with an unreachable port
  std::uint64_t deaths_disproved = 0;            // reported by others, but the member answered
  std::uint64_t pauses = 0;
  std::uint64_t incarnations_taken = 0;  // after the initial one
  std::uint64_t syncs = 0;
  std::array<std::uint64_t, kDropReasonCount> dropped{};
};

class Membership {
 public:
  explicit Membership(Settings settings);
  void step(Time now, const Event& event, Effects& effects);

  const Record& self() const { return self_; }
  bool is_member() const { return announced_ && !stood_down_for_ && !stopped_ && self_.is_member(); }
  // Handover is complete: this process sends nothing any more.
  bool stopped() const { return stopped_; }
  // Not announced yet: this process is still checking whether its name is free.
  bool starting() const { return !announced_ && !stood_down_for_ && !stopped_; }
  bool catching_up() const { return catching_up_; }
  // Lifeguard's local health multiplier: 0 is healthy, kMaxHealthScore is worst.
  int health() const { return health_score_; }
  static constexpr int kMaxHealthScore = 4;
  std::vector<MemberView> members() const;  // the whole table including dead and departed, sorted by name
  const View& view() const { return view_; }
  // Number of members from which this process received a datagram within the last two seconds.
  std::size_t recent_contact_count(Time now) const;
  const Metrics& metrics() const { return metrics_; }
  std::uint64_t digest() const { return digest_; }
  std::size_t memory_bytes() const;  // approximate, in bytes

 private:
  struct Peer {
    Record record{};
    Time state_since{};
    bool verified = false;  // this incarnation has answered a ping of this process
    ReplayWindow window{};
    std::optional<Time> last_received_at{};
    std::optional<Time> last_unverified_at{};   // last datagram that carried its name but proves nothing
    std::optional<Time> last_ack_at{};          // last direct answer to a ping
    std::optional<Time> first_unanswered_at{};  // first missed ack timeout since last_ack_at
    std::optional<Time> last_relayed_ack_at{};  // last answer relayed by another member
    std::optional<Suspicion> suspicion{};
    std::optional<Record> reported_death{};   // reported by others, being verified by a ping
    std::optional<Time> unreachable_since{};  // first unreachable port since the last received datagram
    // Dead or departed for half of the retention: the record is neither sent nor part of the digest.
    bool broadcast_ended = false;
  };
  using Peers = std::map<std::string, Peer>;
  enum class PingPurpose : std::uint8_t { probe, check, join, reconnect, duplicate_name, relay };
  struct PendingPing {  // a ping sent by this process and not answered yet
    PingPurpose purpose{};
    std::string name{};  // empty for a seed whose name is not known yet
    std::string address{};
    Time sent_at{};
    // For PingPurpose::relay: the member that requested the indirect probe, and its token.
    std::string for_address{};
    std::string for_name{};
    std::uint64_t for_token{};
    bool nack_sent = false;
  };
  struct Probe {
    std::string name{};
    std::uint64_t token{};
    std::uint64_t repeat_token{};  // of the second direct ping
    Time indirect_at{};
    Time deadline{};
    std::size_t requests_sent = 0;       // indirect probe requests
    std::size_t responses_received = 0;  // RelayedAck and Nack
    bool indirect_sent = false;
    bool answered = false;
  };
  struct DuplicateName {  // another process that may have this process's name
    Record record{};
    std::uint64_t token{};
    Time probed_at{};
    int probes_sent = 0;  // without an answer
  };

  void on(Time now, const Started& event);
  void on(Time now, const DatagramReceived& event);
  void on(Time now, const PortUnreachable& event);
  void on(Time now, const Tick& event);
  void on(Time now, const LeaveRequested& event);
  void on(Time, const WatchPorts& event) { watched_ports_ = event.names; }

  void handle_datagram(Time now, Peer& from, const Datagram& datagram);
  void handle_unverified(Time now, const Datagram& datagram, const Ping* ping);
  void handle_body(Time now, const Datagram& datagram);
  void handle_relayed_ack(Time now, const RelayedAck& ack);
  void compare_digest(Time now, const std::string& name, std::uint64_t digest);
  bool handle_ack(Time now, const Datagram& datagram, const Ack& ack);
  void handle_verified_sender(Time now, const Datagram& datagram);
  void handle_ping(Time now, const Datagram& datagram, const Ping& ping);
  void handle_ping_request(Time now, const Datagram& datagram, const PingRequest& request);
  void handle_sync_request(Time now, const Datagram& datagram, const SyncRequest& request);
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
  void raise_suspicion(Time now, Peer& peer, StateReason evidence);
  void store_record(Time now, Peer& peer, const Record& record);
  void on_member_added(const Record& record);
  void on_member_removed(Time now, const Record& record);
  Peer& add_peer(Time now, const Record& record);
  bool make_room();
  void erase_peer(Peers::iterator it);

  void contest_name(Time now, const Record& record);
  void take_incarnation(Time now, Incarnation incarnation);
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

  void send_datagram(const std::string& address, const std::string& to, MessageBody body,
                     bool with_broadcasts = true);
  // Sends a ping and returns its token. `receiver_record` is sent to the receiver; if null, the stored
  // record.
  std::uint64_t ping(Time now, const std::string& name, const std::string& address, PingPurpose purpose,
                     const Record* receiver_record = nullptr);
  void ping(Time now, const Peer& peer, PingPurpose purpose) {
    ping(now, peer.record.name, peer.record.address, purpose);
  }
  void attach_broadcasts(Datagram& datagram);
  void emit_event(Time now, MemberEventKind kind, const Record& record, std::string evidence);
  void count_drop(DropReason reason) { ++metrics_.dropped[static_cast<std::size_t>(reason)]; }
  void broadcast(const std::string& name) { broadcasts_.add(name); }
  Peer* find_peer(const std::string& name);
  const Record* record_of(const std::string& name) const;
  std::vector<Peer*> random_members(std::size_t max_count, const std::string& excluded);
  std::size_t fleet_size() const { return member_count_ + 1; }  // including this process
  int transmission_limit() const;
  Duration scaled_by_health(Duration duration) const;
  void adjust_health(int by);
  void update_digest(const Record& record, int sign);
  bool has_no_members() const { return member_count_ == 0; }

  Settings settings_;
  std::mt19937_64 random_;
  Record self_{};
  Peers peers_;
  std::map<std::string, std::string> members_by_address_;  // names
  std::size_t member_count_ = 0;                           // alive and suspect peers
  std::size_t verified_count_ = 0;
  std::vector<std::string> probe_order_;  // round robin, shuffled after each round
  std::size_t probe_position_ = 0;
  BroadcastQueue broadcasts_;
  DeadlineQueue<std::string> suspects_;            // when a suspicion times out
  DeadlineQueue<std::string> unreachable_checks_;  // when an unreachable port is pinged again
  DeadlineQueue<std::string> reported_deaths_;     // when an unverified reported death is accepted
  DeadlineQueue<std::string> expirations_;         // when a record's broadcast ends, then when it is erased
  std::set<std::string> dead_members_;             // still broadcast; pinged in turn to find returned ones
  std::map<std::uint64_t, PendingPing> pending_pings_;
  std::map<std::string, Time> unknown_senders_;  // by address: when each was last pinged
  std::optional<Probe> probe_{};
  std::optional<DuplicateName> duplicate_{};
  std::optional<Record> stood_down_for_{};  // the other process of this name, while stood down
  std::array<std::uint64_t, kDigestBuckets> buckets_{};
  std::uint64_t digest_ = 0;
  std::uint64_t last_sequence_number_ = 0;
  int health_score_ = 0;
  bool announced_ = false;
  bool stopped_ = false;
  std::optional<Time> stops_at_{};
  bool catching_up_ = false;
  std::set<std::string> catch_up_responders_;  // members that answered since the pause
  Time started_at_{};
  std::optional<Time> last_tick_at_{};
  Time listening_since_{};  // start, or end of the last pause
  Time last_gossip_at_{};
  Time last_probe_at_{};
  Time last_reconnect_at_{};
  Time seeds_contacted_at_{};
  Time sync_requested_at_{};
  std::set<std::string> watched_ports_;
  Time ports_checked_at_{};
  std::string last_reconnect_name_{};  // the dead member pinged last
  std::optional<Time> digest_differs_since_{};
  std::string digest_differs_from_{};  // the member whose digest differed last
  Time changed_at_{};                  // last change of the member table
  View view_{};
  std::optional<std::uint64_t> settled_digest_{};
  Time incarnation_taken_at_{};
  int consecutive_incarnations_ = 0;
  std::set<std::string> duplicate_addresses_;  // already reported by name_taken
  Metrics metrics_{};
  Effects* effects_ = nullptr;  // of the current step
};

}  // namespace graniterun::membership
