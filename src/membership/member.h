// What is known of a gatekeeper of the fleet, and which of two things known of it holds.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "graniterun/controller.h"

namespace graniterun::membership {

// A process under a name. A restart has a newer life, which ends the older one everywhere.
using Incarnation = std::uint64_t;

enum class State : std::uint8_t {
  alive,
  suspect,  // doubted: it is still a member, and is told so that it can say otherwise
  dead,     // no member; it comes back by saying so itself
  left,     // it said so: final for that life
};

// Why a record says what it says.
enum class Evidence : std::uint8_t {
  self_reported,     // by the member itself
  unresponsive,      // no answer, direct or through others
  port_unreachable,  // nobody listens at its address any more
  replaced,          // by a newer life of its name
};

// One member as one process knows it. Records of a name are ordered: of two the one that holds over the
// other is kept, so members that have heard the same records hold the same, whatever the order they came in.
struct Record {
  std::string name{};
  Incarnation incarnation{};
  std::uint64_t
      start_nonce{};      // drawn by the process at its start: tells two processes of one name and life apart
  std::string address{};  // where it is to be spoken to, as it says itself
  std::uint32_t refutation{};  // stepped by the member alone, to overrule what is said of it
  State state{};
  Evidence evidence{};
  std::string suspecting_member{};  // who doubted it, of a suspect and of one that was found dead
  bool handing_over = false;        // another process goes on under its name in a moment

  // The same process.
  bool same_incarnation(const Record& other) const {
    return incarnation == other.incarnation && start_nonce == other.start_nonce;
  }
  bool is_member() const { return state == State::alive || state == State::suspect; }
};

// Whether `left` holds over `right`, both of one name. Irreflexive: equal rank holds over nothing.
inline bool supersedes(const Record& left, const Record& right) {
  const auto rank = [](const Record& record) {
    const bool gone = record.state == State::left;
    return std::tuple(record.incarnation, record.start_nonce, gone, record.refutation, record.state);
  };
  return rank(left) > rank(right);
}

constexpr std::string_view to_string(State state) {
  constexpr std::string_view kWords[] = {"alive", "suspect", "dead", "left"};
  return kWords[static_cast<std::size_t>(state)];
}
constexpr std::string_view to_string(Evidence evidence) {
  constexpr std::string_view kWords[] = {"said so", "silent", "refused", "replaced by a newer life"};
  return kWords[static_cast<std::size_t>(evidence)];
}

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxAddressLength = 48;
constexpr std::size_t kMaxMembers = 1024;

}  // namespace graniterun::membership
