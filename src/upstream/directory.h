// Assigns local server ids to the uids by which the journal service names setup servers, and converts
// endpoints into the decision module's server entries. An id is never reused.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"

namespace graniterun::upstream {

// The state's word in the endpoint list.
constexpr std::string_view to_string(ServerState state) {
  switch (state) {
    case ServerState::in_service:
      return "ready";
    case ServerState::terminating:
      return "draining";
    case ServerState::terminated:
      return "gone";
  }
  return "unknown";
}

class Directory {
 public:
  explicit Directory(std::vector<std::string> areas) : areas_(std::move(areas)) {}

  ServerId find_or_assign_id(const std::string& uid) {
    return ids_.try_emplace(uid, ServerId{static_cast<std::uint32_t>(ids_.size())}).first->second;
  }
  // The zone is the index of the endpoint's area; an unknown area gets the index after the last one.
  ServerEntry make_entry(ServerId id, const Endpoint& endpoint) const {
    const auto area = std::find(areas_.begin(), areas_.end(), endpoint.area);
    return {id,
            Zone{static_cast<std::uint32_t>(area - areas_.begin())},
            endpoint.pool,
            endpoint.state,
            endpoint.weight,
            endpoint.started};
  }

 private:
  std::vector<std::string> areas_;
  std::map<std::string, ServerId> ids_;
};

}  // namespace graniterun::upstream
