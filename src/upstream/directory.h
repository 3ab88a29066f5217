// The setup servers that the list has named: their ids here, by the uid that the journal service gives them.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "config/config.h"

namespace graniterun::upstream {

class Directory {
 public:
  explicit Directory(std::vector<std::string> areas) : areas_(std::move(areas)) {}

  ServerId id_of(const std::string& uid) {
    return ids_.try_emplace(uid, ServerId{static_cast<std::uint32_t>(ids_.size())}).first->second;
  }
  ServerEntry entry_of(ServerId id, const Endpoint& host) const {
    const auto area = std::find(areas_.begin(), areas_.end(), host.area);
    return {id,          Zone{static_cast<std::uint32_t>(area - areas_.begin())},
            host.pool,   host.state,
            host.weight, host.started};
  }

 private:
  std::vector<std::string> areas_;
  std::map<std::string, ServerId> ids_;
};

}  // namespace graniterun::upstream
