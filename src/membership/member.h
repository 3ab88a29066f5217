// A member's record in the membership table, and the total order of records of one name.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "graniterun/controller.h"

namespace graniterun::membership {

// Identifies one process under a name, from its start to its end. A restart takes a higher incarnation, which
// supersedes the older one everywhere. SWIM's paper uses the word for another counter, called `refutation`
// here.
using Incarnation = std::uint64_t;

enum class State : std::uint8_t {
  alive,
  suspect,  // still a member; it is notified of the suspicion and can refute it
  dead,     // not a member; only its own refutation or a newer incarnation makes it alive again
  left,     // announced its own leave: final for that incarnation
};

// Why a record has its state.
enum class StateReason : std::uint8_t {
  self_reported,     // reported by the member itself
  unresponsive,      // neither a direct nor an indirect probe was answered
  port_unreachable,  // ICMP port unreachable: no process listens at its address
  replaced,          // superseded by a newer incarnation of its name
};

// One member as one process knows it. Records of one name are totally ordered by supersedes(), and the higher
// one is kept. Therefore members that received the same records have the same table in any order of arrival.
struct Record {
  std::string name{};
  Incarnation incarnation{};
  // Drawn at random when the process starts: distinguishes two processes of one name and incarnation.
  std::uint64_t start_nonce{};
  std::string address{};  // address:port that the member advertises
  // Called incarnation in SWIM's paper and on the wire. Only the member itself increments it, to overrule a
  // suspicion or death reported of it.
  std::uint32_t refutation{};
  State state{};
  StateReason state_reason{};
  std::string suspecting_member{};  // for suspect and dead: the member that raised the suspicion
  bool handing_over = false;        // another process is about to continue under its name

  // Whether both records are of the same process.
  bool same_incarnation(const Record& other) const {
    return incarnation == other.incarnation && start_nonce == other.start_nonce;
  }
  bool is_member() const { return state == State::alive || state == State::suspect; }
};

// Whether `left` supersedes `right`; both are of one name. Irreflexive: records of equal rank do not
// supersede each other.
inline bool supersedes(const Record& left, const Record& right) {
  const auto rank = [](const Record& record) {
    const bool has_left = record.state == State::left;
    return std::tuple(record.incarnation, record.start_nonce, has_left, record.refutation, record.state);
  };
  return rank(left) > rank(right);
}

constexpr std::string_view to_string(State state) {
  constexpr std::string_view kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}
constexpr std::string_view to_string(StateReason evidence) {
  constexpr std::string_view kNames[] = {"said so", "silent", "refused", "replaced by a newer life"};
  return kNames[static_cast<std::size_t>(evidence)];
}

constexpr std::size_t kMaxNameLength = 64;     // bytes
constexpr std::size_t kMaxAddressLength = 48;  // bytes
constexpr std::size_t kMaxMembers = 1024;

}  // namespace graniterun::membership
