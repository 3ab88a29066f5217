// The fleet's part of the deploy file.
#pragma once

#include <string>

#include "fleet/datagram.h"
#include "membership/membership.h"

namespace graniterun::fleet {

struct FleetSettings {
  std::string fleet{};   // name of the fleet; datagrams of other fleets are dropped
  std::string listen{};  // UDP address:port used only for the fleet; empty: not part of a fleet
  Key key{};
  membership::Settings membership{};
};

}  // namespace graniterun::fleet
